"""When an entry writes its counts to a row of its own in the store.

The pattern is a cut between the entry and the lease holder: digests reach the
holder no more, or only in one direction, while both reach the store.
"""

from __future__ import annotations

import random

# An entry that has received no digest of a holder for this long takes its
# counts as not delivered: two and a half of the longest periods of its digests.
HOLDER_SILENCE_MS = 2_000
# A digest of the holder shows that its entry's counts of windows that ended
# this long before have arrived, unless the holder names the entry.
DELIVERED_MS = 2_500
# A holder's digest that names the entry counts for this long.
NAMED_MS = 2_000
# Entries write at random times within a span that grows with their number, so
# that 100 of them write in a second, up to the longest span.
SPREAD_MS_PER_ENTRY = 10
MAX_SPREAD_MS = 2_000
# Pause after a failed write.
RETRY_PAUSE_MS = 500


class Delivery:
    """Decides when to write the row; times are on the boot clock unless named.

    A row holds the counts of all kept windows. It is written again only when a
    later window has ended.
    """

    __slots__ = ("_due_ms", "_random", "_started_ms", "_written_to_ms")

    def __init__(self, started_ms: int, generator: random.Random) -> None:
        self._started_ms = started_ms
        self._random = generator
        # When the write is due; None while none is.
        self._due_ms: float | None = None
        # End of the newest window in the row, wall-clock time.
        self._written_to_ms = 0

    def is_due(
        self,
        now_ms: int,
        wall_ms: int,
        ended_ms: int,
        heard_ms: int | None,
        named_ms: int | None,
        entries: int,
    ) -> bool:
        """Return whether to write the row now.

        `ended_ms` is the end of the newest window that has ended, wall-clock
        time, and `heard_ms` and `named_ms` the times of the holder's last
        digest and of the last one that named this entry.
        """
        since_ms = self._started_ms if heard_ms is None else heard_ms
        silent_ms = now_ms - since_ms
        is_named = named_ms is not None and now_ms <= named_ms + NAMED_MS
        delivered_ms = 0
        if not is_named:
            delivered_ms = wall_ms - silent_ms - DELIVERED_MS
        is_in_doubt = is_named or silent_ms > HOLDER_SILENCE_MS
        if not is_in_doubt or ended_ms <= max(
            delivered_ms, self._written_to_ms
        ):
            self._due_ms = None
            return False
        if self._due_ms is None:
            spread_ms = min(MAX_SPREAD_MS, SPREAD_MS_PER_ENTRY * entries)
            self._due_ms = now_ms + self._random.uniform(0, spread_ms)
        return now_ms >= self._due_ms

    def record_written(self, ended_ms: int) -> None:
        """Record that the row holds all windows that ended until a time."""
        self._written_to_ms = ended_ms
        self._due_ms = None

    def record_failure(self, now_ms: int) -> None:
        """Record that the write failed or its outcome is not known."""
        self._due_ms = now_ms + RETRY_PAUSE_MS * self._random.uniform(1, 2)

    def forget(self) -> None:
        """Take the row as lost: a restored store may not have it."""
        self._written_to_ms = 0
