"""Parsing and validation of the headers and bodies that callers send."""

from __future__ import annotations

import dataclasses
from typing import Any

import anyio
from starlette import requests

from laburnumpin import exceptions
from laburnumpin.core import deployment
from laburnumpin.server import caller_errors
from laburnumpin.server import documents
from laburnumpin.server import sse

MAX_BODY_BYTES = 1024 * 1024
# Bounds how long a caller that stops sending can hold a connection.
BODY_TIMEOUT_MS = 30_000
MAX_OUTPUT_TOKENS = 131_072
MIN_DEADLINE_MS = 1
MAX_DEADLINE_MS = 3_600_000
DEFAULT_DEADLINE_MS = 60_000
MAX_IDEMPOTENCY_KEY_CHARACTERS = 128


@dataclasses.dataclass(slots=True, frozen=True)
class Submission:
    """A request as its caller sent it.

    Requests to model services have `prompt` and `max_tokens` and an empty
    `body`; others have only a `body`. `deadline_ms` counts from the arrival.
    Without `priority`, the operation's priority applies.
    """

    body: str
    prompt: str
    max_tokens: int
    idempotency_key: str | None
    deadline_ms: int
    priority: deployment.Priority | None


async def read_body(request: requests.Request) -> bytes:
    """Return the body of a request.

    Raises:
        CallerError: The body is too long, or takes longer than
            `BODY_TIMEOUT_MS`.
    """
    body = bytearray()
    with anyio.move_on_after(BODY_TIMEOUT_MS / 1_000):
        async for part in request.stream():
            body += part
            if len(body) > MAX_BODY_BYTES:
                raise caller_errors.refusal(
                    "body_too_large", f"the limit is {MAX_BODY_BYTES} bytes"
                )
        return bytes(body)
    raise caller_errors.refusal(
        "body_timeout", f"the body did not arrive in {BODY_TIMEOUT_MS} ms"
    )


def parse(
    request: requests.Request, body: bytes, service: deployment.Service | None
) -> Submission:
    """Return the request in headers and body; report all problems at once.

    `service` is None if it is unknown. The fields of the body are not checked
    then, because the reducer refuses the request.

    Raises:
        CallerError: The request is invalid.
    """
    errors: list[exceptions.FieldError] = []
    text, document = _parse_body(body, errors)
    prompt = ""
    max_tokens = 0
    is_model = (
        service is not None and service.kind is deployment.ServiceKind.MODEL
    )
    if is_model and document is not None:
        prompt = _parse_prompt(document, errors)
        max_tokens = _parse_max_tokens(document, errors)
        # The body would repeat the prompt. A handover would transfer it twice,
        # and a long one would not fit into a peer message.
        text = ""
    submission = Submission(
        text,
        prompt,
        max_tokens,
        _parse_idempotency_key(request, errors),
        _parse_deadline(request, errors),
        _parse_priority(request, errors),
    )
    if errors:
        raise caller_errors.refusal(
            "invalid_request", "the request is invalid", errors
        )
    return submission


def parse_offset(request: requests.Request) -> int:
    """Return the offset in `Last-Event-ID`, or 0 without the header.

    Raises:
        CallerError: The header is not an offset.
    """
    value = request.headers.get("last-event-id", "0")
    offset = _parse_number(value, 0, documents.MAX_INTEGER)
    if offset is None:
        error = exceptions.FieldError(
            "Last-Event-ID", "not_an_offset", "must be the id of an event"
        )
        raise caller_errors.refusal(
            "invalid_request", "the request is invalid", [error]
        )
    return offset


def wants_stream(request: requests.Request) -> bool:
    """Return whether the caller accepts server-sent events."""
    return sse.MEDIA_TYPE in request.headers.get("accept", "").lower()


def wants_async(request: requests.Request) -> bool:
    """Return whether the caller prefers an immediate 202 response."""
    return "respond-async" in request.headers.get("prefer", "").lower()


def _parse_body(
    body: bytes, errors: list[exceptions.FieldError]
) -> tuple[str, dict[str, Any] | None]:
    try:
        return body.decode(), documents.parse_object(body)
    except UnicodeDecodeError:
        problem = "not UTF-8"
    except exceptions.DocumentError as error:
        problem = error.message
    errors.append(exceptions.FieldError("body", "not_an_object", problem))
    return "", None


def _parse_prompt(
    document: dict[str, Any], errors: list[exceptions.FieldError]
) -> str:
    prompt = document.get("prompt")
    if isinstance(prompt, str) and prompt and _is_encodable(prompt):
        return prompt
    errors.append(
        exceptions.FieldError(
            "prompt", "not_text", "must be a non-empty string of valid Unicode"
        )
    )
    return ""


def _is_encodable(text: str) -> bool:
    # JSON can contain an unpaired surrogate, which UTF-8 cannot encode.
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _parse_max_tokens(
    document: dict[str, Any], errors: list[exceptions.FieldError]
) -> int:
    value = document.get("max_tokens")
    if isinstance(value, int) and not isinstance(value, bool):
        if 1 <= value <= MAX_OUTPUT_TOKENS:
            return value
    errors.append(
        exceptions.FieldError(
            "max_tokens",
            "out_of_range",
            f"must be an integer from 1 to {MAX_OUTPUT_TOKENS}",
        )
    )
    return 0


def _parse_idempotency_key(
    request: requests.Request, errors: list[exceptions.FieldError]
) -> str | None:
    key = request.headers.get("idempotency-key")
    if key is None:
        return None
    visible = all("!" <= character <= "~" for character in key)
    if visible and 1 <= len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS:
        return key
    errors.append(
        exceptions.FieldError(
            "Idempotency-Key",
            "not_a_key",
            f"must be 1 to {MAX_IDEMPOTENCY_KEY_CHARACTERS} visible ASCII "
            "characters",
        )
    )
    return None


def _parse_deadline(
    request: requests.Request, errors: list[exceptions.FieldError]
) -> int:
    value = request.headers.get("x-deadline-ms", str(DEFAULT_DEADLINE_MS))
    deadline_ms = _parse_number(value, MIN_DEADLINE_MS, MAX_DEADLINE_MS)
    if deadline_ms is not None:
        return deadline_ms
    errors.append(
        exceptions.FieldError(
            "X-Deadline-Ms",
            "out_of_range",
            f"must be from {MIN_DEADLINE_MS} to {MAX_DEADLINE_MS}",
        )
    )
    return DEFAULT_DEADLINE_MS


def _parse_priority(
    request: requests.Request, errors: list[exceptions.FieldError]
) -> deployment.Priority | None:
    value = request.headers.get("x-priority")
    if value is None:
        return None
    for priority in deployment.Priority:
        if priority.value == value.lower():
            return priority
    errors.append(
        exceptions.FieldError(
            "X-Priority", "unknown", "must be interactive or bulk"
        )
    )
    return None


def _parse_number(value: str, low: int, high: int) -> int | None:
    if not value.isascii() or not value.isdigit() or len(value) > 19:
        return None
    number = int(value)
    return number if low <= number <= high else None
