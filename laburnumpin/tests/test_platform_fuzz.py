"""Fuzz tests: malformed input raises only the documented errors."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import json
import tomllib
from typing import Any
import zlib

import cbor2
import hypothesis
from hypothesis import strategies

from laburnumpin import exceptions
from laburnumpin.forwarding import digests
from laburnumpin.forwarding import duties
from laburnumpin.forwarding import event_stream
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import leaving
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import peer_link
from laburnumpin.forwarding import synchronization
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding import upstream_limits
from laburnumpin.forwarding import withholding_store
from laburnumpin.forwarding.configurations import tables
from laburnumpin.forwarding.usage_reports import commits
from laburnumpin.forwarding.usage_reports import rows
from laburnumpin.platform import clients
from laburnumpin.platform import documents
from laburnumpin.platform import settings
from laburnumpin.platform import standins
from laburnumpin.platform import wire

HEADER_NAMES = (
    wire.ATTEMPT_ID,
    wire.DEADLINE,
    wire.CREDENTIAL,
    wire.TOKEN_COUNT,
    wire.PROMPT_PREFIX,
    wire.LAST_EVENT_ID,
    b"Host",
    b"Connection",
)
HEADERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(HEADER_NAMES), strategies.binary(max_size=30)
    ),
    max_size=12,
)
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=10),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=12,
)


@hypothesis.given(headers=HEADERS, target=strategies.binary(max_size=40))
def test_request_heads(
    headers: list[tuple[bytes, bytes]], target: bytes
) -> None:
    head = interfaces.CallerHead(b"GET", target, headers, 0)
    with contextlib.suppress(exceptions.DocumentError):
        wire.PlatformWire().decode(head)


@hypothesis.given(
    value=strategies.binary(max_size=60)
    | JSON_VALUES.map(lambda document: json.dumps(document).encode())
)
def test_registration_and_configuration_rows(value: bytes) -> None:
    decoder = documents.PlatformDocuments()
    with contextlib.suppress(untrusted.MalformedError):
        decoder.decode_registration(interfaces.Row("u1", value, 1))
    rows = interfaces.Rows((interfaces.Row("config", value, 1),), 1)
    with contextlib.suppress(untrusted.MalformedError):
        decoder.decode_deployment(rows)


@hypothesis.given(
    field=strategies.sampled_from(
        ("version", "routes", "services", "limits", "tenants")
    ),
    value=JSON_VALUES,
)
def test_configurations_with_one_wrong_field(field: str, value: object) -> None:
    document = {**standins.configuration(1, "v1"), field: value}
    row = interfaces.Row("config", json.dumps(document).encode(), 1)
    with contextlib.suppress(untrusted.MalformedError):
        documents.PlatformDocuments().decode_deployment(
            interfaces.Rows((row,), 1)
        )


@hypothesis.given(
    document=strategies.dictionaries(
        strategies.sampled_from(
            (
                "ip",
                "zone",
                "internal_ports",
                "seeds",
                "listen",
                "bounds",
                "limits",
                "platform",
                "cloud_api",
                "node_name",
            )
        ),
        JSON_VALUES,
    )
)
def test_settings_documents(document: dict[str, object]) -> None:
    with contextlib.suppress(exceptions.ConfigurationError):
        settings.decode(document)


@hypothesis.given(
    packet=strategies.binary(max_size=80) | JSON_VALUES.map(cbor2.dumps)
)
def test_peer_digests(packet: bytes) -> None:
    with contextlib.suppress(exceptions.MessageError):
        peer_link.decode(packet)


DIGEST = digests.Digest(
    contact=membership.Contact("e", "127.0.0.1:1", "a", 1.0),
    incarnation_ms=1,
    sequence_number=1,
    wall_ms=1,
    config_version=1,
    registry_version=1,
    lease_token=0,
    used={"c": 1.0},
    windows={1: {"c": 1}},
    loads={"u": (1, 1)},
    parts=(("u", 1),),
    latency_log_ratios={"u": (1, 0.5)},
    contacts=("127.0.0.1:2",),
    work_ms={"s": 1.0},
)


@hypothesis.given(data=strategies.data(), value=JSON_VALUES)
def test_digests_with_one_wrong_field(
    data: strategies.DataObject, value: object
) -> None:
    fields = cbor2.loads(peer_link.encode(DIGEST))
    fields[data.draw(strategies.sampled_from(sorted(fields)))] = value
    with contextlib.suppress(exceptions.MessageError):
        peer_link.decode(cbor2.dumps(fields))


@hypothesis.given(
    table=strategies.sampled_from(("bounds", "limits", "listen", "cloud_api")),
    name=strategies.sampled_from(
        ("grace_s", "lease_ms", "retry_slack", "link_mbps", "duties", "address")
    ),
    value=JSON_VALUES,
)
@hypothesis.example("bounds", "grace_s", float("inf"))
def test_settings_with_one_wrong_field(
    table: str, name: str, value: object
) -> None:
    text = standins.settings_text("e", "127.0.0.1", (1, 2, 3, 4), "s:5")
    document = tomllib.loads(text)
    document.setdefault(table, {})[name] = value
    with contextlib.suppress(exceptions.ConfigurationError):
        settings.decode(document)


@hypothesis.given(
    name=strategies.sampled_from(
        (
            "slots",
            "born",
            "cold_remaining_ms",
            "leaves_ms",
            "address",
            "spot",
            "seq",
            "state",
        )
    ),
    value=JSON_VALUES,
)
@hypothesis.example("cold_remaining_ms", float("nan"))
@hypothesis.example("leaves_ms", float("inf"))
def test_registrations_with_one_wrong_field(name: str, value: object) -> None:
    document = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 6,
        "state": "ready",
        name: value,
    }
    row = interfaces.Row("u1", json.dumps(document).encode(), 1)
    with contextlib.suppress(untrusted.MalformedError):
        documents.PlatformDocuments().decode_registration(row)


@hypothesis.given(
    event_ids=strategies.lists(strategies.integers(0, 10**9), max_size=20),
    chunk_sizes=strategies.lists(strategies.integers(1, 30), max_size=60),
)
def test_event_splitting_does_not_depend_on_chunk_sizes(
    event_ids: list[int], chunk_sizes: list[int]
) -> None:
    expected_events = [
        f"id: {n}\ndata: {n} text\n\n".encode() for n in event_ids
    ]
    unread = b"".join(expected_events)
    splitter = event_stream.Splitter()
    events: list[bytes] = []
    for size in chunk_sizes:
        events.extend(splitter.feed(unread[:size]))
        unread = unread[size:]
    events.extend(splitter.feed(unread))
    assert events == expected_events
    assert splitter.incomplete_event == b""
    assert [event_stream.event_id(event) for event in events] == event_ids


BYTE_DECODERS: dict[str, Callable[[bytes], object]] = {
    "entry row": lambda value: membership.Contact.decode("e", value),
    "lease row": lambda value: duties._decode_lease_row(1, value),
    "usage row": commits.decode_counts,
    "usage counts": rows.decode,
    "packed usage counts": lambda value: rows.decode(zlib.compress(value)),
    "withheld row": lambda value: withholding_store._decode(value, 1),
    "registration": lambda value: (
        documents.PlatformDocuments().decode_registration(
            interfaces.Row("u", value, 1)
        )
    ),
}
VALUE_DECODERS: dict[str, Callable[[Any], object]] = {
    "relayed rows": synchronization.decode_rows,
    "operator tables": tables.decode,
    "losses": part_losses.decode_rows,
    "losses of requests": part_losses.decode_request_rows,
    "limits": upstream_limits.decode_rows,
    "upstreams that leave": leaving.decode_rows,
}
NESTED = b"[" * 100_000


@hypothesis.given(
    name=strategies.sampled_from(sorted(BYTE_DECODERS)),
    value=strategies.binary(max_size=80)
    | JSON_VALUES.map(lambda document: json.dumps(document).encode())
    | strategies.dictionaries(
        strategies.sampled_from(
            (
                "address",
                "zone",
                "link_mbps",
                "fencing_token",
                "holder",
                "token",
                "era",
                "written_ms",
                "records",
                "request_records",
                "customers",
                "entries",
            )
        ),
        JSON_VALUES,
    ).map(lambda document: json.dumps(document).encode()),
)
@hypothesis.example("entry row", NESTED)
@hypothesis.example("lease row", NESTED)
@hypothesis.example("usage row", NESTED)
@hypothesis.example("withheld row", NESTED)
@hypothesis.example("registration", NESTED)
@hypothesis.example("usage counts", zlib.compress(b"[" * 2_000_000))
@hypothesis.example(
    "packed usage counts",
    b'{"customers": ["c"], "entries": {"e/1": [1, {"\xd9\xa1": [0, 1]}]}}',
)
@hypothesis.example(
    "packed usage counts",
    b'{"customers": [], "entries": {"e/1": [1, {"x": []}]}}',
)
@hypothesis.example(
    "packed usage counts",
    b'{"customers": ["c"], "entries": {"e/1": [1, {"1": [7, 1]}]}}',
)
@hypothesis.example("lease row", b'{"fencing_token": 1' + b"0" * 400 + b"}")
def test_rows_of_the_store(name: str, value: bytes) -> None:
    with contextlib.suppress(untrusted.MalformedError):
        BYTE_DECODERS[name](value)


@hypothesis.given(
    name=strategies.sampled_from(sorted(VALUE_DECODERS)),
    value=JSON_VALUES
    | strategies.lists(
        strategies.lists(JSON_VALUES, min_size=3, max_size=4), max_size=3
    ),
)
@hypothesis.example("losses", [[10**400, True, []]])
@hypothesis.example("upstreams that leave", [["u", 1, 10**400]])
def test_lists_of_peers(name: str, value: object) -> None:
    with contextlib.suppress(untrusted.MalformedError):
        VALUE_DECODERS[name](value)


@hypothesis.given(
    body=strategies.binary(max_size=60)
    | JSON_VALUES.map(lambda document: json.dumps(document).encode())
    | strategies.fixed_dictionaries(
        {"ver": JSON_VALUES, "rows": strategies.lists(JSON_VALUES, max_size=3)}
    ).map(lambda document: json.dumps(document).encode()),
)
@hypothesis.example(NESTED)
def test_answers_of_the_store(body: bytes) -> None:
    response = clients.Response(200, [], body)
    with contextlib.suppress(exceptions.PlatformAnswerLostError):
        clients._decode_rows(response.document(), 1)


@hypothesis.given(
    headers=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                (
                    b"Server-Leaving",
                    b"Server-Limit",
                    b"Retry-After",
                    b"Keep-Alive",
                )
            ),
            strategies.binary(max_size=30)
            | strategies.sampled_from(
                (b"timeout=" + b"9" * 5_000, b"9" * 400, b"1e999", b"1")
            ),
        ),
        max_size=4,
    )
)
def test_heads_of_upstreams(headers: list[tuple[bytes, bytes]]) -> None:
    codec = wire.PlatformWire()
    statement = codec.statement(503, headers)
    assert 0 <= statement.backoff_ms <= untrusted.MAX_DURATION_MS
    codec.keep_alive_ms(headers)


def test_event_with_an_endless_id_has_none() -> None:
    assert event_stream.event_id(b"id: " + b"9" * 10_000 + b"\n\n") is None
