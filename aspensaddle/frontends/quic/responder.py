"""Packets that the front end sends itself: Version Negotiation, Retry, CONNECTION_CLOSE and stateless reset.

Each is sent at most once for the datagram that triggers it, is never larger than that datagram, and is subject to a
rate limit.
"""

from __future__ import annotations

import math
import os

from aioquic.quic.packet import encode_quic_retry

from aspensaddle.frontends.quic.connection_ids import UNROUTABLE_CODEPOINT, derive_stateless_reset_token
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED, INVALID_TOKEN, InitialKeys
from aspensaddle.frontends.quic.limits import FairRateLimiter
from aspensaddle.frontends.quic.packets import (
    MIN_INITIAL_DATAGRAM_BYTES,
    InvariantHeader,
    Packet,
    encode_stateless_reset,
    encode_version_negotiation,
)
from aspensaddle.frontends.quic.session import ClientAddress

RETRY_SCID_BYTES = 16  # length of the connection ID that a Retry gives to the client


class Responder:
    """Builds, rate-limits, counts and sends the front end's own packets."""

    def __init__(self, context: Context) -> None:
        """Take the rate limits from the settings in force."""
        self.context = context
        self.configure()

    def configure(self) -> None:
        """Start new rate limiters with the rates of the settings in force."""
        settings, now = self.context.settings, self.context.now
        self._response_limiter = FairRateLimiter(settings.answers_per_s, now)
        self._retry_limiter = FairRateLimiter(
            settings.retry.answers_per_s if settings.retry is not None else 1.0, now
        )

    def send_version_negotiation(self, data: bytes, client_address: ClientAddress, header: InvariantHeader) -> None:
        """Answer the datagram `data`, whose version is not supported, with a Version Negotiation."""
        # A Version Negotiation packet is never answered with another one, and a small datagram must not cause a
        # larger response.
        if (
            header.version == 0
            or len(data) < MIN_INITIAL_DATAGRAM_BYTES
            or not self._response_limiter.try_acquire(client_address, self.context.now)
        ):
            self.context.counters.add("quic not negotiated")
            return
        self._send("quic version negotiations", encode_version_negotiation(header), client_address)

    def send_retry(self, packet: Packet, client_address: ClientAddress) -> None:
        """Ask a client to validate its address. No state is kept: the token holds all that is needed later."""
        assert self.context.settings.retry is not None
        if not self._retry_limiter.try_acquire(client_address, self.context.now):
            self.context.counters.add("quic retries held back")
            return
        # The connection ID uses the codepoint that no configuration decodes, so that later packets to it are not
        # mistaken for packets to a server.
        retry_scid = os.urandom(RETRY_SCID_BYTES)
        retry_scid = bytes([UNROUTABLE_CODEPOINT << 5 | retry_scid[0] & 0x1F]) + retry_scid[1:]
        token = self.context.settings.retry.tokens.seal(
            client_address[0], client_address[1], packet.dcid, retry_scid, self.context.unix_time()
        )
        if token is None:
            self.context.counters.add("quic retries without a key")
            return
        self._send(
            "quic retries",
            encode_quic_retry(packet.version, retry_scid, packet.scid, packet.dcid, token),
            client_address,
        )

    def send_invalid_token(self, packet: Packet, client_address: ClientAddress) -> None:
        """Close a connection whose genuine Retry token is no longer valid (RFC 9000, 8.1.2).

        The client can start again at once.
        """
        keys = InitialKeys(packet.dcid)
        self.close_connection(
            keys, packet.version, packet.scid, client_address, INVALID_TOKEN, b"", "quic invalid tokens"
        )

    def reject(
        self, keys: InitialKeys, version: int, scid: bytes, client_address: ClientAddress, retry_after: float
    ) -> None:
        """Reject a connection that was not executed; the client may retry after `retry_after` seconds."""
        ms = math.ceil(retry_after * 1000)
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
        counter: str,
    ) -> None:
        """Close a connection before its handshake, with one Initial.

        Args:
            keys: the Initial keys of the connection.
            version: the QUIC version of the client's Initial.
            scid: the client's connection ID.
            client_address: the address to send to.
            code: the transport error code.
            reason: the reason phrase.
            counter: the counter to add to if the packet is sent.
        """
        if not self._response_limiter.try_acquire(client_address, self.context.now):
            self.context.counters.add("quic answers held back")
            return
        self._send(counter, keys.encode_close(version, scid, code, reason), client_address)

    def send_stateless_reset(self, dcid: bytes, trigger_bytes: int, client_address: ClientAddress) -> None:
        """Answer a datagram of `trigger_bytes` bytes to `dcid` with a stateless reset (RFC 9000, 10.3)."""
        reset = encode_stateless_reset(
            derive_stateless_reset_token(self.context.settings.reset_key, dcid), trigger_bytes
        )
        if reset is None or not self._response_limiter.try_acquire(client_address, self.context.now):
            self.context.counters.add("quic answers held back")
            return
        self._send("quic resets", reset, client_address)

    def _send(self, counter: str, data: bytes, client_address: ClientAddress) -> None:
        self.context.counters.add(counter)
        self.context.transport.send_to_client(data, client_address)
