"""The `config` commands."""

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
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 8.0


def read_document(path: str) -> str:
    """Return the text of a file, or of standard input for `-`.

    Raises:
        InputError: The file can't be read.
    """
    # One byte beyond the limit suffices for `load_document` to reject it.
    limit = loading.MAX_DOCUMENT_BYTES + 1
    try:
        if path == STANDARD_INPUT:
            raw = sys.stdin.buffer.read(limit)
        else:
            with pathlib.Path(path).open("rb") as file:
                raw = file.read(limit)
        # The cut at the limit can split a character.
        return raw.decode(errors="replace" if len(raw) == limit else "strict")
    except OSError as error:
        message = f"cannot read {path}: {error.strerror}"
        raise exceptions.InputError(message) from error
    except UnicodeDecodeError as error:
        message = f"cannot read {path}: it is not UTF-8 text"
        raise exceptions.InputError(message) from error


def check(path: str, as_json: bool) -> exits.Exit:
    """Check a document without an entry."""
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
    """Make a document the current configuration."""
    document = read_document(path)
    loading.load_document(document)
    if base_version is None:
        base_version = api.configuration().version
    if change_id is None:
        change_id = str(uuid.uuid4())
    applied = _apply(api, base_version, change_id, document, sleep)
    if as_json:
        output.print_json(dataclasses.asdict(applied))
        return
    print(f"applied as version {applied.version} (change {applied.change_id})")


def _apply(
    api: client.Client,
    base_version: int,
    change_id: str,
    document: str,
    sleep: Callable[[float], None],
) -> client.Applied:
    lost = False
    pause_s = FIRST_PAUSE_S
    for attempt in range(APPLY_ATTEMPTS):
        if attempt:
            sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)
        try:
            return api.apply(base_version, change_id, document)
        except exceptions.OperatorApiError as error:
            outcome = exits.code_for(error)
            lost = lost or outcome is exits.Exit.OUTCOME_UNKNOWN
            # After a lost answer, "not reached" says nothing about the
            # attempt before it, so only the same change id can resolve it.
            if not lost:
                raise
            if outcome not in _REPEATABLE:
                raise _unknown_outcome(
                    base_version, change_id, error.message
                ) from error
            last = error.message
    raise _unknown_outcome(base_version, change_id, last)


_REPEATABLE = (exits.Exit.OUTCOME_UNKNOWN, exits.Exit.UNAVAILABLE)


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
    found = _find(api, version)
    if as_json:
        output.print_json(dataclasses.asdict(found))
        return
    if raw:
        if found.document is None:
            raise _no_configuration()
        sys.stdout.write(found.document)
        return
    if found.document is None:
        print("version 0: no configuration was applied yet")
        return
    print(f"version {found.version} (change {found.change_id})")
    print(found.document)


def history(api: client.Client, as_json: bool) -> None:
    """Print the versions and the changes that made them."""
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
    """Print the fields that differ.

    Compares the current or `from_version` with a file, `to_version` or, if
    neither is given, the current version.
    """
    if path is not None and to_version is not None:
        message = "give either a file or --to, not both"
        raise exceptions.InputError(message)
    before = _find(api, from_version).document
    if path is None:
        after = _find(api, to_version).document
    else:
        after = read_document(path)
        loading.load_document(after)
    found = changes.compare(before, after)
    if as_json:
        items = [dataclasses.asdict(change) for change in found]
        output.print_json({"changes": items})
        return
    for change in found:
        print(change)


def _find(api: client.Client, version: int | None) -> client.Version:
    return api.configuration() if version is None else api.version(version)


def _no_configuration() -> exceptions.OperatorApiError:
    message = "no configuration was applied yet"
    return exceptions.OperatorApiError("not_found", message, 404)
