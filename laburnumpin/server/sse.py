"""Server-sent events: encoding for callers, decoding from engines."""

from __future__ import annotations

import dataclasses

from laburnumpin import exceptions

MEDIA_TYPE = "text/event-stream"
# Engines send one or a few tokens per event, so a longer one is malformed.
MAX_EVENT_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True, frozen=True)
class SseEvent:
    """One server-sent event; `name` and `event_id` are "" if absent."""

    name: str
    event_id: str
    data: str


def encode(event: SseEvent) -> bytes:
    """Return the bytes of an event; its data must be a single line."""
    lines = []
    if event.event_id:
        lines.append(f"id: {event.event_id}")
    if event.name:
        lines.append(f"event: {event.name}")
    lines.append(f"data: {event.data}")
    return ("\n".join(lines) + "\n\n").encode()


class Decoder:
    """Incremental decoder from a byte stream to events."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[SseEvent]:
        """Add bytes and return the events that they complete.

        Raises:
            DocumentError: An event is too long or not UTF-8.
        """
        self._buffer += data.replace(b"\r", b"")
        *blocks, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise exceptions.DocumentError("a server-sent event is too long")
        result = []
        for block in blocks:
            event = _parse_event(block)
            if event is not None:
                result.append(event)
        return result


def _parse_event(block: bytes) -> SseEvent | None:
    try:
        text = block.decode()
    except UnicodeDecodeError as error:
        raise exceptions.DocumentError(
            "a server-sent event is not UTF-8"
        ) from error
    fields = {"event": "", "id": ""}
    data: list[str] = []
    for line in text.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name in fields:
            fields[name] = value
    if not data:
        return None
    return SseEvent(fields["event"], fields["id"], "\n".join(data))
