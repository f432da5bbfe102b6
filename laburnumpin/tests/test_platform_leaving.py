"""Answers that say that their upstream leaves, over real sockets."""

from __future__ import annotations

import pytest

from laburnumpin.forwarding import upstreams
from laburnumpin.platform import wire
from laburnumpin.tests import test_platform_crashes as crashes
from laburnumpin.tests import test_platform_relay as relay

LEAVING = upstreams.Lifecycle.LEAVING
READY = upstreams.Lifecycle.READY


@pytest.mark.parametrize(
    ("status", "values", "expected"),
    [
        (200, [], False),
        (200, [b"1"], True),
        (503, [b"1"], True),
        (500, [b" 1 "], True),
        (200, [b"0"], False),
        (200, [b"0", b"1"], True),
        (200, [b"1, 1"], True),
        # Another upstream answers at the address.
        (421, [b"1"], False),
    ],
)
def test_header_is_read_from_every_answer(
    status: int, values: list[bytes], expected: bool
) -> None:
    headers = [(b"Server-Leaving", value) for value in values]
    assert wire.PlatformWire().statement(status, headers).is_leaving is expected


@pytest.mark.parametrize("value", [b"", b"yes", b"11", b"-1", b"\xff", b"nan"])
def test_malformed_header_is_an_error_and_takes_no_upstream_out(
    value: bytes,
) -> None:
    headers = [(b"Server-Leaving", value)]
    statement = wire.PlatformWire().statement(200, headers)
    assert not statement.is_leaving
    assert len(statement.malformed) == 1


HEAD_200 = (
    b"HTTP/1.1 200 OK\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
    b"X-Laburnumpin-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"
)
HEAD_500 = (
    b"HTTP/1.1 500 Error\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
    b"X-Laburnumpin-Response-Seal: s\r\nContent-Length: 0\r\n\r\n"
)
HEAD_SHED = (
    b"HTTP/1.1 503 Busy\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
    b"X-Laburnumpin-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
HEAD_OTHER = HEAD_200.replace(b"r1", b"r0") + HEAD_200
HEAD_STREAM = crashes.STREAM_HEAD + b"11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    "answer", [HEAD_200, HEAD_500, HEAD_SHED, HEAD_OTHER, HEAD_STREAM]
)
def test_each_kind_of_answer_marks_its_upstream(answer: bytes) -> None:
    said = answer.replace(
        b"\r\nX-Laburnumpin", b"\r\nServer-Leaving: 1\r\nX-Laburnumpin", 1
    )

    async def run_callers(harness: relay.Harness) -> None:
        await harness.call(crashes.encode_stream_request())
        upstream = harness.state.upstreams.get("engines-0")
        assert upstream is not None
        assert upstream.registration.lifecycle is LEAVING

    relay.run_with_frontend(
        relay.answering(said), run_callers, routes=crashes.STREAM_ROUTES
    )


def test_announcement_of_the_next_owner_of_an_address_binds_nobody() -> None:
    answer = (
        b"HTTP/1.1 421 Misdirected\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
        b"Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
    )

    async def run_callers(harness: relay.Harness) -> None:
        await harness.call(crashes.encode_stream_request())
        upstream = harness.state.upstreams.get("engines-0")
        assert upstream is not None
        assert upstream.registration.lifecycle is READY

    relay.run_with_frontend(
        relay.answering(answer), run_callers, routes=crashes.STREAM_ROUTES
    )
