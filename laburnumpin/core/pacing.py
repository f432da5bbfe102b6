"""Predict latencies of the upstreams of one service and VM class."""

from __future__ import annotations

import dataclasses

# Factor by which each new observation reduces the weight of older ones. The
# resulting window of 200 observations is about 30 s of reports from 6 engines.
_STEP_DECAY = 0.995
# Weight of the prior on the slope, as a variance of the number of streams. The
# prior is that half of the mean step time scales with the streams; it dominates
# while all reports show the same load.
_PRIOR_VARIANCE = 4.0
# Limits on extrapolation beyond the highest observed number of streams: a
# factor, or a number of streams if that allows more.
_MAX_EXTRAPOLATION_FACTOR = 2.0
_MIN_EXTRAPOLATION_STREAMS = 8
# Weights of a new observation in the exponential moving averages.
_SERVICE_TIME_WEIGHT = 0.05
_RUN_WEIGHT = 0.05


@dataclasses.dataclass(slots=True)
class LatencyModel:
    """Predicts step times, call times and run times.

    The step time of an engine is a line over its running streams, fitted to
    load reports by least squares with exponential decay. `service_ms` is the
    moving average of the time of a plain call. `run_ms_per_token` is the
    moving average of the run time per token of prompt and `max_tokens`; most
    answers are shorter than `max_tokens`, which the average accounts for.
    `weight` and the `sum_` fields are the decayed sums of the fit.
    """

    weight: float = 0.0
    sum_streams: float = 0.0
    sum_step_ms: float = 0.0
    sum_streams_squared: float = 0.0
    sum_product: float = 0.0
    max_observed_streams: float = 0.0
    service_ms: float = 0.0
    run_ms_per_token: float = 0.0
    prefill_tokens_per_s: float = 8_000.0

    def observe_step(self, streams: int, step_ms: float) -> None:
        """Add the step time that a load report shows for running streams."""
        if streams <= 0 or step_ms <= 0:
            return
        self.weight = self.weight * _STEP_DECAY + 1.0
        self.sum_streams = self.sum_streams * _STEP_DECAY + streams
        self.sum_step_ms = self.sum_step_ms * _STEP_DECAY + step_ms
        self.sum_streams_squared = (
            self.sum_streams_squared * _STEP_DECAY + streams * streams
        )
        self.sum_product = self.sum_product * _STEP_DECAY + streams * step_ms
        self.max_observed_streams = max(
            self.max_observed_streams * _STEP_DECAY, streams
        )

    def observe_service(self, duration_ms: float) -> None:
        """Add the duration of a plain call."""
        if self.service_ms == 0.0:
            self.service_ms = duration_ms
            return
        change_ms = duration_ms - self.service_ms
        self.service_ms += _SERVICE_TIME_WEIGHT * change_ms

    def observe_run(self, duration_ms: float, tokens: int) -> None:
        """Add the run time of a request whose `queues.cost` is `tokens`."""
        per_token_ms = duration_ms / tokens
        if self.run_ms_per_token == 0.0:
            self.run_ms_per_token = per_token_ms
            return
        change_ms = per_token_ms - self.run_ms_per_token
        self.run_ms_per_token += _RUN_WEIGHT * change_ms

    def step_line(self) -> tuple[float, float]:
        """Return the step time without streams and its increase per stream.

        Both are in milliseconds, and 0 without observations.
        """
        if self.weight == 0.0:
            return 0.0, 0.0
        mean_streams = self.sum_streams / self.weight
        mean_step_ms = self.sum_step_ms / self.weight
        variance = self.sum_streams_squared / self.weight - mean_streams**2
        covariance = (
            self.sum_product / self.weight - mean_streams * mean_step_ms
        )
        prior_slope_ms = 0.5 * mean_step_ms / mean_streams
        slope_ms = (covariance + _PRIOR_VARIANCE * prior_slope_ms) / (
            max(variance, 0.0) + _PRIOR_VARIANCE
        )
        slope_ms = max(slope_ms, 0.0)
        return max(mean_step_ms - slope_ms * mean_streams, 0.0), slope_ms

    def step_ms(self, streams: float) -> float:
        """Predict the step time with this many running streams."""
        base_ms, slope_ms = self.step_line()
        return base_ms + slope_ms * streams

    def max_streams(self, target_ms: float) -> float:
        """Return how many streams keep the step time within a target.

        The result is infinite while the fitted increase per stream is 0, as it
        is without observations. Otherwise extrapolation is limited.
        """
        base_ms, slope_ms = self.step_line()
        if slope_ms <= 0.0:
            return float("inf")
        extrapolation_limit = max(
            self.max_observed_streams * _MAX_EXTRAPOLATION_FACTOR,
            self.max_observed_streams + _MIN_EXTRAPOLATION_STREAMS,
        )
        return max(
            1.0, min((target_ms - base_ms) / slope_ms, extrapolation_limit)
        )
