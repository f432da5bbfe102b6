"""Types of staged roll-outs."""

from __future__ import annotations

import dataclasses
import enum


class Stage(enum.Enum):
    """How far a roll-out has come.

    `WAITING` has no upstream of the target version yet. In `CANARY` a limited
    share of the requests goes there, and in `SHIFTING` all new ones do, while
    those at the previous version finish. The last two are final.
    """

    WAITING = "waiting"
    CANARY = "canary"
    SHIFTING = "shifting"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Return whether no further stage follows."""
        return self in (Stage.COMPLETED, Stage.ROLLED_BACK)


class AnswerOutcome(enum.Enum):
    """What one answer says of the version of its upstream.

    `FAILED` is an error of the upstream, `BROKEN` an answer that ended early or
    was malformed, and `SLOW` one whose first byte came much later than
    predicted. `LOST` says nothing of the version: the connection, the VM or its
    zone was lost, or the upstream was ending. It is never counted.
    """

    SOUND = "sound"
    FAILED = "failed"
    BROKEN = "broken"
    SLOW = "slow"
    LOST = "lost"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """The operator's order to move a service to a version.

    `era` and `row_version` are the position of its row in the store, which
    tells an order from an earlier one for the same service.
    """

    service: str
    target_version: str
    duration_ms: int
    era: int
    row_version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """The stage of a roll-out, as its holder has written it.

    Among decisions on the same order, the one with the higher fencing token,
    and then with the higher `sequence`, replaces the others, but nothing
    replaces a final stage. `started_ms` is the wall-clock time of the first
    decision in Unix milliseconds. `reason` is a coded reason for the log.
    """

    order: Order
    stage: Stage
    fencing_token: int
    sequence: int
    started_ms: int
    reason: str
    is_paused: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutSettings:
    """Limits of roll-outs.

    Until a roll-out ends, at most `exposure_share` of the requests to the
    service, and `exposure_slack` requests more, may go to the target version.
    A version that shows itself bad is out of traffic within `rollback_ms`.
    """

    exposure_share: float
    exposure_slack: int
    rollback_ms: int
    unknown_version_hold_ms: int = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class EvidenceRow:
    """Counts of answers that one process got since it learnt of an order.

    The counts only grow within one incarnation of the process. `era` and
    `row_version` name the order. `zone` is the upstream's and may be empty,
    `band` the index of its load band. `errors` are failed and broken answers.
    """

    service: str
    era: int
    row_version: int
    is_target: bool
    route: str
    zone: str
    band: int
    answers: int
    errors: int
    slow: int


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutStatus:
    """A roll-out as this process sees it, for the command line and logs.

    `stage` is the written one, and `WAITING` before the first decision.
    `is_stopped_here` says that this process sends nothing more to the target
    version on its own evidence. `requests`, `sent_to_target` and `share` are
    of this process since it learnt of the order; the answers are those of all
    processes, as far as known here.
    """

    service: str
    target_version: str
    stage: Stage
    is_paused: bool
    is_stopped_here: bool
    age_ms: int
    duration_ms: int
    requests: int
    sent_to_target: int
    share: float
    target_answers: int
    target_errors: int
    target_slow: int
    previous_answers: int
    previous_errors: int
    previous_slow: int
    ready_target: int
    ready_previous: int
    reason: str
