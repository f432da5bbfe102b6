"""TCP connections whose received bytes are buffered in one callback.

The event loop hands bytes over without a task or a timer of their own, and
reports a close or reset by the peer even while no data is awaited.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import select
import socket
import struct
from typing import Any

import anyio
from anyio import abc

# Reading pauses while this many bytes are buffered, so that flow control stops
# the peer.
READ_AHEAD_BYTES = 65_536
# `receive` returns at most so many bytes, and other tasks run before the next
# ones that are buffered: a peer that never stops sending must not take the
# processor from the others.
MAX_RECEIVE_BYTES = 16_384
# Time that sent bytes may stay unacknowledged before the kernel closes the
# connection.
TCP_USER_TIMEOUT_MS = 2_500
TCP_KEEP_ALIVE_IDLE_S = 2
TCP_KEEP_ALIVE_INTERVAL_S = 1
TCP_KEEP_ALIVE_PROBES = 2
# A closed connection is aborted if the peer has not taken the written bytes
# after this time.
CLOSE_TIMEOUT_S = 1.0
# Where the event loop reads into before the bytes are copied to the buffer of
# their connection; one for the process, which has one event loop.
_RECEIVED = memoryview(bytearray(READ_AHEAD_BYTES))


class StreamClosedError(Exception):
    """The connection was closed or reset."""


class ByteStream(asyncio.BufferedProtocol):
    """One TCP connection.

    At most `read_ahead_bytes` are read at once, and reading pauses while so
    many are buffered.

    `ended` is whether the peer has closed or reset the connection, and
    `was_reset` whether it did not close it normally. `on_end` is called once,
    when `ended` becomes true. At most one task may wait in `receive`, and one
    in `send`.
    """

    __slots__ = (
        "_buffer",
        "_is_idle",
        "_loop",
        "_on_open",
        "_reader",
        "_reading_paused",
        "_timer",
        "_transport",
        "_wait_until_s",
        "_writer",
        "_writing_paused",
        "ended",
        "interruption",
        "on_end",
        "was_reset",
    )

    read_ahead_bytes = READ_AHEAD_BYTES

    def __init__(self, on_open: Callable[[ByteStream], None] | None) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_open = on_open
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._is_idle = False
        self._reading_paused = False
        self._writing_paused = False
        # What `receive` and `send` wait for.
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        # Timeout of the current wait in `receive`, on the loop's clock. The
        # timer is kept across waits, and set again only if it is early.
        self._wait_until_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.ended = False
        self.was_reset = False
        # What `receive` raises instead of waiting.
        self.interruption: Exception | None = None
        self.on_end: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(0)
        try:
            _set_socket_options(transport.get_extra_info("socket"))
        except OSError:
            transport.abort()  # The peer has reset the connection already.
        if self._on_open is not None:
            self._on_open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read into; called by the event loop."""
        return _RECEIVED[: self.read_ahead_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read; called by the event loop."""
        self.data_received(_RECEIVED[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Buffer bytes."""
        if self._is_idle:
            self.abort()
            return
        self._buffer += data
        if len(self._buffer) >= self.read_ahead_bytes and self._transport:
            self._reading_paused = True
            self._transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> bool:
        """Record a normal close by the peer; called by the event loop."""
        self._end()
        return True  # This side may still write.

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection; called by the event loop."""
        if not self.ended or exc is not None:
            self.was_reset = True
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._end()
        _wake(self._writer)

    def pause_writing(self) -> None:
        """Make `send` wait; called by the event loop."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Let `send` go on; called by the event loop."""
        self._writing_paused = False
        _wake(self._writer)

    @property
    def has_bytes(self) -> bool:
        """Return whether received bytes are buffered."""
        return bool(self._buffer)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the kernel has not taken."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def has_sent_all(self) -> bool:
        """Return whether all that was written was sent, and not rejected.

        A peer that has closed rejects what still arrives with a reset, which
        may be unread yet.
        """
        if self.was_reset or self._transport is None or self.unsent_bytes:
            return False
        return not self._poll(0)

    def has_closed(self) -> bool:
        """Return whether the peer has closed, even if that is unread yet.

        While the process is busy, data and the close of a peer queue up in
        the socket, and the close is read last.
        """
        if self.ended or self._transport is None:
            return True
        return bool(self._poll(select.POLLRDHUP))

    def has_unread(self) -> bool:
        """Return whether bytes have arrived, even if they are unread yet."""
        if self._buffer:
            return True
        if self.ended or self._transport is None:
            return False
        return bool(self._poll(select.POLLIN) & select.POLLIN)

    def _poll(self, events: int) -> int:
        """Return which of some events, and which errors, the socket has."""
        assert self._transport is not None
        descriptor = self._transport.get_extra_info("socket").fileno()
        if descriptor < 0:
            return select.POLLNVAL  # This side has closed the socket already.
        poll = select.poll()
        poll.register(descriptor, events)
        seen = 0
        for _, found in poll.poll(0):
            seen |= found
        return seen

    async def receive(self, timeout_ms: int | None = None) -> bytes:
        """Return the next bytes; none when the peer has closed normally.

        Raises:
            StreamClosedError: The connection was reset, or closed here.
            TimeoutError: Nothing arrived within the timeout.
            Exception: The one of `interrupt`.
        """
        while not self._buffer:
            if self.interruption is not None:
                raise self.interruption
            if self.was_reset:
                raise StreamClosedError("the connection was reset")
            if self.ended:
                return b""
            await self._wait_for_data(timeout_ms)
        data = bytes(self._buffer[:MAX_RECEIVE_BYTES])
        del self._buffer[:MAX_RECEIVE_BYTES]
        if self._buffer:
            await asyncio.sleep(0)
            return data
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()
        return data

    def interrupt(self, error: Exception) -> None:
        """Make `receive` raise an error instead of waiting."""
        self.interruption = error
        _wake(self._reader)

    def end_sending(self) -> None:
        """Tell the peer that nothing more will be written."""
        if self._transport is None or self._transport.is_closing():
            return
        with contextlib.suppress(OSError):
            self._transport.write_eof()

    def set_idle(self, is_idle: bool) -> None:
        """Set whether received bytes end the connection, instead of waiting."""
        self._is_idle = is_idle

    async def send(self, data: bytes) -> None:
        """Write bytes, and wait until the kernel has taken them.

        Raises:
            StreamClosedError: The connection has ended.
        """
        self.write(data)
        await self.drain()

    def write(self, data: bytes) -> None:
        """Write bytes without waiting; the rest is sent in the background.

        Raises:
            StreamClosedError: The connection has ended.
        """
        if self._transport is None or self._transport.is_closing():
            raise StreamClosedError("the connection has ended")
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the kernel has taken all written bytes.

        Raises:
            StreamClosedError: The connection has ended.
        """
        while self._writing_paused and self._transport is not None:
            self._writer = self._loop.create_future()
            try:
                await self._writer
            finally:
                self._writer = None
        if self._transport is None:
            raise StreamClosedError("the connection was lost")

    def close(self) -> None:
        """Close once the written bytes have been handed to the kernel."""
        if self._transport is None:
            return
        self._transport.close()
        if self._transport.get_write_buffer_size():
            self._loop.call_later(CLOSE_TIMEOUT_S, self._transport.abort)

    def abort(self) -> None:
        """Close at once; unsent bytes are lost."""
        if self._transport is not None:
            self._transport.abort()

    def set_reset_on_close(self, enabled: bool) -> None:
        """Set whether any end of this side resets the connection.

        The kernel does so even if the process is killed.
        """
        if self._transport is None:
            return
        seconds = 0
        linger = struct.pack("ii", int(enabled), seconds)
        raw = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # The peer has reset it already.
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def _wait_for_data(self, timeout_ms: int | None) -> None:
        """Wait for bytes or for the end of the connection."""
        self._reader = self._loop.create_future()
        try:
            if timeout_ms is not None:
                self._arm_timer(self._loop.time() + timeout_ms / 1_000)
            await self._reader
        finally:
            self._reader = None
            self._wait_until_s = 0.0

    def _arm_timer(self, until_s: float) -> None:
        self._wait_until_s = until_s
        if self._timer is not None:
            if self._timer.when() <= until_s:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(until_s, self._check_timeout)

    def _check_timeout(self) -> None:
        self._timer = None
        if self._reader is None or self._reader.done():
            return
        if not self._wait_until_s:
            return  # This wait has no timeout; the timer was an earlier one's.
        if self._loop.time() < self._wait_until_s:
            self._arm_timer(self._wait_until_s)
            return
        self._reader.set_exception(TimeoutError("no data within the timeout"))

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        _wake(self._reader)
        if self.on_end is not None:
            self.on_end()


async def connect(address: str) -> ByteStream:
    """Open a connection to `address`, given as `IP:PORT`.

    Raises:
        OSError: The connection was refused.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(
        lambda: ByteStream(None), host, int(port)
    )
    return stream


async def serve(
    address: str,
    backlog: int,
    handle: Callable[[ByteStream], Coroutine[Any, Any, None]],
    *,
    task_status: abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections until cancelled; `handle` runs in a task for each.

    Reports the bound address, given as `IP:PORT`, to `task_status`. `handle`
    has to catch the errors of its connection.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with anyio.create_task_group() as task_group:

        def start(stream: ByteStream) -> None:
            task_group.start_soon(handle, stream)

        server = await loop.create_server(
            lambda: ByteStream(start), host, int(port), backlog=backlog
        )
        bound_port = server.sockets[0].getsockname()[1]
        task_status.started(f"{host}:{bound_port}")
        try:
            await anyio.sleep_forever()
        finally:
            server.close()


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def _set_socket_options(raw: socket.socket) -> None:
    """Detect a dead peer by kernel timeouts, and send small writes at once."""
    tcp = socket.IPPROTO_TCP
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(tcp, socket.TCP_NODELAY, 1)
    raw.setsockopt(tcp, socket.TCP_KEEPIDLE, TCP_KEEP_ALIVE_IDLE_S)
    raw.setsockopt(tcp, socket.TCP_KEEPINTVL, TCP_KEEP_ALIVE_INTERVAL_S)
    raw.setsockopt(tcp, socket.TCP_KEEPCNT, TCP_KEEP_ALIVE_PROBES)
    raw.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
