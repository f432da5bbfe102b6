"""The known entries: which are live, which are relays, and their median clock.

Entries discover each other by rows in the store, by configured addresses and by
digests.
"""

from __future__ import annotations

import dataclasses
import json
import statistics
import zlib

from laburnumpin.forwarding import untrusted

# Longest row of an entry in the store.
MAX_ROW_BYTES = 65_536
# A peer whose last digest is older than this is removed.
PEER_EXPIRY_MS = 12_000
# A digest of a lower incarnation counts as delayed while the last one of the
# higher incarnation is not older than this, which is more than two digest
# periods. After that the entry has restarted with its clock set back.
LATE_DIGEST_MS = 2_000
# A peer counts as live for this long after its last digest.
LIVE_PEER_MS = 4_000


# Up to this many entries send their digests to each other directly; larger
# fleets use relays.
MAX_MESH_ENTRIES = 12
RELAYS_PER_ZONE = 2
# An entry to which a link failed is not linked for this long. Each further
# failure without a digest in between doubles the time, up to the longest.
FAILED_LINK_MS = 5_000
MAX_FAILED_LINK_MS = 320_000
# A registered entry without a digest counts as running for this long after its
# row was first read.
UNHEARD_GRACE_MS = 3_000
# Links that a relay opens at once to entries from which nothing was heard.
MAX_PROBES = 32


@dataclasses.dataclass(slots=True, frozen=True)
class Contact:
    """An entry's name, peer address and zone, and its link's bandwidth."""

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
            MalformedError: The row is malformed.
        """
        fields = untrusted.parse_json(value, MAX_ROW_BYTES)
        return Contact(
            untrusted.text(name, "name"),
            untrusted.host_address(
                untrusted.required(fields, "address"), "address"
            ),
            untrusted.text(untrusted.required(fields, "zone"), "zone"),
            untrusted.number(
                untrusted.required(fields, "link_mbps"), "link_mbps"
            ),
        )


def is_stale_incarnation(
    incarnation_ms: int, known_incarnation_ms: int, digest_age_ms: int
) -> bool:
    """Return whether a digest is a delayed one of an ended incarnation.

    `known_incarnation_ms` is the incarnation of the entry's last digest, which
    arrived `digest_age_ms` ago.
    """
    return (
        incarnation_ms < known_incarnation_ms
        and digest_age_ms <= LATE_DIGEST_MS
    )


class Peer:
    """The state of another entry as of its last digest."""

    __slots__ = (
        "address",
        "config_version",
        "incarnation_ms",
        "last_digest_ms",
        "lease_token",
        "loaded_upstreams",
        "name",
        "registry_version",
        "reports_losses",
        "wall_offset_ms",
        "work_ms",
    )

    def __init__(self, name: str, address: str, incarnation_ms: int) -> None:
        self.name = name
        self.address = address
        self.incarnation_ms = incarnation_ms
        self.last_digest_ms = 0
        self.config_version = 0
        self.registry_version = 0
        # Its wall clock minus this entry's boot clock.
        self.wall_offset_ms = 0
        # Engine time of the requests that arrived there, by service.
        self.work_ms: dict[str, float] = {}
        # Upstreams with a load in its last digest.
        self.loaded_upstreams: tuple[str, ...] = ()
        # Fencing token while the peer holds the lease, else 0.
        self.lease_token = 0
        # Whether its digests report upstreams that ended.
        self.reports_losses = True

    @property
    def incarnation_name(self) -> str:
        """The key of the peer's incarnation, under which usage is counted."""
        return f"{self.name}/{self.incarnation_ms}"


@dataclasses.dataclass(slots=True)
class _LinkFailure:
    """Failures to open a link, or to keep it, since the last digest."""

    count: int
    until_ms: int


class Members:
    """Peers that send digests, registered entries and digest addresses."""

    __slots__ = (
        "_address_expiry_ms",
        "_ended_work_ms",
        "_entries",
        "_link_failures",
        "_own_contact",
        "_peers",
        "_registered_until_ms",
    )

    def __init__(self, own_contact: Contact) -> None:
        self._own_contact = own_contact
        # Other entries by name, with the time of the last digest, or of the
        # first read of their row.
        self._entries: dict[str, tuple[Contact, int]] = {}
        # Entries to which links failed, by name.
        self._link_failures: dict[str, _LinkFailure] = {}
        # Entries that have sent a digest, by name.
        self._peers: dict[str, Peer] = {}
        # Engine time counted by incarnations that have ended, by service.
        self._ended_work_ms: dict[str, float] = {}
        # Until when digests are sent to an address, by address.
        self._address_expiry_ms: dict[str, int] = {}
        # Until when registered entries without a digest count as running.
        self._registered_until_ms: int | None = None

    def peers(self) -> list[Peer]:
        """Return the peers whose digests have not expired."""
        return list(self._peers.values())

    def live(self, now_ms: int, within_ms: int = LIVE_PEER_MS) -> list[Peer]:
        """Return the peers whose last digest is recent."""
        live = []
        for peer in self._peers.values():
            if now_ms <= peer.last_digest_ms + within_ms:
                live.append(peer)
        return live

    def count(self) -> int:
        """Return the number of peers and this entry."""
        return len(self._peers) + 1

    def expected_count(self, now_ms: int) -> int:
        """Return the estimated number of entries, this one included.

        A new process has not received all peers' digests yet and may be
        partitioned, so at first it counts the registered entries too. Later an
        entry without recent digests counts as stopped.
        """
        if self._registered_until_ms is None:
            self._registered_until_ms = now_ms + PEER_EXPIRY_MS
        if now_ms >= self._registered_until_ms:
            return self.count()
        contact_count = max(len(self._entries), len(self._address_expiry_ms))
        return max(self.count(), contact_count + 1)

    def names(self, now_ms: int) -> list[str]:
        """Return the names of the entries, this one not included.

        As in `expected_count`, a new process counts the registered ones too.
        """
        if self._registered_until_ms is None or (
            now_ms < self._registered_until_ms
        ):
            return list({*self._peers, *self._entries})
        return list(self._peers)

    def digest_addresses(self, now_ms: int) -> list[str]:
        """Return the addresses to which digests are sent."""
        addresses = []
        for address, until_ms in list(self._address_expiry_ms.items()):
            if now_ms >= until_ms:
                del self._address_expiry_ms[address]
                continue
            addresses.append(address)
        return addresses

    def add_contact(self, address: str, now_ms: int) -> None:
        """Send digests to an address until it expires without a reply.

        Each digest that is received from the address extends its expiry.
        """
        if address and address != self._own_contact.address:
            self._address_expiry_ms.setdefault(address, now_ms + PEER_EXPIRY_MS)

    def add_entry(self, contact: Contact, now_ms: int) -> None:
        """Add an entry that is registered in the store."""
        if contact.name == self._own_contact.name:
            return
        self._entries.setdefault(contact.name, (contact, now_ms))
        self.add_contact(contact.address, now_ms)

    def uses_relays(self) -> bool:
        """Return whether there are too many entries for a full mesh."""
        return len(self._entries) + 1 > MAX_MESH_ENTRIES

    def relays(self, zone: str, now_ms: int) -> list[Contact]:
        """Return the relays of a zone, which may include this entry.

        They are the running entries with the highest link bandwidth. The result
        is the same at all entries that have heard the same entries.
        """
        candidates = []
        if zone == self._own_contact.zone:
            candidates.append(self._own_contact)
        for contact, since_ms in self._entries.values():
            if contact.zone != zone or self._has_failed(contact, now_ms):
                continue
            if self._may_run(contact, since_ms, now_ms):
                candidates.append(contact)
        candidates.sort(key=lambda c: (-c.link_mbps, c.name))
        return candidates[:RELAYS_PER_ZONE]

    def links(self, now_ms: int) -> list[Contact]:
        """Return the entries to which this one opens a link.

        Relays are linked with each other; the one with the higher name opens
        the link. They also try entries from which nothing was heard, in case
        they run and have not found a relay. Any other entry opens one link, to
        a relay of its zone.
        """
        own_relays = self.relays(self._own_contact.zone, now_ms)
        if self._own_contact not in own_relays:
            own_hash = zlib.crc32(self._own_contact.name.encode())
            return [own_relays[own_hash % len(own_relays)]]
        zones = {contact.zone for contact, _ in self._entries.values()}
        linked = []
        for zone in sorted(zones | {self._own_contact.zone}):
            for contact in self.relays(zone, now_ms):
                if contact.name < self._own_contact.name:
                    linked.append(contact)
        return linked + self._probes(now_ms)

    def _probes(self, now_ms: int) -> list[Contact]:
        """Return entries that may run though nothing was heard from them."""
        probes = []
        for contact, since_ms in self._entries.values():
            if contact.name > self._own_contact.name:
                continue  # It tries this entry.
            if self._may_run(contact, since_ms, now_ms):
                continue
            if not self._has_failed(contact, now_ms):
                probes.append(contact)
        # Each relay has an order of its own, so that together they soon meet
        # those that run.
        probes.sort(key=self._probe_order)
        return probes[:MAX_PROBES]

    def _probe_order(self, contact: Contact) -> tuple[int, int]:
        failure = self._link_failures.get(contact.name)
        names = f"{self._own_contact.name}/{contact.name}"
        return failure.count if failure else 0, zlib.crc32(names.encode())

    def _may_run(self, contact: Contact, since_ms: int, now_ms: int) -> bool:
        """Return whether an entry runs, or may have been started just now."""
        if contact.name in self._peers:
            return True
        return (
            contact.name not in self._link_failures
            and now_ms < since_ms + UNHEARD_GRACE_MS
        )

    def _has_failed(self, contact: Contact, now_ms: int) -> bool:
        failure = self._link_failures.get(contact.name)
        return failure is not None and now_ms < failure.until_ms

    def is_relay(self, now_ms: int) -> bool:
        """Return whether this entry is a relay of its zone."""
        return self._own_contact in self.relays(self._own_contact.zone, now_ms)

    def record_relay_failure(self, name: str, now_ms: int) -> None:
        """Record a failed link, which is not opened again for a while."""
        failure = self._link_failures.get(name)
        count = 1 if failure is None else failure.count + 1
        pause_ms = min(FAILED_LINK_MS << min(count - 1, 16), MAX_FAILED_LINK_MS)
        self._link_failures[name] = _LinkFailure(count, now_ms + pause_ms)

    def record_digest(
        self, contact: Contact, incarnation_ms: int, now_ms: int
    ) -> tuple[Peer | None, bool]:
        """Record a digest; return its peer and whether the incarnation is new.

        A delayed digest of an ended incarnation is ignored; the peer is None.
        """
        name, address = contact.name, contact.address
        peer = self._peers.get(name)
        is_new = peer is None or peer.incarnation_ms != incarnation_ms
        if peer is not None and is_stale_incarnation(
            incarnation_ms, peer.incarnation_ms, now_ms - peer.last_digest_ms
        ):
            return None, False
        if peer is None or is_new:
            if peer is not None:
                self._archive_work(peer)
            peer = Peer(name, address, incarnation_ms)
            self._peers[name] = peer
            self._link_failures.pop(name, None)
        failure = self._link_failures.get(name)
        if failure is not None:
            failure.count = 0
        self._entries[name] = (contact, now_ms)
        peer.last_digest_ms = now_ms
        self._address_expiry_ms[address] = now_ms + PEER_EXPIRY_MS
        return peer, is_new

    def expire(self, now_ms: int) -> list[Peer]:
        """Remove and return the peers whose last digest has expired."""
        expired = []
        for name, peer in list(self._peers.items()):
            if now_ms > peer.last_digest_ms + PEER_EXPIRY_MS:
                self._archive_work(peer)
                expired.append(self._peers.pop(name))
                self._entries.pop(name, None)
        return expired

    def work_ms(self, service: str) -> float:
        """Return the engine time that peers have counted, ended ones included.

        `service` is a service, or a service with a prompt size class.
        """
        total = self._ended_work_ms.get(service, 0.0)
        for peer in self._peers.values():
            total += peer.work_ms.get(service, 0.0)
        return total

    def _archive_work(self, peer: Peer) -> None:
        for service, work_ms in peer.work_ms.items():
            archived_ms = self._ended_work_ms.get(service, 0.0)
            self._ended_work_ms[service] = archived_ms + work_ms

    def holder_is_live(self, now_ms: int, lease_ms: int) -> bool:
        """Return whether a peer's digest says that it holds the lease.

        The digest must not be older than a lease.
        """
        for peer in self._peers.values():
            if peer.lease_token and now_ms <= peer.last_digest_ms + lease_ms:
                return True
        return False

    def wall_ms(self, now_ms: int, own_wall_ms: int) -> int:
        """Return the median wall-clock time of the live entries.

        A clock step on a few VMs does not change it.
        """
        offsets = [own_wall_ms - now_ms]
        for peer in self.live(now_ms):
            offsets.append(peer.wall_offset_ms)
        return now_ms + int(statistics.median_low(offsets))
