"""What many balancers do that is harmless in one: forty of them in lock step, without sockets."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import pytest
from helpers import SETTINGS, Driver, entry

from aspensaddle.core.actions import Reject, StartAttempt
from aspensaddle.core.latency_outliers import SLOW_SECONDS
from aspensaddle.core.migration import REBALANCE_FRACTION
from aspensaddle.core.events import EndpointUpdateScope, Outcome, ServerLatencyReported, ServerState

MANY, SERVERS, LOAD = 40, 12, 0.05
FLEET = replace(SETTINGS, balancer_count=MANY)
AIM = SETTINGS.classes[0].message_latency_objective


def fleet(servers=SERVERS, settings=FLEET, count=MANY) -> list[Driver]:
    return [Driver(servers, settings, seed=n) for n in range(count)]


def asked(drivers: list[Driver], server: int) -> Iterator[tuple[Driver, StartAttempt]]:
    """Each balancer places one more connection; those that went to this server."""
    for d in drivers:
        (send,) = d.ask(load_hint=LOAD)
        if isinstance(send, StartAttempt):
            d.stand(send)
            if send.server == server:
                yield d, send


def note(d: Driver, server: int, delay: float) -> None:
    d.b.handle(d.now, ServerLatencyReported("", server, delay))


@pytest.mark.parametrize("count", [2, MANY])
def test_a_slow_server_that_has_shed_all_is_tried_as_often_by_many_balancers_as_by_few(count):
    """Each balancer that holds nothing there learns only by a trial of its own that the server is slow still."""
    drivers, seconds, tries = fleet(settings=replace(SETTINGS, balancer_count=count), count=count), 60, 0
    for d in drivers:
        note(d, 3, AIM)
    for _ in range(seconds):
        for d, send in asked(drivers, 3):
            tries += 1
            note(d, 3, AIM)
            d.end(send, Outcome.CANCELLED)
        for d in drivers:
            d.tick()
    assert 0 < tries <= 2.5 * seconds / SLOW_SECONDS


@pytest.mark.parametrize("count", [2, MANY])
def test_a_server_on_which_something_stands_is_slow_no_longer_than_its_notes_say(count):
    """Forty balancers must not remember long what one of them can see has ended."""
    d = Driver(SERVERS, replace(SETTINGS, balancer_count=count))
    sends = [d.place(load_hint=LOAD) for _ in range(3 * SERVERS)]
    assert sum(s.server == 3 for s in sends) > 1
    note(d, 3, AIM / 2)
    d.tick()
    assert d.b.servers[3].slow_until > d.now and not d.b.servers[3].is_available
    for _ in range(3):
        d.tick()
    assert d.b.servers[3].connections and d.b.servers[3].is_available


def test_a_cold_server_is_filled_by_many_balancers_that_carry_little_and_not_pushed_over():
    """Each of forty carries next to nothing, so that what the others carry says little of what a server can."""
    rules, now, cores = SETTINGS.rules, 1000.0, 2.0
    servers = [entry(n, weight=cores, started_at=now if n == 1 else 0.0) for n in range(1, SERVERS + 1)]
    drivers, sent = fleet(servers), 0.0
    for second in range(int(rules.slow_start_duration)):
        sent += LOAD * len(list(asked(drivers[:8], 1)))  # a few of them at a time, as clients come
        drivers = drivers[8:] + drivers[:8]
        for d in drivers:
            d.tick()
        can = cores * (
            rules.initial_capacity_fraction
            + (1 - rules.initial_capacity_fraction) * (second + 1) / rules.slow_start_duration
        )
        assert sent <= rules.overload_multiple * can
    others = sum(
        r.load or 0.0 for d in drivers for s in d.b.servers.values() if s.id != 1 for r in s.connections.values()
    )
    assert sent >= others / (SERVERS - 1) / 3


def test_a_slow_server_loses_as_much_again_where_most_balancers_are_not_told_of_it():
    """Those that hold nothing there hear nothing and send it newcomers: as many must leave besides."""
    drivers, rounds, moved, there = fleet(), 200, 0, 0
    for _ in range(4):
        for d in drivers:
            d.place(load_hint=LOAD)
    unheard = sum(not s.connections for d in drivers for s in d.b.servers.values()) / MANY / SERVERS
    assert unheard > 0.5
    for d in drivers:
        d.tick()
    for d in (d for d in drivers if d.b.servers[3].connections):
        s, held = d.b.servers[3], dict(d.b.servers[3].connections)
        for _ in range(rounds):  # the same connections again and again
            there += len(held)
            moved += len(d.b.handle(d.now, ServerLatencyReported("", 3, AIM)) or [])
            s.connections.update(held)
    assert 0.9 < moved / there / (REBALANCE_FRACTION * (1 + unheard)) < 1.1


@pytest.mark.parametrize(("count", "local"), [(2, True), (MANY, False)])
def test_the_own_zone_comes_first_by_what_all_balancers_carry(count, local):
    """One of forty carries next to nothing itself while its zone is buried under what all send there."""
    servers = [entry(n, zone=n % 2) for n in range(1, SERVERS + 1)]
    d = Driver(servers, replace(FLEET, balancer_count=count, zone_count=2, zone=0))
    zones = [d.b.servers[d.place(load_hint=LOAD).server].zone for _ in range(16)]
    assert (set(zones) == {0}) is local


@pytest.mark.parametrize("count", [1, 2, MANY, 100])
def test_lists_that_are_empty_shrink_grow_whole_or_come_again_leave_every_request_answered(count):
    settings = replace(SETTINGS, balancer_count=count)
    d = Driver(SERVERS, settings)
    old = [entry(n, weight=2.0) for n in range(1, SERVERS + 1)]
    anew = [entry(n, weight=2.0, started_at=d.now) for n in range(100, 160)]
    leaving = [entry(n, state=ServerState.GONE) for n in range(1, SERVERS + 1)]
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
        d.update_endpoints(*entries, scope=scope)
        for _ in range(3):
            (action,) = d.ask(load_hint=LOAD)
            if isinstance(action, StartAttempt):
                assert action.server in d.b.servers
                d.stand(action)
            assert isinstance(action, Reject | StartAttempt) and sends in (None, isinstance(action, StartAttempt))
            d.tick()
