"""Headers with which two entries introduce themselves on a peer link."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import re

from laburnumpin import exceptions
from laburnumpin.core import ids
from laburnumpin.core import messages

SECRET = "X-Peer-Secret"
VERSION = "X-Protocol-Version"
VM_ID = "X-Vm-Id"
INCARNATION = "X-Incarnation"
ZONE = "X-Zone"
ADDRESS = "X-Peer-Address"

_VM_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")
_INCARNATION = re.compile(r"[0-9]{1,16}")


@dataclasses.dataclass(slots=True, frozen=True)
class Introduction:
    """Who an entry is and where it can be reached."""

    entry: ids.EntryId
    zone: str
    peer_address: str


def headers(introduction: Introduction) -> dict[str, str]:
    """Return the headers that both sides send, without the secret."""
    return {
        VERSION: str(messages.PROTOCOL_VERSION),
        VM_ID: introduction.entry.vm_id,
        INCARNATION: str(introduction.entry.incarnation),
        ZONE: introduction.zone,
        ADDRESS: introduction.peer_address,
    }


def parse(received: Mapping[str, str]) -> Introduction:
    """Return the introduction in the headers of the other side.

    Raises:
        MessageError: A header is malformed or the version differs.
    """
    if received.get(VERSION) != str(messages.PROTOCOL_VERSION):
        raise exceptions.MessageError("the protocol version is not supported")
    vm_id = received.get(VM_ID, "")
    incarnation = received.get(INCARNATION, "")
    if not _VM_ID.fullmatch(vm_id) or not _INCARNATION.fullmatch(incarnation):
        raise exceptions.MessageError("the peer does not say who it is")
    return Introduction(
        ids.EntryId(vm_id, int(incarnation)),
        received.get(ZONE, ""),
        received.get(ADDRESS, ""),
    )
