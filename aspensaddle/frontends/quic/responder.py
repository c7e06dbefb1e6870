"""What the front says of its own: negotiations, Retries, refusals, failures, resets. Each at most once for what
calls for it, never larger than that, and out of an allowance.
"""

from __future__ import annotations

import math
import os

from aioquic.quic.packet import encode_quic_retry

from aspensaddle.frontends.quic.connection_ids import UNROUTABLE_CODEPOINT, derive_stateless_reset_token
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED, INVALID_TOKEN, InitialKeys
from aspensaddle.frontends.quic.limits import RateLimiter
from aspensaddle.frontends.quic.packets import (
    MIN_INITIAL_DATAGRAM_BYTES,
    InvariantHeader,
    Packet,
    encode_stateless_reset,
    encode_version_negotiation,
)
from aspensaddle.frontends.quic.session import ClientAddress

RETRY_SCID_BYTES = 16  # octets of the id that a Retry gives


class Responder:
    def __init__(self, context: Context) -> None:
        self.context = context
        self.configure()

    def configure(self) -> None:
        """Take the rates in the settings."""
        settings, now = self.context.settings, self.context.now
        self._response_limiter = RateLimiter(settings.answers_per_s, now)
        self._retry_limiter = RateLimiter(settings.retry.answers_per_s if settings.retry is not None else 1.0, now)

    def send_version_negotiation(self, data: bytes, client_address: ClientAddress, seen: InvariantHeader) -> None:
        # A negotiation is never answered, and a small datagram could be made to draw a larger answer.
        if (
            seen.version == 0
            or len(data) < MIN_INITIAL_DATAGRAM_BYTES
            or not self._response_limiter.try_acquire(self.context.now)
        ):
            self.context.counters.add("quic not negotiated")
            return
        self._send("quic version negotiations", encode_version_negotiation(seen), client_address)

    def send_retry(self, packet: Packet, client_address: ClientAddress) -> None:
        """Ask a client to prove its address. Nothing is remembered of it: the token says all."""
        assert self.context.settings.retry is not None
        if not self._retry_limiter.try_acquire(self.context.now):
            self.context.counters.add("quic retries held back")
            return
        # An id that no configuration reads, so that what comes to it can't be taken for a runner's.
        given = os.urandom(RETRY_SCID_BYTES)
        given = bytes([UNROUTABLE_CODEPOINT << 5 | given[0] & 0x1F]) + given[1:]
        token = self.context.settings.retry.tokens.seal(
            client_address[0], client_address[1], packet.dcid, given, self.context.unix_time()
        )
        if token is None:
            self.context.counters.add("quic retries without a key")
            return
        self._send(
            "quic retries", encode_quic_retry(packet.version, given, packet.scid, packet.dcid, token), client_address
        )

    def send_invalid_token(self, packet: Packet, client_address: ClientAddress) -> None:
        """RFC 9000, 8.1.2: a token that was a Retry's once and is worth nothing now. The client begins anew."""
        keys = InitialKeys(packet.dcid)
        self.close_connection(
            keys, packet.version, packet.scid, client_address, INVALID_TOKEN, b"", "quic invalid tokens"
        )

    def reject(
        self, keys: InitialKeys, version: int, scid: bytes, client_address: ClientAddress, wait: float
    ) -> None:
        """Trying again is harmless; `wait` in seconds tells when."""
        ms = math.ceil(wait * 1000)
        reason = b"BUSY %d" % ms if ms > 0 else b"BUSY"
        self.close_connection(keys, version, scid, client_address, CONNECTION_REFUSED, reason, "quic refused")

    def close_connection(
        self,
        keys: InitialKeys,
        version: int,
        scid: bytes,
        client_address: ClientAddress,
        code: int,
        reason: bytes,
        count: str,
    ) -> None:
        """End a connection that has not begun, in one Initial."""
        if not self._response_limiter.try_acquire(self.context.now):
            self.context.counters.add("quic answers held back")
            return
        self._send(count, keys.encode_close(version, scid, code, reason), client_address)

    def send_stateless_reset(self, dcid: bytes, trigger: int, client_address: ClientAddress) -> None:
        """A stateless reset for an id, in answer to a datagram of `trigger` octets (RFC 9000, 10.3)."""
        reset = encode_stateless_reset(derive_stateless_reset_token(self.context.settings.reset_key, dcid), trigger)
        if reset is None or not self._response_limiter.try_acquire(self.context.now):
            self.context.counters.add("quic answers held back")
            return
        self._send("quic resets", reset, client_address)

    def _send(self, count: str, data: bytes, client_address: ClientAddress) -> None:
        self.context.counters.add(count)
        self.context.transport.send_to_client(data, client_address)
