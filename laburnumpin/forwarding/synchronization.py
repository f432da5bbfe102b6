"""Synchronizes configuration, registrations and entries with the store."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio

from laburnumpin import exceptions
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import upstreams
from laburnumpin.server import logs

# With more entries than this, each one retries a failing store less often, so
# that their total call rate stays the same.
UNSCALED_RETRY_ENTRIES = 8
# Pause after changes in a fleet that uses relays. Its upstreams change all the
# time, and one call returns all changes that were made during the pause. The
# relays call the store at different times.
CHANGES_PAUSE_S = 0.2
# Longest wait of one call for changes. A hanging connection is detected shortly
# after this time.
CHANGES_WAIT_MS = 2_500
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
# Removed registrations whose version is kept.
MAX_TOMBSTONES = 1_000

Table = interfaces.Table


class Synchronizer:
    """Keeps the state in sync with the store, directly or through peers."""

    __slots__ = (
        "_documents",
        "_entries_read",
        "_failing_tables",
        "_on_entries_read",
        "_operator_rows",
        "_outage_ended_ms",
        "_relay_lost",
        "_shell",
        "_store",
        "_tombstone_versions",
        "_upstream_rows",
        "_versions",
        "is_synced_by_relay",
        "on_rows",
    )

    def __init__(
        self,
        shell: shells.Shell,
        store: interfaces.StoreClient,
        documents: interfaces.Documents,
        on_entries_read: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._shell = shell
        self._store = store
        self._documents = documents
        # Awaited each time the list of entries was read.
        self._on_entries_read = on_entries_read
        # Rows of the store, for snapshots to peers that cannot reach it.
        self._operator_rows: dict[str, interfaces.Row] = {}
        self._upstream_rows: dict[str, interfaces.Row] = {}
        # Version of the newest change that was applied, by table.
        self._versions = {Table.OPERATOR: 0, Table.UPSTREAMS: 0}
        # Versions of removals, by the key of the removed registration. A late
        # change of an older version must not undo a removal.
        self._tombstone_versions: dict[str, int] = {}
        self._outage_ended_ms: int | None = None
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
        after: int | None = None
        is_failing = False
        while True:
            if self._versions[table] and self.is_synced_by_relay():
                is_failing = False
                self._failing_tables.discard(table)
                self.on_tick()
                await self._relay_lost.wait()
                continue
            try:
                if after is None:
                    rows = await self._store.read(table)
                    self._shell.note_store_era(rows.era)
                    self._apply_all_rows(table, rows, is_failing)
                else:
                    rows = await self._store.changes(
                        table, after, CHANGES_WAIT_MS
                    )
                    self._shell.note_store_era(rows.era)
                    if is_failing:
                        self._outage_ended_ms = self._shell.now_ms()
                    self.apply_changes(table, rows)
                    if rows.rows and self._shell.state.members.uses_relays():
                        await anyio.sleep(CHANGES_PAUSE_S)
                after = rows.version
                self._failing_tables.discard(table)
            except interfaces.HistoryLostError:
                logs.write("store_history_lost", "info", {"table": table.value})
                after = None
                continue
            except exceptions.LaburnumpinError as error:
                if not is_failing:
                    self._log_store_lost(table, error)
                is_failing = True
                self._failing_tables.add(table)
                members = self._shell.state.members.count()
                # With the longer pauses of a large fleet, some entry still
                # detects the end of the outage as early as in a small fleet.
                entry_factor = max(1.0, members / UNSCALED_RETRY_ENTRIES)
                pause_factor = (
                    self._shell.state.random.uniform(0.5, 1.5) * entry_factor
                )
                await anyio.sleep(pause_ms * pause_factor / 1_000)
                pause_ms = min(pause_ms * 2, MAX_RETRY_PAUSE_MS)
                continue
            if is_failing:
                logs.write(
                    "store_regained",
                    "info",
                    {
                        "table": table.value,
                        "version": rows.version,
                        "era": rows.era,
                    },
                )
            is_failing = False
            pause_ms = MIN_RETRY_PAUSE_MS

    def on_tick(self) -> None:
        """Check whether a relay still keeps this entry in sync."""
        is_synced = self.is_synced_by_relay()
        if is_synced and self._relay_lost.is_set():
            self._relay_lost = anyio.Event()
        elif not is_synced:
            self._relay_lost.set()

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
                except ValueError as error:
                    logs.write(
                        "entry_row_malformed",
                        "warning",
                        {"entry_row": row.key, "reason": str(error)},
                    )
                    continue
                members.add_entry(contact, now_ms)
            self._shell.state.quotas.set_expected_entries(
                members.expected_count(now_ms)
            )
            if self._on_entries_read is not None:
                await self._on_entries_read()
            self._entries_read.set()
            if reads < len(INITIAL_ENTRY_READ_PAUSES_S):
                await anyio.sleep(INITIAL_ENTRY_READ_PAUSES_S[reads])
                reads += 1
                continue
            pause_s = ENTRY_READ_PERIOD_S
            pause_s += ENTRY_READ_PERIOD_S_PER_ENTRY * len(rows.rows)
            await anyio.sleep(pause_s)

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
        return not self._failing_tables and all(self._versions.values())

    def snapshot(self) -> dict[str, Any]:
        """Return all rows and the table versions, for a peer that is behind."""
        return {
            "operator": encode_rows(tuple(self._operator_rows.values())),
            "upstreams": encode_rows(tuple(self._upstream_rows.values())),
            "operator_version": self._versions[Table.OPERATOR],
            "upstreams_version": self._versions[Table.UPSTREAMS],
            "part_losses": part_losses.encode_rows(
                self._shell.state.part_losses.all_rows(self._shell.now_ms())
            ),
        }

    def apply_snapshot(self, snapshot: dict[str, Any]) -> None:
        """Apply a peer's snapshot of each table that it has a newer version of.

        Raises:
            ValueError: The snapshot is malformed.
        """
        try:
            operator_rows = decode_rows(snapshot["operator"])
            upstream_rows = decode_rows(snapshot["upstreams"])
            operator_version = int(snapshot["operator_version"])
            upstreams_version = int(snapshot["upstreams_version"])
            # Entries of an earlier release do not send these.
            losses = part_losses.decode_rows(snapshot.get("part_losses", ()))
        except (KeyError, TypeError) as error:
            raise ValueError(f"malformed snapshot: {error!r}") from error
        if losses:
            self._shell.apply(
                events.PartLossesRead(self._shell.now_ms(), losses)
            )
        for table, rows, snapshot_version in (
            (Table.OPERATOR, operator_rows, operator_version),
            (Table.UPSTREAMS, upstream_rows, upstreams_version),
        ):
            if snapshot_version <= self._versions[table]:
                continue
            logs.write(
                "snapshot_adopted",
                "info",
                {"table": table.value, "version": snapshot_version},
            )
            # The peer may have had access to the store all the time. Missing
            # registrations count as possibly expired in an outage only while
            # this entry's own calls to the store fail.
            self._apply_all_rows(
                table,
                interfaces.Rows(tuple(rows), snapshot_version),
                bool(self._failing_tables),
                snapshot_version,
            )

    def _apply_all_rows(
        self,
        table: interfaces.Table,
        rows: interfaces.Rows,
        after_outage: bool,
        snapshot_version: int = 0,
    ) -> None:
        if rows.version < self._versions[table]:
            return  # A newer snapshot of a peer has been applied.
        newest_version = max([row.version for row in rows.rows], default=1)
        previous_version = self._versions[table]
        self._versions[table] = max(
            previous_version, newest_version, snapshot_version
        )
        now_ms = self._shell.now_ms()
        if table is Table.OPERATOR:
            self._operator_rows = {row.key: row for row in rows.rows}
            self._apply_configuration(rows.version)
            self._publish_rows(table, rows, previous_version, complete=True)
            return
        self._upstream_rows = {row.key: row for row in rows.rows}
        if after_outage:
            self._outage_ended_ms = now_ms
        registrations: list[upstreams.Registration] = []
        for row in rows.rows:
            registration = self._documents.decode_registration(row)
            if registration is not None:
                registrations.append(registration)
        self._shell.apply(
            events.UpstreamsListed(
                now_ms,
                self._versions[table],
                tuple(registrations),
                after_outage,
            )
        )
        self._publish_rows(table, rows, previous_version, complete=True)

    def apply_changes(
        self, table: interfaces.Table, rows: interfaces.Rows
    ) -> None:
        """Apply changed rows from the store or from a relay link."""
        if not rows.rows:
            return
        previous_version = self._versions[table]
        newest_version = max(row.version for row in rows.rows)
        self._versions[table] = max(previous_version, newest_version)
        if table is Table.OPERATOR:
            for row in rows.rows:
                current_row = self._operator_rows.get(row.key)
                if current_row is None or row.version > current_row.version:
                    self._operator_rows[row.key] = row
            self._apply_configuration(rows.version)
            self._publish_rows(table, rows, previous_version, complete=False)
            return
        now_ms = self._shell.now_ms()
        ended_ms = self._outage_ended_ms
        after_outage = ended_ms is not None and (
            now_ms <= ended_ms + REREGISTRATION_GRACE_MS
        )
        for row in rows.rows:
            self._apply_row(row, now_ms, after_outage)
        self._shell.state.registry_version = self._versions[table]
        self._publish_rows(table, rows, previous_version, complete=False)

    def _apply_row(
        self, row: interfaces.Row, now_ms: int, after_outage: bool
    ) -> None:
        current_row = self._upstream_rows.get(row.key)
        known_version = self._tombstone_versions.get(row.key, 0)
        if current_row is not None:
            known_version = current_row.version
        if row.version <= known_version:
            return  # A peer has delivered this or a newer change.
        registration = self._documents.decode_registration(row)
        if registration is None:
            self._upstream_rows.pop(row.key, None)
            self._tombstone_versions[row.key] = row.version
            if len(self._tombstone_versions) > MAX_TOMBSTONES:
                del self._tombstone_versions[
                    next(iter(self._tombstone_versions))
                ]
            self._shell.apply(
                events.UpstreamRemoved(
                    now_ms, row.version, row.key, after_outage
                )
            )
            return
        self._tombstone_versions.pop(row.key, None)
        self._upstream_rows[row.key] = row
        self._shell.apply(
            events.UpstreamChanged(now_ms, row.version, registration)
        )

    def _publish_rows(
        self,
        table: interfaces.Table,
        rows: interfaces.Rows,
        previous_version: int,
        *,
        complete: bool,
    ) -> None:
        if (
            self.on_rows is not None
            and self._versions[table] > previous_version
        ):
            self.on_rows(table, rows, complete)

    def _apply_configuration(self, version: int) -> None:
        rows = interfaces.Rows(tuple(self._operator_rows.values()), version)
        try:
            configuration = self._documents.decode_deployment(rows)
        except exceptions.DocumentError as error:
            logs.write(
                "configuration_invalid", "error", {"reason": error.message}
            )
            return
        if configuration is not None:
            self._shell.apply(
                events.DeploymentRead(self._shell.now_ms(), configuration)
            )

    def _log_store_lost(
        self, table: interfaces.Table, error: exceptions.LaburnumpinError
    ) -> None:
        self._shell.state.counters.increment("store_lost", table.value)
        logs.write(
            "store_lost",
            "warning",
            {
                "table": table.value,
                "code": error.code,
                "reason": error.message,
                "version": self._versions.get(table, 0),
            },
        )


def encode_rows(rows: tuple[interfaces.Row, ...]) -> list[list[Any]]:
    """Return rows in a form that CBOR can encode."""
    return [[row.key, row.value, row.version] for row in rows]


def decode_rows(encoded: list[list[Any]]) -> list[interfaces.Row]:
    """Return the rows that `encode_rows` encoded.

    Raises:
        ValueError: The rows are malformed.
        TypeError: The rows are malformed.
    """
    rows = []
    for key, value, version in encoded:
        rows.append(interfaces.Row(str(key), value, int(version)))
    return rows
