"""Upstreams that say in their answers that they leave."""

from __future__ import annotations

import dataclasses

import pytest

from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import gossip
from laburnumpin.forwarding import leaving
from laburnumpin.forwarding import peer_link
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams
from laburnumpin.tests import engine_fleet
from laburnumpin.tests import forwarding_builders as build


def _state(*ids: str) -> forwarding_state.ForwardingState:
    return build.state(*(build.registration(i) for i in ids or ("u1", "u2")))


def _say(
    state: forwarding_state.ForwardingState,
    upstream_id: str = "u1",
    now_ms: int = 1_000,
    **changes: object,
) -> list[effects.Effect]:
    registration = build.registration(upstream_id, **changes)
    return reducer.reduce(
        state, build.stated(now_ms, registration, is_leaving=True)
    )


def _usable(
    state: forwarding_state.ForwardingState, now_ms: int = 1_000
) -> list[str]:
    return [
        upstream.registration.upstream_id
        for upstream in state.upstreams.usable(build.ENGINES, now_ms)
    ]


# DRAIN on Luvas: a request reached an upstream after an answer had told the
# entry that it leaves; the store still said that it was ready.
def test_upstream_that_says_it_leaves_gets_no_request() -> None:
    state = _state()
    _say(state)
    assert _usable(state) == ["u2"]
    assert state.counters.total("upstreams_said_leaving") == 1


@pytest.mark.parametrize("event", build.events_of_ready_upstream(2_000))
def test_nothing_brings_an_upstream_back_that_said_it_leaves(
    event: events.Event,
) -> None:
    state = _state()
    _say(state)
    reducer.reduce(state, event)
    assert _usable(state) == ["u2"]


def test_registration_that_returns_after_its_removal_is_still_leaving() -> None:
    state = _state()
    _say(state)
    reducer.reduce(state, events.UpstreamRemoved(2_000, 9, "u1", False))
    reducer.reduce(
        state, events.UpstreamChanged(3_000, 10, build.registration("u1"))
    )
    assert _usable(state) == ["u2"]


def test_next_incarnation_at_the_same_address_gets_requests() -> None:
    state = _state()
    _say(state)
    restarted = build.registration("u1", incarnation_ms=7)
    reducer.reduce(state, events.UpstreamChanged(2_000, 9, restarted))
    assert sorted(_usable(state)) == ["u1", "u2"]
    other = build.registration("u3", address="10.0.0.1:80")
    reducer.reduce(state, events.UpstreamChanged(2_000, 10, other))
    assert sorted(_usable(state)) == ["u1", "u2", "u3"]


def test_late_answer_of_an_earlier_incarnation_binds_only_that_one() -> None:
    state = _state()
    restarted = build.registration("u1", incarnation_ms=7)
    reducer.reduce(state, events.UpstreamChanged(2_000, 9, restarted))
    _say(state, now_ms=2_100)
    assert sorted(_usable(state)) == ["u1", "u2"]


def test_streams_of_an_upstream_that_says_it_leaves_are_moved() -> None:
    state = _state()
    request = build.request(prompt=build.prompt())
    (send,) = reducer.reduce(state, events.RequestArrived(0, request))
    assert isinstance(send, effects.Send)
    reducer.reduce(state, events.FirstEvent(50, 50, "r1"))
    _say(state, send.upstream_id, 1_000)
    produced = reducer.reduce(state, events.Ticked(2_900, 2_900))
    moves = [e for e in produced if isinstance(e, effects.MoveStream)]
    assert [move.source.upstream_id for move in moves] == [send.upstream_id]


def test_request_that_is_about_to_be_sent_is_decided_anew() -> None:
    state = _state()
    (send,) = reducer.reduce(
        state, events.RequestArrived(0, build.request(prompt=build.prompt()))
    )
    assert isinstance(send, effects.Send)
    assert leaving.may_send(state, send)
    _say(state, send.upstream_id, 10)
    assert not leaving.may_send(state, send)
    (again,) = reducer.reduce(state, build.withdrawn(20))
    assert isinstance(again, effects.Send)
    assert again.upstream_id != send.upstream_id
    # Nothing was sent, so this is the first attempt and costs no retry.
    assert again.attempt == 1
    upstream = state.upstreams.get(send.upstream_id)
    assert upstream is not None
    assert upstream.own_streams == 0
    assert upstream.failure_rate == 0.0


def test_continuation_of_a_moved_stream_may_return_to_its_engine() -> None:
    state = _state()
    (send,) = reducer.reduce(
        state, events.RequestArrived(0, build.request(prompt=build.prompt()))
    )
    assert isinstance(send, effects.Send)
    _say(state, send.upstream_id, 10)
    resumed = dataclasses.replace(send, kv_source="10.0.0.1:80/h")
    assert leaving.may_send(state, resumed)


def test_request_whose_only_upstream_leaves_is_rejected_at_once() -> None:
    state = _state("u1")
    _say(state)
    (reject,) = reducer.reduce(
        state,
        events.RequestArrived(1_100, build.request(prompt=build.prompt())),
    )
    assert isinstance(reject, effects.Reject)
    assert reject.reason is effects.Reason.NO_UPSTREAM
    assert reject.not_run


def _exchange(
    sender: forwarding_state.ForwardingState,
    receiver: forwarding_state.ForwardingState,
    now_ms: int,
) -> list[effects.Effect]:
    digest = gossip._build_digest(sender, now_ms, now_ms, ())
    decoded = peer_link.decode(peer_link.encode(digest))
    return reducer.reduce(receiver, events.DigestReceived(now_ms, decoded))


def test_peers_learn_early_from_one_answer() -> None:
    sender, receiver = _state(), _state()
    receiver.name = "entry-2"
    _say(sender)
    assert sender.early_digests
    produced = _exchange(sender, receiver, 1_100)
    assert _usable(receiver) == ["u2"]
    assert any(
        isinstance(e, effects.Report)
        and e.message_type == "upstream_said_leaving"
        and e.fields["learned_from"] == "digest"
        for e in produced
    )
    # A repeated one changes nothing.
    assert not any(
        isinstance(e, effects.Report)
        and e.message_type == "upstream_said_leaving"
        for e in _exchange(sender, receiver, 1_200)
    )


def test_entry_that_starts_later_learns_of_all_of_them() -> None:
    ids = [f"u{number}" for number in range(60)]
    sender = _state(*ids)
    for upstream_id in ids[1:]:
        _say(sender, upstream_id)
    late = _state(*ids)
    late.name = "entry-2"
    for number in range(60):
        sender.digests_sent += 1
        _exchange(sender, late, 60_000 + number)
    assert _usable(late) == ["u0"]


def test_registration_that_arrives_after_the_digest_is_leaving() -> None:
    sender, receiver = _state(), _state("u2")
    receiver.name = "entry-2"
    _say(sender)
    _exchange(sender, receiver, 1_100)
    reducer.reduce(
        receiver, events.UpstreamChanged(1_200, 9, build.registration("u1"))
    )
    assert _usable(receiver) == ["u2"]


def test_marks_are_bounded_and_keep_registered_upstreams() -> None:
    state = _state()
    _say(state)
    for number in range(2 * upstreams.MAX_LEAVING):
        _say(state, f"gone-{number}")
    assert state.upstreams.leaving_count() <= upstreams.MAX_LEAVING
    assert _usable(state) == ["u2"]


# The platform's bound: no request that is sent later than this after an answer
# that said so.
DRAIN_MS = 2_000
END_MS = 16_000


def _late_sends(fleet: engine_fleet.EngineFleet) -> int:
    """Return the arrivals at engines that had told the sender so before."""
    late = 0
    for engine in fleet.engines.values():
        for at_ms, name in engine.arrivals:
            told_ms = engine.told_leaving_ms.get(name)
            late += told_ms is not None and at_ms > told_ms + DRAIN_MS
    return late


def _leaving_fleet(
    seed: int, entries: int, engines: int
) -> engine_fleet.EngineFleet:
    fleet = engine_fleet.EngineFleet(seed, entries, engines)
    fleet.start_ticks(END_MS)
    fleet.start_load(500, END_MS, 60.0)
    # The platform says nothing: it is away.
    fleet.at(3_000, lambda: fleet.announce_leaving(engines // 2))
    return fleet


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("entries", "engines"), [(7, 6), (40, 30)])
def test_fleet_without_the_platform_leaves_engines_alone(
    seed: int, entries: int, engines: int
) -> None:
    fleet = _leaving_fleet(seed, entries, engines)
    fleet.run_until(END_MS)
    assert any(engine.told_leaving_ms for engine in fleet.engines.values())
    assert _late_sends(fleet) == 0
    # One answer serves all entries.
    for engine in fleet.engines.values():
        if not engine.told_leaving_ms:
            continue
        first_told_ms = min(engine.told_leaving_ms.values())
        last_ms = max(at_ms for at_ms, _ in engine.arrivals)
        assert last_ms <= first_told_ms + DRAIN_MS


@pytest.mark.parametrize("seed", range(3))
def test_entry_without_digests_is_bound_by_what_it_heard(seed: int) -> None:
    fleet = _leaving_fleet(seed, 7, 6)
    fleet.loses_digest = lambda _sender, _receiver: True
    fleet.run_until(END_MS)
    assert _late_sends(fleet) == 0


@pytest.mark.parametrize("seed", range(3))
def test_entries_of_the_release_before_work_beside_new_ones(seed: int) -> None:
    fleet = _leaving_fleet(seed, 7, 6)
    old = set(fleet.names[:3])
    fleet.remove_from_digests("g", old)
    fleet.run_until(END_MS)
    new_late = sum(
        at_ms > engine.told_leaving_ms.get(name, END_MS) + DRAIN_MS
        for engine in fleet.engines.values()
        for at_ms, name in engine.arrivals
        if name not in old
    )
    assert new_late == 0
