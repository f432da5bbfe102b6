"""Fault injection and a log of calls, shared by all stand-ins."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
from typing import Any

import anyio
from starlette import applications
from starlette import datastructures
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

from laburnumpin import clock
from laburnumpin.standins import documents
from laburnumpin.standins import serving

MAX_LOG_ENTRIES = 100_000
_LOG_ENTRY = "laburnumpin.log_entry"


@dataclasses.dataclass(slots=True)
class Faults:
    """Body of `POST /admin/faults`; absent fields keep their value.

    Faults of calls, limited to paths that start with `path`:

    - `freeze` blocks calls, and parts of responses, until it is unset. If
      `/v1/generate` matches, it also stops the steps of the engine.
    - `delay_ms` delays calls before they are executed.
    - `refuse` answers calls with status 503 without executing them.
    - `lose_answers` executes this many calls but closes their connection in
      place of the answer. It counts down with each such call.
    - `cut_streams` closes the connection of this many responses once at
      least `cut_after_chunks` parts of their body, but not the last one, are
      sent. It counts down with each such response.

    Other faults:

    - `silence_connections` silences the connections that are open now, and
      is unset at once.
    - `leaving` makes an upstream refuse new work and report that it is
      leaving. The platform's notices do not set it.
    - `cache_event_gap` loses this many prefix cache events, and is reset to
      0 at once; `cache_event_delay_ms` delays the events.
    - `report_lag_ms` and `vm_list_lag_ms` apply instead of the lags in the
      stand-in's settings if they are longer.
    - `refuse_starts` makes the platform refuse to start VMs.
    """

    path: str = ""
    freeze: bool = False
    delay_ms: int = 0
    refuse: bool = False
    lose_answers: int = 0
    cut_streams: int = 0
    cut_after_chunks: int = 1
    silence_connections: bool = False
    leaving: bool = False
    cache_event_gap: int = 0
    cache_event_delay_ms: int = 0
    report_lag_ms: int = 0
    vm_list_lag_ms: int = 0
    refuse_starts: bool = False


@dataclasses.dataclass(slots=True)
class LogEntry:
    """One call.

    `status` is 0 if no response was started. `fault` names the fault that
    the call was affected by, if any: silent, refused, answer_lost or cut.
    """

    at_ms: int
    method: str
    path: str
    request_id: str = ""
    attempt_id: str = ""
    idempotency_key: str = ""
    status: int = 0
    fault: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Log:
    """Response to `GET /admin/log`."""

    entries: tuple[LogEntry, ...]


class FaultSwitches:
    """The current faults, the callbacks on their change, and the call log."""

    def __init__(self, time: clock.Clock) -> None:
        self.clock = time
        self.faults = Faults()
        self.log: collections.deque[LogEntry] = collections.deque(
            maxlen=MAX_LOG_ENTRIES
        )
        self.change_callbacks: list[Callable[[Faults], None]] = []
        self._listener: serving.Listener | None = None
        self._changed = anyio.Event()

    def set_listener(self, listener: serving.Listener) -> None:
        """Set the listener whose connections are closed or silenced."""
        self._listener = listener

    def update(self, **changes: Any) -> Faults:
        """Change some faults, run the callbacks and wake frozen calls.

        Raises:
            RefusedError: A field is unknown or has the wrong type (400).
        """
        merged = documents.encode(self.faults)
        merged.update(changes)
        unknown = merged.keys() - documents.encode(Faults()).keys()
        if unknown:
            names = ", ".join(sorted(unknown))
            raise documents.RefusedError(
                400, "invalid_request", f"unknown fields: {names}"
            )
        self.faults = documents.decode(merged, Faults)
        if self.faults.silence_connections and self._listener is not None:
            self._listener.silence_connections()
        for callback in self.change_callbacks:
            callback(self.faults)
        self.faults.silence_connections = False
        self.faults.cache_event_gap = 0
        self._changed.set()
        self._changed = anyio.Event()
        return self.faults

    async def wait_while_frozen(self, path: str) -> None:
        """Wait until `path` is not frozen."""
        while self.faults.freeze and path.startswith(self.faults.path):
            await self._changed.wait()

    def consume_lost_answer(self, path: str) -> bool:
        """Return whether to lose the answer to a call, and count it down."""
        faults = self.faults
        if not faults.lose_answers or not path.startswith(faults.path):
            return False
        faults.lose_answers -= 1
        return True

    def consume_stream_cut(self, path: str) -> bool:
        """Return whether to cut a stream, and count it down."""
        faults = self.faults
        if not faults.cut_streams or not path.startswith(faults.path):
            return False
        faults.cut_streams -= 1
        return True

    def is_connection_silent(self, peer: tuple[str, int]) -> bool:
        """Return whether the connection of a peer was silenced."""
        return (
            self._listener is not None
            and self._listener.is_connection_silent(peer)
        )

    def cut_connection(self, peer: tuple[str, int]) -> None:
        """Close the connection of a peer at once."""
        if self._listener is not None:
            self._listener.cut_connection(peer)


class FaultMiddleware:
    """ASGI middleware that applies the faults to calls and logs the calls."""

    def __init__(self, app: types.ASGIApp, switches: FaultSwitches) -> None:
        self._app = app
        self._switches = switches

    async def __call__(
        self,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        """Apply the faults to an HTTP call; pass on other scopes unchanged."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        call = _FaultyCall(self._switches, scope, receive, send)
        await call.run(self._app)


class _FaultyCall:
    """One call, whose `receive` and `send` apply the faults."""

    def __init__(
        self,
        switches: FaultSwitches,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        self._switches = switches
        self._scope = scope
        self._receive = receive
        self._send = send
        self._peer: tuple[str, int] = tuple(scope["client"])
        self._path: str = scope["path"]
        self._is_cut = False
        self._is_disconnected = False
        self._pending_receives = 0
        self._sent_chunks = 0
        self._loses_answer = False
        self.entry = _make_log_entry(switches.clock.now_ms(), scope)
        scope[_LOG_ENTRY] = self.entry

    async def run(self, app: types.ASGIApp) -> None:
        """Apply the faults that precede the execution, then call the app."""
        switches = self._switches
        switches.log.append(self.entry)
        if switches.is_connection_silent(self._peer):
            self.entry.fault = "silent"
            await self._wait_for_disconnect()
            return
        await switches.wait_while_frozen(self._path)
        faults = switches.faults
        path_matches = self._path.startswith(faults.path)
        if path_matches and faults.delay_ms:
            await anyio.sleep(faults.delay_ms / 1_000)
        if path_matches and faults.refuse:
            self.entry.fault = "refused"
            error = documents.RefusedError(
                503, "unavailable", "refused by the injected fault `refuse`"
            )
            response = documents.error_response(error)
            await response(self._scope, self._receive, self.send)
            return
        self._loses_answer = switches.consume_lost_answer(self._path)
        await app(self._scope, self.receive, self.send)

    async def receive(self) -> types.Message:
        """Receive a part of the request, or the client's disconnect."""
        if self._is_disconnected:
            return {"type": "http.disconnect"}
        self._pending_receives += 1
        try:
            message = await self._receive()
        finally:
            self._pending_receives -= 1
        if message["type"] == "http.disconnect":
            self._is_disconnected = True
        return message

    async def send(self, message: types.Message) -> None:
        """Send a part of the response, unless a fault prevents it."""
        if self._is_cut:
            return
        if self._switches.is_connection_silent(self._peer):
            self.entry.fault = "silent"
            await self._wait_for_disconnect()
            return
        if self._loses_answer:
            self._cut_connection("answer_lost")
            return
        if message["type"] == "http.response.start":
            self.entry.status = message["status"]
        await self._switches.wait_while_frozen(self._path)
        await self._send(message)
        if message["type"] == "http.response.body" and message.get("body"):
            self._count_chunk(bool(message.get("more_body")))

    def _count_chunk(self, more_follows: bool) -> None:
        self._sent_chunks += 1
        if (
            not more_follows
            or self._sent_chunks < self._switches.faults.cut_after_chunks
        ):
            return
        if self._switches.consume_stream_cut(self._path):
            self._cut_connection("cut")

    def _cut_connection(self, fault: str) -> None:
        self._is_cut = True
        self.entry.fault = fault
        self._switches.cut_connection(self._peer)

    async def _wait_for_disconnect(self) -> None:
        # The server delivers the disconnect only once. If the app already
        # waits in `receive`, it gets the disconnect and cancels this call.
        if self._pending_receives:
            await anyio.sleep_forever()
        while not self._is_disconnected:
            await self.receive()
        self._is_cut = True


def _make_log_entry(now_ms: int, scope: types.Scope) -> LogEntry:
    headers = datastructures.Headers(scope=scope)
    return LogEntry(
        now_ms,
        scope["method"],
        scope["path"],
        headers.get("x-request-id", ""),
        headers.get("x-attempt-id", ""),
        headers.get("idempotency-key", ""),
    )


def log_entry(request: requests.Request) -> LogEntry:
    """Return the log entry of a call, to add identifiers from its body."""
    entry = request.scope[_LOG_ENTRY]
    assert isinstance(entry, LogEntry)
    return entry


def admin_app(
    switches: FaultSwitches, routes: list[routing.Route]
) -> applications.Starlette:
    """Return the app of the admin port.

    It serves the faults and the log of calls, and the `routes` that the
    stand-in adds.
    """

    async def update_faults(request: requests.Request) -> responses.Response:
        changes = await documents.read_json(request)
        return documents.respond(switches.update(**changes))

    async def show_faults(request: requests.Request) -> responses.Response:
        del request
        return documents.respond(switches.faults)

    async def show_log(request: requests.Request) -> responses.Response:
        del request
        return documents.respond(Log(tuple(switches.log)))

    return applications.Starlette(
        routes=[
            routing.Route("/admin/faults", update_faults, methods=["POST"]),
            routing.Route("/admin/faults", show_faults, methods=["GET"]),
            routing.Route("/admin/log", show_log, methods=["GET"]),
            *routes,
        ],
        exception_handlers=documents.EXCEPTION_HANDLERS,
    )
