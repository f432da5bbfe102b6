"""Documents of the engine stand-in."""

from __future__ import annotations

import dataclasses

from laburnumpin.core import deployment
from laburnumpin.standins import batching


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSettings:
    """Settings of an engine; the batch has its own.

    `model_load_ms` passes when an order changes the model, after the weight
    store at `weights_url`, if one is given, has admitted the load. A KV
    cache moves at `kv_bytes_per_s`; the import takes that time.
    """

    batch: batching.BatchSettings = dataclasses.field(
        default_factory=batching.BatchSettings
    )
    checks_fencing: bool = True
    report_lag_ms: int = 200
    model: str = ""
    model_version: str = ""
    role: str = ""
    model_load_ms: int = 500
    weights_url: str = ""
    platform_token: str = ""
    kv_bytes_per_token: int = 131_072
    kv_bytes_per_s: int = 4_000_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class GenerateRequest:
    """Body of `POST /v1/generate`.

    With `recompute` an unknown generation is computed from the start and
    streamed from `offset` on.
    """

    request_id: str
    prompt: str = ""
    max_tokens: int = 256
    attempt_id: str = ""
    priority: deployment.Priority = deployment.Priority.BULK
    offset: int = 0
    recompute: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Output:
    """Data of one event with generated tokens."""

    text: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class End:
    """Data of the last event."""

    total_tokens: int
    cached_prompt_tokens: int
    computed_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class ExportRequest:
    """Body of `POST /v1/kv/export`."""

    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class KvDocument:
    """A KV cache; the stand-in carries the prompt in place of the bytes."""

    request_id: str
    offset: int
    size_bytes: int
    prompt: str
    max_tokens: int
    priority: deployment.Priority
    model: str
    model_version: str


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """Body of `POST /v1/orders`."""

    fencing_number: int
    valid_until_ms: int = 0
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class OrderAccepted:
    """Response to an order."""

    fencing_number: int


@dataclasses.dataclass(slots=True, frozen=True)
class Totals:
    """Response to `GET /admin/totals`: the work of this engine so far."""

    generations: int
    computed_tokens: int
    cached_prompt_tokens: int
    orders: tuple[Order, ...]
