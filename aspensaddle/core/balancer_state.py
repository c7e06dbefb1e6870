"""The state that the rules of one balancer share: settings, servers, requests, pools and load sums."""

from __future__ import annotations

from random import Random

from aspensaddle.core.affinity import SessionGroups
from aspensaddle.core.attempt_window import SLOT_SECONDS, WINDOW_SLOTS
from aspensaddle.core.capacity_shortage import CapacityShortage
from aspensaddle.core.endpoint_confirmation import EndpointConfirmation
from aspensaddle.core.load_reports import uses_load_reports
from aspensaddle.core.request_rate import RequestRate
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.server_pool import ServerPool
from aspensaddle.core.server_state import Server
from aspensaddle.core.settings import Settings
from aspensaddle.core.tenant_quotas import TenantQuotas

USUAL_BALANCER_COUNT = 2.5  # two or three; with more, each one sees only a part of the load of a server
MIN_MESSAGE_LATENCY_OBJECTIVE_SECONDS = 1e-3


class BalancerState:
    """Shared state of one balancer. The rules read and change it; it makes no decisions.

    Loads are core seconds per second. `mean_load` is the mean load of a connection, 1 until one is known.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the state without servers and requests. `seed` initializes all random draws."""
        self.tenant_quotas = TenantQuotas()
        self.configure(settings)
        self.random = Random(seed)
        self.servers: dict[int, Server] = {}
        self.requests: dict[str, RequestState] = {}
        self.session_groups = SessionGroups()
        self.request_rate = RequestRate(WINDOW_SLOTS * SLOT_SECONDS)
        self.shortage = CapacityShortage()
        self.endpoint_confirmation = EndpointConfirmation()
        # Pools.
        self.local_pool = ServerPool()
        self.fleet_pool = ServerPool()
        self.ready_count = 0
        self.warming_up_count = 0
        self.earliest_warming_start = 0.0  # start time of the server that has been warming up for longest
        self.largest_warming_weight = 0.0  # largest weight of a server that is warming up
        # Loads.
        self.mean_load = 1.0
        self.load_samples = 0  # number of samples in the mean, up to a maximum
        self.total_load = 0.0  # load of all servers, including draining ones
        self.typical_server_load = 0.0  # smoothed total load per ready server
        self.own_load = 0.0  # load of this balancer's connections
        self.reported_capacity = 0.0  # smoothed capacity of a warm server; 0 without load reports
        self.reported_connections = 0.0  # connections of all balancers; 0 without load reports
        # Failures. `unobserved_weight` is 0 with few balancers, and near 1 with many if only a few servers hold
        # connections of this balancer.
        self.unobserved_weight = 0.0
        self.lost_connections = 0.0  # decaying count

    def configure(self, settings: Settings) -> None:
        """Apply settings. The indexes of request classes and zones must keep their meaning."""
        self.settings = settings
        self.rules = settings.rules
        self.limits = settings.limits
        shortest = min(request_class.message_latency_objective for request_class in settings.classes)
        self.message_latency_objective = max(MIN_MESSAGE_LATENCY_OBJECTIVE_SECONDS, shortest)
        self.session_group_cost = settings.session_group_cost if settings.session_groups else 0.0
        # 0 for a usual number of balancers, near 1 for many.
        self.many_balancers_weight = max(0.0, 1 - USUAL_BALANCER_COUNT / settings.balancer_count)
        self.tenant_quotas.quotas = settings.tenant_connection_quotas
        self.uses_load_reports = uses_load_reports(settings)
        # The number of balancers whose load `Server.load` includes.
        self.balancers_in_load = settings.balancer_count if self.uses_load_reports else 1

    @property
    def has_few_connections(self) -> bool:
        """Whether this is one of many balancers and has less than one request or connection per ready server.

        Such a balancer sees little of the load of the servers.
        """
        return self.many_balancers_weight > 0 and len(self.requests) < self.ready_count

    def pools_of(self, server: Server) -> tuple[ServerPool, ...]:
        """Return the pools that a server belongs to."""
        if server.zone == self.settings.zone:
            return (self.local_pool, self.fleet_pool)
        return (self.fleet_pool,)

    def is_confirmed(self, now: float, server: Server) -> bool:
        """Return whether the state of a server is known recently enough for an attempt."""
        return self.endpoint_confirmation.is_confirmed(now, server, self.rules.drain_grace)

    def only_confirmed_servers(self, now: float) -> list[Server] | None:
        """Return the servers whose state is confirmed, or None if the list confirms them all."""
        drain_grace = self.rules.drain_grace
        if self.endpoint_confirmation.is_list_confirmed(now, drain_grace):
            return None
        return self.endpoint_confirmation.confirmed_by_attempts(now, self.servers, drain_grace)

    def update_warming_up(self, now: float) -> None:
        """Update the number, the earliest start and the largest weight of the ready servers that are warming up."""
        warming_up = [
            server
            for server in self.servers.values()
            if server.is_ready and self.capacity_fraction(now, server) < 1.0
        ]
        self.warming_up_count = len(warming_up)
        self.earliest_warming_start = min((server.started_at for server in warming_up), default=0.0)
        self.largest_warming_weight = max((server.weight for server in warming_up), default=0.0)

    def capacity_fraction(self, now: float, server: Server) -> float:
        """Return the least fraction of its capacity that a server is sure to have at the time `now`."""
        return self.rules.capacity_fraction(now - server.started_at) if server.started_at else 1.0
