"""Following the store: configuration, registrations and entries."""

from __future__ import annotations

from typing import Any

import anyio

from laburnumpin import exceptions
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import upstreams
from laburnumpin.server import logs

# Longest wait of one call for changes; a connection that has gone silent is
# noticed a little later.
WAIT_MS = 2_500
# Pause after a failed call, doubled up to the longest one.
FIRST_PAUSE_MS = 100
LONGEST_PAUSE_MS = 500
# Registrations that lapsed during an outage may come back until this time
# after it (the platform's statement), with room for their way here.
AFTER_OUTAGE_MS = 2_500
# Pause between two reads of the entries' rows.
ENTRIES_PERIOD_S = 10.0

Table = interfaces.Table


class Synchronizer:
    """Keeps the state in step with the store, or with a peer that is."""

    __slots__ = (
        "_documents",
        "_operator_rows",
        "_outage_ended_ms",
        "_shell",
        "_store",
        "_upstream_rows",
        "_versions",
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
        self._versions = {Table.OPERATOR: 0, Table.UPSTREAMS: 0}
        self._outage_ended_ms: int | None = None

    async def follow(self, table: interfaces.Table) -> None:
        """Follow one table until cancelled."""
        pause_ms = FIRST_PAUSE_MS
        after: int | None = None
        failing = False
        while True:
            try:
                if after is None:
                    rows = await self._store.read(table)
                    self._apply_all(table, rows, failing)
                else:
                    rows = await self._store.changes(table, after, WAIT_MS)
                    if failing:
                        self._outage_ended_ms = self._shell.now_ms()
                    self._apply_changes(table, rows)
                after = rows.version
            except interfaces.HistoryLostError:
                logs.write("store_history_lost", "info", {"table": table.value})
                after = None
                continue
            except exceptions.LaburnumpinError as error:
                if not failing:
                    self._log_lost(table, error)
                failing = True
                await anyio.sleep(pause_ms / 1_000)
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

    async def join(self, own_address: str, own_name: str) -> None:
        """Register this entry and learn of the others from time to time."""
        registered = False
        while True:
            try:
                if not registered:
                    await self._store.write(
                        Table.ENTRIES, own_name, own_address.encode(), None
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
                if row.value is not None:
                    address = row.value.decode("ascii", "replace")
                    self._shell.state.members.add_contact(address, now_ms)
            await anyio.sleep(ENTRIES_PERIOD_S)

    def snapshot(self) -> dict[str, Any]:
        """Return what this entry knows, for a peer that does not."""
        return {
            "operator": _dump(self._operator_rows),
            "upstreams": _dump(self._upstream_rows),
            "operator_version": self._versions[Table.OPERATOR],
            "upstreams_version": self._versions[Table.UPSTREAMS],
        }

    def adopt(self, snapshot: dict[str, Any]) -> None:
        """Apply a peer's snapshot as far as it is newer.

        Raises:
            ValueError: The snapshot is malformed.
        """
        try:
            operator = _load(snapshot["operator"])
            rows = _load(snapshot["upstreams"])
            operator_version = int(snapshot["operator_version"])
            version = int(snapshot["upstreams_version"])
        except (KeyError, TypeError) as error:
            raise ValueError(f"malformed snapshot: {error!r}") from error
        if operator_version > self._versions[Table.OPERATOR]:
            logs.write(
                "snapshot_adopted",
                "info",
                {"table": "operator", "version": operator_version},
            )
            self._apply_all(
                Table.OPERATOR,
                interfaces.Rows(tuple(operator), operator_version),
                False,
            )
        if version > self._versions[Table.UPSTREAMS]:
            logs.write(
                "snapshot_adopted",
                "info",
                {"table": "upstreams", "version": version},
            )
            self._apply_all(
                Table.UPSTREAMS, interfaces.Rows(tuple(rows), version), True
            )

    def _apply_all(
        self,
        table: interfaces.Table,
        rows: interfaces.Rows,
        after_outage: bool,
    ) -> None:
        if rows.version < self._versions[table]:
            return  # A peer's snapshot was newer.
        self._versions[table] = rows.version
        now_ms = self._shell.now_ms()
        if table is Table.OPERATOR:
            self._operator_rows = {row.key: row for row in rows.rows}
            self._adopt_deployment(rows.version)
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
                now_ms, rows.version, tuple(registrations), after_outage
            )
        )

    def _apply_changes(
        self, table: interfaces.Table, rows: interfaces.Rows
    ) -> None:
        self._versions[table] = max(self._versions[table], rows.version)
        if table is Table.OPERATOR:
            for row in rows.rows:
                self._operator_rows[row.key] = row
            if rows.rows:
                self._adopt_deployment(rows.version)
            return
        now_ms = self._shell.now_ms()
        ended_ms = self._outage_ended_ms
        after_outage = ended_ms is not None and (
            now_ms <= ended_ms + AFTER_OUTAGE_MS
        )
        for row in rows.rows:
            known = self._upstream_rows.get(row.key)
            if known is not None and row.version < known.version:
                continue  # A peer's snapshot was newer.
            registration = self._documents.decode_registration(row)
            if registration is None:
                self._upstream_rows.pop(row.key, None)
                self._shell.apply(
                    events.UpstreamRemoved(
                        now_ms, row.version, row.key, after_outage
                    )
                )
                continue
            self._upstream_rows[row.key] = row
            self._shell.apply(
                events.UpstreamChanged(now_ms, row.version, registration)
            )
        self._shell.state.registry_version = self._versions[table]

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


def _dump(rows: dict[str, interfaces.Row]) -> list[list[Any]]:
    dumped = []
    for row in rows.values():
        dumped.append([row.key, row.value, row.version])
    return dumped


def _load(dumped: list[list[Any]]) -> list[interfaces.Row]:
    rows = []
    for key, value, version in dumped:
        rows.append(interfaces.Row(str(key), value, int(version)))
    return rows
