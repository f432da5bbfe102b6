"""Build digests, the bounded state summaries that entries gossip."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING
from typing import TypeVar

from laburnumpin.core import lifecycle
from laburnumpin.core import messages

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

_Row = TypeVar("_Row")

# These limits keep a digest within 1,024 bytes on the peer link, with VM ids
# of up to 24 characters.
MAX_LOADS = 5
MAX_LEAVING = 3
MAX_DEPARTURES = 1
MAX_DEMANDS = 1
# A leaving mark is included in digests for this long after it was added.
LEAVING_SPREAD_MS = 60_000


def build(state: entry_state.EntryState, now_ms: int) -> messages.Digest:
    """Return the digest of an entry.

    `loads` holds the upstreams with the most attempts in flight. The other
    lists rotate with the sequence number when they exceed their limit, so that
    successive digests cover all of their rows.
    """
    current = state.configuration.current
    sequence = state.membership.digest_sequence
    return messages.Digest(
        entry=state.entry,
        sequence=sequence,
        zone=state.zone,
        peer_address=state.peer_address,
        accepting=state.lifecycle.phase
        in (lifecycle.Phase.STARTING, lifecycle.Phase.SERVING),
        configuration_version=0 if current is None else current.version,
        confirmed_age_ms=max(0, now_ms - state.configuration.confirmed_ms),
        loads=_loads(state),
        leaving=_leaving(state, sequence, now_ms),
        departures=_departures(state, sequence),
        demands=_demands(state, sequence),
    )


def _loads(
    state: entry_state.EntryState,
) -> tuple[messages.UpstreamLoad, ...]:
    counts = []
    for upstream in state.upstreams.by_id.values():
        if upstream.attempts:
            counts.append((len(upstream.attempts), upstream.upstream_id))
    result = []
    for count, upstream_id in heapq.nlargest(MAX_LOADS, counts):
        result.append(messages.UpstreamLoad(upstream_id, count))
    return tuple(result)


def _leaving(
    state: entry_state.EntryState, sequence: int, now_ms: int
) -> tuple[messages.LeavingUpstream, ...]:
    recent = []
    for (upstream_id, incarnation), since_ms in state.upstreams.leaving.items():
        if now_ms - since_ms > LEAVING_SPREAD_MS:
            continue
        recent.append(messages.LeavingUpstream(upstream_id, incarnation))
    return tuple(_rotate(recent, sequence, MAX_LEAVING))


def _departures(
    state: entry_state.EntryState, sequence: int
) -> tuple[messages.Departure, ...]:
    rows = list(state.handover.departures.values())
    return tuple(_rotate(rows, sequence, MAX_DEPARTURES))


def _demands(
    state: entry_state.EntryState, sequence: int
) -> tuple[messages.ServiceDemand, ...]:
    queued: dict[str, int] = {}
    for request in state.limits.queue.values():
        tokens = request.prompt_tokens + request.max_tokens
        name = request.service.name
        queued[name] = queued.get(name, 0) + tokens
    rows = []
    for name in sorted(queued):
        rows.append(messages.ServiceDemand(name, 0, queued[name]))
    return tuple(_rotate(rows, sequence, MAX_DEMANDS))


def _rotate(rows: list[_Row], sequence: int, size: int) -> list[_Row]:
    if len(rows) <= size:
        return rows
    start = sequence * size % len(rows)
    doubled = rows + rows
    return doubled[start : start + size]
