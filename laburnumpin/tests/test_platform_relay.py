"""Forwarding over real sockets, between callers and scripted upstreams."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random
import socket

import anyio
from anyio import abc
import pytest

from laburnumpin import clock
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import events
from laburnumpin.forwarding import frontend
from laburnumpin.forwarding import pool
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.platform import clients
from laburnumpin.platform import wire
from laburnumpin.server import tasks
from laburnumpin.tests import forwarding_builders as build

# Only a fault makes a test take this long.
TIMEOUT_S = 10.0

UpstreamScript = Callable[["UpstreamConnection"], Awaitable[None]]
RunCallers = Callable[["Harness"], Awaitable[None]]


class UpstreamConnection:
    """The upstream's side of one connection; `number` counts from 1."""

    def __init__(self, stream: abc.SocketStream, number: int) -> None:
        self.stream = stream
        self.number = number
        self.received = b""

    async def read_request(self) -> bytes:
        """Return the next whole request, delimited by its Content-Length."""
        while True:
            head, separator, rest = self.received.partition(b"\r\n\r\n")
            if separator:
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.partition(b":")[2])
                if len(rest) >= length:
                    self.received = rest[length:]
                    return head + separator + rest[:length]
            self.received += await self.stream.receive()

    async def send_answer(
        self, request_id: str, body: bytes, *, extra: bytes = b""
    ) -> None:
        """Send a whole answer, followed by the bytes of `extra`."""
        await self.stream.send(_encode_answer(request_id, body) + extra)

    async def reset(self) -> None:
        """Close so that the other side sees a reset."""
        raw = self.stream.extra(abc.SocketAttribute.raw_socket)
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await anyio.aclose_forcefully(self.stream)


def _encode_answer(request_id: str, body: bytes) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nX-Laburnumpin-Attempt-Id: {request_id}\r\n"
        f"X-Laburnumpin-Response-Seal: s\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Harness:
    """A frontend before scripted upstreams.

    `connection_count` counts the connections to the upstreams, and
    `connection_ended` is set when the first of them has ended. `was_reset` is
    whether the last caller's connection was. Closing one of `listeners` ends an
    upstream.
    """

    def __init__(
        self, address: str, state: forwarding_state.ForwardingState
    ) -> None:
        self.address = address
        self.state = state
        self.requests: list[bytes] = []
        self.connection_count = 0
        self.connection_ended = anyio.Event()
        self.was_reset = False
        self.listeners: list[abc.Listener[abc.SocketStream]] = []
        self.frontend: frontend.Frontend | None = None

    async def send_slices(self, text: bytes, slice_bytes: int) -> bytes:
        """Send bytes in slices; return what comes until the connection ends."""
        host, _, port = self.address.rpartition(":")
        received = b""
        async with await anyio.connect_tcp(host, int(port)) as stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                for start in range(0, len(text), slice_bytes):
                    await stream.send(text[start : start + slice_bytes])
                    await anyio.sleep(0)
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    received += await stream.receive()
        return received

    async def call(self, text: bytes, *, answers: int = 1) -> bytes:
        """Send bytes and return the bytes of that many complete answers.

        Return what was received if the connection ends before.
        """
        host, _, port = self.address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(text)
            received = b""
            self.was_reset = False
            try:
                while _count_complete_answers(received) < answers:
                    received += await stream.receive()
            except anyio.EndOfStream:
                pass
            except anyio.BrokenResourceError:
                self.was_reset = True
            return received


def _count_complete_answers(received: bytes) -> int:
    """Return the number of complete answers."""
    count = 0
    while True:
        head, separator, rest = received.partition(b"\r\n\r\n")
        if not separator:
            return count
        length = -1
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        if length < 0:
            end = rest.find(b"0\r\n\r\n")
            if end < 0:
                return count
            received = rest[end + 5 :]
        else:
            if len(rest) < length:
                return count
            received = rest[length:]
        count += 1


def _encode_request(
    request_id: str = "r1",
    path: str = "/reads/x",
    body: bytes = b"hi",
    *extra: str,
) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: h.example",
        f"X-Laburnumpin-Attempt-Id: {request_id}",
        "X-Laburnumpin-Deadline-Ms: 5000",
        f"Content-Length: {len(body)}",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def run_with_frontend(
    script: UpstreamScript,
    run_callers: Callable[[Harness], Awaitable[None]],
    *,
    routes: tuple[deployment.Route, ...] | None = None,
    upstreams: int = 1,
    identity_path: str = "",
    customers: tuple[deployment.Customer, ...] = (),
) -> None:
    """Run a frontend before scripted upstreams while callers use it."""

    async def main() -> None:
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as task_group:
                await _run_frontend(
                    task_group,
                    script,
                    run_callers,
                    build.configuration(
                        routes=routes,
                        customers=customers,
                        identity_path=identity_path,
                    ),
                    upstreams,
                )
                task_group.cancel_scope.cancel()

    anyio.run(main)


async def _run_frontend(
    task_group: abc.TaskGroup,
    script: UpstreamScript,
    run_callers: Callable[[Harness], Awaitable[None]],
    current: deployment.Deployment,
    upstreams: int,
) -> None:
    with socket.socket() as probe_socket:
        probe_socket.bind(("127.0.0.1", 0))
        port = probe_socket.getsockname()[1]
    state = forwarding_state.ForwardingState(
        build.contact("entry-1"), 1, build.RETRY_LIMIT, 5_000, random.Random(1)
    )
    harness = Harness(f"127.0.0.1:{port}", state)

    async def handle(stream: abc.SocketStream) -> None:
        harness.connection_count += 1
        connection = UpstreamConnection(stream, harness.connection_count)
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            async with stream:
                await script(connection)
        harness.connection_ended.set()

    registrations = []
    for number in range(upstreams):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(abc.SocketAttribute.local_port)}"
        harness.listeners.append(listener)
        task_group.start_soon(_serve_until_closed, listener, handle)
        for service in (build.PLAIN_SERVICE, build.ENGINES):
            registrations.append(
                build.registration(
                    f"{service}-{number}",
                    service=service,
                    address=address,
                    slots=6,
                )
            )
    reducer.reduce(state, events.DeploymentRead(0, current))
    reducer.reduce(
        state, events.UpstreamsListed(0, 1, tuple(registrations), False)
    )
    boot_clock = clock.BootClock()
    shell = shells.Shell(
        state,
        wire.PlatformWire(),
        pool.Pool(boot_clock),
        tasks.TaskRunner(task_group),
        boot_clock,
        clients.PlatformEngines(),
    )
    harness.frontend = frontend.Frontend(shell)
    task_group.start_soon(harness.frontend.serve, harness.address)
    while True:
        try:
            async with await anyio.connect_tcp("127.0.0.1", port):
                break
        except OSError:
            await anyio.sleep(0.01)
    await run_callers(harness)


async def _serve_until_closed(
    listener: abc.Listener[abc.SocketStream],
    handle: Callable[[abc.SocketStream], Awaitable[None]],
) -> None:
    try:
        await listener.serve(handle)
    except* anyio.ClosedResourceError:
        pass


def answering(answer: bytes) -> UpstreamScript:
    """Return a script that answers the first request of each connection."""

    async def script(connection: UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(answer)

    return script


def _status_code(received: bytes) -> int:
    return int(received.split(b" ", 2)[1])


SINGLE_ATTEMPT_ROUTES = (build.calls(may_repeat=False, max_attempts=1),)


def test_answer_to_an_earlier_request_is_skipped() -> None:
    async def script(connection: UpstreamConnection) -> None:
        await connection.read_request()
        await connection.send_answer("r1", b"one")
        await connection.read_request()
        late = _encode_answer("r0", b"not yours")
        await connection.stream.send(late + _encode_answer("r2", b"two"))
        await connection.stream.receive()

    async def run_callers(harness: Harness) -> None:
        assert (await harness.call(_encode_request("r1"))).endswith(b"one")
        assert (await harness.call(_encode_request("r2"))).endswith(b"two")

    run_with_frontend(script, run_callers)


def test_connection_with_bytes_after_an_answer_is_not_reused() -> None:
    async def script(connection: UpstreamConnection) -> None:
        await connection.read_request()
        await connection.send_answer("r1", b"one", extra=b"HTTP/1.1 200 OK\r\n")
        await connection.read_request()

    async def run_callers(harness: Harness) -> None:
        await harness.call(_encode_request("r1"))
        await harness.call(_encode_request("r1"))
        assert harness.connection_count == 2

    run_with_frontend(script, run_callers)


@pytest.mark.parametrize(
    "sent",
    [
        _encode_answer("r1", b"whole")[:-2],
        b"HTTP/1.1 200 OK\r\nX-Lab",
        b"",
        b"what is this\r\n\r\n",
    ],
)
def test_incomplete_answer_to_a_call_is_a_bad_gateway(sent: bytes) -> None:
    async def script(connection: UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(sent)

    async def run_callers(harness: Harness) -> None:
        received = await harness.call(_encode_request())
        assert _status_code(received) == 502
        assert b"Retry-After" not in received

    run_with_frontend(script, run_callers, routes=SINGLE_ATTEMPT_ROUTES)


def test_answer_without_length_is_complete_at_a_normal_close() -> None:
    head = (
        b"HTTP/1.1 200 OK\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
        b"X-Laburnumpin-Response-Seal: s\r\n\r\n"
    )

    async def script(connection: UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(head + b"to the end")

    async def run_callers(harness: Harness) -> None:
        received = await harness.call(_encode_request())
        assert _status_code(received) == 200
        assert received.endswith(b"to the end")

    run_with_frontend(script, run_callers, routes=SINGLE_ATTEMPT_ROUTES)


def test_answer_without_length_is_incomplete_at_a_reset() -> None:
    head = (
        b"HTTP/1.1 200 OK\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
        b"X-Laburnumpin-Response-Seal: s\r\n\r\n"
    )

    async def script(connection: UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(head + b"to the")
        await anyio.sleep(0.05)
        await connection.reset()

    async def run_callers(harness: Harness) -> None:
        assert _status_code(await harness.call(_encode_request())) == 502

    run_with_frontend(script, run_callers, routes=SINGLE_ATTEMPT_ROUTES)


@pytest.mark.parametrize("cut", [False, True])
def test_large_answer_is_complete_only_if_the_upstream_completes_it(
    cut: bool,
) -> None:
    body = b"x" * 400_000

    async def script(connection: UpstreamConnection) -> None:
        await connection.read_request()
        sent = _encode_answer("r1", body)
        await connection.stream.send(sent[:-10] if cut else sent)

    async def run_callers(harness: Harness) -> None:
        received = await harness.call(_encode_request())
        assert _status_code(received) == 200
        assert _count_complete_answers(received) == (0 if cut else 1)
        assert harness.connection_count == 1

    run_with_frontend(script, run_callers, upstreams=2)


def test_caller_disconnect_cancels_the_upstream_request() -> None:
    requests_received = []

    async def script(connection: UpstreamConnection) -> None:
        requests_received.append(await connection.read_request())
        await connection.stream.receive()

    async def run_callers(harness: Harness) -> None:
        host, _, port = harness.address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(_encode_request())
            while not requests_received:
                await anyio.sleep(0.01)
        await harness.connection_ended.wait()

    run_with_frontend(script, run_callers)


@pytest.mark.parametrize("routes", [None, SINGLE_ATTEMPT_ROUTES])
def test_request_of_a_disconnected_caller_is_not_sent(
    routes: tuple[deployment.Route, ...] | None,
) -> None:
    # A busy entry read requests 1.7 s late, and the ends of their connections
    # only after them, so it sent requests whose callers had disconnected. Found
    # on trouble-2 of grown Luvas (small twin).
    requests_received = []

    async def script(connection: UpstreamConnection) -> None:
        requests_received.append(await connection.read_request())
        await connection.send_answer("r1", b"late")

    async def run_callers(harness: Harness) -> None:
        host, _, port = harness.address.rpartition(":")
        caller = socket.create_connection((host, int(port)))
        await anyio.sleep(0.1)
        # Both arrive before the event loop reads again.
        caller.sendall(_encode_request())
        caller.close()
        await anyio.sleep(0.3)
        assert not requests_received

    run_with_frontend(script, run_callers, routes=routes)


def test_early_answer_to_a_long_request_reaches_the_caller() -> None:
    async def script(connection: UpstreamConnection) -> None:
        await connection.stream.receive()
        await connection.send_answer("r1", b"enough")
        await anyio.sleep(0.2)

    async def run_callers(harness: Harness) -> None:
        body = b"x" * 3_000_000
        received = await harness.call(_encode_request("r1", "/reads/x", body))
        assert received.endswith(b"enough")

    run_with_frontend(script, run_callers, routes=SINGLE_ATTEMPT_ROUTES)


def test_target_and_body_are_forwarded_unchanged() -> None:
    requests_received = []

    async def script(connection: UpstreamConnection) -> None:
        requests_received.append(await connection.read_request())
        await connection.send_answer("r1", b"ok")

    async def run_callers(harness: Harness) -> None:
        await harness.call(
            b"POST /reads/a%2Fb?q=%20/../c HTTP/1.1\r\nHost: h.example\r\n"
            b"X-Laburnumpin-Attempt-Id: r1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )

    run_with_frontend(script, run_callers)
    assert requests_received[0].startswith(
        b"POST /reads/a%2Fb?q=%20/../c HTTP/1.1\r\n"
    )
    assert requests_received[0].endswith(b"\r\n\r\nabcde")
    assert b"transfer-encoding" not in requests_received[0].lower()


def test_pipelined_requests_are_answered_in_order() -> None:
    async def script(connection: UpstreamConnection) -> None:
        while True:
            request = await connection.read_request()
            name = "r1" if b"Attempt-Id: r1" in request else "r2"
            await connection.send_answer(name, name.encode())

    async def run_callers(harness: Harness) -> None:
        received = await harness.call(
            _encode_request("r1") + _encode_request("r2"), answers=2
        )
        assert received.index(b"\r\n\r\nr1") < received.index(b"\r\n\r\nr2")

    run_with_frontend(script, run_callers)


def test_resumed_stream_has_each_event_once() -> None:
    requests_received = []

    async def script(connection: UpstreamConnection) -> None:
        requests_received.append(await connection.read_request())
        await connection.stream.send(
            b"HTTP/1.1 200 OK\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
            b"X-Laburnumpin-Response-Seal: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        texts = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\nid: 3\nda"]
        if len(requests_received) == 2:
            texts = [b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"]
        for text in texts:
            await connection.stream.send(b"%x\r\n%b\r\n" % (len(text), text))
        if len(requests_received) == 2:
            await connection.stream.send(b"0\r\n\r\n")

    async def run_callers(harness: Harness) -> None:
        received = await harness.call(
            _encode_request(
                "r1",
                "/drafts/x",
                b"hi",
                "X-Laburnumpin-Token-Count: 10,10",
            )
        )
        event_counts = []
        for number in (1, 2, 3):
            event_counts.append(received.count(b"id: %d\n" % number))
        assert event_counts == [1, 1, 1]
        assert received.endswith(b"0\r\n\r\n")

    route = build.route(may_repeat=True, max_attempts=2)
    run_with_frontend(script, run_callers, routes=(route,), upstreams=2)
    assert b"last-event-id: 2" in requests_received[1].lower()


def test_stream_that_may_not_be_resumed_is_truncated() -> None:
    async def script(connection: UpstreamConnection) -> None:
        await connection.read_request()
        event = b"id: 1\ndata: a\n\n"
        await connection.stream.send(
            b"HTTP/1.1 200 OK\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
            b"X-Laburnumpin-Response-Seal: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n"
            % (len(event), event)
        )

    async def run_callers(harness: Harness) -> None:
        received = await harness.call(
            _encode_request(
                "r1",
                "/drafts/x",
                b"hi",
                "X-Laburnumpin-Token-Count: 10,10",
            )
        )
        assert b"id: 1" in received
        assert not received.endswith(b"0\r\n\r\n")

    run_with_frontend(script, run_callers, routes=(build.route(),))


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"NONSENSE\r\n\r\n", 400),
        (
            b"POST /none/ HTTP/1.1\r\nHost: h.example\r\n"
            b"X-Laburnumpin-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n",
            404,
        ),
        (
            b"POST /reads/ HTTP/1.1\r\nHost: h.example\r\n"
            b"Content-Length: 0\r\n\r\n",
            400,
        ),
    ],
)
def test_bad_input_gets_an_error_status(text: bytes, status: int) -> None:
    async def script(connection: UpstreamConnection) -> None:
        await connection.read_request()

    async def run_callers(harness: Harness) -> None:
        assert _status_code(await harness.call(text)) == status
        assert harness.connection_count == 0

    run_with_frontend(script, run_callers)


# Only customers with long bodies came before those without a key.
def test_customer_of_a_short_request_is_known() -> None:
    async def script(connection: UpstreamConnection) -> None:
        await connection.read_request()
        await connection.send_answer("r1", b"done")

    async def run_callers(harness: Harness) -> None:
        customer = build.customer()
        current = build.configuration(2, customers=(customer,))
        reducer.reduce(harness.state, events.DeploymentRead(0, current))
        assert harness.frontend is not None
        gate = harness.frontend._shell.gate
        assert gate is not None
        key = f"X-Laburnumpin-Credential: {customer.keys[0]}"
        host, _, port = harness.address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(_encode_request("r1", "/reads/x", b"hi", key))
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")
            shown = {open_stream.customer for open_stream in gate._streams}
        assert customer.name in shown

    run_with_frontend(script, run_callers)
