"""Effects that the reducer asks the shell to carry out."""

from __future__ import annotations

import dataclasses
import enum

from laburnumpin.forwarding import digests
from laburnumpin.forwarding import upstreams


class Reason(enum.Enum):
    """Why a request got a final answer of this entry."""

    NOT_READY = "not_ready"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    NO_UPSTREAM = "no_upstream"
    NO_ROOM = "no_room"
    TOO_LATE = "too_late"
    LEAVING = "leaving"
    UPSTREAM_REJECTED = "upstream_rejected"
    UPSTREAM_FAILED = "upstream_failed"
    DEADLINE = "deadline"


@dataclasses.dataclass(slots=True, frozen=True)
class Reject:
    """Give the request a final answer of this entry.

    `not_run` promises that it has not run and never will. The caller may
    return after `retry_after_ms`, if given.
    """

    request_id: str
    reason: Reason
    not_run: bool
    retry_after_ms: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class Send:
    """Send the request to an upstream.

    The attempt counts as failed when no first byte came after `silence_ms`.
    """

    request_id: str
    upstream_id: str
    registration: upstreams.Registration
    priority: int
    silence_ms: int
    predicted_ms: float
    attempt: int
    # Where the memory of the stream is kept that this attempt continues.
    kv_source: str | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class MoveStream:
    """Stop a stream and copy its memory from one engine to another."""

    request_id: str
    source: upstreams.Registration
    target: upstreams.Registration


@dataclasses.dataclass(slots=True, frozen=True)
class Abort:
    """End the caller's connection so that the answer looks incomplete."""

    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class CloseUpstream:
    """Close the idle connections to an upstream that is gone."""

    upstream_id: str
    incarnation_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class SendDigest:
    """Send a digest to peers; over the links to relays without addresses."""

    digest: digests.Digest
    addresses: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class FetchFromPeer:
    """Fetch the configuration and the registrations that a peer has."""

    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Write a log line of a documented type."""

    message_type: str
    fields: dict[str, str | int | float | bool | None]


Effect = (
    Reject
    | Send
    | MoveStream
    | Abort
    | CloseUpstream
    | SendDigest
    | FetchFromPeer
    | Report
)
