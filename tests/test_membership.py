"""Membership: servers that join, leave or change by the endpoint list, and retries of the watch."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint
from lock_step import BALANCER_COUNTS, LOAD, MANY_BALANCERS, NOW, SERVER_COUNT, DiscoveryHarness, listed_target

from aspensaddle.core.actions import Reject, SetTimer, StartAttempt, WatchEndpoints
from aspensaddle.core.events import EndpointsChanged, EndpointUpdateScope, Outcome, ServerState, Started, TimerFired
from aspensaddle.support.json_fields import DecodeError

POLLING = replace(SETTINGS, polls_discovery=True)


def test_complete_list_removes_servers_that_it_does_not_name():
    harness = BalancerHarness(3)
    harness.update_endpoints(make_endpoint(1), make_endpoint(2), scope=EndpointUpdateScope.COMPLETE)
    assert {harness.place().server for _ in range(6)} == {1, 2}


def test_first_watch_is_spread_and_failed_watches_back_off():
    harness = BalancerHarness(2, settings=POLLING)
    tick, watch = harness.balancer.handle(harness.now, Started())
    assert watch.timer == "watch" and watch.delay < POLLING.rules.poll_interval
    assert harness.balancer.handle(harness.now, TimerFired("watch")) == [WatchEndpoints()]
    waits = []
    for _ in range(8):
        (again,) = harness.balancer.handle(harness.now, EndpointsChanged(EndpointUpdateScope.FAILED))
        assert isinstance(again, SetTimer) and again.timer == "watch"
        waits.append(again.delay)
    assert waits[-1] > waits[0] and max(waits) <= POLLING.rules.poll_interval
    assert {harness.place().server for _ in range(4)} == {1, 2}  # the list stays in force


def test_servers_that_left_the_list_are_forgotten():
    """The records do not grow with every server that was ever listed."""
    harness = BalancerHarness(3)
    sends = [harness.place() for _ in range(6)]
    harness.withdraw_server(1)
    harness.update_endpoints(make_endpoint(2), scope=EndpointUpdateScope.COMPLETE)
    assert list(harness.balancer.servers) == [2]
    for s in sends:
        harness.end(s, Outcome.CONNECTION_LOST, finished=True)
    assert {harness.place().server for _ in range(4)} == {2}
    harness.tick()


@pytest.mark.parametrize("scope", [EndpointUpdateScope.COMPLETE, EndpointUpdateScope.INCREMENTAL])
def test_server_that_leaves_the_list_and_returns_gets_no_more_than_its_part(scope):
    """Guards against a server that looks empty when it returns, since the connections that it holds were forgotten."""
    harness = BalancerHarness(8)
    sends = [harness.place() for _ in range(80)]
    servers = [make_endpoint(n) for n in range(1, 9)]
    for with_first in (False, True):
        if scope is EndpointUpdateScope.COMPLETE:
            harness.update_endpoints(*servers[not with_first :], scope=scope)
        else:
            harness.update_endpoints(make_endpoint(1, state=ServerState.READY if with_first else ServerState.GONE))
        harness.tick()
    later = [harness.place() for _ in range(24)]
    held = Counter(send.server for send in sends + later)
    assert max(held.values()) <= 15 and 2 <= sum(send.server == 1 for send in later) <= 6, held
    for send in sends + later:
        harness.end(send, finished=True)
    harness.tick()
    assert not any(server.load or server.request_count for server in harness.balancer.servers.values())
    assert harness.balancer.state.total_load == pytest.approx(0.0)


def test_connections_that_end_at_a_server_that_left_are_not_taken_off_the_others():
    """Guards against a total load that falls below what the listed servers carry."""
    harness = BalancerHarness(4)
    sends = [harness.place() for _ in range(40)]
    harness.withdraw_server(1)
    harness.tick()
    for send in sends:
        if send.server == 1:
            harness.end(send, finished=True)
    held = sum(server.load for server in harness.balancer.servers.values())
    assert harness.balancer.state.total_load == pytest.approx(held) and held == pytest.approx(30.0)


@pytest.mark.parametrize("count", [1, 2, MANY_BALANCERS, 100])
def test_every_request_is_answered_while_lists_empty_shrink_grow_and_repeat(count):
    settings = replace(SETTINGS, balancer_count=count)
    harness = BalancerHarness(SERVER_COUNT, settings)
    old = [make_endpoint(n, weight=2.0) for n in range(1, SERVER_COUNT + 1)]
    anew = [make_endpoint(n, weight=2.0, started_at=harness.now) for n in range(100, 160)]
    leaving = [make_endpoint(n, state=ServerState.GONE) for n in range(1, SERVER_COUNT + 1)]
    for scope, entries, sends in (
        (EndpointUpdateScope.COMPLETE, [], False),
        (EndpointUpdateScope.COMPLETE, old, True),
        (EndpointUpdateScope.COMPLETE, old[:1], True),
        (EndpointUpdateScope.INCREMENTAL, anew, True),
        (EndpointUpdateScope.INCREMENTAL, leaving, None),
        (EndpointUpdateScope.INCREMENTAL, leaving, None),
        (EndpointUpdateScope.COMPLETE, old, True),
        (EndpointUpdateScope.INCREMENTAL, [], True),
    ):
        harness.update_endpoints(*entries, scope=scope)
        for _ in range(3):
            (action,) = harness.submit_request(load_hint=LOAD)
            if isinstance(action, StartAttempt):
                assert action.server in harness.balancer.servers
                harness.establish(action)
            assert isinstance(action, Reject | StartAttempt) and sends in (None, isinstance(action, StartAttempt))
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
    harness, new = (
        DiscoveryHarness([listed_target(n) for n in range(3)], count, session_groups=True),
        [listed_target(n, NOW) for n in range(3, 900)],
    )
    for step in range(10):
        harness.tell(*new[step * 90 : (step + 1) * 90])
        harness.now += 0.1
        assert isinstance(harness.ends(), StartAttempt)  # old ones stand there
    assert len(harness.balancer.servers) == len(harness.fleet.addresses) == 900 and isinstance(
        harness.ends(session_group=1), StartAttempt
    )
    harness.tell(listed_target(1), full=True)
    assert {harness.fleet.uid(harness.ends().server) for _ in range(20)} == {"s-1"} and len(
        harness.fleet.addresses
    ) == 1


@pytest.mark.parametrize("first", ["active", "leaving", "left"])
@pytest.mark.parametrize("last", ["active", "leaving", "left"])
def test_last_entry_of_a_server_listed_twice_holds(first, last):
    harness = DiscoveryHarness(
        [listed_target(0), listed_target(0, state=first, endpoint="127.0.9.9:80"), listed_target(0, state=last)]
    )
    assert isinstance(harness.ends(), StartAttempt if last == "active" else Reject)
    listed = {} if last == "left" else {harness.fleet.find("s-0"): ("127.0.0.1", 80)}
    assert harness.fleet.addresses == listed and len(harness.balancer.servers) == len(listed) and None not in listed
    harness.tell(listed_target(1), full=True)
    assert list(harness.fleet.addresses) == [harness.fleet.find("s-1")]  # what a list no longer names is forgotten


@pytest.mark.parametrize("weight", [-1, 1e9, "2", True, [1]])
def test_list_with_an_invalid_weight_is_rejected_with_the_field_name(weight):
    with pytest.raises(DecodeError, match=r"^targets\[1\]\.capacity_hint must be a number"):
        DiscoveryHarness([listed_target(0), listed_target(1, capacity_hint=weight)])
