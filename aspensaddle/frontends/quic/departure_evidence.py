"""Whether the endpoint list proves that a server has left. No I/O; callers pass the current time.

A list that lacks a server proves nothing by itself. The list may be from before a restart, or late, while another
balancer knows the server and has placed a session there.
"""

from __future__ import annotations

from aspensaddle.core.endpoint_confirmation import MAX_STALENESS_SECONDS
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.frontends.quic.limits import ExpiringMap

MEMORY_SECONDS = 30.0  # time for which the first datagram to a connection ID is remembered


class DepartureEvidence:
    """Compares the time of the first datagram to a connection ID with the time at which the list was confirmed."""

    def __init__(self, endpoints: EndpointRegistry, max_cids: int) -> None:
        """Start without connection IDs; at most `max_cids` are remembered."""
        self._endpoints = endpoints
        self._first_seen_at: ExpiringMap[float] = ExpiringMap(max_cids, MEMORY_SECONDS)

    def configure(self, max_cids: int) -> None:
        """Use another limit of connection IDs from now on."""
        self._first_seen_at.max_entries = max_cids

    def note(self, dcid: bytes, now: float) -> None:
        """Note that a datagram to a connection ID has arrived; the first one counts."""
        if not self._first_seen_at.has(dcid, now):
            self._first_seen_at.put(dcid, now, now)

    def has_left(self, uid: str, dcid: bytes, now: float) -> bool:
        """Return whether the server that a connection ID names is known to have left the list, which lacks it.

        It has if the list had it before. Otherwise the list must have been confirmed long enough after the first
        datagram to the connection ID, at which the server existed if it ever did.
        """
        if self._endpoints.has_departed(uid):
            return not self._is_outdated(now)
        return self.list_covers(dcid, now)

    def list_covers(self, dcid: bytes, now: float) -> bool:
        """Return whether the list is known to be newer than the first datagram to a connection ID.

        A change is in the list at the latest `MAX_STALENESS_SECONDS` after discovery had it.
        """
        first_seen_at = self._first_seen_at.get(dcid, now)
        if first_seen_at is None:
            return False
        return self._endpoints.confirmed_at >= first_seen_at + MAX_STALENESS_SECONDS

    def _is_outdated(self, now: float) -> bool:
        """Return whether the list was confirmed before but not lately: the server may have returned since."""
        return float("-inf") < self._endpoints.confirmed_at < now - MAX_STALENESS_SECONDS
