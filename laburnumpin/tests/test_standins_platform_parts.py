"""Tests of the platform stand-in's parts without I/O."""

from __future__ import annotations

from laburnumpin import token_bucket
from laburnumpin.core import events
from laburnumpin.core import store
from laburnumpin.standins import cloud
from laburnumpin.standins import tables


def _row(vm_id: str, zone: str, reclaimable: bool = True) -> events.VmRow:
    return events.VmRow(
        vm_id,
        1,
        events.VmRole.UPSTREAM,
        zone,
        "large",
        reclaimable,
        leaving=False,
        service="dossier",
        address="127.0.0.1:1",
    )


def test_one_failed_condition_prevents_all_writes() -> None:
    """Guards against a transaction that takes effect in part."""
    rows = tables.Tables()
    rows.transact((), (store.Write("t", "a", "1"),))
    result = rows.transact(
        (store.Condition("t", "a", 0), store.Condition("t", "b", 0)),
        (store.Write("t", "a", "2"), store.Write("t", "b", "2")),
    )
    assert [row.key for row in result.conflicts] == ["a"]
    assert rows.read("t", "a").value == "1"
    assert rows.read("t", "b") == store.Row("t", "b", 0, None)


def test_recreated_row_does_not_repeat_a_version() -> None:
    """Guards against a stale condition that holds for a recreated row.

    This would happen if versions were counted per row.
    """
    rows = tables.Tables()
    first = rows.transact((), (store.Write("t", "a", "1"),)).versions[0]
    rows.transact((), (store.Write("t", "a", None),))
    rows.transact((), (store.Write("t", "a", "2"),))
    stale = store.Condition("t", "a", first)
    assert rows.transact((stale,), ()).conflicts


def test_scan_returns_keys_with_the_prefix_in_order() -> None:
    """Guards against a scan that returns rows of other customers."""
    rows = tables.Tables()
    for key in ("b/2", "a/1", "b/1", "b/3"):
        rows.transact((), (store.Write("t", key, "x"),))
    scanned = rows.scan("t", "b/", limit=2)
    assert [row.key for row in scanned] == ["b/1", "b/2"]


def test_bucket_admits_the_rate_after_the_burst() -> None:
    """Guards against a rate limit that a burst or a pause suspends."""
    bucket = token_bucket.TokenBucket(100, capacity=10)
    assert sum(bucket.take(1, 0) for _ in range(50)) == 10
    assert sum(bucket.take(1, 50) for _ in range(50)) == 5
    assert sum(bucket.take(1, 60_000) for _ in range(50)) == 10


def test_reclaim_of_a_zone_spares_on_demand_vms() -> None:
    """Guards against reclaim notices for on-demand VMs of the zone."""
    simulated_cloud = cloud.Cloud(0)
    simulated_cloud.add(_row("a", "Recife"), 0)
    simulated_cloud.add(_row("b", "Recife", reclaimable=False), 0)
    simulated_cloud.add(_row("c", "Caruaru"), 0)
    assert simulated_cloud.reclaim(
        cloud.Reclaim(3_000, zone="Recife"), 100
    ) == ("a",)
    assert simulated_cloud.notices(1_100) == (events.Notice("a", 1, 2_000),)
    leaving = [
        row.vm_id for row in simulated_cloud.vms(1_100, 0) if row.leaving
    ]
    assert leaving == ["a"]
    assert [row.vm_id for row in simulated_cloud.vms(3_100, 0)] == ["b", "c"]
    assert simulated_cloud.notices(3_100) == ()


def test_vm_list_lags_behind_the_notice() -> None:
    """Guards against a list of VMs without the lag of a real platform.

    Code that relies on a current list would pass its tests otherwise.
    """
    simulated_cloud = cloud.Cloud(0)
    simulated_cloud.add(_row("a", "Recife"), 0)
    simulated_cloud.reclaim(cloud.Reclaim(60_000, vm_id="a"), 10_000)
    assert not simulated_cloud.vms(11_000, lag_ms=2_000)[0].leaving
    assert simulated_cloud.vms(12_000, lag_ms=2_000)[0].leaving


def test_repeated_order_starts_one_vm() -> None:
    """Guards against a second VM when a start is repeated.

    A caller repeats a start if its answer was lost.
    """
    simulated_cloud = cloud.Cloud(0)
    simulated_cloud.add_spare(_row("spare", "Recife"))
    simulated_cloud.limit_starts(cloud.Capacity("Recife", "large", 1))
    order = cloud.StartOrder("o1", "dossier", "Recife", "large", True)
    assert simulated_cloud.start(order, 0) == "spare"
    assert simulated_cloud.start(order, 0, refuse=True) == "spare"
    other = cloud.StartOrder("o2", "dossier", "Recife", "large", True)
    assert simulated_cloud.start(other, 0) is None
