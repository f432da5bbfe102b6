"""The listener for callers' connections.

It accepts only what the gate has places for; further connections wait in the
kernel's queue.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import socket
from typing import Any

import anyio

from laburnumpin.forwarding.admission import caller_stream
from laburnumpin.forwarding.admission import gate as gates

# Connections that are accepted before others have their turn.
ACCEPTED_AT_ONCE = 16
# Bytes that the kernel keeps for a connection, before it doubles them for its
# own needs.
KERNEL_RECEIVE_BYTES = 16_384
KERNEL_SEND_BYTES = 65_536
# Pause after which accepting is tried again.
RETRY_S = 0.05


class _Listener:
    """Accepts connections on one socket."""

    __slots__ = (
        "_gate",
        "_is_paused",
        "_loop",
        "_on_open",
        "_openings",
        "_socket",
        "_timer",
    )

    def __init__(
        self,
        listening: socket.socket,
        gate: gates.Gate,
        on_open: Callable[[caller_stream.CallerStream], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._socket = listening
        self._gate = gate
        self._on_open = on_open
        self._openings: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._is_paused = True
        gate.on_place = self.resume

    def resume(self) -> None:
        """Accept connections."""
        if not self._is_paused:
            return
        self._is_paused = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._loop.add_reader(self._socket.fileno(), self._accept)

    def close(self) -> None:
        """Stop for good."""
        self._gate.on_place = None
        self._pause()
        if self._timer is not None:
            self._timer.cancel()
        self._socket.close()

    def _pause(self) -> None:
        if self._is_paused:
            return
        self._is_paused = True
        self._loop.remove_reader(self._socket.fileno())
        self._timer = self._loop.call_later(RETRY_S, self.resume)

    def _accept(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
            if not self._gate.take_place():
                self._pause()
                return
            try:
                accepted, address = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                self._gate.return_place()
                return
            except OSError:
                # Descriptors or memory of the kernel are used up.
                self._gate.return_place()
                self._pause()
                return
            accepted.setblocking(False)
            task = self._loop.create_task(self._open(accepted, str(address[0])))
            self._openings.add(task)
            task.add_done_callback(self._openings.discard)

    async def _open(self, accepted: socket.socket, peer: str) -> None:
        is_open = False

        def start(stream: caller_stream.CallerStream) -> None:
            nonlocal is_open
            is_open = True
            self._on_open(stream)

        stream = self._gate.open(start, peer)
        try:
            await self._loop.connect_accepted_socket(lambda: stream, accepted)
        except OSError:  # The peer has reset the connection already.
            if not is_open:
                accepted.close()
                self._gate.return_place()


async def serve(
    address: str,
    backlog: int,
    gate: gates.Gate,
    handle: Callable[[caller_stream.CallerStream], Coroutine[Any, Any, None]],
) -> None:
    """Accept connections until cancelled; `handle` runs in a task for each.

    `address` is `IP:PORT`. `handle` has to catch the errors of its connection.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    listening.setblocking(False)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit these.
    for option, size_bytes in (
        (socket.SO_RCVBUF, KERNEL_RECEIVE_BYTES),
        (socket.SO_SNDBUF, KERNEL_SEND_BYTES),
    ):
        listening.setsockopt(socket.SOL_SOCKET, option, size_bytes)
    try:
        listening.bind((host.strip("[]"), int(port)))
        listening.listen(backlog)
    except BaseException:
        listening.close()
        raise
    async with anyio.create_task_group() as task_group:

        def start(stream: caller_stream.CallerStream) -> None:
            task_group.start_soon(handle, stream)

        listener = _Listener(listening, gate, start)
        listener.resume()
        try:
            await anyio.sleep_forever()
        finally:
            listener.close()
