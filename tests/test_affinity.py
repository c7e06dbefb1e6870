"""Homes of groups that follow from the list, and what many balancers do while the list tells that cores are missing."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from helpers import SETTINGS, Driver, entry
from test_whole_fleet import loaded

from aspensaddle.core.actions import Migrate, Reject, RejectReason, StartAttempt
from aspensaddle.core.events import Endpoint, Outcome, ServerState
from aspensaddle.core.affinity import SessionGroups, rendezvous_order
from aspensaddle.core.server_state import Server

MANY = replace(SETTINGS, balancer_count=200, session_groups=True)


def servers(count: int, weight: float = 2.0, **more: object) -> list[Endpoint]:
    return [entry(n, weight=weight, **more) for n in range(count)]


def listed(entries: list[Endpoint], phase: float = 0.0) -> list[Server]:
    found = [Server(e, phase) for e in entries]
    for s, e in zip(found, entries, strict=True):
        s.update(e, ())
    return found


def orders(group: int, some: list[Server]) -> list[Server]:
    return list(SessionGroups().preferred_servers(group, some))


def test_an_order_is_alike_everywhere_and_a_server_that_leaves_moves_only_what_it_held():
    whole, draw = listed(servers(40)), Random(1)
    moved = 0
    for group in range(60):
        order = [s.id for s in orders(group, whole)]
        assert sorted(order) == list(range(40))
        assert order == [s.id for s in orders(group, draw.sample(listed(servers(40), 0.7), 40))]
        left = [s.id for s in orders(group, whole[1:])]
        assert left == [n for n in order if n != 0]
        moved += order[0] == 0
        client = draw.getrandbits(60)
        first = rendezvous_order(client, [whole[n] for n in order[:4]])[0]
        assert rendezvous_order(client, [whole[n] for n in order[:4] if n == first.id or n % 2])[0] is first
    assert moved <= 6  # a fortieth


def test_a_server_twice_as_large_gets_twice_as_many_clients_of_a_group_and_one_that_is_not_ready_none():
    entries = [
        *servers(20),
        *(entry(n, weight=4.0) for n in range(20, 30)),
        entry(30, weight=0.0),
        entry(31, weight=2.0, state=ServerState.DRAINING),
    ]
    homes = orders(5, listed(entries))
    first = Counter(rendezvous_order(client, homes)[0].id for client in range(3000))
    large = sum(first[n] for n in range(20, 30))
    assert 0.45 <= large / 3000 <= 0.55 and len(homes) == 30 and not first[30] and not first[31]
    heads = Counter(orders(group, listed(entries))[0].id for group in range(3000))
    assert min(heads[n] for n in range(30)) >= 20 and not heads[30]  # groups themselves stand everywhere


def test_balancers_that_start_anew_and_half_of_whose_servers_are_replaced_find_the_same_homes():
    """Lock step, 200 modules: pairs of group and server stay near those at the start, and no connection is alone."""
    draw, groups, clients = Random(1), range(30), range(600)
    group = dict(zip(clients, draw.choices(groups, [1 / (g + 2) for g in groups], k=600), strict=True))
    entries = servers(60)

    def placed(drivers: list[Driver]) -> set[tuple[int, int]]:
        there = set()
        for c in clients:
            d = draw.choice(drivers)
            send = d.place(affinity_key=10_000 + c, session_group=group[c], load_hint=0.05)
            there.add((group[c], send.server))
        return there

    drivers = [Driver(entries, MANY, seed=n) for n in range(200)]
    before = placed(drivers)
    again = placed([Driver(entries, MANY, seed=1000 + n) for n in range(200)])
    assert len(before) <= 150 and len(before | again) <= 1.5 * len(before)
    warm = [e for e in entries if e.server % 2] + [entry(100 + n, weight=2.0, started_at=900.0) for n in range(30)]
    later = placed([Driver(warm, MANY, seed=2000 + n) for n in range(200)])
    kept = {p for p in again if p[1] % 2}
    assert len(later) <= 150 and len(kept & later) >= 0.6 * len(kept)


def test_who_comes_again_and_is_at_home_on_a_cold_server_waits_for_its_turn():
    """What cold servers can't take yet would push the warm ones over, each in a place that costs its group."""
    entries = [entry(n, weight=2.0, started_at=1000.0 if n < 10 else 0.0) for n in range(20)]

    def answers(d: Driver, reconnecting: bool = True) -> list[StartAttempt | Reject]:
        got = [
            d.ask(affinity_key=n, session_group=n % 25, load_hint=0.05, reconnecting=reconnecting)[0]
            for n in range(1, 11)
            for _ in range(10)
            if not d.b.requests.clear()
        ]
        assert all(
            a.reason is RejectReason.AFFINITY_SERVER_WARMING_UP
            and 0 < a.retry_after <= SETTINGS.limits.max_retry_after
            for a in got
            if isinstance(a, Reject)
        )
        return got

    d = Driver(entries, MANY, now=1001.0)
    assert 10 <= sum(isinstance(a, Reject) for a in answers(d)) <= 60  # half of the homes, most of the time
    assert not any(isinstance(a, Reject) for a in answers(d, reconnecting=False))
    assert not any(
        isinstance(a, Reject) for a in answers(Driver(entries, replace(MANY, balancer_count=2), now=1001.0))
    )
    d.now += SETTINGS.rules.slow_start_duration
    assert not any(isinstance(a, Reject) for a in answers(d))


@pytest.mark.parametrize(("count", "shunned"), [(2, False), (200, True)])
def test_a_server_that_has_dropped_a_connection_gets_no_more_of_its_groups_for_a_while(count, shunned):
    """What has piled up there has to be worked off; sent on, all that it held would come back and hold it down."""
    leaving = [entry(n, weight=2.0, state=ServerState.DRAINING) for n in range(60, 70)]
    d = Driver([*servers(60), *leaving], replace(MANY, balancer_count=count))
    first = d.place(affinity_key=7, session_group=3)
    d.tick(3.0)
    d.end(first, Outcome.CONNECTION_LOST, finished=True)
    others = [d.place(affinity_key=n, session_group=3).server for n in range(40)]
    assert (first.server not in others) is shunned
    for _ in range(16):
        d.tick()
    assert not shunned or first.server in [d.place(affinity_key=n, session_group=3).server for n in range(100, 160)]


@pytest.mark.parametrize("why", ["cold", "draining"])
@pytest.mark.parametrize(("count", "leaves"), [(1, False), (2, False), (200, True)])
def test_the_heaviest_leave_while_the_list_tells_that_cores_are_missing_and_stay_on_an_ordinary_day(
    count, leaves, why
):
    d = Driver(servers(60), replace(MANY, balancer_count=count))
    light, heavy = [loaded(d, 0.02)[0] for _ in range(6)], loaded(d, 0.8)[0]
    for _ in range(3):
        assert not [a for a in d.tick() if isinstance(a, Migrate)]
    gone = [
        entry(n, weight=2.0, state=ServerState.DRAINING) for n in range(60) if n not in {heavy.server} and n % 3 == 0
    ]
    d.update_endpoints(
        *(gone if why == "draining" else [replace(e, state=ServerState.READY, started_at=d.now) for e in gone])
    )
    moved = {a.request_id for a in d.tick() if isinstance(a, Migrate)}
    assert (heavy.request_id in moved) is leaves and not moved & {s.request_id for s in light if s.server % 3}
    answers = [d.ask(load_hint=0.02, reconnecting=True)[0] for _ in range(200)]
    stormed = sum(isinstance(a, Reject) and a.reason is RejectReason.RETRY_STORM for a in answers)
    assert (60 <= stormed <= 150) if leaves else not stormed
    assert not any(isinstance(d.ask(load_hint=0.02)[0], Reject) for _ in range(50))  # who comes for the first time


def test_groups_of_one_client_each_and_keys_that_are_missing_are_placed_all_the_same():
    d = Driver(servers(60), MANY)
    assert all(isinstance(d.ask(session_group=n, load_hint=0.01)[0], StartAttempt) for n in range(300))
    assert len({d.ask(session_group=5, load_hint=0.01)[0].server for _ in range(100)}) > 1  # without keys by chance


@pytest.mark.parametrize("load", [0.0, 0.05])
def test_weights_that_become_0_and_loads_of_0_end_nothing(load):
    """A weight of 0 among the homes, and a rule that lets nothing pass, were divided by."""
    rules = replace(SETTINGS.rules, initial_capacity_fraction=0.0, overload_multiple=0.0)
    d = Driver(servers(20), replace(MANY, rules=rules))
    for n in range(12):
        loaded(d, load)
        d.update_endpoints(entry(n, weight=0.0), entry(19 - n % 4, weight=2.0, started_at=d.now))
        d.tick()
        got = [
            d.ask(affinity_key=k, session_group=k % 7, load_hint=load, reconnecting=k % 2 == 0)[0]
            for k in range(1, 30)
        ]
        assert not {a.server for a in got if isinstance(a, StartAttempt)} & set(range(n + 1)) and got
        d.b.requests.clear()
