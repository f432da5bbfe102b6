"""Which statuses of an upstream reach its caller, over real sockets."""

from __future__ import annotations

import anyio
import pytest

from laburnumpin.forwarding import deployment
from laburnumpin.tests import forwarding_builders as build
from laburnumpin.tests import test_platform_completeness as ends
from laburnumpin.tests import test_platform_relay as relay

IDENTITY = b"X-Laburnumpin-Attempt-Id: r1\r\nX-Laburnumpin-Response-Seal: s\r\n"
NOT_EXECUTED = b"X-Laburnumpin-Not-Executed: 1\r\n"
LONG_CALL = relay._encode_request("r1", "/reads/x", b"x" * 400_000)
SINGLE_CALL = (build.calls(may_repeat=False, max_attempts=2),)
REPEATABLE_CALL = (build.calls(may_repeat=True, max_attempts=2),)
SINGLE_STREAM = (build.route(max_attempts=2),)
REPEATABLE_STREAM = (build.route(may_repeat=True, max_attempts=2),)
Routes = tuple[deployment.Route, ...]

every_route = pytest.mark.parametrize(
    ("request_text", "routes"),
    [
        (ends.CALL, SINGLE_CALL),
        (ends.CALL, REPEATABLE_CALL),
        (LONG_CALL, SINGLE_CALL),
        (ends.STREAM, SINGLE_STREAM),
        (ends.STREAM, REPEATABLE_STREAM),
    ],
    ids=["call", "repeatable call", "long call", "stream", "resumable stream"],
)
statuses_that_promise = pytest.mark.parametrize(
    "status", [b"408 Late", b"429 Busy", b"503 Failed"]
)


def _answer(
    status: bytes, extra: bytes = b"", framing: bytes = b"Content-Length: 4\r\n"
) -> bytes:
    head = b"HTTP/1.1 " + status + b"\r\n" + IDENTITY + extra + framing
    return head + b"\r\nbody"


def _assert_promises_nothing(received: bytes) -> None:
    assert relay._status_code(received) == 502
    assert b"seal" not in received.lower()
    assert b"retry-after" not in received.lower()
    assert received.endswith(b"\r\n\r\n")


# A call had run and was answered 503 or 429. Its caller took the status that
# was passed on for the promise that it had not, and placed its order twice.
@statuses_that_promise
@pytest.mark.parametrize(
    "framing", [b"Content-Length: 4\r\n", b""], ids=["length", "no length"]
)
@every_route
def test_status_that_promises_without_proof_is_not_passed_on(
    request_text: bytes, routes: Routes, framing: bytes, status: bytes
) -> None:
    answer = _answer(status, b"Retry-After: 3\r\n", framing)

    async def run_callers(harness: relay.Harness) -> None:
        _assert_promises_nothing(await harness.call(request_text))
        counters = harness.state.counters
        number = status.partition(b" ")[0].decode()
        assert counters.value("upstream_statuses_withheld", number) == 1

    relay.run_with_frontend(relay.answering(answer), run_callers, routes=routes)


@statuses_that_promise
def test_call_that_may_have_run_is_not_sent_again(status: bytes) -> None:
    async def run_callers(harness: relay.Harness) -> None:
        _assert_promises_nothing(await harness.call(ends.CALL))
        assert harness.connection_count == 1

    relay.run_with_frontend(
        relay.answering(_answer(status)),
        run_callers,
        routes=SINGLE_CALL,
        upstreams=2,
    )


@statuses_that_promise
def test_repeatable_call_is_answered_by_another_upstream(status: bytes) -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        if connection.number == 1:
            await connection.stream.send(_answer(status))
            await connection.stream.receive()
            return
        await connection.send_answer("r1", b"ran")

    async def run_callers(harness: relay.Harness) -> None:
        assert (await harness.call(ends.CALL)).endswith(b"ran")

    relay.run_with_frontend(
        script, run_callers, routes=REPEATABLE_CALL, upstreams=2
    )


# The promise of a second upstream speaks of its own attempt alone.
def test_promise_of_a_later_attempt_does_not_cover_an_earlier_run() -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        extra = b"" if connection.number == 1 else NOT_EXECUTED
        await connection.stream.send(_answer(b"503 Failed", extra))
        await connection.stream.receive()

    async def run_callers(harness: relay.Harness) -> None:
        _assert_promises_nothing(await harness.call(ends.CALL))
        assert harness.connection_count == 2

    relay.run_with_frontend(
        script, run_callers, routes=REPEATABLE_CALL, upstreams=2
    )


@pytest.mark.parametrize("extra", [b"", NOT_EXECUTED], ids=["ran", "not run"])
def test_refusal_before_the_body_is_read(extra: bytes) -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.stream.receive()
        await connection.stream.send(_answer(b"503 Failed", extra))
        with anyio.move_on_after(1):
            await connection.read_request()

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(LONG_CALL)
        if not extra:
            _assert_promises_nothing(received)
            return
        assert relay._status_code(received) == 503
        assert b"seal" not in received.lower()

    relay.run_with_frontend(script, run_callers, routes=SINGLE_CALL)


# Of the upstream, the entry learns what came.
def test_backoff_of_a_withheld_status_is_kept() -> None:
    answer = _answer(b"503 Failed", b"Retry-After: 3\r\n")

    async def run_callers(harness: relay.Harness) -> None:
        await harness.call(ends.CALL)
        received = await harness.call(ends.CALL)
        assert relay._status_code(received) == 503
        assert b"Retry-After" in received
        assert harness.connection_count == 1

    relay.run_with_frontend(
        relay.answering(answer), run_callers, routes=SINGLE_CALL
    )


# An upstream in trouble sent an answer whose status was 000, and its caller got
# it as an answer. Such an answer says nothing, not even that nothing has run.
@pytest.mark.parametrize(
    "status",
    [b"000 ", b"099 No", b"199 No", b"101 Switch", b"600 No", b"999 No"],
)
@pytest.mark.parametrize("extra", [b"", NOT_EXECUTED], ids=["", "not run"])
@every_route
def test_status_that_no_answer_can_have_is_no_answer(
    request_text: bytes, routes: Routes, extra: bytes, status: bytes
) -> None:
    leaving = b"Server-Leaving: 1\r\nServer-Limit: 1\r\nRetry-After: 9\r\n"

    async def run_callers(harness: relay.Harness) -> None:
        _assert_promises_nothing(await harness.call(request_text))
        for upstream in harness.state.upstreams.all():
            assert upstream.registration.lifecycle.value == "ready"
        counters = harness.state.counters
        assert not counters.value("attempts_failed", "rejected")
        assert not counters.value("upstreams_said_leaving")

    relay.run_with_frontend(
        relay.answering(_answer(status, extra + leaving)),
        run_callers,
        routes=routes,
    )


@pytest.mark.parametrize("status", [b"000 ", b"600 No"])
def test_status_that_no_answer_can_have_ends_no_stream(status: bytes) -> None:
    event = b"id: 1\ndata: one\n\n"
    stream = (
        b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"Content-Type: text/event-stream"
        b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        + f"{len(event):x}\r\n".encode()
        + event
        + b"\r\n"
    )

    async def script(connection: relay.UpstreamConnection) -> None:
        request = await connection.read_request()
        resumed = b"Last-Event-Id: 1" in request
        await connection.stream.send(_answer(status) if resumed else stream)

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(ends.STREAM)
        assert received.count(event) == 1
        assert b"body" not in received
        assert not received.endswith(b"0\r\n\r\n")

    relay.run_with_frontend(
        script, run_callers, routes=REPEATABLE_STREAM, upstreams=2
    )
