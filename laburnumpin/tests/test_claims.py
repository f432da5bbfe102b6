"""Tests of claims for non-idempotent calls."""

from __future__ import annotations

import json

import pytest

from laburnumpin import verdict
from laburnumpin.core import claims
from laburnumpin.tests import simulation


def _failure_code(world: simulation.World, reader_id: str) -> str:
    outcomes = world.readings[reader_id].outcomes
    assert len(outcomes) == 1
    failure = outcomes[0].failure
    return "" if failure is None else failure.code


def _state_of(world: simulation.World, key: str) -> str | None:
    value = world.tables.row("claims", f"acme/desk/{key}").value
    return None if value is None else str(json.loads(value)["state"])


def test_claim_precedes_dispatch_and_records_the_outcome() -> None:
    """Guards against a dispatch before the claim is committed."""
    world = simulation.World(1)
    world.faults.store_refused = 1.0
    world.submit("entry-0", "x", "key")
    world.run(500)
    assert world.dispatches == []
    world.faults.store_refused = 0.0
    world.run(3_000)
    assert _failure_code(world, "x") == ""
    assert _state_of(world, "key") == "ended"
    assert world.executions_of("key") == 1


def test_same_key_replays_the_outcome() -> None:
    """Guards against a second execution under one idempotency key."""
    world = simulation.World(2)
    world.submit("entry-0", "x", "key")
    world.run(3_000)
    world.submit("entry-1", "y", "key")
    world.submit("entry-1", "z", "key", body="[]")
    world.run(1_000)
    first, second = world.readings["x"], world.readings["y"]
    assert [c.text for c in first.chunks] == [c.text for c in second.chunks]
    assert _failure_code(world, "y") == ""
    assert _failure_code(world, "z") == "idempotency_key_reused"
    assert world.executions_of("key") == 1


def test_same_key_is_held_while_the_first_call_runs() -> None:
    """Guards against two concurrent executions under one key."""
    world = simulation.World(2)
    world.faults.upstream_lost = 1.0
    world.submit("entry-0", "x", "key")
    world.submit("entry-1", "y", "key")
    world.run(60)
    outcomes = world.readings["x"].outcomes + world.readings["y"].outcomes
    codes = sorted(o.failure.code for o in outcomes if o.failure is not None)
    assert "claim_held" in codes
    held = [o.failure for o in outcomes if o.failure is not None]
    for failure in held:
        assert failure.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert failure.code != "claim_held" or failure.retry_after_ms
    world.run(5_000)
    assert world.executions_of("key") == 1


def test_group_commit_bounds_transactions_and_isolates_conflicts() -> None:
    """Guards against one transaction per claim, or one conflict failing many.

    A transaction takes effect as a whole, so that a key in use would otherwise
    block the other claims of its group.
    """
    world = simulation.World(2)
    world.submit("entry-0", "first", "taken")
    world.run(3_000)
    before = len(world.tables.rows)
    for number in range(250):
        key = "taken" if number == 7 else f"key-{number}"
        world.submit("entry-1", f"x{number}", key)
    state = world.entries["entry-1"]
    operations_before = state.next_operation
    world.run(20)
    assert 3 <= state.next_operation - operations_before <= 5
    for updates in state.claims.updates_by_operation.values():
        assert len(updates) <= claims.MAX_GROUP_ROWS
    world.run(20_000)
    assert len(world.tables.rows) - before == 249
    assert world.executions_of("taken") == 1
    assert sum(world.executions_of(f"key-{n}") for n in range(250)) == 249


@pytest.mark.parametrize("fault", ["store_lost", "store_late"])
def test_lost_answers_are_resolved_by_the_token(fault: str) -> None:
    """Guards against an entry that conflicts with its own unanswered claim."""
    world = simulation.World(1, seed=3)
    setattr(world.faults, fault, 1.0)
    world.submit("entry-0", "x", "key")
    world.run(60)
    setattr(world.faults, fault, 0.0)
    world.run(15_000)
    assert _failure_code(world, "x") == ""
    assert world.executions_of("key") == 1


def test_deadline_during_an_outage_ends_not_run_and_frees_the_key() -> None:
    """Guards against a late insert that blocks a key permanently."""
    world = simulation.World(2, seed=5)
    world.faults.store_late = 1.0
    world.submit("entry-0", "x", "key", deadline_ms=100)
    world.run(60)
    world.faults.store_late = 0.0
    world.faults.store_refused = 1.0
    world.run(100)
    outcome = world.readings["x"].outcomes[0]
    assert outcome.failure is not None
    assert outcome.failure.verdict is verdict.Verdict.NOT_RUN
    world.run(10_000)
    world.faults.store_refused = 0.0
    world.run(10_000)
    assert _state_of(world, "key") in (None, "released")
    assert not claims.has_unfinished(world.entries["entry-0"])
    assert world.executions == []
    world.submit("entry-1", "y", "key")
    world.run(3_000)
    assert _failure_code(world, "y") == ""


def test_late_insert_after_a_release_finds_the_released_row() -> None:
    """Guards against an insert that takes effect after the release."""
    world = simulation.World(1)
    world.faults.store_late = 1.0
    world.submit("entry-0", "x", "key", deadline_ms=60)
    world.run(40)
    world.faults.store_late = 0.0
    world.run(200)
    assert _state_of(world, "key") == "released"
    world.run(10_000)
    assert _state_of(world, "key") == "released"


def test_large_outcome_is_recorded_by_its_digest() -> None:
    """Guards against an empty answer in place of one too large to record."""
    world = simulation.World(1)
    request_id = world.submit("entry-0", "x", "key")
    assert request_id is not None
    limit = claims.MAX_RECORDED_ANSWER_BYTES
    try:
        claims.MAX_RECORDED_ANSWER_BYTES = 4
        world.run(3_000)
    finally:
        claims.MAX_RECORDED_ANSWER_BYTES = limit
    world.submit("entry-0", "y", "key")
    world.run(1_000)
    assert _failure_code(world, "y") == "outcome_not_kept"
    failure = world.readings["y"].outcomes[0].failure
    assert failure is not None
    assert failure.verdict is verdict.Verdict.RAN
