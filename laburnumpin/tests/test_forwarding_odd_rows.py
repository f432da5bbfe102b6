"""Rows of the store that no sound writer has written."""

from __future__ import annotations

import anyio
import pytest

from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import synchronization
from laburnumpin.forwarding import upstreams
from laburnumpin.platform import documents
from laburnumpin.platform import standins
from laburnumpin.server import tasks
from laburnumpin.tests import test_forwarding_store_era as store_era

ODD = standins.ODD_REGISTRATIONS


# Other operators: one odd entry among those of the runners ended the task that
# follows the list, and the entry went on with what it knew.
@pytest.mark.parametrize("value", ODD)
@pytest.mark.parametrize("is_first", [True, False])
def test_odd_registration_does_not_end_the_reader_of_the_list(
    value: bytes, is_first: bool
) -> None:
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        if is_first:
            store.put_odd_registration("odd", value)
        entry = await store_era.start_entry(store, address, task_group)
        store.put_odd_registration("odd", value)
        store.put_registration("u2", 1)
        await store_era.until(lambda: entry.lifecycle("u2") == "ready")
        assert entry.lifecycle("odd") == "gone"
        assert entry.state.counters.total("registrations_malformed")

    store_era.run_with_store(check)


def test_registration_that_an_odd_one_replaces_is_gone() -> None:
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        entry = await store_era.start_entry(store, address, task_group)
        store.put_odd_registration("u1", ODD[0])
        await store_era.until(lambda: entry.lifecycle("u1") == "gone")
        store.put_registration("u1", 2)
        await store_era.until(lambda: entry.lifecycle("u1") == "ready")

    store_era.run_with_store(check)


class _FailingDocuments(documents.PlatformDocuments):
    """Raises an error that nobody expects, for some rows."""

    __slots__ = ("failures",)

    def __init__(self) -> None:
        self.failures = 3

    def decode_registration(
        self, row: interfaces.Row
    ) -> upstreams.Registration | None:
        if row.key == "odd" and self.failures:
            self.failures -= 1
            raise ZeroDivisionError
        return super().decode_registration(row)


# CONFIG on Rigsafe: an exception ended the task that follows a table for good.
def test_table_is_followed_again_after_an_unexpected_error() -> None:
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        store.configure(4, "old")
        store.put_registration("u1", 1)
        entry = store_era.Entry("e1", address)
        entry.synchronizer = synchronization.Synchronizer(
            entry.shell, entry.store, _FailingDocuments()
        )
        entry.start(task_group)
        await store_era.until(lambda: entry.lifecycle("u1") == "ready")
        store.put_odd_registration("odd", b"{}")
        await store_era.until(
            lambda: entry.state.counters.total("store_lost") > 0
        )
        assert not entry.synchronizer.is_in_sync()
        store.put_registration("u2", 1)
        await store_era.until(lambda: entry.lifecycle("u2") == "ready")
        assert entry.synchronizer.is_in_sync()

    store_era.run_with_store(check)


def test_loop_that_fails_is_started_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(tasks, "RESTART_PAUSE_S", 0.0)
    runs = []
    is_done = anyio.Event()

    async def fail_twice() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise ZeroDivisionError
        is_done.set()
        await anyio.sleep_forever()

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            runner = tasks.TaskRunner(task_group)
            runner.keep_running(fail_twice)
            with anyio.fail_after(store_era.TIMEOUT_S):
                await is_done.wait()
            task_group.cancel_scope.cancel()

    anyio.run(main)
    assert len(runs) == 3
