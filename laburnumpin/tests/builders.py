"""Builds small deployments, configurations and entry states for tests."""

from __future__ import annotations

import hashlib

from laburnumpin.core import deployment
from laburnumpin.core import ids
from laburnumpin.core import state

ZONES = ("north", "middle", "south")


def key_hash(key: str) -> str:
    """Return the SHA-256 hash that is stored for a customer's key."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_deployment(entry_count: int = 1) -> deployment.Deployment:
    """Return a deployment with a model and a plain service in three zones."""
    zones = {}
    placements = []
    for name in ZONES:
        zones[name] = deployment.Zone(name, f"dc-{name}", "region")
        for reclaimable, price in ((True, 1.0), (False, 3.0)):
            placements.append(
                deployment.Placement(
                    service="draft",
                    zone=name,
                    vm_class="gpu",
                    reclaimable=reclaimable,
                    min_vms=0,
                    max_vms=10,
                    price_per_hour=price,
                    slots=8,
                )
            )
    services = {
        "draft": deployment.Service(
            name="draft",
            kind=deployment.ServiceKind.MODEL,
            operations={
                "write": deployment.Operation("write"),
                "note": deployment.Operation(
                    "note", priority=deployment.Priority.INTERACTIVE
                ),
            },
            model="draft-model",
            model_version="1",
        ),
        "desk": deployment.Service(
            name="desk",
            kind=deployment.ServiceKind.PLAIN,
            operations={
                "issue": deployment.Operation("issue", idempotent=False),
                "read": deployment.Operation("read"),
            },
        ),
    }
    customers = {
        "acme": deployment.Customer("acme", (key_hash("acme-key"),)),
        "zenith": deployment.Customer("zenith", (key_hash("zenith-key"),)),
    }
    return deployment.Deployment(
        name="test",
        zones=zones,
        services=services,
        customers=customers,
        placements=tuple(placements),
        policy=deployment.Policy(),
        entry_count=entry_count,
    )


def make_configuration(
    version: int = 1, entry_count: int = 1
) -> deployment.Configuration:
    """Return a configuration of the test deployment."""
    return deployment.Configuration(
        version, f"change-{version}", "{}", make_deployment(entry_count)
    )


def make_state(
    vm_id: str = "e1", zone: str = "north", *, configured: bool = True
) -> state.EntryState:
    """Return the state of an entry, with a configuration if `configured`."""
    entry = state.EntryState(ids.EntryId(vm_id, 1), zone, f"{vm_id}:1", 7)
    if configured:
        entry.configuration.current = make_configuration()
    return entry
