"""Requests without prompt parts that end the upstreams that run them."""

from __future__ import annotations

import anyio
from anyio import abc
import pytest

from laburnumpin.forwarding import events
from laburnumpin.forwarding import reducer
from laburnumpin.tests import forwarding_builders as build
from laburnumpin.tests import test_platform_relay as relay

UPSTREAMS = 3
ROUTES = (
    build.calls(max_attempts=2),
    build.route(
        "orders",
        prefix="/orders/",
        service=build.PLAIN_SERVICE,
        is_stream=False,
    ),
)


class _Fleet:
    """Upstreams that a request for `path` ends, and that start again."""

    def __init__(self, path: str) -> None:
        self._path = path.encode()
        self.harness: relay.Harness | None = None
        self.arrived: list[bytes] = []
        self._restarted: list[abc.Listener[abc.SocketStream]] = []

    async def script(self, connection: relay.UpstreamConnection) -> None:
        """Answer each request on a connection, or end the upstream."""
        while True:
            request = await connection.read_request()
            self.arrived.append(request)
            if self._path in request:
                await self._end_upstream(connection)
                return
            await connection.send_answer("r2", b"ok")

    async def _end_upstream(self, connection: relay.UpstreamConnection) -> None:
        assert self.harness is not None
        port = connection.stream.extra(abc.SocketAttribute.local_port)
        for listener in _open(self.harness.listeners + self._restarted):
            if listener.extra(abc.SocketAttribute.local_port) == port:
                await listener.aclose()

    def running(self) -> int:
        """Return the number of upstreams that have not ended."""
        assert self.harness is not None
        return len(_open(self.harness.listeners))

    async def restart(self, task_group: abc.TaskGroup) -> None:
        """Start all upstreams again at another address."""
        assert self.harness is not None
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self._restarted.append(listener)

        async def handle(stream: abc.SocketStream) -> None:
            async with stream:
                await self.script(relay.UpstreamConnection(stream, 0))

        task_group.start_soon(relay._serve_until_closed, listener, handle)
        port = listener.extra(abc.SocketAttribute.local_port)
        for upstream in list(self.harness.state.upstreams.all()):
            restarted = build.registration(
                upstream.registration.upstream_id,
                service=upstream.registration.service,
                address=f"127.0.0.1:{port}",
                incarnation_ms=7,
                slots=6,
            )
            reducer.reduce(
                self.harness.state, events.UpstreamChanged(0, 2, restarted)
            )


def _open(
    listeners: list[abc.Listener[abc.SocketStream]],
) -> list[abc.Listener[abc.SocketStream]]:
    """Return the listeners that were not closed."""
    return [
        listener
        for listener in listeners
        if listener.extra(abc.SocketAttribute.raw_socket).fileno() >= 0
    ]


# Incident second1: entries went on sending a look at one order, under which
# three upstreams had ended.
@pytest.mark.parametrize("path", ["/reads/x?id=7", "/orders/x"])
def test_request_under_which_three_upstreams_ended_is_not_sent_again(
    path: str,
) -> None:
    fleet = _Fleet(path)

    async def run_callers(harness: relay.Harness) -> None:
        fleet.harness = harness
        while fleet.running():
            await harness.call(relay._encode_request("r1", path))
        async with anyio.create_task_group() as task_group:
            await fleet.restart(task_group)
            # Other requests are served.
            other = relay._encode_request("r2", "/reads/y")
            assert (await harness.call(other)).endswith(b"ok")
            fleet.arrived.clear()
            received = await harness.call(relay._encode_request("r3", path))
            assert fleet.arrived == []
            assert received.startswith(b"HTTP/1.1 503")
            assert b"retry-after" in received.lower()
            task_group.cancel_scope.cancel()

    relay.run_with_frontend(
        fleet.script, run_callers, routes=ROUTES, upstreams=UPSTREAMS
    )
