"""Capacity models: the time that an upstream takes, learned from its answers.

The time to the first byte is predicted as

    slowness * (fixed time + prompt tokens to read * time per token)

for an engine, and as slowness * work time * rounds of the queue for a plain
service. The times belong to the service, the slowness to one upstream; an
upstream without answers has the times of its service. Each answer moves both
by a share of the logarithm of observed to predicted time. That error is
limited, so that the estimates follow the median rather than single answers.
"""

from __future__ import annotations

import dataclasses
import math

# Start values until a service has answers: prompt tokens that an engine reads
# in a ms (prefill), the time to the first token without reading, and the work
# time of a plain service's request.
START_TOKENS_PER_MS = 68.2
START_FIXED_MS = 36.0
START_WORK_MS = 45.0
# Start values of a decoding step, and what each stream adds to it.
START_STEP_MS = 3.82
START_STEP_MS_PER_STREAM = 0.0227
# Decoding steps until the first token is delivered.
FIRST_TOKEN_STEPS = 2
# What each running stream adds to the predicted time of a plain service, in
# shares of the work time per slot, so that the less loaded upstream is
# preferred also while no request has to wait.
PLAIN_LOAD_SHARE = 0.2

# Bounds of the learned times, as factors on the start values, and of the
# slowness.
MAX_TIME_FACTOR = 16.0
MAX_SLOWNESS = 10.0
# Limit of one answer's error, as a logarithm.
MAX_ERROR = 0.7
# Share of an error by which a service's times move: after many answers, and
# as the dividend of the number of answers before.
SERVICE_WEIGHT = 0.01
SERVICE_START_WEIGHT = 4.0
# Share of an error by which an upstream's lasting slowness moves, and the time
# constant with which it approaches its service's times without answers.
LASTING_WEIGHT = 0.03
LASTING_TIME_CONSTANT_MS = 20_000
# The same for a short slowdown, such as a noisy neighbour on the VM.
SHORT_WEIGHT = 0.25
SHORT_TIME_CONSTANT_MS = 600
# Logarithms below these are the noise of queues that an entry does not see.
MIN_LASTING = 0.2
MIN_SHORT = 0.7
# Answers that are counted at most; more make an estimate no surer.
MAX_ANSWERS = 1_000
# Observed times outside of these bounds are dropped.
MIN_OBSERVED_MS = 1
MAX_OBSERVED_MS = 120_000


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """What an entry knew of an upstream when it sent a request.

    `tokens` are the prompt tokens that are read before the first token: the
    request's own and those that wait. `streams` are the requests that run
    there; `slots` is how many a plain service runs at once, 0 for an engine.
    """

    tokens: int
    streams: int
    slots: int = 0


class ServiceModel:
    """The times of a service's typical upstream."""

    __slots__ = ("answers", "fixed_ms", "ms_per_token", "work_ms")

    def __init__(self) -> None:
        self.answers = 0
        self.fixed_ms = START_FIXED_MS
        self.ms_per_token = 1 / START_TOKENS_PER_MS
        self.work_ms = START_WORK_MS

    def predict_ms(self, load: Load) -> float:
        """Return the time to the first byte at a typical upstream."""
        if load.slots:
            queued = max(0, load.streams + 1 - load.slots) / load.slots
            share = PLAIN_LOAD_SHARE * load.streams / load.slots
            return self.work_ms * (1 + queued + share)
        return self._unread_ms(load) + max(0, load.tokens) * self.ms_per_token

    def _unread_ms(self, load: Load) -> float:
        """Return an engine's time to the first token without reading."""
        step_ms = START_STEP_MS + START_STEP_MS_PER_STREAM * load.streams
        return self.fixed_ms + FIRST_TOKEN_STEPS * step_ms

    def observe(self, load: Load, error: float) -> None:
        """Learn from the logarithm of observed to predicted time.

        Each time moves by its part of the prediction.
        """
        error = max(-MAX_ERROR, min(MAX_ERROR, error))
        weight = max(
            SERVICE_WEIGHT,
            min(0.3, SERVICE_START_WEIGHT / (self.answers + 1)),
        )
        self.answers = min(MAX_ANSWERS, self.answers + 1)
        if load.slots:
            self.work_ms = _moved(self.work_ms, weight * error, START_WORK_MS)
            return
        reading_ms = max(0, load.tokens) * self.ms_per_token
        read_share = reading_ms / (reading_ms + self._unread_ms(load))
        self.ms_per_token = _moved(
            self.ms_per_token,
            weight * error * read_share,
            1 / START_TOKENS_PER_MS,
        )
        self.fixed_ms = _moved(
            self.fixed_ms, weight * error * (1 - read_share), START_FIXED_MS
        )

    def adopt(self, peer: ServiceModel) -> bool:
        """Take over a peer's times if they are from more answers."""
        if peer.answers <= 2 * self.answers:
            return False
        self.answers = peer.answers // 2
        self.fixed_ms = _moved(peer.fixed_ms, 0.0, START_FIXED_MS)
        self.ms_per_token = _moved(
            peer.ms_per_token, 0.0, 1 / START_TOKENS_PER_MS
        )
        self.work_ms = _moved(peer.work_ms, 0.0, START_WORK_MS)
        return True


class Slowness:
    """How much slower than its service's typical upstream one upstream is.

    All values are logarithms, 0 for a typical upstream.
    """

    __slots__ = ("_changed_ms", "_lasting", "_short", "answers")

    def __init__(self, now_ms: int) -> None:
        self._lasting = 0.0
        self._short = 0.0
        self._changed_ms = now_ms
        self.answers = 0

    def lasting(self, now_ms: int) -> float:
        """Return the slowness of the machine itself."""
        elapsed_ms = max(0, now_ms - self._changed_ms)
        return self._lasting * math.exp(-elapsed_ms / LASTING_TIME_CONSTANT_MS)

    def short(self, now_ms: int) -> float:
        """Return what a short slowdown adds at the moment."""
        elapsed_ms = max(0, now_ms - self._changed_ms)
        return self._short * math.exp(-elapsed_ms / SHORT_TIME_CONSTANT_MS)

    def factor(self, now_ms: int) -> float:
        """Return the factor on the times of the service."""
        limit = math.log(MAX_SLOWNESS)
        level = self.lasting(now_ms)
        level -= max(-MIN_LASTING, min(MIN_LASTING, level))
        level += max(0.0, self.short(now_ms) - MIN_SHORT)
        return math.exp(max(-limit, min(limit, level)))

    def observe(self, log_ratio: float, answers: int, now_ms: int) -> None:
        """Learn from answers.

        `log_ratio` is the mean logarithm of observed time to that of a typical
        upstream of the service.
        """
        lasting, short = self.lasting(now_ms), self.short(now_ms)
        lasting_error = _limited(log_ratio - lasting)
        short_error = _limited(log_ratio - lasting - short)
        self._lasting = lasting + lasting_error * _weight(
            LASTING_WEIGHT, answers
        )
        self._short = max(0.0, short + short_error * _weight(SHORT_WEIGHT, 1))
        self._changed_ms = now_ms
        self.answers = min(MAX_ANSWERS, self.answers + answers)

    def adopt(self, lasting: float, answers: int, now_ms: int) -> bool:
        """Take over a peer's estimate if it is from more answers."""
        if answers <= 2 * self.answers:
            return False
        limit = math.log(MAX_SLOWNESS)
        self._lasting = max(-limit, min(limit, lasting))
        self._short = 0.0
        self._changed_ms = now_ms
        self.answers = answers // 2
        return True


def step_ms(streams: int) -> float:
    """Return the time of a decoding step beside a number of streams."""
    return START_STEP_MS + START_STEP_MS_PER_STREAM * streams


def _limited(error: float) -> float:
    return max(-MAX_ERROR, min(MAX_ERROR, error))


def _weight(weight: float, answers: int) -> float:
    """Return the weight of several answers with the same error."""
    return 1 - (1 - weight) ** answers


def _moved(value: float, by: float, start: float) -> float:
    """Return a time moved by a logarithm, within the bounds."""
    value *= math.exp(by)
    return max(start / MAX_TIME_FACTOR, min(start * MAX_TIME_FACTOR, value))
