"""The HTTP API for callers: submit, read, query and cancel requests."""

from __future__ import annotations

import contextlib
import json
from typing import Any

import anyio
from anyio.streams import memory
from starlette import applications
from starlette import exceptions as http_exceptions
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

from laburnumpin import verdict
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import messages
from laburnumpin.server import authentication
from laburnumpin.server import bridge as bridges
from laburnumpin.server import caller_errors
from laburnumpin.server import caller_input
from laburnumpin.server import exchanges
from laburnumpin.server import logs
from laburnumpin.server import metrics
from laburnumpin.server import sse


class OutputResponse(responses.Response):
    """Sends the output of a request as server-sent events or as one document.

    If the caller disconnects, the reader is closed and the request continues.
    """

    def __init__(
        self,
        bridge: bridges.Bridge,
        request_id: str,
        customer: str,
        offset: int,
        streamed: bool,
    ) -> None:
        super().__init__()
        self._bridge = bridge
        self._request_id = request_id
        self._customer = customer
        self._offset = offset
        self._streamed = streamed

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Send the response; stop if the caller disconnects."""
        fields: logs.Fields = {
            "request_id": self._request_id,
            "customer": self._customer,
            "offset": self._offset,
            "streamed": self._streamed,
        }
        with logs.request_action(fields) as result:
            result["outcome"] = "caller_gone"
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(
                    _cancel_on_disconnect, receive, task_group.cancel_scope
                )
                result["outcome"] = await self._send(scope, receive, send)
                task_group.cancel_scope.cancel()

    async def _send(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> str:
        """Send the response and return its outcome for the log."""
        if self._streamed:
            return await self._send_stream(send)
        response = await self._collect_output()
        await response(scope, receive, send)
        return f"http_{response.status_code}"

    async def _send_stream(self, send: types.Send) -> str:
        headers = responses.Response(
            headers={
                "X-Request-Id": self._request_id,
                "Cache-Control": "no-store",
            },
            media_type=sse.MEDIA_TYPE,
        ).raw_headers
        headers = [row for row in headers if row[0] != b"content-length"]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        async with self._bridge.open_reader(
            self._request_id, self._customer, self._offset
        ) as reader:
            async for output in reader:
                # Under load several chunks are buffered; writing all of them
                # at once costs little more than writing a single one.
                batch = [output, *_drain_buffer(reader)]
                sse_events = [self._sse_event(item) for item in batch]
                is_last = isinstance(batch[-1], effects.EndReader)
                await send(
                    {
                        "type": "http.response.body",
                        "body": b"".join(sse.encode(row) for row in sse_events),
                        "more_body": not is_last,
                    }
                )
                if is_last:
                    return sse_events[-1].name
        return "reader_closed"

    def _sse_event(self, output: bridges.Output) -> sse.SseEvent:
        if isinstance(output, effects.SendChunk):
            chunk = output.chunk
            return sse.SseEvent(
                "", str(chunk.next_offset), _compact_json({"text": chunk.text})
            )
        outcome = output.outcome
        if outcome.failure is not None:
            document = caller_errors.body(outcome.failure, self._request_id)
            return sse.SseEvent("error", "", _compact_json(document))
        total = {"total_offset": outcome.total_offset}
        return sse.SseEvent(
            "end", str(outcome.total_offset), _compact_json(total)
        )

    async def _collect_output(self) -> responses.Response:
        texts: list[str] = []
        async with self._bridge.open_reader(
            self._request_id, self._customer, 0
        ) as reader:
            async for output in reader:
                if isinstance(output, effects.SendChunk):
                    texts.append(output.chunk.text)
                    continue
                return self._complete_response(texts, output.outcome)
        return caller_errors.response(
            caller_errors.CallerError(
                _internal_failure(), request_id=self._request_id
            )
        )

    def _complete_response(
        self, texts: list[str], outcome: messages.Outcome
    ) -> responses.Response:
        if outcome.failure is not None:
            return caller_errors.response(
                caller_errors.CallerError(
                    outcome.failure, request_id=self._request_id
                )
            )
        return responses.JSONResponse(
            {
                "request_id": self._request_id,
                "text": "".join(texts),
                "total_offset": outcome.total_offset,
            },
            headers={"X-Request-Id": self._request_id},
        )


class CallerApi:
    """Endpoints of the caller API."""

    __slots__ = ("_bridge", "_metrics")

    def __init__(
        self, bridge: bridges.Bridge, latency_metrics: metrics.Metrics
    ) -> None:
        self._bridge = bridge
        self._metrics = latency_metrics

    def application(self) -> applications.Starlette:
        """Return the ASGI application."""
        request_path = "/v1/requests/{request_id}"
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/v1/services/{service}/{operation}",
                    self.submit,
                    methods=["POST"],
                ),
                routing.Route(request_path, self.status, methods=["GET"]),
                routing.Route(request_path, self.cancel, methods=["DELETE"]),
                routing.Route(
                    request_path + "/output", self.output, methods=["GET"]
                ),
                routing.Route("/livez", self.livez),
                routing.Route("/readyz", self.readyz),
                routing.Route("/metrics", self.metrics),
            ],
            middleware=[
                middleware.Middleware(
                    exchanges.ExchangeLimit,
                    entry_counters=self._bridge.state.counters,
                )
            ],
            exception_handlers={
                caller_errors.CallerError: _answer_error,
                http_exceptions.HTTPException: _answer_http_error,
                requests.ClientDisconnect: _answer_disconnect,
                Exception: _answer_exception,
            },
        )

    async def submit(self, request: requests.Request) -> responses.Response:
        """Submit a request and respond with its output or its id."""
        current_deployment = self._current_deployment()
        customer = self._authenticate(request, current_deployment)
        service = request.path_params["service"]
        body = await caller_input.read_body(request)
        submission = caller_input.parse(
            request, body, current_deployment.services.get(service)
        )
        exchange_id = self._bridge.new_id()
        now_ms = self._bridge.clock.now_ms()
        answer = await self._bridge.ask(
            exchange_id,
            events.RequestArrived(
                now_ms=now_ms,
                exchange_id=exchange_id,
                customer=customer,
                service=service,
                operation=request.path_params["operation"],
                body=submission.body,
                prompt=submission.prompt,
                max_tokens=submission.max_tokens,
                idempotency_key=submission.idempotency_key,
                deadline_ms=now_ms + submission.deadline_ms,
                priority=submission.priority,
            ),
        )
        if isinstance(answer, effects.Refuse):
            raise caller_errors.CallerError(answer.failure)
        assert isinstance(answer, effects.Accept)
        logs.write(
            "request_accepted",
            "info",
            {
                "request_id": answer.request_id,
                "customer": customer,
                "service": service,
                "operation": request.path_params["operation"],
            },
        )
        if caller_input.wants_async(request):
            return _accepted_response(answer.request_id)
        return OutputResponse(
            self._bridge,
            answer.request_id,
            customer,
            0,
            caller_input.wants_stream(request),
        )

    async def status(self, request: requests.Request) -> responses.Response:
        """Respond with the status of a request."""
        status = await self._ask_status(request, cancel=False)
        return responses.JSONResponse(status_body(status))

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Cancel a request and respond with its status."""
        status = await self._ask_status(request, cancel=True)
        return responses.JSONResponse(status_body(status))

    async def output(self, request: requests.Request) -> responses.Response:
        """Respond with the output of a request, from an offset on."""
        customer = self._authenticate(request, self._current_deployment())
        offset = caller_input.parse_offset(request)
        # Checked first, because a stream that has started cannot respond with
        # the HTTP status for an unknown request.
        status = await self._ask_status(request, cancel=False)
        return OutputResponse(
            self._bridge,
            status.request_id,
            customer,
            offset,
            caller_input.wants_stream(request),
        )

    async def livez(self, request: requests.Request) -> responses.Response:
        """Respond that the process is running."""
        del request
        return responses.JSONResponse({"status": "live"})

    async def readyz(self, request: requests.Request) -> responses.Response:
        """Respond whether the load balancer may send new requests."""
        del request
        if self._bridge.ready:
            return responses.JSONResponse({"status": "ready"})
        return responses.JSONResponse(
            {"status": "not_ready", "reason": self._bridge.readiness_reason},
            503,
        )

    async def metrics(self, request: requests.Request) -> responses.Response:
        """Respond with counters and latencies."""
        del request
        text = self._metrics.render(
            self._bridge.state.counters, self._bridge.ready
        )
        return responses.Response(
            text, headers={"Content-Type": metrics.MEDIA_TYPE}
        )

    def _current_deployment(self) -> deployment.Deployment:
        current = self._bridge.state.configuration.current
        if current is None:
            raise caller_errors.refusal(
                "entry_not_ready",
                "this entry has no configuration yet",
                retry_after_ms=1_000,
            )
        return current.deployment

    def _authenticate(
        self,
        request: requests.Request,
        current_deployment: deployment.Deployment,
    ) -> str:
        key = authentication.bearer_key(request)
        customer = authentication.find_customer(current_deployment, key)
        if customer is None:
            raise caller_errors.refusal("unauthorized", "the key is not valid")
        return customer.name

    async def _ask_status(
        self, request: requests.Request, cancel: bool
    ) -> messages.RequestStatus:
        customer = self._authenticate(request, self._current_deployment())
        exchange_id = self._bridge.new_id()
        request_id = request.path_params["request_id"]
        answer = await self._bridge.ask(
            exchange_id,
            events.StatusRequested(
                self._bridge.clock.now_ms(),
                exchange_id,
                request_id,
                customer,
                cancel,
            ),
        )
        if isinstance(answer, effects.Refuse):
            raise caller_errors.CallerError(
                answer.failure, request_id=request_id
            )
        assert isinstance(answer, effects.AnswerStatus)
        return answer.status


def status_body(status: messages.RequestStatus) -> dict[str, Any]:
    """Return the JSON document of a request's status."""
    outcome: dict[str, Any] | None = None
    if status.outcome is not None:
        outcome = {"total_offset": status.outcome.total_offset}
        if status.outcome.failure is not None:
            outcome.update(
                caller_errors.body(status.outcome.failure, status.request_id)
            )
    return {
        "request_id": status.request_id,
        "phase": status.phase,
        "next_offset": status.next_offset,
        "verdict": status.verdict.value,
        "owner": f"{status.owner.vm_id}.{status.owner.incarnation}",
        "outcome": outcome,
    }


def _accepted_response(request_id: str) -> responses.Response:
    return responses.JSONResponse(
        {"request_id": request_id},
        202,
        {
            "X-Request-Id": request_id,
            "Location": f"/v1/requests/{request_id}",
            "Preference-Applied": "respond-async",
        },
    )


def _drain_buffer(
    reader: memory.MemoryObjectReceiveStream[bridges.Output],
) -> list[bridges.Output]:
    outputs: list[bridges.Output] = []
    with contextlib.suppress(anyio.WouldBlock, anyio.EndOfStream):
        while True:
            outputs.append(reader.receive_nowait())
    return outputs


def _compact_json(document: dict[str, Any]) -> str:
    return json.dumps(document, separators=(",", ":"))


def _internal_failure() -> messages.Failure:
    return messages.Failure(
        "internal_error",
        "this entry failed to serve the request",
        verdict.Verdict.MAY_HAVE_RUN,
    )


async def _cancel_on_disconnect(
    receive: types.Receive, scope: anyio.CancelScope
) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


async def _answer_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request
    assert isinstance(error, caller_errors.CallerError)
    return caller_errors.response(error)


async def _answer_http_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request
    assert isinstance(error, http_exceptions.HTTPException)
    code = "method_not_allowed" if error.status_code == 405 else "not_found"
    return caller_errors.response(caller_errors.refusal(code, error.detail))


async def _answer_disconnect(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request, error
    return responses.Response(status_code=400)


async def _answer_exception(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request, error
    logs.write_exception("caller_api_error")
    return caller_errors.response(
        caller_errors.CallerError(_internal_failure())
    )
