"""The listener for readiness probes and metrics."""

from __future__ import annotations

import h11

from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import caller as callers
from laburnumpin.forwarding import shell as shells
from laburnumpin.server import metrics

METRICS_PATH = b"/metrics"
LISTEN_BACKLOG = 64
IDLE_TIMEOUT_MS = 30_000
HEADER_TIMEOUT_MS = 2_000
MAX_HEADER_BYTES = 8_192


async def serve(shell: shells.Shell, address: str) -> None:
    """Answer readiness probes and metrics requests until cancelled.

    Each path other than that of the metrics is a readiness probe, with status
    200 or 503.
    """

    async def handle(stream: byte_stream.ByteStream) -> None:
        caller = callers.Caller(stream, MAX_HEADER_BYTES)
        await _serve_requests(shell, caller)
        caller.close()

    await byte_stream.serve(address, LISTEN_BACKLOG, handle)


async def _serve_requests(shell: shells.Shell, caller: callers.Caller) -> None:
    try:
        while True:
            head = await caller.read_head(IDLE_TIMEOUT_MS, HEADER_TIMEOUT_MS)
            if head is None:
                return
            await caller.read_body(0, HEADER_TIMEOUT_MS)
            await _answer_probe(shell, caller, head)
            if not caller.prepare_next_request():
                return
    except (callers.CallerDisconnectedError, callers.CallerInputError):
        # The sender repeats a probe that failed.
        return


async def _answer_probe(
    shell: shells.Shell, caller: callers.Caller, head: h11.Request
) -> None:
    is_ready = shell.is_ready()
    if bytes(head.target).partition(b"?")[0] == METRICS_PATH:
        text = shell.metrics.render(shell.state.counters, is_ready)
        body = text.encode()
        headers = [
            (b"Content-Type", metrics.MEDIA_TYPE.encode()),
            (b"Content-Length", str(len(body)).encode()),
        ]
        await caller.answer(200, headers, body)
        return
    status = 200 if is_ready else 503
    await caller.answer(status, [(b"Content-Length", b"0")], b"")
