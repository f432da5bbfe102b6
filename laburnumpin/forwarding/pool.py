"""A pool of idle connections to upstreams."""

from __future__ import annotations

from laburnumpin import clock
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import upstreams

CONNECT_TIMEOUT_MS = 400
MAX_IDLE_PER_UPSTREAM = 24
# Share of an upstream's connection limit that all entries together may keep
# idle; the rest is for requests.
MAX_IDLE_CONNECTIONS_SHARE = 0.5
# Share of an announced keep-alive timeout after which an idle connection is no
# longer used.
KEEP_ALIVE_TIMEOUT_SHARE = 0.6
# Idle time after which a connection is no longer used if no keep-alive timeout
# is announced.
DEFAULT_IDLE_LIMIT_MS = 4_000
# A request that must not run twice only takes a connection that was idle for at
# most this long: if the upstream closes the connection at the same moment, the
# outcome of the request is unknown.
FRESH_IDLE_LIMIT_MS = 300

_Key = tuple[str, int, str]


class Pool:
    """Keeps idle connections by upstream, incarnation and address.

    `opened` counts the new connections that `acquire` has tried to open, and
    `reused` the idle ones that it has returned.
    """

    __slots__ = ("_boot_clock", "_idle", "opened", "reused")

    def __init__(self, boot_clock: clock.Clock) -> None:
        self._boot_clock = boot_clock
        self._idle: dict[_Key, list[connections.ClientConnection]] = {}
        self.opened = 0
        self.reused = 0

    async def acquire(
        self,
        registration: upstreams.Registration,
        *,
        fresh: bool,
        new: bool = False,
    ) -> connections.ClientConnection:
        """Return an idle connection, or open a new one.

        With `fresh`, only a recently used idle connection is returned, with
        `new` none.

        Raises:
            ConnectionLostError: A new connection could not be opened.
        """
        idle = self._idle.get(_key(registration), [])
        now_ms = self._boot_clock.now_ms()
        while idle and not new:
            connection = idle.pop()
            limit_ms = DEFAULT_IDLE_LIMIT_MS
            if connection.keep_alive_ms is not None:
                limit_ms = int(
                    connection.keep_alive_ms * KEEP_ALIVE_TIMEOUT_SHARE
                )
            if fresh:
                limit_ms = min(limit_ms, FRESH_IDLE_LIMIT_MS)
            idle_ms = now_ms - connection.idle_since_ms
            if connection.is_reusable() and idle_ms <= limit_ms:
                self.reused += 1
                connection.set_idle(False)
                return connection
            connection.close()
        self.opened += 1
        return await connections.connect(
            registration.address, CONNECT_TIMEOUT_MS
        )

    def release(
        self,
        registration: upstreams.Registration,
        connection: connections.ClientConnection,
        max_idle: int,
    ) -> None:
        """Return a new connection, or one after a complete response.

        Close it instead if it cannot be reused, or if `max_idle` connections
        to the upstream are idle already.
        """
        idle = self._idle.setdefault(_key(registration), [])
        is_idle = not connection.requests_sent or connection.finish()
        if not is_idle or len(idle) >= max_idle:
            connection.close()
            return
        connection.idle_since_ms = self._boot_clock.now_ms()
        connection.set_idle(True)
        idle.append(connection)

    def close_idle_since(
        self, registration: upstreams.Registration, limit_ms: int
    ) -> None:
        """Close the connections to an upstream that were idle at a time."""
        idle = self._idle.get(_key(registration), [])
        connections.close_idle_since(idle, limit_ms)

    def close_upstream(self, upstream_id: str) -> None:
        """Close all idle connections to an upstream."""
        for key in list(self._idle):
            if key[0] != upstream_id:
                continue
            for connection in self._idle.pop(key):
                connection.close()


def idle_limit(max_connections: int, entries: int) -> int:
    """Return how many idle connections to an upstream one entry may keep.

    `max_connections` is the upstream's limit over all entries.
    """
    share = int(max_connections * MAX_IDLE_CONNECTIONS_SHARE / max(1, entries))
    return max(1, min(MAX_IDLE_PER_UPSTREAM, share))


def _key(registration: upstreams.Registration) -> _Key:
    return (
        registration.upstream_id,
        registration.incarnation_ms,
        registration.address,
    )
