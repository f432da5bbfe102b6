"""Usage of customers in windows of true time, summed over all entries."""

from __future__ import annotations

# Windows that an entry keeps and reports to its peers.
KEPT_WINDOWS = 4

Counts = dict[str, int]


class Usage:
    """Requests that began to run, by window and customer.

    Each entry counts its own and keeps what it last heard of every peer's
    incarnation, dead ones included.
    """

    __slots__ = ("_own", "_peers", "_window_ms")

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._own: dict[int, Counts] = {}
        # Counts of each window by the peer's name with its incarnation.
        self._peers: dict[int, dict[str, Counts]] = {}

    def window_of(self, wall_ms: int) -> int:
        """Return the number of the window that holds a time."""
        return wall_ms // self._window_ms

    def end_ms(self, window: int) -> int:
        """Return the wall time at which a window ends."""
        return (window + 1) * self._window_ms

    def record(self, customer: str, wall_ms: int) -> None:
        """Count a request that has begun to run."""
        window = self.window_of(wall_ms)
        counts = self._own.get(window)
        if counts is None:
            counts = self._own[window] = {}
            self._trim(window)
        counts[customer] = counts.get(customer, 0) + 1

    def newest(self, windows: int) -> dict[int, Counts]:
        """Return this entry's counts of its newest windows."""
        newest = sorted(self._own)[-windows:]
        return {window: dict(self._own[window]) for window in newest}

    def hear(self, peer: str, windows: dict[int, Counts]) -> None:
        """Keep the counts that a peer's incarnation reports."""
        for window, counts in windows.items():
            self._peers.setdefault(window, {})[peer] = counts
        while len(self._peers) > 2 * KEPT_WINDOWS:
            del self._peers[min(self._peers)]

    def total(self, window: int) -> Counts:
        """Return the counts of a window over all entries."""
        total = dict(self._own.get(window, {}))
        for counts in self._peers.get(window, {}).values():
            for customer, count in counts.items():
                total[customer] = total.get(customer, 0) + count
        return total

    def _trim(self, newest: int) -> None:
        for window in list(self._own):
            if window <= newest - KEPT_WINDOWS:
                del self._own[window]
