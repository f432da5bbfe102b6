"""Usage of customers in windows of time, summed over all entries.

Windows follow the median wall-clock time of the entries.
"""

from __future__ import annotations

from laburnumpin.forwarding import untrusted

# Windows that an entry keeps of its own counts; it keeps twice as many of its
# peers' counts.
KEPT_WINDOWS = 4
# An incarnation whose counts reach to this time before the end of a window may
# have run in that window too.
EXPECTED_MS = 12_000
# An incarnation's counts of a window are complete when they were counted this
# long after its end, as the median of the clocks may go back a little.
CLOCK_MARGIN_MS = 250
# Times of others may be ahead of this entry's by this much. Later ones come
# from a clock that was wrong, and tell nothing of what was counted.
MAX_LEAD_MS = 5_000

# Requests by customer.
Counts = dict[str, int]


class Usage:
    """Requests that began to run, by window and customer.

    An entry counts its own and keeps the highest counts that it received of
    every incarnation of a peer, including those that have ended. Counts only
    grow, so that repeated, late and reordered ones change nothing.
    """

    __slots__ = (
        "_counted_to_ms",
        "_gaps",
        "_next_forget_ms",
        "_own_counts",
        "_peer_counts",
        "_window_ms",
        "holder_heard_ms",
        "missing_names",
        "named_ms",
        "wall_offset_ms",
    )

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._own_counts: dict[int, Counts] = {}
        # Counts of each window, by the key of the peer's incarnation.
        self._peer_counts: dict[int, dict[str, Counts]] = {}
        # Until when the counts of an incarnation are known, wall-clock time.
        self._counted_to_ms: dict[str, int] = {}
        # Time before that of which the counts of an incarnation are not known:
        # a digest after a cut has its newest windows only.
        self._gaps: dict[str, tuple[int, int]] = {}
        # When ended incarnations are forgotten next, wall-clock time.
        self._next_forget_ms = 0
        # The median wall-clock time minus the boot clock; None before it is
        # known.
        self.wall_offset_ms: int | None = None
        # Names of entries without complete counts, while this one reports.
        self.missing_names: tuple[str, ...] = ()
        # When a holder's last digest arrived, and the last one that named this
        # entry, on the boot clock; None before.
        self.holder_heard_ms: int | None = None
        self.named_ms: int | None = None

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
            self._drop_other_windows(window)
        counts[customer] = counts.get(customer, 0) + 1

    def newest_windows(self, windows: int) -> dict[int, Counts]:
        """Return this entry's counts of its newest windows, by window."""
        newest = sorted(self._own_counts)[-windows:]
        return {window: dict(self._own_counts[window]) for window in newest}

    def peer_windows(self, oldest: int) -> dict[str, dict[int, Counts]]:
        """Return the peers' counts since a window, by incarnation."""
        found: dict[str, dict[int, Counts]] = {}
        for window, by_incarnation in self._peer_counts.items():
            if window < oldest:
                continue
            for incarnation_name, counts in by_incarnation.items():
                found.setdefault(incarnation_name, {})[window] = counts
        return found

    def counted_to_ms(self, incarnation_name: str) -> int:
        """Return until when all counts of an incarnation are known."""
        counted_to_ms = self._counted_to_ms.get(incarnation_name, 0)
        gap = self._gaps.get(incarnation_name)
        return counted_to_ms if gap is None else min(counted_to_ms, gap[0])

    def record_peer_counts(
        self,
        incarnation_name: str,
        windows: dict[int, Counts],
        counted_to_ms: int = 0,
        *,
        max_windows: int = KEPT_WINDOWS,
        now_ms: int | None = None,
    ) -> None:
        """Merge counts of a peer's incarnation, of a digest or of a row.

        `counted_to_ms` is when they were counted, wall-clock time. Where there
        are `max_windows` windows, older ones may have been left out. Times that
        are too far ahead of `now_ms`, on the boot clock, are ignored.
        """
        latest_ms = untrusted.MAX_UNIX_MS
        if now_ms is not None and self.wall_offset_ms is not None:
            wall_ms = now_ms + self.wall_offset_ms
            latest_ms = wall_ms + MAX_LEAD_MS
            self._forget_ended(wall_ms)
        if counted_to_ms <= latest_ms:
            self._note_counted(
                incarnation_name, windows, counted_to_ms, max_windows
            )
        for window, counts in windows.items():
            if window * self._window_ms > latest_ms:
                continue  # It would displace the others.
            by_incarnation = self._peer_counts.setdefault(window, {})
            known = by_incarnation.setdefault(incarnation_name, {})
            for customer, count in counts.items():
                known[customer] = max(count, known.get(customer, 0))
        while len(self._peer_counts) > 2 * KEPT_WINDOWS:
            del self._peer_counts[min(self._peer_counts)]

    def _note_counted(
        self,
        incarnation_name: str,
        windows: dict[int, Counts],
        counted_to_ms: int,
        max_windows: int,
    ) -> None:
        """Note until when the counts of an incarnation are known."""
        self._note_gap(incarnation_name, windows, counted_to_ms, max_windows)
        self._counted_to_ms[incarnation_name] = max(
            counted_to_ms, self._counted_to_ms.get(incarnation_name, 0)
        )

    def _forget_ended(self, wall_ms: int) -> None:
        """Forget incarnations that no window asks for, once in a window."""
        # The clock may have been set back.
        if 0 < self._next_forget_ms - wall_ms <= self._window_ms:
            return
        self._next_forget_ms = wall_ms + self._window_ms
        oldest_ms = wall_ms - EXPECTED_MS - 2 * KEPT_WINDOWS * self._window_ms
        for key, counted_to_ms in list(self._counted_to_ms.items()):
            if counted_to_ms < oldest_ms:
                del self._counted_to_ms[key]
                self._gaps.pop(key, None)

    def _note_gap(
        self,
        incarnation_name: str,
        windows: dict[int, Counts],
        counted_to_ms: int,
        max_windows: int,
    ) -> None:
        """Note until when counts are missing that these ones leave out."""
        covered_from_ms = 0
        if len(windows) >= max_windows:
            oldest = min(windows, default=self.window_of(counted_to_ms))
            covered_from_ms = oldest * self._window_ms
        known_ms = self._counted_to_ms.get(incarnation_name, 0)
        gap = self._gaps.get(incarnation_name)
        if gap is None:
            # It has run nothing before its start.
            from_ms = max(known_ms, _split(incarnation_name)[1])
            if from_ms < covered_from_ms:
                self._gaps[incarnation_name] = from_ms, covered_from_ms
            return
        from_ms, to_ms = gap
        if covered_from_ms > known_ms:
            self._gaps[incarnation_name] = from_ms, covered_from_ms
        elif counted_to_ms < to_ms:
            # Counted before the gap ended: a row that is read again, or a late
            # digest.
            if covered_from_ms <= from_ms < counted_to_ms:
                self._gaps[incarnation_name] = counted_to_ms, to_ms
        elif covered_from_ms <= from_ms:
            del self._gaps[incarnation_name]
        elif covered_from_ms < to_ms:
            self._gaps[incarnation_name] = from_ms, covered_from_ms

    def missing(self, window: int, own_incarnation_name: str) -> list[str]:
        """Return the entries whose counts of an ended window may be partial.

        They are the incarnations that ran shortly before or in the window and
        have not counted past its end, unless a later one has replaced them.
        """
        end_ms = self.end_ms(window)
        newest: dict[str, int] = {}
        own_name, own_incarnation = _split(own_incarnation_name)
        newest[own_name] = own_incarnation
        for key in self._counted_to_ms:
            name, incarnation = _split(key)
            newest[name] = max(incarnation, newest.get(name, 0))
        names = []
        for key, counted_to_ms in self._counted_to_ms.items():
            name, incarnation = _split(key)
            if incarnation < newest[name] or key == own_incarnation_name:
                continue
            if counted_to_ms < end_ms - max(EXPECTED_MS, 2 * self._window_ms):
                continue
            from_ms, to_ms = self._gaps.get(key, (0, 0))
            is_in_gap = from_ms < end_ms + CLOCK_MARGIN_MS and end_ms <= to_ms
            if is_in_gap or counted_to_ms < end_ms + CLOCK_MARGIN_MS:
                names.append(name)
        return sorted(names)

    def total(self, window: int) -> Counts:
        """Return the counts of a window over all entries."""
        total = dict(self._own_counts.get(window, {}))
        for counts in self._peer_counts.get(window, {}).values():
            for customer, count in counts.items():
                total[customer] = total.get(customer, 0) + count
        return total

    def _drop_other_windows(self, newest: int) -> None:
        """Drop windows that are old, or later than a clock that was set back.

        The later ones would take the places of the newest ones in digests.
        """
        for window in list(self._own_counts):
            if not newest - KEPT_WINDOWS < window <= newest + 1:
                del self._own_counts[window]


def _split(incarnation_name: str) -> tuple[str, int]:
    """Return the name of an entry and its incarnation."""
    name, _, incarnation = incarnation_name.rpartition("/")
    return name, int(incarnation) if incarnation.isdecimal() else 0
