"""Tests of the fair queue and of the limits on customers."""

from __future__ import annotations

import dataclasses
import itertools

import hypothesis
from hypothesis import strategies

from laburnumpin.core import deployment
from laburnumpin.core import ids
from laburnumpin.core import limits
from laburnumpin.core import messages
from laburnumpin.core import requests
from laburnumpin.core import state as entry_state

_NUMBERS = itertools.count()
_BULK = deployment.Priority.BULK
_INTERACTIVE = deployment.Priority.INTERACTIVE
_WEIGHTS = {"a": 1.0, "b": 1.0, "c": 3.0}


def make_configuration(
    entry_count: int = 1, rate_tokens_per_s: int = 1_000_000
) -> deployment.Configuration:
    customers = {}
    for name, weight in _WEIGHTS.items():
        customers[name] = deployment.Customer(
            name, (), weight, rate_tokens_per_s
        )
    services = {}
    for name in ("draft", "other"):
        services[name] = deployment.Service(
            name, deployment.ServiceKind.MODEL, {}
        )
    configured = deployment.Deployment(
        "test",
        {},
        services,
        customers,
        (),
        deployment.Policy(),
        entry_count,
    )
    return deployment.Configuration(1, "change", "", configured)


def make_state(
    configuration: deployment.Configuration | None = None, vm_id: str = "e0"
) -> entry_state.EntryState:
    state = entry_state.EntryState(ids.EntryId(vm_id, 1), "z", vm_id, 7)
    state.configuration.current = configuration or make_configuration()
    return state


def make_request(
    state: entry_state.EntryState,
    customer: str = "a",
    tokens: int = 100,
    priority: deployment.Priority = _BULK,
    service: str = "draft",
    deadline_ms: int = 10**9,
) -> requests.Request:
    current = state.configuration.current
    assert current is not None
    return requests.Request(
        request_id=ids.request_id(state.entry, next(_NUMBERS)),
        customer=customer,
        service=current.deployment.services[service],
        operation=deployment.Operation("write"),
        body="",
        prompt="",
        prompt_tokens=0,
        max_tokens=tokens,
        blocks=(),
        idempotency_key=None,
        accepted_ms=0,
        deadline_ms=deadline_ms,
        priority=priority,
        configuration=current,
    )


def add(
    state: entry_state.EntryState, count: int, **arguments: object
) -> list[requests.Request]:
    added = []
    for _ in range(count):
        request = make_request(state, **arguments)  # type: ignore[arg-type]
        limits.enqueue(state, request, 0)
        added.append(request)
    return added


def start(
    state: entry_state.EntryState, room: int, now_ms: int = 0
) -> list[requests.Request]:
    """Start requests as `requests.dispatch_queued` does, up to `room`."""
    started: list[requests.Request] = []
    for request in limits.candidates(state, now_ms):
        if len(started) == room:
            continue
        limits.dequeue(state, request, now_ms)
        started.append(request)
    return started


@hypothesis.given(
    tokens=strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"), strategies.integers(1, 4_000)
        ),
        min_size=3,
        max_size=80,
    ),
    rooms=strategies.lists(strategies.integers(0, 5), max_size=30),
)
def test_backlogged_customers_share_within_one_request(
    tokens: list[tuple[str, int]], rooms: list[int]
) -> None:
    """Guards against a large customer that delays the others.

    The bound of start-time fair queueing: while both wait, the tokens of two
    customers per weight differ by at most one largest request of each.
    """
    state = make_state()
    waiting = dict.fromkeys(_WEIGHTS, 0)
    largest = dict.fromkeys(_WEIGHTS, 0)
    for customer, size in tokens:
        add(state, 1, customer=customer, tokens=size)
        waiting[customer] += 1
        largest[customer] = max(largest[customer], size)
    given = dict.fromkeys(_WEIGHTS, 0.0)
    for room in rooms:
        for request in start(state, room):
            waiting[request.customer] -= 1
            weight = _WEIGHTS[request.customer]
            given[request.customer] += request.max_tokens / weight
        backlogged = [name for name in _WEIGHTS if waiting[name]]
        if len(backlogged) < 3:
            break
        for one, other in itertools.combinations(backlogged, 2):
            bound = largest[one] / _WEIGHTS[one]
            bound += largest[other] / _WEIGHTS[other]
            assert abs(given[one] - given[other]) <= bound + 1e-6


def test_interactive_precedes_bulk_which_keeps_its_share() -> None:
    """Guards against short requests behind a backlog, and starved bulk."""
    state = make_state()
    add(state, 400, tokens=100)
    add(state, 400, tokens=100, priority=_INTERACTIVE)
    started = start(state, 200)
    assert started[0].priority is _INTERACTIVE
    bulk = [r for r in started if r.priority is _BULK]
    assert 38 <= len(bulk) <= 42


def test_cost_does_not_grow_with_the_queue() -> None:
    """Guards against ticks that look at every queued request."""
    for count in (10, 1_900):
        state = make_state()
        add(state, count)
        add(state, count, priority=_INTERACTIVE)
        add(state, count, service="other")
        looked_at = list(limits.candidates(state, 0))
        assert len(looked_at) == 3


def test_service_without_room_does_not_block_another() -> None:
    """Guards against one full service that stops all others."""
    state = make_state()
    add(state, 5, service="draft")
    other = add(state, 3, service="other")
    started = []
    for request in limits.candidates(state, 0):
        if request.service.name == "draft":
            continue
        limits.dequeue(state, request, 0)
        started.append(request)
    assert started == other


def test_delayed_retry_waits_and_then_goes_first() -> None:
    """Guards against retries before their backoff, or lost after it."""
    state = make_state()
    add(state, 2)
    retried = make_request(state)
    retried.attempt_count = 1
    retried.not_before_ms = 100
    limits.enqueue(state, retried, 0)
    limits.enqueue(state, retried, 0)
    assert retried not in start(state, 1, now_ms=99)
    assert start(state, 1, now_ms=100) == [retried]
    assert len(start(state, 9, now_ms=100)) == 1
    assert not state.limits.queue
    assert not state.limits.services
    assert not state.limits.by_customer


def test_dequeued_request_never_starts() -> None:
    """Guards against a cancelled request that is dispatched later."""
    state = make_state()
    first, second, third = add(state, 3)
    limits.dequeue(state, first, 0)
    limits.dequeue(state, third, 0)
    limits.dequeue(state, third, 0)
    assert start(state, 9) == [second]


def test_queue_bounds_have_their_own_codes() -> None:
    """Guards against one customer that fills the queue for all."""
    state = make_state()
    current = state.configuration.current
    assert current is not None
    small = deployment.Customer("a", (), max_queued_requests=3)
    current.deployment.customers["a"] = small
    add(state, 3)
    assert code(limits.admit(state, make_request(state), 0)) == (
        "customer_queue_full"
    )
    other = make_request(state, customer="b")
    assert limits.admit(state, other, 0) is None
    add(state, limits.MAX_QUEUED_REQUESTS, customer="b")
    assert code(limits.admit(state, other, 0)) == "queue_full"


def code(failure: messages.Failure | None) -> str:
    assert failure is not None
    assert failure.retry_after_ms is not None
    assert dataclasses.is_dataclass(failure)
    return failure.code
