"""What the front says of its own: negotiations, Retries, refusals, failures, resets. Each at most once for what
calls for it, never larger than that, and out of an allowance.
"""

from __future__ import annotations

import math
import os

from aioquic.quic.packet import encode_quic_retry

from aspensaddle.frontends.quic.connection_ids import UNROUTABLE, reset_token
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED, INVALID_TOKEN, InitialKeys
from aspensaddle.frontends.quic.limits import RateLimiter
from aspensaddle.frontends.quic.packets import (
    FIRST_DATAGRAM,
    InvariantHeader,
    Packet,
    stateless_reset,
    version_negotiation,
)
from aspensaddle.frontends.quic.session import ClientAddress

RETRY_ID = 16  # octets of the id that a Retry gives


class Responder:
    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.configure()

    def configure(self) -> None:
        """Take the rates in the settings."""
        settings, now = self.ctx.settings, self.ctx.now
        self._answers = RateLimiter(settings.answers_per_s, now)
        self._retries = RateLimiter(settings.retry.answers_per_s if settings.retry is not None else 1.0, now)

    def negotiate(self, data: bytes, peer: ClientAddress, seen: InvariantHeader) -> None:
        # A negotiation is never answered, and a small datagram could be made to draw a larger answer.
        if seen.version == 0 or len(data) < FIRST_DATAGRAM or not self._answers.take(self.ctx.now):
            self.ctx.counters.add("quic not negotiated")
            return
        self._say("quic version negotiations", version_negotiation(seen), peer)

    def retry(self, packet: Packet, peer: ClientAddress) -> None:
        """Ask a client to prove its address. Nothing is remembered of it: the token says all."""
        assert self.ctx.settings.retry is not None
        if not self._retries.take(self.ctx.now):
            self.ctx.counters.add("quic retries held back")
            return
        # An id that no configuration reads, so that what comes to it can't be taken for a runner's.
        given = os.urandom(RETRY_ID)
        given = bytes([UNROUTABLE << 5 | given[0] & 0x1F]) + given[1:]
        token = self.ctx.settings.retry.tokens.seal(peer[0], peer[1], packet.dcid, given, self.ctx.unix())
        if token is None:
            self.ctx.counters.add("quic retries without a key")
            return
        self._say("quic retries", encode_quic_retry(packet.version, given, packet.scid, packet.dcid, token), peer)

    def invalid_token(self, packet: Packet, peer: ClientAddress) -> None:
        """RFC 9000, 8.1.2: a token that was a Retry's once and is worth nothing now. The client begins anew."""
        keys = InitialKeys(packet.dcid)
        self.close(keys, packet.version, packet.scid, peer, INVALID_TOKEN, b"", "quic invalid tokens")

    def refuse(self, keys: InitialKeys, version: int, scid: bytes, peer: ClientAddress, wait: float) -> None:
        """Trying again is harmless; `wait` in seconds tells when."""
        ms = math.ceil(wait * 1000)
        reason = b"BUSY %d" % ms if ms > 0 else b"BUSY"
        self.close(keys, version, scid, peer, CONNECTION_REFUSED, reason, "quic refused")

    def close(
        self, keys: InitialKeys, version: int, scid: bytes, peer: ClientAddress, code: int, reason: bytes, count: str
    ) -> None:
        """End a connection that has not begun, in one Initial."""
        if not self._answers.take(self.ctx.now):
            self.ctx.counters.add("quic answers held back")
            return
        self._say(count, keys.close(version, scid, code, reason), peer)

    def reset(self, dcid: bytes, trigger: int, peer: ClientAddress) -> None:
        """A stateless reset for an id, in answer to a datagram of `trigger` octets (RFC 9000, 10.3)."""
        reset = stateless_reset(reset_token(self.ctx.settings.reset_key, dcid), trigger)
        if reset is None or not self._answers.take(self.ctx.now):
            self.ctx.counters.add("quic answers held back")
            return
        self._say("quic resets", reset, peer)

    def _say(self, count: str, data: bytes, peer: ClientAddress) -> None:
        self.ctx.counters.add(count)
        self.ctx.wire.to_client(data, peer)
