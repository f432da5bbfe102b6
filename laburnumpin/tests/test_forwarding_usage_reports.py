"""Tests of usage reports through cut-offs and the loss of all entries."""

from __future__ import annotations

import itertools
import random
from typing import Any
from typing import cast

import anyio
import hypothesis
from hypothesis import strategies
import pytest

from laburnumpin import exceptions
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding.usage_reports import commits
from laburnumpin.forwarding.usage_reports import counts as usage
from laburnumpin.forwarding.usage_reports import delivery
from laburnumpin.forwarding.usage_reports import reporter
from laburnumpin.forwarding.usage_reports import rows
from laburnumpin.forwarding.usage_reports import windows
from laburnumpin.tests import forwarding_builders as build

WINDOW_MS = 5_000
# Start of window 20.
START_MS = 100_000
Table = interfaces.Table


class _Platform:
    """A store and a cloud API in memory, which may be away."""

    def __init__(self) -> None:
        self.rows: dict[tuple[Table, str], interfaces.Row] = {}
        self.reports: dict[int, usage.Counts] = {}
        self.calls: list[str] = []
        self.is_away = False
        self.is_cloud_away = False
        self._version = 0

    async def read(self, table: Table) -> interfaces.Rows:
        self._call(f"read {table.value}")
        found = [row for (name, _), row in self.rows.items() if name is table]
        return interfaces.Rows(tuple(found), self._version)

    async def write(
        self, table: Table, key: str, value: bytes, expected_version: int | None
    ) -> interfaces.Position:
        self._call(f"write {table.value}")
        row = self.rows.get((table, key))
        if expected_version == 0 and row is not None:
            raise interfaces.ConflictError(key)
        self._version += 1
        self.rows[table, key] = interfaces.Row(key, value, self._version)
        return interfaces.Position(0, self._version)

    async def remove(self, table: Table, keys: tuple[str, ...]) -> None:
        for key in keys:
            self.rows.pop((table, key), None)

    async def report_usage(
        self, fencing_token: int, window: int, counts: usage.Counts
    ) -> None:
        if self.is_cloud_away:
            raise exceptions.PlatformUnavailableError("cloud")
        assert self.reports.setdefault(window, counts) == counts

    def _call(self, name: str) -> None:
        self.calls.append(name)
        if self.is_away:
            raise exceptions.PlatformUnavailableError("store")


class _Settings:
    usage_late_ms = 10_000

    def __init__(self, window_ms: int) -> None:
        self.usage_window_ms = window_ms


class _Entry:
    """An entry with its state; also the shell of its reporter."""

    def __init__(
        self, fleet: _Fleet, name: str, *, is_old: bool = False
    ) -> None:
        self.fleet = fleet
        # An entry of the build before writes no rows and does not name a time.
        self.is_old = is_old
        self.state = build.state()
        self.state.usage = usage.Usage(fleet.window_ms)
        self.state.name = name
        self.state.incarnation_ms = fleet.clock_ms
        self.key = f"{name}/{fleet.clock_ms}"
        self.reporter = reporter.UsageReporter(
            cast(Any, self),
            cast(Any, fleet.platform),
            cast(Any, fleet.platform),
            cast(Any, _Settings(fleet.window_ms)),
        )

    def now_ms(self) -> int:
        return self.fleet.clock_ms

    def wall_ms(self) -> int:
        return self.fleet.clock_ms

    def note_store_era(self, era: int) -> None:
        pass


class _Fleet:
    """Entries that run one request each in 100 ms; the first is the holder."""

    def __init__(
        self, names: str, old: str = "", window_ms: int = WINDOW_MS
    ) -> None:
        self.window_ms = window_ms
        self.clock_ms = START_MS
        self.platform = _Platform()
        self.entries: dict[str, _Entry] = {}
        # Names of entries without digests from and to the others.
        self.cut = ""
        # Names of entries that do not reach the store.
        self.unstored = ""
        # Requests that ran, by window.
        self.truth: dict[int, int] = {}
        for name in names:
            self.entries[name] = _Entry(self, name, is_old=name in old)
        self.holder: _Entry | None = None
        self.elect(names[0])

    def elect(self, name: str) -> None:
        self.holder = self.entries[name]
        self.holder.state.lease_token = 1
        self.holder.reporter.on_lease_changed(is_holder=True)

    def kill(self, names: str) -> None:
        for name in names:
            if self.entries.pop(name) is self.holder:
                self.holder = None

    def start(self, names: str) -> None:
        for name in names:
            self.entries[name] = _Entry(self, name)

    def run_until(self, ms: int) -> None:
        """Run until a time after the start of window 20."""
        while self.clock_ms < START_MS + ms:
            self.clock_ms += 100
            anyio.run(self._step)

    async def _step(self) -> None:
        window = self.clock_ms // self.window_ms
        for entry in self.entries.values():
            entry.state.usage.record("acme", self.clock_ms)
            self.truth[window] = self.truth.get(window, 0) + 1
            if not entry.is_old and entry.state.name not in self.unstored:
                await entry.reporter._write_row_if_due()
        if self.clock_ms % 500 == 0:
            self._exchange()
        if self.holder is not None:
            try:
                await self.holder.reporter.report_next(lambda: True, 1)
            except exceptions.LaburnumpinError:
                return

    def _exchange(self) -> None:
        for source, target in itertools.permutations(self.entries.values(), 2):
            if (source.state.name in self.cut) != (
                target.state.name in self.cut
            ):
                continue
            counted_ms = self.clock_ms - (1_500 if source.is_old else 0)
            target.state.usage.record_peer_counts(
                source.key,
                source.state.usage.newest_windows(2),
                counted_ms,
                max_windows=2,
            )
            if source is self.holder:
                target.state.usage.holder_heard_ms = self.clock_ms
                if target.state.name in source.state.usage.missing_names:
                    target.state.usage.named_ms = self.clock_ms

    def reported(self, window: int) -> int | None:
        counts = self.platform.reports.get(window)
        return None if counts is None else sum(counts.values())

    def check(self, reported_windows: range) -> None:
        for window in reported_windows:
            assert self.reported(window) == self.truth[window], window


# Load: digests of all entries arrive.
def test_connected_entries_add_no_store_calls_and_report_at_once() -> None:
    fleet = _Fleet("abc")
    fleet.run_until(5_000 + windows.EARLIEST_COMMIT_MS - 100)
    assert fleet.reported(20) is None
    fleet.run_until(6_500)
    fleet.platform.calls.clear()
    fleet.run_until(26_500)
    fleet.check(range(20, 25))
    assert fleet.platform.calls == ["write usage"] * 4


# Failure: a third of the entries is cut off from the others for 12 s, or for
# longer than a peer is remembered.
@pytest.mark.parametrize("cut_ms", [12_000, 31_000])
def test_entries_that_are_cut_off_are_in_the_reports(cut_ms: int) -> None:
    fleet = _Fleet("abcdef")
    fleet.run_until(3_000)
    fleet.cut = "ef"
    fleet.run_until(3_000 + cut_ms)
    fleet.cut = ""
    fleet.run_until(60_000)
    fleet.check(range(20, 31))


# Failure: all entries lose power while a window waits for an entry's counts.
def test_ended_window_outlives_the_loss_of_all_entries() -> None:
    fleet = _Fleet("abc", old="c")
    fleet.run_until(9_000)
    fleet.cut = "c"
    fleet.run_until(12_600)
    assert fleet.reported(21) is None
    fleet.kill("abc")
    fleet.run_until(13_500)
    fleet.start("abc")
    fleet.elect("b")
    fleet.cut = ""
    fleet.run_until(40_000)
    ran_after_the_last_digest = 10
    reported = fleet.reported(21)
    assert reported is not None
    assert fleet.truth[21] - ran_after_the_last_digest <= reported
    assert reported <= fleet.truth[21]
    fleet.check(range(23, 27))


# Failure: the store is restored right after a commit, and the next holder,
# whose clock is behind a little, hears of it at once.
def test_window_committed_before_a_restore_is_not_committed_again() -> None:
    platform = _Platform()
    usage_commits = commits.UsageCommits(cast(Any, platform))
    committed_ms = 21 * WINDOW_MS + windows.EARLIEST_COMMIT_MS

    async def commit() -> usage.Counts | None:
        await usage_commits.note_era(2, committed_ms - usage.CLOCK_MARGIN_MS)
        return await usage_commits.commit(20, WINDOW_MS, {"acme": 4})

    assert anyio.run(commit) is None
    assert platform.rows == {}


# Failure: the holder is killed between the commit and the report.
def test_next_holder_reports_what_was_committed() -> None:
    fleet = _Fleet("abc")
    fleet.run_until(5_000)
    fleet.platform.is_cloud_away = True
    fleet.run_until(7_000)
    fleet.kill("a")
    fleet.platform.is_cloud_away = False
    fleet.elect("b")
    fleet.run_until(9_000)
    fleet.check(range(20, 21))


# Failure: the store is away for longer than the time limit of a window.
def test_nothing_unsafe_is_reported_without_the_store() -> None:
    fleet = _Fleet("abc")
    fleet.run_until(4_000)
    fleet.platform.is_away = True
    fleet.run_until(17_000)
    assert 20 not in fleet.platform.reports
    fleet.platform.is_away = False
    fleet.run_until(40_000)
    assert fleet.reported(20) is None
    fleet.check(range(21, 27))


# Failure: a cut-off entry of the build before writes no row.
def test_entry_of_the_build_before_delays_a_report_within_the_limit() -> None:
    fleet = _Fleet("abc", old="c")
    fleet.run_until(6_000)
    assert fleet.reported(20) is None
    fleet.run_until(8_500)
    fleet.check(range(20, 21))
    fleet.cut = "c"
    fleet.run_until(19_000)
    assert fleet.reported(21) is not None
    assert fleet.holder is not None
    counters = {n: v for n, _, v in fleet.holder.state.counters.items()}
    assert counters["usage_windows_incomplete"] == 1


# Failure: the cut lets the holder's digests through, but not the entry's.
def test_entry_that_the_holder_names_writes_its_row_once() -> None:
    plan = delivery.Delivery(0, random.Random(1))
    written = []
    for now_ms in range(7_000, 12_000, 100):
        ended_ms = now_ms // WINDOW_MS * WINDOW_MS
        if plan.is_due(now_ms, now_ms, ended_ms, now_ms, 8_000, 3):
            plan.record_written(ended_ms)
            written.append(now_ms)
    assert len(written) == 1
    assert written[0] < 7_100 + delivery.MAX_SPREAD_MS


# Failure: all entries lose the holder; their writes must not come at once.
def test_writes_of_many_entries_are_spread() -> None:
    due_ms = []
    for seed in range(100):
        plan = delivery.Delivery(0, random.Random(seed))
        now_ms = 10_000
        while not plan.is_due(now_ms, now_ms, 10_000, 6_000, None, 100):
            now_ms += 10
        due_ms.append(now_ms)
    assert max(due_ms) - min(due_ms) > 500


# Failure: a store that fails until the limit for an inherited window.
def test_inherited_window_is_committed_only_after_a_read() -> None:
    for elapsed_ms in range(0, 9_500, 100):
        step = windows.next_step(
            elapsed_ms,
            10_000,
            missing=0,
            read_after_ms=None,
            is_inherited=True,
        )
        if elapsed_ms < 9_000:
            assert step is not windows.Step.COMMIT


# Load: the counts of all entries arrive right after the end of a window.
def test_clocks_may_differ_before_the_earliest_commit() -> None:
    for elapsed_ms in (0, windows.EARLIEST_COMMIT_MS - 1):
        step = windows.next_step(
            elapsed_ms,
            10_000,
            missing=0,
            read_after_ms=None,
            is_inherited=False,
        )
        assert step is windows.Step.WAIT


# Failure: a row is written between two reads, shortly before the limit.
def test_last_read_comes_right_before_the_commit() -> None:
    read_after_ms = 0
    for elapsed_ms in range(windows.SETTLE_MS + 400, 10_000, 100):
        step = windows.next_step(
            elapsed_ms,
            10_000,
            missing=1,
            read_after_ms=read_after_ms,
            is_inherited=False,
        )
        if step is windows.Step.COMMIT:
            break
        if step is windows.Step.READ:
            read_after_ms = elapsed_ms
    assert 8_500 <= elapsed_ms < 9_000
    assert elapsed_ms <= read_after_ms + windows.LAST_READ_MS


# Failure: a malformed row, and one of a window that would displace the others.
def test_bad_rows_are_dropped_and_counted() -> None:
    fleet = _Fleet("ab")
    fleet.run_until(4_000)
    fleet.cut = "b"
    far_windows = {10**9 + n: {"acme": 1} for n in range(9)}
    far = rows.encode([rows.Record("x/1", 1, far_windows)])
    assert far is not None
    for key, value in (("y/1", b"{"), ("x/1", far)):
        fleet.platform.rows[Table.USAGE_COUNTS, key] = interfaces.Row(
            key, value, 1
        )
    fleet.run_until(13_000)
    fleet.check(range(20, 21))
    assert fleet.holder is not None
    counters = {n: v for n, _, v in fleet.holder.state.counters.items()}
    assert counters["usage_rows_malformed"] >= 1
    # The old row is gone, the one that could not be read is kept.
    keys = [key for table, key in fleet.platform.rows]
    assert "y/1" in keys
    assert "x/1" not in keys


# Failure: the cut is from the store too; the first digest after it has only the
# newest windows, the holder names the entries, and they write rows.
def test_windows_that_no_digest_carries_are_in_the_reports() -> None:
    fleet = _Fleet("abcdef")
    fleet.run_until(3_000)
    fleet.cut = "ef"
    fleet.unstored = "ef"
    fleet.run_until(16_200)
    fleet.cut = ""
    fleet.unstored = ""
    fleet.run_until(40_000)
    fleet.check(range(21, 27))


def test_a_gap_is_closed_by_a_row_that_covers_it() -> None:
    counted = usage.Usage(WINDOW_MS)
    counts = {"acme": 1}
    counted.record_peer_counts("b/1", {20: counts}, 103_000, max_windows=2)
    digest = {22: counts, 23: counts}
    counted.record_peer_counts("b/1", digest, 116_000, max_windows=2)
    assert counted.missing(20, "a/1") == ["b"]
    assert counted.missing(22, "a/1") == []
    counted.record_peer_counts("b/1", {23: counts, 24: counts}, 121_000)
    assert counted.missing(21, "a/1") == []
    counted.record_peer_counts("c/1", digest, 116_000, max_windows=2)
    assert counted.missing(21, "a/1") == ["c"]
    # It started when the window had ended.
    counted.record_peer_counts("d/110000", digest, 116_000, max_windows=2)
    assert counted.missing(21, "a/1") == ["c"]


# Failure: the holder reads a row again that was written in the middle of a cut,
# after the first digest that followed the cut.
def test_a_row_from_before_the_end_of_a_gap_does_not_close_it() -> None:
    counted = usage.Usage(WINDOW_MS)
    counts = {"acme": 1}
    row = dict.fromkeys(range(19, 23), counts)
    counted.record_peer_counts("b/95000", row, 111_000)
    digest = {25: counts, 26: counts}
    counted.record_peer_counts("b/95000", digest, 131_000, max_windows=2)
    assert counted.missing(24, "a/1") == ["b"]
    counted.record_peer_counts("b/95000", row, 111_000)
    assert counted.missing(24, "a/1") == ["b"]
    assert counted.missing(22, "a/1") == ["b"]
    # A later one shortens it.
    later_row = dict.fromkeys(range(20, 24), counts)
    counted.record_peer_counts("b/95000", later_row, 116_000)
    assert counted.missing(22, "a/1") == []
    assert counted.missing(24, "a/1") == ["b"]


# Failure: a new holder knows an entry by the checkpoint only, which leaves out
# the windows that the holder before has reported.
@pytest.mark.parametrize("kept", [{}, {22: {"acme": 1}}])
def test_a_checkpoint_does_not_cover_windows_that_it_leaves_out(
    kept: dict[int, usage.Counts],
) -> None:
    counted = usage.Usage(WINDOW_MS)
    counted.record_peer_counts("b/1", kept, 114_000, max_windows=0)
    assert counted.missing(21, "a/1") == ["b"]
    assert counted.missing(22, "a/1") == ["b"]
    counted.record_peer_counts("b/1", kept, 116_000, max_windows=0)
    assert counted.missing(21, "a/1") == ["b"]
    whole = {window: {"acme": 1} for window in range(20, 23)}
    counted.record_peer_counts("b/1", whole, 116_000)
    assert counted.missing(21, "a/1") == []


@pytest.mark.parametrize("key", [reporter.CHECKPOINT_KEY, "b/95000"])
def test_only_rows_of_entries_count_as_whole(key: str) -> None:
    fleet = _Fleet("a")
    fleet.clock_ms = 116_500
    record = rows.Record("b/95000", 116_000, {22: {"acme": 1}})
    value = rows.encode([record])
    assert value is not None
    row = interfaces.Row(key, value, 1)
    fleet.platform.rows[Table.USAGE_COUNTS, key] = row
    entry = fleet.entries["a"]
    anyio.run(entry.reporter._read_rows, fleet.clock_ms)
    missing = entry.state.usage.missing(21, entry.key)
    assert missing == (["b"] if key == reporter.CHECKPOINT_KEY else [])


# Failure: an entry's clock was years ahead when it wrote its row or sent a
# digest; its later counts must still be awaited, and no window displaced.
def test_counts_from_the_future_do_not_pass_for_complete() -> None:
    fleet = _Fleet("a")
    fleet.clock_ms = 106_000
    entry = fleet.entries["a"]
    far = rows.Record("b/1", 10**12, {20: {"acme": 1}})
    value = rows.encode([far])
    assert value is not None
    row = interfaces.Row("b/1", value, 1)
    fleet.platform.rows[Table.USAGE_COUNTS, "b/1"] = row
    counted = entry.state.usage
    counted.wall_offset_ms = 0
    counted.record_peer_counts("b/1", {20: {"acme": 1}}, 104_000)
    anyio.run(entry.reporter._read_rows, fleet.clock_ms)
    assert counted.missing(20, entry.key) == ["b"]
    counted.record_peer_counts("b/1", {}, 10**12, now_ms=106_000)
    assert counted.missing(20, entry.key) == ["b"]
    far_windows = {10**6 + n: {"acme": 1} for n in range(9)}
    counted.record_peer_counts("b/1", far_windows, 10**12, now_ms=106_000)
    assert counted.missing(20, entry.key) == ["b"]
    assert counted.total(20) == {"acme": 1}
    # A clock may be ahead a little.
    counted.record_peer_counts("b/1", {}, 107_000, now_ms=106_000)
    assert counted.missing(20, entry.key) == []


# Failure: the clock of an entry that is cut off was an hour ahead for a while.
def test_own_windows_of_a_clock_that_was_set_back_hide_no_others() -> None:
    counted = usage.Usage(WINDOW_MS)
    for wall_ms in (3_700_000, 3_705_000, 101_000, 106_000):
        counted.record("acme", wall_ms)
    assert counted.newest_windows(2).keys() == {20, 21}


# Failure: an entry is killed for good; windows of 2 s are much shorter than the
# limit, so that a long wait outlasts the counts that entries keep.
def test_missing_counts_are_awaited_no_longer_than_others_are_kept() -> None:
    fleet = _Fleet("abc", window_ms=2_000)
    fleet.run_until(5_000)
    fleet.kill("c")
    fleet.run_until(40_000)
    fleet.check(range(50, 52))
    ran_after_the_last_digest = 5
    for window in (52, 53):
        reported = fleet.reported(window)
        assert reported is not None
        assert reported >= fleet.truth[window] - ran_after_the_last_digest
    fleet.check(range(55, 65))


# Load: entries are replaced all day beside one that never holds the lease.
def test_ended_incarnations_are_forgotten_without_the_lease() -> None:
    counted = usage.Usage(WINDOW_MS)
    counted.wall_offset_ms = 0
    # The clock of this entry is far ahead at first.
    counted.record_peer_counts("x/1", {}, 1, now_ms=10**12)
    for start_ms in range(START_MS, START_MS + 3_600_000, 1_000):
        counted.record_peer_counts(
            f"e/{start_ms}", {}, start_ms, now_ms=start_ms
        )
    assert len(counted._counted_to_ms) < 120


# Failure: a restored store has lost the rows of entries that are cut off.
def test_entry_writes_its_row_again_in_a_new_era() -> None:
    fleet = _Fleet("ab")
    fleet.run_until(4_000)
    fleet.cut = "b"
    fleet.kill("a")
    fleet.run_until(9_000)
    rows_before = dict(fleet.platform.rows)
    fleet.platform.rows.clear()
    fleet.entries["b"].state.store_era = 1
    fleet.run_until(9_900)
    assert fleet.platform.rows.keys() & rows_before.keys() == {
        (Table.USAGE_COUNTS, fleet.entries["b"].key)
    }


# Failure: an entry is restarted, and another has been gone for a while.
def test_replaced_and_long_ended_entries_delay_no_report() -> None:
    counted = usage.Usage(WINDOW_MS)
    counted.record_peer_counts("b/1", {20: {"acme": 1}}, 103_000)
    assert counted.missing(20, "a/1") == ["b"]
    counted.record_peer_counts("b/2", {}, 106_000)
    counted.record_peer_counts("c/1", {}, 105_000 - usage.EXPECTED_MS - 1)
    assert counted.missing(20, "a/1") == []


COUNTS = strategies.dictionaries(
    strategies.sampled_from("ab"), strategies.integers(0, 9)
)


# Failure: digests, rows and checkpoints come late, repeated and reordered.
@hypothesis.given(
    updates=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("e/1", "e/2", "f/1")),
            strategies.dictionaries(strategies.integers(1, 3), COUNTS),
        ),
        max_size=8,
    ),
    data=strategies.data(),
)
def test_merge_does_not_depend_on_order_and_repeats(
    updates: list[tuple[str, dict[int, usage.Counts]]],
    data: strategies.DataObject,
) -> None:
    repeats = data.draw(strategies.permutations(updates + updates))
    totals = []
    for order in (updates, repeats):
        merged = usage.Usage(WINDOW_MS)
        for name, by_window in order:
            encoded = rows.encode([rows.Record(name, 1, by_window)])
            assert encoded is not None
            for record in rows.decode(encoded):
                merged.record_peer_counts(
                    record.incarnation_name, record.windows, 1
                )
        totals.append([merged.total(window) for window in (1, 2, 3)])
    assert totals[0] == totals[1]
