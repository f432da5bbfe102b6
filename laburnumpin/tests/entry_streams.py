"""Streams through one entry process while something happens to it."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random

import anyio

from laburnumpin import clock
from laburnumpin.platform import standins
from laburnumpin.soak import calls
from laburnumpin.soak import processes
from laburnumpin.tests import processes as test_processes

STREAMS = 4
KEY = "key-1"
# Far above the duration of any wait.
TIMEOUT_S = test_processes.WAIT_TIMEOUT_S


async def read_streams(
    directory: pathlib.Path,
    disturb: Callable[[processes.EntryProcess], Awaitable[None]],
) -> dict[str, bytes]:
    """Disturb an entry while it relays streams.

    Returns the bodies that the callers received, by request id; a body that
    did not end properly is empty.
    """
    executions: list[standins.Execution] = []
    received: dict[str, bytes] = {}
    store = standins.Store(random.Random(1))
    runner = standins.Runner(
        "engine-1",
        "engines",
        executions,
        clock.SystemClock().now_ms,
        random.Random(1),
    )

    async def read_stream(address: str, request_id: str) -> None:
        answer = await calls.call(
            address, "/drafts/x", request_id, KEY, is_stream=True
        )
        received[request_id] = answer.body if answer.complete else b""

    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as task_group:
            store_address = await task_group.start(standins.serve, store.handle)
            store.register(
                runner, await task_group.start(standins.serve, runner.handle)
            )
            store.configure(1, "v1")
            entry = processes.EntryProcess(
                "entry-0", "a", directory, store_address
            )
            entry.start()
            try:
                await _wait_until_serving(entry)
                async with anyio.create_task_group() as callers:
                    for number in range(STREAMS):
                        callers.start_soon(
                            read_stream, entry.address, f"long{number}"
                        )
                    while not _have_all_begun(executions):
                        await anyio.sleep(test_processes.POLL_INTERVAL_S)
                    await disturb(entry)
            finally:
                entry.kill()
            task_group.cancel_scope.cancel()
    return received


async def _wait_until_serving(entry: processes.EntryProcess) -> None:
    number = 0
    while True:
        number += 1
        answer = await calls.call(
            entry.address, "/drafts/x", f"start{number}", KEY, is_stream=True
        )
        if answer.status == 200:
            return
        await anyio.sleep(test_processes.POLL_INTERVAL_S)


async def wait_for_log(
    entry: processes.EntryProcess, text: str, count: int = 1
) -> None:
    """Wait until at least `count` lines of an entry's log have a text."""
    while entry.log_text().count(text) < count:
        await anyio.sleep(test_processes.POLL_INTERVAL_S)


def whole_stream(request_id: str) -> bytes:
    """Return all events of a stream."""
    count = standins.event_count(request_id)
    return b"".join(
        standins.event(request_id, number) for number in range(1, count + 1)
    )


def _have_all_begun(executions: list[standins.Execution]) -> bool:
    begun = {execution.request_id for execution in executions}
    return all(f"long{number}" in begun for number in range(STREAMS))
