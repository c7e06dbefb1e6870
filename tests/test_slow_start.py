"""Slow start: what all balancers together send to servers that are warming up."""

from __future__ import annotations

from dataclasses import replace
from math import sqrt
from random import Random

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint
from load_report_harness import HEALTH_CHECK_SETTINGS, report_load
from lock_step import (
    BALANCER_COUNTS,
    JOINING_SECONDS,
    JOINING_STARTS,
    LOAD,
    NOW,
    RULES,
    SERVER_COUNT,
    DiscoveryHarness,
    Fleet,
    budget_violations,
    endpoint_entry,
    harnesses_in_lock_step,
    place_on_each,
    request_budget,
    requests_over_budget,
    simulate_discovery,
    simulate_fleet,
    simulate_groups_with_one_home,
    simulate_joining_servers,
    warm_up_load_rate,
)

from aspensaddle.core.actions import Reject, RejectReason, StartAttempt
from aspensaddle.core.events import ConnectionLoadReported, Outcome

FAST = replace(RULES, slow_start_duration=8.0, initial_capacity_fraction=0.3)


def test_many_balancers_fill_a_warming_server_within_its_limit():
    """Each of 40 balancers carries too little load to estimate the capacity of a server by it."""
    rules, now, cores = SETTINGS.rules, 1000.0, 2.0
    servers = [make_endpoint(n, weight=cores, started_at=now if n == 1 else 0.0) for n in range(1, SERVER_COUNT + 1)]
    harnesses, sent = harnesses_in_lock_step(servers), 0.0
    for second in range(int(rules.slow_start_duration)):
        sent += LOAD * len(list(place_on_each(harnesses[:8], 1)))  # a few of them at a time, as clients connect
        harnesses = harnesses[8:] + harnesses[:8]
        for harness in harnesses:
            harness.tick()
        capacity = cores * (
            rules.initial_capacity_fraction
            + (1 - rules.initial_capacity_fraction) * (second + 1) / rules.slow_start_duration
        )
        assert sent <= rules.overload_multiple * capacity
    load_of_others = sum(
        request.load or 0.0
        for harness in harnesses
        for server in harness.balancer.servers.values()
        if server.id != 1
        for request in server.connections.values()
    )
    assert sent >= load_of_others / (SERVER_COUNT - 1) / 3


@pytest.mark.parametrize("slow_start_duration", [8.0, 60.0])
@pytest.mark.parametrize("groups", [0, 1, 38])
@pytest.mark.parametrize("count", [3, 40, 230])
def test_all_balancers_together_stay_within_the_limit_of_warming_servers(count, groups, slow_start_duration):
    """Holds at a high request rate, with few session groups, and with most requests at some balancers too."""
    rules = replace(SETTINGS.rules, slow_start_duration=slow_start_duration)
    settings = replace(SETTINGS, balancer_count=count, session_groups=groups > 0, rules=rules)
    sent = simulate_joining_servers(count, settings, groups=groups, connection_rate=3.0)
    window, random_spread = 2 * rules.overload_window, 6 * LOAD  # two windows, to count more than a few connections
    for ages in sent.values():
        for window_start in ages:
            load = LOAD * sum(window_start <= age < window_start + window for age in ages)
            assert load - random_spread <= rules.overload_multiple * window * warm_up_load_rate(
                settings, window_start + window
            )


@pytest.mark.parametrize(("count", "groups"), [(3, 38), (40, 38), (230, 38), (230, 1)])
def test_warming_servers_take_a_part_of_the_requests_before_they_are_half_warm(count, groups):
    """Guards against a limit that each of many balancers applies alone: it would admit one connection in minutes."""
    settings = replace(SETTINGS, balancer_count=count, session_groups=True)
    sent = simulate_joining_servers(count, settings, groups=groups, connection_rate=0.8)
    even_load = 0.8 * LOAD * sum(JOINING_SECONDS - start for start in JOINING_STARTS)
    assert sum(LOAD * len(ages) for ages in sent.values()) >= even_load / 12


@pytest.mark.parametrize(
    "fleet",
    [
        Fleet(3, connection_rate=8.0, restart_at=1.0),
        Fleet(3, connection_rate=6.0, groups=8),
        Fleet(20, connection_rate=40.0, restart_at=1.0, seconds=3.0),
        Fleet(20, connection_rate=4.0, groups=8),
        Fleet(20, connection_rate=4.0, active_fraction=0.3),
        Fleet(20, servers=6, warming_servers=1, connection_rate=12.0, restart_at=0.3),
        Fleet(20, connection_rate=6.0, rules=FAST, groups=8),
        Fleet(30, connection_rate=8.0, groups=1, seconds=4.0),
        Fleet(30, connection_rate=6.0, groups=8, restart_at=1.0, seconds=4.0),
        Fleet(30, servers=3, warming_servers=3, connection_rate=6.0),
        Fleet(30, servers=5, warming_servers=2, groups=2, connection_rate=10.0),
        Fleet(200, connection_rate=4.0, restart_at=1.0, seconds=3.0),
        Fleet(200, connection_rate=4.0, groups=8, seconds=3.0),
    ],
    ids=str,
)
def test_no_warming_server_exceeds_its_budget_by_more_than_the_random_spread(fleet):
    """Holds with one session group, which has one preferred server, and with just restarted balancers too."""
    assert budget_violations(fleet, range(2)) == []


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("groups", [1, 8])
@pytest.mark.parametrize("balancers", [32, 230])
def test_groups_that_prefer_the_same_warming_server_stay_within_its_budget(balancers, groups, seed):
    """Guards against a limit that each session group applies alone, so that eight send eight times as much."""
    sent = simulate_groups_with_one_home(balancers, groups, seed)
    assert sent
    assert requests_over_budget(RULES, sent) == []


@pytest.mark.parametrize(
    "fleet",
    [
        Fleet(3, connection_rate=4.0),
        Fleet(20, connection_rate=4.0),
        Fleet(30, connection_rate=4.0, groups=8),
        Fleet(200, connection_rate=4.0),
    ],
    ids=str,
)
def test_warming_servers_get_at_least_a_tenth_of_their_budget(fleet):
    """Guards against a limit so strict that servers stay empty while they warm up."""
    sent = simulate_fleet(fleet, 0)
    allowed = sum(
        request_budget(fleet.rules, age / 10) / fleet.rules.overload_window / 10
        for age in range(int(10 * fleet.seconds))
    )
    assert sum(map(len, sent.values())) >= 0.1 * allowed * fleet.warming_servers


def test_reject_reason_is_the_slow_start_limit_only_if_it_is_the_cause():
    harness = BalancerHarness(
        [make_endpoint(1, started_at=1000.0)], replace(SETTINGS, balancer_count=200, rules=RULES)
    )
    assert {
        action.reason for action in (harness.submit_request()[0] for _ in range(50)) if isinstance(action, Reject)
    } == {RejectReason.SLOW_START_LIMIT}
    harness.update_endpoints(make_endpoint(2))
    attempts = [harness.submit_request()[0] for _ in range(20)]
    assert {attempt.server for attempt in attempts} == {2}  # the limit kept some of them from server 1
    harness.withdraw_server(1)
    harness.withdraw_server(2)
    assert {harness.end(attempt, Outcome.REJECTED)[0].reason for attempt in attempts} == {
        RejectReason.NO_AVAILABLE_SERVER
    }


def test_budgets_of_warming_servers_are_exceeded_without_the_slow_start_limit(monkeypatch):
    monkeypatch.setattr("aspensaddle.core.slow_start.SlowStart.exceeds_limit", lambda *args: False)
    assert len(budget_violations(Fleet(20, connection_rate=4.0), range(1))) >= 6


def test_many_balancers_send_a_new_server_no_more_than_its_limit():
    """A new server is empty, so without slow start all balancers would choose it next."""
    balancers, placed_before = 40, 20
    settings = replace(SETTINGS, balancer_count=balancers)
    sent_to_new = 0
    for seed in range(balancers):
        harness = BalancerHarness(10, settings=settings, seed=seed)
        for _ in range(placed_before):
            harness.place()
        harness.tick()
        harness.update_endpoints(make_endpoint(11, started_at=harness.now))
        sent_to_new += sum(harness.place().server == 11 for _ in range(10))
    # A warm server carries 2 connections of each balancer, 80 in all, so 4 per second fill it during the 20 s of its
    # slow start. At the start of it the server has a fifth of its capacity.
    assert sent_to_new <= 0.2 * 4 * SETTINGS.rules.overload_multiple * SETTINGS.rules.overload_window


def test_new_server_gets_a_part_of_the_connections_while_it_warms_up():
    harness = BalancerHarness(4)
    for _ in range(10):  # 4 per second; 40 in the first one would be measured as a rate of 40
        for _ in range(4):
            harness.place()
        harness.tick()
    harness.update_endpoints(make_endpoint(5, started_at=harness.now))
    placed_on_new = 0
    for _ in range(20):
        harness.tick()
        placed_on_new += harness.place().server == 5
    assert 3 <= placed_on_new <= 10


def test_burst_is_rejected_if_only_warming_servers_are_listed():
    harness = BalancerHarness([make_endpoint(1, started_at=1000.0)], settings=replace(SETTINGS, balancer_count=10))
    assert sum(isinstance(harness.submit_request()[0], StartAttempt) for _ in range(20)) <= 1


def test_without_listed_sizes_warming_servers_are_filled_by_the_reported_capacity():
    """A listed weight of 1 is no number of cores, so the capacity has to come from load reports."""
    sent = {}
    for has_listed_sizes in (False, True):
        rules = replace(SETTINGS.rules, slow_start_duration=8.0)
        harness = BalancerHarness(
            [make_endpoint(1), make_endpoint(2), make_endpoint(9, started_at=1000.0)],
            replace(HEALTH_CHECK_SETTINGS, weights_are_sizes=has_listed_sizes, rules=rules),
        )
        if not has_listed_sizes:
            for _ in range(40):
                harness.place(load_hint=0.05)
            for n in (1, 2):
                report_load(harness, n, 0.3, 60)
        sent[has_listed_sizes] = sum(
            harness.place(load_hint=0.05).server == 9 for _ in range(200) if harness.tick() is not None
        )
    assert sent[False] > sent[True] / 2


@pytest.mark.parametrize("count", BALANCER_COUNTS)
@pytest.mark.parametrize("start", [0.0, -5.0, 1.0, NOW - 1e8])
def test_servers_with_an_old_or_missing_start_time_are_warm(start, count):
    for seed, group in enumerate((None, None, 1, 2)):  # holds from the first request of a balancer on
        harness = DiscoveryHarness([endpoint_entry(n, start) for n in range(5)], count, seed, session_groups=True)
        assert [type(harness.finish_request(session_group=group)) for _ in range(20)] == [StartAttempt] * 20


@pytest.mark.parametrize("start", [0.0, 60.0, 1e6])
@pytest.mark.parametrize("count", [1, 3, 40])
def test_servers_started_now_or_in_the_future_warm_up_within_the_limit(start, count):
    """A start time in the future counts as the present. Requests over the limit are rejected."""
    entries = [endpoint_entry(n, NOW + start) for n in range(12)]
    rejected, sent, over_budget = simulate_discovery(
        [DiscoveryHarness(entries, count, n) for n in range(count)], {entry["uid"]: NOW for entry in entries}, 60
    )
    assert rejected > 0 and sent >= 12 and not over_budget


def test_clock_skew_shifts_the_start_of_slow_start():
    """Clock skew is not corrected (PROTOCOL): a balancer whose clock is behind sends less, one ahead sends more."""
    for skew, rejects in ((-60.0, True), (60.0, False)):
        harness = DiscoveryHarness([endpoint_entry(n, NOW) for n in range(3)], 40, now=NOW + skew)
        assert any(isinstance(harness.finish_request(), Reject) for _ in range(40)) is rejects
    entries = [endpoint_entry(0, NOW), *(endpoint_entry(n) for n in range(1, 9))]
    rejected, sent, over_budget = simulate_discovery(
        [DiscoveryHarness(entries, 20, n, NOW - 60 * (n % 2)) for n in range(20)], {"s-0": NOW}, 80
    )
    assert not rejected and sent > 0 and not over_budget


@pytest.mark.parametrize(("warm_servers", "count"), [(3, 1), (3, 40), (0, 1), (0, 40)])
def test_server_that_restarts_every_second_stays_within_the_limit(warm_servers, count):
    entries = [endpoint_entry(n) for n in range(1 + warm_servers)]
    rejected, sent, over_budget = simulate_discovery(
        [DiscoveryHarness(entries, count, n) for n in range(count)], {"s-0": NOW}, 40, restarts=True
    )
    assert not over_budget and (rejected == 0 if warm_servers else sent > 0)


@pytest.mark.parametrize("count", [1, 3, 40, 230])
def test_fleet_that_is_all_warming_up_without_reported_loads_gets_requests_within_the_limit(count):
    """Guards against a limit that admits no first request, so that no load would ever be reported."""
    rng, entries = Random(1), [endpoint_entry(n, NOW) for n in range(12)]
    harnesses, sent = [DiscoveryHarness(entries, count, n) for n in range(count)], []
    for step in range(80):
        for harness in harnesses:
            harness.now = NOW + step / 10
            if not step % 10:
                harness.tick(0.0)
        for harness in rng.choices(harnesses, k=6):
            (action,) = harness.submit_request()
            if isinstance(action, StartAttempt):
                harness.establish(action)
                harness.balancer.handle(harness.now, ConnectionLoadReported(action.request_id, action.server, LOAD))
                sent.append((harness.now, action.server))
    assert sent
    for window_start, server in sent:
        budget = request_budget(RULES, window_start - NOW)
        assert (
            sum(
                sent_to == server and window_start <= sent_at < window_start + RULES.overload_window
                for sent_at, sent_to in sent
            )
            <= budget + 2 * sqrt(budget) + 2
        )
