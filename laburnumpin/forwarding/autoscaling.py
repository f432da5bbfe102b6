"""How many upstreams of each kind are ordered where.

Reclaimable upstreams cost a fraction of the others and are taken away by the
zone, on a notice that is shorter than the start of a replacement; for a while
afterwards there are none to be had. So each zone gets as many that the load is
carried without any one zone, and others are ordered only for what the
reclaimable ones cannot carry at the moment.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams

# Share of the engines' time that the prompts of their requests may take. Above
# it the wait for other prompts exceeds the objectives of short requests.
TARGET_UTILIZATION = 0.5
# The load is the highest mean over spans of time: reclaimable engines follow
# the short ones too, the costly others the long ones only.
SPANS_MS = (1_500, 4_000, 8_000)
LONG_SPANS_MS = (4_000, 8_000)
# Utilization at which others are ordered.
REGULAR_UTILIZATION = 0.7
# Both for fleets whose engines are divided by the size of prompts: their large
# loads fluctuate less, and each class needs room of its own.
DIVIDED_UTILIZATION = 0.6
# Engines are ordered for this many times the load, for waves rise while
# ordered engines start.
GROWTH = 1.15
# Fewest engines of a service that are kept whatever the load.
MIN_ENGINES = 2
# Pause after the platform had none to offer.
REFUSED_PAUSE_MS = 1_000
# After a reclaim there are mostly none to be had for this long, and other
# zones may follow.
SCARCE_MS = 15_000
# Before load is seen, the number of costly upstreams is left alone until it has
# been the same for this long: those that start together register over several
# heartbeats, and an order for fewer than there are takes some away.
SETTLE_MS = 3_000
# A smaller number is ordered only after it has been enough for this long.
SHRINK_MS = 4_000
# An order whose outcome is not known is repeated after this time.
REPEAT_MS = 1_500
# How long an ordered upstream may take beyond the declared time.
BOOT_SLACK_MS = 2_000


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """A wanted number of upstreams of one kind in a zone."""

    service: str
    zone: str
    count: int
    reclaimable: bool
    load_engines: float
    needed: int


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Wanted numbers by zone."""

    reclaimable: dict[str, int]
    regular: dict[str, int]


class LoadMeter:
    """Work that arrived, as engines kept busy by it."""

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[int, float]] = (
            collections.deque()
        )

    def add(self, now_ms: int, work_ms: float) -> None:
        """Add a reading of the work in total, in engine milliseconds."""
        self._samples.append((now_ms, work_ms))
        while self._samples[0][0] < now_ms - max(SPANS_MS):
            self._samples.popleft()

    def has_seen_load(self) -> bool:
        """Return whether work has arrived over the longest span."""
        if len(self._samples) < 2:
            return False
        first_ms, first_work = self._samples[0]
        last_ms, last_work = self._samples[-1]
        covered = last_ms - first_ms >= max(SPANS_MS) * 3 // 4
        return covered and first_work > 0.0 and last_work > first_work

    def engines(self, spans_ms: tuple[int, ...]) -> float | None:
        """Return the highest load over the spans; None if not known yet."""
        if len(self._samples) < 2:
            return None
        last_ms, last_work = self._samples[-1]
        highest = 0.0
        for span_ms in spans_ms:
            for then_ms, work in self._samples:
                if then_ms < last_ms - span_ms:
                    continue
                elapsed_ms = last_ms - then_ms
                if elapsed_ms >= span_ms // 2:
                    load = (last_work - work) / elapsed_ms
                    highest = max(highest, load)
                break
        return highest


class Supply:
    """The engines of a service that can take work, by zone and kind."""

    __slots__ = ("ready", "reclaimed")

    def __init__(self) -> None:
        self.ready: dict[tuple[str, bool], int] = {}
        # Whether a reclaim has been announced anywhere.
        self.reclaimed = False

    def count(self, zone: str, *, reclaimable: bool) -> int:
        """Return the engines of one kind in a zone."""
        return self.ready.get((zone, reclaimable), 0)

    def total(self, *, reclaimable: bool) -> int:
        """Return the engines of one kind in all zones."""
        total = 0
        for (_, kind), count in self.ready.items():
            if kind is reclaimable:
                total += count
        return total


def plan(
    needed: int,
    needed_regular: int,
    bounds: deployment.Autoscaling,
    zones: list[str],
    supply: Supply,
    *,
    scarce: bool,
) -> Plan:
    """Return the wanted numbers for a load that needs `needed` engines.

    `needed_regular` is what the load needs at the least. While reclaimable
    engines are scarce, others make up for those that are missing and for the
    zone that would be lost next.
    """
    others = max(1, len(zones) - 1)
    each = math.ceil(needed / others)
    if bounds.reclaimable_price_share >= 1.0:
        each = 0
    each = max(0, min(each, bounds.max_per_zone - 1))
    wanted = dict.fromkeys(zones, each)
    missing = needed_regular
    if each > 0:
        ready = supply.total(reclaimable=True)
        missing = needed_regular - ready
        if scarce:
            largest = max(supply.count(z, reclaimable=True) for z in zones)
            missing = needed_regular - (ready - largest)
    regular = _spread(max(0, missing), bounds, zones, supply)
    if each == 0:
        for zone in zones:
            regular[zone] = max(regular[zone], bounds.min_per_zone)
    return Plan(wanted, regular)


def _spread(
    count: int,
    bounds: deployment.Autoscaling,
    zones: list[str],
    supply: Supply,
) -> dict[str, int]:
    """Spread engines over the zones, cheaper ones first."""
    spread = dict.fromkeys(zones, 0)
    by_price = sorted(zones, key=lambda z: bounds.price_by_zone.get(z, 1.0))
    for _ in range(bounds.max_per_zone):
        for zone in by_price:
            taken = supply.count(zone, reclaimable=True) + spread[zone]
            if count <= 0 or taken >= bounds.max_per_zone:
                continue
            spread[zone] += 1
            count -= 1
    return spread


class _ServiceScaler:
    """The orders of one service."""

    __slots__ = (
        "accepted_ms",
        "initial",
        "last",
        "meter",
        "next_ms",
        "present",
        "present_since_ms",
        "scarce_until_ms",
        "seen_load",
        "shrink_since_ms",
    )

    def __init__(self) -> None:
        self.meter = LoadMeter()
        # The last accepted count by zone and kind.
        self.last: dict[tuple[str, bool], int] = {}
        self.accepted_ms: dict[tuple[str, bool], int] = {}
        self.next_ms: dict[tuple[str, bool], int] = {}
        self.shrink_since_ms: dict[tuple[str, bool], int] = {}
        self.scarce_until_ms = 0
        # Engines that were there before any load was seen.
        self.initial = 0
        self.seen_load = False
        # The number of costly upstreams, and since when it has been the same.
        self.present = -1
        self.present_since_ms = 0

    def is_settled(self, present: int, now_ms: int) -> bool:
        """Return whether the number of upstreams has not changed lately."""
        if present != self.present:
            self.present = present
            self.present_since_ms = now_ms
        return now_ms >= self.present_since_ms + SETTLE_MS


class Autoscaler:
    """Follows the load with orders while this entry holds the lease."""

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, _ServiceScaler] = {}

    def orders(
        self, state: forwarding_state.ForwardingState, now_ms: int
    ) -> list[Order]:
        """Return the orders to place now."""
        placed: list[Order] = []
        if state.deployment is None:
            return placed
        for service in state.deployment.services.values():
            if service.autoscaling is None or service.engine is None:
                continue
            placed.extend(
                self._orders(state, service, service.autoscaling, now_ms)
            )
        return placed

    def accepted(self, order: Order, now_ms: int) -> None:
        """Note that an order was accepted."""
        scaler = self._services[order.service]
        key = (order.zone, order.reclaimable)
        scaler.last[key] = order.count
        scaler.accepted_ms[key] = now_ms

    def refused(self, order: Order, now_ms: int) -> None:
        """Note that there are none to be had at the moment."""
        scaler = self._services[order.service]
        key = (order.zone, order.reclaimable)
        scaler.next_ms[key] = now_ms + REFUSED_PAUSE_MS
        if order.reclaimable:
            scaler.scarce_until_ms = max(
                scaler.scarce_until_ms, now_ms + 2 * REFUSED_PAUSE_MS
            )

    def lost(self, order: Order, now_ms: int) -> None:
        """Note that it is not known whether an order was accepted."""
        scaler = self._services[order.service]
        key = (order.zone, order.reclaimable)
        scaler.last.pop(key, None)
        scaler.next_ms[key] = now_ms + REPEAT_MS

    def _orders(
        self,
        state: forwarding_state.ForwardingState,
        service: deployment.Service,
        bounds: deployment.Autoscaling,
        now_ms: int,
    ) -> list[Order]:
        scaler = self._services.setdefault(service.name, _ServiceScaler())
        scaler.meter.add(now_ms, state.total_work_ms(service.name))
        supply = _supply(state, service.name)
        is_settled = scaler.is_settled(supply.total(reclaimable=False), now_ms)
        load = scaler.meter.engines(SPANS_MS)
        long_load = scaler.meter.engines(LONG_SPANS_MS)
        if load is None or long_load is None:
            return []
        unheard = state.unheard_factor(now_ms)
        load *= unheard
        long_load *= unheard
        zones = sorted(bounds.price_by_zone)
        if supply.reclaimed:
            scaler.scarce_until_ms = now_ms + SCARCE_MS
        target, regular = TARGET_UTILIZATION, REGULAR_UTILIZATION
        if state.members.count() > selection.SMALL_FLEET:
            target = regular = DIVIDED_UTILIZATION
        needed = max(MIN_ENGINES, math.ceil(load * GROWTH / target))
        needed_regular = max(MIN_ENGINES, math.ceil(long_load / regular))
        if not scaler.seen_load:
            # Without load there is no telling what will come: what is there
            # stays.
            scaler.initial = max(
                scaler.initial, supply.total(reclaimable=False)
            )
            needed = max(needed, scaler.initial)
            needed_regular = max(needed_regular, scaler.initial)
            scaler.seen_load = scaler.meter.has_seen_load()
        wanted = plan(
            needed,
            needed_regular,
            bounds,
            zones,
            supply,
            scarce=now_ms < scaler.scarce_until_ms,
        )
        placed = []
        for reclaimable, by_zone in (
            (True, wanted.reclaimable),
            (False, wanted.regular),
        ):
            if not reclaimable and not is_settled and load <= 0.0:
                continue
            for zone, count in by_zone.items():
                order = Order(
                    service.name, zone, count, reclaimable, load, needed
                )
                ready = supply.count(zone, reclaimable=reclaimable)
                if self._is_due(scaler, order, ready, bounds.boot_ms, now_ms):
                    placed.append(order)
        return placed

    def _is_due(
        self,
        scaler: _ServiceScaler,
        order: Order,
        ready: int,
        boot_ms: int,
        now_ms: int,
    ) -> bool:
        key = (order.zone, order.reclaimable)
        if now_ms < scaler.next_ms.get(key, 0):
            return False
        last = scaler.last.get(key, ready)
        started_ms = scaler.accepted_ms.get(key, 0) + boot_ms + BOOT_SLACK_MS
        if ready < min(last, order.count) and now_ms >= started_ms:
            # What was taken away has to be ordered again.
            scaler.shrink_since_ms.pop(key, None)
            return True
        if order.count >= last:
            scaler.shrink_since_ms.pop(key, None)
            return order.count > last
        since_ms = scaler.shrink_since_ms.setdefault(key, now_ms)
        return now_ms >= since_ms + SHRINK_MS


def _supply(state: forwarding_state.ForwardingState, service: str) -> Supply:
    supply = Supply()
    for upstream in state.upstreams.of_service(service):
        registration = upstream.registration
        if registration.lifecycle is upstreams.Lifecycle.READY:
            key = (registration.zone, registration.reclaimable)
            supply.ready[key] = supply.ready.get(key, 0) + 1
        elif registration.reclaimable:
            supply.reclaimed = True
    return supply
