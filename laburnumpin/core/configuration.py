"""The configuration in force at this entry."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from laburnumpin import exceptions
from laburnumpin.config import loading
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import messages
from laburnumpin.core import store

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

TABLE = "configuration"
CURRENT_KEY = "current"
MIN_POLL_PERIOD_MS = 2_000
# Neither store nor peer contact for this long: no new work is accepted.
CONFIRMATION_MAX_AGE_MS = 16_000


class ConfigurationState:
    """The version in force and when it was last confirmed."""

    __slots__ = ("confirmed_ms", "current", "next_poll_ms", "pending")

    def __init__(self) -> None:
        self.current: deployment.Configuration | None = None
        self.confirmed_ms = 0
        self.next_poll_ms = 0
        self.pending: store.OperationId | None = None


def is_confirmed(state: entry_state.EntryState, now_ms: int) -> bool:
    """Return whether the entry may take its version for current."""
    age_ms = now_ms - state.configuration.confirmed_ms
    return age_ms <= CONFIRMATION_MAX_AGE_MS


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Read the current row when due."""
    own = state.configuration
    if own.pending is not None or event.now_ms < own.next_poll_ms:
        return []
    own.next_poll_ms = event.now_ms + MIN_POLL_PERIOD_MS
    own.pending = state.new_operation(store.StoreModule.CONFIGURATION)
    return [effects.ReadRows(own.pending, TABLE, (CURRENT_KEY,))]


def on_store_event(
    state: entry_state.EntryState, event: events.StoreEvent
) -> list[effects.Effect]:
    """Take over what the store holds."""
    own = state.configuration
    if event.operation_id != own.pending:
        return []
    own.pending = None
    if not isinstance(event, events.RowsRead):
        state.counters.increment("platform_failures", "configuration")
        return []
    row = event.rows[0]
    if row.value is None:
        return []
    own.confirmed_ms = event.now_ms
    value = json.loads(row.value)
    return adopt(
        state,
        int(value["version"]),
        str(value["change_id"]),
        str(value["document"]),
    )


def adopt(
    state: entry_state.EntryState, version: int, change_id: str, document: str
) -> list[effects.Effect]:
    """Put a version in force if it is higher than the present one."""
    own = state.configuration
    present = 0 if own.current is None else own.current.version
    if version < present:
        state.counters.increment("configuration_older_ignored")
    if version <= present:
        return []
    try:
        checked = loading.load_document(document)
    except exceptions.ConfigurationError as error:
        state.counters.increment("configuration_invalid")
        return [
            effects.Log(
                "configuration_invalid",
                "error",
                {"version": version, "error": error.message},
            )
        ]
    own.current = deployment.Configuration(
        version, change_id, document, checked
    )
    return [
        effects.Log(
            "configuration_adopted",
            "info",
            {"version": version, "change_id": change_id},
        )
    ]


def on_digest(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Digest,
) -> list[effects.Effect]:
    """Pull from a peer that has a higher version."""
    return []


def on_pull(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.ConfigurationPull,
) -> list[effects.Effect]:
    """Answer a peer that asks for a higher version."""
    return []


def on_push(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.ConfigurationPush,
) -> list[effects.Effect]:
    """Take over a version that a peer sent."""
    return []
