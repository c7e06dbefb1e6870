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

MOST_INITIALS, MOST_INITIAL_OCTETS = 24, 32768  # of a flight
MOST_EARLY, MOST_EARLY_OCTETS = 10, 15000  # of 0-RTT


class AddResult(Enum):
    """What became of a client's datagram."""

    NEW = "new"  # kept, and for the runner that is being tried
    REPEATED = "repeated"  # only for the runner that is being tried: it may have lost what this says again
    DROPPED = "dropped"  # nobody's: no key opens it, or there is no room


class Flight:
    """A client's first datagrams to one id that it made up, or was given by a Retry."""

    __slots__ = ("_early", "_initials", "_reassembly", "_seen", "hello", "keys")

    def __init__(self, dcid: bytes) -> None:
        self.keys = InitialKeys(dcid)
        self.hello: ClientHello | None = None  # once it is whole
        self._initials: list[bytes] = []
        self._early: list[bytes] = []
        self._reassembly = CryptoStreamReassembler()
        self._seen: set[bytes] = set()

    @property
    def datagrams(self) -> list[bytes]:
        """All that is kept, in the order to offer it."""
        return self._initials + self._early

    @property
    def octets(self) -> int:
        return sum(map(len, self._initials)) + sum(map(len, self._early))

    def first(self, packet: Packet) -> InitialFrames | None:
        """The frames of what may be a client's first Initial: it opens under the keys of the very id it is sent
        to and carries a part of the ClientHello. A later one has the keys of the first.
        """
        frames = self.keys.open(packet, from_client=True)
        return frames if frames is not None and frames.crypto else None

    def take(self, data: bytes, packets: list[Packet], opened: InitialFrames | None = None) -> AddResult:
        """Take a datagram to this id. `opened`: the frames of its first packet, where they are known already.

        Raises `ClientHelloError` where the client's TLS is no ClientHello or over the bounds.
        """
        if data in self._seen:  # the network's own copy, not the client's repetition
            return AddResult.DROPPED
        new = sound = early = False
        for i, packet in enumerate(packets):
            if packet.type is QuicPacketType.ZERO_RTT:
                early = True
            elif packet.type is QuicPacketType.INITIAL:
                frames = opened if i == 0 and opened is not None else self.keys.open(packet, from_client=True)
                if frames is None:
                    continue
                sound = True
                for offset, piece in frames.crypto:
                    new |= self._reassembly.add(offset, piece)
        if not sound and not early:
            return AddResult.DROPPED
        if new:
            taken = self._keep(self._initials, data, MOST_INITIALS, MOST_INITIAL_OCTETS)
            self._read()
            return taken
        return self._keep(self._early, data, MOST_EARLY, MOST_EARLY_OCTETS) if early else AddResult.REPEATED

    def _keep(self, kept: list[bytes], data: bytes, most: int, octets: int) -> AddResult:
        if len(kept) >= most or sum(map(len, kept)) + len(data) > octets:
            return AddResult.DROPPED
        kept.append(data)
        self._seen.add(data)
        return AddResult.NEW

    def _read(self) -> None:
        if self.hello is None and (message := self._reassembly.message()) is not None:
            try:
                self.hello = parse_client_hello(message)
            except ClientHelloError:
                self.hello = ClientHello()  # the runner says what is wrong with it; the rules see no name
