"""Sends a request to one upstream and relays the answer to the caller."""

from __future__ import annotations

import dataclasses
import typing

import anyio
import h11

from laburnumpin import exceptions
from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import answers
from laburnumpin.forwarding import buffers
from laburnumpin.forwarding import completeness
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import event_stream
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import lifecycle
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import stall_timer
from laburnumpin.forwarding.rollouts import routing
from laburnumpin.server import logs

# Answers up to this size are received completely before the first byte is
# relayed, so that an attempt that breaks off can still be retried.
MAX_BUFFERED_ANSWER_BYTES = 131_072
# A larger body is sent while the answer is being read.
MAX_INLINE_BODY_BYTES = 4_096
# A repeatable stream is continued at another upstream when it pauses for longer
# than this many times the pause that its route declares, and at least this
# time.
GAP_OBJECTIVE_FACTOR = 2.0
MIN_GAP_TIMEOUT_MS = 800
# A stream that was stopped for a move waits this long for the copy of its KV
# cache.
MOVE_TIMEOUT_S = 2.0
# Length of the body of a failure, and of an event, beyond which the upstream is
# taken to send bytes without end.
MAX_FAILURE_BYTES = 1_048_576
MAX_EVENT_BYTES = 1_048_576
# Answers to earlier requests that may be skipped on one connection.
MAX_SKIPPED_ANSWERS = 2

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN

_FAILURE_KINDS = (
    interfaces.AnswerKind.FAILURE,
    interfaces.AnswerKind.UNPROVED_REFUSAL,
)


class AttemptError(Exception):
    """The attempt ended without a complete answer.

    `verdict` is whether the request may have run.
    """

    def __init__(
        self, ending: events.Ending, verdict: verdicts.Verdict, detail: str
    ) -> None:
        super().__init__(detail)
        self.ending = ending
        self.verdict = verdict


class StreamMovedError(Exception):
    """The stream was stopped and can continue at another engine.

    `kv_source` names the KV cache that the next attempt continues from.
    """

    def __init__(self, kv_source: str) -> None:
        super().__init__(kv_source)
        self.kv_source = kv_source


class Attempt:
    """One attempt of a request at the upstream named by a `Send` effect.

    `received` is how much of the answer has arrived: `nothing`, its `head`, or
    `events` of a stream. `framing` is that of the answer, None before its head.
    With `is_repeat`, the request was sent to this upstream before; a late copy
    of the answer to that could not be told from the answer to this attempt, so
    no connection that may deliver one is used.
    """

    __slots__ = (
        "_account",
        "_body",
        "_is_repeat",
        "_move_done",
        "_move_result",
        "_relay",
        "_request",
        "_request_head",
        "_send_effect",
        "_sent_ms",
        "_shell",
        "framing",
        "received",
    )

    def __init__(
        self,
        shell: shells.Shell,
        request: requests.Request,
        request_head: interfaces.CallerHead,
        body: bytes,
        send_effect: effects.Send,
        relay: answers.AnswerRelay,
        account: buffers.Account,
        *,
        is_repeat: bool,
    ) -> None:
        self._shell = shell
        # What is kept of the answer.
        self._account = account
        self._is_repeat = is_repeat
        self._request = request
        self._request_head = request_head
        self._body = body
        self._send_effect = send_effect
        self._relay = relay
        self._sent_ms = shell.now_ms()
        self.received = "nothing"
        self.framing: completeness.Framing | None = None
        # Set once the copy of the KV cache succeeded or failed; None unless a
        # move was started.
        self._move_done: anyio.Event | None = None
        # The engine's answer to the move, once there is one.
        self._move_result: interfaces.MoveResult | None = None

    def forget_body(self) -> None:
        """Drop the request's body, since the attempt has ended.

        References in a cycle would keep it until the next collection.
        """
        self._body = b""

    def move(self, effect: effects.MoveStream) -> None:
        """Start to move the stream to another engine, at most once."""
        if self._move_done is None:
            self._move_done = anyio.Event()
            self._shell.tasks.start(self._move, effect)

    async def _move(self, effect: effects.MoveStream) -> None:
        assert self._move_done is not None
        outcome = "moved"
        try:
            result = await self._shell.engines.move_stream(
                effect.source.address,
                effect.request_id,
                effect.target.address,
            )
            self._shell.note_statement(effect.source, result.statement, None)
            self._move_result = result
            if result.kv_source is None:
                outcome = "no_copy" if result.was_running else "not_running"
        except exceptions.LaburnumpinError as error:
            outcome = error.code
        finally:
            self._move_done.set()
        logs.write(
            "stream_moved",
            "info",
            {
                "request_id": effect.request_id,
                "upstream": effect.source.upstream_id,
                "target": effect.target.upstream_id,
                "outcome": outcome,
            },
        )

    async def run(self) -> None:
        """Run the attempt to the end of the answer.

        Raises:
            AttemptError: There is no complete answer.
            CallerDisconnectedError: The caller has closed its connection.
            StreamMovedError: The stream continues at another engine.
        """
        registration = self._send_effect.registration
        route = self._request.route
        try:
            connection = await self._shell.pool.acquire(
                registration,
                fresh=not route.may_repeat,
                new=self._is_repeat,
            )
        except connections.ConnectionLostError as error:
            raise AttemptError(
                events.Ending.UNREACHABLE, NOT_RUN, str(error)
            ) from error
        if not lifecycle.may_send(
            self._shell.state, self._send_effect, self._shell.now_ms()
        ):
            self._shell.pool.release(
                registration,
                connection,
                self._shell.idle_limit(registration.service),
            )
            raise AttemptError(
                events.Ending.WITHDRAWN,
                NOT_RUN,
                "before it was sent, its upstream left or it was withheld",
            )
        routing.on_connected(
            self._shell.state, self._request.request_id, self._shell.now_ms()
        )
        complete = False
        try:
            await self._exchange(connection)
            complete = True
        except AttemptError as error:
            # The connection stays usable after a complete error answer.
            complete = error.ending in (
                events.Ending.REJECTED,
                events.Ending.ERROR_STATUS,
            )
            if self._met_silence(error):
                self._shell.pool.close_idle_since(registration, self._sent_ms)
            raise
        finally:
            if complete:
                self._shell.pool.release(
                    registration,
                    connection,
                    self._shell.idle_limit(registration.service),
                )
            else:
                connection.close()

    def _met_silence(self, error: AttemptError) -> bool:
        """Return whether nothing came back although the request was sent."""
        if self.received != "nothing" or error.verdict is NOT_RUN:
            return False
        return error.ending in (events.Ending.SILENT, events.Ending.DEADLINE)

    async def _exchange(self, connection: connections.ClientConnection) -> None:
        request = self._request
        remaining_ms = request.deadline_ms - self._shell.now_ms()
        if remaining_ms <= 0:
            raise AttemptError(
                events.Ending.DEADLINE, NOT_RUN, "deadline passed before send"
            )
        headers = self._shell.wire.upstream_headers(
            self._request_head,
            request,
            self._send_effect.registration,
            remaining_ms=remaining_ms,
            priority=self._send_effect.priority,
            body_bytes=len(self._body),
            resume_after=self._relay.last_event_id,
            kv_source=self._send_effect.kv_source,
        )
        try:
            with anyio.fail_after(remaining_ms / 1_000):
                if len(self._body) <= MAX_INLINE_BODY_BYTES:
                    await self._write(connection, headers)
                    await self._read(connection)
                    return
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(self._write, connection, headers)
                    await self._read(connection)
                    task_group.cancel_scope.cancel()
        except TimeoutError as error:
            raise AttemptError(
                events.Ending.DEADLINE,
                MAY_HAVE_RUN,
                "deadline passed before the answer was complete",
            ) from error
        except BaseExceptionGroup as group:
            raise _first_error(group) from group

    async def _write(
        self,
        connection: connections.ClientConnection,
        headers: connections.Headers,
    ) -> None:
        try:
            await connection.send(
                self._request_head.method,
                self._request_head.target,
                headers,
                self._body,
            )
        except connections.ConnectionLostError:
            # The upstream may have answered before it closed.
            return

    async def _read(self, connection: connections.ClientConnection) -> None:
        stall = stall_timer.StallTimer(
            self._shell.clock,
            self._send_effect.first_byte_timeout_ms,
            self._resend_delay_ms,
        )
        if self._request.route.may_repeat:
            stall.start()
        try:
            with stall.scope:
                head, kind = await self._matching_head(connection)
                self.received = "head"
                await self._handle_answer(connection, head, kind, stall)
        except connections.ConnectionLostError as error:
            await self._check_move()
            raise AttemptError(
                events.Ending.BROKEN, MAY_HAVE_RUN, str(error)
            ) from error
        except connections.ProtocolError as error:
            raise AttemptError(
                events.Ending.MALFORMED, MAY_HAVE_RUN, str(error)
            ) from error
        except buffers.BudgetExceededError as error:
            self._report_no_room("answer", str(error))
            raise AttemptError(
                events.Ending.NO_ROOM, MAY_HAVE_RUN, str(error)
            ) from error
        finally:
            self._account.hold("answer", 0)
            stall.stop()
        if stall.scope.cancelled_caught:
            raise AttemptError(
                events.Ending.SILENT,
                MAY_HAVE_RUN,
                "timed out waiting for the upstream",
            )

    async def _read_failure_body(
        self, connection: connections.ClientConnection
    ) -> bytes | None:
        """Return the body of a failure, None if it cannot be passed on.

        It is too long, incomplete or has no room. The head alone states what
        became of the request.
        """
        try:
            return await connection.body(MAX_FAILURE_BYTES, self._account)
        except (connections.ProtocolError, connections.ConnectionLostError):
            return None
        except buffers.BudgetExceededError as error:
            self._report_no_room("failure", str(error))
            return None

    def _report_no_room(self, part: str, reason: str) -> None:
        self._shell.report_no_room(
            self._request.request_id,
            self._send_effect.registration.upstream_id,
            part,
            reason,
        )

    def _has_room(self, answer_bytes: int) -> bool:
        """Return whether so much of the answer can be kept, and hold it."""
        try:
            self._account.hold("answer", answer_bytes)
        except buffers.BudgetExceededError:
            return False
        return True

    def _resend_delay_ms(self) -> float | None:
        return lifecycle.resend_delay_ms(
            self._shell.state, self._request.request_id, self._shell.now_ms()
        )

    async def _check_move(self) -> bool:
        """Return whether the stream may have been stopped for a move.

        To be asked at each end of a stream, whatever its framing shows: an
        engine that stops a stream on request may end it as if it were whole.

        Raises:
            StreamMovedError: The stream stopped and can be continued.
        """
        if self._move_done is None:
            return False
        with anyio.move_on_after(MOVE_TIMEOUT_S):
            await self._move_done.wait()
        result = self._move_result
        if result is None:
            return True
        if result.kv_source is not None:
            raise StreamMovedError(result.kv_source)
        return result.was_running

    async def _matching_head(
        self, connection: connections.ClientConnection
    ) -> tuple[h11.Response, interfaces.AnswerKind]:
        """Return the head of the answer to this request, and its kind."""
        for _ in range(MAX_SKIPPED_ANSWERS + 1):
            head = await connection.head()
            headers = list(head.headers)
            kind = self._shell.wire.classify(
                self._request.request_id, head.status_code, headers
            )
            is_own = kind is not interfaces.AnswerKind.OTHER_REQUEST
            self._shell.note_statement(
                self._send_effect.registration,
                self._shell.wire.statement(head.status_code, headers),
                self._sent_ms if is_own else None,
            )
            if is_own:
                return head, kind
            await connection.skip_response()
        raise connections.ProtocolError(
            "the connection has only answers to other requests"
        )

    async def _handle_answer(
        self,
        connection: connections.ClientConnection,
        head: h11.Response,
        kind: interfaces.AnswerKind,
        stall: stall_timer.StallTimer,
    ) -> None:
        headers = list(head.headers)
        connection.keep_alive_ms = self._shell.wire.keep_alive_ms(headers)
        raw_headers = list(head.headers.raw_items())
        caller_headers = self._shell.wire.answer_headers(raw_headers)
        status = head.status_code
        self.framing = completeness.find_framing(
            self._request_head.method, status, headers
        )
        if kind is interfaces.AnswerKind.NOT_RUN:
            # A connection can be used again after the whole answer.
            await self._read_failure_body(connection)
            raise AttemptError(
                events.Ending.REJECTED, NOT_RUN, f"rejected with {status}"
            )
        if kind is interfaces.AnswerKind.WRONG_UPSTREAM:
            raise AttemptError(
                events.Ending.WRONG_UPSTREAM,
                NOT_RUN,
                "another upstream answers at this address",
            )
        if kind is interfaces.AnswerKind.WITHOUT_RECEIPT:
            raise AttemptError(
                events.Ending.MALFORMED,
                MAY_HAVE_RUN,
                f"answered with {status} without a receipt",
            )
        if kind in _FAILURE_KINDS:
            stall.stop()
            await self._handle_failure(connection, status, caller_headers, kind)
        if self._relay.answer_started and not completeness.may_continue(
            status, headers, self._relay.started_headers
        ):
            raise AttemptError(
                events.Ending.ERROR_STATUS,
                RAN,
                f"answered with {status}, which does not continue the stream",
            )
        if self._request.route.is_stream and 200 <= status < 300:
            stall.record_progress()
            await self._relay_stream(connection, status, caller_headers, stall)
            return
        stall.stop()
        await self._relay_answer(connection, status, caller_headers)

    async def _handle_failure(
        self,
        connection: connections.ClientConnection,
        status: int,
        headers: connections.Headers,
        kind: interfaces.AnswerKind,
    ) -> typing.NoReturn:
        """Keep a failure that may be passed on, and end the attempt.

        Raises:
            AttemptError: Always.
        """
        self._relay.mark_running()
        # A connection can be used again after the whole answer.
        body = await self._read_failure_body(connection)
        if kind is interfaces.AnswerKind.UNPROVED_REFUSAL:
            self._shell.state.counters.increment(
                "upstream_statuses_withheld", str(status)
            )
            raise AttemptError(
                events.Ending.ERROR_STATUS,
                MAY_HAVE_RUN,
                f"answered with {status}, which promises that the request has"
                " not run, but nothing shows that",
            )
        if body is not None:
            end, _ = await self._find_end(connection, has_content=bool(body))
            if end is completeness.End.BROKEN:
                body = None
        if body is not None:
            self._account.hold("answer", 0)
            self._account.hold("failure", len(body))
            self._relay.failure = answers.Answer(
                status,
                self._with_length(headers, len(body)),
                body,
                has_length=not self._ends_with_connection,
            )
        raise AttemptError(
            events.Ending.ERROR_STATUS, RAN, f"answered with {status}"
        )

    async def _relay_answer(
        self,
        connection: connections.ClientConnection,
        status: int,
        headers: connections.Headers,
    ) -> None:
        """Relay an answer, buffered unless it is large."""
        body = bytearray()
        relay = self._relay
        while True:
            chunk = await connection.chunk()
            if relay.answer_started:
                if not chunk:
                    await self._judge_end(connection, has_content=True)
                    await relay.end()
                    return
                await relay.write(chunk)
                continue
            body += chunk
            is_short = len(body) <= MAX_BUFFERED_ANSWER_BYTES
            if chunk and is_short and self._has_room(len(body)):
                continue
            if chunk:
                relay.mark_running()
                await relay.start(
                    status,
                    headers,
                    bytes(body),
                    ends_with_connection=self._ends_with_connection,
                )
                continue
            await self._judge_end(connection, has_content=bool(body))
            relay.mark_running()
            await relay.send_complete(
                answers.Answer(
                    status,
                    self._with_length(headers, len(body)),
                    bytes(body),
                    has_length=not self._ends_with_connection,
                )
            )
            return

    async def _relay_stream(
        self,
        connection: connections.ClientConnection,
        status: int,
        headers: connections.Headers,
        stall: stall_timer.StallTimer,
    ) -> None:
        """Relay a stream, without events that the caller has already.

        Only whole events count as progress: an upstream that sends a byte or a
        comment now and then has stalled.
        """
        splitter = event_stream.Splitter()
        relay = self._relay
        is_first = True
        has_events = False
        while True:
            chunk = await connection.chunk()
            if not chunk:
                break
            complete = splitter.feed(chunk)
            self._account.hold("answer", splitter.incomplete_bytes)
            if splitter.incomplete_bytes > MAX_EVENT_BYTES:
                raise AttemptError(
                    events.Ending.MALFORMED,
                    MAY_HAVE_RUN,
                    "an event of the stream is too long",
                )
            if not complete:
                continue
            if any(event_stream.has_fields(event) for event in complete):
                has_events = True
                stall.record_progress()
            new_events = _new_events(complete, relay)
            if not new_events:
                continue
            if is_first:
                stall.set_limit(self._gap_limit_ms())
            stall.pause()  # A caller may read slowly.
            if is_first:
                is_first = False
                self.received = "events"
                relay.mark_running()
                await relay.start(
                    status,
                    headers,
                    b"".join(new_events),
                    ends_with_connection=self._ends_with_connection,
                )
            else:
                await relay.write(b"".join(new_events))
            stall.resume()
        stall.stop()
        may_be_stopped = await self._check_move()
        await self._judge_end(
            connection,
            has_content=has_events,
            is_inside_event=bool(splitter.incomplete_event.strip()),
            may_be_stopped=may_be_stopped,
        )
        if is_first:
            relay.mark_running()
            await relay.start(
                status,
                headers,
                splitter.incomplete_event,
                ends_with_connection=self._ends_with_connection,
            )
        elif splitter.incomplete_event:
            await relay.write(splitter.incomplete_event)
        await relay.end()

    @property
    def _ends_with_connection(self) -> bool:
        return self.framing is completeness.Framing.CLOSE

    async def _judge_end(
        self,
        connection: connections.ClientConnection,
        *,
        has_content: bool,
        is_inside_event: bool = False,
        may_be_stopped: bool = False,
    ) -> None:
        """Decide what the end of the answer shows.

        Raises:
            AttemptError: The answer is not whole, or the response to the caller
                would claim that it is although nothing shows that.
        """
        end, reason = await self._find_end(
            connection,
            has_content=has_content,
            is_inside_event=is_inside_event,
            may_be_stopped=may_be_stopped,
        )
        if end is completeness.End.BROKEN:
            raise AttemptError(events.Ending.BROKEN, MAY_HAVE_RUN, reason)

    async def _find_end(
        self,
        connection: connections.ClientConnection,
        *,
        has_content: bool,
        is_inside_event: bool = False,
        may_be_stopped: bool = False,
    ) -> tuple[completeness.End, str]:
        """Return what the end of the answer shows, and the reason for it."""
        assert self.framing is not None
        registration = self._send_effect.registration
        evidence = completeness.Evidence(
            self.framing,
            is_inside_event,
            has_content,
            connection.has_sent_request(),
            completeness.UpstreamState.UNCHECKED,
            may_be_stopped,
            self._relay.may_be_unproved,
        )
        end, reason = completeness.judge(evidence)
        if end is completeness.End.PROVED:
            return end, reason
        if end is completeness.End.UNPROVED:
            state = await self._shell.end_checks.check(registration)
            evidence = dataclasses.replace(
                evidence,
                # A rejection of the rest of the request has arrived by now.
                is_request_sent=connection.has_sent_request(),
                upstream=state,
            )
            end, reason = completeness.judge(evidence)
        self._shell.state.counters.increment("answer_ends", end.value)
        current = self._shell.state.upstreams.get(registration.upstream_id)
        logs.write(
            "answer_end_judged",
            "info",
            {
                "request_id": self._request.request_id,
                "upstream": registration.upstream_id,
                "framing": self.framing.value,
                "end": end.value,
                "reason": reason,
                "upstream_state": evidence.upstream.value,
                "lifecycle": (
                    current.registration.lifecycle.value if current else "gone"
                ),
                "request_sent": evidence.is_request_sent,
                "stop_requested": may_be_stopped,
            },
        )
        return end, reason

    def _with_length(
        self, headers: connections.Headers, body_bytes: int
    ) -> connections.Headers:
        """Return the headers of an answer that was received to its end.

        Only a proved end becomes a length.
        """
        if self._ends_with_connection:
            return headers
        return [
            *((n, v) for n, v in headers if n.lower() != b"content-length"),
            (b"Content-Length", str(body_bytes).encode()),
        ]

    def _gap_limit_ms(self) -> int:
        """Return the pause after which a stream counts as stalled."""
        route = self._request.route
        declared_pause_ms = route.gap_objective_ms or route.objective_ms
        return max(
            MIN_GAP_TIMEOUT_MS, int(declared_pause_ms * GAP_OBJECTIVE_FACTOR)
        )


def _new_events(
    complete: list[bytes], relay: answers.AnswerRelay
) -> list[bytes]:
    """Return the events that the caller has not received yet."""
    new_events = []
    for event in complete:
        event_id = event_stream.event_id(event)
        last_event_id = relay.last_event_id
        if event_id is not None:
            if last_event_id is not None and event_id <= last_event_id:
                continue
            relay.last_event_id = event_id
        new_events.append(event)
    return new_events


def _first_error(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Return the exception of a task group with one failing task."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
