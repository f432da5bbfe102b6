"""The state of one entry, composed of the states of the core modules."""

from __future__ import annotations

import random

from laburnumpin.core import claims
from laburnumpin.core import configuration
from laburnumpin.core import counters
from laburnumpin.core import fleet
from laburnumpin.core import handover
from laburnumpin.core import ids
from laburnumpin.core import lifecycle
from laburnumpin.core import limits
from laburnumpin.core import membership
from laburnumpin.core import moves
from laburnumpin.core import prefixes
from laburnumpin.core import requests
from laburnumpin.core import retries
from laburnumpin.core import store
from laburnumpin.core import subscriptions
from laburnumpin.core import upstreams


class EntryState:
    """The state to which the reducer applies events.

    Each core module has its state in the attribute of the same name.
    `random` is seeded by the caller, so that a run can be replayed.
    `next_operation` numbers the store operations of all modules.
    """

    __slots__ = (
        "claims",
        "configuration",
        "counters",
        "entry",
        "fleet",
        "handover",
        "lifecycle",
        "limits",
        "membership",
        "moves",
        "next_operation",
        "peer_address",
        "prefixes",
        "random",
        "requests",
        "retries",
        "subscriptions",
        "upstreams",
        "zone",
    )

    def __init__(
        self, entry: ids.EntryId, zone: str, peer_address: str, seed: int
    ) -> None:
        self.entry = entry
        self.zone = zone
        self.peer_address = peer_address
        self.random = random.Random(seed)
        self.lifecycle = lifecycle.LifecycleState()
        self.counters = counters.Counters()
        self.next_operation = 1
        self.requests = requests.RequestsState()
        self.subscriptions = subscriptions.SubscriptionsState()
        self.claims = claims.ClaimsState()
        self.retries = retries.RetriesState()
        self.moves = moves.MovesState()
        self.handover = handover.HandoverState()
        self.upstreams = upstreams.UpstreamsState()
        self.prefixes = prefixes.PrefixesState()
        self.limits = limits.LimitsState()
        self.membership = membership.MembershipState()
        self.configuration = configuration.ConfigurationState()
        self.fleet = fleet.FleetState()

    def new_operation(self, module: store.StoreModule) -> store.OperationId:
        """Return an unused id for a store operation of `module`."""
        number = self.next_operation
        self.next_operation += 1
        return store.OperationId(module, number)
