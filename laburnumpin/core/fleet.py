"""Fleet management by the lease holder: VM starts and stops, model loads.

The holder of the placement lease compares the demand estimate with the listed
VMs every `PLAN_PERIOD_MS`. It starts missing VMs, drains and stops surplus
ones, and orders engines to load the configured model.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from laburnumpin.core import demand
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import lease
from laburnumpin.core import lifecycle
from laburnumpin.core import messages
from laburnumpin.core import planning
from laburnumpin.core import profiles
from laburnumpin.core import store
from laburnumpin.core import upstreams

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

PLAN_PERIOD_MS = 2_000
PRICE_PERIOD_MS = 60_000
PROFILE_PERIOD_MS = 60_000
# Stabilization window: a service must have a surplus VM for this long before
# one is drained.
SCALE_DOWN_DELAY_MS = 600_000
# A start is no longer counted if the VM list does not show the VM by then.
START_TIMEOUT_MS = 120_000
# Age of a leaving mark from which an idle report is trusted. Entries stop
# sending new work within 5 s of the mark; the rest covers requests sent just
# before that and the lag of the reports.
DRAIN_SETTLE_MS = 10_000
# Limit for one service in one plan.
MAX_STARTS_PER_PASS = 4
# Limit on concurrent model loads, because the weight store is rate limited.
MAX_MODEL_LOADS_IN_FLIGHT = 2
MODEL_LOAD_TIMEOUT_MS = 60_000
# No plan is made from an older VM list.
LIST_MAX_AGE_MS = 30_000


@dataclasses.dataclass(slots=True)
class PendingStart:
    """A VM start that was ordered; `vm_id` is set once it is accepted."""

    service: str
    option: planning.Option
    ordered_ms: int
    vm_id: str | None = None


class FleetState:
    """The lease, the listed VMs, pending orders, prices and demand.

    `listed` maps VM ids to the upstream rows of the VM list received at
    `listed_ms`. `reclaim_notices` holds the (VM id, incarnation) of each
    notice of the last list. `pending_starts` is keyed by order id.
    `model_loads` maps an upstream id to the time of its order,
    `queue_baselines` a service to its last empty queue, and `surplus_since_ms`
    a service to the time since which it has a surplus VM. `peer_demand` is
    keyed by (VM id, service).
    """

    __slots__ = (
        "lease",
        "listed",
        "listed_ms",
        "model_loads",
        "next_order",
        "next_plan_ms",
        "next_price_ms",
        "next_profile_ms",
        "peer_demand",
        "pending_starts",
        "prices_per_hour",
        "profile_reads",
        "profiles",
        "queue_baselines",
        "reclaim_notices",
        "refusals",
        "surplus_since_ms",
    )

    def __init__(self) -> None:
        self.lease = lease.LeaseState()
        self.listed: dict[str, events.VmRow] = {}
        self.listed_ms: int | None = None
        self.pending_starts: dict[str, PendingStart] = {}
        self.model_loads: dict[str, int] = {}
        self.refusals: dict[planning.Option, planning.Refusals] = {}
        self.prices_per_hour: dict[str, float] = {}
        self.profiles: dict[str, profiles.Profile] = {}
        self.profile_reads: dict[store.OperationId, str] = {}
        self.peer_demand: dict[tuple[str, str], demand.PeerDemand] = {}
        self.queue_baselines: dict[str, demand.QueueBaseline] = {}
        self.surplus_since_ms: dict[str, int] = {}
        self.next_order = 1
        self.next_plan_ms = 0
        self.next_price_ms = 0
        self.next_profile_ms = 0
        self.reclaim_notices: set[tuple[str, int]] = set()


def on_vms_listed(
    state: entry_state.EntryState, event: events.VmsListed
) -> list[effects.Effect]:
    """Replace the known upstream VMs and drop the starts that are listed."""
    fleet = state.fleet
    fleet.listed = {}
    fleet.listed_ms = event.now_ms
    for row in event.vms:
        if row.role is events.VmRole.UPSTREAM:
            fleet.listed[row.vm_id] = row
    for order_id, start in list(fleet.pending_starts.items()):
        if start.vm_id in fleet.listed:
            del fleet.pending_starts[order_id]
    return []


def on_notices(
    state: entry_state.EntryState, event: events.NoticesListed
) -> list[effects.Effect]:
    """Plan immediately when VMs are to be reclaimed, to replace them."""
    reclaim_notices = {
        (notice.vm_id, notice.incarnation) for notice in event.notices
    }
    state.fleet.reclaim_notices = reclaim_notices
    for notice in event.notices:
        row = state.fleet.listed.get(notice.vm_id)
        if row is None or row.leaving:
            continue
        state.fleet.listed[notice.vm_id] = dataclasses.replace(
            row, leaving=True
        )
        state.fleet.next_plan_ms = event.now_ms
    return []


def on_vm_start_answered(
    state: entry_state.EntryState, event: events.VmStartAnswered
) -> list[effects.Effect]:
    """Record an accepted start, or replan at once after a refused one."""
    fleet = state.fleet
    start = fleet.pending_starts.get(event.order_id)
    if start is None:
        return []
    if event.vm_id is not None:
        start.vm_id = event.vm_id
        planning.clear_refusals(fleet.refusals, start.option)
        state.counters.increment("vm_starts", "accepted")
        return []
    del fleet.pending_starts[event.order_id]
    planning.record_refusal(fleet.refusals, start.option, event.now_ms)
    state.counters.increment("vm_starts", "refused")
    fleet.next_plan_ms = event.now_ms
    return []


def on_prices_listed(
    state: entry_state.EntryState, event: events.PricesListed
) -> list[effects.Effect]:
    """Replace the current prices."""
    state.fleet.prices_per_hour = dict(event.prices_per_hour)
    return []


def on_order_answered(
    state: entry_state.EntryState, event: events.OrderAnswered
) -> list[effects.Effect]:
    """Record the result of an engine order; a failed load is retried."""
    upstream_id = event.order_id.partition("/")[0]
    state.counters.increment("engine_orders", event.result.value)
    if event.result is not events.OrderResult.ACCEPTED:
        state.fleet.model_loads.pop(upstream_id, None)
    return []


def on_digest(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Digest,
) -> list[effects.Effect]:
    """Record the queued tokens that a peer reports for each service."""
    for row in message.demands:
        key = (message.entry.vm_id, row.service)
        state.fleet.peer_demand[key] = demand.PeerDemand(
            row.queued_tokens, event.now_ms
        )
    return []


def on_store_event(
    state: entry_state.EntryState, event: events.StoreEvent
) -> list[effects.Effect]:
    """Handle the result of a lease operation or of a profile read."""
    result = lease.on_store_event(state, event)
    if result is not None:
        return result
    service = state.fleet.profile_reads.pop(event.operation_id, None)
    if service is None or not isinstance(event, events.ObjectRead):
        return []
    profile = None if event.body is None else profiles.decode(event.body)
    state.fleet.profiles.setdefault(service, profile or profiles.Profile())
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Maintain the lease; as its holder, plan and send orders when due."""
    fleet = state.fleet
    now_ms = event.now_ms
    eligible = state.lifecycle.phase is lifecycle.Phase.SERVING
    result = lease.on_tick(state, now_ms, eligible=eligible)
    if lease.fencing_number(state, now_ms) is None:
        return result
    if now_ms >= fleet.next_price_ms:
        fleet.next_price_ms = now_ms + PRICE_PERIOD_MS
        result.append(effects.ListPrices())
    if now_ms >= fleet.next_profile_ms:
        fleet.next_profile_ms = now_ms + PROFILE_PERIOD_MS
        result.extend(_read_profiles(state))
    if now_ms < fleet.next_plan_ms:
        return result
    fleet.next_plan_ms = now_ms + PLAN_PERIOD_MS
    result.extend(_plan(state, now_ms))
    return result


def _plan(state: entry_state.EntryState, now_ms: int) -> list[effects.Effect]:
    fleet = state.fleet
    current = state.configuration.current
    if current is None or fleet.listed_ms is None:
        return []
    if now_ms - fleet.listed_ms > LIST_MAX_AGE_MS:
        state.counters.increment("plans_skipped", "list_too_old")
        return []
    _expire_pending(fleet, now_ms)
    result: list[effects.Effect] = []
    by_service: dict[str, list[deployment.Placement]] = {}
    for placement in current.deployment.placements:
        by_service.setdefault(placement.service, []).append(placement)
    for service, placements in by_service.items():
        result.extend(_plan_service(state, service, placements, now_ms))
    result.extend(_order_model_loads(state, current.deployment, now_ms))
    return result


def _plan_service(
    state: entry_state.EntryState,
    service: str,
    placements: list[deployment.Placement],
    now_ms: int,
) -> list[effects.Effect]:
    fleet = state.fleet
    streams = demand.concurrent_streams(state, service, now_ms)
    result: list[effects.Effect] = []
    profile = fleet.profiles.get(service)
    if profile is not None:
        if profile.observe(streams, now_ms):
            result.append(
                effects.PutObject(
                    state.new_operation(store.StoreModule.FLEET),
                    f"profile/{service}",
                    profile.encode(),
                )
            )
        streams = max(streams, profile.expected(now_ms))
    vms = _planned_vms(state, service)
    for _ in range(MAX_STARTS_PER_PASS):
        option = planning.next_start(
            streams,
            vms,
            placements,
            fleet.prices_per_hour,
            fleet.refusals,
            now_ms,
        )
        if option is None:
            break
        result.append(_start_vm(state, service, option, now_ms))
        vms.append(planning.Vm("", option, 1))
    if not result:
        result.extend(
            _replace_on_demand(state, service, streams, vms, placements, now_ms)
        )
    _scale_down(state, service, streams, vms, placements, now_ms)
    result.extend(_stop_drained(state, service, now_ms))
    return result


def _replace_on_demand(
    state: entry_state.EntryState,
    service: str,
    streams: float,
    vms: list[planning.Vm],
    placements: list[deployment.Placement],
    now_ms: int,
) -> list[effects.Effect]:
    """Start a reclaimable VM to replace an on-demand one.

    Replacements are made one at a time, and only while the service has no
    pending start and no surplus VM.
    """
    fleet = state.fleet
    if service in fleet.surplus_since_ms:
        return []
    for start in fleet.pending_starts.values():
        if start.service == service:
            return []
    option = planning.next_replacement(
        streams,
        vms,
        _with_report(state, vms),
        placements,
        fleet.prices_per_hour,
        fleet.refusals,
        now_ms,
    )
    if option is None:
        return []
    state.counters.increment("vm_replacements")
    vms.append(planning.Vm("", option, 1))
    return [_start_vm(state, service, option, now_ms)]


def _scale_down(
    state: entry_state.EntryState,
    service: str,
    streams: float,
    vms: list[planning.Vm],
    placements: list[deployment.Placement],
    now_ms: int,
) -> None:
    """Drain a VM after a surplus that lasted `SCALE_DOWN_DELAY_MS`.

    A leaving mark keeps entries from sending it new work.
    """
    fleet = state.fleet
    chosen = planning.next_drain(
        streams,
        vms,
        _with_report(state, vms),
        placements,
        fleet.prices_per_hour,
    )
    if chosen is None:
        fleet.surplus_since_ms.pop(service, None)
        return
    since_ms = fleet.surplus_since_ms.setdefault(service, now_ms)
    if now_ms < since_ms + SCALE_DOWN_DELAY_MS:
        return
    state.counters.increment("vm_drains")
    row = fleet.listed[chosen.vm_id]
    upstreams.mark_leaving(state, row.vm_id, row.incarnation, now_ms)


def _with_report(
    state: entry_state.EntryState, vms: list[planning.Vm]
) -> list[planning.Vm]:
    """Return the VMs with a load report, which shows when they are drained."""
    result = []
    for vm in vms:
        upstream = state.upstreams.by_id.get(vm.vm_id)
        if upstream is not None and upstream.report is not None:
            result.append(vm)
    return result


def _stop_drained(
    state: entry_state.EntryState, service: str, now_ms: int
) -> list[effects.Effect]:
    """Stop the marked VMs whose reports show no work.

    The marks spread in digests, so that a new lease holder that received them
    continues the drains of the previous one.
    """
    fleet = state.fleet
    result: list[effects.Effect] = []
    for row in fleet.listed.values():
        if row.service != service or row.leaving:
            continue
        marked_ms = state.upstreams.leaving.get((row.vm_id, row.incarnation))
        upstream = state.upstreams.by_id.get(row.vm_id)
        if marked_ms is None or upstream is None:
            continue
        if upstream.reported_ms < marked_ms + DRAIN_SETTLE_MS:
            continue
        if _active_streams(state, row.vm_id) > 0:
            continue
        # The KV cache of a reclaimed VM is exported until the platform
        # removes it.
        if (row.vm_id, row.incarnation) in fleet.reclaim_notices:
            continue
        state.counters.increment("vm_stops")
        fleet.listed[row.vm_id] = dataclasses.replace(row, leaving=True)
        result.append(
            effects.StopVm(
                _order_id(state, row.vm_id),
                row.vm_id,
                lease.valid_until_ms(state),
            )
        )
    return result


def _start_vm(
    state: entry_state.EntryState,
    service: str,
    option: planning.Option,
    now_ms: int,
) -> effects.Effect:
    order_id = _order_id(state, "start")
    state.fleet.pending_starts[order_id] = PendingStart(service, option, now_ms)
    return effects.StartVm(
        order_id,
        service,
        option.zone,
        option.vm_class,
        option.reclaimable,
        lease.valid_until_ms(state),
    )


def _order_model_loads(
    state: entry_state.EntryState,
    configured: deployment.Deployment,
    now_ms: int,
) -> list[effects.Effect]:
    fleet = state.fleet
    result: list[effects.Effect] = []
    for upstream in state.upstreams.by_id.values():
        service = configured.services.get(upstream.service)
        report = upstream.report
        if service is None or report is None or upstream.leaving:
            continue
        if service.kind is not deployment.ServiceKind.MODEL:
            continue
        desired = (service.model, service.model_version)
        if (report.model, report.model_version) == desired:
            fleet.model_loads.pop(upstream.upstream_id, None)
            continue
        # Orders must not interrupt running work, so busy engines wait.
        if report.running + report.waiting + len(upstream.attempts) > 0:
            continue
        if upstream.upstream_id in fleet.model_loads:
            continue
        if len(fleet.model_loads) >= MAX_MODEL_LOADS_IN_FLIGHT:
            break
        fleet.model_loads[upstream.upstream_id] = now_ms
        result.append(_model_order(state, upstream, service, now_ms))
    return result


def _model_order(
    state: entry_state.EntryState,
    upstream: upstreams.Upstream,
    service: deployment.Service,
    now_ms: int,
) -> effects.Effect:
    fencing = lease.fencing_number(state, now_ms)
    assert fencing is not None
    return effects.SendOrder(
        _order_id(state, upstream.upstream_id),
        upstream.upstream_id,
        upstream.address,
        fencing,
        lease.valid_until_ms(state),
        service.model,
        service.model_version,
        service.adapters,
        "",
    )


def _planned_vms(
    state: entry_state.EntryState, service: str
) -> list[planning.Vm]:
    fleet = state.fleet
    result = []
    for row in fleet.listed.values():
        if row.service != service or row.leaving:
            continue
        if (row.vm_id, row.incarnation) in state.upstreams.leaving:
            continue
        option = planning.Option(row.zone, row.vm_class, row.reclaimable)
        result.append(
            planning.Vm(row.vm_id, option, _active_streams(state, row.vm_id))
        )
    for start in fleet.pending_starts.values():
        if start.service == service:
            result.append(planning.Vm(start.vm_id or "", start.option, 1))
    return result


def _active_streams(state: entry_state.EntryState, vm_id: str) -> int:
    upstream = state.upstreams.by_id.get(vm_id)
    # A VM without a report may run work of other entries.
    if upstream is None or upstream.report is None:
        return 1
    report = upstream.report
    return report.running + report.waiting + len(upstream.attempts)


def _expire_pending(fleet: FleetState, now_ms: int) -> None:
    for order_id, start in list(fleet.pending_starts.items()):
        if now_ms >= start.ordered_ms + START_TIMEOUT_MS:
            del fleet.pending_starts[order_id]
    for upstream_id, ordered_ms in list(fleet.model_loads.items()):
        if now_ms >= ordered_ms + MODEL_LOAD_TIMEOUT_MS:
            del fleet.model_loads[upstream_id]


def _read_profiles(state: entry_state.EntryState) -> list[effects.Effect]:
    fleet = state.fleet
    current = state.configuration.current
    result: list[effects.Effect] = []
    if current is None:
        return result
    for service in current.deployment.services:
        if service in fleet.profiles:
            continue
        operation_id = state.new_operation(store.StoreModule.FLEET)
        fleet.profile_reads[operation_id] = service
        result.append(effects.GetObject(operation_id, f"profile/{service}"))
    return result


def _order_id(state: entry_state.EntryState, subject: str) -> str:
    held_lease = state.fleet.lease.held_lease
    assert held_lease is not None
    number = state.fleet.next_order
    state.fleet.next_order += 1
    return f"{subject}/{held_lease.fencing_number}/{number}"
