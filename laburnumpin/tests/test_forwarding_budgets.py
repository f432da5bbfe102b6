"""Tests of the limits that the entries keep together: quotas and retries."""

from __future__ import annotations

import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from laburnumpin.forwarding import budgets
from laburnumpin.forwarding import gossip
from laburnumpin.tests import forwarding_builders as build

WINDOW_MS = 8_000
DIGEST_PERIOD_MS = 200


def _simulate(
    entries: int,
    seconds: int,
    load_factor: float,
    *,
    partitioned: set[int],
    seed: int,
    units: float = 40.0,
    digest_period_ms: int = DIGEST_PERIOD_MS,
    slack_units: float = 0.0,
    load_change: tuple[int, float] | None = None,
) -> list[tuple[int, float]]:
    """Simulate entries that admit one customer's requests.

    Returns the time and units of each admitted request. `load_factor` is the
    requested rate relative to the quota; `load_change` is a time and the
    factor from then on. From 2 s on, `partitioned` entries neither send nor
    receive digests.
    """
    generator = random.Random(seed)
    customer = build.customer(rate_per_s=1_000.0, burst=1_000.0)
    customers = {customer.name: customer}
    quotas = [budgets.Quotas(slack_units) for i in range(entries)]
    admitted: list[tuple[int, float]] = []
    for now_ms in range(0, seconds * 1_000, 20):
        if now_ms % digest_period_ms == 0:
            for sender in range(entries):
                if sender in partitioned and now_ms > 2_000:
                    continue
                for receiver in range(entries):
                    if receiver == sender:
                        continue
                    if receiver in partitioned and now_ms > 2_000:
                        continue
                    quotas[receiver].apply_peer_usage(
                        f"e{sender}",
                        1,
                        quotas[sender].used(),
                        customers,
                        now_ms,
                    )
        if load_change is not None and now_ms == load_change[0]:
            load_factor = load_change[1]
        for quota in quotas:
            offered_units = load_factor * 1_000.0 / entries * 0.02
            if generator.random() * units < offered_units:
                if quota.admit(customer, units, now_ms) == 0:
                    admitted.append((now_ms, units))
    return admitted


def _most_in_window(admitted: list[tuple[int, float]]) -> float:
    most = 0.0
    for start_ms, _ in admitted:
        total = 0.0
        for now_ms, units in admitted:
            if start_ms <= now_ms < start_ms + WINDOW_MS:
                total += units
        most = max(most, total)
    return most


@pytest.mark.parametrize(
    "partitioned", [set(), {0}, {0, 1, 2}, {0, 1, 2, 3, 4, 5}]
)
@pytest.mark.parametrize("load_factor", [3.0, 8.0])
def test_quota_holds_over_all_entries(
    load_factor: float, partitioned: set[int]
) -> None:
    # A customer sends many times its quota while some entries are partitioned.
    # The limit is the rate of a window and the burst, plus a tenth and one
    # second of the rate.
    admitted = _simulate(6, 20, load_factor, partitioned=partitioned, seed=3)
    bound = (1_000.0 * 8 + 1_000.0) * 1.1 + 1_000.0
    assert _most_in_window(admitted) <= bound


@pytest.mark.parametrize("partitioned", [set(), set(range(20))])
@pytest.mark.parametrize("load_factor", [4.0, 8.0])
def test_quota_holds_over_many_entries_with_large_requests(
    load_factor: float, partitioned: set[int]
) -> None:
    # 74 entries, digests 740 ms apart, and requests of a tenth of what the
    # customer may use in a second.
    admitted = _simulate(
        74,
        16,
        load_factor,
        partitioned=partitioned,
        seed=4,
        units=100.0,
        digest_period_ms=740,
    )
    bound = (1_000.0 * 8 + 1_000.0) * 1.1 + 1_000.0
    assert _most_in_window(admitted) <= bound


@pytest.mark.parametrize("entries", [6, 74])
def test_overloaded_quota_is_used_up(entries: int) -> None:
    digest_period_ms = gossip.digest_period_ms(entries)
    digest_period_ms -= digest_period_ms % 20
    admitted = _simulate(
        entries,
        20,
        5.0,
        partitioned=set(),
        seed=6,
        units=100.0,
        digest_period_ms=digest_period_ms,
    )
    total = sum(units for _, units in admitted)
    assert total >= 0.85 * 1_000.0 * 20


def test_use_below_the_quota_is_admitted() -> None:
    generator = random.Random(1)
    customer = build.customer(rate_per_s=1_000.0, burst=1_000.0)
    quota = budgets.Quotas()
    refused_count = 0
    for now_ms in range(0, 20_000, 20):
        if generator.random() < 0.25 and quota.admit(customer, 40.0, now_ms):
            refused_count += 1
    assert refused_count == 0


def test_wait_of_a_refused_request_is_enough() -> None:
    customer = build.customer(rate_per_s=1_000.0, burst=1_000.0)
    quota = budgets.Quotas()
    now_ms = 0
    while not quota.admit(customer, 400.0, now_ms):
        now_ms += 10
    wait_ms = quota.admit(customer, 400.0, now_ms)
    assert wait_ms > 0
    assert quota.admit(customer, 400.0, now_ms + wait_ms) == 0


def test_wait_accounts_for_shares_that_peers_leave_unused() -> None:
    customer = build.customer(rate_per_s=1_000.0, burst=1_000.0)
    customers = {customer.name: customer}
    alone, shared = budgets.Quotas(), budgets.Quotas()
    for now_ms in range(0, 1_000, 200):
        for peer in range(9):
            shared.apply_peer_usage(f"e{peer}", 1, {}, customers, now_ms)
    waits = []
    for quota in (alone, shared):
        while not quota.admit(customer, 400.0, 1_000):
            continue
        waits.append(quota.admit(customer, 400.0, 1_000))
    assert waits[1] < 10 * waits[0]


def test_customer_without_a_rate_has_no_limit() -> None:
    quota = budgets.Quotas()
    customer = build.customer(rate_per_s=0.0)
    assert all(quota.admit(customer, 1e9, 0) == 0 for _ in range(10))


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(strategies.integers(0, 400), strategies.booleans()),
        max_size=200,
    )
)
def test_retries_stay_within_the_limit(
    steps: list[tuple[int, bool]],
) -> None:
    limit = budgets.RetryLimit(ratio=0.2, slack=10, window_ms=1_000)
    budget = budgets.RetryBudget(limit)
    now_ms = 0
    request_times: list[int] = []
    retry_times: list[int] = []
    for elapsed_ms, is_request in steps:
        now_ms += elapsed_ms
        if is_request:
            budget.record_request("s", now_ms)
            request_times.append(now_ms)
        elif budget.take("s", now_ms, 1):
            retry_times.append(now_ms)
        start_ms = now_ms - limit.window_ms
        recent = sum(1 for at in retry_times if at > start_ms)
        allowed = limit.ratio * sum(1 for at in request_times if at > start_ms)
        assert recent <= allowed + limit.slack


# All entries were killed twice, and each new process used a whole share of the
# slack.
@pytest.mark.parametrize("restart_period_ms", [100, 300, 999, 1_500])
def test_retries_of_restarted_entries_stay_within_the_limit(
    restart_period_ms: int,
) -> None:
    limit = budgets.RetryLimit(ratio=0.2, slack=10, window_ms=1_000)
    budget = budgets.RetryBudget(limit)
    retry_times: list[int] = []
    for now_ms in range(0, 6_000, 10):
        if now_ms % restart_period_ms == 0 and now_ms:
            budget = budgets.RetryBudget(limit)
            budget.withhold_slack(now_ms)
        if now_ms % 50 == 0:
            budget.record_request("s", now_ms)
        if budget.take("s", now_ms, 1):
            retry_times.append(now_ms)
        start_ms = now_ms - limit.window_ms
        recent = sum(1 for at_ms in retry_times if at_ms > start_ms)
        requests = min(now_ms, limit.window_ms) // 50
        assert recent <= limit.ratio * requests + limit.slack
    if restart_period_ms > limit.window_ms:
        # A process that has run for a window uses the slack again.
        assert max(retry_times) > limit.window_ms


# A stream on an engine that was reclaimed broke off, since an entry that had
# started within the last window had no slack to move it.
def test_restarted_entry_moves_a_stream_within_the_limit() -> None:
    limit = budgets.RetryLimit(ratio=0.2, slack=10, window_ms=1_000)
    budget = budgets.RetryBudget(limit)
    retries = 0
    while budget.take("s", 0, 1):
        retries += 1
    budget = budgets.RetryBudget(limit)
    budget.withhold_slack(10)
    assert not budget.take("s", 10, 1)
    moves = 0
    while budget.take("s", 10, 1, is_move=True):
        moves += 1
    assert moves > 0
    assert retries + moves <= limit.slack


def test_uneven_use_below_the_quota_is_admitted() -> None:
    # Clients are hashed to entries, so that one entry gets most of a
    # customer's requests.
    generator = random.Random(5)
    customer = build.customer(rate_per_s=1_000.0, burst=1_000.0)
    customers = {customer.name: customer}
    quotas = [budgets.Quotas() for i in range(6)]
    weights = [0.5, 0.3, 0.1, 0.1, 0.0, 0.0]
    sent_count = refused_count = 0
    for now_ms in range(0, 30_000, 20):
        if now_ms % DIGEST_PERIOD_MS == 0:
            for sender, receiver in itertools.permutations(range(6), 2):
                quotas[receiver].apply_peer_usage(
                    f"e{sender}", 1, quotas[sender].used(), customers, now_ms
                )
        if generator.random() * 40.0 >= 0.6 * 1_000.0 * 0.02:
            continue
        sent_count += 1
        quota = generator.choices(quotas, weights)[0]
        refused_count += quota.admit(customer, 40.0, now_ms) > 0
    assert sent_count > 300
    assert refused_count <= sent_count * 0.01


def test_restarted_peer_is_counted_from_its_start() -> None:
    customer = build.customer(rate_per_s=1_000.0, burst=1_000.0)
    customers = {customer.name: customer}
    quota = budgets.Quotas()
    for now_ms in range(0, 4_000, 200):
        quota.apply_peer_usage(
            "e1", 1, {customer.name: now_ms * 0.1}, customers, now_ms
        )
    before = quota.level(customer.name)
    quota.apply_peer_usage("e1", 2, {customer.name: 50.0}, customers, 4_000)
    assert quota.level(customer.name) >= before - 50.0


def _simulate_customer_at_few_entries(
    slack_units: float, load_factor: float
) -> tuple[int, int]:
    """Return how many requests were sent and how many were refused.

    74 entries, digests 740 ms apart; a customer's clients are hashed to four
    of the entries and send in bursts.
    """
    generator = random.Random(8)
    customer = build.customer(rate_per_s=1_000.0, burst=1_000.0)
    customers = {customer.name: customer}
    quotas = [budgets.Quotas(slack_units) for _ in range(74)]
    sent_count = refused_count = 0
    for now_ms in range(0, 16_000, 20):
        if now_ms % 740 == 0:
            for sender, receiver in itertools.permutations(range(74), 2):
                quotas[receiver].apply_peer_usage(
                    f"e{sender}", 1, quotas[sender].used(), customers, now_ms
                )
        if now_ms < 4_000:
            continue
        in_burst = now_ms % 2_000 < 500
        offered_units = (
            load_factor * 1_000.0 * 0.02 * (2.2 if in_burst else 0.6)
        )
        if generator.random() * 100.0 >= offered_units:
            continue
        sent_count += 1
        quota = generator.choice(quotas[:4])
        refused_count += quota.admit(customer, 100.0, now_ms) > 0
    return sent_count, refused_count


def test_bursts_below_the_quota_are_admitted_at_few_of_many_entries() -> None:
    # The deployments permit the use of four seconds beyond a quota.
    sent_count, refused_count = _simulate_customer_at_few_entries(4_000.0, 0.8)
    assert sent_count > 80
    assert refused_count == 0


@pytest.mark.parametrize("partitioned", [set(), {0, 1, 2}, set(range(20))])
@pytest.mark.parametrize("load_factor", [1.5, 8.0])
def test_quota_with_slack_holds_over_many_entries(
    load_factor: float, partitioned: set[int]
) -> None:
    admitted = _simulate(
        74,
        16,
        load_factor,
        partitioned=partitioned,
        seed=4,
        units=100.0,
        digest_period_ms=740,
        slack_units=4_000.0,
    )
    bound = (1_000.0 * 8 + 1_000.0) * 1.1 + 4_000.0
    assert _most_in_window(admitted) <= bound


def test_sudden_load_stays_within_the_quota_and_its_slack() -> None:
    # A customer uses half of its quota, then many times as much.
    admitted = _simulate(
        74,
        20,
        0.5,
        partitioned=set(),
        seed=4,
        units=100.0,
        digest_period_ms=740,
        slack_units=4_000.0,
        load_change=(8_000, 5.0),
    )
    bound = (1_000.0 * 8 + 1_000.0) * 1.1 + 4_000.0
    assert _most_in_window(admitted) <= bound


def test_entries_that_start_partitioned_leave_peers_their_share() -> None:
    # 12 of 74 entries restart while they receive no digests; without the
    # number of registered entries each would admit the whole quota.
    customer = build.customer(rate_per_s=1_000.0, burst=1_000.0)
    quotas = [budgets.Quotas(4_000.0) for _ in range(12)]
    total = 0.0
    for now_ms in range(0, 8_000, 20):
        for quota in quotas:
            quota.set_expected_entries(74)
            if quota.admit(customer, 50.0, now_ms) == 0:
                total += 50.0
    assert total <= (1_000.0 * 8 + 1_000.0) * 1.1 + 4_000.0


@pytest.mark.parametrize("entries", [14, 74])
def test_quota_holds_when_all_entries_restart(entries: int) -> None:
    # Found by the soak (seed 3 with 14 entries): all entries were killed and
    # started again, and received no digests for half a second. Each admitted
    # requests as if it were alone.
    generator = random.Random(3)
    customer = build.customer(rate_per_s=1_000.0, burst=1_000.0)
    customers = {customer.name: customer}
    admitted: list[tuple[int, float]] = []
    quotas: list[budgets.Quotas] = []
    restart_ms = 8_000
    for now_ms in range(0, 20_000, 20):
        incarnation_ms = 0 if now_ms < restart_ms else restart_ms
        if now_ms == incarnation_ms:
            quotas = [budgets.Quotas() for _ in range(entries)]
            for quota in quotas:
                quota.set_expected_entries(entries)
        has_digests = now_ms >= incarnation_ms + 500
        if has_digests and now_ms % DIGEST_PERIOD_MS == 0:
            for sender, receiver in itertools.permutations(range(entries), 2):
                quotas[receiver].apply_peer_usage(
                    f"e{sender}",
                    incarnation_ms,
                    quotas[sender].used(),
                    customers,
                    now_ms,
                )
        for quota in quotas:
            if generator.random() < 8.0 * 20.0 / 50.0 / entries:
                if quota.admit(customer, 50.0, now_ms) == 0:
                    admitted.append((now_ms, 50.0))
    bound = (1_000.0 * 8 + 1_000.0) * 1.1 + 1_000.0
    assert _most_in_window(admitted) <= bound


def test_restarted_entry_of_a_running_fleet_has_the_burst_again() -> None:
    customer = build.customer(rate_per_s=1_000.0, burst=1_000.0)
    customers = {customer.name: customer}
    quota = budgets.Quotas()
    quota.set_expected_entries(20)
    quota.apply_peer_usage("e1", 1, {}, customers, 0, peer_uptime_ms=60_000)
    assert quota.admit(customer, 200.0, 10) == 0
    assert quota.admit(customer, 200.0, 20) == 0


def _most_during_a_rolling_restart(seed: int) -> float:
    """Return the most units of a hot customer in a window.

    Of 9 entries, one is replaced every 2 s and 7 more are started, while the
    customer asks for 7.5 times its quota from a time shortly before on.
    """
    generator = random.Random(seed)
    units = 140.0
    customer = build.customer(rate_per_s=1_000.0, burst=1_000.0)
    customers = {customer.name: customer}
    started_ms = dict.fromkeys(range(9), -60_000)
    quotas = {index: budgets.Quotas(1_650.0) for index in range(9)}
    admitted: list[tuple[int, float]] = []
    for now_ms in range(0, 36_000, 20):
        if now_ms >= 12_000 and now_ms % 2_000 == 0 and now_ms < 30_000:
            index = (now_ms - 12_000) // 2_000
            quotas[index], started_ms[index] = budgets.Quotas(1_650.0), now_ms
        if now_ms == 13_200:
            for index in range(9, 16):
                quotas[index] = budgets.Quotas(1_650.0)
                started_ms[index] = now_ms
        for quota in quotas.values():
            quota.set_expected_entries(len(quotas))
        if now_ms % DIGEST_PERIOD_MS == 0:
            for sender, receiver in itertools.permutations(quotas, 2):
                quotas[receiver].apply_peer_usage(
                    f"e{sender}",
                    started_ms[sender],
                    quotas[sender].used(),
                    customers,
                    now_ms,
                    now_ms - started_ms[sender],
                    quotas[sender].low_levels(customers, now_ms),
                )
        load_factor = 7.5 if now_ms >= 11_000 else 0.5
        for quota in quotas.values():
            offered_units = load_factor * 1_000.0 * 0.02 / len(quotas)
            if generator.random() * units < offered_units:
                if quota.admit(customer, units, now_ms) == 0:
                    admitted.append((now_ms, units))
    return _most_in_window(admitted)


# Each process that was started while others were replaced took half of the
# burst for unused, whatever the fleet had used of it (review, day `qy`).
@pytest.mark.parametrize("seed", range(4))
def test_quota_holds_while_entries_are_replaced(seed: int) -> None:
    bound = (1_000.0 * 8 + 1_000.0) * 1.1 + 1_650.0
    assert _most_during_a_rolling_restart(seed) <= bound
