"""Answers that ask for a back-off (503 with Retry-After), over real sockets."""

from __future__ import annotations

import pytest

from laburnumpin import clock
from laburnumpin.forwarding import upstreams
from laburnumpin.tests import test_platform_crashes as crashes
from laburnumpin.tests import test_platform_relay as relay

HEAD_BUSY = (
    b"HTTP/1.1 503 Busy\r\nX-Laburnumpin-Attempt-Id: r1\r\n"
    b"X-Laburnumpin-Not-Executed: 1\r\nRetry-After: 30\r\n"
    b"Content-Length: 0\r\n\r\n"
)
HEAD_BUSY_RAN = HEAD_BUSY.replace(b"X-Laburnumpin-Not-Executed: 1\r\n", b"")


def _retry_after_s(received: bytes) -> float:
    """Return the Retry-After of an answer, 0 if it has none."""
    for line in received.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"retry-after":
            return float(value)
    return 0.0


# BUDGET: requests reached an upstream that had answered 503 with Retry-After,
# and callers were told to come back after 0.15 s.
@pytest.mark.parametrize("answer", [HEAD_BUSY, HEAD_BUSY_RAN])
@pytest.mark.parametrize("is_stream", [False, True])
def test_upstream_that_asked_for_a_backoff_gets_no_request(
    answer: bytes, is_stream: bool
) -> None:
    text = relay._encode_request()
    if is_stream:
        text = crashes.encode_stream_request()
    seen = []

    async def script(connection: relay.UpstreamConnection) -> None:
        while True:
            seen.append(await connection.read_request())
            await connection.stream.send(answer)

    async def run_callers(harness: relay.Harness) -> None:
        await harness.call(text)
        for _ in range(3):
            received = await harness.call(text)
            assert relay._status_code(received) == 503
            assert 29 < _retry_after_s(received) < 32
        assert len(seen) == 1

    relay.run_with_frontend(script, run_callers)


# A late copy may name a limit that has ended; that it leaves stays true.
def test_answer_to_another_request_names_no_limit() -> None:
    late = relay._encode_answer("r0", b"late").replace(
        b"\r\nX-Lab", b"\r\nServer-Limit: 0.5\r\nServer-Leaving: 1\r\nX-Lab", 1
    )

    async def run_callers(harness: relay.Harness) -> None:
        await harness.call(relay._encode_request())
        upstream = harness.state.upstreams.get("desk-0")
        assert upstream is not None
        assert upstream.limit_share is None
        assert upstream.registration.lifecycle is upstreams.Lifecycle.LEAVING

    relay.run_with_frontend(
        relay.answering(late + relay._encode_answer("r1", b"one")), run_callers
    )


# The caller was told to come back after 0.15 s.
def test_request_that_is_not_sent_again_gets_the_time_of_the_backoff() -> None:
    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(relay._encode_request())
        assert relay._status_code(received) == 503
        assert 29 < _retry_after_s(received) < 32

    relay.run_with_frontend(
        relay.answering(HEAD_BUSY),
        run_callers,
        routes=relay.SINGLE_ATTEMPT_ROUTES,
        upstreams=3,
    )


def test_next_owner_of_an_address_names_no_backoff_or_limit() -> None:
    answer = HEAD_BUSY_RAN.replace(b"503 Busy", b"421 Misdirected").replace(
        b"Retry-After: 30", b"Retry-After: 30\r\nServer-Limit: 0.5"
    )

    async def run_callers(harness: relay.Harness) -> None:
        await harness.call(relay._encode_request())
        upstream = harness.state.upstreams.get("desk-0")
        assert upstream is not None
        assert upstream.limit_share is None
        assert upstream.wait_ms(clock.BootClock().now_ms()) == 0

    relay.run_with_frontend(relay.answering(answer), run_callers)
