"""The placement lease, which elects the entry that manages the fleet.

The lease is a row of the table service, written with compare-and-set. Its
fencing number, the fencing token of the orders, rises with every acquisition.
Each entry measures expiry by its own clock, from the time at which it sent a
write or first read a row version.
"""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING

from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import membership
from laburnumpin.core import store

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

TABLE = "leases"
KEY = "placement"
# Time for which a committed write holds the lease, from when it was sent.
LEASE_MS = 10_000
RENEW_PERIOD_MS = 3_000
# Orders are sent only while the lease is valid for at least this long, so
# that it does not expire in a short pause between the check and the sending.
ORDER_MARGIN_MS = 2_000
# Part of the store's read rate that watching the lease uses, divided among all
# entries.
WATCH_READS_PER_S = 50
ANSWER_TIMEOUT_MS = 5_000


@dataclasses.dataclass(slots=True, frozen=True)
class HeldLease:
    """The lease as recorded by the entry that holds it."""

    fencing_number: int
    row_version: int
    valid_until_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class PendingWrite:
    """A write to the lease row without an answer so far.

    `token` identifies the write. `in_doubt` is set when the answer is lost;
    the row is then read to find out whether the write was committed.
    """

    operation_id: store.OperationId
    sent_ms: int
    fencing_number: int
    token: str
    in_doubt: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ObservedRow:
    """The lease row as first read in this version, at `observed_ms`."""

    row_version: int
    fencing_number: int
    token: str
    observed_ms: int


class LeaseState:
    """The held lease, pending operations and the last row that was read.

    `write_count` numbers this entry's writes, for their tokens.
    """

    __slots__ = (
        "held_lease",
        "next_action_ms",
        "observed_row",
        "pending_read",
        "pending_write",
        "read_sent_ms",
        "write_count",
    )

    def __init__(self) -> None:
        self.held_lease: HeldLease | None = None
        self.pending_write: PendingWrite | None = None
        self.pending_read: store.OperationId | None = None
        self.read_sent_ms = 0
        self.observed_row: ObservedRow | None = None
        self.next_action_ms = 0
        self.write_count = 0


def fencing_number(state: entry_state.EntryState, now_ms: int) -> int | None:
    """Return the fencing number when an order may be sent now, else None."""
    held_lease = state.fleet.lease.held_lease
    if held_lease is None:
        return None
    if now_ms + ORDER_MARGIN_MS > held_lease.valid_until_ms:
        return None
    return held_lease.fencing_number


def valid_until_ms(state: entry_state.EntryState) -> int:
    """Return when the held lease expires, 0 when none is held."""
    held_lease = state.fleet.lease.held_lease
    return 0 if held_lease is None else held_lease.valid_until_ms


def on_tick(
    state: entry_state.EntryState, now_ms: int, *, eligible: bool
) -> list[effects.Effect]:
    """Watch, acquire or renew the lease when due.

    An entry that is not `eligible`, because it is leaving or not ready, does
    not renew its lease.
    """
    lease = state.fleet.lease
    held_lease = lease.held_lease
    if held_lease is not None and now_ms >= held_lease.valid_until_ms:
        lease.held_lease = None
    if _awaits_answer(lease, now_ms) or now_ms < lease.next_action_ms:
        return []
    if not eligible:
        return []
    if lease.pending_write is not None and lease.pending_write.in_doubt:
        return _read(state, now_ms)
    if lease.held_lease is not None:
        return _write(state, now_ms, lease.held_lease.row_version)
    return _read(state, now_ms)


def on_store_event(
    state: entry_state.EntryState, event: events.StoreEvent
) -> list[effects.Effect] | None:
    """Handle the result of a lease operation; None for other operations."""
    lease = state.fleet.lease
    if event.operation_id == lease.pending_read:
        lease.pending_read = None
        if isinstance(event, events.RowsRead):
            return _on_row_read(state, event)
        lease.next_action_ms = event.now_ms + RENEW_PERIOD_MS
        return []
    pending = lease.pending_write
    if pending is None or event.operation_id != pending.operation_id:
        return None
    if isinstance(event, events.TransactCommitted):
        _record_held_lease(state, pending, event.versions[0], event.now_ms)
        return []
    if isinstance(event, events.TransactUnknown):
        lease.pending_write = dataclasses.replace(pending, in_doubt=True)
        lease.next_action_ms = event.now_ms
        return []
    lease.pending_write = None
    lease.next_action_ms = event.now_ms + RENEW_PERIOD_MS
    if isinstance(event, events.TransactConflicted):
        lease.held_lease = None
        state.counters.increment("lease", "lost")
    return []


def _awaits_answer(lease: LeaseState, now_ms: int) -> bool:
    pending = lease.pending_write
    if pending is not None and not pending.in_doubt:
        if now_ms < pending.sent_ms + ANSWER_TIMEOUT_MS:
            return True
        lease.pending_write = dataclasses.replace(pending, in_doubt=True)
    if lease.pending_read is None:
        return False
    if now_ms < lease.read_sent_ms + ANSWER_TIMEOUT_MS:
        return True
    lease.pending_read = None
    return False


def _read(state: entry_state.EntryState, now_ms: int) -> list[effects.Effect]:
    lease = state.fleet.lease
    lease.pending_read = state.new_operation(store.StoreModule.FLEET)
    lease.read_sent_ms = now_ms
    return [effects.ReadRows(lease.pending_read, TABLE, (KEY,))]


def _write(
    state: entry_state.EntryState, now_ms: int, row_version: int
) -> list[effects.Effect]:
    lease = state.fleet.lease
    lease.write_count += 1
    if lease.held_lease is not None:
        fencing = lease.held_lease.fencing_number
    else:
        assert lease.observed_row is not None
        fencing = lease.observed_row.fencing_number + 1
    token = _write_token(state.entry, lease.write_count)
    operation_id = state.new_operation(store.StoreModule.FLEET)
    lease.pending_write = PendingWrite(operation_id, now_ms, fencing, token)
    value = json.dumps({"fencing_number": fencing, "token": token})
    return [
        effects.Transact(
            operation_id,
            (store.Condition(TABLE, KEY, row_version),),
            (store.Write(TABLE, KEY, value),),
        )
    ]


def _on_row_read(
    state: entry_state.EntryState, event: events.RowsRead
) -> list[effects.Effect]:
    lease = state.fleet.lease
    row = event.rows[0]
    fencing, token = 0, ""
    if row.value is not None:
        value = json.loads(row.value)
        fencing, token = int(value["fencing_number"]), str(value["token"])
    pending = lease.pending_write
    if pending is not None and pending.in_doubt:
        lease.pending_write = None
        if pending.token == token:
            _record_held_lease(state, pending, row.version, event.now_ms)
            return []
        # The write may still commit later. The row then has this entry's token,
        # but the entry does not treat the lease as held.
        lease.held_lease = None
    observed = lease.observed_row
    if observed is None or observed.row_version != row.version:
        lease.observed_row = ObservedRow(
            row.version, fencing, token, event.now_ms
        )
        if row.version == 0:
            return _write(state, event.now_ms, 0)
        # A holder renews before its lease ends, so a row that is unchanged for
        # `LEASE_MS` has expired. The clocks of entries are not compared.
        lease.next_action_ms = event.now_ms + LEASE_MS
        return []
    if lease.read_sent_ms >= observed.observed_ms + LEASE_MS:
        state.counters.increment("lease", "acquiring")
        return _write(state, event.now_ms, row.version)
    lease.next_action_ms = event.now_ms + _watch_period_ms(state)
    return []


def _record_held_lease(
    state: entry_state.EntryState,
    pending: PendingWrite,
    row_version: int,
    now_ms: int,
) -> None:
    lease = state.fleet.lease
    lease.pending_write = None
    lease.next_action_ms = pending.sent_ms + RENEW_PERIOD_MS
    lease_end_ms = pending.sent_ms + LEASE_MS
    if now_ms >= lease_end_ms:
        lease.held_lease = None
        return
    lease.held_lease = HeldLease(
        pending.fencing_number, row_version, lease_end_ms
    )


def _watch_period_ms(state: entry_state.EntryState) -> int:
    shared_ms = membership.entry_count(state) * 1_000 // WATCH_READS_PER_S
    period_ms = max(RENEW_PERIOD_MS, shared_ms)
    return period_ms + state.random.randint(0, period_ms // 5)


def _write_token(entry: ids.EntryId, number: int) -> str:
    return f"{entry.vm_id}.{entry.incarnation}.{number}"
