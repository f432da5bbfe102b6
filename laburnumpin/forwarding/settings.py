"""Settings of an entry that forwards requests."""

from __future__ import annotations

import dataclasses

from laburnumpin.forwarding import budgets


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardingSettings:
    """Addresses, bounds and names of one process.

    Addresses are `IP:PORT`. `exit_ms` is the time from the request to exit
    until the process is killed; `quota_slack_units` is what all entries may
    admit of a customer beyond its quota in a window.
    """

    name: str
    zone: str
    caller_address: str
    readiness_address: str
    peer_address: str
    seeds: tuple[str, ...]
    store_address: str
    cloud_address: str
    duties: tuple[str, ...]
    exit_ms: int
    quota_slack_units: float
    lease_ms: int
    retry_limit: budgets.RetryLimit
    usage_window_ms: int
    usage_late_ms: int
    link_mbps: float
