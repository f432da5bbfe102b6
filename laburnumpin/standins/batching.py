"""Simulation of an engine's continuous batching.

`Batch` computes in steps. The caller passes the current time, so that the
simulation runs on a real clock as well as on a manual one.
"""

from __future__ import annotations

import dataclasses
import enum

from laburnumpin.core import deployment
from laburnumpin.core import prefixes
from laburnumpin.standins import prefix_cache

# After a pause of the process that is longer than this, the next step starts
# at the current time, so that the missed steps are not computed in a burst.
MAX_CATCH_UP_MS = 500


@dataclasses.dataclass(slots=True, frozen=True)
class BatchSettings:
    """Step duration, batch size and limits of an engine.

    A step lasts `base_step_ms`, plus `stream_step_ms` for each running
    generation, plus the time for its prefill tokens. While any generation
    is decoding, a step prefills at most `prefill_chunk_tokens`: 64 tokens
    take 8 ms, so a step with 16 running generations and prefill lasts 32 ms,
    within the inter-token target of 36 ms. Otherwise prefill is unbounded.

    `slots` limits the running generations, `max_waiting` those that wait for
    a slot, and `cache_blocks` the prefix cache. A generation without a
    reader is dropped after `retention_ms`.
    """

    slots: int = 16
    base_step_ms: float = 8.0
    stream_step_ms: float = 1.0
    prefill_tokens_per_s: float = 8_000.0
    prefill_chunk_tokens: int = 64
    cache_blocks: int = 2_000
    max_waiting: int = 256
    retention_ms: int = 30_000


class Phase(enum.Enum):
    """State of a generation.

    An imported generation is not queued until a reader attaches to it.
    """

    IMPORTED = "imported"
    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"
    CANCELLED = "cancelled"


# Compared by identity: each generation exists only once, and comparing all
# fields makes lookups in the queues slow.
@dataclasses.dataclass(slots=True, eq=False)
class Generation:
    """One generation.

    `produced_tokens` counts the output from offset 0, also the part that was
    computed elsewhere before an import. `computed_tokens` counts the prompt
    and output tokens that this engine computed, and `cached_prompt_tokens`
    the prompt tokens that it had in a cache. `blocks` holds the block hashes
    of the prompt. `unread_since_ms` is the time of the submission, of the
    import or of the detachment of the last reader, or None while there is a
    reader.
    """

    request_id: str
    prompt: str
    max_tokens: int
    priority: deployment.Priority
    prompt_tokens: int
    blocks: tuple[str, ...]
    phase: Phase = Phase.WAITING
    cached_prompt_tokens: int = 0
    remaining_prefill_tokens: int = 0
    produced_tokens: int = 0
    computed_tokens: int = 0
    reader_count: int = 0
    unread_since_ms: int | None = None


@dataclasses.dataclass(slots=True)
class Step:
    """The step that is being computed.

    `prefill_tokens` holds the number of prompt tokens to compute by request
    id, and `decoding_ids` the request ids that produce one more token.
    """

    end_ms: float
    duration_ms: float
    prefill_tokens: dict[str, int]
    decoding_ids: tuple[str, ...]


class Batch:
    """The generations, slots and prefix cache of one engine."""

    __slots__ = (
        "_is_loading_model",
        "_running",
        "_step",
        "_waiting",
        "cache",
        "generations",
        "last_step_ms",
        "settings",
    )

    def __init__(self, settings: BatchSettings) -> None:
        self.settings = settings
        self.cache = prefix_cache.PrefixCache(settings.cache_blocks)
        self.generations: dict[str, Generation] = {}
        self.last_step_ms = settings.base_step_ms
        self._running: list[Generation] = []
        self._waiting: list[Generation] = []
        self._step: Step | None = None
        self._is_loading_model = False

    @property
    def running_count(self) -> int:
        """Return the number of occupied slots."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Return the number of generations without a slot."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Return whether the queue has reached `max_waiting`."""
        return len(self._waiting) >= self.settings.max_waiting

    @property
    def step_end_ms(self) -> float | None:
        """Return when the current step ends, None while idle."""
        return None if self._step is None else self._step.end_ms

    def submit(
        self,
        request_id: str,
        prompt: str,
        max_tokens: int,
        priority: deployment.Priority,
        now_ms: int,
    ) -> Generation:
        """Queue a new generation; the request id must be unused."""
        generation = _new_generation(request_id, prompt, max_tokens, priority)
        generation.unread_since_ms = now_ms
        self.generations[request_id] = generation
        self._enqueue(generation, now_ms)
        return generation

    def import_generation(
        self,
        request_id: str,
        prompt: str,
        max_tokens: int,
        priority: deployment.Priority,
        offset: int,
        now_ms: int,
    ) -> Generation:
        """Add a generation whose KV cache was moved here from another engine.

        Its output continues at `offset` when a reader attaches. Returns the
        existing generation if the request id is in use.
        """
        existing = self.generations.get(request_id)
        if existing is not None:
            return existing
        generation = _new_generation(request_id, prompt, max_tokens, priority)
        generation.produced_tokens = offset
        generation.cached_prompt_tokens = generation.prompt_tokens
        generation.unread_since_ms = now_ms
        generation.phase = Phase.IMPORTED
        if offset >= max_tokens:
            generation.phase = Phase.ENDED
        self.cache.add(generation.blocks, now_ms)
        self.generations[request_id] = generation
        return generation

    def attach_reader(self, generation: Generation, now_ms: int) -> None:
        """Count a reader, and queue the generation if it was imported."""
        generation.reader_count += 1
        generation.unread_since_ms = None
        if generation.phase is Phase.IMPORTED:
            generation.phase = Phase.WAITING
            self._enqueue(generation, now_ms)

    def detach_reader(self, generation: Generation, now_ms: int) -> None:
        """Subtract a reader; without readers the retention time starts."""
        generation.reader_count -= 1
        if generation.reader_count == 0:
            generation.unread_since_ms = now_ms

    def cancel(self, request_id: str) -> Generation | None:
        """Remove and return a generation; None when it is unknown."""
        generation = self.generations.pop(request_id, None)
        if generation is None:
            return None
        if generation in self._waiting:
            self._waiting.remove(generation)
        if generation in self._running:
            self._running.remove(generation)
        if generation.phase is not Phase.ENDED:
            generation.phase = Phase.CANCELLED
        return generation

    def expire(self, now_ms: int) -> list[Generation]:
        """Remove and return generations without a reader for too long."""
        expired = []
        cutoff_ms = now_ms - self.settings.retention_ms
        for generation in list(self.generations.values()):
            since_ms = generation.unread_since_ms
            if since_ms is None or since_ms > cutoff_ms:
                continue
            self.cancel(generation.request_id)
            expired.append(generation)
        return expired

    def begin_model_load(self, now_ms: int) -> None:
        """Clear the cache and start no step until `end_model_load`."""
        self.cache.clear(now_ms)
        self._is_loading_model = True

    def end_model_load(self, now_ms: int) -> None:
        """Resume steps, also for generations queued during the load."""
        self._is_loading_model = False
        if self._step is None:
            self._start_step(now_ms)

    def advance(self, now_ms: int) -> list[Generation]:
        """Finish the due steps; return generations that produced tokens."""
        progressed: dict[str, Generation] = {}
        while self._step is not None and self._step.end_ms <= now_ms:
            step = self._step
            for generation in self._finish_step(step):
                progressed[generation.request_id] = generation
            start_ms = step.end_ms
            if now_ms - start_ms > MAX_CATCH_UP_MS:
                start_ms = now_ms
            self._start_step(start_ms)
        return list(progressed.values())

    def backlog_tokens(self) -> int:
        """Return the number of prompt and output tokens left to compute.

        Cached blocks are subtracted only once a generation has a slot.
        """
        total = 0
        for generation in self._running:
            total += generation.remaining_prefill_tokens
            total += generation.max_tokens - generation.produced_tokens
        for generation in self._waiting:
            if generation.produced_tokens == 0:
                total += generation.prompt_tokens
            total += generation.max_tokens - generation.produced_tokens
        return total

    def _enqueue(self, generation: Generation, now_ms: int) -> None:
        self._waiting.append(generation)
        if self._step is None:
            self._start_step(now_ms)

    def _start_step(self, start_ms: float) -> None:
        self._step = None
        if self._is_loading_model:
            return
        self._admit()
        if not self._running:
            return
        decoding = [
            generation
            for generation in self._running
            if not generation.remaining_prefill_tokens
        ]
        prefill_tokens = self._plan_prefill(bounded=bool(decoding))
        settings = self.settings
        duration_ms = settings.base_step_ms
        duration_ms += settings.stream_step_ms * len(self._running)
        tokens = sum(prefill_tokens.values())
        duration_ms += tokens * 1_000 / settings.prefill_tokens_per_s
        self._step = Step(
            start_ms + duration_ms,
            duration_ms,
            prefill_tokens,
            tuple(generation.request_id for generation in decoding),
        )

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.settings.slots:
            generation = min(self._waiting, key=_priority_rank)
            self._waiting.remove(generation)
            generation.phase = Phase.RUNNING
            self._running.append(generation)
            if generation.produced_tokens > 0:
                continue
            cached_blocks = self.cache.match(generation.blocks)
            cached_tokens = cached_blocks * prefixes.TOKENS_PER_BLOCK
            generation.cached_prompt_tokens = cached_tokens
            generation.remaining_prefill_tokens = (
                generation.prompt_tokens - cached_tokens
            )

    def _plan_prefill(self, bounded: bool) -> dict[str, int]:
        remaining_tokens = self.settings.prefill_chunk_tokens
        plan: dict[str, int] = {}
        for generation in sorted(self._running, key=_priority_rank):
            if not generation.remaining_prefill_tokens:
                continue
            tokens = generation.remaining_prefill_tokens
            if bounded:
                tokens = min(tokens, remaining_tokens)
                remaining_tokens -= tokens
            if tokens:
                plan[generation.request_id] = tokens
        return plan

    def _finish_step(self, step: Step) -> list[Generation]:
        self.last_step_ms = step.duration_ms
        progressed = []
        for generation in list(self._running):
            request_id = generation.request_id
            tokens = step.prefill_tokens.get(request_id, 0)
            generation.remaining_prefill_tokens -= tokens
            generation.computed_tokens += tokens
            if tokens and not generation.remaining_prefill_tokens:
                self.cache.add(generation.blocks, int(step.end_ms))
            is_decoding = request_id in step.decoding_ids or tokens
            if generation.remaining_prefill_tokens or not is_decoding:
                continue
            generation.produced_tokens += 1
            generation.computed_tokens += 1
            progressed.append(generation)
            if generation.produced_tokens >= generation.max_tokens:
                generation.phase = Phase.ENDED
                self._running.remove(generation)
        return progressed


def _priority_rank(generation: Generation) -> int:
    is_bulk = generation.priority is deployment.Priority.BULK
    return 1 if is_bulk else 0


def _new_generation(
    request_id: str,
    prompt: str,
    max_tokens: int,
    priority: deployment.Priority,
) -> Generation:
    return Generation(
        request_id,
        prompt,
        max_tokens,
        priority,
        prefixes.count_tokens(prompt),
        prefixes.block_hashes(prompt),
    )
