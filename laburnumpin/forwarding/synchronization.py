"""Synchronizes configuration, registrations and entries with the store."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import types
from typing import Any

import anyio

from laburnumpin import exceptions
from laburnumpin.forwarding import events
from laburnumpin.forwarding import freshness
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.configurations import limits
from laburnumpin.forwarding.configurations import reader
from laburnumpin.forwarding.configurations import tables
from laburnumpin.forwarding.configurations import values
from laburnumpin.forwarding.registrations import history
from laburnumpin.server import logs

# With more entries than this, each one retries a failing store less often, so
# that their total call rate stays the same.
UNSCALED_RETRY_ENTRIES = 8
# Pause after changes in a fleet that uses relays. Its upstreams change all the
# time, and one call returns all changes that were made during the pause. The
# relays call the store at different times.
CHANGES_PAUSE_S = 0.2
# Pause after a failed call, doubled up to the maximum.
MIN_RETRY_PAUSE_MS = 100
MAX_RETRY_PAUSE_MS = 500
# Registrations that expired during an outage of the store may be renewed until
# this time after it, as the platform states. The time includes a margin for the
# delay until the renewal arrives here.
REREGISTRATION_GRACE_MS = 2_500
# Pauses after the first reads of the entries' rows. They are short, because
# entries that start together register one after the other.
INITIAL_ENTRY_READ_PAUSES_S = (1.5, 4.0)
# Pause between later reads of the entries' rows, and what each entry adds.
ENTRY_READ_PERIOD_S = 10.0
ENTRY_READ_PERIOD_S_PER_ENTRY = 1.0
# In a new era of the store, each entry writes its row again at a random time;
# the span grows by this much with each entry.
ENTRY_WRITE_SPREAD_S = 0.01
# Pause before a table is read again whose answer was too large.
TOO_LARGE_PAUSE_S = 2.0
# Malformed registrations whose version was logged.
MAX_LOGGED_ROWS = 256
MAX_LOGGED_KEY_CHARS = 200
MAX_LOGGED_ERROR_CHARS = 400
# In a new era of the store, entries that a relay keeps in sync wait this long
# for the relay's rows before they read the store themselves.
RELAY_ERA_GRACE_MS = 2_000

DEFAULT_HOLD_MS = history.hold_ms(upstreams.DEFAULT_HEARTBEAT_MS)

Table = interfaces.Table
# Tables whose changes an entry follows.
FOLLOWED = (Table.OPERATOR, Table.UPSTREAMS)


class Synchronizer:
    """Keeps the state in sync with the store, directly or through peers.

    Versions are compared within one era of the store only. Across eras, the
    operator's own configuration versions and the upstreams' own order of their
    registrations decide, so that no value of an older copy replaces a newer
    one.
    """

    __slots__ = (
        "_call_times",
        "_configuration_era",
        "_configurations",
        "_documents",
        "_entries_read",
        "_era_changed",
        "_failing_tables",
        "_history",
        "_ignored_eras",
        "_malformed_rows",
        "_noted_era",
        "_on_entries_read",
        "_operator_rows",
        "_outage_ended_ms",
        "_positions",
        "_proved_ms",
        "_relay_lost",
        "_shell",
        "_store",
        "_too_large_reason",
        "is_synced_by_relay",
        "large_values",
        "max_value_bytes",
        "on_operator_rows",
        "on_rows",
    )

    def __init__(
        self,
        shell: shells.Shell,
        store: interfaces.StoreClient,
        documents: interfaces.Documents,
        on_entries_read: Callable[[], Awaitable[None]] | None = None,
        call_times: freshness.CallTimes | None = None,
        max_configuration_bytes: int = limits.MAX_CONFIGURATION_BYTES,
        hold_ms: int = DEFAULT_HOLD_MS,
    ) -> None:
        self._shell = shell
        self._call_times = call_times or freshness.CallTimes()
        # Time of the last answer of the store, by table.
        self._proved_ms = dict.fromkeys(FOLLOWED, shell.now_ms())
        self._store = store
        self._documents = documents
        self.max_value_bytes = max_configuration_bytes
        self.large_values = values.LargeValues()
        self._configurations = reader.ConfigurationReader(
            documents, self.large_values, max_configuration_bytes
        )
        # Awaited each time the list of entries was read.
        self._on_entries_read = on_entries_read
        # Rows of the store, for snapshots to peers that cannot reach it.
        self._operator_rows: dict[str, interfaces.Row] = {}
        self._history = history.History(
            self._decode_registration,
            shell.state.upstreams,
            shell.state.counters.increment,
        )
        self._history.hold_ms = hold_ms
        # Position of the newest change that was applied, by table.
        self._positions = dict.fromkeys(FOLLOWED, interfaces.Position(0, 0))
        # Era in which the configuration in force was read.
        self._configuration_era = 0
        # Set when the store's era has changed since `_noted_era`.
        self._era_changed = anyio.Event()
        self._noted_era = 0
        # Tables and eras whose ignored rows were logged.
        self._ignored_eras: set[tuple[interfaces.Table, int]] = set()
        # Malformed registrations that were logged, with their versions, by key.
        self._malformed_rows: dict[str, int] = {}
        self._outage_ended_ms: int | None = None
        # Why the last answer was too large to be read, if one was.
        self._too_large_reason = ""
        # Set while no relay keeps this entry in sync.
        self._relay_lost = anyio.Event()
        # Set once the list of entries was read.
        self._entries_read = anyio.Event()
        # Tables whose last call failed.
        self._failing_tables: set[interfaces.Table] = set()
        # Called with new rows, and whether they are the whole table.
        self.on_rows: (
            Callable[[interfaces.Table, interfaces.Rows, bool], None] | None
        ) = None
        # Called with all rows of the operator by key and the position of the
        # table, after each change.
        self.on_operator_rows: (
            Callable[[Mapping[str, interfaces.Row], interfaces.Position], None]
            | None
        ) = None
        # Returns whether a relay keeps this entry in sync with the store.
        self.is_synced_by_relay: Callable[[], bool] = lambda: False

    async def watch_table(self, table: interfaces.Table) -> None:
        """Apply the rows and changes of a table until cancelled.

        The store is not called while a relay keeps this entry in sync, nor
        before the list of entries was read: an entry that served requests
        without it would take the customers' whole quotas for its own share.
        """
        await self._entries_read.wait()
        pause_ms = MIN_RETRY_PAUSE_MS
        after: interfaces.Position | None = None
        has_lost_history = False
        while True:
            is_failing = table in self._failing_tables
            if self._positions[table].version and self._is_synced(table):
                self._failing_tables.discard(table)
                self.on_tick()
                await self._relay_lost.wait()
                continue
            try:
                if after is None:
                    rows = await self._store.read(table)
                    self._shell.note_store_era(rows.era)
                    await self._prepare_table(table, rows.rows)
                    self._apply_all_rows(
                        table,
                        rows,
                        is_failing,
                        has_lost_history=has_lost_history,
                    )
                    has_lost_history = False
                else:
                    rows = await self._store.changes(
                        table, after.version, self._wait_ms(is_failing)
                    )
                    self._shell.note_store_era(rows.era)
                    if rows.era != after.era:
                        # The store was restored: the cursor is from a history
                        # that it has lost, and changes before it are missing.
                        after = None
                        continue
                    if is_failing:
                        self._outage_ended_ms = self._shell.now_ms()
                    await self._prepare_table(table, rows.rows)
                    self.apply_changes(table, rows)
                    if rows.rows and self._shell.state.members.uses_relays():
                        await anyio.sleep(CHANGES_PAUSE_S)
                await self.release()
                after = interfaces.Position(rows.era, rows.version)
                self._proved_ms[table] = self._shell.now_ms()
                self._failing_tables.discard(table)
            except interfaces.HistoryLostError:
                logs.write("store_history_lost", "info", {"table": table.value})
                after = None
                has_lost_history = True
                continue
            except Exception as error:
                # Whatever a row or an answer has led to, the table is followed
                # again: an entry that stopped would serve what it last knew.
                if not isinstance(error, exceptions.LaburnumpinError):
                    after = None
                if await self._is_pause_enough(table, error, is_failing):
                    continue
                await anyio.sleep(self._retry_pause_s(pause_ms))
                pause_ms = min(pause_ms * 2, MAX_RETRY_PAUSE_MS)
                continue
            if is_failing:
                _log_regained(table, rows)
            pause_ms = MIN_RETRY_PAUSE_MS

    def _wait_ms(self, is_failing: bool) -> int:
        """Return the wait of the next call for changes.

        While calls fail, none of them waits: the first answer has to come soon
        after the store is back.
        """
        return 0 if is_failing else self._call_times.changes_wait_ms

    async def _is_pause_enough(
        self, table: interfaces.Table, error: Exception, is_failing: bool
    ) -> bool:
        """Note a failed call; return whether the next one may follow at once.

        A version that is too large to be read is rejected: the one before stays
        in force until the operator has written a smaller one, which the next
        answer has instead.
        """
        if table is Table.OPERATOR and isinstance(
            error, interfaces.AnswerTooLargeError
        ):
            if self._too_large_reason != error.message:
                self._too_large_reason = error.message
                self._report_rejection(error.code, error.message)
            await anyio.sleep(TOO_LARGE_PAUSE_S)
            return True
        self._on_call_failed(table, error)
        # Perhaps only its connection is silent. The time that the call took is
        # pause enough.
        return not is_failing and isinstance(
            error, exceptions.PlatformAnswerLostError
        )

    def _on_call_failed(
        self, table: interfaces.Table, error: Exception
    ) -> None:
        if table not in self._failing_tables:
            self._log_store_lost(table, error)
        self._failing_tables.add(table)

    def _retry_pause_s(self, pause_ms: int) -> float:
        """Return the pause before the next call, longer in large fleets.

        Some entry still detects the end of an outage as early as in a small
        fleet. An entry whose calls fail alone must not wait for the others.
        """
        members = self._shell.state.members.count()
        entry_factor = max(1.0, members / UNSCALED_RETRY_ENTRIES)
        rng = self._shell.state.random
        scaled_ms = pause_ms * rng.uniform(0.5, 1.5) * entry_factor
        max_ms = self._call_times.max_retry_pause_ms(members)
        return min(scaled_ms, max_ms * rng.uniform(0.5, 1.0)) / 1_000

    def on_tick(self) -> None:
        """Check whether a relay keeps this entry in sync, and held rows."""
        self._release_held_rows(self._shell.now_ms())
        if self._shell.state.store_era > self._noted_era:
            self._noted_era = self._shell.state.store_era
            self._era_changed.set()
            self._era_changed = anyio.Event()
        is_synced = all(self._is_synced(table) for table in self._positions)
        if is_synced and self._relay_lost.is_set():
            self._relay_lost = anyio.Event()
        elif not is_synced:
            self._relay_lost.set()

    def _is_synced(self, table: interfaces.Table) -> bool:
        """Return whether a relay keeps a table in sync, in the newest era."""
        if not self.is_synced_by_relay():
            return False
        state = self._shell.state
        if self._positions[table].era >= state.store_era:
            return True
        waited_ms = self._shell.now_ms() - state.store_era_since_ms
        return waited_ms < RELAY_ERA_GRACE_MS

    def era(self) -> int:
        """Return the era of the store that both tables are in."""
        return min(position.era for position in self._positions.values())

    async def register_and_poll_entries(
        self, own_contact: membership.Contact
    ) -> None:
        """Register this entry, then read the rows of all entries repeatedly."""
        registered = False
        reads = 0
        pause_ms = MIN_RETRY_PAUSE_MS
        members = self._shell.state.members
        while True:
            try:
                if not registered:
                    registered = await self._register(own_contact)
                rows = await self._store.read(Table.ENTRIES)
                self._shell.note_store_era(rows.era)
            except exceptions.LaburnumpinError as error:
                logs.write(
                    "entries_not_read", "info", {"reason": error.message}
                )
                pause_factor = self._shell.state.random.uniform(0.5, 1.5)
                await anyio.sleep(pause_ms * pause_factor / 1_000)
                pause_ms = min(pause_ms * 2, MAX_RETRY_PAUSE_MS)
                continue
            now_ms = self._shell.now_ms()
            for row in rows.rows:
                if row.value is None:
                    continue
                try:
                    contact = membership.Contact.decode(row.key, row.value)
                except exceptions.DocumentError as error:
                    self._shell.state.counters.increment("entry_rows_malformed")
                    logs.write(
                        "entry_row_malformed",
                        "warning",
                        {
                            "entry_row": row.key[:MAX_LOGGED_KEY_CHARS],
                            "reason": error.message,
                        },
                    )
                    continue
                members.add_entry(contact, now_ms)
            self._shell.state.quotas.set_expected_entries(
                members.expected_count(now_ms)
            )
            if self._on_entries_read is not None:
                await self._on_entries_read()
            self._entries_read.set()
            registered = any(row.key == own_contact.name for row in rows.rows)
            if reads < len(INITIAL_ENTRY_READ_PAUSES_S):
                registered &= await self._wait_in_era(
                    INITIAL_ENTRY_READ_PAUSES_S[reads]
                )
                reads += 1
                continue
            pause_s = ENTRY_READ_PERIOD_S
            pause_s += ENTRY_READ_PERIOD_S_PER_ENTRY * len(rows.rows)
            registered &= await self._wait_in_era(pause_s)

    async def _wait_in_era(self, pause_s: float) -> bool:
        """Wait; return False early if the store has started a new era.

        Rows of this entry may be lost then. The entries of a large fleet write
        theirs again one after the other.
        """
        with anyio.move_on_after(pause_s) as scope:
            await self._era_changed.wait()
        if scope.cancelled_caught:
            return True
        spread_s = ENTRY_WRITE_SPREAD_S * self._shell.state.members.count()
        await anyio.sleep(self._shell.state.random.uniform(0.0, spread_s))
        return False

    async def _register(self, own_contact: membership.Contact) -> bool:
        """Write this entry's row; return whether that succeeded."""
        try:
            await self._store.write(
                Table.ENTRIES, own_contact.name, own_contact.encode(), None
            )
        except exceptions.LaburnumpinError as error:
            logs.write(
                "entry_not_registered", "info", {"reason": error.message}
            )
            return False
        return True

    def is_in_sync(self) -> bool:
        """Return whether both tables were read and none is failing."""
        return not self._failing_tables and all(
            position.version for position in self._positions.values()
        )

    @property
    def operator_rows(self) -> Mapping[str, interfaces.Row]:
        """Return all rows of the operator, by key."""
        return types.MappingProxyType(self._operator_rows)

    async def prepare(self, rows: Iterable[interfaces.Row]) -> None:
        """Decode the configuration in rows of the operator, if there is one.

        Other tasks run meanwhile. The rows are applied without a pause then.
        """
        await self._configurations.prepare(tuple(rows))

    async def release(self) -> None:
        """Drop what an earlier configuration holds, in slices."""
        await self._configurations.release()

    async def _prepare_table(
        self, table: interfaces.Table, rows: tuple[interfaces.Row, ...]
    ) -> None:
        if table is Table.OPERATOR:
            await self.prepare(rows)

    def operator_table(self, address: str) -> dict[str, Any]:
        """Return the operator's table for a peer of this release.

        `address` is where this entry serves large values.
        """
        current = self._shell.state.deployment
        return tables.encode(
            self._operator_rows.values(),
            self._positions[Table.OPERATOR],
            0 if current is None else current.version,
            address,
            self.large_values,
        )

    def compact_snapshot(self, address: str) -> dict[str, Any]:
        """Return a snapshot without large values, for a peer of this release.

        `address` is where this entry serves these.
        """
        snapshot = self.snapshot()
        del snapshot["operator"]
        snapshot["operator_table"] = self.operator_table(address)
        snapshot[tables.FORMAT_FIELD] = tables.FORMAT
        return snapshot

    def lacks(self, table: tables.Table) -> bool:
        """Return whether a peer's operator table has something new."""
        if self._resolve_era(table.position.era) is not None:
            if table.position > self._positions[Table.OPERATOR]:
                return True
        current = self._shell.state.deployment
        if current is not None and table.configuration <= current.version:
            return False
        hashes = [row.value_hash for row in table.rows]
        return not any(self._configurations.is_rejected(h) for h in hashes)

    def awaits_store(self) -> bool:
        """Return whether the store's own answer may have what a peer has."""
        if self._shell.state.deployment is None or self.is_synced_by_relay():
            return False
        return (
            self._entries_read.is_set()
            and Table.OPERATOR not in self._failing_tables
        )

    def apply_table(
        self, rows: tuple[interfaces.Row, ...], position: interfaces.Position
    ) -> None:
        """Apply a peer's whole operator table, if it is newer."""
        self._apply_peer_table(
            Table.OPERATOR, list(rows), position.version, position.era
        )

    def snapshot(self) -> dict[str, Any]:
        """Return all rows and the table versions, for a peer that is behind."""
        losses = self._shell.state.part_losses
        now_ms = self._shell.now_ms()
        return {
            "operator": encode_rows(tuple(self._operator_rows.values())),
            "upstreams": encode_rows(tuple(self._history.rows.values())),
            "operator_version": self._positions[Table.OPERATOR].version,
            "upstreams_version": self._positions[Table.UPSTREAMS].version,
            "operator_era": self._positions[Table.OPERATOR].era,
            "upstreams_era": self._positions[Table.UPSTREAMS].era,
            "part_losses": part_losses.encode_rows(losses.all_rows(now_ms)),
            "request_losses": part_losses.encode_request_rows(
                losses.all_request_rows(now_ms)
            ),
        }

    def apply_snapshot(self, snapshot: dict[str, Any]) -> None:
        """Apply a peer's snapshot of each table that it has a newer version of.

        The operator's table in a compact snapshot is left to `Intake`.

        Raises:
            ValueError: The snapshot is malformed.
        """
        try:
            operator_rows: list[interfaces.Row] | None = None
            if "operator_table" not in snapshot:
                operator_rows = decode_rows(snapshot["operator"])
            upstream_rows = decode_rows(snapshot["upstreams"])
            operator_version = _counter(snapshot, "operator_version")
            upstreams_version = _counter(snapshot, "upstreams_version")
            operator_era = _counter(snapshot, "operator_era", 0)
            upstreams_era = _counter(snapshot, "upstreams_era", 0)
            # Entries of an earlier release do not send these.
            losses = part_losses.decode_rows(snapshot.get("part_losses", ()))
            request_losses = part_losses.decode_request_rows(
                snapshot.get("request_losses", ())
            )
        except (KeyError, exceptions.DocumentError) as error:
            raise ValueError(f"malformed snapshot: {error!r}") from error
        if losses or request_losses:
            self._shell.apply(
                events.PartLossesRead(
                    self._shell.now_ms(), losses, request_losses
                )
            )
        if operator_rows is not None:
            self._apply_peer_table(
                Table.OPERATOR, operator_rows, operator_version, operator_era
            )
        self._apply_peer_table(
            Table.UPSTREAMS, upstream_rows, upstreams_version, upstreams_era
        )

    def _apply_peer_table(
        self,
        table: interfaces.Table,
        rows: list[interfaces.Row],
        peer_version: int,
        peer_era: int,
    ) -> None:
        if not rows and not peer_version:
            return  # The peer has not read the table yet.
        era = self._resolve_era(peer_era)
        if era is None:
            self._ignore_rows(table, peer_era, peer_version)
            if table is Table.OPERATOR:
                self._adopt_peer_configuration(rows, self._positions[table].era)
            return
        if interfaces.Position(era, peer_version) <= self._positions[table]:
            if table is Table.OPERATOR:
                # The peer may keep what the store has lost.
                self._adopt_peer_configuration(rows, era)
            return
        self._shell.note_store_era(era)
        logs.write(
            "snapshot_adopted",
            "info",
            {"table": table.value, "version": peer_version, "era": era},
        )
        # The peer may have had access to the store all the time. Missing
        # registrations count as possibly expired in an outage only while this
        # entry's own calls to the store fail.
        self._apply_all_rows(
            table,
            interfaces.Rows(tuple(rows), peer_version, era),
            bool(self._failing_tables),
            peer_version,
        )

    def _resolve_era(self, era: int) -> int | None:
        """Return the era of a peer's rows; None if it is not known.

        Entries of the release before name none. Their rows are of the store's
        only era, unless it was restored since this process started.
        """
        state = self._shell.state
        if era or not state.has_seen_restore:
            return era or state.store_era
        return None

    def _ignore_rows(
        self, table: interfaces.Table, era: int, version: int
    ) -> None:
        self._shell.state.counters.increment("rows_of_lost_era", table.value)
        if (table, self._shell.state.store_era) in self._ignored_eras:
            return
        self._ignored_eras.add((table, self._shell.state.store_era))
        logs.write(
            "rows_of_lost_era",
            "info",
            {
                "table": table.value,
                "version": version,
                "era": era,
                "store_era": self._shell.state.store_era,
            },
        )

    def _apply_all_rows(
        self,
        table: interfaces.Table,
        rows: interfaces.Rows,
        after_outage: bool,
        snapshot_version: int = 0,
        *,
        has_lost_history: bool = False,
    ) -> None:
        """Apply a whole table.

        With `has_lost_history`, the store did not know the version that this
        entry had. A lower version of the table is then that of another history.
        """
        previous = self._positions[table]
        if rows.era < previous.era:
            self._ignore_rows(table, rows.era, rows.version)
            return
        is_older = rows.era == previous.era and rows.version < previous.version
        is_restored = rows.era > previous.era and previous.version > 0
        is_restored |= is_older and has_lost_history
        if is_older and not is_restored:
            return  # A newer snapshot of a peer has been applied.
        newest_version = max([row.version for row in rows.rows], default=1)
        # Rows of later pages may be newer than the version of the table.
        newest_version = min(newest_version, rows.version)
        newest_version = max(newest_version, snapshot_version)
        if rows.era == previous.era and not is_restored:
            newest_version = max(newest_version, previous.version)
        self._positions[table] = interfaces.Position(rows.era, newest_version)
        if table is Table.OPERATOR:
            self._apply_operator_rows({row.key: row for row in rows.rows})
            self._publish_rows(table, rows, previous, complete=True)
            return
        now_ms = self._shell.now_ms()
        # What upstreams registered after a copy was made is missing until they
        # register again.
        after_outage |= is_restored
        registrations = self._history.replace_all(
            rows.rows,
            interfaces.Position(rows.era, rows.version),
            now_ms,
            is_other_history=is_restored,
            is_peers=snapshot_version > 0,
        )
        if after_outage:
            self._outage_ended_ms = now_ms
        self._shell.apply(
            events.UpstreamsListed(
                now_ms,
                newest_version,
                tuple(registrations),
                after_outage,
            )
        )
        self._publish_rows(table, rows, previous, complete=True)

    def apply_peer_changes(
        self, table: interfaces.Table, rows: interfaces.Rows
    ) -> None:
        """Apply changed rows from a relay link, if their era is known."""
        era = self._resolve_era(rows.era)
        if era is None or era < self._positions[table].era:
            self._ignore_rows(table, rows.era, rows.version)
            return
        self._shell.note_store_era(era)
        if era > self._positions[table].era:
            return  # The whole table of the new era comes first.
        self.apply_changes(table, dataclasses.replace(rows, era=era))

    def apply_changes(
        self, table: interfaces.Table, rows: interfaces.Rows
    ) -> None:
        """Apply changed rows, unless the table is in a later era by now."""
        if not rows.rows:
            return
        previous = self._positions[table]
        if rows.era < previous.era:
            self._ignore_rows(table, rows.era, rows.version)
            return
        newest_version = max(row.version for row in rows.rows)
        self._positions[table] = max(
            previous, interfaces.Position(rows.era, newest_version)
        )
        if table is Table.OPERATOR:
            changed = dict(self._operator_rows)
            for row in rows.rows:
                current_row = changed.get(row.key)
                if current_row is None or row.version > current_row.version:
                    changed[row.key] = row
            self._apply_operator_rows(changed)
            self._publish_rows(table, rows, previous, complete=False)
            return
        now_ms = self._shell.now_ms()
        ended_ms = self._outage_ended_ms
        after_outage = ended_ms is not None and (
            now_ms <= ended_ms + REREGISTRATION_GRACE_MS
        )
        for row in rows.rows:
            self._apply_row(row, now_ms, after_outage)
        self._shell.state.registry_version = self._positions[table].version
        self._publish_rows(table, rows, previous, complete=False)

    def _apply_row(
        self, row: interfaces.Row, now_ms: int, after_outage: bool
    ) -> None:
        change, registration = self._history.apply(
            row, self._positions[Table.UPSTREAMS].era, now_ms
        )
        if change is history.Change.NONE:
            return
        if registration is None:
            self._shell.apply(
                events.UpstreamRemoved(
                    now_ms, row.version, row.key, after_outage
                )
            )
            return
        self._shell.apply(
            events.UpstreamChanged(now_ms, row.version, registration)
        )

    def _decode_registration(
        self, row: interfaces.Row
    ) -> upstreams.Registration | None:
        """Return the registration in a row, None if it names no upstream.

        A malformed row, which may be another writer's, names none: what was
        registered under its key before is gone.
        """
        try:
            return self._documents.decode_registration(row)
        except exceptions.DocumentError as error:
            self._log_malformed(row, error)
            return None

    def _log_malformed(
        self, row: interfaces.Row, error: exceptions.DocumentError
    ) -> None:
        if self._malformed_rows.get(row.key) == row.version:
            return
        if len(self._malformed_rows) >= MAX_LOGGED_ROWS:
            del self._malformed_rows[next(iter(self._malformed_rows))]
        self._malformed_rows[row.key] = row.version
        self._shell.state.counters.increment("registrations_malformed")
        logs.write(
            "registration_malformed",
            "warning",
            {
                "upstream": row.key[:MAX_LOGGED_KEY_CHARS],
                "reason": error.message,
                "registry_version": row.version,
            },
        )

    def _release_held_rows(self, now_ms: int) -> None:
        """Use the held registrations that have stayed in the store."""
        for row, registration in self._history.release(now_ms):
            self._shell.apply(
                events.UpstreamChanged(now_ms, row.version, registration)
            )
            if self.on_rows is not None:
                position = self._positions[Table.UPSTREAMS]
                self.on_rows(
                    Table.UPSTREAMS,
                    interfaces.Rows((row,), position.version, position.era),
                    False,
                )

    def _publish_rows(
        self,
        table: interfaces.Table,
        rows: interfaces.Rows,
        previous: interfaces.Position,
        *,
        complete: bool,
    ) -> None:
        if self.on_rows is not None and self._positions[table] > previous:
            self.on_rows(table, rows, complete)

    def _apply_operator_rows(self, rows: dict[str, interfaces.Row]) -> None:
        """Apply the configuration of the store, or keep a newer one.

        An older one comes from an older copy of the store. The newer one stays
        in force and in snapshots, until the operator has written it again. So
        does the one in force if the store's cannot be decoded. The other rows
        are replaced in any case.
        """
        found = self._adopt_configuration(
            rows, self._positions[Table.OPERATOR].era
        )
        current = self._shell.state.deployment
        if found is not None and (current is None or found >= current.version):
            return
        kept = self._configuration_rows(self._operator_rows)
        if found is not None and current is not None:
            kept = _without_versions(kept)
            self._report_kept(found, current.version)
        others = {
            key: row
            for key, row in rows.items()
            if not self._documents.is_configuration(key)
        }
        self._set_operator_rows({**others, **kept})

    def _adopt_peer_configuration(
        self, rows: list[interfaces.Row], era: int
    ) -> None:
        """Apply a newer configuration of a peer with an older table.

        The other rows of the peer are older than those of this entry.
        """
        by_key = {row.key: row for row in rows}
        adopted = _without_versions(self._configuration_rows(by_key))
        self._adopt_configuration({**self._operator_rows, **adopted}, era)

    def _configuration_rows(
        self, rows: dict[str, interfaces.Row]
    ) -> dict[str, interfaces.Row]:
        return {
            key: row
            for key, row in rows.items()
            if self._documents.is_configuration(key)
        }

    def _adopt_configuration(
        self, rows: dict[str, interfaces.Row], era: int
    ) -> int | None:
        """Apply the configuration in the operator's rows if it is newest.

        `era` is that of the rows. Return its version, 0 if there is none, None
        if it is invalid.
        """
        try:
            configuration = self._configurations.read(tuple(rows.values()))
        except exceptions.DocumentError as error:
            self._report_rejection(error.code, error.message)
            return None
        current = self._shell.state.deployment
        found = 0 if configuration is None else configuration.version
        if current is not None and found < current.version:
            return found
        if current is not None and found == current.version:
            if era < self._configuration_era:
                return found
        if configuration is not None:
            # The operator may write a lost version again with other contents.
            is_rewritten = era > self._configuration_era > 0 and (
                _values(self._configuration_rows(rows))
                != _values(self._configuration_rows(self._operator_rows))
            )
            self._configuration_era = era
            self._shell.apply(
                events.DeploymentRead(
                    self._shell.now_ms(), configuration, is_rewritten
                )
            )
            if self._shell.state.deployment is configuration:
                self._configurations.set_base(configuration)
        self._set_operator_rows(rows)
        return found

    def _set_operator_rows(self, rows: dict[str, interfaces.Row]) -> None:
        self._operator_rows = rows
        self.large_values.set_current(rows.values())
        if self.on_operator_rows is not None:
            self.on_operator_rows(
                self.operator_rows, self._positions[Table.OPERATOR]
            )

    def _report_kept(self, found: int, kept: int) -> None:
        self._shell.state.counters.increment("configurations_kept")
        logs.write(
            "configuration_kept",
            "warning",
            {
                "version": kept,
                "in_store": found,
                "era": self._positions[Table.OPERATOR].era,
            },
        )

    def _report_rejection(self, code: str, reason: str) -> None:
        """Count and log a version that is not used; the one before stays."""
        current = self._shell.state.deployment
        self._shell.state.counters.increment("configurations_rejected", code)
        logs.write(
            "configuration_invalid",
            "error",
            {
                "code": code,
                "reason": reason,
                "kept_version": 0 if current is None else current.version,
                "table_version": self._positions[Table.OPERATOR].version,
                "max_bytes": self.max_value_bytes,
            },
        )

    def _log_store_lost(
        self, table: interfaces.Table, error: Exception
    ) -> None:
        self._shell.state.counters.increment("store_lost", table.value)
        code, reason = "unexpected_error", repr(error)[:MAX_LOGGED_ERROR_CHARS]
        if isinstance(error, exceptions.LaburnumpinError):
            code, reason = error.code, error.message
        logs.write(
            "store_lost",
            "warning",
            {
                "table": table.value,
                "code": code,
                "reason": reason,
                "version": self._positions[table].version,
                "age_ms": self._shell.now_ms() - self._proved_ms[table],
            },
        )


def _log_regained(table: interfaces.Table, rows: interfaces.Rows) -> None:
    logs.write(
        "store_regained",
        "info",
        {"table": table.value, "version": rows.version, "era": rows.era},
    )


def _without_versions(
    rows: dict[str, interfaces.Row],
) -> dict[str, interfaces.Row]:
    """Return rows whose versions are not of this entry's history.

    Any change of the store replaces them.
    """
    return {
        key: dataclasses.replace(row, version=0) for key, row in rows.items()
    }


def _values(rows: dict[str, interfaces.Row]) -> dict[str, bytes | None]:
    return {key: row.value for key, row in rows.items()}


def encode_rows(rows: tuple[interfaces.Row, ...]) -> list[list[Any]]:
    """Return rows in a form that CBOR can encode."""
    return [[row.key, row.value, row.version] for row in rows]


def decode_rows(encoded: Any) -> list[interfaces.Row]:
    """Return the rows that `encode_rows` encoded.

    Raises:
        MalformedError: The rows are malformed.
    """
    rows = []
    for row in untrusted.sequence(encoded, "rows"):
        key, value, version = untrusted.items(row, "rows", 3)
        if value is not None and not isinstance(value, bytes):
            raise untrusted.MalformedError("rows", "wrong_type")
        rows.append(
            interfaces.Row(
                untrusted.text(key, "rows", untrusted.MAX_KEY_CHARS),
                value,
                untrusted.integer(version, "rows"),
            )
        )
    return rows


def _counter(
    document: dict[str, Any], field: str, default: int | None = None
) -> int:
    if default is not None and field not in document:
        return default
    return untrusted.integer(untrusted.required(document, field), field)
