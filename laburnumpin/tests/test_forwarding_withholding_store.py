"""Tests of what is withheld across the start of all entries."""

from __future__ import annotations

from typing import Any
from typing import cast

import anyio
import pytest

from laburnumpin import clock
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import pool
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import withholding_store
from laburnumpin.server import tasks
from laburnumpin.tests import forwarding_builders as build

TIMEOUT_S = 10.0


class _Store:
    """Keeps one row."""

    def __init__(self, value: bytes | None = None) -> None:
        self.value = value
        self.era = 0
        self.written = anyio.Event()

    async def read(self, table: interfaces.Table) -> interfaces.Rows:
        assert table is interfaces.Table.WITHHOLDING
        row = interfaces.Row(withholding_store.ROW_KEY, self.value, 1)
        return interfaces.Rows((row,), 1, self.era)

    async def write(
        self, table: interfaces.Table, key: str, value: bytes, expected: Any
    ) -> interfaces.Position:
        self.value = value
        self.written.set()
        return interfaces.Position(self.era, 1)


def _shell() -> shells.Shell:
    boot_clock = clock.BootClock()
    return shells.Shell(
        build.state(),
        cast(interfaces.Wire, None),
        pool.Pool(boot_clock),
        cast(tasks.TaskRunner, None),
        boot_clock,
        cast(interfaces.EngineClient, None),
    )


def _withholding(shell: shells.Shell, store: _Store) -> Any:
    return withholding_store.WithholdingStore(
        shell, cast(interfaces.StoreClient, store)
    )


def test_what_is_withheld_survives_the_start_of_all_entries() -> None:
    store = _Store()

    async def main() -> None:
        holder = _shell()
        holder.state.lease_token = 1
        losses = holder.state.part_losses
        now_ms = holder.now_ms()
        for number in range(3):
            at_ms = now_ms - 1_000 * (3 - number)
            losses.record_loss(number, (1, 0xBAD), at_ms)
        losses.record_answer((1,), now_ms, is_complete=True)
        assert losses.withheld()
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(_withholding(holder, store).run)
                await store.written.wait()
                task_group.cancel_scope.cancel()
        started = _shell()
        await _withholding(started, store).load()
        assert [
            withheld.part_ids
            for withheld in started.state.part_losses.withheld()
        ] == [frozenset({0xBAD})]

    anyio.run(main)


# The restored store has lost the row, or has one of parts released since.
def test_row_is_written_again_after_a_restore_of_the_store() -> None:
    store = _Store()

    async def main() -> None:
        holder = _shell()
        holder.state.lease_token = 1
        store.era = 1
        withheld_parts = _withholding(holder, store)
        await withheld_parts.load()
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(withheld_parts.run)
                await anyio.sleep(2 * withholding_store.CHECK_PERIOD_S)
                assert not store.written.is_set()
                store.era = 2
                holder.note_store_era(2)
                await store.written.wait()
                task_group.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize(
    "value",
    [b"", b"\xff", b"[]", b"{}", b'{"written_ms": 1, "records": [[1]]}'],
)
def test_malformed_row_is_ignored(value: bytes) -> None:
    async def main() -> None:
        shell = _shell()
        await _withholding(shell, _Store(value)).load()
        assert not shell.state.part_losses.has_records()

    anyio.run(main)


def test_row_that_is_too_old_is_ignored() -> None:
    settings = part_losses.WithholdingSettings()
    age_ms = 2 * settings.max_withhold_ms + 1
    rows = ((0xBAD, True, tuple((n, age_ms, False) for n in range(3))),)
    value = withholding_store._encode(rows, (), withholding_store._wall_ms())

    async def main() -> None:
        shell = _shell()
        await _withholding(shell, _Store(value)).load()
        assert not shell.state.part_losses.has_records()

    anyio.run(main)
