"""The status document of the operator API."""

from __future__ import annotations

from typing import Any

from laburnumpin.core import state as entry_state
from laburnumpin.server import bridge as bridges


def status_document(bridge: bridges.Bridge) -> dict[str, Any]:
    """Return the status document of an entry."""
    state = bridge.state
    now_ms = bridge.clock.now_ms()
    current = state.configuration.current
    return {
        "entry": state.entry.vm_id,
        "incarnation": state.entry.incarnation,
        "zone": state.zone,
        "peer_address": state.peer_address,
        "phase": state.lifecycle.phase.value,
        "ready": bridge.ready,
        "readiness": bridge.readiness_reason,
        "configuration_version": 0 if current is None else current.version,
        "requests": {
            "unfinished": state.requests.unfinished,
            "kept": len(state.requests.by_id),
        },
        "members": _members(state),
        "upstreams": _upstreams(state, now_ms),
        "counters": _counters(state),
    }


def _members(state: entry_state.EntryState) -> list[dict[str, Any]]:
    rows = []
    for member in state.membership.by_vm.values():
        rows.append(
            {
                "entry": member.entry.vm_id,
                "incarnation": member.entry.incarnation,
                "zone": member.zone,
                "peer_address": member.peer_address,
                "leaving": member.leaving,
                "configuration_version": member.configuration_version,
            }
        )
    return sorted(rows, key=lambda row: str(row["entry"]))


def _upstreams(
    state: entry_state.EntryState, now_ms: int
) -> list[dict[str, Any]]:
    rows = []
    for upstream in state.upstreams.by_id.values():
        report = upstream.report
        age_ms = None if report is None else now_ms - upstream.reported_ms
        rows.append(
            {
                "upstream": upstream.upstream_id,
                "incarnation": upstream.incarnation,
                "service": upstream.service,
                "zone": upstream.zone,
                "address": upstream.address,
                "leaving": upstream.leaving,
                "report_age_ms": age_ms,
                "running": None if report is None else report.running,
                "waiting": None if report is None else report.waiting,
                "slots": None if report is None else report.slots,
                "in_flight": len(upstream.attempts),
            }
        )
    return sorted(rows, key=lambda row: str(row["upstream"]))


def _counters(state: entry_state.EntryState) -> list[dict[str, Any]]:
    rows = []
    for name, label, value in state.counters.items():
        rows.append({"name": name, "label": label, "value": value})
    return rows
