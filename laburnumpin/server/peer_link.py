"""WebSocket links between entries.

Either entry of a pair may open a link. All messages to a peer use its oldest
open link, which preserves their order. The loss of any link may lose messages
of either side, so each loss is reported to the core.
"""

from __future__ import annotations

import contextlib
import dataclasses
import http
import socket

import anyio
from anyio.streams import memory
from websockets import exceptions as websocket_exceptions
from websockets import http11
from websockets.asyncio import client
from websockets.asyncio import connection as connections
from websockets.asyncio import server

from laburnumpin import exceptions
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import messages
from laburnumpin.server import authentication
from laburnumpin.server import bridge as bridges
from laburnumpin.server import codec
from laburnumpin.server import handshake
from laburnumpin.server import logs
from laburnumpin.server import tasks

HEARTBEAT_PERIOD_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
MAX_QUEUED_MESSAGES = 256
CONNECT_TIMEOUT_MS = 2_000
CLOSE_TIMEOUT_MS = 1_000
SEED_PERIOD_MS = 2_000
# Any pair of entries may need a link temporarily. Without a timeout an entry
# would eventually send heartbeats to every other entry.
IDLE_TIMEOUT_MS = 15_000
# A heartbeat is an empty frame; encoded messages are never empty.
HEARTBEAT_FRAME = b""
# Age of the configuration of a peer that has not sent a digest yet.
UNKNOWN_AGE_MS = 2**31

_CONNECTION_ERRORS = (
    websocket_exceptions.WebSocketException,
    OSError,
    TimeoutError,
)


@dataclasses.dataclass(slots=True, eq=False)
class _Link:
    """A link that is open or being opened.

    `incarnation` is that of the peer, or 0 until the link is open. `scope`
    closes the link when cancelled; `ended` is set once it is removed.
    `last_message_s` is the time, on the clock of the event loop, at which the
    last message other than a heartbeat was sent or received.
    """

    peer_id: str
    incarnation: int
    send_stream: memory.MemoryObjectSendStream[messages.Message]
    receive_stream: memory.MemoryObjectReceiveStream[messages.Message]
    scope: anyio.CancelScope
    ended: anyio.Event
    last_message_s: float = 0.0


class PeerLinks:
    """All links of this entry, by VM id of the peer."""

    __slots__ = (
        "_bridge",
        "_identity",
        "_links",
        "_secret",
        "_stopping",
        "_tasks",
    )

    def __init__(
        self,
        bridge: bridges.Bridge,
        task_runner: tasks.TaskRunner,
        secret: str,
    ) -> None:
        self._bridge = bridge
        self._tasks = task_runner
        self._secret = secret
        state = bridge.state
        self._identity = handshake.PeerIdentity(
            state.entry, state.zone, state.peer_address
        )
        self._links: dict[str, list[_Link]] = {}
        self._stopping = False

    async def serve(self, listener: socket.socket, stop: anyio.Event) -> None:
        """Serve links until `stop`, then send queued messages and close."""
        websocket_server = await server.serve(
            self._accept,
            sock=listener,
            process_request=self._check_request,
            process_response=self._add_headers,
            compression=None,
            open_timeout=CONNECT_TIMEOUT_MS / 1_000,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_MS / 1_000,
            max_size=codec.MAX_MESSAGE_BYTES,
        )
        try:
            await stop.wait()
            await self._drain()
        finally:
            websocket_server.close()
            with anyio.move_on_after(CLOSE_TIMEOUT_MS / 1_000, shield=True):
                await websocket_server.wait_closed()

    def start_seeds(self, addresses: tuple[str, ...]) -> None:
        """Open links to these addresses while no other entry is known."""
        for address in addresses:
            self._tasks.start(self._maintain_seed_link, address)

    def send(self, effect: effects.SendPeer) -> None:
        """Queue a message; opens a link if there is none.

        Reports `PeerSendFailed` if the queue is full, this entry is stopping,
        or there is neither a link nor an address.
        """
        links = self._links.get(effect.peer_id)
        if links:
            link = links[0]
        elif effect.address == "" or self._stopping:
            self._tasks.start(
                self._report_unsent, effect.peer_id, [effect.message]
            )
            return
        else:
            link = self._new_link(effect.peer_id)
            self._tasks.start(self._open, link, effect.address)
        try:
            link.send_stream.send_nowait(effect.message)
        except (anyio.WouldBlock, anyio.ClosedResourceError):
            self._tasks.start(
                self._report_unsent, effect.peer_id, [effect.message]
            )

    def _new_link(self, peer_id: str, incarnation: int = 0) -> _Link:
        send, receive = anyio.create_memory_object_stream[messages.Message](
            MAX_QUEUED_MESSAGES
        )
        link = _Link(
            peer_id,
            incarnation,
            send,
            receive,
            anyio.CancelScope(),
            anyio.Event(),
        )
        self._links.setdefault(peer_id, []).append(link)
        return link

    async def _open(self, link: _Link, address: str) -> None:
        try:
            with link.scope:
                await self._connect(link, address)
        finally:
            await self._remove_link(link)

    async def _connect(self, link: _Link, address: str) -> None:
        try:
            connection = await self._dial(address)
        except _CONNECTION_ERRORS as error:
            _log_failure("peer_connect_failed", address, error)
            return
        try:
            identity = _peer_identity(connection)
            if identity.entry.vm_id != link.peer_id:
                # The address was reassigned after the VM ended.
                raise exceptions.MessageError(
                    "the address belongs to a VM with another id"
                )
            link.incarnation = identity.entry.incarnation
            await self._run(link, connection)
        except exceptions.MessageError as error:
            _log_failure("peer_refused", address, error)
        finally:
            await _close(connection)

    async def _dial(self, address: str) -> client.ClientConnection:
        headers = handshake.headers(self._identity)
        headers[handshake.SECRET_HEADER] = self._secret
        return await client.connect(
            f"ws://{address}/",
            additional_headers=headers,
            compression=None,
            proxy=None,
            open_timeout=CONNECT_TIMEOUT_MS / 1_000,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_MS / 1_000,
            max_size=codec.MAX_MESSAGE_BYTES,
        )

    async def _maintain_seed_link(self, address: str) -> None:
        peer_id = ""
        while not self._stopping:
            has_no_members = not self._bridge.state.membership.by_vm
            if has_no_members and not self._links.get(peer_id):
                peer_id = await self._open_seed(address) or peer_id
            if peer_id == self._identity.entry.vm_id:
                return  # The seed address is that of this entry.
            await anyio.sleep(SEED_PERIOD_MS / 1_000)

    async def _open_seed(self, address: str) -> str | None:
        try:
            connection = await self._dial(address)
            identity = _peer_identity(connection)
        except (*_CONNECTION_ERRORS, exceptions.MessageError) as error:
            _log_failure("peer_connect_failed", address, error)
            return None
        entry = identity.entry
        if entry.vm_id == self._identity.entry.vm_id:
            await _close(connection)
            return entry.vm_id
        link = self._new_link(entry.vm_id, entry.incarnation)
        self._tasks.start(self._run_seed, link, connection, identity)
        return entry.vm_id

    async def _run_seed(
        self,
        link: _Link,
        connection: client.ClientConnection,
        identity: handshake.PeerIdentity,
    ) -> None:
        try:
            with link.scope:
                await self._add_member(identity)
                await self._run(link, connection)
        finally:
            await _close(connection)
            await self._remove_link(link)

    def _check_request(
        self, connection: server.ServerConnection, request: http11.Request
    ) -> http11.Response | None:
        presented_secret = request.headers.get(handshake.SECRET_HEADER, "")
        if not authentication.matches(presented_secret, self._secret):
            return connection.respond(http.HTTPStatus.UNAUTHORIZED, "")
        try:
            identity = handshake.parse(request.headers)
        except exceptions.MessageError as error:
            return connection.respond(
                http.HTTPStatus.BAD_REQUEST, error.message
            )
        if self._stopping or self._is_stale(identity):
            return connection.respond(http.HTTPStatus.CONFLICT, "")
        return None

    def _is_stale(self, identity: handshake.PeerIdentity) -> bool:
        entry = identity.entry
        for link in self._links.get(entry.vm_id, []):
            if link.incarnation > entry.incarnation:
                return True
        return False

    def _add_headers(
        self,
        connection: server.ServerConnection,
        request: http11.Request,
        response: http11.Response,
    ) -> None:
        del connection, request
        if response.status_code == http.HTTPStatus.SWITCHING_PROTOCOLS:
            response.headers.update(handshake.headers(self._identity))

    async def _accept(self, connection: server.ServerConnection) -> None:
        assert connection.request is not None
        identity = handshake.parse(connection.request.headers)
        entry = identity.entry
        if entry.vm_id == self._identity.entry.vm_id:
            logs.write("peer_same_vm_id", "error", {"peer": entry.vm_id})
            return
        for older in self._links.get(entry.vm_id, []):
            if 0 < older.incarnation < entry.incarnation:
                older.scope.cancel()
        link = self._new_link(entry.vm_id, entry.incarnation)
        self._prefer_open_link(link)
        try:
            with link.scope:
                await self._add_member(identity)
                await self._run(link, connection)
        except Exception:
            logs.write_exception("peer_link_error", {"peer": link.peer_id})
        finally:
            await self._remove_link(link)

    def _prefer_open_link(self, link: _Link) -> None:
        """Move an open link ahead of one that is still being opened.

        Also moves the queued messages of that link to the open one.
        """
        links = self._links[link.peer_id]
        if links[0].incarnation:
            return
        links.remove(link)
        links.insert(0, link)
        queued = links[1].receive_stream
        with contextlib.suppress(anyio.WouldBlock, anyio.EndOfStream):
            while True:
                link.send_stream.send_nowait(queued.receive_nowait())

    async def _add_member(self, identity: handshake.PeerIdentity) -> None:
        """Add a peer to the membership unless the VM list already did.

        The digest has sequence 0, which precedes all digests that the peer
        itself sends.
        """
        member = self._bridge.state.membership.by_vm.get(identity.entry.vm_id)
        if member is not None or identity.peer_address == "":
            return
        digest = messages.Digest(
            entry=identity.entry,
            sequence=0,
            zone=identity.zone,
            peer_address=identity.peer_address,
            accepting=True,
            configuration_version=0,
            confirmed_age_ms=UNKNOWN_AGE_MS,
            loads=(),
            leaving=(),
            departures=(),
            demands=(),
        )
        await self._receive(identity.entry.vm_id, digest)

    async def _run(
        self, link: _Link, connection: connections.Connection
    ) -> None:
        logs.write("peer_connected", "info", {"peer": link.peer_id})
        link.last_message_s = anyio.current_time()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._read, link, connection)
            task_group.start_soon(self._write, link, connection)
            task_group.start_soon(_send_heartbeats, link, connection)

    async def _read(
        self, link: _Link, connection: connections.Connection
    ) -> None:
        try:
            while True:
                with anyio.fail_after(HEARTBEAT_TIMEOUT_MS / 1_000):
                    data = await connection.recv(decode=False)
                if data != HEARTBEAT_FRAME:
                    link.last_message_s = anyio.current_time()
                    await self._receive(link.peer_id, codec.decode(data))
        except _CONNECTION_ERRORS as error:
            _log_failure("peer_disconnected", link.peer_id, error)
        except exceptions.MessageError as error:
            logs.write(
                "peer_message_invalid",
                "error",
                {
                    "peer": link.peer_id,
                    "code": error.code,
                    "reason": error.message,
                },
            )
        link.scope.cancel()

    async def _write(
        self, link: _Link, connection: connections.Connection
    ) -> None:
        try:
            async for message in link.receive_stream:
                await self._write_message(link, connection, message)
        except _CONNECTION_ERRORS:
            return  # `_read` detects the loss too, and reports it.
        await _close(connection)

    async def _write_message(
        self,
        link: _Link,
        connection: connections.Connection,
        message: messages.Message,
    ) -> None:
        try:
            data = codec.encode(message)
        except exceptions.MessageError as error:
            _log_failure("peer_message_not_sent", link.peer_id, error)
            await self._report_unsent(link.peer_id, [message])
            return
        link.last_message_s = anyio.current_time()
        await connection.send(data)

    async def _receive(self, peer_id: str, message: messages.Message) -> None:
        await self._bridge.put(
            events.PeerReceived(self._bridge.clock.now_ms(), peer_id, message)
        )

    async def _remove_link(self, link: _Link) -> None:
        links = self._links[link.peer_id]
        links.remove(link)
        if not links:
            del self._links[link.peer_id]
        unsent = _drain_queue(link)
        link.ended.set()
        await self._report_unsent(link.peer_id, unsent)
        if link.incarnation:
            await self._bridge.put_shielded(
                events.PeerDisconnected(
                    self._bridge.clock.now_ms(), link.peer_id
                )
            )

    async def _report_unsent(
        self, peer_id: str, unsent: list[messages.Message]
    ) -> None:
        for message in unsent:
            await self._bridge.put_shielded(
                events.PeerSendFailed(
                    self._bridge.clock.now_ms(), peer_id, message
                )
            )

    async def _drain(self) -> None:
        self._stopping = True
        links = [link for row in self._links.values() for link in row]
        for link in links:
            link.send_stream.close()
        with anyio.move_on_after(CLOSE_TIMEOUT_MS * 2 / 1_000):
            for link in links:
                await link.ended.wait()
        for link in links:
            link.scope.cancel()


async def _send_heartbeats(
    link: _Link, connection: connections.Connection
) -> None:
    is_opener = isinstance(connection, client.ClientConnection)
    try:
        while True:
            await connection.send(HEARTBEAT_FRAME)
            await anyio.sleep(HEARTBEAT_PERIOD_MS / 1_000)
            idle_s = anyio.current_time() - link.last_message_s
            if is_opener and idle_s * 1_000 > IDLE_TIMEOUT_MS:
                link.scope.cancel()
    except _CONNECTION_ERRORS:
        return  # `_read` detects the loss too, and reports it.


async def _close(connection: connections.Connection) -> None:
    with anyio.move_on_after(CLOSE_TIMEOUT_MS / 1_000, shield=True):
        await connection.close()


def _peer_identity(
    connection: client.ClientConnection,
) -> handshake.PeerIdentity:
    assert connection.response is not None
    return handshake.parse(connection.response.headers)


def _drain_queue(link: _Link) -> list[messages.Message]:
    link.send_stream.close()
    queued: list[messages.Message] = []
    while True:
        try:
            queued.append(link.receive_stream.receive_nowait())
        except (anyio.WouldBlock, anyio.EndOfStream):
            break
    link.receive_stream.close()
    return queued


def _log_failure(message_type: str, peer: str, error: Exception) -> None:
    reason = f"{type(error).__name__}: {error}"
    logs.write(message_type, "info", {"peer": peer, "reason": reason})
