"""Tests of usage reports and orders by successive holders of the lease."""

from __future__ import annotations

import tomllib
from typing import cast

import anyio
import pytest

from laburnumpin import exceptions
from laburnumpin.forwarding import autoscaling
from laburnumpin.forwarding import duties
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import lease as leases
from laburnumpin.forwarding.usage_reports import commits
from laburnumpin.forwarding.usage_reports import windows
from laburnumpin.platform import settings
from laburnumpin.platform import standins
from laburnumpin.tests import forwarding_builders as build
from laburnumpin.tests import test_forwarding_store_era as store_era

Table = interfaces.Table


class _Store:
    """An in-memory store that checks the expected version of a write."""

    def __init__(self) -> None:
        self._rows: dict[tuple[Table, str], interfaces.Row] = {}
        self._version = 0

    async def read(self, table: Table) -> interfaces.Rows:
        rows = [row for (name, _), row in self._rows.items() if name is table]
        return interfaces.Rows(tuple(rows), self._version)

    async def changes(
        self, table: Table, after: int, wait_ms: int
    ) -> interfaces.Rows:
        raise NotImplementedError

    async def write(
        self, table: Table, key: str, value: bytes, expected_version: int | None
    ) -> interfaces.Position:
        current_row = self._rows.get((table, key))
        version = 0 if current_row is None else current_row.version
        if expected_version is not None and expected_version != version:
            raise interfaces.ConflictError(key)
        self._version += 1
        self._rows[table, key] = interfaces.Row(key, value, self._version)
        return interfaces.Position(0, self._version)

    async def remove(self, table: Table, keys: tuple[str, ...]) -> None:
        for key in keys:
            self._rows.pop((table, key), None)

    def keys(self) -> list[str]:
        """Return the keys of the stored rows."""
        return [key for _, key in self._rows]


WINDOW_MS = 5_000


def test_second_holder_reports_the_counts_of_the_first() -> None:
    store = _Store()

    async def commit() -> None:
        first = await commits.UsageCommits(store).commit(
            7, WINDOW_MS, {"acme": 3}
        )
        second = await commits.UsageCommits(store).commit(
            7, WINDOW_MS, {"acme": 4, "late": 1}
        )
        assert first == second == {"acme": 3}

    anyio.run(commit)


def test_counts_of_old_windows_are_deleted() -> None:
    store = _Store()

    async def commit() -> None:
        usage_commits = commits.UsageCommits(store)
        for window in range(4 * commits.KEPT_USAGE_ROWS + 1):
            await usage_commits.commit(window, WINDOW_MS, {})

    anyio.run(commit)
    assert len(store.keys()) <= 3 * commits.KEPT_USAGE_ROWS


# The store forgot the counts that were reported; the next holder reported the
# window with others (ONE).
def test_window_that_may_have_been_reported_is_not_reported_with_others() -> (
    None
):
    async def commit() -> None:
        store = _Store()
        first = commits.UsageCommits(store)
        await first.note_era(1, 30_000)
        assert await first.commit(7, WINDOW_MS, {"acme": 3}) == {"acme": 3}
        restored = _Store()
        second = commits.UsageCommits(restored)
        await second.note_era(2, 8 * WINDOW_MS + windows.EARLIEST_COMMIT_MS)
        assert await second.commit(7, WINDOW_MS, {"acme": 4}) is None
        assert restored.keys() == []
        # It ended too late to have been committed before the restore.
        assert await second.commit(8, WINDOW_MS, {"acme": 5}) == {"acme": 5}

    anyio.run(commit)


def test_holder_writes_lost_counts_again() -> None:
    async def commit() -> None:
        store = _Store()
        first = commits.UsageCommits(store)
        await first.note_era(1, 30_000)
        await first.commit(7, WINDOW_MS, {"acme": 3})
        await store.remove(Table.USAGE, ("7",))
        await first.note_era(2, 60_000)
        assert await first.commit(7, WINDOW_MS, {"acme": 9}) == {"acme": 3}
        second = commits.UsageCommits(store)
        await second.note_era(2, 60_000)
        assert await second.commit(7, WINDOW_MS, {"acme": 4}) == {"acme": 3}

    anyio.run(commit)


class _Lease:
    """A lease that this entry may use, and that it has lost at each look."""

    fencing_token = 1

    def may_act(self, now_ms: int) -> bool:
        return True

    def holds(self, now_ms: int) -> bool:
        return False


class _Scaler(autoscaling.Autoscaler):
    """Has one order at each time."""

    def due_orders(self, *_: object) -> list[autoscaling.Order]:
        self._services[build.ENGINES] = autoscaling._ServiceScaler()
        return [autoscaling.Order(build.ENGINES, "a", 2, True, 1.0, 2)]


class _Cloud:
    """A cloud during whose call the entry notes that the lease is lost."""

    def __init__(self, error: Exception | None) -> None:
        self.error = error
        self.duties: duties.Duties | None = None
        self.was_called = anyio.Event()

    async def order_upstreams(self, *_: object, **__: object) -> None:
        assert self.duties is not None
        self.duties._was_holder = True
        self.duties._update_holder(0)
        self.was_called.set()
        if self.error is not None:
            raise self.error


# The answer to an order raised KeyError after a change of the lease, which
# ended the ticks of the entry.
@pytest.mark.parametrize(
    "error",
    [
        None,
        interfaces.OrderRefusedError("none left"),
        exceptions.PlatformAnswerLostError("silent"),
    ],
)
def test_order_is_answered_after_the_lease_was_lost(
    error: Exception | None,
) -> None:
    async def order() -> None:
        cloud = _Cloud(error)
        entry = store_era.Entry("e1", "127.0.0.1:1")
        text = standins.settings_text(
            "e1", "127.0.0.1", (1, 2, 3, 4), "127.0.0.1:5"
        )
        ordering = duties.Duties(
            entry.shell,
            entry.store,
            cast(interfaces.CloudClient, cloud),
            settings.decode(tomllib.loads(text)),
            lambda: None,
        )
        cloud.duties = ordering
        ordering._lease = cast(leases.Lease, _Lease())
        ordering._scaler = _Scaler()
        ordering._holder_event.set()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(ordering._order_upstreams)
            with anyio.fail_after(20):
                await cloud.was_called.wait()
            await anyio.sleep(0)
            task_group.cancel_scope.cancel()
        assert not ordering._scaler._services

    anyio.run(order)
