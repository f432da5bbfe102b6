"""Gossip: sends digests periodically and applies the digests of peers."""

from __future__ import annotations

from laburnumpin.forwarding import digests
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import leaving
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import registry
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstream_limits
from laburnumpin.forwarding import withholding
from laburnumpin.forwarding.capacity import rows
from laburnumpin.forwarding.rollouts import routing

# Period of an entry's digests, and what each known entry adds to it, so that an
# entry receives fewer than 125 digests a second.
DIGEST_PERIOD_MS = 150
DIGEST_PERIOD_MS_PER_ENTRY = 8
# Pause before a digest that is sent early, and what each known entry adds.
EARLY_DIGEST_PAUSE_MS = 100
EARLY_DIGEST_PAUSE_MS_PER_ENTRY = 1
# In a fleet that uses relays, one digest in this many repeats what has not
# changed for a while; every entry repeats the same.
DIGESTS_PER_REPEAT = 8
# Longest digest period of the lease holder, well below the time of a lease, as
# its digests keep other entries from contending.
HOLDER_DIGEST_PERIOD_MS = 800
# One digest in this many lists the addresses of other entries.
DIGESTS_PER_CONTACT_LIST = 8
# Newest usage windows in a digest. The report of a window waits for two digests
# after its end.
REPORTED_WINDOWS = 2
# Delay that a digest without `counted_to_ms` may have had.
UNDATED_DIGEST_DELAY_MS = 1_500
# Pause between two fetches of newer state from peers.
FETCH_PERIOD_MS = 300
# Age of a peer's last digest, with two digest periods on top, after which the
# load that it reported is dropped.
LOAD_EXPIRY_MS = 3_000


def digest_period_ms(entries: int) -> int:
    """Return the period of one entry's digests in a fleet of this size."""
    return DIGEST_PERIOD_MS + DIGEST_PERIOD_MS_PER_ENTRY * entries


def on_tick(
    state: forwarding_state.ForwardingState, event: events.Ticked
) -> list[effects.Effect]:
    """Send a digest when it is due, and remove peers that have timed out."""
    now_ms = event.now_ms
    state.quotas.set_expected_entries(state.members.expected_count(now_ms))
    produced: list[effects.Effect] = []
    for peer in state.members.expire(now_ms):
        produced.append(effects.Report("peer_forgotten", {"peer": peer.name}))
    early_ms = state.digest_sent_ms + EARLY_DIGEST_PAUSE_MS
    early_ms += EARLY_DIGEST_PAUSE_MS_PER_ENTRY * state.members.count()
    if state.early_digests and now_ms >= early_ms:
        state.digest_due_ms = min(state.digest_due_ms, now_ms)
    if now_ms < state.digest_due_ms:
        return produced
    state.digest_sent_ms = now_ms
    # The links of relays lose nothing, and the peers repeat what is new.
    state.early_digests = max(0, state.early_digests - 1)
    if state.members.uses_relays():
        state.early_digests = 0
    state.update_service_statistics()
    _drop_expired_loads(state, now_ms)
    period_ms = digest_period_ms(state.members.count())
    if state.lease_token:
        period_ms = min(period_ms, HOLDER_DIGEST_PERIOD_MS)
    state.digest_due_ms = now_ms + period_ms
    state.digests_sent += 1
    addresses = tuple(state.members.digest_addresses(now_ms))
    digest = _build_digest(state, now_ms, event.wall_ms, addresses)
    if state.members.uses_relays():
        produced.append(effects.SendDigest(digest, ()))
    elif addresses:
        produced.append(effects.SendDigest(digest, addresses))
    return produced


def on_digest(
    state: forwarding_state.ForwardingState, event: events.DigestReceived
) -> list[effects.Effect]:
    """Apply the digest of a peer."""
    digest = event.digest
    now_ms = event.now_ms
    name = digest.contact.name
    if name == state.name:
        return []
    peer, is_new = state.members.record_digest(
        digest.contact, digest.incarnation_ms, now_ms
    )
    if peer is None:
        return []
    produced: list[effects.Effect] = []
    if is_new:
        produced.append(effects.Report("peer_heard", {"peer": name}))
    peer.wall_offset_ms = digest.wall_ms - now_ms
    peer.work_ms = digest.work_ms
    peer.lease_token = digest.lease_token
    state.highest_lease_token = max(
        state.highest_lease_token, digest.lease_token
    )
    peer.config_version = digest.config_version
    peer.registry_version = digest.registry_version
    for address in digest.contacts:
        state.members.add_contact(address, now_ms)
    customers = {}
    if state.deployment is not None:
        customers = state.deployment.customers
    state.quotas.apply_peer_usage(
        name,
        digest.incarnation_ms,
        digest.used,
        customers,
        now_ms,
        digest.wall_ms - digest.incarnation_ms,
        digest.low_levels,
    )
    _apply_usage(state, peer, digest, now_ms)
    _update_peer_loads(state, peer, digest, is_new=is_new)
    for upstream_id, (answers, total) in digest.latency_log_ratios.items():
        upstream = state.upstreams.get(upstream_id)
        if upstream is None:
            state.counters.increment("measurements_dropped", "unknown_upstream")
            continue
        if answers > 0:
            upstream.slowness.observe(total / answers, answers, now_ms)
    rows.merge(state, digest, now_ms)
    for upstream_id, part_id in digest.parts:
        upstream = state.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.record_cached_part(part_id, now_ms)
    produced.extend(upstream_limits.merge(state, digest.limits, now_ms))
    produced.extend(leaving.merge(state, digest.leaving, now_ms))
    produced.extend(
        routing.merge(
            state,
            name,
            digest.incarnation_ms,
            digest.rollout_evidence,
            digest.rollout_decisions,
            now_ms,
        )
    )
    peer.reports_losses = digest.part_losses is not None
    if digest.part_losses or digest.request_losses:
        produced.extend(
            withholding.merge(
                state,
                digest.part_losses or (),
                digest.request_losses,
                now_ms,
            )
        )
    produced.extend(
        registry.on_store_era(
            state, events.StoreEraSeen(now_ms, digest.store_era)
        )
    )
    produced.extend(_fetch_if_behind(state, peer.address, digest, now_ms))
    return produced


def _apply_usage(
    state: forwarding_state.ForwardingState,
    peer: membership.Peer,
    digest: digests.Digest,
    now_ms: int,
) -> None:
    """Record a peer's counts, and what a holder's digest shows of ours."""
    counted_to_ms = digest.counted_to_ms
    if not counted_to_ms:
        # An entry of the release before: its digest is delayed by less.
        offset_ms = state.usage.wall_offset_ms
        counted_to_ms = digest.wall_ms
        if offset_ms is not None:
            counted_to_ms = now_ms + offset_ms
        counted_to_ms -= UNDATED_DIGEST_DELAY_MS
    state.usage.record_peer_counts(
        peer.incarnation_name,
        digest.windows,
        counted_to_ms,
        max_windows=REPORTED_WINDOWS,
        now_ms=now_ms,
    )
    if digest.lease_token:
        state.usage.holder_heard_ms = now_ms
        if state.name in digest.usage_missing:
            state.usage.named_ms = now_ms


def _update_peer_loads(
    state: forwarding_state.ForwardingState,
    peer: membership.Peer,
    digest: digests.Digest,
    *,
    is_new: bool,
) -> None:
    """Replace the load at the upstreams that a peer has reported before."""
    if is_new:
        for upstream in state.upstreams.all():
            upstream.drop_peer_load(peer.name)
    for upstream_id in peer.loaded_upstreams:
        loaded_upstream = state.upstreams.get(upstream_id)
        if loaded_upstream is not None and upstream_id not in digest.loads:
            loaded_upstream.drop_peer_load(peer.name)
    for upstream_id, (streams, tokens) in digest.loads.items():
        loaded_upstream = state.upstreams.get(upstream_id)
        if loaded_upstream is not None:
            loaded_upstream.set_peer_load(peer.name, streams, tokens)
    peer.loaded_upstreams = tuple(digest.loads)


def _fetch_if_behind(
    state: forwarding_state.ForwardingState,
    address: str,
    digest: digests.Digest,
    now_ms: int,
) -> list[effects.Effect]:
    """Fetch the configuration and registrations if the peer has newer ones."""
    if now_ms < state.fetch_due_ms:
        return []
    current = state.deployment
    own_version = 0 if current is None else current.version
    is_behind = digest.config_version > own_version
    # The era of a peer of an earlier release is not known; its version can be
    # compared only as long as the store was not restored.
    if digest.store_era == state.store_era or (
        not digest.store_era and not state.has_seen_restore
    ):
        is_behind |= digest.registry_version > state.registry_version
    if not is_behind:
        return []
    state.fetch_due_ms = now_ms + FETCH_PERIOD_MS
    return [effects.FetchFromPeer(address)]


def _drop_expired_loads(
    state: forwarding_state.ForwardingState, now_ms: int
) -> None:
    age_ms = LOAD_EXPIRY_MS + 2 * digest_period_ms(state.members.count())
    live = {p.name for p in state.members.live(now_ms, age_ms)}
    for upstream in state.upstreams.all():
        for name in upstream.loaded_peers():
            if name not in live:
                upstream.drop_peer_load(name)


def _build_digest(
    state: forwarding_state.ForwardingState,
    now_ms: int,
    wall_ms: int,
    addresses: tuple[str, ...],
) -> digests.Digest:
    loads: dict[str, tuple[int, int]] = {}
    for upstream in state.upstreams.all():
        if upstream.own_streams and len(loads) < digests.MAX_LOADS:
            loads[upstream.registration.upstream_id] = (
                upstream.own_streams,
                upstream.own_pending_tokens,
            )
    parts = tuple(state.new_cached_parts[-digests.MAX_PARTS :])
    state.new_cached_parts.clear()
    latency_log_ratios, state.new_log_ratios = state.new_log_ratios, {}
    contacts: list[str] = []
    if state.digests_sent % DIGESTS_PER_CONTACT_LIST == 1:
        contacts = list(addresses)
    if len(contacts) > digests.MAX_CONTACTS:
        contacts = state.random.sample(contacts, digests.MAX_CONTACTS)
    median_ms = state.members.wall_ms(now_ms, wall_ms)
    state.usage.wall_offset_ms = median_ms - now_ms
    current = state.deployment
    repeats_all = not state.members.uses_relays() or (
        state.digests_sent % DIGESTS_PER_REPEAT == 0
    )
    return digests.Digest(
        contact=state.contact,
        incarnation_ms=state.incarnation_ms,
        sequence_number=state.digests_sent,
        wall_ms=wall_ms,
        config_version=0 if current is None else current.version,
        registry_version=state.registry_version,
        lease_token=state.lease_token,
        used=state.quotas.used(),
        low_levels=state.quotas.low_levels(
            {} if current is None else current.customers, now_ms
        ),
        windows=state.usage.newest_windows(REPORTED_WINDOWS),
        loads=loads,
        parts=parts,
        latency_log_ratios=latency_log_ratios,
        contacts=tuple(contacts),
        work_ms=dict(state.work_ms),
        part_losses=state.part_losses.rows(now_ms, repeats_all=repeats_all),
        request_losses=state.part_losses.request_rows(
            now_ms, repeats_all=repeats_all
        ),
        limits=upstream_limits.rows(state, now_ms, repeats_all=repeats_all),
        leaving=leaving.rows(state, now_ms, repeats_all=repeats_all),
        store_era=state.store_era,
        counted_to_ms=median_ms,
        usage_missing=state.usage.missing_names,
        rollout_evidence=routing.evidence_rows(state, repeats_all=repeats_all),
        rollout_decisions=routing.decision_rows(
            state, now_ms, repeats_all=repeats_all
        ),
        slowness=rows.upstream_rows(state, now_ms),
        times=rows.service_rows(state),
    )
