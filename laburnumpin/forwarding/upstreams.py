"""The upstreams that an entry knows, and what it believes of each."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses
import enum
import math
import zlib

# An upstream whose registration lapsed while the store was away is registered
# again within this time of the store's return (the platform's statement).
REGISTRATION_GRACE_MS = 2_000
# An upstream that rejected a request as full is spared for this long: about the
# time of a digest, in which the others may not know it yet.
FULL_PAUSE_MS = 300
# Weight of the newest outcome in an upstream's failure rate.
FAILURE_WEIGHT = 0.2
# An upstream that could not be reached, or that broke off or kept silent this
# many times in a row, is left alone for a while, doubled with each further
# failure.
FAILURES_BEFORE_PAUSE = 3
MIN_PAUSE_MS = 500
MAX_PAUSE_MS = 4_000
# Weight of one answer in an upstream's pace, and the time over which a pace is
# forgotten without answers.
LOG_RATIO_WEIGHT = 0.15
LOG_RATIO_TIME_CONSTANT_MS = 6_000
# Prompt parts that are remembered for one engine.
MAX_CACHED_PARTS = 4_096


class Lifecycle(enum.Enum):
    """What an upstream says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True, frozen=True)
class Registration:
    """One upstream as it is registered at the platform.

    `incarnation_ms` is the time of its start; an upstream that starts again
    under its id knows nothing of before. It is slower than usual for another
    `cold_ms` after its start. `leaves_in_ms` is the notice of a reclaim, None
    if there is none.
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


class Upstream:
    """An upstream with the work and the outcomes that this entry has seen."""

    __slots__ = (
        "_log_ratio",
        "_log_ratio_ms",
        "_peer_load",
        "_peer_streams",
        "_peer_tokens",
        "cached_parts",
        "cold_until_ms",
        "consecutive_failures",
        "failure_rate",
        "full_until_ms",
        "leaves_at_ms",
        "missing_since_ms",
        "order_hash",
        "own_pending_tokens",
        "own_streams",
        "paused_until_ms",
        "registration",
        "seen_ms",
    )

    def __init__(self, registration: Registration, now_ms: int) -> None:
        self.registration = registration
        self.seen_ms = now_ms
        self.cold_until_ms = now_ms + registration.cold_ms
        self.missing_since_ms: int | None = None
        # When the upstream will be gone, once it has announced that.
        self.leaves_at_ms: int | None = None
        self.own_streams = 0
        self.own_pending_tokens = 0
        # Streams and pending prompt tokens of each peer, by its name.
        self._peer_load: dict[str, tuple[int, int]] = {}
        # Their sums.
        self._peer_streams = 0
        self._peer_tokens = 0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.paused_until_ms = 0
        self.full_until_ms = 0
        # Logarithm of the ratio of the observed to the predicted time to the
        # first byte, as of a time.
        self._log_ratio = 0.0
        self._log_ratio_ms = now_ms
        # Place in an order that all entries share.
        self.order_hash = zlib.crc32(registration.upstream_id.encode())
        # Prompt parts by id with the time of the last use, oldest first.
        self.cached_parts: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    @property
    def key(self) -> tuple[str, int]:
        """Identify the upstream and its incarnation."""
        return (
            self.registration.upstream_id,
            self.registration.incarnation_ms,
        )

    def streams(self) -> int:
        """Return the requests that all entries are known to have there."""
        return self.own_streams + self._peer_streams

    def pending_tokens(self) -> int:
        """Return the prompt tokens that wait to be read there."""
        return self.own_pending_tokens + self._peer_tokens

    def set_peer_load(self, peer: str, streams: int, tokens: int) -> None:
        """Note what a peer has here."""
        self.drop_peer_load(peer)
        self._peer_load[peer] = (streams, tokens)
        self._peer_streams += streams
        self._peer_tokens += tokens

    def drop_peer_load(self, peer: str) -> None:
        """Forget what a peer has here."""
        streams, tokens = self._peer_load.pop(peer, (0, 0))
        self._peer_streams -= streams
        self._peer_tokens -= tokens

    def loaded_peers(self) -> list[str]:
        """Return the peers that have requests here."""
        return list(self._peer_load)

    def record_log_ratio(
        self, log_ratio: float, answers: int, now_ms: int
    ) -> None:
        """Note the mean pace of a number of answers, as its logarithm."""
        weight = 1 - (1 - LOG_RATIO_WEIGHT) ** answers
        known = self.log_ratio(now_ms)
        self._log_ratio = known + (log_ratio - known) * weight
        self._log_ratio_ms = now_ms

    def log_ratio(self, now_ms: int) -> float:
        """Return the logarithm of observed to predicted times."""
        elapsed_ms = max(0, now_ms - self._log_ratio_ms)
        return self._log_ratio * math.exp(
            -elapsed_ms / LOG_RATIO_TIME_CONSTANT_MS
        )

    def record_cached_part(self, part_id: int, now_ms: int) -> None:
        """Note that the engine has read a prompt part."""
        self.cached_parts[part_id] = now_ms
        self.cached_parts.move_to_end(part_id)
        if len(self.cached_parts) > MAX_CACHED_PARTS:
            self.cached_parts.popitem(last=False)

    def record_success(self) -> None:
        """Note a complete answer."""
        self.failure_rate *= 1 - FAILURE_WEIGHT
        self.consecutive_failures = 0
        self.paused_until_ms = 0

    def record_full(self, now_ms: int) -> None:
        """Note that the upstream rejected a request for lack of room."""
        self.full_until_ms = now_ms + FULL_PAUSE_MS

    def record_error(self) -> None:
        """Note an answer that tells of a failure."""
        self.failure_rate += (1 - self.failure_rate) * FAILURE_WEIGHT

    def record_failure(self, now_ms: int, *, unreachable: bool) -> None:
        """Note an attempt without an answer; pause the upstream if need be."""
        self.record_error()
        self.consecutive_failures += 1
        in_a_row = self.consecutive_failures - 1
        if not unreachable:
            in_a_row -= FAILURES_BEFORE_PAUSE - 1
        if in_a_row < 0:
            return
        doublings = min(in_a_row, 5)
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
        """Return whether anything changed."""
        return bool(
            self.added or self.leaving or self.removed or self.restarted
        )


class UpstreamTable:
    """All registered upstreams by id."""

    __slots__ = ("_by_id",)

    def __init__(self) -> None:
        self._by_id: dict[str, Upstream] = {}

    def all(self) -> Iterable[Upstream]:
        """Return every upstream that is not known to be gone."""
        return self._by_id.values()

    def get(self, upstream_id: str) -> Upstream | None:
        """Return an upstream by its id."""
        return self._by_id.get(upstream_id)

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service, leaving ones included."""
        found = []
        for upstream in self._by_id.values():
            if upstream.registration.service == service:
                found.append(upstream)
        return found

    def usable(self, service: str, now_ms: int) -> list[Upstream]:
        """Return the upstreams that new work may be sent to.

        Those that are paused after failures or missing from a list after an
        outage of the store are returned only when there are no others.
        """
        usable = []
        fallbacks = []
        for upstream in self._by_id.values():
            registration = upstream.registration
            if registration.service != service:
                continue
            if registration.lifecycle is not Lifecycle.READY:
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

    def mean_log_ratio(self, service: str, now_ms: int) -> float:
        """Return the mean pace of a service's upstreams."""
        log_ratios = [u.log_ratio(now_ms) for u in self.of_service(service)]
        return sum(log_ratios) / len(log_ratios) if log_ratios else 0.0

    def update(self, registration: Registration, now_ms: int) -> Changes:
        """Apply a new or changed registration."""
        changes = Changes()
        upstream_id = registration.upstream_id
        known = self._by_id.get(upstream_id)
        if known is None:
            self._by_id[upstream_id] = Upstream(registration, now_ms)
            changes.added.append(upstream_id)
            return changes
        old = known.registration
        if registration.incarnation_ms < old.incarnation_ms:
            return changes  # Written before the upstream started again.
        same_start = registration.incarnation_ms == old.incarnation_ms
        if not same_start or registration.address != old.address:
            self._by_id[upstream_id] = Upstream(registration, now_ms)
            changes.restarted.append(upstream_id)
            return changes
        known.missing_since_ms = None
        known.seen_ms = now_ms
        known.cold_until_ms = now_ms + registration.cold_ms
        if old.lifecycle is Lifecycle.LEAVING:
            # A leaving upstream does not come back in the same incarnation.
            registration = dataclasses.replace(
                registration, lifecycle=Lifecycle.LEAVING
            )
        elif registration.lifecycle is Lifecycle.LEAVING:
            changes.leaving.append(upstream_id)
        known.registration = registration
        return changes

    def remove(self, upstream_id: str) -> Changes:
        """Forget an upstream whose registration was removed."""
        changes = Changes()
        if self._by_id.pop(upstream_id, None) is not None:
            changes.removed.append(upstream_id)
        return changes

    def mark_missing(self, upstream_id: str, now_ms: int) -> None:
        """Note that a registration lapsed around an outage of the store."""
        known = self._by_id.get(upstream_id)
        if known is not None and known.missing_since_ms is None:
            known.missing_since_ms = now_ms

    def expire(self, now_ms: int) -> Changes:
        """Forget upstreams that were not registered again in time."""
        changes = Changes()
        for upstream_id, upstream in list(self._by_id.items()):
            since_ms = upstream.missing_since_ms
            if since_ms is None or now_ms < since_ms + REGISTRATION_GRACE_MS:
                continue
            del self._by_id[upstream_id]
            changes.removed.append(upstream_id)
        return changes
