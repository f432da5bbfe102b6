"""Encoding of peer messages as CBOR (RFC 8949)."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import get_args

import cbor2

from laburnumpin import exceptions
from laburnumpin.core import messages
from laburnumpin.server import documents

MAX_MESSAGE_BYTES = 1024 * 1024
# No message is nested this deeply.
MAX_NESTING_DEPTH = 16

_MESSAGE_TYPES_BY_NAME: dict[str, type] = {
    message_type.__name__: message_type
    for message_type in get_args(messages.Message)
}
_converter = documents.new_converter()


@dataclasses.dataclass(slots=True, frozen=True)
class _Envelope:
    """A message with the name of its type and the protocol version."""

    version: int
    type: str
    message: dict[str, Any]


def encode(message: messages.Message) -> bytes:
    """Return the encoding of a message.

    Raises:
        MessageError: The message is too long or cannot be encoded.
    """
    envelope = _Envelope(
        messages.PROTOCOL_VERSION,
        type(message).__name__,
        _converter.unstructure(message),
    )
    try:
        data = cbor2.dumps(_converter.unstructure(envelope))
    except Exception as error:
        raise exceptions.MessageError(
            f"message cannot be encoded: {error!r}"
        ) from error
    if len(data) > MAX_MESSAGE_BYTES:
        raise exceptions.MessageError(f"message is too long: {len(data)} bytes")
    return data


def decode(data: bytes) -> messages.Message:
    """Return the message that was encoded.

    Raises:
        MessageError: The data is too long, malformed or of another protocol
            version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise exceptions.MessageError(f"message is too long: {len(data)} bytes")
    try:
        return _decode(data)
    except exceptions.MessageError:
        raise
    except Exception as error:
        # `cbor2` and `cattrs` raise many types of errors on malformed input.
        raise exceptions.MessageError(
            f"malformed message: {type(error).__name__}"
        ) from error


def _decode(data: bytes) -> messages.Message:
    document = cbor2.loads(
        data,
        max_depth=MAX_NESTING_DEPTH,
        allow_indefinite=False,
        allow_duplicate_keys=False,
        strict_hashable_types=True,
    )
    envelope = _converter.structure(document, _Envelope)
    if envelope.version != messages.PROTOCOL_VERSION:
        raise exceptions.MessageError(
            f"protocol version {envelope.version} is not supported"
        )
    message_type = _MESSAGE_TYPES_BY_NAME.get(envelope.type)
    if message_type is None:
        raise exceptions.MessageError("unknown message type")
    message: messages.Message = _converter.structure(
        envelope.message, message_type
    )
    return message
