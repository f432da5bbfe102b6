"""One attempt of a request at an upstream, and the relay of its answer."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import anyio
import h11

from laburnumpin import exceptions
from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import caller as callers
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import event_stream
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import shell as shells
from laburnumpin.server import logs

# Answers up to this size are complete before the first byte goes on.
BUFFERED_BYTES = 131_072
# A body over this size is sent while the answer is awaited.
INLINE_BODY_BYTES = 4_096
# A repeatable stream that pauses for longer than this many times the pause that
# its route declares is continued elsewhere, and not before this time.
GAP_OBJECTIVES = 2.0
MIN_GAP_MS = 800
# A stream that stopped for a move waits this long for the copy.
MOVE_TIMEOUT_S = 2.0
# Answers to earlier requests that are skipped on one connection.
MAX_SKIPPED = 2

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN


class AttemptError(Exception):
    """The attempt ended without a complete answer."""

    def __init__(
        self, ending: events.Ending, verdict: verdicts.Verdict, detail: str
    ) -> None:
        super().__init__(detail)
        self.ending = ending
        self.verdict = verdict


class StreamMovedError(Exception):
    """The stream stopped here and goes on elsewhere."""

    def __init__(self, kv_source: str) -> None:
        super().__init__(kv_source)
        self.kv_source = kv_source


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """An upstream's complete answer."""

    status: int
    headers: connections.Headers
    body: bytes


class AnswerRelay:
    """The answer to one caller, over one or more attempts."""

    __slots__ = (
        "_caller",
        "_on_first",
        "began",
        "extra_headers",
        "failure",
        "last_event",
        "status",
    )

    def __init__(
        self,
        caller: callers.Caller,
        extra_headers: connections.Headers,
        on_first: Callable[[], None],
        resume_after: int | None,
    ) -> None:
        self._caller = caller
        self._on_first = on_first
        self.extra_headers = extra_headers
        self.began = False
        self.status = 0
        # An upstream's own failure, passed on when nothing better comes.
        self.failure: Answer | None = None
        # The id of the last event that the caller has.
        self.last_event = resume_after

    def runs(self) -> None:
        """Note that the upstream has begun to run the request."""
        self._on_first()

    async def send_complete(self, answer: Answer) -> None:
        """Deliver a complete answer."""
        self.began = True
        self.status = answer.status
        headers = answer.headers + self.extra_headers
        await self._caller.answer(answer.status, headers, answer.body)

    async def start(
        self, status: int, headers: connections.Headers, first: bytes
    ) -> None:
        """Deliver the head of an answer with the first part of its body."""
        self.status = status
        if self.began:
            await self._caller.write(first)
            return
        self.began = True
        head = headers + self.extra_headers
        await self._caller.start_answer(status, head, first)

    async def write(self, data: bytes) -> None:
        """Deliver a part of the body."""
        await self._caller.write(data)

    async def end(self) -> None:
        """Deliver the end of the body."""
        await self._caller.end_answer()


class Attempt:
    """Sends a request to one upstream and relays the answer."""

    __slots__ = (
        "_body",
        "_head",
        "_kv_source",
        "_move_ended",
        "_relay",
        "_request",
        "_send",
        "_shell",
    )

    def __init__(
        self,
        shell: shells.Shell,
        request: requests.Request,
        head: interfaces.CallerHead,
        body: bytes,
        send: effects.Send,
        relay: AnswerRelay,
    ) -> None:
        self._shell = shell
        self._request = request
        self._head = head
        self._body = body
        self._send = send
        self._relay = relay
        # Set while a move is under way, and the event after it.
        self._move_ended: anyio.Event | None = None
        self._kv_source: str | None = None

    def move(self, effect: effects.MoveStream) -> None:
        """Start to move the stream to another engine."""
        if self._move_ended is None:
            self._move_ended = anyio.Event()
            self._shell.tasks.start(self._move, effect)

    async def _move(self, effect: effects.MoveStream) -> None:
        assert self._move_ended is not None
        outcome = "moved"
        try:
            self._kv_source = await self._shell.engines.move_stream(
                effect.source.address,
                effect.request_id,
                effect.target.address,
            )
            if self._kv_source is None:
                outcome = "not_running"
        except exceptions.LaburnumpinError as error:
            outcome = error.code
        finally:
            self._move_ended.set()
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
            CallerGoneError: The caller has closed its connection.
        """
        registration = self._send.registration
        route = self._request.route
        try:
            connection = await self._shell.pool.acquire(
                registration, fresh=not route.may_repeat
            )
        except connections.ConnectionLostError as error:
            raise AttemptError(
                events.Ending.UNREACHABLE, NOT_RUN, str(error)
            ) from error
        complete = False
        try:
            await self._exchange(connection)
            complete = True
        except AttemptError as error:
            # A rejected request leaves its connection sound.
            complete = error.ending in (
                events.Ending.REJECTED,
                events.Ending.ERROR_STATUS,
            )
            raise
        finally:
            with anyio.CancelScope(shield=True):
                if complete:
                    await self._shell.pool.release(
                        registration,
                        connection,
                        self._shell.idle_limit(registration.service),
                    )
                else:
                    await connection.close()

    async def _exchange(self, connection: connections.ClientConnection) -> None:
        request = self._request
        remaining_ms = request.deadline_ms - self._shell.now_ms()
        if remaining_ms <= 0:
            raise AttemptError(events.Ending.DEADLINE, NOT_RUN, "deadline")
        headers = self._shell.wire.upstream_headers(
            self._head,
            request,
            self._send.registration,
            remaining_ms=remaining_ms,
            priority=self._send.priority,
            body_bytes=len(self._body),
            resume_after=self._relay.last_event,
            kv_source=self._send.kv_source,
        )
        try:
            with anyio.fail_after(remaining_ms / 1_000):
                if len(self._body) <= INLINE_BODY_BYTES:
                    await self._write(connection, headers)
                    await self._read(connection)
                    return
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(self._write, connection, headers)
                    await self._read(connection)
                    task_group.cancel_scope.cancel()
        except TimeoutError as error:
            raise AttemptError(
                events.Ending.DEADLINE, MAY_HAVE_RUN, "deadline"
            ) from error
        except BaseExceptionGroup as group:
            raise _single(group) from group

    async def _write(
        self,
        connection: connections.ClientConnection,
        headers: connections.Headers,
    ) -> None:
        try:
            await connection.send(
                self._head.method, self._head.target, headers, self._body
            )
        except connections.ConnectionLostError:
            # The upstream may have answered before it closed.
            return

    async def _read(self, connection: connections.ClientConnection) -> None:
        try:
            found: tuple[h11.Response, interfaces.AnswerKind] | None = None
            with anyio.move_on_after(self._send.silence_ms / 1_000):
                found = await self._own_head(connection)
            if found is None:
                raise AttemptError(
                    events.Ending.SILENT, MAY_HAVE_RUN, "no answer in time"
                )
            await self._classified(connection, *found)
        except connections.ConnectionLostError as error:
            await self._raise_if_moved()
            raise AttemptError(
                events.Ending.BROKEN, MAY_HAVE_RUN, str(error)
            ) from error
        except connections.ProtocolError as error:
            raise AttemptError(
                events.Ending.MALFORMED, MAY_HAVE_RUN, str(error)
            ) from error

    async def _raise_if_moved(self) -> None:
        """Raise `StreamMovedError` if the stream stopped for a move."""
        if self._move_ended is None:
            return
        with anyio.move_on_after(MOVE_TIMEOUT_S):
            await self._move_ended.wait()
        if self._kv_source is not None:
            raise StreamMovedError(self._kv_source)

    async def _own_head(
        self, connection: connections.ClientConnection
    ) -> tuple[h11.Response, interfaces.AnswerKind]:
        """Return the head of the answer to this request, and its kind."""
        for _ in range(MAX_SKIPPED + 1):
            head = await connection.head()
            kind = self._shell.wire.classify(
                self._request.request_id,
                head.status_code,
                list(head.headers),
            )
            if kind is not interfaces.AnswerKind.OTHER_REQUEST:
                return head, kind
            await connection.skip_response()
        raise connections.ProtocolError("answers to other requests")

    async def _classified(
        self,
        connection: connections.ClientConnection,
        head: h11.Response,
        kind: interfaces.AnswerKind,
    ) -> None:
        headers = list(head.headers)
        connection.keep_alive_ms = self._shell.wire.keep_alive_ms(headers)
        raw = list(head.headers.raw_items())
        passed_on = self._shell.wire.answer_headers(raw)
        status = head.status_code
        if kind is interfaces.AnswerKind.NOT_RUN:
            await connection.body()
            raise AttemptError(
                events.Ending.REJECTED, NOT_RUN, f"rejected with {status}"
            )
        if kind is interfaces.AnswerKind.WRONG_UPSTREAM:
            raise AttemptError(
                events.Ending.WRONG_UPSTREAM, NOT_RUN, "another upstream"
            )
        if kind is interfaces.AnswerKind.FAILURE:
            self._relay.runs()
            body = await connection.body()
            answer = Answer(status, _with_length(passed_on, body), body)
            self._relay.failure = answer
            raise AttemptError(
                events.Ending.ERROR_STATUS, RAN, f"answered with {status}"
            )
        if self._request.route.is_stream and 200 <= status < 300:
            await self._relay_stream(connection, status, passed_on)
            return
        await self._relay_answer(connection, status, passed_on)

    async def _relay_answer(
        self,
        connection: connections.ClientConnection,
        status: int,
        headers: connections.Headers,
    ) -> None:
        """Relay an answer, as a whole unless it is large."""
        body = bytearray()
        relay = self._relay
        while True:
            chunk = await connection.chunk()
            if relay.began:
                if not chunk:
                    await relay.end()
                    return
                await relay.write(chunk)
                continue
            body += chunk
            if chunk and len(body) <= BUFFERED_BYTES:
                continue
            relay.runs()
            if chunk:
                await relay.start(status, headers, bytes(body))
                continue
            whole = bytes(body)
            await relay.send_complete(
                Answer(status, _with_length(headers, whole), whole)
            )
            return

    async def _relay_stream(
        self,
        connection: connections.ClientConnection,
        status: int,
        headers: connections.Headers,
    ) -> None:
        splitter = event_stream.Splitter()
        relay = self._relay
        is_first = True
        route = self._request.route
        declared_ms = route.gap_objective_ms or route.objective_ms
        gap_ms = max(MIN_GAP_MS, int(declared_ms * GAP_OBJECTIVES))
        while True:
            chunk: bytes | None = None
            if route.may_repeat:
                wait_ms = self._send.silence_ms if is_first else gap_ms
                with anyio.move_on_after(wait_ms / 1_000):
                    chunk = await connection.chunk()
            else:  # The deadline of the attempt is the only limit.
                chunk = await connection.chunk()
            if chunk is None:
                raise AttemptError(
                    events.Ending.SILENT, MAY_HAVE_RUN, "the stream paused"
                )
            if not chunk:
                break
            ready = []
            for event in splitter.feed(chunk):
                number = event_stream.event_id(event)
                last = relay.last_event
                if number is not None and last is not None and number <= last:
                    continue
                if number is not None:
                    relay.last_event = number
                ready.append(event)
            if not ready:
                continue
            if is_first:
                is_first = False
                relay.runs()
                await relay.start(status, headers, b"".join(ready))
                continue
            await relay.write(b"".join(ready))
        if is_first:
            relay.runs()
            await relay.start(status, headers, splitter.rest)
        elif splitter.rest:
            await relay.write(splitter.rest)
        await relay.end()


def _with_length(
    headers: connections.Headers, body: bytes
) -> connections.Headers:
    kept = [(n, v) for n, v in headers if n.lower() != b"content-length"]
    return [*kept, (b"Content-Length", str(len(body)).encode())]


def _single(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Return the exception of a task group with one failing task."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
