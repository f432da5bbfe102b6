"""Measurements of the CPU time and bytes of control plane network calls.

The remote side runs in a thread with its own event loop, so that only the CPU
time of the measuring thread is counted.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import re
import threading
import time

import anyio
from anyio import from_thread
import httpx
import websockets.asyncio.client
import websockets.asyncio.server

from laburnumpin.bench import slopes
from laburnumpin.core import events
from laburnumpin.core import messages
from laburnumpin.server import codec
from laburnumpin.server import documents
from laburnumpin.server import http_calls
from laburnumpin.standins import engine
from laburnumpin.standins import engine_documents
from laburnumpin.standins import running

CALL_COUNTS = (50, 100, 200, 400)
LOOPBACK = "127.0.0.1"

Exchange = Callable[[], Awaitable[None]]


def load_poll_time(repetitions: int = slopes.REPETITIONS) -> slopes.Slope:
    """Measure the CPU time of load polls over a reused connection."""
    with from_thread.start_blocking_portal() as portal:
        context = portal.wrap_async_context_manager(
            running.run_engine(engine_documents.EngineSettings())
        )
        with context as started:
            return _measure_counts(
                "load_poll_time",
                "poll",
                repetitions,
                lambda count: anyio.run(_cpu_time_of_polls, started, count),
            )


def load_poll_bytes() -> int:
    """Return the bytes of a load poll and its response, headers included."""
    with from_thread.start_blocking_portal() as portal:
        context = portal.wrap_async_context_manager(
            running.run_engine(engine_documents.EngineSettings())
        )
        with context as started:
            return anyio.run(_count_poll_bytes, started)


def digest_link_time(
    digest: messages.Digest, repetitions: int = slopes.REPETITIONS
) -> slopes.Slope:
    """Measure the CPU time to send a digest and receive one over a link."""
    data = codec.encode(digest)

    async def echo(link: websockets.asyncio.server.ServerConnection) -> None:
        async for message in link:
            await link.send(message)

    async def serve(
        ready: threading.Event, ports: list[int], stop: anyio.Event
    ) -> None:
        async with websockets.asyncio.server.serve(
            echo, LOOPBACK, 0, compression=None
        ) as server:
            ports.append(next(iter(server.sockets)).getsockname()[1])
            ready.set()
            await stop.wait()

    with from_thread.start_blocking_portal() as portal:
        ready = threading.Event()
        ports: list[int] = []
        stop = portal.call(anyio.Event)
        served = portal.start_task_soon(serve, ready, ports, stop)
        ready.wait()
        try:
            return _measure_counts(
                "digest_link_time",
                "exchange",
                repetitions,
                lambda count: anyio.run(
                    _cpu_time_of_digests, ports[0], data, count
                ),
            )
        finally:
            portal.call(stop.set)
            served.result()


def resident_bytes() -> int:
    """Return the resident memory of this process; works on Linux only."""
    status = pathlib.Path("/proc/self/status").read_text()
    match = re.search(r"VmRSS:\s+(\d+) kB", status)
    assert match is not None
    return int(match.group(1)) * 1_024


def _measure_counts(
    name: str,
    per: str,
    repetitions: int,
    measure: Callable[[int], float],
) -> slopes.Slope:
    samples = []
    for count in CALL_COUNTS:
        for _ in range(repetitions):
            samples.append(slopes.Sample(count, measure(count)))
    return slopes.fit(name, "s", per, samples)


async def _cpu_time_of_polls(
    started: running.Running[engine.Engine], count: int
) -> float:
    address = http_calls.url(str(started.address), "/v1/load")
    async with http_calls.new_client(reuse=True) as client:

        async def poll() -> None:
            response = await client.get(address)
            documents.convert(
                documents.parse_object(response.content), events.LoadReport
            )

        return await _cpu_time_of_exchanges(poll, count)


async def _count_poll_bytes(started: running.Running[engine.Engine]) -> int:
    address = http_calls.url(str(started.address), "/v1/load")
    async with http_calls.new_client(reuse=True) as client:
        response = await client.get(address)
    return _request_bytes(response.request) + _response_bytes(response)


def _request_bytes(request: httpx.Request) -> int:
    line = len(f"{request.method} {request.url.path} HTTP/1.1\r\n")
    return line + _header_bytes(request.headers) + len(request.content)


def _response_bytes(response: httpx.Response) -> int:
    line = len("HTTP/1.1 200 \r\n")
    return line + _header_bytes(response.headers) + len(response.content)


def _header_bytes(headers: httpx.Headers) -> int:
    total = len("\r\n")
    for name, value in headers.raw:
        total += len(name) + len(value) + len(": \r\n")
    return total


async def _cpu_time_of_digests(port: int, data: bytes, count: int) -> float:
    async with websockets.asyncio.client.connect(
        f"ws://{LOOPBACK}:{port}", compression=None
    ) as link:

        async def exchange() -> None:
            await link.send(data)
            received = await link.recv(decode=False)
            codec.decode(received)

        return await _cpu_time_of_exchanges(exchange, count)


async def _cpu_time_of_exchanges(exchange: Exchange, count: int) -> float:
    # The first exchange opens the connection and is not measured.
    await exchange()
    start = time.thread_time()
    for _ in range(count):
        await exchange()
    return time.thread_time() - start
