"""In-memory tables with row versions and conditional transactions."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

from laburnumpin.core import store


@dataclasses.dataclass(slots=True, frozen=True)
class TransactResult:
    """The versions of the written rows, or the rows whose condition failed.

    Versions are in the order of the writes; a deleted row has version 0.
    """

    versions: tuple[int, ...] = ()
    conflicts: tuple[store.Row, ...] = ()


class Tables:
    """Rows by table and key.

    One counter numbers the transactions on all tables and gives the rows
    their versions. A row that was deleted and created again thus never
    repeats a version.
    """

    __slots__ = ("_last_version", "_rows")

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, store.Row]] = {}
        self._last_version = 0

    def transact(
        self,
        conditions: Sequence[store.Condition],
        writes: Sequence[store.Write],
    ) -> TransactResult:
        """Write all rows if all conditions hold, otherwise none.

        A condition holds if the row has the expected version.
        """
        conflicts = []
        for condition in conditions:
            row = self.read(condition.table, condition.key)
            if row.version != condition.version:
                conflicts.append(row)
        if conflicts:
            return TransactResult(conflicts=tuple(conflicts))
        self._last_version += 1
        versions = tuple(self._write(write) for write in writes)
        return TransactResult(versions=versions)

    def read(self, table: str, key: str) -> store.Row:
        """Return a row; a missing row has version 0 and no value."""
        row = self._rows.get(table, {}).get(key)
        return store.Row(table, key, 0, None) if row is None else row

    def scan(
        self, table: str, prefix: str, limit: int
    ) -> tuple[store.Row, ...]:
        """Return up to `limit` rows whose key has the prefix, by key."""
        rows = self._rows.get(table, {})
        keys = sorted(key for key in rows if key.startswith(prefix))
        return tuple(rows[key] for key in keys[:limit])

    def _write(self, write: store.Write) -> int:
        rows = self._rows.setdefault(write.table, {})
        if write.value is None:
            rows.pop(write.key, None)
            return 0
        version = self._last_version
        rows[write.key] = store.Row(
            write.table, write.key, version, write.value
        )
        return version
