"""Affinity: the servers of session groups and affinity keys."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint
from lock_step import (
    HUNDREDS_OF_BALANCERS,
    LARGE_SERVER_COUNT,
    LOAD,
    SESSION_GROUP_SETTINGS,
    large_fleet,
    place_with_reported_load,
)

from aspensaddle.core.actions import Reject, RejectReason, StartAttempt
from aspensaddle.core.affinity import SessionGroups, rendezvous_order
from aspensaddle.core.events import Endpoint, ServerState
from aspensaddle.core.server_state import Server


def server_records(entries: list[Endpoint], phase: float = 0.0) -> list[Server]:
    found = [Server(e, phase) for e in entries]
    for s, e in zip(found, entries, strict=True):
        s.update(e, ())
    return found


def preferred_order(group: int, some: list[Server]) -> list[Server]:
    return list(SessionGroups().preferred_servers(group, some))


def test_session_group_stays_on_few_servers_and_balancers_agree_on_them():
    homes = set()
    for seed in range(5):
        harness = BalancerHarness(20, seed=seed)
        for n in range(60):
            harness.place(session_group=n)
        homes.add(harness.place(session_group=7777).server)
    assert len(homes) <= 2


def test_hot_session_group_spills_over_before_its_server_is_overloaded():
    harness = BalancerHarness(10)
    placed = [harness.place(session_group=5).server for _ in range(100)]
    assert max(placed.count(s) for s in range(1, 11)) <= 15  # GROUP_EXCESS times the mean of 10


def test_affinity_key_maps_to_the_same_server_at_any_balancer_in_pass_through():
    settings = replace(SETTINGS, pass_through=True)
    found = 0
    for key in range(40):
        first, second = BalancerHarness(8, settings=settings, seed=1), BalancerHarness(8, settings=settings, seed=2)
        for n in range(16):
            first.place(affinity_key=1000 + n)
            second.place(affinity_key=2000 + n)
        found += first.place(affinity_key=key).server == second.place(affinity_key=key).server
    assert found >= 20  # by chance it would be 5


def test_many_balancers_keep_session_groups_on_few_servers_without_coordination():
    """A server pays three mean loads for each group that it holds any of. If each of many balancers placed by its
    own load alone, nearly every connection would add that cost."""
    draw, groups = Random(1), range(30)
    sizes = [1 / (g + 1) for g in groups]
    harnesses = [
        BalancerHarness(LARGE_SERVER_COUNT, SESSION_GROUP_SETTINGS, seed=n) for n in range(HUNDREDS_OF_BALANCERS)
    ]
    there = Counter[tuple[int, int]]()
    for _ in range(5):
        for harness in harnesses:
            group = draw.choices(groups, sizes)[0]
            there[group, harness.place(load_hint=LOAD, session_group=group).server] += 1
    held = Counter[int]()
    for (_, server), n in there.items():
        held[server] += n
    assert len(there) <= 4 * LARGE_SERVER_COUNT  # 478 where each scatters them
    assert max(held.values()) <= 5 * HUNDREDS_OF_BALANCERS * 5 / LARGE_SERVER_COUNT


def test_preferred_order_is_the_same_everywhere_and_a_leaving_server_moves_only_its_own_groups():
    whole, draw = server_records(large_fleet(40)), Random(1)
    moved = 0
    for group in range(60):
        order = [s.id for s in preferred_order(group, whole)]
        assert sorted(order) == list(range(40))
        assert order == [s.id for s in preferred_order(group, draw.sample(server_records(large_fleet(40), 0.7), 40))]
        left = [s.id for s in preferred_order(group, whole[1:])]
        assert left == [n for n in order if n != 0]
        moved += order[0] == 0
        client = draw.getrandbits(60)
        first = rendezvous_order(client, [whole[n] for n in order[:4]])[0]
        assert rendezvous_order(client, [whole[n] for n in order[:4] if n == first.id or n % 2])[0] is first
    assert moved <= 6  # a fortieth


def test_clients_of_a_group_follow_the_server_weight_and_skip_servers_that_are_not_ready():
    entries = [
        *large_fleet(20),
        *(make_endpoint(n, weight=4.0) for n in range(20, 30)),
        make_endpoint(30, weight=0.0),
        make_endpoint(31, weight=2.0, state=ServerState.DRAINING),
    ]
    homes = preferred_order(5, server_records(entries))
    first = Counter(rendezvous_order(client, homes)[0].id for client in range(3000))
    large = sum(first[n] for n in range(20, 30))
    assert 0.45 <= large / 3000 <= 0.55 and len(homes) == 30 and not first[30] and not first[31]
    heads = Counter(preferred_order(group, server_records(entries))[0].id for group in range(3000))
    assert min(heads[n] for n in range(30)) >= 20 and not heads[30]  # groups themselves stand everywhere


def test_restarted_balancers_find_the_same_servers_after_half_of_them_are_replaced():
    """With 200 balancers, the pairs of group and server stay near those before the restart."""
    draw, groups, clients = Random(1), range(30), range(600)
    group = dict(zip(clients, draw.choices(groups, [1 / (g + 2) for g in groups], k=600), strict=True))
    entries = large_fleet(60)

    def placed(harnesses: list[BalancerHarness]) -> set[tuple[int, int]]:
        there = set()
        for c in clients:
            harness = draw.choice(harnesses)
            send = harness.place(affinity_key=10_000 + c, session_group=group[c], load_hint=0.05)
            there.add((group[c], send.server))
        return there

    harnesses = [BalancerHarness(entries, SESSION_GROUP_SETTINGS, seed=n) for n in range(200)]
    before = placed(harnesses)
    again = placed([BalancerHarness(entries, SESSION_GROUP_SETTINGS, seed=1000 + n) for n in range(200)])
    assert len(before) <= 150 and len(before | again) <= 1.5 * len(before)
    warm = [e for e in entries if e.server % 2] + [
        make_endpoint(100 + n, weight=2.0, started_at=900.0) for n in range(30)
    ]
    later = placed([BalancerHarness(warm, SESSION_GROUP_SETTINGS, seed=2000 + n) for n in range(200)])
    kept = {p for p in again if p[1] % 2}
    assert len(later) <= 150 and len(kept & later) >= 0.6 * len(kept)


def test_reconnecting_client_waits_while_its_preferred_server_warms_up():
    """Otherwise the load that warming servers cannot take yet would overload the warm ones."""
    entries = [make_endpoint(n, weight=2.0, started_at=1000.0 if n < 10 else 0.0) for n in range(20)]

    def answers(harness: BalancerHarness, reconnecting: bool = True) -> list[StartAttempt | Reject]:
        got = [
            harness.submit_request(affinity_key=n, session_group=n % 25, load_hint=0.05, reconnecting=reconnecting)[0]
            for n in range(1, 11)
            for _ in range(10)
            if not harness.balancer.requests.clear()
        ]
        assert all(
            a.reason is RejectReason.AFFINITY_SERVER_WARMING_UP
            and 0 < a.retry_after <= SETTINGS.limits.max_retry_after
            for a in got
            if isinstance(a, Reject)
        )
        return got

    harness = BalancerHarness(entries, SESSION_GROUP_SETTINGS, now=1001.0)
    assert 10 <= sum(isinstance(a, Reject) for a in answers(harness)) <= 60  # half of the homes, most of the time
    assert not any(isinstance(a, Reject) for a in answers(harness, reconnecting=False))
    assert not any(
        isinstance(a, Reject)
        for a in answers(BalancerHarness(entries, replace(SESSION_GROUP_SETTINGS, balancer_count=2), now=1001.0))
    )
    harness.now += SETTINGS.rules.slow_start_duration
    assert not any(isinstance(a, Reject) for a in answers(harness))


def test_single_client_groups_and_requests_without_a_key_are_placed():
    harness = BalancerHarness(large_fleet(60), SESSION_GROUP_SETTINGS)
    assert all(
        isinstance(harness.submit_request(session_group=n, load_hint=0.01)[0], StartAttempt) for n in range(300)
    )
    assert (
        len({harness.submit_request(session_group=5, load_hint=0.01)[0].server for _ in range(100)}) > 1
    )  # without keys by chance


@pytest.mark.parametrize("load", [0.0, 0.05])
def test_weights_and_loads_of_zero_leave_affinity_working(load):
    """A preferred server of weight 0 and a slow start limit of 0 cause no division by zero."""
    rules = replace(SETTINGS.rules, initial_capacity_fraction=0.0, overload_multiple=0.0)
    harness = BalancerHarness(large_fleet(20), replace(SESSION_GROUP_SETTINGS, rules=rules))
    for n in range(12):
        place_with_reported_load(harness, load)
        harness.update_endpoints(
            make_endpoint(n, weight=0.0), make_endpoint(19 - n % 4, weight=2.0, started_at=harness.now)
        )
        harness.tick()
        got = [
            harness.submit_request(affinity_key=k, session_group=k % 7, load_hint=load, reconnecting=k % 2 == 0)[0]
            for k in range(1, 30)
        ]
        assert not {a.server for a in got if isinstance(a, StartAttempt)} & set(range(n + 1)) and got
        harness.balancer.requests.clear()
