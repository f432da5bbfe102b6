"""Tests of the operator API."""

from __future__ import annotations

import json
from typing import Any

import httpx
import pytest
from starlette import requests
from starlette import responses

from laburnumpin import exceptions
from laburnumpin.server import applying
from laburnumpin.server import entry
from laburnumpin.tests import server_fakes as fakes

pytestmark = pytest.mark.anyio
CONFIGURATION = "/operator/configuration"
CHANGE = {"base_version": 2, "change_id": "change-3", "document": "{}"}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def _operator(
    running: entry.RunningEntry, key: str = fakes.OPERATOR_KEY
) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        base_url=f"http://{running.operator_address}",
        headers={"Authorization": f"Bearer {key}"},
        timeout=fakes.WAIT_S,
        trust_env=False,
    )


async def _store(request: requests.Request) -> responses.Response:
    """Serve a configuration table with versions 1 and 2."""
    if request.url.path != "/tables/read":
        return responses.JSONResponse({"error": {"code": "refused"}}, 503)
    query = json.loads(await request.body())
    rows = []
    for key in query["keys"]:
        number = 2 if key == "current" else int(key.split("/")[1])
        value = {
            "version": number,
            "change_id": f"change-{number}",
            "document": "{}",
        }
        exists = number <= 2
        rows.append(
            {
                "table": query["table"],
                "key": key,
                "version": int(exists),
                "value": json.dumps(value) if exists else None,
            }
        )
    return responses.JSONResponse({"rows": rows})


async def test_all_paths_require_the_operator_key() -> None:
    """Guards against callers that can use the operator API."""
    async with (
        fakes.run_entry() as running,
        _operator(running, fakes.CUSTOMER_KEY) as client,
    ):
        for method, path in (
            ("GET", "/operator/status"),
            ("GET", CONFIGURATION),
            ("POST", CONFIGURATION),
            ("GET", f"{CONFIGURATION}/history"),
            ("GET", f"{CONFIGURATION}/1"),
            ("GET", "/operator/requests/entry-1.1.1"),
            ("POST", "/operator/drain"),
        ):
            answer = await client.request(method, path)
            assert answer.status_code == 401
            assert answer.json()["error"]["code"] == "unauthorized"


async def test_status_lists_upstreams_and_counters() -> None:
    """Guards against a status without version, upstreams or counters."""
    async with fakes.run_entry() as running:
        fakes.configure(running)
        await fakes.add_upstream(running.bridge, "draft", "127.0.0.1:9")
        upstreams = running.bridge.state.upstreams.by_id
        await fakes.wait_until(lambda: "vm-draft" in upstreams)
        async with _operator(running) as client:
            status = (await client.get("/operator/status")).json()
    assert status["entry"] == "entry-1"
    assert status["configuration_version"] == 1
    assert status["upstreams"][0]["upstream"] == "vm-draft"
    assert status["upstreams"][0]["in_flight"] == 0
    assert isinstance(status["counters"], list)


async def test_versions_are_read_from_the_store() -> None:
    """Guards against versions from the memory of an entry, which may be old."""
    async with fakes.serve_http(_store) as platform:
        settings = fakes.new_settings(platform_url=f"http://{platform.address}")
        async with (
            fakes.run_entry(settings) as running,
            _operator(running) as client,
        ):
            current = await client.get(CONFIGURATION)
            history = await client.get(f"{CONFIGURATION}/history")
            first = await client.get(f"{CONFIGURATION}/1")
            missing = await client.get(f"{CONFIGURATION}/3")
    assert current.json() == {
        "version": 2,
        "change_id": "change-2",
        "document": "{}",
    }
    assert history.json() == {
        "versions": [
            {"version": 2, "change_id": "change-2"},
            {"version": 1, "change_id": "change-1"},
        ]
    }
    assert first.json()["change_id"] == "change-1"
    assert missing.status_code == 404


@pytest.mark.parametrize(
    ("error", "status", "details"),
    [
        (None, 200, {}),
        (
            exceptions.ConfigurationConflictError(2, 5),
            409,
            {"base_version": 2, "current_version": 5},
        ),
        (
            exceptions.ConfigurationError(
                [exceptions.FieldError("zones", "required", "is missing")]
            ),
            422,
            {
                "fields": [
                    {
                        "field": "zones",
                        "code": "required",
                        "message": "is missing",
                    }
                ]
            },
        ),
        (exceptions.PlatformUnavailableError("HTTP 503"), 503, {}),
        (exceptions.PlatformAnswerLostError("no answer"), 503, {}),
    ],
)
async def test_changes_answer_with_the_outcome(
    monkeypatch: pytest.MonkeyPatch,
    error: exceptions.LaburnumpinError | None,
    status: int,
    details: dict[str, Any],
) -> None:
    """Guards against responses that do not tell conflicts from lost answers."""
    applied_changes = []

    async def apply(
        store: applying.TableService,
        base_version: int,
        change_id: str,
        document: str,
    ) -> int:
        del store
        applied_changes.append((base_version, change_id, document))
        if error is not None:
            raise error
        return 3

    monkeypatch.setattr(applying, "apply", apply)
    async with fakes.run_entry() as running, _operator(running) as client:
        answer = await client.post(CONFIGURATION, json=CHANGE)
    assert applied_changes == [(2, "change-3", "{}")]
    assert answer.status_code == status
    if error is None:
        assert answer.json() == {"version": 3, "change_id": "change-3"}
        return
    body = answer.json()["error"]
    assert body.pop("message") == error.message
    assert body == {"code": error.code, **details}


async def test_malformed_changes_and_an_unreachable_store_have_codes() -> None:
    """Guards against failures without an error code or fields."""
    async with fakes.run_entry() as running, _operator(running) as client:
        malformed = await client.post(
            CONFIGURATION,
            json={"base_version": True, "change_id": "", "document": None},
        )
        absent = await client.get(CONFIGURATION)
        unknown = await client.get("/operator/requests/none")
    fields = [row["field"] for row in malformed.json()["error"]["fields"]]
    assert malformed.status_code == 422
    assert fields == ["base_version", "change_id", "document"]
    assert absent.status_code == 503
    assert absent.json()["error"]["code"] == "platform_unavailable"
    assert unknown.status_code == 404


async def test_drain_makes_the_entry_not_ready() -> None:
    """Guards against a drain during which the entry reports ready."""
    async with fakes.run_entry() as running:
        fakes.configure(running)
        await fakes.wait_until(lambda: running.bridge.ready)
        async with _operator(running) as client:
            drain = await client.post("/operator/drain")
        await fakes.wait_until(lambda: not running.bridge.ready)
        async with fakes.caller(running) as client:
            readiness = await client.get("/readyz")
    assert drain.status_code == 202
    assert readiness.status_code == 503
    assert readiness.json()["reason"] == "entry_leaving"
