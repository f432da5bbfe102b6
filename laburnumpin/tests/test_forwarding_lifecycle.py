"""Tests of the life cycle of a forwarded request."""

from __future__ import annotations

import random

import pytest

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import lifecycle
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams
from laburnumpin.tests import forwarding_builders as build

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN


def _plain_upstreams(count: int) -> list[upstreams.Registration]:
    return [
        build.registration(f"d{i}", service=build.PLAIN_SERVICE, slots=6)
        for i in range(count)
    ]


def _arrive(
    state: forwarding_state.ForwardingState, **changes: object
) -> effects.Effect:
    request = build.request(**changes)  # type: ignore[arg-type]
    return reducer.reduce(state, events.RequestArrived(0, request))[-1]


def _fail(
    state: forwarding_state.ForwardingState,
    ending: events.Ending,
    verdict: verdicts.Verdict,
    *,
    now_ms: int = 10,
    answer_started: bool = False,
) -> effects.Effect:
    event = events.AttemptFailed(now_ms, "r1", ending, verdict, answer_started)
    return reducer.reduce(state, event)[-1]


def test_idempotent_call_that_fails_twice_is_answered() -> None:
    # On quiet-1 the second failure of an upstream closed the caller's
    # connection without an answer.
    state = build.state(*_plain_upstreams(3))
    call = {"route": build.calls(), "service": build.PLAIN_SERVICE}
    assert isinstance(_arrive(state, **call), effects.Send)
    reducer.reduce(state, events.FirstEvent(5, 5, "r1"))
    second = _fail(state, events.Ending.ERROR_STATUS, RAN)
    assert isinstance(second, effects.Send)
    reducer.reduce(state, events.FirstEvent(15, 15, "r1"))
    last = _fail(state, events.Ending.ERROR_STATUS, RAN)
    assert isinstance(last, effects.Reject)
    assert not last.not_run


def test_retry_goes_to_another_upstream() -> None:
    state = build.state(*_plain_upstreams(2))
    first = _arrive(state, route=build.calls(), service=build.PLAIN_SERVICE)
    assert isinstance(first, effects.Send)
    second = _fail(state, events.Ending.BROKEN, MAY_HAVE_RUN)
    assert isinstance(second, effects.Send)
    assert second.upstream_id != first.upstream_id


@pytest.mark.parametrize("verdict", [MAY_HAVE_RUN, RAN])
def test_non_idempotent_request_that_may_have_run_is_not_retried(
    verdict: verdicts.Verdict,
) -> None:
    state = build.state(*_plain_upstreams(3))
    route = build.calls(may_repeat=False, max_attempts=3)
    _arrive(state, route=route, service=build.PLAIN_SERVICE)
    last = _fail(state, events.Ending.BROKEN, verdict)
    assert isinstance(last, effects.Reject)
    assert not last.not_run


def test_rejected_request_is_retried_and_then_reported_as_not_run() -> None:
    state = build.state(*_plain_upstreams(3))
    route = build.calls(may_repeat=False, max_attempts=2)
    _arrive(state, route=route, service=build.PLAIN_SERVICE)
    for _ in range(2):
        assert isinstance(
            _fail(state, events.Ending.REJECTED, NOT_RUN), effects.Send
        )
    last = _fail(state, events.Ending.REJECTED, NOT_RUN)
    assert isinstance(last, effects.Reject)
    assert last.not_run
    assert last.retry_after_ms is not None


def test_not_run_is_not_promised_when_an_earlier_attempt_may_have_run() -> None:
    state = build.state(*_plain_upstreams(3))
    _arrive(state, route=build.calls(), service=build.PLAIN_SERVICE)
    _fail(state, events.Ending.BROKEN, MAY_HAVE_RUN)
    _fail(state, events.Ending.REJECTED, NOT_RUN)
    last = _fail(state, events.Ending.REJECTED, NOT_RUN)
    assert isinstance(last, effects.Reject)
    assert not last.not_run


def test_unreachable_upstream_does_not_use_up_an_attempt() -> None:
    state = build.state(*_plain_upstreams(3))
    route = build.calls(may_repeat=False, max_attempts=1)
    _arrive(state, route=route, service=build.PLAIN_SERVICE)
    again = _fail(state, events.Ending.UNREACHABLE, NOT_RUN)
    assert isinstance(again, effects.Send)


def test_answer_that_began_is_aborted_and_not_retried() -> None:
    state = build.state(build.registration())
    _arrive(state, prompt=build.prompt())
    last = _fail(state, events.Ending.BROKEN, MAY_HAVE_RUN, answer_started=True)
    assert isinstance(last, effects.Abort)


def test_request_without_upstream_is_rejected_at_once() -> None:
    state = build.state()
    rejected = _arrive(state)
    assert isinstance(rejected, effects.Reject)
    assert rejected.reason is effects.Reason.NO_UPSTREAM
    assert rejected.not_run


def test_leaving_upstream_gets_no_new_work() -> None:
    state = build.state(build.registration("old"), build.registration("new"))
    leaving = build.registration("old", lifecycle=upstreams.Lifecycle.LEAVING)
    reducer.reduce(state, events.UpstreamChanged(1, 2, leaving))
    for number in range(20):
        request = build.request(f"r{number}")
        sent = reducer.reduce(state, events.RequestArrived(2, request))[-1]
        assert isinstance(sent, effects.Send)
        assert sent.upstream_id == "new"


def test_request_after_the_start_of_the_exit_is_rejected() -> None:
    state = build.state(build.registration())
    state.leaving_since_ms = 0
    late_ms = lifecycle.ACCEPT_WHILE_LEAVING_MS + 1
    request = build.request()
    rejected = reducer.reduce(state, events.RequestArrived(late_ms, request))[
        -1
    ]
    assert isinstance(rejected, effects.Reject)
    assert rejected.reason is effects.Reason.LEAVING


def test_units_of_a_request_that_was_not_run_return_to_the_quota() -> None:
    customer = build.customer(rate_per_s=1.0, burst=1_000.0)
    current = build.configuration(customers=(customer,))
    state = build.state(current=current)
    for _ in range(20):
        rejected = _arrive(state, customer=customer, units=400.0)
        assert isinstance(rejected, effects.Reject)
        assert rejected.reason is effects.Reason.NO_UPSTREAM


def test_load_of_ended_requests_is_released() -> None:
    state = build.state(build.registration())
    _arrive(state, prompt=build.prompt())
    upstream = state.upstreams.get("u1")
    assert upstream is not None
    assert upstream.pending_tokens() > 0
    reducer.reduce(state, events.FirstEvent(5, 5, "r1"))
    assert upstream.pending_tokens() == 0
    assert upstream.streams() == 1
    reducer.reduce(state, events.RequestEnded(9, "r1", True))
    assert upstream.streams() == 0
    assert not state.active


def test_request_before_the_first_list_of_upstreams_is_not_ready() -> None:
    state = forwarding_state.ForwardingState(
        build.contact("entry-1"), 1, build.RETRY_LIMIT, 5_000, random.Random(1)
    )
    reducer.reduce(state, events.DeploymentRead(0, build.configuration()))
    rejected = _arrive(state)
    assert isinstance(rejected, effects.Reject)
    assert rejected.reason is effects.Reason.NOT_READY
    assert rejected.not_run


def test_request_that_no_upstream_can_answer_in_time_is_rejected() -> None:
    # Load peak: each engine has a queue of several seconds of prompts.
    state = build.state(build.registration("u1"), build.registration("u2"))
    for upstream in state.upstreams.all():
        upstream.own_pending_tokens = 300_000  # 4.4 s to read
    repeatable = build.route(may_repeat=True)
    rejected = _arrive(
        state, route=repeatable, prompt=build.prompt(1_000), deadline_ms=3_000
    )
    assert isinstance(rejected, effects.Reject)
    assert rejected.reason is effects.Reason.TOO_LATE
    assert rejected.not_run
    assert rejected.retry_after_ms is not None
    assert 1_000 <= rejected.retry_after_ms <= 2_000
    later = _arrive(
        state, request_id="r2", route=repeatable, prompt=build.prompt(1_000)
    )
    assert isinstance(later, effects.Send)


def test_rejections_do_not_use_up_the_attempts_of_a_route() -> None:
    # The engines of one class are full and the entry's view is outdated. On
    # scale-1 of grown Luvas, 7,580 of 33,929 sends were rejected, and a route
    # with one attempt failed at the first rejection.
    state = build.state(*[build.registration(f"u{i}") for i in range(4)])
    first = _arrive(state, prompt=build.prompt(1_000))
    assert isinstance(first, effects.Send)
    second = _fail(state, events.Ending.REJECTED, NOT_RUN)
    assert isinstance(second, effects.Send)
    third = _fail(state, events.Ending.REJECTED, NOT_RUN)
    assert isinstance(third, effects.Send)
    sent = {first.upstream_id, second.upstream_id, third.upstream_id}
    assert len(sent) == 3
    last = _fail(state, events.Ending.BROKEN, MAY_HAVE_RUN)
    assert isinstance(last, effects.Reject)
    assert not last.not_run
    # Later requests avoid the full engines for a while.
    other = _arrive(state, request_id="r2", prompt=build.prompt(1_000))
    assert isinstance(other, effects.Send)
    assert other.upstream_id not in {first.upstream_id, second.upstream_id}
