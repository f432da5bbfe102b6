"""Runs entries and stand-ins as processes on loopback for failure tests.

Every process is started with port 0 and prints its addresses as a line of
JSON on standard output. All processes are killed by process id when the
context ends, also after an exception.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import functools
import json
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any
from typing import TypeVar

import anyio
from anyio import abc
from anyio.streams import buffered
import httpx

from laburnumpin import operator
from laburnumpin.core import events
from laburnumpin.server import sse
from laburnumpin.standins import text as standin_text
from laburnumpin.tests import scenarios

T = TypeVar("T")
# Timeout of every wait. It is far above the duration of any wait, so that a
# slow machine does not exceed it.
WAIT_TIMEOUT_S = 90
POLL_INTERVAL_S = 0.02
LOG_TAIL_BYTES = 4_000
MODEL = "m"
ZONES = ("recife", "caruaru", "petrolina")
CUSTOMER_KEY = "key-of-the-customer-acme"
OPERATOR_KEY = "key-of-the-operators"
PLATFORM_TOKEN = "token-of-the-platform"
CUSTOMER_HEADERS = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
STREAM_HEADERS = {**CUSTOMER_HEADERS, "Accept": "text/event-stream"}
OPERATOR_HEADERS = {"Authorization": f"Bearer {OPERATOR_KEY}"}
PLATFORM_HEADERS = {"Authorization": f"Bearer {PLATFORM_TOKEN}"}


@dataclasses.dataclass(slots=True)
class Process:
    """A started process.

    Attributes:
      process: Handle of the operating system process.
      ready: The document that the process printed once it was ready.
      log: Path of the file with its standard error.
    """

    process: abc.Process
    ready: dict[str, Any]
    log: pathlib.Path

    @property
    def url(self) -> str:
        """Return the base URL of the main port or the caller API."""
        name = "caller_address" if "vm_id" in self.ready else "address"
        return f"http://{self.ready[name]}"

    @property
    def admin_url(self) -> str:
        """Return the base URL of the admin port or the operator API."""
        name = "operator_address" if "vm_id" in self.ready else "admin_address"
        return f"http://{self.ready[name]}"

    def pause(self) -> None:
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        self.process.send_signal(signal.SIGKILL)

    async def exit_code(self) -> int:
        with anyio.fail_after(WAIT_TIMEOUT_S):
            return await self.process.wait()


@dataclasses.dataclass(slots=True)
class ReceivedStream:
    """The output stream of a request as its caller received it.

    Attributes:
      request_id: Id from the response header.
      text: Text of all chunks so far.
      offsets: Offset after each chunk, in tokens.
      end: Document of the end event, if it has arrived.
      error: Error of the refused or failed request, if any.
    """

    request_id: str = ""
    text: str = ""
    offsets: list[int] = dataclasses.field(default_factory=list)
    end: dict[str, Any] | None = None
    error: dict[str, Any] | None = None

    def check_complete(self, prompt: str, tokens: int) -> None:
        """Check that the output is complete and belongs to the prompt."""
        assert self.error is None, self.error
        assert self.text == standin_text.expected_text(prompt, 0, tokens)
        assert self.end == {"total_offset": tokens}
        assert self.offsets == sorted(set(self.offsets))

    def add(self, event: sse.SseEvent) -> None:
        """Add an event and check that its offset matches the text so far."""
        document = json.loads(event.data)
        if event.name == "end":
            self.end = document
        elif event.name == "error":
            self.error = document["error"]
        else:
            self.text += document["text"]
            offset = int(event.event_id)
            width = standin_text.TOKEN_CHARACTERS
            assert len(self.text) == offset * width
            self.offsets.append(offset)


class Processes:
    """Starts the processes of one test and sends requests to them."""

    def __init__(self, directory: pathlib.Path, http: httpx.AsyncClient):
        self.http = http
        self.started: list[Process] = []
        self._directory = directory
        self._platform: Process | None = None
        self._start_count = 0

    @property
    def platform(self) -> Process:
        assert self._platform is not None
        return self._platform

    async def start_platform(self, vm_list_lag_ms: int = 0) -> Process:
        self._platform = await self._start(
            "stand-in",
            "platform",
            "--vm-list-lag-ms",
            str(vm_list_lag_ms),
            environment={"LABURNUMPIN_PLATFORM_TOKEN": PLATFORM_TOKEN},
        )
        return self._platform

    async def start_engine(
        self, name: str, zone: str, *flags: str, model: str = MODEL
    ) -> Process:
        """Start an engine and register it as a VM."""
        started = await self._start(
            "stand-in", "engine", "--model", model, *flags
        )
        await self.register_upstream(
            name, zone, "molde", started.ready, started.ready["address"]
        )
        return started

    async def start_service(
        self, name: str, zone: str, *flags: str, registered: bool = True
    ) -> Process:
        """Start a plain service; register it as a VM if `registered`."""
        started = await self._start("stand-in", "plain", *flags)
        if registered:
            await self.register_upstream(
                name, zone, "balcao", started.ready, started.ready["address"]
            )
        return started

    async def start_entry(
        self,
        number: int,
        *,
        seeds: tuple[Process, ...] = (),
        platform_url: str = "",
        environment: dict[str, str] | None = None,
        registered: bool = True,
    ) -> Process:
        """Start an entry; register it as a VM if `registered`."""
        vm_id, zone = f"entry-{number}", ZONES[number % len(ZONES)]
        started = await self._start(
            "entry",
            "run",
            environment={
                "LABURNUMPIN_VM_ID": vm_id,
                "LABURNUMPIN_ZONE": zone,
                "LABURNUMPIN_PLATFORM_URL": platform_url or self.platform.url,
                "LABURNUMPIN_PLATFORM_TOKEN": PLATFORM_TOKEN,
                "LABURNUMPIN_OPERATOR_KEY": OPERATOR_KEY,
                "LABURNUMPIN_PEER_SECRET": "secret-of-the-entries",
                "LABURNUMPIN_CALLER_PORT": "0",
                "LABURNUMPIN_OPERATOR_PORT": "0",
                "LABURNUMPIN_PEER_PORT": "0",
                "LABURNUMPIN_SEED_PEERS": ",".join(
                    seed.ready["peer_address"] for seed in seeds
                ),
                **(environment or {}),
            },
        )
        if registered:
            await self.register_vm(
                events.VmRow(
                    vm_id,
                    started.ready["incarnation"],
                    events.VmRole.ENTRY,
                    zone,
                    "small",
                    True,
                    False,
                    peer_address=started.ready["peer_address"],
                )
            )
        return started

    async def start_entries(
        self, count: int, **options: Any
    ) -> tuple[Process, ...]:
        """Start entries that use the first of them as their seed peer."""
        first = await self.start_entry(0, **options)
        starts = [
            functools.partial(
                self.start_entry, number, seeds=(first,), **options
            )
            for number in range(1, count)
        ]
        return first, *await gather(*starts)

    async def start_engines(self, count: int, *flags: str) -> list[Process]:
        """Start engines, each in a different zone."""
        starts = [
            functools.partial(
                self.start_engine, f"engine-{number}", ZONES[number], *flags
            )
            for number in range(count)
        ]
        return await gather(*starts)

    async def start_services(self, count: int, *flags: str) -> list[Process]:
        """Start plain services, each in a different zone."""
        starts = [
            functools.partial(
                self.start_service, f"service-{number}", ZONES[number], *flags
            )
            for number in range(count)
        ]
        return await gather(*starts)

    async def run_command(
        self, *arguments: str, url: str = ""
    ) -> subprocess.CompletedProcess[bytes]:
        """Run a Python command line and return its exit code and output."""
        environment = {
            **_environment(),
            "LABURNUMPIN_OPERATOR_KEY": OPERATOR_KEY,
        }
        if url:
            environment["LABURNUMPIN_URL"] = url
        with anyio.fail_after(WAIT_TIMEOUT_S):
            return await anyio.run_process(
                [sys.executable, *arguments], env=environment, check=False
            )

    async def register_upstream(
        self,
        name: str,
        zone: str,
        service: str,
        ready: dict[str, Any],
        address: str,
    ) -> None:
        """Register an upstream as a VM of the platform."""
        await self.register_vm(
            events.VmRow(
                name,
                ready["incarnation"],
                events.VmRole.UPSTREAM,
                zone,
                "small",
                True,
                False,
                service,
                address,
            )
        )

    async def register_vm(self, row: events.VmRow) -> None:
        fields = {**dataclasses.asdict(row), "role": row.role.value}
        await self.post(self.platform, "/admin/vms", {"vms": [fields]})

    async def give_notice(self, vm_id: str, remaining_ms: int) -> None:
        notice = {"vm_id": vm_id, "remaining_ms": remaining_ms}
        await self.post(self.platform, "/admin/notices", notice)

    async def set_faults(self, standin: Process, **changes: Any) -> None:
        await self.post(standin, "/admin/faults", changes)

    async def post(
        self, process: Process, path: str, body: Any
    ) -> dict[str, Any]:
        response = await self.http.post(
            process.admin_url + path, json=body, headers=OPERATOR_HEADERS
        )
        assert response.status_code < 300, response.text
        answer: dict[str, Any] = response.json()
        return answer

    async def get(self, process: Process, path: str) -> dict[str, Any]:
        response = await self.http.get(
            process.admin_url + path, headers=OPERATOR_HEADERS
        )
        assert response.status_code == 200, response.text
        answer: dict[str, Any] = response.json()
        return answer

    async def status(self, entry: Process) -> dict[str, Any]:
        return await self.get(entry, "/operator/status")

    async def counter(self, entry: Process, name: str, label: str) -> int:
        """Return the value of a counter of an entry."""
        for row in (await self.status(entry))["counters"]:
            if (row["name"], row["label"]) == (name, label):
                return int(row["value"])
        return 0

    async def logged_requests(
        self, standin: Process, path: str
    ) -> list[dict[str, Any]]:
        """Return the requests for a path from the log of a stand-in."""
        log = await self.get(standin, "/admin/log")
        return [row for row in log["entries"] if row["path"] == path]

    async def executions(self, service: Process) -> dict[str, Any]:
        return await self.get(service, "/admin/executions")

    async def read_row(self, table: str, key: str) -> dict[str, Any]:
        response = await self.http.get(
            f"{self.platform.url}/tables/{table}/{key}",
            headers=PLATFORM_HEADERS,
        )
        assert response.status_code == 200, response.text
        row: dict[str, Any] = response.json()
        return row

    async def apply(
        self, entry: Process, document: str, base_version: int = 0
    ) -> int:
        """Apply a configuration through the operator API."""
        answer = await self.post(
            entry,
            "/operator/configuration",
            {
                "base_version": base_version,
                "change_id": f"change-{base_version + 1}",
                "document": document,
            },
        )
        return int(answer["version"])

    async def is_ready(self, entry: Process) -> bool:
        response = await self.http.get(entry.url + "/readyz")
        return response.status_code == 200

    async def wait_ready(self, *entries: Process) -> None:
        for entry in entries:
            await wait_for(functools.partial(self.is_ready, entry))

    async def wait_upstreams(self, count: int, *entries: Process) -> None:
        """Wait until each entry has load reports of `count` upstreams."""

        async def has_load_reports(entry: Process) -> bool:
            reported = 0
            for row in (await self.status(entry))["upstreams"]:
                reported += row["report_age_ms"] is not None
            return reported >= count

        for entry in entries:
            await wait_for(functools.partial(has_load_reports, entry))

    async def call(
        self,
        entry: Process,
        operation: str,
        body: Any,
        key: str = "",
        deadline_ms: int = 0,
    ) -> httpx.Response:
        """Call an operation of the plain service."""
        headers = dict(CUSTOMER_HEADERS)
        if key:
            headers["Idempotency-Key"] = key
        if deadline_ms:
            headers["X-Deadline-Ms"] = str(deadline_ms)
        return await self.http.post(
            f"{entry.url}/v1/services/balcao/{operation}",
            json=body,
            headers=headers,
        )

    async def read_stream(
        self,
        entry: Process,
        prompt: str,
        tokens: int,
        received: ReceivedStream | None = None,
    ) -> ReceivedStream:
        """Read a stream to its end, adding each event to `received`."""
        received = received or ReceivedStream()
        decoder = sse.Decoder()
        async with self.http.stream(
            "POST",
            f"{entry.url}/v1/services/molde/draft",
            json={"prompt": prompt, "max_tokens": tokens},
            headers=STREAM_HEADERS,
        ) as response:
            if response.status_code != 200:
                document = json.loads(await response.aread())
                received.error = document["error"]
                return received
            received.request_id = response.headers["X-Request-Id"]
            async for data in response.aiter_bytes():
                for event in decoder.feed(data):
                    received.add(event)
        return received

    async def resume_stream(
        self, entry: Process, received: ReceivedStream
    ) -> None:
        """Resume an interrupted stream from its last offset.

        An entry that has not found the owner yet refuses with `Retry-After`;
        `received` is then unchanged.
        """
        offset = received.offsets[-1] if received.offsets else 0
        decoder = sse.Decoder()
        async with self.http.stream(
            "GET",
            f"{entry.url}/v1/requests/{received.request_id}/output",
            headers={**STREAM_HEADERS, "Last-Event-ID": str(offset)},
        ) as response:
            if response.status_code != 200:
                text = (await response.aread()).decode()
                assert "Retry-After" in response.headers, text
                return
            async for data in response.aiter_bytes():
                for event in decoder.feed(data):
                    received.add(event)

    async def close(self) -> None:
        """Kill the processes that still run, by process id."""
        with anyio.CancelScope(shield=True):
            for started in self.started:
                if started.process.returncode is None:
                    started.kill()
                await started.process.wait()

    def logs(self) -> str:
        """Return the end of every log for the report of a failed test."""
        parts = []
        for started in self.started:
            tail = started.log.read_bytes()[-LOG_TAIL_BYTES:]
            parts.append(f"--- {started.log.name} {started.ready}")
            parts.append(tail.decode(errors="replace"))
        return "\n".join(parts)

    async def _start(
        self, *arguments: str, environment: dict[str, str] | None = None
    ) -> Process:
        self._start_count += 1
        assert self._start_count <= scenarios.MAX_PROCESSES
        log = self._directory / f"{self._start_count:02d}-{arguments[1]}.log"
        with log.open("wb") as stderr_file:
            process = await anyio.open_process(
                [sys.executable, "-m", "laburnumpin", *arguments],
                env={**_environment(), **(environment or {})},
                stdin=subprocess.DEVNULL,
                stderr=stderr_file,
            )
        started = Process(process, {}, log)
        self.started.append(started)
        assert process.stdout is not None
        lines = buffered.BufferedByteReceiveStream(process.stdout)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            line = await lines.receive_until(b"\n", 100_000)
        started.ready = json.loads(line)
        return started


class TcpProxy:
    """Forwards TCP connections to a target address.

    After `stop_accepting`, a connection stays in the handshake once the short
    accept queue is full.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self._target = target
        self._accepting = anyio.Event()
        self._accepting.set()
        self._streams: set[abc.ByteStream] = set()

    def stop_accepting(self) -> None:
        """Accept no more connections."""
        self._accepting = anyio.Event()

    def resume_accepting(self) -> None:
        """Accept connections again."""
        self._accepting.set()

    async def disconnect(self) -> None:
        """Close all connections, and later ones once they are accepted."""
        self._target = ""
        for stream in list(self._streams):
            await stream.aclose()

    async def run(
        self, *, task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward connections until cancelled."""
        # With a backlog of 0 the kernel queues one connection.
        multi = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=0, backlog=0
        )
        (listener,) = multi.listeners
        port = listener.extra(abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        async with listener, anyio.create_task_group() as tasks:
            while True:
                await self._accepting.wait()
                stream = await listener.accept()  # type: ignore[attr-defined]
                await self._accepting.wait()
                tasks.start_soon(self._forward_connection, stream)

    async def _forward_connection(self, client: abc.SocketStream) -> None:
        if not self._target:
            await client.aclose()
            return
        host, _, port = self._target.rpartition(":")
        server = await anyio.connect_tcp(host, int(port))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._copy, client, server)
            tasks.start_soon(self._copy, server, client)

    async def _copy(
        self, source: abc.SocketStream, destination: abc.SocketStream
    ) -> None:
        self._streams.add(source)
        try:
            async for data in source:
                await destination.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass  # One connection was closed; both are closed below.
        finally:
            self._streams.discard(source)
            with anyio.CancelScope(shield=True):
                await source.aclose()
                await destination.aclose()


@contextlib.asynccontextmanager
async def run_proxy(target: str) -> AsyncIterator[TcpProxy]:
    """Run a TCP proxy to `host:port` until the context ends."""
    proxy = TcpProxy(target)
    async with anyio.create_task_group() as tasks:
        await tasks.start(proxy.run)
        yield proxy
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def run(directory: pathlib.Path) -> AsyncIterator[Processes]:
    """Provide the processes of a test, with their logs in `directory`."""
    limits = httpx.Limits(max_connections=None, keepalive_expiry=1.0)
    async with httpx.AsyncClient(
        timeout=WAIT_TIMEOUT_S, trust_env=False, limits=limits
    ) as http:
        processes = Processes(directory, http)
        try:
            yield processes
        except Exception as error:
            error.add_note(processes.logs())
            raise
        finally:
            await processes.close()


async def gather(*calls: Callable[[], Awaitable[T]]) -> list[T]:
    """Run calls concurrently and return their results in order."""
    results: dict[int, T] = {}

    async def run_one(number: int, call: Callable[[], Awaitable[T]]) -> None:
        results[number] = await call()

    async with anyio.create_task_group() as tasks:
        for number, call in enumerate(calls):
            tasks.start_soon(run_one, number, call)
    return [results[number] for number in range(len(calls))]


async def wait_for(condition: Callable[[], Awaitable[bool]]) -> None:
    """Poll a condition until it holds."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while not await condition():
            await anyio.sleep(POLL_INTERVAL_S)


async def wait_tokens(received: ReceivedStream, count: int) -> None:
    """Wait until a stream has delivered `count` tokens."""

    async def is_reached() -> bool:
        assert received.error is None, received.error
        return bool(received.offsets) and received.offsets[-1] >= count

    await wait_for(is_reached)


def make_configuration_document(entry_count: int = 3) -> str:
    """Return a configuration document with a model and a plain service."""
    deployment = operator.Deployment("test", entry_count=entry_count)
    for zone in ZONES:
        deployment.add_zone(zone, data_center=zone, region="pernambuco")
    deployment.add_model_service(
        "molde", model=MODEL, operations=(operator.Operation("draft"),)
    )
    deployment.add_plain_service(
        "balcao",
        operations=(
            operator.Operation("place", idempotent=False),
            operator.Operation("read"),
        ),
    )
    for service in ("molde", "balcao"):
        deployment.add_placement(
            service=service,
            zone=ZONES[0],
            vm_class="small",
            reclaimable=True,
            min_vms=0,
            max_vms=1,
            price_per_hour=1.0,
            slots=8,
        )
    deployment.add_customer("acme", keys=(CUSTOMER_KEY,))
    return deployment.document()


def _environment() -> dict[str, str]:
    """Return the environment without the settings of Laburnumpin."""
    return {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("LABURNUMPIN_")
    }
