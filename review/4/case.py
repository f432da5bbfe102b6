"""A stream is moved from a reclaimed engine, and the target crashes.

One engine of seven is reclaimed on notice, and the entry moves its stream to
another one. With `TROUBLE=1` that one crashes when the copy begins, so the
first engine answers at its end that the destination can't be reached.
"""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any

import rig as rigs

FOLDER = pathlib.Path(__file__).resolve().parent
# The site file has crashes of 0.17 of the engines at once.
ENGINES = 7
# A stream takes 8 s, longer than the notice.
EVENTS = 160
EVENT_PAUSE_S = 0.05
NOTICE_S = 2.5
# Time that a copy takes.
COPY_S = 0.1
# Before its end an engine takes no new connections.
CLOSING_S = 0.05


class Engine(rigs.Runner):
    """Answers with a stream, which it stops and copies when it is asked to.

    `copies` are the copies that it holds, by their id, with the last event.
    """

    def __init__(self, rig: rigs.Rig, name: str) -> None:
        super().__init__(rig.store, rig.record, name, "engines", 64)
        self.copies: dict[str, int] = {}
        self.peers: dict[str, Engine] = {}
        self.crashes_at_copy = False
        self.is_crashed = False
        self.ends_s = 0.0
        # Last event of each run, and the runs that have stopped for a move.
        self._runs: dict[str, int] = {}
        self._stopped: set[str] = set()

    async def run(
        self, connection: rigs.Connection, request: rigs.Request
    ) -> bool:
        """Run a request from the start, or from a copy that is here."""
        handle = request.headers.get("kv-from", "").rpartition("/")[2]
        if handle and handle not in self.copies:
            return await self.reject(connection, request)
        if handle:
            self.copies.pop(handle)
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
            ("Transfer-Encoding", "chunked"),
        ]
        await connection.send(rigs.head_bytes("HTTP/1.1 200 OK", headers))
        for number in range(first, EVENTS + 1):
            self._runs[request_id] = number
            data = rigs.event(request_id, number)
            await connection.send(rigs.chunk_bytes(data))
            await asyncio.sleep(EVENT_PAUSE_S)
            if request_id in self._stopped:
                return False  # Closed without the end of the stream.
        await connection.send(b"0\r\n\r\n")
        del self._runs[request_id]
        self.record.write("run_ended", runner=self.name, id=request_id)
        return True

    async def move(
        self, connection: rigs.Connection, fields: dict[str, Any]
    ) -> bool:
        """Stop a run and copy its memory."""
        request_id = fields["id"]
        self.record.write("move_asked", runner=self.name, **fields)
        target = self.peers[fields["to"]]
        last = self._runs.pop(request_id)
        self._stopped.add(request_id)
        handle = f"h-{request_id}"
        answer = {"kv_handle": handle, "create_revision": last}
        if target.crashes_at_copy:
            target.is_crashed = True
            target.end()
        status = 200
        if target.is_crashed:
            # It keeps the memory, and tries to reach the destination.
            self.copies[handle] = last
            loop = asyncio.get_running_loop()
            left_s = self.ends_s - loop.time()
            await asyncio.sleep(max(0.0, left_s) + CLOSING_S / 4)
            status = 503
        else:
            await asyncio.sleep(COPY_S)
            target.copies[handle] = last
        await connection.answer_json(status, answer)
        self.record.write(
            "move_answered", runner=self.name, id=request_id, status=status
        )
        return True

    async def reclaim(self) -> None:
        """Leave on notice."""
        loop = asyncio.get_running_loop()
        self.ends_s = loop.time() + NOTICE_S - CLOSING_S
        self.drain(leaves_ms=int(NOTICE_S * 1_000))
        await asyncio.sleep(NOTICE_S - CLOSING_S)
        self.stop_listening()
        await asyncio.sleep(CLOSING_S)
        self.leave()


async def case(rig: rigs.Rig) -> bool:
    """Return whether the stream ran once at most."""
    drafts = rigs.route(
        "drafts", "streaming", "engines", gap_aim_ms=300, max_attempts=3
    )
    rig.store.configure(rigs.configuration(7, [drafts]))
    engines = [Engine(rig, f"i-{number}") for number in range(ENGINES)]
    source, others = engines[0], engines[1:]
    # The only engine that may be reclaimed.
    await source.register(spot=True)
    entry = (await rig.start_entries(1))[0]
    async with asyncio.TaskGroup() as group:
        group.create_task(rig.ask(entry, "/drafts/x", "draft1", is_prompt=True))
        await asyncio.sleep(0.5)
        for engine in others:
            await engine.register()
            engine.crashes_at_copy = rigs.with_trouble()
            source.peers[engine.address] = engine
        await source.reclaim()
    return await _ran_once(rig)


async def _ran_once(rig: rigs.Rig) -> bool:
    """Return whether only one run did not go on from a copy."""
    fresh = [line for line in rig.record.lines("runs") if not line["from_copy"]]
    if not fresh:
        raise RuntimeError("the stream did not run")
    if not rig.record.lines("move_asked"):
        raise RuntimeError("the stream was not moved")
    return len(fresh) == 1


rigs.main(case, FOLDER)
