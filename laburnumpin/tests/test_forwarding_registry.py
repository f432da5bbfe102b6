"""Tests of registrations, digests, upstream health, the clock and usage."""

from __future__ import annotations

from laburnumpin.forwarding import digests
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import peer_link
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.usage_reports import counts as usage
from laburnumpin.tests import forwarding_builders as build


def _digest(name: str = "entry-2", **changes: object) -> digests.Digest:
    fields: dict[str, object] = {
        "contact": build.contact(name),
        "incarnation_ms": 1,
        "sequence_number": 1,
        "wall_ms": 50_000,
        "config_version": 1,
        "registry_version": 1,
        "lease_token": 0,
        "used": {},
        "windows": {},
        "loads": {},
        "parts": (),
        "latency_log_ratios": {},
        "contacts": (),
        "work_ms": {},
        **changes,
    }
    return digests.Digest(**fields)  # type: ignore[arg-type]


def test_older_configuration_is_ignored() -> None:
    state = build.state(current=build.configuration(5))
    reducer.reduce(state, events.DeploymentRead(1, build.configuration(4)))
    assert state.deployment is not None
    assert state.deployment.version == 5


def test_restarted_upstream_has_no_cached_parts() -> None:
    state = build.state(build.registration())
    upstream = state.upstreams.get("u1")
    assert upstream is not None
    upstream.record_cached_part(7, 0)
    restart = build.registration(incarnation_ms=2)
    produced = reducer.reduce(state, events.UpstreamChanged(1, 2, restart))
    assert any(isinstance(e, effects.CloseUpstream) for e in produced)
    restarted = state.upstreams.get("u1")
    assert restarted is not None
    assert not restarted.cached_parts
    stale = build.registration(address="10.9.9.9:1")
    reducer.reduce(state, events.UpstreamChanged(2, 3, stale))
    assert state.upstreams.get("u1") is restarted


def test_expired_registrations_have_a_grace_period_after_an_outage() -> None:
    state = build.state(build.registration())
    reducer.reduce(state, events.UpstreamsListed(1_000, 2, (), True))
    assert state.upstreams.usable(build.ENGINES, 1_500)
    late_ms = 1_000 + upstreams.REGISTRATION_GRACE_MS
    reducer.reduce(state, events.Ticked(late_ms, late_ms))
    assert not state.upstreams.usable(build.ENGINES, late_ms)


def test_registration_removed_without_an_outage_is_dropped_at_once() -> None:
    state = build.state(build.registration())
    reducer.reduce(state, events.UpstreamRemoved(1_000, 2, "u1", False))
    assert not state.upstreams.usable(build.ENGINES, 1_000)


def test_paused_upstream_is_used_when_it_is_the_only_one() -> None:
    state = build.state(build.registration())
    upstream = state.upstreams.get("u1")
    assert upstream is not None
    upstream.record_failure(0, unreachable=True)
    assert state.upstreams.usable(build.ENGINES, 10) == [upstream]


def test_digest_is_unchanged_by_encoding() -> None:
    digest = _digest(
        used={"acme": 12.0},
        windows={7: {"acme": 3}},
        loads={"u1": (4, 900)},
        parts=(("u1", 17),),
        contacts=("10.0.0.7:1",),
        work_ms={"engines": 12.0},
    )
    assert peer_link.decode(peer_link.encode(digest)) == digest


def test_load_of_peers_counts_until_it_expires() -> None:
    state = build.state(build.registration())
    reducer.reduce(
        state, events.DigestReceived(0, _digest(loads={"u1": (9, 500)}))
    )
    upstream = state.upstreams.get("u1")
    assert upstream is not None
    assert (upstream.streams(), upstream.pending_tokens()) == (9, 500)
    reducer.reduce(state, events.Ticked(20_000, 20_000))
    assert upstream.streams() == 0


def test_entry_that_is_behind_fetches_from_its_peer() -> None:
    state = build.state()
    produced = reducer.reduce(
        state, events.DigestReceived(5_000, _digest(config_version=9))
    )
    assert effects.FetchFromPeer("10.0.0.8:7500") in produced


def test_time_of_day_is_that_of_the_median_entry() -> None:
    # A digest must carry the entry's own clock: on trouble-1 of Rigsafe entries
    # sent the median instead, which fell behind with each digest.
    state = build.state()
    for number in range(4):
        reducer.reduce(
            state,
            events.DigestReceived(
                100, _digest(f"entry-{number + 2}", wall_ms=50_100)
            ),
        )
    assert state.members.wall_ms(200, 99_000) == 50_200
    produced = reducer.reduce(state, events.Ticked(400, 99_200))
    sent = [e for e in produced if isinstance(e, effects.SendDigest)]
    assert sent
    assert sent[0].digest.wall_ms == 99_200


def test_usage_is_the_sum_over_all_incarnations() -> None:
    usage_counts = usage.Usage(5_000)
    usage_counts.record("acme", 12_000)
    usage_counts.record_peer_counts("e2/1", {2: {"acme": 4}})
    usage_counts.record_peer_counts("e2/1", {2: {"acme": 5}})
    usage_counts.record_peer_counts("e2/2", {2: {"acme": 2}})
    assert usage_counts.total(2) == {"acme": 8}


def test_upstream_that_times_out_is_avoided() -> None:
    # On trouble-3 of Luvas 98 requests waited for one upstream that did not
    # answer.
    state = build.state(build.registration("u1"), build.registration("u2"))
    silent_upstream = state.upstreams.get("u1")
    assert silent_upstream is not None
    for number in range(upstreams.FAILURES_BEFORE_PAUSE):
        assert silent_upstream in state.upstreams.usable(build.ENGINES, number)
        silent_upstream.record_failure(number, unreachable=False)
    now_ms = upstreams.FAILURES_BEFORE_PAUSE
    assert silent_upstream not in state.upstreams.usable(build.ENGINES, now_ms)
    assert silent_upstream in state.upstreams.usable(build.ENGINES, 60_000)
    silent_upstream.record_success()
    silent_upstream.record_failure(61_000, unreachable=False)
    assert silent_upstream in state.upstreams.usable(build.ENGINES, 61_000)


def test_peer_that_restarts_with_its_clock_set_back_is_accepted() -> None:
    # If the VM's clock is set back before a restart, the new process has a
    # lower incarnation than the old one.
    state = build.state()
    reducer.reduce(state, events.DigestReceived(0, _digest(incarnation_ms=9)))
    late = _digest(incarnation_ms=5, config_version=0)
    reducer.reduce(state, events.DigestReceived(500, late))
    assert state.members.peers()[0].incarnation_ms == 9
    reducer.reduce(state, events.DigestReceived(2_600, late))
    assert state.members.peers()[0].incarnation_ms == 5


def test_relay_forwards_each_digest_once_and_no_delayed_one() -> None:
    digest_filter = digests.DigestFilter()
    assert digest_filter.accept(_digest(incarnation_ms=9, sequence_number=4), 0)
    assert not digest_filter.accept(
        _digest(incarnation_ms=9, sequence_number=4), 10
    )
    assert not digest_filter.accept(
        _digest(incarnation_ms=5, sequence_number=90), 500
    )
    # Restarted with its clock set back.
    assert digest_filter.accept(
        _digest(incarnation_ms=5, sequence_number=1), 2_600
    )
    assert digest_filter.accept(
        _digest(incarnation_ms=5, sequence_number=2), 2_700
    )
