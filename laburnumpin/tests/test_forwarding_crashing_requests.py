"""Requests of a small plain service that end the upstreams that run them."""

from __future__ import annotations

import functools

import pytest

from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import withholding
from laburnumpin.tests import engine_fleet
from laburnumpin.tests import forwarding_builders as build

# The platform's bound: after the third end and this time, three sends.
BOUND_ENDS = 3
CONTACT_MS = 3_000
MAX_LATE_SENDS = 3
END_MS = 26_000
SEEDS = range(4)
POPULAR_KEY = 5
CRASHING_KEY = 0xBAD

CALLS = build.calls(objective_ms=400)
ORDERS = build.route(
    "orders", service=build.PLAIN_SERVICE, is_stream=False, max_attempts=1
)


class Service(engine_fleet.EngineFleet):
    """A plain service; a caller repeats a request once, at another entry."""

    def __init__(
        self,
        seed: int,
        entries: int = 9,
        upstreams: int = 3,
        route: deployment.Route = CALLS,
    ) -> None:
        super().__init__(seed, entries, upstreams, route)
        self._keys: dict[str, int] = {}
        self._repeated: set[str] = set()
        # When a key was withheld, by key.
        self.withheld_ms: dict[int, list[int]] = {}
        self.crashing_keys = {CRASHING_KEY}

    def request(self, key: int, *, is_repeat: bool = False) -> None:
        """Let a request with a key arrive at a random entry."""
        number = next(self._numbers)
        request = build.request(
            f"r{number}",
            route=self.route,
            service=build.PLAIN_SERVICE,
            arrived_ms=self.now_ms,
            deadline_ms=self.now_ms + 2_000,
            key=key,
        )
        assert isinstance(request, requests.Request)
        self._keys[request.request_id] = key
        if is_repeat:
            self._repeated.add(request.request_id)
        name = self.random.choice(self.names)
        is_crashing = key in self.crashing_keys
        self.accept(name, request, is_crashing=is_crashing)

    def on_reject(self, effect: effects.Reject) -> None:
        """Let the caller repeat the request once, as it was told."""
        key = self._keys[effect.request_id]
        if effect.reason is effects.Reason.WITHHELD:
            self.withheld_ms.setdefault(key, []).append(self.now_ms)
        may_repeat = self.route.may_repeat or effect.not_run
        if effect.request_id in self._repeated or not may_repeat:
            return
        delay_ms = min(effect.retry_after_ms or 0, 600)
        self.at(
            self.now_ms + delay_ms,
            functools.partial(self.request, key, is_repeat=True),
        )

    def start_requests(
        self, start_ms: int, rate_per_s: float, key: int = 0
    ) -> None:
        """Schedule requests with one key, or with one each."""
        at_ms = float(start_ms)
        while True:
            at_ms += self.random.expovariate(rate_per_s / 1_000)
            if at_ms >= END_MS:
                return
            own_key = key or 1_000_000 + next(self._numbers)
            self.at(at_ms, functools.partial(self.request, own_key))

    def late_sends(self) -> int:
        """Return the sends of the crashing key beyond the bound's time."""
        if len(self.ended_ms) < BOUND_ENDS:
            return 0
        since_ms = self.ended_ms[BOUND_ENDS - 1] + CONTACT_MS
        return sum(at_ms > since_ms for at_ms, _ in self.crashing_sends)


def _service(seed: int, **changes: object) -> Service:
    service = Service(seed, **changes)  # type: ignore[arg-type]
    service.start_ticks(END_MS)
    service.start_requests(300, 15.0)
    service.start_requests(300, 4.0, POPULAR_KEY)
    return service


# Incident second1: 4 and 10 sends beyond those allowed.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("route", [CALLS, ORDERS], ids=["calls", "orders"])
@pytest.mark.parametrize("rate", [0.3, 2.0])
def test_request_that_ends_upstreams_is_withheld_by_all_entries(
    seed: int, route: deployment.Route, rate: float
) -> None:
    service = _service(seed, route=route)
    service.start_requests(2_000, rate, CRASHING_KEY)
    service.run_until(END_MS)
    assert service.late_sends() <= MAX_LATE_SENDS


@pytest.mark.parametrize("seed", SEEDS)
def test_other_requests_are_served_soon_after(seed: int) -> None:
    service = _service(seed)
    service.start_requests(2_000, 2.0, CRASHING_KEY)
    service.run_until(END_MS)
    # The upstreams are back, and what ended with the harmful request is tried.
    since_ms = service.ended_ms[BOUND_ENDS - 1]
    since_ms += engine_fleet.REPLACE_MS + CONTACT_MS
    late = [
        o for o in service.sound if since_ms < o.arrived_ms < END_MS - 1_000
    ]
    assert late
    assert all(outcome.served for outcome in late)


@pytest.mark.parametrize("seed", range(2))
def test_fleet_with_relays_withholds_a_request_within_the_bound(
    seed: int,
) -> None:
    service = _service(seed, entries=40, upstreams=12)
    service.start_requests(2_000, 3.0, CRASHING_KEY)
    service.run_until(END_MS)
    assert service.late_sends() <= MAX_LATE_SENDS


@pytest.mark.parametrize("seed", range(3))
def test_request_is_withheld_although_digests_are_lost(seed: int) -> None:
    service = _service(seed)
    service.start_requests(2_000, 2.0, CRASHING_KEY)
    service.loses_digest = lambda _s, _r: service.random.random() < 0.5
    service.run_until(END_MS)
    assert service.late_sends() <= MAX_LATE_SENDS


@pytest.mark.parametrize("seed", range(3))
def test_entries_that_restart_in_turn_go_on_withholding_it(seed: int) -> None:
    service = _service(seed)
    service.start_requests(2_000, 2.0, CRASHING_KEY)
    for number, name in enumerate(service.names):
        at_ms = 7_000 + 1_500 * number
        service.at(at_ms, functools.partial(service.start_entry, name))
    service.run_until(END_MS)
    assert service.late_sends() <= MAX_LATE_SENDS


@pytest.mark.parametrize("seed", range(3))
def test_new_entries_withhold_it_beside_those_of_the_release_before(
    seed: int,
) -> None:
    service = _service(seed)
    service.start_requests(2_000, 2.0, CRASHING_KEY)
    old = set(service.names[:3])
    service.remove_from_digests("j", old)
    service.run_until(END_MS)
    ended_ms = [
        at_ms
        for at_ms, name in zip(service.ended_ms, service.ended_by, strict=True)
        if name not in old
    ]
    late = [
        at_ms
        for at_ms, name in service.crashing_sends
        if name not in old and at_ms > ended_ms[2] + CONTACT_MS
    ]
    assert len(late) <= MAX_LATE_SENDS


# Three upstreams that end for another reason while they serve a popular page
# must not withhold it for long.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("gap_ms", [0, 150, 400, 1_500])
def test_popular_page_is_not_withheld_for_long(seed: int, gap_ms: int) -> None:
    service = _service(seed)
    for number in range(3):
        service.at(4_000 + gap_ms * number, lambda: service.end_engines(0.34))
    service.run_until(END_MS)
    withheld_ms = service.withheld_ms.get(POPULAR_KEY, [])
    last_end_ms = service.ended_ms[-1]
    limit_ms = part_losses.WithholdingSettings().doubt_withhold_ms
    assert all(
        at_ms <= last_end_ms + limit_ms + CONTACT_MS for at_ms in withheld_ms
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_power_losses_withhold_no_request(seed: int) -> None:
    service = _service(seed)
    for at_ms in range(3_000, END_MS - 5_000, 6_000):
        service.at(at_ms, lambda: service.end_engines(1.0))
    service.run_until(END_MS)
    assert not service.withheld_ms


def test_success_clears_a_request() -> None:
    losses = part_losses.PartLosses(part_losses.WithholdingSettings())
    suspect = part_losses.suspect_id(7)
    for number in range(3):
        losses.record_loss(
            number, (suspect,), 1_000 * number, service="s", ran_ms=50
        )
    assert losses.find_withheld((suspect,)) is not None
    losses.record_answer((suspect,), 3_000, is_complete=True, service="s")
    assert losses.find_withheld((suspect,)) is None


def test_request_is_withheld_briefly_while_its_service_answers_nothing() -> (
    None
):
    settings = part_losses.WithholdingSettings()
    losses = part_losses.PartLosses(settings)
    suspect = part_losses.suspect_id(7)
    for number in range(3):
        losses.record_loss(
            number, (suspect,), 1_000 * number, service="s", ran_ms=50
        )
    (withheld,) = losses.withheld()
    assert withheld.until_ms == 2_000 + settings.doubt_withhold_ms
    assert withholding.retry_after_ms(withheld, 2_500) == 2_500
    # An answer of another service shows nothing.
    losses.record_answer((1,), 2_500, is_complete=True, service="t")
    assert losses.withheld() == (withheld,)
    losses.record_answer((1,), 2_600, is_complete=True, service="s")
    (withheld,) = losses.withheld()
    assert withheld.until_ms == 2_000 + settings.first_withhold_ms


# In incident second1, repeats ended three upstreams 60 to 150 ms apart.
@pytest.mark.parametrize(("ran_ms", "is_withheld"), [(35, True), (500, False)])
def test_repeats_that_began_after_the_loss_before_count_each(
    ran_ms: int, is_withheld: bool
) -> None:
    losses = part_losses.PartLosses(part_losses.WithholdingSettings())
    suspect = part_losses.suspect_id(7)
    for number in range(3):
        losses.record_loss(
            number, (suspect,), 1_000 + 40 * number, service="s", ran_ms=ran_ms
        )
    losses.record_answer((1,), 1_200, is_complete=True, service="s")
    assert (losses.find_withheld((suspect,)) is not None) is is_withheld


def test_generation_is_blamed_by_itself_not_by_its_parts() -> None:
    losses = part_losses.PartLosses(part_losses.WithholdingSettings())
    suspect = part_losses.suspect_id(7)
    for number in range(3):
        at_ms = 1_000 * number
        losses.record_loss(
            number, (suspect, 1, 2), at_ms, service="s", ran_ms=50
        )
        losses.record_answer((3,), at_ms + 9, is_complete=True, service="s")
    assert losses.find_withheld((suspect, 1, 2)) is not None
    assert losses.find_withheld((part_losses.suspect_id(8), 1, 2)) is None


def test_rows_of_requests_survive_their_encoding() -> None:
    losses = part_losses.PartLosses(part_losses.WithholdingSettings())
    suspect = part_losses.suspect_id(2**64 - 1)
    losses.record_loss(1, (suspect, 4), 1_000, service="s", ran_ms=50)
    rows = losses.all_request_rows(1_500)
    encoded = part_losses.encode_request_rows(rows)
    assert part_losses.decode_request_rows(encoded) == rows
    # Those of parts are as the release before knows them.
    assert losses.all_rows(1_500) == ((4, False, ((1, 500, False),)),)
