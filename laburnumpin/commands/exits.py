"""Exit codes of the command line."""

from __future__ import annotations

import enum

from laburnumpin import exceptions


class Exit(enum.IntEnum):
    """Exit codes of commands; typer itself exits with 2 for a usage error."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    OUTCOME_UNKNOWN = 6
    REFUSED = 7
    NOT_FOUND = 8


MEANINGS = {
    Exit.OK: "The command did what it says.",
    Exit.FAILED: "An unexpected failure; the traceback belongs in a report.",
    Exit.USAGE: "The command line is wrong or an input can't be read.",
    Exit.INVALID: "A configuration or the settings are invalid.",
    Exit.CONFLICT: "Another operator changed the configuration first.",
    Exit.UNAVAILABLE: "The entry or the platform was not reached; nothing "
    "was done.",
    Exit.OUTCOME_UNKNOWN: "The answer was lost; the change may have taken "
    "effect. Repeat it with the change id that the message names.",
    Exit.REFUSED: "The entry refused the call, for example for a wrong key.",
    Exit.NOT_FOUND: "There is no such version, request or roll-out.",
}

# A change of a row that another operator has changed meanwhile.
ROW_CONFLICT = "transaction_conflict"
# Codes of `exceptions.OperatorApiError` that the client sets, not the entry.
ENTRY_UNREACHABLE = "entry_unreachable"
ANSWER_LOST = "answer_lost"
# Other codes give `REFUSED`, or `NOT_FOUND` with status 404.
_BY_CODE = {
    ENTRY_UNREACHABLE: Exit.UNAVAILABLE,
    exceptions.PlatformUnavailableError.code: Exit.UNAVAILABLE,
    exceptions.RolloutNotFoundError.code: Exit.NOT_FOUND,
    ROW_CONFLICT: Exit.CONFLICT,
    ANSWER_LOST: Exit.OUTCOME_UNKNOWN,
    exceptions.PlatformAnswerLostError.code: Exit.OUTCOME_UNKNOWN,
}
_HTTP_NOT_FOUND = 404


def code_for(error: exceptions.LaburnumpinError) -> Exit:
    """Return the exit code of a command that failed with `error`."""
    if isinstance(error, exceptions.InputError):
        return Exit.USAGE
    if isinstance(error, exceptions.ConfigurationError):
        return Exit.INVALID
    if isinstance(error, exceptions.ConfigurationConflictError):
        return Exit.CONFLICT
    if isinstance(error, exceptions.OperatorApiError):
        if error.status == _HTTP_NOT_FOUND:
            return Exit.NOT_FOUND
        return _BY_CODE.get(error.code, Exit.REFUSED)
    return _BY_CODE.get(error.code, Exit.FAILED)
