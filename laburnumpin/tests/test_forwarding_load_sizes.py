"""Tests of load balancing with prompts of very different sizes.

Short prompts must not queue behind long ones. A fifth of the prompts takes most
of the engine time, some of them a hundred times as much as a short one, and
digests report only at long intervals what other entries have sent where; in
large fleets these are about 700 ms.
"""

from __future__ import annotations

import heapq
import random

import pytest

from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import gossip
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import size_classes
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding.capacity import model
from laburnumpin.tests import forwarding_builders as build

ENTRIES = 40
ENGINES = 30
DURATION_MS = 9_000
SHORT_OBJECTIVE_MS = 500
LONG_OBJECTIVE_MS = 1_000
# Mean size of short prompts, and scale and maximum of long ones, as in the
# deployments.
SHORT_TOKENS = 2_300
LONG_TOKENS = 12_000
LONGEST_TOKENS = 55_000
LONG_SHARE = 0.2


class _Engine:
    """Reads prompts one after the other, `slowdown` times as slowly."""

    def __init__(self) -> None:
        self.free_ms = 0.0
        self.slowdown = 1.0

    def first_event_ms(self, now_ms: float, tokens: int) -> float:
        read_ms = tokens / model.START_TOKENS_PER_MS * self.slowdown
        self.free_ms = max(self.free_ms, now_ms) + read_ms
        return self.free_ms + model.START_FIXED_MS * self.slowdown


class _Simulation:
    """Simulates entries that share engines, with random request arrivals."""

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
        mean_tokens = (1 - LONG_SHARE) * SHORT_TOKENS + LONG_SHARE * LONG_TOKENS
        engine_ms = mean_tokens / model.START_TOKENS_PER_MS
        self.arrivals_per_ms = utilization * ENGINES / engine_ms
        self.first_event_delays_ms: dict[bool, list[float]] = {
            False: [],
            True: [],
        }
        self._queue: list[tuple[float, int, events.Event, int]] = []
        self._count = 0

    def _schedule(self, at_ms: float, event: events.Event, entry: int) -> None:
        self._count += 1
        heapq.heappush(self._queue, (at_ms, self._count, event, entry))

    def _tokens(self) -> int:
        if self.random.random() < LONG_SHARE:
            drawn = self.random.lognormvariate(0.0, 1.0) * LONG_TOKENS / 1.65
            return int(min(LONGEST_TOKENS, max(4_200, drawn)))
        return int(self.random.uniform(0.4, 1.6) * SHORT_TOKENS)

    def run(self) -> None:
        """Simulate the load in steps of 50 ms."""
        next_ms = 0.0
        for now_ms in range(0, DURATION_MS, 50):
            self._tick(now_ms)
            while next_ms < now_ms + 50:
                self._deliver(next_ms)
                self._arrive(int(next_ms))
                next_ms += self.random.expovariate(self.arrivals_per_ms)
            self._deliver(now_ms + 50)

    def _tick(self, now_ms: int) -> None:
        for entry in self.entries:
            for effect in gossip.on_tick(entry, events.Ticked(now_ms, now_ms)):
                if not isinstance(effect, effects.SendDigest):
                    continue
                for other in self.entries:
                    if other is entry:
                        continue
                    received = events.DigestReceived(now_ms, effect.digest)
                    reducer.reduce(other, received)

    def _deliver(self, until_ms: float) -> None:
        while self._queue and self._queue[0][0] <= until_ms:
            _, _, event, entry = heapq.heappop(self._queue)
            reducer.reduce(self.entries[entry], event)

    def _arrive(self, now_ms: int) -> None:
        self._count += 1
        request_id = f"r{self._count}"
        entry_index = self.random.randrange(ENTRIES)
        tokens = self._tokens()
        request = build.request(
            request_id,
            prompt=build.prompt(tokens, self._count),
            arrived_ms=now_ms,
            deadline_ms=now_ms + 15_000,
        )
        state: forwarding_state.ForwardingState = self.entries[entry_index]
        (effect,) = reducer.reduce(
            state, events.RequestArrived(now_ms, request)
        )
        assert isinstance(effect, effects.Send)
        engine = self.engines[effect.upstream_id]
        first_ms = engine.first_event_ms(now_ms, tokens)
        if now_ms > 3_000:  # The class shares are known by then.
            is_long = size_classes.size_class(request) > 0
            self.first_event_delays_ms[is_long].append(first_ms - now_ms)
        at_ms = int(first_ms)
        self._schedule(
            at_ms, events.FirstEvent(at_ms, at_ms, request_id), entry_index
        )
        end_ms = at_ms + 400
        self._schedule(
            end_ms, events.RequestEnded(end_ms, request_id, True), entry_index
        )

    def share_in_time(self, *, is_long: bool) -> float:
        """Return the share of requests that met their latency objective."""
        objective_ms = LONG_OBJECTIVE_MS if is_long else SHORT_OBJECTIVE_MS
        first_event_delays_ms = self.first_event_delays_ms[is_long]
        return sum(
            1 for delay_ms in first_event_delays_ms if delay_ms <= objective_ms
        ) / len(first_event_delays_ms)


@pytest.mark.parametrize("seed", [1, 2])
def test_short_prompts_do_not_wait_behind_long_ones(seed: int) -> None:
    # At a utilization of one half, which is the target of the autoscaler.
    simulation = _Simulation(seed, 0.5)
    simulation.run()
    assert simulation.share_in_time(is_long=False) >= 0.98
    assert simulation.share_in_time(is_long=True) >= 0.85


def test_slow_engine_is_avoided_by_all_entries() -> None:
    # One engine takes four times as long, although it is registered as ready.
    simulation = _Simulation(3, 0.4)
    slow_engine = simulation.engines["i-0"]
    slow_engine.slowdown = 4.0
    simulation.run()
    assert simulation.share_in_time(is_long=False) >= 0.95
    assert simulation.share_in_time(is_long=True) >= 0.85
