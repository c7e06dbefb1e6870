"""The servers of a pool in the order of their normalized load."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import TypeAlias

from aspensaddle.core.server_state import Server

Entry: TypeAlias = tuple[float, int, Server]  # normalized load when it was pushed, server id, server

MIN_ENTRIES_BEFORE_COMPACTION = 64
MAX_ENTRIES_PER_SERVER = 4  # mean, above which outdated entries are removed; so a push costs O(log n) amortized


class RotationHeap:
    """A heap of servers by normalized load.

    A server whose load changes is pushed again, and its earlier entries become outdated. They are discarded when they
    are popped, and all at once when they are too many, so that the heap stays in proportion to the servers.
    """

    def __init__(self) -> None:
        """Create an empty heap."""
        self._entries: list[Entry] = []
        self._max_entries = MIN_ENTRIES_BEFORE_COMPACTION

    def __len__(self) -> int:
        """Return the number of entries, outdated ones included."""
        return len(self._entries)

    def servers(self) -> list[Server]:
        """Return the servers with an entry, each once."""
        return list({server.id: server for _, _, server in self._entries}.values())

    def push(self, server: Server) -> None:
        """Add a server with its current normalized load."""
        heappush(self._entries, (server.normalized_load, server.id, server))
        if len(self._entries) > self._max_entries:
            self._compact()

    def _compact(self) -> None:
        current = {entry[1]: entry for entry in self._entries if _is_current(entry)}
        self._entries = list(current.values())
        heapify(self._entries)
        self._max_entries = max(MIN_ENTRIES_BEFORE_COMPACTION, MAX_ENTRIES_PER_SERVER * len(self._entries))

    def first(self, is_eligible: Callable[[Server], bool]) -> Server | None:
        """Return the eligible server with the lowest normalized load, or None. All servers stay in the heap."""
        passed: list[Entry] = []
        chosen = None
        while self._entries and chosen is None:
            entry = heappop(self._entries)
            is_duplicate = bool(passed) and passed[-1][:2] == entry[:2]  # pushed twice with the same load
            if is_duplicate or not _is_current(entry):
                continue
            passed.append(entry)
            if is_eligible(entry[2]):
                chosen = entry[2]
        for entry in passed:
            heappush(self._entries, entry)
        return chosen


def _is_current(entry: Entry) -> bool:
    queued_load, _, server = entry
    return queued_load == server.normalized_load and server.is_ready
