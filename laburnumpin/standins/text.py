"""The output of the engine stand-in, one word for each token.

A token depends only on the prompt and the token's index, so that the output
of any attempt can be checked and resumed at any offset.
"""

from __future__ import annotations

import hashlib

TOKEN_CHARACTERS = 8  # Seven hexadecimal digits and a space.


def prompt_digest(prompt: str) -> bytes:
    """Return the hash of a prompt from which its tokens are derived."""
    return hashlib.blake2b(prompt.encode(), digest_size=16).digest()


def token_text(digest: bytes, index: int) -> str:
    """Return the token at `index` for the prompt with `digest`."""
    source = digest + index.to_bytes(8, "big")
    return hashlib.blake2b(source, digest_size=4).hexdigest()[:-1] + " "


def expected_text(prompt: str, start: int, end: int) -> str:
    """Return the tokens from `start` up to but not including `end`."""
    digest = prompt_digest(prompt)
    return "".join(token_text(digest, index) for index in range(start, end))
