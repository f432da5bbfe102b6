"""Tests of moves of streams from engines that are about to shut down.

A zone's reclaimable engines are reclaimed on a notice that is shorter than the
longest streams on them.
"""

from __future__ import annotations

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams
from laburnumpin.tests import forwarding_builders as build

LEAVING = upstreams.Lifecycle.LEAVING


def _start_stream(
    **changes: object,
) -> tuple[forwarding_state.ForwardingState, str, str]:
    """Return a state with one stream, its engine and the other one."""
    state = build.state(build.registration("u1"), build.registration("u2"))
    prompt = requests.Prompt(1_000, 800, ())
    request = build.request(prompt=prompt, **changes)  # type: ignore[arg-type]
    sent = reducer.reduce(state, events.RequestArrived(0, request))[-1]
    assert isinstance(sent, effects.Send)
    reducer.reduce(state, events.FirstEvent(100, 100, "r1"))
    other = "u2" if sent.upstream_id == "u1" else "u1"
    return state, sent.upstream_id, other


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
