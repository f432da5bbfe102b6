"""Tests of the stand-ins over real sockets."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import signal
import subprocess
import sys
from typing import Any

import anyio
import httpx
import pytest

from laburnumpin.core import events
from laburnumpin.standins import batching
from laburnumpin.standins import documents
from laburnumpin.standins import engine_documents
from laburnumpin.standins import platform_documents
from laburnumpin.standins import running
from laburnumpin.standins import serving
from laburnumpin.standins import sse
from laburnumpin.standins import text

pytestmark = pytest.mark.anyio
TIMEOUT_S = 60
# For calls that the test expects to time out.
SHORT_READ_TIMEOUT = httpx.Timeout(TIMEOUT_S, read=0.2)
FAST_ENGINE = engine_documents.EngineSettings(
    batching.BatchSettings(
        base_step_ms=1.0, stream_step_ms=0.0, retention_ms=600_000
    ),
    report_lag_ms=0,
)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclasses.dataclass(slots=True)
class StreamOutput:
    """What one reader of a generation received.

    `offset` is that of the last token, and `end` the data of the `end` event.
    """

    text: str = ""
    offset: int = 0
    end: Any = None


def _generate_body(request_id: str, max_tokens: int, offset: int = 0) -> Any:
    return {
        "request_id": request_id,
        "attempt_id": f"{request_id}/a.1/1",
        "prompt": "draft the dossier",
        "max_tokens": max_tokens,
        "priority": "bulk",
        "offset": offset,
    }


def _client(address: serving.Address) -> httpx.AsyncClient:
    return httpx.AsyncClient(base_url=address.url, timeout=TIMEOUT_S)


async def _read(
    client: httpx.AsyncClient, body: Any, stop_offset: int | None = None
) -> StreamOutput:
    output = StreamOutput(offset=body["offset"])
    async with client.stream("POST", "/v1/generate", json=body) as response:
        response.raise_for_status()
        async for event in sse.read_events(response.aiter_lines()):
            if event.name == "end":
                output.end = json.loads(event.data)
                break
            output.offset = int(event.event_id)
            output.text += json.loads(event.data)["text"]
            if stop_offset is not None and output.offset >= stop_offset:
                break
    return output


@contextlib.asynccontextmanager
async def _engine(
    settings: engine_documents.EngineSettings = FAST_ENGINE,
) -> AsyncIterator[tuple[httpx.AsyncClient, httpx.AsyncClient]]:
    async with (
        running.run_engine(settings) as engine,
        _client(engine.address) as client,
        _client(engine.admin_address) as admin,
    ):
        yield client, admin


@contextlib.asynccontextmanager
async def _platform(
    settings: platform_documents.PlatformSettings | None = None,
) -> AsyncIterator[tuple[httpx.AsyncClient, httpx.AsyncClient]]:
    async with (
        running.run_platform(settings) as platform,
        _client(platform.address) as client,
        _client(platform.admin_address) as admin,
    ):
        yield client, admin


@contextlib.asynccontextmanager
async def _plain_service() -> AsyncIterator[
    tuple[httpx.AsyncClient, httpx.AsyncClient]
]:
    async with (
        running.run_plain_service() as plain,
        _client(plain.address) as client,
        _client(plain.admin_address) as admin,
    ):
        yield client, admin


async def test_stream_is_whole_and_resumes_after_a_disconnect() -> None:
    """Guards against tokens lost or repeated when a reader reconnects."""
    async with _engine() as (client, _):
        first = await _read(client, _generate_body("a.1.1", 60), stop_offset=5)
        resumed = await _read(client, _generate_body("a.1.1", 60, first.offset))
    prompt = "draft the dossier"
    assert first.text + resumed.text == text.expected_text(prompt, 0, 60)
    assert resumed.end["total_tokens"] == 60
    assert resumed.end["computed_tokens"] == 60 + 5


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
        committed = await client.post("/tables/transact", json=body)
        conflicted = await client.post("/tables/transact", json=body)
    assert committed.status_code == 200
    assert conflicted.status_code == 409
    version = committed.json()["versions"][0]
    assert conflicted.json()["conflicts"] == [
        {"table": "t", "key": "a", "version": version, "value": "1"}
    ]


async def test_plain_service_counts_each_execution() -> None:
    """Guards against repeated executions that are not counted."""
    headers = {"X-Request-Id": "a.1.1", "Idempotency-Key": "k"}
    async with _plain_service() as (client, admin):
        for _ in range(2):
            response = await client.post("/v1/call/place", headers=headers)
            response.raise_for_status()
        counts = await admin.get("/admin/executions")
    assert counts.json()["by_request_id"] == {"a.1.1": 2}
    assert counts.json()["by_idempotency_key"] == {"k": 2}


async def test_lost_answer_took_effect() -> None:
    """Guards against a lost answer whose write was not executed."""
    body = {"writes": [{"table": "t", "key": "a", "value": "1"}]}
    async with _platform() as (client, admin):
        await admin.post("/admin/faults", json={"lose_answers": 1})
        with pytest.raises(httpx.RemoteProtocolError):
            await client.post("/tables/transact", json=body)
        row = await client.get("/tables/t/a")
    assert row.json()["value"] == "1"


async def test_cut_stream_has_no_end_marker() -> None:
    """Guards against a cut stream that the client takes for complete."""
    async with _engine() as (client, admin):
        await admin.post("/admin/faults", json={"cut_streams": 1})
        with pytest.raises(httpx.RemoteProtocolError):
            await _read(client, _generate_body("a.1.1", 2_000))


async def test_silent_connection_does_not_affect_new_ones() -> None:
    """Guards against silencing connections that are opened later."""
    async with _engine() as (client, admin):
        await client.get("/v1/load")
        await admin.post("/admin/faults", json={"silence_connections": True})
        with pytest.raises(httpx.ReadTimeout):
            await client.get("/v1/load", timeout=SHORT_READ_TIMEOUT)
        response = await client.get("/v1/load")
    assert response.status_code == 200


async def test_stream_on_a_silent_connection_resumes_on_a_new_one() -> None:
    """Guards against a silenced connection that ends its generation."""
    async with _engine() as (client, admin):
        body = _generate_body("a.1.1", 100_000)
        async with client.stream(
            "POST", "/v1/generate", json=body, timeout=SHORT_READ_TIMEOUT
        ) as response:
            lines = response.aiter_lines()
            await anext(lines)
            await admin.post(
                "/admin/faults", json={"silence_connections": True}
            )
            with pytest.raises(httpx.ReadTimeout):
                async for _ in lines:
                    pass
        resumed = await _read(client, body | {"offset": 1}, stop_offset=50)
    expected = text.expected_text("draft the dossier", 1, resumed.offset)
    assert resumed.text == expected


async def test_engine_waits_for_its_weights() -> None:
    """Guards against output before the weight store admits the load."""
    async with running.run_platform() as platform:
        store = platform.standin.switches
        store.update(refuse=True, path="/weights")
        settings = dataclasses.replace(
            FAST_ENGINE, weights_url=platform.address.url, model_load_ms=0
        )
        async with _engine(settings) as (client, _):
            order = {"fencing_number": 1, "model": "m", "role": "draft"}
            ordered = await client.post("/v1/orders", json=order)
            with pytest.raises(httpx.ReadTimeout):
                await client.post(
                    "/v1/generate",
                    json=_generate_body("a.1.1", 3),
                    timeout=SHORT_READ_TIMEOUT,
                )
            store.update(refuse=False)
            output = await _read(client, _generate_body("a.1.1", 3))
            load = await client.get("/v1/load")
    assert ordered.json() == {"fencing_number": 1}
    assert output.end["total_tokens"] == 3
    assert (load.json()["model"], load.json()["order_fencing"]) == ("m", 1)


async def test_moved_cache_resumes_at_another_engine() -> None:
    """Guards against recomputing the prompt of an imported KV cache."""
    body = _generate_body("a.1.1", 40)
    async with _engine() as (source, _), _engine() as (target, _):
        first = await _read(source, body, stop_offset=5)
        exported = await source.post(
            "/v1/kv/export", json={"request_id": "a.1.1"}
        )
        imported = await target.post("/v1/kv/import", json=exported.json())
        imported.raise_for_status()
        resumed = await _read(target, _generate_body("a.1.1", 40, first.offset))
    offset = exported.json()["offset"]
    prompt = "draft the dossier"
    assert first.text + resumed.text == text.expected_text(prompt, 0, 40)
    assert resumed.end["computed_tokens"] == 40 - offset


async def test_leaving_engine_rejects_new_work_but_resumes() -> None:
    """Guards against a leaving engine that drops its existing streams."""
    async with _engine() as (client, admin):
        first = await _read(client, _generate_body("a.1.1", 30), stop_offset=2)
        await admin.post("/admin/faults", json={"leaving": True})
        new = await client.post(
            "/v1/generate", json=_generate_body("a.1.2", 30)
        )
        resumed = await _read(client, _generate_body("a.1.1", 30, first.offset))
        load = await client.get("/v1/load")
        log = await admin.get("/admin/log")
    assert (new.status_code, new.json()["error"]["code"]) == (409, "leaving")
    assert resumed.end["total_tokens"] == 30
    assert load.json()["leaving"]
    statuses = [
        (entry["request_id"], entry["status"])
        for entry in log.json()["entries"]
        if entry["path"] == "/v1/generate"
    ]
    assert statuses == [("a.1.1", 200), ("a.1.2", 409), ("a.1.1", 200)]


async def test_unknown_offset_is_an_unknown_generation() -> None:
    """Guards against a resume that restarts at the first token.

    An engine without the generation must refuse the resume, because a new
    generation would not continue at the offset.
    """
    async with _engine() as (client, _):
        response = await client.post(
            "/v1/generate", json=_generate_body("a.1.1", 30, offset=3)
        )
    assert response.status_code == 404
    assert response.json()["error"]["code"] == "unknown_generation"


async def test_recomputed_stream_starts_at_the_offset() -> None:
    """Guards against a recomputed stream that repeats or skips tokens."""
    async with _engine() as (client, _):
        body = _generate_body("a.1.1", 30, offset=20) | {"recompute": True}
        output = await _read(client, body)
    assert output.text == text.expected_text("draft the dossier", 20, 30)
    assert output.end["computed_tokens"] == 30 + 5


async def test_cancelled_stream_ends_with_an_error() -> None:
    """Guards against a cancelled stream that looks complete or hangs."""
    received: list[sse.ServerEvent] = []
    async with _engine() as (client, _):
        body = _generate_body("a.1.1", 100_000)
        async with client.stream("POST", "/v1/generate", json=body) as response:
            async for event in sse.read_events(response.aiter_lines()):
                if not received:
                    await client.delete("/v1/generate/a.1.1")
                received.append(event)
        load = await client.get("/v1/load")
    assert received[-1].name == "error"
    assert load.json()["running"] == 0


async def test_frozen_platform_executes_after_the_client_timed_out() -> None:
    """Guards against a freeze that drops the write of a timed-out call.

    The write is executed when the freeze ends, so that a time-out does not
    show that a call was not executed.
    """
    body = {"writes": [{"table": "t", "key": "a", "value": "1"}]}
    async with _platform() as (client, admin):
        await admin.post(
            "/admin/faults", json={"freeze": True, "path": "/tables/transact"}
        )
        with pytest.raises(httpx.ReadTimeout):
            await client.post(
                "/tables/transact", json=body, timeout=SHORT_READ_TIMEOUT
            )
        before = await client.get("/tables/t/a")
        await admin.post("/admin/faults", json={"freeze": False})
        row = before
        with anyio.fail_after(TIMEOUT_S):
            while row.json()["version"] == 0:
                row = await client.get("/tables/t/a")
    assert before.json()["version"] == 0
    assert row.json()["value"] == "1"


async def test_refused_transaction_has_no_effect() -> None:
    """Guards against a refused write that takes effect."""
    body = {"writes": [{"table": "t", "key": "a", "value": "1"}]}
    async with _platform() as (client, admin):
        await admin.post("/admin/faults", json={"refuse": True})
        refused = await client.post("/tables/transact", json=body)
        await admin.post("/admin/faults", json={"refuse": False})
        row = await client.get("/tables/t/a")
    assert refused.status_code == 503
    assert row.json()["version"] == 0


async def test_writes_over_the_rate_are_rejected() -> None:
    """Guards against a table store without a rate limit."""
    settings = platform_documents.PlatformSettings(writes_per_s=0.001)
    body = {"writes": [{"table": "t", "key": "a", "value": "1"}]}
    statuses = []
    async with _platform(settings) as (client, _):
        for _ in range(3):
            response = await client.post("/tables/transact", json=body)
            statuses.append(response.status_code)
    assert statuses == [200, 429, 429]


async def test_vm_rows_and_notices_keep_their_fields() -> None:
    """Guards against JSON documents that differ from the core's events."""
    row = events.VmRow(
        "e1", 7, events.VmRole.ENTRY, "Howrah", "small", True, False
    )
    document = documents.encode(row)
    settings = platform_documents.PlatformSettings(vm_list_lag_ms=1)
    async with _platform(settings) as (client, admin):
        await admin.post("/admin/vms", json={"vms": [document]})
        await admin.post(
            "/admin/notices", json={"zone": "Howrah", "remaining_ms": 90_000}
        )
        notices = (await client.get("/notices")).json()["notices"]
        listed: Any = []
        with anyio.fail_after(TIMEOUT_S):
            while not listed:
                listed = (await client.get("/vms")).json()["vms"]
    assert [(notice["vm_id"], notice["incarnation"]) for notice in notices] == [
        ("e1", 7)
    ]
    assert 0 < notices[0]["remaining_ms"] <= 90_000
    assert listed[0] | {"leaving": False} == document


async def test_failed_test_body_raises_its_own_error() -> None:
    """Guards against a shutdown that hides or wraps the error of a test."""
    with pytest.raises(LookupError):
        async with _engine() as (client, _):
            await client.get("/v1/load")
            raise LookupError


async def test_process_prints_its_address_and_ends_on_sigterm() -> None:
    """Guards against a process without a known address or a clean exit."""
    program = (
        "from laburnumpin.commands import standin\n"
        "from laburnumpin.standins import plain_service, running\n"
        "standin.run_plain_service("
        "plain_service.PlainSettings(), running.Binding())\n"
    )
    async with await anyio.open_process(
        [sys.executable, "-c", program], stderr=subprocess.DEVNULL
    ) as process:
        assert process.stdout is not None
        with anyio.fail_after(TIMEOUT_S):
            ready = json.loads(await process.stdout.receive())
            async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
                response = await client.get(
                    f"http://{ready['address']}/v1/load"
                )
            process.send_signal(signal.SIGTERM)
            status = await process.wait()
    assert response.json()["incarnation"] == ready["incarnation"]
    assert status == 0
