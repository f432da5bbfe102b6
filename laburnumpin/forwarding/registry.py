"""Applies changes of the configuration and of the registered upstreams."""

from __future__ import annotations

from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding import withholding


def on_deployment(
    state: forwarding_state.ForwardingState, event: events.DeploymentRead
) -> list[effects.Effect]:
    """Apply a configuration if it is newer than the current one.

    One of the same version replaces it if it was written again in a later era
    of the store.
    """
    current = state.deployment
    version = event.deployment.version
    if current is not None:
        if version < current.version:
            return []
        if version == current.version and not event.is_rewritten:
            return []
    state.deployment = event.deployment
    changed = []
    for customer in event.deployment.customers.values():
        previous = current.customers.get(customer.name) if current else None
        if previous is not customer and previous != customer:
            changed.append(_describe_customer(customer))
    return [
        effects.Report(
            "configuration_in_force",
            {
                "version": version,
                "previous": 0 if current is None else current.version,
                "routes": len(event.deployment.routes),
                "changed_customers": "; ".join(changed),
            },
        )
    ]


def on_store_era(
    state: forwarding_state.ForwardingState, event: events.StoreEraSeen
) -> list[effects.Effect]:
    """Start a new era of the store: versions of earlier ones mean nothing."""
    if event.era <= state.store_era:
        return []
    previous = state.store_era
    state.store_era = event.era
    state.store_era_since_ms = event.now_ms
    lost_version = state.registry_version
    if previous:
        state.has_seen_restore = True
        state.registry_version = 0
        # Peers without access to the store learn of it by a digest.
        state.request_early_digest()
        state.counters.increment("store_restored")
    return [
        effects.Report(
            "store_era_changed",
            {
                "era": event.era,
                "previous": previous,
                "registry_version": lost_version,
                "configuration": state.deployment.version
                if state.deployment
                else 0,
            },
        )
    ]


def on_listed(
    state: forwarding_state.ForwardingState, event: events.UpstreamsListed
) -> list[effects.Effect]:
    """Replace the registrations by a complete list.

    After an outage of the store, missing ones are kept for a grace period.
    """
    state.registry_read = True
    state.registry_version = max(state.registry_version, event.version)
    produced: list[effects.Effect] = []
    listed = set()
    for registration in event.registrations:
        listed.add(registration.upstream_id)
        changes = state.upstreams.update(registration, event.now_ms)
        produced.extend(_log_changes(state, changes, event.version))
    for upstream in list(state.upstreams.all()):
        upstream_id = upstream.registration.upstream_id
        if upstream_id in listed:
            continue
        if event.after_outage:
            state.upstreams.mark_missing(upstream_id, event.now_ms)
            continue
        changes = state.upstreams.remove(upstream_id)
        produced.extend(_log_changes(state, changes, event.version))
    return produced


def on_changed(
    state: forwarding_state.ForwardingState, event: events.UpstreamChanged
) -> list[effects.Effect]:
    """Apply one changed registration."""
    state.registry_version = max(state.registry_version, event.version)
    previous = state.upstreams.get(event.registration.upstream_id)
    produced: list[effects.Effect] = []
    changes = state.upstreams.update(event.registration, event.now_ms)
    if changes.restarted and previous is not None:
        produced += withholding.on_upstream_ended(
            state, previous.registration, event.now_ms
        )
    return produced + _log_changes(state, changes, event.version)


def on_removed(
    state: forwarding_state.ForwardingState, event: events.UpstreamRemoved
) -> list[effects.Effect]:
    """Apply one removed registration.

    After an outage of the store, the upstream is kept for a grace period.
    """
    state.registry_version = max(state.registry_version, event.version)
    if event.after_outage:
        state.upstreams.mark_missing(event.upstream_id, event.now_ms)
        return []
    previous = state.upstreams.get(event.upstream_id)
    produced: list[effects.Effect] = []
    changes = state.upstreams.remove(event.upstream_id)
    if previous is not None:
        produced += withholding.on_upstream_ended(
            state, previous.registration, event.now_ms
        )
    return produced + _log_changes(state, changes, event.version)


def on_tick(
    state: forwarding_state.ForwardingState, event: events.Ticked
) -> list[effects.Effect]:
    """Remove upstreams that did not register again after an outage."""
    changes = state.upstreams.expire(event.now_ms)
    return _log_changes(state, changes, state.registry_version)


def _describe_customer(customer: deployment.Customer) -> str:
    return (
        f"{customer.name}: rate {customer.rate_per_s:g}, burst "
        f"{customer.burst:g}, priority {customer.priority}, "
        f"{len(customer.keys)} keys"
    )


def _log_changes(
    state: forwarding_state.ForwardingState,
    changes: upstreams.Changes,
    version: int,
) -> list[effects.Effect]:
    """Return the effects of changes.

    They log each change, and close the connections to removed and restarted
    upstreams.
    """
    produced: list[effects.Effect] = []
    ids_by_change = {
        "added": changes.added,
        "leaving": changes.leaving,
        "removed": changes.removed,
        "restarted": changes.restarted,
    }
    for change, upstream_ids in ids_by_change.items():
        for upstream_id in upstream_ids:
            upstream = state.upstreams.get(upstream_id)
            fields: dict[str, str | int | float | bool | None] = {
                "upstream": upstream_id,
                "change": change,
                "registry_version": version,
            }
            if upstream is not None:
                fields["service"] = upstream.registration.service
                fields["zone"] = upstream.registration.zone
                fields["reclaimable"] = upstream.registration.reclaimable
                fields["leaves_in_ms"] = upstream.registration.leaves_in_ms
            produced.append(effects.Report("upstream_changed", fields))
    for upstream_id in changes.removed + changes.restarted:
        produced.append(effects.CloseUpstream(upstream_id, 0))
    return produced
