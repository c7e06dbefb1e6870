"""Locality: whether the servers of the local zone are preferred, to save connections across zones."""

from __future__ import annotations

from aspensaddle.core.balancer_state import USUAL_BALANCER_COUNT, BalancerState

MAX_LOCAL_LOAD_RATIO = (
    1.25  # to an even part of the load per share of all servers, up to which the local zone is loaded
)
MAX_LOCAL_LOAD_PER_CORE = 0.35  # load in cores for each listed core


def prefers_local_zone(state: BalancerState) -> bool:
    """Return whether the local zone comes first.

    It does not where a small zone would be overloaded by its own clients, nor from some load on: if a
    balancer fails, its clients can then use the whole fleet.
    """
    local = state.local_pool
    listed_share = local.share * state.ready_count  # by listed cores, but for cuts
    load_scale = max(1.0, state.settings.balancer_count / USUAL_BALANCER_COUNT / state.balancers_in_load)
    busy = state.load_samples and local.load * load_scale > MAX_LOCAL_LOAD_PER_CORE * listed_share
    if not local.available_count or busy:
        return False
    fleet_load = state.fleet_pool.load_per_share()
    return local.load_per_share() <= MAX_LOCAL_LOAD_RATIO * state.settings.zone_count * fleet_load
