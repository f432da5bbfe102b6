"""Tests of moves of streams from engines that are about to shut down.

A zone's reclaimable engines are reclaimed on a notice that is shorter than the
longest streams on them.
"""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as hypothesis_strategies
import pytest

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams
from laburnumpin.tests import forwarding_builders as build

LEAVING = upstreams.Lifecycle.LEAVING
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
REJECTED = events.Ending.REJECTED
UNREACHABLE = events.Ending.UNREACHABLE
_NOT_RUN_ENDINGS = (
    REJECTED,
    UNREACHABLE,
    events.Ending.WITHDRAWN,
    events.Ending.WRONG_UPSTREAM,
)


def _start_stream(
    *, engines: int = 2, has_started: bool = True, **changes: object
) -> tuple[forwarding_state.ForwardingState, str, str]:
    """Return a state with one stream, its engine and another one."""
    state = build.state(
        *(build.registration(f"u{n + 1}") for n in range(engines))
    )
    prompt = requests.Prompt(1_000, 800, ())
    request = build.request(prompt=prompt, **changes)  # type: ignore[arg-type]
    sent = reducer.reduce(state, events.RequestArrived(0, request))[-1]
    assert isinstance(sent, effects.Send)
    if has_started:
        reducer.reduce(state, events.FirstEvent(100, 100, "r1"))
    other = "u2" if sent.upstream_id == "u1" else "u1"
    return state, sent.upstream_id, other


def _current(state: forwarding_state.ForwardingState) -> str:
    """Return the id of the stream's engine."""
    choice = state.active["r1"].choice
    assert choice is not None
    return choice.upstream.registration.upstream_id


def _announce_leaving(
    state: forwarding_state.ForwardingState,
    upstream_id: str,
    now_ms: int = 2_000,
    **changes: object,
) -> list[effects.Effect]:
    """Announce at 200 ms that an engine leaves; return the tick's effects."""
    registration = build.registration(upstream_id, lifecycle=LEAVING, **changes)
    reducer.reduce(state, events.UpstreamChanged(200, 2, registration))
    return reducer.reduce(state, events.Ticked(now_ms, now_ms))


def _move_effects(produced: list[effects.Effect]) -> list[effects.MoveStream]:
    return [e for e in produced if isinstance(e, effects.MoveStream)]


def test_long_stream_is_moved_to_another_engine() -> None:
    state, source, other = _start_stream()
    moved = _move_effects(_announce_leaving(state, source))
    assert [m.source.upstream_id for m in moved] == [source]
    assert [m.target.upstream_id for m in moved] == [other]
    sent = reducer.reduce(state, events.StreamMoved(300, "r1", "a/1"))[-1]
    assert isinstance(sent, effects.Send)
    assert (sent.upstream_id, sent.kv_source) == (other, "a/1")


def test_stream_is_not_moved_before_the_notice_requires_it() -> None:
    state, source, _ = _start_stream()
    assert not _move_effects(
        _announce_leaving(state, source, 1_000, leaves_in_ms=2_500)
    )
    late = events.Ticked(2_200, 2_200)
    assert len(_move_effects(reducer.reduce(state, late))) == 1
    assert not _move_effects(reducer.reduce(state, events.Ticked(2_300, 2_300)))


def test_stream_that_may_be_resumed_is_not_moved() -> None:
    route = build.route(may_repeat=True, max_attempts=2)
    state, source, _ = _start_stream(route=route)
    assert not _move_effects(_announce_leaving(state, source))


# The rest of a document could not be told from its beginning.
def test_answer_that_is_no_stream_is_not_moved() -> None:
    state, source, _ = _start_stream(route=build.route(is_stream=False))
    assert not _move_effects(_announce_leaving(state, source))


def test_stream_is_not_moved_without_another_engine() -> None:
    state, source, other = _start_stream()
    reducer.reduce(state, events.UpstreamRemoved(150, 2, other, False))
    assert not _move_effects(_announce_leaving(state, source))


def test_stream_that_begins_on_a_leaving_engine_is_moved() -> None:
    state = build.state(build.registration("u1"), build.registration("u2"))
    prompt = requests.Prompt(1_000, 800, ())
    request = build.request(prompt=prompt)
    sent = reducer.reduce(state, events.RequestArrived(0, request))[-1]
    assert isinstance(sent, effects.Send)
    assert not _move_effects(_announce_leaving(state, sent.upstream_id))
    reducer.reduce(state, events.FirstEvent(2_050, 2_050, "r1"))
    assert _move_effects(reducer.reduce(state, events.Ticked(2_100, 2_100)))


def test_stream_returns_once_to_its_engine_if_the_target_rejects_it() -> None:
    state, source, _ = _start_stream()
    _announce_leaving(state, source)
    reducer.reduce(state, events.StreamMoved(300, "r1", "a/1"))
    failed = events.AttemptFailed(
        310, "r1", events.Ending.REJECTED, verdicts.Verdict.NOT_RUN, True
    )
    sent = reducer.reduce(state, failed)[-1]
    assert isinstance(sent, effects.Send)
    assert (sent.upstream_id, sent.kv_source) == (source, "a/1")
    assert isinstance(reducer.reduce(state, failed)[-1], effects.Abort)
    for upstream in state.upstreams.all():
        assert upstream.streams() == 0


# A stream whose copy could be reached nowhere was sent to a third engine from
# the start, since its last two attempts had not run.
@pytest.mark.parametrize("ending", [UNREACHABLE, REJECTED])
@pytest.mark.parametrize("answer_started", [True, False])
def test_moved_stream_without_target_and_source_does_not_run_again(
    ending: events.Ending, answer_started: bool
) -> None:
    route = build.route(max_attempts=3)
    state, source, target = _start_stream(engines=4, route=route)
    (moved,) = _move_effects(_announce_leaving(state, source))
    target = moved.target.upstream_id
    reducer.reduce(state, events.StreamMoved(300, "r1", "a/1"))
    failed = events.AttemptFailed(310, "r1", ending, NOT_RUN, answer_started)
    sent = reducer.reduce(state, failed)[-1]
    assert isinstance(sent, effects.Send)
    assert sent.upstream_id == source != target
    last = reducer.reduce(state, failed)[-1]
    if answer_started:
        assert isinstance(last, effects.Abort)
        return
    assert isinstance(last, effects.Reject)
    assert not last.not_run


# What one attempt proves, of all orders of moves and failures, is never taken
# for all that was sent before.
@hypothesis.given(
    hypothesis_strategies.lists(
        hypothesis_strategies.sampled_from(["first", "move", *events.Ending]),
        max_size=8,
    ),
    hypothesis_strategies.integers(1, 4),
)
def test_request_runs_at_most_once_in_any_order_of_moves_and_failures(
    steps: list[str | events.Ending], max_attempts: int
) -> None:
    route = build.route(max_attempts=max_attempts)
    state, _, _ = _start_stream(engines=5, has_started=False, route=route)
    source = _current(state)
    may_have_run = False
    for number, step in enumerate(steps):
        now_ms = 10 * (number + 1)
        if step == "first":
            reducer.reduce(state, events.FirstEvent(now_ms, now_ms, "r1"))
            may_have_run = True
            continue
        if step == "move":
            _announce_leaving(state, source, 2_000 + number)
            event: events.Event = events.StreamMoved(now_ms, "r1", "a/1")
        else:
            assert isinstance(step, events.Ending)
            verdict = NOT_RUN if step in _NOT_RUN_ENDINGS else MAY_HAVE_RUN
            may_have_run |= verdict is MAY_HAVE_RUN
            event = events.AttemptFailed(now_ms, "r1", step, verdict, False)
        for effect in reducer.reduce(state, event):
            if isinstance(effect, effects.Reject):
                assert not (effect.not_run and may_have_run)
            if isinstance(effect, effects.Send):
                assert effect.kv_source or not may_have_run
                source = effect.upstream_id
        if "r1" not in state.active:
            return


def test_stream_is_not_moved_to_an_engine_of_the_same_reclaim() -> None:
    # The notices of a zone's engines arrive one by one. On quiet-1 of Rigsafe
    # most streams were moved to an engine that was reclaimed next.
    engines = [
        build.registration("u1", reclaimable=True),
        build.registration("u2", reclaimable=True),
        build.registration("u3", reclaimable=True, zone="b"),
    ]
    state = build.state(*engines)
    for number in range(12):
        prompt = requests.Prompt(1_000, 800, ())
        request = build.request(f"r{number}", prompt=prompt)
        reducer.reduce(state, events.RequestArrived(0, request))
        reducer.reduce(state, events.FirstEvent(100, 100, f"r{number}"))
    moved = _move_effects(_announce_leaving(state, "u1", reclaimable=True))
    assert moved
    assert {m.target.upstream_id for m in moved} == {"u3"}
