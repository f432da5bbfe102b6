"""Limits on what callers may make an entry keep, parse and hold open."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import errno
import gc
import socket
import time
import tracemalloc
from typing import Any

import anyio
import h11
import hypothesis
from hypothesis import strategies as st
import pytest

from laburnumpin import exceptions
from laburnumpin.core import counters
from laburnumpin.forwarding import buffers
from laburnumpin.forwarding import caller as callers
from laburnumpin.forwarding import connections
from laburnumpin.forwarding.admission import caller_stream
from laburnumpin.forwarding.admission import gate as gates
from laburnumpin.forwarding.admission import listener
from laburnumpin.forwarding.admission import settings as admission_settings
from laburnumpin.forwarding.admission import turns
from laburnumpin.platform import settings as platform_settings
from laburnumpin.tests import test_platform_relay as relay

Phase = caller_stream.Phase
MAX_BODY_BYTES = 200_000
LONG_AGO_S = 100.0
CONNECTIONS = 8
SETTINGS = admission_settings.AdmissionSettings(CONNECTIONS, room_wait_ms=50)
HEAD = b"POST /reads/x HTTP/1.1\r\nHost: h.example\r\n"


class _Transport(asyncio.Transport):
    """Counts the pauses of reading; `was_ended` is whether it was ended."""

    def __init__(self) -> None:
        super().__init__({"socket": socket.socket()})
        self.reads = True
        self.was_ended = False
        self.written = b""

    def set_write_buffer_limits(self, *limits: int | None) -> None: ...
    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.was_ended

    def write(self, data: Any) -> None:
        self.written += bytes(data)

    def pause_reading(self) -> None:
        self.reads = False

    def resume_reading(self) -> None:
        self.reads = True

    def close(self) -> None:
        self.was_ended = True

    def abort(self) -> None:
        self.was_ended = True


class _Setting:
    """A gate, a budget, and connections without sockets."""

    def __init__(self, budget_bytes: int = 10_000_000) -> None:
        self.gate = gates.Gate(SETTINGS, counters.Counters())
        self.budget = buffers.Budget(buffers.BufferSettings(budget_bytes))

    def connect(
        self, phase: Phase = Phase.IDLE, silent_s: float = LONG_AGO_S
    ) -> tuple[caller_stream.CallerStream, _Transport]:
        assert self.gate.take_place()
        stream = self.gate.open(lambda _: None, "192.0.2.1")
        transport = _Transport()
        stream.connection_made(transport)
        stream.phase = phase
        stream.progress_s -= silent_s
        return stream, transport


def _run(main: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(relay.TIMEOUT_S):
            await main()

    anyio.run(run)


def _expected_bytes(fed: bytes, announced: int) -> int:
    """Return what is to be held after so much has arrived."""
    if not fed:
        return 0
    oracle = h11.Connection(h11.SERVER)
    oracle.receive_data(fed)
    if oracle.next_event() is h11.NEED_DATA:
        return len(fed)
    kept = 0
    while isinstance(event := oracle.next_event(), h11.Data):
        kept += len(event.data)
    return announced if announced > buffers.SHORT_BYTES else kept


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    sizes=st.lists(st.integers(1, 9_000), max_size=6),
    is_chunked=st.booleans(),
    cuts=st.lists(st.integers(0, 40_000), max_size=8),
)
def test_account_is_exact_for_any_split(
    sizes: list[int], is_chunked: bool, cuts: list[int]
) -> None:
    announced = 0 if is_chunked else sum(sizes)
    if is_chunked:
        text = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        for size in sizes:
            text += b"%x\r\n%s\r\n" % (size, b"x" * size)
        text += b"0\r\n\r\n"
    else:
        text = HEAD + b"Content-Length: %d\r\n\r\n" % announced
        text += b"x" * announced
    ends = [*sorted(cut for cut in cuts if cut < len(text)), len(text)]

    async def main() -> None:
        setting = _Setting()
        stream, _ = setting.connect()
        caller = callers.Caller(stream, 16_384, setting.gate)
        account = buffers.Account(setting.budget)
        bodies: list[bytes] = []

        async def read() -> None:
            await caller.read_head(60_000, 60_000, account)
            body = await caller.read_body(
                MAX_BODY_BYTES, 60_000, account, None, announced
            )
            bodies.append(body)

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(read)
            await anyio.sleep(0)
            fed = 0
            for end in ends:
                stream.data_received(text[fed:end])
                fed = end
                for _ in range(20):
                    await anyio.sleep(0)
                expected = _expected_bytes(text[:fed], announced)
                assert setting.budget.used_bytes == expected
        assert bodies == [b"x" * sum(sizes)]
        account.close()
        assert setting.budget.used_bytes == 0
        assert not any(setting.budget.bytes_by_part.values())

    _run(main)


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    pieces=st.lists(
        st.sampled_from(
            [
                HEAD,
                b"Content-Length: 50000\r\n\r\n",
                b"Transfer-Encoding: chunked\r\n\r\n",
                b"Expect: 100-continue\r\n",
                b"ff\r\n" + b"x" * 255 + b"\r\n",
                b"x" * 30_000,
                b"0\r\n\r\n",
            ]
        )
        | st.binary(max_size=50),
        max_size=8,
    )
)
def test_nothing_is_held_once_all_connections_are_gone(
    pieces: list[bytes],
) -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        while True:
            await connection.stream.receive()

    async def run_callers(harness: relay.Harness) -> None:
        assert harness.frontend is not None
        shell = harness.frontend._shell
        host, _, port = harness.address.rpartition(":")
        with contextlib.suppress(anyio.BrokenResourceError):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                for piece in pieces:
                    await stream.send(piece)
        assert shell.gate is not None
        while shell.gate.connections or harness.frontend.active:
            await anyio.sleep(0.01)
        assert shell.buffers.used_bytes == 0

    relay.run_with_frontend(script, run_callers)


# 300 callers that announced 400 MB took 201 MB before they were refused.
@pytest.mark.parametrize("expects", ["", "Expect: 100-continue\r\n"])
def test_announced_body_over_the_limit_is_refused_on_its_head(
    expects: str,
) -> None:
    head = HEAD + expects.encode() + b"Content-Length: 400000000\r\n\r\n"
    assert _refusal(head).startswith(b"HTTP/1.1 413")


# Bodies of requests without a route took as much room as others.
def test_long_body_without_a_route_is_not_read() -> None:
    request = relay._encode_request("r1", "/none/x", b"x" * 100_000)
    answer = _refusal(request[:-99_000])
    assert answer.startswith(b"HTTP/1.1 404")
    assert b"connection: close" in answer.lower()


# The reset that followed a refusal overtook it.
def test_refusal_reaches_a_caller_that_goes_on_sending() -> None:
    head = HEAD + b"Content-Length: 400000000\r\n\r\n"
    assert _refusal(head, more=b"x" * 300_000).startswith(b"HTTP/1.1 413")


def _refusal(text: bytes, more: bytes = b"") -> bytes:
    received = bytearray()

    async def script(connection: relay.UpstreamConnection) -> None:
        raise AssertionError("an upstream was called")

    async def run_callers(harness: relay.Harness) -> None:
        host, _, port = harness.address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(text)
            if more:
                await anyio.sleep(0.05)
                await stream.send(more)
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    received.extend(await stream.receive())
        assert harness.frontend is not None
        assert harness.frontend._shell.buffers.peak_bytes == 0

    relay.run_with_frontend(script, run_callers)
    return bytes(received)


# One connection kept the loop with 30,000 chunks of one byte each.
def test_small_chunks_are_parsed_in_turns() -> None:
    chunks = 1_000
    turns_taken = 0

    async def main() -> None:
        setting = _Setting()
        stream, _ = setting.connect()
        caller = callers.Caller(stream, 16_384, setting.gate)
        wait = setting.gate.turns.wait

        async def count() -> None:
            nonlocal turns_taken
            turns_taken += 1
            await wait()

        class _Counted(turns.Turns):
            wait = staticmethod(count)

        setting.gate.turns = _Counted(1.0)
        stream.data_received(
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * chunks
            + b"0\r\n\r\n"
        )
        await caller.read_head(60_000, 60_000)
        assert len(await caller.read_body(MAX_BODY_BYTES, 60_000)) == chunks

    _run(main)
    paced = chunks - turns.FREE_CHUNKS
    assert turns_taken >= paced // turns.CHUNKS_PER_TURN


def test_turns_are_given_one_at_a_time_and_in_order() -> None:
    given: list[int] = []

    async def main() -> None:
        shared = turns.Turns(0.5)

        async def take(number: int) -> None:
            for _ in range(3):
                await shared.wait()
                given.append(number)

        async with anyio.create_task_group() as task_group:
            for number in range(3):
                task_group.start_soon(take, number)

    _run(main)
    assert given == [0, 1, 2] * 3


def test_reading_pauses_while_little_is_unread() -> None:
    async def main() -> None:
        stream, transport = _Setting().connect()
        limit = caller_stream.READ_AHEAD_BYTES
        assert len(stream.get_buffer(-1)) == limit
        stream.data_received(b"x" * limit)
        assert not transport.reads
        assert len(await stream.receive()) == limit
        assert transport.reads

    _run(main)


def test_long_requests_leave_room_for_short_ones() -> None:
    async def main() -> None:
        setting = _Setting(budget_bytes=1_000_000)
        long = buffers.Account(setting.budget)
        assert long.try_to_hold("body", 800_000)
        assert not long.try_to_hold("body", 800_001)
        short = buffers.Account(setting.budget)
        assert short.try_to_hold("body", buffers.SHORT_BYTES)

    _run(main)


# Callers that stopped short of their end kept the room for all others.
def test_room_is_taken_from_the_caller_that_holds_most_for_longest() -> None:
    async def main() -> None:
        setting = _Setting(budget_bytes=1_000_000)
        rows = {}
        for name, held, silent_s in (
            ("sound", 500_000, 0.0),
            ("stalled", 250_000, LONG_AGO_S),
            ("less", 40_000, LONG_AGO_S),
        ):
            stream, _ = setting.connect(Phase.BODY, silent_s)
            account = buffers.Account(setting.budget)
            account.hold("body", held)
            stream.held_bytes = held
            rows[name] = (stream, account)

        async def give_back() -> None:
            stream, account = rows["stalled"]
            while stream.interruption is None:
                await anyio.sleep(0)
            account.close()

        waiting, _ = setting.connect(Phase.BODY, 0.0)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(give_back)
            await setting.gate.wait_for_room(
                waiting, buffers.Account(setting.budget), "body", 100_000
            )
        assert rows["sound"][0].interruption is None
        assert rows["less"][0].interruption is None
        with pytest.raises(buffers.BudgetExceededError):
            await setting.gate.wait_for_room(
                waiting, buffers.Account(setting.budget), "body", 900_000
            )

    _run(main)


# Bodies that waited for room kept their places for a second each.
def test_body_that_waits_for_room_can_lose_its_place() -> None:
    async def main() -> None:
        setting = _Setting(budget_bytes=1_000_000)
        buffers.Account(setting.budget).hold("body", 800_000)
        stream, _ = setting.connect(Phase.BODY, 0.0)

        async def evict() -> None:
            assert stream.phase is Phase.WAITING
            stream.evict()

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(evict)
            with pytest.raises(caller_stream.EvictedError):
                await setting.gate.wait_for_room(
                    stream, buffers.Account(setting.budget), "body", 100_000
                )

    _run(main)


@pytest.mark.parametrize(
    ("phase", "is_ended"),
    [
        (Phase.IDLE, True),
        (Phase.LEAVING, True),
        (Phase.HEAD, True),
        (Phase.BODY, True),
        (Phase.WAITING, True),
        (Phase.PARSING, True),
        (Phase.RUNNING, False),
    ],
)
def test_places_are_taken_from_callers_without_progress(
    phase: Phase, is_ended: bool
) -> None:
    async def main() -> None:
        setting = _Setting()
        streams = [setting.connect(phase) for _ in range(CONNECTIONS)]
        assert not setting.gate.take_place()
        assert setting.gate.is_full()
        ended = [s.interruption or t.was_ended for s, t in streams]
        assert any(ended) is is_ended
        assert not all(ended)

    _run(main)


@pytest.mark.parametrize("phase", list(Phase))
def test_callers_with_progress_keep_their_places(phase: Phase) -> None:
    async def main() -> None:
        setting = _Setting()
        streams = [setting.connect(phase, 0.0) for _ in range(CONNECTIONS)]
        assert not setting.gate.take_place()
        for stream, transport in streams:
            assert stream.interruption is None
            assert not transport.was_ended

    _run(main)


# A byte now and then is no progress.
def test_trickle_is_no_progress() -> None:
    async def main() -> None:
        stream, _ = _Setting().connect(Phase.BODY)
        since_s = stream.progress_s
        for _ in range(SETTINGS.progress_bytes - 1):
            stream.data_received(b"x")
        assert stream.progress_s == since_s
        stream.data_received(b"x")
        assert stream.progress_s > since_s

    _run(main)


# An entry had as many connections as its callers opened.
def test_listener_opens_no_more_connections_than_allowed() -> None:
    async def main() -> None:
        gate = gates.Gate(SETTINGS, counters.Counters())
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        most = 0
        opened = 0
        kernel_bytes = 0

        async def handle(stream: caller_stream.CallerStream) -> None:
            nonlocal most, opened, kernel_bytes
            stream.phase = Phase.RUNNING
            most = max(most, gate.connections)
            opened += 1
            assert stream._transport is not None
            raw = stream._transport.get_extra_info("socket")
            kernel_bytes = raw.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            await anyio.sleep(0.01)
            stream.close()

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(
                listener.serve, f"127.0.0.1:{port}", 64, gate, handle
            )
            await anyio.sleep(0.01)
            streams = []
            for _ in range(4 * CONNECTIONS):
                streams.append(await anyio.connect_tcp("127.0.0.1", port))
            while opened < 4 * CONNECTIONS:
                await anyio.sleep(0.01)
            for stream in streams:
                await anyio.aclose_forcefully(stream)
            task_group.cancel_scope.cancel()
        assert most == CONNECTIONS
        assert kernel_bytes <= 2 * listener.KERNEL_RECEIVE_BYTES

    _run(main)


@pytest.mark.parametrize("memory_mb", [64, 160, 300, 552])
@pytest.mark.parametrize("descriptors", [256, 4_100, 8_192])
def test_limits_fit_the_vm(memory_mb: int, descriptors: int) -> None:
    memory_bytes = memory_mb * 1_000_000
    connections = admission_settings.connections_for(memory_bytes, descriptors)
    left_bytes = admission_settings.left_bytes(memory_bytes)
    kept_bytes = left_bytes * admission_settings.BYTES_SHARE
    kept_bytes += connections * admission_settings.CONNECTION_BYTES
    assert kept_bytes + admission_settings.PROCESS_BYTES < memory_bytes
    assert 2 * connections < descriptors


@pytest.mark.parametrize(
    ("name", "value"),
    [("max_connections", 0), ("stall_ms", -1), ("parser_share", 2)],
)
def test_settings_out_of_range_are_errors(name: str, value: float) -> None:
    with pytest.raises(exceptions.ConfigurationError) as caught:
        platform_settings.decode({"callers": {name: value}})
    fields = [error.field for error in caught.value.errors]
    assert f"callers.{name}" in fields


def test_pauses_follow_the_share_of_the_parser(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    times_s = iter([10.0, 12.0])
    delays_s: list[float] = []

    async def main() -> None:
        shared = turns.Turns(0.25)
        loop = asyncio.get_running_loop()
        with monkeypatch.context() as patch:
            patch.setattr(time, "perf_counter", lambda: next(times_s))
            patch.setattr(loop, "call_later", lambda s, _: delays_s.append(s))
            await shared.wait()
            await anyio.sleep(0)

    _run(main)
    # A turn of 2 s and three times as long for others.
    assert delays_s == [6.0]


@contextlib.contextmanager
def _traced() -> Iterator[None]:
    """Count allocations, without collections of reference cycles."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


# Reference cycles kept 614 MB of ended bodies until the next collection.
def test_ended_requests_keep_no_bodies() -> None:
    size_bytes = 500_000

    async def script(connection: relay.UpstreamConnection) -> None:
        while True:
            await connection.read_request()
            await connection.send_answer("r1", b"done")

    async def run_callers(harness: relay.Harness) -> None:
        with _traced():
            for _ in range(8):
                request = relay._encode_request("r1", body=b"x" * size_bytes)
                assert b"200" in (await harness.call(request))[:15]
            del request
            assert tracemalloc.get_traced_memory()[0] < 3 * size_bytes

    relay.run_with_frontend(script, run_callers)


# The error of a failed attempt kept the body until the next collection.
def test_failed_attempts_keep_no_bodies() -> None:
    size_bytes = 500_000
    requests_read = 0

    async def script(connection: relay.UpstreamConnection) -> None:
        nonlocal requests_read
        while True:
            await connection.read_request()
            requests_read += 1
            if requests_read % 2:
                return
            await connection.send_answer("r1", b"done")

    async def run_callers(harness: relay.Harness) -> None:
        with _traced():
            for _ in range(8):
                request = relay._encode_request("r1", body=b"x" * size_bytes)
                assert b"200" in (await harness.call(request))[:15]
            del request
            assert tracemalloc.get_traced_memory()[0] < 3 * size_bytes

    relay.run_with_frontend(script, run_callers, upstreams=2)


# The traceback of a refusal kept the body until its caller had gone.
def test_refused_callers_keep_no_bodies() -> None:
    size_bytes = 1_000_000

    async def script(connection: relay.UpstreamConnection) -> None:
        raise AssertionError("an upstream was called")

    async def run_callers(harness: relay.Harness) -> None:
        host, _, port = harness.address.rpartition(":")
        text = relay._encode_request("r1", "/reads/x", b"").replace(
            b"Content-Length: 0", b"Transfer-Encoding: chunked"
        )
        text += b"%x\r\n%s\r\nnone\r\n" % (size_bytes, b"x" * size_bytes)
        async with await anyio.connect_tcp(host, int(port)) as stream:
            with _traced():
                await stream.send(text)
                assert (await stream.receive()).startswith(b"HTTP/1.1 400")
                assert tracemalloc.get_traced_memory()[0] < size_bytes / 2

    relay.run_with_frontend(script, run_callers)


# A body that its upstream did not read was kept three times.
def test_body_is_not_copied_while_it_is_sent() -> None:
    body = b"x" * 8_000_000
    headers = [(b"Host", b"h"), (b"Content-Length", b"%d" % len(body))]

    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = f"127.0.0.1:{server.getsockname()[1]}"
            connection = await connections.connect(address, 5_000)
            with _traced():
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(
                        connection.send, b"POST", b"/", headers, body
                    )
                    await anyio.sleep(0.05)
                    kept_bytes, _ = tracemalloc.get_traced_memory()
                    task_group.cancel_scope.cancel()
            connection.close()
        assert kept_bytes < len(body) / 4

    _run(main)


# The next request was sent where the rest of a long body was due.
def test_connection_with_half_a_body_is_not_used_again() -> None:
    body = b"x" * 16_000_000
    headers = [(b"Host", b"h"), (b"Content-Length", b"%d" % len(body))]

    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = f"127.0.0.1:{server.getsockname()[1]}"
            connection = await connections.connect(address, 5_000)
            accepted, _ = server.accept()
            with accepted:
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(
                        connection.send, b"POST", b"/", headers, body
                    )
                    accepted.send(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                    )
                    assert (await connection.head()).status_code == 200
                    assert await connection.body(2) == b"ok"
                    task_group.cancel_scope.cancel()
                assert not connection.finish()
            connection.close()

    _run(main)


class _FailingSocket(socket.socket):
    """Listens, but has no descriptors for the first connections."""

    failures = 3

    def accept(self) -> tuple[socket.socket, Any]:
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, "too many open files")
        return super().accept()


# A connection that could not be opened kept its place for good.
def test_listener_accepts_after_failures(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        gate = gates.Gate(SETTINGS, counters.Counters())
        opened = anyio.Event()
        loop = asyncio.get_running_loop()
        connect = loop.connect_accepted_socket
        failures = CONNECTIONS

        async def fail_first(factory: Any, accepted: socket.socket) -> Any:
            nonlocal failures
            if failures:
                failures -= 1
                raise OSError(errno.ENOTCONN, "the peer has reset")
            return await connect(factory, accepted)

        with monkeypatch.context() as patch:
            patch.setattr(loop, "connect_accepted_socket", fail_first)
            listening = _FailingSocket()
            listening.setblocking(False)
            listening.bind(("127.0.0.1", 0))
            listening.listen(64)
            port = listening.getsockname()[1]
            server = listener._Listener(listening, gate, lambda _: opened.set())
            server.resume()
            streams = []
            for _ in range(CONNECTIONS + 1):
                streams.append(await anyio.connect_tcp("127.0.0.1", port))
            await opened.wait()
            assert gate.connections == 1
            server.close()
            for stream in streams:
                await anyio.aclose_forcefully(stream)

    _run(main)


# A request that was in the socket got a reset.
def test_idle_caller_whose_request_has_arrived_keeps_its_place() -> None:
    async def main() -> None:
        setting = _Setting()
        ours, theirs = socket.socketpair()
        with ours, theirs:
            rows = []
            for _ in range(CONNECTIONS):
                rows.append(setting.connect(Phase.IDLE, 0.0))
            rows[0][1]._extra["socket"] = ours  # type: ignore[attr-defined]
            theirs.send(b"POST")
            for stream, _ in rows:
                stream.progress_s -= LONG_AGO_S
            rows[0][0].progress_s -= LONG_AGO_S
            setting.gate._last_search_s["place"] = 0.0
            setting.gate.take_place()
            assert not rows[0][1].was_ended
            assert any(transport.was_ended for _, transport in rows)

    _run(main)


# What else the loop had to run counted as the time of a turn.
def test_turns_do_not_pay_for_other_tasks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = 10.0
    delays_s: list[float] = []

    async def main() -> None:
        shared = turns.Turns(0.25)
        loop = asyncio.get_running_loop()

        def work() -> None:
            nonlocal now_s
            now_s += 5.0

        async def take() -> None:
            nonlocal now_s
            await shared.wait()
            now_s += 2.0

        with monkeypatch.context() as patch:
            patch.setattr(time, "perf_counter", lambda: now_s)
            patch.setattr(loop, "call_later", lambda s, _: delays_s.append(s))
            task = loop.create_task(take())
            # Between the turn that is given and its task.
            loop.call_soon(loop.call_soon, work)
            await task
            await anyio.sleep(0)

    _run(main)
    assert delays_s == [6.0]


# The time since the last turn counted as that of a cancelled one.
def test_cancelled_turn_takes_no_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = 10.0
    delays_s: list[float] = []

    async def main() -> None:
        nonlocal now_s
        shared = turns.Turns(0.25)
        loop = asyncio.get_running_loop()

        def call_later(delay_s: float, callback: Callable[[], None]) -> None:
            delays_s.append(delay_s)
            loop.call_soon(callback)

        with monkeypatch.context() as patch:
            patch.setattr(time, "perf_counter", lambda: now_s)
            patch.setattr(loop, "call_later", call_later)
            await shared.wait()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            now_s += 100.0
            task = loop.create_task(shared.wait())
            # Between the turn that is given and its task.
            loop.call_soon(lambda: loop.call_soon(task.cancel))
            with pytest.raises(asyncio.CancelledError):
                await task
            await asyncio.sleep(0)

    _run(main)
    assert delays_s == [0.0, 0.0]


# An idle caller counted as holding the body of its last request.
def test_caller_that_waits_for_its_next_request_holds_nothing() -> None:
    async def main() -> None:
        setting = _Setting()
        stream, _ = setting.connect()
        caller = callers.Caller(stream, 16_384, setting.gate)
        account = buffers.Account(setting.budget)
        size_bytes = 50_000
        stream.data_received(HEAD + b"Content-Length: %d\r\n\r\n" % size_bytes)
        await caller.read_head(60_000, 60_000, account)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(
                caller.read_body,
                MAX_BODY_BYTES,
                60_000,
                account,
                None,
                size_bytes,
            )
            await anyio.wait_all_tasks_blocked()
            assert stream.held_bytes == size_bytes
            stream.data_received(b"x" * size_bytes)
        caller.enter(Phase.RUNNING)
        await caller.answer(200, [(b"Content-Length", b"0")], b"")
        assert caller.prepare_next_request()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(caller.read_head, 60_000, 60_000, account)
            await anyio.wait_all_tasks_blocked()
            assert stream.held_bytes == 0
            task_group.cancel_scope.cancel()

    _run(main)
