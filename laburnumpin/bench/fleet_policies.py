"""Fleet policies that the fleet replay compares, with fixed baselines."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import math
from typing import Protocol
from unittest import mock

from laburnumpin import verdict
from laburnumpin.bench import fleet_demand
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import fleet
from laburnumpin.core import ids
from laburnumpin.core import lifecycle
from laburnumpin.core import messages
from laburnumpin.core import pacing
from laburnumpin.core import planning
from laburnumpin.core import profiles
from laburnumpin.core import reducer
from laburnumpin.core import requests
from laburnumpin.core import state as entry_state

_NO_EXPIRY_MS = 1 << 60
# The fixed fleet for the peak clears the Monday backlog within this time.
_PEAK_BACKLOG_MS = 15 * fleet_demand.MINUTE_MS


class Policy(Protocol):
    """Decides on VMs from the events that the lease holder receives."""

    name: str

    def begin(self, scenario: fleet_demand.Scenario, monday: int) -> None:
        """Reset all state, as for a newly elected lease holder."""

    def reduce(self, event: events.Event) -> list[effects.Effect]:
        """Return the effects of an event."""

    def report_queue(
        self, load: fleet_demand.Load, queued: int, now_ms: int
    ) -> None:
        """Set the queued requests of a service, summed over all entries."""

    def polled_vm_ids(self) -> set[str]:
        """Return the VMs whose load the lease holder polls."""

    def marked_vm_ids(self) -> set[str]:
        """Return the VMs that the lease holder marked as leaving."""


class FleetPolicy:
    """The decisions of `core/fleet.py`, unmodified."""

    name = "current"

    def begin(self, scenario: fleet_demand.Scenario, monday: int) -> None:
        """Create the state of a new lease holder for the given Monday."""
        entry = ids.EntryId("holder", monday + 1)
        zone = next(iter(scenario.deployment.zones))
        self._scenario = scenario
        self._state = entry_state.EntryState(entry, zone, "holder:1", 7)
        self._state.lifecycle.phase = lifecycle.Phase.SERVING
        self._state.configuration.current = deployment.Configuration(
            1, "change", "{}", scenario.deployment
        )
        self._requests: dict[str, requests.Request] = {}
        # Entries learn the duration of plain calls from their own attempts,
        # which this replay does not have.
        for placement in scenario.deployment.placements:
            for load in scenario.loads:
                if load.service == placement.service:
                    pace = pacing.LatencyModel(service_ms=load.request_ms)
                    key = (load.service, placement.vm_class)
                    self._state.upstreams.latency_models[key] = pace

    def reduce(self, event: events.Event) -> list[effects.Effect]:
        """Run the core's reducer; a tick runs only `fleet.on_tick`."""
        with self._patched():
            if isinstance(event, events.Tick):
                return fleet.on_tick(self._state, event)
            return reducer.reduce(self._state, event)

    def report_queue(
        self, load: fleet_demand.Load, queued: int, now_ms: int
    ) -> None:
        """Queue the share of one entry; report the rest in a peer digest."""
        local_count = queued // fleet_demand.ENTRY_COUNT
        queue = self._state.limits.queue
        request = self._request(load, now_ms)
        for key in list(queue):
            if queue[key] is request:
                del queue[key]
        for number in range(local_count):
            queue[f"{load.service}/{number}"] = request
        tokens = (queued - local_count) * (
            load.prompt_tokens + load.output_tokens
        )
        digest = messages.Digest(
            ids.EntryId("peers", 1),
            1,
            self._state.zone,
            "",
            True,
            1,
            0,
            (),
            (),
            (),
            (messages.ServiceDemand(load.service, 0, tokens),),
        )
        received = events.PeerReceived(now_ms, "peers", digest)
        fleet.on_digest(self._state, received, digest)

    def polled_vm_ids(self) -> set[str]:
        """Return the upstreams in the lease holder's subset."""
        result = set()
        for upstream in self._state.upstreams.by_id.values():
            if upstream.in_subset:
                result.add(upstream.upstream_id)
        return result

    def marked_vm_ids(self) -> set[str]:
        """Return the upstreams with a leaving mark."""
        return {vm_id for vm_id, _ in self._state.upstreams.leaving}

    def _patched(self) -> contextlib.AbstractContextManager[None]:
        return contextlib.nullcontext()

    def _request(
        self, load: fleet_demand.Load, now_ms: int
    ) -> requests.Request:
        existing = self._requests.get(load.service)
        if existing is not None:
            return existing
        current = self._state.configuration.current
        assert current is not None
        service = current.deployment.services[load.service]
        built = requests.Request(
            request_id=load.service,
            customer="customer",
            service=service,
            operation=next(iter(service.operations.values())),
            body="",
            prompt="",
            prompt_tokens=load.prompt_tokens,
            max_tokens=load.output_tokens,
            blocks=(),
            idempotency_key=None,
            accepted_ms=now_ms,
            deadline_ms=_NO_EXPIRY_MS,
            priority=deployment.Priority.BULK,
            configuration=current,
            verdict=verdict.Verdict.NOT_RUN,
        )
        self._requests[load.service] = built
        return built


class ReducedFleetPolicy(FleetPolicy):
    """The fleet module without its forecast and its provision for zone loss.

    The weekly profile predicts no demand, VMs are not spread over zones, and
    no slots are reserved for the loss of a zone.
    """

    name = "no_profile_no_spread"

    def _patched(self) -> contextlib.AbstractContextManager[None]:
        return _without_profile_and_spread()


class FixedPolicy:
    """Keeps a fixed number of VMs in each zone and replaces lost ones.

    Subclasses choose the demand that the fleet is sized for, and whether its
    VMs are reclaimable.
    """

    name = "fixed"
    reclaimable = False

    def begin(self, scenario: fleet_demand.Scenario, monday: int) -> None:
        """Compute the number of VMs by service and option."""
        del monday
        self._targets: dict[tuple[str, planning.Option], int] = {}
        self._listed: dict[str, events.VmRow] = {}
        # By order id, and once the start is answered by VM id.
        self._pending: dict[str, tuple[str, planning.Option, int]] = {}
        self._noticed_vm_ids: set[str] = set()
        self._models: dict[str, str] = {}
        self._load_ordered: set[str] = set()
        self._orders = 0
        zones = len(scenario.deployment.zones)
        for service in scenario.deployment.services.values():
            is_model = service.kind is deployment.ServiceKind.MODEL
            if is_model:
                self._models[service.name] = service.model
        for load in scenario.loads:
            sized_streams = self.sizing_streams(load)
            for placement in scenario.deployment.placements:
                if placement.service != load.service:
                    continue
                if placement.reclaimable is not self.reclaimable:
                    continue
                if placement.vm_class == "gpu-large":
                    continue
                count = math.ceil(sized_streams / placement.slots / zones)
                key = (load.service, planning.option_of(placement))
                self._targets[key] = min(count, placement.max_vms)

    def sizing_streams(self, load: fleet_demand.Load) -> float:
        """Return the concurrent streams for which the fleet is sized."""
        raise NotImplementedError

    def reduce(self, event: events.Event) -> list[effects.Effect]:
        """Start missing VMs and order them to load their model."""
        if isinstance(event, events.VmsListed):
            self._listed = {r.vm_id: r for r in event.vms if not r.leaving}
        elif isinstance(event, events.NoticesListed):
            self._noticed_vm_ids.update(
                notice.vm_id for notice in event.notices
            )
        elif isinstance(event, events.VmStartAnswered):
            return self._on_answer(event)
        elif isinstance(event, events.LoadReported):
            return self._on_report(event)
        elif isinstance(event, events.Tick):
            return self._start_missing(event.now_ms)
        return []

    def report_queue(
        self, load: fleet_demand.Load, queued: int, now_ms: int
    ) -> None:
        """Ignore the queue, as the fleet size is fixed."""

    def polled_vm_ids(self) -> set[str]:
        """Return all VMs."""
        return set(self._listed)

    def marked_vm_ids(self) -> set[str]:
        """Return no VM."""
        return set()

    def _on_answer(self, event: events.VmStartAnswered) -> list[effects.Effect]:
        pending = self._pending.pop(event.order_id, None)
        if pending is not None and event.vm_id is not None:
            self._pending[event.vm_id] = pending
        return []

    def _on_report(self, event: events.LoadReported) -> list[effects.Effect]:
        vm_id = event.upstream_id
        row = self._listed.get(vm_id)
        if row is None or event.report.model or vm_id in self._load_ordered:
            return []
        model = self._models.get(row.service)
        if model is None:
            return []
        self._load_ordered.add(vm_id)
        return [
            effects.SendOrder(
                vm_id, vm_id, "", 1, _NO_EXPIRY_MS, model, "1", (), ""
            )
        ]

    def _start_missing(self, now_ms: int) -> list[effects.Effect]:
        counts: dict[tuple[str, planning.Option], int] = {}
        for row in self._listed.values():
            self._pending.pop(row.vm_id, None)
            if row.vm_id in self._noticed_vm_ids:
                continue
            option = planning.Option(row.zone, row.vm_class, row.reclaimable)
            key = (row.service, option)
            counts[key] = counts.get(key, 0) + 1
        for vm_id, pending in list(self._pending.items()):
            service, option, since_ms = pending
            if now_ms > since_ms + fleet.START_TIMEOUT_MS:
                del self._pending[vm_id]
            key = (service, option)
            counts[key] = counts.get(key, 0) + 1
        result: list[effects.Effect] = []
        for (service, option), target in self._targets.items():
            for _ in range(target - counts.get((service, option), 0)):
                self._orders += 1
                order_id = f"order{self._orders}"
                self._pending[order_id] = (service, option, now_ms)
                result.append(
                    effects.StartVm(
                        order_id,
                        service,
                        option.zone,
                        option.vm_class,
                        option.reclaimable,
                        _NO_EXPIRY_MS,
                    )
                )
        return result


class FixedPeakPolicy(FixedPolicy):
    """A constant on-demand fleet, sized for the peak with its backlog."""

    name = "fixed_peak_on_demand"

    def sizing_streams(self, load: fleet_demand.Load) -> float:
        """Return the daytime streams plus those that clear the backlog."""
        work_ms = load.backlog_requests * load.request_ms
        return load.day_streams * 1.15 + work_ms / _PEAK_BACKLOG_MS


class FixedAveragePolicy(FixedPolicy):
    """A constant reclaimable fleet, sized for the average demand."""

    name = "fixed_average_reclaimable"
    reclaimable = True

    def sizing_streams(self, load: fleet_demand.Load) -> float:
        """Return the mean streams over the 12 hours that a run replays."""
        # From 06:00 to 14:00 the ramp of two hours counts as one hour of the
        # daytime demand, and the hour of the drop at noon as 0.6.
        busy_hours, all_hours = 6.6, 12.0
        extra = (load.day_streams - load.night_streams) * busy_hours
        work_ms = load.backlog_requests * load.request_ms
        extra += work_ms / fleet_demand.HOUR_MS
        return load.night_streams + extra / all_hours


POLICIES: dict[str, type[Policy]] = {
    FleetPolicy.name: FleetPolicy,
    ReducedFleetPolicy.name: ReducedFleetPolicy,
    FixedPeakPolicy.name: FixedPeakPolicy,
    FixedAveragePolicy.name: FixedAveragePolicy,
}


@contextlib.contextmanager
def _without_profile_and_spread() -> Iterator[None]:
    def is_short(
        streams: float,
        vms: list[planning.Vm],
        placements: list[deployment.Placement],
    ) -> bool:
        slots = {
            planning.option_of(placement): placement.slots
            for placement in placements
        }
        total = sum(slots.get(vm.option, 0) for vm in vms)
        return total < streams / planning.TARGET_UTILIZATION

    with (
        mock.patch.object(planning, "is_short", is_short),
        mock.patch.object(planning, "zone_share", lambda *_: math.inf),
        mock.patch.object(profiles.Profile, "expected", lambda *_: 0.0),
    ):
        yield
