"""Orders of upstreams under the loads of heavy days."""

from __future__ import annotations

from laburnumpin.forwarding import autoscaling
from laburnumpin.forwarding import events
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams
from laburnumpin.tests import forwarding_builders as build

ZONES = ("a", "b", "c")
STEP_MS = 500
# Engines that are left carry the load at this utilization at most.
MOST_UTILIZATION = 0.7


def _engines(
    kind: bool, count_by_zone: dict[str, int]
) -> list[upstreams.Registration]:
    engines = []
    for zone, count in count_by_zone.items():
        for number in range(count):
            engines.append(
                build.registration(
                    f"{zone}{number}{int(kind)}", zone=zone, reclaimable=kind
                )
            )
    return engines


class _Fleet:
    """Plays the cloud: orders start after the boot time, reclaims at once."""

    def __init__(self, regular: int) -> None:
        self.regular = dict.fromkeys(ZONES, regular)
        self.reclaimable = dict.fromkeys(ZONES, 0)
        self.booting: list[tuple[int, autoscaling.Order]] = []
        self.now_ms = 0
        self.version = 1
        self.dry_until_ms = 0
        self.scaler = autoscaling.Autoscaler()
        self.state = build.state(*self._registered())
        self.least = 99
        self.regular_ms = 0

    def _registered(self) -> list[upstreams.Registration]:
        engines = _engines(False, self.regular)
        return engines + _engines(True, self.reclaimable)

    def run(self, duration_ms: int, load_engines: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self.state.add_work(build.ENGINES, load_engines * STEP_MS)
            for order in self.scaler.orders(self.state, self.now_ms):
                self._place(order)
            for ready_ms, order in list(self.booting):
                if self.now_ms >= ready_ms:
                    self.booting.remove((ready_ms, order))
                    self._set(order)
            self._register()
            total = sum(self.regular.values())
            self.regular_ms += total * STEP_MS
            total += sum(self.reclaimable.values())
            self.least = min(self.least, total)

    def reclaim(self, zone: str, dry_ms: int) -> None:
        self.dry_until_ms = max(self.dry_until_ms, self.now_ms + dry_ms)
        for engine in _engines(True, {zone: self.reclaimable[zone]}):
            leaving = build.registration(
                engine.upstream_id,
                zone=zone,
                reclaimable=True,
                lifecycle=upstreams.Lifecycle.LEAVING,
            )
            reducer.reduce(
                self.state, events.UpstreamChanged(self.now_ms, 1, leaving)
            )
        for order in self.scaler.orders(self.state, self.now_ms):
            self._place(order)
        self.reclaimable[zone] = 0
        self._register()

    def _place(self, order: autoscaling.Order) -> None:
        dry = order.reclaimable and self.now_ms < self.dry_until_ms
        counts = self.reclaimable if order.reclaimable else self.regular
        if dry and order.count > counts[order.zone]:
            self.scaler.refused(order, self.now_ms)
            return
        self.scaler.accepted(order, self.now_ms)
        if order.count <= counts[order.zone]:
            self._set(order)
            return
        self.booting.append((self.now_ms + 4_000, order))

    def _set(self, order: autoscaling.Order) -> None:
        counts = self.reclaimable if order.reclaimable else self.regular
        counts[order.zone] = order.count

    def _register(self) -> None:
        self.version += 1
        reducer.reduce(
            self.state,
            events.UpstreamsListed(
                self.now_ms, self.version, tuple(self._registered()), False
            ),
        )


def test_fleet_stays_until_load_is_seen() -> None:
    # Pattern: the fleet starts well before its callers (scale-1 of Rigsafe,
    # where three engines met the first wave).
    fleet = _Fleet(regular=2)
    fleet.run(12_000, load_engines=0.0)
    assert sum(fleet.regular.values()) + sum(fleet.reclaimable.values()) >= 6


def test_steady_load_is_carried_by_reclaimable_engines() -> None:
    # Pattern: a calm day.
    fleet = _Fleet(regular=2)
    fleet.run(12_000, load_engines=0.0)
    fleet.run(40_000, load_engines=1.5)
    assert sum(fleet.regular.values()) == 0
    total = sum(fleet.reclaimable.values())
    largest = max(fleet.reclaimable.values())
    assert total - largest >= 1.5 / MOST_UTILIZATION


def test_reclaims_of_two_zones_are_made_up_for() -> None:
    # Pattern: reclaims seconds apart while there are no replacements.
    fleet = _Fleet(regular=2)
    fleet.run(12_000, load_engines=0.0)
    fleet.run(30_000, load_engines=1.5)
    fleet.reclaim("a", dry_ms=14_000)
    fleet.run(3_500, load_engines=1.5)
    fleet.reclaim("b", dry_ms=14_000)
    fleet.run(6_000, load_engines=1.5)
    total = sum(fleet.regular.values()) + sum(fleet.reclaimable.values())
    assert total >= 1.5 / MOST_UTILIZATION


def test_regular_engines_go_when_reclaimable_ones_are_back() -> None:
    fleet = _Fleet(regular=2)
    fleet.run(12_000, load_engines=0.0)
    fleet.run(30_000, load_engines=1.5)
    fleet.reclaim("a", dry_ms=5_000)
    fleet.run(40_000, load_engines=1.5)
    assert sum(fleet.regular.values()) == 0
    assert min(fleet.reclaimable.values()) >= 1


def test_surge_is_followed_upwards() -> None:
    # Pattern: a Monday surge to three times the load.
    fleet = _Fleet(regular=2)
    fleet.run(12_000, load_engines=0.0)
    fleet.run(20_000, load_engines=1.0)
    fleet.run(8_000, load_engines=3.0)
    total = sum(fleet.regular.values()) + sum(fleet.reclaimable.values())
    assert total >= 3.0 / MOST_UTILIZATION


def test_orders_stay_within_the_bounds() -> None:
    bounds = build.autoscaling(max_per_zone=4)
    supply = autoscaling.Supply()
    plan = autoscaling.plan(40, 40, bounds, list(ZONES), supply, scarce=True)
    for zone in ZONES:
        assert plan.reclaimable[zone] <= 4
        assert plan.regular[zone] <= 4


def test_service_without_reclaimable_engines_keeps_its_least_number() -> None:
    bounds = build.autoscaling(reclaimable_price_share=1.0, min_per_zone=1)
    supply = autoscaling.Supply()
    plan = autoscaling.plan(2, 2, bounds, list(ZONES), supply, scarce=False)
    assert sum(plan.reclaimable.values()) == 0
    assert min(plan.regular.values()) >= 1


def test_unknown_outcome_is_ordered_again() -> None:
    state: forwarding_state.ForwardingState = build.state(
        *_engines(False, dict.fromkeys(ZONES, 2))
    )
    scaler = autoscaling.Autoscaler()
    scaler.orders(state, 0)
    placed = scaler.orders(state, 5_000)
    assert placed
    for order in placed:
        scaler.lost(order, 5_000)
    assert not scaler.orders(state, 5_500)
    assert scaler.orders(state, 5_000 + autoscaling.REPEAT_MS)


def test_load_of_entries_that_are_cut_off_is_counted() -> None:
    # Pattern: half of the entries are cut off from the holder of the lease
    # and still send work to the engines (scale-2 of grown Luvas).
    state = build.state(*_engines(False, dict.fromkeys(ZONES, 1)))
    contacts = [build.contact(f"entry-{n}") for n in range(2, 5)]
    for contact in contacts:
        state.members.hear(contact, 1, 0)
    state.members.hear(contacts[0], 1, 10_000)
    assert state.unheard_factor(10_000) == 2.0


def test_upstreams_that_register_one_after_the_other_are_kept() -> None:
    # Pattern: a large fleet starts with the entries and is registered over
    # some seconds; found on the grown quiet-1, which lost half of its engines
    # to orders for what was registered so far.
    bounds = build.autoscaling(max_per_zone=60)
    state = build.state(current=build.configuration(bounds=bounds))
    scaler = autoscaling.Autoscaler()
    engines = _engines(False, dict.fromkeys(ZONES, 10))
    for step in range(30):
        now_ms = step * STEP_MS
        reducer.reduce(
            state,
            events.UpstreamsListed(
                now_ms, step + 1, tuple(engines[: 3 * step]), False
            ),
        )
        for order in scaler.orders(state, now_ms):
            scaler.accepted(order, now_ms)
            # All are registered at the tenth step; none of them is given up
            # while reclaimable ones do not come.
            if not order.reclaimable:
                assert step > 10
                assert order.count >= 10


def test_fleet_that_is_divided_by_prompt_size_has_room_for_each_class() -> None:
    # Pattern: the grown deployments keep 16 engines busy, and all reclaimable
    # ones go one zone after the other (scale-1 of grown Luvas).
    bounds = build.autoscaling(max_per_zone=60)
    state = build.state(current=build.configuration(bounds=bounds))
    for number in range(20):
        state.members.hear(build.contact(f"entry-{number + 2}"), 1, 0)
    scaler = autoscaling.Autoscaler()
    orders: list[autoscaling.Order] = []
    for now_ms in range(0, 12_000, STEP_MS):
        state.add_work(build.ENGINES, 16.0 * STEP_MS)
        for number in range(20):
            state.members.hear(build.contact(f"entry-{number + 2}"), 1, now_ms)
        orders = scaler.orders(state, now_ms) or orders
    regular = sum(o.count for o in orders if not o.reclaimable)
    assert 16.0 / 0.65 <= regular <= 16.0 / 0.55
