"""Tests of draining and exit."""

from __future__ import annotations

from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import lifecycle
from laburnumpin.core import reducer
from laburnumpin.core import requests
from laburnumpin.core import state
from laburnumpin.tests import builders

# Exceeds `FLUSH_TIMEOUT_MS`, the longest wait for outcomes before an exit.
DRAIN_MS = lifecycle.BALANCER_LAG_MS + 30_000


def _ticks(entry: state.EntryState, start_ms: int, end_ms: int) -> bool:
    """Send ticks until `end_ms`; return whether one had the effect `Exit`."""
    for now_ms in range(start_ms, end_ms, 500):
        entry.configuration.contact_ms = now_ms
        for effect in reducer.reduce(entry, events.Tick(now_ms)):
            if isinstance(effect, effects.Exit):
                return True
    return False


def test_exit_waits_for_a_queued_request_without_a_reader() -> None:
    """Guards against a drain that drops accepted requests without a reader."""
    entry = builders.make_state()
    entry.configuration.contact_ms = 1_000
    deadline_ms = 2 * DRAIN_MS
    arrived = events.RequestArrived(
        1_000,
        "x",
        "acme",
        "draft",
        "write",
        "",
        "p",
        5,
        None,
        deadline_ms,
        None,
    )
    accepted = reducer.reduce(entry, arrived)
    assert isinstance(accepted[0], effects.Accept)
    reducer.reduce(entry, events.ShutdownRequested(1_000))
    reducer.reduce(entry, events.ShutdownRequested(1_500))
    assert not _ticks(entry, 1_000, DRAIN_MS)
    request = entry.requests.by_id[accepted[0].request_id]
    requests.cancel(entry, request, DRAIN_MS)
    assert _ticks(entry, DRAIN_MS, 2 * DRAIN_MS)


def test_draining_entry_accepts_while_the_balancer_still_sends() -> None:
    """Guards against refusals while the load balancer still sends requests.

    It does so until it has noticed that the entry is not ready.
    """
    entry = builders.make_state()
    entry.configuration.contact_ms = 1_000
    reducer.reduce(entry, events.ShutdownRequested(1_000))
    last_ms = 1_000 + lifecycle.BALANCER_LAG_MS - 1
    assert lifecycle.refusal_reason(entry, last_ms) is None
    reason = lifecycle.refusal_reason(entry, last_ms + 1)
    assert reason == "entry_leaving"
