"""Counters of the program's events, such as requests received and responses sent."""

from __future__ import annotations

from collections import Counter


class Counters(Counter[str]):
    """Counts by name; a name starts at zero on its first use."""

    def add(self, name: str, count: int = 1) -> None:
        """Increase a counter."""
        self[name] += count

    def report(self) -> dict[str, int]:
        """Return all counters, sorted by name."""
        return dict(sorted(self.items()))
