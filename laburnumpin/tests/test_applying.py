"""Tests of applying a configuration with faults of the table service."""

from __future__ import annotations

from collections.abc import Sequence
import json
import random

import anyio
import hypothesis
from hypothesis import strategies
import pytest

from laburnumpin import exceptions
from laburnumpin.core import applying
from laburnumpin.core import store
from laburnumpin.core import versions
from laburnumpin.server import applying as server_applying
from laburnumpin.server import platform_client
from laburnumpin.tests import test_config_loading


def document(name: str) -> str:
    """Return a valid configuration document for a deployment name."""
    return json.dumps(test_config_loading.valid() | {"name": name})


class FakeTables:
    """A table service that injects one fault per call, in order.

    The faults are `ok`, `unavailable` (nothing is done), `lost` (committed,
    but the answer is lost) and `late` (the answer is lost and a transaction
    is committed during a later call).
    """

    def __init__(self, faults: Sequence[str] = ()) -> None:
        self.rows: dict[str, tuple[int, str]] = {}
        self.faults = list(faults)
        self.late: list[tuple[Sequence[store.Condition], list[store.Write]]]
        self.late = []
        self.random_source = random.Random(0)

    def _row(self, key: str) -> store.Row:
        version, value = self.rows.get(key, (0, None))
        return store.Row(versions.TABLE, key, version, value)

    def _commit(
        self,
        conditions: Sequence[store.Condition],
        writes: Sequence[store.Write],
    ) -> tuple[store.Row, ...]:
        conflicts = tuple(
            self._row(condition.key)
            for condition in conditions
            if self._row(condition.key).version != condition.version
        )
        if conflicts:
            return conflicts
        for write in writes:
            assert write.value is not None
            version = self._row(write.key).version + 1
            self.rows[write.key] = (version, write.value)
        return ()

    def commit_late_writes(self, chance: float) -> None:
        """Commit delayed transactions whose conditions still hold."""
        for late in list(self.late):
            if self.random_source.random() < chance:
                self.late.remove(late)
                self._commit(*late)

    async def _fault(self) -> str:
        await anyio.sleep(0)
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "unavailable":
            raise exceptions.PlatformUnavailableError("unavailable")
        return fault

    async def transact(
        self,
        conditions: tuple[store.Condition, ...],
        writes: tuple[store.Write, ...],
    ) -> platform_client.Committed | platform_client.Conflicted:
        fault = await self._fault()
        if fault == "late":
            self.late.append((conditions, list(writes)))
            raise exceptions.PlatformAnswerLostError("lost")
        conflicts = self._commit(conditions, writes)
        if fault == "lost":
            raise exceptions.PlatformAnswerLostError("lost")
        self.commit_late_writes(0.5)
        if conflicts:
            return platform_client.Conflicted(conflicts)
        return platform_client.Committed(())

    async def read_rows(
        self, table: str, keys: tuple[str, ...]
    ) -> tuple[store.Row, ...]:
        assert table == versions.TABLE
        if await self._fault() in ("lost", "late"):
            raise exceptions.PlatformAnswerLostError("lost")
        rows = tuple(self._row(key) for key in keys)
        self.commit_late_writes(0.3)
        return rows

    def versions(self) -> list[versions.StoredVersion]:
        """Return all stored versions, after committing all late writes."""
        self.commit_late_writes(1.0)
        prefix = versions.VERSION_PREFIX
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [versions.parse_version(self._row(key)) for key in keys]


async def no_sleep(duration_s: float) -> None:
    """Yield without waiting."""
    await anyio.sleep(0)


def apply(tables: FakeTables, base: int, change: str, name: str) -> int:
    """Apply one change."""

    async def run() -> int:
        return await server_applying.apply(
            tables, base, change, document(name), no_sleep
        )

    return anyio.run(run)


def test_versions_follow_each_other() -> None:
    """Guards against skipped or repeated versions and lost documents."""
    tables = FakeTables()
    assert apply(tables, 0, "a", "first") == 1
    assert apply(tables, 1, "b", "second") == 2
    assert tables.versions() == [
        versions.StoredVersion(1, "a", document("first")),
        versions.StoredVersion(2, "b", document("second")),
    ]
    pointer = versions.parse_pointer(tables._row("current"))
    assert pointer == versions.Pointer(2, "b")


def test_a_conflict_names_both_versions() -> None:
    """Guards against a change that overwrites another operator's."""
    tables = FakeTables()
    apply(tables, 0, "a", "first")
    with pytest.raises(exceptions.ConfigurationConflictError) as caught:
        apply(tables, 0, "b", "second")
    assert caught.value.base_version == 0
    assert caught.value.current_version == 1


def test_a_transaction_conditions_each_row_that_it_writes() -> None:
    """Guards against overwriting a row without a condition on its version.

    A missing condition goes unnoticed while the others detect the conflict.
    """
    row = store.Row(
        versions.TABLE,
        "current",
        7,
        json.dumps({"version": 3, "change_id": "c", "document": "{}"}),
    )
    planned = applying.plan(3, "a", document("first"), [row])
    assert isinstance(planned, applying.Transaction)
    conditions = {item.key: item.version for item in planned.conditions}
    assert conditions == {
        "current": 7,
        "version/000000000004": 0,
        "change/a": 0,
    }
    assert conditions.keys() == {write.key for write in planned.writes}


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_a_lost_answer_is_resolved_by_reading(fault: str) -> None:
    """Guards against a second version created for one change."""
    tables = FakeTables(["ok", fault])
    assert apply(tables, 0, "a", "first") == 1
    assert len(tables.versions()) == 1


def test_a_repetition_returns_the_version_of_the_first_attempt() -> None:
    """Guards against reporting a conflict for a change that was applied."""
    tables = FakeTables()
    apply(tables, 0, "a", "first")
    apply(tables, 1, "b", "second")
    assert apply(tables, 0, "a", "first") == 1
    with pytest.raises(exceptions.ChangeIdReusedError):
        apply(tables, 2, "a", "third")


def test_unavailable_after_a_lost_answer_stays_unknown() -> None:
    """Guards against reporting a committed change as not applied."""
    tables = FakeTables(["ok", "lost"] + ["unavailable"] * 10)
    with pytest.raises(exceptions.PlatformAnswerLostError):
        apply(tables, 0, "a", "first")
    assert len(tables.versions()) == 1
    unavailable = FakeTables(["ok", "unavailable"])
    with pytest.raises(exceptions.PlatformUnavailableError):
        apply(unavailable, 0, "a", "first")


def test_invalid_changes_are_rejected_before_any_call() -> None:
    """Guards against rows with keys or documents that no entry can use."""
    with pytest.raises(exceptions.ConfigurationError) as caught:
        applying.check(-1, "a/b", "{}")
    fields = [error.field for error in caught.value.errors]
    assert fields[:3] == ["base_version", "change_id", "name"]


@pytest.mark.parametrize(
    "value", ["", "[]", "{}", '{"version": true}', "[" * 9]
)
def test_malformed_rows_have_their_own_error(value: str) -> None:
    """Guards against treating a malformed row as absent."""
    for key in applying.keys("a"):
        row = store.Row(versions.TABLE, key, 1, value)
        with pytest.raises(exceptions.StoredRowError):
            applying.plan(0, "a", document("first"), [row])


_FAULTS = strategies.sampled_from(["ok", "ok", "lost", "late", "unavailable"])


@hypothesis.given(
    strategies.lists(_FAULTS, max_size=30), strategies.integers(2, 4)
)
def test_racing_operators_with_faults(
    faults: list[str], operators: int
) -> None:
    """Guards against lost, repeated and wrongly reported changes."""
    tables = FakeTables(faults)
    applied: dict[str, int] = {}
    refused: list[str] = []

    async def operate(name: str) -> None:
        for base in range(3):
            change = f"{name}-{base}"
            try:
                applied[change] = await server_applying.apply(
                    tables, base, change, document(name), no_sleep
                )
            except (
                exceptions.ConfigurationConflictError,
                exceptions.PlatformUnavailableError,
            ):
                refused.append(change)
            except exceptions.PlatformAnswerLostError:
                continue

    async def run_operators() -> None:
        async with anyio.create_task_group() as group:
            for number in range(operators):
                group.start_soon(operate, f"operator{number}")

    anyio.run(run_operators)
    stored = tables.versions()
    assert [item.version for item in stored] == list(range(1, len(stored) + 1))
    changes = [item.change_id for item in stored]
    assert len(set(changes)) == len(changes)
    assert not set(refused) & set(changes)
    for change, version in applied.items():
        assert changes[version - 1] == change
