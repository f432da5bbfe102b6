"""Typed options: descriptors that check and parse single values."""

from __future__ import annotations

import json
import math
import re
from typing import cast
from typing import Generic
from typing import overload
from typing import Self
from typing import TYPE_CHECKING
from typing import TypeVar

from laburnumpin.config import problems

if TYPE_CHECKING:
    from laburnumpin.config import sections

T = TypeVar("T")

# Integers above this lose precision in JSON readers that use doubles.
MAX_INTEGER = 2**53 - 1

_DOTTED_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")
_INTEGER_TEXT = re.compile(r"[+-]?[0-9]{1,18}")
VISIBLE_ASCII = re.compile(r"[!-~]+")


class Option(Generic[T]):
    """Descriptor of a field of a section; required unless it has a default.

    Access through an instance of the section returns the checked value.
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
    def __get__(self, instance: sections.Section, owner: type) -> T: ...

    def __get__(
        self, instance: sections.Section | None, owner: type
    ) -> Self | T:
        if instance is None:
            return self
        return cast("T", instance.value(self.name))

    @property
    def required(self) -> bool:
        """Return whether the field is required."""
        return self.default is None

    def convert(self, value: object) -> T:
        """Return the checked value, or raise `RejectedValueError`."""
        raise NotImplementedError

    def check(
        self, value: object, path: str, errors: problems.Errors
    ) -> T | None:
        """Return the checked value, or append to `errors` and return None."""
        try:
            return self.convert(value)
        except problems.RejectedValueError as rejection:
            problems.add_rejection(errors, path, rejection)
            return None

    def parse(self, text: str) -> object:
        """Return the raw value of a flag or variable, for `convert`."""
        return text

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        raise NotImplementedError

    def describe_default(self) -> str:
        """Return the default as JSON, or "" without one, for the reference."""
        return "" if self.default is None else json.dumps(self.default)


class Text(Option[str]):
    """A string of printable characters on one line."""

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
            raise problems.wrong_type("a string", value)
        if len(value) < self.min_length:
            message = f"must have at least {self.min_length} characters"
            raise problems.RejectedValueError(problems.Code.TOO_SHORT, message)
        if len(value) > self.max_length:
            message = f"must have at most {self.max_length} characters"
            raise problems.RejectedValueError(problems.Code.TOO_LONG, message)
        if not value.isprintable():
            message = "must contain printable characters only"
            raise problems.RejectedValueError(problems.Code.MALFORMED, message)
        return value

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return f"string, {self.min_length} to {self.max_length} characters"


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
            raise problems.wrong_type("a name", value)
        if len(value) > problems.MAX_NAME_CHARACTERS:
            message = (
                f"must have at most {problems.MAX_NAME_CHARACTERS} characters"
            )
            raise problems.RejectedValueError(problems.Code.TOO_LONG, message)
        pattern = _DOTTED_NAME if self.dotted else problems.NAME_PATTERN
        if pattern.fullmatch(value) is None:
            message = f"{problems.printable(value)} is not a {self.describe()}"
            raise problems.RejectedValueError(problems.Code.MALFORMED, message)
        return value

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        marks = "`-`, `_` and `.`" if self.dotted else "`-` and `_`"
        return f"name of letters, digits, {marks}"


class KeyHash(Option[str]):
    """The SHA-256 digest of a key.

    Messages omit the value, because it can be a plaintext key by mistake.
    """

    __slots__ = ()

    def convert(self, value: object) -> str:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise problems.wrong_type(self.describe(), value)
        if _KEY_HASH.fullmatch(value) is None:
            message = f"must be a {self.describe()}"
            raise problems.RejectedValueError(problems.Code.MALFORMED, message)
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
            raise problems.wrong_type("an integer", value)
        if not self.minimum <= value <= self.maximum:
            message = f"must be from {self.minimum} to {self.maximum}"
            raise problems.RejectedValueError(
                problems.Code.OUT_OF_RANGE, message
            )
        return value

    def parse(self, text: str) -> object:
        """Return the raw value of a flag or variable, for `convert`."""
        if _INTEGER_TEXT.fullmatch(text.strip()) is None:
            return text
        return int(text)

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        if self.maximum == MAX_INTEGER:
            return f"integer, at least {self.minimum}"
        return f"integer, {self.minimum} to {self.maximum}"


class Number(Option[float]):
    """A finite number within bounds; `exclusive` excludes both bounds."""

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
            raise problems.wrong_type("a number", value)
        if not self._is_within(value):
            message = f"must be a {self.describe()}"
            raise problems.RejectedValueError(
                problems.Code.OUT_OF_RANGE, message
            )
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
    """One of several strings."""

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
            raise problems.wrong_type("a string", value)
        if value not in self.choices:
            hint = problems.suggestion(value, self.choices)
            message = (
                f"{problems.printable(value)} is not {self.describe()}{hint}"
            )
            raise problems.RejectedValueError(
                problems.Code.NOT_A_CHOICE, message
            )
        return value

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return "one of " + ", ".join(f"`{choice}`" for choice in self.choices)


class Flag(Option[bool]):
    """A boolean."""

    __slots__ = ()

    def convert(self, value: object) -> bool:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, bool):
            raise problems.wrong_type("a boolean", value)
        return value

    def parse(self, text: str) -> object:
        """Return the raw value of a flag or variable, for `convert`."""
        return {"true": True, "false": False}.get(text.strip().lower(), text)

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return "`true` or `false`"


class Secret:
    """A string that `repr` and `str` redact."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> str:
        """Return the secret in plaintext."""
        return self._text

    def __repr__(self) -> str:
        return "Secret(<redacted>)"

    def __str__(self) -> str:
        return "<redacted>"


class SecretText(Option[Secret]):
    """A string that messages, logs and the reference omit."""

    __slots__ = ("min_length",)

    def __init__(self, summary: str = "", min_length: int = 1) -> None:
        super().__init__(summary)
        self.min_length = min_length

    def convert(self, value: object) -> Secret:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise problems.wrong_type("a string", value)
        if len(value) < self.min_length:
            message = f"must have at least {self.min_length} characters"
            raise problems.RejectedValueError(problems.Code.TOO_SHORT, message)
        if VISIBLE_ASCII.fullmatch(value) is None:
            message = "must contain visible ASCII characters only, no spaces"
            raise problems.RejectedValueError(problems.Code.MALFORMED, message)
        return Secret(value)

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return f"secret, at least {self.min_length} visible ASCII characters"
