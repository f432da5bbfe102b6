"""Engines that end while they answer, over real sockets."""

from __future__ import annotations

from typing import Any

import cbor2
import pytest

from laburnumpin import exceptions
from laburnumpin.forwarding import events
from laburnumpin.forwarding import gossip
from laburnumpin.forwarding import peer_link
from laburnumpin.forwarding import reducer
from laburnumpin.server import logs
from laburnumpin.tests import forwarding_builders as build
from laburnumpin.tests import test_platform_relay as relay

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
    b"X-Laburnumpin-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
STREAM_ROUTES = (build.route(max_attempts=1),)


def encode_stream_request() -> bytes:
    return relay._encode_request(
        "r1",
        "/drafts/x",
        b"hi",
        "X-Laburnumpin-Token-Count: 100,10",
        "X-Laburnumpin-Prompt-Prefix: a1:40,b2:40,c3:20",
    )


@pytest.mark.parametrize(
    ("sent", "received"),
    [
        (b"", "nothing"),
        (STREAM_HEAD, "head"),
        (STREAM_HEAD + b"11\r\nid: 1\ndata: one\n\n\r\n", "events"),
    ],
)
def test_log_line_of_a_broken_attempt_has_prompt_parts_and_progress(
    sent: bytes, received: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Incident inc1: without them, a prompt that ends engines looks the same as
    # an engine that ends for another reason.
    lines: list[tuple[str, dict[str, Any]]] = []

    def record(message_type: str, level: str, fields: dict[str, Any]) -> None:
        lines.append((message_type, fields))

    monkeypatch.setattr(logs, "write", record)

    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(sent)

    async def run_callers(harness: relay.Harness) -> None:
        await harness.call(encode_stream_request())

    relay.run_with_frontend(script, run_callers, routes=STREAM_ROUTES)
    failures = [fields for name, fields in lines if name == "attempt_failed"]
    assert len(failures) == 1
    assert failures[0]["ending"] == "broken"
    assert failures[0]["prompt_parts"] == "a1,b2"
    assert failures[0]["received"] == received


UNFRAMED_HEAD = STREAM_HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"")
EVENT = b"id: 1\ndata: one\n\n"


# An engine that ends closes a stream without length or chunks in the same way
# as one that has finished it. Its caller got half an event as a whole answer,
# and a request that ends engines counted as answered.
@pytest.mark.parametrize("sent", [b"", b"id: 1\nda", EVENT + b"id: 2\nda"])
def test_stream_without_length_that_ends_inside_an_event_is_broken_off(
    sent: bytes,
) -> None:
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(UNFRAMED_HEAD + sent)

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(encode_stream_request())
        assert not received.endswith(b"\r\n0\r\n\r\n")
        if not sent.startswith(EVENT):
            assert received.startswith(b"HTTP/1.1 502")

    relay.run_with_frontend(script, run_callers, routes=STREAM_ROUTES)


def test_stream_without_length_is_continued_at_another_engine() -> None:
    routes = (build.route(may_repeat=True, max_attempts=2),)

    async def script(connection: relay.UpstreamConnection) -> None:
        request = await connection.read_request()
        if b"Last-Event-Id: 1" in request:
            rest = b"id: 2\ndata: two\n\n"
            await connection.stream.send(UNFRAMED_HEAD + rest)
            return
        await connection.stream.send(UNFRAMED_HEAD + EVENT + b"id: 2\nda")

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(encode_stream_request())
        _, _, body = received.partition(b"\r\n\r\n")
        assert body == EVENT + b"id: 2\ndata: two\n\n"
        assert b"transfer-encoding" not in received.lower()
        assert not harness.was_reset

    relay.run_with_frontend(script, run_callers, routes=routes, upstreams=2)


# Incident ORDER: the end of its connection was passed on as the end of chunks,
# also for a stream whose engine had ended between two events.
def test_stream_without_length_ends_with_the_connection_for_its_caller() -> (
    None
):
    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.stream.send(UNFRAMED_HEAD + EVENT)

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(encode_stream_request())
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert b"transfer-encoding" not in head.lower()
        assert b"content-length" not in head.lower()
        assert b"connection: close" in head.lower()
        assert body == EVENT
        assert not harness.was_reset

    relay.run_with_frontend(script, run_callers, routes=STREAM_ROUTES)


def test_limit_in_an_answer_is_kept_until_a_later_one_has_none() -> None:
    shares: list[float | None] = []

    async def script(connection: relay.UpstreamConnection) -> None:
        await connection.read_request()
        head = UNFRAMED_HEAD.replace(
            b"\r\n\r\n", b"\r\nServer-Limit: 7.5\r\n\r\n"
        )
        if connection.number > 1:
            head = UNFRAMED_HEAD
        await connection.stream.send(head + EVENT)

    async def run_callers(harness: relay.Harness) -> None:
        for _ in range(2):
            received = await harness.call(encode_stream_request())
            assert received.startswith(b"HTTP/1.1 200")
            upstream = harness.state.upstreams.get("engines-0")
            assert upstream is not None
            assert upstream.limit_share is not None
            shares.append(upstream.limit_share.limit_per_s)
            # The limit is divided with the next tick.
            event = events.Ticked(upstream.limit_share.seen_ms, 0)
            reducer.reduce(harness.state, event)

    relay.run_with_frontend(script, run_callers, routes=STREAM_ROUTES)
    assert shares == [7.5, None]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("q", 7),
        ("q", [[1]]),
        ("q", [["x", True, []]]),
        ("q", [[1, True, [[1, 2]]]]),
        ("h", [["u1"]]),
        ("h", [["u1", 1, "many", 2]]),
        ("h", [["u1", 1, float("nan"), 2]]),
    ],
)
def test_malformed_losses_and_limits_in_a_digest_are_refused(
    field: str, value: object
) -> None:
    state = build.state()
    encoded = peer_link.encode(gossip._build_digest(state, 0, 0, ()))
    fields = {**cbor2.loads(encoded), field: value}
    with pytest.raises(exceptions.MessageError):
        peer_link.decode(cbor2.dumps(fields))
