"""The duties of the entry that holds the lease: usage and upstream orders."""

from __future__ import annotations

import json
import time

import anyio

from laburnumpin import exceptions
from laburnumpin.forwarding import autoscaling
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import lease as leases
from laburnumpin.forwarding import settings as forwarding_settings
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding import usage
from laburnumpin.server import logs

LEASE_KEY = "lease"
TICK_MS = 100
# The same where there are many entries, whose digests are further apart.
LARGE_TICK_MS = 200
# Pause of the duties' loops while another entry holds the lease.
IDLE_MS = 400
# Time after the end of a window at which the entries' counts are complete.
SETTLE_MS = 2_500
# The last report goes out this long before it would be too late.
LATE_MARGIN_MS = 500
# Windows whose rows are kept in the store.
KEPT_ROWS = 8
# Entries that try for a lease that nobody holds, and the time after which one
# more of them does.
CANDIDATES = 3
WIDEN_MS = 1_000
# Entries that start together try for the lease within this time, one after the
# other: the first one is heard by the rest.
FIRST_TRY_MS = 800
# Pause between two looks at the upstreams that are ordered.
SCALE_PERIOD_MS = 500

Table = interfaces.Table


async def fix_counts(
    store: interfaces.StoreClient, window: int, counts: usage.Counts
) -> usage.Counts:
    """Return the counts of a window that every holder reports.

    The first holder writes its counts to the store; a report is then repeated
    by anyone without a difference.

    Raises:
        LaburnumpinError: The store cannot be used.
    """
    key = str(window)
    try:
        await store.write(Table.USAGE, key, json.dumps(counts).encode(), 0)
    except interfaces.ConflictError:
        rows = await store.read(Table.USAGE)
        for row in rows.rows:
            if row.key == key and row.value is not None:
                return dict(json.loads(row.value))
        raise
    if window % KEPT_ROWS == 0:
        old = range(window - 2 * KEPT_ROWS, window - KEPT_ROWS)
        await store.remove(Table.USAGE, tuple(str(number) for number in old))
    return counts


class Duties:
    """Runs the lease, and the duties while it is held."""

    __slots__ = (
        "_cloud",
        "_first_try_ms",
        "_held_ms",
        "_lease",
        "_next_scale_ms",
        "_reported",
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
    ) -> None:
        self._shell = shell
        self._store = store
        self._cloud = cloud
        self._settings = settings
        self._lease = leases.Lease(settings.name, settings.lease_ms)
        self._scaler = autoscaling.Autoscaler()
        self._next_scale_ms = 0
        # When the lease was last known to be held by anyone.
        self._held_ms = shell.now_ms()
        self._first_try_ms = self._held_ms + int(
            shell.state.random.uniform(0, FIRST_TRY_MS)
        )
        # The newest window that is known to be reported.
        self._reported: int | None = None
        self._was_holder = False

    async def run(self) -> None:
        """Tick until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._keep_lease)
            if "usage" in self._settings.duties:
                task_group.start_soon(self._report_usage)
            if "upstreams" in self._settings.duties:
                task_group.start_soon(self._order_upstreams)
            while True:
                # The VM's own time of day: the entries agree on the median.
                own_wall_ms = time.time_ns() // 1_000_000
                self._shell.apply(
                    events.Ticked(self._shell.now_ms(), own_wall_ms)
                )
                await anyio.sleep(self._tick_ms() / 1_000)

    def _tick_ms(self) -> int:
        if self._shell.state.members.uses_relays():
            return LARGE_TICK_MS
        return TICK_MS

    def _may_act(self) -> bool:
        return self._lease.may_act(self._shell.now_ms())

    async def _keep_lease(self) -> None:
        while True:
            await anyio.sleep(self._tick_ms() / 1_000)
            now_ms = self._shell.now_ms()
            self._note_holder(now_ms)
            members = self._shell.state.members
            holder_heard = members.holder_heard(now_ms, self._settings.lease_ms)
            if holder_heard or self._lease.holds(now_ms):
                self._held_ms = now_ms
            call = self._lease.next_call(
                now_ms,
                eligible=self._is_candidate(now_ms),
                holder_heard=holder_heard,
            )
            if call is None:
                continue
            try:
                if isinstance(call, leases.ReadLease):
                    row = await self._read_lease()
                    self._lease.read(row, self._shell.now_ms())
                    continue
                value = json.dumps(
                    {
                        "fencing_token": call.row.fencing_token,
                        "holder": call.row.holder,
                        "token": call.row.token,
                    }
                )
                version = await self._store.write(
                    Table.DUTIES,
                    LEASE_KEY,
                    value.encode(),
                    call.expected_version,
                )
                self._lease.written(version, self._shell.now_ms())
            except interfaces.ConflictError:
                self._lease.conflicted(self._shell.now_ms())
                logs.write("lease_conflict", "info", {})
            except exceptions.LaburnumpinError as error:
                self._lease.lost(self._shell.now_ms())
                logs.write(
                    "lease_call_failed",
                    "info",
                    {"code": error.code, "reason": error.message},
                )

    def _is_candidate(self, now_ms: int) -> bool:
        """Return whether this entry may hold the lease, or try for it.

        A few entries watch the row of a holder that is not heard; the longer
        it stays without one, the more of them.
        """
        if not self._shell.is_ready() or now_ms < self._first_try_ms:
            return False
        if self._lease.holds(now_ms) or not self._lease.was_read:
            return True
        state = self._shell.state
        names = [peer.name for peer in state.members.live(now_ms)]
        rank = sum(1 for name in names if name < state.name)
        waited_ms = now_ms - self._held_ms
        return rank < CANDIDATES + waited_ms // WIDEN_MS

    async def _read_lease(self) -> leases.Row:
        rows = await self._store.read(Table.DUTIES)
        for row in rows.rows:
            if row.key != LEASE_KEY or row.value is None:
                continue
            fields = json.loads(row.value)
            return leases.Row(
                row.version,
                int(fields["fencing_token"]),
                str(fields["holder"]),
                str(fields["token"]),
            )
        return leases.Row(0, 0, "", "")

    def _note_holder(self, now_ms: int) -> None:
        holds = self._lease.holds(now_ms)
        token = self._lease.fencing_token if holds else 0
        self._shell.state.lease_token = token
        if holds == self._was_holder:
            return
        self._was_holder = holds
        self._reported = None
        self._scaler = autoscaling.Autoscaler()
        logs.write(
            "lease_changed",
            "info",
            {"held": holds, "fencing_token": self._lease.fencing_token},
        )

    async def _report_usage(self) -> None:
        while True:
            pause_ms = TICK_MS if self._may_act() else IDLE_MS
            await anyio.sleep(pause_ms / 1_000)
            if not self._may_act():
                continue
            try:
                await self._report_due()
            except interfaces.FencedError:
                self._fenced()
            except exceptions.LaburnumpinError as error:
                logs.write(
                    "usage_not_reported",
                    "info",
                    {"code": error.code, "reason": error.message},
                )
                await anyio.sleep(0.2)

    async def _report_due(self) -> None:
        counted = self._shell.state.usage
        wall_ms = self._shell.wall_ms()
        newest = counted.window_of(wall_ms - SETTLE_MS) - 1
        late_ms = self._settings.usage_late_ms - LATE_MARGIN_MS
        oldest = counted.window_of(wall_ms - late_ms)
        if self._reported is None:
            self._reported = oldest - 1
        window = max(self._reported + 1, oldest)
        if window > newest:
            return
        counts = await fix_counts(self._store, window, counted.total(window))
        if not self._may_act():
            return
        await self._cloud.report_usage(
            self._lease.fencing_token, window, counts
        )
        self._reported = window
        logs.write(
            "usage_reported",
            "info",
            {
                "window": window,
                "requests": sum(counts.values()),
                "fencing_token": self._lease.fencing_token,
            },
        )

    async def _order_upstreams(self) -> None:
        while True:
            pause_ms = TICK_MS if self._may_act() else IDLE_MS
            await anyio.sleep(pause_ms / 1_000)
            now_ms = self._shell.now_ms()
            if not self._may_act() or now_ms < self._next_scale_ms:
                continue
            self._next_scale_ms = now_ms + SCALE_PERIOD_MS
            for order in self._scaler.due_orders(self._shell.state, now_ms):
                if not self._may_act():
                    break
                await self._place(order)

    async def _place(self, order: autoscaling.Order) -> None:
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
            self._scaler.record_accepted(order, self._shell.now_ms())
        except interfaces.OrderRefusedError as error:
            outcome = "refused"
            fields["reason"] = error.message
            self._scaler.record_refused(order, self._shell.now_ms())
        except interfaces.FencedError:
            outcome = "fenced"
            self._fenced()
        except exceptions.LaburnumpinError as error:
            outcome = error.code
            self._scaler.record_unknown(order, self._shell.now_ms())
        logs.write("upstreams_ordered", "info", {**fields, "outcome": outcome})

    def _fenced(self) -> None:
        logs.write(
            "lease_fenced",
            "warning",
            {"fencing_token": self._lease.fencing_token},
        )
        self._lease.drop()
