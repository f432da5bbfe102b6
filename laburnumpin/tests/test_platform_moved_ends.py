"""Ends of streams that an entry has stopped for a move, over real sockets."""

from __future__ import annotations

import anyio
import pytest

from laburnumpin.forwarding import events
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import upstreams
from laburnumpin.tests import forwarding_builders as build
from laburnumpin.tests import test_platform_completeness as completeness
from laburnumpin.tests import test_platform_relay as relay

EVENT_1, EVENT_2 = completeness.EVENT_1, completeness.EVENT_2
END_OF_CHUNKS = b"0\r\n\r\n"
HANDLE = b'{"kv_handle": "h-1", "create_revision": 1}'
# Status and body of the engine's answer to the move; None if it closes instead.
MOVED = (b"200 OK", HANDLE)
DESTINATION_GONE = (b"503 Unavailable", HANDLE)
NO_SUCH_RUN = (b"404 Not Found", b"{}")
IN_PROGRESS = (b"409 Conflict", b"{}")
NO_HANDLE = (b"503 Unavailable", b"{}")
MoveAnswer = tuple[bytes, bytes] | None


class Engines:
    """Two engines, the first of which is asked to move its stream.

    `framing` is how both frame their streams: `close`, `chunks`, or `ended`
    for chunks whose end is sent also when the stream is stopped. `move_answer`
    answers the move. With `is_move_slow` that answer comes some time after
    the stream has stopped.
    """

    def __init__(
        self, framing: str, move_answer: MoveAnswer, *, is_move_slow: bool
    ) -> None:
        self._framing = framing
        self._move_answer = move_answer
        self._is_move_slow = is_move_slow
        self._stream_closed = anyio.Event()
        self._move_asked = anyio.Event()
        self.harness: relay.Harness | None = None
        self.sends = 0

    async def serve(self, connection: relay.UpstreamConnection) -> None:
        request = await connection.read_request()
        if request.startswith(b"POST /kv-move"):
            await self._answer_move(connection)
            return
        self.sends += 1
        if b"Kv-From" in request or b"kv-from" in request:
            assert b"Last-Event-Id: 1" in request
            await self._send(connection, EVENT_2, is_whole=True)
            return
        await self._send(connection, EVENT_1, is_whole=False)
        await self._announce_leaving()
        await self._move_asked.wait()
        if self._framing == "ended":
            await connection.stream.send(END_OF_CHUNKS)
        await connection.stream.aclose()
        self._stream_closed.set()

    async def _send(
        self,
        connection: relay.UpstreamConnection,
        event: bytes,
        *,
        is_whole: bool,
    ) -> None:
        if self._framing == "close":
            await connection.stream.send(completeness.OPEN_STREAM + event)
            return
        end = END_OF_CHUNKS if is_whole else b""
        await connection.stream.send(
            completeness.CHUNKED_STREAM + completeness._chunk(event) + end
        )

    async def _answer_move(self, connection: relay.UpstreamConnection) -> None:
        self._move_asked.set()
        if self._is_move_slow:
            await self._stream_closed.wait()
            await anyio.sleep(0.05)
        if self._move_answer is None:
            return
        status, body = self._move_answer
        length = str(len(body)).encode()
        await connection.stream.send(
            b"HTTP/1.1 " + status + b"\r\nContent-Length: " + length
        )
        await connection.stream.send(b"\r\n\r\n" + body)

    async def _announce_leaving(self) -> None:
        """Let the source of the stream leave, so that it is moved."""
        assert self.harness is not None
        state = self.harness.state
        while not all(active.has_started for active in state.active.values()):
            await anyio.sleep(0.01)
        (source,) = [u for u in state.upstreams.all() if u.own_streams]
        registration = source.registration
        leaving = build.registration(
            registration.upstream_id,
            service=registration.service,
            address=registration.address,
            lifecycle=upstreams.Lifecycle.LEAVING,
            leaves_in_ms=0,
        )
        reducer.reduce(state, events.UpstreamChanged(1, 2, leaving))
        assert self.harness.frontend is not None
        shell = self.harness.frontend._shell
        now_ms = shell.now_ms()
        shell.apply(events.Ticked(now_ms, now_ms))


def _run(engines: Engines) -> tuple[bytes, bool]:
    """Return the bytes that the caller got, and whether it saw an early end."""
    results: list[tuple[bytes, bool]] = []

    async def run_callers(harness: relay.Harness) -> None:
        engines.harness = harness
        _, body = completeness._split(await harness.call(completeness.STREAM))
        if engines._framing == "close":
            results.append((body, harness.was_reset))
            return
        results.append(_join_chunks(body))

    routes = completeness.SINGLE_STREAM
    relay.run_with_frontend(
        engines.serve, run_callers, routes=routes, upstreams=2
    )
    (result,) = results
    return result


def _join_chunks(body: bytes) -> tuple[bytes, bool]:
    """Return the contents of chunks, and whether their end is missing."""
    joined = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return joined, False
        joined += rest[:length]
        body = rest[length + 2 :]
    return joined, True


# A stream without length that an entry itself had stopped for a move ended for
# its caller as if it were whole, and was never continued.
@pytest.mark.parametrize("framing", ["close", "chunks", "ended"])
@pytest.mark.parametrize("move_answer", [MOVED, DESTINATION_GONE])
@pytest.mark.parametrize("is_move_slow", [False, True])
def test_stopped_stream_continues_from_its_copy(
    framing: str, move_answer: MoveAnswer, is_move_slow: bool
) -> None:
    engines = Engines(framing, move_answer, is_move_slow=is_move_slow)
    body, ends_early = _run(engines)
    assert body == EVENT_1 + EVENT_2
    assert not ends_early
    assert engines.sends == 2


# The same, when nothing tells where the stream could continue.
@pytest.mark.parametrize("framing", ["close", "chunks"])
@pytest.mark.parametrize("move_answer", [None, NO_HANDLE, IN_PROGRESS])
@pytest.mark.parametrize("is_move_slow", [False, True])
def test_stopped_stream_without_a_copy_visibly_ends_early(
    framing: str, move_answer: MoveAnswer, is_move_slow: bool
) -> None:
    engines = Engines(framing, move_answer, is_move_slow=is_move_slow)
    body, ends_early = _run(engines)
    assert body in (b"", EVENT_1)
    assert ends_early
    assert engines.sends == 1


def test_stream_that_ended_before_the_move_is_not_cut() -> None:
    # The engine doesn't run it any more, so the close was its own.
    engines = Engines("close", NO_SUCH_RUN, is_move_slow=True)
    body, ends_early = _run(engines)
    assert body == EVENT_1
    assert not ends_early


def test_end_of_chunks_shows_that_a_stream_is_whole() -> None:
    engines = Engines("ended", NO_SUCH_RUN, is_move_slow=True)
    body, ends_early = _run(engines)
    assert body == EVENT_1
    assert not ends_early
