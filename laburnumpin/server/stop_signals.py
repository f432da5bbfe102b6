"""Signals that ask an entry to exit."""

from __future__ import annotations

from laburnumpin import signals
from laburnumpin.server import logs


def take_signals(inbox: signals.Inbox, phase: signals.Phase) -> signals.Action:
    """Log the signals that were received; return what they lead to.

    Signals after the one that ends the phase count as received in the drain.
    """
    result = signals.Action.NONE
    for number in inbox.take():
        action = signals.find_action(number, phase)
        logs.write(
            "signal_received",
            "info",
            {
                "signal": number.name,
                "phase": phase.value,
                "action": action.value,
            },
        )
        if action is not signals.Action.NONE:
            result = action
            phase = signals.Phase.DRAINING
    return result
