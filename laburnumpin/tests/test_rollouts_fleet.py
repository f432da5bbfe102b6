"""Roll-outs over several entries that exchange digests with losses."""

from __future__ import annotations

from collections.abc import Callable
import random

import pytest

from laburnumpin.forwarding.rollouts import model
from laburnumpin.forwarding.rollouts import rollouts

ENTRIES = 12
STEP_MS = 4
LIMIT_MS = 12_000
ORDER = model.Order("s", "v2", LIMIT_MS, 1, 5)
SETTINGS = model.RolloutSettings(0.1, 50, 5_000)
FAILED = model.AnswerOutcome.FAILED
SOUND = model.AnswerOutcome.SOUND

# Whether an answer fails, by version, time, route, zone and load share.
Failing = Callable[[str, int, str, str, float], bool]


class Fleet:
    """Entries of which half learn of the order late, and one restarts."""

    def __init__(self, seed: int, failing: Failing) -> None:
        self.generator = random.Random(seed)
        self.failing = failing
        self.entries = [self._start(0) for _ in range(ENTRIES)]
        self.started_ms = [0] * ENTRIES
        self.requests = 0
        self.sent_ms: list[int] = []
        self.bad_ms: list[int] = []

    def _start(self, now_ms: int) -> rollouts.Rollouts:
        entry = rollouts.Rollouts(SETTINGS, self.generator)
        entry.note_upstreams("s", {"v1": 40, "v2": 39}, now_ms)
        return entry

    def run(self) -> model.Decision:
        """Run until the time limit and return the last decision."""
        for now_ms in range(0, LIMIT_MS, STEP_MS):
            if now_ms % 1_000 == 0:
                self._exchange(now_ms)
            if now_ms == 4_000:
                self.entries[3] = self._start(now_ms)
                self.started_ms[3] = now_ms
            self._serve(now_ms)
        (decision,) = self.entries[0].decisions()
        return decision

    def _exchange(self, now_ms: int) -> None:
        holder = self.entries[0 if now_ms < 6_000 else 1]
        token = 1 if now_ms < 6_000 else 2
        for index, entry in enumerate(self.entries):
            if now_ms >= 3_000 or index % 2 == 0:
                entry.apply_order(ORDER, now_ms)
        decision = holder.next_decision("s", now_ms, now_ms, token, 1)
        if decision is not None:
            holder.apply_decision(decision, now_ms)
        for index, entry in enumerate(self.entries):
            for peer in self.entries:
                if entry is peer or self.generator.random() < 0.3:
                    continue
                for known in entry.decisions():
                    peer.apply_decision(known, now_ms)
                name, started_ms = f"e{index}", self.started_ms[index]
                rows = entry.evidence_rows()
                peer.merge_evidence(name, started_ms, rows, now_ms)

    def _serve(self, now_ms: int) -> None:
        self.requests += 1
        entry = self.generator.choice(self.entries)
        route = self.generator.choice(["/a", "/b", "/b", "/b"])
        zone = self.generator.choice("xyz")
        load = self.generator.choice([0.2, 0.2, 0.8])
        entry.record_request("s", now_ms)
        allowed = entry.allowed_versions("s", route, now_ms)
        version = "v2" if allowed is None or "v2" in allowed else "v1"
        entry.record_sent("s", version, now_ms)
        is_bad = self.failing(version, now_ms, route, zone, load)
        is_bad = is_bad and self.generator.random() < 0.5
        outcome = FAILED if is_bad else SOUND
        entry.record_answer("s", version, route, load, outcome, now_ms, zone)
        if version == "v2":
            self.sent_ms.append(now_ms)
            self.bad_ms += [now_ms] * is_bad


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("failing", "stage"),
    [
        pytest.param(
            lambda version, now_ms, route, zone, load: False,
            model.Stage.COMPLETED,
            id="good",
        ),
        pytest.param(
            lambda version, now_ms, route, zone, load: zone == "x",
            model.Stage.COMPLETED,
            id="good beside a failing zone",
        ),
        pytest.param(
            lambda version, now_ms, route, zone, load: version == "v2",
            model.Stage.ROLLED_BACK,
            id="bad at once",
        ),
        pytest.param(
            lambda version, now_ms, route, zone, load: (
                version == "v2" and route == "/a"
            ),
            model.Stage.ROLLED_BACK,
            id="bad on one route",
        ),
        pytest.param(
            lambda version, now_ms, route, zone, load: (
                version == "v2" and load > 0.7
            ),
            model.Stage.ROLLED_BACK,
            id="bad under load",
        ),
        pytest.param(
            lambda version, now_ms, route, zone, load: (
                version == "v2" and now_ms > 6_000
            ),
            model.Stage.ROLLED_BACK,
            id="bad later",
        ),
    ],
)
def test_bounds_hold_with_lost_digests_and_restarts(
    failing: Failing, stage: model.Stage, seed: int
) -> None:
    """Guards exposure and roll-back with a new holder and late entries."""
    fleet = Fleet(seed, failing)
    decision = fleet.run()
    assert decision.stage is stage, decision.reason
    if stage is model.Stage.COMPLETED:
        return
    assert len(fleet.sent_ms) <= 0.1 * fleet.requests + 50
    if len(fleet.bad_ms) >= 50:
        limit_ms = fleet.bad_ms[49] + SETTINGS.rollback_ms
        assert max(fleet.sent_ms) <= limit_ms
