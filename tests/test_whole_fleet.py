"""The whole fleet: two hundred balancers in lock step that hold a few connections each, without sockets."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

from helpers import SETTINGS, Driver

BALANCERS, SERVERS, LOAD = 200, 60, 0.05
FLEET = replace(SETTINGS, balancers=BALANCERS, groups=True)


def test_groups_stand_on_few_servers_though_every_balancer_places_alone():
    """A server pays three mean loads for each group that it holds any of: where each of many balancers looks only
    at what it carries itself, nearly every connection pays."""
    draw, groups = Random(1), range(30)
    sizes = [1 / (g + 1) for g in groups]
    drivers = [Driver(SERVERS, FLEET, seed=n) for n in range(BALANCERS)]
    there = Counter[tuple[int, int]]()
    for _ in range(5):
        for d in drivers:
            group = draw.choices(groups, sizes)[0]
            there[group, d.place(load=LOAD, group=group).server] += 1
    held = Counter[int]()
    for (_, server), n in there.items():
        held[server] += n
    assert len(there) <= 4 * SERVERS  # 478 where each scatters them
    assert max(held.values()) <= 5 * BALANCERS * 5 / SERVERS
