"""Membership: servers that join, leave or change by the endpoint list, and retries of a failed watch."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint
from lock_step import BALANCER_COUNTS, LOAD, MANY_BALANCERS, NOW, SERVER_COUNT, DiscoveryHarness, endpoint_entry

from aspensaddle.core.actions import Reject, SetTimer, StartAttempt, WatchEndpoints
from aspensaddle.core.events import EndpointsChanged, EndpointUpdateScope, Outcome, ServerState, Started, TimerFired
from aspensaddle.support.json_fields import DecodeError

POLLING = replace(SETTINGS, polls_discovery=True)


def test_complete_list_removes_servers_that_it_does_not_contain():
    harness = BalancerHarness(3)
    harness.update_endpoints(make_endpoint(1), make_endpoint(2), scope=EndpointUpdateScope.COMPLETE)
    assert {harness.place().server for _ in range(6)} == {1, 2}


def test_first_watch_is_spread_and_failed_watches_back_off():
    harness = BalancerHarness(2, settings=POLLING)
    tick, watch = harness.balancer.handle(harness.now, Started())
    assert watch.timer == "watch" and watch.delay < POLLING.rules.poll_interval
    assert harness.balancer.handle(harness.now, TimerFired("watch")) == [WatchEndpoints()]
    delays = []
    for _ in range(8):
        (retry,) = harness.balancer.handle(harness.now, EndpointsChanged(EndpointUpdateScope.FAILED))
        assert isinstance(retry, SetTimer) and retry.timer == "watch"
        delays.append(retry.delay)
    assert delays[-1] > delays[0] and max(delays) <= POLLING.rules.poll_interval
    assert {harness.place().server for _ in range(4)} == {1, 2}  # the last list stays in use


def test_servers_that_left_the_list_are_forgotten():
    """Guards against records that grow with every server that was ever listed."""
    harness = BalancerHarness(3)
    attempts = [harness.place() for _ in range(6)]
    harness.withdraw_server(1)
    harness.update_endpoints(make_endpoint(2), scope=EndpointUpdateScope.COMPLETE)
    assert list(harness.balancer.servers) == [2]
    for attempt in attempts:
        harness.end(attempt, Outcome.CONNECTION_LOST, finished=True)
    assert {harness.place().server for _ in range(4)} == {2}
    harness.tick()


@pytest.mark.parametrize("scope", [EndpointUpdateScope.COMPLETE, EndpointUpdateScope.INCREMENTAL])
def test_server_that_leaves_the_list_and_returns_gets_no_more_than_its_even_part(scope):
    """Guards against a server that looks empty when it returns, because its open connections were forgotten."""
    harness = BalancerHarness(8)
    attempts = [harness.place() for _ in range(80)]
    servers = [make_endpoint(n) for n in range(1, 9)]
    for first_is_listed in (False, True):
        if scope is EndpointUpdateScope.COMPLETE:
            harness.update_endpoints(*servers[not first_is_listed :], scope=scope)
        else:
            harness.update_endpoints(
                make_endpoint(1, state=ServerState.READY if first_is_listed else ServerState.GONE)
            )
        harness.tick()
    later_attempts = [harness.place() for _ in range(24)]
    connections = Counter(attempt.server for attempt in attempts + later_attempts)
    assert max(connections.values()) <= 15 and 2 <= sum(attempt.server == 1 for attempt in later_attempts) <= 6, (
        connections
    )
    for attempt in attempts + later_attempts:
        harness.end(attempt, finished=True)
    harness.tick()
    assert not any(server.load or server.request_count for server in harness.balancer.servers.values())
    assert harness.balancer.state.total_load == pytest.approx(0.0)


def test_connection_that_ends_at_a_removed_server_does_not_reduce_the_load_of_the_others():
    """Guards against a total load that falls below the sum of the loads of the listed servers."""
    harness = BalancerHarness(4)
    attempts = [harness.place() for _ in range(40)]
    harness.withdraw_server(1)
    harness.tick()
    for attempt in attempts:
        if attempt.server == 1:
            harness.end(attempt, finished=True)
    listed_load = sum(server.load for server in harness.balancer.servers.values())
    assert harness.balancer.state.total_load == pytest.approx(listed_load) and listed_load == pytest.approx(30.0)


@pytest.mark.parametrize("count", [1, 2, MANY_BALANCERS, 100])
def test_every_request_is_answered_while_lists_are_empty_shrink_grow_or_repeat(count):
    settings = replace(SETTINGS, balancer_count=count)
    harness = BalancerHarness(SERVER_COUNT, settings)
    old_endpoints = [make_endpoint(n, weight=2.0) for n in range(1, SERVER_COUNT + 1)]
    new_endpoints = [make_endpoint(n, weight=2.0, started_at=harness.now) for n in range(100, 160)]
    withdrawn_endpoints = [make_endpoint(n, state=ServerState.GONE) for n in range(1, SERVER_COUNT + 1)]
    for scope, endpoints, is_placed in (
        (EndpointUpdateScope.COMPLETE, [], False),
        (EndpointUpdateScope.COMPLETE, old_endpoints, True),
        (EndpointUpdateScope.COMPLETE, old_endpoints[:1], True),
        (EndpointUpdateScope.INCREMENTAL, new_endpoints, True),
        (EndpointUpdateScope.INCREMENTAL, withdrawn_endpoints, None),
        (EndpointUpdateScope.INCREMENTAL, withdrawn_endpoints, None),
        (EndpointUpdateScope.COMPLETE, old_endpoints, True),
        (EndpointUpdateScope.INCREMENTAL, [], True),
    ):
        harness.update_endpoints(*endpoints, scope=scope)
        for _ in range(3):
            (action,) = harness.submit_request(load_hint=LOAD)
            if isinstance(action, StartAttempt):
                assert action.server in harness.balancer.servers
                harness.establish(action)
            assert isinstance(action, Reject | StartAttempt) and is_placed in (None, isinstance(action, StartAttempt))
            harness.tick()


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_draining_or_gone_server_gets_no_attempt(state):
    harness = BalancerHarness(3)
    harness.withdraw_server(2, state)
    assert all(harness.place(session_group=g).server != 2 for g in range(30))


def test_server_that_returns_to_the_list_is_used_again():
    harness = BalancerHarness(2)
    harness.withdraw_server(2)
    harness.update_endpoints(make_endpoint(2))
    assert {harness.place().server for _ in range(6)} == {1, 2}


@pytest.mark.parametrize("count", BALANCER_COUNTS)
def test_no_request_is_rejected_while_the_list_grows_to_900_and_shrinks_to_one(count):
    harness, new_entries = (
        DiscoveryHarness([endpoint_entry(n) for n in range(3)], count, session_groups=True),
        [endpoint_entry(n, NOW) for n in range(3, 900)],
    )
    for step in range(10):
        harness.update_list(*new_entries[step * 90 : (step + 1) * 90])
        harness.now += 0.1
        assert isinstance(harness.finish_request(), StartAttempt)  # the three old servers are warm
    assert len(harness.balancer.servers) == len(harness.registry.addresses) == 900 and isinstance(
        harness.finish_request(session_group=1), StartAttempt
    )
    harness.update_list(endpoint_entry(1), full=True)
    assert {harness.registry.uid(harness.finish_request().server) for _ in range(20)} == {"s-1"} and len(
        harness.registry.addresses
    ) == 1


@pytest.mark.parametrize("first", ["active", "leaving", "left"])
@pytest.mark.parametrize("last", ["active", "leaving", "left"])
def test_last_entry_of_a_server_that_is_listed_twice_is_used(first, last):
    harness = DiscoveryHarness(
        [endpoint_entry(0), endpoint_entry(0, state=first, endpoint="127.0.9.9:80"), endpoint_entry(0, state=last)]
    )
    assert isinstance(harness.finish_request(), StartAttempt if last == "active" else Reject)
    listed = {} if last == "left" else {harness.registry.find("s-0"): ("127.0.0.1", 80)}
    assert (
        harness.registry.addresses == listed and len(harness.balancer.servers) == len(listed) and None not in listed
    )
    harness.update_list(endpoint_entry(1), full=True)
    # Servers that a complete list does not contain are forgotten.
    assert list(harness.registry.addresses) == [harness.registry.find("s-1")]


@pytest.mark.parametrize("weight", [-1, 1e9, "2", True, [1]])
def test_list_with_an_invalid_weight_is_rejected_with_the_field_name(weight):
    with pytest.raises(DecodeError, match=r"^targets\[1\]\.capacity_hint must be a number"):
        DiscoveryHarness([endpoint_entry(0), endpoint_entry(1, capacity_hint=weight)])
