"""Events: the inputs of the reducer, each with the time of its arrival."""

from __future__ import annotations

import dataclasses
import enum

from laburnumpin import verdict
from laburnumpin.core import deployment
from laburnumpin.core import messages
from laburnumpin.core import store


class AttemptFailure(enum.Enum):
    """Why an attempt failed.

    `EXPIRED_BEFORE_SEND`: it was not sent by `Dispatch.valid_until_ms`.
    `UNKNOWN_GENERATION`: the engine does not have the generation from which the
    stream should resume. `REJECTED`: any other response with a 4xx status.
    `TRUNCATED`: the answer ended before it was complete. `PROTOCOL_ERROR`: the
    answer was malformed, too long or had a gap.
    """

    CONNECT_FAILED = "connect_failed"
    EXPIRED_BEFORE_SEND = "expired_before_send"
    UPSTREAM_LEAVING = "upstream_leaving"
    UPSTREAM_OVERLOADED = "upstream_overloaded"
    UNKNOWN_GENERATION = "unknown_generation"
    REJECTED = "rejected"
    CONNECTION_LOST = "connection_lost"
    FIRST_BYTE_TIMEOUT = "first_byte_timeout"
    INTER_TOKEN_TIMEOUT = "inter_token_timeout"
    TRUNCATED = "truncated"
    PROTOCOL_ERROR = "protocol_error"
    UPSTREAM_ERROR = "upstream_error"


class VmRole(enum.Enum):
    """What runs on a VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class OrderResult(enum.Enum):
    """How an engine answered an order.

    `REFUSED` includes an order that was not sent. `UNKNOWN` means that the
    order may have been applied.
    """

    ACCEPTED = "accepted"
    STALE_FENCING = "stale_fencing"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class VmRow:
    """A VM in the platform's list, which may lag behind.

    An entry has a `peer_address`; an upstream has a `service` and an
    `address`.
    """

    vm_id: str
    incarnation: int
    role: VmRole
    zone: str
    vm_class: str
    reclaimable: bool
    leaving: bool
    service: str = ""
    address: str = ""
    peer_address: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Notice:
    """A reclaim notice for a VM, which stops in `remaining_ms`."""

    vm_id: str
    incarnation: int
    remaining_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """The load of an upstream at the time `age_ms` before its receipt.

    `running` generations or calls occupy some of the `slots`, and `waiting`
    ones are queued. `backlog_tokens` are the prompt and output tokens still to
    be computed; `step_ms` is the duration of the last batch step.
    `order_fencing` is the fencing number of the last order that the engine did
    not refuse as stale.
    """

    incarnation: int
    age_ms: int
    running: int
    waiting: int
    slots: int
    backlog_tokens: int
    step_ms: float
    leaving: bool
    role: str = ""
    model: str = ""
    model_version: str = ""
    order_fencing: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class RequestArrived:
    """A caller submits a request; `exchange_id` names the HTTP exchange."""

    now_ms: int
    exchange_id: str
    customer: str
    service: str
    operation: str
    body: str
    prompt: str
    max_tokens: int
    idempotency_key: str | None
    deadline_ms: int
    priority: deployment.Priority | None


@dataclasses.dataclass(slots=True, frozen=True)
class StatusRequested:
    """A caller requests the status of a request, or its cancellation.

    `customer` is None for an operator.
    """

    now_ms: int
    exchange_id: str
    request_id: str
    customer: str | None
    cancel: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ReaderOpened:
    """A caller reads the output of a request from `offset` on."""

    now_ms: int
    reader_id: str
    request_id: str
    customer: str
    offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReaderClosed:
    """A caller stopped reading the output of a request."""

    now_ms: int
    reader_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptOutput:
    """An upstream sent a part of an answer."""

    now_ms: int
    attempt_id: str
    chunk: messages.Chunk


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptCompleted:
    """An upstream sent the end marker of an answer."""

    now_ms: int
    attempt_id: str
    total_offset: int
    cached_prompt_tokens: int
    computed_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptFailed:
    """An attempt failed; `verdict` is whether the upstream may have run it."""

    now_ms: int
    attempt_id: str
    verdict: verdict.Verdict
    failure: AttemptFailure
    message: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class CacheImported:
    """The import of a KV cache at `upstream_id` ended."""

    now_ms: int
    request_id: str
    upstream_id: str
    succeeded: bool


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReported:
    """An upstream answered a load poll."""

    now_ms: int
    upstream_id: str
    report: LoadReport


@dataclasses.dataclass(slots=True, frozen=True)
class LoadPollFailed:
    """An upstream did not answer a load poll."""

    now_ms: int
    upstream_id: str
    timed_out: bool


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEventsReported:
    """Blocks that an engine added to and removed from its prefix cache.

    The events cover the sequence numbers from `first_sequence` to
    `next_sequence` - 1; a jump against the last `next_sequence` is a gap.
    """

    now_ms: int
    upstream_id: str
    first_sequence: int
    next_sequence: int
    added: tuple[str, ...]
    removed: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class VmsListed:
    """The platform's list of VMs, which may lag behind."""

    now_ms: int
    vms: tuple[VmRow, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class VmListFailed:
    """The list of VMs could not be read."""

    now_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class NoticesListed:
    """The reclaim notices in effect.

    `sent_ms` is the time of the request for them, if known.
    """

    now_ms: int
    notices: tuple[Notice, ...]
    sent_ms: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class TransactCommitted:
    """A transaction took effect; `versions` has one version per write."""

    now_ms: int
    operation_id: store.OperationId
    versions: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class TransactConflicted:
    """A transaction did not take effect, since a condition was not met.

    `conflicts` are the current rows of the conditions that were not met.
    """

    now_ms: int
    operation_id: store.OperationId
    conflicts: tuple[store.Row, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class TransactRefused:
    """A transaction did not take effect, since the store is unavailable."""

    now_ms: int
    operation_id: store.OperationId


@dataclasses.dataclass(slots=True, frozen=True)
class TransactUnknown:
    """The answer to a transaction was lost.

    It may have taken effect, or may still do so later.
    """

    now_ms: int
    operation_id: store.OperationId


@dataclasses.dataclass(slots=True, frozen=True)
class RowsRead:
    """The result of a read or scan; absent rows have version 0."""

    now_ms: int
    operation_id: store.OperationId
    rows: tuple[store.Row, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class ReadFailed:
    """A read or scan failed."""

    now_ms: int
    operation_id: store.OperationId


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectStored:
    """An object was written or deleted."""

    now_ms: int
    operation_id: store.OperationId


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectRead:
    """An object was read; `body` is None if it is absent."""

    now_ms: int
    operation_id: store.OperationId
    body: bytes | None


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectsListed:
    """The keys of the objects under a prefix."""

    now_ms: int
    operation_id: store.OperationId
    keys: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectFailed:
    """An object operation failed or its answer was lost."""

    now_ms: int
    operation_id: store.OperationId


@dataclasses.dataclass(slots=True, frozen=True)
class VmStartAnswered:
    """The cloud API answered a start; `vm_id` is None if it was refused."""

    now_ms: int
    order_id: str
    vm_id: str | None


@dataclasses.dataclass(slots=True, frozen=True)
class PricesListed:
    """Current prices by zone, VM class and purchase option.

    Keys are `<zone>/<vm class>/reclaimable` and `<zone>/<vm class>/on-demand`.
    """

    now_ms: int
    prices_per_hour: dict[str, float]


@dataclasses.dataclass(slots=True, frozen=True)
class OrderAnswered:
    """An engine answered an order."""

    now_ms: int
    order_id: str
    result: OrderResult


@dataclasses.dataclass(slots=True, frozen=True)
class PeerReceived:
    """A message arrived from a peer."""

    now_ms: int
    peer_id: str
    message: messages.Message


@dataclasses.dataclass(slots=True, frozen=True)
class PeerDisconnected:
    """The link to a peer was closed or timed out."""

    now_ms: int
    peer_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class PeerSendFailed:
    """A message was not sent: the peer has no link, or its queue is full."""

    now_ms: int
    peer_id: str
    message: messages.Message


@dataclasses.dataclass(slots=True, frozen=True)
class ReclaimNotified:
    """The VM of this entry will be reclaimed in `remaining_ms`."""

    now_ms: int
    remaining_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class ShutdownRequested:
    """A signal or an operator requested a drain: finish requests, then exit."""

    now_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Tick:
    """Periodic event, every `TICK_MS`, that drives timeouts and retries."""

    now_ms: int


TICK_MS = 20

Event = (
    RequestArrived
    | StatusRequested
    | ReaderOpened
    | ReaderClosed
    | AttemptOutput
    | AttemptCompleted
    | AttemptFailed
    | CacheImported
    | LoadReported
    | LoadPollFailed
    | CacheEventsReported
    | VmsListed
    | VmListFailed
    | NoticesListed
    | TransactCommitted
    | TransactConflicted
    | TransactRefused
    | TransactUnknown
    | RowsRead
    | ReadFailed
    | ObjectStored
    | ObjectRead
    | ObjectsListed
    | ObjectFailed
    | VmStartAnswered
    | PricesListed
    | OrderAnswered
    | PeerReceived
    | PeerDisconnected
    | PeerSendFailed
    | ReclaimNotified
    | ShutdownRequested
    | Tick
)

StoreEvent = (
    TransactCommitted
    | TransactConflicted
    | TransactRefused
    | TransactUnknown
    | RowsRead
    | ReadFailed
    | ObjectStored
    | ObjectRead
    | ObjectsListed
    | ObjectFailed
)
