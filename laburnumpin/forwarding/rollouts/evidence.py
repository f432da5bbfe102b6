"""Counts of answers by version, of this process and its peers."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses
from typing import NamedTuple
import zlib

from laburnumpin.forwarding.rollouts import model

# Lower bounds of the load bands above the first, in streams for each slot.
BAND_LIMITS = (0.6,)
BANDS = len(BAND_LIMITS) + 1
# Routes and zones beyond these share buckets by their names' checksums.
MAX_NAMED_ROUTES = 12
MAX_NAMED_ZONES = 4
SHARED_ROUTES = 4
# Rows of one process for one roll-out. Further answers count in rows of no
# route and no zone of their own.
MAX_ROWS = 128
# Rows of all peers and roll-outs together.
MAX_PEER_ROWS = 65_536
MAX_PEERS = 4_096
MAX_INCARNATIONS = 4
# Recent counts are those of this slot and the ones before it.
SLOT_MS = 1_000
RECENT_SLOTS = 3
OTHER_ROUTE = "#"
OTHER_ZONE = "#"


class Cell(NamedTuple):
    """Answers that are compared with each other."""

    route: str
    zone: str
    band: int


class RowKey(NamedTuple):
    """One cell's answers of the target version or of the previous one."""

    is_target: bool
    cell: Cell


@dataclasses.dataclass(slots=True)
class Counts:
    """Answers, and those among them that failed or were slow."""

    answers: int = 0
    errors: int = 0
    slow: int = 0

    def add(self, answers: int, errors: int, slow: int) -> None:
        """Add to each count."""
        self.answers += answers
        self.errors += errors
        self.slow += slow


Table = dict[RowKey, Counts]


@dataclasses.dataclass(slots=True)
class RowLimit:
    """Rows of peers that may still be held, over all roll-outs."""

    left: int = MAX_PEER_ROWS


def band_of(load_share: float) -> int:
    """Return the index of the load band of `load_share` (streams / slots)."""
    band = 0
    for limit in BAND_LIMITS:
        if load_share < limit:
            break
        band += 1
    return band


class Evidence:
    """What is known of one order's versions, from all processes together.

    Counts of a peer belong to one incarnation of it and only grow, so a row
    adds the difference to what was known, in any order and however often it
    comes. A peer's counts are dated by their arrival, those of both versions
    alike, so that recent counts stay comparable.
    """

    __slots__ = (
        "_limit",
        "_own",
        "_peers",
        "_routes",
        "_slots",
        "_zones",
        "revision",
        "total",
    )

    def __init__(self, limit: RowLimit) -> None:
        self.total: Table = {}
        # Grows with each change of the counts.
        self.revision = 0
        self._limit = limit
        self._own: Table = {}
        self._peers: dict[str, dict[int, Table]] = {}
        self._slots: collections.deque[tuple[int, Table]] = collections.deque()
        self._routes: set[str] = set()
        self._zones: set[str] = set()

    def record(
        self,
        is_target: bool,
        route: str,
        zone: str,
        load_share: float,
        outcome: model.AnswerOutcome,
        now_ms: int,
    ) -> None:
        """Count one answer of this process."""
        if outcome is model.AnswerOutcome.LOST:
            return
        cell = Cell(
            self._route_name(route), self._zone_name(zone), band_of(load_share)
        )
        key = RowKey(is_target, cell)
        counts = self._own.get(key)
        if counts is None:
            if len(self._own) >= MAX_ROWS:
                cell = Cell(OTHER_ROUTE, OTHER_ZONE, cell.band)
                key = RowKey(is_target, cell)
            counts = self._own.setdefault(key, Counts())
        errors = int(
            outcome in (model.AnswerOutcome.FAILED, model.AnswerOutcome.BROKEN)
        )
        slow = int(outcome is model.AnswerOutcome.SLOW)
        counts.add(1, errors, slow)
        self._add(key, 1, errors, slow, now_ms)

    def own_rows(self) -> Iterable[tuple[RowKey, Counts]]:
        """Return this process's counts."""
        return self._own.items()

    def merge(
        self,
        peer: str,
        incarnation_ms: int,
        rows: Iterable[model.EvidenceRow],
        now_ms: int,
    ) -> None:
        """Take in rows of this order from one incarnation of a peer.

        Rows of an incarnation older than the newest `MAX_INCARNATIONS`, and
        those beyond `MAX_PEERS` and `MAX_PEER_ROWS`, are left out.
        """
        table = self._peer_table(peer, incarnation_ms)
        if table is None:
            return
        for row in rows:
            if not _is_sane(row):
                continue
            key = RowKey(row.is_target, Cell(row.route, row.zone, row.band))
            known = table.get(key)
            if known is None:
                if len(table) >= MAX_ROWS + BANDS * 2 or not self._limit.left:
                    continue
                self._limit.left -= 1
                known = table[key] = Counts()
            answers = max(0, row.answers - known.answers)
            errors = max(0, row.errors - known.errors)
            slow = max(0, row.slow - known.slow)
            if not answers and not errors and not slow:
                continue
            known.add(answers, errors, slow)
            self._add(key, answers, errors, slow, now_ms)

    def recent(self, now_ms: int) -> Table:
        """Return the counts of the last `RECENT_SLOTS` slots."""
        self._drop_old_slots(now_ms)
        table: Table = {}
        for _, slot in self._slots:
            for key, counts in slot.items():
                known = table.setdefault(key, Counts())
                known.add(counts.answers, counts.errors, counts.slow)
        return table

    def release(self) -> None:
        """Forget which counts came from whom; nothing may be merged later."""
        for incarnations in self._peers.values():
            for table in incarnations.values():
                self._limit.left += len(table)
        self._peers.clear()
        self._own.clear()

    def _peer_table(self, peer: str, incarnation_ms: int) -> Table | None:
        incarnations = self._peers.get(peer)
        if incarnations is None:
            if len(self._peers) >= MAX_PEERS:
                return None
            incarnations = self._peers[peer] = {}
        table = incarnations.get(incarnation_ms)
        if table is not None:
            return table
        if len(incarnations) >= MAX_INCARNATIONS:
            oldest_ms = min(incarnations)
            if incarnation_ms < oldest_ms:
                return None
            # Its counts stay in the sums.
            self._limit.left += len(incarnations.pop(oldest_ms))
        table = incarnations[incarnation_ms] = {}
        return table

    def _add(
        self, key: RowKey, answers: int, errors: int, slow: int, now_ms: int
    ) -> None:
        self.revision += 1
        total = self.total.get(key)
        if total is None:
            if len(self.total) >= 4 * MAX_ROWS:
                return
            total = self.total[key] = Counts()
        total.add(answers, errors, slow)
        slot_number = now_ms // SLOT_MS
        if not self._slots or self._slots[-1][0] < slot_number:
            self._slots.append((slot_number, {}))
            self._drop_old_slots(now_ms)
        slot = self._slots[-1][1]
        counts = slot.get(key)
        if counts is None:
            counts = slot[key] = Counts()
        counts.add(answers, errors, slow)

    def _drop_old_slots(self, now_ms: int) -> None:
        first_kept = now_ms // SLOT_MS - RECENT_SLOTS + 1
        while self._slots and self._slots[0][0] < first_kept:
            self._slots.popleft()

    def _route_name(self, route: str) -> str:
        if route in self._routes:
            return route
        if len(self._routes) < MAX_NAMED_ROUTES:
            self._routes.add(route)
            return route
        return f"#{zlib.crc32(route.encode()) % SHARED_ROUTES}"

    def _zone_name(self, zone: str) -> str:
        if zone in self._zones:
            return zone
        if len(self._zones) < MAX_NAMED_ZONES:
            self._zones.add(zone)
            return zone
        return OTHER_ZONE


def _is_sane(row: model.EvidenceRow) -> bool:
    if not 0 <= row.band < BANDS:
        return False
    if row.errors < 0 or row.slow < 0:
        return False
    return row.errors + row.slow <= row.answers
