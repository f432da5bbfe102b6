"""What the forwarding needs from a platform, as protocols.

`laburnumpin.platform` implements them for the users' platform; tests have
implementations of their own.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

from anyio import abc

from laburnumpin import exceptions
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import settings as forwarding_settings
from laburnumpin.forwarding import upstreams


class HistoryLostError(exceptions.LaburnumpinError):
    """The store no longer has the changes that were asked for."""

    code = "history_lost"


class ConflictError(exceptions.LaburnumpinError):
    """A condition of a transaction did not hold; nothing was written."""

    code = "transaction_conflict"


class FencedError(exceptions.LaburnumpinError):
    """The platform has seen a higher fencing token."""

    code = "order_fenced"


class OrderRefusedError(exceptions.LaburnumpinError):
    """The platform does not have the ordered upstreams at the moment."""

    code = "order_refused"


class Table(enum.Enum):
    """The tables of the store that an entry uses."""

    OPERATOR = "operator"
    UPSTREAMS = "upstreams"
    ENTRIES = "entries"
    DUTIES = "duties"
    USAGE = "usage"


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row of the store; `value` is None where it was removed."""

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Rows:
    """Rows with the newest version of the store."""

    rows: tuple[Row, ...]
    version: int


class StoreClient(Protocol):
    """The platform's transactional store.

    Each method raises `PlatformUnavailableError` when nothing was done and
    `PlatformAnswerLostError` when the call may have taken effect.
    """

    async def read(self, table: Table) -> Rows:
        """Return all rows of a table."""

    async def changes(self, table: Table, after: int, wait_ms: int) -> Rows:
        """Return the rows changed after a version, waiting for one.

        Raises:
            HistoryLostError: The history does not reach back to `after`.
        """

    async def write(
        self, table: Table, key: str, value: bytes, expected_version: int | None
    ) -> int:
        """Write a row and return its version.

        With `expected_version` the row must have that version, 0 meaning
        that it does not exist.

        Raises:
            ConflictError: The row has another version.
        """

    async def remove(self, table: Table, keys: tuple[str, ...]) -> None:
        """Remove rows."""


class CloudClient(Protocol):
    """The calls that are the duty of one entry at a time.

    Each raises `FencedError` when a higher fencing token was seen, and the
    platform errors of `StoreClient`.
    """

    async def report_usage(
        self, fencing_token: int, window: int, counts: dict[str, int]
    ) -> None:
        """Report the requests of each customer that began in a window."""

    async def order_upstreams(
        self,
        fencing_token: int,
        service: str,
        zone: str,
        count: int,
        *,
        reclaimable: bool,
    ) -> None:
        """Order a number of upstreams of one kind in a zone.

        Raises:
            OrderRefusedError: There are none to be had at the moment.
        """


class EngineClient(Protocol):
    """Calls to model engines beside requests."""

    async def move_stream(
        self, source_address: str, request_id: str, target_address: str
    ) -> str | None:
        """Stop a stream and copy its memory to another engine.

        Return the source of the memory for the attempt that continues, None
        if the engine does not run the request. When the copy fails the memory
        stays at the engine that was stopped, under the same source.

        Raises:
            PlatformUnavailableError: Nothing was done.
            PlatformAnswerLostError: The stream may have stopped.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class CallerHead:
    """The head of a caller's request, as it came."""

    method: bytes
    target: bytes
    headers: connections.Headers
    received_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class CallerFields:
    """What the head of a request says to an entry."""

    request_id: str
    host: str
    path: str
    deadline_in_ms: int | None
    key: str | None
    prompt: requests.Prompt | None
    resume_after: int | None


class AnswerKind(enum.Enum):
    """What an upstream's status and headers say."""

    ANSWER = "answer"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    WRONG_UPSTREAM = "wrong_upstream"
    OTHER_REQUEST = "other_request"


class Wire(Protocol):
    """The headers of callers and upstreams."""

    def decode(self, head: CallerHead) -> CallerFields:
        """Return what a head says.

        Raises:
            DocumentError: A header that the entry needs is malformed.
        """

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
        """Return the headers of an attempt."""

    def classify(
        self, request_id: str, status: int, headers: connections.Headers
    ) -> AnswerKind:
        """Return what kind of answer an upstream gave."""

    def answer_headers(
        self, headers: connections.Headers
    ) -> connections.Headers:
        """Return the headers of an upstream's answer for the caller."""

    def rejection(
        self, request_id: str, reject: effects.Reject
    ) -> tuple[int, connections.Headers]:
        """Return status and headers of a final answer of this entry."""

    def keep_alive_ms(self, headers: connections.Headers) -> int | None:
        """Return the announced idle timeout of a connection."""


class Documents(Protocol):
    """The documents that the platform keeps for the entries."""

    def decode_deployment(self, rows: Rows) -> deployment.Deployment | None:
        """Return the newest configuration in the operator's rows.

        Raises:
            DocumentError: It cannot be read.
        """

    def decode_registration(self, row: Row) -> upstreams.Registration | None:
        """Return a registration; None if it names no upstream to use."""


class Clients(Protocol):
    """The clients of one platform."""

    def store(
        self,
        settings: forwarding_settings.ForwardingSettings,
        task_group: abc.TaskGroup,
    ) -> StoreClient:
        """Return the client of the store."""

    def cloud(
        self,
        settings: forwarding_settings.ForwardingSettings,
        task_group: abc.TaskGroup,
    ) -> CloudClient:
        """Return the client of the cloud API."""

    def engines(self, task_group: abc.TaskGroup) -> EngineClient:
        """Return the client of the model engines."""
