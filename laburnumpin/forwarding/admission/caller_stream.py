"""A caller's connection, with what admission needs to know of it."""

from __future__ import annotations

from collections.abc import Callable
import enum

from laburnumpin.forwarding import byte_stream

# Reading pauses at so many unread bytes, and reads at most so many at once.
READ_AHEAD_BYTES = 8_192


class Phase(enum.Enum):
    """What a connection is doing.

    `WAITING` is waiting for room, `PARSING` is waiting for a turn to parse a
    body of many small chunks, and `LEAVING` is closing after a refusal.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    PARSING = "parsing"
    WAITING = "waiting"
    RUNNING = "running"
    LEAVING = "leaving"


_READING = (Phase.HEAD, Phase.BODY, Phase.WAITING, Phase.PARSING)


class EvictedError(Exception):
    """The place or the bytes of this connection are given to others."""


class CallerStream(byte_stream.ByteStream):
    """One caller's connection.

    `held_bytes` is what is kept of its request, `work` the number of its small
    chunks so far, and `progress_s` when it last made progress, on the loop's
    clock. `customer` is empty until a key has been shown.
    """

    __slots__ = (
        "_on_lost",
        "_progress_bytes",
        "_unmarked_bytes",
        "customer",
        "held_bytes",
        "peer",
        "phase",
        "progress_s",
        "work",
    )

    read_ahead_bytes = READ_AHEAD_BYTES

    def __init__(
        self,
        on_open: Callable[[byte_stream.ByteStream], None],
        on_lost: Callable[[CallerStream], None],
        progress_bytes: int,
        peer: str,
    ) -> None:
        super().__init__(on_open)
        self._on_lost = on_lost
        self._progress_bytes = progress_bytes
        # Bytes since the last mark of progress.
        self._unmarked_bytes = 0
        self.peer = peer
        self.customer = ""
        self.phase = Phase.IDLE
        self.held_bytes = 0
        self.work = 0
        self.progress_s = self._loop.time()

    def enter(self, phase: Phase) -> None:
        """Begin a phase, which counts as progress."""
        self.phase = phase
        if phase is Phase.IDLE or phase is Phase.RUNNING:
            self.interruption = None  # The request was read before.
        if phase is Phase.IDLE:
            self.held_bytes = 0
        self.progress_s = self._loop.time()
        self._unmarked_bytes = 0

    def data_received(self, data: bytes | memoryview) -> None:
        """Buffer bytes and mark progress; called by the event loop."""
        super().data_received(data)
        self._unmarked_bytes += len(data)
        if self._unmarked_bytes >= self._progress_bytes:
            self._unmarked_bytes = 0
            self.progress_s = self._loop.time()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give the place back; called by the event loop."""
        super().connection_lost(exc)
        self._on_lost(self)

    def evict(self) -> None:
        """End this connection; a request that is being read is refused."""
        if self.phase in _READING:
            self.interrupt(EvictedError("others need what this caller holds"))
            return
        if self.phase is Phase.IDLE:
            self.close()
            return
        self.abort()
