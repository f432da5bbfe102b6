"""Tests of the codec of the platform's HTTP headers."""

from __future__ import annotations

import pytest

from laburnumpin import exceptions
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import untrusted
from laburnumpin.platform import wire
from laburnumpin.tests import forwarding_builders as build

WIRE = wire.PlatformWire()


def _head(*headers: tuple[bytes, bytes]) -> interfaces.CallerHead:
    caller_headers = [
        (b"Host", b"H.example:80"),
        (b"X-Laburnumpin-Attempt-Id", b"r1"),
    ]
    return interfaces.CallerHead(
        b"POST", b"/drafts/x?y=/z", [*caller_headers, *headers], 0
    )


def _upstream_headers(
    head: interfaces.CallerHead, **changes: object
) -> dict[bytes, bytes]:
    fields: dict[str, object] = {
        "remaining_ms": 900,
        "priority": 3,
        "body_bytes": 2,
        "resume_after": None,
        "kv_source": None,
        **changes,
    }
    headers = WIRE.upstream_headers(
        head,
        build.request(customer=build.customer(), prompt=build.prompt()),
        build.registration(),
        **fields,  # type: ignore[arg-type]
    )
    lowered_names = [name.lower() for name, _ in headers]
    assert len(set(lowered_names)) == len(lowered_names)
    return {name.lower(): value for name, value in headers}


def test_head_is_decoded() -> None:
    fields = WIRE.decode(
        _head(
            (b"X-Laburnumpin-Deadline-Ms", b"1500"),
            (b"X-Laburnumpin-Credential", b"key"),
            (b"X-Laburnumpin-Token-Count", b"30,9"),
            (b"X-Laburnumpin-Prompt-Prefix", b"ff:10,1:20"),
        )
    )
    assert (fields.request_id, fields.host) == ("r1", "h.example")
    assert fields.path == "/drafts/x"
    assert (fields.deadline_in_ms, fields.key) == (1_500, "key")
    assert fields.prompt is not None
    assert fields.prompt.tokens == 30
    assert fields.prompt.max_output_tokens == 9
    assert [p.part_id for p in fields.prompt.parts] == [255, 1]


@pytest.mark.parametrize(
    "header",
    [
        (b"X-Laburnumpin-Deadline-Ms", b"soon"),
        (b"X-Laburnumpin-Token-Count", b"many"),
    ],
)
def test_malformed_header_is_rejected(header: tuple[bytes, bytes]) -> None:
    with pytest.raises(exceptions.DocumentError):
        WIRE.decode(_head(header))


def test_callers_cannot_set_headers_of_the_entry() -> None:
    forwarded = _upstream_headers(
        _head(
            (b"X-Laburnumpin-Credential", b"key"),
            (b"X-Laburnumpin-Tenant", b"other"),
            (b"X-Laburnumpin-Expect-Instance", b"other"),
            (b"X-Laburnumpin-Kv-Hold", b"1"),
            (b"X-Laburnumpin-Pin-Ms", b"1"),
            (b"X-Laburnumpin-Kv-Backup", b"1"),
            (b"X-Laburnumpin-Request-Priority", b"0"),
            (b"Kv-From", b"1"),
            (b"Kv-Fetch", b"1"),
        )
    )
    assert b"x-laburnumpin-credential" not in forwarded
    assert forwarded[b"x-laburnumpin-tenant"] == b"acme"
    assert forwarded[b"x-laburnumpin-expect-instance"] == b"u1"
    assert forwarded[b"x-laburnumpin-request-priority"] == b"3"
    for name in (b"kv-hold", b"pin-ms", b"kv-backup"):
        assert b"x-laburnumpin-" + name not in forwarded
    assert b"kv-from" not in forwarded
    assert b"kv-fetch" not in forwarded


def test_hop_by_hop_headers_are_dropped_but_not_the_request_id() -> None:
    forwarded = _upstream_headers(
        _head(
            (b"Connection", b"close, X-Own, X-Laburnumpin-Attempt-Id"),
            (b"X-Own", b"1"),
            (b"X-Other", b"2"),
            (b"Transfer-Encoding", b"chunked"),
        )
    )
    assert b"x-own" not in forwarded
    assert b"connection" not in forwarded
    assert b"transfer-encoding" not in forwarded
    assert forwarded[b"x-other"] == b"2"
    assert forwarded[b"x-laburnumpin-attempt-id"] == b"r1"
    assert forwarded[b"content-length"] == b"2"


OWN_ID = (b"X-Laburnumpin-Attempt-Id", b"r1")
OTHER_ID = (b"X-Laburnumpin-Attempt-Id", b"r0")
RECEIPT = (b"X-Laburnumpin-Response-Seal", b"s")
EMPTY_RECEIPT = (b"X-Laburnumpin-Response-Seal", b"")
NOT_EXECUTED = (b"X-Laburnumpin-Not-Executed", b"1")


@pytest.mark.parametrize(
    ("status", "headers", "kind"),
    [
        (200, [OWN_ID, RECEIPT], "answer"),
        (200, [OWN_ID], "without_receipt"),
        (206, [OWN_ID, EMPTY_RECEIPT], "without_receipt"),
        (404, [OWN_ID], "answer"),
        (421, [OWN_ID], "wrong_upstream"),
        (503, [OWN_ID, NOT_EXECUTED], "not_run"),
        (429, [OWN_ID, NOT_EXECUTED], "not_run"),
        (503, [OWN_ID], "unproved_refusal"),
        (429, [OWN_ID], "unproved_refusal"),
        (408, [OWN_ID, RECEIPT], "unproved_refusal"),
        (500, [OWN_ID], "failure"),
        # Late copies of the response to an earlier request.
        (200, [OTHER_ID], "other_request"),
        (503, [OTHER_ID, NOT_EXECUTED], "other_request"),
        (200, [], "other_request"),
        (404, [], "other_request"),
        (421, [], "other_request"),
        (500, [], "other_request"),
        (503, [NOT_EXECUTED], "other_request"),
    ],
)
def test_responses_are_classified(
    status: int, headers: list[tuple[bytes, bytes]], kind: str
) -> None:
    assert WIRE.classify("r1", status, headers).value == kind


@pytest.mark.parametrize("reason", list(effects.Reason))
def test_status_means_not_run_only_if_the_request_has_not_run(
    reason: effects.Reason,
) -> None:
    status, _ = WIRE.rejection("r1", effects.Reject("r1", reason, False, 5))
    assert status in (502, 504)
    status, headers = WIRE.rejection(
        "r1", effects.Reject("r1", reason, True, 150)
    )
    assert status in (401, 404, 429, 503)
    if status in (429, 503):
        assert dict(headers)[b"Retry-After"] == b"0.150"


@pytest.mark.parametrize(
    ("value", "expected"), [(b"3.5", 3.5), (b"0", 0.0), (b" 12 ", 12.0)]
)
def test_limit_of_an_upstream_is_decoded(value: bytes, expected: float) -> None:
    headers = [(b"Server-Limit", value)]
    assert wire.PlatformWire().statement(200, headers).limit_per_s == expected
    assert wire.PlatformWire().statement(200, []).limit_per_s is None


@pytest.mark.parametrize("value", [b"", b"many", b"nan", b"inf", b"-1", b"1e9"])
def test_malformed_limit_of_an_upstream_is_refused(value: bytes) -> None:
    headers = [(b"Server-Limit", value)]
    statement = wire.PlatformWire().statement(200, headers)
    assert statement.limit_per_s is None
    assert len(statement.malformed) == 1


@pytest.mark.parametrize(
    ("status", "values", "expected_ms"),
    [
        (503, [], 0),
        (503, [b"2"], 2_000),
        (503, [b" 0.25 "], 250),
        (503, [b"0.0001"], 1),
        (503, [b"0"], 0),
        (503, [b"1", b"4", b"2"], 4_000),
        (503, [b"31536000"], untrusted.MAX_DURATION_MS),
        (503, [b"inf"], untrusted.MAX_DURATION_MS),
        # Other statuses give callers a Retry-After, not this entry.
        (200, [b"2"], 0),
        (429, [b"2"], 0),
        (421, [b"2"], 0),
    ],
)
def test_backoff_that_an_upstream_asks_for_is_decoded(
    status: int, values: list[bytes], expected_ms: int
) -> None:
    headers = [(b"Retry-After", value) for value in values]
    statement = wire.PlatformWire().statement(status, headers)
    assert statement.backoff_ms == expected_ms
    assert not statement.malformed


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"nan", b"soon", b"Sat, 05 Dec 2026 10:00:00 GMT"]
)
def test_malformed_backoff_is_left_out_and_hides_nothing_else(
    value: bytes,
) -> None:
    headers = [
        (b"Retry-After", value),
        (b"Retry-After", b"2"),
        (b"Server-Leaving", b"1"),
        (b"Server-Limit", b"3"),
    ]
    statement = wire.PlatformWire().statement(503, headers)
    assert len(statement.malformed) == 1
    assert statement.backoff_ms == 2_000
    assert statement.is_leaving
    assert statement.limit_per_s == 3.0


def test_ids_of_prompt_parts_are_bounded() -> None:
    # Entries send them to each other: with ids as long as a head may be, their
    # datagrams were too long and none arrived.
    value = b"f" * 8_000 + b":10,5c1e07a2:20,1:5"
    fields = WIRE.decode(
        _head(
            (b"X-Laburnumpin-Token-Count", b"35,10"),
            (b"X-Laburnumpin-Prompt-Prefix", value),
        )
    )
    assert fields.prompt is not None
    first, second = fields.prompt.shared_part_ids()
    assert 0 <= first < wire.PART_ID_MODULUS
    assert second == 0x5C1E07A2


# The owner of an address after an upstream was taken for that upstream.
@pytest.mark.parametrize(
    ("status", "headers", "state"),
    [
        (200, [(b"X-Laburnumpin-Instance-Id", b"u1")], "same"),
        (503, [(b"x-laburnumpin-instance-id", b"u1")], "same"),
        (200, [(b"X-Laburnumpin-Instance-Id", b"u2")], "replaced"),
        (421, [], "replaced"),
        (503, [NOT_EXECUTED], "listening"),
        (200, [], "listening"),
    ],
)
def test_answer_to_a_health_check_says_who_is_there(
    status: int, headers: list[tuple[bytes, bytes]], state: str
) -> None:
    found = WIRE.identify(build.registration("u1"), status, headers)
    assert found.value == state
