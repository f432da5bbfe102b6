"""The engine stand-in: the HTTP API of a model engine.

It runs the simulation in `batching` in real time.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import dataclasses
import json
from typing import Any

import anyio
import httpx
from starlette import applications
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

from laburnumpin import clock
from laburnumpin.core import events
from laburnumpin.standins import batching
from laburnumpin.standins import documents
from laburnumpin.standins import engine_documents
from laburnumpin.standins import faults
from laburnumpin.standins import lagged
from laburnumpin.standins import orders
from laburnumpin.standins import text

EXPIRY_PERIOD_S = 0.2
WEIGHTS_RETRY_DELAY_S = 0.2


class Engine:
    """One engine: its batch, its load reports and its two HTTP apps.

    Generations make progress only while `run` is running.
    """

    def __init__(
        self,
        settings: engine_documents.EngineSettings,
        time: clock.Clock,
    ) -> None:
        self.settings = settings
        self.clock = time
        self.incarnation = time.now_ms()
        self.switches = faults.FaultSwitches(time)
        self.switches.change_callbacks.append(self._on_faults_changed)
        self.batch = batching.Batch(settings.batch)
        self.orders = orders.Orders(settings)
        self._totals = engine_documents.Totals(0, 0, 0, ())
        self._reports = lagged.LaggedValue(self.incarnation, self._report())
        self._progress: dict[str, anyio.Event] = {}
        self._work_available = anyio.Event()
        self._requested_model_loads = 0

    def app(self) -> applications.Starlette:
        """Return the app of the main port, which the entries call."""
        return applications.Starlette(
            routes=self._routes(),
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
                    "/admin/totals", self._show_totals, methods=["GET"]
                )
            ],
        )

    async def run(self) -> None:
        """Compute steps, load models and expire generations until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_steps)
            group.start_soon(self._run_expiry)
            group.start_soon(self._run_model_loads)

    def _routes(self) -> list[routing.Route]:
        route = routing.Route
        get = ["GET"]
        post = ["POST"]
        return [
            route("/v1/generate", self._generate, methods=post),
            route(
                "/v1/generate/{request_id:path}",
                self._cancel,
                methods=["DELETE"],
            ),
            route("/v1/load", self._show_load, methods=get),
            route("/v1/cache-events", self._show_cache_events, methods=get),
            route("/v1/kv/export", self._export, methods=post),
            route("/v1/kv/import", self._import, methods=post),
            route("/v1/orders", self._apply_order, methods=post),
        ]

    async def _run_steps(self) -> None:
        while True:
            await self.switches.wait_while_frozen("/v1/generate")
            end_ms = self.batch.step_end_ms
            if end_ms is None:
                await self._work_available.wait()
                continue
            wait_ms = end_ms - self.clock.now_ms()
            if wait_ms > 0:
                await anyio.sleep(wait_ms / 1_000)
                continue
            for generation in self.batch.advance(self.clock.now_ms()):
                self._notify_readers(generation)
            self._record_report()
            await anyio.lowlevel.checkpoint()

    async def _run_expiry(self) -> None:
        while True:
            await anyio.sleep(EXPIRY_PERIOD_S)
            for generation in self.batch.expire(self.clock.now_ms()):
                self._record_removal(generation)

    async def _run_model_loads(self) -> None:
        handled_model_loads = 0
        async with httpx.AsyncClient() as client:
            while True:
                if handled_model_loads == self._requested_model_loads:
                    await self._work_available.wait()
                    continue
                handled_model_loads = self._requested_model_loads
                await self._fetch_weights(client)
                await anyio.sleep(self.settings.model_load_ms / 1_000)
                if handled_model_loads != self._requested_model_loads:
                    # Another order changed the model during this load.
                    continue
                self.batch.end_model_load(self.clock.now_ms())
                self._wake_tasks()

    async def _fetch_weights(self, client: httpx.AsyncClient) -> None:
        if not self.settings.weights_url:
            return
        url = f"{self.settings.weights_url}/weights/{self.orders.model}"
        headers = {}
        if self.settings.platform_token:
            token = self.settings.platform_token
            headers["Authorization"] = f"Bearer {token}"
        while True:
            try:
                response = await client.get(url, headers=headers)
            except httpx.TransportError:
                await anyio.sleep(WEIGHTS_RETRY_DELAY_S)
                continue
            if response.status_code == 200:
                return
            await anyio.sleep(WEIGHTS_RETRY_DELAY_S)

    async def _generate(self, request: requests.Request) -> responses.Response:
        body = await documents.read(request, engine_documents.GenerateRequest)
        log_entry = faults.log_entry(request)
        log_entry.request_id = body.request_id
        log_entry.attempt_id = body.attempt_id
        generation = self._find_or_submit(body)
        self.batch.attach_reader(generation, self.clock.now_ms())
        self._wake_tasks()
        return _EventStream(self, generation, body.offset)

    def detach_reader(self, generation: batching.Generation) -> None:
        """Subtract a reader of a generation."""
        self.batch.detach_reader(generation, self.clock.now_ms())

    def _find_or_submit(
        self, body: engine_documents.GenerateRequest
    ) -> batching.Generation:
        existing = self.batch.generations.get(body.request_id)
        if existing is not None and (
            body.offset > 0
            or (existing.prompt, existing.max_tokens)
            == (body.prompt, body.max_tokens)
        ):
            return existing
        if body.offset > 0 and not body.recompute:
            raise _unknown_generation_error()
        if existing is not None:
            raise documents.RefusedError(
                409,
                "request_id_reused",
                "the request id has another prompt or max_tokens",
            )
        if body.max_tokens < 1:
            raise documents.RefusedError(
                400, "invalid_request", "max_tokens must be at least 1"
            )
        self._check_admission()
        generation = self.batch.submit(
            body.request_id,
            body.prompt,
            body.max_tokens,
            body.priority,
            self.clock.now_ms(),
        )
        self._record_report()
        return generation

    async def stream(
        self, generation: batching.Generation, offset: int
    ) -> AsyncIterator[bytes]:
        """Yield the server-sent events of a generation from `offset` on.

        Ends with an `end` event, or with an `error` event if the generation
        is cancelled.
        """
        digest = text.prompt_digest(generation.prompt)
        while True:
            end = generation.produced_tokens
            if end > offset:
                yield _output_event(digest, offset, end)
                offset = end
            if generation.produced_tokens > offset:
                continue
            if generation.phase is batching.Phase.ENDED:
                yield _end_event(generation)
                return
            if generation.phase is batching.Phase.CANCELLED:
                yield _cancelled_event()
                return
            await self._wait_for_progress(generation)

    async def _wait_for_progress(self, generation: batching.Generation) -> None:
        event = self._progress.get(generation.request_id)
        if event is None:
            event = anyio.Event()
            self._progress[generation.request_id] = event
        await event.wait()

    def _notify_readers(self, generation: batching.Generation) -> None:
        event = self._progress.pop(generation.request_id, None)
        if event is not None:
            event.set()

    def _wake_tasks(self) -> None:
        self._work_available.set()
        self._work_available = anyio.Event()

    async def _cancel(self, request: requests.Request) -> responses.Response:
        generation = self.batch.cancel(request.path_params["request_id"])
        if generation is None:
            raise _unknown_generation_error()
        self._record_removal(generation)
        self._record_report()
        return documents.respond(documents.Done())

    def _record_removal(self, generation: batching.Generation) -> None:
        self._notify_readers(generation)
        totals = self._totals
        self._totals = engine_documents.Totals(
            totals.generations + 1,
            totals.computed_tokens + generation.computed_tokens,
            totals.cached_prompt_tokens + generation.cached_prompt_tokens,
            (),
        )

    async def _show_load(self, request: requests.Request) -> responses.Response:
        del request
        now_ms = self.clock.now_ms()
        lag_ms = self.settings.report_lag_ms
        lag_ms = max(lag_ms, self.switches.faults.report_lag_ms)
        report = self._reports.read(now_ms, lag_ms).value
        return documents.respond(dataclasses.replace(report, age_ms=lag_ms))

    async def _show_cache_events(
        self, request: requests.Request
    ) -> responses.Response:
        after = request.query_params.get("after", "0")
        if not after.isdecimal():
            raise documents.RefusedError(
                400, "invalid_request", "after must be a non-negative integer"
            )
        delay_ms = self.switches.faults.cache_event_delay_ms
        return documents.respond(
            self.batch.cache.log.read_from(
                int(after), self.clock.now_ms(), delay_ms
            )
        )

    async def _export(self, request: requests.Request) -> responses.Response:
        body = await documents.read(request, engine_documents.ExportRequest)
        generation = self.batch.generations.get(body.request_id)
        if generation is None or not generation.produced_tokens:
            raise _unknown_generation_error()
        tokens = generation.prompt_tokens + generation.produced_tokens
        return documents.respond(
            engine_documents.KvDocument(
                generation.request_id,
                generation.produced_tokens,
                tokens * self.settings.kv_bytes_per_token,
                generation.prompt,
                generation.max_tokens,
                generation.priority,
                self.orders.model,
                self.orders.model_version,
            )
        )

    async def _import(self, request: requests.Request) -> responses.Response:
        body = await documents.read(request, engine_documents.KvDocument)
        self._check_admission()
        current_model = (self.orders.model, self.orders.model_version)
        if (body.model, body.model_version) != current_model:
            raise documents.RefusedError(
                409,
                "model_mismatch",
                "the KV cache belongs to another model or model version",
            )
        await anyio.sleep(body.size_bytes / self.settings.kv_bytes_per_s)
        self.batch.import_generation(
            body.request_id,
            body.prompt,
            body.max_tokens,
            body.priority,
            body.offset,
            self.clock.now_ms(),
        )
        return documents.respond(documents.Done())

    async def _apply_order(
        self, request: requests.Request
    ) -> responses.Response:
        order = await documents.read(request, engine_documents.Order)
        batch = self.batch
        is_busy = bool(batch.running_count or batch.waiting_count)
        needs_model_load = self.orders.changes_model(order)
        answer = self.orders.apply(order, is_busy)
        if answer is not orders.OrderAnswer.ACCEPTED:
            raise documents.RefusedError(
                409,
                answer.value,
                f"order with fencing number {order.fencing_number} refused",
            )
        if needs_model_load:
            batch.begin_model_load(self.clock.now_ms())
            self._requested_model_loads += 1
            self._wake_tasks()
        self._record_report()
        return documents.respond(
            engine_documents.OrderAccepted(order.fencing_number)
        )

    async def _show_totals(
        self, request: requests.Request
    ) -> responses.Response:
        del request
        totals = self._totals
        retained = self.batch.generations.values()
        computed = sum(generation.computed_tokens for generation in retained)
        cached = sum(generation.cached_prompt_tokens for generation in retained)
        return documents.respond(
            engine_documents.Totals(
                totals.generations + len(retained),
                totals.computed_tokens + computed,
                totals.cached_prompt_tokens + cached,
                tuple(self.orders.accepted),
            )
        )

    def _check_admission(self) -> None:
        if self.switches.faults.leaving:
            raise documents.RefusedError(
                409, "leaving", "the engine is leaving and takes no new work"
            )
        if self.batch.is_full:
            raise documents.RefusedError(
                429,
                "overloaded",
                "the queue of generations is full",
                retry_after_s=1,
            )

    def _on_faults_changed(self, changed: faults.Faults) -> None:
        self.batch.cache.log.drop_next(changed.cache_event_gap)
        self._record_report()

    def _record_report(self) -> None:
        self._reports.record(self.clock.now_ms(), self._report())

    def _report(self) -> events.LoadReport:
        batch = self.batch
        return events.LoadReport(
            self.incarnation,
            0,
            batch.running_count,
            batch.waiting_count,
            batch.settings.slots,
            batch.backlog_tokens(),
            batch.last_step_ms,
            self.switches.faults.leaving,
            self.orders.role,
            self.orders.model,
            self.orders.model_version,
            self.orders.fencing_number,
        )


class _EventStream(responses.StreamingResponse):
    """The event stream of one reader.

    Detaches the reader from its generation however the stream ends.
    """

    def __init__(
        self, engine: Engine, generation: batching.Generation, offset: int
    ) -> None:
        super().__init__(
            engine.stream(generation, offset), media_type="text/event-stream"
        )
        self._engine = engine
        self._generation = generation

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Send the stream until it ends or the client disconnects."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            self._engine.detach_reader(self._generation)


def _encode_event(
    document: Any, name: str = "", event_id: int | None = None
) -> bytes:
    lines = []
    if event_id is not None:
        lines.append(f"id: {event_id}")
    if name:
        lines.append(f"event: {name}")
    data = json.dumps(documents.encode(document), separators=(",", ":"))
    lines.append(f"data: {data}")
    return ("\n".join(lines) + "\n\n").encode()


def _output_event(digest: bytes, start: int, end: int) -> bytes:
    words = [text.token_text(digest, index) for index in range(start, end)]
    output = engine_documents.Output("".join(words), end - start)
    return _encode_event(output, event_id=end)


def _end_event(generation: batching.Generation) -> bytes:
    end = engine_documents.End(
        generation.produced_tokens,
        generation.cached_prompt_tokens,
        generation.computed_tokens,
    )
    return _encode_event(end, "end")


def _cancelled_event() -> bytes:
    error = documents.Error("cancelled", "the generation was cancelled")
    return _encode_event(documents.ErrorDocument(error), "error")


def _unknown_generation_error() -> documents.RefusedError:
    return documents.RefusedError(
        404, "unknown_generation", "no generation has this request id"
    )
