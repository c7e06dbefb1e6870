"""Locality: whether servers of the local zone are preferred, to avoid connections across zones."""

from __future__ import annotations

from aspensaddle.core.balancer_state import USUAL_BALANCER_COUNT, BalancerState

# The highest load per share of the local zone, relative to that of the fleet times the number of zones.
MAX_LOCAL_LOAD_RATIO = 1.25
# The highest load of the local zone, in cores for each listed core.
MAX_LOCAL_LOAD_PER_CORE = 0.35


def prefers_local_zone(state: BalancerState) -> bool:
    """Return whether servers of the local zone are tried before those of the other zones.

    The local zone is not preferred if that would overload a small zone with its own clients, nor above a load per
    core, so that the clients of a balancer that fails are spread over the whole fleet.
    """
    local = state.local_pool
    # The ratios of the ready servers add up to 1, so this equals the listed cores, except for ratios that passive
    # measurement has cut.
    listed_cores = local.share * state.ready_count
    load_scale = max(1.0, state.settings.balancer_count / USUAL_BALANCER_COUNT / state.balancers_in_load)
    is_busy = state.load_samples and local.load * load_scale > MAX_LOCAL_LOAD_PER_CORE * listed_cores
    if not local.available_count or is_busy:
        return False
    fleet_load = state.fleet_pool.load_per_share()
    return local.load_per_share() <= MAX_LOCAL_LOAD_RATIO * state.settings.zone_count * fleet_load
