"""Identifiers of entries, requests and attempts."""

from __future__ import annotations

import dataclasses
import re

_REQUEST_ID = re.compile(r"([A-Za-z0-9_-]{1,64})\.([0-9]{1,16})\.([0-9]{1,16})")


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class EntryId:
    """One process of the entry daemon on one VM.

    `incarnation` is the start time of the process as Unix time in
    milliseconds.
    """

    vm_id: str
    incarnation: int


def entry_name(entry: EntryId) -> str:
    """Return an entry's id as text, as used in keys and tokens."""
    return f"{entry.vm_id}.{entry.incarnation}"


def parse_entry(name: str) -> EntryId | None:
    """Parse the text that `entry_name` returns; None when malformed."""
    return accepting_entry(f"{name}.0")


def request_id(entry: EntryId, counter: int) -> str:
    """Return the id of the request that `entry` numbered `counter`."""
    return f"{entry_name(entry)}.{counter}"


def accepting_entry(request: str) -> EntryId | None:
    """Return the entry that accepted a request, or None for a malformed id."""
    match = _REQUEST_ID.fullmatch(request)
    if match is None:
        return None
    return EntryId(match.group(1), int(match.group(2)))


def attempt_id(request: str, entry: EntryId, number: int) -> str:
    """Return the id of an attempt.

    The id includes the entry that makes the attempt, because after a handover
    the successor numbers its attempts from 1 again.
    """
    return f"{request}/{entry_name(entry)}/{number}"
