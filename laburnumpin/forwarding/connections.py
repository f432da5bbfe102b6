"""HTTP/1.1 connections over `anyio`, read ahead so that an end is seen."""

from __future__ import annotations

from collections.abc import Callable
import select
import socket

import anyio
from anyio import abc
import h11

READ_BYTES = 65_536
# Bytes that are read ahead before the peer has to wait.
READ_AHEAD_BYTES = 262_144
# Time for unacknowledged bytes until a connection counts as dead.
USER_TIMEOUT_MS = 2_500
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2

# What `anyio` raises when a connection has ended; it passes on errors of the
# socket such as ETIMEDOUT.
CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)

Headers = list[tuple[bytes, bytes]]


class ConnectionLostError(Exception):
    """The connection was reset or ended in the middle of a message."""


class ProtocolError(Exception):
    """The peer sent bytes that are not a message of the protocol."""


def set_options(stream: abc.SocketStream) -> None:
    """Let the kernel find out when the peer is gone."""
    raw = stream.extra(abc.SocketAttribute.raw_socket)
    tcp = socket.IPPROTO_TCP
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(tcp, socket.TCP_NODELAY, 1)
    raw.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    raw.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    raw.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    raw.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class ReadAhead:
    """The bytes of a stream, read by a task of its own.

    `on_end` is called once when the peer has closed or reset.
    """

    __slots__ = (
        "_arrived",
        "_buffer",
        "_space",
        "_stream",
        "ended",
        "on_end",
        "was_reset",
    )

    def __init__(self, stream: abc.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._arrived = anyio.Event()
        self._space = anyio.Event()
        self.ended = False
        self.was_reset = False
        self.on_end: Callable[[], None] | None = None

    @property
    def has_bytes(self) -> bool:
        """Return whether bytes wait to be taken."""
        return bool(self._buffer)

    def has_closed(self) -> bool:
        """Return whether the peer has closed, be it read yet or not.

        While the process is busy, what a peer sent and its end wait together,
        and the end is read last.
        """
        if self.ended:
            return True
        try:
            number = self._stream.extra(abc.SocketAttribute.raw_socket).fileno()
            poll = select.poll()
            poll.register(number, select.POLLRDHUP)
            return bool(poll.poll(0))
        except (*CONNECTION_ERRORS, ValueError):
            return True  # The socket is closed on this side already.

    async def run(self) -> None:
        """Read until the peer closes."""
        while True:
            if len(self._buffer) >= READ_AHEAD_BYTES:
                self._space = anyio.Event()
                await self._space.wait()
            try:
                data = await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                break
            except CONNECTION_ERRORS:
                self.was_reset = True
                break
            self._buffer += data
            self._arrived.set()
        self.ended = True
        self._arrived.set()
        if self.on_end is not None:
            self.on_end()

    async def take(self) -> bytes:
        """Return the next bytes; none when the peer has closed in order.

        Raises:
            ConnectionLostError: The connection was reset.
        """
        while not self._buffer:
            if self.was_reset:
                raise ConnectionLostError("the connection was reset")
            if self.ended:
                return b""
            self._arrived = anyio.Event()
            await self._arrived.wait()
        data = bytes(self._buffer)
        self._buffer.clear()
        self._space.set()
        return data


class ClientConnection:
    """A connection to an upstream or to the platform."""

    __slots__ = (
        "_h11",
        "_reader",
        "_scope",
        "_sent",
        "_stream",
        "idle_since_ms",
        "keep_alive_ms",
        "uses",
    )

    def __init__(
        self, stream: abc.SocketStream, task_group: abc.TaskGroup
    ) -> None:
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self._reader = ReadAhead(stream)
        self._scope = anyio.CancelScope()
        self._sent: tuple[bytes, bytes, Headers] | None = None
        self.idle_since_ms = 0
        # The idle timeout that the peer announced, if any.
        self.keep_alive_ms: int | None = None
        self.uses = 0
        task_group.start_soon(self._read)

    async def _read(self) -> None:
        with self._scope:
            await self._reader.run()

    def is_reusable(self) -> bool:
        """Return whether a new request may be sent."""
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
            ConnectionLostError: The connection ended before all was sent.
        """
        self.uses += 1
        self._sent = (method, target, headers)
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
            ConnectionLostError: The connection ended before it.
            ProtocolError: The peer sent something else.
        """
        while True:
            event = await self._event()
            if isinstance(event, h11.Response):
                return event
            if isinstance(event, h11.InformationalResponse):
                continue
            raise ConnectionLostError("the connection was closed")

    async def chunk(self) -> bytes:
        """Return the next bytes of the body; none at its end.

        Raises:
            ConnectionLostError: The connection ended inside the body.
            ProtocolError: The peer sent something else.
        """
        while True:
            event = await self._event()
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
            ProtocolError: The peer sent something else.
        """
        read = bytearray()
        while True:
            chunk = await self.chunk()
            if not chunk:
                return bytes(read)
            read += chunk

    async def skip_response(self) -> None:
        """Read the rest of a response that belongs to an earlier request.

        The next response is then the one to the request that was sent.
        """
        await self.body()
        assert self._sent is not None
        rest = bytes(self._h11.trailing_data[0])
        if self._h11.their_state is h11.MUST_CLOSE:
            raise ConnectionLostError("the connection was closed")
        method, target, headers = self._sent
        self._h11 = h11.Connection(h11.CLIENT)
        self._h11.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        kept = [(n, v) for n, v in headers if n.lower() == b"content-length"]
        if kept and int(kept[0][1]):
            self._h11.send(h11.Data(data=bytes(int(kept[0][1]))))
        self._h11.send(h11.EndOfMessage())
        if rest:
            self._h11.receive_data(rest)

    def finish(self) -> bool:
        """Make the connection ready for a next request, if it can be."""
        if self._h11.trailing_data[0] or self._reader.has_bytes:
            return False
        if self._reader.ended:
            return False
        return start_next_cycle(self._h11)

    async def close(self) -> None:
        """Close without waiting for the peer."""
        self._scope.cancel()
        await anyio.aclose_forcefully(self._stream)

    async def _event(self) -> object:
        while True:
            try:
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    self._h11.receive_data(await self._reader.take())
                    continue
            except h11.RemoteProtocolError as error:
                if self._reader.ended and not self._reader.has_bytes:
                    raise ConnectionLostError(str(error)) from error
                raise ProtocolError(str(error)) from error
            return event


def start_next_cycle(connection: h11.Connection) -> bool:
    """Make a connection ready for a next request; False if it cannot be."""
    if connection.our_state is not h11.DONE:
        return False
    if connection.their_state is not h11.DONE:
        return False
    connection.start_next_cycle()
    return True


async def connect(
    address: str, task_group: abc.TaskGroup, timeout_ms: int
) -> ClientConnection:
    """Open a connection to `address`, an IP address with a port.

    Raises:
        ConnectionLostError: The address was not reached in time.
    """
    host, _, port = address.rpartition(":")
    stream: abc.SocketStream | None = None
    try:
        with anyio.move_on_after(timeout_ms / 1_000):
            stream = await anyio.connect_tcp(host, int(port))
    except OSError as error:
        raise ConnectionLostError(f"{address}: {error}") from error
    if stream is None:
        raise ConnectionLostError(f"{address}: no connection in time")
    try:
        set_options(stream)
    except OSError as error:
        await anyio.aclose_forcefully(stream)
        raise ConnectionLostError(f"{address}: {error}") from error
    return ClientConnection(stream, task_group)
