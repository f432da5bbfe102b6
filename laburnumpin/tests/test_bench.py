"""Tests of the routing replay; bounds are from section 1 of the design page."""

from __future__ import annotations

import pytest

from laburnumpin.bench import policies
from laburnumpin.bench import report
from laburnumpin.bench import traces
from laburnumpin.commands import bench
from laburnumpin.core import limits
from laburnumpin.core import routing

_DURATION_MS = 8_000.0
_REQUIRED_SHARE = 0.95
_MAX_DISPATCH_AFTER_NOTICE_MS = 5_000
_MAX_CONTROL_BYTES_PER_S = 26 * 1_024
_MAX_ATTEMPTS_PER_REQUEST = 1.1


def _run(
    site: str,
    fault: traces.Fault,
    day: traces.Day = traces.Day.ORDINARY,
    policy: str = policies.CurrentPolicy.name,
) -> report.Figures:
    return bench.run_trace(site, day, fault, 1, policy, _DURATION_MS)


@pytest.mark.parametrize("site", ["rigsafe", "luvas"])
def test_ordinary_day_meets_latency_targets(site: str) -> None:
    """Guards against decisions that miss the targets without any fault."""
    figures = _run(site, traces.Fault.NONE)
    assert figures.first_token_share >= _REQUIRED_SHARE
    assert figures.inter_token_share >= _REQUIRED_SHARE
    assert figures.completed == figures.arrived
    assert figures.generated_tokens_recomputed == 0
    assert figures.control_bytes_per_entry_s <= _MAX_CONTROL_BYTES_PER_S


@pytest.mark.parametrize("fault", list(traces.Fault))
def test_every_request_ends_under_each_fault(fault: traces.Fault) -> None:
    """Guards against lost requests, late dispatches and retry storms."""
    figures = _run("rigsafe", fault, traces.Day.MONDAY)
    assert figures.unfinished == 0
    assert figures.max_dispatch_after_notice_ms <= _MAX_DISPATCH_AFTER_NOTICE_MS
    bound = _MAX_ATTEMPTS_PER_REQUEST * figures.arrived
    assert figures.dispatches <= bound
    assert "failures/deadline_passed" not in figures.reasons


def test_replay_is_deterministic() -> None:
    """Guards against figures that differ between runs of the same trace."""
    first = _run("luvas", traces.Fault.LATE, traces.Day.MONDAY)
    second = _run("luvas", traces.Fault.LATE, traces.Day.MONDAY)
    assert first == second


@pytest.mark.parametrize("name", sorted(policies.POLICIES))
def test_policies_are_replaced_only_during_a_replay(name: str) -> None:
    """Guards against a baseline that stays installed in the core."""
    before = (routing.choose, limits.candidates)
    figures = _run("luvas", traces.Fault.NONE, policy=name)
    assert figures.policy == name
    assert (routing.choose, limits.candidates) == before


def test_hold_out_shares_no_trace_with_tuning() -> None:
    """Guards against constants that are chosen on the hold-out traces."""
    assert not set(traces.TUNING_SEEDS) & set(traces.HOLD_OUT_SEEDS)


def test_report_formats_groups() -> None:
    """Guards against a report that drops a group or cannot be parsed."""
    figures = [_run("luvas", traces.Fault.NONE)]
    assert "luvas ordinary current" in report.table(bench.group(figures))
    assert '"policy": "current"' in report.to_json(figures)
