"""Tests of failing upstreams with processes on loopback."""

from __future__ import annotations

import functools
import pathlib

import anyio
import httpx

from laburnumpin.tests import processes
from laburnumpin.tests import scenarios

TOKENS = 300
# Long enough for a call to be running when its service is killed.
LONG_CALL_MS = 600_000


async def _find_engine(
    running: processes.Processes,
    engines: tuple[processes.Process, ...],
    received: processes.ReceivedStream,
) -> processes.Process:
    """Return the engine that generates a stream."""
    for engine in engines:
        for row in await running.logged_requests(engine, "/v1/generate"):
            if row["request_id"] == received.request_id:
                return engine
    raise AssertionError("no engine has the stream")


async def _start_deployment(
    running: processes.Processes, engine_count: int
) -> tuple[processes.Process, tuple[processes.Process, ...]]:
    await running.start_platform()
    engines = await running.start_engines(engine_count)
    (entry,) = await running.start_entries(1)
    await running.apply(
        entry, processes.make_configuration_document(entry_count=1)
    )
    await running.wait_ready(entry)
    await running.wait_upstreams(engine_count, entry)
    return entry, tuple(engines)


@scenarios.concurrent(4)
async def test_streams_are_whole_after_a_killed_engine(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against truncated, repeated or mixed-up output."""
    async with processes.run(tmp_path) as running:
        entry, engines = await _start_deployment(running, 2)
        streams = [processes.ReceivedStream() for _ in range(4)]
        async with anyio.create_task_group() as callers:
            for number, received in enumerate(streams):
                callers.start_soon(
                    running.read_stream,
                    entry,
                    f"prompt {number}",
                    TOKENS,
                    received,
                )
            for received in streams:
                await processes.wait_tokens(received, 10)
            (await _find_engine(running, engines, streams[0])).kill()
        for number, received in enumerate(streams):
            received.check_complete(f"prompt {number}", TOKENS)
        lost = await running.counter(entry, "retries", "connection_lost")
    assert lost >= 1


@scenarios.concurrent(4)
async def test_streams_are_whole_after_a_paused_engine(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against late output of an engine that resumes after a pause."""
    async with processes.run(tmp_path) as running:
        entry, engines = await _start_deployment(running, 2)
        received = processes.ReceivedStream()
        async with anyio.create_task_group() as callers:
            callers.start_soon(
                running.read_stream, entry, "paused", TOKENS, received
            )
            await processes.wait_tokens(received, 10)
            paused_engine = await _find_engine(running, engines, received)
            paused_engine.pause()
            seen = received.offsets[-1]
            await processes.wait_tokens(received, seen + 20)
            paused_engine.resume()
        received.check_complete("paused", TOKENS)
        timed_out = await running.counter(
            entry, "retries", "inter_token_timeout"
        )
        assert timed_out == 1
        await running.wait_upstreams(2, entry)
        later_stream = await running.read_stream(entry, "afterwards", 20)
        later_stream.check_complete("afterwards", 20)


@scenarios.concurrent(3)
async def test_streams_are_whole_over_silent_and_cut_connections(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against waiting without a limit on a silent connection.

    The engine still answers over new connections, so the entry resumes the
    generation over one of these and no token is computed twice.
    """
    async with processes.run(tmp_path) as running:
        entry, (engine,) = await _start_deployment(running, 1)
        received = processes.ReceivedStream()
        async with anyio.create_task_group() as callers:
            callers.start_soon(
                running.read_stream, entry, "cut", 2 * TOKENS, received
            )
            await processes.wait_tokens(received, 10)
            await running.set_faults(engine, cut_streams=1)
            has_retried = functools.partial(_has_retried, running, entry)
            await processes.wait_for(
                functools.partial(has_retried, "connection_lost")
            )
            await processes.wait_tokens(received, received.offsets[-1] + 10)
            await running.set_faults(engine, silence_connections=True)
            await processes.wait_for(
                functools.partial(has_retried, "inter_token_timeout")
            )
        received.check_complete("cut", 2 * TOKENS)
        totals = await running.get(engine, "/admin/totals")
        generate_requests = await running.logged_requests(
            engine, "/v1/generate"
        )
    assert totals["generations"] == 1
    assert len(generate_requests) == 3


async def _has_retried(
    running: processes.Processes, entry: processes.Process, reason: str
) -> bool:
    return await running.counter(entry, "retries", reason) > 0


@scenarios.concurrent(5)
async def test_a_call_whose_service_is_killed_runs_at_most_once(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a second execution of a non-idempotent call."""
    async with processes.run(tmp_path) as running:
        await running.start_platform()
        services = await running.start_services(
            2, "--call-ms", str(LONG_CALL_MS)
        )
        entries = await running.start_entries(2)
        await running.apply(
            entries[0], processes.make_configuration_document(entry_count=2)
        )
        await running.wait_ready(*entries)
        await running.wait_upstreams(2, *entries)
        answers: list[httpx.Response] = []

        async def place() -> None:
            answers.append(
                await running.call(entries[0], "place", {"n": 1}, key="k")
            )

        async with anyio.create_task_group() as callers:
            callers.start_soon(place)
            service, other_service = await _wait_execution(running, services)
            service.kill()
        repeated = await running.call(entries[1], "place", {"n": 1}, key="k")
        executions = await running.executions(other_service)
    assert answers[0].json()["error"]["verdict"] == "may_have_run"
    assert repeated.json()["error"]["verdict"] == "may_have_run"
    assert executions["total"] == 0


async def _wait_execution(
    running: processes.Processes, services: list[processes.Process]
) -> tuple[processes.Process, processes.Process]:
    """Wait for an execution; return its service and the other one."""
    with anyio.fail_after(processes.WAIT_TIMEOUT_S):
        while True:
            for number, service in enumerate(services):
                if (await running.executions(service))["total"]:
                    return service, services[1 - number]
            await anyio.sleep(processes.POLL_INTERVAL_S)
