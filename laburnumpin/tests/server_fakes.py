"""Fakes and helpers for tests of the server package."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import hashlib
import json
import socket
from typing import Any

import anyio
import httpx
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumpin.config import options
from laburnumpin.config import settings as settings_module
from laburnumpin.core import deployment
from laburnumpin.core import events
from laburnumpin.server import bridge as bridges
from laburnumpin.server import entry

# Bounds a wait for a condition; no test depends on its length.
WAIT_S = 60
CUSTOMER_KEY = "key-of-acme"
OPERATOR_KEY = "key-of-the-operators"
HEADERS = {"Authorization": f"Bearer {CUSTOMER_KEY}"}

Answer = Callable[[requests.Request], Awaitable[responses.Response]]


def new_settings(
    vm_id: str = "entry-1",
    platform_url: str = "http://127.0.0.1:9",
    seed_peers: tuple[str, ...] = (),
    peer_secret: str = "peer-secret-of-the-test",
) -> settings_module.Settings:
    """Return settings with port 0, so that the system chooses free ports."""
    return settings_module.Settings(
        vm_id=vm_id,
        zone="zone-1",
        platform_url=platform_url,
        platform_token=options.Secret("platform-token-of-the-test"),
        operator_key=options.Secret(OPERATOR_KEY),
        peer_secret=options.Secret(peer_secret),
        caller_port=0,
        operator_port=0,
        peer_port=0,
        seed_peers=seed_peers,
    )


class RecordingServer:
    """An HTTP server that records requests and answers with `answer`."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer
        self.requests: list[tuple[str, str, bytes]] = []
        self.address = ""

    async def handle(self, request: requests.Request) -> responses.Response:
        body = await request.body()
        self.requests.append((request.method, request.url.path, body))
        return await self.answer(request)

    def count(self, method: str, path: str) -> int:
        """Return the number of requests with a method and path."""
        return len([r for r in self.requests if r[:2] == (method, path)])


@contextlib.asynccontextmanager
async def serve_http(answer: Answer) -> AsyncIterator[RecordingServer]:
    """Run a `RecordingServer` on a free port."""
    recorder = RecordingServer(answer)
    methods = ["GET", "POST", "PUT", "DELETE"]
    route = routing.Route("/{path:path}", recorder.handle, methods=methods)
    listener = socket.create_server(("127.0.0.1", 0))
    recorder.address = f"127.0.0.1:{listener.getsockname()[1]}"
    config = hypercorn_config.Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.graceful_timeout = 0.1
    config.errorlog = None
    stopped = anyio.Event()
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(
            lambda: hypercorn_asyncio.serve(
                applications.Starlette(routes=[route]),  # type: ignore[arg-type]
                config,
                shutdown_trigger=stopped.wait,
            )
        )
        try:
            yield recorder
        finally:
            stopped.set()


@contextlib.asynccontextmanager
async def run_entry(
    settings: settings_module.Settings | None = None,
) -> AsyncIterator[entry.RunningEntry]:
    """Run an entry and cancel it at the end."""
    async with anyio.create_task_group() as task_group:
        running = await task_group.start(
            entry.serve, settings or new_settings()
        )
        try:
            yield running
        finally:
            task_group.cancel_scope.cancel()


def configure(running: entry.RunningEntry) -> None:
    """Set the current configuration, as confirmed by the store."""
    state = running.bridge.state
    key_hash = hashlib.sha256(CUSTOMER_KEY.encode()).hexdigest()
    operations = {"write": deployment.Operation("write")}
    current = deployment.Deployment(
        name="test",
        zones={},
        services={
            "draft": deployment.Service(
                "draft", deployment.ServiceKind.MODEL, operations
            ),
            "desk": deployment.Service(
                "desk", deployment.ServiceKind.PLAIN, operations
            ),
        },
        customers={"acme": deployment.Customer("acme", (key_hash,))},
        placements=(),
        policy=deployment.Policy(),
    )
    state.configuration.current = deployment.Configuration(
        1, "change-1", "{}", current
    )
    # In the future, because a test may take longer than the 16 s for which a
    # confirmation is valid.
    state.configuration.contact_ms = running.bridge.clock.now_ms() + 10**9


async def add_upstream(
    bridge: bridges.Bridge, service: str, address: str
) -> None:
    """Add an upstream that reports a low load."""
    now_ms = bridge.clock.now_ms()
    row = events.VmRow(
        f"vm-{service}",
        1,
        events.VmRole.UPSTREAM,
        "zone-1",
        "small",
        False,
        False,
        service,
        address,
    )
    await bridge.put(events.VmsListed(now_ms, (row,)))
    report = events.LoadReport(1, 0, 0, 0, 8, 0, 30.0, False)
    # In the future, so that the report does not expire in a slow test.
    await bridge.put(
        events.LoadReported(now_ms + 10**9, f"vm-{service}", report)
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    with anyio.fail_after(WAIT_S):
        while not condition():
            await anyio.sleep(0.005)


def caller(running: entry.RunningEntry) -> httpx.AsyncClient:
    """Return a client of the caller API."""
    return httpx.AsyncClient(
        base_url=f"http://{running.caller_address}",
        headers=HEADERS,
        timeout=WAIT_S,
        trust_env=False,
    )


def load_report() -> dict[str, Any]:
    """Return the load document of an idle upstream."""
    return {
        "incarnation": 1,
        "age_ms": 0,
        "running": 0,
        "waiting": 0,
        "slots": 8,
        "backlog_tokens": 0,
        "step_ms": 30.0,
        "leaving": False,
        "role": "",
        "model": "",
        "model_version": "",
        "order_fencing": 0,
    }


def generation(texts: list[str], end: bool = True) -> bytes:
    """Return the stream of an engine, one token for each text."""
    parts = []
    for offset, text in enumerate(texts, start=1):
        data = json.dumps({"text": text, "tokens": 1})
        parts.append(f"id: {offset}\ndata: {data}\n\n")
    if end:
        total = {
            "total_tokens": len(texts),
            "cached_prompt_tokens": 0,
            "computed_tokens": len(texts),
        }
        parts.append(f"event: end\ndata: {json.dumps(total)}\n\n")
    return "".join(parts).encode()
