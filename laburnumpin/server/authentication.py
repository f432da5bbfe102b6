"""Authentication by bearer keys, which are compared in constant time."""

from __future__ import annotations

import hashlib
import hmac

from starlette import requests

from laburnumpin.core import deployment


def bearer_key(request: requests.Request) -> str:
    """Return the bearer key of the `Authorization` header, or ""."""
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def matches(presented_key: str, expected_key: str) -> bool:
    """Return whether two keys or secrets are equal; empty ones never match."""
    if not presented_key or not expected_key:
        return False
    return hmac.compare_digest(_digest(presented_key), _digest(expected_key))


def find_customer(
    current_deployment: deployment.Deployment, key: str
) -> deployment.Customer | None:
    """Return the customer that a key belongs to.

    Compares all hashes, so that the response time does not reveal which
    customer matched.
    """
    if not key:
        return None
    digest = _digest(key)
    matching_customer = None
    for customer in current_deployment.customers.values():
        for key_hash in customer.key_hashes:
            if hmac.compare_digest(digest, key_hash.lower().encode()):
                matching_customer = customer
    return matching_customer


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode()).hexdigest().encode()
