"""Sends and accepts of one server over a sliding window of slots, as the paper counts them."""

from __future__ import annotations

SLOTS = 10  # the paper's m


class Window:
    """Counts by slot, and their sums `sends` and `accepts`."""

    __slots__ = ("sends", "accepts", "_sends", "_accepts")

    def __init__(self) -> None:
        self.sends = self.accepts = 0
        self._sends, self._accepts = [0] * SLOTS, [0] * SLOTS

    def count(self, slot: int, accepted: bool) -> None:
        self._sends[slot] += 1
        self._accepts[slot] += accepted
        self.sends += 1
        self.accepts += accepted

    def clear(self, slot: int) -> bool:
        """Forget the oldest slot; whether any send is left."""
        self.sends -= self._sends[slot]
        self.accepts -= self._accepts[slot]
        self._sends[slot] = self._accepts[slot] = 0
        return self.sends > 0
