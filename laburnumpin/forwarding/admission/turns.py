"""A bounded share of the processor for bodies of many small chunks.

Parsing a chunk takes the same time whatever its length. Beyond a few, small
chunks are parsed in turns, one connection at a time, with pauses in between in
which other requests go ahead.
"""

from __future__ import annotations

import asyncio
import collections
import time

# Chunks below this length count as small.
SMALL_CHUNK_BYTES = 512
# Small chunks of a request that need no turn, and those of one turn.
FREE_CHUNKS = 64
CHUNKS_PER_TURN = 64


class Turns:
    """Gives turns in the order in which they are asked for."""

    __slots__ = (
        "_is_pumping",
        "_loop",
        "_pause_factor",
        "_started_s",
        "_waiting",
    )

    def __init__(self, share: float) -> None:
        self._loop = asyncio.get_running_loop()
        # Pause after a turn, in lengths of the turn.
        self._pause_factor = 1 / share - 1
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._is_pumping = False
        # When the task began its turn; None if it has not.
        self._started_s: float | None = None

    async def wait(self) -> None:
        """Wait for a turn, which lasts until the task waits for anything."""
        turn = self._loop.create_future()
        self._waiting.append(turn)
        if not self._is_pumping:
            self._is_pumping = True
            self._loop.call_soon(self._give_turn)
        await turn
        # What the loop ran before is no part of the turn.
        self._started_s = time.perf_counter()

    def _give_turn(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if turn.done():
                continue  # Its task was cancelled.
            self._started_s = None
            turn.set_result(None)
            # Runs after the task, which `set_result` has scheduled before.
            self._loop.call_soon(self._end_turn)
            return
        self._is_pumping = False

    def _end_turn(self) -> None:
        taken_s = 0.0
        if self._started_s is not None:
            taken_s = time.perf_counter() - self._started_s
        self._loop.call_later(taken_s * self._pause_factor, self._give_turn)
