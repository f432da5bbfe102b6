"""Forwarded requests, reduced to what the decisions depend on."""

from __future__ import annotations

import dataclasses
import hashlib

from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import part_losses

_KEY_BYTES = 8


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt; engines cache equal leading parts across requests.

    `part_id` is the same for equal parts of different requests.
    """

    part_id: int
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """The size of a generation request, as its caller announced it."""

    tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]

    def shared_part_ids(self) -> tuple[int, ...]:
        """Return the ids of all parts but the last.

        The last part belongs to the request or its session alone.
        """
        return tuple(part.part_id for part in self.parts[:-1])


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """One request of a caller.

    `deadline_ms` is on the boot clock: the earlier of the caller's own
    deadline and the route's timeout. `units` is what the request counts
    against its customer's quota. `prompt` is None without a token count,
    `customer` None for an anonymous request. `key` is the same for requests
    with the same contents, 0 if they are not known.
    """

    request_id: str
    route: deployment.Route
    service: str
    customer: deployment.Customer | None
    prompt: Prompt | None
    units: float
    arrived_ms: int
    deadline_ms: int
    key: int = 0

    def suspects(self) -> tuple[int, ...]:
        """Return the ids by which losses of upstreams under it are recorded.

        They are its own, negative, and those of its shared prompt parts.
        """
        own = (part_losses.suspect_id(self.key),) if self.key else ()
        if self.prompt is None:
            return own
        return own + self.prompt.shared_part_ids()

    def priority(self) -> int:
        """Return the priority, 0 being the most urgent.

        The priority of the customer overrides that of the route.
        """
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


def contents_key(
    customer: str, host: str, method: bytes, target: bytes, body: bytes
) -> int:
    """Return a key that is the same for requests with the same contents.

    It is a BLAKE2b digest (RFC 7693) of 8 bytes, the same at all entries.
    `target` is the path with its query.
    """
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for field in (customer.encode(), host.encode(), method, target, body):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return int.from_bytes(digest.digest(), "big") or 1
