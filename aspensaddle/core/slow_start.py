"""Slow start: how much of what comes may go to a server that is warming up.

The service rules bound what all balancers together send to such a server. No balancer sees the others, so each lets a
random part of its requests through, small enough that the sum over all balancers keeps the bound.
"""

from __future__ import annotations

from aspensaddle.core.actions import RejectReason
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.server_state import Server

POPULARITY_FACTOR = 3.0  # safety on the mean fraction of a server: group shares are estimated from few requests

PRIOR_REQUESTS_OF_OTHER_GROUPS = 2
MIN_REQUESTS_PER_SECOND = 0.1  # over the overload window in seconds: what is always allowed
MIN_ALLOWED_LOAD_RATE = 1e-9  # keeps divisions defined
ATTEMPT_INTERVAL_FACTOR = 2  # with few balancers, half of what the rules allow


class SlowStart:
    """The limit on attempts at servers that are warming up."""

    def __init__(self, state: BalancerState) -> None:
        """Read rates, loads and settings from `state`."""
        self._state = state

    def holds_back(self, now: float, request: RequestState, server: Server) -> bool:
        """Return whether the limit keeps an attempt from a server, and note that as the reason in the request.

        One random number per request serves for all servers that it meets.
        """
        warmth = self._state.capacity_fraction(now, server)
        if warmth >= 1.0:
            return False
        allowed = self._allowed_load_rate(server, warmth)
        request.slow_start_draw = request.slow_start_draw or self._state.random.random()
        too_soon = now < server.last_attempt_at + self._min_attempt_interval(request, allowed)
        held_back = too_soon or request.slow_start_draw * self._offered_load_rate(request) >= allowed
        if held_back:
            request.no_server_reason = RejectReason.SLOW_START_LIMIT
        return held_back

    def _allowed_load_rate(self, server: Server, warmth: float) -> float:
        """Return the new load per second that all balancers together may send to the server."""
        state = self._state
        rules = state.rules
        listed = server.weight if state.load_samples and state.settings.weights_are_sizes else 0.0
        typical = state.typical_server_load * state.settings.balancer_count / state.balancers_in_load
        capacity = state.reported_capacity or listed or typical
        allowed = rules.overload_multiple * capacity * warmth / rules.slow_start_duration
        minimum = MIN_REQUESTS_PER_SECOND * state.mean_load / max(1.0, rules.overload_window)
        return max(allowed, minimum, MIN_ALLOWED_LOAD_RATE)

    def _offered_load_rate(self, request: RequestState) -> float:
        """Return the load per second that all balancers together would send to the server without a limit."""
        state = self._state
        return self._load_of_one_request_each() * state.request_rate.observed() * self._offered_fraction(request)

    def _offered_fraction(self, request: RequestState) -> float:
        """Return the part of all requests that would go to one server that is warming up."""
        state = self._state
        group = request.request.session_group
        if request.preferred_server_count:
            of_group = state.session_groups.request_share(group, PRIOR_REQUESTS_OF_OTHER_GROUPS)
            return of_group / request.preferred_server_count + 1 / max(1, state.ready_count)
        candidates = state.ready_count / max(1, state.ready_count - len(state.requests))
        even = min(candidates / max(1, state.ready_count), 1 / max(1, state.warming_up_count))
        return POPULARITY_FACTOR * max(even, state.session_groups.request_share(group, 0))

    def _min_attempt_interval(self, request: RequestState, allowed: float) -> float:
        """Return the seconds between two attempts of this balancer at one server that is warming up."""
        if request.preferred_server_count:
            return self._state.mean_load / allowed
        return ATTEMPT_INTERVAL_FACTOR * self._load_of_one_request_each() / allowed

    def _load_of_one_request_each(self) -> float:
        return self._state.settings.balancer_count * self._state.mean_load
