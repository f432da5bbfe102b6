"""Lists, mappings and sections of typed options."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

from laburnumpin.config import options
from laburnumpin.config import problems

T = TypeVar("T")
S = TypeVar("S", bound="Section")


class ListOf(options.Option[list[T]]):
    """An array whose items one option accepts."""

    __slots__ = ("item", "min_items", "unique")

    def __init__(
        self,
        item: options.Option[T],
        summary: str = "",
        default: list[T] | None = None,
        min_items: int = 0,
        unique: bool = False,
    ) -> None:
        super().__init__(summary, default)
        self.item = item
        self.min_items = min_items
        self.unique = unique

    def check(
        self, value: object, path: str, errors: problems.Errors
    ) -> list[T] | None:
        """Return the checked items, or None if any is invalid.

        Without the invalid items, the indices in later messages would be
        wrong.
        """
        if not isinstance(value, list):
            problems.add_rejection(
                errors, path, problems.wrong_type("an array", value)
            )
            return None
        if len(value) < self.min_items:
            message = f"must contain at least {self.min_items} items"
            problems.add_error(errors, path, problems.Code.TOO_FEW, message)
        checked: list[T] = []
        seen: set[object] = set()
        for index, raw in enumerate(value):
            item_path = f"{path}[{index}]"
            item = self.item.check(raw, item_path, errors)
            if item is None:
                continue
            if self.unique and item in seen:
                message = "appears earlier in the array"
                problems.add_error(
                    errors, item_path, problems.Code.DUPLICATE, message
                )
                continue
            if self.unique:
                seen.add(item)
            checked.append(item)
        return checked if len(checked) == len(value) else None

    def parse(self, text: str) -> object:
        """Return the raw items of a comma-separated flag or variable."""
        parts = [part.strip() for part in text.split(",") if part.strip()]
        return [self.item.parse(part) for part in parts]

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        minimum_note = f", at least {self.min_items}" if self.min_items else ""
        return f"array of: {self.item.describe()}{minimum_note}"


class MappingOf(options.Option[dict[str, T]]):
    """An object whose keys are names and whose values one option accepts."""

    __slots__ = ("item", "key", "min_items")

    def __init__(
        self,
        item: options.Option[T],
        summary: str = "",
        default: dict[str, T] | None = None,
        min_items: int = 0,
    ) -> None:
        super().__init__(summary, default)
        self.key = options.Name()
        self.item = item
        self.min_items = min_items

    def check(
        self, value: object, path: str, errors: problems.Errors
    ) -> dict[str, T] | None:
        """Return the checked items, or None if any is invalid.

        Without the invalid items, references to them would be reported as
        unknown.
        """
        if not isinstance(value, dict):
            problems.add_rejection(
                errors, path, problems.wrong_type("an object", value)
            )
            return None
        if len(value) < self.min_items:
            message = f"must contain at least {self.min_items} names"
            problems.add_error(errors, path, problems.Code.TOO_FEW, message)
        checked: dict[str, T] = {}
        for raw_key, raw in value.items():
            item_path = problems.field_path(path, raw_key)
            key = self.key.check(raw_key, item_path, errors)
            item = self.item.check(raw, item_path, errors)
            if key is not None and item is not None:
                checked[key] = item
        return checked if len(checked) == len(value) else None

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        minimum_note = f", at least {self.min_items}" if self.min_items else ""
        return (
            f"object that maps names to: {self.item.describe()}{minimum_note}"
        )


class Section:
    """A group of options; subclasses declare them as class attributes.

    An instance contains only the values that passed their checks, so that
    checks across fields can run even if other fields are invalid.
    """

    __slots__ = ("_values",)

    def __init__(self, values: dict[str, object]) -> None:
        self._values = values

    @classmethod
    def options(cls) -> dict[str, options.Option[Any]]:
        """Return the declared options by name, in order of declaration."""
        declared: dict[str, options.Option[Any]] = {}
        for name, attribute in vars(cls).items():
            if isinstance(attribute, options.Option):
                declared[name] = attribute
        return declared

    def value(self, name: str) -> object:
        """Return a checked value.

        Raises:
            KeyError: The field is invalid or missing.
        """
        return self._values[name]

    def has(self, *names: str) -> bool:
        """Return whether all these fields are valid."""
        return all(name in self._values for name in names)

    def check_fields(self, path: str, errors: problems.Errors) -> None:
        """Append the errors that involve several fields; for subclasses."""


class Nested(options.Option[S]):
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

    def check(
        self, value: object, path: str, errors: problems.Errors
    ) -> S | None:
        """Return the section with its valid fields; None if not an object."""
        if not isinstance(value, dict):
            problems.add_rejection(
                errors, path, problems.wrong_type("an object", value)
            )
            return None
        return check_section(self.section, value, path, errors)

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return f"{self.section.__name__} object"

    def describe_default(self) -> str:
        """Return the default as it is written, for the reference."""
        return "" if self.default is None else "{}"


def check_section(
    section: type[S], raw: dict[str, object], path: str, errors: problems.Errors
) -> S:
    """Return a section with the valid fields; append errors to `errors`."""
    declared = section.options()
    for key in raw:
        if key in declared:
            continue
        hint = problems.suggestion(str(key), declared, errors)
        message = f"this field does not exist{hint}"
        problems.add_error(
            errors,
            problems.field_path(path, key),
            problems.Code.UNKNOWN_FIELD,
            message,
        )
    values: dict[str, object] = {}
    for name, option in declared.items():
        item_path = problems.field_path(path, name)
        if name not in raw:
            if option.required:
                message = "this field is required"
                problems.add_error(
                    errors, item_path, problems.Code.REQUIRED, message
                )
            else:
                values[name] = option.default
            continue
        value = option.check(raw[name], item_path, errors)
        if value is not None:
            values[name] = value
    checked = section(values)
    checked.check_fields(path, errors)
    return checked
