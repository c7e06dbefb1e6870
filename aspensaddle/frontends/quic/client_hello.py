"""A client's TLS ClientHello: put together from the pieces that its Initials bring, and read.

Bounded in octets and pieces: what is over raises `ClientHelloError`. How long it is waited for is the caller's.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from aioquic.buffer import Buffer, BufferReadError
from aioquic.tls import Alert, pull_client_hello

MAX_CLIENT_HELLO_BYTES = 16384  # of a ClientHello; post-quantum key shares make it 1.5 to 4 KB
MAX_PIECES = 64  # that stand apart at a time
HANDSHAKE_HEADER_BYTES = 4  # a handshake message's type and length
CLIENT_HELLO_TYPE = 1
ENCRYPTED_CLIENT_HELLO = 0xFE0D  # RFC 9849
MAX_SERVER_NAME_CHARACTERS = 253
MAX_ALPN_PROTOCOLS = 16  # read; the rest says nothing that a rule could ask for

_NAME = re.compile(r"(?=.{1,253}$)[a-z0-9_-]{1,63}(\.[a-z0-9_-]{1,63})*")


class ClientHelloError(Exception):
    """The client's TLS is not a ClientHello, or is larger than any should be."""


@dataclass(frozen=True, slots=True)
class ClientHello:
    """What the rules may ask for."""

    server_name: str = ""  # the server name (SNI), in lower case; empty where there is none that can be used
    alpn: tuple[str, ...] = ()  # the protocols offered, in the client's order
    encrypted: bool = False  # the true name is hidden (ECH): the outer one is no client's wish


class CryptoStreamReassembler:
    """The CRYPTO stream of a client's Initials from its beginning on (RFC 9000, 7.5 and 19.6)."""

    __slots__ = ("_contiguous", "_pieces")

    def __init__(self) -> None:
        self._contiguous = b""  # what has come without a gap
        self._pieces: dict[int, bytes] = {}  # by offset, behind a gap

    @property
    def stored_bytes(self) -> int:
        """Octets held."""
        return len(self._contiguous) + sum(map(len, self._pieces.values()))

    def add(self, offset: int, data: bytes) -> bool:
        """Take a piece; whether any of it is new. Raises `ClientHelloError` over the bounds."""
        end = offset + len(data)
        if end > MAX_CLIENT_HELLO_BYTES:
            raise ClientHelloError(f"a ClientHello over {MAX_CLIENT_HELLO_BYTES} octets")
        if end <= len(self._contiguous) or any(o <= offset and end <= o + len(d) for o, d in self._pieces.items()):
            return False
        if offset > len(self._contiguous):
            # Guards against pieces that overlap without end: one inside the new one gives way to it.
            for o in [o for o, d in self._pieces.items() if offset <= o and o + len(d) <= end]:
                del self._pieces[o]
            if len(self._pieces) >= MAX_PIECES or self.stored_bytes + len(data) > MAX_CLIENT_HELLO_BYTES:
                raise ClientHelloError("too many pieces of a ClientHello")
            self._pieces[offset] = data
            return True
        self._contiguous += data[len(self._contiguous) - offset :]
        for o in sorted(self._pieces):
            if o <= len(self._contiguous):
                piece = self._pieces.pop(o)
                self._contiguous += piece[len(self._contiguous) - o :]
        return True

    def first_message(self) -> bytes | None:
        """The whole first handshake message, or None while it is not there yet. Raises `ClientHelloError` where what
        is there can't become a ClientHello.
        """
        head = self._contiguous
        if head and head[0] != CLIENT_HELLO_TYPE:
            raise ClientHelloError("the first TLS message is no ClientHello")
        if len(head) < HANDSHAKE_HEADER_BYTES:
            return None
        end = HANDSHAKE_HEADER_BYTES + int.from_bytes(head[1:HANDSHAKE_HEADER_BYTES], "big")
        if end > MAX_CLIENT_HELLO_BYTES:
            raise ClientHelloError(f"a ClientHello over {MAX_CLIENT_HELLO_BYTES} octets")
        return head[:end] if len(head) >= end else None


def parse_client_hello(message: bytes) -> ClientHello:
    """What a whole ClientHello asks for. Raises `ClientHelloError` where it can't be read."""
    if message[:1] != bytes([CLIENT_HELLO_TYPE]):
        raise ClientHelloError("no ClientHello")
    try:
        client_hello = pull_client_hello(Buffer(data=message))
    except (Alert, BufferReadError, ValueError, UnicodeDecodeError) as e:
        raise ClientHelloError(f"a ClientHello that can't be read: {e}") from None
    name = (client_hello.server_name or "").rstrip(".").lower()
    encrypted = any(kind == ENCRYPTED_CLIENT_HELLO for kind, _ in client_hello.other_extensions or [])
    return ClientHello(
        name if _NAME.fullmatch(name) else "",
        tuple(client_hello.alpn_protocols or ())[:MAX_ALPN_PROTOCOLS],
        encrypted,
    )
