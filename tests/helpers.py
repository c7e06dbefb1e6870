"""A harness that drives a `Balancer` directly, without front ends, sockets or discovery."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from aspensaddle import Balancer
from aspensaddle.core.actions import Action, StartAttempt
from aspensaddle.core.events import (
    AttemptEnded,
    ConnectionEstablished,
    Endpoint,
    EndpointsChanged,
    EndpointUpdateScope,
    Outcome,
    Request,
    ServerState,
    Started,
    TimerFired,
)
from aspensaddle.core.settings import Idempotency, Limits, RequestClass, ServiceRules, Settings

REQUEST_CLASS = RequestClass(latency_objective=0.5, deadline=3.0, message_latency_objective=0.06)
SETTINGS = Settings(
    classes=(
        REQUEST_CLASS,
        replace(REQUEST_CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY),
        replace(REQUEST_CLASS, idempotency=Idempotency.NOT_IDEMPOTENT),
    ),
    rules=ServiceRules(0.016, 0.5, 0.2, 20.0, 3.0, 2.0, 10.0),
    limits=Limits(connect_timeout=0.1),
)

LARGE_FLEET = 3200  # servers, the most that the operators' pages allow
MAX_SERVERS_PER_SEARCH = 40  # a request in a large fleet examines about a hundredth of the servers at most


def record_calls(monkeypatch: Any, owner: type, method: str) -> list[tuple[Any, ...]]:
    """Record the arguments of each call of a method, without `self`, in the list that is returned."""
    calls: list[tuple[Any, ...]] = []
    original = getattr(owner, method)

    def recorded(self: Any, *arguments: Any) -> Any:
        calls.append(arguments)
        return original(self, *arguments)

    monkeypatch.setattr(owner, method, recorded)
    return calls


def make_endpoint(server: int, **fields: Any) -> Endpoint:
    return Endpoint(server, **fields)


class BalancerHarness:
    """A balancer with a clock that the test sets. Its requests are numbered from r1."""

    def __init__(self, servers: Any = 4, settings: Settings = SETTINGS, seed: int = 1, now: float = 1000.0):
        self.balancer = Balancer(settings, seed)
        self.now = now
        self.request_count = 0
        self.balancer.handle(now, Started())
        endpoints = [make_endpoint(n) for n in range(1, servers + 1)] if isinstance(servers, int) else servers
        self.update_endpoints(*endpoints, scope=EndpointUpdateScope.CACHED)

    def update_endpoints(
        self, *endpoints: Endpoint, scope: EndpointUpdateScope = EndpointUpdateScope.INCREMENTAL
    ) -> list[Action]:
        return self.balancer.handle(self.now, EndpointsChanged(scope, tuple(endpoints)))

    def withdraw_server(self, server: int, state: ServerState = ServerState.GONE) -> None:
        self.update_endpoints(make_endpoint(server, state=state))

    def submit_request(self, class_index: int = 0, time_left: float = 3.0, **fields: Any) -> list[Action]:
        self.request_count += 1
        return self.balancer.handle(self.now, Request(f"r{self.request_count}", class_index, time_left, **fields))

    def establish(self, attempt: Action, latency: float = 0.01) -> list[Action]:
        assert isinstance(attempt, StartAttempt)
        attempt_number = self.balancer.requests[attempt.request_id].attempts - 1
        return self.balancer.handle(
            self.now, ConnectionEstablished(attempt.request_id, attempt_number, attempt.server, latency)
        )

    def end(self, attempt: Action, outcome: Outcome = Outcome.OK, finished: bool = False) -> list[Action]:
        assert isinstance(attempt, StartAttempt)
        attempt_number = self.balancer.requests[attempt.request_id].attempts - 1
        return self.balancer.handle(
            self.now, AttemptEnded(attempt.request_id, attempt_number, attempt.server, outcome, 0.01, finished)
        )

    def place(self, **fields: Any) -> StartAttempt:
        """Submit a request and establish its connection with the first attempt."""
        (attempt,) = self.submit_request(**fields)
        assert isinstance(attempt, StartAttempt)
        self.establish(attempt)
        return attempt

    def rebuild_rotation(self) -> None:
        """Rebuild the weighted rotation by the current loads."""
        self.balancer.rotation.rebuild(self.now, self.balancer.accounting.compute_load)

    def tick(self, seconds: float = 1.0) -> list[Action]:
        self.now += seconds
        return self.balancer.handle(self.now, TimerFired("tick"))
