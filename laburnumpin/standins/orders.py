"""Handling of an engine's orders, optionally with fencing."""

from __future__ import annotations

import enum

from laburnumpin.standins import engine_documents


class OrderAnswer(enum.Enum):
    """The result of an order; the values of refusals are error codes."""

    ACCEPTED = "accepted"
    STALE_FENCING = "stale_fencing"
    BUSY = "busy"


class Orders:
    """The current model and role of an engine, and its accepted orders.

    `fencing_number` is that of the last order that was not refused as stale.
    Without fencing it can decrease.
    """

    __slots__ = (
        "_checks_fencing",
        "accepted",
        "fencing_number",
        "model",
        "model_version",
        "role",
    )

    def __init__(self, settings: engine_documents.EngineSettings) -> None:
        self._checks_fencing = settings.checks_fencing
        self.accepted: list[engine_documents.Order] = []
        self.fencing_number = 0
        self.model = settings.model
        self.model_version = settings.model_version
        self.role = settings.role

    def changes_model(self, order: engine_documents.Order) -> bool:
        """Return whether the order assigns another model or version."""
        current_model = (self.model, self.model_version)
        return (order.model, order.version) != current_model

    def apply(
        self, order: engine_documents.Order, is_busy: bool
    ) -> OrderAnswer:
        """Apply an order, unless it is stale or would interrupt generations.

        The fencing number of an order that is refused as busy counts too, so
        that with fencing an earlier holder of the lease cannot change the
        engine after the refusal.
        """
        is_stale = order.fencing_number < self.fencing_number
        if is_stale and self._checks_fencing:
            return OrderAnswer.STALE_FENCING
        self.fencing_number = order.fencing_number
        changes_assignment = (
            self.changes_model(order) or order.role != self.role
        )
        if changes_assignment and is_busy:
            return OrderAnswer.BUSY
        self.model = order.model
        self.model_version = order.version
        self.role = order.role
        self.accepted.append(order)
        return OrderAnswer.ACCEPTED
