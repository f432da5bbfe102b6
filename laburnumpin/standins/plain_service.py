"""The plain service stand-in, which counts the executions of its calls."""

from __future__ import annotations

import collections
import dataclasses
import hashlib

import anyio
from starlette import applications
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumpin import clock
from laburnumpin.core import events
from laburnumpin.standins import documents
from laburnumpin.standins import faults
from laburnumpin.standins import lagged


@dataclasses.dataclass(slots=True, frozen=True)
class PlainSettings:
    """Settings of a plain service.

    At most `slots` calls run at once, each for `call_ms`, and at most
    `max_waiting` calls wait for a slot. Load reports are `report_lag_ms`
    old and contain the `role`.
    """

    slots: int = 16
    max_waiting: int = 64
    call_ms: int = 20
    report_lag_ms: int = 0
    role: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class CallResult:
    """Response to a call.

    It identifies the call, so that tests detect an answer that belongs to
    another call. `execution` numbers all executions from 1.
    """

    operation: str
    request_id: str
    attempt_id: str
    execution: int
    body_sha256: str


@dataclasses.dataclass(slots=True)
class Executions:
    """Response to `GET /admin/executions`: executions by identifier."""

    total: int = 0
    by_request_id: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    by_attempt_id: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    by_idempotency_key: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def count(
        self, request_id: str, attempt_id: str, idempotency_key: str
    ) -> int:
        """Count an execution and return its number, from 1."""
        self.total += 1
        self.by_request_id[request_id] += 1
        self.by_attempt_id[attempt_id] += 1
        if idempotency_key:
            self.by_idempotency_key[idempotency_key] += 1
        return self.total


class PlainService:
    """A service with a fixed call duration and without deduplication."""

    def __init__(self, settings: PlainSettings, time: clock.Clock) -> None:
        self.settings = settings
        self.clock = time
        self.incarnation = time.now_ms()
        self.switches = faults.FaultSwitches(time)
        self.executions = Executions()
        self._waiting_count = 0
        self._limiter = anyio.CapacityLimiter(settings.slots)
        self._reports = lagged.LaggedValue(self.incarnation, self._report())
        self.switches.change_callbacks.append(lambda _: self._record_report())

    def app(self) -> applications.Starlette:
        """Return the app of the main port, which the entries call."""
        route = routing.Route
        return applications.Starlette(
            routes=[
                route("/v1/call/{operation}", self._call, methods=["POST"]),
                route("/v1/load", self._show_load, methods=["GET"]),
            ],
            middleware=[
                middleware.Middleware(
                    faults.FaultMiddleware, switches=self.switches
                )
            ],
            exception_handlers=documents.EXCEPTION_HANDLERS,
        )

    def admin_app(self) -> applications.Starlette:
        """Return the app of the admin port."""
        return faults.admin_app(
            self.switches,
            [
                routing.Route(
                    "/admin/executions",
                    self._show_executions,
                    methods=["GET"],
                )
            ],
        )

    async def _call(self, request: requests.Request) -> responses.Response:
        self._check_admission()
        operation = request.path_params["operation"]
        request_id = request.headers.get("X-Request-Id", "")
        attempt_id = request.headers.get("X-Attempt-Id", "")
        idempotency_key = request.headers.get("Idempotency-Key", "")
        body = await request.body()
        self._waiting_count += 1
        try:
            await self._limiter.acquire()
        finally:
            self._waiting_count -= 1
        self._record_report()
        try:
            execution_number = self.executions.count(
                request_id, attempt_id, idempotency_key
            )
            await anyio.sleep(self.settings.call_ms / 1_000)
            await self.switches.wait_while_frozen(request.url.path)
        finally:
            self._limiter.release()
            self._record_report()
        return documents.respond(
            CallResult(
                operation,
                request_id,
                attempt_id,
                execution_number,
                hashlib.sha256(body).hexdigest(),
            )
        )

    async def _show_load(self, request: requests.Request) -> responses.Response:
        del request
        now_ms = self.clock.now_ms()
        lag_ms = self.settings.report_lag_ms
        lag_ms = max(lag_ms, self.switches.faults.report_lag_ms)
        if not lag_ms:
            return documents.respond(self._report())
        report = self._reports.read(now_ms, lag_ms).value
        return documents.respond(dataclasses.replace(report, age_ms=lag_ms))

    async def _show_executions(
        self, request: requests.Request
    ) -> responses.Response:
        del request
        return documents.respond(self.executions)

    def _check_admission(self) -> None:
        if self.switches.faults.leaving:
            raise documents.RefusedError(
                409, "leaving", "the service is leaving and takes no new work"
            )
        if self._waiting_count >= self.settings.max_waiting:
            raise documents.RefusedError(
                429,
                "overloaded",
                "the queue of calls is full",
                retry_after_s=1,
            )

    def _record_report(self) -> None:
        self._reports.record(self.clock.now_ms(), self._report())

    def _report(self) -> events.LoadReport:
        return events.LoadReport(
            self.incarnation,
            0,
            self._limiter.borrowed_tokens,
            self._waiting_count,
            self.settings.slots,
            0,
            float(self.settings.call_ms),
            self.switches.faults.leaving,
            self.settings.role,
        )
