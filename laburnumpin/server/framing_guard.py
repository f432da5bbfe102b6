"""Guards against messages with two framings in the project's own interface.

Its libraries resolve repeated fields and line ends before this code sees them;
only the fields that they pass on are judged here.
"""

from __future__ import annotations

import httpx
from starlette import types

from laburnumpin.core import counters
from laburnumpin.framing import defects
from laburnumpin.server import caller_errors
from laburnumpin.server import logs

_CLOSE = (b"connection", b"close")


class FramingGuard:
    """ASGI middleware that ends connections after ambiguous requests."""

    __slots__ = ("_application", "_counters")

    def __init__(
        self, application: types.ASGIApp, entry_counters: counters.Counters
    ) -> None:
        self._application = application
        self._counters = entry_counters

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve or refuse a request."""
        defect = _find_defect(scope) if scope["type"] == "http" else None
        if defect is None:
            await self._application(scope, receive, send)
            return

        async def send_and_close(message: types.Message) -> None:
            if message["type"] == "http.response.start":
                headers = [*message.get("headers", ()), _CLOSE]
                message = {**message, "headers": headers}
            await send(message)

        verdict = defects.judge_request(defect)
        is_refused = verdict is defects.RequestVerdict.REFUSED
        self._counters.increment("requests_ambiguous", defect.value)
        logs.write(
            "request_ambiguous",
            "warning",
            {
                "path": scope["path"],
                "defect": defect.value,
                "action": "refused" if is_refused else "connection_closed",
            },
        )
        if not is_refused:
            await self._application(scope, receive, send_and_close)
            return
        response = caller_errors.response(
            caller_errors.refusal(
                "ambiguous_request",
                f"the end of the request is ambiguous: {defect.value}",
            )
        )
        await response(scope, receive, send_and_close)


def _find_defect(scope: types.Scope) -> defects.Defect | None:
    if not scope["http_version"].startswith("1."):
        return None
    lengths: list[bytes] = []
    codings: list[bytes] = []
    for name, value in scope["headers"]:
        if name == b"content-length":
            lengths.append(value)
        elif name == b"transfer-encoding":
            codings.append(value)
    return defects.judge_fields(
        scope["http_version"] == "1.0", lengths, codings
    )


async def check_response(response: httpx.Response) -> None:
    """Raise if an upstream's answer has two framings; a hook of `httpx`.

    Its connection is closed, since the answer has not been read.

    Raises:
        RemoteProtocolError: The end of the answer is ambiguous.
    """
    if response.http_version not in ("HTTP/1.0", "HTTP/1.1"):
        return
    raw = [(name.lower(), value) for name, value in response.headers.raw]
    defect = defects.judge_fields(
        response.http_version == "HTTP/1.0",
        [value for name, value in raw if name == b"content-length"],
        [value for name, value in raw if name == b"transfer-encoding"],
    )
    if defect is not None:
        raise httpx.RemoteProtocolError(
            f"the end of the answer is ambiguous: {defect.value}"
        )
