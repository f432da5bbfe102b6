"""Tests of an entry process against the stand-ins."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import os
import signal
import subprocess
import sys
from typing import Any

import anyio
from anyio import abc
from anyio.streams import buffered
import httpx
import pytest
from starlette import requests
from starlette import responses

from laburnumpin import operator
from laburnumpin.core import events
from laburnumpin.core import store
from laburnumpin.standins import platform
from laburnumpin.standins import platform_documents
from laburnumpin.standins import running
from laburnumpin.standins import serving
from laburnumpin.tests import server_fakes as fakes

pytestmark = pytest.mark.anyio
CUSTOMER_KEY = "key-of-the-customer-acme"
OPERATOR_KEY = "key-of-the-operators"
HEADERS = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
STREAM_HEADERS = {**HEADERS, "Accept": "text/event-stream"}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclasses.dataclass(slots=True)
class EntryProcess:
    """An entry process; `started` is its `entry_started` log line."""

    process: abc.Process
    started: dict[str, Any]
    lines: buffered.BufferedByteReceiveStream

    @property
    def url(self) -> str:
        """Return the base URL of the caller API."""
        return f"http://{self.started['caller_address']}"

    async def log_line(self) -> dict[str, Any]:
        """Return the next line of the log."""
        line: dict[str, Any] = json.loads(
            await self.lines.receive_until(b"\n", 1_000_000)
        )
        return line


@contextlib.asynccontextmanager
async def _entry(
    platform_address: serving.Address,
) -> AsyncIterator[EntryProcess]:
    environment = {
        **os.environ,
        "LABURNUMPIN_VM_ID": "entry-1",
        "LABURNUMPIN_ZONE": "recife",
        "LABURNUMPIN_PLATFORM_URL": f"http://{platform_address}",
        "LABURNUMPIN_PLATFORM_TOKEN": "token-of-the-platform",
        "LABURNUMPIN_OPERATOR_KEY": OPERATOR_KEY,
        "LABURNUMPIN_PEER_SECRET": "secret-of-the-entries",
        "LABURNUMPIN_CALLER_PORT": "0",
        "LABURNUMPIN_OPERATOR_PORT": "0",
        "LABURNUMPIN_PEER_PORT": "0",
    }
    process = await anyio.open_process(
        [sys.executable, "-m", "laburnumpin.tests.entry_process"],
        env=environment,
        stdin=subprocess.DEVNULL,
    )
    try:
        assert process.stderr is not None
        lines = buffered.BufferedByteReceiveStream(process.stderr)
        entry = EntryProcess(process, {}, lines)
        with anyio.fail_after(fakes.WAIT_S):
            while entry.started.get("message_type") != "entry_started":
                entry.started = await entry.log_line()
        yield entry
    finally:
        if process.returncode is None:
            process.kill()
        with anyio.CancelScope(shield=True):
            await process.wait()


def _document() -> str:
    document_builder = operator.Deployment("test", entry_count=1)
    document_builder.add_zone(
        "recife", data_center="recife", region="pernambuco"
    )
    document_builder.add_model_service(
        "molde", model="m", operations=(operator.Operation("draft"),)
    )
    document_builder.add_plain_service(
        "balcao",
        operations=(operator.Operation("place", idempotent=False),),
    )
    for service in ("molde", "balcao"):
        document_builder.add_placement(
            service=service,
            zone="recife",
            vm_class="small",
            reclaimable=True,
            min_vms=0,
            max_vms=1,
            price_per_hour=1.0,
            slots=8,
        )
    document_builder.add_customer("acme", keys=(CUSTOMER_KEY,))
    return document_builder.document()


def _configure(standin: platform.Platform, **services: str) -> None:
    """Store a configuration and list an upstream for each service."""
    value = json.dumps(
        {"version": 1, "change_id": "change-1", "document": _document()}
    )
    writes = [
        store.Write("configuration", "current", value),
        store.Write("configuration", "version/000000000001", value),
    ]
    standin.tables.transact([], writes)
    for service, address in services.items():
        row = events.VmRow(
            f"vm-{service}",
            1,
            events.VmRole.UPSTREAM,
            "recife",
            "small",
            True,
            False,
            service,
            address,
        )
        standin.cloud.add(row, standin.clock.now_ms())


async def _wait_ready(client: httpx.AsyncClient, status: int = 200) -> None:
    with anyio.fail_after(fakes.WAIT_S):
        while (await client.get("/readyz")).status_code != status:
            await anyio.sleep(0.02)


async def _wait_refusal(client: httpx.AsyncClient, code: str) -> None:
    with anyio.fail_after(fakes.WAIT_S):
        while True:
            answer = await client.post(
                "/v1/services/none/none", json={}, headers=HEADERS
            )
            if answer.json()["error"]["code"] == code:
                return
            await anyio.sleep(0.02)


async def test_sigterm_lets_streams_finish_and_exits_zero() -> None:
    """Guards against a shutdown that aborts a running stream."""
    proceed = anyio.Event()

    async def engine(request: requests.Request) -> responses.Response:
        if request.url.path != "/v1/generate":
            report = {**fakes.load_report(), "model": "m"}
            return responses.JSONResponse(report)

        async def stream() -> AsyncIterator[bytes]:
            count = 0
            # A pause of 5 s would cause an inter-token timeout.
            while not proceed.is_set():
                count += 1
                parts = fakes.generation(["x"] * count, end=False)
                yield parts.split(b"\n\n")[-2] + b"\n\n"
                with anyio.move_on_after(0.05):
                    await proceed.wait()
            yield fakes.generation(["x"] * count).split(b"\n\n")[-2] + b"\n\n"

        return responses.StreamingResponse(stream())

    settings = platform_documents.PlatformSettings(vm_list_lag_ms=0)
    async with (
        fakes.serve_http(engine) as upstream,
        running.run_platform(settings) as cloud,
    ):
        _configure(cloud.standin, molde=upstream.address)
        async with (
            _entry(cloud.address) as entry,
            httpx.AsyncClient(
                base_url=entry.url, timeout=fakes.WAIT_S, trust_env=False
            ) as client,
        ):
            await _wait_ready(client)
            async with client.stream(
                "POST",
                "/v1/services/molde/draft",
                json={"prompt": "p", "max_tokens": 4_096},
                headers=STREAM_HEADERS,
            ) as response:
                received = response.aiter_text()
                text = await anext(received)
                entry.process.send_signal(signal.SIGTERM)
                await _wait_ready(client, 503)
                entry.process.send_signal(signal.SIGTERM)
                # From here on, only this stream keeps the process running.
                await _wait_refusal(client, "entry_leaving")
                proceed.set()
                async for part in received:
                    text += part
            with anyio.fail_after(fakes.WAIT_S):
                code = await entry.process.wait()
    total = text.count('{"text":"x"}')
    assert text.endswith(f'event: end\ndata: {{"total_offset":{total}}}\n\n')
    assert code == 0


async def test_non_idempotent_call_runs_once_when_its_answer_is_lost() -> None:
    """Guards against a second execution after a lost connection."""
    settings = platform_documents.PlatformSettings(vm_list_lag_ms=0)
    path = "/v1/services/balcao/place"
    async with (
        running.run_plain_service() as desk,
        running.run_platform(settings) as cloud,
    ):
        _configure(cloud.standin, balcao=str(desk.address))
        async with (
            _entry(cloud.address) as entry,
            httpx.AsyncClient(
                base_url=entry.url, timeout=fakes.WAIT_S, trust_env=False
            ) as client,
        ):
            await _wait_ready(client)
            complete = await client.post(path, json={"n": 1}, headers=HEADERS)
            desk.standin.switches.update(path="/v1/call", lose_answers=1)
            lost = await client.post(
                path,
                json={"n": 2},
                headers={**HEADERS, "Idempotency-Key": "k"},
            )
            again = await client.post(
                path,
                json={"n": 2},
                headers={**HEADERS, "Idempotency-Key": "k"},
            )
    assert json.loads(complete.json()["text"])["operation"] == "place"
    assert lost.json()["error"]["verdict"] == "may_have_run"
    assert again.json()["error"]["verdict"] == "may_have_run"
    assert desk.standin.executions.by_idempotency_key["k"] == 1
