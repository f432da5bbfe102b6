"""The HTTP API for operators: status, configuration and drain."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
from typing import Any

from starlette import applications
from starlette import exceptions as http_exceptions
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumpin import exceptions
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import store
from laburnumpin.core import versions
from laburnumpin.server import applying
from laburnumpin.server import authentication
from laburnumpin.server import bridge as bridges
from laburnumpin.server import caller_api
from laburnumpin.server import caller_errors
from laburnumpin.server import caller_input
from laburnumpin.server import documents
from laburnumpin.server import entry_status
from laburnumpin.server import logs
from laburnumpin.server import platform_client

MAX_HISTORY_VERSIONS = 50
MAX_CHANGE_ID_CHARACTERS = 128

_Endpoint = Callable[[requests.Request], Awaitable[responses.Response]]


class _OperatorError(Exception):
    """An operator's request failed; has the HTTP status and error body."""

    def __init__(
        self, status: int, code: str, message: str, **details: Any
    ) -> None:
        super().__init__(code)
        self.status = status
        self.body = {"code": code, "message": message, **details}


class OperatorApi:
    """Endpoints of the operator API."""

    __slots__ = ("_bridge", "_key", "_platform")

    def __init__(
        self,
        bridge: bridges.Bridge,
        platform: platform_client.PlatformClient,
        key: str,
    ) -> None:
        self._bridge = bridge
        self._platform = platform
        self._key = key

    def application(self) -> applications.Starlette:
        """Return the ASGI application."""
        base = "/operator/configuration"
        return applications.Starlette(
            routes=[
                self._authenticated_route(
                    "GET", "/operator/status", self.status
                ),
                self._authenticated_route("GET", base, self.configuration),
                self._authenticated_route("POST", base, self.change),
                self._authenticated_route(
                    "GET", base + "/history", self.history
                ),
                self._authenticated_route(
                    "GET", base + "/{version:int}", self.version
                ),
                self._authenticated_route(
                    "GET", "/operator/requests/{request_id}", self.request
                ),
                self._authenticated_route(
                    "POST", "/operator/drain", self.drain
                ),
            ],
            exception_handlers={
                _OperatorError: _answer_error,
                caller_errors.CallerError: _answer_caller_error,
                exceptions.LaburnumpinError: _answer_coded_error,
                http_exceptions.HTTPException: _answer_http_error,
                Exception: _answer_exception,
            },
        )

    async def status(self, request: requests.Request) -> responses.Response:
        """Respond with the state of this entry."""
        del request
        return responses.JSONResponse(
            entry_status.status_document(self._bridge)
        )

    async def configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Respond with the current version in the store."""
        del request
        pointer = await self._read_pointer()
        if pointer is None:
            return responses.JSONResponse(
                {"version": 0, "change_id": None, "document": None}
            )
        return await self._answer_version(pointer.version)

    async def version(self, request: requests.Request) -> responses.Response:
        """Respond with one version of the configuration."""
        return await self._answer_version(request.path_params["version"])

    async def history(self, request: requests.Request) -> responses.Response:
        """Respond with the latest versions, newest first."""
        del request
        pointer = await self._read_pointer()
        newest = 0 if pointer is None else pointer.version
        oldest = max(0, newest - MAX_HISTORY_VERSIONS)
        keys = []
        for number in range(newest, oldest, -1):
            keys.append(versions.version_key(number))
        changes = []
        for row in await self._read_rows(tuple(keys)):
            if row.value is None:
                continue
            stored = versions.parse_version(row)
            changes.append(versions.Pointer(stored.version, stored.change_id))
        return responses.JSONResponse(
            {"versions": [dataclasses.asdict(change) for change in changes]}
        )

    async def change(self, request: requests.Request) -> responses.Response:
        """Apply a configuration change."""
        body = await caller_input.read_body(request)
        base_version, change_id, document = parse_change(body)
        version = await applying.apply(
            self._platform, base_version, change_id, document
        )
        logs.write(
            "configuration_applied",
            "info",
            {"version": version, "change_id": change_id},
        )
        return responses.JSONResponse(
            {"version": version, "change_id": change_id}
        )

    async def request(self, request: requests.Request) -> responses.Response:
        """Respond with the status of any customer's request."""
        exchange_id = self._bridge.new_id()
        request_id = request.path_params["request_id"]
        answer = await self._bridge.ask(
            exchange_id,
            events.StatusRequested(
                self._bridge.clock.now_ms(), exchange_id, request_id, None
            ),
        )
        if isinstance(answer, effects.Refuse):
            raise caller_errors.CallerError(
                answer.failure, request_id=request_id
            )
        assert isinstance(answer, effects.AnswerStatus)
        return responses.JSONResponse(caller_api.status_body(answer.status))

    async def drain(self, request: requests.Request) -> responses.Response:
        """Start a drain: the entry finishes its requests and exits."""
        del request
        await self._bridge.put(
            events.ShutdownRequested(self._bridge.clock.now_ms())
        )
        return responses.JSONResponse({"status": "draining"}, 202)

    def _authenticated_route(
        self, method: str, path: str, endpoint: _Endpoint
    ) -> routing.Route:
        async def authorized(request: requests.Request) -> responses.Response:
            presented_key = authentication.bearer_key(request)
            if not authentication.matches(presented_key, self._key):
                raise _OperatorError(
                    401, "unauthorized", "the key is not valid"
                )
            return await endpoint(request)

        return routing.Route(path, authorized, methods=[method])

    async def _read_pointer(self) -> versions.Pointer | None:
        row = (await self._read_rows((versions.CURRENT_KEY,)))[0]
        return None if row.value is None else versions.parse_pointer(row)

    async def _answer_version(self, number: int) -> responses.Response:
        row = (await self._read_rows((versions.version_key(number),)))[0]
        if row.value is None:
            raise _OperatorError(
                404, "unknown_version", f"there is no version {number}"
            )
        stored = versions.parse_version(row)
        return responses.JSONResponse(dataclasses.asdict(stored))

    async def _read_rows(self, keys: tuple[str, ...]) -> tuple[store.Row, ...]:
        if not keys:
            return ()
        return await self._platform.read_rows(versions.TABLE, keys)


def parse_change(body: bytes) -> tuple[int, str, str]:
    """Return base version, change id and document of a change.

    Raises:
        ConfigurationError: The body is invalid; lists every problem.
    """
    errors: list[exceptions.FieldError] = []
    try:
        change = documents.parse_object(body)
    except exceptions.DocumentError as error:
        errors.append(
            exceptions.FieldError("body", "not_an_object", error.message)
        )
        raise exceptions.ConfigurationError(errors) from error
    base_version = change.get("base_version")
    if type(base_version) is not int or base_version < 0:
        errors.append(
            exceptions.FieldError(
                "base_version", "out_of_range", "must be a version, or 0"
            )
        )
    change_id = change.get("change_id")
    if not _is_change_id(change_id):
        errors.append(
            exceptions.FieldError(
                "change_id",
                "not_an_id",
                f"must be 1 to {MAX_CHANGE_ID_CHARACTERS} visible ASCII "
                "characters",
            )
        )
    document = change.get("document")
    if isinstance(document, dict):
        document = json.dumps(document)
    if not isinstance(document, str):
        errors.append(
            exceptions.FieldError(
                "document", "not_text", "must be a JSON object or its text"
            )
        )
    if errors:
        raise exceptions.ConfigurationError(errors)
    return int(str(base_version)), str(change_id), str(document)


def _is_change_id(value: Any) -> bool:
    if not isinstance(value, str):
        return False
    if not 1 <= len(value) <= MAX_CHANGE_ID_CHARACTERS:
        return False
    return all("!" <= character <= "~" for character in value)


async def _answer_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request
    assert isinstance(error, _OperatorError)
    return responses.JSONResponse({"error": error.body}, error.status)


async def _answer_caller_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request
    assert isinstance(error, caller_errors.CallerError)
    return caller_errors.response(error)


async def _answer_coded_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request
    assert isinstance(error, exceptions.LaburnumpinError)
    body: dict[str, Any] = {"code": error.code, "message": error.message}
    status = 502
    if isinstance(error, exceptions.ConfigurationConflictError):
        status = 409
        body["base_version"] = error.base_version
        body["current_version"] = error.current_version
    elif isinstance(error, exceptions.ChangeIdReusedError):
        status = 409
    elif isinstance(error, exceptions.ConfigurationError):
        status = 422
        body["fields"] = caller_errors.field_error_documents(error.errors)
    elif isinstance(
        error,
        exceptions.PlatformUnavailableError
        | exceptions.PlatformAnswerLostError,
    ):
        status = 503
    return responses.JSONResponse({"error": body}, status)


async def _answer_http_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request
    assert isinstance(error, http_exceptions.HTTPException)
    code = "method_not_allowed" if error.status_code == 405 else "not_found"
    body = {"code": code, "message": error.detail}
    return responses.JSONResponse({"error": body}, error.status_code)


async def _answer_exception(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request, error
    logs.write_exception("operator_api_error")
    body = {
        "code": "internal_error",
        "message": "this entry failed to serve the request",
    }
    return responses.JSONResponse({"error": body}, 500)
