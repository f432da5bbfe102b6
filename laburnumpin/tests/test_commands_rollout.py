"""Tests of the `rollout` commands on the rows of a store."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import json
import random

import anyio
import pytest

from laburnumpin import exceptions
from laburnumpin.commands import exits
from laburnumpin.commands import explain
from laburnumpin.commands import rollout
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding.rollouts import codec
from laburnumpin.forwarding.rollouts import model
from laburnumpin.platform import standins

ORDER = model.Order("desk", "v2", 12_000, 1, 5)


def _run(
    stage: model.Stage | None,
    command: Callable[[interfaces.StoreClient], Awaitable[None]],
) -> codec.Control | None:
    """Run a command beside a store; return the request that it wrote."""

    async def main() -> codec.Control | None:
        store = standins.Store(random.Random(1))
        async with anyio.create_task_group() as tasks:
            address = await tasks.start(standins.serve, store.handle)
            client = rollout.store_client(address)
            if stage is not None:
                decision = model.Decision(ORDER, stage, 1, 1, 1, "test")
                await client.write(
                    interfaces.Table.DUTIES,
                    codec.DECISION_PREFIX + "desk",
                    codec.encode_row(decision),
                    0,
                )
            failure = None
            try:
                await command(client)
            except exceptions.LaburnumpinError as error:
                failure = error
            rows = await client.read(interfaces.Table.DUTIES)
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        for row in rows.rows:
            if row.key == codec.CONTROL_PREFIX + "desk" and row.value:
                return codec.decode_control(row.value)
        return None

    return anyio.run(main)


def test_roll_outs_are_shown(capsys: pytest.CaptureFixture[str]) -> None:
    _run(model.Stage.CANARY, lambda store: rollout.show(store, None, True))
    shown = json.loads(capsys.readouterr().out)["desk"]
    assert shown["stage"] == "canary"
    assert shown["target_version"] == "v2"
    assert not shown["abort_requested"]


def test_requests_name_their_order_and_an_abort_stays() -> None:
    async def abort_and_resume(store: interfaces.StoreClient) -> None:
        await rollout.control(store, "desk", is_paused=True)
        await rollout.control(store, "desk", is_aborted=True)
        await rollout.control(store, "desk")

    written = _run(model.Stage.CANARY, abort_and_resume)
    assert written == codec.Control("desk", 1, 5, False, True)


@pytest.mark.parametrize("stage", [None, model.Stage.COMPLETED])
def test_ended_or_unknown_roll_out_is_an_error(
    stage: model.Stage | None,
) -> None:
    with pytest.raises(exceptions.RolloutNotFoundError) as caught:
        _run(stage, lambda store: rollout.control(store, "desk"))
    assert exits.code_for(caught.value) is exits.Exit.NOT_FOUND


def test_malformed_address_is_an_error() -> None:
    with pytest.raises(exceptions.InputError):
        rollout.store_client("nowhere")


# A request failed at the version that was rolled out.
def test_explain_names_the_version_and_the_state_of_its_roll_out() -> None:
    lines: list[explain.LogLine] = [
        {"timestamp": 1.0, "entry": "e1", "request_id": "r1"},
        {"timestamp": 1.1, "entry": "e1", "service": "desk"},
        {"timestamp": 1.2, "entry": "e1", "service": "other"},
    ]
    lines[0] |= {
        "message_type": "request_sent",
        "service": "desk",
        "version": "v2",
        "target_version": "v2",
        "upstream": "u1",
    }
    lines[1]["message_type"] = lines[2]["message_type"] = "rollout_decision"
    related = explain.related_lines("r1", lines)
    assert related == lines[:2]
    assert "sent to version v2 of desk" in explain.cause("r1", related)
