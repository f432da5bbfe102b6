"""Decoders of the operator's configuration and of upstream registrations."""

from __future__ import annotations

from collections.abc import Generator
from collections.abc import Sequence
from typing import Any

from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.configurations import decoded
from laburnumpin.forwarding.configurations import json_lists
from laburnumpin.forwarding.configurations import limits
from laburnumpin.forwarding.configurations import pacing

CONFIGURATION_KEY = "config"
# Longest rows that are read. The platform limits a row to 65,536 bytes.
MAX_REGISTRATION_BYTES = 65_536
# Most requests at once, connections, attempts and priority that are taken from
# a document.
MAX_SLOTS = 1_000_000
MAX_CONNECTIONS = 10_000_000
MAX_ATTEMPTS = 1_000
MAX_PRIORITY = 1_000_000
MAX_UPSTREAMS = 1_000_000
# Longest time limit and size of a caller's request.
MAX_LIMIT_BYTES = 2**40
# Longest text in a configuration: a path prefix or a key.
MAX_TEXT_CHARS = 8_192
# Longest version of an upstream's software.
MAX_VERSION_CHARS = 200
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
            MalformedError: The configuration is malformed.
        """
        found = pacing.run_at_once(self.deployment_steps(rows.rows, ()))
        return None if found is None else found.deployment

    def deployment_steps(
        self,
        rows: Sequence[interfaces.Row],
        known: Sequence[decoded.Configuration],
    ) -> Generator[None, None, decoded.Configuration | None]:
        """Return the configuration in the operator's rows; None without one.

        What is unchanged is taken from `known`, of which the first one is the
        base. Yields where the computation may pause.

        Raises:
            MalformedError: The configuration is malformed or too large.
        """
        for row in rows:
            if row.key != CONFIGURATION_KEY or row.value is None:
                continue
            for configuration in known:
                yield
                if configuration.document.value == row.value:
                    return configuration
            return (
                yield from _configuration_steps(
                    row.value,
                    known[0] if known else None,
                )
            )
        return None

    def is_configuration(self, key: str) -> bool:
        """Return whether an operator's row with this key is a configuration."""
        return key == CONFIGURATION_KEY

    def decode_registration(
        self, row: interfaces.Row
    ) -> upstreams.Registration | None:
        """Return the registration in a row; None if the row was removed.

        Raises:
            MalformedError: The row is malformed, or has a state other than
                `ready` and `draining`.
        """
        if row.value is None:
            return None
        document = untrusted.parse_json(row.value, MAX_REGISTRATION_BYTES)
        state = untrusted.text(_get(document, "state"), "state")
        if state not in _LIFECYCLE_BY_STATE:
            raise untrusted.MalformedError("state", "unknown_value")
        leaves_ms = document.get("leaves_ms")
        return upstreams.Registration(
            upstream_id=untrusted.name(row.key, "key"),
            # `born` is the start time of the upstream in Unix milliseconds.
            incarnation_ms=untrusted.integer(
                document.get("born", 0), "born", 0, untrusted.MAX_UNIX_MS
            ),
            service=untrusted.text(_get(document, "service"), "service"),
            address=untrusted.address(_get(document, "address"), "address"),
            zone=untrusted.text(_get(document, "zone"), "zone"),
            slots=untrusted.integer(
                _get(document, "slots"), "slots", 1, MAX_SLOTS
            ),
            lifecycle=_LIFECYCLE_BY_STATE[state],
            reclaimable=document.get("spot") is True,
            cold_ms=untrusted.duration_ms(
                document.get("cold_remaining_ms") or 0, "cold_remaining_ms"
            ),
            leaves_in_ms=None
            if leaves_ms is None
            else untrusted.duration_ms(leaves_ms, "leaves_ms"),
            revision=_decode_revision(document.get("seq")),
            version=_decode_version(document.get("version")),
        )


def _decode_revision(value: object) -> int:
    """Return the number of a registration's write, 0 if it has none."""
    try:
        return untrusted.integer(value, "seq")
    except untrusted.MalformedError:
        return 0


def _decode_version(value: object) -> str:
    """Return the version of an upstream's software, empty if it has none.

    An upstream whose version cannot be read serves all the same.
    """
    try:
        return untrusted.text(value, "version", MAX_VERSION_CHARS)
    except untrusted.MalformedError:
        return ""


def _get(document: dict[str, Any], field: str) -> Any:
    return untrusted.required(document, field)


def _whole(
    document: dict[str, Any],
    field: str,
    default: int | None = None,
    *,
    low: int = 0,
    high: int,
) -> int:
    """Return a number as an integer; JSON may write it with a fraction."""
    value = document.get(field)
    if value is None:
        value = _get(document, field) if default is None else default
    return int(untrusted.number(value, field, low, high))


def _configuration_steps(
    value: bytes, base: decoded.Configuration | None
) -> Generator[None, None, decoded.Configuration]:
    document = yield from json_lists.decode(
        value,
        limits.LONGEST_CONFIGURATION_BYTES,
        {
            "services": _decode_service,
            "tenants": _decode_customer,
            "routes": _decode_route,
        },
        None if base is None else base.document,
    )
    services: dict[str, deployment.Service] = {}
    for service in _items(document, "services"):
        services[service.name] = service
        yield
    customers: dict[str, deployment.Customer] = {}
    for customer in _items(document, "tenants"):
        customers[customer.name] = customer
        yield
    found = yield from deployment.build_steps(
        untrusted.integer(_get(document.fields, "version"), "version"),
        tuple(_items(document, "routes")),
        services,
        customers,
        _decode_limits(_object(document.fields, "limits")),
    )
    return decoded.Configuration(found, document)


def _items(document: json_lists.Document, field: str) -> list[Any]:
    """Return the items of a list, empty without the field."""
    found = document.lists.get(field)
    return [] if found is None else found.items


def _objects(document: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """Return a list of objects, empty without the field."""
    values = untrusted.sequence(document.get(field) or [], field)
    return [untrusted.mapping(value, field) for value in values]


def _object(document: dict[str, Any], field: str) -> dict[str, Any]:
    """Return an object, empty without the field."""
    return untrusted.mapping(document.get(field) or {}, field)


def _text(document: dict[str, Any], field: str) -> str:
    return untrusted.text(_get(document, field), field, MAX_TEXT_CHARS)


def _decode_limits(fields: dict[str, Any]) -> deployment.CallerLimits:
    defaults = deployment.CallerLimits()
    longest_ms = untrusted.MAX_DURATION_MS
    return deployment.CallerLimits(
        _whole(
            fields,
            "max_header_bytes",
            defaults.max_header_bytes,
            high=MAX_LIMIT_BYTES,
        ),
        _whole(
            fields,
            "max_body_bytes",
            defaults.max_body_bytes,
            high=MAX_LIMIT_BYTES,
        ),
        _whole(
            fields,
            "header_timeout_ms",
            defaults.header_timeout_ms,
            high=longest_ms,
        ),
        _whole(
            fields,
            "idle_timeout_ms",
            defaults.idle_timeout_ms,
            high=longest_ms,
        ),
    )


def _decode_route(fields: dict[str, Any]) -> deployment.Route:
    kind = _text(fields, "route_type")
    if kind not in ("idempotent", "non_idempotent", "streaming"):
        raise untrusted.MalformedError("route_type", "unknown_value")
    is_stream = kind == "streaming"
    splits = []
    for split in _objects(fields, "traffic_split"):
        weight = untrusted.number(split.get("weight", 1), "weight")
        splits.append(deployment.Split(_text(split, "service"), weight))
    if not splits:
        splits.append(deployment.Split(_text(fields, "service"), 1.0))
    if not any(split.weight for split in splits):
        raise untrusted.MalformedError("weight", "out_of_range")
    may_resume = is_stream and bool(fields.get("stream_resume"))
    longest_ms = untrusted.MAX_DURATION_MS
    return deployment.Route(
        name=_text(fields, "name"),
        host=_text(fields, "host").lower(),
        path_prefix=_text(fields, "path_prefix"),
        is_stream=is_stream,
        may_repeat=kind == "idempotent" or may_resume,
        timeout_ms=_whole(fields, "timeout_ms", high=longest_ms),
        objective_ms=_whole(
            fields, "target_latency_ms", 1_000, high=longest_ms
        ),
        gap_objective_ms=_whole(fields, "gap_aim_ms", 0, high=longest_ms),
        priority=_whole(
            fields, "priority", 5, low=-MAX_PRIORITY, high=MAX_PRIORITY
        ),
        splits=tuple(splits),
        max_attempts=max(
            1, _whole(fields, "max_attempts", 1, high=MAX_ATTEMPTS)
        ),
        anonymous=bool(fields.get("anonymous")),
    )


def _decode_service(fields: dict[str, Any]) -> deployment.Service:
    engine = None
    engine_fields = _object(fields, "engine")
    if engine_fields:
        engine = deployment.EngineProfile(
            slots=_whole(engine_fields, "slots", high=MAX_SLOTS),
            moves_streams=engine_fields.get("moves") is True,
        )
    autoscaling = None
    scaling_fields = _object(fields, "autoscaling")
    if scaling_fields:
        autoscaling = _decode_autoscaling(scaling_fields)
    return deployment.Service(
        name=_text(fields, "name"),
        max_connections=_whole(
            fields, "max_connections", 100, high=MAX_CONNECTIONS
        ),
        engine=engine,
        autoscaling=autoscaling,
        identity_path=_decode_path(fields.get("health_path")),
    )


def _decode_path(value: object) -> str:
    """Return a path that can be requested, empty if it cannot."""
    if not isinstance(value, str) or not value.startswith("/"):
        return ""
    if len(value) > MAX_TEXT_CHARS or not value.isascii():
        return ""
    return "" if any(c <= " " or c == "\x7f" for c in value) else value


def _decode_autoscaling(fields: dict[str, Any]) -> deployment.Autoscaling:
    boot_s = untrusted.number(
        fields.get("boot_time_s", 5),
        "boot_time_s",
        0.0,
        untrusted.MAX_DURATION_MS / 1_000,
    )
    prices = {}
    for zone, price in _object(fields, "zone_prices").items():
        prices[zone] = untrusted.number(price, "zone_prices")
    return deployment.Autoscaling(
        # The platform's limits apply to each zone.
        min_per_zone=_whole(fields, "min_replicas", high=MAX_UPSTREAMS),
        max_per_zone=_whole(fields, "max_replicas", high=MAX_UPSTREAMS),
        boot_ms=int(boot_s * 1_000),
        # Absent if the service has no reclaimable upstreams.
        reclaimable_price_share=untrusted.number(
            fields.get("spot_price", 1.0), "spot_price"
        ),
        price_by_zone=prices,
    )


def _decode_customer(fields: dict[str, Any]) -> deployment.Customer:
    priority = fields.get("priority")
    if priority is not None:
        priority = _whole(
            fields, "priority", low=-MAX_PRIORITY, high=MAX_PRIORITY
        )
    keys = untrusted.sequence(fields.get("api_keys") or [], "api_keys")
    return deployment.Customer(
        # It is sent in a header.
        name=untrusted.name(_get(fields, "name"), "name"),
        keys=tuple(
            untrusted.text(key, "api_keys", MAX_TEXT_CHARS) for key in keys
        ),
        priority=priority,
        counts_tokens=fields.get("unit") == "tokens",
        plain_tokens=_whole(
            fields, "plain_tokens", 1, high=untrusted.MAX_COUNTER
        ),
        rate_per_s=untrusted.number(
            fields.get("rate_per_s") or 0, "rate_per_s"
        ),
        burst=untrusted.number(fields.get("burst") or 0, "burst"),
    )
