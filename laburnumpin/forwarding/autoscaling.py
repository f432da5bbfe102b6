"""How many upstreams of each kind are ordered where."""

from __future__ import annotations

import dataclasses

from laburnumpin.forwarding import state as forwarding_state


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """A wanted number of upstreams of one kind in a zone."""

    service: str
    zone: str
    count: int
    reclaimable: bool


class Autoscaler:
    """Follows the load with orders."""

    __slots__ = ()

    def orders(
        self, state: forwarding_state.ForwardingState, now_ms: int
    ) -> list[Order]:
        """Return the orders to place now."""
        return []

    def accepted(self, order: Order, now_ms: int) -> None:
        """Note that an order was accepted."""

    def refused(self, order: Order, now_ms: int) -> None:
        """Note that there are none to be had at the moment."""

    def lost(self, order: Order, now_ms: int) -> None:
        """Note that it is not known whether an order was accepted."""
