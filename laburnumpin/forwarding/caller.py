"""The server side of a caller's HTTP/1.1 connection."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import h11

from laburnumpin.forwarding import buffers
from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import connections
from laburnumpin.forwarding.admission import caller_stream
from laburnumpin.forwarding.admission import gate as gates
from laburnumpin.forwarding.admission import turns
from laburnumpin.framing import defects
from laburnumpin.framing import parser

# A caller that does not read its response for this long counts as disconnected.
# A blocked write holds up only the pipelined requests of the same connection.
WRITE_TIMEOUT_S = 20.0
# Longest time, and most bytes, for which a caller that was refused may go on
# sending. A reset before that could overtake the answer.
LINGER_S = 1.0
LINGER_BYTES = 1_048_576

Phase = caller_stream.Phase


class CallerDisconnectedError(Exception):
    """The caller has closed its connection or stopped reading."""


class CallerInputError(Exception):
    """The request is malformed, too long or late.

    `status` is the HTTP status to answer with before closing the connection,
    `retry_after_ms` when to send the request again, None for never, and
    `defect` what is wrong with its framing, if that is why.
    """

    def __init__(
        self,
        status: int,
        message: str,
        retry_after_ms: int | None = None,
        defect: defects.Defect | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.retry_after_ms = retry_after_ms
        self.defect = defect


class Caller:
    """Reads requests from one connection and writes their responses.

    With a `gate` the connection is one that it has admitted.
    """

    __slots__ = (
        "_admitted",
        "_gate",
        "_h11",
        "_lines",
        "_small_chunks",
        "stream",
    )

    def __init__(
        self,
        stream: byte_stream.ByteStream,
        max_header_bytes: int,
        gate: gates.Gate | None = None,
    ) -> None:
        self.stream = stream
        self._gate = gate
        self._admitted: caller_stream.CallerStream | None = None
        if isinstance(stream, caller_stream.CallerStream):
            self._admitted = stream
        # Small chunks of the current request's body.
        self._small_chunks = 0
        self._h11, self._lines = parser.create(h11.SERVER, max_header_bytes)

    @property
    def defect(self) -> defects.Defect | None:
        """Return the gravest defect of the current request's framing."""
        return defects.find_gravest(self._lines.found)

    def refused_fields(self) -> connections.Headers:
        """Return the fields of a head that was refused for its framing."""
        fields = []
        for line in self._lines.head_lines[1:]:
            name, _, value = bytes(line).partition(b":")
            fields.append((name.strip(), value.strip()))
        return fields

    def enter(self, phase: Phase) -> None:
        """Record what the connection is doing."""
        if self._admitted is not None:
            self._admitted.enter(phase)

    def show_customer(self, name: str) -> None:
        """Record which customer's key the connection has shown."""
        if self._admitted is not None:
            self._admitted.customer = name

    async def read_head(
        self,
        idle_timeout_ms: int,
        header_timeout_ms: int,
        account: buffers.Account | None = None,
    ) -> h11.Request | None:
        """Return the head of the next request.

        Return None when the caller has closed the connection, or has sent
        nothing within the idle timeout. What is kept of an unfinished head is
        held in `account` as `head`.

        Raises:
            CallerInputError: The head is malformed, too long or late.
            CallerDisconnectedError: The connection was reset.
        """
        header_deadline_s: float | None = None
        self._lines.start_message()
        self.enter(Phase.IDLE)
        head_bytes = len(self._h11.trailing_data[0])
        holds_head = False
        while True:
            event = self._parse()
            if isinstance(event, h11.Request):
                self._lines.head_lines = []
                if holds_head:
                    await self._hold(account, "head", 0)
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            if head_bytes:
                if header_deadline_s is None:
                    self.enter(Phase.HEAD)
                    header_deadline_s = anyio.current_time() + (
                        header_timeout_ms / 1_000
                    )
                holds_head = True
                await self._hold(account, "head", head_bytes)
            timeout_ms = idle_timeout_ms
            if header_deadline_s is not None:
                remaining_s = header_deadline_s - anyio.current_time()
                timeout_ms = max(1, int(remaining_s * 1_000))
            try:
                data = await self._read_bytes(timeout_ms)
            except TimeoutError:
                if header_deadline_s is None:
                    return None
                raise CallerInputError(
                    408, "timed out reading the request head"
                ) from None
            head_bytes += len(data)
            self._feed_parser(data)

    async def read_body(
        self,
        max_bytes: int,
        timeout_ms: int,
        account: buffers.Account | None = None,
        check_long: Callable[[], None] | None = None,
        announced_bytes: int = 0,
    ) -> bytes:
        """Return the whole body of the current request.

        What is kept of it is held in `account` as `body`, from the start if it
        is announced. `check_long` is called before more than a short body is
        kept, and may raise to refuse it.

        Raises:
            CallerInputError: The body is malformed, too long or late, or there
                is no room for it.
            CallerDisconnectedError: The connection ended inside the body.
        """
        if announced_bytes > max_bytes:
            raise CallerInputError(413, "the request body is too long")
        body = bytearray()
        try:
            with anyio.move_on_after(timeout_ms / 1_000):
                await self._fill(
                    body, max_bytes, account, check_long, announced_bytes
                )
                return bytes(body)
        finally:
            # Tracebacks may keep this frame until the next collection.
            body.clear()
        raise CallerInputError(408, "timed out reading the request body")

    async def _fill(
        self,
        body: bytearray,
        max_bytes: int,
        account: buffers.Account | None,
        check_long: Callable[[], None] | None,
        announced_bytes: int,
    ) -> None:
        """Read the whole body of the current request into `body`."""
        self._small_chunks = 0
        is_long = announced_bytes > buffers.SHORT_BYTES
        # What is held before it arrives.
        reserved_bytes = announced_bytes if is_long else 0
        if is_long:
            await self._admit_long(account, check_long, announced_bytes)
        await self._invite_body()
        while True:
            event = self._parse()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > max_bytes:
                    raise CallerInputError(413, "the request body is too long")
                if not is_long and len(body) > buffers.SHORT_BYTES:
                    is_long = True
                    await self._admit_long(account, check_long, len(body))
                if len(body) > reserved_bytes:
                    await self._hold(account, "body", len(body))
                if len(event.data) < turns.SMALL_CHUNK_BYTES:
                    await self._take_turn()
                continue
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.ConnectionClosed):
                raise CallerDisconnectedError(
                    "connection closed inside the request body"
                )
            if self._admitted and self._admitted.phase is not Phase.BODY:
                self.enter(Phase.BODY)
            self._feed_parser(await self._read_bytes())

    async def _invite_body(self) -> None:
        """Tell a caller that waits for it to send its body."""
        if self._h11.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._h11.send(head) or b"")

    async def _admit_long(
        self,
        account: buffers.Account | None,
        check_long: Callable[[], None] | None,
        size_bytes: int,
    ) -> None:
        """Decide whether a body that is not short is read any further."""
        if check_long is not None:
            check_long()
        self.enter(Phase.BODY)
        await self._hold(account, "body", size_bytes)

    async def _hold(
        self, account: buffers.Account | None, part: str, size_bytes: int
    ) -> None:
        """Hold bytes of a request, as soon as there is room for them.

        Raises:
            CallerInputError: There is none.
        """
        if account is None:
            return
        admitted = self._admitted
        try:
            if not account.try_to_hold(part, size_bytes):
                if self._gate is None or admitted is None:
                    account.hold(part, size_bytes)
                else:
                    await self._gate.wait_for_room(
                        admitted, account, part, size_bytes
                    )
            if admitted is not None:
                admitted.held_bytes = size_bytes
        except buffers.BudgetExceededError as error:
            raise CallerInputError(
                503, str(error), buffers.RETRY_AFTER_MS
            ) from error
        except caller_stream.EvictedError as error:
            raise _no_room(error) from error

    async def _take_turn(self) -> None:
        """Wait for a turn if the body has many small chunks."""
        self._small_chunks += 1
        admitted = self._admitted
        if self._gate is None or admitted is None:
            return
        if self._small_chunks <= turns.FREE_CHUNKS:
            return
        admitted.work += 1
        if self._small_chunks % turns.CHUNKS_PER_TURN:
            return
        if admitted.phase is not Phase.PARSING:
            self.enter(Phase.PARSING)
        await self._gate.turns.wait()
        if admitted.interruption is not None:
            raise _no_room(admitted.interruption)

    async def linger(self) -> None:
        """Discard what the caller still sends after its last answer.

        Ends when the caller closes, or after a while.
        """
        if self._admitted is None:
            return
        self.enter(Phase.LEAVING)
        self._admitted.held_bytes = 0
        self.stream.interruption = None
        self.stream.end_sending()
        discarded_bytes = 0
        with anyio.move_on_after(LINGER_S):
            while discarded_bytes < LINGER_BYTES:
                try:
                    data = await self.stream.receive()
                except byte_stream.StreamClosedError:
                    return
                if not data:
                    return
                discarded_bytes += len(data)

    async def start_answer(
        self,
        status: int,
        headers: connections.Headers,
        first: bytes = b"",
        *,
        ends_with_connection: bool = False,
    ) -> None:
        """Write the head of a response, with the first part of its body.

        With `ends_with_connection` the response gets neither a length nor
        chunks, as for a caller of HTTP/1.0. Until `end_answer`, whatever ends
        the connection resets it, the end of this process included.

        Raises:
            CallerDisconnectedError: The caller closed or stopped reading.
        """
        if ends_with_connection:
            self._h11.their_http_version = b"1.0"
        if self._h11.their_http_version == b"1.0":
            self.stream.set_reset_on_close(True)
        head = h11.Response(status_code=status, headers=headers)
        data = self._h11.send(head) or b""
        if first:
            data += self._h11.send(h11.Data(data=first)) or b""
        await self._write(data)

    async def write(self, body: bytes) -> None:
        """Write a part of the response body.

        Raises:
            CallerDisconnectedError: The caller closed or stopped reading.
        """
        await self._write(self._h11.send(h11.Data(data=body)) or b"")

    async def end_answer(self) -> None:
        """Write the end of the response.

        Raises:
            CallerDisconnectedError: The caller closed or stopped reading.
        """
        if self._h11.their_http_version == b"1.0":
            self.stream.set_reset_on_close(False)
        await self._write(self._h11.send(h11.EndOfMessage()) or b"")

    async def answer(
        self, status: int, headers: connections.Headers, body: bytes
    ) -> None:
        """Write a whole response at once.

        Raises:
            CallerDisconnectedError: The caller closed or stopped reading.
        """
        head = h11.Response(status_code=status, headers=headers)
        data = self._h11.send(head) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        await self._write(data)

    def prepare_next_request(self) -> bool:
        """Reset for the next request; return False if none can follow."""
        if self._lines.found:
            return False
        return connections.start_next_cycle(self._h11)

    def close(self) -> None:
        """Close once the written bytes have been handed to the kernel."""
        self.stream.close()

    def abort(self) -> None:
        """Close at once, so that a started response is seen as incomplete."""
        self.stream.abort()

    def _parse(self) -> object:
        event: object = None
        problem: h11.RemoteProtocolError | None = None
        try:
            event = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            problem = error
        defect = self.defect
        if defect and (
            defects.judge_request(defect) is defects.RequestVerdict.REFUSED
        ):
            raise CallerInputError(
                defects.refusal_status(defect),
                f"the end of the request is ambiguous: {defect.value}",
                defect=defect,
            ) from problem
        if problem is not None:
            status = problem.error_status_hint
            raise CallerInputError(status, str(problem)) from problem
        return event

    def _feed_parser(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise CallerInputError(400, str(error)) from error

    async def _read_bytes(self, timeout_ms: int | None = None) -> bytes:
        try:
            return await self.stream.receive(timeout_ms)
        except byte_stream.StreamClosedError as error:
            raise CallerDisconnectedError(str(error)) from error
        except caller_stream.EvictedError as error:
            raise _no_room(error) from error

    async def _write(self, data: bytes) -> None:
        if not data:
            return
        try:
            self.stream.write(data)
            if not self.stream.unsent_bytes:
                return
            with anyio.move_on_after(WRITE_TIMEOUT_S):
                await self.stream.drain()
                return
        except byte_stream.StreamClosedError as error:
            raise CallerDisconnectedError(str(error)) from error
        raise CallerDisconnectedError(
            "write timed out: the caller does not read the response"
        )


def retry_after_header(retry_after_ms: int) -> tuple[bytes, bytes]:
    """Return the header that asks a caller to retry after a time."""
    return b"Retry-After", f"{retry_after_ms / 1_000:.3f}".encode()


def _no_room(error: Exception) -> CallerInputError:
    return CallerInputError(503, str(error), buffers.RETRY_AFTER_MS)
