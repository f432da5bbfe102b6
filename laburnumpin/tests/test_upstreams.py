"""Tests of the upstream state of an entry."""

from __future__ import annotations

import collections
import dataclasses

from laburnumpin import verdict
from laburnumpin.core import configuration
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import messages
from laburnumpin.core import requests
from laburnumpin.core import state as entry_state
from laburnumpin.core import upstreams
from laburnumpin.tests import builders
from laburnumpin.tests import test_membership


def make_state() -> entry_state.EntryState:
    state = entry_state.EntryState(ids.EntryId("e0", 1), "north", "e0:1", 7)
    state.configuration.current = deployment.Configuration(
        1, "change", "", builders.make_deployment()
    )
    return state


def make_row(
    vm_id: str,
    zone: str = "north",
    service: str = "desk",
    leaving: bool = False,
) -> events.VmRow:
    role = events.VmRole.UPSTREAM
    return events.VmRow(
        vm_id, 1, role, zone, "gpu", True, leaving, service, f"{vm_id}:1"
    )


def make_report(
    running: int = 0,
    age_ms: int = 0,
    incarnation: int = 1,
    slots: int = 8,
    step_ms: float = 10.0,
    leaving: bool = False,
    model: str = "draft-model",
) -> events.LoadReport:
    return events.LoadReport(
        incarnation, age_ms, running, 0, slots, 0, step_ms, leaving, model=model
    )


def list_vms(
    state: entry_state.EntryState, now_ms: int, *rows: events.VmRow
) -> None:
    upstreams.on_vms_listed(state, events.VmsListed(now_ms, rows))


def report_load(
    state: entry_state.EntryState,
    now_ms: int,
    vm_id: str,
    report: events.LoadReport | None = None,
) -> None:
    event = events.LoadReported(now_ms, vm_id, report or make_report())
    upstreams.on_load_reported(state, event)


def eligible(
    state: entry_state.EntryState, now_ms: int, service: str = "desk"
) -> list[str]:
    result = upstreams.eligible(state, service, now_ms)
    return sorted(upstream.upstream_id for upstream in result)


def test_subset_is_bounded_and_prefers_the_own_data_center() -> None:
    """Guards against a poll rate that grows with the number of upstreams."""
    state = make_state()
    local_rows = [make_row(f"n{number}") for number in range(100)]
    remote_rows = [make_row(f"s{number}", "south") for number in range(100)]
    list_vms(state, 0, *local_rows, *remote_rows)
    polls = upstreams.on_tick(state, events.Tick(0))
    polled = [p.upstream_id for p in polls if isinstance(p, effects.PollLoad)]
    assert len(polled) == upstreams.SUBSET_SIZE
    assert {name[0] for name in polled} == {"n"}


def test_small_service_is_used_in_every_zone() -> None:
    """Guards against zones whose upstreams get no work in a small service."""
    state = make_state()
    for number, zone in enumerate(builders.ZONES):
        list_vms(state, 0, make_row(f"u{number}", zone))
    list_vms(
        state, 0, *[make_row(f"u{n}", z) for n, z in enumerate(builders.ZONES)]
    )
    for number in range(3):
        report_load(state, 1, f"u{number}")
    assert eligible(state, 2) == ["u0", "u1", "u2"]


def test_spares_replace_a_lost_data_center_before_the_next_list() -> None:
    """Guards against an entry that has no upstreams until the next VM list."""
    state = make_state()
    local_rows = [make_row(f"n{number}") for number in range(100)]
    remote_rows = [make_row(f"s{number}", "south") for number in range(100)]
    list_vms(state, 0, *local_rows, *remote_rows)
    for row in local_rows:
        upstreams.mark_leaving(state, row.vm_id, 1, 10)
    subset = upstreams.of_service(state, "desk")
    usable = [u for u in subset if u.in_subset and not u.leaving]
    assert len(usable) >= upstreams.MAX_SPARES // 2


def test_subsets_spread_over_all_upstreams() -> None:
    """Guards against upstreams that are in no entry's subset."""
    rows = [make_row(f"n{number}") for number in range(200)]
    for number in range(40):
        rows.append(test_membership.make_row(f"e{number}"))
    used: collections.Counter[str] = collections.Counter()
    for number in range(40):
        state = make_state()
        state.entry = ids.EntryId(f"e{number}", 1)
        list_vms(state, 0, *rows)
        used.update(state.upstreams.by_id.keys())
    # 40 subsets of 24 cover each of 200 upstreams 4.8 times on average.
    assert len(used) == 200
    assert max(used.values()) - min(used.values()) <= 1


def test_subset_hardly_changes_when_an_upstream_or_entry_joins() -> None:
    """Guards against losing caches and connections at each list change."""
    rows = [make_row(f"n{number}") for number in range(200)]
    rows += [test_membership.make_row(f"e{number}") for number in range(40)]
    state = make_state()
    state.entry = ids.EntryId("e7", 1)
    list_vms(state, 0, *rows)
    before = {u.upstream_id for u in upstreams.of_service(state, "desk")}
    list_vms(state, 1, *rows, make_row("x"), test_membership.make_row("y"))
    after = set()
    for upstream in upstreams.of_service(state, "desk"):
        if upstream.in_subset:
            after.add(upstream.upstream_id)
    assert len(before & after) >= 18


def test_entry_missing_from_the_list_has_a_subset_of_its_own() -> None:
    """Guards against new entries that all start with the same upstreams."""
    rows = [make_row(f"n{number}") for number in range(200)]
    chosen = []
    for number in range(2):
        state = make_state()
        state.entry = ids.EntryId(f"new-{number}", 1)
        list_vms(state, 0, *rows)
        chosen.append(set(state.upstreams.by_id))
    assert chosen[0] != chosen[1]


def test_leaving_mark_outlives_lagging_lists_and_reports() -> None:
    """Guards against clearing a leaving mark after a stale list or report."""
    state = make_state()
    list_vms(state, 0, make_row("u0"))
    report_load(state, 1, "u0")
    upstreams.mark_leaving(state, "u0", 1, 2)
    list_vms(state, 5_000, make_row("u0"))
    report_load(state, 5_001, "u0")
    assert eligible(state, 5_002) == []
    list_vms(state, upstreams.LEAVING_MARK_RETENTION_MS * 2, make_row("u0"))
    for number in range(10):
        upstreams.mark_leaving(state, f"x{number}", 1, 10_000_000)
    assert ("u0", 1) in state.upstreams.leaving
    renewed = dataclasses.replace(make_row("u0"), incarnation=2)
    list_vms(state, 10_000_000, renewed)
    report_load(state, 10_000_000, "u0", make_report(incarnation=2))
    assert eligible(state, 10_000_001) == ["u0"]


def test_mark_may_arrive_before_the_upstream_is_listed() -> None:
    """Guards against losing a mark whose upstream is not in the list yet."""
    state = make_state()
    upstreams.mark_leaving(state, "u0", 1, 0)
    list_vms(state, 1, make_row("u0"))
    report_load(state, 2, "u0")
    assert eligible(state, 3) == []


def test_marks_are_bounded() -> None:
    """Guards against memory use that grows with every reclaimed VM."""
    state = make_state()
    list_vms(state, 0, make_row("kept"))
    upstreams.mark_leaving(state, "kept", 1, 0)
    for number in range(upstreams.MAX_LEAVING_MARKS + 500):
        upstreams.mark_leaving(state, f"u{number}", 1, number)
    assert len(state.upstreams.leaving) <= upstreams.MAX_LEAVING_MARKS + 1
    assert ("kept", 1) in state.upstreams.leaving
    for number in range(upstreams.MAX_LEAVING_MARKS + 500):
        upstreams.mark_leaving(state, f"v{number}", 1, 10**8 + number)
    assert ("u9999", 1) not in state.upstreams.leaving


def test_old_report_stops_new_work_until_the_next() -> None:
    """Guards against new work from an entry without recent load reports."""
    state = make_state()
    list_vms(state, 0, make_row("u0"))
    report_load(state, 1_000, "u0", make_report(age_ms=500))
    assert eligible(state, 500 + upstreams.REPORT_MAX_AGE_MS) == ["u0"]
    assert eligible(state, 501 + upstreams.REPORT_MAX_AGE_MS) == []
    report_load(state, 9_000, "u0")
    assert eligible(state, 9_001) == ["u0"]


def test_crossed_reports_do_not_replace_newer_ones() -> None:
    """Guards against a late answer that makes a busy upstream look idle."""
    state = make_state()
    list_vms(state, 0, make_row("u0"))
    report_load(state, 2_000, "u0", make_report(running=7))
    report_load(state, 2_100, "u0", make_report(running=0, age_ms=900))
    upstream = state.upstreams.by_id["u0"]
    assert upstreams.streams(state, upstream, 2_200) == 7
    report_load(state, 2_200, "u0", make_report(incarnation=0))
    assert upstream.incarnation == 1


def test_timed_out_poll_is_repeated_over_a_new_connection() -> None:
    """Guards against mistaking a stalled connection for a slow upstream."""
    state = make_state()
    list_vms(state, 0, make_row("u0"))
    report_load(state, 0, "u0")
    upstreams.on_tick(state, events.Tick(1_000))
    failed = events.LoadPollFailed(2_000, "u0", timed_out=True)
    upstreams.on_load_poll_failed(state, failed)
    effect = upstreams.on_tick(state, events.Tick(2_000))[-1]
    assert isinstance(effect, effects.PollLoad)
    assert effect.new_connection
    assert eligible(state, 2_001) == ["u0"]
    upstreams.on_load_poll_failed(state, failed)
    assert upstreams.on_tick(state, events.Tick(2_020)) == []


def test_poll_without_any_result_is_repeated() -> None:
    """Guards against an upstream that is never polled again."""
    state = make_state()
    list_vms(state, 0, make_row("u0"))
    upstreams.on_tick(state, events.Tick(0))
    lost_ms = upstreams.POLL_ANSWER_TIMEOUT_MS
    effect = upstreams.on_tick(state, events.Tick(lost_ms))[-1]
    assert isinstance(effect, effects.PollLoad)


def test_engine_with_another_model_gets_no_work() -> None:
    """Guards against answers from the wrong model."""
    state = make_state()
    list_vms(state, 0, make_row("u0", service="draft"))
    report_load(state, 1, "u0", make_report(model="other"))
    assert eligible(state, 2, "draft") == []
    report_load(state, 3, "u0")
    assert eligible(state, 4, "draft") == ["u0"]


def test_unlisted_upstream_is_kept_while_it_reports() -> None:
    """Guards against removing an upstream because the VM list lags.

    Also guards against an upstream that is never removed.
    """
    state = make_state()
    list_vms(state, 0, make_row("u0"), make_row("u1"))
    report_load(state, 1, "u0")
    list_vms(state, 2, make_row("u1"))
    assert eligible(state, 3) == ["u0"]
    list_vms(state, 2 + upstreams.UNLISTED_TIMEOUT_MS, make_row("u1"))
    assert "u0" not in state.upstreams.by_id
    assert "u0" not in state.upstreams.by_service["desk"]


def test_peers_counts_correct_a_lagging_report() -> None:
    """Guards against entries that all choose the same idle upstream."""
    state = make_state()
    list_vms(state, 0, make_row("u0"))
    report_load(state, 1, "u0")
    digest = messages.Digest(
        ids.EntryId("e1", 1),
        1,
        "north",
        "e1:1",
        True,
        1,
        0,
        (messages.UpstreamLoad("u0", 5),),
        (messages.LeavingUpstream("u9", 1),),
        (),
        (),
    )
    event = events.PeerReceived(100, "e1", digest)
    upstreams.on_digest(state, event, digest)
    upstream = state.upstreams.by_id["u0"]
    assert upstreams.streams(state, upstream, 200) == 5
    late_ms = 101 + upstreams.PEER_COUNT_MAX_AGE_MS
    assert upstreams.streams(state, upstream, late_ms) == 0
    assert ("u9", 1) in state.upstreams.leaving


def test_attempts_since_a_report_count_for_all_sharing_entries() -> None:
    """Guards against entries that all fill the same engine between reports."""
    state = make_state()
    list_vms(state, 0, make_row("u0"))
    report_load(state, 100, "u0", make_report(running=3))
    state.upstreams.entry_count = 6
    upstream = state.upstreams.by_id["u0"]
    upstream.sent.append((200, 10))
    assert upstreams.streams(state, upstream, 300) == 9
    report_load(state, 400, "u0", make_report(running=5, age_ms=150))
    assert upstreams.streams(state, upstream, 400) == 5
    list_vms(state, 500, *[make_row(f"u{number}") for number in range(320)])
    assert upstreams.entries_per_upstream(state, "desk") == 1.0
    state.upstreams.entry_count = 60
    # 60 entries with 24 of 320 upstreams each.
    assert upstreams.entries_per_upstream(state, "desk") == 4.5


def make_request(
    state: entry_state.EntryState, number: int
) -> requests.Request:
    current = state.configuration.current
    assert current is not None
    service = current.deployment.services["desk"]
    return requests.Request(
        request_id=f"e0.1.{number}",
        customer="acme",
        service=service,
        operation=service.operations["read"],
        body="",
        prompt="",
        prompt_tokens=0,
        max_tokens=10,
        blocks=(),
        idempotency_key=None,
        accepted_ms=0,
        deadline_ms=10**9,
        priority=deployment.Priority.BULK,
        configuration=current,
    )


def attempt(
    state: entry_state.EntryState,
    now_ms: int,
    failure: events.AttemptFailure | None,
    incarnation_change: bool = False,
) -> None:
    request = make_request(state, now_ms)
    request.attempt = requests.Attempt(f"a{now_ms}", "u0", now_ms, 0)
    upstream = state.upstreams.by_id["u0"]
    upstreams.on_dispatched(state, upstream, request, now_ms)
    if incarnation_change:
        report_load(state, now_ms, "u0", make_report(incarnation=2))
    if failure is None:
        request.verdict = verdict.Verdict.RAN
    upstreams.on_attempt_ended(
        state, request.attempt, request, failure, now_ms + 10
    )


def test_overloaded_upstream_gets_no_work_until_a_newer_report() -> None:
    """Guards against repeated retries at a full upstream."""
    state = make_state()
    list_vms(state, 0, make_row("u0"))
    report_load(state, 100, "u0")
    attempt(state, 150, events.AttemptFailure.UPSTREAM_OVERLOADED)
    assert eligible(state, 170) == []
    report_load(state, 200, "u0", make_report(age_ms=60))
    assert eligible(state, 200) == []
    report_load(state, 300, "u0")
    assert eligible(state, 300) == ["u0"]


def test_rejection_by_an_earlier_incarnation_is_ignored() -> None:
    """Guards against a restarted upstream that never gets work again."""
    state = make_state()
    list_vms(state, 0, make_row("u0"))
    report_load(state, 100, "u0")
    leaving = events.AttemptFailure.UPSTREAM_LEAVING
    attempt(state, 150, leaving, incarnation_change=True)
    assert eligible(state, 200) == ["u0"]
    attempt(state, 250, leaving)
    assert eligible(state, 300) == []


def test_ended_attempts_free_streams_before_the_next_report() -> None:
    """Guards against counting ended streams until the next report."""
    state = make_state()
    list_vms(state, 0, make_row("u0"))
    report_load(state, 100, "u0", make_report(running=4))
    attempt(state, 150, None)
    upstream = state.upstreams.by_id["u0"]
    assert upstreams.streams(state, upstream, 200) == 4
    assert upstreams.latency_model(state, upstream).service_ms == 10


def test_pause_stops_new_work_until_notices_are_read() -> None:
    """Guards against work for an engine whose notice came during a pause."""
    state = make_state()
    list_vms(state, 0, make_row("u0"), make_row("u1"))
    for now_ms, resumed in ((0, False), (6_000, True)):
        configuration.on_tick(state, events.Tick(now_ms))
        report_load(state, now_ms, "u0")
        report_load(state, now_ms, "u1")
        assert bool(eligible(state, now_ms + 1)) is not resumed
    # The request was sent before the pause and answered after it.
    upstreams.on_notices(state, events.NoticesListed(6_010, (), sent_ms=1_000))
    assert eligible(state, 6_011) == []
    notice = events.Notice("u0", 1, 9_000)
    upstreams.on_notices(
        state, events.NoticesListed(6_020, (notice,), sent_ms=6_001)
    )
    assert eligible(state, 6_021) == ["u1"]
