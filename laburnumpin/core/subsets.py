"""Deterministic subsetting: which upstreams each entry uses.

Every entry sorts the entries and the upstreams by the same hash and takes a
window of the upstreams. The window starts at the entry's relative position
among the entries, so the windows are evenly spaced and each upstream is used
by nearly the same number of entries. Random subsets would leave some upstreams
unused: 0.2% of them with an average of 6 entries per upstream. A change of the
list shifts the windows only a little.

Deterministic subsetting is described in "Site Reliability Engineering",
chapter 20 (Beyer et al., 2016).
"""

from __future__ import annotations

import hashlib

from laburnumpin.core import events


class Entries:
    """The entries of a VM list, which always include this entry."""

    __slots__ = ("_all", "_local", "_own_id")

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._all = {own_id}
        self._local = {own_id}

    def add(self, vm_id: str) -> None:
        """Add an entry."""
        self._all.add(vm_id)

    def add_local(self, vm_id: str) -> None:
        """Add an entry of this entry's data centre."""
        self._local.add(vm_id)

    def window(
        self, rows: list[events.VmRow], size: int, *, local: bool
    ) -> list[events.VmRow]:
        """Return up to `size` rows, starting at this entry's position.

        With `local`, only the entries of this entry's data centre divide the
        rows among them.
        """
        if not rows:
            return []
        entries = sorted(self._local if local else self._all, key=_hash)
        ordered = sorted(rows, key=_row_hash)
        start = entries.index(self._own_id) * len(rows) // len(entries)
        if len(entries) == 1:
            # The list may not show the other entries yet, so the position
            # comes from the hash. Otherwise all new entries would start at
            # row 0.
            start = int.from_bytes(_hash(self._own_id), "big") % len(rows)
        doubled = ordered + ordered
        return doubled[start : start + min(size, len(rows))]


def _hash(vm_id: str) -> bytes:
    return hashlib.blake2b(vm_id.encode(), digest_size=8).digest()


def _row_hash(row: events.VmRow) -> bytes:
    return _hash(row.vm_id)
