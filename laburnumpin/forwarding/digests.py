"""Digests: the state that entries send each other periodically."""

from __future__ import annotations

import dataclasses
from typing import TypeVar

from laburnumpin.forwarding import membership
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding.rollouts import model
from laburnumpin.forwarding.usage_reports import counts as usage

# Limits of the lists in a digest, so that it fits into a datagram.
MAX_LOADS = 60
MAX_PARTS = 24
MAX_CONTACTS = 24
MAX_SLOWNESS_ROWS = 2
MAX_TIMES_ROWS = 1

# Limit of an upstream: its id, its incarnation in ms, the limit in requests a
# second or `NO_LIMIT`, and the age in ms of the answer that named it.
LimitRow = tuple[str, int, float, int]
NO_LIMIT = -1.0
# An upstream that has said that it leaves: its id, its incarnation in ms, and
# the age in ms of the answer that said so.
LeavingRow = tuple[str, int, int]
# Slowness of an upstream: its id, its incarnation in ms, the logarithm of its
# time to that of a typical one of its service, and the answers it is from.
SlownessRow = tuple[str, int, float, int]
# Times of a service: its name, an engine's time to the first token without
# reading in ms, ms per prompt token, a plain service's work time in ms, and the
# answers they are from.
TimesRow = tuple[str, float, float, float, int]

_Row = TypeVar("_Row")


@dataclasses.dataclass(slots=True, frozen=True)
class Digest:
    """The state of one entry.

    `sequence_number` counts the digests of one incarnation. `wall_ms` is the
    wall clock of the entry's VM; `lease_token` is the fencing token while the
    entry holds the lease, else 0. `windows` are the request counts of its
    newest usage windows. `loads` are streams and pending prompt tokens by
    upstream id; `parts` are prompt parts that upstreams have read since the
    last digest; `latency_log_ratios` are the answers since then with the sum of
    the logarithms of their time to the first byte to that of a typical upstream
    of the service, by upstream id; `used` are the units admitted since the
    start, by customer; `work_ms` is the engine time of the requests that
    arrived since the start, by service, and by service and prompt size class.
    `contacts` are addresses of other entries, `part_losses` and
    `request_losses` the ends of upstreams under prompt parts (None from an
    entry of an earlier release, which does not report them) and under requests,
    `limits` the limits that upstreams named, and `leaving` the upstreams that
    said that they leave. `store_era` is the era of the store that
    `registry_version` belongs to, 0 from an entry of an earlier release.
    `counted_to_ms` is the median wall-clock time until which `windows` are
    counted, 0 from an entry of an earlier release; a holder names entries whose
    counts it lacks in `usage_missing`.
    `rollout_evidence` are answers by version and `rollout_decisions` the
    decisions of the holder, both of roll-outs in force.
    `low_levels` are the units left to customers that have used much of their
    quotas, negative when in debt.
    `slowness` and `times` are what the entry measured of some upstreams and
    services, in turn.
    """

    contact: membership.Contact
    incarnation_ms: int
    sequence_number: int
    wall_ms: int
    config_version: int
    registry_version: int
    lease_token: int
    used: dict[str, float]
    windows: dict[int, usage.Counts]
    loads: dict[str, tuple[int, int]]
    parts: tuple[tuple[str, int], ...]
    latency_log_ratios: dict[str, tuple[int, float]]
    contacts: tuple[str, ...]
    work_ms: dict[str, float]
    request_losses: tuple[part_losses.RequestRow, ...] = ()
    part_losses: tuple[part_losses.Row, ...] | None = ()
    limits: tuple[LimitRow, ...] = ()
    store_era: int = 0
    leaving: tuple[LeavingRow, ...] = ()
    counted_to_ms: int = 0
    usage_missing: tuple[str, ...] = ()
    rollout_evidence: tuple[model.EvidenceRow, ...] = ()
    rollout_decisions: tuple[model.Decision, ...] = ()
    slowness: tuple[SlownessRow, ...] = ()
    times: tuple[TimesRow, ...] = ()
    low_levels: dict[str, float] = dataclasses.field(default_factory=dict)


def in_turn(rows: list[_Row], position: int, count: int) -> list[_Row]:
    """Return up to `count` rows from a position on, around the end.

    With a position that grows by `count` in each digest, all rows get their
    turn.
    """
    if not rows:
        return []
    start = position % len(rows)
    return (rows[start:] + rows[:start])[:count]


class DigestFilter:
    """Filters the digests that a relay forwards: no duplicates, no old ones."""

    __slots__ = ("_newest",)

    def __init__(self) -> None:
        # Incarnation, sequence number and time of receipt of the newest digest
        # of each entry, by name.
        self._newest: dict[str, tuple[int, int, int]] = {}

    def accept(self, digest: Digest, now_ms: int) -> bool:
        """Return whether a digest is newer than its predecessors; record it."""
        name = digest.contact.name
        incarnation_ms, sequence_number, received_ms = self._newest.get(
            name, (0, 0, 0)
        )
        if digest.incarnation_ms == incarnation_ms:
            if digest.sequence_number <= sequence_number:
                return False
        elif membership.is_stale_incarnation(
            digest.incarnation_ms, incarnation_ms, now_ms - received_ms
        ):
            return False
        self._newest[name] = (
            digest.incarnation_ms,
            digest.sequence_number,
            now_ms,
        )
        return True
