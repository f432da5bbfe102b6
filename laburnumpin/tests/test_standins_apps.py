"""Tests of the stand-ins over real sockets."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
from typing import Any

import anyio
import httpx
import pytest

from laburnumpin.standins import batching
from laburnumpin.standins import engine_documents
from laburnumpin.standins import running
from laburnumpin.standins import sse
from laburnumpin.standins import text

pytestmark = pytest.mark.anyio
FAST = engine_documents.EngineSettings(
    batching.BatchSettings(base_step_ms=1.0, stream_step_ms=0.0),
    report_lag_ms=0,
)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclasses.dataclass(slots=True)
class Answer:
    """What one reader of a generation received."""

    text: str = ""
    offset: int = 0
    end: Any = None


def _body(request_id: str, max_tokens: int, offset: int = 0) -> Any:
    return {
        "request_id": request_id,
        "attempt_id": f"{request_id}/a.1/1",
        "prompt": "draft the dossier",
        "max_tokens": max_tokens,
        "priority": "bulk",
        "offset": offset,
    }


async def _read(
    client: httpx.AsyncClient, body: Any, stop_at: int | None = None
) -> Answer:
    answer = Answer(offset=body["offset"])
    async with client.stream("POST", "/v1/generate", json=body) as response:
        response.raise_for_status()
        async for event in sse.read_events(response.aiter_lines()):
            if event.name == "end":
                answer.end = json.loads(event.data)
                break
            answer.offset = int(event.event_id)
            answer.text += json.loads(event.data)["text"]
            if stop_at is not None and answer.offset >= stop_at:
                break
    return answer


@contextlib.asynccontextmanager
async def _engine(
    settings: engine_documents.EngineSettings = FAST,
) -> AsyncIterator[tuple[httpx.AsyncClient, httpx.AsyncClient]]:
    async with (
        running.run_engine(settings) as engine,
        httpx.AsyncClient(base_url=engine.address.url) as client,
        httpx.AsyncClient(base_url=engine.admin_address.url) as admin,
    ):
        yield client, admin


@contextlib.asynccontextmanager
async def _platform() -> AsyncIterator[
    tuple[httpx.AsyncClient, httpx.AsyncClient]
]:
    async with (
        running.run_platform() as platform,
        httpx.AsyncClient(base_url=platform.address.url) as client,
        httpx.AsyncClient(base_url=platform.admin_address.url) as admin,
    ):
        yield client, admin


@contextlib.asynccontextmanager
async def _plain() -> AsyncIterator[
    tuple[httpx.AsyncClient, httpx.AsyncClient]
]:
    async with (
        running.run_plain_service() as plain,
        httpx.AsyncClient(base_url=plain.address.url) as client,
        httpx.AsyncClient(base_url=plain.admin_address.url) as admin,
    ):
        yield client, admin


async def test_stream_is_whole_and_resumes_after_a_disconnect() -> None:
    """Guards against tokens lost or repeated when a reader comes back."""
    async with _engine() as (client, _):
        first = await _read(client, _body("a.1.1", 60), stop_at=5)
        rest = await _read(client, _body("a.1.1", 60, first.offset))
    prompt = "draft the dossier"
    assert first.text + rest.text == text.expected_text(prompt, 0, 60)
    assert rest.end["total_tokens"] == 60
    assert rest.end["computed_tokens"] == 60 + 5


async def test_platform_conflict_names_the_rows() -> None:
    """Guards against a conditional write that takes effect in part."""
    body = {
        "conditions": [{"table": "t", "key": "a", "version": 0}],
        "writes": [
            {"table": "t", "key": "a", "value": "1"},
            {"table": "t", "key": "b", "value": "2"},
        ],
    }
    async with _platform() as (client, _):
        won = await client.post("/tables/transact", json=body)
        lost = await client.post("/tables/transact", json=body)
    assert won.status_code == 200
    assert lost.status_code == 409
    version = won.json()["versions"][0]
    assert lost.json()["conflicts"] == [
        {"table": "t", "key": "a", "version": version, "value": "1"}
    ]


async def test_plain_service_counts_each_execution() -> None:
    """Guards against a second run that the counts do not show."""
    headers = {"X-Request-Id": "a.1.1", "Idempotency-Key": "k"}
    async with _plain() as (client, admin):
        for _ in range(2):
            response = await client.post("/v1/call/place", headers=headers)
            response.raise_for_status()
        counts = await admin.get("/admin/executions")
    assert counts.json()["by_request_id"] == {"a.1.1": 2}
    assert counts.json()["by_idempotency_key"] == {"k": 2}


async def test_lost_answer_took_effect() -> None:
    """Guards against a lost answer that also loses the write."""
    body = {"writes": [{"table": "t", "key": "a", "value": "1"}]}
    async with _platform() as (client, admin):
        await admin.post("/admin/faults", json={"lose_answers": 1})
        with pytest.raises(httpx.RemoteProtocolError):
            await client.post("/tables/transact", json=body)
        row = await client.get("/tables/t/a")
    assert row.json()["value"] == "1"


async def test_cut_stream_has_no_end_marker() -> None:
    """Guards against a cut that looks like a complete answer."""
    async with _engine() as (client, admin):
        await admin.post("/admin/faults", json={"cut_streams": 1})
        with pytest.raises(httpx.RemoteProtocolError):
            await _read(client, _body("a.1.1", 2_000))


async def test_silent_connection_leaves_new_ones_alone() -> None:
    """Guards against a silence that a new connection cannot avoid."""
    async with _engine() as (client, admin):
        await client.get("/v1/load")
        await admin.post("/admin/faults", json={"silence_connections": True})
        with pytest.raises(httpx.ReadTimeout):
            await client.get("/v1/load", timeout=0.2)
        with anyio.fail_after(30):
            response = await client.get("/v1/load", timeout=30)
    assert response.status_code == 200
