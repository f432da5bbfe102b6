"""Fair queues of a service: start-time fair queueing between customers.

The two priority classes, interactive and bulk, have a fair queue each.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING

from laburnumpin.core import deployment

if TYPE_CHECKING:
    from laburnumpin.core import requests

# The token rate of a queue is unknown until it was observed for the minimum,
# and is averaged over about the maximum.
MIN_OBSERVED_MS = 2_000
MAX_OBSERVED_MS = 20_000


@dataclasses.dataclass(slots=True)
class CustomerQueue:
    """A customer's requests in order.

    `virtual_start` is the virtual start time of the first request, and
    `tokens` the cost of all of them.
    """

    customer: str
    weight: float
    virtual_start: float
    in_heap: bool = False
    tokens: int = 0
    requests: collections.OrderedDict[str, requests.Request] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )


class FairQueue:
    """Requests of one service and class, shared fairly between customers.

    Start-time fair queueing: a request starts at the larger of the virtual
    time and its predecessor's finish, which is its start plus its tokens
    divided by the customer's weight. The smallest start goes first. `tokens`
    is the cost of all requests, `waiting_weight` the sum of the weights of the
    customers with waiting requests.
    """

    __slots__ = (
        "_heap",
        "_tie_breakers",
        "_virtual_time",
        "by_customer",
        "tokens",
        "waiting_weight",
    )

    def __init__(self) -> None:
        self.by_customer: dict[str, CustomerQueue] = {}
        self.tokens = 0
        self.waiting_weight = 0.0
        self._virtual_time = 0.0
        # Virtual starts only increase, so an outdated item is a lower bound;
        # it is replaced when it reaches the top of the heap.
        self._heap: list[tuple[float, int, CustomerQueue]] = []
        self._tie_breakers = itertools.count()

    def push(
        self, request: requests.Request, weight: float, at_front: bool
    ) -> None:
        """Add a request at the end or front of its customer's queue."""
        queue = self.by_customer.get(request.customer)
        if queue is None:
            queue = CustomerQueue(request.customer, weight, self._virtual_time)
            self.by_customer[request.customer] = queue
        if request.request_id in queue.requests:
            return
        if not queue.requests:
            queue.virtual_start = max(queue.virtual_start, self._virtual_time)
            queue.weight = weight
            self.waiting_weight += weight
        if not queue.in_heap:
            self._push_heap(queue)
        queue.requests[request.request_id] = request
        if at_front:
            queue.requests.move_to_end(request.request_id, last=False)
        tokens = cost(request)
        queue.tokens += tokens
        self.tokens += tokens

    def remove(self, request: requests.Request) -> None:
        """Remove a request without changing the order of the others."""
        queue = self.by_customer[request.customer]
        del queue.requests[request.request_id]
        tokens = cost(request)
        queue.tokens -= tokens
        self.tokens -= tokens
        if not queue.requests:
            self.waiting_weight -= queue.weight

    def tokens_ahead(self, customer: str, weight: float) -> float:
        """Estimate the tokens that start before a new request of a customer.

        While all customers have waiting requests, each gets its weight's
        share of the started tokens.
        """
        queue = self.by_customer.get(customer)
        queued_tokens, total_weight = 0, self.waiting_weight
        if queue is not None and queue.requests:
            queued_tokens, weight = queue.tokens, queue.weight
        else:
            total_weight += weight
        return min(float(self.tokens), queued_tokens * total_weight / weight)

    def head(self) -> requests.Request | None:
        """Return the request that should start next."""
        while self._heap:
            virtual_start, _, queue = self._heap[0]
            if queue.requests and virtual_start == queue.virtual_start:
                return next(iter(queue.requests.values()))
            heapq.heappop(self._heap)
            queue.in_heap = False
            if queue.requests:
                self._push_heap(queue)
        return None

    def charge(self, customer: str, tokens: int) -> None:
        """Advance a customer's virtual start by a started request's tokens."""
        queue = self.by_customer[customer]
        self._virtual_time = max(self._virtual_time, queue.virtual_start)
        queue.virtual_start += tokens / queue.weight

    def _push_heap(self, queue: CustomerQueue) -> None:
        queue.in_heap = True
        item = (queue.virtual_start, next(self._tie_breakers), queue)
        heapq.heappush(self._heap, item)


class ServiceQueue:
    """The queued requests of one service, interactive before bulk.

    `bulk_credit` is the number of tokens of the reserved bulk share that bulk
    requests have not received while interactive requests went first. The
    queue exists only while requests wait; `started_tokens`, counted since
    `observed_since_ms`, gives its token rate.
    """

    __slots__ = (
        "bulk",
        "bulk_credit",
        "interactive",
        "observed_since_ms",
        "started_tokens",
    )

    def __init__(self, now_ms: int) -> None:
        self.interactive = FairQueue()
        self.bulk = FairQueue()
        self.bulk_credit = 0.0
        self.observed_since_ms = now_ms
        self.started_tokens = 0.0

    def tokens_per_ms(self, now_ms: int) -> float | None:
        """Return the rate at which tokens are started, or None if unknown."""
        elapsed_ms = now_ms - self.observed_since_ms
        if elapsed_ms < MIN_OBSERVED_MS or self.started_tokens == 0.0:
            return None
        if elapsed_ms > MAX_OBSERVED_MS:
            # Halve the observed period and the tokens started in it.
            self.observed_since_ms += elapsed_ms // 2
            self.started_tokens /= 2
            elapsed_ms = now_ms - self.observed_since_ms
        return self.started_tokens / elapsed_ms

    def class_queue(self, priority: deployment.Priority) -> FairQueue:
        """Return the queue of a priority class."""
        if priority is deployment.Priority.INTERACTIVE:
            return self.interactive
        return self.bulk

    def next_requests(self) -> list[requests.Request]:
        """Return the next request of each class, in the order to try them."""
        next_requests = []
        for class_queue in (self.interactive, self.bulk):
            request = class_queue.head()
            if request is not None:
                next_requests.append(request)
        if self.bulk_credit > 0:
            next_requests.reverse()
        return next_requests

    def charge(
        self, request: requests.Request, tokens: int, bulk_share: float
    ) -> None:
        """Account for a started request in its queue and in the bulk share."""
        self.class_queue(request.priority).charge(request.customer, tokens)
        self.started_tokens += tokens
        if self.bulk.head() is None or self.interactive.head() is None:
            self.bulk_credit = 0.0
            return
        self.bulk_credit += bulk_share * tokens
        if request.priority is deployment.Priority.BULK:
            self.bulk_credit -= tokens


def cost(request: requests.Request) -> int:
    """Return the prompt tokens and `max_tokens` of a request, at least one."""
    return max(1, request.prompt_tokens + request.max_tokens)
