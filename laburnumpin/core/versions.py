"""Rows of table `configuration`.

Row `current` names the current version, which entries poll. The document is
in a row of its own, so that a poll stays small whatever the document's size.
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
    """The version that row `current` names."""

    version: int
    change_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class StoredVersion:
    """A configuration as its row holds it."""

    version: int
    change_id: str
    document: str


@dataclasses.dataclass(slots=True, frozen=True)
class StoredChange:
    """The version that a change made, and the hash of its document."""

    version: int
    document_sha256: str


def version_key(version: int) -> str:
    """Return the key of the row that keeps a version."""
    return f"{VERSION_PREFIX}{version:012d}"


def change_key(change_id: str) -> str:
    """Return the key of the row that records a change."""
    return f"{CHANGE_PREFIX}{change_id}"


def document_hash(document: str) -> str:
    """Return the hash under which a change records its document."""
    return hashlib.sha256(document.encode()).hexdigest()


def encode(
    value: Pointer | StoredVersion | StoredChange,
) -> str:
    """Return the JSON text of a row."""
    return json.dumps(dataclasses.asdict(value))


def parse_pointer(row: store.Row) -> Pointer:
    """Return the version that row `current` names.

    Raises:
        StoredRowError: The row doesn't have the documented form.
    """
    value = _parse(row)
    return Pointer(_version_of(row, value), _text_of(row, value, "change_id"))


def parse_version(row: store.Row) -> StoredVersion:
    """Return the configuration that a row holds.

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
    """Return what a row records of a change.

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
