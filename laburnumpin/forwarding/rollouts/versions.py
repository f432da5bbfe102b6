"""Which versions of a service are established, and which are withheld."""

from __future__ import annotations

from collections.abc import Mapping

# Versions of one service that are remembered.
MAX_VERSIONS = 16
# A denied version whose upstreams are the only ones for this long is used
# again. Those of a version that was rolled back are drained well before.
DENIED_ALONE_MS = 60_000


class KnownVersions:
    """The versions of one service, apart from the target of an order.

    A version that appears beside an established one is held back for a bounded
    time, since an order for it may be on its way. Versions that a roll-out has
    left stay denied until an order names them, or nothing else has been there
    for long.
    """

    __slots__ = (
        "_alone_since_ms",
        "_hold_ms",
        "denied",
        "established",
        "held_since_ms",
        "ready",
    )

    def __init__(self, hold_ms: int) -> None:
        self.established: set[str] = set()
        self.denied: set[str] = set()
        self.held_since_ms: dict[str, int] = {}
        self.ready: dict[str, int] = {}
        self._alone_since_ms: int | None = None
        self._hold_ms = hold_ms

    def note(
        self,
        ready_by_version: Mapping[str, int],
        target_version: str | None,
        now_ms: int,
    ) -> None:
        """Take in the number of ready upstreams by version."""
        self.ready = {
            version: count
            for version, count in ready_by_version.items()
            if count > 0
        }
        for version in list(self.held_since_ms):
            if version not in self.ready:
                del self.held_since_ms[version]
        self.refresh(target_version, now_ms)

    def refresh(self, target_version: str | None, now_ms: int) -> None:
        """Establish versions whose time has come."""
        self._readmit(target_version, now_ms)
        candidates = [
            version
            for version in self.ready
            if version not in self.established
            and version not in self.denied
            and version != target_version
        ]
        if not candidates:
            return
        if not any(version in self.ready for version in self.established):
            # At a start, the one with most upstreams was there before.
            first = min(candidates, key=lambda name: (-self.ready[name], name))
            self._establish(first)
            candidates.remove(first)
        for version in candidates:
            since_ms = self.held_since_ms.setdefault(version, now_ms)
            if now_ms - since_ms >= self._hold_ms:
                self._establish(version)
        while len(self.held_since_ms) > MAX_VERSIONS:
            self.held_since_ms.pop(next(iter(self.held_since_ms)))

    def next_change_ms(self) -> int | None:
        """Return when the next version is established by time alone."""
        if self._alone_since_ms is not None:
            return self._alone_since_ms + DENIED_ALONE_MS
        if not self.held_since_ms:
            return None
        return min(self.held_since_ms.values()) + self._hold_ms

    def deny(self, version: str) -> None:
        """Send nothing to a version until an order names it."""
        self.established.discard(version)
        self.held_since_ms.pop(version, None)
        self.denied.add(version)
        while len(self.denied) > MAX_VERSIONS:
            self.denied.remove(min(self.denied - {version}))

    def take_over(self, version: str) -> None:
        """Make a version the only one of the service."""
        others = (self.established | set(self.ready)) - {version}
        self.denied.discard(version)
        self.held_since_ms.clear()
        self.established = {version}
        for other in sorted(others):
            self.deny(other)

    def previous(self, target_version: str) -> frozenset[str]:
        """Return the versions that a roll-out to the target moves away from.

        Where the target alone was in force before the order, it's that one.
        """
        others = frozenset(self.established - {target_version})
        return others or frozenset(self.established)

    def open_order(self, target_version: str, now_ms: int) -> None:
        """Make a version the target of an order."""
        self.denied.discard(target_version)
        self.held_since_ms.pop(target_version, None)
        if not self.is_in_force(target_version):
            self.begin_canary(target_version, now_ms)

    def begin_canary(self, target_version: str, now_ms: int) -> None:
        """Make sure that a target doesn't count as established."""
        self.established.discard(target_version)
        self.refresh(target_version, now_ms)

    def is_in_force(self, version: str) -> bool:
        """Return whether the service has ready upstreams of this one only."""
        others = set(self.ready) - self.denied - {version}
        is_only = self.established <= {version}
        return is_only and not others and version in self.ready

    def _readmit(self, target_version: str | None, now_ms: int) -> None:
        """Establish a denied version that has been alone for long."""
        others = set(self.ready) - {target_version}
        if not others or not others <= self.denied:
            self._alone_since_ms = None
            return
        if self._alone_since_ms is None:
            self._alone_since_ms = now_ms
        if now_ms - self._alone_since_ms < DENIED_ALONE_MS:
            return
        self._alone_since_ms = None
        version = min(others, key=lambda name: (-self.ready[name], name))
        self.denied.discard(version)
        self._establish(version)

    def _establish(self, version: str) -> None:
        self.held_since_ms.pop(version, None)
        self.established.add(version)
        if len(self.established) <= MAX_VERSIONS:
            return
        for known in sorted(self.established):
            if known not in self.ready:
                self.established.remove(known)
                return
