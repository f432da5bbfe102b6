"""A store that comes back from an older copy, over its HTTP API."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import random
from typing import Any
from typing import cast

import anyio
import pytest

from laburnumpin import clock
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import frames
from laburnumpin.forwarding import gossip
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import pool
from laburnumpin.forwarding import relay
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import synchronization
from laburnumpin.forwarding import upstreams
from laburnumpin.platform import clients
from laburnumpin.platform import documents
from laburnumpin.platform import standins
from laburnumpin.server import tasks
from laburnumpin.tests import forwarding_builders as build

# Only a fault makes a wait take this long.
TIMEOUT_S = 10.0

UPSTREAMS = interfaces.Table.UPSTREAMS


class _ManualClock:
    """A boot clock that tests can move forward."""

    def __init__(self) -> None:
        self.offset_ms = 0

    def now_ms(self) -> int:
        return clock.BootClock().now_ms() + self.offset_ms


class _NoTasks:
    def start(self, *arguments: object) -> None:
        return


class Entry:
    """An entry that is kept in sync with a store, or by peers alone."""

    def __init__(self, name: str, store_address: str) -> None:
        self.clock = _ManualClock()
        contact = build.contact(name, f"10.0.0.9:{len(name)}")
        self.contact: membership.Contact = contact
        self.state = forwarding_state.ForwardingState(
            contact, 1, build.RETRY_LIMIT, 5_000, random.Random(1)
        )
        self.shell = shells.Shell(
            self.state,
            cast(interfaces.Wire, None),
            pool.Pool(self.clock),
            cast(tasks.TaskRunner, _NoTasks()),
            self.clock,
            cast(interfaces.EngineClient, None),
        )
        self.store = clients.PlatformStore(clients.HttpClient(store_address))
        self.synchronizer = synchronization.Synchronizer(
            self.shell, self.store, documents.PlatformDocuments()
        )

    def start(self, task_group: anyio.abc.TaskGroup) -> None:
        """Follow the store."""
        for table in (interfaces.Table.OPERATOR, UPSTREAMS):
            task_group.start_soon(self.synchronizer.watch_table, table)
        task_group.start_soon(
            self.synchronizer.register_and_poll_entries, self.contact
        )
        task_group.start_soon(self._tick)

    async def _tick(self) -> None:
        while True:
            self.synchronizer.on_tick()
            await anyio.sleep(0.02)

    def configuration(self) -> int:
        """Return the configuration in force, 0 if none."""
        current = self.state.deployment
        return 0 if current is None else current.version

    def lifecycle(self, upstream_id: str) -> str:
        """Return how an upstream is registered, `missing` or `gone`."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is None:
            return "gone"
        if upstream.missing_since_ms is not None:
            return "missing"
        return upstream.registration.lifecycle.value


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    with anyio.fail_after(TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.01)


async def start_entry(
    store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
) -> Entry:
    """Start an entry with a configuration and the ready upstream `u1`."""
    store.configure(4, "old")
    store.put_registration("u1", 1)
    entry = Entry("e1", address)
    entry.start(task_group)
    await until(lambda: entry.lifecycle("u1") == "ready")
    return entry


def run_with_store(
    check: Callable[
        [standins.Store, str, anyio.abc.TaskGroup], Awaitable[None]
    ],
) -> None:
    """Run a check beside a store."""

    async def main() -> None:
        store = standins.Store(random.Random(1))
        async with anyio.create_task_group() as task_group:
            address = await task_group.start(standins.serve, store.handle)
            await check(store, address, task_group)
            task_group.cancel_scope.cancel()

    anyio.run(main)


# Incident CONFIG: rows of the restored store were compared by version with rows
# that it had lost, so that a new configuration was ignored.
def test_changes_after_a_restore_apply_at_lower_versions() -> None:
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        entry = await start_entry(store, address, task_group)
        copy = store.copy()
        for version in range(5, 25):
            store.configure(version, "lost")
        store.put_registration("u2", 1)
        await until(lambda: entry.configuration() == 24)
        await until(lambda: entry.lifecycle("u2") == "ready")
        store.restore(copy)
        store.configure(24, "lost")
        store.configure(30, "new")
        store.put_registration("u1", 7, leaving=True)
        store.put_registration("u2", 8)
        await until(lambda: entry.configuration() == 30)
        await until(lambda: entry.lifecycle("u1") == "leaving")
        await until(lambda: entry.lifecycle("u2") == "ready")
        assert entry.state.store_era == 2
        assert entry.state.counters.total("store_restored") == 1

    run_with_store(check)


# After the versions have passed it, the cursor of an entry is valid again, but
# the changes before it were never read.
def test_cursor_of_a_lost_history_is_not_used_again() -> None:
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        store.configure(4, "old")
        entry = Entry("e1", address)
        entry.start(task_group)
        await until(lambda: entry.state.registry_read)
        copy = store.copy()
        store.put_registration("u1", 1)
        await until(lambda: entry.lifecycle("u1") == "ready")
        store.mode = "busy"
        store.restore(copy)
        for number in range(2, 9):
            store.put_registration(f"u{number}", 1)
        store.mode = "ok"
        for number in range(2, 9):
            await until(lambda n=number: entry.lifecycle(f"u{n}") == "ready")  # type: ignore[misc]

    run_with_store(check)


def test_older_configuration_of_a_restored_store_does_not_replace_a_newer() -> (
    None
):
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        store.configure(4, "old")
        entry = Entry("e1", address)
        entry.start(task_group)
        copy = store.copy()
        store.configure(9, "lost")
        await until(lambda: entry.configuration() == 9)
        store.restore(copy)
        counters = entry.state.counters
        await until(lambda: counters.total("configurations_kept") > 0)
        assert entry.configuration() == 9
        # An entry that starts now finds the older one in the store, and the
        # newer one in the snapshot of its peer.
        late = Entry("late", address)
        late.start(task_group)
        await until(lambda: late.configuration() == 4)
        older_snapshot = late.synchronizer.snapshot()
        late.synchronizer.apply_snapshot(entry.synchronizer.snapshot())
        assert late.configuration() == 9
        # The older one of a peer changes nothing.
        entry.synchronizer.apply_snapshot(
            {**older_snapshot, "operator_version": 1_000}
        )
        assert entry.configuration() == 9
        store.configure(9, "lost")
        store.configure(12, "new")
        await until(lambda: entry.configuration() == 12)
        await until(lambda: late.configuration() == 12)

    run_with_store(check)


# CONFIG on Rigsafe: a configuration of a peer in an earlier era brought the row
# version of that era along, so that later changes were ignored.
def test_configuration_of_a_peer_in_an_earlier_era_hides_no_later_one() -> None:
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        store.configure(4, "old")
        peer = Entry("peer", address)
        peer.start(task_group)
        copy = store.copy()
        for version in range(5, 25):
            store.configure(version, "lost")
        await until(lambda: peer.configuration() == 24)
        # The peer loses the store, and stays in its era.
        snapshot_of_peer = peer.synchronizer.snapshot()
        store.restore(copy)
        late = Entry("late", address)
        late.start(task_group)
        await until(lambda: late.configuration() == 4)
        late.synchronizer.apply_snapshot(snapshot_of_peer)
        assert late.configuration() == 24
        store.configure(24, "lost")
        store.configure(30, "new")
        await until(lambda: late.configuration() == 30)

    run_with_store(check)


def test_lost_version_that_is_written_again_with_other_contents_applies() -> (
    None
):
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        store.configure(4, "old")
        entry = Entry("e1", address)
        entry.start(task_group)
        copy = store.copy()
        store.configure(9, "first")
        await until(lambda: entry.configuration() == 9)
        store.restore(copy)
        store.configure(9, "second")

        def has_second() -> bool:
            current = entry.state.deployment
            assert current is not None
            return current.match("h.example", "/second/x") is not None

        await until(has_second)

    run_with_store(check)


# An entry passed the contents of a lost version on to others, as if the store
# had them.
def test_lost_contents_of_a_peer_are_not_passed_on() -> None:
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        store.configure(4, "old")
        peer = Entry("peer", address)
        peer.start(task_group)
        copy = store.copy()
        store.configure(9, "first")
        await until(lambda: peer.configuration() == 9)
        await until(lambda: peer.state.registry_read)
        snapshot_of_peer = peer.synchronizer.snapshot()
        store.restore(copy)
        store.configure(9, "second")
        entry = Entry("entry", address)
        entry.start(task_group)
        await until(lambda: entry.configuration() == 9)
        await until(lambda: entry.state.registry_read)
        before = entry.synchronizer.snapshot()
        entry.synchronizer.apply_snapshot(snapshot_of_peer)
        assert entry.synchronizer.snapshot() == before

    run_with_store(check)


# The snapshot of a peer that had not read a table yet was taken for an empty
# table, so that the entry had no upstreams until its own read.
def test_table_that_a_peer_has_not_read_is_not_adopted() -> None:
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        del store, address, task_group
        peer = Entry("peer", "127.0.0.1:1")
        entry = Entry("entry", "127.0.0.1:1")
        entry.synchronizer.apply_snapshot(peer.synchronizer.snapshot())
        assert not entry.state.registry_read

    run_with_store(check)


# The older copy has an engine that has left: it gets no request again.
@pytest.mark.parametrize(
    ("said_leaving", "removed"), [(True, False), (True, True), (False, True)]
)
def test_engine_that_has_left_does_not_come_back(
    said_leaving: bool, removed: bool
) -> None:
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        store.put_registration("u2", 1)
        entry = await start_entry(store, address, task_group)
        copy = store.copy()
        if said_leaving:
            store.put_registration("u1", 5, leaving=True)
            await until(lambda: entry.lifecycle("u1") == "leaving")
        if removed:
            store.unregister("u1")
            await until(lambda: entry.lifecycle("u1") == "gone")
        store.restore(copy)
        await until(lambda: entry.state.store_era == 2)
        store.configure(5, "new")
        await until(lambda: entry.configuration() == 5)
        await until(lambda: entry.synchronizer.era() == 2)
        usable = entry.state.upstreams.usable("engines", entry.clock.now_ms())
        assert [u.registration.upstream_id for u in usable] == ["u2"]
        if not removed:
            return
        # Its row is used if it stays, which only a live one's does, but an
        # engine that has said that it leaves is not ready again.
        entry.clock.offset_ms += synchronization.DEFAULT_HOLD_MS
        expected = "leaving" if said_leaving else "ready"
        await until(lambda: entry.lifecycle("u1") == expected)

    run_with_store(check)


def test_engine_that_the_store_has_lost_is_kept_until_it_registers_again() -> (
    None
):
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        store.configure(4, "old")
        entry = Entry("e1", address)
        entry.start(task_group)
        copy = store.copy()
        store.put_registration("u1", 1)
        await until(lambda: entry.lifecycle("u1") == "ready")
        store.restore(copy)
        await until(lambda: entry.lifecycle("u1") == "missing")
        assert entry.state.upstreams.usable("engines", entry.clock.now_ms())
        store.put_registration("u1", 4)
        await until(lambda: entry.lifecycle("u1") == "ready")

    run_with_store(check)


def test_entry_writes_its_lost_row_again() -> None:
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        store.configure(4, "old")
        copy = store.copy()
        entry = Entry("e1", address)
        entry.start(task_group)
        await until(lambda: entry.state.registry_read)

        async def has_row() -> bool:
            rows = await entry.store.read(interfaces.Table.ENTRIES)
            return any(row.key == "e1" for row in rows.rows)

        assert await has_row()
        store.restore(copy)
        with anyio.fail_after(TIMEOUT_S):
            while not await has_row():
                await anyio.sleep(0.01)

    run_with_store(check)


def _digest(peer: Entry, **changes: Any) -> Any:
    digest = gossip._build_digest(peer.state, 0, 0, ())
    for name, value in changes.items():
        object.__setattr__(digest, name, value)
    return digest


def test_peers_without_the_store_learn_of_a_restore_by_digests() -> None:
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        store.configure(4, "old")
        store.put_registration("u1", 1)
        reader = Entry("reader", address)
        reader.start(task_group)
        await until(lambda: reader.lifecycle("u1") == "ready")
        copy = store.copy()
        for number in range(2, 9):
            store.put_registration(f"u{number}", 1)
        await until(lambda: reader.lifecycle("u8") == "ready")
        cut_off = Entry("cut-off", "127.0.0.1:1")
        cut_off.synchronizer.apply_snapshot(reader.synchronizer.snapshot())
        assert cut_off.lifecycle("u8") == "ready"
        store.restore(copy)
        store.put_registration("u1", 3, leaving=True)
        await until(lambda: reader.lifecycle("u1") == "leaving")
        fetches = gossip.on_digest(
            cut_off.state, events.DigestReceived(1_000, _digest(reader))
        )
        assert any(isinstance(f, effects.FetchFromPeer) for f in fetches)
        cut_off.synchronizer.apply_snapshot(reader.synchronizer.snapshot())
        assert cut_off.lifecycle("u1") == "leaving"
        # A digest and a snapshot of the release before, from before the
        # restore, lead to nothing.
        old = _digest(reader, store_era=0, registry_version=1_000)
        fetches = gossip.on_digest(
            cut_off.state, events.DigestReceived(2_000, old)
        )
        assert not any(isinstance(f, effects.FetchFromPeer) for f in fetches)
        rows = (interfaces.Row("u1", None, 1_000),)
        cut_off.synchronizer.apply_snapshot(
            {
                "operator": [],
                "upstreams": synchronization.encode_rows(rows),
                "operator_version": 1_000,
                "upstreams_version": 1_000,
            }
        )
        cut_off.synchronizer.apply_peer_changes(
            UPSTREAMS, interfaces.Rows(rows, 1_000)
        )
        assert cut_off.lifecycle("u1") == "leaving"
        assert cut_off.state.counters.total("rows_of_lost_era")

    run_with_store(check)


def test_rows_of_the_release_before_apply_without_a_restore() -> None:
    entry = Entry("e1", "127.0.0.1:1")
    runner = standins.Runner("u1", "engines", [], lambda: 0, random.Random(1))
    document = runner.registration("10.0.0.1:80", "ready")
    row = interfaces.Row("u1", json.dumps(document).encode(), 5)
    entry.synchronizer.apply_peer_changes(UPSTREAMS, interfaces.Rows((row,), 5))
    assert entry.lifecycle("u1") == "ready"


def test_older_registration_does_not_replace_a_newer() -> None:
    table = upstreams.UpstreamTable()
    table.update(build.registration(revision=5, slots=8), 0)
    table.update(build.registration(revision=4, slots=2), 0)
    current = table.get("u1")
    assert current is not None
    assert current.registration.slots == 8


# An answer that the store sent before the restore may arrive after the tables
# of the new era, which a peer has delivered.
def test_delayed_changes_of_a_lost_history_are_ignored() -> None:
    entry = Entry("e1", "127.0.0.1:1")
    rows = (interfaces.Row("u1", None, 71),)
    entry.synchronizer.apply_snapshot(
        {
            "operator": [],
            "upstreams": [],
            "operator_version": 1,
            "upstreams_version": 58,
            "operator_era": 2,
            "upstreams_era": 2,
        }
    )
    entry.synchronizer.apply_changes(UPSTREAMS, interfaces.Rows(rows, 71, 1))
    assert entry.synchronizer.snapshot()["upstreams_version"] == 58
    entry.synchronizer.apply_changes(UPSTREAMS, interfaces.Rows(rows, 71, 2))
    assert entry.synchronizer.snapshot()["upstreams_version"] == 71


class _StaleStore:
    """A client whose next read of a table may return older rows."""

    def __init__(self, store: clients.PlatformStore) -> None:
        self._store = store
        self.stale: dict[interfaces.Table, interfaces.Rows] = {}

    async def read(self, table: interfaces.Table) -> interfaces.Rows:
        rows = self.stale.pop(table, None)
        return rows or await self._store.read(table)

    async def changes(
        self, table: interfaces.Table, after: int, wait_ms: int
    ) -> interfaces.Rows:
        return await self._store.changes(table, after, wait_ms)

    async def write(
        self,
        table: interfaces.Table,
        key: str,
        value: bytes,
        expected_version: int | None,
    ) -> interfaces.Position:
        return await self._store.write(table, key, value, expected_version)

    async def remove(
        self, table: interfaces.Table, keys: tuple[str, ...]
    ) -> None:
        await self._store.remove(table, keys)


# An answer from before the restore that names the new era left a version that
# the store had not reached; the table that was read after the 410 was ignored.
def test_table_read_after_a_lost_history_replaces_an_unreachable_version() -> (
    None
):
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        store.configure(4, "old")
        store.put_registration("u1", 1)
        entry = Entry("entry", address)
        stale_store = _StaleStore(entry.store)
        entry.synchronizer = synchronization.Synchronizer(
            entry.shell, stale_store, documents.PlatformDocuments()
        )
        copy = store.copy()
        for version in range(5, 25):
            store.configure(version, "lost")
        entry.start(task_group)
        await until(lambda: entry.configuration() == 24)
        for table in (interfaces.Table.OPERATOR, UPSTREAMS):
            rows = await entry.store.read(table)
            stale_store.stale[table] = dataclasses.replace(rows, era=2)
        store.restore(copy)
        await until(lambda: not stale_store.stale)
        await until(lambda: entry.state.store_era == 2)
        store.configure(24, "lost")
        store.configure(30, "new")
        store.put_registration("u1", 7, leaving=True)
        await until(lambda: entry.configuration() == 30)
        await until(lambda: entry.lifecycle("u1") == "leaving")

    run_with_store(check)


def test_stale_table_after_a_lost_history_brings_no_removed_upstream_back() -> (
    None
):
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        entry = await start_entry(store, address, task_group)
        stale = await entry.store.read(UPSTREAMS)
        store.unregister("u1")
        store.put_registration("u2", 1)
        await until(lambda: entry.lifecycle("u2") == "ready")
        assert entry.lifecycle("u1") == "gone"
        entry.synchronizer._apply_all_rows(
            UPSTREAMS, stale, False, has_lost_history=True
        )
        assert entry.lifecycle("u1") == "gone"
        assert entry.lifecycle("u2") == "missing"

    run_with_store(check)


# After a restore, a relay of the release before goes on reporting that it is in
# sync, although it ignores the rows of the new era.
def test_relay_of_an_earlier_era_keeps_nobody_in_sync() -> None:
    async def check() -> None:
        entry = Entry("e1", "127.0.0.1:1")
        links = relay.RelayLinks(
            entry.shell, entry.synchronizer, lambda _: None
        )
        for number in range(membership.MAX_MESH_ENTRIES + 1):
            other = build.contact(f"relay-{number}", link_mbps=100.0)
            entry.state.members.add_entry(other, entry.clock.now_ms())
        link = relay._Link(
            "relay-0",
            relay.PeerRole.OWN_RELAY,
            cast(frames.FrameStream, None),
            has_opened=True,
        )
        link.in_sync = True
        links._links["relay-0"] = link
        entry.shell.note_store_era(1)
        assert links.is_synced_by_relay()
        entry.shell.note_store_era(2)
        assert links.is_synced_by_relay()  # Its rows may be on the way.
        entry.clock.offset_ms += synchronization.RELAY_ERA_GRACE_MS
        assert not links.is_synced_by_relay()
        link.era = 2
        assert links.is_synced_by_relay()

    anyio.run(check)
