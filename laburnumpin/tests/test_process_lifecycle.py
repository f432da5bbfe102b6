"""Tests of starts and shutdowns of entries with processes on loopback."""

from __future__ import annotations

import functools
import json
import pathlib

import anyio
import httpx

from laburnumpin.tests import processes
from laburnumpin.tests import scenarios

# More than the slots of an engine, so that some streams queue.
STREAMS = 20
TOKENS = 120
# Longer than an entry accepts requests after SIGTERM, so that the call ends
# during the drain.
CALL_MS = 6_000
# Exceeds the duration of a call, `CALL_MS`, so that the call is admitted.
DEADLINE_MS = 9_000


@scenarios.concurrent(6)
async def test_sigterm_interrupts_nothing(tmp_path: pathlib.Path) -> None:
    """Guards against a shutdown that interrupts requests or loses outcomes.

    Two entries drain at the same time: one with streams, queued streams, a
    call and idle connections, the other without access to the platform.
    """
    async with processes.run(tmp_path) as running:
        platform = await running.start_platform()
        (_,), (service,) = await processes.gather(
            lambda: running.start_engines(1),
            lambda: running.start_services(1, "--call-ms", str(CALL_MS)),
        )
        address = platform.ready["address"]
        async with processes.run_proxy(address) as proxy:
            first, other = await running.start_entries(2)
            disconnected = await running.start_entry(
                2,
                seeds=(first,),
                platform_url=f"http://{proxy.address}",
            )
            entries = (first, other, disconnected)
            await running.apply(first, processes.make_configuration_document())
            await running.wait_ready(*entries)
            await running.wait_upstreams(2, *entries)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_drain_with_requests, running, service, first)
                tasks.start_soon(
                    _drain_without_platform, running, proxy, disconnected
                )
        # The outcome of the call was recorded before the entry exited.
        repeated = await running.call(other, "place", {}, key="drained")
        executions = await running.executions(service)
    assert repeated.status_code == 200, repeated.text
    assert executions["by_idempotency_key"] == {"drained": 1}


async def _drain_with_requests(
    running: processes.Processes,
    service: processes.Process,
    entry: processes.Process,
) -> None:
    streams = [processes.ReceivedStream() for _ in range(STREAMS)]
    answers: list[httpx.Response] = []

    async def place() -> None:
        answers.append(await running.call(entry, "place", {}, key="drained"))

    async with (
        httpx.AsyncClient(
            base_url=entry.url,
            timeout=processes.WAIT_TIMEOUT_S,
            trust_env=False,
        ) as idle_client,
        anyio.create_task_group() as callers,
    ):
        # Leaves an idle keep-alive connection open.
        assert (await idle_client.get("/livez")).status_code == 200
        for number, received in enumerate(streams):
            callers.start_soon(
                running.read_stream, entry, f"s {number}", TOKENS, received
            )
        await processes.wait_for(
            functools.partial(_has_unfinished, running, entry, STREAMS)
        )
        entry.terminate()
        await processes.wait_for(functools.partial(_is_leaving, running, entry))
        callers.start_soon(place)
        # A load balancer may send requests for a while after readiness ended.
        late = await running.read_stream(entry, "late", 5)
        late.check_complete("late", 5)
        await processes.wait_for(
            functools.partial(_has_executed, running, service)
        )
        entry.terminate()
    assert await entry.exit_code() == 0
    for number, received in enumerate(streams):
        received.check_complete(f"s {number}", TOKENS)
    assert answers[0].status_code == 200, answers[0].text


async def _drain_without_platform(
    running: processes.Processes,
    proxy: processes.TcpProxy,
    entry: processes.Process,
) -> None:
    """Drain an entry with a stream and a call and without the platform."""
    await proxy.disconnect()
    received = processes.ReceivedStream()
    answers: list[httpx.Response] = []

    async def place() -> None:
        answers.append(
            await running.call(
                entry, "place", {}, key="cut-off", deadline_ms=DEADLINE_MS
            )
        )

    async with anyio.create_task_group() as callers:
        callers.start_soon(
            running.read_stream, entry, "cut off", 2 * TOKENS, received
        )
        callers.start_soon(place)
        await processes.wait_for(
            functools.partial(_has_unfinished, running, entry, 2)
        )
        entry.terminate()
    assert await entry.exit_code() == 0
    received.check_complete("cut off", 2 * TOKENS)
    error = answers[0].json()["error"]
    assert (error["code"], error["verdict"]) == ("deadline_passed", "not_run")


async def _has_unfinished(
    running: processes.Processes, entry: processes.Process, count: int
) -> bool:
    status = await running.status(entry)
    return bool(status["requests"]["unfinished"] >= count)


async def _is_leaving(
    running: processes.Processes, entry: processes.Process
) -> bool:
    return bool((await running.status(entry))["readiness"] == "entry_leaving")


async def _has_executed(
    running: processes.Processes, service: processes.Process
) -> bool:
    return bool((await running.executions(service))["total"])


@scenarios.concurrent(5)
async def test_an_entry_starts_from_a_seed_peer_while_the_store_is_down(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against entries that need the store to start.

    An entry that reaches neither the platform nor a peer must not serve,
    since its configuration is unknown.
    """
    async with processes.run(tmp_path) as running:
        platform = await running.start_platform()
        await running.start_engines(1)
        (first,) = await running.start_entries(1)
        await running.apply(first, processes.make_configuration_document())
        await running.wait_ready(first)
        await running.set_faults(platform, path="/tables/", refuse=True)
        seeded, unseeded = await processes.gather(
            lambda: running.start_entry(1, seeds=(first,), registered=False),
            lambda: running.start_entry(
                2, registered=False, platform_url="http://127.0.0.1:1"
            ),
        )
        await running.wait_ready(seeded)
        status = await running.status(seeded)
        assert status["configuration_version"] == 1
        await running.wait_upstreams(1, seeded)
        received = await running.read_stream(seeded, "seeded", 20)
        received.check_complete("seeded", 20)
        # The unseeded entry has had time to read a configuration.
        await processes.wait_for(
            functools.partial(_has_failed_reads, running, unseeded)
        )
        refusal = await running.http.get(unseeded.url + "/readyz")
        assert refusal.status_code == 503
        assert json.loads(refusal.text)["reason"] == "entry_not_ready"
        call = await running.read_stream(unseeded, "alone", 1)
        assert call.error is not None
        assert call.error["verdict"] == "not_run"


async def _has_failed_reads(
    running: processes.Processes, entry: processes.Process
) -> bool:
    label = "configuration"
    return await running.counter(entry, "platform_failures", label) >= 2
