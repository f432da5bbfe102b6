"""Synchronization with the store, and with snapshots and rows of peers."""

from __future__ import annotations

from collections.abc import Generator
from collections.abc import Sequence
import json
from typing import Any
from typing import cast

import anyio
import pytest

from laburnumpin import clock
from laburnumpin import exceptions
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import freshness
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import pool
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import synchronization
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.configurations import decoded
from laburnumpin.server import tasks
from laburnumpin.tests import forwarding_builders as build

UPSTREAMS = interfaces.Table.UPSTREAMS


class _Documents:
    """Decodes registrations that are a service's name; has no configuration."""

    def decode_deployment(
        self, rows: interfaces.Rows
    ) -> deployment.Deployment | None:
        return None

    def deployment_steps(
        self,
        rows: Sequence[interfaces.Row],
        known: Sequence[decoded.Configuration],
    ) -> Generator[None, None, decoded.Configuration | None]:
        yield from ()
        return None

    def is_configuration(self, key: str) -> bool:
        return True

    def decode_registration(
        self, row: interfaces.Row
    ) -> upstreams.Registration | None:
        if row.value is None:
            return None
        service = json.loads(row.value)
        return build.registration(row.key, service=service)


class _NoTasks:
    """Starts nothing: connections to upstreams are not part of the test."""

    def start(self, *arguments: object) -> None:
        return


class _Store:
    """A store with scripted answers."""

    def __init__(self) -> None:
        self.listed = interfaces.Rows((), 1)
        self.changed: list[interfaces.Rows | exceptions.LaburnumpinError] = []
        self.failing_entry_reads = 0
        self.read_tables: list[interfaces.Table] = []
        # The waits of the calls for changes.
        self.waits_ms: list[int] = []

    async def read(self, table: interfaces.Table) -> interfaces.Rows:
        self.read_tables.append(table)
        if table is interfaces.Table.ENTRIES:
            if self.failing_entry_reads:
                self.failing_entry_reads -= 1
                raise exceptions.PlatformUnavailableError("no entries")
            return interfaces.Rows((), 1)
        return self.listed

    async def changes(
        self, table: interfaces.Table, after: int, wait_ms: int
    ) -> interfaces.Rows:
        self.waits_ms.append(wait_ms)
        if not self.changed:
            await anyio.sleep_forever()
        answer = self.changed.pop(0)
        if isinstance(answer, exceptions.LaburnumpinError):
            raise answer
        return answer

    async def write(
        self, table: interfaces.Table, key: str, value: bytes, expected: Any
    ) -> interfaces.Position:
        return interfaces.Position(0, 1)

    async def remove(
        self, table: interfaces.Table, keys: tuple[str, ...]
    ) -> None:
        return


def _row(key: str, version: int, *, removed: bool = False) -> interfaces.Row:
    value = None if removed else json.dumps(build.ENGINES).encode()
    return interfaces.Row(key, value, version)


async def _synchronize(
    store: _Store,
    kind: type[synchronization.Synchronizer] = synchronization.Synchronizer,
) -> synchronization.Synchronizer:
    """Return a synchronizer that has read all scripted answers."""
    async with anyio.create_task_group() as task_group:
        boot_clock = clock.BootClock()
        shell = shells.Shell(
            build.state(),
            cast(interfaces.Wire, None),
            pool.Pool(boot_clock),
            cast(tasks.TaskRunner, _NoTasks()),
            boot_clock,
            cast(interfaces.EngineClient, None),
        )
        synchronizer = kind(shell, store, _Documents())
        task_group.start_soon(synchronizer.watch_table, UPSTREAMS)
        task_group.start_soon(
            synchronizer.register_and_poll_entries, build.contact("entry-1")
        )
        with anyio.move_on_after(0.4):
            await anyio.sleep_forever()
        task_group.cancel_scope.cancel()
    return synchronizer


def _upstreams_version(synchronizer: synchronization.Synchronizer) -> int:
    return int(synchronizer.snapshot()["upstreams_version"])


def _upstream_keys(synchronizer: synchronization.Synchronizer) -> set[str]:
    return {row[0] for row in synchronizer.snapshot()["upstreams"]}


def test_snapshot_is_fetched_once() -> None:
    # An entry that started after a removal did not see it in the store's list,
    # so it never reached the version of its peers and fetched their snapshot
    # three times a second. Found in an incident of Luvas.
    store = _Store()
    store.listed = interfaces.Rows((_row("u1", 5),), 20)
    synchronizer = anyio.run(_synchronize, store)
    assert _upstreams_version(synchronizer) == 5
    peer = {
        "operator": [],
        "upstreams": synchronization.encode_rows((_row("u1", 5),)),
        "operator_version": 0,
        "upstreams_version": 9,
    }
    synchronizer.apply_snapshot(peer)
    assert _upstreams_version(synchronizer) == 9


def test_removal_in_a_snapshot_applies_at_once_without_an_outage() -> None:
    store = _Store()
    store.listed = interfaces.Rows((_row("u1", 5), _row("u2", 6)), 20)
    synchronizer = anyio.run(_synchronize, store)
    synchronizer.apply_snapshot(
        {
            "operator": [],
            "upstreams": synchronization.encode_rows((_row("u1", 5),)),
            "operator_version": 0,
            "upstreams_version": 9,
        }
    )
    assert _upstream_keys(synchronizer) == {"u1"}
    shell = synchronizer._shell
    assert [
        u.registration.upstream_id
        for u in shell.state.upstreams.usable(build.ENGINES, shell.now_ms())
    ] == ["u1"]


def test_late_change_does_not_undo_a_removal() -> None:
    store = _Store()
    store.listed = interfaces.Rows((_row("u1", 5),), 20)
    synchronizer = anyio.run(_synchronize, store)
    removed_rows = interfaces.Rows((_row("u1", 9, removed=True),), 9)
    synchronizer.apply_changes(UPSTREAMS, removed_rows)
    synchronizer.apply_changes(UPSTREAMS, interfaces.Rows((_row("u1", 7),), 9))
    assert not _upstream_keys(synchronizer)


def test_lost_history_leads_to_a_full_list() -> None:
    store = _Store()
    store.listed = interfaces.Rows((_row("u1", 5),), 20)
    store.changed = [interfaces.HistoryLostError("gone")]
    synchronizer = anyio.run(_synchronize, store)
    assert _upstream_keys(synchronizer) == {"u1"}
    # The operator's table was not read.
    assert synchronizer.is_in_sync() is False


def test_changes_are_applied_after_an_outage() -> None:
    store = _Store()
    store.listed = interfaces.Rows((_row("u1", 5),), 20)
    store.changed = [
        exceptions.PlatformUnavailableError("busy"),
        interfaces.Rows((_row("u2", 21),), 21),
    ]
    synchronizer = anyio.run(_synchronize, store)
    assert _upstream_keys(synchronizer) == {"u1", "u2"}


def test_list_of_entries_is_read_before_the_tables() -> None:
    # Found by the soak (14 entries): all entries were started again while the
    # store failed at times. They read the configuration but not the list of
    # entries, and each admitted the whole of a customer's quota.
    store = _Store()
    store.failing_entry_reads = 2
    anyio.run(_synchronize, store)
    entries = interfaces.Table.ENTRIES
    assert store.read_tables == [entries, entries, entries, UPSTREAMS]


def test_pause_of_a_failing_entry_is_bounded_in_a_large_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(membership.Members, "count", lambda _: 61)
    boot_clock = clock.BootClock()
    state = build.state()
    shell = shells.Shell(
        state,
        cast(interfaces.Wire, None),
        pool.Pool(boot_clock),
        cast(tasks.TaskRunner, _NoTasks()),
        boot_clock,
        cast(interfaces.EngineClient, None),
    )
    synchronizer = synchronization.Synchronizer(shell, _Store(), _Documents())
    max_ms = freshness.CallTimes().max_retry_pause_ms(61)
    assert max_ms == freshness.CallTimes().changes_wait_ms
    pauses_s = [
        synchronizer._retry_pause_s(synchronization.MAX_RETRY_PAUSE_MS)
        for _ in range(200)
    ]
    assert max(pauses_s) <= max_ms / 1_000
    assert min(pauses_s) >= max_ms / 2_000  # Spread, so that few call at once.


# After a silence of the store the next call came after a pause, and waited for
# changes as long as the one before.
def test_call_after_a_silence_follows_at_once_without_a_wait() -> None:
    store = _Store()
    store.listed = interfaces.Rows((_row("u1", 5),), 5)
    lost = exceptions.PlatformAnswerLostError("silent")
    store.changed = [lost, lost, interfaces.Rows((_row("u2", 6),), 6)]
    pauses_s: list[float] = []

    class Synchronizer(synchronization.Synchronizer):
        def _retry_pause_s(self, pause_ms: int) -> float:
            pauses_s.append(pause_ms / 1_000)
            return 0.0

    synchronizer = anyio.run(_synchronize, store, Synchronizer)
    assert _upstream_keys(synchronizer) == {"u1", "u2"}
    whole_ms = freshness.CallTimes().changes_wait_ms
    assert store.waits_ms == [whole_ms, 0, 0, whole_ms]
    assert len(pauses_s) == 1  # Only before the third call.
