"""The clients of the platform, with scripted answers."""

from __future__ import annotations

import json
from typing import Any
from typing import cast

import anyio

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
