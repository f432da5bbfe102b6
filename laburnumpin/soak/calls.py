"""Client that sends one request to an entry and records the response."""

from __future__ import annotations

import dataclasses

import anyio

from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import completeness
from laburnumpin.forwarding import connections
from laburnumpin.platform import standins

REQUEST_TIMEOUT_S = 8.0
CONNECT_TIMEOUT_MS = 1_000
DEADLINE_MS = 4_000


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """A response as the caller received it.

    `status` is 0 if none arrived; `complete` is true if the response ended
    without an error. `is_open_ended` is whether it had neither a length nor
    chunks.
    """

    status: int
    complete: bool
    body: bytes
    is_open_ended: bool


async def connect(address: str) -> connections.ClientConnection:
    """Open a connection to an entry.

    Raises:
        ConnectionLostError: The entry could not be reached.
    """
    return await connections.connect(address, CONNECT_TIMEOUT_MS)


async def call(
    address: str,
    path: str,
    request_id: str,
    key: str,
    *,
    is_stream: bool = False,
    reused_connection: connections.ClientConnection | None = None,
    is_crashing: bool = False,
) -> Answer:
    """Send a request on a reused connection or on a new one.

    A reused connection stays open if the response is complete; any other is
    closed.
    """
    status, complete, body = 0, False, bytearray()
    is_open_ended = False
    headers = standins.request_headers(
        request_id,
        is_stream=is_stream,
        key=key,
        deadline_ms=DEADLINE_MS,
        is_crashing=is_crashing,
    )
    connection = reused_connection
    try:
        if connection is None:
            connection = await connect(address)
        with anyio.fail_after(REQUEST_TIMEOUT_S):
            await connection.send(
                b"POST",
                path.encode(),
                [*headers, (b"Content-Length", b"2")],
                b"{}",
            )
            head = await connection.head()
            status = head.status_code
            framing = completeness.find_framing(
                b"POST", status, list(head.headers)
            )
            is_open_ended = framing is completeness.Framing.CLOSE
            while True:
                chunk = await connection.chunk()
                if not chunk:
                    break
                body += chunk
        complete = True
        connection.finish()
    except (
        connections.ConnectionLostError,
        connections.ProtocolError,
        TimeoutError,
    ):
        complete = False
    finally:
        if connection is not None and (
            reused_connection is None or not complete
        ):
            connection.close()
    return Answer(status, complete, bytes(body), is_open_ended)


async def send_ambiguous(
    address: str, path: str, request_id: str, inner_id: str, key: str
) -> None:
    """Send a request with two framings and another request in its body.

    Returns when the entry has closed the connection.

    Raises:
        ConnectionLostError: The connection was lost.
        TimeoutError: The entry keeps the connection open.
    """

    def encode(name: str, framing: bytes) -> bytes:
        headers = standins.request_headers(
            name, is_stream=False, key=key, deadline_ms=DEADLINE_MS
        )
        lines = [b"POST " + path.encode() + b" HTTP/1.1"]
        lines += [field + b": " + value for field, value in headers]
        return b"\r\n".join(lines) + b"\r\n" + framing + b"\r\n"

    body = b"0\r\n\r\n" + encode(inner_id, b"Content-Length: 0\r\n")
    framing = b"Transfer-Encoding: chunked\r\nContent-Length: %d\r\n"
    try:
        stream = await byte_stream.connect(address)
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                await stream.send(encode(request_id, framing % len(body)))
                await stream.send(body)
                while await stream.receive():
                    pass
        finally:
            stream.abort()
    except (OSError, byte_stream.StreamClosedError) as error:
        raise connections.ConnectionLostError(str(error)) from error
