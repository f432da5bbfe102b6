"""Crowds of callers that send much or hardly at all, before one entry.

The entry is a real process; the store and its upstream are stand-ins on
loopback. The crowd and the bounds are fixed here.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import subprocess
import sys

import anyio
from anyio import abc

from laburnumpin import clock
from laburnumpin.platform import settings
from laburnumpin.platform import standins
from laburnumpin.soak import calls
from laburnumpin.soak import processes

BYTES_PER_MB = 1_000_000
# The VM of the tests. Its memory bounds that of the process, and its
# descriptors bound those of the process.
MEMORY_MB = 64
MAX_DESCRIPTORS = 256
MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_384
CALLERS = 400
# A caller whose connection was closed connects again after this time.
RECONNECT_S = 0.5
# Longest wait for all callers of a crowd to have sent what they send.
SETTLE_S = 5.0
SAMPLE_S = 0.02
# Only a process that hangs takes so long to answer.
ANSWER_TIMEOUT_S = 60.0
BLOCK = b"x" * 65_536

# Sends what one caller sends, given its connection and its number.
Script = Callable[[abc.SocketStream, int], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Seen:
    """What was measured of an entry while a crowd called it.

    `answered` is whether an ordinary request got its answer while the crowd
    was there, `answered_after` whether one did afterwards.
    """

    exit_status: int | None = None
    peak_memory_mb: float = 0.0
    descriptors: int = 0
    answered: bool = False
    answered_after: bool = False


def head(
    *lines: str, path: str = "/reads/x", key: str = "key-1", number: int = 0
) -> bytes:
    """Return the head of a request with further header lines."""
    host, request_id, _, credential = standins.request_headers(
        f"crowd{number}", is_stream=False, key=key, deadline_ms=0
    )
    rows = [f"POST {path} HTTP/1.1"]
    for name, value in (host, request_id, credential):
        rows.append(f"{name.decode()}: {value.decode()}")
    rows.extend(lines)
    return "\r\n".join(rows).encode() + b"\r\n\r\n"


def length_head(body_bytes: int, *lines: str, number: int = 0) -> bytes:
    """Return the head of a request whose body has a length."""
    return head(f"Content-Length: {body_bytes}", *lines, number=number)


def chunked_head(*lines: str, number: int = 0) -> bytes:
    """Return the head of a request whose body comes in chunks."""
    return head("Transfer-Encoding: chunked", *lines, number=number)


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Entry:
    """An entry process with its store and its upstream."""

    def __init__(
        self, directory: pathlib.Path, memory_mb: int, max_descriptors: int
    ) -> None:
        self._directory = directory
        self._memory_mb = memory_mb
        self._max_descriptors = max_descriptors
        self._process: subprocess.Popen[bytes] | None = None
        self.address = ""
        self.readiness_address = ""
        self.seen = Seen()

    async def start(self, task_group: abc.TaskGroup) -> None:
        """Start the stand-ins and the process; wait until it serves."""
        store = standins.Store(random.Random(1))
        store_address = await task_group.start(standins.serve, store.handle)
        limits = {
            "max_body_bytes": MAX_BODY_BYTES,
            "max_header_bytes": MAX_HEADER_BYTES,
        }
        store.configure(1, "v1", limits)
        runner = standins.Runner(
            "desk-1", "desk", [], clock.SystemClock().now_ms, random.Random(1)
        )
        store.register(
            runner, await task_group.start(standins.serve, runner.handle)
        )
        ports = processes.free_ports()
        self.address = f"127.0.0.1:{ports[0]}"
        self.readiness_address = f"127.0.0.1:{ports[1]}"
        path = self._directory / "entry.toml"
        path.write_text(
            standins.settings_text("entry", "127.0.0.1", ports, store_address)
            + f"[limits]\nmemory_mb = {self._memory_mb}\n"
            + f"max_fds = {self._max_descriptors}\n"
        )
        with (self._directory / "entry.log").open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "laburnumpin.platform"],
                stdout=log,
                stderr=log,
                env={**os.environ, settings.PATH_VARIABLE: str(path)},
            )
        assert await self.answers(), "the entry did not start"

    async def answers(self) -> bool:
        """Return whether an ordinary request is answered."""
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            while not self.has_ended():
                answer = await calls.call(
                    self.address, "/reads/ordinary", "ordinary", "key-1"
                )
                if answer.status == 200 and answer.complete:
                    return True
                await anyio.sleep(0.2)
        return False

    async def sample(self) -> None:
        """Record memory and descriptors until cancelled."""
        while not self.has_ended():
            self.measure()
            await anyio.sleep(SAMPLE_S)

    def measure(self) -> None:
        """Record the memory and the descriptors of the process."""
        assert self._process is not None
        proc = pathlib.Path(f"/proc/{self._process.pid}")
        with contextlib.suppress(OSError):
            for line in (proc / "status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    peak_mb = int(line.split()[1]) * 1_024 / BYTES_PER_MB
                    self.seen.peak_memory_mb = peak_mb
            descriptors = len(os.listdir(proc / "fd"))
            self.seen.descriptors = max(self.seen.descriptors, descriptors)

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        assert self._process is not None
        self.seen.exit_status = self._process.poll()
        return self.seen.exit_status is not None

    def terminate(self) -> None:
        """Ask the process to drain and to exit."""
        assert self._process is not None
        self._process.send_signal(signal.SIGTERM)

    async def wait_for_exit(self) -> None:
        """Wait until the process has ended, or seems to hang."""
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            while not self.has_ended():
                await anyio.sleep(SAMPLE_S)

    def kill(self) -> None:
        """Kill the process."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


async def call_alone(directory: pathlib.Path, text: bytes) -> bytes:
    """Return the status line of one request to an entry without a crowd."""
    entry = Entry(directory, MEMORY_MB, MAX_DESCRIPTORS)
    try:
        async with anyio.create_task_group() as task_group:
            await entry.start(task_group)
            host, _, port = entry.address.rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(text)
                received = b""
                with anyio.fail_after(ANSWER_TIMEOUT_S):
                    while b"\r\n" not in received:
                        received += await stream.receive()
            task_group.cancel_scope.cancel()
    finally:
        entry.kill()
    return received.partition(b"\r\n")[0]


class Crowd:
    """Callers that send what their script says and stay open.

    A caller that was closed comes again. `settled` is set when each has sent
    all or was closed.
    """

    def __init__(self, address: str, script: Script, callers: int) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._script = script
        self._unsettled = callers
        self._callers = callers
        self.settled = anyio.Event()
        self.reads_answers = True

    async def run(self) -> None:
        """Call until cancelled."""
        async with anyio.create_task_group() as task_group:
            for number in range(self._callers):
                task_group.start_soon(self._call_again, number)

    async def _call_again(self, number: int) -> None:
        is_settled = False
        while True:
            with contextlib.suppress(
                OSError, anyio.BrokenResourceError, anyio.EndOfStream
            ):
                await self._call(number, is_settled)
            if not is_settled:
                self._settle()
                is_settled = True
            await anyio.sleep(RECONNECT_S)

    def _settle(self) -> None:
        self._unsettled -= 1
        if not self._unsettled:
            self.settled.set()

    async def _call(self, number: int, is_settled: bool) -> None:
        stream = await anyio.connect_tcp(self._host, self._port)
        async with stream:
            await self._script(stream, number)
            if not is_settled:
                self._settle()
            while self.reads_answers:
                await stream.receive()
            await anyio.sleep_forever()


async def meet(
    directory: pathlib.Path,
    script: Script,
    *,
    callers: int = CALLERS,
    memory_mb: int = MEMORY_MB,
    max_descriptors: int = MAX_DESCRIPTORS,
    reads_answers: bool = True,
    drains: bool = False,
) -> Seen:
    """Let a crowd call an entry; return what was measured of the entry.

    With `drains` the entry is told to exit while the crowd is there.
    """
    entry = Entry(directory, memory_mb, max_descriptors)
    try:
        async with anyio.create_task_group() as task_group:
            await entry.start(task_group)
            task_group.start_soon(entry.sample)
            async with anyio.create_task_group() as crowd_tasks:
                crowd = Crowd(entry.address, script, callers)
                crowd.reads_answers = reads_answers
                crowd_tasks.start_soon(crowd.run)
                with anyio.move_on_after(SETTLE_S):
                    await crowd.settled.wait()
                if drains:
                    entry.terminate()
                    await entry.wait_for_exit()
                else:
                    entry.seen.answered = await entry.answers()
                crowd_tasks.cancel_scope.cancel()
            if not drains:
                entry.seen.answered_after = await entry.answers()
            entry.measure()
            entry.has_ended()
            task_group.cancel_scope.cancel()
    finally:
        entry.kill()
    return entry.seen
