"""Printing of results to standard output and failures to standard error."""

from __future__ import annotations

import json
import sys

from laburnumpin import exceptions


def print_json(value: object) -> None:
    """Print a value as JSON with sorted keys."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_fields(value: object, prefix: str = "") -> None:
    """Print one `path: value` line for each leaf of a JSON value."""
    if isinstance(value, dict) and value:
        for key, item in value.items():
            print_fields(item, f"{prefix}.{key}" if prefix else str(key))
        return
    if isinstance(value, list) and value:
        for index, item in enumerate(value):
            print_fields(item, f"{prefix}[{index}]")
        return
    print(f"{prefix}: {json.dumps(value)}")


def print_failure(error: exceptions.LaburnumpinError) -> None:
    """Print one line for a failure, or one for each invalid field."""
    if isinstance(error, exceptions.ConfigurationError) and error.errors:
        for problem in error.errors:
            print(f"error: {problem}", file=sys.stderr)
        return
    print(f"error: {error.message} [{error.code}]", file=sys.stderr)


def field_errors(error: exceptions.ConfigurationError) -> list[dict[str, str]]:
    """Return the errors of an invalid configuration as JSON values."""
    return [
        {
            "field": problem.field,
            "code": problem.code,
            "message": problem.message,
        }
        for problem in error.errors
    ]
