"""Protocols for the platform-specific parts of forwarding.

`laburnumpin.platform` implements them for the users' platform; tests have their
own implementations.
"""

from __future__ import annotations

from collections.abc import Generator
from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from laburnumpin import exceptions
from laburnumpin.forwarding import completeness
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import settings as forwarding_settings
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.configurations import decoded


class HistoryLostError(exceptions.LaburnumpinError):
    """The store no longer keeps the changes after the requested version."""

    code = "history_lost"


class AnswerTooLargeError(exceptions.LaburnumpinError):
    """An answer of the store is longer than this entry reads."""

    code = "answer_too_large"


class ConflictError(exceptions.LaburnumpinError):
    """A condition of a transaction failed; nothing was written.

    `era` is the store's era.
    """

    code = "transaction_conflict"

    def __init__(self, message: str, era: int = 0) -> None:
        super().__init__(message)
        self.era = era


class FencedError(exceptions.LaburnumpinError):
    """The platform has seen a higher fencing token."""

    code = "order_fenced"


class OrderRefusedError(exceptions.LaburnumpinError):
    """The platform has no capacity for the ordered upstreams at the moment."""

    code = "order_refused"


class Table(enum.Enum):
    """The tables of the store that an entry uses."""

    OPERATOR = "operator"
    UPSTREAMS = "upstreams"
    ENTRIES = "entries"
    DUTIES = "duties"
    USAGE = "usage"
    USAGE_COUNTS = "usage_counts"
    WITHHOLDING = "withholding"
    STATUS = "status"


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row of the store; `value` is None if the row was removed."""

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Position:
    """A version of the store, which is only unique within an era.

    A store that is restored from an older copy starts a new era, in which it
    gives the versions after the copy out again. `era` is 0 if it names none.
    """

    era: int
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Rows:
    """Rows, and the version and era of the store at which they were read."""

    rows: tuple[Row, ...]
    version: int
    era: int = 0


class StoreClient(Protocol):
    """The platform's transactional store.

    Each method raises `PlatformUnavailableError` if the call had no effect and
    `PlatformAnswerLostError` if it may have taken effect.
    """

    async def read(self, table: Table) -> Rows:
        """Return all rows of a table."""

    async def changes(self, table: Table, after: int, wait_ms: int) -> Rows:
        """Return the rows changed after a version.

        Long polling: wait up to `wait_ms` for a change if there is none yet.

        Raises:
            HistoryLostError: The history does not reach back to `after`.
        """

    async def write(
        self, table: Table, key: str, value: bytes, expected_version: int | None
    ) -> Position:
        """Write a row and return its new version.

        If `expected_version` is given, the row must have that version; 0
        means that it must not exist.

        Raises:
            ConflictError: The row has another version.
        """

    async def remove(self, table: Table, keys: tuple[str, ...]) -> None:
        """Remove rows."""


class CloudClient(Protocol):
    """The cloud API, which only the entry that holds the lease calls.

    Each method raises `FencedError` if the platform has seen a higher fencing
    token, and the platform errors of `StoreClient`.
    """

    async def report_usage(
        self, fencing_token: int, window: int, counts: dict[str, int]
    ) -> None:
        """Report how many requests of each customer began in a window."""

    async def order_upstreams(
        self,
        fencing_token: int,
        service: str,
        zone: str,
        count: int,
        *,
        reclaimable: bool,
    ) -> None:
        """Set the desired count of a service's upstreams in a zone.

        The count is that of the reclaimable or of the on-demand upstreams.

        Raises:
            OrderRefusedError: The platform has no capacity at the moment.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class MoveResult:
    """The answer of an engine to the move of a stream.

    `kv_source` is the handle under which the attempt that continues the stream
    finds the KV cache, None if there is none. `was_running` is whether the
    engine ran the request when it was asked, or may have. `statement` is what
    the engine says of itself.
    """

    kv_source: str | None
    was_running: bool
    statement: upstreams.Statement = dataclasses.field(
        default_factory=upstreams.Statement
    )


class EngineClient(Protocol):
    """Calls to model engines other than callers' requests."""

    async def move_stream(
        self, source_address: str, request_id: str, target_address: str
    ) -> MoveResult:
        """Stop a stream and copy its KV cache to another engine.

        If the copy fails, the KV cache stays at the source engine under the
        same handle.

        Raises:
            PlatformUnavailableError: The call had no effect.
            PlatformAnswerLostError: The stream may have stopped.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class CallerHead:
    """The head of a caller's request, as received.

    `received_ms` is on the boot clock.
    """

    method: bytes
    target: bytes
    headers: connections.Headers
    received_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class CallerFields:
    """The decoded fields of a request's head.

    `deadline_in_ms` is relative to the arrival, `key` is the customer's API
    key, and `resume_after` is the id of the last event of a stream that the
    caller has received.
    """

    request_id: str
    host: str
    path: str
    deadline_in_ms: int | None
    key: str | None
    prompt: requests.Prompt | None
    resume_after: int | None


class AnswerKind(enum.Enum):
    """The meaning of an upstream's status and headers.

    `NOT_RUN` is a rejection before the request ran, and `FAILURE` an error of
    the upstream. The status of an `UNPROVED_REFUSAL` promises a caller that the
    request has not run, which nothing in the answer shows: the status must not
    reach the caller. `WRONG_UPSTREAM` shows that another upstream answers at
    the address, `OTHER_REQUEST` that the response is not known to belong to
    this request; it may be that to an earlier one on the connection. A success
    `WITHOUT_RECEIPT` is not known to be a result of the upstream.
    """

    ANSWER = "answer"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    UNPROVED_REFUSAL = "unproved_refusal"
    WRONG_UPSTREAM = "wrong_upstream"
    OTHER_REQUEST = "other_request"
    WITHOUT_RECEIPT = "without_receipt"


class Wire(Protocol):
    """Translates the headers of callers and upstreams."""

    def decode(self, head: CallerHead) -> CallerFields:
        """Return the decoded fields of a request's head.

        Raises:
            DocumentError: A required header is missing or malformed.
        """

    def request_id(self, headers: connections.Headers) -> str:
        """Return the id in the fields of a head, empty if it has none."""

    def upstream_headers(
        self,
        head: CallerHead,
        request: requests.Request,
        registration: upstreams.Registration,
        *,
        remaining_ms: int,
        priority: int,
        body_bytes: int,
        resume_after: int | None,
        kv_source: str | None,
    ) -> connections.Headers:
        """Return the request headers for one attempt at an upstream."""

    def classify(
        self, request_id: str, status: int, headers: connections.Headers
    ) -> AnswerKind:
        """Return the kind of a response received for `request_id`."""

    def identity_headers(
        self, registration: upstreams.Registration
    ) -> connections.Headers:
        """Return the headers of the question whether an upstream is there."""

    def identify(
        self,
        registration: upstreams.Registration,
        status: int,
        headers: connections.Headers,
    ) -> completeness.UpstreamState:
        """Return who answers that question."""

    def answer_headers(
        self, headers: connections.Headers
    ) -> connections.Headers:
        """Return the headers of an upstream's response that the caller gets."""

    def rejection(
        self, request_id: str, reject: effects.Reject
    ) -> tuple[int, connections.Headers]:
        """Return the status and headers of a response by this entry itself."""

    def statement(
        self, status: int, headers: connections.Headers
    ) -> upstreams.Statement:
        """Return what an upstream says of itself in a response.

        A response of another upstream at the address says nothing.
        """

    def keep_alive_ms(self, headers: connections.Headers) -> int | None:
        """Return the idle timeout that a server announced, if any."""


class Documents(Protocol):
    """Decodes the documents that the platform keeps in the store."""

    def decode_deployment(self, rows: Rows) -> deployment.Deployment | None:
        """Return the newest configuration in the operator's rows, if any.

        Raises:
            DocumentError: The configuration is invalid.
        """

    def deployment_steps(
        self, rows: Sequence[Row], known: Sequence[decoded.Configuration]
    ) -> Generator[None, None, decoded.Configuration | None]:
        """Return the same as `decode_deployment`, and yield on the way.

        What is unchanged is taken from the configurations in `known`.

        Raises:
            DocumentError: The configuration is invalid.
        """

    def is_configuration(self, key: str) -> bool:
        """Return whether an operator's row with this key is a configuration."""

    def decode_registration(self, row: Row) -> upstreams.Registration | None:
        """Return the registration in a row; None if the row was removed.

        Raises:
            DocumentError: The row names no usable upstream.
        """


class Clients(Protocol):
    """Creates the clients of one platform."""

    def store(
        self, settings: forwarding_settings.ForwardingSettings
    ) -> StoreClient:
        """Return the client of the store."""

    def cloud(
        self, settings: forwarding_settings.ForwardingSettings
    ) -> CloudClient:
        """Return the client of the cloud API."""

    def engines(self) -> EngineClient:
        """Return the client of the model engines."""
