"""A link that loses, repeats, delays, reorders and truncates datagrams at random. Without I/O or a clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random


@dataclass(slots=True)
class Link:
    """A link. `loss`, `repeat` and `cut` are probabilities, delays are seconds. The default changes nothing."""

    seed: int = 0
    loss: float = 0.0
    repeat: float = 0.0
    cut: float = 0.0  # truncated, which no network does but every parser must bear
    delay: float = 0.0
    jitter: float = 0.0  # on top, at random, which reorders
    _random: Random = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Seed the random numbers."""
        self._random = Random(self.seed)

    def pass_on(self, data: bytes) -> list[tuple[float, bytes]]:
        """Return the copies of a datagram that arrive, each with its delay in seconds."""
        r = self._random
        copies = 0 if r.random() < self.loss else 2 if r.random() < self.repeat else 1
        out = []
        for _ in range(copies):
            whole = len(data) < 2 or r.random() >= self.cut
            out.append((self.delay + r.random() * self.jitter, data if whole else data[: r.randrange(1, len(data))]))
        return out
