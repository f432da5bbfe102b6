"""Errors of the caller API as JSON documents with stable codes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from starlette import responses

from laburnumpin import exceptions
from laburnumpin import verdict
from laburnumpin.core import messages

# HTTP status by error code. A code that is missing here becomes 503 if the
# failure has a retry delay, and 500 otherwise.
STATUS_BY_CODE = {
    "ambiguous_request": 400,
    "body_timeout": 408,
    "body_too_large": 413,
    "cancelled": 409,
    "claim_held": 409,
    "configuration_unconfirmed": 503,
    "connect_failed": 502,
    "connection_lost": 502,
    "customer_queue_full": 429,
    "customer_rate_exceeded": 429,
    "deadline_passed": 504,
    "deadline_unreachable": 503,
    "entry_leaving": 503,
    "entry_not_ready": 503,
    "expired_before_send": 503,
    "first_byte_timeout": 504,
    "idempotency_key_reused": 422,
    "inter_token_timeout": 504,
    "internal_error": 500,
    "invalid_request": 400,
    "method_not_allowed": 405,
    "not_found": 404,
    "offset_unavailable": 416,
    "outcome_not_kept": 410,
    "owner_left": 503,
    "owner_unreachable": 503,
    "platform_unavailable": 503,
    "protocol_error": 502,
    "queue_full": 429,
    "too_many_exchanges": 503,
    "rate_limited": 429,
    "rejected": 422,
    "truncated": 502,
    "unauthorized": 401,
    "unknown_generation": 502,
    "unknown_operation": 404,
    "unknown_request": 404,
    "unknown_service": 404,
    "upstream_error": 502,
    "upstream_leaving": 503,
    "upstream_overloaded": 503,
}


class CallerError(Exception):
    """A caller's request failed or was refused."""

    def __init__(
        self,
        failure: messages.Failure,
        fields: Sequence[exceptions.FieldError] = (),
        request_id: str | None = None,
    ) -> None:
        super().__init__(failure.code)
        self.failure = failure
        self.fields = fields
        self.request_id = request_id


def refusal(
    code: str,
    message: str,
    fields: Sequence[exceptions.FieldError] = (),
    retry_after_ms: int | None = None,
) -> CallerError:
    """Return the error for a request that did not reach the reducer."""
    failure = messages.Failure(
        code, message, verdict.Verdict.NOT_RUN, retry_after_ms
    )
    return CallerError(failure, fields)


def body(
    failure: messages.Failure,
    request_id: str | None = None,
    fields: Sequence[exceptions.FieldError] = (),
) -> dict[str, Any]:
    """Return the JSON document of an error."""
    return {
        "error": {
            "code": failure.code,
            "message": failure.message,
            "verdict": failure.verdict.value,
            "request_id": request_id,
            "fields": field_error_documents(fields),
        }
    }


def field_error_documents(
    fields: Sequence[exceptions.FieldError],
) -> list[dict[str, str]]:
    """Return the JSON documents of field errors."""
    rows = []
    for row in fields:
        rows.append(
            {"field": row.field, "code": row.code, "message": row.message}
        )
    return rows


def response(error: CallerError) -> responses.JSONResponse:
    """Return the HTTP response for an error."""
    failure = error.failure
    headers = {}
    fallback = 500
    if failure.retry_after_ms is not None:
        fallback = 503
        # Retry-After counts whole seconds. Rounding down would make clients
        # retry too early and be refused again.
        headers["Retry-After"] = str(-(-failure.retry_after_ms // 1_000))
    if failure.code == "unauthorized":
        headers["WWW-Authenticate"] = "Bearer"
    if error.request_id is not None:
        headers["X-Request-Id"] = error.request_id
    return responses.JSONResponse(
        body(failure, error.request_id, error.fields),
        STATUS_BY_CODE.get(failure.code, fallback),
        headers,
    )
