"""Admission control and queueing of requests, with per-customer limits."""

from __future__ import annotations

from collections.abc import Iterator
import heapq
from typing import TYPE_CHECKING

from laburnumpin import verdict
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import messages
from laburnumpin.core import queues
from laburnumpin.core import quotas
from laburnumpin.core import routing

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state

MAX_QUEUED_REQUESTS = 2_000
QUEUE_FULL_RETRY_AFTER_MS = 1_000
# Bounds of the retry delay after a refusal for an unreachable deadline.
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 30_000


class LimitsState:
    """The requests that wait for an upstream.

    `queue` holds all of them by request id, `services` those that may start
    now, and `delayed` is a heap of (earliest start, request id) of the others.
    `by_customer` counts the queued requests of each customer. `charged` maps
    the id of an admitted request to the tokens taken from its customer's
    bucket.
    """

    __slots__ = (
        "by_customer",
        "charged",
        "delayed",
        "queue",
        "quotas",
        "services",
    )

    def __init__(self) -> None:
        self.queue: dict[str, requests.Request] = {}
        self.services: dict[str, queues.ServiceQueue] = {}
        self.delayed: list[tuple[int, str]] = []
        self.by_customer: dict[str, int] = {}
        self.charged: dict[str, int] = {}
        self.quotas = quotas.QuotasState()


def admit(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> messages.Failure | None:
    """Return the failure of a refused request, or None for an accepted one.

    Accepting a request takes its expected tokens from the customer's bucket.
    """
    limits = state.limits
    if len(limits.queue) >= MAX_QUEUED_REQUESTS:
        return _refusal("queue_full", "too many requests wait")
    customers = request.configuration.deployment.customers
    customer = customers.get(request.customer)
    waiting = limits.by_customer.get(request.customer, 0)
    if customer is not None and waiting >= customer.max_queued_requests:
        return _refusal(
            "customer_queue_full", "too many requests of this customer wait"
        )
    if customer is None:
        return None
    run_ms = routing.predicted_run_ms(state, request)
    wait_ms = _predicted_wait_ms(
        state, request, customer.weight, run_ms, now_ms
    )
    if now_ms + wait_ms + run_ms > request.deadline_ms:
        # After half of the predicted wait, about half of the queue has
        # started.
        return _refusal(
            "deadline_unreachable",
            "the queue is too long for the deadline",
            min(max(int(wait_ms / 2), MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS),
        )
    tokens = queues.cost(request)
    retry_after_ms = quotas.charge(state, customer.name, tokens, now_ms)
    if retry_after_ms is not None:
        return _refusal(
            "customer_rate_exceeded",
            "the customer's token rate is used up",
            retry_after_ms,
        )
    limits.charged[request.request_id] = tokens
    return None


def enqueue(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> None:
    """Add an accepted or retried request to the queue."""
    limits = state.limits
    if request.request_id in limits.queue:
        return
    limits.queue[request.request_id] = request
    waiting = limits.by_customer.get(request.customer, 0)
    limits.by_customer[request.customer] = waiting + 1
    if request.not_before_ms > now_ms:
        item = (request.not_before_ms, request.request_id)
        heapq.heappush(limits.delayed, item)
        return
    _push(state, request, now_ms)


def dequeue(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> None:
    """Remove a request from the queue."""
    del now_ms
    limits = state.limits
    if limits.queue.pop(request.request_id, None) is None:
        return
    limits.by_customer[request.customer] -= 1
    if limits.by_customer[request.customer] == 0:
        del limits.by_customer[request.customer]
    service = limits.services.get(request.service.name)
    if service is None:
        return
    class_queue = service.class_queue(request.priority)
    queue = class_queue.by_customer.get(request.customer)
    if queue is not None and request.request_id in queue.requests:
        class_queue.remove(request)


def candidates(
    state: entry_state.EntryState, now_ms: int
) -> Iterator[requests.Request]:
    """Yield queued requests in the order in which they should start.

    The caller dequeues each request that it starts. A request that is still
    queued afterwards means that its service has no capacity for its class, so
    the iterator continues with the next class or service. For each service it
    yields at most two requests per started one, and two more.
    """
    limits = state.limits
    _release_delayed(state, now_ms)
    for name, service in list(limits.services.items()):
        yield from _service_candidates(state, service)
        if not service.next_requests():
            del limits.services[name]


def on_ended(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> None:
    """Refund the tokens that a request was charged and did not use.

    A request that was handed over gets no refund, because the entry that runs
    it does not charge it.
    """
    charged = state.limits.charged.pop(request.request_id, None)
    if charged is None or request.handed_to is not None:
        return
    used = 0
    if request.verdict is not verdict.Verdict.NOT_RUN:
        used = request.prompt_tokens + request.next_offset
    if used < charged:
        unused = charged - used
        quotas.refund(state, request.customer, unused, now_ms)


def on_quota_request(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.QuotaRequest,
) -> list[effects.Effect]:
    """Lend part of a customer's quota share to a peer if enough is unused."""
    return quotas.on_request(state, event, message)


def on_quota_loan(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.QuotaLoan,
) -> list[effects.Effect]:
    """Add a loan from a peer to a customer's quota share."""
    return quotas.on_loan(state, event, message)


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Request quota loans when due."""
    return quotas.on_tick(state, event)


def _predicted_wait_ms(
    state: entry_state.EntryState,
    request: requests.Request,
    weight: float,
    run_ms: float,
    now_ms: int,
) -> float:
    """Predict how long a new request waits; 0 while that is unknown.

    The lower of two predictions. One uses the rate at which the queue started
    tokens so far, which is low while the first streams run. The other uses
    the streams available to this entry and assumes that the queued requests
    are like the new one.
    """
    service = state.limits.services.get(request.service.name)
    if service is None:
        return 0.0
    tokens_per_ms = service.tokens_per_ms(now_ms)
    streams = routing.entry_streams(state, request, now_ms)
    if streams <= 0.0:
        return 0.0
    class_queue = service.class_queue(request.priority)
    tokens_ahead = class_queue.tokens_ahead(request.customer, weight)
    if request.priority is deployment.Priority.BULK:
        tokens_ahead += service.interactive.tokens
    by_streams_ms = tokens_ahead / queues.cost(request) * run_ms / streams
    if tokens_per_ms is None:
        return by_streams_ms
    return min(tokens_ahead / tokens_per_ms, by_streams_ms)


def _refusal(
    code: str, message: str, retry_after_ms: int = QUEUE_FULL_RETRY_AFTER_MS
) -> messages.Failure:
    return messages.Failure(
        code, message, verdict.Verdict.NOT_RUN, retry_after_ms
    )


def _push(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> None:
    limits = state.limits
    name = request.service.name
    service = limits.services.get(name)
    if service is None:
        service = queues.ServiceQueue(now_ms)
        limits.services[name] = service
    customers = request.configuration.deployment.customers
    customer = customers.get(request.customer)
    weight = 1.0 if customer is None else customer.weight
    class_queue = service.class_queue(request.priority)
    # A request that was dequeued before goes ahead of its customer's others.
    class_queue.push(request, weight, at_front=_was_started(request))


def _was_started(request: requests.Request) -> bool:
    return request.attempt_count > 0 or request.claimed


def _release_delayed(state: entry_state.EntryState, now_ms: int) -> None:
    limits = state.limits
    while limits.delayed and limits.delayed[0][0] <= now_ms:
        not_before_ms, request_id = heapq.heappop(limits.delayed)
        request = limits.queue.get(request_id)
        if request is None or request.not_before_ms != not_before_ms:
            continue
        _push(state, request, now_ms)


def _service_candidates(
    state: entry_state.EntryState, service: queues.ServiceQueue
) -> Iterator[requests.Request]:
    waiting = state.limits.queue
    started = True
    while started:
        started = False
        for request in service.next_requests():
            tokens = 0 if _was_started(request) else queues.cost(request)
            yield request
            if request.request_id in waiting:
                continue
            policy = request.configuration.deployment.policy
            service.charge(request, tokens, policy.bulk_share)
            started = True
            break
