"""Tests of the decoders of the platform's documents and settings file."""

from __future__ import annotations

import json
import tomllib
from typing import Any

import pytest

from laburnumpin import exceptions
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding import upstreams
from laburnumpin.platform import documents
from laburnumpin.platform import settings
from laburnumpin.platform import standins

DOCUMENTS = documents.PlatformDocuments()
HUGE = 10**400


def _decode_registration(**changes: object) -> upstreams.Registration | None:
    document: dict[str, Any] = {
        "service": "engines",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        "born": 12,
        **changes,
    }
    row = interfaces.Row("u1", json.dumps(document).encode(), 1)
    return DOCUMENTS.decode_registration(row)


def test_registration_is_decoded() -> None:
    registration = _decode_registration(
        spot=True, state="draining", leaves_ms=2_500
    )
    assert registration is not None
    assert registration.incarnation_ms == 12
    assert registration.reclaimable
    assert registration.lifecycle is upstreams.Lifecycle.LEAVING
    assert registration.leaves_in_ms == 2_500


@pytest.mark.parametrize(
    "change",
    [
        {"state": "sleeping"},
        {"state": None},
        {"service": 4},
        {"address": "somewhere"},
        {"address": None},
        {"slots": "many"},
        {"slots": True},
        {"born": "today"},
        {"zone": []},
        {"slots": 0},
        {"slots": -5},
        {"slots": HUGE},
        {"born": HUGE},
        {"born": -1},
        {"cold_remaining_ms": HUGE},
        {"cold_remaining_ms": "long"},
        {"leaves_ms": HUGE},
        {"leaves_ms": 1e308},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999"},
        {"address": "999.0.0.1:80"},
        {"address": "10.0.0.1:80\r\nX: y"},
        {"zone": "z" * 1_000},
        {"service": {}},
    ],
)
def test_malformed_registration_is_rejected(
    change: dict[str, object],
) -> None:
    with pytest.raises(untrusted.MalformedError) as raised:
        _decode_registration(**change)
    assert raised.value.field in change


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"7",
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b'{"zone": "' + b"z" * 100_000 + b'"}',
        b'{"slots": ' + b"9" * 10_000 + b"}",
    ],
)
def test_unreadable_registration_is_rejected(value: bytes) -> None:
    with pytest.raises(untrusted.MalformedError):
        DOCUMENTS.decode_registration(interfaces.Row("u1", value, 1))


def test_key_that_no_header_can_carry_is_rejected() -> None:
    value = json.dumps({"state": "ready"}).encode()
    for key in ("", "u\r\n1", "u" * 300):
        with pytest.raises(untrusted.MalformedError):
            DOCUMENTS.decode_registration(interfaces.Row(key, value, 1))


def test_removed_registration_is_none() -> None:
    assert DOCUMENTS.decode_registration(interfaces.Row("u1", None, 1)) is None


def _rows(document: object) -> interfaces.Rows:
    value = json.dumps(document).encode()
    return interfaces.Rows((interfaces.Row("config", value, 1),), 1)


def test_configuration_is_decoded() -> None:
    configuration = DOCUMENTS.decode_deployment(
        _rows(standins.configuration(7, "v7"))
    )
    assert configuration is not None
    assert configuration.version == 7
    route = configuration.match("h.example", "/notes/a/b")
    assert route is not None
    assert route.may_repeat
    draft = configuration.match("h.example", "/drafts/a")
    assert draft is not None
    assert not draft.may_repeat
    assert configuration.match("h.example", "/draft") is None
    customer = configuration.customer_of("key-1")
    assert customer is not None
    assert customer.name == "acme"


@pytest.mark.parametrize(
    "document",
    [
        {},
        [],
        {"version": 1, "routes": [{"name": "r"}]},
        {"version": "7"},
        {"version": HUGE},
        {"version": -1},
        {"version": 1, "limits": {"idle_timeout_ms": HUGE}},
        {"version": 1, "limits": {"idle_timeout_ms": float("inf")}},
        {"version": 1, "routes": "none"},
        {"version": 1, "tenants": [{"name": "a", "rate_per_s": HUGE}]},
        {"version": 1, "tenants": [{"name": "a\r\nb"}]},
        {"version": 1, "services": [{"name": "s", "max_connections": -1}]},
        {
            "version": 1,
            "services": [
                {
                    "name": "s",
                    "autoscaling": {
                        "min_replicas": 1,
                        "max_replicas": 2,
                        "boot_time_s": 1e308,
                    },
                }
            ],
        },
    ],
)
def test_malformed_configuration_is_rejected(document: object) -> None:
    with pytest.raises(exceptions.DocumentError):
        DOCUMENTS.decode_deployment(_rows(document))


def test_configuration_that_is_nested_too_deeply_is_rejected() -> None:
    row = interfaces.Row("config", b'{"version":' * 100_000, 1)
    with pytest.raises(exceptions.DocumentError):
        DOCUMENTS.decode_deployment(interfaces.Rows((row,), 1))


def test_settings_are_decoded() -> None:
    text = standins.settings_text("e", "127.0.0.1", (1, 2, 3, 4), "s:5")
    entry_settings = settings.decode(tomllib.loads(text))
    assert entry_settings.caller_address == "127.0.0.1:1"
    assert entry_settings.peer_address == "127.0.0.1:3"
    assert entry_settings.duties == ("usage",)
    assert entry_settings.exit_ms == 8_000
    assert not entry_settings.is_first_start
    document = {**tomllib.loads(text), "bootstrap": True}
    assert settings.decode(document).is_first_start


def test_all_errors_of_the_settings_are_reported() -> None:
    with pytest.raises(exceptions.ConfigurationError) as raised:
        settings.decode({"node_name": 3, "internal_ports": [9]})
    fields = {error.field for error in raised.value.errors}
    assert {"node_name", "internal_ports", "zone", "ip"} <= fields


def _decode_withholding(table: dict[str, object]) -> Any:
    text = standins.settings_text("e", "127.0.0.1", (1, 2, 3, 4), "127.0.0.1:5")
    return settings.decode({**tomllib.loads(text), "withholding": table})


def test_settings_of_withholding_are_decoded_in_ms() -> None:
    decoded = _decode_withholding(
        {
            "min_losses": 4,
            "first_withhold_s": 1.5,
            "memory_s": 60,
            "doubt_withhold_s": 0.5,
        }
    ).withholding
    assert decoded.min_losses == 4
    assert decoded.first_withhold_ms == 1_500
    assert decoded.max_withhold_ms == 900_000
    assert decoded.memory_ms == 60_000
    assert decoded.doubt_withhold_ms == 500


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("min_losses", 1),
        ("min_losses", 2.5),
        ("min_losses", "three"),
        ("first_withhold_s", 0),
        ("max_withhold_s", -1),
        ("memory_s", float("inf")),
        ("doubt_withhold_s", 0),
    ],
)
def test_malformed_settings_of_withholding_are_reported(
    field: str, value: object
) -> None:
    with pytest.raises(exceptions.ConfigurationError) as raised:
        _decode_withholding({field: value})
    assert f"withholding.{field}" in str(raised.value)


def _decode_end_check(timeout_s: object) -> Any:
    text = standins.settings_text("e", "127.0.0.1", (1, 2, 3, 4), "127.0.0.1:5")
    answers = {"end_check_timeout_s": timeout_s}
    return settings.decode({**tomllib.loads(text), "answers": answers})


def test_timeout_of_the_end_check_is_decoded_in_ms() -> None:
    assert _decode_end_check(0.25).answers.end_check_timeout_ms == 250
    assert _decode_end_check(0).answers.end_check_timeout_ms == 0


@pytest.mark.parametrize("value", [-1, 3, "soon", float("nan")])
def test_malformed_timeout_of_the_end_check_is_reported(value: object) -> None:
    with pytest.raises(exceptions.ConfigurationError) as raised:
        _decode_end_check(value)
    assert "answers.end_check_timeout_s" in str(raised.value)


@pytest.mark.parametrize(
    ("seq", "revision"), [(7, 7), (None, 0), ("x", 0), (-3, 0), (True, 0)]
)
def test_order_of_registrations_is_the_upstreams_own(
    seq: object, revision: int
) -> None:
    decoded = _decode_registration(seq=seq)
    assert decoded is not None
    assert decoded.revision == revision


def _decode_backoff(table: dict[str, object]) -> Any:
    text = standins.settings_text("e", "127.0.0.1", (1, 2, 3, 4), "127.0.0.1:5")
    return settings.decode({**tomllib.loads(text), "backoff": table})


def test_settings_of_backoffs_are_decoded() -> None:
    decoded = _decode_backoff({"max_ms": 0, "spread_ms": 200}).backoff
    assert decoded.max_ms == 0
    assert decoded.spread_ms == 200
    assert decoded.return_ms == 1_500


@pytest.mark.parametrize("field", ["max_ms", "spread_ms", "return_ms"])
@pytest.mark.parametrize("value", [-1, 1e12, "soon", float("nan")])
def test_malformed_settings_of_backoffs_are_reported(
    field: str, value: object
) -> None:
    with pytest.raises(exceptions.ConfigurationError) as raised:
        _decode_backoff({field: value})
    assert f"backoff.{field}" in str(raised.value)


def _decode_configuration_limit(max_mb: object) -> Any:
    text = standins.settings_text("e", "127.0.0.1", (1, 2, 3, 4), "127.0.0.1:5")
    table = {} if max_mb is None else {"configuration": {"max_mb": max_mb}}
    return settings.decode({**tomllib.loads(text), **table})


def test_limit_of_configurations_is_decoded_in_bytes() -> None:
    limits = {None: 8_388_608, 2: 2_000_000, 12: 12_000_000}
    for max_mb, max_bytes in limits.items():
        decoded = _decode_configuration_limit(max_mb)
        assert decoded.max_configuration_bytes == max_bytes


@pytest.mark.parametrize("value", [0, -1, 13, "all", float("inf")])
def test_malformed_limit_of_configurations_is_reported(value: object) -> None:
    with pytest.raises(exceptions.ConfigurationError) as raised:
        _decode_configuration_limit(value)
    assert "configuration.max_mb" in str(raised.value)


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/healthz", "/healthz"),
        (None, ""),
        (7, ""),
        ("healthz", ""),
        ("/a b", ""),
        ("/a\r\nHost: other", ""),
        ("/\u00e9", ""),
        ("/" * 1_000_000, ""),
    ],
)
def test_health_path_that_cannot_be_requested_is_not_used(
    path: object, expected: str
) -> None:
    service = documents._decode_service({"name": "s", "health_path": path})
    assert service.identity_path == expected


def _decode_heartbeat(heartbeat_ms: object) -> Any:
    text = standins.settings_text("e", "127.0.0.1", (1, 2, 3, 4), "127.0.0.1:5")
    return settings.decode(
        {**tomllib.loads(text), "heartbeat_ms": heartbeat_ms}
    )


def test_heartbeat_of_upstreams_is_decoded() -> None:
    assert _decode_heartbeat(None).upstream_heartbeat_ms == 1_200
    assert _decode_heartbeat(3_000).upstream_heartbeat_ms == 3_000


@pytest.mark.parametrize("value", [-1, 1e12, "soon", float("nan")])
def test_malformed_heartbeat_is_reported(value: object) -> None:
    with pytest.raises(exceptions.ConfigurationError) as raised:
        _decode_heartbeat(value)
    assert "heartbeat_ms" in str(raised.value)
