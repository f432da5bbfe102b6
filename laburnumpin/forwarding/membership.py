"""The entries that know of each other, and the wall time they agree on."""

from __future__ import annotations

import statistics

# A peer that has not been heard for this long is not counted any more.
FORGET_MS = 12_000
# Peers are told of addresses for this long after an entry was last heard.
NEAR_MS = 4_000


class Peer:
    """What the digests of one entry said."""

    __slots__ = (
        "address",
        "config_version",
        "heard_ms",
        "incarnation_ms",
        "lease_token",
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
        # Fencing token while the peer holds the lease, else 0.
        self.lease_token = 0

    @property
    def source(self) -> str:
        """Name the peer's incarnation; counts are kept by it."""
        return f"{self.name}/{self.incarnation_ms}"


class Members:
    """Peers by name, and addresses that have not answered yet."""

    __slots__ = ("_by_name", "_contacts", "_own_address", "_past_work_ms")

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._by_name: dict[str, Peer] = {}
        # What peers had counted that are gone, or have started again.
        self._past_work_ms: dict[str, float] = {}
        # Addresses to which digests go, with the time until which.
        self._contacts: dict[str, int] = {}

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
        if address and address != self._own_address:
            self._contacts.setdefault(address, now_ms + FORGET_MS)

    def hear(
        self, name: str, address: str, incarnation_ms: int, now_ms: int
    ) -> tuple[Peer | None, bool]:
        """Note a digest; return the peer and whether it is new.

        A digest of an older incarnation is ignored: no peer is returned.
        """
        known = self._by_name.get(name)
        is_new = known is None or known.incarnation_ms < incarnation_ms
        if known is not None and incarnation_ms < known.incarnation_ms:
            return None, False
        if known is None or is_new:
            if known is not None:
                self._keep_work(known)
            known = Peer(name, address, incarnation_ms)
            self._by_name[name] = known
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

    def holder_heard(self, now_ms: int, lease_ms: int) -> bool:
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
