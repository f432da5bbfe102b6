"""Compressed differences between two values of a row.

A difference is a sequence of operations, compressed by zlib. Each one is a byte
and two numbers of four bytes in network order: `C` copies so many bytes of the
base from an offset on, and `N` is followed by so many new bytes. A base is cut
into pieces at the ends of JSON objects to find what can be copied.
"""

from __future__ import annotations

from collections.abc import Generator
import hashlib
import struct
import zlib

from laburnumpin.forwarding import untrusted

HASH_BYTES = 16
_PIECE_END = b"},"
_COMPRESSION_LEVEL = 3
# Bytes that are hashed or compressed between two pauses, and the longest `N`.
_CHUNK_BYTES = 65_536
# Pieces that are compared between two pauses.
_PIECES_PER_STEP = 64
_HEADER = struct.Struct(">cII")
_COPY = b"C"
_NEW = b"N"


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
    offsets = yield from _index(base)
    writer = _Writer(value)
    # What follows the bytes that were copied last.
    next_offset = 0
    for number, (start, end) in enumerate(_pieces(value)):
        if number % _PIECES_PER_STEP == 0:
            yield
        piece = value[start:end]
        offset: int | None = next_offset
        if base[next_offset : next_offset + len(piece)] != piece:
            offset = offsets.get(piece)
        if offset is None:
            writer.add_new(end)
            continue
        writer.copy(offset, len(piece))
        next_offset = offset + len(piece)
    return writer.finish()


def decode(
    base: bytes, difference: bytes, max_bytes: int
) -> Generator[None, None, bytes]:
    """Return the value to which a difference from `base` leads.

    Raises:
        MalformedError: The difference is malformed, or the value longer than
            `max_bytes`.
    """
    value = bytearray()
    unread = bytearray()
    decompressor = zlib.decompressobj()
    while not decompressor.eof:
        try:
            chunk = decompressor.decompress(difference, _CHUNK_BYTES)
        except zlib.error as error:
            raise _malformed("unreadable") from error
        difference = decompressor.unconsumed_tail
        if not chunk and not difference and not decompressor.eof:
            raise _malformed("unreadable")
        unread += chunk
        read_bytes = 0
        for part, end in _read_operations(base, unread):
            read_bytes = end
            if len(value) + len(part) > max_bytes:
                raise _malformed("too_large")
            value += part
        del unread[:read_bytes]
        yield
    if unread:
        raise _malformed("unreadable")
    return bytes(value)


class _Writer:
    """Writes operations, each as long as possible."""

    __slots__ = ("_compressed", "_compressor", "_copied", "_done", "_value")

    def __init__(self, value: bytes) -> None:
        self._value = value
        self._compressor = zlib.compressobj(_COMPRESSION_LEVEL)
        self._compressed: list[bytes] = []
        # The current copy, as an offset and a length.
        self._copied = (0, 0)
        # How many bytes of the value are written or to be copied.
        self._done = 0

    def copy(self, offset: int, length: int) -> None:
        """Copy bytes of the base."""
        first, copied = self._copied
        if copied and first + copied == offset:
            self._copied = (first, copied + length)
        else:
            self._flush_copy()
            self._copied = (offset, length)
        self._done += length

    def add_new(self, end: int) -> None:
        """Write the bytes of the value up to `end`."""
        self._flush_copy()
        while self._done < end:
            chunk = self._value[
                self._done : min(end, self._done + _CHUNK_BYTES)
            ]
            self._write(_HEADER.pack(_NEW, 0, len(chunk)) + chunk)
            self._done += len(chunk)

    def finish(self) -> bytes:
        """Return the whole difference."""
        self._flush_copy()
        self._compressed.append(self._compressor.flush())
        return b"".join(self._compressed)

    def _flush_copy(self) -> None:
        offset, length = self._copied
        if length:
            self._write(_HEADER.pack(_COPY, offset, length))
        self._copied = (0, 0)

    def _write(self, data: bytes) -> None:
        self._compressed.append(self._compressor.compress(data))


def _read_operations(
    base: bytes, data: bytearray
) -> Generator[tuple[bytes, int], None, None]:
    """Return the bytes of the whole operations, and where each one ends."""
    at = 0
    while at + _HEADER.size <= len(data):
        kind, offset, length = _HEADER.unpack_from(data, at)
        at += _HEADER.size
        if not length:
            raise _malformed("out_of_range")
        if kind == _COPY:
            if offset + length > len(base):
                raise _malformed("out_of_range")
            yield base[offset : offset + length], at
            continue
        if kind != _NEW or length > _CHUNK_BYTES:
            raise _malformed("unknown_value")
        if at + length > len(data):
            return
        yield bytes(data[at : at + length]), at + length
        at += length


def _index(base: bytes) -> Generator[None, None, dict[bytes, int]]:
    offsets: dict[bytes, int] = {}
    for number, (start, end) in enumerate(_pieces(base)):
        offsets.setdefault(base[start:end], start)
        if number % _PIECES_PER_STEP == 0:
            yield
    return offsets


def _pieces(value: bytes) -> Generator[tuple[int, int], None, None]:
    """Return the start and the end of each piece of a value."""
    start = 0
    while start < len(value):
        found = value.find(_PIECE_END, start)
        end = len(value) if found < 0 else found + len(_PIECE_END)
        yield start, end
        start = end


def _malformed(reason: str) -> untrusted.MalformedError:
    return untrusted.MalformedError("difference", reason)
