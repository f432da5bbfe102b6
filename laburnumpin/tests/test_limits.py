"""Tests of admission, the fair queue and customers' quotas."""

from __future__ import annotations

import dataclasses
import itertools

from hypothesis import stateful
from hypothesis import strategies
import pytest

from laburnumpin import verdict
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import limits
from laburnumpin.core import membership
from laburnumpin.core import messages
from laburnumpin.core import quotas
from laburnumpin.core import requests
from laburnumpin.core import state as entry_state
from laburnumpin.core import upstreams

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


def enqueue_many(
    state: entry_state.EntryState, count: int, **arguments: object
) -> list[requests.Request]:
    added = []
    for _ in range(count):
        request = make_request(state, **arguments)  # type: ignore[arg-type]
        limits.enqueue(state, request, 0)
        added.append(request)
    return added


def start(
    state: entry_state.EntryState, count: int, now_ms: int = 0
) -> list[requests.Request]:
    """Start up to `count` requests, as `requests.dispatch_queued` does."""
    started: list[requests.Request] = []
    for request in limits.candidates(state, now_ms):
        if len(started) == count:
            continue
        limits.dequeue(state, request, now_ms)
        started.append(request)
    return started


class FairnessMachine(stateful.RuleBasedStateMachine):
    """Guards against a large customer that delays the others.

    Checks the bound of start-time fair queueing: in any period in which two
    customers both have waiting requests, their tokens per weight differ by at
    most the largest request of each.
    """

    def __init__(self) -> None:
        super().__init__()
        self.state = make_state()
        self.waiting: dict[str, list[requests.Request]] = {
            name: [] for name in _WEIGHTS
        }
        self.largest = dict.fromkeys(_WEIGHTS, 0)
        self.started_per_weight = {
            pair: [0.0, 0.0] for pair in itertools.combinations(_WEIGHTS, 2)
        }

    @stateful.rule(
        customer=strategies.sampled_from("abc"),
        sizes=strategies.lists(
            strategies.integers(1, 4_000), min_size=1, max_size=9
        ),
    )
    def arrive(self, customer: str, sizes: list[int]) -> None:
        for size in sizes:
            self.waiting[customer] += enqueue_many(
                self.state, 1, customer=customer, tokens=size
            )
            self.largest[customer] = max(self.largest[customer], size)

    @stateful.rule(
        customer=strategies.sampled_from("abc"), index=strategies.integers(0, 9)
    )
    def cancel(self, customer: str, index: int) -> None:
        if index < len(self.waiting[customer]):
            request = self.waiting[customer].pop(index)
            limits.dequeue(self.state, request, 0)
            self.reset_idle()

    @stateful.rule(count=strategies.integers(1, 5))
    def start(self, count: int) -> None:
        for request in start(self.state, count):
            name = request.customer
            self.waiting[name].remove(request)
            tokens = request.max_tokens / _WEIGHTS[name]
            for pair, started_per_weight in self.started_per_weight.items():
                if name in pair:
                    started_per_weight[pair.index(name)] += tokens
            self.reset_idle()

    def reset_idle(self) -> None:
        for pair in self.started_per_weight:
            if not all(self.waiting[name] for name in pair):
                self.started_per_weight[pair] = [0.0, 0.0]

    @stateful.invariant()
    def shares_are_fair(self) -> None:
        for (one, other), started_per_weight in self.started_per_weight.items():
            bound = self.largest[one] / _WEIGHTS[one]
            bound += self.largest[other] / _WEIGHTS[other]
            assert (
                abs(started_per_weight[0] - started_per_weight[1])
                <= bound + 1e-6
            )

    @stateful.invariant()
    def counts_match(self) -> None:
        total = sum(len(waiting) for waiting in self.waiting.values())
        assert len(self.state.limits.queue) == total
        assert sum(self.state.limits.by_customer.values()) == total


TestFairness = FairnessMachine.TestCase


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Guards against a customer's rate exceeded by the sum over entries.

    Three entries, whose clocks differ in offset and speed, exchange loans;
    messages are lost, late, duplicated and out of order.
    """

    rate_tokens_per_s = 300
    request_tokens = 200
    names = ("e0", "e1", "e2")
    offsets_ms = (0, 7_000, 1_000_000)
    speeds = (1.0, 1.004, 0.996)

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.admitted = 0
        self.lent = 0
        self.in_transit: list[tuple[int, str, str, messages.Message]] = []
        self.entries: dict[str, entry_state.EntryState] = {}
        for name in self.names:
            state = make_state(
                make_configuration(3, self.rate_tokens_per_s), name
            )
            self.entries[name] = state
            for other in self.names:
                if other != name:
                    member = membership.Member(
                        ids.EntryId(other, 1), "z", other, b""
                    )
                    state.membership.by_vm[other] = member

    def clock(self, name: str) -> int:
        index = self.names.index(name)
        return int(self.offsets_ms[index] + self.now_ms * self.speeds[index])

    def send(self, name: str, produced: list[effects.Effect]) -> None:
        for effect in produced:
            assert isinstance(effect, effects.SendPeer)
            item = (len(self.in_transit), name, effect.peer_id, effect.message)
            self.in_transit.append(item)

    @stateful.rule(delta_ms=strategies.integers(1, 4_000))
    def advance(self, delta_ms: int) -> None:
        end_ms = self.now_ms + delta_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + 250)
            self.sum_of_rates_is_within_the_limit()
            for name, state in self.entries.items():
                tick = events.Tick(self.clock(name))
                self.send(name, limits.on_tick(state, tick))

    @stateful.rule(
        name=strategies.sampled_from(names),
        request_delay_ms=strategies.integers(1, 2_500),
        loan_delay_ms=strategies.integers(1, 2_500),
        duplicate=strategies.booleans(),
    )
    def exchange(
        self,
        name: str,
        request_delay_ms: int,
        loan_delay_ms: int,
        duplicate: bool,
    ) -> None:
        """Use up a share, request a loan and deliver both messages."""
        self.submit(name, 60, True)
        before = len(self.in_transit)
        self.advance(1_010)
        self.submit(name, 60, True)
        self.advance(request_delay_ms)
        while len(self.in_transit) > before:
            self.deliver(before, duplicate=False)
            self.advance(loan_delay_ms)
            if duplicate and len(self.in_transit) > before:
                self.deliver(before, duplicate=True)
                self.advance(10_000)
        self.advance(8_000)

    @stateful.rule(
        name=strategies.sampled_from(names),
        count=strategies.integers(1, 60),
        used=strategies.booleans(),
    )
    def submit(self, name: str, count: int, used: bool) -> None:
        state = self.entries[name]
        now_ms = self.clock(name)
        for _ in range(count):
            request = make_request(state, tokens=self.request_tokens)
            if limits.admit(state, request, now_ms) is not None:
                break
            if used:
                self.admitted += self.request_tokens
                request.verdict = verdict.Verdict.RAN
                whole = messages.Chunk(0, self.request_tokens, "")
                request.chunks.append(whole)
            limits.on_ended(state, request, now_ms)

    @stateful.rule(
        index=strategies.integers(0, 30), duplicate=strategies.booleans()
    )
    def deliver(self, index: int, duplicate: bool) -> None:
        if index >= len(self.in_transit):
            return
        item = (
            self.in_transit[index] if duplicate else self.in_transit.pop(index)
        )
        _, source, target, message = item
        state = self.entries[target]
        event = events.PeerReceived(self.clock(target), source, message)
        if isinstance(message, messages.QuotaRequest):
            self.send(target, limits.on_quota_request(state, event, message))
        else:
            assert isinstance(message, messages.QuotaLoan)
            limits.on_quota_loan(state, event, message)

    @stateful.rule(index=strategies.integers(0, 30))
    def drop_message(self, index: int) -> None:
        if index < len(self.in_transit):
            self.in_transit.pop(index)

    @stateful.invariant()
    def sum_of_rates_is_within_the_limit(self) -> None:
        total = 0.0
        for name, state in self.entries.items():
            bucket = state.limits.quotas.buckets.get("a")
            rate = self.rate_tokens_per_s / 3
            if bucket is not None:
                now_ms = self.clock(name)
                for loan in bucket.borrowed.values():
                    if now_ms < loan.until_ms:
                        rate += loan.rate_tokens_per_s
                for loan in bucket.lent.values():
                    if now_ms < loan.until_ms:
                        rate -= loan.rate_tokens_per_s
            total += rate
        assert total <= self.rate_tokens_per_s + 1e-6

    @stateful.invariant()
    def admitted_tokens_are_within_rate_and_burst(self) -> None:
        # Clocks are up to 0.4% fast, and each entry may overdraw its bucket by
        # one request.
        seconds = self.now_ms * 1.004 / 1_000 + quotas.BURST_S
        bound = self.rate_tokens_per_s * seconds + 3 * self.request_tokens
        assert self.admitted <= bound + 1


TestQuota = QuotaMachine.TestCase


def test_unused_share_is_lent_and_comes_back() -> None:
    """Guards against loans that are never granted or never expire."""
    lender = make_state(make_configuration(2, 200), "e0")
    borrower = make_state(make_configuration(2, 200), "e1")
    member = membership.Member(ids.EntryId("e0", 1), "z", "e0", b"")
    borrower.membership.by_vm["e0"] = member
    used = make_request(borrower, tokens=5_000)
    assert limits.admit(borrower, used, 0) is None
    refused = limits.admit(borrower, make_request(borrower), 10)
    assert code(refused) == "customer_rate_exceeded"
    (loan_request,) = limits.on_tick(borrower, events.Tick(20))
    assert isinstance(loan_request, effects.SendPeer)
    assert isinstance(loan_request.message, messages.QuotaRequest)
    received = events.PeerReceived(0, "e1", loan_request.message)
    (lent,) = limits.on_quota_request(lender, received, loan_request.message)
    assert isinstance(lent, effects.SendPeer)
    assert isinstance(lent.message, messages.QuotaLoan)
    assert lent.message.rate_tokens_per_s == 50
    lender_bucket = lender.limits.quotas.buckets["a"]
    assert lender_bucket.tokens == 500
    limits.admit(lender, make_request(lender, tokens=400), 0)
    limits.admit(lender, make_request(lender, tokens=100), 4_000)
    assert lender_bucket.tokens == pytest.approx(200)
    bucket = borrower.limits.quotas.buckets["a"]
    in_time = events.PeerReceived(30, "e0", lent.message)
    limits.on_quota_loan(borrower, in_time, lent.message)
    limits.on_quota_loan(borrower, in_time, lent.message)
    assert len(bucket.borrowed) == 1
    before = bucket.tokens
    limits.admit(borrower, make_request(borrower), 10_030)
    assert bucket.tokens - before == pytest.approx(1_500, abs=1)
    limits.admit(borrower, make_request(borrower), 20_030)
    assert not bucket.borrowed
    limits.admit(lender, make_request(lender), 20_000)
    assert not lender.limits.quotas.buckets["a"].lent


def test_late_loan_is_ignored() -> None:
    """Guards against a loan used after the lender resumed using the rate."""
    state = make_state(make_configuration(2, 200))
    limits.admit(state, make_request(state), 0)
    bucket = state.limits.quotas.buckets["a"]
    bucket.requested_loan_id = "e0.1.1"
    bucket.requested_ms = 0
    loan = messages.QuotaLoan("e0.1.1", "a", 50, 10_000)
    late_ms = 1 + quotas.LOAN_DELIVERY_MS
    event = events.PeerReceived(late_ms, "e1", loan)
    limits.on_quota_loan(state, event, loan)
    assert not bucket.borrowed
    assert state.counters.value("quota_loans", "ignored") == 1


def test_unused_tokens_are_refunded_but_not_after_a_handover() -> None:
    """Guards against charging `max_tokens` in full and against free runs.

    A request that was handed over runs elsewhere without being charged there,
    so its tokens must not be refunded.
    """
    state = make_state(make_configuration(1, 100))
    for handed_over, expected in ((False, 1_000.0), (True, 600.0)):
        request = make_request(state, tokens=400)
        assert limits.admit(state, request, 0) is None
        if handed_over:
            request.handed_to = ids.EntryId("e1", 1)
        limits.on_ended(state, request, 0)
        limits.on_ended(state, request, 0)
        bucket = state.limits.quotas.buckets["a"]
        assert bucket.tokens == pytest.approx(expected)


def test_interactive_precedes_bulk_which_keeps_its_share() -> None:
    """Guards against interactive requests behind a backlog and starved bulk."""
    state = make_state()
    enqueue_many(state, 400, tokens=100)
    enqueue_many(state, 400, tokens=100, priority=_INTERACTIVE)
    started = start(state, 200)
    assert started[0].priority is _INTERACTIVE
    bulk = [r for r in started if r.priority is _BULK]
    assert 38 <= len(bulk) <= 42


def test_cost_does_not_grow_with_the_queue() -> None:
    """Guards against ticks whose cost is linear in the queued requests."""
    for count in (10, 1_900):
        state = make_state()
        enqueue_many(state, count)
        enqueue_many(state, count, priority=_INTERACTIVE)
        enqueue_many(state, count, service="other")
        yielded = list(limits.candidates(state, 0))
        assert len(yielded) == 3


def test_service_without_room_does_not_block_another() -> None:
    """Guards against a service without capacity that blocks all others."""
    state = make_state()
    enqueue_many(state, 5, service="draft")
    other = enqueue_many(state, 3, service="other")
    started = []
    for request in limits.candidates(state, 0):
        if request.service.name == "draft":
            continue
        limits.dequeue(state, request, 0)
        started.append(request)
    assert started == other


def test_delayed_retry_waits_and_then_goes_first() -> None:
    """Guards against retries that start before their backoff or never."""
    state = make_state()
    enqueue_many(state, 2)
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
    """Guards against dispatching a request after its cancellation."""
    state = make_state()
    first, second, third = enqueue_many(state, 3)
    limits.dequeue(state, first, 0)
    limits.dequeue(state, third, 0)
    limits.dequeue(state, third, 0)
    assert start(state, 9) == [second]


def test_queue_limits_have_their_own_codes() -> None:
    """Guards against one customer that fills the queue of all customers."""
    state = make_state()
    current = state.configuration.current
    assert current is not None
    small = deployment.Customer("a", (), max_queued_requests=3)
    current.deployment.customers["a"] = small
    enqueue_many(state, 3)
    assert code(limits.admit(state, make_request(state), 0)) == (
        "customer_queue_full"
    )
    other = make_request(state, customer="b")
    assert limits.admit(state, other, 0) is None
    enqueue_many(state, limits.MAX_QUEUED_REQUESTS, customer="b")
    assert code(limits.admit(state, other, 0)) == "queue_full"


def code(failure: messages.Failure | None) -> str:
    assert failure is not None
    assert failure.retry_after_ms is not None
    assert dataclasses.is_dataclass(failure)
    return failure.code


def make_busy_state() -> entry_state.EntryState:
    """Return an entry with one engine whose 8 slots are all busy."""
    state = make_state()
    row = events.VmRow(
        "u0", 1, events.VmRole.UPSTREAM, "z", "gpu", True, False, "draft"
    )
    upstreams.on_vms_listed(state, events.VmsListed(0, (row,)))
    report = events.LoadReport(1, 0, 8, 0, 8, 0, 10.0, False)
    upstreams.on_load_reported(state, events.LoadReported(0, "u0", report))
    upstream = state.upstreams.by_id["u0"]
    upstreams.latency_model(state, upstream).observe_run(1_000, 100)
    return state


def test_deadline_that_the_queue_cannot_meet_is_refused_early() -> None:
    """Guards against accepting requests that expire while they are queued."""
    state = make_busy_state()
    enqueue_many(state, 80, customer="a")
    # 80 requests of 1 s on the 6.8 streams for bulk take 11.8 s, and the
    # request itself takes 1 s.
    unreachable = make_request(state, deadline_ms=12_500)
    failure = limits.admit(state, unreachable, 0)
    assert code(failure) == "deadline_unreachable"
    assert failure is not None
    assert failure.verdict is verdict.Verdict.NOT_RUN
    assert failure.retry_after_ms is not None
    assert 1_000 <= failure.retry_after_ms <= limits.MAX_RETRY_AFTER_MS
    reachable = make_request(state, deadline_ms=13_000)
    assert limits.admit(state, reachable, 0) is None


def test_prediction_counts_a_customers_own_share_of_the_queue() -> None:
    """Guards against refusing a small customer for a large one's backlog."""
    state = make_busy_state()
    enqueue_many(state, 80, customer="a")
    other = make_request(state, customer="b", deadline_ms=2_000)
    assert limits.admit(state, other, 0) is None
    urgent = make_request(state, priority=_INTERACTIVE, deadline_ms=2_000)
    assert limits.admit(state, urgent, 0) is None


def test_unknown_token_rate_refuses_nothing() -> None:
    """Guards against refusals without observations after an entry starts."""
    state = make_state()
    enqueue_many(state, 80)
    request = make_request(state, deadline_ms=100)
    assert limits.admit(state, request, 0) is None


def test_fast_queue_overrides_the_prediction_from_streams() -> None:
    """Guards against refusals while requests are far shorter than before."""
    state = make_busy_state()
    enqueue_many(state, 90)
    assert len(start(state, 60, now_ms=100)) == 60
    # 30 requests of 1 s on 6.8 streams take 4.4 s, but 1.3 s at the observed
    # token rate.
    request = make_request(state, deadline_ms=200 + 3_000)
    assert limits.admit(state, request, 200) is not None
    request = make_request(state, deadline_ms=2_500 + 3_000)
    assert limits.admit(state, request, 2_500) is None
