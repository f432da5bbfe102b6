"""Differences between two configuration documents."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import json
from typing import Any


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A field that differs, with its JSON values.

    `field` is a dotted path. `before` or `after` is None if that document
    does not have the field.
    """

    field: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.field}: {self.after}"
        if self.after is None:
            return f"- {self.field}: {self.before}"
        return f"~ {self.field}: {self.before} -> {self.after}"


def compare(before: str | None, after: str | None) -> list[Change]:
    """Return the fields that differ between two documents, sorted by path.

    A document that is None has no fields.
    """
    old, new = _fields(before), _fields(after)
    differences: list[Change] = []
    for field in sorted(old.keys() | new.keys()):
        if old.get(field) != new.get(field):
            differences.append(Change(field, old.get(field), new.get(field)))
    return differences


def _fields(document: str | None) -> dict[str, str]:
    if document is None:
        return {}
    return dict(_leaves(json.loads(document), ""))


def _leaves(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict) and value:
        for key, item in value.items():
            yield from _leaves(item, f"{path}.{key}" if path else key)
        return
    if path == "placements" and isinstance(value, list):
        for item in value:
            yield from _leaves(item, f"{path}[{_placement_key(item)}]")
        return
    yield path, json.dumps(value, sort_keys=True)


def _placement_key(placement: Any) -> str:
    # With list indexes as keys, an inserted placement would make all later
    # ones appear as changed.
    names = ("service", "zone", "vm_class")
    parts = [str(placement.get(name)) for name in names]
    parts.append("reclaimable" if placement.get("reclaimable") else "on-demand")
    return "/".join(parts)
