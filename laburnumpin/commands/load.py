"""The `load` command: send a bounded load to entries, check every answer."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import ipaddress
import json
import random
import time
from typing import Any
import urllib.parse

import anyio
from hdrh import histogram
import httpx

from laburnumpin import exceptions
from laburnumpin.core import deployment
from laburnumpin.standins import sse
from laburnumpin.standins import text

MAX_REQUESTS = 20_000
MAX_DURATION_S = 60.0
MAX_LISTED_WRONG_ANSWERS = 20
MAX_RESUMES = 5
RESUME_DELAY_S = 0.2
HIGHEST_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A kind of request; `weight` is its relative frequency.

    Each prompt belongs to one of `prefix_groups` groups. Prompts of a group
    have their first `shared_prefix_characters` in common.
    """

    service: str
    operation: str
    kind: deployment.ServiceKind = deployment.ServiceKind.MODEL
    idempotent: bool = True
    streamed: bool = True
    priority: deployment.Priority = deployment.Priority.BULK
    weight: float = 1.0
    prompt_characters: int = 2_048
    shared_prefix_characters: int = 1_024
    prefix_groups: int = 4
    max_tokens: int = 64


@dataclasses.dataclass(slots=True, frozen=True)
class LoadSettings:
    """What to send; requests go to the entries round robin.

    `duration_s` bounds the whole load, and `deadline_ms` each request.
    """

    entry_urls: tuple[str, ...]
    customer_key: str
    targets: tuple[Target, ...]
    requests: int = 100
    rate_per_s: float = 20.0
    duration_s: float = 30.0
    deadline_ms: int = 30_000
    max_in_flight: int = 500
    seed: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Percentiles:
    """Percentiles in milliseconds over `count` values."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """Results of a load.

    `outcomes` counts requests by the entry's error code or by the client's
    own outcome: `ok` is a complete answer that matches its request,
    `unfinished` a request that did not end within the load's duration.
    `verdicts` counts the errors by whether the request may have run.
    `resumed` counts the attempts to resume a truncated stream.
    `wrong_answers` lists ids of requests whose answer failed the check.

    Latencies are those of streamed model requests. `inter_token_ms` has one
    value for each request, its mean; `token_gap_ms` has every gap between two
    events.
    """

    sent: int
    outcomes: dict[str, int]
    verdicts: dict[str, int]
    resumed: int
    wrong_answers: tuple[str, ...]
    first_token_ms: Percentiles
    inter_token_ms: Percentiles
    token_gap_ms: Percentiles
    duration_ms: int

    @property
    def all_ok(self) -> bool:
        """Return whether every request got a complete, correct answer."""
        return self.outcomes == {"ok": self.sent}


class _Results:
    """Counts, and latency histograms in microseconds, while the load runs."""

    def __init__(self) -> None:
        self.sent = 0
        self.resumed = 0
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.verdicts: collections.Counter[str] = collections.Counter()
        self.wrong_answers: list[str] = []
        self.first_token = _histogram()
        self.inter_token = _histogram()
        self.token_gap = _histogram()


@dataclasses.dataclass(slots=True)
class _Exchange:
    """A request and the state of its response.

    `offset` is the number of tokens received. `first_s` and `last_s` are the
    times of the first and the latest event of a model request, 0 before it.
    """

    number: int
    target: Target
    headers: dict[str, str]
    body: str
    prompt: str
    sent_s: float = 0.0
    request_id: str = ""
    text: str = ""
    offset: int = 0
    first_s: float = 0.0
    last_s: float = 0.0
    outcome: str = ""
    verdict: str = ""


def run_load(settings: LoadSettings) -> LoadReport:
    """Send the load and return the report.

    Raises:
        ConfigurationError: The settings are invalid; see `check`.
    """
    return anyio.run(send_load, settings)


async def send_load(settings: LoadSettings) -> LoadReport:
    """Send the load from within an event loop; see `run_load`."""
    check(settings)
    results = _Results()
    started_s = time.monotonic()
    limits = httpx.Limits(max_connections=settings.max_in_flight)
    timeout = httpx.Timeout(settings.deadline_ms / 1_000 + 5)
    async with httpx.AsyncClient(limits=limits, timeout=timeout) as client:
        with anyio.move_on_after(settings.duration_s):
            await _send_all(client, settings, results)
    unfinished = results.sent - sum(results.outcomes.values())
    if unfinished:
        results.outcomes["unfinished"] = unfinished
    duration_ms = int((time.monotonic() - started_s) * 1_000)
    return _report(results, duration_ms)


def check(settings: LoadSettings) -> None:
    """Check that a load is bounded and stays on loopback.

    Raises:
        ConfigurationError: The settings are invalid; lists every problem.
    """
    errors = []
    for url in settings.entry_urls:
        if not _is_loopback(url):
            errors.append(_error("entry_urls", f"{url} is not on loopback"))
    if not settings.entry_urls:
        errors.append(_error("entry_urls", "must have at least one entry"))
    if not settings.targets:
        errors.append(_error("targets", "must have at least one target"))
    if not 1 <= settings.requests <= MAX_REQUESTS:
        errors.append(_error("requests", f"must be 1 to {MAX_REQUESTS}"))
    if not 0 < settings.duration_s <= MAX_DURATION_S:
        errors.append(_error("duration_s", f"must be up to {MAX_DURATION_S}"))
    if settings.rate_per_s <= 0:
        errors.append(_error("rate_per_s", "must be positive"))
    if errors:
        raise exceptions.ConfigurationError(errors)


async def _send_all(
    client: httpx.AsyncClient, settings: LoadSettings, results: _Results
) -> None:
    generator = random.Random(settings.seed)
    started_s = time.monotonic()
    async with anyio.create_task_group() as group:
        for number in range(settings.requests):
            due_s = started_s + number / settings.rate_per_s
            await anyio.sleep(max(0.0, due_s - time.monotonic()))
            exchange = _make_exchange(settings, number, generator)
            results.sent += 1
            group.start_soon(_run, client, settings, exchange, results)


def _make_exchange(
    settings: LoadSettings, number: int, generator: random.Random
) -> _Exchange:
    weights = [target.weight for target in settings.targets]
    target = generator.choices(settings.targets, weights)[0]
    group = generator.randrange(max(1, target.prefix_groups))
    prompt = _make_prompt(target, group, f"{settings.seed}-{number}")
    headers = {
        "Authorization": f"Bearer {settings.customer_key}",
        "Content-Type": "application/json",
        "X-Deadline-Ms": str(settings.deadline_ms),
        "X-Priority": target.priority.value,
    }
    if target.streamed:
        headers["Accept"] = "text/event-stream"
    if not target.idempotent:
        headers["Idempotency-Key"] = f"load-{settings.seed}-{number}"
    body = json.dumps({"number": number, "seed": settings.seed})
    if target.kind is deployment.ServiceKind.MODEL:
        body = json.dumps({"prompt": prompt, "max_tokens": target.max_tokens})
    return _Exchange(number, target, headers, body, prompt)


def _make_prompt(target: Target, group: int, name: str) -> str:
    shared = f"{target.service} group {group} "
    shared_length = min(
        target.shared_prefix_characters, target.prompt_characters
    )
    shared = (shared * (shared_length // len(shared) + 1))[:shared_length]
    unique = f"request {name} "
    length = max(target.prompt_characters - shared_length, len(unique))
    return shared + (unique * (length // len(unique) + 1))[:length]


async def _run(
    client: httpx.AsyncClient,
    settings: LoadSettings,
    exchange: _Exchange,
    results: _Results,
) -> None:
    exchange.sent_s = time.monotonic()
    await _submit(client, settings, exchange, results)
    attempt = 0
    while exchange.outcome == "truncated" and attempt < MAX_RESUMES:
        attempt += 1
        results.resumed += 1
        await anyio.sleep(RESUME_DELAY_S)
        await _resume(client, settings, exchange, attempt, results)
    if exchange.outcome == "complete":
        exchange.outcome = (
            "ok" if _is_expected_answer(exchange) else "wrong_answer"
        )
    _count(exchange, results)


async def _submit(
    client: httpx.AsyncClient,
    settings: LoadSettings,
    exchange: _Exchange,
    results: _Results,
) -> None:
    target = exchange.target
    urls = settings.entry_urls
    base = urls[exchange.number % len(urls)]
    url = f"{base}/v1/services/{target.service}/{target.operation}"
    await _receive(
        client.build_request(
            "POST", url, headers=exchange.headers, content=exchange.body
        ),
        client,
        exchange,
        results,
    )


async def _resume(
    client: httpx.AsyncClient,
    settings: LoadSettings,
    exchange: _Exchange,
    attempt: int,
    results: _Results,
) -> None:
    urls = settings.entry_urls
    base = urls[(exchange.number + attempt) % len(urls)]
    headers = {
        "Authorization": exchange.headers["Authorization"],
        "Accept": "text/event-stream",
        "Last-Event-ID": str(exchange.offset),
    }
    url = f"{base}/v1/requests/{exchange.request_id}/output"
    request = client.build_request("GET", url, headers=headers)
    await _receive(request, client, exchange, results)


async def _receive(
    request: httpx.Request,
    client: httpx.AsyncClient,
    exchange: _Exchange,
    results: _Results,
) -> None:
    is_resumable = exchange.target.streamed
    try:
        response = await client.send(request, stream=True)
        try:
            await _read_response(response, exchange, results)
        finally:
            await response.aclose()
    except httpx.TimeoutException:
        exchange.outcome = "client_timeout"
    except httpx.TransportError:
        exchange.outcome = "connection_lost"
        if exchange.request_id and is_resumable:
            exchange.outcome = "truncated"
    except (ValueError, KeyError, TypeError):
        exchange.outcome = "malformed_response"


async def _read_response(
    response: httpx.Response, exchange: _Exchange, results: _Results
) -> None:
    header_id = response.headers.get("X-Request-Id", "")
    exchange.request_id = header_id or exchange.request_id
    if response.status_code >= 400:
        _read_error(exchange, json.loads(await response.aread()))
        return
    if response.headers["Content-Type"].startswith("text/event-stream"):
        await _read_stream(response, exchange, results)
        return
    exchange.text = _read_text(await response.aread())
    exchange.outcome = "complete"


async def _read_stream(
    response: httpx.Response, exchange: _Exchange, results: _Results
) -> None:
    exchange.outcome = "truncated"
    async for event in sse.read_events(response.aiter_lines()):
        if event.name == "end":
            exchange.outcome = "complete"
            return
        if event.name == "error":
            _read_error(exchange, json.loads(event.data))
            return
        if not event.event_id:
            continue
        next_offset = int(event.event_id)
        if next_offset <= exchange.offset:
            exchange.outcome = "repeated_offset"
            return
        exchange.text += _read_text(event.data.encode())
        exchange.offset = next_offset
        _record_arrival(exchange, results)


def _record_arrival(exchange: _Exchange, results: _Results) -> None:
    if exchange.target.kind is not deployment.ServiceKind.MODEL:
        return
    now_s = time.monotonic()
    if not exchange.first_s:
        exchange.first_s = now_s
        _record(results.first_token, now_s - exchange.sent_s)
    else:
        _record(results.token_gap, now_s - exchange.last_s)
    exchange.last_s = now_s


def _read_error(exchange: _Exchange, document: Any) -> None:
    error = document["error"]
    exchange.outcome = str(error["code"])
    exchange.verdict = str(error.get("verdict") or "")


def _read_text(body: bytes) -> str:
    """Return the `text` field of a JSON object, or else the whole body."""
    content = body.decode()
    try:
        document = json.loads(content)
    except ValueError:
        return content
    if isinstance(document, dict) and isinstance(document.get("text"), str):
        return str(document["text"])
    return content


def _is_expected_answer(exchange: _Exchange) -> bool:
    if exchange.target.kind is deployment.ServiceKind.MODEL:
        tokens = exchange.target.max_tokens
        expected = text.expected_text(exchange.prompt, 0, tokens)
        return exchange.text == expected
    try:
        document = json.loads(exchange.text)
    except ValueError:
        return False
    if not isinstance(document, dict):
        return False
    body_sha256 = hashlib.sha256(exchange.body.encode()).hexdigest()
    same_request_id = document.get("request_id") == exchange.request_id
    return same_request_id and document.get("body_sha256") == body_sha256


def _count(exchange: _Exchange, results: _Results) -> None:
    results.outcomes[exchange.outcome] += 1
    if exchange.verdict:
        results.verdicts[exchange.verdict] += 1
    if exchange.outcome == "wrong_answer":
        if len(results.wrong_answers) < MAX_LISTED_WRONG_ANSWERS:
            results.wrong_answers.append(exchange.request_id)
    if exchange.first_s and exchange.offset > 1:
        mean_s = (exchange.last_s - exchange.first_s) / (exchange.offset - 1)
        _record(results.inter_token, mean_s)


def _report(results: _Results, duration_ms: int) -> LoadReport:
    return LoadReport(
        results.sent,
        dict(results.outcomes),
        dict(results.verdicts),
        results.resumed,
        tuple(results.wrong_answers),
        _percentiles(results.first_token),
        _percentiles(results.inter_token),
        _percentiles(results.token_gap),
        duration_ms,
    )


def _histogram() -> Any:
    return histogram.HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_FIGURES)


def _record(values: Any, duration_s: float) -> None:
    duration_us = int(duration_s * 1_000_000)
    values.record_value(min(max(1, duration_us), HIGHEST_LATENCY_US))


def _percentiles(values: Any) -> Percentiles:
    count = int(values.get_total_count())
    if not count:
        return Percentiles(0, 0.0, 0.0, 0.0, 0.0)
    value_at = values.get_value_at_percentile
    return Percentiles(
        count,
        value_at(50) / 1_000,
        value_at(95) / 1_000,
        value_at(99) / 1_000,
        values.get_max_value() / 1_000,
    )


def _is_loopback(url: str) -> bool:
    try:
        host = urllib.parse.urlsplit(url).hostname or ""
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _error(field: str, message: str) -> exceptions.FieldError:
    return exceptions.FieldError(field, "invalid", message)
