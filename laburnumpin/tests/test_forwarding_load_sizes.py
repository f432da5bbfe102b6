"""Pattern: short prompts among very long ones, at many entries.

A fifth of the prompts takes most of the engines' time, some of them a hundred
times as much as a short one, and each entry learns only every 700 ms what the
others have sent where.
"""

from __future__ import annotations

import heapq
import random

import pytest

from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import gossip
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import size_classes
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.tests import forwarding_builders as build

ENTRIES = 40
ENGINES = 30
DURATION_MS = 9_000
SHORT_OBJECTIVE_MS = 500
LONG_OBJECTIVE_MS = 1_000
# Mean tokens of short prompts and spread of long ones, as in the deployments.
SHORT_TOKENS = 2_300
LONG_TOKENS = 12_000
LONGEST_TOKENS = 55_000
LONG_PART = 0.2


class _Engine:
    """Reads prompts one after the other; a slow one takes longer."""

    def __init__(self) -> None:
        self.free_ms = 0.0
        self.slow = 1.0

    def first_event_ms(self, now_ms: float, tokens: int) -> float:
        read_ms = tokens / selection.PREFILL_TOKENS_PER_MS * self.slow
        self.free_ms = max(self.free_ms, now_ms) + read_ms
        return self.free_ms + selection.FIRST_TOKEN_OVERHEAD_MS * self.slow


class _Load:
    """Entries with the same engines, and requests that arrive at random."""

    def __init__(self, seed: int, utilization: float) -> None:
        self.random = random.Random(seed)
        registrations = []
        for number in range(ENGINES):
            zone = "abc"[number % 3]
            registrations.append(
                build.registration(f"i-{number * 7919:x}", zone=zone, slots=32)
            )
        self.engines = {r.upstream_id: _Engine() for r in registrations}
        self.entries = []
        for number in range(ENTRIES):
            self.entries.append(
                build.state(*registrations, name=f"entry-{number}")
            )
        for number, entry in enumerate(self.entries):
            entry.contact = build.contact(f"entry-{number}")
            for peer in range(ENTRIES):
                contact = build.contact(f"entry-{peer}", f"10.0.0.{peer}:1")
                entry.members.add_entry(contact, 0)
        mean = (1 - LONG_PART) * SHORT_TOKENS + LONG_PART * LONG_TOKENS
        engine_ms = mean / selection.PREFILL_TOKENS_PER_MS
        self.per_ms = utilization * ENGINES / engine_ms
        self.waits: dict[bool, list[float]] = {False: [], True: []}
        self._queue: list[tuple[float, int, events.Event, int]] = []
        self._count = 0

    def _put(self, at_ms: float, event: events.Event, entry: int) -> None:
        self._count += 1
        heapq.heappush(self._queue, (at_ms, self._count, event, entry))

    def _tokens(self) -> int:
        if self.random.random() < LONG_PART:
            drawn = self.random.lognormvariate(0.0, 1.0) * LONG_TOKENS / 1.65
            return int(min(LONGEST_TOKENS, max(4_200, drawn)))
        return int(self.random.uniform(0.4, 1.6) * SHORT_TOKENS)

    def run(self) -> None:
        """Play the load."""
        next_ms = 0.0
        for now_ms in range(0, DURATION_MS, 50):
            self._tick(now_ms)
            while next_ms < now_ms + 50:
                self._deliver(next_ms)
                self._arrive(int(next_ms))
                next_ms += self.random.expovariate(self.per_ms)
            self._deliver(now_ms + 50)

    def _tick(self, now_ms: int) -> None:
        for entry in self.entries:
            for effect in gossip.on_tick(entry, events.Ticked(now_ms, now_ms)):
                if not isinstance(effect, effects.SendDigest):
                    continue
                for other in self.entries:
                    if other is entry:
                        continue
                    heard = events.DigestReceived(now_ms, effect.digest)
                    reducer.reduce(other, heard)

    def _deliver(self, until_ms: float) -> None:
        while self._queue and self._queue[0][0] <= until_ms:
            _, _, event, entry = heapq.heappop(self._queue)
            reducer.reduce(self.entries[entry], event)

    def _arrive(self, now_ms: int) -> None:
        self._count += 1
        request_id = f"r{self._count}"
        place = self.random.randrange(ENTRIES)
        tokens = self._tokens()
        request = build.request(
            request_id,
            prompt=build.prompt(tokens, self._count),
            arrived_ms=now_ms,
            deadline_ms=now_ms + 15_000,
        )
        state: forwarding_state.ForwardingState = self.entries[place]
        (effect,) = reducer.reduce(
            state, events.RequestArrived(now_ms, request)
        )
        assert isinstance(effect, effects.Send)
        engine = self.engines[effect.upstream_id]
        first_ms = engine.first_event_ms(now_ms, tokens)
        if now_ms > 3_000:  # The first readings have been taken by then.
            is_long = size_classes.size_class(request) > 0
            self.waits[is_long].append(first_ms - now_ms)
        at_ms = int(first_ms)
        self._put(at_ms, events.FirstEvent(at_ms, at_ms, request_id), place)
        end_ms = at_ms + 400
        self._put(end_ms, events.RequestEnded(end_ms, request_id, True), place)

    def in_time(self, *, is_long: bool) -> float:
        """Return the part of the requests whose first event was in time."""
        objective_ms = LONG_OBJECTIVE_MS if is_long else SHORT_OBJECTIVE_MS
        waits = self.waits[is_long]
        return sum(1 for wait in waits if wait <= objective_ms) / len(waits)


@pytest.mark.parametrize("seed", [1, 2])
def test_short_prompts_do_not_wait_behind_long_ones(seed: int) -> None:
    # At half of the engines' time, which is what the fleet is ordered for.
    load = _Load(seed, 0.5)
    load.run()
    assert load.in_time(is_long=False) >= 0.98
    assert load.in_time(is_long=True) >= 0.85


def test_slow_engine_is_avoided_by_all_entries() -> None:
    # One engine works four times as long and is as ready as the others.
    load = _Load(3, 0.4)
    slow = load.engines["i-0"]
    slow.slow = 4.0
    load.run()
    assert load.in_time(is_long=False) >= 0.95
    assert load.in_time(is_long=True) >= 0.85
