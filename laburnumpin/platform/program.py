"""Command that runs an entry on the users' platform."""

from __future__ import annotations

import functools
import gc
import os
import sys

import anyio

from laburnumpin import exceptions
from laburnumpin import signals
from laburnumpin.forwarding import daemon
from laburnumpin.platform import clients
from laburnumpin.platform import documents
from laburnumpin.platform import rollouts
from laburnumpin.platform import settings
from laburnumpin.platform import wire
from laburnumpin.server import logs

LOG_LEVEL_VARIABLE = "LABURNUMPIN_LOG_LEVEL"
# Allocations between two collections of the youngest generation. Rare
# collections suffice, as tracebacks and tasks create few reference cycles.
GC_THRESHOLD_ALLOCATIONS = 20_000


def main(inbox: signals.Inbox) -> None:
    """Run an entry until a signal stops it; exit with 1 on invalid settings."""
    path = os.environ.get(settings.PATH_VARIABLE, settings.DEFAULT_PATH)
    level = os.environ.get(LOG_LEVEL_VARIABLE, "info")
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    try:
        entry_settings = settings.load(path)
    except exceptions.ConfigurationError as error:
        for problem in error.errors:
            print(f"error: {path}: {problem}", file=sys.stderr)
        sys.exit(1)
    with logs.set_up(level, entry_settings.name, sys.stdout, limited=True):
        anyio.run(
            functools.partial(
                daemon.serve,
                entry_settings,
                wire.PlatformWire(),
                documents.PlatformDocuments(),
                clients.PlatformClients(),
                inbox,
                rollouts.PlatformRollouts(),
            )
        )
    signals.ignore()
