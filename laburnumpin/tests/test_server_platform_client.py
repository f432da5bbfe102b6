"""Tests of the events for answers of the platform."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any

import anyio
import pytest
from starlette import requests
from starlette import responses

from laburnumpin import clock
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import state as entry_state
from laburnumpin.core import store
from laburnumpin.server import bridge as bridges
from laburnumpin.server import platform_client
from laburnumpin.server import tasks
from laburnumpin.tests import server_fakes as fakes

pytestmark = pytest.mark.anyio
OPERATION = store.OperationId(store.StoreModule.CLAIMS, 1)
ROW = {"table": "claims", "key": "a", "version": 3, "value": "{}"}
TRANSACT = effects.Transact(
    OPERATION,
    (store.Condition("claims", "a", 0),),
    (store.Write("claims", "a", "{}"),),
)
READ = effects.ReadRows(OPERATION, "claims", ("a",))
START_VM = effects.StartVm("order-1", "draft", "zone-1", "small", True, 2**60)

StartEffect = Callable[[platform_client.PlatformClient], None]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@contextlib.asynccontextmanager
async def _client(
    address: str,
) -> AsyncIterator[tuple[platform_client.PlatformClient, bridges.Bridge]]:
    state = entry_state.EntryState(ids.EntryId("entry-1", 1), "z", "", 1)
    bridge = bridges.Bridge(state, clock.SystemClock())
    async with anyio.create_task_group() as task_group:
        client = platform_client.PlatformClient(
            bridge,
            tasks.TaskRunner(task_group),
            fakes.new_settings(platform_url=f"http://{address}"),
        )
        with anyio.fail_after(fakes.WAIT_S):
            yield client, bridge
        await client.close()
        task_group.cancel_scope.cancel()


async def _event(start: StartEffect, status: int, body: Any) -> events.Event:
    """Return the event for an answer with this status and body."""

    async def answer(request: requests.Request) -> responses.Response:
        token = "Bearer platform-token-of-the-test"
        assert request.headers["authorization"] == token
        if isinstance(body, bytes):
            return responses.Response(body, status)
        return responses.JSONResponse(body, status)

    async with (
        fakes.serve_http(answer) as platform,
        _client(platform.address) as (client, bridge),
    ):
        start(client)
        return await bridge.next_event()


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, {"versions": [4]}, events.TransactCommitted),
        (409, {"conflicts": [ROW]}, events.TransactConflicted),
        (503, {}, events.TransactRefused),
        (429, {}, events.TransactRefused),
        (500, {}, events.TransactUnknown),
        (504, {}, events.TransactUnknown),
        (200, {"versions": []}, events.TransactUnknown),
        (200, {"versions": ["4"]}, events.TransactUnknown),
        (200, b"[", events.TransactUnknown),
        (409, {"conflicts": "none"}, events.TransactUnknown),
    ],
)
async def test_outcome_of_a_transaction(
    status: int, body: Any, expected: type
) -> None:
    """Guards against a lost answer that is reported as a refusal."""
    event = await _event(
        lambda client: client.start_transact(TRANSACT), status, body
    )
    assert isinstance(event, expected)


async def test_unreached_store_refused_and_silent_store_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a timeout that is reported as a refusal.

    The core would write again, although the first write may take effect.
    """
    monkeypatch.setattr(platform_client, "DEFAULT_TIMEOUT_MS", 50)

    async def answer(request: requests.Request) -> responses.Response:
        arrived.set()
        await anyio.sleep_forever()
        raise AssertionError

    arrived = anyio.Event()
    async with fakes.serve_http(answer) as platform:
        address = platform.address
        async with _client(address) as (client, bridge):
            client.start_transact(TRANSACT)
            await arrived.wait()
            silent = await bridge.next_event()
    async with _client(address) as (client, bridge):
        client.start_transact(TRANSACT)
        unreached = await bridge.next_event()
    assert isinstance(silent, events.TransactUnknown)
    assert isinstance(unreached, events.TransactRefused)


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, {"rows": [ROW]}, events.RowsRead),
        (200, {"rows": [{**ROW, "key": "b"}]}, events.ReadFailed),
        (200, {"rows": [{**ROW, "version": "3"}]}, events.ReadFailed),
        (200, {}, events.ReadFailed),
        (503, {}, events.ReadFailed),
    ],
)
async def test_outcome_of_a_read(
    status: int, body: Any, expected: type
) -> None:
    """Guards against rows of another key, or malformed ones, in the core."""
    event = await _event(lambda client: client.start_read(READ), status, body)
    assert isinstance(event, expected)


async def test_lists_are_checked() -> None:
    """Guards against a malformed list that the core would act on."""
    row = {
        "vm_id": "vm-1",
        "incarnation": 1,
        "role": "upstream",
        "zone": "zone-1",
        "vm_class": "small",
        "reclaimable": True,
        "leaving": False,
    }

    def start(client: platform_client.PlatformClient) -> None:
        client.start_list_vms(effects.ListVms())

    listed = await _event(start, 200, {"vms": [row]})
    wrong = await _event(start, 200, {"vms": [{**row, "role": "king"}]})
    assert isinstance(listed, events.VmsListed)
    assert listed.vms[0].role is events.VmRole.UPSTREAM
    assert isinstance(wrong, events.VmListFailed)


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [(201, {"vm_id": "vm-9"}, "vm-9"), (409, {}, None), (503, {}, None)],
)
async def test_outcome_of_a_start(
    status: int, body: Any, expected: str | None
) -> None:
    """Guards against a fleet that counts VMs that were refused."""
    event = await _event(
        lambda client: client.start_start_vm(START_VM), status, body
    )
    assert isinstance(event, events.VmStartAnswered)
    assert event.vm_id == expected


async def test_objects_keep_their_bytes() -> None:
    """Guards against handover batches that are altered in the object store."""
    stored: dict[str, bytes] = {}

    async def answer(request: requests.Request) -> responses.Response:
        key = request.url.path.removeprefix("/objects/")
        if request.method == "PUT":
            stored[key] = await request.body()
            return responses.Response(status_code=204)
        if request.url.path == "/objects":
            return responses.JSONResponse({"keys": sorted(stored)})
        if key not in stored:
            return responses.JSONResponse({}, 404)
        return responses.Response(stored[key])

    body = bytes(range(256))
    async with (
        fakes.serve_http(answer) as platform,
        _client(platform.address) as (client, bridge),
    ):
        client.start_put_object(effects.PutObject(OPERATION, "h/a b", body))
        put = await bridge.next_event()
        client.start_get_object(effects.GetObject(OPERATION, "h/a b"))
        read = await bridge.next_event()
        client.start_get_object(effects.GetObject(OPERATION, "h/c"))
        absent = await bridge.next_event()
        client.start_list_objects(effects.ListObjects(OPERATION, "h/"))
        listed = await bridge.next_event()
    assert isinstance(put, events.ObjectStored)
    assert isinstance(read, events.ObjectRead)
    assert read.body == body
    assert isinstance(absent, events.ObjectRead)
    assert absent.body is None
    assert isinstance(listed, events.ObjectsListed)
    assert listed.keys == ("h/a b",)
