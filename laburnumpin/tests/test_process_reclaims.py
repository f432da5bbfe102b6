"""Tests of reclaimed VMs with processes on loopback."""

from __future__ import annotations

import contextlib
import functools
import json
import pathlib

import anyio
import httpx

from laburnumpin import clock
from laburnumpin.tests import processes
from laburnumpin.tests import scenarios

NOTICE_MS = 60_000
# Longer than an entry may send new requests to a leaving upstream.
PAUSE_MS = 5_500
STREAMS_AFTER_PAUSE = 8
REQUESTS_AFTER_NOTICE = 10
# An entry with one request at a time may use the engine of its zone only.
CALLERS_PER_ENTRY = 6
TOKENS = 4
# More than the slots of an engine, so that some streams queue.
STREAMS = 18
STREAM_TOKENS = 300
# Ends while the entry of the call is leaving.
CALL_MS = 3_000
# Far longer than the notice and the timeout of an answer.
LONG_CALL_MS = 600_000
SHORT_NOTICE_MS = 4_000


@scenarios.concurrent(6)
async def test_a_leaving_engine_gets_no_new_work_from_any_entry(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against new requests to an engine that is being reclaimed.

    The list of VMs is frozen, and one entry is disconnected from the
    platform, so that it receives the notice only from its peers.
    """
    time = clock.SystemClock()
    async with processes.run(tmp_path) as running:
        platform = await running.start_platform()
        leaving, _ = await running.start_engines(2)
        address = platform.ready["address"]
        async with processes.run_proxy(address) as proxy:
            entries = list(await running.start_entries(2))
            disconnected = await running.start_entry(
                2,
                seeds=(entries[0],),
                platform_url=f"http://{proxy.address}",
            )
            entries.append(disconnected)
            await running.apply(
                entries[0], processes.make_configuration_document()
            )
            await running.wait_ready(*entries)
            await running.wait_upstreams(2, *entries)
            counts = [0] * CALLERS_PER_ENTRY * len(entries)
            async with anyio.create_task_group() as callers:
                for number in range(len(counts)):
                    callers.start_soon(
                        _submit_until_cancelled,
                        running,
                        entries[number % len(entries)],
                        number,
                        counts,
                    )
                await _wait_dispatches(running, leaving, entries)
                await running.set_faults(platform, path="/vms", freeze=True)
                await proxy.disconnect()
                notified_ms = time.now_ms()
                await running.give_notice("engine-0", NOTICE_MS)
                for entry in entries:
                    await processes.wait_for(
                        functools.partial(_is_marked_leaving, running, entry)
                    )
                # Lets the requests end that were in flight when the last entry
                # marked the engine as leaving.
                await _wait_counts(counts, 2)
                requests_before = await running.logged_requests(
                    leaving, "/v1/generate"
                )
                await _wait_counts(counts, REQUESTS_AFTER_NOTICE)
                requests_after = await running.logged_requests(
                    leaving, "/v1/generate"
                )
                callers.cancel_scope.cancel()
    assert len(requests_after) == len(requests_before)
    last_ms = max(row["at_ms"] for row in requests_after) - notified_ms
    print(f"last new dispatch {last_ms} ms after the notice")


async def _submit_until_cancelled(
    running: processes.Processes,
    entry: processes.Process,
    number: int,
    counts: list[int],
) -> None:
    """Send requests one after the other until cancelled."""
    while True:
        prompt = f"{number} {counts[number]}"
        received = await running.read_stream(entry, prompt, TOKENS)
        received.check_complete(prompt, TOKENS)
        counts[number] += 1


async def _wait_counts(counts: list[int], additional: int) -> None:
    """Wait until each caller has got `additional` more answers."""
    targets = [count + additional for count in counts]

    async def is_reached() -> bool:
        return all(
            count >= target
            for count, target in zip(counts, targets, strict=True)
        )

    await processes.wait_for(is_reached)


async def _wait_dispatches(
    running: processes.Processes,
    engine: processes.Process,
    entries: list[processes.Process],
) -> None:
    """Wait until every entry has sent a request to an engine."""
    vm_ids = {entry.ready["vm_id"] for entry in entries}

    async def all_have_dispatched() -> bool:
        seen_vm_ids = set()
        for row in await running.logged_requests(engine, "/v1/generate"):
            seen_vm_ids.add(row["request_id"].partition(".")[0])
        return seen_vm_ids >= vm_ids

    await processes.wait_for(all_have_dispatched)


async def _is_marked_leaving(
    running: processes.Processes, entry: processes.Process
) -> bool:
    for row in (await running.status(entry))["upstreams"]:
        if row["upstream"] == "engine-0":
            return bool(row["leaving"])
    return False


@scenarios.concurrent(6)
async def test_accepted_work_survives_the_reclaim_of_two_entries(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests that are lost with a reclaimed entry.

    The successor receives a notice as well, and both are killed as soon as
    they have handed over. Callers resume streams from their last offset.
    """
    async with processes.run(tmp_path) as running:
        await running.start_platform()
        _, (service,) = await processes.gather(
            lambda: running.start_engines(1),
            lambda: running.start_services(1, "--call-ms", str(CALL_MS)),
        )
        entries = list(await running.start_entries(3))
        await running.apply(entries[0], processes.make_configuration_document())
        await running.wait_ready(*entries)
        await running.wait_upstreams(2, *entries)
        live = list(entries)
        streams = [processes.ReceivedStream() for _ in range(STREAMS)]
        answers: list[httpx.Response] = []

        async def place() -> None:
            answers.append(await running.call(entries[0], "place", {}, "k"))

        async with anyio.create_task_group() as callers:
            for number, received in enumerate(streams):
                callers.start_soon(
                    _read_with_resume, running, live, number, received
                )
            callers.start_soon(place)
            await processes.wait_for(
                functools.partial(
                    _has_unfinished, running, entries[0], STREAMS + 1
                )
            )
            await processes.wait_tokens(streams[0], 5)
            await _reclaim_after_handover(running, live, entries[0])
            successor = await _find_successor(running, live)
            await _reclaim_after_handover(running, live, successor)
            interrupted = sum(received.end is None for received in streams)
        (last,) = live
        repeated = await running.call(last, "place", {}, "k")
        executions = await running.executions(service)
    for number, received in enumerate(streams):
        received.check_complete(f"stream {number}", STREAM_TOKENS)
    assert answers[0].status_code == 200, answers[0].text
    assert repeated.json()["text"] == answers[0].json()["text"]
    assert executions["total"] == 1
    print(f"{interrupted} streams ran when the second entry was killed")


@scenarios.concurrent(4)
async def test_an_unanswered_call_is_handed_over_and_never_sent_again(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a successor that repeats a call that may have run.

    The call takes longer than the notice of its entry, which is killed once
    the caller has the verdict.
    """
    async with processes.run(tmp_path) as running:
        await running.start_platform()
        (service,) = await running.start_services(
            1, "--call-ms", str(LONG_CALL_MS)
        )
        entries = await running.start_entries(2)
        await running.apply(
            entries[0], processes.make_configuration_document(entry_count=2)
        )
        await running.wait_ready(*entries)
        await running.wait_upstreams(1, *entries)
        answers: list[httpx.Response] = []

        async def place() -> None:
            answers.append(await running.call(entries[0], "place", {}, "k"))

        async def is_executing() -> bool:
            return bool((await running.executions(service))["total"])

        async with anyio.create_task_group() as callers:
            callers.start_soon(place)
            await processes.wait_for(is_executing)
            await running.give_notice("entry-0", SHORT_NOTICE_MS)
        entries[0].kill()
        request_id = answers[0].json()["error"]["request_id"]
        status_response = await running.http.get(
            f"{entries[1].url}/v1/requests/{request_id}",
            headers=processes.CUSTOMER_HEADERS,
        )
        repeated = await running.call(entries[1], "place", {}, "k")
        executions = await running.executions(service)
    assert answers[0].json()["error"]["verdict"] == "may_have_run"
    assert status_response.json()["verdict"] == "may_have_run", (
        status_response.text
    )
    assert repeated.json()["error"]["verdict"] == "may_have_run"
    assert executions["total"] == 1


async def _has_unfinished(
    running: processes.Processes, entry: processes.Process, count: int
) -> bool:
    status = await running.status(entry)
    return bool(status["requests"]["unfinished"] >= count)


async def _reclaim_after_handover(
    running: processes.Processes,
    live: list[processes.Process],
    entry: processes.Process,
) -> None:
    """Give notice and kill the entry once it has no unfinished requests.

    Its requests have then ended or been handed over. The outcome of the call
    must be recorded too; the entry has until the end of its notice for this.
    """
    await running.give_notice(entry.ready["vm_id"], NOTICE_MS)

    async def has_handed_over() -> bool:
        status = await running.status(entry)
        unfinished = status["requests"]["unfinished"]
        if status["phase"] != "leaving" or unfinished:
            return False
        row = await running.read_row("claims", "acme/balcao/k")
        return bool(json.loads(row["value"])["state"] == "ended")

    await processes.wait_for(has_handed_over)
    live.remove(entry)
    entry.kill()
    await entry.exit_code()


async def _find_successor(
    running: processes.Processes, live: list[processes.Process]
) -> processes.Process:
    for entry in live:
        if await running.counter(entry, "handover", "taken"):
            return entry
    raise AssertionError("no entry has accepted a handover")


async def _read_with_resume(
    running: processes.Processes,
    live: list[processes.Process],
    stream_number: int,
    received: processes.ReceivedStream,
) -> None:
    """Read a stream to its end, resuming at another entry when cut."""
    prompt = f"stream {stream_number}"
    with contextlib.suppress(httpx.TransportError):
        await running.read_stream(live[0], prompt, STREAM_TOKENS, received)
    while received.end is None and received.error is None:
        with contextlib.suppress(httpx.TransportError):
            await running.resume_stream(live[-1], received)
        await anyio.sleep(processes.POLL_INTERVAL_S)


@scenarios.concurrent(5)
async def test_a_resumed_entry_receives_notices_before_it_dispatches(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against new requests to a leaving engine after a pause.

    Requests arrive during the pause, and the platform is unreachable after
    it. The engine itself does not report that it is leaving.
    """
    time = clock.SystemClock()
    async with processes.run(tmp_path) as running:
        platform = await running.start_platform()
        leaving, _ = await running.start_engines(2)
        address = platform.ready["address"]
        async with processes.run_proxy(address) as proxy:
            (other,) = await running.start_entries(1)
            resumed = await running.start_entry(
                1,
                seeds=(other,),
                platform_url=f"http://{proxy.address}",
            )
            await running.apply(
                other, processes.make_configuration_document(entry_count=2)
            )
            await running.wait_ready(other, resumed)
            await running.wait_upstreams(2, other, resumed)
            resumed.pause()
            paused_ms = time.now_ms()

            async def has_paused_long_enough() -> bool:
                return time.now_ms() > paused_ms + PAUSE_MS

            await proxy.disconnect()
            await running.give_notice("engine-0", NOTICE_MS)
            await processes.wait_for(
                functools.partial(_is_marked_leaving, running, other)
            )
            await processes.wait_for(has_paused_long_enough)
            requests_before = await running.logged_requests(
                leaving, "/v1/generate"
            )
            streams = [
                processes.ReceivedStream() for _ in range(STREAMS_AFTER_PAUSE)
            ]
            async with anyio.create_task_group() as callers:
                for number, received in enumerate(streams):
                    callers.start_soon(
                        running.read_stream,
                        resumed,
                        f"waking {number}",
                        TOKENS,
                        received,
                    )
                resumed.resume()
            requests_after = await running.logged_requests(
                leaving, "/v1/generate"
            )
    for number, received in enumerate(streams):
        received.check_complete(f"waking {number}", TOKENS)
    assert len(requests_after) == len(requests_before)
