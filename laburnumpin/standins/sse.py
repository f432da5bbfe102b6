"""A parser of server-sent events for tests and the load tool."""

from __future__ import annotations

from collections.abc import AsyncIterator
import dataclasses


@dataclasses.dataclass(slots=True)
class ServerEvent:
    """One server-sent event; an absent field is empty."""

    name: str = ""
    event_id: str = ""
    data: str = ""


async def read_events(
    lines: AsyncIterator[str],
) -> AsyncIterator[ServerEvent]:
    """Yield complete events; an event that is cut off is dropped."""
    event = ServerEvent()
    async for line in lines:
        if not line:
            if event.data or event.name:
                yield event
            event = ServerEvent()
            continue
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "event":
            event.name = value
        if field == "id":
            event.event_id = value
        if field == "data":
            event.data = f"{event.data}\n{value}" if event.data else value
