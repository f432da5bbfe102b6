"""Tests of the documents on roll-outs, as the platform writes them."""

from __future__ import annotations

import json
import random
from typing import Any
from typing import cast

import pytest

from laburnumpin import clock
from laburnumpin import exceptions
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import pool
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.rollouts import codec
from laburnumpin.forwarding.rollouts import model
from laburnumpin.forwarding.rollouts import orders
from laburnumpin.platform import documents
from laburnumpin.platform import rollouts
from laburnumpin.platform import settings
from laburnumpin.server import tasks
from laburnumpin.tests import forwarding_builders as build

KEY = "rollout/desk"
FIELDS: dict[str, Any] = {"service": "desk", "to": "v2", "duration_s": 12}
LIMITS = model.RolloutSettings(0.1, 50, 5_000)


def _row(fields: object, version: int = 7, key: str = KEY) -> interfaces.Row:
    return interfaces.Row(key, json.dumps(fields).encode(), version)


def _reader(
    limits: model.RolloutSettings | None = LIMITS,
) -> tuple[orders.OrderReader, forwarding_state.ForwardingState]:
    state = forwarding_state.ForwardingState(
        build.contact("e1"),
        1,
        build.RETRY_LIMIT,
        5_000,
        random.Random(1),
        rollout_settings=limits,
    )
    boot_clock = clock.BootClock()
    shell = shells.Shell(
        state,
        cast(interfaces.Wire, None),
        pool.Pool(boot_clock),
        cast(tasks.TaskRunner, None),
        boot_clock,
        cast(interfaces.EngineClient, None),
    )
    return orders.OrderReader(shell, rollouts.PlatformRollouts()), state


def _read(
    reader: orders.OrderReader, *rows: interfaces.Row, era: int = 1
) -> None:
    reader.read({row.key: row for row in rows}, interfaces.Position(era, 99))


def test_order_is_decoded() -> None:
    order = rollouts.PlatformRollouts().decode_order(_row(FIELDS), 3)
    assert order == model.Order("desk", "v2", 12_000, 3, 7)


MALFORMED = [
    {**FIELDS, "to": ""},
    {**FIELDS, "to": 2},
    {**FIELDS, "to": "v" * 300},
    {**FIELDS, "duration_s": -1},
    {**FIELDS, "duration_s": "12"},
    {**FIELDS, "duration_s": 1e12},
    {**FIELDS, "service": "other"},
    {"service": "desk"},
    [],
    "v2",
]


# Another order next to it stays in force.
@pytest.mark.parametrize("fields", MALFORMED)
def test_malformed_order_is_counted_once_and_leaves_the_others(
    fields: object,
) -> None:
    reader, state = _reader()
    other = _row({**FIELDS, "service": "notes"}, 5, "rollout/notes")
    for _ in range(3):
        _read(reader, other, _row(fields), _row({}, 9, "config"))
    assert set(state.rollout_book.by_service) == {"notes"}
    assert state.counters.total("rollout_orders_malformed") == 1


def test_malformed_successor_leaves_an_order_in_force() -> None:
    reader, state = _reader()
    _read(reader, _row(FIELDS))
    _read(reader, _row([], 8))
    assert state.rollout_book.by_service["desk"].order.row_version == 7
    assert state.rollouts.services() == ("desk",)


def test_second_order_replaces_the_first() -> None:
    reader, state = _reader()
    _read(reader, _row(FIELDS))
    _read(reader, _row({**FIELDS, "to": "v3"}, 8))
    assert state.rollout_book.by_service["desk"].order.target_version == "v3"


def test_removed_order_is_taken_back_once() -> None:
    reader, state = _reader()
    _read(reader, _row(FIELDS))
    _read(reader)
    _read(reader)
    status = state.rollouts.status("desk", 0)
    assert status is not None
    assert status.is_stopped_here
    assert state.counters.value("rollout_orders", "withdrawn") == 1


# A store that was restored from an older copy has lost the order for a while.
def test_order_that_a_restored_store_lacks_is_not_taken_back() -> None:
    reader, state = _reader()
    _read(reader, _row(FIELDS))
    _read(reader, era=2)
    _read(reader, era=2)
    status = state.rollouts.status("desk", 0)
    assert status is not None
    assert not status.is_stopped_here


def test_orders_are_ignored_without_the_contract() -> None:
    reader, state = _reader(None)
    _read(reader, _row(FIELDS))
    assert not state.rollout_book.by_service


@pytest.mark.parametrize(
    ("stage", "name"),
    [
        (model.Stage.WAITING, "in_progress"),
        (model.Stage.CANARY, "in_progress"),
        (model.Stage.SHIFTING, "in_progress"),
        (model.Stage.COMPLETED, "completed"),
        (model.Stage.ROLLED_BACK, "rolled_back"),
    ],
)
def test_stage_is_reported(stage: model.Stage, name: str) -> None:
    order = model.Order("desk", "v2", 12_000, 1, 7)
    decision = model.Decision(order, stage, 1, 1, 1, "test")
    key, value = rollouts.PlatformRollouts().encode_state(decision)
    assert key == KEY
    fields = json.loads(value)
    assert (fields["state"], fields["to"]) == (name, "v2")


@pytest.mark.parametrize(
    ("value", "expected"),
    [("v2", "v2"), (None, ""), (2, ""), ("v" * 300, ""), ([], "")],
)
def test_upstream_with_an_odd_version_serves_all_the_same(
    value: object, expected: str
) -> None:
    row = _row(
        {
            "service": "desk",
            "address": "10.0.0.1:80",
            "zone": "a",
            "version": value,
            "slots": 4,
            "state": "ready",
        },
        key="u1",
    )
    registration = documents.PlatformDocuments().decode_registration(row)
    assert registration is not None
    assert registration.version == expected


def _settings(**bounds: object) -> dict[str, Any]:
    return {
        "node_name": "e1",
        "ip": "10.0.0.1",
        "zone": "a",
        "internal_ports": [7_000, 7_001],
        "listen": {"frontend": "10.0.0.1:1", "readiness": "10.0.0.1:2"},
        "platform": {"address": "10.0.0.2:1"},
        "bounds": bounds,
    }


def test_limits_are_read_under_the_contract_only() -> None:
    fields = _settings(exposure_share=0.1, exposure_slack=50, rollback_ms=5_000)
    assert settings.decode(fields).rollouts is None
    limits = settings.decode({**fields, "contracts": ["rollout"]}).rollouts
    assert limits == LIMITS


def test_share_above_one_is_an_error() -> None:
    fields = {**_settings(exposure_share=1.5), "contracts": ["rollout"]}
    with pytest.raises(exceptions.ConfigurationError):
        settings.decode(fields)


def test_decisions_and_evidence_survive_their_encoding() -> None:
    order = model.Order("desk", "v2", 12_000, 1, 7)
    decision = model.Decision(
        order, model.Stage.CANARY, 3, 2, 1, "upstreams_ready", True
    )
    assert codec.decode_row(codec.encode_row(decision)) == decision
    rows = (
        model.EvidenceRow("desk", 1, 7, True, "calls", "a", 1, 9, 2, 1),
        model.EvidenceRow("desk", 1, 7, False, "calls", "a", 0, 90, 2, 1),
        model.EvidenceRow("notes", 1, 8, True, "x", "", 0, 1, 0, 0),
    )
    assert codec.decode_evidence(codec.encode_evidence(rows)) == rows


@pytest.mark.parametrize(
    "encoded", [None, 7, [[1]], [["s", 1, 1, [[True, "r", "z", 99, 1, 1, 1]]]]]
)
def test_malformed_evidence_is_an_error(encoded: object) -> None:
    with pytest.raises(untrusted.MalformedError):
        codec.decode_evidence(encoded)


# A peer passes on rows that it keeps from an earlier history of the store.
def test_order_of_a_lost_history_is_not_taken_for_a_new_one() -> None:
    reader, state = _reader()
    _read(reader, _row({**FIELDS, "to": "v9"}, 0))
    assert not state.rollout_book.by_service
