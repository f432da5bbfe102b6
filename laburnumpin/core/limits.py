"""Admission, the fair queue and customers' limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumpin import verdict
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import messages

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state

MAX_QUEUED_REQUESTS = 2_000


class LimitsState:
    """The queue of requests that wait for an upstream."""

    __slots__ = ("queue",)

    def __init__(self) -> None:
        self.queue: dict[str, requests.Request] = {}


def admit(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> messages.Failure | None:
    """Return why a new request is refused, or None to accept it."""
    del request, now_ms
    if len(state.limits.queue) < MAX_QUEUED_REQUESTS:
        return None
    return messages.Failure(
        "queue_full", "too many requests wait", verdict.Verdict.NOT_RUN, 1_000
    )


def enqueue(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> None:
    """Put an accepted request, or one that is retried, into the queue."""
    del now_ms
    state.limits.queue[request.request_id] = request


def dequeue(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> None:
    """Take a request out of the queue."""
    del now_ms
    state.limits.queue.pop(request.request_id, None)


def candidates(
    state: entry_state.EntryState, now_ms: int
) -> list[requests.Request]:
    """Return queued requests in the order in which they should start."""
    del now_ms
    return list(state.limits.queue.values())


def expired(
    state: entry_state.EntryState, now_ms: int
) -> list[requests.Request]:
    """Return the queued requests whose deadline passed."""
    result = []
    for request in state.limits.queue.values():
        if now_ms >= request.deadline_ms:
            result.append(request)
    return result


def on_ended(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> None:
    """Settle what a request reserved when it ends or is handed over."""


def on_quota_request(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.QuotaRequest,
) -> list[effects.Effect]:
    """Lend part of a customer's share to a neighbour."""
    return []


def on_quota_loan(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.QuotaLoan,
) -> list[effects.Effect]:
    """Add a loan to a customer's share."""
    return []
