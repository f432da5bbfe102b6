"""The `demo` command: run a deployment in one process on loopback."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import dataclasses
import json
from typing import Any

import anyio
from anyio import abc
import httpx

from laburnumpin import operator
from laburnumpin.config import options
from laburnumpin.config import settings as entry_settings
from laburnumpin.core import events
from laburnumpin.server import entry as entries
from laburnumpin.server import sse
from laburnumpin.standins import cloud
from laburnumpin.standins import engine
from laburnumpin.standins import engine_documents
from laburnumpin.standins import plain_service
from laburnumpin.standins import platform
from laburnumpin.standins import platform_documents
from laburnumpin.standins import running
from laburnumpin.standins import text

ZONES = ("kolkata", "howrah", "siliguri")
MODEL = "dossier-drafter"
CUSTOMER_KEY = "demonstration-customer-key"
OPERATOR_KEY = "demonstration-operator-key"
PEER_SECRET = "demonstration-peer-secret"
PLATFORM_TOKEN = "demonstration-platform-token"
ENTRY_COUNT = 3
READY_TIMEOUT_S = 30
SHUTDOWN_TIMEOUT_S = 60
MAX_CLAIM_ATTEMPTS = 5
REQUEST_TIMEOUT_S = 60
PROMPT = "Draft the compliance dossier for the main hall truss. " * 20
STREAM_TOKENS = 400
RECLAIM_AFTER_TOKENS = 30
RECLAIM_NOTICE_MS = 10_000

Report = Callable[[str], None]


class DemoError(Exception):
    """A step of the demonstration gave an unexpected result."""


@dataclasses.dataclass(slots=True, frozen=True)
class Cluster:
    """The running platform, upstreams and entries.

    `engines` is keyed by VM id. `exited` has an event for each entry, set
    when the entry has exited.
    """

    platform: running.Running[platform.Platform]
    engines: dict[str, running.Running[engine.Engine]]
    services: list[running.Running[plain_service.PlainService]]
    entries: list[entries.RunningEntry]
    exited: list[anyio.Event]
    http: httpx.AsyncClient

    def url(self, number: int) -> str:
        """Return the base URL of an entry's caller API."""
        return f"http://{self.entries[number].caller_address}"


def run_demo(report: Report) -> bool:
    """Run the demonstration; return whether every step succeeded."""
    return anyio.run(_run, report)


def build_deployment() -> operator.Deployment:
    """Return the configuration of the demonstration."""
    built = operator.Deployment("demonstration", entry_count=ENTRY_COUNT)
    for zone in ZONES:
        built.add_zone(zone, data_center=zone, region="bengal")
    built.add_model_service(
        "dossier",
        model=MODEL,
        model_version="1",
        operations=(operator.Operation("draft", priority=operator.BULK),),
    )
    built.add_plain_service(
        "certdesk",
        operations=(
            operator.Operation(
                "issue_certificate",
                idempotent=False,
                priority=operator.INTERACTIVE,
            ),
        ),
    )
    built.add_customer("rigsafe", keys=(CUSTOMER_KEY,))
    for zone in ZONES:
        for service, vm_class in (("dossier", "gpu"), ("certdesk", "cpu")):
            built.add_placement(
                service=service,
                zone=zone,
                vm_class=vm_class,
                reclaimable=True,
                min_vms=0,
                max_vms=1,
                price_per_hour=1.0,
                slots=16,
            )
    return built


async def _run(report: Report) -> bool:
    async with contextlib.AsyncExitStack() as stack:
        cluster = await _start(stack)
        report(
            f"running: {len(cluster.engines)} engines, "
            f"{len(cluster.services)} services, {len(cluster.entries)} entries"
        )
        steps = (
            ("configuration", _apply),
            ("complete answer", _show_complete_answer),
            ("non-idempotent call with a retry", _show_at_most_once),
            ("stream across a reclaim", _show_reclaim),
            ("graceful shutdown", _show_shutdown),
        )
        for name, step in steps:
            try:
                detail = await step(cluster)
            except (DemoError, TimeoutError, httpx.HTTPError) as error:
                report(f"{name}: FAILED, {type(error).__name__}: {error}")
                return False
            report(f"{name}: ok, {detail}")
        return True


async def _start(stack: contextlib.AsyncExitStack) -> Cluster:
    started_platform = await stack.enter_async_context(
        running.run_platform(
            platform_documents.PlatformSettings(token=PLATFORM_TOKEN)
        )
    )
    engines: dict[str, running.Running[engine.Engine]] = {}
    services = []
    for number, zone in enumerate(ZONES):
        started_engine = await stack.enter_async_context(
            running.run_engine(
                engine_documents.EngineSettings(model=MODEL, model_version="1")
            )
        )
        service = await stack.enter_async_context(running.run_plain_service())
        engines[f"engine-{number}"] = started_engine
        services.append(service)
        simulated_cloud = started_platform.standin.cloud
        now_ms = started_platform.standin.clock.now_ms()
        simulated_cloud.add(
            _upstream_row(f"engine-{number}", zone, "dossier", started_engine),
            now_ms,
        )
        simulated_cloud.add(
            _upstream_row(f"service-{number}", zone, "certdesk", service),
            now_ms,
        )
    tasks = await stack.enter_async_context(anyio.create_task_group())
    stack.callback(tasks.cancel_scope.cancel)
    started_entries: list[entries.RunningEntry] = []
    exited = [anyio.Event() for _ in range(ENTRY_COUNT)]
    for number in range(ENTRY_COUNT):
        seeds = tuple(entry.peer_address for entry in started_entries)
        settings = _entry_settings(number, started_platform, seeds)
        started = await tasks.start(_run_entry, settings, exited[number])
        _register_entry(started_platform, started)
        started_entries.append(started)
    http = await stack.enter_async_context(
        httpx.AsyncClient(timeout=REQUEST_TIMEOUT_S)
    )
    return Cluster(
        started_platform, engines, services, started_entries, exited, http
    )


async def _run_entry(
    settings: entry_settings.Settings,
    exited: anyio.Event,
    *,
    task_status: abc.TaskStatus[entries.RunningEntry],
) -> None:
    await entries.serve(settings, task_status=task_status)
    exited.set()


def _entry_settings(
    number: int,
    started_platform: running.Running[platform.Platform],
    seeds: tuple[str, ...],
) -> entry_settings.Settings:
    return entry_settings.Settings(
        vm_id=f"entry-{number}",
        zone=ZONES[number % len(ZONES)],
        platform_url=started_platform.address.url,
        platform_token=options.Secret(PLATFORM_TOKEN),
        operator_key=options.Secret(OPERATOR_KEY),
        peer_secret=options.Secret(PEER_SECRET),
        caller_port=0,
        operator_port=0,
        peer_port=0,
        seed_peers=seeds,
        log_level="error",
    )


def _register_entry(
    started_platform: running.Running[platform.Platform],
    started: entries.RunningEntry,
) -> None:
    state = started.bridge.state
    row = events.VmRow(
        state.entry.vm_id,
        state.entry.incarnation,
        events.VmRole.ENTRY,
        state.zone,
        "small",
        True,
        False,
        peer_address=started.peer_address,
    )
    standin = started_platform.standin
    standin.cloud.add(row, standin.clock.now_ms())


def _upstream_row(
    vm_id: str, zone: str, service: str, started: running.Running[Any]
) -> events.VmRow:
    return events.VmRow(
        vm_id,
        started.standin.incarnation,
        events.VmRole.UPSTREAM,
        zone,
        "gpu" if service == "dossier" else "cpu",
        True,
        False,
        service,
        str(started.address),
    )


async def _apply(cluster: Cluster) -> str:
    response = await cluster.http.post(
        f"http://{cluster.entries[0].operator_address}/operator/configuration",
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        json={
            "base_version": 0,
            "change_id": "demonstration",
            "document": build_deployment().document(),
        },
    )
    if response.status_code != 200:
        raise DemoError(response.text)
    with anyio.fail_after(READY_TIMEOUT_S):
        for number in range(ENTRY_COUNT):
            while not await _is_ready(cluster, number):
                await anyio.sleep(0.05)
    return f"version 1 is applied at {ENTRY_COUNT} entries"


async def _is_ready(cluster: Cluster, number: int) -> bool:
    response = await cluster.http.get(cluster.url(number) + "/readyz")
    return response.status_code == 200


async def _show_complete_answer(cluster: Cluster) -> str:
    response = await cluster.http.post(
        cluster.url(0) + "/v1/services/dossier/draft",
        headers=_headers(),
        json={"prompt": PROMPT, "max_tokens": 20},
    )
    expected = text.expected_text(PROMPT, 0, 20)
    if response.status_code != 200 or response.json()["text"] != expected:
        raise DemoError(response.text)
    request_id = response.headers["X-Request-Id"]
    reread = await cluster.http.get(
        cluster.url(1) + f"/v1/requests/{request_id}/output", headers=_headers()
    )
    if reread.json().get("text") != expected:
        raise DemoError(f"read at another entry: {reread.text}")
    return "20 tokens, read again at another entry"


async def _show_at_most_once(cluster: Cluster) -> str:
    texts = set()
    for number in range(2):
        texts.add(await _issue_certificate(cluster, number))
    executions = 0
    for service in cluster.services:
        executions += service.standin.executions.total
    if executions != 1 or len(texts) != 1:
        raise DemoError(f"{executions} executions, {len(texts)} outcomes")
    return "two calls at two entries, one execution, one outcome"


async def _issue_certificate(cluster: Cluster, number: int) -> str:
    """Call the service, with retries while its idempotency key is claimed."""
    for _ in range(MAX_CLAIM_ATTEMPTS):
        response = await cluster.http.post(
            cluster.url(number) + "/v1/services/certdesk/issue_certificate",
            headers=_headers() | {"Idempotency-Key": "certificate-1"},
            json={"hall": "main"},
        )
        document = response.json()
        if response.status_code == 200:
            return str(document["text"])
        if document["error"]["code"] != "claim_held":
            break
        await anyio.sleep(int(response.headers["Retry-After"]))
    raise DemoError(response.text)


async def _show_reclaim(cluster: Cluster) -> str:
    request_id, initial_text = await _read_until_reclaim(cluster)
    resumed_text = await _resume_stream(cluster, request_id)
    if initial_text + resumed_text != text.expected_text(
        PROMPT, 0, STREAM_TOKENS
    ):
        raise DemoError("the resumed stream differs from the expected text")
    generations = [
        started.standin.batch.generations.get(request_id)
        for started in cluster.engines.values()
    ]
    engine_count = sum(
        1 for generation in generations if generation is not None
    )
    return (
        f"{STREAM_TOKENS} tokens complete, from {engine_count} engines "
        "and 2 entries"
    )


async def _show_shutdown(cluster: Cluster) -> str:
    for started in cluster.entries:
        now_ms = started.bridge.clock.now_ms()
        await started.bridge.put(events.ShutdownRequested(now_ms))
    with anyio.fail_after(SHUTDOWN_TIMEOUT_S):
        for exited in cluster.exited:
            await exited.wait()
    return f"{len(cluster.entries)} entries finished their work and exited"


async def _read_until_reclaim(cluster: Cluster) -> tuple[str, str]:
    """Read a stream and reclaim its engine and entry during it.

    Returns the request id and the text received before the reclaim.
    """
    received = ""
    decoder = sse.Decoder()
    async with cluster.http.stream(
        "POST",
        cluster.url(0) + "/v1/services/dossier/draft",
        headers=_headers() | {"Accept": sse.MEDIA_TYPE},
        json={"prompt": PROMPT, "max_tokens": STREAM_TOKENS},
    ) as response:
        request_id = response.headers["X-Request-Id"]
        async for data in response.aiter_bytes():
            for event in decoder.feed(data):
                received += str(json.loads(event.data)["text"])
                if int(event.event_id) == RECLAIM_AFTER_TOKENS:
                    await _reclaim_vms(cluster, request_id)
                    return request_id, received
    raise DemoError("the stream ended before the reclaim")


async def _reclaim_vms(cluster: Cluster, request_id: str) -> None:
    """Reclaim the engine and the entry that serve a request.

    Once the entry has received the notice, the engine's streams are cut, as
    happens when its VM terminates.
    """
    simulated_cloud = cluster.platform.standin.cloud
    now_ms = cluster.platform.standin.clock.now_ms()
    simulated_cloud.reclaim(_notice("entry-0"), now_ms)
    leaving = cluster.entries[0].bridge.state.upstreams.leaving
    for vm_id, started in cluster.engines.items():
        if request_id not in started.standin.batch.generations:
            continue
        simulated_cloud.reclaim(_notice(vm_id), now_ms)
        leaving_key = (vm_id, started.standin.incarnation)
        with anyio.fail_after(READY_TIMEOUT_S):
            while leaving_key not in leaving:
                await anyio.sleep(0.05)
        started.standin.switches.update(leaving=True, cut_streams=3)
        return


def _notice(vm_id: str) -> cloud.Reclaim:
    return cloud.Reclaim(RECLAIM_NOTICE_MS, vm_id=vm_id)


async def _resume_stream(cluster: Cluster, request_id: str) -> str:
    """Resume the stream at another entry; return the text after the offset."""
    received = ""
    decoder = sse.Decoder()
    async with cluster.http.stream(
        "GET",
        cluster.url(1) + f"/v1/requests/{request_id}/output",
        headers=_headers()
        | {
            "Accept": sse.MEDIA_TYPE,
            "Last-Event-ID": str(RECLAIM_AFTER_TOKENS),
        },
    ) as response:
        async for data in response.aiter_bytes():
            for event in decoder.feed(data):
                document = json.loads(event.data)
                if event.name == "end":
                    return received
                if event.name == "error":
                    raise DemoError(event.data)
                received += str(document["text"])
    raise DemoError("the resumed stream ended without an end marker")


def _headers() -> dict[str, str]:
    return {"Authorization": f"Bearer {CUSTOMER_KEY}"}
