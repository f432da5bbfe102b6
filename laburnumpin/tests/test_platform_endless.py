"""Bytes without end, on all connections together.

What a single connection may keep is in `test_platform_trickles`.
"""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import re
import tracemalloc

import anyio
from anyio import abc
import pytest

from laburnumpin import exceptions
from laburnumpin.forwarding import buffers
from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import event_stream
from laburnumpin.forwarding import freshness
from laburnumpin.forwarding import interfaces
from laburnumpin.platform import clients
from laburnumpin.tests import forwarding_builders as build
from laburnumpin.tests import test_platform_relay as relay

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Laburnumpin-Attempt-Id: r%d\r\n"
    b"X-Laburnumpin-Response-Seal: s\r\n" + CHUNKED
)
FAILURE = b"HTTP/1.1 500 Failed\r\nX-Laburnumpin-Attempt-Id: r%d\r\n" + CHUNKED
BLOCK = b"ea60\r\n" + b"x" * 60_000 + b"\r\n"
BUDGET_BYTES = 1_000_000
# Most bytes of one connection that are read in a turn.
SLICE_BYTES = 16_384
CALLERS = 12
SINGLE_ROUTES = (
    build.calls(may_repeat=False, max_attempts=1),
    build.route(may_repeat=False, max_attempts=1),
)


async def _serve(
    task_group: abc.TaskGroup, block: bytes, repeated: bytes
) -> str:
    """Send bytes without end over each connection; return the address."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")

    async def handle(stream: abc.SocketStream) -> None:
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            async with stream:
                await stream.send(block)
                while True:
                    await stream.send(repeated)

    task_group.start_soon(listener.serve, handle)
    return f"127.0.0.1:{listener.extra(abc.SocketAttribute.local_port)}"


# A faulty runner sent bytes without end until its callers closed. The VM kept
# them all, and its process ended together with the requests of other callers.
@pytest.mark.parametrize("path", ["/reads/x", "/drafts/x"])
def test_answers_without_end_share_a_budget(path: str) -> None:
    all_sent = anyio.Event()

    async def script(connection: relay.UpstreamConnection) -> None:
        request = await connection.read_request()
        number = int(request.partition(b"Attempt-Id: r")[2].split(b"\r")[0])
        if number == CALLERS:
            await connection.send_answer(f"r{CALLERS}", b"of another caller")
            return
        head = FAILURE if path == "/reads/x" else HEAD
        await connection.stream.send(head % number)
        # Each connection keeps most of what it may before one goes on.
        for _ in range(15):
            await connection.stream.send(BLOCK)
        await all_sent.wait()
        while True:
            await connection.stream.send(BLOCK)

    async def run_callers(harness: relay.Harness) -> None:
        assert harness.frontend is not None
        shell = harness.frontend._shell
        shell.buffers = buffers.Budget(buffers.BufferSettings(BUDGET_BYTES))

        async def call(number: int) -> None:
            received = await harness.call(
                relay._encode_request(f"r{number}", path)
            )
            assert b"200" not in received.partition(b"\r\n")[0]

        async with anyio.create_task_group() as callers:
            for number in range(CALLERS):
                callers.start_soon(call, number)
            await anyio.sleep(0.3)
            received = await harness.call(
                relay._encode_request(f"r{CALLERS}", "/reads/y")
            )
            assert received.endswith(b"of another caller")
            all_sent.set()
        assert 0 < shell.buffers.peak_bytes <= BUDGET_BYTES
        assert shell.buffers.used_bytes == 0
        part = "failure" if path == "/reads/x" else "answer"
        assert shell.state.counters.value("buffers_full", part) > 0

    relay.run_with_frontend(script, run_callers, routes=SINGLE_ROUTES)


# Bodies of callers: 40 of 4 MB at once took 189 of 300 MB.
def test_bodies_of_callers_share_the_budget() -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.send_answer("r1", b"small")

    async def run_callers(harness: relay.Harness) -> None:
        assert harness.frontend is not None
        shell = harness.frontend._shell
        shell.buffers = buffers.Budget(buffers.BufferSettings(BUDGET_BYTES))
        host, _, port = harness.address.rpartition(":")
        size = 700_000
        head = relay._encode_request("r0").replace(
            b"Content-Length: 2\r\n\r\nhi", b"Content-Length: 700000\r\n\r\n"
        )
        async with await anyio.connect_tcp(host, int(port)) as first:
            await first.send(head + b"x" * (size - 1))
            async with await anyio.connect_tcp(host, int(port)) as second:
                received = b""
                with contextlib.suppress(anyio.BrokenResourceError):
                    await second.send(head + b"x" * (size - 1))
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    while True:
                        received += await second.receive()
            # The reset that follows may overtake the answer.
            assert not received or relay._status_code(received) == 503
            assert not received or b"retry-after: 0.500" in received.lower()
            counters = shell.state.counters
            assert counters.value("buffers_full", "body") == 1
            small = await harness.call(relay._encode_request("r1"))
            assert small.endswith(b"small")
            assert shell.buffers.used_bytes > 0
        assert shell.buffers.peak_bytes <= BUDGET_BYTES

    relay.run_with_frontend(script, run_callers, routes=SINGLE_ROUTES)


# The answer of the store, of the cloud API and of an engine to a call could
# have 64 MB, many times what they ever send.
@pytest.mark.parametrize("kind", ["store", "cloud", "engine"])
def test_platform_answer_without_end_takes_no_memory(kind: str) -> None:
    limit_bytes = 16_777_216 if kind == "store" else 262_144

    async def main() -> None:
        head = b"HTTP/1.1 200 OK\r\n" + CHUNKED
        async with anyio.create_task_group() as task_group:
            address = await _serve(task_group, head, BLOCK)
            tracemalloc.start()
            with pytest.raises(exceptions.LaburnumpinError):
                await call(address)
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            # A buffer that grows, its copy, and what the connection has read.
            assert peak_bytes < 3 * limit_bytes + 1_000_000
            task_group.cancel_scope.cancel()

    async def call(address: str) -> None:
        # Long enough to receive all that may be kept.
        times = freshness.CallTimes(answer_timeout_ms=20_000)
        if kind == "store":
            http = clients.HttpClient(
                address, times, clients.MAX_STORE_ANSWER_BYTES
            )
            store = clients.PlatformStore(http)
            await store.read(interfaces.Table.OPERATOR)
            return
        http = clients.HttpClient(address, times)
        if kind == "cloud":
            await clients.PlatformCloud(http, "e").report_usage(1, 1, {})
            return
        await http.call("POST", "/kv-move", {}, accepted_statuses=(503,))

    anyio.run(main)


# An idle connection kept 256 KB of what its upstream sent unasked, and nobody
# read it until the next request.
def test_bytes_on_an_idle_connection_end_it() -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.send_answer("r1", b"one")
        await anyio.sleep(0.05)
        while True:
            await connection.stream.send(b"x" * 1_000)

    async def run_callers(harness: relay.Harness) -> None:
        await harness.call(relay._encode_request("r1"))
        await harness.connection_ended.wait()

    relay.run_with_frontend(script, run_callers, routes=SINGLE_ROUTES)


# One connection with tiny chunks took the processor for a second at a time.
def test_tiny_chunks_leave_the_processor_to_others() -> None:
    turns = 0
    chunks = 3_000

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await anyio.sleep(0)

    async def main() -> None:
        head = b"HTTP/1.1 200 OK\r\n" + CHUNKED
        async with anyio.create_task_group() as task_group:
            address = await _serve(task_group, head, b"1\r\nx\r\n" * 40_000)
            connection = await connections.connect(address, 1_000)
            await connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
            await connection.head()
            await anyio.sleep(0.2)  # Fills the buffers.
            task_group.start_soon(count_turns)
            started_s = anyio.current_time()
            for _ in range(chunks):
                await connection.chunk()
            paced = chunks - connections.SMALL_CHUNKS_AT_ONCE
            # They can't be read sooner, however fast the machine is.
            least_s = (paced - connections.PACED_CHUNKS) / (
                connections.SMALL_CHUNKS_PER_S
            )
            assert anyio.current_time() - started_s >= least_s
            connection.close()
            task_group.cancel_scope.cancel()

    anyio.run(main)
    per_turn = SLICE_BYTES // len(b"1\r\nx\r\n")
    assert turns >= chunks // per_turn


# All that had arrived was read in one turn, 256 KB at a time.
def test_others_have_a_turn_between_two_slices() -> None:
    slices = 5
    # Sizes of what was read in each turn.
    read_bytes: list[list[int]] = [[]]

    async def read(stream: byte_stream.ByteStream) -> None:
        while stream.has_bytes:
            read_bytes[-1].append(len(await stream.receive()))

    async def count_turns() -> None:
        while True:
            read_bytes.append([])
            await anyio.sleep(0)

    async def main() -> None:
        stream = byte_stream.ByteStream(None)
        stream.data_received(b"x" * (slices * SLICE_BYTES + 1))
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(count_turns)
            await read(stream)
            task_group.cancel_scope.cancel()

    anyio.run(main)
    sizes = [size for turn in read_bytes for size in turn]
    assert sizes == [SLICE_BYTES] * slices + [1]
    # What is left in the end comes without a turn in between.
    assert all(sum(turn) <= SLICE_BYTES + 1 for turn in read_bytes)


# Each piece of an event without end was searched from its beginning again.
def test_event_without_end_is_searched_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    searched_bytes = 0

    class Pattern:
        def finditer(
            self, data: bytearray, start: int
        ) -> Iterator[re.Match[bytes]]:
            nonlocal searched_bytes
            searched_bytes += len(data) - start
            return pattern.finditer(data, start)

    pattern = event_stream._EVENT_END
    monkeypatch.setattr(event_stream, "_EVENT_END", Pattern())
    splitter = event_stream.Splitter()
    pieces = 200
    for _ in range(pieces):
        assert splitter.feed(b"x" * 1_000) == []
    assert searched_bytes <= pieces * (1_000 + len(b"\r\n\r\n"))


def test_end_of_an_event_is_found_in_pieces() -> None:
    splitter = event_stream.Splitter()
    for end in (b"\n\n", b"\r\n\r\n", b"\n\r\n"):
        for cut in range(len(end) + 1):
            assert splitter.feed(b"data: a" + end[:cut]) == (
                [b"data: a" + end] if cut == len(end) else []
            )
            if cut < len(end):
                assert splitter.feed(end[cut:]) == [b"data: a" + end]
            assert splitter.incomplete_bytes == 0
