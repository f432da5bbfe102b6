"""Defects for which two readers may disagree about where a message ends.

The names of sections are those of RFC 9112.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import enum
import re

MAX_CHUNK_SIZE_DIGITS = 15
_FRAMING_NAMES = (b"content-length", b"transfer-encoding")
_FRAMING_INITIALS = frozenset(b"cCtT")
_DIGITS = re.compile(rb"[0-9]+")
_SOUND_CHUNK_LINE = re.compile(
    rb"[0-9A-Fa-f]{1,%d}(?:;[^\r\n]*)?\r\n" % MAX_CHUNK_SIZE_DIGITS
)
_BLANK_AFTER_SIZE = re.compile(rb"[0-9A-Fa-f]+[ \t]+(?:;[^\r\n]*)?\r\n")


class Defect(enum.Enum):
    """What is wrong with the framing of a message."""

    # Section 2.2: a line that does not end with CR LF.
    BARE_LINE_FEED = "bare_line_feed"
    BARE_CARRIAGE_RETURN = "bare_carriage_return"
    # Section 2.3.
    UNKNOWN_VERSION = "unknown_version"
    # Section 5.1.
    BLANK_BEFORE_COLON = "blank_before_colon"
    # Section 5.2.
    FOLDED_LINE = "folded_line"
    # Section 6.1.
    LENGTH_AND_CHUNKS = "length_and_chunks"
    CODING_IN_HTTP_1_0 = "coding_in_http_1_0"
    UNKNOWN_CODING = "unknown_coding"
    # Section 6.3: a length that is no number, or a list.
    MALFORMED_LENGTH = "malformed_length"
    SEVERAL_LENGTHS = "several_lengths"
    # An answer announces a body that its status does not allow.
    UNEXPECTED_BODY = "unexpected_body"
    # Section 7.1.
    MALFORMED_CHUNK_SIZE = "malformed_chunk_size"
    BLANK_IN_CHUNK_SIZE = "blank_in_chunk_size"
    # Section 7.1.2.
    FRAMING_IN_TRAILER = "framing_in_trailer"


class RequestVerdict(enum.Enum):
    """What becomes of a request.

    `SERVED`: it is served. `SERVED_LAST`: it is served, and nothing that
    follows it on its connection is read. `REFUSED`: nothing more is read.
    """

    SERVED = "served"
    SERVED_LAST = "served_last"
    REFUSED = "refused"


def judge_request(defect: Defect | None) -> RequestVerdict:
    """Return what becomes of a request with a defect.

    Section 6.3 tells every reader that chunks override a length, and section
    6.1 to close the connection, as an older reader may follow the length.
    """
    if defect is None:
        return RequestVerdict.SERVED
    if defect is Defect.LENGTH_AND_CHUNKS:
        return RequestVerdict.SERVED_LAST
    return RequestVerdict.REFUSED


def find_gravest(found: Sequence[Defect]) -> Defect | None:
    """Return the defect of a request that decides what becomes of it."""
    for defect in found:
        if judge_request(defect) is RequestVerdict.REFUSED:
            return defect
    return found[0] if found else None


def refusal_status(defect: Defect) -> int:
    """Return the status with which a request is refused."""
    if defect is Defect.UNKNOWN_CODING:
        return 501
    if defect is Defect.UNKNOWN_VERSION:
        return 505
    return 400


def find_in_lines(raw: bytes) -> Defect | None:
    """Return the defect of how a head or a trailer section is split in lines.

    `raw` has its line ends.
    """
    line_feeds = raw.count(b"\n")
    if line_feeds != raw.count(b"\r\n"):
        return Defect.BARE_LINE_FEED
    if line_feeds != raw.count(b"\r"):
        return Defect.BARE_CARRIAGE_RETURN
    if b"\n " in raw or b"\n\t" in raw:
        return Defect.FOLDED_LINE
    return None


def find_in_head(lines: Sequence[bytes | bytearray]) -> Defect | None:
    """Return the defect of the version and the framing fields of a head.

    `lines` are without line ends; the first one is the request or status line.
    """
    first = lines[0]
    version = first[:8] if first.startswith(b"HTTP/") else first[-8:]
    if not version.startswith(b"HTTP/"):
        return None  # It is no head.
    if not version.startswith(b"HTTP/1."):
        return Defect.UNKNOWN_VERSION
    lengths: list[bytes] = []
    codings: list[bytes] = []
    for name, value in _framing_fields(lines):
        if name != name.strip():
            return Defect.BLANK_BEFORE_COLON
        is_length = name.lower() == b"content-length"
        (lengths if is_length else codings).append(value)
    return judge_fields(version == b"HTTP/1.0", lengths, codings)


def find_in_trailer(lines: Sequence[bytes | bytearray]) -> Defect | None:
    """Return the defect of the fields of a trailer section."""
    for _ in _framing_fields(lines):
        return Defect.FRAMING_IN_TRAILER
    return None


def _framing_fields(
    lines: Sequence[bytes | bytearray],
) -> Iterator[tuple[bytes, bytes]]:
    """Yield the names, with their blanks, and values of framing fields."""
    for line in lines:
        if not line or line[0] not in _FRAMING_INITIALS:
            continue
        name, _, value = bytes(line).partition(b":")
        if name.strip().lower() in _FRAMING_NAMES:
            yield name, value.strip(b" \t")


def judge_fields(
    is_http_1_0: bool, lengths: Sequence[bytes], codings: Sequence[bytes]
) -> Defect | None:
    """Return the defect of the values of the framing fields of one head."""
    if codings:
        if is_http_1_0:
            return Defect.CODING_IN_HTTP_1_0
        if len(codings) > 1 or codings[0].lower() != b"chunked":
            return Defect.UNKNOWN_CODING
    for length in lengths:
        if not _DIGITS.fullmatch(length):
            return Defect.MALFORMED_LENGTH
    if len(lengths) > 1:
        return Defect.SEVERAL_LENGTHS
    return Defect.LENGTH_AND_CHUNKS if lengths and codings else None


def find_in_chunk_line(line: bytes | bytearray) -> Defect | None:
    """Return the defect of a line, with its end, that begins a chunk."""
    if _SOUND_CHUNK_LINE.fullmatch(line):
        return None
    if b"\r" in line[:-2]:
        return Defect.BARE_CARRIAGE_RETURN
    if _BLANK_AFTER_SIZE.fullmatch(line):
        return Defect.BLANK_IN_CHUNK_SIZE
    return Defect.MALFORMED_CHUNK_SIZE


def find_in_status(
    status: int, headers: Sequence[tuple[bytes, bytes]]
) -> Defect | None:
    """Return the defect of an answer that its status gives no body."""
    if status != 204 and status >= 200:
        return None
    for name, value in headers:
        lowered = name.lower()
        if lowered == b"transfer-encoding":
            return Defect.UNEXPECTED_BODY
        if lowered == b"content-length" and value.strip(b"0"):
            return Defect.UNEXPECTED_BODY
    return None
