"""The server side of a caller's HTTP/1.1 connection."""

from __future__ import annotations

import anyio
import h11

from laburnumpin.forwarding import buffers
from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import connections

# A caller that does not read its response for this long counts as disconnected.
# A blocked write holds up only the pipelined requests of the same connection.
WRITE_TIMEOUT_S = 20.0


class CallerDisconnectedError(Exception):
    """The caller has closed its connection or stopped reading."""


class CallerInputError(Exception):
    """The request is malformed, too long or late.

    `status` is the HTTP status to answer with before closing the connection,
    and `retry_after_ms` when to send the request again, None for never.
    """

    def __init__(
        self, status: int, message: str, retry_after_ms: int | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.retry_after_ms = retry_after_ms


class Caller:
    """Reads requests from one connection and writes their responses."""

    __slots__ = ("_h11", "stream")

    def __init__(
        self, stream: byte_stream.ByteStream, max_header_bytes: int
    ) -> None:
        self.stream = stream
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max_header_bytes
        )

    async def read_head(
        self, idle_timeout_ms: int, header_timeout_ms: int
    ) -> h11.Request | None:
        """Return the head of the next request.

        Return None when the caller has closed the connection, or has sent
        nothing within the idle timeout.

        Raises:
            CallerInputError: The head is malformed, too long or late.
            CallerDisconnectedError: The connection was reset.
        """
        header_deadline_s: float | None = None
        while True:
            event = self._parse()
            if isinstance(event, h11.Request):
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            if header_deadline_s is None and self._has_partial_head():
                header_deadline_s = anyio.current_time() + (
                    header_timeout_ms / 1_000
                )
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
            self._feed_parser(data)

    async def read_body(
        self,
        max_bytes: int,
        timeout_ms: int,
        account: buffers.Account | None = None,
    ) -> bytes:
        """Return the whole body of the current request.

        What is kept of it is held in `account` as `body`.

        Raises:
            CallerInputError: The body is malformed, too long or late.
            CallerDisconnectedError: The connection ended inside the body.
        """
        body = bytearray()
        if self._h11.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._h11.send(head) or b"")
        with anyio.move_on_after(timeout_ms / 1_000):
            while True:
                event = self._parse()
                if isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > max_bytes:
                        raise CallerInputError(
                            413, "the request body is too long"
                        )
                    _hold_body(account, len(body))
                    continue
                if isinstance(event, h11.EndOfMessage):
                    return bytes(body)
                if isinstance(event, h11.ConnectionClosed):
                    raise CallerDisconnectedError(
                        "connection closed inside the request body"
                    )
                self._feed_parser(await self._read_bytes())
        raise CallerInputError(408, "timed out reading the request body")

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
        return connections.start_next_cycle(self._h11)

    def close(self) -> None:
        """Close once the written bytes have been handed to the kernel."""
        self.stream.close()

    def abort(self) -> None:
        """Close at once, so that a started response is seen as incomplete."""
        self.stream.abort()

    def _has_partial_head(self) -> bool:
        return bool(self._h11.trailing_data[0])

    def _parse(self) -> object:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise CallerInputError(status, str(error)) from error

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


def _hold_body(account: buffers.Account | None, size_bytes: int) -> None:
    if account is None:
        return
    try:
        account.hold("body", size_bytes)
    except buffers.BudgetExceededError as error:
        raise CallerInputError(
            503, str(error), buffers.RETRY_AFTER_MS
        ) from error
