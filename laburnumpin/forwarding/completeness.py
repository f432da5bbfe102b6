"""What shows where an upstream's answer ends."""

from __future__ import annotations

import enum

from laburnumpin.forwarding import connections

_STATUSES_WITHOUT_BODY = (204, 304)


class Framing(enum.Enum):
    """How an answer shows the end of its body (RFC 9112, section 6.3).

    With `CLOSE` nothing but the end of the connection does.
    """

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


def find_framing(
    method: bytes, status: int, headers: connections.Headers
) -> Framing:
    """Return the framing of an answer to a request with `method`."""
    if method == b"HEAD" or status in _STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    names = {name.lower() for name, _ in headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    if b"content-length" in names:
        return Framing.LENGTH
    return Framing.CLOSE
