"""Phases of the daemon and when it accepts work."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from laburnumpin.core import claims
from laburnumpin.core import configuration
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import handover
from laburnumpin.core import requests

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

# The balancer may send new requests for this long after readiness ended.
BALANCER_LAG_MS = 5_000
# How long the exit waits for outcomes on their way to the store and to a
# successor. All requests have ended by then.
FLUSH_MS = 10_000


class Phase(enum.Enum):
    """Phase of the daemon.

    `DRAINING` follows a shutdown request, `LEAVING` a reclaim notice.
    """

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"


class LifecycleState:
    """Phase, and since when the entry drains."""

    __slots__ = (
        "draining_since_ms",
        "exited",
        "finished_ms",
        "phase",
        "ready_reason",
    )

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.draining_since_ms: int | None = None
        self.finished_ms: int | None = None
        self.ready_reason: str | None = None
        self.exited = False


def refusal_reason(state: entry_state.EntryState, now_ms: int) -> str | None:
    """Return the code with which new work is refused, or None."""
    own = state.lifecycle
    if own.phase is Phase.LEAVING:
        return "entry_leaving"
    if own.draining_since_ms is not None:
        if now_ms >= own.draining_since_ms + BALANCER_LAG_MS:
            return "entry_leaving"
    if state.configuration.current is None:
        return "entry_not_ready"
    if not configuration.is_confirmed(state, now_ms):
        return "configuration_unconfirmed"
    return None


def leave(state: entry_state.EntryState, now_ms: int) -> list[effects.Effect]:
    """Refuse new work for good after a reclaim notice."""
    state.lifecycle.phase = Phase.LEAVING
    return _update_readiness(state, now_ms)


def on_shutdown_requested(
    state: entry_state.EntryState, event: events.ShutdownRequested
) -> list[effects.Effect]:
    """Start draining; a second request changes nothing."""
    own = state.lifecycle
    if own.draining_since_ms is not None:
        return []
    own.draining_since_ms = event.now_ms
    if own.phase is not Phase.LEAVING:
        own.phase = Phase.DRAINING
    return _update_readiness(state, event.now_ms)


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Update readiness and exit once all work is finished."""
    result = _update_readiness(state, event.now_ms)
    own = state.lifecycle
    if own.exited or own.draining_since_ms is None:
        return result
    if event.now_ms < own.draining_since_ms + BALANCER_LAG_MS:
        if own.phase is not Phase.LEAVING:
            return result
    if own.finished_ms is None:
        if requests.has_unfinished(state) or handover.has_unfinished(state):
            return result
        own.finished_ms = event.now_ms
        if own.phase is not Phase.LEAVING:
            result.extend(handover.offer_ended(state, event.now_ms))
    if event.now_ms < own.finished_ms + FLUSH_MS:
        if handover.has_unfinished(state) or claims.has_unfinished(state):
            return result
    own.exited = True
    result.append(effects.Exit())
    return result


def _update_readiness(
    state: entry_state.EntryState, now_ms: int
) -> list[effects.Effect]:
    own = state.lifecycle
    reason = refusal_reason(state, now_ms) or ""
    if own.draining_since_ms is not None or own.phase is Phase.LEAVING:
        reason = "entry_leaving"
    if reason == "" and own.phase is Phase.STARTING:
        own.phase = Phase.SERVING
    if reason == own.ready_reason:
        return []
    own.ready_reason = reason
    return [effects.SetReadiness(reason == "", reason)]
