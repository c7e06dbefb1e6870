"""What one seed draws: a deployment, and a schedule of trouble."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

MAX_DEADLINE_SECONDS = 3.0  # PROTOCOL: a longer deadline counts as this when a process is killed
KILL_MARGIN_SECONDS = 0.7
ADOPTION_BURST = 150  # connections that return together, more than wait for their first line in a quiet time
MAX_BURST_BALANCERS = 3  # that the harness has threads for
SPARE_SOCKETS = 384  # over those for the standing connections, the least of the pages
QUIET_TAIL_SECONDS = 5.0  # without new trouble, so that what was begun can end


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests as the settings describe it."""

    name: str
    deadline: float
    repeat: str  # pure, token or side_effect
    window: float

    def allows_again(self, elapsed: float) -> bool:
        """Return whether a second run is allowed so long after the first was sent, in seconds."""
        return self.repeat == "pure" or (self.repeat == "token" and elapsed < self.window)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Settings of a run. Times are seconds."""

    balancers: int
    servers: int
    clients: int
    classes: tuple[RequestClass, ...]
    zones: int
    drain_grace: float
    slow_start: float
    sockets: int
    crowd: int  # idle clients
    adopted: int  # connections to adopt at each balancer's start
    connect_timeout: float

    @property
    def kill_after(self) -> float:
        """Return the earliest SIGKILL after SIGTERM."""
        longest = max(request_class.deadline for request_class in self.classes)
        return min(MAX_DEADLINE_SECONDS, longest) + KILL_MARGIN_SECONDS

    def request_class(self, name: str) -> RequestClass:
        """Return a class by its name."""
        return next(request_class for request_class in self.classes if request_class.name == name)

    def settings(self, base: dict[str, Any]) -> dict[str, Any]:
        """Return the platform's settings, on top of those of the stand-ins."""
        lanes = [
            {
                "name": request_class.name,
                "aim": 0.3,
                "deadline": request_class.deadline,
                "repeat": request_class.repeat,
                "window": request_class.window,
                "group": "all",
                "worth": 1.0,
            }
            for request_class in self.classes
        ]
        guarantees = {**base["guarantees"], "drain-grace": self.drain_grace, "warm-after": self.slow_start}
        zones = base["failure-domains"][: self.zones]
        return {
            **base,
            "lanes": lanes,
            "guarantees": guarantees,
            "failure-domains": zones,
            "fleet-size": self.balancers,
            "limits": {**base["limits"], "connect-timeout": self.connect_timeout},
        }


@dataclass(frozen=True, slots=True)
class Step:
    """Trouble that begins at a time; `target` is the number of a balancer or server, `seconds` how long it takes."""

    at: float
    action: str
    target: int = 0
    seconds: float = 0.0


BALANCER_ACTIONS = (
    "reload_twice",
    "reload_and_restart",
    "restart",
    "restart_twice",
    "kill",
    "rolling_restart",
    "early",
)
SERVER_ACTIONS = (
    "hang",
    "refuse",
    "reset",
    "error",
    "pieces",
    "drain",
    "drain_and_send_away",
    "leave",
    "late_and_drain",
)
DISCOVERY_ACTIONS = ("down", "hang_calls", "reject", "silent", "cut", "lower_revision")


@dataclass(frozen=True, slots=True)
class Schedule:
    """One run: its seed, deployment, length in seconds and steps."""

    seed: int
    deployment: Deployment
    seconds: float
    steps: tuple[Step, ...]

    def lines(self) -> list[str]:
        """Return the schedule in words, a line a step."""
        steps = [f"  {step.at:6.2f} s {step.action} {step.target} {step.seconds:.2f}" for step in self.steps]
        return [f"seed {self.seed}: {self.seconds:.0f} s, {self.deployment}", *steps]


def draw_schedule(seed: int) -> Schedule:
    """Return the run of a seed: 20 to 40 s long."""
    draw = Random(f"soak {seed}")
    deployment = _draw_deployment(draw)
    seconds = draw.uniform(20.0, 40.0)
    last = seconds - QUIET_TAIL_SECONDS - deployment.kill_after
    steps = [_balancer_step(draw, deployment, last) for _ in range(draw.randint(2, 4))]
    steps += [_server_step(draw, deployment, last) for _ in range(draw.randint(3, 7))]
    steps += [_discovery_step(draw, last) for _ in range(draw.randint(1, 3))]
    return Schedule(seed, deployment, seconds, tuple(sorted(steps, key=lambda step: step.at)))


def _draw_deployment(draw: Random) -> Deployment:
    deadlines = draw.choice([(0.9, 1.8), (1.8, 3.0), (3.0, 3.0), (3.0, 12.0)])
    repeats = draw.sample(["pure", "token", "side_effect"], 2)
    classes = tuple(
        RequestClass(f"class-{number}", deadline, repeat, draw.choice([0.5, 1.5, 5.0]))
        for number, (deadline, repeat) in enumerate(zip(deadlines, repeats, strict=True))
    )
    balancers = draw.randint(2, 6)
    has_crowd = draw.random() < 0.3
    adopted = draw.choice([0, 5, 15] if has_crowd or balancers > MAX_BURST_BALANCERS else [5, ADOPTION_BURST])
    return Deployment(
        balancers=balancers,
        servers=draw.randint(3, 12),
        clients=20 * balancers,
        classes=classes,
        zones=draw.randint(1, 2),
        drain_grace=draw.choice([1.0, 2.0]),
        slow_start=draw.choice([0.0, 5.0]),
        sockets=draw.choice([128, 192]) if has_crowd else SPARE_SOCKETS + 2 * max(adopted, 10 * balancers),
        crowd=250 if has_crowd else 0,
        adopted=adopted,
        connect_timeout=draw.choice([0.25, 4.0]),
    )


def _balancer_step(draw: Random, deployment: Deployment, last: float) -> Step:
    return Step(draw.uniform(3.0, last), draw.choice(BALANCER_ACTIONS), draw.randrange(deployment.balancers))


def _server_step(draw: Random, deployment: Deployment, last: float) -> Step:
    action = draw.choice(SERVER_ACTIONS)
    begins_at = 0.0 if draw.random() < 0.25 else draw.uniform(2.0, last)
    return Step(begins_at, action, draw.randrange(deployment.servers), draw.uniform(1.0, 6.0))


def _discovery_step(draw: Random, last: float) -> Step:
    return Step(draw.uniform(1.0, last), draw.choice(DISCOVERY_ACTIONS), 0, draw.uniform(1.0, 6.0))
