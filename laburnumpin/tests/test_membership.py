"""Tests of membership and digests."""

from __future__ import annotations

from laburnumpin.core import digests
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import membership
from laburnumpin.core import messages
from laburnumpin.core import reducer
from laburnumpin.core import state
from laburnumpin.tests import builders


def make_row(
    vm_id: str, zone: str = "north", incarnation: int = 1, leaving: bool = False
) -> events.VmRow:
    return events.VmRow(
        vm_id,
        incarnation,
        events.VmRole.ENTRY,
        zone,
        "small",
        True,
        leaving,
        peer_address=f"{vm_id}:1",
    )


def make_rows(count: int) -> tuple[events.VmRow, ...]:
    rows = []
    for number in range(count):
        zone = builders.ZONES[number % len(builders.ZONES)]
        rows.append(make_row(f"e{number}", zone))
    return tuple(rows)


def make_digest(
    vm_id: str, sequence: int, incarnation: int = 1, accepting: bool = True
) -> messages.Digest:
    return messages.Digest(
        ids.EntryId(vm_id, incarnation),
        sequence,
        "north",
        f"{vm_id}:1",
        accepting,
        1,
        0,
        (),
        (),
        (),
        (),
    )


def receive(
    entry: state.EntryState, now_ms: int, digest: messages.Digest
) -> list[effects.Effect]:
    return reducer.reduce(
        entry, events.PeerReceived(now_ms, digest.entry.vm_id, digest)
    )


def test_neighbours_are_few_and_spread_over_data_centres() -> None:
    """Guards against a full mesh and against links in one data centre only."""
    entry = builders.make_state("e0")
    reducer.reduce(entry, events.VmsListed(0, make_rows(300)))
    chosen = membership.neighbours(entry, 0)
    remote = [member for member in chosen if member.zone != "north"]
    assert len(chosen) == 8
    assert len(remote) == 3


def test_small_deployment_reaches_every_entry() -> None:
    """Guards against fewer neighbours than possible in a small data centre."""
    entry = builders.make_state("e0")
    reducer.reduce(entry, events.VmsListed(0, make_rows(9)))
    assert len(membership.neighbours(entry, 0)) == 8


def test_every_entry_receives_digests_even_if_no_entry_chose_it() -> None:
    """Guards against an entry without incoming digests in a large graph."""
    rows = make_rows(120)
    entries = {}
    for row in rows:
        entry = builders.make_state(row.vm_id, row.zone)
        reducer.reduce(entry, events.VmsListed(0, rows))
        entry.membership.next_digest_ms = 0
        entries[row.vm_id] = entry
    received_count: dict[str, int] = dict.fromkeys(entries, 0)
    sent_count: dict[str, int] = dict.fromkeys(entries, 0)
    pending: list[tuple[str, effects.SendPeer]] = []
    for vm_id, entry in entries.items():
        for effect in reducer.reduce(entry, events.Tick(10)):
            if isinstance(effect, effects.SendPeer):
                pending.append((vm_id, effect))
    while pending:
        sender, effect = pending.pop()
        sent_count[sender] += 1
        received_count[effect.peer_id] += 1
        received = events.PeerReceived(11, sender, effect.message)
        for answer in reducer.reduce(entries[effect.peer_id], received):
            if isinstance(answer, effects.SendPeer):
                pending.append((effect.peer_id, answer))
    assert min(received_count.values()) >= 1
    assert max(sent_count.values()) <= 8 + membership.MAX_REPLIES


def test_old_incarnation_and_old_sequence_are_ignored() -> None:
    """Guards against a delayed digest that restores an earlier state."""
    entry = builders.make_state("e0")
    receive(entry, 0, make_digest("e1", 5, incarnation=2, accepting=False))
    receive(entry, 1, make_digest("e1", 4, incarnation=2))
    receive(entry, 2, make_digest("e1", 9, incarnation=1))
    member = entry.membership.by_vm["e1"]
    assert member.leaving
    assert member.entry.incarnation == 2
    assert entry.counters.total("digests_ignored") == 2


def test_failed_link_is_replaced_and_tried_again_later() -> None:
    """Guards against sending digests only over failed links."""
    entry = builders.make_state("e0")
    reducer.reduce(entry, events.VmsListed(0, make_rows(60)))
    first = membership.neighbours(entry, 0)[0].entry.vm_id
    reducer.reduce(entry, events.PeerDisconnected(1, first))
    during = [m.entry.vm_id for m in membership.neighbours(entry, 1)]
    assert first not in during
    assert len(during) == 8
    later_ms = membership.SUSPECT_MS + 2
    entry.membership.neighbours_stale = True
    after = [m.entry.vm_id for m in membership.neighbours(entry, later_ms)]
    assert first in after


def test_member_missing_from_the_list_survives_while_it_sends_digests() -> None:
    """Guards against removing entries because the VM list lags."""
    entry = builders.make_state("e0")
    receive(entry, 100_000, make_digest("e1", 1))
    reducer.reduce(entry, events.VmsListed(100_500, ()))
    assert "e1" in entry.membership.by_vm
    expired_ms = 100_000 + membership.MEMBER_TIMEOUT_MS
    reducer.reduce(entry, events.VmsListed(expired_ms, ()))
    assert "e1" not in entry.membership.by_vm


def test_list_is_read_less_often_when_it_is_long() -> None:
    """Guards against control traffic that grows with the deployment."""
    entry = builders.make_state("e0")
    reducer.reduce(entry, events.VmsListed(0, make_rows(2_600)))
    bytes_per_s = (
        2_600
        * membership.LIST_ROW_BYTES
        * 1_000
        / entry.membership.next_list_ms
    )
    assert bytes_per_s <= 1.25 * membership.LIST_BUDGET_BYTES_PER_S


def test_digest_rotates_the_rows_that_do_not_fit() -> None:
    """Guards against leaving marks that are never sent."""
    entry = builders.make_state("e0")
    for number in range(20):
        entry.upstreams.leaving[f"u{number}", 1] = 0
    sent_ids = set()
    for sequence in range(10):
        entry.membership.digest_sequence = sequence
        digest = digests.build(entry, 1_000)
        assert len(digest.leaving) <= digests.MAX_LEAVING
        for mark in digest.leaving:
            sent_ids.add(mark.upstream_id)
    assert len(sent_ids) == 20
