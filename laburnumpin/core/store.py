"""Rows, conditions and writes of the platform's table service, as data."""

from __future__ import annotations

import dataclasses
import enum


class StoreModule(enum.Enum):
    """The core module that issued a store operation and takes its answer."""

    CLAIMS = "claims"
    CONFIGURATION = "configuration"
    FLEET = "fleet"
    HANDOVER = "handover"


@dataclasses.dataclass(slots=True, frozen=True)
class OperationId:
    """Names a store operation of one module; numbers are not reused."""

    module: StoreModule
    number: int


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """Holds when the row has `version`; version 0 means it is absent."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """Sets a row to a JSON document, or deletes it with None."""

    table: str
    key: str
    value: str | None


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row as the store holds it; version 0 and None when absent."""

    table: str
    key: str
    version: int
    value: str | None
