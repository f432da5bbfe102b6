"""The commands that run, inspect and drain an entry."""

from __future__ import annotations

from collections.abc import Mapping
import importlib

from laburnumpin.commands import client
from laburnumpin.commands import output
from laburnumpin.config import settings


def run(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> None:
    """Run an entry until it is drained or stopped.

    Raises:
        ConfigurationError: Settings are invalid; lists every problem.
    """
    loaded = settings.load(flags, environment)
    # Imported here, so that the other commands start without the server.
    importlib.import_module("laburnumpin.server.entry").run(loaded)


def status(api: client.Client, as_json: bool) -> None:
    """Print the status of the entry."""
    _print(api.status(), as_json)


def drain(api: client.Client, as_json: bool) -> None:
    """Ask the entry to complete its work and exit."""
    answer = api.drain()
    if as_json:
        output.print_json(answer)
        return
    print("the entry is draining")


def show_request(api: client.Client, request_id: str, as_json: bool) -> None:
    """Print the status of a request at the entry."""
    _print(api.request(request_id), as_json)


def _print(answer: object, as_json: bool) -> None:
    if as_json:
        output.print_json(answer)
        return
    output.print_fields(answer)
