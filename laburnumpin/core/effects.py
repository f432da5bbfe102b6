"""Effects: actions that the reducer returns for the shell to execute."""

from __future__ import annotations

import dataclasses

from laburnumpin.core import deployment
from laburnumpin.core import messages
from laburnumpin.core import store


@dataclasses.dataclass(slots=True, frozen=True)
class Accept:
    """Respond to the caller that the request was accepted."""

    exchange_id: str
    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Respond to the caller with the reason why the exchange failed."""

    exchange_id: str
    failure: messages.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerStatus:
    """Respond to the caller or operator with the status of a request."""

    exchange_id: str
    status: messages.RequestStatus


@dataclasses.dataclass(slots=True, frozen=True)
class SendChunk:
    """Send a part of an answer to a reader."""

    reader_id: str
    chunk: messages.Chunk


@dataclasses.dataclass(slots=True, frozen=True)
class EndReader:
    """Send the outcome of a request to a reader and close it."""

    reader_id: str
    outcome: messages.Outcome


@dataclasses.dataclass(slots=True, frozen=True)
class Dispatch:
    """Send a request to an upstream.

    The first byte must not be sent after `valid_until_ms`; otherwise the shell
    reports `EXPIRED_BEFORE_SEND` with verdict `NOT_RUN`. The output is streamed
    from `offset` on. With `recompute` the engine has no generation for the
    request and computes the answer from the start.
    """

    attempt_id: str
    request_id: str
    upstream_id: str
    address: str
    kind: deployment.ServiceKind
    operation: str
    body: str
    prompt: str
    max_tokens: int
    priority: deployment.Priority
    offset: int
    recompute: bool
    idempotency_key: str | None
    valid_until_ms: int
    first_byte_timeout_ms: int
    inter_token_timeout_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop an attempt at its upstream; no event follows."""

    attempt_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ImportCache:
    """Copy the KV cache of a request from one engine to another."""

    request_id: str
    source_address: str
    target_upstream_id: str
    target_address: str
    timeout_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class PollLoad:
    """Read the load of an upstream and optionally its cache events.

    Only engines have cache events; those from `after_cache_sequence` on are
    read. With `new_connection` the poll must not reuse a connection, because
    the last poll failed and its connection may no longer work.
    """

    upstream_id: str
    address: str
    kind: deployment.ServiceKind
    after_cache_sequence: int
    timeout_ms: int
    new_connection: bool
    with_cache_events: bool


@dataclasses.dataclass(slots=True, frozen=True)
class ListVms:
    """Read the platform's list of VMs."""


@dataclasses.dataclass(slots=True, frozen=True)
class ListNotices:
    """Read the reclaim notices in effect."""


@dataclasses.dataclass(slots=True, frozen=True)
class ListPrices:
    """Read the current prices."""


@dataclasses.dataclass(slots=True, frozen=True)
class Transact:
    """Write rows atomically if all conditions hold."""

    operation_id: store.OperationId
    conditions: tuple[store.Condition, ...]
    writes: tuple[store.Write, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class ReadRows:
    """Read rows of a table by key."""

    operation_id: store.OperationId
    table: str
    keys: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class ScanRows:
    """Read up to `limit` rows of a table whose keys have a prefix."""

    operation_id: store.OperationId
    table: str
    prefix: str
    limit: int


@dataclasses.dataclass(slots=True, frozen=True)
class PutObject:
    """Write an object."""

    operation_id: store.OperationId
    key: str
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class GetObject:
    """Read an object."""

    operation_id: store.OperationId
    key: str


@dataclasses.dataclass(slots=True, frozen=True)
class DeleteObject:
    """Delete an object."""

    operation_id: store.OperationId
    key: str


@dataclasses.dataclass(slots=True, frozen=True)
class ListObjects:
    """List the keys of the objects under a prefix."""

    operation_id: store.OperationId
    prefix: str


@dataclasses.dataclass(slots=True, frozen=True)
class StartVm:
    """Start a VM; the call must not be sent after `valid_until_ms`."""

    order_id: str
    service: str
    zone: str
    vm_class: str
    reclaimable: bool
    valid_until_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class StopVm:
    """Stop a VM; the call must not be sent after `valid_until_ms`."""

    order_id: str
    vm_id: str
    valid_until_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class SendOrder:
    """Order an engine to serve a model with adapters in a role.

    The call must not be sent after `valid_until_ms`. An engine that checks
    fencing rejects a `fencing_number` lower than one that it has seen.
    """

    order_id: str
    upstream_id: str
    address: str
    fencing_number: int
    valid_until_ms: int
    model: str
    model_version: str
    adapters: tuple[str, ...]
    role: str


@dataclasses.dataclass(slots=True, frozen=True)
class SendPeer:
    """Send a message to a peer."""

    peer_id: str
    address: str
    message: messages.Message


@dataclasses.dataclass(slots=True, frozen=True)
class SetReadiness:
    """Set the response of the readiness endpoint; `reason` is "" if ready."""

    ready: bool
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class ObserveLatency:
    """Record a duration in the histogram `name`."""

    name: str
    duration_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Log:
    """Write a log message of the type `message_type`."""

    message_type: str
    level: str
    fields: dict[str, str | int | float | bool | None]


@dataclasses.dataclass(slots=True, frozen=True)
class Exit:
    """Stop the process; all requests have ended or were handed over."""


Effect = (
    Accept
    | Refuse
    | AnswerStatus
    | SendChunk
    | EndReader
    | Dispatch
    | CancelAttempt
    | ImportCache
    | PollLoad
    | ListVms
    | ListNotices
    | ListPrices
    | Transact
    | ReadRows
    | ScanRows
    | PutObject
    | GetObject
    | DeleteObject
    | ListObjects
    | StartVm
    | StopVm
    | SendOrder
    | SendPeer
    | SetReadiness
    | ObserveLatency
    | Log
    | Exit
)
