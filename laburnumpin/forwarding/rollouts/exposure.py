"""The share of one process's requests that may go to the target version."""

from __future__ import annotations

import random

from laburnumpin.forwarding.rollouts import model

# The part of the allowed share that is spent; the rest is for retries and for
# requests that never reach an upstream.
SPENT_PART = 0.85
# With at least this slack the first request of the share is drawn at random.
MIN_DITHER_SLACK = 40
# While unspent share is caught up on, the part of requests is this multiple.
CATCH_UP_FACTOR = 2.0
# An offer that hasn't become a sent request after two of these has lapsed.
OFFER_WINDOW_MS = 500


class ExposureBudget:
    """Bounds the requests to the target version by this process's own requests.

    No message is needed: where each process keeps to its share, so does their
    sum, whatever the number of processes, and a restarted one starts from zero
    on both sides. Whole requests are rounded up or down at random with the
    right mean, so that processes with few requests take part. The slack covers
    the spread of that rounding; without enough of it, it is always down.
    """

    __slots__ = (
        "_head_start",
        "_next_base",
        "_offers",
        "_offers_before",
        "_share",
        "_window_start_ms",
        "requests",
        "sent",
        "sent_to_target",
    )

    def __init__(
        self,
        settings: model.RolloutSettings,
        generator: random.Random,
        now_ms: int,
    ) -> None:
        self.requests = 0
        self.sent = 0
        self.sent_to_target = 0
        self._share = settings.exposure_share * SPENT_PART
        self._head_start = 0.0
        if settings.exposure_slack >= MIN_DITHER_SLACK:
            self._head_start = generator.random()
        self._next_base = 0.0
        self._offers = 0
        self._offers_before = 0
        self._window_start_ms = now_ms

    def record_request(self) -> None:
        """Count a request that arrived."""
        self.requests += 1

    def record_sent(self, is_target: bool) -> None:
        """Count a request that was sent to an upstream."""
        self.sent += 1
        if not is_target:
            return
        self.sent_to_target += 1
        if self._offers_before > 0:
            self._offers_before -= 1
        elif self._offers > 0:
            self._offers -= 1

    def try_offer(self, now_ms: int) -> bool:
        """Return whether one more request may go to the target version.

        A granted offer counts as spent until it's sent or has lapsed.
        """
        self._rotate(now_ms)
        # Retries make more sent than arrived, and rejected requests fewer.
        base = min(self.requests, self.sent)
        pending = self._offers + self._offers_before
        spent = self.sent_to_target + pending + 1
        if spent > self._share * base + self._head_start:
            return False
        if base < self._next_base:
            return False
        self._next_base = base + 1.0 / (self._share * CATCH_UP_FACTOR)
        self._offers += 1
        return True

    def _rotate(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms < OFFER_WINDOW_MS:
            return
        is_next = elapsed_ms < 2 * OFFER_WINDOW_MS
        self._offers_before = self._offers if is_next else 0
        self._offers = 0
        self._window_start_ms = now_ms
