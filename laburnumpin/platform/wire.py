"""Codec of the platform's HTTP headers, for callers and for upstreams."""

from __future__ import annotations

import math

from laburnumpin import exceptions
from laburnumpin.forwarding import caller as callers
from laburnumpin.forwarding import completeness
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding import upstreams

HEADER_PREFIX = b"x-laburnumpin-"
# Names one attempt of the caller; the entry uses it as its request id.
ATTEMPT_ID = HEADER_PREFIX + b"attempt-id"
DEADLINE = HEADER_PREFIX + b"deadline-ms"  # A duration, not a point in time.
CREDENTIAL = HEADER_PREFIX + b"credential"
# `prompt_tokens,max_output_tokens`.
TOKEN_COUNT = HEADER_PREFIX + b"token-count"
# `hex_id:tokens` of each part of the prompt, separated by commas. The last
# part belongs to this request alone.
PROMPT_PREFIX = HEADER_PREFIX + b"prompt-prefix"
# Part ids of any length are reduced to this range, as entries send them to each
# other; a prime, so that no digit of an id is lost.
PART_ID_MODULUS = 2**61 - 1
MODEL = HEADER_PREFIX + b"model"
LAST_EVENT_ID = b"last-event-id"
# Names the upstream that answers a health check.
INSTANCE_ID = HEADER_PREFIX + b"instance-id"
NOT_EXECUTED = HEADER_PREFIX + b"not-executed"
MISDIRECTED_STATUS = 421
# These statuses promise a caller that its request has not run and never will.
PROMISING_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))
# The upstream's signature of a result; a success without it is none.
RECEIPT = HEADER_PREFIX + b"response-seal"
# Requests a second, a decimal number, that an upstream takes from all entries.
SERVER_LIMIT = b"server-limit"
# 1 if the upstream that answers leaves.
SERVER_LEAVING = b"server-leaving"
# Longest number of seconds of a keep-alive timeout; most tokens of a request.
MAX_KEEP_ALIVE_DIGITS = 9
# Highest number of a caller's header; higher ones count as this.
MAX_NUMBER = 2**53 - 1
MAX_TOKENS = 1_000_000_000
# Values above this are malformed.
MAX_SERVER_LIMIT_PER_S = 1_000_000.0
# Time in seconds for which an upstream that answers 503 wants nothing from this
# entry.
RETRY_AFTER = b"retry-after"
BUSY_STATUS = 503

# Dropped from the headers of callers: the entry sets them or leaves them out.
_ENTRY_ONLY = frozenset(
    (
        CREDENTIAL,
        DEADLINE,
        HEADER_PREFIX + b"tenant",
        HEADER_PREFIX + b"expect-instance",
        HEADER_PREFIX + b"expect-version",
        HEADER_PREFIX + b"request-priority",
        HEADER_PREFIX + b"kv-hold",
        HEADER_PREFIX + b"pin-ms",
        HEADER_PREFIX + b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        LAST_EVENT_ID,
        b"content-length",
    )
)
# Forwarded even if the `Connection` header names them.
_ALWAYS_FORWARDED = frozenset(
    (ATTEMPT_ID, TOKEN_COUNT, PROMPT_PREFIX, MODEL, b"host")
)
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
# Statuses of rejected requests that have not run.
_STATUS_BY_REASON = {
    effects.Reason.NOT_READY: 503,
    effects.Reason.NO_ROUTE: 404,
    effects.Reason.UNKNOWN_KEY: 401,
    effects.Reason.OVER_QUOTA: 429,
    effects.Reason.NO_UPSTREAM: 503,
    effects.Reason.NO_ROOM: 503,
    effects.Reason.TOO_LATE: 503,
    effects.Reason.LEAVING: 503,
    effects.Reason.WITHHELD: 503,
    effects.Reason.UPSTREAM_LIMIT: 503,
    effects.Reason.UPSTREAM_BACKOFF: 503,
    effects.Reason.UPSTREAM_REJECTED: 503,
    effects.Reason.UPSTREAM_FAILED: 503,
    effects.Reason.DEADLINE: 503,
}


class PlatformWire:
    """Implements `Wire` with the platform's header names."""

    __slots__ = ()

    def decode(self, head: interfaces.CallerHead) -> interfaces.CallerFields:
        """Return the fields of a request head.

        Of a repeated header the first value counts.

        Raises:
            DocumentError: The request id is missing or a header is malformed.
        """
        values: dict[bytes, bytes] = {}
        for name, value in head.headers:
            values.setdefault(name.lower(), value)
        request_id = values.get(ATTEMPT_ID, b"").decode("latin-1")
        if not request_id:
            raise exceptions.DocumentError(
                "the attempt-id header is missing or empty"
            )
        host = values.get(b"host", b"").decode("latin-1").lower()
        path = head.target.partition(b"?")[0].decode("latin-1")
        key = values.get(CREDENTIAL)
        return interfaces.CallerFields(
            request_id=request_id,
            host=host.partition(":")[0],
            path=path,
            deadline_in_ms=_decode_number(values.get(DEADLINE)),
            key=None if key is None else key.decode("latin-1"),
            prompt=_decode_prompt(
                values.get(TOKEN_COUNT), values.get(PROMPT_PREFIX)
            ),
            resume_after=_decode_number(values.get(LAST_EVENT_ID)),
        )

    def request_id(self, headers: connections.Headers) -> str:
        """Return the id in the fields of a head, empty if it has none."""
        for name, value in headers:
            if name.lower() == ATTEMPT_ID:
                return value.decode("latin-1")
        return ""

    def upstream_headers(
        self,
        head: interfaces.CallerHead,
        request: requests.Request,
        registration: upstreams.Registration,
        *,
        remaining_ms: int,
        priority: int,
        body_bytes: int,
        resume_after: int | None,
        kv_source: str | None,
    ) -> connections.Headers:
        """Return the headers of an attempt at an upstream.

        `resume_after` is the id of the last event that the caller has
        received, and `kv_source` the address and path from which the engine
        fetches the KV cache.
        """
        headers = _end_to_end_headers(head.headers, _ENTRY_ONLY)
        if body_bytes or head.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", str(body_bytes).encode()))
        headers.append(
            (b"X-Laburnumpin-Deadline-Ms", str(remaining_ms).encode())
        )
        headers.append(_expected_upstream(registration))
        if request.customer is not None:
            headers.append(
                (b"X-Laburnumpin-Tenant", request.customer.name.encode())
            )
        if request.prompt is not None:
            headers.append(
                (
                    b"X-Laburnumpin-Request-Priority",
                    str(max(0, min(9, priority))).encode(),
                )
            )
        if kv_source is not None:
            headers.append((b"Kv-From", kv_source.encode()))
        if resume_after is not None:
            headers.append((b"Last-Event-Id", str(resume_after).encode()))
        return headers

    def classify(
        self, request_id: str, status: int, headers: connections.Headers
    ) -> interfaces.AnswerKind:
        """Classify an upstream's response by its status and headers."""
        values = {name.lower(): value for name, value in headers}
        if values.get(ATTEMPT_ID) != request_id.encode("latin-1"):
            # Upstreams echo the attempt id, so a response without it, such as
            # a late copy, may belong to another request. Even its statement
            # that a request has not run may be about that one.
            return interfaces.AnswerKind.OTHER_REQUEST
        if status == MISDIRECTED_STATUS:
            return interfaces.AnswerKind.WRONG_UPSTREAM
        if NOT_EXECUTED in values:
            return interfaces.AnswerKind.NOT_RUN
        if status in PROMISING_STATUSES:
            return interfaces.AnswerKind.UNPROVED_REFUSAL
        if status >= 500:
            return interfaces.AnswerKind.FAILURE
        if 200 <= status < 300 and not values.get(RECEIPT):
            return interfaces.AnswerKind.WITHOUT_RECEIPT
        return interfaces.AnswerKind.ANSWER

    def identity_headers(
        self, registration: upstreams.Registration
    ) -> connections.Headers:
        """Return the headers of a health check of an upstream."""
        return [
            (b"Host", registration.address.encode()),
            _expected_upstream(registration),
        ]

    def identify(
        self,
        registration: upstreams.Registration,
        status: int,
        headers: connections.Headers,
    ) -> completeness.UpstreamState:
        """Return who answers a health check, whether healthy or not."""
        if status == MISDIRECTED_STATUS:
            return completeness.UpstreamState.REPLACED
        for name, value in headers:
            if name.lower() != INSTANCE_ID:
                continue
            if value == registration.upstream_id.encode():
                return completeness.UpstreamState.SAME
            return completeness.UpstreamState.REPLACED
        return completeness.UpstreamState.LISTENING

    def answer_headers(
        self, headers: connections.Headers
    ) -> connections.Headers:
        """Return the end-to-end headers of an upstream's response."""
        return _end_to_end_headers(headers, frozenset())

    def rejection(
        self, request_id: str, reject: effects.Reject
    ) -> tuple[int, connections.Headers]:
        """Return the status and headers of the response to a rejection."""
        status = _STATUS_BY_REASON[reject.reason]
        if not reject.not_run:
            # 503 would mean that the request has not run.
            is_timeout = reject.reason is effects.Reason.DEADLINE
            status = 504 if is_timeout else 502
        headers: connections.Headers = [
            (b"X-Laburnumpin-Attempt-Id", request_id.encode("latin-1")),
            (b"Content-Length", b"0"),
        ]
        if reject.retry_after_ms is not None and status in (429, 503):
            headers.append(callers.retry_after_header(reject.retry_after_ms))
        return status, headers

    def statement(
        self, status: int, headers: connections.Headers
    ) -> upstreams.Statement:
        """Return what an upstream says of itself in a response.

        The upstream that answers 421 is another one. The first limit and the
        longest back-off count.
        """
        if status == MISDIRECTED_STATUS:
            return upstreams.Statement()
        limit_per_s: float | None = None
        is_leaving = False
        backoff_ms = 0
        malformed = []
        for name, value in headers:
            lowered = name.lower()
            try:
                if lowered == SERVER_LIMIT and limit_per_s is None:
                    limit_per_s = _decode_limit(value)
                elif lowered == SERVER_LEAVING:
                    is_leaving = _decode_leaving(value) or is_leaving
                elif lowered == RETRY_AFTER and status == BUSY_STATUS:
                    backoff_ms = max(backoff_ms, _decode_backoff_ms(value))
            except exceptions.DocumentError as error:
                malformed.append(error.message)
        return upstreams.Statement(
            limit_per_s, is_leaving, backoff_ms, tuple(malformed)
        )

    def keep_alive_ms(self, headers: connections.Headers) -> int | None:
        """Return the idle timeout of the `Keep-Alive` header, if it has one."""
        for name, value in headers:
            if name.lower() != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                seconds = number.strip()
                if key.lower() != b"timeout" or not seconds.isdigit():
                    continue
                if len(seconds) <= MAX_KEEP_ALIVE_DIGITS:
                    return int(seconds) * 1_000
        return None


def _expected_upstream(
    registration: upstreams.Registration,
) -> tuple[bytes, bytes]:
    """Return the header that makes any other upstream answer 421."""
    return (
        b"X-Laburnumpin-Expect-Instance",
        registration.upstream_id.encode(),
    )


def _decode_limit(value: bytes) -> float:
    """Return a limit in requests a second.

    Raises:
        DocumentError: It is not a decimal number in range.
    """
    try:
        limit_per_s = float(value)
    except ValueError as error:
        raise exceptions.DocumentError(
            "the server-limit header is not a number"
        ) from error
    if not 0 <= limit_per_s <= MAX_SERVER_LIMIT_PER_S:
        raise exceptions.DocumentError(
            "the server-limit header is out of range"
        )
    return limit_per_s


def _decode_leaving(value: bytes) -> bool:
    """Return whether an upstream says that it leaves.

    Raises:
        DocumentError: The header is neither 0 nor 1.
    """
    is_leaving = False
    for token in value.split(b","):
        if token.strip() not in (b"0", b"1"):
            raise exceptions.DocumentError(
                "the server-leaving header is neither 0 nor 1"
            )
        is_leaving = is_leaving or token.strip() == b"1"
    return is_leaving


def _decode_backoff_ms(value: bytes) -> int:
    """Return the time that a Retry-After header asks for, rounded up.

    Raises:
        DocumentError: It is not a number of seconds, or it is negative.
    """
    try:
        seconds = float(value)
    except ValueError as error:
        raise exceptions.DocumentError(
            "the retry-after header is not a number of seconds"
        ) from error
    if not seconds >= 0:
        raise exceptions.DocumentError("the retry-after header is negative")
    return math.ceil(min(seconds * 1_000, untrusted.MAX_DURATION_MS))


def _end_to_end_headers(
    headers: connections.Headers, excluded: frozenset[bytes]
) -> connections.Headers:
    """Return the end-to-end headers, without those in `excluded`.

    Drops the hop-by-hop headers and those that the `Connection` header names.
    """
    hop_by_hop = set(_HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == b"connection":
            for token in value.split(b","):
                hop_by_hop.add(token.strip().lower())
    hop_by_hop -= _ALWAYS_FORWARDED
    forwarded: connections.Headers = []
    for name, value in headers:
        lowered = name.lower()
        if lowered in hop_by_hop or lowered in excluded:
            continue
        forwarded.append((name, value))
    return forwarded


def _decode_number(value: bytes | None) -> int | None:
    if value is None:
        return None
    try:
        return min(max(0, int(value)), MAX_NUMBER)
    except ValueError as error:
        raise exceptions.DocumentError("a header is not an integer") from error


def _decode_tokens(value: bytes) -> int:
    """Return a number of tokens, 0 if it is missing.

    Raises:
        ValueError: It is not a number in range.
    """
    tokens = int(value or 0)
    if not 0 <= tokens <= MAX_TOKENS:
        raise ValueError("a number of tokens is out of range")
    return tokens


def _decode_prompt(
    counts: bytes | None, parts: bytes | None
) -> requests.Prompt | None:
    if counts is None:
        return None
    try:
        tokens, _, output = counts.partition(b",")
        decoded = []
        for part in (parts or b"").split(b","):
            if not part.strip():
                continue
            part_id, _, size = part.strip().partition(b":")
            decoded.append(
                requests.PromptPart(
                    int(part_id, 16) % PART_ID_MODULUS, _decode_tokens(size)
                )
            )
        return requests.Prompt(
            _decode_tokens(tokens), _decode_tokens(output), tuple(decoded)
        )
    except ValueError as error:
        raise exceptions.DocumentError(
            "the token-count or prompt-prefix header is malformed"
        ) from error
