"""Which rows of upstreams say something newer than what is known.

The store may carry a write out seconds after it was sent, and after later ones
of the same writer. So the order in which its rows arrive is not the order in
which an upstream wrote them; that one is `Registration.written`.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
import types

from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import upstreams
from laburnumpin.server import logs

# The platform removes a row after three heartbeats of silence. A row that stays
# for longer, with a margin, is one that its upstream still writes.
HOLD_HEARTBEATS = 3
HOLD_MARGIN_MS = 1_400
# Removals that are remembered: more than may leave a large fleet within the
# time in which a late write is carried out.
MAX_REMOVALS = 10_000
# The era of removals in a history that the store has lost.
_LOST_ERA = -1

Decode = Callable[[interfaces.Row], upstreams.Registration | None]


class Change(enum.Enum):
    """What a changed row means: nothing, or for its upstream."""

    NONE = "none"
    REMOVED = "removed"
    WRITTEN = "written"


@dataclasses.dataclass(slots=True, frozen=True)
class _Removal:
    """A removed row.

    `position` is that of the removal, `written` the newest of what its upstream
    is known to have written. `left_incarnation_ms` is the last incarnation that
    was leaving when it was removed, 0 if none is known.
    """

    position: interfaces.Position
    written: tuple[int, int]
    left_incarnation_ms: int


class History:
    """The registered rows, and what is known of removed ones.

    `decode` returns the registration in a row, None if it names no upstream.
    `known` holds the registrations that were applied. `hold_ms` is how long a
    row is held that says nothing newer than what was known when its upstream
    was removed.
    """

    __slots__ = (
        "_count",
        "_decode",
        "_held",
        "_known",
        "_removals",
        "_rows",
        "hold_ms",
    )

    def __init__(
        self,
        decode: Decode,
        known: upstreams.UpstreamTable,
        count: Callable[[str], None],
    ) -> None:
        self._decode = decode
        self._known = known
        # Increments a counter.
        self._count = count
        self._rows: dict[str, interfaces.Row] = {}
        # Held rows, and since when they are held.
        self._held: dict[str, tuple[interfaces.Row, int]] = {}
        # The last removal of each key, the newest last.
        self._removals: collections.OrderedDict[str, _Removal] = (
            collections.OrderedDict()
        )
        self.hold_ms = hold_ms(upstreams.DEFAULT_HEARTBEAT_MS)

    @property
    def rows(self) -> Mapping[str, interfaces.Row]:
        """Return the rows of the upstreams in use, by key."""
        return types.MappingProxyType(self._rows)

    def read(self, row: interfaces.Row) -> upstreams.Registration | None:
        """Return the registration in a row, None if it names no upstream.

        An incarnation that has left is never ready again.
        """
        registration = self._decode(row)
        removal = self._removals.get(row.key)
        if registration is None or removal is None:
            return registration
        incarnation_ms = registration.incarnation_ms
        if incarnation_ms and incarnation_ms == removal.left_incarnation_ms:
            return dataclasses.replace(
                registration, lifecycle=upstreams.Lifecycle.LEAVING
            )
        return registration

    def apply(
        self, row: interfaces.Row, era: int, now_ms: int
    ) -> tuple[Change, upstreams.Registration | None]:
        """Apply a changed row of the era that the table is in.

        Return what it means, and the registration if one was written.
        """
        current = self._rows.get(row.key)
        removal = self._removals.get(row.key)
        position = interfaces.Position(era, row.version)
        if current is not None:
            if row.version <= current.version:
                return Change.NONE, None  # A peer has delivered this.
        elif removal is not None and removal.position.era == era:
            if row.version <= removal.position.version:
                return Change.NONE, None
        registration = self.read(row)
        if registration is None:
            self._remove(row.key, position)
            return Change.REMOVED, None
        if current is not None:
            if self._is_outdated(registration, current):
                self._rows[row.key] = self._keep(current, row)
                return Change.NONE, None
        elif self._must_hold(row, registration, position, now_ms):
            return Change.NONE, None
        self._rows[row.key] = row
        return Change.WRITTEN, registration

    def replace_all(
        self,
        rows: Iterable[interfaces.Row],
        position: interfaces.Position,
        now_ms: int,
        *,
        is_other_history: bool,
        is_peers: bool,
    ) -> list[upstreams.Registration]:
        """Apply a whole table that was read at a position.

        With `is_other_history` the store was restored from an older copy. With
        `is_peers` the table is a peer's, without the rows that it holds: one
        that is missing there may follow with the version that it has here.
        Return the registrations to use.
        """
        by_key = {row.key: row for row in rows}
        if is_other_history:
            self._held.clear()
            for key, removal in self._removals.items():
                self._removals[key] = dataclasses.replace(
                    removal, position=interfaces.Position(_LOST_ERA, 0)
                )
        self._remove_missing(by_key, position, is_peers=is_peers)
        used = []
        for key, row in by_key.items():
            registration = self.read(row)
            current = self._rows.get(key)
            if registration is None:
                if current is not None:
                    self._remove(
                        key, interfaces.Position(position.era, row.version)
                    )
                continue
            if current is not None:
                if self._is_outdated(registration, current):
                    self._rows[key] = self._keep(current, row)
                    kept = self.read(current)
                    assert kept is not None
                    used.append(kept)
                    continue
            elif self._must_hold(row, registration, position, now_ms):
                continue
            self._rows[key] = row
            used.append(registration)
        return used

    def _remove_missing(
        self,
        listed: Mapping[str, interfaces.Row],
        position: interfaces.Position,
        *,
        is_peers: bool,
    ) -> None:
        """Remove the rows that a table does not have."""
        for key, row in list(self._rows.items()):
            if key in listed:
                continue
            removed_at = position
            if is_peers:
                removed_at = interfaces.Position(position.era, row.version - 1)
            self._remove(key, removed_at)
        for key in [key for key in self._held if key not in listed]:
            del self._held[key]

    def release(
        self, now_ms: int
    ) -> Iterator[tuple[interfaces.Row, upstreams.Registration]]:
        """Use the held rows that have stayed in the store, and yield them."""
        for key, (row, since_ms) in list(self._held.items()):
            if now_ms < since_ms + self.hold_ms:
                continue
            del self._held[key]
            registration = self.read(row)
            if registration is not None:
                self._rows[key] = row
                yield row, registration

    def _remove(self, key: str, position: interfaces.Position) -> None:
        self._held.pop(key, None)
        known = self._removals.get(key)
        written = (0, 0) if known is None else known.written
        left_incarnation_ms = 0 if known is None else known.left_incarnation_ms
        removed = self._rows.pop(key, None)
        last = None if removed is None else self._last(removed)
        if last is not None:
            written = max(written, last.written)
            if last.lifecycle is upstreams.Lifecycle.LEAVING:
                left_incarnation_ms = last.incarnation_ms
        self._removals[key] = _Removal(position, written, left_incarnation_ms)
        self._removals.move_to_end(key)
        if len(self._removals) > MAX_REMOVALS:
            self._removals.popitem(last=False)

    def _last(self, row: interfaces.Row) -> upstreams.Registration | None:
        """Return the newest registration of the upstream in a row in use."""
        upstream = self._known.get(row.key)
        return self.read(row) if upstream is None else upstream.registration

    def _is_outdated(
        self, registration: upstreams.Registration, current: interfaces.Row
    ) -> bool:
        """Return whether an upstream has written something newer since.

        Without a number, the order of the changes is all that there is.
        """
        last = self._last(current)
        if last is None:
            return False
        if registration.incarnation_ms != last.incarnation_ms:
            return registration.incarnation_ms < last.incarnation_ms
        return 0 < registration.revision < last.revision

    def _keep(
        self, current: interfaces.Row, outdated: interfaces.Row
    ) -> interfaces.Row:
        """Return the current row with the version of an outdated one."""
        self._count("registrations_outdated")
        logs.write(
            "registration_outdated",
            "info",
            {"upstream": current.key, "registry_version": outdated.version},
        )
        return dataclasses.replace(current, version=outdated.version)

    def _must_hold(
        self,
        row: interfaces.Row,
        registration: upstreams.Registration,
        position: interfaces.Position,
        now_ms: int,
    ) -> bool:
        """Hold a row that nothing shows to be written since a removal.

        `position` is that at which the row was read.
        """
        removal = self._removals.get(row.key)
        if removal is None or registration.written > removal.written:
            return False
        is_later = (
            removal.position.era == position.era
            and removal.position.version <= position.version
        )
        is_numbered = registration.incarnation_ms and registration.revision
        if is_later and not is_numbered:
            return False
        held_row, since_ms = self._held.get(row.key, (row, now_ms))
        if held_row.version != row.version:
            since_ms = now_ms  # Written again, and not by silence.
        if row.key not in self._held:
            self._count("registrations_held")
            logs.write(
                "registration_held",
                "info",
                {
                    "upstream": row.key,
                    "hold_ms": self.hold_ms,
                    "reason": "late_write" if is_later else "restored_copy",
                },
            )
        self._held[row.key] = (row, since_ms)
        return True


def hold_ms(heartbeat_ms: int) -> int:
    """Return how long a row is held that may be a late write."""
    return HOLD_HEARTBEATS * heartbeat_ms + HOLD_MARGIN_MS
