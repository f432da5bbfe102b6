"""Splitting of a server-sent event stream into whole events."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4
# A line that is neither blank nor a comment.
_FIELD_LINE = re.compile(rb"(?m)^[^:\r\n]")
# A longer id is none: it could not be compared or sent on.
_ID_FIELD = re.compile(rb"(?m)^id:[ \t]*(\d{1,18})\r?$")


class Splitter:
    """Buffers the bytes of a stream until they complete events."""

    __slots__ = ("_incomplete",)

    def __init__(self) -> None:
        self._incomplete = bytearray()

    @property
    def incomplete_event(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return bytes(self._incomplete)

    @property
    def incomplete_bytes(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._incomplete)

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events that they complete.

        Each event includes its terminating blank line.
        """
        # What was searched before has no end of an event but, perhaps, the
        # beginning of one.
        searched = max(0, len(self._incomplete) - _MAX_END_BYTES)
        self._incomplete += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._incomplete, searched):
            events.append(bytes(self._incomplete[start : match.end()]))
            start = match.end()
        del self._incomplete[:start]
        return events


def event_id(event: bytes) -> int | None:
    """Return the numeric id of an event; None if it has none."""
    match = _ID_FIELD.search(event)
    return None if match is None else int(match.group(1))


def has_fields(event: bytes) -> bool:
    """Return whether an event is more than a comment."""
    return _FIELD_LINE.search(event) is not None
