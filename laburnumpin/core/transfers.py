"""Requests as they are transferred in a handover."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cattrs.preconf import json as json_codec

from laburnumpin import exceptions
from laburnumpin import verdict
from laburnumpin.core import deployment
from laburnumpin.core import messages
from laburnumpin.core import prefixes
from laburnumpin.core import requests

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

_CODEC = json_codec.make_converter()


def pack(
    state: entry_state.EntryState, request: requests.Request
) -> messages.HandedRequest:
    """Return a request as it goes over to a successor."""
    known = request.verdict
    if request.outcome is None:
        # From now on this entry cannot tell whether a successor runs it.
        known = verdict.combine(known, verdict.Verdict.MAY_HAVE_RUN)
    return messages.HandedRequest(
        request_id=request.request_id,
        customer=request.customer,
        service=request.service.name,
        operation=request.operation.name,
        idempotent=request.operation.idempotent,
        body=request.body,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        idempotency_key=request.idempotency_key,
        deadline_ms=request.deadline_ms,
        priority=request.priority,
        accepted_ms=request.accepted_ms,
        verdict=known,
        claim_tokens=request.claim_tokens,
        sent=request.request_id in state.handover.sent,
        upstream_id=request.generation_upstream_id,
        chunks=tuple(request.chunks),
        outcome=request.outcome,
    )


def unpack(
    state: entry_state.EntryState, handed: messages.HandedRequest
) -> requests.Request:
    """Return a request that a leaving entry packed."""
    current = state.configuration.current
    assert current is not None
    service = current.deployment.services.get(handed.service)
    if service is None:
        # Removed since; the request waits for an upstream until its deadline.
        service = deployment.Service(
            handed.service, deployment.ServiceKind.PLAIN, {}
        )
    operation = deployment.Operation(
        handed.operation, handed.idempotent, handed.priority
    )
    return requests.Request(
        request_id=handed.request_id,
        customer=handed.customer,
        service=service,
        operation=operation,
        body=handed.body,
        prompt=handed.prompt,
        prompt_tokens=prefixes.count_tokens(handed.prompt),
        max_tokens=handed.max_tokens,
        blocks=prefixes.block_hashes(handed.prompt),
        idempotency_key=handed.idempotency_key,
        accepted_ms=handed.accepted_ms,
        deadline_ms=handed.deadline_ms,
        priority=handed.priority,
        configuration=current,
        verdict=handed.verdict,
        chunks=list(handed.chunks),
        outcome=handed.outcome,
        claim_tokens=handed.claim_tokens,
        generation_upstream_id=handed.upstream_id,
    )


def size_bytes(item: messages.HandedRequest) -> int:
    """Return a bound on the size of a packed request in a message."""
    # Characters of up to four bytes, and a fixed part for the other fields.
    characters = len(item.body) + len(item.prompt)
    for chunk in item.chunks:
        characters += len(chunk.text) + 16
    return 4 * characters + 512


def encode(offer: messages.HandoverOffer) -> bytes:
    """Return an offer as an object of the object store."""
    return _CODEC.dumps(offer).encode()


def decode(body: bytes) -> messages.HandoverOffer:
    """Return the offer that an object holds.

    Raises:
        MessageError: The object does not hold an offer.
    """
    try:
        return _CODEC.loads(body.decode(), messages.HandoverOffer)
    except Exception as error:
        raise exceptions.MessageError(f"not an offer: {error!r}") from error
