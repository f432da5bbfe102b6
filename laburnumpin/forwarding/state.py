"""The state of an entry that forwards requests."""

from __future__ import annotations

import dataclasses
import random

from laburnumpin.core import counters
from laburnumpin.forwarding import backoff
from laburnumpin.forwarding import budgets
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import size_classes
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.capacity import model as capacity_model
from laburnumpin.forwarding.rollouts import book
from laburnumpin.forwarding.rollouts import model
from laburnumpin.forwarding.rollouts import rollouts
from laburnumpin.forwarding.usage_reports import counts as usage

# Digests that follow at once when an entry has learned what its peers need;
# more than one, since datagrams get lost.
EARLY_DIGESTS = 3


def class_work_key(service: str, class_index: int) -> str:
    """Return the key under which the work of a prompt size class is counted."""
    return f"{service}/{class_index}"


class ActiveRequest:
    """A forwarded request that has not ended."""

    __slots__ = (
        "answer_started",
        "choice",
        "connected_ms",
        "excluded",
        "first_event_ms",
        "has_started",
        "is_judged",
        "is_trial",
        "kv_source",
        "move_fallback",
        "move_requested",
        "move_target",
        "pending_tokens",
        "rejections",
        "request",
        "sends",
        "sends_not_run",
        "sent_ms",
    )

    def __init__(self, request: requests.Request) -> None:
        self.request = request
        # Attempts that were sent to an upstream, and those of them that are
        # proved not to have run.
        self.sends = 0
        self.sends_not_run = 0
        # Sends that were rejected without a run.
        self.rejections = 0
        # The upstream of the current attempt.
        self.choice: selection.Choice | None = None
        # Ids of upstreams at which an attempt has failed.
        self.excluded: set[str] = set()
        # Prompt tokens that the current upstream has not read yet.
        self.pending_tokens = 0
        self.sent_ms = 0
        # When the attempt had a connection; 0 before.
        self.connected_ms = 0
        # Whether a roll-out counts the answer to the current attempt.
        self.is_judged = False
        # Time of the first event of the answer; 0 before.
        self.first_event_ms = 0
        # The engine that a stream is being moved to, and its former engine,
        # which continues it if the target rejects it.
        self.move_target: upstreams.Upstream | None = None
        self.move_fallback: upstreams.Upstream | None = None
        # Whether a move from the current engine has been requested.
        self.move_requested = False
        # Names the KV cache of a stream that was stopped for a move.
        self.kv_source = ""
        # Whether a part of the answer has been sent to the caller.
        self.answer_started = False
        # Whether an upstream has begun to run the request, which then counts
        # in its customer's usage.
        self.has_started = False
        # Whether it finds out if its upstream still ends under a withheld one.
        self.is_trial = False

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have run the request.

        Each one counts from its send on, until it is itself proved not to have
        run. What becomes of a later one tells nothing about it.
        """
        return self.has_started or self.sends > self.sends_not_run

    def record_not_run(self, *, was_sent: bool) -> None:
        """Record that the current attempt has not run the request."""
        if was_sent:
            self.sends_not_run += 1
        else:
            self.sends -= 1


@dataclasses.dataclass(slots=True, frozen=True)
class Suspect:
    """A request that an upstream may have ended under.

    `ids` are those of `Request.suspects`, and `ran_ms` is the time from its
    sending to its failure.
    """

    ids: tuple[int, ...]
    service: str
    ran_ms: int


class BrokenUpstream:
    """An upstream's incarnation whose connections broke while it ran requests.

    `suspects` are these requests, until the end of the upstream is confirmed.
    """

    __slots__ = ("is_confirmed", "since_ms", "suspects")

    def __init__(self, now_ms: int) -> None:
        self.since_ms = now_ms
        self.is_confirmed = False
        self.suspects: list[Suspect] = []


class ForwardingState:
    """All state that decisions on requests, peers and upstreams depend on."""

    __slots__ = (
        "active",
        "backoff_settings",
        "broken_upstreams",
        "budget",
        "contact",
        "counters",
        "deployment",
        "digest_due_ms",
        "digest_sent_ms",
        "digests_sent",
        "early_digests",
        "exit_by_ms",
        "fetch_due_ms",
        "has_seen_restore",
        "highest_lease_token",
        "incarnation_ms",
        "lease_token",
        "leaving_since_ms",
        "limits_due_ms",
        "members",
        "name",
        "new_cached_parts",
        "new_log_ratios",
        "part_losses",
        "quotas",
        "random",
        "registry_read",
        "registry_version",
        "reported_withheld",
        "rollout_book",
        "rollout_settings",
        "rollouts",
        "service_models",
        "store_era",
        "store_era_since_ms",
        "upstreams",
        "usage",
        "work_ms",
        "work_requests",
        "work_shares",
        "zone",
    )

    def __init__(
        self,
        contact: membership.Contact,
        incarnation_ms: int,
        retry_limit: budgets.RetryLimit,
        usage_window_ms: int,
        generator: random.Random,
        quota_slack_units: float = 0.0,
        withholding: part_losses.WithholdingSettings | None = None,
        backoff_settings: backoff.BackoffSettings | None = None,
        rollout_settings: model.RolloutSettings | None = None,
    ) -> None:
        self.contact = contact
        self.name = contact.name
        self.zone = contact.zone
        # Start of this process, wall-clock time in Unix milliseconds.
        self.incarnation_ms = incarnation_ms
        self.random = generator
        self.counters = counters.Counters()
        self.deployment: deployment.Deployment | None = None
        self.upstreams = upstreams.UpstreamTable()
        self.backoff_settings = backoff_settings or backoff.BackoffSettings()
        # None if the deployment has no roll-outs.
        self.rollout_settings = rollout_settings
        self.rollouts = rollouts.Rollouts(rollout_settings, generator)
        self.rollout_book = book.Book()
        # The newest era of the store that is known, 0 if it names none, and
        # when it was first heard of here.
        self.store_era = 0
        self.store_era_since_ms = 0
        # Whether the store was restored while this process ran.
        self.has_seen_restore = False
        # Version of the registrations, in that era.
        self.registry_version = 0
        self.registry_read = False
        # Highest fencing token of any holder of the lease.
        self.highest_lease_token = 0
        self.active: dict[str, ActiveRequest] = {}
        self.budget = budgets.RetryBudget(retry_limit)
        self.quotas = budgets.Quotas(quota_slack_units)
        self.usage = usage.Usage(usage_window_ms)
        self.members = membership.Members(contact)
        # Fencing token while this entry holds the lease, else 0.
        self.lease_token = 0
        # Start of the exit; None before.
        self.leaving_since_ms: int | None = None
        # When the process exits at the latest; None before `leaving_since_ms`.
        self.exit_by_ms: int | None = None
        self.digest_due_ms = 0
        self.digest_sent_ms = 0
        self.digests_sent = 0
        # When the limits of upstreams are divided among the entries again.
        self.limits_due_ms = 0
        # Digests still to be sent before the next one is due.
        self.early_digests = 0
        # No fetch from a peer before this time.
        self.fetch_due_ms = 0
        # Engine time of the requests that arrived here, by service, and by
        # service and prompt size class.
        self.work_ms: dict[str, float] = {}
        # Requests that the engine time of each service is from.
        self.work_requests: dict[str, int] = {}
        # By service: the shares of the prompt size classes in the work, and
        # the times of its typical upstream.
        self.work_shares: dict[str, size_classes.WorkShares] = {}
        self.service_models: dict[str, capacity_model.ServiceModel] = {}
        # By upstream: the answers since the last digest and the sum of the
        # logarithms of their observed latency to that of a typical upstream.
        self.new_log_ratios: dict[str, tuple[int, float]] = {}
        self.part_losses = part_losses.PartLosses(
            withholding or part_losses.WithholdingSettings()
        )
        # What is withheld according to the log.
        self.reported_withheld: tuple[part_losses.Withheld, ...] = ()
        # By id and incarnation.
        self.broken_upstreams: dict[tuple[str, int], BrokenUpstream] = {}
        # Upstreams with the prompt parts that they read since the last digest.
        self.new_cached_parts: list[tuple[str, int]] = []

    def request_early_digest(self) -> None:
        """Send the next digests early, as peers need what was learned."""
        self.early_digests = EARLY_DIGESTS

    def service(self, name: str) -> deployment.Service | None:
        """Return a service of the configuration in force, if it exists."""
        if self.deployment is None:
            return None
        return self.deployment.services.get(name)

    def add_work(self, service: str, work_ms: float) -> None:
        """Count the engine time that a request takes."""
        self.work_ms[service] = self.work_ms.get(service, 0.0) + work_ms

    def mean_work_ms(self, service: str) -> float:
        """Return the mean engine time of this entry's requests; 0 if none."""
        requests_counted = self.work_requests.get(service, 0)
        return self.work_ms.get(service, 0.0) / max(1, requests_counted)

    def total_work_ms(self, service: str) -> float:
        """Return the engine time that this entry and its peers have counted."""
        total = self.work_ms.get(service, 0.0)
        return total + self.members.work_ms(service)

    def view(self, service: str) -> selection.ServiceView:
        """Return the statistics of a service for the choice of an upstream."""
        work_shares = self.work_shares.get(service)
        return selection.ServiceView(
            self.members.count(),
            None if work_shares is None else work_shares.shares,
            self.service_model(service),
        )

    def service_model(self, service: str) -> capacity_model.ServiceModel:
        """Return the times of a service's typical upstream."""
        return self.service_models.setdefault(
            service, capacity_model.ServiceModel()
        )

    def update_service_statistics(self) -> None:
        """Update the class shares of all services."""
        if self.deployment is None:
            return
        for service in self.deployment.services.values():
            name = service.name
            if service.engine is None:
                continue
            work_shares = self.work_shares.setdefault(
                name, size_classes.WorkShares()
            )
            work_ms = []
            for class_index in range(size_classes.CLASS_COUNT):
                work_ms.append(
                    self.total_work_ms(class_work_key(name, class_index))
                )
            work_shares.observe(work_ms)

    def unreachable_entry_factor(self, now_ms: int) -> float:
        """Return the ratio of known entries to those with recent digests.

        The autoscaler multiplies the load by it, since entries that are
        partitioned from this one still forward requests.
        """
        return self.members.count() / (len(self.members.live(now_ms)) + 1)
