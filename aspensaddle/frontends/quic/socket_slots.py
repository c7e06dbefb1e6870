"""Assigns the local sockets that represent clients at servers. No I/O; callers pass the current time.

A server has to see a client's change of address as a change of address, so that it validates the new one (RFC 9000,
9). Connection IDs do not tell apart what a server sends back: browsers use none, and later ones are encrypted.
Therefore each path is a pair of a local socket and a server, and no two open paths share a pair. A socket serves one
path at every server, so the number of descriptors grows with the paths of the busiest server, not with all paths.

A released pair is quarantined before it is used again, so that datagrams that the server still sends to it do not
reach another client.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Hashable
from heapq import heappop, heappush
from typing import Generic, TypeVar

ServerT = TypeVar("ServerT", bound=Hashable)


class SocketSlots(Generic[ServerT]):
    """Allocates slots, the numbers of local sockets, per server. O(log n) per operation."""

    def __init__(self, max_slots: int, quarantine_seconds: float) -> None:
        """Start with all slots free.

        Args:
            max_slots: the number of sockets; slots are numbered from 0.
            quarantine_seconds: the usual time before a released slot is used for the same server again.
        """
        self.max_slots, self.quarantine_seconds = max_slots, quarantine_seconds
        self._free: dict[ServerT, list[int]] = {}  # a heap of released slots after their quarantine
        # End of the quarantine and slot, the earliest end first
        self._quarantined: dict[ServerT, deque[tuple[float, int]]] = {}
        self._next_unused: dict[ServerT, int] = {}  # the lowest slot that was never used for the server

    def acquire(self, server_address: ServerT, now: float) -> int | None:
        """Return the lowest free slot for a server, or None if all are in use or in quarantine.

        The lowest one is chosen so that few sockets are open.
        """
        free = self._free.setdefault(server_address, [])
        quarantined = self._quarantined.get(server_address)
        while quarantined and quarantined[0][0] <= now:
            heappush(free, quarantined.popleft()[1])
        if free and free[0] < self.max_slots:
            return heappop(free)
        slot = self._next_unused.get(server_address, 0)
        if slot >= self.max_slots:
            return None
        self._next_unused[server_address] = slot + 1
        return slot

    def release(
        self, server_address: ServerT, slot: int, now: float, quarantine_seconds: float | None = None
    ) -> None:
        """Release a slot for a server.

        Args:
            server_address: the server.
            slot: the slot.
            now: the current time in seconds.
            quarantine_seconds: time before the slot is used for the server again; None for the usual time.
        """
        quarantined = self._quarantined.setdefault(server_address, deque())
        if quarantine_seconds is None:
            quarantined.append((now + self.quarantine_seconds, slot))
        else:
            insort(quarantined, (now + quarantine_seconds, slot))

    def servers(self) -> list[ServerT]:
        """Return the servers that have slot data."""
        return list(self._free)

    def forget(self, server_address: ServerT) -> None:
        """Drop the slot data of a server that has left."""
        for table in (self._free, self._quarantined, self._next_unused):
            table.pop(server_address, None)

    def resize(self, max_slots: int) -> None:
        """Change the number of slots. Slots above it that are in use stay in use until they are released."""
        self.max_slots = max_slots
