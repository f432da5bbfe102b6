"""Events: the input of the reducer.

`now_ms` is on the boot clock; `wall_ms` is wall-clock time in Unix
milliseconds.
"""

from __future__ import annotations

import dataclasses
import enum

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import digests
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.rollouts import model


class Ending(enum.Enum):
    """How an attempt at an upstream ended without a complete answer.

    `REJECTED` is an answer which states that the request has not run, `BROKEN`
    a lost connection, `SILENT` an attempt without progress while another
    upstream would have been faster, `ERROR_STATUS` an error answer, and
    `WITHDRAWN` an attempt that was not made, since meanwhile its upstream said
    that it leaves or asked for a back-off, or the request was withheld.
    `NO_ROOM` is an answer that this entry could not keep any more of.
    """

    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    WRONG_UPSTREAM = "wrong_upstream"
    BROKEN = "broken"
    MALFORMED = "malformed"
    SILENT = "silent"
    ERROR_STATUS = "error_status"
    DEADLINE = "deadline"
    WITHDRAWN = "withdrawn"
    NO_ROOM = "no_room"


@dataclasses.dataclass(slots=True, frozen=True)
class DeploymentRead:
    """A version of the configuration was read from the store or a peer.

    `is_rewritten` is whether its contents were written in a later era of the
    store than those of the same version that were read before.
    """

    now_ms: int
    deployment: deployment.Deployment
    is_rewritten: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamsListed:
    """The complete list of registrations was read from the store or a peer.

    With `after_outage` some may be missing only because they expired while
    the store was unavailable. `version` is the newest change in the list.
    """

    now_ms: int
    version: int
    registrations: tuple[upstreams.Registration, ...]
    after_outage: bool


@dataclasses.dataclass(slots=True, frozen=True)
class StoreEraSeen:
    """The store, or a peer that has read it, named the era of the store."""

    now_ms: int
    era: int


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamChanged:
    """A changed registration was read."""

    now_ms: int
    version: int
    registration: upstreams.Registration


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamRemoved:
    """A registration was removed.

    With `after_outage` it may have expired only because the store was
    unavailable.
    """

    now_ms: int
    version: int
    upstream_id: str
    after_outage: bool


@dataclasses.dataclass(slots=True, frozen=True)
class RequestArrived:
    """A caller's request was received completely."""

    now_ms: int
    request: requests.Request


@dataclasses.dataclass(slots=True, frozen=True)
class FirstEvent:
    """An upstream has begun to run the request.

    Its first event has arrived, or, for a call and for an error, its answer.
    `wall_ms` is the median of the entries' clocks.
    """

    now_ms: int
    wall_ms: int
    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptFailed:
    """An attempt ended without a complete answer.

    `answer_started` is whether a part of the answer has been sent to the
    caller.
    """

    now_ms: int
    request_id: str
    ending: Ending
    verdict: verdicts.Verdict
    answer_started: bool


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamChecked:
    """A connection to an upstream was tried.

    `is_refused` is whether nothing listens at its address, `is_open` whether
    the connection was accepted; neither, if there was no response in time.
    """

    now_ms: int
    registration: upstreams.Registration
    is_open: bool
    is_refused: bool


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamStated:
    """An answer said something of its upstream.

    `sent_ms` is when the request was sent; None if it is another one than this
    entry waits for, or a move, so that nothing follows from the answer for the
    upstream's limit.
    """

    now_ms: int
    registration: upstreams.Registration
    statement: upstreams.Statement
    sent_ms: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class StreamMoved:
    """A stream was stopped for a move; `kv_source` names its KV cache."""

    now_ms: int
    request_id: str
    kv_source: str


@dataclasses.dataclass(slots=True, frozen=True)
class RequestEnded:
    """The answer was delivered, or the caller closed its connection."""

    now_ms: int
    request_id: str
    delivered: bool


@dataclasses.dataclass(slots=True, frozen=True)
class DigestReceived:
    """A peer's digest was received."""

    now_ms: int
    digest: digests.Digest


@dataclasses.dataclass(slots=True, frozen=True)
class PartLossesRead:
    """Records of engines that ended were read from the store or a snapshot."""

    now_ms: int
    rows: tuple[part_losses.Row, ...]
    request_rows: tuple[part_losses.RequestRow, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutsOrdered:
    """Orders of roll-outs were read; `withdrawn` are services without one."""

    now_ms: int
    orders: tuple[model.Order, ...]
    withdrawn: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutsDecided:
    """Decisions on roll-outs were read from the store, or written to it."""

    now_ms: int
    decisions: tuple[model.Decision, ...]
    source: str


@dataclasses.dataclass(slots=True, frozen=True)
class Ticked:
    """The periodic timer fired; `wall_ms` is from this VM's own clock."""

    now_ms: int
    wall_ms: int


Event = (
    DeploymentRead
    | StoreEraSeen
    | UpstreamsListed
    | UpstreamChanged
    | UpstreamRemoved
    | RequestArrived
    | FirstEvent
    | AttemptFailed
    | RequestEnded
    | StreamMoved
    | UpstreamChecked
    | UpstreamStated
    | DigestReceived
    | PartLossesRead
    | RolloutsOrdered
    | RolloutsDecided
    | Ticked
)
