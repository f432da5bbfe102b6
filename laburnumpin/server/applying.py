"""Apply a configuration through the platform's table service."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

import anyio

from laburnumpin import exceptions
from laburnumpin.core import applying
from laburnumpin.core import store
from laburnumpin.core import versions
from laburnumpin.server import platform_client

# The backoff between 6 attempts adds up to 3.1 s. It stays below the client's
# timeout of 10 s, so that operators get the error of the entry instead of a
# timeout.
MAX_APPLY_ATTEMPTS = 6
INITIAL_BACKOFF_S = 0.1


class TableService(Protocol):
    """The calls to the table service that a change of configuration needs.

    Both raise `PlatformUnavailableError` if nothing was done, and
    `PlatformAnswerLostError` if the call may have taken effect.
    """

    async def transact(
        self,
        conditions: tuple[store.Condition, ...],
        writes: tuple[store.Write, ...],
    ) -> platform_client.Committed | platform_client.Conflicted:
        """Write the rows if all conditions hold."""

    async def read_rows(
        self, table: str, keys: tuple[str, ...]
    ) -> tuple[store.Row, ...]:
        """Return the rows at one point in time; absent ones have version 0."""


async def apply(
    tables: TableService,
    base_version: int,
    change_id: str,
    document: str,
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
) -> int:
    """Apply a change and return its version.

    The call is idempotent: a repetition with the same change id and document
    returns the version of the first call.

    Raises:
        ConfigurationError: The change is invalid.
        ConfigurationConflictError: Another change was applied first.
        ChangeIdReusedError: The change id belongs to another document.
        PlatformUnavailableError: The change was not applied.
        PlatformAnswerLostError: The change may have been or may still be
            applied; a repetition with the same change id resolves it.
        StoredRowError: A stored row doesn't have the documented form.
    """
    applying.check(base_version, change_id, document)
    attempts = _ChangeAttempts(tables, base_version, change_id, document)
    for attempt_number in range(MAX_APPLY_ATTEMPTS):
        if attempt_number:
            await sleep(INITIAL_BACKOFF_S * 2 ** (attempt_number - 1))
        version = await attempts.run_once()
        if version is not None:
            return version
    raise attempts.exhausted_error()


class _ChangeAttempts:
    """Repeated attempts to apply one change.

    Remembers whether an earlier attempt may still take effect.
    """

    __slots__ = ("_arguments", "_outcome_unknown", "_tables")

    def __init__(
        self,
        tables: TableService,
        base_version: int,
        change_id: str,
        document: str,
    ) -> None:
        self._tables = tables
        self._arguments = (base_version, change_id, document)
        # Whether a transaction with a lost answer may still take effect.
        self._outcome_unknown = False

    async def run_once(self) -> int | None:
        """Return the version, or None while the change may not be applied."""
        base_version, change_id, document = self._arguments
        try:
            rows = await self._tables.read_rows(
                versions.TABLE, applying.keys(change_id)
            )
        except (
            exceptions.PlatformUnavailableError,
            exceptions.PlatformAnswerLostError,
        ) as error:
            self._raise_unless_outcome_unknown(error)
            return None
        planned = applying.plan(base_version, change_id, document, rows)
        if isinstance(planned, applying.Transaction):
            return await self._transact(planned)
        return _version_or_raise(planned, change_id)

    async def _transact(self, planned: applying.Transaction) -> int | None:
        try:
            result = await self._tables.transact(
                planned.conditions, planned.writes
            )
        except exceptions.PlatformAnswerLostError:
            self._outcome_unknown = True
            return None
        except exceptions.PlatformUnavailableError as error:
            self._raise_unless_outcome_unknown(error)
            return None
        # Either another operator's change or a delayed transaction of an
        # earlier attempt caused the conflict; the next read shows which.
        if isinstance(result, platform_client.Conflicted):
            return None
        return planned.version

    def _raise_unless_outcome_unknown(
        self, error: exceptions.LaburnumpinError
    ) -> None:
        if not self._outcome_unknown:
            raise exceptions.PlatformUnavailableError(error.message) from error

    def exhausted_error(self) -> exceptions.LaburnumpinError:
        """Return the error to raise after the last attempt."""
        if self._outcome_unknown:
            message = (
                "the answer of the platform was lost; the change may be applied"
            )
            return exceptions.PlatformAnswerLostError(message)
        message = (
            "the table service reports a conflict that its rows don't show"
        )
        return exceptions.PlatformUnavailableError(message)


def _version_or_raise(
    planned: applying.Applied | applying.Conflict | applying.ChangeIdReused,
    change_id: str,
) -> int:
    if isinstance(planned, applying.Applied):
        return planned.version
    if isinstance(planned, applying.Conflict):
        raise exceptions.ConfigurationConflictError(
            planned.base_version, planned.current_version
        )
    message = (
        f"change id {change_id} was used for version {planned.version} with "
        "another document"
    )
    raise exceptions.ChangeIdReusedError(message)
