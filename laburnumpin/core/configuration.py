"""Tracks the configuration version in force at this entry.

The entry polls the store for the current version, pulls newer versions from
peers and refuses new work when it cannot confirm its version.
"""

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
# Part of the store's read rate that polling uses, divided among all entries.
POLL_READS_PER_S = 400
READ_TIMEOUT_MS = 5_000
PULL_TIMEOUT_MS = 1_000
# An entry without contact to the store or to any peer for this long cannot
# know whether its version is current, so it accepts no new work.
CONTACT_MAX_AGE_MS = 16_000
# A longer gap between ticks is taken as a pause of the process.
MIN_PAUSE_MS = 3_000
# Messages received this soon after a pause may have been buffered during it,
# so they do not count as contact.
CONTACT_IGNORE_MS = 3_000


class ConfigurationState:
    """The version in force, pending reads and the times of last contact.

    `confirmed_ms` is when the store was last known to hold no higher version.
    `contact_ms` is when a digest last arrived, or when the last poll that
    confirmed the version was sent, if that is later. `resumed_ms` is when the
    end of a pause was last detected. The two pending reads are those of the
    pointer row and of the document that it names.
    `last_rejected_version` keeps an invalid version from being logged at
    each poll.
    """

    __slots__ = (
        "confirmed_ms",
        "contact_ms",
        "current",
        "ignore_contacts_until_ms",
        "last_rejected_version",
        "last_tick_ms",
        "next_poll_ms",
        "pending_document_read",
        "pending_pointer_read",
        "poll_started_ms",
        "pull_sent_ms",
        "resumed_ms",
    )

    def __init__(self) -> None:
        self.current: deployment.Configuration | None = None
        self.confirmed_ms = 0
        self.contact_ms = 0
        self.ignore_contacts_until_ms = 0
        self.pending_document_read: store.OperationId | None = None
        self.last_tick_ms: int | None = None
        self.next_poll_ms = 0
        self.pending_pointer_read: store.OperationId | None = None
        self.poll_started_ms = 0
        self.pull_sent_ms = -PULL_TIMEOUT_MS
        self.last_rejected_version = 0
        self.resumed_ms = -1


def is_confirmed(state: entry_state.EntryState, now_ms: int) -> bool:
    """Return whether the version in force counts as current."""
    return now_ms - state.configuration.contact_ms <= CONTACT_MAX_AGE_MS


def version(state: entry_state.EntryState) -> int:
    """Return the version in force, 0 when there is none."""
    current = state.configuration.current
    return 0 if current is None else current.version


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Detect pauses of the process; poll the pointer row when due."""
    config = state.configuration
    now_ms = event.now_ms
    _detect_pause(state, now_ms)
    config.last_tick_ms = now_ms
    if config.pending_pointer_read is not None:
        if now_ms < config.poll_started_ms + READ_TIMEOUT_MS:
            return []
    elif now_ms < config.next_poll_ms:
        return []
    config.next_poll_ms = now_ms + _poll_period_ms(state)
    config.pending_pointer_read = state.new_operation(
        store.StoreModule.CONFIGURATION
    )
    config.poll_started_ms = now_ms
    config.pending_document_read = None
    keys = (versions.CURRENT_KEY,)
    return [effects.ReadRows(config.pending_pointer_read, versions.TABLE, keys)]


def on_store_event(
    state: entry_state.EntryState, event: events.StoreEvent
) -> list[effects.Effect]:
    """Handle the result of a pointer or document read."""
    config = state.configuration
    is_document = event.operation_id == config.pending_document_read
    if event.operation_id != config.pending_pointer_read and not is_document:
        return []
    if not isinstance(event, events.RowsRead):
        config.pending_pointer_read = config.pending_document_read = None
        state.counters.increment("platform_failures", "configuration")
        return []
    try:
        if is_document:
            return _on_document_read(state, event.rows[0])
        return _on_pointer_read(state, event.rows[0])
    except exceptions.StoredRowError:
        config.pending_pointer_read = config.pending_document_read = None
        state.counters.increment("configuration_row_malformed")
        return []


def _on_pointer_read(
    state: entry_state.EntryState, row: store.Row
) -> list[effects.Effect]:
    config = state.configuration
    current_version = version(state)
    stored_version = 0
    if row.value is not None:
        stored_version = versions.parse_pointer(row).version
    if stored_version > current_version:
        config.pending_document_read = state.new_operation(
            store.StoreModule.CONFIGURATION
        )
        keys = (versions.version_key(stored_version),)
        return [
            effects.ReadRows(config.pending_document_read, versions.TABLE, keys)
        ]
    config.pending_pointer_read = None
    # A read that returns an older version than the one in force is stale, so
    # it does not confirm that the version is current.
    if stored_version < current_version:
        state.counters.increment("configuration_older_ignored")
        return []
    _confirm_version(state)
    return []


def _on_document_read(
    state: entry_state.EntryState, row: store.Row
) -> list[effects.Effect]:
    config = state.configuration
    config.pending_pointer_read = config.pending_document_read = None
    if row.value is None:
        state.counters.increment("configuration_row_malformed")
        return []
    stored = versions.parse_version(row)
    result = adopt(state, stored.version, stored.change_id, stored.document)
    if version(state) >= stored.version:
        _confirm_version(state)
    return result


def _confirm_version(state: entry_state.EntryState) -> None:
    config = state.configuration
    config.confirmed_ms = max(config.confirmed_ms, config.poll_started_ms)
    _record_contact(state, config.poll_started_ms)


def adopt(
    state: entry_state.EntryState,
    new_version: int,
    change_id: str,
    document: str,
) -> list[effects.Effect]:
    """Put a version in force if it is valid and higher than the current one.

    An invalid version is logged once and ignored.
    """
    config = state.configuration
    current_version = version(state)
    if new_version < current_version:
        state.counters.increment("configuration_older_ignored")
    if new_version <= current_version:
        return []
    try:
        parsed = loading.load_document(document)
    except exceptions.ConfigurationError as error:
        return _reject(state, new_version, error)
    config.current = deployment.Configuration(
        new_version, change_id, document, parsed
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
    """Record the contact and pull from a peer with a higher version.

    Pulling only from a peer with a strictly higher version rules out cycles.
    The rule is from "Replica Set Internals Bootcamp Part IV: Syncing" (K.
    Chodorow), where a secondary syncs only from members with a higher
    operation time.
    """
    config = state.configuration
    now_ms = event.now_ms
    _detect_pause(state, now_ms)
    if now_ms >= config.ignore_contacts_until_ms:
        _record_contact(state, now_ms)
        if message.configuration_version == version(state):
            confirmed_ms = now_ms - message.confirmed_age_ms
            config.confirmed_ms = max(config.confirmed_ms, confirmed_ms)
    if message.configuration_version <= version(state):
        return []
    if now_ms < config.pull_sent_ms + PULL_TIMEOUT_MS:
        return []
    config.pull_sent_ms = now_ms
    pull = messages.ConfigurationPull(version(state))
    return membership.reply(state, event.peer_id, pull)


def on_pull(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.ConfigurationPull,
) -> list[effects.Effect]:
    """Send the version in force to a peer that has a lower one."""
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
    """Adopt a version that a peer sent and allow the next pull."""
    config = state.configuration
    config.pull_sent_ms = event.now_ms - PULL_TIMEOUT_MS
    return adopt(state, message.version, message.change_id, message.document)


def _detect_pause(state: entry_state.EntryState, now_ms: int) -> None:
    config = state.configuration
    if (
        config.last_tick_ms is None
        or now_ms - config.last_tick_ms <= MIN_PAUSE_MS
    ):
        return
    state.counters.increment("pauses")
    config.last_tick_ms = now_ms
    config.resumed_ms = now_ms
    config.ignore_contacts_until_ms = now_ms + CONTACT_IGNORE_MS


def _record_contact(state: entry_state.EntryState, at_ms: int) -> None:
    config = state.configuration
    config.contact_ms = max(config.contact_ms, at_ms)


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
    config = state.configuration
    if config.last_rejected_version == rejected_version:
        return []
    config.last_rejected_version = rejected_version
    return [
        effects.Log(
            "configuration_invalid",
            "error",
            {"version": rejected_version, "error": error.message},
        )
    ]
