"""HTTP clients of the platform's row store, cloud API and model engines."""

from __future__ import annotations

import base64
from collections.abc import Sequence
import dataclasses
import json
from typing import Any
import urllib.parse

import anyio

from laburnumpin import exceptions
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import freshness
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import settings as forwarding_settings
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.configurations import pacing
from laburnumpin.platform import long_answers
from laburnumpin.platform import wire

MAX_IDLE_CONNECTIONS = 4

DUTY_HOLDER_HEADER = b"X-Laburnumpin-Duty-Holder"
FENCING_TOKEN_HEADER = b"X-Laburnumpin-Fencing-Token"
# Rises when the store has been restored from an older copy.
STORE_ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 9
# Longest answer that is read: of the store, whose changes of a whole table may
# come in one answer, and of the cloud API and of engines.
MAX_STORE_ANSWER_BYTES = 16_777_216
MAX_ANSWER_BYTES = 262_144
# So many bytes of an answer within its timeout show that it still arrives.
MIN_PROGRESS_BYTES = 32_768
# Longest time by which progress prolongs a call.
MAX_PROLONGED_MS = 30_000

# The platform defines the first two tables and the last one, which the entries
# write; they own the others.
_TABLE_NAMES = {
    interfaces.Table.OPERATOR: "op",
    interfaces.Table.UPSTREAMS: "servers",
    interfaces.Table.ENTRIES: "laburnumpin-entries",
    interfaces.Table.DUTIES: "laburnumpin-duties",
    interfaces.Table.USAGE: "laburnumpin-usage",
    interfaces.Table.USAGE_COUNTS: "laburnumpin-usage-counts",
    interfaces.Table.WITHHOLDING: "laburnumpin-withholding",
    interfaces.Table.STATUS: "status",
}


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """A complete response of the platform."""

    status: int
    headers: connections.Headers
    body: bytes

    def document(self) -> dict[str, Any]:
        """Return the JSON object of the body, empty if it is none."""
        try:
            return untrusted.parse_json(
                self.body or b"{}", MAX_STORE_ANSWER_BYTES
            )
        except untrusted.MalformedError:
            # Error responses may have another body; callers check the status.
            return {}


class _BodyTooLongError(Exception):
    """The body of an answer is longer than the limit."""


class HttpClient:
    """Calls one address with JSON bodies and reuses its connections."""

    __slots__ = ("_address", "_idle", "_max_answer_bytes", "_times")

    def __init__(
        self,
        address: str,
        times: freshness.CallTimes | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._address = address
        self._max_answer_bytes = max_answer_bytes
        self._times = times or freshness.CallTimes()
        # Idle since their last answer, in the order of these.
        self._idle: list[connections.ClientConnection] = []

    async def call(
        self,
        method: str,
        target: str,
        document: dict[str, Any] | None = None,
        headers: connections.Headers | None = None,
        wait_ms: int = 0,
        accepted_statuses: tuple[int, ...] = (),
    ) -> Response:
        """Return the response.

        `wait_ms` is the wait of a long poll and extends the timeout. A long
        answer extends it while it arrives.

        Raises:
            AnswerTooLargeError: The answer to a read is longer than the limit.
            PlatformUnavailableError: No connection, or a status of 429 or 503
                that is not in `accepted_statuses`; the call had no effect.
            PlatformAnswerLostError: No complete response; the call may have
                taken effect.
        """
        called_ms = _now_ms()
        connection = await self._acquire_connection()
        body = b"" if document is None else json.dumps(document).encode()
        request_headers: connections.Headers = [
            (b"Host", self._address.encode()),
            (b"Content-Length", str(len(body)).encode()),
            (b"Content-Type", b"application/json"),
            *(headers or []),
        ]
        status, response_body = 0, b""
        response_headers: connections.Headers = []
        is_reusable = False
        try:
            timeout_ms = self._times.answer_timeout_ms + wait_ms
            with anyio.fail_after(timeout_ms / 1_000) as scope:
                await connection.send(
                    method.encode(), target.encode(), request_headers, body
                )
                head = await connection.head()
                status = head.status_code
                response_headers = list(head.headers)
                self._check_length(response_headers)
                response_body = await self._read_body(connection, scope)
            is_reusable = (
                connection.finish() and len(self._idle) < MAX_IDLE_CONNECTIONS
            )
        except _BodyTooLongError as error:
            message = f"{method} {target.partition('?')[0]}: {error}"
            if method == "GET" and status == 200:
                raise interfaces.AnswerTooLargeError(message) from error
            raise exceptions.PlatformAnswerLostError(message) from error
        except (
            TimeoutError,
            connections.ConnectionLostError,
            connections.ProtocolError,
        ) as error:
            connections.close_idle_since(self._idle, called_ms)
            raise exceptions.PlatformAnswerLostError(
                f"{method} {target.partition('?')[0]}: {error!r}"
            ) from error
        finally:
            if is_reusable:
                connection.idle_since_ms = _now_ms()
                connection.set_idle(True)
                self._idle.append(connection)
            else:
                connection.close()
        if status in (429, 503) and status not in accepted_statuses:
            raise exceptions.PlatformUnavailableError(
                f"{method} {target.partition('?')[0]}: status {status}"
            )
        return Response(status, response_headers, response_body)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _check_length(self, headers: connections.Headers) -> None:
        """Raise if the announced length of an answer exceeds the limit."""
        for name, value in headers:
            if name.lower() != b"content-length" or not value.isdigit():
                continue
            if int(value) > self._max_answer_bytes:
                raise _BodyTooLongError(
                    f"{int(value)} bytes, the limit is {self._max_answer_bytes}"
                )

    async def _read_body(
        self, connection: connections.ClientConnection, scope: anyio.CancelScope
    ) -> bytes:
        """Return the body of an answer.

        Each `MIN_PROGRESS_BYTES` of it prolong the timeout, together by up to
        `MAX_PROLONGED_MS`: on a slow link, a long answer takes longer than any
        time that would detect a silence.
        """
        read = bytearray()
        due_bytes = MIN_PROGRESS_BYTES
        last_deadline = scope.deadline + MAX_PROLONGED_MS / 1_000
        while chunk := await connection.chunk():
            read += chunk
            if len(read) > self._max_answer_bytes:
                raise _BodyTooLongError(
                    f"longer than {self._max_answer_bytes} bytes"
                )
            if len(read) >= due_bytes:
                due_bytes = len(read) + MIN_PROGRESS_BYTES
                timeout_s = self._times.answer_timeout_ms / 1_000
                deadline = max(scope.deadline, anyio.current_time() + timeout_s)
                scope.deadline = min(deadline, last_deadline)
        return bytes(read)

    async def _acquire_connection(self) -> connections.ClientConnection:
        while self._idle:
            idle = self._idle.pop()
            if idle.is_reusable():
                idle.set_idle(False)
                return idle
            idle.close()
        try:
            return await connections.connect(
                self._address, self._times.connect_timeout_ms
            )
        except connections.ConnectionLostError as error:
            raise exceptions.PlatformUnavailableError(str(error)) from error


class PlatformStore:
    """Implements `StoreClient` on the platform's row store."""

    __slots__ = ("_http",)

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def read(self, table: interfaces.Table) -> interfaces.Rows:
        """Return all rows of a table."""
        rows: list[interfaces.Row] = []
        pages: list[interfaces.Rows] = []
        query = {"table": _TABLE_NAMES[table], "part": ""}
        while True:
            document, values, era = await self._get("/rows-get", query, 0)
            page = _decode_rows(document, era, values)
            if pages and page.era != pages[0].era:
                raise exceptions.PlatformUnavailableError(
                    "/rows-get: the store was restored between two pages"
                )
            pages.append(page)
            rows.extend(page.rows)
            if not document.get("truncated") or not page.rows:
                # Changes of earlier pages since then are still to be read.
                return interfaces.Rows(tuple(rows), pages[0].version, page.era)
            # Keys are in byte order; the next page starts after the last key.
            query["from"] = page.rows[-1].key + "\x00"

    async def changes(
        self, table: interfaces.Table, after: int, wait_ms: int
    ) -> interfaces.Rows:
        """Long-poll for the rows changed after a version."""
        query = {
            "table": _TABLE_NAMES[table],
            # The same counter as `ver` of a row, despite its name.
            "after_revision": str(after),
            "wait_ms": str(wait_ms),
        }
        document, values, era = await self._get("/rows-feed", query, wait_ms)
        return _decode_rows(document, era, values)

    async def write(
        self,
        table: interfaces.Table,
        key: str,
        value: bytes,
        expected_version: int | None,
    ) -> interfaces.Position:
        """Write a row and return its version.

        If `expected_version` is given, the row must have that version; 0
        means that it must not exist.

        Raises:
            ConflictError: The row has another version.
        """
        table_name = _TABLE_NAMES[table]
        row = {"table": table_name, "part": "", "key": key}
        conditions = []
        if expected_version is not None:
            conditions.append({**row, "ver": expected_version})
        encoded = base64.b64encode(value).decode()
        document, era = await self._transact(
            {
                "expected_revision": conditions,
                "set_keys": [{**row, "value": encoded}],
                "remove": [],
            }
        )
        return interfaces.Position(era, _decode_version(document))

    async def remove(
        self, table: interfaces.Table, keys: tuple[str, ...]
    ) -> None:
        """Remove rows."""
        removals = []
        for key in keys:
            removals.append(
                {"table": _TABLE_NAMES[table], "part": "", "key": key}
            )
        await self._transact(
            {"expected_revision": [], "set_keys": [], "remove": removals}
        )

    async def _get(
        self, path: str, query: dict[str, str], wait_ms: int
    ) -> tuple[dict[str, Any], list[bytes], int]:
        """Return the document, its long values and the store's era."""
        target = f"{path}?{urllib.parse.urlencode(query)}"
        response = await self._http.call("GET", target, wait_ms=wait_ms)
        if response.status == 410:
            raise interfaces.HistoryLostError(f"{path}: status 410")
        if response.status != 200:
            raise exceptions.PlatformUnavailableError(
                f"{path}: status {response.status}"
            )
        era = _decode_era(response)
        try:
            document, values = await pacing.run(
                long_answers.parse(
                    response.body or b"{}", MAX_STORE_ANSWER_BYTES
                )
            )
        except untrusted.MalformedError:
            # Its decoder misses the fields, as with any unreadable answer.
            return {}, [], era
        return document, values, era

    async def _transact(
        self, document: dict[str, Any]
    ) -> tuple[dict[str, Any], int]:
        """Return the answer and the store's era."""
        response = await self._http.call("POST", "/rows-tx", document)
        if response.status == 412:
            raise interfaces.ConflictError(
                "/rows-tx: status 412", _decode_era(response)
            )
        if response.status != 200:
            raise exceptions.PlatformUnavailableError(
                f"/rows-tx: status {response.status}"
            )
        return response.document(), _decode_era(response)


class PlatformCloud:
    """Implements `CloudClient` on the platform's cloud API."""

    __slots__ = ("_holder", "_http")

    def __init__(self, http: HttpClient, holder: str) -> None:
        self._http = http
        self._holder = holder

    async def report_usage(
        self, fencing_token: int, window: int, counts: dict[str, int]
    ) -> None:
        """Report how many requests of each customer began in a window."""
        response = await self._http.call(
            "POST",
            "/usage",
            {"window_id": window, "counts": counts},
            self._duty_headers(fencing_token),
        )
        if response.status == 409:
            raise interfaces.FencedError(f"/usage: {response.document()}")
        if response.status != 200:
            raise exceptions.PlatformUnavailableError(
                f"/usage: status {response.status}"
            )

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
        """
        document: dict[str, Any] = {
            "service": service,
            "zone": zone,
            "desired_count": count,
        }
        if reclaimable:
            document["spot"] = True
        response = await self._http.call(
            "POST", "/scale", document, self._duty_headers(fencing_token)
        )
        if response.status == 409:
            # The platform also answers 409 if it has seen a higher fencing
            # token. An entry that has lost the lease detects that from the
            # lease row.
            raise interfaces.OrderRefusedError(f"/scale: {response.document()}")
        if response.status != 200:
            raise exceptions.PlatformUnavailableError(
                f"/scale: status {response.status} {response.document()}"
            )

    def _duty_headers(self, fencing_token: int) -> connections.Headers:
        return [
            (DUTY_HOLDER_HEADER, self._holder.encode()),
            (FENCING_TOKEN_HEADER, str(fencing_token).encode()),
        ]


class PlatformEngines:
    """Implements `EngineClient` on the HTTP API of the model engines."""

    __slots__ = ()

    async def move_stream(
        self, source_address: str, request_id: str, target_address: str
    ) -> interfaces.MoveResult:
        """Stop a stream and copy its KV cache to another engine."""
        http = HttpClient(source_address)
        try:
            response = await http.call(
                "POST",
                "/kv-move",
                # `last` stops the generation before the copy.
                {"id": request_id, "to": target_address, "last": True},
                accepted_statuses=(503,),
            )
        finally:
            http.close()
        statement = wire.PlatformWire().statement(
            response.status, response.headers
        )
        # Despite its name the handle is a path below the engine's address.
        handle = response.document().get("kv_handle")
        was_running = response.status != 404
        if response.status not in (200, 503) or not _is_handle(handle):
            return interfaces.MoveResult(None, was_running, statement)
        kv_source = f"{source_address}/{handle}"
        return interfaces.MoveResult(kv_source, was_running, statement)


class PlatformClients:
    """Implements `Clients` for the platform."""

    __slots__ = ()

    def store(
        self, settings: forwarding_settings.ForwardingSettings
    ) -> interfaces.StoreClient:
        """Return the client of the store."""
        http = HttpClient(
            settings.store_address, settings.call_times, MAX_STORE_ANSWER_BYTES
        )
        return PlatformStore(http)

    def cloud(
        self, settings: forwarding_settings.ForwardingSettings
    ) -> interfaces.CloudClient:
        """Return the client of the cloud API."""
        http = HttpClient(settings.cloud_address, settings.call_times)
        return PlatformCloud(http, settings.name)

    def engines(self) -> interfaces.EngineClient:
        """Return the client of the model engines."""
        return PlatformEngines()


def _now_ms() -> int:
    """Return the time on the clock of the event loop."""
    return int(anyio.current_time() * 1_000)


def _is_handle(handle: object) -> bool:
    """Return whether a handle can be sent in a header."""
    if isinstance(handle, int) and not isinstance(handle, bool):
        return 0 <= handle <= untrusted.MAX_COUNTER
    try:
        untrusted.name(handle, "kv_handle")
    except untrusted.MalformedError:
        return False
    return True


def _decode_version(document: dict[str, Any]) -> int:
    try:
        return untrusted.integer(document.get("ver"), "ver")
    except untrusted.MalformedError as error:
        raise exceptions.PlatformAnswerLostError(
            "the response has no integer `ver`"
        ) from error


def _decode_era(response: Response) -> int:
    """Return the era of the store, 0 if it names none.

    Raises:
        PlatformAnswerLostError: The era is malformed, so what the response
            says belongs to no known history.
    """
    for name, value in response.headers:
        if name.lower() != STORE_ERA_HEADER:
            continue
        if value.isdigit() and len(value) <= MAX_ERA_DIGITS:
            return int(value)
        raise exceptions.PlatformAnswerLostError(
            "the store-era header is not a number"
        )
    return 0


def _decode_rows(
    document: dict[str, Any], era: int, values: Sequence[bytes] = ()
) -> interfaces.Rows:
    """Return the rows of an answer, whose long values are in `values`.

    Raises:
        PlatformAnswerLostError: The answer is malformed.
    """
    try:
        rows = []
        for row in untrusted.sequence(document.get("rows", []), "rows"):
            rows.append(_decode_row(untrusted.mapping(row, "rows"), values))
    except untrusted.MalformedError as error:
        raise exceptions.PlatformAnswerLostError(error.message) from error
    return interfaces.Rows(tuple(rows), _decode_version(document), era)


def _decode_row(
    row: dict[str, Any], values: Sequence[bytes] = ()
) -> interfaces.Row:
    value: bytes | None = None
    index = long_answers.index_of(row.get("value"))
    if index is not None and index < len(values) and not row.get("tombstone"):
        value = values[index]
    elif not row.get("tombstone"):
        try:
            value = base64.b64decode(row.get("value", ""), validate=True)
        except (ValueError, TypeError):
            value = b""  # The decoder of the row rejects an empty value.
    return interfaces.Row(
        untrusted.text(
            untrusted.required(row, "key"), "key", untrusted.MAX_KEY_CHARS
        ),
        value,
        untrusted.integer(untrusted.required(row, "ver"), "ver"),
    )
