"""A limit on the number of concurrent HTTP exchanges with callers."""

from __future__ import annotations

from starlette import types

from laburnumpin.core import counters
from laburnumpin.server import caller_errors

# An exchange uses one file descriptor, and its attempt a second one. The
# operator guide requires a descriptor limit above twice this number.
MAX_OPEN_EXCHANGES = 4_000
RETRY_AFTER_MS = 1_000
# Health checks and metrics must also work on an entry at its limit.
EXEMPT_PATHS = ("/livez", "/readyz", "/metrics")


class ExchangeLimit:
    """ASGI middleware that refuses exchanges above the limit."""

    __slots__ = ("_app", "_counters", "_open_exchanges")

    def __init__(
        self, app: types.ASGIApp, entry_counters: counters.Counters
    ) -> None:
        self._app = app
        self._counters = entry_counters
        self._open_exchanges = 0

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve an exchange, or refuse it if too many are open."""
        if scope["type"] != "http" or scope["path"] in EXEMPT_PATHS:
            await self._app(scope, receive, send)
            return
        if self._open_exchanges >= MAX_OPEN_EXCHANGES:
            self._counters.increment("refusals", "too_many_exchanges")
            refusal = caller_errors.refusal(
                "too_many_exchanges",
                f"the limit is {MAX_OPEN_EXCHANGES} open exchanges",
                retry_after_ms=RETRY_AFTER_MS,
            )
            await caller_errors.response(refusal)(scope, receive, send)
            return
        self._open_exchanges += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self._open_exchanges -= 1
