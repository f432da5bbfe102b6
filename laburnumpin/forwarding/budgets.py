"""Bounds that all entries keep together: repeated sends, and quotas."""

from __future__ import annotations

import collections
import dataclasses
import math

from laburnumpin.forwarding import deployment

# Share of the allowed repeats that the entries use; the rest covers sends
# that cross the ends of windows.
BUDGET_SHARE = 0.7
# A peer whose last digest is older than this, and by this much more for each
# entry, may be cut off; it is left its part of what remains of a quota. It is
# two periods of the digests.
PEER_SILENT_MS = 300
PEER_SILENT_MS_PER_ENTRY = 16
# Time constant over which the use of a customer is averaged.
USE_WINDOW_MS = 4_000
# An entry's part of a scarce quota: one half is divided equally, the other in
# proportion to the use.
EQUAL_SHARE = 0.5
# A silent peer keeps its part of the quotas for this long.
PEER_FORGET_MS = 60_000
# A new process starts with this part of a burst: what was used before its
# start is not known to it.
START_BURST_SHARE = 0.5
# Part of the wait for an entry's own part that callers are told: the parts that
# other entries leave unused come to it too.
SHARED_WAIT = 0.5
# While a quota is scarce nothing is admitted below this debt, in seconds of the
# rate.
LOWEST_SCARCE_S = 0.5
# Part of what the bound allows beyond the quotas that is taken as room; the
# rest covers sudden changes that the others do not know of yet.
RESERVE_SHARE = 0.5
# A new process has heard the others after this time.
RESERVE_AFTER_MS = 3_000
# Debt of a quota is bounded, in seconds of its rate: use beyond the rate that
# was reported late delays later requests for at most this long.
MAX_DEBT_S = 8.0


@dataclasses.dataclass(slots=True, frozen=True)
class RetryLimit:
    """The bound on repeated sends to a service, from the settings.

    In any `window_ms` the sends beyond the first of each request are at most
    `ratio` times the requests plus `slack`, over all entries.
    """

    ratio: float
    slack: int
    window_ms: int


class RetryBudget:
    """This entry's part of the bound on repeated sends, by service."""

    __slots__ = ("_bound", "_first", "_repeated")

    def __init__(self, bound: RetryLimit) -> None:
        self._bound = bound
        self._first: dict[str, collections.deque[int]] = {}
        self._repeated: dict[str, collections.deque[int]] = {}

    def record_first(self, service: str, now_ms: int) -> None:
        """Count a request for a service."""
        self._times(self._first, service, now_ms).append(now_ms)

    def take(self, service: str, now_ms: int, entries: int) -> bool:
        """Take one repeated send out of the budget; False if it is spent."""
        first = self._times(self._first, service, now_ms)
        repeated = self._times(self._repeated, service, now_ms)
        allowed = self._bound.ratio * len(first)
        allowed += self._bound.slack / max(1, entries)
        if len(repeated) + 1 > allowed * BUDGET_SHARE:
            return False
        repeated.append(now_ms)
        return True

    def _times(
        self,
        by_service: dict[str, collections.deque[int]],
        service: str,
        now_ms: int,
    ) -> collections.deque[int]:
        times = by_service.setdefault(service, collections.deque())
        while times and times[0] <= now_ms - self._bound.window_ms:
            times.popleft()
        return times


class _Peer:
    """What the digests of one entry said of its use."""

    __slots__ = ("heard_ms", "incarnation_ms", "is_silent", "used")

    def __init__(self, incarnation_ms: int, now_ms: int) -> None:
        self.incarnation_ms = incarnation_ms
        self.heard_ms = now_ms
        self.is_silent = False
        # Units since the peer's start, by customer.
        self.used: dict[str, float] = {}


class _Account:
    """One customer's bucket, as this entry sees it."""

    __slots__ = (
        "all_use",
        "flow_s",
        "level",
        "own_level",
        "own_use",
        "updated_ms",
        "used",
    )

    def __init__(self, level: float, now_ms: int) -> None:
        self.level = level
        # The flow from peers up to which the level is counted.
        self.flow_s = 0.0
        # This entry's own part while the quota is scarce.
        self.own_level = 0.0
        # Units used lately here and everywhere, decaying exponentially.
        self.own_use = 0.0
        self.all_use = 0.0
        self.updated_ms = now_ms
        # Units that this process has admitted since its start.
        self.used = 0.0


class Quotas:
    """Customers' quotas, each one bucket that all entries draw from.

    Every entry keeps a copy of each bucket. Its own part of the rate flows
    into the copy all the time; the part of a peer flows in when a digest
    tells how much of it the peer has used. An entry that hears nobody thus
    admits its own part only, without knowing that it is cut off.

    All copies show the same room, so that entries which all used it would
    take it many times over before the next digests. Room is taken freely only
    as long as more is left than all use in that time; after that each entry
    has a part of its own, which it may overdraw by one request. What the
    bound allows beyond the quotas counts as room in part, as far as the other
    entries are heard.
    """

    __slots__ = (
        "_accounts",
        "_expected",
        "_flow_s",
        "_peers",
        "_reserve",
        "_slack_units",
        "_started_ms",
    )

    def __init__(self, slack_units: float = 0.0) -> None:
        self._slack_units = slack_units
        self._accounts: dict[str, _Account] = {}
        self._peers: dict[str, _Peer] = {}
        # Entries that there are as far as is known, heard or not.
        self._expected = 1
        # What may be taken beyond a quota, in units.
        self._reserve = 0.0
        # Parts of peers that have flowed in, in seconds of the whole rate.
        self._flow_s = 0.0
        self._started_ms: int | None = None

    def expect(self, entries: int) -> None:
        """Count on a number of entries although fewer are heard."""
        self._expected = entries

    def admit(
        self, customer: deployment.Customer, units: float, now_ms: int
    ) -> int:
        """Take units; return 0, or the milliseconds until there is room."""
        if customer.rate_per_s <= 0:
            return 0
        self._leave_to_silent(now_ms)
        self._set_reserve(now_ms)
        account = self._advance(customer, now_ms)
        use = account.all_use
        if self._reserve <= 0:
            # What is not heard of yet may be more than before: as much as if
            # every entry had begun to use what this one does.
            use = max(use, account.own_use * self._entries())
        unseen = use * self._silent_ms() / USE_WINDOW_MS
        is_free = account.level + self._reserve > unseen + units
        lowest = self._lowest(customer)
        if not is_free and (account.own_level < 0 or account.level < lowest):
            missing = max(0.0, -account.own_level) + units * 0.1
            own_s = missing / (customer.rate_per_s * self._own_part(account))
            # What others leave makes the wait shorter, down to the time that
            # the whole quota needs.
            all_s = max(0.0, lowest - account.level) / customer.rate_per_s
            if self._peers:
                own_s *= SHARED_WAIT
            return max(1, math.ceil((all_s + own_s) * 1_000))
        account.level -= units
        account.used += units
        account.own_use += units
        account.all_use += units
        if not is_free:
            account.own_level -= units
        return 0

    def give_back(self, customer: deployment.Customer, units: float) -> None:
        """Return the units of a request that was not run."""
        account = self._accounts.get(customer.name)
        if account is not None and customer.rate_per_s > 0:
            account.level += units
            account.used -= units
            account.own_use = max(0.0, account.own_use - units)
            account.all_use = max(0.0, account.all_use - units)

    def level(self, customer: str) -> float:
        """Return the units left of a customer; negative when in debt."""
        account = self._accounts.get(customer)
        return 0.0 if account is None else round(account.level)

    def used(self) -> dict[str, float]:
        """Return the units used here since the start, by customer."""
        return {name: own.used for name, own in self._accounts.items()}

    def hear(
        self,
        name: str,
        incarnation_ms: int,
        used: dict[str, float],
        customers: dict[str, deployment.Customer],
        now_ms: int,
    ) -> None:
        """Take over what a peer has left of its part since its last digest."""
        self._uptime_ms(now_ms)
        peer = self._peers.get(name)
        if peer is None:
            peer = _Peer(incarnation_ms, now_ms)
            self._peers[name] = peer
            # What it used before is not known to belong to this span.
            peer.used = dict(used)
        if peer.incarnation_ms != incarnation_ms:
            peer.incarnation_ms = incarnation_ms
            peer.used = {}
        elapsed_s = (now_ms - peer.heard_ms) / 1_000
        self._flow_s += elapsed_s / self._entries()
        for customer_name, units in used.items():
            newly = units - peer.used.get(customer_name, 0.0)
            customer = customers.get(customer_name)
            if not newly or customer is None or customer.rate_per_s <= 0:
                continue
            account = self._advance(customer, now_ms)
            account.level -= newly
            account.all_use += max(0.0, newly)
            _clip(account, customer)
        peer.heard_ms = now_ms
        peer.is_silent = False
        peer.used = used

    def _entries(self) -> int:
        return max(len(self._peers) + 1, self._expected)

    def _hearing(self) -> int:
        """Return the entries that are heard, this one included."""
        return 1 + sum(not peer.is_silent for peer in self._peers.values())

    def _uptime_ms(self, now_ms: int) -> int:
        """Return the time since the quotas were first used."""
        if self._started_ms is None:
            self._started_ms = now_ms
        return now_ms - self._started_ms

    def _silent_ms(self) -> int:
        return PEER_SILENT_MS + PEER_SILENT_MS_PER_ENTRY * self._entries()

    def _lowest(self, customer: deployment.Customer) -> float:
        """Return the level below which nothing is admitted."""
        return -customer.rate_per_s * LOWEST_SCARCE_S - self._reserve

    def _set_reserve(self, now_ms: int) -> None:
        if self._uptime_ms(now_ms) < RESERVE_AFTER_MS:
            return
        heard_share = self._hearing() / self._entries()
        self._reserve = self._slack_units * RESERVE_SHARE * heard_share

    def _own_part(self, account: _Account) -> float:
        part = EQUAL_SHARE / self._entries()
        if account.all_use > 0:
            used = min(1.0, account.own_use / account.all_use)
            return part + (1 - EQUAL_SHARE) * used
        return part * 2

    def _leave_to_silent(self, now_ms: int) -> None:
        """Leave peers that fell silent their part of what remains."""
        silent_ms = self._silent_ms()
        for name, peer in list(self._peers.items()):
            if now_ms > peer.heard_ms + PEER_FORGET_MS:
                del self._peers[name]
                continue
            if peer.is_silent or now_ms <= peer.heard_ms + silent_ms:
                continue
            peer.is_silent = True
            hearing = self._hearing()
            for account in self._accounts.values():
                if account.level > 0:
                    account.level *= hearing / (hearing + 1)

    def _advance(self, customer: deployment.Customer, now_ms: int) -> _Account:
        account = self._accounts.get(customer.name)
        if account is None:
            since_s = self._uptime_ms(now_ms) / 1_000
            level = customer.burst * START_BURST_SHARE
            level += customer.rate_per_s * since_s / self._entries()
            level += customer.rate_per_s * self._flow_s
            account = _Account(min(level, customer.burst), now_ms)
            account.flow_s = self._flow_s
            self._accounts[customer.name] = account
            return account
        flow_s = self._flow_s - account.flow_s
        account.flow_s = self._flow_s
        account.level += customer.rate_per_s * flow_s
        elapsed_ms = now_ms - account.updated_ms
        if elapsed_ms > 0:
            self._age(account, customer, elapsed_ms)
            account.updated_ms = now_ms
        _clip(account, customer)
        return account

    def _age(
        self,
        account: _Account,
        customer: deployment.Customer,
        elapsed_ms: int,
    ) -> None:
        """Let the own part of the rate flow in, and past use fade."""
        gained = customer.rate_per_s * elapsed_ms / 1_000
        account.level += gained / self._entries()
        decay = math.exp(-elapsed_ms / USE_WINDOW_MS)
        account.own_use *= decay
        account.all_use *= decay
        part = self._own_part(account)
        if account.level > self._lowest(customer):
            account.own_level += gained * part
        account.own_level = min(account.own_level, customer.burst * part)


def _clip(account: _Account, customer: deployment.Customer) -> None:
    lowest = -customer.rate_per_s * MAX_DEBT_S
    account.level = max(lowest, min(account.level, customer.burst))
