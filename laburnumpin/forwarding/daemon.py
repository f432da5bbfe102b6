"""The process that forwards requests."""

from __future__ import annotations

import os
import random
import signal
import time

import anyio

from laburnumpin import clock
from laburnumpin.forwarding import duties
from laburnumpin.forwarding import frontend
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import membership
from laburnumpin.forwarding import peer_link
from laburnumpin.forwarding import pool
from laburnumpin.forwarding import probes
from laburnumpin.forwarding import settings as forwarding_settings
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import synchronization
from laburnumpin.server import logs
from laburnumpin.server import tasks

# The process exits this long before it would be killed.
EXIT_MARGIN_MS = 1_000
# New requests are expected for this long after the request to exit.
MIN_EXIT_MS = 3_200
EXIT_POLL_S = 0.05


async def serve(
    settings: forwarding_settings.ForwardingSettings,
    wire: interfaces.Wire,
    documents: interfaces.Documents,
    clients: interfaces.Clients,
) -> None:
    """Serve until a signal asks for the exit."""
    boot_clock = clock.BootClock()
    incarnation_ms = time.time_ns() // 1_000_000
    own = membership.Contact(
        settings.name,
        settings.peer_address,
        settings.zone,
        settings.link_mbps,
    )
    state = forwarding_state.ForwardingState(
        own,
        incarnation_ms,
        settings.retry_limit,
        settings.usage_window_ms,
        random.Random(f"{settings.name}/{incarnation_ms}"),
        settings.quota_slack_units,
    )
    for seed in settings.seeds:
        state.members.add_contact(seed, boot_clock.now_ms())
    async with anyio.create_task_group() as task_group:
        runner = tasks.TaskRunner(task_group)
        upstream_pool = pool.Pool(boot_clock, task_group)
        engines = clients.engines(task_group)
        shell = shells.Shell(
            state, wire, upstream_pool, runner, boot_clock, engines
        )
        store = clients.store(settings, task_group)
        cloud = clients.cloud(settings, task_group)
        follower = synchronization.Synchronizer(shell, store, documents)
        link = peer_link.PeerLink(shell, follower, settings.peer_address)
        callers = frontend.Frontend(shell)
        runner.start(link.serve)
        runner.start(callers.serve, settings.caller_address)
        runner.start(probes.serve, shell, settings.readiness_address)
        runner.start(follower.follow, interfaces.Table.OPERATOR)
        runner.start(follower.follow, interfaces.Table.UPSTREAMS)
        runner.start(follower.join, own)
        runner.start(link.keep_links)
        holder = duties.Duties(shell, store, cloud, settings)
        runner.start(holder.run)
        logs.write(
            "entry_started",
            "info",
            {
                "caller_address": settings.caller_address,
                "peer_address": settings.peer_address,
                "incarnation": incarnation_ms,
                "pid": os.getpid(),
            },
        )
        await _wait_for_exit(shell, callers, settings)
        task_group.cancel_scope.cancel()
    logs.write("entry_exited", "info", {"active": callers.active})


async def _wait_for_exit(
    shell: shells.Shell,
    callers: frontend.Frontend,
    settings: forwarding_settings.ForwardingSettings,
) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        async for number in received:
            logs.write(
                "signal_received",
                "info",
                {"signal": signal.Signals(number).name},
            )
            if number == signal.SIGHUP:
                # The settings name addresses only, which are bound already.
                continue
            break
    shell.leave()
    asked_ms = shell.now_ms()
    last_ms = asked_ms + settings.exit_ms - EXIT_MARGIN_MS
    while shell.now_ms() < last_ms:
        await anyio.sleep(EXIT_POLL_S)
        waited = shell.now_ms() >= asked_ms + MIN_EXIT_MS
        if waited and callers.active == 0:
            return
