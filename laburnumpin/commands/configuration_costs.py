"""The `configuration-costs` command: measure applying a configuration."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import json

from laburnumpin.platform import configuration_costs


def run(routes: Sequence[int] | None, *, as_json: bool) -> str:
    """Return the costs by numbers of routes and of changed routes."""
    found = configuration_costs.measure(
        routes or configuration_costs.ROUTE_COUNTS
    )
    if as_json:
        return json.dumps([dataclasses.asdict(costs) for costs in found])
    return configuration_costs.format_table(found)
