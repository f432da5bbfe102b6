"""The `rollout` commands: show, pause, resume and abort a roll-out.

They read and write the rows of the store that the lease holder reads.
"""

from __future__ import annotations

import dataclasses
from typing import Any

from laburnumpin import exceptions
from laburnumpin.commands import output
from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.rollouts import codec
from laburnumpin.forwarding.rollouts import model
from laburnumpin.platform import clients

Table = interfaces.Table


@dataclasses.dataclass(slots=True, frozen=True)
class Found:
    """A written decision, and the operator's request beside it, if any."""

    decision: model.Decision
    control: codec.Control | None
    control_version: int


def store_client(address: str) -> interfaces.StoreClient:
    """Return the client of the platform's store at `IP:PORT`.

    Raises:
        InputError: The address is malformed.
    """
    try:
        checked = untrusted.address(address, "--store")
    except exceptions.DocumentError as error:
        raise exceptions.InputError(error.message) from error
    return clients.PlatformStore(clients.HttpClient(checked))


async def find(store: interfaces.StoreClient) -> dict[str, Found]:
    """Return the roll-outs that have a decision, by service.

    Raises:
        LaburnumpinError: The store was not reached, or a row is malformed.
    """
    rows = await store.read(Table.DUTIES)
    decisions: dict[str, model.Decision] = {}
    controls: dict[str, tuple[codec.Control, int]] = {}
    for row in rows.rows:
        if row.value is None:
            continue
        if row.key.startswith(codec.DECISION_PREFIX):
            decision = codec.decode_row(row.value)
            decisions[decision.order.service] = decision
        elif row.key.startswith(codec.CONTROL_PREFIX):
            control = codec.decode_control(row.value)
            controls[control.service] = (control, row.version)
    found = {}
    for service, decision in sorted(decisions.items()):
        known, version = controls.get(service, (None, 0))
        if known is not None and not known.concerns(decision.order):
            known = None
        found[service] = Found(decision, known, version)
    return found


async def show(
    store: interfaces.StoreClient, service: str | None, as_json: bool
) -> None:
    """Print the roll-outs, or that of one service.

    Raises:
        RolloutNotFoundError: The service has none.
        LaburnumpinError: The store was not reached, or a row is malformed.
    """
    found = await find(store)
    if service is not None:
        found = {service: _get(found, service)}
    described = {name: _describe(item) for name, item in found.items()}
    if as_json:
        output.print_json(described)
        return
    output.print_fields(described)


async def control(
    store: interfaces.StoreClient,
    service: str,
    *,
    is_paused: bool = False,
    is_aborted: bool = False,
) -> None:
    """Ask the lease holder to pause, resume or abort a roll-out.

    An abort is not taken back by a later call.

    Raises:
        RolloutNotFoundError: The service has none that has not ended.
        ConflictError: Another operator has written a request meanwhile.
        LaburnumpinError: The store was not reached, or a row is malformed.
    """
    found = _get(await find(store), service)
    decision = found.decision
    if decision.stage.is_final:
        raise exceptions.RolloutNotFoundError(
            f"the roll-out of {service} has ended: {decision.stage.value}"
        )
    known = found.control
    request = codec.Control(
        service,
        decision.order.era,
        decision.order.row_version,
        is_paused,
        is_aborted or (known is not None and known.is_aborted),
    )
    await store.write(
        Table.DUTIES,
        codec.CONTROL_PREFIX + service,
        codec.encode_control(request),
        found.control_version,
    )
    output.print_fields(
        {
            "service": service,
            "target_version": decision.order.target_version,
            "paused": request.is_paused,
            "aborted": request.is_aborted,
        }
    )


def _get(found: dict[str, Found], service: str) -> Found:
    if service not in found:
        raise exceptions.RolloutNotFoundError(f"{service} has no roll-out")
    return found[service]


def _describe(found: Found) -> dict[str, Any]:
    decision = found.decision
    request = found.control
    return {
        "target_version": decision.order.target_version,
        "stage": decision.stage.value,
        "reason": decision.reason,
        "paused": decision.is_paused,
        "started_ms": decision.started_ms,
        "duration_ms": decision.order.duration_ms,
        "fencing_token": decision.fencing_token,
        "sequence": decision.sequence,
        "pause_requested": request is not None and request.is_paused,
        "abort_requested": request is not None and request.is_aborted,
    }
