"""A stream without length is at an engine that is reclaimed on notice.

Both engines answer streams without a length or chunks, so that a stream ends
with its connection. With `TROUBLE=0` no engine is reclaimed.
"""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any

import rig as rigs

FOLDER = pathlib.Path(__file__).resolve().parent
# A stream takes 6 s, longer than the notice.
EVENTS = 120
EVENT_PAUSE_S = 0.05
NOTICE_S = 2.5
# Time that a copy takes.
COPY_S = 0.1


class Engine(rigs.Runner):
    """Answers with a stream without length, and copies it when asked to.

    `copies` are the copies that it holds, by their id, with the last event.
    """

    def __init__(self, rig: rigs.Rig, name: str) -> None:
        super().__init__(rig.store, rig.record, name, "engines", 64)
        self.copies: dict[str, int] = {}
        self.peers: dict[str, Engine] = {}
        # Last event of each run, and the runs that have stopped for a move.
        self._runs: dict[str, int] = {}
        self._stopped: set[str] = set()

    async def run(
        self, connection: rigs.Connection, request: rigs.Request
    ) -> bool:
        """Run a request from the start, or from a copy that is here."""
        handle = request.headers.get("kv-from", "").rpartition("/")[2]
        if handle and self.copies.pop(handle, None) is None:
            return await self.reject(connection, request)
        first = int(request.headers.get("last-event-id", "0")) + 1
        request_id = request.request_id
        self.record.write(
            "runs",
            runner=self.name,
            id=request_id,
            from_event=first,
            from_copy=bool(handle),
        )
        headers = [
            *self.answer_headers(request),
            ("Content-Type", "text/event-stream"),
            ("Connection", "close"),
        ]
        await connection.send(rigs.head_bytes("HTTP/1.1 200 OK", headers))
        for number in range(first, EVENTS + 1):
            self._runs[request_id] = number
            await connection.send(rigs.event(request_id, number))
            await asyncio.sleep(EVENT_PAUSE_S)
            if request_id in self._stopped:
                return False  # Closed without the end of the stream.
        del self._runs[request_id]
        self.record.write("run_ended", runner=self.name, id=request_id)
        return False

    async def move(
        self, connection: rigs.Connection, fields: dict[str, Any]
    ) -> bool:
        """Stop a run and copy its memory."""
        request_id = fields["id"]
        self.record.write("move_asked", runner=self.name, **fields)
        last = self._runs.pop(request_id)
        self._stopped.add(request_id)
        await asyncio.sleep(COPY_S)
        handle = f"h-{request_id}"
        self.peers[fields["to"]].copies[handle] = last
        answer = {"kv_handle": handle, "create_revision": last}
        await connection.answer_json(200, answer)
        self.record.write("move_answered", id=request_id, status=200, **answer)
        return True

    async def reclaim(self) -> None:
        """Leave on notice."""
        self.drain(leaves_ms=int(NOTICE_S * 1_000))
        await asyncio.sleep(NOTICE_S)
        self.leave()


async def case(rig: rigs.Rig) -> bool:
    """Return whether no answer that ended early looked complete."""
    drafts = rigs.route("drafts", "streaming", "engines", gap_aim_ms=300)
    rig.store.configure(rigs.configuration(7, [drafts]))
    source, target = Engine(rig, "i-a"), Engine(rig, "i-b")
    await source.register(spot=True)
    entry = (await rig.start_entries(1))[0]
    async with asyncio.TaskGroup() as group:
        task = group.create_task(
            rig.ask(entry, "/drafts/x", "draft1", is_prompt=True)
        )
        await asyncio.sleep(0.5)
        await target.register()
        source.peers = {target.address: target}
        if rigs.with_trouble():
            await source.reclaim()
    answer = task.result()
    if answer.status != 200:
        raise RuntimeError("the stream did not begin")
    is_whole = answer.event_ids == list(range(1, EVENTS + 1))
    return is_whole or answer.end != "complete"


rigs.main(case, FOLDER)
