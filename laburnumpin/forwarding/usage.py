"""Usage of customers in windows of time, summed over all entries.

Windows follow the median wall-clock time of the entries.
"""

from __future__ import annotations

# Windows that an entry keeps of its own counts; it keeps twice as many of its
# peers' counts.
KEPT_WINDOWS = 4

# Requests by customer.
Counts = dict[str, int]


class Usage:
    """Requests that began to run, by window and customer.

    An entry counts its own and keeps the last counts that it received of every
    incarnation of a peer, including those that have ended.
    """

    __slots__ = ("_own_counts", "_peer_counts", "_window_ms")

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._own_counts: dict[int, Counts] = {}
        # Counts of each window, by the key of the peer's incarnation.
        self._peer_counts: dict[int, dict[str, Counts]] = {}

    def window_of(self, wall_ms: int) -> int:
        """Return the number of the window that contains a time."""
        return wall_ms // self._window_ms

    def end_ms(self, window: int) -> int:
        """Return the wall-clock time at which a window ends."""
        return (window + 1) * self._window_ms

    def record(self, customer: str, wall_ms: int) -> None:
        """Count a request that has begun to run."""
        window = self.window_of(wall_ms)
        counts = self._own_counts.get(window)
        if counts is None:
            counts = self._own_counts[window] = {}
            self._drop_old_windows(window)
        counts[customer] = counts.get(customer, 0) + 1

    def newest_windows(self, windows: int) -> dict[int, Counts]:
        """Return this entry's counts of its newest windows, by window."""
        newest = sorted(self._own_counts)[-windows:]
        return {window: dict(self._own_counts[window]) for window in newest}

    def record_peer_counts(
        self, incarnation_name: str, windows: dict[int, Counts]
    ) -> None:
        """Replace the counts of a peer's incarnation by those in a digest."""
        for window, counts in windows.items():
            self._peer_counts.setdefault(window, {})[incarnation_name] = counts
        while len(self._peer_counts) > 2 * KEPT_WINDOWS:
            del self._peer_counts[min(self._peer_counts)]

    def total(self, window: int) -> Counts:
        """Return the counts of a window over all entries."""
        total = dict(self._own_counts.get(window, {}))
        for counts in self._peer_counts.get(window, {}).values():
            for customer, count in counts.items():
                total[customer] = total.get(customer, 0) + count
        return total

    def _drop_old_windows(self, newest: int) -> None:
        for window in list(self._own_counts):
            if window <= newest - KEPT_WINDOWS:
                del self._own_counts[window]
