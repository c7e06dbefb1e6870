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

SERVICE_FLAG = 0x80
MAX_KEY_SEQUENCE = 127
NONCE_BYTES, TAG_BYTES, KEY_BYTES = 12, 16, 16
HEADER = struct.Struct("!BBH16s")  # lengths of both ids, the client's port and address
TIMESTAMP = struct.Struct("!Q")
MIN_TOKEN_BYTES = 1 + NONCE_BYTES + HEADER.size + TIMESTAMP.size + TAG_BYTES
MAX_CLOCK_SKEW_SECONDS = 5.0  # seconds that the clocks of two balancers may differ


class TokenVerdict(Enum):
    """What a token is worth."""

    VALID = "valid"
    ABSENT = "none"  # none at all, a runner's own, forged or cut: as though there were none
    EXPIRED = "expired"
    WRONG_ADDRESS = "elsewhere"  # genuine, but for another address
    WRONG_CONNECTION_ID = "misplaced"  # genuine, but its Initial is sent to another id than the Retry gave


@dataclass(frozen=True, slots=True)
class TokenContents:
    """What a genuine token says."""

    original_dcid: bytes  # the id that the client made up first
    retry_scid: bytes  # the id that the Retry gave
    issued_at: float  # Unix time in seconds
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
        if not 0 <= self.sequence <= MAX_KEY_SEQUENCE:
            raise ValueError(f"sequence must be 0 to {MAX_KEY_SEQUENCE}, not {self.sequence}")
        if len(self.secret) != KEY_BYTES:
            raise ValueError(f"key must be {KEY_BYTES} octets")
        if not self.since < self.until:
            raise ValueError("until must be later than since")


class RetryTokens:
    """Seals and checks tokens with the keys in force. The key that came into force last seals; each opens until
    its end, so that a key can be rolled without a client noticing.
    """

    def __init__(self, keys: Iterable[TokenKey], lifetime_seconds: float) -> None:
        """`lifetime_seconds` is that of a token. Raises `ValueError` where two keys have one number."""
        self.lifetime_seconds = lifetime_seconds
        self._keys: dict[int, tuple[TokenKey, AESGCM]] = {}
        for key in keys:
            if key.sequence in self._keys:
                raise ValueError(f"sequence {key.sequence} is there twice")
            self._keys[key.sequence] = key, AESGCM(key.secret)

    def seal(self, host: str, port: int, original_dcid: bytes, retry_scid: bytes, unix_time: float) -> bytes | None:
        """A token for a client's address, or None while no key is in force."""
        ready = [k for k, _ in self._keys.values() if k.since <= unix_time < k.until]
        if not ready:
            return None
        key = max(ready, key=lambda k: (k.since, k.sequence))
        head = bytes([SERVICE_FLAG | key.sequence]) + os.urandom(NONCE_BYTES)
        body = (
            HEADER.pack(len(original_dcid), len(retry_scid), port, _address_bytes(host))
            + original_dcid
            + retry_scid
            + TIMESTAMP.pack(int(unix_time * 1000))
        )
        return head + self._keys[key.sequence][1].encrypt(head[1:], body, head)

    def unseal(self, token: bytes, unix_time: float) -> TokenContents | None:
        """What a genuine token says; None where none of the keys in force has sealed it. A runner behind the front
        asks this: the ids are for its transport parameters (RFC 9000, 7.3), the address was checked before it.
        """
        if len(token) < MIN_TOKEN_BYTES or not token[0] & SERVICE_FLAG:
            return None
        known = self._keys.get(token[0] & MAX_KEY_SEQUENCE)
        if (
            known is None
            or not known[0].since - MAX_CLOCK_SKEW_SECONDS <= unix_time < known[0].until + self.lifetime_seconds
        ):
            return None
        head = token[: 1 + NONCE_BYTES]
        try:
            body = known[1].decrypt(head[1:], token[1 + NONCE_BYTES :], head)
        except InvalidTag:
            return None
        first, second, port, address = HEADER.unpack_from(body)
        if len(body) != HEADER.size + first + second + TIMESTAMP.size:
            return None
        ids, (at,) = body[HEADER.size : -TIMESTAMP.size], TIMESTAMP.unpack(body[-TIMESTAMP.size :])
        return TokenContents(ids[:first], ids[first:], at / 1000, port, address)

    def check(
        self, token: bytes, host: str, port: int, dcid: bytes, unix_time: float
    ) -> tuple[TokenVerdict, TokenContents | None]:
        """What a token in an Initial to `dcid` from an address is worth at a Unix time."""
        contents = self.unseal(token, unix_time)
        if contents is None:
            return TokenVerdict.ABSENT, None
        if (contents.port, contents.address) != (port, _address_bytes(host)):
            return TokenVerdict.WRONG_ADDRESS, contents
        if dcid != contents.retry_scid:
            return TokenVerdict.WRONG_CONNECTION_ID, contents
        if not contents.issued_at - MAX_CLOCK_SKEW_SECONDS <= unix_time <= contents.issued_at + self.lifetime_seconds:
            return TokenVerdict.EXPIRED, contents
        return TokenVerdict.VALID, contents


def _address_bytes(host: str) -> bytes:
    """An address as 16 octets, those of version 4 mapped into version 6."""
    address = ipaddress.ip_address(host.partition("%")[0])
    return address.packed if address.version == 6 else b"\0" * 10 + b"\xff\xff" + address.packed
