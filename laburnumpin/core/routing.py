"""Choice of the upstream for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumpin.core import upstreams

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state


def choose(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> upstreams.Upstream | None:
    """Return the best upstream with room, or None to keep waiting."""
    best: upstreams.Upstream | None = None
    best_load = 0
    for upstream in upstreams.eligible(state, request.service.name, now_ms):
        assert upstream.report is not None
        load = max(
            upstream.report.running
            + upstream.report.waiting
            + upstream.sent_since_report,
            len(upstream.attempts),
        )
        if load >= upstream.report.slots:
            continue
        if best is None or load < best_load:
            best = upstream
            best_load = load
    return best
