"""How heavy connections are, from what was told of the last of them, and which would have to go for all to fit.

Knows figures, not decisions. Loads are work a second and uneven: a twentieth of the connections may ask for a third
of the work, while each is worth the same to its client.
"""

from __future__ import annotations

from collections import deque
from itertools import accumulate

MOST = 100  # loads that are remembered


class Loads:
    """Cost: `tell` O(1), `fit` O(n log n) of at most `MOST` loads."""

    def __init__(self) -> None:
        self._told = deque[float](maxlen=MOST)

    def tell(self, load: float) -> None:
        """A connection's load as it was first told. Only of those that came for the first time: who is moved comes
        again, so the heavy ones would be counted over and over."""
        self._told.append(load)

    def fit(self, each: float) -> tuple[float, float]:
        """The heaviest load that can stay if no more than `each` is to be asked for a connection, those that go
        counted too; and the part of all the work that is beyond. Infinity and 0 where all fit or none was told."""
        room, total = each * len(self._told), sum(self._told)
        if total <= room:
            return float("inf"), 0.0
        told = sorted(self._told)
        stay = sum(kept <= room for kept in accumulate(told))
        return told[max(0, stay - 1)], 1 - room / total
