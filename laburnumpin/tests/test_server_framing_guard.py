"""Ambiguous messages at the project's own interface, over real sockets."""

from __future__ import annotations

import anyio
from anyio import abc
import httpx
import pytest

from laburnumpin.server import http_calls
from laburnumpin.tests import server_fakes as fakes

pytestmark = pytest.mark.anyio
INNER = b"GET /livez HTTP/1.1\r\nHost: a\r\n\r\n"
HIDDEN = b"0\r\n\r\n" + INNER
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(HIDDEN)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def _exchange(address: str, sent: bytes) -> bytes:
    """Return what comes until the connection ends."""
    host, _, port = address.rpartition(":")
    received = b""
    with anyio.fail_after(fakes.WAIT_S):
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(sent)
            try:
                while True:
                    received += await stream.receive()
            except anyio.EndOfStream:
                return received


# A request inside the body of one with both a length and chunks was answered.
@pytest.mark.parametrize("interface", ["callers", "operators"])
@pytest.mark.parametrize(
    ("version", "status"), [(b"HTTP/1.1", None), (b"HTTP/1.0", b"400")]
)
async def test_nothing_after_an_ambiguous_end_is_answered(
    interface: str, version: bytes, status: bytes | None
) -> None:
    async with fakes.run_entry() as entry:
        address = entry.caller_address
        if interface == "operators":
            address = entry.operator_address
        head = b"GET /livez " + version + b"\r\nHost: a\r\n"
        received = await _exchange(
            address, head + CHUNKED + LENGTH + b"\r\n" + HIDDEN
        )
        assert received.count(b"HTTP/1.1 ") == 1
        assert b"connection: close" in received.lower()
        if status is not None:
            assert received.startswith(b"HTTP/1.1 " + status)
        assert entry.bridge.state.counters.total("requests_ambiguous") == 1


@pytest.mark.parametrize(
    "head", [b"HTTP/1.1 200 OK\r\n" + LENGTH, b"HTTP/1.0 200 OK\r\n"]
)
async def test_ambiguous_answer_is_none(head: bytes) -> None:
    async def handle(stream: abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(head + CHUNKED + b"\r\n" + HIDDEN)
            with pytest.raises(anyio.EndOfStream):
                await stream.receive()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(listener.serve, handle)
        async with http_calls.new_client(reuse=True) as client:
            with pytest.raises(httpx.RemoteProtocolError):
                await client.get(f"http://127.0.0.1:{port}/")
        task_group.cancel_scope.cancel()
