"""Sends the datagrams of servers on to clients, within the limit of each address. No I/O of its own."""

from __future__ import annotations

from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.session import Path


class ClientDelivery:
    """Delivers the datagrams of servers to clients, and reports on which path one was held back."""

    def __init__(self, context: Context) -> None:
        """Deliver through the context's transport."""
        self._context = context

    def deliver(self, path: Path, data: bytes) -> None:
        """Send a server's datagram to the client of the path, unless the limit of its address is reached."""
        path.bytes_from_server += len(data)
        limit = path.amplification_limit
        if limit is not None and not limit.try_consume(len(data)):
            self._context.counters.add("quic over three times")
            self._log_held_back(path, len(data))
            return
        path.bytes_to_client += len(data)
        self._context.transport.send_to_client(data, path.client_address)

    def _log_held_back(self, path: Path, size: int) -> None:
        context, session, limit = self._context, path.session, path.amplification_limit
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
            replies=0 if limit is None else limit.round_trips,
            path_age_ms=round(1000 * (context.now - path.opened_at)),
        )
