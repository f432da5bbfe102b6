"""Runners fail some calls after they have run them, with a status of 503.

Requesters take the 503 that they get for the promise that the call has not run,
and send it again, as they may.
"""

from __future__ import annotations

import asyncio
import collections
import json
import os
import pathlib
import sys
import tempfile

import rig

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOAD_S = 8.0
# The runners fail some calls for 4 s, as in the site's days.
TROUBLE_AT_S = 2.0
TROUBLE_S = 4.0
PAUSE_S = 0.1
DEADLINE_MS = 4_000
RETRIES = 1
# These statuses promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)


class Case:
    """The processes of the case, and what was seen."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._store = rig.Store()
        self._processes: list[rig.Process] = []
        self._entries: list[rig.Entry] = []
        self._runners: dict[str, str] = {}
        self._begin_ms = 0.0
        self.lines: list[str] = []
        # Status of each attempt, by its id.
        self.statuses: dict[str, int] = {}

    def _start_runners(self) -> None:
        from_ms = self._begin_ms + TROUBLE_AT_S * 1_000
        to_ms = from_ms + TROUBLE_S * 1_000 if TROUBLE else from_ms
        for runner_id in ("i-1", "i-2", "i-3"):
            port = rig.free_ports(1)[0]
            words = [sys.executable, str(HERE / "runner.py"), runner_id]
            words += [str(port), str(from_ms), str(to_ms)]
            log = self._folder / f"{runner_id}.log"
            self._processes.append(rig.Process(words, log))
            self._runners[runner_id] = f"127.0.0.1:{port}"

    async def start(self) -> bool:
        """Start everything; return whether the entries are ready."""
        _, address = await rig.listen(self._store.serve)
        self._store.put(
            "op",
            "config",
            rig.configuration(
                rig.route("orders", "non_idempotent", "desk", timeout_ms=2_000)
            ),
        )
        # Requests begin at a time that the runners know from their start.
        self._begin_ms = rig.now_ms() + 5_000
        self._start_runners()
        await asyncio.sleep(0.7)
        for runner_id, at in self._runners.items():
            self._store.put("servers", runner_id, rig.registration(at, 1))
        for name in ("edge-recife-1", "edge-recife-2"):
            entry = rig.Entry(name, address, self._folder)
            self._entries.append(entry)
            self._processes.append(entry.process)
        ready = [await entry.is_ready() for entry in self._entries]
        left_ms = self._begin_ms - rig.now_ms()
        if left_ms < 0:
            return False
        await asyncio.sleep(left_ms / 1_000)
        return all(ready)

    async def _place(self, number: int) -> None:
        """Place one order, and try again where the pages allow that."""
        order = f"order-{number}"
        sent_ms = rig.now_ms()
        for retry in range(RETRIES + 1):
            entry = self._entries[(number + retry) % len(self._entries)]
            left_ms = int(sent_ms + DEADLINE_MS - rig.now_ms())
            attempt = f"{order}.{retry}"
            answer = await rig.ask(
                entry, "POST", "/orders/x", attempt, left_ms, order.encode()
            )
            self.statuses[attempt] = answer.status
            line: dict[str, object] = {"sent": attempt}
            line["ms"] = round(answer.sent_ms)
            line["status"] = answer.status
            line["seal"] = answer.headers.get("x-laburnumpin-response-seal")
            self.lines.append(json.dumps(line))
            if answer.status not in PROMISES:
                return
            wait_s = float(answer.headers.get("retry-after", "0.1"))
            await asyncio.sleep(min(wait_s, left_ms / 3_000))

    async def play(self) -> None:
        """Send orders."""
        tasks = []
        number = 0
        while rig.now_ms() < self._begin_ms + LOAD_S * 1_000:
            tasks.append(asyncio.create_task(self._place(number)))
            number += 1
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*tasks)

    def stop(self) -> None:
        """End all processes, and write the record."""
        for process in self._processes:
            process.kill()
        for log in sorted(self._folder.glob("i-*.log")):
            self.lines += log.read_text(encoding="utf-8").splitlines()
        (HERE / "record.txt").write_text(
            "\n".join(self.lines) + "\n", encoding="utf-8"
        )

    def judge(self) -> int:
        """Return 1 if the rule was broken, 0 if it held."""
        runs = [json.loads(line) for line in self.lines if '"run"' in line]
        has_run = {run["run"] for run in runs}
        refused = []
        for attempt, status in self.statuses.items():
            if status in PROMISES and attempt in has_run:
                refused.append(attempt)
        placed = collections.Counter(run["order"] for run in runs)
        doubled = [order for order, count in placed.items() if count > 1]
        print(
            f"{len(self.statuses)} attempts; {len(refused)} were answered with"
            f" a promise and have run; {len(doubled)} orders were placed twice"
        )
        if not runs:
            return 2
        return 1 if refused else 0


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
    return case.judge()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
