"""A link that loses, duplicates, delays, reorders and truncates datagrams at random. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random


@dataclass(slots=True)
class Link:
    """One direction of a link. The default passes every datagram on at once and unchanged.

    `loss`, `duplication` and `truncation` are probabilities per datagram; `delay` and `jitter` are seconds.
    """

    seed: int = 0
    loss: float = 0.0
    duplication: float = 0.0
    truncation: float = 0.0  # no network truncates datagrams, but every parser has to withstand it
    delay: float = 0.0
    jitter: float = 0.0  # maximum of a random delay added to `delay`; it reorders datagrams
    _random: Random = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Create the random number generator from the seed."""
        self._random = Random(self.seed)

    def transmit(self, data: bytes) -> list[tuple[float, bytes]]:
        """Return the copies of a datagram that arrive, each with its delay in seconds; none if it is lost."""
        random = self._random
        copies = 0 if random.random() < self.loss else 2 if random.random() < self.duplication else 1
        arrivals = []
        for _ in range(copies):
            intact = len(data) < 2 or random.random() >= self.truncation
            arrivals.append(
                (
                    self.delay + random.random() * self.jitter,
                    data if intact else data[: random.randrange(1, len(data))],
                )
            )
        return arrivals
