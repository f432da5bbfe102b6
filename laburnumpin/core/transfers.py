"""Conversion of requests to and from handover messages and objects."""

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


def to_message(
    state: entry_state.EntryState, request: requests.Request
) -> messages.HandedRequest:
    """Return the message that hands a request over to a successor."""
    handed_verdict = request.verdict
    if request.outcome is None:
        # From now on a successor may run the request without this entry's
        # knowledge.
        handed_verdict = verdict.combine(
            handed_verdict, verdict.Verdict.MAY_HAVE_RUN
        )
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
        verdict=handed_verdict,
        claim_tokens=request.claim_tokens,
        sent=request.request_id in state.handover.unanswered_call_ids,
        upstream_id=request.generation_upstream_id,
        chunks=tuple(request.chunks),
        outcome=request.outcome,
    )


def from_message(
    state: entry_state.EntryState, handed: messages.HandedRequest
) -> requests.Request:
    """Return the request in a handover message.

    The configuration in force at this entry applies to it from now on, except
    that it keeps its priority and whether it is idempotent.
    """
    current = state.configuration.current
    assert current is not None
    service = current.deployment.services.get(handed.service)
    if service is None:
        # The service was removed from the configuration. The request finds no
        # upstream and waits until its deadline.
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
    """Return an estimate of the size of a request in a message.

    It is usually too high: a character counts as 4 bytes, the most in UTF-8.
    The fields other than the texts have a fixed allowance.
    """
    characters = len(item.body) + len(item.prompt)
    for chunk in item.chunks:
        characters += len(chunk.text) + 16
    return 4 * characters + 512


def encode(offer: messages.HandoverOffer) -> bytes:
    """Return an offer as the body of an object in the object store."""
    return _CODEC.dumps(offer).encode()


def decode(body: bytes) -> messages.HandoverOffer:
    """Return the offer in the body of an object.

    Raises:
        MessageError: The body is not a valid offer.
    """
    try:
        return _CODEC.loads(body.decode(), messages.HandoverOffer)
    except Exception as error:
        raise exceptions.MessageError(
            f"object is not a valid handover offer: {error!r}"
        ) from error
