"""Requests that meet the planned exit of an entry."""

from __future__ import annotations

import anyio
import pytest

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import lifecycle
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.tests import forwarding_builders as build
from laburnumpin.tests import test_platform_relay as relay

# From the exit signal to the end of the process, ms.
EXIT_MS = 7_000
LATE_MS = lifecycle.ACCEPT_WHILE_LEAVING_MS


def _leaving_state() -> forwarding_state.ForwardingState:
    state = build.state(
        build.registration("u1"),
        build.registration("u2"),
        build.registration("p1", service=build.PLAIN_SERVICE),
        build.registration("p2", service=build.PLAIN_SERVICE),
    )
    state.leaving_since_ms = 0
    state.exit_by_ms = EXIT_MS
    return state


def _plain(
    request_id: str, now_ms: int, timeout_ms: int, *, may_repeat: bool
) -> requests.Request:
    request = build.request(
        request_id,
        route=build.calls(may_repeat=may_repeat),
        service=build.PLAIN_SERVICE,
        arrived_ms=now_ms,
        deadline_ms=now_ms + timeout_ms,
    )
    assert isinstance(request, requests.Request)
    return request


def _stream(
    request_id: str, now_ms: int, output_tokens: int
) -> requests.Request:
    prompt = requests.Prompt(2_000, output_tokens, ())
    request = build.request(
        request_id,
        prompt=prompt,
        arrived_ms=now_ms,
        deadline_ms=now_ms + 15_000,
    )
    assert isinstance(request, requests.Request)
    return request


# Other operators: requests that came late in the grace were passed on, and cut
# without an answer at its end.
@pytest.mark.parametrize("now_ms", [0, 1_500, LATE_MS, LATE_MS + 1])
@pytest.mark.parametrize(
    "kind", ["short", "slow", "call", "slow call", "note", "draft"]
)
def test_request_that_cannot_end_before_the_exit_reaches_no_upstream(
    now_ms: int, kind: str
) -> None:
    state = _leaving_state()
    request = {
        "short": _plain("r", now_ms, 1_200, may_repeat=True),
        "slow": _plain("r", now_ms, 6_900, may_repeat=True),
        "call": _plain("r", now_ms, 3_900, may_repeat=False),
        "slow call": _plain("r", now_ms, 6_900, may_repeat=False),
        "note": _stream("r", now_ms, 80),
        "draft": _stream("r", now_ms, 600),
    }[kind]
    (effect,) = reducer.reduce(state, events.RequestArrived(now_ms, request))
    longest_ms = {
        "short": 1_200,
        "slow": 6_900,
        "call": 3_900,
        "slow call": 6_900,
        # Twice the objective, and one and a half times the steps.
        "note": 2_000 + 80 * 8,
        "draft": 2_000 + 600 * 8,
    }[kind]
    if isinstance(effect, effects.Send):
        assert now_ms <= LATE_MS
        assert now_ms + longest_ms <= EXIT_MS
        return
    assert isinstance(effect, effects.Reject)
    assert now_ms > LATE_MS or now_ms + longest_ms > EXIT_MS - 200
    assert effect.reason is effects.Reason.LEAVING
    assert effect.not_run
    assert effect.retry_after_ms


@pytest.mark.parametrize("may_have_run", [False, True])
def test_repeat_that_cannot_end_before_the_exit_is_not_sent(
    may_have_run: bool,
) -> None:
    state = _leaving_state()
    request = _plain("r", 0, 6_500, may_repeat=True)
    reducer.reduce(state, events.RequestArrived(0, request))
    state.exit_by_ms = 6_000
    verdict = verdicts.Verdict.NOT_RUN
    if may_have_run:
        verdict = verdicts.Verdict.MAY_HAVE_RUN
    (effect,) = reducer.reduce(
        state,
        events.AttemptFailed(500, "r", events.Ending.BROKEN, verdict, False),
    )
    assert isinstance(effect, effects.Reject)
    assert effect.not_run is not may_have_run


# A pause of its engine cut a stream off seconds before the end of the grace:
# the attempt was given up for another one, which the exit did not allow.
@pytest.mark.parametrize("exits_soon", [False, True])
def test_silence_ends_no_attempt_that_the_exit_keeps_from_being_repeated(
    exits_soon: bool,
) -> None:
    state = _leaving_state()
    route = build.route(may_repeat=True, max_attempts=3)
    request = build.request("r", route=route, deadline_ms=6_000)
    reducer.reduce(state, events.RequestArrived(0, request))
    if exits_soon:
        state.exit_by_ms = 5_000
    delay_ms = lifecycle.resend_delay_ms(state, "r", 500)
    assert (delay_ms is None) is exits_soon
    failed = events.AttemptFailed(
        500, "r", events.Ending.SILENT, verdicts.Verdict.MAY_HAVE_RUN, True
    )
    (effect,) = reducer.reduce(state, failed)
    # The timer and the retry agree.
    assert isinstance(effect, effects.Abort if exits_soon else effects.Send)


@pytest.mark.parametrize("path", ["/reads/x", "/orders/x"])
def test_request_in_flight_at_the_end_of_the_grace_gets_an_answer(
    path: str,
) -> None:
    routes = (
        build.calls(),
        build.route(
            "orders",
            prefix="/orders/",
            service=build.PLAIN_SERVICE,
            is_stream=False,
        ),
    )
    arrived = anyio.Event()

    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        arrived.set()
        await anyio.sleep_forever()

    async def run_callers(harness: relay.Harness) -> None:
        answers: list[bytes] = []

        async def call() -> None:
            request = relay._encode_request("r1", path)
            answers.append(await harness.call(request))

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(call)
            await arrived.wait()
            assert harness.frontend is not None
            await harness.frontend.end_requests()
        assert answers[0].startswith(b"HTTP/1.1 502")
        assert not harness.was_reset
        assert harness.frontend is not None
        assert harness.frontend.active == 0

    relay.run_with_frontend(script, run_callers, routes=routes)
