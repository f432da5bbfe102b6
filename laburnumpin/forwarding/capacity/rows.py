"""Rows of digests by which entries share what they measured.

An entry that starts, or that has few answers of an upstream, takes over what a
peer knows from more of them. Each digest has a few rows in turn, so that its
size does not depend on the number of upstreams.
"""

from __future__ import annotations

import math
from typing import Any

from laburnumpin.forwarding import digests
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.capacity import model

# Answers without which an entry has nothing to share.
MIN_SHARED_ANSWERS = 8
# Bounds of what a digest may hold; values that no upstream can have are dropped
# one by one.
MAX_LASTING = 100.0
MAX_TIME_MS = 1e6


def upstream_rows(
    state: forwarding_state.ForwardingState, now_ms: int
) -> tuple[digests.SlownessRow, ...]:
    """Return the slowness of the upstreams whose turn it is."""
    known = []
    for upstream in state.upstreams.all():
        if upstream.slowness.answers >= MIN_SHARED_ANSWERS:
            known.append(upstream)
    rows = []
    for upstream in digests.in_turn(
        known,
        state.digests_sent * digests.MAX_SLOWNESS_ROWS,
        digests.MAX_SLOWNESS_ROWS,
    ):
        rows.append(
            (
                *upstream.key,
                round(upstream.slowness.lasting(now_ms), 2),
                upstream.slowness.answers,
            )
        )
    return tuple(rows)


def service_rows(
    state: forwarding_state.ForwardingState,
) -> tuple[digests.TimesRow, ...]:
    """Return the times of the service whose turn it is."""
    known = []
    for name, times in state.service_models.items():
        if times.answers >= MIN_SHARED_ANSWERS:
            known.append((name, times))
    rows = []
    for name, times in digests.in_turn(known, state.digests_sent, 1):
        rows.append(
            (
                name,
                round(times.fixed_ms, 2),
                round(times.ms_per_token, 6),
                round(times.work_ms, 2),
                times.answers,
            )
        )
    return tuple(rows)


def merge(
    state: forwarding_state.ForwardingState,
    digest: digests.Digest,
    now_ms: int,
) -> None:
    """Take over what a peer knows from more answers."""
    for name, fixed_ms, ms_per_token, work_ms, answers in digest.times:
        if state.service(name) is None:
            _drop(state, "unknown_service")
            continue
        if min(fixed_ms, ms_per_token, work_ms) <= 0:
            _drop(state, "out_of_range")
            continue
        peer_model = model.ServiceModel()
        peer_model.fixed_ms = fixed_ms
        peer_model.ms_per_token = ms_per_token
        peer_model.work_ms = work_ms
        peer_model.answers = min(answers, model.MAX_ANSWERS)
        state.service_model(name).adopt(peer_model)
    for upstream_id, incarnation_ms, lasting, answers in digest.slowness:
        upstream = state.upstreams.get(upstream_id)
        if upstream is None:
            _drop(state, "unknown_upstream")
            continue
        if upstream.key != (upstream_id, incarnation_ms):
            _drop(state, "other_incarnation")
            continue
        if abs(lasting) > math.log(model.MAX_SLOWNESS):
            _drop(state, "out_of_range")
            continue
        upstream.slowness.adopt(
            lasting, min(answers, model.MAX_ANSWERS), now_ms
        )


def _drop(state: forwarding_state.ForwardingState, reason: str) -> None:
    state.counters.increment("measurements_dropped", reason)


def decode_slowness(rows: Any) -> tuple[digests.SlownessRow, ...]:
    """Return the rows of a peer's digest.

    Raises:
        MalformedError: A row is malformed.
    """
    decoded = []
    for row in untrusted.sequence(rows, "cu")[: digests.MAX_SLOWNESS_ROWS]:
        upstream_id, incarnation_ms, lasting, answers = untrusted.items(
            row, "cu", 4
        )
        decoded.append(
            (
                untrusted.name(upstream_id, "cu"),
                untrusted.integer(
                    incarnation_ms, "cu", 0, untrusted.MAX_UNIX_MS
                ),
                untrusted.number(lasting, "cu", -MAX_LASTING, MAX_LASTING),
                untrusted.integer(answers, "cu"),
            )
        )
    return tuple(decoded)


def decode_times(rows: Any) -> tuple[digests.TimesRow, ...]:
    """Return the times of services in a peer's digest.

    Raises:
        MalformedError: A row is malformed.
    """
    decoded = []
    for row in untrusted.sequence(rows, "cs")[: digests.MAX_TIMES_ROWS]:
        name, fixed_ms, ms_per_token, work_ms, answers = untrusted.items(
            row, "cs", 5
        )
        decoded.append(
            (
                untrusted.name(name, "cs"),
                untrusted.number(fixed_ms, "cs", 0.0, MAX_TIME_MS),
                untrusted.number(ms_per_token, "cs", 0.0, MAX_TIME_MS),
                untrusted.number(work_ms, "cs", 0.0, MAX_TIME_MS),
                untrusted.integer(answers, "cs"),
            )
        )
    return tuple(decoded)
