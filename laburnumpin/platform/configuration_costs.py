"""Costs of applying a configuration, by its routes and those that changed.

Each measurement runs in a process of its own, so that its peak of memory is
that of this one configuration.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Sequence
import concurrent.futures
import dataclasses
import enum
import gc
import json
import multiprocessing
import random
import time
import tracemalloc
from typing import Any

from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.configurations import differences
from laburnumpin.forwarding.configurations import limits
from laburnumpin.forwarding.configurations import pacing
from laburnumpin.forwarding.configurations import reader
from laburnumpin.forwarding.configurations import values
from laburnumpin.platform import clients
from laburnumpin.platform import documents
from laburnumpin.platform import long_answers
from laburnumpin.platform import program

ROUTE_COUNTS = (100, 2_000, 20_000)
CHANGED_SHARES = (0.0, 0.01, 1.0)
# Of half a core, as the block is counted in processor time of a whole one.
CORE_SHARE = 0.5
_NAME_CHARS = "abcdefghijklmnopqrstuvwxyz0123456789"
_Job = tuple[bool, int, int, "Figure"]


class Figure(enum.Enum):
    """What a process measures, as each figure's measurement affects the others.

    To measure blocks, a task takes a turn of the event loop all the time.
    """

    TIME = "time"
    BLOCKS = "blocks"
    MEMORY = "memory"


@dataclasses.dataclass(slots=True, frozen=True)
class Costs:
    """Costs of one new version.

    `whole` is whether it was decoded as a whole, as in the release before.
    `longest_block_ms` is the longest time without a turn of the event loop, in
    processor time of a whole core; `peak_bytes` is the peak of memory above
    what was held before the version. `sent_bytes` is what crosses a link to a
    peer that has the version before, and `decoded` the items decoded anew.
    """

    routes: int
    changed: int
    whole: bool
    processor_ms: float
    longest_block_ms: float
    peak_bytes: int
    sent_bytes: int
    decoded: int


def measure(
    route_counts: Sequence[int] = ROUTE_COUNTS,
    changed_shares: Sequence[float] = CHANGED_SHARES,
) -> list[Costs]:
    """Measure all numbers of routes and of changed ones, both ways."""
    found = []
    context = multiprocessing.get_context("spawn")
    for routes in route_counts:
        for changed in sorted({round(routes * s) for s in changed_shares}):
            for whole in (True, False):
                results = {}
                for figure in Figure:
                    with concurrent.futures.ProcessPoolExecutor(
                        1, mp_context=context
                    ) as executor:
                        job = (whole, routes, changed, figure)
                        results[figure] = executor.submit(run_job, job).result()
                found.append(
                    dataclasses.replace(
                        results[Figure.TIME],
                        longest_block_ms=results[
                            Figure.BLOCKS
                        ].longest_block_ms,
                        peak_bytes=results[Figure.MEMORY].peak_bytes,
                    )
                )
    return found


def run_job(job: _Job) -> Costs:
    """Measure one new version in this process."""
    whole, routes, changed, figure = job
    before = build_document(routes, 0, 1)
    after = build_document(routes, changed, 2)
    gc.set_threshold(program.GC_THRESHOLD_ALLOCATIONS)
    gc.collect()
    if figure is Figure.MEMORY:
        tracemalloc.start()
    if whole:
        return _measure_whole(routes, changed, before, after)
    return asyncio.run(_measure_sliced(routes, changed, before, after, figure))


def build_document(routes: int, changed: int, version: int) -> bytes:
    """Return a configuration whose first `changed` routes have a new time."""
    generator = random.Random(routes)
    items = []
    for number in range(routes):
        name, host, path = (
            "".join(generator.choices(_NAME_CHARS, k=7)) for _ in range(3)
        )
        items.append(
            {
                "name": f"r-{name}",
                "host": f"{host}.example",
                "path_prefix": f"/{path}/",
                "route_type": "streaming",
                "timeout_ms": 12_000 + version * (number < changed),
                "target_latency_ms": 1_245,
                "priority": 2,
                "traffic_split": [
                    {"service": "first", "weight": 90},
                    {"service": "second", "weight": 10},
                ],
                "max_attempts": 1,
                "gap_aim_ms": 500,
            }
        )
    document = {"version": version, "routes": items, "services": []}
    return json.dumps(document, separators=(",", ":")).encode()


def format_table(found: Sequence[Costs]) -> str:
    """Return a line of text for each measurement."""
    lines = [
        "routes  changed  way     cpu ms  block ms  on half a core  peak MB  "
        "sent B   decoded"
    ]
    for costs in found:
        lines.append(
            f"{costs.routes:6}  {costs.changed:7}  "
            f"{'whole' if costs.whole else 'sliced':6}"
            f"{costs.processor_ms:8.1f}{costs.longest_block_ms:10.1f}"
            f"{costs.longest_block_ms / CORE_SHARE:16.1f}"
            f"{costs.peak_bytes / 1e6:9.1f}{costs.sent_bytes:8}"
            f"{costs.decoded:10}"
        )
    return "\n".join(lines)


def _measure_whole(
    routes: int, changed: int, before: bytes, after: bytes
) -> Costs:
    """Measure what the release before did with an answer of the store."""
    current = _decode_whole(before)
    answer = _answer(after)
    gc.collect()
    held_bytes = _start_peak()
    started_s = time.process_time()
    response = clients.Response(200, [], answer)
    rows = clients._decode_rows(response.document(), 1)
    value = rows.rows[0].value or b""
    current = _decode_whole(value)
    sent = len(value)
    elapsed_ms = (time.process_time() - started_s) * 1_000
    return Costs(
        routes,
        changed,
        True,
        elapsed_ms,
        elapsed_ms,
        _peak_bytes(held_bytes),
        sent,
        len(current.routes),
    )


def _decode_whole(value: bytes) -> deployment.Deployment:
    document = untrusted.parse_json(value, limits.LONGEST_CONFIGURATION_BYTES)
    services = [
        documents._decode_service(fields)
        for fields in documents._objects(document, "services")
    ]
    return deployment.Deployment(
        document["version"],
        tuple(
            documents._decode_route(fields)
            for fields in documents._objects(document, "routes")
        ),
        {service.name: service for service in services},
        {},
        deployment.CallerLimits(),
    )


async def _measure_sliced(
    routes: int, changed: int, before: bytes, after: bytes, figure: Figure
) -> Costs:
    large_values = values.LargeValues()
    configurations = reader.ConfigurationReader(
        documents.PlatformDocuments(),
        large_values,
        limits.LONGEST_CONFIGURATION_BYTES,
    )
    await _apply(configurations, large_values, before)
    answer = _answer(after)
    gc.collect()
    held_bytes = _start_peak()
    blocks = _Blocks()
    watcher: asyncio.Task[None] | None = None
    if figure is Figure.BLOCKS:
        watcher = asyncio.create_task(blocks.watch())
        await asyncio.sleep(0)
    started_s = time.process_time()
    document, found = await pacing.run(
        long_answers.parse(answer, clients.MAX_STORE_ANSWER_BYTES)
    )
    value = clients._decode_rows(document, 1, found).rows[0].value or b""
    await _apply(configurations, large_values, value)
    elapsed_ms = (time.process_time() - started_s) * 1_000
    peak_bytes = _peak_bytes(held_bytes)
    sent = 0
    if values.is_large(value):
        hashes = [large_values.hash_of(v) for v in (before, value)]
        difference = await large_values.difference(hashes[:1], hashes[1])
        assert difference is not None
        sent = len(difference[1])
        await pacing.run(differences.decode(before, difference[1], 1 << 24))
    await asyncio.sleep(0)
    if watcher is not None:
        watcher.cancel()
    assert configurations._base is not None
    decoded_items = configurations._base.document.decoded_items
    return Costs(
        routes,
        changed,
        False,
        elapsed_ms,
        blocks.longest_ms,
        peak_bytes,
        sent,
        decoded_items,
    )


async def _apply(
    configurations: reader.ConfigurationReader,
    large_values: values.LargeValues,
    value: bytes,
) -> None:
    rows = (interfaces.Row("config", value, 1),)
    await configurations.prepare(rows)
    found = configurations.read(rows)
    assert found is not None
    configurations.set_base(found)
    large_values.set_current(rows)
    await configurations.release()


def _answer(value: bytes) -> bytes:
    row: dict[str, Any] = {
        "key": "config",
        "value": base64.b64encode(value).decode(),
        "ver": 4,
    }
    return json.dumps({"rows": [row], "ver": 4}).encode()


def _start_peak() -> int:
    """Start a new peak of the traced memory; return what is held now."""
    tracemalloc.reset_peak()
    return tracemalloc.get_traced_memory()[0]


def _peak_bytes(held_bytes: int) -> int:
    return tracemalloc.get_traced_memory()[1] - held_bytes


class _Blocks:
    """Measures the processor time between two turns of the event loop."""

    def __init__(self) -> None:
        self.longest_ms = 0.0

    async def watch(self) -> None:
        """Take a turn of the loop whenever there is one, until cancelled."""
        last_s = time.process_time()
        while True:
            await asyncio.sleep(0)
            now_s = time.process_time()
            self.longest_ms = max(self.longest_ms, (now_s - last_s) * 1_000)
            last_s = now_s
