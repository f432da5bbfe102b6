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


def matches(given: str, expected: str) -> bool:
    """Return whether a key equals the expected one; empty keys never match."""
    if not given or not expected:
        return False
    return hmac.compare_digest(_digest(given), _digest(expected))


def find_customer(
    current: deployment.Deployment, key: str
) -> deployment.Customer | None:
    """Return the customer that a key belongs to.

    Compares all hashes, so that the response time does not reveal which
    customer matched.
    """
    if not key:
        return None
    digest = _digest(key)
    found = None
    for customer in current.customers.values():
        for key_hash in customer.key_hashes:
            if hmac.compare_digest(digest, key_hash.lower().encode()):
                found = customer
    return found


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode()).hexdigest().encode()
