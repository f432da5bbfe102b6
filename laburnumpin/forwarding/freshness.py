"""Times of calls, so that what an entry believes has a bounded age.

A connection may go silent for good, and a server may swallow a call, at any
moment. What an entry knows of the store is then as old as the last answer until
it notices, and has read the changes over a new connection:

    wait of the call + its timeout + new connection + answer to it

While calls fail, none of them waits, and the pause between two takes the place
of the wait. The sum stays below the platform's contact time, after which the
entry counts as connected again and has to act on what the store has
acknowledged.
"""

from __future__ import annotations

import dataclasses
import math

DEFAULT_CONTACT_MS = 3_000
# Shares of the contact time for the parts of the sum. The rest of it is for the
# wait of a call for changes.
ANSWER_TIMEOUT_SHARE = 0.4
CONNECT_TIMEOUT_SHARE = 1 / 6
LAST_ANSWER_SHARE = 0.1
# A longer contact time makes no timeout longer than these.
MAX_ANSWER_TIMEOUT_MS = 1_200
MAX_CONNECT_TIMEOUT_MS = 500
MAX_CHANGES_WAIT_MS = 2_500
# Longest wait that the store allows.
LONGEST_WAIT_MS = 30_000
# Share of the store's read rate for calls for changes.
READ_RATE_SHARE = 0.1
# Share of it for the calls of all entries while calls fail.
RETRY_RATE_SHARE = 0.25
DEFAULT_READS_PER_S = 2_000.0
# Entries that call the store for changes at the same time: all of a small
# fleet, or the relays of a large one. Each follows two tables.
MAX_CALLERS = 12
FOLLOWED_TABLES = 2


@dataclasses.dataclass(slots=True, frozen=True)
class CallTimes:
    """Times of calls to the platform.

    `answer_timeout_ms` is the longest time for an answer, to which the wait of
    a call is added, and `changes_wait_ms` the longest wait of a call for
    changes. `reads_per_s` is the rate of reads of all entries together.
    """

    answer_timeout_ms: int = MAX_ANSWER_TIMEOUT_MS
    connect_timeout_ms: int = MAX_CONNECT_TIMEOUT_MS
    changes_wait_ms: int = 1_000
    reads_per_s: float = DEFAULT_READS_PER_S

    @property
    def staleness_ms(self) -> int:
        """Return the age of what is believed when a silence is noticed."""
        return self.changes_wait_ms + self.answer_timeout_ms

    def max_retry_pause_ms(self, entries: int) -> float:
        """Return the longest pause between two calls that fail.

        It is longer in a fleet whose entries would exceed their share of the
        read rate if the calls of all of them failed.
        """
        calls_per_s = max(1.0, self.reads_per_s * RETRY_RATE_SHARE)
        return max(
            self.changes_wait_ms,
            entries * FOLLOWED_TABLES * 1_000 / calls_per_s,
        )


def find_call_times(contact_ms: float, reads_per_s: float) -> CallTimes:
    """Return the times of calls for a contact time and a store's read rate.

    A wait that the rate requires is not shortened, even if the sum exceeds the
    contact time then.
    """
    answer_ms = min(MAX_ANSWER_TIMEOUT_MS, contact_ms * ANSWER_TIMEOUT_SHARE)
    connect_ms = min(MAX_CONNECT_TIMEOUT_MS, contact_ms * CONNECT_TIMEOUT_SHARE)
    last_ms = contact_ms * LAST_ANSWER_SHARE
    wait_ms = contact_ms - answer_ms - connect_ms - last_ms
    wait_ms = min(wait_ms, MAX_CHANGES_WAIT_MS)
    if reads_per_s > 0:
        calls = FOLLOWED_TABLES * MAX_CALLERS
        min_wait_ms = calls * 1_000 / (reads_per_s * READ_RATE_SHARE)
        wait_ms = max(wait_ms, min(min_wait_ms, LONGEST_WAIT_MS))
    return CallTimes(
        int(answer_ms), int(connect_ms), math.ceil(wait_ms), reads_per_s
    )
