"""Simulated cloud provider, table service and object store for replays."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random

from laburnumpin.bench import fleet_demand
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import planning
from laburnumpin.core import store

# Ranges of the time from the start of a VM until it is up, and from the order
# to load a model until it is loaded.
BOOT_MS = (60_000, 90_000)
MODEL_LOAD_MS = (20_000, 40_000)
# Time from a reclaim notice until the VM terminates.
NOTICE_MS = 20_000
LIST_LAG_MS = 5_000
# Share of the starts of reclaimable VMs that are refused without a wave.
REFUSED_START_SHARE = 0.05


@dataclasses.dataclass(slots=True)
class CloudVm:
    """A VM and its actual state; paid from `ordered_ms` to `terminated_ms`.

    `loaded_ms` is None until a model is ordered; a plain service is loaded
    once it has booted. `leaving_ms` is the time of a reclaim notice or of a
    stop, and `marked_ms` the time at which the policy marked the VM as
    leaving, with `busy_slots_at_mark` busy slots.
    """

    vm_id: str
    service: str
    option: planning.Option
    slots: int
    ordered_ms: int
    booted_ms: int
    model: str
    loaded_ms: int | None
    leaving_ms: int | None = None
    terminated_ms: int | None = None
    busy_slots: int = 0
    marked_ms: int | None = None
    busy_slots_at_mark: int = 0

    def is_terminated(self, now_ms: int) -> bool:
        """Return whether the VM no longer exists."""
        return self.terminated_ms is not None and now_ms >= self.terminated_ms

    def serves(self, now_ms: int) -> bool:
        """Return whether the VM takes new work."""
        if self.leaving_ms is not None or self.marked_ms is not None:
            return False
        return self.loaded_ms is not None and now_ms >= self.loaded_ms


class Cloud:
    """Executes effects; the resulting events are delivered at the next tick.

    `refused_until_ms` is keyed by zone and whether a VM is reclaimable.
    `reported_busy` has the busy slots from each VM's last load report. Stops
    of VMs that reported busy slots, or nothing yet, count as `busy_stops`,
    orders past their validity as `late_orders`, and starts beyond the
    `max_vms` of a placement as `over_max`. During an `outage` the table
    service rejects every call.
    """

    def __init__(self, scenario: fleet_demand.Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed * 7_919)
        self.vms: dict[str, CloudVm] = {}
        self.terminated_vms: list[CloudVm] = []
        self.prices: dict[str, float] = {}
        self.rows: dict[tuple[str, str], store.Row] = {}
        self.objects: dict[str, bytes] = {}
        self.answers: list[events.Event] = []
        self.outage = False
        self.refused_until_ms: dict[tuple[str, bool], int] = {}
        self.starts = self.refused_starts = self.stops = 0
        self.busy_stops = self.late_orders = self.over_max = 0
        self.reported_busy: dict[str, int] = {}
        self._slots: dict[tuple[str, planning.Option], int] = {}
        self._max_vms: dict[tuple[str, planning.Option], int] = {}
        for placement in scenario.deployment.placements:
            key = (placement.service, planning.option_of(placement))
            self._slots[key] = placement.slots
            self._max_vms[key] = placement.max_vms
        self.change_prices()

    def price_of(self, option: planning.Option) -> float:
        """Return the current price per hour of a VM."""
        return self.prices[planning.price_key(option)]

    def change_prices(self) -> None:
        """Draw new prices; only those of reclaimable VMs vary."""
        for placement in self.scenario.deployment.placements:
            factor = 1.0
            if placement.reclaimable:
                factor = self.rng.uniform(0.8, 1.25)
            key = planning.price_key(planning.option_of(placement))
            self.prices[key] = placement.price_per_hour * factor

    def execute(self, effect: effects.Effect, now_ms: int) -> None:
        """Execute an effect of the lease holder; others are ignored."""
        handler = self._handlers().get(type(effect))
        if handler is not None:
            handler(effect, now_ms)

    def take_answers(self) -> list[events.Event]:
        """Return and clear the events that effects have produced."""
        answers, self.answers = self.answers, []
        return answers

    def list_vms(self, now_ms: int) -> tuple[events.VmRow, ...]:
        """Return the VM list as it was `LIST_LAG_MS` ago."""
        seen_ms = now_ms - LIST_LAG_MS
        rows = []
        for vm in self.vms.values():
            if vm.booted_ms > seen_ms or vm.is_terminated(seen_ms):
                continue
            leaving = vm.leaving_ms is not None and vm.leaving_ms <= seen_ms
            rows.append(
                events.VmRow(
                    vm.vm_id,
                    1,
                    events.VmRole.UPSTREAM,
                    vm.option.zone,
                    vm.option.vm_class,
                    vm.option.reclaimable,
                    leaving,
                    vm.service,
                    f"{vm.vm_id}:1",
                )
            )
        return tuple(rows)

    def reclaim(self, vm: CloudVm, now_ms: int) -> None:
        """Give a VM notice of its reclaim, unless it is leaving already."""
        if vm.leaving_ms is None:
            vm.leaving_ms = now_ms
            vm.terminated_ms = now_ms + NOTICE_MS

    def apply_wave(self, wave: fleet_demand.Wave, now_ms: int) -> None:
        """Reclaim VMs of a zone and refuse starts for a time."""
        for vm in self.vms.values():
            if vm.option.zone != wave.zone:
                continue
            if vm.option.reclaimable or wave.on_demand:
                self.reclaim(vm, now_ms)
        until_ms = now_ms + wave.refused_ms
        self.refused_until_ms[wave.zone, True] = until_ms
        if wave.on_demand:
            self.refused_until_ms[wave.zone, False] = until_ms
        if wave.all_zones_refused_ms == 0:
            return
        for zone in self.scenario.deployment.zones:
            previous_ms = self.refused_until_ms.get((zone, True), 0)
            until_ms = max(previous_ms, now_ms + wave.all_zones_refused_ms)
            self.refused_until_ms[zone, True] = until_ms

    def remove_terminated(self, now_ms: int) -> None:
        """Remove terminated VMs once the lagging list omits them."""
        for vm in list(self.vms.values()):
            if vm.is_terminated(now_ms - LIST_LAG_MS):
                self.terminated_vms.append(self.vms.pop(vm.vm_id))

    def _handlers(self) -> dict[type, Callable[..., None]]:
        return {
            effects.StartVm: self._start,
            effects.StopVm: self._stop,
            effects.SendOrder: self._load_model,
            effects.ListPrices: self._list_prices,
            effects.ReadRows: self._read_rows,
            effects.Transact: self._transact,
            effects.GetObject: self._get_object,
            effects.PutObject: self._put_object,
        }

    def _start(self, effect: effects.StartVm, now_ms: int) -> None:
        if now_ms > effect.valid_until_ms:
            self.late_orders += 1
            return
        option = planning.Option(
            effect.zone, effect.vm_class, effect.reclaimable
        )
        if self._refuses(option, now_ms):
            self.refused_starts += 1
            self.answers.append(
                events.VmStartAnswered(now_ms, effect.order_id, None)
            )
            return
        self.starts += 1
        vm_id = f"vm{self.starts}"
        booted_ms = now_ms + self.rng.randint(*BOOT_MS)
        service = self.scenario.deployment.services[effect.service]
        is_plain = service.kind is deployment.ServiceKind.PLAIN
        key = (effect.service, option)
        self.vms[vm_id] = CloudVm(
            vm_id,
            effect.service,
            option,
            self._slots[key],
            now_ms,
            booted_ms,
            "",
            booted_ms if is_plain else None,
        )
        count = 0
        for vm in self.vms.values():
            active = vm.leaving_ms is None and vm.marked_ms is None
            count += active and (vm.service, vm.option) == key
        self.over_max += count > self._max_vms[key]
        self.answers.append(
            events.VmStartAnswered(now_ms, effect.order_id, vm_id)
        )

    def _refuses(self, option: planning.Option, now_ms: int) -> bool:
        key = (option.zone, option.reclaimable)
        if now_ms < self.refused_until_ms.get(key, 0):
            return True
        return option.reclaimable and self.rng.random() < REFUSED_START_SHARE

    def _stop(self, effect: effects.StopVm, now_ms: int) -> None:
        vm = self.vms.get(effect.vm_id)
        if now_ms > effect.valid_until_ms:
            self.late_orders += 1
            return
        if vm is None or vm.is_terminated(now_ms):
            return
        self.stops += 1
        self.busy_stops += self.reported_busy.get(vm.vm_id, 1) > 0
        vm.leaving_ms = vm.terminated_ms = now_ms

    def _load_model(self, effect: effects.SendOrder, now_ms: int) -> None:
        vm = self.vms.get(effect.upstream_id)
        if vm is None or now_ms > effect.valid_until_ms:
            self.late_orders += vm is not None
            return
        vm.model = effect.model
        vm.loaded_ms = now_ms + self.rng.randint(*MODEL_LOAD_MS)
        self.answers.append(
            events.OrderAnswered(
                now_ms, effect.order_id, events.OrderResult.ACCEPTED
            )
        )

    def _list_prices(self, effect: effects.ListPrices, now_ms: int) -> None:
        del effect
        self.answers.append(events.PricesListed(now_ms, dict(self.prices)))

    def _row(self, table: str, key: str) -> store.Row:
        return self.rows.get((table, key), store.Row(table, key, 0, None))

    def _read_rows(self, effect: effects.ReadRows, now_ms: int) -> None:
        if self.outage:
            self.answers.append(events.ReadFailed(now_ms, effect.operation_id))
            return
        rows = tuple(self._row(effect.table, key) for key in effect.keys)
        self.answers.append(events.RowsRead(now_ms, effect.operation_id, rows))

    def _transact(self, effect: effects.Transact, now_ms: int) -> None:
        operation_id = effect.operation_id
        if self.outage:
            self.answers.append(events.TransactRefused(now_ms, operation_id))
            return
        for condition in effect.conditions:
            row = self._row(condition.table, condition.key)
            if row.version != condition.version:
                self.answers.append(
                    events.TransactConflicted(now_ms, operation_id, (row,))
                )
                return
        versions = []
        for write in effect.writes:
            version = self._row(write.table, write.key).version + 1
            self.rows[write.table, write.key] = store.Row(
                write.table, write.key, version, write.value
            )
            versions.append(version)
        self.answers.append(
            events.TransactCommitted(now_ms, operation_id, tuple(versions))
        )

    def _get_object(self, effect: effects.GetObject, now_ms: int) -> None:
        body = self.objects.get(effect.key)
        self.answers.append(
            events.ObjectRead(now_ms, effect.operation_id, body)
        )

    def _put_object(self, effect: effects.PutObject, now_ms: int) -> None:
        self.objects[effect.key] = effect.body
        self.answers.append(events.ObjectStored(now_ms, effect.operation_id))
