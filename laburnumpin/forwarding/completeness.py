"""What shows that an upstream's answer is whole.

An upstream that ends closes its connections in the same way as one that has
finished its answers. Every path decides here what the end of an answer shows,
so that a caller's response claims no more than that.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from laburnumpin.framing import defects

if typing.TYPE_CHECKING:
    from laburnumpin.forwarding import connections

_STATUSES_WITHOUT_BODY = (204, 304)
# As long as the check of an upstream whose connections have broken.
DEFAULT_END_CHECK_TIMEOUT_MS = 400


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerSettings:
    """Settings for the ends of upstreams' answers.

    `end_check_timeout_ms` is the longest time for which the end of an answer
    without length waits for its upstream to say who it is; with 0 it is not
    asked.
    """

    end_check_timeout_ms: int = DEFAULT_END_CHECK_TIMEOUT_MS


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


# Defects after which readers may disagree about which bytes are the body. The
# others leave open only where the next answer begins.
_CONTRADICTIONS = frozenset(
    (
        defects.Defect.LENGTH_AND_CHUNKS,
        defects.Defect.CODING_IN_HTTP_1_0,
        defects.Defect.UNKNOWN_CODING,
        defects.Defect.UNKNOWN_VERSION,
        defects.Defect.BLANK_BEFORE_COLON,
        defects.Defect.BARE_CARRIAGE_RETURN,
        defects.Defect.MALFORMED_CHUNK_SIZE,
    )
)


def is_no_answer(defect: defects.Defect, status: int | None = None) -> bool:
    """Return whether a message with a defect proves nothing.

    `status` is that of its head, None in its body. A body of an interim
    response could be read as the final one. Repeated equal lengths name one
    end (RFC 9110, section 8.6); unequal ones are rejected by the parser.
    """
    if defect in _CONTRADICTIONS:
        return True
    is_interim = status is not None and status < 200
    return is_interim and defect is defects.Defect.UNEXPECTED_BODY


def may_continue(
    status: int,
    headers: connections.Headers,
    started_headers: connections.Headers,
) -> bool:
    """Return whether an answer continues a stream that has begun.

    `started_headers` are those of the answer with which it began. An error of
    the next upstream, or a document, is no part of that stream.
    """
    return 200 <= status < 300 and _media_type(headers) == _media_type(
        started_headers
    )


def _media_type(headers: connections.Headers) -> bytes:
    for name, value in headers:
        if name.lower() == b"content-type":
            return value.partition(b";")[0].strip().lower()
    return b""


class UpstreamState(enum.Enum):
    """What is known of an upstream after an answer of it has ended.

    `SAME`: it says that it is the one that answered. `LISTENING`: a new
    connection was accepted, and nobody has said who did. `REPLACED`: another
    one, or a newer incarnation, has its place. `REFUSED`: a new connection was
    refused. `SILENT`: none was accepted in time. `UNCHECKED`: nobody has asked.
    """

    SAME = "same"
    LISTENING = "listening"
    REPLACED = "replaced"
    REFUSED = "refused"
    SILENT = "silent"
    UNCHECKED = "unchecked"


_GONE = {
    UpstreamState.REPLACED: "another upstream has the place of this one",
    UpstreamState.REFUSED: "the upstream ended with an answer without length",
    UpstreamState.SILENT: "the upstream was silent after an answer without "
    "length",
}


class End(enum.Enum):
    """What is known when an answer has ended.

    `PROVED`: its framing shows that it is whole. `UNPROVED`: its connection was
    closed normally and nothing shows that anything is missing. `BROKEN`: it is
    not whole, or is not known to be and the caller's response could not say so.
    """

    PROVED = "proved"
    UNPROVED = "unproved"
    BROKEN = "broken"


@dataclasses.dataclass(slots=True, frozen=True)
class Evidence:
    """What is known of an answer whose upstream has sent all it will send.

    `is_inside_event` is whether a stream ended in the middle of an event, and
    `has_content` whether a stream had an event, or another body a byte.
    `is_request_sent` is whether the upstream's host has taken the whole request
    and not reset the connection since. `upstream` is what was found out after
    the end, also for an upstream that was expected to leave: that it was does
    not show that its answer had ended.
    `may_be_stopped` is whether this entry has asked the upstream to stop the
    stream, unless that had ended before.
    `may_be_unproved` is whether the response to the caller leaves open where
    it ends, or has not begun.
    """

    framing: Framing
    is_inside_event: bool
    has_content: bool
    is_request_sent: bool
    upstream: UpstreamState
    may_be_stopped: bool
    may_be_unproved: bool


def judge(evidence: Evidence) -> tuple[End, str]:
    """Return what is known of the end of an answer, and the reason for it."""
    if evidence.is_inside_event:
        return End.BROKEN, "the stream ended inside an event"
    if evidence.framing is not Framing.CLOSE:
        return End.PROVED, "framing"
    if not evidence.has_content:
        return End.BROKEN, "an answer without length ended before its content"
    if evidence.may_be_stopped:
        return End.BROKEN, "the upstream was asked to stop the stream"
    if not evidence.is_request_sent:
        return End.BROKEN, "the connection ended before the request was sent"
    if evidence.upstream in _GONE:
        return End.BROKEN, _GONE[evidence.upstream]
    if not evidence.may_be_unproved:
        return (
            End.BROKEN,
            "an answer without length cannot end a response in chunks",
        )
    return End.UNPROVED, "the connection was closed normally"
