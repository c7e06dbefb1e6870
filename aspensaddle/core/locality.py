"""Locality: whether the servers of the local zone are preferred, to save connections across zones."""

from __future__ import annotations

from aspensaddle.core.balancer_state import USUAL_BALANCER_COUNT, BalancerState

MAX_LOCAL_EXCESS = 1.25  # of the fleet's load per share, up to which the local zone may be loaded
MAX_LOCAL_LOAD_PER_CORE = 0.35  # of a core, for each listed core


def prefers_local_zone(state: BalancerState) -> bool:
    """Return whether the local zone comes first.

    It does not where a small zone would be overloaded by its own clients, nor from some load on: clients of a
    balancer that has gone then find the capacity of the whole fleet.
    """
    local = state.local_pool
    listed_share = local.share * state.ready_count  # by listed cores, but for cuts
    other_balancers = max(1.0, state.settings.balancer_count / USUAL_BALANCER_COUNT / state.balancers_in_load)
    busy = state.load_samples and local.load * other_balancers > MAX_LOCAL_LOAD_PER_CORE * listed_share
    if local.available_count <= 0 or busy:
        return False
    fleet_load = state.fleet_pool.load_per_share()
    return local.load_per_share() <= MAX_LOCAL_EXCESS * state.settings.zone_count * fleet_load
