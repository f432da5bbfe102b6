"""Tests of the phases of a request and its verdicts."""

from __future__ import annotations

import pytest

from laburnumpin import verdict
from laburnumpin.core import events
from laburnumpin.core import messages
from laburnumpin.core import requests
from laburnumpin.tests import simulation

_Verdict = verdict.Verdict


def _failure(world: simulation.World, reader: str) -> messages.Failure:
    outcomes = world.readings[reader].outcomes
    assert len(outcomes) == 1
    assert outcomes[0].failure is not None
    return outcomes[0].failure


def test_crossed_duplicate_and_late_output_reaches_one_reader_once() -> None:
    """Guards against output sent twice or to a reader of another request."""
    world = simulation.World(1, seed=4)
    world.faults.duplicated = 0.5
    for number in range(30):
        world.submit("entry-0", f"x{number}", service="model")
    world.run(10_000)
    for reading in world.readings.values():
        expected = []
        for offset in range(simulation.DRAFT_TOKENS):
            expected.append(simulation.text_of(reading.request_id, offset))
        assert [chunk.text for chunk in reading.chunks] == expected
        assert [o.failure for o in reading.outcomes] == [None]
    counters = world.entries["entry-0"].counters
    assert counters.value("dropped_answers", "duplicate") > 0


@pytest.mark.parametrize(
    ("offset", "total", "counter_label"), [(1, 2, "gap"), (0, 2, "truncated")]
)
def test_gap_or_missing_tail_is_not_an_answer(
    offset: int, total: int, counter_label: str
) -> None:
    """Guards against the completion of an answer that lacks output."""
    world = simulation.World(1)
    world.faults.upstreams_silent = True
    world.submit("entry-0", "x", service="model")
    world.run(40)
    attempt_id = world.dispatches[-1][2].attempt_id
    chunk = messages.Chunk(offset, offset + 1, "text")
    world.deliver("entry-0", events.AttemptOutput(0, attempt_id, chunk))
    world.deliver(
        "entry-0", events.AttemptCompleted(0, attempt_id, total, 0, 0)
    )
    counters = world.entries["entry-0"].counters
    assert counters.value("dropped_answers", counter_label) == 1
    assert _failure(world, "x").verdict is not _Verdict.NOT_RUN


@pytest.mark.parametrize(
    ("service", "expected", "code"),
    [("model", _Verdict.MAY_HAVE_RUN, "deadline_passed"), ("desk", None, "")],
)
def test_deadline_cancels_streams_and_awaits_sent_calls(
    service: str, expected: verdict.Verdict | None, code: str
) -> None:
    """Guards against streams past their deadline, and lost answers of calls.

    The attempt of a non-idempotent call is not cancelled at the deadline, since
    a late answer helps the caller more than the verdict "may have run".
    """
    world = simulation.World(1)
    world.faults.upstreams_silent = True
    world.submit("entry-0", "x", service=service, deadline_ms=500)
    world.run(600)
    attempt_id = world.dispatches[-1][2].attempt_id
    if expected is not None:
        assert _failure(world, "x").verdict is expected
        assert _failure(world, "x").code == code
        assert attempt_id in world.cancelled
        return
    chunk = messages.Chunk(0, 1, "done")
    world.deliver("entry-0", events.AttemptOutput(0, attempt_id, chunk))
    world.deliver("entry-0", events.AttemptCompleted(0, attempt_id, 1, 0, 0))
    assert world.readings["x"].outcomes == [messages.Outcome(1)]


def test_deadline_in_the_queue_and_after_the_claim_is_not_run() -> None:
    """Guards against a call that is sent after its deadline."""
    world = simulation.World(1, upstream_count=0)
    world.submit("entry-0", "x", "key", deadline_ms=100)
    world.run(200)
    assert _failure(world, "x").verdict is _Verdict.NOT_RUN
    world = simulation.World(1)
    world.faults.store_delay_ms = 1
    world.submit("entry-0", "y", "key", deadline_ms=30)
    world.run(20)
    world.pause("entry-0")
    world.run(200)
    world.resume("entry-0")
    world.run(2_000)
    assert _failure(world, "y").verdict is _Verdict.NOT_RUN
    assert world.executions == []
    assert '"released"' in str(world.tables.row("claims", "acme/desk/key"))


def test_claimed_call_waits_for_room_with_its_claim() -> None:
    """Guards against a claim that is lost while no upstream is available."""
    world = simulation.World(1, upstream_count=1)
    world.submit("entry-0", "x", "key")
    state = world.entries["entry-0"]
    world.run(20)
    state.upstreams.by_id["desk-0"].leaving = True
    world.run(100)
    request = world.request("entry-0", world.accepted["x"])
    assert request.phase is requests.Phase.QUEUED
    assert request.claimed
    state.upstreams.by_id["desk-0"].leaving = False
    world.run(2_000)
    assert world.readings["x"].outcomes == [messages.Outcome(1)]


def test_end_and_cancel_are_idempotent() -> None:
    """Guards against two outcomes of one request."""
    world = simulation.World(1)
    world.faults.upstreams_silent = True
    request_id = world.submit("entry-0", "x", service="model")
    assert request_id is not None
    world.run(40)
    for exchange in ("c1", "c2"):
        event = events.StatusRequested(0, exchange, request_id, "acme", True)
        world.deliver("entry-0", event)
    assert _failure(world, "x").verdict is _Verdict.MAY_HAVE_RUN
    assert world.statuses["c2"].phase == "ended"
    state = world.entries["entry-0"]
    assert state.requests.unfinished == 0
    assert list(state.requests.ended_ids) == [request_id]
    attempt_id = world.dispatches[-1][2].attempt_id
    late = events.AttemptCompleted(0, attempt_id, 0, 0, 0)
    world.deliver("entry-0", late)
    assert state.counters.value("dropped_answers", "unknown_attempt") == 1


def test_retained_answers_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory use that grows with the rate of answers."""
    bound = 5 * simulation.DRAFT_TOKENS
    monkeypatch.setattr(requests, "MAX_RETAINED_TOKENS", bound)
    world = simulation.World(1)
    accepted = []
    for number in range(12):
        accepted.append(world.submit("entry-0", f"x{number}", service="model"))
        world.run(3_000)
    state = world.entries["entry-0"]
    retained_ids = list(state.requests.by_id)
    assert retained_ids == accepted[-5:]
    assert state.requests.retained_tokens == bound
    assert state.counters.value("answers_forgotten_early") == 7


def test_paused_entry_does_not_send_a_stale_dispatch() -> None:
    """Guards against an attempt sent after `DISPATCH_VALID_MS`.

    The entry pauses between the decision to dispatch and the sending.
    """
    world = simulation.World(1)
    world.entries["entry-0"].retries.budget = 1.0
    world.submit("entry-0", "x", service="model")
    world.pause("entry-0")
    world.run(5_000)
    world.resume("entry-0")
    world.run(3_000)
    decided_ms = {d.attempt_id: at_ms for at_ms, _, d in world.dispatches}
    assert len(decided_ms) == 2
    assert len(world.executions) == 1
    assert world.readings["x"].outcomes == [
        messages.Outcome(simulation.DRAFT_TOKENS)
    ]
