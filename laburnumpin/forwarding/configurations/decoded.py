"""A decoded configuration, with what the next one can take from it."""

from __future__ import annotations

import dataclasses

from laburnumpin.forwarding import deployment
from laburnumpin.forwarding.configurations import json_lists


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """A decoded configuration and the document that it comes from."""

    deployment: deployment.Deployment
    document: json_lists.Document
