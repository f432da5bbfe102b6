"""Tests of the approximate index of cached prefixes."""

from __future__ import annotations

from laburnumpin.core import deployment
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import prefixes
from laburnumpin.core import requests
from laburnumpin.core import state as entry_state
from laburnumpin.core import upstreams
from laburnumpin.tests import builders

_PROMPT = "".join(f"{number:08d}" for number in range(128))
_BLOCKS = prefixes.block_hashes(_PROMPT)
_ALL_TOKENS = len(_BLOCKS) * prefixes.TOKENS_PER_BLOCK


def make_state(count: int = 1) -> entry_state.EntryState:
    state = entry_state.EntryState(ids.EntryId("e0", 1), "north", "e0:1", 7)
    state.configuration.current = deployment.Configuration(
        1, "change", "", builders.make_deployment()
    )
    rows = []
    for number in range(count):
        rows.append(
            events.VmRow(
                f"u{number}",
                1,
                events.VmRole.UPSTREAM,
                "north",
                "gpu",
                True,
                False,
                "draft",
            )
        )
    upstreams.on_vms_listed(state, events.VmsListed(0, tuple(rows)))
    return state


def report_cache_events(
    state: entry_state.EntryState,
    first_sequence: int,
    next_sequence: int,
    added: tuple[str, ...] = (),
    removed: tuple[str, ...] = (),
    now_ms: int = 1,
    vm_id: str = "u0",
) -> None:
    prefixes.on_cache_events(
        state,
        events.CacheEventsReported(
            now_ms, vm_id, first_sequence, next_sequence, added, removed
        ),
    )


def complete(state: entry_state.EntryState, now_ms: int = 1) -> None:
    current = state.configuration.current
    assert current is not None
    service = current.deployment.services["draft"]
    request = requests.Request(
        request_id="e0.1.1",
        customer="acme",
        service=service,
        operation=service.operations["write"],
        body="",
        prompt=_PROMPT,
        prompt_tokens=_ALL_TOKENS,
        max_tokens=1,
        blocks=_BLOCKS,
        idempotency_key=None,
        accepted_ms=0,
        deadline_ms=10**9,
        priority=deployment.Priority.BULK,
        configuration=current,
        last_upstream_id="u0",
    )
    prefixes.on_completed(state, request, now_ms)


def cached(state: entry_state.EntryState, now_ms: int = 2) -> int:
    return prefixes.cached_tokens(state, "u0", _BLOCKS, now_ms)


def test_hash_of_a_block_depends_on_all_before_it() -> None:
    """Guards against matching equal blocks that follow different text."""
    changed = "x" + _PROMPT[1:]
    assert not set(prefixes.block_hashes(changed)) & set(_BLOCKS)
    assert prefixes.block_hashes(_PROMPT + "tail") == _BLOCKS


def test_prefix_ends_at_the_first_unknown_block() -> None:
    """Guards against counting cached tokens after a missing block."""
    state = make_state()
    report_cache_events(state, 0, 3, added=(_BLOCKS[0], *_BLOCKS[2:]))
    assert cached(state) == prefixes.TOKENS_PER_BLOCK
    report_cache_events(state, 3, 4, added=_BLOCKS[1:2])
    assert cached(state) == _ALL_TOKENS
    report_cache_events(state, 4, 5, removed=_BLOCKS[:1])
    assert cached(state) == 0


def test_polls_continue_after_the_last_event() -> None:
    """Guards against polls that read all cache events each time."""
    state = make_state()
    report_cache_events(state, 0, 7, added=_BLOCKS)
    assert state.upstreams.by_id["u0"].cache_sequence == 7


def test_gap_drops_reported_blocks_but_not_those_of_own_requests() -> None:
    """Guards against blocks that were removed in the missed events."""
    state = make_state()
    report_cache_events(state, 0, 4, added=_BLOCKS)
    report_cache_events(state, 9, 10)
    assert cached(state) == 0
    assert state.counters.value("prefix_index_dropped", "gap") == 1
    complete(state)
    report_cache_events(state, 20, 21)
    assert cached(state) == _ALL_TOKENS
    report_cache_events(state, 21, 22, removed=_BLOCKS[1:])
    assert cached(state) == prefixes.TOKENS_PER_BLOCK


def test_first_events_of_a_trimmed_log_are_no_gap() -> None:
    """Guards against counting a gap at an entry that has just started."""
    state = make_state()
    report_cache_events(state, 500, 504, added=_BLOCKS)
    assert cached(state) == _ALL_TOKENS
    assert state.counters.value("prefix_index_dropped", "gap") == 0


def test_restarted_sequence_starts_over() -> None:
    """Guards against an index that ignores all events of a new process."""
    state = make_state()
    report_cache_events(state, 0, 400, added=_BLOCKS)
    report_cache_events(state, 3, 4)
    assert cached(state) == 0
    assert state.upstreams.by_id["u0"].cache_sequence == 0


def test_blocks_expire() -> None:
    """Guards against counting prefixes that the engine evicted long ago."""
    state = make_state()
    report_cache_events(state, 0, 4, added=_BLOCKS)
    assert cached(state, 1 + prefixes.BLOCK_MAX_AGE_MS) == _ALL_TOKENS
    assert cached(state, 2 + prefixes.BLOCK_MAX_AGE_MS) == 0


def test_index_is_bounded_over_all_upstreams() -> None:
    """Guards against memory use that grows with engines and cache sizes."""
    state = make_state(count=8)
    size = prefixes.MAX_BLOCKS
    for number in range(8):
        blocks = tuple(f"{number}-{block}" for block in range(size // 4))
        report_cache_events(
            state, 0, len(blocks), added=blocks, vm_id=f"u{number}"
        )
    for number in range(8):
        report_cache_events(state, size, size, added=("x",), vm_id=f"u{number}")
    total = 0
    for upstream_blocks in state.prefixes.blocks.values():
        total += len(upstream_blocks.reported) + len(upstream_blocks.used)
    assert total <= size


def test_new_incarnation_and_unknown_upstream_have_no_index() -> None:
    """Guards against blocks of a process that no longer exists."""
    state = make_state()
    report_cache_events(state, 0, 4, added=_BLOCKS)
    report = events.LoadReport(2, 0, 0, 0, 8, 0, 10.0, False)
    upstreams.on_load_reported(state, events.LoadReported(2, "u0", report))
    assert cached(state) == 0
    report_cache_events(state, 0, 4, added=_BLOCKS, vm_id="gone")
    assert "gone" not in state.prefixes.blocks
