"""Simulation of the cloud API: VMs, starts, reclaim notices and prices.

The caller passes the current time to each method.
"""

from __future__ import annotations

import dataclasses

from laburnumpin.core import events
from laburnumpin.standins import lagged


@dataclasses.dataclass(slots=True, frozen=True)
class StartOrder:
    """Body of `POST /vms`; `order_id` makes the start idempotent."""

    order_id: str
    service: str
    zone: str
    vm_class: str
    reclaimable: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Reclaim:
    """Body of `POST /admin/notices`; announces the removal of VMs.

    With `vm_id` it applies to that VM, even an on-demand one; otherwise to
    all reclaimable VMs of `zone`. The VMs are removed after `remaining_ms`.
    """

    remaining_ms: int
    vm_id: str = ""
    zone: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Capacity:
    """Body of `POST /admin/capacity`.

    `vms` is the number of VMs of the class that may still be started in the
    zone.
    """

    zone: str
    vm_class: str
    vms: int


@dataclasses.dataclass(slots=True)
class _Vm:
    # The VM is listed from `listed_from_ms` on. A reclaimed VM is removed at
    # `removal_ms`.
    row: events.VmRow
    listed_from_ms: int
    removal_ms: int | None = None


class Cloud:
    """The VMs that exist, and a history from which delayed lists are read.

    Starts are unlimited for a zone and VM class until `limit_starts` sets
    their number. A started VM is listed after `start_delay_ms`. `prices` are
    prices per hour by zone and VM class.
    """

    __slots__ = (
        "_capacity",
        "_history",
        "_last_vm_number",
        "_spares",
        "_start_delay_ms",
        "_vm_ids_by_order",
        "_vms",
        "prices",
    )

    def __init__(self, now_ms: int, start_delay_ms: int = 0) -> None:
        self.prices: dict[str, float] = {}
        self._vms: dict[str, _Vm] = {}
        self._spares: list[events.VmRow] = []
        self._vm_ids_by_order: dict[str, str] = {}
        self._capacity: dict[tuple[str, str], int] = {}
        self._last_vm_number = 0
        self._start_delay_ms = start_delay_ms
        self._history: lagged.LaggedValue[tuple[events.VmRow, ...]] = (
            lagged.LaggedValue(now_ms, ())
        )

    def add(self, row: events.VmRow, now_ms: int) -> None:
        """Add a running VM, or replace it if its id is in use."""
        self._vms[row.vm_id] = _Vm(row, now_ms)
        self._record_list(now_ms)

    def add_spare(self, row: events.VmRow) -> None:
        """Reserve an already running VM for a later start.

        The first start with the same service, zone and VM class returns it.
        """
        self._spares.append(row)

    def limit_starts(self, capacity: Capacity) -> None:
        """Limit the further starts of a VM class in a zone."""
        self._capacity[capacity.zone, capacity.vm_class] = capacity.vms

    def start(
        self, order: StartOrder, now_ms: int, refuse: bool = False
    ) -> str | None:
        """Start a VM and return its id.

        Returns None when the capacity is used up or `refuse` is set. An
        order whose id was used before returns the VM that it started then.
        """
        started_vm_id = self._vm_ids_by_order.get(order.order_id)
        if started_vm_id is not None:
            return started_vm_id
        if refuse:
            return None
        capacity_key = (order.zone, order.vm_class)
        remaining_starts = self._capacity.get(capacity_key)
        if remaining_starts is not None:
            if remaining_starts <= 0:
                return None
            self._capacity[capacity_key] = remaining_starts - 1
        row = self._take_matching_spare(order) or self._new_row(order, now_ms)
        listed_from_ms = now_ms + self._start_delay_ms
        self._vms[row.vm_id] = _Vm(row, listed_from_ms)
        self._vm_ids_by_order[order.order_id] = row.vm_id
        self._record_list(now_ms)
        return row.vm_id

    def stop(self, vm_id: str, now_ms: int) -> bool:
        """Remove a VM; return whether it existed."""
        if self._vms.pop(vm_id, None) is None:
            return False
        self._record_list(now_ms)
        return True

    def reclaim(self, order: Reclaim, now_ms: int) -> tuple[str, ...]:
        """Mark the matching VMs as leaving and return their ids."""
        vm_ids = []
        for vm in self._vms.values():
            if not _matches_reclaim(order, vm.row):
                continue
            vm.row = dataclasses.replace(vm.row, leaving=True)
            vm.removal_ms = now_ms + order.remaining_ms
            vm_ids.append(vm.row.vm_id)
        self._record_list(now_ms)
        return tuple(vm_ids)

    def advance(self, now_ms: int) -> None:
        """Remove VMs whose notice ran out and list those now started."""
        for vm_id, vm in list(self._vms.items()):
            if vm.removal_ms is not None and vm.removal_ms <= now_ms:
                del self._vms[vm_id]
        self._record_list(now_ms)

    def notices(self, now_ms: int) -> tuple[events.Notice, ...]:
        """Return the reclaim notices of VMs that still exist."""
        notices = []
        for vm in self._vms.values():
            if vm.removal_ms is None or vm.removal_ms <= now_ms:
                continue
            row = vm.row
            notices.append(
                events.Notice(
                    row.vm_id, row.incarnation, vm.removal_ms - now_ms
                )
            )
        return tuple(notices)

    def vms(self, now_ms: int, lag_ms: int) -> tuple[events.VmRow, ...]:
        """Return the list of VMs as it was `lag_ms` ago."""
        self.advance(now_ms)
        return self._history.read(now_ms, lag_ms).value

    def _record_list(self, now_ms: int) -> None:
        rows = []
        for vm in self._vms.values():
            if vm.listed_from_ms <= now_ms:
                rows.append(vm.row)
        current = tuple(rows)
        if current != self._history.newest().value:
            self._history.record(now_ms, current)

    def _take_matching_spare(self, order: StartOrder) -> events.VmRow | None:
        for row in self._spares:
            if (row.service, row.zone) != (order.service, order.zone):
                continue
            if row.vm_class != order.vm_class:
                continue
            self._spares.remove(row)
            return dataclasses.replace(row, reclaimable=order.reclaimable)
        return None

    def _new_row(self, order: StartOrder, now_ms: int) -> events.VmRow:
        self._last_vm_number += 1
        return events.VmRow(
            f"vm-{self._last_vm_number}",
            now_ms,
            events.VmRole.UPSTREAM,
            order.zone,
            order.vm_class,
            order.reclaimable,
            leaving=False,
            service=order.service,
        )


def _matches_reclaim(order: Reclaim, row: events.VmRow) -> bool:
    if order.vm_id:
        return row.vm_id == order.vm_id
    return row.reclaimable and row.zone == order.zone
