"""Admission control: which requests are rejected before any attempt, to shed load.

A request is rejected with a probability that grows with the fraction of slow servers; for a tenant over its quota,
rejections start at a smaller fraction. A reconnecting client is rejected with a probability that grows with the
connections lost recently and with the capacity shortage: if all clients reconnected at once, they would overload the
remaining servers.
"""

from __future__ import annotations

from aspensaddle.core.actions import RejectReason
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.request_state import RequestState

SHEDDING_SLOPE = 6.0  # rejections start when 1/6 of the servers are slow; at 2/6 every request is rejected
OVER_QUOTA_SHEDDING_FACTOR = 2  # multiplies the fraction of slow servers for a tenant over its quota
SHORTAGE_REJECT_FRACTION = 0.6  # rejected fraction of reconnecting clients when all spare capacity is missing
MAX_UTILIZATION = 0.85  # servers above this fraction of their reported capacity get no new connections
MAX_UTILIZATION_OVER_QUOTA = 0.65  # the same limit for connections of a tenant over its quota


class Admission:
    """Decides whether a new request is admitted or rejected."""

    def __init__(self, state: BalancerState) -> None:
        """Use the settings, pools, quotas and random generator of `state`."""
        self._state = state

    def reject_reason(self, request: RequestState) -> RejectReason | None:
        """Return why a new request is rejected, or None if it is admitted.

        Also sets the utilization above which servers are not selected for the request.
        """
        state = self._state
        connections = len(state.requests)
        over_quota = state.tenant_quotas.is_reached(
            request.request.tenant, connections, state.reported_connections, state.settings.balancer_count
        )
        request.utilization_limit = MAX_UTILIZATION_OVER_QUOTA if over_quota else MAX_UTILIZATION
        shedding_factor = OVER_QUOTA_SHEDDING_FACTOR if over_quota else 1
        overload_probability = SHEDDING_SLOPE * state.fleet_pool.slow_fraction * shedding_factor - 1
        draw = state.random.random()
        if draw < overload_probability:
            return RejectReason.OVER_QUOTA if over_quota else RejectReason.OVERLOAD
        if draw < self._retry_storm_probability(request):
            return RejectReason.RETRY_STORM
        return None

    def _retry_storm_probability(self, request: RequestState) -> float:
        state = self._state
        lost_connections_probability = (
            state.many_balancers_weight * state.lost_connections / (1 + state.lost_connections)
        )
        shortage_probability = SHORTAGE_REJECT_FRACTION * state.shortage.missing_fraction
        return request.request.reconnecting * max(lost_connections_probability, shortage_probability)
