"""Replay of fleet decisions in virtual time with aggregate demand.

Demand is a number of concurrent streams, not single requests. Streams without
a free slot on arrival wait in a backlog; the share served at once stands in
for the target of the time to first token.
"""

from __future__ import annotations

import dataclasses
import math
import random

from laburnumpin.bench import fleet_cloud
from laburnumpin.bench import fleet_demand
from laburnumpin.bench import fleet_policies
from laburnumpin.core import events

TICK_MS = 1_000
REPORT_PERIOD_MS = 3_000
REPORT_AGE_MS = 1_000
REPORTED_STEP_MS = 20.0
LIST_PERIOD_MS = 5_000
PRICE_CHANGE_MS = 30 * fleet_demand.MINUTE_MS
DEMAND_PERIOD_MS = 30_000
# Demand counts only after this time, so that the initial fleet is running.
WARM_UP_MS = 10 * fleet_demand.MINUTE_MS
# Share of the demand that a service has to serve at once to meet its target.
AT_ONCE_TARGET_SHARE = 0.95
# Share of the dispatches reserved for queued work (design page, section 6).
BACKLOG_DISPATCH_SHARE = 0.2
# Time after a notice or leaving mark by which entries send no new work (design
# page, section 1).
LEAVING_PROPAGATION_MS = 5_000
# A service has recovered from a wave once it met its target for this long.
RECOVERY_STABLE_MS = 30_000
_TICK_MIN = TICK_MS / fleet_demand.MINUTE_MS


@dataclasses.dataclass(slots=True)
class Figures:
    """Results of one run over all its Mondays.

    `at_once_share` is the share of the demanded stream time that was served
    without waiting, and `lowest_service_share` its lowest value of a service.
    `cost_per_thousand_min` is the cost of 1,000 minutes of streams.
    `largest_backlog` is in minutes of streams. `drain_min` is the longest time
    from the Monday surge until a backlog was empty. `wasted_vm_min` counts
    minutes of VMs that were paid for but idle or not serving.
    `missed_after_wave_s` is the longest time from a wave until the target is
    met again, over all waves and services, and `missed_after_first_wave_s`
    the same for the first wave of each Monday.
    """

    site: str
    seed: int
    policy: str
    cost_per_hour: float = 0.0
    cost_per_thousand_min: float = 0.0
    at_once_share: float = 0.0
    lowest_service_share: float = 0.0
    largest_backlog: float = 0.0
    drain_min: float = 0.0
    starts: int = 0
    refused: int = 0
    stops: int = 0
    busy_stops: int = 0
    late_orders: int = 0
    over_max: int = 0
    wasted_vm_min: float = 0.0
    missed_after_wave_s: float = 0.0
    missed_after_first_wave_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Service:
    """Demand and work of one service, in minutes of streams.

    `streams` is the current demand. `surge_drained_ms` is the time at which
    the backlog was first empty after the surge.
    """

    load: fleet_demand.Load
    streams: float = 0.0
    backlog_min: float = 0.0
    largest_backlog_min: float = 0.0
    demanded_min: float = 0.0
    at_once_min: float = 0.0
    served_min: float = 0.0
    surge_drained_ms: int | None = None
    met_since_ms: int | None = None


@dataclasses.dataclass(slots=True)
class _Recovery:
    """Recovery of one service from a wave that began at `since_ms`.

    `missed_ms` is the time from the wave to the last miss of the target, and
    `met_ms` how long the target has been met since.
    """

    service: str
    wave_index: int
    since_ms: int
    missed_ms: int = 0
    met_ms: int = 0


class Replay:
    """One run of a scenario under a policy."""

    def __init__(
        self, scenario: fleet_demand.Scenario, policy: fleet_policies.Policy
    ) -> None:
        self._scenario = scenario
        self._policy = policy
        self._cloud = fleet_cloud.Cloud(scenario)
        self._rng = random.Random(scenario.seed)
        self._services = [_Service(load) for load in scenario.loads]
        self._recoveries: list[_Recovery] = []
        self._ended_recoveries: list[_Recovery] = []
        self._wasted_vm_min = 0.0
        self._cost = 0.0
        self._drain_durations_ms: list[int] = []
        self._now_ms = 0
        self._since_monday_ms = 0

    def run(self) -> Figures:
        """Replay all Mondays and return the figures."""
        scenario = self._scenario
        for monday in range(scenario.mondays):
            self._policy.begin(scenario, monday)
            self._begin_monday()
            midnight_ms = (
                fleet_demand.FIRST_MONDAY_MS + monday * fleet_demand.WEEK_MS
            )
            for since_ms in range(scenario.start_ms, scenario.end_ms, TICK_MS):
                self._since_monday_ms = since_ms
                self._now_ms = midnight_ms + since_ms
                self._tick()
            self._end_monday()
        return self._figures()

    def _begin_monday(self) -> None:
        for service in self._services:
            service.backlog_min = 0.0
            service.surge_drained_ms = None
            service.met_since_ms = None

    def _end_monday(self) -> None:
        self._ended_recoveries.extend(self._recoveries)
        self._recoveries = []
        for vm in self._cloud.vms.values():
            vm.leaving_ms = vm.terminated_ms = vm.terminated_ms or self._now_ms
            self._cloud.terminated_vms.append(vm)
        self._cloud.vms = {}
        for service in self._services:
            if service.load.backlog_requests == 0:
                continue
            end_ms = service.surge_drained_ms
            if end_ms is None:
                end_ms = self._since_monday_ms
            self._drain_durations_ms.append(end_ms - fleet_demand.SURGE_MS)

    def _tick(self) -> None:
        self._apply_faults()
        self._deliver_events()
        for service in self._services:
            self._update_demand(service)
            self._serve(service)
        self._accrue_cost()

    def _apply_faults(self) -> None:
        cloud = self._cloud
        cloud.outage = False
        for outage in self._scenario.outages:
            passed_ms = self._since_monday_ms - outage.at_ms
            cloud.outage |= 0 <= passed_ms < outage.duration_ms
        for number, wave in enumerate(self._scenario.waves):
            if self._since_monday_ms != wave.at_ms:
                continue
            cloud.apply_wave(wave, self._now_ms)
            for service in self._services:
                self._recoveries.append(
                    _Recovery(service.load.service, number, self._now_ms)
                )
        if self._since_monday_ms % PRICE_CHANGE_MS == 0:
            cloud.change_prices()
        for vm in list(cloud.vms.values()):
            if not vm.option.reclaimable:
                continue
            rate = self._scenario.reclaims_per_hour[vm.option.zone]
            if self._rng.random() < rate * TICK_MS / fleet_demand.HOUR_MS:
                cloud.reclaim(vm, self._now_ms)
        cloud.remove_terminated(self._now_ms)

    def _deliver_events(self) -> None:
        now_ms = self._now_ms
        for answer in self._cloud.take_answers():
            self._reduce(answer)
        if (
            self._since_monday_ms % LIST_PERIOD_MS == 0
            and not self._cloud.outage
        ):
            rows = self._cloud.list_vms(now_ms)
            self._reduce(events.VmsListed(now_ms, rows))
        notices = self._notices()
        if notices:
            self._reduce(events.NoticesListed(now_ms, notices))
        if self._since_monday_ms % REPORT_PERIOD_MS == 0:
            for vm_id in sorted(self._policy.polled_vm_ids()):
                self._report_load(vm_id)
        for service in self._services:
            load = service.load
            work_ms = service.backlog_min * fleet_demand.MINUTE_MS
            queued = math.ceil(work_ms / load.request_ms)
            self._policy.report_queue(load, queued, now_ms)
        self._reduce(events.Tick(now_ms))
        self._record_marks()

    def _reduce(self, event: events.Event) -> None:
        for effect in self._policy.reduce(event):
            self._cloud.execute(effect, self._now_ms)

    def _notices(self) -> tuple[events.Notice, ...]:
        notices = []
        for vm in self._cloud.vms.values():
            if vm.terminated_ms is not None and vm.terminated_ms > self._now_ms:
                remaining_ms = vm.terminated_ms - self._now_ms
                notices.append(events.Notice(vm.vm_id, 1, remaining_ms))
        return tuple(notices)

    def _report_load(self, vm_id: str) -> None:
        vm = self._cloud.vms.get(vm_id)
        if (
            vm is None
            or vm.is_terminated(self._now_ms)
            or self._now_ms < vm.booted_ms
        ):
            return
        loaded = vm.loaded_ms is not None and self._now_ms >= vm.loaded_ms
        model = vm.model if loaded else ""
        self._cloud.reported_busy[vm_id] = vm.busy_slots
        report = events.LoadReport(
            1,
            REPORT_AGE_MS,
            vm.busy_slots,
            0,
            vm.slots,
            0,
            REPORTED_STEP_MS,
            vm.leaving_ms is not None,
            model=model,
            model_version="1" if model else "",
        )
        self._reduce(events.LoadReported(self._now_ms, vm_id, report))

    def _record_marks(self) -> None:
        for vm_id in self._policy.marked_vm_ids():
            vm = self._cloud.vms.get(vm_id)
            if vm is None or vm.marked_ms is not None:
                continue
            vm.marked_ms = self._now_ms
            vm.busy_slots_at_mark = vm.busy_slots

    def _update_demand(self, service: _Service) -> None:
        load = service.load
        if self._since_monday_ms % DEMAND_PERIOD_MS == 0:
            service.streams = fleet_demand.streams(
                load, self._since_monday_ms, self._rng
            )
        if self._since_monday_ms == fleet_demand.SURGE_MS:
            backlog_ms = load.backlog_requests * load.request_ms
            service.backlog_min += backlog_ms / fleet_demand.MINUTE_MS

    def _serve(self, service: _Service) -> None:
        if self._since_monday_ms < self._scenario.start_ms + WARM_UP_MS:
            return
        still_running = self._drain_marked_vms(service)
        vms = []
        for vm in self._cloud.vms.values():
            if vm.service == service.load.service and vm.serves(self._now_ms):
                vms.append(vm)
        slots = sum(vm.slots for vm in vms)
        new_stream_slots: float = slots
        if service.backlog_min > 0:
            new_stream_slots = slots * (1 - BACKLOG_DISPATCH_SHARE)
        new_streams = max(0.0, service.streams - still_running)
        at_once = min(new_streams, new_stream_slots)
        service.backlog_min += (new_streams - at_once) * _TICK_MIN
        # Each waiting request runs as one stream, so the backlog uses at most
        # as many slots as it has requests.
        waiting_ms = service.backlog_min * fleet_demand.MINUTE_MS
        requests = waiting_ms / service.load.request_ms
        from_backlog = min(slots - at_once, math.ceil(requests))
        from_backlog = min(from_backlog, service.backlog_min / _TICK_MIN)
        service.backlog_min = max(
            0.0, service.backlog_min - from_backlog * _TICK_MIN
        )
        self._distribute(vms, math.ceil(at_once + from_backlog))
        self._record(service, still_running + at_once, from_backlog)

    def _drain_marked_vms(self, service: _Service) -> float:
        """Reduce the work of marked VMs; return the streams still running."""
        still_running = 0.0
        for vm in self._cloud.vms.values():
            if vm.service != service.load.service or vm.marked_ms is None:
                continue
            if vm.leaving_ms is not None:
                vm.busy_slots = 0
                continue
            passed_ms = self._now_ms - vm.marked_ms - LEAVING_PROPAGATION_MS
            remaining_share = 1 - max(0, passed_ms) / service.load.request_ms
            vm.busy_slots = math.ceil(
                vm.busy_slots_at_mark * max(0.0, remaining_share)
            )
            still_running += vm.busy_slots
        return min(still_running, service.streams)

    def _distribute(self, vms: list[fleet_cloud.CloudVm], running: int) -> None:
        """Distribute streams in proportion to slots, as routing by load."""
        slots = sum(vm.slots for vm in vms)
        assigned = 0
        slots_so_far = 0
        for vm in vms:
            slots_so_far += vm.slots
            assigned_after = math.ceil(running * slots_so_far / slots)
            vm.busy_slots = assigned_after - assigned
            assigned = assigned_after

    def _record(
        self, service: _Service, at_once: float, from_backlog: float
    ) -> None:
        demanded = service.streams
        service.demanded_min += demanded * _TICK_MIN
        service.at_once_min += at_once * _TICK_MIN
        service.served_min += (at_once + from_backlog) * _TICK_MIN
        service.largest_backlog_min = max(
            service.largest_backlog_min, service.backlog_min
        )
        if service.backlog_min <= 0 and service.surge_drained_ms is None:
            if self._since_monday_ms > fleet_demand.SURGE_MS:
                service.surge_drained_ms = self._since_monday_ms
        is_met = at_once >= AT_ONCE_TARGET_SHARE * demanded
        for recovery in list(self._recoveries):
            if recovery.service != service.load.service:
                continue
            if not is_met:
                recovery.missed_ms = self._now_ms + TICK_MS - recovery.since_ms
                recovery.met_ms = 0
                continue
            recovery.met_ms += TICK_MS
            if recovery.met_ms >= RECOVERY_STABLE_MS:
                self._recoveries.remove(recovery)
                self._ended_recoveries.append(recovery)

    def _accrue_cost(self) -> None:
        for vm in self._cloud.vms.values():
            if vm.is_terminated(self._now_ms):
                continue
            price = self._cloud.price_of(vm.option)
            self._cost += price * TICK_MS / fleet_demand.HOUR_MS
            if vm.busy_slots == 0 or not vm.serves(self._now_ms):
                self._wasted_vm_min += _TICK_MIN

    def _figures(self) -> Figures:
        scenario = self._scenario
        cloud = self._cloud
        figures = Figures(scenario.name, scenario.seed, self._policy.name)
        span_ms = scenario.end_ms - scenario.start_ms
        hours = scenario.mondays * span_ms / fleet_demand.HOUR_MS
        served = sum(service.served_min for service in self._services)
        demanded = sum(service.demanded_min for service in self._services)
        at_once = sum(service.at_once_min for service in self._services)
        figures.cost_per_hour = self._cost / hours
        figures.cost_per_thousand_min = 1_000 * self._cost / max(served, 1.0)
        figures.at_once_share = at_once / max(demanded, 1.0)
        shares = [
            service.at_once_min / max(service.demanded_min, 1)
            for service in self._services
        ]
        figures.lowest_service_share = min(shares)
        figures.largest_backlog = max(
            service.largest_backlog_min for service in self._services
        )
        drain_ms = max(self._drain_durations_ms, default=0)
        figures.drain_min = drain_ms / fleet_demand.MINUTE_MS
        figures.starts = cloud.starts
        figures.refused = cloud.refused_starts
        figures.stops = cloud.stops
        figures.busy_stops = cloud.busy_stops
        figures.late_orders = cloud.late_orders
        figures.over_max = cloud.over_max
        figures.wasted_vm_min = self._wasted_vm_min
        for recovery in self._ended_recoveries:
            missed_s = recovery.missed_ms / 1_000
            figures.missed_after_wave_s = max(
                figures.missed_after_wave_s, missed_s
            )
            if recovery.wave_index == 0:
                figures.missed_after_first_wave_s = max(
                    figures.missed_after_first_wave_s, missed_s
                )
        return figures
