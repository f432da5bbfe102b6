"""Apply a configuration change with optimistic concurrency control.

The caller reads the rows that `keys` returns, calls `plan` and sends the
transaction. After a lost answer it reads the rows and calls `plan` again.
A transaction that commits late cannot take effect twice, because each one
requires that the row of its change id is absent.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import re

from laburnumpin import exceptions
from laburnumpin.config import loading
from laburnumpin.config import options
from laburnumpin.config import problems
from laburnumpin.core import store
from laburnumpin.core import versions

_CHANGE_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")


@dataclasses.dataclass(slots=True, frozen=True)
class Transaction:
    """The writes that store a change as `version`, and their conditions."""

    version: int
    conditions: tuple[store.Condition, ...]
    writes: tuple[store.Write, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Applied:
    """The change was already applied, as `version`."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """The current version is not the change's base version.

    A change whose base version is below the current one can never be applied,
    because versions only increase.
    """

    base_version: int
    current_version: int


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeIdReused:
    """The change id was used for another document, stored as `version`."""

    version: int


Plan = Transaction | Applied | Conflict | ChangeIdReused


def keys(change_id: str) -> tuple[str, ...]:
    """Return the keys of the rows that `plan` reads."""
    return (versions.CURRENT_KEY, versions.change_key(change_id))


def check(base_version: object, change_id: object, document: object) -> None:
    """Validate a change before any row is read.

    Raises:
        ConfigurationError: The change is invalid; lists every problem.
    """
    errors: problems.Errors = []
    options.Integer(maximum=10**12 - 2).check(
        base_version, "base_version", errors
    )
    name = options.Text().check(change_id, "change_id", errors)
    if name is not None and _CHANGE_ID.fullmatch(name) is None:
        message = "must have 1 to 64 letters, digits, `-` and `_` only"
        problems.add_error(
            errors, "change_id", problems.Code.MALFORMED, message
        )
    if not isinstance(document, str):
        message = "must be a text that contains the JSON document"
        problems.add_error(
            errors, "document", problems.Code.WRONG_TYPE, message
        )
    else:
        try:
            loading.load_document(document)
        except exceptions.ConfigurationError as error:
            errors.extend(error.errors)
    if errors:
        raise exceptions.ConfigurationError(errors)


def plan(
    base_version: int,
    change_id: str,
    document: str,
    rows: Sequence[store.Row],
) -> Plan:
    """Return the transaction for a change, or the reason to send none.

    `rows` are the rows of `keys(change_id)` from one read.

    Raises:
        StoredRowError: A row doesn't have the documented form.
    """
    current = _row(rows, versions.CURRENT_KEY)
    change = _row(rows, versions.change_key(change_id))
    if change.value is not None:
        return _result_of_stored_change(change, document)
    current_version = 0
    if current.value is not None:
        current_version = versions.parse_pointer(current).version
    if current_version != base_version:
        return Conflict(base_version, current_version)
    return _transaction(current, change_id, document, base_version + 1)


def _result_of_stored_change(
    change: store.Row, document: str
) -> Applied | ChangeIdReused:
    stored = versions.parse_change(change)
    if stored.document_sha256 != versions.document_hash(document):
        return ChangeIdReused(stored.version)
    return Applied(stored.version)


def _transaction(
    current: store.Row, change_id: str, document: str, version: int
) -> Transaction:
    pointer = versions.Pointer(version, change_id)
    stored = versions.StoredVersion(version, change_id, document)
    change = versions.StoredChange(version, versions.document_hash(document))
    table = versions.TABLE
    version_key = versions.version_key(version)
    change_key = versions.change_key(change_id)
    return Transaction(
        version=version,
        conditions=(
            store.Condition(table, versions.CURRENT_KEY, current.version),
            store.Condition(table, version_key, 0),
            store.Condition(table, change_key, 0),
        ),
        writes=(
            store.Write(table, versions.CURRENT_KEY, versions.encode(pointer)),
            store.Write(table, version_key, versions.encode(stored)),
            store.Write(table, change_key, versions.encode(change)),
        ),
    )


def _row(rows: Sequence[store.Row], key: str) -> store.Row:
    for row in rows:
        if row.key == key:
            return row
    return store.Row(versions.TABLE, key, 0, None)
