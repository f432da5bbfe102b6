"""The whole state of an entry's forwarding."""

from __future__ import annotations

import random

from laburnumpin.core import counters
from laburnumpin.forwarding import budgets
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import size_classes
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding import usage


def class_name(service: str, number: int) -> str:
    """Return the name under which a class's work is counted."""
    return f"{service}/{number}"


class Active:
    """A request that has not ended."""

    __slots__ = (
        "began",
        "choice",
        "counted",
        "excluded",
        "first_ms",
        "kv_source",
        "may_have_run",
        "move_fallback",
        "move_target",
        "move_tried",
        "pending_tokens",
        "rejections",
        "request",
        "sends",
        "sent_ms",
    )

    def __init__(self, request: requests.Request) -> None:
        self.request = request
        self.sends = 0
        # Sends that were rejected without a run.
        self.rejections = 0
        self.choice: selection.Choice | None = None
        self.excluded: set[str] = set()
        self.pending_tokens = 0
        self.sent_ms = 0
        # When the first event came; 0 before.
        self.first_ms = 0
        # The engine that a stream is being moved to, and the one that it is
        # left at if that fails.
        self.move_target: upstreams.Upstream | None = None
        self.move_fallback: upstreams.Upstream | None = None
        # Whether a move off the present engine was asked for.
        self.move_tried = False
        self.kv_source = ""
        self.may_have_run = False
        # Whether a part of the answer has gone to the caller.
        self.began = False
        # Whether the request counts in its customer's usage.
        self.counted = False


class ForwardingState:
    """Everything that the decisions read and change."""

    __slots__ = (
        "active",
        "budget",
        "class_shares",
        "contact",
        "counters",
        "deployment",
        "digest_due_ms",
        "digests_sent",
        "fetch_due_ms",
        "incarnation_ms",
        "lease_token",
        "leaving_since_ms",
        "mean_log_ratios",
        "members",
        "name",
        "new_cached_parts",
        "new_log_ratios",
        "quotas",
        "random",
        "registry_read",
        "registry_version",
        "upstreams",
        "usage",
        "work_ms",
        "zone",
    )

    def __init__(
        self,
        contact: membership.Contact,
        incarnation_ms: int,
        bound: budgets.RetryLimit,
        usage_window_ms: int,
        generator: random.Random,
        quota_slack_units: float = 0.0,
    ) -> None:
        self.contact = contact
        self.name = contact.name
        self.zone = contact.zone
        self.incarnation_ms = incarnation_ms
        self.random = generator
        self.counters = counters.Counters()
        self.deployment: deployment.Deployment | None = None
        self.upstreams = upstreams.Table()
        self.registry_version = 0
        self.registry_read = False
        self.active: dict[str, Active] = {}
        self.budget = budgets.RetryBudget(bound)
        self.quotas = budgets.Quotas(quota_slack_units)
        self.usage = usage.Usage(usage_window_ms)
        self.members = membership.Members(contact)
        self.lease_token = 0
        self.leaving_since_ms: int | None = None
        self.digest_due_ms = 0
        self.digests_sent = 0
        self.fetch_due_ms = 0
        # Engine time of the requests that arrived here, by service.
        self.work_ms: dict[str, float] = {}
        # The parts of the work of the classes of prompt sizes, and the mean
        # pace of upstreams, by service.
        self.class_shares: dict[str, size_classes.Shares] = {}
        self.mean_log_ratios: dict[str, float] = {}
        # Answers since the last digest with the sum of their paces, by
        # upstream.
        self.new_log_ratios: dict[str, tuple[int, float]] = {}
        # Prompt parts read by upstreams since the last digest.
        self.new_cached_parts: list[tuple[str, int]] = []

    def service(self, name: str) -> deployment.Service | None:
        """Return a service of the configuration in force, if it is there."""
        if self.deployment is None:
            return None
        return self.deployment.services.get(name)

    def add_work(self, service: str, work_ms: float) -> None:
        """Count engine time that a request takes."""
        self.work_ms[service] = self.work_ms.get(service, 0.0) + work_ms

    def total_work_ms(self, service: str) -> float:
        """Return the engine time of all requests that the entries counted."""
        total = self.work_ms.get(service, 0.0)
        return total + self.members.work_ms(service)

    def view(self, service: str) -> selection.View:
        """Return what a choice of an upstream has to know of all of them."""
        known = self.class_shares.get(service)
        return selection.View(
            self.members.count(),
            None if known is None else known.shares,
            self.mean_log_ratios.get(service, 0.0),
        )

    def update_service_statistics(self, now_ms: int) -> None:
        """Bring up to date what is known of all upstreams together."""
        if self.deployment is None:
            return
        for service in self.deployment.services.values():
            name = service.name
            self.mean_log_ratios[name] = self.upstreams.mean_log_ratio(
                name, now_ms
            )
            if service.engine is None:
                continue
            known = self.class_shares.setdefault(name, size_classes.Shares())
            work_ms = []
            for number in range(size_classes.CLASSES):
                work_ms.append(self.total_work_ms(class_name(name, number)))
            known.observe(work_ms)

    def unreachable_entry_factor(self, now_ms: int) -> float:
        """Return how many entries there are for each one that is heard.

        Entries that are cut off from this one still send their requests on.
        """
        return self.members.count() / (len(self.members.live(now_ms)) + 1)
