"""Successive holders of the duty of roll-outs, with one failure each."""

from __future__ import annotations

from collections.abc import Callable
import json
import random
from typing import cast

import anyio
import pytest

from laburnumpin import exceptions
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import pool
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding.rollouts import codec
from laburnumpin.forwarding.rollouts import holder
from laburnumpin.forwarding.rollouts import model
from laburnumpin.forwarding.rollouts import orders
from laburnumpin.platform import rollouts as platform_rollouts
from laburnumpin.server import tasks
from laburnumpin.tests import forwarding_builders as build

Table = interfaces.Table
DESK = build.PLAIN_SERVICE
SETTINGS = model.RolloutSettings(0.1, 50, 5_000)
ORDER = model.Order(DESK, "v2", 12_000, 1, 5)
STATUS_KEY = (Table.STATUS, f"rollout/{DESK}")
DECISION_KEY = (Table.DUTIES, f"rollout/{DESK}")
Stage = model.Stage
# Only a fault makes a wait take this long.
TIMEOUT_S = 10.0


class _Clock:
    def __init__(self) -> None:
        self.time_ms = 10_000

    def now_ms(self) -> int:
        return self.time_ms


class _Store:
    """An in-memory store; `fault` is that of the next write to a table."""

    def __init__(self) -> None:
        self.rows: dict[tuple[Table, str], interfaces.Row] = {}
        self.writes: list[tuple[Table, str]] = []
        self.fault: tuple[Table, str] | None = None
        self.before_write: Callable[[], None] | None = None
        self._version = 10

    async def read(self, table: Table) -> interfaces.Rows:
        rows = [row for (name, _), row in self.rows.items() if name is table]
        return interfaces.Rows(tuple(rows), self._version, 1)

    async def changes(
        self, table: Table, after: int, wait_ms: int
    ) -> interfaces.Rows:
        raise NotImplementedError

    async def write(
        self, table: Table, key: str, value: bytes, expected_version: int | None
    ) -> interfaces.Position:
        if self.before_write is not None:
            self.before_write()
        fault = ""
        if self.fault is not None and self.fault[0] is table:
            fault = self.fault[1]
            self.fault = None
        if fault == "silent":
            raise exceptions.PlatformAnswerLostError("no answer")
        row = self.rows.get((table, key))
        version = 0 if row is None else row.version
        if expected_version is not None and expected_version != version:
            raise interfaces.ConflictError(key, 1)
        self._version += 1
        self.rows[table, key] = interfaces.Row(key, value, self._version)
        self.writes.append((table, key))
        if fault == "lost":
            raise exceptions.PlatformAnswerLostError("no answer")
        return interfaces.Position(1, self._version)

    async def remove(self, table: Table, keys: tuple[str, ...]) -> None:
        raise NotImplementedError

    def decision(self) -> model.Decision:
        value = self.rows[DECISION_KEY].value
        assert value is not None
        return codec.decode_row(value)

    def state(self) -> str:
        value = self.rows[STATUS_KEY].value
        assert value is not None
        return value.decode()


class _Entry:
    """An entry with upstreams of both versions, and its holder."""

    def __init__(
        self, store: _Store, clock: _Clock, *, knows_order: bool = True
    ) -> None:
        self.clock = clock
        self.state = forwarding_state.ForwardingState(
            build.contact("e1"),
            1,
            build.RETRY_LIMIT,
            5_000,
            random.Random(1),
            rollout_settings=SETTINGS,
        )
        reducer.reduce(
            self.state, events.DeploymentRead(0, build.configuration())
        )
        self.list_upstreams({"v1": 3, "v2": 3})
        self.shell = shells.Shell(
            self.state,
            cast(interfaces.Wire, None),
            pool.Pool(clock),
            cast(tasks.TaskRunner, None),
            clock,
            cast(interfaces.EngineClient, None),
        )
        self.holder = holder.RolloutHolder(
            self.shell, store, platform_rollouts.PlatformRollouts()
        )
        if knows_order:
            self.shell.apply(
                events.RolloutsOrdered(clock.time_ms, (ORDER,), ())
            )

    def list_upstreams(self, counts: dict[str, int]) -> None:
        registrations = []
        for version, count in counts.items():
            for number in range(count):
                registrations.append(
                    build.registration(
                        f"{version}-{number}", service=DESK, version=version
                    )
                )
        reducer.reduce(
            self.state,
            events.UpstreamsListed(
                self.clock.time_ms, 1, tuple(registrations), False
            ),
        )

    def answer(self, version: str, count: int, *, is_bad: bool = False) -> None:
        outcome = model.AnswerOutcome.SOUND
        if is_bad:
            outcome = model.AnswerOutcome.FAILED
        for _ in range(count):
            self.state.rollouts.record_answer(
                DESK, version, "reads", 0.1, outcome, self.clock.time_ms
            )

    def step(self, token: int, may_act: Callable[[], bool]) -> None:
        anyio.run(self.holder.step, may_act, token)

    def act(self, token: int) -> None:
        """Run a step that may fail, as the holder's loop does."""
        try:
            self.step(token, lambda: True)
        except exceptions.LaburnumpinError:
            self.holder.forget()

    def stage(self) -> Stage | None:
        status = self.state.rollouts.status(DESK, self.clock.time_ms)
        return None if status is None else status.stage


def _canary() -> tuple[_Store, _Clock, _Entry]:
    store, clock = _Store(), _Clock()
    entry = _Entry(store, clock)
    entry.act(1)
    assert store.decision().stage is Stage.CANARY
    assert "in_progress" in store.state()
    return store, clock, entry


def _make_bad(entry: _Entry) -> None:
    entry.answer("v1", 100)
    entry.answer("v2", 30, is_bad=True)


# The holder ends between its two writes.
def test_next_holder_reports_what_the_killed_one_decided() -> None:
    store, clock, first = _canary()
    _make_bad(first)
    store.fault = (Table.STATUS, "silent")
    first.act(1)
    decided = store.decision()
    assert decided.stage is Stage.ROLLED_BACK
    assert "in_progress" in store.state()
    second = _Entry(store, clock)
    second.act(2)
    assert "rolled_back" in store.state()
    assert store.decision() == decided
    assert second.stage() is Stage.ROLLED_BACK


# The holder is frozen between its last check and its write.
def test_holder_that_was_frozen_past_its_lease_overwrites_nothing() -> None:
    store, clock, first = _canary()
    second = _Entry(store, clock)
    _make_bad(second)
    second.act(2)
    assert store.decision().stage is Stage.ROLLED_BACK
    writes = len(store.writes)
    # It decides on what it read before, right after it wakes.
    _make_bad(first)
    first.act(1)
    assert len(store.writes) == writes
    first.act(1)
    assert store.decision().stage is Stage.ROLLED_BACK
    assert len(store.writes) == writes
    assert first.stage() is Stage.ROLLED_BACK


# The lease ends after the decision was written.
def test_no_status_is_written_after_the_lease() -> None:
    store, _, entry = _canary()
    _make_bad(entry)
    answers = iter([True, False])
    entry.step(1, lambda: next(answers))
    assert store.decision().stage is Stage.ROLLED_BACK
    assert "in_progress" in store.state()


def test_no_decision_is_written_without_the_lease() -> None:
    store, _, entry = _canary()
    _make_bad(entry)
    entry.step(1, lambda: False)
    assert store.decision().stage is Stage.CANARY


@pytest.mark.parametrize("table", [Table.DUTIES, Table.STATUS])
@pytest.mark.parametrize("fault", ["silent", "lost"])
def test_unanswered_write_is_done_once(table: Table, fault: str) -> None:
    store, _, entry = _canary()
    _make_bad(entry)
    writes = len(store.writes)
    store.fault = (table, fault)
    entry.act(1)
    entry.act(1)
    entry.act(1)
    assert store.writes[writes:] == [DECISION_KEY, STATUS_KEY]
    assert "rolled_back" in store.state()


# No entry acts on a decision before it is written.
def test_decision_that_is_not_written_is_not_in_force() -> None:
    store, clock, entry = _canary()
    entry.answer("v1", 900)
    entry.answer("v2", 100)
    clock.time_ms += 9_000
    store.fault = (Table.DUTIES, "silent")
    entry.act(1)
    assert entry.stage() is Stage.CANARY
    entry.act(1)
    assert entry.stage() is Stage.SHIFTING


def test_all_killed_together_go_on_from_the_row() -> None:
    store, clock, _ = _canary()
    started_ms = store.decision().started_ms
    again = _Entry(store, clock)
    again.act(7)
    assert again.stage() is Stage.CANARY
    assert store.decision().started_ms == started_ms
    assert store.writes.count(DECISION_KEY) == 1


# Requests still run at the previous version when the new one takes over.
def test_completes_when_the_previous_version_has_finished() -> None:
    store, clock, entry = _canary()
    entry.answer("v1", 900)
    entry.answer("v2", 100)
    clock.time_ms += 9_000
    entry.act(1)
    old = entry.state.upstreams.get("v1-0")
    assert old is not None
    old.set_peer_load("e2", 1, 0)
    clock.time_ms += 1_200
    entry.act(1)
    assert store.decision().stage is Stage.SHIFTING
    old.drop_peer_load("e2")
    entry.act(1)
    assert store.decision().stage is Stage.COMPLETED
    assert "completed" in store.state()
    writes = len(store.writes)
    second = _Entry(store, clock)
    second.act(2)
    assert len(store.writes) == writes


# The row of the decision is lost with the store's newest data.
def test_lost_decision_is_written_again() -> None:
    store, _, entry = _canary()
    _make_bad(entry)
    entry.act(1)
    del store.rows[DECISION_KEY]
    entry.act(2)
    assert store.decision().stage is Stage.ROLLED_BACK


@pytest.mark.parametrize("value", [b"", b"[]", b'{"decision": [1]}', b"\xff"])
def test_malformed_row_is_counted_and_replaced(value: bytes) -> None:
    store, clock, _ = _canary()
    version = store.rows[DECISION_KEY].version
    store.rows[DECISION_KEY] = interfaces.Row(
        DECISION_KEY[1], value, version + 1
    )
    again = _Entry(store, clock)
    again.act(2)
    assert again.state.counters.total("rollout_rows_malformed") == 1
    assert store.decision().stage is Stage.CANARY


@pytest.mark.parametrize(
    ("is_aborted", "expected"),
    [(True, Stage.ROLLED_BACK), (False, Stage.CANARY)],
)
def test_operator_aborts_or_pauses(is_aborted: bool, expected: Stage) -> None:
    store, clock, entry = _canary()
    control = codec.Control(
        DESK, ORDER.era, ORDER.row_version, True, is_aborted
    )
    key = codec.CONTROL_PREFIX + DESK
    value = codec.encode_control(control)
    store.rows[Table.DUTIES, key] = interfaces.Row(key, value, 99)
    entry.answer("v1", 900)
    entry.answer("v2", 100)
    clock.time_ms += 9_000
    entry.act(1)
    assert store.decision().stage is expected
    assert store.decision().is_paused is not is_aborted


# A request for an earlier order is left over in the store.
def test_request_for_another_order_changes_nothing() -> None:
    store, _, entry = _canary()
    control = codec.Control(DESK, ORDER.era, ORDER.row_version - 1, True, True)
    key = codec.CONTROL_PREFIX + DESK
    value = codec.encode_control(control)
    store.rows[Table.DUTIES, key] = interfaces.Row(key, value, 99)
    entry.act(2)
    assert store.decision().stage is Stage.CANARY


# The order was taken back while this entry was down.
def test_order_that_only_a_decision_names_was_taken_back() -> None:
    store, clock, _ = _canary()
    late = _Entry(store, clock, knows_order=False)
    reader = orders.OrderReader(
        late.shell, platform_rollouts.PlatformRollouts()
    )
    late.holder.on_read = reader.check_withdrawn
    reader.read({}, interfaces.Position(1, ORDER.row_version))
    anyio.run(late.holder.load)
    late.act(2)
    assert store.decision().reason == "order_withdrawn"
    assert "rolled_back" in store.state()


# The store comes back in a new era, and then the order is taken back.
def test_order_is_taken_back_after_a_restore() -> None:
    store, _, entry = _canary()
    reader = orders.OrderReader(
        entry.shell, platform_rollouts.PlatformRollouts()
    )
    key = f"rollout/{DESK}"
    value = b'{"service": "%s", "to": "v2", "duration_s": 12}' % DESK.encode()
    row = interfaces.Row(key, value, ORDER.row_version)
    reader.read({key: row}, interfaces.Position(1, 8))
    reader.read({key: row}, interfaces.Position(2, 8))
    entry.act(1)
    assert store.decision().stage is Stage.CANARY
    reader.read({}, interfaces.Position(2, 9))
    entry.act(1)
    assert store.decision().reason == "order_withdrawn"


# More services than are followed at once get an order, one after the other has
# ended.
def test_orders_that_are_gone_leave_room_for_others() -> None:
    _, _, entry = _canary()
    reader = orders.OrderReader(
        entry.shell, platform_rollouts.PlatformRollouts()
    )
    for number in range(orders.MAX_ORDERS + 1):
        document = {"service": f"s{number}", "to": "v2", "duration_s": 12}
        key = f"rollout/s{number}"
        row = interfaces.Row(key, json.dumps(document).encode(), 20 + number)
        reader.read({key: row}, interfaces.Position(1, 20 + number))
        order = model.Order(f"s{number}", "v2", 12_000, 1, row.version)
        done = model.Decision(order, Stage.ROLLED_BACK, 1, 1, 1, "test")
        entry.shell.apply(events.RolloutsDecided(0, (done,), "store"))
    counters = entry.state.counters
    assert counters.total("rollout_orders_malformed") == 0


# All entries end after the roll-out has, and its order is still there.
def test_entry_that_starts_after_the_end_uses_the_new_version() -> None:
    store, clock, first = _canary()
    first.answer("v1", 900)
    first.answer("v2", 100)
    clock.time_ms += 9_000
    first.act(1)
    clock.time_ms += 1_200
    first.act(1)
    assert store.decision().stage is Stage.COMPLETED
    again = _Entry(store, clock, knows_order=False)
    anyio.run(again.holder.load)
    again.shell.apply(events.RolloutsOrdered(clock.time_ms, (ORDER,), ()))
    assert again.stage() is Stage.COMPLETED
    again.list_upstreams({"v2": 3})
    allowed = again.state.rollouts.allowed_versions(
        DESK, "reads", clock.time_ms
    )
    assert allowed is None or allowed == {"v2"}


# An entry reaches the store, but no other entry.
def test_entry_without_peers_follows_the_rows() -> None:
    store, clock, first = _canary()
    alone = _Entry(store, clock)
    _make_bad(first)
    first.act(1)

    async def run_for_a_while() -> None:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(alone.holder.run, lambda: False, lambda: 0)
            with anyio.fail_after(TIMEOUT_S):
                while alone.stage() is not Stage.ROLLED_BACK:
                    await anyio.sleep(0.02)
            task_group.cancel_scope.cancel()

    anyio.run(run_for_a_while)


# The lease holder is heard of, so its digests are enough.
def test_entry_with_a_holder_leaves_the_rows_alone() -> None:
    store, clock, first = _canary()
    other = _Entry(store, clock)
    peer, _ = other.state.members.record_digest(
        build.contact("e2", "10.0.0.7:7500"), 1, clock.time_ms
    )
    assert peer is not None
    peer.lease_token = 1
    _make_bad(first)
    first.act(1)
    anyio.run(other.holder.follow)
    assert other.stage() is Stage.WAITING
    clock.time_ms += holder.UNHEARD_HOLDER_MS + 1
    anyio.run(other.holder.follow)
    assert other.stage() is Stage.ROLLED_BACK


# The holder is frozen right before it writes a status, and its successor ends
# the roll-out meanwhile.
def test_late_status_does_not_replace_that_of_the_next_holder() -> None:
    store, clock = _Store(), _Clock()
    entry = _Entry(store, clock)

    def let_successor_report() -> None:
        if DECISION_KEY in store.rows:
            store.rows[STATUS_KEY] = interfaces.Row(
                STATUS_KEY[1], b'"rolled_back"', 99
            )

    store.before_write = let_successor_report
    entry.act(1)
    assert store.state() == '"rolled_back"'
