"""The duties of the entry that holds the lease.

The entries elect one holder by a lease in the store. The holder reports the
customers' usage to the platform and orders upstreams.
"""

from __future__ import annotations

from collections.abc import Callable
import json
import time

import anyio
from anyio import abc

from laburnumpin import exceptions
from laburnumpin.forwarding import autoscaling
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import lease as leases
from laburnumpin.forwarding import settings as forwarding_settings
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.rollouts import holder
from laburnumpin.forwarding.usage_reports import reporter
from laburnumpin.server import logs

LEASE_KEY = "lease"
# Longest row of a duty, and longest name of the write that made it.
MAX_ROW_BYTES = 1_048_576
MAX_TOKEN_CHARS = 1_000
# Period of the ticks and of the checks of the lease, and pause of the duties'
# loops while this entry may act.
TICK_MS = 100
# Period of the ticks and checks in fleets that use relays, whose digests are
# further apart.
LARGE_FLEET_TICK_MS = 200
# Number of entries that contend for a lease without a holder, and the time
# after which one more does.
LEASE_CONTENDERS = 3
CONTENDER_INTERVAL_MS = 1_000
# Entries that start together contend at random times within this span, so that
# the later ones receive a digest of the holder before they contend.
FIRST_ELECTION_SPREAD_MS = 800
# Pause between two runs of the autoscaler.
AUTOSCALING_PERIOD_MS = 500

Table = interfaces.Table


class Duties:
    """Contends for the lease, and performs the duties while it is held."""

    __slots__ = (
        "_cloud",
        "_first_election_ms",
        "_holder_event",
        "_is_lease_call_running",
        "_last_held_ms",
        "_lease",
        "_next_scale_ms",
        "_on_tick",
        "_reporter",
        "_rollouts",
        "_scaler",
        "_settings",
        "_shell",
        "_store",
        "_was_holder",
    )

    def __init__(
        self,
        shell: shells.Shell,
        store: interfaces.StoreClient,
        cloud: interfaces.CloudClient,
        settings: forwarding_settings.ForwardingSettings,
        on_tick: Callable[[], None],
        rollouts: holder.RolloutHolder | None = None,
    ) -> None:
        self._shell = shell
        self._rollouts = rollouts
        # Called after each tick.
        self._on_tick = on_tick
        self._store = store
        self._reporter = reporter.UsageReporter(shell, store, cloud, settings)
        self._cloud = cloud
        self._settings = settings
        self._lease = leases.Lease(
            settings.name,
            settings.lease_ms,
            is_first_start=settings.is_first_start,
        )
        self._scaler = autoscaling.Autoscaler()
        self._next_scale_ms = 0
        # When any entry was last known to hold the lease.
        self._last_held_ms = shell.now_ms()
        self._first_election_ms = self._last_held_ms + int(
            shell.state.random.uniform(0, FIRST_ELECTION_SPREAD_MS)
        )
        self._was_holder = False
        # Set while this entry holds the lease.
        self._holder_event = anyio.Event()
        self._is_lease_call_running = False

    async def run(self) -> None:
        """Run the ticks, the lease and the set duties until cancelled."""
        async with anyio.create_task_group() as task_group:
            if "usage" in self._settings.duties:
                task_group.start_soon(self._report_usage)
                task_group.start_soon(self._reporter.run)
            if "upstreams" in self._settings.duties:
                task_group.start_soon(self._order_upstreams)
            if self._rollouts is not None:
                task_group.start_soon(
                    self._rollouts.run,
                    self._may_act,
                    lambda: self._lease.fencing_token,
                )
            while True:
                # The VM's own clock; the entries use the median of all.
                own_wall_ms = time.time_ns() // 1_000_000
                self._shell.apply(
                    events.Ticked(self._shell.now_ms(), own_wall_ms)
                )
                self._check_lease(task_group)
                self._on_tick()
                await anyio.sleep(self._tick_ms() / 1_000)

    def _tick_ms(self) -> int:
        if self._shell.state.members.uses_relays():
            return LARGE_FLEET_TICK_MS
        return TICK_MS

    def _may_act(self) -> bool:
        return self._lease.may_act(self._shell.now_ms())

    def _check_lease(self, task_group: abc.TaskGroup) -> None:
        """Note a change of the holder, and start the next call if one is due.

        At most one call runs at a time.
        """
        now_ms = self._shell.now_ms()
        state = self._shell.state
        self._lease.note_era(state.store_era, state.highest_lease_token, now_ms)
        self._update_holder(now_ms)
        members = self._shell.state.members
        holder_is_live = members.holder_is_live(now_ms, self._settings.lease_ms)
        if holder_is_live or self._lease.holds(now_ms):
            self._last_held_ms = now_ms
        if self._is_lease_call_running:
            return
        call = self._lease.next_call(
            now_ms,
            eligible=self._is_contender(now_ms),
            holder_is_live=holder_is_live,
        )
        if call is not None:
            self._is_lease_call_running = True
            task_group.start_soon(self._call_lease_row, call)

    async def _call_lease_row(
        self, call: leases.ReadLease | leases.WriteLease
    ) -> None:
        """Read or write the row of the lease."""
        try:
            if isinstance(call, leases.ReadLease):
                row, era = await self._read_lease()
                self._lease.apply_read(row, self._shell.now_ms(), era)
                return
            value = json.dumps(
                {
                    "fencing_token": call.row.fencing_token,
                    "holder": call.row.holder,
                    "token": call.row.token,
                    "era": call.row.era,
                }
            )
            position = await self._store.write(
                Table.DUTIES,
                LEASE_KEY,
                value.encode(),
                call.expected_version,
            )
            self._shell.note_store_era(position.era)
            self._lease.apply_write(
                position.version, self._shell.now_ms(), position.era
            )
        except interfaces.ConflictError as error:
            self._lease.apply_conflict(self._shell.now_ms(), error.era)
            logs.write("lease_conflict", "info", {})
        except exceptions.LaburnumpinError as error:
            self._lease.apply_failure(self._shell.now_ms())
            logs.write(
                "lease_call_failed",
                "info",
                {"code": error.code, "reason": error.message},
            )
        finally:
            self._is_lease_call_running = False
            self._update_holder(self._shell.now_ms())

    def _is_contender(self, now_ms: int) -> bool:
        """Return whether this entry may hold the lease or contend for it.

        Only a few entries contend after the holder has timed out; the longer
        the lease has no holder, the more do. Every entry reads the row once
        after its start.
        """
        if not self._shell.is_ready() or now_ms < self._first_election_ms:
            return False
        if self._lease.holds(now_ms) or not self._lease.was_read:
            return True
        state = self._shell.state
        names = [peer.name for peer in state.members.live(now_ms)]
        rank = sum(1 for name in names if name < state.name)
        waited_ms = now_ms - self._last_held_ms
        return rank < LEASE_CONTENDERS + waited_ms // CONTENDER_INTERVAL_MS

    async def _read_lease(self) -> tuple[leases.Row, int]:
        """Return the row of the lease, and the store's era."""
        rows = await self._store.read(Table.DUTIES)
        self._shell.note_store_era(rows.era)
        for row in rows.rows:
            if row.key != LEASE_KEY or row.value is None:
                continue
            return _decode_lease_row(row.version, row.value), rows.era
        return leases.Row(0, 0, "", ""), rows.era

    def _update_holder(self, now_ms: int) -> None:
        """Set the token for digests; reset the duties on gain or loss."""
        holds = self._lease.holds(now_ms)
        token = self._lease.fencing_token if holds else 0
        self._shell.state.lease_token = token
        if holds == self._was_holder:
            return
        self._was_holder = holds
        if holds:
            self._holder_event.set()
        else:
            self._holder_event = anyio.Event()
        self._reporter.on_lease_changed(is_holder=holds)
        self._scaler = autoscaling.Autoscaler()
        logs.write(
            "lease_changed",
            "info",
            {"held": holds, "fencing_token": self._lease.fencing_token},
        )

    async def _report_usage(self) -> None:
        while True:
            await self._holder_event.wait()
            await anyio.sleep(TICK_MS / 1_000)
            if not self._may_act():
                continue
            try:
                await self._reporter.report_next(
                    self._may_act, self._lease.fencing_token
                )
            except interfaces.FencedError:
                self._on_fenced()
            except exceptions.LaburnumpinError as error:
                logs.write(
                    "usage_not_reported",
                    "info",
                    {"code": error.code, "reason": error.message},
                )
                await anyio.sleep(0.2)

    async def _order_upstreams(self) -> None:
        while True:
            await self._holder_event.wait()
            await anyio.sleep(TICK_MS / 1_000)
            now_ms = self._shell.now_ms()
            if not self._may_act() or now_ms < self._next_scale_ms:
                continue
            self._next_scale_ms = now_ms + AUTOSCALING_PERIOD_MS
            scaler = self._scaler
            for order in scaler.due_orders(self._shell.state, now_ms):
                if not self._may_act() or scaler is not self._scaler:
                    break
                await self._place_order(scaler, order)

    async def _place_order(
        self, scaler: autoscaling.Autoscaler, order: autoscaling.Order
    ) -> None:
        """Place an order of `scaler`, which a lost lease may replace."""
        fields: dict[str, str | int | float | bool | None] = {
            "service": order.service,
            "zone": order.zone,
            "count": order.count,
            "reclaimable": order.reclaimable,
            "load_engines": round(order.load_engines, 2),
            "needed": order.needed_engines,
            "fencing_token": self._lease.fencing_token,
        }
        outcome = "accepted"
        try:
            await self._cloud.order_upstreams(
                self._lease.fencing_token,
                order.service,
                order.zone,
                order.count,
                reclaimable=order.reclaimable,
            )
            scaler.record_accepted(order, self._shell.now_ms())
        except interfaces.OrderRefusedError as error:
            outcome = "refused"
            fields["reason"] = error.message
            scaler.record_refused(order, self._shell.now_ms())
        except interfaces.FencedError:
            outcome = "fenced"
            self._on_fenced()
        except exceptions.LaburnumpinError as error:
            outcome = error.code
            scaler.record_unknown(order, self._shell.now_ms())
        logs.write("upstreams_ordered", "info", {**fields, "outcome": outcome})

    def _on_fenced(self) -> None:
        logs.write(
            "lease_fenced",
            "warning",
            {"fencing_token": self._lease.fencing_token},
        )
        self._lease.revoke()


def _decode_lease_row(version: int, value: bytes) -> leases.Row:
    """Return the row of the lease.

    Raises:
        DocumentError: The row is malformed. It is not overwritten, since its
            fencing token is unknown.
    """
    fields = untrusted.parse_json(value, MAX_ROW_BYTES)
    fencing_token = untrusted.required(fields, "fencing_token")
    return leases.Row(
        version,
        untrusted.integer(fencing_token, "fencing_token"),
        untrusted.text(untrusted.required(fields, "holder"), "holder"),
        untrusted.text(
            untrusted.required(fields, "token"), "token", MAX_TOKEN_CHARS
        ),
        # Entries of an earlier release do not write it.
        untrusted.integer(fields.get("era", 0), "era"),
    )
