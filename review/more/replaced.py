"""Machines are removed for good and replaced by others, one after the other.

With `TROUBLE=1` the three entries that take the load, one in each zone, are the
last of a row of machines that were removed before. Then one tenant sends more
than its quota at all of them.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import rig as rigs  # noqa: E402

ENTRIES = 3
# Machines that were removed in each zone; each zone has one at any time.
REPLACED = 14
# The entries have run for this long before the load begins.
SETTLE_S = 16.0
LOAD_S = 14.0
# Each entry gets as many requests, of as many tokens in and out each.
REQUESTS_PER_S = 25
TOKENS = 2_000
RATE_PER_S = 40_000
BURST = 40_000
# Of the settings: `quota_window_s`, `quota_overage` and `quota_slack`.
WINDOW_MS = 8_000
OVERAGE = 0.1
SLACK = 140_000


class Engine(rigs.Runner):
    """Answers with a stream of two events."""

    async def run(
        self, connection: rigs.Connection, request: rigs.Request
    ) -> bool:
        """Run a request."""
        self.record.write("runs", runner=self.name, id=request.request_id)
        body = rigs.event(request.request_id, 1)
        body += rigs.event(request.request_id, 2)
        kind = ("Content-Type", "text/event-stream")
        headers = [*self.answer_headers(request), kind]
        await asyncio.sleep(0.02)
        await connection.answer(200, headers, body)
        return True


def worst_window(rig: rigs.Rig) -> int:
    """Return the most tokens that were both sent and run in one window."""
    sent = {line["id"]: line["at_ms"] for line in rig.record.lines("sent")}
    runs = [
        (sent[line["id"]], line["at_ms"]) for line in rig.record.lines("runs")
    ]
    most = 0
    for start_ms, _ in runs:
        end_ms = start_ms + WINDOW_MS
        inside = sum(start_ms <= s and r < end_ms for s, r in runs)
        most = max(most, inside)
    return most * TOKENS


async def replace_machines(rig: rigs.Rig) -> None:
    """Start a machine in each zone, and remove it for good, again and again."""
    for _ in range(REPLACED):
        for entry in await rig.start_entries(ENTRIES):
            entry.stop()
            rig.record.write("removed", entry=entry.name)
        rig.entries.clear()


async def load(rig: rigs.Rig) -> None:
    """Send requests to all entries at a constant rate."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    async with asyncio.TaskGroup() as group:
        for number in range(int(LOAD_S * REQUESTS_PER_S)):
            at_s = started_s + number / REQUESTS_PER_S
            await asyncio.sleep(max(0.0, at_s - loop.time()))
            for entry in rig.entries:
                group.create_task(
                    rig.ask(
                        entry,
                        "/notes/x",
                        f"{entry.name}-{number}",
                        is_prompt=True,
                        timeout_s=3.0,
                    )
                )


async def case(rig: rigs.Rig) -> bool:
    """Return whether the tenant's quota was kept."""
    notes: dict[str, Any] = rigs.route(
        "notes",
        "streaming",
        "engines",
        max_attempts=2,
        stream_resume=True,
        timeout_ms=3_000,
        target_latency_ms=500,
        gap_aim_ms=300,
    )
    configuration = rigs.configuration(7, [notes])
    configuration["tenants"][0].update(rate_per_s=RATE_PER_S, burst=BURST)
    rig.store.configure(configuration)
    for number in range(6):
        engine = Engine(rig.store, rig.record, f"i-{number}", "engines", 64)
        await engine.register()
    if rigs.with_trouble():
        await replace_machines(rig)
    await rig.start_entries(ENTRIES)
    await asyncio.sleep(SETTLE_S)
    await load(rig)
    allowed = (RATE_PER_S * WINDOW_MS // 1_000 + BURST) * (1 + OVERAGE) + SLACK
    tokens = worst_window(rig)
    rig.record.write("worst_window", tokens=tokens, allowed=allowed)
    if not tokens:
        raise RuntimeError("no request was run")
    return tokens <= allowed


rigs.main(case, FOLDER)
