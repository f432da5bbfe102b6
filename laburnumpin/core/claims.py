"""Claims that let a non-idempotent call run at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumpin.core import effects
from laburnumpin.core import events

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state


class ClaimsState:
    """Claims that wait for the store."""

    __slots__ = ()


def claim(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> list[effects.Effect]:
    """Claim the right to run a request.

    Answers later through `requests.on_claimed`, `requests.on_claim_failed`
    or `requests.on_claim_outcome`.
    """
    raise NotImplementedError


def on_ended(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> list[effects.Effect]:
    """Record the outcome of a claimed request, or release its claim."""
    return []


def on_store_event(
    state: entry_state.EntryState, event: events.StoreEvent
) -> list[effects.Effect]:
    """Continue with the claims that an answer of the store concerns."""
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Commit the claims that wait, in groups."""
    return []
