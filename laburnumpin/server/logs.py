"""Structured logs: JSON lines of documented types on standard error."""

from __future__ import annotations

from collections.abc import Mapping
import json
import sys
import traceback
from typing import Any
from typing import TextIO

import eliot

Fields = Mapping[str, str | int | float | bool | None]

_RANKS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class Destination:
    """Writes messages of at least one level as JSON lines."""

    __slots__ = ("_rank", "_stream")

    def __init__(self, level: str, stream: TextIO) -> None:
        self._rank = _RANKS[level]
        self._stream = stream

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write a message; `eliot` calls this for each."""
        level = str(message.get("level", _default_level(message)))
        if _RANKS.get(level, _RANKS["error"]) < self._rank:
            return
        line = json.dumps({"level": level, **message}, default=repr)
        self._stream.write(line + "\n")
        self._stream.flush()


def set_up(level: str, entry: str) -> None:
    """Write messages of `level` and above to standard error."""
    eliot.add_global_fields(entry=entry)
    eliot.add_destinations(Destination(level, sys.stderr))


def write(message_type: str, level: str, fields: Fields | None = None) -> None:
    """Write a message of a documented type."""
    eliot.log_message(
        message_type=message_type, level=level, **dict(fields or {})
    )


def write_exception(message_type: str, fields: Fields | None = None) -> None:
    """Write the exception that is being handled, with its traceback."""
    error = sys.exc_info()[1]
    details: dict[str, str | int | float | bool | None] = {
        "error": type(error).__name__,
        "reason": str(error),
        "traceback": traceback.format_exc(),
        **(fields or {}),
    }
    write(message_type, "error", details)


def _default_level(message: Mapping[str, Any]) -> str:
    # Messages without a level come from actions and from `eliot` itself.
    return "error" if message.get("action_status") == "failed" else "info"
