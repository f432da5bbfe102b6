"""Replay of fleet decisions in virtual time, without single requests.

Streams that find no free slot at their arrival wait in a backlog. Their share
stands for the target of the time to first token.
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
STEP_MS = 20.0
LIST_PERIOD_MS = 5_000
PRICE_CHANGE_MS = 30 * fleet_demand.MINUTE_MS
DEMAND_PERIOD_MS = 30_000
# No demand is counted before, so that the first fleet is up.
WARM_UP_MS = 10 * fleet_demand.MINUTE_MS
AT_ONCE_TARGET = 0.95
# Design page, section 6: part of the dispatches reserved for waiting work.
BACKLOG_SHARE = 0.2
# Design page, section 1: no new work this long after a notice or mark.
MARK_SPREAD_MS = 5_000
# The target counts as met after a wave once it was met for this long.
RECOVERED_MS = 30_000
_TICK_MIN = TICK_MS / fleet_demand.MINUTE_MS


@dataclasses.dataclass(slots=True)
class Figures:
    """What one run measured; minutes of streams and of VMs.

    `missed_after_wave_s` is the longest time from a wave until the target is
    met again, over all waves and services.
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
    """Demand and work of one service; backlog in stream-minutes."""

    load: fleet_demand.Load
    streams: float = 0.0
    backlog_min: float = 0.0
    largest_min: float = 0.0
    asked_min: float = 0.0
    at_once_min: float = 0.0
    served_min: float = 0.0
    surge_drained_ms: int | None = None
    met_since_ms: int | None = None


@dataclasses.dataclass(slots=True)
class _Recovery:
    """The time after a wave until a service meets its target again."""

    service: str
    wave: int
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
        self._done: list[_Recovery] = []
        self._wasted_vm_min = 0.0
        self._cost = 0.0
        self._drains_ms: list[int] = []
        self._now_ms = 0
        self._since_ms = 0

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
                self._since_ms = since_ms
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
        self._done.extend(self._recoveries)
        self._recoveries = []
        for vm in self._cloud.vms.values():
            vm.leaving_ms = vm.gone_ms = vm.gone_ms or self._now_ms
            self._cloud.former.append(vm)
        self._cloud.vms = {}
        for service in self._services:
            if service.load.backlog_requests == 0:
                continue
            end_ms = service.surge_drained_ms
            if end_ms is None:
                end_ms = self._since_ms
            self._drains_ms.append(end_ms - fleet_demand.SURGE_MS)

    def _tick(self) -> None:
        self._apply_faults()
        self._observe()
        for service in self._services:
            self._ask(service)
            self._serve(service)
        self._pay()

    def _apply_faults(self) -> None:
        cloud = self._cloud
        cloud.outage = False
        for outage in self._scenario.outages:
            passed_ms = self._since_ms - outage.at_ms
            cloud.outage |= 0 <= passed_ms < outage.duration_ms
        for number, wave in enumerate(self._scenario.waves):
            if self._since_ms != wave.at_ms:
                continue
            cloud.wave(wave, self._now_ms)
            for service in self._services:
                self._recoveries.append(
                    _Recovery(service.load.service, number, self._now_ms)
                )
        if self._since_ms % PRICE_CHANGE_MS == 0:
            cloud.change_prices()
        for vm in list(cloud.vms.values()):
            if not vm.option.reclaimable:
                continue
            rate = self._scenario.reclaims_per_hour[vm.option.zone]
            if self._rng.random() < rate * TICK_MS / fleet_demand.HOUR_MS:
                cloud.reclaim(vm, self._now_ms)
        cloud.remove_gone(self._now_ms)

    def _observe(self) -> None:
        now_ms = self._now_ms
        for answer in self._cloud.take_answers():
            self._reduce(answer)
        if self._since_ms % LIST_PERIOD_MS == 0 and not self._cloud.outage:
            rows = self._cloud.listed(now_ms)
            self._reduce(events.VmsListed(now_ms, rows))
        notices = self._notices()
        if notices:
            self._reduce(events.NoticesListed(now_ms, notices))
        if self._since_ms % REPORT_PERIOD_MS == 0:
            for vm_id in sorted(self._policy.polled()):
                self._report(vm_id)
        for service in self._services:
            load = service.load
            work_ms = service.backlog_min * fleet_demand.MINUTE_MS
            queued = math.ceil(work_ms / load.request_ms)
            self._policy.report_queue(load, queued, now_ms)
        self._reduce(events.Tick(now_ms))
        self._take_marks()

    def _reduce(self, event: events.Event) -> None:
        for effect in self._policy.reduce(event):
            self._cloud.execute(effect, self._now_ms)

    def _notices(self) -> tuple[events.Notice, ...]:
        result = []
        for vm in self._cloud.vms.values():
            if vm.gone_ms is not None and vm.gone_ms > self._now_ms:
                left_ms = vm.gone_ms - self._now_ms
                result.append(events.Notice(vm.vm_id, 1, left_ms))
        return tuple(result)

    def _report(self, vm_id: str) -> None:
        vm = self._cloud.vms.get(vm_id)
        if vm is None or vm.is_gone(self._now_ms) or self._now_ms < vm.up_ms:
            return
        loaded = vm.loaded_ms is not None and self._now_ms >= vm.loaded_ms
        model = vm.model if loaded else ""
        self._cloud.reported_busy[vm_id] = vm.busy
        report = events.LoadReport(
            1,
            REPORT_AGE_MS,
            vm.busy,
            0,
            vm.slots,
            0,
            STEP_MS,
            vm.leaving_ms is not None,
            model=model,
            model_version="1" if model else "",
        )
        self._reduce(events.LoadReported(self._now_ms, vm_id, report))

    def _take_marks(self) -> None:
        for vm_id in self._policy.marked():
            vm = self._cloud.vms.get(vm_id)
            if vm is None or vm.marked_ms is not None:
                continue
            vm.marked_ms = self._now_ms
            vm.busy_at_mark = vm.busy

    def _ask(self, service: _Service) -> None:
        load = service.load
        if self._since_ms % DEMAND_PERIOD_MS == 0:
            service.streams = fleet_demand.streams(
                load, self._since_ms, self._rng
            )
        if self._since_ms == fleet_demand.SURGE_MS:
            backlog_ms = load.backlog_requests * load.request_ms
            service.backlog_min += backlog_ms / fleet_demand.MINUTE_MS

    def _serve(self, service: _Service) -> None:
        if self._since_ms < self._scenario.start_ms + WARM_UP_MS:
            return
        kept = self._drain_marked(service)
        vms = []
        for vm in self._cloud.vms.values():
            if vm.service == service.load.service and vm.serves(self._now_ms):
                vms.append(vm)
        slots = sum(vm.slots for vm in vms)
        fresh_slots: float = slots
        if service.backlog_min > 0:
            fresh_slots = slots * (1 - BACKLOG_SHARE)
        new = max(0.0, service.streams - kept)
        at_once = min(new, fresh_slots)
        service.backlog_min += (new - at_once) * _TICK_MIN
        # A waiting request is one stream, so that many can run at a time.
        waiting_ms = service.backlog_min * fleet_demand.MINUTE_MS
        requests = waiting_ms / service.load.request_ms
        late = min(slots - at_once, math.ceil(requests))
        late = min(late, service.backlog_min / _TICK_MIN)
        service.backlog_min = max(0.0, service.backlog_min - late * _TICK_MIN)
        self._spread(vms, math.ceil(at_once + late))
        self._count(service, kept + at_once, late)

    def _drain_marked(self, service: _Service) -> float:
        """Let the work of marked VMs end; return what still runs."""
        kept = 0.0
        for vm in self._cloud.vms.values():
            if vm.service != service.load.service or vm.marked_ms is None:
                continue
            if vm.leaving_ms is not None:
                vm.busy = 0
                continue
            passed_ms = self._now_ms - vm.marked_ms - MARK_SPREAD_MS
            left = 1 - max(0, passed_ms) / service.load.request_ms
            vm.busy = math.ceil(vm.busy_at_mark * max(0.0, left))
            kept += vm.busy
        return min(kept, service.streams)

    def _spread(self, vms: list[fleet_cloud.CloudVm], running: int) -> None:
        """Give each VM its part of the streams, as routing by load does."""
        slots = sum(vm.slots for vm in vms)
        given = 0
        passed = 0
        for vm in vms:
            passed += vm.slots
            upto = math.ceil(running * passed / slots)
            vm.busy = upto - given
            given = upto

    def _count(self, service: _Service, at_once: float, late: float) -> None:
        asked = service.streams
        service.asked_min += asked * _TICK_MIN
        service.at_once_min += at_once * _TICK_MIN
        service.served_min += (at_once + late) * _TICK_MIN
        service.largest_min = max(service.largest_min, service.backlog_min)
        if service.backlog_min <= 0 and service.surge_drained_ms is None:
            if self._since_ms > fleet_demand.SURGE_MS:
                service.surge_drained_ms = self._since_ms
        met = at_once >= AT_ONCE_TARGET * asked
        for recovery in list(self._recoveries):
            if recovery.service != service.load.service:
                continue
            if not met:
                recovery.missed_ms = self._now_ms + TICK_MS - recovery.since_ms
                recovery.met_ms = 0
                continue
            recovery.met_ms += TICK_MS
            if recovery.met_ms >= RECOVERED_MS:
                self._recoveries.remove(recovery)
                self._done.append(recovery)

    def _pay(self) -> None:
        for vm in self._cloud.vms.values():
            if vm.is_gone(self._now_ms):
                continue
            price = self._cloud.price_of(vm.option)
            self._cost += price * TICK_MS / fleet_demand.HOUR_MS
            if vm.busy == 0 or not vm.serves(self._now_ms):
                self._wasted_vm_min += _TICK_MIN

    def _figures(self) -> Figures:
        scenario = self._scenario
        cloud = self._cloud
        result = Figures(scenario.name, scenario.seed, self._policy.name)
        span_ms = scenario.end_ms - scenario.start_ms
        hours = scenario.mondays * span_ms / fleet_demand.HOUR_MS
        served = sum(one.served_min for one in self._services)
        asked = sum(one.asked_min for one in self._services)
        at_once = sum(one.at_once_min for one in self._services)
        result.cost_per_hour = self._cost / hours
        result.cost_per_thousand_min = 1_000 * self._cost / max(served, 1.0)
        result.at_once_share = at_once / max(asked, 1.0)
        shares = [o.at_once_min / max(o.asked_min, 1) for o in self._services]
        result.lowest_service_share = min(shares)
        result.largest_backlog = max(o.largest_min for o in self._services)
        drain_ms = max(self._drains_ms, default=0)
        result.drain_min = drain_ms / fleet_demand.MINUTE_MS
        result.starts = cloud.starts
        result.refused = cloud.refusals
        result.stops = cloud.stops
        result.busy_stops = cloud.busy_stops
        result.late_orders = cloud.late_orders
        result.over_max = cloud.over_max
        result.wasted_vm_min = self._wasted_vm_min
        for one in self._done:
            missed_s = one.missed_ms / 1_000
            result.missed_after_wave_s = max(
                result.missed_after_wave_s, missed_s
            )
            if one.wave == 0:
                result.missed_after_first_wave_s = max(
                    result.missed_after_first_wave_s, missed_s
                )
        return result
