"""HTTP client whose calls record whether a byte may have been sent."""

from __future__ import annotations

from collections.abc import Callable
import functools
import ssl
from typing import Any

import httpx

from laburnumpin import clock as clocks
from laburnumpin.server import framing_guard

# After a longer idle time a connection may be closed or half-open.
KEEPALIVE_EXPIRY_MS = 2_000
CONNECT_TIMEOUT_MS = 1_000


class ExpiredError(Exception):
    """The call expired before its first byte was sent."""


class SendGuard:
    """Tracks one call, and aborts it if it expires before its first byte.

    `sent` is set before the first byte is written. While it is false, the
    call has certainly not reached the server. `on_sent` is called at the same
    time. Without `valid_until_ms`, the call does not expire.
    """

    __slots__ = ("_clock", "_on_sent", "_valid_until_ms", "sent")

    def __init__(
        self,
        clock: clocks.Clock,
        valid_until_ms: int | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> None:
        self._clock = clock
        self._valid_until_ms = valid_until_ms
        self._on_sent = on_sent
        self.sent = False

    async def trace(self, name: str, info: dict[str, Any]) -> None:
        """Handle a trace event; serves as the `trace` extension of `httpx`.

        Raises:
            ExpiredError: The call would be sent after `valid_until_ms`.
        """
        del info
        if not name.endswith(".send_request_headers.started"):
            return
        if self._valid_until_ms is not None:
            if self._clock.now_ms() > self._valid_until_ms:
                raise ExpiredError
        self.sent = True
        if self._on_sent is not None:
            self._on_sent()

    def extensions(self) -> dict[str, Any]:
        """Return the `extensions` argument for `httpx`."""
        return {"trace": self.trace}


def new_client(
    reuse: bool,
    connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    max_connections: int | None = None,
    base_url: str = "",
) -> httpx.AsyncClient:
    """Return a client without retries, redirects, proxies or read timeouts.

    Callers bound the duration of each call with a cancel scope. Without
    `reuse`, every call opens a new connection. A call that times out while it
    connects or waits for the pool has certainly not been sent.
    """
    connect_timeout_s = connect_timeout_ms / 1_000
    return httpx.AsyncClient(
        base_url=base_url,
        # Compression would delay tokens and use CPU time.
        headers={"Accept-Encoding": "identity"},
        verify=_ssl_context(),
        trust_env=False,
        follow_redirects=False,
        event_hooks={"response": [framing_guard.check_response]},
        timeout=httpx.Timeout(
            None, connect=connect_timeout_s, pool=connect_timeout_s
        ),
        limits=httpx.Limits(
            max_connections=max_connections,
            max_keepalive_connections=None if reuse else 0,
            keepalive_expiry=KEEPALIVE_EXPIRY_MS / 1_000,
        ),
    )


@functools.cache
def _ssl_context() -> ssl.SSLContext:
    # Cached, since loading the root certificates takes tens of milliseconds.
    return httpx.create_ssl_context(trust_env=False)


def url(address: str, path: str) -> str:
    """Return the URL of a path at a `host:port` address or base URL."""
    if "://" in address:
        return address.rstrip("/") + path
    return f"http://{address}{path}"


async def read_body(response: httpx.Response, max_bytes: int) -> bytes | None:
    """Return the body of a streamed response, or None if it is too long."""
    body = bytearray()
    async for part in response.aiter_raw():
        body += part
        if len(body) > max_bytes:
            return None
    return bytes(body)
