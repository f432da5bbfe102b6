"""Tests of the load tool against a stub of an entry's caller API."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import json

import anyio
import pytest
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumpin import exceptions
from laburnumpin.commands import load
from laburnumpin.standins import serving
from laburnumpin.standins import text

pytestmark = pytest.mark.anyio
CUT_AFTER_TOKENS = 3


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class EntryStub:
    """An entry that answers with the expected text of the engine stand-in.

    The first stream of a request ends after `CUT_AFTER_TOKENS` tokens without
    an `end` event; a resumed stream is complete. With `prompt_override` the
    text belongs to that prompt instead.
    """

    def __init__(self, prompt_override: str | None = None) -> None:
        self._prompt_override = prompt_override
        self._calls: dict[str, tuple[str, int]] = {}

    def app(self) -> applications.Starlette:
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/v1/services/{service}/{operation}",
                    self._submit,
                    methods=["POST"],
                ),
                routing.Route("/v1/requests/{request_id}/output", self._output),
            ]
        )

    async def _submit(self, request: requests.Request) -> responses.Response:
        body = await request.json()
        request_id = f"e.1.{len(self._calls) + 1}"
        prompt = self._prompt_override or body["prompt"]
        self._calls[request_id] = (prompt, body["max_tokens"])
        headers = {"X-Request-Id": request_id}
        if request.path_params["operation"] == "refuse":
            error = {"code": "customer_rate", "verdict": "not_run"}
            return responses.JSONResponse({"error": error}, 429)
        if request.headers.get("Accept") == "text/event-stream":
            return self._stream(request_id, 0, CUT_AFTER_TOKENS)
        answer = text.expected_text(prompt, 0, body["max_tokens"])
        return responses.JSONResponse({"text": answer}, headers=headers)

    async def _output(self, request: requests.Request) -> responses.Response:
        request_id = request.path_params["request_id"]
        start = int(request.headers["Last-Event-ID"])
        return self._stream(request_id, start, self._calls[request_id][1])

    def _stream(
        self, request_id: str, start: int, end: int
    ) -> responses.Response:
        prompt, max_tokens = self._calls[request_id]
        parts = []
        for index in range(start, end):
            token = text.expected_text(prompt, index, index + 1)
            data = json.dumps({"text": token})
            parts.append(f"id: {index + 1}\ndata: {data}\n\n")
        if end == max_tokens:
            parts.append('event: end\ndata: {"total": 0}\n\n')
        return responses.Response(
            "".join(parts),
            media_type="text/event-stream",
            headers={"X-Request-Id": request_id},
        )


@contextlib.asynccontextmanager
async def _serve(entry: EntryStub) -> AsyncIterator[str]:
    listener = serving.Listener("127.0.0.1", 0)
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(serving.serve, entry.app(), listener, stop)
        try:
            yield listener.address.url
        finally:
            stop.set()


def _settings(
    url: str, streamed: bool, operation: str = "draft"
) -> load.LoadSettings:
    target = load.Target("dossier", operation, streamed=streamed, max_tokens=8)
    return load.LoadSettings(
        (url,), "key", (target,), requests=4, rate_per_s=1_000
    )


@pytest.mark.parametrize("streamed", [True, False])
async def test_whole_answers_are_ok(streamed: bool) -> None:
    """Guards against complete answers that are counted as incomplete.

    Each stream ends early, so a streamed answer is complete only if the
    tool resumes it at its offset.
    """
    async with _serve(EntryStub()) as url:
        report = await load.send_load(_settings(url, streamed))
    assert report.all_ok
    assert report.resumed == (4 if streamed else 0)
    assert report.first_token_ms.count == (4 if streamed else 0)


@pytest.mark.parametrize("streamed", [True, False])
async def test_answer_to_another_prompt_is_wrong(streamed: bool) -> None:
    """Guards against accepting an answer that belongs to another prompt."""
    async with _serve(EntryStub("another prompt")) as url:
        report = await load.send_load(_settings(url, streamed))
    assert report.outcomes == {"wrong_answer": 4}
    assert len(report.wrong_answers) == 4


async def test_rejections_are_counted_by_code() -> None:
    """Guards against rejections that are counted as lost answers."""
    async with _serve(EntryStub()) as url:
        report = await load.send_load(_settings(url, True, "refuse"))
    assert report.outcomes == {"customer_rate": 4}
    assert report.verdicts == {"not_run": 4}


def test_load_beyond_loopback_is_rejected() -> None:
    """Guards against load that is sent to other machines."""
    settings = _settings("http://192.0.2.1:80", True)
    with pytest.raises(exceptions.ConfigurationError, match="loopback"):
        load.check(settings)
