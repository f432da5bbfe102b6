"""Tests of the measured capacity of upstreams and of the placing by it."""

from __future__ import annotations

import math
import random

import cbor2
import pytest

from laburnumpin.forwarding import digests
from laburnumpin.forwarding import events
from laburnumpin.forwarding import peer_link
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.capacity import learning
from laburnumpin.forwarding.capacity import model
from laburnumpin.forwarding.capacity import rows
from laburnumpin.forwarding.rollouts import routing
from laburnumpin.tests import forwarding_builders as build

FAST, SLOW = 0.65, 1.56  # One is 2.4 times as slow as the other.


def _learned(
    slowness: dict[str, float], answers: int
) -> tuple[model.ServiceModel, dict[str, model.Slowness]]:
    """Learn from answers, a tenth of which waited for others' prompts."""
    generator = random.Random(1)
    times = model.ServiceModel()
    learned = {name: model.Slowness(0) for name in slowness}
    for number in range(answers):
        name = generator.choice(list(slowness))
        load = model.Load(generator.choice((600, 2_300, 12_000)), 4)
        observed_ms = (12 + load.tokens / 101 + 2 * 2.97) * slowness[name]
        if generator.random() < 0.1:
            observed_ms += 1_500
        learning.observe(
            times, learned[name], load, round(observed_ms), number * 20
        )
    return times, learned


def test_uneven_upstreams_are_told_apart_by_their_answers() -> None:
    # Upstreams of one service that differ by 2.4 times; other data sheet.
    times, learned = _learned({"fast": FAST, "slow": SLOW}, 1_000)
    now_ms = 20_000
    gap = learned["slow"].lasting(now_ms) - learned["fast"].lasting(now_ms)
    assert gap == pytest.approx(math.log(SLOW / FAST), abs=0.4)
    load = model.Load(12_000, 4)
    error_ms, start_error_ms = 0.0, 0.0
    for name, factor in (("fast", FAST), ("slow", SLOW)):
        observed_ms = (12 + 12_000 / 101 + 2 * 2.97) * factor
        predicted_ms = times.predict_ms(load) * learned[name].factor(now_ms)
        error_ms += abs(predicted_ms - observed_ms)
        start_ms = model.ServiceModel().predict_ms(load)
        start_error_ms += abs(start_ms - observed_ms)
    assert error_ms < start_error_ms


def test_short_slowdown_is_told_from_a_slow_machine() -> None:
    # A noisy neighbour: four times as slow for 600 ms, then as before.
    times, slowness = model.ServiceModel(), model.Slowness(0)
    load = model.Load(2_300, 1)
    typical_ms = round(times.predict_ms(load))
    for now_ms in range(-12_000, 0, 60):
        learning.observe(times, slowness, load, typical_ms, now_ms)
    for now_ms in range(0, 600, 60):
        learning.observe(times, slowness, load, typical_ms * 4, now_ms)
    assert slowness.factor(600) > 1.0
    assert slowness.short(600) > 3 * slowness.lasting(600)
    for now_ms in range(600, 2_400, 60):
        learning.observe(times, slowness, load, typical_ms, now_ms)
    assert slowness.factor(2_400) == 1.0


@pytest.mark.parametrize("observed_ms", [-5, model.MAX_OBSERVED_MS + 1])
def test_time_out_of_range_teaches_nothing(observed_ms: int) -> None:
    times, slowness = model.ServiceModel(), model.Slowness(0)
    load = model.Load(2_300, 1)
    assert learning.observe(times, slowness, load, observed_ms, 9) is None
    assert (times.answers, slowness.answers) == (0, 0)


def _digest(**fields: object) -> digests.Digest:
    return digests.Digest(
        contact=build.contact("entry-2"),
        incarnation_ms=1,
        sequence_number=1,
        wall_ms=50_000,
        config_version=1,
        registry_version=1,
        lease_token=0,
        used={},
        windows={},
        loads={},
        parts=(),
        latency_log_ratios={},
        contacts=(),
        work_ms={},
        **fields,  # type: ignore[arg-type]
    )


def test_digest_of_the_build_before_has_no_rows() -> None:
    # A third of the entries runs the build before.
    fields = cbor2.loads(peer_link.encode(_digest()))
    del fields["cu"], fields["cs"]
    decoded = peer_link.decode(cbor2.dumps(fields))
    assert (decoded.slowness, decoded.times) == ((), ())


def _receive(
    state: forwarding_state.ForwardingState, now_ms: int, **fields: object
) -> None:
    digest = _digest(**fields)
    decoded = peer_link.decode(peer_link.encode(digest))
    reducer.reduce(state, events.DigestReceived(now_ms, decoded))


def test_restarted_entry_takes_over_what_peers_measured() -> None:
    state = build.state(build.registration())
    _receive(
        state,
        5,
        slowness=(("u1", 1, 0.7, 200),),
        times=((build.ENGINES, 9.0, 0.01, 45.0, 500),),
    )
    upstream = state.upstreams.get("u1")
    assert upstream is not None
    assert upstream.slowness.lasting(5) == pytest.approx(0.7)
    assert state.service_model(build.ENGINES).ms_per_token == 0.01


@pytest.mark.parametrize(
    ("row", "reason"),
    [
        (("u1", 2, 0.7, 200), "other_incarnation"),
        (("u7", 1, 0.7, 200), "unknown_upstream"),
        (("u1", 1, 9.0, 200), "out_of_range"),
    ],
)
def test_unusable_rows_are_dropped_and_counted(
    row: tuple[str, int, float, int], reason: str
) -> None:
    state = build.state(build.registration())
    _receive(state, 5, slowness=(row,))
    upstream = state.upstreams.get("u1")
    assert upstream is not None
    assert upstream.slowness.lasting(5) == 0.0
    assert state.counters.value("measurements_dropped", reason) == 1


def test_upstream_that_restarts_is_measured_anew() -> None:
    # Peers' rows are 10 s old, and are of the incarnation before.
    state = build.state(build.registration())
    _receive(state, 5, slowness=(("u1", 1, 0.7, 200),))
    restarted = build.registration(incarnation_ms=9)
    reducer.reduce(state, events.UpstreamChanged(6, 2, restarted))
    _receive(state, 10_006, slowness=(("u1", 1, 0.7, 400),))
    upstream = state.upstreams.get("u1")
    assert upstream is not None
    assert upstream.slowness.lasting(10_006) == 0.0


def test_known_upstream_is_not_overridden_by_a_new_entry() -> None:
    # A third of the entries is new and has few answers.
    state = build.state(build.registration())
    _receive(state, 5, slowness=(("u1", 1, 0.7, 200),))
    _receive(state, 6, slowness=(("u1", 1, -0.7, 20),))
    upstream = state.upstreams.get("u1")
    assert upstream is not None
    assert upstream.slowness.lasting(6) == pytest.approx(0.7, abs=0.01)


def test_rows_of_a_digest_are_bounded_and_reach_every_upstream() -> None:
    registrations = [build.registration(f"u{n}") for n in range(40)]
    state = build.state(*registrations)
    for upstream in state.upstreams.all():
        upstream.slowness.observe(0.5, 50, 0)
    seen: set[str] = set()
    for _ in range(40):
        state.digests_sent += 1
        chosen = rows.upstream_rows(state, 0)
        assert len(chosen) <= 2
        seen.update(row[0] for row in chosen)
    assert len(seen) == 40


def _choose(
    candidates: list[upstreams.Upstream], tokens: int, zone: str = "a"
) -> str:
    choice = selection.choose(
        candidates,
        build.request(prompt=build.prompt(tokens=tokens)),
        build.configuration().services[build.ENGINES],
        zone,
        set(),
        0,
        random.Random(1),
        selection.ServiceView(),
    )
    assert choice is not None
    choice.upstream.own_streams += 1
    choice.upstream.own_pending_tokens += choice.uncached_tokens
    return choice.upstream.registration.upstream_id


def _engines(zones: str) -> list[upstreams.Upstream]:
    built = []
    for number, zone in enumerate(zones):
        registration = build.registration(f"{zone}{number}", zone=zone)
        built.append(upstreams.Upstream(registration, 0))
    return built


def test_long_prompt_goes_where_it_is_read_in_time() -> None:
    # A fast engine with a short queue and a slow empty one.
    candidates = _engines("aa")
    candidates[0].slowness.adopt(-0.43, 100, 0)
    candidates[0].own_pending_tokens = 4_000
    candidates[1].slowness.adopt(0.45, 100, 0)
    assert _choose(candidates, 30_000) == "a0"
    assert _choose(candidates, 600) == "a1"


def test_equal_demands_use_three_two_and_two_upstreams_alike() -> None:
    # Zones a, b and c have 3, 2 and 2 engines and send the same.
    candidates = _engines("aaabbcc")
    for number in range(140):
        _choose(candidates, 2_300, "abc"[number % 3])
    streams = [upstream.own_streams for upstream in candidates]
    assert max(streams) <= 1.3 * min(streams)


def test_demand_that_moves_to_another_zone_uses_all_upstreams() -> None:
    # The callers of zone a return at zone c, whose engines can't take them.
    candidates = _engines("aaabbcc")
    for _ in range(60):
        _choose(candidates, 2_300, "c")
    used = [upstream.own_streams for upstream in candidates]
    assert min(used) >= 5


def test_slowness_of_an_upstream_does_not_excuse_its_version() -> None:
    # A bad version whose upstreams are slow for long, as their entries learn.
    state = build.state(build.registration())
    upstream = next(iter(state.upstreams.of_service(build.ENGINES)))
    upstream.slowness.adopt(math.log(4), 100, 0)
    active = forwarding_state.ActiveRequest(
        build.request(prompt=build.prompt(tokens=2_300))
    )
    active.choice = selection.choose(
        [upstream],
        active.request,
        build.configuration().services[build.ENGINES],
        "a",
        set(),
        0,
        random.Random(1),
        selection.ServiceView(),
    )
    assert active.choice is not None
    assert active.choice.predicted_ms > 3 * active.choice.typical_ms
    late_ms = round(4 * active.choice.typical_ms)
    assert routing._is_slow(active, late_ms)
    assert not routing._is_slow(active, round(2 * active.choice.typical_ms))
