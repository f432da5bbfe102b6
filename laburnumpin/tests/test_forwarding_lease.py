"""The lease on the duties."""

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
    call = lease.next_call(now_ms, eligible=True, holder_heard=False)
    if isinstance(call, leases.ReadLease):
        lease.read(store.row, now_ms)
    elif isinstance(call, leases.WriteLease):
        version = store.write(call)
        if version is None:
            lease.conflicted(now_ms)
        else:
            lease.written(version, now_ms)


def test_first_entry_takes_a_free_lease() -> None:
    lease, store = leases.Lease("a", LEASE_MS), _Store()
    for now_ms in range(1_000, 1_300, 50):
        _step(lease, store, now_ms)
    assert lease.may_act(1_300)
    assert lease.fencing_token == 1


def test_lease_of_a_silent_holder_is_taken_with_a_higher_token() -> None:
    first, second = leases.Lease("a", LEASE_MS), leases.Lease("b", LEASE_MS)
    store = _Store()
    for now_ms in range(0, 200, 50):
        _step(first, store, now_ms)
    for now_ms in range(200, 10_000, 50):
        _step(second, store, now_ms)
        assert not (first.may_act(now_ms) and second.may_act(now_ms))
    assert second.fencing_token == 2


def test_released_lease_is_taken_at_once() -> None:
    first, second = leases.Lease("a", LEASE_MS), leases.Lease("b", LEASE_MS)
    store = _Store()
    for now_ms in range(0, 200, 50):
        _step(first, store, now_ms)
    release = first.next_call(2_000, eligible=False, holder_heard=False)
    assert isinstance(release, leases.WriteLease)
    version = store.write(release)
    assert version is not None
    first.written(version, 2_000)
    assert not first.holds(2_000)
    for now_ms in range(2_050, 2_300, 50):
        _step(second, store, now_ms)
    assert second.may_act(2_300)
    assert second.fencing_token == 2


def test_entry_that_starts_again_takes_its_own_lease_at_once() -> None:
    # Found on an incident of Rigsafe: all processes were killed, and nobody
    # ordered upstreams until the lease had lapsed.
    first, store = leases.Lease("a", LEASE_MS), _Store()
    for now_ms in range(0, 200, 50):
        _step(first, store, now_ms)
    again, other = leases.Lease("a", LEASE_MS), leases.Lease("b", LEASE_MS)
    for now_ms in range(1_000, 1_300, 50):
        _step(other, store, now_ms)
        _step(again, store, now_ms)
    assert again.may_act(1_300)
    assert again.fencing_token == 2
    assert not other.holds(1_300)


def test_renewal_whose_answer_was_lost_is_found_by_its_token() -> None:
    lease, store = leases.Lease("a", LEASE_MS), _Store()
    for now_ms in range(0, 200, 50):
        _step(lease, store, now_ms)
    renewal = lease.next_call(1_500, eligible=True, holder_heard=False)
    assert isinstance(renewal, leases.WriteLease)
    store.write(renewal)
    lease.lost(1_600)
    for now_ms in range(1_650, 4_000, 50):
        _step(lease, store, now_ms)
    assert lease.may_act(4_000)
    assert lease.fencing_token == 1


class _Race(stateful.RuleBasedStateMachine):
    """Entries race for the lease; answers are lost and writes land late."""

    def __init__(self) -> None:
        super().__init__()
        self.store = _Store()
        self.now_ms = 0
        self.leases = [leases.Lease(f"e{i}", LEASE_MS) for i in range(3)]
        self.calls: dict[int, leases.ReadLease | leases.WriteLease] = {}
        self.late: list[leases.WriteLease] = []

    @stateful.rule(elapsed_ms=strategies.integers(10, 1_500))
    def wait(self, elapsed_ms: int) -> None:
        self.now_ms += elapsed_ms

    @stateful.rule(index=strategies.integers(0, 2))
    def call(self, index: int) -> None:
        if index in self.calls:
            return
        call = self.leases[index].next_call(
            self.now_ms, eligible=True, holder_heard=False
        )
        if call is not None:
            self.calls[index] = call

    @stateful.rule(index=strategies.integers(0, 2))
    def answer(self, index: int) -> None:
        call = self.calls.pop(index, None)
        lease = self.leases[index]
        if isinstance(call, leases.ReadLease):
            lease.read(self.store.row, self.now_ms)
        elif isinstance(call, leases.WriteLease):
            version = self.store.write(call)
            if version is None:
                lease.conflicted(self.now_ms)
            else:
                lease.written(version, self.now_ms)

    @stateful.rule(index=strategies.integers(0, 2), lands=strategies.booleans())
    def lose(self, index: int, lands: bool) -> None:
        call = self.calls.pop(index, None)
        if call is None:
            return
        if isinstance(call, leases.WriteLease):
            if lands:
                self.store.write(call)
            else:
                self.late.append(call)
        self.leases[index].lost(self.now_ms)

    @stateful.rule()
    def land_late(self) -> None:
        if self.late:
            self.store.write(self.late.pop())

    @stateful.invariant()
    def one_holder(self) -> None:
        acting = [e for e in self.leases if e.may_act(self.now_ms)]
        assert len(acting) <= 1

    @stateful.invariant()
    def tokens_differ(self) -> None:
        holding = [e for e in self.leases if e.holds(self.now_ms)]
        tokens = [e.fencing_token for e in holding]
        assert len(set(tokens)) == len(tokens)


TestRace = _Race.TestCase
TestRace.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
