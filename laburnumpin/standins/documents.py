"""JSON documents and error responses of the stand-ins' HTTP APIs."""

from __future__ import annotations

import dataclasses
import json
from typing import Any
from typing import TypeVar

import cattrs
from starlette import exceptions as starlette_exceptions
from starlette import requests
from starlette import responses

from laburnumpin.core import store

T = TypeVar("T")
_CONVERTER = cattrs.Converter(detailed_validation=False)


class RefusedError(Exception):
    """A call that a stand-in answers with an HTTP error.

    A `retry_after_s` of 0 sends no `Retry-After` header.
    """

    def __init__(
        self, status: int, code: str, message: str, retry_after_s: int = 0
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.retry_after_s = retry_after_s


@dataclasses.dataclass(slots=True, frozen=True)
class Error:
    """A machine-readable error code and a message for people."""

    code: str
    message: str


@dataclasses.dataclass(slots=True, frozen=True)
class ErrorDocument:
    """The body of every error response."""

    error: Error


@dataclasses.dataclass(slots=True, frozen=True)
class Transaction:
    """Body of `POST /tables/transact`; writes all rows or none."""

    conditions: tuple[store.Condition, ...] = ()
    writes: tuple[store.Write, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Versions:
    """Response to a committed transaction: row versions in write order."""

    versions: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Conflicts:
    """Response to a rejected transaction: rows whose condition failed."""

    conflicts: tuple[store.Row, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class RowsQuery:
    """Body of `POST /tables/read`."""

    table: str
    keys: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Rows:
    """Response to `POST /tables/read` and `GET /tables/{table}`."""

    rows: tuple[store.Row, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Keys:
    """Response to `GET /objects`: the keys of the objects."""

    keys: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Done:
    """Response to a successful call that returns no data."""

    done: bool = True


def decode(value: Any, document_type: type[T]) -> T:
    """Convert a JSON value to a dataclass.

    Raises:
        RefusedError: A field is missing or has the wrong type (400).
    """
    try:
        return _CONVERTER.structure(value, document_type)
    except Exception as error:
        raise RefusedError(
            400,
            "invalid_request",
            f"invalid {document_type.__name__}: {error!r}",
        ) from error


def encode(document: Any) -> Any:
    """Convert a dataclass to a JSON value."""
    return _CONVERTER.unstructure(document)


async def read_json(request: requests.Request) -> Any:
    """Return the JSON body of a request; an empty body counts as `{}`.

    Raises:
        RefusedError: The body is not valid JSON (400).
    """
    try:
        return json.loads(await request.body() or b"{}")
    except ValueError as error:
        raise RefusedError(400, "invalid_request", str(error)) from error


async def read(request: requests.Request, document_type: type[T]) -> T:
    """Return the body of a request as a dataclass.

    Raises:
        RefusedError: The body is not valid JSON, or a field is missing or
            has the wrong type (400).
    """
    return decode(await read_json(request), document_type)


def respond(document: Any, status: int = 200) -> responses.JSONResponse:
    """Return a response with a dataclass as its body."""
    return responses.JSONResponse(encode(document), status)


def error_response(error: RefusedError) -> responses.JSONResponse:
    """Return the HTTP response for an error."""
    response = respond(
        ErrorDocument(Error(error.code, error.message)), error.status
    )
    if error.retry_after_s:
        response.headers["Retry-After"] = str(error.retry_after_s)
    return response


async def handle_refused(
    request: requests.Request, error: Exception
) -> responses.Response:
    """Convert a `RefusedError` to a response; an exception handler."""
    del request
    assert isinstance(error, RefusedError)
    return error_response(error)


async def handle_http_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    """Convert an error of starlette, such as an unknown path."""
    del request
    assert isinstance(error, starlette_exceptions.HTTPException)
    code = {404: "not_found", 405: "method_not_allowed"}.get(
        error.status_code, "invalid_request"
    )
    return error_response(RefusedError(error.status_code, code, error.detail))


EXCEPTION_HANDLERS: dict[Any, Any] = {
    RefusedError: handle_refused,
    starlette_exceptions.HTTPException: handle_http_error,
}
