"""A late heartbeat of a runner that has gone makes it ready again."""

from __future__ import annotations

import asyncio
import pathlib
import sys

DIRECTORY = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent))

import harness_3 as harness  # noqa: E402

READS = "reads"
DRAIN_MS = 2_000
# The platform carries the heartbeat out so late, seconds after it was sent.
LATE_S = 1.5
# Three intervals of heartbeats, after which the platform removes an entry.
SILENCE_S = 3.6
# The runner serves for so long after it has left; some do for many seconds.
SERVES_S = 6.0
WORK_S = 0.045
REQUESTERS = 8


async def play(record: harness.Record) -> bool:
    """Return whether the runner got nothing long after it was gone."""
    arrivals: list[tuple[str, int]] = []

    async def run(
        request: harness.Message, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.headers["x-laburnumpin-attempt-id"]
        arrivals.append((attempt_id, record.now_ms()))
        record.write("i-gone", f"runs {attempt_id}")
        await _work(request, writer)

    async with harness.platform(record) as platform:
        gone = harness.Runner("i-gone", "desk", record)
        gone.serve = run
        other = harness.Runner("i-other", "desk", record)
        other.serve = _work
        for runner in (gone, other):
            await runner.start()
        platform.store.put(
            "op",
            "config",
            harness.configuration(
                1,
                [harness.route(READS, "idempotent", "desk")],
                [{"name": "desk", "health_path": "/healthz"}],
            ),
        )
        platform.register(other)
        beat = gone.registration("ready")
        platform.store.put("servers", gone.name, beat)
        # Two heartbeats later; only `seq` has changed.
        last = {**beat, "seq": beat["seq"] + 2}
        platform.store.put("servers", gone.name, last)
        await platform.start_entries(1)
        requesters = [
            asyncio.create_task(
                _send_all(platform.entries[0].address, f"read-{number}", record)
            )
            for number in range(REQUESTERS)
        ]
        await asyncio.sleep(4.0)
        # It never reports `draining`: its entry is removed.
        platform.store.unregister(gone.name)
        removed_ms = record.now_ms()
        record.write("store", "accepts that the entry of i-gone is removed")
        await asyncio.sleep(LATE_S)
        if harness.is_troubled():
            late = {**beat, "seq": beat["seq"] + 1}
            platform.store.put("servers", gone.name, late)
            record.write("store", f"carries out a late heartbeat: {late}")
            await asyncio.sleep(SILENCE_S)
            platform.store.unregister(gone.name)
            record.write("store", "removes the silent entry of i-gone")
        await asyncio.sleep(SERVES_S - LATE_S - SILENCE_S)
        for requester in requesters:
            requester.cancel()
    if not arrivals:
        raise harness.CannotRunError("the runner has never had a request")
    late_arrivals = [
        (attempt_id, at_ms - removed_ms)
        for attempt_id, at_ms in arrivals
        if at_ms > removed_ms + DRAIN_MS
    ]
    record.write("script", f"reached i-gone after the bound: {late_arrivals}")
    return not late_arrivals


async def _work(request: harness.Message, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(WORK_S)
    writer.write(harness.answer(request, 200, b"done"))


async def _send_all(address: str, name: str, record: harness.Record) -> None:
    """Send one request after the other until cancelled."""
    number = 0
    while True:
        number += 1
        found = await harness.exchange(
            address,
            harness.encode(
                f"GET /{READS}/x HTTP/1.1",
                harness.request_headers(f"{name}-{number}"),
            ),
        )
        if found.status != 200:
            record.write("requester", f"{name}-{number} gets {found.start}")
        await asyncio.sleep(0.05)


if __name__ == "__main__":
    harness.main(DIRECTORY, play)
