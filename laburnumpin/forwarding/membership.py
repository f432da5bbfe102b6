"""The entries that know of each other, and the wall time they agree on."""

from __future__ import annotations

import dataclasses
import json
import statistics
import zlib

# A peer that has not been heard for this long is not counted any more.
FORGET_MS = 12_000
# A digest of a lower incarnation is a late one as long as the higher was heard
# within this time, over two pauses between digests. After that the entry has
# started again on an earlier time of day.
LATE_DIGEST_MS = 2_000
# Peers are told of addresses for this long after an entry was last heard.
NEAR_MS = 4_000


# Up to this many entries send their digests to each other directly. More of
# them use relays.
MESH_ENTRIES = 12
RELAYS_PER_ZONE = 2
# An entry that did not work as a relay is not tried again for this long.
RELAY_PAUSE_MS = 5_000


@dataclasses.dataclass(slots=True, frozen=True)
class Contact:
    """Where an entry is, and the bandwidth of its link."""

    name: str
    address: str
    zone: str
    link_mbps: float

    def encode(self) -> bytes:
        """Return the value of the entry's row in the store."""
        fields = {
            "address": self.address,
            "zone": self.zone,
            "link_mbps": self.link_mbps,
        }
        return json.dumps(fields).encode()

    @staticmethod
    def decode(name: str, value: bytes) -> Contact:
        """Return the contact in a row.

        Raises:
            ValueError: The row is malformed.
        """
        fields = json.loads(value)
        if not isinstance(fields, dict):
            raise ValueError("a row of an entry is not an object")
        try:
            return Contact(
                name,
                str(fields["address"]),
                str(fields["zone"]),
                float(fields["link_mbps"]),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f"a row of an entry: {error!r}") from error


def is_late_incarnation(
    incarnation_ms: int, known_ms: int, silent_ms: int
) -> bool:
    """Return whether a digest is of an incarnation that has ended.

    `known_ms` is the incarnation that was last heard, `silent_ms` ago.
    """
    return incarnation_ms < known_ms and silent_ms <= LATE_DIGEST_MS


class Peer:
    """What the digests of one entry said."""

    __slots__ = (
        "address",
        "config_version",
        "heard_ms",
        "incarnation_ms",
        "lease_token",
        "loaded",
        "name",
        "registry_version",
        "wall_offset_ms",
        "work_ms",
    )

    def __init__(self, name: str, address: str, incarnation_ms: int) -> None:
        self.name = name
        self.address = address
        self.incarnation_ms = incarnation_ms
        self.heard_ms = 0
        self.config_version = 0
        self.registry_version = 0
        self.wall_offset_ms = 0
        self.work_ms: dict[str, float] = {}
        # Upstreams that its last digest named a load of.
        self.loaded: tuple[str, ...] = ()
        # Fencing token while the peer holds the lease, else 0.
        self.lease_token = 0

    @property
    def source(self) -> str:
        """Name the peer's incarnation; counts are kept by it."""
        return f"{self.name}/{self.incarnation_ms}"


class Members:
    """Peers by name, and addresses that have not answered yet."""

    __slots__ = (
        "_by_name",
        "_contacts",
        "_entries",
        "_expected_until_ms",
        "_failed_relays",
        "_own",
        "_past_work_ms",
    )

    def __init__(self, own: Contact) -> None:
        self._own = own
        # Entries by name, and when each was last heard or read of.
        self._entries: dict[str, tuple[Contact, int]] = {}
        # Entries that failed as relays, with the time until which.
        self._failed_relays: dict[str, int] = {}
        self._by_name: dict[str, Peer] = {}
        # What peers had counted that are gone, or have started again.
        self._past_work_ms: dict[str, float] = {}
        # Addresses to which digests go, with the time until which.
        self._contacts: dict[str, int] = {}
        # Until when entries that are only read of are expected to be there.
        self._expected_until_ms: int | None = None

    def peers(self) -> list[Peer]:
        """Return the known peers."""
        return list(self._by_name.values())

    def live(self, now_ms: int, within_ms: int = NEAR_MS) -> list[Peer]:
        """Return the peers that were heard lately."""
        live = []
        for peer in self._by_name.values():
            if now_ms <= peer.heard_ms + within_ms:
                live.append(peer)
        return live

    def count(self) -> int:
        """Return the number of entries, this one included."""
        return len(self._by_name) + 1

    def expected(self, now_ms: int) -> int:
        """Return the number of entries that there are, heard or not.

        A new process has not heard the others yet, and may be cut off from
        them. Later an entry that is silent for long counts as gone.
        """
        if self._expected_until_ms is None:
            self._expected_until_ms = now_ms + FORGET_MS
        if now_ms >= self._expected_until_ms:
            return self.count()
        known = max(len(self._entries), len(self._contacts))
        return max(self.count(), known + 1)

    def targets(self, now_ms: int) -> list[str]:
        """Return the addresses to which digests are sent."""
        targets = []
        for address, until_ms in list(self._contacts.items()):
            if now_ms >= until_ms:
                del self._contacts[address]
                continue
            targets.append(address)
        return targets

    def add_contact(self, address: str, now_ms: int) -> None:
        """Send digests to an address until nothing is heard from it."""
        if address and address != self._own.address:
            self._contacts.setdefault(address, now_ms + FORGET_MS)

    def add_entry(self, contact: Contact, now_ms: int) -> None:
        """Note an entry that is registered in the store."""
        if contact.name == self._own.name:
            return
        self._entries.setdefault(contact.name, (contact, now_ms))
        self.add_contact(contact.address, now_ms)

    def uses_relays(self) -> bool:
        """Return whether there are too many entries for a mesh."""
        return len(self._entries) + 1 > MESH_ENTRIES

    def relays(self, zone: str, now_ms: int) -> list[Contact]:
        """Return the relays of a zone, this entry possibly among them.

        They are the entries with the fastest links; all entries that know
        the same entries agree.
        """
        found = []
        if zone == self._own.zone:
            found.append(self._own)
        for contact, _ in self._entries.values():
            if contact.zone != zone:
                continue
            if now_ms < self._failed_relays.get(contact.name, 0):
                continue
            found.append(contact)
        found.sort(key=lambda c: (-c.link_mbps, c.name))
        return found[:RELAYS_PER_ZONE]

    def links(self, now_ms: int) -> list[Contact]:
        """Return the entries to which this one opens a link.

        A relay has links to the other relays, any other entry has one to a
        relay of its zone.
        """
        own_relays = self.relays(self._own.zone, now_ms)
        if self._own in own_relays:
            zones = {contact.zone for contact, _ in self._entries.values()}
            linked = []
            for zone in sorted(zones | {self._own.zone}):
                for contact in self.relays(zone, now_ms):
                    if contact.name < self._own.name:
                        linked.append(contact)
            return linked
        index = zlib.crc32(self._own.name.encode()) % len(own_relays)
        return [own_relays[index]]

    def is_relay(self, now_ms: int) -> bool:
        """Return whether this entry is a relay of its zone."""
        return self._own in self.relays(self._own.zone, now_ms)

    def relay_failed(self, name: str, now_ms: int) -> None:
        """Use another relay for a while."""
        self._failed_relays[name] = now_ms + RELAY_PAUSE_MS

    def hear(
        self, contact: Contact, incarnation_ms: int, now_ms: int
    ) -> tuple[Peer | None, bool]:
        """Note a digest; return the peer and whether it is new.

        A late digest of an older incarnation is ignored: no peer is returned.
        """
        name, address = contact.name, contact.address
        known = self._by_name.get(name)
        is_new = known is None or known.incarnation_ms != incarnation_ms
        if known is not None and is_late_incarnation(
            incarnation_ms, known.incarnation_ms, now_ms - known.heard_ms
        ):
            return None, False
        if known is None or is_new:
            if known is not None:
                self._keep_work(known)
            known = Peer(name, address, incarnation_ms)
            self._by_name[name] = known
            self._failed_relays.pop(name, None)
        self._entries[name] = (contact, now_ms)
        known.heard_ms = now_ms
        self._contacts[address] = now_ms + FORGET_MS
        return known, is_new

    def expire(self, now_ms: int) -> list[Peer]:
        """Forget peers that have been silent for long."""
        gone = []
        for name, peer in list(self._by_name.items()):
            if now_ms > peer.heard_ms + FORGET_MS:
                self._keep_work(peer)
                gone.append(self._by_name.pop(name))
                self._entries.pop(name, None)
        return gone

    def work_ms(self, service: str) -> float:
        """Return the engine time that all peers have counted."""
        total = self._past_work_ms.get(service, 0.0)
        for peer in self._by_name.values():
            total += peer.work_ms.get(service, 0.0)
        return total

    def _keep_work(self, peer: Peer) -> None:
        for service, work_ms in peer.work_ms.items():
            past = self._past_work_ms.get(service, 0.0)
            self._past_work_ms[service] = past + work_ms

    def holder_is_live(self, now_ms: int, lease_ms: int) -> bool:
        """Return whether a peer has lately said that it holds the lease."""
        for peer in self._by_name.values():
            if peer.lease_token and now_ms <= peer.heard_ms + lease_ms:
                return True
        return False

    def wall_ms(self, now_ms: int, own_wall_ms: int) -> int:
        """Return the time of day that the median entry has.

        A step of the clock on a few VMs does not move it.
        """
        offsets = [own_wall_ms - now_ms]
        for peer in self.live(now_ms):
            offsets.append(peer.wall_offset_ms)
        return now_ms + int(statistics.median_low(offsets))
