"""Tests of retries, their budget, and resumed streams."""

from __future__ import annotations

import pytest

from laburnumpin import verdict
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import messages
from laburnumpin.tests import simulation

_MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
_NOT_RUN = verdict.Verdict.NOT_RUN


def _stream(world: simulation.World, tokens: int) -> effects.Dispatch:
    """Start a stream that delivers `tokens` and return its dispatch."""
    world.faults.upstreams_silent = True
    world.submit("entry-0", "x", service="model")
    world.run(40)
    dispatch = world.dispatches[-1][2]
    for offset in range(tokens):
        text = simulation.text_of(dispatch.request_id, offset)
        chunk = messages.Chunk(offset, offset + 1, text)
        world.deliver(
            "entry-0", events.AttemptOutput(0, dispatch.attempt_id, chunk)
        )
    return dispatch


def _fail(
    world: simulation.World,
    dispatch: effects.Dispatch,
    failure: events.AttemptFailure,
    attempt_verdict: verdict.Verdict = _MAY_HAVE_RUN,
) -> effects.Dispatch:
    """Fail an attempt and return the dispatch of its retry."""
    world.entries["entry-0"].retries.budget = 5.0
    world.deliver(
        "entry-0",
        events.AttemptFailed(0, dispatch.attempt_id, attempt_verdict, failure),
    )
    world.run(300)
    retry = world.dispatches[-1][2]
    assert retry.attempt_id != dispatch.attempt_id
    return retry


@pytest.mark.parametrize("fault", ["upstream_rejected", "upstream_lost"])
def test_attempts_stay_within_the_budget_over_an_outage(fault: str) -> None:
    """Guards against retries that multiply the load of an outage."""
    world = simulation.World(1)
    setattr(world.faults, fault, 1.0)
    for number in range(2_000):
        world.submit("entry-0", f"x{number}", service="model")
        if number % 10 == 0:
            world.run(20)
    world.run(30_000, tick_ms=100)
    counters = world.entries["entry-0"].counters
    assert all(len(r.outcomes) == 1 for r in world.readings.values())
    assert 2_000 < len(world.dispatches) <= 2_200
    assert counters.total("retries") == len(world.dispatches) - 2_000
    assert counters.total("retries_refused") == 2_000


def test_budget_starts_empty_and_refusals_are_counted() -> None:
    """Guards against a burst of retries after each start of an entry."""
    world = simulation.World(1)
    world.faults.upstream_rejected = 1.0
    world.submit("entry-0", "x", service="model")
    world.run(1_000)
    failure = world.readings["x"].outcomes[0].failure
    assert failure is not None
    assert (failure.code, failure.verdict) == ("upstream_overloaded", _NOT_RUN)
    counters = world.entries["entry-0"].counters
    assert counters.value("retries_refused", "budget_exhausted") == 1


def test_sent_call_is_not_repeated() -> None:
    """Guards against a retry of a non-idempotent call that may have run."""
    world = simulation.World(1)
    world.entries["entry-0"].retries.budget = 5.0
    world.faults.upstream_lost = 1.0
    world.submit("entry-0", "x", "key")
    world.run(5_000)
    failure = world.readings["x"].outcomes[0].failure
    assert failure is not None
    assert failure.verdict is _MAY_HAVE_RUN
    assert world.executions_of("key") == 1
    counters = world.entries["entry-0"].counters
    assert counters.value("retries_refused", "not_repeatable") == 1


def test_broken_stream_resumes_at_its_engine_from_the_offset() -> None:
    """Guards against tokens recomputed after a lost connection."""
    world = simulation.World(1)
    first = _stream(world, 2)
    lost = events.AttemptFailure.CONNECTION_LOST
    second = _fail(world, first, lost)
    assert second.upstream_id == first.upstream_id
    assert (second.offset, second.recompute) == (2, False)


def test_stream_that_progressed_continues_with_an_empty_budget() -> None:
    """Guards against an accepted stream that fails with one connection.

    Only an attempt with output is continued; a second failure without new
    output ends the stream.
    """
    world = simulation.World(1)
    first = _stream(world, 2)
    entry = world.entries["entry-0"]
    entry.retries.budget = 0.0
    lost = events.AttemptFailure.CONNECTION_LOST
    world.deliver(
        "entry-0",
        events.AttemptFailed(0, first.attempt_id, _MAY_HAVE_RUN, lost),
    )
    world.run(300)
    second = world.dispatches[-1][2]
    assert (second.offset, second.recompute) == (2, False)
    world.deliver(
        "entry-0",
        events.AttemptFailed(0, second.attempt_id, _MAY_HAVE_RUN, lost),
    )
    world.run(300)
    assert world.dispatches[-1][2] is second
    assert entry.counters.value("retries_refused", "budget_exhausted") == 1


def test_unknown_generation_recomputes_and_keeps_the_output() -> None:
    """Guards against output sent twice after an engine lost the generation."""
    world = simulation.World(1)
    first = _stream(world, 2)
    lost = events.AttemptFailure.UNKNOWN_GENERATION
    second = _fail(world, first, lost, _NOT_RUN)
    assert (second.offset, second.recompute) == (2, True)
    assert [c.offset for c in world.readings["x"].chunks] == [0, 1]


def test_unknown_generation_without_output_starts_anew() -> None:
    """Guards against `recompute` for a stream without output."""
    world = simulation.World(1)
    lost = events.AttemptFailure.UNKNOWN_GENERATION
    second = _fail(world, _stream(world, 0), lost, _NOT_RUN)
    assert (second.offset, second.recompute) == (0, False)


def test_stream_leaves_an_engine_with_its_cache() -> None:
    """Guards against recomputed tokens while a leaving engine still answers."""
    world = simulation.World(1)
    first = _stream(world, 2)
    world.reclaim_upstream(first.upstream_id, 60_000)
    world.run(2_000)
    leaving = events.AttemptFailure.UPSTREAM_LEAVING
    second = _fail(world, first, leaving)
    assert second.upstream_id != first.upstream_id
    assert [i.request_id for i in world.imports] == [first.request_id]
    assert (second.offset, second.recompute) == (2, False)


def test_retries_off_a_leaving_engine_are_allowed_with_an_empty_budget() -> (
    None
):
    """Guards against accepted requests that fail in an announced reclaim."""
    world = simulation.World(1)
    for number in range(40):
        world.submit("entry-0", f"x{number}", service="model")
    world.run(100)
    world.reclaim_upstream("model-0", 200)
    notice = events.Notice("model-0", 1, 200)
    world.deliver("entry-0", events.NoticesListed(0, (notice,)))
    world.run(20_000)
    for reading in world.readings.values():
        assert [o.failure for o in reading.outcomes] == [None]
        assert len(reading.chunks) == simulation.DRAFT_TOKENS
    # These retries are still charged, which leaves less for others.
    assert world.entries["entry-0"].retries.budget < 0.0


def test_stream_leaves_a_killed_engine_without_a_budget() -> None:
    """Guards against a stream that fails with its killed engine.

    The stream is first resumed at this engine, whose last load report is
    still valid, and the connection is refused.
    """
    world = simulation.World(1)
    first = _stream(world, 2)
    second = _fail(world, first, events.AttemptFailure.CONNECTION_LOST)
    assert second.upstream_id == first.upstream_id
    refused = events.AttemptFailure.CONNECT_FAILED
    world.entries["entry-0"].retries.budget = 0.0
    world.deliver(
        "entry-0",
        events.AttemptFailed(0, second.attempt_id, _NOT_RUN, refused),
    )
    world.run(300)
    third = world.dispatches[-1][2]
    assert third.attempt_id != second.attempt_id
    assert third.upstream_id != first.upstream_id
    assert (third.offset, third.recompute) == (2, True)
