"""A client's TLS ClientHello: put together from the pieces that its Initials bring, and read.

Bounded in octets and pieces: what is over raises `ClientHelloError`. How long it is waited for is the caller's.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from aioquic.buffer import Buffer, BufferReadError
from aioquic.tls import Alert, pull_client_hello

MOST_OCTETS = 16384  # of a ClientHello; post-quantum key shares make it 1.5 to 4 KB
MOST_PIECES = 64  # that stand apart at a time
HEADER = 4  # a handshake message's type and length
CLIENT_HELLO = 1
ENCRYPTED_CLIENT_HELLO = 0xFE0D  # RFC 9849
MOST_NAME = 253
MOST_ALPN = 16  # read; the rest says nothing that a rule could ask for

_NAME = re.compile(r"(?=.{1,253}$)[a-z0-9_-]{1,63}(\.[a-z0-9_-]{1,63})*")


class ClientHelloError(Exception):
    """The client's TLS is not a ClientHello, or is larger than any should be."""


@dataclass(frozen=True, slots=True)
class ClientHello:
    """What the rules may ask for."""

    name: str = ""  # the server name (SNI), in lower case; empty where there is none that can be used
    alpn: tuple[str, ...] = ()  # the protocols offered, in the client's order
    encrypted: bool = False  # the true name is hidden (ECH): the outer one is no client's wish


class CryptoStreamReassembler:
    """The CRYPTO stream of a client's Initials from its beginning on (RFC 9000, 7.5 and 19.6)."""

    __slots__ = ("_apart", "_head")

    def __init__(self) -> None:
        self._head = b""  # what has come without a gap
        self._apart: dict[int, bytes] = {}  # by offset, behind a gap

    @property
    def octets(self) -> int:
        """Octets held."""
        return len(self._head) + sum(map(len, self._apart.values()))

    def add(self, offset: int, data: bytes) -> bool:
        """Take a piece; whether any of it is new. Raises `ClientHelloError` over the bounds."""
        end = offset + len(data)
        if end > MOST_OCTETS:
            raise ClientHelloError(f"a ClientHello over {MOST_OCTETS} octets")
        if end <= len(self._head) or any(o <= offset and end <= o + len(d) for o, d in self._apart.items()):
            return False
        if offset > len(self._head):
            # Guards against pieces that overlap without end: one inside the new one gives way to it.
            for o in [o for o, d in self._apart.items() if offset <= o and o + len(d) <= end]:
                del self._apart[o]
            if len(self._apart) >= MOST_PIECES or self.octets + len(data) > MOST_OCTETS:
                raise ClientHelloError("too many pieces of a ClientHello")
            self._apart[offset] = data
            return True
        self._head += data[len(self._head) - offset :]
        for o in sorted(self._apart):
            if o <= len(self._head):
                piece = self._apart.pop(o)
                self._head += piece[len(self._head) - o :]
        return True

    def message(self) -> bytes | None:
        """The whole first handshake message, or None while it is not there yet. Raises `ClientHelloError` where what
        is there can't become a ClientHello.
        """
        head = self._head
        if head and head[0] != CLIENT_HELLO:
            raise ClientHelloError("the first TLS message is no ClientHello")
        if len(head) < HEADER:
            return None
        end = HEADER + int.from_bytes(head[1:HEADER], "big")
        if end > MOST_OCTETS:
            raise ClientHelloError(f"a ClientHello over {MOST_OCTETS} octets")
        return head[:end] if len(head) >= end else None


def parse_client_hello(message: bytes) -> ClientHello:
    """What a whole ClientHello asks for. Raises `ClientHelloError` where it can't be read."""
    if message[:1] != bytes([CLIENT_HELLO]):
        raise ClientHelloError("no ClientHello")
    try:
        hello = pull_client_hello(Buffer(data=message))
    except (Alert, BufferReadError, ValueError, UnicodeDecodeError) as e:
        raise ClientHelloError(f"a ClientHello that can't be read: {e}") from None
    name = (hello.server_name or "").rstrip(".").lower()
    encrypted = any(kind == ENCRYPTED_CLIENT_HELLO for kind, _ in hello.other_extensions or [])
    return ClientHello(
        name if _NAME.fullmatch(name) else "", tuple(hello.alpn_protocols or ())[:MOST_ALPN], encrypted
    )
