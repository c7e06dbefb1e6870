"""Decrypts and builds Initial packets.

Their keys are derived from the client's first Destination Connection ID, so anyone who has seen the client's first
Initial can do both (RFC 9001, 5.2; RFC 9369, 3.3). Before the handshake there is no stronger authentication than
this: a host that has not seen that Initial cannot forge packets of either side.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from aioquic.buffer import Buffer, BufferReadError, encode_uint_var
from aioquic.quic.crypto import CryptoContext, CryptoError, CryptoPair
from aioquic.quic.packet import QuicPacketType, encode_long_header_first_byte, pull_ack_frame

from aspensaddle.frontends.quic.packets import Packet

# Transport error codes (RFC 9000, 20.1)
INTERNAL_ERROR = 0x01
CONNECTION_REFUSED = 0x02
INVALID_TOKEN = 0x0B
# Frame types (RFC 9000, 19)
PADDING = 0x00
PING = 0x01
ACK = 0x02
ACK_ECN = 0x03
CRYPTO = 0x06
CONNECTION_CLOSE = 0x1C
MAX_FRAMES = 256  # limit of the frames in one packet, not counting PADDING and PING


@dataclass(slots=True)
class InitialFrames:
    """The frames of a decrypted Initial that the front end uses."""

    crypto: list[tuple[int, bytes]] = field(default_factory=list)  # offset and data of each CRYPTO frame
    close_code: int | None = None  # the error code of a CONNECTION_CLOSE


class InitialKeys:
    """The Initial keys of client and server that derive from a connection ID, for each version in use."""

    __slots__ = ("_pairs", "dcid")

    def __init__(self, dcid: bytes) -> None:
        """Derive keys from `dcid` when they are first used."""
        self.dcid = dcid
        self._pairs: dict[int, CryptoPair] = {}

    def decrypt(self, packet: Packet, from_client: bool) -> InitialFrames | None:
        """Return an Initial's frames; None if it is not authentic or holds a frame that no Initial may hold."""
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
        """Return a server's Initial that closes a connection before its handshake (RFC 9000, 10.2.3).

        Args:
            version: the QUIC version of the client's Initial.
            client_scid: the client's connection ID.
            code: the transport error code.
            reason: the reason phrase.
        """
        frame = bytes([CONNECTION_CLOSE]) + encode_uint_var(code) + b"\x00" + encode_uint_var(len(reason)) + reason
        packet_number_bytes, tag_bytes = 2, 16
        length = packet_number_bytes + len(frame) + tag_bytes
        header = (
            bytes([encode_long_header_first_byte(version, QuicPacketType.INITIAL, packet_number_bytes - 1)])
            + version.to_bytes(4, "big")
            + bytes([len(client_scid)])
            + client_scid
            + bytes([len(self.dcid)])
            + self.dcid
            + b"\x00"
            + (length | 0x4000).to_bytes(2, "big")
            + bytes(packet_number_bytes)
        )
        return self._crypto_context(version, from_client=False).encrypt_packet(header, frame, 0)


def _read_frames(payload: bytes) -> InitialFrames:
    """Read the payload of an Initial.

    Raises:
        ValueError: it holds no frame, too many frames, or one that is not allowed in an Initial (RFC 9000, 12.4 and
            table 3).
        BufferReadError: a frame is cut off.
    """
    if not payload:
        raise ValueError("the payload has no frame")
    frames, buf, count = InitialFrames(), Buffer(data=payload), 0
    while not buf.eof():
        frame_type = buf.pull_uint_var()
        if frame_type in (PADDING, PING):
            continue
        if (count := count + 1) > MAX_FRAMES:
            raise ValueError(f"the payload has more than {MAX_FRAMES} frames")
        if frame_type in (ACK, ACK_ECN):
            pull_ack_frame(buf)
            if frame_type == ACK_ECN:
                for _ in range(3):
                    buf.pull_uint_var()
        elif frame_type == CRYPTO:
            offset = buf.pull_uint_var()
            if data := buf.pull_bytes(buf.pull_uint_var()):
                frames.crypto.append((offset, data))
        elif frame_type == CONNECTION_CLOSE:
            frames.close_code = buf.pull_uint_var()
            buf.pull_uint_var()
            buf.pull_bytes(buf.pull_uint_var())
        else:
            raise ValueError(f"frame type {frame_type:#x} is not allowed in an Initial")
    return frames
