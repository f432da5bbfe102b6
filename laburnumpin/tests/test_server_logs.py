"""Tests of logs and metrics."""

from __future__ import annotations

import io
import json
import pathlib
import re
import threading

import laburnumpin
from laburnumpin.core import counters
from laburnumpin.core import effects
from laburnumpin.server import logs
from laburnumpin.server import metrics

PACKAGE = pathlib.Path(laburnumpin.__file__).parent
MESSAGE_TYPE_CALL = re.compile(
    r"(?:logs\.write|logs\.write_exception|effects\.Log|effects\.Report"
    r"|_log_failure|write)\("
    r'\s*"([a-z_]+)"'
)


def test_every_message_type_is_documented() -> None:
    """Guards against message types that `docs/logs.md` does not list."""
    written = set()
    for path in PACKAGE.glob("core/*.py"):
        written.update(MESSAGE_TYPE_CALL.findall(path.read_text()))
    for path in PACKAGE.glob("forwarding/**/*.py"):
        written.update(MESSAGE_TYPE_CALL.findall(path.read_text()))
    for path in PACKAGE.glob("server/*.py"):
        written.update(MESSAGE_TYPE_CALL.findall(path.read_text()))
    page = (PACKAGE.parent / "docs" / "logs.md").read_text()
    documented = set(re.findall(r"^\| `([a-z_]+)` \|", page, re.MULTILINE))
    assert "reducer_error" in written
    assert written == documented


def test_destination_filters_levels() -> None:
    """Guards against messages below the configured level."""
    stream = io.StringIO()
    destination = logs.Destination("warning", stream)
    destination({"message_type": "a", "level": "info"})
    destination({"message_type": "b", "level": "error"})
    destination({"action_type": "request", "action_status": "failed"})
    destination.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["level"] for line in lines] == ["error", "error"]


def test_flood_of_one_type_is_bounded() -> None:
    """Guards against log volume that grows with the load."""
    stream = io.StringIO()
    destination = logs.Destination("info", stream, limited=True)
    for _ in range(20_000):
        destination({"message_type": "a", "level": "info"})
    destination({"message_type": "b", "level": "warning"})
    destination.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert len(lines) < 5_000
    assert lines[-1]["message_type"] == "b"
    dropped = sum(line.get("dropped_lines", 0) for line in lines)
    assert dropped + len(lines) == 20_001


def test_stalled_reader_does_not_block() -> None:
    """Guards against an event loop that blocks on standard error."""
    released = threading.Event()
    written: list[str] = []

    class Stalled(io.StringIO):
        def write(self, text: str) -> int:
            released.wait()
            written.append(text)
            return len(text)

    destination = logs.Destination("info", Stalled())
    for _ in range(logs.MAX_QUEUED_LINES + 10):
        destination({"message_type": "a", "level": "info"})
    released.set()
    while not destination.is_idle():
        released.wait()
    destination({"message_type": "last", "level": "info"})
    destination.close()
    dropped = json.loads(written[-1])["dropped_lines"]
    assert dropped + len(written) - 1 == logs.MAX_QUEUED_LINES + 10


def test_metrics_in_text_exposition_format() -> None:
    """Guards against metrics that a scraper rejects."""
    entry_counters = counters.Counters()
    entry_counters.increment("refusals", 'a "quoted" label')
    entry_counters.increment("peer_links_lost")
    latency_metrics = metrics.Metrics()
    for duration_ms in (0, 10, 20, 10**12):
        latency_metrics.observe(
            effects.ObserveLatency("first_token", duration_ms)
        )
    lines = latency_metrics.render(entry_counters, True).splitlines()
    assert "laburnumpin_ready 1" in lines
    assert "laburnumpin_peer_links_lost_total 1" in lines
    escaped = 'laburnumpin_refusals_total{label="a \\"quoted\\" label"} 1'
    assert escaped in lines
    assert 'laburnumpin_first_token_milliseconds{quantile="0.5"} 10' in lines
    assert "laburnumpin_first_token_milliseconds_count 4" in lines
