"""Counts of attempts and accepted attempts at one server over a sliding window of slots."""

from __future__ import annotations

WINDOW_SLOTS = 10
SLOT_SECONDS = 1.0


class AttemptWindow:
    """Attempts and accepted attempts by slot; `sends` and `accepts` are their sums over the window."""

    __slots__ = ("_accepts", "_sends", "accepts", "sends")

    def __init__(self) -> None:
        """Start with empty slots."""
        self.sends = 0
        self.accepts = 0
        self._sends = [0] * WINDOW_SLOTS
        self._accepts = [0] * WINDOW_SLOTS

    def count(self, slot: int, accepted: bool) -> None:
        """Count an attempt in a slot."""
        self._sends[slot] += 1
        self._accepts[slot] += accepted
        self.sends += 1
        self.accepts += accepted

    def clear(self, slot: int) -> bool:
        """Clear the oldest slot; return whether any attempt is left in the window."""
        self.sends -= self._sends[slot]
        self.accepts -= self._accepts[slot]
        self._sends[slot] = 0
        self._accepts[slot] = 0
        return self.sends > 0
