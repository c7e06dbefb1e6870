"""Slow start: limits the new load that a server gets while it is warming up.

The service rules limit what all balancers together send to such a server. No balancer sees the requests of the
others, so each admits a random part of its own, small enough that all of them together stay within the limit.
"""

from __future__ import annotations

from aspensaddle.core.actions import RejectReason
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.server_state import Server

# Safety factor on the estimated part of all requests that would go to one server: the shares of session groups are
# estimated from few requests.
OFFERED_FRACTION_SAFETY_FACTOR = 3.0
OTHER_GROUPS_SAFETY_FACTOR = 1.5  # the same for the shares of other groups that prefer the server
PRIOR_REQUESTS_OF_OTHER_GROUPS = 2  # assumed besides those counted, which damps shares of few requests
MIN_REQUESTS_PER_OVERLOAD_WINDOW = 0.1  # always allowed, counted as requests of mean load
MIN_ALLOWED_LOAD_RATE = 1e-9  # avoids a division by zero
# With few balancers, each uses at most half of its even part of what the rules allow.
ATTEMPT_INTERVAL_FACTOR = 2


class SlowStart:
    """The limit on attempts at servers that are warming up."""

    def __init__(self, state: BalancerState) -> None:
        """Read rates, loads and settings from `state`."""
        self._state = state

    def exceeds_limit(self, now: float, request: RequestState, server: Server) -> bool:
        """Return whether an attempt at a server would exceed the limit; if so, record that reason in the request.

        One random number is drawn per request and compared with the limits of all servers that are considered for it.
        """
        capacity_fraction = self._state.capacity_fraction(now, server)
        if capacity_fraction >= 1.0:
            return False
        allowed = self._allowed_load_rate(server.weight, capacity_fraction)
        too_soon = now < server.last_attempt_at + self._min_attempt_interval(request, allowed)
        is_over_limit = self._is_drawn_over(allowed, request, self._offered_fraction(request, server)) or too_soon
        if is_over_limit:
            request.no_server_reason = RejectReason.SLOW_START_LIMIT
        return is_over_limit

    def exceeds_every_limit(self, now: float, request: RequestState) -> bool:
        """Return whether an attempt at any server would exceed its limit; if so, record that reason in the request.

        This takes no search. It returns False wherever a server is warm, or an attempt at one might be allowed.
        """
        state = self._state
        if not 0 < state.ready_count <= state.warming_up_count:
            return False
        capacity_fraction = state.rules.capacity_fraction(now - state.earliest_warming_start)
        if capacity_fraction >= 1.0:
            return False
        most_allowed = self._allowed_load_rate(state.largest_warming_weight, capacity_fraction)
        is_over_every_limit = self._is_drawn_over(most_allowed, request, self._least_offered_fraction(request))
        if is_over_every_limit:
            request.no_server_reason = RejectReason.SLOW_START_LIMIT
        return is_over_every_limit

    def _is_drawn_over(self, allowed: float, request: RequestState, offered_fraction: float) -> bool:
        """Return whether the request is not of the random part that a limit allows, in load per second."""
        request.slow_start_draw = request.slow_start_draw or self._state.random.random()
        return request.slow_start_draw * offered_fraction * self._offered_load_rate() >= allowed

    def _allowed_load_rate(self, weight: float, capacity_fraction: float) -> float:
        """Return the new load per second that all balancers together may send to a server of a listed weight."""
        state = self._state
        rules = state.rules
        listed_capacity = weight if state.load_samples and state.settings.weights_are_sizes else 0.0
        typical_capacity = state.typical_server_load * state.settings.balancer_count / state.balancers_in_load
        capacity = state.reported_capacity or listed_capacity or typical_capacity
        allowed = rules.overload_multiple * capacity * capacity_fraction / rules.slow_start_duration
        minimum = MIN_REQUESTS_PER_OVERLOAD_WINDOW * state.mean_load / max(1.0, rules.overload_window)
        return max(allowed, minimum, MIN_ALLOWED_LOAD_RATE)

    def _offered_load_rate(self) -> float:
        """Return the load per second that all balancers together are sent."""
        return self._load_of_one_request_per_balancer() * self._state.request_rate.observed()

    def _offered_fraction(self, request: RequestState, server: Server) -> float:
        """Return the part of all requests that would go to a server that is warming up, without a limit."""
        least = self._least_offered_fraction(request)
        if not request.preferred_server_count:
            return least
        state = self._state
        share_of_groups = state.session_groups.request_share_of_server(
            server, state.servers.values(), state.ready_count, PRIOR_REQUESTS_OF_OTHER_GROUPS
        )
        share_of_others = max(0.0, share_of_groups - self._share_of_own_group(request))
        return least + OTHER_GROUPS_SAFETY_FACTOR * share_of_others

    def _least_offered_fraction(self, request: RequestState) -> float:
        """Return a lower bound of `_offered_fraction` for any server, which takes no search."""
        state = self._state
        if request.preferred_server_count:
            return self._share_of_own_group(request) + self._even_fraction()
        # Empty servers are chosen first, and at most `len(state.requests)` servers are not empty.
        ready_per_empty_server = state.ready_count / max(1, state.ready_count - len(state.requests))
        even_fraction = min(ready_per_empty_server / max(1, state.ready_count), 1 / max(1, state.warming_up_count))
        group_share = state.session_groups.request_share(request.request.session_group, 0)
        return OFFERED_FRACTION_SAFETY_FACTOR * max(even_fraction, group_share)

    def _share_of_own_group(self, request: RequestState) -> float:
        """Return the part of all requests that the request's own group sends to each server that it prefers."""
        group = request.request.session_group
        group_share = self._state.session_groups.request_share(group, PRIOR_REQUESTS_OF_OTHER_GROUPS)
        return group_share / request.preferred_server_count

    def _even_fraction(self) -> float:
        return 1 / max(1, self._state.ready_count)

    def _min_attempt_interval(self, request: RequestState, allowed: float) -> float:
        """Return the minimum seconds between two attempts of this balancer at one server that is warming up."""
        if request.preferred_server_count:
            return self._state.mean_load / allowed
        return ATTEMPT_INTERVAL_FACTOR * self._load_of_one_request_per_balancer() / allowed

    def _load_of_one_request_per_balancer(self) -> float:
        """Return the load if every balancer sent one request of mean load."""
        return self._state.settings.balancer_count * self._state.mean_load
