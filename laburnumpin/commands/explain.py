"""The `explain` command: the story of one request from the entries' logs."""

from __future__ import annotations

from collections.abc import Iterable
import json
import pathlib
import sys
from typing import Any

from laburnumpin import exceptions
from laburnumpin.commands import output

Line = dict[str, Any]

# What entries noted of the upstreams of a request this long before and after
# it belongs to its story.
BEFORE_S = 5.0
AFTER_S = 1.0

_CAUSES = {
    "not_ready": "the entry had no configuration or no list of upstreams yet",
    "no_route": "no route of the configuration matched host and path",
    "unknown_key": "no customer of the configuration held the key",
    "over_quota": "the customer's quota was used up",
    "no_upstream": "no upstream of the service could take work",
    "no_room": "all upstreams of the service were full",
    "too_late": "no upstream could have answered in time",
    "leaving": "the entry was about to exit",
    "upstream_rejected": "the upstream rejected the request without running it",
    "upstream_failed": "the upstream failed after it may have run the request",
    "deadline": "the deadline of the caller or the route had passed",
    "caller_gone": "the caller closed its connection",
    "cut": "the upstream's answer broke off after a part was delivered",
}


# Reasons that lie in what the entry knew, and the lines that tell of it.
_BELIEFS = ("not_ready", "no_route", "unknown_key", "no_upstream", "no_room")
_CHANGES = (
    "configuration_in_force",
    "entry_started",
    "store_lost",
    "store_regained",
    "upstream_changed",
)


def explain(
    request_id: str, files: tuple[pathlib.Path, ...], as_json: bool
) -> None:
    """Print the lines that touch a request in order, with the cause last.

    Raises:
        InputError: A file cannot be read, or no line names the request.
    """
    lines = list(_read(files))
    story = related_lines(request_id, lines)
    if not story:
        raise exceptions.InputError(f"no line names the request {request_id}")
    verdict = cause(request_id, story)
    if as_json:
        output.print_json(
            {"request_id": request_id, "lines": story, "cause": verdict}
        )
        return
    first_s = float(story[0].get("timestamp", 0.0))
    for line in story:
        print(_format(line, first_s))
    print(f"cause: {verdict}")


def parse(text: str) -> Line | None:
    """Return the message in a line of a log, whatever stands before it."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    return line if isinstance(line, dict) else None


def related_lines(request_id: str, lines: Iterable[Line]) -> list[Line]:
    """Return the lines of a request and of its upstreams, in order."""
    lines = list(lines)
    own = [line for line in lines if line.get("request_id") == request_id]
    if not own:
        return []
    upstreams = {line["upstream"] for line in own if "upstream" in line}
    entries = {line.get("entry") for line in own}
    first_s = min(_time(line) for line in own) - BEFORE_S
    last_s = max(_time(line) for line in own) + AFTER_S
    rejected = any(line.get("reason") in _BELIEFS for line in own)
    story = list(own)
    for line in lines:
        if "request_id" in line or line.get("entry") not in entries:
            continue
        if not first_s <= _time(line) <= last_s:
            continue
        known = line.get("upstream") in upstreams
        changed = line.get("message_type") in _CHANGES
        if known or (rejected and changed):
            story.append(line)
    story.sort(key=_time)
    return story


def cause(request_id: str, story: list[Line]) -> str:
    """Return why the request ended as it did."""
    outcome = ""
    failed: Line | None = None
    rejected: Line | None = None
    changes: dict[str, str] = {}
    for line in story:
        kind = line.get("message_type")
        if line.get("request_id") != request_id:
            changes[str(line.get("upstream"))] = str(line.get("change"))
            continue
        if kind == "request_ended":
            outcome = str(line.get("outcome", ""))
        elif kind == "attempt_failed":
            failed = line
        elif kind == "request_rejected":
            rejected = line
    text = _CAUSES.get(outcome, f"it ended with {outcome or 'no end'}")
    if rejected is not None:
        reason = str(rejected.get("reason"))
        text = _CAUSES.get(reason, reason)
        ran = "had not run" if rejected.get("not_run") else "may have run"
        text += f"; answered {rejected.get('status')}, it {ran}"
    if failed is not None:
        upstream = str(failed.get("upstream"))
        text += (
            f"; attempt {failed.get('attempt')} at {upstream}: "
            f"{failed.get('ending')} ({failed.get('reason')})"
        )
        if upstream in changes:
            text += f"; the entry had noted that it was {changes[upstream]}"
    return text


def _read(files: tuple[pathlib.Path, ...]) -> Iterable[Line]:
    if not files:
        yield from _parsed(sys.stdin)
        return
    for path in files:
        try:
            with path.open(encoding="utf-8", errors="replace") as stream:
                yield from _parsed(stream)
        except OSError as error:
            raise exceptions.InputError(f"{path}: {error}") from error


def _parsed(stream: Iterable[str]) -> Iterable[Line]:
    for text in stream:
        line = parse(text)
        if line is not None:
            yield line


def _time(line: Line) -> float:
    value = line.get("timestamp", 0.0)
    return float(value) if isinstance(value, int | float) else 0.0


def _format(line: Line, first_s: float) -> str:
    hidden = (
        "timestamp",
        "task_uuid",
        "task_level",
        "message_type",
        "entry",
        "level",
        "request_id",
    )
    fields = []
    for name, value in line.items():
        if name not in hidden and value is not None:
            fields.append(f"{name}={value}")
    offset_ms = (_time(line) - first_s) * 1_000
    return (
        f"{offset_ms:+9.1f} ms  {line.get('entry', '')}  "
        f"{line.get('message_type', '')}  {' '.join(fields)}"
    )
