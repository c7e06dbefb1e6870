"""What a client sends before its session stands, kept so that it can be offered to one runner after another.

Free of I/O and time. The datagrams that brought something new of the ClientHello come first, in the order they
came, then those with 0-RTT: a runner drops 0-RTT that it can't place, and before the ClientHello it can't.
"""

from __future__ import annotations

from enum import Enum

from aioquic.quic.packet import QuicPacketType

from aspensaddle.frontends.quic.client_hello import (
    ClientHello,
    ClientHelloError,
    CryptoStreamReassembler,
    parse_client_hello,
)
from aspensaddle.frontends.quic.initial import InitialFrames, InitialKeys
from aspensaddle.frontends.quic.packets import Packet

MAX_INITIALS, MAX_INITIAL_BYTES = 24, 32768  # of a flight
MAX_ZERO_RTT_DATAGRAMS, MAX_ZERO_RTT_BYTES = 10, 15000  # of 0-RTT


class AddResult(Enum):
    """What became of a client's datagram."""

    STORED = "new"  # kept, and for the runner that is being tried
    FORWARD_ONLY = "repeated"  # only for the runner that is being tried: it may have lost what this says again
    DROPPED = "dropped"  # nobody's: no key opens it, or there is no room


class Flight:
    """A client's first datagrams to one id that it made up, or was given by a Retry."""

    __slots__ = ("_crypto_stream", "_initials", "_stored", "_zero_rtt", "client_hello", "keys")

    def __init__(self, dcid: bytes) -> None:
        self.keys = InitialKeys(dcid)
        self.client_hello: ClientHello | None = None  # once it is whole
        self._initials: list[bytes] = []
        self._zero_rtt: list[bytes] = []
        self._crypto_stream = CryptoStreamReassembler()
        self._stored: set[bytes] = set()

    @property
    def datagrams(self) -> list[bytes]:
        """All that is kept, in the order to offer it."""
        return self._initials + self._zero_rtt

    @property
    def stored_bytes(self) -> int:
        return sum(map(len, self._initials)) + sum(map(len, self._zero_rtt))

    def read_first_initial(self, packet: Packet) -> InitialFrames | None:
        """The frames of what may be a client's first Initial: it opens under the keys of the very id it is sent
        to and carries a part of the ClientHello. A later one has the keys of the first.
        """
        frames = self.keys.decrypt(packet, from_client=True)
        return frames if frames is not None and frames.crypto else None

    def add_datagram(self, data: bytes, packets: list[Packet], opened: InitialFrames | None = None) -> AddResult:
        """Take a datagram to this id. `opened`: the frames of its first packet, where they are known already.

        Raises `ClientHelloError` where the client's TLS is no ClientHello or over the bounds.
        """
        if data in self._stored:  # the network's own copy, not the client's repetition
            return AddResult.DROPPED
        new = sound = early = False
        for i, packet in enumerate(packets):
            if packet.type is QuicPacketType.ZERO_RTT:
                early = True
            elif packet.type is QuicPacketType.INITIAL:
                frames = opened if i == 0 and opened is not None else self.keys.decrypt(packet, from_client=True)
                if frames is None:
                    continue
                sound = True
                for offset, piece in frames.crypto:
                    new |= self._crypto_stream.add(offset, piece)
        if not sound and not early:
            return AddResult.DROPPED
        if new:
            taken = self._store(self._initials, data, MAX_INITIALS, MAX_INITIAL_BYTES)
            self._read_client_hello()
            return taken
        return (
            self._store(self._zero_rtt, data, MAX_ZERO_RTT_DATAGRAMS, MAX_ZERO_RTT_BYTES)
            if early
            else AddResult.FORWARD_ONLY
        )

    def _store(self, kept: list[bytes], data: bytes, most: int, octets: int) -> AddResult:
        if len(kept) >= most or sum(map(len, kept)) + len(data) > octets:
            return AddResult.DROPPED
        kept.append(data)
        self._stored.add(data)
        return AddResult.STORED

    def _read_client_hello(self) -> None:
        if self.client_hello is None and (message := self._crypto_stream.first_message()) is not None:
            try:
                self.client_hello = parse_client_hello(message)
            except ClientHelloError:
                self.client_hello = ClientHello()  # the runner says what is wrong with it; the rules see no name
