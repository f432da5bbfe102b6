"""Incremental decoding of a JSON object whose lists are long.

The items of the named lists are decoded one at a time, and those whose text is
the same as in an earlier document are taken from it.
"""

from __future__ import annotations

import array
from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Mapping
import dataclasses
import json
import re
from typing import Any

from laburnumpin.forwarding import untrusted

# Most items that are compared or taken over between two pauses.
MAX_RUN_ITEMS = 256
_SPACE = " \t\n\r"
_SPACE_PATTERN = re.compile(r"[ \t\n\r]*")

ItemDecoder = Callable[[dict[str, Any]], Any]


@dataclasses.dataclass(slots=True)
class List:
    """The decoded items of a list, and where each begins and ends."""

    starts: array.array[int] = dataclasses.field(
        default_factory=lambda: array.array("L")
    )
    ends: array.array[int] = dataclasses.field(
        default_factory=lambda: array.array("L")
    )
    items: list[Any] = dataclasses.field(default_factory=list)

    def add(self, start: int, end: int, item: object) -> None:
        """Append an item."""
        self.starts.append(start)
        self.ends.append(end)
        self.items.append(item)

    def add_known(self, known: List, first: int, count: int, at: int) -> int:
        """Append items of another list from `at` on; return where they end."""
        last = first + count
        shift = at - known.starts[first]
        self.starts.extend(
            [start + shift for start in known.starts[first:last]]
        )
        self.ends.extend([end + shift for end in known.ends[first:last]])
        self.items.extend(known.items[first:last])
        return self.ends[-1]


@dataclasses.dataclass(slots=True)
class Document:
    """A decoded document; `fields` has those that are no named list.

    `parsed_items` is the number of items whose text was parsed, and
    `decoded_items` that of items that were not taken from an earlier document.
    """

    value: bytes
    fields: dict[str, Any]
    lists: dict[str, List]
    parsed_items: int = 0
    decoded_items: int = 0


def decode(
    value: bytes,
    max_bytes: int,
    decoders: Mapping[str, ItemDecoder],
    base: Document | None,
) -> Generator[None, None, Document]:
    """Return the document in `value`; yields after each item.

    Raises:
        MalformedError: It is no JSON object, longer than `max_bytes`, a named
            list is none, or an item's decoder has rejected it.
    """
    if len(value) > max_bytes:
        raise untrusted.MalformedError("", "too_large")
    try:
        return (yield from _Reader(value, decoders, base).read())
    except (ValueError, IndexError, RecursionError) as error:
        raise untrusted.MalformedError("", "unreadable") from error


class _Reader:
    """Reads one document."""

    __slots__ = ("_base", "_decoders", "_document", "_json", "_text")

    def __init__(
        self,
        value: bytes,
        decoders: Mapping[str, ItemDecoder],
        base: Document | None,
    ) -> None:
        self._document = Document(value, {}, {})
        self._decoders = decoders
        self._base = base
        self._text = ""
        self._json = json.JSONDecoder(parse_constant=_reject_constant)

    def _prepare(self) -> Generator[None, None, None]:
        value = self._document.value
        encoding = json.detect_encoding(value)
        self._text = value.decode(encoding, "surrogatepass")
        yield
        base = self._base
        # Offsets in the text are offsets in the bytes only if both are ASCII.
        is_ascii = len(self._text) == len(value) and self._text.isascii()
        yield
        if base is None or not is_ascii or not base.value.isascii():
            self._base = None
        yield

    def read(self) -> Generator[None, None, Document]:
        yield from self._prepare()
        at = self._expect(self._skip(0), "{")
        if self._text[at] == "}":
            return self._finish(at + 1)
        while True:
            name, at = self._json.raw_decode(self._text, at)
            if not isinstance(name, str):
                raise ValueError("a name is expected")
            at = self._expect(self._skip(at), ":")
            if name in self._decoders:
                at = yield from self._read_list(name, at)
            else:
                value, at = self._json.raw_decode(self._text, at)
                self._document.fields[name] = value
                yield
            at = self._skip(at)
            if self._text[at] == "}":
                return self._finish(at + 1)
            at = self._expect(at, ",")

    def _read_list(self, name: str, at: int) -> Generator[None, None, int]:
        found = List()
        self._document.lists[name] = found
        if self._text[at] != "[":
            value, at = self._json.raw_decode(self._text, at)
            if value:
                raise untrusted.MalformedError(name, "wrong_type")
            return at
        at = self._skip(at + 1)
        if self._text[at] == "]":
            return at + 1
        known = List()
        if self._base is not None:
            known = self._base.lists.get(name, known)
        next_known = 0
        indexes: dict[bytes, int] | None = None
        while True:
            first, count = self._find_known(known, next_known, at)
            if not count:
                fields, end = self._json.raw_decode(self._text, at)
                self._document.parsed_items += 1
                if known.items:
                    if indexes is None:
                        indexes = yield from self._index(known)
                    moved = indexes.get(self._document.value[at:end])
                    if moved is not None:
                        first, count = moved, 1
            if count:
                end = found.add_known(known, first, count, at)
                next_known = first + count
            else:
                item = self._decoders[name](untrusted.mapping(fields, name))
                self._document.decoded_items += 1
                found.add(at, end, item)
            yield
            at = self._skip(end)
            if self._text[at] == "]":
                return at + 1
            at = self._expect(at, ",")

    def _find_known(self, known: List, first: int, at: int) -> tuple[int, int]:
        """Return the first of the known items at a position, and their number.

        The search begins with the item `first` and the one after it, which is
        there if that one was removed or replaced.
        """
        for start in range(first, min(first + 2, len(known.items))):
            count = self._count_known(known, start, at)
            if count:
                return start, count
        return first, 0

    def _count_known(self, known: List, first: int, at: int) -> int:
        """Return how many known items follow each other from a position on.

        Their texts are compared together with what separates them, first in
        groups that double, then in groups that halve. The text of an object
        ends where its outermost brace is closed, so no longer text can begin
        with it.
        """
        limit = min(len(known.items) - first, MAX_RUN_ITEMS)
        count, size = 0, 1
        is_growing = True
        while size and count < limit:
            size = min(size, limit - count)
            if self._is_at(known, first, count, size, at):
                count += size
                size = size * 2 if is_growing else size // 2
            else:
                is_growing = False
                size //= 2
        return count

    def _is_at(
        self, known: List, first: int, skipped: int, size: int, at: int
    ) -> bool:
        """Return whether known items after `skipped` ones are in their place.

        The separator before them is compared as well.
        """
        assert self._base is not None
        start = known.starts[first]
        if skipped:
            start = known.ends[first + skipped - 1]
        end = known.ends[first + skipped + size - 1]
        at += start - known.starts[first]
        return (
            self._document.value[at : at + end - start]
            == self._base.value[start:end]
        )

    def _index(self, known: List) -> Generator[None, None, dict[bytes, int]]:
        assert self._base is not None
        indexes = {}
        for index, start in enumerate(known.starts):
            indexes[self._base.value[start : known.ends[index]]] = index
            yield
        return indexes

    def _skip(self, at: int) -> int:
        """Return the position after white space."""
        if self._text[at : at + 1] not in _SPACE:
            return at
        match = _SPACE_PATTERN.match(self._text, at)
        assert match is not None
        return match.end()

    def _expect(self, at: int, character: str) -> int:
        if self._text[at] != character:
            raise ValueError(f"{character} is expected")
        return self._skip(at + 1)

    def _finish(self, at: int) -> Document:
        if self._skip(at) != len(self._text):
            raise ValueError("text after the object")
        return self._document


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")
