"""Crowds of callers that we don't control, before a real entry process.

Each must leave the process alive, within its VM's memory and descriptors, and
able to answer an ordinary request.
"""

from __future__ import annotations

import functools
import pathlib

import anyio
from anyio import abc
import pytest

from laburnumpin.tests import crowds

# Long bodies of a legal size.
LONG_BYTES = crowds.MAX_BODY_BYTES - 100_000
SHORT_BYTES = 60_000
CHUNKS = 30_000
# What is announced, or just sent, far over the limit.
HUGE_BYTES = 400_000_000
TRICKLE_S = 0.3


async def _send_blocks(stream: abc.SocketStream, size_bytes: int) -> None:
    for _ in range(size_bytes // len(crowds.BLOCK)):
        await stream.send(crowds.BLOCK)
    await stream.send(b"x" * (size_bytes % len(crowds.BLOCK)))


async def _whole(stream: abc.SocketStream, number: int) -> None:
    await stream.send(crowds.length_head(LONG_BYTES, number=number))
    await _send_blocks(stream, LONG_BYTES)


async def _piecewise(stream: abc.SocketStream, number: int) -> None:
    await stream.send(crowds.length_head(LONG_BYTES, number=number))
    for _ in range(LONG_BYTES // 10_000 - 1):
        await stream.send(crowds.BLOCK[:10_000])
        await anyio.sleep(0.01)


async def _stop_short(
    stream: abc.SocketStream, number: int, size_bytes: int = LONG_BYTES
) -> None:
    await stream.send(crowds.length_head(size_bytes, number=number))
    await _send_blocks(stream, size_bytes - 1)


async def _short_bodies(stream: abc.SocketStream, number: int) -> None:
    await _stop_short(stream, number, SHORT_BYTES)


async def _large_chunks(stream: abc.SocketStream, number: int) -> None:
    data = crowds.chunk(b"x" * 256_000)
    await stream.send(crowds.chunked_head(number=number) + data * 3 + data[:-3])


async def _tiny_chunks(stream: abc.SocketStream, number: int) -> None:
    await stream.send(crowds.chunked_head(number=number))
    for _ in range(CHUNKS // 1_000):
        await stream.send(b"1\r\nx\r\n" * 1_000)


async def _announced(stream: abc.SocketStream, number: int) -> None:
    await stream.send(crowds.length_head(HUGE_BYTES, number=number))
    await _send_blocks(stream, HUGE_BYTES)


async def _just_sent(stream: abc.SocketStream, number: int) -> None:
    await stream.send(crowds.chunked_head(number=number))
    for _ in range(HUGE_BYTES // 65_536):
        await stream.send(crowds.chunk(crowds.BLOCK))


async def _unfinished_heads(stream: abc.SocketStream, number: int) -> None:
    start = crowds.head(number=number)[:-2]
    line = b"X-More: " + b"x" * 990 + b"\r\n"
    await stream.send(start + line * 15)


async def _one_long_line(stream: abc.SocketStream, number: int) -> None:
    await stream.send(
        crowds.head(number=number)[:-2] + b"X-More: " + b"x" * 16_000
    )


async def _without_key(stream: abc.SocketStream, number: int) -> None:
    length = f"Content-Length: {LONG_BYTES}"
    await stream.send(crowds.head(length, key="none", number=number))
    await _send_blocks(stream, LONG_BYTES - 1)


async def _pipelined(stream: abc.SocketStream, number: int) -> None:
    request = crowds.length_head(2, number=number) + b"hi"
    await stream.send(request * 200 + crowds.length_head(LONG_BYTES))
    await _send_blocks(stream, LONG_BYTES - 1)


async def _trickle_head(stream: abc.SocketStream, number: int) -> None:
    await stream.send(crowds.head(number=number)[:-2])
    for _ in range(20):
        await stream.send(b"X-More: " + b"x" * 500 + b"\r\n")
        await anyio.sleep(TRICKLE_S)


async def _trickle_body(stream: abc.SocketStream, number: int) -> None:
    await _stop_short(stream, number, LONG_BYTES // 2)
    await stream.send(crowds.BLOCK[:1])
    await stream.send(crowds.length_head(LONG_BYTES))
    await _send_blocks(stream, LONG_BYTES // 2)
    for _ in range(20):
        await stream.send(b"x")
        await anyio.sleep(TRICKLE_S)


async def _trickle_chunk(stream: abc.SocketStream, number: int) -> None:
    await stream.send(crowds.chunked_head(number=number))
    await stream.send(crowds.chunk(b"x" * 100_000) + b"f" * 5)
    for _ in range(20):
        await stream.send(b"0")
        await anyio.sleep(TRICKLE_S)


async def _http_1_0(stream: abc.SocketStream, number: int) -> None:
    text = crowds.length_head(LONG_BYTES, number=number)
    await stream.send(text.replace(b"HTTP/1.1", b"HTTP/1.0"))
    await _send_blocks(stream, LONG_BYTES - 1)


async def _upgrade(stream: abc.SocketStream, number: int) -> None:
    lines = ("Connection: upgrade", "Upgrade: websocket")
    await stream.send(crowds.length_head(LONG_BYTES, *lines, number=number))
    await _send_blocks(stream, LONG_BYTES - 1)


async def _expect_continue(stream: abc.SocketStream, number: int) -> None:
    lines = ("Expect: 100-continue",)
    await stream.send(crowds.length_head(LONG_BYTES, *lines, number=number))
    await _send_blocks(stream, LONG_BYTES - 1)


async def _half_closed(stream: abc.SocketStream, number: int) -> None:
    await _stop_short(stream, number)
    await stream.send_eof()


KINDS = {
    "whole": _whole,
    "piecewise": _piecewise,
    "stop-short": _stop_short,
    "short-bodies": _short_bodies,
    "large-chunks": _large_chunks,
    "tiny-chunks": _tiny_chunks,
    "announced": _announced,
    "just-sent": _just_sent,
    "unfinished-heads": _unfinished_heads,
    "one-long-line": _one_long_line,
    "without-key": _without_key,
    "pipelined": _pipelined,
    "trickle-head": _trickle_head,
    "trickle-body": _trickle_body,
    "trickle-chunk": _trickle_chunk,
    "http-1.0": _http_1_0,
    "upgrade": _upgrade,
    "expect-continue": _expect_continue,
    "half-closed": _half_closed,
}


async def _mixed(stream: abc.SocketStream, number: int) -> None:
    script = list(KINDS.values())[number % len(KINDS)]
    await script(stream, number)


async def _never_reads(stream: abc.SocketStream, number: int) -> None:
    request = crowds.length_head(2, number=number) + b"hi"
    for _ in range(100):
        await stream.send(request * 100)


def _check(seen: crowds.Seen) -> None:
    print(seen)
    assert seen.exit_status is None
    assert seen.peak_memory_mb <= crowds.MEMORY_MB
    assert seen.descriptors <= crowds.MAX_DESCRIPTORS
    assert seen.answered
    assert seen.answered_after


@pytest.mark.parametrize("kind", [*KINDS, "mixed"])
def test_crowd_leaves_the_entry_serving(
    kind: str, tmp_path: pathlib.Path
) -> None:
    script = KINDS.get(kind, _mixed)
    _check(anyio.run(crowds.meet, tmp_path, script))


# A guard, green before too: limits on crowds must not refuse sound requests.
@pytest.mark.parametrize("chunk_bytes", [0, 100_000, 1_000, 100])
def test_longest_legal_request_is_served_in_calm(
    chunk_bytes: int, tmp_path: pathlib.Path
) -> None:
    size_bytes = crowds.MAX_BODY_BYTES
    text = crowds.length_head(size_bytes) + b"x" * size_bytes
    if chunk_bytes:
        chunk = crowds.chunk(b"x" * chunk_bytes)
        text = crowds.chunked_head() + chunk * (size_bytes // chunk_bytes)
        text += b"0\r\n\r\n"
    status = anyio.run(crowds.call_alone, tmp_path, text)
    assert status.startswith(b"HTTP/1.1 200")


# Answers that nobody takes are kept by the entry and by its kernel.
def test_crowd_that_never_reads_leaves_the_entry_serving(
    tmp_path: pathlib.Path,
) -> None:
    meet = functools.partial(crowds.meet, reads_answers=False)
    _check(anyio.run(meet, tmp_path, _never_reads))


@pytest.mark.parametrize("kind", ["stop-short", "tiny-chunks", "mixed"])
def test_entry_drains_and_exits_before_a_crowd(
    kind: str, tmp_path: pathlib.Path
) -> None:
    meet = functools.partial(crowds.meet, drains=True)
    seen = anyio.run(meet, tmp_path, KINDS.get(kind, _mixed))
    print(seen)
    assert seen.exit_status == 0
    assert seen.peak_memory_mb <= crowds.MEMORY_MB
    assert seen.descriptors <= crowds.MAX_DESCRIPTORS
