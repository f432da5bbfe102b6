"""Decoding of configurations in slices, and their exchange between entries."""

from __future__ import annotations

from collections.abc import Generator
from collections.abc import Sequence
import contextlib
import dataclasses
import json
import random
import struct
from typing import Any
from typing import cast
import zlib

import anyio
import cbor2
import pytest

from laburnumpin import exceptions
from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import frames
from laburnumpin.forwarding import freshness
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import peer_link
from laburnumpin.forwarding import relay
from laburnumpin.forwarding import synchronization
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.configurations import decoded
from laburnumpin.forwarding.configurations import differences
from laburnumpin.forwarding.configurations import intake
from laburnumpin.forwarding.configurations import pacing
from laburnumpin.forwarding.configurations import reader
from laburnumpin.forwarding.configurations import tables
from laburnumpin.forwarding.configurations import values
from laburnumpin.platform import clients
from laburnumpin.platform import documents
from laburnumpin.platform import long_answers
from laburnumpin.platform import standins
from laburnumpin.tests import test_forwarding_store_era as store_era

DOCUMENTS = documents.PlatformDocuments()


def _route(number: int, timeout_ms: int = 800) -> dict[str, Any]:
    return {
        "name": f"r{number}",
        "host": f"h{number}.example",
        "path_prefix": f"/p{number}/",
        "route_type": "idempotent",
        "timeout_ms": timeout_ms,
        "service": "app",
    }


def _value(routes: list[dict[str, Any]], version: int = 1) -> bytes:
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": "app"}],
    }
    return json.dumps(document).encode()


def _decode(
    value: bytes, base: decoded.Configuration | None = None
) -> decoded.Configuration:
    rows = (interfaces.Row("config", value, 1),)
    known = () if base is None else (base,)
    found = pacing.run_at_once(DOCUMENTS.deployment_steps(rows, known))
    assert found is not None
    return found


def _edit(
    routes: list[dict[str, Any]], edit: str
) -> tuple[list[dict[str, Any]], int]:
    """Return the routes of the next version, and how many have a new text."""
    changed = list(routes)
    if edit == "replaced":
        changed[700] = _route(700, 900)
    elif edit == "inserted":
        changed.insert(3, _route(9_000))
    elif edit == "removed":
        del changed[10:300]
    elif edit == "moved":
        random.Random(1).shuffle(changed)
    return changed, int(edit in ("replaced", "inserted"))


# A change of one route decoded all 1,756 of them again.
@pytest.mark.parametrize(
    "edit", ["none", "replaced", "inserted", "removed", "moved"]
)
def test_only_changed_routes_are_decoded(edit: str) -> None:
    routes = [_route(number) for number in range(1_500)]
    base = _decode(_value(routes))
    changed, count = _edit(routes, edit)
    value = _value(changed, 2)
    found = _decode(value, base)
    alone = _decode(value)
    assert base.document.decoded_items == 1_501
    assert found.document.decoded_items == count
    if edit not in ("moved",):
        # The others were compared, without a look at their fields.
        assert found.document.parsed_items <= count + 1
    assert found.deployment.routes == alone.deployment.routes
    assert found.document.lists == alone.document.lists
    for route in changed:
        matched = found.deployment.match(route["host"], route["path_prefix"])
        assert matched == alone.deployment.match(
            route["host"], route["path_prefix"]
        )
        assert matched is not None


# Where the known routes are the same, what separates them may not be.
def test_known_items_hide_no_malformed_text() -> None:
    value = _value([_route(number) for number in range(50)])
    base = _decode(value)
    parts = value.split(b"}, {")
    for number in range(1, len(parts)):
        for separator in (b"}; {", b"}] {", b"}  {"):
            broken = b"}, {".join(parts[:number]) + separator
            broken += b"}, {".join(parts[number:])
            with pytest.raises(untrusted.MalformedError):
                _decode(broken, base)


# Applying a version decoded it in the event loop, at once.
def test_prepared_configuration_is_applied_without_decoding() -> None:
    configurations = reader.ConfigurationReader(
        DOCUMENTS, values.LargeValues(), 1_000_000
    )
    row = interfaces.Row("config", _value([_route(1)]), 1)

    async def prepare() -> None:
        await configurations.prepare((row,))

    anyio.run(prepare)
    prepared = configurations._prepared
    assert prepared is not None
    assert configurations.read((row,)) is prepared.deployment


class _CountingDocuments(documents.PlatformDocuments):
    __slots__ = ("decodings",)

    def __init__(self) -> None:
        self.decodings = 0

    def deployment_steps(
        self,
        rows: Sequence[interfaces.Row],
        known: Sequence[decoded.Configuration],
    ) -> Generator[None, None, decoded.Configuration | None]:
        self.decodings += 1
        return (yield from super().deployment_steps(rows, known))


# Each snapshot of a peer with a malformed configuration decoded it again.
def test_rejected_value_is_not_decoded_again() -> None:
    counting = _CountingDocuments()
    large_values = values.LargeValues()
    configurations = reader.ConfigurationReader(
        counting, large_values, 1_000_000
    )
    value = _value([_route(number) for number in range(300)])[:-1]
    rows = (interfaces.Row("config", value, 1),)
    for _ in range(3):
        with pytest.raises(untrusted.MalformedError):
            configurations.read(rows)
    assert counting.decodings == 1
    assert configurations.is_rejected(large_values.hash_of(value))


def test_long_computation_leaves_turns_to_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pacing, "SLICE_MS", 0.0)
    turns = 0

    async def count() -> None:
        nonlocal turns
        while True:
            turns += 1
            await anyio.sleep(0)

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(count)
            value = _value([_route(number) for number in range(50)])
            rows = (interfaces.Row("config", value, 1),)
            await pacing.run(DOCUMENTS.deployment_steps(rows, ()))
            task_group.cancel_scope.cancel()

    anyio.run(main)
    assert turns >= 50


def test_differences_lead_to_the_value() -> None:
    generator = random.Random(4)
    for _ in range(200):
        words = [b"},", b"{", b"}", b"a", b"", b"route"]
        base = b"".join(generator.choices(words, k=30))
        value = b"".join(generator.choices(words, k=30))
        encoded = pacing.run_at_once(differences.encode(base, value))
        assert value == pacing.run_at_once(
            differences.decode(base, encoded, len(value))
        )
        if value:
            with pytest.raises(untrusted.MalformedError):
                pacing.run_at_once(
                    differences.decode(base, encoded, len(value) - 1)
                )


# A few bytes of a peer must not become gigabytes.
@pytest.mark.parametrize("data", [b"", b"x", b"\x78\x9c", b"\x78\x9c\x01"])
def test_malformed_differences_are_rejected(data: bytes) -> None:
    bomb = pacing.run_at_once(differences.encode(b"", bytes(1_000_000)))
    behind = pacing.run_at_once(differences.encode(b"{}," * 9, b"{}," * 9))
    empty = zlib.compress(struct.pack(">cII", b"C", 0, 0) * 1_000)
    for difference in (data, bomb, bomb[:-9], behind, empty):
        with pytest.raises(untrusted.MalformedError):
            pacing.run_at_once(differences.decode(b"", difference, 100_000))


class _Target:
    """An entry's operator table, without a store."""

    def __init__(self) -> None:
        self.large_values = values.LargeValues()
        self.max_value_bytes = 10_000_000
        self.position = interfaces.Position(1, 0)
        self.applied: list[int] = []
        self.reads_store = False
        # Versions that lead to an exception.
        self.failing: set[int] = set()

    def lacks(self, table: tables.Table) -> bool:
        return table.position > self.position

    def awaits_store(self) -> bool:
        return self.reads_store

    async def prepare(self, rows: tuple[interfaces.Row, ...]) -> None:
        await self.large_values.add(row.value for row in rows)

    def apply_table(
        self, rows: tuple[interfaces.Row, ...], position: interfaces.Position
    ) -> None:
        if position.version in self.failing:
            raise RuntimeError("not applied")
        self.position = position
        self.applied.append(position.version)
        self.large_values.set_current(rows)

    async def release(self) -> None:
        return


class _Peer:
    """Serves versions of a configuration, and counts the bytes that it sends.

    While `gate` is not set, its answers do not arrive.
    """

    def __init__(self) -> None:
        self.large_values = values.LargeValues()
        self.sent_bytes: list[int] = []
        self.gate = anyio.Event()
        self.asked = anyio.Event()
        # Addresses that answer at once.
        self.answering: set[str] = set()

    def table(self, version: int, value: bytes) -> tables.Table:
        row = interfaces.Row("config", value, version)
        return tables.decode(
            tables.encode(
                [row],
                interfaces.Position(1, version),
                version,
                "127.0.0.1:1",
                self.large_values,
            )
        )

    async def serve(
        self, address: str, request: dict[str, Any]
    ) -> dict[str, Any]:
        self.asked.set()
        if address not in self.answering:
            await self.gate.wait()
        answer = await tables.serve_request(request, self.large_values)
        self.sent_bytes.append(len(answer["difference"] or b""))
        return answer


def _run_intake(check: Any) -> None:
    async def main() -> None:
        target, peer = _Target(), _Peer()
        taken = intake.Intake(target, peer.serve)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(taken.run)
            with anyio.fail_after(20):
                await check(target, peer, taken)
            task_group.cancel_scope.cancel()

    anyio.run(main)


async def _until_applied(target: _Target, version: int) -> None:
    while target.position.version < version:
        await anyio.sleep(0.005)


# Three peers handed the same 600 KB on, and each change sent all of it again.
def test_value_is_fetched_once_and_then_as_a_difference() -> None:
    async def check(target: _Target, peer: _Peer, taken: intake.Intake) -> None:
        peer.gate.set()
        routes = [_route(number) for number in range(2_000)]
        first = _value(routes)
        for name in ("a", "b", "c"):
            taken.offer(name, peer.table(1, first))
        await _until_applied(target, 1)
        second = _value(_edit(routes, "replaced")[0], 2)
        for name in ("a", "b", "c"):
            taken.offer(name, peer.table(2, second))
        await _until_applied(target, 2)
        taken.offer("a", peer.table(2, second))
        assert len(peer.sent_bytes) == 2
        assert peer.sent_bytes[0] < len(first) / 5
        assert peer.sent_bytes[1] < 1_000
        assert target.applied == [1, 2]

    _run_intake(check)


# Changes that come faster than they can be applied.
def test_newest_table_waits_and_the_one_in_progress_is_applied() -> None:
    async def check(target: _Target, peer: _Peer, taken: intake.Intake) -> None:
        for version in range(1, 5):
            routes = [_route(number, version) for number in range(200)]
            taken.offer("a", peer.table(version, _value(routes, version)))
            if version == 1:
                await peer.asked.wait()
        peer.gate.set()
        await _until_applied(target, 4)
        assert target.applied == [1, 4]

    _run_intake(check)


# An entry that follows the store itself asked its peers for the same bytes.
def test_entry_that_reads_the_store_first_awaits_its_answer() -> None:
    async def check(target: _Target, peer: _Peer, taken: intake.Intake) -> None:
        peer.gate.set()
        target.reads_store = True
        value = _value([_route(number) for number in range(200)])
        taken.offer("a", peer.table(1, value))
        await anyio.sleep(0.01)
        target.position = interfaces.Position(1, 1)  # The store's answer.
        await anyio.sleep(intake.OWN_READ_GRACE_MS / 1_000 + 0.1)
        assert not peer.asked.is_set()

    _run_intake(check)


def test_wrong_value_is_not_applied() -> None:
    async def check(target: _Target, peer: _Peer, taken: intake.Intake) -> None:
        peer.gate.set()
        value = _value([_route(number) for number in range(200)])
        table = peer.table(1, value)
        wrong = pacing.run_at_once(differences.encode(b"", value + b" "))
        key = (b"", peer.large_values.hash_of(value))
        peer.large_values._differences[key] = wrong
        taken.offer("a", table)
        while len(peer.sent_bytes) < intake.MAX_TRIES:
            await anyio.sleep(0.005)
        assert not target.applied

    _run_intake(check)


# A relay froze while it held the value; the next one had it already.
def test_value_of_a_silent_peer_is_asked_from_another() -> None:
    async def check(target: _Target, peer: _Peer, taken: intake.Intake) -> None:
        value = _value([_route(number) for number in range(200)])
        table = peer.table(1, value)
        taken.offer("frozen", table)
        await peer.asked.wait()
        other = dataclasses.replace(table, address="127.0.0.1:2")
        peer.answering.add(other.address)
        taken.offer("other", other)
        await _until_applied(target, 1)
        assert not peer.gate.is_set()

    _run_intake(check)


# A table led to an exception, and the peer's next one was lost with it.
def test_table_after_one_that_fails_is_taken() -> None:
    async def check(target: _Target, peer: _Peer, taken: intake.Intake) -> None:
        value = _value([_route(number) for number in range(200)])
        taken.offer("a", peer.table(1, value))
        await peer.asked.wait()
        taken.offer("a", peer.table(2, value))
        target.failing.add(1)
        peer.gate.set()
        await _until_applied(target, 2)
        assert target.applied == [2]

    _run_intake(check)


def test_long_values_of_an_answer_are_cut_out() -> None:
    long = "QUJD" * 30_000
    rows = [{"key": "a", "value": long, "x": '"'}, {"key": "b", "value": "QQ"}]
    body = json.dumps({"rows": rows, "ver": 3}).encode()
    steps = long_answers.parse(body, 10_000_000)
    document, found = pacing.run_at_once(steps)
    assert found == [b"ABC" * 30_000]
    assert long_answers.index_of(document["rows"][0]["value"]) == 0
    assert long_answers.index_of(document["rows"][1]["value"]) is None
    assert long_answers.index_of("#long-value " + "1" * 5_000) is None
    broken = body.replace(b"QUJDQUJD", b"QUJD****", 1)
    document, found = pacing.run_at_once(long_answers.parse(broken, 10_000_000))
    assert not found
    assert document == json.loads(broken)


def _limited_entry(address: str) -> store_era.Entry:
    """Return an entry that takes configurations up to 20,000 bytes."""
    entry = store_era.Entry("e1", address)
    entry.synchronizer = synchronization.Synchronizer(
        entry.shell,
        entry.store,
        documents.PlatformDocuments(),
        max_configuration_bytes=20_000,
    )
    return entry


# A version that is too large, or cannot be decoded, took the other rows of the
# operator with it.
@pytest.mark.parametrize("fault", ["too_large", "wrong_type"])
def test_rejected_version_leaves_the_one_before_in_force(fault: str) -> None:
    async def check(
        store: standins.Store, address: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        store.configure(4, "old")
        entry = _limited_entry(address)
        seen: list[set[str]] = []
        entry.synchronizer.on_operator_rows = lambda rows, _: seen.append(
            set(rows)
        )
        entry.start(task_group)
        await store_era.until(lambda: entry.configuration() == 4)
        routes: list[Any] = [_route(number) for number in range(300)]
        if fault == "wrong_type":
            routes = [*routes[:9], "route"]
        store.put("op", "config", json.loads(_value(routes, 9)))
        store.put("op", "rollout/app", {"to": "v2"})
        await store_era.until(
            lambda: "rollout/app" in entry.synchronizer.operator_rows
        )
        assert entry.configuration() == 4
        assert entry.state.counters.total("configurations_rejected") > 0
        assert seen[-1] == {"config", "rollout/app"}
        snapshot = entry.synchronizer.snapshot()
        kept = {
            key: json.loads(value) for key, value, _ in snapshot["operator"]
        }
        assert kept["config"]["version"] == 4
        store.configure(10, "new")
        await store_era.until(lambda: entry.configuration() == 10)
        assert set(entry.synchronizer.operator_rows) == {
            "config",
            "rollout/app",
        }

    store_era.run_with_store(check)


async def _serve_answer(
    task_group: anyio.abc.TaskGroup, announced: int, chunks: int, pause_s: float
) -> str:
    """Serve one answer of chunks of 64 KB, with pauses between them."""

    async def handle(stream: byte_stream.ByteStream) -> None:
        await stream.receive()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {announced}\r\n\r\n"
        with contextlib.suppress(byte_stream.StreamClosedError):
            await stream.send(head.encode())
            for _ in range(chunks):
                await anyio.sleep(pause_s)
                await stream.send(b" " * 65_536)

    address: str = await task_group.start(
        byte_stream.serve, "127.0.0.1:0", 8, handle
    )
    return address


# At 5 Mbit/s, 800 KB take longer than the time in which a silence is noticed.
def test_long_answer_that_still_arrives_is_awaited() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            address = await _serve_answer(task_group, 8 * 65_536, 8, 0.2)
            times = freshness.CallTimes(answer_timeout_ms=1_000)
            http = clients.HttpClient(address, times, 16_777_216)
            response = await http.call("GET", "/rows-feed")
            assert len(response.body) == 8 * 65_536
            task_group.cancel_scope.cancel()

    anyio.run(main)


# A store that trickled would have held up its table for ten minutes.
def test_long_answer_is_not_awaited_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "MAX_PROLONGED_MS", 200)

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            address = await _serve_answer(task_group, 80 * 65_536, 80, 0.05)
            times = freshness.CallTimes(answer_timeout_ms=400)
            http = clients.HttpClient(address, times, 16_777_216)
            with pytest.raises(exceptions.PlatformAnswerLostError):
                await http.call("GET", "/rows-feed")
            task_group.cancel_scope.cancel()

    anyio.run(main)


# An answer that will not fit is not received at all.
def test_answer_that_is_announced_too_long_is_not_read() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            address = await _serve_answer(task_group, 20_000_000, 1, 60.0)
            http = clients.HttpClient(address, None, 16_777_216)
            with pytest.raises(interfaces.AnswerTooLargeError):
                await http.call("GET", "/rows-feed")
            task_group.cancel_scope.cancel()

    anyio.run(main)


async def _serve_head(task_group: anyio.abc.TaskGroup, head: bytes) -> str:
    """Answer each request with a head and a chunked body without an end."""

    async def handle(stream: byte_stream.ByteStream) -> None:
        await stream.receive()
        chunk = b"10000\r\n" + b" " * 65_536 + b"\r\n"
        with contextlib.suppress(byte_stream.StreamClosedError):
            await stream.send(b"HTTP/1.1 " + head + b"\r\n\r\n")
            while True:
                await stream.send(chunk)

    address: str = await task_group.start(
        byte_stream.serve, "127.0.0.1:0", 8, handle
    )
    return address


# An error with a long body counted as a configuration that is too large, and a
# long answer without a length as one that was lost, to be read again at once.
@pytest.mark.parametrize(
    ("method", "head", "expected"),
    [
        (
            "GET",
            b"200 OK\r\nTransfer-Encoding: chunked",
            interfaces.AnswerTooLargeError,
        ),
        (
            "GET",
            b"500 Failed\r\nContent-Length: 20000000",
            exceptions.PlatformAnswerLostError,
        ),
        (
            "POST",
            b"200 OK\r\nContent-Length: 20000000",
            exceptions.PlatformAnswerLostError,
        ),
    ],
)
def test_only_a_read_that_succeeds_can_be_too_large(
    method: str, head: bytes, expected: type[Exception]
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            address = await _serve_head(task_group, head)
            http = clients.HttpClient(address, None, 1_000_000)
            with pytest.raises(expected):
                await http.call(method, "/rows-feed")
            task_group.cancel_scope.cancel()

    anyio.run(main)


# An entry beside a relay of the release before kept every earlier version.
def test_earlier_versions_of_old_entries_are_released() -> None:
    async def check() -> None:
        entry = store_era.Entry("e1", "127.0.0.1:1")
        for version in range(1, 6):
            value = _value([_route(n) for n in range(300)], version)
            rows = (interfaces.Row("config", value, version),)
            await entry.synchronizer.prepare(rows)
            entry.synchronizer.apply_changes(
                interfaces.Table.OPERATOR, interfaces.Rows(rows, version)
            )
            assert entry.configuration() == version
            assert len(entry.synchronizer._configurations._retired) <= 1

    anyio.run(check)


# A peer named 30 MB, which were collected until the timeout.
def test_longer_message_than_any_value_is_not_read() -> None:
    async def handle(stream: byte_stream.ByteStream) -> None:
        await stream.receive()
        await stream.send((30_000_000).to_bytes(4, "big"))
        with contextlib.suppress(byte_stream.StreamClosedError):
            await stream.receive()

    async def check() -> None:
        entry = store_era.Entry("e1", "127.0.0.1:1")
        link = peer_link.PeerLink(
            entry.shell, entry.synchronizer, "127.0.0.1:0"
        )
        async with anyio.create_task_group() as task_group:
            address = await task_group.start(
                byte_stream.serve, "127.0.0.1:0", 8, handle
            )
            with pytest.raises(intake.FetchError, match="maximum length"):
                await link._fetch_value(address, {"kind": "value"})
            task_group.cancel_scope.cancel()

    anyio.run(check)


class _Frames:
    """Keeps the messages that are sent over a link."""

    def __init__(self) -> None:
        self.sent: list[dict[str, Any]] = []

    def is_slow(self) -> bool:
        return False

    def write_frame(self, frame: bytes) -> None:
        self.sent.append(cbor2.loads(frame[4:]))


# A configuration went to every peer, also to those that had sent it.
def test_link_carries_a_table_once_and_whole_rows_only_to_old_entries() -> None:
    async def check() -> None:
        entry = store_era.Entry("e1", "127.0.0.1:1")
        links = relay.RelayLinks(
            entry.shell,
            entry.synchronizer,
            lambda _: None,
            address="127.0.0.1:9",
        )
        sent = {}
        for name, accepts in (("new", True), ("old", False), ("unknown", None)):
            sent[name] = _Frames()
            link = relay._Link(
                name,
                relay.PeerRole.MEMBER,
                cast(frames.FrameStream, sent[name]),
                has_opened=False,
            )
            link.accepts_tables = accepts
            links._links[name] = link
        value = _value([_route(number) for number in range(300)])
        row = interfaces.Row("config", value, 7)
        for _ in range(3):
            links._on_rows(
                interfaces.Table.OPERATOR, interfaces.Rows((row,), 7), False
            )
            entry.synchronizer.apply_changes(
                interfaces.Table.OPERATOR, interfaces.Rows((row,), 7)
            )
        new = [message["kind"] for message in sent["new"].sent]
        assert new == [
            "operator_table",
            "operator_table",
        ]  # Without it, with it.
        assert len(cbor2.dumps(sent["new"].sent)) < 1_000
        assert [message["kind"] for message in sent["old"].sent].count(
            "rows"
        ) == 4
        assert sent["old"].sent[-1]["rows"][0][1] == value
        assert not sent["unknown"].sent
        known = tables.decode(sent["new"].sent[-1]["operator_table"])
        assert not entry.synchronizer.lacks(known)

    anyio.run(check)
