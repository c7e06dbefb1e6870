"""Admission: which requests are rejected before any attempt, to shed load.

A request is rejected with a probability that grows with the slow part of the servers, sooner for a tenant over its
quota. A client that reconnects is rejected with a probability that grows while connections are lost or capacity is
missing: if all clients returned at once, they would overload the remaining servers.
"""

from __future__ import annotations

from aspensaddle.core.actions import RejectReason
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.request_state import RequestState

SHEDDING_SLOPE = 6.0  # shedding starts at 1/6 of the servers slow and is complete at 2/6
OVER_QUOTA_SHEDDING_FACTOR = 2  # a tenant over its quota is shed as if so many times more servers were slow
SHORTAGE_REJECT_FRACTION = 0.6  # of reconnecting clients, when all spare capacity is missing
MAX_UTILIZATION = 0.85  # of a server's capacity, above which nothing is placed there
MAX_UTILIZATION_OVER_QUOTA = 0.65  # the same, for a tenant over its quota


class Admission:
    """Decides on new requests."""

    def __init__(self, state: BalancerState) -> None:
        """Decide by `state`."""
        self._state = state

    def reject_reason(self, request: RequestState) -> RejectReason | None:
        """Return why a new request is rejected, or None; set the utilization limit of its servers."""
        state = self._state
        connections = len(state.requests)
        over_quota = state.tenant_quotas.is_reached(
            request.request.tenant, connections, state.reported_connections, state.settings.balancer_count
        )
        request.utilization_limit = MAX_UTILIZATION_OVER_QUOTA if over_quota else MAX_UTILIZATION
        factor = OVER_QUOTA_SHEDDING_FACTOR if over_quota else 1
        overload = SHEDDING_SLOPE * state.fleet_pool.slow_fraction * factor - 1
        draw = state.random.random()
        if draw < overload:
            return RejectReason.OVER_QUOTA if over_quota else RejectReason.OVERLOAD
        if draw < self._retry_storm_probability(request):
            return RejectReason.RETRY_STORM
        return None

    def _retry_storm_probability(self, request: RequestState) -> float:
        state = self._state
        by_losses = state.many_balancers_weight * state.lost_connections / (1 + state.lost_connections)
        by_shortage = SHORTAGE_REJECT_FRACTION * state.shortage.missing_fraction
        return request.request.reconnecting * max(by_losses, by_shortage)
