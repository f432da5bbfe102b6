"""The listener for readiness probes and metrics."""

from __future__ import annotations

import h11

from laburnumpin.forwarding import caller as callers
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding.admission import caller_stream
from laburnumpin.forwarding.admission import gate as gates
from laburnumpin.forwarding.admission import listener
from laburnumpin.forwarding.admission import settings as admission_settings
from laburnumpin.server import metrics

METRICS_PATH = b"/metrics"
LISTEN_BACKLOG = 64
IDLE_TIMEOUT_MS = 30_000
HEADER_TIMEOUT_MS = 2_000
MAX_HEADER_BYTES = 8_192
MAX_CONNECTIONS = 32


async def serve(shell: shells.Shell, address: str) -> None:
    """Answer readiness probes and metrics requests until cancelled.

    Each path other than that of the metrics is a readiness probe, with status
    200 or 503.
    """
    settings = admission_settings.AdmissionSettings(MAX_CONNECTIONS)
    gate = gates.Gate(settings, shell.state.counters)

    async def handle(stream: caller_stream.CallerStream) -> None:
        caller = callers.Caller(stream, MAX_HEADER_BYTES, gate)
        await _serve_requests(shell, caller)
        caller.close()

    await listener.serve(address, LISTEN_BACKLOG, gate, handle)


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
        body = (text + _render_kept(shell)).encode()
        headers = [
            (b"Content-Type", metrics.MEDIA_TYPE.encode()),
            (b"Content-Length", str(len(body)).encode()),
        ]
        await caller.answer(200, headers, body)
        return
    status = 200 if is_ready else 503
    await caller.answer(status, [(b"Content-Length", b"0")], b"")


def _render_kept(shell: shells.Shell) -> str:
    """Return what is kept for callers in the text exposition format."""
    lines = ["# TYPE laburnumpin_kept_bytes gauge"]
    for part, kept_bytes in sorted(shell.buffers.bytes_by_part.items()):
        lines.append(f'laburnumpin_kept_bytes{{part="{part}"}} {kept_bytes}')
    if shell.gate is not None:
        lines.append("# TYPE laburnumpin_caller_connections gauge")
        connections = shell.gate.connections
        lines.append(f"laburnumpin_caller_connections {connections}")
    return "\n".join(lines) + "\n"
