"""Structured logging as JSON lines of documented message types.

`docs/logs.md` lists the types. Fields never contain keys, secrets, prompts or
answers.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import json
import logging
import queue
import sys
import threading
import time
import traceback
from typing import Any
from typing import TextIO

import eliot

from laburnumpin import token_bucket

Fields = Mapping[str, str | int | float | bool | None]

# Lines that are buffered while the reader of the stream is slow.
MAX_QUEUED_LINES = 10_000
# If `limited`, only warnings and errors are accepted above this fill level of
# the queue, so that the messages that explain a failure are not dropped.
ROUTINE_QUEUE_SHARE = 0.5
# If `limited`, the token bucket for each message type below warning level.
TYPE_LINES_PER_S = 250.0
TYPE_BURST_LINES = 500.0
FLUSH_TIMEOUT_S = 2.0

_SEVERITIES = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class Destination:
    """Writes messages of at least one level as JSON lines.

    A thread writes them, so that a stalled reader of the stream cannot block
    the event loop. Lines that exceed the queue are dropped, and with `limited`
    also those below warning level that exceed the rate of their type or find
    the queue filled above `ROUTINE_QUEUE_SHARE`. The next accepted line has
    the number of dropped lines in `dropped_lines`.
    """

    __slots__ = (
        "_buckets",
        "_dropped_lines",
        "_is_rate_limited",
        "_line_queue",
        "_min_severity",
        "_stream",
        "_thread",
    )

    def __init__(
        self, level: str, stream: TextIO, *, limited: bool = False
    ) -> None:
        self._min_severity = _SEVERITIES[level]
        self._is_rate_limited = limited
        self._stream = stream
        self._dropped_lines = 0
        self._buckets: dict[str, token_bucket.TokenBucket] = {}
        self._line_queue: queue.Queue[str | None] = queue.Queue(
            MAX_QUEUED_LINES
        )
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Queue a message; `eliot` calls this for each message."""
        level = str(message.get("level", _default_level(message)))
        if _SEVERITIES.get(level, _SEVERITIES["error"]) < self._min_severity:
            return
        is_routine = (
            _SEVERITIES.get(level, _SEVERITIES["error"])
            < _SEVERITIES["warning"]
        )
        if self._is_rate_limited and is_routine:
            if not self._admit_routine_line(message):
                self._dropped_lines += 1
                return
        line = {**message, "level": level}
        if self._dropped_lines:
            line["dropped_lines"] = self._dropped_lines
        try:
            self._line_queue.put_nowait(json.dumps(line, default=repr) + "\n")
        except queue.Full:
            self._dropped_lines += 1
            return
        self._dropped_lines = 0

    def _admit_routine_line(self, message: Mapping[str, Any]) -> bool:
        if self._line_queue.qsize() > MAX_QUEUED_LINES * ROUTINE_QUEUE_SHARE:
            return False
        message_type = str(message.get("message_type", ""))
        now_ms = time.monotonic_ns() // 1_000_000
        bucket = self._buckets.get(message_type)
        if bucket is None:
            bucket = token_bucket.TokenBucket(
                TYPE_LINES_PER_S, TYPE_BURST_LINES, now_ms
            )
            self._buckets[message_type] = bucket
        return bucket.take(1, now_ms)

    def is_idle(self) -> bool:
        """Return whether the queue is empty."""
        return self._line_queue.empty()

    def close(self) -> None:
        """Write the queued lines; waits at most `FLUSH_TIMEOUT_S`."""
        with contextlib.suppress(queue.Full):
            self._line_queue.put_nowait(None)
        self._thread.join(FLUSH_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            line = self._line_queue.get()
            if line is None:
                return
            try:
                self._stream.write(line)
                self._stream.flush()
            except (OSError, ValueError):
                return  # The stream is closed.


class _LibraryHandler(logging.Handler):
    """Logs the warnings and errors of libraries as `library_log`."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record."""
        level = "error" if record.levelno >= logging.ERROR else "warning"
        text = self.format(record)
        write("library_log", level, {"logger": record.name, "text": text})


@contextlib.contextmanager
def set_up(
    level: str,
    entry: str,
    stream: TextIO | None = None,
    *,
    limited: bool = False,
) -> Iterator[None]:
    """Write messages of `level` and above to `stream`, or standard error.

    `limited` enables the rate limits and the reserved part of the queue, both
    of which apply to messages below warning level.
    """
    destination = Destination(level, stream or sys.stderr, limited=limited)
    handler = _LibraryHandler(logging.WARNING)
    eliot.add_global_fields(entry=entry)
    eliot.add_destinations(destination)
    logging.getLogger().addHandler(handler)
    try:
        yield
    finally:
        logging.getLogger().removeHandler(handler)
        eliot.remove_destination(destination)
        destination.close()


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


@contextlib.contextmanager
def request_action(fields: Fields) -> Iterator[dict[str, Any]]:
    """Log the start and the end of serving a caller's request.

    Items that the block adds to the yielded dictionary become fields of the
    message at the end.
    """
    result: dict[str, Any] = {}
    with eliot.start_task(action_type="request", **dict(fields)) as action:
        yield result
        action.add_success_fields(**result)


def _default_level(message: Mapping[str, Any]) -> str:
    # Messages without a level come from actions and from `eliot` itself.
    return "error" if message.get("action_status") == "failed" else "info"
