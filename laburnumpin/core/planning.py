"""The plan of VMs: how many, and where, as pure functions."""

from __future__ import annotations

import dataclasses
import math

from laburnumpin.core import deployment

# Share of the slots that should be busy; the rest absorbs bursts while new
# VMs start.
TARGET_UTILIZATION = 0.75
REFUSAL_BASE_MS = 30_000
REFUSAL_CAP_MS = 600_000


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Option:
    """A kind of VM that can be started in a zone."""

    zone: str
    vm_class: str
    reclaimable: bool


@dataclasses.dataclass(slots=True)
class Refusals:
    """Refused starts of one option, with exponential backoff."""

    count: int = 0
    until_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Vm:
    """A VM that counts for the plan, running or starting."""

    vm_id: str
    option: Option
    busy_slots: int


def option_of(placement: deployment.Placement) -> Option:
    """Return the option that a placement allows."""
    return Option(placement.zone, placement.vm_class, placement.reclaimable)


def price_key(option: Option) -> str:
    """Return the key of an option in the platform's price list."""
    kind = "reclaimable" if option.reclaimable else "on-demand"
    return f"{option.zone}/{option.vm_class}/{kind}"


def desired_vms(streams: float, placements: list[deployment.Placement]) -> int:
    """Return how many VMs carry `streams` concurrent streams.

    With several zones the count is such that losing any one zone leaves room
    for all streams. The result lies within the placements' bounds.
    """
    slots = sum(placement.slots for placement in placements)
    average_slots = slots / len(placements)
    needed = math.ceil(streams / (average_slots * TARGET_UTILIZATION))
    zones = {placement.zone for placement in placements}
    if len(zones) > 1 and needed > 0:
        bare = math.ceil(streams / average_slots)
        spare = math.ceil(bare * len(zones) / (len(zones) - 1))
        needed = max(needed, spare)
    lowest = sum(placement.min_vms for placement in placements)
    highest = sum(placement.max_vms for placement in placements)
    return min(max(needed, lowest), highest)


def next_start(
    desired: int,
    vms: list[Vm],
    placements: list[deployment.Placement],
    prices_per_hour: dict[str, float],
    refusals: dict[Option, Refusals],
    now_ms: int,
) -> Option | None:
    """Return the next VM to start, or None when nothing more can start.

    The cheapest option per slot goes first within a zone's share of the
    desired count; on-demand VMs and zones over their share are the fallback.
    """
    by_option: dict[Option, int] = {}
    by_zone: dict[str, int] = {}
    for vm in vms:
        by_option[vm.option] = by_option.get(vm.option, 0) + 1
        by_zone[vm.option.zone] = by_zone.get(vm.option.zone, 0) + 1
    zones = {placement.zone for placement in placements}
    zone_share = math.ceil(desired / len(zones))
    best: tuple[bool, bool, float, int, Option] | None = None
    for placement in placements:
        option = option_of(placement)
        count = by_option.get(option, 0)
        missing = count < placement.min_vms
        if len(vms) >= desired and not missing:
            continue
        if count >= placement.max_vms:
            continue
        refused = refusals.get(option)
        if refused is not None and now_ms < refused.until_ms:
            continue
        price = prices_per_hour.get(price_key(option), placement.price_per_hour)
        in_zone = by_zone.get(option.zone, 0)
        key = (
            not missing,
            in_zone >= zone_share,
            price / placement.slots,
            in_zone,
            option,
        )
        if best is None or key < best:
            best = key
    return None if best is None else best[4]


def next_stop(
    vms: list[Vm],
    candidates: list[Vm],
    placements: list[deployment.Placement],
    prices_per_hour: dict[str, float],
) -> Vm | None:
    """Return the candidate to drain first: dearest first, fullest zone first.

    Idle VMs go before those with work only at the same cost and zone.
    """
    minimum: dict[Option, int] = {}
    slots: dict[Option, int] = {}
    price: dict[Option, float] = {}
    for placement in placements:
        option = option_of(placement)
        minimum[option] = placement.min_vms
        slots[option] = placement.slots
        price[option] = prices_per_hour.get(
            price_key(option), placement.price_per_hour
        )
    by_option: dict[Option, int] = {}
    by_zone: dict[str, int] = {}
    for vm in vms:
        by_option[vm.option] = by_option.get(vm.option, 0) + 1
        by_zone[vm.option.zone] = by_zone.get(vm.option.zone, 0) + 1
    best: tuple[float, int, int, str] | None = None
    chosen: Vm | None = None
    for vm in candidates:
        if by_option[vm.option] <= minimum.get(vm.option, 0):
            continue
        cost = price.get(vm.option, math.inf) / slots.get(vm.option, 1)
        key = (cost, by_zone[vm.option.zone], -vm.busy_slots, vm.vm_id)
        if best is None or key > best:
            best = key
            chosen = vm
    return chosen


def note_refusal(
    refusals: dict[Option, Refusals], option: Option, now_ms: int
) -> None:
    """Keep an option out of the plan for a while after a refused start."""
    refused = refusals.setdefault(option, Refusals())
    delay_ms = min(REFUSAL_BASE_MS * 2**refused.count, REFUSAL_CAP_MS)
    refused.count = min(refused.count + 1, 10)
    refused.until_ms = now_ms + delay_ms


def note_start(refusals: dict[Option, Refusals], option: Option) -> None:
    """Forget earlier refusals after a start that succeeded."""
    refusals.pop(option, None)
