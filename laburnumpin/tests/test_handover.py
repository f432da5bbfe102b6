"""Tests of the handover of a leaving entry's requests."""

from __future__ import annotations

import json

import pytest

from laburnumpin import verdict
from laburnumpin.core import claims
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import handover
from laburnumpin.core import ids
from laburnumpin.core import lifecycle
from laburnumpin.core import messages
from laburnumpin.core import reducer
from laburnumpin.core import store
from laburnumpin.tests import builders
from laburnumpin.tests import simulation

_MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


def _id(number: int) -> ids.EntryId:
    return ids.EntryId(f"entry-{number}", simulation.START_MS)


def _codes(world: simulation.World, reader_id: str) -> list[str]:
    codes = []
    for outcome in world.readings[reader_id].outcomes:
        codes.append("" if outcome.failure is None else outcome.failure.code)
    return codes


def _check_answered(world: simulation.World, reader_id: str) -> None:
    assert _codes(world, reader_id) == [""]
    texts = []
    for chunk in world.readings[reader_id].chunks:
        texts.append(chunk.text)
    request_id = world.readings[reader_id].request_id
    expected = [simulation.text_of(request_id, n) for n in range(len(texts))]
    assert texts == expected
    assert texts


def _offers(effects_seen: list[effects.Effect]) -> list[effects.SendPeer]:
    result = []
    for effect in effects_seen:
        if isinstance(effect, effects.SendPeer):
            if isinstance(effect.message, messages.HandoverOffer):
                result.append(effect)
    return result


def test_requests_and_readers_move_to_the_successors() -> None:
    """Guards against accepted requests or readers lost in a reclaim."""
    world = simulation.World(3)
    for number in range(10):
        world.submit("entry-0", f"m{number}", service="model")
        world.submit("entry-0", f"d{number}", f"key-{number}")
    world.run(200)
    for number in range(10):
        request_id = world.accepted[f"m{number}"]
        world.open("entry-1", f"r{number}", request_id)
    world.notify("entry-0", 1_500)
    assert world.submit("entry-0", "late") is None
    assert world.refused["late"].code == "entry_leaving"
    world.run(20_000)
    assert "entry-0" in world.stopped
    for number in range(10):
        _check_answered(world, f"r{number}")
        assert world.executions_of(f"key-{number}") == 1
        for exchange in (f"m{number}", f"d{number}"):
            request_id = world.accepted[exchange]
            for vm_id in ("entry-1", "entry-2"):
                query = f"{vm_id}?{exchange}"
                world.deliver(
                    vm_id, events.StatusRequested(0, query, request_id, None)
                )
    world.run(1_000)
    assert len(world.statuses) == 40
    for status in world.statuses.values():
        assert status.outcome is not None


def test_streams_resume_from_their_offset_without_a_cancel() -> None:
    """Guards against tokens recomputed because the entry left."""
    world = simulation.World(3)
    world.submit("entry-0", "x", service="model")
    world.run(300)
    delivered = len(world.readings["x"].chunks)
    assert 0 < delivered < simulation.DRAFT_TOKENS
    world.notify("entry-0", 10_000)
    world.run(5_000)
    _check_answered(world, "x")
    _, vm_id, second = world.dispatches[-1]
    assert vm_id != "entry-0"
    assert (second.offset, second.recompute) == (delivered, False)
    assert second.upstream_id == world.dispatches[0][2].upstream_id
    assert world.cancelled == set()


def test_batches_are_bounded_spread_and_sent_again_unchanged() -> None:
    """Guards against large offers, a single zone, and new ids on a resend."""
    world = simulation.World(6, upstream_count=0)
    for number in range(450):
        world.submit("entry-0", f"x{number}", service="model")
    state = world.entries["entry-0"]
    now_ms = world.now_ms
    first = _offers(
        reducer.reduce(state, events.ReclaimNotified(now_ms, 30_000))
    )
    counts = [len(o.message.requests) for o in first]  # type: ignore[union-attr]
    assert counts == [200, 200, 50]
    zones = [world.entries[offer.peer_id].zone for offer in first]
    assert state.zone not in zones
    assert len(set(zones)) == 2
    again = _offers(reducer.reduce(state, events.Tick(now_ms + 499)))
    assert again == []
    again = _offers(reducer.reduce(state, events.Tick(now_ms + 500)))
    assert again == first


def test_offer_is_taken_once() -> None:
    """Guards against a request that runs twice after a repeated offer."""
    world = simulation.World(2)
    world.faults.upstreams_silent = True
    world.submit("entry-0", "x", service="model")
    offers = _offers(
        reducer.reduce(
            world.entries["entry-0"],
            events.ReclaimNotified(world.now_ms, 10_000),
        )
    )
    for _ in range(2):
        received = events.PeerReceived(0, "entry-0", offers[0].message)
        world.deliver("entry-1", received)
    world.run(100)
    counters = world.entries["entry-1"].counters
    assert counters.value("handover", "duplicate_offer") == 1
    assert [vm_id for _, vm_id, _ in world.dispatches].count("entry-1") == 1


def test_offer_that_was_taken_is_not_refused_later() -> None:
    """Guards against a refusal of a batch that was accepted before."""
    world = simulation.World(3)
    offer = messages.HandoverOffer("entry-9.1/1", _id(9), ())
    received = events.PeerReceived(world.now_ms, "entry-0", offer)
    answers = []
    for _ in range(2):
        sent = reducer.reduce(world.entries["entry-1"], received)
        assert isinstance(sent[0], effects.SendPeer)
        answers.append(sent[0].message)
        world.notify("entry-1", 20_000)
    assert answers == [messages.HandoverAck("entry-9.1/1", True)] * 2


def test_lost_link_leads_to_the_next_successor_and_one_execution() -> None:
    """Guards against a call that runs at two successors."""
    world = simulation.World(3)
    world.faults.peer_delay_ms = 1
    world.faults.store_delay_ms = 1
    for number in range(5):
        world.submit("entry-0", f"x{number}", f"key-{number}")
    state = world.entries["entry-0"]
    # The first successor gets the offer, but its acknowledgement is lost.
    offers = _offers(
        reducer.reduce(state, events.ReclaimNotified(world.now_ms, 9_000))
    )
    first = offers[0].peer_id
    received = events.PeerReceived(0, "entry-0", offers[0].message)
    for effect in reducer.reduce(world.entries[first], received):
        assert not isinstance(effect, effects.Dispatch)
    world.cut_link("entry-0", first)
    world.run(15_000)
    for number in range(5):
        assert world.executions_of(f"key-{number}") == 1
        codes = _codes(world, f"x{number}")
        assert codes in ([""], [])
        for vm_id in ("entry-1", "entry-2"):
            exchange = f"{vm_id}?{number}"
            request_id = world.accepted[f"x{number}"]
            world.deliver(
                vm_id, events.StatusRequested(0, exchange, request_id, None)
            )
    world.run(3_000)
    assert len(world.statuses) == 10
    for status in world.statuses.values():
        assert status.outcome == messages.Outcome(1)


@pytest.mark.parametrize("claim_written", [False, True])
def test_claim_holder_hands_over_to_the_entry_that_referred_to_it(
    claim_written: bool,
) -> None:
    """Guards against two successors that both run a request, or neither."""
    world = simulation.World(3)
    world.submit("entry-0", "x", "key")
    if claim_written:
        # The store's answer is still in flight, so the call is not sent.
        world.run(20)
    world.faults.ack_lost = 1.0
    world.faults.upstreams_silent = True
    world.notify("entry-0", 10_000)
    # Time for three rounds at the store: a conflict with the row, the transfer
    # of the claim, and the other successor's conflict with the transfer.
    world.run(100)
    holders = []
    for vm_id in ("entry-1", "entry-2"):
        request = world.request(vm_id, world.accepted["x"])
        if request.handed_to is None:
            holders.append(vm_id)
    assert len(holders) == 1
    world.faults = simulation.Faults()
    world.heal_links()
    world.notify(holders[0], 4_000)
    world.run(20_000)
    (other_vm_id,) = {"entry-1", "entry-2"} - set(holders)
    request = world.request(other_vm_id, world.accepted["x"])
    assert request.outcome is not None
    assert world.executions_of("key") == 1


def test_leaving_entry_always_refuses_offers() -> None:
    """Guards against a handover to an entry that is leaving too."""
    world = simulation.World(3)
    world.submit("entry-0", "x", service="model")
    world.notify("entry-1", 20_000)
    world.notify("entry-0", 20_000)
    world.run(10_000)
    _check_answered(world, "x")
    assert {vm_id for _, vm_id, _ in world.dispatches} <= {"entry-0", "entry-2"}
    state = world.entries["entry-1"]
    offer = messages.HandoverOffer("a/1", _id(0), ())
    for _ in range(2):
        sent = reducer.reduce(
            state, events.PeerReceived(world.now_ms, "entry-0", offer)
        )
        assert isinstance(sent[0], effects.SendPeer)
        assert sent[0].message == messages.HandoverAck("a/1", False)


def test_offered_request_is_never_not_run() -> None:
    """Guards against verdict "not run" while a successor may run the call."""
    world = simulation.World(2, upstream_count=0)
    world.submit("entry-0", "x", "key", deadline_ms=2_000)
    world.submit("entry-0", "y", "other", deadline_ms=2_000)
    world.notify("entry-0", 20_000)
    world.run(8_000)
    for reader_id in ("x", "y"):
        outcomes = world.readings[reader_id].outcomes
        assert len(outcomes) == 1
        assert outcomes[0].failure is not None
        assert outcomes[0].failure.verdict is _MAY_HAVE_RUN


def test_sent_call_is_handed_over_last_with_its_claim() -> None:
    """Guards against a second execution of a call that was sent."""
    world = simulation.World(2)
    world.faults.upstreams_silent = True
    world.submit("entry-0", "x", "key")
    world.run(100)
    assert len(world.executions) == 1
    world.notify("entry-0", 5_000)
    world.run(3_900)
    assert world.readings["x"].outcomes == []
    world.run(500)
    assert _codes(world, "x") == ["owner_left"]
    world.faults.upstreams_silent = False
    world.submit("entry-1", "y", "key")
    world.run(3_000)
    assert _codes(world, "y") == ["owner_left"]
    assert len(world.executions) == 1
    value = world.tables.row("claims", "acme/desk/key").value
    assert json.loads(str(value))["verdict"] == "may_have_run"


@pytest.mark.parametrize("store_fails", [False, True])
def test_batch_without_a_peer_is_picked_up_from_the_store(
    store_fails: bool,
) -> None:
    """Guards against requests lost when no peer can be reached.

    The batch goes to the object store, also after failed writes to it.
    """
    world = simulation.World(3)
    world.submit("entry-0", "x", service="model")
    world.submit("entry-0", "y", "key")
    world.open("entry-2", "r", world.accepted["x"])
    for peer in ("entry-1", "entry-2"):
        world.cut_link("entry-0", peer)
    world.run(10)
    if store_fails:
        world.faults.objects_failed = 1.0
    world.notify("entry-0", 8_000)
    world.run(4_000)
    assert (world.objects == {}) is store_fails
    world.faults.objects_failed = 0.0
    world.run(20_000)
    _check_answered(world, "r")
    assert world.executions_of("key") == 1
    assert world.objects == {}
    pickups = 0
    for vm_id in ("entry-1", "entry-2"):
        counters = world.entries[vm_id].counters
        pickups += counters.value("handover", "picked_up")
    assert pickups == 1


def test_pickup_by_an_entry_that_died_is_repeated() -> None:
    """Guards against a batch lost with the entry that claimed its pickup."""
    world = simulation.World(2)
    world.submit("entry-0", "x", service="model", deadline_ms=90_000)
    world.cut_link("entry-0", "entry-1")
    world.notify("entry-0", 2_000)
    world.run(500)
    (key,) = world.objects
    value = json.dumps({"entry": "entry-9.5"})
    world.tables.rows[handover.PICKUPS_TABLE, key] = (1, value)
    world.run(15_000)
    assert key in world.objects
    world.run(15_000)
    assert world.objects == {}
    request = world.request("entry-1", world.accepted["x"])
    assert request.outcome == messages.Outcome(simulation.DRAFT_TOKENS)


def test_departures_form_bounded_chains() -> None:
    """Guards against endless lookups in cyclic or long departure chains."""
    world = simulation.World(3)
    state = world.entries["entry-2"]
    departures = state.handover.departures
    request_id = ids.request_id(_id(0), 1)
    departures[_id(0)] = messages.Departure(_id(0), (_id(1),))
    departures[_id(1)] = messages.Departure(_id(1), (_id(2), _id(0)))
    assert handover.owner_of(state, request_id) == _id(2)
    for number in range(100):
        successors = (_id(number + 1), _id(number + 2))
        departures[_id(number)] = messages.Departure(_id(number), successors)
    assert (
        len(handover.possible_owners(state, request_id))
        == handover.MAX_CHAIN_ENTRIES
    )
    assert handover.owner_of(state, "malformed") is None


def test_departure_is_found_in_the_store() -> None:
    """Guards against requests whose departed owner no digest names."""
    world = simulation.World(3)
    request_id = world.submit("entry-0", "x", service="model")
    assert request_id is not None
    world.notify("entry-0", 1_000)
    world.run(10_000)
    for vm_id in ("entry-1", "entry-2"):
        world.entries[vm_id].handover.departures.clear()
    for vm_id in ("entry-1", "entry-2"):
        world.open(vm_id, f"r-{vm_id}", request_id)
    world.run(5_000)
    _check_answered(world, "r-entry-1")
    _check_answered(world, "r-entry-2")


def test_shutdown_finishes_its_work_and_passes_outcomes_on() -> None:
    """Guards against a shutdown that interrupts or loses requests."""
    world = simulation.World(2)
    request_id = world.submit("entry-0", "x", service="model")
    world.submit("entry-0", "y", "key")
    assert request_id is not None
    world.drain("entry-0")
    world.drain("entry-0")
    world.run(4_000)
    assert world.submit("entry-0", "z", service="model") is not None
    assert world.exits == []
    world.run(10_000)
    assert world.exits == ["entry-0"]
    assert world.violations == []
    for reader_id in ("x", "z"):
        _check_answered(world, reader_id)
    world.open("entry-1", "r", request_id)
    world.run(3_000)
    _check_answered(world, "r")


def test_exit_waits_for_readers_of_requests_at_peers() -> None:
    """Guards against an exit that interrupts a caller that reads from a peer.

    The reader is opened during the drain, at the draining entry.
    """
    world = simulation.World(2)
    world.faults.upstreams_silent = True
    request_id = world.submit("entry-1", "x", service="model")
    assert request_id is not None
    world.drain("entry-0")
    world.run(4_000)
    world.open("entry-0", "r", request_id)
    world.run(15_000)
    assert world.exits == []
    world.run(10_000)
    assert _codes(world, "r") == ["deadline_passed"]
    assert world.exits == ["entry-0"]


def test_remote_reader_recovers_from_lost_and_crossed_messages() -> None:
    """Guards against gaps in an answer that is read through a peer.

    Chunks that arrive out of order are dropped, and the subscription is
    renewed from the offset before the gap.
    """
    world = simulation.World(2)
    world.faults.peer_delay_ms = 900
    world.faults.duplicated = 0.5
    for number in range(10):
        request_id = world.submit("entry-0", f"x{number}", service="model")
        assert request_id is not None
        world.open("entry-1", f"r{number}", request_id)
    world.run(15_000)
    for number in range(10):
        _check_answered(world, f"r{number}")
    assert world.entries["entry-1"].counters.total("subscription_gaps") > 0


def test_successor_records_an_outcome_that_its_source_did_not() -> None:
    """Guards against a key that stays claimed after its call has ended.

    The source can stop between the end of the call and the write of its
    outcome to the store.
    """
    state = builders.make_state()
    state.lifecycle.phase = lifecycle.Phase.SERVING
    source = ids.EntryId("e0", 1)
    handed = messages.HandedRequest(
        request_id="e0.1.1",
        customer="acme",
        service="desk",
        operation="place",
        idempotent=False,
        body="{}",
        prompt="",
        max_tokens=0,
        idempotency_key="key",
        deadline_ms=60_000,
        priority=deployment.Priority.INTERACTIVE,
        accepted_ms=0,
        verdict=verdict.Verdict.RAN,
        claim_tokens=("token",),
        sent=False,
        upstream_id=None,
        chunks=(messages.Chunk(0, 1, "answer"),),
        outcome=messages.Outcome(1),
    )
    offer = messages.HandoverOffer("batch", source, (handed,))
    reducer.reduce(state, events.PeerReceived(1_000, "e0", offer))
    reads = [
        effect
        for effect in reducer.reduce(state, events.Tick(1_100))
        if isinstance(effect, effects.ReadRows) and effect.table == claims.TABLE
    ]
    held = {"token": "token", "body_hash": "h", "state": "held"}
    key = "acme/desk/key"
    row = store.Row(claims.TABLE, key, 7, json.dumps(held))
    reducer.reduce(state, events.RowsRead(1_200, reads[0].operation_id, (row,)))
    written = [
        effect
        for effect in reducer.reduce(state, events.Tick(1_300))
        if isinstance(effect, effects.Transact)
        and effect.writes[0].table == claims.TABLE
    ]
    assert written[0].conditions == (store.Condition(claims.TABLE, key, 7),)
    assert json.loads(written[0].writes[0].value or "")["text"] == "answer"
