"""Which upstreams each entry of a large deployment uses.

Every entry sorts entries and upstreams by a common hash and takes a window
of the upstreams that starts at its own position. The windows are evenly
spaced, so that each upstream is used by nearly the same number of entries.
Random subsets would leave some upstreams unused: with an average of 6 entries
for each, 0.2% of them. A change of the list shifts the windows only a little.

The idea is deterministic subsetting as in "Site Reliability Engineering",
chapter 20 (Beyer et al., 2016).
"""

from __future__ import annotations

import hashlib

from laburnumpin.core import events


class Entries:
    """The entries of a list of VMs, always including the own one."""

    __slots__ = ("_all", "_local", "_own_id")

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._all = {own_id}
        self._local = {own_id}

    def add(self, vm_id: str) -> None:
        """Add an entry."""
        self._all.add(vm_id)

    def add_local(self, vm_id: str) -> None:
        """Add an entry of the own data centre."""
        self._local.add(vm_id)

    def window(
        self, rows: list[events.VmRow], size: int, *, local: bool
    ) -> list[events.VmRow]:
        """Return up to `size` rows from the own position on.

        With `local` the rows are shared with the entries of the own data
        centre only.
        """
        if not rows:
            return []
        entries = sorted(self._local if local else self._all, key=_hash)
        ordered = sorted(rows, key=_row_hash)
        start = entries.index(self._own_id) * len(rows) // len(entries)
        if len(entries) == 1:
            # The list may not show the other entries yet.
            start = int.from_bytes(_hash(self._own_id), "big") % len(rows)
        doubled = ordered + ordered
        return doubled[start : start + min(size, len(rows))]


def _hash(vm_id: str) -> bytes:
    return hashlib.blake2b(vm_id.encode(), digest_size=8).digest()


def _row_hash(row: events.VmRow) -> bytes:
    return _hash(row.vm_id)
