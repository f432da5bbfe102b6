"""Tests of the codec of the peer link."""

from __future__ import annotations

import dataclasses
import enum
import types
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from laburnumpin import exceptions
from laburnumpin.core import digests
from laburnumpin.core import ids
from laburnumpin.core import messages
from laburnumpin.server import codec

MESSAGE_TYPES = get_args(messages.Message)
EXAMPLE_VALUES: dict[type, Any] = {int: 7, str: "ä", bool: True, float: 0.5}

_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=4)
    | strategies.binary(max_size=4)
    | strategies.floats(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=4), inner, max_size=3
        )
    ),
    max_leaves=8,
)


def _example(target: Any) -> Any:
    """Return a value of a type, with every optional part present."""
    if isinstance(target, type) and dataclasses.is_dataclass(target):
        hints = get_type_hints(target)
        return target(**{name: _example(hints[name]) for name in hints})
    if isinstance(target, type) and issubclass(target, enum.Enum):
        return next(iter(target))
    if get_origin(target) is tuple:
        return (_example(get_args(target)[0]),) * 2
    if isinstance(target, types.UnionType):
        return _example(get_args(target)[0])
    return EXAMPLE_VALUES[target]


@pytest.mark.parametrize("message_type", MESSAGE_TYPES)
def test_every_message_survives_the_round_trip(message_type: type) -> None:
    """Guards against message types that the codec cannot encode or decode."""
    message = _example(message_type)
    assert codec.decode(codec.encode(message)) == message


@hypothesis.given(strategies.binary(max_size=64))
def test_any_bytes_are_rejected_with_a_code(data: bytes) -> None:
    """Guards against random bytes of a peer that end the process."""
    with pytest.raises(exceptions.MessageError):
        codec.decode(data)


@hypothesis.given(
    strategies.sampled_from(MESSAGE_TYPES),
    strategies.integers(min_value=0, max_value=255),
    strategies.data(),
)
def test_damaged_messages_are_rejected_or_valid(
    message_type: type, byte: int, data: strategies.DataObject
) -> None:
    """Guards against errors other than `MessageError` on damaged messages."""
    encoded = bytearray(codec.encode(_example(message_type)))
    position = data.draw(strategies.integers(0, len(encoded) - 1))
    encoded[position] = byte
    end = data.draw(strategies.integers(position + 1, len(encoded)))
    try:
        decoded = codec.decode(bytes(encoded[:end]))
    except exceptions.MessageError:
        return
    # An accepted message must survive another round trip.
    assert codec.decode(codec.encode(decoded)) == decoded


@hypothesis.given(
    strategies.sampled_from(MESSAGE_TYPES), strategies.data(), _values
)
def test_fields_of_wrong_types_are_rejected(
    message_type: type, data: strategies.DataObject, value: Any
) -> None:
    """Guards against values of wrong types that reach the core."""
    envelope = cbor2.loads(codec.encode(_example(message_type)))
    name = data.draw(strategies.sampled_from(sorted(envelope["message"])))
    envelope["message"][name] = value
    try:
        decoded = codec.decode(cbor2.dumps(envelope))
    except exceptions.MessageError:
        return
    assert codec.decode(codec.encode(decoded)) == decoded


def test_other_versions_and_long_messages_are_rejected() -> None:
    """Guards against misread messages after an upgrade, and long messages."""
    message = messages.Unsubscribe("reader")
    envelope = cbor2.loads(codec.encode(message))
    envelope["version"] += 1
    with pytest.raises(exceptions.MessageError, match="version"):
        codec.decode(cbor2.dumps(envelope))
    with pytest.raises(exceptions.MessageError, match="long"):
        codec.decode(b" " * (codec.MAX_MESSAGE_BYTES + 1))
    with pytest.raises(exceptions.MessageError, match="long"):
        codec.encode(messages.Unsubscribe("x" * codec.MAX_MESSAGE_BYTES))


def test_largest_digest_fits_its_size_limit() -> None:
    """Guards against control traffic above the budget of an entry.

    The design page limits a digest to 1,024 bytes. VM ids have up to 24
    characters here.
    """
    entry = ids.EntryId("entry-virtual-machine-01", 1_796_360_193_844)
    upstream = "upstream-machine-0000001"
    digest = messages.Digest(
        entry,
        123_456_789,
        "recife-zone-a",
        "10.123.123.123:7003",
        True,
        8_100 * 365,
        16_000,
        (messages.UpstreamLoad(upstream, 64),) * digests.MAX_LOADS,
        (messages.LeavingUpstream(upstream, entry.incarnation),)
        * digests.MAX_LEAVING,
        (messages.Departure(entry, (entry,) * 3),) * digests.MAX_DEPARTURES,
        (messages.ServiceDemand("service-name-01", 100_000, 10**7),)
        * digests.MAX_DEMANDS,
    )
    assert len(codec.encode(digest)) <= 1_024
