"""Demand, faults and deployments of the fleet replay's scenarios."""

from __future__ import annotations

import dataclasses
import random

from laburnumpin.core import deployment

HOUR_MS = 3_600_000
MINUTE_MS = 60_000
DAY_MS = 24 * HOUR_MS
WEEK_MS = 7 * DAY_MS
# A Monday at 00:00 UTC; the epoch was a Thursday.
FIRST_MONDAY_MS = 4 * DAY_MS + 2_000 * WEEK_MS
SURGE_MS = 8 * HOUR_MS
TUNING_SEEDS = (1, 2, 3)
HOLD_OUT_SEEDS = (101, 102, 103)
ENTRY_COUNT = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Demand for one service, in concurrent streams.

    `night_streams` and `day_streams` are means. `backlog_requests` arrive at
    once on Monday at `SURGE_MS`. A request runs one stream for `request_ms`.
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
    """A reclaim of the VMs of a zone, with starts refused for a time.

    Reclaims the reclaimable VMs of the zone and refuses their starts for
    `refused_ms`; with `on_demand` the same applies to on-demand VMs. Starts
    of reclaimable VMs in any zone are refused for `all_zones_refused_ms`.
    """

    at_ms: int
    zone: str
    on_demand: bool
    refused_ms: int
    all_zones_refused_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Outage:
    """A time in which the VM list and the table service are unavailable."""

    at_ms: int
    duration_ms: int


@dataclasses.dataclass(slots=True)
class Scenario:
    """Input of a run; times count from Monday 00:00 UTC.

    Until 06:00 the demand is that of the weekend. `reclaims_per_hour` is the
    rate for each reclaimable VM by zone, apart from waves. Each of the
    `mondays` is replayed from `start_ms` to `end_ms`.
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
    """Return the demanded concurrent streams, with uniform noise of 15%."""
    if since_monday_ms < 6 * HOUR_MS:
        mean_streams = load.night_streams
    else:
        ramp = min(1.0, (since_monday_ms - 6 * HOUR_MS) / (2 * HOUR_MS))
        # The drop in demand at noon shows the cost of scaling down.
        noon_factor = (
            0.6 if 12 * HOUR_MS <= since_monday_ms < 13 * HOUR_MS else 1.0
        )
        mean_streams = load.night_streams + ramp * noon_factor * (
            load.day_streams - load.night_streams
        )
    return mean_streams * rng.uniform(0.85, 1.15)


def build(site: str, seed: int) -> Scenario:
    """Return the scenario of a site; the seed decides demand and faults."""
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


# Model service, plain service, zones and hourly price by zone.
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
        for reclaimable, price_factor in ((True, 1.0), (False, 3.0)):
            for service, vm_class, max_vms, price_share, slots in (
                (model, "gpu-medium", 4, 1.0, 16),
                (model, "gpu-large", 2, 1.9, 32),
                (plain, "cpu-small", 3, 0.05, 32),
            ):
                min_vms = 1 if reclaimable and vm_class != "gpu-large" else 0
                placements.append(
                    deployment.Placement(
                        service,
                        zone,
                        vm_class,
                        reclaimable,
                        min_vms,
                        max_vms,
                        price * price_factor * price_share,
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
