"""Tests of the settings of an entry."""

from __future__ import annotations

import pytest

from laburnumpin import exceptions
from laburnumpin.config import settings

ENVIRONMENT = {
    "LABURNUMPIN_VM_ID": "vm-1",
    "LABURNUMPIN_ZONE": "recife",
    "LABURNUMPIN_PLATFORM_URL": "http://127.0.0.1:9000/",
    "LABURNUMPIN_PLATFORM_TOKEN": "token-of-platform",
    "LABURNUMPIN_OPERATOR_KEY": "key-of-operators-1",
    "LABURNUMPIN_PEER_SECRET": "secret-of-peers-01",
    "PATH": "/bin",
}


def error_codes(environment: dict[str, str]) -> dict[str, str]:
    """Return the codes of all errors by field."""
    with pytest.raises(exceptions.ConfigurationError) as caught:
        settings.load({}, environment)
    assert "secret" not in str(caught.value).replace("peer_secret", "")
    return {error.field: error.code for error in caught.value.errors}


def test_defaults_equal_the_defaults_of_the_data_type() -> None:
    """Guards against different defaults in the options and `Settings`."""
    loaded = settings.load({}, ENVIRONMENT)
    assert loaded == settings.Settings(
        vm_id="vm-1",
        zone="recife",
        platform_url="http://127.0.0.1:9000",
        platform_token=loaded.platform_token,
        operator_key=loaded.operator_key,
        peer_secret=loaded.peer_secret,
    )
    assert loaded.peer_secret.reveal() == "secret-of-peers-01"


def test_a_flag_takes_precedence_over_its_variable() -> None:
    """Guards against flags that have no effect on a configured VM."""
    environment = ENVIRONMENT | {
        "LABURNUMPIN_PEER_PORT": "1",
        "LABURNUMPIN_SEED_PEERS": "10.0.0.1:7003, [fd00::1]:7003",
    }
    loaded = settings.load({"peer_port": "2", "zone": None}, environment)
    assert loaded.peer_port == 2
    assert loaded.zone == "recife"
    assert loaded.seed_peers == ("10.0.0.1:7003", "[fd00::1]:7003")


def test_secrets_are_not_printed() -> None:
    """Guards against secrets in logs and tracebacks."""
    loaded = settings.load({}, ENVIRONMENT)
    for name, secret in ENVIRONMENT.items():
        if settings.ENVIRONMENT_PREFIX in name and "_ID" not in name:
            assert secret not in f"{loaded!r} {loaded}" or name in (
                "LABURNUMPIN_ZONE",
                "LABURNUMPIN_PLATFORM_URL",
            )
    assert str(loaded.peer_secret) == "<redacted>"


def test_all_problems_are_reported_together() -> None:
    """Guards against a start that reports one problem at a time."""
    environment = ENVIRONMENT | {
        "LABURNUMPIN_ZONE": "",
        "LABURNUMPIN_CALLER_PORT": "70000",
        "LABURNUMPIN_OPERATOR_PORT": "x",
        "LABURNUMPIN_PEER_HOST": "0.0.0.0",
        "LABURNUMPIN_OPERATOR_KEY": "short secret",
        "LABURNUMPIN_SEED_PEERS": "10.0.0.1:7003,peer.example:7003,10.0.0.1:0",
        "LABURNUMPIN_LOG_LEVLE": "info",
        "LABURNUMPIN_MAX_UPSTREAM_CONNECTIONS": "10",
    }
    del environment["LABURNUMPIN_VM_ID"]
    assert error_codes(environment) == {
        "vm_id": "required",
        "zone": "malformed",
        "caller_port": "out_of_range",
        "operator_port": "wrong_type",
        "advertised_peer_address": "required",
        "operator_key": "too_short",
        "seed_peers[1]": "malformed",
        "seed_peers[2]": "malformed",
        "LABURNUMPIN_LOG_LEVLE": "unknown_field",
    }


def test_ports_and_secrets_must_differ() -> None:
    """Guards against one credential or port that serves two purposes."""
    environment = ENVIRONMENT | {
        "LABURNUMPIN_CALLER_PORT": "7003",
        "LABURNUMPIN_OPERATOR_KEY": "secret-of-peers-01",
    }
    assert error_codes(environment) == {
        "peer_port": "duplicate",
        "peer_secret": "duplicate",
    }
