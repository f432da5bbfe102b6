"""The shell around the state: applies events and carries out their effects."""

from __future__ import annotations

from collections.abc import Callable
import time

import anyio

from laburnumpin import clock
from laburnumpin.forwarding import buffers
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import end_checks
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import pool
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import statements
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.admission import gate as gates
from laburnumpin.forwarding.admission import settings as admission_settings
from laburnumpin.server import logs
from laburnumpin.server import metrics
from laburnumpin.server import tasks

CHECK_TIMEOUT_MS = 400

RequestEffect = effects.Reject | effects.Send | effects.Abort


class Shell:
    """Applies events to the state and carries out the resulting effects.

    The effect that decides the next step of a request is returned instead, for
    the request's own task.
    """

    __slots__ = (
        "admission",
        "buffers",
        "clock",
        "end_checks",
        "engines",
        "fetch_from_peer",
        "gate",
        "leaving",
        "metrics",
        "pool",
        "send_digest",
        "state",
        "stream_movers",
        "tasks",
        "wire",
    )

    def __init__(
        self,
        state: forwarding_state.ForwardingState,
        wire: interfaces.Wire,
        upstream_pool: pool.Pool,
        runner: tasks.TaskRunner,
        boot_clock: clock.Clock,
        engines: interfaces.EngineClient,
    ) -> None:
        self.state = state
        self.wire = wire
        self.pool = upstream_pool
        self.tasks = runner
        self.clock = boot_clock
        self.engines = engines
        # What all requests together keep of what others send.
        self.buffers = buffers.Budget()
        self.admission = admission_settings.default()
        # Of the callers' connections; set by `Frontend`.
        self.gate: gates.Gate | None = None
        self.end_checks = end_checks.EndChecks(
            state, wire, upstream_pool, self.idle_limit
        )
        # Callbacks that move a stream, by request id.
        self.stream_movers: dict[str, Callable[[effects.MoveStream], None]] = {}
        self.metrics = metrics.Metrics()
        self.leaving = anyio.Event()
        # Set by `PeerLink`.
        self.send_digest: Callable[[effects.SendDigest], None] | None = None
        self.fetch_from_peer: Callable[[effects.FetchFromPeer], None] | None = (
            None
        )

    def now_ms(self) -> int:
        """Return the time on the boot clock."""
        return self.clock.now_ms()

    def wall_ms(self) -> int:
        """Return the median wall-clock time of the live entries."""
        own_wall_ms = time.time_ns() // 1_000_000
        return self.state.members.wall_ms(self.now_ms(), own_wall_ms)

    def deployment(self) -> deployment.Deployment | None:
        """Return the configuration in force."""
        return self.state.deployment

    def is_ready(self) -> bool:
        """Return whether the entry can take requests."""
        if self.leaving.is_set():
            return False
        return self.state.deployment is not None and self.state.registry_read

    def idle_limit(self, service: str) -> int:
        """Return how many idle connections to keep per upstream."""
        definition = self.state.service(service)
        if definition is None:
            return 0
        entries = self.state.members.count()
        return pool.idle_limit(definition.max_connections, entries)

    def leave(self, exit_in_ms: int) -> None:
        """Start the exit, which ends after `exit_in_ms` at the latest.

        The reducer rejects new requests after a delay, and those that could not
        end by then.
        """
        if not self.leaving.is_set():
            self.state.leaving_since_ms = self.now_ms()
            self.state.exit_by_ms = self.now_ms() + exit_in_ms
            self.leaving.set()

    def apply(self, event: events.Event) -> RequestEffect | None:
        """Apply an event; return the next step of its request, if any."""
        next_step: RequestEffect | None = None
        for effect in reducer.reduce(self.state, event):
            match effect:
                case effects.Reject() | effects.Send() | effects.Abort():
                    next_step = effect
                case effects.MoveStream():
                    stream_mover = self.stream_movers.get(effect.request_id)
                    if stream_mover is not None:
                        stream_mover(effect)
                case effects.CheckUpstream():
                    self.tasks.start(self._check_upstream, effect)
                case effects.Report():
                    logs.write(effect.message_type, "info", effect.fields)
                case effects.CloseUpstream():
                    self.pool.close_upstream(effect.upstream_id)
                case effects.SendDigest():
                    if self.send_digest is not None:
                        self.send_digest(effect)
                case effects.FetchFromPeer():
                    if self.fetch_from_peer is not None:
                        self.fetch_from_peer(effect)
        return next_step

    async def _check_upstream(self, effect: effects.CheckUpstream) -> None:
        """Try a connection to an upstream, and report whether it is open."""
        is_open, is_refused = await self._try_connection(
            effect.registration, CHECK_TIMEOUT_MS
        )
        self.apply(
            events.UpstreamChecked(
                self.now_ms(), effect.registration, is_open, is_refused
            )
        )

    async def _try_connection(
        self, registration: upstreams.Registration, timeout_ms: int
    ) -> tuple[bool, bool]:
        """Return whether a new connection is accepted, and whether refused.

        An accepted one is kept for the next request.
        """
        try:
            connection = await connections.connect(
                registration.address, timeout_ms
            )
        except connections.ConnectionLostError as error:
            return False, isinstance(error.__cause__, ConnectionRefusedError)
        self.pool.release(
            registration, connection, self.idle_limit(registration.service)
        )
        return True, False

    def note_statement(
        self,
        registration: upstreams.Registration,
        statement: upstreams.Statement,
        sent_ms: int | None,
    ) -> None:
        """Apply what an answer says of its upstream, if that is news.

        `sent_ms` is that of `UpstreamStated`.
        """
        for reason in statement.malformed:
            self.state.counters.increment("upstream_statements_malformed")
            logs.write(
                "upstream_statement_malformed",
                "warning",
                {"upstream": registration.upstream_id, "reason": reason},
            )
        if statements.is_news(self.state, registration, statement):
            self.apply(
                events.UpstreamStated(
                    self.now_ms(), registration, statement, sent_ms
                )
            )

    def note_store_era(self, era: int) -> None:
        """Apply the era that the store named in an answer."""
        if era > self.state.store_era:
            self.apply(events.StoreEraSeen(self.now_ms(), era))

    def report_no_room(
        self, request_id: str, upstream_id: str | None, part: str, reason: str
    ) -> None:
        """Log and count a part of a request that the budget does not admit."""
        self.state.counters.increment("buffers_full", part)
        logs.write(
            "buffers_full",
            "warning",
            {
                "request_id": request_id,
                "upstream": upstream_id,
                "part": part,
                "reason": reason,
            },
        )

    def observe(self, name: str, duration_ms: int) -> None:
        """Record a duration in a histogram."""
        self.metrics.observe_ms(name, duration_ms)
