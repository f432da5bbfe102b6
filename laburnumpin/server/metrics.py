"""Counters and latency summaries in the Prometheus text format."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from hdrh import histogram

if TYPE_CHECKING:
    # Not imported at run time: a restarted process has to serve at once, and
    # importing the effects takes a third of its startup time.
    from laburnumpin.core import counters
    from laburnumpin.core import effects

MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Exceeds every deadline; longer durations are clamped to it.
MAX_DURATION_MS = 2 * 3_600_000
PERCENTILES = (50.0, 90.0, 95.0, 99.0)

_SIGNIFICANT_FIGURES = 2
_INVALID_NAME_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")


class Metrics:
    """Latency histograms by name."""

    __slots__ = ("_histograms", "_sums_ms")

    def __init__(self) -> None:
        self._histograms: dict[str, histogram.HdrHistogram] = {}
        self._sums_ms: dict[str, int] = {}

    def observe(self, effect: effects.ObserveLatency) -> None:
        """Record the duration in an `ObserveLatency` effect."""
        self.observe_ms(effect.name, effect.duration_ms)

    def observe_ms(self, name: str, duration_ms: int) -> None:
        """Record a duration under a name; clamps it to 1..`MAX_DURATION_MS`."""
        latencies = self._histograms.get(name)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                1, MAX_DURATION_MS, _SIGNIFICANT_FIGURES
            )
            self._histograms[name] = latencies
        duration_ms = min(max(duration_ms, 1), MAX_DURATION_MS)
        latencies.record_value(duration_ms)
        self._sums_ms[name] = self._sums_ms.get(name, 0) + duration_ms

    def render(self, entry_counters: counters.Counters, ready: bool) -> str:
        """Return all metrics in the text exposition format."""
        lines = ["# TYPE laburnumpin_ready gauge"]
        lines.append(f"laburnumpin_ready {int(ready)}")
        lines.extend(_counter_lines(entry_counters))
        for name in sorted(self._histograms):
            lines.extend(self._latency_lines(name))
        return "\n".join(lines) + "\n"

    def _latency_lines(self, name: str) -> list[str]:
        latencies = self._histograms[name]
        metric = f"laburnumpin_{_metric_name(name)}_milliseconds"
        lines = [f"# TYPE {metric} summary"]
        for percentile in PERCENTILES:
            value = latencies.get_value_at_percentile(percentile)
            quantile = percentile / 100
            lines.append(f'{metric}{{quantile="{quantile:g}"}} {value}')
        lines.append(f"{metric}_sum {self._sums_ms[name]}")
        lines.append(f"{metric}_count {latencies.get_total_count()}")
        return lines


def _counter_lines(entry_counters: counters.Counters) -> list[str]:
    lines = []
    previous = ""
    for name, label, value in entry_counters.items():
        metric = f"laburnumpin_{_metric_name(name)}_total"
        if metric != previous:
            lines.append(f"# TYPE {metric} counter")
            previous = metric
        labels = f'{{label="{_escape(label)}"}}' if label else ""
        lines.append(f"{metric}{labels} {value}")
    return lines


def _metric_name(name: str) -> str:
    return _INVALID_NAME_CHARACTERS.sub("_", name)


def _escape(label: str) -> str:
    escaped = label.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")
