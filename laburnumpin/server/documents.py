"""Strict conversion of JSON and CBOR values to data classes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import json
from typing import Any
from typing import get_args
from typing import get_origin
from typing import TypeVar

import cattrs

from laburnumpin import exceptions

_Target = TypeVar("_Target")

# The largest signed 64-bit integer, which stores and peers in other languages
# can represent.
MAX_INTEGER = 2**63 - 1


def new_converter() -> cattrs.Converter:
    """Return a converter that does not coerce types, except int to float.

    By default `cattrs` converts "5" to 5 and None to "None", which would
    hide malformed input.
    """
    converter = cattrs.Converter(detailed_validation=False)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook(bytes, _structure_bytes)
    converter.register_structure_hook_factory(
        _is_tuple, lambda target: _tuple_hook(converter, target)
    )
    return converter


def parse_object(text: str | bytes) -> dict[str, Any]:
    """Parse a JSON object.

    Raises:
        DocumentError: The text is not a JSON object.
    """
    try:
        value = json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise exceptions.DocumentError(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise exceptions.DocumentError("not a JSON object")
    return value


def get(document: Mapping[str, Any], field: str, target: type[_Target]) -> Any:
    """Return a field of a document as the type `target`.

    Raises:
        DocumentError: The field is missing or has another type.
    """
    if field not in document:
        raise exceptions.DocumentError(f"{field}: missing")
    return convert(document[field], target, field)


def convert(value: Any, target: type[_Target], name: str = "document") -> Any:
    """Return a parsed JSON value as the type `target`.

    Raises:
        DocumentError: The value does not fit the type.
    """
    try:
        return _converter.structure(value, target)
    except Exception as error:
        # `cattrs` does not wrap the errors of constructors and lookups.
        raise exceptions.DocumentError(
            f"{name}: {type(error).__name__}: {error}"
        ) from error


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def _structure_int(value: Any, _: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("not an integer")
    if abs(value) > MAX_INTEGER:
        raise ValueError("integer out of range")
    return value


def _structure_float(value: Any, _: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("not a number")
    return float(value)


def _structure_str(value: Any, _: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("not a string")
    return value


def _structure_bool(value: Any, _: Any) -> bool:
    if not isinstance(value, bool):
        raise TypeError("not a boolean")
    return value


def _structure_bytes(value: Any, _: Any) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError("not a byte string")
    return value


def _is_tuple(target: Any) -> bool:
    return get_origin(target) is tuple


def _tuple_hook(
    converter: cattrs.Converter, target: Any
) -> Callable[[Any, Any], tuple[Any, ...]]:
    # The hook of `cattrs` accepts any iterable: "ab" would become ("a", "b").
    element = get_args(target)[0]

    def structure(value: Any, _: Any) -> tuple[Any, ...]:
        if not isinstance(value, list | tuple):
            raise TypeError("not an array")
        return tuple(converter.structure(item, element) for item in value)

    return structure


_converter = new_converter()
