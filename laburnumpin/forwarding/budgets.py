"""Limits on retries and customers' quotas, summed over all entries.

Entries don't coordinate for each request. Each enforces its own share of a
limit, which it computes from the digests of its peers.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from laburnumpin.forwarding import deployment

# Share of the allowed retries that the entries use; the rest covers requests
# and retries that fall into different windows.
RETRY_LIMIT_SHARE = 0.7
# Age of the last digest at which a peer counts as partitioned, with what each
# entry adds: two digest periods. Its share of the remaining quotas is then
# reserved for it.
PEER_TIMEOUT_MS = 300
PEER_TIMEOUT_MS_PER_ENTRY = 16
# Time constant of the exponential decay of a customer's recent use.
USAGE_TIME_CONSTANT_MS = 4_000
# Part of a scarce quota that is divided equally among the entries; the rest is
# divided in proportion to their recent use.
EQUAL_SHARE = 0.5
# A peer without digests keeps its share of the quotas for this long.
QUOTA_SHARE_EXPIRY_MS = 60_000
# A new process starts with this share of a burst, since it has no record of the
# units used before its start.
INITIAL_BURST_SHARE = 0.5
# A peer that has run for this long has seen what the fleet used in any window
# of a quota. A new process that knows no such peer may have been started
# together with all others, so it takes only its part of the initial burst.
WARM_UPTIME_MS = 10_000
# Requests that are refused until then are to return after this time, in which
# the first digests should arrive.
COLD_START_RETRY_MS = 500
# Share of the entries whose digests replace such a peer.
KNOWN_ENTRIES_SHARE = 0.5
# Rejected callers are to retry after this share of the wait for the entry's own
# quota share, since units that other entries leave unused become available here
# too.
RETRY_AFTER_SHARE = 0.5
# While a quota is scarce, nothing is admitted beyond this debt, in seconds of
# the rate.
MAX_SCARCE_DEBT_S = 0.5
# Share of the permitted use beyond the quotas that is admitted; the rest covers
# sudden changes of use that no digest has reported yet.
OVERDRAFT_SHARE = 0.5
# Uptime before which nothing is admitted beyond a quota: a new process has not
# received the digests of all reachable peers yet.
OVERDRAFT_AFTER_MS = 3_000
# Limit of a quota's debt, in seconds of its rate: use beyond the rate that was
# reported late delays later requests for at most this long.
MAX_DEBT_S = 8.0


@dataclasses.dataclass(slots=True, frozen=True)
class RetryLimit:
    """The limit on retries to a service, from the settings.

    In any `window_ms` the sends beyond the first of each request are at most
    `ratio` times the requests plus `slack`, summed over all entries.
    """

    ratio: float
    slack: int
    window_ms: int


class RetryBudget:
    """This entry's share of the retry limit, by service.

    The `ratio` applies to its own requests; the `slack` is divided equally
    among the entries.
    """

    __slots__ = ("_limit", "_request_times", "_retry_times", "_slack_from_ms")

    def __init__(self, limit: RetryLimit) -> None:
        self._limit = limit
        self._slack_from_ms: int | None = None
        self._request_times: dict[str, collections.deque[int]] = {}
        self._retry_times: dict[str, collections.deque[int]] = {}

    def record_request(self, service: str, now_ms: int) -> None:
        """Count the first send of a request to a service."""
        self._times_in_window(self._request_times, service, now_ms).append(
            now_ms
        )

    def withhold_slack(self, now_ms: int) -> None:
        """Use none of the slack for a window from now on.

        The process that ran in this one's place before may have used all of
        its share in the window before its end.
        """
        self._slack_from_ms = now_ms + self._limit.window_ms

    def has_room(
        self, service: str, now_ms: int, entries: int, *, is_move: bool = False
    ) -> bool:
        """Return whether the budget allows one more retry.

        `entries` is the number of entries that share the slack. The move of a
        stream, which would break off otherwise, may use what the former process
        in this one's place has left of the slack in any case.
        """
        request_times = self._times_in_window(
            self._request_times, service, now_ms
        )
        retry_times = self._times_in_window(self._retry_times, service, now_ms)
        slack = self._limit.slack / max(1, entries)
        allowed = self._limit.ratio * len(request_times) * RETRY_LIMIT_SHARE
        if self._slack_from_ms is None or now_ms >= self._slack_from_ms:
            allowed += slack * RETRY_LIMIT_SHARE
        elif is_move:
            allowed += slack * (1 - RETRY_LIMIT_SHARE)
        return len(retry_times) + 1 <= allowed

    def take(
        self, service: str, now_ms: int, entries: int, *, is_move: bool = False
    ) -> bool:
        """Take one retry out of the budget; return False if it is spent."""
        if not self.has_room(service, now_ms, entries, is_move=is_move):
            return False
        self._times_in_window(self._retry_times, service, now_ms).append(now_ms)
        return True

    def _times_in_window(
        self,
        by_service: dict[str, collections.deque[int]],
        service: str,
        now_ms: int,
    ) -> collections.deque[int]:
        times = by_service.setdefault(service, collections.deque())
        while times and times[0] <= now_ms - self._limit.window_ms:
            times.popleft()
        return times


class _PeerUsage:
    """Usage that the digests of one peer have reported."""

    __slots__ = ("incarnation_ms", "is_timed_out", "last_digest_ms", "used")

    def __init__(self, incarnation_ms: int, now_ms: int) -> None:
        self.incarnation_ms = incarnation_ms
        self.last_digest_ms = now_ms
        self.is_timed_out = False
        # Units admitted since the peer's start, by customer.
        self.used: dict[str, float] = {}


class _Bucket:
    """This entry's copy of one customer's token bucket."""

    __slots__ = (
        "level",
        "own_level",
        "own_usage",
        "peer_refill_s",
        "total_usage",
        "updated_ms",
        "used",
        "withheld_units",
    )

    def __init__(
        self, level: float, withheld_units: float, now_ms: int
    ) -> None:
        # Units left; negative when in debt.
        self.level = level
        # The peers' parts of the initial burst, until the fleet is known.
        self.withheld_units = withheld_units
        # `Quotas._peer_refill_s` as of the last refill.
        self.peer_refill_s = 0.0
        # Units left of this entry's own share while the quota is scarce.
        self.own_level = 0.0
        # Recent use here and at all entries in units, decaying exponentially.
        self.own_usage = 0.0
        self.total_usage = 0.0
        self.updated_ms = now_ms
        # Units admitted by this process since its start.
        self.used = 0.0


class Quotas:
    """Customers' quotas, each one token bucket that all entries draw from.

    Every entry keeps a copy of each bucket. The entry's own share of the rate
    refills the copy continuously; the share of a peer is added when a digest
    reports how much of it the peer has used. An entry that receives no digests
    therefore admits only its own share, and need not detect the partition.

    All copies show about the same level. If every entry used all of it, the
    quota would be exceeded many times over before the next digests arrive, so
    units are admitted freely only while more is left than all entries use in
    that time. Below that, each entry is limited to its own share, which it may
    overdraw by one request.

    `slack_units` is the use beyond a quota that the deployment permits. A part
    of it may be admitted, in proportion to the entries that are reachable.
    """

    __slots__ = (
        "_buckets",
        "_expected_entries",
        "_knows_fleet",
        "_overdraft_units",
        "_peer_refill_s",
        "_peers",
        "_slack_units",
        "_started_ms",
    )

    def __init__(self, slack_units: float = 0.0) -> None:
        self._slack_units = slack_units
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _PeerUsage] = {}
        # Known entries, including those that have sent no digest.
        self._expected_entries = 1
        # Whether digests show how much of the quotas the fleet uses.
        self._knows_fleet = False
        # Units that may be admitted beyond a quota.
        self._overdraft_units = 0.0
        # Shares of peers added since the start, in seconds of the whole rate.
        self._peer_refill_s = 0.0
        self._started_ms: int | None = None

    def set_expected_entries(self, entries: int) -> None:
        """Divide the quotas among at least this many entries."""
        self._expected_entries = entries

    def admit(
        self, customer: deployment.Customer, units: float, now_ms: int
    ) -> int:
        """Admit a request of so many units.

        Return 0, or the milliseconds after which the caller should retry.
        """
        if customer.rate_per_s <= 0:
            return 0
        self._reserve_for_timed_out(now_ms)
        self._update_overdraft(now_ms)
        bucket = self._refilled(customer, now_ms)
        use = bucket.total_usage
        if self._overdraft_units <= 0:
            # Peers may use more by now than they have reported: as much as if
            # each had begun to use what this entry does.
            use = max(use, bucket.own_usage * self._entry_count())
        unreported_use = use * self._peer_timeout_ms() / USAGE_TIME_CONSTANT_MS
        is_plentiful = (
            bucket.level + self._overdraft_units > unreported_use + units
        )
        min_level = self._min_level(customer)
        if not is_plentiful and self._may_be_cold_start(now_ms):
            return COLD_START_RETRY_MS
        if not is_plentiful and (
            bucket.own_level < 0 or bucket.level < min_level
        ):
            deficit = max(0.0, -bucket.own_level) + units * 0.1
            own_wait_s = deficit / (
                customer.rate_per_s * self._own_share(bucket)
            )
            # Units that other entries leave unused shorten the wait, but not
            # below the time in which the whole quota recovers from its debt.
            total_wait_s = (
                max(0.0, min_level - bucket.level) / customer.rate_per_s
            )
            if self._peers:
                own_wait_s *= RETRY_AFTER_SHARE
            return max(1, math.ceil((total_wait_s + own_wait_s) * 1_000))
        bucket.level -= units
        bucket.used += units
        bucket.own_usage += units
        bucket.total_usage += units
        if not is_plentiful:
            bucket.own_level -= units
        return 0

    def refund(self, customer: deployment.Customer, units: float) -> None:
        """Give back the units of a request that was not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None and customer.rate_per_s > 0:
            bucket.level += units
            bucket.used -= units
            bucket.own_usage = max(0.0, bucket.own_usage - units)
            bucket.total_usage = max(0.0, bucket.total_usage - units)

    def level(self, customer: str) -> float:
        """Return the units left to a customer; negative when in debt."""
        bucket = self._buckets.get(customer)
        return 0.0 if bucket is None else round(bucket.level)

    def used(self) -> dict[str, float]:
        """Return the units admitted here since the start, by customer."""
        return {name: bucket.used for name, bucket in self._buckets.items()}

    def low_levels(
        self, customers: dict[str, deployment.Customer], now_ms: int
    ) -> dict[str, float]:
        """Return the units left to customers that have used much, for peers.

        The others have at least what a new process starts with.
        """
        levels = {}
        for name in self._buckets:
            customer = customers.get(name)
            if customer is None or customer.rate_per_s <= 0:
                continue
            level = self._refilled(customer, now_ms).level
            if level < customer.burst * INITIAL_BURST_SHARE:
                levels[name] = level
        return levels

    def apply_peer_usage(
        self,
        name: str,
        incarnation_ms: int,
        used: dict[str, float],
        customers: dict[str, deployment.Customer],
        now_ms: int,
        peer_uptime_ms: int = 0,
        low_levels: dict[str, float] | None = None,
    ) -> None:
        """Add what a peer has left unused of its share since its last digest.

        `used` are the units that it has admitted since its start, and
        `low_levels` those that it takes to be left to some customers.
        """
        is_new = self._uptime_ms(now_ms) < WARM_UPTIME_MS
        is_warm = peer_uptime_ms >= WARM_UPTIME_MS
        if is_warm:
            self._knows_fleet = True
        peer = self._peers.get(name)
        if peer is None:
            peer = _PeerUsage(incarnation_ms, now_ms)
            self._peers[name] = peer
            # When it used these units is unknown, so they are not subtracted.
            peer.used = dict(used)
            if is_new and is_warm:
                self._adopt_levels(low_levels or {}, customers, now_ms)
        if peer.incarnation_ms != incarnation_ms:
            peer.incarnation_ms = incarnation_ms
            peer.used = {}
        elapsed_s = (now_ms - peer.last_digest_ms) / 1_000
        self._peer_refill_s += elapsed_s / self._entry_count()
        for customer_name, units in used.items():
            new_units = units - peer.used.get(customer_name, 0.0)
            customer = customers.get(customer_name)
            if not new_units or customer is None or customer.rate_per_s <= 0:
                continue
            bucket = self._refilled(customer, now_ms)
            bucket.level -= new_units
            bucket.total_usage += max(0.0, new_units)
            _clamp_level(bucket, customer)
        peer.last_digest_ms = now_ms
        peer.is_timed_out = False
        peer.used = used
        if len(self._peers) + 1 >= KNOWN_ENTRIES_SHARE * self._entry_count():
            self._knows_fleet = True

    def _adopt_levels(
        self,
        levels: dict[str, float],
        customers: dict[str, deployment.Customer],
        now_ms: int,
    ) -> None:
        """Take from a peer that has seen the use before this one's start."""
        for name, level in levels.items():
            customer = customers.get(name)
            if customer is None or customer.rate_per_s <= 0:
                continue
            bucket = self._refilled(customer, now_ms)
            bucket.level = min(bucket.level, level)
            _clamp_level(bucket, customer)

    def _may_be_cold_start(self, now_ms: int) -> bool:
        """Return whether all entries may have started at the same time.

        If each of many overdrew its share by one request then, the quota would
        be exceeded.
        """
        if self._knows_fleet or self._entry_count() == 1:
            return False
        return self._uptime_ms(now_ms) < OVERDRAFT_AFTER_MS

    def _entry_count(self) -> int:
        return max(len(self._peers) + 1, self._expected_entries)

    def _reachable_count(self) -> int:
        """Return the number of reachable entries, this one included."""
        return 1 + sum(not peer.is_timed_out for peer in self._peers.values())

    def _uptime_ms(self, now_ms: int) -> int:
        """Return the time since the quotas were first used."""
        if self._started_ms is None:
            self._started_ms = now_ms
        return now_ms - self._started_ms

    def _peer_timeout_ms(self) -> int:
        return PEER_TIMEOUT_MS + PEER_TIMEOUT_MS_PER_ENTRY * self._entry_count()

    def _min_level(self, customer: deployment.Customer) -> float:
        """Return the level below which nothing is admitted."""
        return -customer.rate_per_s * MAX_SCARCE_DEBT_S - self._overdraft_units

    def _update_overdraft(self, now_ms: int) -> None:
        if self._uptime_ms(now_ms) < OVERDRAFT_AFTER_MS:
            return
        reachable_share = self._reachable_count() / self._entry_count()
        self._overdraft_units = (
            self._slack_units * OVERDRAFT_SHARE * reachable_share
        )

    def _own_share(self, bucket: _Bucket) -> float:
        """Return this entry's share of a scarce quota, from 0 to 1."""
        share = EQUAL_SHARE / self._entry_count()
        # Before digests have arrived, the recent use of all entries seems to be
        # this entry's own.
        if self._knows_fleet and bucket.total_usage > 0:
            used_share = min(1.0, bucket.own_usage / bucket.total_usage)
            return share + (1 - EQUAL_SHARE) * used_share
        return share * 2

    def _reserve_for_timed_out(self, now_ms: int) -> None:
        """Reserve a part of what remains for each peer that has timed out."""
        timeout_ms = self._peer_timeout_ms()
        for name, peer in list(self._peers.items()):
            if now_ms > peer.last_digest_ms + QUOTA_SHARE_EXPIRY_MS:
                del self._peers[name]
                continue
            if peer.is_timed_out or now_ms <= peer.last_digest_ms + timeout_ms:
                continue
            peer.is_timed_out = True
            reachable = self._reachable_count()
            for bucket in self._buckets.values():
                if bucket.level > 0:
                    bucket.level *= reachable / (reachable + 1)

    def _refilled(self, customer: deployment.Customer, now_ms: int) -> _Bucket:
        """Return a customer's bucket with the refill up to now."""
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            uptime_s = self._uptime_ms(now_ms) / 1_000
            burst_units = customer.burst * INITIAL_BURST_SHARE
            level = burst_units / self._entry_count()
            withheld_units = burst_units - level
            level += customer.rate_per_s * uptime_s / self._entry_count()
            level += customer.rate_per_s * self._peer_refill_s
            bucket = _Bucket(min(level, customer.burst), withheld_units, now_ms)
            bucket.peer_refill_s = self._peer_refill_s
            self._buckets[customer.name] = bucket
        if self._knows_fleet and bucket.withheld_units:
            bucket.level += bucket.withheld_units
            bucket.withheld_units = 0.0
        peer_refill_s = self._peer_refill_s - bucket.peer_refill_s
        bucket.peer_refill_s = self._peer_refill_s
        bucket.level += customer.rate_per_s * peer_refill_s
        elapsed_ms = now_ms - bucket.updated_ms
        if elapsed_ms > 0:
            self._refill_and_decay(bucket, customer, elapsed_ms)
            bucket.updated_ms = now_ms
        _clamp_level(bucket, customer)
        return bucket

    def _refill_and_decay(
        self,
        bucket: _Bucket,
        customer: deployment.Customer,
        elapsed_ms: int,
    ) -> None:
        """Add the own share of the rate, and decay the recent use."""
        refill_units = customer.rate_per_s * elapsed_ms / 1_000
        bucket.level += refill_units / self._entry_count()
        decay = math.exp(-elapsed_ms / USAGE_TIME_CONSTANT_MS)
        bucket.own_usage *= decay
        bucket.total_usage *= decay
        share = self._own_share(bucket)
        if bucket.level > self._min_level(customer):
            bucket.own_level += refill_units * share
        bucket.own_level = min(bucket.own_level, customer.burst * share)


def _clamp_level(bucket: _Bucket, customer: deployment.Customer) -> None:
    min_level = -customer.rate_per_s * MAX_DEBT_S
    bucket.level = max(min_level, min(bucket.level, customer.burst))
