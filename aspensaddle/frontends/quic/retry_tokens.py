"""Retry tokens that every balancer and runner with the key file can check: sealing, checking, the keys.

In the manner of the shared-state service of draft-ietf-quic-retry-offload: a key sequence and a unique number in
the clear, the rest sealed with AES-128-GCM. There, the client's address is associated data; here it is sealed with
the rest, since a runner behind the front sees the balancer's address and must still read the ids. Free of I/O and
time.

    octet 0      0x80 (of this service) and the key's sequence, 0 to 127
    1 to 12      unique token number, the nonce
    13 onwards   sealed: two lengths, the client's port and address (16 octets), the id that it made up, the id that
                 the Retry gave, Unix time in milliseconds; the tag

Runners that issue NEW_TOKEN tokens of their own are told apart by authentication alone: what no key here opens
is treated as though the client had brought no token (RFC 9000, 8.1.3).
"""

from __future__ import annotations

import ipaddress
import os
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

SERVICE = 0x80
MOST_SEQUENCE = 127
NONCE, TAG, KEY = 12, 16, 16
HEAD = struct.Struct("!BBH16s")  # lengths of both ids, the client's port and address
TIME = struct.Struct("!Q")
LEAST = 1 + NONCE + HEAD.size + TIME.size + TAG
AHEAD = 5.0  # seconds that the clocks of two balancers may differ


class TokenVerdict(Enum):
    """What a token is worth."""

    VALID = "valid"
    NONE = "none"  # none at all, a runner's own, forged or cut: as though there were none
    EXPIRED = "expired"
    ELSEWHERE = "elsewhere"  # genuine, but for another address
    MISPLACED = "misplaced"  # genuine, but its Initial is sent to another id than the Retry gave


@dataclass(frozen=True, slots=True)
class TokenContents:
    """What a genuine token says."""

    original: bytes  # the id that the client made up first
    retry_id: bytes  # the id that the Retry gave
    at: float  # Unix time in seconds
    port: int
    address: bytes  # 16 octets


@dataclass(frozen=True, slots=True)
class TokenKey:
    """One key of the file. `since` and `until` are Unix times in seconds."""

    sequence: int
    secret: bytes = field(repr=False)
    since: float = 0.0
    until: float = float("inf")

    def __post_init__(self) -> None:
        if not 0 <= self.sequence <= MOST_SEQUENCE:
            raise ValueError(f"sequence must be 0 to {MOST_SEQUENCE}, not {self.sequence}")
        if len(self.secret) != KEY:
            raise ValueError(f"key must be {KEY} octets")
        if not self.since < self.until:
            raise ValueError("until must be later than since")


class RetryTokens:
    """Seals and checks tokens with the keys in force. The key that came into force last seals; each opens until
    its end, so that a key can be rolled without a client noticing.
    """

    def __init__(self, keys: Iterable[TokenKey], lifetime: float) -> None:
        """`lifetime`: seconds for which a token is good. Raises `ValueError` where two keys have one number."""
        self.lifetime = lifetime
        self._keys: dict[int, tuple[TokenKey, AESGCM]] = {}
        for key in keys:
            if key.sequence in self._keys:
                raise ValueError(f"sequence {key.sequence} is there twice")
            self._keys[key.sequence] = key, AESGCM(key.secret)

    def seal(self, host: str, port: int, original: bytes, retry_id: bytes, unix: float) -> bytes | None:
        """A token for a client's address, or None while no key is in force."""
        ready = [k for k, _ in self._keys.values() if k.since <= unix < k.until]
        if not ready:
            return None
        key = max(ready, key=lambda k: (k.since, k.sequence))
        head = bytes([SERVICE | key.sequence]) + os.urandom(NONCE)
        body = (
            HEAD.pack(len(original), len(retry_id), port, _packed(host))
            + original
            + retry_id
            + TIME.pack(int(unix * 1000))
        )
        return head + self._keys[key.sequence][1].encrypt(head[1:], body, head)

    def read(self, token: bytes, unix: float) -> TokenContents | None:
        """What a genuine token says; None where none of the keys in force has sealed it. A runner behind the front
        asks this: the ids are for its transport parameters (RFC 9000, 7.3), the address was checked before it.
        """
        if len(token) < LEAST or not token[0] & SERVICE:
            return None
        known = self._keys.get(token[0] & MOST_SEQUENCE)
        if known is None or not known[0].since - AHEAD <= unix < known[0].until + self.lifetime:
            return None
        head = token[: 1 + NONCE]
        try:
            body = known[1].decrypt(head[1:], token[1 + NONCE :], head)
        except InvalidTag:
            return None
        first, second, port, address = HEAD.unpack_from(body)
        if len(body) != HEAD.size + first + second + TIME.size:
            return None
        ids, (at,) = body[HEAD.size : -TIME.size], TIME.unpack(body[-TIME.size :])
        return TokenContents(ids[:first], ids[first:], at / 1000, port, address)

    def check(
        self, token: bytes, host: str, port: int, dcid: bytes, unix: float
    ) -> tuple[TokenVerdict, TokenContents | None]:
        """What a token in an Initial to `dcid` from an address is worth at a Unix time."""
        proof = self.read(token, unix)
        if proof is None:
            return TokenVerdict.NONE, None
        if (proof.port, proof.address) != (port, _packed(host)):
            return TokenVerdict.ELSEWHERE, proof
        if dcid != proof.retry_id:
            return TokenVerdict.MISPLACED, proof
        if not proof.at - AHEAD <= unix <= proof.at + self.lifetime:
            return TokenVerdict.EXPIRED, proof
        return TokenVerdict.VALID, proof


def _packed(host: str) -> bytes:
    """An address as 16 octets, those of version 4 mapped into version 6."""
    address = ipaddress.ip_address(host.partition("%")[0])
    return address.packed if address.version == 6 else b"\0" * 10 + b"\xff\xff" + address.packed
