"""Autoscaling: the desired counts of upstreams by service, zone and kind.

Reclaimable upstreams cost a fraction of on-demand ones. The platform reclaims
all of a zone at once, on a notice that is shorter than the boot time of a
replacement, and for a while afterwards has no reclaimable capacity. Each zone
therefore gets enough reclaimable upstreams that the load can be served without
any one zone, and on-demand upstreams are ordered only for the load that the
reclaimable ones cannot serve at the moment.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams

# Share of engine time that reading prompts may take. Above it, queueing behind
# other prompts exceeds the latency objectives of short requests.
TARGET_UTILIZATION = 0.5
# Windows over which the mean load is taken; the highest mean counts.
# Reclaimable engines follow short peaks too; on-demand engines, which cost
# more, follow the longer windows only.
LOAD_WINDOWS_MS = (1_500, 4_000, 8_000)
LONG_LOAD_WINDOWS_MS = (4_000, 8_000)
# Utilization above which on-demand engines are ordered.
ON_DEMAND_UTILIZATION = 0.7
# Replaces both utilizations in fleets that divide their engines into prompt
# size classes: their large loads fluctuate less, and each class needs spare
# capacity of its own.
SIZE_CLASS_UTILIZATION = 0.6
# Reclaimable engines are ordered for this many times the load, since the load
# may rise further while they boot.
LOAD_HEADROOM = 1.15
# Minimum number of engines of a service at any load.
MIN_ENGINES = 2
# Backoff after the platform refused an order for lack of capacity.
REFUSED_BACKOFF_MS = 1_000
# After a reclaim the platform mostly has no reclaimable capacity for this long,
# and may reclaim other zones too.
RECLAIM_SCARCITY_MS = 15_000
# Without load, on-demand upstreams are ordered only once their number has been
# constant for this long: upstreams that start together register over several
# heartbeats, and an order based on those registered so far stops the ones that
# register later.
STABLE_COUNT_MS = 3_000
# Stabilization window: a lower count is ordered only after it has sufficed for
# this long.
SCALE_DOWN_DELAY_MS = 4_000
# An order whose outcome is unknown is repeated after this time.
UNKNOWN_ORDER_RETRY_MS = 1_500
# Time by which an ordered upstream may exceed its declared boot time.
BOOT_SLACK_MS = 2_000


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """The desired count of upstreams of one kind in a zone.

    `load_engines` is the load in busy engines, and `needed_engines` the number
    of engines that must remain for it when any one zone is lost; both are
    logged.
    """

    service: str
    zone: str
    count: int
    reclaimable: bool
    load_engines: float
    needed_engines: int


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Desired counts of upstreams of each kind, by zone."""

    reclaimable: dict[str, int]
    on_demand: dict[str, int]


class LoadMeter:
    """The load: engine time requested per elapsed time."""

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        # Sample times with the total work until then, both in ms.
        self._samples: collections.deque[tuple[int, float]] = (
            collections.deque()
        )

    def record(self, now_ms: int, work_ms: float) -> None:
        """Add a sample of the total work, in milliseconds of engine time."""
        self._samples.append((now_ms, work_ms))
        while self._samples[0][0] < now_ms - max(LOAD_WINDOWS_MS):
            self._samples.popleft()

    def has_sustained_load(self) -> bool:
        """Return whether work arrived throughout the longest window.

        Samples have to cover three quarters of it.
        """
        if len(self._samples) < 2:
            return False
        first_ms, first_work_ms = self._samples[0]
        last_ms, last_work_ms = self._samples[-1]
        covered = last_ms - first_ms >= max(LOAD_WINDOWS_MS) * 3 // 4
        return covered and first_work_ms > 0.0 and last_work_ms > first_work_ms

    def peak_load(self, windows_ms: tuple[int, ...]) -> float | None:
        """Return the highest mean load over the windows, in busy engines.

        None before there are two samples.
        """
        if len(self._samples) < 2:
            return None
        last_ms, last_work_ms = self._samples[-1]
        highest = 0.0
        for window_ms in windows_ms:
            for sample_ms, work_ms in self._samples:
                if sample_ms < last_ms - window_ms:
                    continue
                elapsed_ms = last_ms - sample_ms
                if elapsed_ms >= window_ms // 2:
                    load = (last_work_ms - work_ms) / elapsed_ms
                    highest = max(highest, load)
                break
        return highest


class Supply:
    """The engines of a service that accept work, by zone and kind."""

    __slots__ = ("ready", "reclaim_announced")

    def __init__(self) -> None:
        # Ready engines by zone and whether they are reclaimable.
        self.ready: dict[tuple[str, bool], int] = {}
        # Whether a reclaim has been announced in any zone.
        self.reclaim_announced = False

    def count(self, zone: str, *, reclaimable: bool) -> int:
        """Return the number of engines of one kind in a zone."""
        return self.ready.get((zone, reclaimable), 0)

    def total(self, *, reclaimable: bool) -> int:
        """Return the number of engines of one kind in all zones."""
        total = 0
        for (_, kind), count in self.ready.items():
            if kind is reclaimable:
                total += count
        return total


def plan(
    needed_engines: int,
    needed_on_demand: int,
    bounds: deployment.Autoscaling,
    zones: list[str],
    supply: Supply,
    *,
    scarce: bool,
) -> Plan:
    """Return the desired counts for a load.

    `needed_engines` is the number of reclaimable engines that must remain
    when any one zone is lost. On-demand engines make up the difference between
    `needed_on_demand`, a lower number, and the ready reclaimable engines. With
    `scarce`, the zone with the most reclaimable engines counts as lost.
    """
    surviving_zones = max(1, len(zones) - 1)
    per_zone = math.ceil(needed_engines / surviving_zones)
    if bounds.reclaimable_price_share >= 1.0:
        per_zone = 0
    per_zone = max(0, min(per_zone, bounds.max_per_zone - 1))
    reclaimable = dict.fromkeys(zones, per_zone)
    missing = needed_on_demand
    if per_zone > 0:
        ready = supply.total(reclaimable=True)
        missing = needed_on_demand - ready
        if scarce:
            largest = max(supply.count(z, reclaimable=True) for z in zones)
            missing = needed_on_demand - (ready - largest)
    on_demand = _distribute(max(0, missing), bounds, zones, supply)
    if per_zone == 0:
        for zone in zones:
            on_demand[zone] = max(on_demand[zone], bounds.min_per_zone)
    return Plan(reclaimable, on_demand)


def _distribute(
    count: int,
    bounds: deployment.Autoscaling,
    zones: list[str],
    supply: Supply,
) -> dict[str, int]:
    """Distribute on-demand engines over the zones, cheaper zones first.

    Reclaimable engines count towards the maximum of a zone.
    """
    counts = dict.fromkeys(zones, 0)
    by_price = sorted(zones, key=lambda z: bounds.price_by_zone.get(z, 1.0))
    for _ in range(bounds.max_per_zone):
        for zone in by_price:
            in_zone = supply.count(zone, reclaimable=True) + counts[zone]
            if count <= 0 or in_zone >= bounds.max_per_zone:
                continue
            counts[zone] += 1
            count -= 1
    return counts


class _ServiceScaler:
    """The load of one service and the orders placed for it.

    Keys are a zone and whether the upstreams are reclaimable.
    """

    __slots__ = (
        "accepted_ms",
        "had_load",
        "initial_on_demand",
        "load_meter",
        "lower_since_ms",
        "next_order_ms",
        "on_demand_count",
        "on_demand_since_ms",
        "ordered_counts",
        "scarce_until_ms",
    )

    def __init__(self) -> None:
        self.load_meter = LoadMeter()
        # The last accepted count, and when it was accepted.
        self.ordered_counts: dict[tuple[str, bool], int] = {}
        self.accepted_ms: dict[tuple[str, bool], int] = {}
        # No order before this time, after a refusal or an unknown outcome.
        self.next_order_ms: dict[tuple[str, bool], int] = {}
        # Since when a lower count than the ordered one has sufficed.
        self.lower_since_ms: dict[tuple[str, bool], int] = {}
        # Until when reclaimable upstreams count as unavailable.
        self.scarce_until_ms = 0
        # The most on-demand engines that were ready before there was load.
        self.initial_on_demand = 0
        # Whether there has been sustained load.
        self.had_load = False
        # The number of ready on-demand upstreams, and the time of its last
        # change.
        self.on_demand_count = -1
        self.on_demand_since_ms = 0

    def is_stable(self, on_demand_count: int, now_ms: int) -> bool:
        """Return whether the on-demand count has been constant long enough."""
        if on_demand_count != self.on_demand_count:
            self.on_demand_count = on_demand_count
            self.on_demand_since_ms = now_ms
        return now_ms >= self.on_demand_since_ms + STABLE_COUNT_MS


class Autoscaler:
    """Computes the orders of upstreams while this entry holds the lease."""

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, _ServiceScaler] = {}

    def due_orders(
        self, state: forwarding_state.ForwardingState, now_ms: int
    ) -> list[Order]:
        """Return the orders to place now, for all autoscaled services."""
        due: list[Order] = []
        if state.deployment is None:
            return due
        for service in state.deployment.services.values():
            if service.autoscaling is None or service.engine is None:
                continue
            due.extend(
                self._service_orders(
                    state, service, service.autoscaling, now_ms
                )
            )
        return due

    def record_accepted(self, order: Order, now_ms: int) -> None:
        """Record that the platform accepted an order."""
        scaler = self._services[order.service]
        key = (order.zone, order.reclaimable)
        scaler.ordered_counts[key] = order.count
        scaler.accepted_ms[key] = now_ms

    def record_refused(self, order: Order, now_ms: int) -> None:
        """Record that the platform has no capacity for an order."""
        scaler = self._services[order.service]
        key = (order.zone, order.reclaimable)
        scaler.next_order_ms[key] = now_ms + REFUSED_BACKOFF_MS
        if order.reclaimable:
            scaler.scarce_until_ms = max(
                scaler.scarce_until_ms, now_ms + 2 * REFUSED_BACKOFF_MS
            )

    def record_unknown(self, order: Order, now_ms: int) -> None:
        """Record that it is unknown whether an order was accepted."""
        scaler = self._services[order.service]
        key = (order.zone, order.reclaimable)
        scaler.ordered_counts.pop(key, None)
        scaler.next_order_ms[key] = now_ms + UNKNOWN_ORDER_RETRY_MS

    def _service_orders(
        self,
        state: forwarding_state.ForwardingState,
        service: deployment.Service,
        bounds: deployment.Autoscaling,
        now_ms: int,
    ) -> list[Order]:
        """Return the due orders of one service.

        There are none before two load samples.
        """
        scaler = self._services.setdefault(service.name, _ServiceScaler())
        scaler.load_meter.record(now_ms, state.total_work_ms(service.name))
        supply = _supply(state, service.name)
        is_stable = scaler.is_stable(supply.total(reclaimable=False), now_ms)
        load = scaler.load_meter.peak_load(LOAD_WINDOWS_MS)
        long_load = scaler.load_meter.peak_load(LONG_LOAD_WINDOWS_MS)
        if load is None or long_load is None:
            return []
        unreachable_factor = state.unreachable_entry_factor(now_ms)
        load *= unreachable_factor
        long_load *= unreachable_factor
        zones = sorted(bounds.price_by_zone)
        if supply.reclaim_announced:
            scaler.scarce_until_ms = now_ms + RECLAIM_SCARCITY_MS
        reclaimable_utilization, on_demand_utilization = (
            TARGET_UTILIZATION,
            ON_DEMAND_UTILIZATION,
        )
        if state.members.count() > selection.SMALL_FLEET_ENTRIES:
            reclaimable_utilization = on_demand_utilization = (
                SIZE_CLASS_UTILIZATION
            )
        needed_engines = max(
            MIN_ENGINES,
            math.ceil(load * LOAD_HEADROOM / reclaimable_utilization),
        )
        needed_on_demand = max(
            MIN_ENGINES, math.ceil(long_load / on_demand_utilization)
        )
        # Others have to take what engines at their limits do not.
        missing = _engines_lost_to_limits(
            state, service.name, reclaimable_utilization
        )
        needed_engines += missing
        needed_on_demand += missing
        if not scaler.had_load:
            # Without load the demand cannot be estimated, so the on-demand
            # engines that are running are kept.
            scaler.initial_on_demand = max(
                scaler.initial_on_demand, supply.total(reclaimable=False)
            )
            needed_engines = max(needed_engines, scaler.initial_on_demand)
            needed_on_demand = max(needed_on_demand, scaler.initial_on_demand)
            scaler.had_load = scaler.load_meter.has_sustained_load()
        planned = plan(
            needed_engines,
            needed_on_demand,
            bounds,
            zones,
            supply,
            scarce=now_ms < scaler.scarce_until_ms,
        )
        due = []
        for reclaimable, by_zone in (
            (True, planned.reclaimable),
            (False, planned.on_demand),
        ):
            if not reclaimable and not is_stable and load <= 0.0:
                continue
            for zone, count in by_zone.items():
                order = Order(
                    service.name, zone, count, reclaimable, load, needed_engines
                )
                ready = supply.count(zone, reclaimable=reclaimable)
                if self._is_due(scaler, order, ready, bounds.boot_ms, now_ms):
                    due.append(order)
        return due

    def _is_due(
        self,
        scaler: _ServiceScaler,
        order: Order,
        ready: int,
        boot_ms: int,
        now_ms: int,
    ) -> bool:
        """Return whether an order differs from the last one and may be placed.

        `ready` is the number of upstreams of this kind that are ready in the
        zone. If it is below the ordered count after the boot time, the order
        is repeated.
        """
        key = (order.zone, order.reclaimable)
        if now_ms < scaler.next_order_ms.get(key, 0):
            return False
        ordered_count = scaler.ordered_counts.get(key, ready)
        started_ms = scaler.accepted_ms.get(key, 0) + boot_ms + BOOT_SLACK_MS
        if ready < min(ordered_count, order.count) and now_ms >= started_ms:
            # Reclaimed or failed upstreams have to be ordered again.
            scaler.lower_since_ms.pop(key, None)
            return True
        if order.count >= ordered_count:
            scaler.lower_since_ms.pop(key, None)
            return order.count > ordered_count
        since_ms = scaler.lower_since_ms.setdefault(key, now_ms)
        return now_ms >= since_ms + SCALE_DOWN_DELAY_MS


def _engines_lost_to_limits(
    state: forwarding_state.ForwardingState, service: str, utilization: float
) -> int:
    """Return how many engines' work the limits of ready engines keep away."""
    mean_work_ms = state.mean_work_ms(service)
    lost = 0.0
    for upstream in state.upstreams.of_service(service):
        if upstream.registration.lifecycle is not upstreams.Lifecycle.READY:
            continue
        share = upstream.limit_share
        if share is None or share.limit_per_s is None:
            continue
        load = share.limit_per_s * mean_work_ms / 1_000
        lost += max(0.0, 1.0 - load / utilization)
    return math.ceil(lost) if mean_work_ms else 0


def _supply(state: forwarding_state.ForwardingState, service: str) -> Supply:
    """Count the ready upstreams of a service."""
    supply = Supply()
    for upstream in state.upstreams.of_service(service):
        registration = upstream.registration
        if registration.lifecycle is upstreams.Lifecycle.READY:
            key = (registration.zone, registration.reclaimable)
            supply.ready[key] = supply.ready.get(key, 0) + 1
        elif registration.reclaimable:
            supply.reclaim_announced = True
    return supply
