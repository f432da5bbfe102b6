"""The HTTP interface for operators."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import importlib
import json
from typing import Any
from typing import Protocol

from starlette import applications
from starlette import exceptions as http_exceptions
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumpin import exceptions
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import store
from laburnumpin.server import authentication
from laburnumpin.server import bridge as bridges
from laburnumpin.server import caller_api
from laburnumpin.server import caller_errors
from laburnumpin.server import caller_input
from laburnumpin.server import documents
from laburnumpin.server import entry_status
from laburnumpin.server import logs
from laburnumpin.server import platform_client

TABLE = "configuration"
CURRENT_KEY = "current"
MAX_HISTORY_VERSIONS = 50
MAX_CHANGE_ID_CHARACTERS = 128

_Endpoint = Callable[[requests.Request], Awaitable[responses.Response]]


class Store(Protocol):
    """The calls to the table service that applying a change needs."""

    async def transact(
        self,
        conditions: tuple[store.Condition, ...],
        writes: tuple[store.Write, ...],
    ) -> platform_client.Committed | platform_client.Conflicted:
        """Write rows if all conditions hold."""

    async def read_rows(
        self, table: str, keys: tuple[str, ...]
    ) -> tuple[store.Row, ...]:
        """Return rows in the order of `keys`."""


class Apply(Protocol):
    """Applies a configuration change and returns its version."""

    async def __call__(
        self, store: Store, base_version: int, change_id: str, document: str
    ) -> int:
        """Apply a change.

        Raises:
            ConfigurationError: The document is invalid.
            ConfigurationConflictError: Another change came first.
            PlatformUnavailableError: Nothing was changed.
            PlatformAnswerLostError: The change may have taken effect.
        """


class _OperatorError(Exception):
    """A request of an operator cannot be served."""

    def __init__(
        self, status: int, code: str, message: str, **details: Any
    ) -> None:
        super().__init__(code)
        self.status = status
        self.body = {"code": code, "message": message, **details}


class OperatorApi:
    """Endpoints of the operator API."""

    __slots__ = ("_apply", "_bridge", "_key", "_platform")

    def __init__(
        self,
        bridge: bridges.Bridge,
        platform: platform_client.PlatformClient,
        key: str,
        apply: Apply | None = None,
    ) -> None:
        self._bridge = bridge
        self._platform = platform
        self._key = key
        self._apply = apply

    def application(self) -> applications.Starlette:
        """Return the ASGI application."""
        base = "/operator/configuration"
        return applications.Starlette(
            routes=[
                self._route("GET", "/operator/status", self.status),
                self._route("GET", base, self.configuration),
                self._route("POST", base, self.change),
                self._route("GET", base + "/history", self.history),
                self._route("GET", base + "/{version:int}", self.version),
                self._route(
                    "GET", "/operator/requests/{request_id}", self.request
                ),
                self._route("POST", "/operator/drain", self.drain),
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
        """Answer with the state of this entry."""
        del request
        return responses.JSONResponse(entry_status.describe(self._bridge))

    async def configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Answer with the version that is current in the store."""
        del request
        row = await self._read_row(CURRENT_KEY)
        if row.value is None:
            return responses.JSONResponse(
                {"version": 0, "change_id": None, "document": None}
            )
        return responses.JSONResponse(_parse_version(row.value))

    async def version(self, request: requests.Request) -> responses.Response:
        """Answer with one version."""
        number = request.path_params["version"]
        row = await self._read_row(_version_key(number))
        if row.value is None:
            raise _OperatorError(
                404, "unknown_version", f"there is no version {number}"
            )
        return responses.JSONResponse(_parse_version(row.value))

    async def history(self, request: requests.Request) -> responses.Response:
        """Answer with the latest versions, newest first."""
        del request
        row = await self._read_row(CURRENT_KEY)
        current = 0
        if row.value is not None:
            current = _parse_version(row.value)["version"]
        oldest = max(0, current - MAX_HISTORY_VERSIONS)
        keys = [_version_key(number) for number in range(current, oldest, -1)]
        rows: tuple[store.Row, ...] = ()
        if keys:
            rows = await self._platform.read_rows(TABLE, tuple(keys))
        versions = []
        for read in rows:
            if read.value is None:
                continue
            parsed = _parse_version(read.value)
            del parsed["document"]
            versions.append(parsed)
        return responses.JSONResponse({"versions": versions})

    async def change(self, request: requests.Request) -> responses.Response:
        """Apply a configuration change."""
        body = await caller_input.read_body(request)
        base_version, change_id, document = _parse_change(body)
        apply = self._apply or _load_apply()
        version = await apply(self._platform, base_version, change_id, document)
        logs.write(
            "configuration_applied",
            "info",
            {"version": version, "change_id": change_id},
        )
        return responses.JSONResponse(
            {"version": version, "change_id": change_id}
        )

    async def request(self, request: requests.Request) -> responses.Response:
        """Answer with the status of any customer's request."""
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
        """Make this entry finish its work and exit."""
        del request
        await self._bridge.put(
            events.ShutdownRequested(self._bridge.clock.now_ms())
        )
        return responses.JSONResponse({"status": "draining"}, 202)

    def _route(
        self, method: str, path: str, endpoint: _Endpoint
    ) -> routing.Route:
        async def authorized(request: requests.Request) -> responses.Response:
            given = authentication.bearer_key(request)
            if not authentication.matches(given, self._key):
                raise _OperatorError(
                    401, "unauthorized", "the key is not valid"
                )
            return await endpoint(request)

        return routing.Route(path, authorized, methods=[method])

    async def _read_row(self, key: str) -> store.Row:
        rows = await self._platform.read_rows(TABLE, (key,))
        return rows[0]


def _load_apply() -> Apply:
    module = importlib.import_module("laburnumpin.server.applying")
    apply: Apply = module.apply
    return apply


def _version_key(version: int) -> str:
    return f"version/{version:012d}"


def _parse_version(value: str) -> dict[str, Any]:
    document = documents.parse_object(value)
    return {
        "version": documents.get(document, "version", int),
        "change_id": documents.get(document, "change_id", str),
        "document": documents.get(document, "document", str),
    }


def _parse_change(body: bytes) -> tuple[int, str, str]:
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
                "document", "not_text", "must be the text of a document"
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
    elif isinstance(error, exceptions.ConfigurationError):
        status = 422
        body["fields"] = caller_errors.field_rows(error.errors)
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
    body = {"code": "internal_error", "message": "this entry failed"}
    return responses.JSONResponse({"error": body}, 500)
