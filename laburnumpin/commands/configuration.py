"""The `config` commands: check, apply, show, history and diff."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import pathlib
import sys
import uuid

from laburnumpin import exceptions
from laburnumpin.commands import changes
from laburnumpin.commands import client
from laburnumpin.commands import exits
from laburnumpin.commands import output
from laburnumpin.config import loading

STANDARD_INPUT = "-"
APPLY_ATTEMPTS = 6
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0


def read_document(path: str) -> str:
    """Return the text of a file, or of standard input for `-`.

    Raises:
        InputError: The file can't be read.
    """
    # One byte over the limit is enough for `load_document` to reject the text.
    limit = loading.MAX_DOCUMENT_BYTES + 1
    try:
        if path == STANDARD_INPUT:
            raw = sys.stdin.buffer.read(limit)
        else:
            with pathlib.Path(path).open("rb") as file:
                raw = file.read(limit)
        # Truncation at the limit can split a character.
        return raw.decode(errors="replace" if len(raw) == limit else "strict")
    except OSError as error:
        message = f"cannot read {path}: {error.strerror}"
        raise exceptions.InputError(message) from error
    except UnicodeDecodeError as error:
        message = f"cannot read {path}: it is not UTF-8 text"
        raise exceptions.InputError(message) from error


def check(path: str, as_json: bool) -> exits.Exit:
    """Validate a document locally, without an entry.

    Raises:
        InputError: The file can't be read.
        ConfigurationError: The document is invalid and `as_json` is false.
    """
    document = read_document(path)
    try:
        loaded = loading.load_document(document)
    except exceptions.ConfigurationError as error:
        if not as_json:
            raise
        fields = output.field_errors(error)
        output.print_json({"valid": False, "errors": fields})
        return exits.Exit.INVALID
    if as_json:
        output.print_json({"valid": True, "errors": []})
        return exits.Exit.OK
    print(
        f"valid: deployment {loaded.name} with {len(loaded.zones)} zones, "
        f"{len(loaded.services)} services, {len(loaded.customers)} customers "
        f"and {len(loaded.placements)} placements"
    )
    return exits.Exit.OK


def apply(
    api: client.Client,
    path: str,
    base_version: int | None,
    change_id: str | None,
    as_json: bool,
    sleep: Callable[[float], None],
) -> None:
    """Apply a document as the next version after `base_version`.

    `base_version` defaults to the current version and `change_id` to a new
    id. A change whose response is lost is retried with the same id.

    Raises:
        InputError: The file can't be read.
        ConfigurationError: The document is invalid.
        ConfigurationConflictError: `base_version` is not current.
        OperatorApiError: The call failed, or its outcome is still unknown
            after all attempts.
    """
    document = read_document(path)
    loading.load_document(document)
    if base_version is None:
        base_version = api.configuration().version
    if change_id is None:
        change_id = str(uuid.uuid4())
    applied = _apply_with_retries(api, base_version, change_id, document, sleep)
    if as_json:
        output.print_json(dataclasses.asdict(applied))
        return
    print(f"applied as version {applied.version} (change {applied.change_id})")


def _apply_with_retries(
    api: client.Client,
    base_version: int,
    change_id: str,
    document: str,
    sleep: Callable[[float], None],
) -> client.Applied:
    outcome_unknown = False
    backoff_s = INITIAL_BACKOFF_S
    for attempt in range(APPLY_ATTEMPTS):
        if attempt:
            sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        try:
            return api.apply(base_version, change_id, document)
        except exceptions.OperatorApiError as error:
            outcome = exits.code_for(error)
            outcome_unknown = (
                outcome_unknown or outcome is exits.Exit.OUTCOME_UNKNOWN
            )
            # Once an answer was lost, an unreachable entry does not mean that
            # nothing was done: only a retry with the same change id can
            # resolve the outcome of the earlier attempt.
            if not outcome_unknown:
                raise
            if outcome not in _RETRYABLE:
                raise _unknown_outcome(
                    base_version, change_id, error.message
                ) from error
            last_message = error.message
    raise _unknown_outcome(base_version, change_id, last_message)


_RETRYABLE = (exits.Exit.OUTCOME_UNKNOWN, exits.Exit.UNAVAILABLE)


def _unknown_outcome(
    base_version: int, change_id: str, reason: str
) -> exceptions.OperatorApiError:
    message = (
        f"the change may have taken effect ({reason}); repeat the command "
        f"with --base-version {base_version} --change-id {change_id}"
    )
    return exceptions.OperatorApiError(exits.ANSWER_LOST, message, 0)


def show(
    api: client.Client, version: int | None, as_json: bool, raw: bool
) -> None:
    """Print the current or an earlier configuration."""
    selected = _fetch(api, version)
    if as_json:
        output.print_json(dataclasses.asdict(selected))
        return
    if raw:
        if selected.document is None:
            raise _no_configuration()
        sys.stdout.write(selected.document)
        return
    if selected.document is None:
        print("version 0: no configuration has been applied yet")
        return
    print(f"version {selected.version} (change {selected.change_id})")
    print(selected.document)


def history(api: client.Client, as_json: bool) -> None:
    """Print all versions with the ids of their changes."""
    versions = api.history()
    if as_json:
        items = [dataclasses.asdict(item) for item in versions]
        output.print_json({"versions": items})
        return
    for item in versions:
        print(f"{item.version:>8}  {item.change_id}")


def diff(
    api: client.Client,
    path: str | None,
    from_version: int | None,
    to_version: int | None,
    as_json: bool,
) -> None:
    """Print the fields that differ between two documents.

    The first is `from_version`, by default the current one. The second is the
    file at `path` or else `to_version`, by default the current one.

    Raises:
        InputError: Both `path` and `to_version` are given, or the file can't
            be read.
        ConfigurationError: The document in the file is invalid.
    """
    if path is not None and to_version is not None:
        message = "give either a file or --to, not both"
        raise exceptions.InputError(message)
    before = _fetch(api, from_version).document
    if path is None:
        after = _fetch(api, to_version).document
    else:
        after = read_document(path)
        loading.load_document(after)
    differences = changes.compare(before, after)
    if as_json:
        items = [dataclasses.asdict(change) for change in differences]
        output.print_json({"changes": items})
        return
    for change in differences:
        print(change)


def _fetch(api: client.Client, version: int | None) -> client.Version:
    return api.configuration() if version is None else api.version(version)


def _no_configuration() -> exceptions.OperatorApiError:
    message = "no configuration has been applied yet"
    return exceptions.OperatorApiError("not_found", message, 404)
