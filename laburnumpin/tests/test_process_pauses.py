"""Tests of paused entries with processes on loopback."""

from __future__ import annotations

import contextlib
import json
import pathlib

import anyio
import httpx
from starlette import requests
from starlette import responses

from laburnumpin import clock
from laburnumpin.core import requests as core_requests
from laburnumpin.tests import processes
from laburnumpin.tests import scenarios
from laburnumpin.tests import server_fakes as fakes

# Enough to fill the accept queue of a proxy that accepts no connections.
FILLER_CONNECTIONS = 8
ORDERS_AFTER_RESUME = 4


class _RefusingEngine:
    """An engine that refuses every order, so that each plan repeats it."""

    def __init__(self) -> None:
        self.fencing_numbers: list[int] = []

    async def answer(self, request: requests.Request) -> responses.Response:
        if request.url.path == "/v1/orders":
            order = await request.json()
            self.fencing_numbers.append(order["fencing_number"])
            error = {"error": {"code": "busy", "message": "refused"}}
            return responses.JSONResponse(error, 409)
        return responses.JSONResponse(
            {**fakes.load_report(), "model": "another"}
        )


@scenarios.concurrent(3)
async def test_a_paused_lease_holder_sends_no_order_after_resuming(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against orders under a lease that another entry has acquired.

    The engine does not check fencing numbers, so the resumed entry itself
    must stop sending orders.
    """
    engine = _RefusingEngine()

    async def has_order(number: int, count: int = 1) -> bool:
        return engine.fencing_numbers.count(number) >= count

    async with (
        processes.run(tmp_path) as running,
        fakes.serve_http(engine.answer) as upstream,
    ):
        await running.start_platform()
        await running.register_upstream(
            "engine", "recife", "molde", {"incarnation": 1}, upstream.address
        )
        entries = await running.start_entries(2)
        await running.apply(
            entries[0], processes.make_configuration_document(entry_count=2)
        )
        await processes.wait_for(lambda: has_order(1))
        holder = await _find_holder(running, entries)
        holder.pause()
        await processes.wait_for(lambda: has_order(2))
        holder.resume()

        async def has_resumed() -> bool:
            return await running.counter(holder, "pauses", "") > 0

        await processes.wait_for(has_resumed)
        # Each order of the new holder stands for a plan that the resumed entry
        # had time to make as well.
        count = engine.fencing_numbers.count(2)
        await processes.wait_for(
            lambda: has_order(2, count + ORDERS_AFTER_RESUME)
        )
        numbers = engine.fencing_numbers
    assert numbers == sorted(numbers)
    assert set(numbers) == {1, 2}


async def _find_holder(
    running: processes.Processes, entries: tuple[processes.Process, ...]
) -> processes.Process:
    row = await running.read_row("leases", "placement")
    vm_id = json.loads(row["value"])["token"].partition(".")[0]
    for entry in entries:
        if entry.ready["vm_id"] == vm_id:
            return entry
    raise AssertionError(row)


@scenarios.concurrent(3)
async def test_an_entry_paused_before_sending_decides_anew(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against sending a call on a dispatch decided before a pause.

    The entry has committed the claim and dispatched the call, but its
    connection is not accepted before the entry is paused.
    """
    time = clock.SystemClock()
    async with processes.run(tmp_path) as running:
        await running.start_platform()
        service = await running.start_service("", "", registered=False)
        async with processes.run_proxy(service.ready["address"]) as proxy:
            await running.register_upstream(
                "service", "recife", "balcao", service.ready, proxy.address
            )
            (entry,) = await running.start_entries(
                1,
                environment={"LABURNUMPIN_CONNECT_TIMEOUT_MS": "60000"},
            )
            await running.apply(
                entry, processes.make_configuration_document(entry_count=1)
            )
            await running.wait_ready(entry)
            await running.wait_upstreams(1, entry)
            answers: list[httpx.Response] = []

            async def place() -> None:
                answers.append(await running.call(entry, "place", {}, "k"))

            async def is_dispatched() -> bool:
                (row,) = (await running.status(entry))["upstreams"]
                return bool(row["in_flight"])

            async with anyio.create_task_group() as callers:
                await _fill_accept_queue(proxy, callers)
                callers.start_soon(place)
                await processes.wait_for(is_dispatched)
                entry.pause()
                paused_ms = time.now_ms()
                dispatch_valid_ms = core_requests.DISPATCH_VALID_MS

                async def is_expired() -> bool:
                    return time.now_ms() > paused_ms + dispatch_valid_ms

                await processes.wait_for(is_expired)
                proxy.resume_accepting()
                entry.resume()
                await processes.wait_for(lambda: _has_answers(answers))
                callers.cancel_scope.cancel()
        executions = await running.executions(service)
        expired = await running.counter(entry, "retries", "expired_before_send")
    assert expired >= 1
    assert executions["total"] == 1
    # Only the attempt after the expired ones was sent. The first attempt after
    # the pause expires too if the full accept queue delays its connection.
    (attempt_id,) = executions["by_attempt_id"]
    assert attempt_id.endswith(f"/{expired + 1}")
    assert answers[0].status_code == 200, answers[0].text


async def _has_answers(answers: list[httpx.Response]) -> bool:
    return bool(answers)


async def _fill_accept_queue(
    proxy: processes.TcpProxy, tasks: anyio.abc.TaskGroup
) -> None:
    """Stop a proxy from accepting and fill its accept queue."""
    proxy.stop_accepting()
    connected = []
    host, _, port = proxy.address.rpartition(":")

    async def connect() -> None:
        async with contextlib.aclosing(
            await anyio.connect_tcp(host, int(port))
        ) as stream:
            connected.append(stream)
            await anyio.sleep_forever()

    for _ in range(FILLER_CONNECTIONS):
        tasks.start_soon(connect)

    async def is_full() -> bool:
        # The pending accept takes one connection, the queue another.
        return len(connected) >= 2

    await processes.wait_for(is_full)
