"""Settings of an entry that forwards requests."""

from __future__ import annotations

import dataclasses

from laburnumpin.forwarding import backoff
from laburnumpin.forwarding import budgets
from laburnumpin.forwarding import buffers
from laburnumpin.forwarding import completeness
from laburnumpin.forwarding import freshness
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.admission import settings as admission_settings
from laburnumpin.forwarding.configurations import limits
from laburnumpin.forwarding.rollouts import model


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardingSettings:
    """Names, addresses and limits of one process.

    Addresses are `IP:PORT`; `seeds` are peer addresses to which the first
    digests are sent. `duties` are the duties that the entry takes on while it
    holds the lease. `exit_ms` is the time from the exit signal until the
    process is killed. `quota_slack_units` is what all entries together may
    admit of a customer beyond its quota in a window. `retry_limit` limits the
    retries to each service. A usage window has to be reported within
    `usage_late_ms` of its end. `link_mbps` is the bandwidth of the entry's
    network link. `withholding` is for prompts that end engines, `backoff` for
    upstreams that ask for a back-off, and `answers` for the ends of upstreams'
    answers. `call_times` are those of calls to the platform, and `buffers`
    is for the bytes of requests and answers, `admission` for the connections
    of callers. A configuration that is longer than `max_configuration_bytes` is
    rejected. Upstreams register anew each `upstream_heartbeat_ms`.
    `rollouts` limits staged roll-outs, None if the deployment has
    none. `is_first_start` is whether the whole system starts for the first
    time.
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
    withholding: part_losses.WithholdingSettings = dataclasses.field(
        default_factory=part_losses.WithholdingSettings
    )
    backoff: backoff.BackoffSettings = dataclasses.field(
        default_factory=backoff.BackoffSettings
    )
    answers: completeness.AnswerSettings = dataclasses.field(
        default_factory=completeness.AnswerSettings
    )
    call_times: freshness.CallTimes = dataclasses.field(
        default_factory=freshness.CallTimes
    )
    buffers: buffers.BufferSettings = dataclasses.field(
        default_factory=buffers.BufferSettings
    )
    max_configuration_bytes: int = limits.MAX_CONFIGURATION_BYTES
    rollouts: model.RolloutSettings | None = None
    admission: admission_settings.AdmissionSettings = dataclasses.field(
        default_factory=admission_settings.default
    )
    is_first_start: bool = False
    upstream_heartbeat_ms: int = upstreams.DEFAULT_HEARTBEAT_MS
