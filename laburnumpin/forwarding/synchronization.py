"""Following the store: configuration, registrations and entries."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from laburnumpin import exceptions
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import upstreams
from laburnumpin.server import logs

# Entries that together ask a failing store at the pace of one another.
CROWD = 8
# Pause between two looks whether another entry still passes on the rows.
RELAYED_POLL_S = 0.4
# Pause after changes in a large fleet, whose upstreams change all the time;
# what changes meanwhile comes with one call. Its relays ask out of step.
CHANGES_PAUSE_S = 0.2
# Longest wait of one call for changes; a connection that has gone silent is
# noticed a little later.
WAIT_MS = 2_500
# Pause after a failed call, doubled up to the longest one.
FIRST_PAUSE_MS = 100
LONGEST_PAUSE_MS = 500
# Registrations that lapsed during an outage may come back until this time
# after it (the platform's statement), with room for their way here.
AFTER_OUTAGE_MS = 2_500
# Pauses after the first reads of the entries' rows: entries that start together
# register one after the other.
FIRST_READS_S = (1.5, 4.0)
# Pause between two later reads of the entries' rows, and what each entry adds.
ENTRIES_PERIOD_S = 10.0
ENTRIES_PERIOD_S_PER_ENTRY = 1.0
# Removed registrations whose version is remembered.
KEPT_REMOVALS = 1_000

Table = interfaces.Table


class Synchronizer:
    """Keeps the state in step with the store, or with a peer that is."""

    __slots__ = (
        "_documents",
        "_failing",
        "_operator_rows",
        "_outage_ended_ms",
        "_removed",
        "_shell",
        "_store",
        "_upstream_rows",
        "_versions",
        "on_rows",
        "relayed",
    )

    def __init__(
        self,
        shell: shells.Shell,
        store: interfaces.StoreClient,
        documents: interfaces.Documents,
    ) -> None:
        self._shell = shell
        self._store = store
        self._documents = documents
        # Rows as the store has them, for peers that do not reach it.
        self._operator_rows: dict[str, interfaces.Row] = {}
        self._upstream_rows: dict[str, interfaces.Row] = {}
        # The newest change of each table that is applied here.
        self._versions = {Table.OPERATOR: 0, Table.UPSTREAMS: 0}
        # Registrations that were removed, with the version of the removal.
        self._removed: dict[str, int] = {}
        self._outage_ended_ms: int | None = None
        # Tables whose last call failed.
        self._failing: set[interfaces.Table] = set()
        # Called with rows that are new here, and whether they are all.
        self.on_rows: (
            Callable[[interfaces.Table, interfaces.Rows, bool], None] | None
        ) = None
        # Whether another entry keeps this one in step with the store.
        self.relayed: Callable[[], bool] = lambda: False

    async def follow(self, table: interfaces.Table) -> None:
        """Follow one table until cancelled."""
        pause_ms = FIRST_PAUSE_MS
        after: int | None = None
        failing = False
        while True:
            if self.relayed() and self._versions[table]:
                failing = False
                self._failing.discard(table)
                await anyio.sleep(RELAYED_POLL_S)
                continue
            try:
                if after is None:
                    rows = await self._store.read(table)
                    self._apply_all(table, rows, failing)
                else:
                    rows = await self._store.changes(table, after, WAIT_MS)
                    if failing:
                        self._outage_ended_ms = self._shell.now_ms()
                    self.adopt_changes(table, rows)
                    if rows.rows and self._shell.state.members.uses_relays():
                        await anyio.sleep(CHANGES_PAUSE_S)
                after = rows.version
                self._failing.discard(table)
            except interfaces.HistoryLostError:
                logs.write("store_history_lost", "info", {"table": table.value})
                after = None
                continue
            except exceptions.LaburnumpinError as error:
                if not failing:
                    self._log_lost(table, error)
                failing = True
                self._failing.add(table)
                members = self._shell.state.members.count()
                # Many entries find a store that serves some of them as fast
                # as few do.
                crowd = max(1.0, members / CROWD)
                spread = self._shell.state.random.uniform(0.5, 1.5) * crowd
                await anyio.sleep(pause_ms * spread / 1_000)
                pause_ms = min(pause_ms * 2, LONGEST_PAUSE_MS)
                continue
            if failing:
                logs.write(
                    "store_regained",
                    "info",
                    {"table": table.value, "version": rows.version},
                )
            failing = False
            pause_ms = FIRST_PAUSE_MS

    async def join(self, own: membership.Contact) -> None:
        """Register this entry and learn of the others from time to time."""
        registered = False
        reads = 0
        members = self._shell.state.members
        while True:
            try:
                if not registered:
                    await self._store.write(
                        Table.ENTRIES, own.name, own.encode(), None
                    )
                    registered = True
                rows = await self._store.read(Table.ENTRIES)
            except exceptions.LaburnumpinError as error:
                logs.write(
                    "entries_not_read", "info", {"reason": error.message}
                )
                await anyio.sleep(1.0)
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
            if reads < len(FIRST_READS_S):
                await anyio.sleep(FIRST_READS_S[reads])
                reads += 1
                continue
            pause_s = ENTRIES_PERIOD_S
            pause_s += ENTRIES_PERIOD_S_PER_ENTRY * len(rows.rows)
            await anyio.sleep(pause_s)

    def in_step(self) -> bool:
        """Return whether this entry itself follows the store."""
        return not self._failing and all(self._versions.values())

    def snapshot(self) -> dict[str, Any]:
        """Return what this entry knows, for a peer that does not."""
        return {
            "operator": dump(tuple(self._operator_rows.values())),
            "upstreams": dump(tuple(self._upstream_rows.values())),
            "operator_version": self._versions[Table.OPERATOR],
            "upstreams_version": self._versions[Table.UPSTREAMS],
        }

    def adopt(self, snapshot: dict[str, Any]) -> None:
        """Apply a peer's snapshot as far as it is newer.

        Raises:
            ValueError: The snapshot is malformed.
        """
        try:
            operator = load(snapshot["operator"])
            rows = load(snapshot["upstreams"])
            operator_version = int(snapshot["operator_version"])
            version = int(snapshot["upstreams_version"])
        except (KeyError, TypeError) as error:
            raise ValueError(f"malformed snapshot: {error!r}") from error
        for table, found, found_version in (
            (Table.OPERATOR, operator, operator_version),
            (Table.UPSTREAMS, rows, version),
        ):
            if found_version <= self._versions[table]:
                continue
            logs.write(
                "snapshot_adopted",
                "info",
                {"table": table.value, "version": found_version},
            )
            # A peer may have followed the store all the while; registrations
            # that it lacks are in doubt only if this entry lost the store.
            self._apply_all(
                table,
                interfaces.Rows(tuple(found), found_version),
                bool(self._failing),
                found_version,
            )

    def _apply_all(
        self,
        table: interfaces.Table,
        rows: interfaces.Rows,
        after_outage: bool,
        known_version: int = 0,
    ) -> None:
        if rows.version < self._versions[table]:
            return  # A peer's snapshot was newer.
        newest = max([row.version for row in rows.rows], default=1)
        before = self._versions[table]
        self._versions[table] = max(before, newest, known_version)
        now_ms = self._shell.now_ms()
        if table is Table.OPERATOR:
            self._operator_rows = {row.key: row for row in rows.rows}
            self._adopt_deployment(rows.version)
            self._pass_on(table, rows, before, complete=True)
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
        self._pass_on(table, rows, before, complete=True)

    def adopt_changes(
        self, table: interfaces.Table, rows: interfaces.Rows
    ) -> None:
        """Apply changed rows, of the store or passed on by another entry."""
        if not rows.rows:
            return
        before = self._versions[table]
        newest = max(row.version for row in rows.rows)
        self._versions[table] = max(before, newest)
        if table is Table.OPERATOR:
            for row in rows.rows:
                known = self._operator_rows.get(row.key)
                if known is None or row.version > known.version:
                    self._operator_rows[row.key] = row
            self._adopt_deployment(rows.version)
            self._pass_on(table, rows, before, complete=False)
            return
        now_ms = self._shell.now_ms()
        ended_ms = self._outage_ended_ms
        after_outage = ended_ms is not None and (
            now_ms <= ended_ms + AFTER_OUTAGE_MS
        )
        for row in rows.rows:
            self._apply_row(row, now_ms, after_outage)
        self._shell.state.registry_version = self._versions[table]
        self._pass_on(table, rows, before, complete=False)

    def _apply_row(
        self, row: interfaces.Row, now_ms: int, after_outage: bool
    ) -> None:
        known = self._upstream_rows.get(row.key)
        known_version = self._removed.get(row.key, 0)
        if known is not None:
            known_version = known.version
        if row.version <= known_version:
            return  # A peer was faster.
        registration = self._documents.decode_registration(row)
        if registration is None:
            self._upstream_rows.pop(row.key, None)
            self._removed[row.key] = row.version
            if len(self._removed) > KEPT_REMOVALS:
                del self._removed[next(iter(self._removed))]
            self._shell.apply(
                events.UpstreamRemoved(
                    now_ms, row.version, row.key, after_outage
                )
            )
            return
        self._removed.pop(row.key, None)
        self._upstream_rows[row.key] = row
        self._shell.apply(
            events.UpstreamChanged(now_ms, row.version, registration)
        )

    def _pass_on(
        self,
        table: interfaces.Table,
        rows: interfaces.Rows,
        before: int,
        *,
        complete: bool,
    ) -> None:
        if self.on_rows is not None and self._versions[table] > before:
            self.on_rows(table, rows, complete)

    def _adopt_deployment(self, version: int) -> None:
        rows = interfaces.Rows(tuple(self._operator_rows.values()), version)
        try:
            found = self._documents.decode_deployment(rows)
        except exceptions.DocumentError as error:
            logs.write(
                "configuration_invalid", "error", {"reason": error.message}
            )
            return
        if found is not None:
            self._shell.apply(
                events.DeploymentRead(self._shell.now_ms(), found)
            )

    def _log_lost(
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


def dump(rows: tuple[interfaces.Row, ...]) -> list[list[Any]]:
    """Return rows as CBOR can carry them."""
    return [[row.key, row.value, row.version] for row in rows]


def load(dumped: list[list[Any]]) -> list[interfaces.Row]:
    """Return the rows of a message.

    Raises:
        ValueError: They are malformed.
        TypeError: They are malformed.
    """
    rows = []
    for key, value, version in dumped:
        rows.append(interfaces.Row(str(key), value, int(version)))
    return rows
