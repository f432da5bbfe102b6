"""Decodes long answers of the store without blocking the event loop."""

from __future__ import annotations

import base64
from collections.abc import Generator
from typing import Any

from laburnumpin.forwarding import untrusted

# Values from this length on are cut out of an answer before it is parsed.
MIN_CUT_BYTES = 65_536
# Base64 characters that are decoded between two pauses, a multiple of four.
_CHUNK_CHARS = 131_072
_QUOTE = b'"'
# No base64 text has these characters.
_PREFIX = "#long-value "
_MAX_INDEX_DIGITS = 6


def parse(
    body: bytes, max_bytes: int
) -> Generator[None, None, tuple[dict[str, Any], list[bytes]]]:
    """Return the JSON object of an answer, and its long values, decoded.

    A long value is replaced by a text that `index_of` takes. An answer without
    such values is parsed as it is.

    Raises:
        MalformedError: The answer is no JSON object.
    """
    kept: list[bytes] = []
    found: list[bytes] = []
    kept_to = 0
    start = body.find(_QUOTE)
    while start >= 0 and len(body) >= MIN_CUT_BYTES:
        end = body.find(_QUOTE, start + 1)
        if end < 0:
            break
        if end - start > MIN_CUT_BYTES:
            value = yield from _decode(body, start + 1, end)
            if value is not None:
                kept += [body[kept_to : start + 1], _mark(len(found))]
                kept_to = end
                found.append(value)
        start = end
        yield
    kept.append(body[kept_to:])
    return untrusted.parse_json(b"".join(kept), max_bytes), found


def index_of(value: object) -> int | None:
    """Return which of the long values a text stands for, None if none."""
    if not isinstance(value, str) or not value.startswith(_PREFIX):
        return None
    number = value[len(_PREFIX) :]
    if len(number) > _MAX_INDEX_DIGITS or not number.isdecimal():
        return None
    return int(number)


def _mark(index: int) -> bytes:
    return f"{_PREFIX}{index}".encode()


def _decode(
    body: bytes, start: int, end: int
) -> Generator[None, None, bytes | None]:
    """Return the bytes that a base64 text stands for, None if it is none.

    What lies between two texts is none, as it has a comma or a colon.
    """
    if (end - start) % 4:
        return None
    view = memoryview(body)
    parts = []
    for at in range(start, end, _CHUNK_CHARS):
        try:
            parts.append(
                base64.b64decode(
                    view[at : min(at + _CHUNK_CHARS, end)], validate=True
                )
            )
        except ValueError:
            return None
        yield
    return b"".join(parts)
