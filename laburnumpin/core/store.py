"""Data types of the platform's table service: rows, conditions, writes.

`OperationId` also identifies operations on the object store.
"""

from __future__ import annotations

import dataclasses
import enum


class StoreModule(enum.Enum):
    """The core module that issued a store operation and handles its result."""

    CLAIMS = "claims"
    CONFIGURATION = "configuration"
    FLEET = "fleet"
    HANDOVER = "handover"


@dataclasses.dataclass(slots=True, frozen=True)
class OperationId:
    """Id of a store operation; an entry does not reuse its numbers."""

    module: StoreModule
    number: int


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """Requires that a row has `version`, or is absent if it is 0."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """Sets a row to a JSON document, or deletes it if `value` is None."""

    table: str
    key: str
    value: str | None


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A stored row; if absent, `version` is 0 and `value` is None."""

    table: str
    key: str
    version: int
    value: str | None
