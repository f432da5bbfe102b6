"""Soak test of entry processes under load and overlapping faults."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import dataclasses
import functools
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
# Timeout of an exit before the entry is killed; the platform allows 8 s.
EXIT_TIMEOUT_S = 12.0
PROBE_PERIOD_S = 0.25
CONFIGURATION_PERIOD_S = 1.5
CUSTOMER_KEY = "key-1"
# Callers per entry of the customer with a quota. Together they send several
# times its rate.
LIMITED_CALLERS_PER_ENTRY = 2
# Longest pauses of a caller after a success and after any other outcome.
MAX_PAUSE_AFTER_SUCCESS_S = 0.05
MAX_PAUSE_AFTER_REJECTION_S = 0.1
# Share of the streams that last longer than the notice of a reclaim.
LONG_STREAM_SHARE = 0.2
# More entries than this are spread over two zones.
MAX_ONE_ZONE_ENTRIES = 4
# Time from the registration of a replaced runner as leaving to the removal of
# its registration; longer than the time in which entries have to stop sending.
RUNNER_LEAVING_S = 5.0
# Shares of the requests that fail at a faulty runner and at each runner of a
# faulty service.
RUNNER_FAULT_SHARE = 0.5
SERVICE_FAULT_SHARE = 0.8
# Share of the writes that the store carries out but does not answer.
LOST_ANSWER_SHARE = 0.5
# Notice of a reclaim; the shortest in the deployments.
RECLAIM_NOTICE_S = 1.25
# Share of the soaks with requests that end runners, their longest pause, and
# the time until such a runner is replaced.
CRASHING_SOAK_SHARE = 0.5
MAX_CRASHING_PAUSE_S = 0.5
CRASH_REPLACE_S = 1.5
# Share of the soaks with runners that name limits, the limits in requests a
# second, and for how long they are named.
LIMITED_SOAK_SHARE = 0.5
LIMITS_PER_S = (1.0, 3.5, 10.0)
MIN_LIMITED_S = 5.0
MAX_LIMITED_S = 9.0
# Share of the soaks with runners that send answers without length, the share of
# these among a runner's answers, and for how long it sends them.
OPEN_ENDED_SOAK_SHARE = 0.5
OPEN_ENDED_SHARE = 0.6
MIN_OPEN_ENDED_S = 1.0
MAX_OPEN_ENDED_S = 4.0
# Share of the soaks whose store comes back from older copies, the age of these,
# how long it is away, and until the operator and the runners write again.
RESTORED_SOAK_SHARE = 0.5
MIN_COPY_AGE_S = 0.5
MAX_COPY_AGE_S = 5.0
MAX_RESTORE_S = 1.0
MAX_WRITE_AGAIN_S = 0.3
# Share of the soaks whose engines don't move streams, which run on until their
# runner ends.
NO_MOVES_SOAK_SHARE = 0.33
# Share of the soaks in which runners say in answers that they leave, and the
# time until the store knows.
LEAVING_SOAK_SHARE = 0.5
MIN_UNTOLD_S = 4.0
MAX_UNTOLD_S = 8.0
# Share of the soaks in which runners are busy and ask for a back-off, for how
# long, and the values that no back-off follows from.
BACKOFF_SOAK_SHARE = 0.5
MIN_BUSY_S = 1.0
MAX_BUSY_S = 6.0
ODD_RETRY_AFTER_SHARE = 0.2
ODD_RETRY_AFTER = (b"", b"0", b"-1", b"nan", b"Sat, 05 Dec 2026 10:00:00 GMT")
# Share of the soaks in which another writer leaves odd rows.
ODD_ROW_SOAK_SHARE = 0.5
# Offsets by which a `clock_step` moves the wall clock, ms.
CLOCK_OFFSETS_MS = (-6_000, -2_000, 2_000, 6_000)

# Share of the soaks in which runners send bytes without end, the share of these
# among a runner's answers, and for how long it sends them.
ENDLESS_SOAK_SHARE = 0.5
ENDLESS_SHARE = 0.1
MAX_ENDLESS_S = 2.0
# Most memory of an entry; as in the deployments.
MAX_ENTRY_MB = 300
# Share of the soaks in which all open connections to the store go silent.
STALLED_STORE_SOAK_SHARE = 0.5
# Share of the soaks in which runners go without a notice and the store carries
# out a heartbeat of theirs late, and when; its row stays until its silence.
LATE_SOAK_SHARE = 0.5
MIN_LATE_S = 0.1
MAX_LATE_S = 2.0
SILENCE_S = 3.6
# Share of the soaks with requests in the bodies of others.
SMUGGLING_SOAK_SHARE = 0.5
# Signals to entries that drain, and the chance of one each 20 ms.
DRAIN_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
DRAIN_SIGNAL_SHARE = 0.02

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
    """Result of a soak.

    `broken` holds the violated guarantees, one line each. `served` counts the
    requests with a complete 200 response. `faults` names the injected faults
    in order.
    """

    seed: int
    broken: list[str]
    requests: int
    served: int
    faults: list[str]


class _ProxiedRunner:
    """A runner and the proxy in front of it, which has `address`."""

    def __init__(
        self, runner: standins.Runner, runner_proxy: proxy.Proxy, address: str
    ) -> None:
        self.runner = runner
        self.proxy = runner_proxy
        self.address = address
        self.leaving = False


class Soak:
    """One soak test with its servers, entries and observations.

    Without `inject_faults`, there is no fault that excuses anything of what
    runners say of themselves, and requests that end runners.
    """

    def __init__(
        self,
        seed: int,
        entries: int,
        directory: pathlib.Path,
        *,
        inject_faults: bool = True,
    ) -> None:
        self._injects_faults = inject_faults
        self._random = random.Random(seed)
        self._crash_random = random.Random(f"{seed}/crash")
        self._limit_random = random.Random(f"{seed}/limit")
        self._open_ended_random = random.Random(f"{seed}/open-ended")
        self._restore_random = random.Random(f"{seed}/restore")
        self._leaving_random = random.Random(f"{seed}/leaving")
        self._backoff_random = random.Random(f"{seed}/backoff")
        self._odd_row_random = random.Random(f"{seed}/odd-rows")
        self._signal_random = random.Random(f"{seed}/signals")
        self._stall_random = random.Random(f"{seed}/stall")
        self._late_random = random.Random(f"{seed}/late")
        self._smuggling_random = random.Random(f"{seed}/smuggling")
        self._endless_random = random.Random(f"{seed}/endless")
        self._seed = seed
        self._entry_count = entries
        self._directory = directory
        self._clock = clock.SystemClock()
        self._history = promises.History()
        self._store = standins.Store(random.Random(f"{seed}/store"))
        self._entries: list[processes.EntryProcess] = []
        self._store_proxies: list[proxy.Proxy] = []
        # Shared by all runners, so that each can resume a copied stream.
        self._kv_copies: dict[str, int] = {}
        self._runners: list[_ProxiedRunner] = []
        self._numbers = itertools.count(1)
        self._configuration_version = 1
        self._faults: list[str] = []

    async def run(self, duration_s: float) -> Result:
        """Run the soak and check the guarantees."""
        try:
            async with anyio.create_task_group() as task_group:
                await self._start(task_group)
                with anyio.move_on_after(duration_s):
                    async with anyio.create_task_group() as load_tasks:
                        await self._start_load(load_tasks)
                await anyio.sleep(promises.LATE_ARRIVAL_WAIT_MS / 1_000)
                self._check_memory()
                task_group.cancel_scope.cancel()
        finally:
            for entry in self._entries:
                entry.kill()
        outcomes = self._history.outcomes
        return Result(
            self._seed,
            promises.find_violations(self._history, self._store),
            len(outcomes),
            sum(1 for o in outcomes if o.status == 200 and o.complete),
            self._faults,
        )

    async def _start(self, task_group: abc.TaskGroup) -> None:
        store_address = await task_group.start(
            standins.serve, self._store.handle
        )
        fixed_random = random.Random(f"{self._seed}/fixed-streams")
        self._store.moves_streams = fixed_random.random() >= NO_MOVES_SOAK_SHARE
        self._store.configure(self._configuration_version, "v1")
        self._history.written_ms[self._configuration_version] = (
            self._clock.now_ms()
        )
        for service in ("engines", "desk"):
            for _ in range(3):
                await self._add_runner(task_group, service)
        for number in range(self._entry_count):
            store_proxy = proxy.Proxy(store_address)
            address = await task_group.start(store_proxy.serve)
            zone = "a"
            if self._entry_count > MAX_ONE_ZONE_ENTRIES and number % 2:
                zone = "b"
            entry = processes.EntryProcess(
                f"entry-{number}", zone, self._directory, address
            )
            self._entries.append(entry)
            self._store_proxies.append(store_proxy)
            entry.start()
        for entry in self._entries:
            await self._wait_until_serving(entry)

    async def _add_runner(
        self, task_group: abc.TaskGroup, service: str
    ) -> None:
        runner = standins.Runner(
            f"{service}-{next(self._numbers)}",
            service,
            self._history.executions,
            self._clock.now_ms,
            random.Random(f"{self._seed}/{len(self._runners)}"),
        )
        runner.arrivals = self._history.arrivals
        runner.kv_copies = self._kv_copies
        runner.open_ended_ids = self._history.open_ended_ids
        runner.cut_short_ids = self._history.cut_short_ids
        runner.stopped_ids = self._history.stopped_ids
        runner.said_leaving_ms = self._history.said_leaving_ms
        runner.refusals = self._history.refusals
        runner_address = await task_group.start(standins.serve, runner.handle)
        runner_proxy = proxy.Proxy(runner_address)
        address = await task_group.start(runner_proxy.serve)
        proxied = _ProxiedRunner(runner, runner_proxy, address)
        runner.on_crash = functools.partial(
            self._crash_runner, proxied, task_group
        )
        self._runners.append(proxied)
        self._store.register(runner, address)

    async def _crash_runner(
        self, runner: _ProxiedRunner, task_group: abc.TaskGroup
    ) -> None:
        """End a runner without notice; another one replaces it."""
        if runner.leaving:
            return
        runner.leaving = True
        now_ms = self._clock.now_ms()
        self._history.crashes_ms.append(now_ms)
        self._history.fault_spans.append(
            promises.FaultSpan("runner_crash", now_ms, now_ms, False)
        )
        if runner in self._runners:
            self._runners.remove(runner)
        await runner.proxy.end()
        task_group.start_soon(self._replace_crashed, runner, task_group)

    async def _replace_crashed(
        self, runner: _ProxiedRunner, task_group: abc.TaskGroup
    ) -> None:
        await anyio.sleep(CRASH_REPLACE_S)
        self._store.unregister(runner.runner.runner_id)
        await self._add_runner(task_group, runner.runner.service)

    async def _wait_until_serving(self, entry: processes.EntryProcess) -> None:
        """Wait until an entry answers a request.

        Raises:
            TimeoutError: It does not within `START_TIMEOUT_S`.
        """
        with anyio.fail_after(START_TIMEOUT_S):
            while True:
                outcome = await self._send_request(
                    entry,
                    promises.RequestKind.READ,
                    f"start{next(self._numbers)}",
                    None,
                )
                if outcome.status == 200:
                    return
                await anyio.sleep(0.1)

    async def _start_load(self, task_group: abc.TaskGroup) -> None:
        for entry in self._entries:
            for _ in range(CALLERS_PER_ENTRY):
                task_group.start_soon(self._run_caller, entry, CUSTOMER_KEY)
            for _ in range(LIMITED_CALLERS_PER_ENTRY):
                task_group.start_soon(
                    self._run_caller, entry, standins.LIMITED_KEY
                )
            task_group.start_soon(self._probe_configuration, entry)
        task_group.start_soon(self._write_configurations)
        self._start_upstream_troubles(task_group)
        if self._restore_random.random() < RESTORED_SOAK_SHARE:
            task_group.start_soon(self._restore_store)
        if self._odd_row_random.random() < ODD_ROW_SOAK_SHARE:
            task_group.start_soon(self._write_odd_registrations)
        if self._open_ended_random.random() < OPEN_ENDED_SOAK_SHARE:
            task_group.start_soon(self._send_open_ended_answers, task_group)
        if not self._injects_faults:
            return
        if self._stall_random.random() < STALLED_STORE_SOAK_SHARE:
            task_group.start_soon(self._stall_store_connections)
        if self._endless_random.random() < ENDLESS_SOAK_SHARE:
            task_group.start_soon(self._send_without_end)
        for _ in range(2):
            task_group.start_soon(self._inject_faults, task_group)

    def _start_upstream_troubles(self, task_group: abc.TaskGroup) -> None:
        """Start what runners do of their own; all of it without faults."""
        is_calm = not self._injects_faults
        if self._crash_random.random() < CRASHING_SOAK_SHARE or is_calm:
            task_group.start_soon(self._run_crashing_caller)
        if self._limit_random.random() < LIMITED_SOAK_SHARE or is_calm:
            task_group.start_soon(self._limit_runners)
        if self._backoff_random.random() < BACKOFF_SOAK_SHARE or is_calm:
            task_group.start_soon(self._keep_runners_busy)
        if self._leaving_random.random() < LEAVING_SOAK_SHARE or is_calm:
            task_group.start_soon(self._let_runners_say_they_leave, task_group)
        if self._late_random.random() < LATE_SOAK_SHARE or is_calm:
            task_group.start_soon(self._carry_heartbeats_out_late, task_group)
        if self._smuggling_random.random() < SMUGGLING_SOAK_SHARE or is_calm:
            task_group.start_soon(self._smuggle_requests)

    async def _run_caller(
        self, entry: processes.EntryProcess, key: str
    ) -> None:
        """Send requests on one connection; open another when it ends."""
        kinds = list(promises.RequestKind)
        if key == standins.LIMITED_KEY:
            kinds = [promises.RequestKind.CALL, promises.RequestKind.READ]
        while True:
            connection: connections.ClientConnection | None = None
            try:
                connection = await calls.connect(entry.address)
                while connection.is_reusable():
                    kind = self._random.choice(kinds)
                    outcome = await self._send_request(
                        entry,
                        kind,
                        self._next_request_id(kind, key),
                        connection,
                        key,
                    )
                    self._history.outcomes.append(outcome)
                    pause_s = MAX_PAUSE_AFTER_SUCCESS_S
                    if outcome.status != 200:
                        pause_s = MAX_PAUSE_AFTER_REJECTION_S
                    await anyio.sleep(self._random.uniform(0.0, pause_s))
            except connections.ConnectionLostError:
                await anyio.sleep(0.1)
            finally:
                if connection is not None:
                    connection.close()

    def _next_request_id(self, kind: promises.RequestKind, key: str) -> str:
        """Return the id of a new request."""
        number = next(self._numbers)
        if key == standins.LIMITED_KEY:
            return f"{promises.LIMITED_ID_PREFIX}{number}"
        if kind.is_stream and self._random.random() < LONG_STREAM_SHARE:
            return f"long{number}"
        return f"r{number}"

    async def _send_request(
        self,
        entry: processes.EntryProcess,
        kind: promises.RequestKind,
        request_id: str,
        reused_connection: connections.ClientConnection | None,
        key: str = CUSTOMER_KEY,
        path: str = "",
    ) -> promises.Outcome:
        sent_ms = self._clock.now_ms()
        answer = await calls.call(
            entry.address,
            path or f"/{kind.value}/x",
            request_id,
            key,
            is_stream=kind.is_stream,
            reused_connection=reused_connection,
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
            answer.is_open_ended,
        )

    async def _limit_runners(self) -> None:
        """Let one runner after the other name a limit."""
        while True:
            await anyio.sleep(self._limit_random.uniform(0.2, 1.0))
            runner = self._limit_random.choice(self._runners).runner
            limit_per_s = self._limit_random.choice(LIMITS_PER_S)
            start_ms = self._clock.now_ms()
            runner.limit_per_s = limit_per_s
            try:
                await anyio.sleep(
                    self._limit_random.uniform(MIN_LIMITED_S, MAX_LIMITED_S)
                )
            finally:
                runner.limit_per_s = None
                self._history.limit_spans.append(
                    promises.LimitSpan(
                        runner.runner_id,
                        limit_per_s,
                        start_ms,
                        self._clock.now_ms(),
                    )
                )

    async def _keep_runners_busy(self) -> None:
        """Let one runner after the other ask for a back-off."""
        rng = self._backoff_random
        while True:
            await anyio.sleep(rng.uniform(0.2, 2.0))
            runner = rng.choice(self._runners).runner
            busy_s = rng.uniform(MIN_BUSY_S, MAX_BUSY_S)
            runner.retry_after = None
            if rng.random() < ODD_RETRY_AFTER_SHARE:
                runner.retry_after = rng.choice(ODD_RETRY_AFTER)
            runner.busy_until_ms = self._clock.now_ms() + int(busy_s * 1_000)
            await anyio.sleep(busy_s)

    async def _send_without_end(self) -> None:
        """Let one runner after the other send bytes without end."""
        rng = self._endless_random
        while True:
            await anyio.sleep(rng.uniform(0.1, 2.0))
            runner = rng.choice(self._runners).runner
            runner.endless_share = ENDLESS_SHARE
            with self._fault_span("runner_endless"):
                await anyio.sleep(rng.uniform(0.1, MAX_ENDLESS_S))
                runner.endless_share = 0.0

    def _check_memory(self) -> None:
        for entry in self._entries:
            peak_mb = entry.peak_memory_mb()
            if peak_mb > MAX_ENTRY_MB:
                self._history.violations.append(
                    f"{entry.name}: {peak_mb:.0f} MB of memory"
                )

    async def _stall_store_connections(self) -> None:
        """Silence all open connections to the store now and then."""
        while True:
            await anyio.sleep(self._stall_random.uniform(1.0, 6.0))
            now_ms = self._clock.now_ms()
            for store_proxy in self._store_proxies:
                store_proxy.stall_open()
            self._history.fault_spans.append(
                promises.FaultSpan("store_stalled", now_ms, now_ms, False)
            )
            # The next silence counts only after entries had to notice this one.
            await anyio.sleep(promises.CONTACT_MS / 1_000)

    async def _send_open_ended_answers(self, task_group: abc.TaskGroup) -> None:
        """Let one runner after the other send answers without length."""
        rng = self._open_ended_random
        while True:
            await anyio.sleep(rng.uniform(0.1, 1.0))
            proxied = rng.choice(self._runners)
            runner = proxied.runner
            runner.open_ended_share = OPEN_ENDED_SHARE
            await anyio.sleep(rng.uniform(MIN_OPEN_ENDED_S, MAX_OPEN_ENDED_S))
            if not self._store.moves_streams:
                # Its streams run until it ends.
                await self._reclaim_runner(proxied, task_group)
            runner.open_ended_share = 0.0

    async def _let_runners_say_they_leave(
        self, task_group: abc.TaskGroup
    ) -> None:
        """Let runners say in answers that they leave, the store later."""
        rng = self._leaving_random
        while True:
            await anyio.sleep(rng.uniform(0.5, 3.0))
            runner = rng.choice(self._runners)
            if not await self._take_out(runner, task_group):
                continue
            runner.runner.says_leaving = True
            await anyio.sleep(rng.uniform(MIN_UNTOLD_S, MAX_UNTOLD_S))
            self._store.register(runner.runner, runner.address, leaving=True)
            task_group.start_soon(self._unregister_later, runner)

    async def _carry_heartbeats_out_late(
        self, task_group: abc.TaskGroup
    ) -> None:
        """Let runners go without a notice, and be heard of again."""
        rng = self._late_random
        while True:
            await anyio.sleep(rng.uniform(0.5, 4.0))
            runner = rng.choice(self._runners)
            if not await self._take_out(runner, task_group):
                continue
            late = runner.runner.registration(runner.address, "ready")
            self._store.register(runner.runner, runner.address)
            # Entries have to have read its last row to know that one is older.
            await anyio.sleep(promises.CONTACT_MS / 1_000)
            runner_id = runner.runner.runner_id
            self._store.unregister(runner_id)
            self._history.removed_since_ms[runner_id] = self._clock.now_ms()
            for _ in range(rng.randrange(1, 3)):
                await anyio.sleep(rng.uniform(MIN_LATE_S, MAX_LATE_S))
                self._store.write_late(runner_id, late)
                await anyio.sleep(SILENCE_S)
                self._store.unregister(runner_id)

    async def _smuggle_requests(self) -> None:
        """Send requests with other requests in their bodies."""
        rng = self._smuggling_random
        while True:
            await anyio.sleep(rng.uniform(0.05, 0.5))
            entry = rng.choice(self._entries)
            number = next(self._numbers)
            with contextlib.suppress(
                connections.ConnectionLostError, TimeoutError
            ):
                await calls.send_ambiguous(
                    entry.address,
                    "/calls/x",
                    f"ambiguous{number}",
                    f"{promises.SMUGGLED_ID_PREFIX}{number}",
                    CUSTOMER_KEY,
                )

    async def _write_odd_registrations(self) -> None:
        """Write rows among the registrations that no runner has written."""
        rng = self._odd_row_random
        while True:
            await anyio.sleep(rng.uniform(0.2, 2.0))
            key = f"odd-{rng.randrange(3)}"
            value = rng.choice(standins.ODD_REGISTRATIONS)
            self._store.put_odd_registration(key, value)
            await anyio.sleep(rng.uniform(0.0, 1.0))
            if rng.random() < 0.5:
                self._store.unregister(key)

    async def _restore_store(self) -> None:
        """Let the store come back from older copies of its contents."""
        rng = self._restore_random
        while True:
            copy = self._store.copy()
            await anyio.sleep(rng.uniform(MIN_COPY_AGE_S, MAX_COPY_AGE_S))
            self._faults.append("store_restored")
            with self._fault_span("store_restored"):
                self._store.mode = "reset"
                await anyio.sleep(rng.uniform(0.0, MAX_RESTORE_S))
                lost = self._store.restore(copy)
                self._store.mode = "ok"
                await anyio.sleep(rng.uniform(0.0, MAX_WRITE_AGAIN_S))
                self._store.write_again(lost, copy)

    async def _run_crashing_caller(self) -> None:
        """Send requests that end the runners that answer them."""
        while True:
            await anyio.sleep(
                self._crash_random.uniform(0.1, MAX_CRASHING_PAUSE_S)
            )
            entry = self._crash_random.choice(self._entries)
            number = next(self._numbers)
            await calls.call(
                entry.address,
                "/notes/x",
                f"{promises.CRASHING_ID_PREFIX}{number}",
                CUSTOMER_KEY,
                is_stream=True,
                is_crashing=True,
            )

    async def _probe_configuration(self, entry: processes.EntryProcess) -> None:
        """Probe which versions of the configuration are in force."""
        while True:
            await anyio.sleep(PROBE_PERIOD_S)
            for version in (
                self._configuration_version,
                max(1, self._configuration_version - 2),
            ):
                incarnation = entry.incarnation
                outcome = await self._send_request(
                    entry,
                    promises.RequestKind.READ,
                    f"p{next(self._numbers)}",
                    None,
                    path=f"/v{version}/x",
                )
                if incarnation != entry.incarnation:
                    continue
                if (
                    outcome.status == 404
                    and version == self._configuration_version
                ):
                    self._history.versions_not_in_force.append(
                        (entry.name, outcome.sent_ms, version)
                    )
                if outcome.status == 200:
                    self._history.versions_in_force.append(
                        (entry.name, incarnation, outcome.sent_ms, version)
                    )

    async def _write_configurations(self) -> None:
        """Write new configurations, with random pauses and version steps."""
        while True:
            await anyio.sleep(
                self._random.uniform(0.3, 2 * CONFIGURATION_PERIOD_S)
            )
            self._configuration_version += self._random.randint(1, 3)
            self._store.configure(
                self._configuration_version, f"v{self._configuration_version}"
            )
            self._history.written_ms[self._configuration_version] = (
                self._clock.now_ms()
            )

    async def _inject_faults(self, task_group: abc.TaskGroup) -> None:
        """Inject one fault after another; two of these tasks run at a time."""
        while True:
            await anyio.sleep(self._random.uniform(0.2, 1.5))
            name = self._random.choice(FAULTS)
            if name == "kill_all" and name in self._faults:
                continue  # A second recovery would take up the whole soak.
            fault_s = self._random.uniform(0.3, 3.0)
            entry_index = self._random.randrange(len(self._entries))
            runner = self._random.choice(self._runners)
            self._faults.append(name)
            planned = name in ("exit", "reload", "runner_leaves")
            span_name = self._entries[entry_index].name if planned else name
            with self._fault_span(span_name, planned=planned):
                if name in ("kill", "pause", "exit", "reload"):
                    await self._inject_process_fault(
                        name, self._entries[entry_index], fault_s
                    )
                elif name == "kill_all":
                    await self._kill_all()
                elif name == "clock_step":
                    offset_ms = self._random.choice(CLOCK_OFFSETS_MS)
                    self._entries[entry_index].set_clock_offset(offset_ms)
                    await anyio.sleep(fault_s)
                    self._entries[entry_index].set_clock_offset(0)
                elif name == "runner_leaves":
                    await self._replace_runner(runner, task_group)
                elif name == "runner_reclaimed":
                    await self._reclaim_runner(runner, task_group)
                elif name.startswith("service"):
                    await self._inject_service_fault(
                        name, runner.runner.service, fault_s
                    )
                elif name.startswith("runner"):
                    await self._inject_runner_fault(name, runner, fault_s)
                else:
                    await self._inject_store_fault(
                        name, self._store_proxies[entry_index], fault_s
                    )

    @contextlib.contextmanager
    def _fault_span(
        self, name: str, *, planned: bool = False
    ) -> Iterator[None]:
        """Record how long a fault lasts; it has no end if it is cancelled."""
        spans = self._history.fault_spans
        index = len(spans)
        start_ms = self._clock.now_ms()
        spans.append(promises.FaultSpan(name, start_ms, 2**62, planned))
        yield
        end_ms = self._clock.now_ms()
        spans[index] = promises.FaultSpan(name, start_ms, end_ms, planned)

    async def _inject_process_fault(
        self, name: str, entry: processes.EntryProcess, fault_s: float
    ) -> None:
        if name == "reload":
            entry.signal(signal.SIGHUP)
            return
        if name == "pause":
            entry.pause()
            await anyio.sleep(fault_s)
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
                if name == "exit":
                    self._repeat_signal(entry)
        if entry.incarnation != incarnation:
            return  # Another fault has restarted the entry meanwhile.
        if not entry.has_ended():
            entry.kill()
        if name == "kill":
            await anyio.sleep(fault_s / 3)
        entry.start()

    def _repeat_signal(self, entry: processes.EntryProcess) -> None:
        """Send a draining entry a signal now and then."""
        if self._signal_random.random() < DRAIN_SIGNAL_SHARE:
            entry.signal(self._signal_random.choice(DRAIN_SIGNALS))

    async def _kill_all(self) -> None:
        """Kill all entries at once and check that all serve again in time."""
        for entry in self._entries:
            entry.signal(signal.SIGKILL)
        for entry in self._entries:
            entry.kill()
            entry.start()
        with anyio.move_on_after(promises.RESTART_BOUND_S) as scope:
            for entry in self._entries:
                await self._wait_until_serving(entry)
        if scope.cancelled_caught:
            self._history.violations.append(
                "entries did not all serve again after all were killed"
            )

    async def _inject_runner_fault(
        self, name: str, runner: _ProxiedRunner, fault_s: float
    ) -> None:
        if name not in ("runner_errors", "runner_rejects"):
            self._history.cut_off_runner_ids.add(runner.runner.runner_id)
        match name:
            case "runner_delay":
                runner.proxy.delay_ms = self._random.choice((20, 200, 900))
            case "runner_reset":
                await runner.proxy.reset_all()
            case "runner_cut_one_way":
                runner.proxy.drop_backward = self._random.random() < 0.5
                runner.proxy.drop_forward = not runner.proxy.drop_backward
            case "runner_silent":
                runner.proxy.silent = True
            case "runner_errors":
                runner.runner.error_share = RUNNER_FAULT_SHARE
            case "runner_cuts":
                runner.runner.cut_share = RUNNER_FAULT_SHARE
            case "runner_rejects":
                runner.runner.reject_share = RUNNER_FAULT_SHARE
        await anyio.sleep(fault_s)
        runner.proxy.clear_faults()
        runner.runner.error_share = 0.0
        runner.runner.cut_share = 0.0
        runner.runner.reject_share = 0.0

    async def _inject_service_fault(
        self, name: str, service: str, fault_s: float
    ) -> None:
        """Make all runners of a service fail or reject most requests."""
        faulty = [
            r.runner for r in self._runners if r.runner.service == service
        ]
        for runner in faulty:
            if name == "service_errors":
                runner.error_share = SERVICE_FAULT_SHARE
            else:
                runner.reject_share = SERVICE_FAULT_SHARE
        await anyio.sleep(fault_s)
        for runner in faulty:
            runner.error_share = runner.reject_share = 0.0

    async def _replace_runner(
        self, runner: _ProxiedRunner, task_group: abc.TaskGroup
    ) -> None:
        """Replace a runner and unregister it after `RUNNER_LEAVING_S`."""
        if await self._register_as_leaving(
            runner, task_group, reclaimable=False
        ):
            task_group.start_soon(self._unregister_later, runner)

    async def _unregister_later(self, runner: _ProxiedRunner) -> None:
        await anyio.sleep(RUNNER_LEAVING_S)
        self._store.unregister(runner.runner.runner_id)

    async def _reclaim_runner(
        self, runner: _ProxiedRunner, task_group: abc.TaskGroup
    ) -> None:
        """Replace a runner and end it when a short notice ends.

        Every other one is cut off instead: its host accepts connections, and
        answers nothing.
        """
        if not await self._register_as_leaving(
            runner, task_group, reclaimable=True
        ):
            return
        await anyio.sleep(RECLAIM_NOTICE_S)
        if len(self._history.leaving_since_ms) % 2:
            await runner.proxy.end()
        else:
            self._history.cut_off_runner_ids.add(runner.runner.runner_id)
            runner.proxy.silent = True
            await runner.proxy.reset_all()
        self._store.unregister(runner.runner.runner_id)

    async def _take_out(
        self, runner: _ProxiedRunner, task_group: abc.TaskGroup
    ) -> bool:
        """Replace a runner; return False if it is leaving already."""
        if runner.leaving:
            return False
        runner.leaving = True
        self._runners.remove(runner)
        await self._add_runner(task_group, runner.runner.service)
        return True

    async def _register_as_leaving(
        self,
        runner: _ProxiedRunner,
        task_group: abc.TaskGroup,
        *,
        reclaimable: bool,
    ) -> bool:
        """Add a replacement and register a runner as leaving.

        Returns:
            False if the runner is leaving already.
        """
        if not await self._take_out(runner, task_group):
            return False
        runner_id = runner.runner.runner_id
        self._history.leaving_since_ms[runner_id] = self._clock.now_ms()
        self._store.register(
            runner.runner,
            runner.address,
            leaving=True,
            reclaimable=reclaimable,
        )
        return True

    async def _inject_store_fault(
        self, name: str, store_proxy: proxy.Proxy, fault_s: float
    ) -> None:
        match name:
            case "store_reset":
                self._store.mode = "reset"
            case "store_busy":
                self._store.mode = "busy"
            case "store_silent":
                self._store.mode = "silent"
            case "store_lost":
                self._store.lost_answer_share = LOST_ANSWER_SHARE
            case "store_history":
                self._store.compact_history()
                return
            case "entry_store_cut":
                store_proxy.drop_backward = store_proxy.drop_forward = True
                store_proxy.silent = True
        await anyio.sleep(fault_s)
        store_proxy.clear_faults()
        self._store.mode = "ok"
        self._store.lost_answer_share = 0.0


def run(
    seed: int,
    duration_s: float,
    entries: int,
    directory: pathlib.Path,
    *,
    inject_faults: bool = True,
) -> Result:
    """Run one soak with a seed; the entries log to files in `directory`."""
    soak = Soak(seed, entries, directory, inject_faults=inject_faults)
    return anyio.run(soak.run, duration_s)
