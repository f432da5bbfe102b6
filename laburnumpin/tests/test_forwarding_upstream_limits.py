"""Tests of the limits that upstreams name on the requests of all entries."""

from __future__ import annotations

import functools

import pytest

from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import limit_shares
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstream_limits
from laburnumpin.tests import engine_fleet
from laburnumpin.tests import forwarding_builders as build

# The platform's bound: in this window, from this time after the limit was
# first named.
WINDOW_MS = 4_000
CONTACT_MS = 3_000
LIMITED_MS = 4_000
END_MS = 24_000
SEEDS = range(5)
FEW_SEEDS = range(3)


def _fleet(
    seed: int,
    entries: int = 9,
    engines: int = 10,
    rate_per_s: float = 80.0,
    limit_per_s: float = 3.1,
) -> engine_fleet.EngineFleet:
    """Return a fleet in which 70% of the engines name a limit."""
    fleet = engine_fleet.EngineFleet(seed, entries, engines)
    fleet.start_ticks(END_MS)
    fleet.start_load(500, END_MS, rate_per_s)
    limited = int(engines * 0.7)
    fleet.at(LIMITED_MS, lambda: fleet.limit_engines(limited, limit_per_s))
    return fleet


def _most_over_limit(fleet: engine_fleet.EngineFleet) -> float:
    return max(
        engine.max_over_limit(WINDOW_MS, LIMITED_MS + CONTACT_MS)
        for engine in fleet.engines.values()
        if engine.limit_per_s is not None
    )


# On the day "capped", engines got up to one and a half times what their limit
# allows.
@pytest.mark.parametrize("seed", SEEDS)
def test_upstream_gets_no_more_than_its_limit_from_all_entries(
    seed: int,
) -> None:
    fleet = _fleet(seed)
    fleet.run_until(END_MS)
    assert _most_over_limit(fleet) <= 0


@pytest.mark.parametrize("seed", FEW_SEEDS)
def test_limit_holds_although_half_of_the_digests_are_lost(seed: int) -> None:
    fleet = _fleet(seed)
    fleet.loses_digest = lambda _sender, _receiver: fleet.random.random() < 0.5
    fleet.run_until(END_MS)
    assert _most_over_limit(fleet) <= 0


@pytest.mark.parametrize("seed", FEW_SEEDS)
def test_limit_holds_while_entries_restart_in_turn(seed: int) -> None:
    fleet = _fleet(seed)
    for number, name in enumerate(fleet.names):
        fleet.at(
            8_000 + 1_500 * number, functools.partial(fleet.start_entry, name)
        )
    fleet.run_until(END_MS)
    assert _most_over_limit(fleet) <= 0


@pytest.mark.parametrize("seed", FEW_SEEDS)
def test_limit_holds_after_an_entry_was_paused(seed: int) -> None:
    fleet = _fleet(seed)
    fleet.at(3_500, lambda: fleet.paused.add(fleet.names[0]))
    fleet.at(9_000, lambda: fleet.resume(fleet.names[0]))
    fleet.run_until(END_MS)
    assert _most_over_limit(fleet) <= 0


@pytest.mark.parametrize("seed", FEW_SEEDS)
def test_limit_holds_in_a_fleet_with_relays(seed: int) -> None:
    fleet = _fleet(seed, entries=40, engines=30, rate_per_s=150.0)
    fleet.run_until(END_MS)
    assert _most_over_limit(fleet) <= 0


@pytest.mark.parametrize("seed", FEW_SEEDS)
def test_entries_of_the_release_before_cannot_read_limits(seed: int) -> None:
    fleet = _fleet(seed)
    old = set(fleet.names[:4])
    fleet.remove_from_digests("h", old)
    fleet.run_until(END_MS)
    # They still learn the limits from the answers that they get themselves.
    assert _most_over_limit(fleet) <= 0


@pytest.mark.parametrize("limit_per_s", [0.0, 0.3, 40.0])
@pytest.mark.parametrize("seed", FEW_SEEDS)
def test_very_low_and_high_limits_hold(seed: int, limit_per_s: float) -> None:
    fleet = _fleet(seed, limit_per_s=limit_per_s)
    fleet.run_until(END_MS)
    assert _most_over_limit(fleet) <= 0


@pytest.mark.parametrize("seed", FEW_SEEDS)
def test_upstream_is_used_again_when_it_names_no_limit_any_more(
    seed: int,
) -> None:
    fleet = _fleet(seed)
    fleet.at(10_000, lambda: fleet.limit_engines(7, None))
    fleet.run_until(END_MS)
    counts = [
        sum(at_ms >= 14_000 for at_ms, _ in engine.arrivals)
        for engine in fleet.engines.values()
    ]
    # Ten engines share 80 requests a second.
    assert min(counts[:7]) > 4.0 * (END_MS - 14_000) / 1_000


@pytest.mark.parametrize("seed", FEW_SEEDS)
def test_requests_beyond_all_limits_are_rejected_with_a_time(seed: int) -> None:
    fleet = engine_fleet.EngineFleet(seed, 9, 10)
    fleet.start_ticks(END_MS)
    fleet.start_load(500, END_MS, 80.0)
    fleet.at(LIMITED_MS, lambda: fleet.limit_engines(10, 3.1))
    fleet.run_until(END_MS)
    assert _most_over_limit(fleet) <= 0
    rejects = [o.reject for o in fleet.sound if o.reject is not None]
    assert rejects
    for reject in rejects:
        assert reject.reason is effects.Reason.UPSTREAM_LIMIT
        assert reject.not_run
        assert reject.retry_after_ms is not None
        assert 150 <= reject.retry_after_ms <= 5_000


def _seen(
    limit_per_s: float | None, now_ms: int, sent_ms: int
) -> events.UpstreamStated:
    return build.stated(
        now_ms, build.registration(), sent_ms=sent_ms, limit_per_s=limit_per_s
    )


def test_answer_to_an_earlier_request_does_not_end_a_limit() -> None:
    state = build.state(build.registration())
    reducer.reduce(state, _seen(3.0, 100, 40))
    reducer.reduce(state, _seen(None, 110, 90))
    share = _share(state)
    assert share.limit_per_s == 3.0
    reducer.reduce(state, _seen(None, 200, 150))
    assert share.limit_per_s is None


def test_late_digest_does_not_bring_back_a_limit() -> None:
    state = build.state(build.registration())
    reducer.reduce(state, _seen(3.0, 1_000, 900))
    late = upstream_limits.rows(state, 1_000)
    reducer.reduce(state, _seen(None, 2_000, 1_500))
    upstream_limits.merge(state, ((*late[0][:3], 1_500),), 2_500)
    assert _share(state).limit_per_s is None


def test_limit_of_an_earlier_incarnation_is_ignored() -> None:
    state = build.state(build.registration(incarnation_ms=5))
    reducer.reduce(state, _seen(3.0, 100, 40))
    upstream_limits.merge(state, (("u1", 4, 3.0, 0),), 100)
    upstream = state.upstreams.get("u1")
    assert upstream is not None
    assert upstream.limit_share is None


def test_limits_in_digests_are_bounded_and_sent_in_turn() -> None:
    registrations = [build.registration(f"u{n}") for n in range(50)]
    state = build.state(*registrations)
    for registration in registrations:
        seen = build.stated(0, registration, sent_ms=0, limit_per_s=3.0)
        reducer.reduce(state, seen)
    announced: set[str] = set()
    for number in range(20):
        state.digests_sent = number
        sent = upstream_limits.rows(state, 60_000)
        assert len(sent) <= upstream_limits.MAX_ROWS
        announced |= {row[0] for row in sent}
    assert len(announced) == 50


@pytest.mark.parametrize("size", [1, 3, 9, 40, 2_600])
@pytest.mark.parametrize("limit_per_s", [0.2, 1.0, 3.1, 25.0, 300.0])
def test_shares_of_all_entries_add_up_to_the_limit(
    size: int, limit_per_s: float
) -> None:
    names = [f"entry-{number}" for number in range(size)]
    total_per_s = 0.0
    burst = 0
    for name in names:
        ring = limit_shares.EntryRing(names, name)
        share = limit_shares.LimitShare(limit_per_s, 0)
        share.divide(ring, 3, 10, 0)
        while share.room_in_ms(0) == 0:
            share.take(0)
            burst += 1
        total_per_s += share.share_per_s
    assert total_per_s == pytest.approx(limit_per_s)
    # What the platform permits in 4 s.
    assert burst + 4 * total_per_s <= 6 * limit_per_s + 5


@pytest.mark.parametrize(("size", "upstreams"), [(9, 10), (40, 30), (195, 60)])
def test_entries_have_the_same_sum_of_shares(size: int, upstreams: int) -> None:
    names = [f"entry-{number}" for number in range(size)]
    for name in names:
        ring = limit_shares.EntryRing(names, name)
        weights = [
            ring.own_weight(position, upstreams, 3.1)
            for position in range(upstreams)
        ]
        assert sum(weights) == pytest.approx(upstreams / size)


# With nine entries, 12 to 15% of the requests were rejected although the
# upstreams' limits allowed them: unused shares were lost.
@pytest.mark.parametrize("limit_per_s", [3.1, 10.0])
@pytest.mark.parametrize("seed", FEW_SEEDS)
def test_few_requests_are_rejected_below_the_sum_of_limits(
    seed: int, limit_per_s: float
) -> None:
    fleet = engine_fleet.EngineFleet(seed, 9, 10)
    fleet.start_ticks(END_MS)
    fleet.start_load(500, END_MS, 0.8 * limit_per_s * 10)
    fleet.at(LIMITED_MS, lambda: fleet.limit_engines(10, limit_per_s))
    fleet.run_until(END_MS)
    assert _most_over_limit(fleet) <= 0
    limited = [o for o in fleet.sound if o.arrived_ms >= LIMITED_MS]
    rejected = sum(o.reject is not None for o in limited)
    assert rejected < 0.02 * len(limited)


# An answer tells the limit to one entry; the others have to learn it from that
# one before they send a request themselves.
@pytest.mark.parametrize(("entries", "engines"), [(7, 6), (40, 30)])
def test_entries_keep_a_limit_that_only_others_were_told(
    entries: int, engines: int
) -> None:
    fleet = _fleet(
        1, entries, engines, rate_per_s=entries * 4.0, limit_per_s=0.5
    )
    fleet.run_until(END_MS)
    for engine in fleet.engines.values():
        if engine.limit_per_s is None:
            continue
        senders = {
            name
            for at_ms, name in engine.arrivals
            if at_ms >= LIMITED_MS + CONTACT_MS
        }
        assert len(senders) <= limit_shares.MIN_HOLDERS + 1


def _share(
    state: forwarding_state.ForwardingState,
) -> limit_shares.LimitShare:
    upstream = state.upstreams.get("u1")
    assert upstream is not None
    assert upstream.limit_share is not None
    return upstream.limit_share
