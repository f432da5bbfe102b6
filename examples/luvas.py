"""Print the configuration of the Luvas deployment.

Run `python examples/luvas.py > luvas.json`, then `laburnumpin config apply
luvas.json`. The keys are for demonstrations; a real program takes digests
made with `laburnumpin.operator.hash_key`.
"""

from __future__ import annotations

from laburnumpin import operator

ZONES = ("recife", "caruaru", "petrolina")
# Customer, weight, tokens per second.
CUSTOMERS = (
    ("capibaribe-couros", 4.0, 40_000),
    ("agreste-ateliers", 4.0, 40_000),
    ("ipojuca-luvaria", 1.0, 8_000),
    ("sertao-costura", 1.0, 8_000),
    ("olinda-moda", 1.0, 8_000),
)


def demonstration_key(customer: str) -> str:
    """Return the key that a customer uses in demonstrations."""
    return f"luvas-demonstration-{customer}"


def build() -> operator.Deployment:
    """Return the deployment."""
    luvas = operator.Deployment("luvas", entry_count=6)
    for zone in ZONES:
        luvas.add_zone(zone, data_center=zone, region="pernambuco")
    luvas.add_model_service(
        "molde",
        model="molde-drafter",
        model_version="1",
        operations=(
            operator.Operation("draft_pattern", priority=operator.BULK),
            operator.Operation("pattern_note", priority=operator.INTERACTIVE),
        ),
        # These engines ignore the fencing token of an order.
        checks_fencing=False,
    )
    luvas.add_plain_service("balcao", operations=_order_desk_operations())
    for customer, weight, rate_tokens_per_s in CUSTOMERS:
        luvas.add_customer(
            customer,
            keys=(demonstration_key(customer),),
            weight=weight,
            rate_tokens_per_s=rate_tokens_per_s,
        )
    for zone, price_per_hour in zip(ZONES, (1.9, 1.7, 1.5), strict=True):
        _add_placements(luvas, zone, price_per_hour)
    # Luvas gives more weight to recomputed tokens.
    luvas.set_policy(cost_weight=1.0, recompute_weight=3.0)
    return luvas


def _order_desk_operations() -> tuple[operator.Operation, ...]:
    return (
        operator.Operation(
            "place_order", idempotent=False, priority=operator.INTERACTIVE
        ),
        operator.Operation(
            "charge_deposit", idempotent=False, priority=operator.INTERACTIVE
        ),
        operator.Operation("read_order", priority=operator.INTERACTIVE),
    )


def _add_placements(
    luvas: operator.Deployment, zone: str, price_per_hour: float
) -> None:
    for reclaimable, price_factor in ((True, 1.0), (False, 3.0)):
        luvas.add_placement(
            service="molde",
            zone=zone,
            vm_class="gpu-medium",
            reclaimable=reclaimable,
            min_vms=1 if reclaimable else 0,
            max_vms=3,
            price_per_hour=round(price_per_hour * price_factor, 2),
            slots=16,
        )
        luvas.add_placement(
            service="balcao",
            zone=zone,
            vm_class="cpu-small",
            reclaimable=reclaimable,
            min_vms=1 if reclaimable else 0,
            max_vms=2,
            price_per_hour=round(price_per_hour * price_factor / 20, 3),
            slots=32,
        )


if __name__ == "__main__":
    build().print_document()
