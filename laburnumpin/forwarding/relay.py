"""Links over which relays pass on digests and changed rows.

In a large fleet each entry has one link, to a relay of its zone, and the
relays have links to each other. A relay passes digests on in bundles, and rows
of the store as they come.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
from typing import Any

import anyio
from anyio import abc

from laburnumpin.forwarding import connections
from laburnumpin.forwarding import digests
from laburnumpin.forwarding import frames
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import synchronization
from laburnumpin.server import logs

# Pause between two bundles; they go out also when they are empty.
BUNDLE_MS = 250
# An entry that is no relay writes its own digests only, or an empty bundle
# after this time.
KEEP_ALIVE_MS = 700
# A link without a message for this long has gone silent.
SILENT_S = 1.5
CONNECT_TIMEOUT_S = 0.7
# Pause between two looks at the links that there should be.
KEEP_PERIOD_S = 0.5
# Messages that wait for a slow peer; bundles beyond them are dropped.
WAITING_MESSAGES = 64


class Side(enum.Enum):
    """What the entry at the other end of a link is to this one."""

    MEMBER = "member"
    RELAY = "relay"
    OWN_RELAY = "own_relay"


class _Link:
    """One open link."""

    __slots__ = ("_waiting", "in_step", "name", "scope", "side")

    def __init__(self, name: str, side: Side) -> None:
        self.name = name
        self.side = side
        self.scope = anyio.CancelScope()
        # Whether the other end is in step with the store.
        self.in_step = False
        self._waiting = anyio.create_memory_object_stream[dict[str, Any]](
            WAITING_MESSAGES
        )

    def put(self, message: dict[str, Any]) -> bool:
        """Queue a message; False if too many wait."""
        try:
            self._waiting[0].send_nowait(message)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            return False
        return True

    async def next(self) -> dict[str, Any]:
        """Return the next message to write."""
        return await self._waiting[1].receive()


class Relay:
    """The links of this entry."""

    __slots__ = (
        "_bundle",
        "_flushed_ms",
        "_links",
        "_newest",
        "_receive",
        "_shell",
        "_synchronizer",
    )

    def __init__(
        self,
        shell: shells.Shell,
        synchronizer: synchronization.Synchronizer,
        receive: Callable[[bytes], digests.Digest | None],
    ) -> None:
        self._shell = shell
        self._synchronizer = synchronizer
        self._receive = receive
        self._links: dict[str, _Link] = {}
        # Digests to pass on, by name, with the link that they came over.
        self._bundle: dict[str, tuple[bytes, _Link | None]] = {}
        self._newest = digests.DigestFilter()
        self._flushed_ms = 0
        synchronizer.on_rows = self._on_rows
        synchronizer.relayed = self.is_relayed

    def is_relayed(self) -> bool:
        """Return whether another entry keeps this one in step."""
        now_ms = self._shell.now_ms()
        members = self._shell.state.members
        if not members.uses_relays() or members.is_relay(now_ms):
            return False
        if self._has_members():
            return False
        links = self._links.values()
        return any(
            link.side is Side.OWN_RELAY and link.in_step for link in links
        )

    def pass_on(self, packet: bytes) -> None:
        """Send this entry's own digest over its links."""
        self._bundle[self._shell.state.name] = (packet, None)
        if not self._has_members():
            self._flush()

    async def run(self) -> None:
        """Keep the links that there should be, and send bundles."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._keep, task_group)
            while True:
                await anyio.sleep(BUNDLE_MS / 1_000)
                if self._links and self._is_flush_due():
                    self._flush()

    async def accept(
        self, channel: frames.Frames, hello: dict[str, Any]
    ) -> None:
        """Serve a link that another entry has opened.

        Raises:
            FrameError: The link has ended.
        """
        name = str(hello.get("name", ""))
        side = Side.RELAY if hello.get("relay") else Side.MEMBER
        await self._serve(channel, _Link(name, side))

    async def _keep(self, task_group: abc.TaskGroup) -> None:
        opening: set[str] = set()
        while True:
            await anyio.sleep(KEEP_PERIOD_S)
            members = self._shell.state.members
            now_ms = self._shell.now_ms()
            wanted: dict[str, membership.Contact] = {}
            if members.uses_relays():
                wanted = {c.name: c for c in members.links(now_ms)}
            for name, link in list(self._links.items()):
                if name not in wanted and link.side is Side.OWN_RELAY:
                    link.scope.cancel()
            for name, contact in wanted.items():
                if name in self._links or name in opening:
                    continue
                opening.add(name)
                task_group.start_soon(self._open, contact, opening)

    async def _open(
        self, contact: membership.Contact, opening: set[str]
    ) -> None:
        state = self._shell.state
        is_relay = state.members.is_relay(self._shell.now_ms())
        side = Side.RELAY if is_relay else Side.OWN_RELAY
        try:
            stream = await frames.connect(contact.address, CONNECT_TIMEOUT_S)
            async with stream:
                connections.set_options(stream)
                channel = frames.Frames(stream)
                await channel.write(
                    {"kind": "link", "name": state.name, "relay": is_relay}
                )
                opening.discard(contact.name)
                await self._serve(channel, _Link(contact.name, side))
        except (frames.FrameError, OSError) as error:
            state.members.relay_failed(contact.name, self._shell.now_ms())
            logs.write(
                "relay_link_lost",
                "info",
                {"peer": contact.name, "reason": str(error)},
            )
        finally:
            opening.discard(contact.name)

    async def _serve(self, channel: frames.Frames, link: _Link) -> None:
        old = self._links.get(link.name)
        if old is not None:
            old.scope.cancel()
        self._links[link.name] = link
        logs.write(
            "relay_link_open",
            "info",
            {"peer": link.name, "to": link.side.value},
        )
        link.put({"kind": "snapshot", **self._synchronizer.snapshot()})
        try:
            with link.scope:
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(self._write, channel, link)
                    while True:
                        message = await channel.read(SILENT_S)
                        self._on_message(link, message)
        except BaseExceptionGroup as group:
            error: BaseException = group
            while isinstance(error, BaseExceptionGroup):
                error = error.exceptions[0]
            raise error from group
        finally:
            if self._links.get(link.name) is link:
                del self._links[link.name]

    async def _write(self, channel: frames.Frames, link: _Link) -> None:
        while True:
            await channel.write(await link.next())

    def _on_message(self, link: _Link, message: dict[str, Any]) -> None:
        try:
            kind = message["kind"]
            if kind == "bundle":
                link.in_step = bool(message["in_step"])
                for packet in message["digests"]:
                    self._on_digest(link, bytes(packet))
            elif kind == "rows":
                table = interfaces.Table(message["table"])
                rows = synchronization.load(message["rows"])
                version = int(message["version"])
                self._synchronizer.adopt_changes(
                    table, interfaces.Rows(tuple(rows), version)
                )
            elif kind == "snapshot":
                self._synchronizer.adopt(message)
        except (KeyError, TypeError, ValueError) as error:
            self._shell.state.counters.increment("links_malformed")
            logs.write(
                "peer_message_invalid",
                "warning",
                {"peer": link.name, "reason": repr(error)},
            )

    def _on_digest(self, link: _Link, packet: bytes) -> None:
        digest = self._receive(packet)
        if digest is None:
            return
        name = digest.contact.name
        if name == self._shell.state.name:
            return
        if self._newest.accept(digest, self._shell.now_ms()):
            self._bundle[name] = (packet, link)

    def _has_members(self) -> bool:
        """Return whether this entry works as a relay for others."""
        links = self._links.values()
        return any(link.side is Side.MEMBER for link in links)

    def _is_flush_due(self) -> bool:
        if self._has_members():
            return True
        return self._shell.now_ms() >= self._flushed_ms + KEEP_ALIVE_MS

    def _flush(self) -> None:
        """Send a bundle over each link."""
        self._flushed_ms = self._shell.now_ms()
        bundle, self._bundle = self._bundle, {}
        direct = self._synchronizer.in_step()
        relays = [k for k in self._links.values() if k.side is not Side.MEMBER]
        fed = direct or any(link.in_step for link in relays)
        for link in self._links.values():
            packets = []
            for packet, source in bundle.values():
                if source is link:
                    continue
                from_relay = source is not None and (
                    source.side is not Side.MEMBER
                )
                if from_relay and link.side is not Side.MEMBER:
                    continue
                packets.append(packet)
            in_step = fed if link.side is Side.MEMBER else direct
            sent = link.put(
                {"kind": "bundle", "in_step": in_step, "digests": packets}
            )
            if not sent:
                self._shell.state.counters.increment("bundles_dropped")

    def _on_rows(
        self, table: interfaces.Table, rows: interfaces.Rows, complete: bool
    ) -> None:
        if not self._links:
            return
        message: dict[str, Any] = {
            "kind": "rows",
            "table": table.value,
            "rows": synchronization.dump(rows.rows),
            "version": rows.version,
        }
        if complete:
            message = {"kind": "snapshot", **self._synchronizer.snapshot()}
        for link in self._links.values():
            if not link.put(message):
                # The other end reads nothing; it gets all on a new link.
                link.scope.cancel()
