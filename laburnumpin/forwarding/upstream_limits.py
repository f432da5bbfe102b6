"""Limits that upstreams name on the requests of all entries together.

What one answer names, all entries learn from digests; the newest answer counts.
"""

from __future__ import annotations

from laburnumpin.forwarding import digests
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import limit_shares
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding import upstreams

# Limits in a digest, and for how long a change is in all of an entry's digests.
# In a fleet that uses relays, a limit without change is only in those of the
# entry that ranks first for its upstream.
MAX_ROWS = 8
ANNOUNCED_MS = 3_000
# Period after which the limits are divided anew: entries and upstreams change.
DIVISION_PERIOD_MS = 1_000
# A limit that changes by a smaller share is not announced early.
EARLY_CHANGE_SHARE = 0.2


def on_named(
    state: forwarding_state.ForwardingState,
    event: events.UpstreamStated,
    sent_ms: int,
) -> list[effects.Effect]:
    """Apply the limit that an answer named, or that it named none.

    An answer without a limit counts only if its request was sent after the
    limit was known: others may have been on their way. `sent_ms` is when the
    request was sent.
    """
    limit_per_s = event.statement.limit_per_s
    upstream = state.upstreams.find(event.registration.key)
    if upstream is None:
        return []
    share = upstream.limit_share
    if limit_per_s is None and (share is None or sent_ms <= share.seen_ms):
        return []
    if _is_large_change(share, limit_per_s):
        state.request_early_digest()
    return _apply(state, upstream, limit_per_s, event.now_ms, event.now_ms)


def merge(
    state: forwarding_state.ForwardingState,
    rows: tuple[digests.LimitRow, ...],
    now_ms: int,
) -> list[effects.Effect]:
    """Apply the limits that a peer knows of."""
    produced: list[effects.Effect] = []
    for upstream_id, incarnation_ms, limit_per_s, age_ms in rows[:MAX_ROWS]:
        upstream = state.upstreams.find((upstream_id, incarnation_ms))
        if upstream is None:
            continue
        seen_ms = now_ms - max(0, age_ms)
        known = upstream.limit_share
        if known is None and limit_per_s < 0:
            continue
        if known is not None and seen_ms <= known.seen_ms:
            continue
        limit = None if limit_per_s < 0 else limit_per_s
        produced += _apply(state, upstream, limit, seen_ms, now_ms)
    return produced


def on_tick(
    state: forwarding_state.ForwardingState, event: events.Ticked
) -> None:
    """Divide the limits among the entries, now and then and after a change."""
    services: set[str] = set()
    is_due = event.now_ms >= state.limits_due_ms
    for upstream in state.upstreams.all():
        share = upstream.limit_share
        if share is not None and (is_due or share.rank is None):
            services.add(upstream.registration.service)
    if is_due:
        state.limits_due_ms = event.now_ms + DIVISION_PERIOD_MS
    if not services:
        return
    names = state.members.names(event.now_ms)
    ring = limit_shares.EntryRing(names, state.name)
    for service in services:
        ordered = sorted(
            state.upstreams.of_service(service), key=lambda u: u.order_hash
        )
        for position, upstream in enumerate(ordered):
            if upstream.limit_share is not None:
                upstream.limit_share.divide(
                    ring, position, len(ordered), event.now_ms
                )


def rows(
    state: forwarding_state.ForwardingState,
    now_ms: int,
    *,
    repeats_all: bool = True,
) -> tuple[digests.LimitRow, ...]:
    """Return the limits for the next digest, the last changed ones first.

    Without `repeats_all`, only those that have changed recently.
    """
    limited = []
    is_large = state.members.count() > membership.MAX_MESH_ENTRIES
    for upstream in state.upstreams.all():
        share = upstream.limit_share
        if share is None:
            continue
        repeats = repeats_all and (share.rank == 0 or not is_large)
        if repeats or _is_recent(share, now_ms):
            limited.append((upstream, share))
    limited.sort(key=lambda item: -item[1].changed_ms)
    recent = [item for item in limited if _is_recent(item[1], now_ms)]
    others = [item for item in limited if not _is_recent(item[1], now_ms)]
    chosen = recent[:MAX_ROWS]
    position = state.digests_sent * MAX_ROWS
    chosen += digests.in_turn(others, position, MAX_ROWS - len(chosen))
    announced: list[digests.LimitRow] = []
    for upstream, share in chosen:
        registration = upstream.registration
        limit_per_s = share.limit_per_s
        announced.append(
            (
                registration.upstream_id,
                registration.incarnation_ms,
                digests.NO_LIMIT if limit_per_s is None else limit_per_s,
                max(0, now_ms - share.seen_ms),
            )
        )
    return tuple(announced)


def decode_rows(encoded: object) -> tuple[digests.LimitRow, ...]:
    """Return the rows of a digest, up to the limit.

    Raises:
        MalformedError: The rows are malformed.
    """
    decoded = []
    for row in untrusted.sequence(encoded, "limits")[:MAX_ROWS]:
        upstream_id, incarnation_ms, limit, age_ms = untrusted.items(
            row, "limits", 4
        )
        decoded.append(
            (
                untrusted.text(upstream_id, "limits"),
                untrusted.integer(
                    incarnation_ms, "limits", 0, untrusted.MAX_UNIX_MS
                ),
                untrusted.number(limit, "limits", digests.NO_LIMIT),
                untrusted.integer(
                    age_ms, "limits", 0, untrusted.MAX_DURATION_MS
                ),
            )
        )
    return tuple(decoded)


def _is_recent(share: limit_shares.LimitShare, now_ms: int) -> bool:
    return now_ms <= share.changed_ms + ANNOUNCED_MS


def _is_large_change(
    share: limit_shares.LimitShare | None, limit_per_s: float | None
) -> bool:
    known_per_s = None if share is None else share.limit_per_s
    if known_per_s is None or limit_per_s is None:
        return known_per_s is not limit_per_s
    change = abs(limit_per_s - known_per_s)
    return change > EARLY_CHANGE_SHARE * known_per_s


def _apply(
    state: forwarding_state.ForwardingState,
    upstream: upstreams.Upstream,
    limit_per_s: float | None,
    seen_ms: int,
    now_ms: int,
) -> list[effects.Effect]:
    """Set an upstream's limit; log it if it has changed."""
    share = upstream.limit_share
    upstream_id = upstream.registration.upstream_id
    if share is not None and share.limit_per_s == limit_per_s:
        share.seen_ms = seen_ms
        return []
    previous = None if share is None else share.limit_per_s
    if share is None:
        share = limit_shares.LimitShare(limit_per_s, seen_ms)
        upstream.limit_share = share
    share.limit_per_s = limit_per_s
    share.seen_ms = seen_ms
    share.changed_ms = now_ms
    share.rank = None  # It is divided anew at the next tick.
    state.counters.increment("upstream_limits_changed")
    return [
        effects.Report(
            "upstream_limit_changed",
            {
                "upstream": upstream_id,
                "service": upstream.registration.service,
                "limit_per_s": limit_per_s,
                "previous_per_s": previous,
            },
        )
    ]
