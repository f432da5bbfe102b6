"""Links over which relays forward digests and changed rows.

In a large fleet each entry has one link, to a relay of its zone, and the
relays have links to each other. A relay forwards digests in periodic bundles,
and rows of the store as soon as they arrive.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
from typing import Any

import anyio
from anyio import abc

from laburnumpin import exceptions
from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import digests
from laburnumpin.forwarding import frames
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import synchronization
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.configurations import intake
from laburnumpin.forwarding.configurations import tables
from laburnumpin.server import logs

# Pause between two bundles of a relay, which are sent even if they are empty.
BUNDLE_PERIOD_MS = 250
# An entry without members sends only its own digests, or an empty bundle after
# this time without one.
KEEP_ALIVE_PERIOD_MS = 500
# A link that delivers no message for this long counts as failed.
LINK_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.7
# Pause between two checks of which links should be open.
LINK_CHECK_PERIOD_MS = 500


class PeerRole(enum.Enum):
    """The role of the peer on a link.

    A `MEMBER` uses this entry as its relay, `OWN_RELAY` is the relay that this
    entry uses, and a `RELAY` is linked with this entry as one relay to another.
    """

    MEMBER = "member"
    RELAY = "relay"
    OWN_RELAY = "own_relay"


class _Link:
    """One open link.

    `name` is that of the peer, and cancelling `scope` closes the link.
    `has_opened` is whether this entry opened it.
    `in_sync` is whether the peer is in sync with the store; an own relay may be
    so through another relay. `era` is the era of the store in which it is in
    sync, 0 if it is of an earlier release. `accepts_tables` is whether the peer
    takes the operator's table without large values; None until it has sent its
    first message. `operator_state` is the position of that table and the
    version of the configuration that the peer has at least.
    """

    __slots__ = (
        "_frame_stream",
        "accepts_tables",
        "era",
        "has_opened",
        "in_sync",
        "name",
        "operator_state",
        "peer_role",
        "scope",
    )

    def __init__(
        self,
        name: str,
        peer_role: PeerRole,
        frame_stream: frames.FrameStream,
        *,
        has_opened: bool,
    ) -> None:
        self.name = name
        self.peer_role = peer_role
        self.has_opened = has_opened
        self.scope = anyio.CancelScope()
        self.in_sync = False
        self.era = 0
        self.accepts_tables: bool | None = None
        self.operator_state: tuple[interfaces.Position, int] | None = None
        self._frame_stream = frame_stream

    def send(self, frame: bytes) -> bool:
        """Send an encoded message; return False if the peer is too slow."""
        if self._frame_stream.is_slow():
            return False
        try:
            self._frame_stream.write_frame(frame)
        except frames.FrameError:
            return False  # The reader of the link detects its end, too.
        return True

    async def read(self) -> dict[str, Any]:
        """Wait for the next message.

        Raises:
            FrameError: The link failed.
        """
        return await self._frame_stream.read(LINK_TIMEOUT_S)


class RelayLinks:
    """Maintains the links of this entry, and forwards digests and rows."""

    __slots__ = (
        "_address",
        "_bundle",
        "_intake",
        "_last_bundle_ms",
        "_links",
        "_newest_digests",
        "_receive_digest",
        "_shell",
        "_synchronizer",
    )

    def __init__(
        self,
        shell: shells.Shell,
        synchronizer: synchronization.Synchronizer,
        receive_digest: Callable[[bytes], digests.Digest | None],
        table_intake: intake.Intake | None = None,
        address: str = "",
    ) -> None:
        self._shell = shell
        self._synchronizer = synchronizer
        self._receive_digest = receive_digest
        self._intake = table_intake
        self._address = address
        self._links: dict[str, _Link] = {}
        # Encoded digests for the next bundle by the name of their entry, with
        # the link that delivered them; None for this entry's own.
        self._bundle: dict[str, tuple[bytes, _Link | None]] = {}
        self._newest_digests = digests.DigestFilter()
        self._last_bundle_ms = 0
        synchronizer.on_rows = self._on_rows
        synchronizer.is_synced_by_relay = self.is_synced_by_relay

    def is_synced_by_relay(self) -> bool:
        """Return whether a relay keeps this entry in sync with the store."""
        now_ms = self._shell.now_ms()
        members = self._shell.state.members
        if not members.uses_relays() or members.is_relay(now_ms):
            return False
        if self._has_member_links():
            return False
        links = self._links.values()
        return any(
            link.peer_role is PeerRole.OWN_RELAY
            and link.in_sync
            and self._has_current_era(link, now_ms)
            for link in links
        )

    def _has_current_era(self, link: _Link, now_ms: int) -> bool:
        """Return whether a relay is in the newest era, or soon may be."""
        state = self._shell.state
        if not state.has_seen_restore or link.era == state.store_era:
            return True
        waited_ms = now_ms - state.store_era_since_ms
        return waited_ms < synchronization.RELAY_ERA_GRACE_MS

    def send_own_digest(self, encoded: bytes) -> None:
        """Send this entry's own digest over its links.

        An entry with members sends it with the next bundle.
        """
        self._bundle[self._shell.state.name] = (encoded, None)
        if not self._has_member_links():
            self._send_bundles()

    async def run(self) -> None:
        """Maintain the links and send bundles until cancelled."""
        opening_names: set[str] = set()
        next_check_ms = 0
        async with anyio.create_task_group() as task_group:
            while True:
                period_ms = BUNDLE_PERIOD_MS
                if not self._has_member_links():
                    period_ms = LINK_CHECK_PERIOD_MS
                await anyio.sleep(period_ms / 1_000)
                now_ms = self._shell.now_ms()
                if now_ms >= next_check_ms:
                    next_check_ms = now_ms + LINK_CHECK_PERIOD_MS
                    self._check_links(task_group, opening_names)
                if self._links and self._is_bundle_due():
                    self._send_bundles()

    async def accept(
        self, frame_stream: frames.FrameStream, hello: dict[str, Any]
    ) -> None:
        """Serve a link that a peer has opened.

        Raises:
            FrameError: The link failed.
        """
        name = str(hello.get("name", ""))
        peer_role = PeerRole.RELAY if hello.get("relay") else PeerRole.MEMBER
        link = _Link(name, peer_role, frame_stream, has_opened=False)
        link.accepts_tables = tables.accepts(hello)
        await self._serve_link(link)

    def _check_links(
        self, task_group: abc.TaskGroup, opening_names: set[str]
    ) -> None:
        """Open the missing links, and close those that have no use.

        A link in which this entry has another role now is opened anew.
        """
        members = self._shell.state.members
        now_ms = self._shell.now_ms()
        wanted_contacts: dict[str, membership.Contact] = {}
        if members.uses_relays():
            wanted_contacts = {c.name: c for c in members.links(now_ms)}
        role = self._role_of_opened(now_ms)
        for name, link in list(self._links.items()):
            if link.has_opened and (
                name not in wanted_contacts or link.peer_role is not role
            ):
                link.scope.cancel()
        for name, contact in wanted_contacts.items():
            if name in self._links or name in opening_names:
                continue
            opening_names.add(name)
            task_group.start_soon(self._open_link, contact, opening_names)

    def _role_of_opened(self, now_ms: int) -> PeerRole:
        """Return the peer's role on links that this entry opens."""
        if self._shell.state.members.is_relay(now_ms):
            return PeerRole.RELAY
        return PeerRole.OWN_RELAY

    async def _open_link(
        self, contact: membership.Contact, opening_names: set[str]
    ) -> None:
        state = self._shell.state
        peer_role = self._role_of_opened(self._shell.now_ms())
        stream: byte_stream.ByteStream | None = None
        try:
            stream = await frames.connect(contact.address, CONNECT_TIMEOUT_S)
            frame_stream = frames.FrameStream(stream)
            frame_stream.write(
                {
                    "kind": "link",
                    "name": state.name,
                    "relay": peer_role is PeerRole.RELAY,
                    tables.FORMAT_FIELD: tables.FORMAT,
                }
            )
            opening_names.discard(contact.name)
            await self._serve_link(
                _Link(contact.name, peer_role, frame_stream, has_opened=True)
            )
        except frames.FrameError as error:
            state.members.record_relay_failure(
                contact.name, self._shell.now_ms()
            )
            logs.write(
                "relay_link_lost",
                "info",
                {"peer": contact.name, "reason": str(error)},
            )
        finally:
            opening_names.discard(contact.name)
            if stream is not None:
                stream.abort()

    async def _serve_link(self, link: _Link) -> None:
        replaced = self._links.get(link.name)
        if replaced is not None:
            replaced.scope.cancel()
        self._links[link.name] = link
        logs.write(
            "relay_link_open",
            "info",
            {"peer": link.name, "to": link.peer_role.value},
        )
        if not link.has_opened:
            self._send_snapshot(link)
        try:
            with link.scope:
                while True:
                    message = await link.read()
                    if link.accepts_tables is None:
                        # The peer that accepted the link begins.
                        link.accepts_tables = tables.accepts(message)
                        await self._on_message(link, message)
                        self._send_snapshot(link)
                        continue
                    await self._on_message(link, message)
        finally:
            if self._links.get(link.name) is link:
                del self._links[link.name]

    def _send_snapshot(self, link: _Link) -> None:
        link.send(self._snapshot_frame(link))

    def _snapshot_frame(self, link: _Link) -> bytes:
        if not link.accepts_tables:
            snapshot = self._synchronizer.snapshot()
        else:
            snapshot = self._synchronizer.compact_snapshot(self._address)
        return frames.encode({"kind": "snapshot", **snapshot})

    async def _on_message(self, link: _Link, message: dict[str, Any]) -> None:
        try:
            kind = message["kind"]
            if kind == "bundle":
                link.in_sync = bool(message["in_step"])
                link.era = untrusted.integer(message.get("era", 0), "era")
                for encoded in untrusted.sequence(
                    message["digests"], "digests"
                ):
                    if not isinstance(encoded, bytes):
                        raise untrusted.MalformedError("digests", "wrong_type")
                    self._on_digest(link, encoded)
            elif kind == "rows":
                table = interfaces.Table(message["table"])
                rows = synchronization.decode_rows(message["rows"])
                version = untrusted.integer(message["version"], "version")
                era = untrusted.integer(message.get("era", 0), "era")
                if table is interfaces.Table.OPERATOR:
                    await self._synchronizer.prepare(rows)
                self._synchronizer.apply_peer_changes(
                    table, interfaces.Rows(tuple(rows), version, era)
                )
            elif kind == "snapshot":
                await self._on_snapshot(link, message)
            elif kind == "operator_table":
                self._on_operator_table(link, message["operator_table"])
        except (
            KeyError,
            TypeError,
            ValueError,
            exceptions.DocumentError,
        ) as error:
            self._shell.state.counters.increment("links_malformed")
            logs.write(
                "peer_message_invalid",
                "warning",
                {"peer": link.name, "reason": repr(error)},
            )

    async def _on_snapshot(self, link: _Link, message: dict[str, Any]) -> None:
        if "operator_table" in message:
            self._on_operator_table(link, message["operator_table"])
        else:
            await self._synchronizer.prepare(
                synchronization.decode_rows(message["operator"])
            )
        self._synchronizer.apply_snapshot(message)

    def _on_operator_table(self, link: _Link, encoded: object) -> None:
        table = tables.decode(encoded)
        link.operator_state = (table.position, table.configuration)
        if self._intake is not None:
            self._intake.offer(link.name, table)

    def _on_digest(self, link: _Link, encoded: bytes) -> None:
        digest = self._receive_digest(encoded)
        if digest is None:
            return
        name = digest.contact.name
        if name == self._shell.state.name:
            return
        if self._newest_digests.accept(digest, self._shell.now_ms()):
            self._bundle[name] = (encoded, link)

    def _has_member_links(self) -> bool:
        """Return whether other entries use this one as their relay."""
        links = self._links.values()
        return any(link.peer_role is PeerRole.MEMBER for link in links)

    def _is_bundle_due(self) -> bool:
        if self._has_member_links():
            return True
        return (
            self._shell.now_ms() >= self._last_bundle_ms + KEEP_ALIVE_PERIOD_MS
        )

    def _send_bundles(self) -> None:
        """Send a bundle over each link.

        Digests that came from a relay go to members only, since the relays
        have links to each other. A bundle also reports whether this entry is in
        sync with the store; for a member, whether it or a linked relay is.
        """
        self._last_bundle_ms = self._shell.now_ms()
        bundle, self._bundle = self._bundle, {}
        own_in_sync = self._synchronizer.is_in_sync()
        relay_links = [
            link
            for link in self._links.values()
            if link.peer_role is not PeerRole.MEMBER
        ]
        members_in_sync = own_in_sync or any(
            link.in_sync for link in relay_links
        )
        local_digests = []
        for encoded, source_link in bundle.values():
            if source_link is None or (
                source_link.peer_role is PeerRole.MEMBER
            ):
                local_digests.append(encoded)
        # A member gets its own digest back and ignores it, so that one message
        # serves all members.
        era = self._synchronizer.era()
        member_frame = _bundle_frame(
            [encoded for encoded, _ in bundle.values()], members_in_sync, era
        )
        relay_frame = _bundle_frame(local_digests, own_in_sync, era)
        for link in self._links.values():
            is_member = link.peer_role is PeerRole.MEMBER
            if not link.send(member_frame if is_member else relay_frame):
                self._shell.state.counters.increment("bundles_dropped")

    def _on_rows(
        self, table: interfaces.Table, rows: interfaces.Rows, complete: bool
    ) -> None:
        whole_rows: bytes | None = None
        for link in list(self._links.values()):
            if link.accepts_tables is None:
                continue  # It gets a snapshot after its first message.
            if link.accepts_tables and table is interfaces.Table.OPERATOR:
                self._send_operator_table(link)
                continue
            if complete:
                frame = self._snapshot_frame(link)
            else:
                whole_rows = whole_rows or _rows_frame(table, rows)
                frame = whole_rows
            if not link.send(frame):
                # The peer does not read; it receives a snapshot over a new
                # link.
                link.scope.cancel()

    def _send_operator_table(self, link: _Link) -> None:
        """Send the operator's table to a peer that may lack it."""
        encoded = self._synchronizer.operator_table(self._address)
        position = interfaces.Position(encoded["era"], encoded["version"])
        if link.operator_state is not None:
            known_position, known_configuration = link.operator_state
            if (
                known_position >= position
                and known_configuration >= encoded["configuration"]
            ):
                return
        link.operator_state = (position, encoded["configuration"])
        frame = frames.encode(
            {"kind": "operator_table", "operator_table": encoded}
        )
        if not link.send(frame):
            link.scope.cancel()


def _rows_frame(table: interfaces.Table, rows: interfaces.Rows) -> bytes:
    return frames.encode(
        {
            "kind": "rows",
            "table": table.value,
            "rows": synchronization.encode_rows(rows.rows),
            "version": rows.version,
            "era": rows.era,
        }
    )


def _bundle_frame(
    encoded_digests: list[bytes], in_sync: bool, era: int
) -> bytes:
    return frames.encode(
        {
            "kind": "bundle",
            "in_step": in_sync,
            "era": era,
            "digests": encoded_digests,
        }
    )
