"""Policies that the replay compares.

Each baseline replaces the choice of the upstream and the queue; the rest of
the core is the same for all policies.
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
    """Any upstream, whatever its load."""

    name = "random"

    def choose(
        self,
        state: entry_state.EntryState,
        request: requests.Request,
        now_ms: int,
    ) -> upstreams.Upstream | None:
        """Return a random upstream."""
        found = upstreams.eligible(state, request.service.name, now_ms)
        return state.random.choice(found) if found else None


class RoundRobin:
    """Each entry uses the upstreams in turn, whatever their load."""

    name = "round_robin"

    def __init__(self) -> None:
        self._turns: dict[str, int] = {}
        self._last: tuple[str, int] | None = None

    def choose(
        self,
        state: entry_state.EntryState,
        request: requests.Request,
        now_ms: int,
    ) -> upstreams.Upstream | None:
        """Return the next upstream."""
        found = upstreams.eligible(state, request.service.name, now_ms)
        if not found:
            return None
        key = f"{state.entry.vm_id}/{request.service.name}"
        turn = self._turns.get(key, 0)
        # The core asks twice for each dispatch: for room, then for the choice.
        attempt = (request.request_id, request.attempt_count)
        if attempt != self._last:
            turn += 1
        self._last = attempt
        self._turns[key] = turn
        return found[turn % len(found)]


class LeastReportedLoad:
    """The upstream with the lowest load in its last report."""

    name = "least_reported_load"

    def choose(
        self,
        state: entry_state.EntryState,
        request: requests.Request,
        now_ms: int,
    ) -> upstreams.Upstream | None:
        """Return the upstream that reported the least."""
        best: upstreams.Upstream | None = None
        best_load = 0
        found = upstreams.eligible(state, request.service.name, now_ms)
        for upstream in found:
            assert upstream.report is not None
            load = upstream.report.running + upstream.report.waiting
            if best is None or load < best_load:
                best = upstream
                best_load = load
        return best


class EarlierPolicy:
    """The first version of `core/routing.py`: the least load with a slot."""

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
        found = upstreams.eligible(state, request.service.name, now_ms)
        for upstream in found:
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
    """The routing and the limits of the core as they are."""

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


class _Fifo:
    """The first version of `core/limits.py`: one queue per entry."""

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
            "too many requests wait",
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
    """Let the reducer decide by `policy` within the context."""
    if isinstance(policy, CurrentPolicy):
        yield
        return
    fifo = _Fifo()
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(routing, "choose", policy.choose))
        for name in ("admit", "enqueue", "dequeue", "candidates"):
            stack.enter_context(
                mock.patch.object(limits, name, getattr(fifo, name))
            )
        yield
