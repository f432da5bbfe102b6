"""Tests of the choice of an upstream and of the limit of idle connections."""

from __future__ import annotations

import random

import pytest

from laburnumpin.forwarding import pool
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import upstreams
from laburnumpin.tests import forwarding_builders as build


def _plain_upstreams(*cold_ms: int) -> list[upstreams.Upstream]:
    built = []
    for number, each_ms in enumerate(cold_ms):
        registration = build.registration(
            f"d{number}", service=build.PLAIN_SERVICE, slots=6, cold_ms=each_ms
        )
        built.append(upstreams.Upstream(registration, 0))
    return built


def _chosen_id(candidates: list[upstreams.Upstream], now_ms: int) -> str:
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


def test_upstream_that_has_just_started_is_avoided_while_it_is_slow() -> None:
    candidates = _plain_upstreams(5_000, 0)
    candidates[1].own_streams = 2
    assert _chosen_id(candidates, 4_000) == "d1"
    assert _chosen_id(candidates, 6_000) == "d0"


@pytest.mark.parametrize("entries", [1, 6, 74, 300])
def test_idle_connections_leave_room_for_requests(entries: int) -> None:
    # An upstream accepts 500 connections in total. The idle ones of up to 300
    # entries must leave some for requests.
    max_idle = pool.idle_limit(500, entries)
    assert max_idle >= 1
    assert max_idle * entries <= 300
