"""Relays the answer to a request to its caller, over one or more attempts."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from laburnumpin.forwarding import caller as callers
from laburnumpin.forwarding import connections


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """An upstream's answer.

    Without `has_length`, nothing but the end of the connection shows its end.
    """

    status: int
    headers: connections.Headers
    body: bytes
    has_length: bool = True


class AnswerRelay:
    """Relays the answer to one caller, over one or more attempts.

    `extra_headers` are added to the upstream's headers; `on_running` is called
    when an upstream has begun to run the request; `resume_after` is the id of
    the last event that the caller has received, None for a new request.
    """

    __slots__ = (
        "_caller",
        "_ends_with_connection",
        "_on_running",
        "answer_started",
        "extra_headers",
        "failure",
        "last_event_id",
        "started_headers",
        "status",
    )

    def __init__(
        self,
        caller: callers.Caller,
        extra_headers: connections.Headers,
        on_running: Callable[[], None],
        resume_after: int | None,
    ) -> None:
        self._caller = caller
        self._on_running = on_running
        self.extra_headers = extra_headers
        # Whether a part of the answer has been sent to the caller.
        self.answer_started = False
        # The headers of the upstream's answer that the caller has.
        self.started_headers: connections.Headers = []
        # Whether only the end of its connection shows the end of the response.
        self._ends_with_connection = False
        self.status = 0
        # An upstream's error answer, relayed if no later attempt succeeds.
        self.failure: Answer | None = None
        # The id of the last event that was sent to the caller.
        self.last_event_id = resume_after

    def mark_running(self) -> None:
        """Report that the upstream has begun to run the request."""
        self._on_running()

    async def send_complete(self, answer: Answer) -> None:
        """Send a complete answer."""
        self.answer_started = True
        self.status = answer.status
        headers = answer.headers + self.extra_headers
        if answer.has_length:
            await self._caller.answer(answer.status, headers, answer.body)
            return
        self._ends_with_connection = True
        await self._caller.start_answer(
            answer.status, headers, answer.body, ends_with_connection=True
        )
        await self._caller.end_answer()

    async def start(
        self,
        status: int,
        headers: connections.Headers,
        first: bytes,
        *,
        ends_with_connection: bool = False,
    ) -> None:
        """Send the head of an answer with the first part of its body.

        A later attempt only continues the body. With `ends_with_connection`,
        nothing else will show the end of the body.
        """
        self.status = status
        if self.answer_started:
            await self._caller.write(first)
            return
        self.answer_started = True
        self._ends_with_connection = ends_with_connection
        self.started_headers = headers
        head = headers + self.extra_headers
        await self._caller.start_answer(
            status, head, first, ends_with_connection=ends_with_connection
        )

    @property
    def may_be_unproved(self) -> bool:
        """Return whether the response may leave open where it ends."""
        return self._ends_with_connection or not self.answer_started

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._caller.write(data)

    async def end(self) -> None:
        """Send the end of the body."""
        await self._caller.end_answer()
