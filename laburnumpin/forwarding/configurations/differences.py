"""Compressed differences between two values of a row.

A value is split at the borders of JSON objects. A difference lists runs of the
base's pieces to copy, as pairs of the first piece and their number, and bytes
that are new. It is CBOR, compressed by zlib; without a base it has only bytes.
"""

from __future__ import annotations

from collections.abc import Generator
import hashlib
from typing import Any
import zlib

import cbor2

from laburnumpin.forwarding import untrusted

HASH_BYTES = 16
_SEPARATOR = b"},"
_COMPRESSION_LEVEL = 3
# Bytes that are hashed or compressed between two pauses.
_CHUNK_BYTES = 65_536
# Pieces that are compared between two pauses.
_PIECES_PER_STEP = 64


def hash_steps(value: bytes) -> Generator[None, None, bytes]:
    """Return the hash that identifies a value."""
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    view = memoryview(value)
    for start in range(0, len(value), _CHUNK_BYTES):
        digest.update(view[start : start + _CHUNK_BYTES])
        yield
    return digest.digest()


def encode(base: bytes, value: bytes) -> Generator[None, None, bytes]:
    """Return the difference from `base`, which may be empty, to `value`."""
    runs: list[Any] = [value]
    if base:
        runs = yield from _find_runs(base, value)
    encoded = cbor2.dumps(runs)
    compressor = zlib.compressobj(_COMPRESSION_LEVEL)
    compressed = []
    view = memoryview(encoded)
    for start in range(0, len(encoded), _CHUNK_BYTES):
        compressed.append(
            compressor.compress(view[start : start + _CHUNK_BYTES])
        )
        yield
    compressed.append(compressor.flush())
    return b"".join(compressed)


def decode(
    base: bytes, difference: bytes, max_bytes: int
) -> Generator[None, None, bytes]:
    """Return the value to which a difference from `base` leads.

    Raises:
        MalformedError: The difference is malformed, or the value longer than
            `max_bytes`.
    """
    # Pairs are short, so the runs are not longer than the value and its base.
    encoded = yield from _decompress(difference, 2 * max_bytes)
    try:
        runs = untrusted.sequence(cbor2.loads(encoded), "difference")
    except (ValueError, LookupError, ArithmeticError, TypeError) as error:
        raise untrusted.MalformedError("difference", "unreadable") from error
    pieces = base.split(_SEPARATOR)
    parts: list[bytes] = []
    total_bytes = 0
    for run in runs:
        if isinstance(run, bytes):
            part = run
        else:
            first, count = untrusted.items(run, "difference", 2)
            untrusted.integer(first, "difference", 0, len(pieces) - 1)
            untrusted.integer(count, "difference", 1, len(pieces) - first)
            part = _SEPARATOR.join(pieces[first : first + count])
        total_bytes += len(part) + len(_SEPARATOR)
        if total_bytes > max_bytes + len(_SEPARATOR):
            raise untrusted.MalformedError("difference", "too_large")
        parts.append(part)
        yield
    return _SEPARATOR.join(parts)


def _decompress(
    data: bytes, max_bytes: int
) -> Generator[None, None, bytearray]:
    decompressor = zlib.decompressobj()
    found = bytearray()
    try:
        while not decompressor.eof:
            chunk = decompressor.decompress(data, _CHUNK_BYTES)
            data = decompressor.unconsumed_tail
            found += chunk
            if len(found) > max_bytes:
                raise untrusted.MalformedError("difference", "too_large")
            if not chunk and not data and not decompressor.eof:
                raise untrusted.MalformedError("difference", "unreadable")
            yield
    except zlib.error as error:
        raise untrusted.MalformedError("difference", "unreadable") from error
    return found


def _find_runs(base: bytes, value: bytes) -> Generator[None, None, list[Any]]:
    base_pieces = base.split(_SEPARATOR)
    yield
    index_by_piece: dict[bytes, int] = {}
    for index, piece in enumerate(base_pieces):
        index_by_piece.setdefault(piece, index)
        if index % _PIECES_PER_STEP == 0:
            yield
    runs: list[Any] = []
    # The current run of copied pieces, and the current new pieces.
    first, count = 0, 0
    added: list[bytes] = []
    for number, piece in enumerate(value.split(_SEPARATOR)):
        if number % _PIECES_PER_STEP == 0:
            yield
        following = first + count
        if count and following < len(base_pieces):
            if base_pieces[following] == piece:
                count += 1
                continue
        if count:
            runs.append([first, count])
            count = 0
        index_found = index_by_piece.get(piece)
        if index_found is None:
            added.append(piece)
            continue
        if added:
            runs.append(_SEPARATOR.join(added))
            added = []
        first, count = index_found, 1
    if count:
        runs.append([first, count])
    if added:
        runs.append(_SEPARATOR.join(added))
    return runs
