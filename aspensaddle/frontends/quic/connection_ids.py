"""Routable connection IDs of draft-ietf-quic-load-balancers (QUIC-LB), and stateless reset tokens.

The first three bits of an ID are the config rotation (section 3.1); the other five bits of its first byte are random
or, if a configuration asks for it, the length of the rest (section 3.3). The server ID and a nonce follow: in
plaintext (5.1), as one AES block if they fill it (5.4.1), or encrypted with a four-pass Feistel network (5.4.2).
Encoding is here as well as decoding, so that servers and the front end share one implementation.
"""

from __future__ import annotations

import hmac
import os
from dataclasses import dataclass, field

from cryptography.hazmat.primitives.ciphers import Cipher, CipherContext
from cryptography.hazmat.primitives.ciphers.algorithms import AES
from cryptography.hazmat.primitives.ciphers.modes import ECB

UNROUTABLE_CODEPOINT = 7  # codepoint that the draft reserves for IDs without a server ID (section 3.2)
MAX_CID_BYTES = 20  # longest ID in QUIC versions 1 and 2 (RFC 9000, 17.2)
MAX_SERVER_ID_BYTES = 15
MIN_NONCE_BYTES = 4
AES_BLOCK_BYTES = 16
STATELESS_RESET_TOKEN_BYTES = 16
LENGTH_MASK = 0x1F


@dataclass(frozen=True, slots=True)
class IdFormat:
    """The format of the connection IDs of one configuration.

    `key` has 16 bytes, or is None for plaintext IDs. With `self_length`, the first byte holds the length, which is
    checked. Lengths are in bytes. A value out of range raises a `ValueError` that names the field.
    """

    rotation: int
    server_id_length: int
    nonce_length: int
    key: bytes | None = None
    self_length: bool = False
    _encryptor: CipherContext | None = field(init=False, repr=False, compare=False, default=None)
    _decryptor: CipherContext | None = field(init=False, repr=False, compare=False, default=None)

    def __post_init__(self) -> None:
        """Check the fields and set up the cipher."""
        if not 0 <= self.rotation < UNROUTABLE_CODEPOINT:
            raise ValueError(f"rotation must be 0 to {UNROUTABLE_CODEPOINT - 1}, not {self.rotation}")
        if not 1 <= self.server_id_length <= MAX_SERVER_ID_BYTES:
            raise ValueError(f"server_id_length must be 1 to {MAX_SERVER_ID_BYTES}, not {self.server_id_length}")
        if self.nonce_length < MIN_NONCE_BYTES or self.length > MAX_CID_BYTES:
            raise ValueError(
                f"nonce_length must be at least {MIN_NONCE_BYTES}, and the connection ID at most "
                f"{MAX_CID_BYTES} bytes, not {self.nonce_length}"
            )
        if self.key is not None:
            if len(self.key) != AES_BLOCK_BYTES:
                raise ValueError(f"key must be {AES_BLOCK_BYTES} bytes, not {len(self.key)}")
            cipher = Cipher(AES(self.key), ECB())
            object.__setattr__(self, "_encryptor", cipher.encryptor())
            object.__setattr__(self, "_decryptor", cipher.decryptor())

    @property
    def length(self) -> int:
        """The length of a connection ID in bytes, including its first byte."""
        return 1 + self.server_id_length + self.nonce_length

    @property
    def algorithm(self) -> str:
        """The draft's name for how IDs are encrypted: `plaintext`, `single-pass` or `four-pass`."""
        if self.key is None:
            return "plaintext"
        return "single-pass" if self.length == 1 + AES_BLOCK_BYTES else "four-pass"

    def encode(self, server_id: bytes, nonce: bytes | None = None) -> bytes:
        """Return a new connection ID for a server.

        Args:
            server_id: the server ID.
            nonce: must not repeat under one key; random if it is None.

        Raises:
            ValueError: an argument does not have the length that the format asks for.
        """
        if len(server_id) != self.server_id_length:
            raise ValueError(f"the server ID must be {self.server_id_length} bytes, not {len(server_id)}")
        nonce = os.urandom(self.nonce_length) if nonce is None else nonce
        if len(nonce) != self.nonce_length:
            raise ValueError(f"the nonce must be {self.nonce_length} bytes, not {len(nonce)}")
        low_bits = self.length - 1 if self.self_length else os.urandom(1)[0] & LENGTH_MASK
        body = server_id + nonce
        if self._encryptor is not None:
            body = (
                self._encryptor.update(body)
                if len(body) == AES_BLOCK_BYTES
                else self._feistel_passes(body, (1, 2, 3, 4))
            )
        return bytes([self.rotation << 5 | low_bits]) + body

    def matches(self, cid: bytes) -> bool:
        """Return whether an ID has this format's length, and says so if `self_length` is set."""
        return len(cid) == self.length and (not self.self_length or cid[0] & LENGTH_MASK == self.length - 1)

    def decode(self, cid: bytes) -> bytes:
        """Return the server ID in a connection ID that `matches`."""
        body = cid[1 : self.length]
        if self._decryptor is not None:
            body = (
                self._decryptor.update(body)
                if len(body) == AES_BLOCK_BYTES
                else self._feistel_passes(body, (4, 3, 2, 1))
            )
        return body[: self.server_id_length]

    def _feistel_passes(self, body: bytes, order: tuple[int, int, int, int]) -> bytes:
        """Encrypt, or decrypt with the passes in reverse order (draft, 5.4.2).

        Odd passes mask the right half with a function of the left half, even passes do the opposite, so the same
        passes in reverse order undo them. With an odd number of bytes, the halves share the middle byte.
        """
        assert self._encryptor is not None
        length = len(body)
        half = (length + 1) // 2
        number, odd = int.from_bytes(body, "big"), length % 2
        left = number >> 8 * (length - half)
        right = number & (1 << 8 * half) - 1
        if odd:
            left &= ~0x0F  # the upper four bits of the middle byte belong to the left half
            right &= (1 << 8 * half - 4) - 1  # the lower four bits belong to the right half
        for pass_number in order:
            source = left if pass_number % 2 else right
            block = source.to_bytes(half, "big").ljust(AES_BLOCK_BYTES - 2, b"\0") + bytes([length, pass_number])
            mask = int.from_bytes(self._encryptor.update(block)[:half], "big")
            if pass_number % 2:
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
    """Return the stateless reset token of a connection ID (RFC 9000, 10.3.2).

    Servers issue it, and any process with the key can send the stateless reset.
    """
    return hmac.digest(key, b"stateless reset" + cid, "sha256")[:STATELESS_RESET_TOKEN_BYTES]
