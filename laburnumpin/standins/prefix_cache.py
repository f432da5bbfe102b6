"""The prefix cache of an engine and the log of its changes."""

from __future__ import annotations

import collections
from collections.abc import Sequence
import dataclasses

MAX_LOGGED_EVENTS = 20_000
MAX_EVENTS_PER_REPORT = 4_000


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEvent:
    """One block that was added or removed."""

    sequence: int
    at_ms: int
    block: str
    added: bool


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEvents:
    """Net changes over the sequence numbers before `next_sequence`."""

    first_sequence: int
    next_sequence: int
    added: tuple[str, ...]
    removed: tuple[str, ...]


class CacheEventLog:
    """Numbers the changes from 0 and forgets the oldest ones."""

    __slots__ = ("_events", "_gap_left", "_next_sequence")

    def __init__(self) -> None:
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_LOGGED_EVENTS
        )
        self._next_sequence = 0
        self._gap_left = 0

    def drop_next(self, count: int) -> None:
        """Lose the next `count` events but use up their numbers."""
        self._gap_left += count

    def append(self, block: str, added: bool, now_ms: int) -> None:
        """Log a change."""
        sequence = self._next_sequence
        self._next_sequence += 1
        if self._gap_left > 0:
            self._gap_left -= 1
            return
        self._events.append(CacheEvent(sequence, now_ms, block, added))

    def after(self, sequence: int, now_ms: int, delay_ms: int) -> CacheEvents:
        """Return the first contiguous run of events from `sequence` on.

        `sequence` is the `next_sequence` of the last report, or 0. Events
        younger than `delay_ms` are not visible yet.
        """
        run: list[CacheEvent] = []
        hidden = False
        for event in self._events:
            if event.sequence < sequence:
                continue
            if event.at_ms > now_ms - delay_ms:
                hidden = True
                break
            if run and event.sequence != run[-1].sequence + 1:
                break
            run.append(event)
            if len(run) == MAX_EVENTS_PER_REPORT:
                break
        if run:
            return _report(run)
        if hidden:
            return CacheEvents(sequence, sequence, (), ())
        end = self._next_sequence
        return CacheEvents(end, end, (), ())


class PrefixCache:
    """Least recently used block hashes, at most `capacity_blocks`."""

    __slots__ = ("_blocks", "_capacity_blocks", "log")

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.log = CacheEventLog()

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, blocks: Sequence[str]) -> int:
        """Return how many leading blocks are cached and mark them used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        self._touch(blocks[:count])
        return count

    def add(self, blocks: Sequence[str], now_ms: int) -> None:
        """Cache the blocks of a prompt and evict the least recently used."""
        kept = blocks[: self._capacity_blocks]
        for block in kept:
            if block not in self._blocks:
                self._blocks[block] = None
                self.log.append(block, True, now_ms)
        self._touch(kept)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self.log.append(evicted, False, now_ms)

    def clear(self, now_ms: int) -> None:
        """Evict everything, for example when another model is loaded."""
        for block in self._blocks:
            self.log.append(block, False, now_ms)
        self._blocks.clear()

    def _touch(self, blocks: Sequence[str]) -> None:
        # A block is useless without the blocks before it, so the first block
        # of a prompt is marked last and is evicted last.
        for block in reversed(blocks):
            self._blocks.move_to_end(block)


def _report(run: list[CacheEvent]) -> CacheEvents:
    present: dict[str, bool] = {}
    for event in run:
        present[event.block] = event.added
    added = tuple(block for block, is_added in present.items() if is_added)
    removed = tuple(
        block for block, is_added in present.items() if not is_added
    )
    return CacheEvents(run[0].sequence, run[-1].sequence + 1, added, removed)
