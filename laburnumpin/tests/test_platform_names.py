"""Checks that the platform's names occur only in `laburnumpin/platform/`."""

from __future__ import annotations

import pathlib
import re

PACKAGE = pathlib.Path(__file__).parent.parent
# Names of the platform's HTTP API, settings and benchmarks that the project
# does not use itself.
PLATFORM_NAMES = re.compile(
    r"x-laburnumpin-(attempt|deadline|credential|tenant|expect|not-exec|token-"
    r"count|prompt|request-pri|kv-|pin|response-seal|duty|fencing|instance)"
    r"|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|kv-(move|from|fetch)"
    r"|after_revision|expected_revision|set_keys|api_keys|node_name"
    r"|internal_ports|control_plane|cold_remaining_ms|desired_count|window_id"
    r"|traffic_split|route_type|target_latency_ms|gap_aim_ms|leaves_ms"
    r"|spot_price|min_replicas|max_replicas|zone_prices|kv_capacity_tokens"
    r"|kv_token_bytes|health_path|fleetbench|\"(servers|op|spot)\"",
    re.IGNORECASE,
)


def test_platform_names_occur_only_in_the_platform_package() -> None:
    violations = []
    for path in sorted(PACKAGE.rglob("*.py")):
        parts = path.relative_to(PACKAGE).parts
        if parts[0] == "platform":
            continue
        if parts[0] == "tests" and parts[1].startswith("test_platform_"):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if PLATFORM_NAMES.search(line):
                violations.append(f"{'/'.join(parts)}:{number}: {line.strip()}")
    assert not violations
