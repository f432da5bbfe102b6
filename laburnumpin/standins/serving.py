"""Serving of the stand-ins' apps, with connections that can be cut."""

from __future__ import annotations

import dataclasses
import logging
import socket
from typing import Any
from typing import cast
import weakref

import anyio
import hypercorn
from hypercorn import config as hypercorn_config
import hypercorn.asyncio
from starlette import applications

LISTEN_BACKLOG = 1_024
KEEP_ALIVE_TIMEOUT_S = 120
GRACEFUL_TIMEOUT_S = 0.5

_LOGGER = logging.getLogger("laburnumpin.standins")


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """Host and port of a listener."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def url(self) -> str:
        """Return the base URL for HTTP."""
        return f"http://{self}"


class Listener(socket.socket):
    """A listening socket that keeps its open connections by peer address.

    A connection can be cut or silenced. A silent connection stays open, but
    the app neither reads requests from it nor sends responses to it.
    Connections that are accepted later are not affected.
    """

    __slots__ = ("_connections", "_silent_connections")

    def __init__(self, host: str, port: int) -> None:
        super().__init__(socket.AF_INET, socket.SOCK_STREAM)
        self._connections: weakref.WeakValueDictionary[
            tuple[str, int], socket.socket
        ] = weakref.WeakValueDictionary()
        self._silent_connections: weakref.WeakSet[socket.socket] = (
            weakref.WeakSet()
        )
        self.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.setblocking(False)
        self.bind((host, port))
        # Until the app is served, connections wait in the backlog.
        self.listen(LISTEN_BACKLOG)

    @property
    def address(self) -> Address:
        """Return the bound address, also for port 0."""
        host, port = self.getsockname()[:2]
        return Address(host, port)

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection and record it by peer address."""
        connection, peer = super().accept()
        # With Nagle's algorithm, a response in two writes waits about 40 ms
        # for the client's delayed acknowledgement. asyncio disables the
        # algorithm only on sockets created with an explicit `IPPROTO_TCP`.
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections[peer[0], peer[1]] = connection
        return connection, peer

    def silence_connections(self) -> None:
        """Silence all connections that are open now, permanently."""
        self._silent_connections.update(self._connections.values())

    def is_connection_silent(self, peer: tuple[str, int]) -> bool:
        """Return whether the connection of a peer is silent."""
        connection = self._connections.get(peer)
        return connection is not None and connection in self._silent_connections

    def cut_all_connections(self) -> None:
        """Close all connections at once."""
        for peer in list(self._connections.keys()):
            self.cut_connection(peer)

    def cut_connection(self, peer: tuple[str, int]) -> None:
        """Close the connection of a peer at once."""
        connection = self._connections.get(peer)
        if connection is None:
            return
        try:
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer closed it first.
            return


class _ListenerConfig(hypercorn_config.Config):
    """A hypercorn configuration that serves an existing listener."""

    def __init__(self, listener: Listener) -> None:
        super().__init__()
        self.errorlog = _LOGGER
        self.accesslog = None
        self.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
        self.graceful_timeout = GRACEFUL_TIMEOUT_S
        self._listener = listener

    def create_sockets(self) -> hypercorn_config.Sockets:
        """Return the listener in place of new sockets."""
        return hypercorn_config.Sockets([], [self._listener], [])


async def serve(
    app: applications.Starlette,
    listener: Listener,
    stop: anyio.Event,
) -> None:
    """Serve until `stop` is set, then close all connections."""

    async def wait_for_stop() -> None:
        await stop.wait()
        # Calls end once their connection is closed, so that hypercorn need
        # not cancel them.
        listener.cut_all_connections()

    # The shutdown of hypercorn fails with tracebacks if it is cancelled.
    with anyio.CancelScope(shield=True):
        await hypercorn.asyncio.serve(
            cast(Any, app),
            _ListenerConfig(listener),
            shutdown_trigger=wait_for_stop,
        )
