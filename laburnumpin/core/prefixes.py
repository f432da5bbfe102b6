"""Approximate index of the prompt prefixes in the engines' prefix caches.

Prompts are divided into blocks, each identified by a hash chained over all
blocks before it. The index is built from the engines' cache events and from
the requests that this entry dispatched.
"""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING

from laburnumpin.core import effects
from laburnumpin.core import events

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state

BLOCK_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4
TOKENS_PER_BLOCK = BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
# A block neither reported nor used for this long is assumed to be evicted.
BLOCK_MAX_AGE_MS = 600_000
# Limit over all upstreams, at about 200 bytes per block.
MAX_BLOCKS = 50_000


class UpstreamBlocks:
    """Block hashes of one upstream, with their last report or use time.

    `reported` holds the blocks named by cache events, `used` those of
    requests that this entry sent to the upstream. Both are ordered by time.
    """

    __slots__ = ("reported", "used")

    def __init__(self) -> None:
        self.reported: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.used: collections.OrderedDict[str, int] = collections.OrderedDict()


class PrefixesState:
    """Blocks by upstream id."""

    __slots__ = ("blocks",)

    def __init__(self) -> None:
        self.blocks: dict[str, UpstreamBlocks] = {}


def count_tokens(prompt: str) -> int:
    """Estimate the tokens of a prompt."""
    return -(-len(prompt) // CHARACTERS_PER_TOKEN)


def block_hashes(prompt: str) -> tuple[str, ...]:
    """Return the chained hashes of the full blocks of a prompt."""
    hashes = []
    digest = b""
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS].encode()
        digest = hashlib.blake2b(digest + block, digest_size=8).digest()
        hashes.append(digest.hex())
    return tuple(hashes)


def cached_tokens(
    state: entry_state.EntryState,
    upstream_id: str,
    blocks: tuple[str, ...],
    now_ms: int,
) -> int:
    """Estimate how many tokens of a prompt an upstream has cached."""
    index = state.prefixes.blocks.get(upstream_id)
    if index is None:
        return 0
    oldest_ms = max(now_ms - BLOCK_MAX_AGE_MS, 0)
    count = 0
    for block in blocks:
        updated_ms = max(
            index.reported.get(block, -1), index.used.get(block, -1)
        )
        if updated_ms < oldest_ms:
            break
        count += 1
    return count * TOKENS_PER_BLOCK


def on_cache_events(
    state: entry_state.EntryState, event: events.CacheEventsReported
) -> list[effects.Effect]:
    """Apply the cache events of an engine.

    After a gap in the sequence the reported blocks are dropped, because any of
    them may have been evicted in the missed events. The blocks of this entry's
    own requests stay: engines evict the most recently used blocks last.
    """
    upstream = state.upstreams.by_id.get(event.upstream_id)
    if upstream is None:
        return []
    expected = upstream.cache_sequence
    if event.next_sequence < expected:
        # The sequence restarted, so this is a new engine process.
        state.counters.increment("prefix_index_dropped", "sequence_restarted")
        drop(state, event.upstream_id)
        upstream.cache_sequence = 0
        return []
    upstream.cache_sequence = event.next_sequence
    index = _blocks(state, event.upstream_id)
    if event.first_sequence > expected > 0:
        state.counters.increment("prefix_index_dropped", "gap")
        index.reported.clear()
    _record_blocks(state, index.reported, event.added, event.now_ms)
    for block in event.removed:
        index.reported.pop(block, None)
        index.used.pop(block, None)
    return []


def drop(state: entry_state.EntryState, upstream_id: str) -> None:
    """Remove all blocks of an upstream, for example for a new incarnation."""
    state.prefixes.blocks.pop(upstream_id, None)


def on_dispatched(
    state: entry_state.EntryState,
    upstream_id: str,
    request: requests.Request,
    now_ms: int,
) -> None:
    """Add the prompt's blocks when a request is dispatched.

    This does not wait for completion, because further requests of a session
    arrive before the first one completes.
    """
    index = _blocks(state, upstream_id)
    _record_blocks(state, index.used, request.blocks, now_ms)


def on_completed(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> None:
    """Refresh the prompt's blocks at the upstream that completed a request."""
    upstream_id = request.last_upstream_id
    if upstream_id is None or upstream_id not in state.upstreams.by_id:
        return
    index = _blocks(state, upstream_id)
    _record_blocks(state, index.used, request.blocks, now_ms)


def _blocks(state: entry_state.EntryState, upstream_id: str) -> UpstreamBlocks:
    return state.prefixes.blocks.setdefault(upstream_id, UpstreamBlocks())


def _record_blocks(
    state: entry_state.EntryState,
    index: collections.OrderedDict[str, int],
    blocks: tuple[str, ...],
    now_ms: int,
) -> None:
    for block in blocks:
        index[block] = now_ms
        index.move_to_end(block)
    share = MAX_BLOCKS // (2 * len(state.prefixes.blocks))
    while len(index) > share:
        index.popitem(last=False)
    while index and next(iter(index.values())) < now_ms - BLOCK_MAX_AGE_MS:
        index.popitem(last=False)
