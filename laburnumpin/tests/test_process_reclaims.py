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
# Longer than the bound on new work for a leaving upstream.
PAUSED_MS = 5_500
WAKING_STREAMS = 8
REQUESTS_AFTER_MARK = 10
TOKENS = 4
# More than an engine has slots, so that some of them queue.
STREAMS = 18
STREAM_TOKENS = 300
# The call ends while its entry is leaving.
CALL_MS = 3_000
# Outlasts the notice by far, and the timeout of an answer as well.
LONG_CALL_MS = 600_000
SHORT_NOTICE_MS = 4_000


@scenarios.concurrent(6)
async def test_a_leaving_engine_gets_no_new_work_from_any_entry(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against work for an engine that is about to disappear.

    The list of VMs does not change any more, and one entry has lost the
    platform, so that it learns of the notice from its peers.
    """
    time = clock.SystemClock()
    async with processes.run(tmp_path) as running:
        platform = await running.start_platform()
        leaving, _ = await running.start_engines(2)
        address = platform.ready["address"]
        async with processes.run_proxy(address) as proxy:
            entries = list(await running.start_entries(2))
            cut_off = await running.start_entry(
                2,
                seeds=(entries[0],),
                platform_url=f"http://{proxy.address}",
            )
            entries.append(cut_off)
            await running.apply(
                entries[0], processes.make_configuration_document()
            )
            await running.wait_ready(*entries)
            await running.wait_upstreams(2, *entries)
            counts = [0 for _ in entries]
            async with anyio.create_task_group() as callers:
                for number, entry in enumerate(entries):
                    callers.start_soon(
                        _submit_forever, running, entry, number, counts
                    )
                await _wait_work_of(running, leaving, entries)
                await running.set_faults(platform, path="/vms", freeze=True)
                await proxy.disconnect()
                given_ms = time.now_ms()
                await running.give_notice("engine-0", NOTICE_MS)
                for entry in entries:
                    await processes.wait_for(
                        functools.partial(_is_marked, running, entry)
                    )
                # What was under way when the last entry learned of it.
                await _wait_counts(counts, 2)
                before = await running.logged_requests(leaving, "/v1/generate")
                await _wait_counts(counts, REQUESTS_AFTER_MARK)
                after = await running.logged_requests(leaving, "/v1/generate")
                callers.cancel_scope.cancel()
    assert len(after) == len(before)
    last_ms = max(row["at_ms"] for row in after) - given_ms
    print(f"last new dispatch {last_ms} ms after the notice")


async def _submit_forever(
    running: processes.Processes,
    entry: processes.Process,
    number: int,
    counts: list[int],
) -> None:
    """Send requests one after the other, until cancelled."""
    while True:
        prompt = f"{number} {counts[number]}"
        received = await running.read_stream(entry, prompt, TOKENS)
        received.check_complete(prompt, TOKENS)
        counts[number] += 1


async def _wait_counts(counts: list[int], more: int) -> None:
    """Wait until each entry has answered some more requests."""
    wanted = [count + more for count in counts]

    async def is_reached() -> bool:
        return all(
            count >= goal for count, goal in zip(counts, wanted, strict=True)
        )

    await processes.wait_for(is_reached)


async def _wait_work_of(
    running: processes.Processes,
    engine: processes.Process,
    entries: list[processes.Process],
) -> None:
    """Wait until every entry has sent work to an engine."""
    names = {entry.ready["vm_id"] for entry in entries}

    async def has_all() -> bool:
        seen = set()
        for row in await running.logged_requests(engine, "/v1/generate"):
            seen.add(row["request_id"].partition(".")[0])
        return seen >= names

    await processes.wait_for(has_all)


async def _is_marked(
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
    """Guards against work that is lost with a reclaimed entry.

    The successor gets a notice as well, and both are killed as soon as they
    have handed over. Callers come back with the offset that they have.
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
                callers.start_soon(_follow, running, live, number, received)
            callers.start_soon(place)
            await processes.wait_for(
                functools.partial(
                    _has_unfinished, running, entries[0], STREAMS + 1
                )
            )
            await processes.wait_tokens(streams[0], 5)
            await _reclaim(running, live, entries[0])
            successor = await _find_successor(running, live)
            await _reclaim(running, live, successor)
            moved = sum(received.end is None for received in streams)
        (last,) = live
        again = await running.call(last, "place", {}, "k")
        executions = await running.executions(service)
    for number, received in enumerate(streams):
        received.check_complete(f"stream {number}", STREAM_TOKENS)
    assert answers[0].status_code == 200, answers[0].text
    assert again.json()["text"] == answers[0].json()["text"]
    assert executions["total"] == 1
    print(f"{moved} streams ran when the second entry was killed")


@scenarios.concurrent(4)
async def test_an_unanswered_call_is_handed_over_and_never_sent_again(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a successor that runs a call which may have run.

    The call outlasts the notice of its entry, which is killed once its
    caller has the verdict.
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
        read = await running.http.get(
            f"{entries[1].url}/v1/requests/{request_id}",
            headers=processes.CUSTOMER_HEADERS,
        )
        again = await running.call(entries[1], "place", {}, "k")
        executions = await running.executions(service)
    assert answers[0].json()["error"]["verdict"] == "may_have_run"
    assert read.json()["verdict"] == "may_have_run", read.text
    assert again.json()["error"]["verdict"] == "may_have_run"
    assert executions["total"] == 1


async def _has_unfinished(
    running: processes.Processes, entry: processes.Process, count: int
) -> bool:
    status = await running.status(entry)
    return bool(status["requests"]["unfinished"] >= count)


async def _reclaim(
    running: processes.Processes,
    live: list[processes.Process],
    entry: processes.Process,
) -> None:
    """Give notice, and kill the entry once its work is done or handed over.

    The outcome of its call is part of the work; the entry has the rest of
    its notice to record it.
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
    raise AssertionError("no entry has taken over")


async def _follow(
    running: processes.Processes,
    live: list[processes.Process],
    number: int,
    received: processes.ReceivedStream,
) -> None:
    """Read a stream to its end, at another entry after each cut."""
    prompt = f"stream {number}"
    with contextlib.suppress(httpx.TransportError):
        await running.read_stream(live[0], prompt, STREAM_TOKENS, received)
    while received.end is None and received.error is None:
        with contextlib.suppress(httpx.TransportError):
            await running.resume_stream(live[-1], received)
        await anyio.sleep(processes.POLL_INTERVAL_S)


@scenarios.concurrent(5)
async def test_an_entry_that_wakes_learns_of_notices_before_it_dispatches(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against new work for a leaving engine after a pause.

    Requests have arrived during the pause, and the platform is out of reach
    after it. The engine itself doesn't know that it is leaving.
    """
    time = clock.SystemClock()
    async with processes.run(tmp_path) as running:
        platform = await running.start_platform()
        leaving, _ = await running.start_engines(2)
        address = platform.ready["address"]
        async with processes.run_proxy(address) as proxy:
            (other,) = await running.start_entries(1)
            woken = await running.start_entry(
                1,
                seeds=(other,),
                platform_url=f"http://{proxy.address}",
            )
            await running.apply(
                other, processes.make_configuration_document(entry_count=2)
            )
            await running.wait_ready(other, woken)
            await running.wait_upstreams(2, other, woken)
            woken.pause()
            paused_ms = time.now_ms()

            async def is_over() -> bool:
                return time.now_ms() > paused_ms + PAUSED_MS

            await proxy.disconnect()
            await running.give_notice("engine-0", NOTICE_MS)
            await processes.wait_for(
                functools.partial(_is_marked, running, other)
            )
            await processes.wait_for(is_over)
            before = await running.logged_requests(leaving, "/v1/generate")
            streams = [
                processes.ReceivedStream() for _ in range(WAKING_STREAMS)
            ]
            async with anyio.create_task_group() as callers:
                for number, received in enumerate(streams):
                    callers.start_soon(
                        running.read_stream,
                        woken,
                        f"waking {number}",
                        TOKENS,
                        received,
                    )
                woken.resume()
            after = await running.logged_requests(leaving, "/v1/generate")
    for number, received in enumerate(streams):
        received.check_complete(f"waking {number}", TOKENS)
    assert len(after) == len(before)
