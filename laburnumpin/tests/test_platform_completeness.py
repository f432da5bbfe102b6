"""What the end of an upstream's answer proves, over real sockets."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import completeness
from laburnumpin.forwarding import selection
from laburnumpin.tests import forwarding_builders as build
from laburnumpin.tests import test_platform_relay as relay

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
    b"X-Laburnumpin-Response-Seal: s\r\n"
)
OPEN_HEAD = HEAD + b"\r\n"
OPEN_STREAM = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
CHUNKED_STREAM = (
    HEAD + b"Content-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
EVENT_1 = b"id: 1\ndata: one\n\n"
EVENT_2 = b"id: 2\ndata: two\n\n"
LARGE_BODY = b"x" * 400_000

CALL = relay._encode_request("r1")
STREAM = relay._encode_request(
    "r1",
    "/drafts/x",
    b"hi",
    "X-Laburnumpin-Token-Count: 100,10",
    "X-Laburnumpin-Prompt-Prefix: a1:40,c3:20",
)
SINGLE_CALL = (build.calls(may_repeat=False, max_attempts=1),)
SINGLE_STREAM = (build.route(max_attempts=1),)
REPEATABLE_STREAM = (build.route(may_repeat=True, max_attempts=3),)


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def _split(received: bytes) -> tuple[bytes, bytes]:
    """Return the head in lower case, and the body as sent."""
    head, _, body = received.partition(b"\r\n\r\n")
    return head.lower(), body


def _is_open_ended(head: bytes) -> bool:
    """Return whether a response shows no end but that of its connection."""
    return (
        b"content-length" not in head
        and b"transfer-encoding" not in head
        and b"connection: close" in head
    )


# An answer without length got a length from the entry, so a body that had
# broken off at a normal close looked whole.
@pytest.mark.parametrize("body", [b"to the end", LARGE_BODY])
def test_call_without_length_ends_with_the_connection(body: bytes) -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(OPEN_HEAD + body)

    async def run_callers(harness: relay.Harness) -> None:
        head, received = _split(await harness.call(CALL))
        assert head.startswith(b"http/1.1 200")
        assert _is_open_ended(head)
        assert received == body
        assert not harness.was_reset
        assert harness.state.counters.value("answer_ends", "unproved") == 1

    relay.run_with_frontend(script, run_callers, routes=SINGLE_CALL)


def test_failure_without_length_ends_with_the_connection() -> None:
    failure = OPEN_HEAD.replace(b"200 OK", b"500 Failed") + b"out of"

    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(failure)

    async def run_callers(harness: relay.Harness) -> None:
        head, body = _split(await harness.call(CALL))
        assert head.startswith(b"http/1.1 500")
        assert _is_open_ended(head)
        assert body == b"out of"

    relay.run_with_frontend(script, run_callers, routes=SINGLE_CALL)


# An upstream that stopped after the head of an answer without length: its
# caller got a 200 with an empty body, framed as whole.
@pytest.mark.parametrize(
    ("sent", "request_text", "routes"),
    [(OPEN_HEAD, CALL, SINGLE_CALL), (OPEN_STREAM, STREAM, SINGLE_STREAM)],
)
def test_answer_without_length_and_content_is_broken(
    sent: bytes, request_text: bytes, routes: tuple[object, ...]
) -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(sent)

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(request_text)
        assert relay._status_code(received) == 502

    relay.run_with_frontend(script, run_callers, routes=routes)  # type: ignore[arg-type]


# An engine that ended between two events of a stream without length: the caller
# could not see that the rest was missing.
@pytest.mark.parametrize("may_repeat", [False, True])
def test_stream_of_an_engine_that_ended_is_broken(may_repeat: bool) -> None:
    harnesses: list[relay.Harness] = []

    async def script(connection: relay.UpstreamConnection) -> None:
        request = await connection.read_request()
        if b"Last-Event-Id: 1" in request:
            await connection.stream.send(OPEN_STREAM + EVENT_2)
            return
        await connection.stream.send(OPEN_STREAM + EVENT_1)
        state = harnesses[0].state
        used = [u for u in state.upstreams.all() if u.own_streams]
        _, _, number = used[0].registration.upstream_id.rpartition("-")
        await harnesses[0].listeners[int(number)].aclose()

    async def run_callers(harness: relay.Harness) -> None:
        harnesses.append(harness)
        head, body = _split(await harness.call(STREAM))
        assert _is_open_ended(head)
        if may_repeat:
            assert body == EVENT_1 + EVENT_2
        else:
            assert body in (b"", EVENT_1)
        assert harness.was_reset is not may_repeat

    routes = REPEATABLE_STREAM if may_repeat else SINGLE_STREAM
    relay.run_with_frontend(script, run_callers, routes=routes, upstreams=2)


# A stream in chunks was continued by an answer without length, whose end was
# passed on as the end of the chunks.
@pytest.mark.parametrize("has_third", [False, True])
def test_chunks_do_not_end_with_the_connection_of_a_continuation(
    has_third: bool,
) -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        request = await connection.read_request()
        if b"Last-Event-Id: 2" in request:
            await connection.stream.send(CHUNKED_STREAM + b"0\r\n\r\n")
        elif b"Last-Event-Id: 1" in request:
            await connection.stream.send(OPEN_STREAM + EVENT_2)
        else:
            await connection.stream.send(CHUNKED_STREAM + _chunk(EVENT_1))

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(STREAM)
        assert received.count(EVENT_1) == 1
        assert received.count(EVENT_2) == 1
        assert received.endswith(b"\r\n0\r\n\r\n") is has_third

    relay.run_with_frontend(
        script,
        run_callers,
        routes=(build.route(may_repeat=True, max_attempts=3),),
        upstreams=3 if has_third else 2,
    )


def test_unproved_answer_that_breaks_off_is_reset() -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(OPEN_HEAD + LARGE_BODY)
        await anyio.sleep(0.1)
        await connection.reset()

    async def run_callers(harness: relay.Harness) -> None:
        head, _ = _split(await harness.call(CALL))
        assert _is_open_ended(head)
        assert harness.was_reset

    relay.run_with_frontend(script, run_callers, routes=SINGLE_CALL)


# A caller of HTTP/1.0 sees no chunks, so the close after a stream that had
# broken off looked like its end.
def test_broken_stream_of_an_old_caller_is_reset() -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(CHUNKED_STREAM + _chunk(EVENT_1))

    async def run_callers(harness: relay.Harness) -> None:
        await harness.call(STREAM.replace(b"HTTP/1.1", b"HTTP/1.0"))
        assert harness.was_reset

    relay.run_with_frontend(script, run_callers, routes=SINGLE_STREAM)


@pytest.mark.parametrize("enabled", [False, True])
def test_connection_is_reset_by_whatever_closes_it(enabled: bool) -> None:
    async def serve(stream: byte_stream.ByteStream) -> None:
        stream.set_reset_on_close(True)
        stream.set_reset_on_close(enabled)
        stream.close()

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            address = await task_group.start(
                byte_stream.serve, "127.0.0.1:0", 8, serve
            )
            stream = await byte_stream.connect(str(address))
            if enabled:
                with pytest.raises(byte_stream.StreamClosedError):
                    await stream.receive()
            else:
                assert await stream.receive() == b""
            stream.abort()
            task_group.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize(
    ("method", "status", "headers", "framing"),
    [
        (b"GET", 200, [], completeness.Framing.CLOSE),
        (b"HEAD", 200, [], completeness.Framing.NO_BODY),
        (b"GET", 204, [], completeness.Framing.NO_BODY),
        (b"GET", 304, [], completeness.Framing.NO_BODY),
        (b"GET", 200, [(b"Content-Length", b"0")], completeness.Framing.LENGTH),
        (
            b"GET",
            200,
            [(b"Transfer-Encoding", b"chunked"), (b"Content-Length", b"3")],
            completeness.Framing.CHUNKS,
        ),
    ],
)
def test_framing_of_an_answer(
    method: bytes,
    status: int,
    headers: list[tuple[bytes, bytes]],
    framing: completeness.Framing,
) -> None:
    assert completeness.find_framing(method, status, headers) is framing


# A first attempt broke off; the error of the next engine was written into the
# middle of the stream, or an empty one ended it as complete.
@pytest.mark.parametrize("may_repeat", [False, True])
@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 404 Not Found\r\n",
        b"HTTP/1.1 400 Bad Request\r\n",
        b"HTTP/1.1 302 Found\r\n",
        b"HTTP/1.1 500 Failed\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n",
    ],
)
@pytest.mark.parametrize("body", [b"", b"an error"])
def test_error_of_a_continuation_stays_out_of_the_stream(
    answer: bytes, body: bytes, may_repeat: bool
) -> None:
    identity = HEAD.partition(b"\r\n")[2]
    length = f"Content-Length: {len(body)}\r\n\r\n".encode()

    async def script(connection: relay.UpstreamConnection) -> None:
        request = await connection.read_request()
        if b"Last-Event-Id: 1" in request:
            await connection.stream.send(answer + identity + length + body)
            return
        await connection.stream.send(CHUNKED_STREAM + _chunk(EVENT_1))

    async def run_callers(harness: relay.Harness) -> None:
        _, received = _split(await harness.call(STREAM))
        assert received == _chunk(EVENT_1)

    routes = REPEATABLE_STREAM if may_repeat else SINGLE_STREAM
    relay.run_with_frontend(script, run_callers, routes=routes, upstreams=2)


WHOLE_ANSWER = HEAD + b"Content-Length: 5\r\n\r\nwhole"


# An upstream that stopped inside the head of its answer and closed: callers got
# a 200 with an empty or short body, framed as whole.
@pytest.mark.parametrize("is_stream", [False, True])
def test_head_that_breaks_off_anywhere_is_no_answer(is_stream: bool) -> None:
    answer = WHOLE_ANSWER
    if is_stream:
        answer = CHUNKED_STREAM + _chunk(EVENT_1) + b"0\r\n\r\n"
    head_bytes = len(answer.partition(b"\r\n\r\n")[0]) + 4
    cuts = list(range(head_bytes))

    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(answer[: cuts[connection.number - 1]])

    async def run_callers(harness: relay.Harness) -> None:
        for _ in cuts:
            received = await harness.call(STREAM if is_stream else CALL)
            assert relay._status_code(received) == 502
            # The failures do not keep the upstream from the next request.
            for upstream in harness.state.upstreams.all():
                upstream.record_success()
        assert harness.connection_count == len(cuts)

    routes = SINGLE_STREAM if is_stream else SINGLE_CALL
    relay.run_with_frontend(script, run_callers, routes=routes)


# A faulty upstream wrote the refusal of an earlier request once more on a kept
# connection: a request that ran was answered as not run, or ran twice.
@pytest.mark.parametrize(
    "identity", [b"X-Laburnumpin-Attempt-Id: r1\r\n", b""], ids=["id", "no id"]
)
@pytest.mark.parametrize("status", [b"503 Full", b"429 Full", b"421 Other"])
@pytest.mark.parametrize("split", [0, 10, 60])
def test_refusal_of_an_earlier_request_is_not_the_next_answer(
    identity: bytes, status: bytes, split: int
) -> None:
    reason = b"X-Laburnumpin-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    refusal = b"HTTP/1.1 503 Full\r\nX-Laburnumpin-Attempt-Id: r1\r\n" + reason
    copy = b"HTTP/1.1 " + status + b"\r\n" + identity + reason
    executed: list[bytes] = []

    async def script(connection: relay.UpstreamConnection) -> None:
        if connection.number > 1:
            executed.append(await connection.read_request())
            return
        await connection.read_request()
        await connection.stream.send(refusal)
        executed.append(await connection.read_request())
        await connection.stream.send(copy[:split])
        await anyio.sleep(0.02)
        await connection.stream.send(copy[split:])
        await connection.send_answer("r2", b"ran")
        await connection.stream.receive()

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(relay._encode_request("r1"))
        assert relay._status_code(received) == 503
        for upstream in harness.state.upstreams.all():
            upstream.full_until_ms = 0
        received = await harness.call(relay._encode_request("r2"))
        assert relay._status_code(received) == 200
        assert received.endswith(b"ran")
        assert len(executed) == 1

    relay.run_with_frontend(script, run_callers, routes=SINGLE_CALL)


# A stream whose move failed may return to an engine that has refused it. A copy
# of that refusal on the kept connection would be taken for the new answer.
def test_request_that_returns_to_an_upstream_uses_a_new_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    choose = selection.choose

    def choose_again(*arguments: Any) -> selection.Choice | None:
        candidates, request, service, zone, _, *rest = arguments
        return choose(candidates, request, service, zone, set(), *rest)

    monkeypatch.setattr(selection, "choose", choose_again)
    refusal = (
        b"HTTP/1.1 503 Full\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
        b"X-Laburnumpin-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )

    executed: list[bytes] = []

    async def script(connection: relay.UpstreamConnection) -> None:
        request = await connection.read_request()
        if connection.number == 1:
            await connection.stream.send(refusal)
            request = await connection.read_request()
            await connection.stream.send(refusal)
        executed.append(request)
        await connection.send_answer("r1", b"ran")

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(CALL)
        assert relay._status_code(received) == 200
        assert len(executed) == 1

    routes = (build.calls(may_repeat=False, max_attempts=2),)
    relay.run_with_frontend(script, run_callers, routes=routes)


# A success without the receipt of an upstream was passed on as its result.
@pytest.mark.parametrize("receipt", [b"", b"X-Laburnumpin-Response-Seal:\r\n"])
def test_success_without_a_receipt_is_no_result(receipt: bytes) -> None:
    head = HEAD.replace(b"X-Laburnumpin-Response-Seal: s\r\n", receipt)

    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(head + b"Content-Length: 2\r\n\r\nno")

    async def run_callers(harness: relay.Harness) -> None:
        assert relay._status_code(await harness.call(CALL)) == 502

    relay.run_with_frontend(script, run_callers, routes=SINGLE_CALL)
