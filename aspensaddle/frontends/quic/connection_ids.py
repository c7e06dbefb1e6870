"""Routable connection ids as draft-ietf-quic-load-balancers lays them out, and stateless reset tokens.

The first octet holds the configuration in its top three bits (section 3.1) and, where a configuration asks for
it, the id's own length in the other five (section 3.3). Behind it stand the runner's server id and a nonce:
plain (5.1), as one AES block where they fill it (5.4.1), or through the four passes of a Feistel network (5.4.2).
What a runner needs to issue such ids is here too, so that both sides read the same.
"""

from __future__ import annotations

import hmac
import os
from dataclasses import dataclass, field

from cryptography.hazmat.primitives.ciphers import Cipher, CipherContext
from cryptography.hazmat.primitives.ciphers.algorithms import AES
from cryptography.hazmat.primitives.ciphers.modes import ECB

UNROUTABLE_CODEPOINT = 7  # the codepoint that the draft keeps for ids without a server id (section 3.2)
MAX_CID_BYTES = 20  # octets of an id in versions 1 and 2 (RFC 9000, 17.2)
MAX_SERVER_ID_BYTES = 15
MIN_NONCE_BYTES = 4
AES_BLOCK_BYTES = 16
STATELESS_RESET_TOKEN_BYTES = 16
LENGTH_MASK = 0x1F


@dataclass(frozen=True, slots=True)
class IdFormat:
    """How the ids of one configuration are laid out. Impossible figures raise a `ValueError` that names them.

    `key` is 16 octets or None (plaintext); `self_length` writes and checks the length in the first octet.
    """

    rotation: int
    server_id_length: int  # octets
    nonce_length: int  # octets
    key: bytes | None = None
    self_length: bool = False
    _encryptor: CipherContext | None = field(init=False, repr=False, compare=False, default=None)
    _decryptor: CipherContext | None = field(init=False, repr=False, compare=False, default=None)

    def __post_init__(self) -> None:
        if not 0 <= self.rotation < UNROUTABLE_CODEPOINT:
            raise ValueError(f"rotation must be 0 to {UNROUTABLE_CODEPOINT - 1}, not {self.rotation}")
        if not 1 <= self.server_id_length <= MAX_SERVER_ID_BYTES:
            raise ValueError(f"server_id_length must be 1 to {MAX_SERVER_ID_BYTES}, not {self.server_id_length}")
        if self.nonce_length < MIN_NONCE_BYTES or self.length > MAX_CID_BYTES:
            raise ValueError(
                f"nonce_length must be {MIN_NONCE_BYTES} at least and the id {MAX_CID_BYTES} octets at most, "
                f"not {self.nonce_length}"
            )
        if self.key is not None:
            if len(self.key) != AES_BLOCK_BYTES:
                raise ValueError(f"key must be {AES_BLOCK_BYTES} octets")
            cipher = Cipher(AES(self.key), ECB())
            object.__setattr__(self, "_encryptor", cipher.encryptor())
            object.__setattr__(self, "_decryptor", cipher.decryptor())

    @property
    def length(self) -> int:
        """Octets of an id, its first one included."""
        return 1 + self.server_id_length + self.nonce_length

    @property
    def algorithm(self) -> str:
        if self.key is None:
            return "plaintext"
        return "single-pass" if self.length == 1 + AES_BLOCK_BYTES else "four-pass"

    def encode(self, server_id: bytes, nonce: bytes | None = None) -> bytes:
        """A new id for a runner. Nonces must not repeat under one key; the one made here is random."""
        if len(server_id) != self.server_id_length:
            raise ValueError(f"the server id must be {self.server_id_length} octets")
        nonce = os.urandom(self.nonce_length) if nonce is None else nonce
        if len(nonce) != self.nonce_length:
            raise ValueError(f"the nonce must be {self.nonce_length} octets")
        low = self.length - 1 if self.self_length else os.urandom(1)[0] & LENGTH_MASK
        body = server_id + nonce
        if self._encryptor is not None:
            body = (
                self._encryptor.update(body)
                if len(body) == AES_BLOCK_BYTES
                else self._feistel_passes(body, (1, 2, 3, 4))
            )
        return bytes([self.rotation << 5 | low]) + body

    def matches(self, cid: bytes) -> bool:
        """Whether an id could be of this configuration, by its length and what it says of it."""
        return len(cid) == self.length and (not self.self_length or cid[0] & LENGTH_MASK == self.length - 1)

    def decode(self, cid: bytes) -> bytes:
        """The server id in an id that `matches`."""
        body = cid[1 : self.length]
        if self._decryptor is not None:
            body = (
                self._decryptor.update(body)
                if len(body) == AES_BLOCK_BYTES
                else self._feistel_passes(body, (4, 3, 2, 1))
            )
        return body[: self.server_id_length]

    def _feistel_passes(self, body: bytes, order: tuple[int, int, int, int]) -> bytes:
        """Draft, 5.4.2. Odd passes change the right half by the left one, even passes the other way round, so
        the same passes backwards undo them. Halves of an odd number of octets share the middle one.
        """
        assert self._encryptor is not None
        length = len(body)
        half = (length + 1) // 2
        number, odd = int.from_bytes(body, "big"), length % 2
        left = number >> 8 * (length - half)
        right = number & (1 << 8 * half) - 1
        if odd:
            left &= ~0x0F  # the middle octet's upper four bits are the left half's
            right &= (1 << 8 * half - 4) - 1  # and its lower four the right one's
        for n in order:
            source = left if n % 2 else right
            block = source.to_bytes(half, "big").ljust(AES_BLOCK_BYTES - 2, b"\0") + bytes([length, n])
            mask = int.from_bytes(self._encryptor.update(block)[:half], "big")
            if n % 2:
                right ^= mask
                if odd:
                    right &= (1 << 8 * half - 4) - 1
            else:
                left ^= mask
                if odd:
                    left &= ~0x0F
        joined = left >> 4 << 8 * half - 4 | right if odd else left << 8 * half | right
        return joined.to_bytes(length, "big")


def derive_stateless_reset_token(key: bytes, cid: bytes) -> bytes:
    """The stateless reset token of an id (RFC 9000, 10.3.2): runners issue it, and whoever has the key can
    send the reset.
    """
    return hmac.digest(key, b"stateless reset" + cid, "sha256")[:STATELESS_RESET_TOKEN_BYTES]
