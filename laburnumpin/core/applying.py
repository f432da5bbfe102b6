"""Rules for applying a configuration with optimistic concurrency.

The shell reads the rows that `keys` names, calls `plan` and sends the
transaction. After a lost answer it reads the rows and calls `plan` again.
A write that lands late can't take effect twice, because each transaction
requires that the row of its change id is absent.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import hashlib
import json
import re

from laburnumpin import exceptions
from laburnumpin.config import loading
from laburnumpin.config import options
from laburnumpin.core import configuration
from laburnumpin.core import store

TABLE = configuration.TABLE
CURRENT_KEY = configuration.CURRENT_KEY
CHANGE_PREFIX = "change/"
VERSION_PREFIX = "version/"
_CHANGE_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")


@dataclasses.dataclass(slots=True, frozen=True)
class StoredVersion:
    """A configuration as a row holds it."""

    version: int
    change_id: str
    document: str


@dataclasses.dataclass(slots=True, frozen=True)
class Transaction:
    """Write these rows; on success the change is `version`."""

    version: int
    conditions: tuple[store.Condition, ...]
    writes: tuple[store.Write, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Applied:
    """The change was applied earlier under its change id."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Another change was applied first; this one never will be."""

    base_version: int
    current_version: int


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeIdReused:
    """The change id belongs to a change with another document."""

    version: int


Plan = Transaction | Applied | Conflict | ChangeIdReused


def version_key(version: int) -> str:
    """Return the key of the row that keeps a version."""
    return f"{VERSION_PREFIX}{version:012d}"


def change_key(change_id: str) -> str:
    """Return the key of the row that records a change."""
    return f"{CHANGE_PREFIX}{change_id}"


def keys(change_id: str) -> tuple[str, ...]:
    """Return the keys of the rows that `plan` needs."""
    return (CURRENT_KEY, change_key(change_id))


def check(base_version: object, change_id: object, document: object) -> None:
    """Check a change before any row is read.

    Raises:
        ConfigurationError: The change is invalid; lists every problem.
    """
    errors: options.Errors = []
    options.Integer(maximum=10**12 - 2).check(
        base_version, "base_version", errors
    )
    name = options.Text().check(change_id, "change_id", errors)
    if name is not None and _CHANGE_ID.fullmatch(name) is None:
        message = "must have 1 to 64 letters, digits, `-` and `_` only"
        options.add_error(errors, "change_id", options.Code.MALFORMED, message)
    if not isinstance(document, str):
        message = "must be a text that contains the JSON document"
        options.add_error(errors, "document", options.Code.WRONG_TYPE, message)
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
    """Return the transaction for a change, or its known result.

    `rows` are the rows of `keys(change_id)` from one read.

    Raises:
        StoredRowError: A row doesn't have the documented form.
    """
    current = _row(rows, CURRENT_KEY)
    change = _row(rows, change_key(change_id))
    if change.value is not None:
        return _known_result(change, document)
    current_version = 0
    if current.value is not None:
        current_version = parse_version(current).version
    if current_version != base_version:
        return Conflict(base_version, current_version)
    return _transaction(current, change_id, document, base_version + 1)


def parse_version(row: store.Row) -> StoredVersion:
    """Return the configuration that a row holds.

    Raises:
        StoredRowError: The row doesn't have the documented form.
    """
    value = _parse(row)
    change_id, document = value.get("change_id"), value.get("document")
    if not isinstance(change_id, str) or not isinstance(document, str):
        raise _malformed(row)
    return StoredVersion(_version_of(row, value), change_id, document)


def _known_result(change: store.Row, document: str) -> Applied | ChangeIdReused:
    value = _parse(change)
    version = _version_of(change, value)
    if value.get("document_sha256", _digest(document)) != _digest(document):
        return ChangeIdReused(version)
    return Applied(version)


def _transaction(
    current: store.Row, change_id: str, document: str, version: int
) -> Transaction:
    stored = json.dumps(
        {"version": version, "change_id": change_id, "document": document}
    )
    change = json.dumps(
        {"version": version, "document_sha256": _digest(document)}
    )
    new_keys = (version_key(version), change_key(change_id))
    return Transaction(
        version=version,
        conditions=(
            store.Condition(TABLE, CURRENT_KEY, current.version),
            *(store.Condition(TABLE, key, 0) for key in new_keys),
        ),
        writes=(
            store.Write(TABLE, CURRENT_KEY, stored),
            store.Write(TABLE, version_key(version), stored),
            store.Write(TABLE, change_key(change_id), change),
        ),
    )


def _row(rows: Sequence[store.Row], key: str) -> store.Row:
    for row in rows:
        if row.key == key:
            return row
    return store.Row(TABLE, key, 0, None)


def _parse(row: store.Row) -> dict[str, object]:
    try:
        value = json.loads(row.value or "")
    except (ValueError, RecursionError):
        raise _malformed(row) from None
    if not isinstance(value, dict):
        raise _malformed(row)
    return value


def _version_of(row: store.Row, value: dict[str, object]) -> int:
    version = value.get("version")
    if isinstance(version, bool) or not isinstance(version, int):
        raise _malformed(row)
    if version < 1:
        raise _malformed(row)
    return version


def _malformed(row: store.Row) -> exceptions.StoredRowError:
    message = f"row {row.table}/{row.key} doesn't have the documented form"
    return exceptions.StoredRowError(message)


def _digest(document: str) -> str:
    encoded = document.encode("utf-8", "surrogatepass")
    return hashlib.sha256(encoded).hexdigest()
