"""Initial packets, which whoever has seen the client's first one can open (RFC 9001, 5.2; RFC 9369, 3.3).

That is all the proof there is before the handshake: nobody who has not seen a client's first Initial can speak
for either side.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from aioquic.buffer import Buffer, BufferReadError, encode_uint_var
from aioquic.quic.crypto import CryptoContext, CryptoError, CryptoPair
from aioquic.quic.packet import QuicPacketType, encode_long_header_first_byte, pull_ack_frame

from aspensaddle.frontends.quic.packets import Packet

NO_ERROR, INTERNAL_ERROR, CONNECTION_REFUSED, INVALID_TOKEN = 0x00, 0x01, 0x02, 0x0B
PADDING, PING, ACK, ACK_ECN, CRYPTO, CONNECTION_CLOSE = 0x00, 0x01, 0x02, 0x03, 0x06, 0x1C
MAX_FRAMES = 256  # read of one packet, padding aside


@dataclass(slots=True)
class InitialFrames:
    """What matters in an Initial that opened."""

    crypto: list[tuple[int, bytes]] = field(default_factory=list)  # offset and octets of TLS
    close_code: int | None = None  # the code of a CONNECTION_CLOSE


class InitialKeys:
    """The keys of both sides that a client-chosen id gives, for each version in use."""

    __slots__ = ("_pairs", "dcid")

    def __init__(self, dcid: bytes) -> None:
        self.dcid = dcid
        self._pairs: dict[int, CryptoPair] = {}

    def decrypt(self, packet: Packet, from_client: bool) -> InitialFrames | None:
        """The frames of an Initial; None where it does not open or holds what no Initial may."""
        if packet.type is not QuicPacketType.INITIAL:
            return None
        try:
            _, payload, *_ = self._crypto_context(packet.version, from_client).decrypt_packet(
                packet.data, packet.protected_offset, 0
            )
            return _read_frames(payload)
        except (CryptoError, BufferReadError, ValueError, IndexError):
            return None

    def _crypto_context(self, version: int, from_client: bool) -> CryptoContext:
        pair = self._pairs.get(version)
        if pair is None:
            pair = self._pairs[version] = CryptoPair()
            pair.setup_initial(self.dcid, is_client=False, version=version)
        return pair.recv if from_client else pair.send

    def encode_close(self, version: int, client_scid: bytes, code: int, reason: bytes) -> bytes:
        """A server's Initial that closes a connection that has not begun (RFC 9000, 10.2.3)."""
        frame = bytes([CONNECTION_CLOSE]) + encode_uint_var(code) + b"\x00" + encode_uint_var(len(reason)) + reason
        number_length, tag = 2, 16
        length = number_length + len(frame) + tag
        header = (
            bytes([encode_long_header_first_byte(version, QuicPacketType.INITIAL, number_length - 1)])
            + version.to_bytes(4, "big")
            + bytes([len(client_scid)])
            + client_scid
            + bytes([len(self.dcid)])
            + self.dcid
            + b"\x00"
            + (length | 0x4000).to_bytes(2, "big")
            + bytes(number_length)
        )
        return self._crypto_context(version, from_client=False).encrypt_packet(header, frame, 0)


def _read_frames(payload: bytes) -> InitialFrames:
    """RFC 9000, 12.4 and table 3: what an Initial may hold. Anything else raises `ValueError`."""
    if not payload:
        raise ValueError("no frame")
    frames, buf, count = InitialFrames(), Buffer(data=payload), 0
    while not buf.eof():
        kind = buf.pull_uint_var()
        if kind in (PADDING, PING):
            continue
        if (count := count + 1) > MAX_FRAMES:
            raise ValueError("too many frames")
        if kind in (ACK, ACK_ECN):
            pull_ack_frame(buf)
            if kind == ACK_ECN:
                for _ in range(3):
                    buf.pull_uint_var()
        elif kind == CRYPTO:
            offset = buf.pull_uint_var()
            if data := buf.pull_bytes(buf.pull_uint_var()):
                frames.crypto.append((offset, data))
        elif kind == CONNECTION_CLOSE:
            frames.close_code = buf.pull_uint_var()
            buf.pull_uint_var()
            buf.pull_bytes(buf.pull_uint_var())
        else:
            raise ValueError("a frame that no Initial holds")
    return frames
