"""Event queue and answer routing between I/O tasks and the reducer."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import math

import anyio
from anyio.streams import memory

from laburnumpin import clock as clocks
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import state as entry_state

# Backpressure: I/O tasks wait while the queue is full, and read no further
# from their sockets.
MAX_QUEUED_EVENTS = 4_096

Answer = effects.Accept | effects.Refuse | effects.AnswerStatus
Output = effects.SendChunk | effects.EndReader


class _PendingExchange:
    """An HTTP exchange that waits for the reducer's answer."""

    __slots__ = ("answer", "answered")

    def __init__(self) -> None:
        self.answer: Answer | None = None
        self.answered = anyio.Event()


class Bridge:
    """Queues events and routes answers and output to the waiting tasks.

    Only the reducer loop in `entry.py` changes `state`; other code may read
    it. `ready` and `readiness_reason` are the latest from the reducer.
    """

    __slots__ = (
        "_event_receive_stream",
        "_event_send_stream",
        "_exchanges",
        "_next_number",
        "_readers",
        "clock",
        "readiness_reason",
        "ready",
        "state",
    )

    def __init__(
        self, state: entry_state.EntryState, clock: clocks.Clock
    ) -> None:
        self.state = state
        self.clock = clock
        self.ready = False
        self.readiness_reason = "entry_not_ready"
        self._exchanges: dict[str, _PendingExchange] = {}
        self._readers: dict[str, memory.MemoryObjectSendStream[Output]] = {}
        self._next_number = 1
        self._event_send_stream, self._event_receive_stream = (
            anyio.create_memory_object_stream[events.Event](MAX_QUEUED_EVENTS)
        )

    async def put(self, event: events.Event) -> None:
        """Queue an event; waits while the queue is full."""
        await self._event_send_stream.send(event)

    async def put_shielded(self, event: events.Event) -> None:
        """Queue an event even if the current task is being cancelled.

        Gives up after one second, because the reducer loop may have stopped
        when the whole daemon is cancelled.
        """
        with anyio.move_on_after(1, shield=True):
            await self.put(event)

    async def next_event(self) -> events.Event:
        """Wait for the next event and return it."""
        return await self._event_receive_stream.receive()

    def new_id(self) -> str:
        """Return an id for an exchange or reader, unique among all entries.

        Reader ids also identify subscriptions at other entries, so they
        contain the VM id and incarnation of this entry.
        """
        entry = self.state.entry
        number = self._next_number
        self._next_number += 1
        return f"{entry.vm_id}.{entry.incarnation}.r{number}"

    async def ask(self, exchange_id: str, event: events.Event) -> Answer:
        """Queue an event and return the reducer's answer to its exchange."""
        exchange = _PendingExchange()
        self._exchanges[exchange_id] = exchange
        try:
            await self.put(event)
            await exchange.answered.wait()
        finally:
            del self._exchanges[exchange_id]
        assert exchange.answer is not None
        return exchange.answer

    def answer(self, answer: Answer) -> None:
        """Complete an exchange; does nothing if its caller has disconnected."""
        exchange = self._exchanges.get(answer.exchange_id)
        if exchange is None or exchange.answer is not None:
            return
        exchange.answer = answer
        exchange.answered.set()

    @contextlib.asynccontextmanager
    async def open_reader(
        self, request_id: str, customer: str, offset: int
    ) -> AsyncIterator[memory.MemoryObjectReceiveStream[Output]]:
        """Subscribe to the output of a request from `offset` on.

        The buffer is unbounded, but holds only references to chunks that
        the state of the request retains anyway.
        """
        reader_id = self.new_id()
        send_stream, receive_stream = anyio.create_memory_object_stream[Output](
            math.inf
        )
        self._readers[reader_id] = send_stream
        try:
            await self.put(
                events.ReaderOpened(
                    self.clock.now_ms(), reader_id, request_id, customer, offset
                )
            )
            yield receive_stream
        finally:
            receive_stream.close()
            if self._readers.pop(reader_id, None) is not None:
                send_stream.close()
                await self.put_shielded(
                    events.ReaderClosed(self.clock.now_ms(), reader_id)
                )

    def deliver(self, output: Output) -> None:
        """Send output to a reader; discards it if the reader is closed."""
        send_stream = self._readers.get(output.reader_id)
        if send_stream is None:
            return
        with contextlib.suppress(anyio.BrokenResourceError):
            send_stream.send_nowait(output)
        if isinstance(output, effects.EndReader):
            del self._readers[output.reader_id]
            send_stream.close()
