"""Draws the deployment and the schedule of disruptions of one seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

MAX_DEADLINE_SECONDS = 3.0  # PROTOCOL: a longer deadline counts as this for the time of SIGKILL
KILL_MARGIN_SECONDS = 0.7
ADOPTION_BURST = 150  # clients that reconnect together; more than usually wait to send their request line
MAX_BURST_BALANCERS = 3  # limit for ADOPTION_BURST, because each connection needs a harness thread
SPARE_SOCKETS = 384  # documented minimum beyond the sockets of established connections
FINAL_QUIET_SECONDS = 5.0  # no step begins in this time, so that earlier steps can finish


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class of the settings. Times are in seconds."""

    name: str
    deadline: float
    idempotency: str  # value of the setting "repeat": pure, token or side_effect
    deduplication_window: float

    def allows_repeat(self, elapsed: float) -> bool:
        """Return whether a request may be executed again `elapsed` seconds after its first attempt was sent."""
        return self.idempotency == "pure" or (self.idempotency == "token" and elapsed < self.deduplication_window)


@dataclass(frozen=True, slots=True)
class Deployment:
    """The deployment of a run. Times are in seconds."""

    balancers: int
    servers: int
    clients: int
    classes: tuple[RequestClass, ...]
    zones: int
    drain_grace: float
    slow_start_duration: float
    sockets: int
    idle_clients: int  # clients that connect and send nothing
    adopted_connections: int  # number of connections to adopt at each start of a balancer process
    connect_timeout: float

    @property
    def kill_after(self) -> float:
        """Return the shortest time between SIGTERM and SIGKILL."""
        longest = max(request_class.deadline for request_class in self.classes)
        return min(MAX_DEADLINE_SECONDS, longest) + KILL_MARGIN_SECONDS

    def request_class(self, name: str) -> RequestClass:
        """Return the request class with a name."""
        return next(request_class for request_class in self.classes if request_class.name == name)

    def settings(self, base: dict[str, Any]) -> dict[str, Any]:
        """Return the settings of this deployment; others are taken from `base`."""
        class_settings = [
            {
                "name": request_class.name,
                "aim": 0.3,
                "deadline": request_class.deadline,
                "repeat": request_class.idempotency,
                "window": request_class.deduplication_window,
                "group": "all",
                "worth": 1.0,
            }
            for request_class in self.classes
        ]
        guarantees = {**base["guarantees"], "drain-grace": self.drain_grace, "warm-after": self.slow_start_duration}
        zones = base["failure-domains"][: self.zones]
        return {
            **base,
            "lanes": class_settings,
            "guarantees": guarantees,
            "failure-domains": zones,
            "fleet-size": self.balancers,
            "limits": {**base["limits"], "connect-timeout": self.connect_timeout},
        }


@dataclass(frozen=True, slots=True)
class Step:
    """A disruption that begins at a time; `target` is the number of a balancer or server, `seconds` the duration."""

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
    "terminate_during_start",
)
SERVER_ACTIONS = (
    "hang",
    "reject_requests",
    "reset",
    "error",
    "split_response",
    "drain",
    "drain_and_migrate",
    "leave",
    "delayed_accepts_and_drain",
)
DISCOVERY_ACTIONS = ("down", "hang_calls", "reject", "silent", "truncated_list", "lower_revision")


@dataclass(frozen=True, slots=True)
class Schedule:
    """One run: its seed, deployment, length in seconds and steps."""

    seed: int
    deployment: Deployment
    seconds: float
    steps: tuple[Step, ...]

    def lines(self) -> list[str]:
        """Return the schedule as text: the deployment, and one line for each step."""
        steps = [f"  {step.at:6.2f} s {step.action} {step.target} {step.seconds:.2f}" for step in self.steps]
        return [f"seed {self.seed}: {self.seconds:.0f} s, {self.deployment}", *steps]


def draw_schedule(seed: int) -> Schedule:
    """Return the schedule of a seed, 20 to 40 s long."""
    rng = Random(f"soak {seed}")
    deployment = _draw_deployment(rng)
    seconds = rng.uniform(20.0, 40.0)
    latest_start = seconds - FINAL_QUIET_SECONDS - deployment.kill_after
    steps = [_balancer_step(rng, deployment, latest_start) for _ in range(rng.randint(2, 4))]
    steps += [_server_step(rng, deployment, latest_start) for _ in range(rng.randint(3, 7))]
    steps += [_discovery_step(rng, latest_start) for _ in range(rng.randint(1, 3))]
    return Schedule(seed, deployment, seconds, tuple(sorted(steps, key=lambda step: step.at)))


def _draw_deployment(rng: Random) -> Deployment:
    deadlines = rng.choice([(0.9, 1.8), (1.8, 3.0), (3.0, 3.0), (3.0, 12.0)])
    idempotencies = rng.sample(["pure", "token", "side_effect"], 2)
    classes = tuple(
        RequestClass(f"class-{number}", deadline, idempotency, rng.choice([0.5, 1.5, 5.0]))
        for number, (deadline, idempotency) in enumerate(zip(deadlines, idempotencies, strict=True))
    )
    balancers = rng.randint(2, 6)
    has_idle_clients = rng.random() < 0.3
    adopted_connections = rng.choice(
        [0, 5, 15] if has_idle_clients or balancers > MAX_BURST_BALANCERS else [5, ADOPTION_BURST]
    )
    return Deployment(
        balancers=balancers,
        servers=rng.randint(3, 12),
        clients=20 * balancers,
        classes=classes,
        zones=rng.randint(1, 2),
        drain_grace=rng.choice([1.0, 2.0]),
        slow_start_duration=rng.choice([0.0, 5.0]),
        sockets=(
            rng.choice([128, 192])
            if has_idle_clients
            else SPARE_SOCKETS + 2 * max(adopted_connections, 10 * balancers)
        ),
        idle_clients=250 if has_idle_clients else 0,
        adopted_connections=adopted_connections,
        connect_timeout=rng.choice([0.25, 4.0]),
    )


def _balancer_step(rng: Random, deployment: Deployment, latest_start: float) -> Step:
    return Step(rng.uniform(3.0, latest_start), rng.choice(BALANCER_ACTIONS), rng.randrange(deployment.balancers))


def _server_step(rng: Random, deployment: Deployment, latest_start: float) -> Step:
    action = rng.choice(SERVER_ACTIONS)
    begins_at = 0.0 if rng.random() < 0.25 else rng.uniform(2.0, latest_start)
    return Step(begins_at, action, rng.randrange(deployment.servers), rng.uniform(1.0, 6.0))


def _discovery_step(rng: Random, latest_start: float) -> Step:
    return Step(rng.uniform(1.0, latest_start), rng.choice(DISCOVERY_ACTIONS), 0, rng.uniform(1.0, 6.0))
