"""Tests of the caller API together with the reducer loop."""

from __future__ import annotations

import json
import pathlib
import re

import anyio
import pytest
from starlette import requests
from starlette import responses

import laburnumpin
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import reducer
from laburnumpin.core import state as entry_state
from laburnumpin.server import caller_errors
from laburnumpin.server import caller_input
from laburnumpin.tests import server_fakes as fakes

pytestmark = pytest.mark.anyio
CORE = pathlib.Path(laburnumpin.__file__).parent / "core"
SUBMIT = "/v1/services/draft/write"
BODY = {"prompt": "Write a draft.", "max_tokens": 8}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def _engine(request: requests.Request) -> responses.Response:
    if request.url.path == "/v1/generate":
        return responses.Response(
            fakes.generation(["one ", "two"]), media_type="text/event-stream"
        )
    return responses.JSONResponse(fakes.load_report())


async def _desk(request: requests.Request) -> responses.Response:
    if request.url.path == "/v1/call/write":
        return responses.JSONResponse({"order": 7})
    return responses.JSONResponse(fakes.load_report())


async def test_streamed_answer_has_ids_and_an_end_event() -> None:
    """Guards against streams without event ids or an end event.

    A caller could not resume them, or tell their end from a lost connection.
    """
    async with fakes.serve_http(_engine) as engine, fakes.run_entry() as entry:
        fakes.configure(entry)
        await fakes.add_upstream(entry.bridge, "draft", engine.address)
        async with fakes.caller(entry) as client:
            answer = await client.post(
                SUBMIT, json=BODY, headers={"Accept": "text/event-stream"}
            )
            request_id = answer.headers["x-request-id"]
            resumed = await client.get(
                f"/v1/requests/{request_id}/output",
                headers={
                    "Accept": "text/event-stream",
                    "Last-Event-ID": "1",
                },
            )
    assert answer.text == (
        'id: 1\ndata: {"text":"one "}\n\n'
        'id: 2\ndata: {"text":"two"}\n\n'
        'id: 2\nevent: end\ndata: {"total_offset":2}\n\n'
    )
    assert resumed.text == (
        'id: 2\ndata: {"text":"two"}\n\n'
        'id: 2\nevent: end\ndata: {"total_offset":2}\n\n'
    )


async def test_complete_and_async_answers_of_a_plain_service() -> None:
    """Guards against output that is truncated or discarded too early."""
    async with fakes.serve_http(_desk) as desk, fakes.run_entry() as entry:
        fakes.configure(entry)
        await fakes.add_upstream(entry.bridge, "desk", desk.address)
        async with fakes.caller(entry) as client:
            path = "/v1/services/desk/write"
            complete = await client.post(path, json={"item": 1})
            accepted = await client.post(
                path, json={"item": 2}, headers={"Prefer": "respond-async"}
            )
            location = accepted.headers["location"]
            collected = await client.get(f"{location}/output")
            status = await client.get(location)
    assert json.loads(complete.json()["text"]) == {"order": 7}
    assert complete.json()["total_offset"] == 1
    assert accepted.status_code == 202
    assert json.loads(collected.json()["text"]) == {"order": 7}
    assert status.json()["phase"] == "ended"
    assert status.json()["verdict"] == "ran"


async def test_refusals_have_codes_and_verdicts() -> None:
    """Guards against refusals without a status, code or verdict."""
    async with fakes.run_entry() as entry, fakes.caller(entry) as client:
        unconfigured = await client.post(SUBMIT, json=BODY)
        fakes.configure(entry)
        unauthorized = await client.post(
            SUBMIT, json=BODY, headers={"Authorization": "Bearer other"}
        )
        invalid = await client.post(
            SUBMIT,
            json={"prompt": "", "max_tokens": 0},
            headers={
                "X-Deadline-Ms": "3600001",
                "X-Priority": "soon",
                "Idempotency-Key": "a b",
            },
        )
        surrogate = await client.post(
            SUBMIT, content=b'{"prompt": "\\ud800", "max_tokens": 1}'
        )
        too_long = await client.post(SUBMIT, content=b" " * (1024 * 1024 + 1))
        service = await client.post("/v1/services/none/write", json={})
        request = await client.get("/v1/requests/entry-1.1.1/output")
        path = await client.get("/v1/none")
    answers = [unconfigured, unauthorized, invalid, too_long, service, path]
    assert [answer.status_code for answer in answers] == [
        503,
        401,
        400,
        413,
        404,
        404,
    ]
    for answer in answers:
        assert answer.json()["error"]["verdict"] == "not_run"
    assert unconfigured.headers["retry-after"] == "1"
    assert [row["field"] for row in invalid.json()["error"]["fields"]] == [
        "prompt",
        "max_tokens",
        "Idempotency-Key",
        "X-Deadline-Ms",
        "X-Priority",
    ]
    assert surrogate.json()["error"]["fields"][0]["field"] == "prompt"
    assert service.json()["error"]["code"] == "unknown_service"
    # A request with an unknown id may have run at an entry that failed.
    assert request.status_code in (404, 503)
    assert request.json()["error"]["verdict"] == "may_have_run"


def test_every_failure_code_has_an_http_status() -> None:
    """Guards against failure codes that get status 500 or 503 by default."""
    codes = {failure.value for failure in events.AttemptFailure}
    for path in CORE.glob("*.py"):
        text = path.read_text()
        codes.update(re.findall(r'(?:Failure|_refusal)\(\s*"([a-z_]+)"', text))
        codes.update(re.findall(r'event, "([a-z_]+)", "', text))
    lifecycle = (CORE / "lifecycle.py").read_text()
    codes.update(re.findall(r'return "([a-z_]+)"', lifecycle))
    assert {"entry_leaving", "unknown_service", "claim_held"} <= codes
    assert codes - caller_errors.STATUS_BY_CODE.keys() == set()


async def test_unfinished_body_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that stop sending but hold their connection."""
    monkeypatch.setattr(caller_input, "BODY_TIMEOUT_MS", 20)

    head = (
        f"POST {SUBMIT} HTTP/1.1\r\nHost: entry\r\nContent-Length: 9\r\n"
        f"Authorization: Bearer {fakes.CUSTOMER_KEY}\r\n\r\n{{"
    )
    async with fakes.run_entry() as entry:
        fakes.configure(entry)
        host, port = entry.caller_address.split(":")
        with anyio.fail_after(fakes.WAIT_S):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(head.encode())
                answer = await stream.receive()
    assert answer.startswith(b"HTTP/1.1 408")


async def test_request_continues_when_its_caller_disconnects() -> None:
    """Guards against accepted requests that end with the connection."""
    proceed = anyio.Event()

    async def answer(request: requests.Request) -> responses.Response:
        if request.url.path == "/v1/generate":
            await proceed.wait()
        return await _engine(request)

    async with fakes.serve_http(answer) as engine, fakes.run_entry() as entry:
        fakes.configure(entry)
        await fakes.add_upstream(entry.bridge, "draft", engine.address)
        async with fakes.caller(entry) as client:
            async with client.stream(
                "POST",
                SUBMIT,
                json=BODY,
                headers={"Accept": "text/event-stream"},
            ) as stream:
                request_id = stream.headers["x-request-id"]
                readers = entry.bridge.state.subscriptions.by_id
                await fakes.wait_until(lambda: len(readers) == 1)
            await fakes.wait_until(lambda: not readers)
            proceed.set()
            output = await client.get(f"/v1/requests/{request_id}/output")
    assert output.json()["text"] == "one two"


async def test_reducer_exception_is_answered_and_does_not_end_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reducer exception that ends the process.

    The caller must also get a response.
    """
    reduce = reducer.reduce

    def fail(
        state: entry_state.EntryState, event: events.Event
    ) -> list[effects.Effect]:
        if isinstance(event, events.RequestArrived):
            raise ValueError("a fault")
        return reduce(state, event)

    monkeypatch.setattr(reducer, "reduce", fail)
    async with fakes.run_entry() as entry, fakes.caller(entry) as client:
        fakes.configure(entry)
        answer = await client.post(SUBMIT, json=BODY)
        again = await client.get("/readyz")
    assert answer.status_code == 500
    assert answer.json()["error"]["code"] == "internal_error"
    # The request may have been registered before the exception.
    assert answer.json()["error"]["verdict"] == "may_have_run"
    assert again.status_code in (200, 503)


async def test_caller_can_cancel() -> None:
    """Guards against generations that continue after a cancellation."""

    async def answer(request: requests.Request) -> responses.Response:
        if request.url.path == "/v1/generate":
            await anyio.sleep_forever()
        return responses.JSONResponse(fakes.load_report())

    async with fakes.serve_http(answer) as engine, fakes.run_entry() as entry:
        fakes.configure(entry)
        await fakes.add_upstream(entry.bridge, "draft", engine.address)
        async with fakes.caller(entry) as client:
            accepted = await client.post(
                SUBMIT, json=BODY, headers={"Prefer": "respond-async"}
            )
            location = accepted.headers["location"]
            await fakes.wait_until(
                lambda: engine.count("POST", "/v1/generate") == 1
            )
            cancelled = await client.delete(location)
            output = await client.get(f"{location}/output")
            request_id = accepted.json()["request_id"]
            await fakes.wait_until(
                lambda: (
                    engine.count("DELETE", f"/v1/generate/{request_id}") == 1
                )
            )
    assert cancelled.json()["outcome"]["error"]["code"] == "cancelled"
    assert output.status_code == 409
