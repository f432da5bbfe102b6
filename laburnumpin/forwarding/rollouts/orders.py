"""The operator's orders of roll-outs, read from its rows."""

from __future__ import annotations

from collections.abc import Mapping

from laburnumpin import exceptions
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding.rollouts import documents
from laburnumpin.forwarding.rollouts import model
from laburnumpin.server import logs

# Malformed orders whose version was logged.
MAX_LOGGED_ROWS = 64
MAX_LOGGED_KEY_CHARS = 200
# Services whose orders are followed at once.
MAX_ORDERS = 64


class OrderReader:
    """Turns the operator's rows into events for the reducer.

    A malformed row is counted and logged once for each version; an order that
    was read before stays in force.
    """

    __slots__ = (
        "_documents",
        "_known",
        "_logged",
        "_position",
        "_present",
        "_shell",
    )

    def __init__(
        self,
        shell: shells.Shell,
        rollout_documents: documents.RolloutDocuments,
    ) -> None:
        self._shell = shell
        self._documents = rollout_documents
        # Position of the row that was applied last, by service.
        self._known: dict[str, tuple[int, int]] = {}
        # Position of the operator's table, and the services with an order.
        self._position = interfaces.Position(0, 0)
        self._present: set[str] = set()
        # Versions of the malformed rows that were logged, by key.
        self._logged: dict[str, int] = {}

    def read(
        self,
        rows: Mapping[str, interfaces.Row],
        position: interfaces.Position,
    ) -> None:
        """Apply the orders among all rows of the operator.

        `position` is that of the table. After the restore of the store from an
        older copy, an order that is missing was not taken back: the operator
        writes it again.
        """
        if self._shell.state.rollout_settings is None:
            return
        if position.era < self._position.era:
            return
        orders: list[model.Order] = []
        present: set[str] = set()
        for key, row in rows.items():
            service = self._documents.ordered_service(key)
            if service is not None and row.value is not None:
                present.add(service)
        for service in self._known.keys() - present:
            del self._known[service]
        for key, row in rows.items():
            service = self._documents.ordered_service(key)
            if service is None or row.value is None:
                continue
            # A version of 0 is not of this entry's history of the store.
            written = (position.era, row.version)
            if not row.version or self._known.get(service, (0, 0)) >= written:
                continue
            order = self._decode(row, position.era)
            if order is None:
                continue
            if service not in self._known and len(self._known) >= MAX_ORDERS:
                self._log_malformed(row, "too_many_orders")
                continue
            self._known[service] = written
            orders.append(order)
        removed: set[str] = set()
        if position.era == self._position.era:
            removed = self._present - present
        self._present = present
        self._position = position
        self._apply(tuple(orders), removed)

    def check_withdrawn(self) -> None:
        """Apply that orders were taken back before they were read here.

        An entry may know them from their decisions alone.
        """
        if self._position.version:
            self._apply((), set())

    def _apply(
        self, orders: tuple[model.Order, ...], removed: set[str]
    ) -> None:
        withdrawn = self._withdrawn(removed)
        if orders or withdrawn:
            self._shell.apply(
                events.RolloutsOrdered(self._shell.now_ms(), orders, withdrawn)
            )

    def _withdrawn(self, removed: set[str]) -> tuple[str, ...]:
        """Return the services whose order was removed in the same era.

        `removed` are those whose row was there when the table was read before.
        """
        state = self._shell.state
        missing = []
        for service in state.rollouts.services():
            entry = state.rollout_book.by_service.get(service)
            if entry is None or service in self._present:
                continue
            written = interfaces.Position(
                entry.order.era, entry.order.row_version
            )
            is_older = written.version <= self._position.version
            is_read = written.era == self._position.era and is_older
            if is_read or service in removed:
                missing.append(service)
                self._known.pop(service, None)
        return tuple(missing)

    def _decode(self, row: interfaces.Row, era: int) -> model.Order | None:
        try:
            return self._documents.decode_order(row, era)
        except exceptions.DocumentError as error:
            self._log_malformed(row, error.message)
            return None

    def _log_malformed(self, row: interfaces.Row, reason: str) -> None:
        if self._logged.get(row.key) == row.version:
            return
        if len(self._logged) >= MAX_LOGGED_ROWS:
            del self._logged[next(iter(self._logged))]
        self._logged[row.key] = row.version
        self._shell.state.counters.increment("rollout_orders_malformed")
        logs.write(
            "rollout_order_malformed",
            "warning",
            {
                "row": row.key[:MAX_LOGGED_KEY_CHARS],
                "reason": reason,
                "row_version": row.version,
            },
        )
