"""Documents of the platform stand-in that no core module defines."""

from __future__ import annotations

import dataclasses

from laburnumpin.core import events


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Limits and lags of the platform.

    Without a token every caller is admitted. Bursts of the rates last one
    second.
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
    """Rows of VMs, in `GET /vms` and `POST /admin/vms`."""

    vms: tuple[events.VmRow, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class VmStarted:
    """Response to a start."""

    vm_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class VmIds:
    """The VMs that an admin call concerned."""

    vm_ids: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Notices:
    """Response to `GET /notices`."""

    notices: tuple[events.Notice, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Prices:
    """Prices in `GET /prices` and `POST /admin/prices`."""

    prices: dict[str, float]


@dataclasses.dataclass(slots=True, frozen=True)
class Weights:
    """Response to `GET /weights/{model}`; the stand-in holds no weights."""

    model: str
    size_bytes: int
