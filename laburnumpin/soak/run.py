"""One soak: processes, load, faults in series and overlapping, checks."""

from __future__ import annotations

import dataclasses
import itertools
import pathlib
import random
import signal

import anyio
from anyio import abc

from laburnumpin import clock
from laburnumpin.forwarding import connections
from laburnumpin.platform import standins
from laburnumpin.soak import calls
from laburnumpin.soak import processes
from laburnumpin.soak import promises
from laburnumpin.soak import proxy

START_TIMEOUT_S = 20.0
CALLERS_PER_ENTRY = 3
# Time after which an exit is taken to hang; the platform allows 8 s.
EXIT_TIMEOUT_S = 12.0
PROBE_PERIOD_S = 0.25
CONFIG_PERIOD_S = 1.5
KEY = "key-1"
# Callers at each entry of the customer with a quota; together they ask for
# several times its rate.
LIMITED_CALLERS_PER_ENTRY = 2
# Longest pauses of a caller that was served, and of one that was rejected.
SERVED_PAUSE_S = 0.05
REJECTED_PAUSE_S = 0.1
# Part of the streams that outlast the notice of a reclaim.
LONG_SHARE = 0.2
# From this many entries on they are in two zones.
ONE_ZONE_ENTRIES = 4
# Time that a runner that is replaced still serves, beyond the time by which
# entries have to stop sending.
LEAVING_S = 5.0
# Part of the requests that a harmed runner fails, and one of a harmed service.
RUNNER_HARM_SHARE = 0.5
SERVICE_HARM_SHARE = 0.8
# Part of the writes that the store does and does not answer.
LOST_ANSWER_SHARE = 0.5
# Notice of a reclaim, the shortest that the deployments list.
RECLAIM_NOTICE_S = 1.25
# Steps of the time of day, ms.
CLOCK_STEPS_MS = (-6_000, -2_000, 2_000, 6_000)

FAULTS = (
    "kill",
    "pause",
    "kill_all",
    "exit",
    "reload",
    "clock_step",
    "store_reset",
    "store_busy",
    "store_silent",
    "store_lost",
    "store_history",
    "entry_store_cut",
    "runner_delay",
    "runner_reset",
    "runner_cut_one_way",
    "runner_silent",
    "runner_errors",
    "runner_cuts",
    "runner_rejects",
    "service_errors",
    "service_rejects",
    "runner_leaves",
    "runner_reclaimed",
)


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """What a soak found."""

    seed: int
    broken: list[str]
    requests: int
    served: int
    faults: list[str]


class _Runner:
    """A runner with the proxy in front of it."""

    def __init__(
        self, runner: standins.Runner, before: proxy.Proxy, address: str
    ) -> None:
        self.runner = runner
        self.proxy = before
        self.address = address
        self.leaving = False


class Soak:
    """The state of one soak."""

    def __init__(
        self, seed: int, entries: int, directory: pathlib.Path
    ) -> None:
        self._random = random.Random(seed)
        self._seed = seed
        self._entry_count = entries
        self._directory = directory
        self._clock = clock.SystemClock()
        self._history = promises.History()
        self._store = standins.Store(random.Random(f"{seed}/store"))
        self._entries: list[processes.EntryProcess] = []
        self._store_proxies: list[proxy.Proxy] = []
        self._copies: dict[str, int] = {}
        self._runners: list[_Runner] = []
        self._names = itertools.count(1)
        self._version = 1
        self._faults: list[str] = []

    async def run(self, duration_s: float) -> Result:
        """Run the soak and return what it found."""
        try:
            async with anyio.create_task_group() as task_group:
                await self._start(task_group)
                with anyio.move_on_after(duration_s):
                    async with anyio.create_task_group() as load:
                        await self._load(load)
                await anyio.sleep(promises.SETTLE_MS / 1_000)
                task_group.cancel_scope.cancel()
        finally:
            for entry in self._entries:
                entry.end()
        outcomes = self._history.outcomes
        return Result(
            self._seed,
            promises.broken(self._history, self._store),
            len(outcomes),
            sum(1 for o in outcomes if o.status == 200 and o.complete),
            self._faults,
        )

    async def _start(self, task_group: abc.TaskGroup) -> None:
        store = await task_group.start(standins.serve, self._store.handle)
        self._store.configure(self._version, "v1")
        self._history.written[self._version] = self._clock.now_ms()
        for service in ("engines", "desk"):
            for _ in range(3):
                await self._add_runner(task_group, service)
        for number in range(self._entry_count):
            before = proxy.Proxy(store)
            address = await task_group.start(before.serve)
            zone = "a"
            if self._entry_count > ONE_ZONE_ENTRIES and number % 2:
                zone = "b"
            entry = processes.EntryProcess(
                f"entry-{number}", zone, self._directory, address
            )
            self._entries.append(entry)
            self._store_proxies.append(before)
            entry.start()
        for entry in self._entries:
            await self._wait_until_serving(entry)

    async def _add_runner(
        self, task_group: abc.TaskGroup, service: str
    ) -> None:
        runner = standins.Runner(
            f"{service}-{next(self._names)}",
            service,
            self._history.runs,
            self._clock.now_ms,
            random.Random(f"{self._seed}/{len(self._runners)}"),
        )
        runner.arrivals = self._history.arrivals
        runner.copies = self._copies
        target = await task_group.start(standins.serve, runner.handle)
        before = proxy.Proxy(target)
        address = await task_group.start(before.serve)
        self._runners.append(_Runner(runner, before, address))
        self._store.register(runner, address)

    async def _wait_until_serving(self, entry: processes.EntryProcess) -> None:
        """Wait until an entry answers a request.

        Raises:
            TimeoutError: It does not within a generous time.
        """
        with anyio.fail_after(START_TIMEOUT_S):
            while True:
                outcome = await self._request(
                    entry,
                    promises.Kind.READ,
                    f"start{next(self._names)}",
                    None,
                )
                if outcome.status == 200:
                    return
                await anyio.sleep(0.1)

    async def _load(self, task_group: abc.TaskGroup) -> None:
        for entry in self._entries:
            for _ in range(CALLERS_PER_ENTRY):
                task_group.start_soon(self._caller, entry, KEY)
            for _ in range(LIMITED_CALLERS_PER_ENTRY):
                task_group.start_soon(self._caller, entry, standins.LIMITED_KEY)
            task_group.start_soon(self._probe, entry)
        task_group.start_soon(self._operate)
        for _ in range(2):
            task_group.start_soon(self._inject, task_group)

    async def _caller(self, entry: processes.EntryProcess, key: str) -> None:
        """Send requests on one connection until it ends, then on another."""
        kinds = list(promises.Kind)
        if key == standins.LIMITED_KEY:
            kinds = [promises.Kind.CALL, promises.Kind.READ]
        while True:
            async with anyio.create_task_group() as task_group:
                connection: connections.ClientConnection | None = None
                try:
                    connection = await calls.connect(entry.address, task_group)
                    while connection.is_reusable():
                        kind = self._random.choice(kinds)
                        outcome = await self._request(
                            entry, kind, self._name(kind, key), connection, key
                        )
                        self._history.outcomes.append(outcome)
                        pause_s = SERVED_PAUSE_S
                        if outcome.status != 200:
                            pause_s = REJECTED_PAUSE_S
                        await anyio.sleep(self._random.uniform(0.0, pause_s))
                except connections.ConnectionLostError:
                    await anyio.sleep(0.1)
                finally:
                    if connection is not None:
                        with anyio.CancelScope(shield=True):
                            await connection.close()
                task_group.cancel_scope.cancel()

    def _name(self, kind: promises.Kind, key: str) -> str:
        """Return the id of a new request."""
        number = next(self._names)
        if key == standins.LIMITED_KEY:
            return f"{promises.LIMITED}{number}"
        if kind.is_stream and self._random.random() < LONG_SHARE:
            return f"long{number}"
        return f"r{number}"

    async def _request(
        self,
        entry: processes.EntryProcess,
        kind: promises.Kind,
        request_id: str,
        kept: connections.ClientConnection | None,
        key: str = KEY,
        path: str = "",
    ) -> promises.Outcome:
        sent_ms = self._clock.now_ms()
        answer = await calls.call(
            entry.address,
            path or f"/{kind.value}/x",
            request_id,
            key,
            is_stream=kind.is_stream,
            kept=kept,
        )
        return promises.Outcome(
            request_id,
            kind,
            entry.name,
            sent_ms,
            self._clock.now_ms(),
            answer.status,
            answer.complete,
            answer.body,
        )

    async def _probe(self, entry: processes.EntryProcess) -> None:
        """Ask which version of the configuration is in force."""
        while True:
            await anyio.sleep(PROBE_PERIOD_S)
            for version in (self._version, max(1, self._version - 2)):
                incarnation = entry.incarnation
                outcome = await self._request(
                    entry,
                    promises.Kind.READ,
                    f"p{next(self._names)}",
                    None,
                    path=f"/v{version}/x",
                )
                if incarnation != entry.incarnation:
                    continue
                if outcome.status == 404 and version == self._version:
                    self._history.missing.append(
                        (entry.name, outcome.sent_ms, version)
                    )
                if outcome.status == 200:
                    self._history.configs.append(
                        (entry.name, incarnation, outcome.sent_ms, version)
                    )

    async def _operate(self) -> None:
        """Write versions of the configuration in uneven steps."""
        while True:
            await anyio.sleep(self._random.uniform(0.3, 2 * CONFIG_PERIOD_S))
            self._version += self._random.randint(1, 3)
            self._store.configure(self._version, f"v{self._version}")
            self._history.written[self._version] = self._clock.now_ms()

    async def _inject(self, task_group: abc.TaskGroup) -> None:
        """Inject faults one after the other; two of these overlap."""
        while True:
            await anyio.sleep(self._random.uniform(0.2, 1.5))
            name = self._random.choice(FAULTS)
            if name == "kill_all" and name in self._faults:
                continue  # Once in a soak is enough to take all time.
            hold_s = self._random.uniform(0.3, 3.0)
            index = self._random.randrange(len(self._entries))
            runner = self._random.choice(self._runners)
            self._faults.append(name)
            start_ms = self._clock.now_ms()
            planned = name in ("exit", "reload", "runner_leaves")
            place = len(self._history.spans)
            target = self._entries[index].name if planned else name
            self._history.spans.append(
                promises.Span(target, start_ms, 2**62, planned)
            )
            if name in ("kill", "pause", "exit", "reload"):
                await self._signal(name, self._entries[index], hold_s)
            elif name == "kill_all":
                await self._kill_all()
            elif name == "clock_step":
                step_ms = self._random.choice(CLOCK_STEPS_MS)
                self._entries[index].step_clock(step_ms)
                await anyio.sleep(hold_s)
                self._entries[index].step_clock(0)
            elif name == "runner_leaves":
                await self._replace_runner(runner, task_group)
            elif name == "runner_reclaimed":
                await self._reclaim_runner(runner, task_group)
            elif name.startswith("service"):
                await self._harm_service(name, runner.runner.service, hold_s)
            elif name.startswith("runner"):
                await self._harm_runner(name, runner, hold_s)
            else:
                await self._harm_store(name, self._store_proxies[index], hold_s)
            self._history.spans[place] = promises.Span(
                target, start_ms, self._clock.now_ms(), planned
            )

    async def _signal(
        self, name: str, entry: processes.EntryProcess, hold_s: float
    ) -> None:
        if name == "reload":
            entry.signal(signal.SIGHUP)
            return
        if name == "pause":
            entry.signal(signal.SIGSTOP)
            await anyio.sleep(hold_s)
            entry.signal(signal.SIGCONT)
            return
        incarnation = entry.incarnation
        if name == "kill":
            entry.signal(signal.SIGKILL)
        else:
            entry.signal(signal.SIGTERM)
        with anyio.move_on_after(EXIT_TIMEOUT_S):
            while not entry.has_ended():
                await anyio.sleep(0.02)
        if entry.incarnation != incarnation:
            return  # Another fault has ended and started it meanwhile.
        if not entry.has_ended():
            entry.end()
        if name == "kill":
            await anyio.sleep(hold_s / 3)
        entry.start()

    async def _kill_all(self) -> None:
        """Kill all entries at once; all have to serve again in time."""
        for entry in self._entries:
            entry.signal(signal.SIGKILL)
        for entry in self._entries:
            entry.end()
            entry.start()
        with anyio.move_on_after(promises.RECOVER_S) as scope:
            for entry in self._entries:
                await self._wait_until_serving(entry)
        if scope.cancelled_caught:
            self._history.found.append("no recovery after the loss of all")

    async def _harm_runner(
        self, name: str, runner: _Runner, hold_s: float
    ) -> None:
        match name:
            case "runner_delay":
                runner.proxy.delay_ms = self._random.choice((20, 200, 900))
            case "runner_reset":
                await runner.proxy.reset_all()
            case "runner_cut_one_way":
                runner.proxy.drop_back = self._random.random() < 0.5
                runner.proxy.drop_forward = not runner.proxy.drop_back
            case "runner_silent":
                runner.proxy.silent = True
            case "runner_errors":
                runner.runner.error_share = RUNNER_HARM_SHARE
            case "runner_cuts":
                runner.runner.cut_share = RUNNER_HARM_SHARE
            case "runner_rejects":
                runner.runner.reject_share = RUNNER_HARM_SHARE
        await anyio.sleep(hold_s)
        runner.proxy.heal()
        runner.runner.error_share = 0.0
        runner.runner.cut_share = 0.0
        runner.runner.reject_share = 0.0

    async def _harm_service(
        self, name: str, service: str, hold_s: float
    ) -> None:
        """Let all runners of a service fail or reject most requests."""
        harmed = [
            r.runner for r in self._runners if r.runner.service == service
        ]
        for runner in harmed:
            if name == "service_errors":
                runner.error_share = SERVICE_HARM_SHARE
            else:
                runner.reject_share = SERVICE_HARM_SHARE
        await anyio.sleep(hold_s)
        for runner in harmed:
            runner.error_share = runner.reject_share = 0.0

    async def _replace_runner(
        self, runner: _Runner, task_group: abc.TaskGroup
    ) -> None:
        """Let a runner leave in peace once another one is there."""
        if await self._announce(runner, task_group, reclaimable=False):
            task_group.start_soon(self._remove_later, runner)

    async def _remove_later(self, runner: _Runner) -> None:
        await anyio.sleep(LEAVING_S)
        self._store.unregister(runner.runner.runner_id)

    async def _reclaim_runner(
        self, runner: _Runner, task_group: abc.TaskGroup
    ) -> None:
        """Take a runner away at the end of a short notice."""
        if await self._announce(runner, task_group, reclaimable=True):
            await anyio.sleep(RECLAIM_NOTICE_S)
            runner.proxy.silent = True
            await runner.proxy.reset_all()
            self._store.unregister(runner.runner.runner_id)

    async def _announce(
        self,
        runner: _Runner,
        task_group: abc.TaskGroup,
        *,
        reclaimable: bool,
    ) -> bool:
        """Register a runner as leaving; False if it is leaving already."""
        if runner.leaving:
            return False
        runner.leaving = True
        self._runners.remove(runner)
        await self._add_runner(task_group, runner.runner.service)
        runner_id = runner.runner.runner_id
        self._history.leaving[runner_id] = self._clock.now_ms()
        self._store.register(
            runner.runner,
            runner.address,
            leaving=True,
            reclaimable=reclaimable,
        )
        return True

    async def _harm_store(
        self, name: str, before: proxy.Proxy, hold_s: float
    ) -> None:
        match name:
            case "store_reset":
                self._store.mode = "reset"
            case "store_busy":
                self._store.mode = "busy"
            case "store_silent":
                self._store.mode = "silent"
            case "store_lost":
                self._store.lost_share = LOST_ANSWER_SHARE
            case "store_history":
                self._store.forget_history()
                return
            case "entry_store_cut":
                before.drop_back = before.drop_forward = True
                before.silent = True
        await anyio.sleep(hold_s)
        before.heal()
        self._store.mode = "ok"
        self._store.lost_share = 0.0


def run(
    seed: int, duration_s: float, entries: int, directory: pathlib.Path
) -> Result:
    """Run one soak with a seed; logs of the entries go to `directory`."""
    soak = Soak(seed, entries, directory)
    return anyio.run(soak.run, duration_s)
