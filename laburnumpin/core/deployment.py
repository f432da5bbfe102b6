"""The deployment that operators configure, as data."""

from __future__ import annotations

import dataclasses
import enum


class ServiceKind(enum.Enum):
    """What kind of upstream serves a service."""

    MODEL = "model"
    PLAIN = "plain"


class Priority(enum.Enum):
    """Scheduling class of a request."""

    INTERACTIVE = "interactive"
    BULK = "bulk"


@dataclasses.dataclass(slots=True, frozen=True)
class Operation:
    """One operation of a service."""

    name: str
    idempotent: bool = True
    priority: Priority = Priority.BULK


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A model or plain service that upstreams offer."""

    name: str
    kind: ServiceKind
    operations: dict[str, Operation]
    model: str = ""
    model_version: str = ""
    adapters: tuple[str, ...] = ()
    checks_fencing: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Customer:
    """A customer, whose keys are stored as SHA-256 hex digests."""

    name: str
    key_hashes: tuple[str, ...]
    weight: float = 1.0
    rate_tokens_per_s: int = 1_000_000
    max_queued_requests: int = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class Zone:
    """A zone with the data centre and the region that contain it."""

    name: str
    data_center: str
    region: str


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """Where VMs for a service may run, and what they cost and deliver."""

    service: str
    zone: str
    vm_class: str
    reclaimable: bool
    min_vms: int
    max_vms: int
    price_per_hour: float
    slots: int
    prefill_tokens_per_s: int = 8_000
    decode_tokens_per_s: int = 2_000


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """Targets and weights of the decisions."""

    first_token_target_ms: int = 1_200
    inter_token_target_ms: int = 36
    cost_weight: float = 1.0
    recompute_weight: float = 1.0
    bulk_share: float = 0.2
    retry_share: float = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """Everything that an operator configures."""

    name: str
    zones: dict[str, Zone]
    services: dict[str, Service]
    customers: dict[str, Customer]
    placements: tuple[Placement, ...]
    policy: Policy
    entry_count: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """A deployment with the version under which the store accepted it."""

    version: int
    change_id: str
    document: str
    deployment: Deployment
