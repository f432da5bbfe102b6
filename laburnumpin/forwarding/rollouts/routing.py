"""Routes requests by the roll-outs in force, and records what became of them.

Without an order, nothing here changes anything.
"""

from __future__ import annotations

from collections.abc import Iterable
import zlib

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.rollouts import book
from laburnumpin.forwarding.rollouts import codec
from laburnumpin.forwarding.rollouts import model

# An answer is slow if its first byte took this many times what is predicted for
# a typical upstream of the service, and at least this much longer.
SLOW_FACTOR = 2.5
MIN_SLOW_EXCESS_MS = 60.0
# Time after which streams at the previous version are moved, once all new
# requests go to the target version. Most end before that.
MOVE_AFTER_MS = 1_500
# Pause between two counts of the ready upstreams by version.
NOTE_PERIOD_MS = 300
# Time for which a new decision is in every digest.
ANNOUNCED_MS = 3_000
# Rows of evidence that the digests of all entries together may hold, and the
# fewest of each.
TOTAL_EVIDENCE_ROWS = 1_200
MIN_EVIDENCE_ROWS = 2

_OUTCOMES = {
    events.Ending.ERROR_STATUS: model.AnswerOutcome.FAILED,
    events.Ending.BROKEN: model.AnswerOutcome.BROKEN,
    events.Ending.MALFORMED: model.AnswerOutcome.BROKEN,
    events.Ending.SILENT: model.AnswerOutcome.SLOW,
    events.Ending.DEADLINE: model.AnswerOutcome.SLOW,
}


def on_read(
    state: forwarding_state.ForwardingState,
    event: events.RolloutsOrdered | events.RolloutsDecided,
) -> list[effects.Effect]:
    """Apply orders of the operator or decisions of the holder."""
    match event:
        case events.RolloutsOrdered():
            return _on_ordered(state, event)
        case events.RolloutsDecided():
            return _apply_decisions(
                state, event.decisions, event.source, event.now_ms
            )


def _on_ordered(
    state: forwarding_state.ForwardingState, event: events.RolloutsOrdered
) -> list[effects.Effect]:
    """Apply the operator's orders, and those that it has taken back."""
    if state.rollout_settings is None:
        return []
    produced: list[effects.Effect] = []
    for service in event.withdrawn:
        if state.rollouts.withdraw_order(service, event.now_ms):
            produced.append(_report_order(state, service, "withdrawn"))
    for order in event.orders:
        is_new = state.rollouts.apply_order(order, event.now_ms)
        if not is_new and order.service in state.rollout_book.by_service:
            continue
        entry = state.rollout_book.add(order)
        _note_order(state, entry, event.now_ms)
        produced.append(_report_order(state, order.service, "ordered"))
    return produced


def _apply_decisions(
    state: forwarding_state.ForwardingState,
    decisions: Iterable[model.Decision],
    source: str,
    now_ms: int,
) -> list[effects.Effect]:
    """Apply decisions of the holder; `source` is where they were read."""
    produced: list[effects.Effect] = []
    if state.rollout_settings is None:
        return produced
    for decision in decisions:
        if not state.rollouts.apply_decision(decision, now_ms):
            continue
        state.rollout_book.decided_ms = now_ms
        if source == "holder" or not state.members.uses_relays():
            state.request_early_digest()
        entry = state.rollout_book.by_service.get(decision.order.service)
        if entry is None or entry.order != decision.order:
            # The order itself has not been read here yet.
            entry = state.rollout_book.add(decision.order)
        _note_order(state, entry, now_ms)
        state.counters.increment("rollout_decisions", decision.stage.value)
        produced.append(
            effects.Report(
                "rollout_decision",
                {
                    "service": decision.order.service,
                    "target_version": decision.order.target_version,
                    "stage": decision.stage.value,
                    "reason": decision.reason,
                    "paused": decision.is_paused,
                    "fencing_token": decision.fencing_token,
                    "sequence": decision.sequence,
                    "source": source,
                },
            )
        )
    return produced


def merge(
    state: forwarding_state.ForwardingState,
    peer: str,
    incarnation_ms: int,
    rows: tuple[model.EvidenceRow, ...],
    decisions: tuple[model.Decision, ...],
    now_ms: int,
) -> list[effects.Effect]:
    """Apply what a peer's digest says of roll-outs."""
    if state.rollout_settings is None:
        return []
    produced = _apply_decisions(state, decisions, "digest", now_ms)
    if rows:
        state.rollouts.merge_evidence(peer, incarnation_ms, rows, now_ms)
    return produced


def on_tick(
    state: forwarding_state.ForwardingState, now_ms: int
) -> list[effects.Effect]:
    """Note the registered versions, and log that a version is stopped here."""
    produced: list[effects.Effect] = []
    if state.rollout_settings is None:
        return produced
    if now_ms >= state.rollout_book.noted_ms + NOTE_PERIOD_MS:
        note_listed(state, now_ms)
    for service, entry in state.rollout_book.by_service.items():
        _note_stage(state, entry, now_ms)
        status = state.rollouts.status(service, now_ms)
        is_stopped = status is not None and status.is_stopped_here
        if status is not None and is_stopped and not entry.is_stopped_here:
            state.request_early_digest()
            state.counters.increment("rollouts_stopped_here")
            produced.append(
                effects.Report(
                    "rollout_stopped_here",
                    {
                        "service": service,
                        "target_version": entry.order.target_version,
                        "reason": status.reason,
                        "target_answers": status.target_answers,
                        "target_errors": status.target_errors,
                        "target_slow": status.target_slow,
                        "previous_answers": status.previous_answers,
                        "previous_errors": status.previous_errors,
                        "previous_slow": status.previous_slow,
                    },
                )
            )
        entry.is_stopped_here = is_stopped
    return produced


def choices(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    now_ms: int,
) -> list[frozenset[str] | None]:
    """Return the versions that a request may be sent to, best first.

    None stands for any version. The target version never takes what the others
    can't; they take what it can't.
    """
    if state.rollout_settings is None:
        return [None]
    request = active.request
    allowed = state.rollouts.allowed_versions(
        request.service,
        request.route.name,
        now_ms,
        is_retry=active.sends > 0 or bool(active.excluded),
    )
    target = state.rollouts.preferred_version(request.service)
    if allowed is None or target is None or target not in allowed:
        return [allowed]
    if len(allowed) == 1:
        return [allowed, state.rollouts.fallback_versions(request.service)]
    return [frozenset((target,)), allowed - {target}]


def note_again(
    state: forwarding_state.ForwardingState, service: str, now_ms: int
) -> bool:
    """Note a service's versions when none of them can take a request.

    The last upstream of an established version may have left since, so that
    those of a withheld one take its place. Return whether a version has left.
    """
    versions = state.rollout_book.versions.get(service, frozenset())
    if len(versions) < 2:
        return False
    found = state.upstreams.of_service(service)
    _note_service(state, service, found, now_ms)
    return state.rollout_book.versions.get(service) != versions


def usable(
    state: forwarding_state.ForwardingState,
    service: str,
    now_ms: int,
    max_wait_ms: int,
    versions: frozenset[str] | None,
) -> list[upstreams.Upstream]:
    """Return the usable upstreams of some versions, without unused canaries."""
    found = state.upstreams.usable(service, now_ms, max_wait_ms, versions)
    entry = state.rollout_book.by_service.get(service)
    if entry is None or entry.canary_ids is None or versions is None:
        return found
    kept = []
    for upstream in found:
        registration = upstream.registration
        if registration.version != entry.order.target_version:
            kept.append(upstream)
            continue
        avoided_until_ms = max(upstream.paused_until_ms, upstream.full_until_ms)
        is_used = registration.upstream_id in entry.canary_ids
        if is_used and now_ms >= avoided_until_ms:
            kept.append(upstream)
    return kept


def may_send(
    state: forwarding_state.ForwardingState, effect: effects.Send
) -> bool:
    """Return whether a request may still be sent to its upstream's version.

    Since it was decided, the version may have been stopped here, or the
    roll-out rolled back.
    """
    registration = effect.registration
    if state.rollout_settings is None:
        return True
    if state.rollouts.may_use(registration.service, registration.version):
        return True
    state.counters.increment("rollout_sends_withdrawn")
    return False


def on_arrived(
    state: forwarding_state.ForwardingState, service: str, now_ms: int
) -> None:
    """Count a request that arrived for a service."""
    if service in state.rollout_book.by_service:
        state.rollouts.record_request(service, now_ms)


def on_assigned(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    now_ms: int,
) -> None:
    """Count an attempt that is about to be sent to its upstream."""
    choice = active.choice
    active.is_judged = False
    active.connected_ms = 0
    if choice is None:
        return
    registration = choice.upstream.registration
    if registration.service in state.rollout_book.by_service:
        state.rollouts.record_sent(
            registration.service, registration.version, now_ms
        )


def on_connected(
    state: forwarding_state.ForwardingState, request_id: str, now_ms: int
) -> None:
    """Note that an attempt has its connection, new or used before.

    Requests to new upstreams need new ones more often.
    """
    active = state.active.get(request_id)
    if active is not None:
        active.connected_ms = now_ms


def on_first_event(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    now_ms: int,
) -> None:
    """Record an answer whose first byte came late."""
    if _is_slow(active, now_ms):
        _record(state, active, model.AnswerOutcome.SLOW, now_ms)


def on_attempt_failed(
    state: forwarding_state.ForwardingState, event: events.AttemptFailed
) -> list[effects.Effect]:
    """Record an attempt that ended without a complete answer.

    What has not run says nothing of the version. A broken connection does only
    if its upstream still accepts another one, which is checked.
    """
    active = state.active.get(event.request_id)
    outcome = _OUTCOMES.get(event.ending)
    if active is None or active.choice is None or outcome is None:
        return []
    if event.verdict is verdicts.Verdict.NOT_RUN:
        return []
    if event.ending is events.Ending.DEADLINE:
        if event.answer_started or not _is_slow(active, event.now_ms):
            return []
    registration = active.choice.upstream.registration
    if event.ending is not events.Ending.BROKEN:
        _record(state, active, outcome, event.now_ms)
        return []
    if active.is_judged or (
        registration.service not in state.rollout_book.by_service
    ):
        return []
    active.is_judged = True
    answer = book.Answer(
        registration.service,
        registration.version,
        active.request.route.name,
        _load_share(active.choice),
        registration.zone,
    )
    if state.rollout_book.add_break(registration.key, answer):
        return [effects.CheckUpstream(registration)]
    return []


def on_checked(
    state: forwarding_state.ForwardingState, event: events.UpstreamChecked
) -> None:
    """Record the answers that broke off at an upstream that goes on.

    Where it has ended, or leaves, they say nothing of its version.
    """
    registration = event.registration
    answers = state.rollout_book.take_breaks(registration.key)
    upstream = state.upstreams.find(registration.key)
    if not event.is_open or upstream is None:
        return
    if upstream.registration.lifecycle is not upstreams.Lifecycle.READY:
        return
    for answer in answers:
        _record_answer(state, answer, model.AnswerOutcome.BROKEN, event.now_ms)


def on_ended(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    event: events.RequestEnded,
) -> None:
    """Record a complete answer, or one that its caller did not wait for."""
    if event.delivered:
        _record(state, active, model.AnswerOutcome.SOUND, event.now_ms)
    elif not active.first_event_ms and _is_slow(active, event.now_ms):
        _record(state, active, model.AnswerOutcome.SLOW, event.now_ms)


def must_move(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    now_ms: int,
) -> bool:
    """Return whether a stream is to be moved to the target version.

    Upstreams of the previous version stop at once when the roll-out completes.
    """
    choice = active.choice
    if choice is None:
        return False
    registration = choice.upstream.registration
    entry = state.rollout_book.by_service.get(registration.service)
    if entry is None or entry.shifting_since_ms is None:
        return False
    if registration.version == entry.order.target_version:
        return False
    return now_ms >= entry.shifting_since_ms + MOVE_AFTER_MS


def requests_at_previous(
    state: forwarding_state.ForwardingState, order: model.Order
) -> int:
    """Return the requests of all entries at other versions than the target."""
    count = 0
    for upstream in state.upstreams.of_service(order.service):
        if upstream.registration.version != order.target_version:
            count += upstream.streams()
    return count


def evidence_rows(
    state: forwarding_state.ForwardingState, *, repeats_all: bool
) -> tuple[model.EvidenceRow, ...]:
    """Return the evidence for the next digest, what has changed first.

    Counts only grow, so a row that was lost on the way is made up for by any
    later one.
    """
    if not state.rollout_book.by_service:
        return ()
    sent = state.rollout_book.evidence_sent
    changed: list[model.EvidenceRow] = []
    others: list[model.EvidenceRow] = []
    for row in state.rollouts.evidence_rows():
        is_new = sent.get(_row_key(row)) != row.answers
        (changed if is_new else others).append(row)
    # Few answers of the target version are what the others wait for.
    changed.sort(key=lambda row: (not row.is_target, -row.errors - row.slow))
    entries = max(1, state.members.count())
    most = max(MIN_EVIDENCE_ROWS, TOTAL_EVIDENCE_ROWS // entries)
    most = min(most, codec.MAX_EVIDENCE_ROWS)
    rows = changed[:most]
    if repeats_all and others and len(rows) < most:
        start = state.digests_sent * most % len(others)
        rows += (others[start:] + others[:start])[: most - len(rows)]
    for row in rows:
        sent[_row_key(row)] = row.answers
    return tuple(rows)


def decision_rows(
    state: forwarding_state.ForwardingState,
    now_ms: int,
    *,
    repeats_all: bool,
) -> tuple[model.Decision, ...]:
    """Return the decisions for the next digest.

    Those of the lease holder and recent ones are in each digest of an entry.
    """
    decided_ms = state.rollout_book.decided_ms
    if decided_ms is None:
        return ()
    is_recent = now_ms <= decided_ms + ANNOUNCED_MS
    if not (repeats_all or is_recent or state.lease_token):
        return ()
    return state.rollouts.decisions()


def log_fields(
    state: forwarding_state.ForwardingState,
    registration: upstreams.Registration,
) -> dict[str, str | int | float | bool | None]:
    """Return what the log line of a sent request says of a roll-out."""
    entry = state.rollout_book.by_service.get(registration.service)
    if entry is None:
        return {}
    return {
        "service": registration.service,
        "version": registration.version,
        "target_version": entry.order.target_version,
    }


def _row_key(row: model.EvidenceRow) -> book.RowKey:
    return (
        row.service,
        row.era,
        row.row_version,
        row.is_target,
        row.route,
        row.zone,
        row.band,
    )


def _is_slow(active: forwarding_state.ActiveRequest, now_ms: int) -> bool:
    """Return whether an answer's first byte is late by now.

    The times of a typical upstream decide: the upstream's own slowness may be
    that of its version. One that is slower for a while after its start is not
    late.
    """
    choice = active.choice
    if choice is None or choice.typical_ms <= 0:
        return False
    if active.sent_ms < choice.upstream.cold_until_ms:
        return False
    elapsed_ms = now_ms - max(active.sent_ms, active.connected_ms)
    limit_ms = max(
        choice.typical_ms * SLOW_FACTOR,
        choice.typical_ms + MIN_SLOW_EXCESS_MS,
    )
    return elapsed_ms > limit_ms


def _load_share(choice: selection.Choice) -> float:
    """Return the share of the upstream's slots that were taken before."""
    return choice.streams / max(1, choice.upstream.registration.slots)


def _record(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    outcome: model.AnswerOutcome,
    now_ms: int,
) -> None:
    """Record what one answer says of a version, once for each attempt."""
    choice = active.choice
    if choice is None or active.is_judged:
        return
    registration = choice.upstream.registration
    if registration.service not in state.rollout_book.by_service:
        return
    active.is_judged = True
    answer = book.Answer(
        registration.service,
        registration.version,
        active.request.route.name,
        _load_share(choice),
        registration.zone,
    )
    _record_answer(state, answer, outcome, now_ms)


def _record_answer(
    state: forwarding_state.ForwardingState,
    answer: book.Answer,
    outcome: model.AnswerOutcome,
    now_ms: int,
) -> None:
    state.rollouts.record_answer(
        answer.service,
        answer.version,
        answer.route,
        answer.load_share,
        outcome,
        now_ms,
        answer.zone,
    )
    entry = state.rollout_book.by_service.get(answer.service)
    if entry is None or outcome is model.AnswerOutcome.SOUND:
        return
    if answer.version == entry.order.target_version:
        state.counters.increment("rollout_bad_answers", outcome.value)
        # The others have to know of few bad answers soon.
        state.request_early_digest()


def note_listed(state: forwarding_state.ForwardingState, now_ms: int) -> None:
    """Note the versions of all services, as after a list of registrations."""
    if state.rollout_settings is None:
        return
    state.rollout_book.noted_ms = now_ms
    by_service: dict[str, list[upstreams.Upstream]] = {}
    for upstream in state.upstreams.all():
        service = upstream.registration.service
        by_service.setdefault(service, []).append(upstream)
    known = state.rollout_book.versions
    for service in known.keys() | by_service.keys():
        _note_service(state, service, by_service.get(service, []), now_ms)


def note_changed(
    state: forwarding_state.ForwardingState,
    registration: upstreams.Registration,
    now_ms: int,
) -> None:
    """Note a version that is new to its service before requests go there."""
    if state.rollout_settings is None:
        return
    service = registration.service
    versions = state.rollout_book.versions.get(service, frozenset())
    if registration.version not in versions:
        found = state.upstreams.of_service(service)
        _note_service(state, service, found, now_ms)


def _note_service(
    state: forwarding_state.ForwardingState,
    service: str,
    found: list[upstreams.Upstream],
    now_ms: int,
) -> None:
    """Note the ready upstreams, and choose those of the target version."""
    entry = state.rollout_book.by_service.get(service)
    ready_by_version: dict[str, int] = {}
    target_ids: list[str] = []
    for upstream in found:
        registration = upstream.registration
        if registration.lifecycle is not upstreams.Lifecycle.READY:
            continue
        count = ready_by_version.get(registration.version, 0)
        ready_by_version[registration.version] = count + 1
        if entry and registration.version == entry.order.target_version:
            target_ids.append(registration.upstream_id)
    state.rollout_book.versions[service] = frozenset(ready_by_version)
    state.rollouts.note_upstreams(service, ready_by_version, now_ms)
    if not ready_by_version:
        del state.rollout_book.versions[service]
    if entry is None:
        return
    limit = state.rollouts.canary_limit(service, now_ms)
    entry.canary_ids = None
    if limit is not None:
        # All entries choose the same ones.
        target_ids.sort(key=lambda name: (zlib.crc32(name.encode()), name))
        entry.canary_ids = frozenset(target_ids[:limit])


def _note_order(
    state: forwarding_state.ForwardingState, entry: book.Entry, now_ms: int
) -> None:
    """Note the stage and the upstreams of a roll-out."""
    _note_stage(state, entry, now_ms)
    service = entry.order.service
    _note_service(state, service, state.upstreams.of_service(service), now_ms)


def _note_stage(
    state: forwarding_state.ForwardingState, entry: book.Entry, now_ms: int
) -> None:
    """Note since when all new requests go to the target version."""
    status = state.rollouts.status(entry.order.service, now_ms)
    is_shifting = (
        status is not None
        and status.stage is model.Stage.SHIFTING
        and not status.is_stopped_here
    )
    if not is_shifting:
        entry.shifting_since_ms = None
    elif entry.shifting_since_ms is None:
        entry.shifting_since_ms = now_ms


def _report_order(
    state: forwarding_state.ForwardingState, service: str, change: str
) -> effects.Report:
    entry = state.rollout_book.by_service[service]
    versions = state.rollout_book.versions.get(service, frozenset())
    state.counters.increment("rollout_orders", change)
    return effects.Report(
        "rollout_order",
        {
            "service": service,
            "change": change,
            "target_version": entry.order.target_version,
            "duration_ms": entry.order.duration_ms,
            "row_version": entry.order.row_version,
            "ready_versions": ",".join(sorted(versions)),
        },
    )
