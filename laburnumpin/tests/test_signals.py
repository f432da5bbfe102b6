"""Signals in each phase of a process's life."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys

import anyio
import pytest

from laburnumpin import signals
from laburnumpin.platform import standins
from laburnumpin.soak import processes
from laburnumpin.tests import entry_streams

ROOT = pathlib.Path(__file__).parents[2]
TIMEOUT_S = 60

# Runs the program, which gets signals when it begins to import the server.
_SIGNAL_WHILE_STARTING = """
import importlib.abc
import os
import runpy
import signal
import sys

class Sender(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path=None, target=None):
        if name == "laburnumpin.platform.program":
            for signal_name in sys.argv[1].split(","):
                os.kill(os.getpid(), getattr(signal, signal_name))
        return None

sys.meta_path.insert(0, Sender())
runpy.run_module("laburnumpin.platform", run_name="__main__")
"""

# Gets SIGHUP after the interpreter has removed the handlers.
_SIGNAL_AT_THE_END = """
import os
import signal
from laburnumpin import signals

class Late:
    def __del__(self, kill=os.kill, pid=os.getpid(), number=signal.SIGHUP):
        kill(pid, number)

late = Late()
inbox = signals.Inbox()
if {ignores}:
    signals.ignore()
"""


def test_signals_have_a_meaning_in_each_phase() -> None:
    actions = {
        phase: [
            signals.find_action(number, phase).value
            for number in signals.HANDLED_SIGNALS
        ]
        for phase in signals.Phase
    }
    # SIGTERM, SIGINT and SIGHUP.
    assert actions == {
        signals.Phase.STARTING: ["exit", "exit", "none"],
        signals.Phase.SERVING: ["drain", "drain", "none"],
        signals.Phase.DRAINING: ["none", "none", "none"],
    }


# SIGHUP ended an entry that drained, and cut off the requests that it had
# passed on.
@pytest.mark.parametrize(
    "numbers",
    [
        (signal.SIGHUP,),
        (signal.SIGTERM,),
        (signal.SIGINT, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
    ],
)
def test_signals_during_a_drain_interrupt_nothing(
    numbers: tuple[signal.Signals, ...], tmp_path: pathlib.Path
) -> None:
    async def signal_entry(entry: processes.EntryProcess) -> None:
        entry.signal(signal.SIGTERM)
        await entry_streams.wait_for_log(entry, '"phase": "serving"')
        for count, number in enumerate(numbers, start=1):
            entry.signal(number)
            # A signal that is sent again while it is pending arrives once.
            await entry_streams.wait_for_log(
                entry, '"phase": "draining"', count
            )

    received = anyio.run(entry_streams.read_streams, tmp_path, signal_entry)
    for request_id, body in received.items():
        assert body == entry_streams.whole_stream(request_id)


def test_signals_that_arrive_together_interrupt_nothing(
    tmp_path: pathlib.Path,
) -> None:
    async def signal_entry(entry: processes.EntryProcess) -> None:
        entry.signal(signal.SIGTERM)
        await entry_streams.wait_for_log(entry, '"phase": "serving"')
        entry.pause()
        for number in (*signals.HANDLED_SIGNALS, signal.SIGHUP):
            entry.signal(number)
        entry.signal(signal.SIGCONT)
        await entry_streams.wait_for_log(
            entry, '"phase": "draining"', len(signals.HANDLED_SIGNALS)
        )
        log = entry.log_text()
        for number in signals.HANDLED_SIGNALS:
            line = f'"signal": "{number.name}", "phase": "draining"'
            assert log.count(line) == 1

    received = anyio.run(entry_streams.read_streams, tmp_path, signal_entry)
    for request_id, body in received.items():
        assert body == entry_streams.whole_stream(request_id)


# A signal during the first 0.2 s of a process, in which it imports its
# modules, ended it, also SIGHUP.
@pytest.mark.parametrize("names", ["SIGHUP,SIGTERM", "SIGINT,SIGHUP"])
def test_signals_during_the_start_are_kept(
    names: str, tmp_path: pathlib.Path
) -> None:
    settings_path = tmp_path / "boot.toml"
    settings_path.write_text(
        standins.settings_text(
            "entry-0", "127.0.0.1", processes.free_ports(), "127.0.0.1:9"
        )
    )
    ended = subprocess.run(
        [sys.executable, "-c", _SIGNAL_WHILE_STARTING, names],
        cwd=ROOT,
        env={"LABURNUMPIN_SETTINGS": str(settings_path)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert ended.returncode == 0, ended.stderr
    lines = [json.loads(line) for line in ended.stdout.splitlines()]
    types = [line["message_type"] for line in lines]
    assert types == ["signal_received", "signal_received"]
    assert [line["signal"] for line in lines] == names.split(",")


@pytest.mark.parametrize("ignores", [True, False])
def test_ignored_signals_do_not_change_the_exit_status(ignores: bool) -> None:
    ended = subprocess.run(
        [sys.executable, "-c", _SIGNAL_AT_THE_END.format(ignores=ignores)],
        cwd=ROOT,
        timeout=TIMEOUT_S,
        check=False,
    )
    # Without that, the default action applies at the end of the interpreter.
    assert ended.returncode == (0 if ignores else -signal.SIGHUP)
