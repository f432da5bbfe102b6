"""Approximate index of the prompt prefixes that engines cache."""

from __future__ import annotations

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


class PrefixesState:
    """Known blocks by upstream."""

    __slots__ = ("blocks",)

    def __init__(self) -> None:
        self.blocks: dict[str, dict[str, int]] = {}


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
    del now_ms
    known = state.prefixes.blocks.get(upstream_id)
    if known is None:
        return 0
    count = 0
    for block in blocks:
        if block not in known:
            break
        count += 1
    return count * TOKENS_PER_BLOCK


def on_cache_events(
    state: entry_state.EntryState, event: events.CacheEventsReported
) -> list[effects.Effect]:
    """Apply the cache events of an engine."""
    known = state.prefixes.blocks.setdefault(event.upstream_id, {})
    for block in event.added:
        known[block] = event.now_ms
    for block in event.removed:
        known.pop(block, None)
    return []


def drop(state: entry_state.EntryState, upstream_id: str) -> None:
    """Forget all blocks of an upstream, as for a new incarnation."""
    state.prefixes.blocks.pop(upstream_id, None)


def on_completed(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> None:
    """Note that the upstream of a finished request cached its prompt."""
    if request.last_upstream_id is None:
        return
    known = state.prefixes.blocks.setdefault(request.last_upstream_id, {})
    for block in request.blocks:
        known[block] = now_ms
