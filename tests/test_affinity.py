"""Affinity: which servers session groups and affinity keys are placed on."""

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
    groups_with_first_server,
    large_fleet,
    place_with_reported_load,
)

from aspensaddle.core.actions import Reject, RejectReason, StartAttempt
from aspensaddle.core.affinity import SessionGroups, rendezvous_order
from aspensaddle.core.events import Endpoint, ServerState
from aspensaddle.core.server_state import Server


def server_records(endpoints: list[Endpoint], rotation_offset: float = 0.0) -> list[Server]:
    servers = [Server(endpoint, rotation_offset) for endpoint in endpoints]
    for server, endpoint in zip(servers, endpoints, strict=True):
        server.update(endpoint, ())
    return servers


def preferred_order(group: int, servers: list[Server]) -> list[Server]:
    return list(SessionGroups().preferred_servers(group, servers))


def test_share_of_a_server_is_that_of_all_groups_that_prefer_it():
    servers = server_records(large_fleet(2))
    groups = SessionGroups()
    first_group, *others = groups_with_first_server(0, large_fleet(2), 3)
    other_home = next(group for group in range(100) if preferred_order(group, servers)[0].id == 1)
    for group in (first_group, *others, other_home, None):
        groups.record_request(group)
    # Three of five requests, and of two assumed ones; each group prefers one server only.
    assert groups.request_share_of_server(servers[0], servers, 2, 2) == pytest.approx(3 / 7)
    assert groups.request_share_of_server(servers[1], servers, 2, 2) == pytest.approx(1 / 7)
    groups.record_request(other_home)
    assert groups.request_share_of_server(servers[1], servers, 2, 2) == pytest.approx(2 / 8)
    groups.clear_ring()
    assert groups.request_share_of_server(servers[1], servers[1:], 1, 2) == pytest.approx(5 / 8)


def test_session_group_is_placed_on_the_same_few_servers_by_all_balancers():
    servers = set()
    for seed in range(5):
        harness = BalancerHarness(20, seed=seed)
        for group in range(60):
            harness.place(session_group=group)
        servers.add(harness.place(session_group=7777).server)
    assert len(servers) <= 2


def test_large_session_group_is_spread_before_its_preferred_server_is_overloaded():
    harness = BalancerHarness(10)
    placed = [harness.place(session_group=5).server for _ in range(100)]
    # The mean is 10 connections per server; MAX_GROUP_LOAD_RATIO allows a group somewhat more on one server.
    assert max(placed.count(number) for number in range(1, 11)) <= 15


def test_affinity_key_maps_to_the_same_server_at_any_balancer_in_pass_through():
    settings = replace(SETTINGS, pass_through=True)
    same_server_count = 0
    for key in range(40):
        first, second = BalancerHarness(8, settings=settings, seed=1), BalancerHarness(8, settings=settings, seed=2)
        for n in range(16):
            first.place(affinity_key=1000 + n)
            second.place(affinity_key=2000 + n)
        same_server_count += first.place(affinity_key=key).server == second.place(affinity_key=key).server
    assert same_server_count >= 20  # random placement would give 5


def test_many_balancers_place_each_session_group_on_few_servers_without_coordination():
    """Each session group that has connections on a server costs that server three mean connection loads.

    If each of many balancers placed connections by its own load alone, nearly every connection would add that cost.
    """
    rng, groups = Random(1), range(30)
    sizes = [1 / (rank + 1) for rank in groups]
    harnesses = [
        BalancerHarness(LARGE_SERVER_COUNT, SESSION_GROUP_SETTINGS, seed=n) for n in range(HUNDREDS_OF_BALANCERS)
    ]
    connections_by_pair = Counter[tuple[int, int]]()  # by session group and server
    for _ in range(5):
        for harness in harnesses:
            group = rng.choices(groups, sizes)[0]
            connections_by_pair[group, harness.place(load_hint=LOAD, session_group=group).server] += 1
    connections_by_server = Counter[int]()
    for (_, server), n in connections_by_pair.items():
        connections_by_server[server] += n
    assert len(connections_by_pair) <= 4 * LARGE_SERVER_COUNT  # 478 if each balancer places by its own load alone
    assert max(connections_by_server.values()) <= 5 * HUNDREDS_OF_BALANCERS * 5 / LARGE_SERVER_COUNT


def test_preferred_order_is_the_same_at_all_balancers_and_a_leaving_server_affects_only_its_own_groups():
    servers, rng = server_records(large_fleet(40)), Random(1)
    affected_groups = 0
    for group in range(60):
        order = [server.id for server in preferred_order(group, servers)]
        assert sorted(order) == list(range(40))
        assert order == [
            server.id for server in preferred_order(group, rng.sample(server_records(large_fleet(40), 0.7), 40))
        ]
        order_without_0 = [server.id for server in preferred_order(group, servers[1:])]
        assert order_without_0 == [n for n in order if n != 0]
        affected_groups += order[0] == 0
        client = rng.getrandbits(60)
        first = rendezvous_order(client, [servers[n] for n in order[:4]])[0]
        assert rendezvous_order(client, [servers[n] for n in order[:4] if n == first.id or n % 2])[0] is first
    assert affected_groups <= 6  # the mean is a fortieth of the 60 groups


def test_clients_of_a_group_are_spread_by_weight_over_ready_servers_with_a_weight():
    endpoints = [
        *large_fleet(20),
        *(make_endpoint(n, weight=4.0) for n in range(20, 30)),
        make_endpoint(30, weight=0.0),
        make_endpoint(31, weight=2.0, state=ServerState.DRAINING),
    ]
    preferred = preferred_order(5, server_records(endpoints))
    clients_by_server = Counter(rendezvous_order(client, preferred)[0].id for client in range(3000))
    on_large_servers = sum(clients_by_server[n] for n in range(20, 30))
    assert (
        0.45 <= on_large_servers / 3000 <= 0.55
        and len(preferred) == 30
        and not clients_by_server[30]
        and not clients_by_server[31]
    )
    groups_by_server = Counter(preferred_order(group, server_records(endpoints))[0].id for group in range(3000))
    # The groups themselves are spread over all servers with a weight.
    assert min(groups_by_server[n] for n in range(30)) >= 20 and not groups_by_server[30]


def test_restarted_balancers_place_groups_on_the_same_servers_and_keep_most_pairs_after_half_the_fleet_is_replaced():
    """200 balancers restart twice, the second time after half of the servers were replaced.

    The pairs of session group and server must stay near those before each restart.
    """
    rng, groups, clients = Random(1), range(30), range(600)
    group_of = dict(zip(clients, rng.choices(groups, [1 / (group + 2) for group in groups], k=600), strict=True))
    endpoints = large_fleet(60)

    def place_all_clients(harnesses: list[BalancerHarness]) -> set[tuple[int, int]]:
        """Return the pairs of session group and server that result."""
        pairs = set()
        for client in clients:
            harness = rng.choice(harnesses)
            attempt = harness.place(affinity_key=10_000 + client, session_group=group_of[client], load_hint=0.05)
            pairs.add((group_of[client], attempt.server))
        return pairs

    harnesses = [BalancerHarness(endpoints, SESSION_GROUP_SETTINGS, seed=n) for n in range(200)]
    before = place_all_clients(harnesses)
    restarted = place_all_clients(
        [BalancerHarness(endpoints, SESSION_GROUP_SETTINGS, seed=1000 + n) for n in range(200)]
    )
    assert len(before) <= 150 and len(before | restarted) <= 1.5 * len(before)
    half_replaced = [endpoint for endpoint in endpoints if endpoint.server % 2] + [
        make_endpoint(100 + n, weight=2.0, started_at=900.0) for n in range(30)
    ]
    after_replacement = place_all_clients(
        [BalancerHarness(half_replaced, SESSION_GROUP_SETTINGS, seed=2000 + n) for n in range(200)]
    )
    on_kept_servers = {pair for pair in restarted if pair[1] % 2}
    assert len(after_replacement) <= 150 and len(on_kept_servers & after_replacement) >= 0.6 * len(on_kept_servers)


def test_reconnecting_client_is_rejected_while_its_preferred_server_warms_up():
    """Otherwise the load that the servers warming up cannot bear yet would overload the warm ones."""
    endpoints = [make_endpoint(n, weight=2.0, started_at=1000.0 if n < 10 else 0.0) for n in range(20)]

    def submit_for_all_clients(harness: BalancerHarness, reconnecting: bool = True) -> list[StartAttempt | Reject]:
        actions = [
            harness.submit_request(affinity_key=n, session_group=n % 25, load_hint=0.05, reconnecting=reconnecting)[0]
            for n in range(1, 11)
            for _ in range(10)
            if not harness.balancer.requests.clear()
        ]
        assert all(
            action.reason is RejectReason.AFFINITY_SERVER_WARMING_UP
            and 0 < action.retry_after <= SETTINGS.limits.max_retry_after
            for action in actions
            if isinstance(action, Reject)
        )
        return actions

    harness = BalancerHarness(endpoints, SESSION_GROUP_SETTINGS, now=1001.0)
    # Half of the preferred servers are warming up, and most of their clients are rejected.
    assert 10 <= sum(isinstance(action, Reject) for action in submit_for_all_clients(harness)) <= 60
    assert not any(isinstance(action, Reject) for action in submit_for_all_clients(harness, reconnecting=False))
    assert not any(
        isinstance(action, Reject)
        for action in submit_for_all_clients(
            BalancerHarness(endpoints, replace(SESSION_GROUP_SETTINGS, balancer_count=2), now=1001.0)
        )
    )
    harness.now += SETTINGS.rules.slow_start_duration
    assert not any(isinstance(action, Reject) for action in submit_for_all_clients(harness))


def test_groups_of_a_single_client_and_requests_without_an_affinity_key_are_placed():
    harness = BalancerHarness(large_fleet(60), SESSION_GROUP_SETTINGS)
    assert all(
        isinstance(harness.submit_request(session_group=n, load_hint=0.01)[0], StartAttempt) for n in range(300)
    )
    # Requests without an affinity key are not tied to one of the preferred servers.
    assert len({harness.submit_request(session_group=5, load_hint=0.01)[0].server for _ in range(100)}) > 1


@pytest.mark.parametrize("load", [0.0, 0.05])
def test_affinity_works_with_weights_and_loads_of_zero(load):
    """A preferred server of weight 0 and a slow start limit of 0 must not cause a division by zero."""
    rules = replace(SETTINGS.rules, initial_capacity_fraction=0.0, overload_multiple=0.0)
    harness = BalancerHarness(large_fleet(20), replace(SESSION_GROUP_SETTINGS, rules=rules))
    for n in range(12):
        place_with_reported_load(harness, load)
        harness.update_endpoints(
            make_endpoint(n, weight=0.0), make_endpoint(19 - n % 4, weight=2.0, started_at=harness.now)
        )
        harness.tick()
        actions = [
            harness.submit_request(
                affinity_key=key, session_group=key % 7, load_hint=load, reconnecting=key % 2 == 0
            )[0]
            for key in range(1, 30)
        ]
        assert (
            not {action.server for action in actions if isinstance(action, StartAttempt)} & set(range(n + 1))
            and actions
        )
        harness.balancer.requests.clear()
