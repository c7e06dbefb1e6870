"""Deployments and orders of events drawn at random, and the rules that hold in any of them."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import CLASS, SETTINGS, BalancerHarness, make_endpoint
from hypothesis import strategies as st

from aspensaddle.core.actions import Fail, Reject, StartAttempt
from aspensaddle.core.events import (
    AttemptEnded,
    ConnectionEstablished,
    EndpointsChanged,
    EndpointUpdateScope,
    Outcome,
    ServerState,
    TimerFired,
)
from aspensaddle.core.settings import DeduplicationScope, Idempotency, Limits, Settings

SAFE, KEYED, UNSAFE = 0, 1, 2  # indexes of the request classes

event_orders = st.lists(
    st.tuples(st.sampled_from(["ask", "stand", "end", "state", "time", "tick", "full"]), st.integers(0, 2**16)),
    max_size=60,
)


def play_events(order, group: DeduplicationScope, seed: int, zones: int = 2):
    """Play random events against a balancer and check the rules that hold at any time."""
    classes = tuple(
        replace(CLASS, idempotency=repeat, deduplication_scope=group, deduplication_window=1.5)
        for repeat in Idempotency
    )
    limits = Limits(max_attempts=4)
    settings = Settings(classes, zone_count=zones, balancer_count=3, rules=SETTINGS.rules, limits=limits)
    servers = [make_endpoint(n, zone=n % zones, cell=n) for n in range(1, 7)]
    harness = BalancerHarness(servers, settings=settings, seed=seed)
    state = {e.server: e.state for e in servers}
    out: dict[str, StartAttempt] = {}  # attempts that are out
    ran: dict[str, tuple[int, float]] = {}
    asked: dict[str, tuple[int, float]] = {}
    sent_at: dict[str, float] = {}
    attempts: dict[str, int] = {}
    answered: set[str] = set()
    standing: set[str] = set()
    log = []

    def carry_out(actions):
        for a in actions:
            log.append(a)
            if isinstance(a, StartAttempt):
                cls, deadline = asked[a.request_id]
                assert a.request_id not in answered and a.request_id not in out, "one attempt at a time"
                assert state[a.server] is ServerState.READY
                assert 0 < a.timeout <= deadline - harness.now + 1e-9
                attempts[a.request_id] = attempts.get(a.request_id, 0) + 1
                assert attempts[a.request_id] <= 4
                if a.request_id in ran:
                    where, at = ran[a.request_id]
                    assert cls != UNSAFE
                    if cls == KEYED:
                        assert harness.now - at < 1.5
                        same_zone = group is DeduplicationScope.ZONE and where % zones == a.server % zones
                        assert group is DeduplicationScope.ALL or same_zone or where == a.server
                out[a.request_id], sent_at[a.request_id] = a, harness.now
            elif isinstance(a, (Reject, Fail)):
                assert a.request_id not in answered and a.request_id not in out
                if isinstance(a, Reject) and a.request_id in ran:
                    assert (
                        asked[a.request_id][0] == SAFE
                        or asked[a.request_id][0] == KEYED
                        and group is DeduplicationScope.ALL
                    )
                answered.add(a.request_id)

    def end(id: str, outcome: Outcome) -> None:
        send = out.pop(id)
        finished = outcome is Outcome.OK or id in standing
        if not outcome.known_not_executed:
            ran.setdefault(id, (send.server, sent_at[id]))
        if finished:
            answered.add(id)
        carry_out(
            harness.balancer.handle(
                harness.now, AttemptEnded(id, attempts[id] - 1, send.server, outcome, 0.01, finished)
            )
        )

    for what, n in order:
        pick = list(out)[n % len(out)] if out else None
        if what == "ask":
            asked[f"r{harness.request_count + 1}"] = (n % 3, harness.now + 2.0)
            carry_out(harness.submit_request(class_index=n % 3, time_left=2.0, session_group=n % 5 or None))
        elif what == "stand" and pick and pick not in standing:
            standing.add(pick)
            send = out[pick]
            carry_out(
                harness.balancer.handle(
                    harness.now, ConnectionEstablished(pick, attempts[pick] - 1, send.server, 0.01)
                )
            )
        elif what == "end" and pick:
            end(pick, list(Outcome)[n % 8])
        elif what == "state":
            server = 1 + n % 6
            state[server] = list(ServerState)[n % 3]
            carry_out(
                harness.update_endpoints(make_endpoint(server, zone=server % zones, cell=server, state=state[server]))
            )
        elif what == "full":
            named = [e for e in servers if n >> e.server & 1]
            state = {e.server: ServerState.READY if e in named else ServerState.GONE for e in servers}
            carry_out(
                harness.balancer.handle(harness.now, EndpointsChanged(EndpointUpdateScope.COMPLETE, tuple(named)))
            )
        elif what == "time":
            harness.now += n % 1000 / 1000
            for id in [i for i in out if i not in standing and asked[i][1] <= harness.now]:
                end(id, Outcome.TIMED_OUT)
        elif what == "tick":
            carry_out(harness.balancer.handle(harness.now, TimerFired("tick")))
    for id in list(out):
        if id not in standing:
            harness.now = max(harness.now, asked[id][1])
            end(id, Outcome.TIMED_OUT)
    assert set(asked) == answered | standing, "each request has its answer, or stands"
    for s in harness.balancer.servers.values():
        assert s.load == pytest.approx(sum(1 for i in out if out[i].server == s.id), abs=1e-6)
    return log


deployments = st.builds(
    lambda zones, kinds, classes, tenants, cost, probes, asked, balancers, sized: Settings(
        classes=tuple(replace(SETTINGS.classes[0], priority_weight=1.0 + n) for n in range(classes)),
        zone_count=zones,
        balancer_count=balancers,
        polls_discovery=asked,
        session_groups=cost > 0,
        session_group_cost=cost,
        machine_types=tuple(f"k{n}" for n in range(kinds)),
        core_speeds=tuple(1 + n / 4 for n in range(kinds)),
        tenant_connection_quotas=tuple(40.0 * (n % 5) for n in range(tenants)),
        rules=SETTINGS.rules,
        weights_are_sizes=sized,
        load_report_fields=("inflight", "x0") if probes else (),
        limits=Limits(health_checks_allowed=probes),
    ),
    st.integers(1, 5),
    st.integers(0, 6),
    st.integers(1, 6),
    st.integers(0, 40),
    st.sampled_from([0.0, 1.5, 3.0]),
    st.booleans(),
    st.booleans(),
    st.sampled_from([1, 3, 40]),
    st.booleans(),
)
