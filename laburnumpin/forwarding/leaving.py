"""Upstreams that say in an answer that they leave.

What one upstream says is final for its registration, that is for its id and
incarnation. Entries pass it on in their digests, so that one answer serves all.
"""

from __future__ import annotations

from typing import Any

from laburnumpin.forwarding import digests
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding import upstreams

# Upstreams in a digest: those that were heard of recently, and others in turn.
MAX_RECENT_ROWS = 12
MAX_ROTATING_ROWS = 4
# Time for which a new one is in every digest.
ANNOUNCED_MS = 3_000


def on_said(
    state: forwarding_state.ForwardingState,
    registration: upstreams.Registration,
    now_ms: int,
) -> list[effects.Effect]:
    """Apply an answer that says that its upstream leaves."""
    if not state.upstreams.mark_leaving(registration.key, now_ms):
        return []
    state.request_early_digest()
    return _on_marked(state, registration.key, now_ms, "answer", 0)


def merge(
    state: forwarding_state.ForwardingState,
    rows: tuple[digests.LeavingRow, ...],
    now_ms: int,
) -> list[effects.Effect]:
    """Apply what a peer knows of upstreams that leave."""
    produced: list[effects.Effect] = []
    for upstream_id, incarnation_ms, age_ms in rows:
        key = (upstream_id, incarnation_ms)
        if state.upstreams.mark_leaving(key, now_ms - age_ms):
            produced += _on_marked(state, key, now_ms, "digest", age_ms)
    return produced


def may_send(
    state: forwarding_state.ForwardingState, effect: effects.Send
) -> bool:
    """Return whether a request may still be sent to the chosen upstream.

    The continuation of a stream that was stopped for a move goes on in any
    case: its KV cache is there.
    """
    if effect.kv_source is not None:
        return True
    upstream = state.upstreams.find(effect.registration.key)
    if upstream is None:
        return False
    lifecycle = upstream.registration.lifecycle
    return lifecycle is not upstreams.Lifecycle.LEAVING


def rows(
    state: forwarding_state.ForwardingState,
    now_ms: int,
    *,
    repeats_all: bool = True,
) -> tuple[digests.LeavingRow, ...]:
    """Return the upstreams for the next digest, the newest first.

    Without `repeats_all`, only those that were heard of recently.
    """
    recent: list[digests.LeavingRow] = []
    others: list[digests.LeavingRow] = []
    for (upstream_id, incarnation_ms), at_ms in state.upstreams.leaving():
        age_ms = max(0, now_ms - at_ms)
        row = (upstream_id, incarnation_ms, age_ms)
        is_recent = age_ms <= ANNOUNCED_MS and len(recent) < MAX_RECENT_ROWS
        (recent if is_recent else others).append(row)
    if not repeats_all:
        return tuple(recent)
    position = state.digests_sent * MAX_ROTATING_ROWS
    return tuple(recent + digests.in_turn(others, position, MAX_ROTATING_ROWS))


def decode_rows(encoded: Any) -> tuple[digests.LeavingRow, ...]:
    """Return the rows of a digest, up to the limit.

    Raises:
        MalformedError: The rows are malformed.
    """
    decoded = []
    most = MAX_RECENT_ROWS + MAX_ROTATING_ROWS
    for row in untrusted.sequence(encoded, "leaving")[:most]:
        fields = untrusted.items(row, "leaving", 3)
        decoded.append(
            (
                untrusted.name(fields[0], "leaving"),
                untrusted.integer(
                    fields[1], "leaving", 0, untrusted.MAX_UNIX_MS
                ),
                untrusted.integer(
                    fields[2], "leaving", 0, untrusted.MAX_DURATION_MS
                ),
            )
        )
    return tuple(decoded)


def _on_marked(
    state: forwarding_state.ForwardingState,
    key: tuple[str, int],
    now_ms: int,
    learned_from: str,
    age_ms: int,
) -> list[effects.Effect]:
    """Log a new mark, and let the streams at the upstream be moved."""
    upstream = state.upstreams.find(key)
    service = None
    if upstream is not None:
        upstream.note_leaving(None, now_ms - age_ms)
        service = upstream.registration.service
    state.counters.increment("upstreams_said_leaving")
    return [
        effects.Report(
            "upstream_said_leaving",
            {
                "upstream": key[0],
                "incarnation": key[1],
                "service": service,
                "learned_from": learned_from,
                "age_ms": age_ms,
            },
        )
    ]
