"""Phases of the daemon: readiness, admission of requests, drain and exit."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from laburnumpin.core import claims
from laburnumpin.core import configuration
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import handover
from laburnumpin.core import requests
from laburnumpin.core import subscriptions

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

# The load balancer may send requests for this long after the entry has become
# not ready.
BALANCER_LAG_MS = 5_000
# The exit waits up to this time, after all requests have ended, for their
# outcomes to be written to the store and handed over to a successor. After a
# reclaim notice, it waits for the handover without a limit.
FLUSH_TIMEOUT_MS = 10_000


class Phase(enum.Enum):
    """Phase of the daemon.

    `STARTING` lasts until the entry is ready for the first time. `DRAINING`
    follows a shutdown request, `LEAVING` a reclaim notice.
    """

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"


class LifecycleState:
    """Phase, and the progress of a drain.

    The drain starts at `draining_since_ms` with a shutdown request. At
    `work_finished_ms` all requests had ended or were handed over, and no caller
    read a request of a peer. `readiness_reason` is the reported reason why the
    entry is not ready, "" if it is ready, or None before the first report.
    """

    __slots__ = (
        "draining_since_ms",
        "exited",
        "phase",
        "readiness_reason",
        "work_finished_ms",
    )

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.draining_since_ms: int | None = None
        self.work_finished_ms: int | None = None
        self.readiness_reason: str | None = None
        self.exited = False


def refusal_reason(state: entry_state.EntryState, now_ms: int) -> str | None:
    """Return the failure code for new requests, or None to accept them."""
    lifecycle_state = state.lifecycle
    if lifecycle_state.phase is Phase.LEAVING:
        return "entry_leaving"
    if lifecycle_state.draining_since_ms is not None:
        if now_ms >= lifecycle_state.draining_since_ms + BALANCER_LAG_MS:
            return "entry_leaving"
    if state.configuration.current is None:
        return "entry_not_ready"
    if not configuration.is_confirmed(state, now_ms):
        return "configuration_unconfirmed"
    return None


def start_leaving(
    state: entry_state.EntryState, now_ms: int
) -> list[effects.Effect]:
    """Refuse all new requests after a reclaim notice."""
    state.lifecycle.phase = Phase.LEAVING
    return _update_readiness(state, now_ms)


def on_shutdown_requested(
    state: entry_state.EntryState, event: events.ShutdownRequested
) -> list[effects.Effect]:
    """Start draining; repeated shutdown requests have no effect."""
    lifecycle_state = state.lifecycle
    if lifecycle_state.draining_since_ms is not None:
        return []
    lifecycle_state.draining_since_ms = event.now_ms
    if lifecycle_state.phase is not Phase.LEAVING:
        lifecycle_state.phase = Phase.DRAINING
    return _update_readiness(state, event.now_ms)


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Update readiness; when draining, exit once no work is left.

    That is when all requests have ended or were handed over and no caller reads
    a request of a peer. Before the exit, offers the outcomes to the successors
    and waits for them to be handed over and written to the store.
    """
    result = _update_readiness(state, event.now_ms)
    lifecycle_state = state.lifecycle
    if lifecycle_state.exited or lifecycle_state.draining_since_ms is None:
        return result
    if event.now_ms < lifecycle_state.draining_since_ms + BALANCER_LAG_MS:
        if lifecycle_state.phase is not Phase.LEAVING:
            return result
    if requests.has_unfinished(state):
        return result
    if subscriptions.has_remote_readers(state):
        return result
    if lifecycle_state.work_finished_ms is None:
        lifecycle_state.work_finished_ms = event.now_ms
        if lifecycle_state.phase is not Phase.LEAVING:
            result.extend(handover.offer_ended(state, event.now_ms))
    within_flush_timeout = (
        event.now_ms < lifecycle_state.work_finished_ms + FLUSH_TIMEOUT_MS
    )
    if handover.has_unfinished(state):
        if within_flush_timeout or lifecycle_state.phase is Phase.LEAVING:
            return result
    if within_flush_timeout and claims.has_unfinished(state):
        return result
    lifecycle_state.exited = True
    result.append(effects.Exit())
    return result


def _update_readiness(
    state: entry_state.EntryState, now_ms: int
) -> list[effects.Effect]:
    lifecycle_state = state.lifecycle
    reason = refusal_reason(state, now_ms) or ""
    if (
        lifecycle_state.draining_since_ms is not None
        or lifecycle_state.phase is Phase.LEAVING
    ):
        reason = "entry_leaving"
    if reason == "" and lifecycle_state.phase is Phase.STARTING:
        lifecycle_state.phase = Phase.SERVING
    if reason == lifecycle_state.readiness_reason:
        return []
    lifecycle_state.readiness_reason = reason
    return [effects.SetReadiness(reason == "", reason)]
