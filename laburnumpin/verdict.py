"""Verdicts on whether a request ran at an upstream."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """Whether a request may have run at an upstream.

    `NOT_RUN` is final: no copy of the request that is queued, delayed or held
    by a peer may run after this verdict was given.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


_SEVERITY = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def combine(first: Verdict, second: Verdict) -> Verdict:
    """Return the verdict for a request: the more severe of two attempts."""
    return first if _SEVERITY[first] >= _SEVERITY[second] else second
