"""Routing policies that the replay compares.

Each baseline replaces the choice of the upstream and the request queue; the
rest of the core is the same for all policies.
"""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
from typing import Protocol
from unittest import mock

from laburnumpin import verdict
from laburnumpin.core import limits
from laburnumpin.core import messages
from laburnumpin.core import requests
from laburnumpin.core import routing
from laburnumpin.core import state as entry_state
from laburnumpin.core import upstreams

MAX_QUEUED_REQUESTS = 2_000


class Policy(Protocol):
    """Chooses the upstream of a request."""

    name: str

    def choose(
        self,
        state: entry_state.EntryState,
        request: requests.Request,
        now_ms: int,
    ) -> upstreams.Upstream | None:
        """Return an upstream, or None to keep the request waiting."""


class RandomChoice:
    """A random upstream, regardless of load."""

    name = "random"

    def choose(
        self,
        state: entry_state.EntryState,
        request: requests.Request,
        now_ms: int,
    ) -> upstreams.Upstream | None:
        """Return a random upstream."""
        eligible_upstreams = upstreams.eligible(
            state, request.service.name, now_ms
        )
        return (
            state.random.choice(eligible_upstreams)
            if eligible_upstreams
            else None
        )


class RoundRobin:
    """Each entry cycles through the upstreams, regardless of load."""

    name = "round_robin"

    def __init__(self) -> None:
        self._positions: dict[str, int] = {}
        self._last: tuple[str, int] | None = None

    def choose(
        self,
        state: entry_state.EntryState,
        request: requests.Request,
        now_ms: int,
    ) -> upstreams.Upstream | None:
        """Return the next upstream."""
        eligible_upstreams = upstreams.eligible(
            state, request.service.name, now_ms
        )
        if not eligible_upstreams:
            return None
        key = f"{state.entry.vm_id}/{request.service.name}"
        position = self._positions.get(key, 0)
        # The core calls this twice per dispatch, first to check for room and
        # then to choose; only the first call advances.
        attempt = (request.request_id, request.attempt_count)
        if attempt != self._last:
            position += 1
        self._last = attempt
        self._positions[key] = position
        return eligible_upstreams[position % len(eligible_upstreams)]


class LeastReportedLoad:
    """The upstream with the lowest load in its last report."""

    name = "least_reported_load"

    def choose(
        self,
        state: entry_state.EntryState,
        request: requests.Request,
        now_ms: int,
    ) -> upstreams.Upstream | None:
        """Return the upstream with the fewest reported requests."""
        best: upstreams.Upstream | None = None
        best_load = 0
        eligible_upstreams = upstreams.eligible(
            state, request.service.name, now_ms
        )
        for upstream in eligible_upstreams:
            assert upstream.report is not None
            load = upstream.report.running + upstream.report.waiting
            if best is None or load < best_load:
                best = upstream
                best_load = load
        return best


class EarlierPolicy:
    """The first version of `core/routing.py`: least load with a free slot."""

    name = "earlier"

    def choose(
        self,
        state: entry_state.EntryState,
        request: requests.Request,
        now_ms: int,
    ) -> upstreams.Upstream | None:
        """Return the upstream with the lowest load and a free slot."""
        best: upstreams.Upstream | None = None
        best_load = 0
        eligible_upstreams = upstreams.eligible(
            state, request.service.name, now_ms
        )
        for upstream in eligible_upstreams:
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


class CurrentPolicy:
    """The routing and the limits of the core, unmodified."""

    name = "current"

    def choose(
        self,
        state: entry_state.EntryState,
        request: requests.Request,
        now_ms: int,
    ) -> upstreams.Upstream | None:
        """Return what `routing.choose` returns."""
        return routing.choose(state, request, now_ms)


POLICIES: dict[str, type[Policy]] = {
    RandomChoice.name: RandomChoice,
    RoundRobin.name: RoundRobin,
    LeastReportedLoad.name: LeastReportedLoad,
    EarlierPolicy.name: EarlierPolicy,
    CurrentPolicy.name: CurrentPolicy,
}


class _FifoQueue:
    """The first version of `core/limits.py`: one FIFO queue per entry."""

    def __init__(self) -> None:
        self._queues: dict[str, dict[str, requests.Request]] = {}

    def admit(
        self,
        state: entry_state.EntryState,
        request: requests.Request,
        now_ms: int,
    ) -> messages.Failure | None:
        del request, now_ms
        if len(self._queue(state)) < MAX_QUEUED_REQUESTS:
            return None
        return messages.Failure(
            "queue_full",
            "too many requests are queued",
            verdict.Verdict.NOT_RUN,
            1_000,
        )

    def enqueue(
        self,
        state: entry_state.EntryState,
        request: requests.Request,
        now_ms: int,
    ) -> None:
        del now_ms
        self._queue(state)[request.request_id] = request

    def dequeue(
        self,
        state: entry_state.EntryState,
        request: requests.Request,
        now_ms: int,
    ) -> None:
        del now_ms
        self._queue(state).pop(request.request_id, None)

    def candidates(
        self, state: entry_state.EntryState, now_ms: int
    ) -> list[requests.Request]:
        del now_ms
        return list(self._queue(state).values())

    def _queue(
        self, state: entry_state.EntryState
    ) -> dict[str, requests.Request]:
        return self._queues.setdefault(state.entry.vm_id, {})


@contextlib.contextmanager
def installed(policy: Policy) -> Iterator[None]:
    """Patch the core to decide by `policy` within the context."""
    if isinstance(policy, CurrentPolicy):
        yield
        return
    fifo_queue = _FifoQueue()
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(routing, "choose", policy.choose))
        for name in ("admit", "enqueue", "dequeue", "candidates"):
            stack.enter_context(
                mock.patch.object(limits, name, getattr(fifo_queue, name))
            )
        yield
