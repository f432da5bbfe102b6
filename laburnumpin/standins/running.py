"""Context managers that run stand-ins in the current process."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import dataclasses
from typing import Any
from typing import Generic
from typing import Protocol
from typing import TypeVar

import anyio
from starlette import applications

from laburnumpin import clock
from laburnumpin.standins import engine
from laburnumpin.standins import engine_documents
from laburnumpin.standins import faults
from laburnumpin.standins import plain_service
from laburnumpin.standins import platform
from laburnumpin.standins import platform_documents
from laburnumpin.standins import serving

LOOPBACK = "127.0.0.1"


class StandIn(Protocol):
    """The interface that the three stand-ins share."""

    switches: faults.FaultSwitches

    def app(self) -> applications.Starlette:
        """Return the app of the main port."""

    def admin_app(self) -> applications.Starlette:
        """Return the app of the admin port."""


S = TypeVar("S", bound=StandIn)


@dataclasses.dataclass(slots=True, frozen=True)
class Binding:
    """Host and ports that a stand-in binds; port 0 binds a free port."""

    host: str = LOOPBACK
    port: int = 0
    admin_port: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Running(Generic[S]):
    """A running stand-in and the addresses of its two ports."""

    standin: S
    address: serving.Address
    admin_address: serving.Address


@contextlib.asynccontextmanager
async def run_platform(
    settings: platform_documents.PlatformSettings | None = None,
    binding: Binding | None = None,
) -> AsyncIterator[Running[platform.Platform]]:
    """Run a platform stand-in until the context exits."""
    standin = platform.Platform(
        settings or platform_documents.PlatformSettings(), clock.SystemClock()
    )
    async with _run_standin(standin, binding or Binding()) as running:
        yield running


@contextlib.asynccontextmanager
async def run_engine(
    settings: engine_documents.EngineSettings | None = None,
    binding: Binding | None = None,
) -> AsyncIterator[Running[engine.Engine]]:
    """Run an engine stand-in until the context exits."""
    standin = engine.Engine(
        settings or engine_documents.EngineSettings(), clock.SystemClock()
    )
    async with _run_standin(
        standin, binding or Binding(), standin.run
    ) as running:
        yield running


@contextlib.asynccontextmanager
async def run_plain_service(
    settings: plain_service.PlainSettings | None = None,
    binding: Binding | None = None,
) -> AsyncIterator[Running[plain_service.PlainService]]:
    """Run a plain service stand-in until the context exits."""
    standin = plain_service.PlainService(
        settings or plain_service.PlainSettings(), clock.SystemClock()
    )
    async with _run_standin(standin, binding or Binding()) as running:
        yield running


@contextlib.asynccontextmanager
async def _run_standin(
    standin: S,
    binding: Binding,
    background_task: Callable[[], Coroutine[Any, Any, None]] | None = None,
) -> AsyncIterator[Running[S]]:
    listener = serving.Listener(binding.host, binding.port)
    admin_listener = serving.Listener(binding.host, binding.admin_port)
    standin.switches.set_listener(listener)
    running = Running(standin, listener.address, admin_listener.address)
    stop = anyio.Event()
    failure: Exception | None = None
    async with anyio.create_task_group() as workers:
        if background_task is not None:
            workers.start_soon(background_task)
        async with anyio.create_task_group() as servers:
            servers.start_soon(serving.serve, standin.app(), listener, stop)
            servers.start_soon(
                serving.serve, standin.admin_app(), admin_listener, stop
            )
            try:
                yield running
            except Exception as error:
                # Raised again outside the task groups, which would wrap it
                # in an exception group.
                failure = error
            finally:
                standin.switches.update(freeze=False)
                stop.set()
        workers.cancel_scope.cancel()
    if failure is not None:
        raise failure
