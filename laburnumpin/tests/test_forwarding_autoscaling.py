"""Tests of the autoscaler against a simulated cloud, under load peaks."""

from __future__ import annotations

from laburnumpin.forwarding import autoscaling
from laburnumpin.forwarding import events
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams
from laburnumpin.tests import forwarding_builders as build

ZONES = ("a", "b", "c")
STEP_MS = 500
# The engines that remain may be utilized by the load up to this share.
MAX_UTILIZATION = 0.7


def _engines(
    reclaimable: bool, count_by_zone: dict[str, int]
) -> list[upstreams.Registration]:
    engines = []
    for zone, count in count_by_zone.items():
        for number in range(count):
            engines.append(
                build.registration(
                    f"{zone}{number}{int(reclaimable)}",
                    zone=zone,
                    reclaimable=reclaimable,
                )
            )
    return engines


class _Fleet:
    """Simulates the cloud: orders take the boot time, reclaims are immediate.

    Orders of reclaimable engines are refused until `no_capacity_until_ms`.
    """

    def __init__(self, on_demand: int) -> None:
        self.on_demand = dict.fromkeys(ZONES, on_demand)
        self.reclaimable = dict.fromkeys(ZONES, 0)
        self.booting: list[tuple[int, autoscaling.Order]] = []
        self.now_ms = 0
        self.version = 1
        self.no_capacity_until_ms = 0
        self.scaler = autoscaling.Autoscaler()
        self.state = build.state(*self._registered())
        self.fewest_engines = 99
        self.on_demand_ms = 0

    def _registered(self) -> list[upstreams.Registration]:
        engines = _engines(False, self.on_demand)
        return engines + _engines(True, self.reclaimable)

    def run(self, duration_ms: int, load_engines: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self.state.add_work(build.ENGINES, load_engines * STEP_MS)
            for order in self.scaler.due_orders(self.state, self.now_ms):
                self._place(order)
            for ready_ms, order in list(self.booting):
                if self.now_ms >= ready_ms:
                    self.booting.remove((ready_ms, order))
                    self._set_count(order)
            self._register()
            total = sum(self.on_demand.values())
            self.on_demand_ms += total * STEP_MS
            total += sum(self.reclaimable.values())
            self.fewest_engines = min(self.fewest_engines, total)

    def reclaim(self, zone: str, no_capacity_ms: int) -> None:
        self.no_capacity_until_ms = max(
            self.no_capacity_until_ms, self.now_ms + no_capacity_ms
        )
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
        for order in self.scaler.due_orders(self.state, self.now_ms):
            self._place(order)
        self.reclaimable[zone] = 0
        self._register()

    def _place(self, order: autoscaling.Order) -> None:
        no_capacity = (
            order.reclaimable and self.now_ms < self.no_capacity_until_ms
        )
        counts = self.reclaimable if order.reclaimable else self.on_demand
        if no_capacity and order.count > counts[order.zone]:
            self.scaler.record_refused(order, self.now_ms)
            return
        self.scaler.record_accepted(order, self.now_ms)
        if order.count <= counts[order.zone]:
            self._set_count(order)
            return
        self.booting.append((self.now_ms + 4_000, order))

    def _set_count(self, order: autoscaling.Order) -> None:
        counts = self.reclaimable if order.reclaimable else self.on_demand
        counts[order.zone] = order.count

    def _register(self) -> None:
        self.version += 1
        reducer.reduce(
            self.state,
            events.UpstreamsListed(
                self.now_ms, self.version, tuple(self._registered()), False
            ),
        )


def test_fleet_is_kept_until_there_is_load() -> None:
    # Guards against scaling down a fleet that starts well before its callers:
    # on scale-1 of Rigsafe only three engines were left for the first peak.
    fleet = _Fleet(on_demand=2)
    fleet.run(12_000, load_engines=0.0)
    assert sum(fleet.on_demand.values()) + sum(fleet.reclaimable.values()) >= 6


def test_steady_load_is_carried_by_reclaimable_engines() -> None:
    # Without reclaims, no on-demand engine may be kept, and the load has to fit
    # on the reclaimable engines that remain when any one zone is lost.
    fleet = _Fleet(on_demand=2)
    fleet.run(12_000, load_engines=0.0)
    fleet.run(40_000, load_engines=1.5)
    assert sum(fleet.on_demand.values()) == 0
    total = sum(fleet.reclaimable.values())
    largest = max(fleet.reclaimable.values())
    assert total - largest >= 1.5 / MAX_UTILIZATION


def test_engines_of_two_reclaimed_zones_are_replaced() -> None:
    # Two zones are reclaimed seconds apart while the platform has no
    # reclaimable capacity; on-demand engines have to replace both.
    fleet = _Fleet(on_demand=2)
    fleet.run(12_000, load_engines=0.0)
    fleet.run(30_000, load_engines=1.5)
    fleet.reclaim("a", no_capacity_ms=14_000)
    fleet.run(3_500, load_engines=1.5)
    fleet.reclaim("b", no_capacity_ms=14_000)
    fleet.run(6_000, load_engines=1.5)
    total = sum(fleet.on_demand.values()) + sum(fleet.reclaimable.values())
    assert total >= 1.5 / MAX_UTILIZATION


def test_on_demand_engines_stop_when_reclaimable_ones_return() -> None:
    fleet = _Fleet(on_demand=2)
    fleet.run(12_000, load_engines=0.0)
    fleet.run(30_000, load_engines=1.5)
    fleet.reclaim("a", no_capacity_ms=5_000)
    fleet.run(40_000, load_engines=1.5)
    assert sum(fleet.on_demand.values()) == 0
    assert min(fleet.reclaimable.values()) >= 1


def test_surge_is_followed_upwards() -> None:
    # The load rises to three times its value, as on a Monday.
    fleet = _Fleet(on_demand=2)
    fleet.run(12_000, load_engines=0.0)
    fleet.run(20_000, load_engines=1.0)
    fleet.run(8_000, load_engines=3.0)
    total = sum(fleet.on_demand.values()) + sum(fleet.reclaimable.values())
    assert total >= 3.0 / MAX_UTILIZATION


def test_orders_stay_within_the_bounds() -> None:
    bounds = build.autoscaling(max_per_zone=4)
    supply = autoscaling.Supply()
    plan = autoscaling.plan(40, 40, bounds, list(ZONES), supply, scarce=True)
    for zone in ZONES:
        assert plan.reclaimable[zone] <= 4
        assert plan.on_demand[zone] <= 4


def test_service_without_reclaimable_engines_keeps_its_minimum() -> None:
    bounds = build.autoscaling(reclaimable_price_share=1.0, min_per_zone=1)
    supply = autoscaling.Supply()
    plan = autoscaling.plan(2, 2, bounds, list(ZONES), supply, scarce=False)
    assert sum(plan.reclaimable.values()) == 0
    assert min(plan.on_demand.values()) >= 1


def test_unknown_outcome_is_ordered_again() -> None:
    state: forwarding_state.ForwardingState = build.state(
        *_engines(False, dict.fromkeys(ZONES, 2))
    )
    scaler = autoscaling.Autoscaler()
    scaler.due_orders(state, 0)
    placed = scaler.due_orders(state, 5_000)
    assert placed
    for order in placed:
        scaler.record_unknown(order, 5_000)
    assert not scaler.due_orders(state, 5_500)
    assert scaler.due_orders(state, 5_000 + autoscaling.UNKNOWN_ORDER_RETRY_MS)


def test_load_of_partitioned_entries_is_extrapolated() -> None:
    # Half of the entries are partitioned from the lease holder and still send
    # work to the engines; without extrapolation the holder orders too few
    # (scale-2 of grown Luvas).
    state = build.state(*_engines(False, dict.fromkeys(ZONES, 1)))
    contacts = [build.contact(f"entry-{n}") for n in range(2, 5)]
    for contact in contacts:
        state.members.record_digest(contact, 1, 0)
    state.members.record_digest(contacts[0], 1, 10_000)
    assert state.unreachable_entry_factor(10_000) == 2.0


def test_upstreams_that_register_one_after_the_other_are_kept() -> None:
    # A large fleet starts together with the entries and registers over some
    # seconds. Orders based on the upstreams registered so far stopped half of
    # the engines on the grown quiet-1.
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
        for order in scaler.due_orders(state, now_ms):
            scaler.record_accepted(order, now_ms)
            # All are registered at the tenth step; no on-demand engine is
            # stopped as long as no reclaimable one registers.
            if not order.reclaimable:
                assert step > 10
                assert order.count >= 10


def test_fleet_that_is_divided_by_prompt_size_has_room_for_each_class() -> None:
    # The grown deployments keep 16 engines busy, and all reclaimable engines
    # are reclaimed one zone after the other (scale-1 of grown Luvas).
    bounds = build.autoscaling(max_per_zone=60)
    state = build.state(current=build.configuration(bounds=bounds))
    for number in range(20):
        state.members.record_digest(build.contact(f"entry-{number + 2}"), 1, 0)
    scaler = autoscaling.Autoscaler()
    orders: list[autoscaling.Order] = []
    for now_ms in range(0, 12_000, STEP_MS):
        state.add_work(build.ENGINES, 16.0 * STEP_MS)
        for number in range(20):
            state.members.record_digest(
                build.contact(f"entry-{number + 2}"), 1, now_ms
            )
        orders = scaler.due_orders(state, now_ms) or orders
    on_demand = sum(o.count for o in orders if not o.reclaimable)
    assert 16.0 / 0.65 <= on_demand <= 16.0 / 0.55


def test_engines_that_name_a_low_limit_are_replaced_by_others() -> None:
    # On the day "capped", 70% of the engines took half of their usual requests
    # and the others were overloaded.
    fleet = _Fleet(on_demand=0)
    fleet.run(20_000, 1.0)
    before = sum(fleet.reclaimable.values()) + sum(fleet.on_demand.values())
    # 20 requests a second are a load of one engine.
    fleet.state.work_requests[build.ENGINES] = 400
    for upstream in list(fleet.state.upstreams.all())[:4]:
        seen = build.stated(
            fleet.now_ms, upstream.registration, sent_ms=0, limit_per_s=3.0
        )
        reducer.reduce(fleet.state, seen)
    fleet.run(10_000, 1.0)
    after = sum(fleet.reclaimable.values()) + sum(fleet.on_demand.values())
    assert after >= before + 2
