"""HTTP headers that identify two entries when a peer link opens."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import re

from laburnumpin import exceptions
from laburnumpin.core import ids
from laburnumpin.core import messages

SECRET_HEADER = "X-Peer-Secret"
VERSION_HEADER = "X-Protocol-Version"
VM_ID_HEADER = "X-Vm-Id"
INCARNATION_HEADER = "X-Incarnation"
ZONE_HEADER = "X-Zone"
PEER_ADDRESS_HEADER = "X-Peer-Address"

_VM_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")
_INCARNATION = re.compile(r"[0-9]{1,16}")


@dataclasses.dataclass(slots=True, frozen=True)
class PeerIdentity:
    """Identity, zone and `host:port` peer address of an entry."""

    entry: ids.EntryId
    zone: str
    peer_address: str


def headers(identity: PeerIdentity) -> dict[str, str]:
    """Return the headers that both sides send; excludes the secret."""
    return {
        VERSION_HEADER: str(messages.PROTOCOL_VERSION),
        VM_ID_HEADER: identity.entry.vm_id,
        INCARNATION_HEADER: str(identity.entry.incarnation),
        ZONE_HEADER: identity.zone,
        PEER_ADDRESS_HEADER: identity.peer_address,
    }


def parse(received_headers: Mapping[str, str]) -> PeerIdentity:
    """Return the identity in the headers of the other side.

    Raises:
        MessageError: The protocol version differs, or the VM id or
            incarnation is malformed.
    """
    if received_headers.get(VERSION_HEADER) != str(messages.PROTOCOL_VERSION):
        raise exceptions.MessageError("the protocol version is not supported")
    vm_id = received_headers.get(VM_ID_HEADER, "")
    incarnation = received_headers.get(INCARNATION_HEADER, "")
    if not _VM_ID.fullmatch(vm_id) or not _INCARNATION.fullmatch(incarnation):
        raise exceptions.MessageError(
            "the VM id or incarnation is missing or malformed"
        )
    return PeerIdentity(
        ids.EntryId(vm_id, int(incarnation)),
        received_headers.get(ZONE_HEADER, ""),
        received_headers.get(PEER_ADDRESS_HEADER, ""),
    )
