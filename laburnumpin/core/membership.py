"""The other entries, from the lagging list and from digests."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import lifecycle
from laburnumpin.core import messages

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

LIST_PERIOD_MS = 5_000
DIGEST_PERIOD_MS = 1_000
# An entry without a digest or list row for this long counts as gone.
MEMBER_TIMEOUT_MS = 30_000


@dataclasses.dataclass(slots=True)
class Member:
    """Another entry."""

    entry: ids.EntryId
    zone: str
    peer_address: str
    leaving: bool = False
    listed_ms: int = 0
    digest_ms: int = 0
    digest_sequence: int = 0
    configuration_version: int = 0


class MembershipState:
    """Members by VM id."""

    __slots__ = ("by_vm", "digest_sequence", "next_digest_ms", "next_list_ms")

    def __init__(self) -> None:
        self.by_vm: dict[str, Member] = {}
        self.digest_sequence = 0
        self.next_digest_ms = 0
        self.next_list_ms = 0


def send(
    state: entry_state.EntryState, to: ids.EntryId, message: messages.Message
) -> list[effects.Effect]:
    """Send a message to an entry; fails like a lost link when unknown."""
    member = state.membership.by_vm.get(to.vm_id)
    address = "" if member is None else member.peer_address
    return [effects.SendPeer(to.vm_id, address, message)]


def reply(
    state: entry_state.EntryState, peer_id: str, message: messages.Message
) -> list[effects.Effect]:
    """Send a message over the link on which a peer sent one."""
    member = state.membership.by_vm.get(peer_id)
    address = "" if member is None else member.peer_address
    return [effects.SendPeer(peer_id, address, message)]


def neighbours(state: entry_state.EntryState, now_ms: int) -> list[Member]:
    """Return the members that get this entry's digests."""
    del now_ms
    result = []
    for member in state.membership.by_vm.values():
        if not member.leaving:
            result.append(member)
    return result


def entry_count(state: entry_state.EntryState) -> int:
    """Return how many entries share limits and store reads."""
    return len(state.membership.by_vm) + 1


def on_vms_listed(
    state: entry_state.EntryState, event: events.VmsListed
) -> list[effects.Effect]:
    """Add new entries and mark those that are leaving."""
    own = state.membership
    for row in event.vms:
        if row.role is not events.VmRole.ENTRY:
            continue
        if row.vm_id == state.entry.vm_id:
            continue
        known = own.by_vm.get(row.vm_id)
        if known is None or known.entry.incarnation < row.incarnation:
            known = Member(
                ids.EntryId(row.vm_id, row.incarnation),
                row.zone,
                row.peer_address,
            )
            own.by_vm[row.vm_id] = known
        known.listed_ms = event.now_ms
        known.leaving = known.leaving or row.leaving
    return []


def on_vm_list_failed(
    state: entry_state.EntryState, event: events.VmListFailed
) -> list[effects.Effect]:
    """Keep the members that are known."""
    del event
    state.counters.increment("platform_failures", "vm_list")
    return []


def on_digest(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Digest,
) -> list[effects.Effect]:
    """Learn of a member from its digest."""
    own = state.membership
    known = own.by_vm.get(message.entry.vm_id)
    if known is None or known.entry.incarnation < message.entry.incarnation:
        known = Member(message.entry, message.zone, message.peer_address)
        own.by_vm[message.entry.vm_id] = known
    if known.entry != message.entry:
        return []
    if message.sequence <= known.digest_sequence:
        return []
    known.digest_sequence = message.sequence
    known.digest_ms = event.now_ms
    known.leaving = known.leaving or not message.accepting
    known.configuration_version = message.configuration_version
    return []


def on_peer_disconnected(
    state: entry_state.EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Count a lost link."""
    del event
    state.counters.increment("peer_links_lost")
    return []


def on_peer_send_failed(
    state: entry_state.EntryState, event: events.PeerSendFailed
) -> list[effects.Effect]:
    """Count a message that was not sent."""
    del event
    state.counters.increment("peer_sends_failed")
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Read the list and send digests when due."""
    own = state.membership
    result: list[effects.Effect] = []
    if event.now_ms >= own.next_list_ms:
        own.next_list_ms = event.now_ms + LIST_PERIOD_MS
        result.append(effects.ListVms())
    if event.now_ms < own.next_digest_ms:
        return result
    own.next_digest_ms = event.now_ms + DIGEST_PERIOD_MS
    own.digest_sequence += 1
    digest = _digest(state)
    for member in neighbours(state, event.now_ms):
        result.extend(send(state, member.entry, digest))
    return result


def _digest(state: entry_state.EntryState) -> messages.Digest:
    current = state.configuration.current
    loads = []
    for upstream in state.upstreams.by_id.values():
        if upstream.attempts:
            loads.append(
                messages.UpstreamLoad(
                    upstream.upstream_id, len(upstream.attempts)
                )
            )
    leaving = []
    for upstream_id, incarnation in state.upstreams.leaving:
        leaving.append(messages.LeavingUpstream(upstream_id, incarnation))
    phase = state.lifecycle.phase
    return messages.Digest(
        entry=state.entry,
        sequence=state.membership.digest_sequence,
        zone=state.zone,
        peer_address=state.peer_address,
        accepting=phase in (lifecycle.Phase.STARTING, lifecycle.Phase.SERVING),
        configuration_version=0 if current is None else current.version,
        confirmed_age_ms=0,
        loads=tuple(loads),
        leaving=tuple(leaving),
        departures=tuple(state.handover.departures.values()),
        demands=(),
    )
