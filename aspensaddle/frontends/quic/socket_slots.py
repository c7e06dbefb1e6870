"""Which address of this balancer's a client has towards a runner. Free of I/O; the time is told.

A runner has to see a client's change of address as a change of address, to validate it (RFC 9000, 9), and what
comes back can't be told apart by ids: browsers use none, and later ones are sealed. So each path is a pair of a
socket of this balancer's and a runner, and no two paths share a pair at a time. A socket serves one path at every
runner: descriptors grow with the paths at the fullest runner, not with all paths.

A pair that was given up rests before it is used again, lest what its runner still sends reaches another client.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Hashable
from heapq import heappop, heappush
from typing import Generic, TypeVar

R = TypeVar("R", bound=Hashable)


class SocketSlots(Generic[R]):
    """Pairs of a socket's number (0 up to `max_slots`) and a runner's address `R`. O(log n) each."""

    def __init__(self, max_slots: int, quarantine_seconds: float) -> None:
        """`max_slots`: sockets; `quarantine_seconds`: seconds before a pair is used again."""
        self.max_slots, self.quarantine_seconds = max_slots, quarantine_seconds
        self._free: dict[R, list[int]] = {}  # a heap of numbers given back and rested
        self._quarantined: dict[R, deque[tuple[float, int]]] = {}  # until when, number; the first one first
        self._next_unused: dict[R, int] = {}  # the lowest number never used at a runner

    def acquire(self, server_address: R, now: float) -> int | None:
        """The lowest socket free at a runner, so that few sockets are in use; None where all are taken or rest.
        Low numbers come first, but a rested pair only when it has rested.
        """
        free = self._free.setdefault(server_address, [])
        resting = self._quarantined.get(server_address)
        while resting and resting[0][0] <= now:
            heappush(free, resting.popleft()[1])
        if free and free[0] < self.max_slots:
            return heappop(free)
        number = self._next_unused.get(server_address, 0)
        if number >= self.max_slots:
            return None
        self._next_unused[server_address] = number + 1
        return number

    def release(self, server_address: R, number: int, now: float, quarantine_seconds: float | None = None) -> None:
        """A path has ended. `quarantine_seconds`: seconds, where it needs less than others."""
        resting = self._quarantined.setdefault(server_address, deque())
        if quarantine_seconds is None:
            resting.append((now + self.quarantine_seconds, number))
        else:
            insort(resting, (now + quarantine_seconds, number))

    def servers(self) -> list[R]:
        return list(self._free)

    def forget(self, server_address: R) -> None:
        """A runner has left, and its paths with it."""
        for table in (self._free, self._quarantined, self._next_unused):
            table.pop(server_address, None)

    def resize(self, max_slots: int) -> None:
        """Another bound. Numbers over it that are in use stay until they are given back."""
        self.max_slots = max_slots
