"""CBOR messages, each with a length prefix, over a TCP connection."""

from __future__ import annotations

from typing import Any

import anyio
import cbor2

from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import untrusted

MAX_MESSAGE_BYTES = 32_000_000
# Unsent bytes beyond which a peer counts as too slow for further messages.
MAX_UNSENT_BYTES = 1_000_000
_LENGTH_PREFIX_BYTES = 4


class FrameError(Exception):
    """The connection failed, timed out or carried a malformed message."""


class FrameStream:
    """Reads and writes messages over one connection."""

    __slots__ = ("_received", "_stream")

    def __init__(self, stream: byte_stream.ByteStream) -> None:
        self._stream = stream
        # Received bytes of the messages that were not returned yet.
        self._received = bytearray()

    def write(self, message: dict[str, Any]) -> None:
        """Send a message, in the background if the peer reads slowly.

        Raises:
            FrameError: The connection has ended.
        """
        self.write_frame(encode(message))

    def write_frame(self, frame: bytes) -> None:
        """Send an encoded message, in the background if the peer is slow.

        Raises:
            FrameError: The connection has ended.
        """
        try:
            self._stream.write(frame)
        except byte_stream.StreamClosedError as error:
            raise FrameError(str(error)) from error

    def is_slow(self) -> bool:
        """Return whether the peer has too many unsent bytes to read."""
        return self._stream.unsent_bytes > MAX_UNSENT_BYTES

    async def drain(self, timeout_s: float) -> None:
        """Wait until all messages have been sent.

        Raises:
            FrameError: The connection failed or the wait timed out.
        """
        try:
            with anyio.fail_after(timeout_s):
                await self._stream.drain()
        except (byte_stream.StreamClosedError, TimeoutError) as error:
            raise FrameError(repr(error)) from error

    async def read(
        self, timeout_s: float, max_bytes: int = MAX_MESSAGE_BYTES
    ) -> dict[str, Any]:
        """Return the next message, which has at most `max_bytes`.

        Raises:
            FrameError: The connection failed, the read timed out, or the
                message is malformed.
        """
        deadline_s = anyio.current_time() + timeout_s
        try:
            prefix = await self._read_exactly(_LENGTH_PREFIX_BYTES, deadline_s)
            length = int.from_bytes(prefix, "big")
            if length > max_bytes:
                raise FrameError("message exceeds the maximum length")
            data = await self._read_exactly(length, deadline_s)
            return untrusted.parse_cbor(data, MAX_MESSAGE_BYTES)
        except (
            byte_stream.StreamClosedError,
            TimeoutError,
            untrusted.MalformedError,
        ) as error:
            raise FrameError(repr(error)) from error

    async def _read_exactly(self, size: int, deadline_s: float) -> bytes:
        while len(self._received) < size:
            remaining_ms = int((deadline_s - anyio.current_time()) * 1_000)
            data = await self._stream.receive(max(1, remaining_ms))
            if not data:
                raise byte_stream.StreamClosedError("closed inside a message")
            self._received += data
        data = bytes(self._received[:size])
        del self._received[:size]
        return data


def encode(message: dict[str, Any]) -> bytes:
    """Return a message with its length prefix."""
    data = cbor2.dumps(message)
    return len(data).to_bytes(_LENGTH_PREFIX_BYTES, "big") + data


async def connect(address: str, timeout_s: float) -> byte_stream.ByteStream:
    """Open a connection to `address`, given as `IP:PORT`.

    Raises:
        FrameError: The connection was refused or timed out.
    """
    try:
        with anyio.fail_after(timeout_s):
            return await byte_stream.connect(address)
    except (TimeoutError, OSError) as error:
        raise FrameError(f"{address}: {error!r}") from error
