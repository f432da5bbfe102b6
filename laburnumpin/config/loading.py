"""Loading of configuration documents."""

from __future__ import annotations

from laburnumpin.core import deployment


def load_document(document: str) -> deployment.Deployment:
    """Check a JSON document and return the deployment that it describes.

    Raises:
        ConfigurationError: The document is invalid; lists every problem.
    """
    raise NotImplementedError
