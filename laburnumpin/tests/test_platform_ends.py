"""Ends of answers without length, by what becomes of the upstream."""

from __future__ import annotations

import itertools
import socket

import anyio
from anyio import abc
import pytest

from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import completeness
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import end_checks
from laburnumpin.forwarding import events
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import upstreams
from laburnumpin.platform import wire
from laburnumpin.tests import forwarding_builders as build
from laburnumpin.tests import test_platform_completeness as ends
from laburnumpin.tests import test_platform_relay as relay

IDENTITY_PATH = "/healthz"
# More than the kernel takes, whose buffers are limited in the test.
LONG_BODY = b"x" * 3_000_000
KERNEL_BYTES = 65_536
HALF = b"one half"
BOTH_ROUTES = pytest.mark.parametrize(
    ("request_text", "head", "part", "routes"),
    [
        (ends.CALL, ends.OPEN_HEAD, HALF, ends.SINGLE_CALL),
        (ends.STREAM, ends.OPEN_STREAM, ends.EVENT_1, ends.SINGLE_STREAM),
    ],
    ids=["call", "stream"],
)
Routes = tuple[deployment.Route, ...]


def _is_identity_check(request: bytes) -> bool:
    return request.startswith(b"GET /healthz ")


def _identity(upstream_id: str, status: bytes = b"200 OK") -> bytes:
    return (
        b"HTTP/1.1 " + status + b"\r\nX-Laburnumpin-Instance-Id: "
        b"" + upstream_id.encode() + b"\r\nContent-Length: 0\r\n\r\n"
    )


def _announce(harness: relay.Harness, how: str) -> None:
    """Register the upstreams as leaving, or remove them."""
    state = harness.state
    if how == "unannounced":
        return
    for upstream in list(state.upstreams.all()):
        registration = upstream.registration
        if how == "removed":
            reducer.reduce(
                state,
                events.UpstreamRemoved(1, 2, registration.upstream_id, False),
            )
            continue
        leaving = build.registration(
            registration.upstream_id,
            service=registration.service,
            address=registration.address,
            lifecycle=upstreams.Lifecycle.LEAVING,
        )
        reducer.reduce(state, events.UpstreamChanged(1, 2, leaving))


def _assert_not_whole(harness: relay.Harness, received: bytes) -> None:
    if harness.was_reset:
        return
    assert relay._status_code(received) == 502


# An upstream that was announced to leave ended in the middle of its answers.
# Its callers got a part of each, in a response that looked complete.
@pytest.mark.parametrize("how", ["leaving", "removed", "unannounced"])
@BOTH_ROUTES
def test_answer_of_an_upstream_that_ended_does_not_look_whole(
    request_text: bytes, head: bytes, part: bytes, routes: Routes, how: str
) -> None:
    harnesses: list[relay.Harness] = []

    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(head + part)
        _announce(harnesses[0], how)
        await harnesses[0].listeners[0].aclose()

    async def run_callers(harness: relay.Harness) -> None:
        harnesses.append(harness)
        received = await harness.call(request_text)
        _assert_not_whole(harness, received)
        assert harness.state.counters.value("answer_ends", "broken") == 1

    relay.run_with_frontend(script, run_callers, routes=routes)


@pytest.mark.parametrize("how", ["leaving", "removed", "unannounced"])
@pytest.mark.parametrize("says_who", [False, True])
@BOTH_ROUTES
def test_last_answer_of_an_upstream_that_still_listens_is_delivered(
    request_text: bytes,
    head: bytes,
    part: bytes,
    routes: Routes,
    says_who: bool,
    how: str,
) -> None:
    harnesses: list[relay.Harness] = []
    name = "desk-0" if request_text is ends.CALL else "engines-0"

    async def script(connection: relay.UpstreamConnection) -> None:
        if _is_identity_check(await connection.read_request()):
            await connection.stream.send(_identity(name, b"503 Leaving"))
            return
        await connection.stream.send(head + part)
        _announce(harnesses[0], how)

    async def run_callers(harness: relay.Harness) -> None:
        harnesses.append(harness)
        received, body = ends._split(await harness.call(request_text))
        assert received.startswith(b"http/1.1 200")
        assert body == part
        assert not harness.was_reset
        assert harness.state.counters.value("answer_ends", "unproved") == 1

    relay.run_with_frontend(
        script,
        run_callers,
        routes=routes,
        identity_path=IDENTITY_PATH if says_who else "",
    )


# Many servers stop to listen first when they leave. An older connection that
# still answers shows that the upstream had not ended.
def test_last_answer_is_delivered_if_an_idle_connection_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harnesses: list[relay.Harness] = []
    are_both_sent = anyio.Event()
    is_first_answered = anyio.Event()

    async def script(connection: relay.UpstreamConnection) -> None:
        request = await connection.read_request()
        if b"Attempt-Id: r1" in request:
            await are_both_sent.wait()
            await connection.send_answer("r1", b"one")
            assert _is_identity_check(await connection.read_request())
            await connection.stream.send(_identity("desk-0"))
            await connection.stream.receive()
            return
        are_both_sent.set()
        await is_first_answered.wait()
        head = ends.OPEN_HEAD.replace(b": r1", b": r2")
        await connection.stream.send(head + b"last words")
        _announce(harnesses[0], "leaving")
        monkeypatch.setattr(connections, "connect", refuse)

    async def refuse(
        address: str, timeout_ms: int
    ) -> connections.ClientConnection:
        raise connections.ConnectionLostError(
            address
        ) from ConnectionRefusedError()

    async def run_callers(harness: relay.Harness) -> None:
        harnesses.append(harness)

        async def call_first() -> None:
            await harness.call(relay._encode_request("r1"))
            is_first_answered.set()

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(call_first)
            received = await harness.call(relay._encode_request("r2"))
        assert received.endswith(b"last words")
        assert not harness.was_reset

    relay.run_with_frontend(
        script,
        run_callers,
        routes=ends.SINGLE_CALL,
        identity_path=IDENTITY_PATH,
    )


# A connection that is accepted after the end shows only that somebody listens
# at the address.
@pytest.mark.parametrize(
    "identity", [_identity("desk-9"), b"HTTP/1.1 421 Other\r\n\r\n"]
)
def test_answer_of_an_upstream_that_was_replaced_does_not_look_whole(
    identity: bytes,
) -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        if _is_identity_check(await connection.read_request()):
            await connection.stream.send(identity)
            return
        await connection.stream.send(ends.OPEN_HEAD + HALF)

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(ends.CALL)
        assert relay._status_code(received) == 502

    relay.run_with_frontend(
        script,
        run_callers,
        routes=ends.SINGLE_CALL,
        identity_path=IDENTITY_PATH,
    )


# A failure that was cut short got the same end as a whole one.
def test_failure_of_an_upstream_that_ended_is_not_passed_on() -> None:
    harnesses: list[relay.Harness] = []

    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        failure = ends.OPEN_HEAD.replace(b"200 OK", b"500 Failed") + b"out"
        await connection.stream.send(failure)
        await harnesses[0].listeners[0].aclose()

    async def run_callers(harness: relay.Harness) -> None:
        harnesses.append(harness)
        received = await harness.call(ends.CALL)
        assert relay._status_code(received) == 502
        assert b"seal" not in received.lower()

    relay.run_with_frontend(script, run_callers, routes=ends.SINGLE_CALL)


class _Upstream:
    """Takes the place of an upstream and of the pool of connections to it.

    `tries` are what becomes of one connection after the other: `refused`,
    `lost`, `silent` (it is never opened), `resets` (it is opened and lost), or
    `mute` (it is opened, and nothing comes).
    """

    def __init__(self, tries: list[str]) -> None:
        self.tries = tries
        self.opened = 0

    async def acquire(
        self, registration: upstreams.Registration, *, fresh: bool, new: bool
    ) -> object:
        self.opened += 1
        what = self.tries.pop(0)
        if what == "refused":
            raise connections.ConnectionLostError(
                "refused"
            ) from ConnectionRefusedError()
        if what == "lost":
            raise connections.ConnectionLostError("lost")
        if what == "silent":
            await anyio.sleep_forever()
        return _Connection(what)


class _Connection:
    requests_sent = 0

    def __init__(self, what: str) -> None:
        self._what = what

    async def send(self, *arguments: object) -> None:
        if self._what == "mute":
            await anyio.sleep_forever()
        raise connections.ConnectionLostError("reset")

    def close(self) -> None:
        return


def _end_checks(upstream: _Upstream) -> end_checks.EndChecks:
    state = build.state()
    current = build.configuration(2, identity_path=IDENTITY_PATH)
    reducer.reduce(state, events.DeploymentRead(0, current))
    checks = end_checks.EndChecks(
        state,
        wire.PlatformWire(),
        upstream,  # type: ignore[arg-type]
        lambda service: 1,
    )
    checks.timeout_ms = 60
    return checks


@pytest.mark.parametrize(
    ("tries", "state"),
    [
        (["refused"], completeness.UpstreamState.REFUSED),
        # It had accepted the first connection before it ended.
        (["resets", "refused"], completeness.UpstreamState.REFUSED),
        (["silent", "silent"], completeness.UpstreamState.SILENT),
        (["lost", "lost", "lost"], completeness.UpstreamState.SILENT),
        # The first packet was lost.
        (["silent", "mute"], completeness.UpstreamState.LISTENING),
        # It takes no more connections.
        (["resets"] * 3, completeness.UpstreamState.LISTENING),
        (["mute"], completeness.UpstreamState.LISTENING),
    ],
)
def test_state_of_an_upstream_that_says_nothing(
    tries: list[str], state: completeness.UpstreamState
) -> None:
    checks = _end_checks(_Upstream(list(tries)))
    registration = build.registration()
    assert anyio.run(checks.check, registration) is state
    assert not checks._checked


def test_answers_that_ended_before_a_check_share_it() -> None:
    upstream = _Upstream(["refused"] * 64)
    checks = _end_checks(upstream)

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            for _ in range(64):
                task_group.start_soon(checks.check, build.registration())

    anyio.run(main)
    assert upstream.opened <= 8


def test_upstream_is_not_asked_if_the_check_is_off() -> None:
    checks = _end_checks(_Upstream([]))
    checks.timeout_ms = 0
    state = anyio.run(checks.check, build.registration())
    assert state is completeness.UpstreamState.UNCHECKED


# The next incarnation of an upstream has its id and its address.
def test_incarnation_that_registers_during_the_check_is_another_one() -> None:
    upstream = _Upstream(["mute"])
    checks = _end_checks(upstream)
    registration = build.registration()
    states: list[completeness.UpstreamState] = []

    async def check() -> None:
        states.append(await checks.check(registration))

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(check)
            while not upstream.opened:
                await anyio.sleep(0)
            restarted = build.registration(incarnation_ms=2)
            reducer.reduce(
                checks._state, events.UpstreamChanged(1, 2, restarted)
            )

    anyio.run(main)
    assert states == [completeness.UpstreamState.REPLACED]


_GONE = (
    completeness.UpstreamState.REPLACED,
    completeness.UpstreamState.REFUSED,
    completeness.UpstreamState.SILENT,
)


# Each way in which a connection can end, for each state of its upstream.
@pytest.mark.parametrize("framing", list(completeness.Framing))
@pytest.mark.parametrize("state", list(completeness.UpstreamState))
def test_verdict_for_each_end_and_state(
    framing: completeness.Framing, state: completeness.UpstreamState
) -> None:
    for facts in itertools.product([False, True], repeat=5):
        inside, content, sent, stopped, may_be_unproved = facts
        end, reason = completeness.judge(
            completeness.Evidence(
                framing, inside, content, sent, state, stopped, may_be_unproved
            )
        )
        assert reason
        if inside:
            expected = completeness.End.BROKEN
        elif framing is not completeness.Framing.CLOSE:
            expected = completeness.End.PROVED
        elif (
            content
            and sent
            and not stopped
            and may_be_unproved
            and state not in _GONE
        ):
            expected = completeness.End.UNPROVED
        else:
            expected = completeness.End.BROKEN
        assert end is expected, (framing, state, facts)


# An upstream answered a long upload at once without a length, sent a part and
# ended the connection while the upload was still being written.
@pytest.mark.parametrize("ending", ["reset", "close", "close, then reset"])
@pytest.mark.parametrize("part", [HALF, ends.LARGE_BODY])
@pytest.mark.parametrize("is_stream", [False, True])
def test_answer_that_ends_before_the_request_is_sent_is_broken(
    monkeypatch: pytest.MonkeyPatch, ending: str, part: bytes, is_stream: bool
) -> None:
    connect = byte_stream.connect

    async def connect_with_small_buffer(
        address: str,
    ) -> byte_stream.ByteStream:
        stream = await connect(address)
        assert stream._transport is not None
        raw = stream._transport.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BYTES)
        return stream

    monkeypatch.setattr(byte_stream, "connect", connect_with_small_buffer)
    head, path, routes = ends.OPEN_HEAD, "/reads/x", ends.SINGLE_CALL
    if is_stream:
        head, path, routes = ends.OPEN_STREAM, "/drafts/x", ends.SINGLE_STREAM
        part = ends.EVENT_1 + b"data: " + part + b"\n\n"

    async def script(connection: relay.UpstreamConnection) -> None:
        if connection.number > 1:
            await connection.stream.receive()  # The check of the end.
            return
        raw = connection.stream.extra(abc.SocketAttribute.raw_socket)
        while b"\r\n\r\n" not in connection.received:
            connection.received += await connection.stream.receive(512)
        await connection.stream.send(head + part)
        await anyio.sleep(0.05)
        if ending != "reset":
            raw.shutdown(socket.SHUT_WR)
            await anyio.sleep(0.05 if ending == "close, then reset" else 1)
        await connection.reset()

    async def run_callers(harness: relay.Harness) -> None:
        for listener in harness.listeners:
            raw = listener.extra(abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BYTES)
        request = relay._encode_request("r1", path, LONG_BODY)
        _assert_not_whole(harness, await harness.call(request))

    relay.run_with_frontend(script, run_callers, routes=routes)


# The entry has read the end of an answer before it learns that the rest of its
# request was rejected.
def test_reset_after_a_normal_close_is_noticed() -> None:
    async def main() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        host, port = listener.getsockname()
        connection = await connections.connect(f"{host}:{port}", 1_000)
        accepted, _ = listener.accept()
        body = b"x" * 60_000
        headers = [(b"Host", b"h"), (b"Content-Length", b"60000")]
        await connection.send(b"POST", b"/", headers, body)
        accepted.sendall(ends.OPEN_HEAD + HALF)
        accepted.shutdown(socket.SHUT_WR)
        await connection.head()
        while await connection.chunk():
            pass
        assert connection.has_sent_request()
        accepted.close()  # The request is unread.
        with anyio.fail_after(5):
            while connection.has_sent_request():
                await anyio.sleep(0.01)
        connection.close()
        listener.close()

    anyio.run(main)
