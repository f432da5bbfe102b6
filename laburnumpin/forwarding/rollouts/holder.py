"""The duty of the lease holder that decides on roll-outs.

A decision is written to its row in the store before any entry acts on it, and
the operator's status row follows from the written decision alone. Both are
written under the condition that their row has not changed since it was read, so
that a holder that was frozen past its lease writes nothing over its successor.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from laburnumpin import exceptions
from laburnumpin.forwarding import events
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import shell as shells
from laburnumpin.forwarding.rollouts import codec
from laburnumpin.forwarding.rollouts import documents
from laburnumpin.forwarding.rollouts import model
from laburnumpin.forwarding.rollouts import routing
from laburnumpin.server import logs

# Pause between two steps, and after a call to the store that failed.
STEP_PERIOD_S = 0.2
RETRY_PAUSE_S = 0.3
# The rows are read again after this time, for an operator's requests.
READ_PERIOD_MS = 1_000
# While no holder is heard of for so long, the other entries read the rows with
# this pause, and so much more for each entry.
UNHEARD_HOLDER_MS = 2_500
FOLLOW_PERIOD_MS = 2_000
FOLLOW_PERIOD_MS_PER_ENTRY = 8
# The same failure is logged again after this time.
LOG_PERIOD_MS = 5_000

Table = interfaces.Table


class RolloutHolder:
    """Decides on the roll-outs while this entry holds the lease.

    It keeps no state of its own across a change of the holder: the new one
    reads the rows, and goes on from what is written.
    """

    __slots__ = (
        "_controls",
        "_documents",
        "_is_loaded",
        "_logged_ms",
        "_malformed",
        "_read_ms",
        "_rows",
        "_shell",
        "_status_rows",
        "_store",
        "_token",
        "_written",
        "on_read",
    )

    def __init__(
        self,
        shell: shells.Shell,
        store: interfaces.StoreClient,
        rollout_documents: documents.RolloutDocuments,
    ) -> None:
        self._shell = shell
        self._store = store
        self._documents = rollout_documents
        # Called when the decisions were read.
        self.on_read: Callable[[], None] | None = None
        self._is_loaded = False
        # Fencing token under which the rows were read; None if they have to be
        # read again.
        self._token: int | None = None
        self._read_ms = 0
        # Versions of the decisions' rows, and the decisions in them.
        self._rows: dict[str, int] = {}
        self._written: dict[str, model.Decision] = {}
        self._controls: dict[str, codec.Control] = {}
        # Values and versions of the status rows, by key.
        self._status_rows: dict[str, tuple[bytes, int]] = {}
        self._malformed: dict[str, int] = {}
        self._logged_ms: dict[str, int] = {}

    async def run(
        self, may_act: Callable[[], bool], fencing_token: Callable[[], int]
    ) -> None:
        """Decide and report until cancelled.

        `may_act` is asked right before each write.
        """
        while True:
            await anyio.sleep(STEP_PERIOD_S)
            if not self._services():
                continue
            try:
                if may_act():
                    await self.step(may_act, fencing_token())
                else:
                    self.forget()
                    await self.follow()
            except exceptions.LaburnumpinError as error:
                # The write may have been carried out, or may still be: what
                # the rows hold now decides.
                self.forget()
                self._log_failure(error)
                await anyio.sleep(RETRY_PAUSE_S)

    def forget(self) -> None:
        """Read the rows again before the next write."""
        self._token = None

    async def step(self, may_act: Callable[[], bool], token: int) -> None:
        """Read the rows if need be, and write what is due.

        Raises:
            LaburnumpinError: A call to the store failed, or its outcome is
                unknown, or a row was changed by another writer.
        """
        now_ms = self._shell.now_ms()
        is_due = now_ms >= self._read_ms + READ_PERIOD_MS
        is_due = is_due and bool(self._shell.state.rollouts.services())
        if token != self._token or is_due:
            await self._read()
            await self._read_statuses()
            self._token = token
            self._read_ms = now_ms
        for service in self._services():
            await self._decide(service, may_act, token)
            await self._report(service, may_act)

    async def load(self) -> None:
        """Read the decisions once, when the entry starts.

        Without those of a roll-out that has ended, it would serve none of its
        requests until a peer's digest names them.
        """
        if self._is_loaded:
            return
        try:
            await self._read()
        except exceptions.LaburnumpinError as error:
            self._log_failure(error)
            return
        self._is_loaded = True

    async def follow(self) -> None:
        """Read the decisions while no digest of a holder arrives.

        Raises:
            LaburnumpinError: A call to the store failed.
        """
        state = self._shell.state
        now_ms = self._shell.now_ms()
        if not state.rollouts.services() or state.members.holder_is_live(
            now_ms, UNHEARD_HOLDER_MS
        ):
            return
        pause_ms = FOLLOW_PERIOD_MS
        pause_ms += FOLLOW_PERIOD_MS_PER_ENTRY * state.members.count()
        if now_ms < self._read_ms + pause_ms:
            return
        self._read_ms = now_ms
        await self._read()

    def _services(self) -> list[str]:
        return sorted(self._shell.state.rollout_book.by_service)

    async def _read(self) -> None:
        """Read the decisions and the operator's requests, and apply them."""
        rows = await self._store.read(Table.DUTIES)
        self._shell.note_store_era(rows.era)
        self._rows.clear()
        self._written.clear()
        self._controls.clear()
        for row in rows.rows:
            if row.value is None:
                continue
            if row.key.startswith(codec.DECISION_PREFIX):
                self._read_decision(row, row.value)
            elif row.key.startswith(codec.CONTROL_PREFIX):
                self._read_control(row, row.value)
        decisions = tuple(self._written.values())
        self._shell.apply(
            events.RolloutsDecided(self._shell.now_ms(), decisions, "store")
        )
        if self.on_read is not None:
            self.on_read()

    async def _read_statuses(self) -> None:
        rows = await self._store.read(Table.STATUS)
        self._status_rows.clear()
        for row in rows.rows:
            if row.value is not None:
                self._status_rows[row.key] = (row.value, row.version)

    def _read_decision(self, row: interfaces.Row, value: bytes) -> None:
        service = row.key.removeprefix(codec.DECISION_PREFIX)
        self._rows[service] = row.version
        try:
            decision = codec.decode_row(value)
        except exceptions.DocumentError as error:
            self._log_malformed(row, error)
            return
        if decision.order.service == service:
            self._written[service] = decision

    def _read_control(self, row: interfaces.Row, value: bytes) -> None:
        service = row.key.removeprefix(codec.CONTROL_PREFIX)
        try:
            control = codec.decode_control(value)
        except exceptions.DocumentError as error:
            self._log_malformed(row, error)
            return
        if control.service == service:
            self._controls[service] = control

    async def _decide(
        self, service: str, may_act: Callable[[], bool], token: int
    ) -> None:
        """Write the next decision on a roll-out, if there is one."""
        state = self._shell.state
        order = state.rollout_book.by_service[service].order
        control = self._controls.get(service)
        if control is not None and control.concerns(order):
            state.rollouts.pause(service, control.is_paused)
            if control.is_aborted:
                state.rollouts.abort(service)
        # After a restore of the store, its copy may lack what was decided.
        decision = self._unwritten(service)
        if decision is None:
            decision = state.rollouts.next_decision(
                service,
                self._shell.now_ms(),
                self._shell.wall_ms(),
                token,
                routing.requests_at_previous(state, order),
            )
        if decision is None or not may_act():
            return
        position = await self._store.write(
            Table.DUTIES,
            codec.DECISION_PREFIX + service,
            codec.encode_row(decision),
            self._rows.get(service, 0),
        )
        self._rows[service] = position.version
        self._written[service] = decision
        self._shell.apply(
            events.RolloutsDecided(self._shell.now_ms(), (decision,), "holder")
        )

    def _unwritten(self, service: str) -> model.Decision | None:
        """Return the decision that entries act on, if its row has an older one.

        What was read is known to the state by now, so the row is not newer.
        """
        for decision in self._shell.state.rollouts.decisions():
            if decision.order.service == service:
                is_written = self._written.get(service) == decision
                return None if is_written else decision
        return None

    async def _report(self, service: str, may_act: Callable[[], bool]) -> None:
        """Write the status of a roll-out if it is missing or another one."""
        decision = self._written.get(service)
        if decision is None:
            return
        key, value = self._documents.encode_state(decision)
        known, version = self._status_rows.get(key, (b"", 0))
        if known == value or not may_act():
            return
        position = await self._store.write(Table.STATUS, key, value, version)
        self._status_rows[key] = (value, position.version)
        self._shell.state.counters.increment(
            "rollout_statuses", decision.stage.value
        )
        logs.write(
            "rollout_status",
            "info",
            {
                "service": service,
                "target_version": decision.order.target_version,
                "stage": decision.stage.value,
                "reason": decision.reason,
                "fencing_token": decision.fencing_token,
            },
        )

    def _log_malformed(
        self, row: interfaces.Row, error: exceptions.DocumentError
    ) -> None:
        if self._malformed.get(row.key) == row.version:
            return
        if len(self._malformed) >= codec.MAX_DECISIONS:
            self._malformed.clear()
        self._malformed[row.key] = row.version
        self._shell.state.counters.increment("rollout_rows_malformed")
        logs.write(
            "rollout_row_malformed",
            "warning",
            {"row": row.key, "code": error.code, "reason": error.message},
        )

    def _log_failure(self, error: exceptions.LaburnumpinError) -> None:
        now_ms = self._shell.now_ms()
        self._shell.state.counters.increment("rollout_calls_failed", error.code)
        if now_ms < self._logged_ms.get(error.code, -LOG_PERIOD_MS) + (
            LOG_PERIOD_MS
        ):
            return
        self._logged_ms[error.code] = now_ms
        logs.write(
            "rollout_not_written",
            "info",
            {"code": error.code, "reason": error.message},
        )
