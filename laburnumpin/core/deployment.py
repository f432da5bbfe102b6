"""Data classes of the deployment that operators configure."""

from __future__ import annotations

import dataclasses
import enum


class ServiceKind(enum.Enum):
    """Kind of upstream that serves a service.

    `MODEL` services are inference engines that stream tokens; `PLAIN`
    services answer a call with one response.
    """

    MODEL = "model"
    PLAIN = "plain"


class Priority(enum.Enum):
    """Scheduling class of a request."""

    INTERACTIVE = "interactive"
    BULK = "bulk"


@dataclasses.dataclass(slots=True, frozen=True)
class Operation:
    """An operation of a service.

    A request of an operation that is not `idempotent` runs at most once.
    `priority` applies to requests that do not set their own.
    """

    name: str
    idempotent: bool = True
    priority: Priority = Priority.BULK


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A model or plain service that upstreams offer.

    The lease holder orders the engines of a model service to load `model` in
    `model_version`, with `adapters`. `checks_fencing` is set when they reject
    orders with a stale fencing token.
    """

    name: str
    kind: ServiceKind
    operations: dict[str, Operation]
    model: str = ""
    model_version: str = ""
    adapters: tuple[str, ...] = ()
    checks_fencing: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Customer:
    """A customer and its limits; keys are stored as SHA-256 hex digests.

    `weight` is the customer's share in fair queueing, `rate_tokens_per_s` its
    token rate over all entries and `max_queued_requests` its limit on queued
    requests at each entry.
    """

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
    """A zone and VM class for a service, with VM limits, price and capacity.

    `price_per_hour` applies while the platform lists no price. `slots` is the
    number of requests that one VM processes at a time; both token rates are
    those of one VM.
    """

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
    """Latency targets, and weights for routing, queueing and retries.

    Both targets are for the 95th percentile. No decision uses `cost_weight`
    or `first_token_target_ms`. `recompute_weight` is in
    milliseconds per recomputed token, `bulk_share` is the share of the
    dispatched tokens reserved for bulk requests while any waits, and
    `retry_share` is the number of retries permitted per first attempt.
    """

    first_token_target_ms: int = 1_200
    inter_token_target_ms: int = 36
    cost_weight: float = 1.0
    recompute_weight: float = 1.0
    bulk_share: float = 0.2
    retry_share: float = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """The whole deployment; `entry_count` is the expected number of entries."""

    name: str
    zones: dict[str, Zone]
    services: dict[str, Service]
    customers: dict[str, Customer]
    placements: tuple[Placement, ...]
    policy: Policy
    entry_count: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """A deployment with its stored version, change id and JSON document."""

    version: int
    change_id: str
    document: str
    deployment: Deployment
