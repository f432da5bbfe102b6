"""The program that the platform starts on each VM."""

from __future__ import annotations

from laburnumpin import signals

if __name__ == "__main__":
    # Signals are taken over before the import, which takes most of the start.
    inbox = signals.Inbox()

    from laburnumpin.platform import program

    program.main(inbox)
