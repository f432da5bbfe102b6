"""Weekly demand profiles, stored in the object store.

A profile lets the fleet start VMs ahead of a surge that recurs every week.
"""

from __future__ import annotations

import json

SLOT_MS = 15 * 60 * 1_000
SLOTS_PER_WEEK = 7 * 24 * 4
# Weight of the latest week in the moving average, so that one unusual week
# does not determine the plan.
NEW_WEEK_WEIGHT = 0.5


class Profile:
    """Expected peak of concurrent streams per quarter of an hour of the week.

    The week starts on Monday at 00:00 UTC. `streams` holds one peak per slot;
    `slot` and `peak_streams` are the current slot and its peak so far.
    """

    __slots__ = ("peak_streams", "slot", "streams")

    def __init__(self) -> None:
        self.streams = [0.0] * SLOTS_PER_WEEK
        self.slot: int | None = None
        self.peak_streams = 0.0

    def observe(self, streams: float, now_ms: int) -> bool:
        """Record the current demand; return whether a slot was completed."""
        slot = slot_of(now_ms)
        if self.slot == slot:
            self.peak_streams = max(self.peak_streams, streams)
            return False
        closed = self.slot is not None
        if self.slot is not None:
            old = self.streams[self.slot]
            weight = NEW_WEEK_WEIGHT if old > 0 else 1.0
            self.streams[self.slot] = old + (self.peak_streams - old) * weight
        self.slot = slot
        self.peak_streams = streams
        return closed

    def expected(self, now_ms: int) -> float:
        """Return the higher demand of the current and the next slot."""
        slot = slot_of(now_ms)
        next_slot = (slot + 1) % SLOTS_PER_WEEK
        return max(self.streams[slot], self.streams[next_slot])

    def encode(self) -> bytes:
        """Return the profile as a JSON document."""
        rounded = []
        for value in self.streams:
            rounded.append(round(value, 2))
        return json.dumps({"streams": rounded}).encode()


def decode(body: bytes) -> Profile | None:
    """Return the profile of a JSON document, or None when it is malformed."""
    try:
        streams = json.loads(body)["streams"]
        values = [float(value) for value in streams]
    except (ValueError, KeyError, TypeError):
        return None
    if len(values) != SLOTS_PER_WEEK:
        return None
    profile = Profile()
    profile.streams = values
    return profile


def slot_of(now_ms: int) -> int:
    """Return the index of the slot that contains a Unix time."""
    # The epoch was a Thursday, four days before a Monday.
    since_monday_ms = now_ms - 4 * 24 * 3_600 * 1_000
    return since_monday_ms // SLOT_MS % SLOTS_PER_WEEK
