"""Simulated engines and plain services that run in virtual time."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Protocol

from laburnumpin.bench import traces
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import prefixes

# Step time without streams, step time added by each running stream, and time
# per prefill token. Without prefill a step takes 29 ms with 48 streams and
# 36 ms with 66.
BASE_STEP_MS = 10.0
STEP_PER_STREAM_MS = 0.4
PREFILL_MS_PER_TOKEN = 0.125
PREFILL_CHUNK_TOKENS = 256
CACHE_BLOCKS = 1_200
MAX_WAITING = 32
# Tokens per output event, to reduce the number of events in a replay.
CHUNK_TOKENS = 16
# Weight of a new step in the exponential moving average of the step time.
_STEP_EMA_WEIGHT = 0.2


class Timeline(Protocol):
    """Schedules calls in virtual time."""

    now_ms: float

    def call_after(self, delay_ms: float, function: Callable[[], None]) -> None:
        """Call `function` after `delay_ms`."""


class Listener(Protocol):
    """Receives the events of attempts."""

    def output(self, attempt_id: str, offset: int, next_offset: int) -> None:
        """Report generated tokens."""

    def completed(
        self, attempt_id: str, total: int, cached: int, computed: int
    ) -> None:
        """Report the end marker, with total, cached and computed tokens."""

    def failed(
        self, attempt_id: str, failure: events.AttemptFailure, sent: bool
    ) -> None:
        """Report a failure; if `sent`, the attempt may have run."""


@dataclasses.dataclass(slots=True)
class TokenCounts:
    """Tokens computed by all engines.

    The `recomputed` fields count those that some engine had computed before.
    """

    prompt_tokens: int = 0
    prompt_recomputed: int = 0
    generated_tokens: int = 0
    generated_recomputed: int = 0


@dataclasses.dataclass(slots=True)
class Stream:
    """A generation at an engine.

    `offset` counts the generated tokens and `delivered_tokens` those sent to
    the entry, both from the start of the answer. `output_tokens` is the
    real length of the answer, which is not part of load reports, and
    `max_tokens` the length that the request allows. `resumes` is true if the
    engine has the KV cache of the generation from an earlier attempt.
    `cached_prompt_tokens` counts the prompt tokens found in the prefix cache.
    """

    attempt_id: str
    request_id: str
    blocks: tuple[str, ...]
    offset: int
    output_tokens: int
    max_tokens: int
    is_interactive: bool
    remaining_prefill_tokens: int = 0
    cached_prompt_tokens: int = 0
    delivered_tokens: int = 0
    resumes: bool = False


@dataclasses.dataclass(slots=True)
class _CacheEvent:
    time_ms: float
    added: bool
    block: str


class Engine:
    """An engine with continuous batching and a limited prefix cache."""

    def __init__(
        self,
        spec: traces.UpstreamSpec,
        timeline: Timeline,
        listener: Listener,
        tokens: TokenCounts,
        computed_blocks: set[str],
    ) -> None:
        self.spec = spec
        self.leaving = False
        self._timeline = timeline
        self._listener = listener
        self._tokens = tokens
        self._computed_blocks = computed_blocks
        self._waiting: list[Stream] = []
        self._running: dict[str, Stream] = {}
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._cache_events: list[_CacheEvent] = []
        self._step_ms = BASE_STEP_MS
        self._stepping = False
        # Generated tokens by request id of the generations whose KV cache is
        # kept, so that they can be resumed here.
        self._resumable_tokens: dict[str, int] = {}

    def start(
        self, dispatch: effects.Dispatch, arrival: traces.Arrival
    ) -> events.AttemptFailure | None:
        """Queue a generation, or return why it is rejected."""
        if self.leaving:
            return events.AttemptFailure.UPSTREAM_LEAVING
        if len(self._waiting) >= MAX_WAITING:
            return events.AttemptFailure.UPSTREAM_OVERLOADED
        resumes = dispatch.offset > 0 and not dispatch.recompute
        resumable = self._resumable_tokens.pop(dispatch.request_id, None)
        if resumes and resumable is None:
            return events.AttemptFailure.UNKNOWN_GENERATION
        if resumes and resumable is not None:
            # Tokens that the source engine generated after the export have to
            # be generated again.
            lost_tokens = max(0, dispatch.offset - resumable)
            self._tokens.generated_recomputed += lost_tokens
        stream = Stream(
            dispatch.attempt_id,
            dispatch.request_id,
            prefixes.block_hashes(dispatch.prompt),
            dispatch.offset,
            arrival.output_tokens,
            dispatch.max_tokens,
            dispatch.priority.value == "interactive",
            prefixes.count_tokens(dispatch.prompt),
            delivered_tokens=dispatch.offset,
            resumes=resumes,
        )
        position = len(self._waiting)
        if stream.is_interactive:
            position = 0
            while position < len(self._waiting):
                if not self._waiting[position].is_interactive:
                    break
                position += 1
        self._waiting.insert(position, stream)
        if not self._stepping:
            self._begin_step()
        return None

    def cancel(self, attempt_id: str) -> None:
        """Stop a generation; it can be resumed if it has generated tokens."""
        stream = self._running.pop(attempt_id, None)
        if stream is not None and stream.offset > 0:
            self._resumable_tokens[stream.request_id] = stream.offset
        self._waiting = [s for s in self._waiting if s.attempt_id != attempt_id]

    def stop(self) -> None:
        """Fail all generations, as when the VM terminates."""
        for stream in self._running.values():
            self._flush(stream)
        lost_attempt_ids = list(self._running) + [
            s.attempt_id for s in self._waiting
        ]
        self._running.clear()
        self._waiting.clear()
        for attempt_id in lost_attempt_ids:
            self._listener.failed(
                attempt_id, events.AttemptFailure.CONNECTION_LOST, True
            )

    def export(self, request_id: str) -> int | None:
        """Return the generated tokens of a generation, None if it has none.

        A resumable generation is removed by its export.
        """
        for stream in self._running.values():
            if stream.request_id == request_id and stream.offset > 0:
                return stream.offset
        return self._resumable_tokens.pop(request_id, None)

    def import_cache(self, request_id: str, tokens: int) -> None:
        """Make a generation of another engine resumable here."""
        self._resumable_tokens[request_id] = tokens

    def report(self) -> events.LoadReport:
        """Return the current load."""
        backlog = 0
        for stream in self._running.values():
            backlog += (
                stream.remaining_prefill_tokens
                + stream.max_tokens
                - stream.offset
            )
        for stream in self._waiting:
            backlog += (
                stream.remaining_prefill_tokens
                + stream.max_tokens
                - stream.offset
            )
        return events.LoadReport(
            incarnation=1,
            age_ms=0,
            running=len(self._running),
            waiting=len(self._waiting),
            slots=self.spec.slots,
            backlog_tokens=backlog,
            step_ms=self._step_ms,
            leaving=self.leaving,
        )

    def cache_events(
        self, after: int, until_ms: float, gap: int
    ) -> tuple[int, int, tuple[str, ...], tuple[str, ...]]:
        """Return the net changes of the cache from event number `after` on.

        Skips the first `gap` events, as if they were lost, and covers at most
        2,000 events, none of them later than `until_ms`. Returns the sequence
        numbers of the first and of the next event, the added blocks and the
        removed blocks.
        """
        added: dict[str, None] = {}
        removed: dict[str, None] = {}
        first = min(after + gap, len(self._cache_events))
        end = first
        for event in self._cache_events[first : first + 2_000]:
            if event.time_ms > until_ms:
                break
            end += 1
            source, target = removed, added
            if not event.added:
                source, target = added, removed
            source.pop(event.block, None)
            target[event.block] = None
        return first, end, tuple(added), tuple(removed)

    def _begin_step(self) -> None:
        while self._waiting and len(self._running) < self.spec.slots:
            self._admit(self._waiting.pop(0))
        if not self._running:
            self._stepping = False
            return
        self._stepping = True
        budget = PREFILL_CHUNK_TOKENS
        decoding = []
        for stream in self._running.values():
            if stream.remaining_prefill_tokens == 0:
                decoding.append(stream)
                continue
            chunk_tokens = min(budget, stream.remaining_prefill_tokens)
            stream.remaining_prefill_tokens -= chunk_tokens
            budget -= chunk_tokens
        prefilled = PREFILL_CHUNK_TOKENS - budget
        duration_ms = (
            BASE_STEP_MS
            + STEP_PER_STREAM_MS * len(self._running)
            + PREFILL_MS_PER_TOKEN * prefilled
        )
        self._step_ms += _STEP_EMA_WEIGHT * (duration_ms - self._step_ms)
        self._timeline.call_after(duration_ms, lambda: self._end_step(decoding))

    def _end_step(self, decoding: list[Stream]) -> None:
        for stream in decoding:
            if stream.attempt_id not in self._running:
                continue
            stream.offset += 1
            self._tokens.generated_tokens += 1
            if stream.offset >= stream.output_tokens:
                self._finish(stream)
                continue
            if (
                stream.delivered_tokens == 0
                or stream.offset - stream.delivered_tokens >= CHUNK_TOKENS
            ):
                self._flush(stream)
        self._begin_step()

    def _finish(self, stream: Stream) -> None:
        self._flush(stream)
        del self._running[stream.attempt_id]
        self._listener.completed(
            stream.attempt_id,
            stream.output_tokens,
            stream.cached_prompt_tokens,
            stream.output_tokens,
        )

    def _flush(self, stream: Stream) -> None:
        if stream.offset > stream.delivered_tokens:
            self._listener.output(
                stream.attempt_id, stream.delivered_tokens, stream.offset
            )
            stream.delivered_tokens = stream.offset

    def _admit(self, stream: Stream) -> None:
        self._running[stream.attempt_id] = stream
        if stream.resumes:
            stream.remaining_prefill_tokens = 1
            return
        cached_blocks = 0
        for block in stream.blocks:
            if block not in self._cache:
                break
            cached_blocks += 1
        stream.cached_prompt_tokens = min(
            cached_blocks * prefixes.TOKENS_PER_BLOCK,
            stream.remaining_prefill_tokens,
        )
        stream.remaining_prefill_tokens -= stream.cached_prompt_tokens
        # Without the KV cache of the generation, the engine has to compute
        # the tokens that were already delivered again.
        self._tokens.prompt_tokens += stream.remaining_prefill_tokens
        self._tokens.generated_recomputed += stream.offset
        stream.remaining_prefill_tokens += stream.offset
        for block in stream.blocks[cached_blocks:]:
            if block in self._computed_blocks:
                self._tokens.prompt_recomputed += prefixes.TOKENS_PER_BLOCK
            self._computed_blocks.add(block)
        for block in stream.blocks:
            self._cache_block(block)
        stream.remaining_prefill_tokens = max(
            stream.remaining_prefill_tokens, 1
        )

    def _cache_block(self, block: str) -> None:
        now_ms = self._timeline.now_ms
        if block in self._cache:
            self._cache.move_to_end(block)
            return
        self._cache[block] = None
        self._cache_events.append(_CacheEvent(now_ms, True, block))
        if len(self._cache) > CACHE_BLOCKS:
            evicted_block, _ = self._cache.popitem(last=False)
            self._cache_events.append(_CacheEvent(now_ms, False, evicted_block))


class PlainService:
    """A plain service that runs one call in each of its slots."""

    def __init__(
        self,
        spec: traces.UpstreamSpec,
        timeline: Timeline,
        listener: Listener,
        rng: random.Random,
    ) -> None:
        self.spec = spec
        self.leaving = False
        self._timeline = timeline
        self._listener = listener
        # VMs of one class differ in speed, which a policy has to detect.
        self._duration_factor = rng.uniform(0.8, 1.3)
        self._waiting: list[tuple[str, float]] = []
        self._running: set[str] = set()

    def start(
        self, dispatch: effects.Dispatch, arrival: traces.Arrival
    ) -> events.AttemptFailure | None:
        """Run or queue a call, or return why it is rejected."""
        if self.leaving:
            return events.AttemptFailure.UPSTREAM_LEAVING
        if len(self._waiting) >= MAX_WAITING:
            return events.AttemptFailure.UPSTREAM_OVERLOADED
        self._waiting.append((dispatch.attempt_id, arrival.service_ms))
        self._start_waiting()
        return None

    def cancel(self, attempt_id: str) -> None:
        """Stop a call."""
        self._running.discard(attempt_id)
        self._waiting = [w for w in self._waiting if w[0] != attempt_id]
        self._start_waiting()

    def stop(self) -> None:
        """Fail all calls, as when the VM terminates."""
        lost_attempt_ids = sorted(self._running) + [w[0] for w in self._waiting]
        self._running.clear()
        self._waiting.clear()
        for attempt_id in lost_attempt_ids:
            self._listener.failed(
                attempt_id, events.AttemptFailure.CONNECTION_LOST, True
            )

    def export(self, request_id: str) -> int | None:
        """Return None; a plain service has no generations."""
        del request_id
        return None

    def import_cache(self, request_id: str, tokens: int) -> None:
        """Do nothing; a plain service has no generations."""

    def report(self) -> events.LoadReport:
        """Return the current load."""
        return events.LoadReport(
            incarnation=1,
            age_ms=0,
            running=len(self._running),
            waiting=len(self._waiting),
            slots=self.spec.slots,
            backlog_tokens=0,
            step_ms=0.0,
            leaving=self.leaving,
        )

    def cache_events(
        self, after: int, until_ms: float, gap: int
    ) -> tuple[int, int, tuple[str, ...], tuple[str, ...]]:
        """Return no events; a plain service has no prefix cache."""
        del until_ms, gap
        return after, after, (), ()

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self.spec.slots:
            attempt_id, service_ms = self._waiting.pop(0)
            self._running.add(attempt_id)
            self._schedule_end(attempt_id, service_ms * self._duration_factor)

    def _schedule_end(self, attempt_id: str, service_ms: float) -> None:
        self._timeline.call_after(service_ms, lambda: self._end(attempt_id))

    def _end(self, attempt_id: str) -> None:
        if attempt_id not in self._running:
            return
        self._running.discard(attempt_id)
        self._listener.output(attempt_id, 0, 1)
        self._listener.completed(attempt_id, 1, 0, 0)
        self._start_waiting()
