"""A forwarded request as the decisions see it."""

from __future__ import annotations

import dataclasses

from laburnumpin.forwarding import deployment


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt; requests with equal leading parts share a cache."""

    part_id: int
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """The announced size of a generation."""

    tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """One request of a caller.

    `deadline_ms` is on this process's clock: the earlier of the caller's own
    deadline and the route's timeout. `units` is what the request counts
    against its customer's quota.
    """

    request_id: str
    route: deployment.Route
    service: str
    customer: deployment.Customer | None
    prompt: Prompt | None
    units: float
    arrived_ms: int
    deadline_ms: int

    def priority(self) -> int:
        """Return the rank, 0 being the most urgent.

        The rank of the customer goes before that of the route.
        """
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority
