"""What an entry keeps of the roll-outs in force, beside their decisions."""

from __future__ import annotations

import dataclasses

from laburnumpin.forwarding.rollouts import model

# Answers that broke off and whose upstreams are being checked.
MAX_BREAKS = 512
MAX_BREAKS_PER_UPSTREAM = 64

# Service, era and row version of the order, whether it is about the target,
# route, zone and load band.
RowKey = tuple[str, int, int, bool, str, str, int]
# Id and incarnation of an upstream.
UpstreamKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Entry:
    """One order and what follows from the registered upstreams.

    `canary_ids` are the upstreams of the target version that are used at the
    moment, None for all. `shifting_since_ms` is when this entry learnt that new
    requests go to the target version alone, None before. `is_stopped_here` is
    what was logged last.
    """

    order: model.Order
    canary_ids: frozenset[str] | None = None
    shifting_since_ms: int | None = None
    is_stopped_here: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """What an answer counts for; `load_share` is that of its upstream."""

    service: str
    version: str
    route: str
    load_share: float
    zone: str


class Book:
    """The orders, the registered versions and what is known of answers."""

    __slots__ = (
        "_breaks",
        "by_service",
        "decided_ms",
        "evidence_sent",
        "noted_ms",
        "versions",
    )

    def __init__(self) -> None:
        self.by_service: dict[str, Entry] = {}
        # When a decision was applied last; None before.
        self.decided_ms: int | None = None
        # Versions with ready upstreams, and when they were counted last.
        self.versions: dict[str, frozenset[str]] = {}
        self.noted_ms = 0
        # Answers in the row that was sent last, by what the row is about.
        self.evidence_sent: dict[RowKey, int] = {}
        self._breaks: dict[UpstreamKey, list[Answer]] = {}

    def add(self, order: model.Order) -> Entry:
        """Add an order, in place of an earlier one for the same service."""
        entry = self.by_service[order.service] = Entry(order)
        for key in list(self.evidence_sent):
            if key[0] == order.service:
                del self.evidence_sent[key]
        return entry

    def add_break(self, key: UpstreamKey, answer: Answer) -> bool:
        """Keep an answer until its upstream was checked.

        Return whether that check has to be started.
        """
        answers = self._breaks.get(key)
        if answers is not None:
            if len(answers) < MAX_BREAKS_PER_UPSTREAM:
                answers.append(answer)
            return False
        if len(self._breaks) >= MAX_BREAKS:
            del self._breaks[next(iter(self._breaks))]
        self._breaks[key] = [answer]
        return True

    def take_breaks(self, key: UpstreamKey) -> list[Answer]:
        """Return and forget the answers that wait for a check."""
        return self._breaks.pop(key, [])
