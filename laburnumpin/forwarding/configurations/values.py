"""Large values of the operator's rows, which peers name by their hashes.

A value that a peer lacks is sent to it once, as a compressed difference from
one that it has.
"""

from __future__ import annotations

from collections.abc import Iterable

import anyio

from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.configurations import differences
from laburnumpin.forwarding.configurations import pacing

# Values from this length on are named by their hash.
MIN_LARGE_BYTES = 16_384
# Values of earlier versions that are kept as bases of differences, and what
# they may take together.
MAX_EARLIER_VALUES = 4
MAX_EARLIER_BYTES = 4_194_304


class LargeValues:
    """The large values of the rows in force, and some earlier ones."""

    __slots__ = ("_by_hash", "_current", "_differences", "_hashes", "_lock")

    def __init__(self) -> None:
        # The oldest first.
        self._by_hash: dict[bytes, bytes] = {}
        # Hashes of the values in force, and of all kept values by identity.
        self._current: set[bytes] = set()
        self._hashes: dict[int, bytes] = {}
        # Encoded differences, by the hashes of the base and of the value.
        self._differences: dict[tuple[bytes, bytes], bytes] = {}
        self._lock = anyio.Lock()

    async def add(self, values: Iterable[bytes | None]) -> None:
        """Hash large values and keep them; lets other tasks run meanwhile."""
        for value in values:
            if value is not None and not self._is_known(value):
                self._keep(
                    value, await pacing.run(differences.hash_steps(value))
                )

    def set_current(self, rows: Iterable[interfaces.Row]) -> None:
        """Set the rows in force, whose large values are kept."""
        current = set()
        for row in rows:
            if row.value is not None and is_large(row.value):
                current.add(self.hash_of(row.value))
        self._current = current
        self._trim()

    def hash_of(self, value: bytes) -> bytes:
        """Return the hash of a large value, and keep the value."""
        if not self._is_known(value):
            self._keep(value, pacing.run_at_once(differences.hash_steps(value)))
        return self._hashes[id(value)]

    def find(self, value_hash: bytes) -> bytes | None:
        """Return the value with a hash, if it is kept."""
        return self._by_hash.get(value_hash)

    def current_hashes(self) -> list[bytes]:
        """Return the hashes of the kept values, the newest first."""
        return list(reversed(self._by_hash))

    async def difference(
        self, base_hashes: Iterable[bytes], value_hash: bytes
    ) -> tuple[bytes, bytes] | None:
        """Return the hash of a base and the difference from it to a value.

        The base is the first one that is kept, or empty. None if the value is
        not kept.
        """
        async with self._lock:
            value = self._by_hash.get(value_hash)
            if value is None:
                return None
            base_hash, base = b"", b""
            for known_hash in base_hashes:
                if known_hash in self._by_hash:
                    base_hash, base = known_hash, self._by_hash[known_hash]
                    break
            found = self._differences.get((base_hash, value_hash))
            if found is None:
                found = await pacing.run(differences.encode(base, value))
                self._differences[(base_hash, value_hash)] = found
            return base_hash, found

    def _is_known(self, value: bytes) -> bool:
        if not is_large(value):
            return True
        value_hash = self._hashes.get(id(value))
        return value_hash is not None and self._by_hash[value_hash] is value

    def _keep(self, value: bytes, value_hash: bytes) -> None:
        replaced = self._by_hash.pop(value_hash, None)
        if replaced is not None:
            self._hashes.pop(id(replaced), None)
        self._by_hash[value_hash] = value
        self._hashes[id(value)] = value_hash
        self._trim()

    def _trim(self) -> None:
        """Drop the oldest values that are no longer in force."""
        newest = next(reversed(self._by_hash), b"")
        earlier = [
            value_hash
            for value_hash in self._by_hash
            if value_hash not in self._current and value_hash != newest
        ]
        total_bytes = sum(len(self._by_hash[key]) for key in earlier)
        for count, value_hash in zip(
            range(len(earlier), 0, -1), earlier, strict=True
        ):
            if count <= MAX_EARLIER_VALUES and total_bytes <= MAX_EARLIER_BYTES:
                break
            value = self._by_hash.pop(value_hash)
            self._hashes.pop(id(value), None)
            total_bytes -= len(value)
        for pair in list(self._differences):
            base_hash, value_hash = pair
            if value_hash not in self._by_hash or (
                base_hash and base_hash not in self._by_hash
            ):
                del self._differences[pair]


def is_large(value: bytes) -> bool:
    """Return whether peers name a value by its hash."""
    return len(value) >= MIN_LARGE_BYTES


def decode_hash(value: object, field: str) -> bytes:
    """Return a hash from a message.

    Raises:
        MalformedError: It is none.
    """
    if not isinstance(value, bytes):
        raise untrusted.MalformedError(field, "wrong_type")
    if len(value) != differences.HASH_BYTES:
        raise untrusted.MalformedError(field, "out_of_range")
    return value
