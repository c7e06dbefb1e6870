"""Random deployments and event sequences, and the rules that must hold for every one of them."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import REQUEST_CLASS, SETTINGS, BalancerHarness, make_endpoint
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

IDEMPOTENT, DEDUPLICATED, NOT_IDEMPOTENT = 0, 1, 2  # class indexes in the order of `Idempotency`

event_sequences = st.lists(
    st.tuples(
        st.sampled_from(["request", "establish", "end", "server state", "time", "tick", "complete list"]),
        st.integers(0, 2**16),
    ),
    max_size=60,
)


def play_events(events, scope: DeduplicationScope, seed: int, zones: int = 2):
    """Send random events to a balancer, check the rules after each, and return the actions.

    Each event is a kind and a number that selects its details.
    """
    classes = tuple(
        replace(REQUEST_CLASS, idempotency=value, deduplication_scope=scope, deduplication_window=1.5)
        for value in Idempotency
    )
    limits = Limits(max_attempts=4)
    settings = Settings(classes, zone_count=zones, balancer_count=3, rules=SETTINGS.rules, limits=limits)
    servers = [make_endpoint(n, zone=n % zones, cell=n) for n in range(1, 7)]
    harness = BalancerHarness(servers, settings=settings, seed=seed)
    server_states = {endpoint.server: endpoint.state for endpoint in servers}
    attempts_in_progress: dict[str, StartAttempt] = {}  # by request id, established connections included
    possibly_executed: dict[str, tuple[int, float]] = {}  # server and start of the first such attempt
    requests: dict[str, tuple[int, float]] = {}  # class index and deadline
    attempt_started_at: dict[str, float] = {}
    attempt_counts: dict[str, int] = {}
    ended: set[str] = set()  # requests that were rejected, failed or finished
    established: set[str] = set()
    actions_so_far = []

    def check_actions(actions):
        for action in actions:
            actions_so_far.append(action)
            if isinstance(action, StartAttempt):
                class_index, deadline = requests[action.request_id]
                assert action.request_id not in ended and action.request_id not in attempts_in_progress, (
                    "one attempt at a time"
                )
                assert server_states[action.server] is ServerState.READY
                assert 0 < action.timeout <= deadline - harness.now + 1e-9
                attempt_counts[action.request_id] = attempt_counts.get(action.request_id, 0) + 1
                assert attempt_counts[action.request_id] <= 4
                if action.request_id in possibly_executed:
                    previous_server, started_at = possibly_executed[action.request_id]
                    assert class_index != NOT_IDEMPOTENT
                    if class_index == DEDUPLICATED:
                        assert harness.now - started_at < 1.5
                        same_zone = (
                            scope is DeduplicationScope.ZONE and previous_server % zones == action.server % zones
                        )
                        assert scope is DeduplicationScope.ALL or same_zone or previous_server == action.server
                attempts_in_progress[action.request_id], attempt_started_at[action.request_id] = action, harness.now
            elif isinstance(action, (Reject, Fail)):
                assert action.request_id not in ended and action.request_id not in attempts_in_progress
                if isinstance(action, Reject) and action.request_id in possibly_executed:
                    assert (
                        requests[action.request_id][0] == IDEMPOTENT
                        or requests[action.request_id][0] == DEDUPLICATED
                        and scope is DeduplicationScope.ALL
                    )
                ended.add(action.request_id)

    def end(request_id: str, outcome: Outcome) -> None:
        attempt = attempts_in_progress.pop(request_id)
        finished = outcome is Outcome.OK or request_id in established
        if not outcome.known_not_executed:
            possibly_executed.setdefault(request_id, (attempt.server, attempt_started_at[request_id]))
        if finished:
            ended.add(request_id)
        check_actions(
            harness.balancer.handle(
                harness.now,
                AttemptEnded(request_id, attempt_counts[request_id] - 1, attempt.server, outcome, 0.01, finished),
            )
        )

    for kind, n in events:
        picked = list(attempts_in_progress)[n % len(attempts_in_progress)] if attempts_in_progress else None
        if kind == "request":
            requests[f"r{harness.request_count + 1}"] = (n % 3, harness.now + 2.0)
            check_actions(harness.submit_request(class_index=n % 3, time_left=2.0, session_group=n % 5 or None))
        elif kind == "establish" and picked and picked not in established:
            established.add(picked)
            attempt = attempts_in_progress[picked]
            check_actions(
                harness.balancer.handle(
                    harness.now, ConnectionEstablished(picked, attempt_counts[picked] - 1, attempt.server, 0.01)
                )
            )
        elif kind == "end" and picked:
            end(picked, list(Outcome)[n % 8])
        elif kind == "server state":
            server = 1 + n % 6
            server_states[server] = list(ServerState)[n % 3]
            check_actions(
                harness.update_endpoints(
                    make_endpoint(server, zone=server % zones, cell=server, state=server_states[server])
                )
            )
        elif kind == "complete list":
            listed = [endpoint for endpoint in servers if n >> endpoint.server & 1]
            server_states = {
                endpoint.server: ServerState.READY if endpoint in listed else ServerState.GONE for endpoint in servers
            }
            check_actions(
                harness.balancer.handle(harness.now, EndpointsChanged(EndpointUpdateScope.COMPLETE, tuple(listed)))
            )
        elif kind == "time":
            harness.now += n % 1000 / 1000
            for request_id in [
                i for i in attempts_in_progress if i not in established and requests[i][1] <= harness.now
            ]:
                end(request_id, Outcome.TIMED_OUT)
        elif kind == "tick":
            check_actions(harness.balancer.handle(harness.now, TimerFired("tick")))
    for request_id in list(attempts_in_progress):
        if request_id not in established:
            harness.now = max(harness.now, requests[request_id][1])
            end(request_id, Outcome.TIMED_OUT)
    assert set(requests) == ended | established, "each request has ended or has an established connection"
    for record in harness.balancer.servers.values():
        assert record.load == pytest.approx(
            sum(1 for i in attempts_in_progress if attempts_in_progress[i].server == record.id), abs=1e-6
        )
    return actions_so_far


deployments = st.builds(
    lambda zones, type_count, classes, tenants, group_cost, health_checks, polls, balancers, sized: Settings(
        classes=tuple(replace(SETTINGS.classes[0], priority_weight=1.0 + n) for n in range(classes)),
        zone_count=zones,
        balancer_count=balancers,
        polls_discovery=polls,
        session_groups=group_cost > 0,
        session_group_cost=group_cost,
        machine_types=tuple(f"k{n}" for n in range(type_count)),
        core_speeds=tuple(1 + n / 4 for n in range(type_count)),
        tenant_connection_quotas=tuple(40.0 * (n % 5) for n in range(tenants)),
        rules=SETTINGS.rules,
        weights_are_sizes=sized,
        load_report_fields=("inflight", "x0") if health_checks else (),
        limits=Limits(health_checks_allowed=health_checks),
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
