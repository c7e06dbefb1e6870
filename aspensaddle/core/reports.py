"""What servers report of themselves when they are probed: capacity, and the load that all balancers ask of it.

Knows figures, not decisions: it chooses no server and refuses nothing. Loads are work a second. `x0` is the load
asked of a server over what it can do now, `inflight` the connections that it holds, both of all balancers together,
some hundred milliseconds old and a few parts in a hundred off (`docs/deployments.md`).
"""

from __future__ import annotations

from dataclasses import dataclass

from aspensaddle.core.events import LoadReport
from aspensaddle.core.settings import Settings

LOAD, HELD = "x0", "inflight"
SMOOTH = 4  # reports that a capacity is the mean of, lest the error of one decide
ENOUGH, LEAST = 5.0, 0.02  # connections and load below which a report tells no capacity
PAID = 0.005  # of the result: what all probes together may cost
OLDEST = 5.0  # seconds after which a report says nothing of the load now


@dataclass(slots=True)
class Told:
    """One server by its reports. Capacity, load and `mine` are work a second; capacity 0: not told yet."""

    room: float = 0.0  # connections that it can bear
    capacity: float = 0.0
    load: float = 0.0  # that all balancers asked when it was told
    mine: float = 0.0  # this balancer's part of it
    held: float = 0.0  # connections
    asked_at: float = float("-inf")

    def due(self, now: float, every: float) -> bool:
        """Whether it is time for a probe, which then counts as sent."""
        if now < self.asked_at + every:
            return False
        self.asked_at = now
        return True

    def take(self, report: LoadReport | None, mine: float, each: float, usual: float) -> bool:
        """A report came; False where it tells nothing that can be used. `mine` is the load of this balancer there,
        `each` what a connection asks in the mean, `usual` the capacity of a server that nothing is known of."""
        x0, held = (report.get(LOAD, -1.0), report.get(HELD, -1.0)) if report else (-1.0, -1.0)
        if not (0 <= x0 < 1e3 and 0 <= held < 1e9):  # NaN too
            return False
        if held >= ENOUGH and x0 >= LEAST:
            self.room += (held / x0 - self.room) / (SMOOTH if self.room else 1)
        self.capacity = self.room * each  # anew each time: what a connection asks is learned meanwhile
        self.load, self.mine, self.held = x0 * (self.capacity or usual), mine, held
        return True

    def now(self, mine: float, balancers: int) -> float:
        """The load asked now, if the others have added and taken away as much as this balancer since."""
        return max(0.0, self.load + balancers * (mine - self.mine))


def told(settings: Settings) -> bool:
    """Whether probes tell what all balancers together ask of a server."""
    return settings.limits.health_checks_allowed and {LOAD, HELD} <= set(settings.load_report_fields)


def probe_every(settings: Settings, servers: int, requests: float) -> float:
    """Seconds between two probes of a server, where `requests` a second come to each balancer. A probe a request
    costs the settings' price: `PAID` pays for PAID / price of them, whatever the number of balancers."""
    return settings.health_check_price * servers / (PAID * requests) if requests > 0 else OLDEST
