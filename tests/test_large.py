"""Lists of 1,024 runners and 1,024 balancers: taken whole and by changes, and what a large fleet costs."""

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
from helpers import SETTINGS, BalancerHarness, entry

import aspensaddle.core
from aspensaddle.core.events import ServerState
from aspensaddle.daemon.config import parse_config
from aspensaddle.daemon.store_integration import parse_stored_endpoints
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import parse_endpoint_list
from aspensaddle.store.settings import parse_store_settings
from aspensaddle.store.state import ReplicaState

MANY = 1024


def target(n: int, **more: Any) -> dict[str, Any]:
    return {
        "uid": f"s-{n:08x}",
        "endpoint": f"127.1.{n // 256}.{n % 256}:8000",
        "az": "a",
        "state": "active",
        "capacity_hint": 2.0,
        "boot_ms": 0,
        **more,
    }


def test_a_configuration_names_as_many_runners_and_balancers_and_changes_name_them_all_anew():
    known = {"rev": 1, "all": True, "targets": [target(n) for n in range(MANY)]}
    config = parse_config(
        json.loads(
            json.dumps(
                {
                    "name": "n1023",
                    "listen": "127.0.0.1:8000",
                    "discovery": "127.0.0.1:8500",
                    "known": known,
                    "settings": {
                        "fleet-size": MANY,
                        "index": MANY - 1,
                        "failure-domains": ["a"],
                        "lanes": [{"name": "run", "aim": 0.3, "deadline": 1.2}],
                    },
                }
            )
        )
    )
    fleet = EndpointRegistry(config.zones)
    harness = BalancerHarness(list(fleet.apply(config.known)), config.settings)
    assert len(harness.balancer.servers) == len(fleet.addresses) == MANY and config.settings.balancer_count == MANY
    changes = [target(n, state="left") for n in range(MANY)] + [target(MANY + n) for n in range(MANY)]
    harness.update_endpoints(*fleet.apply(parse_endpoint_list({"rev": 2, "all": False, "targets": changes})))
    assert len(harness.balancer.servers) == len(fleet.addresses) == MANY
    assert fleet.uid(harness.place(load_hint=0.05).server) >= f"s-{MANY:08x}"


def test_the_store_keeps_as_many_of_both_and_removed_ones():
    a, b = ReplicaState("n0", lambda: 10**12), ReplicaState("n1", lambda: 10**12)
    for n in range(MANY):
        a.put(f"runner/s-{n:08x}", json.dumps(target(n)))
        a.put(f"balancer/n{n}", "{}")
        a.put(f"runner/s-{MANY + n:08x}", None)
    for bucket in b.differing_buckets(a.bucket_digests()):
        b.merge(a.compare_bucket(bucket, b.version_summary(bucket)).to_send)
    stored = parse_stored_endpoints(b.values("runner/"))
    assert len(stored.update.endpoints) == len(b.values("balancer/")) == MANY and not stored.errors
    nodes = {f"n{n}": f"127.0.{n // 256}.{n % 256}:7000" for n in range(MANY)}
    settings = parse_store_settings({"enabled": True, "key": "00" * 16, "nodes": nodes})
    assert settings is not None and len(settings.nodes) == MANY


CORE = Path(aspensaddle.core.__file__).parent


def lines_run(do: Callable[[], object]) -> int:
    """How many lines of the decision modules that runs: the same on every machine."""
    count = 0

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        if Path(frame.f_code.co_filename).parent != CORE:
            return None
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        do()
    finally:
        sys.settrace(before)
    return count


@pytest.mark.parametrize(("group", "growth"), [(None, 2), (3, 20)])
def test_a_request_costs_the_same_with_a_thousand_servers_and_a_tick_or_change_a_look_at_each(group, growth):
    """A group that comes often looks at as many servers as its share of what came asks for."""
    cost: dict[int, list[int]] = {}
    for servers in (10, 1000):
        harness = BalancerHarness(servers, replace(SETTINGS, balancer_count=230, session_groups=True))
        for n in range(5):
            harness.place(load_hint=0.05, session_group=n)
        harness.tick()
        cost[servers] = [
            lines_run(partial(harness.place, load_hint=0.05, session_group=group)),
            lines_run(harness.tick),
            lines_run(partial(harness.update_endpoints, entry(1, state=ServerState.DRAINING))),
        ]
    request, tick, change = zip(cost[10], cost[1000], strict=True)
    assert request[1] <= growth * request[0]
    assert tick[1] <= 100 * tick[0] and change[1] <= 100 * change[0]


def test_a_thousand_servers_fit_into_a_small_part_of_the_memory_that_is_given():
    tracemalloc.start()
    try:
        harness = BalancerHarness(1000, replace(SETTINGS, balancer_count=1000, session_groups=True))
        for n in range(200):
            harness.place(load_hint=0.05, session_group=n % 40)
        assert tracemalloc.get_traced_memory()[1] < 16 << 20  # of 80 MB
    finally:
        tracemalloc.stop()
