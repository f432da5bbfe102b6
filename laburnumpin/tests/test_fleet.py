"""Tests of capacity planning, VM orders and engine orders."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from laburnumpin.core import demand
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import fleet
from laburnumpin.core import ids
from laburnumpin.core import lease
from laburnumpin.core import lifecycle
from laburnumpin.core import membership
from laburnumpin.core import planning
from laburnumpin.core import profiles
from laburnumpin.core import requests
from laburnumpin.core import state
from laburnumpin.core import upstreams
from laburnumpin.tests import builders

HOUR_MS = 3_600_000


def make_holder(now_ms: int) -> state.EntryState:
    """Return an entry that holds the lease for an hour."""
    entry = builders.make_state()
    entry.lifecycle.phase = lifecycle.Phase.SERVING
    entry.fleet.lease.held_lease = lease.HeldLease(4, 1, now_ms + HOUR_MS)
    entry.fleet.lease.next_action_ms = now_ms + HOUR_MS
    return entry


def make_row(
    vm_id: str, zone: str = "north", leaving: bool = False
) -> events.VmRow:
    return events.VmRow(
        vm_id,
        1,
        events.VmRole.UPSTREAM,
        zone,
        "gpu",
        True,
        leaving,
        service="draft",
        address=f"{vm_id}:1",
    )


def make_report(
    running: int = 0, model: str = "draft-model"
) -> events.LoadReport:
    return events.LoadReport(
        1, 0, running, 0, 8, 0, 10.0, False, model=model, model_version="1"
    )


def plan(
    entry: state.EntryState, now_ms: int, rows: tuple[events.VmRow, ...]
) -> list[effects.Effect]:
    fleet.on_vms_listed(entry, events.VmsListed(now_ms, rows))
    upstreams.on_vms_listed(entry, events.VmsListed(now_ms, rows))
    entry.fleet.next_plan_ms = now_ms
    return fleet.on_tick(entry, events.Tick(now_ms))


def starts(produced: list[effects.Effect]) -> list[effects.StartVm]:
    return [e for e in produced if isinstance(e, effects.StartVm)]


def set_running(entry: state.EntryState, vm_id: str, running: int) -> None:
    upstream = entry.upstreams.by_id[vm_id]
    upstream.report = make_report(running)
    upstream.reported_ms = 0


@hypothesis.given(
    streams=strategies.floats(0.1, 120),
    large_slots=strategies.sampled_from([4, 8, 32]),
)
def test_losing_any_zone_leaves_room_for_all_streams(
    streams: float, large_slots: int
) -> None:
    """Guards against a plan that falls below demand when one zone is lost."""
    placements = list(builders.make_deployment().placements)
    for zone in builders.ZONES:
        placements.append(
            deployment.Placement(
                "draft", zone, "large", True, 0, 4, 1.0, large_slots
            )
        )
    slots = {planning.option_of(item): item.slots for item in placements}
    vms: list[planning.Vm] = []
    while True:
        option = planning.next_start(streams, vms, placements, {}, {}, 0)
        if option is None:
            break
        vms.append(planning.Vm("", option, 0))
    total = sum(slots[vm.option] for vm in vms)
    assert total * planning.TARGET_UTILIZATION >= streams
    for zone in builders.ZONES:
        remaining_slots = sum(
            slots[vm.option] for vm in vms if vm.option.zone != zone
        )
        assert remaining_slots >= streams
    # Beyond the slots that the loss of one of three zones requires, the plan
    # has at most the slots of one largest VM for each zone.
    required_slots = max(streams / planning.TARGET_UTILIZATION, streams * 1.5)
    assert total <= required_slots + 3 * max(slots.values())


def test_cheapest_options_come_first() -> None:
    """Guards against paying on-demand prices while cheaper VMs can start."""
    placements = list(builders.make_deployment().placements)
    option = planning.next_start(1, [], placements, {}, {}, 0)
    assert option is not None
    assert option.reclaimable
    cheap = {"south/gpu/on-demand": 0.1}
    chosen = planning.next_start(1, [], placements, cheap, {}, 0)
    assert chosen == planning.Option("south", "gpu", False)


def test_refused_starts_fall_back_to_other_zones_and_on_demand() -> None:
    """Guards against repeating refused starts while demand exceeds capacity."""
    entry = make_holder(0)
    now_ms = 0
    plan(entry, now_ms, (make_row("u1"),))
    set_running(entry, "u1", 60)
    ordered: list[effects.StartVm] = []
    for _ in range(12):
        now_ms += 2_000
        for order in starts(plan(entry, now_ms, (make_row("u1"),))):
            ordered.append(order)
            answer = None if order.reclaimable else f"vm-{order.order_id}"
            fleet.on_vm_start_answered(
                entry, events.VmStartAnswered(now_ms, order.order_id, answer)
            )
    refused = [order for order in ordered if order.reclaimable]
    started = [order for order in ordered if not order.reclaimable]
    assert {order.zone for order in started} == set(builders.ZONES)
    assert len(refused) <= 3 * 2


def test_reclaimed_vms_are_replaced_as_soon_as_a_notice_arrives() -> None:
    """Guards against waiting for the VM list to show the lost capacity."""
    entry = make_holder(0)
    rows = tuple(make_row(f"u{n}", builders.ZONES[n % 3]) for n in range(6))
    plan(entry, 0, rows)
    for row in rows:
        set_running(entry, row.vm_id, 5)
    assert starts(plan(entry, 2_000, rows)) == []
    notice = events.Notice("u0", 1, 20_000)
    upstreams.on_notices(entry, events.NoticesListed(2_500, (notice,)))
    fleet.on_notices(entry, events.NoticesListed(2_500, (notice,)))
    assert len(starts(fleet.on_tick(entry, events.Tick(2_500)))) == 1


def test_scale_down_is_delayed_and_excludes_busy_vms() -> None:
    """Guards against stops in a short drop of demand and of busy VMs."""
    entry = make_holder(0)
    rows = tuple(make_row(f"u{n}", builders.ZONES[n % 3]) for n in range(6))
    plan(entry, 0, rows)
    for row in rows:
        set_running(entry, row.vm_id, 1 if row.vm_id == "u5" else 0)
    now_ms = 0
    stopped: list[str] = []
    while now_ms < 2 * fleet.SCALE_DOWN_DELAY_MS:
        for upstream in entry.upstreams.by_id.values():
            upstream.reported_ms = now_ms
        for effect in plan(entry, now_ms, rows):
            if isinstance(effect, effects.StopVm):
                assert now_ms >= fleet.SCALE_DOWN_DELAY_MS
                stopped.append(effect.vm_id)
        rows = tuple(row for row in rows if row.vm_id not in stopped)
        now_ms += 20_000
    assert len(stopped) >= 3
    assert "u5" not in stopped


def test_vm_is_stopped_only_once_its_work_has_ended() -> None:
    """Guards against a fleet that never scales down under even load.

    Also guards against stopping a VM that still runs work.
    """
    entry = make_holder(0)
    rows = tuple(make_row(f"u{n}", builders.ZONES[n % 3]) for n in range(6))
    plan(entry, 0, rows)
    for row in rows:
        set_running(entry, row.vm_id, 1)
    due_ms = fleet.SCALE_DOWN_DELAY_MS
    plan(entry, 1_000, rows)
    plan(entry, due_ms + 1_000, rows)
    marked = [vm_id for vm_id, _ in entry.upstreams.leaving]
    assert len(marked) == 1
    drained = entry.upstreams.by_id[marked[0]]
    stops: dict[int, list[str]] = {}
    for after_ms, running in ((30_000, 1), (31_000, 0)):
        drained.report = make_report(running)
        drained.reported_ms = due_ms + after_ms
        stops[after_ms] = [
            effect.vm_id
            for effect in plan(entry, due_ms + after_ms, rows)
            if isinstance(effect, effects.StopVm)
        ]
    assert stops == {30_000: [], 31_000: marked}


def test_idle_report_from_before_the_mark_does_not_stop_a_vm() -> None:
    """Guards against a stop while entries still dispatch to the VM."""
    entry = make_holder(0)
    plan(entry, 0, (make_row("u1"),))
    set_running(entry, "u1", 0)
    upstreams.mark_leaving(entry, "u1", 1, 10_000)
    upstream = entry.upstreams.by_id["u1"]
    for reported_ms, expected in ((19_999, 0), (20_000, 1)):
        upstream.reported_ms = reported_ms
        produced = plan(entry, reported_ms, (make_row("u1"),))
        stops = [e for e in produced if isinstance(e, effects.StopVm)]
        assert len(stops) == expected


def test_vm_with_a_reclaim_notice_is_not_stopped() -> None:
    """Guards against a stop while its KV cache is still exported."""
    entry = make_holder(0)
    rows = (make_row("u1"),)
    plan(entry, 0, rows)
    set_running(entry, "u1", 0)
    notices = events.NoticesListed(1_000, (events.Notice("u1", 1, 60_000),))
    upstreams.on_notices(entry, notices)
    fleet.on_notices(entry, notices)
    entry.upstreams.by_id["u1"].reported_ms = 30_000
    produced = plan(entry, 30_000, rows)
    assert not [e for e in produced if isinstance(e, effects.StopVm)]


def test_on_demand_vms_are_replaced_one_at_a_time() -> None:
    """Guards against keeping on-demand VMs when reclaimable ones can start."""
    entry = make_holder(0)
    rows = tuple(
        dataclasses.replace(make_row(f"u{n}", zone), reclaimable=False)
        for n, zone in enumerate(builders.ZONES)
    )
    plan(entry, 0, rows)
    for row in rows:
        set_running(entry, row.vm_id, 4)
    refused = planning.Refusals(1, 5_000)
    for zone in builders.ZONES:
        option = planning.Option(zone, "gpu", True)
        entry.fleet.refusals[option] = refused
    assert starts(plan(entry, 2_000, rows)) == []
    ordered = starts(plan(entry, 6_000, rows))
    assert [order.reclaimable for order in ordered] == [True]
    assert starts(plan(entry, 8_000, rows)) == []


def test_no_order_without_a_lease_margin() -> None:
    """Guards against a holder that acts after its lease expired."""
    entry = make_holder(0)
    entry.fleet.lease.held_lease = lease.HeldLease(4, 1, 10_000)
    row = make_row("u1")
    plan(entry, 0, (row,))
    set_running(entry, "u1", 80)
    assert starts(plan(entry, 7_000, (row,)))
    assert not starts(plan(entry, 8_001, (row,)))


def test_model_orders_go_only_to_idle_engines_and_are_limited() -> None:
    """Guards against interrupting work and overloading the weight store."""
    entry = make_holder(0)
    rows = tuple(make_row(f"u{n}", builders.ZONES[n % 3]) for n in range(6))
    plan(entry, 0, rows)
    for row in rows:
        upstream = entry.upstreams.by_id[row.vm_id]
        upstream.report = make_report(0, model="")
    entry.upstreams.by_id["u0"].report = make_report(1, model="")
    produced = plan(entry, 2_000, rows)
    orders = [e for e in produced if isinstance(e, effects.SendOrder)]
    assert len(orders) == fleet.MAX_MODEL_LOADS_IN_FLIGHT
    assert "u0" not in [order.upstream_id for order in orders]
    assert {order.fencing_number for order in orders} == {4}


def test_plan_waits_for_a_fresh_list() -> None:
    """Guards against starting all VMs again when the list is unreadable."""
    entry = make_holder(0)
    plan(entry, 0, (make_row("u1"),))
    set_running(entry, "u1", 60)
    stale_ms = fleet.LIST_MAX_AGE_MS + 1
    assert not starts(fleet.on_tick(entry, events.Tick(stale_ms)))
    assert entry.counters.value("plans_skipped", "list_too_old") == 1


def test_profile_starts_monday_capacity_ahead() -> None:
    """Guards against a Monday surge that meets only weekend capacity."""
    monday_ms = 4 * 24 * HOUR_MS
    surge_ms = monday_ms + 8 * HOUR_MS
    profile = profiles.Profile()
    profile.observe(40.0, surge_ms)
    profile.observe(2.0, surge_ms + profiles.SLOT_MS)
    week_ms = 7 * 24 * HOUR_MS
    ahead_ms = surge_ms + week_ms - profiles.SLOT_MS
    assert profile.expected(ahead_ms) == 40.0
    restored = profiles.decode(profile.encode())
    assert restored is not None
    assert restored.expected(ahead_ms) == 40.0
    entry = make_holder(ahead_ms)
    entry.fleet.profiles["draft"] = restored
    assert len(starts(plan(entry, ahead_ms, ()))) > 0


def enqueue(
    entry: state.EntryState, count: int, priority: deployment.Priority
) -> None:
    """Put requests of 1,000 tokens into the queue."""
    current = entry.configuration.current
    assert current is not None
    service = current.deployment.services["draft"]
    for number in range(count):
        entry.limits.queue[f"{priority}/{number}"] = requests.Request(
            request_id=f"{priority}/{number}",
            customer="acme",
            service=service,
            operation=service.operations["write"],
            body="",
            prompt="",
            prompt_tokens=0,
            max_tokens=1_000,
            blocks=(),
            idempotency_key=None,
            accepted_ms=0,
            deadline_ms=HOUR_MS,
            priority=priority,
            configuration=current,
        )


def test_bulk_backlog_is_spread_over_time_but_interactive_is_not() -> None:
    """Guards against a stream for each queued bulk request of a short surge."""
    entry = make_holder(0)
    plan(entry, 0, (make_row("u1"),))
    set_running(entry, "u1", 4)
    assert demand.concurrent_streams(entry, "draft", 0) == 4
    # Each of the 90 requests takes 1,000 steps of 10 ms, so one stream serves
    # them within the drain time of 900 s.
    enqueue(entry, 90, deployment.Priority.BULK)
    set_running(entry, "u1", 8)
    assert demand.concurrent_streams(entry, "draft", 1_000) == pytest.approx(
        4 + 1
    )
    enqueue(entry, 10, deployment.Priority.INTERACTIVE)
    assert demand.concurrent_streams(entry, "draft", 1_000) == pytest.approx(
        4 + 1 + 10
    )


def test_persistent_queue_counts_the_running_streams() -> None:
    """Guards against treating lasting growth of demand as a backlog."""
    entry = make_holder(0)
    plan(entry, 0, (make_row("u1"),))
    set_running(entry, "u1", 2)
    demand.concurrent_streams(entry, "draft", 0)
    enqueue(entry, 90, deployment.Priority.BULK)
    set_running(entry, "u1", 8)
    late_ms = demand.BACKLOG_DRAIN_MS + 1
    assert demand.concurrent_streams(entry, "draft", late_ms) == pytest.approx(
        8 + 1
    )


def test_demand_beyond_the_polled_subset_is_estimated() -> None:
    """Guards against planning only for the 24 upstreams the holder polls."""
    entry = make_holder(0)
    count = 4 * upstreams.SUBSET_SIZE
    rows = tuple(make_row(f"u{n}") for n in range(count))
    plan(entry, 0, rows)
    for vm_id in entry.upstreams.by_id:
        set_running(entry, vm_id, 5)
    estimate = demand.concurrent_streams(entry, "draft", 0)
    assert estimate == pytest.approx(5 * count)


def test_queues_of_entries_without_digests_are_estimated() -> None:
    """Guards against planning only for the queues of eight neighbours."""
    entry = make_holder(0)
    entry.configuration.current = builders.make_configuration(entry_count=33)
    for number in range(8):
        vm_id = f"e{number + 2}"
        member = membership.Member(ids.EntryId(vm_id, 1), "north", "", b"")
        entry.membership.by_vm[vm_id] = member
        row = demand.PeerDemand(1_000, 0)
        entry.fleet.peer_demand[vm_id, "draft"] = row
    assert demand.concurrent_streams(entry, "draft", 0) == 32


@hypothesis.given(strategies.binary(max_size=200))
def test_malformed_profile_is_ignored(body: bytes) -> None:
    """Guards against a malformed object that stops planning."""
    assert profiles.decode(body) is None
