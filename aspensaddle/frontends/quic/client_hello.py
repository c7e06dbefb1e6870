"""Reassembles and parses the TLS ClientHello that a client's Initials carry.

Its size and its number of pieces are bounded; beyond a bound, `ClientHelloError` is raised. The time to wait for it
is bounded by the caller.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from aioquic.buffer import Buffer, BufferReadError
from aioquic.tls import Alert, pull_client_hello

MAX_CLIENT_HELLO_BYTES = 16384  # a ClientHello with post-quantum key shares has 1.5 to 4 KB
MAX_PIECES = 64  # limit of the stored pieces that have gaps between them
HANDSHAKE_HEADER_BYTES = 4  # type and length of a handshake message
CLIENT_HELLO_TYPE = 1
ENCRYPTED_CLIENT_HELLO = 0xFE0D  # extension type of ECH (RFC 9849)
MAX_ALPN_PROTOCOLS = 16  # further protocols are ignored: no rule could need them

_NAME = re.compile(r"(?=.{1,253}$)[a-z0-9_-]{1,63}(\.[a-z0-9_-]{1,63})*")


class ClientHelloError(Exception):
    """The client's first TLS message is not a ClientHello, or it exceeds a bound."""


@dataclass(frozen=True, slots=True)
class ClientHello:
    """The fields of a ClientHello that rules can match."""

    server_name: str = ""  # SNI in lower case; empty if it is missing or not a host name
    alpn: tuple[str, ...] = ()  # offered protocols in the client's order
    encrypted: bool = False  # ECH hides the real server name; the outer name says nothing about the client


class CryptoStreamReassembler:
    """Reassembles the CRYPTO stream of a client's Initials from offset 0 (RFC 9000, 7.5 and 19.6)."""

    __slots__ = ("_contiguous", "_pieces")

    def __init__(self) -> None:
        """Start with an empty stream."""
        self._contiguous = b""  # data from offset 0 up to the first gap
        self._pieces: dict[int, bytes] = {}  # data behind a gap, by offset

    @property
    def stored_bytes(self) -> int:
        """The number of bytes held."""
        return len(self._contiguous) + sum(map(len, self._pieces.values()))

    def overlaps(self, offset: int, data: bytes) -> bool:
        """Return whether a byte of a piece has been added before."""
        end = offset + len(data)
        return offset < len(self._contiguous) or any(
            start < end and offset < start + len(piece) for start, piece in self._pieces.items()
        )

    def add(self, offset: int, data: bytes) -> bool:
        """Add a piece of the stream and return whether any of it is new.

        Raises:
            ClientHelloError: the stream or the number of its pieces exceeds a bound.
        """
        end = offset + len(data)
        if end > MAX_CLIENT_HELLO_BYTES:
            raise ClientHelloError(f"the ClientHello is larger than {MAX_CLIENT_HELLO_BYTES} bytes")
        if end <= len(self._contiguous) or any(
            start <= offset and end <= start + len(piece) for start, piece in self._pieces.items()
        ):
            return False
        if offset > len(self._contiguous):
            # Pieces inside the new one are dropped, so that overlapping pieces cannot accumulate without limit.
            for start in [
                start for start, piece in self._pieces.items() if offset <= start and start + len(piece) <= end
            ]:
                del self._pieces[start]
            if len(self._pieces) >= MAX_PIECES or self.stored_bytes + len(data) > MAX_CLIENT_HELLO_BYTES:
                raise ClientHelloError(
                    f"the ClientHello has more than {MAX_PIECES} separate pieces, "
                    f"or they exceed {MAX_CLIENT_HELLO_BYTES} bytes"
                )
            self._pieces[offset] = data
            return True
        self._contiguous += data[len(self._contiguous) - offset :]
        for start in sorted(self._pieces):
            if start <= len(self._contiguous):
                piece = self._pieces.pop(start)
                self._contiguous += piece[len(self._contiguous) - start :]
        return True

    def first_message(self) -> bytes | None:
        """Return the first handshake message, or None while it is incomplete.

        Raises:
            ClientHelloError: the data cannot become a ClientHello.
        """
        contiguous = self._contiguous
        if contiguous and contiguous[0] != CLIENT_HELLO_TYPE:
            raise ClientHelloError("the first TLS message is not a ClientHello")
        if len(contiguous) < HANDSHAKE_HEADER_BYTES:
            return None
        end = HANDSHAKE_HEADER_BYTES + int.from_bytes(contiguous[1:HANDSHAKE_HEADER_BYTES], "big")
        if end > MAX_CLIENT_HELLO_BYTES:
            raise ClientHelloError(f"the ClientHello is larger than {MAX_CLIENT_HELLO_BYTES} bytes")
        return contiguous[:end] if len(contiguous) >= end else None


def parse_client_hello(message: bytes) -> ClientHello:
    """Parse a complete ClientHello message.

    Raises:
        ClientHelloError: the message is not a valid ClientHello.
    """
    if message[:1] != bytes([CLIENT_HELLO_TYPE]):
        raise ClientHelloError("the message is not a ClientHello")
    try:
        client_hello = pull_client_hello(Buffer(data=message))
    except (Alert, BufferReadError, ValueError, UnicodeDecodeError) as error:
        raise ClientHelloError(f"the ClientHello cannot be parsed: {error}") from None
    name = (client_hello.server_name or "").rstrip(".").lower()
    encrypted = any(kind == ENCRYPTED_CLIENT_HELLO for kind, _ in client_hello.other_extensions or [])
    return ClientHello(
        name if _NAME.fullmatch(name) else "",
        tuple(client_hello.alpn_protocols or ())[:MAX_ALPN_PROTOCOLS],
        encrypted,
    )
