"""Membership of the entries, from the platform's VM list and from digests.

The list may be out of date. Each entry sends a digest to a few neighbours every
`DIGEST_PERIOD_MS`.
"""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING

from laburnumpin.core import digests
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import messages

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

LIST_PERIOD_MS = 5_000
# The VM list grows with the deployment, so a long one is read less often to
# keep an entry's control traffic within its limit. New entries are then
# discovered through digests.
LIST_BUDGET_BYTES_PER_S = 8_000
# Approximate size of a row of the VM list.
LIST_ROW_BYTES = 200
DIGEST_PERIOD_MS = 1_000
LOCAL_NEIGHBOURS = 5
REMOTE_NEIGHBOURS = 3
# Digests sent per period in reply to entries that are not neighbours. Without
# replies, an entry that no other chose as neighbour would get no digests.
MAX_REPLIES = 8
# A member is not chosen as neighbour for this long after its link failed.
SUSPECT_MS = 5_000
# A member that is not in the VM list is removed this long after its last
# digest.
MEMBER_TIMEOUT_MS = 30_000


@dataclasses.dataclass(slots=True)
class Member:
    """Another entry.

    `rank` is the rendezvous hash of this entry and the member, by which
    neighbours are chosen; each entry ranks the members differently.
    `digest_ms` is when the last digest arrived, and `replied_ms` when the
    last reply was sent.
    """

    entry: ids.EntryId
    zone: str
    peer_address: str
    rank: bytes
    leaving: bool = False
    listed: bool = False
    digest_ms: int = 0
    digest_sequence: int = 0
    configuration_version: int = 0
    suspect_until_ms: int = 0
    replied_ms: int = -DIGEST_PERIOD_MS


class MembershipState:
    """Members by VM id and the neighbours chosen among them.

    `neighbours_stale` requests a new choice before the next use.
    `replies_in_period` counts the replies since the last periodic digest.
    """

    __slots__ = (
        "by_vm",
        "digest_sequence",
        "neighbour_ids",
        "neighbours_stale",
        "next_digest_ms",
        "next_list_ms",
        "replies_in_period",
    )

    def __init__(self) -> None:
        self.by_vm: dict[str, Member] = {}
        self.digest_sequence = 0
        self.neighbour_ids: tuple[str, ...] = ()
        self.neighbours_stale = True
        self.next_digest_ms = 0
        self.next_list_ms = 0
        self.replies_in_period = 0


def send(
    state: entry_state.EntryState, to: ids.EntryId, message: messages.Message
) -> list[effects.Effect]:
    """Send a message to an entry.

    Sending to an unknown entry fails in the same way as over a lost link.
    """
    return reply(state, to.vm_id, message)


def reply(
    state: entry_state.EntryState, peer_id: str, message: messages.Message
) -> list[effects.Effect]:
    """Send a message to the peer with this VM id."""
    member = state.membership.by_vm.get(peer_id)
    address = "" if member is None else member.peer_address
    return [effects.SendPeer(peer_id, address, message)]


def neighbours(state: entry_state.EntryState, now_ms: int) -> list[Member]:
    """Return the members to which this entry sends its digests.

    They are chosen by rendezvous hashing: `LOCAL_NEIGHBOURS` in this entry's
    data centre and `REMOTE_NEIGHBOURS` elsewhere. When one group is too
    small, members of the other are chosen instead.
    """
    membership = state.membership
    if membership.neighbours_stale:
        membership.neighbour_ids = _choose_neighbours(state, now_ms)
        membership.neighbours_stale = False
    result = []
    for vm_id in membership.neighbour_ids:
        result.append(membership.by_vm[vm_id])
    return result


def entry_count(state: entry_state.EntryState) -> int:
    """Return the number of entries that share quotas and store reads.

    This is the larger of the configured and the observed count, so that a
    partial view never raises an entry's share of a limit.
    """
    count = 1
    for member in state.membership.by_vm.values():
        if not member.leaving:
            count += 1
    current = state.configuration.current
    if current is None:
        return count
    return max(count, current.deployment.entry_count)


def data_center(state: entry_state.EntryState, zone: str) -> str:
    """Return the data centre of a zone, or the zone itself when unknown."""
    current = state.configuration.current
    if current is None:
        return zone
    known_zone = current.deployment.zones.get(zone)
    return zone if known_zone is None else known_zone.data_center


def on_vms_listed(
    state: entry_state.EntryState, event: events.VmsListed
) -> list[effects.Effect]:
    """Add new entries, mark leaving ones and remove expired ones."""
    membership = state.membership
    for member in membership.by_vm.values():
        member.listed = False
    for row in event.vms:
        if row.role is not events.VmRole.ENTRY:
            continue
        if row.vm_id == state.entry.vm_id:
            continue
        entry = ids.EntryId(row.vm_id, row.incarnation)
        listed_member = _add_member(state, entry, row.zone, row.peer_address)
        if listed_member.entry != entry:
            continue
        listed_member.listed = True
        listed_member.leaving = listed_member.leaving or row.leaving
    _remove_expired(state, event.now_ms)
    membership.neighbours_stale = True
    size_bytes = len(event.vms) * LIST_ROW_BYTES
    period_ms = max(
        LIST_PERIOD_MS, size_bytes * 1_000 // LIST_BUDGET_BYTES_PER_S
    )
    jitter_ms = state.random.randint(0, period_ms // 5)
    membership.next_list_ms = event.now_ms + period_ms - jitter_ms
    return []


def on_vm_list_failed(
    state: entry_state.EntryState, event: events.VmListFailed
) -> list[effects.Effect]:
    """Count the failure; the known members stay."""
    del event
    state.counters.increment("platform_failures", "vm_list")
    return []


def on_digest(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Digest,
) -> list[effects.Effect]:
    """Update a member from its digest; reply unless it is a neighbour."""
    if message.entry.vm_id == state.entry.vm_id:
        return []
    member = _add_member(
        state, message.entry, message.zone, message.peer_address
    )
    if member.entry != message.entry:
        state.counters.increment("digests_ignored", "old_incarnation")
        return []
    if message.sequence <= member.digest_sequence:
        state.counters.increment("digests_ignored", "old_sequence")
        return []
    member.digest_sequence = message.sequence
    member.digest_ms = event.now_ms
    member.suspect_until_ms = 0
    if not message.accepting and not member.leaving:
        member.leaving = True
        state.membership.neighbours_stale = True
    member.configuration_version = message.configuration_version
    return _send_reply_digest(state, member, event.now_ms)


def on_peer_disconnected(
    state: entry_state.EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Avoid a peer as neighbour for `SUSPECT_MS` after a lost link."""
    state.counters.increment("peer_links_lost")
    _suspect(state, event.peer_id, event.now_ms)
    return []


def on_peer_send_failed(
    state: entry_state.EntryState, event: events.PeerSendFailed
) -> list[effects.Effect]:
    """Avoid a peer as neighbour for `SUSPECT_MS` after a failed send."""
    state.counters.increment("peer_sends_failed")
    _suspect(state, event.peer_id, event.now_ms)
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Read the VM list and send digests when due."""
    membership = state.membership
    result: list[effects.Effect] = []
    if event.now_ms >= membership.next_list_ms:
        membership.next_list_ms = event.now_ms + LIST_PERIOD_MS
        result.append(effects.ListVms())
    if event.now_ms < membership.next_digest_ms:
        return result
    membership.next_digest_ms = event.now_ms + DIGEST_PERIOD_MS
    membership.replies_in_period = 0
    membership.neighbours_stale = True
    membership.digest_sequence += 1
    digest = digests.build(state, event.now_ms)
    for member in neighbours(state, event.now_ms):
        result.extend(send(state, member.entry, digest))
    return result


def _add_member(
    state: entry_state.EntryState,
    entry: ids.EntryId,
    zone: str,
    peer_address: str,
) -> Member:
    membership = state.membership
    existing = membership.by_vm.get(entry.vm_id)
    if existing is not None and existing.entry.incarnation >= entry.incarnation:
        return existing
    pair = f"{state.entry.vm_id}/{entry.vm_id}".encode()
    rank = hashlib.blake2b(pair, digest_size=8).digest()
    member = Member(entry, zone, peer_address, rank)
    membership.by_vm[entry.vm_id] = member
    membership.neighbours_stale = True
    return member


def _remove_expired(state: entry_state.EntryState, now_ms: int) -> None:
    membership = state.membership
    for vm_id, member in list(membership.by_vm.items()):
        if member.listed or now_ms < member.digest_ms + MEMBER_TIMEOUT_MS:
            continue
        del membership.by_vm[vm_id]


def _suspect(state: entry_state.EntryState, peer_id: str, now_ms: int) -> None:
    member = state.membership.by_vm.get(peer_id)
    if member is None:
        return
    member.suspect_until_ms = now_ms + SUSPECT_MS
    state.membership.neighbours_stale = True


def _send_reply_digest(
    state: entry_state.EntryState, member: Member, now_ms: int
) -> list[effects.Effect]:
    membership = state.membership
    if membership.replies_in_period >= MAX_REPLIES:
        return []
    # Without this limit, two entries with different views could reply to each
    # other's replies endlessly.
    if now_ms < member.replied_ms + DIGEST_PERIOD_MS:
        return []
    neighbours(state, now_ms)
    if member.entry.vm_id in membership.neighbour_ids:
        return []
    membership.replies_in_period += 1
    member.replied_ms = now_ms
    membership.digest_sequence += 1
    return send(state, member.entry, digests.build(state, now_ms))


def _choose_neighbours(
    state: entry_state.EntryState, now_ms: int
) -> tuple[str, ...]:
    own_data_center = data_center(state, state.zone)
    local: list[tuple[bytes, str]] = []
    remote: list[tuple[bytes, str]] = []
    for vm_id, member in state.membership.by_vm.items():
        if member.leaving or now_ms < member.suspect_until_ms:
            continue
        if data_center(state, member.zone) == own_data_center:
            local.append((member.rank, vm_id))
            continue
        remote.append((member.rank, vm_id))
    local.sort()
    remote.sort()
    total = LOCAL_NEIGHBOURS + REMOTE_NEIGHBOURS
    remote_count = max(REMOTE_NEIGHBOURS, total - len(local))
    local_count = max(LOCAL_NEIGHBOURS, total - len(remote))
    chosen = []
    for _, vm_id in local[:local_count] + remote[:remote_count]:
        chosen.append(vm_id)
    return tuple(chosen)
