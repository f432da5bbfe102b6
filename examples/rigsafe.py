"""Print the configuration of the Rigsafe deployment.

Run `python examples/rigsafe.py > rigsafe.json`, then `laburnumpin config
apply rigsafe.json`. The keys are for demonstrations; a real program takes
digests made with `laburnumpin.operator.hash_key`.
"""

from __future__ import annotations

from laburnumpin import operator

ZONES = ("kolkata", "howrah", "siliguri")
# Customer, weight, tokens per second.
CUSTOMERS = (
    ("hooghly-hoists", 4.0, 40_000),
    ("teesta-towers", 4.0, 40_000),
    ("sealdah-scaffolds", 1.0, 8_000),
    ("dooars-derricks", 1.0, 8_000),
    ("salt-lake-slings", 1.0, 8_000),
)


def demonstration_key(customer: str) -> str:
    """Return the key that a customer uses in demonstrations."""
    return f"rigsafe-demonstration-{customer}"


def build() -> operator.Deployment:
    """Return the deployment."""
    rigsafe = operator.Deployment("rigsafe", entry_count=8)
    for zone in ZONES:
        rigsafe.add_zone(zone, data_center=zone, region="west-bengal")
    rigsafe.add_model_service(
        "dossier",
        model="dossier-writer",
        model_version="1",
        operations=(
            operator.Operation("draft", priority=operator.BULK),
            operator.Operation("clearance_note", priority=operator.INTERACTIVE),
        ),
        checks_fencing=True,
    )
    rigsafe.add_plain_service(
        "certdesk",
        operations=(
            operator.Operation(
                "issue_certificate",
                idempotent=False,
                priority=operator.INTERACTIVE,
            ),
            operator.Operation("read_licence", priority=operator.INTERACTIVE),
        ),
    )
    for customer, weight, rate_tokens_per_s in CUSTOMERS:
        rigsafe.add_customer(
            customer,
            keys=(demonstration_key(customer),),
            weight=weight,
            rate_tokens_per_s=rate_tokens_per_s,
        )
    for zone, price_per_hour in zip(ZONES, (2.1, 2.0, 1.8), strict=True):
        _add_placements(rigsafe, zone, price_per_hour)
    # Rigsafe gives more weight to cost at the latency target.
    rigsafe.set_policy(cost_weight=3.0, recompute_weight=1.0)
    return rigsafe


def _add_placements(
    rigsafe: operator.Deployment, zone: str, price_per_hour: float
) -> None:
    for reclaimable, price_factor in ((True, 1.0), (False, 3.0)):
        rigsafe.add_placement(
            service="dossier",
            zone=zone,
            vm_class="gpu-medium",
            reclaimable=reclaimable,
            min_vms=1 if reclaimable else 0,
            max_vms=4,
            price_per_hour=round(price_per_hour * price_factor, 2),
            slots=16,
        )
        rigsafe.add_placement(
            service="certdesk",
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
