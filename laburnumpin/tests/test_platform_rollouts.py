"""Roll-outs by entry processes, with stand-ins of store and upstreams."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random
import signal

import anyio
from anyio import abc

from laburnumpin import clock
from laburnumpin.platform import standins
from laburnumpin.soak import calls
from laburnumpin.soak import processes
from laburnumpin.tests import scenarios

KEY = "key-1"
SERVICE = "desk"
# Time limit of the roll-outs; a good version takes most of it.
DURATION_S = 20.0
CALLERS_PER_ENTRY = 4
# Processes that a scenario counts as: its entries, and its share of the one
# that runs the stand-ins.
PROCESSES = 3
OLD_RUNNERS = 3
NEW_RUNNERS = 3
# Time after which the platform starts a process again that has ended.
RESTART_S = 1.0
# Logged by an entry one of whose ports another process has taken.
PORT_TAKEN = "address already in use"
# Far above the duration of a scenario.
TIMEOUT_S = 120.0
# Time in which the other entries learn that a version is stopped.
ROLLBACK_MS = 3_000


class Fleet:
    """Entries under load, and upstreams of the versions `v1` and `v2`."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.store = standins.Store(random.Random(1))
        self.entries: list[processes.EntryProcess] = []
        self.executions: list[standins.Execution] = []
        self.arrivals: list[standins.Arrival] = []
        self.runners: dict[str, standins.Runner] = {}
        self.statuses: list[int] = []
        self.now_ms = clock.SystemClock().now_ms
        self._directory = directory
        self._number = 0
        self._started = 0

    async def start(self, tasks: abc.TaskGroup) -> None:
        """Start two entries beside the old upstreams, and the load."""
        address = await tasks.start(standins.serve, self.store.handle)
        self.store.configure(1, "v1")
        for number in range(OLD_RUNNERS):
            await self.add_runner(tasks, f"old-{number}", "v1", None)
        self.entries = [self._start_entry(address) for _ in range(2)]
        for index in range(2):
            while True:
                entry = self.entries[index]
                status = await self._call(entry, "/reads/x")
                if PORT_TAKEN in entry.log_text():
                    entry.kill()
                    self.entries[index] = self._start_entry(address)
                elif status == 200:
                    break
                await anyio.sleep(0.1)
        for entry in self.entries:
            for caller in range(CALLERS_PER_ENTRY):
                path = ("/reads/x", "/calls/x")[caller % 2]
                tasks.start_soon(self._run_caller, entry, path)

    async def add_runner(
        self,
        tasks: abc.TaskGroup,
        runner_id: str,
        version: str,
        bad: standins.BadVersion | None,
    ) -> None:
        """Start and register an upstream."""
        runner = standins.Runner(
            runner_id,
            SERVICE,
            self.executions,
            self.now_ms,
            random.Random(runner_id),
        )
        runner.version = version
        runner.bad = bad
        runner.arrivals = self.arrivals
        self.runners[runner_id] = runner
        self.store.register(
            runner, await tasks.start(standins.serve, runner.handle)
        )

    async def roll_out(
        self, tasks: abc.TaskGroup, bad: standins.BadVersion | None = None
    ) -> None:
        """Order version `v2` and start its upstreams, as the platform does."""
        self.store.order_rollout(SERVICE, "v2", DURATION_S)
        for number in range(NEW_RUNNERS):
            await self.add_runner(tasks, f"new-{number}", "v2", bad)

    async def until_state(self, *states: str) -> str:
        """Wait until one of the states is reported, and return it."""
        while True:
            state = self.store.rollout_state(SERVICE)
            if state in states:
                return state
            await anyio.sleep(0.05)

    async def outcome(self) -> tuple[str, str]:
        """Wait until the roll-out has ended; return its state and reason."""
        state = await self.until_state("completed", "rolled_back")
        document = self.store.document("laburnumpin-duties", "rollout/desk")
        assert document is not None
        return state, document["decision"][9]

    def holder(self) -> processes.EntryProcess:
        """Return the entry that holds the lease."""
        document = self.store.document("laburnumpin-duties", "lease")
        name = "" if document is None else document["holder"]
        for entry in self.entries:
            if entry.name == name:
                return entry
        raise AssertionError(f"{name!r} is no entry")

    def describe(self) -> str:
        """Return where a scenario stands, for its time-out."""
        row = self.store.document("laburnumpin-duties", f"rollout/{SERVICE}")
        lease = self.store.document("laburnumpin-duties", "lease")
        ended = [entry.name for entry in self.entries if entry.has_ended()]
        return (
            f"decision {row}, states {self.store.rollout_states}, "
            f"lease {lease}, ended entries {ended}, {self._number} calls, "
            f"{len(self.statuses)} answers, last {self.statuses[-10:]}"
        )

    def sent_to(self, version: str, since_ms: int = 0) -> int:
        """Return the requests that reached a version's upstreams."""
        count = 0
        for arrival in self.arrivals:
            runner = self.runners.get(arrival.runner_id)
            if runner is not None and arrival.at_ms >= since_ms:
                count += runner.version == version
        return count

    def _start_entry(self, store_address: str) -> processes.EntryProcess:
        """Start an entry with ports that are free now."""
        self._started += 1
        entry = processes.EntryProcess(
            f"entry-{self._started}",
            "a",
            self._directory,
            store_address,
            has_rollouts=True,
        )
        entry.start()
        return entry

    async def _run_caller(
        self, entry: processes.EntryProcess, path: str
    ) -> None:
        while True:
            self.statuses.append(await self._call(entry, path))
            await anyio.sleep(0.05)

    async def _call(self, entry: processes.EntryProcess, path: str) -> int:
        self._number += 1
        answer = await calls.call(entry.address, path, f"r{self._number}", KEY)
        return answer.status


async def run(
    directory: pathlib.Path,
    play: Callable[[Fleet, abc.TaskGroup], Awaitable[None]],
) -> Fleet:
    """Play a roll-out in a fleet."""
    fleet = Fleet(directory)
    try:
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                await fleet.start(tasks)
                await play(fleet, tasks)
                tasks.cancel_scope.cancel()
    except TimeoutError as error:
        raise AssertionError(fleet.describe()) from error
    finally:
        for entry in fleet.entries:
            entry.kill()
    return fleet


def check_bad_version(fleet: Fleet, ended_ms: int) -> None:
    """Check that few requests reached a bad version, and none at the end."""
    bad = fleet.sent_to("v2")
    total = bad + fleet.sent_to("v1")
    allowed = standins.EXPOSURE_SHARE * total + standins.EXPOSURE_SLACK
    assert 0 < bad <= allowed
    assert fleet.sent_to("v2", ended_ms + ROLLBACK_MS) == 0
    assert set(fleet.store.rollout_states) == {"in_progress", "rolled_back"}


async def play_bad(directory: pathlib.Path, bad: standins.BadVersion) -> None:
    async def play(fleet: Fleet, tasks: abc.TaskGroup) -> None:
        await fleet.roll_out(tasks, bad)
        state, reason = await fleet.outcome()
        assert state == "rolled_back", reason
        ended_ms = fleet.now_ms()
        # Load goes on, so that late sends would be seen.
        seen = len(fleet.statuses)
        while (
            fleet.now_ms() < ended_ms + ROLLBACK_MS + 500
            or len(fleet.statuses) < seen + 50
        ):
            await anyio.sleep(0.1)
        check_bad_version(fleet, ended_ms)

    await run(directory, play)


@scenarios.concurrent(PROCESSES)
async def test_good_version_completes_without_failures(
    directory: pathlib.Path,
) -> None:
    async def play(fleet: Fleet, tasks: abc.TaskGroup) -> None:
        await fleet.roll_out(tasks)
        state, reason = await fleet.outcome()
        assert state == "completed", reason
        completed_ms = fleet.now_ms()
        while fleet.sent_to("v2", completed_ms) < 50:
            await anyio.sleep(0.05)
        assert fleet.sent_to("v1", completed_ms + 200) == 0
        assert set(fleet.statuses) == {200}
        assert fleet.store.rollout_states == ["in_progress", "completed"]

    await run(directory, play)


@scenarios.concurrent(PROCESSES)
async def test_failing_version_is_rolled_back(directory: pathlib.Path) -> None:
    await play_bad(directory, standins.BadVersion())


@scenarios.concurrent(PROCESSES)
async def test_slow_version_is_rolled_back(directory: pathlib.Path) -> None:
    await play_bad(directory, standins.BadVersion(slow_ms=600))


@scenarios.concurrent(PROCESSES)
async def test_version_that_fails_on_one_route_is_rolled_back(
    directory: pathlib.Path,
) -> None:
    await play_bad(directory, standins.BadVersion(path_prefix="/calls/"))


# The lease holder ends before the roll-out does.
@scenarios.concurrent(PROCESSES)
async def test_killed_holder_is_replaced(directory: pathlib.Path) -> None:
    async def play(fleet: Fleet, tasks: abc.TaskGroup) -> None:
        await fleet.roll_out(tasks)
        await fleet.until_state("in_progress")
        holder = fleet.holder()
        holder.kill()
        await anyio.sleep(RESTART_S)
        holder.start()
        state, reason = await fleet.outcome()
        assert state == "completed", reason
        assert fleet.store.rollout_states.count("completed") == 1

    await run(directory, play)


# The lease holder stands still for longer than its lease.
@scenarios.concurrent(PROCESSES)
async def test_frozen_holder_changes_nothing_when_it_wakes(
    directory: pathlib.Path,
) -> None:
    async def play(fleet: Fleet, tasks: abc.TaskGroup) -> None:
        await fleet.roll_out(tasks)
        await fleet.until_state("in_progress")
        holder = fleet.holder()
        holder.pause()
        state, reason = await fleet.outcome()
        holder.signal(signal.SIGCONT)
        woken = len(fleet.statuses)
        while len(fleet.statuses) < woken + 100:
            await anyio.sleep(0.1)
        assert state == "completed", reason
        assert fleet.store.rollout_state(SERVICE) == state
        assert fleet.store.rollout_states.count(state) == 1

    await run(directory, play)


# All entries are killed at once while the canaries run.
@scenarios.concurrent(PROCESSES)
async def test_roll_out_goes_on_after_all_entries_are_killed(
    directory: pathlib.Path,
) -> None:
    async def play(fleet: Fleet, tasks: abc.TaskGroup) -> None:
        await fleet.roll_out(tasks, standins.BadVersion(share=0.1))
        await fleet.until_state("in_progress")
        while not fleet.sent_to("v2"):
            await anyio.sleep(0.05)
        first = fleet.store.document("laburnumpin-duties", "rollout/desk")
        assert first is not None
        for entry in fleet.entries:
            entry.kill()
        for entry in fleet.entries:
            entry.start()
        await fleet.until_state("completed", "rolled_back")
        last = fleet.store.document("laburnumpin-duties", "rollout/desk")
        assert last is not None
        # The start of the roll-out is that of the first decision.
        assert last["decision"][8] == first["decision"][8]
        assert last["decision"][6] > first["decision"][6]

    await run(directory, play)


# Writes of the status stay without an answer until the end of the roll-out.
@scenarios.concurrent(PROCESSES)
async def test_status_is_written_when_the_store_answers_again(
    directory: pathlib.Path,
) -> None:
    async def play(fleet: Fleet, tasks: abc.TaskGroup) -> None:
        fleet.store.write_faults["status"] = "silent"
        await fleet.roll_out(tasks, standins.BadVersion())
        decided = '"rolled_back"'
        while not any(decided in entry.log_text() for entry in fleet.entries):
            await anyio.sleep(0.1)
        assert fleet.store.rollout_state(SERVICE) is None
        del fleet.store.write_faults["status"]
        await fleet.until_state("rolled_back")

    await run(directory, play)


# Every write of a status is carried out, and its answer is lost.
@scenarios.concurrent(PROCESSES)
async def test_lost_answers_of_status_writes_repeat_nothing(
    directory: pathlib.Path,
) -> None:
    async def play(fleet: Fleet, tasks: abc.TaskGroup) -> None:
        fleet.store.write_faults["status"] = "lost"
        await fleet.roll_out(tasks, standins.BadVersion())
        await fleet.until_state("rolled_back")
        seen = len(fleet.statuses)
        while len(fleet.statuses) < seen + 100:
            await anyio.sleep(0.1)
        assert fleet.store.rollout_states == ["in_progress", "rolled_back"]

    await run(directory, play)


# The operator takes its order back while the canaries run.
@scenarios.concurrent(PROCESSES)
async def test_order_that_is_taken_back_is_rolled_back(
    directory: pathlib.Path,
) -> None:
    async def play(fleet: Fleet, tasks: abc.TaskGroup) -> None:
        await fleet.roll_out(tasks)
        while not fleet.sent_to("v2"):
            await anyio.sleep(0.05)
        fleet.store.remove("op", f"rollout/{SERVICE}")
        await fleet.until_state("rolled_back")

    await run(directory, play)
