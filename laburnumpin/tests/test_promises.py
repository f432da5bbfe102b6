"""Checks the guarantees to callers with a state machine over several entries.

Rules submit requests, inject faults, and pause, reclaim and kill VMs of a
simulation. Invariants check that a call runs at most once for each idempotency
key, that readers get complete output of their own request, and that failures
reported as not run did not run.
"""

from __future__ import annotations

import collections
import json
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from laburnumpin import verdict
from laburnumpin.core import events
from laburnumpin.core import messages
from laburnumpin.tests import simulation

_ENTRY_IDS = [f"entry-{number}" for number in range(3)]
_any_entry = strategies.sampled_from(_ENTRY_IDS)
_FAULT_NAMES = [
    "store_refused",
    "store_lost",
    "store_late",
    "objects_failed",
    "upstream_rejected",
    "upstream_lost",
    "upstream_late",
    "duplicated",
    "ack_lost",
]
_fault_rates = strategies.dictionaries(
    strategies.sampled_from(_FAULT_NAMES),
    strategies.sampled_from([0.4, 1.0]),
    max_size=3,
)
_wait_ms = strategies.sampled_from([0, 20, 20, 200])


class PromisesMachine(stateful.RuleBasedStateMachine):
    """Drives a simulation with faults and checks the guarantees to callers."""

    def __init__(self) -> None:
        super().__init__()
        self.may_kill = False
        self.exchange_count = 0
        self.reader_count = 0

    @stateful.initialize(
        seed=strategies.integers(0, 1_000),
        may_kill=strategies.booleans(),
        retry_budget=strategies.sampled_from([0.0, 0.0, 5.0]),
        faults=_fault_rates,
    )
    def start(
        self,
        seed: int,
        may_kill: bool,
        retry_budget: float,
        faults: dict[str, float],
    ) -> None:
        self.may_kill = may_kill
        self.world = simulation.World(3, 2, seed)
        for state in self.world.entries.values():
            state.retries.budget = retry_budget
        self.inject_faults(faults)

    def inject_faults(self, faults: dict[str, float]) -> None:
        for name, rate in faults.items():
            setattr(self.world.faults, name, rate)
        if "objects_failed" in faults:
            self.world.handover_exempt.update(self.world.notices)

    @stateful.rule(
        vm_id=_any_entry,
        keys=strategies.lists(
            strategies.sampled_from(["k1", "k2", "k3", None, None]),
            min_size=1,
            max_size=5,
        ),
        deadline_ms=strategies.sampled_from([60, 500, 2_000, 20_000]),
        faults=_fault_rates,
    )
    def call(
        self,
        vm_id: str,
        keys: list[str | None],
        deadline_ms: int,
        faults: dict[str, float],
    ) -> None:
        self.inject_faults(faults)
        for key in keys:
            self._submit(vm_id, key, "desk", deadline_ms)

    @stateful.rule(vm_id=_any_entry, count=strategies.integers(1, 5))
    def stream(self, vm_id: str, count: int) -> None:
        for _ in range(count):
            self._submit(vm_id, None, "model", 20_000)

    def _submit(
        self, vm_id: str, key: str | None, service: str, deadline_ms: int
    ) -> None:
        if vm_id in self.world.stopped or vm_id in self.world.paused:
            return
        self.exchange_count += 1
        exchange = f"x{self.exchange_count}"
        self.world.submit(
            vm_id, exchange, key, service, deadline_ms=deadline_ms
        )

    @stateful.rule(vm_id=_any_entry, number=strategies.integers(0, 30))
    def read_at_any_entry(self, vm_id: str, number: int) -> None:
        accepted_ids = sorted(self.world.idempotency_keys)
        if not accepted_ids or vm_id in self.world.stopped:
            return
        self.reader_count += 1
        request_id = accepted_ids[number % len(accepted_ids)]
        self.world.open(vm_id, f"r{self.reader_count}", request_id)

    @stateful.rule(duration_ms=strategies.sampled_from([20, 60, 400, 8_000]))
    def advance(self, duration_ms: int) -> None:
        self.world.run(duration_ms)

    @stateful.rule(faults=_fault_rates)
    def change_faults(self, faults: dict[str, float]) -> None:
        self.world.faults = simulation.Faults()
        self.inject_faults(faults)

    @stateful.rule(
        peer_ms=strategies.sampled_from([2, 50, 900]),
        store_ms=strategies.sampled_from([5, 5, 400]),
    )
    def delay_messages(self, peer_ms: int, store_ms: int) -> None:
        self.world.faults.peer_delay_ms = peer_ms
        self.world.faults.store_delay_ms = store_ms

    @stateful.rule()
    def repair(self) -> None:
        self.world.faults = simulation.Faults()
        self.world.heal_links()

    @stateful.rule(first=_any_entry, second=_any_entry)
    def cut_link(self, first: str, second: str) -> None:
        if first != second:
            self.world.cut_link(first, second)

    @stateful.rule(
        vm_id=_any_entry, duration_ms=strategies.sampled_from([0, 3_000])
    )
    def pause(self, vm_id: str, duration_ms: int) -> None:
        if vm_id not in self.world.stopped:
            # Leaves a dispatch that is decided but not yet sent.
            self._submit(vm_id, None, "model", 2_000)
            self.world.pause(vm_id)
            self.world.run(duration_ms)

    @stateful.rule(vm_id=_any_entry)
    def resume(self, vm_id: str) -> None:
        self.world.resume(vm_id)

    @stateful.rule(number=strategies.integers(0, 1))
    def reclaim_upstream(self, number: int) -> None:
        name = ("model-0", "desk-0")[number]
        self.world.reclaim_upstream(name, 7_000)

    @stateful.rule(
        vm_id=strategies.sampled_from(_ENTRY_IDS[:2]),
        remaining_ms=strategies.sampled_from([0, 500, 4_000, 12_000, 12_000]),
        wait_ms=_wait_ms,
        deadline_ms=strategies.sampled_from([500, 20_000, 20_000]),
        faults=_fault_rates,
        disruption=strategies.sampled_from(
            ["none", "acks_lost", "links_cut", "links_cut", "repeated"]
        ),
        next_notice_after_ms=strategies.sampled_from([None, 5, 1_000, 1_000]),
        upstreams_reject=strategies.booleans(),
    )
    def leave(
        self,
        vm_id: str,
        remaining_ms: int,
        wait_ms: int,
        deadline_ms: int,
        faults: dict[str, float],
        disruption: str,
        next_notice_after_ms: int | None,
        upstreams_reject: bool,
    ) -> None:
        """Send a reclaim notice or, with 0 ms remaining, drain or kill.

        While the entry offers its requests, acknowledgements are lost, links
        are cut, messages are repeated, another entry leaves, or the upstreams
        reject all attempts for a while.
        """
        self.inject_faults(faults)
        for key in ("k1", None, None, None):
            self._submit(vm_id, key, "desk", deadline_ms)
            self._submit(vm_id, None, "model", 20_000)
        self.world.run(wait_ms)
        if vm_id in self.world.stopped:
            return
        if remaining_ms > 0:
            self.world.notify(vm_id, remaining_ms)
        elif self.may_kill:
            self.world.kill(vm_id)
        else:
            self.world.drain(vm_id)
        self._disrupt_offers(vm_id, disruption)
        if upstreams_reject:
            self.world.faults.upstream_rejected = 1.0
            self.world.run(1_000)
            self.world.faults.upstream_rejected = 0.0
        if next_notice_after_ms is not None:
            self.world.run(next_notice_after_ms)
            for other in _ENTRY_IDS[:2]:
                if other not in self.world.stopped:
                    self.world.notify(other, 12_000)

    def _disrupt_offers(self, vm_id: str, disruption: str) -> None:
        faults = self.world.faults
        if disruption == "acks_lost":
            faults.ack_lost = 1.0
        if disruption == "repeated":
            faults.duplicated = 1.0
            faults.peer_delay_ms = 900
        if disruption == "links_cut":
            # After 1 ms offers have arrived and acknowledgements have not.
            self.world.run(1)
            for peer in _ENTRY_IDS:
                if peer != vm_id:
                    self.world.cut_link(vm_id, peer)

    @stateful.rule(
        sequence=strategies.sampled_from(
            ["two_successors", "accepted_then_stored", "successor_leaves"]
        )
    )
    def leave_during_offers(self, sequence: str) -> None:
        """Leave while acknowledgements of offered batches are lost or late.

        A second successor or the object store then receives the same batch,
        or the successor leaves in turn. Each sequence needs several faults
        within milliseconds, which random faults rarely produce.
        """
        world = self.world
        if world.notices or world.stopped:
            return
        for vm_id in list(world.paused):
            world.resume(vm_id)
        world.heal_links()
        world.faults = simulation.Faults()
        for _ in range(4):
            self._submit("entry-0", None, "desk", 20_000)
        world.run(20)
        if sequence == "two_successors":
            world.faults.ack_lost = 1.0
            world.notify("entry-0", 12_000)
        elif sequence == "successor_leaves":
            world.faults.duplicated = 1.0
            world.faults.peer_delay_ms = 900
            world.notify("entry-0", 12_000)
            world.run(900)
            for vm_id in ("entry-1", "entry-2"):
                if world.entries[vm_id].handover.seen_batches:
                    world.notify(vm_id, 12_000)
        else:
            world.notify("entry-0", 12_000)
            world.run(1)
            world.cut_link("entry-0", "entry-1")
            world.cut_link("entry-0", "entry-2")
            for state in world.entries.values():
                state.retries.budget = 0.0
            world.faults.upstream_rejected = 1.0
            world.run(300)
            world.faults.upstream_rejected = 0.0
            world.run(5_000)

    @stateful.rule(vm_id=_any_entry, key=strategies.sampled_from(["k1", None]))
    def call_while_writes_are_late(self, vm_id: str, key: str | None) -> None:
        self.world.faults.store_late = 1.0
        self._submit(vm_id, key, "desk", 60)
        self.world.run(100)
        self.world.faults.store_late = 0.0

    @stateful.invariant()
    def calls_run_at_most_once_per_key(self) -> None:
        if not hasattr(self, "world"):
            return
        counts = collections.Counter(
            execution.key
            for execution in self.world.executions
            if execution.upstream_id.startswith("desk")
        )
        assert all(count == 1 for count in counts.values()), counts

    @stateful.invariant()
    def readers_get_their_own_contiguous_answer(self) -> None:
        if not hasattr(self, "world"):
            return
        for reading in self.world.readings.values():
            self._check_reading(reading)

    @stateful.invariant()
    def leaving_upstreams_get_no_new_attempts(self) -> None:
        if hasattr(self, "world"):
            assert self.world.late_attempts == []
            assert self.world.violations == []

    def _check_reading(self, reading: simulation.Reading) -> None:
        expected = 0
        for chunk in reading.chunks:
            assert chunk.offset == expected
            expected = chunk.next_offset
            self._check_text(reading, chunk)
        assert len(reading.outcomes) <= 1
        for outcome in reading.outcomes:
            if outcome.failure is None:
                assert expected == outcome.total_offset > 0

    def _check_text(
        self, reading: simulation.Reading, chunk: messages.Chunk
    ) -> None:
        # The output may be that of another call with the same key.
        keys = self.world.idempotency_keys
        answered_id = chunk.text.split(":", maxsplit=1)[0]
        assert keys[answered_id] == keys[reading.request_id]
        for offset in range(chunk.offset, chunk.next_offset):
            text = simulation.text_of(answered_id, offset)
            assert chunk.text == text

    def teardown(self) -> None:
        """Deliver all delayed messages and writes, then check again."""
        if not hasattr(self, "world"):
            return
        self.world.settle()
        self.calls_run_at_most_once_per_key()
        self.readers_get_their_own_contiguous_answer()
        self.leaving_upstreams_get_no_new_attempts()
        self._check_claims_are_settled()
        self._check_requests_ended()
        self._check_outcomes()
        self._check_not_run()

    def _check_outcomes(self) -> None:
        """Query each request at each live entry, which must return an outcome.

        After a kill without notice an outcome may be missing; those that are
        returned are still checked by `_check_not_run`.
        """
        world = self.world
        queried = []
        for request_id in world.accepted.values():
            if self._is_handover_exempt(request_id):
                continue
            for vm_id in world.live():
                exchange = f"{vm_id}?{request_id}"
                queried.append(exchange)
                world.deliver(
                    vm_id,
                    events.StatusRequested(0, exchange, request_id, None),
                )
        world.run(4_000)
        if self.may_kill:
            return
        for exchange in queried:
            assert exchange in world.statuses, (
                exchange,
                world.refused.get(exchange),
            )
            assert world.statuses[exchange].outcome is not None, exchange
        for reading in world.readings.values():
            if reading.vm_id not in world.stopped:
                # If the owner is lost, the outcome of the reader is a failure.
                assert len(reading.outcomes) == 1, reading

    def _check_claims_are_settled(self) -> None:
        """Check that no live entry holds a claim, which would block its key."""
        for (table, key), (_, value) in self.world.tables.rows.items():
            if table != "claims":
                continue
            row = json.loads(str(value))
            holder_vm_id = row["token"].split("/")[1].split(".")[0]
            if holder_vm_id not in self.world.stopped:
                assert row["state"] != "held", key

    def _check_requests_ended(self) -> None:
        for vm_id in self.world.live():
            state = self.world.entries[vm_id]
            assert state.requests.unfinished == 0, vm_id
            assert state.counters.value("dropped_answers", "gap") == 0
            for request in state.requests.by_id.values():
                offsets = [chunk.offset for chunk in request.chunks]
                assert offsets == list(range(len(offsets)))
                failure = request.outcome and request.outcome.failure
                if failure and request.idempotency_key is None:
                    # No other call can hold the claim of a call without a key.
                    assert failure.code != "claim_held"

    def _is_handover_exempt(self, request_id: str) -> bool:
        """Return whether an exempt entry had the request when it stopped."""
        for vm_id in self.world.stopped & self.world.handover_exempt:
            if request_id in self.world.entries[vm_id].requests.by_id:
                return True
        return False

    def _check_not_run(self) -> None:
        executed_ids = {e.request_id for e in self.world.executions}
        reported = []
        for reading in self.world.readings.values():
            for outcome in reading.outcomes:
                reported.append((reading.request_id, outcome))
        for status in self.world.statuses.values():
            if status.outcome is not None:
                reported.append((status.request_id, status.outcome))
        for request_id, outcome in reported:
            failure = outcome.failure
            if failure and failure.verdict is verdict.Verdict.NOT_RUN:
                assert request_id not in executed_ids


TestPromises = PromisesMachine.TestCase
TestPromises.settings = hypothesis.settings(
    max_examples=int(os.environ.get("PROMISES_EXAMPLES", "120")),
    stateful_step_count=40,
    # Shrinking a failure takes minutes; the steps are printed without it.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
