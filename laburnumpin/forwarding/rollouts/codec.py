"""Codec of decisions on roll-outs, for the store and for digests."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding.rollouts import model

# Longest row of a decision, or of an operator's request for a roll-out.
MAX_ROW_BYTES = 16_384
MAX_REASON_CHARS = 100
# Decisions and rows of evidence in a digest, and load bands of a row.
MAX_DECISIONS = 16
MAX_EVIDENCE_ROWS = 64
MAX_BANDS = 16
# Keys of the rows in the table of the duties.
DECISION_PREFIX = "rollout/"
CONTROL_PREFIX = "rollout-control/"


@dataclasses.dataclass(slots=True, frozen=True)
class Control:
    """An operator's request for the roll-out of one order.

    `era` and `row_version` are those of the order, so that a request that is
    left over does not concern a later one.
    """

    service: str
    era: int
    row_version: int
    is_paused: bool = False
    is_aborted: bool = False

    def concerns(self, order: model.Order) -> bool:
        """Return whether the request is for the roll-out of an order."""
        return (self.service, self.era, self.row_version) == (
            order.service,
            order.era,
            order.row_version,
        )


def encode_decision(decision: model.Decision) -> list[Any]:
    """Return a decision as a list of numbers and texts."""
    order = decision.order
    return [
        order.service,
        order.target_version,
        order.duration_ms,
        order.era,
        order.row_version,
        decision.stage.value,
        decision.fencing_token,
        decision.sequence,
        decision.started_ms,
        decision.reason,
        decision.is_paused,
    ]


def decode_decision(encoded: Any) -> model.Decision:
    """Return the decision that `encode_decision` encoded.

    Raises:
        MalformedError: It is malformed.
    """
    field = "decision"
    items = untrusted.items(encoded, field, 11)
    try:
        stage = model.Stage(items[5])
    except ValueError as error:
        raise untrusted.MalformedError("stage", "unknown_value") from error
    return model.Decision(
        order=model.Order(
            untrusted.name(items[0], "service"),
            untrusted.name(items[1], "target_version"),
            untrusted.integer(
                items[2], "duration_ms", 0, untrusted.MAX_DURATION_MS
            ),
            untrusted.integer(items[3], "era"),
            untrusted.integer(items[4], "row_version"),
        ),
        stage=stage,
        fencing_token=untrusted.integer(items[6], "fencing_token"),
        sequence=untrusted.integer(items[7], "sequence"),
        started_ms=untrusted.integer(
            items[8], "started_ms", 0, untrusted.MAX_UNIX_MS
        ),
        reason=untrusted.text(items[9], "reason", MAX_REASON_CHARS),
        is_paused=items[10] is True,
    )


def encode_decisions(decisions: tuple[model.Decision, ...]) -> list[Any]:
    """Return decisions for a digest, up to the limit, unended ones first."""
    ordered = sorted(decisions, key=lambda decision: decision.stage.is_final)
    return [encode_decision(decision) for decision in ordered[:MAX_DECISIONS]]


def decode_decisions(encoded: Any) -> tuple[model.Decision, ...]:
    """Return the decisions of a digest, up to the limit.

    Raises:
        MalformedError: They are malformed.
    """
    rows = untrusted.sequence(encoded, "decisions")[:MAX_DECISIONS]
    return tuple(decode_decision(row) for row in rows)


def encode_row(decision: model.Decision) -> bytes:
    """Return the value of a decision's row in the store."""
    return json.dumps({"decision": encode_decision(decision)}).encode()


def decode_row(value: bytes) -> model.Decision:
    """Return the decision in a row of the store.

    Raises:
        MalformedError: The row is malformed.
    """
    document = untrusted.parse_json(value, MAX_ROW_BYTES)
    return decode_decision(untrusted.required(document, "decision"))


def encode_control(control: Control) -> bytes:
    """Return the value of the row of an operator's request."""
    return json.dumps(dataclasses.asdict(control)).encode()


def decode_control(value: bytes) -> Control:
    """Return the operator's request in a row.

    Raises:
        MalformedError: The row is malformed.
    """
    fields = untrusted.parse_json(value, MAX_ROW_BYTES)
    return Control(
        untrusted.name(untrusted.required(fields, "service"), "service"),
        untrusted.integer(untrusted.required(fields, "era"), "era"),
        untrusted.integer(
            untrusted.required(fields, "row_version"), "row_version"
        ),
        fields.get("is_paused") is True,
        fields.get("is_aborted") is True,
    )


def encode_evidence(rows: tuple[model.EvidenceRow, ...]) -> list[Any]:
    """Return evidence for a digest, grouped by the order that it is about."""
    groups: dict[tuple[str, int, int], list[Any]] = {}
    for row in rows:
        order_key = (row.service, row.era, row.row_version)
        groups.setdefault(order_key, []).append(
            [
                row.is_target,
                row.route,
                row.zone,
                row.band,
                row.answers,
                row.errors,
                row.slow,
            ]
        )
    return [[*order_key, group] for order_key, group in groups.items()]


def decode_evidence(encoded: Any) -> tuple[model.EvidenceRow, ...]:
    """Return the evidence of a digest, up to the limit.

    Raises:
        MalformedError: It is malformed.
    """
    field = "evidence"
    rows: list[model.EvidenceRow] = []
    for group in untrusted.sequence(encoded, field):
        service, era, row_version, counts = untrusted.items(group, field, 4)
        for row in untrusted.sequence(counts, field):
            if len(rows) >= MAX_EVIDENCE_ROWS:
                return tuple(rows)
            items = untrusted.items(row, field, 7)
            rows.append(
                model.EvidenceRow(
                    untrusted.name(service, field),
                    untrusted.integer(era, field),
                    untrusted.integer(row_version, field),
                    items[0] is True,
                    untrusted.text(items[1], field),
                    untrusted.text(items[2], field),
                    untrusted.integer(items[3], field, 0, MAX_BANDS),
                    untrusted.integer(items[4], field),
                    untrusted.integer(items[5], field),
                    untrusted.integer(items[6], field),
                )
            )
    return tuple(rows)
