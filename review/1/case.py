"""Streams at an entry that is stopped, and gets SIGHUP while it drains.

With `TROUBLE=0` there is the same stop without the SIGHUP.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal

import rig as rigs

FOLDER = pathlib.Path(__file__).resolve().parent
STREAMS = 6
# Each stream takes 3 s, so all end well before the grace of 8 s is over.
EVENTS = 60
EVENT_PAUSE_S = 0.05
# The settings file changes this long after the stop has begun.
HUP_AFTER_S = 0.5


class Engine(rigs.Runner):
    """Answers with a stream of events in chunks."""

    async def run(
        self, connection: rigs.Connection, request: rigs.Request
    ) -> bool:
        """Run a request."""
        self.record.write("runs", runner=self.name, id=request.request_id)
        headers = [
            *self.answer_headers(request),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        await connection.send(rigs.head_bytes("HTTP/1.1 200 OK", headers))
        for number in range(1, EVENTS + 1):
            data = rigs.event(request.request_id, number)
            await connection.send(rigs.chunk_bytes(data))
            await asyncio.sleep(EVENT_PAUSE_S)
        await connection.send(b"0\r\n\r\n")
        self.record.write("run_ended", runner=self.name, id=request.request_id)
        return True


async def case(rig: rigs.Rig) -> bool:
    """Return whether each request that was passed on got a whole answer."""
    drafts = rigs.route("drafts", "streaming", "engines", gap_aim_ms=300)
    rig.store.configure(rigs.configuration(7, [drafts]))
    for name in ("i-a", "i-b"):
        engine = Engine(rig.store, rig.record, name, "engines", 64)
        await engine.register()
    entry = (await rig.start_entries(1))[0]
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(
                rig.ask(entry, "/drafts/x", f"draft{n}", is_prompt=True)
            )
            for n in range(STREAMS)
        ]
        await asyncio.sleep(1.0)
        entry.signal(signal.SIGTERM)
        rig.record.write("signal", entry=entry.name, signal="SIGTERM")
        await asyncio.sleep(HUP_AFTER_S)
        if rigs.with_trouble():
            entry.signal(signal.SIGHUP)
            rig.record.write("signal", entry=entry.name, signal="SIGHUP")
    answers = [task.result() for task in tasks]
    if any(answer.status != 200 for answer in answers):
        raise RuntimeError("a stream did not begin")
    whole = list(range(1, EVENTS + 1))
    return all(
        answer.end == "complete" and answer.event_ids == whole
        for answer in answers
    )


rigs.main(case, FOLDER)
