"""Back-off that an upstream asks this entry for (503 with Retry-After).

The upstream gets nothing from this entry for that time. Afterwards requests
return gradually: entries that were asked at the same time begin at different
times, and each one sends one request first, then twice as many in each step.
"""

from __future__ import annotations

import dataclasses
import math
import random

# Steps of the return; the number of requests doubles with each.
RETURN_STEPS = 8
# Streams that are moved to a backing-off upstream, or back to it, because it
# has their KV cache.
MAX_CONTINUATIONS = 2


@dataclasses.dataclass(slots=True, frozen=True)
class BackoffSettings:
    """Settings of back-offs.

    `max_ms` limits the time that an upstream may ask for; with 0 it is ignored.
    `spread_ms` is the time after it within which entries begin to return, at
    most that time itself, and `return_ms` the time within which the requests of
    one entry return.
    """

    max_ms: int = 60_000
    spread_ms: int = 1_500
    return_ms: int = 1_500


def draw_delay_ms(
    spread_ms: int, entries: int, generator: random.Random
) -> int:
    """Return the delay, within the spread, after which an entry begins.

    The number of entries that have begun grows with the square of the time, and
    a single one begins at once.
    """
    share = math.sqrt(generator.random()) * (1 - 1 / max(1, entries))
    return int(spread_ms * share)


class Backoff:
    """The back-off of one upstream and the return of requests after it."""

    __slots__ = (
        "_continuations",
        "_promises",
        "_return_ms",
        "_sends",
        "until_ms",
    )

    def __init__(self, until_ms: int, return_ms: int) -> None:
        self.until_ms = until_ms
        self._return_ms = return_ms
        # Requests that were sent since, or that wait for their turn.
        self._sends = 0
        # Callers that were rejected and told when to return.
        self._promises = 0
        self._continuations = 0

    def extend(self, now_ms: int, until_ms: int) -> None:
        """Back off until `until_ms` at least."""
        if now_ms >= self.until_ms:
            self._continuations = 0
        if until_ms <= self.until_ms:
            return
        self.until_ms = until_ms
        self._sends = 0
        self._promises = 0

    def is_over(self, now_ms: int) -> bool:
        """Return whether all requests have returned."""
        return now_ms >= self.until_ms + self._return_ms

    def room_in_ms(self, now_ms: int) -> int:
        """Return when the next request may be sent."""
        if self.is_over(now_ms):
            return 0
        return max(0, self._turn_ms(self._sends) - now_ms)

    def promise_in_ms(self, now_ms: int) -> int:
        """Return when a caller that is rejected now should return.

        Each caller is told the next turn, so that they don't return at once.
        """
        turn_ms = self._turn_ms(self._promises)
        self._promises += 1
        return max(self.room_in_ms(now_ms), turn_ms - now_ms)

    def _turn_ms(self, position: int) -> int:
        """Return when the request at a position, from 0, may be sent."""
        step_ms = self._return_ms / RETURN_STEPS
        turn_ms = math.ceil(step_ms * math.log2(position + 1))
        return self.until_ms + min(turn_ms, self._return_ms)

    def take(self) -> None:
        """Count a request that is sent, or that will be when it may."""
        self._sends += 1

    def may_send(self, now_ms: int, *, is_continuation: bool) -> bool:
        """Return whether a request may be sent at this moment.

        The first continuations of moved streams may, which are counted here.
        """
        if now_ms >= self.until_ms:
            return True
        if not is_continuation or self._continuations >= MAX_CONTINUATIONS:
            return False
        self._continuations += 1
        return True
