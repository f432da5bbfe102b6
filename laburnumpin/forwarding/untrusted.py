"""Decoding of values that others have written.

Each function returns a value in its range or raises `MalformedError`, whatever
the bytes are, so that one bad entry cannot end the reader of a list.
"""

from __future__ import annotations

from collections.abc import Mapping
import ipaddress
import json
import math
import re
from typing import Any

import cbor2

from laburnumpin import exceptions

# Longest name of an upstream, a service, a zone or an entry, in characters.
MAX_NAME_CHARS = 200
# Longest key of a row of the store, in characters.
MAX_KEY_CHARS = 1_000
# Latest Unix time that is taken as one: the year 2100, in ms.
MAX_UNIX_MS = 4_102_444_800_000
# Longest duration: 30 days, in ms.
MAX_DURATION_MS = 2_592_000_000
# Highest version, counter or token: JSON numbers are exact up to here.
MAX_COUNTER = 2**53 - 1

# Names are sent in headers.
_NAME_PATTERN = re.compile(
    r"[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?"
)
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
_ADDRESS_PATTERN = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})")


class MalformedError(exceptions.DocumentError):
    """A document, or one field of it, is malformed.

    `reason` is `unreadable`, `too_large`, `missing`, `wrong_type`,
    `out_of_range` or `unknown_value`; `field` is empty for the whole document.
    """

    code = "document_malformed"

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field or 'document'}: {reason}")
        self.field = field
        self.reason = reason


def parse_json(value: bytes, max_bytes: int) -> dict[str, Any]:
    """Return the JSON object in `value`.

    Raises:
        MalformedError: It is not an object, or longer than `max_bytes`.
    """
    if len(value) > max_bytes:
        raise MalformedError("", "too_large")
    try:
        document = json.loads(value, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise MalformedError("", "unreadable") from error
    return mapping(document, "")


def parse_cbor(value: bytes, max_bytes: int) -> dict[Any, Any]:
    """Return the CBOR map in `value`.

    Raises:
        MalformedError: It is not a map, or longer than `max_bytes`.
    """
    if len(value) > max_bytes:
        raise MalformedError("", "too_large")
    try:
        document = cbor2.loads(value)
    except (
        cbor2.CBORDecodeError,
        ArithmeticError,
        AttributeError,
        LookupError,
        MemoryError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise MalformedError("", "unreadable") from error
    return mapping(document, "")


def required(document: Mapping[Any, Any], field: str) -> Any:
    """Return the value of a field.

    Raises:
        MalformedError: The field is missing.
    """
    try:
        return document[field]
    except KeyError as error:
        raise MalformedError(field, "missing") from error


def integer(
    value: object, field: str, low: int = 0, high: int = MAX_COUNTER
) -> int:
    """Return a whole number from `low` to `high`.

    Raises:
        MalformedError: It is not an integer, or out of range.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise MalformedError(field, "wrong_type")
    if not low <= value <= high:
        raise MalformedError(field, "out_of_range")
    return value


def number(
    value: object, field: str, low: float = 0.0, high: float = MAX_COUNTER
) -> float:
    """Return a number from `low` to `high`.

    Raises:
        MalformedError: It is not a finite number, or out of range.
    """
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise MalformedError(field, "wrong_type")
    if isinstance(value, float) and not math.isfinite(value):
        raise MalformedError(field, "out_of_range")
    if not low <= value <= high:
        raise MalformedError(field, "out_of_range")
    return float(value)


def duration_ms(value: object, field: str) -> int:
    """Return a duration in ms; 0 if it is negative, as it may be over.

    Raises:
        MalformedError: It is not a finite number, or longer than
            `MAX_DURATION_MS`.
    """
    low = -float(MAX_DURATION_MS)
    return max(0, int(number(value, field, low, MAX_DURATION_MS)))


def text(value: object, field: str, max_chars: int = MAX_NAME_CHARS) -> str:
    """Return a text of at most `max_chars` characters.

    Raises:
        MalformedError: It is not a text, or too long.
    """
    if not isinstance(value, str):
        raise MalformedError(field, "wrong_type")
    if len(value) > max_chars:
        raise MalformedError(field, "too_large")
    return value


def name(value: object, field: str) -> str:
    """Return a name that can be sent in a header.

    Raises:
        MalformedError: It is empty, too long, begins or ends with a space, or
            has control characters.
    """
    checked = text(value, field)
    if not _NAME_PATTERN.fullmatch(checked):
        raise MalformedError(field, "out_of_range")
    return checked


def address(value: object, field: str) -> str:
    """Return an address of the form `IP:PORT`.

    Raises:
        MalformedError: The IPv4 address or the port is none.
    """
    match = _ADDRESS_PATTERN.fullmatch(text(value, field))
    if match is None:
        raise MalformedError(field, "unreadable")
    try:
        ipaddress.IPv4Address(match.group(1))
    except ValueError as error:
        raise MalformedError(field, "out_of_range") from error
    integer(int(match.group(2)), field, 1, 65_535)
    return match.group(0)


def host_address(value: object, field: str) -> str:
    """Return an address of the form `HOST:PORT`; the host may be a name.

    Raises:
        MalformedError: The port is out of range, or there is no host.
    """
    checked = name(value, field)
    host, _, port = checked.rpartition(":")
    if not host or not _PORT_PATTERN.fullmatch(port):
        raise MalformedError(field, "unreadable")
    integer(int(port), field, 1, 65_535)
    return checked


def sequence(value: object, field: str) -> list[Any] | tuple[Any, ...]:
    """Return a list.

    Raises:
        MalformedError: It is none.
    """
    if not isinstance(value, list | tuple):
        raise MalformedError(field, "wrong_type")
    return value


def items(value: object, field: str, count: int) -> list[Any]:
    """Return the values of a list of a fixed length.

    Raises:
        MalformedError: It is no list, or of another length.
    """
    values = list(sequence(value, field))
    if len(values) != count:
        raise MalformedError(field, "wrong_type")
    return values


def mapping(value: object, field: str) -> dict[Any, Any]:
    """Return a mapping.

    Raises:
        MalformedError: It is none.
    """
    if not isinstance(value, dict):
        raise MalformedError(field, "wrong_type")
    return value


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")
