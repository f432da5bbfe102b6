"""VMs, starts, reclaim notices and prices, over time that is passed in."""

from __future__ import annotations

import dataclasses

from laburnumpin.core import events
from laburnumpin.standins import lagged


@dataclasses.dataclass(slots=True, frozen=True)
class StartOrder:
    """Body of `POST /vms`."""

    order_id: str
    service: str
    zone: str
    vm_class: str
    reclaimable: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Reclaim:
    """Body of `POST /admin/notices`: a VM, or all reclaimable ones of a zone.

    `vm_id` also reclaims an on-demand VM.
    """

    remaining_ms: int
    vm_id: str = ""
    zone: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Capacity:
    """Body of `POST /admin/capacity`: how many VMs may still be started."""

    zone: str
    vm_class: str
    vms: int


@dataclasses.dataclass(slots=True)
class _Vm:
    row: events.VmRow
    visible_ms: int
    gone_ms: int | None = None


class Cloud:
    """The VMs that exist, and the lagging list of them."""

    __slots__ = (
        "_capacity",
        "_counter",
        "_history",
        "_orders",
        "_spares",
        "_start_delay_ms",
        "_vms",
        "prices",
    )

    def __init__(self, now_ms: int, start_delay_ms: int = 0) -> None:
        self.prices: dict[str, float] = {}
        self._vms: dict[str, _Vm] = {}
        self._spares: list[events.VmRow] = []
        self._orders: dict[str, str] = {}
        self._capacity: dict[tuple[str, str], int] = {}
        self._counter = 0
        self._start_delay_ms = start_delay_ms
        self._history: lagged.Lagged[tuple[events.VmRow, ...]] = lagged.Lagged(
            now_ms, ()
        )

    def add(self, row: events.VmRow, now_ms: int) -> None:
        """Add a VM that runs, or replace its row."""
        self._vms[row.vm_id] = _Vm(row, now_ms)
        self._record(now_ms)

    def add_spare(self, row: events.VmRow) -> None:
        """Offer a running process as the VM of a later matching start."""
        self._spares.append(row)

    def limit(self, capacity: Capacity) -> None:
        """Bound the starts of a VM class in a zone from now on."""
        self._capacity[capacity.zone, capacity.vm_class] = capacity.vms

    def start(
        self, order: StartOrder, now_ms: int, refuse: bool = False
    ) -> str | None:
        """Start a VM; None when there is no capacity, or with `refuse`.

        A repeated order returns the VM that it started the first time.
        """
        known = self._orders.get(order.order_id)
        if known is not None:
            return known
        if refuse:
            return None
        place = (order.zone, order.vm_class)
        left = self._capacity.get(place)
        if left is not None:
            if left <= 0:
                return None
            self._capacity[place] = left - 1
        row = self._take_spare(order) or self._new_row(order, now_ms)
        visible_ms = now_ms + self._start_delay_ms
        self._vms[row.vm_id] = _Vm(row, visible_ms)
        self._orders[order.order_id] = row.vm_id
        self._record(now_ms)
        return row.vm_id

    def stop(self, vm_id: str, now_ms: int) -> bool:
        """Remove a VM; return whether it existed."""
        if self._vms.pop(vm_id, None) is None:
            return False
        self._record(now_ms)
        return True

    def reclaim(self, order: Reclaim, now_ms: int) -> tuple[str, ...]:
        """Give notice; return the VMs that are concerned."""
        vm_ids = []
        for vm in self._vms.values():
            if not _concerns(order, vm.row):
                continue
            vm.row = dataclasses.replace(vm.row, leaving=True)
            vm.gone_ms = now_ms + order.remaining_ms
            vm_ids.append(vm.row.vm_id)
        self._record(now_ms)
        return tuple(vm_ids)

    def advance(self, now_ms: int) -> None:
        """Remove reclaimed VMs whose time is over and show started ones."""
        for vm_id, vm in list(self._vms.items()):
            if vm.gone_ms is not None and vm.gone_ms <= now_ms:
                del self._vms[vm_id]
        self._record(now_ms)

    def notices(self, now_ms: int) -> tuple[events.Notice, ...]:
        """Return the notices whose VM still exists."""
        notices = []
        for vm in self._vms.values():
            if vm.gone_ms is None or vm.gone_ms <= now_ms:
                continue
            row = vm.row
            notices.append(
                events.Notice(row.vm_id, row.incarnation, vm.gone_ms - now_ms)
            )
        return tuple(notices)

    def vms(self, now_ms: int, lag_ms: int) -> tuple[events.VmRow, ...]:
        """Return the list as it was `lag_ms` ago."""
        self.advance(now_ms)
        return self._history.read(now_ms, lag_ms).value

    def _record(self, now_ms: int) -> None:
        rows = []
        for vm in self._vms.values():
            if vm.visible_ms <= now_ms:
                rows.append(vm.row)
        current = tuple(rows)
        if current != self._history.newest().value:
            self._history.record(now_ms, current)

    def _take_spare(self, order: StartOrder) -> events.VmRow | None:
        for row in self._spares:
            if (row.service, row.zone) != (order.service, order.zone):
                continue
            if row.vm_class != order.vm_class:
                continue
            self._spares.remove(row)
            return dataclasses.replace(row, reclaimable=order.reclaimable)
        return None

    def _new_row(self, order: StartOrder, now_ms: int) -> events.VmRow:
        self._counter += 1
        return events.VmRow(
            f"vm-{self._counter}",
            now_ms,
            events.VmRole.UPSTREAM,
            order.zone,
            order.vm_class,
            order.reclaimable,
            leaving=False,
            service=order.service,
        )


def _concerns(order: Reclaim, row: events.VmRow) -> bool:
    if order.vm_id:
        return row.vm_id == order.vm_id
    return row.reclaimable and row.zone == order.zone
