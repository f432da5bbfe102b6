"""The listener for callers, which reads their requests and forwards them."""

from __future__ import annotations

import functools

import anyio
import h11

from laburnumpin import exceptions
from laburnumpin.forwarding import answers
from laburnumpin.forwarding import attempts
from laburnumpin.forwarding import buffers
from laburnumpin.forwarding import caller as callers
from laburnumpin.forwarding import completeness
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding.admission import caller_stream
from laburnumpin.forwarding.admission import gate as gates
from laburnumpin.forwarding.admission import listener
from laburnumpin.forwarding.rollouts import routing
from laburnumpin.framing import defects
from laburnumpin.server import logs

LISTEN_BACKLOG = 512
# Retry delay for requests that arrive before the first configuration is read.
NOT_READY_RETRY_MS = 200
# Longest time for the last answers before the process exits.
LAST_ANSWERS_S = 0.4
# Prompt parts in the log line of a failed attempt.
MAX_LOGGED_PARTS = 8


class _RefusedOnHeadError(Exception):
    """The head of a request decides its answer, so its body is not read."""


class Frontend:
    """Serves callers' connections.

    `active` counts the requests in flight: read, but not answered yet.
    """

    __slots__ = ("_exchanges", "_shell", "active")

    def __init__(self, shell: shells.Shell) -> None:
        self._shell = shell
        self._exchanges: set[_Exchange] = set()
        self.active = 0

    async def end_requests(self) -> None:
        """Answer the requests that have no answer yet, before the exit.

        The answer says whether they may have run. Streams that have begun are
        cut.
        """
        for exchange in list(self._exchanges):
            exchange.end_for_exit()
        with anyio.move_on_after(LAST_ANSWERS_S):
            while self.active:
                await anyio.sleep(LAST_ANSWERS_S / 20)

    async def serve(self, address: str) -> None:
        """Accept connections until cancelled."""
        gate = gates.Gate(self._shell.admission, self._shell.state.counters)
        self._shell.gate = gate
        await listener.serve(address, LISTEN_BACKLOG, gate, self._handle)

    async def _handle(self, stream: caller_stream.CallerStream) -> None:
        limits = self._limits()
        caller = callers.Caller(
            stream, limits.max_header_bytes, self._shell.gate
        )
        try:
            await self._serve_requests(caller)
        except callers.CallerDisconnectedError as error:
            logs.write(
                "caller_connection_lost", "debug", {"reason": str(error)}
            )
        except Exception as error:
            logs.write(
                "caller_connection_error", "error", {"reason": repr(error)}
            )
        finally:
            caller.close()

    def _limits(self) -> deployment.CallerLimits:
        configuration = self._shell.deployment()
        return (
            configuration.limits if configuration else deployment.CallerLimits()
        )

    async def _serve_requests(self, caller: callers.Caller) -> None:
        while True:
            account = buffers.Account(self._shell.buffers)
            try:
                if not await self._serve_request(caller, account):
                    return
            finally:
                account.close()

    async def _serve_request(
        self, caller: callers.Caller, account: buffers.Account
    ) -> bool:
        """Serve the next request; return whether another one may follow."""
        limits = self._limits()
        head: h11.Request | None = None
        body: bytes | None = None
        received_ms = 0
        refusal: callers.CallerInputError | None = None
        try:
            head = await caller.read_head(
                limits.idle_timeout_ms, limits.header_timeout_ms, account
            )
            if head is None:
                return False
            received_ms = self._shell.now_ms()
            body = await caller.read_body(
                limits.max_body_bytes,
                limits.idle_timeout_ms,
                account,
                functools.partial(self._check_head, caller, head),
                _announced_bytes(head),
            )
        except callers.CallerInputError as error:
            # A copy: the error and this frame would hold each other.
            refusal = callers.CallerInputError(
                error.status, str(error), error.retry_after_ms, error.defect
            )
        except _RefusedOnHeadError:
            pass
        except callers.CallerDisconnectedError:
            return False
        if body is None:
            await self._refuse(caller, head, received_ms, refusal, account)
            return False
        assert head is not None
        exchange = _Exchange(
            self._shell, caller, head, received_ms, body, account
        )
        body = None  # The exchange drops it when it ends.
        self.active += 1
        self._exchanges.add(exchange)
        caller.enter(callers.Phase.RUNNING)
        gate = self._shell.gate
        exchange.closes_connection = gate is not None and gate.is_full()
        if caller.defect is not None:
            exchange.closes_connection = True
            self._report_ambiguous(
                caller, head, caller.defect, "connection_closed"
            )
        try:
            keep_alive = await exchange.run()
        finally:
            self._exchanges.discard(exchange)
            self.active -= 1
        if keep_alive and exchange.closes_connection:
            await self._end_connection(caller, account)
            return False
        return keep_alive and caller.prepare_next_request()

    async def _refuse(
        self,
        caller: callers.Caller,
        head: h11.Request | None,
        received_ms: int,
        refusal: callers.CallerInputError | None,
        account: buffers.Account,
    ) -> None:
        """Answer a request whose body is not read, and end its connection.

        Without a `refusal` its head decides the answer.
        """
        if refusal is None:
            assert head is not None
            exchange = _Exchange(
                self._shell, caller, head, received_ms, b"", account
            )
            exchange.closes_connection = True
            await exchange.run()
        else:
            if refusal.retry_after_ms is not None:
                self._report_without_room(head, refusal)
            if refusal.defect is not None:
                self._report_ambiguous(caller, head, refusal.defect, "refused")
            await self._answer_input_error(caller, refusal)
        await self._end_connection(caller, account)

    async def _end_connection(
        self, caller: callers.Caller, account: buffers.Account
    ) -> None:
        account.close()
        await caller.linger()

    def _check_head(self, caller: callers.Caller, head: h11.Request) -> None:
        """Raise if the head alone decides that the request is rejected."""
        customer = _customer_on_head(self._shell, _caller_head(head, 0))
        if customer is None:
            raise _RefusedOnHeadError
        caller.show_customer(customer)

    def _report_ambiguous(
        self,
        caller: callers.Caller,
        head: h11.Request | None,
        defect: defects.Defect,
        action: str,
    ) -> None:
        """Count and log a request whose end readers may place differently."""
        self._shell.state.counters.increment("requests_ambiguous", defect.value)
        fields = caller.refused_fields() if head is None else list(head.headers)
        logs.write(
            "request_ambiguous",
            "warning",
            {
                "request_id": self._shell.wire.request_id(fields),
                "defect": defect.value,
                "action": action,
            },
        )

    def _report_without_room(
        self, head: h11.Request | None, error: callers.CallerInputError
    ) -> None:
        if head is None:
            self._shell.report_no_room("", None, "head", str(error))
            return
        try:
            fields = self._shell.wire.decode(_caller_head(head, 0))
            request_id = fields.request_id
        except exceptions.DocumentError:
            request_id = ""  # The head names none.
        self._shell.report_no_room(request_id, None, "body", str(error))

    async def _answer_input_error(
        self, caller: callers.Caller, error: callers.CallerInputError
    ) -> None:
        self._shell.state.counters.increment(
            "caller_input_refused", str(error.status)
        )
        logs.write(
            "request_malformed",
            "info",
            {"status": error.status, "reason": str(error)},
        )
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if error.retry_after_ms is not None:
            headers.append(callers.retry_after_header(error.retry_after_ms))
        try:
            await caller.answer(error.status, headers, b"")
        except (callers.CallerDisconnectedError, h11.LocalProtocolError):
            return


class _Exchange:
    """One request on a caller's connection, and its response."""

    __slots__ = (
        "_account",
        "_body",
        "_caller",
        "_delivered",
        "_ends_for_exit",
        "_first_event_ms",
        "_framing",
        "_outcome",
        "_relay",
        "_request",
        "_request_head",
        "_scope",
        "_shell",
        "closes_connection",
    )

    def __init__(
        self,
        shell: shells.Shell,
        caller: callers.Caller,
        head: h11.Request,
        received_ms: int,
        body: bytes,
        account: buffers.Account,
    ) -> None:
        self._shell = shell
        self._caller = caller
        self._account = account
        self._request_head = _caller_head(head, received_ms)
        self._body = body
        self._request: requests.Request | None = None
        self._first_event_ms = 0
        self._delivered = False
        # How the upstream's last answer showed its end.
        self._framing: completeness.Framing | None = None
        self._outcome = ""
        self._relay: answers.AnswerRelay | None = None
        # Cancels the attempts.
        self._scope = anyio.CancelScope()
        self._ends_for_exit = False
        # Whether the answer ends the connection: the request's body is not
        # read, or others wait for its place.
        self.closes_connection = False

    def end_for_exit(self) -> None:
        """Give the attempts up, since the process exits."""
        self._ends_for_exit = True
        self._scope.cancel()

    async def run(self) -> bool:
        """Serve the request; return whether the connection stays open."""
        try:
            fields = self._shell.wire.decode(self._request_head)
        except exceptions.DocumentError as error:
            return await self._send_status("", 400, str(error))
        request = self._resolve_request(fields)
        if isinstance(request, effects.Reject):
            return await self._send_rejection(request)
        self._request = request
        return await self._serve_request(request, fields.resume_after)

    def _resolve_request(
        self, fields: interfaces.CallerFields
    ) -> requests.Request | effects.Reject:
        """Return the request with its route and customer, or its rejection."""
        request_id = fields.request_id
        configuration = self._shell.deployment()
        if configuration is None:
            return _rejection(request_id, effects.Reason.NOT_READY)
        route = configuration.match(fields.host, fields.path)
        if route is None:
            return _rejection(request_id, effects.Reason.NO_ROUTE)
        customer = None
        if configuration.customers and not route.anonymous:
            customer = configuration.customer_of(fields.key or "")
            if customer is None:
                return _rejection(request_id, effects.Reason.UNKNOWN_KEY)
            self._caller.show_customer(customer.name)
        timeout_ms = route.timeout_ms
        if fields.deadline_in_ms is not None:
            timeout_ms = min(timeout_ms, fields.deadline_in_ms)
        units = 1.0
        if customer is not None and customer.counts_tokens:
            units = float(customer.plain_tokens)
            if fields.prompt is not None:
                prompt = fields.prompt
                units = float(prompt.tokens + prompt.max_output_tokens)
        return requests.Request(
            request_id=request_id,
            route=route,
            service=route.choose_service(self._shell.state.random),
            customer=customer,
            prompt=fields.prompt,
            units=units,
            arrived_ms=self._request_head.received_ms,
            deadline_ms=self._request_head.received_ms + timeout_ms,
            key=requests.contents_key(
                "" if customer is None else customer.name,
                fields.host,
                self._request_head.method,
                self._request_head.target,
                self._body,
            ),
        )

    async def _serve_request(
        self, request: requests.Request, resume_after: int | None
    ) -> bool:
        """Serve the request until it ends or its caller disconnects."""
        cancels_with_caller = (
            request.route.may_repeat or request.route.is_stream
        )
        if cancels_with_caller:
            # Stops the work when the caller disconnects. A call that must not
            # run twice finishes, so that it is not interrupted half way.
            self._caller.stream.on_end = self._scope.cancel
        keep_alive = False
        try:
            if self._caller.stream.has_closed():
                raise callers.CallerDisconnectedError(
                    "caller disconnected before the request was sent"
                )
            with self._scope:
                keep_alive = await self._run_attempts(request, resume_after)
            if self._ends_for_exit and not self._has_answer():
                await self._send_rejection(self._exit_rejection(request))
        except callers.CallerDisconnectedError:
            self._outcome = self._outcome or "caller_gone"
        finally:
            self._body = b""
            self._caller.stream.on_end = None
            self._shell.stream_movers.pop(request.request_id, None)
            self._shell.apply(
                events.RequestEnded(
                    self._shell.now_ms(), request.request_id, self._delivered
                )
            )
            self._log_end(request)
        return keep_alive

    def _has_answer(self) -> bool:
        return self._relay is not None and self._relay.answer_started

    def _exit_rejection(self, request: requests.Request) -> effects.Reject:
        """Return the last answer to a request that this exit interrupts."""
        active = self._shell.state.active.get(request.request_id)
        has_run = active is None or active.may_have_run
        return effects.Reject(
            request.request_id, effects.Reason.LEAVING, not has_run, None
        )

    async def _run_attempts(
        self, request: requests.Request, resume_after: int | None
    ) -> bool:
        relay = answers.AnswerRelay(
            self._caller,
            self._connection_headers(),
            self._on_first_event,
            resume_after,
        )
        self._relay = relay
        effect = self._shell.apply(
            events.RequestArrived(self._shell.now_ms(), request)
        )
        tried_upstreams: set[str] = set()
        while True:
            if isinstance(effect, effects.Reject) and not relay.answer_started:
                return await self._answer_failure(effect, relay)
            if not isinstance(effect, effects.Send):
                self._outcome = "cut"
                self._caller.abort()
                return False
            self._log_send(effect)
            if effect.wait_ms:
                await anyio.sleep(effect.wait_ms / 1_000)
            attempt = attempts.Attempt(
                self._shell,
                request,
                self._request_head,
                self._body,
                effect,
                relay,
                self._account,
                is_repeat=effect.upstream_id in tried_upstreams,
            )
            tried_upstreams.add(effect.upstream_id)
            self._shell.stream_movers[request.request_id] = attempt.move
            try:
                await attempt.run()
            except attempts.StreamMovedError as error:
                effect = self._shell.apply(
                    events.StreamMoved(
                        self._shell.now_ms(),
                        request.request_id,
                        error.kv_source,
                    )
                )
                continue
            except attempts.AttemptError as error:
                self._log_failure(effect, error, attempt.received)
                effect = self._shell.apply(
                    events.AttemptFailed(
                        self._shell.now_ms(),
                        request.request_id,
                        error.ending,
                        error.verdict,
                        relay.answer_started,
                    )
                )
                continue
            finally:
                self._framing = attempt.framing or self._framing
                attempt.forget_body()
            self._delivered = relay.status < 500
            self._outcome = f"status_{relay.status}"
            return not self._shell.leaving.is_set()

    def _on_first_event(self) -> None:
        """Record that an upstream has begun to run the request."""
        if self._request is None:
            return
        now_ms = self._shell.now_ms()
        if not self._first_event_ms:
            self._first_event_ms = now_ms
        self._shell.apply(
            events.FirstEvent(
                now_ms, self._shell.wall_ms(), self._request.request_id
            )
        )

    async def _answer_failure(
        self, effect: effects.Reject, relay: answers.AnswerRelay
    ) -> bool:
        """Answer a request that no upstream has served successfully.

        The response of an upstream that failed is passed on, if there is one,
        unless the rejection promises that the request has not run.
        """
        if relay.failure is not None and not effect.not_run:
            self._outcome = f"upstream_status_{relay.failure.status}"
            await relay.send_complete(relay.failure)
            return not self._shell.leaving.is_set()
        return await self._send_rejection(effect)

    async def _send_rejection(self, effect: effects.Reject) -> bool:
        status, headers = self._shell.wire.rejection(effect.request_id, effect)
        self._outcome = f"{effect.reason.value}"
        if self._request is None:
            self._shell.state.counters.increment(
                "rejected", effect.reason.value
            )
        logs.write(
            "request_rejected",
            "warning",
            {
                "request_id": effect.request_id,
                "reason": effect.reason.value,
                "status": status,
                "not_run": effect.not_run,
                "retry_after_ms": effect.retry_after_ms,
                "configuration": self._configuration_version(),
                **self._reason_fields(effect),
            },
        )
        headers = headers + self._connection_headers()
        try:
            await self._caller.answer(status, headers, b"")
        except callers.CallerDisconnectedError:
            return False
        return not self._shell.leaving.is_set()

    def _reason_fields(
        self, effect: effects.Reject
    ) -> dict[str, str | int | float | bool | None]:
        """Return the inputs of a rejection for its log line."""
        request = self._request
        if effect.withheld is not None:
            suspects = effect.withheld.part_ids
            return {
                "request_key": part_losses.format_keys(suspects) or None,
                "prompt_parts": part_losses.format_parts(suspects) or None,
                "engine_losses": effect.withheld.losses,
            }
        if request is None or request.customer is None:
            return {}
        if effect.reason is not effects.Reason.OVER_QUOTA:
            return {"customer": request.customer.name}
        return {
            "customer": request.customer.name,
            "units": request.units,
            "quota_left": self._shell.state.quotas.level(request.customer.name),
            "rate_per_s": request.customer.rate_per_s,
        }

    async def _send_status(
        self, request_id: str, status: int, reason: str
    ) -> bool:
        logs.write(
            "request_malformed",
            "info",
            {"request_id": request_id, "status": status, "reason": reason},
        )
        headers = [(b"Content-Length", b"0"), *self._connection_headers()]
        try:
            await self._caller.answer(status, headers, b"")
        except callers.CallerDisconnectedError:
            return False
        return True

    def _connection_headers(self) -> connections.Headers:
        if self._shell.leaving.is_set() or self.closes_connection:
            return [(b"Connection", b"close")]
        return []

    def _configuration_version(self) -> int:
        configuration = self._shell.deployment()
        return 0 if configuration is None else configuration.version

    def _log_send(self, effect: effects.Send) -> None:
        request = self._request
        assert request is not None
        registration = effect.registration
        logs.write(
            "request_sent",
            "info",
            {
                "request_id": effect.request_id,
                "request_key": f"{request.key:x}",
                "route": request.route.name,
                "customer": request.customer.name if request.customer else "",
                "upstream": effect.upstream_id,
                "upstream_zone": registration.zone,
                "attempt": effect.attempt,
                "wait_ms": effect.wait_ms or None,
                "predicted_ms": round(effect.predicted_ms, 1),
                "remaining_ms": request.deadline_ms - self._shell.now_ms(),
                "configuration": self._configuration_version(),
                "registry": self._shell.state.registry_version,
                **routing.log_fields(self._shell.state, registration),
            },
        )

    def _log_failure(
        self, effect: effects.Send, error: attempts.AttemptError, received: str
    ) -> None:
        prompt_parts = None
        request = self._request
        assert request is not None
        if request.prompt is not None:
            part_ids = request.prompt.shared_part_ids()
            prompt_parts = part_losses.format_parts(part_ids[:MAX_LOGGED_PARTS])
        logs.write(
            "attempt_failed",
            "warning",
            {
                "request_id": effect.request_id,
                "upstream": effect.upstream_id,
                "attempt": effect.attempt,
                "ending": error.ending.value,
                "verdict": error.verdict.value,
                "reason": str(error),
                "received": received,
                "request_key": f"{request.key:x}",
                "prompt_parts": prompt_parts,
            },
        )

    def _log_end(self, request: requests.Request) -> None:
        now_ms = self._shell.now_ms()
        total_ms = now_ms - request.arrived_ms
        first_ms = None
        if self._first_event_ms:
            first_ms = self._first_event_ms - request.arrived_ms
            self._shell.observe(f"first_{request.service}", first_ms)
        self._shell.observe(f"total_{request.service}", total_ms)
        logs.write(
            "request_ended",
            "info",
            {
                "request_id": request.request_id,
                "outcome": self._outcome or "caller_gone",
                "framing": self._framing.value if self._framing else None,
                "first_ms": first_ms,
                "total_ms": total_ms,
            },
        )


def _customer_on_head(
    shell: shells.Shell, head: interfaces.CallerHead
) -> str | None:
    """Return the name of a request's customer, empty for an anonymous one.

    Return None if the request is rejected whatever its body.
    """
    configuration = shell.deployment()
    try:
        fields = shell.wire.decode(head)
    except exceptions.DocumentError:
        return None
    if configuration is None:
        return None
    route = configuration.match(fields.host, fields.path)
    if route is None:
        return None
    if not configuration.customers or route.anonymous:
        return ""
    customer = configuration.customer_of(fields.key or "")
    return None if customer is None else customer.name


def _announced_bytes(head: h11.Request) -> int:
    """Return the announced length of a body, 0 if there is none."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _caller_head(head: h11.Request, received_ms: int) -> interfaces.CallerHead:
    return interfaces.CallerHead(
        bytes(head.method),
        bytes(head.target),
        list(head.headers.raw_items()),
        received_ms,
    )


def _rejection(request_id: str, reason: effects.Reason) -> effects.Reject:
    retry_after_ms = None
    if reason is effects.Reason.NOT_READY:
        retry_after_ms = NOT_READY_RETRY_MS
    return effects.Reject(request_id, reason, True, retry_after_ms)
