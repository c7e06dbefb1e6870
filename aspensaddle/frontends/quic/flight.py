"""A client's first datagrams, kept until its session is established so that each attempt can send them to a server.

No I/O and no clock. Datagrams that brought a new part of the ClientHello come first, in the order of their arrival;
those with 0-RTT follow, because a server drops 0-RTT packets that it receives before the ClientHello.
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
from aspensaddle.frontends.quic.delivery import DatagramRole
from aspensaddle.frontends.quic.initial import InitialFrames, InitialKeys
from aspensaddle.frontends.quic.packets import Packet

MAX_INITIAL_DATAGRAMS = 24  # limit of stored datagrams with Initials in one flight
MAX_INITIAL_BYTES = 32768  # limit of the total size of these datagrams
MAX_ZERO_RTT_DATAGRAMS = 10  # limit of stored datagrams with 0-RTT in one flight
MAX_ZERO_RTT_BYTES = 15000  # limit of the total size of these datagrams


class AddResult(Enum):
    """The result of adding a client's datagram to a flight."""

    STORED = "new"  # the datagram is stored, and the server of the current attempt gets it too
    # The datagram is not stored. Only the server of the current attempt gets it, since that server may have lost the
    # data that it repeats.
    FORWARD_ONLY = "repeated"
    DROPPED = "dropped"  # no server gets the datagram: it cannot be decrypted, or the flight is full


class Flight:
    """A client's first datagrams to one connection ID, which it chose itself or was given by a Retry."""

    __slots__ = ("_crypto_stream", "_initials", "_roles", "_zero_rtt", "client_closed", "client_hello", "keys")

    def __init__(self, dcid: bytes) -> None:
        """Start an empty flight to `dcid`, from which the Initial keys are derived."""
        self.keys = InitialKeys(dcid)
        self.client_hello: ClientHello | None = None  # None until the ClientHello is complete
        self.client_closed = False  # whether the client has sent a CONNECTION_CLOSE
        self._initials: list[bytes] = []
        self._zero_rtt: list[bytes] = []
        self._crypto_stream = CryptoStreamReassembler()
        self._roles: dict[bytes, DatagramRole] = {}  # of the stored datagrams

    @property
    def datagrams(self) -> list[bytes]:
        """The stored datagrams, in the order in which to send them to a server."""
        return self._initials + self._zero_rtt

    @property
    def stored_bytes(self) -> int:
        """The size of the stored datagrams in bytes."""
        return sum(map(len, self._initials)) + sum(map(len, self._zero_rtt))

    def role(self, datagram: bytes) -> DatagramRole:
        """Return the role of a datagram that `add_datagram` did not drop."""
        return self._roles.get(datagram, DatagramRole.REPEAT)

    def read_first_initial(self, packet: Packet) -> InitialFrames | None:
        """Return the frames of a client's first Initial, or None if the packet is not one.

        A first Initial is encrypted with keys of the connection ID that it is sent to, and it carries a part of the
        ClientHello. Later Initials use the keys of the first one.
        """
        frames = self.keys.decrypt(packet, from_client=True)
        return frames if frames is not None and frames.crypto else None

    def add_datagram(self, data: bytes, packets: list[Packet], decrypted: InitialFrames | None = None) -> AddResult:
        """Add a client's datagram to this connection ID, with its long-header packets.

        `decrypted` are the frames of the first packet if it has been decrypted already.

        Raises:
            ClientHelloError: the client's TLS message is not a ClientHello or exceeds a bound.
        """
        if data in self._roles:  # an exact copy was made by the network; a client's retransmission differs
            return AddResult.DROPPED
        has_new_crypto = has_old_crypto = has_initial = has_zero_rtt = False
        for index, packet in enumerate(packets):
            if packet.type is QuicPacketType.ZERO_RTT:
                has_zero_rtt = True
            elif packet.type is QuicPacketType.INITIAL:
                frames = (
                    decrypted if index == 0 and decrypted is not None else self.keys.decrypt(packet, from_client=True)
                )
                if frames is None:
                    continue
                has_initial = True
                self.client_closed |= frames.close_code is not None
                for offset, piece in frames.crypto:
                    has_old_crypto |= self._crypto_stream.overlaps(offset, piece)
                    has_new_crypto |= self._crypto_stream.add(offset, piece)
        if not has_initial and not has_zero_rtt:
            return AddResult.DROPPED
        if has_new_crypto:
            is_hello_part = self.client_hello is None and not has_old_crypto
            role = DatagramRole.HELLO_PART if is_hello_part else DatagramRole.REPEAT
            result = self._store(self._initials, data, role, MAX_INITIAL_DATAGRAMS, MAX_INITIAL_BYTES)
            self._read_client_hello()
            return result
        if not has_zero_rtt:
            return AddResult.FORWARD_ONLY
        role = DatagramRole.REPEAT if has_initial else DatagramRole.ZERO_RTT
        return self._store(self._zero_rtt, data, role, MAX_ZERO_RTT_DATAGRAMS, MAX_ZERO_RTT_BYTES)

    def _store(
        self, datagrams: list[bytes], data: bytes, role: DatagramRole, max_datagrams: int, max_bytes: int
    ) -> AddResult:
        if len(datagrams) >= max_datagrams or sum(map(len, datagrams)) + len(data) > max_bytes:
            return AddResult.DROPPED
        datagrams.append(data)
        self._roles[data] = role
        return AddResult.STORED

    def _read_client_hello(self) -> None:
        if self.client_hello is None and (message := self._crypto_stream.first_message()) is not None:
            try:
                self.client_hello = parse_client_hello(message)
            except ClientHelloError:
                # The server reports the error to the client; for the rules it has no server name.
                self.client_hello = ClientHello()
