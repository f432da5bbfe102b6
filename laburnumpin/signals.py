"""Signals of a process from its first instruction to its last.

Importing this module is cheap, so that a program can take its signals over
before it imports anything else.
"""

from __future__ import annotations

import enum
import os
import signal

# The default action of each of these ends the process.
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_READ_BYTES = 4_096


class Phase(enum.Enum):
    """Phase in the life of a process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


class Action(enum.Enum):
    """What a signal leads to.

    `EXIT` ends a process that has not accepted any work, `DRAIN` ends it after
    its work, and with `NONE` the signal is only logged.
    """

    NONE = "none"
    EXIT = "exit"
    DRAIN = "drain"


def find_action(number: signal.Signals, phase: Phase) -> Action:
    """Return what a signal means in a phase.

    Nothing is read again on SIGHUP, since the addresses in the settings are
    bound already. A drain is not shortened by further signals: SIGKILL ends the
    process at once.
    """
    if number is signal.SIGHUP or phase is Phase.DRAINING:
        return Action.NONE
    if phase is Phase.STARTING:
        return Action.EXIT
    return Action.DRAIN


class Inbox:
    """Receives the handled signals in place of their default action.

    From its creation on, no handled signal ends the process. Signals are kept
    in a pipe, in order, until they are read. A process has one inbox, which
    stays in place for the rest of the process's life: there is no moment
    between two phases at which the default action applies.
    """

    __slots__ = ("_read_descriptor",)

    def __init__(self) -> None:
        self._read_descriptor, write_descriptor = os.pipe()
        os.set_blocking(self._read_descriptor, False)
        os.set_blocking(write_descriptor, False)
        # The interpreter writes the number of each signal to the pipe, also
        # while it waits in a system call.
        signal.set_wakeup_fd(write_descriptor, warn_on_full_buffer=False)
        for number in HANDLED_SIGNALS:
            signal.signal(number, _keep_running)

    def fileno(self) -> int:
        """Return the descriptor that is readable when there are signals."""
        return self._read_descriptor

    def take(self) -> list[signal.Signals]:
        """Return the signals that were received since the last call."""
        try:
            numbers = os.read(self._read_descriptor, _READ_BYTES)
        except BlockingIOError:
            return []
        return [
            signal.Signals(number)
            for number in numbers
            if number in HANDLED_SIGNALS
        ]


def ignore() -> None:
    """Ignore the handled signals from now on.

    Handlers are removed when the interpreter is finalized, and the default
    action would replace the exit status. Ignored signals stay ignored.
    """
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _keep_running(number: int, frame: object) -> None:
    """Do nothing; the number of the signal is in the pipe."""
