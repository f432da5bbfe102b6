"""Exchange of digests and snapshots between entries, as CBOR.

In a small fleet, digests are UDP datagrams, since there is no connection that
could hang, and the next digest makes up for a lost one. In a larger fleet they
are sent over the links of relays. Snapshots are sent over TCP.
"""

from __future__ import annotations

from typing import Any

import anyio
from anyio import abc
import cbor2

from laburnumpin import exceptions
from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import digests
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import frames
from laburnumpin.forwarding import leaving
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import relay
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import synchronization
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding import upstream_limits
from laburnumpin.forwarding.capacity import rows
from laburnumpin.forwarding.configurations import intake
from laburnumpin.forwarding.configurations import limits
from laburnumpin.forwarding.configurations import tables
from laburnumpin.forwarding.rollouts import codec
from laburnumpin.forwarding.usage_reports import counts as usage
from laburnumpin.server import logs

DIGEST_FORMAT = 1
# Longest digest: that of a datagram.
MAX_DIGEST_BYTES = 65_536
# Highest sum of logarithms of observed to predicted times in a digest.
MAX_LOG_RATIO = 1e6
FETCH_TIMEOUT_S = 1.5
# Longest time for a large value of a row.
VALUE_TIMEOUT_S = 2.0
# Longest answer to a request for a value: one that is hardly compressed, and
# what is around it.
MAX_VALUE_MESSAGE_BYTES = limits.LONGEST_CONFIGURATION_BYTES + 131_072
# Longest first message of a connection.
MAX_HELLO_BYTES = 4_096
LISTEN_BACKLOG = 256


class PeerLink:
    """Sends and receives digests, and fetches and serves snapshots.

    `address` is the `IP:PORT` of both the UDP socket and the TCP listener.
    """

    __slots__ = (
        "_address",
        "_fetching",
        "_intake",
        "_relay_links",
        "_shell",
        "_socket",
        "_synchronizer",
    )

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
        # Addresses of which a snapshot is being fetched.
        self._fetching: set[str] = set()
        self._intake = intake.Intake(synchronizer, self._fetch_value)
        self._relay_links = relay.RelayLinks(
            shell, synchronizer, self._receive_digest, self._intake, address
        )
        shell.send_digest = self._start_sending_digest
        shell.fetch_from_peer = self._start_fetch

    async def serve(self) -> None:
        """Receive digests and serve snapshots and links until cancelled."""
        host, _, port = self._address.rpartition(":")
        async with (
            await anyio.create_udp_socket(
                local_host=host, local_port=int(port)
            ) as udp,
            anyio.create_task_group() as task_group,
        ):
            self._socket = udp
            task_group.start_soon(self._intake.run)
            task_group.start_soon(
                byte_stream.serve,
                self._address,
                LISTEN_BACKLOG,
                self._serve_connection,
            )
            async for encoded, _ in udp:
                self._receive_digest(encoded)

    async def maintain_relay_links(self) -> None:
        """Maintain the links to relays until cancelled."""
        await self._relay_links.run()

    def _receive_digest(self, encoded: bytes) -> digests.Digest | None:
        try:
            digest = decode(encoded)
        except exceptions.MessageError as error:
            self._shell.state.counters.increment("digests_invalid")
            logs.write(
                "peer_message_invalid", "warning", {"reason": error.message}
            )
            return None
        self._shell.apply(events.DigestReceived(self._shell.now_ms(), digest))
        return digest

    def _start_sending_digest(self, effect: effects.SendDigest) -> None:
        self._shell.tasks.start(self._send_digest, effect)

    def _start_fetch(self, effect: effects.FetchFromPeer) -> None:
        if effect.address not in self._fetching:
            self._fetching.add(effect.address)
            self._shell.tasks.start(self._fetch_snapshot, effect.address)

    async def _send_digest(self, effect: effects.SendDigest) -> None:
        encoded = encode(effect.digest)
        if not effect.addresses:
            self._relay_links.send_own_digest(encoded)
            return
        if self._socket is None:
            return
        for address in effect.addresses:
            host, _, port = address.rpartition(":")
            try:
                await self._socket.sendto(encoded, host, int(port))
            except OSError:
                # An unreachable peer is detected by the age of its last digest.
                self._shell.state.counters.increment("digests_not_sent")

    async def _serve_connection(self, stream: byte_stream.ByteStream) -> None:
        frame_stream = frames.FrameStream(stream)
        try:
            hello = await frame_stream.read(FETCH_TIMEOUT_S, MAX_HELLO_BYTES)
            if hello.get("kind") == "link":
                await self._relay_links.accept(frame_stream, hello)
                return
            if hello.get("kind") == "value":
                frame_stream.write(
                    await tables.serve_request(
                        hello, self._synchronizer.large_values
                    )
                )
                await frame_stream.drain(VALUE_TIMEOUT_S)
                return
            if tables.accepts(hello):
                frame_stream.write(
                    self._synchronizer.compact_snapshot(self._address)
                )
            else:
                frame_stream.write(self._synchronizer.snapshot())
            await frame_stream.drain(FETCH_TIMEOUT_S)
        except (frames.FrameError, exceptions.DocumentError) as error:
            logs.write("peer_lost", "debug", {"reason": str(error)})
        finally:
            stream.close()

    async def _fetch_snapshot(self, address: str) -> None:
        stream: byte_stream.ByteStream | None = None
        try:
            stream = await frames.connect(address, FETCH_TIMEOUT_S)
            frame_stream = frames.FrameStream(stream)
            frame_stream.write(
                {"kind": "fetch", tables.FORMAT_FIELD: tables.FORMAT}
            )
            snapshot = await frame_stream.read(FETCH_TIMEOUT_S)
            if "operator_table" in snapshot:
                self._intake.offer(
                    address, tables.decode(snapshot["operator_table"])
                )
            else:
                await self._synchronizer.prepare(
                    synchronization.decode_rows(snapshot.get("operator", ()))
                )
            self._synchronizer.apply_snapshot(snapshot)
        except (
            frames.FrameError,
            ValueError,
            exceptions.DocumentError,
        ) as error:
            logs.write(
                "peer_fetch_failed",
                "info",
                {"peer": address, "reason": str(error)},
            )
        finally:
            self._fetching.discard(address)
            if stream is not None:
                stream.close()

    async def _fetch_value(
        self, address: str, request: dict[str, Any]
    ) -> dict[str, Any]:
        """Return a peer's answer to a request for a large value.

        Raises:
            FetchError: The peer did not answer.
        """
        stream: byte_stream.ByteStream | None = None
        try:
            stream = await frames.connect(address, relay.CONNECT_TIMEOUT_S)
            frame_stream = frames.FrameStream(stream)
            frame_stream.write(request)
            answer = await frame_stream.read(
                VALUE_TIMEOUT_S, MAX_VALUE_MESSAGE_BYTES
            )
        except frames.FrameError as error:
            raise intake.FetchError(str(error)) from error
        finally:
            if stream is not None:
                stream.close()
        self._shell.state.counters.increment("configurations_fetched")
        return answer


def encode(digest: digests.Digest) -> bytes:
    """Return a digest as CBOR, with short keys so that it fits a datagram."""
    rollouts: dict[str, Any] = {}
    if digest.rollout_evidence:
        rollouts["x"] = codec.encode_evidence(digest.rollout_evidence)
    if digest.rollout_decisions:
        rollouts["d"] = codec.encode_decisions(digest.rollout_decisions)
    levels = {}
    if digest.low_levels:
        levels["ul"] = {k: int(v) for k, v in digest.low_levels.items()}
    return cbor2.dumps(
        {
            **rollouts,
            **levels,
            "f": DIGEST_FORMAT,
            "n": digest.contact.name,
            "a": digest.contact.address,
            "z": digest.contact.zone,
            "b": digest.contact.link_mbps,
            "i": digest.incarnation_ms,
            "s": digest.sequence_number,
            "w": digest.wall_ms,
            "c": digest.config_version,
            "r": digest.registry_version,
            "v": digest.store_era,
            "l": digest.lease_token,
            "u": {k: int(v) for k, v in digest.used.items()},
            "k": digest.windows,
            "o": {k: list(v) for k, v in digest.loads.items()},
            "p": [list(p) for p in digest.parts],
            "t": {
                k: [n, round(s, 2)]
                for k, (n, s) in digest.latency_log_ratios.items()
            },
            "m": list(digest.contacts),
            "e": {k: int(v) for k, v in digest.work_ms.items()},
            "h": [list(row) for row in digest.limits],
            "g": [list(row) for row in digest.leaving],
            "uc": digest.counted_to_ms,
            "um": list(digest.usage_missing),
            "q": part_losses.encode_rows(digest.part_losses or ()),
            "j": part_losses.encode_request_rows(digest.request_losses),
            "cu": [list(row) for row in digest.slowness],
            "cs": [list(row) for row in digest.times],
        }
    )


def decode(encoded: bytes) -> digests.Digest:
    """Return the digest that `encode` encoded.

    Raises:
        MessageError: The digest is malformed or has another format.
    """
    try:
        return _decode_fields(untrusted.parse_cbor(encoded, MAX_DIGEST_BYTES))
    except untrusted.MalformedError as error:
        raise exceptions.MessageError(error.message) from error


def _decode_fields(fields: dict[Any, Any]) -> digests.Digest:
    if fields.get("f") != DIGEST_FORMAT:
        raise untrusted.MalformedError("f", "unknown_value")
    return digests.Digest(
        contact=_decode_contact(fields),
        incarnation_ms=_count(fields, "i", untrusted.MAX_UNIX_MS),
        sequence_number=_count(fields, "s"),
        wall_ms=_count(fields, "w", untrusted.MAX_UNIX_MS),
        config_version=_count(fields, "c"),
        registry_version=_count(fields, "r"),
        lease_token=_count(fields, "l"),
        used=_amounts(fields, "u"),
        windows=_decode_windows(fields),
        loads=_decode_loads(fields),
        parts=_decode_parts(fields),
        latency_log_ratios=_decode_log_ratios(fields),
        contacts=tuple(
            untrusted.host_address(address, "m")
            for address in untrusted.sequence(_get(fields, "m"), "m")
        ),
        work_ms=_amounts(fields, "e"),
        part_losses=part_losses.decode_rows(fields["q"])
        if "q" in fields
        else None,
        request_losses=part_losses.decode_request_rows(fields.get("j", ())),
        limits=upstream_limits.decode_rows(fields.get("h", ())),
        store_era=untrusted.integer(fields.get("v", 0), "v"),
        leaving=leaving.decode_rows(fields.get("g", ())),
        counted_to_ms=untrusted.integer(
            fields.get("uc", 0), "uc", 0, untrusted.MAX_UNIX_MS
        ),
        usage_missing=tuple(
            untrusted.text(name, "um")
            for name in untrusted.sequence(fields.get("um", ()), "um")
        ),
        # Present only while there are roll-outs.
        rollout_evidence=codec.decode_evidence(fields.get("x", ())),
        rollout_decisions=codec.decode_decisions(fields.get("d", ())),
        slowness=rows.decode_slowness(fields.get("cu", ())),
        times=rows.decode_times(fields.get("cs", ())),
        low_levels=_amounts(fields, "ul") if "ul" in fields else {},
    )


def _get(fields: dict[Any, Any], name: str) -> Any:
    return untrusted.required(fields, name)


def _count(
    fields: dict[Any, Any], name: str, high: int = untrusted.MAX_COUNTER
) -> int:
    return untrusted.integer(_get(fields, name), name, 0, high)


def _amounts(fields: dict[Any, Any], name: str) -> dict[str, float]:
    """Return amounts by name; they may be negative after refunds."""
    low = -float(untrusted.MAX_COUNTER)
    amounts = {}
    for key, value in untrusted.mapping(_get(fields, name), name).items():
        amounts[untrusted.text(key, name)] = untrusted.number(value, name, low)
    return amounts


def _decode_contact(fields: dict[Any, Any]) -> membership.Contact:
    return membership.Contact(
        untrusted.text(_get(fields, "n"), "n"),
        untrusted.host_address(_get(fields, "a"), "a"),
        untrusted.text(_get(fields, "z"), "z"),
        untrusted.number(_get(fields, "b"), "b"),
    )


def _decode_windows(fields: dict[Any, Any]) -> dict[int, usage.Counts]:
    windows = {}
    for window, counts in untrusted.mapping(_get(fields, "k"), "k").items():
        decoded = {}
        for customer, count in untrusted.mapping(counts, "k").items():
            decoded[untrusted.text(customer, "k")] = untrusted.integer(
                count, "k"
            )
        windows[untrusted.integer(window, "k")] = decoded
    return windows


def _decode_loads(fields: dict[Any, Any]) -> dict[str, tuple[int, int]]:
    loads = {}
    for upstream_id, load in untrusted.mapping(_get(fields, "o"), "o").items():
        streams, tokens = untrusted.items(load, "o", 2)
        loads[untrusted.text(upstream_id, "o")] = (
            untrusted.integer(streams, "o"),
            untrusted.integer(tokens, "o", -untrusted.MAX_COUNTER),
        )
    return loads


def _decode_parts(fields: dict[Any, Any]) -> tuple[tuple[str, int], ...]:
    parts = []
    for part in untrusted.sequence(_get(fields, "p"), "p"):
        upstream_id, part_id = untrusted.items(part, "p", 2)
        parts.append(
            (
                untrusted.text(upstream_id, "p"),
                untrusted.integer(part_id, "p", 0, part_losses.MAX_SUSPECT_ID),
            )
        )
    return tuple(parts)


def _decode_log_ratios(
    fields: dict[Any, Any],
) -> dict[str, tuple[int, float]]:
    ratios = {}
    # Entries of an earlier release do not send these ratios.
    for upstream_id, ratio in untrusted.mapping(
        fields.get("t", {}), "t"
    ).items():
        answers, total = untrusted.items(ratio, "t", 2)
        ratios[untrusted.text(upstream_id, "t")] = (
            untrusted.integer(answers, "t"),
            untrusted.number(total, "t", -MAX_LOG_RATIO, MAX_LOG_RATIO),
        )
    return ratios
