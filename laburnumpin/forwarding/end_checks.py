"""Finds out what has become of an upstream after the end of an answer."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from laburnumpin.forwarding import completeness
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import pool
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams

# An idle connection and two new ones: an upstream that ends may have accepted
# the first of them before.
MAX_TRIES = 3
# Share of the check's time for a new connection to open, or for an answer on an
# idle one, so that there is time for the next try.
TRY_SHARE = 0.5
MAX_BODY_BYTES = 65_536


class _Checked:
    """The checks of one upstream.

    `state` is the result of the last one, None while it runs or if it was
    cancelled.
    """

    __slots__ = ("lock", "started", "state", "users")

    def __init__(self) -> None:
        self.lock = anyio.Lock()
        self.users = 0
        self.started = 0
        self.state: completeness.UpstreamState | None = None


class EndChecks:
    """Asks upstreams who they are after their answers have ended.

    One check of an upstream runs at a time. Answers that ended before it
    started share its result. A check takes `timeout_ms` at most; with 0 nothing
    is asked. `idle_limit` returns how many idle connections to keep to each
    upstream of a service.
    """

    __slots__ = (
        "_checked",
        "_idle_limit",
        "_pool",
        "_state",
        "_wire",
        "timeout_ms",
    )

    def __init__(
        self,
        state: forwarding_state.ForwardingState,
        wire: interfaces.Wire,
        upstream_pool: pool.Pool,
        idle_limit: Callable[[str], int],
    ) -> None:
        self._idle_limit = idle_limit
        self._state = state
        self._wire = wire
        self._pool = upstream_pool
        self._checked: dict[tuple[str, int], _Checked] = {}
        self.timeout_ms = completeness.DEFAULT_END_CHECK_TIMEOUT_MS

    async def check(
        self, registration: upstreams.Registration
    ) -> completeness.UpstreamState:
        """Return the state of an upstream, one of whose answers has ended."""
        checked = self._checked.setdefault(registration.key, _Checked())
        started_before = checked.started
        checked.users += 1
        try:
            async with checked.lock:
                if checked.started > started_before and checked.state:
                    return checked.state
                checked.started += 1
                checked.state = None
                checked.state = await self._find_state(registration)
                return checked.state
        finally:
            checked.users -= 1
            if not checked.users:
                del self._checked[registration.key]

    async def _find_state(
        self, registration: upstreams.Registration
    ) -> completeness.UpstreamState:
        found = completeness.UpstreamState.UNCHECKED
        if self.timeout_ms and not self._has_restarted(registration):
            found = await self._ask_upstream(registration)
        # A new incarnation may have registered in the meantime.
        if self._has_restarted(registration):
            return completeness.UpstreamState.REPLACED
        return found

    def _has_restarted(self, registration: upstreams.Registration) -> bool:
        current = self._state.upstreams.get(registration.upstream_id)
        if current is None:
            return False
        incarnation_ms = current.registration.incarnation_ms
        return incarnation_ms > registration.incarnation_ms

    async def _ask_upstream(
        self, registration: upstreams.Registration
    ) -> completeness.UpstreamState:
        """Ask over one connection after the other until somebody answers."""
        found = completeness.UpstreamState.SILENT
        with anyio.move_on_after(self.timeout_ms / 1_000):
            for number in range(MAX_TRIES):
                try:
                    connection = await self._connect(
                        registration, is_new=number > 0
                    )
                except connections.ConnectionLostError as error:
                    if isinstance(error.__cause__, ConnectionRefusedError):
                        return completeness.UpstreamState.REFUSED
                    continue
                share = TRY_SHARE
                if not connection.requests_sent:
                    found = completeness.UpstreamState.LISTENING
                    share = 1.0
                with anyio.move_on_after(self.timeout_ms * share / 1_000):
                    answered = await self._ask(registration, connection)
                    if answered is not None:
                        return answered
        return found

    async def _connect(
        self, registration: upstreams.Registration, *, is_new: bool
    ) -> connections.ClientConnection:
        """Return a connection; an idle one is older than the answer's end.

        Raises:
            ConnectionLostError: No connection was opened in time.
        """
        connection: connections.ClientConnection | None = None
        with anyio.move_on_after(self.timeout_ms * TRY_SHARE / 1_000):
            connection = await self._pool.acquire(
                registration, fresh=False, new=is_new
            )
        if connection is None:
            raise connections.ConnectionLostError("connect timed out")
        return connection

    async def _ask(
        self,
        registration: upstreams.Registration,
        connection: connections.ClientConnection,
    ) -> completeness.UpstreamState | None:
        """Return who answers; None if the connection was lost before that."""
        service = self._state.service(registration.service)
        current = self._state.upstreams.get(registration.upstream_id)
        max_idle = 0
        if current is not None:
            if current.registration.lifecycle is upstreams.Lifecycle.READY:
                max_idle = self._idle_limit(registration.service)
        if service is None or not service.identity_path:
            self._pool.release(registration, connection, max_idle)
            return completeness.UpstreamState.LISTENING
        is_answered = False
        try:
            await connection.send(
                b"GET",
                service.identity_path.encode(),
                self._wire.identity_headers(registration),
                b"",
            )
            head = await connection.head()
            answered = self._wire.identify(
                registration, head.status_code, list(head.headers)
            )
            await connection.body(MAX_BODY_BYTES)
            is_answered = True
        except (connections.ConnectionLostError, connections.ProtocolError):
            return None
        finally:
            # Also if the time is over.
            if is_answered:
                self._pool.release(registration, connection, max_idle)
            else:
                connection.close()
        return answered
