"""Tests of the limit on open exchanges."""

from __future__ import annotations

import anyio
import httpx
import pytest
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumpin.core import counters
from laburnumpin.server import exchanges

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_exchanges_above_the_limit_are_refused_with_a_code(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that exhaust the file descriptors."""
    monkeypatch.setattr(exchanges, "MAX_OPEN_EXCHANGES", 2)
    started = anyio.Event()
    proceed = anyio.Event()
    waiting = 0

    async def wait(request: requests.Request) -> responses.Response:
        nonlocal waiting
        waiting += 1
        if waiting == 2:
            started.set()
        await proceed.wait()
        return responses.Response()

    async def ready(request: requests.Request) -> responses.Response:
        return responses.Response()

    entry_counters = counters.Counters()
    app = exchanges.ExchangeLimit(
        applications.Starlette(
            routes=[
                routing.Route("/wait", wait),
                routing.Route("/readyz", ready),
            ]
        ),
        entry_counters,
    )
    transport = httpx.ASGITransport(app=app)
    statuses: list[int] = []
    async with httpx.AsyncClient(
        transport=transport, base_url="http://entry"
    ) as client:

        async def call() -> None:
            statuses.append((await client.get("/wait")).status_code)

        with anyio.fail_after(60):
            async with anyio.create_task_group() as callers:
                callers.start_soon(call)
                callers.start_soon(call)
                await started.wait()
                refused = await client.get("/wait")
                health = await client.get("/readyz")
                proceed.set()
            after = await client.get("/wait")
    assert statuses == [200, 200]
    assert (refused.status_code, health.status_code) == (503, 200)
    assert refused.json()["error"]["code"] == "too_many_exchanges"
    assert refused.json()["error"]["verdict"] == "not_run"
    assert after.status_code == 200
    assert entry_counters.value("refusals", "too_many_exchanges") == 1
