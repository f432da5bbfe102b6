"""The stand-in of the store."""

from __future__ import annotations

import json
import random

import anyio

from laburnumpin.platform import standins


def test_waits_for_changes_lose_no_row() -> None:
    """Guards against an answer with the version of a row that it lacks."""
    lost = []

    async def wait(store: standins.Store, wait_ms: int) -> None:
        before = store.version
        query = {
            "table": "servers",
            "after_revision": str(before),
            "wait_ms": str(wait_ms),
        }
        _, _, body = await store._read_changes(query)
        document = json.loads(body)
        if document["ver"] > before and not document["rows"]:
            lost.append(wait_ms)

    async def main() -> None:
        for wait_ms in range(1, 41):
            store = standins.Store(random.Random(1))
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(wait, store, wait_ms)
                await anyio.sleep(wait_ms / 1_000)
                store.put_registration("u1", 1)

    anyio.run(main)
    assert not lost
