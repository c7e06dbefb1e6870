"""The result of a simulation and its text form."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

from benchmarks.rolling_restart_simulation.model import COUNTING_PERIOD


class CountedEvent(StrEnum):
    """The events that are counted per period; the report lists them in this order under their values."""

    MIGRATION = "moves"
    DRAINED = "drained"
    BALANCER_RESTART = "restarted"
    CONNECTION_LOST = "breaks"
    REJECTION = "refusals"
    ATTEMPT = "sends"


@dataclass(slots=True)
class ServerUtilization:
    """Utilization of the running servers that started before the simulation, or of those that started during it."""

    server_count: int = 0
    median_utilization: float = 0.0  # demand divided by capacity
    median_demand: float = 0.0  # standard cores

    def __str__(self) -> str:
        """Return the count and both medians."""
        return f"{self.server_count:2d} at {self.median_utilization:.2f} ({self.median_demand:.2f})"


@dataclass(slots=True)
class Snapshot:
    """The fleet at one time. A pair is a session group with a server that has connections of it."""

    time: float
    connections: int
    pairs: int
    pairs_with_one_connection: int
    pair_work: float  # standard cores used for the pairs
    load: float  # standard cores used for the connections
    old_servers: ServerUtilization
    new_servers: ServerUtilization
    overloaded_fraction: float  # fraction of connections on servers that answer no message in time

    def __str__(self) -> str:
        """Return one line of the report."""
        return (
            f"{self.time:4.0f} s  {self.connections:5d} conn  {self.pairs:4d} pairs  "
            f"{self.pairs_with_one_connection:3d} single  work {self.pair_work:3.0f} / {self.load:3.0f}  "
            f"old {self.old_servers}  new {self.new_servers}  overrun {self.overloaded_fraction:.2f}"
        )


@dataclass(slots=True)
class SimulationResult:
    """The figures of one simulation."""

    served_fraction: float  # fraction of the requested service, by priority weight
    lost_fractions: dict[str, float]  # fractions of the requested service, by cause
    snapshots: list[Snapshot]
    counts: list[Counter[CountedEvent]]  # one per counting period
    median_duration: float  # seconds that connections were open
    crashes: int

    def __str__(self) -> str:
        """Return the report as several lines."""
        lost = "  ".join(f"{cause} {part:.3f}" for cause, part in sorted(self.lost_fractions.items()))
        return "\n".join(
            [
                f"served {self.served_fraction:.3f}  lost: {lost}",
                *map(str, self.snapshots),
                *(self._period_line(period, counts) for period, counts in enumerate(self.counts)),
                f"median stay {self.median_duration:.1f} s, falls {self.crashes}",
            ]
        )

    @staticmethod
    def _period_line(period: int, counts: Counter[CountedEvent]) -> str:
        start, end = round(COUNTING_PERIOD * period), round(COUNTING_PERIOD * (period + 1))
        return f"{start:2d}-{end:2d} s  " + "  ".join(f"{event} {counts[event]:5d}" for event in CountedEvent)
