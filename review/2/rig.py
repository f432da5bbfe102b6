"""Stand-ins and processes for this case; each case has the same file.

The store and the cloud API of the platform, runners and requesters are served
by the script's own process, on loopback; entries are started as processes with
the command of the deploy file. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A script runs for 120 s at most.
SCRIPT_LIMIT_S = 110.0
HEARTBEAT_S = 1.2
ZONES = ("a", "b", "c")
ATTEMPT_ID = "x-laburnumpin-attempt-id"
Headers = dict[str, str]


def with_trouble() -> bool:
    """Return whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """Writes what was sent, answered and run, one JSON line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self._started_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        self._lines: list[dict[str, Any]] = []

    def now_ms(self) -> int:
        """Return the time since the start of the script."""
        return int((time.monotonic() - self._started_s) * 1_000)

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        line = {"at_ms": self.now_ms(), "what": what, **fields}
        self._lines.append(line)
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def lines(self, what: str) -> list[dict[str, Any]]:
        """Return the lines of one kind."""
        return [line for line in self._lines if line["what"] == what]


@dataclasses.dataclass(slots=True)
class Request:
    """A request that a stand-in has received."""

    method: str
    target: str
    headers: Headers
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the id of the requester's attempt."""
        return self.headers.get(ATTEMPT_ID, "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Return the first line and the headers, None if there is no whole head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers: Headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def head_bytes(first: str, headers: list[tuple[str, str]]) -> bytes:
    """Return the bytes of a head."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def chunk_bytes(data: bytes) -> bytes:
    """Return one chunk of a body in chunks."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Connection:
    """The stand-in's side of one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Send bytes; a lost connection raises `ConnectionError`."""
        self.writer.write(data)
        await self.writer.drain()
        if self.writer.is_closing() or self.reader.at_eof():
            raise ConnectionResetError("the peer has closed")

    async def answer(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole answer with a length."""
        length = ("Content-Length", str(len(body)))
        await self.send(
            head_bytes(f"HTTP/1.1 {status} Status", [*headers, length]) + body
        )

    async def answer_json(self, status: int, document: object) -> None:
        """Send a JSON answer."""
        kind = ("Content-Type", "application/json")
        await self.answer(status, [kind], json.dumps(document).encode())

    def close(self) -> None:
        """Close normally."""
        self.writer.close()

    def reset(self) -> None:
        """Reset the connection, as the end of a process may."""
        raw = self.writer.get_extra_info("socket")
        if raw is not None:
            with contextlib.suppress(OSError):
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
        self.writer.transport.abort()


class Server:
    """A small HTTP/1.1 server; `handle` returns whether to keep on."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Return the address as `IP:PORT`."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, HOST, 0, limit=8_388_608
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no more connections; open ones go on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def kill(self) -> None:
        """End like a process that is killed."""
        self.stop_listening()
        for connection in list(self._connections):
            connection.reset()

    async def handle(self, connection: Connection, request: Request) -> bool:
        """Answer one request; return whether the connection stays open."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        self._connections.add(connection)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                method, target, _ = first.split(" ")
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                request = Request(method, target, headers, body)
                if not await self.handle(connection, request):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._connections.discard(connection)
            connection.close()


class Store(Server):
    """The platform's row store and its cloud API."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self._rows: dict[tuple[str, str], tuple[str, int]] = {}
        self._history: list[dict[str, Any]] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._fence = 0

    def put(self, table: str, key: str, document: dict[str, Any]) -> None:
        """Write a row, as the operator and the runners do."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([(table, key, value)])

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._apply([(table, key, None)])

    def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration, as the operator does."""
        self.put("op", "config", document)
        self._record.write("configured", version=document["version"])

    def _apply(self, changes: list[tuple[str, str, str | None]]) -> None:
        self._version += 1
        for table, key, value in changes:
            row = {"table": table, "part": "", "key": key, "ver": self._version}
            if value is None:
                self._rows.pop((table, key), None)
                self._history.append({**row, "tombstone": True})
                continue
            self._rows[table, key] = (value, self._version)
            self._history.append({**row, "value": value})
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, connection: Connection, request: Request) -> bool:
        """Answer a call."""
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        fields = json.loads(request.body or b"{}")
        if url.path == "/rows-get":
            await connection.answer_json(200, self._read(query))
        elif url.path == "/rows-feed":
            await connection.answer_json(200, await self._feed(query))
        elif url.path == "/rows-tx":
            await connection.answer_json(*self._transact(fields))
        elif url.path in ("/usage", "/scale"):
            fence = int(request.headers["x-laburnumpin-fencing-token"])
            status = 409 if fence < self._fence else 200
            self._fence = max(self._fence, fence)
            if url.path == "/usage" and status == 200:
                self._record.write(
                    "usage",
                    window=fields["window_id"],
                    counts=fields["counts"],
                    holder=request.headers["x-laburnumpin-duty-holder"],
                )
            await connection.answer_json(status, {})
        else:
            await connection.answer_json(404, {})
        return True

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        rows = []
        for (table, key), (value, version) in sorted(self._rows.items()):
            if table != query["table"] or key < query.get("from", ""):
                continue
            row = {"table": table, "part": "", "key": key}
            rows.append({**row, "value": value, "ver": version})
        return self._with_version({"rows": rows, "truncated": False})

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["after_revision"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            rows = [
                row
                for row in self._history
                if row["ver"] > after and row["table"] == query["table"]
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return self._with_version({"rows": rows})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in fields.get("expected_revision", []):
            current = self._rows.get((row["table"], row["key"]), ("", 0))
            if current[1] != row["ver"]:
                return 412, self._with_version({"rows": []})
        changes: list[tuple[str, str, str | None]] = []
        for row in fields.get("set_keys", []):
            changes.append((row["table"], row["key"], row["value"]))
        for row in fields.get("remove", []):
            changes.append((row["table"], row["key"], None))
        self._apply(changes)
        return 200, self._with_version({})

    def _with_version(self, document: dict[str, Any]) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1_000)
        return {**document, "ver": self._version, "now_ms": now_ms}


class Runner(Server):
    """A runner; a case says in `run` how it answers.

    It registers, writes its heartbeats, and answers 421 to a request for
    another runner.
    """

    def __init__(
        self, store: Store, record: Record, name: str, service: str, slots: int
    ) -> None:
        super().__init__()
        self._store = store
        self.record = record
        self.name = name
        self._service = service
        self._slots = slots
        self._born = int(time.time() * 1_000)
        self._seq = 0
        self._state: dict[str, object] = {"state": "ready"}
        self._heartbeat: asyncio.Task[None] | None = None

    async def register(self, **fields: object) -> None:
        """Start, and write the registration until the end."""
        await self.start()
        self._state.update(fields)
        self._write()
        self._heartbeat = asyncio.create_task(self._beat())

    def drain(self, **fields: object) -> None:
        """Register as draining."""
        self._state.update(state="draining", **fields)
        self._write()
        self.record.write("runner_draining", runner=self.name, **fields)

    def leave(self) -> None:
        """End as announced, and remove the registration."""
        self.end()
        self._store.remove("servers", self.name)

    def end(self) -> None:
        """End like a process that is killed: nothing more is written."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        self.kill()
        self.record.write("runner_ended", runner=self.name)

    def _write(self) -> None:
        self._seq += 1
        self._store.put(
            "servers",
            self.name,
            {
                "service": self._service,
                "address": self.address,
                "zone": "a",
                "version": "v1",
                "slots": self._slots,
                "cold_remaining_ms": 0,
                "born": self._born,
                "seq": self._seq,
                **self._state,
            },
        )

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._write()

    async def handle(self, connection: Connection, request: Request) -> bool:
        """Answer a call or a request."""
        if request.target == "/healthz":
            name = ("X-Laburnumpin-Instance-Id", self.name)
            await connection.answer(200, [name], b"")
            return True
        if request.target == "/kv-move":
            return await self.move(connection, json.loads(request.body))
        echo = ("X-Laburnumpin-Attempt-Id", request.request_id)
        expected = request.headers.get("x-laburnumpin-expect-instance")
        if expected is not None and expected != self.name:
            await connection.answer(421, [echo], b"")
            return True
        self.record.write(
            "arrived",
            runner=self.name,
            id=request.request_id,
            last_event_id=request.headers.get("last-event-id"),
            kv_from=request.headers.get("kv-from"),
        )
        return await self.run(connection, request)

    async def run(self, connection: Connection, request: Request) -> bool:
        """Run a request; return whether the connection stays open."""
        raise NotImplementedError

    async def move(
        self, connection: Connection, fields: dict[str, Any]
    ) -> bool:
        """Copy the memory of a run to another runner."""
        self.record.write("move_asked", runner=self.name, **fields)
        await connection.answer_json(404, {})
        return True

    def answer_headers(self, request: Request) -> list[tuple[str, str]]:
        """Return the headers of an answer of this runner."""
        return [
            ("X-Laburnumpin-Attempt-Id", request.request_id),
            ("X-Laburnumpin-Response-Seal", f"{request.request_id}.1"),
        ]

    async def reject(self, connection: Connection, request: Request) -> bool:
        """Answer that the request was not run."""
        echo = ("X-Laburnumpin-Attempt-Id", request.request_id)
        not_run = ("X-Laburnumpin-Not-Executed", "1")
        await connection.answer(503, [echo, not_run], b"")
        return True


def event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


@dataclasses.dataclass(slots=True)
class Answer:
    """What a requester got.

    `end` is `complete`, `closed` (the connection ended normally inside the
    answer or before it), `reset` or `timeout`. An answer without length that
    ends with its connection is `complete` unless that is reset.
    """

    status: int = 0
    headers: Headers = dataclasses.field(default_factory=dict)
    body: bytes = b""
    end: str = ""

    @property
    def event_ids(self) -> list[int]:
        """Return the ids of the events, in their order."""
        ids = []
        for line in self.body.split(b"\n"):
            if line.startswith(b"id: "):
                ids.append(int(line[4:]))
        return ids


async def request(
    address: str,
    target: str,
    headers: list[tuple[str, str]],
    *,
    method: str = "POST",
    body: bytes = b"",
    timeout_s: float = 20.0,
    on_data: Callable[[bytes], None] | None = None,
) -> Answer:
    """Send a request on a new connection; return what came back."""
    host, _, port = address.rpartition(":")
    answer = Answer()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            length = ("Content-Length", str(len(body)))
            first = f"{method} {target} HTTP/1.1"
            writer.write(head_bytes(first, [*headers, length]) + body)
            await writer.drain()
            await _read_answer(reader, answer, on_data)
    except TimeoutError:
        answer.end = "timeout"
    except asyncio.IncompleteReadError:
        answer.end = "closed"
    except OSError:
        answer.end = "reset"
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(
    reader: asyncio.StreamReader,
    answer: Answer,
    on_data: Callable[[bytes], None] | None,
) -> None:
    first = (await reader.readuntil(b"\r\n")).decode("latin-1")
    answer.status = int(first.split(" ")[1])
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    for line in lines.split("\r\n"):
        name, separator, value = line.partition(":")
        if separator:
            answer.headers[name.strip().lower()] = value.strip()

    def add(data: bytes) -> None:
        answer.body += data
        if on_data is not None:
            on_data(data)

    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            add(data[:-2])
    elif "content-length" in answer.headers:
        left = int(answer.headers["content-length"])
        while left:
            data = await reader.read(left)
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
            add(data)
    else:
        while data := await reader.read(65_536):
            add(data)
    answer.end = "complete"


class Entry:
    """A process of the deploy file's command."""

    def __init__(
        self, name: str, zone: str, store: str, folder: pathlib.Path
    ) -> None:
        self.name = name
        self._zone = zone
        self.address = f"{HOST}:{free_port()}"
        self.readiness = f"{HOST}:{free_port()}"
        self._control = f"{HOST}:{free_port()}"
        self._peer_port = free_port()
        self._store = store
        self._folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / f"{name}.log"

    def start(self) -> None:
        """Start the process."""
        settings = self._folder / f"{self.name}.toml"
        settings.write_text(self._settings_text(), encoding="utf-8")
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        command = deploy["roles"]["entry"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["LABURNUMPIN_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = "target/deps"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the readiness probe is answered with 200."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            answer = await request(
                self.readiness, "/readyz", [("Host", "p")], method="GET"
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} did not become ready")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        """End the process, whatever it does."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def _settings_text(self) -> str:
        return f"""
node_name = "{self.name}"
role = "entry"
machine_class = "edge"
serves = ["edge", "control"]
ip = "{HOST}"
zone = "{self._zone}"
region = "r"
internal_ports = [{self._peer_port}, {self._peer_port}]
seeds = []
bootstrap = false
heartbeat_ms = 1200
[zones]
a = "r"
b = "r"
c = "r"
[listen]
frontend = "{self.address}"
readiness = "{self.readiness}"
control_plane = "{self._control}"
[limits]
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 52
quota_window_s = 8
quota_overage = 0.1
quota_slack = 140000
fencing_enforced = true
lease_ms = 3000
usage_window_s = 5
usage_late_s = 10
[platform]
address = "{self._store}"
writes_per_s = 400
reads_per_s = 2000
[cloud_api]
address = "{self._store}"
duties = ["usage_report"]
"""


class Rig:
    """What a case works with."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self._folder = folder
        self.record = record
        self.store = Store(record)
        self.entries: list[Entry] = []
        self._started = 0

    async def start_entries(
        self, count: int, store_address: str | None = None
    ) -> list[Entry]:
        """Start entries, in the zones in turn, and wait until all are ready."""
        address = store_address or self.store.address
        for _ in range(count):
            zone = ZONES[self._started % len(ZONES)]
            self._started += 1
            name = f"entry-{self._started:02}"
            entry = Entry(name, zone, address, self._folder)
            entry.start()
            self.entries.append(entry)
        for entry in self.entries:
            await entry.wait_until_ready()
            self.record.write("entry_ready", entry=entry.name)
        return self.entries

    async def ask(
        self, entry: Entry, target: str, request_id: str, **options: Any
    ) -> Answer:
        """Send a request of the case's tenant, and record its answer."""
        deadline_ms = int(options.get("timeout_s", 20.0) * 1_000)
        headers = [
            ("Host", "h.example"),
            ("X-Laburnumpin-Attempt-Id", request_id),
            ("X-Laburnumpin-Deadline-Ms", str(deadline_ms)),
            ("X-Laburnumpin-Credential", options.pop("key", "key-1")),
        ]
        if options.pop("is_prompt", False):
            part = f"{zlib.crc32(request_id.encode()):x}"
            headers += [
                ("X-Laburnumpin-Model", "m"),
                ("X-Laburnumpin-Token-Count", "1000,1000"),
                ("X-Laburnumpin-Prompt-Prefix", f"a1:500,{part}:500"),
            ]
        self.record.write(
            "sent", id=request_id, entry=entry.name, target=target
        )
        answer = await request(entry.address, target, headers, **options)
        ids = answer.event_ids
        self.record.write(
            "answered",
            id=request_id,
            status=answer.status,
            end=answer.end,
            bytes=len(answer.body),
            first_event=ids[0] if ids else None,
            last_event=ids[-1] if ids else None,
        )
        return answer

    def stop(self) -> None:
        """End all processes."""
        for entry in self.entries:
            entry.stop()


def route(
    name: str, kind: str, service: str, **fields: object
) -> dict[str, Any]:
    """Return a route of a configuration, at the path `/NAME/`."""
    return {
        "name": name,
        "host": "h.example",
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 15_000,
        "target_latency_ms": 1_000,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "anonymous": False,
        **fields,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    keys: tuple[str, ...] = ("key-1",),
) -> dict[str, Any]:
    """Return a configuration with the services `engines` and `desk`."""
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 774_511,
        "kv_token_bytes": 163_840,
        "link_mbps": 740_000.0,
        "moves": True,
        "kv_handle_s": 5.0,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "engines",
                "health_path": "/healthz",
                "max_connections": 360,
                "engine": engine,
            },
            {"name": "desk", "health_path": "/healthz", "max_connections": 96},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {
                "name": "acme",
                "api_keys": list(keys),
                "priority": 1,
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 0,
                "burst": 0,
            }
        ],
    }


def main(case: Callable[[Rig], Awaitable[bool]], folder: pathlib.Path) -> None:
    """Run a case and exit: 0 the rule held, 1 it was broken, 2 not run.

    `case` returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            result = asyncio.run(_run(case, record, pathlib.Path(temporary)))
        except Exception as error:
            record.write("not_run", reason=repr(error))
            result = NOT_RUN
    record.write("result", exit=result)
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result])
    sys.exit(result)


async def _run(
    case: Callable[[Rig], Awaitable[bool]],
    record: Record,
    folder: pathlib.Path,
) -> int:
    rig = Rig(folder, record)
    await rig.store.start()
    try:
        async with asyncio.timeout(SCRIPT_LIMIT_S):
            held = await case(rig)
    finally:
        rig.stop()
        logs = os.environ.get("REVIEW_LOGS")
        if logs:
            for entry in rig.entries:
                target = pathlib.Path(logs) / entry.log_path.name
                target.write_bytes(entry.log_path.read_bytes())
    return HELD if held else BROKEN
