"""Exceptions with stable error codes."""

from __future__ import annotations


class LaburnumpinError(Exception):
    """Base of all errors that carry a stable code."""

    code = "internal_error"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class FieldError:
    """An error of one field of a document, a request or the settings.

    `code` is stable; `message` is for people.
    """

    __slots__ = ("code", "field", "message")

    def __init__(self, field: str, code: str, message: str) -> None:
        self.field = field
        self.code = code
        self.message = message

    def __str__(self) -> str:
        return f"{self.field}: {self.message} [{self.code}]"


class ConfigurationError(LaburnumpinError):
    """A configuration or the settings are invalid; lists every problem."""

    code = "configuration_invalid"

    def __init__(self, errors: list[FieldError]) -> None:
        super().__init__("; ".join(str(error) for error in errors))
        self.errors = errors


class ConfigurationConflictError(LaburnumpinError):
    """Another change replaced the base version first."""

    code = "configuration_conflict"

    def __init__(self, base_version: int, current_version: int) -> None:
        super().__init__(
            f"the change is based on version {base_version}, but version "
            f"{current_version} is current"
        )
        self.base_version = base_version
        self.current_version = current_version


class PlatformUnavailableError(LaburnumpinError):
    """The platform refused the call or was not reached; it had no effect."""

    code = "platform_unavailable"


class PlatformAnswerLostError(LaburnumpinError):
    """The platform's answer was lost; the call may have taken effect."""

    code = "platform_answer_lost"


class DocumentError(LaburnumpinError):
    """A JSON document, server-sent event or HTTP header is malformed."""

    code = "document_invalid"


class MessageError(LaburnumpinError):
    """A peer message or handshake is invalid or of another protocol version."""

    code = "message_invalid"


class OperatorApiError(LaburnumpinError):
    """The operator API of an entry answered with an error."""

    def __init__(self, code: str, message: str, status: int) -> None:
        super().__init__(message)
        self.code = code
        self.status = status


class InputError(LaburnumpinError):
    """A file can't be read or written, or arguments contradict each other."""

    code = "input_invalid"


class ChangeIdReusedError(LaburnumpinError):
    """The change id belongs to a change with another document."""

    code = "change_id_reused"


class StoredRowError(LaburnumpinError):
    """A row of the table service doesn't have the documented form."""

    code = "stored_row_malformed"


class RolloutNotFoundError(LaburnumpinError):
    """There is no such roll-out, or it has ended."""

    code = "rollout_not_found"
