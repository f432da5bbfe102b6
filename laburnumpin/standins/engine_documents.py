"""Settings and JSON documents of the engine stand-in."""

from __future__ import annotations

import dataclasses

from laburnumpin.core import deployment
from laburnumpin.standins import batching


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSettings:
    """Settings of an engine.

    `batch` holds the speed and limits of the simulated batch. With
    `checks_fencing` the engine refuses orders with a stale fencing number.
    Load reports are `report_lag_ms` old. `model`, `model_version` and `role`
    apply until the first order.

    An order that changes the model first fetches the weights from the weight
    store at `weights_url` with `platform_token` (an empty URL skips this),
    repeating the call until it succeeds, and then takes `model_load_ms`.
    A KV cache has `kv_bytes_per_token` for each prompt and output token, and
    its import takes the time to transfer it at `kv_bytes_per_s`.
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
    """Body of `POST /v1/generate`; starts or resumes a generation.

    `offset` is the number of output tokens that the caller has already. A
    resume with an unknown request id is refused, unless `recompute` is set:
    then the generation is computed from its first token and streamed from
    `offset` on.
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
    """Data of an event with output; `tokens` is the number of tokens."""

    text: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class End:
    """Data of the `end` event, which completes a stream."""

    total_tokens: int
    cached_prompt_tokens: int
    computed_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class ExportRequest:
    """Body of `POST /v1/kv/export`."""

    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class KvDocument:
    """A KV cache, as exported and imported.

    The document carries the prompt in place of the cache. `size_bytes` is the
    size that the cache would have, and `offset` the number of output tokens
    that it covers.
    """

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
    """Body of `POST /v1/orders`; assigns a model version and a role.

    The stand-in does not check `valid_until_ms` and does not use `adapters`.
    """

    fencing_number: int
    valid_until_ms: int = 0
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class OrderAccepted:
    """Response to an accepted order."""

    fencing_number: int


@dataclasses.dataclass(slots=True, frozen=True)
class Totals:
    """Response to `GET /admin/totals`: the work of this engine since start.

    `orders` holds the accepted orders.
    """

    generations: int
    computed_tokens: int
    cached_prompt_tokens: int
    orders: tuple[Order, ...]
