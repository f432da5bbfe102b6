"""Codec of the platform's orders and states of roll-outs."""

from __future__ import annotations

import json

from laburnumpin.forwarding import interfaces
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.rollouts import model

KEY_PREFIX = "rollout/"
MAX_ORDER_BYTES = 65_536
MAX_SECONDS = untrusted.MAX_DURATION_MS / 1_000
_NAME_BY_STAGE = {
    model.Stage.WAITING: "in_progress",
    model.Stage.CANARY: "in_progress",
    model.Stage.SHIFTING: "in_progress",
    model.Stage.COMPLETED: "completed",
    model.Stage.ROLLED_BACK: "rolled_back",
}


class PlatformRollouts:
    """Implements `RolloutDocuments` for the platform's JSON formats."""

    __slots__ = ()

    def ordered_service(self, key: str) -> str | None:
        """Return the service that a row of the operator orders to move.

        None for the other rows.
        """
        if not key.startswith(KEY_PREFIX) or len(key) == len(KEY_PREFIX):
            return None
        return key.removeprefix(KEY_PREFIX)

    def decode_order(self, row: interfaces.Row, era: int) -> model.Order:
        """Return the order in a row that is present.

        Raises:
            MalformedError: The row is malformed, or names another service than
                its key.
        """
        document = untrusted.parse_json(row.value or b"", MAX_ORDER_BYTES)
        service = untrusted.name(
            untrusted.required(document, "service"), "service"
        )
        if service != self.ordered_service(row.key):
            raise untrusted.MalformedError("service", "unknown_value")
        seconds = untrusted.number(
            untrusted.required(document, "duration_s"),
            "duration_s",
            0.0,
            MAX_SECONDS,
        )
        return model.Order(
            service=service,
            target_version=untrusted.name(
                untrusted.required(document, "to"), "to"
            ),
            duration_ms=int(seconds * 1_000),
            era=era,
            row_version=row.version,
        )

    def encode_state(self, decision: model.Decision) -> tuple[str, bytes]:
        """Return key and value of the row that reports a roll-out's state."""
        order = decision.order
        document = {
            "service": order.service,
            "state": _NAME_BY_STAGE[decision.stage],
            "to": order.target_version,
        }
        return KEY_PREFIX + order.service, json.dumps(document).encode()
