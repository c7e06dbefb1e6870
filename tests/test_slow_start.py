"""Slow start: what all balancers together send to servers that warm up."""

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
    harnesses_in_lock_step,
    listed_target,
    place_on_each,
    play_discovery,
    play_fleet,
    play_joining_servers,
    request_budget,
    warm_up_load_rate,
)

from aspensaddle.core.actions import Reject, RejectReason, StartAttempt
from aspensaddle.core.events import ConnectionLoadReported, Outcome

FAST = replace(RULES, slow_start_duration=8.0, initial_capacity_fraction=0.3)


def test_warming_server_is_filled_by_many_balancers_within_its_limit():
    """Each of forty balancers carries little, so that its own load says little of the capacity of a server."""
    rules, now, cores = SETTINGS.rules, 1000.0, 2.0
    servers = [make_endpoint(n, weight=cores, started_at=now if n == 1 else 0.0) for n in range(1, SERVER_COUNT + 1)]
    harnesses, sent = harnesses_in_lock_step(servers), 0.0
    for second in range(int(rules.slow_start_duration)):
        sent += LOAD * len(list(place_on_each(harnesses[:8], 1)))  # a few of them at a time, as clients come
        harnesses = harnesses[8:] + harnesses[:8]
        for harness in harnesses:
            harness.tick()
        can = cores * (
            rules.initial_capacity_fraction
            + (1 - rules.initial_capacity_fraction) * (second + 1) / rules.slow_start_duration
        )
        assert sent <= rules.overload_multiple * can
    others = sum(
        r.load or 0.0
        for harness in harnesses
        for s in harness.balancer.servers.values()
        if s.id != 1
        for r in s.connections.values()
    )
    assert sent >= others / (SERVER_COUNT - 1) / 3


@pytest.mark.parametrize("slow_start_duration", [8.0, 60.0])
@pytest.mark.parametrize("groups", [0, 1, 38])
@pytest.mark.parametrize("count", [3, 40, 230])
def test_all_balancers_together_stay_within_the_limit_of_warming_servers(count, groups, slow_start_duration):
    """Also at a high request rate, with few groups, and with most requests at some balancers."""
    rules = replace(SETTINGS.rules, slow_start_duration=slow_start_duration)
    settings = replace(SETTINGS, balancer_count=count, session_groups=groups > 0, rules=rules)
    sent = play_joining_servers(count, settings, groups=groups, asked=3.0)
    window, chance = 2 * rules.overload_window, 6 * LOAD  # two windows, so that more than a few connections count
    for some in sent.values():
        for first in some:
            load = LOAD * sum(first <= age < first + window for age in some)
            assert load - chance <= rules.overload_multiple * window * warm_up_load_rate(settings, first + window)


@pytest.mark.parametrize(("count", "groups"), [(3, 38), (40, 38), (230, 38), (230, 1)])
def test_warming_servers_take_a_part_of_the_requests_before_they_are_half_warm(count, groups):
    """A limit kept by each balancer for itself would admit one connection in minutes where they are many."""
    settings = replace(SETTINGS, balancer_count=count, session_groups=True)
    sent = play_joining_servers(count, settings, groups=groups, asked=0.8)
    even = 0.8 * LOAD * sum(JOINING_SECONDS - start for start in JOINING_STARTS)
    assert sum(LOAD * len(some) for some in sent.values()) >= even / 12


@pytest.mark.parametrize(
    "fleet",
    [
        Fleet(3, asked=8.0, restarts=1.0),
        Fleet(3, asked=6.0, groups=8),
        Fleet(20, asked=40.0, restarts=1.0, seconds=3.0),
        Fleet(20, asked=4.0, groups=8),
        Fleet(20, asked=4.0, live=0.3),
        Fleet(20, servers=6, cold=1, asked=12.0, restarts=0.3),
        Fleet(20, asked=6.0, rules=FAST, groups=8),
        Fleet(30, asked=8.0, groups=1, seconds=4.0),
        Fleet(30, asked=6.0, groups=8, restarts=1.0, seconds=4.0),
        Fleet(30, servers=3, cold=3, asked=6.0),
        Fleet(30, servers=5, cold=2, groups=2, asked=10.0),
        Fleet(200, asked=4.0, restarts=1.0, seconds=3.0),
        Fleet(200, asked=4.0, groups=8, seconds=3.0),
    ],
    ids=str,
)
def test_no_warming_server_gets_more_from_all_balancers_than_chance_explains(fleet):
    """Also with one session group, which has one preferred server, and with processes that have just restarted."""
    assert budget_violations(fleet, range(2)) == []


@pytest.mark.parametrize(
    "fleet",
    [Fleet(3, asked=4.0), Fleet(20, asked=4.0), Fleet(30, asked=4.0, groups=8), Fleet(200, asked=4.0)],
    ids=str,
)
def test_warming_servers_get_at_least_a_tenth_of_their_budget(fleet):
    """At least a tenth of the budget is used."""
    sent = play_fleet(fleet, 0)
    allowed = sum(
        request_budget(fleet.rules, age / 10) / fleet.rules.overload_window / 10
        for age in range(int(10 * fleet.seconds))
    )
    assert sum(map(len, sent.values())) >= 0.1 * allowed * fleet.cold


def test_rejection_names_the_slow_start_limit_only_where_it_is_the_cause():
    harness = BalancerHarness(
        [make_endpoint(1, started_at=1000.0)], replace(SETTINGS, balancer_count=200, rules=RULES)
    )
    assert {a.reason for a in (harness.submit_request()[0] for _ in range(50)) if isinstance(a, Reject)} == {
        RejectReason.SLOW_START_LIMIT
    }
    harness.update_endpoints(make_endpoint(2))
    sends = [harness.submit_request()[0] for _ in range(20)]
    assert {s.server for s in sends} == {2}  # some of them were kept from the other
    harness.withdraw_server(1)
    harness.withdraw_server(2)
    assert {harness.end(s, Outcome.REJECTED)[0].reason for s in sends} == {RejectReason.NO_AVAILABLE_SERVER}


def test_budgets_are_exceeded_without_the_slow_start_limit(monkeypatch):
    monkeypatch.setattr("aspensaddle.core.slow_start.SlowStart.holds_back", lambda *args: False)
    assert len(budget_violations(Fleet(20, asked=4.0), range(1))) >= 6


def test_many_balancers_send_a_new_server_no_more_than_its_limit():
    """A new server is empty, so that without slow start all balancers would choose it next."""
    balancers, placed_before = 40, 20
    settings = replace(SETTINGS, balancer_count=balancers)
    early = 0
    for seed in range(balancers):
        harness = BalancerHarness(10, settings=settings, seed=seed)
        for _ in range(placed_before):
            harness.place()
        harness.tick()
        harness.update_endpoints(make_endpoint(11, started_at=harness.now))
        early += sum(harness.place().server == 11 for _ in range(10))
    # A warm server carries 2 connections of each balancer, 80 in all: what fills it over the 20 s of its
    # warm-up is 4 a second, and it can do a fifth of that at its start.
    assert early <= 0.2 * 4 * SETTINGS.rules.overload_multiple * SETTINGS.rules.overload_window


def test_new_server_gets_its_part_while_it_warms_up():
    harness = BalancerHarness(4)
    for _ in range(10):  # 4 a second; 40 in the first one would be taken for 40 a second
        for _ in range(4):
            harness.place()
        harness.tick()
    harness.update_endpoints(make_endpoint(5, started_at=harness.now))
    got = 0
    for _ in range(20):
        harness.tick()
        got += harness.place().server == 5
    assert 3 <= got <= 10


def test_burst_is_rejected_where_only_warming_servers_are_left():
    harness = BalancerHarness([make_endpoint(1, started_at=1000.0)], settings=replace(SETTINGS, balancer_count=10))
    assert sum(isinstance(harness.submit_request()[0], StartAttempt) for _ in range(20)) <= 1


def test_without_listed_sizes_warming_servers_are_filled_by_the_reported_capacity():
    """A listed weight of 1 says nothing of cores, so that the capacity has to come from reports."""
    sent = {}
    for sized in (False, True):
        rules = replace(SETTINGS.rules, slow_start_duration=8.0)
        harness = BalancerHarness(
            [make_endpoint(1), make_endpoint(2), make_endpoint(9, started_at=1000.0)],
            replace(HEALTH_CHECK_SETTINGS, weights_are_sizes=sized, rules=rules),
        )
        if not sized:
            for _ in range(40):
                harness.place(load_hint=0.05)
            for n in (1, 2):
                report_load(harness, n, 0.3, 60)
        sent[sized] = sum(harness.place(load_hint=0.05).server == 9 for _ in range(200) if harness.tick() is not None)
    assert sent[False] > sent[True] / 2


@pytest.mark.parametrize("count", BALANCER_COUNTS)
@pytest.mark.parametrize("start", [0.0, -5.0, 1.0, NOW - 1e8])
def test_servers_with_an_old_or_missing_start_time_are_warm(start, count):
    for seed, group in enumerate((None, None, 1, 2)):  # from the first request of a process on
        harness = DiscoveryHarness([listed_target(n, start) for n in range(5)], count, seed, session_groups=True)
        assert [type(harness.ends(session_group=group)) for _ in range(20)] == [StartAttempt] * 20


@pytest.mark.parametrize("start", [0.0, 60.0, 1e6])
@pytest.mark.parametrize("count", [1, 3, 40])
def test_servers_started_now_or_in_the_future_warm_up_within_the_limit(start, count):
    """A start in the future counts as one now. Requests over the limit are rejected."""
    some = [listed_target(n, NOW + start) for n in range(12)]
    turned, sent, fell = play_discovery(
        [DiscoveryHarness(some, count, n) for n in range(count)], {t["uid"]: NOW for t in some}, 60
    )
    assert turned > 0 and sent >= 12 and not fell


def test_clock_skew_shifts_the_start_of_slow_start():
    """Skew is not corrected (PROTOCOL): a clock that is behind sends less, one that is ahead more."""
    for skew, refuses in ((-60.0, True), (60.0, False)):
        harness = DiscoveryHarness([listed_target(n, NOW) for n in range(3)], 40, now=NOW + skew)
        assert any(isinstance(harness.ends(), Reject) for _ in range(40)) is refuses
    some = [listed_target(0, NOW), *(listed_target(n) for n in range(1, 9))]
    turned, sent, fell = play_discovery(
        [DiscoveryHarness(some, 20, n, NOW - 60 * (n % 2)) for n in range(20)], {"s-0": NOW}, 80
    )
    assert not turned and sent > 0 and not fell


@pytest.mark.parametrize(("others", "count"), [(3, 1), (3, 40), (0, 1), (0, 40)])
def test_server_that_restarts_every_second_stays_within_the_limit(others, count):
    some = [listed_target(n) for n in range(1 + others)]
    turned, sent, fell = play_discovery(
        [DiscoveryHarness(some, count, n) for n in range(count)], {"s-0": NOW}, 40, restarts=True
    )
    assert not fell and (turned == 0 if others else sent > 0)


@pytest.mark.parametrize("count", [1, 3, 40, 230])
def test_fleet_that_is_all_warming_up_without_reported_loads_gets_requests_within_the_limit(count):
    """Without a first request no load would ever be reported."""
    draw, some = Random(1), [listed_target(n, NOW) for n in range(12)]
    processes, sent = [DiscoveryHarness(some, count, n) for n in range(count)], []
    for step in range(80):
        for harness in processes:
            harness.now = NOW + step / 10
            if not step % 10:
                harness.tick(0.0)
        for harness in draw.choices(processes, k=6):
            (action,) = harness.submit_request()
            if isinstance(action, StartAttempt):
                harness.establish(action)
                harness.balancer.handle(harness.now, ConnectionLoadReported(action.request_id, action.server, LOAD))
                sent.append((harness.now, action.server))
    assert sent
    for first, server in sent:
        n = request_budget(RULES, first - NOW)
        assert (
            sum(s == server and first <= at < first + RULES.overload_window for at, s in sent) <= n + 2 * sqrt(n) + 2
        )
