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
# entry, may be cut off; it is left its part of what remains of a quota. Digests
# are 150 ms apart, and 5 ms more for each entry.
PEER_SILENT_MS = 300
PEER_SILENT_MS_PER_ENTRY = 12
# A silent peer keeps its part of the quotas for this long.
PEER_FORGET_MS = 60_000
# A new process starts with this part of a burst: what was used before its
# start is not known to it.
START_BURST_SHARE = 0.5
# Debt of a quota is bounded, in seconds of its rate: use beyond the rate that
# was reported late delays later requests for at most this long.
MAX_DEBT_S = 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class RepeatBound:
    """The bound on repeated sends to a service, from the settings.

    In any `window_ms` the sends beyond the first of each request are at most
    `ratio` times the requests plus `slack`, over all entries.
    """

    ratio: float
    slack: int
    window_ms: int


class RepeatBudget:
    """This entry's part of the bound on repeated sends, by service."""

    __slots__ = ("_bound", "_first", "_repeated")

    def __init__(self, bound: RepeatBound) -> None:
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

    __slots__ = ("level", "updated_ms", "used")

    def __init__(self, level: float, now_ms: int) -> None:
        self.level = level
        self.updated_ms = now_ms
        # Units that this process has admitted since its start.
        self.used = 0.0


class Quotas:
    """Customers' quotas, each one bucket that all entries draw from.

    Every entry keeps a copy of each bucket. Its own part of the rate flows
    into the copy all the time; the part of a peer flows in when a digest
    tells how much of it the peer has used. An entry that hears nobody thus
    admits its own part only, without knowing that it is cut off.
    """

    __slots__ = ("_accounts", "_peers")

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._peers: dict[str, _Peer] = {}

    def admit(
        self, customer: deployment.Customer, units: float, now_ms: int
    ) -> int:
        """Take units; return 0, or the milliseconds until there is room."""
        if customer.rate_per_s <= 0:
            return 0
        self._leave_to_silent(now_ms)
        account = self._advance(customer, now_ms)
        if account.level <= 0:
            missing = -account.level + min(units, customer.burst) * 0.5
            # Where the peers use their parts, this entry's own fills it.
            rate = customer.rate_per_s / self._entries()
            return max(1, math.ceil(missing * 1_000 / rate))
        account.level -= units
        account.used += units
        return 0

    def give_back(self, customer: deployment.Customer, units: float) -> None:
        """Return the units of a request that was not run."""
        account = self._accounts.get(customer.name)
        if account is not None and customer.rate_per_s > 0:
            account.level += units
            account.used -= units

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
        part = elapsed_s / self._entries()
        for customer in customers.values():
            if customer.rate_per_s <= 0:
                continue
            account = self._advance(customer, now_ms)
            newly = used.get(customer.name, 0.0)
            newly -= peer.used.get(customer.name, 0.0)
            account.level += customer.rate_per_s * part - newly
            _clip(account, customer)
        peer.heard_ms = now_ms
        peer.is_silent = False
        peer.used = dict(used)

    def _entries(self) -> int:
        return len(self._peers) + 1

    def _leave_to_silent(self, now_ms: int) -> None:
        """Leave peers that fell silent their part of what remains."""
        entries = self._entries()
        silent_ms = PEER_SILENT_MS + PEER_SILENT_MS_PER_ENTRY * entries
        for name, peer in list(self._peers.items()):
            if now_ms > peer.heard_ms + PEER_FORGET_MS:
                del self._peers[name]
                continue
            if peer.is_silent or now_ms <= peer.heard_ms + silent_ms:
                continue
            peer.is_silent = True
            hearing = sum(1 for p in self._peers.values() if not p.is_silent)
            for account in self._accounts.values():
                if account.level > 0:
                    account.level *= (hearing + 1) / (hearing + 2)

    def _advance(self, customer: deployment.Customer, now_ms: int) -> _Account:
        account = self._accounts.get(customer.name)
        if account is None:
            level = customer.burst * START_BURST_SHARE
            account = _Account(level, now_ms)
            self._accounts[customer.name] = account
            return account
        elapsed_ms = now_ms - account.updated_ms
        if elapsed_ms <= 0:
            return account
        account.updated_ms = now_ms
        rate = customer.rate_per_s / self._entries()
        account.level += rate * elapsed_ms / 1_000
        _clip(account, customer)
        return account


def _clip(account: _Account, customer: deployment.Customer) -> None:
    lowest = -customer.rate_per_s * MAX_DEBT_S
    account.level = max(lowest, min(account.level, customer.burst))
