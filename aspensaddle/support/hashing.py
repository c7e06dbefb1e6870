"""Hashes that are the same in every process and on every machine."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 8


def stable_hash(text: str | bytes, bits: int) -> int:
    """Return a hash of up to 64 bits, the same for the same text everywhere."""
    data = text.encode() if isinstance(text, str) else text
    digest = blake2b(data, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") >> (8 * DIGEST_BYTES - bits)
