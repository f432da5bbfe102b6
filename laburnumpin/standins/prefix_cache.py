"""The simulated prefix cache of an engine, and its event log."""

from __future__ import annotations

import collections
from collections.abc import Sequence
import dataclasses

MAX_LOGGED_EVENTS = 20_000
MAX_EVENTS_PER_REPORT = 4_000


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEvent:
    """One block that was added to or evicted from the prefix cache."""

    sequence: int
    at_ms: int
    block: str
    added: bool


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEvents:
    """Response to `GET /v1/cache-events`: the net changes of some events.

    The changes are those from `first_sequence` up to but not including
    `next_sequence`. A `first_sequence` above the requested one means that
    the events in between are lost.
    """

    first_sequence: int
    next_sequence: int
    added: tuple[str, ...]
    removed: tuple[str, ...]


class CacheEventLog:
    """Log of the last `MAX_LOGGED_EVENTS` cache events, numbered from 0."""

    __slots__ = ("_events", "_next_sequence", "_remaining_drops")

    def __init__(self) -> None:
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_LOGGED_EVENTS
        )
        self._next_sequence = 0
        self._remaining_drops = 0

    def drop_next(self, count: int) -> None:
        """Lose the next `count` events; their numbers are not reused."""
        self._remaining_drops += count

    def append(self, block: str, added: bool, now_ms: int) -> None:
        """Log the addition or eviction of a block."""
        sequence = self._next_sequence
        self._next_sequence += 1
        if self._remaining_drops > 0:
            self._remaining_drops -= 1
            return
        self._events.append(CacheEvent(sequence, now_ms, block, added))

    def read_from(
        self, sequence: int, now_ms: int, delay_ms: int
    ) -> CacheEvents:
        """Return the first contiguous run of events from `sequence` on.

        `sequence` is the `next_sequence` of the previous response, or 0.
        Events younger than `delay_ms` are not returned yet. At most
        `MAX_EVENTS_PER_REPORT` events are combined.
        """
        run: list[CacheEvent] = []
        has_delayed_event = False
        for event in self._events:
            if event.sequence < sequence:
                continue
            if event.at_ms > now_ms - delay_ms:
                has_delayed_event = True
                break
            if run and event.sequence != run[-1].sequence + 1:
                break
            run.append(event)
            if len(run) == MAX_EVENTS_PER_REPORT:
                break
        if run:
            return _net_changes(run)
        if has_delayed_event:
            return CacheEvents(sequence, sequence, (), ())
        end = self._next_sequence
        return CacheEvents(end, end, (), ())


class PrefixCache:
    """Cache of prompt block hashes; evicts the least recently used ones."""

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
        """Return the number of leading blocks that are cached.

        Marks these blocks as used.
        """
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        self._mark_used(blocks[:count])
        return count

    def add(self, blocks: Sequence[str], now_ms: int) -> None:
        """Add the blocks of a prompt, and evict others over the capacity."""
        cached_blocks = blocks[: self._capacity_blocks]
        for block in cached_blocks:
            if block not in self._blocks:
                self._blocks[block] = None
                self.log.append(block, True, now_ms)
        self._mark_used(cached_blocks)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self.log.append(evicted, False, now_ms)

    def clear(self, now_ms: int) -> None:
        """Evict all blocks, as when another model is loaded."""
        for block in self._blocks:
            self.log.append(block, False, now_ms)
        self._blocks.clear()

    def _mark_used(self, blocks: Sequence[str]) -> None:
        # A block cannot be used without the blocks before it in the prompt,
        # so the first block is marked last and thus evicted last.
        for block in reversed(blocks):
            self._blocks.move_to_end(block)


def _net_changes(run: list[CacheEvent]) -> CacheEvents:
    is_present_by_block: dict[str, bool] = {}
    for event in run:
        is_present_by_block[event.block] = event.added
    added = tuple(
        block for block, is_added in is_present_by_block.items() if is_added
    )
    removed = tuple(
        block for block, is_added in is_present_by_block.items() if not is_added
    )
    return CacheEvents(run[0].sequence, run[-1].sequence + 1, added, removed)
