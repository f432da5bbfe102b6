"""The configuration in force at this entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumpin import exceptions
from laburnumpin.config import loading
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import membership
from laburnumpin.core import messages
from laburnumpin.core import store
from laburnumpin.core import versions

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

MIN_POLL_PERIOD_MS = 2_000
# Share of the store's reads that all entries together use for polling.
POLL_READS_PER_S = 400
READ_TIMEOUT_MS = 5_000
PULL_TIMEOUT_MS = 1_000
# Without contact to the store or a peer for this long, an entry cannot know
# whether its version is current and accepts no new work.
CONTACT_MAX_AGE_MS = 16_000
# A gap between ticks of this length means that the process was paused.
PAUSE_MS = 3_000
# After a pause, messages that waited in buffers prove no contact.
DISTRUST_MS = 3_000


class ConfigurationState:
    """The version in force and the last contacts.

    `confirmed_ms` is when the store was last known to hold no higher version.
    """

    __slots__ = (
        "confirmed_ms",
        "contact_ms",
        "current",
        "distrust_until_ms",
        "document_read",
        "last_tick_ms",
        "next_poll_ms",
        "pending",
        "pending_since_ms",
        "pull_sent_ms",
        "refused",
    )

    def __init__(self) -> None:
        self.current: deployment.Configuration | None = None
        self.confirmed_ms = 0
        self.contact_ms = 0
        self.distrust_until_ms = 0
        self.document_read: store.OperationId | None = None
        self.last_tick_ms: int | None = None
        self.next_poll_ms = 0
        self.pending: store.OperationId | None = None
        self.pending_since_ms = 0
        self.pull_sent_ms = -PULL_TIMEOUT_MS
        self.refused = 0


def is_confirmed(state: entry_state.EntryState, now_ms: int) -> bool:
    """Return whether the entry may take its version for current."""
    return now_ms - state.configuration.contact_ms <= CONTACT_MAX_AGE_MS


def version(state: entry_state.EntryState) -> int:
    """Return the version in force, 0 when there is none."""
    current = state.configuration.current
    return 0 if current is None else current.version


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Notice pauses; read the current row when due."""
    own = state.configuration
    now_ms = event.now_ms
    _notice_pause(state, now_ms)
    own.last_tick_ms = now_ms
    if own.pending is not None:
        if now_ms < own.pending_since_ms + READ_TIMEOUT_MS:
            return []
    elif now_ms < own.next_poll_ms:
        return []
    own.next_poll_ms = now_ms + _poll_period_ms(state)
    own.pending = state.new_operation(store.StoreModule.CONFIGURATION)
    own.pending_since_ms = now_ms
    own.document_read = None
    keys = (versions.CURRENT_KEY,)
    return [effects.ReadRows(own.pending, versions.TABLE, keys)]


def on_store_event(
    state: entry_state.EntryState, event: events.StoreEvent
) -> list[effects.Effect]:
    """Take over what the store holds."""
    own = state.configuration
    is_document = event.operation_id == own.document_read
    if event.operation_id != own.pending and not is_document:
        return []
    if not isinstance(event, events.RowsRead):
        own.pending = own.document_read = None
        state.counters.increment("platform_failures", "configuration")
        return []
    try:
        if is_document:
            return _take_document(state, event.rows[0])
        return _take_pointer(state, event.rows[0])
    except exceptions.StoredRowError:
        own.pending = own.document_read = None
        state.counters.increment("configuration_row_malformed")
        return []


def _take_pointer(
    state: entry_state.EntryState, row: store.Row
) -> list[effects.Effect]:
    own = state.configuration
    present = version(state)
    named = 0
    if row.value is not None:
        named = versions.parse_pointer(row).version
    if named > present:
        own.document_read = state.new_operation(store.StoreModule.CONFIGURATION)
        keys = (versions.version_key(named),)
        return [effects.ReadRows(own.document_read, versions.TABLE, keys)]
    own.pending = None
    # A reader that lags behind this entry proves nothing about what is
    # current.
    if named < present:
        state.counters.increment("configuration_older_ignored")
        return []
    _confirm(state)
    return []


def _take_document(
    state: entry_state.EntryState, row: store.Row
) -> list[effects.Effect]:
    own = state.configuration
    own.pending = own.document_read = None
    if row.value is None:
        state.counters.increment("configuration_row_malformed")
        return []
    stored = versions.parse_version(row)
    result = adopt(state, stored.version, stored.change_id, stored.document)
    if version(state) >= stored.version:
        _confirm(state)
    return result


def _confirm(state: entry_state.EntryState) -> None:
    own = state.configuration
    own.confirmed_ms = max(own.confirmed_ms, own.pending_since_ms)
    _note_contact(state, own.pending_since_ms)


def adopt(
    state: entry_state.EntryState,
    new_version: int,
    change_id: str,
    document: str,
) -> list[effects.Effect]:
    """Put a version in force if it is higher than the present one."""
    own = state.configuration
    present = version(state)
    if new_version < present:
        state.counters.increment("configuration_older_ignored")
    if new_version <= present:
        return []
    try:
        checked = loading.load_document(document)
    except exceptions.ConfigurationError as error:
        return _reject(state, new_version, error)
    own.current = deployment.Configuration(
        new_version, change_id, document, checked
    )
    state.membership.neighbours_stale = True
    return [
        effects.Log(
            "configuration_adopted",
            "info",
            {"version": new_version, "change_id": change_id},
        )
    ]


def on_digest(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Digest,
) -> list[effects.Effect]:
    """Note the contact, and pull from a peer that is strictly ahead.

    Pulling only from a member that is strictly ahead rules out cycles. The
    rule is from "Replica Set Internals Bootcamp Part IV: Syncing" (K.
    Chodorow), where a secondary syncs only from members with a higher
    operation time.
    """
    own = state.configuration
    now_ms = event.now_ms
    _notice_pause(state, now_ms)
    if now_ms >= own.distrust_until_ms:
        _note_contact(state, now_ms)
        if message.configuration_version == version(state):
            confirmed_ms = now_ms - message.confirmed_age_ms
            own.confirmed_ms = max(own.confirmed_ms, confirmed_ms)
    if message.configuration_version <= version(state):
        return []
    if now_ms < own.pull_sent_ms + PULL_TIMEOUT_MS:
        return []
    own.pull_sent_ms = now_ms
    pull = messages.ConfigurationPull(version(state))
    return membership.reply(state, event.peer_id, pull)


def on_pull(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.ConfigurationPull,
) -> list[effects.Effect]:
    """Answer a peer that asks for a higher version."""
    current = state.configuration.current
    if current is None or current.version <= message.have_version:
        return []
    push = messages.ConfigurationPush(
        current.version,
        current.change_id,
        current.document,
        max(0, event.now_ms - state.configuration.confirmed_ms),
    )
    return membership.reply(state, event.peer_id, push)


def on_push(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.ConfigurationPush,
) -> list[effects.Effect]:
    """Take over a version that a peer sent."""
    own = state.configuration
    own.pull_sent_ms = event.now_ms - PULL_TIMEOUT_MS
    return adopt(state, message.version, message.change_id, message.document)


def _notice_pause(state: entry_state.EntryState, now_ms: int) -> None:
    own = state.configuration
    if own.last_tick_ms is None or now_ms - own.last_tick_ms <= PAUSE_MS:
        return
    state.counters.increment("pauses")
    own.last_tick_ms = now_ms
    own.distrust_until_ms = now_ms + DISTRUST_MS


def _note_contact(state: entry_state.EntryState, at_ms: int) -> None:
    own = state.configuration
    own.contact_ms = max(own.contact_ms, at_ms)


def _poll_period_ms(state: entry_state.EntryState) -> int:
    shared_ms = membership.entry_count(state) * 1_000 // POLL_READS_PER_S
    period_ms = max(MIN_POLL_PERIOD_MS, shared_ms)
    return period_ms - state.random.randint(0, period_ms // 5)


def _reject(
    state: entry_state.EntryState,
    rejected_version: int,
    error: exceptions.ConfigurationError,
) -> list[effects.Effect]:
    state.counters.increment("configuration_invalid")
    own = state.configuration
    if own.refused == rejected_version:
        return []
    own.refused = rejected_version
    return [
        effects.Log(
            "configuration_invalid",
            "error",
            {"version": rejected_version, "error": error.message},
        )
    ]
