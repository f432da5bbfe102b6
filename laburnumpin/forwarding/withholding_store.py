"""Keeps what is withheld in the store, for entries that all start again.

An entry that starts alone learns it from its peers. The lease holder writes one
row, so that the number of writes does not grow with the entries.
"""

from __future__ import annotations

import json
import time
from typing import Any

import anyio

from laburnumpin import exceptions
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import untrusted
from laburnumpin.server import logs

ROW_KEY = "current"
CHECK_PERIOD_S = 0.5
MAX_ROW_BYTES = 65_536


class WithholdingStore:
    """Reads the row when the entry starts, and writes it as lease holder."""

    __slots__ = ("_is_loaded", "_saved", "_saved_era", "_shell", "_store")

    def __init__(
        self, shell: shells.Shell, store: interfaces.StoreClient
    ) -> None:
        self._shell = shell
        self._store = store
        self._is_loaded = False
        # The store's era in which the row was read or written.
        self._saved_era = 0
        # What is withheld according to the row.
        self._saved: tuple[part_losses.Withheld, ...] = ()

    async def load(self) -> None:
        """Read the row, unless it was read already."""
        if self._is_loaded:
            return
        try:
            rows = await self._store.read(interfaces.Table.WITHHOLDING)
        except exceptions.LaburnumpinError as error:
            logs.write("withheld_not_read", "info", {"reason": error.message})
            return
        self._is_loaded = True
        self._shell.note_store_era(rows.era)
        self._saved_era = rows.era
        for row in rows.rows:
            if row.key != ROW_KEY or row.value is None:
                continue
            try:
                records, request_records = _decode(row.value, _wall_ms())
            except exceptions.DocumentError as error:
                logs.write(
                    "withheld_row_malformed",
                    "warning",
                    {"reason": error.message},
                )
                continue
            self._shell.apply(
                events.PartLossesRead(
                    self._shell.now_ms(), records, request_records
                )
            )
            self._saved = self._shell.state.part_losses.withheld()

    async def run(self) -> None:
        """Write the row when what is withheld changes, until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            state = self._shell.state
            withheld = state.part_losses.withheld()
            # A restored store may have lost the row, or have an older one.
            is_lost = 0 < self._saved_era < state.store_era
            if not state.lease_token or (
                withheld == self._saved and not is_lost
            ):
                continue
            now_ms = self._shell.now_ms()
            records = state.part_losses.withheld_rows(now_ms)
            request_records = state.part_losses.withheld_request_rows(now_ms)
            try:
                position = await self._store.write(
                    interfaces.Table.WITHHOLDING,
                    ROW_KEY,
                    _encode(records, request_records, _wall_ms()),
                    None,
                )
            except exceptions.LaburnumpinError as error:
                logs.write(
                    "withheld_not_written", "info", {"reason": error.message}
                )
                continue
            self._saved = withheld
            self._saved_era = position.era


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


def _encode(
    records: tuple[part_losses.Row, ...],
    request_records: tuple[part_losses.RequestRow, ...],
    wall_ms: int,
) -> bytes:
    document: dict[str, Any] = {
        "written_ms": wall_ms,
        "records": part_losses.encode_rows(records),
        "request_records": part_losses.encode_request_rows(request_records),
    }
    return json.dumps(document).encode()


def _decode(
    value: bytes, wall_ms: int
) -> tuple[tuple[part_losses.Row, ...], tuple[part_losses.RequestRow, ...]]:
    """Return the records with their ages as of now.

    Raises:
        MalformedError: The row is malformed.
    """
    document = untrusted.parse_json(value, MAX_ROW_BYTES)
    written_ms = untrusted.integer(
        untrusted.required(document, "written_ms"),
        "written_ms",
        0,
        untrusted.MAX_UNIX_MS,
    )
    elapsed_ms = max(0, wall_ms - written_ms)
    records = []
    for part_id, is_contrasted, losses in part_losses.decode_rows(
        untrusted.required(document, "records")
    ):
        aged = tuple(
            (identifier, age_ms + elapsed_ms, cleared)
            for identifier, age_ms, cleared in losses
        )
        records.append((part_id, is_contrasted, aged))
    request_records = []
    # Entries of an earlier release do not write these.
    for key, is_contrasted, service, runs in part_losses.decode_request_rows(
        document.get("request_records", ())
    ):
        aged_runs = tuple(
            (identifier, age_ms + elapsed_ms, cleared, ran_ms)
            for identifier, age_ms, cleared, ran_ms in runs
        )
        request_records.append((key, is_contrasted, service, aged_runs))
    return tuple(records), tuple(request_records)
