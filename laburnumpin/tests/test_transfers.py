"""Tests of the conversion of handover offers to and from objects."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from laburnumpin import exceptions
from laburnumpin.core import ids
from laburnumpin.core import messages
from laburnumpin.core import transfers


@hypothesis.given(body=strategies.binary(max_size=100))
def test_malformed_object_raises_message_error(body: bytes) -> None:
    """Guards against an uncaught error at each entry that reads the object."""
    with pytest.raises(exceptions.MessageError):
        transfers.decode(body)


def test_offer_round_trips_through_its_object() -> None:
    """Guards against an offer that its successor cannot read."""
    offer = messages.HandoverOffer("b1", ids.EntryId("e1", 7), ())
    assert transfers.decode(transfers.encode(offer)) == offer
