"""HTTP/1.1 client connections to upstreams and to the platform."""

from __future__ import annotations

import anyio
import h11

from laburnumpin.forwarding import buffers
from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import completeness
from laburnumpin.framing import defects
from laburnumpin.framing import parser

# Longest body of an answer to an earlier request that is skipped.
MAX_SKIPPED_BODY_BYTES = 1_048_576
# Most bytes of a body that are written at once.
SENT_SLICE_BYTES = 65_536
# Interim responses (1xx) before a final one.
MAX_INFORMATIONAL_RESPONSES = 16
# Statuses above this are invalid (RFC 9110, section 15); the parser rejects
# those below 100.
MAX_STATUS = 599
# Parsing a chunk takes the same time whatever its length. Of bodies in chunks
# below this length, so many are read at once, and then so many a second.
MIN_CHUNK_BYTES = 16
SMALL_CHUNKS_AT_ONCE = 2_000
SMALL_CHUNKS_PER_S = 500
# Small chunks between two pauses.
PACED_CHUNKS = 50

Headers = list[tuple[bytes, bytes]]


class ConnectionLostError(Exception):
    """The connection failed, was reset, or ended in the middle of a message."""


class ProtocolError(Exception):
    """The peer sent bytes that are not valid HTTP/1.1."""


class ClientConnection:
    """An HTTP/1.1 client connection to an upstream or to the platform.

    `keep_alive_ms` is the idle timeout that the server announced, if any;
    `idle_since_ms` is set by the pool.
    """

    __slots__ = (
        "_h11",
        "_is_sent",
        "_last_request",
        "_lines",
        "_small_chunks",
        "_stream",
        "idle_since_ms",
        "keep_alive_ms",
        "requests_sent",
    )

    def __init__(self, stream: byte_stream.ByteStream) -> None:
        self._stream = stream
        self._h11, self._lines = parser.create(h11.CLIENT)
        # Whether the stream has taken the whole last request. An answer may
        # come earlier, while the peer still expects the rest of the body.
        self._is_sent = True
        self._last_request: tuple[bytes, bytes, Headers] | None = None
        # Small chunks of the current response.
        self._small_chunks = 0
        self.idle_since_ms = 0
        self.keep_alive_ms: int | None = None
        self.requests_sent = 0

    def is_reusable(self) -> bool:
        """Return whether another request may be sent.

        The connection has to be open and idle, without unsolicited bytes.
        """
        if self._stream.ended or self._stream.has_bytes:
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
        self._small_chunks = 0
        self._lines.start_message()
        self._last_request = (method, target, headers)
        data = self._h11.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        assert data is not None
        encoded_body = b""
        if body:
            encoded_body = self._h11.send(h11.Data(data=body)) or b""
        end = self._h11.send(h11.EndOfMessage()) or b""
        try:
            if len(encoded_body) <= SENT_SLICE_BYTES:
                await self._stream.send(data + encoded_body + end)
                return
            # Slices, so that no second copy of the body is kept.
            self._is_sent = False
            await self._stream.send(data)
            for start in range(0, len(encoded_body), SENT_SLICE_BYTES):
                await self._stream.send(
                    encoded_body[start : start + SENT_SLICE_BYTES]
                )
            self._stream.write(end)
            self._is_sent = True
            await self._stream.drain()
        except byte_stream.StreamClosedError as error:
            raise ConnectionLostError(str(error)) from error

    async def head(self) -> h11.Response:
        """Return the head of the next final response.

        Raises:
            ConnectionLostError: The connection ended before the head.
            ProtocolError: The peer did not send a valid response.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response | h11.InformationalResponse):
                self._lines.note(
                    defects.find_in_status(event.status_code, event.headers)
                )
                self._check_framing(event.status_code)
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise ProtocolError(
                        f"the status {event.status_code} is not valid"
                    )
                return event
            if isinstance(event, h11.InformationalResponse):
                continue
            raise ConnectionLostError("the connection was closed")
        raise ProtocolError("too many informational responses")

    async def chunk(self) -> bytes:
        """Return the next bytes of the body; none at its end.

        Raises:
            ConnectionLostError: The connection ended inside the body.
            ProtocolError: The peer did not send a valid response.
        """
        while True:
            event = await self._next_event()
            self._check_framing()
            if isinstance(event, h11.Data):
                if event.data:
                    await self._pace(len(event.data))
                    return bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                return b""
            raise ConnectionLostError("the connection was closed")

    def _check_framing(self, status: int | None = None) -> None:
        """Raise if the framing shows that this is no answer."""
        for defect in self._lines.found:
            if completeness.is_no_answer(defect, status):
                raise ProtocolError(
                    f"the end of the answer is ambiguous: {defect.value}"
                )

    async def _pace(self, chunk_bytes: int) -> None:
        """Wait if the peer sends many small chunks.

        Otherwise one connection could take most of the processor time.
        """
        if chunk_bytes >= MIN_CHUNK_BYTES:
            return
        self._small_chunks += 1
        if self._small_chunks <= SMALL_CHUNKS_AT_ONCE:
            return
        if self._small_chunks % PACED_CHUNKS == 0:
            await anyio.sleep(PACED_CHUNKS / SMALL_CHUNKS_PER_S)

    async def body(
        self, max_bytes: int, account: buffers.Account | None = None
    ) -> bytes:
        """Return the rest of the body.

        What is kept of it is held in `account` as `answer`.

        Raises:
            ConnectionLostError: The connection ended inside the body.
            ProtocolError: The peer did not send a valid response, or a body
                that is too long.
            BudgetExceededError: There is no room for the body.
        """
        read = bytearray()
        while True:
            chunk = await self.chunk()
            if not chunk:
                return bytes(read)
            read += chunk
            if len(read) > max_bytes:
                raise ProtocolError("the body is too long")
            if account is not None:
                account.hold("answer", len(read))

    async def skip_response(self) -> None:
        """Discard a response that belongs to an earlier request.

        The parser starts anew, as if the last request had just been sent, so
        that the next response can be read.

        Raises:
            ConnectionLostError: The connection ended with that response.
            ProtocolError: The peer did not send a valid response.
        """
        skipped_bytes = 0
        while chunk := await self.chunk():
            skipped_bytes += len(chunk)
            if skipped_bytes > MAX_SKIPPED_BODY_BYTES:
                raise ProtocolError("the body is too long")
        assert self._last_request is not None
        unparsed = bytes(self._h11.trailing_data[0])
        if self._h11.their_state is h11.MUST_CLOSE:
            raise ConnectionLostError("the connection was closed")
        if self._lines.found:
            raise ProtocolError("what follows may be a part of that response")
        method, target, headers = self._last_request
        self._h11, self._lines = parser.create(h11.CLIENT)
        self._h11.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        lengths = [(n, v) for n, v in headers if n.lower() == b"content-length"]
        if lengths and int(lengths[0][1]):
            self._h11.send(h11.Data(data=bytes(int(lengths[0][1]))))
        self._h11.send(h11.EndOfMessage())
        if unparsed:
            self._h11.receive_data(unparsed)

    def has_sent_request(self) -> bool:
        """Return whether the peer has taken the whole last request.

        False if it has rejected a part of it.
        """
        return self._is_sent and self._stream.has_sent_all()

    def set_idle(self, is_idle: bool) -> None:
        """Set whether no response is due, so that any bytes end the use."""
        self._stream.set_idle(is_idle)

    def finish(self) -> bool:
        """Reset for the next request; return False if none can follow."""
        if self._h11.trailing_data[0] or self._stream.has_bytes:
            return False
        if self._stream.ended or not self._is_sent:
            return False
        if self._lines.found:
            return False  # What follows may be a part of the last answer.
        return start_next_cycle(self._h11)

    def close(self) -> None:
        """Close without waiting for the peer."""
        self._stream.abort()

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    data = await self._stream.receive()
                    self._h11.receive_data(data)
                    continue
            except byte_stream.StreamClosedError as error:
                raise ConnectionLostError(str(error)) from error
            except h11.RemoteProtocolError as error:
                if self._stream.ended and not self._stream.has_bytes:
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


def close_idle_since(idle: list[ClientConnection], limit_ms: int) -> None:
    """Close, and remove, the connections without an answer since a time.

    `limit_ms` is when a call was made that got no answer. What silenced its
    connection may have silenced them as well, and each would take another
    timeout.
    """
    for connection in list(idle):
        if connection.idle_since_ms > limit_ms:
            continue
        idle.remove(connection)
        connection.close()


async def connect(address: str, timeout_ms: int) -> ClientConnection:
    """Open a connection to `address`, given as `IP:PORT`.

    Raises:
        ConnectionLostError: The connection was refused or timed out.
    """
    stream: byte_stream.ByteStream | None = None
    try:
        with anyio.move_on_after(timeout_ms / 1_000):
            stream = await byte_stream.connect(address)
    except OSError as error:
        raise ConnectionLostError(f"{address}: {error}") from error
    if stream is None:
        raise ConnectionLostError(f"{address}: connect timed out")
    return ClientConnection(stream)
