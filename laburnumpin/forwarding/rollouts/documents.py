"""Protocol of the platform's documents on roll-outs."""

from __future__ import annotations

from typing import Protocol

from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding.rollouts import model


class RolloutDocuments(Protocol):
    """Translates the operator's orders and the reported states."""

    def ordered_service(self, key: str) -> str | None:
        """Return the service that a row of the operator orders to move.

        None for the other rows.
        """

    def decode_order(self, row: interfaces.Row, era: int) -> model.Order:
        """Return the order in a row that is present.

        Raises:
            DocumentError: The row is malformed.
        """

    def encode_state(self, decision: model.Decision) -> tuple[str, bytes]:
        """Return key and value of the row that reports a roll-out's state."""
