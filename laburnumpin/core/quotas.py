"""Customers' token rates: shares of the entries, and loans between them.

Each entry has an equal share of a customer's rate. Loans move part of a share
for a fixed time. No clocks are compared: the lender gives up the rate from the
moment it sends the loan, for longer than the borrower can use it.
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

# A customer may use its share of this many seconds at once.
BURST_S = 10.0
LOAN_DURATION_MS = 10_000
# The borrower takes a loan only within this time after its request.
LOAN_DELIVERY_MS = 2_000
# The lender's clock may run faster than the borrower's by this share.
CLOCK_DRIFT_SHARE = 0.01
REQUEST_PERIOD_MS = 1_000
# An entry lends at most this part of its share, so that new requests of the
# customer still start here.
MAX_LENT_SHARE = 0.5
# Smaller loans are not worth their message.
MIN_LOAN_SHARE = 0.05
# Use is averaged over this time; a lender keeps more than its present use.
_USE_WINDOW_MS = 10_000.0
_USE_MARGIN = 1.25


@dataclasses.dataclass(slots=True)
class Loan:
    """A rate that was lent or borrowed from `start_ms` until `until_ms`."""

    rate_tokens_per_s: float
    start_ms: int
    until_ms: int


@dataclasses.dataclass(slots=True)
class Account:
    """One customer's tokens at this entry.

    `tokens` may go below zero by one request, which is paid back before the
    next one is admitted. A share can be smaller than any single request.
    """

    tokens: float
    updated_ms: int
    use_tokens: float = 0.0
    wanted_ms: int | None = None
    request_id: str | None = None
    requested_ms: int = -REQUEST_PERIOD_MS
    lent: dict[str, Loan] = dataclasses.field(default_factory=dict)
    borrowed: dict[str, Loan] = dataclasses.field(default_factory=dict)


class QuotasState:
    """Accounts by customer."""

    __slots__ = ("accounts", "entry_count", "next_loan", "next_tick_ms")

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}
        self.entry_count = 0
        self.next_loan = 1
        self.next_tick_ms = 0


def share_tokens_per_s(state: entry_state.EntryState, customer: str) -> float:
    """Return this entry's even share of a customer's rate."""
    current = state.configuration.current
    if current is None:
        return 0.0
    known = current.deployment.customers.get(customer)
    if known is None:
        return 0.0
    own = state.limits.quotas
    if own.entry_count == 0:
        own.entry_count = membership.entry_count(state)
    return known.rate_tokens_per_s / own.entry_count


def charge(
    state: entry_state.EntryState, customer: str, tokens: int, now_ms: int
) -> int | None:
    """Take tokens, or return after how many ms to try again."""
    account = _account(state, customer, now_ms)
    if account.tokens <= 0.0:
        account.wanted_ms = now_ms
        rate = _rate(state, customer, account)
        if rate <= 0.0:
            return LOAN_DURATION_MS
        return math.ceil((1.0 - account.tokens) * 1_000 / rate)
    account.tokens -= tokens
    account.use_tokens += tokens
    return None


def refund(
    state: entry_state.EntryState, customer: str, tokens: int, now_ms: int
) -> None:
    """Give back tokens that a request did not use."""
    account = _account(state, customer, now_ms)
    account.use_tokens = max(0.0, account.use_tokens - tokens)
    capacity = _rate(state, customer, account) * BURST_S
    account.tokens = min(account.tokens + tokens, capacity)


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Ask a neighbour for a loan for customers whose share is used up."""
    own = state.limits.quotas
    if event.now_ms < own.next_tick_ms:
        return []
    own.next_tick_ms = event.now_ms + REQUEST_PERIOD_MS
    # Counting looks at all members, so it is not done for each request.
    own.entry_count = membership.entry_count(state)
    result: list[effects.Effect] = []
    for customer, account in own.accounts.items():
        wanted_ms = account.wanted_ms
        account.wanted_ms = None
        if wanted_ms is None or event.now_ms - wanted_ms > REQUEST_PERIOD_MS:
            continue
        if event.now_ms < account.requested_ms + REQUEST_PERIOD_MS:
            continue
        members = membership.neighbours(state, event.now_ms)
        if not members:
            continue
        member = state.random.choice(members)
        account.request_id = (
            f"{state.entry.vm_id}.{state.entry.incarnation}.{own.next_loan}"
        )
        own.next_loan += 1
        account.requested_ms = event.now_ms
        rate = math.ceil(share_tokens_per_s(state, customer))
        request = messages.QuotaRequest(account.request_id, customer, rate)
        state.counters.increment("quota_loans", "requested")
        result.extend(membership.send(state, member.entry, request))
    return result


def on_request(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.QuotaRequest,
) -> list[effects.Effect]:
    """Lend what this entry does not use of a customer's share."""
    now_ms = event.now_ms
    account = _account(state, message.customer, now_ms)
    if message.loan_id in account.lent:
        state.counters.increment("quota_loans", "duplicate")
        return []
    rate = _lendable(state, message.customer, account)
    rate = math.floor(min(rate, message.rate_tokens_per_s))
    share = share_tokens_per_s(state, message.customer)
    if rate < 1 or rate < MIN_LOAN_SHARE * share:
        state.counters.increment("quota_loans", "refused")
        return []
    held_ms = LOAN_DURATION_MS + LOAN_DELIVERY_MS
    held_ms = math.ceil(held_ms * (1 + CLOCK_DRIFT_SHARE))
    loan = Loan(float(rate), now_ms, now_ms + held_ms)
    account.lent[message.loan_id] = loan
    _clip(state, message.customer, account)
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
    """Add a loan, if it answers the last request and is in time."""
    now_ms = event.now_ms
    account = _account(state, message.customer, now_ms)
    in_time = now_ms <= account.requested_ms + LOAN_DELIVERY_MS
    if message.loan_id != account.request_id or not in_time:
        state.counters.increment("quota_loans", "ignored")
        return []
    account.request_id = None
    duration_ms = min(message.duration_ms, LOAN_DURATION_MS)
    account.borrowed[message.loan_id] = Loan(
        float(message.rate_tokens_per_s), now_ms, now_ms + duration_ms
    )
    state.counters.increment("quota_loans", "borrowed")
    return []


def _account(
    state: entry_state.EntryState, customer: str, now_ms: int
) -> Account:
    own = state.limits.quotas
    account = own.accounts.get(customer)
    if account is None:
        burst = share_tokens_per_s(state, customer) * BURST_S
        account = Account(burst, now_ms)
        own.accounts[customer] = account
        return account
    _advance(state, customer, account, now_ms)
    return account


def _advance(
    state: entry_state.EntryState, customer: str, account: Account, now_ms: int
) -> None:
    elapsed_ms = now_ms - account.updated_ms
    if elapsed_ms <= 0:
        return
    tokens = share_tokens_per_s(state, customer) * elapsed_ms / 1_000
    tokens += _moved(account.borrowed, account.updated_ms, now_ms)
    tokens -= _moved(account.lent, account.updated_ms, now_ms)
    account.tokens += max(0.0, tokens)
    account.use_tokens *= math.exp(-elapsed_ms / _USE_WINDOW_MS)
    account.updated_ms = now_ms
    _clip(state, customer, account)


def _moved(loans: dict[str, Loan], since_ms: int, now_ms: int) -> float:
    """Return the tokens of loans in a period, and drop those that ended."""
    total = 0.0
    for loan_id, loan in list(loans.items()):
        start_ms = max(since_ms, loan.start_ms)
        active_ms = max(0, min(now_ms, loan.until_ms) - start_ms)
        total += loan.rate_tokens_per_s * active_ms / 1_000
        if now_ms >= loan.until_ms:
            del loans[loan_id]
    return total


def _clip(
    state: entry_state.EntryState, customer: str, account: Account
) -> None:
    capacity = _rate(state, customer, account) * BURST_S
    account.tokens = min(account.tokens, capacity)


def _rate(
    state: entry_state.EntryState, customer: str, account: Account
) -> float:
    rate = share_tokens_per_s(state, customer)
    for loan in account.borrowed.values():
        rate += loan.rate_tokens_per_s
    for loan in account.lent.values():
        rate -= loan.rate_tokens_per_s
    return max(0.0, rate)


def _lendable(
    state: entry_state.EntryState, customer: str, account: Account
) -> float:
    if account.borrowed or account.tokens <= 0.0:
        return 0.0
    share = share_tokens_per_s(state, customer)
    lent = sum(loan.rate_tokens_per_s for loan in account.lent.values())
    use = account.use_tokens * 1_000 / _USE_WINDOW_MS
    unused = share - lent - use * _USE_MARGIN
    return min(unused, share * MAX_LENT_SHARE - lent)
