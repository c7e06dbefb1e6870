"""Places the connections that are open when a simulation begins."""

from __future__ import annotations

from bisect import bisect
from collections import defaultdict
from itertools import accumulate
from statistics import median

from benchmarks.rolling_restart_simulation.client import Client
from benchmarks.rolling_restart_simulation.client_lifecycle import ClientLifecycle
from benchmarks.rolling_restart_simulation.model import INITIAL_UTILIZATION, SESSION_GROUP_WORK
from benchmarks.rolling_restart_simulation.state import SimulationState


def place_initial_clients(state: SimulationState, clients: ClientLifecycle, count: int) -> None:
    """Place `count` clients: each session group on as few servers as it needs, with its load spread evenly."""
    members: defaultdict[int, list[Client]] = defaultdict(list)
    for _ in range(count):
        client = clients.create_client()
        members[client.session_group].append(client)
    free = {index: INITIAL_UTILIZATION * server.capacity(0.0) for index, server in state.servers.items()}
    for group in sorted(members, key=lambda group: -_load(members[group])):
        servers = _choose_servers(state, free, _load(members[group]))
        for index in servers:
            free[index] -= SESSION_GROUP_WORK
        for client in sorted(members[group], key=lambda client: -client.load):
            index = max(servers, key=lambda index: free[index])
            free[index] -= client.load
            clients.adopt(client, index)


def _load(clients: list[Client]) -> float:
    return sum(client.load for client in clients)


def _choose_servers(state: SimulationState, free: dict[int, float], load: float) -> list[int]:
    """Choose servers for a session group of the given load; `free` is each server's remaining capacity."""
    fitting = [index for index, capacity in free.items() if capacity >= load + SESSION_GROUP_WORK]
    if fitting:
        return [min(fitting, key=lambda index: free[index])]
    servers = sorted(free, key=lambda index: -free[index])
    cumulative = list(accumulate(max(0.0, free[index] - SESSION_GROUP_WORK) for index in servers))
    if load > cumulative[-1]:  # overload them evenly, but use no more servers than an empty fleet would need
        median_capacity = median(server.capacity(0.0) for server in state.servers.values())
        servers = servers[: 1 + int(load / (INITIAL_UTILIZATION * median_capacity))]
    return servers[: 1 + bisect(cumulative, load)]
