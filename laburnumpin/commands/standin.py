"""The `stand-in` commands: run a stand-in as a process of its own."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import json
import signal
from typing import Any

import anyio

from laburnumpin.standins import engine_documents
from laburnumpin.standins import plain_service
from laburnumpin.standins import platform_documents
from laburnumpin.standins import running


@dataclasses.dataclass(slots=True, frozen=True)
class Ready:
    """Printed as a JSON line once a stand-in accepts calls.

    `address` serves the stand-in's API and `admin_address` its fault switches.
    `incarnation` distinguishes the runs of one stand-in.
    """

    kind: str
    address: str
    admin_address: str
    incarnation: int


def run_platform(
    settings: platform_documents.PlatformSettings, binding: running.Binding
) -> None:
    """Run the platform stand-in until SIGTERM or SIGINT."""
    context = running.run_platform(settings, binding)
    anyio.run(functools.partial(_run, "platform", context))


def run_engine(
    settings: engine_documents.EngineSettings, binding: running.Binding
) -> None:
    """Run the engine stand-in until SIGTERM or SIGINT."""
    context = running.run_engine(settings, binding)
    anyio.run(functools.partial(_run, "engine", context))


def run_plain_service(
    settings: plain_service.PlainSettings, binding: running.Binding
) -> None:
    """Run the plain service stand-in until SIGTERM or SIGINT."""
    context = running.run_plain_service(settings, binding)
    anyio.run(functools.partial(_run, "plain", context))


async def _run(
    kind: str,
    context: contextlib.AbstractAsyncContextManager[running.Running[Any]],
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with context as started:
            ready = Ready(
                kind,
                str(started.address),
                str(started.admin_address),
                started.standin.incarnation,
            )
            print(json.dumps(dataclasses.asdict(ready)), flush=True)
            async for _ in signals:
                break
