"""Replay of routing decisions in virtual time.

The entries run the real reducer; upstreams and platform are simulated. Not
covered are the shell, HTTP, entries that leave (`core/handover.py`) and the
fleet plan (`core/fleet.py`): a reclaimed VM is replaced by one in another
zone, which serves a fixed time after starts are no longer refused.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import json
import random
from typing import Any

import cbor2

from laburnumpin import verdict
from laburnumpin.bench import fakes
from laburnumpin.bench import policies
from laburnumpin.bench import traces
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import messages
from laburnumpin.core import reducer
from laburnumpin.core import requests
from laburnumpin.core import state as entry_state
from laburnumpin.core import store
from laburnumpin.core import versions

CLIENT_LATENCY_MS = 3.0
SAME_DATA_CENTER_LATENCY_MS = 0.2
PLATFORM_LATENCY_MS = 5.0
# Time for a replacement to boot and load its weights.
REPLACEMENT_START_MS = 20_000.0
IMPORT_MS = 200.0
VM_LIST_LAG_MS = 3_000.0
# Requests that have not ended this long after the last arrival count as
# unfinished.
DRAIN_MS = 150_000.0
# Time until the poll of a stopped VM fails.
_POLL_TIMEOUT_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class Vm:
    """An upstream VM; paid from `started_ms` to `stopped_ms`.

    `notice_ms` and `notice_end_ms` are the times of a reclaim notice and of
    the reclaim. `report` is the last load report, made at `report_ms`.
    """

    spec: traces.UpstreamSpec
    fake: fakes.Engine | fakes.PlainService
    started_ms: float
    stopped_ms: float | None = None
    notice_ms: float | None = None
    notice_end_ms: float | None = None
    report: events.LoadReport | None = None
    report_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class Record:
    """The outcome of an arrival: a request or the code of a refusal."""

    arrival: traces.Arrival
    request_id: str = ""
    refusal_code: str = ""
    request: requests.Request | None = None


@dataclasses.dataclass(slots=True)
class Result:
    """Results of a replay, from which the report is computed.

    `max_dispatch_after_notice_ms` is the longest time from a reclaim notice
    to a dispatch to its VM. `peer_messages` and `peer_bytes` count what the
    entries send to each other.
    """

    trace: traces.Trace
    policy: str
    end_ms: float
    records: list[Record]
    vms: list[Vm]
    tokens: fakes.TokenCounts
    peer_messages: int
    peer_bytes: int
    dispatches: int
    max_dispatch_after_notice_ms: float
    counters: dict[str, int]


class Replay:
    """One run of a trace under a policy."""

    def __init__(self, trace: traces.Trace, policy: policies.Policy) -> None:
        self.now_ms = 0.0
        self._trace = trace
        self._policy = policy
        self._rng = random.Random(trace.seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._call_sequence = itertools.count()
        self._tokens = fakes.TokenCounts()
        self._computed_blocks: set[str] = set()
        self._records = [Record(arrival) for arrival in trace.arrivals]
        self._unfinished_count = len(self._records)
        self._by_request: dict[str, Record] = {}
        self._states: list[entry_state.EntryState] = []
        self._entry_of_attempt: dict[str, int] = {}
        self._vm_of_attempt: dict[str, str] = {}
        self._vms: dict[str, Vm] = {}
        self._rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self._peer_messages = 0
        self._peer_bytes = 0
        self._dispatches = 0
        self._max_dispatch_after_notice_ms = 0.0
        self._refused_until_ms = 0.0
        self._zones = list(trace.deployment.zones)

    def run(self, progress: Callable[[float], None] | None = None) -> Result:
        """Run until the last request ends and return the result.

        `progress` is called with the virtual time after each event.
        """
        self._start()
        last_arrival_ms = (
            self._trace.arrivals[-1].arrival_ms if self._records else 0.0
        )
        with policies.installed(self._policy):
            while self._heap and self._unfinished_count > 0:
                self.now_ms, _, function = heapq.heappop(self._heap)
                if self.now_ms > last_arrival_ms + DRAIN_MS:
                    break
                function()
                if progress is not None:
                    progress(self.now_ms)
        return self._result()

    def call_after(self, delay_ms: float, function: Callable[[], None]) -> None:
        """Call `function` after `delay_ms` of virtual time."""
        heapq.heappush(
            self._heap,
            (self.now_ms + delay_ms, next(self._call_sequence), function),
        )

    def deliver(self, entry: int, event: events.Event) -> None:
        """Pass an event to an entry's reducer and execute the effects."""
        state = self._states[entry]
        self.execute(entry, reducer.reduce(state, event))

    def execute(
        self, entry: int, pending_effects: list[effects.Effect]
    ) -> None:
        """Execute effects in order; those without a handler are ignored."""
        for effect in pending_effects:
            handler = _EFFECT_HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, entry, effect)

    def event_time_ms(self) -> int:
        """Return the virtual time in whole milliseconds, as events have it."""
        return int(self.now_ms)

    def _table_is_down(self) -> bool:
        """Return whether the table service is unavailable now."""
        start_ms, end_ms = self._trace.table_down_ms
        return start_ms <= self.now_ms < end_ms

    def output(self, attempt_id: str, offset: int, next_offset: int) -> None:
        """Deliver output of an attempt to its entry."""
        chunk = messages.Chunk(offset, next_offset, "")
        self._schedule_answer(
            attempt_id,
            lambda: events.AttemptOutput(
                self.event_time_ms(), attempt_id, chunk
            ),
        )

    def completed(
        self, attempt_id: str, total: int, cached: int, computed: int
    ) -> None:
        """Deliver the end marker of an attempt to its entry."""
        self._schedule_answer(
            attempt_id,
            lambda: events.AttemptCompleted(
                self.event_time_ms(), attempt_id, total, cached, computed
            ),
        )

    def failed(
        self, attempt_id: str, failure: events.AttemptFailure, sent: bool
    ) -> None:
        """Deliver the failure of an attempt to its entry."""
        attempt_verdict = verdict.Verdict.NOT_RUN
        if sent:
            attempt_verdict = verdict.Verdict.MAY_HAVE_RUN
        self._schedule_answer(
            attempt_id,
            lambda: events.AttemptFailed(
                self.event_time_ms(), attempt_id, attempt_verdict, failure
            ),
        )

    def _start(self) -> None:
        configuration = deployment.Configuration(
            1, "bench", "", self._trace.deployment
        )
        for number in range(traces.ENTRY_COUNT):
            zone = self._zones[number % len(self._zones)]
            state = entry_state.EntryState(
                ids.EntryId(f"entry-{number}", 1),
                zone,
                f"entry-{number}",
                self._trace.seed * 100 + number,
            )
            state.configuration.current = configuration
            self._states.append(state)
        document = json.dumps(
            {"version": 1, "change_id": "bench", "document": ""}
        )
        row = (versions.TABLE, versions.CURRENT_KEY)
        self._rows[row] = (1, document)
        for spec in self._trace.upstreams:
            self._start_vm(spec)
        for number in range(traces.ENTRY_COUNT):
            offset_ms = events.TICK_MS * number / traces.ENTRY_COUNT
            self.deliver(number, self._list_vms())
            self.call_after(offset_ms, self._make_tick(number))
        for record in self._records:
            delay_ms = record.arrival.arrival_ms + CLIENT_LATENCY_MS
            self.call_after(delay_ms, self._make_arrival(record))
        for wave in self._trace.waves:
            self.call_after(wave.start_ms, self._make_wave(wave))

    def _make_tick(self, entry: int) -> Callable[[], None]:
        def tick() -> None:
            self.deliver(entry, events.Tick(self.event_time_ms()))
            self.call_after(events.TICK_MS, tick)

        return tick

    def _make_arrival(self, record: Record) -> Callable[[], None]:
        arrival = record.arrival
        exchange_id = str(len(self._by_request))
        self._by_request[exchange_id] = record

        def arrive() -> None:
            self.deliver(
                arrival.entry,
                events.RequestArrived(
                    now_ms=self.event_time_ms(),
                    exchange_id=exchange_id,
                    customer=arrival.customer,
                    service=arrival.service,
                    operation=arrival.operation,
                    body="{}",
                    prompt=arrival.prompt,
                    max_tokens=arrival.max_tokens,
                    idempotency_key=None,
                    deadline_ms=self.event_time_ms()
                    + arrival.relative_deadline_ms,
                    priority=None,
                ),
            )

        return arrive

    def _start_vm(self, spec: traces.UpstreamSpec) -> None:
        service = self._trace.deployment.services[spec.service]
        fake: fakes.Engine | fakes.PlainService
        if service.kind is deployment.ServiceKind.PLAIN:
            fake = fakes.PlainService(spec, self, self, self._rng)
        else:
            fake = fakes.Engine(
                spec, self, self, self._tokens, self._computed_blocks
            )
        self._vms[spec.vm_id] = Vm(spec, fake, self.now_ms)

    def _make_wave(self, wave: traces.Wave) -> Callable[[], None]:
        def reclaim() -> None:
            refused_ms = self.now_ms + wave.refused_ms
            self._refused_until_ms = max(self._refused_until_ms, refused_ms)
            for vm in list(self._vms.values()):
                if vm.spec.zone != wave.zone or vm.notice_end_ms is not None:
                    continue
                vm.notice_ms = self.now_ms
                vm.notice_end_ms = self.now_ms + wave.notice_ms
                vm.fake.leaving = True
                self.call_after(wave.notice_ms, self._make_stop(vm))
                self.call_after(0.0, self._make_replacement(vm.spec))

        return reclaim

    def _make_stop(self, vm: Vm) -> Callable[[], None]:
        def stop() -> None:
            vm.fake.stop()
            vm.stopped_ms = self.now_ms

        return stop

    def _make_replacement(
        self, spec: traces.UpstreamSpec
    ) -> Callable[[], None]:
        zone = self._zones[(self._zones.index(spec.zone) + 2) % 3]
        name = f"{spec.vm_id}-r"
        price = min(
            other.price_per_hour
            for other in self._trace.upstreams
            if other.service == spec.service and other.zone == zone
        )
        replacement = dataclasses.replace(
            spec, vm_id=name, zone=zone, price_per_hour=price
        )

        def replace() -> None:
            if self.now_ms < self._refused_until_ms:
                self.call_after(1_000.0, replace)
                return
            self.call_after(
                REPLACEMENT_START_MS, lambda: self._start_vm(replacement)
            )

        return replace

    def _list_vms(self) -> events.VmsListed:
        rows = []
        for vm in self._vms.values():
            terminated_ms = vm.stopped_ms
            if (
                terminated_ms is not None
                and terminated_ms + VM_LIST_LAG_MS < self.now_ms
            ):
                continue
            rows.append(
                events.VmRow(
                    vm.spec.vm_id,
                    1,
                    events.VmRole.UPSTREAM,
                    vm.spec.zone,
                    vm.spec.vm_class,
                    True,
                    False,
                    vm.spec.service,
                    vm.spec.vm_id,
                )
            )
        for state in self._states:
            rows.append(
                events.VmRow(
                    state.entry.vm_id,
                    1,
                    events.VmRole.ENTRY,
                    state.zone,
                    "small",
                    True,
                    False,
                    peer_address=state.peer_address,
                )
            )
        return events.VmsListed(self.event_time_ms(), tuple(rows))

    def _latency_ms(self, first_zone: str, second_zone: str) -> float:
        if first_zone == second_zone:
            return SAME_DATA_CENTER_LATENCY_MS
        return self._trace.data_center_latency_ms

    def _schedule_answer(
        self, attempt_id: str, build: Callable[[], events.Event]
    ) -> None:
        entry = self._entry_of_attempt[attempt_id]
        vm = self._vms[self._vm_of_attempt[attempt_id]]
        delay_ms = self._latency_ms(self._states[entry].zone, vm.spec.zone)
        self.call_after(delay_ms, lambda: self._deliver_answer(entry, build))

    def _deliver_answer(
        self, entry: int, build: Callable[[], events.Event]
    ) -> None:
        self.deliver(entry, build())

    def _on_accept(self, entry: int, effect: effects.Accept) -> None:
        record = self._by_request.pop(effect.exchange_id)
        record.request_id = effect.request_id
        record.request = self._states[entry].requests.by_id[effect.request_id]
        self._by_request[effect.request_id] = record

    def _on_refuse(self, entry: int, effect: effects.Refuse) -> None:
        del entry
        self._by_request[effect.exchange_id].refusal_code = effect.failure.code
        self._unfinished_count -= 1

    def _on_dispatch(self, entry: int, effect: effects.Dispatch) -> None:
        vm = self._vms[effect.upstream_id]
        self._entry_of_attempt[effect.attempt_id] = entry
        self._vm_of_attempt[effect.attempt_id] = effect.upstream_id
        arrival = self._by_request[effect.request_id].arrival
        self._dispatches += 1
        if vm.notice_ms is not None:
            self._max_dispatch_after_notice_ms = max(
                self._max_dispatch_after_notice_ms, self.now_ms - vm.notice_ms
            )
        delay_ms = self._latency_ms(self._states[entry].zone, vm.spec.zone)

        def send() -> None:
            if vm.stopped_ms is not None:
                failure: events.AttemptFailure | None = (
                    events.AttemptFailure.CONNECT_FAILED
                )
            else:
                failure = vm.fake.start(effect, arrival)
            if failure is not None:
                self.failed(effect.attempt_id, failure, False)

        self.call_after(delay_ms, send)

    def _on_cancel(self, entry: int, effect: effects.CancelAttempt) -> None:
        del entry
        vm = self._vms[self._vm_of_attempt[effect.attempt_id]]
        vm.fake.cancel(effect.attempt_id)

    def _on_import(self, entry: int, effect: effects.ImportCache) -> None:
        source = self._vms[effect.source_address]
        target = self._vms[effect.target_upstream_id]

        def answer() -> None:
            request_id = effect.request_id
            exported_tokens = None
            if source.stopped_ms is None and target.stopped_ms is None:
                exported_tokens = source.fake.export(request_id)
            if exported_tokens is not None:
                target.fake.import_cache(request_id, exported_tokens)
            self.deliver(
                entry,
                events.CacheImported(
                    self.event_time_ms(),
                    request_id,
                    effect.target_upstream_id,
                    exported_tokens is not None,
                ),
            )

        self.call_after(IMPORT_MS, answer)

    def _on_poll(self, entry: int, effect: effects.PollLoad) -> None:
        vm = self._vms[effect.upstream_id]
        delay_ms = self._latency_ms(self._states[entry].zone, vm.spec.zone)

        def fail() -> None:
            self.deliver(
                entry,
                events.LoadPollFailed(
                    self.event_time_ms(), effect.upstream_id, True
                ),
            )

        def answer() -> None:
            if vm.stopped_ms is not None:
                self.call_after(_POLL_TIMEOUT_MS, fail)
                return
            report = self._lagging_report(vm)
            gap = 0
            if self._rng.random() < self._trace.cache_gap_share:
                gap = self._rng.randint(1, 40)
            until_ms = self.now_ms - self._trace.cache_lag_ms
            cache = vm.fake.cache_events(
                effect.after_cache_sequence, until_ms, gap
            )
            self.call_after(delay_ms, lambda: reported(report, cache))

        def reported(report: events.LoadReport, cache: Any) -> None:
            now_ms = self.event_time_ms()
            self.deliver(
                entry, events.LoadReported(now_ms, effect.upstream_id, report)
            )
            if effect.kind is deployment.ServiceKind.PLAIN:
                return
            if not effect.with_cache_events:
                return
            self.deliver(
                entry,
                events.CacheEventsReported(now_ms, effect.upstream_id, *cache),
            )

        self.call_after(delay_ms, answer)

    def _lagging_report(self, vm: Vm) -> events.LoadReport:
        age_ms = self.now_ms - vm.report_ms
        if vm.report is None or age_ms > self._trace.report_period_ms:
            vm.report = vm.fake.report()
            vm.report_ms = self.now_ms
            age_ms = 0.0
        return dataclasses.replace(vm.report, age_ms=int(age_ms))

    def _on_list_vms(self, entry: int, effect: effects.ListVms) -> None:
        del effect
        self.call_after(
            PLATFORM_LATENCY_MS, lambda: self.deliver(entry, self._list_vms())
        )

    def _on_notices(self, entry: int, effect: effects.ListNotices) -> None:
        del effect
        notices = []
        for vm in self._vms.values():
            if vm.notice_end_ms is None or vm.stopped_ms is not None:
                continue
            remaining_ms = int(vm.notice_end_ms - self.now_ms)
            notices.append(events.Notice(vm.spec.vm_id, 1, remaining_ms))
        if not notices:
            return

        def answer() -> None:
            self.deliver(
                entry,
                events.NoticesListed(self.event_time_ms(), tuple(notices)),
            )

        self.call_after(PLATFORM_LATENCY_MS, answer)

    def _on_read_rows(self, entry: int, effect: effects.ReadRows) -> None:
        def answer() -> events.Event:
            if self._table_is_down():
                return events.ReadFailed(
                    self.event_time_ms(), effect.operation_id
                )
            rows = [self._row(effect.table, key) for key in effect.keys]
            return events.RowsRead(
                self.event_time_ms(), effect.operation_id, tuple(rows)
            )

        self._answer_platform(entry, answer)

    def _on_transact(self, entry: int, effect: effects.Transact) -> None:
        def answer() -> events.Event:
            now_ms = self.event_time_ms()
            if self._table_is_down():
                return events.TransactRefused(now_ms, effect.operation_id)
            conflicts = []
            for condition in effect.conditions:
                row = self._row(condition.table, condition.key)
                if row.version != condition.version:
                    conflicts.append(row)
            if conflicts:
                return events.TransactConflicted(
                    now_ms, effect.operation_id, tuple(conflicts)
                )
            versions = []
            for write in effect.writes:
                version = self._row(write.table, write.key).version + 1
                self._rows[write.table, write.key] = (version, write.value)
                versions.append(version)
            return events.TransactCommitted(
                now_ms, effect.operation_id, tuple(versions)
            )

        self._answer_platform(entry, answer)

    def _answer_platform(
        self, entry: int, build: Callable[[], events.Event]
    ) -> None:
        self.call_after(
            PLATFORM_LATENCY_MS, lambda: self.deliver(entry, build())
        )

    def _row(self, table: str, key: str) -> store.Row:
        version, value = self._rows.get((table, key), (0, None))
        return store.Row(table, key, version, value)

    def _on_object(
        self,
        entry: int,
        effect: effects.GetObject | effects.PutObject | effects.ListObjects,
    ) -> None:
        # Object calls fail, because the fleet's demand profile is not part of
        # the replay.
        self._answer_platform(
            entry,
            lambda: events.ObjectFailed(
                self.event_time_ms(), effect.operation_id
            ),
        )

    def _on_send_peer(self, entry: int, effect: effects.SendPeer) -> None:
        target = int(effect.peer_id.removeprefix("entry-"))
        self._peer_messages += 1
        self._peer_bytes += _encoded_size(effect.message)
        source = self._states[entry]
        delay_ms = self._latency_ms(source.zone, self._states[target].zone)
        message = effect.message

        def receive() -> None:
            self.deliver(
                target,
                events.PeerReceived(
                    self.event_time_ms(), source.entry.vm_id, message
                ),
            )

        self.call_after(delay_ms, receive)

    def _on_observe(self, entry: int, effect: effects.ObserveLatency) -> None:
        del entry
        # The core observes this once for each request that ends.
        if effect.name == "request":
            self._unfinished_count -= 1

    def _result(self) -> Result:
        counter_totals: dict[str, int] = {}
        for state in self._states:
            for name, label, value in state.counters.items():
                key = f"{name}/{label}" if label else name
                counter_totals[key] = counter_totals.get(key, 0) + value
        return Result(
            self._trace,
            self._policy.name,
            self.now_ms,
            self._records,
            list(self._vms.values()),
            self._tokens,
            self._peer_messages,
            self._peer_bytes,
            self._dispatches,
            self._max_dispatch_after_notice_ms,
            counter_totals,
        )


_EFFECT_HANDLERS: dict[type, Callable[[Replay, int, Any], None]] = {
    effects.Accept: Replay._on_accept,
    effects.Refuse: Replay._on_refuse,
    effects.Dispatch: Replay._on_dispatch,
    effects.CancelAttempt: Replay._on_cancel,
    effects.ImportCache: Replay._on_import,
    effects.PollLoad: Replay._on_poll,
    effects.ListVms: Replay._on_list_vms,
    effects.ListNotices: Replay._on_notices,
    effects.ReadRows: Replay._on_read_rows,
    effects.Transact: Replay._on_transact,
    effects.GetObject: Replay._on_object,
    effects.PutObject: Replay._on_object,
    effects.ListObjects: Replay._on_object,
    effects.SendPeer: Replay._on_send_peer,
    effects.ObserveLatency: Replay._on_observe,
}


def _encoded_size(message: messages.Message) -> int:
    return len(cbor2.dumps(dataclasses.asdict(message), default=_encode_enum))


def _encode_enum(encoder: cbor2.CBOREncoder, value: Any) -> None:
    encoder.encode(value.value)
