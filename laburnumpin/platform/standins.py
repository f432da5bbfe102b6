"""In-memory servers of the platform's store, cloud API and runners, for tests.

They serve the platform's HTTP API on loopback and record the calls that they
receive. Entries do not import this module.
"""

from __future__ import annotations

import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import random
from typing import Any
import urllib.parse

import anyio
from anyio import abc
import h11

from laburnumpin.forwarding import byte_stream
from laburnumpin.forwarding import caller as callers
from laburnumpin.platform import wire

IDLE_TIMEOUT_MS = 60_000
SEAL_HEADER = b"X-Laburnumpin-Response-Seal"
# Key, rate and burst of the customer with a quota, which counts requests.
LIMITED_KEY = "key-2"
LIMITED_RATE_PER_S = 20
LIMITED_BURST = 20
# Share of the resumed streams that begin with an event that was sent before.
REPEATED_EVENT_SHARE = 0.3
# Part of a prompt that ends the runner that begins to answer it, and the time
# from there to the end.
CRASHING_PART = b"bad"
CRASH_S = 0.03
# Pause between two events of a stream.
EVENT_PAUSE_S = 0.01
# Limits of roll-outs.
EXPOSURE_SHARE = 0.3
EXPOSURE_SLACK = 40
# Beginnings of answers without end, and what follows them again and again.
_ENDLESS_CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_ANSWERS = (
    (b"HTTP/1.1 200 O", b"K" * 60_000),
    (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n" * 5_000),
    (
        b"HTTP/1.1 500 Failed\r\n" + _ENDLESS_CHUNKS,
        b"ea60\r\n" + b"x" * 60_000 + b"\r\n",
    ),
    (b"HTTP/1.1 500 Failed\r\n" + _ENDLESS_CHUNKS, b"1\r\nx\r\n" * 5_000),
)
MAX_ENDLESS_BLOCKS = 1_000
# Values that another writer may leave among the registrations.
ODD_REGISTRATIONS = (
    b"[" * 100_000,
    b'{"state": "ready", "slots": ' + b"[" * 50_000 + b"]" * 50_000 + b"}",
    b'{"cold_remaining_ms": 1' + b"0" * 400 + b"}",
    b'{"state": "ready", "service": "engines", "zone": "a", "slots": 64, '
    b'"address": "127.0.0.1:99999"}',
    b'{"state": "ready", "service": "engines", "zone": "a", "slots": -5, '
    b'"address": "127.0.0.1:9"}',
    b'{"state": "ready", "service": "engines", "zone": "a", "slots": 64, '
    b'"address": "127.0.0.1:9", "born": 1' + b"0" * 400 + b"}",
    b"\xff\x00",
)
HEALTH_PATH = "/healthz"
# Statuses of requests that were executed and failed. All but 500 would promise
# a caller that its request has not run.
FAILURE_STATUSES = (500, 503, 429, 408)
# Share of the answers without length that end early.
OPEN_ENDED_CUT_SHARE = 0.5

Answer = tuple[int, list[tuple[bytes, bytes]], bytes]
Handler = Callable[[callers.Caller, h11.Request, bytes], Awaitable[bool]]


async def serve(handler: Handler, *, task_status: abc.TaskStatus[str]) -> None:
    """Serve a handler on a free loopback port; report its address."""

    async def handle(stream: byte_stream.ByteStream) -> None:
        caller = callers.Caller(stream, 65_536)
        try:
            await _serve_requests(caller, handler)
        except (callers.CallerDisconnectedError, h11.LocalProtocolError):
            pass  # The entry has closed the connection.
        finally:
            caller.abort()

    await byte_stream.serve("127.0.0.1:0", 256, handle, task_status=task_status)


async def _serve_requests(caller: callers.Caller, handler: Handler) -> None:
    while True:
        try:
            head = await caller.read_head(IDLE_TIMEOUT_MS, IDLE_TIMEOUT_MS)
            if head is None:
                return
            body = await caller.read_body(8_000_000, IDLE_TIMEOUT_MS)
        except callers.CallerInputError:
            return
        if not await handler(caller, head, body):
            caller.abort()
            return
        if not caller.prepare_next_request():
            return


def _next_heartbeat(value: str) -> str:
    """Return the next registration of the runner that has written a value.

    Values of other writers stay as they are.
    """
    try:
        document = json.loads(base64.b64decode(value))
        document["seq"] += 1
    except (ValueError, TypeError, KeyError, RecursionError):
        return value
    return base64.b64encode(json.dumps(document).encode()).decode()


def _json_answer(status: int, document: dict[str, Any]) -> Answer:
    body = json.dumps(document).encode()
    length = (b"Content-Length", str(len(body)).encode())
    return status, [(b"Content-Type", b"application/json"), length], body


@dataclasses.dataclass(slots=True, frozen=True)
class UsageReport:
    """A usage report that the cloud API accepted.

    `window` is the id of the reported window, `counts` the requests of each
    customer.
    """

    holder: str
    fencing_token: int
    window: int
    counts: dict[str, int]


@dataclasses.dataclass(slots=True, frozen=True)
class BadVersion:
    """How the runners of a bad version answer.

    `share` of their answers fail, or come `slow_ms` later. That begins at
    `from_ms`, and only holds for paths that begin with `path_prefix` and while
    at least `min_active` requests run.
    """

    share: float = 0.5
    slow_ms: int = 0
    from_ms: int = 0
    path_prefix: str = "/"
    min_active: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class StoreCopy:
    """The contents of a store at one moment."""

    rows: dict[tuple[str, str], tuple[str, int]]
    history: list[dict[str, Any]]
    version: int


class Store:
    """The row store and the cloud API, in memory.

    `mode` is `ok`, `busy` (answers 503), `reset` (closes the connection) or
    `silent` (closes it after 30 s). `lost_answer_share` is the share of the
    POST calls that are carried out but not answered.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        # Encoded value and version by table and key.
        self._rows: dict[tuple[str, str], tuple[str, int]] = {}
        self._history: list[dict[str, Any]] = []
        self._compacted_version = 0
        self._changed = anyio.Event()
        self.version = 0
        self.era = 1
        self.mode = "ok"
        self.lost_answer_share = 0.0
        # Of the configurations that `configure` writes.
        self.moves_streams = True
        # By table: `silent` leaves its writes undone and unanswered, `lost`
        # carries them out without an answer.
        self.write_faults: dict[str, str] = {}
        # Reported states of roll-outs, in the order of their writes.
        self.rollout_states: list[str] = []
        self.reports: list[UsageReport] = []
        self.highest_fencing_token = 0
        # Names of the entries that sent each fencing token.
        self.holders_by_token: dict[int, set[str]] = {}

    def put(self, table: str, key: str, document: dict[str, Any]) -> None:
        """Write a row without a condition, as the operator or a runner does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._write([(table, key, value)])

    def put_odd_registration(self, key: str, value: bytes) -> None:
        """Write bytes among the registrations, as another writer may."""
        encoded = base64.b64encode(value).decode()
        self._write([("servers", key, encoded)])

    def document(self, table: str, key: str) -> dict[str, Any] | None:
        """Return the JSON object in a row, None without the row."""
        if (table, key) not in self._rows:
            return None
        encoded, _ = self._rows[table, key]
        document: dict[str, Any] = json.loads(base64.b64decode(encoded))
        return document

    def remove(self, table: str, key: str) -> None:
        """Remove a row, as the operator does."""
        self._write([(table, key, None)])

    def order_rollout(self, service: str, to: str, duration_s: float) -> None:
        """Order that a service is moved to a version, as the operator does."""
        self.put(
            "op",
            f"rollout/{service}",
            {"service": service, "to": to, "duration_s": duration_s},
        )

    def rollout_state(self, service: str) -> str | None:
        """Return the state of a roll-out as it was reported, if it was."""
        document = self.document("status", f"rollout/{service}")
        return None if document is None else document["state"]

    def configure(
        self,
        version: int,
        probe_route: str,
        limits: dict[str, int] | None = None,
    ) -> None:
        """Write a configuration, as the operator does."""
        document = configuration(
            version, probe_route, moves_streams=self.moves_streams
        )
        self.put("op", "config", {**document, "limits": limits or {}})

    def register(
        self,
        runner: Runner,
        address: str,
        *,
        leaving: bool = False,
        reclaimable: bool = False,
    ) -> None:
        """Write the registration of a runner with the given address."""
        state = "draining" if leaving else "ready"
        document = runner.registration(address, state, reclaimable=reclaimable)
        self.put("servers", runner.runner_id, document)

    def write_late(self, runner_id: str, registration: dict[str, Any]) -> None:
        """Carry out a registration that a runner has sent before."""
        self.put("servers", runner_id, registration)

    def put_registration(
        self, runner_id: str, revision: int, *, leaving: bool = False
    ) -> None:
        """Write the registration of a runner of the model service.

        `revision` counts what the runner has written.
        """
        runner = Runner(
            runner_id, "engines", [], lambda: 0, random.Random(runner_id)
        )
        state = "draining" if leaving else "ready"
        document = runner.registration("10.0.0.1:80", state)
        self.put("servers", runner_id, {**document, "seq": revision})

    def unregister(self, runner_id: str) -> None:
        """Remove the registration of a runner."""
        if ("servers", runner_id) in self._rows:
            self._write([("servers", runner_id, None)])

    def compact_history(self) -> None:
        """Drop the history of changes up to the current version."""
        self._compacted_version = self.version
        self._history.clear()
        self._changed.set()
        self._changed = anyio.Event()

    def copy(self) -> StoreCopy:
        """Return a copy of the contents."""
        return StoreCopy(dict(self._rows), list(self._history), self.version)

    def restore(self, copy: StoreCopy) -> list[tuple[str, str, str | None]]:
        """Come back from an older copy; what was written since is lost.

        Return the lost values of the operator and the runners, None for a
        removed row, by table and key.
        """
        self.era += 1
        lost: list[tuple[str, str, str | None]] = []
        for table, key in {*self._rows, *copy.rows}:
            value, _ = self._rows.get((table, key), (None, 0))
            copied_value, _ = copy.rows.get((table, key), (None, 0))
            if table in ("op", "servers") and value != copied_value:
                lost.append((table, key, value))
        self._rows = dict(copy.rows)
        self._history = list(copy.history)
        self.version = copy.version
        self._compacted_version = min(self._compacted_version, copy.version)
        self._changed.set()
        self._changed = anyio.Event()
        return lost

    def write_again(
        self, lost: list[tuple[str, str, str | None]], copy: StoreCopy
    ) -> None:
        """Write lost values again, unless newer ones were written since."""
        for table, key, value in lost:
            _, version = self._rows.get((table, key), (None, 0))
            if version > copy.version:
                continue
            if table == "servers" and value is not None:
                value = _next_heartbeat(value)
            self._write([(table, key, value)])

    def _write(self, row_changes: list[tuple[str, str, str | None]]) -> None:
        self.version += 1
        for table, key, value in row_changes:
            row = {"table": table, "part": "", "key": key, "ver": self.version}
            if value is None:
                self._rows.pop((table, key), None)
                self._history.append({**row, "tombstone": True})
                continue
            self._rows[table, key] = (value, self.version)
            self._history.append({**row, "value": value})
        self._changed.set()
        self._changed = anyio.Event()

    async def handle(
        self, caller: callers.Caller, head: h11.Request, body: bytes
    ) -> bool:
        """Answer one call; False closes the connection."""
        if self.mode == "silent":
            await anyio.sleep(30.0)
            return False
        if self.mode == "reset":
            return False
        if self.mode == "busy":
            await self._answer(caller, _json_answer(503, {}))
            return True
        url = urllib.parse.urlsplit(bytes(head.target).decode())
        query = dict(urllib.parse.parse_qsl(url.query))
        fields = json.loads(body or b"{}")
        fault = self._write_fault(fields)
        if fault == "silent":
            await anyio.sleep(30.0)
            return False
        answer = await self._respond(url.path, query, fields, head)
        is_write = head.method == b"POST"
        if is_write and self._random.random() < self.lost_answer_share:
            return False
        if fault == "lost":
            return False
        await self._answer(caller, answer)
        return True

    def _write_fault(self, fields: dict[str, Any]) -> str:
        for row in fields.get("set_keys", ()):
            if row["table"] in self.write_faults:
                return self.write_faults[row["table"]]
        return ""

    async def _answer(self, caller: callers.Caller, answer: Answer) -> None:
        status, headers, body = answer
        era = (b"Store-Era", str(self.era).encode())
        await caller.answer(status, [*headers, era], body)

    async def _respond(
        self,
        path: str,
        query: dict[str, str],
        fields: dict[str, Any],
        head: h11.Request,
    ) -> Answer:
        if path == "/rows-get":
            return _json_answer(200, self._read_table(query["table"]))
        if path == "/rows-feed":
            return await self._read_changes(query)
        if path == "/rows-tx":
            return self._transact(fields)
        if path in ("/usage", "/scale"):
            return self._handle_duty(path, fields, head)
        return _json_answer(404, {})

    def _read_table(self, table: str) -> dict[str, Any]:
        rows = []
        for (name, key), (value, version) in sorted(self._rows.items()):
            if name == table:
                rows.append(
                    {
                        "table": table,
                        "part": "",
                        "key": key,
                        "value": value,
                        "ver": version,
                    }
                )
        return {"rows": rows, "truncated": False, "ver": self.version}

    async def _read_changes(self, query: dict[str, str]) -> Answer:
        after = int(query["after_revision"])
        deadline_s = anyio.current_time() + int(query["wait_ms"]) / 1_000
        while True:
            if not self._compacted_version <= after <= self.version:
                return _json_answer(410, {})
            changed_rows = [
                row
                for row in self._history
                if row["ver"] > after and row["table"] == query["table"]
            ]
            if changed_rows or anyio.current_time() >= deadline_s:
                # Rows and version are of one moment, also at the time limit.
                return _json_answer(
                    200, {"rows": changed_rows, "ver": self.version}
                )
            changed = self._changed
            with anyio.move_on_at(deadline_s):
                await changed.wait()

    def _transact(self, fields: dict[str, Any]) -> Answer:
        for row in fields["expected_revision"]:
            current = self._rows.get((row["table"], row["key"]))
            if (current[1] if current else 0) != row["ver"]:
                return _json_answer(412, {"rows": [], "ver": self.version})
        row_changes: list[tuple[str, str, str | None]] = []
        for row in fields["set_keys"]:
            if row["table"] == "status":
                document = json.loads(base64.b64decode(row["value"]))
                self.rollout_states.append(document["state"])
            row_changes.append((row["table"], row["key"], row["value"]))
        for row in fields["remove"]:
            row_changes.append((row["table"], row["key"], None))
        self._write(row_changes)
        return _json_answer(200, {"ver": self.version})

    def _handle_duty(
        self, path: str, fields: dict[str, Any], head: h11.Request
    ) -> Answer:
        headers = {n.lower(): v for n, v in head.headers}
        token = int(headers[b"x-laburnumpin-fencing-token"])
        holder = headers[b"x-laburnumpin-duty-holder"].decode()
        self.holders_by_token.setdefault(token, set()).add(holder)
        if token < self.highest_fencing_token:
            return _json_answer(409, {"error": "a higher fence was seen"})
        self.highest_fencing_token = token
        if path == "/usage":
            self.reports.append(
                UsageReport(
                    holder, token, fields["window_id"], fields["counts"]
                )
            )
        return _json_answer(200, {})


@dataclasses.dataclass(slots=True, frozen=True)
class Execution:
    """A request that a runner has started to execute.

    `first_event` is the number of the first event to generate, above 1 for a
    resumed stream.
    """

    request_id: str
    runner_id: str
    at_ms: int
    first_event: int


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """A request that a runner turned away, asking for a back-off until then."""

    request_id: str
    runner_id: str
    at_ms: int
    until_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request that reached a runner, whether it was executed or not."""

    request_id: str
    service: str
    at_ms: int
    runner_id: str = ""


class Stream:
    """A stream that a runner generates.

    `last_event` is the number of the last event sent. `stopped` is set once
    the stream has been copied for another runner.
    """

    __slots__ = ("last_event", "stopped")

    def __init__(self, last_event: int) -> None:
        self.last_event = last_event
        self.stopped = False


class Runner:
    """An upstream that answers calls and streams.

    Shares of the requests: `reject_share` is rejected without being executed,
    `error_share` is executed and answered with one of `FAILURE_STATUSES`, and
    of the others `cut_share` loses its connection before the response is
    complete. `open_ended_share` of the answers have neither a length nor
    chunks, and `OPEN_ENDED_CUT_SHARE` of these end early. `on_crash` ends the
    runner when it begins to answer a prompt with `CRASHING_PART`.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        executions: list[Execution],
        now_ms: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self.runner_id = runner_id
        self.service = service
        self._executions = executions
        self._now_ms = now_ms
        self._random = rng
        self.arrivals: list[Arrival] = []
        # Its software's version, and how that is bad, if it is.
        self.version = "v1"
        self.bad: BadVersion | None = None
        self.active = 0
        self._streams: dict[str, Stream] = {}
        # Last event of each copied stream, by its handle. A copy can be resumed
        # once.
        self.kv_copies: dict[str, int] = {}
        self.reject_share = 0.0
        self.error_share = 0.0
        self.cut_share = 0.0
        self.open_ended_share = 0.0
        # Ids of the requests that were answered so, of those whose answer ended
        # early, and of those whose stream was stopped for a move.
        self.open_ended_ids: set[str] = set()
        self.cut_short_ids: set[str] = set()
        self.stopped_ids: set[str] = set()
        # Share of the requests that are answered with bytes without end.
        self.endless_share = 0.0
        self.processing_ms = 20
        # Requests a second that its answers name as the limit of all entries.
        self.limit_per_s: float | None = None
        self.on_crash: Callable[[], Awaitable[None]] | None = None
        # Whether its answers say that it leaves, and when each runner first
        # said so, by its id.
        self.says_leaving = False
        self.said_leaving_ms: dict[str, int] = {}
        # Until this time it turns requests away, and asks for a back-off with
        # the remaining time, or with `retry_after` instead.
        self.busy_until_ms = 0
        self.retry_after: bytes | None = None
        self.refusals: list[Refusal] = []
        # Registrations that it has written.
        self.registrations = 0

    def registration(
        self, address: str, state: str, *, reclaimable: bool = False
    ) -> dict[str, Any]:
        """Return the next registration of the runner."""
        self.registrations += 1
        return {
            "spot": reclaimable,
            "service": self.service,
            "address": address,
            "zone": "a",
            "version": self.version,
            "slots": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "born": 1,
            "seq": self.registrations,
        }

    async def handle(
        self, caller: callers.Caller, head: h11.Request, body: bytes
    ) -> bool:
        """Execute one request; False closes the connection."""
        if bytes(head.target) == b"/kv-move":
            await caller.answer(*self._move(json.loads(body)))
            return True
        if bytes(head.target) == HEALTH_PATH.encode():
            identity = (b"X-Laburnumpin-Instance-Id", self.runner_id.encode())
            await caller.answer(200, [identity, (b"Content-Length", b"0")], b"")
            return True
        headers = {n.lower(): v for n, v in head.headers}
        request_id = headers.get(wire.ATTEMPT_ID, b"").decode()
        expected = headers.get(b"x-laburnumpin-expect-instance", b"")
        attempt_header = [(b"X-Laburnumpin-Attempt-Id", request_id.encode())]
        if self.limit_per_s is not None:
            limit = str(self.limit_per_s).encode()
            attempt_header.append((b"Server-Limit", limit))
        if self.says_leaving:
            attempt_header.append((b"Server-Leaving", b"1"))
        no_body = [(b"Content-Length", b"0")]
        if expected.decode() != self.runner_id:
            await caller.answer(421, attempt_header + no_body, b"")
            return True
        self.arrivals.append(
            Arrival(request_id, self.service, self._now_ms(), self.runner_id)
        )
        resume_after = int(headers.get(wire.LAST_EVENT_ID, b"0"))
        failure_draw = self._random.random()
        handle = headers.get(b"kv-from", b"").decode().rpartition("/")[2]
        is_unusable_copy = (
            handle and self.kv_copies.pop(handle, -1) < resume_after
        )
        not_executed = [(b"X-Laburnumpin-Not-Executed", b"1")]
        if self._now_ms() < self.busy_until_ms:
            backoff = self._turn_away(request_id)
            await caller.answer(
                503, attempt_header + no_body + not_executed + backoff, b""
            )
            return True
        if failure_draw < self.reject_share or is_unusable_copy:
            await caller.answer(
                503, attempt_header + no_body + not_executed, b""
            )
            return True
        self._executions.append(
            Execution(
                request_id, self.runner_id, self._now_ms(), resume_after + 1
            )
        )
        if self.endless_share and self._random.random() < self.endless_share:
            return await self._send_without_end(caller)
        is_failure = failure_draw < self.reject_share + self.error_share
        self.active += 1
        try:
            if self._is_bad(bytes(head.target).decode()):
                assert self.bad is not None
                await anyio.sleep(self.bad.slow_ms / 1_000)
                is_failure = is_failure or not self.bad.slow_ms
            return await self._run(
                caller, headers, attempt_header, resume_after, is_failure
            )
        finally:
            self.active -= 1

    def _is_bad(self, path: str) -> bool:
        """Return whether the next answer is one of those of a bad version."""
        bad = self.bad
        if bad is None or self._now_ms() < bad.from_ms:
            return False
        if not path.startswith(bad.path_prefix):
            return False
        if self.active < bad.min_active:
            return False
        return self._random.random() < bad.share

    async def _run(
        self,
        caller: callers.Caller,
        headers: dict[bytes, bytes],
        answer_headers: list[tuple[bytes, bytes]],
        resume_after: int,
        is_failure: bool,
    ) -> bool:
        """Run a request and answer it; False closes the connection."""
        request_id = headers.get(wire.ATTEMPT_ID, b"").decode()
        await anyio.sleep(self.processing_ms / 1_000)
        if self.says_leaving:
            self.said_leaving_ms.setdefault(self.runner_id, self._now_ms())
        seal = [(SEAL_HEADER, request_id.encode() + b"." + b"1")]
        if is_failure:
            no_body = [(b"Content-Length", b"0")]
            status = self._random.choice(FAILURE_STATUSES)
            await caller.answer(status, answer_headers + no_body + seal, b"")
            return True
        is_open_ended, is_cut = self._draw_ending(request_id)
        if wire.TOKEN_COUNT not in headers:
            return await self._answer_call(
                caller, request_id, answer_headers + seal, is_open_ended, is_cut
            )
        await caller.start_answer(
            200,
            [
                *answer_headers,
                *seal,
                (b"Content-Type", b"text/event-stream"),
            ],
            ends_with_connection=is_open_ended,
        )
        prompt = headers.get(wire.PROMPT_PREFIX, b"")
        if self.on_crash is not None and CRASHING_PART + b":" in prompt:
            await anyio.sleep(CRASH_S)
            await self.on_crash()
            return False
        if resume_after and self._random.random() < REPEATED_EVENT_SHARE:
            resume_after -= 1
        return await self._stream(
            caller, request_id, resume_after, is_open_ended, is_cut
        )

    async def _send_without_end(self, caller: callers.Caller) -> bool:
        """Send a head or a failure's body until the caller closes."""
        start, block = self._random.choice(ENDLESS_ANSWERS)
        with contextlib.suppress(byte_stream.StreamClosedError):
            await caller.stream.send(start)
            for _ in range(MAX_ENDLESS_BLOCKS):
                await caller.stream.send(block)
        return False

    def _turn_away(self, request_id: str) -> list[tuple[bytes, bytes]]:
        """Return the header of a refusal while the runner is busy."""
        if self.retry_after is not None:
            return [(b"Retry-After", self.retry_after)]
        now_ms = self._now_ms()
        self.refusals.append(
            Refusal(request_id, self.runner_id, now_ms, self.busy_until_ms)
        )
        seconds = (self.busy_until_ms - now_ms) / 1_000
        return [(b"Retry-After", f"{seconds:.3f}".encode())]

    def _draw_ending(self, request_id: str) -> tuple[bool, bool]:
        """Return whether an answer has no length, and whether it is cut."""
        is_cut = self._random.random() < self.cut_share
        if not self.open_ended_share:
            return False, is_cut
        if self._random.random() >= self.open_ended_share:
            return False, is_cut
        self.open_ended_ids.add(request_id)
        is_cut = self._random.random() < OPEN_ENDED_CUT_SHARE
        if is_cut:
            self.cut_short_ids.add(request_id)
        return True, is_cut

    async def _answer_call(
        self,
        caller: callers.Caller,
        request_id: str,
        headers: list[tuple[bytes, bytes]],
        is_open_ended: bool,
        is_cut: bool,
    ) -> bool:
        text = answer_body(request_id)
        if is_open_ended:
            if is_cut:
                text = text[: len(text) // 2]
            await caller.start_answer(
                200, headers, text, ends_with_connection=True
            )
            await caller.end_answer()
            return False
        if is_cut:
            return False
        length = (b"Content-Length", str(len(text)).encode())
        await caller.answer(200, [*headers, length], text)
        return True

    def _move(self, fields: dict[str, Any]) -> Answer:
        """Stop a stream and add its copy to the shared `kv_copies`."""
        stream = self._streams.get(fields["id"])
        if stream is None or not fields.get("last"):
            return _json_answer(404, {})
        stream.stopped = True
        self.stopped_ids.add(fields["id"])
        handle = f"{fields['id']}-{stream.last_event}"
        self.kv_copies[handle] = stream.last_event
        return _json_answer(
            200, {"kv_handle": handle, "create_revision": stream.last_event}
        )

    async def _stream(
        self,
        caller: callers.Caller,
        request_id: str,
        resume_after: int,
        is_open_ended: bool,
        is_cut: bool,
    ) -> bool:
        stream = Stream(resume_after)
        self._streams[request_id] = stream
        try:
            for number in range(resume_after + 1, event_count(request_id) + 1):
                if is_cut and number > event_count(request_id) // 2:
                    if is_open_ended:
                        # Closes normally between two events.
                        await caller.end_answer()
                        return False
                    await caller.write(b"id: ")
                    return False
                stream.last_event = number
                await caller.write(event(request_id, number))
                await anyio.sleep(EVENT_PAUSE_S)
                if stream.stopped:
                    # Without length nothing shows that the rest is missing.
                    caller.stream.set_reset_on_close(False)
                    return False
        finally:
            if self._streams.get(request_id) is stream:
                del self._streams[request_id]
        await caller.end_answer()
        return True


def event_count(request_id: str) -> int:
    """Return the number of events in the stream that answers a request.

    Streams of requests whose ids begin with `long` last longer than the notice
    of a reclaim.
    """
    return 120 if request_id.startswith("long") else 8


def answer_body(request_id: str) -> bytes:
    """Return the body of the response to a call."""
    return f"answer to {request_id}".encode()


def event(request_id: str, number: int) -> bytes:
    """Return an event of the stream that answers a request, as sent."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def configuration(
    version: int,
    probe_route: str,
    *,
    drafts: bool = True,
    customer_key: str = "key-1",
    moves_streams: bool = True,
) -> dict[str, Any]:
    """Return a configuration with `probe_route`.

    A route that is named after the version shows which version is in force.
    Without `moves_streams`, engines don't move their streams when they leave.
    """
    routes = [
        _route("calls", "/calls/", "non_idempotent", "desk", max_attempts=3),
        _route("reads", "/reads/", "idempotent", "desk", max_attempts=2),
        _route(probe_route, f"/{probe_route}/", "idempotent", "desk"),
    ]
    if drafts:
        routes.append(
            _route("drafts", "/drafts/", "streaming", "engines", max_attempts=2)
        )
        routes.append(
            _route(
                "notes",
                "/notes/",
                "streaming",
                "engines",
                max_attempts=3,
                stream_resume=True,
            )
        )
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "health_path": HEALTH_PATH, "max_connections": 96},
            {
                "name": "engines",
                "health_path": HEALTH_PATH,
                "max_connections": 300,
                "engine": {
                    "slots": 64,
                    "kv_capacity_tokens": 700_000,
                    "moves": moves_streams,
                },
            },
        ],
        "limits": {},
        "tenants": [
            {"name": "acme", "api_keys": [customer_key]},
            {
                "name": "limited",
                "api_keys": [LIMITED_KEY],
                "rate_per_s": LIMITED_RATE_PER_S,
                "burst": LIMITED_BURST,
            },
        ],
    }


def _route(
    name: str, prefix: str, kind: str, service: str, **changes: object
) -> dict[str, Any]:
    return {
        "name": name,
        "host": "h.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 4_000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        **changes,
    }


def settings_text(
    name: str,
    ip: str,
    ports: tuple[int, int, int, int],
    store: str,
    *,
    zone: str = "a",
    has_rollouts: bool = False,
) -> str:
    """Return the settings file of an entry.

    `ports` are those of callers, readiness, peers and the control plane.
    """
    frontend, readiness, internal, control = ports
    contracts = '["rollout"]' if has_rollouts else "[]"
    return f"""
node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
internal_ports = [{internal}, {internal}]
seeds = []
contracts = {contracts}
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
control_plane = "{ip}:{control}"
[bounds]
grace_s = 8
lease_ms = 3000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 20
usage_window_s = 2
usage_late_s = 10
exposure_share = {EXPOSURE_SHARE}
exposure_slack = {EXPOSURE_SLACK}
rollback_ms = 3000
[platform]
address = "{store}"
[cloud_api]
address = "{store}"
duties = ["usage_report"]
"""


def request_headers(
    request_id: str,
    *,
    is_stream: bool,
    key: str,
    deadline_ms: int,
    is_crashing: bool = False,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a caller's request.

    `deadline_ms` is the remaining time; with `is_crashing` the prompt has the
    part that ends runners.
    """
    headers = [
        (b"Host", b"h.example"),
        (b"X-Laburnumpin-Attempt-Id", request_id.encode()),
        (b"X-Laburnumpin-Deadline-Ms", str(deadline_ms).encode()),
        (b"X-Laburnumpin-Credential", key.encode()),
    ]
    if is_stream:
        headers.append((b"X-Laburnumpin-Token-Count", b"200,32"))
        parts = b"a:100,b:100"
        if is_crashing:
            parts = b"a:50," + CRASHING_PART + b":50,b:100"
        headers.append((b"X-Laburnumpin-Prompt-Prefix", parts))
    return headers
