"""The entry daemon: one loop over events, and the tasks around it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import secrets
import signal
import socket
from typing import Any
from typing import Protocol

import anyio
from anyio import abc
from anyio import lowlevel
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config
from starlette import applications

from laburnumpin import clock as clocks
from laburnumpin import verdict
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import messages
from laburnumpin.core import reducer
from laburnumpin.core import state as entry_state
from laburnumpin.server import bridge as bridges
from laburnumpin.server import caller_api
from laburnumpin.server import caller_input
from laburnumpin.server import logs
from laburnumpin.server import metrics
from laburnumpin.server import platform_client
from laburnumpin.server import tasks
from laburnumpin.server import upstream_client

# Hypercorn cuts streams that run for longer than this after the shutdown, so
# it has to exceed the longest deadline.
GRACEFUL_TIMEOUT_S = caller_input.MAX_DEADLINE_MS // 1_000 + 60
LISTEN_BACKLOG = 1_024


class Settings(Protocol):
    """The process settings that the daemon uses."""

    @property
    def vm_id(self) -> str:
        """Id of the VM on which this process runs."""

    @property
    def zone(self) -> str:
        """Zone of the VM."""

    @property
    def host(self) -> str:
        """Address to listen on."""

    @property
    def caller_port(self) -> int:
        """Port of the caller API; 0 chooses a free one."""

    @property
    def operator_port(self) -> int:
        """Port of the operator API; 0 chooses a free one."""

    @property
    def peer_port(self) -> int:
        """Port of the peer link; 0 chooses a free one."""

    @property
    def peer_address(self) -> str:
        """Address for peers; empty means the address that is bound."""

    @property
    def platform_url(self) -> str:
        """Base URL of the platform."""

    @property
    def platform_token(self) -> str:
        """Bearer token for the platform."""

    @property
    def operator_key(self) -> str:
        """Bearer key of the operators."""

    @property
    def peer_secret(self) -> str:
        """Secret that all entries share."""

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """Addresses of peers to connect to at the start."""

    @property
    def log_level(self) -> str:
        """Lowest level that is logged."""


@dataclasses.dataclass(slots=True, frozen=True)
class RunningEntry:
    """An entry that is serving; addresses are `host:port`."""

    caller_address: str
    operator_address: str
    peer_address: str
    bridge: bridges.Bridge


class _Loop:
    """Takes events one by one, reduces them and executes the effects."""

    __slots__ = ("_bridge", "_executors", "_tick_queued", "exited")

    def __init__(self, bridge: bridges.Bridge) -> None:
        self._bridge = bridge
        self._executors: dict[type, Callable[[Any], None]] = {
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

    def register(self, executors: dict[type, Callable[[Any], None]]) -> None:
        """Add functions that carry out effects; none of them may block."""
        self._executors.update(executors)

    async def run(self) -> None:
        """Process events until cancelled."""
        while True:
            event = await self._bridge.take()
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
            result = _internal_failures(event)
        for effect in result:
            self._execute(effect)

    async def tick(self) -> None:
        """Queue a `Tick` every `TICK_MS`, at most one at a time."""
        while True:
            await anyio.sleep(events.TICK_MS / 1_000)
            if self._tick_queued:
                continue
            self._tick_queued = True
            now_ms = self._bridge.clock.now_ms()
            await self._bridge.put(events.Tick(now_ms))

    def _execute(self, effect: effects.Effect) -> None:
        executor = self._executors.get(type(effect))
        try:
            if executor is None:
                raise NotImplementedError(type(effect).__name__)
            executor(effect)
        except Exception:
            logs.write_exception(
                "effect_error", {"effect": type(effect).__name__}
            )

    def _set_readiness(self, effect: effects.SetReadiness) -> None:
        self._bridge.ready = effect.ready
        self._bridge.readiness = effect.reason
        logs.write(
            "readiness_changed",
            "info",
            {"ready": effect.ready, "reason": effect.reason},
        )

    def _exit(self, effect: effects.Exit) -> None:
        del effect
        self.exited.set()


def run(settings: Settings) -> None:
    """Run the daemon until it has drained after SIGTERM."""
    logs.set_up(settings.log_level, settings.vm_id)
    anyio.run(_run_with_signals, settings)


async def serve(
    settings: Settings,
    *,
    clock: clocks.Clock | None = None,
    task_status: abc.TaskStatus[RunningEntry] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until the core says to exit.

    Reports a `RunningEntry` as soon as all ports are bound.
    """
    clock = clock or clocks.SystemClock()
    with contextlib.ExitStack() as sockets:
        caller_socket = sockets.enter_context(
            _listen(settings.host, settings.caller_port)
        )
        state = entry_state.EntryState(
            ids.EntryId(settings.vm_id, clock.now_ms()),
            settings.zone,
            settings.peer_address,
            secrets.randbits(64),
        )
        bridge = bridges.Bridge(state, clock)
        loop = _Loop(bridge)
        recorded = metrics.Metrics()
        loop.register({effects.ObserveLatency: recorded.observe})
        running = RunningEntry(_address(caller_socket), "", "", bridge)
        async with anyio.create_task_group() as task_group:
            runner = tasks.TaskRunner(task_group)
            upstreams = upstream_client.UpstreamClient(bridge, runner)
            platform = platform_client.PlatformClient(
                bridge, runner, settings.platform_url, settings.platform_token
            )
            loop.register(_client_executors(upstreams, platform))
            task_group.start_soon(loop.run)
            task_group.start_soon(loop.tick)
            task_status.started(running)
            try:
                await _serve_http(
                    caller_api.CallerApi(bridge, recorded).application(),
                    caller_socket,
                    loop.exited,
                )
            finally:
                with anyio.CancelScope(shield=True):
                    await upstreams.close()
                    await platform.close()
            task_group.cancel_scope.cancel()


async def _run_with_signals(settings: Settings) -> None:
    # The receiver is in place before the ports are, so that no signal meets
    # the default action, which would cut requests.
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as task_group:
            running = await task_group.start(
                _serve_entry, settings, task_group.cancel_scope
            )
            async for _ in signals:
                now_ms = running.bridge.clock.now_ms()
                await running.bridge.put(events.ShutdownRequested(now_ms))


async def _serve_entry(
    settings: Settings,
    scope: anyio.CancelScope,
    *,
    task_status: abc.TaskStatus[RunningEntry],
) -> None:
    await serve(settings, task_status=task_status)
    scope.cancel()


def _client_executors(
    upstreams: upstream_client.UpstreamClient,
    platform: platform_client.PlatformClient,
) -> dict[type, Callable[[Any], None]]:
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
    }


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def _address(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


async def _serve_http(
    application: applications.Starlette,
    listener: socket.socket,
    exited: anyio.Event,
) -> None:
    config = hypercorn_config.Config()
    # Hypercorn closes the descriptor that it is given.
    config.bind = [f"fd://{listener.dup().detach()}"]
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
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
        # Hypercorn 0.18 raises this when it is cancelled while it waits for
        # open connections.
        await lowlevel.checkpoint()


def _write_log(effect: effects.Log) -> None:
    logs.write(effect.message_type, effect.level, effect.fields)


def _internal_failures(event: events.Event) -> list[effects.Effect]:
    """Answer the HTTP exchange whose event the reducer failed on.

    How far the reducer came is unknown, so the request may still run.
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
