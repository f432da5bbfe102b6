"""Loopback TCP proxy that injects network faults."""

from __future__ import annotations

import anyio
from anyio import abc

CHUNK_BYTES = 16_384


class Proxy:
    """Forwards TCP connections to `target`.

    `delay_ms` delays each chunk. `drop_forward` and `drop_backward` discard the
    bytes of one direction, for the rest of each connection that carries data
    meanwhile. With `silent`, new connections are accepted but not forwarded.
    `stall_open` silences the open ones for good.
    """

    __slots__ = (
        "_listener",
        "_open_streams",
        "_scope",
        "_stalled_streams",
        "delay_ms",
        "drop_backward",
        "drop_forward",
        "silent",
        "target",
    )

    def __init__(self, target: str) -> None:
        self.target = target
        self.delay_ms = 0
        self.drop_forward = False
        self.drop_backward = False
        self.silent = False
        self._open_streams: set[abc.SocketStream] = set()
        self._stalled_streams: set[abc.SocketStream] = set()
        self._scope = anyio.CancelScope()
        self._listener: abc.AsyncResource | None = None

    async def serve(self, *, task_status: abc.TaskStatus[str]) -> None:
        """Serve on a free loopback port; report its address."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=0, backlog=256
        )
        port = listener.extra(abc.SocketAttribute.local_port)
        task_status.started(f"127.0.0.1:{port}")
        self._listener = listener
        with self._scope:
            async with listener:
                try:
                    await listener.serve(self._handle)
                except* anyio.ClosedResourceError:
                    pass  # `end` has closed the listener.

    def clear_faults(self) -> None:
        """End all faults; connections that have lost bytes stay broken."""
        self.delay_ms = 0
        self.drop_forward = self.drop_backward = self.silent = False

    def stall_open(self) -> None:
        """Forward nothing more over the open connections, nor their ends."""
        self._stalled_streams |= self._open_streams

    async def reset_all(self) -> None:
        """Close all open connections without a graceful shutdown."""
        for stream in list(self._open_streams):
            await anyio.aclose_forcefully(stream)

    async def end(self) -> None:
        """Refuse new connections from now on, and reset the open ones.

        The listener is closed first, as the kernel does for a process that ends
        with its listener as the oldest socket.
        """
        if self._listener is not None:
            await self._listener.aclose()
        self._scope.cancel()
        await self.reset_all()

    async def _handle(self, stream: abc.SocketStream) -> None:
        self._open_streams.add(stream)
        try:
            if self.silent:
                await anyio.sleep(30.0)
                return
            host, _, port = self.target.rpartition(":")
            async with await anyio.connect_tcp(
                host, int(port)
            ) as target_stream:
                self._open_streams.add(target_stream)
                try:
                    await self._forward_both_directions(stream, target_stream)
                finally:
                    self._open_streams.discard(target_stream)
                    self._stalled_streams.discard(target_stream)
        except OSError:
            return  # The target is unreachable; the connection is closed.
        finally:
            self._open_streams.discard(stream)
            self._stalled_streams.discard(stream)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _forward_both_directions(
        self, stream: abc.SocketStream, target_stream: abc.SocketStream
    ) -> None:
        async with anyio.create_task_group() as task_group:

            async def forward_direction(
                source: abc.SocketStream, sink: abc.SocketStream, backward: bool
            ) -> None:
                await self._forward(source, sink, backward)
                task_group.cancel_scope.cancel()

            task_group.start_soon(
                forward_direction, stream, target_stream, False
            )
            task_group.start_soon(
                forward_direction, target_stream, stream, True
            )

    async def _forward(
        self, source: abc.SocketStream, sink: abc.SocketStream, backward: bool
    ) -> None:
        is_dropping = False
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if self.delay_ms:
                    await anyio.sleep(self.delay_ms / 1_000)
                is_dropping = is_dropping or (
                    self.drop_backward if backward else self.drop_forward
                )
                if not is_dropping and source not in self._stalled_streams:
                    await sink.send(data)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            OSError,
        ):
            return  # One of the two connections has closed.
