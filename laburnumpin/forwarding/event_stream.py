"""Splitting of an event stream into whole events."""

from __future__ import annotations

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?m)^id:[ \t]*(\d+)\r?$")


class Splitter:
    """Collects the bytes of a stream and returns whole events."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not complete."""
        return self._rest

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes; return the events that they complete."""
        self._rest += data
        events = []
        start = 0
        for match in _END.finditer(self._rest):
            events.append(self._rest[start : match.end()])
            start = match.end()
        self._rest = self._rest[start:]
        return events


def event_id(event: bytes) -> int | None:
    """Return the id of an event, if it has one."""
    match = _ID.search(event)
    return None if match is None else int(match.group(1))
