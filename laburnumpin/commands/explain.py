"""The `explain` command: find the cause of a request's outcome in the logs."""

from __future__ import annotations

from collections.abc import Iterable
import json
import pathlib
import sys
from typing import Any

from laburnumpin import exceptions
from laburnumpin.commands import output

LogLine = dict[str, Any]

# State changes that an entry logged this long before and after the lines of a
# request may explain its outcome.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 1.0

# By the outcome of a request, or the reason of its rejection.
_CAUSES = {
    "not_ready": "the entry had no configuration or no list of upstreams yet",
    "no_route": "no route of the configuration matched host and path",
    "unknown_key": "no customer of the configuration had the key",
    "over_quota": "the customer's quota was used up",
    "no_upstream": "no upstream of the service could take work",
    "no_room": "all upstreams of the service were full",
    "too_late": "no upstream could have answered in time",
    "leaving": "the entry was about to exit",
    "upstream_limit": "its upstreams were full or at their named limits",
    "upstream_backoff": "its upstreams had asked for a back-off",
    "withheld": "engines have ended under a part of its prompt",
    "withheld_request": "upstreams have ended under requests like it",
    "upstream_rejected": "the upstream rejected the request without running it",
    "upstream_failed": "the upstream failed after it may have run the request",
    "deadline": "the deadline of the caller or the route had passed",
    "crowded_out": (
        "others needed its room or its place before it was read; answered "
        "503, it had not run"
    ),
    "caller_gone": "the caller closed its connection",
    "cut": "the upstream's answer broke off after a part was delivered",
}


# Reasons for a rejection that depend on the entry's state, and the log types
# that record a change of that state.
_STATE_REASONS = (
    "not_ready",
    "no_route",
    "unknown_key",
    "no_upstream",
    "no_room",
    "upstream_limit",
    "upstream_backoff",
)
# Log types that say why requests are withheld.
_PART_CHANGES = (
    "prompt_parts_suspected",
    "prompt_parts_withheld",
    "prompt_parts_released",
    "requests_suspected",
    "requests_withheld",
    "requests_released",
)
# Log types of a service's roll-out, for requests to that service.
_ROLLOUT_CHANGES = (
    "rollout_decision",
    "rollout_order",
    "rollout_status",
    "rollout_stopped_here",
)
_STATE_CHANGES = (
    "callers_crowded",
    "configuration_in_force",
    "configuration_invalid",
    "configuration_kept",
    "configuration_not_fetched",
    "entry_started",
    "registration_held",
    "registration_malformed",
    "registration_outdated",
    "rows_of_lost_era",
    "store_era_changed",
    "store_lost",
    "store_regained",
    "upstream_backoff_started",
    "upstream_changed",
    "upstream_limit_changed",
    "upstream_said_leaving",
    "upstream_statement_malformed",
)


def explain(
    request_id: str, files: tuple[pathlib.Path, ...], as_json: bool
) -> None:
    """Print the log lines related to a request in order, with the cause last.

    Reads standard input if no files are given.

    Raises:
        InputError: A file cannot be read, or no line contains the request id.
    """
    lines = list(_read_lines(files))
    related = related_lines(request_id, lines)
    if not related:
        raise exceptions.InputError(f"no log line has request id {request_id}")
    cause_text = cause(request_id, related)
    if as_json:
        output.print_json(
            {"request_id": request_id, "lines": related, "cause": cause_text}
        )
        return
    first_s = float(related[0].get("timestamp", 0.0))
    for line in related:
        print(_format(line, first_s))
    print(f"cause: {cause_text}")


def parse(text: str) -> LogLine | None:
    """Return the JSON object in a log line, or None if there is none.

    Any prefix before the object, such as a timestamp, is skipped.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    return line if isinstance(line, dict) else None


def related_lines(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the log lines that concern a request, ordered by time.

    These are the lines with its id and, from the same entries and within the
    time window around them, lines about its upstreams. If a rejection
    depends on an entry's state, the changes of that state are included.
    """
    lines = list(lines)
    request_lines = [
        line for line in lines if line.get("request_id") == request_id
    ]
    if not request_lines:
        return []
    upstreams = {
        line["upstream"] for line in request_lines if "upstream" in line
    }
    # Only lines of requests to a service with a roll-out name the version.
    services = {
        line.get("service")
        for line in request_lines
        if "target_version" in line
    }
    entries = {line.get("entry") for line in request_lines}
    first_s = (
        min(_timestamp_s(line) for line in request_lines) - CONTEXT_BEFORE_S
    )
    last_s = max(_timestamp_s(line) for line in request_lines) + CONTEXT_AFTER_S
    depends_on_state = any(
        line.get("reason") in _STATE_REASONS or _is_crowded_out(line)
        for line in request_lines
    )
    is_withheld = any(
        line.get("reason") == "withheld" for line in request_lines
    )
    related = list(request_lines)
    for line in lines:
        if "request_id" in line or line.get("entry") not in entries:
            continue
        if not first_s <= _end_s(line) or _timestamp_s(line) > last_s:
            continue
        same_upstream = line.get("upstream") in upstreams
        parts_changed = line.get("message_type") in _PART_CHANGES
        state_changed = line.get("message_type") in _STATE_CHANGES
        rollout_changed = (
            line.get("message_type") in _ROLLOUT_CHANGES
            and line.get("service") in services
        )
        if (
            same_upstream
            or rollout_changed
            or (depends_on_state and state_changed)
            or (is_withheld and parts_changed)
        ):
            related.append(line)
    related.sort(key=_timestamp_s)
    return related


def _is_crowded_out(line: LogLine) -> bool:
    """Return whether a request was refused before it was read."""
    return line.get("message_type") == "buffers_full" and line.get("part") in (
        "head",
        "body",
    )


def _describe_losses(rejection: LogLine) -> str:
    """Return what ended under a withheld request."""
    losses = rejection.get("engine_losses")
    if rejection.get("request_key"):
        return f"; {losses} upstreams ended under {rejection['request_key']}"
    if rejection.get("prompt_parts"):
        return f"; {losses} engines ended under {rejection['prompt_parts']}"
    return ""


def cause(request_id: str, related: list[LogLine]) -> str:
    """Return the cause of a request's outcome from its related lines."""
    outcome = ""
    failure: LogLine | None = None
    rejection: LogLine | None = None
    changes: dict[str, str] = {}
    for line in related:
        message_type = line.get("message_type")
        if line.get("request_id") != request_id:
            if message_type in _PART_CHANGES or "change" not in line:
                continue
            changes[str(line.get("upstream"))] = str(line.get("change"))
            continue
        if message_type == "request_ended":
            outcome = str(line.get("outcome", ""))
        elif message_type == "attempt_failed":
            failure = line
        elif _is_crowded_out(line):
            outcome = "crowded_out"
        elif message_type == "request_rejected":
            rejection = line
    text = _CAUSES.get(
        outcome, f"it ended with {outcome or 'no recorded outcome'}"
    )
    if rejection is not None:
        reason = str(rejection.get("reason"))
        if reason == "withheld" and rejection.get("request_key"):
            reason = "withheld_request"
        text = _CAUSES.get(reason, reason)
        execution = (
            "had not run" if rejection.get("not_run") else "may have run"
        )
        text += f"; answered {rejection.get('status')}, it {execution}"
        text += _describe_losses(rejection)
    text += _describe_framing(request_id, related)
    text += _describe_end(request_id, related)
    text += _describe_version(request_id, related)
    if failure is not None:
        upstream = str(failure.get("upstream"))
        text += (
            f"; attempt {failure.get('attempt')} at {upstream}: "
            f"{failure.get('ending')} ({failure.get('reason')})"
        )
        if upstream in changes:
            text += f"; the entry had noted that it was {changes[upstream]}"
    return text


def _describe_framing(request_id: str, related: list[LogLine]) -> str:
    """Return what to say of a request whose end is ambiguous."""
    for line in related:
        if line.get("request_id") != request_id:
            continue
        if line.get("message_type") != "request_ambiguous":
            continue
        defect = line.get("defect")
        if line.get("action") == "refused":
            return f"; refused unread, as its end is ambiguous ({defect})"
        return (
            f"; its end is ambiguous ({defect}), so the entry closed the "
            "connection after the answer"
        )
    return ""


def _describe_end(request_id: str, related: list[LogLine]) -> str:
    """Return what to say of an answer that is not proved to be whole."""
    for line in related:
        if line.get("request_id") != request_id:
            continue
        if line.get("end") == "unproved":
            return (
                "; nothing but the end of the connection of "
                f"{line.get('upstream')} showed that its answer was whole"
            )
    return ""


def _describe_version(request_id: str, related: list[LogLine]) -> str:
    """Return which version of a service with a roll-out got the request."""
    text = ""
    for line in related:
        if line.get("request_id") != request_id or (
            "target_version" not in line
        ):
            continue
        text = (
            f"; sent to version {line['version']} of {line.get('service')} "
            f"during a roll-out of {line.get('target_version')}"
        )
    return text


def _read_lines(files: tuple[pathlib.Path, ...]) -> Iterable[LogLine]:
    if not files:
        yield from _parse_lines(sys.stdin)
        return
    for path in files:
        try:
            with path.open(encoding="utf-8", errors="replace") as stream:
                yield from _parse_lines(stream)
        except OSError as error:
            raise exceptions.InputError(f"{path}: {error}") from error


def _parse_lines(stream: Iterable[str]) -> Iterable[LogLine]:
    for text in stream:
        line = parse(text)
        if line is not None:
            yield line


def _timestamp_s(line: LogLine) -> float:
    value = line.get("timestamp", 0.0)
    return float(value) if isinstance(value, int | float) else 0.0


def _end_s(line: LogLine) -> float:
    """Return until when a line matters: its time, or the end of a back-off."""
    at_s = _timestamp_s(line)
    if line.get("message_type") != "upstream_backoff_started":
        return at_s
    try:
        duration_ms = float(line["kept_ms"]) + float(line["delay_ms"])
    except (KeyError, TypeError, ValueError):
        return at_s
    return at_s + duration_ms / 1_000


def _format(line: LogLine, first_s: float) -> str:
    omitted = (
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
        if name not in omitted and value is not None:
            fields.append(f"{name}={value}")
    offset_ms = (_timestamp_s(line) - first_s) * 1_000
    return (
        f"{offset_ms:+9.1f} ms  {line.get('entry', '')}  "
        f"{line.get('message_type', '')}  {' '.join(fields)}"
    )
