"""Which requests the upstreams ran that ended, and which are withheld.

An upstream that ends takes all its requests with it, so each of them is
suspected: by the key of its contents, and by the prompt parts that it shares
with others. Each of these, a suspect, is cleared when a request with it is
answered. Entries exchange their records, which merge without order or clocks:
a loss has the id of the upstream's incarnation, and is only ever added or
cleared.

Suspects have integer ids: positive ones are those of prompt parts, negative
ones the keys of requests.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses
from typing import Any
import zlib

from laburnumpin.forwarding import untrusted

# Losses closer together than this count once: a failed link or the power of a
# data centre ends many engines at the same time.
SAME_CAUSE_MS = 100
# Delays of messages move the times of two losses by less than this.
BEGIN_TOLERANCE_MS = 10
# Losses of a request with causes of their own, from which on it is withheld in
# doubt.
LEAST_REQUEST_CAUSES = 2
# Parts, and requests, that are suspected for one loss.
MAX_SUSPECTS_PER_LOSS = 8
# A part that was answered this recently is not suspected.
RECENT_ANSWER_MS = 2_000
# Parts with losses, losses of one part, and parts with the time of their last
# answer that an entry keeps.
MAX_RECORDS = 64
MAX_LOSSES = 8
MAX_ANSWERED_PARTS = 4_096
# The same numbers for requests.
MAX_REQUEST_RECORDS = 128
MAX_ANSWERED_REQUESTS = 4_096
# Delays of messages make the times of one loss differ by less than this.
CLEARLY_NEWER_MS = 5_000
# Records in a digest: the last changed ones, and others in turn.
MAX_CHANGED_ROWS = 6
MAX_ROTATING_ROWS = 2
MAX_CHANGED_REQUEST_ROWS = 3
MAX_ROTATING_REQUEST_ROWS = 1
# Time for which a changed record is in every digest.
ANNOUNCED_MS = 3_000
# Losses that a part needs beyond `min_losses` while others are withheld: these
# may still be sent by entries that do not know of them yet.
FURTHER_PART_LOSSES = 2
# The same while entries of an earlier release do not report losses.
UNREPORTED_LOSSES = 2
# So many losses from the first to the last of a part's that it does not explain
# require one more of its own: there is another cause.
OTHER_LOSSES_PER_LOSS = 3
# Factor of the time for which a part is withheld, for each further loss.
WITHHOLD_FACTOR = 4
# Pause between two trials of an entry; the first shows its result by then.
TRIAL_PAUSE_MS = 30_000

# Highest id of a loss and of a suspect.
MAX_LOSS_ID = 2**32 - 1
MAX_SUSPECT_ID = 2**64 - 1
# For a loss under a request of which it is not known how long it ran.
UNKNOWN_RUN_MS = -1

# Wire form of a part's record: its id, whether others were answered meanwhile,
# and for each loss its id, age in ms and whether it is cleared.
Row = tuple[int, bool, tuple[tuple[int, int, bool], ...]]
# Wire form of a request's record: its key, whether others were answered by its
# service meanwhile, the hash of the service, and for each loss also how long
# the request had run.
RequestRow = tuple[int, bool, int, tuple[tuple[int, int, bool, int], ...]]


@dataclasses.dataclass(slots=True, frozen=True)
class WithholdingSettings:
    """When a suspect is withheld, and for how long.

    A suspect is withheld after `min_losses` upstreams have ended under it
    without an answer, for `first_withhold_ms` after the last loss. It is
    `doubt_withhold_ms` for a request while others explain the losses as well,
    while its service has answered none since the first loss, or while some of
    the losses may have the same cause. Each further loss multiplies the time,
    up to `max_withhold_ms`; after it, single requests are tried. A record is
    dropped `memory_ms` after the last loss, or after twice the time for which
    it was withheld if that is longer.
    """

    min_losses: int = 3
    first_withhold_ms: int = 20_000
    max_withhold_ms: int = 900_000
    memory_ms: int = 600_000
    doubt_withhold_ms: int = 3_000

    def withhold_ms(self, losses: int, *, in_doubt: bool = False) -> int:
        """Return for how long a suspect with so many losses is withheld."""
        further_losses = max(0, losses - self.min_losses)
        factor: int = WITHHOLD_FACTOR**further_losses
        first_ms = self.first_withhold_ms
        if in_doubt:
            first_ms = min(first_ms, self.doubt_withhold_ms)
        return min(first_ms * factor, self.max_withhold_ms)


@dataclasses.dataclass(slots=True, frozen=True)
class Withheld:
    """Suspects whose common requests are not sent to upstreams.

    More than one if no loss tells them apart. `losses` is the number of
    upstreams that have ended; from `until_ms` on, single requests are tried.
    """

    part_ids: frozenset[int]
    losses: int
    until_ms: int


class _Loss:
    """The end of an upstream under a suspect; `at_ms` as first heard of.

    `ran_ms` is how long the request had run, `UNKNOWN_RUN_MS` if not known.
    """

    __slots__ = ("at_ms", "cleared", "ran_ms")

    def __init__(self, at_ms: int, cleared: bool, ran_ms: int) -> None:
        self.at_ms = at_ms
        self.cleared = cleared
        self.ran_ms = ran_ms


class _Record:
    """The losses of one suspect, by the id of the loss."""

    __slots__ = ("changed_ms", "is_contrasted", "losses", "service_hash")

    def __init__(self, service_hash: int) -> None:
        self.losses: dict[int, _Loss] = {}
        # Whether requests without the suspect were answered since the first
        # loss; otherwise the upstreams may end under any request. For a request
        # only those of its service count.
        self.is_contrasted = False
        self.changed_ms = 0
        self.service_hash = service_hash

    def open_losses(self) -> dict[int, int]:
        """Return the times of the losses that are not cleared, by id."""
        return {
            loss_id: loss.at_ms
            for loss_id, loss in self.losses.items()
            if not loss.cleared
        }

    def last_loss_ms(self) -> int:
        """Return the time of the last loss, cleared ones included."""
        return max(loss.at_ms for loss in self.losses.values())

    def clear(self, now_ms: int) -> None:
        """Clear all losses, after an answer to a request with the part."""
        for loss in self.losses.values():
            loss.cleared = True
        self.is_contrasted = False
        self.changed_ms = now_ms


def suspect_id(request_key: int) -> int:
    """Return the id as a suspect of the requests with a key."""
    return -request_key


def hash_service(service: str) -> int:
    """Return the hash by which entries name the service of a request."""
    return zlib.crc32(service.encode())


def loss_id(upstream_id: str, incarnation_ms: int) -> int:
    """Return the id of the end of an upstream's incarnation."""
    return zlib.crc32(f"{upstream_id}/{incarnation_ms}".encode())


class PartLosses:
    """The records of all suspects, and what follows from them."""

    __slots__ = (
        "_answered_ms",
        "_answered_requests_ms",
        "_open_part_ids",
        "_records",
        "_rotation",
        "_settings",
        "_suspects_by_loss",
        "_trial_until_ms",
        "_withheld",
        "all_report",
    )

    def __init__(self, settings: WithholdingSettings) -> None:
        self._settings = settings
        self._records: dict[int, _Record] = {}
        # Suspects with losses that are not cleared.
        self._open_part_ids: set[int] = set()
        # Time of the last answer to a request with a part, and to a request,
        # oldest first.
        self._answered_ms: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._answered_requests_ms: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        # Suspects of this entry, by loss.
        self._suspects_by_loss: collections.OrderedDict[int, set[int]] = (
            collections.OrderedDict()
        )
        # Whether all entries report the upstreams that they lose.
        self.all_report = True
        self._rotation = 0
        self._withheld: tuple[Withheld, ...] = ()
        # Until when this entry's trial of a request lasts, by its parts.
        self._trial_until_ms: dict[frozenset[int], int] = {}

    def has_records(self) -> bool:
        """Return whether any suspect has losses, cleared ones included."""
        return bool(self._records)

    def has_open_losses(self) -> bool:
        """Return whether any suspect has losses that are not cleared."""
        return bool(self._open_part_ids)

    def withheld(self) -> tuple[Withheld, ...]:
        """Return what is withheld at present."""
        return self._withheld

    def record_loss(
        self,
        identifier: int,
        part_ids: tuple[int, ...],
        now_ms: int,
        *,
        service: str = "",
        ran_ms: int = UNKNOWN_RUN_MS,
    ) -> bool:
        """Suspect a request that an upstream ran when it ended.

        `part_ids` are those of its suspects, `service` is its service, and
        `ran_ms` how long it had run. Returns whether a suspect has a new loss.
        """
        suspects = self._suspects_by_loss.setdefault(identifier, set())
        if len(self._suspects_by_loss) > MAX_RECORDS:
            self._suspects_by_loss.popitem(last=False)
        candidates = []
        for part_id in dict.fromkeys(part_ids):
            answered_ms = self._answers(part_id).get(part_id)
            if answered_ms is not None:
                if now_ms <= answered_ms + RECENT_ANSWER_MS:
                    continue
            candidates.append(part_id)
        # The likeliest first: those with losses, then those without an answer.
        candidates.sort(
            key=lambda part_id: (
                -self._open_count(part_id),
                self._answers(part_id).get(part_id, -1),
            )
        )
        is_new = False
        service_hash = hash_service(service)
        for part_id in candidates:
            has_losses = self._open_count(part_id) > 0
            alike = sum((part_id < 0) is (other < 0) for other in suspects)
            if alike >= MAX_SUSPECTS_PER_LOSS and not has_losses:
                continue
            suspects.add(part_id)
            loss = _Loss(
                now_ms, False, ran_ms if part_id < 0 else UNKNOWN_RUN_MS
            )
            if self._add_loss(part_id, identifier, loss, now_ms, service_hash):
                is_new = True
        if is_new:
            self._update_withheld()
        return is_new

    def _answers(self, part_id: int) -> collections.OrderedDict[int, int]:
        """Return the times of the last answers to suspects of this kind."""
        return self._answered_requests_ms if part_id < 0 else self._answered_ms

    def record_answer(
        self,
        part_ids: tuple[int, ...],
        now_ms: int,
        *,
        is_complete: bool,
        service: str = "",
    ) -> bool:
        """Clear the suspects of a request that its service has answered.

        Returns whether losses of a suspect were cleared that other entries may
        count. `is_complete` is False for a stream that goes on.
        """
        if is_complete:
            for part_id in part_ids:
                answered_ms = self._answers(part_id)
                answered_ms[part_id] = now_ms
                answered_ms.move_to_end(part_id)
            while len(self._answered_ms) > MAX_ANSWERED_PARTS:
                self._answered_ms.popitem(last=False)
            while len(self._answered_requests_ms) > MAX_ANSWERED_REQUESTS:
                self._answered_requests_ms.popitem(last=False)
        is_changed = False
        has_cleared = False
        service_hash = hash_service(service)
        for part_id in self._open_part_ids:
            record = self._records[part_id]
            open_count = len(record.open_losses())
            if part_id in part_ids:
                has_cleared = has_cleared or open_count > 1
                record.clear(now_ms)
                is_changed = True
            elif not record.is_contrasted:
                if part_id < 0 and record.service_hash != service_hash:
                    continue
                record.is_contrasted = True
                record.changed_ms = now_ms
                is_changed = True
        if is_changed:
            self._update_withheld()
        return has_cleared

    def find_withheld(self, part_ids: tuple[int, ...]) -> Withheld | None:
        """Return why a request with these suspects is not sent, if it isn't."""
        for withheld in self._withheld:
            if withheld.part_ids.issubset(part_ids):
                return withheld
        return None

    def start_trial(self, withheld: Withheld, now_ms: int) -> bool:
        """Start a trial with one request; return whether it may be sent."""
        if now_ms < withheld.until_ms:
            return False
        if now_ms < self._trial_until_ms.get(withheld.part_ids, 0):
            return False
        self._trial_until_ms[withheld.part_ids] = now_ms + TRIAL_PAUSE_MS
        return True

    def rows(self, now_ms: int, *, repeats_all: bool = True) -> tuple[Row, ...]:
        """Return the parts' records for the next digest, in turn if many.

        Without `repeats_all`, only those that have changed recently.
        """
        parts = self._of_parts()
        eligible = _eligible(parts, now_ms, repeats_all)
        chosen = self._choose(eligible, MAX_CHANGED_ROWS, MAX_ROTATING_ROWS)
        return tuple(_encode(part, record, now_ms) for part, record in chosen)

    def request_rows(
        self, now_ms: int, *, repeats_all: bool = True
    ) -> tuple[RequestRow, ...]:
        """Return the requests' records for the next digest, as `rows`.

        Of those that have changed, the ones with the most losses come first:
        many requests end with each upstream.
        """
        eligible = _eligible(self._of_requests(), now_ms, repeats_all)
        recent = _eligible(dict(eligible), now_ms, False)
        recent.sort(key=lambda item: -len(item[1].open_losses()))
        recent_ids = {suspect for suspect, _ in recent}
        others = [item for item in eligible if item[0] not in recent_ids]
        chosen = self._choose(
            recent + others,
            MAX_CHANGED_REQUEST_ROWS,
            MAX_ROTATING_REQUEST_ROWS,
        )
        return tuple(_encode_request(s, record, now_ms) for s, record in chosen)

    def _choose(
        self, records: list[tuple[int, _Record]], first: int, rotating: int
    ) -> list[tuple[int, _Record]]:
        """Return the first records, and some of the others in turn."""
        chosen = records[:first]
        others = records[first:]
        for _ in range(min(rotating, len(others))):
            self._rotation += 1
            chosen.append(others[self._rotation % len(others)])
        return chosen

    def _of_parts(self) -> dict[int, _Record]:
        return {s: r for s, r in self._records.items() if s >= 0}

    def _of_requests(self) -> dict[int, _Record]:
        return {s: r for s, r in self._records.items() if s < 0}

    def all_rows(self, now_ms: int) -> tuple[Row, ...]:
        """Return all parts' records, for an entry that has just started."""
        parts = self._of_parts()
        return tuple(_encode(s, record, now_ms) for s, record in parts.items())

    def all_request_rows(self, now_ms: int) -> tuple[RequestRow, ...]:
        """Return all requests' records, for an entry that has just started."""
        return tuple(
            _encode_request(suspect, record, now_ms)
            for suspect, record in self._of_requests().items()
        )

    def withheld_rows(self, now_ms: int) -> tuple[Row, ...]:
        """Return the records of the parts that are withheld."""
        return tuple(
            _encode(part_id, self._records[part_id], now_ms)
            for part_id in self._withheld_ids()
            if part_id >= 0
        )

    def withheld_request_rows(self, now_ms: int) -> tuple[RequestRow, ...]:
        """Return the records of the requests that are withheld."""
        return tuple(
            _encode_request(suspect, self._records[suspect], now_ms)
            for suspect in self._withheld_ids()
            if suspect < 0
        )

    def _withheld_ids(self) -> list[int]:
        suspects: set[int] = set()
        for withheld in self._withheld:
            suspects |= withheld.part_ids
        return sorted(suspects)

    def merge(self, rows: tuple[Row, ...], now_ms: int) -> bool:
        """Add the parts' records of a peer; return whether anything was new."""
        is_changed = False
        for part_id, is_contrasted, losses in rows[:MAX_RECORDS]:
            for identifier, age_ms, cleared in losses[:MAX_LOSSES]:
                at_ms = now_ms - max(0, age_ms)
                loss = _Loss(at_ms, cleared, UNKNOWN_RUN_MS)
                if self._add_loss(part_id, identifier, loss, now_ms, 0):
                    is_changed = True
            if self._merge_contrast(part_id, is_contrasted, now_ms):
                is_changed = True
        if is_changed:
            self._update_withheld()
        return is_changed

    def merge_requests(self, rows: tuple[RequestRow, ...], now_ms: int) -> bool:
        """Add the requests' records of a peer, as `merge`."""
        is_changed = False
        for key, is_contrasted, service, losses in rows[:MAX_REQUEST_RECORDS]:
            suspect = suspect_id(key)
            for identifier, age_ms, cleared, ran_ms in losses[:MAX_LOSSES]:
                loss = _Loss(now_ms - max(0, age_ms), cleared, ran_ms)
                if self._add_loss(suspect, identifier, loss, now_ms, service):
                    is_changed = True
            if self._merge_contrast(suspect, is_contrasted, now_ms):
                is_changed = True
        if is_changed:
            self._update_withheld()
        return is_changed

    def _merge_contrast(
        self, suspect: int, is_contrasted: bool, now_ms: int
    ) -> bool:
        record = self._records.get(suspect)
        if record is None or record.is_contrasted or not is_contrasted:
            return False
        if not record.open_losses():
            return False
        record.is_contrasted = True
        record.changed_ms = now_ms
        return True

    def expire(self, now_ms: int) -> None:
        """Drop the records whose time is over."""
        dropped = False
        for part_id, record in list(self._records.items()):
            if now_ms > record.last_loss_ms() + self._kept_ms(record):
                del self._records[part_id]
                dropped = True
        for part_ids, until_ms in list(self._trial_until_ms.items()):
            if now_ms >= until_ms:
                del self._trial_until_ms[part_ids]
        if dropped:
            self._update_withheld()

    def _kept_ms(self, record: _Record) -> int:
        withhold_ms = self._settings.withhold_ms(len(record.open_losses()))
        return max(self._settings.memory_ms, 2 * withhold_ms)

    def _open_count(self, part_id: int) -> int:
        record = self._records.get(part_id)
        return 0 if record is None else len(record.open_losses())

    def _add_loss(
        self,
        part_id: int,
        identifier: int,
        added: _Loss,
        now_ms: int,
        service_hash: int,
    ) -> bool:
        """Add a loss to a suspect's record; return whether that changes it."""
        at_ms, cleared = added.at_ms, added.cleared
        longest_ms = max(
            self._settings.memory_ms, 2 * self._settings.max_withhold_ms
        )
        if now_ms > at_ms + longest_ms:
            return False
        record = self._records.get(part_id)
        if record is None:
            record = _Record(service_hash)
            self._records[part_id] = record
        loss = record.losses.get(identifier)
        if loss is not None:
            loss.at_ms = min(loss.at_ms, at_ms)
            if not cleared or loss.cleared:
                return False
            loss.cleared = True
            if not record.open_losses():
                record.is_contrasted = False
        elif not _make_room(record, at_ms, cleared):
            return False
        else:
            record.losses[identifier] = added
        record.changed_ms = now_ms
        self._drop_record_if_many(part_id)
        return True

    def _drop_record_if_many(self, kept_part_id: int) -> None:
        """Drop the record with the fewest losses, of these the oldest."""
        is_request = kept_part_id < 0
        alike = self._of_requests() if is_request else self._of_parts()
        if len(alike) <= (MAX_REQUEST_RECORDS if is_request else MAX_RECORDS):
            return
        candidates = [p for p in alike if p != kept_part_id]
        dropped = min(
            candidates,
            key=lambda part_id: (
                self._open_count(part_id),
                self._records[part_id].last_loss_ms(),
            ),
        )
        del self._records[dropped]

    def _update_withheld(self) -> None:
        """Find the suspects that explain the losses.

        The suspect with the most losses is blamed for all of them. Another one
        is withheld only for losses that those before it don't explain. Parts
        with the same number of losses, some of them in common, are blamed
        together until an answer or a further loss tells them apart. A request
        has one key, so keys with as many losses are each blamed, together with
        these parts, and for a short time only.
        """
        self._open_part_ids = {
            part_id
            for part_id, record in self._records.items()
            if record.open_losses()
        }
        known_ids = set(self._withheld_ids())
        unexplained: dict[int, dict[int, int]] = {}
        for part_id, record in self._records.items():
            if record.is_contrasted or part_id < 0:
                unexplained[part_id] = record.open_losses()
        all_ms = self._loss_times()
        found: list[Withheld] = []
        while True:
            counts: dict[int, tuple[int, int]] = {}
            for part_id, losses in unexplained.items():
                count = self._count_causes(part_id, losses)
                least = self._least_causes(part_id, losses)
                if count < least:
                    continue
                others = _count_others(losses, all_ms)
                least += others // OTHER_LOSSES_PER_LOSS
                if part_id not in known_ids:
                    least += self._further_losses(part_id, bool(found))
                if count >= least:
                    counts[part_id] = (count, len(losses))
            if not counts:
                break
            explained = self._blame(unexplained, counts, found)
            for identifier in explained:
                all_ms.pop(identifier, None)
                for losses in unexplained.values():
                    losses.pop(identifier, None)
        self._withheld = tuple(found)

    def _least_causes(self, part_id: int, losses: dict[int, int]) -> int:
        """Return how many causes of their own a suspect's losses need.

        Two copies of one request may end two upstreams at the same moment, so
        for requests two causes are enough if there are as many losses.
        """
        least = self._settings.min_losses
        if part_id < 0 and len(losses) >= least:
            return min(least, LEAST_REQUEST_CAUSES)
        return least

    def _further_losses(self, part_id: int, has_others: bool) -> int:
        """Return the losses that a suspect needs beyond `min_losses`."""
        if part_id < 0:
            return 0  # A doubt ends with one trial.
        further = FURTHER_PART_LOSSES if has_others else 0
        return further + (0 if self.all_report else UNREPORTED_LOSSES)

    def _count_causes(self, part_id: int, losses: dict[int, int]) -> int:
        """Count the losses of a suspect that have causes of their own.

        A request that was sent after the loss before has not ended with it.
        """
        began_ms: dict[int, int] = {}
        for identifier, at_ms in losses.items():
            ran_ms = self._records[part_id].losses[identifier].ran_ms
            if ran_ms >= 0:
                began_ms[identifier] = at_ms - ran_ms
        return _count_causes(losses, began_ms)

    def _loss_times(self) -> dict[int, int]:
        """Return the times of all known losses, cleared ones included."""
        all_ms: dict[int, int] = {}
        for record in self._records.values():
            for identifier, loss in record.losses.items():
                known_ms = all_ms.get(identifier, loss.at_ms)
                all_ms[identifier] = min(known_ms, loss.at_ms)
        return all_ms

    def _blame(
        self,
        unexplained: dict[int, dict[int, int]],
        counts: dict[int, tuple[int, int]],
        found: list[Withheld],
    ) -> set[int]:
        """Add the suspects with the highest count; return what they explain."""
        highest = max(counts.values())
        causes, loss_count = highest
        tied = [part_id for part_id in counts if counts[part_id] == highest]
        blamed_losses = unexplained[min(tied)].keys()
        for part_id, count in counts.items():
            # Keys are told apart by their losses alone.
            if part_id < 0 and count != highest and count[1] == loss_count:
                tied.append(part_id)
        parts: set[int] = set()
        requests: list[int] = []
        explained: set[int] = set()
        last_ms = 0
        for part_id in tied:
            losses = unexplained[part_id]
            if not losses.keys() & blamed_losses:
                continue
            if part_id < 0:
                requests.append(part_id)
            else:
                parts.add(part_id)
            explained |= losses.keys()
            last_ms = max(last_ms, *losses.values())
        in_doubt = len(requests) > 1 or causes < self._settings.min_losses
        for suspect in requests:
            in_doubt |= not self._records[suspect].is_contrasted
        until_ms = last_ms + self._settings.withhold_ms(
            loss_count, in_doubt=in_doubt
        )
        groups = [parts | {suspect} for suspect in requests] or [parts]
        for group in groups:
            found.append(Withheld(frozenset(group), loss_count, until_ms))
        return explained


def _eligible(
    records: dict[int, _Record], now_ms: int, repeats_all: bool
) -> list[tuple[int, _Record]]:
    """Return the records for a digest, the last changed ones first."""
    eligible = []
    for suspect, record in records.items():
        if repeats_all or now_ms <= record.changed_ms + ANNOUNCED_MS:
            eligible.append((suspect, record))
    eligible.sort(
        key=lambda item: (
            -item[1].changed_ms,
            -len(item[1].open_losses()),
            item[0],
        )
    )
    return eligible


def format_parts(part_ids: Iterable[int]) -> str:
    """Return the ids of parts as they are logged: hexadecimal, ordered."""
    parts = sorted(part_id for part_id in part_ids if part_id >= 0)
    return ",".join(f"{part_id:x}" for part_id in parts)


def format_keys(suspects: Iterable[int]) -> str:
    """Return the keys of requests as they are logged, like `format_parts`."""
    keys = sorted(-suspect for suspect in suspects if suspect < 0)
    return ",".join(f"{key:x}" for key in keys)


def encode_rows(rows: tuple[Row, ...]) -> list[Any]:
    """Return rows in a form that CBOR can encode."""
    encoded = []
    for part_id, is_contrasted, losses in rows:
        encoded.append(
            [part_id, is_contrasted, [list(loss) for loss in losses]]
        )
    return encoded


def decode_rows(encoded: Any) -> tuple[Row, ...]:
    """Return the rows that `encode_rows` encoded, up to the limits.

    Raises:
        MalformedError: The rows are malformed.
    """
    rows = []
    for row in untrusted.sequence(encoded, "losses")[:MAX_RECORDS]:
        part_id, is_contrasted, losses = untrusted.items(row, "losses", 3)
        decoded = []
        for loss in untrusted.sequence(losses, "losses")[:MAX_LOSSES]:
            decoded.append(_decode_loss(*untrusted.items(loss, "losses", 3)))
        rows.append((_decode_id(part_id), bool(is_contrasted), tuple(decoded)))
    return tuple(rows)


def encode_request_rows(rows: tuple[RequestRow, ...]) -> list[Any]:
    """Return rows of requests in a form that CBOR and JSON can encode."""
    encoded = []
    for key, is_contrasted, service, losses in rows:
        encoded.append(
            [key, is_contrasted, service, [list(loss) for loss in losses]]
        )
    return encoded


def decode_request_rows(encoded: Any) -> tuple[RequestRow, ...]:
    """Return the rows that `encode_request_rows` encoded, up to the limits.

    Raises:
        MalformedError: The rows are malformed.
    """
    rows = []
    for row in untrusted.sequence(encoded, "losses")[:MAX_REQUEST_RECORDS]:
        key, is_contrasted, service, losses = untrusted.items(row, "losses", 4)
        decoded = []
        for loss in untrusted.sequence(losses, "losses")[:MAX_LOSSES]:
            *common, ran_ms = untrusted.items(loss, "losses", 4)
            ran_ms = untrusted.integer(
                ran_ms, "losses", UNKNOWN_RUN_MS, untrusted.MAX_DURATION_MS
            )
            decoded.append((*_decode_loss(*common), ran_ms))
        service_hash = untrusted.integer(service, "losses", 0, MAX_LOSS_ID)
        rows.append(
            (
                _decode_id(key),
                bool(is_contrasted),
                service_hash,
                tuple(decoded),
            )
        )
    return tuple(rows)


def _decode_id(value: Any) -> int:
    return untrusted.integer(value, "losses", 0, MAX_SUSPECT_ID)


def _decode_loss(
    identifier: Any, age_ms: Any, cleared: Any
) -> tuple[int, int, bool]:
    longest_ms = untrusted.MAX_DURATION_MS
    return (
        untrusted.integer(identifier, "losses", 0, MAX_LOSS_ID),
        untrusted.integer(age_ms, "losses", -longest_ms, longest_ms),
        bool(cleared),
    )


def _count_causes(losses: dict[int, int], began_ms: dict[int, int]) -> int:
    """Count losses, given their times by id.

    Those within `SAME_CAUSE_MS` of a counted one don't count, unless it is
    known that the request began after that one.
    """
    count = 0
    counted_ms: int | None = None
    for identifier, at_ms in sorted(losses.items(), key=lambda item: item[1]):
        if counted_ms is not None and at_ms < counted_ms + SAME_CAUSE_MS:
            latest_ms = counted_ms - BEGIN_TOLERANCE_MS
            if began_ms.get(identifier, latest_ms - 1) < latest_ms:
                continue
        count += 1
        counted_ms = at_ms
    return count


def _count_others(losses: dict[int, int], all_ms: dict[int, int]) -> int:
    """Count the other losses from the first to the last of a part's losses."""
    first_ms, last_ms = min(losses.values()), max(losses.values())
    others_ms = {}
    for identifier, at_ms in all_ms.items():
        if identifier not in losses and first_ms <= at_ms <= last_ms:
            others_ms[identifier] = at_ms
    return _count_causes(others_ms, {})


def _make_room(record: _Record, at_ms: int, cleared: bool) -> bool:
    """Drop a loss if there are too many; return whether one may be added.

    The first losses are kept, as a dropped one would come back from peers with
    a later time. The newest one makes room for one that is clearly newer, which
    extends the time for which the part is withheld.
    """
    if len(record.losses) < MAX_LOSSES:
        return True
    if cleared:
        return False
    for identifier, loss in record.losses.items():
        if loss.cleared:
            del record.losses[identifier]
            return True
    newest = max(record.losses, key=lambda i: record.losses[i].at_ms)
    if at_ms < record.losses[newest].at_ms + CLEARLY_NEWER_MS:
        return False
    del record.losses[newest]
    return True


def _encode(part_id: int, record: _Record, now_ms: int) -> Row:
    losses = []
    for identifier, loss in record.losses.items():
        losses.append((identifier, max(0, now_ms - loss.at_ms), loss.cleared))
    return part_id, record.is_contrasted, tuple(losses)


def _encode_request(suspect: int, record: _Record, now_ms: int) -> RequestRow:
    losses = []
    for identifier, loss in record.losses.items():
        age_ms = max(0, now_ms - loss.at_ms)
        losses.append((identifier, age_ms, loss.cleared, loss.ran_ms))
    return -suspect, record.is_contrasted, record.service_hash, tuple(losses)
