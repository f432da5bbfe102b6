"""Decoders of the operator's configuration and of upstream registrations."""

from __future__ import annotations

import json
import math
import re
from typing import Any

from laburnumpin import exceptions
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import upstreams

CONFIGURATION_KEY = "config"
_ADDRESS_PATTERN = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_LIFECYCLE_BY_STATE = {
    "ready": upstreams.Lifecycle.READY,
    "draining": upstreams.Lifecycle.LEAVING,
}


class PlatformDocuments:
    """Implements `Documents` for the platform's JSON formats."""

    __slots__ = ()

    def decode_deployment(
        self, rows: interfaces.Rows
    ) -> deployment.Deployment | None:
        """Return the configuration in the operator's rows; None without one.

        Raises:
            DocumentError: The configuration is malformed.
        """
        for row in rows.rows:
            if row.key != CONFIGURATION_KEY or row.value is None:
                continue
            try:
                return _decode_deployment(json.loads(row.value))
            except (
                AttributeError,
                KeyError,
                TypeError,
                ValueError,
            ) as error:
                raise exceptions.DocumentError(
                    f"the configuration is malformed: {error!r}"
                ) from error
        return None

    def decode_registration(
        self, row: interfaces.Row
    ) -> upstreams.Registration | None:
        """Return the registration in a row.

        None if the row was removed, is malformed or has a state other than
        `ready` and `draining`.
        """
        if row.value is None:
            return None
        try:
            document = json.loads(row.value)
        except ValueError:
            return None
        if not isinstance(document, dict):
            return None
        lifecycle = _LIFECYCLE_BY_STATE.get(str(document.get("state")))
        service = document.get("service")
        address = document.get("address")
        zone = document.get("zone")
        slots = document.get("slots")
        # `born` is the start time of the upstream in Unix milliseconds.
        born = document.get("born", 0)
        if lifecycle is None or not isinstance(service, str):
            return None
        if not isinstance(address, str) or not _ADDRESS_PATTERN.fullmatch(
            address
        ):
            return None
        if not isinstance(zone, str) or not _is_int(slots):
            return None
        if not _is_int(born):
            return None
        revision = document.get("seq")
        return upstreams.Registration(
            upstream_id=row.key,
            incarnation_ms=int(born),
            service=service,
            address=address,
            zone=zone,
            slots=int(str(slots)),
            lifecycle=lifecycle,
            reclaimable=document.get("spot") is True,
            cold_ms=_duration_ms(document.get("cold_remaining_ms")) or 0,
            leaves_in_ms=_duration_ms(document.get("leaves_ms")),
            revision=max(0, int(str(revision))) if _is_int(revision) else 0,
        )


def _duration_ms(value: object) -> int | None:
    """Return a duration in ms; None if the value is not a finite number."""
    if isinstance(value, int | float) and math.isfinite(value):
        return int(value)
    return None


def _is_int(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _decode_deployment(document: dict[str, Any]) -> deployment.Deployment:
    services = {}
    for fields in document.get("services", []):
        service = _decode_service(fields)
        services[service.name] = service
    customers = {}
    for fields in document.get("tenants", []):
        customer = _decode_customer(fields)
        customers[customer.name] = customer
    limits = document.get("limits", {})
    defaults = deployment.CallerLimits()
    return deployment.Deployment(
        version=int(document["version"]),
        routes=tuple(_decode_route(f) for f in document.get("routes", [])),
        services=services,
        customers=customers,
        limits=deployment.CallerLimits(
            int(limits.get("max_header_bytes", defaults.max_header_bytes)),
            int(limits.get("max_body_bytes", defaults.max_body_bytes)),
            int(limits.get("header_timeout_ms", defaults.header_timeout_ms)),
            int(limits.get("idle_timeout_ms", defaults.idle_timeout_ms)),
        ),
    )


def _decode_route(fields: dict[str, Any]) -> deployment.Route:
    kind = fields["route_type"]
    if kind not in ("idempotent", "non_idempotent", "streaming"):
        raise ValueError(f"unknown route_type: {kind}")
    is_stream = kind == "streaming"
    splits = []
    for split in fields.get("traffic_split") or []:
        weight = float(split.get("weight", 1))
        splits.append(deployment.Split(split["service"], weight))
    if not splits:
        splits.append(deployment.Split(fields["service"], 1.0))
    may_resume = is_stream and bool(fields.get("stream_resume"))
    return deployment.Route(
        name=str(fields["name"]),
        host=str(fields["host"]).lower(),
        path_prefix=str(fields["path_prefix"]),
        is_stream=is_stream,
        may_repeat=kind == "idempotent" or may_resume,
        timeout_ms=int(fields["timeout_ms"]),
        objective_ms=int(fields.get("target_latency_ms", 1_000)),
        gap_objective_ms=int(fields.get("gap_aim_ms") or 0),
        priority=int(fields.get("priority", 5)),
        splits=tuple(splits),
        max_attempts=max(1, int(fields.get("max_attempts", 1))),
        anonymous=bool(fields.get("anonymous")),
    )


def _decode_service(fields: dict[str, Any]) -> deployment.Service:
    engine = None
    if fields.get("engine"):
        engine_fields = fields["engine"]
        engine = deployment.EngineProfile(
            slots=int(engine_fields["slots"]),
            moves_streams=engine_fields.get("moves") is True,
        )
    autoscaling = None
    if fields.get("autoscaling"):
        scaling_fields = fields["autoscaling"]
        autoscaling = deployment.Autoscaling(
            # The platform's limits apply to each zone.
            min_per_zone=int(scaling_fields["min_replicas"]),
            max_per_zone=int(scaling_fields["max_replicas"]),
            boot_ms=int(float(scaling_fields.get("boot_time_s", 5)) * 1_000),
            # Absent if the service has no reclaimable upstreams.
            reclaimable_price_share=float(
                scaling_fields.get("spot_price", 1.0)
            ),
            price_by_zone={
                str(zone): float(price)
                for zone, price in scaling_fields.get("zone_prices", {}).items()
            },
        )
    return deployment.Service(
        name=str(fields["name"]),
        max_connections=int(fields.get("max_connections", 100)),
        engine=engine,
        autoscaling=autoscaling,
    )


def _decode_customer(fields: dict[str, Any]) -> deployment.Customer:
    priority = fields.get("priority")
    return deployment.Customer(
        name=str(fields["name"]),
        keys=tuple(str(key) for key in fields.get("api_keys", [])),
        priority=None if priority is None else int(priority),
        counts_tokens=fields.get("unit") == "tokens",
        plain_tokens=int(fields.get("plain_tokens", 1)),
        rate_per_s=float(fields.get("rate_per_s") or 0),
        burst=float(fields.get("burst") or 0),
    )
