"""Effects: the output of the reducer, which the shell carries out."""

from __future__ import annotations

import dataclasses
import enum

from laburnumpin.forwarding import digests
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.capacity import model


class Reason(enum.Enum):
    """Why an entry ended a request without the answer of an upstream."""

    NOT_READY = "not_ready"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    NO_UPSTREAM = "no_upstream"
    NO_ROOM = "no_room"
    TOO_LATE = "too_late"
    LEAVING = "leaving"
    WITHHELD = "withheld"
    UPSTREAM_LIMIT = "upstream_limit"
    UPSTREAM_BACKOFF = "upstream_backoff"
    UPSTREAM_REJECTED = "upstream_rejected"
    UPSTREAM_FAILED = "upstream_failed"
    DEADLINE = "deadline"


@dataclasses.dataclass(slots=True, frozen=True)
class Reject:
    """End the request with an answer of this entry.

    `not_run` promises that it has not run and never will. `retry_after_ms` is
    the delay after which the caller should retry; None to give none.
    `withheld` is set for the reason `WITHHELD`.
    """

    request_id: str
    reason: Reason
    not_run: bool
    retry_after_ms: int | None
    withheld: part_losses.Withheld | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Send:
    """Send the request to an upstream.

    `first_byte_timeout_ms` limits the wait for the first byte of the answer.
    `predicted_ms` is the predicted time to it; `attempt` counts from 1. The
    request is sent after `wait_ms`.
    """

    request_id: str
    upstream_id: str
    registration: upstreams.Registration
    priority: int
    first_byte_timeout_ms: int
    predicted_ms: float
    attempt: int
    # Names the KV cache of the stream that this attempt continues.
    kv_source: str | None = None
    wait_ms: int = 0
    # What the predicted time is from; None without a prediction.
    load: model.Load | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class MoveStream:
    """Stop a stream and copy its KV cache from one engine to another."""

    request_id: str
    source: upstreams.Registration
    target: upstreams.Registration


@dataclasses.dataclass(slots=True, frozen=True)
class CheckUpstream:
    """Try a connection to an upstream; `UpstreamChecked` follows."""

    registration: upstreams.Registration


@dataclasses.dataclass(slots=True, frozen=True)
class Abort:
    """Close the caller's connection, so that the answer is truncated."""

    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class CloseUpstream:
    """Close the idle connections to a removed or restarted upstream.

    Those to all of its incarnations are closed; `incarnation_ms` is not used.
    """

    upstream_id: str
    incarnation_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class SendDigest:
    """Send a digest to the peers at `addresses`.

    Without addresses it is sent over the relay links.
    """

    digest: digests.Digest
    addresses: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class FetchFromPeer:
    """Fetch newer configuration or registrations from a peer."""

    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Write a log line of the type `message_type`."""

    message_type: str
    fields: dict[str, str | int | float | bool | None]


Effect = (
    Reject
    | Send
    | MoveStream
    | CheckUpstream
    | Abort
    | CloseUpstream
    | SendDigest
    | FetchFromPeer
    | Report
)
