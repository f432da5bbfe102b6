"""Back-offs that upstreams ask for, in virtual time."""

from __future__ import annotations

import pytest

from laburnumpin.forwarding import backoff
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import lifecycle
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams
from laburnumpin.tests import engine_fleet
from laburnumpin.tests import forwarding_builders as build

SETTINGS = backoff.BackoffSettings()


def _state(*ids: str) -> forwarding_state.ForwardingState:
    return build.state(*(build.registration(i) for i in ids or ("u1", "u2")))


def _ask(
    state: forwarding_state.ForwardingState,
    backoff_ms: int,
    upstream_id: str = "u1",
    now_ms: int = 1_000,
    **changes: object,
) -> list[effects.Effect]:
    source = build.registration(upstream_id, **changes)
    return reducer.reduce(
        state, build.stated(now_ms, source, backoff_ms=backoff_ms)
    )


def _usable(state: forwarding_state.ForwardingState, now_ms: int) -> list[str]:
    return sorted(
        upstream.registration.upstream_id
        for upstream in state.upstreams.usable(build.ENGINES, now_ms)
    )


def _arrive(
    state: forwarding_state.ForwardingState, request_id: str, now_ms: int
) -> effects.Effect:
    request = build.request(
        request_id,
        prompt=build.prompt(),
        arrived_ms=now_ms,
        deadline_ms=now_ms + 15_000,
    )
    (effect,) = reducer.reduce(state, events.RequestArrived(now_ms, request))
    return effect


# BUDGET: requests reached an upstream that had asked for a back-off.
def test_upstream_gets_nothing_until_its_backoff_ends() -> None:
    state = _state()
    _ask(state, 4_000)
    for now_ms in (1_000, 2_000, 4_999):
        assert _usable(state, now_ms) == ["u2"]
    end_ms = 5_000 + SETTINGS.spread_ms
    assert _usable(state, end_ms) == ["u1", "u2"]


@pytest.mark.parametrize(
    "event",
    [
        *build.events_of_ready_upstream(2_000),
        build.stated(2_000, build.registration("u1"), backoff_ms=10),
    ],
)
def test_nothing_ends_a_backoff_early(event: events.Event) -> None:
    state = _state()
    _ask(state, 4_000)
    reducer.reduce(state, event)
    assert _usable(state, 4_999) == ["u2"]


def test_registration_that_returns_is_still_backing_off() -> None:
    state = _state()
    _ask(state, 4_000)
    reducer.reduce(state, events.UpstreamRemoved(2_000, 9, "u1", False))
    reducer.reduce(
        state, events.UpstreamChanged(3_000, 10, build.registration("u1"))
    )
    assert _usable(state, 4_999) == ["u2"]


def test_backoff_belongs_to_an_incarnation_and_not_to_an_address() -> None:
    state = _state()
    _ask(state, 4_000)
    other = build.registration("u3", address="10.0.0.1:80")
    reducer.reduce(state, events.UpstreamChanged(2_000, 10, other))
    assert _usable(state, 2_000) == ["u2", "u3"]
    restarted = build.registration("u1", incarnation_ms=7)
    reducer.reduce(state, events.UpstreamChanged(2_000, 9, restarted))
    assert _usable(state, 2_000) == ["u1", "u2", "u3"]
    # A late answer of the earlier incarnation.
    _ask(state, 4_000, now_ms=2_100)
    assert _usable(state, 2_100) == ["u1", "u2", "u3"]


def test_late_answer_of_an_earlier_incarnation_binds_only_that_one() -> None:
    state = _state()
    restarted = build.registration("u1", incarnation_ms=7)
    reducer.reduce(state, events.UpstreamChanged(2_000, 9, restarted))
    _ask(state, 4_000, now_ms=2_100)
    assert _usable(state, 2_100) == ["u1", "u2"]


@pytest.mark.parametrize("asked_ms", [2_592_000_000, 61_000])
def test_hostile_backoff_is_shortened_and_counted(asked_ms: int) -> None:
    state = _state()
    (report,) = _ask(state, asked_ms, now_ms=0)
    assert isinstance(report, effects.Report)
    assert report.message_type == "upstream_backoff_started"
    assert report.fields["asked_ms"] == asked_ms
    assert report.fields["kept_ms"] == SETTINGS.max_ms
    assert state.counters.total("upstream_backoffs_shortened") == 1
    end_ms = SETTINGS.max_ms + SETTINGS.spread_ms
    assert _usable(state, end_ms) == ["u1", "u2"]


def test_setting_of_zero_ignores_backoffs() -> None:
    state = _state()
    state.backoff_settings = backoff.BackoffSettings(max_ms=0)
    assert _ask(state, 4_000) == []
    assert _usable(state, 1_000) == ["u1", "u2"]
    assert state.counters.total("upstream_backoffs") == 1


def test_repeated_answers_are_logged_once_for_each_backoff() -> None:
    state = _state()
    assert len(_ask(state, 4_000)) == 1
    assert _ask(state, 4_000, now_ms=1_010) == []
    assert len(_ask(state, 4_000, now_ms=9_000)) == 1
    assert state.counters.total("upstream_backoffs") == 3


def test_backoffs_are_forgotten_and_bounded() -> None:
    state = _state()
    for number in range(upstreams.MAX_BACKOFFS + 10):
        _ask(state, 4_000, incarnation_ms=number, now_ms=number)
    assert len(state.upstreams._backoffs) == upstreams.MAX_BACKOFFS
    _ask(state, 4_000, now_ms=10_000)
    reducer.reduce(state, events.Ticked(60_000, 60_000))
    assert not state.upstreams._backoffs


def test_request_that_is_about_to_be_sent_is_decided_anew() -> None:
    state = _state()
    send = _arrive(state, "r1", 0)
    assert isinstance(send, effects.Send)
    assert lifecycle.may_send(state, send, 5)
    _ask(state, 4_000, send.upstream_id, 10)
    assert not lifecycle.may_send(state, send, 15)
    (again,) = reducer.reduce(state, build.withdrawn(20))
    assert isinstance(again, effects.Send)
    assert again.upstream_id != send.upstream_id
    # Nothing was sent, so this is the first attempt and costs no retry.
    assert again.attempt == 1


def test_few_moved_streams_continue_at_an_upstream_that_backs_off() -> None:
    known = backoff.Backoff(5_000, SETTINGS.return_ms)
    allowed = [known.may_send(1_000, is_continuation=True) for _ in range(4)]
    assert allowed == [True, True, False, False]
    known.extend(6_000, 9_000)
    assert known.may_send(7_000, is_continuation=True)


def test_callers_are_rejected_at_once_when_all_upstreams_back_off() -> None:
    state = _state()
    _ask(state, 9_000, "u1")
    _ask(state, 4_000, "u2")
    delays_ms = []
    for number in range(40):
        effect = _arrive(state, f"r{number}", 2_000)
        assert isinstance(effect, effects.Reject)
        assert effect.reason is effects.Reason.UPSTREAM_BACKOFF
        assert effect.not_run
        assert effect.retry_after_ms is not None
        delays_ms.append(effect.retry_after_ms)
    # True: not before the first back-off ends, and not long after it.
    assert min(delays_ms) >= 3_000
    latest_ms = 3_000 + SETTINGS.spread_ms + SETTINGS.return_ms
    assert max(delays_ms) <= latest_ms
    # Callers are told different times, so that they don't return at once.
    assert max(delays_ms) - min(delays_ms) >= SETTINGS.return_ms / 2


def test_request_waits_for_the_end_of_a_short_backoff() -> None:
    state = _state("u1")
    _ask(state, 200, now_ms=1_000)
    effect = _arrive(state, "r1", 1_000)
    assert isinstance(effect, effects.Send)
    assert 200 <= effect.wait_ms <= 400
    assert lifecycle.may_send(state, effect, 1_000 + effect.wait_ms)


def test_requests_return_in_growing_numbers() -> None:
    state = _state("u1")
    _ask(state, 5_000, now_ms=0)
    known = state.upstreams.back_off(("u1", 1), 0, 0, 0)
    assert not known
    upstream = state.upstreams.get("u1")
    assert upstream is not None
    assert upstream.backoff is not None
    end_ms = upstream.backoff.until_ms
    assert upstream.wait_ms(end_ms) == 0
    turns_ms = []
    for _ in range(64):
        turns_ms.append(upstream.wait_ms(end_ms) or 0)
        upstream.take(end_ms)
    assert turns_ms[0] == 0
    assert turns_ms == sorted(turns_ms)
    within_half = sum(turn <= SETTINGS.return_ms / 2 for turn in turns_ms)
    assert 8 <= within_half <= 32
    assert upstream.wait_ms(end_ms + SETTINGS.return_ms) == 0


def _run_fleet(
    entries: int, engines: int, busy: int, rate_per_s: float, seed: int = 3
) -> engine_fleet.EngineFleet:
    """Let engines be busy from 5 to 11 s of 18 s."""
    fleet = engine_fleet.EngineFleet(seed, entries, engines)
    fleet.start_ticks(18_000)
    fleet.start_load(1_000, 18_000, rate_per_s)
    fleet.at(5_000, lambda: fleet.keep_busy(busy, 11_000))
    fleet.run_until(20_000)
    return fleet


@pytest.mark.parametrize(
    ("entries", "engines", "busy"), [(7, 6, 2), (7, 6, 6), (40, 30, 10)]
)
def test_no_entry_sends_to_busy_engines(
    entries: int, engines: int, busy: int
) -> None:
    fleet = _run_fleet(entries, engines, busy, entries * 20.0)
    told = [engine.backoffs for engine in fleet.engines.values()]
    assert any(told)
    for engine in fleet.engines.values():
        # Each entry has to be told once; what it sent before its answer came
        # is turned away too.
        assert engine.most_during_backoff() == 0


@pytest.mark.parametrize(("entries", "engines"), [(7, 6), (40, 30)])
def test_requests_go_to_other_engines_within_the_retry_budget(
    entries: int, engines: int
) -> None:
    fleet = _run_fleet(entries, engines, engines // 3, entries * 20.0)
    served = sum(outcome.served for outcome in fleet.sound)
    assert served >= 0.98 * len(fleet.sound)
    retries = sum(max(0, o.attempts - 1) for o in fleet.sound)
    assert retries <= 0.2 * len(fleet.sound)


@pytest.mark.parametrize(("entries", "engines"), [(7, 6), (40, 30)])
def test_entries_return_gradually_to_busy_engines(
    entries: int, engines: int
) -> None:
    fleet = _run_fleet(entries, engines, engines, entries * 40.0)
    first_ms = 11_000
    arrivals = [
        at_ms
        for engine in fleet.engines.values()
        for at_ms, _ in engine.arrivals
        if at_ms >= first_ms
    ]
    usual = entries * 40.0 / 10
    in_first_tenth = sum(at_ms < first_ms + 100 for at_ms in arrivals)
    assert in_first_tenth <= 0.5 * usual
    # All requests are served again within the spread and the return.
    late_ms = first_ms + SETTINGS.spread_ms + SETTINGS.return_ms
    late = [o for o in fleet.sound if o.arrived_ms >= late_ms]
    assert sum(o.served for o in late) >= 0.98 * len(late)


def test_frozen_entry_keeps_the_backoff() -> None:
    fleet = engine_fleet.EngineFleet(4, 7, 3)
    fleet.start_ticks(18_000)
    fleet.start_load(1_000, 18_000, 140.0)
    fleet.at(5_000, lambda: fleet.keep_busy(2, 14_000))
    frozen = fleet.names[0]
    fleet.at(6_000, lambda: fleet.paused.add(frozen))
    fleet.at(9_000, lambda: fleet.resume(frozen))
    fleet.run_until(20_000)
    for engine in fleet.engines.values():
        assert engine.most_during_backoff() == 0
