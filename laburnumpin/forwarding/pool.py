"""Kept connections to upstreams."""

from __future__ import annotations

from anyio import abc

from laburnumpin import clock
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import upstreams

CONNECT_TIMEOUT_MS = 400
# Idle connections of one upstream that are kept at most.
MAX_IDLE = 24
# Part of the connections that an upstream accepts that all entries together may
# keep idle; the rest is for requests.
IDLE_CONNECTIONS_SHARE = 0.5
# Part of an announced idle timeout after which a connection is not used.
IDLE_SHARE = 0.6
# The same where none is announced.
IDLE_MS = 4_000
# A request that must not run twice takes a connection that was idle for at
# most this time: one that is closed at the same moment leaves an unknown
# outcome.
FRESH_MS = 300

_Key = tuple[str, int, str]


class Pool:
    """Idle connections by upstream, incarnation and address."""

    __slots__ = ("_clock", "_idle", "_task_group", "opened", "reused")

    def __init__(
        self, own_clock: clock.Clock, task_group: abc.TaskGroup
    ) -> None:
        self._clock = own_clock
        self._task_group = task_group
        self._idle: dict[_Key, list[connections.ClientConnection]] = {}
        self.opened = 0
        self.reused = 0

    async def acquire(
        self, registration: upstreams.Registration, *, fresh: bool
    ) -> connections.ClientConnection:
        """Return a connection without a request on it.

        Raises:
            ConnectionLostError: The upstream was not reached.
        """
        idle = self._idle.get(_key(registration), [])
        now_ms = self._clock.now_ms()
        while idle:
            kept = idle.pop()
            limit_ms = IDLE_MS
            if kept.keep_alive_ms is not None:
                limit_ms = int(kept.keep_alive_ms * IDLE_SHARE)
            if fresh:
                limit_ms = min(limit_ms, FRESH_MS)
            idle_ms = now_ms - kept.idle_since_ms
            if kept.is_reusable() and idle_ms <= limit_ms:
                self.reused += 1
                return kept
            await kept.close()
        self.opened += 1
        return await connections.connect(
            registration.address, self._task_group, CONNECT_TIMEOUT_MS
        )

    async def release(
        self,
        registration: upstreams.Registration,
        connection: connections.ClientConnection,
        max_idle: int,
    ) -> None:
        """Keep a connection after a complete response, if it can be.

        At most `max_idle` are kept for one upstream.
        """
        idle = self._idle.setdefault(_key(registration), [])
        if not connection.finish() or len(idle) >= max_idle:
            await connection.close()
            return
        connection.idle_since_ms = self._clock.now_ms()
        idle.append(connection)

    async def close_upstream(self, upstream_id: str) -> None:
        """Close the idle connections to an upstream."""
        for key in list(self._idle):
            if key[0] != upstream_id:
                continue
            for connection in self._idle.pop(key):
                await connection.close()


def idle_limit(max_connections: int, entries: int) -> int:
    """Return the idle connections that one of the entries may keep.

    `max_connections` is what the upstream accepts from all of them.
    """
    share = int(max_connections * IDLE_CONNECTIONS_SHARE / max(1, entries))
    return max(1, min(MAX_IDLE, share))


def _key(registration: upstreams.Registration) -> _Key:
    return (
        registration.upstream_id,
        registration.incarnation_ms,
        registration.address,
    )
