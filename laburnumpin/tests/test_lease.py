"""Tests of the placement lease."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import lease
from laburnumpin.core import state
from laburnumpin.core import store
from laburnumpin.tests import builders


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Three entries that contend for one lease row.

    Guards against two entries that may both send orders, and against a fencing
    number that does not rise. Entries are paused, so that they act on outdated
    state, and answers are refused, lost or late.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 1_000
        self.entries: list[state.EntryState] = []
        for number in range(3):
            self.entries.append(builders.make_state(f"e{number}"))
        self.row = store.Row(lease.TABLE, lease.KEY, 0, None)
        self.late: list[effects.Transact] = []
        self.orders: list[tuple[int, str]] = []

    @stateful.rule(
        duration_ms=strategies.integers(1, 15_000),
        awake=strategies.sets(strategies.integers(0, 2)),
    )
    def advance(self, duration_ms: int, awake: set[int]) -> None:
        self.now_ms += duration_ms
        for number in sorted(awake):
            self._tick_and_answer(self.entries[number], "answer")

    @stateful.rule(
        number=strategies.integers(0, 2),
        answer_kind=strategies.sampled_from(["refuse", "lose", "late"]),
    )
    def fault(self, number: int, answer_kind: str) -> None:
        self._tick_and_answer(self.entries[number], answer_kind)

    @stateful.rule()
    def commit_late_write(self) -> None:
        if self.late:
            self._apply(self.late.pop(0))

    @stateful.rule(number=strategies.integers(0, 2))
    def run_for_a_lease(self, number: int) -> None:
        for _ in range(30):
            self.now_ms += 1_000
            self._tick_and_answer(self.entries[number], "answer")

    @stateful.invariant()
    def at_most_one_entry_may_send_orders(self) -> None:
        holders = []
        for entry in self.entries:
            fencing = lease.fencing_number(entry, self.now_ms)
            if fencing is not None:
                holders.append((fencing, entry.entry.vm_id))
        assert len(holders) <= 1
        self.orders.extend(holders)
        for earlier, later in zip(self.orders, self.orders[1:], strict=False):
            assert earlier[0] <= later[0]
            if earlier[0] == later[0]:
                assert earlier[1] == later[1]

    def _tick_and_answer(
        self, entry: state.EntryState, answer_kind: str
    ) -> None:
        produced = lease.on_tick(entry, self.now_ms, eligible=True)
        while produced:
            effect = produced.pop(0)
            event = self._answer(effect, answer_kind)
            more = lease.on_store_event(entry, event)
            assert more is not None
            produced.extend(more)

    def _answer(
        self, effect: effects.Effect, answer_kind: str
    ) -> events.StoreEvent:
        now_ms = self.now_ms
        if isinstance(effect, effects.ReadRows):
            if answer_kind == "refuse":
                return events.ReadFailed(now_ms, effect.operation_id)
            return events.RowsRead(now_ms, effect.operation_id, (self.row,))
        assert isinstance(effect, effects.Transact)
        if answer_kind == "refuse":
            return events.TransactRefused(now_ms, effect.operation_id)
        if answer_kind == "late":
            self.late.append(effect)
            return events.TransactUnknown(now_ms, effect.operation_id)
        applied = self._apply(effect)
        if answer_kind == "lose":
            return events.TransactUnknown(now_ms, effect.operation_id)
        if not applied:
            return events.TransactConflicted(
                now_ms, effect.operation_id, (self.row,)
            )
        return events.TransactCommitted(
            now_ms, effect.operation_id, (self.row.version,)
        )

    def _apply(self, effect: effects.Transact) -> bool:
        if effect.conditions[0].version != self.row.version:
            return False
        self.row = store.Row(
            lease.TABLE,
            lease.KEY,
            self.row.version + 1,
            effect.writes[0].value,
        )
        return True


LeaseMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)
TestLease = LeaseMachine.TestCase


def test_failed_holder_is_replaced() -> None:
    """Guards against a fleet without a lease holder after a crash."""
    machine = LeaseMachine()
    machine.run_for_a_lease(0)
    first = lease.fencing_number(machine.entries[0], machine.now_ms)
    assert first == 1
    machine.run_for_a_lease(1)
    machine.run_for_a_lease(1)
    assert lease.fencing_number(machine.entries[1], machine.now_ms) == 2


def test_ineligible_holder_lets_the_lease_expire() -> None:
    """Guards against a leaving entry that keeps others from planning."""
    machine = LeaseMachine()
    machine.run_for_a_lease(0)
    entry = machine.entries[0]
    later_ms = machine.now_ms + lease.LEASE_MS
    assert lease.on_tick(entry, later_ms, eligible=False) == []
    assert lease.fencing_number(entry, later_ms) is None
