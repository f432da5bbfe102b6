"""Upstreams and callers whose bytes come without end, or hardly at all."""

from __future__ import annotations

import resource

import anyio
import pytest

from laburnumpin.forwarding import deployment
from laburnumpin.tests import forwarding_builders as build
from laburnumpin.tests import test_platform_relay as relay

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
    b"X-Laburnumpin-Response-Seal: s\r\n"
    b"Transfer-Encoding: chunked\r\n"
)
MAX_GROWTH_KB = 40_000
SINGLE_CALL = (build.calls(may_repeat=False, max_attempts=1),)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _stream_routes(max_attempts: int = 3) -> tuple[deployment.Route, ...]:
    return (
        build.route(
            may_repeat=True, objective_ms=100, max_attempts=max_attempts
        ),
    )


async def _send_without_end(
    connection: relay.UpstreamConnection, start: bytes, repeated: bytes
) -> None:
    """Send bytes until the entry closes the connection."""
    await connection.read_request()
    await connection.stream.send(start)
    block = repeated * (65_536 // len(repeated) + 1)
    while True:
        await connection.stream.send(block)


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        pytest.param(b"HTTP/1.1 200 O", b"K", id="status line"),
        pytest.param(HEAD, b"X-More: 1\r\n", id="header lines"),
        pytest.param(
            b"", b"HTTP/1.1 102 Processing\r\n\r\n", id="informational"
        ),
        pytest.param(HEAD + b"\r\n5;", b"extension", id="chunk extension"),
        pytest.param(HEAD + b"\r\n", b"0", id="chunk size"),
    ],
)
def test_answer_head_without_end_is_a_bad_gateway(
    start: bytes, repeated: bytes
) -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await _send_without_end(connection, start, repeated)

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(relay._encode_request())
        assert relay._status_code(received) == 502
        assert b"Retry-After" not in received
        await harness.connection_ended.wait()

    relay.run_with_frontend(script, run_callers, routes=SINGLE_CALL)


@pytest.mark.parametrize(
    ("status", "extra", "expected"),
    [
        pytest.param(
            500, b"X-Laburnumpin-Attempt-Id: r1\r\n", 502, id="failure"
        ),
        pytest.param(
            503,
            b"X-Laburnumpin-Attempt-Id: r1\r\n"
            b"X-Laburnumpin-Not-Executed: 1\r\n",
            503,
            id="not executed",
        ),
        pytest.param(
            200, b"X-Laburnumpin-Attempt-Id: r0\r\n", 502, id="other request"
        ),
    ],
)
def test_discarded_body_without_end_takes_no_memory(
    status: int, extra: bytes, expected: int
) -> None:
    head = b"HTTP/1.1 %d X\r\n%sTransfer-Encoding: chunked\r\n\r\n"

    async def script(connection: relay.UpstreamConnection) -> None:
        await _send_without_end(
            connection, head % (status, extra), _chunk(b"x" * 60_000)
        )

    async def run_callers(harness: relay.Harness) -> None:
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        received = await harness.call(relay._encode_request())
        assert relay._status_code(received) == expected
        await harness.connection_ended.wait()
        after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        assert after_kb - before_kb < MAX_GROWTH_KB

    relay.run_with_frontend(script, run_callers, routes=SINGLE_CALL)


def test_event_without_end_is_cut_and_takes_no_memory() -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await _send_without_end(
            connection,
            HEAD + b"\r\n" + _chunk(b"id: 1\ndata: a\n\ndata: "),
            _chunk(b"x" * 60_000),
        )

    async def run_callers(harness: relay.Harness) -> None:
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        received = await harness.call(relay._encode_request(path="/drafts/x"))
        assert b"data: a" in received
        assert relay._count_complete_answers(received) == 0
        await harness.connection_ended.wait()
        after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        assert after_kb - before_kb < MAX_GROWTH_KB

    routes = (build.route(may_repeat=False, max_attempts=1),)
    relay.run_with_frontend(script, run_callers, routes=routes)


@pytest.mark.parametrize("trickle", [b"x", b": still here\n\n"])
def test_stalled_stream_that_trickles_continues_elsewhere(
    trickle: bytes,
) -> None:
    # Each byte used to start the limit on pauses anew.
    async def script(connection: relay.UpstreamConnection) -> None:
        request = await connection.read_request()
        if b"Last-Event-Id: 1" in request:
            rest = _chunk(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n"
            await connection.stream.send(HEAD + b"\r\n" + rest)
            await connection.stream.receive()
            return
        first = _chunk(b"id: 1\ndata: a\n\n")
        await connection.stream.send(HEAD + b"\r\n" + first)
        while True:
            await anyio.sleep(0.1)
            await connection.stream.send(_chunk(trickle))

    async def run_callers(harness: relay.Harness) -> None:
        with anyio.fail_after(4.0):  # Before the deadline of the request.
            received = await harness.call(
                relay._encode_request(path="/drafts/x")
            )
        assert b"data: b" in received
        assert relay._count_complete_answers(received) == 1

    relay.run_with_frontend(
        script, run_callers, routes=_stream_routes(), upstreams=2
    )


@pytest.mark.parametrize("upstreams", [1, 2])
def test_slow_stream_is_not_cut_when_it_cannot_continue_elsewhere(
    upstreams: int,
) -> None:
    # There is no other upstream, or the attempts of the route are used up.
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(HEAD + b"\r\n")
        for number in range(1, 4):
            await connection.stream.send(
                _chunk(b"id: %d\ndata: e%d\n\n" % (number, number))
            )
            await anyio.sleep(1.0)
        await connection.stream.send(b"0\r\n\r\n")
        await connection.stream.receive()

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(relay._encode_request(path="/drafts/x"))
        assert b"data: e3" in received
        assert relay._count_complete_answers(received) == 1
        assert harness.connection_count == 1

    relay.run_with_frontend(
        script,
        run_callers,
        routes=_stream_routes(max_attempts=1 if upstreams == 2 else 3),
        upstreams=upstreams,
    )


def test_caller_that_reads_slowly_does_not_stall_its_stream() -> None:
    body = b"x" * 40_000
    events = 100

    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(HEAD + b"\r\n")
        for number in range(1, events + 1):
            await connection.stream.send(
                _chunk(b"id: %d\ndata: %s\n\n" % (number, body))
            )
        await connection.stream.send(b"0\r\n\r\n")
        await connection.stream.receive()

    async def run_callers(harness: relay.Harness) -> None:
        host, _, port = harness.address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(relay._encode_request(path="/drafts/x"))
            await anyio.sleep(2.5)
            received = b""
            while relay._count_complete_answers(received) < 1:
                received += await stream.receive(1_000_000)
        assert received.count(b"data: ") == events
        assert harness.connection_count == 1

    relay.run_with_frontend(
        script, run_callers, routes=_stream_routes(), upstreams=2
    )


def test_caller_that_trickles_a_head_is_answered_with_a_timeout() -> None:
    # Each byte used to start the limit on the head anew.
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()

    async def run_callers(harness: relay.Harness) -> None:
        host, _, port = harness.address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            received = b""
            for _ in range(60):
                await stream.send(b"G")
                with anyio.move_on_after(0.1):
                    received += await stream.receive()
                if received:
                    break
        assert relay._status_code(received) == 408

    relay.run_with_frontend(script, run_callers)


@pytest.mark.parametrize(
    "late",
    [
        pytest.param(b"HTTP/1.1 404 Not Found\r\n", id="error"),
        pytest.param(b"HTTP/1.1 500 Failed\r\n", id="failure"),
        pytest.param(
            b"HTTP/1.1 503 Full\r\nX-Laburnumpin-Not-Executed: 1\r\n",
            id="not executed",
        ),
    ],
)
@pytest.mark.parametrize("split", [False, True])
def test_late_copy_without_an_id_is_not_the_next_answer(
    late: bytes, split: bool
) -> None:
    copy = late + b"Content-Length: 5\r\n\r\nstale"

    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.send_answer("r1", b"one")
        await connection.read_request()
        if split:
            await connection.stream.send(copy[:20])
            await anyio.sleep(0.05)
            await connection.stream.send(copy[20:])
        else:
            await connection.stream.send(copy)
        await connection.send_answer("r2", b"two")
        await connection.stream.receive()

    async def run_callers(harness: relay.Harness) -> None:
        await harness.call(relay._encode_request("r1"))
        received = await harness.call(relay._encode_request("r2"))
        assert relay._status_code(received) == 200
        assert received.endswith(b"two")
        assert harness.connection_count == 1

    relay.run_with_frontend(script, run_callers, routes=SINGLE_CALL)


def test_late_copy_on_an_idle_connection_ends_its_use() -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.send_answer("r1", b"one")
        await anyio.sleep(0.05)
        await connection.send_answer("r1", b"one")
        await connection.read_request()

    async def run_callers(harness: relay.Harness) -> None:
        await harness.call(relay._encode_request("r1"))
        await anyio.sleep(0.2)
        received = await harness.call(relay._encode_request("r1"))
        assert received.endswith(b"one")
        assert harness.connection_count == 2

    relay.run_with_frontend(script, run_callers)
