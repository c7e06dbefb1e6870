"""Hand-made events for a `Balancer`."""

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

CLASS = RequestClass(latency_objective=0.5, deadline=3.0, message_latency_objective=0.06)
SETTINGS = Settings(
    classes=(
        CLASS,
        replace(CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY),
        replace(CLASS, idempotency=Idempotency.NOT_IDEMPOTENT),
    ),
    rules=ServiceRules(0.016, 0.5, 0.2, 20.0, 3.0, 2.0, 10.0),
    limits=Limits(connect_timeout=0.1),
)


def entry(n: int, **more: Any) -> Endpoint:
    return Endpoint(n, **more)


class BalancerHarness:
    """A balancer with a clock and a count of ids."""

    def __init__(self, servers: Any = 4, settings: Settings = SETTINGS, seed: int = 1, now: float = 1000.0):
        self.balancer = Balancer(settings, seed)
        self.now = now
        self.request_count = 0
        self.balancer.handle(now, Started())
        entries = [entry(n) for n in range(1, servers + 1)] if isinstance(servers, int) else servers
        self.update_endpoints(*entries, scope=EndpointUpdateScope.CACHED)

    def update_endpoints(
        self, *entries: Endpoint, scope: EndpointUpdateScope = EndpointUpdateScope.INCREMENTAL
    ) -> list[Action]:
        return self.balancer.handle(self.now, EndpointsChanged(scope, tuple(entries)))

    def gone(self, n: int, state: ServerState = ServerState.GONE) -> None:
        self.update_endpoints(entry(n, state=state))

    def ask(self, cls: int = 0, left: float = 3.0, **more: Any) -> list[Action]:
        self.request_count += 1
        return self.balancer.handle(self.now, Request(f"r{self.request_count}", cls, left, **more))

    def establish(self, send: Action, latency: float = 0.01) -> list[Action]:
        assert isinstance(send, StartAttempt)
        n = self.balancer.requests[send.request_id].attempts - 1
        return self.balancer.handle(self.now, ConnectionEstablished(send.request_id, n, send.server, latency))

    def end(self, send: Action, outcome: Outcome = Outcome.OK, finished: bool = False) -> list[Action]:
        assert isinstance(send, StartAttempt)
        n = self.balancer.requests[send.request_id].attempts - 1
        return self.balancer.handle(self.now, AttemptEnded(send.request_id, n, send.server, outcome, 0.01, finished))

    def place(self, **more: Any) -> StartAttempt:
        (send,) = self.ask(**more)
        assert isinstance(send, StartAttempt)
        self.establish(send)
        return send

    def lay_out(self) -> None:
        self.balancer.rotation.lay_out(self.now, self.balancer.accounting.compute_load)

    def tick(self, seconds: float = 1.0) -> list[Action]:
        self.now += seconds
        return self.balancer.handle(self.now, TimerFired("tick"))
