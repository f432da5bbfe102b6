"""Measurements of the cost of an entry's control plane per item.

Every measurement drives the real reducer with events for several numbers of
items and takes the CPU time, the memory or the bytes of each. The cost per
item is the slope of a least-squares line; its spread is the largest deviation
of a repetition from the line, relative to the line's largest value.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import gc
import statistics
import time
import tracemalloc
from typing import Protocol

from laburnumpin import operator
from laburnumpin.config import loading
from laburnumpin.core import deployment
from laburnumpin.core import digests
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import messages
from laburnumpin.core import reducer
from laburnumpin.core import state

UPSTREAM_COUNTS = (10, 100, 1_000, 10_000)
MEMBER_COUNTS = (9, 90, 900, 2_600)
REQUEST_COUNTS = (10, 100, 500, 1_000)
PLACEMENT_COUNTS = (10, 50, 100, 200)
ANSWER_TOKENS = 50
REPETITIONS = 5
TICKS_PER_S = 1_000 // events.TICK_MS
ZONE_COUNT = 15


class Encoder(Protocol):
    """Encodes a peer message for the link."""

    def __call__(self, message: messages.Message) -> bytes:
        """Return the encoded message."""


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """One repetition with `size` items; `value` is in the slope's unit."""

    size: int
    value: float


@dataclasses.dataclass(slots=True, frozen=True)
class Slope:
    """A cost as a fitted line over the number of items.

    `per` names the item, `base` is the cost without items and `per_item` the
    cost of each, both in `unit`. `spread` is the largest deviation of a sample
    from the line, relative to the line's value at the largest size.
    """

    name: str
    unit: str
    per: str
    base: float
    per_item: float
    spread: float
    samples: tuple[Sample, ...]

    def at(self, size: int) -> float:
        """Return the value of the line for `size` items."""
        return self.base + self.per_item * size


def fit(name: str, unit: str, per: str, samples: list[Sample]) -> Slope:
    """Fit a line by least squares."""
    sizes = [float(sample.size) for sample in samples]
    values = [sample.value for sample in samples]
    line = statistics.linear_regression(sizes, values)
    largest_value = max(abs(line.intercept + line.slope * max(sizes)), 1e-12)
    spread = 0.0
    for sample in samples:
        expected = line.intercept + line.slope * sample.size
        spread = max(spread, abs(sample.value - expected) / largest_value)
    return Slope(
        name, unit, per, line.intercept, line.slope, spread, tuple(samples)
    )


def make_deployment(
    services: int = 4, entry_count: int = 2_600
) -> deployment.Deployment:
    """Return a deployment of the design size: 15 zones in 5 regions."""
    zones = {}
    placements = []
    service_by_name = {}
    for number in range(ZONE_COUNT):
        name = f"zone-{number}"
        zones[name] = deployment.Zone(name, name, f"region-{number // 3}")
    for number in range(services):
        service = f"service-{number}"
        operation = deployment.Operation("run")
        service_by_name[service] = deployment.Service(
            service, deployment.ServiceKind.MODEL, {"run": operation}, "m", "1"
        )
        for zone in zones:
            placements.append(
                deployment.Placement(
                    service, zone, "gpu", True, 0, 1_000, 1.0, 64
                )
            )
    return deployment.Deployment(
        "capacity",
        zones,
        service_by_name,
        {"customer": deployment.Customer("customer", ())},
        tuple(placements),
        deployment.Policy(),
        entry_count,
    )


def make_entry() -> state.EntryState:
    """Return a serving entry with the deployment of the design size."""
    entry = state.EntryState(ids.EntryId("entry-0", 1), "zone-0", "a:1", 1)
    entry.configuration.current = deployment.Configuration(
        1, "c", "", make_deployment()
    )
    reducer.reduce(entry, events.Tick(0))
    return entry


def upstream_rows(count: int) -> tuple[events.VmRow, ...]:
    """Return VM list rows of upstreams, spread over zones and services."""
    rows = []
    for number in range(count):
        rows.append(
            events.VmRow(
                f"upstream-{number}",
                1,
                events.VmRole.UPSTREAM,
                f"zone-{number % ZONE_COUNT}",
                "gpu",
                True,
                False,
                service=f"service-{number % 4}",
                address=f"10.0.{number // 250}.{number % 250}:8000",
            )
        )
    return tuple(rows)


def entry_rows(count: int) -> tuple[events.VmRow, ...]:
    """Return VM list rows of peer entries, spread over zones."""
    rows = []
    for number in range(1, count + 1):
        rows.append(
            events.VmRow(
                f"entry-{number}",
                1,
                events.VmRole.ENTRY,
                f"zone-{number % ZONE_COUNT}",
                "small",
                True,
                False,
                peer_address=f"10.1.{number // 250}.{number % 250}:9000",
            )
        )
    return tuple(rows)


def tick_time(repetitions: int = REPETITIONS) -> Slope:
    """Measure the CPU time of a second of ticks, by number of upstreams.

    Includes load polls and reports, as each poll is answered within the
    second.
    """

    def measure(size: int) -> float:
        entry = make_entry()
        rows = upstream_rows(size)
        reducer.reduce(entry, events.VmsListed(0, rows))
        return _cpu_time(lambda: _second_of_ticks(entry, 1_000))

    return _measure_sizes(
        "tick_time", "s/s", "upstream", UPSTREAM_COUNTS, measure, repetitions
    )


def upstream_memory(repetitions: int = REPETITIONS) -> Slope:
    """Measure the memory of the state kept for upstreams."""

    def measure(size: int) -> float:
        entry = make_entry()
        rows = upstream_rows(size)

        def fill() -> None:
            reducer.reduce(entry, events.VmsListed(0, rows))
            _second_of_ticks(entry, 1_000)

        return _memory_bytes(fill)

    return _measure_sizes(
        "upstream_memory",
        "B",
        "upstream",
        UPSTREAM_COUNTS,
        measure,
        repetitions,
    )


def member_memory(repetitions: int = REPETITIONS) -> Slope:
    """Measure the memory of the state kept for members."""

    def measure(size: int) -> float:
        entry = make_entry()
        rows = entry_rows(size)
        return _memory_bytes(
            lambda: reducer.reduce(entry, events.VmsListed(0, rows))
        )

    return _measure_sizes(
        "member_memory", "B", "member", MEMBER_COUNTS, measure, repetitions
    )


def digest_time(encode: Encoder, repetitions: int = REPETITIONS) -> Slope:
    """Measure the CPU time of a second of digests, by number of members.

    Counts digests that are sent and received, with their encoding.
    """

    def measure(size: int) -> float:
        entry = make_entry()
        reducer.reduce(entry, events.VmsListed(0, entry_rows(size)))
        return _cpu_time(lambda: _second_of_digests(entry, encode))

    return _measure_sizes(
        "digest_time", "s/s", "member", MEMBER_COUNTS, measure, repetitions
    )


def digest_bytes(encode: Encoder, repetitions: int = 1) -> Slope:
    """Measure the bytes of a second of digests, by number of members.

    Counts digests that are sent and received.
    """

    def measure(size: int) -> float:
        entry = make_entry()
        reducer.reduce(entry, events.VmsListed(0, entry_rows(size)))
        return float(_second_of_digests(entry, encode))

    return _measure_sizes(
        "digest_bytes", "B/s", "member", MEMBER_COUNTS, measure, repetitions
    )


def list_time(repetitions: int = REPETITIONS) -> Slope:
    """Measure the CPU time of applying a VM list.

    The list has one peer entry for every four upstreams.
    """

    def measure(size: int) -> float:
        entry = make_entry()
        rows = upstream_rows(size) + entry_rows(size // 4)
        return _cpu_time(
            lambda: reducer.reduce(entry, events.VmsListed(0, rows))
        )

    return _measure_sizes(
        "list_time", "s", "upstream", UPSTREAM_COUNTS, measure, repetitions
    )


def request_time(repetitions: int = REPETITIONS) -> Slope:
    """Measure the core's CPU time for requests with 50 output tokens."""

    def measure(size: int) -> float:
        entry = _serving_entry(size)
        return _cpu_time(lambda: _serve(entry, size))

    return _measure_sizes(
        "request_time", "s", "request", REQUEST_COUNTS, measure, repetitions
    )


def request_memory(repetitions: int = REPETITIONS) -> Slope:
    """Measure the memory of ended requests whose output is retained."""

    def measure(size: int) -> float:
        entry = _serving_entry(size)
        return _memory_bytes(lambda: _serve(entry, size))

    return _measure_sizes(
        "request_memory", "B", "request", REQUEST_COUNTS, measure, repetitions
    )


def document_time(repetitions: int = REPETITIONS) -> Slope:
    """Measure the CPU time to validate a document, by its placements."""

    def measure(size: int) -> float:
        document = _document(size)
        return _cpu_time(lambda: loading.load_document(document))

    return _measure_sizes(
        "document_time",
        "s",
        "placement",
        PLACEMENT_COUNTS,
        measure,
        repetitions,
    )


def _document(placements: int) -> str:
    built = operator.Deployment("capacity", entry_count=1)
    zones = (placements + 3) // 4
    for number in range(zones):
        built.add_zone(f"zone-{number}", data_center="dc", region="region")
    built.add_customer("customer", keys=("key-of-the-customer",))
    for service in range(4):
        built.add_model_service(
            f"service-{service}",
            model="m",
            operations=(operator.Operation("run"),),
        )
        for number in range(zones):
            built.add_placement(
                service=f"service-{service}",
                zone=f"zone-{number}",
                vm_class="gpu",
                reclaimable=True,
                min_vms=0,
                max_vms=10,
                price_per_hour=1.0,
                slots=64,
            )
    return built.document()


def _serving_entry(slots: int) -> state.EntryState:
    entry = make_entry()
    # With one entry, the customer's rate is not divided among entries.
    entry.configuration.current = deployment.Configuration(
        2, "c", "", make_deployment(entry_count=1)
    )
    row = upstream_rows(1)[0]
    reducer.reduce(entry, events.VmsListed(0, (row,)))
    report = dataclasses.replace(_report(0), slots=slots, running=0)
    reducer.reduce(entry, events.LoadReported(900, row.vm_id, report))
    entry.configuration.contact_ms = 1_000
    entry.upstreams.entry_count = 1
    entry.limits.quotas.entry_count = 1
    return entry


def _serve(entry: state.EntryState, count: int) -> None:
    for number in range(count):
        arrived = events.RequestArrived(
            1_000,
            f"x{number}",
            "customer",
            "service-0",
            "run",
            "",
            "prompt " * 40,
            ANSWER_TOKENS,
            None,
            60_000,
            None,
        )
        for effect in reducer.reduce(entry, arrived):
            if isinstance(effect, effects.Dispatch):
                _deliver_answer(entry, effect)
    if entry.counters.total("refusals") or entry.requests.unfinished:
        raise RuntimeError("the measured requests were not all served")


def _deliver_answer(
    entry: state.EntryState, dispatch: effects.Dispatch
) -> None:
    for offset in range(ANSWER_TOKENS):
        chunk = messages.Chunk(offset, offset + 1, "word ")
        reducer.reduce(
            entry, events.AttemptOutput(1_000, dispatch.attempt_id, chunk)
        )
    reducer.reduce(
        entry,
        events.AttemptCompleted(
            1_000, dispatch.attempt_id, ANSWER_TOKENS, 0, ANSWER_TOKENS
        ),
    )


def _second_of_ticks(entry: state.EntryState, start_ms: int) -> None:
    for number in range(TICKS_PER_S):
        now_ms = start_ms + number * events.TICK_MS
        for effect in reducer.reduce(entry, events.Tick(now_ms)):
            if isinstance(effect, effects.PollLoad):
                reducer.reduce(
                    entry,
                    events.LoadReported(
                        now_ms, effect.upstream_id, _report(now_ms)
                    ),
                )


def _report(now_ms: int) -> events.LoadReport:
    return events.LoadReport(
        1, 100, now_ms % 50, 0, 64, 0, 20.0, False, "", "m", "1"
    )


def _second_of_digests(entry: state.EntryState, encode: Encoder) -> int:
    entry.membership.next_digest_ms = 0
    encoded_bytes = 0
    sent_count = 0
    for effect in reducer.reduce(entry, events.Tick(1_000)):
        if not isinstance(effect, effects.SendPeer):
            continue
        encoded_bytes += len(encode(effect.message))
        sent_count += 1
    members = list(entry.membership.by_vm.values())
    for member in members[: 2 * max(sent_count, 1)]:
        digest = messages.Digest(
            member.entry,
            member.digest_sequence + 1,
            member.zone,
            member.peer_address,
            True,
            1,
            0,
            _loads(),
            (),
            (),
            (),
        )
        received = events.PeerReceived(1_000, member.entry.vm_id, digest)
        encoded_bytes += len(encode(digest))
        for effect in reducer.reduce(entry, received):
            if isinstance(effect, effects.SendPeer):
                encoded_bytes += len(encode(effect.message))
    return encoded_bytes


def _loads() -> tuple[messages.UpstreamLoad, ...]:
    rows = []
    for number in range(digests.MAX_LOADS):
        rows.append(messages.UpstreamLoad(f"upstream-{number}", number))
    return tuple(rows)


def _measure_sizes(
    name: str,
    unit: str,
    per: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
    repetitions: int,
) -> Slope:
    samples = []
    for size in sizes:
        for _ in range(repetitions):
            samples.append(Sample(size, measure(size)))
    return fit(name, unit, per, samples)


def _cpu_time(work: Callable[[], object]) -> float:
    gc.collect()
    start = time.process_time()
    work()
    return time.process_time() - start


def _memory_bytes(work: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    work()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(after - before)
