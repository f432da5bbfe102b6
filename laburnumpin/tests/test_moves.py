"""Tests of moves of streams off engines that are about to be reclaimed."""

from __future__ import annotations

from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import messages
from laburnumpin.core import moves
from laburnumpin.tests import simulation


def _stream(world: simulation.World, max_tokens: int) -> effects.Dispatch:
    """Start a stream that delivers one token and does not end."""
    world.faults.upstreams_silent = True
    world.submit("entry-0", "x", service="model")
    world.run(40)
    dispatch = world.dispatches[-1][2]
    request = world.request("entry-0", dispatch.request_id)
    request.max_tokens = max_tokens
    chunk = messages.Chunk(0, 1, simulation.text_of(dispatch.request_id, 0))
    world.deliver(
        "entry-0", events.AttemptOutput(0, dispatch.attempt_id, chunk)
    )
    return dispatch


def _notify(
    world: simulation.World, upstream_id: str, remaining_ms: int
) -> None:
    notice = events.Notice(upstream_id, 1, remaining_ms)
    world.deliver("entry-0", events.NoticesListed(0, (notice,)))


def test_stream_that_outlasts_the_notice_moves_with_its_cache() -> None:
    """Guards against tokens that are recomputed after a reclaim."""
    world = simulation.World(1)
    first = _stream(world, 100_000)
    _notify(world, first.upstream_id, 5_000)
    world.run(2_000)
    second = world.dispatches[-1][2]
    assert second.upstream_id != first.upstream_id
    assert (second.offset, second.recompute) == (1, False)
    assert [copied.request_id for copied in world.imports] == [first.request_id]


def test_stream_that_ends_within_the_notice_stays() -> None:
    """Guards against moves of streams that end before the reclaim."""
    world = simulation.World(1)
    first = _stream(world, 2)
    _notify(world, first.upstream_id, 60_000)
    world.run(2_000)
    assert world.imports == []
    assert world.dispatches[-1][2] is first


def test_failed_import_leaves_the_stream_running_and_is_retried() -> None:
    """Guards against a stream that ends because its import failed."""
    world = simulation.World(1)
    first = _stream(world, 100_000)
    entry = world.entries["entry-0"]
    request = world.request("entry-0", first.request_id)
    _notify(world, first.upstream_id, 30_000)
    entry.moves.next_check_ms = 0
    started = moves.on_tick(entry, events.Tick(world.now_ms))
    assert len(started) == 1
    target = request.importing_to
    assert target is not None
    world.deliver(
        "entry-0", events.CacheImported(0, first.request_id, target, False)
    )
    assert request.attempt is not None
    assert request.attempt.attempt_id == first.attempt_id
    world.run(moves.IMPORT_RETRY_PERIOD_MS + 1_000)
    assert world.dispatches[-1][2].upstream_id != first.upstream_id
