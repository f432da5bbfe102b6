"""Rows of the table `configuration`.

Entries poll the row `current`, which contains the current version number.
Each document has a row of its own, so that a poll is small whatever the size
of the document.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json

from laburnumpin import exceptions
from laburnumpin.core import store

TABLE = "configuration"
CURRENT_KEY = "current"
CHANGE_PREFIX = "change/"
VERSION_PREFIX = "version/"


@dataclasses.dataclass(slots=True, frozen=True)
class Pointer:
    """The current version and its change id, as stored in row `current`."""

    version: int
    change_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class StoredVersion:
    """A configuration version with its document, as stored in its row."""

    version: int
    change_id: str
    document: str


@dataclasses.dataclass(slots=True, frozen=True)
class StoredChange:
    """The version that a change created, and the hash of its document."""

    version: int
    document_sha256: str


def version_key(version: int) -> str:
    """Return the key of the row that keeps a version."""
    return f"{VERSION_PREFIX}{version:012d}"


def change_key(change_id: str) -> str:
    """Return the key of the row that records a change."""
    return f"{CHANGE_PREFIX}{change_id}"


def document_hash(document: str) -> str:
    """Return the SHA-256 hex digest of a document."""
    return hashlib.sha256(document.encode()).hexdigest()


def encode(
    value: Pointer | StoredVersion | StoredChange,
) -> str:
    """Return the JSON text of a row."""
    return json.dumps(dataclasses.asdict(value))


def parse_pointer(row: store.Row) -> Pointer:
    """Parse the row `current`.

    Raises:
        StoredRowError: The row doesn't have the documented form.
    """
    value = _parse(row)
    return Pointer(_version_of(row, value), _text_of(row, value, "change_id"))


def parse_version(row: store.Row) -> StoredVersion:
    """Parse the row of a configuration version.

    Raises:
        StoredRowError: The row doesn't have the documented form.
    """
    value = _parse(row)
    return StoredVersion(
        _version_of(row, value),
        _text_of(row, value, "change_id"),
        _text_of(row, value, "document"),
    )


def parse_change(row: store.Row) -> StoredChange:
    """Parse the row of a change.

    Raises:
        StoredRowError: The row doesn't have the documented form.
    """
    value = _parse(row)
    return StoredChange(
        _version_of(row, value), _text_of(row, value, "document_sha256")
    )


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


def _text_of(row: store.Row, value: dict[str, object], name: str) -> str:
    text = value.get(name)
    if not isinstance(text, str):
        raise _malformed(row)
    return text


def _malformed(row: store.Row) -> exceptions.StoredRowError:
    message = f"row {row.table}/{row.key} doesn't have the documented form"
    return exceptions.StoredRowError(message)
