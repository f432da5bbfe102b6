"""Client of the platform: table service, object store and cloud API."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
from typing import Any
from urllib import parse

import anyio
import httpx

from laburnumpin import exceptions
from laburnumpin.config import settings as settings_module
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import store
from laburnumpin.server import bridge as bridges
from laburnumpin.server import documents
from laburnumpin.server import http_calls
from laburnumpin.server import tasks

# Timeouts of calls, from the first byte sent to the complete response.
DEFAULT_TIMEOUT_MS = 2_000
VM_CALL_TIMEOUT_MS = 10_000
MAX_RESPONSE_BYTES = 64 * 1024 * 1024

_CALL_ERRORS = (
    exceptions.PlatformUnavailableError,
    exceptions.PlatformAnswerLostError,
    exceptions.DocumentError,
    http_calls.ExpiredError,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Committed:
    """A transaction took effect; has the row versions in write order."""

    versions: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Conflicted:
    """A transaction did not take effect; has the rows that conflicted."""

    conflicts: tuple[store.Row, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class _Response:
    """A complete HTTP response."""

    status: int
    body: bytes


class PlatformClient:
    """Calls the platform, either directly or to execute an effect.

    The methods `start_*` execute an effect in a task and queue its result as
    an event; stops, and failed reads of notices and prices, queue none. The
    others raise `PlatformUnavailableError` if the call certainly had no
    effect, `PlatformAnswerLostError` if it may have had one, and
    `DocumentError` for a malformed answer to a read.
    """

    __slots__ = ("_bridge", "_client", "_tasks", "_token")

    def __init__(
        self,
        bridge: bridges.Bridge,
        task_runner: tasks.TaskRunner,
        settings: settings_module.Settings,
    ) -> None:
        self._bridge = bridge
        self._tasks = task_runner
        self._token = settings.platform_token
        self._client = http_calls.new_client(
            True, base_url=settings.platform_url.rstrip("/")
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def transact(
        self,
        conditions: tuple[store.Condition, ...],
        writes: tuple[store.Write, ...],
    ) -> Committed | Conflicted:
        """Write rows atomically if all conditions hold."""
        body = {
            "conditions": [dataclasses.asdict(row) for row in conditions],
            "writes": [dataclasses.asdict(row) for row in writes],
        }
        response = await self._call("POST", "/tables/transact", body)
        if response.status not in (200, 409):
            raise _status_error(response)
        try:
            document = documents.parse_object(response.body)
            if response.status == 200:
                return _parse_committed(document, len(writes))
            return Conflicted(
                documents.get(document, "conflicts", tuple[store.Row, ...])
            )
        except exceptions.DocumentError as error:
            raise exceptions.PlatformAnswerLostError(error.message) from error

    async def read_rows(
        self, table: str, keys: tuple[str, ...]
    ) -> tuple[store.Row, ...]:
        """Return rows in the order of `keys`; absent ones have version 0."""
        body = {"table": table, "keys": list(keys)}
        document = await self._read_document("POST", "/tables/read", body)
        rows: tuple[store.Row, ...] = documents.get(
            document, "rows", tuple[store.Row, ...]
        )
        if tuple(row.key for row in rows) != keys:
            raise exceptions.DocumentError(
                "rows: the keys differ from the requested ones"
            )
        return rows

    async def scan_rows(
        self, table: str, prefix: str, limit: int
    ) -> tuple[store.Row, ...]:
        """Return up to `limit` rows whose key has a prefix."""
        query = parse.urlencode({"prefix": prefix, "limit": limit})
        path = f"/tables/{parse.quote(table, safe='')}?{query}"
        document = await self._read_document("GET", path)
        rows: tuple[store.Row, ...] = documents.get(
            document, "rows", tuple[store.Row, ...]
        )
        return rows

    def start_transact(self, effect: effects.Transact) -> None:
        """Start a transaction."""
        self._tasks.start(self._run_transact, effect)

    def start_read(self, effect: effects.ReadRows) -> None:
        """Start a read of rows."""
        self._tasks.start(
            self._run_read,
            effect.operation_id,
            lambda: self.read_rows(effect.table, effect.keys),
        )

    def start_scan(self, effect: effects.ScanRows) -> None:
        """Start a scan of rows."""
        self._tasks.start(
            self._run_read,
            effect.operation_id,
            lambda: self.scan_rows(effect.table, effect.prefix, effect.limit),
        )

    def start_put_object(self, effect: effects.PutObject) -> None:
        """Start the write of an object."""
        path = _object_path(effect.key)
        self._tasks.start(
            self._run_object_write,
            effect.operation_id,
            lambda: self._call("PUT", path, content=effect.body),
        )

    def start_delete_object(self, effect: effects.DeleteObject) -> None:
        """Start the deletion of an object."""
        path = _object_path(effect.key)
        self._tasks.start(
            self._run_object_write,
            effect.operation_id,
            lambda: self._call("DELETE", path),
        )

    def start_get_object(self, effect: effects.GetObject) -> None:
        """Start the read of an object."""
        self._tasks.start(self._run_get_object, effect)

    def start_list_objects(self, effect: effects.ListObjects) -> None:
        """Start the listing of objects."""
        self._tasks.start(self._run_list_objects, effect)

    def start_list_vms(self, effect: effects.ListVms) -> None:
        """Start a read of the list of VMs."""
        del effect
        self._tasks.start(self._run_list_vms)

    def start_list_notices(self, effect: effects.ListNotices) -> None:
        """Start a read of the pending reclaim notices."""
        del effect
        self._tasks.start(self._run_list_notices)

    def start_list_prices(self, effect: effects.ListPrices) -> None:
        """Start a read of the current prices."""
        del effect
        self._tasks.start(self._run_list_prices)

    def start_start_vm(self, effect: effects.StartVm) -> None:
        """Start a call that starts a VM."""
        self._tasks.start(self._run_start_vm, effect)

    def start_stop_vm(self, effect: effects.StopVm) -> None:
        """Start a call that stops a VM."""
        self._tasks.start(self._run_stop_vm, effect)

    async def _run_transact(self, effect: effects.Transact) -> None:
        operation_id = effect.operation_id
        event: events.Event
        try:
            result = await self.transact(effect.conditions, effect.writes)
        except exceptions.PlatformUnavailableError:
            event = events.TransactRefused(self._now_ms(), operation_id)
        except exceptions.PlatformAnswerLostError:
            event = events.TransactUnknown(self._now_ms(), operation_id)
        else:
            event = _transact_event(result, operation_id, self._now_ms())
        await self._bridge.put(event)

    async def _run_read(
        self,
        operation_id: store.OperationId,
        read: Callable[[], Awaitable[tuple[store.Row, ...]]],
    ) -> None:
        event: events.Event
        try:
            rows = await read()
            event = events.RowsRead(self._now_ms(), operation_id, rows)
        except _CALL_ERRORS:
            event = events.ReadFailed(self._now_ms(), operation_id)
        await self._bridge.put(event)

    async def _run_object_write(
        self,
        operation_id: store.OperationId,
        write: Callable[[], Awaitable[_Response]],
    ) -> None:
        event: events.Event
        try:
            response = await write()
            # 404: deleting an absent object counts as success.
            if response.status not in (200, 201, 204, 404):
                raise _status_error(response)
            event = events.ObjectStored(self._now_ms(), operation_id)
        except _CALL_ERRORS:
            event = events.ObjectFailed(self._now_ms(), operation_id)
        await self._bridge.put(event)

    async def _run_get_object(self, effect: effects.GetObject) -> None:
        event: events.Event
        try:
            response = await self._call("GET", _object_path(effect.key))
            if response.status not in (200, 404):
                raise _status_error(response)
            body = response.body if response.status == 200 else None
            event = events.ObjectRead(self._now_ms(), effect.operation_id, body)
        except _CALL_ERRORS:
            event = events.ObjectFailed(self._now_ms(), effect.operation_id)
        await self._bridge.put(event)

    async def _run_list_objects(self, effect: effects.ListObjects) -> None:
        event: events.Event
        query = parse.urlencode({"prefix": effect.prefix})
        try:
            document = await self._read_document("GET", f"/objects?{query}")
            keys = documents.get(document, "keys", tuple[str, ...])
            event = events.ObjectsListed(
                self._now_ms(), effect.operation_id, keys
            )
        except _CALL_ERRORS:
            event = events.ObjectFailed(self._now_ms(), effect.operation_id)
        await self._bridge.put(event)

    async def _run_list_vms(self) -> None:
        event: events.Event
        try:
            document = await self._read_document("GET", "/vms")
            rows = documents.get(document, "vms", tuple[events.VmRow, ...])
            event = events.VmsListed(self._now_ms(), rows)
        except _CALL_ERRORS:
            event = events.VmListFailed(self._now_ms())
        await self._bridge.put(event)

    async def _run_list_notices(self) -> None:
        sent_ms = self._now_ms()
        try:
            document = await self._read_document("GET", "/notices")
            notices = documents.get(
                document, "notices", tuple[events.Notice, ...]
            )
        except _CALL_ERRORS:
            return
        await self._bridge.put(
            events.NoticesListed(self._now_ms(), notices, sent_ms)
        )

    async def _run_list_prices(self) -> None:
        try:
            document = await self._read_document("GET", "/prices")
            prices = documents.get(document, "prices", dict[str, float])
        except _CALL_ERRORS:
            return
        await self._bridge.put(events.PricesListed(self._now_ms(), prices))

    async def _run_start_vm(self, effect: effects.StartVm) -> None:
        body = {
            "order_id": effect.order_id,
            "service": effect.service,
            "zone": effect.zone,
            "vm_class": effect.vm_class,
            "reclaimable": effect.reclaimable,
        }
        vm_id: str | None = None
        try:
            response = await self._call(
                "POST",
                "/vms",
                body,
                valid_until_ms=effect.valid_until_ms,
                timeout_ms=VM_CALL_TIMEOUT_MS,
            )
            if response.status in (200, 201):
                document = documents.parse_object(response.body)
                vm_id = documents.get(document, "vm_id", str)
        except _CALL_ERRORS:
            # The event cannot express an unknown result. A VM that started
            # nevertheless appears in the VM list, and `order_id` makes a
            # repetition idempotent.
            vm_id = None
        await self._bridge.put(
            events.VmStartAnswered(self._now_ms(), effect.order_id, vm_id)
        )

    async def _run_stop_vm(self, effect: effects.StopVm) -> None:
        try:
            await self._call(
                "DELETE",
                f"/vms/{parse.quote(effect.vm_id, safe='')}",
                valid_until_ms=effect.valid_until_ms,
                timeout_ms=VM_CALL_TIMEOUT_MS,
            )
        except _CALL_ERRORS:
            return  # The next plan repeats the stop if it is still needed.

    async def _read_document(
        self, method: str, path: str, body: Any = None
    ) -> dict[str, Any]:
        response = await self._call(method, path, body)
        if response.status != 200:
            raise _status_error(response)
        return documents.parse_object(response.body)

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        content: bytes | None = None,
        valid_until_ms: int | None = None,
        timeout_ms: int | None = None,
    ) -> _Response:
        scope = anyio.CancelScope()

        def start_timer() -> None:
            seconds = (timeout_ms or DEFAULT_TIMEOUT_MS) / 1_000
            scope.deadline = anyio.current_time() + seconds

        # The connect and pool timeouts bound the time until the first byte, so
        # a timeout of the scope implies that the call was sent.
        guard = http_calls.SendGuard(
            self._bridge.clock, valid_until_ms, start_timer
        )
        headers = {"Authorization": f"Bearer {self._token.reveal()}"}
        if body is not None:
            content = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        try:
            with scope:
                return await self._exchange(
                    method, path, content, headers, guard
                )
        except (httpx.HTTPError, httpx.InvalidURL, OSError) as error:
            message = f"{method} {path}: {type(error).__name__}"
            if guard.sent:
                raise exceptions.PlatformAnswerLostError(message) from error
            raise exceptions.PlatformUnavailableError(message) from error
        raise exceptions.PlatformAnswerLostError(f"{method} {path}: timed out")

    async def _exchange(
        self,
        method: str,
        path: str,
        content: bytes | None,
        headers: dict[str, str],
        guard: http_calls.SendGuard,
    ) -> _Response:
        async with self._client.stream(
            method,
            path,
            content=content,
            headers=headers,
            extensions=guard.extensions(),
        ) as response:
            body = await http_calls.read_body(response, MAX_RESPONSE_BYTES)
        if body is None:
            raise exceptions.PlatformAnswerLostError(
                f"{method} {path}: the answer is too long"
            )
        return _Response(response.status_code, body)

    def _now_ms(self) -> int:
        return self._bridge.clock.now_ms()


def _status_error(response: _Response) -> exceptions.LaburnumpinError:
    """Return the error for an unexpected HTTP status.

    The platform refuses a call with 503 or 4xx before it has any effect. Any
    other status may follow a partial or complete effect.
    """
    message = f"HTTP {response.status}"
    if response.status == 503 or 400 <= response.status < 500:
        return exceptions.PlatformUnavailableError(message)
    return exceptions.PlatformAnswerLostError(message)


def _parse_committed(document: dict[str, Any], writes: int) -> Committed:
    versions = documents.get(document, "versions", tuple[int, ...])
    if len(versions) != writes:
        raise exceptions.DocumentError(
            "versions: the number differs from that of the writes"
        )
    return Committed(versions)


def _transact_event(
    result: Committed | Conflicted,
    operation_id: store.OperationId,
    now_ms: int,
) -> events.Event:
    if isinstance(result, Committed):
        return events.TransactCommitted(now_ms, operation_id, result.versions)
    return events.TransactConflicted(now_ms, operation_id, result.conflicts)


def _object_path(key: str) -> str:
    return f"/objects/{parse.quote(key, safe='/')}"
