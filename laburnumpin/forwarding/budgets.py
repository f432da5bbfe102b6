"""Bounds that all entries keep together: repeated sends, and quotas."""

from __future__ import annotations

import collections
import dataclasses

from laburnumpin.forwarding import deployment

# Share of the allowed repeats that the entries use; the rest covers sends
# that cross the ends of windows.
BUDGET_SHARE = 0.7
# A peer whose last digest is older than this is assumed to use its equal part
# of a quota, since its real use is not known.
PEER_SILENT_MS = 1_000
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


class _Account:
    __slots__ = ("assumed", "level", "peer_used", "updated_ms", "used")

    def __init__(self, level: float, now_ms: int) -> None:
        self.level = level
        self.updated_ms = now_ms
        # Units that were taken off for silent peers, until they are heard.
        self.assumed = 0.0
        # Units that this process has admitted since its start.
        self.used = 0.0
        # The same of each peer's incarnation, as its last digest said.
        self.peer_used: dict[str, float] = {}


class Quotas:
    """Customers' quotas, each one bucket that all entries draw from.

    Every entry keeps a copy of each bucket and takes off what the others
    report. The copies differ by what is used between two digests; a bucket
    may go into debt, so the difference does not add up.
    """

    __slots__ = ("_accounts", "_heard_ms")

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._heard_ms: dict[str, int] = {}

    def admit(
        self, customer: deployment.Customer, units: float, now_ms: int
    ) -> int:
        """Take units; return 0, or the milliseconds until there is room."""
        if customer.rate_per_s <= 0:
            return 0
        account = self._advance(customer, now_ms)
        if account.level <= 0:
            missing = -account.level + min(units, customer.burst) * 0.5
            return max(1, int(missing * 1_000 / customer.rate_per_s))
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
        peer: str,
        used: dict[str, float],
        customers: dict[str, deployment.Customer],
        now_ms: int,
    ) -> None:
        """Take off what a peer has used since its digest before."""
        self._heard_ms[peer] = now_ms
        for name, total in used.items():
            customer = customers.get(name)
            if customer is None:
                continue
            account = self._advance(customer, now_ms)
            before = account.peer_used.get(peer)
            account.peer_used[peer] = total
            if before is None:
                continue
            reported = total - before
            covered = min(reported, account.assumed)
            account.assumed -= covered
            account.level -= reported - covered

    def forget(self, peer: str) -> None:
        """Drop a peer that is gone."""
        self._heard_ms.pop(peer, None)
        for account in self._accounts.values():
            account.peer_used.pop(peer, None)

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
        entries = len(self._heard_ms) + 1
        silent = 0
        for heard_ms in self._heard_ms.values():
            if now_ms > heard_ms + PEER_SILENT_MS:
                silent += 1
        gained = customer.rate_per_s * elapsed_ms / 1_000
        assumed = gained * silent / entries
        account.assumed = account.assumed + assumed if silent else 0.0
        account.level += gained - assumed
        lowest = -customer.rate_per_s * MAX_DEBT_S
        account.level = max(lowest, min(account.level, customer.burst))
        return account
