"""A loopback proxy that delays, resets, cuts and silences connections."""

from __future__ import annotations

import anyio
from anyio import abc

from laburnumpin.forwarding import connections

CHUNK_BYTES = 16_384


class Proxy:
    """Forwards connections to `target`.

    `delay_ms` holds back each piece. With `drop_forward` or `drop_back` the
    bytes of one direction of the open connections are lost for good; with
    `silent` new connections are accepted and lead nowhere.
    """

    __slots__ = (
        "_open",
        "delay_ms",
        "drop_back",
        "drop_forward",
        "silent",
        "target",
    )

    def __init__(self, target: str) -> None:
        self.target = target
        self.delay_ms = 0
        self.drop_forward = False
        self.drop_back = False
        self.silent = False
        self._open: set[abc.SocketStream] = set()

    async def serve(self, *, task_status: abc.TaskStatus[str]) -> None:
        """Serve on a free port; report the address."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=0, backlog=256
        )
        port = listener.extra(abc.SocketAttribute.local_port)
        task_status.started(f"127.0.0.1:{port}")
        async with listener:
            await listener.serve(self._handle)

    def heal(self) -> None:
        """End all faults."""
        self.delay_ms = 0
        self.drop_forward = self.drop_back = self.silent = False

    async def reset_all(self) -> None:
        """Close the open connections at once."""
        for stream in list(self._open):
            await anyio.aclose_forcefully(stream)

    async def _handle(self, stream: abc.SocketStream) -> None:
        self._open.add(stream)
        try:
            if self.silent:
                await anyio.sleep(30.0)
                return
            host, _, port = self.target.rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as onward:
                self._open.add(onward)
                try:
                    await self._both_ways(stream, onward)
                finally:
                    self._open.discard(onward)
        except OSError:
            return  # The target is gone; so is the connection.
        finally:
            self._open.discard(stream)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _both_ways(
        self, stream: abc.SocketStream, onward: abc.SocketStream
    ) -> None:
        async with anyio.create_task_group() as task_group:

            async def one_way(
                source: abc.SocketStream, sink: abc.SocketStream, back: bool
            ) -> None:
                await self._copy(source, sink, back)
                task_group.cancel_scope.cancel()

            task_group.start_soon(one_way, stream, onward, False)
            task_group.start_soon(one_way, onward, stream, True)

    async def _copy(
        self, source: abc.SocketStream, sink: abc.SocketStream, back: bool
    ) -> None:
        lost = False
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if self.delay_ms:
                    await anyio.sleep(self.delay_ms / 1_000)
                lost = lost or (self.drop_back if back else self.drop_forward)
                if not lost:
                    await sink.send(data)
        except (anyio.EndOfStream, *connections.CONNECTION_ERRORS):
            return  # Either end is gone.
