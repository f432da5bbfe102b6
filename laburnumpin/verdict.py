"""Verdicts on whether a request has run."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """States whether a request may have run at an upstream.

    `NOT_RUN` holds for the past and the future: nothing that is queued, held
    by a peer or delayed may run the request after this verdict was given.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


_SEVERITY = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def combine(first: Verdict, second: Verdict) -> Verdict:
    """Return the verdict for a request from the verdicts of two attempts."""
    return first if _SEVERITY[first] >= _SEVERITY[second] else second
