"""Tests of a failing platform with processes on loopback."""

from __future__ import annotations

import functools
import pathlib
from typing import Any

import httpx

from laburnumpin.tests import processes
from laburnumpin.tests import scenarios

OUTAGE_CALLS = 6
# Shorter than the outage, which lasts until all of these calls have ended.
DEADLINE_MS = 2_500


@scenarios.concurrent(5)
async def test_calls_end_not_run_during_outages_and_never_run_later(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a call that runs after it was reported as not run.

    Claims that the platform wrote after the outage, or whose answers were
    lost, must not lead to an execution.
    """
    async with processes.run(tmp_path) as running:
        platform, service, entries = await _start(running)
        not_run: list[str] = []
        for outage in ("paused", "refused", "lost"):
            await _begin_outage(running, platform, outage)
            for answer in await _place_calls(running, entries, outage):
                error = answer.json()["error"]
                assert error["verdict"] == "not_run", answer.text
                not_run.append(error["request_id"])
            await _check_idempotent_requests(running, entries)
            await _end_outage(running, platform, outage)
            # Repeated calls succeed only after the platform has processed
            # all earlier writes of each entry.
            for number, entry in enumerate(entries):
                repeated_key = f"{outage}-{number}"
                await processes.wait_for(
                    functools.partial(_has_placed, running, entry, repeated_key)
                )
        executions = await running.executions(service)
    # Only the repeated calls ran, and each of them once.
    assert set(executions["by_idempotency_key"].values()) == {1}
    assert len(executions["by_idempotency_key"]) == 3 * len(entries)
    assert not set(not_run) & set(executions["by_request_id"])


async def _check_idempotent_requests(
    running: processes.Processes, entries: tuple[processes.Process, ...]
) -> None:
    """Check that idempotent requests succeed during an outage."""
    for entry in entries:
        read = await running.call(entry, "read", {"n": 1})
        assert read.status_code == 200, read.text
        received = await running.read_stream(entry, "outage", 20)
        received.check_complete("outage", 20)


@scenarios.concurrent(5)
async def test_a_call_runs_once_when_the_answer_to_its_claim_is_lost(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a call that waits for a lost answer to its claim.

    The claim was written, so the entry reads it back and sends the call.
    """
    async with processes.run(tmp_path) as running:
        platform, service, entries = await _start(running)
        await running.set_faults(
            platform, path="/tables/transact", lose_answers=9999
        )
        answer = await running.call(entries[0], "place", {}, key="waits")
        requests = await running.logged_requests(platform, "/tables/transact")
        executions = await running.executions(service)
    assert answer.status_code == 200, answer.text
    assert any(row["fault"] == "answer_lost" for row in requests)
    assert executions["by_idempotency_key"]["waits"] == 1


async def _start(
    running: processes.Processes,
) -> tuple[processes.Process, processes.Process, tuple[Any, ...]]:
    platform = await running.start_platform()
    await running.start_engines(1)
    (service,) = await running.start_services(1)
    entries = await running.start_entries(2)
    await running.apply(
        entries[0], processes.make_configuration_document(entry_count=2)
    )
    await running.wait_ready(*entries)
    await running.wait_upstreams(2, *entries)
    # Entries in contact with a peer stay ready during the outage.
    for entry in entries:
        await processes.wait_for(functools.partial(_has_peer, running, entry))
    return platform, service, entries


async def _has_peer(
    running: processes.Processes, entry: processes.Process
) -> bool:
    members = (await running.status(entry))["members"]
    return any(row["configuration_version"] for row in members)


async def _begin_outage(
    running: processes.Processes, platform: processes.Process, outage: str
) -> None:
    if outage == "paused":
        platform.pause()
        return
    # Reads fail too; otherwise a claim whose answer was lost would be read back
    # and the call would run.
    faults = {"refuse": True} if outage == "refused" else {"lose_answers": 9999}
    await running.set_faults(platform, path="/tables/", **faults)


async def _end_outage(
    running: processes.Processes, platform: processes.Process, outage: str
) -> None:
    if outage == "paused":
        platform.resume()
        return
    await running.set_faults(platform, refuse=False, lose_answers=0)


async def _place_calls(
    running: processes.Processes,
    entries: tuple[processes.Process, ...],
    outage: str,
) -> list[httpx.Response]:
    """Place calls at both entries; each ends within its deadline."""
    calls = [
        functools.partial(
            running.call,
            entries[number % len(entries)],
            "place",
            {"outage": outage},
            key=f"{outage}-{number}",
            deadline_ms=DEADLINE_MS,
        )
        for number in range(OUTAGE_CALLS)
    ]
    return await processes.gather(*calls)


async def _has_placed(
    running: processes.Processes, entry: processes.Process, key: str
) -> bool:
    body = {"outage": key.partition("-")[0]}
    answer = await running.call(entry, "place", body, key=key)
    return answer.status_code == 200
