"""The lease on the duties, a row of the store with a fencing token.

The holder renews the row; another entry takes it once it has watched the row
unchanged for a whole lease. Times are on the boot clock, which counts a
suspension of the VM.
"""

from __future__ import annotations

import dataclasses

RENEW_SHARE = 0.3
# The holder stops acting this share of a lease before it lapses.
ACT_SHARE = 0.7
# Others take over only this share of a lease after it lapsed.
TAKE_SHARE = 1.2
# Time after which an unanswered call counts as lost.
ANSWER_TIMEOUT_MS = 1_500
# Holder in a row whose holder has given the lease up.
RELEASED = ""
# Pause after a failed call.
PAUSE_MS = 500


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """The lease row; `version` 0 and `fencing_token` 0 when there is none.

    `token` names the write that made the row.
    """

    version: int
    fencing_token: int
    holder: str
    token: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReadLease:
    """Read the lease row."""


@dataclasses.dataclass(slots=True, frozen=True)
class WriteLease:
    """Write the lease row if it still has `expected_version`."""

    expected_version: int
    row: Row


class Lease:
    """What this entry holds, awaits and has seen of the lease."""

    __slots__ = (
        "_busy_since_ms",
        "_lease_ms",
        "_name",
        "_next_ms",
        "_pending",
        "_pending_sent_ms",
        "_seen",
        "_seen_ms",
        "_valid_until_ms",
        "_version",
        "_writes",
        "fencing_token",
        "was_read",
    )

    def __init__(self, name: str, lease_ms: int) -> None:
        self._name = name
        self._lease_ms = lease_ms
        self.fencing_token = 0
        self._version = 0
        self._valid_until_ms = 0
        self._seen: Row | None = None
        self._seen_ms = 0
        self._pending: WriteLease | None = None
        self._pending_sent_ms = 0
        self._busy_since_ms: int | None = None
        self._next_ms = 0
        self._writes = 0
        # Whether the row was read since the start of the process.
        self.was_read = False

    def may_act(self, now_ms: int) -> bool:
        """Return whether an order may be sent under the lease now."""
        margin_ms = int(self._lease_ms * (1 - ACT_SHARE))
        return now_ms < self._valid_until_ms - margin_ms

    def holds(self, now_ms: int) -> bool:
        """Return whether this entry holds the lease."""
        return now_ms < self._valid_until_ms

    def drop(self) -> None:
        """Stop acting; a higher fencing token was seen by the platform."""
        self._valid_until_ms = 0
        self._pending = None
        self._seen = None

    def next_call(
        self, now_ms: int, *, eligible: bool, holder_heard: bool
    ) -> ReadLease | WriteLease | None:
        """Return the call to make now, if any.

        With `holder_heard` another entry has just said that it holds the
        lease, and the store is not asked.
        """
        if self._busy_since_ms is not None:
            if now_ms < self._busy_since_ms + ANSWER_TIMEOUT_MS:
                return None
            self.lost(now_ms)
        if now_ms < self._next_ms:
            return None
        if self.holds(now_ms):
            if self._pending is not None:
                self._busy_since_ms = now_ms
                return ReadLease()
            return self._write(
                now_ms,
                self._version,
                self.fencing_token,
                self._name if eligible else RELEASED,
            )
        if not eligible or holder_heard:
            self._seen = None
            return None
        seen = self._seen
        take_ms = int(self._lease_ms * TAKE_SHARE)
        if seen is not None:
            lapsed = now_ms >= self._seen_ms + take_ms
            # A row of this entry's own name is from a process before this one.
            free = seen.version == 0 or seen.holder in (RELEASED, self._name)
            if lapsed or free:
                fencing_token = seen.fencing_token + 1
                return self._write(
                    now_ms, seen.version, fencing_token, self._name
                )
        self._busy_since_ms = now_ms
        return ReadLease()

    def read(self, row: Row, now_ms: int) -> None:
        """Apply the row as the store showed it."""
        self.was_read = True
        self._busy_since_ms = None
        self._next_ms = now_ms + PAUSE_MS
        pending = self._pending
        if pending is not None and pending.row.token == row.token:
            # The write whose answer was lost took effect.
            self._take(pending, row.version, now_ms)
            return
        if pending is not None and self.holds(now_ms):
            self._pending = None
            if row.version != self._version:
                self.conflicted(now_ms)
                return
            self._next_ms = now_ms  # It had no effect: write again.
            return
        seen = self._seen
        if seen is None or seen.version != row.version:
            self._seen = row
            self._seen_ms = now_ms
            if row.version == 0 or row.holder in (RELEASED, self._name):
                self._next_ms = now_ms

    def written(self, version: int, now_ms: int) -> None:
        """Apply the success of the pending write."""
        self._busy_since_ms = None
        if self._pending is not None:
            self._take(self._pending, version, now_ms)

    def conflicted(self, now_ms: int) -> None:
        """Apply that another entry wrote the row first."""
        self._busy_since_ms = None
        self._valid_until_ms = 0
        self._pending = None
        self._seen = None
        self._next_ms = now_ms + PAUSE_MS

    def lost(self, now_ms: int) -> None:
        """Apply that a call failed or its answer was lost.

        The row is read before the next write: it tells by its token whether
        the lost write took effect.
        """
        self._busy_since_ms = None
        self._seen = None
        self._next_ms = now_ms + PAUSE_MS

    def _write(
        self, now_ms: int, version: int, fencing_token: int, holder: str
    ) -> WriteLease:
        self._writes += 1
        token = f"{self._name}/{self._writes}/{now_ms}"
        row = Row(0, fencing_token, holder, token)
        self._pending = WriteLease(version, row)
        self._pending_sent_ms = now_ms
        self._busy_since_ms = now_ms
        return self._pending

    def _take(self, write: WriteLease, version: int, now_ms: int) -> None:
        self._pending = None
        self._seen = None
        self._version = version
        self.fencing_token = write.row.fencing_token
        # Counted from the sending, so that no other entry can have waited
        # for a whole lease before.
        self._valid_until_ms = self._pending_sent_ms + self._lease_ms
        self._next_ms = self._pending_sent_ms
        self._next_ms += int(self._lease_ms * RENEW_SHARE)
        if write.row.holder == RELEASED or now_ms >= self._valid_until_ms:
            self._valid_until_ms = 0
