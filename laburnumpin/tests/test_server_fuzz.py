"""Fuzz tests of the input of callers and operators."""

from __future__ import annotations

import json

import hypothesis
from hypothesis import strategies
import pytest
from starlette import requests

from laburnumpin import exceptions
from laburnumpin.server import caller_errors
from laburnumpin.server import caller_input
from laburnumpin.server import operator_api
from laburnumpin.tests import builders

HEADER_NAMES = (
    b"idempotency-key",
    b"x-deadline-ms",
    b"x-priority",
    b"last-event-id",
    b"accept",
    b"prefer",
)
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["prompt", "max_tokens", "x"]), inner
        )
    ),
    max_leaves=8,
)
BODIES = strategies.binary(max_size=80) | JSON_VALUES.map(
    lambda value: json.dumps(value).encode()
)
HEADERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(HEADER_NAMES), strategies.binary(max_size=30)
    ),
    max_size=6,
)


@hypothesis.given(
    body=BODIES,
    headers=HEADERS,
    service=strategies.sampled_from([None, "draft", "desk"]),
)
def test_any_submission_is_parsed_or_refused_with_a_code(
    body: bytes, headers: list[tuple[bytes, bytes]], service: str | None
) -> None:
    """Guards against input that causes an internal error."""
    request = requests.Request({"type": "http", "headers": headers})
    services = builders.make_deployment().services
    target_service = None if service is None else services[service]
    try:
        submission = caller_input.parse(request, body, target_service)
    except caller_errors.CallerError as error:
        assert caller_errors.response(error).status_code in range(400, 500)
        assert error.failure.verdict.value == "not_run"
        return
    assert 0 <= submission.max_tokens <= caller_input.MAX_OUTPUT_TOKENS
    if service == "draft":
        assert submission.prompt


@hypothesis.given(headers=HEADERS)
def test_any_offset_is_parsed_or_refused_with_a_code(
    headers: list[tuple[bytes, bytes]],
) -> None:
    """Guards against internal errors and negative offsets."""
    request = requests.Request({"type": "http", "headers": headers})
    try:
        assert caller_input.parse_offset(request) >= 0
    except caller_errors.CallerError as error:
        assert caller_errors.response(error).status_code in range(400, 500)


@hypothesis.given(body=BODIES)
def test_any_change_is_parsed_or_refused_by_field(body: bytes) -> None:
    """Guards against operator input that causes an internal error."""
    try:
        operator_api.parse_change(body)
    except exceptions.ConfigurationError as error:
        assert error.errors


def test_known_good_submission_is_parsed() -> None:
    """Guards against a fuzz target that refuses everything."""
    request = requests.Request(
        {"type": "http", "headers": [(b"x-deadline-ms", b"500")]}
    )
    service = builders.make_deployment().services["draft"]
    body = b'{"prompt": "p", "max_tokens": 5}'
    assert caller_input.parse(request, body, service).max_tokens == 5
    with pytest.raises(caller_errors.CallerError):
        caller_input.parse(request, b"{}", service)
