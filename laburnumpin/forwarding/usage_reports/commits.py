"""The counts of usage windows that are reported."""

from __future__ import annotations

import json

from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.usage_reports import counts as usage
from laburnumpin.forwarding.usage_reports import windows

# Longest row of a window.
MAX_ROW_BYTES = 1_048_576
# Usage windows whose rows are kept in the store.
KEPT_USAGE_ROWS = 8

Table = interfaces.Table


class UsageCommits:
    """The counts of usage windows, committed to the store before a report.

    The first holder's counts are stored; every later holder reports those, so
    that a repeated report of a window is identical. A restored store may have
    lost them: the holder that committed them writes them again, and another one
    does not report a window that may have been reported before the restore.
    """

    __slots__ = ("_committed", "_era", "_era_since_ms", "_store")

    def __init__(self, store: interfaces.StoreClient) -> None:
        self._store = store
        # What this entry has committed or read, by window.
        self._committed: dict[int, usage.Counts] = {}
        # The store's era, and when it was first heard of, wall-clock time.
        self._era = 0
        self._era_since_ms = 0

    async def note_era(self, era: int, since_ms: int) -> None:
        """Write committed counts again if the store has started a new era.

        `since_ms` is when this process first heard of it, wall-clock time.

        Raises:
            LaburnumpinError: The store is unavailable.
        """
        if era <= self._era:
            return
        for window, counts in sorted(self._committed.items()):
            try:
                await self._write(window, counts)
            except interfaces.ConflictError:
                continue  # The copy has the row, or another holder wrote it.
        self._era = era
        self._era_since_ms = since_ms

    async def commit(
        self, window: int, window_ms: int, counts: usage.Counts
    ) -> usage.Counts | None:
        """Store the counts of a window, and return the ones to report.

        Return None if counts of the window may have been reported and lost.

        Raises:
            LaburnumpinError: The store is unavailable or has lost the row.
        """
        # When a holder whose clock is ahead may have committed it.
        earliest_ms = (window + 1) * window_ms + windows.EARLIEST_COMMIT_MS
        earliest_ms -= usage.CLOCK_MARGIN_MS
        if window not in self._committed and earliest_ms <= self._era_since_ms:
            stored = await self._read(window)
            if stored is not None:
                self._keep(window, stored)
            return stored
        counts = self._committed.get(window, counts)
        try:
            await self._write(window, counts)
        except interfaces.ConflictError:
            stored = await self._read(window)
            if stored is None:
                raise
            counts = stored
        self._keep(window, counts)
        if window % KEPT_USAGE_ROWS == 0:
            old = range(window - 2 * KEPT_USAGE_ROWS, window - KEPT_USAGE_ROWS)
            await self._store.remove(
                Table.USAGE, tuple(str(number) for number in old)
            )
        return counts

    def _keep(self, window: int, counts: usage.Counts) -> None:
        self._committed[window] = counts
        while len(self._committed) > KEPT_USAGE_ROWS:
            del self._committed[min(self._committed)]

    async def _write(self, window: int, counts: usage.Counts) -> None:
        value = json.dumps(counts).encode()
        await self._store.write(Table.USAGE, str(window), value, 0)

    async def _read(self, window: int) -> usage.Counts | None:
        rows = await self._store.read(Table.USAGE)
        for row in rows.rows:
            if row.key == str(window) and row.value is not None:
                return decode_counts(row.value)
        return None


def decode_counts(value: bytes) -> usage.Counts:
    """Return the counts of a usage window.

    Raises:
        MalformedError: The row is malformed.
    """
    counts = {}
    for customer, count in untrusted.parse_json(value, MAX_ROW_BYTES).items():
        counts[customer] = untrusted.integer(count, "counts")
    return counts
