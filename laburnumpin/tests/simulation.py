"""Simulates several entries and their environment in virtual time.

Tests drive the reducer of each entry against simulated tables, objects,
upstreams and links between peers. Faults are drawn from a seeded generator
at the rates that a test sets, and each execution at an upstream is recorded.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import heapq
import random

from laburnumpin import verdict
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import messages
from laburnumpin.core import reducer
from laburnumpin.core import requests
from laburnumpin.core import state as entry_state
from laburnumpin.core import store

START_MS = 1_000_000
DRAFT_TOKENS = 4


def make_configuration() -> deployment.Configuration:
    """Return a configuration with a model and a plain service."""
    draft = deployment.Operation("draft")
    order = deployment.Operation("order", idempotent=False)
    zones = {f"zone-{n}": deployment.Zone(f"zone-{n}", "", "") for n in "abc"}
    kinds = deployment.ServiceKind
    services = {
        "model": deployment.Service("model", kinds.MODEL, {"draft": draft}),
        "desk": deployment.Service("desk", kinds.PLAIN, {"order": order}),
    }
    customers = {
        "acme": deployment.Customer("acme", (), max_queued_requests=2_000)
    }
    return deployment.Configuration(
        1,
        "change",
        "",
        deployment.Deployment(
            "test", zones, services, customers, (), deployment.Policy()
        ),
    )


class Tables:
    """Versioned rows with conditional transactions."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[int, str | None]] = {}

    def row(self, table: str, key: str) -> store.Row:
        version, value = self.rows.get((table, key), (0, None))
        return store.Row(table, key, version, value)

    def transact(
        self, effect: effects.Transact
    ) -> tuple[tuple[int, ...], tuple[store.Row, ...]]:
        """Return the new versions, or the conflicting rows if there are any."""
        conflicts = []
        for condition in effect.conditions:
            row = self.row(condition.table, condition.key)
            if row.version != condition.version:
                conflicts.append(row)
        if conflicts:
            return (), tuple(conflicts)
        versions = []
        assert len({w.key for w in effect.writes}) == len(effect.writes)
        for write in effect.writes:
            version = self.row(write.table, write.key).version + 1
            self.rows[write.table, write.key] = (version, write.value)
            versions.append(version)
        return tuple(versions), ()


@dataclasses.dataclass(slots=True)
class Faults:
    """Fault rates between 0 and 1, and maximum delays.

    Attributes:
      store_refused: Rate of reads and transactions that fail without effect.
      store_lost: Rate of transactions that take effect but whose answer is
        lost; reads fail at this rate as well.
      store_late: Rate of transactions whose answer is lost and which are
        applied up to 8 s later.
      objects_failed: Rate of object operations that fail without effect.
      upstream_rejected: Rate of attempts rejected as overload, not run.
      upstream_lost: Rate of attempts that run but lose their connection
        before any output.
      upstream_late: Rate of attempts that time out and run 5 s later.
      duplicated: Rate of peer messages and output chunks delivered twice.
      ack_lost: Rate of handover acknowledgements lost together with the
        link.
      upstreams_silent: Whether upstreams run attempts without answering.
      peer_delay_ms: Maximum delay of a message between peers.
      store_delay_ms: Maximum delay of an answer of the tables.
    """

    store_refused: float = 0.0
    store_lost: float = 0.0
    store_late: float = 0.0
    objects_failed: float = 0.0
    upstream_rejected: float = 0.0
    upstream_lost: float = 0.0
    upstream_late: float = 0.0
    duplicated: float = 0.0
    ack_lost: float = 0.0
    upstreams_silent: bool = False
    peer_delay_ms: int = 2
    store_delay_ms: int = 5


@dataclasses.dataclass(slots=True)
class Upstream:
    """A simulated upstream VM.

    `notified_ms` is the time of its reclaim notice.
    """

    vm_id: str
    service: str
    zone: str
    notified_ms: int | None = None
    alive: bool = True


@dataclasses.dataclass(slots=True)
class Reading:
    """The chunks and outcomes that one reader received."""

    request_id: str
    vm_id: str
    chunks: list[messages.Chunk] = dataclasses.field(default_factory=list)
    outcomes: list[messages.Outcome] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class Execution:
    """One execution of a request at an upstream.

    `key` is the idempotency key, or the request id without one.
    """

    at_ms: int
    request_id: str
    key: str
    upstream_id: str


class World:
    """Entries with simulated tables, objects, upstreams and links."""

    def __init__(
        self, entry_count: int = 3, upstream_count: int = 2, seed: int = 0
    ) -> None:
        self.now_ms = START_MS
        self.random = random.Random(seed)
        self.faults = Faults()
        self.tables = Tables()
        self.objects: dict[str, bytes] = {}
        self.entries: dict[str, entry_state.EntryState] = {}
        self.stopped: set[str] = set()
        # Deferred events and sends of each paused entry.
        self.paused: dict[str, list[Callable[[], None]]] = {}
        # Entries paused for longer than the timeout of the links.
        self.unresponsive: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.upstreams: dict[str, Upstream] = {}
        # Time at which each notified entry is reclaimed.
        self.notices: dict[str, int] = {}
        self.cancelled: set[str] = set()
        self.executions: list[Execution] = []
        # Attempts sent to an upstream over 5 s after its reclaim notice.
        self.late_attempts: list[str] = []
        self.imports: list[effects.ImportCache] = []
        # Time, entry and effect of each dispatch.
        self.dispatches: list[tuple[int, str, effects.Dispatch]] = []
        # Request id, failure or status by exchange id.
        self.accepted: dict[str, str] = {}
        self.refused: dict[str, messages.Failure] = {}
        self.statuses: dict[str, messages.RequestStatus] = {}
        self.readings: dict[str, Reading] = {}
        self.exits: list[str] = []
        # Entries that need not complete their handover, since a pause, a
        # short notice or failing objects may prevent it.
        self.handover_exempt: set[str] = set()
        # Violations detected during the run.
        self.violations: list[str] = []
        # First acknowledgement by successor and batch id.
        self.ack_results: dict[tuple[str, str], bool] = {}
        self.deadlines_ms: dict[str, int] = {}
        # By request id; the request id itself for requests without a key.
        self.idempotency_keys: dict[str, str] = {}
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        for service in ("model", "desk"):
            for number in range(upstream_count):
                vm_id = f"{service}-{number}"
                zone = f"zone-{'abc'[number % 3]}"
                self.upstreams[vm_id] = Upstream(vm_id, service, zone)
        for number in range(entry_count):
            self._add_entry(f"entry-{number}", f"zone-{'abc'[number % 3]}")
        self.run(100)

    def _add_entry(self, vm_id: str, zone: str) -> None:
        entry = ids.EntryId(vm_id, START_MS)
        seed = len(self.entries)
        state = entry_state.EntryState(entry, zone, vm_id, seed)
        state.configuration.current = make_configuration()
        state.configuration.contact_ms = self.now_ms
        self.entries[vm_id] = state

    # Time.

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._sequence += 1
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._queue, (due_ms, self._sequence, action))

    def run(self, duration_ms: int, tick_ms: int = events.TICK_MS) -> None:
        """Advance the time and send ticks to the entries that run."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            next_ms = min(self.now_ms + tick_ms, end_ms)
            while self._queue and self._queue[0][0] <= next_ms:
                self.now_ms, _, action = heapq.heappop(self._queue)
                action()
            self.now_ms = next_ms
            for vm_id in self.live():
                if vm_id not in self.paused:
                    self.entries[vm_id].configuration.contact_ms = next_ms
                    self.deliver(vm_id, events.Tick(next_ms))

    def live(self) -> list[str]:
        return [vm_id for vm_id in self.entries if vm_id not in self.stopped]

    def deliver(self, vm_id: str, event: events.Event) -> None:
        """Pass an event to an entry, or defer it until the entry resumes."""
        if vm_id in self.stopped:
            return
        if vm_id in self.paused:
            restamp = dataclasses.replace
            self.paused[vm_id].append(
                lambda: self.deliver(vm_id, restamp(event, now_ms=self.now_ms))
            )
            return
        event = dataclasses.replace(event, now_ms=self.now_ms)
        for effect in reducer.reduce(self.entries[vm_id], event):
            self._execute(vm_id, effect)

    # Actions that tests call.

    def submit(
        self,
        vm_id: str,
        exchange: str,
        key: str | None = None,
        service: str = "desk",
        body: str = "{}",
        deadline_ms: int = 20_000,
    ) -> str | None:
        """Submit a request and open a reader of its output.

        Return the request id, or None unless the entry accepts at once.
        """
        operation = "order" if service == "desk" else "draft"
        self.deliver(
            vm_id,
            events.RequestArrived(
                self.now_ms,
                exchange,
                "acme",
                service,
                operation,
                body,
                "" if service == "desk" else exchange,
                DRAFT_TOKENS,
                key,
                self.now_ms + deadline_ms,
                None,
            ),
        )
        request_id = self.accepted.get(exchange)
        if request_id is not None:
            self.idempotency_keys[request_id] = key or request_id
            self.deadlines_ms[request_id] = self.now_ms + deadline_ms
            self.open(vm_id, exchange, request_id)
        return request_id

    def open(self, vm_id: str, reader_id: str, request_id: str) -> None:
        self.readings[reader_id] = Reading(request_id, vm_id)
        self.deliver(
            vm_id,
            events.ReaderOpened(self.now_ms, reader_id, request_id, "acme", 0),
        )

    def pause(self, vm_id: str) -> None:
        if vm_id in self.paused:
            return
        inbox: list[Callable[[], None]] = []
        self.paused[vm_id] = inbox
        self.handover_exempt.add(vm_id)

        def time_out() -> None:
            if self.paused.get(vm_id) is inbox:
                self.unresponsive.add(vm_id)
                for peer in self.live():
                    self._disconnect(peer, vm_id, 0)
                    self._disconnect(vm_id, peer, 0)

        self.schedule(3_000, time_out)

    def resume(self, vm_id: str) -> None:
        self.unresponsive.discard(vm_id)
        for action in self.paused.pop(vm_id, []):
            action()

    def kill(self, vm_id: str) -> None:
        """Stop an entry; its links to the peers time out after 3 s."""
        self.paused.pop(vm_id, None)
        self.stopped.add(vm_id)
        for peer in self.live():
            self._disconnect(peer, vm_id, 3_000)

    def notify(self, vm_id: str, remaining_ms: int) -> None:
        """Send an entry a reclaim notice and kill it when the time is up."""
        if vm_id in self.notices:
            return
        self.notices[vm_id] = self.now_ms + remaining_ms
        if remaining_ms < 4_000 or self.faults.objects_failed > 0.0:
            self.handover_exempt.add(vm_id)
        notice = events.ReclaimNotified(self.now_ms, remaining_ms)
        self.deliver(vm_id, notice)
        self.schedule(remaining_ms, lambda: self._finish_reclaim(vm_id))

    def _finish_reclaim(self, vm_id: str) -> None:
        handover = self.entries[vm_id].handover
        unfinished = (
            handover.unbatched_ids
            or handover.batches
            or handover.awaited_call_ids
        )
        if unfinished or handover.reclaim_ms is None:
            if vm_id not in self.handover_exempt and vm_id not in self.stopped:
                self.violations.append(
                    f"{vm_id} was reclaimed with unfinished requests"
                )
        elif vm_id not in self.stopped:
            self.handover_exempt.discard(vm_id)
        self.kill(vm_id)

    def drain(self, vm_id: str) -> None:
        self.deliver(vm_id, events.ShutdownRequested(0))

    def reclaim_upstream(self, vm_id: str, remaining_ms: int) -> None:
        upstream = self.upstreams[vm_id]
        if upstream.notified_ms is None:
            upstream.notified_ms = self.now_ms
            self.schedule(remaining_ms, lambda: self._stop_upstream(upstream))

    def _stop_upstream(self, upstream: Upstream) -> None:
        upstream.alive = False

    def cut_link(self, first: str, second: str) -> None:
        """Cut a link between two entries, losing messages in flight."""
        self.cut_links.add(frozenset((first, second)))
        self._disconnect(first, second, 0)
        self._disconnect(second, first, 0)

    def heal_links(self) -> None:
        self.cut_links.clear()

    def _disconnect(self, vm_id: str, peer: str, delay_ms: int) -> None:
        self.schedule(
            delay_ms,
            lambda: self.deliver(vm_id, events.PeerDisconnected(0, peer)),
        )

    # Effects.

    def _execute(self, vm_id: str, effect: effects.Effect) -> None:
        handler = _EFFECT_HANDLERS.get(type(effect))
        if handler is not None:
            handler(self, vm_id, effect)

    def _accept(self, vm_id: str, effect: effects.Accept) -> None:
        self.accepted[effect.exchange_id] = effect.request_id

    def _refuse(self, vm_id: str, effect: effects.Refuse) -> None:
        self.refused[effect.exchange_id] = effect.failure

    def _answer_status(self, vm_id: str, effect: effects.AnswerStatus) -> None:
        self.statuses[effect.exchange_id] = effect.status

    def _send_chunk(self, vm_id: str, effect: effects.SendChunk) -> None:
        self.readings[effect.reader_id].chunks.append(effect.chunk)

    def _end_reader(self, vm_id: str, effect: effects.EndReader) -> None:
        self.readings[effect.reader_id].outcomes.append(effect.outcome)

    def _exit(self, vm_id: str, effect: effects.Exit) -> None:
        self.exits.append(vm_id)
        for reading in self.readings.values():
            if reading.vm_id == vm_id and not reading.outcomes:
                self.violations.append(
                    f"{vm_id} exited before the outcome reached a reader"
                )
        self.schedule(1, lambda: self.kill(vm_id))

    def _list_vms(self, vm_id: str, effect: effects.ListVms) -> None:
        rows = []
        for state in self.entries.values():
            entry = state.entry
            if entry.vm_id in self.stopped:
                continue
            rows.append(
                events.VmRow(
                    entry.vm_id,
                    entry.incarnation,
                    events.VmRole.ENTRY,
                    state.zone,
                    "small",
                    True,
                    False,
                    peer_address=entry.vm_id,
                )
            )
        for upstream in self.upstreams.values():
            if upstream.alive:
                rows.append(
                    events.VmRow(
                        upstream.vm_id,
                        1,
                        events.VmRole.UPSTREAM,
                        upstream.zone,
                        "large",
                        True,
                        False,
                        upstream.service,
                        upstream.vm_id,
                    )
                )
        listed = events.VmsListed(0, tuple(rows))
        self.schedule(2, lambda: self.deliver(vm_id, listed))

    def _list_notices(self, vm_id: str, effect: effects.ListNotices) -> None:
        notices = []
        for upstream in self.upstreams.values():
            if upstream.notified_ms is not None:
                notices.append(events.Notice(upstream.vm_id, 1, 10_000))
        listed = events.NoticesListed(0, tuple(notices))
        self.schedule(2, lambda: self.deliver(vm_id, listed))

    def _poll_load(self, vm_id: str, effect: effects.PollLoad) -> None:
        upstream = self.upstreams[effect.upstream_id]
        event: events.Event
        if upstream.alive:
            notified_ms = upstream.notified_ms
            # An upstream reports its reclaim 9 s after the platform does.
            leaving = (
                notified_ms is not None and self.now_ms > notified_ms + 9_000
            )
            report = events.LoadReport(1, 0, 0, 0, 64, 0, 10.0, leaving)
            event = events.LoadReported(0, upstream.vm_id, report)
        else:
            event = events.LoadPollFailed(0, upstream.vm_id, False)
        self.schedule(2, lambda: self.deliver(vm_id, event))

    def _send_peer(self, vm_id: str, effect: effects.SendPeer) -> None:
        link = frozenset((vm_id, effect.peer_id))
        unreachable = self.stopped | self.unresponsive
        if link in self.cut_links or effect.peer_id in unreachable:
            failed = events.PeerSendFailed(0, effect.peer_id, effect.message)
            self.schedule(1, lambda: self.deliver(vm_id, failed))
            return
        if isinstance(effect.message, messages.HandoverAck):
            ack_key = (vm_id, effect.message.batch_id)
            first_result = self.ack_results.setdefault(
                ack_key, effect.message.accepted
            )
            if first_result is not effect.message.accepted:
                self.violations.append(
                    f"batch {ack_key} was both accepted and refused"
                )
            if self._draw_fault(self.faults.ack_lost):
                # The successor has accepted or refused the batch, but the
                # source does not receive the result.
                self.cut_link(vm_id, effect.peer_id)
                return
        received = events.PeerReceived(0, vm_id, effect.message)

        def arrive() -> None:
            if link not in self.cut_links and vm_id not in self.stopped:
                self.deliver(effect.peer_id, received)

        self._schedule_randomly(self.faults.peer_delay_ms, arrive)
        if self._draw_fault(self.faults.duplicated):
            self._schedule_randomly(self.faults.peer_delay_ms * 3, arrive)

    def _transact(self, vm_id: str, effect: effects.Transact) -> None:
        operation_id = effect.operation_id
        event: events.Event

        def apply() -> None:
            self.tables.transact(effect)

        if self._draw_fault(self.faults.store_refused):
            event = events.TransactRefused(0, operation_id)
        elif self._draw_fault(self.faults.store_late):
            self.schedule(self.random.randint(0, 8_000), apply)
            event = events.TransactUnknown(0, operation_id)
        elif self._draw_fault(self.faults.store_lost):
            apply()
            event = events.TransactUnknown(0, operation_id)
        else:
            versions, conflicts = self.tables.transact(effect)
            event = events.TransactCommitted(0, operation_id, versions)
            if conflicts:
                event = events.TransactConflicted(0, operation_id, conflicts)
        self._schedule_randomly(
            self.faults.store_delay_ms, lambda: self.deliver(vm_id, event)
        )

    def _read_rows(self, vm_id: str, effect: effects.ReadRows) -> None:
        rows = [self.tables.row(effect.table, key) for key in effect.keys]
        self._answer_read(vm_id, effect.operation_id, rows)

    def _scan_rows(self, vm_id: str, effect: effects.ScanRows) -> None:
        rows = []
        for table, key in sorted(self.tables.rows):
            if table == effect.table and key.startswith(effect.prefix):
                rows.append(self.tables.row(table, key))
        self._answer_read(vm_id, effect.operation_id, rows[: effect.limit])

    def _answer_read(
        self, vm_id: str, operation_id: store.OperationId, rows: list[store.Row]
    ) -> None:
        event: events.Event = events.RowsRead(0, operation_id, tuple(rows))
        failure_rate = self.faults.store_refused + self.faults.store_lost
        if operation_id.module is store.StoreModule.CONFIGURATION:
            failure_rate = 1.0
        if self._draw_fault(failure_rate):
            event = events.ReadFailed(0, operation_id)
        self._schedule_randomly(
            self.faults.store_delay_ms, lambda: self.deliver(vm_id, event)
        )

    def _object_operation(
        self,
        vm_id: str,
        effect: effects.PutObject
        | effects.GetObject
        | effects.DeleteObject
        | effects.ListObjects,
    ) -> None:
        operation_id = effect.operation_id
        event: events.Event = events.ObjectFailed(0, operation_id)
        if not self._draw_fault(self.faults.objects_failed):
            event = self._apply_object(effect)
        self._schedule_randomly(3, lambda: self.deliver(vm_id, event))

    def _apply_object(
        self,
        effect: effects.PutObject
        | effects.GetObject
        | effects.DeleteObject
        | effects.ListObjects,
    ) -> events.Event:
        operation_id = effect.operation_id
        if isinstance(effect, effects.ListObjects):
            keys = [k for k in self.objects if k.startswith(effect.prefix)]
            return events.ObjectsListed(0, operation_id, tuple(sorted(keys)))
        if isinstance(effect, effects.GetObject):
            body = self.objects.get(effect.key)
            return events.ObjectRead(0, operation_id, body)
        if isinstance(effect, effects.PutObject):
            self.objects[effect.key] = effect.body
        else:
            self.objects.pop(effect.key, None)
        return events.ObjectStored(0, operation_id)

    def _cancel_attempt(
        self, vm_id: str, effect: effects.CancelAttempt
    ) -> None:
        self.cancelled.add(effect.attempt_id)

    def _import_cache(self, vm_id: str, effect: effects.ImportCache) -> None:
        self.imports.append(effect)
        imported = events.CacheImported(
            0, effect.request_id, effect.target_upstream_id, True
        )
        self.schedule(20, lambda: self.deliver(vm_id, imported))

    def _dispatch(self, vm_id: str, effect: effects.Dispatch) -> None:
        self.dispatches.append((self.now_ms, vm_id, effect))
        # The shell executes the effect 1 ms later. `valid_until_ms` expires
        # it if the entry was paused in between.
        self.schedule(1, lambda: self._send_attempt(vm_id, effect))

    def _send_attempt(self, vm_id: str, effect: effects.Dispatch) -> None:
        if vm_id in self.stopped:
            return
        if vm_id in self.paused:
            self.paused[vm_id].append(lambda: self._send_attempt(vm_id, effect))
            return
        failures = events.AttemptFailure
        not_run = verdict.Verdict.NOT_RUN
        if self.now_ms > effect.valid_until_ms:
            self._fail(vm_id, effect, not_run, failures.EXPIRED_BEFORE_SEND)
            return
        if self.now_ms > self.deadlines_ms[effect.request_id]:
            self.violations.append(
                f"{effect.attempt_id} sent after its deadline"
            )
        upstream = self.upstreams[effect.upstream_id]
        notified_ms = upstream.notified_ms
        if notified_ms is not None and self.now_ms > notified_ms + 5_000:
            self.late_attempts.append(effect.attempt_id)
        if not upstream.alive:
            self._fail(vm_id, effect, not_run, failures.CONNECT_FAILED)
            return
        if self._draw_fault(self.faults.upstream_rejected):
            self._fail(vm_id, effect, not_run, failures.UPSTREAM_OVERLOADED)
            return
        may_have_run = verdict.Verdict.MAY_HAVE_RUN
        if self._draw_fault(self.faults.upstream_late):
            self.schedule(5_000, lambda: self._record_execution(effect))
            self._fail(vm_id, effect, may_have_run, failures.FIRST_BYTE_TIMEOUT)
            return
        self._record_execution(effect)
        if self.faults.upstreams_silent:
            return
        if self._draw_fault(self.faults.upstream_lost):
            self._fail(vm_id, effect, may_have_run, failures.CONNECTION_LOST)
            return
        self._respond(vm_id, effect)

    def _record_execution(self, effect: effects.Dispatch) -> None:
        self.executions.append(
            Execution(
                self.now_ms,
                effect.request_id,
                self.idempotency_keys[effect.request_id],
                effect.upstream_id,
            )
        )

    def _respond(self, vm_id: str, effect: effects.Dispatch) -> None:
        plain = effect.kind is deployment.ServiceKind.PLAIN
        total = 1 if plain else DRAFT_TOKENS
        delay_ms = 0
        for offset in range(effect.offset, total):
            chunk = messages.Chunk(
                offset, offset + 1, text_of(effect.request_id, offset)
            )
            output = events.AttemptOutput(0, effect.attempt_id, chunk)
            delay_ms += self.random.randint(1, 400)
            self._schedule_response(vm_id, effect, delay_ms, output)
            if self._draw_fault(self.faults.duplicated):
                self._schedule_response(vm_id, effect, delay_ms + 5, output)
        completed = events.AttemptCompleted(0, effect.attempt_id, total, 0, 0)
        self._schedule_response(vm_id, effect, delay_ms + 1, completed)

    def _schedule_response(
        self,
        vm_id: str,
        effect: effects.Dispatch,
        delay_ms: int,
        event: events.Event,
    ) -> None:
        def respond() -> None:
            if effect.attempt_id in self.cancelled:
                return
            if self.upstreams[effect.upstream_id].alive:
                self.deliver(vm_id, event)
            elif isinstance(event, events.AttemptCompleted):
                lost = events.AttemptFailure.CONNECTION_LOST
                may_have_run = verdict.Verdict.MAY_HAVE_RUN
                self._fail(vm_id, effect, may_have_run, lost)

        self.schedule(delay_ms, respond)

    def _fail(
        self,
        vm_id: str,
        effect: effects.Dispatch,
        known_verdict: verdict.Verdict,
        failure: events.AttemptFailure,
    ) -> None:
        event = events.AttemptFailed(
            0, effect.attempt_id, known_verdict, failure
        )
        self._schedule_randomly(5, lambda: self.deliver(vm_id, event))

    def _schedule_randomly(
        self, max_delay_ms: int, action: Callable[[], None]
    ) -> None:
        self.schedule(self.random.randint(1, max(1, max_delay_ms)), action)

    def _draw_fault(self, rate: float) -> bool:
        return rate > 0.0 and self.random.random() < rate

    # Results.

    def settle(self) -> None:
        """End all faults and run until delayed events have been delivered."""
        self.faults = Faults()
        self.heal_links()
        for vm_id in list(self.paused):
            self.resume(vm_id)
        self.run(60_000, tick_ms=100)

    def request(self, vm_id: str, request_id: str) -> requests.Request:
        return self.entries[vm_id].requests.by_id[request_id]

    def executions_of(self, key: str) -> int:
        return sum(execution.key == key for execution in self.executions)


def text_of(request_id: str, offset: int) -> str:
    """Return the text that an upstream generates at an offset."""
    return f"{request_id}:{offset};"


_EFFECT_HANDLERS: dict[type, Callable[..., None]] = {
    effects.Accept: World._accept,
    effects.Refuse: World._refuse,
    effects.AnswerStatus: World._answer_status,
    effects.SendChunk: World._send_chunk,
    effects.EndReader: World._end_reader,
    effects.Exit: World._exit,
    effects.ListVms: World._list_vms,
    effects.ListNotices: World._list_notices,
    effects.PollLoad: World._poll_load,
    effects.SendPeer: World._send_peer,
    effects.Transact: World._transact,
    effects.ReadRows: World._read_rows,
    effects.ScanRows: World._scan_rows,
    effects.PutObject: World._object_operation,
    effects.GetObject: World._object_operation,
    effects.DeleteObject: World._object_operation,
    effects.ListObjects: World._object_operation,
    effects.CancelAttempt: World._cancel_attempt,
    effects.Dispatch: World._dispatch,
    effects.ImportCache: World._import_cache,
}
