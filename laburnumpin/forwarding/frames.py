"""CBOR messages with a length before each, over a TCP connection."""

from __future__ import annotations

from typing import Any

import anyio
from anyio import abc
from anyio.streams import buffered
import cbor2

from laburnumpin.forwarding import connections

MAX_BYTES = 32_000_000
# A peer that takes this long for a message is cut off.
WRITE_TIMEOUT_S = 2.0
_LENGTH_BYTES = 4


class FrameError(Exception):
    """The peer is gone, silent or sends something else."""


class Frames:
    """Messages over one connection."""

    __slots__ = ("_reader", "_stream")

    def __init__(self, stream: abc.SocketStream) -> None:
        self._stream = stream
        self._reader = buffered.BufferedByteReceiveStream(stream)

    async def write(self, message: dict[str, Any]) -> None:
        """Send a message.

        Raises:
            FrameError: The peer is gone or does not read.
        """
        data = cbor2.dumps(message)
        frame = len(data).to_bytes(_LENGTH_BYTES, "big") + data
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                await self._stream.send(frame)
        except (
            connections.CONNECTION_ERRORS
        ) as error:  # A `TimeoutError` is an `OSError`.
            raise FrameError(repr(error)) from error

    async def read(self, timeout_s: float) -> dict[str, Any]:
        """Return the next message.

        Raises:
            FrameError: None came in time, or it is malformed.
        """
        try:
            with anyio.fail_after(timeout_s):
                head = await self._reader.receive_exactly(_LENGTH_BYTES)
                length = int.from_bytes(head, "big")
                if length > MAX_BYTES:
                    raise FrameError("a message is too long")
                data = await self._reader.receive_exactly(length)
            message = cbor2.loads(data)
        except (
            *connections.CONNECTION_ERRORS,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            cbor2.CBORDecodeError,
        ) as error:
            raise FrameError(repr(error)) from error
        if not isinstance(message, dict):
            raise FrameError("a message is not a map")
        return message


async def connect(address: str, timeout_s: float) -> abc.SocketStream:
    """Open a connection.

    Raises:
        FrameError: The address was not reached in time.
    """
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(timeout_s):
            return await anyio.connect_tcp(host, int(port))
    except (TimeoutError, OSError) as error:
        raise FrameError(f"{address}: {error!r}") from error
