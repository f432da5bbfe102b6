"""Rows of the store with counts of entries' incarnations."""

from __future__ import annotations

import dataclasses
import json
from typing import Any
import zlib

from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.usage_reports import counts as usage

# Longest value that is written, below the store's limit for a row, and longest
# one that is read.
MAX_VALUE_BYTES = 48_000
MAX_READ_BYTES = 65_536
# Longest document in a row that is read.
MAX_DOCUMENT_BYTES = 1_048_576
COMPRESSION_LEVEL = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """Counts of one incarnation, by window.

    `counted_to_ms` is when they were counted, wall-clock time in Unix ms.
    """

    incarnation_name: str
    counted_to_ms: int
    windows: dict[int, usage.Counts]


def encode(records: list[Record]) -> bytes | None:
    """Return the value of a row; without the oldest windows if it is too long.

    Return None if not even the newest window fits.
    """
    windows = sorted({w for record in records for w in record.windows})
    while True:
        value = _encode_windows(records, set(windows))
        if len(value) <= MAX_VALUE_BYTES:
            return value
        if len(windows) <= 1:
            return None
        windows.pop(0)


def _encode_windows(records: list[Record], windows: set[int]) -> bytes:
    indices: dict[str, int] = {}
    entries: dict[str, Any] = {}
    for record in records:
        rows: dict[str, list[int]] = {}
        for window, counts in record.windows.items():
            if window not in windows:
                continue
            row = rows[str(window)] = []
            for customer, count in counts.items():
                row += (indices.setdefault(customer, len(indices)), count)
        entries[record.incarnation_name] = [record.counted_to_ms, rows]
    document = {"customers": list(indices), "entries": entries}
    encoded = json.dumps(document, separators=(",", ":")).encode()
    return zlib.compress(encoded, COMPRESSION_LEVEL)


def decode(
    value: bytes, latest_ms: int = untrusted.MAX_UNIX_MS
) -> list[Record]:
    """Return the records in the value of a row.

    `latest_ms` is the latest time of a count that is plausible.

    Raises:
        MalformedError: The row is malformed.
    """
    document = untrusted.parse_json(_decompress(value), MAX_DOCUMENT_BYTES)
    customers = []
    for customer in untrusted.sequence(
        untrusted.required(document, "customers"), "customers"
    ):
        customers.append(untrusted.text(customer, "customers"))
    records = []
    entries = untrusted.mapping(
        untrusted.required(document, "entries"), "entries"
    )
    for incarnation_name, fields in entries.items():
        counted_to_ms, rows = untrusted.items(fields, "entries", 2)
        windows = {}
        for window, row in untrusted.mapping(rows, "entries").items():
            windows[_window(window)] = _decode_counts(row, customers)
        records.append(
            Record(
                untrusted.text(
                    incarnation_name, "entries", untrusted.MAX_KEY_CHARS
                ),
                untrusted.integer(counted_to_ms, "counted_to_ms", 0, latest_ms),
                windows,
            )
        )
    return records


def _decompress(value: bytes) -> bytes:
    if len(value) > MAX_READ_BYTES:
        raise untrusted.MalformedError("", "too_large")
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(value, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise untrusted.MalformedError("", "unreadable") from error
    if decompressor.unconsumed_tail:
        raise untrusted.MalformedError("", "too_large")
    return document


def _window(window: str) -> int:
    # Decimal digits of other scripts are no numbers here.
    if not (window.isascii() and window.isdecimal() and len(window) < 16):
        raise untrusted.MalformedError("window", "wrong_type")
    return int(window)


def _decode_counts(row: object, customers: list[str]) -> usage.Counts:
    numbers = untrusted.sequence(row, "counts")
    if len(numbers) % 2:
        raise untrusted.MalformedError("counts", "out_of_range")
    counts = {}
    for index, count in zip(numbers[::2], numbers[1::2], strict=True):
        position = untrusted.integer(index, "counts")
        if position >= len(customers):
            raise untrusted.MalformedError("counts", "out_of_range")
        counts[customers[position]] = untrusted.integer(count, "counts")
    return counts
