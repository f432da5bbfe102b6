"""Decodes configurations, ahead of their use where that takes long."""

from __future__ import annotations

import anyio

from laburnumpin import exceptions
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.configurations import decoded
from laburnumpin.forwarding.configurations import pacing
from laburnumpin.forwarding.configurations import values

# Rejected values whose error is kept.
MAX_REJECTED = 8


class ConfigurationReader:
    """Decodes configurations; each takes what is unchanged from the last one.

    The decoded configuration in force and the newest one that was prepared are
    kept, so that applying a prepared one takes no further decoding.
    """

    __slots__ = (
        "_base",
        "_documents",
        "_large_values",
        "_lock",
        "_max_bytes",
        "_prepared",
        "_rejected",
        "_retired",
    )

    def __init__(
        self,
        documents: interfaces.Documents,
        large_values: values.LargeValues,
        max_bytes: int,
    ) -> None:
        self._documents = documents
        self._large_values = large_values
        self._max_bytes = max_bytes
        self._base: decoded.Configuration | None = None
        self._prepared: decoded.Configuration | None = None
        # By the hash of the value.
        self._rejected: dict[bytes, exceptions.DocumentError] = {}
        # Dropped at once, a large one would block the event loop.
        self._retired: list[decoded.Configuration] = []
        # Two decodings at once would take the memory of both.
        self._lock = anyio.Lock()

    async def prepare(self, rows: tuple[interfaces.Row, ...]) -> None:
        """Decode a configuration that `read` will need, in slices."""
        async with self._lock:
            await self.release()
            await self._large_values.add(
                row.value for row in rows if self._may_hash(row)
            )
            if self._find_rejected(rows) is not None:
                return
            try:
                self._check_size(rows)
                found = await pacing.run(
                    self._documents.deployment_steps(rows, self._known())
                )
            except exceptions.DocumentError as error:
                self._note_rejected(rows, error)
                return
            if found is not None and found is not self._base:
                self._prepared = found

    def read(
        self, rows: tuple[interfaces.Row, ...]
    ) -> deployment.Deployment | None:
        """Return the configuration in the operator's rows, if there is one.

        Raises:
            DocumentError: It is invalid or too large.
        """
        rejected = self._find_rejected(rows)
        if rejected is not None:
            raise rejected
        try:
            self._check_size(rows)
            found = pacing.run_at_once(
                self._documents.deployment_steps(rows, self._known())
            )
        except exceptions.DocumentError as error:
            self._note_rejected(rows, error)
            raise
        if found is None:
            return None
        if found is not self._base:
            self._prepared = found
        return found.deployment

    def set_base(self, configuration: deployment.Deployment) -> None:
        """Set the configuration in force."""
        found = self._prepared
        if found is not None and found.deployment is configuration:
            if self._base is not None:
                self._retired.append(self._base)
            self._base, self._prepared = found, None

    async def release(self) -> None:
        """Drop the configurations that are no longer in force, in slices."""
        retired, self._retired = self._retired, []
        await pacing.run(decoded.release_steps(retired))

    def is_rejected(self, value_hash: bytes | None) -> bool:
        """Return whether a value was rejected before."""
        return value_hash is not None and value_hash in self._rejected

    def _check_size(self, rows: tuple[interfaces.Row, ...]) -> None:
        for row in rows:
            if row.value is None or len(row.value) <= self._max_bytes:
                continue
            if self._documents.is_configuration(row.key):
                raise untrusted.MalformedError("", "too_large")

    def _known(self) -> list[decoded.Configuration]:
        found = [self._base, self._prepared]
        return [known for known in found if known is not None]

    def _may_hash(self, row: interfaces.Row) -> bool:
        value = row.value
        if value is None or not values.is_large(value):
            return False
        return len(value) <= self._max_bytes

    def _find_rejected(
        self, rows: tuple[interfaces.Row, ...]
    ) -> exceptions.DocumentError | None:
        if not self._rejected:
            return None
        for row in rows:
            if row.value is None or not self._may_hash(row):
                continue
            found = self._rejected.get(self._large_values.hash_of(row.value))
            if found is not None:
                return found
        return None

    def _note_rejected(
        self,
        rows: tuple[interfaces.Row, ...],
        error: exceptions.DocumentError,
    ) -> None:
        for row in rows:
            if row.value is None or not self._may_hash(row):
                continue
            if not self._documents.is_configuration(row.key):
                continue
            if len(self._rejected) >= MAX_REJECTED:
                del self._rejected[next(iter(self._rejected))]
            self._rejected[self._large_values.hash_of(row.value)] = error
