"""A caller's connection: reading requests and writing answers."""

from __future__ import annotations

import anyio
from anyio import abc
import h11

from laburnumpin.forwarding import connections

# Requests that are read ahead while an answer is written belong to one
# connection; a caller that does not read its answer for this long is gone.
WRITE_TIMEOUT_S = 20.0


class CallerGoneError(Exception):
    """The caller has closed its connection, or does not read."""


class CallerInputError(Exception):
    """The caller sent something that is answered with a status and an end."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class Caller:
    """The server side of one HTTP/1.1 connection."""

    __slots__ = ("_h11", "_stream", "reader")

    def __init__(self, stream: abc.SocketStream, max_header_bytes: int) -> None:
        self._stream = stream
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max_header_bytes
        )
        self.reader = connections.ReadAhead(stream)

    async def read_head(
        self, idle_timeout_ms: int, header_timeout_ms: int
    ) -> h11.Request | None:
        """Return the head of the next request; None at the end.

        Raises:
            CallerInputError: It is malformed, too long or too late.
            CallerGoneError: The connection was reset.
        """
        timeout_ms = idle_timeout_ms
        while True:
            event = self._parse()
            if isinstance(event, h11.Request):
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            data: bytes | None = None
            with anyio.move_on_after(timeout_ms / 1_000):
                data = await self._take()
            if data is None:
                if timeout_ms == idle_timeout_ms and not self._has_partial():
                    return None
                raise CallerInputError(408, "the head did not come in time")
            self._receive(data)
            timeout_ms = header_timeout_ms

    async def read_body(self, max_bytes: int, timeout_ms: int) -> bytes:
        """Return the whole body.

        Raises:
            CallerInputError: It is malformed, too long or too late.
            CallerGoneError: The connection ended inside it.
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
                        raise CallerInputError(413, "the body is too long")
                    continue
                if isinstance(event, h11.EndOfMessage):
                    return bytes(body)
                if isinstance(event, h11.ConnectionClosed):
                    raise CallerGoneError("closed inside a body")
                self._receive(await self._take())
        raise CallerInputError(408, "the body did not come in time")

    async def start_answer(
        self, status: int, headers: connections.Headers, first: bytes = b""
    ) -> None:
        """Write the head of an answer, with the first part of its body.

        Raises:
            CallerGoneError: The caller is gone.
        """
        head = h11.Response(status_code=status, headers=headers)
        data = self._h11.send(head) or b""
        if first:
            data += self._h11.send(h11.Data(data=first)) or b""
        await self._write(data)

    async def write(self, body: bytes) -> None:
        """Write a part of the body.

        Raises:
            CallerGoneError: The caller is gone.
        """
        await self._write(self._h11.send(h11.Data(data=body)) or b"")

    async def end_answer(self) -> None:
        """Write the end of the answer.

        Raises:
            CallerGoneError: The caller is gone.
        """
        await self._write(self._h11.send(h11.EndOfMessage()) or b"")

    async def answer(
        self, status: int, headers: connections.Headers, body: bytes
    ) -> None:
        """Write a whole answer at once.

        Raises:
            CallerGoneError: The caller is gone.
        """
        head = h11.Response(status_code=status, headers=headers)
        data = self._h11.send(head) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        await self._write(data)

    def prepare_next_request(self) -> bool:
        """Get ready for the next request; False if there can be none."""
        return connections.start_next_cycle(self._h11)

    async def close(self) -> None:
        """Close after what was written has been handed to the kernel."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
            await self._stream.aclose()

    async def abort(self) -> None:
        """Close at once; an answer that has begun looks incomplete."""
        await anyio.aclose_forcefully(self._stream)

    def _has_partial(self) -> bool:
        return bool(self._h11.trailing_data[0])

    def _parse(self) -> object:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise CallerInputError(status, str(error)) from error

    def _receive(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise CallerInputError(400, str(error)) from error

    async def _take(self) -> bytes:
        try:
            return await self.reader.take()
        except connections.ConnectionLostError as error:
            raise CallerGoneError(str(error)) from error

    async def _write(self, data: bytes) -> None:
        if not data:
            return
        written = False
        try:
            with anyio.move_on_after(WRITE_TIMEOUT_S):
                await self._stream.send(data)
                written = True
        except connections.CONNECTION_ERRORS as error:
            raise CallerGoneError(str(error)) from error
        if not written:
            raise CallerGoneError("the caller does not read its answer")
