"""Tests of the verdicts and answers of calls to upstreams."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import socket
from typing import Any

import anyio
import pytest
from starlette import requests
from starlette import responses

from laburnumpin import clock
from laburnumpin import verdict
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import messages
from laburnumpin.core import state as entry_state
from laburnumpin.server import bridge as bridges
from laburnumpin.server import tasks
from laburnumpin.server import upstream_client
from laburnumpin.tests import server_fakes as fakes

pytestmark = pytest.mark.anyio
NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
RAN = verdict.Verdict.RAN
MODEL = deployment.ServiceKind.MODEL
PLAIN = deployment.ServiceKind.PLAIN
Failure = events.AttemptFailure


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@contextlib.asynccontextmanager
async def _client(
    bridge_clock: clock.Clock | None = None,
) -> AsyncIterator[tuple[upstream_client.UpstreamClient, bridges.Bridge]]:
    state = entry_state.EntryState(ids.EntryId("entry-1", 1), "z", "", 1)
    bridge = bridges.Bridge(state, bridge_clock or clock.SystemClock())
    async with anyio.create_task_group() as task_group:
        client = upstream_client.UpstreamClient(
            bridge, tasks.TaskRunner(task_group), fakes.new_settings()
        )
        with anyio.fail_after(fakes.WAIT_S):
            yield client, bridge
        await client.close()
        task_group.cancel_scope.cancel()


def _dispatch(
    address: str, kind: deployment.ServiceKind = MODEL, **changes: Any
) -> effects.Dispatch:
    dispatch = effects.Dispatch(
        attempt_id="r/e.1/1",
        request_id="r",
        upstream_id="vm-1",
        address=address,
        kind=kind,
        operation="write",
        body='{"a": 1}',
        prompt="p",
        max_tokens=4,
        priority=deployment.Priority.BULK,
        offset=0,
        recompute=False,
        idempotency_key="key",
        valid_until_ms=2**60,
        first_byte_timeout_ms=60_000,
        inter_token_timeout_ms=60_000,
    )
    return dataclasses.replace(dispatch, **changes)


@contextlib.asynccontextmanager
async def _raw_server(
    answer: bytes, close: bool
) -> AsyncIterator[tuple[str, list[int]]]:
    """Answer each connection with bytes, then close it or stay silent."""
    connections: list[int] = []

    async def handle(stream: anyio.abc.SocketStream) -> None:
        connections.append(1)
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, OSError):
                await stream.receive()
                await stream.send(answer)
                if not close:
                    await anyio.sleep_forever()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(listener.serve, handle)
        yield f"127.0.0.1:{port}", connections
        task_group.cancel_scope.cancel()
    await listener.aclose()


async def _failure(
    dispatch: effects.Dispatch,
) -> tuple[Failure, verdict.Verdict]:
    async with _client() as (client, bridge):
        client.dispatch(dispatch)
        while True:
            event = await bridge.next_event()
            if not isinstance(event, events.AttemptOutput):
                break
    assert isinstance(event, events.AttemptFailed)
    return event.failure, event.verdict


async def test_refused_connection_is_not_run() -> None:
    """Guards against a needless "may have run", which prevents retries."""
    with socket.create_server(("127.0.0.1", 0)) as unused:
        address = f"127.0.0.1:{unused.getsockname()[1]}"
    result = await _failure(_dispatch(address))
    assert result == (Failure.CONNECT_FAILED, NOT_RUN)


@pytest.mark.parametrize("kind", [MODEL, PLAIN])
async def test_expired_dispatch_sends_no_byte(
    kind: deployment.ServiceKind,
) -> None:
    """Guards against a paused process that sends an outdated dispatch."""
    async with _raw_server(b"", close=True) as (address, _):
        result = await _failure(_dispatch(address, kind, valid_until_ms=0))
    assert result == (Failure.EXPIRED_BEFORE_SEND, NOT_RUN)


async def test_validity_is_checked_after_the_connection_is_made() -> None:
    """Guards against a validity check in `dispatch` only.

    A dispatch may expire before its connection is open.
    """
    bridge_clock = clock.ManualClock(100)

    async def answer(request: requests.Request) -> responses.Response:
        return responses.Response(fakes.generation(["x"]))

    async with (
        fakes.serve_http(answer) as engine,
        _client(bridge_clock) as parts,
    ):
        client, bridge = parts
        client.dispatch(_dispatch(engine.address, valid_until_ms=100))
        # The dispatch expires before its task starts.
        bridge_clock.advance(1)
        event = await bridge.next_event()
    assert isinstance(event, events.AttemptFailed)
    assert event.failure is Failure.EXPIRED_BEFORE_SEND
    assert engine.requests == []


@pytest.mark.parametrize(
    ("kind", "status", "code", "failure", "expected"),
    [
        (MODEL, 409, "leaving", Failure.UPSTREAM_LEAVING, NOT_RUN),
        (PLAIN, 409, "leaving", Failure.UPSTREAM_LEAVING, NOT_RUN),
        (PLAIN, 429, "overloaded", Failure.UPSTREAM_OVERLOADED, NOT_RUN),
        (MODEL, 404, "unknown_generation", Failure.UNKNOWN_GENERATION, NOT_RUN),
        (PLAIN, 409, "sold_out", Failure.REJECTED, RAN),
        (PLAIN, 429, "", Failure.REJECTED, RAN),
        (MODEL, 400, "invalid", Failure.REJECTED, MAY_HAVE_RUN),
        (PLAIN, 500, "leaving", Failure.UPSTREAM_ERROR, MAY_HAVE_RUN),
        (PLAIN, 302, "", Failure.UPSTREAM_ERROR, MAY_HAVE_RUN),
    ],
)
async def test_verdict_of_each_rejection(
    kind: deployment.ServiceKind,
    status: int,
    code: str,
    failure: Failure,
    expected: verdict.Verdict,
) -> None:
    """Guards against retries of calls that ran, and missing safe retries."""

    async def answer(request: requests.Request) -> responses.Response:
        body = {"error": {"code": code, "message": ""}}
        return responses.JSONResponse(body, status)

    async with fakes.serve_http(answer) as upstream:
        result = await _failure(_dispatch(upstream.address, kind))
    assert result == (failure, expected)


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
CHUNK_EVENT = b'id: 1\ndata: {"text": "a", "tokens": 1}\n\n'


@pytest.mark.parametrize(
    ("answer", "close", "failure"),
    [
        (b"", True, Failure.CONNECTION_LOST),
        (b"", False, Failure.FIRST_BYTE_TIMEOUT),
        (STREAM_HEAD, False, Failure.FIRST_BYTE_TIMEOUT),
        (STREAM_HEAD + CHUNK_EVENT, False, Failure.INTER_TOKEN_TIMEOUT),
        (STREAM_HEAD + CHUNK_EVENT, True, Failure.TRUNCATED),
        (STREAM_HEAD + b"data: no json\n\n", True, Failure.PROTOCOL_ERROR),
        (
            STREAM_HEAD + b'data: {"text": "a"}\n\n',
            True,
            Failure.PROTOCOL_ERROR,
        ),
        (
            STREAM_HEAD + b"event: error\ndata: {}\n\n",
            True,
            Failure.UPSTREAM_ERROR,
        ),
        (b"no http at all\r\n\r\n", True, Failure.CONNECTION_LOST),
    ],
)
async def test_broken_streams_may_have_run(
    answer: bytes, close: bool, failure: Failure
) -> None:
    """Guards against "not run" for a request that an engine may have run."""
    async with _raw_server(answer, close) as (address, connections):
        dispatch = _dispatch(address)
        if failure is Failure.FIRST_BYTE_TIMEOUT:
            dispatch = dataclasses.replace(dispatch, first_byte_timeout_ms=50)
        if failure is Failure.INTER_TOKEN_TIMEOUT:
            dispatch = dataclasses.replace(dispatch, inter_token_timeout_ms=50)
        result = await _failure(dispatch)
    assert result == (failure, MAY_HAVE_RUN)
    # The client must not retry; the core decides on retries.
    assert len(connections) == 1


async def test_plain_answer_without_length_is_truncated() -> None:
    """Guards against a short answer of a service that ended as a whole one."""
    answer = b"HTTP/1.1 200 OK\r\n\r\nhalf of"
    async with _raw_server(answer, True) as (address, _):
        result = await _failure(_dispatch(address, PLAIN))
    assert result == (Failure.TRUNCATED, MAY_HAVE_RUN)


async def test_plain_answer_is_one_chunk() -> None:
    """Guards against an answer whose end the core cannot recognise."""

    async def answer(request: requests.Request) -> responses.Response:
        assert request.headers["idempotency-key"] == "key"
        assert request.headers["x-attempt-id"] == "r/e.1/1"
        return responses.Response(await request.body())

    async with fakes.serve_http(answer) as desk, _client() as parts:
        client, bridge = parts
        client.dispatch(_dispatch(desk.address, PLAIN))
        output = await bridge.next_event()
        end = await bridge.next_event()
    assert isinstance(output, events.AttemptOutput)
    assert output.chunk == messages.Chunk(0, 1, '{"a": 1}')
    assert isinstance(end, events.AttemptCompleted)
    assert end.total_offset == 1


async def test_cancel_of_a_sent_generation_reaches_the_engine() -> None:
    """Guards against a delayed DELETE that ends the next attempt."""
    deleting = anyio.Event()

    async def answer(request: requests.Request) -> responses.Response:
        if request.method == "DELETE":
            await deleting.wait()
            return responses.Response()
        if engine.count("POST", "/v1/generate") == 1:
            await anyio.sleep_forever()
        return responses.Response(fakes.generation(["x"]))

    async with fakes.serve_http(answer) as engine, _client() as parts:
        client, bridge = parts
        client.dispatch(_dispatch(engine.address))
        await fakes.wait_until(lambda: len(engine.requests) == 1)
        client.cancel(effects.CancelAttempt("r/e.1/1"))
        second = _dispatch(engine.address, attempt_id="r/e.1/2")
        client.dispatch(second)
        await fakes.wait_until(lambda: len(engine.requests) == 2)
        assert engine.requests[1][0] == "DELETE"
        deleting.set()
        event = await bridge.next_event()
    assert isinstance(event, events.AttemptOutput)
    assert event.attempt_id == "r/e.1/2"


async def test_load_poll_reports_age_and_timeouts() -> None:
    """Guards against reports that look newer than they are."""
    bridge_clock = clock.ManualClock(100)
    silent = anyio.Event()

    async def answer(request: requests.Request) -> responses.Response:
        if silent.is_set():
            await anyio.sleep_forever()
        bridge_clock.advance(30)
        return responses.JSONResponse({**fakes.load_report(), "age_ms": 200})

    poll = effects.PollLoad("vm-1", "", PLAIN, 0, 60_000, False, False)
    async with (
        fakes.serve_http(answer) as desk,
        _client(bridge_clock) as parts,
    ):
        client, bridge = parts
        poll = dataclasses.replace(poll, address=desk.address)
        client.poll_load(poll)
        reported = await bridge.next_event()
        silent.set()
        client.poll_load(dataclasses.replace(poll, timeout_ms=50))
        timed_out = await bridge.next_event()
    refused_poll = dataclasses.replace(poll, address=desk.address)
    async with _client() as (client, bridge):
        client.poll_load(refused_poll)
        refused = await bridge.next_event()
    assert isinstance(reported, events.LoadReported)
    assert reported.report.age_ms == 230
    assert isinstance(timed_out, events.LoadPollFailed)
    assert timed_out.timed_out
    assert isinstance(refused, events.LoadPollFailed)
    assert not refused.timed_out


@pytest.mark.parametrize(
    ("status", "code", "valid_until_ms", "expected"),
    [
        (200, "", 2**60, events.OrderResult.ACCEPTED),
        (409, "stale_fencing", 2**60, events.OrderResult.STALE_FENCING),
        (409, "busy", 2**60, events.OrderResult.REFUSED),
        (500, "", 2**60, events.OrderResult.UNKNOWN),
        (200, "", 0, events.OrderResult.REFUSED),
    ],
)
async def test_results_of_orders(
    status: int, code: str, valid_until_ms: int, expected: events.OrderResult
) -> None:
    """Guards against a lease holder that gets a wrong result of an order."""

    async def answer(request: requests.Request) -> responses.Response:
        order = json.loads(await request.body())
        assert order["fencing_number"] == 7
        return responses.JSONResponse({"error": {"code": code}}, status)

    order = effects.SendOrder(
        "order-1", "vm-1", "", 7, valid_until_ms, "m", "1", ("a",), "draft"
    )
    async with fakes.serve_http(answer) as engine, _client() as parts:
        client, bridge = parts
        client.send_order(dataclasses.replace(order, address=engine.address))
        event = await bridge.next_event()
    assert isinstance(event, events.OrderAnswered)
    assert event.result is expected
