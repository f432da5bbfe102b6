"""Who gets a place or room for a body when either is short.

Reading stops first, then bodies are refused, then connections are closed. The
connection that has held the most for the longest without progress goes first;
requests that run are never ended.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import heapq

from laburnumpin.core import counters as entry_counters
from laburnumpin.forwarding import buffers
from laburnumpin.forwarding.admission import caller_stream
from laburnumpin.forwarding.admission import settings as admission_settings
from laburnumpin.forwarding.admission import turns
from laburnumpin.server import logs

# What a connection without held bytes counts as, in bytes.
MIN_HELD_BYTES = 1_024
# Share of the places from which on connections are ended for new ones, and the
# share that one search may end.
CROWDED_SHARE = 7 / 8
EVICTED_SHARE = 1 / 4
# Pause between two searches for the same need.
SEARCH_PERIOD_S = 0.05
# For so long after a connection had to wait for a place, connections end with
# their answers.
FULL_S = 0.25
# Pause between two log lines with the same reason.
LOG_PERIOD_S = 1.0

Phase = caller_stream.Phase
# In which order connections are ended for new ones, and after which time in
# that phase without progress. Phases without a time have that of the settings.
_ORDER = (
    Phase.LEAVING,
    Phase.IDLE,
    Phase.HEAD,
    Phase.BODY,
    Phase.WAITING,
    Phase.PARSING,
)
_RANKS = {phase: -rank for rank, phase in enumerate(_ORDER)}
_RANKS[Phase.BODY] = _RANKS[Phase.HEAD]
_SILENT_S = {
    Phase.LEAVING: 0.1,
    Phase.IDLE: 0.25,
    Phase.WAITING: 0.1,
    Phase.PARSING: 0.5,
}

# Sorts connections: rank, whether no key was shown, and the held bytes times
# the time without progress.
_Weight = tuple[int, bool, float]


class Gate:
    """Admits callers' connections, and finds room for their bodies."""

    __slots__ = (
        "_counters",
        "_full_s",
        "_last_search_s",
        "_logged_s",
        "_loop",
        "_not_logged",
        "_opening",
        "_settings",
        "_streams",
        "on_place",
        "turns",
    )

    def __init__(
        self,
        settings: admission_settings.AdmissionSettings,
        counters: entry_counters.Counters,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._counters = counters
        self._streams: dict[caller_stream.CallerStream, None] = {}
        # Accepted connections without a stream yet.
        self._opening = 0
        # When a connection last had to wait for its place.
        self._full_s = float("-inf")
        self._last_search_s = {"place": 0.0, "room": 0.0}
        self._logged_s: dict[str, float] = {}
        self._not_logged: dict[str, int] = {}
        self.turns = turns.Turns(settings.parser_share)
        # Called when a connection has ended.
        self.on_place: Callable[[], None] | None = None

    @property
    def connections(self) -> int:
        """Return the number of connections."""
        return len(self._streams) + self._opening

    def is_full(self) -> bool:
        """Return whether connections wait for places."""
        return self._loop.time() < self._full_s + FULL_S

    def take_place(self) -> bool:
        """Count a connection that is about to be accepted, if it may be."""
        limit = self._settings.max_connections
        if self.connections >= limit * CROWDED_SHARE:
            self._find_places()
        if self.connections >= limit:
            self._counters.increment("callers_paused", "accept")
            self._full_s = self._loop.time()
            return False
        self._opening += 1
        return True

    def return_place(self) -> None:
        """Take a place back for which there was no connection."""
        self._opening -= 1

    def open(
        self,
        on_open: Callable[[caller_stream.CallerStream], None],
        peer: str,
    ) -> caller_stream.CallerStream:
        """Return the stream of a connection that has a place."""

        def start(stream: object) -> None:
            assert isinstance(stream, caller_stream.CallerStream)
            self._opening -= 1
            self._streams[stream] = None
            on_open(stream)

        return caller_stream.CallerStream(
            start, self._remove, self._settings.progress_bytes, peer
        )

    def _remove(self, stream: caller_stream.CallerStream) -> None:
        self._streams.pop(stream, None)
        if self.on_place is not None:
            self.on_place()

    async def wait_for_room(
        self,
        stream: caller_stream.CallerStream,
        account: buffers.Account,
        part: str,
        size_bytes: int,
    ) -> None:
        """Hold bytes of a request as soon as there is room for them.

        Raises:
            BudgetExceededError: There is none within the time.
            EvictedError: The place of the connection is given to others.
        """
        self._counters.increment("callers_paused", part)
        self.report("paused", stream)
        phase = stream.phase
        stream.enter(Phase.WAITING)
        try:
            await self._wait_for_room(stream, account, part, size_bytes)
        finally:
            stream.enter(phase)

    async def _wait_for_room(
        self,
        stream: caller_stream.CallerStream,
        account: buffers.Account,
        part: str,
        size_bytes: int,
    ) -> None:
        wait_s = self._settings.room_wait_ms / 1_000
        deadline_s = self._loop.time() + wait_s
        while True:
            self._find_room()
            remaining_s = deadline_s - self._loop.time()
            await account.budget.wait_for_release(
                min(max(remaining_s, 0.0), SEARCH_PERIOD_S)
            )
            if stream.interruption is not None:
                account.budget.wake_next()
                raise stream.interruption
            try:
                account.hold(part, size_bytes)
            except buffers.BudgetExceededError:
                if remaining_s <= 0:
                    raise
                continue
            account.budget.wake_next()
            return

    def _find_room(self) -> None:
        """End the connection that holds the most for the longest."""
        if not self._may_search("room"):
            return
        weights = {}
        for stream, weight in self._weights().items():
            if stream.held_bytes and stream.phase in (Phase.HEAD, Phase.BODY):
                weights[stream] = weight
        if weights:
            self._evict(max(weights, key=weights.__getitem__), "room")

    def _find_places(self) -> None:
        """End connections for new ones."""
        if not self._may_search("place"):
            return
        limit = max(1, int(self._settings.max_connections * EVICTED_SHARE))
        weights = self._weights()
        for stream in heapq.nlargest(limit, weights, weights.__getitem__):
            if stream.phase is Phase.IDLE and stream.has_unread():
                continue  # Its next request has arrived.
            self._evict(stream, "place")

    def _may_search(self, need: str) -> bool:
        now_s = self._loop.time()
        if now_s < self._last_search_s[need] + SEARCH_PERIOD_S:
            return False
        self._last_search_s[need] = now_s
        return True

    def _weights(self) -> dict[caller_stream.CallerStream, _Weight]:
        """Return the connections that may be ended; the highest goes first."""
        now_s = self._loop.time()
        stall_s = self._settings.stall_ms / 1_000
        weights = {}
        for stream in self._streams:
            phase = stream.phase
            if phase is Phase.RUNNING or stream.interruption is not None:
                continue
            if phase is Phase.IDLE and stream.has_bytes:
                continue
            silent_s = now_s - stream.progress_s
            if silent_s < _SILENT_S.get(phase, stall_s):
                continue
            weight = max(stream.held_bytes, MIN_HELD_BYTES) * silent_s
            if phase is Phase.PARSING:
                weight = float(stream.work)
            weights[stream] = (_RANKS[phase], not stream.customer, weight)
        return weights

    def _evict(self, stream: caller_stream.CallerStream, need: str) -> None:
        self._counters.increment("callers_closed", need)
        self.report(f"closed_for_{need}", stream)
        stream.evict()

    def report(self, reason: str, stream: caller_stream.CallerStream) -> None:
        """Log what was done to a connection, at most once a second each."""
        now_s = self._loop.time()
        if now_s < self._logged_s.get(reason, 0.0) + LOG_PERIOD_S:
            self._not_logged[reason] = self._not_logged.get(reason, 0) + 1
            return
        self._logged_s[reason] = now_s
        logs.write(
            "callers_crowded",
            "warning",
            {
                "reason": reason,
                "peer": stream.peer,
                "customer": stream.customer,
                "phase": stream.phase.value,
                "held_bytes": stream.held_bytes,
                "connections": self.connections,
                "not_logged": self._not_logged.pop(reason, 0),
            },
        )
