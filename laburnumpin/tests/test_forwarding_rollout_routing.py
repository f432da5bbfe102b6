"""Requests of one entry during a roll-out, with one failure each."""

from __future__ import annotations

import random
import unittest.mock

import pytest

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import gossip
from laburnumpin.forwarding import lifecycle
from laburnumpin.forwarding import moves
from laburnumpin.forwarding import peer_link
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.rollouts import exposure
from laburnumpin.forwarding.rollouts import model
from laburnumpin.forwarding.rollouts import routing
from laburnumpin.tests import forwarding_builders as build

DESK = build.PLAIN_SERVICE
SETTINGS = model.RolloutSettings(0.1, 50, 5_000)
ORDER = model.Order(DESK, "v2", 12_000, 1, 5)
Stage = model.Stage
Ending = events.Ending


def _upstream(
    name: str, version: str, **changes: object
) -> upstreams.Registration:
    fields: dict[str, object] = {"service": DESK, **changes}
    return build.registration(name, version=version, **fields)


OLD = [_upstream(f"old-{number}", "v1") for number in range(3)]
NEW = [_upstream(f"new-{number}", "v2") for number in range(3)]


def _state(
    registrations: list[upstreams.Registration],
    order: model.Order | None = ORDER,
    settings: model.RolloutSettings | None = SETTINGS,
    name: str = "e1",
) -> forwarding_state.ForwardingState:
    state = forwarding_state.ForwardingState(
        build.contact(name),
        1,
        build.RETRY_LIMIT,
        5_000,
        random.Random(1),
        rollout_settings=settings,
    )
    reducer.reduce(state, events.DeploymentRead(0, build.configuration()))
    _list(state, [r for r in registrations if r.version == "v1"])
    if order is not None:
        reducer.reduce(state, events.RolloutsOrdered(0, (order,), ()))
    _list(state, registrations)
    return state


def _list(
    state: forwarding_state.ForwardingState,
    registrations: list[upstreams.Registration],
) -> None:
    reducer.reduce(
        state, events.UpstreamsListed(0, 1, tuple(registrations), False)
    )


def _decision(
    stage: Stage, sequence: int = 1, order: model.Order = ORDER
) -> model.Decision:
    return model.Decision(order, stage, 1, sequence, 1, "test")


def _decide(
    state: forwarding_state.ForwardingState, stage: Stage, sequence: int = 1
) -> None:
    decision = _decision(stage, sequence)
    reducer.reduce(state, events.RolloutsDecided(0, (decision,), "store"))


def _request(
    name: str, route: deployment.Route | None = None
) -> requests.Request:
    return build.request(
        name, route=route or build.calls(max_attempts=1), service=DESK
    )


def _send(
    state: forwarding_state.ForwardingState,
    name: str,
    now_ms: int = 0,
    route: deployment.Route | None = None,
) -> effects.Send:
    (effect,) = reducer.reduce(
        state, events.RequestArrived(now_ms, _request(name, route))
    )
    assert isinstance(effect, effects.Send)
    return effect


def _send_many(
    state: forwarding_state.ForwardingState, count: int
) -> dict[str, int]:
    """Send requests one after the other; return how many went where."""
    sent: dict[str, int] = {}
    for number in range(count):
        effect = _send(state, f"r{number}", number)
        reducer.reduce(state, events.RequestEnded(number, f"r{number}", True))
        version = effect.registration.version
        sent[version] = sent.get(version, 0) + 1
    return sent


def test_canary_share_is_kept() -> None:
    state = _state(OLD + NEW)
    assert _send_many(state, 50) == {"v1": 50}
    _decide(state, Stage.CANARY)
    sent = _send_many(state, 1_000)
    assert 40 <= sent["v2"] <= 100


@pytest.mark.parametrize(
    ("stage", "version"),
    [
        (Stage.WAITING, "v1"),
        (Stage.SHIFTING, "v2"),
        (Stage.COMPLETED, "v2"),
        (Stage.ROLLED_BACK, "v1"),
    ],
)
def test_stage_decides_on_the_version(stage: Stage, version: str) -> None:
    state = _state(OLD + NEW)
    _decide(state, stage)
    assert _send_many(state, 50) == {version: 50}


# The last upstream of the target version is reclaimed while all go there.
def test_previous_version_serves_when_the_target_is_gone() -> None:
    state = _state(OLD + NEW)
    _decide(state, Stage.SHIFTING)
    leaving = [
        _upstream(
            registration.upstream_id,
            "v2",
            lifecycle=upstreams.Lifecycle.LEAVING,
            revision=1,
        )
        for registration in NEW
    ]
    for number, registration in enumerate(leaving):
        reducer.reduce(
            state, events.UpstreamChanged(0, 2 + number, registration)
        )
    assert _send_many(state, 50) == {"v1": 50}


# All target upstreams are full or paused during the canary stage.
def test_canary_requests_go_to_the_previous_version_instead() -> None:
    state = _state(OLD + NEW)
    _decide(state, Stage.CANARY)
    for registration in NEW:
        upstream = state.upstreams.get(registration.upstream_id)
        assert upstream is not None
        upstream.record_full(1_000)
    assert _send_many(state, 200) == {"v1": 200}


# A new version comes up before its order is read.
def test_unknown_version_gets_nothing_at_first() -> None:
    state = _state(OLD, order=None)
    for number, registration in enumerate(NEW):
        reducer.reduce(
            state, events.UpstreamChanged(0, 2 + number, registration)
        )
    assert _send_many(state, 50) == {"v1": 50}


# All upstreams are replaced by ones of a new version, without an order.
def test_unknown_version_serves_as_soon_as_the_others_have_left() -> None:
    state = _state(OLD, order=None)
    leaving = [
        _upstream(
            registration.upstream_id,
            "v1",
            lifecycle=upstreams.Lifecycle.LEAVING,
            revision=1,
        )
        for registration in OLD
    ]
    for number, registration in enumerate([*NEW, *leaving]):
        reducer.reduce(
            state, events.UpstreamChanged(0, 2 + number, registration)
        )
    assert _send_many(state, 50) == {"v2": 50}


# The canary that was chosen doesn't accept a connection.
def test_request_that_no_canary_accepted_goes_to_the_previous_version() -> None:
    state = _state(OLD + NEW)
    _decide(state, Stage.CANARY)
    with unittest.mock.patch.object(
        exposure.ExposureBudget, "try_offer", return_value=True
    ):
        first = _send(state, "r1", 0, build.calls(max_attempts=3))
        not_run = verdicts.Verdict.NOT_RUN
        failed = events.AttemptFailed(
            1, "r1", Ending.UNREACHABLE, not_run, False
        )
        (again,) = reducer.reduce(state, failed)
    assert first.registration.version == "v2"
    assert isinstance(again, effects.Send)
    assert again.registration.version == "v1"


# The time of a resend is predicted again and again for one slow request.
def test_predictions_take_nothing_of_the_share() -> None:
    state = _state(OLD + NEW)
    _decide(state, Stage.CANARY)
    _send_many(state, 200)
    route = build.calls(max_attempts=3)
    name = "slow"
    while _send(state, name, 0, route).registration.version == "v2":
        name += "1"
    with unittest.mock.patch.object(
        exposure.ExposureBudget, "try_offer", side_effect=AssertionError
    ):
        assert lifecycle.resend_delay_ms(state, name, 1) is not None


def test_deployment_without_roll_outs_is_unchanged() -> None:
    state = _state(OLD + NEW, settings=None)
    sent = _send_many(state, 200)
    assert min(sent["v1"], sent["v2"]) > 20
    assert not state.rollout_book.by_service


# The version is found bad between the choice and the send.
def test_request_that_was_not_sent_yet_goes_to_the_previous_version() -> None:
    state = _state(OLD + NEW)
    _decide(state, Stage.SHIFTING)
    effect = _send(state, "r1")
    assert effect.registration.version == "v2"
    assert lifecycle.may_send(state, effect, 1)
    _decide(state, Stage.ROLLED_BACK, 2)
    assert not lifecycle.may_send(state, effect, 1)
    (again,) = reducer.reduce(state, build.withdrawn(1))
    assert isinstance(again, effects.Send)
    assert again.registration.version == "v1"


# An entry has no access to the store, and half of the others have.
def test_unaware_entry_follows_the_digests_of_its_peers() -> None:
    aware = _state(OLD + NEW, name="e2")
    _decide(aware, Stage.SHIFTING)
    unaware = _state(OLD + NEW, order=None)
    reducer.reduce(aware, events.Ticked(10, 10))
    unaware.members.add_contact("10.0.0.8:7500", 0)
    aware.members.add_contact("10.0.0.9:7500", 0)
    sent = None
    for now_ms in range(20, 2_000, 100):
        for effect in gossip.on_tick(aware, events.Ticked(now_ms, now_ms)):
            if isinstance(effect, effects.SendDigest):
                sent = peer_link.decode(peer_link.encode(effect.digest))
                reducer.reduce(unaware, events.DigestReceived(now_ms, sent))
    assert sent is not None
    assert _send_many(unaware, 50) == {"v2": 50}


def test_digest_without_a_roll_out_is_that_of_the_build_before() -> None:
    state = _state(OLD + NEW, order=None)
    state.members.add_contact("10.0.0.9:7500", 0)
    (effect,) = gossip.on_tick(state, events.Ticked(10, 10))
    assert isinstance(effect, effects.SendDigest)
    digest = peer_link.decode(peer_link.encode(effect.digest))
    assert digest.rollout_evidence == ()
    assert digest.rollout_decisions == ()


def _fail(
    state: forwarding_state.ForwardingState, name: str, ending: Ending
) -> list[effects.Effect]:
    return reducer.reduce(
        state,
        events.AttemptFailed(
            1, name, ending, verdicts.Verdict.MAY_HAVE_RUN, False
        ),
    )


def _answers(state: forwarding_state.ForwardingState) -> tuple[int, int]:
    status = state.rollouts.status(DESK, 1)
    assert status is not None
    return status.target_answers, status.target_errors


# An upstream ends under its requests, which is not its version's fault.
@pytest.mark.parametrize(
    ("is_open", "is_refused", "expected"),
    [(True, False, (1, 1)), (False, True, (0, 0)), (False, False, (0, 0))],
)
def test_broken_answer_counts_if_its_upstream_goes_on(
    is_open: bool, is_refused: bool, expected: tuple[int, int]
) -> None:
    state = _state(OLD + NEW)
    _decide(state, Stage.SHIFTING)
    effect = _send(state, "r1")
    produced = _fail(state, "r1", Ending.BROKEN)
    checks = [e for e in produced if isinstance(e, effects.CheckUpstream)]
    assert checks
    reducer.reduce(
        state,
        events.UpstreamChecked(2, effect.registration, is_open, is_refused),
    )
    assert _answers(state) == expected


@pytest.mark.parametrize(
    ("ending", "expected"),
    [
        (Ending.ERROR_STATUS, (1, 1)),
        (Ending.MALFORMED, (1, 1)),
        (Ending.SILENT, (1, 0)),
        (Ending.NO_ROOM, (0, 0)),
        (Ending.WITHDRAWN, (0, 0)),
        (Ending.UNREACHABLE, (0, 0)),
        (Ending.REJECTED, (0, 0)),
    ],
)
def test_ending_of_an_attempt_is_evidence(
    ending: Ending, expected: tuple[int, int]
) -> None:
    state = _state(OLD + NEW)
    _decide(state, Stage.SHIFTING)
    _send(state, "r1")
    _fail(state, "r1", ending)
    assert _answers(state) == expected


# The deadline passed before the request was sent.
def test_what_was_not_run_says_nothing_of_a_version() -> None:
    state = _state(OLD + NEW)
    _decide(state, Stage.SHIFTING)
    _send(state, "r1")
    reducer.reduce(
        state,
        events.AttemptFailed(
            9_000, "r1", Ending.DEADLINE, verdicts.Verdict.NOT_RUN, False
        ),
    )
    assert _answers(state) == (0, 0)


# A caller leaves before a slow answer, which would not be counted then.
def test_late_answer_counts_as_slow_once() -> None:
    state = _state(OLD + NEW)
    _decide(state, Stage.SHIFTING)
    _send(state, "r1")
    reducer.reduce(state, events.FirstEvent(900, 900, "r1"))
    reducer.reduce(state, events.RequestEnded(950, "r1", True))
    _send(state, "r2", 1_000)
    reducer.reduce(state, events.RequestEnded(2_000, "r2", False))
    status = state.rollouts.status(DESK, 2_000)
    assert status is not None
    assert (status.target_answers, status.target_slow) == (2, 2)


# The address of an upstream is used again by another service.
def test_misdirected_request_goes_to_another_upstream() -> None:
    state = _state(OLD, order=None)
    first = _send(state, "r1")
    (again,) = reducer.reduce(
        state,
        events.AttemptFailed(
            1, "r1", Ending.WRONG_UPSTREAM, verdicts.Verdict.NOT_RUN, False
        ),
    )
    assert isinstance(again, effects.Send)
    assert again.upstream_id != first.upstream_id


# Upstreams of the previous version stop at once when the roll-out completes.
def test_streams_are_moved_before_the_previous_version_stops() -> None:
    order = model.Order(build.ENGINES, "v2", 12_000, 1, 5)
    old = build.registration("old-0", version="v1")
    new = build.registration("new-0", version="v2")
    state = _state([old, new], order=order)
    request = build.request("s1", prompt=build.prompt())
    reducer.reduce(state, events.RequestArrived(0, request))
    reducer.reduce(state, events.FirstEvent(10, 10, "s1"))
    reducer.reduce(
        state,
        events.RolloutsDecided(
            20, (_decision(Stage.SHIFTING, order=order),), "store"
        ),
    )
    assert moves.on_tick(state, events.Ticked(30, 30)) == []
    due_ms = 20 + routing.MOVE_AFTER_MS
    (move,) = moves.on_tick(state, events.Ticked(due_ms, due_ms))
    assert isinstance(move, effects.MoveStream)
    assert move.target.upstream_id == "new-0"
    assert moves.on_tick(state, events.Ticked(due_ms + 1, due_ms + 1)) == []
    assert routing.requests_at_previous(state, order) == 1


# Connections to upstreams that are new take longer, and they are slower.
@pytest.mark.parametrize(
    ("connected_ms", "cold_ms", "expected"),
    [(0, 0, 1), (850, 0, 0), (0, 2_000, 0)],
)
def test_start_of_an_upstream_is_not_its_version(
    connected_ms: int, cold_ms: int, expected: int
) -> None:
    new = [_upstream("new-0", "v2", cold_ms=cold_ms)]
    state = _state(OLD + new)
    _decide(state, Stage.SHIFTING)
    _send(state, "r1")
    routing.on_connected(state, "r1", connected_ms)
    reducer.reduce(state, events.FirstEvent(900, 900, "r1"))
    reducer.reduce(state, events.RequestEnded(900, "r1", True))
    status = state.rollouts.status(DESK, 900)
    assert status is not None
    assert (status.target_answers, status.target_slow) == (1, expected)
