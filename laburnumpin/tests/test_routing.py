"""Tests of routing and of the latency model."""

from __future__ import annotations

import collections
import dataclasses

from laburnumpin.core import deployment
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import pacing
from laburnumpin.core import prefixes
from laburnumpin.core import requests
from laburnumpin.core import routing
from laburnumpin.core import state as entry_state
from laburnumpin.core import upstreams
from laburnumpin.tests import builders

_PROMPT = "".join(f"{number:08d}" for number in range(256))
_BULK = deployment.Priority.BULK
_INTERACTIVE = deployment.Priority.INTERACTIVE


def make_state(
    loads: dict[str, int], seed: int = 7, zone: str = "north", slots: int = 64
) -> entry_state.EntryState:
    """Return an entry whose engines report the running streams in `loads`."""
    state = entry_state.EntryState(ids.EntryId("e0", 1), "north", "e0:1", seed)
    state.configuration.current = deployment.Configuration(
        1, "change", "", builders.make_deployment()
    )
    rows = []
    for vm_id in loads:
        rows.append(
            events.VmRow(
                vm_id,
                1,
                events.VmRole.UPSTREAM,
                zone if vm_id != "far" else "south",
                "gpu",
                True,
                False,
                "draft",
            )
        )
    upstreams.on_vms_listed(state, events.VmsListed(0, tuple(rows)))
    for vm_id, running in loads.items():
        report = events.LoadReport(
            1, 0, running, 0, slots, 0, 0.0, False, model="draft-model"
        )
        upstreams.on_load_reported(state, events.LoadReported(0, vm_id, report))
    # 10 ms per step plus 0.5 ms per stream gives 44 streams at 32 ms.
    latency = pacing.LatencyModel()
    for streams in range(1, 60):
        latency.observe_step(streams, 10.0 + 0.5 * streams)
    state.upstreams.latency_models["draft", "gpu"] = latency
    return state


def make_request(
    state: entry_state.EntryState, priority: deployment.Priority = _BULK
) -> requests.Request:
    current = state.configuration.current
    assert current is not None
    service = current.deployment.services["draft"]
    return requests.Request(
        request_id="e0.1.1",
        customer="acme",
        service=service,
        operation=service.operations["write"],
        body="",
        prompt=_PROMPT,
        prompt_tokens=prefixes.count_tokens(_PROMPT),
        max_tokens=100,
        blocks=prefixes.block_hashes(_PROMPT),
        idempotency_key=None,
        accepted_ms=0,
        deadline_ms=10**9,
        priority=priority,
        configuration=current,
    )


def choices(
    state: entry_state.EntryState, request: requests.Request, count: int = 1
) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(count):
        upstream = routing.choose(state, request, 1)
        counts["" if upstream is None else upstream.upstream_id] += 1
    return counts


def test_streams_are_bounded_by_the_inter_token_target() -> None:
    """Guards against engines with free slots that miss the latency target."""
    state = make_state({"u0": 44}, slots=64)
    assert choices(state, make_request(state, _INTERACTIVE)) == {"u0": 1}
    state = make_state({"u0": 45}, slots=64)
    assert choices(state, make_request(state, _INTERACTIVE)) == {"": 1}


def test_slots_bound_streams_below_the_target() -> None:
    """Guards against dispatching to an engine without a free slot."""
    state = make_state({"u0": 8}, slots=8)
    assert choices(state, make_request(state, _INTERACTIVE)) == {"": 1}


def test_bulk_leaves_streams_to_interactive_requests() -> None:
    """Guards against interactive requests that wait for a long bulk stream."""
    state = make_state({"u0": 40})
    assert choices(state, make_request(state, _BULK)) == {"": 1}
    assert choices(state, make_request(state, _INTERACTIVE)) == {"u0": 1}


def test_entry_gets_its_share_of_an_engine_that_others_fill() -> None:
    """Guards against entries that refill a full engine while others starve."""
    state = make_state({"u0": 45})
    request = make_request(state, _INTERACTIVE)
    assert choices(state, request) == {"": 1}
    state.upstreams.entry_count = 6
    assert choices(state, request) == {"u0": 1}
    upstream = state.upstreams.by_id["u0"]
    for number in range(6):
        upstream.attempts[f"a{number}"] = 1
    assert choices(state, request) == {"": 1}
    upstream.attempts.clear()
    report = upstream.report
    assert report is not None
    upstream.report = dataclasses.replace(report, waiting=1)
    assert choices(state, request) == {"": 1}


def test_less_loaded_engine_is_better() -> None:
    """Guards against routing that ignores the load."""
    state = make_state({"u0": 30, "u1": 2})
    assert choices(state, make_request(state), 20) == {"u1": 20}


def test_near_equal_engines_share_the_work() -> None:
    """Guards against entries that all choose the same one of equal engines."""
    state = make_state({"u0": 10, "u1": 10, "u2": 11})
    counts = choices(state, make_request(state), 300)
    assert min(counts.values()) > 60
    again = make_state({"u0": 10, "u1": 10, "u2": 11})
    assert counts == choices(again, make_request(again), 300)


def test_cached_prefix_outweighs_some_load_but_not_a_full_engine() -> None:
    """Guards against recomputed prompts and against waits for a full engine."""
    for running, expected in ((20, "u0"), (40, "u1")):
        state = make_state({"u0": running, "u1": 2})
        request = make_request(state)
        prefixes.on_cache_events(
            state, events.CacheEventsReported(1, "u0", 0, 8, request.blocks, ())
        )
        assert choices(state, request, 20) == {expected: 20}


def test_same_region_is_preferred_at_equal_load() -> None:
    """Guards against cross-region round trips at equal load."""
    state = make_state({"far": 2, "u0": 2})
    current = state.configuration.current
    assert current is not None
    current.deployment.zones["south"] = deployment.Zone("south", "d", "abroad")
    request = make_request(state)
    request.prompt_tokens = 0
    assert choices(state, request, 20) == {"u0": 20}


def test_step_time_is_linear_with_limited_extrapolation() -> None:
    """Guards against a stream limit extrapolated from one small report."""
    latency = pacing.LatencyModel()
    assert latency.max_streams(36.0) == float("inf")
    latency.observe_step(0, 50.0)
    assert latency.weight == 0.0
    latency.observe_step(2, 11.0)
    assert latency.max_streams(36.0) <= 10
    for streams in range(1, 50):
        latency.observe_step(streams, 10.0 + 0.5 * streams)
    assert 49 <= latency.max_streams(36.0) <= 55
    assert abs(latency.step_ms(40) - 30.0) < 0.5


def test_step_time_of_equal_reports_assumes_a_cost_per_stream() -> None:
    """Guards against an unlimited stream count while all reports are equal."""
    latency = pacing.LatencyModel()
    for _ in range(100):
        latency.observe_step(30, 30.0)
    assert 40 <= latency.max_streams(36.0) <= 45
