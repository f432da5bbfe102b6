"""Following the store, and peers that know more."""

from __future__ import annotations

import json
from typing import Any
from typing import cast

import anyio

from laburnumpin import clock
from laburnumpin import exceptions
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import pool
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import synchronization
from laburnumpin.forwarding import upstreams
from laburnumpin.server import tasks
from laburnumpin.tests import forwarding_builders as build

UPSTREAMS = interfaces.Table.UPSTREAMS


class _Documents:
    """Registrations are JSON with a service; configurations have none."""

    def decode_deployment(
        self, rows: interfaces.Rows
    ) -> deployment.Deployment | None:
        return None

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
    """A store whose answers are given beforehand."""

    def __init__(self) -> None:
        self.listed = interfaces.Rows((), 1)
        self.changed: list[interfaces.Rows | exceptions.LaburnumpinError] = []

    async def read(self, table: interfaces.Table) -> interfaces.Rows:
        return self.listed

    async def changes(
        self, table: interfaces.Table, after: int, wait_ms: int
    ) -> interfaces.Rows:
        if not self.changed:
            await anyio.sleep_forever()
        answer = self.changed.pop(0)
        if isinstance(answer, exceptions.LaburnumpinError):
            raise answer
        return answer

    async def write(
        self, table: interfaces.Table, key: str, value: bytes, expected: Any
    ) -> int:
        return 1

    async def remove(
        self, table: interfaces.Table, keys: tuple[str, ...]
    ) -> None:
        return


def _row(key: str, version: int, *, removed: bool = False) -> interfaces.Row:
    value = None if removed else json.dumps(build.ENGINES).encode()
    return interfaces.Row(key, value, version)


async def _followed(store: _Store) -> synchronization.Synchronizer:
    """Return a synchronizer that has read all that the store answers."""
    async with anyio.create_task_group() as task_group:
        own_clock = clock.BootClock()
        shell = shells.Shell(
            build.state(),
            cast(interfaces.Wire, None),
            pool.Pool(own_clock, task_group),
            cast(tasks.TaskRunner, _NoTasks()),
            own_clock,
            cast(interfaces.EngineClient, None),
        )
        follower = synchronization.Synchronizer(shell, store, _Documents())
        task_group.start_soon(follower.follow, UPSTREAMS)
        with anyio.move_on_after(0.4):
            await anyio.sleep_forever()
        task_group.cancel_scope.cancel()
    return follower


def _version(follower: synchronization.Synchronizer) -> int:
    return int(follower.snapshot()["upstreams_version"])


def _names(follower: synchronization.Synchronizer) -> set[str]:
    return {row[0] for row in follower.snapshot()["upstreams"]}


def test_snapshot_is_fetched_once() -> None:
    # Found on an incident of Luvas: an entry that started after a removal
    # never reached the version of its peers, and fetched their state three
    # times a second.
    store = _Store()
    store.listed = interfaces.Rows((_row("u1", 5),), 20)
    follower = anyio.run(_followed, store)
    assert _version(follower) == 5
    peer = {
        "operator": [],
        "upstreams": synchronization.dump((_row("u1", 5),)),
        "operator_version": 0,
        "upstreams_version": 9,
    }
    follower.adopt(peer)
    assert _version(follower) == 9


def test_removal_by_a_peer_counts_at_once_in_calm_times() -> None:
    store = _Store()
    store.listed = interfaces.Rows((_row("u1", 5), _row("u2", 6)), 20)
    follower = anyio.run(_followed, store)
    follower.adopt(
        {
            "operator": [],
            "upstreams": synchronization.dump((_row("u1", 5),)),
            "operator_version": 0,
            "upstreams_version": 9,
        }
    )
    assert _names(follower) == {"u1"}
    shell = follower._shell
    assert [
        u.registration.upstream_id
        for u in shell.state.upstreams.usable(build.ENGINES, shell.now_ms())
    ] == ["u1"]


def test_late_change_does_not_undo_a_removal() -> None:
    store = _Store()
    store.listed = interfaces.Rows((_row("u1", 5),), 20)
    follower = anyio.run(_followed, store)
    removal = interfaces.Rows((_row("u1", 9, removed=True),), 9)
    follower.adopt_changes(UPSTREAMS, removal)
    follower.adopt_changes(UPSTREAMS, interfaces.Rows((_row("u1", 7),), 9))
    assert not _names(follower)


def test_lost_history_is_followed_by_a_whole_list() -> None:
    store = _Store()
    store.listed = interfaces.Rows((_row("u1", 5),), 20)
    store.changed = [interfaces.HistoryLostError("gone")]
    follower = anyio.run(_followed, store)
    assert _names(follower) == {"u1"}
    assert follower.in_step() is False  # The other table was not followed.


def test_outage_is_told_and_ended() -> None:
    store = _Store()
    store.listed = interfaces.Rows((_row("u1", 5),), 20)
    store.changed = [
        exceptions.PlatformUnavailableError("busy"),
        interfaces.Rows((_row("u2", 21),), 21),
    ]
    follower = anyio.run(_followed, store)
    assert _names(follower) == {"u1", "u2"}
