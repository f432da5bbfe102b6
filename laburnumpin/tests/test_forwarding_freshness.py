"""The age of what an entry believes, as a sum of times of calls."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from laburnumpin.forwarding import freshness

NORMAL_READS_PER_S = 2_000.0


# A call for changes waited 2.5 s and its time-out was 1.2 s, longer together
# than the time after which an entry has to know what the store acknowledged.
@hypothesis.given(strategies.integers(500, 60_000))
def test_silence_is_noticed_within_the_contact_time(contact_ms: int) -> None:
    times = freshness.find_call_times(contact_ms, NORMAL_READS_PER_S)
    left_ms = contact_ms - times.staleness_ms - times.connect_timeout_ms
    assert left_ms >= contact_ms * freshness.LAST_ANSWER_SHARE - 1
    assert times.changes_wait_ms > 0


@hypothesis.given(
    strategies.integers(500, 60_000), strategies.floats(10.0, 1e6)
)
def test_calls_for_changes_keep_to_their_share_of_the_read_rate(
    contact_ms: int, reads_per_s: float
) -> None:
    times = freshness.find_call_times(contact_ms, reads_per_s)
    callers = freshness.MAX_CALLERS * freshness.FOLLOWED_TABLES
    calls_per_s = callers * 1_000 / times.changes_wait_ms
    assert calls_per_s <= reads_per_s * freshness.READ_RATE_SHARE * 1.001


# In a fleet of 60 entries, one whose calls had failed for a while waited up to
# 5.6 s before the next one, longer than all the other times together.
@hypothesis.given(strategies.integers(500, 60_000), strategies.integers(1, 200))
def test_pauses_between_failing_calls_keep_to_the_sum(
    contact_ms: int, entries: int
) -> None:
    times = freshness.find_call_times(contact_ms, NORMAL_READS_PER_S)
    pause_ms = times.max_retry_pause_ms(entries)
    calls_per_s = entries * freshness.FOLLOWED_TABLES * 1_000 / pause_ms
    assert calls_per_s <= NORMAL_READS_PER_S * freshness.RETRY_RATE_SHARE * 1.01
    if pause_ms <= times.changes_wait_ms:
        known_ms = times.answer_timeout_ms + pause_ms + times.connect_timeout_ms
        assert known_ms <= contact_ms
    else:
        # More entries than can call so often.
        assert entries * freshness.FOLLOWED_TABLES * 1_000 > (
            times.changes_wait_ms
            * NORMAL_READS_PER_S
            * freshness.RETRY_RATE_SHARE
        )


def test_default_times_are_those_of_the_default_contact_time() -> None:
    found = freshness.find_call_times(
        freshness.DEFAULT_CONTACT_MS, NORMAL_READS_PER_S
    )
    assert found == freshness.CallTimes()
