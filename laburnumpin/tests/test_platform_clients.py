"""The clients of the platform, with scripted answers."""

from __future__ import annotations

import contextlib
import json
from typing import Any
from typing import cast

import anyio
from anyio import abc
import pytest

from laburnumpin import exceptions
from laburnumpin.forwarding import freshness
from laburnumpin.forwarding import interfaces
from laburnumpin.platform import clients


class _ScriptedHttp:
    """Answers calls with documents, in order."""

    def __init__(self, *documents: dict[str, Any]) -> None:
        self._documents = list(documents)

    async def call(
        self, method: str, target: str, *arguments: object, **named: object
    ) -> clients.Response:
        body = json.dumps(self._documents.pop(0)).encode()
        return clients.Response(200, [(b"Store-Era", b"1")], body)


def _store(*documents: dict[str, Any]) -> clients.PlatformStore:
    return clients.PlatformStore(
        cast(clients.HttpClient, _ScriptedHttp(*documents))
    )


def _row(key: str, version: int) -> dict[str, Any]:
    return {"key": key, "value": "e30=", "ver": version}


# A table of several pages counted as read at the version of its last page, so
# that changes of rows of the first ones were never read.
def test_table_of_several_pages_has_the_version_of_the_first() -> None:
    store = _store(
        {"rows": [_row("a", 4)], "truncated": True, "ver": 10},
        {"rows": [_row("b", 12)], "truncated": False, "ver": 12},
    )
    rows = anyio.run(store.read, interfaces.Table.UPSTREAMS)
    assert [row.key for row in rows.rows] == ["a", "b"]
    assert rows.version == 10


@pytest.mark.parametrize("value", [b"1", b"0", b"soon"])
def test_answer_to_a_move_says_whether_its_engine_leaves(
    value: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def call(
        self: clients.HttpClient, *arguments: object, **named: object
    ) -> clients.Response:
        headers = [(b"Server-Leaving", value)]
        return clients.Response(200, headers, b'{"kv_handle": "h1"}')

    monkeypatch.setattr(clients.HttpClient, "call", call)
    engines = clients.PlatformEngines()
    result = anyio.run(engines.move_stream, "10.0.0.1:80", "r1", "10.0.0.2:80")
    assert result.kv_source == "10.0.0.1:80/h1"
    assert result.statement.is_leaving is (value == b"1")


class _SilencedServer:
    """Answers calls with `{}` until its open connections are silenced."""

    def __init__(self) -> None:
        self.connections = 0
        self._silent: set[int] = set()

    def silence(self) -> None:
        self._silent = set(range(self.connections + 1))

    async def handle(self, stream: abc.SocketStream) -> None:
        self.connections += 1
        number = self.connections
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    await stream.receive()
                    if number not in self._silent:
                        await stream.send(
                            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                        )


# After a silence of all open connections each idle one took a whole timeout, so
# that entries acted on what they knew before for seconds longer.
def test_call_after_a_silence_uses_a_new_connection() -> None:
    times = freshness.CallTimes(answer_timeout_ms=150)
    server = _SilencedServer()

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(abc.SocketAttribute.local_port)
        http = clients.HttpClient(f"127.0.0.1:{port}", times)

        async def call() -> None:
            assert (await http.call("GET", "/")).status == 200

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(listener.serve, server.handle)
            async with anyio.create_task_group() as callers:
                for _ in range(4):
                    callers.start_soon(call)
            assert server.connections == 4
            server.silence()
            with pytest.raises(exceptions.PlatformAnswerLostError):
                await http.call("GET", "/")
            await call()
            assert server.connections == 5
            await call()
            assert server.connections == 5
            http.close()
            task_group.cancel_scope.cancel()

    anyio.run(main)
