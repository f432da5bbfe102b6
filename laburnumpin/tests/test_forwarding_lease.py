"""Tests of the lease on the duties."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from laburnumpin.forwarding import lease as leases

LEASE_MS = 3_000


class _Store:
    def __init__(self, era: int = 0) -> None:
        self.row = leases.Row(0, 0, "", "")
        self.era = era
        self.version = 0

    def write(self, call: leases.WriteLease) -> int | None:
        if call.expected_version != self.row.version:
            return None
        self.version += 1
        self.row = dataclasses.replace(call.row, version=self.version)
        return self.row.version

    def restore(self, row: leases.Row) -> None:
        self.row = row
        self.version = row.version
        self.era += 1

    def answer(
        self,
        lease: leases.Lease,
        call: leases.ReadLease | leases.WriteLease,
        now_ms: int,
    ) -> None:
        if isinstance(call, leases.ReadLease):
            lease.apply_read(self.row, now_ms, self.era)
            return
        version = self.write(call)
        if version is None:
            lease.apply_conflict(now_ms, self.era)
        else:
            lease.apply_write(version, now_ms, self.era)


def _step(lease: leases.Lease, store: _Store, now_ms: int) -> None:
    call = lease.next_call(now_ms, eligible=True, holder_is_live=False)
    if call is not None:
        store.answer(lease, call, now_ms)


def test_free_lease_is_acquired() -> None:
    lease, store = leases.Lease("a", LEASE_MS), _Store()
    for now_ms in range(1_000, 1_300, 50):
        _step(lease, store, now_ms)
    assert lease.may_act(1_300)
    assert lease.fencing_token == 1


def test_lease_of_a_failed_holder_is_taken_over_with_a_higher_token() -> None:
    first, second = leases.Lease("a", LEASE_MS), leases.Lease("b", LEASE_MS)
    store = _Store()
    for now_ms in range(0, 200, 50):
        _step(first, store, now_ms)
    for now_ms in range(200, 10_000, 50):
        _step(second, store, now_ms)
        assert not (first.may_act(now_ms) and second.may_act(now_ms))
    assert second.fencing_token == 2


def test_released_lease_is_taken_over_at_once() -> None:
    first, second = leases.Lease("a", LEASE_MS), leases.Lease("b", LEASE_MS)
    store = _Store()
    for now_ms in range(0, 200, 50):
        _step(first, store, now_ms)
    release = first.next_call(2_000, eligible=False, holder_is_live=False)
    assert isinstance(release, leases.WriteLease)
    version = store.write(release)
    assert version is not None
    first.apply_write(version, 2_000)
    assert not first.holds(2_000)
    for now_ms in range(2_050, 2_300, 50):
        _step(second, store, now_ms)
    assert second.may_act(2_300)
    assert second.fencing_token == 2


def test_restarted_entry_takes_over_its_own_lease_at_once() -> None:
    # In an incident of Rigsafe all processes were killed at once, and no entry
    # ordered upstreams until the lease had expired.
    first, store = leases.Lease("a", LEASE_MS), _Store()
    for now_ms in range(0, 200, 50):
        _step(first, store, now_ms)
    restarted, other = leases.Lease("a", LEASE_MS), leases.Lease("b", LEASE_MS)
    for now_ms in range(1_000, 1_300, 50):
        _step(other, store, now_ms)
        _step(restarted, store, now_ms)
    assert restarted.may_act(1_300)
    assert restarted.fencing_token == 2
    assert not other.holds(1_300)


def test_renewal_with_a_lost_answer_is_recognized_by_its_token() -> None:
    lease, store = leases.Lease("a", LEASE_MS), _Store()
    for now_ms in range(0, 200, 50):
        _step(lease, store, now_ms)
    renewal = lease.next_call(1_500, eligible=True, holder_is_live=False)
    assert isinstance(renewal, leases.WriteLease)
    store.write(renewal)
    lease.apply_failure(1_600)
    for now_ms in range(1_650, 4_000, 50):
        _step(lease, store, now_ms)
    assert lease.may_act(4_000)
    assert lease.fencing_token == 1


class _LeaseRace(stateful.RuleBasedStateMachine):
    """Entries contend for the lease; answers are lost, writes are delayed."""

    def __init__(self) -> None:
        super().__init__()
        self.store = _Store()
        self.now_ms = 0
        self.leases = [leases.Lease(f"e{i}", LEASE_MS) for i in range(3)]
        self.calls: dict[int, leases.ReadLease | leases.WriteLease] = {}
        self.late_writes: list[leases.WriteLease] = []

    @stateful.rule(elapsed_ms=strategies.integers(10, 1_500))
    def wait(self, elapsed_ms: int) -> None:
        self.now_ms += elapsed_ms

    @stateful.rule(index=strategies.integers(0, 2))
    def call(self, index: int) -> None:
        if index in self.calls:
            return
        call = self.leases[index].next_call(
            self.now_ms, eligible=True, holder_is_live=False
        )
        if call is not None:
            self.calls[index] = call

    @stateful.rule(index=strategies.integers(0, 2))
    def answer(self, index: int) -> None:
        call = self.calls.pop(index, None)
        if call is not None:
            self.store.answer(self.leases[index], call, self.now_ms)

    @stateful.rule(
        index=strategies.integers(0, 2), takes_effect=strategies.booleans()
    )
    def lose_answer(self, index: int, takes_effect: bool) -> None:
        call = self.calls.pop(index, None)
        if call is None:
            return
        if isinstance(call, leases.WriteLease):
            if takes_effect:
                self.store.write(call)
            else:
                self.late_writes.append(call)
        self.leases[index].apply_failure(self.now_ms)

    @stateful.rule()
    def apply_late_write(self) -> None:
        if self.late_writes:
            self.store.write(self.late_writes.pop())

    @stateful.invariant()
    def at_most_one_acts(self) -> None:
        acting = [e for e in self.leases if e.may_act(self.now_ms)]
        assert len(acting) <= 1

    @stateful.invariant()
    def fencing_tokens_differ(self) -> None:
        holding = [e for e in self.leases if e.holds(self.now_ms)]
        tokens = [e.fencing_token for e in holding]
        assert len(set(tokens)) == len(tokens)


TestRace = _LeaseRace.TestCase
TestRace.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60, deadline=None
)


class _RestoredLeaseRace(_LeaseRace):
    """The same with a store that comes back from older copies of the row."""

    def __init__(self) -> None:
        super().__init__()
        self.store = _Store(era=1)
        self.copies = [self.store.row]
        # The entry that held the lease with each fencing token.
        self.holders: dict[int, int] = {}

    @stateful.rule()
    def copy(self) -> None:
        self.copies.append(self.store.row)

    @stateful.rule(age=strategies.integers(1, 3))
    def restore(self, age: int) -> None:
        # Other rows' writes may give out the versions that were lost.
        self.store.restore(self.copies[-min(age, len(self.copies))])

    @stateful.rule(index=strategies.integers(0, 2))
    def restart(self, index: int) -> None:
        self.calls.pop(index, None)
        self.leases[index] = leases.Lease(f"e{index}", LEASE_MS)

    @stateful.invariant()
    def each_token_has_one_holder(self) -> None:
        for index, lease in enumerate(self.leases):
            if not lease.may_act(self.now_ms):
                continue
            assert self.holders.setdefault(lease.fencing_token, index) == index


TestRestoredRace = _RestoredLeaseRace.TestCase
TestRestoredRace.settings = TestRace.settings


def _run(
    store: _Store, entries: list[leases.Lease], start_ms: int, end_ms: int
) -> None:
    for now_ms in range(start_ms, end_ms, 50):
        for entry in entries:
            _step(entry, store, now_ms)
        acting = [entry for entry in entries if entry.may_act(now_ms)]
        assert len(acting) <= 1


# A restored store has an older row, or none: another entry took the lease while
# its holder still acted, with a fencing token that had been used.
def test_lease_of_a_restored_store_is_taken_only_after_a_whole_lease() -> None:
    first, second = leases.Lease("a", LEASE_MS), leases.Lease("b", LEASE_MS)
    store = _Store(era=1)
    _run(store, [first, second], 0, 8_000)
    holder, other = (first, second) if first.may_act(7_950) else (second, first)
    assert holder.may_act(7_950)
    used_token = holder.fencing_token
    store.restore(leases.Row(0, 0, "", ""))
    _run(store, [other], 8_000, 10_000)
    assert not other.holds(10_000)
    _run(store, [other], 10_000, 16_000)
    assert other.may_act(16_000)
    assert other.fencing_token > used_token


def test_holder_keeps_the_lease_across_a_restore() -> None:
    first, second = leases.Lease("a", LEASE_MS), leases.Lease("b", LEASE_MS)
    store = _Store(era=1)
    copy = store.row
    _run(store, [first, second], 0, 8_000)
    holder = first if first.may_act(7_950) else second
    old_token = holder.fencing_token
    store.restore(copy)
    for now_ms in range(8_000, 16_000, 50):
        for entry in (first, second):
            _step(entry, store, now_ms)
        assert holder.holds(now_ms)
    assert holder.fencing_token > old_token
    assert store.row.era == 2


def test_released_row_of_an_earlier_era_is_not_free() -> None:
    store = _Store(era=1)
    store.restore(leases.Row(5, 3, leases.RELEASED, "t", era=1))
    lease = leases.Lease("a", LEASE_MS)
    _run(store, [lease], 0, 3_000)
    assert not lease.holds(3_000)
    _run(store, [lease], 3_000, 6_000)
    assert lease.may_act(6_000)


def test_write_whose_condition_holds_by_a_reissued_version_is_no_lease() -> (
    None
):
    store, lease = _Store(era=1), leases.Lease("a", LEASE_MS)
    _run(store, [lease], 0, 8_000)
    renewal = None
    now_ms = 8_000
    while renewal is None:
        renewal = lease.next_call(now_ms, eligible=True, holder_is_live=False)
        now_ms += 50
    assert isinstance(renewal, leases.WriteLease)
    valid_until_ms = lease._valid_until_ms
    # Another holder's row has the version that the renewal expects.
    store.restore(leases.Row(renewal.expected_version, 9, "b", "other", era=2))
    store.answer(lease, renewal, now_ms)
    assert not lease.holds(valid_until_ms)


def test_row_is_observed_anew_in_a_new_era() -> None:
    store, lease = _Store(era=1), leases.Lease("a", LEASE_MS)
    store.restore(leases.Row(5, 3, "b", "t", era=2))
    _run(store, [lease], 0, 3_000)
    # Another holder's write has got the same version.
    store.restore(leases.Row(5, 4, "c", "u", era=3))
    lease.note_era(3, 0, 3_000)  # As another table's answer named it first.
    _run(store, [lease], 3_000, 6_000)
    assert not lease.holds(6_000)
    _run(store, [lease], 6_000, 9_000)
    assert lease.may_act(9_000)


def test_missing_row_is_free_at_the_first_start_only() -> None:
    store = _Store(era=1)
    first = leases.Lease("a", LEASE_MS, is_first_start=True)
    _run(store, [first], 0, 500)
    assert first.may_act(500)
    store.restore(leases.Row(0, 0, "", ""))
    other = leases.Lease("b", LEASE_MS, is_first_start=True)
    other.note_era(1, 0, 0)
    _run(store, [other], 500, 3_000)
    assert not other.holds(3_000)
