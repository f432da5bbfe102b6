"""Counts of answers by version, of this process and its peers."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses
import zlib

from laburnumpin.forwarding.rollouts import comparison
from laburnumpin.forwarding.rollouts import counts
from laburnumpin.forwarding.rollouts import model

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
# Versions are compared within slots; the recent ones are judged on their own.
SLOT_MS = 1_000
RECENT_SLOTS = 3
OTHER_ROUTE = "#"
OTHER_ZONE = "#"


@dataclasses.dataclass(slots=True)
class RowLimit:
    """Rows of peers that may still be held, over all roll-outs."""

    left: int = MAX_PEER_ROWS


class Evidence:
    """What is known of one order's versions, from all processes together.

    Counts of a peer belong to one incarnation of it and only grow, so a row
    adds the difference to what was known, in any order and however often it
    comes. A peer's counts are dated by their arrival, those of both versions
    alike. The versions are compared within slots of time, so that an outage, or
    a change of the share, isn't mistaken for a difference between them.
    """

    __slots__ = (
        "_closed",
        "_limit",
        "_open",
        "_own",
        "_peers",
        "_recent",
        "_routes",
        "_slot_number",
        "_zones",
        "has_new_bad",
        "total",
    )

    def __init__(self, limit: RowLimit) -> None:
        self.total: counts.Table = {}
        # Whether bad answers of the target have come since it was cleared.
        self.has_new_bad = False
        self._limit = limit
        self._own: counts.Table = {}
        self._peers: dict[str, dict[int, counts.Table]] = {}
        # Counts of the current slot, and the comparison of those before.
        self._open: counts.Table = {}
        self._slot_number = 0
        self._closed: comparison.Tallies = {}
        self._recent: collections.deque[tuple[int, comparison.Tallies]] = (
            collections.deque(maxlen=RECENT_SLOTS)
        )
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
        cell = counts.Cell(
            self._route_name(route),
            self._zone_name(zone),
            counts.band_of(load_share),
        )
        key = counts.RowKey(is_target, cell)
        known = self._own.get(key)
        if known is None:
            if len(self._own) >= MAX_ROWS:
                cell = counts.Cell(OTHER_ROUTE, OTHER_ZONE, cell.band)
                key = counts.RowKey(is_target, cell)
            known = self._own.setdefault(key, counts.Counts())
        errors = int(
            outcome in (model.AnswerOutcome.FAILED, model.AnswerOutcome.BROKEN)
        )
        slow = int(outcome is model.AnswerOutcome.SLOW)
        known.add(1, errors, slow)
        self._add(key, 1, errors, slow, now_ms)

    def own_rows(self) -> Iterable[tuple[counts.RowKey, counts.Counts]]:
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
            key = counts.RowKey(
                row.is_target, counts.Cell(row.route, row.zone, row.band)
            )
            known = table.get(key)
            if known is None:
                if (
                    len(table) >= MAX_ROWS + counts.BANDS * 2
                    or not self._limit.left
                ):
                    continue
                self._limit.left -= 1
                known = table[key] = counts.Counts()
            answers = max(0, row.answers - known.answers)
            errors = max(0, row.errors - known.errors)
            slow = max(0, row.slow - known.slow)
            if not answers and not errors and not slow:
                continue
            known.add(answers, errors, slow)
            self._add(key, answers, errors, slow, now_ms)

    def tallies(self) -> comparison.Tallies:
        """Return the comparison since the order, second by second."""
        sums: comparison.Tallies = {}
        comparison.add_tallies(sums, self._closed)
        comparison.add_tallies(sums, self._open_tallies())
        return sums

    def recent_tallies(self, now_ms: int) -> comparison.Tallies:
        """Return the comparison of the last `RECENT_SLOTS` slots."""
        first = now_ms // SLOT_MS - RECENT_SLOTS + 1
        sums: comparison.Tallies = {}
        for slot_number, tallies in self._recent:
            if slot_number >= first:
                comparison.add_tallies(sums, tallies)
        if self._slot_number >= first:
            comparison.add_tallies(sums, self._open_tallies())
        return sums

    def release(self) -> None:
        """Forget which counts came from whom; nothing may be merged later."""
        for incarnations in self._peers.values():
            for table in incarnations.values():
                self._limit.left += len(table)
        self._peers.clear()
        self._own.clear()

    def _peer_table(
        self, peer: str, incarnation_ms: int
    ) -> counts.Table | None:
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
        self,
        key: counts.RowKey,
        answers: int,
        errors: int,
        slow: int,
        now_ms: int,
    ) -> None:
        if key.is_target and (errors or slow):
            self.has_new_bad = True
        total = self.total.get(key)
        if total is None:
            if len(self.total) >= 4 * MAX_ROWS:
                return
            total = self.total[key] = counts.Counts()
        total.add(answers, errors, slow)
        slot_number = now_ms // SLOT_MS
        if slot_number > self._slot_number:
            self._close_slot(slot_number)
        self._open.setdefault(key, counts.Counts()).add(answers, errors, slow)

    def _close_slot(self, next_number: int) -> None:
        tallies = self._open_tallies()
        comparison.add_tallies(self._closed, tallies)
        self._recent.append((self._slot_number, tallies))
        self._open = {}
        self._slot_number = next_number

    def _open_tallies(self) -> comparison.Tallies:
        return comparison.compare(self._open, self.total)

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
    if not 0 <= row.band < counts.BANDS:
        return False
    if row.errors < 0 or row.slow < 0:
        return False
    return row.errors + row.slow <= row.answers
