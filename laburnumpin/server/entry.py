"""The entry daemon: the reducer loop, its servers, clients and timer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import json
import secrets
import socket
from typing import Any

import anyio
from anyio import abc
from anyio import lowlevel
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config
from starlette import types

from laburnumpin import clock as clocks
from laburnumpin import signals
from laburnumpin import verdict
from laburnumpin.config import settings as settings_module
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import messages
from laburnumpin.core import reducer
from laburnumpin.core import state as entry_state
from laburnumpin.server import bridge as bridges
from laburnumpin.server import caller_api
from laburnumpin.server import caller_input
from laburnumpin.server import framing_guard
from laburnumpin.server import logs
from laburnumpin.server import metrics
from laburnumpin.server import operator_api
from laburnumpin.server import peer_link
from laburnumpin.server import platform_client
from laburnumpin.server import stop_signals
from laburnumpin.server import tasks
from laburnumpin.server import upstream_client

# Hypercorn aborts streams that are still open this long after the shutdown
# began, so it has to exceed the longest deadline.
GRACEFUL_TIMEOUT_S = caller_input.MAX_DEADLINE_MS // 1_000 + 60
# Exceeds the idle timeout of load balancers, which is usually 60 s: if the
# entry closed the connection first, a request in flight would be lost.
KEEP_ALIVE_TIMEOUT_S = 75
LISTEN_BACKLOG = 1_024


@dataclasses.dataclass(slots=True, frozen=True)
class RunningEntry:
    """Bound addresses, as `host:port`, and bridge of a serving entry."""

    caller_address: str
    operator_address: str
    peer_address: str
    bridge: bridges.Bridge


class _ReducerLoop:
    """Reduces events one at a time and executes their effects.

    `exited` is set by the `Exit` effect.
    """

    __slots__ = ("_bridge", "_effect_handlers", "_tick_queued", "exited")

    def __init__(self, bridge: bridges.Bridge) -> None:
        self._bridge = bridge
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            effects.Accept: bridge.answer,
            effects.Refuse: bridge.answer,
            effects.AnswerStatus: bridge.answer,
            effects.SendChunk: bridge.deliver,
            effects.EndReader: bridge.deliver,
            effects.SetReadiness: self._set_readiness,
            effects.Log: _write_log,
            effects.Exit: self._exit,
        }
        self._tick_queued = False
        self.exited = anyio.Event()

    def register_handlers(
        self, handlers: dict[type, Callable[[Any], None]]
    ) -> None:
        """Add handlers by type of effect; none of them may block."""
        self._effect_handlers.update(handlers)

    async def run(self) -> None:
        """Process events until cancelled."""
        while True:
            event = await self._bridge.next_event()
            if isinstance(event, events.Tick):
                self._tick_queued = False
            self.process(event)

    def process(self, event: events.Event) -> None:
        """Reduce one event and execute its effects in order."""
        try:
            result = reducer.reduce(self._bridge.state, event)
        except Exception:
            logs.write_exception(
                "reducer_error", {"event": type(event).__name__}
            )
            result = _internal_error_effects(event)
        for effect in result:
            self._execute(effect)

    async def queue_ticks(self) -> None:
        """Queue a `Tick` every `TICK_MS`, at most one at a time."""
        while True:
            await anyio.sleep(events.TICK_MS / 1_000)
            if self._tick_queued:
                continue
            self._tick_queued = True
            now_ms = self._bridge.clock.now_ms()
            await self._bridge.put(events.Tick(now_ms))

    def _execute(self, effect: effects.Effect) -> None:
        handler = self._effect_handlers.get(type(effect))
        try:
            if handler is None:
                raise NotImplementedError(type(effect).__name__)
            handler(effect)
        except Exception:
            logs.write_exception(
                "effect_error", {"effect": type(effect).__name__}
            )

    def _set_readiness(self, effect: effects.SetReadiness) -> None:
        self._bridge.ready = effect.ready
        self._bridge.readiness_reason = effect.reason
        logs.write(
            "readiness_changed",
            "info",
            {"ready": effect.ready, "reason": effect.reason},
        )

    def _exit(self, effect: effects.Exit) -> None:
        del effect
        self.exited.set()


def run(settings: settings_module.Settings) -> None:
    """Run the daemon until it has drained; SIGTERM and SIGINT start a drain."""
    inbox = signals.Inbox()
    with logs.set_up(settings.log_level, settings.vm_id):
        anyio.run(_run_with_signals, settings, inbox)
        logs.write("entry_exited", "info")
    signals.ignore()


async def serve(
    settings: settings_module.Settings,
    *,
    clock: clocks.Clock | None = None,
    task_status: abc.TaskStatus[RunningEntry] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until the core emits the `Exit` effect.

    Reports a `RunningEntry` once all ports are bound.
    """
    clock = clock or clocks.SystemClock()
    with contextlib.ExitStack() as stack:
        sockets = _open_sockets(settings, stack)
        bridge = _new_bridge(settings, sockets, clock)
        async with anyio.create_task_group() as task_group:
            daemon = _Daemon(settings, bridge, sockets, task_group)
            task_group.start_soon(daemon.loop.run)
            task_group.start_soon(daemon.loop.queue_ticks)
            running = daemon.running()
            _log_started(running)
            task_status.started(running)
            try:
                await daemon.serve()
            finally:
                await daemon.close()
            task_group.cancel_scope.cancel()


@dataclasses.dataclass(slots=True, frozen=True)
class _Sockets:
    """The listening sockets."""

    caller: socket.socket
    operator: socket.socket
    peer: socket.socket


class _Daemon:
    """The components of a serving entry."""

    __slots__ = (
        "_bridge",
        "_metrics",
        "_peers",
        "_platform",
        "_settings",
        "_sockets",
        "_upstreams",
        "loop",
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        bridge: bridges.Bridge,
        sockets: _Sockets,
        task_group: abc.TaskGroup,
    ) -> None:
        self._settings = settings
        self._bridge = bridge
        self._sockets = sockets
        self._metrics = metrics.Metrics()
        runner = tasks.TaskRunner(task_group)
        self._upstreams = upstream_client.UpstreamClient(
            bridge, runner, settings
        )
        self._platform = platform_client.PlatformClient(
            bridge, runner, settings
        )
        self._peers = peer_link.PeerLinks(
            bridge, runner, settings.peer_secret.reveal()
        )
        self.loop = _ReducerLoop(bridge)
        self.loop.register_handlers(self._effect_handlers())

    def running(self) -> RunningEntry:
        """Return the bound addresses and the bridge."""
        return RunningEntry(
            _address(self._sockets.caller),
            _address(self._sockets.operator),
            _address(self._sockets.peer),
            self._bridge,
        )

    async def serve(self) -> None:
        """Serve all ports until the core emits the `Exit` effect.

        Peer links stay open until all HTTP connections have finished.
        """
        callers = caller_api.CallerApi(self._bridge, self._metrics)
        operators = operator_api.OperatorApi(
            self._bridge,
            self._platform,
            self._settings.operator_key.reveal(),
        )
        http_finished = anyio.Event()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(
                self._peers.serve, self._sockets.peer, http_finished
            )
            self._peers.start_seeds(self._settings.seed_peers)
            async with anyio.create_task_group() as http_group:
                for application, listener in (
                    (callers.application(), self._sockets.caller),
                    (operators.application(), self._sockets.operator),
                ):
                    guarded = framing_guard.FramingGuard(
                        application, self._bridge.state.counters
                    )
                    http_group.start_soon(
                        _serve_http, guarded, listener, self.loop.exited
                    )
            http_finished.set()

    async def close(self) -> None:
        """Close the connections to upstreams and the platform."""
        with anyio.CancelScope(shield=True):
            await self._upstreams.close()
            await self._platform.close()

    def _effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        upstreams = self._upstreams
        platform = self._platform
        return {
            effects.Dispatch: upstreams.dispatch,
            effects.CancelAttempt: upstreams.cancel,
            effects.ImportCache: upstreams.import_cache,
            effects.PollLoad: upstreams.poll_load,
            effects.SendOrder: upstreams.send_order,
            effects.ListVms: platform.start_list_vms,
            effects.ListNotices: platform.start_list_notices,
            effects.ListPrices: platform.start_list_prices,
            effects.Transact: platform.start_transact,
            effects.ReadRows: platform.start_read,
            effects.ScanRows: platform.start_scan,
            effects.PutObject: platform.start_put_object,
            effects.GetObject: platform.start_get_object,
            effects.DeleteObject: platform.start_delete_object,
            effects.ListObjects: platform.start_list_objects,
            effects.StartVm: platform.start_start_vm,
            effects.StopVm: platform.start_stop_vm,
            effects.SendPeer: self._peers.send,
            effects.ObserveLatency: self._metrics.observe,
        }


async def _run_with_signals(
    settings: settings_module.Settings, inbox: signals.Inbox
) -> None:
    async with anyio.create_task_group() as task_group:
        running = await task_group.start(
            _serve_entry, settings, task_group.cancel_scope
        )
        _print_addresses(running)
        phase = signals.Phase.SERVING
        while True:
            await anyio.wait_readable(inbox)
            action = stop_signals.take_signals(inbox, phase)
            if action is signals.Action.NONE:
                continue
            phase = signals.Phase.DRAINING
            now_ms = running.bridge.clock.now_ms()
            await running.bridge.put(events.ShutdownRequested(now_ms))


def _print_addresses(running: RunningEntry) -> None:
    """Print the addresses as a JSON line, for ports that the system chose."""
    entry = running.bridge.state.entry
    addresses = {
        "kind": "entry",
        "vm_id": entry.vm_id,
        "incarnation": entry.incarnation,
        "caller_address": running.caller_address,
        "operator_address": running.operator_address,
        "peer_address": running.peer_address,
    }
    print(json.dumps(addresses), flush=True)


async def _serve_entry(
    settings: settings_module.Settings,
    scope: anyio.CancelScope,
    *,
    task_status: abc.TaskStatus[RunningEntry],
) -> None:
    await serve(settings, task_status=task_status)
    scope.cancel()


def _open_sockets(
    settings: settings_module.Settings, stack: contextlib.ExitStack
) -> _Sockets:
    return _Sockets(
        stack.enter_context(
            _listen(settings.caller_host, settings.caller_port)
        ),
        stack.enter_context(
            _listen(settings.operator_host, settings.operator_port)
        ),
        stack.enter_context(_listen(settings.peer_host, settings.peer_port)),
    )


def _new_bridge(
    settings: settings_module.Settings, sockets: _Sockets, clock: clocks.Clock
) -> bridges.Bridge:
    peer_address = settings.advertised_peer_address
    state = entry_state.EntryState(
        ids.EntryId(settings.vm_id, clock.now_ms()),
        settings.zone,
        peer_address or _address(sockets.peer),
        secrets.randbits(64),
    )
    return bridges.Bridge(state, clock)


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def _address(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


async def _serve_http(
    application: types.ASGIApp,
    listener: socket.socket,
    exited: anyio.Event,
) -> None:
    config = hypercorn_config.Config()
    # Duplicated, because Hypercorn closes the descriptor that it gets.
    config.bind = [f"fd://{listener.dup().detach()}"]
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.backlog = LISTEN_BACKLOG
    config.accesslog = None
    config.errorlog = None
    try:
        await hypercorn_asyncio.serve(
            application,  # type: ignore[arg-type]
            config,
            shutdown_trigger=exited.wait,
        )
    except asyncio.InvalidStateError:
        # Hypercorn 0.18 raises this if it is cancelled while it waits for
        # open connections.
        await lowlevel.checkpoint()


def _log_started(running: RunningEntry) -> None:
    logs.write(
        "entry_started",
        "info",
        {
            "caller_address": running.caller_address,
            "operator_address": running.operator_address,
            "peer_address": running.peer_address,
            "incarnation": running.bridge.state.entry.incarnation,
        },
    )


def _write_log(effect: effects.Log) -> None:
    logs.write(effect.message_type, effect.level, effect.fields)


def _internal_error_effects(event: events.Event) -> list[effects.Effect]:
    """Return effects that answer the exchange of an event that failed.

    The reducer may have changed the state before it raised, so the request
    may still run.
    """
    failure = messages.Failure(
        "internal_error",
        "this entry failed to process the request",
        verdict.Verdict.MAY_HAVE_RUN,
    )
    if isinstance(event, events.RequestArrived | events.StatusRequested):
        return [effects.Refuse(event.exchange_id, failure)]
    if isinstance(event, events.ReaderOpened):
        outcome = messages.Outcome(event.offset, failure)
        return [effects.EndReader(event.reader_id, outcome)]
    return []
