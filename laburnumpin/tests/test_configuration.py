"""Tests of polling, pulling and adopting configuration versions."""

from __future__ import annotations

import pytest

from laburnumpin import exceptions
from laburnumpin.config import loading
from laburnumpin.core import configuration
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import lifecycle
from laburnumpin.core import messages
from laburnumpin.core import reducer
from laburnumpin.core import state
from laburnumpin.core import store
from laburnumpin.core import versions
from laburnumpin.tests import builders
from laburnumpin.tests import test_membership


@pytest.fixture(autouse=True)
def _accept_any_document(monkeypatch: pytest.MonkeyPatch) -> None:
    def load(document: str) -> deployment.Deployment:
        del document
        return builders.make_deployment()

    monkeypatch.setattr(loading, "load_document", load)


def make_pointer(version: int) -> store.Row:
    pointer = versions.Pointer(version, f"c{version}")
    return store.Row(
        versions.TABLE,
        versions.CURRENT_KEY,
        version,
        versions.encode(pointer),
    )


def make_document(version: int) -> store.Row:
    stored = versions.StoredVersion(version, f"c{version}", "{}")
    key = versions.version_key(version)
    return store.Row(versions.TABLE, key, 1, versions.encode(stored))


def poll(entry: state.EntryState, now_ms: int) -> store.OperationId:
    produced = reducer.reduce(entry, events.Tick(now_ms))
    operation_id = read_of_configuration(produced)
    assert operation_id is not None
    return operation_id


def read_of_configuration(
    produced: list[effects.Effect],
) -> store.OperationId | None:
    for effect in produced:
        if isinstance(effect, effects.ReadRows):
            if effect.operation_id.module is store.StoreModule.CONFIGURATION:
                return effect.operation_id
    return None


def read(entry: state.EntryState, now_ms: int, version: int) -> None:
    """Poll the current version and, when it is new, read its document."""
    rows = (make_pointer(version),)
    produced = reducer.reduce(
        entry, events.RowsRead(now_ms, poll(entry, now_ms), rows)
    )
    operation_id = read_of_configuration(produced)
    if operation_id is not None:
        rows = (make_document(version),)
        reducer.reduce(entry, events.RowsRead(now_ms, operation_id, rows))


@pytest.mark.parametrize("value", ["", "[]", '{"version": 2}', "{"])
def test_malformed_row_is_counted_and_read_again(value: str) -> None:
    """Guards against a malformed row that stops polling permanently."""
    entry = builders.make_state()
    row = store.Row(versions.TABLE, versions.CURRENT_KEY, 1, value)
    operation_id = poll(entry, 0)
    reducer.reduce(entry, events.RowsRead(0, operation_id, (row,)))
    assert entry.counters.value("configuration_row_malformed") == 1
    read(entry, 10_000, 2)
    assert configuration.version(entry) == 2


def test_unread_document_confirms_nothing() -> None:
    """Guards against accepting work under a version known to be outdated."""
    entry = builders.make_state()
    for now_ms in range(0, 21_000, 3_000):
        operation_id = poll(entry, now_ms)
        rows = (make_pointer(2),)
        produced = reducer.reduce(
            entry, events.RowsRead(now_ms, operation_id, rows)
        )
        document_read = read_of_configuration(produced)
        assert document_read is not None
        reducer.reduce(entry, events.ReadFailed(now_ms, document_read))
    reason = lifecycle.refusal_reason(entry, 18_000)
    assert reason == "configuration_unconfirmed"


def test_version_never_goes_back() -> None:
    """Guards against a stale read that undoes a change."""
    entry = builders.make_state(configured=False)
    read(entry, 0, 5)
    read(entry, 10_000, 4)
    assert configuration.version(entry) == 5
    assert entry.counters.value("configuration_older_ignored") == 1


def test_late_push_of_an_older_version_changes_nothing() -> None:
    """Guards against a delayed answer from a peer that undoes a change."""
    entry = builders.make_state()
    for version in (5, 3, 5):
        push = messages.ConfigurationPush(version, f"c{version}", "{}", 0)
        reducer.reduce(entry, events.PeerReceived(1_000, "e1", push))
        assert configuration.version(entry) == 5
    assert entry.counters.value("configuration_older_ignored") == 1


def test_stale_read_is_no_contact() -> None:
    """Guards against an entry that works under an old version for hours."""
    entry = builders.make_state(configured=False)
    read(entry, 0, 5)
    for now_ms in range(3_000, 20_000, 3_000):
        read(entry, now_ms, 4)
    assert not configuration.is_confirmed(entry, 16_001)


def test_entry_without_store_and_peers_stops_accepting() -> None:
    """Guards against an old configuration in force after the 16 s limit."""
    entry = builders.make_state(configured=False)
    assert lifecycle.refusal_reason(entry, 0) == "entry_not_ready"
    read(entry, 0, 1)
    assert lifecycle.refusal_reason(entry, 16_000) is None
    reason = lifecycle.refusal_reason(entry, 16_001)
    assert reason == "configuration_unconfirmed"


def test_entry_pulls_from_a_peer_that_is_ahead_while_the_store_is_down() -> (
    None
):
    """Guards against an entry that starts in an outage and stays unready."""
    entry = builders.make_state("e0", configured=False)
    ahead = builders.make_state("e1")
    ahead.configuration.current = builders.make_configuration(3)
    digest = test_membership.make_digest("e1", 1)
    produced_effects = test_membership.receive(entry, 1_000, digest)
    pulls = [
        effect.message
        for effect in produced_effects
        if isinstance(effect, effects.SendPeer)
        and isinstance(effect.message, messages.ConfigurationPull)
    ]
    assert pulls == [messages.ConfigurationPull(0)]
    answers = reducer.reduce(ahead, events.PeerReceived(1_001, "e0", pulls[0]))
    assert isinstance(answers[0], effects.SendPeer)
    reducer.reduce(entry, events.PeerReceived(1_002, "e1", answers[0].message))
    assert configuration.version(entry) == 3
    assert lifecycle.refusal_reason(entry, 1_002) is None


def test_buffered_digest_after_a_pause_is_no_contact() -> None:
    """Guards against taking messages buffered during a pause as contact."""
    entry = builders.make_state("e0")
    reducer.reduce(entry, events.Tick(0))
    digest = test_membership.make_digest("e1", 1)
    test_membership.receive(entry, 3_600_000, digest)
    assert not configuration.is_confirmed(entry, 3_600_000)
    later = test_membership.make_digest("e1", 2)
    later_ms = 3_600_000 + configuration.CONTACT_IGNORE_MS
    test_membership.receive(entry, later_ms, later)
    assert configuration.is_confirmed(entry, later_ms)


def test_polling_stays_within_its_part_of_the_read_rate() -> None:
    """Guards against 2,600 entries that exhaust the store's read rate."""
    entry = builders.make_state(configured=False)
    entry.configuration.current = builders.make_configuration(1, 2_600)
    first_ms = 0
    poll(entry, first_ms)
    period_ms = entry.configuration.next_poll_ms - first_ms
    reads_per_s = 2_600 * 1_000 / period_ms
    assert reads_per_s <= 1.25 * configuration.POLL_READS_PER_S
    assert period_ms < configuration.CONTACT_MAX_AGE_MS


def test_invalid_document_is_reported_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a log line for each poll of an invalid document."""
    entry = builders.make_state()

    def fail(document: str) -> deployment.Deployment:
        raise exceptions.ConfigurationError([])

    monkeypatch.setattr(loading, "load_document", fail)
    first = configuration.adopt(entry, 2, "c2", "{}")
    second = configuration.adopt(entry, 2, "c2", "{}")
    assert len(first) == 1
    assert second == []
    assert configuration.version(entry) == 1


def test_change_reaches_every_entry_within_the_bound() -> None:
    """Guards against changes that reach entries only through the store.

    One entry has the new version and the store is down for all others. Links
    take 50 ms. A change must be in force everywhere within 16 s.
    """
    rows = test_membership.make_rows(200)
    entries = {}
    for row in rows:
        entry = builders.make_state(row.vm_id, row.zone)
        reducer.reduce(entry, events.VmsListed(0, rows))
        entries[row.vm_id] = entry
    entries["e0"].configuration.current = builders.make_configuration(2)
    in_flight: list[tuple[int, str, str, messages.Message]] = []
    now_ms = 0
    while now_ms < 16_000:
        now_ms += 50
        due = [item for item in in_flight if item[0] <= now_ms]
        in_flight = [item for item in in_flight if item[0] > now_ms]
        produced: list[tuple[str, effects.Effect]] = []
        for _, sender, receiver, message in due:
            received = events.PeerReceived(now_ms, sender, message)
            for effect in reducer.reduce(entries[receiver], received):
                produced.append((receiver, effect))
        for vm_id, entry in entries.items():
            for effect in tick(entry, now_ms):
                produced.append((vm_id, effect))
        for vm_id, effect in produced:
            if isinstance(effect, effects.SendPeer):
                in_flight.append(
                    (now_ms + 50, vm_id, effect.peer_id, effect.message)
                )
        versions = {configuration.version(e) for e in entries.values()}
        if versions == {2}:
            return
    raise AssertionError("an entry still has the old version after 16 s")


def tick(entry: state.EntryState, now_ms: int) -> list[effects.Effect]:
    return reducer.reduce(entry, events.Tick(now_ms))
