"""The process of an entry: starts its tasks and waits for the exit signal."""

from __future__ import annotations

import os
import random
import time

import anyio

from laburnumpin import clock
from laburnumpin import signals
from laburnumpin.forwarding import buffers
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
from laburnumpin.forwarding import withholding_store
from laburnumpin.forwarding.registrations import history
from laburnumpin.forwarding.rollouts import documents as rollout_documents
from laburnumpin.forwarding.rollouts import holder
from laburnumpin.forwarding.rollouts import orders
from laburnumpin.server import logs
from laburnumpin.server import stop_signals
from laburnumpin.server import tasks

# The process exits this long before the platform would kill it.
EXIT_MARGIN_MS = 1_000
# Callers may still send new requests for this long after the exit signal.
MIN_DRAIN_MS = 3_200
EXIT_CHECK_PERIOD_S = 0.05


async def serve(
    settings: forwarding_settings.ForwardingSettings,
    wire: interfaces.Wire,
    documents: interfaces.Documents,
    clients: interfaces.Clients,
    inbox: signals.Inbox,
    rollouts: rollout_documents.RolloutDocuments | None = None,
) -> None:
    """Serve requests until SIGTERM or SIGINT, then drain and return."""
    if (
        stop_signals.take_signals(inbox, signals.Phase.STARTING)
        is signals.Action.EXIT
    ):
        return
    boot_clock = clock.BootClock()
    incarnation_ms = time.time_ns() // 1_000_000
    own_contact = membership.Contact(
        settings.name,
        settings.peer_address,
        settings.zone,
        settings.link_mbps,
    )
    state = forwarding_state.ForwardingState(
        own_contact,
        incarnation_ms,
        settings.retry_limit,
        settings.usage_window_ms,
        random.Random(f"{settings.name}/{incarnation_ms}"),
        settings.quota_slack_units,
        settings.withholding,
        settings.backoff,
        settings.rollouts,
    )
    if not settings.is_first_start:
        state.budget.withhold_slack(boot_clock.now_ms())
    for seed_address in settings.seeds:
        state.members.add_contact(seed_address, boot_clock.now_ms())
    async with anyio.create_task_group() as task_group:
        runner = tasks.TaskRunner(task_group)
        upstream_pool = pool.Pool(boot_clock)
        engines = clients.engines()
        shell = shells.Shell(
            state, wire, upstream_pool, runner, boot_clock, engines
        )
        shell.buffers = buffers.Budget(settings.buffers)
        shell.admission = settings.admission
        shell.end_checks.timeout_ms = settings.answers.end_check_timeout_ms
        store = clients.store(settings)
        cloud = clients.cloud(settings)
        withheld_parts = withholding_store.WithholdingStore(shell, store)
        rollout_holder = None
        if rollouts is not None and settings.rollouts is not None:
            rollout_holder = holder.RolloutHolder(shell, store, rollouts)

        async def load_shared_rows() -> None:
            await withheld_parts.load()
            if rollout_holder is not None:
                await rollout_holder.load()

        synchronizer = synchronization.Synchronizer(
            shell,
            store,
            documents,
            load_shared_rows,
            settings.call_times,
            settings.max_configuration_bytes,
            history.hold_ms(settings.upstream_heartbeat_ms),
        )
        if rollouts is not None and rollout_holder is not None:
            order_reader = orders.OrderReader(shell, rollouts)
            synchronizer.on_operator_rows = order_reader.read
            rollout_holder.on_read = order_reader.check_withdrawn
        peer_exchange = peer_link.PeerLink(
            shell, synchronizer, settings.peer_address
        )
        caller_frontend = frontend.Frontend(shell)
        runner.keep_running(peer_exchange.serve)
        runner.keep_running(caller_frontend.serve, settings.caller_address)
        runner.keep_running(probes.serve, shell, settings.readiness_address)
        for table in synchronization.FOLLOWED:
            runner.keep_running(synchronizer.watch_table, table)
        runner.keep_running(synchronizer.register_and_poll_entries, own_contact)
        runner.keep_running(peer_exchange.maintain_relay_links)
        runner.keep_running(withheld_parts.run)
        duty_runner = duties.Duties(
            shell,
            store,
            cloud,
            settings,
            synchronizer.on_tick,
            rollout_holder,
        )
        runner.keep_running(duty_runner.run)
        logs.write(
            "entry_started",
            "info",
            {
                "caller_address": settings.caller_address,
                "peer_address": settings.peer_address,
                "incarnation": incarnation_ms,
                "pid": os.getpid(),
                "changes_wait_ms": settings.call_times.changes_wait_ms,
                "staleness_ms": settings.call_times.staleness_ms,
            },
        )
        await _wait_for_exit(shell, caller_frontend, settings, inbox)
        task_group.cancel_scope.cancel()
    logs.write("entry_exited", "info", {"active": caller_frontend.active})


async def _wait_for_exit(
    shell: shells.Shell,
    caller_frontend: frontend.Frontend,
    settings: forwarding_settings.ForwardingSettings,
    inbox: signals.Inbox,
) -> None:
    """Wait for a signal to exit, then drain."""
    phase = signals.Phase.SERVING
    while stop_signals.take_signals(inbox, phase) is not signals.Action.DRAIN:
        await anyio.wait_readable(inbox)
    requested_ms = shell.now_ms()
    exit_in_ms = settings.exit_ms - EXIT_MARGIN_MS
    shell.leave(exit_in_ms)
    while shell.now_ms() < requested_ms + exit_in_ms:
        await anyio.sleep(EXIT_CHECK_PERIOD_S)
        stop_signals.take_signals(inbox, signals.Phase.DRAINING)
        min_elapsed = shell.now_ms() >= requested_ms + MIN_DRAIN_MS
        if min_elapsed and caller_frontend.active == 0:
            return
    await caller_frontend.end_requests()
