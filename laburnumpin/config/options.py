"""Typed options of which configuration sections are declared."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
import difflib
import enum
import ipaddress
import itertools
import json
import math
import re
from typing import Any
from typing import cast
from typing import Generic
from typing import overload
from typing import Self
from typing import TypeVar
import urllib.parse

from laburnumpin import exceptions

T = TypeVar("T")
S = TypeVar("S", bound="Section")

Errors = list[exceptions.FieldError]

MAX_SHOWN_CHARACTERS = 60
MAX_NAME_CHARACTERS = 64
MAX_ERRORS_WITH_HINTS = 50
MAX_HINT_CANDIDATES = 500
# Integers above this lose precision in JSON readers that use doubles.
MAX_INTEGER = 2**53 - 1

# Names become parts of URL paths and of table keys, hence no `/`.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]*")
_DOTTED_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")
_INTEGER_TEXT = re.compile(r"[+-]?[0-9]{1,18}")
_ADDRESS = re.compile(r"(?:\[([^\]]+)\]|([^:\[\]]+)):([0-9]{1,5})")
_VISIBLE_ASCII = re.compile(r"[!-~]+")


class Code(enum.StrEnum):
    """Stable codes of field errors."""

    DUPLICATE = "duplicate"
    INCONSISTENT = "inconsistent"
    MALFORMED = "malformed"
    NO_PLACEMENT = "no_placement"
    NOT_A_CHOICE = "not_a_choice"
    NOT_APPLICABLE = "not_applicable"
    OUT_OF_RANGE = "out_of_range"
    REQUIRED = "required"
    TOO_DEEP = "too_deep"
    TOO_FEW = "too_few"
    TOO_LARGE = "too_large"
    TOO_LONG = "too_long"
    TOO_MANY_ERRORS = "too_many_errors"
    TOO_SHORT = "too_short"
    UNKNOWN_FIELD = "unknown_field"
    UNKNOWN_REFERENCE = "unknown_reference"
    WRONG_TYPE = "wrong_type"


def add_error(errors: Errors, path: str, code: Code, message: str) -> None:
    """Record one problem with the field at `path`."""
    errors.append(exceptions.FieldError(path, code.value, message))


def shown(value: object) -> str:
    """Return a short printable form of a value for messages and paths."""
    text = ascii(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[: MAX_SHOWN_CHARACTERS - 3] + "..."


def field_path(path: str, key: object) -> str:
    """Return the path of a field of the object at `path`."""
    if not isinstance(key, str) or len(key) > MAX_NAME_CHARACTERS:
        return f"{path}[{shown(key)}]"
    if _NAME.fullmatch(key) is None:
        return f"{path}[{shown(key)}]"
    return f"{path}.{key}" if path else key


def suggestion(
    name: str, known: Collection[str], errors: Sequence[object] = ()
) -> str:
    """Return a hint that names the closest known name, or nothing.

    There are no hints after many errors, because the search for one compares
    the name with every known name.
    """
    if len(errors) >= MAX_ERRORS_WITH_HINTS:
        return ""
    candidates = list(itertools.islice(known, MAX_HINT_CANDIDATES))
    close = difflib.get_close_matches(name[:MAX_NAME_CHARACTERS], candidates, 1)
    return f"; did you mean {close[0]!r}?" if close else ""


def type_name(value: object) -> str:
    """Return the JSON name of a value's type."""
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "a flag"
    if isinstance(value, (int, float)):
        return "a number"
    if isinstance(value, str):
        return "a text"
    if isinstance(value, list):
        return "a list"
    if isinstance(value, dict):
        return "an object"
    return f"a {type(value).__name__}"


class RejectedValueError(Exception):
    """A value is not acceptable to an option."""

    def __init__(self, code: Code, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


def _wrong_type(expected: str, value: object) -> RejectedValueError:
    message = f"must be {expected}, not {type_name(value)}"
    return RejectedValueError(Code.WRONG_TYPE, message)


def _record(errors: Errors, path: str, rejection: RejectedValueError) -> None:
    add_error(errors, path, rejection.code, rejection.message)


class Option(Generic[T]):
    """A field of a section; without a default it is required.

    Read through an instance of its section it gives the checked value.
    """

    __slots__ = ("default", "name", "summary")

    def __init__(self, summary: str = "", default: T | None = None) -> None:
        self.summary = summary
        self.default = default
        self.name = ""

    def __set_name__(self, owner: type, name: str) -> None:
        self.name = name

    @overload
    def __get__(self, instance: None, owner: type) -> Self: ...

    @overload
    def __get__(self, instance: Section, owner: type) -> T: ...

    def __get__(self, instance: Section | None, owner: type) -> Self | T:
        if instance is None:
            return self
        return cast("T", instance.value(self.name))

    @property
    def required(self) -> bool:
        """Return whether the field must be given."""
        return self.default is None

    def convert(self, value: object) -> T:
        """Return the checked value, or raise `RejectedValueError`."""
        raise NotImplementedError

    def check(self, value: object, path: str, errors: Errors) -> T | None:
        """Return the checked value, or record errors and return None."""
        try:
            return self.convert(value)
        except RejectedValueError as rejection:
            _record(errors, path, rejection)
            return None

    def parse(self, text: str) -> object:
        """Return the value that a flag or environment variable stands for."""
        return text

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        raise NotImplementedError

    def describe_default(self) -> str:
        """Return the default as it is written, for the reference."""
        return "" if self.default is None else json.dumps(self.default)


class Text(Option[str]):
    """A text on one line."""

    __slots__ = ("max_length", "min_length")

    def __init__(
        self,
        summary: str = "",
        default: str | None = None,
        min_length: int = 0,
        max_length: int = 200,
    ) -> None:
        super().__init__(summary, default)
        self.min_length = min_length
        self.max_length = max_length

    def convert(self, value: object) -> str:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise _wrong_type("a text", value)
        if len(value) < self.min_length:
            message = f"must have at least {self.min_length} characters"
            raise RejectedValueError(Code.TOO_SHORT, message)
        if len(value) > self.max_length:
            message = f"must have at most {self.max_length} characters"
            raise RejectedValueError(Code.TOO_LONG, message)
        if not value.isprintable():
            message = "must have printable characters only"
            raise RejectedValueError(Code.MALFORMED, message)
        return value

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return f"text, {self.min_length} to {self.max_length} characters"


class Name(Option[str]):
    """A name of letters, digits, `-` and `_`, and `.` if `dotted`."""

    __slots__ = ("dotted",)

    def __init__(
        self,
        summary: str = "",
        default: str | None = None,
        dotted: bool = False,
    ) -> None:
        super().__init__(summary, default)
        self.dotted = dotted

    def convert(self, value: object) -> str:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise _wrong_type("a name", value)
        if len(value) > MAX_NAME_CHARACTERS:
            message = f"must have at most {MAX_NAME_CHARACTERS} characters"
            raise RejectedValueError(Code.TOO_LONG, message)
        pattern = _DOTTED_NAME if self.dotted else _NAME
        if pattern.fullmatch(value) is None:
            message = f"{shown(value)} is not a {self.describe()}"
            raise RejectedValueError(Code.MALFORMED, message)
        return value

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        marks = "`-`, `_` and `.`" if self.dotted else "`-` and `_`"
        return f"name of letters, digits, {marks}"


class KeyHash(Option[str]):
    """The SHA-256 digest of a key.

    Messages don't show the value, because it can be a key given in clear by
    mistake.
    """

    __slots__ = ()

    def convert(self, value: object) -> str:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise _wrong_type(self.describe(), value)
        if _KEY_HASH.fullmatch(value) is None:
            message = f"must be a {self.describe()}"
            raise RejectedValueError(Code.MALFORMED, message)
        return value

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return "SHA-256 digest in 64 lower-case hexadecimal digits"


class Integer(Option[int]):
    """An integer within bounds."""

    __slots__ = ("maximum", "minimum")

    def __init__(
        self,
        summary: str = "",
        default: int | None = None,
        minimum: int = 0,
        maximum: int = MAX_INTEGER,
    ) -> None:
        super().__init__(summary, default)
        self.minimum = minimum
        self.maximum = maximum

    def convert(self, value: object) -> int:
        """Return the checked value, or raise `RejectedValueError`."""
        if isinstance(value, bool) or not isinstance(value, int):
            raise _wrong_type("an integer", value)
        if not self.minimum <= value <= self.maximum:
            message = f"must be from {self.minimum} to {self.maximum}"
            raise RejectedValueError(Code.OUT_OF_RANGE, message)
        return value

    def parse(self, text: str) -> object:
        """Return the value that a flag or environment variable stands for."""
        if _INTEGER_TEXT.fullmatch(text.strip()) is None:
            return text
        return int(text)

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        if self.maximum == MAX_INTEGER:
            return f"integer, at least {self.minimum}"
        return f"integer, {self.minimum} to {self.maximum}"


class Number(Option[float]):
    """A finite number within bounds, which are exclusive if `exclusive`."""

    __slots__ = ("exclusive", "maximum", "minimum")

    def __init__(
        self,
        summary: str = "",
        default: float | None = None,
        minimum: float = 0.0,
        maximum: float = 1e9,
        exclusive: bool = False,
    ) -> None:
        super().__init__(summary, default)
        self.minimum = minimum
        self.maximum = maximum
        self.exclusive = exclusive

    def convert(self, value: object) -> float:
        """Return the checked value, or raise `RejectedValueError`."""
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise _wrong_type("a number", value)
        if not self._is_within(value):
            message = f"must be a {self.describe()}"
            raise RejectedValueError(Code.OUT_OF_RANGE, message)
        return float(value)

    def _is_within(self, value: float) -> bool:
        if isinstance(value, float) and not math.isfinite(value):
            return False
        if self.exclusive:
            return self.minimum < value < self.maximum
        return self.minimum <= value <= self.maximum

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        low, high = f"{self.minimum:g}", f"{self.maximum:g}"
        if self.exclusive:
            return f"number above {low} and below {high}"
        return f"number from {low} to {high}"


class Choice(Option[str]):
    """One of several texts."""

    __slots__ = ("choices",)

    def __init__(
        self,
        choices: tuple[str, ...],
        summary: str = "",
        default: str | None = None,
    ) -> None:
        super().__init__(summary, default)
        self.choices = choices

    def convert(self, value: object) -> str:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise _wrong_type("a text", value)
        if value not in self.choices:
            hint = suggestion(value, self.choices)
            message = f"{shown(value)} is not {self.describe()}{hint}"
            raise RejectedValueError(Code.NOT_A_CHOICE, message)
        return value

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return "one of " + ", ".join(f"`{choice}`" for choice in self.choices)


class Flag(Option[bool]):
    """True or false."""

    __slots__ = ()

    def convert(self, value: object) -> bool:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, bool):
            raise _wrong_type("true or false", value)
        return value

    def parse(self, text: str) -> object:
        """Return the value that a flag or environment variable stands for."""
        return {"true": True, "false": False}.get(text.strip().lower(), text)

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return "`true` or `false`"


class IpAddress(Option[str]):
    """An IP address to listen at."""

    __slots__ = ()

    def convert(self, value: object) -> str:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise _wrong_type(self.describe(), value)
        try:
            return str(ipaddress.ip_address(value))
        except ValueError:
            message = f"{shown(value)} is not an IP address"
            raise RejectedValueError(Code.MALFORMED, message) from None

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return "IP address"


class Address(Option[str]):
    """An IP address with a port; IPv6 addresses stand in brackets."""

    __slots__ = ()

    def convert(self, value: object) -> str:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise _wrong_type(self.describe(), value)
        match = _ADDRESS.fullmatch(value)
        if match is None or not self._is_valid(match):
            message = f"{shown(value)} is not an {self.describe()}"
            raise RejectedValueError(Code.MALFORMED, message)
        return value

    @staticmethod
    def _is_valid(match: re.Match[str]) -> bool:
        try:
            if match.group(1) is not None:
                ipaddress.IPv6Address(match.group(1))
            else:
                ipaddress.IPv4Address(match.group(2))
        except ValueError:
            return False
        return 0 < int(match.group(3)) < 65_536

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return (
            "IP address and port, such as `10.0.0.1:7003` or `[fd00::1]:7003`"
        )


class Url(Option[str]):
    """The base URL of an HTTP service."""

    __slots__ = ()

    def convert(self, value: object) -> str:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise _wrong_type(self.describe(), value)
        if _VISIBLE_ASCII.fullmatch(value) is None or not self._is_base(value):
            # The value is not shown, because a URL can contain a password.
            message = f"must be an {self.describe()}"
            raise RejectedValueError(Code.MALFORMED, message)
        return value.rstrip("/")

    @staticmethod
    def _is_base(value: str) -> bool:
        try:
            parts = urllib.parse.urlsplit(value)
            port = parts.port
        except ValueError:
            return False
        if parts.scheme not in ("http", "https") or not parts.hostname:
            return False
        if parts.username is not None or parts.query or parts.fragment:
            return False
        return port is None or port > 0

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return "HTTP or HTTPS URL without user, query and fragment"


class Secret:
    """A text that is never printed."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> str:
        """Return the text."""
        return self._text

    def __repr__(self) -> str:
        return "Secret(<redacted>)"

    def __str__(self) -> str:
        return "<redacted>"


class SecretText(Option[Secret]):
    """A text that is not shown in messages, logs and the reference."""

    __slots__ = ("min_length",)

    def __init__(self, summary: str = "", min_length: int = 1) -> None:
        super().__init__(summary)
        self.min_length = min_length

    def convert(self, value: object) -> Secret:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise _wrong_type("a text", value)
        if len(value) < self.min_length:
            message = f"must have at least {self.min_length} characters"
            raise RejectedValueError(Code.TOO_SHORT, message)
        if _VISIBLE_ASCII.fullmatch(value) is None:
            message = "must have visible ASCII characters without spaces only"
            raise RejectedValueError(Code.MALFORMED, message)
        return Secret(value)

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return f"secret, at least {self.min_length} visible ASCII characters"


class ListOf(Option[list[T]]):
    """A list of values that one option accepts."""

    __slots__ = ("item", "min_items", "unique")

    def __init__(
        self,
        item: Option[T],
        summary: str = "",
        default: list[T] | None = None,
        min_items: int = 0,
        unique: bool = False,
    ) -> None:
        super().__init__(summary, default)
        self.item = item
        self.min_items = min_items
        self.unique = unique

    def check(self, value: object, path: str, errors: Errors) -> list[T] | None:
        """Return the checked items, or None if any was left out.

        A shorter list would give wrong indices in later messages.
        """
        if not isinstance(value, list):
            _record(errors, path, _wrong_type("a list", value))
            return None
        if len(value) < self.min_items:
            message = f"must have at least {self.min_items} items"
            add_error(errors, path, Code.TOO_FEW, message)
        checked: list[T] = []
        seen: set[object] = set()
        for index, raw in enumerate(value):
            item_path = f"{path}[{index}]"
            item = self.item.check(raw, item_path, errors)
            if item is None:
                continue
            if self.unique and item in seen:
                message = "appears earlier in the list"
                add_error(errors, item_path, Code.DUPLICATE, message)
                continue
            if self.unique:
                seen.add(item)
            checked.append(item)
        return checked if len(checked) == len(value) else None

    def parse(self, text: str) -> object:
        """Return the value that a flag or environment variable stands for."""
        parts = [part.strip() for part in text.split(",") if part.strip()]
        return [self.item.parse(part) for part in parts]

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        least = f", at least {self.min_items}" if self.min_items else ""
        return f"list of: {self.item.describe()}{least}"


class MappingOf(Option[dict[str, T]]):
    """An object whose keys are names and whose values one option accepts."""

    __slots__ = ("item", "key", "min_items")

    def __init__(
        self,
        item: Option[T],
        summary: str = "",
        default: dict[str, T] | None = None,
        min_items: int = 0,
    ) -> None:
        super().__init__(summary, default)
        self.key = Name()
        self.item = item
        self.min_items = min_items

    def check(
        self, value: object, path: str, errors: Errors
    ) -> dict[str, T] | None:
        """Return the checked items, or None if any was left out.

        A smaller mapping would make references to the rest look unknown.
        """
        if not isinstance(value, dict):
            _record(errors, path, _wrong_type("an object", value))
            return None
        if len(value) < self.min_items:
            message = f"must have at least {self.min_items} entries"
            add_error(errors, path, Code.TOO_FEW, message)
        checked: dict[str, T] = {}
        for raw_key, raw in value.items():
            item_path = field_path(path, raw_key)
            key = self.key.check(raw_key, item_path, errors)
            item = self.item.check(raw, item_path, errors)
            if key is not None and item is not None:
                checked[key] = item
        return checked if len(checked) == len(value) else None

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        least = f", at least {self.min_items}" if self.min_items else ""
        return f"object of name to: {self.item.describe()}{least}"


class Section:
    """A group of options; subclasses declare them as class attributes.

    An instance has the values that passed their checks, so that checks
    across fields run even if other fields are invalid.
    """

    __slots__ = ("_values",)

    def __init__(self, values: dict[str, object]) -> None:
        self._values = values

    @classmethod
    def options(cls) -> dict[str, Option[Any]]:
        """Return the declared options by name, in order of declaration."""
        found: dict[str, Option[Any]] = {}
        for name, attribute in vars(cls).items():
            if isinstance(attribute, Option):
                found[name] = attribute
        return found

    def value(self, name: str) -> object:
        """Return a checked value.

        Raises:
            KeyError: The field is invalid.
        """
        return self._values[name]

    def has(self, *names: str) -> bool:
        """Return whether all these fields are valid."""
        return all(name in self._values for name in names)

    def check_fields(self, path: str, errors: Errors) -> None:
        """Record the problems that concern several fields."""


class Nested(Option[S]):
    """An object described by a section."""

    __slots__ = ("section",)

    def __init__(
        self,
        section: type[S],
        summary: str = "",
        default: S | None = None,
    ) -> None:
        super().__init__(summary, default)
        self.section = section

    def check(self, value: object, path: str, errors: Errors) -> S | None:
        """Return the section with its valid fields, if it is an object."""
        if not isinstance(value, dict):
            _record(errors, path, _wrong_type("an object", value))
            return None
        return check_section(self.section, value, path, errors)

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return f"{self.section.__name__} object"

    def describe_default(self) -> str:
        """Return the default as it is written, for the reference."""
        return "" if self.default is None else "{}"


def check_section(
    section: type[S], raw: dict[str, object], path: str, errors: Errors
) -> S:
    """Check the fields of an object and the relations between them."""
    declared = section.options()
    for key in raw:
        if key in declared:
            continue
        hint = suggestion(str(key), declared, errors)
        message = f"this field does not exist{hint}"
        add_error(errors, field_path(path, key), Code.UNKNOWN_FIELD, message)
    values: dict[str, object] = {}
    for name, option in declared.items():
        item_path = field_path(path, name)
        if name not in raw:
            if option.required:
                message = "this field is required"
                add_error(errors, item_path, Code.REQUIRED, message)
            else:
                values[name] = option.default
            continue
        value = option.check(raw[name], item_path, errors)
        if value is not None:
            values[name] = value
    checked = section(values)
    checked.check_fields(path, errors)
    return checked
