"""What entries tell each other several times a second."""

from __future__ import annotations

import dataclasses

from laburnumpin.forwarding import membership
from laburnumpin.forwarding import usage

# Entries of each list in a digest, so that a digest fits into a datagram.
MAX_LOADS = 60
MAX_PARTS = 24
MAX_CONTACTS = 24


@dataclasses.dataclass(slots=True, frozen=True)
class Digest:
    """The state of one entry.

    `sequence_number` counts the digests of one incarnation. `loads` are
    streams and pending prompt tokens by upstream id; `parts` are prompt parts
    that upstreams have read since the last digest; `latency_log_ratios` are
    the answers since then with the sum of the logarithms of their ratio of
    observed to predicted time to the first byte, by upstream id; `used` are
    the units admitted since the start, by customer; `work_ms` is the engine
    time of the requests that arrived since the start, by service.
    `contacts` are addresses of other entries.
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


class DigestFilter:
    """The newest digest of each entry that was passed on."""

    __slots__ = ("_marks",)

    def __init__(self) -> None:
        # Incarnation, number and time of the newest digest, by name.
        self._marks: dict[str, tuple[int, int, int]] = {}

    def accept(self, digest: Digest, now_ms: int) -> bool:
        """Return whether a digest is newer than those before; note it."""
        name = digest.contact.name
        incarnation_ms, number, heard_ms = self._marks.get(name, (0, 0, 0))
        if digest.incarnation_ms == incarnation_ms:
            if digest.sequence_number <= number:
                return False
        elif membership.is_late_incarnation(
            digest.incarnation_ms, incarnation_ms, now_ms - heard_ms
        ):
            return False
        self._marks[name] = (
            digest.incarnation_ms,
            digest.sequence_number,
            now_ms,
        )
        return True
