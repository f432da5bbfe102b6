"""CBOR messages, each with a length prefix, over a TCP connection."""

from __future__ import annotations

from typing import Any

import anyio
from anyio import abc
from anyio.streams import buffered
import cbor2

from laburnumpin.forwarding import connections

MAX_MESSAGE_BYTES = 32_000_000
# A peer that blocks a write for longer than this is disconnected.
WRITE_TIMEOUT_S = 2.0
_LENGTH_PREFIX_BYTES = 4


class FrameError(Exception):
    """The connection failed, timed out or carried a malformed message."""


class FrameStream:
    """Reads and writes messages over one connection."""

    __slots__ = ("_reader", "_stream")

    def __init__(self, stream: abc.SocketStream) -> None:
        self._stream = stream
        self._reader = buffered.BufferedByteReceiveStream(stream)

    async def write(self, message: dict[str, Any]) -> None:
        """Send a message.

        Raises:
            FrameError: The connection failed or the write timed out.
        """
        data = cbor2.dumps(message)
        frame = len(data).to_bytes(_LENGTH_PREFIX_BYTES, "big") + data
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                await self._stream.send(frame)
        except connections.CONNECTION_ERRORS as error:
            # They include `TimeoutError`, which is an `OSError`.
            raise FrameError(repr(error)) from error

    async def read(self, timeout_s: float) -> dict[str, Any]:
        """Return the next message.

        Raises:
            FrameError: The connection failed, the read timed out, or the
                message is malformed.
        """
        try:
            with anyio.fail_after(timeout_s):
                prefix = await self._reader.receive_exactly(
                    _LENGTH_PREFIX_BYTES
                )
                length = int.from_bytes(prefix, "big")
                if length > MAX_MESSAGE_BYTES:
                    raise FrameError("message exceeds the maximum length")
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
            raise FrameError("message is not a CBOR map")
        return message


async def connect(address: str, timeout_s: float) -> abc.SocketStream:
    """Open a connection to `address`, given as `IP:PORT`.

    Raises:
        FrameError: The connection was refused or timed out.
    """
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(timeout_s):
            return await anyio.connect_tcp(host, int(port))
    except (TimeoutError, OSError) as error:
        raise FrameError(f"{address}: {error!r}") from error
