"""Division of the engines into classes by prompt size.

An engine reads prompts one after the other, and the longest take a hundred
times as long as the shortest. In large fleets the digests report too late what
other entries have just sent to an engine, so short prompts often queue behind
long ones. Each size class therefore has engines of its own, in proportion to
its share of the work; a request goes to an engine of another class when its
own class is much more loaded.
"""

from __future__ import annotations

import bisect

from laburnumpin.forwarding import requests
from laburnumpin.forwarding import upstreams

# Longest prompt of each class but the last, in tokens. An engine reads them in
# 30 to 420 ms (data sheet); each takes two to three times as long as the one
# of the class before.
CLASS_LIMITS_TOKENS = (2_048, 4_096, 12_288, 28_672)
CLASS_COUNT = len(CLASS_LIMITS_TOKENS) + 1
# Fewer engines than this are not divided into classes.
MIN_DIVIDED_ENGINES = 2 * CLASS_COUNT
# Weight of the newest sample in the moving average of the shares.
SAMPLE_WEIGHT = 0.2
# A sample covers at least this much engine time, ms.
MIN_SAMPLE_WORK_MS = 500.0


def size_class(request: requests.Request) -> int:
    """Return the class of a request's prompt, 0 having the shortest prompts."""
    if request.prompt is None:
        return 0
    return bisect.bisect_left(CLASS_LIMITS_TOKENS, request.prompt.tokens)


class WorkShares:
    """The size classes' shares of the work for one service.

    They are exponential moving averages and sum up to 1.
    """

    __slots__ = ("_previous_ms", "shares")

    def __init__(self) -> None:
        self._previous_ms = [0.0] * CLASS_COUNT
        # None until the first sample.
        self.shares: list[float] | None = None

    def observe(self, work_ms: list[float]) -> None:
        """Add the total work of each class so far, in ms of engine time."""
        new_ms = []
        for total_ms, previous_ms in zip(
            work_ms, self._previous_ms, strict=True
        ):
            new_ms.append(total_ms - previous_ms)
        total_new_ms = sum(new_ms)
        if min(new_ms) < 0:
            self._previous_ms = work_ms  # An entry has restarted.
            return
        if total_new_ms < MIN_SAMPLE_WORK_MS:
            return
        self._previous_ms = work_ms
        newest = [each_ms / total_new_ms for each_ms in new_ms]
        if self.shares is None:
            self.shares = newest
            return
        for class_index, share in enumerate(self.shares):
            self.shares[class_index] += (
                newest[class_index] - share
            ) * SAMPLE_WEIGHT


def divide_engines(
    candidates: list[upstreams.Upstream], shares: list[float]
) -> list[list[upstreams.Upstream]]:
    """Return the engines of each class; every class has at least one.

    The result is the same at all entries with the same engines and shares. A
    change of either moves only a few engines to a neighbouring class.
    """
    ordered = sorted(candidates, key=lambda upstream: upstream.order_hash)
    divided = []
    start, cumulative_share = 0, 0.0
    for class_index, share in enumerate(shares):
        cumulative_share += share
        end_limit = len(ordered) - (len(shares) - 1 - class_index)
        end = min(
            end_limit, max(start + 1, round(len(ordered) * cumulative_share))
        )
        if class_index == len(shares) - 1:
            end = len(ordered)
        divided.append(ordered[start:end])
        start = end
    return divided
