"""The text that the engine stand-in generates, one word for each token."""

from __future__ import annotations

import hashlib

TOKEN_CHARACTERS = 8


def prompt_digest(prompt: str) -> bytes:
    """Return the part of a token's hash input that depends on the prompt."""
    return hashlib.blake2b(prompt.encode(), digest_size=16).digest()


def token_text(digest: bytes, index: int) -> str:
    """Return the token at `index` for the prompt with `digest`."""
    source = digest + index.to_bytes(8, "big")
    return hashlib.blake2b(source, digest_size=4).hexdigest()[:-1] + " "


def expected_text(prompt: str, start: int, end: int) -> str:
    """Return the tokens from `start` up to but not including `end`."""
    digest = prompt_digest(prompt)
    return "".join(token_text(digest, index) for index in range(start, end))
