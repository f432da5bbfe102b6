"""Takes over the operator's table from peers."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Protocol

import anyio

from laburnumpin import exceptions
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding.configurations import differences
from laburnumpin.forwarding.configurations import pacing
from laburnumpin.forwarding.configurations import tables
from laburnumpin.forwarding.configurations import values
from laburnumpin.server import logs

# An entry whose own calls to the store succeed waits this long for its answer
# before it asks a peer for the same value.
OWN_READ_GRACE_MS = 600
# Tries to fetch a value that one message names, and the pause between them.
MAX_TRIES = 4
RETRY_PAUSE_MS = 150
# A peer that has not answered within this time is not waited for alone: the
# value is also asked from others that have it.
HEDGE_PAUSE_MS = 300
MAX_LOGGED_ERROR_CHARS = 400

# Sends a request for a value to an address and returns the answer.
Fetch = Callable[[str, dict[str, Any]], Awaitable[dict[str, Any]]]


class FetchError(exceptions.LaburnumpinError):
    """A peer did not send a value."""

    code = "value_not_fetched"


class Target(Protocol):
    """The state of the operator's table at this entry."""

    large_values: values.LargeValues
    max_value_bytes: int

    def lacks(self, table: tables.Table) -> bool:
        """Return whether a peer's table has something new."""

    def awaits_store(self) -> bool:
        """Return whether the store's own answer may have it soon."""

    async def prepare(self, rows: tuple[interfaces.Row, ...]) -> None:
        """Decode the configuration in rows ahead of its use."""

    def apply_table(
        self, rows: tuple[interfaces.Row, ...], position: interfaces.Position
    ) -> None:
        """Apply a peer's whole table."""

    async def release(self) -> None:
        """Drop what an earlier configuration holds, in slices."""


class Intake:
    """Applies peers' tables one after the other.

    Of each peer only the newest table waits. The one in progress is finished
    first, so that tables that keep coming cannot hold each other up.
    """

    __slots__ = ("_fetch", "_tables", "_target", "_wake")

    def __init__(self, target: Target, fetch: Fetch) -> None:
        self._target = target
        self._fetch = fetch
        # By the name of the peer.
        self._tables: dict[str, tables.Table] = {}
        self._wake = anyio.Event()

    def offer(self, peer: str, table: tables.Table) -> None:
        """Take a peer's table, if it has something new."""
        if not self._target.lacks(table):
            self._tables.pop(peer, None)
            return
        self._tables[peer] = table
        self._wake.set()

    async def run(self) -> None:
        """Apply tables until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._tables:
                peer, table = next(iter(self._tables.items()))
                try:
                    await self._take(peer)
                except Exception as error:
                    # Whatever a table has led to, the others are taken.
                    if self._tables.get(peer) is table:
                        del self._tables[peer]
                    _log_failure(peer, "unexpected_error", repr(error))

    async def _take(self, peer: str) -> None:
        if self._needs_fetch(self._tables[peer]):
            if self._target.awaits_store():
                await anyio.sleep(OWN_READ_GRACE_MS / 1_000)
        table = self._tables.pop(peer, None)
        if table is None or not self._target.lacks(table):
            return
        rows = await self._resolve(peer, table)
        if rows is None:
            return
        await self._target.prepare(rows)
        self._target.apply_table(rows, table.position)
        await self._target.release()

    def _needs_fetch(self, table: tables.Table) -> bool:
        return any(
            row.value_hash is not None
            and self._target.large_values.find(row.value_hash) is None
            for row in table.rows
        )

    async def _resolve(
        self, peer: str, table: tables.Table
    ) -> tuple[interfaces.Row, ...] | None:
        """Return the rows with their values, None if a newer table came."""
        rows = []
        for row in table.rows:
            value = row.value
            if row.value_hash is not None:
                value = await self._find_value(peer, table, row.value_hash)
                if value is None:
                    return None
            rows.append(interfaces.Row(row.key, value, row.version))
        return tuple(rows)

    async def _find_value(
        self, peer: str, table: tables.Table, value_hash: bytes
    ) -> bytes | None:
        for _ in range(MAX_TRIES):
            found = self._target.large_values.find(value_hash)
            if found is not None:
                return found
            if not self._target.lacks(table):
                return None
            found = await self._fetch_from_any(peer, table, value_hash)
            if found is not None:
                return found
            if self._tables:
                return None  # This peer's newer table, or another's, is next.
            await anyio.sleep(RETRY_PAUSE_MS / 1_000)
        return None

    async def _fetch_from_any(
        self, peer: str, table: tables.Table, value_hash: bytes
    ) -> bytes | None:
        """Return a value from a peer, or from others whose tables wait."""
        found: list[bytes] = []
        asked = {table.address}
        running = {table.address}

        async def fetch(name: str, address: str) -> None:
            try:
                found.append(await self._fetch_value(address, value_hash))
            except exceptions.LaburnumpinError as error:
                _log_failure(name, error.code, error.message)
            running.discard(address)
            if found or not running:
                task_group.cancel_scope.cancel()

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(fetch, peer, table.address)
            while True:
                await anyio.sleep(HEDGE_PAUSE_MS / 1_000)
                for name, other in self._tables.items():
                    if other.address in asked or not other.names(value_hash):
                        continue
                    asked.add(other.address)
                    running.add(other.address)
                    task_group.start_soon(fetch, name, other.address)
        return found[0] if found else None

    async def _fetch_value(self, address: str, value_hash: bytes) -> bytes:
        large_values = self._target.large_values
        answer = tables.decode_answer(
            await self._fetch(
                address,
                tables.encode_request(
                    value_hash, large_values.current_hashes()
                ),
            )
        )
        if answer is None:
            raise FetchError("the peer has another version by now")
        base_hash, difference = answer
        base = large_values.find(base_hash) if base_hash else b""
        if base is None:
            raise FetchError("the base was dropped meanwhile")
        value = await pacing.run(
            differences.decode(base, difference, self._target.max_value_bytes)
        )
        if await pacing.run(differences.hash_steps(value)) != value_hash:
            raise FetchError("the value has another hash")
        await large_values.add((value,))
        return value


def _log_failure(peer: str, code: str, reason: str) -> None:
    logs.write(
        "configuration_not_fetched",
        "info",
        {
            "peer": peer,
            "code": code,
            "reason": reason[:MAX_LOGGED_ERROR_CHARS],
        },
    )
