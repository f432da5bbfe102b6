"""Settings and JSON documents of the platform stand-in."""

from __future__ import annotations

import dataclasses

from laburnumpin.core import events


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Settings of the platform.

    An empty `token` admits every caller. `writes_per_s` and `reads_per_s`
    apply to tables and objects separately, `weight_loads_per_s` to the weight
    store; each allows a burst of one second's calls. The list of VMs is
    `vm_list_lag_ms` old, and a started VM is listed after `start_delay_ms`.
    `prices` are the initial prices.
    """

    token: str = ""
    writes_per_s: float = 400.0
    reads_per_s: float = 2_000.0
    weight_loads_per_s: float = 2.0
    vm_list_lag_ms: int = 2_000
    start_delay_ms: int = 0
    prices: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Vms:
    """Rows of VMs.

    Response to `GET /vms`, body of `POST /admin/vms` and `POST /admin/spares`.
    """

    vms: tuple[events.VmRow, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class VmStarted:
    """Response to `POST /vms`."""

    vm_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class VmIds:
    """Response to `POST /admin/notices`: the VMs to be reclaimed."""

    vm_ids: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Notices:
    """Response to `GET /notices`."""

    notices: tuple[events.Notice, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Prices:
    """Response to `GET /prices` and body of `POST /admin/prices`.

    The prices are per hour; the keys are those of `events.PricesListed`.
    """

    prices: dict[str, float]


@dataclasses.dataclass(slots=True, frozen=True)
class Weights:
    """Response to `GET /weights/{model}`.

    The response reports the size of the weights and does not contain them.
    """

    model: str
    size_bytes: int
