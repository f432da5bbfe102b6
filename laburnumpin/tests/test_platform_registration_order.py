"""Rows of upstreams that the store carries out late.

Each way in which an entry learns that an upstream has gone is played against
each way in which a row that was written before reaches it afterwards.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import json
import random
from typing import cast

import pytest

from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import pool
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import synchronization
from laburnumpin.forwarding.registrations import history
from laburnumpin.platform import documents
from laburnumpin.server import tasks
from laburnumpin.tests import forwarding_builders as build

UPSTREAMS = interfaces.Table.UPSTREAMS
HOLD_MS = synchronization.DEFAULT_HOLD_MS
BORN_MS = 1_000
LAST_SEQ = 10


@dataclasses.dataclass(slots=True)
class _Clock:
    time_ms: int = 0

    def now_ms(self) -> int:
        return self.time_ms


class _NoTasks:
    def start(self, *arguments: object) -> None:
        return


def _value(seq: int, state: str = "ready", born_ms: int = BORN_MS) -> bytes:
    document = {
        "service": "desk",
        "address": "127.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": state,
        "cold_remaining_ms": 0,
        "seq": seq,
        "born": born_ms,
    }
    return json.dumps(document).encode()


class Entry:
    """An entry whose table of upstreams is fed by hand.

    `store` is the value of the row of `u1` in the store, None if it has none.
    """

    def __init__(self) -> None:
        self.clock = _Clock()
        self.state = forwarding_state.ForwardingState(
            build.contact("entry-1"),
            1,
            build.RETRY_LIMIT,
            5_000,
            random.Random(1),
        )
        shell = shells.Shell(
            self.state,
            cast(interfaces.Wire, None),
            pool.Pool(self.clock),
            cast(tasks.TaskRunner, _NoTasks()),
            self.clock,
            cast(interfaces.EngineClient, None),
        )
        self.synchronizer = synchronization.Synchronizer(
            shell,
            cast(interfaces.StoreClient, None),
            documents.PlatformDocuments(),
        )
        self.store: bytes | None = None
        self.row_version = 0
        self.version = 10_000
        self.era = 1

    def put(self, value: bytes | None) -> None:
        """Change the row in the store, without telling the entry."""
        self.version += 1
        self.row_version = self.version
        self.store = value

    def row(self) -> interfaces.Row:
        """Return the row, or its removal."""
        return interfaces.Row("u1", self.store, self.row_version)

    def rows(self) -> interfaces.Rows:
        """Return the whole table."""
        other = interfaces.Row("u2", _value(1), 1)
        listed = [other] if self.store is None else [other, self.row()]
        return interfaces.Rows(tuple(listed), self.version, self.era)

    def changes(self) -> interfaces.Rows:
        """Return the last change of the table."""
        return interfaces.Rows((self.row(),), self.version, self.era)

    def is_ready(self) -> bool:
        """Return whether requests would be sent to `u1`."""
        upstream = self.state.upstreams.get("u1")
        return (
            upstream is not None
            and upstream.registration.lifecycle.value == "ready"
            and upstream.missing_since_ms is None
        )


def _read_change(entry: Entry) -> None:
    entry.synchronizer.apply_changes(UPSTREAMS, entry.changes())


def _read_relayed_change(entry: Entry) -> None:
    entry.synchronizer.apply_peer_changes(UPSTREAMS, entry.changes())


def _read_all(entry: Entry) -> None:
    entry.synchronizer._apply_all_rows(UPSTREAMS, entry.rows(), False)


def _read_all_after_outage(entry: Entry) -> None:
    entry.synchronizer._apply_all_rows(UPSTREAMS, entry.rows(), True)


def _read_change_after_outage(entry: Entry) -> None:
    entry.synchronizer._outage_ended_ms = entry.clock.now_ms()
    _read_change(entry)


def _read_snapshot(entry: Entry) -> None:
    rows = entry.rows()
    entry.synchronizer.apply_snapshot(
        {
            "operator": [],
            "upstreams": synchronization.encode_rows(rows.rows),
            "operator_version": 0,
            "upstreams_version": rows.version,
            "operator_era": 0,
            "upstreams_era": rows.era,
        }
    )


def _read_restored(entry: Entry) -> None:
    entry.era += 1
    entry.version -= 50
    entry.row_version = min(entry.row_version, entry.version)
    _read_all(entry)


def _read_restored_without_eras(entry: Entry) -> None:
    entry.version -= 50
    entry.row_version = min(entry.row_version, entry.version)
    entry.synchronizer._apply_all_rows(
        UPSTREAMS, entry.rows(), False, has_lost_history=True
    )


READS: dict[str, Callable[[Entry], None]] = {
    "change": _read_change,
    "relayed change": _read_relayed_change,
    "change after an outage": _read_change_after_outage,
    "whole read": _read_all,
    "whole read after an outage": _read_all_after_outage,
    "snapshot of a peer": _read_snapshot,
    "restored store": _read_restored,
    "restored store without eras": _read_restored_without_eras,
}
MALFORMED = b"{"
# What the store says of an upstream that goes, one after the other.
ENDS: dict[str, tuple[bytes | None, ...]] = {
    "removed": (None,),
    "malformed": (MALFORMED,),
    "malformed, removed": (MALFORMED, None),
    "draining": (_value(LAST_SEQ, "draining"),),
    "draining, removed": (_value(LAST_SEQ, "draining"), None),
    "restarted, draining": (
        _value(1, "ready", BORN_MS + 1),
        _value(2, "draining", BORN_MS + 1),
    ),
    "restarted, removed": (_value(1, "ready", BORN_MS + 1), None),
}
# What it wrote before, and the store carries out later.
LATE: dict[str, bytes] = {
    "older": _value(LAST_SEQ - 2),
    "oldest": _value(1),
    "older life": _value(LAST_SEQ + 50, born_ms=BORN_MS - 1),
}


def _start() -> Entry:
    entry = Entry()
    entry.put(_value(LAST_SEQ - 1))
    _read_all(entry)
    assert entry.is_ready()
    return entry


def _end(entry: Entry, end: str, read: str) -> None:
    for value in ENDS[end]:
        entry.put(value)
        READS[read](entry)
        entry.clock.time_ms += 10
    # Those that are missing after an outage are gone after a while.
    entry.clock.time_ms += 2_100
    entry.state.upstreams.expire(entry.clock.now_ms())
    entry.synchronizer.on_tick()
    assert not entry.is_ready()


# A heartbeat from before its removal made an upstream ready again, and it got
# requests until its row was removed for its silence.
@pytest.mark.parametrize("late", list(LATE))
@pytest.mark.parametrize("late_read", list(READS))
@pytest.mark.parametrize("read", list(READS))
@pytest.mark.parametrize("end", list(ENDS))
def test_late_row_does_not_bring_an_upstream_back(
    end: str, read: str, late_read: str, late: str
) -> None:
    entry = _start()
    _end(entry, end, read)
    for _ in range(3):
        entry.put(LATE[late])
        READS[late_read](entry)
        for _ in range(9):
            assert not entry.is_ready()
            entry.clock.time_ms += 400
            entry.synchronizer.on_tick()
        # The platform removes it, as its upstream is silent.
        entry.put(None)
        READS[read](entry)
        entry.clock.time_ms += 2_100
        entry.state.upstreams.expire(entry.clock.now_ms())
        entry.synchronizer.on_tick()
        assert not entry.is_ready()


# Several late rows follow each other, so that the row stays for longer than
# that of a silent upstream.
def test_each_late_row_is_held_anew() -> None:
    entry = _start()
    _end(entry, "removed", "change")
    for seq in range(1, LAST_SEQ - 1):
        entry.put(_value(seq))
        _read_change(entry)
        entry.clock.time_ms += 3_000
        entry.synchronizer.on_tick()
        assert not entry.is_ready()


# An older row that arrived while its upstream was there was remembered as its
# last one, so that the next one counted as newer after the removal.
@pytest.mark.parametrize("late_read", list(READS))
def test_late_row_before_a_removal_lowers_nothing(late_read: str) -> None:
    entry = _start()
    for seq in (2, 4):
        entry.put(_value(seq, "draining" if seq == 2 else "ready"))
        READS[late_read](entry)
        assert entry.is_ready()
    entry.put(None)
    _read_change(entry)
    entry.put(_value(6))
    _read_change(entry)
    assert not entry.is_ready()


def test_late_row_is_not_passed_on_in_snapshots() -> None:
    entry = _start()
    entry.put(_value(LAST_SEQ, "draining"))
    _read_change(entry)
    entry.put(_value(2))
    _read_change(entry)
    rows = entry.synchronizer.snapshot()["upstreams"]
    by_key = {key: (value, version) for key, value, version in rows}
    assert by_key["u1"] == (_value(LAST_SEQ, "draining"), entry.row_version)
    assert entry.state.counters.total("registrations_outdated") == 1


# Sound upstreams that were removed for their silence are back at once.
@pytest.mark.parametrize("back_read", list(READS))
@pytest.mark.parametrize("read", list(READS))
@pytest.mark.parametrize("end", list(ENDS))
@pytest.mark.parametrize("comes", ["newer", "new life"])
def test_newer_row_brings_an_upstream_back(
    comes: str, end: str, read: str, back_read: str
) -> None:
    entry = _start()
    _end(entry, end, read)
    is_same_life = comes == "newer" and "restarted" not in end
    if comes == "newer" and "restarted" in end:
        entry.put(_value(LAST_SEQ + 1, "ready", BORN_MS + 1))
    elif comes == "newer":
        entry.put(_value(LAST_SEQ + 1))
    else:
        entry.put(_value(1, "ready", BORN_MS + 2))
    READS[back_read](entry)
    is_final = "draining" in end and (is_same_life or comes == "newer")
    assert entry.is_ready() is not is_final


# A row that nothing shows to be newer is used if it stays, as only that of a
# live upstream does.
def test_row_that_stays_is_used() -> None:
    entry = _start()
    _end(entry, "removed", "change")
    entry.put(_value(2))
    _read_change(entry)
    entry.clock.time_ms += HOLD_MS - 1
    entry.synchronizer.on_tick()
    assert not entry.is_ready()
    entry.clock.time_ms += 1
    entry.synchronizer.on_tick()
    assert entry.is_ready()
    assert entry.state.counters.total("registrations_held") == 1


# The life of an upstream that has said that it leaves does not become ready,
# however long its row stays.
def test_row_of_a_life_that_left_is_never_ready() -> None:
    entry = _start()
    _end(entry, "draining, removed", "change")
    entry.put(_value(2))
    _read_change(entry)
    entry.clock.time_ms += HOLD_MS
    entry.synchronizer.on_tick()
    assert entry.state.upstreams.get("u1") is not None
    assert not entry.is_ready()


# Without a number, or the time of its start, only the order of the changes
# tells, and a live upstream must not wait.
@pytest.mark.parametrize("field", ["seq", "born"])
def test_rows_without_numbers_are_used_as_they_come(field: str) -> None:
    def value() -> bytes:
        document = json.loads(_value(1))
        del document[field]
        return json.dumps(document).encode()

    entry = Entry()
    entry.put(value())
    _read_all(entry)
    entry.put(None)
    _read_change(entry)
    assert not entry.is_ready()
    entry.put(value())
    _read_change(entry)
    assert entry.is_ready()


def test_hold_follows_the_heartbeat() -> None:
    assert history.hold_ms(1_200) == HOLD_MS == 5_000
    assert history.hold_ms(3_000) > 3 * 3_000


def test_removals_of_a_large_zone_are_remembered() -> None:
    entry = Entry()
    count = 3_400  # A third of the upstreams of the users' plan.
    listed = [
        interfaces.Row(f"u{number}", _value(LAST_SEQ), number + 1)
        for number in range(count)
    ]
    rows = interfaces.Rows(tuple(listed), count, 1)
    entry.synchronizer._apply_all_rows(UPSTREAMS, rows, False)
    for step, value in ((1, None), (2, _value(1))):
        changed = tuple(
            interfaces.Row(row.key, value, row.version + step * count)
            for row in listed
        )
        entry.synchronizer.apply_changes(
            UPSTREAMS, interfaces.Rows(changed, (step + 1) * count, 1)
        )
    assert not list(entry.state.upstreams.all())


# A peer leaves the rows that it holds out of its snapshots, and passes each on
# when it uses it, at the version at which it was written.
@pytest.mark.parametrize("knows_row", [False, True])
def test_row_that_a_peer_has_held_is_used_after_its_snapshot(
    knows_row: bool,
) -> None:
    entry = _start()
    if knows_row:
        entry.put(_value(LAST_SEQ))
        _read_change(entry)
    held, held_version = _value(LAST_SEQ), entry.row_version
    if not knows_row:
        entry.put(held)
        held_version = entry.row_version
    entry.version += 5
    entry.store = None
    _read_snapshot(entry)
    assert not entry.is_ready()
    row = interfaces.Row("u1", held, held_version)
    rows = interfaces.Rows((row,), entry.version, entry.era)
    entry.synchronizer.apply_peer_changes(UPSTREAMS, rows)
    entry.clock.time_ms += HOLD_MS
    entry.synchronizer.on_tick()
    assert entry.is_ready()
