"""Which upstream a request goes to, and how many connections are kept."""

from __future__ import annotations

import random

import pytest

from laburnumpin.forwarding import pool
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import upstreams
from laburnumpin.tests import forwarding_builders as build


def _desks(*cold_ms: int) -> list[upstreams.Upstream]:
    found = []
    for number, each_ms in enumerate(cold_ms):
        registration = build.registration(
            f"d{number}", service=build.PLAIN_SERVICE, slots=6, cold_ms=each_ms
        )
        found.append(upstreams.Upstream(registration, 0))
    return found


def _chosen(candidates: list[upstreams.Upstream], now_ms: int) -> str:
    choice = selection.choose(
        candidates,
        build.request(service=build.PLAIN_SERVICE, route=build.calls()),
        build.configuration().services[build.PLAIN_SERVICE],
        "a",
        set(),
        now_ms,
        random.Random(1),
        selection.ServiceView(),
    )
    assert choice is not None
    return choice.upstream.registration.upstream_id


def test_upstream_that_has_just_started_is_spared_while_it_is_slow() -> None:
    candidates = _desks(5_000, 0)
    candidates[1].own_streams = 2
    assert _chosen(candidates, 4_000) == "d1"
    assert _chosen(candidates, 6_000) == "d0"


@pytest.mark.parametrize("entries", [1, 6, 74, 300])
def test_idle_connections_leave_room_for_requests(entries: int) -> None:
    # 300 entries, 500 connections: an upstream that all of them keep idle
    # connections to still takes requests.
    kept = pool.idle_limit(500, entries)
    assert kept >= 1
    assert kept * entries <= 300
