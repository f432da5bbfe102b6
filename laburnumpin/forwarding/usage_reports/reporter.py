"""Delivers an entry's usage to the lease holder, and reports it as the holder.

An entry whose digests may not reach the holder writes its counts to a row of
its own. The holder reads these rows before it commits a window for which counts
are missing.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from laburnumpin import exceptions
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import settings as forwarding_settings
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding.usage_reports import commits
from laburnumpin.forwarding.usage_reports import counts as usage
from laburnumpin.forwarding.usage_reports import delivery
from laburnumpin.forwarding.usage_reports import rows
from laburnumpin.forwarding.usage_reports import windows
from laburnumpin.server import logs

# Key of the row in which the holder keeps what it knows of all entries. Those
# of entries' rows contain a slash.
CHECKPOINT_KEY = "checkpoint"
CHECK_PERIOD_S = 0.25
# Pause, for each entry, after a check of which counts are missing.
PAUSE_MS_PER_ENTRY = 0.4
# Rows that one call removes.
MAX_REMOVED_ROWS = 100
# Names of missing entries, and malformed rows, that are logged.
MAX_LOGGED_NAMES = 8
MAX_LOGGED_ROWS = 256
MAX_LOGGED_KEY_CHARS = 200
# Missing entries that a digest names.
MAX_NAMED = 24

Table = interfaces.Table


class UsageReporter:
    """Writes this entry's row when needed, and reports windows as holder."""

    __slots__ = (
        "_checkpointed",
        "_cloud",
        "_commits",
        "_delivery",
        "_held_since_ms",
        "_incarnation_name",
        "_last_reported",
        "_logged_rows",
        "_next_check_ms",
        "_read_wall_ms",
        "_row_era",
        "_settings",
        "_shell",
        "_store",
    )

    def __init__(
        self,
        shell: shells.Shell,
        store: interfaces.StoreClient,
        cloud: interfaces.CloudClient,
        settings: forwarding_settings.ForwardingSettings,
    ) -> None:
        self._shell = shell
        self._store = store
        self._cloud = cloud
        self._settings = settings
        self._commits = commits.UsageCommits(store)
        state = shell.state
        self._incarnation_name = f"{state.name}/{state.incarnation_ms}"
        self._delivery = delivery.Delivery(shell.now_ms(), state.random)
        # Era of the store in which this entry's row was written.
        self._row_era = 0
        # The newest window that this holder has reported or skipped.
        self._last_reported: int | None = None
        # Since when this entry has held the lease, and when it last read the
        # entries' rows as holder, wall-clock time.
        self._held_since_ms = 0
        self._read_wall_ms: int | None = None
        self._next_check_ms = 0.0
        # The newest window of which the holder has written a checkpoint.
        self._checkpointed = 0
        # Malformed rows that were logged, with their versions, by key.
        self._logged_rows: dict[str, int] = {}

    def on_lease_changed(self, *, is_holder: bool) -> None:
        """Start anew as the holder, or as another entry."""
        self._last_reported = None
        self._read_wall_ms = None
        self._shell.state.usage.missing_names = ()
        if is_holder:
            self._held_since_ms = self._shell.wall_ms()

    async def run(self) -> None:
        """Write this entry's row when it is due, until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            await self._write_row_if_due()

    async def _write_row_if_due(self) -> None:
        state = self._shell.state
        if state.lease_token:
            return  # The holder has its own counts.
        now_ms, wall_ms = self._shell.now_ms(), self._shell.wall_ms()
        if self._row_era < state.store_era:
            self._delivery.forget()
        ended_ms = state.usage.end_ms(state.usage.window_of(wall_ms) - 1)
        if not self._delivery.is_due(
            now_ms,
            wall_ms,
            ended_ms,
            state.usage.holder_heard_ms,
            state.usage.named_ms,
            state.members.expected_count(now_ms),
        ):
            return
        own_windows = state.usage.newest_windows(usage.KEPT_WINDOWS)
        record = rows.Record(self._incarnation_name, wall_ms, own_windows)
        try:
            position = await self._write(self._incarnation_name, [record])
        except exceptions.LaburnumpinError as error:
            self._delivery.record_failure(self._shell.now_ms())
            logs.write(
                "usage_row_not_written",
                "info",
                {"code": error.code, "reason": error.message},
            )
            return
        self._delivery.record_written(ended_ms)
        if position is None:
            return
        self._row_era = max(state.store_era, position.era)
        state.counters.increment("usage_rows_written")
        logs.write(
            "usage_row_written",
            "info",
            {
                "requests": sum(sum(c.values()) for c in own_windows.values()),
                "windows": len(own_windows),
            },
        )

    async def _write(
        self, key: str, records: list[rows.Record]
    ) -> interfaces.Position | None:
        """Write a row; return None if the counts are too long for one."""
        value = rows.encode(records)
        if value is None:
            self._shell.state.counters.increment("usage_rows_too_long")
            return None
        return await self._store.write(Table.USAGE_COUNTS, key, value, None)

    async def report_next(
        self, may_act: Callable[[], bool], fencing_token: int
    ) -> None:
        """Do what is next for the oldest window that is not yet reported.

        Raises:
            FencedError: The platform has seen a higher fencing token.
            LaburnumpinError: A call failed; it is repeated.
        """
        counted = self._shell.state.usage
        wall_ms = self._shell.wall_ms()
        newest = counted.window_of(wall_ms - windows.EARLIEST_COMMIT_MS) - 1
        late_ms = self._settings.usage_late_ms - windows.REPORT_MARGIN_MS
        oldest = counted.window_of(wall_ms - late_ms)
        if self._last_reported is None:
            self._last_reported = oldest - 1
        window = max(self._last_reported + 1, oldest)
        if window > newest:
            counted.missing_names = ()
            return
        now_ms = self._shell.now_ms()
        if now_ms < self._next_check_ms:
            return
        entries = self._shell.state.members.count()
        self._next_check_ms = now_ms + PAUSE_MS_PER_ENTRY * entries
        if await self._is_complete(window, wall_ms):
            await self._report(window, may_act, fencing_token)

    async def _is_complete(self, window: int, wall_ms: int) -> bool:
        """Return whether to commit a window now; read rows if that is due."""
        counted = self._shell.state.usage
        end_ms = counted.end_ms(window)
        elapsed_ms = wall_ms - end_ms
        missing = counted.missing(window, self._incarnation_name)
        counted.missing_names = ()
        if elapsed_ms >= windows.SETTLE_MS:
            counted.missing_names = tuple(missing[:MAX_NAMED])
        read_after_ms = None
        if self._read_wall_ms is not None:
            read_after_ms = self._read_wall_ms - end_ms
            if read_after_ms < windows.SETTLE_MS:
                read_after_ms = None
        # Later than that, the entries have dropped their counts of the window.
        kept_ms = (usage.KEPT_WINDOWS - 1) * self._settings.usage_window_ms
        step = windows.next_step(
            elapsed_ms,
            min(self._settings.usage_late_ms, kept_ms),
            missing=len(missing),
            read_after_ms=read_after_ms,
            is_inherited=end_ms - self._settings.usage_window_ms
            < self._held_since_ms,
        )
        if step is windows.Step.COMMIT:
            if missing:
                self._note_incomplete(window, missing)
            return True
        if step is windows.Step.READ:
            if missing and self._checkpointed < window:
                await self._write_checkpoint(window)
            await self._read_rows(wall_ms)
        return False

    def _note_incomplete(self, window: int, missing: list[str]) -> None:
        self._shell.state.counters.increment("usage_windows_incomplete")
        logs.write(
            "usage_window_incomplete",
            "warning",
            {
                "window": window,
                "missing": len(missing),
                "entries": ", ".join(missing[:MAX_LOGGED_NAMES]),
            },
        )

    async def _write_checkpoint(self, window: int) -> None:
        """Keep all known counts for the next holder while this one waits."""
        counted = self._shell.state.usage
        own_windows = counted.newest_windows(usage.KEPT_WINDOWS)
        records = [
            rows.Record(
                self._incarnation_name, self._shell.wall_ms(), own_windows
            )
        ]
        for name, by_window in counted.peer_windows(window).items():
            records.append(
                rows.Record(name, counted.counted_to_ms(name), by_window)
            )
        await self._write(CHECKPOINT_KEY, records)
        self._checkpointed = window
        self._shell.state.counters.increment("usage_checkpoints")

    async def _read_rows(self, wall_ms: int) -> None:
        """Merge the counts in the entries' rows, and remove old rows."""
        state = self._shell.state
        result = await self._store.read(Table.USAGE_COUNTS)
        self._shell.note_store_era(result.era)
        self._read_wall_ms = wall_ms
        current = state.usage.window_of(wall_ms)
        old_keys: list[str] = []
        merged = 0
        for row in result.rows:
            if row.value is None:
                continue
            try:
                records = rows.decode(row.value, wall_ms + usage.MAX_LEAD_MS)
            except exceptions.DocumentError as error:
                self._note_malformed(row, error)
                continue
            merged += 1
            for record in records:
                self._merge(record, current, row.key == CHECKPOINT_KEY)
            newest_ms = max((r.counted_to_ms for r in records), default=0)
            if state.usage.window_of(newest_ms) < current - 2 * (
                usage.KEPT_WINDOWS
            ):
                old_keys.append(row.key)
        state.counters.increment("usage_rows_reads")
        logs.write(
            "usage_rows_read",
            "info",
            {"rows": merged, "old": len(old_keys)},
        )
        await self._remove(old_keys)

    def _merge(
        self, record: rows.Record, current: int, is_checkpoint: bool
    ) -> None:
        """Merge a record; windows out of range would displace the others."""
        if record.incarnation_name == self._incarnation_name:
            return
        by_window = {}
        for window, counts in record.windows.items():
            if current - usage.KEPT_WINDOWS <= window <= current + 1:
                by_window[window] = counts
        self._shell.state.usage.record_peer_counts(
            record.incarnation_name,
            by_window,
            record.counted_to_ms,
            # A checkpoint leaves out windows that were reported.
            max_windows=0 if is_checkpoint else usage.KEPT_WINDOWS,
        )

    def _note_malformed(
        self, row: interfaces.Row, error: exceptions.DocumentError
    ) -> None:
        self._shell.state.counters.increment("usage_rows_malformed")
        if self._logged_rows.get(row.key) == row.version:
            return
        if len(self._logged_rows) >= MAX_LOGGED_ROWS:
            self._logged_rows.clear()
        self._logged_rows[row.key] = row.version
        logs.write(
            "usage_row_malformed",
            "warning",
            {
                "row": row.key[:MAX_LOGGED_KEY_CHARS],
                "code": error.code,
                "reason": error.message,
            },
        )

    async def _remove(self, keys: list[str]) -> None:
        if not keys:
            return
        try:
            await self._store.remove(
                Table.USAGE_COUNTS, tuple(keys[:MAX_REMOVED_ROWS])
            )
        except exceptions.LaburnumpinError as error:
            # The next read finds them again.
            logs.write(
                "usage_rows_not_removed",
                "info",
                {"code": error.code, "reason": error.message},
            )

    async def _report(
        self, window: int, may_act: Callable[[], bool], fencing_token: int
    ) -> None:
        """Commit a window and report what is committed."""
        state = self._shell.state
        elapsed_ms = self._shell.now_ms() - state.store_era_since_ms
        await self._commits.note_era(
            state.store_era, self._shell.wall_ms() - elapsed_ms
        )
        counts = await self._commits.commit(
            window, self._settings.usage_window_ms, state.usage.total(window)
        )
        if counts is None:
            self._last_reported = window
            state.counters.increment("usage_windows_skipped")
            logs.write(
                "usage_window_skipped",
                "warning",
                {"window": window, "era": state.store_era},
            )
            return
        if not may_act():
            return
        await self._cloud.report_usage(fencing_token, window, counts)
        self._last_reported = window
        logs.write(
            "usage_reported",
            "info",
            {
                "window": window,
                "requests": sum(counts.values()),
                "fencing_token": fencing_token,
            },
        )
