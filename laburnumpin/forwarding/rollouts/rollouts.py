"""Staged roll-outs of all services, as one process takes part in them."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
import random

from laburnumpin.forwarding.rollouts import counts
from laburnumpin.forwarding.rollouts import evidence
from laburnumpin.forwarding.rollouts import exposure
from laburnumpin.forwarding.rollouts import model
from laburnumpin.forwarding.rollouts import stages
from laburnumpin.forwarding.rollouts import verdict
from laburnumpin.forwarding.rollouts import versions

# Services whose versions are followed.
MAX_SERVICES = 4_096
# Bad answers of the target version are judged at most this often.
JUDGE_INTERVAL_MS = 100
# Rows of evidence in one digest; further ones take turns.
MAX_DIGEST_ROWS = 256
# Target upstreams that take the canary requests at least, while that leaves
# time to use fewer: one failing upstream alone shouldn't speak for a version.
MIN_CANARY_UPSTREAMS = 2


class _Rollout:
    """One order, as far as it has come."""

    __slots__ = (
        "budget",
        "decision",
        "evidence",
        "is_aborted",
        "is_withdrawn",
        "judged_ms",
        "judgement",
        "known_ms",
        "order",
        "stage_ms",
        "wanted_pause",
    )

    def __init__(
        self,
        order: model.Order,
        settings: model.RolloutSettings,
        generator: random.Random,
        limit: evidence.RowLimit,
        now_ms: int,
    ) -> None:
        self.order = order
        self.known_ms = now_ms
        self.decision: model.Decision | None = None
        self.stage_ms = now_ms
        self.budget = exposure.ExposureBudget(settings, generator, now_ms)
        self.evidence = evidence.Evidence(limit)
        self.judgement = verdict.Verdict(verdict.Kind.UNDECIDED)
        self.judged_ms: int | None = None
        self.is_withdrawn = False
        self.is_aborted = False
        self.wanted_pause: bool | None = None

    @property
    def stage(self) -> model.Stage | None:
        return self.decision.stage if self.decision else None

    @property
    def is_final(self) -> bool:
        return self.decision is not None and self.decision.stage.is_final

    @property
    def is_stopped(self) -> bool:
        """Whether this process sends nothing more to the target version."""
        if self.is_withdrawn or self.is_aborted:
            return True
        return self.judgement.kind is verdict.Kind.BAD

    def judge(self, now_ms: int) -> None:
        """Judge anew; a version that was found bad stays so."""
        self.judged_ms = now_ms
        self.evidence.has_new_bad = False
        if self.judgement.kind is verdict.Kind.BAD:
            return
        self.judgement = verdict.judge(self.evidence, now_ms)


class _Service:
    """The versions of one service and its latest roll-out."""

    __slots__ = ("allowed", "both", "previous", "rollout", "target", "versions")

    def __init__(self, hold_ms: int) -> None:
        self.versions = versions.KnownVersions(hold_ms)
        self.rollout: _Rollout | None = None
        # Sets that requests are answered with.
        self.allowed: frozenset[str] | None = None
        self.previous: frozenset[str] = frozenset()
        self.target: frozenset[str] = frozenset()
        self.both: frozenset[str] = frozenset()

    @property
    def open_target(self) -> str | None:
        """The target version of a roll-out that hasn't ended."""
        if self.rollout is None or self.rollout.is_final:
            return None
        return self.rollout.order.target_version

    def refresh(self, now_ms: int) -> None:
        """Compute the sets anew."""
        self.versions.refresh(self.open_target, now_ms)
        established = frozenset(self.versions.established)
        others = set(self.versions.ready) - established
        self.allowed = established if others else None
        target = self.open_target
        if target is None:
            return
        self.target = frozenset((target,))
        self.previous = self.versions.previous(target)
        self.both = self.previous | self.target


class Rollouts:
    """Staged roll-outs of all services; without settings, there are none.

    Times are milliseconds of this process's clock, except `wall_ms`. State is
    bounded: services, versions, peers and rows of evidence each have a limit.
    """

    __slots__ = ("_generator", "_limit", "_rows_turn", "_services", "_settings")

    def __init__(
        self,
        settings: model.RolloutSettings | None,
        generator: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._generator = generator or random.Random()
        self._services: dict[str, _Service] = {}
        self._limit = evidence.RowLimit()
        self._rows_turn = 0

    def apply_order(
        self, order: model.Order, now_ms: int, age_ms: int = 0
    ) -> bool:
        """Take in an order and return whether it's news.

        A newer order for the service replaces the former one: requests go back
        to the versions before both, and the former target gets none. `age_ms`
        is the time since the order was given, if that's known.
        """
        service = self._service(order.service)
        if service is None or self._settings is None:
            return False
        former = service.rollout
        if former is not None:
            if _position(order) <= _position(former.order):
                return False
            if _is_same(order, former.order):
                return False
            if not former.is_final:
                service.versions.deny(former.order.target_version)
            former.evidence.release()
        service.versions.open_order(order.target_version, now_ms)
        service.rollout = _Rollout(
            order, self._settings, self._generator, self._limit, now_ms
        )
        service.rollout.known_ms = now_ms - age_ms
        service.refresh(now_ms)
        return True

    def withdraw_order(self, service: str, now_ms: int) -> bool:
        """Note that the operator took the order back; return whether news.

        Nothing more goes to the target version here. The holder of the duty
        writes that the roll-out is rolled back. One that ended stays as it is.
        """
        rollout = self._open(service)
        if rollout is None or rollout.is_withdrawn:
            return False
        rollout.is_withdrawn = True
        return True

    def apply_decision(self, decision: model.Decision, now_ms: int) -> bool:
        """Take in a written decision and return whether it's news."""
        service = self._service(decision.order.service)
        if service is None:
            return False
        self.apply_order(decision.order, now_ms)
        rollout = service.rollout
        if rollout is None:
            return False
        if not _is_same(rollout.order, decision.order):
            return False
        known = rollout.decision
        if known is not None:
            if known.stage.is_final or _rank(decision) <= _rank(known):
                return False
        if known is None or known.stage is not decision.stage:
            rollout.stage_ms = now_ms
        rollout.order = decision.order
        rollout.decision = decision
        if rollout.wanted_pause == decision.is_paused:
            rollout.wanted_pause = None
        if decision.stage is model.Stage.COMPLETED:
            service.versions.take_over(decision.order.target_version)
        elif decision.stage is model.Stage.ROLLED_BACK:
            service.versions.deny(decision.order.target_version)
        else:
            service.versions.begin_canary(decision.order.target_version, now_ms)
        if decision.stage.is_final:
            rollout.evidence.release()
        service.refresh(now_ms)
        return True

    def note_upstreams(
        self, service: str, ready_by_version: Mapping[str, int], now_ms: int
    ) -> None:
        """Take in the numbers of ready upstreams of a service by version."""
        known = self._service(service)
        if known is None:
            return
        known.versions.note(ready_by_version, known.open_target, now_ms)
        known.refresh(now_ms)

    def allowed_versions(
        self, service: str, route: str, now_ms: int, is_retry: bool = False
    ) -> frozenset[str] | None:
        """Return the versions that one request may be sent to; None means any.

        The empty set means that it has to wait. In the canary stage, a request
        that may be one of the share gets both versions; the caller then tries
        `preferred_version` first. A retry is never one of them: its caller has
        waited long enough. The share is spent by `record_sent`.
        """
        known = self._services.get(service)
        if known is None:
            return None
        self._note_time(known, now_ms)
        rollout = known.rollout
        if rollout is None or rollout.is_final:
            return known.allowed
        _judge_if_due(rollout, now_ms)
        target = rollout.order.target_version
        if rollout.is_stopped or target not in known.versions.ready:
            return known.previous
        if rollout.stage is model.Stage.SHIFTING:
            return known.target
        if rollout.stage is not model.Stage.CANARY:
            return known.previous
        if now_ms - rollout.known_ms >= rollout.order.duration_ms:
            return known.previous
        if not is_retry and rollout.budget.try_offer(now_ms):
            return known.both
        return known.previous

    def preferred_version(self, service: str) -> str | None:
        """Return the version to try first among several allowed ones."""
        rollout = self._open(service)
        return rollout.order.target_version if rollout else None

    def fallback_versions(self, service: str) -> frozenset[str]:
        """Return the versions to use where no target upstream is usable."""
        known = self._services.get(service)
        return frozenset() if known is None else known.previous

    def may_use(self, service: str, version: str) -> bool:
        """Return whether a request may still go to a version it was given.

        Since then the version may have been stopped here, or left for good.
        """
        known = self._services.get(service)
        if known is None:
            return True
        if version in known.versions.denied:
            return False
        rollout = known.rollout
        if rollout is None or rollout.is_final or not rollout.is_stopped:
            return True
        return version != rollout.order.target_version

    def canary_limit(self, service: str, now_ms: int) -> int | None:
        """Return how many target upstreams to use now; None means all.

        In the canary stage the share goes to so many that each is as loaded as
        one of the previous version, then to half of them, and last to one, so
        that a version which is bad under load shows it.
        """
        known = self._services.get(service)
        rollout = self._open(service)
        if known is None or rollout is None or self._settings is None:
            return None
        if rollout.stage is not model.Stage.CANARY:
            return None
        ready = known.versions.ready.get(rollout.order.target_version, 0)
        like_previous = math.ceil(
            ready * self._settings.exposure_share * exposure.SPENT_PART
        )
        limit = max(MIN_CANARY_UPSTREAMS, like_previous)
        shift_ms = stages.shift_at_ms(rollout.order.duration_ms)
        part = (now_ms - rollout.known_ms) / max(1, shift_ms)
        if part < 1 / 3:
            return limit
        if part < 2 / 3:
            return max(1, limit // 2)
        return 1

    def record_request(self, service: str, now_ms: int) -> None:
        """Count a request for the service that has arrived here."""
        rollout = self._open(service)
        if rollout is not None:
            rollout.budget.record_request()

    def record_sent(self, service: str, version: str, now_ms: int) -> None:
        """Count a request that was sent to an upstream of a version."""
        rollout = self._open(service)
        if rollout is not None:
            is_target = version == rollout.order.target_version
            rollout.budget.record_sent(is_target)

    def record_answer(
        self,
        service: str,
        version: str,
        route: str,
        load_share: float,
        outcome: model.AnswerOutcome,
        now_ms: int,
        zone: str = "",
    ) -> None:
        """Count an answer of an upstream; `load_share` is streams / slots.

        Answers count while upstreams of both versions are there. An upstream
        that was lost, or ended by order, or whose connection broke, is `LOST`.
        """
        rollout = self._open(service)
        if rollout is None:
            return
        target = rollout.order.target_version
        if target not in self._services[service].versions.ready:
            return
        is_target = version == target
        rollout.evidence.record(
            is_target, route, zone, load_share, outcome, now_ms
        )
        _judge_if_due(rollout, now_ms)

    def evidence_rows(self) -> tuple[model.EvidenceRow, ...]:
        """Return this process's counts for orders that haven't ended."""
        rows = []
        for service, known in self._services.items():
            rollout = self._open(service)
            if known.rollout is None or rollout is None:
                continue
            for key, known_counts in rollout.evidence.own_rows():
                row = model.EvidenceRow(
                    service,
                    rollout.order.era,
                    rollout.order.row_version,
                    key.is_target,
                    key.cell.route,
                    key.cell.zone,
                    key.cell.band,
                    known_counts.answers,
                    known_counts.errors,
                    known_counts.slow,
                )
                rows.append(row)
        if len(rows) <= MAX_DIGEST_ROWS:
            return tuple(rows)
        first = self._rows_turn % len(rows)
        self._rows_turn += MAX_DIGEST_ROWS
        return tuple((rows[first:] + rows[:first])[:MAX_DIGEST_ROWS])

    def merge_evidence(
        self,
        peer: str,
        incarnation_ms: int,
        rows: Iterable[model.EvidenceRow],
        now_ms: int,
    ) -> None:
        """Take in a peer's counts; repeats and late ones never count twice.

        Rows of orders that aren't known here are left out; as the counts are
        cumulative, they come again with the peer's next digest.
        """
        by_service: dict[str, list[model.EvidenceRow]] = {}
        for row in rows:
            by_service.setdefault(row.service, []).append(row)
        for service, members in by_service.items():
            rollout = self._open(service)
            if rollout is None:
                continue
            position = _position(rollout.order)
            current = [
                row for row in members if (row.era, row.row_version) == position
            ]
            if not current:
                continue
            rollout.evidence.merge(peer, incarnation_ms, current, now_ms)
            _judge_if_due(rollout, now_ms)

    def decisions(self) -> tuple[model.Decision, ...]:
        """Return the newest known decision of each service."""
        newest = []
        for known in self._services.values():
            if known.rollout is not None and known.rollout.decision:
                newest.append(known.rollout.decision)
        return tuple(newest)

    def next_decision(
        self,
        service: str,
        now_ms: int,
        wall_ms: int,
        fencing_token: int,
        requests_at_old: int,
    ) -> model.Decision | None:
        """Return the decision that the holder of the duty writes next.

        It takes effect when it has been written and comes back by
        `apply_decision`. A holder with an older token than the written one
        gets nothing to write.
        """
        known = self._services.get(service)
        rollout = self._open(service)
        if known is None or rollout is None:
            return None
        decision = rollout.decision
        if decision is not None and fencing_token < decision.fencing_token:
            return None
        self._note_time(known, now_ms)
        rollout.judge(now_ms)
        started_ms = wall_ms - (now_ms - rollout.known_ms)
        if decision is not None:
            started_ms = decision.started_ms
        step = stages.next_step(
            self._facts(known, rollout, now_ms, wall_ms, requests_at_old)
        )
        is_paused = decision is not None and decision.is_paused
        if rollout.wanted_pause is not None:
            is_paused = rollout.wanted_pause
        if step is None:
            if rollout.wanted_pause is None or decision is None:
                return None
            if decision.is_paused == is_paused:
                return None
            reason = "paused" if is_paused else "resumed"
            step = stages.Step(decision.stage, reason)
        return model.Decision(
            rollout.order,
            step.stage,
            fencing_token,
            decision.sequence + 1 if decision else 1,
            started_ms,
            step.reason,
            is_paused and not step.stage.is_final,
        )

    def pause(self, service: str, is_paused: bool) -> bool:
        """Ask the holder to stay in the stage, or to go on.

        The share goes on meanwhile, and so does the time limit.
        """
        rollout = self._open(service)
        if rollout is None:
            return False
        rollout.wanted_pause = is_paused
        return True

    def abort(self, service: str) -> bool:
        """Stop sending to the target version and ask the holder to go back."""
        rollout = self._open(service)
        if rollout is None:
            return False
        rollout.is_aborted = True
        return True

    def status(self, service: str, now_ms: int) -> model.RolloutStatus | None:
        """Return the latest roll-out of a service, if there was one."""
        known = self._services.get(service)
        if known is None or known.rollout is None:
            return None
        rollout = known.rollout
        budget = rollout.budget
        target = counts.Counts()
        previous = counts.Counts()
        for key, known_counts in rollout.evidence.total.items():
            sums = target if key.is_target else previous
            sums.add_counts(known_counts)
        decision = rollout.decision
        reason = decision.reason if decision else "no_decision"
        if rollout.is_stopped and not rollout.is_final:
            reason = stages.reason_of(rollout.judgement)
            if rollout.is_aborted:
                reason = "aborted"
            if rollout.is_withdrawn:
                reason = "order_withdrawn"
        version = rollout.order.target_version
        ready = known.versions.ready
        return model.RolloutStatus(
            service,
            version,
            rollout.stage or model.Stage.WAITING,
            decision is not None and decision.is_paused,
            rollout.is_stopped,
            now_ms - rollout.known_ms,
            rollout.order.duration_ms,
            budget.requests,
            budget.sent_to_target,
            budget.sent_to_target / max(1, budget.requests),
            target.answers,
            target.errors,
            target.slow,
            previous.answers,
            previous.errors,
            previous.slow,
            ready.get(version, 0),
            sum(ready.values()) - ready.get(version, 0),
            reason,
        )

    def services(self) -> tuple[str, ...]:
        """Return the services with a roll-out that hasn't ended."""
        return tuple(
            service
            for service, known in self._services.items()
            if known.open_target is not None
        )

    def _facts(
        self,
        known: _Service,
        rollout: _Rollout,
        now_ms: int,
        wall_ms: int,
        requests_at_old: int,
    ) -> stages.Facts:
        order = rollout.order
        age_ms = now_ms - rollout.known_ms
        if rollout.decision is not None:
            age_ms = max(age_ms, wall_ms - rollout.decision.started_ms)
        ready = known.versions.ready
        return stages.Facts(
            stage=rollout.stage,
            age_ms=age_ms,
            in_stage_ms=now_ms - rollout.stage_ms,
            duration_ms=order.duration_ms,
            ready_target=ready.get(order.target_version, 0),
            ready_previous=sum(ready.get(name, 0) for name in known.previous),
            judgement=rollout.judgement,
            requests_at_previous=requests_at_old,
            is_withdrawn=rollout.is_withdrawn,
            is_aborted=rollout.is_aborted,
            is_paused=_is_paused(rollout),
            is_in_force=known.versions.is_in_force(order.target_version),
            is_service_known=bool(ready or known.versions.established),
        )

    def _note_time(self, known: _Service, now_ms: int) -> None:
        next_ms = known.versions.next_change_ms()
        if next_ms is not None and now_ms >= next_ms:
            known.refresh(now_ms)

    def _open(self, service: str) -> _Rollout | None:
        known = self._services.get(service)
        if known is None or known.rollout is None or known.rollout.is_final:
            return None
        return known.rollout

    def _service(self, service: str) -> _Service | None:
        if self._settings is None:
            return None
        known = self._services.get(service)
        if known is None:
            if len(self._services) >= MAX_SERVICES:
                return None
            known = _Service(self._settings.unknown_version_hold_ms)
            self._services[service] = known
        return known


def _is_paused(rollout: _Rollout) -> bool:
    if rollout.wanted_pause is not None:
        return rollout.wanted_pause
    return rollout.decision is not None and rollout.decision.is_paused


def _judge_if_due(rollout: _Rollout, now_ms: int) -> None:
    if not rollout.evidence.has_new_bad:
        return
    judged_ms = rollout.judged_ms
    if judged_ms is None or now_ms - judged_ms >= JUDGE_INTERVAL_MS:
        rollout.judge(now_ms)


def _position(order: model.Order) -> tuple[int, int]:
    return (order.era, order.row_version)


def _is_same(first: model.Order, second: model.Order) -> bool:
    """Return whether two orders are one row.

    Its era is another one after a restore of the store from a copy with it.
    """
    return dataclasses.replace(first, era=second.era) == second


def _rank(decision: model.Decision) -> tuple[int, int]:
    return (decision.fencing_token, decision.sequence)
