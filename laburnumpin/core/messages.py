"""Data types of the messages between entries."""

from __future__ import annotations

import dataclasses

from laburnumpin import verdict
from laburnumpin.core import deployment
from laburnumpin.core import ids

PROTOCOL_VERSION = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """Why a request failed or was refused, as reported to the caller."""

    code: str
    message: str
    verdict: verdict.Verdict
    retry_after_ms: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """The end of a request at `total_offset`, with a failure if it failed."""

    total_offset: int
    failure: Failure | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Chunk:
    """A part of an answer, from `offset` up to `next_offset`.

    The offsets of a model's answer count generated tokens.
    """

    offset: int
    next_offset: int
    text: str


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamLoad:
    """The number of attempts that an entry has in flight at an upstream."""

    upstream_id: str
    in_flight: int


@dataclasses.dataclass(slots=True, frozen=True)
class LeavingUpstream:
    """Marks an incarnation of an upstream as leaving, which is final."""

    upstream_id: str
    incarnation: int


@dataclasses.dataclass(slots=True, frozen=True)
class Departure:
    """An entry that handed over its requests, and its successors."""

    entry: ids.EntryId
    successors: tuple[ids.EntryId, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceDemand:
    """Demand for a service at one entry.

    `queued_tokens` counts the prompt tokens and the maximum output tokens of
    the queued requests. `tokens_per_s` is always sent as 0.
    """

    service: str
    tokens_per_s: int
    queued_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Digest:
    """Periodic summary of an entry's state for its peers.

    `confirmed_age_ms` is the time since the store was last known to hold no
    higher version of the configuration.
    """

    entry: ids.EntryId
    sequence: int
    zone: str
    peer_address: str
    accepting: bool
    configuration_version: int
    confirmed_age_ms: int
    loads: tuple[UpstreamLoad, ...]
    leaving: tuple[LeavingUpstream, ...]
    departures: tuple[Departure, ...]
    demands: tuple[ServiceDemand, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationPull:
    """Requests a configuration newer than `have_version` from a peer."""

    have_version: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationPush:
    """A configuration that the store accepted."""

    version: int
    change_id: str
    document: str
    confirmed_age_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class HandedRequest:
    """A request that is handed over to a successor.

    `idempotent` is as configured when the request was accepted. The claim of a
    non-idempotent call is held under one of `claim_tokens`, or not yet held.
    `sent` marks such a call whose attempt was not answered; it must not be
    sent again. `upstream_id` is the engine that has the generation, if any.
    """

    request_id: str
    customer: str
    service: str
    operation: str
    idempotent: bool
    body: str
    prompt: str
    max_tokens: int
    idempotency_key: str | None
    deadline_ms: int
    priority: deployment.Priority
    accepted_ms: int
    verdict: verdict.Verdict
    claim_tokens: tuple[str, ...]
    sent: bool
    upstream_id: str | None
    chunks: tuple[Chunk, ...]
    outcome: Outcome | None


@dataclasses.dataclass(slots=True, frozen=True)
class HandoverOffer:
    """Requests that a leaving or draining entry offers to a successor."""

    batch_id: str
    source: ids.EntryId
    requests: tuple[HandedRequest, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class HandoverAck:
    """Answers an offer: the successor now owns the requests of the batch.

    If `accepted` is false, the peer refused the batch, because it is not
    serving itself, and will never run any of its requests.
    """

    batch_id: str
    accepted: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Subscribe:
    """Subscribes at the owner of a request to its output from `offset` on."""

    subscription_id: str
    request_id: str
    customer: str | None
    offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class Unsubscribe:
    """Ends a subscription."""

    subscription_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class SubscriptionChunk:
    """A part of an answer for a subscription."""

    subscription_id: str
    chunk: Chunk


@dataclasses.dataclass(slots=True, frozen=True)
class SubscriptionEnd:
    """The end of an answer for a subscription."""

    subscription_id: str
    outcome: Outcome


@dataclasses.dataclass(slots=True, frozen=True)
class RequestStatus:
    """The status of a request; `phase` is the value of a `requests.Phase`."""

    request_id: str
    phase: str
    next_offset: int
    verdict: verdict.Verdict
    owner: ids.EntryId
    outcome: Outcome | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class StatusQuery:
    """Queries the owner of a request for its status.

    With `cancel` the owner cancels the request first.
    """

    query_id: str
    request_id: str
    customer: str | None
    cancel: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class StatusReply:
    """Answers a `StatusQuery`; `status` is None if the request is unknown."""

    query_id: str
    status: RequestStatus | None


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaRequest:
    """Requests a loan of part of a peer's share of a customer's rate."""

    loan_id: str
    customer: str
    rate_tokens_per_s: int


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaLoan:
    """Lends part of a customer's rate for `duration_ms` after the receipt."""

    loan_id: str
    customer: str
    rate_tokens_per_s: int
    duration_ms: int


Message = (
    Digest
    | ConfigurationPull
    | ConfigurationPush
    | HandoverOffer
    | HandoverAck
    | Subscribe
    | Unsubscribe
    | SubscriptionChunk
    | SubscriptionEnd
    | StatusQuery
    | StatusReply
    | QuotaRequest
    | QuotaLoan
)
