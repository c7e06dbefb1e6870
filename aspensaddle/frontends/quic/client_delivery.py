"""Sends the datagrams of servers on to clients, within the limit of each address. No I/O of its own.

A datagram over the limit is held back until a datagram of the client widens the limit, and then sent in its order. If
it were dropped, the server would have to notice the loss, which takes longer, and for ever if nothing gets through.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.session import Path

MAX_HELD_BYTES_PER_PATH = 512 << 10
MAX_HELD_BYTES = 4 << 20  # of all paths


@dataclass(slots=True)
class _HeldDatagrams:
    """The datagrams that are held back on one path, oldest first, and their size in bytes."""

    datagrams: deque[bytes] = field(default_factory=deque)
    size: int = 0


class ClientDelivery:
    """Delivers the datagrams of servers to clients, and holds back those over the limit of an address."""

    def __init__(self, context: Context) -> None:
        """Deliver through the context's transport."""
        self._context = context
        self._held: dict[Path, _HeldDatagrams] = {}  # the path that reached its limit first comes first
        self.held_bytes = 0  # of all paths

    def deliver(self, path: Path, data: bytes) -> None:
        """Send a server's datagram to the client of the path, now or once the limit of its address allows it."""
        path.bytes_from_server += len(data)
        path.last_server_datagram_at = self._context.now
        path.client_cid.record(data)
        if path in self._held:
            self._hold(path, data)
            self.release(path)
        elif not self._try_send(path, data):
            self._log_held_back(path, len(data))
            self._hold(path, data)

    def release(self, path: Path) -> None:
        """Send the datagrams that are held back on a path, as far as its limit allows it now."""
        held = self._held.get(path)
        if held is None:
            return
        while held.datagrams and self._try_send(path, held.datagrams[0]):
            size = len(held.datagrams.popleft())
            held.size -= size
            self.held_bytes -= size
        if not held.datagrams:
            del self._held[path]

    def release_due(self) -> None:
        """Send the datagrams that limits allow without a reply, because none has come for some time."""
        for path in list(self._held):
            self.release(path)

    def discard(self, path: Path) -> None:
        """Drop what is held back on a path that is closed, or whose memory others need."""
        held = self._held.pop(path, None)
        if held is not None:
            self.held_bytes -= held.size
            self._context.counters.add("quic held datagrams dropped", len(held.datagrams))

    def _try_send(self, path: Path, data: bytes) -> bool:
        limit = path.address_limit
        if limit is not None and not limit.try_consume(len(data), self._context.now):
            return False
        path.bytes_to_client += len(data)
        self._context.transport.send_to_client(data, path.client_address)
        return True

    def _hold(self, path: Path, data: bytes) -> None:
        """Keep a datagram; without room on its path it is dropped, as in a network whose queue is full."""
        held = self._held.setdefault(path, _HeldDatagrams())
        self._context.counters.add("quic over three times")
        if held.size + len(data) > MAX_HELD_BYTES_PER_PATH:
            self._context.counters.add("quic held datagrams dropped")
            return
        held.datagrams.append(data)
        held.size += len(data)
        self.held_bytes += len(data)
        while self.held_bytes > MAX_HELD_BYTES:
            self.discard(next(iter(self._held)))

    def _log_held_back(self, path: Path, size: int) -> None:
        context, session, limit = self._context, path.session, path.address_limit
        context.log.rate_limited_event(
            "quic datagram held back",
            id=session.id,
            server=context.endpoints.uid(path.server),
            client=path.client_address,
            socket=path.slot,
            paths=len(session.all_paths()),
            current=path is session.path,
            size=size,
            from_client=path.bytes_from_client,
            from_server=path.bytes_from_server,
            to_client=path.bytes_to_client,
            replies=0 if limit is None else limit.replies,
            path_age_ms=round(1000 * (context.now - path.opened_at)),
        )
