"""Digests between entries in datagrams, and snapshots over TCP, as CBOR.

A datagram has no connection that can go silent, and a lost one is replaced by
the next.
"""

from __future__ import annotations

from typing import Any

import anyio
from anyio import abc
import cbor2

from laburnumpin.forwarding import digests
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import synchronization
from laburnumpin.server import logs

FORMAT = 1
FETCH_TIMEOUT_S = 1.5
MAX_SNAPSHOT_BYTES = 16_000_000


class PeerLink:
    """The socket to the other entries."""

    __slots__ = ("_address", "_shell", "_socket", "_synchronizer")

    def __init__(
        self,
        shell: shells.Shell,
        synchronizer: synchronization.Synchronizer,
        address: str,
    ) -> None:
        self._shell = shell
        self._synchronizer = synchronizer
        self._address = address
        self._socket: abc.UDPSocket | None = None
        shell.on_digest = self._on_digest_due
        shell.on_fetch = self._on_fetch_due

    async def serve(self) -> None:
        """Receive digests and answer fetches until cancelled."""
        host, _, port = self._address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with (
            await anyio.create_udp_socket(
                local_host=host, local_port=int(port)
            ) as udp,
            listener,
            anyio.create_task_group() as task_group,
        ):
            self._socket = udp
            task_group.start_soon(listener.serve, self._answer_fetch)
            async for packet, _ in udp:
                self._receive(packet)

    def _receive(self, packet: bytes) -> None:
        try:
            digest = decode(packet)
        except (cbor2.CBORDecodeError, ValueError, TypeError, KeyError) as e:
            self._shell.state.counters.increment("digests_invalid")
            logs.write("peer_message_invalid", "warning", {"reason": repr(e)})
            return
        self._shell.apply(events.DigestReceived(self._shell.now_ms(), digest))

    def _on_digest_due(self, effect: effects.SendDigest) -> None:
        self._shell.tasks.start(self._send, effect)

    def _on_fetch_due(self, effect: effects.FetchFromPeer) -> None:
        self._shell.tasks.start(self._fetch, effect.address)

    async def _send(self, effect: effects.SendDigest) -> None:
        if self._socket is None:
            return
        packet = encode(effect.digest)
        for address in effect.addresses:
            host, _, port = address.rpartition(":")
            try:
                await self._socket.sendto(packet, host, int(port))
            except OSError:
                # A peer that cannot be reached is found silent by its age.
                self._shell.state.counters.increment("digests_not_sent")

    async def _answer_fetch(self, stream: abc.SocketStream) -> None:
        async with stream:
            with anyio.move_on_after(FETCH_TIMEOUT_S):
                snapshot = self._synchronizer.snapshot()
                try:
                    await stream.send(cbor2.dumps(snapshot))
                except (anyio.BrokenResourceError, OSError):
                    self._shell.state.counters.increment("fetches_cut")

    async def _fetch(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        received = bytearray()
        complete = False
        try:
            with anyio.move_on_after(FETCH_TIMEOUT_S):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    async for data in stream:
                        received += data
                        if len(received) > MAX_SNAPSHOT_BYTES:
                            raise ValueError("the snapshot is too long")
                    complete = True
            if complete:
                self._synchronizer.adopt(cbor2.loads(bytes(received)))
        except (
            OSError,
            anyio.BrokenResourceError,
            ValueError,
            cbor2.CBORDecodeError,
        ) as error:
            complete = False
            logs.write(
                "peer_fetch_failed",
                "info",
                {"peer": address, "reason": repr(error)},
            )


def encode(digest: digests.Digest) -> bytes:
    """Return a digest as CBOR; short keys keep it within a datagram."""
    return cbor2.dumps(
        {
            "f": FORMAT,
            "n": digest.name,
            "a": digest.address,
            "i": digest.incarnation_ms,
            "w": digest.wall_ms,
            "c": digest.config_version,
            "r": digest.registry_version,
            "l": digest.lease_token,
            "u": {k: int(v) for k, v in digest.used.items()},
            "k": digest.windows,
            "o": {k: list(v) for k, v in digest.loads.items()},
            "p": [list(p) for p in digest.parts],
            "m": list(digest.contacts),
            "e": {k: int(v) for k, v in digest.work_ms.items()},
        }
    )


def decode(packet: bytes) -> digests.Digest:
    """Return the digest in a datagram.

    Raises:
        ValueError: It has another format.
        TypeError: A field has another type.
        KeyError: A field is missing.
        CBORDecodeError: It is not CBOR.
    """
    fields: Any = cbor2.loads(packet)
    if not isinstance(fields, dict) or fields.get("f") != FORMAT:
        raise ValueError("not a digest of this format")
    windows = {}
    for window, counts in dict(fields["k"]).items():
        windows[int(window)] = {str(k): int(v) for k, v in counts.items()}
    loads = {}
    for upstream_id, load in dict(fields["o"]).items():
        loads[str(upstream_id)] = (int(load[0]), int(load[1]))
    parts = []
    for upstream_id, part_id in fields["p"]:
        parts.append((str(upstream_id), int(part_id)))
    return digests.Digest(
        name=str(fields["n"]),
        address=str(fields["a"]),
        incarnation_ms=int(fields["i"]),
        wall_ms=int(fields["w"]),
        config_version=int(fields["c"]),
        registry_version=int(fields["r"]),
        lease_token=int(fields["l"]),
        used={str(k): float(v) for k, v in dict(fields["u"]).items()},
        windows=windows,
        loads=loads,
        parts=tuple(parts),
        contacts=tuple(str(a) for a in fields["m"]),
        work_ms={str(k): float(v) for k, v in dict(fields["e"]).items()},
    )
