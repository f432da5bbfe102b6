"""Learns the capacity of upstreams from answers and from peers."""

from __future__ import annotations

import math

from laburnumpin.forwarding.capacity import model


def observe(
    service_model: model.ServiceModel,
    slowness: model.Slowness,
    load: model.Load,
    observed_ms: int,
    now_ms: int,
) -> float | None:
    """Learn from one answer's time to the first byte.

    Returns:
        The logarithm of the observed time to that of a typical upstream, which
        peers learn from; None if the time is out of range.
    """
    if not 0 <= observed_ms <= model.MAX_OBSERVED_MS:
        return None
    observed_ms = max(model.MIN_OBSERVED_MS, observed_ms)
    log_ratio = math.log(observed_ms / service_model.predict_ms(load))
    # A short slowdown of one upstream says nothing of its service.
    error = log_ratio - math.log(slowness.factor(now_ms))
    service_model.observe(load, error)
    slowness.observe(log_ratio, 1, now_ms)
    return log_ratio
