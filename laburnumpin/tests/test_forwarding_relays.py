"""Digests over relays while rows of removed entries are in the store."""

from __future__ import annotations

import pytest

from laburnumpin.forwarding import membership

STEP_MS = 250
LINK_CHECK_MS = 500
# A connection to a VM that was removed gets no answer.
CONNECT_TIMEOUT_MS = 700
# After this time all living entries have each other's digests.
CONVERGENCE_MS = 12_000
RUN_MS = 90_000
# A peer without a digest for so long counts as lost.
MAX_SILENCE_MS = membership.LIVE_PEER_MS


class _Entry:
    """A living entry with its links.

    A peer that uses this entry as its relay is a member.
    """

    def __init__(self, contact: membership.Contact, started_ms: int) -> None:
        self.contact = contact
        self.started_ms = started_ms
        self.members = membership.Members(contact)
        # By peer: "member", "relay" or "own_relay".
        self.links: dict[str, str] = {}
        # Peers to which it opened the link.
        self.opened: set[str] = set()
        # When the attempt to open a link fails, by peer.
        self.opening: dict[str, int] = {}


class Fleet:
    """Entries that choose relays, open links and forward digests."""

    def __init__(self) -> None:
        self.rows: list[membership.Contact] = []
        self.living: dict[str, _Entry] = {}
        self.now_ms = 0
        self.max_links = 0

    def add(self, name: str, zone: str, *, living: bool) -> None:
        """Register an entry; all that live know its row from now on."""
        contact = membership.Contact(name, f"{name}:1", zone, 1_000.0)
        self.rows.append(contact)
        if living:
            self.living[name] = _Entry(contact, self.now_ms)
        for entry in self.living.values():
            for row in self.rows:
                entry.members.add_entry(row, self.now_ms)

    def remove(self, name: str) -> None:
        """End an entry; its row stays."""
        del self.living[name]
        for entry in self.living.values():
            entry.links.pop(name, None)

    def run(self, until_ms: int) -> None:
        """Maintain links and exchange digests."""
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            for entry in self.living.values():
                self._fail_links(entry)
                if self.now_ms % LINK_CHECK_MS == 0:
                    self._check_links(entry)
            for entry in self.living.values():
                self._send_digest(entry)
                entry.members.expire(self.now_ms)
                self.max_links = max(self.max_links, len(entry.links))

    def longest_silence_ms(self) -> int:
        """Return the age of the oldest last digest of any pair."""
        oldest_ms = 0
        for entry in self.living.values():
            heard_ms = {
                peer.name: peer.last_digest_ms for peer in entry.members.peers()
            }
            for name in self.living:
                if name != entry.contact.name:
                    age_ms = self.now_ms - heard_ms.get(name, 0)
                    oldest_ms = max(oldest_ms, age_ms)
        return oldest_ms

    def _fail_links(self, entry: _Entry) -> None:
        for name, fails_ms in list(entry.opening.items()):
            if self.now_ms >= fails_ms:
                del entry.opening[name]
                entry.members.record_relay_failure(name, self.now_ms)

    def _check_links(self, entry: _Entry) -> None:
        members = entry.members
        wanted = set()
        if members.uses_relays():
            wanted = {c.name for c in members.links(self.now_ms)}
        own_role = "relay" if members.is_relay(self.now_ms) else "own_relay"
        for name in list(entry.opened):
            role = entry.links.get(name)
            if role is None:
                entry.opened.discard(name)
            elif name not in wanted or role != own_role:
                entry.opened.discard(name)
                del entry.links[name]
                if name in self.living:
                    self.living[name].links.pop(entry.contact.name, None)
        for name in wanted:
            if name in entry.links or name in entry.opening:
                continue
            if name not in self.living:
                entry.opening[name] = self.now_ms + CONNECT_TIMEOUT_MS
                continue
            is_relay = members.is_relay(self.now_ms)
            entry.links[name] = "relay" if is_relay else "own_relay"
            own_name = entry.contact.name
            entry.opened.add(name)
            self.living[name].opened.discard(own_name)
            peer_role = "relay" if is_relay else "member"
            self.living[name].links[own_name] = peer_role

    def _send_digest(self, entry: _Entry) -> None:
        """Deliver an entry's digest as relays forward it."""
        received = {entry.contact.name}
        pending = [(entry, "member")]
        while pending:
            sender, source_role = pending.pop()
            for name, role in sender.links.items():
                if source_role != "member" and role != "member":
                    continue
                if name in received or name not in self.living:
                    continue
                received.add(name)
                receiver = self.living[name]
                receiver.members.record_digest(
                    entry.contact, entry.started_ms, self.now_ms
                )
                sender_role = receiver.links.get(sender.contact.name, "")
                pending.append((receiver, sender_role))


# Living entries whose zones had many removed ones before them tried one dead
# relay after the other, and never met.
@pytest.mark.parametrize(
    ("zones", "removed", "living"),
    [(3, 14, 1), (1, 20, 3), (5, 40, 8), (15, 6, 2), (2, 100, 20)],
)
def test_entries_meet_beside_rows_of_removed_ones(
    zones: int, removed: int, living: int
) -> None:
    fleet = Fleet()
    for number in range(removed + living):
        for zone in range(zones):
            fleet.add(
                f"e{number:03}-{zone:02}", f"z{zone}", living=number >= removed
            )
    fleet.run(CONVERGENCE_MS)
    while fleet.now_ms < RUN_MS:
        fleet.run(fleet.now_ms + STEP_MS)
        assert fleet.longest_silence_ms() <= MAX_SILENCE_MS, fleet.now_ms


# The entries of a fleet are replaced one after the other, each by one with a
# higher name.
@pytest.mark.parametrize("period_ms", [1_000, 5_000, 20_000])
def test_entries_meet_while_they_are_replaced(period_ms: int) -> None:
    fleet = Fleet()
    zones = 3
    for number in range(15):
        fleet.add(f"e{number:03}", f"z{number % zones}", living=True)
    fleet.run(CONVERGENCE_MS)
    assert fleet.longest_silence_ms() <= MAX_SILENCE_MS
    for number in range(15, 75):
        fleet.remove(f"e{number - 15:03}")
        fleet.add(f"e{number:03}", f"z{number % zones}", living=True)
        fleet.run(fleet.now_ms + period_ms)
    fleet.run(fleet.now_ms + CONVERGENCE_MS)
    until_ms = fleet.now_ms + RUN_MS
    while fleet.now_ms < until_ms:
        fleet.run(fleet.now_ms + STEP_MS)
        assert fleet.longest_silence_ms() <= MAX_SILENCE_MS, fleet.now_ms


# All start together and know each other's rows only.
def test_relays_keep_their_number_of_links() -> None:
    fleet = Fleet()
    zones, per_zone = 5, 16
    for number in range(per_zone):
        for zone in range(zones):
            fleet.add(f"e{number:03}-{zone}", f"z{zone}", living=True)
    fleet.run(RUN_MS)
    assert fleet.longest_silence_ms() <= MAX_SILENCE_MS
    relay_links = zones * membership.RELAYS_PER_ZONE
    assert fleet.max_links <= per_zone + relay_links
