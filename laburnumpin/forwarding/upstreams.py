"""The registered upstreams, with their load, latency and health.

These are observed by this entry and reported by the digests of its peers.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses
import enum
import zlib

from laburnumpin.forwarding import backoff
from laburnumpin.forwarding import limit_shares
from laburnumpin.forwarding.capacity import model

# How often an upstream registers anew, if the deployment names no other time.
DEFAULT_HEARTBEAT_MS = 1_200
# An upstream whose registration expired while the store was unavailable is
# registered again within this time of the end of the outage, as the platform
# states.
REGISTRATION_GRACE_MS = 2_000
# An upstream that rejected a request as full is avoided for this long: about
# one digest period, until the digests have reported the peers' requests there.
FULL_PAUSE_MS = 300
# Time that a leaving upstream keeps serving if it announces none; the second is
# for reclaims, the shortest notice of which in the deployments is 1,250 ms.
DEFAULT_NOTICE_MS = 2_000
DEFAULT_RECLAIM_NOTICE_MS = 1_250
# Weight of the newest outcome in an upstream's failure rate.
FAILURE_WEIGHT = 0.2
# Circuit breaking: an upstream that could not be reached, or that broke off or
# timed out this many times in a row, is avoided for a pause that doubles with
# each further failure.
FAILURES_BEFORE_PAUSE = 3
MIN_PAUSE_MS = 500
MAX_PAUSE_MS = 4_000
# Prompt parts that are recorded as cached for one engine.
MAX_CACHED_PARTS = 4_096
# Incarnations that have said that they leave and are remembered; those that are
# not registered are forgotten first, and after this time.
MAX_LEAVING = 4_096
LEAVING_MEMORY_MS = 1_800_000
# Back-offs that are remembered; the one that ends first is forgotten first.
MAX_BACKOFFS = 4_096


class Lifecycle(enum.Enum):
    """The state that an upstream registers."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True, frozen=True)
class Registration:
    """One upstream as it is registered at the platform.

    `incarnation_ms` is the time of its start; an upstream that restarts under
    the same id has lost its state. `cold_ms` is the remaining time for which it
    is slower than usual after its start. `slots` is the number of requests that
    it runs at once; 0 leaves it to the service's engine profile. `leaves_in_ms`
    is the remaining time until it shuts down, None if it has announced none.
    `revision` counts what this incarnation has written; 0 if that is unknown.
    `version` is that of its software, empty if it names none.
    """

    upstream_id: str
    incarnation_ms: int
    service: str
    address: str
    zone: str
    slots: int
    lifecycle: Lifecycle
    reclaimable: bool
    cold_ms: int
    leaves_in_ms: int | None
    revision: int = 0
    version: str = ""

    @property
    def key(self) -> tuple[str, int]:
        """Identify the upstream and its incarnation."""
        return (self.upstream_id, self.incarnation_ms)

    @property
    def written(self) -> tuple[int, int]:
        """Return the upstream's own order of its registrations.

        Unlike a version of the store, it holds across a restore of the store.
        """
        return (self.incarnation_ms, self.revision)


@dataclasses.dataclass(slots=True, frozen=True)
class Statement:
    """What an answer says of its upstream.

    `limit_per_s` is the upstream's limit on the requests of all entries, None
    if it names none, and `backoff_ms` the time for which it asks this entry to
    send nothing. `malformed` has a reason for each part that cannot be read,
    which is left out.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    backoff_ms: int = 0
    malformed: tuple[str, ...] = ()

    @property
    def says_anything(self) -> bool:
        """Return whether the answer says anything that can be read."""
        return (
            self.is_leaving
            or self.backoff_ms > 0
            or self.limit_per_s is not None
        )


class Upstream:
    """An upstream with its load, latency, failures and cached prompt parts."""

    __slots__ = (
        "_peer_load",
        "_peer_streams",
        "_peer_tokens",
        "backoff",
        "cached_parts",
        "cold_until_ms",
        "consecutive_failures",
        "failure_rate",
        "full_until_ms",
        "has_notice",
        "leaves_at_ms",
        "limit_share",
        "missing_since_ms",
        "order_hash",
        "own_pending_tokens",
        "own_streams",
        "paused_until_ms",
        "registration",
        "seen_ms",
        "slowness",
    )

    def __init__(self, registration: Registration, now_ms: int) -> None:
        self.registration = registration
        # When the registration was last added or updated.
        self.seen_ms = now_ms
        self.cold_until_ms = now_ms + registration.cold_ms
        # Since when its registration is missing after an outage of the store;
        # None if it is not.
        self.missing_since_ms: int | None = None
        # When the upstream will shut down, once it has announced that.
        self.leaves_at_ms: int | None = None
        # Whether that time is from its own notice.
        self.has_notice = False
        # This entry's share of the limit that the upstream named, if any.
        self.limit_share: limit_shares.LimitShare | None = None
        # The back-off that it asked for, if any.
        self.backoff: backoff.Backoff | None = None
        # Requests and unread prompt tokens of this entry.
        self.own_streams = 0
        self.own_pending_tokens = 0
        # Requests and unread prompt tokens of each peer, by its name.
        self._peer_load: dict[str, tuple[int, int]] = {}
        # Their sums over all peers.
        self._peer_streams = 0
        self._peer_tokens = 0
        # Moving average of failures per attempt, from 0 to 1.
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        # Until when it is avoided after failures, and after a rejection.
        self.paused_until_ms = 0
        self.full_until_ms = 0
        # How much slower it is than its service's typical upstream.
        self.slowness = model.Slowness(now_ms)
        # Sort key that is the same at all entries.
        self.order_hash = zlib.crc32(registration.upstream_id.encode())
        # Cached prompt parts by id with the time of the last use, oldest first.
        self.cached_parts: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    @property
    def key(self) -> tuple[str, int]:
        """Identify the upstream and its incarnation."""
        return self.registration.key

    def streams(self) -> int:
        """Return the number of requests of all entries at the upstream."""
        return self.own_streams + self._peer_streams

    def pending_tokens(self) -> int:
        """Return the unread prompt tokens of all entries at the upstream."""
        return self.own_pending_tokens + self._peer_tokens

    def set_peer_load(self, peer: str, streams: int, tokens: int) -> None:
        """Replace the load of a peer."""
        self.drop_peer_load(peer)
        self._peer_load[peer] = (streams, tokens)
        self._peer_streams += streams
        self._peer_tokens += tokens

    def drop_peer_load(self, peer: str) -> None:
        """Remove the load of a peer."""
        streams, tokens = self._peer_load.pop(peer, (0, 0))
        self._peer_streams -= streams
        self._peer_tokens -= tokens

    def loaded_peers(self) -> list[str]:
        """Return the names of the peers with a load."""
        return list(self._peer_load)

    def record_cached_part(self, part_id: int, now_ms: int) -> None:
        """Record that the engine has a prompt part in its prefix cache."""
        self.cached_parts[part_id] = now_ms
        self.cached_parts.move_to_end(part_id)
        if len(self.cached_parts) > MAX_CACHED_PARTS:
            self.cached_parts.popitem(last=False)

    def note_leaving(self, notice_ms: int | None, now_ms: int) -> None:
        """Record when an upstream that leaves will shut down.

        `notice_ms` is the remaining time that it has announced, if any. The
        first announced one counts, and replaces an assumed one.
        """
        if self.has_notice:
            return
        if notice_ms is not None:
            self.has_notice = True
        elif self.leaves_at_ms is not None:
            return
        else:
            notice_ms = DEFAULT_NOTICE_MS
            if self.registration.reclaimable:
                notice_ms = DEFAULT_RECLAIM_NOTICE_MS
        self.leaves_at_ms = now_ms + notice_ms

    def record_success(self) -> None:
        """Record a complete answer, which ends a pause."""
        self.failure_rate *= 1 - FAILURE_WEIGHT
        self.consecutive_failures = 0
        self.paused_until_ms = 0

    def limit_wait_ms(self, now_ms: int) -> int | None:
        """Return when this entry's share of its limit allows a request.

        None if it never does.
        """
        if self.limit_share is None:
            return 0
        return self.limit_share.room_in_ms(now_ms)

    def wait_ms(self, now_ms: int) -> int | None:
        """Return when what it said of itself allows a request from this entry.

        None if it never does.
        """
        if self.registration.lifecycle is Lifecycle.LEAVING:
            return None
        wait_ms = self.limit_wait_ms(now_ms)
        if wait_ms is None or self.backoff is None:
            return wait_ms
        return max(wait_ms, self.backoff.room_in_ms(now_ms))

    def take(self, now_ms: int) -> None:
        """Count a request that is sent, or that will be after its wait."""
        if self.limit_share is not None:
            self.limit_share.take(now_ms)
        if self.backoff is not None:
            self.backoff.take()

    def record_full(self, now_ms: int) -> None:
        """Record that the upstream rejected a request as full."""
        self.full_until_ms = now_ms + FULL_PAUSE_MS

    def record_error(self) -> None:
        """Record an error answer, which does not lead to a pause."""
        self.failure_rate += (1 - self.failure_rate) * FAILURE_WEIGHT

    def record_failure(self, now_ms: int, *, unreachable: bool) -> None:
        """Record an attempt without an answer; pause the upstream if needed.

        An unreachable upstream is paused at the first failure.
        """
        self.record_error()
        self.consecutive_failures += 1
        counted_failures = self.consecutive_failures - 1
        if not unreachable:
            counted_failures -= FAILURES_BEFORE_PAUSE - 1
        if counted_failures < 0:
            return
        doublings = min(counted_failures, 5)
        pause_ms = min(MIN_PAUSE_MS << doublings, MAX_PAUSE_MS)
        self.paused_until_ms = now_ms + pause_ms


class Changes:
    """What an update of the registrations changed, by upstream id."""

    __slots__ = ("added", "leaving", "removed", "restarted")

    def __init__(self) -> None:
        self.added: list[str] = []
        self.leaving: list[str] = []
        self.removed: list[str] = []
        self.restarted: list[str] = []

    def any(self) -> bool:
        """Return whether there are any changes."""
        return bool(
            self.added or self.leaving or self.removed or self.restarted
        )


class UpstreamTable:
    """All registered upstreams by id."""

    __slots__ = ("_backoffs", "_by_id", "_leaving")

    def __init__(self) -> None:
        self._by_id: dict[str, Upstream] = {}
        # Back-offs by incarnation, which outlive a registration.
        self._backoffs: dict[tuple[str, int], backoff.Backoff] = {}
        # When incarnations have said that they leave, the newest last.
        self._leaving: collections.OrderedDict[tuple[str, int], int] = (
            collections.OrderedDict()
        )

    def all(self) -> Iterable[Upstream]:
        """Return every upstream, leaving and missing ones included."""
        return self._by_id.values()

    def get(self, upstream_id: str) -> Upstream | None:
        """Return an upstream by its id."""
        return self._by_id.get(upstream_id)

    def find(self, key: tuple[str, int]) -> Upstream | None:
        """Return an upstream if it is still in this incarnation."""
        upstream = self._by_id.get(key[0])
        return None if upstream is None or upstream.key != key else upstream

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service, leaving ones included."""
        matching = []
        for upstream in self._by_id.values():
            if upstream.registration.service == service:
                matching.append(upstream)
        return matching

    def usable(
        self,
        service: str,
        now_ms: int,
        max_wait_ms: int = 0,
        versions: frozenset[str] | None = None,
    ) -> list[Upstream]:
        """Return the ready upstreams of a service, of some versions if given.

        Those that are paused or full, or whose registration is missing after
        an outage of the store, are returned only if there are no others. Those
        whose statements allow no request within `max_wait_ms` are not returned.
        """
        usable = []
        fallbacks = []
        for upstream in self._by_id.values():
            registration = upstream.registration
            if registration.service != service:
                continue
            if versions is not None and registration.version not in versions:
                continue
            wait_ms = upstream.wait_ms(now_ms)
            if wait_ms is None or wait_ms > max_wait_ms:
                continue
            missing = upstream.missing_since_ms is not None
            avoided_until_ms = max(
                upstream.paused_until_ms, upstream.full_until_ms
            )
            if missing or now_ms < avoided_until_ms:
                fallbacks.append(upstream)
                continue
            usable.append(upstream)
        return usable or fallbacks

    def mark_leaving(self, key: tuple[str, int], at_ms: int) -> bool:
        """Record that an incarnation has said that it leaves.

        Nothing that is registered later makes it ready again. Return whether
        that was not known.
        """
        if key in self._leaving:
            return False
        self._leaving[key] = at_ms
        upstream = self.find(key)
        if upstream is not None:
            upstream.registration = dataclasses.replace(
                upstream.registration, lifecycle=Lifecycle.LEAVING
            )
        if len(self._leaving) > MAX_LEAVING:
            self._forget_leaving(key)
        return True

    def back_off(
        self, key: tuple[str, int], now_ms: int, until_ms: int, return_ms: int
    ) -> bool:
        """Record the back-off of an incarnation.

        Return whether it was not backing off at the moment.
        """
        known = self._backoffs.get(key)
        if known is not None:
            is_new = now_ms >= known.until_ms
            known.extend(now_ms, until_ms)
            return is_new
        if len(self._backoffs) >= MAX_BACKOFFS:
            first = min(
                self._backoffs, key=lambda k: self._backoffs[k].until_ms
            )
            self._drop_backoff(first)
        self._backoffs[key] = backoff.Backoff(until_ms, return_ms)
        upstream = self.find(key)
        if upstream is not None:
            upstream.backoff = self._backoffs[key]
        return True

    def _drop_backoff(self, key: tuple[str, int]) -> None:
        del self._backoffs[key]
        upstream = self.find(key)
        if upstream is not None:
            upstream.backoff = None

    def leaving(self) -> list[tuple[tuple[str, int], int]]:
        """Return the incarnations that leave and since when, newest first."""
        return list(reversed(self._leaving.items()))

    def leaving_count(self) -> int:
        """Return the number of remembered incarnations that leave."""
        return len(self._leaving)

    def _forget_leaving(self, kept: tuple[str, int]) -> None:
        """Forget the oldest incarnation that is not registered."""
        for key in self._leaving:
            if key != kept and self.find(key) is None:
                del self._leaving[key]
                return
        self._leaving.popitem(last=False)

    def update(self, registration: Registration, now_ms: int) -> Changes:
        """Apply a new or changed registration."""
        changes = Changes()
        upstream_id = registration.upstream_id
        existing = self._by_id.get(upstream_id)
        if registration.key in self._leaving:
            registration = dataclasses.replace(
                registration, lifecycle=Lifecycle.LEAVING
            )
        if existing is None:
            self._add(registration, now_ms)
            changes.added.append(upstream_id)
            return changes
        current = existing.registration
        if registration.incarnation_ms < current.incarnation_ms:
            return changes  # Written before the upstream restarted.
        same_incarnation = registration.incarnation_ms == current.incarnation_ms
        if not same_incarnation or registration.address != current.address:
            self._add(registration, now_ms)
            changes.restarted.append(upstream_id)
            return changes
        if registration.revision and registration.revision < current.revision:
            return changes  # Late, or of an older copy of the store.
        existing.missing_since_ms = None
        existing.seen_ms = now_ms
        existing.cold_until_ms = now_ms + registration.cold_ms
        if current.lifecycle is Lifecycle.LEAVING:
            # A leaving upstream is never ready again in the same incarnation.
            registration = dataclasses.replace(
                registration, lifecycle=Lifecycle.LEAVING
            )
        elif registration.lifecycle is Lifecycle.LEAVING:
            changes.leaving.append(upstream_id)
        existing.registration = registration
        return changes

    def _add(self, registration: Registration, now_ms: int) -> None:
        upstream = Upstream(registration, now_ms)
        upstream.backoff = self._backoffs.get(upstream.key)
        self._by_id[registration.upstream_id] = upstream

    def remove(self, upstream_id: str) -> Changes:
        """Remove an upstream whose registration was removed."""
        changes = Changes()
        if self._by_id.pop(upstream_id, None) is not None:
            changes.removed.append(upstream_id)
        return changes

    def mark_missing(self, upstream_id: str, now_ms: int) -> None:
        """Record that a registration is missing after a store outage."""
        existing = self._by_id.get(upstream_id)
        if existing is not None and existing.missing_since_ms is None:
            existing.missing_since_ms = now_ms

    def expire(self, now_ms: int) -> Changes:
        """Remove upstreams that were not registered again in time."""
        changes = Changes()
        while self._leaving:
            key, at_ms = next(iter(self._leaving.items()))
            if self.find(key) or now_ms < at_ms + LEAVING_MEMORY_MS:
                break
            del self._leaving[key]
        for key, known in list(self._backoffs.items()):
            if known.is_over(now_ms):
                self._drop_backoff(key)
        for upstream_id, upstream in list(self._by_id.items()):
            since_ms = upstream.missing_since_ms
            if since_ms is None or now_ms < since_ms + REGISTRATION_GRACE_MS:
                continue
            del self._by_id[upstream_id]
            changes.removed.append(upstream_id)
        return changes
