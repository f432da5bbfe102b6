"""What the holder does next about the oldest window not yet reported."""

from __future__ import annotations

import enum

# A window is not committed earlier than this after its end.
EARLIEST_COMMIT_MS = 1_000
# After this time counts that are missing will not come by digests soon: the
# entries' rows are read, and a checkpoint is written.
SETTLE_MS = 2_500
# Pause between two reads of the entries' rows.
READ_PERIOD_MS = 1_500
# Time before the platform's limit at which a window is committed even if counts
# are missing.
COMMIT_MARGIN_MS = 1_500
# A window with missing counts is committed only after a read that is younger.
LAST_READ_MS = 500
# A window is not reported later than this before the limit.
REPORT_MARGIN_MS = 500


class Step(enum.Enum):
    """The next step for a window."""

    WAIT = "wait"
    READ = "read"
    COMMIT = "commit"


def next_step(
    elapsed_ms: int,
    late_ms: int,
    *,
    missing: int,
    read_after_ms: int | None,
    is_inherited: bool,
) -> Step:
    """Return the next step for an ended window.

    `elapsed_ms` is the time since its end, `late_ms` the platform's limit for
    that, and `missing` the number of entries without complete counts.
    `read_after_ms` is when the rows were last read, after the window's end, and
    None if they were not read since it settled. A window is inherited if it
    began before this entry held the lease: rows may hold counts of entries that
    it has never heard.
    """
    if elapsed_ms < EARLIEST_COMMIT_MS:
        return Step.WAIT
    commit_by_ms = max(SETTLE_MS, late_ms - COMMIT_MARGIN_MS)
    if not missing and not (is_inherited and read_after_ms is None):
        return Step.COMMIT
    if read_after_ms is None:
        if elapsed_ms < SETTLE_MS:
            return Step.WAIT
        if is_inherited and elapsed_ms < late_ms - 2 * REPORT_MARGIN_MS:
            return Step.READ
    period_ms = READ_PERIOD_MS
    if elapsed_ms >= commit_by_ms:
        if elapsed_ms >= late_ms - 2 * REPORT_MARGIN_MS:
            return Step.COMMIT
        period_ms = LAST_READ_MS
    if read_after_ms is None or elapsed_ms >= read_after_ms + period_ms:
        return Step.READ
    return Step.COMMIT if elapsed_ms >= commit_by_ms else Step.WAIT
