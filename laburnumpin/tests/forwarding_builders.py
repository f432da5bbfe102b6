"""Builders of input for the tests of forwarding, with defaults."""

from __future__ import annotations

import random

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import budgets
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import events
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import reducer
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams

ENGINES = "engines"
PLAIN_SERVICE = "desk"
RETRY_LIMIT = budgets.RetryLimit(ratio=0.2, slack=60, window_ms=10_000)


def route(
    name: str = "drafts",
    *,
    prefix: str = "/drafts/",
    service: str = ENGINES,
    is_stream: bool = True,
    may_repeat: bool = False,
    max_attempts: int = 1,
    objective_ms: int = 1_000,
    priority: int = 1,
) -> deployment.Route:
    return deployment.Route(
        name=name,
        host="h.example",
        path_prefix=prefix,
        is_stream=is_stream,
        may_repeat=may_repeat,
        timeout_ms=15_000,
        objective_ms=objective_ms,
        gap_objective_ms=300,
        priority=priority,
        splits=(deployment.Split(service, 1.0),),
        max_attempts=max_attempts,
        anonymous=False,
    )


def autoscaling(**changes: object) -> deployment.Autoscaling:
    fields: dict[str, object] = {
        "min_per_zone": 1,
        "max_per_zone": 4,
        "boot_ms": 4_000,
        "reclaimable_price_share": 0.18,
        "price_by_zone": {"a": 0.85, "b": 1.2, "c": 1.0},
        **changes,
    }
    return deployment.Autoscaling(**fields)  # type: ignore[arg-type]


def customer(name: str = "acme", **changes: object) -> deployment.Customer:
    fields: dict[str, object] = {
        "name": name,
        "keys": (f"key-{name}",),
        "priority": None,
        "counts_tokens": True,
        "plain_tokens": 200,
        "rate_per_s": 1_000.0,
        "burst": 2_000.0,
        **changes,
    }
    return deployment.Customer(**fields)  # type: ignore[arg-type]


def configuration(
    version: int = 1,
    routes: tuple[deployment.Route, ...] | None = None,
    customers: tuple[deployment.Customer, ...] = (),
    bounds: deployment.Autoscaling | None = None,
    identity_path: str = "",
) -> deployment.Deployment:
    engine = deployment.EngineProfile(64, True)
    services = {
        ENGINES: deployment.Service(
            ENGINES, 300, engine, bounds or autoscaling(), identity_path
        ),
        PLAIN_SERVICE: deployment.Service(
            PLAIN_SERVICE, 96, None, None, identity_path
        ),
    }
    if routes is None:
        routes = (route(), calls())
    by_name = {c.name: c for c in customers}
    return deployment.Deployment(
        version, routes, services, by_name, deployment.CallerLimits()
    )


def calls(**changes: object) -> deployment.Route:
    """Return the route of an idempotent call to the plain service."""
    fields: dict[str, object] = {
        "prefix": "/reads/",
        "service": PLAIN_SERVICE,
        "is_stream": False,
        "may_repeat": True,
        "max_attempts": 2,
        "objective_ms": 150,
        **changes,
    }
    return route("reads", **fields)  # type: ignore[arg-type]


def registration(
    upstream_id: str = "u1", **changes: object
) -> upstreams.Registration:
    fields: dict[str, object] = {
        "upstream_id": upstream_id,
        "incarnation_ms": 1,
        "service": ENGINES,
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 64,
        "lifecycle": upstreams.Lifecycle.READY,
        "reclaimable": False,
        "cold_ms": 0,
        "leaves_in_ms": None,
        **changes,
    }
    return upstreams.Registration(**fields)  # type: ignore[arg-type]


def stated(
    now_ms: int,
    source: upstreams.Registration,
    *,
    sent_ms: int | None = None,
    **statement: object,
) -> events.UpstreamStated:
    """Return the event of an answer, with the fields of its statement."""
    return events.UpstreamStated(
        now_ms,
        source,
        upstreams.Statement(**statement),  # type: ignore[arg-type]
        sent_ms,
    )


def withdrawn(now_ms: int, request_id: str = "r1") -> events.AttemptFailed:
    """Return the event of an attempt that was given up before it was sent."""
    return events.AttemptFailed(
        now_ms,
        request_id,
        events.Ending.WITHDRAWN,
        verdicts.Verdict.NOT_RUN,
        False,
    )


def events_of_ready_upstream(now_ms: int) -> list[events.Event]:
    """Return events that tell of the upstream `u1` as of one that is ready."""
    return [
        events.UpstreamChanged(now_ms, 9, registration("u1")),
        events.UpstreamChanged(
            now_ms, 9, registration("u1", revision=99, slots=8)
        ),
        events.UpstreamChanged(
            now_ms, 9, registration("u1", address="10.0.0.7:81")
        ),
        events.UpstreamsListed(
            now_ms, 9, (registration("u1"), registration("u2")), True
        ),
        events.UpstreamChecked(now_ms, registration("u1"), True, False),
    ]


def request(request_id: str = "r1", **changes: object) -> requests.Request:
    fields: dict[str, object] = {
        "request_id": request_id,
        "route": route(),
        "service": ENGINES,
        "customer": None,
        "prompt": None,
        "units": 1.0,
        "arrived_ms": 0,
        "deadline_ms": 15_000,
        **changes,
    }
    return requests.Request(**fields)  # type: ignore[arg-type]


def prompt(tokens: int = 2_000, *part_ids: int) -> requests.Prompt:
    ids = part_ids or (1, 2, 3)
    each = tokens // len(ids)
    parts = tuple(requests.PromptPart(i, each) for i in ids)
    return requests.Prompt(each * len(ids), 100, parts)


def contact(
    name: str, address: str = "10.0.0.8:7500", **changes: object
) -> membership.Contact:
    fields: dict[str, object] = {"zone": "a", "link_mbps": 10.0, **changes}
    return membership.Contact(name, address, **fields)  # type: ignore[arg-type]


def state(
    *registrations: upstreams.Registration,
    current: deployment.Deployment | None = None,
    name: str = "entry-1",
) -> forwarding_state.ForwardingState:
    built = forwarding_state.ForwardingState(
        contact(name, "10.0.0.9:7500"), 1, RETRY_LIMIT, 5_000, random.Random(1)
    )
    in_force = current or configuration()
    reducer.reduce(built, events.DeploymentRead(0, in_force))
    reducer.reduce(
        built, events.UpstreamsListed(0, 1, tuple(registrations), False)
    )
    return built
