"""Field errors: codes, paths and messages."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
import difflib
import enum
import itertools
import re

from laburnumpin import exceptions

Errors = list[exceptions.FieldError]

MAX_PRINTABLE_CHARACTERS = 60
MAX_NAME_CHARACTERS = 64
MAX_ERRORS_WITH_HINTS = 50
MAX_HINT_CANDIDATES = 500

# No `/`, because names become parts of URL paths and of table keys.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]*")


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
    """Append an error of the field at `path`."""
    errors.append(exceptions.FieldError(path, code.value, message))


def printable(value: object) -> str:
    """Return a value as printable ASCII, truncated, for messages and paths."""
    text = ascii(value)
    if len(text) <= MAX_PRINTABLE_CHARACTERS:
        return text
    return text[: MAX_PRINTABLE_CHARACTERS - 3] + "..."


def field_path(path: str, key: object) -> str:
    """Return the path of a field of the object at `path`."""
    if not isinstance(key, str) or len(key) > MAX_NAME_CHARACTERS:
        return f"{path}[{printable(key)}]"
    if NAME_PATTERN.fullmatch(key) is None:
        return f"{path}[{printable(key)}]"
    return f"{path}.{key}" if path else key


def suggestion(
    name: str, known_names: Collection[str], errors: Sequence[object] = ()
) -> str:
    """Return a hint at the most similar known name, or "" without one.

    Returns no hints after `MAX_ERRORS_WITH_HINTS` errors, because the search
    compares the name with up to `MAX_HINT_CANDIDATES` known names.
    """
    if len(errors) >= MAX_ERRORS_WITH_HINTS:
        return ""
    candidates = list(itertools.islice(known_names, MAX_HINT_CANDIDATES))
    close = difflib.get_close_matches(name[:MAX_NAME_CHARACTERS], candidates, 1)
    return f"; did you mean {close[0]!r}?" if close else ""


def type_name(value: object) -> str:
    """Return the name of the JSON type of a value, with its article."""
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "a boolean"
    if isinstance(value, (int, float)):
        return "a number"
    if isinstance(value, str):
        return "a string"
    if isinstance(value, list):
        return "an array"
    if isinstance(value, dict):
        return "an object"
    return f"a {type(value).__name__}"


class RejectedValueError(Exception):
    """An option rejected a value; has the code and message of the error."""

    def __init__(self, code: Code, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


def wrong_type(expected: str, value: object) -> RejectedValueError:
    """Return the rejection of a value of another type than expected."""
    message = f"must be {expected}, not {type_name(value)}"
    return RejectedValueError(Code.WRONG_TYPE, message)


def add_rejection(
    errors: Errors, path: str, rejection: RejectedValueError
) -> None:
    """Append the rejection of the field at `path` to the errors."""
    add_error(errors, path, rejection.code, rejection.message)
