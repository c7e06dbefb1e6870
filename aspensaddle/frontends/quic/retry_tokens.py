"""Retry tokens that every balancer and server with the key file can check.

They follow the shared-state service of draft-ietf-quic-retry-offload: a key sequence and a unique token number in
plaintext, the rest encrypted with AES-128-GCM. In the draft, the client's address is associated data. Here it is
encrypted with the rest, because a server behind the front end sees the balancer's address and still has to read the
connection IDs. No I/O; callers pass the current time.

    byte 0       0x80 (marks a token of this service) and the key sequence, 0 to 127
    1 to 12      unique token number, used as the nonce
    13 onwards   encrypted: the lengths of both connection IDs, the client's port and address (16 bytes), the
                 connection ID that the client chose, the one that the Retry gave, Unix time in milliseconds; then
                 the tag

Servers may issue NEW_TOKEN tokens of their own. They are distinguished by authentication alone: a token that no key
here decrypts is treated as if the client had sent none (RFC 9000, 8.1.3).
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
NONCE_BYTES = 12  # size of the AES-GCM nonce
TAG_BYTES = 16  # size of the AES-GCM authentication tag
KEY_BYTES = 16  # size of an AES-128 key
HEADER = struct.Struct("!BBH16s")  # lengths of both connection IDs, the client's port and address
TIMESTAMP = struct.Struct("!Q")
MIN_TOKEN_BYTES = 1 + NONCE_BYTES + HEADER.size + TIMESTAMP.size + TAG_BYTES
MAX_CLOCK_SKEW_SECONDS = 5.0  # difference between the clocks of two balancers


class TokenVerdict(Enum):
    """The result of checking a token. The values are part of counter names."""

    VALID = "valid"
    ABSENT = "none"  # no token, a server's own, a forged one or one cut off: each is treated as no token
    EXPIRED = "expired"
    WRONG_ADDRESS = "elsewhere"  # a genuine token that was issued to another client address
    WRONG_CONNECTION_ID = "misplaced"  # a genuine token in an Initial to another connection ID than the Retry gave


@dataclass(frozen=True, slots=True)
class TokenContents:
    """The decrypted contents of a genuine token."""

    original_dcid: bytes  # the connection ID that the client chose first
    retry_scid: bytes  # the connection ID that the Retry gave
    issued_at: float  # Unix time in seconds
    port: int
    address: bytes  # 16 bytes


@dataclass(frozen=True, slots=True)
class TokenKey:
    """A key of the key file, in force from `since` until `until`, Unix times in seconds.

    A value out of range raises a `ValueError` that names the field.
    """

    sequence: int
    secret: bytes = field(repr=False)
    since: float = 0.0
    until: float = float("inf")

    def __post_init__(self) -> None:
        """Check the fields."""
        if not 0 <= self.sequence <= MAX_KEY_SEQUENCE:
            raise ValueError(f"sequence must be 0 to {MAX_KEY_SEQUENCE}, not {self.sequence}")
        if len(self.secret) != KEY_BYTES:
            raise ValueError(f"key must be {KEY_BYTES} bytes, not {len(self.secret)}")
        if not self.since < self.until:
            raise ValueError("until must be later than since")


class RetryTokens:
    """Encrypts and checks tokens.

    The key that came into force last encrypts. Every key decrypts until the tokens that it encrypted have expired, so
    that keys are rotated without an effect on clients.
    """

    def __init__(self, keys: Iterable[TokenKey], lifetime_seconds: float) -> None:
        """Use these keys.

        Args:
            keys: the keys, each with a sequence of its own.
            lifetime_seconds: how long a token is valid.

        Raises:
            ValueError: two keys have the same sequence.
        """
        self.lifetime_seconds = lifetime_seconds
        self._keys: dict[int, tuple[TokenKey, AESGCM]] = {}
        for key in keys:
            if key.sequence in self._keys:
                raise ValueError(f"sequence {key.sequence} is used twice")
            self._keys[key.sequence] = key, AESGCM(key.secret)

    def seal(self, host: str, port: int, original_dcid: bytes, retry_scid: bytes, unix_time: float) -> bytes | None:
        """Return a token, or None if no key is in force.

        Args:
            host: the client's IP address.
            port: the client's port.
            original_dcid: the connection ID that the client chose first.
            retry_scid: the connection ID that the Retry gives.
            unix_time: the current Unix time in seconds.
        """
        usable_keys = [
            candidate for candidate, _ in self._keys.values() if candidate.since <= unix_time < candidate.until
        ]
        if not usable_keys:
            return None
        newest_key = max(usable_keys, key=lambda candidate: (candidate.since, candidate.sequence))
        head = bytes([SERVICE_FLAG | newest_key.sequence]) + os.urandom(NONCE_BYTES)
        body = (
            HEADER.pack(len(original_dcid), len(retry_scid), port, _address_bytes(host))
            + original_dcid
            + retry_scid
            + TIMESTAMP.pack(int(unix_time * 1000))
        )
        return head + self._keys[newest_key.sequence][1].encrypt(head[1:], body, head)

    def unseal(self, token: bytes, unix_time: float) -> TokenContents | None:
        """Return a token's contents, or None if no key in force at this Unix time in seconds decrypts it.

        A server behind the front end calls this for its transport parameters, which hold the connection IDs
        (RFC 9000, 7.3). It does not check the address; the front end has done so.
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
        original_length, retry_length, port, address = HEADER.unpack_from(body)
        if len(body) != HEADER.size + original_length + retry_length + TIMESTAMP.size:
            return None
        cids, (issued_at,) = body[HEADER.size : -TIMESTAMP.size], TIMESTAMP.unpack(body[-TIMESTAMP.size :])
        return TokenContents(cids[:original_length], cids[original_length:], issued_at / 1000, port, address)

    def check(
        self, token: bytes, host: str, port: int, dcid: bytes, unix_time: float
    ) -> tuple[TokenVerdict, TokenContents | None]:
        """Check the token of an Initial; return the verdict and, if the token is genuine, its contents.

        Args:
            token: the token.
            host: the IP address that the Initial came from.
            port: the port that it came from.
            dcid: the connection ID that it was sent to.
            unix_time: the current Unix time in seconds.
        """
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
    """Return an IP address as 16 bytes; an IPv4 address is mapped into IPv6."""
    address = ipaddress.ip_address(host.partition("%")[0])
    return address.packed if address.version == 6 else b"\0" * 10 + b"\xff\xff" + address.packed
