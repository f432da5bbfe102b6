"""Messages between entries of this release about the operator's table.

A table names large values by their hashes. Entries of the release before send
and receive whole rows instead.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
from typing import Any

from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.configurations import differences
from laburnumpin.forwarding.configurations import values

# What an entry states to receive these messages.
FORMAT_FIELD = "configurations"
FORMAT = 1
# Most hashes of earlier values in a request.
MAX_BASES = 8


@dataclasses.dataclass(slots=True, frozen=True)
class TableRow:
    """A row whose value, if it is large, is only named by its hash."""

    key: str
    value: bytes | None
    value_hash: bytes | None
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Table:
    """The operator's table at a peer.

    `configuration` is the version of the configuration in force there, and
    `address` is where the peer serves large values.
    """

    rows: tuple[TableRow, ...]
    position: interfaces.Position
    configuration: int
    address: str

    def names(self, value_hash: bytes) -> bool:
        """Return whether a row has the value with a hash."""
        return any(row.value_hash == value_hash for row in self.rows)


def accepts(message: dict[str, Any]) -> bool:
    """Return whether the writer of a message knows this format."""
    return message.get(FORMAT_FIELD) == FORMAT


def encode(
    rows: Iterable[interfaces.Row],
    position: interfaces.Position,
    configuration: int,
    address: str,
    large_values: values.LargeValues,
) -> dict[str, Any]:
    """Return a table in a form that CBOR can encode."""
    encoded = []
    for row in rows:
        value: bytes | None = row.value
        value_hash: bytes | None = None
        if value is not None and values.is_large(value):
            value_hash, value = large_values.hash_of(value), None
        encoded.append([row.key, value, value_hash, row.version])
    return {
        "rows": encoded,
        "era": position.era,
        "version": position.version,
        "configuration": configuration,
        "address": address,
    }


def decode(encoded: object) -> Table:
    """Return the table that `encode` encoded.

    Raises:
        MalformedError: The table is malformed.
    """
    fields = untrusted.mapping(encoded, "operator_table")
    rows = []
    for encoded_row in untrusted.sequence(
        untrusted.required(fields, "rows"), "rows"
    ):
        key, value, value_hash, version = untrusted.items(
            encoded_row, "rows", 4
        )
        if value is not None and not isinstance(value, bytes):
            raise untrusted.MalformedError("rows", "wrong_type")
        if value_hash is not None:
            values.decode_hash(value_hash, "rows")
        rows.append(
            TableRow(
                untrusted.text(key, "rows", untrusted.MAX_KEY_CHARS),
                value,
                value_hash,
                untrusted.integer(version, "rows"),
            )
        )
    counters = [
        untrusted.integer(untrusted.required(fields, field), field)
        for field in ("era", "version", "configuration")
    ]
    return Table(
        tuple(rows),
        interfaces.Position(counters[0], counters[1]),
        counters[2],
        untrusted.host_address(
            untrusted.required(fields, "address"), "address"
        ),
    )


def encode_request(value_hash: bytes, bases: list[bytes]) -> dict[str, Any]:
    """Return a request for a large value, with the bases that may be used."""
    return {
        "kind": "value",
        "hash": value_hash,
        "bases": bases[:MAX_BASES],
    }


async def serve_request(
    request: dict[str, Any], large_values: values.LargeValues
) -> dict[str, Any]:
    """Return the answer to a request for a large value.

    Raises:
        MalformedError: The request is malformed.
    """
    value_hash = values.decode_hash(request.get("hash"), "hash")
    bases = untrusted.sequence(request.get("bases", ()), "bases")
    checked = [values.decode_hash(base, "bases") for base in bases]
    found = await large_values.difference(checked[:MAX_BASES], value_hash)
    if found is None:
        return {"kind": "value", "base": b"", "difference": None}
    return {"kind": "value", "base": found[0], "difference": found[1]}


def decode_answer(answer: dict[str, Any]) -> tuple[bytes, bytes] | None:
    """Return the hash of the base and the difference; None without a value.

    Raises:
        MalformedError: The answer is malformed.
    """
    difference = answer.get("difference")
    base = answer.get("base")
    if difference is None:
        return None
    if not isinstance(difference, bytes) or not isinstance(base, bytes):
        raise untrusted.MalformedError("difference", "wrong_type")
    if len(base) not in (0, differences.HASH_BYTES):
        raise untrusted.MalformedError("base", "out_of_range")
    return base, difference
