"""A decoded configuration, with what the next one can take from it."""

from __future__ import annotations

from collections.abc import Generator
import dataclasses

from laburnumpin.forwarding import deployment
from laburnumpin.forwarding.configurations import json_lists

# Objects that are dropped between two pauses.
RELEASED_PER_STEP = 64


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """A decoded configuration and the document that it comes from."""

    deployment: deployment.Deployment
    document: json_lists.Document


def release_steps(
    retired: list[Configuration],
) -> Generator[None, None, None]:
    """Drop configurations; yields between the objects that they hold."""
    while retired:
        held: list[object] = []
        configuration = retired.pop()
        held.extend(configuration.deployment.lookup_entries())
        for found in configuration.document.lists.values():
            held.extend(found.items)
            del found
        del configuration
        yield
        while held:
            del held[-RELEASED_PER_STEP:]
            yield
