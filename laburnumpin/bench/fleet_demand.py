"""Demand, faults and deployments that the fleet replay uses."""

from __future__ import annotations

import dataclasses
import random

from laburnumpin.core import deployment

HOUR_MS = 3_600_000
MINUTE_MS = 60_000
DAY_MS = 24 * HOUR_MS
WEEK_MS = 7 * DAY_MS
# The epoch was a Thursday; this is a Monday at 00:00 UTC.
FIRST_MONDAY_MS = 4 * DAY_MS + 2_000 * WEEK_MS
SURGE_MS = 8 * HOUR_MS
TUNING_SEEDS = (1, 2, 3)
HOLD_OUT_SEEDS = (101, 102, 103)
ENTRY_COUNT = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Concurrent streams of one service, and the backlog on Monday.

    A request runs one stream for `request_ms`.
    """

    service: str
    night_streams: float
    day_streams: float
    backlog_requests: int
    request_ms: int
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Wave:
    """A reclaim of VMs in a zone, with starts refused for a while.

    Without `on_demand` only reclaimable VMs and starts are affected. With
    `elsewhere_ms` reclaimable starts are refused in all zones for that time.
    """

    at_ms: int
    zone: str
    on_demand: bool
    refused_ms: int
    elsewhere_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Outage:
    """A time in which the VM list and the table service do not answer."""

    at_ms: int
    duration_ms: int


@dataclasses.dataclass(slots=True)
class Scenario:
    """Everything that happens in a run; times count from Monday 00:00.

    Until 06:00 the demand is that of the weekend.
    """

    name: str
    seed: int
    deployment: deployment.Deployment
    loads: tuple[Load, ...]
    reclaims_per_hour: dict[str, float]
    waves: tuple[Wave, ...]
    outages: tuple[Outage, ...]
    start_ms: int = 2 * HOUR_MS
    end_ms: int = 14 * HOUR_MS
    mondays: int = 2


def streams(load: Load, since_monday_ms: int, rng: random.Random) -> float:
    """Return the concurrent streams that callers ask for, with noise."""
    if since_monday_ms < 6 * HOUR_MS:
        level = load.night_streams
    else:
        ramp = min(1.0, (since_monday_ms - 6 * HOUR_MS) / (2 * HOUR_MS))
        # A lull at noon shows what the way down costs.
        noon = 0.6 if 12 * HOUR_MS <= since_monday_ms < 13 * HOUR_MS else 1.0
        level = load.night_streams + ramp * noon * (
            load.day_streams - load.night_streams
        )
    return level * rng.uniform(0.85, 1.15)


def build(site: str, seed: int) -> Scenario:
    """Return the scenario of a site, with random times of its faults."""
    model, plain, zones, prices = _SITES[site]
    rng = random.Random(seed)
    first, second = rng.sample(zones, 2)
    shift_ms = rng.randrange(20) * MINUTE_MS
    waves = (
        Wave(SURGE_MS + shift_ms, first, False, 15 * MINUTE_MS),
        Wave(
            11 * HOUR_MS + shift_ms,
            second,
            True,
            20 * MINUTE_MS,
            5 * MINUTE_MS,
        ),
    )
    outages = (Outage(9 * HOUR_MS + 30 * MINUTE_MS + shift_ms, 2 * MINUTE_MS),)
    rates = dict(zip(zones, (0.02, 0.05, 0.15), strict=True))
    loads = (
        Load(model, 4.0, rng.uniform(45, 65), 400, 90_000, 500, 4_500),
        Load(plain, 2.0, rng.uniform(25, 35), 150, 20_000, 100, 0),
    )
    return Scenario(
        site,
        seed,
        _deployment(site, model, plain, zones, prices),
        loads,
        rates,
        waves,
        outages,
    )


_SITES = {
    "rigsafe": (
        "dossier",
        "certdesk",
        ("kolkata", "howrah", "siliguri"),
        (2.1, 2.0, 1.8),
    ),
    "luvas": (
        "molde",
        "balcao",
        ("recife", "caruaru", "petrolina"),
        (1.7, 1.6, 1.9),
    ),
}
SITES = tuple(_SITES)


def _deployment(
    site: str,
    model: str,
    plain: str,
    zones: tuple[str, ...],
    prices: tuple[float, ...],
) -> deployment.Deployment:
    placements: list[deployment.Placement] = []
    for zone, price in zip(zones, prices, strict=True):
        for reclaimable, factor in ((True, 1.0), (False, 3.0)):
            for service, vm_class, most, share, slots in (
                (model, "gpu-medium", 4, 1.0, 16),
                (model, "gpu-large", 2, 1.9, 32),
                (plain, "cpu-small", 3, 0.05, 32),
            ):
                lowest = 1 if reclaimable and vm_class != "gpu-large" else 0
                placements.append(
                    deployment.Placement(
                        service,
                        zone,
                        vm_class,
                        reclaimable,
                        lowest,
                        most,
                        price * factor * share,
                        slots,
                    )
                )
    services = {
        model: deployment.Service(
            model,
            deployment.ServiceKind.MODEL,
            {"draft": deployment.Operation("draft")},
            model="weights",
            model_version="1",
        ),
        plain: deployment.Service(
            plain,
            deployment.ServiceKind.PLAIN,
            {"read": deployment.Operation("read")},
        ),
    }
    return deployment.Deployment(
        site,
        {zone: deployment.Zone(zone, zone, site) for zone in zones},
        services,
        {},
        tuple(placements),
        deployment.Policy(),
        ENTRY_COUNT,
    )
