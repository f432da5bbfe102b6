"""Tests of options, schema and loading."""

from __future__ import annotations

import difflib
import json
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from laburnumpin import exceptions
from laburnumpin.config import loading
from laburnumpin.config import problems
from laburnumpin.config import schema
from laburnumpin.core import deployment

KEY_HASH = "ab" * 32


def valid() -> dict[str, Any]:
    """Return a small valid document."""
    return {
        "name": "small",
        "zones": {"z1": {"data_center": "d1", "region": "r1"}},
        "services": {
            "desk": {"kind": "plain", "operations": {"read": {}}},
        },
        "customers": {"c1": {"key_hashes": [KEY_HASH]}},
        "placements": [
            {
                "service": "desk",
                "zone": "z1",
                "vm_class": "cpu.small",
                "reclaimable": True,
                "min_vms": 1,
                "max_vms": 2,
                "price_per_hour": 0.5,
                "slots": 4,
            }
        ],
    }


def error_codes(value: object) -> dict[str, str]:
    """Return the codes of all errors by field."""
    with pytest.raises(exceptions.ConfigurationError) as caught:
        loading.load_document(json.dumps(value))
    return {error.field: error.code for error in caught.value.errors}


def test_defaults_equal_the_defaults_of_the_data_types() -> None:
    """Guards against different defaults in the schema and the data types."""
    loaded = loading.load_document(json.dumps(valid()))
    assert loaded.policy == deployment.Policy()
    assert loaded.customers["c1"] == deployment.Customer("c1", (KEY_HASH,))
    assert loaded.services["desk"].operations["read"] == deployment.Operation(
        "read"
    )
    assert loaded.placements == (
        deployment.Placement(
            "desk", "z1", "cpu.small", True, 1, 2, 0.5, slots=4
        ),
    )
    assert loaded.entry_count == 1


def test_all_errors_are_reported_together() -> None:
    """Guards against reports that stop at the first problem."""
    value = valid()
    value["entry_cuont"] = 3
    value["placements"][0].update(min_vms=3, zone="z2", slots=True)
    value["services"]["model"] = {"kind": "model", "operations": {"a": {}}}
    value["services"]["desk"]["model"] = "x"
    value["customers"]["c2"] = {"key_hashes": [KEY_HASH], "weight": 0}
    value["customers"]["c3"] = {"key_hashes": ["clear key"]}
    value["customers"]["c 4"] = {}
    value["policy"] = {"cost_weight": 0, "recompute_weight": 0}
    assert error_codes(value) == {
        "entry_cuont": "unknown_field",
        "placements[0].min_vms": "inconsistent",
        "placements[0].slots": "wrong_type",
        "placements[0].zone": "unknown_reference",
        "services.desk.model": "not_applicable",
        "services.model": "no_placement",
        "services.model.model": "required",
        "customers.c2.weight": "out_of_range",
        "customers.c3.key_hashes[0]": "malformed",
        "customers['c 4']": "malformed",
        "customers['c 4'].key_hashes": "required",
        "policy.cost_weight": "inconsistent",
    }


def test_relations_between_sections() -> None:
    """Guards against key hashes, limits and placements that conflict."""
    value = valid()
    value["entry_count"] = 10
    value["customers"]["c2"] = {
        "key_hashes": [KEY_HASH],
        "rate_tokens_per_s": 9,
    }
    value["placements"].append(value["placements"][0])
    value["zones"]["z2"] = {"data_center": "d1", "region": "r2"}
    assert error_codes(value) == {
        "customers.c2.key_hashes[0]": "duplicate",
        "customers.c2.rate_tokens_per_s": "inconsistent",
        "placements[1]": "duplicate",
        "zones.z2.region": "inconsistent",
    }


def test_an_unknown_field_gets_a_suggestion() -> None:
    """Guards against misspelled fields that are silently ignored."""
    with pytest.raises(exceptions.ConfigurationError, match="'entry_count'"):
        loading.load_document(json.dumps(valid() | {"entry_cuont": 3}))


def test_a_plaintext_key_is_not_repeated_in_messages() -> None:
    """Guards against customer keys in logs and terminals."""
    value = valid()
    value["customers"]["c1"]["key_hashes"] = ["clear-key-of-c1"]
    with pytest.raises(exceptions.ConfigurationError) as caught:
        loading.load_document(json.dumps(value))
    assert "clear-key" not in str(caught.value)


@pytest.mark.parametrize(
    ("document", "code"),
    [
        ('{"a": NaN}', "malformed"),
        ("", "malformed"),
        ('{"a": 1, "a": 2}', "duplicate"),
        ("[" * 100_000, "too_deep"),
        ("[" * 100 + "]" * 100, "too_deep"),
        ('{"a": ' + "9" * 10_000 + "}", "malformed"),
        ('"' + "x" * loading.MAX_DOCUMENT_BYTES + '"', "too_large"),
        ("[]", "wrong_type"),
    ],
)
def test_invalid_documents_get_one_error(document: str, code: str) -> None:
    """Guards against parser limits that surface as other exceptions."""
    with pytest.raises(exceptions.ConfigurationError) as caught:
        loading.load_document(document)
    assert [error.code for error in caught.value.errors] == [code]


def test_the_number_of_errors_and_hints_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against documents that block an entry for seconds."""
    searches: list[str] = []

    def search(name: str, known: list[str], count: int) -> list[str]:
        searches.append(name)
        return []

    monkeypatch.setattr(difflib, "get_close_matches", search)
    value = valid()
    value["placements"] = [{"zone": f"zq{index}"} for index in range(2_000)]
    codes = list(error_codes(value).values())
    assert len(codes) == loading.MAX_ERRORS + 1
    assert codes[-1] == "too_many_errors"
    value["placements"] = value["placements"][:100]
    value |= {f"unknown{index}": 1 for index in range(100)}
    assert len(error_codes(value)) < loading.MAX_ERRORS
    assert len(searches) <= problems.MAX_ERRORS_WITH_HINTS


def test_every_field_rejects_every_wrong_type() -> None:
    """Guards against a field whose option accepts anything."""
    for name in schema.Deployment.options():
        for wrong in (None, 0.5, {"a b": None}, [None]):
            assert name in "".join(error_codes(valid() | {name: wrong}))


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=20,
)


def _load(document: str) -> None:
    try:
        loaded = loading.load_document(document)
    except exceptions.ConfigurationError as error:
        assert error.errors
    else:
        assert isinstance(loaded, deployment.Deployment)


@hypothesis.given(_JSON)
def test_any_json_value_is_loaded_or_rejected(value: object) -> None:
    """Guards against other exceptions, which would stop an entry."""
    _load(json.dumps(value))


@hypothesis.given(strategies.data())
def test_any_damaged_document_is_loaded_or_rejected(
    data: strategies.DataObject,
) -> None:
    """Guards against checks that assume valid neighbouring fields."""
    value: Any = valid()
    parent, key = value, data.draw(strategies.sampled_from(sorted(value)))
    while (
        isinstance(parent[key], (dict, list))
        and parent[key]
        and data.draw(strategies.booleans())
    ):
        parent = parent[key]
        keys = (
            sorted(parent)
            if isinstance(parent, dict)
            else list(range(len(parent)))
        )
        key = data.draw(strategies.sampled_from(keys))
    parent[key] = data.draw(_JSON)
    _load(json.dumps(value))


@hypothesis.given(strategies.text())
def test_any_text_is_loaded_or_rejected(document: str) -> None:
    """Guards against other exceptions from the JSON parser."""
    _load(document)
