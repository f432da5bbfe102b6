"""Tests of reclaimed VMs with processes on loopback."""

from __future__ import annotations

import functools
import pathlib

import anyio
import pytest

from laburnumpin import clock
from laburnumpin.tests import processes

pytestmark = pytest.mark.anyio
NOTICE_MS = 60_000
REQUESTS_AFTER_MARK = 10
TOKENS = 4


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_a_leaving_engine_gets_no_new_work_from_any_entry(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against work for an engine that is about to disappear.

    The list of VMs does not change any more, and one entry has lost the
    platform, so that it learns of the notice from its peers.
    """
    time = clock.SystemClock()
    async with processes.run(tmp_path) as running:
        platform = await running.start_platform()
        leaving, _ = await running.start_engines(2)
        address = platform.ready["address"]
        async with processes.forward(address) as forwarder:
            entries = list(await running.start_entries(2))
            cut_off = await running.start_entry(
                2,
                seeds=(entries[0],),
                platform_url=f"http://{forwarder.address}",
            )
            entries.append(cut_off)
            await running.apply(entries[0], processes.document())
            await running.wait_ready(*entries)
            await running.wait_upstreams(2, *entries)
            counts = [0 for _ in entries]
            async with anyio.create_task_group() as callers:
                for number, entry in enumerate(entries):
                    callers.start_soon(
                        _submit_forever, running, entry, number, counts
                    )
                await _wait_work_of(running, leaving, entries)
                await running.set_faults(platform, path="/vms", freeze=True)
                await forwarder.cut()
                given_ms = time.now_ms()
                await running.give_notice("engine-0", NOTICE_MS)
                for entry in entries:
                    await processes.wait_for(
                        functools.partial(_is_marked, running, entry)
                    )
                # What was under way when the last entry learned of it.
                await _wait_counts(counts, 2)
                before = await running.calls(leaving, "/v1/generate")
                await _wait_counts(counts, REQUESTS_AFTER_MARK)
                after = await running.calls(leaving, "/v1/generate")
                callers.cancel_scope.cancel()
    assert len(after) == len(before)
    last_ms = max(row["at_ms"] for row in after) - given_ms
    print(f"last new dispatch {last_ms} ms after the notice")


async def _submit_forever(
    running: processes.Processes,
    entry: processes.Process,
    number: int,
    counts: list[int],
) -> None:
    """Send requests one after the other, until cancelled."""
    while True:
        prompt = f"{number} {counts[number]}"
        received = await running.read_stream(entry, prompt, TOKENS)
        received.check_whole(prompt, TOKENS)
        counts[number] += 1


async def _wait_counts(counts: list[int], more: int) -> None:
    """Wait until each entry has answered some more requests."""
    wanted = [count + more for count in counts]

    async def is_reached() -> bool:
        return all(
            count >= goal for count, goal in zip(counts, wanted, strict=True)
        )

    await processes.wait_for(is_reached)


async def _wait_work_of(
    running: processes.Processes,
    engine: processes.Process,
    entries: list[processes.Process],
) -> None:
    """Wait until every entry has sent work to an engine."""
    names = {entry.ready["vm_id"] for entry in entries}

    async def has_all() -> bool:
        seen = set()
        for row in await running.calls(engine, "/v1/generate"):
            seen.add(row["request_id"].partition(".")[0])
        return seen >= names

    await processes.wait_for(has_all)


async def _is_marked(
    running: processes.Processes, entry: processes.Process
) -> bool:
    for row in (await running.status(entry))["upstreams"]:
        if row["upstream"] == "engine-0":
            return bool(row["leaving"])
    return False
