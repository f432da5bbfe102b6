"""HTTP/1.1 connections over `anyio`, with a reader task for each.

The task detects a close or reset by the peer even while no data is awaited.
"""

from __future__ import annotations

from collections.abc import Callable
import select
import socket

import anyio
from anyio import abc
import h11

READ_BYTES = 65_536
# Reading pauses while this many bytes are buffered, so that flow control stops
# the peer.
READ_AHEAD_BYTES = 262_144
# Time that sent bytes may stay unacknowledged before the kernel closes the
# connection.
TCP_USER_TIMEOUT_MS = 2_500
TCP_KEEP_ALIVE_IDLE_S = 2
TCP_KEEP_ALIVE_INTERVAL_S = 1
TCP_KEEP_ALIVE_PROBES = 2

# Exceptions of `anyio` for a connection that has ended. It passes on errors of
# the socket, such as ETIMEDOUT, as `OSError`.
CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)

Headers = list[tuple[bytes, bytes]]


class ConnectionLostError(Exception):
    """The connection failed, was reset, or ended in the middle of a message."""


class ProtocolError(Exception):
    """The peer sent bytes that are not valid HTTP/1.1."""


def set_socket_options(stream: abc.SocketStream) -> None:
    """Detect a dead peer by kernel timeouts, and send small writes at once."""
    raw = stream.extra(abc.SocketAttribute.raw_socket)
    tcp = socket.IPPROTO_TCP
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(tcp, socket.TCP_NODELAY, 1)
    raw.setsockopt(tcp, socket.TCP_KEEPIDLE, TCP_KEEP_ALIVE_IDLE_S)
    raw.setsockopt(tcp, socket.TCP_KEEPINTVL, TCP_KEEP_ALIVE_INTERVAL_S)
    raw.setsockopt(tcp, socket.TCP_KEEPCNT, TCP_KEEP_ALIVE_PROBES)
    raw.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class ReadAhead:
    """Buffers the bytes of a stream, which `run` reads in a separate task.

    `on_end` is called once, when the peer has closed or reset the connection.
    """

    __slots__ = (
        "_buffer",
        "_data_available",
        "_space_available",
        "_stream",
        "ended",
        "on_end",
        "was_reset",
    )

    def __init__(self, stream: abc.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._data_available = anyio.Event()
        self._space_available = anyio.Event()
        self.ended = False
        self.was_reset = False
        self.on_end: Callable[[], None] | None = None

    @property
    def has_bytes(self) -> bool:
        """Return whether bytes are buffered."""
        return bool(self._buffer)

    def has_closed(self) -> bool:
        """Return whether the peer has closed, even if that is unread yet.

        While the process is busy, data and the close of a peer queue up in
        the socket, and the close is read last.
        """
        if self.ended:
            return True
        try:
            descriptor = self._stream.extra(
                abc.SocketAttribute.raw_socket
            ).fileno()
            poll = select.poll()
            poll.register(descriptor, select.POLLRDHUP)
            return bool(poll.poll(0))
        except (*CONNECTION_ERRORS, ValueError):
            return True  # This side has closed the socket already.

    async def run(self) -> None:
        """Read until the peer closes or resets the connection."""
        while True:
            if len(self._buffer) >= READ_AHEAD_BYTES:
                self._space_available = anyio.Event()
                await self._space_available.wait()
            try:
                data = await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                break
            except CONNECTION_ERRORS:
                self.was_reset = True
                break
            self._buffer += data
            self._data_available.set()
        self.ended = True
        self._data_available.set()
        if self.on_end is not None:
            self.on_end()

    async def receive(self) -> bytes:
        """Return the next bytes; none when the peer has closed normally.

        Raises:
            ConnectionLostError: The connection was reset.
        """
        while not self._buffer:
            if self.was_reset:
                raise ConnectionLostError("the connection was reset")
            if self.ended:
                return b""
            self._data_available = anyio.Event()
            await self._data_available.wait()
        data = bytes(self._buffer)
        self._buffer.clear()
        self._space_available.set()
        return data


class ClientConnection:
    """An HTTP/1.1 client connection to an upstream or to the platform.

    `keep_alive_ms` is the idle timeout that the server announced, if any;
    `idle_since_ms` is set by the pool.
    """

    __slots__ = (
        "_h11",
        "_last_request",
        "_read_scope",
        "_reader",
        "_stream",
        "idle_since_ms",
        "keep_alive_ms",
        "requests_sent",
    )

    def __init__(
        self, stream: abc.SocketStream, task_group: abc.TaskGroup
    ) -> None:
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self._reader = ReadAhead(stream)
        self._read_scope = anyio.CancelScope()
        self._last_request: tuple[bytes, bytes, Headers] | None = None
        self.idle_since_ms = 0
        self.keep_alive_ms: int | None = None
        self.requests_sent = 0
        task_group.start_soon(self._read)

    async def _read(self) -> None:
        with self._read_scope:
            await self._reader.run()

    def is_reusable(self) -> bool:
        """Return whether another request may be sent.

        The connection has to be open and idle, without unsolicited bytes.
        """
        if self._reader.ended or self._reader.has_bytes:
            return False
        return (
            self._h11.our_state is h11.IDLE
            and self._h11.their_state is h11.IDLE
            and not self._h11.trailing_data[0]
        )

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send a request.

        Raises:
            ConnectionLostError: The connection ended before the whole request
                was sent.
        """
        self.requests_sent += 1
        self._last_request = (method, target, headers)
        data = self._h11.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        assert data is not None
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        try:
            await self._stream.send(data)
        except CONNECTION_ERRORS as error:
            raise ConnectionLostError(str(error)) from error

    async def head(self) -> h11.Response:
        """Return the head of the next final response.

        Raises:
            ConnectionLostError: The connection ended before the head.
            ProtocolError: The peer did not send a valid response.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if isinstance(event, h11.InformationalResponse):
                continue
            raise ConnectionLostError("the connection was closed")

    async def chunk(self) -> bytes:
        """Return the next bytes of the body; none at its end.

        Raises:
            ConnectionLostError: The connection ended inside the body.
            ProtocolError: The peer did not send a valid response.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                return b""
            raise ConnectionLostError("the connection was closed")

    async def body(self) -> bytes:
        """Return the rest of the body.

        Raises:
            ConnectionLostError: The connection ended inside the body.
            ProtocolError: The peer did not send a valid response.
        """
        read = bytearray()
        while True:
            chunk = await self.chunk()
            if not chunk:
                return bytes(read)
            read += chunk

    async def skip_response(self) -> None:
        """Discard a response that belongs to an earlier request.

        The parser starts anew, as if the last request had just been sent, so
        that the next response can be read.

        Raises:
            ConnectionLostError: The connection ended with that response.
            ProtocolError: The peer did not send a valid response.
        """
        await self.body()
        assert self._last_request is not None
        unparsed = bytes(self._h11.trailing_data[0])
        if self._h11.their_state is h11.MUST_CLOSE:
            raise ConnectionLostError("the connection was closed")
        method, target, headers = self._last_request
        self._h11 = h11.Connection(h11.CLIENT)
        self._h11.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        lengths = [(n, v) for n, v in headers if n.lower() == b"content-length"]
        if lengths and int(lengths[0][1]):
            self._h11.send(h11.Data(data=bytes(int(lengths[0][1]))))
        self._h11.send(h11.EndOfMessage())
        if unparsed:
            self._h11.receive_data(unparsed)

    def finish(self) -> bool:
        """Reset for the next request; return False if none can follow."""
        if self._h11.trailing_data[0] or self._reader.has_bytes:
            return False
        if self._reader.ended:
            return False
        return start_next_cycle(self._h11)

    async def close(self) -> None:
        """Close without waiting for the peer."""
        self._read_scope.cancel()
        await anyio.aclose_forcefully(self._stream)

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    self._h11.receive_data(await self._reader.receive())
                    continue
            except h11.RemoteProtocolError as error:
                if self._reader.ended and not self._reader.has_bytes:
                    raise ConnectionLostError(str(error)) from error
                raise ProtocolError(str(error)) from error
            return event


def start_next_cycle(connection: h11.Connection) -> bool:
    """Reset the parser for the next request; return False if none can follow.

    The request and the response both have to be complete.
    """
    if connection.our_state is not h11.DONE:
        return False
    if connection.their_state is not h11.DONE:
        return False
    connection.start_next_cycle()
    return True


async def connect(
    address: str, task_group: abc.TaskGroup, timeout_ms: int
) -> ClientConnection:
    """Open a connection to `address`, given as `IP:PORT`.

    Raises:
        ConnectionLostError: The connection was refused or timed out.
    """
    host, _, port = address.rpartition(":")
    stream: abc.SocketStream | None = None
    try:
        with anyio.move_on_after(timeout_ms / 1_000):
            stream = await anyio.connect_tcp(host, int(port))
    except OSError as error:
        raise ConnectionLostError(f"{address}: {error}") from error
    if stream is None:
        raise ConnectionLostError(f"{address}: connect timed out")
    try:
        set_socket_options(stream)
    except OSError as error:
        await anyio.aclose_forcefully(stream)
        raise ConnectionLostError(f"{address}: {error}") from error
    return ClientConnection(stream, task_group)
