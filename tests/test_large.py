"""Fleets of 1,024 servers and 1,024 balancers: endpoint lists and their updates, the store, CPU cost and memory."""

from __future__ import annotations

import json
import sys
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from types import FrameType
from typing import Any

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint

import aspensaddle.core
from aspensaddle.core.events import ServerState
from aspensaddle.daemon.config import parse_config
from aspensaddle.daemon.store_integration import parse_stored_endpoints
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import parse_endpoint_list
from aspensaddle.store.settings import parse_store_settings
from aspensaddle.store.state import ReplicaState

FLEET_SIZE = 1024


def endpoint_entry(number: int, **fields: Any) -> dict[str, Any]:
    return {
        "uid": f"s-{number:08x}",
        "endpoint": f"127.1.{number // 256}.{number % 256}:8000",
        "az": "a",
        "state": "active",
        "capacity_hint": 2.0,
        "boot_ms": 0,
        **fields,
    }


def test_1024_servers_and_balancers_can_be_configured_and_one_update_can_replace_all_servers():
    known = {"rev": 1, "all": True, "targets": [endpoint_entry(number) for number in range(FLEET_SIZE)]}
    config = parse_config(
        json.loads(
            json.dumps(
                {
                    "name": "n1023",
                    "listen": "127.0.0.1:8000",
                    "discovery": "127.0.0.1:8500",
                    "known": known,
                    "settings": {
                        "fleet-size": FLEET_SIZE,
                        "index": FLEET_SIZE - 1,
                        "failure-domains": ["a"],
                        "lanes": [{"name": "run", "aim": 0.3, "deadline": 1.2}],
                    },
                }
            )
        )
    )
    registry = EndpointRegistry(config.zones)
    harness = BalancerHarness(list(registry.apply(config.known)), config.settings)
    assert (
        len(harness.balancer.servers) == len(registry.addresses) == FLEET_SIZE
        and config.settings.balancer_count == FLEET_SIZE
    )
    changes = [endpoint_entry(number, state="left") for number in range(FLEET_SIZE)] + [
        endpoint_entry(FLEET_SIZE + number) for number in range(FLEET_SIZE)
    ]
    harness.update_endpoints(*registry.apply(parse_endpoint_list({"rev": 2, "all": False, "targets": changes})))
    assert len(harness.balancer.servers) == len(registry.addresses) == FLEET_SIZE
    assert registry.uid(harness.place(load_hint=0.05).server) >= f"s-{FLEET_SIZE:08x}"


def test_the_store_holds_1024_servers_1024_balancers_and_1024_removed_keys():
    source, replica = ReplicaState("n0", lambda: 10**12), ReplicaState("n1", lambda: 10**12)
    for number in range(FLEET_SIZE):
        source.put(f"runner/s-{number:08x}", json.dumps(endpoint_entry(number)))
        source.put(f"balancer/n{number}", "{}")
        source.put(f"runner/s-{FLEET_SIZE + number:08x}", None)
    for bucket in replica.differing_buckets(source.bucket_digests()):
        replica.merge(source.compare_bucket(bucket, replica.version_summary(bucket)).to_send)
    stored = parse_stored_endpoints(replica.values_and_removals("runner/"))
    assert len(stored.listed) == len(replica.values("balancer/")) == FLEET_SIZE and not stored.errors
    assert len(stored.removed) == FLEET_SIZE
    nodes = {f"n{number}": f"127.0.{number // 256}.{number % 256}:7000" for number in range(FLEET_SIZE)}
    settings = parse_store_settings({"enabled": True, "key": "00" * 16, "nodes": nodes})
    assert settings is not None and len(settings.nodes) == FLEET_SIZE


CORE_DIRECTORY = Path(aspensaddle.core.__file__).parent


def count_core_lines(action: Callable[[], object]) -> int:
    """Return how many lines of the core an action runs, a measure of cost that is the same on every machine."""
    count = 0

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        if Path(frame.f_code.co_filename).parent != CORE_DIRECTORY:
            return None
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(before)
    return count


@pytest.mark.parametrize(("group", "max_growth"), [(None, 2), (3, 20)])
def test_the_cost_of_a_request_grows_little_and_of_a_tick_or_update_at_most_linearly_with_servers(group, max_growth):
    """A request of a session group considers as many servers as the group's share of the requests calls for."""
    cost: dict[int, list[int]] = {}
    for server_count in (10, 1000):
        harness = BalancerHarness(server_count, replace(SETTINGS, balancer_count=230, session_groups=True))
        for group_number in range(5):
            harness.place(load_hint=0.05, session_group=group_number)
        harness.tick()
        cost[server_count] = [
            count_core_lines(partial(harness.place, load_hint=0.05, session_group=group)),
            count_core_lines(harness.tick),
            count_core_lines(partial(harness.update_endpoints, make_endpoint(1, state=ServerState.DRAINING))),
        ]
    request, tick, update = zip(cost[10], cost[1000], strict=True)
    assert request[1] <= max_growth * request[0]
    assert tick[1] <= 100 * tick[0] and update[1] <= 100 * update[0]


def test_a_balancer_with_1000_servers_uses_less_than_16_mib_at_its_peak():
    tracemalloc.start()
    try:
        harness = BalancerHarness(1000, replace(SETTINGS, balancer_count=1000, session_groups=True))
        for number in range(200):
            harness.place(load_hint=0.05, session_group=number % 40)
        assert tracemalloc.get_traced_memory()[1] < 16 << 20  # of the 80 MB that a balancer is given
    finally:
        tracemalloc.stop()
