"""A runner that was announced to leave ends in the middle of its answers.

Three runners answer without length. One of them is reclaimed: it reports
`draining` with the time that remains, and after that time it has gone. Its
answers that are not finished then must not look complete to their requesters.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import tempfile

import rig
import runner

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The notice of the reclaim, as on the bench's page of kinds.
NOTICE_MS = 2_000
LOAD_S = 7.0
NOTICE_AT_S = 2.5
PAUSE_S = 0.1
DEADLINE_MS = 8_000


def whole(attempt: str, kind: str) -> bytes:
    """Return the whole body of the answer to a request."""
    pieces = []
    for number in range(1, runner.PIECES + 1):
        pieces.append(runner.piece(attempt, number, is_stream=kind == "notes"))
    return b"".join(pieces)


class Case:
    """The processes of the case, and what was seen."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._store = rig.Store()
        self._processes: list[rig.Process] = []
        self._entries: list[rig.Entry] = []
        self._runners: dict[str, tuple[rig.Process, str]] = {}
        self.lines: list[str] = []
        self.broken = 0
        self.complete = 0

    def note(self, **fields: object) -> None:
        """Add a line to the record."""
        self.lines.append(json.dumps(fields))

    def _start_runner(self, runner_id: str) -> None:
        port = rig.free_ports(1)[0]
        process = rig.Process(
            [sys.executable, str(HERE / "runner.py"), runner_id, str(port)],
            self._folder / f"{runner_id}.log",
        )
        self._runners[runner_id] = (process, f"127.0.0.1:{port}")
        self._processes.append(process)

    async def start(self) -> bool:
        """Start everything; return whether the entries are ready."""
        _, address = await rig.listen(self._store.serve)
        self._store.put(
            "op",
            "config",
            rig.configuration(
                rig.route(
                    "reports",
                    "idempotent",
                    "desk",
                    max_attempts=2,
                    timeout_ms=DEADLINE_MS,
                ),
                rig.route(
                    "notes",
                    "streaming",
                    "desk",
                    max_attempts=2,
                    timeout_ms=DEADLINE_MS,
                    stream_resume=True,
                    gap_aim_ms=300,
                ),
            ),
        )
        for runner_id in ("i-1", "i-2", "i-3"):
            self._start_runner(runner_id)
        await asyncio.sleep(0.7)
        for runner_id, (_, at) in self._runners.items():
            self._store.put(
                "servers", runner_id, rig.registration(at, 1, spot=True)
            )
        for name in ("edge-recife-1", "edge-recife-2"):
            entry = rig.Entry(name, address, self._folder)
            self._entries.append(entry)
            self._processes.append(entry.process)
        ready = [await entry.is_ready() for entry in self._entries]
        return all(ready)

    async def _request(self, number: int, kind: str) -> None:
        attempt = f"{kind}-{number}"
        entry = self._entries[number % len(self._entries)]
        answer = await rig.ask(entry, "GET", f"/{kind}/x", attempt, DEADLINE_MS)
        # Without length or chunks, only the end of the connection shows the
        # end of an answer; it looks complete if that was not a reset.
        looks_complete = answer.status == 200 and not answer.was_reset
        if answer.is_framed and answer.status == 200:
            looks_complete = b"0\r\n\r\n" in answer.body[-8:]
        is_whole = answer.body == whole(attempt, kind)
        self.note(
            sent=attempt,
            ms=round(answer.sent_ms),
            ended_ms=round(answer.ended_ms),
            status=answer.status,
            seal=answer.headers.get("x-laburnumpin-response-seal"),
            framed=answer.is_framed,
            reset=answer.was_reset,
            body_bytes=len(answer.body),
            whole=is_whole,
        )
        if not looks_complete:
            return
        self.complete += 1
        if not is_whole and not answer.is_framed:
            self.broken += 1

    async def play(self) -> None:
        """Send requests, and reclaim a runner meanwhile."""
        tasks = []
        start_ms = rig.now_ms()
        reclaim = asyncio.create_task(self._reclaim()) if TROUBLE else None
        number = 0
        while rig.now_ms() < start_ms + LOAD_S * 1_000:
            for kind in ("reports", "notes"):
                tasks.append(asyncio.create_task(self._request(number, kind)))
            number += 1
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*tasks)
        if reclaim is not None:
            await reclaim

    async def _reclaim(self) -> None:
        await asyncio.sleep(NOTICE_AT_S)
        process, at = self._runners["i-1"]
        document = rig.registration(
            at, 2, "draining", spot=True, leaves_ms=NOTICE_MS
        )
        acked_ms = self._store.put("servers", "i-1", document)
        self.note(draining="i-1", ms=round(acked_ms), leaves_ms=NOTICE_MS)
        await asyncio.sleep(NOTICE_MS / 1_000)
        process.kill()
        self.note(gone="i-1", ms=round(rig.now_ms()))

    def stop(self) -> None:
        """End all processes, and write the record."""
        for process in self._processes:
            process.kill()
        for log in sorted(self._folder.glob("i-*.log")):
            self.lines += log.read_text(encoding="utf-8").splitlines()
        (HERE / "record.txt").write_text(
            "\n".join(self.lines) + "\n", encoding="utf-8"
        )


async def main() -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if nothing could run."""
    with tempfile.TemporaryDirectory() as folder:
        case = Case(pathlib.Path(folder))
        try:
            async with asyncio.timeout(100):
                if not await case.start():
                    print("an entry is not ready")
                    return 2
                await case.play()
        finally:
            case.stop()
    print(
        f"{case.complete} answers look complete,"
        f" {case.broken} of them are not whole"
    )
    if not case.complete:
        return 2
    return 1 if case.broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
