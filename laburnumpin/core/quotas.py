"""Customers' token rates, enforced by token buckets at every entry.

Each entry has an equal quota share of a customer's rate. A loan moves part of
a share to another entry for a fixed time. Entries do not compare clocks: the
lender gives up the rate from the time at which it sends the loan, for longer
than the borrower can use it.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import membership
from laburnumpin.core import messages

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

# Capacity of a token bucket, in seconds of its rate.
BURST_S = 10.0
LOAN_DURATION_MS = 10_000
# The borrower ignores a loan that arrives later than this after its request.
LOAN_DELIVERY_MS = 2_000
# The lender's clock may run faster than the borrower's by this share, so the
# lender gives up the rate for longer by this share.
CLOCK_DRIFT_SHARE = 0.01
LOAN_REQUEST_PERIOD_MS = 1_000
# An entry lends at most this part of its share, so that it can still admit
# new requests of the customer.
MAX_LENT_SHARE = 0.5
# Smaller loans, relative to the share, do not justify a message.
MIN_LOAN_SHARE = 0.05
# Time constant of the exponential average of token use. A lender keeps the
# average use times the margin for itself.
_USE_WINDOW_MS = 10_000.0
_USE_MARGIN = 1.25


@dataclasses.dataclass(slots=True)
class Loan:
    """A rate that was lent or borrowed from `start_ms` until `until_ms`."""

    rate_tokens_per_s: float
    start_ms: int
    until_ms: int


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket of one customer at this entry, with its loans.

    A request is admitted while `tokens` is positive, even if it needs more,
    because a quota share can be smaller than any single request. The bucket
    must refill above zero before the next one is admitted.
    `recent_use_tokens` is the exponentially decayed sum of used tokens.
    `last_refusal_ms` is set by a refusal and cleared at the next tick.
    `requested_loan_id` and `requested_ms` belong to the last loan request;
    `lent` and `borrowed` map loan ids to loans.
    """

    tokens: float
    updated_ms: int
    recent_use_tokens: float = 0.0
    last_refusal_ms: int | None = None
    requested_loan_id: str | None = None
    requested_ms: int = -LOAN_REQUEST_PERIOD_MS
    lent: dict[str, Loan] = dataclasses.field(default_factory=dict)
    borrowed: dict[str, Loan] = dataclasses.field(default_factory=dict)


class QuotasState:
    """Token buckets by customer, and the entry count used for the shares."""

    __slots__ = ("buckets", "entry_count", "next_loan", "next_tick_ms")

    def __init__(self) -> None:
        self.buckets: dict[str, TokenBucket] = {}
        self.entry_count = 0
        self.next_loan = 1
        self.next_tick_ms = 0


def share_tokens_per_s(state: entry_state.EntryState, customer: str) -> float:
    """Return this entry's equal share of a customer's rate, without loans."""
    current = state.configuration.current
    if current is None:
        return 0.0
    customer_settings = current.deployment.customers.get(customer)
    if customer_settings is None:
        return 0.0
    quotas = state.limits.quotas
    if quotas.entry_count == 0:
        quotas.entry_count = membership.entry_count(state)
    return customer_settings.rate_tokens_per_s / quotas.entry_count


def charge(
    state: entry_state.EntryState, customer: str, tokens: int, now_ms: int
) -> int | None:
    """Take tokens from the bucket, or return the retry delay in ms."""
    bucket = _refilled_bucket(state, customer, now_ms)
    if bucket.tokens <= 0.0:
        bucket.last_refusal_ms = now_ms
        rate = _current_rate(state, customer, bucket)
        if rate <= 0.0:
            return LOAN_DURATION_MS
        return math.ceil((1.0 - bucket.tokens) * 1_000 / rate)
    bucket.tokens -= tokens
    bucket.recent_use_tokens += tokens
    return None


def refund(
    state: entry_state.EntryState, customer: str, tokens: int, now_ms: int
) -> None:
    """Return unused tokens to the bucket, up to its capacity."""
    bucket = _refilled_bucket(state, customer, now_ms)
    bucket.recent_use_tokens = max(0.0, bucket.recent_use_tokens - tokens)
    capacity_tokens = _current_rate(state, customer, bucket) * BURST_S
    bucket.tokens = min(bucket.tokens + tokens, capacity_tokens)


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Request a loan from a neighbour per bucket with a recent refusal."""
    quotas = state.limits.quotas
    if event.now_ms < quotas.next_tick_ms:
        return []
    quotas.next_tick_ms = event.now_ms + LOAN_REQUEST_PERIOD_MS
    # Counting iterates over all members, so the count is cached between ticks.
    quotas.entry_count = membership.entry_count(state)
    result: list[effects.Effect] = []
    for customer, bucket in quotas.buckets.items():
        last_refusal_ms = bucket.last_refusal_ms
        bucket.last_refusal_ms = None
        if (
            last_refusal_ms is None
            or event.now_ms - last_refusal_ms > LOAN_REQUEST_PERIOD_MS
        ):
            continue
        if event.now_ms < bucket.requested_ms + LOAN_REQUEST_PERIOD_MS:
            continue
        members = membership.neighbours(state, event.now_ms)
        if not members:
            continue
        member = state.random.choice(members)
        bucket.requested_loan_id = (
            f"{state.entry.vm_id}.{state.entry.incarnation}.{quotas.next_loan}"
        )
        quotas.next_loan += 1
        bucket.requested_ms = event.now_ms
        rate = math.ceil(share_tokens_per_s(state, customer))
        request = messages.QuotaRequest(
            bucket.requested_loan_id, customer, rate
        )
        state.counters.increment("quota_loans", "requested")
        result.extend(membership.send(state, member.entry, request))
    return result


def on_request(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.QuotaRequest,
) -> list[effects.Effect]:
    """Lend the part of a customer's share that this entry does not use."""
    now_ms = event.now_ms
    bucket = _refilled_bucket(state, message.customer, now_ms)
    if message.loan_id in bucket.lent:
        state.counters.increment("quota_loans", "duplicate")
        return []
    rate = _lendable_rate(state, message.customer, bucket)
    rate = math.floor(min(rate, message.rate_tokens_per_s))
    share = share_tokens_per_s(state, message.customer)
    if rate < 1 or rate < MIN_LOAN_SHARE * share:
        state.counters.increment("quota_loans", "refused")
        return []
    lent_ms = LOAN_DURATION_MS + LOAN_DELIVERY_MS
    lent_ms = math.ceil(lent_ms * (1 + CLOCK_DRIFT_SHARE))
    loan = Loan(float(rate), now_ms, now_ms + lent_ms)
    bucket.lent[message.loan_id] = loan
    _cap_to_burst(state, message.customer, bucket)
    state.counters.increment("quota_loans", "lent")
    reply = messages.QuotaLoan(
        message.loan_id, message.customer, rate, LOAN_DURATION_MS
    )
    return membership.reply(state, event.peer_id, reply)


def on_loan(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.QuotaLoan,
) -> list[effects.Effect]:
    """Add a loan if it answers the last request and arrives in time."""
    now_ms = event.now_ms
    bucket = _refilled_bucket(state, message.customer, now_ms)
    is_in_time = now_ms <= bucket.requested_ms + LOAN_DELIVERY_MS
    if message.loan_id != bucket.requested_loan_id or not is_in_time:
        state.counters.increment("quota_loans", "ignored")
        return []
    bucket.requested_loan_id = None
    duration_ms = min(message.duration_ms, LOAN_DURATION_MS)
    bucket.borrowed[message.loan_id] = Loan(
        float(message.rate_tokens_per_s), now_ms, now_ms + duration_ms
    )
    state.counters.increment("quota_loans", "borrowed")
    return []


def _refilled_bucket(
    state: entry_state.EntryState, customer: str, now_ms: int
) -> TokenBucket:
    quotas = state.limits.quotas
    bucket = quotas.buckets.get(customer)
    if bucket is None:
        burst_tokens = share_tokens_per_s(state, customer) * BURST_S
        bucket = TokenBucket(burst_tokens, now_ms)
        quotas.buckets[customer] = bucket
        return bucket
    _refill(state, customer, bucket, now_ms)
    return bucket


def _refill(
    state: entry_state.EntryState,
    customer: str,
    bucket: TokenBucket,
    now_ms: int,
) -> None:
    elapsed_ms = now_ms - bucket.updated_ms
    if elapsed_ms <= 0:
        return
    tokens = share_tokens_per_s(state, customer) * elapsed_ms / 1_000
    tokens += _loaned_tokens(bucket.borrowed, bucket.updated_ms, now_ms)
    tokens -= _loaned_tokens(bucket.lent, bucket.updated_ms, now_ms)
    bucket.tokens += max(0.0, tokens)
    bucket.recent_use_tokens *= math.exp(-elapsed_ms / _USE_WINDOW_MS)
    bucket.updated_ms = now_ms
    _cap_to_burst(state, customer, bucket)


def _loaned_tokens(loans: dict[str, Loan], since_ms: int, now_ms: int) -> float:
    """Return the tokens of loans in a period and drop the ended loans."""
    total = 0.0
    for loan_id, loan in list(loans.items()):
        start_ms = max(since_ms, loan.start_ms)
        active_ms = max(0, min(now_ms, loan.until_ms) - start_ms)
        total += loan.rate_tokens_per_s * active_ms / 1_000
        if now_ms >= loan.until_ms:
            del loans[loan_id]
    return total


def _cap_to_burst(
    state: entry_state.EntryState, customer: str, bucket: TokenBucket
) -> None:
    capacity_tokens = _current_rate(state, customer, bucket) * BURST_S
    bucket.tokens = min(bucket.tokens, capacity_tokens)


def _current_rate(
    state: entry_state.EntryState, customer: str, bucket: TokenBucket
) -> float:
    rate = share_tokens_per_s(state, customer)
    for loan in bucket.borrowed.values():
        rate += loan.rate_tokens_per_s
    for loan in bucket.lent.values():
        rate -= loan.rate_tokens_per_s
    return max(0.0, rate)


def _lendable_rate(
    state: entry_state.EntryState, customer: str, bucket: TokenBucket
) -> float:
    if bucket.borrowed or bucket.tokens <= 0.0:
        return 0.0
    share = share_tokens_per_s(state, customer)
    lent = sum(loan.rate_tokens_per_s for loan in bucket.lent.values())
    use_tokens_per_s = bucket.recent_use_tokens * 1_000 / _USE_WINDOW_MS
    unused = share - lent - use_tokens_per_s * _USE_MARGIN
    return min(unused, share * MAX_LENT_SHARE - lent)
