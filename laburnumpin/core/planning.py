"""Capacity planning: pure functions that choose VMs to start and to drain.

Demand is given in concurrent streams, capacity in slots. A plan must survive
the loss of any one zone.
"""

from __future__ import annotations

import dataclasses
import math

from laburnumpin.core import deployment

# Planned utilization of the slots; the rest absorbs bursts while new VMs
# start.
TARGET_UTILIZATION = 0.75
# Exponential backoff of an option whose starts are refused.
REFUSAL_BACKOFF_BASE_MS = 30_000
REFUSAL_BACKOFF_MAX_MS = 600_000
# A VM is replaced only by one whose price per slot is at most this share of
# its own, because both are paid while one starts and the other drains.
REPLACEMENT_PRICE_SHARE = 0.7


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Option:
    """A VM class in a zone, reclaimable or on-demand, that can be started."""

    zone: str
    vm_class: str
    reclaimable: bool


@dataclasses.dataclass(slots=True)
class Refusals:
    """Refused starts of one option and the end of its backoff."""

    count: int = 0
    backoff_until_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Vm:
    """A running or starting VM that the plan counts."""

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


def is_short(
    streams: float, vms: list[Vm], placements: list[deployment.Placement]
) -> bool:
    """Return whether the VMs are too few for `streams` concurrent streams.

    With several zones, the slots that remain after the loss of any one must
    suffice for all streams.
    """
    by_zone = _slots_by_zone(vms, placements)
    total = sum(by_zone.values())
    if total < streams / TARGET_UTILIZATION:
        return True
    if len(by_zone) < 2:
        return False
    return total - max(by_zone.values()) < streams


def zone_share(streams: float, zone_count: int) -> float:
    """Return the slots that each zone needs when they are spread evenly."""
    total = streams / TARGET_UTILIZATION
    if zone_count > 1:
        total = max(total, streams * zone_count / (zone_count - 1))
    return total / zone_count


def next_start(
    streams: float,
    vms: list[Vm],
    placements: list[deployment.Placement],
    prices_per_hour: dict[str, float],
    refusals: dict[Option, Refusals],
    now_ms: int,
) -> Option | None:
    """Return the next VM to start, or None when none is needed or possible.

    Options below their minimum go first, then those in zones that have less
    than their even share of the slots, then the cheapest price per needed
    slot. On-demand VMs and zones above their share are thus the fallback.
    Options in backoff are excluded.
    """
    count_by_option: dict[Option, int] = {}
    for vm in vms:
        count_by_option[vm.option] = count_by_option.get(vm.option, 0) + 1
    by_zone = _slots_by_zone(vms, placements)
    zone_slots = zone_share(streams, len(by_zone))
    short = is_short(streams, vms, placements)
    best: tuple[bool, bool, float, float, Option] | None = None
    for placement in placements:
        option = option_of(placement)
        count = count_by_option.get(option, 0)
        below_minimum = count < placement.min_vms
        if not (short or below_minimum) or count >= placement.max_vms:
            continue
        refusal = refusals.get(option)
        if refusal is not None and now_ms < refusal.backoff_until_ms:
            continue
        needed = _needed_slots(streams, option.zone, by_zone)
        if needed <= 0 and not below_minimum:
            continue
        price = prices_per_hour.get(price_key(option), placement.price_per_hour)
        slots_in_zone = by_zone[option.zone]
        # Slots beyond the needed ones would be paid for but not used.
        used = max(1.0, min(placement.slots, needed))
        key = (
            not below_minimum,
            slots_in_zone >= zone_slots,
            price / used,
            slots_in_zone,
            option,
        )
        if best is None or key < best:
            best = key
    return None if best is None else best[4]


def next_drain(
    streams: float,
    vms: list[Vm],
    candidates: list[Vm],
    placements: list[deployment.Placement],
    prices_per_hour: dict[str, float],
) -> Vm | None:
    """Return the candidate to drain, or None when all VMs are needed.

    The highest price per slot goes first, then the zone with the most VMs,
    then the VM with the fewest busy slots.
    """
    min_vms_by_option: dict[Option, int] = {}
    slots: dict[Option, int] = {}
    price: dict[Option, float] = {}
    for placement in placements:
        option = option_of(placement)
        min_vms_by_option[option] = placement.min_vms
        slots[option] = placement.slots
        price[option] = prices_per_hour.get(
            price_key(option), placement.price_per_hour
        )
    count_by_option: dict[Option, int] = {}
    by_zone: dict[str, int] = {}
    for vm in vms:
        count_by_option[vm.option] = count_by_option.get(vm.option, 0) + 1
        by_zone[vm.option.zone] = by_zone.get(vm.option.zone, 0) + 1
    # `is_short` gives the same result for any VM of an option.
    short_without: dict[Option, bool] = {}
    best: tuple[float, int, int, str] | None = None
    chosen: Vm | None = None
    for vm in candidates:
        if count_by_option[vm.option] <= min_vms_by_option.get(vm.option, 0):
            continue
        cost = price.get(vm.option, math.inf) / slots.get(vm.option, 1)
        key = (cost, by_zone[vm.option.zone], -vm.busy_slots, vm.vm_id)
        if best is not None and key <= best:
            continue
        if vm.option not in short_without:
            remaining = [other for other in vms if other is not vm]
            short_without[vm.option] = is_short(streams, remaining, placements)
        if short_without[vm.option]:
            continue
        best = key
        chosen = vm
    return chosen


def next_replacement(
    streams: float,
    vms: list[Vm],
    candidates: list[Vm],
    placements: list[deployment.Placement],
    prices_per_hour: dict[str, float],
    refusals: dict[Option, Refusals],
    now_ms: int,
) -> Option | None:
    """Return the cheapest reclaimable option to replace an on-demand candidate.

    Options in backoff are excluded, as in `next_start`. Once the replacement
    runs, `next_drain` selects the VM to drain by price.
    """
    count_by_option: dict[Option, int] = {}
    for vm in vms:
        count_by_option[vm.option] = count_by_option.get(vm.option, 0) + 1
    placement_by_option = {option_of(item): item for item in placements}
    # `is_short` gives the same result for any VM of an option.
    replaceable = {vm.option: vm for vm in candidates}
    best: tuple[float, Option] | None = None
    for option, placement in placement_by_option.items():
        if not option.reclaimable:
            continue
        if count_by_option.get(option, 0) >= placement.max_vms:
            continue
        refusal = refusals.get(option)
        if refusal is not None and now_ms < refusal.backoff_until_ms:
            continue
        price = _slot_price(placement, prices_per_hour)
        if best is not None and (price, option) >= best:
            continue
        for vm in replaceable.values():
            old = placement_by_option.get(vm.option)
            if old is None or old.reclaimable:
                continue
            if count_by_option[vm.option] <= old.min_vms:
                continue
            old_price = _slot_price(old, prices_per_hour)
            if price > old_price * REPLACEMENT_PRICE_SHARE:
                continue
            remaining = [other for other in vms if other is not vm]
            remaining.append(Vm("", option, 0))
            if is_short(streams, remaining, placements):
                continue
            best = (price, option)
            break
    return None if best is None else best[1]


def record_refusal(
    refusals: dict[Option, Refusals], option: Option, now_ms: int
) -> None:
    """Exclude an option for its exponential backoff after a refused start."""
    refusal = refusals.setdefault(option, Refusals())
    delay_ms = min(
        REFUSAL_BACKOFF_BASE_MS * 2**refusal.count, REFUSAL_BACKOFF_MAX_MS
    )
    refusal.count = min(refusal.count + 1, 10)
    refusal.backoff_until_ms = now_ms + delay_ms


def clear_refusals(refusals: dict[Option, Refusals], option: Option) -> None:
    """Reset the backoff of an option after a successful start."""
    refusals.pop(option, None)


def _slots_by_zone(
    vms: list[Vm], placements: list[deployment.Placement]
) -> dict[str, float]:
    slots = {option_of(item): item.slots for item in placements}
    by_zone = {placement.zone: 0.0 for placement in placements}
    for vm in vms:
        # A VM whose placement was removed from the configuration has no
        # known number of slots; it is replaced as if it were lost.
        if vm.option in slots:
            by_zone[vm.option.zone] += slots[vm.option]
    return by_zone


def _needed_slots(
    streams: float, zone: str, by_zone: dict[str, float]
) -> float:
    """Return the missing slots that a VM in `zone` would help to cover.

    They are missing from the total, or would be after the loss of another
    zone.
    """
    total = sum(by_zone.values())
    needed = streams / TARGET_UTILIZATION - total
    for other, slots in by_zone.items():
        if other != zone:
            needed = max(needed, streams - (total - slots))
    return needed


def _slot_price(
    placement: deployment.Placement, prices_per_hour: dict[str, float]
) -> float:
    key = price_key(option_of(placement))
    return prices_per_hour.get(key, placement.price_per_hour) / placement.slots
