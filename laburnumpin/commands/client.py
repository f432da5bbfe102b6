"""HTTP client for the operator API of an entry."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import Self
import urllib.parse

import httpx

from laburnumpin import exceptions
from laburnumpin.commands import exits
from laburnumpin.config import options

DEFAULT_TIMEOUT_S = 10.0
MALFORMED_ANSWER = "malformed_answer"
_HTTP_CONFLICT = 409
_HTTP_UNPROCESSABLE = 422
_HTTP_SERVICE_UNAVAILABLE = 503


@dataclasses.dataclass(slots=True, frozen=True)
class Version:
    """A configuration version; version 0, before any change, has no document.

    `change_id` identifies the change that produced the version.
    """

    version: int
    change_id: str
    document: str | None


@dataclasses.dataclass(slots=True, frozen=True)
class Applied:
    """A change and the configuration version that it produced."""

    version: int
    change_id: str


class Client:
    """Calls the operator API of one entry.

    Every method raises `OperatorApiError` if the entry refuses the call, if
    it cannot be reached (code `entry_unreachable`), if its response is
    malformed, or if it is unknown whether a change or a drain took effect
    (code `answer_lost`).
    """

    __slots__ = ("_http", "_url")

    def __init__(
        self,
        url: str,
        key: options.Secret,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        self._url = url
        # `trust_env` would send the key to a proxy from the environment;
        # entries are called directly.
        self._http = httpx.Client(
            base_url=url,
            headers={"Authorization": f"Bearer {key.reveal()}"},
            timeout=timeout_s,
            transport=transport,
            trust_env=False,
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._http.close()

    def status(self) -> dict[str, Any]:
        """Return the status of the entry."""
        return self._call("GET", "/operator/status")

    def configuration(self) -> Version:
        """Return the current configuration; version 0 if there is none."""
        return _parse_version(self._call("GET", "/operator/configuration"))

    def version(self, number: int) -> Version:
        """Return the configuration of a given version."""
        return _parse_version(
            self._call("GET", f"/operator/configuration/{number}")
        )

    def history(self) -> list[Applied]:
        """Return all versions with the ids of their changes."""
        answer = self._call("GET", "/operator/configuration/history")
        try:
            return [_parse_applied(item) for item in answer["versions"]]
        except (KeyError, TypeError):
            raise _malformed_answer("versions") from None

    def apply(
        self, base_version: int, change_id: str, document: str
    ) -> Applied:
        """Apply a document as the next version after `base_version`.

        Raises:
            ConfigurationConflictError: `base_version` is not current.
            ConfigurationError: The document is invalid.
        """
        body = {
            "base_version": base_version,
            "change_id": change_id,
            "document": document,
        }
        answer = self._call("POST", "/operator/configuration", body)
        try:
            return _parse_applied(answer)
        except exceptions.OperatorApiError as error:
            raise exceptions.OperatorApiError(
                exits.ANSWER_LOST, error.message, error.status
            ) from error

    def request(self, request_id: str) -> dict[str, Any]:
        """Return the status of a request at the entry."""
        quoted = urllib.parse.quote(request_id, safe="")
        return self._call("GET", f"/operator/requests/{quoted}")

    def drain(self) -> dict[str, Any]:
        """Ask the entry to complete its work and exit."""
        return self._call("POST", "/operator/drain", {})

    def _call(
        self, method: str, path: str, body: Mapping[str, object] | None = None
    ) -> dict[str, Any]:
        try:
            response = self._http.request(method, path, json=body)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise self._unreachable(error) from error
        except httpx.TransportError as error:
            if method == "GET":
                raise self._unreachable(error) from error
            message = f"no answer from {self._url}: {_describe(error)}"
            raise exceptions.OperatorApiError(
                exits.ANSWER_LOST, message, 0
            ) from error
        answer = _json_object(response)
        if response.is_success and answer is not None:
            return answer
        failure = _parse_failure(response.status_code, answer or {})
        if method != "GET" and _is_ambiguous(response.status_code, answer):
            raise exceptions.OperatorApiError(
                exits.ANSWER_LOST, failure.message, response.status_code
            )
        raise failure

    def _unreachable(self, error: Exception) -> exceptions.OperatorApiError:
        message = f"cannot reach the entry at {self._url}: {_describe(error)}"
        return exceptions.OperatorApiError(exits.ENTRY_UNREACHABLE, message, 0)


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__


def _json_object(response: httpx.Response) -> dict[str, Any] | None:
    try:
        answer = response.json()
    except (ValueError, RecursionError):
        return None
    return answer if isinstance(answer, dict) else None


def _is_ambiguous(status: int, answer: dict[str, Any] | None) -> bool:
    """Return whether the response leaves the outcome of a change unknown.

    With 503 the entry reports the outcome itself, through the error code.
    Other 5xx responses come from a fault in the entry or from a gateway in
    front of it.
    """
    if answer is None:
        return status < 400 or status >= 500
    return status >= 500 and status != _HTTP_SERVICE_UNAVAILABLE


def _malformed_answer(field: str) -> exceptions.OperatorApiError:
    message = f"field {field!r} of the entry's answer is missing or malformed"
    return exceptions.OperatorApiError(MALFORMED_ANSWER, message, 200)


def _parse_version(answer: Mapping[str, Any]) -> Version:
    document = answer.get("document")
    if document is not None and not isinstance(document, str):
        raise _malformed_answer("document")
    applied = _parse_applied(answer)
    return Version(applied.version, applied.change_id, document)


def _parse_applied(answer: Mapping[str, Any]) -> Applied:
    version = answer.get("version")
    if not isinstance(version, int):
        raise _malformed_answer("version")
    return Applied(version, str(answer.get("change_id") or ""))


def _parse_failure(
    status: int, answer: Mapping[str, Any]
) -> exceptions.LaburnumpinError:
    error = answer.get("error")
    if not isinstance(error, dict):
        error = {}
    code = str(error.get("code", MALFORMED_ANSWER))
    message = str(error.get("message", f"unexpected answer, status {status}"))
    if status == _HTTP_CONFLICT and "current_version" in error:
        return exceptions.ConfigurationConflictError(
            int(error.get("base_version", 0)), int(error["current_version"])
        )
    if status == _HTTP_UNPROCESSABLE and error.get("fields"):
        return exceptions.ConfigurationError(_field_errors(error["fields"]))
    return exceptions.OperatorApiError(code, message, status)


def _field_errors(fields: Any) -> list[exceptions.FieldError]:
    errors: list[exceptions.FieldError] = []
    for field in fields if isinstance(fields, list) else []:
        if not isinstance(field, dict):
            continue
        errors.append(
            exceptions.FieldError(
                str(field.get("field", "")),
                str(field.get("code", "")),
                str(field.get("message", "")),
            )
        )
    return errors
