"""Headers of callers and runners."""

from __future__ import annotations

from laburnumpin import exceptions
from laburnumpin.forwarding import connections
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import upstreams

PREFIX = b"x-laburnumpin-"
ATTEMPT_ID = PREFIX + b"attempt-id"  # One try of a caller: our request id.
DEADLINE = PREFIX + b"deadline-ms"  # A duration, not a point in time.
CREDENTIAL = PREFIX + b"credential"
TOKEN_COUNT = PREFIX + b"token-count"  # Prompt tokens, most output tokens.
PROMPT_PREFIX = PREFIX + b"prompt-prefix"  # All parts, the last one its own.
MODEL = PREFIX + b"model"
LAST_EVENT_ID = b"last-event-id"
NOT_EXECUTED = PREFIX + b"not-executed"
MISDIRECTED = 421

# Set by the system or by nobody; never taken from a caller.
_OWN = frozenset(
    (
        CREDENTIAL,
        DEADLINE,
        PREFIX + b"tenant",
        PREFIX + b"expect-instance",
        PREFIX + b"expect-version",
        PREFIX + b"request-priority",
        PREFIX + b"kv-hold",
        PREFIX + b"pin-ms",
        PREFIX + b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        LAST_EVENT_ID,
        b"content-length",
    )
)
# Kept even where the `Connection` header names them.
_KEPT = frozenset((ATTEMPT_ID, TOKEN_COUNT, PROMPT_PREFIX, MODEL, b"host"))
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
_STATUS = {
    effects.Reason.NOT_READY: 503,
    effects.Reason.NO_ROUTE: 404,
    effects.Reason.UNKNOWN_KEY: 401,
    effects.Reason.OVER_QUOTA: 429,
    effects.Reason.NO_UPSTREAM: 503,
    effects.Reason.NO_ROOM: 503,
    effects.Reason.TOO_LATE: 503,
    effects.Reason.LEAVING: 503,
    effects.Reason.UPSTREAM_REJECTED: 503,
    effects.Reason.UPSTREAM_FAILED: 503,
    effects.Reason.DEADLINE: 503,
}


class PlatformWire:
    """`Wire` with the platform's header names."""

    __slots__ = ()

    def decode(self, head: interfaces.CallerHead) -> interfaces.CallerFields:
        """Return what a head says."""
        found: dict[bytes, bytes] = {}
        for name, value in head.headers:
            found.setdefault(name.lower(), value)
        request_id = found.get(ATTEMPT_ID, b"").decode("latin-1")
        if not request_id:
            raise exceptions.DocumentError("the request has no id")
        host = found.get(b"host", b"").decode("latin-1").lower()
        path = head.target.partition(b"?")[0].decode("latin-1")
        key = found.get(CREDENTIAL)
        return interfaces.CallerFields(
            request_id=request_id,
            host=host.partition(":")[0],
            path=path,
            deadline_in_ms=_number(found.get(DEADLINE)),
            key=None if key is None else key.decode("latin-1"),
            prompt=_prompt(found.get(TOKEN_COUNT), found.get(PROMPT_PREFIX)),
            resume_after=_number(found.get(LAST_EVENT_ID)),
        )

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
        """Return the headers of an attempt."""
        headers = _end_to_end(head.headers, _OWN)
        if body_bytes or head.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", str(body_bytes).encode()))
        headers.append(
            (b"X-Laburnumpin-Deadline-Ms", str(remaining_ms).encode())
        )
        headers.append(
            (
                b"X-Laburnumpin-Expect-Instance",
                registration.upstream_id.encode(),
            )
        )
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
        """Return what kind of answer a runner gave."""
        found = {name.lower(): value for name, value in headers}
        echoed = found.get(ATTEMPT_ID)
        if echoed is not None and echoed != request_id.encode("latin-1"):
            return interfaces.AnswerKind.OTHER_REQUEST
        if status == MISDIRECTED:
            return interfaces.AnswerKind.WRONG_UPSTREAM
        if NOT_EXECUTED in found:
            return interfaces.AnswerKind.NOT_RUN
        if status >= 500:
            return interfaces.AnswerKind.FAILURE
        if echoed is None and status < 300:
            # A success that does not name the request is not passed on.
            return interfaces.AnswerKind.OTHER_REQUEST
        return interfaces.AnswerKind.ANSWER

    def answer_headers(
        self, headers: connections.Headers
    ) -> connections.Headers:
        """Return the headers of a runner's answer for the caller."""
        return _end_to_end(headers, frozenset())

    def rejection(
        self, request_id: str, reject: effects.Reject
    ) -> tuple[int, connections.Headers]:
        """Return status and headers of a final answer of this entry."""
        status = _STATUS[reject.reason]
        if not reject.not_run:
            # 503 would promise that the request has not run.
            is_late = reject.reason is effects.Reason.DEADLINE
            status = 504 if is_late else 502
        headers: connections.Headers = [
            (b"X-Laburnumpin-Attempt-Id", request_id.encode("latin-1")),
            (b"Content-Length", b"0"),
        ]
        if reject.retry_after_ms is not None and status in (429, 503):
            seconds = f"{reject.retry_after_ms / 1_000:.3f}"
            headers.append((b"Retry-After", seconds.encode()))
        return status, headers

    def keep_alive_ms(self, headers: connections.Headers) -> int | None:
        """Return the announced idle timeout of a connection."""
        for name, value in headers:
            if name.lower() != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.lower() == b"timeout" and number.strip().isdigit():
                    return int(number) * 1_000
        return None


def _end_to_end(
    headers: connections.Headers, left_out: frozenset[bytes]
) -> connections.Headers:
    """Return the headers that concern more than one connection."""
    named = set(_HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == b"connection":
            for token in value.split(b","):
                named.add(token.strip().lower())
    named -= _KEPT
    kept: connections.Headers = []
    for name, value in headers:
        lowered = name.lower()
        if lowered in named or lowered in left_out:
            continue
        kept.append((name, value))
    return kept


def _number(value: bytes | None) -> int | None:
    if value is None:
        return None
    try:
        return max(0, int(value))
    except ValueError as error:
        raise exceptions.DocumentError("a header is not a number") from error


def _prompt(
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
                requests.PromptPart(int(part_id, 16), int(size or 0))
            )
        return requests.Prompt(int(tokens), int(output or 0), tuple(decoded))
    except ValueError as error:
        raise exceptions.DocumentError(
            "the size of the prompt is malformed"
        ) from error
