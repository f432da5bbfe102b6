"""The lease on the duties: a row of the store with a fencing token.

The holder renews the row; another entry takes the lease over once it has
observed the row unchanged for longer than a whole lease. Times are on the boot
clock, which keeps running while the VM is suspended.

A store that is restored from an older copy starts a new era. Its row is then
older than the lease: the holder may still act, and its fencing token may be
lost. So in a new era only the holder writes before a whole lease has passed,
and tokens begin above all that an earlier era can have had.
"""

from __future__ import annotations

import dataclasses

# The holder renews the lease after this share of it.
RENEWAL_SHARE = 0.3
# The holder acts during this share of the lease only.
ACT_SHARE = 0.7
# Another entry takes over once the row has been unchanged for this many leases.
TAKEOVER_SHARE = 1.2
# Time after which a call without an answer counts as failed.
ANSWER_TIMEOUT_MS = 1_500
# Value of `holder` in the row of a released lease.
RELEASED = ""
# Pause between two reads of the row, and after a failed call.
CALL_PAUSE_MS = 500
# Fencing tokens of an era begin above its number times this; the holders of one
# era are fewer.
TOKENS_PER_ERA = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """The lease row; `version` 0 and `fencing_token` 0 when there is none.

    `token` identifies the write that made the row, `era` is the store's era in
    which it was written, 0 if the row does not say.
    """

    version: int
    fencing_token: int
    holder: str
    token: str
    era: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ReadLease:
    """Read the lease row."""


@dataclasses.dataclass(slots=True, frozen=True)
class WriteLease:
    """Write the lease row if it still has `expected_version`."""

    expected_version: int
    row: Row


class Lease:
    """The state machine of one entry's part in the lease.

    It decides on the calls to the store; the caller makes them and applies
    their results.
    """

    __slots__ = (
        "_call_sent_ms",
        "_era",
        "_era_since_ms",
        "_held_era",
        "_held_version",
        "_highest_token",
        "_is_first_start",
        "_lease_ms",
        "_name",
        "_next_call_ms",
        "_observed_row",
        "_observed_since_ms",
        "_pending_sent_ms",
        "_pending_write",
        "_valid_until_ms",
        "_write_count",
        "fencing_token",
        "was_read",
    )

    def __init__(
        self, name: str, lease_ms: int, *, is_first_start: bool = False
    ) -> None:
        self._name = name
        self._lease_ms = lease_ms
        # At the first start of the whole system, a missing row was never there,
        # as long as the store is in the era that it is found in.
        self._is_first_start = is_first_start
        # Fencing token of the lease that this entry holds or last held.
        self.fencing_token = 0
        # Version of the row that this entry last wrote.
        self._held_version = 0
        # The store's newest era, and since when it is known here.
        self._era = 0
        self._era_since_ms = 0
        # Era of `_held_version`.
        self._held_era = 0
        # Highest fencing token of any holder that is known.
        self._highest_token = 0
        # End of the lease that this entry holds.
        self._valid_until_ms = 0
        # The row as last read, and since when it has had this version.
        self._observed_row: Row | None = None
        self._observed_since_ms = 0
        # A write whose effect is not known yet, and when it was sent.
        self._pending_write: WriteLease | None = None
        self._pending_sent_ms = 0
        # When the call in flight was sent; None if there is none.
        self._call_sent_ms: int | None = None
        self._next_call_ms = 0
        self._write_count = 0
        # Whether the row was read since the start of the process.
        self.was_read = False

    def note_era(self, era: int, highest_token: int, now_ms: int) -> None:
        """Apply what is known of the store's era and of all holders' tokens."""
        self._highest_token = max(self._highest_token, highest_token)
        if era <= self._era:
            return
        if self._era:
            self._is_first_start = False
        self._era = era
        self._era_since_ms = now_ms
        # What was read or written in an earlier era shows nothing of this one.
        self._observed_row = None
        self._pending_write = None
        self._next_call_ms = now_ms

    def may_act(self, now_ms: int) -> bool:
        """Return whether the holder may act for its duties now."""
        margin_ms = int(self._lease_ms * (1 - ACT_SHARE))
        return now_ms < self._valid_until_ms - margin_ms

    def holds(self, now_ms: int) -> bool:
        """Return whether this entry holds the lease."""
        return now_ms < self._valid_until_ms

    def revoke(self) -> None:
        """Give the lease up after the platform rejected its fencing token."""
        self._valid_until_ms = 0
        self._pending_write = None
        self._observed_row = None

    def next_call(
        self, now_ms: int, *, eligible: bool, holder_is_live: bool
    ) -> ReadLease | WriteLease | None:
        """Return the call to make now, if any.

        `eligible` allows this entry to contend for the lease or keep it. With
        `holder_is_live`, another entry holds the lease according to its last
        digest, so the store is not read.
        """
        if self._call_sent_ms is not None:
            if now_ms < self._call_sent_ms + ANSWER_TIMEOUT_MS:
                return None
            self.apply_failure(now_ms)
        if now_ms < self._next_call_ms:
            return None
        if self.holds(now_ms):
            is_unknown = self._held_era != self._era
            if self._pending_write is not None or is_unknown:
                self._call_sent_ms = now_ms
                return ReadLease()
            return self._write(
                now_ms,
                self._held_version,
                max(self.fencing_token, self._era_floor() + 1),
                self._name if eligible else RELEASED,
            )
        if not eligible or holder_is_live:
            self._observed_row = None
            return None
        observed = self._observed_row
        takeover_ms = int(self._lease_ms * TAKEOVER_SHARE)
        if observed is not None:
            has_lapsed = now_ms >= self._observed_since_ms + takeover_ms
            if has_lapsed or self._is_free(observed, now_ms):
                fencing_token = 1 + max(
                    observed.fencing_token,
                    self._highest_token,
                    self._era_floor(),
                )
                return self._write(
                    now_ms, observed.version, fencing_token, self._name
                )
        self._call_sent_ms = now_ms
        return ReadLease()

    def _is_free(self, observed: Row, now_ms: int) -> bool:
        """Return whether the observed row shows that nobody holds the lease.

        In an era that may have lost a later row, only a row of that era does,
        or none for as long as a lease.
        """
        if observed.version == 0:
            if not self._era or self._is_first_start:
                return True
            takeover_ms = int(self._lease_ms * TAKEOVER_SHARE)
            return now_ms >= self._era_since_ms + takeover_ms
        # A row with this entry's name was written by an earlier process.
        if observed.holder not in (RELEASED, self._name):
            return False
        return observed.era == self._era

    def _era_floor(self) -> int:
        return self._era * TOKENS_PER_ERA

    def apply_read(self, row: Row, now_ms: int, era: int = 0) -> None:
        """Apply the row that was read in an era of the store."""
        if not self._era:
            self.note_era(era, 0, now_ms)
        if era != self._era:
            self.note_era(era, 0, now_ms)
            self.apply_failure(now_ms)
            return
        self.was_read = True
        self._call_sent_ms = None
        self._next_call_ms = now_ms + CALL_PAUSE_MS
        if self.holds(now_ms) and self._held_era != era:
            self._adopt_row(row, now_ms)
            return
        pending = self._pending_write
        if pending is not None and pending.row.token == row.token:
            # The pending write took effect although its answer was lost.
            self._acquire(pending, row.version, now_ms)
            return
        if pending is not None and self.holds(now_ms):
            self._pending_write = None
            if row.version != self._held_version:
                self.apply_conflict(now_ms)
                return
            self._next_call_ms = now_ms  # The write had no effect: repeat it.
            return
        observed = self._observed_row
        if observed is None or observed.version != row.version:
            self._observed_row = row
            self._observed_since_ms = now_ms
            if row.version == 0 or row.holder in (RELEASED, self._name):
                self._next_call_ms = now_ms

    def _adopt_row(self, row: Row, now_ms: int) -> None:
        """Apply the row that the holder finds in a new era.

        It is older than the lease, unless another entry has written it since.
        """
        is_taken = row.era == self._era and row.holder != self._name
        if is_taken or row.fencing_token > self.fencing_token:
            self.apply_conflict(now_ms)
            return
        self._held_era = self._era
        self._held_version = row.version
        self._highest_token = max(self._highest_token, row.fencing_token)
        self._next_call_ms = now_ms

    def apply_write(self, version: int, now_ms: int, era: int = 0) -> None:
        """Apply the success of the pending write, which made `version`.

        A write in another era than the one that it was made for shows nothing:
        its condition was met by a version that was given out again.
        """
        self._call_sent_ms = None
        if era != self._era:
            self.note_era(era, 0, now_ms)
            self.apply_failure(now_ms)
            return
        if self._pending_write is not None:
            self._acquire(self._pending_write, version, now_ms)

    def apply_conflict(self, now_ms: int, era: int | None = None) -> None:
        """Apply a conflict: another entry wrote the row first.

        `era` is the store's era, None if it is that of the write. In another
        era the row has an older version, whoever wrote it.
        """
        if era is not None and era != self._era:
            self.note_era(era, 0, now_ms)
            self.apply_failure(now_ms)
            return
        self._call_sent_ms = None
        self._valid_until_ms = 0
        self._pending_write = None
        self._observed_row = None
        self._next_call_ms = now_ms + CALL_PAUSE_MS

    def apply_failure(self, now_ms: int) -> None:
        """Apply the failure of a call, or the loss of its answer.

        The row is read before the next write; its token shows whether a
        pending write took effect.
        """
        self._call_sent_ms = None
        self._observed_row = None
        self._next_call_ms = now_ms + CALL_PAUSE_MS

    def _write(
        self, now_ms: int, version: int, fencing_token: int, holder: str
    ) -> WriteLease:
        self._write_count += 1
        token = f"{self._name}/{self._write_count}/{now_ms}"
        row = Row(0, fencing_token, holder, token, self._era)
        self._pending_write = WriteLease(version, row)
        self._pending_sent_ms = now_ms
        self._call_sent_ms = now_ms
        return self._pending_write

    def _acquire(self, write: WriteLease, version: int, now_ms: int) -> None:
        self._pending_write = None
        self._observed_row = None
        self._held_version = version
        self._held_era = self._era
        self.fencing_token = write.row.fencing_token
        # Counted from when the write was sent: other entries read the new row
        # only after that, so none takes over before the lease ends.
        self._valid_until_ms = self._pending_sent_ms + self._lease_ms
        self._next_call_ms = self._pending_sent_ms
        self._next_call_ms += int(self._lease_ms * RENEWAL_SHARE)
        if write.row.holder == RELEASED or now_ms >= self._valid_until_ms:
            self._valid_until_ms = 0
