"""Events of the shell, the input of the reducer; times on the boot clock."""

from __future__ import annotations

import dataclasses
import enum

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import digests
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import upstreams


class Ending(enum.Enum):
    """How an attempt at an upstream ended without a complete answer."""

    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    WRONG_UPSTREAM = "wrong_upstream"
    BROKEN = "broken"
    MALFORMED = "malformed"
    SILENT = "silent"
    ERROR_STATUS = "error_status"
    DEADLINE = "deadline"


@dataclasses.dataclass(slots=True, frozen=True)
class DeploymentRead:
    """The store or a peer showed a version of the configuration."""

    now_ms: int
    deployment: deployment.Deployment


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamsListed:
    """The store showed all registrations.

    With `after_outage` some may be missing only because they lapsed while
    the store was away.
    """

    now_ms: int
    version: int
    registrations: tuple[upstreams.Registration, ...]
    after_outage: bool


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamChanged:
    """The store showed a changed registration."""

    now_ms: int
    version: int
    registration: upstreams.Registration


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamRemoved:
    """The store showed that a registration was removed."""

    now_ms: int
    version: int
    upstream_id: str
    after_outage: bool


@dataclasses.dataclass(slots=True, frozen=True)
class RequestArrived:
    """A caller's request was read completely."""

    now_ms: int
    request: requests.Request


@dataclasses.dataclass(slots=True, frozen=True)
class FirstEvent:
    """The first event of a stream, or the answer of a call, has arrived."""

    now_ms: int
    wall_ms: int
    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptFailed:
    """An attempt ended without a complete answer.

    `began` tells whether a part of the answer has gone to the caller.
    """

    now_ms: int
    request_id: str
    ending: Ending
    verdict: verdicts.Verdict
    began: bool


@dataclasses.dataclass(slots=True, frozen=True)
class StreamMoved:
    """A stream has stopped, and its memory is kept under `kv_source`."""

    now_ms: int
    request_id: str
    kv_source: str


@dataclasses.dataclass(slots=True, frozen=True)
class RequestEnded:
    """The answer was delivered, or the caller is gone."""

    now_ms: int
    request_id: str
    delivered: bool


@dataclasses.dataclass(slots=True, frozen=True)
class DigestReceived:
    """A peer sent its digest."""

    now_ms: int
    digest: digests.Digest


@dataclasses.dataclass(slots=True, frozen=True)
class Ticked:
    """Time has passed."""

    now_ms: int
    wall_ms: int


Event = (
    DeploymentRead
    | UpstreamsListed
    | UpstreamChanged
    | UpstreamRemoved
    | RequestArrived
    | FirstEvent
    | AttemptFailed
    | RequestEnded
    | StreamMoved
    | DigestReceived
    | Ticked
)
