"""An entry's share of the limit that an upstream names for all entries.

Only so many entries use such an upstream that their shares are not too small
for whole requests. Which ones do follows from the order of the entries and of
the upstreams, without a message, and all entries have the same sum of shares.
"""

from __future__ import annotations

import bisect
import zlib

# Requests that all entries together may be ahead of their shares, as requests a
# second of the limit and in addition. As each may be one ahead at least, all
# send at most six times the limit and 4 in 4 s; the platform permits six times
# and 5.
BURST_PER_LIMIT = 2.0
EXTRA_BURST = 3.0
# Entries that use an upstream. More of them are ahead of less each, and lose
# what they don't use; but each entry needs some upstreams.
MIN_HOLDERS = 3
UPSTREAMS_PER_ENTRY = 2
# An upstream with a lower limit gets requests at this rate, since only answers
# show that its limit has ended.
MIN_LIMIT_PER_S = 0.2


class EntryRing:
    """The entries, ordered by the hash of their names."""

    __slots__ = ("_own_position", "_size")

    def __init__(self, names: list[str], own_name: str) -> None:
        hashes = sorted(_hash(name) for name in {*names, own_name})
        self._size = len(hashes)
        self._own_position = bisect.bisect_left(hashes, _hash(own_name))

    def own_rank(self, position: int, count: int) -> int:
        """Return how many entries precede this one for an upstream.

        `position` is that of the upstream among the `count` of its service.
        """
        start = position * self._size // max(1, count)
        return (self._own_position - start) % self._size

    def own_weight(
        self, position: int, count: int, limit_per_s: float
    ) -> float:
        """Return this entry's part of an upstream's limit, from 0 to 1.

        The upstreams are spaced evenly over the ring. Each is divided among the
        next entries, the first and the last of which may have a fraction, so
        that all entries have the same sum of parts.
        """
        holders = self._holders(count, limit_per_s)
        if holders >= self._size:
            return 1 / self._size
        start = position * self._size / max(1, count)
        offset = (self._own_position - start) % self._size
        overlap = max(0.0, min(offset + 1, holders) - offset)
        overlap += min(max(0.0, offset + 1 - self._size), holders)
        return overlap / holders

    def _holders(self, count: int, limit_per_s: float) -> float:
        """Return how many entries use an upstream, whole or in part.

        A multiple of the distance of two upstreams on the ring, so that all of
        the ring is covered equally often, unless the limit is too low for that.
        """
        distance = self._size / max(1, count)
        most = max(MIN_HOLDERS, _total_burst(limit_per_s))
        wanted = max(MIN_HOLDERS, UPSTREAMS_PER_ENTRY * distance)
        multiple = max(1, round(min(wanted, most) / distance))
        if multiple * distance > most:
            multiple = int(most / distance)
        return multiple * distance if multiple else most


class LimitShare:
    """The limit of one upstream, and this entry's share as a token bucket.

    `limit_per_s` is None once the upstream has named none any more. `seen_ms`
    is the time of the answer that is the newest known.
    """

    __slots__ = (
        "_burst",
        "_level",
        "_updated_ms",
        "changed_ms",
        "limit_per_s",
        "rank",
        "seen_ms",
        "share_per_s",
    )

    def __init__(self, limit_per_s: float | None, seen_ms: int) -> None:
        self.limit_per_s = limit_per_s
        self.seen_ms = seen_ms
        self.changed_ms = seen_ms
        # Entries that precede this one; 0 for the first of them.
        self.rank: int | None = None
        self.share_per_s = 0.0
        self._burst = 1.0
        # Unknown until the first division.
        self._level = 0.0
        self._updated_ms = seen_ms

    def divide(
        self, ring: EntryRing, position: int, count: int, now_ms: int
    ) -> None:
        """Update this entry's share from the known entries and upstreams."""
        self._refill(now_ms)
        is_first = self.share_per_s == 0.0 and self.rank is None
        self.rank = ring.own_rank(position, count)
        if self.limit_per_s is None:
            return
        limit_per_s = max(self.limit_per_s, MIN_LIMIT_PER_S)
        weight = ring.own_weight(position, count, limit_per_s)
        self._burst = max(1.0, _total_burst(limit_per_s) * weight)
        self.share_per_s = limit_per_s * weight
        if is_first and weight:
            # An entry that starts again must not be ahead at once.
            self._level = 1.0

    def take(self, now_ms: int) -> None:
        """Count a request that is sent, or that will be when there is room."""
        if self.limit_per_s is None:
            return
        self._refill(now_ms)
        self._level -= 1.0

    def room_in_ms(self, now_ms: int) -> int | None:
        """Return when this entry may send the next one; None if never."""
        if self.limit_per_s is None:
            return 0
        self._refill(now_ms)
        if self._level >= 1.0:
            return 0
        if not self.share_per_s:
            return None
        return int((1.0 - self._level) * 1_000 / self.share_per_s) + 1

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        refilled = self._level + self.share_per_s * elapsed_ms / 1_000
        self._level = min(self._burst, refilled)


def _total_burst(limit_per_s: float) -> float:
    return limit_per_s * BURST_PER_LIMIT + EXTRA_BURST


def _hash(name: str) -> int:
    return zlib.crc32(name.encode())
