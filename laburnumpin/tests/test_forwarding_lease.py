"""Tests of the lease on the duties."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from laburnumpin.forwarding import lease as leases

LEASE_MS = 3_000


class _Store:
    def __init__(self) -> None:
        self.row = leases.Row(0, 0, "", "")

    def write(self, call: leases.WriteLease) -> int | None:
        if call.expected_version != self.row.version:
            return None
        new = call.row
        self.row = leases.Row(
            self.row.version + 1, new.fencing_token, new.holder, new.token
        )
        return self.row.version


def _step(lease: leases.Lease, store: _Store, now_ms: int) -> None:
    call = lease.next_call(now_ms, eligible=True, holder_is_live=False)
    if isinstance(call, leases.ReadLease):
        lease.apply_read(store.row, now_ms)
    elif isinstance(call, leases.WriteLease):
        version = store.write(call)
        if version is None:
            lease.apply_conflict(now_ms)
        else:
            lease.apply_write(version, now_ms)


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
        lease = self.leases[index]
        if isinstance(call, leases.ReadLease):
            lease.apply_read(self.store.row, self.now_ms)
        elif isinstance(call, leases.WriteLease):
            version = self.store.write(call)
            if version is None:
                lease.apply_conflict(self.now_ms)
            else:
                lease.apply_write(version, self.now_ms)

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
