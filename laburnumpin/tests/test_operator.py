"""Tests of the operators' builder and the examples."""

from __future__ import annotations

import pathlib
import runpy

import pytest

from laburnumpin import exceptions
from laburnumpin import operator
from laburnumpin.commands import exits
from laburnumpin.config import loading
from laburnumpin.core import deployment

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def invalid() -> operator.Deployment:
    """Return a deployment with problems in several sections."""
    built = operator.Deployment("shop")
    for region in ("r1", "r2"):
        built.add_zone("z1", data_center="d1", region=region)
    built.add_plain_service("desk", operations=[operator.Operation("a")] * 2)
    built.add_customer("c1", keys=["short"])
    built.set_policy(bulk_share=2.0)
    return built


def test_all_errors_are_reported_together(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a builder that stops at the first problem."""
    with pytest.raises(SystemExit) as caught:
        invalid().print_document()
    assert caught.value.code == exits.Exit.INVALID
    captured = capsys.readouterr()
    assert captured.out == ""
    fields = [line.split(":")[0] for line in captured.err.splitlines()]
    assert fields == [
        "zones.z1",
        "services.desk.operations.a",
        "customers.c1.keys[0]",
        "customers.c1.key_hashes",
        "policy.bulk_share",
        "services.desk",
    ]


def test_wrong_python_types_are_field_errors() -> None:
    """Guards against tracebacks for values that JSON can't express."""
    built = operator.Deployment("shop", entry_count=object())  # type: ignore[arg-type]
    with pytest.raises(exceptions.ConfigurationError, match="entry_count"):
        built.document()


@pytest.mark.parametrize(
    ("name", "non_idempotent"),
    [
        ("rigsafe", {"issue_certificate"}),
        ("luvas", {"place_order", "charge_deposit"}),
    ],
)
def test_examples_print_a_valid_stable_document(
    name: str, non_idempotent: set[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against examples that the entries would refuse."""
    texts = []
    for _ in range(2):
        runpy.run_path(str(EXAMPLES / f"{name}.py"), run_name="__main__")
        texts.append(capsys.readouterr().out)
    assert texts[0] == texts[1]
    assert "demonstration" not in texts[0]
    loaded = loading.load_document(texts[0])
    assert (loaded.name, len(loaded.zones)) == (name, 3)
    found_non_idempotent = {
        operation.name
        for service in loaded.services.values()
        for operation in service.operations.values()
        if not operation.idempotent
    }
    assert found_non_idempotent == non_idempotent
    kinds = [service.kind for service in loaded.services.values()]
    assert sorted(kind.value for kind in kinds) == ["model", "plain"]
    assert len(loaded.customers) == 5
    key = f"{name}-demonstration-{next(iter(loaded.customers))}"
    first: deployment.Customer = next(iter(loaded.customers.values()))
    assert first.key_hashes == (operator.hash_key(key),)
