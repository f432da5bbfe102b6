"""Tests of the links between entries."""

from __future__ import annotations

import socket

import anyio
import pytest
from starlette import requests
from starlette import responses
from websockets import exceptions as websocket_exceptions
from websockets.asyncio import client

from laburnumpin import clock
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import messages
from laburnumpin.core import state as entry_state
from laburnumpin.server import bridge as bridges
from laburnumpin.server import entry
from laburnumpin.server import handshake
from laburnumpin.server import peer_link
from laburnumpin.server import tasks
from laburnumpin.tests import server_fakes as fakes

pytestmark = pytest.mark.anyio
SECRET = fakes.new_settings().peer_secret.reveal()


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def _dial(
    running: entry.RunningEntry, secret: str = SECRET, incarnation: int = 1
) -> client.ClientConnection:
    identity = handshake.PeerIdentity(
        ids.EntryId("stranger", incarnation), "zone-1", ""
    )
    headers = handshake.headers(identity)
    headers[handshake.SECRET_HEADER] = secret
    return await client.connect(
        f"ws://{running.peer_address}/",
        additional_headers=headers,
        proxy=None,
        compression=None,
    )


async def test_entries_find_each_other_through_a_seed() -> None:
    """Guards against entries that find no peer while the platform is down."""
    async with fakes.run_entry() as first:
        settings = fakes.new_settings(
            "entry-2", seed_peers=(first.peer_address,)
        )
        async with fakes.run_entry(settings) as second:
            first_members = first.bridge.state.membership.by_vm
            second_members = second.bridge.state.membership.by_vm
            await fakes.wait_until(
                lambda: (
                    "entry-2" in first_members
                    and first_members["entry-2"].digest_sequence > 0
                    and "entry-1" in second_members
                    and second_members["entry-1"].digest_sequence > 0
                )
            )


async def test_output_is_read_through_another_entry() -> None:
    """Guards against answers that only the accepting entry can deliver."""

    async def engine(request: requests.Request) -> responses.Response:
        if request.url.path == "/v1/generate":
            return responses.Response(fakes.generation(["one ", "two"]))
        return responses.JSONResponse(fakes.load_report())

    async with fakes.serve_http(engine) as upstream, fakes.run_entry() as first:
        fakes.configure(first)
        await fakes.add_upstream(first.bridge, "draft", upstream.address)
        settings = fakes.new_settings(
            "entry-2", seed_peers=(first.peer_address,)
        )
        async with fakes.run_entry(settings) as second:
            fakes.configure(second)
            second_members = second.bridge.state.membership.by_vm
            await fakes.wait_until(lambda: "entry-1" in second_members)
            async with fakes.caller(first) as caller:
                accepted = await caller.post(
                    "/v1/services/draft/write",
                    json={"prompt": "p", "max_tokens": 2},
                    headers={"Prefer": "respond-async"},
                )
            path = accepted.headers["location"]
            async with fakes.caller(second) as caller:
                output = await caller.get(f"{path}/output")
                status = await caller.get(path)
    assert output.json()["text"] == "one two"
    assert status.json()["owner"].startswith("entry-1.")


async def test_wrong_secret_is_refused() -> None:
    """Guards against unauthenticated peers that read or send messages."""
    async with fakes.run_entry() as running:
        with pytest.raises(websocket_exceptions.InvalidStatus) as refused:
            await _dial(running, "another-secret-of-a-stranger")
    assert refused.value.response.status_code == 401


@pytest.mark.parametrize("data", [b"\xff", b"\xa0", "text"])
async def test_malformed_message_closes_only_its_link(data: bytes) -> None:
    """Guards against a peer that ends the process."""
    async with fakes.run_entry() as running:
        connection = await _dial(running)
        await connection.send(data)
        with anyio.fail_after(fakes.WAIT_S):
            await connection.wait_closed()
        counters = running.bridge.state.counters
        await fakes.wait_until(lambda: counters.total("peer_links_lost") == 1)
        second_connection = await _dial(running)
        await second_connection.close()


async def test_silent_peer_counts_as_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against links that stay open to a peer that failed."""
    monkeypatch.setattr(peer_link, "HEARTBEAT_TIMEOUT_MS", 50)
    async with fakes.run_entry() as running:
        connection = await _dial(running)
        counters = running.bridge.state.counters
        await fakes.wait_until(lambda: counters.total("peer_links_lost") == 1)
        await connection.close()


async def test_opener_closes_an_idle_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against heartbeats on idle links to all other entries."""
    monkeypatch.setattr(peer_link, "IDLE_TIMEOUT_MS", 0)
    monkeypatch.setattr(peer_link, "HEARTBEAT_PERIOD_MS", 10)
    async with fakes.run_entry() as first:
        settings = fakes.new_settings(
            "entry-2", seed_peers=(first.peer_address,)
        )
        async with fakes.run_entry(settings) as second:
            counters = second.bridge.state.counters
            await fakes.wait_until(
                lambda: counters.total("peer_links_lost") > 0
            )


async def test_new_incarnation_replaces_links_of_the_old_one() -> None:
    """Guards against messages sent to a process that was replaced."""
    async with fakes.run_entry() as running:
        old = await _dial(running)
        new = await _dial(running, incarnation=2)
        with anyio.fail_after(fakes.WAIT_S):
            await old.wait_closed()
        with pytest.raises(websocket_exceptions.InvalidStatus):
            await _dial(running)
        await new.close()


async def test_messages_beyond_the_queue_are_reported_as_failed() -> None:
    """Guards against an unbounded queue and against unreported losses."""
    state = entry_state.EntryState(ids.EntryId("entry-1", 1), "z", "", 1)
    bridge = bridges.Bridge(state, clock.SystemClock())
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    message = messages.Unsubscribe("reader")
    effect = effects.SendPeer("entry-2", address, message)
    async with anyio.create_task_group() as task_group:
        links = peer_link.PeerLinks(
            bridge, tasks.TaskRunner(task_group), SECRET
        )
        for _ in range(peer_link.MAX_QUEUED_MESSAGES + 1):
            links.send(effect)
        links.send(effects.SendPeer("entry-3", "", message))
        failed = [await bridge.next_event(), await bridge.next_event()]
        # Nothing answers the handshake; closing the listener makes the queued
        # messages fail.
        listener.close()
        for _ in range(peer_link.MAX_QUEUED_MESSAGES):
            failed.append(await bridge.next_event())
    assert all(isinstance(event, events.PeerSendFailed) for event in failed)
