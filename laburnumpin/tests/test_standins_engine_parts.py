"""Tests of the engine stand-in's parts without I/O."""

from __future__ import annotations

from laburnumpin.core import deployment
from laburnumpin.core import prefixes
from laburnumpin.standins import batching
from laburnumpin.standins import engine_documents
from laburnumpin.standins import orders
from laburnumpin.standins import prefix_cache

BULK = deployment.Priority.BULK
INTERACTIVE = deployment.Priority.INTERACTIVE


def _run_until_idle(batch: batching.Batch) -> list[str]:
    ended = []
    while batch.step_end_ms is not None:
        for generation in batch.advance(int(batch.step_end_ms + 1)):
            if generation.phase is batching.Phase.ENDED:
                ended.append(generation.request_id)
    return ended


def test_step_time_grows_with_the_running_count() -> None:
    """Guards against steps whose duration ignores the running generations."""
    batch = batching.Batch(batching.BatchSettings())
    for number in range(20):
        batch.submit(f"r{number}", "", 2, BULK, now_ms=0)
    batch.advance(9)
    assert (batch.running_count, batch.waiting_count) == (16, 4)
    assert batch.step_end_ms == 9 + 8 + 16
    batch.advance(33)
    assert batch.last_step_ms == 24


def test_prefill_of_cached_blocks_is_not_computed_again() -> None:
    """Guards against a prefix cache that does not reduce the prefill."""
    batch = batching.Batch(batching.BatchSettings())
    prompt = "x" * 1_000
    first = batch.submit("a", prompt, 1, BULK, now_ms=0)
    assert batch.step_end_ms == 8 + 1 + 250 / 8
    _run_until_idle(batch)
    second = batch.submit("b", prompt, 1, BULK, now_ms=1_000)
    _run_until_idle(batch)
    assert first.computed_tokens == 250 + 1
    assert second.cached_prompt_tokens == 192
    assert second.computed_tokens == 250 - 192 + 1


def test_prefill_beside_streams_is_bounded() -> None:
    """Guards against a long prefill that delays the decoding streams."""
    batch = batching.Batch(batching.BatchSettings())
    batch.submit("short", "", 100, BULK, now_ms=0)
    batch.submit("long", "x" * 40_000, 1, BULK, now_ms=0)
    batch.advance(9)
    assert batch.step_end_ms == 9 + 8 + 2 + 8


def test_interactive_starts_before_waiting_bulk() -> None:
    """Guards against interactive requests that wait behind bulk requests."""
    batch = batching.Batch(batching.BatchSettings(slots=1))
    batch.submit("running", "", 2, BULK, now_ms=0)
    batch.submit("bulk", "", 2, BULK, now_ms=0)
    batch.submit("urgent", "", 2, INTERACTIVE, now_ms=0)
    assert _run_until_idle(batch) == ["running", "urgent", "bulk"]


def test_interactive_prompt_is_computed_before_bulk_prompts() -> None:
    """Guards against a long bulk prefill that delays an interactive one.

    Both prompts share the bounded prefill of a step with decoding streams.
    """
    batch = batching.Batch(batching.BatchSettings())
    batch.submit("running", "", 1_000, BULK, now_ms=0)
    batch.submit("bulk", "x" * 40_000, 1, BULK, now_ms=0)
    batch.advance(9)
    batch.submit("urgent", "x" * 256, 1, INTERACTIVE, now_ms=10)
    batch.advance(9 + 8 + 2 + 8)
    assert batch.generations["bulk"].remaining_prefill_tokens == 10_000 - 64
    batch.advance(27 + 8 + 3 + 8)
    assert batch.generations["urgent"].phase is batching.Phase.ENDED
    assert batch.generations["bulk"].remaining_prefill_tokens == 10_000 - 64


def test_paused_batch_does_not_compute_the_missed_steps() -> None:
    """Guards against a burst of tokens after a pause of the process."""
    batch = batching.Batch(batching.BatchSettings())
    generation = batch.submit("a", "", 1_000, BULK, now_ms=0)
    batch.advance(5_000)
    assert generation.produced_tokens == 1


def test_unread_generation_expires_after_the_retention_time() -> None:
    """Guards against generations that expire too early or never."""
    batch = batching.Batch(batching.BatchSettings(retention_ms=100))
    generation = batch.submit("a", "", 1_000, BULK, now_ms=0)
    batch.attach_reader(generation, 0)
    assert batch.expire(10_000) == []
    batch.detach_reader(generation, 10_000)
    assert batch.expire(10_099) == []
    assert batch.expire(10_100) == [generation]
    assert batch.running_count == 0


def test_loading_engine_computes_nothing() -> None:
    """Guards against output while the model is being loaded."""
    batch = batching.Batch(batching.BatchSettings())
    batch.begin_model_load(0)
    batch.submit("a", "", 1, BULK, now_ms=1)
    assert batch.step_end_ms is None
    batch.end_model_load(500)
    assert _run_until_idle(batch) == ["a"]


def test_full_cache_evicts_the_ends_of_old_prompts_first() -> None:
    """Guards against cached blocks whose preceding blocks were evicted."""
    cache = prefix_cache.PrefixCache(4)
    old = prefixes.block_hashes("a" * 256 * 3)
    cache.add(old, now_ms=0)
    cache.add(prefixes.block_hashes("b" * 256 * 2), now_ms=1)
    assert len(cache) == 4
    assert cache.match(old) == 2
    events = cache.log.read_from(0, now_ms=1, delay_ms=0)
    assert (events.first_sequence, events.next_sequence) == (0, 6)
    assert len(events.added) == 4
    assert events.removed == (old[2],)


def test_gap_and_delay_of_cache_events() -> None:
    """Guards against lost events that leave no gap in the numbers."""
    log = prefix_cache.CacheEventLog()
    log.append("a", True, now_ms=0)
    log.drop_next(2)
    for block in ("b", "c", "d"):
        log.append(block, True, now_ms=10)
    first = log.read_from(0, now_ms=15, delay_ms=10)
    assert (first.next_sequence, first.added) == (1, ("a",))
    hidden = log.read_from(1, now_ms=15, delay_ms=10)
    assert (hidden.first_sequence, hidden.next_sequence) == (1, 1)
    late = log.read_from(1, now_ms=20, delay_ms=10)
    assert (late.first_sequence, late.next_sequence) == (3, 4)
    assert late.added == ("d",)


def test_only_engines_with_fencing_reject_stale_orders() -> None:
    """Guards against fencing that ignores `checks_fencing`.

    An engine without the check has to apply stale orders. If it refused
    them, the stand-in would hide that such an engine has no fencing.
    """
    newer = engine_documents.Order(5, model="m", role="draft")
    older = engine_documents.Order(4, model="n", role="draft")
    for checks_fencing in (True, False):
        settings = engine_documents.EngineSettings(
            checks_fencing=checks_fencing
        )
        engine_orders = orders.Orders(settings)
        engine_orders.apply(newer, is_busy=False)
        engine_orders.apply(older, is_busy=False)
        assert engine_orders.model == ("m" if checks_fencing else "n")


def test_order_does_not_interrupt_running_generations() -> None:
    """Guards against a model change that interrupts running generations."""
    engine_orders = orders.Orders(engine_documents.EngineSettings())
    order = engine_documents.Order(1, model="m")
    assert engine_orders.apply(order, True) is orders.OrderAnswer.BUSY
    assert engine_orders.model == ""
