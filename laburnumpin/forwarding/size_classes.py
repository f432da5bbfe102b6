"""Engines for prompts of about the same size.

An engine reads prompts one after the other, and the longest take a hundred
times as long as the shortest. With many entries none knows in time what the
others have just sent where, so that a short prompt often waits behind a long
one. Each class of sizes therefore has engines of its own, as many as its part
of the work; a request goes to others when its own are much fuller.
"""

from __future__ import annotations

import bisect

from laburnumpin.forwarding import requests
from laburnumpin.forwarding import upstreams

# Prompts of at most this many tokens, for each class but the last. An engine
# reads them in 30 to 420 ms (data sheet), each two to three times as long as
# those of the class before.
CLASS_LIMITS_TOKENS = (2_048, 4_096, 12_288, 28_672)
CLASS_COUNT = len(CLASS_LIMITS_TOKENS) + 1
# Fewer engines than this are not divided.
MIN_DIVIDED_ENGINES = 2 * CLASS_COUNT
# Weight of the newest reading in the classes' parts of the work.
SAMPLE_WEIGHT = 0.2
# A reading counts once this much engine time was asked for, ms.
MIN_SAMPLE_WORK_MS = 500.0


def size_class(request: requests.Request) -> int:
    """Return the class of a request's prompt, 0 being the shortest."""
    if request.prompt is None:
        return 0
    return bisect.bisect_left(CLASS_LIMITS_TOKENS, request.prompt.tokens)


class WorkShares:
    """The classes' parts of the work for one service."""

    __slots__ = ("_last_ms", "shares")

    def __init__(self) -> None:
        self._last_ms = [0.0] * CLASS_COUNT
        # None until enough work was asked for.
        self.shares: list[float] | None = None

    def observe(self, work_ms: list[float]) -> None:
        """Take a reading of each class's work in total, in engine ms."""
        newly_ms = []
        for total_ms, last_ms in zip(work_ms, self._last_ms, strict=True):
            newly_ms.append(total_ms - last_ms)
        all_ms = sum(newly_ms)
        if min(newly_ms) < 0:
            self._last_ms = work_ms  # An entry has started again.
            return
        if all_ms < MIN_SAMPLE_WORK_MS:
            return
        self._last_ms = work_ms
        newest = [each_ms / all_ms for each_ms in newly_ms]
        if self.shares is None:
            self.shares = newest
            return
        for number, share in enumerate(self.shares):
            self.shares[number] += (newest[number] - share) * SAMPLE_WEIGHT


def divide_engines(
    candidates: list[upstreams.Upstream], shares: list[float]
) -> list[list[upstreams.Upstream]]:
    """Return the engines of each class; every class has one at least.

    Entries that know the same engines and work agree, and a change of either
    moves few engines from one class to the next.
    """
    ordered = sorted(candidates, key=lambda upstream: upstream.order_hash)
    divided = []
    start, cumulative_share = 0, 0.0
    for number, share in enumerate(shares):
        cumulative_share += share
        last = len(ordered) - (len(shares) - 1 - number)
        end = min(last, max(start + 1, round(len(ordered) * cumulative_share)))
        if number == len(shares) - 1:
            end = len(ordered)
        divided.append(ordered[start:end])
        start = end
    return divided
