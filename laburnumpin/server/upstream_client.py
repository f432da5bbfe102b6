"""Client of model engines and plain services.

Each failed attempt has a verdict on whether the request may have run.
"""

from __future__ import annotations

import dataclasses
import json
import math
from typing import Any
from urllib import parse

import anyio
import httpx

from laburnumpin import exceptions
from laburnumpin import verdict
from laburnumpin.config import settings as settings_module
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import messages
from laburnumpin.forwarding import completeness
from laburnumpin.server import bridge as bridges
from laburnumpin.server import documents
from laburnumpin.server import http_calls
from laburnumpin.server import logs
from laburnumpin.server import sse
from laburnumpin.server import tasks

# An answer and its envelope have to fit into one peer message of 1 MiB.
MAX_ANSWER_BYTES = 960 * 1024
MAX_ERROR_BYTES = 64 * 1024
MAX_REPORT_BYTES = 4 * 1024 * 1024
MAX_KV_DOCUMENT_BYTES = 16 * 1024 * 1024
CANCEL_TIMEOUT_MS = 2_000
ORDER_TIMEOUT_MS = 5_000

_NOT_RUN = verdict.Verdict.NOT_RUN
_MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN

# Rejections by HTTP status and error code that upstreams send before they
# execute anything.
_REJECTION_FAILURES = {
    (409, "leaving"): events.AttemptFailure.UPSTREAM_LEAVING,
    (429, "overloaded"): events.AttemptFailure.UPSTREAM_OVERLOADED,
    (404, "unknown_generation"): events.AttemptFailure.UNKNOWN_GENERATION,
}


class _AttemptError(Exception):
    """An attempt failed after its first byte was sent."""

    def __init__(
        self,
        failure: events.AttemptFailure,
        message: str,
        attempt_verdict: verdict.Verdict = _MAY_HAVE_RUN,
    ) -> None:
        super().__init__(message)
        self.failure = failure
        self.message = message
        self.verdict = attempt_verdict


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt in flight.

    `scope` has the current timeout, which starts with the first byte sent. The
    connect and pool timeouts bound the time until then.
    """

    dispatch: effects.Dispatch
    scope: anyio.CancelScope
    guard: http_calls.SendGuard
    cancelled: bool = False
    output_started: bool = False


class UpstreamClient:
    """Executes the effects that concern upstreams.

    Every dispatch opens a new connection: a reused one may be stale or
    half-open, which would cost a timeout and leave the verdict ambiguous.
    """

    __slots__ = (
        "_attempts",
        "_bridge",
        "_pending_deletes",
        "_pooled_client",
        "_tasks",
        "_unpooled_client",
    )

    def __init__(
        self,
        bridge: bridges.Bridge,
        task_runner: tasks.TaskRunner,
        settings: settings_module.Settings,
    ) -> None:
        self._bridge = bridge
        self._tasks = task_runner
        self._unpooled_client = http_calls.new_client(
            False,
            settings.connect_timeout_ms,
            settings.max_upstream_connections,
        )
        self._pooled_client = http_calls.new_client(
            True,
            settings.connect_timeout_ms,
            settings.max_upstream_connections,
        )
        self._attempts: dict[str, _Attempt] = {}
        self._pending_deletes: dict[tuple[str, str], anyio.Event] = {}

    async def close(self) -> None:
        """Close all connections."""
        await self._unpooled_client.aclose()
        await self._pooled_client.aclose()

    def dispatch(self, effect: effects.Dispatch) -> None:
        """Start an attempt."""
        scope = anyio.CancelScope()

        def start_timer() -> None:
            _set_timer(scope, effect.first_byte_timeout_ms)

        guard = http_calls.SendGuard(
            self._bridge.clock, effect.valid_until_ms, start_timer
        )
        attempt = _Attempt(effect, scope, guard)
        self._attempts[effect.attempt_id] = attempt
        self._tasks.start(self._run_attempt, attempt)

    def cancel(self, effect: effects.CancelAttempt) -> None:
        """Stop an attempt; ends the generation of an engine with a DELETE."""
        attempt = self._attempts.pop(effect.attempt_id, None)
        if attempt is None:
            return
        attempt.cancelled = True
        attempt.scope.cancel()
        dispatch = attempt.dispatch
        if dispatch.kind is not deployment.ServiceKind.MODEL:
            return
        if not attempt.guard.sent:
            return
        key = (dispatch.address, dispatch.request_id)
        if key not in self._pending_deletes:
            self._pending_deletes[key] = anyio.Event()
            self._tasks.start(self._delete_generation, key)

    def import_cache(self, effect: effects.ImportCache) -> None:
        """Start a KV cache import."""
        self._tasks.start(self._import_cache, effect)

    def poll_load(self, effect: effects.PollLoad) -> None:
        """Start a load poll."""
        self._tasks.start(self._poll_load, effect)

    def send_order(self, effect: effects.SendOrder) -> None:
        """Start an order to an engine."""
        self._tasks.start(self._send_order, effect)

    async def _run_attempt(self, attempt: _Attempt) -> None:
        event: events.Event | None = None
        try:
            with attempt.scope:
                await self._wait_for_delete(attempt)
                event = await self._try_attempt(attempt)
            if event is None and not attempt.cancelled:
                event = self._timeout_event(attempt)
        finally:
            self._attempts.pop(attempt.dispatch.attempt_id, None)
        if event is not None and not attempt.cancelled:
            await self._bridge.put(event)

    async def _wait_for_delete(self, attempt: _Attempt) -> None:
        # Engines identify generations by request id only, so a delayed DELETE
        # for an earlier attempt would end this one.
        dispatch = attempt.dispatch
        delete_done = self._pending_deletes.get(
            (dispatch.address, dispatch.request_id)
        )
        if delete_done is not None:
            await delete_done.wait()

    async def _try_attempt(self, attempt: _Attempt) -> events.Event:
        dispatch = attempt.dispatch
        try:
            if dispatch.kind is deployment.ServiceKind.MODEL:
                return await self._generate(attempt)
            return await self._call(attempt)
        except _AttemptError as error:
            return self._failed_event(
                dispatch, error.verdict, error.failure, error.message
            )
        except http_calls.ExpiredError:
            return self._failed_event(
                dispatch, _NOT_RUN, events.AttemptFailure.EXPIRED_BEFORE_SEND
            )
        except (httpx.HTTPError, httpx.InvalidURL, OSError) as error:
            return self._connection_error_event(attempt, error)
        except exceptions.DocumentError as error:
            return self._failed_event(
                dispatch,
                _MAY_HAVE_RUN,
                events.AttemptFailure.PROTOCOL_ERROR,
                error.message,
            )
        except Exception as error:
            # The core must get an event for the end of every attempt.
            logs.write_exception("attempt_error")
            return self._connection_error_event(attempt, error)

    async def _generate(self, attempt: _Attempt) -> events.Event:
        dispatch = attempt.dispatch
        body = {
            "request_id": dispatch.request_id,
            "attempt_id": dispatch.attempt_id,
            "prompt": dispatch.prompt,
            "max_tokens": dispatch.max_tokens,
            "priority": dispatch.priority.value,
            "offset": dispatch.offset,
            "recompute": dispatch.recompute,
        }
        async with self._unpooled_client.stream(
            "POST",
            http_calls.url(dispatch.address, "/v1/generate"),
            json=body,
            headers={"Accept": sse.MEDIA_TYPE},
            extensions=attempt.guard.extensions(),
        ) as response:
            if response.status_code != 200:
                await _raise_rejection(response, _MAY_HAVE_RUN)
            return await self._read_stream(attempt, response)

    async def _read_stream(
        self, attempt: _Attempt, response: httpx.Response
    ) -> events.Event:
        decoder = sse.Decoder()
        async for data in response.aiter_raw():
            for event in decoder.feed(data):
                # Waiting for a full event queue must not time out the
                # upstream.
                attempt.scope.deadline = math.inf
                final_event = await self._handle_event(attempt.dispatch, event)
                self._restart_timer(attempt)
                if final_event is not None:
                    return final_event
        raise _AttemptError(
            events.AttemptFailure.TRUNCATED,
            "the stream ended without an end event",
        )

    async def _handle_event(
        self, dispatch: effects.Dispatch, event: sse.SseEvent
    ) -> events.Event | None:
        document = documents.parse_object(event.data)
        now_ms = self._bridge.clock.now_ms()
        if event.name == "end":
            return events.AttemptCompleted(
                now_ms,
                dispatch.attempt_id,
                documents.get(document, "total_tokens", int),
                documents.get(document, "cached_prompt_tokens", int),
                documents.get(document, "computed_tokens", int),
            )
        if event.name == "error":
            raise _AttemptError(
                events.AttemptFailure.UPSTREAM_ERROR,
                "the engine reported an error",
            )
        chunk = _parse_chunk(event, document)
        await self._bridge.put(
            events.AttemptOutput(now_ms, dispatch.attempt_id, chunk)
        )
        return None

    async def _call(self, attempt: _Attempt) -> events.Event:
        dispatch = attempt.dispatch
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": dispatch.request_id,
            "X-Attempt-Id": dispatch.attempt_id,
        }
        if dispatch.idempotency_key is not None:
            headers["Idempotency-Key"] = dispatch.idempotency_key
        operation = parse.quote(dispatch.operation, safe="")
        async with self._unpooled_client.stream(
            "POST",
            http_calls.url(dispatch.address, f"/v1/call/{operation}"),
            content=dispatch.body.encode(),
            headers=headers,
            extensions=attempt.guard.extensions(),
        ) as response:
            if not 200 <= response.status_code < 300:
                # Any other 4xx answer is the result of the service.
                await _raise_rejection(response, verdict.Verdict.RAN)
            framing = completeness.find_framing(
                b"POST", response.status_code, response.headers.raw
            )
            if framing is completeness.Framing.CLOSE:
                raise _AttemptError(
                    events.AttemptFailure.TRUNCATED,
                    "the answer has neither a length nor chunks",
                )
            self._restart_timer(attempt)
            answer = await http_calls.read_body(response, MAX_ANSWER_BYTES)
        # Waiting for a full event queue must not time out the upstream.
        attempt.scope.deadline = math.inf
        return await self._handle_answer(dispatch, answer)

    async def _handle_answer(
        self, dispatch: effects.Dispatch, answer: bytes | None
    ) -> events.Event:
        if answer is None:
            raise _AttemptError(
                events.AttemptFailure.PROTOCOL_ERROR, "the answer is too long"
            )
        try:
            text = answer.decode()
        except UnicodeDecodeError as error:
            raise _AttemptError(
                events.AttemptFailure.PROTOCOL_ERROR, "the answer is not UTF-8"
            ) from error
        now_ms = self._bridge.clock.now_ms()
        await self._bridge.put(
            events.AttemptOutput(
                now_ms, dispatch.attempt_id, messages.Chunk(0, 1, text)
            )
        )
        return events.AttemptCompleted(now_ms, dispatch.attempt_id, 1, 0, 0)

    def _restart_timer(self, attempt: _Attempt) -> None:
        attempt.output_started = True
        _set_timer(attempt.scope, attempt.dispatch.inter_token_timeout_ms)

    def _timeout_event(self, attempt: _Attempt) -> events.AttemptFailed:
        failure = events.AttemptFailure.FIRST_BYTE_TIMEOUT
        if attempt.output_started:
            failure = events.AttemptFailure.INTER_TOKEN_TIMEOUT
        return self._failed_event(attempt.dispatch, _MAY_HAVE_RUN, failure)

    def _connection_error_event(
        self, attempt: _Attempt, error: Exception
    ) -> events.AttemptFailed:
        message = f"{type(error).__name__}: {error}"
        if attempt.guard.sent:
            return self._failed_event(
                attempt.dispatch,
                _MAY_HAVE_RUN,
                events.AttemptFailure.CONNECTION_LOST,
                message,
            )
        return self._failed_event(
            attempt.dispatch,
            _NOT_RUN,
            events.AttemptFailure.CONNECT_FAILED,
            message,
        )

    def _failed_event(
        self,
        dispatch: effects.Dispatch,
        attempt_verdict: verdict.Verdict,
        failure: events.AttemptFailure,
        message: str = "",
    ) -> events.AttemptFailed:
        return events.AttemptFailed(
            self._bridge.clock.now_ms(),
            dispatch.attempt_id,
            attempt_verdict,
            failure,
            message,
        )

    async def _delete_generation(self, key: tuple[str, str]) -> None:
        address, request_id = key
        path = f"/v1/generate/{parse.quote(request_id, safe='')}"
        try:
            with anyio.move_on_after(CANCEL_TIMEOUT_MS / 1_000):
                await self._unpooled_client.delete(
                    http_calls.url(address, path)
                )
        except (httpx.HTTPError, httpx.InvalidURL, OSError):
            pass  # The engine discards generations that are not resumed.
        finally:
            self._pending_deletes.pop(key).set()

    async def _import_cache(self, effect: effects.ImportCache) -> None:
        succeeded = False
        try:
            with anyio.move_on_after(effect.timeout_ms / 1_000):
                succeeded = await self._transfer_cache(effect)
        except (httpx.HTTPError, httpx.InvalidURL, OSError):
            succeeded = False
        await self._bridge.put(
            events.CacheImported(
                self._bridge.clock.now_ms(),
                effect.request_id,
                effect.target_upstream_id,
                succeeded,
            )
        )

    async def _transfer_cache(self, effect: effects.ImportCache) -> bool:
        async with self._unpooled_client.stream(
            "POST",
            http_calls.url(effect.source_address, "/v1/kv/export"),
            json={"request_id": effect.request_id},
        ) as exported:
            if exported.status_code != 200:
                return False
            cache = await http_calls.read_body(exported, MAX_KV_DOCUMENT_BYTES)
        if cache is None:
            return False
        imported = await self._unpooled_client.post(
            http_calls.url(effect.target_address, "/v1/kv/import"),
            content=cache,
            headers={"Content-Type": "application/json"},
        )
        return imported.status_code == 200

    async def _poll_load(self, effect: effects.PollLoad) -> None:
        client = (
            self._unpooled_client
            if effect.new_connection
            else self._pooled_client
        )
        failed = True
        with anyio.move_on_after(effect.timeout_ms / 1_000) as scope:
            failed = not await self._read_load(client, effect)
        if failed or scope.cancelled_caught:
            await self._bridge.put(
                events.LoadPollFailed(
                    self._bridge.clock.now_ms(),
                    effect.upstream_id,
                    scope.cancelled_caught,
                )
            )
            return
        is_engine = effect.kind is deployment.ServiceKind.MODEL
        if is_engine and effect.with_cache_events:
            with anyio.move_on_after(effect.timeout_ms / 1_000):
                await self._read_cache_events(client, effect)

    async def _read_load(
        self, client: httpx.AsyncClient, effect: effects.PollLoad
    ) -> bool:
        sent_ms = self._bridge.clock.now_ms()
        address = http_calls.url(effect.address, "/v1/load")
        try:
            report = documents.convert(
                await _get_object(client, address), events.LoadReport
            )
        except (httpx.HTTPError, httpx.InvalidURL, OSError):
            return False
        except exceptions.DocumentError:
            return False
        now_ms = self._bridge.clock.now_ms()
        # The answer may have been delayed on the network or in a paused
        # process, so the duration of the call counts towards the age.
        report = dataclasses.replace(
            report, age_ms=max(0, report.age_ms) + now_ms - sent_ms
        )
        await self._bridge.put(
            events.LoadReported(now_ms, effect.upstream_id, report)
        )
        return True

    async def _read_cache_events(
        self, client: httpx.AsyncClient, effect: effects.PollLoad
    ) -> None:
        path = f"/v1/cache-events?after={effect.after_cache_sequence}"
        address = http_calls.url(effect.address, path)
        try:
            document = await _get_object(client, address)
            event = events.CacheEventsReported(
                self._bridge.clock.now_ms(),
                effect.upstream_id,
                documents.get(document, "first_sequence", int),
                documents.get(document, "next_sequence", int),
                documents.get(document, "added", tuple[str, ...]),
                documents.get(document, "removed", tuple[str, ...]),
            )
        except (httpx.HTTPError, httpx.InvalidURL, OSError):
            return
        except exceptions.DocumentError:
            return
        await self._bridge.put(event)

    async def _send_order(self, effect: effects.SendOrder) -> None:
        guard = http_calls.SendGuard(self._bridge.clock, effect.valid_until_ms)
        result = events.OrderResult.UNKNOWN
        try:
            with anyio.move_on_after(ORDER_TIMEOUT_MS / 1_000):
                result = await self._post_order(effect, guard)
        except (httpx.HTTPError, httpx.InvalidURL, OSError):
            result = events.OrderResult.UNKNOWN
        except http_calls.ExpiredError:
            result = events.OrderResult.REFUSED
        if result is events.OrderResult.UNKNOWN and not guard.sent:
            result = events.OrderResult.REFUSED
        await self._bridge.put(
            events.OrderAnswered(
                self._bridge.clock.now_ms(), effect.order_id, result
            )
        )

    async def _post_order(
        self, effect: effects.SendOrder, guard: http_calls.SendGuard
    ) -> events.OrderResult:
        body = {
            "fencing_number": effect.fencing_number,
            "valid_until_ms": effect.valid_until_ms,
            "model": effect.model,
            "version": effect.model_version,
            "adapters": list(effect.adapters),
            "role": effect.role,
        }
        async with self._unpooled_client.stream(
            "POST",
            http_calls.url(effect.address, "/v1/orders"),
            json=body,
            extensions=guard.extensions(),
        ) as response:
            if response.status_code == 200:
                return events.OrderResult.ACCEPTED
            code = await _error_code(response)
            if (response.status_code, code) == (409, "stale_fencing"):
                return events.OrderResult.STALE_FENCING
            if response.status_code < 500:
                return events.OrderResult.REFUSED
            return events.OrderResult.UNKNOWN


def _set_timer(scope: anyio.CancelScope, timeout_ms: int) -> None:
    scope.deadline = anyio.current_time() + timeout_ms / 1_000


def _parse_chunk(
    event: sse.SseEvent, document: dict[str, Any]
) -> messages.Chunk:
    tokens = documents.get(document, "tokens", int)
    text = documents.get(document, "text", str)
    if not event.event_id.isascii() or not event.event_id.isdigit():
        raise exceptions.DocumentError("a chunk has no offset")
    next_offset = int(event.event_id)
    if tokens < 1 or tokens > next_offset:
        raise exceptions.DocumentError("a chunk has a wrong token count")
    return messages.Chunk(next_offset - tokens, next_offset, text)


async def _raise_rejection(
    response: httpx.Response, rejected_verdict: verdict.Verdict
) -> None:
    status = response.status_code
    code = await _error_code(response)
    failure = _REJECTION_FAILURES.get((status, code))
    message = f"HTTP {status} {code}".rstrip()
    if failure is not None:
        raise _AttemptError(failure, message, _NOT_RUN)
    if 400 <= status < 500:
        raise _AttemptError(
            events.AttemptFailure.REJECTED, message, rejected_verdict
        )
    raise _AttemptError(events.AttemptFailure.UPSTREAM_ERROR, message)


async def _error_code(response: httpx.Response) -> str:
    body = await http_calls.read_body(response, MAX_ERROR_BYTES)
    try:
        error = json.loads(body or b"")["error"]["code"]
    except (ValueError, LookupError, TypeError, RecursionError):
        return ""
    return error if isinstance(error, str) else ""


async def _get_object(
    client: httpx.AsyncClient, address: str
) -> dict[str, Any]:
    async with client.stream("GET", address) as response:
        if response.status_code != 200:
            raise exceptions.DocumentError(f"HTTP {response.status_code}")
        body = await http_calls.read_body(response, MAX_REPORT_BYTES)
    if body is None:
        raise exceptions.DocumentError("the document is too long")
    return documents.parse_object(body)
