"""The balancer: handles events by applying its rules in order, and returns the actions that follow.

`docs/architecture.md` lists the rules with their modules and their order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aspensaddle.core.actions import Action, Fail, Reject, RejectReason, SetTimer, StartAttempt, WatchEndpoints
from aspensaddle.core.admission import Admission
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionLoadReported,
    EndpointListConfirmed,
    EndpointsChanged,
    EndpointUpdateScope,
    Event,
    HealthCheckCompleted,
    Outcome,
    Request,
    ServerLatencyReported,
    Started,
    TimerFired,
)
from aspensaddle.core.health_checks import HealthChecks
from aspensaddle.core.latency_outliers import LatencyOutliers
from aspensaddle.core.load_accounting import LoadAccounting
from aspensaddle.core.membership import WATCH_TIMER, Membership
from aspensaddle.core.migration import Migration
from aspensaddle.core.outlier_ejection import NEUTRAL_OUTCOMES, OutlierEjection
from aspensaddle.core.passive_measurement import TICK_SECONDS, PassiveMeasurement
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.retry_after import rejection_retry_after
from aspensaddle.core.retry_policy import attempts_exhausted, give_up_reason
from aspensaddle.core.server_selection import ServerSelection
from aspensaddle.core.server_state import Server
from aspensaddle.core.settings import Settings
from aspensaddle.core.slow_start import SlowStart
from aspensaddle.core.weighted_rotation import WeightedRotation

TICK_TIMER = "tick"
WARM_UP_REFRESH_TICKS = 2  # updating the shares of warming servers only every second tick saves CPU time


class Balancer:
    """The load balancing decisions of one balancer, without I/O and without a clock of its own.

    `handle` takes the time in seconds and an event and returns the actions to carry out, in order. Events for unknown
    requests and servers are ignored.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create a balancer without servers and requests. The same seed and events give the same actions."""
        self.state = BalancerState(settings, seed)
        self.rotation = WeightedRotation(self.state)
        self.passive_measurement = PassiveMeasurement(self.state, self.rotation)
        self.accounting = LoadAccounting(self.state, self.rotation)
        self.membership = Membership(self.state, self.rotation)
        self.outlier_ejection = OutlierEjection(self.state, self.rotation)
        self.latency_outliers = LatencyOutliers(self.state, self.rotation, self.passive_measurement)
        self.health_checks = HealthChecks(self.state, self.accounting)
        self.admission = Admission(self.state)
        self.selection = ServerSelection(self.state, self.rotation, SlowStart(self.state))
        self.migration = Migration(self.state)
        self._handlers: dict[type, Callable[[float, Any], list[Action]]] = {
            Started: self._started,
            TimerFired: self._timer_fired,
            EndpointsChanged: self._endpoints_changed,
            EndpointListConfirmed: self._endpoint_list_confirmed,
            Request: self._request,
            ConnectionAdopted: self._connection_adopted,
            ConnectionEstablished: self._connection_established,
            AttemptEnded: self._attempt_ended,
            ClientDisconnected: self._client_disconnected,
            ConnectionLoadReported: self._connection_load_reported,
            ServerLatencyReported: self._server_latency_reported,
            HealthCheckCompleted: self._health_check_completed,
        }

    @property
    def servers(self) -> dict[int, Server]:
        """The servers of the endpoint list, by number."""
        return self.state.servers

    @property
    def requests(self) -> dict[str, RequestState]:
        """The requests in progress and the open connections, by request id."""
        return self.state.requests

    def is_confirmed(self, now: float, server: int) -> bool:
        """Return whether the state of a listed server is known recently enough for an attempt."""
        record = self.state.servers.get(server)
        return record is not None and self.state.is_confirmed(now, record)

    def configure(self, settings: Settings) -> None:
        """Replace the settings. The indexes of request classes and zones must keep their meaning."""
        self.state.configure(settings)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Return the actions that follow from an event at the time `now`."""
        handler = self._handlers.get(type(event))
        return handler(now, event) if handler else []

    # ------------------------------------------------------------ timers and endpoint list

    def _started(self, now: float, event: Started) -> list[Action]:
        # The first tick is at a random time: balancers that tick together would cut the same server's ratio together.
        tick = SetTimer(TICK_TIMER, self.state.random.uniform(0.0, TICK_SECONDS))
        # Always created: it draws a random number, and a seed must give the same sequence with any settings.
        watch = self.membership.first_watch()
        return [tick, watch] if self.state.settings.polls_discovery else [tick]

    def _timer_fired(self, now: float, event: TimerFired) -> list[Action]:
        if event.timer == TICK_TIMER:
            return [SetTimer(TICK_TIMER, TICK_SECONDS), *self._tick(now)]
        return [WatchEndpoints()] if event.timer == WATCH_TIMER else []

    def _tick(self, now: float) -> list[Action]:
        """Run the periodic rules. Their order matters: the refresh returns readmitted servers to the rotation."""
        self.passive_measurement.cut_ratio_of_worst_server(now)
        self.outlier_ejection.readmit_recovered(now)
        self.latency_outliers.clear_stale_marks(now)
        self.rotation.refresh_time_dependent_servers(
            now, include_warming_up=bool(self.passive_measurement.slot % WARM_UP_REFRESH_TICKS)
        )
        self.latency_outliers.update_statistics(now)
        self.outlier_ejection.decay_lost_connections()
        self.state.request_rate.tick()
        self.passive_measurement.advance_slot()
        self.accounting.update_typical_load()
        # A changed list is applied at once; pending ratio increases wait until the measurement window ends.
        if self.rotation.needs_rebuild or (
            not self.passive_measurement.slot and self.rotation.pending_ratio_increase
        ):
            self.rotation.rebuild(now, self.accounting.compute_load)
        return [
            *self.health_checks.start_due_checks(now),
            *self.migration.migrate_off_most_loaded_server(),
            *self.migration.migrate_heavy_connections(now),
        ]

    def _endpoints_changed(self, now: float, event: EndpointsChanged) -> list[Action]:
        if event.scope is EndpointUpdateScope.FAILED:
            return [self.membership.retry_watch()]
        if self.membership.update(now, event):
            self.latency_outliers.update_statistics(now)
        return [*self.health_checks.start_due_checks(now)]

    def _endpoint_list_confirmed(self, now: float, event: EndpointListConfirmed) -> list[Action]:
        self.state.endpoint_confirmation.confirm_list(now)
        return []

    # ------------------------------------------------------------ requests

    def _request(self, now: float, event: Request) -> list[Action]:
        state = self.state
        if event.request_id in state.requests or not 0 <= event.class_index < len(state.settings.classes):
            return []
        request = RequestState(event, now + event.time_left)
        state.requests[event.request_id] = request
        if request.load is not None:
            self.accounting.add_load_sample(now, request.load)
        state.session_groups.record_request(event.session_group)
        reason = self.admission.reject_reason(request)
        if reason is not None:
            return self._give_up(request, reason)
        state.request_rate.count()
        return self._attempt(now, request)

    def _attempt(self, now: float, request: RequestState) -> list[Action]:
        """Start the next attempt, or give up."""
        limits = self.state.limits
        time_left = request.deadline - now
        request.no_server_reason = RejectReason.NO_AVAILABLE_SERVER
        request.preferred_server_count = self._preferred_server_count(request)
        server = None
        if time_left > 0 and not attempts_exhausted(request, limits):
            server = self.selection.select(now, request)
        if server is None:
            return self._give_up(request, give_up_reason(request, time_left, limits))
        request.attempts += 1
        request.attempt_started_at = now
        request.server = server
        request.tried_servers = [*request.tried_servers, server.id]
        server.last_attempt_at = now
        self.outlier_ejection.attempt_started(now, server, time_left)
        self.accounting.add_request(server, request)
        return [StartAttempt(request.request.request_id, server.id, time_left)]

    def _preferred_server_count(self, request: RequestState) -> int:
        """Return on how many servers the list alone keeps a session group; 0 unless there are few connections."""
        group = request.request.session_group
        if group is None or not self.state.has_few_connections:
            return 0
        return self.state.session_groups.preferred_server_count(group, self.state.ready_count)

    def _give_up(self, request: RequestState, reason: RejectReason) -> list[Action]:
        """Give the final answer to a request that was not placed: reject it if the client may retry, else fail it."""
        request_id = request.request.request_id
        del self.state.requests[request_id]
        request_class = self.state.settings.classes[request.request.class_index]
        if request.possibly_executed_on is not None and not request_class.client_may_retry:
            return [Fail(request_id)]
        return [Reject(request_id, rejection_retry_after(self.state.limits, self.state.random), reason)]

    def _connection_established(self, now: float, event: ConnectionEstablished) -> list[Action]:
        request = self.state.requests.get(event.request_id)
        if request is None or request.server is None or request.is_established:
            return []
        if request.attempts != event.attempt + 1:
            return []
        self._mark_established(now, request, request.server, event.latency)
        request.server.connections[event.request_id] = request
        return []

    def _mark_established(self, now: float, request: RequestState, server: Server, latency: float) -> None:
        request.is_established = True
        request.established_at = now
        server.accepted_at = request.attempt_started_at
        self.state.endpoint_confirmation.attempt_accepted(now, server, self.state.rules.drain_grace)
        self.outlier_ejection.attempt_accepted(now, server)
        objective = self.state.settings.classes[request.request.class_index].latency_objective
        self.passive_measurement.count(server, accepted=latency <= objective)

    def _attempt_ended(self, now: float, event: AttemptEnded) -> list[Action]:
        request = self.state.requests.get(event.request_id)
        if request is None or request.server is None or request.attempts != event.attempt + 1:
            return []
        server = request.server
        self._release(request, server)
        if event.outcome is Outcome.OK and not request.is_established:
            self._mark_established(now, request, server, event.latency)
        elif event.outcome not in NEUTRAL_OUTCOMES:
            self.passive_measurement.count(server, accepted=False)
            self.outlier_ejection.attempt_failed(now, request, server, event.outcome)
        if event.finished or request.is_established:
            del self.state.requests[event.request_id]
            return []
        if not event.outcome.known_not_executed and request.possibly_executed_on is None:
            request.possibly_executed_on = server
            request.possibly_executed_at = request.attempt_started_at
        return self._attempt(now, request)

    def _release(self, request: RequestState, server: Server) -> None:
        self.accounting.remove_request(server, request)
        server.connections.pop(request.request.request_id, None)
        request.server = None

    def _connection_adopted(self, now: float, event: ConnectionAdopted) -> list[Action]:
        server = self.state.servers.get(event.server)
        request_id = event.request.request_id
        if server is None or request_id in self.state.requests:
            return []
        request = RequestState(event.request, float("inf"))
        self.state.requests[request_id] = request
        server.connections[request_id] = request
        request.attempts = 1
        request.server = server
        request.is_established = True
        self.state.session_groups.record_request(event.request.session_group)
        self.accounting.add_request(server, request)
        return []

    def _client_disconnected(self, now: float, event: ClientDisconnected) -> list[Action]:
        request = self.state.requests.pop(event.request_id, None)
        if request is not None and request.server is not None:
            self._release(request, request.server)
        return []

    # ------------------------------------------------------------ reports

    def _connection_load_reported(self, now: float, event: ConnectionLoadReported) -> list[Action]:
        request = self.state.requests.get(event.request_id)
        if request is None or request.server is None:
            return []
        if request.load is None:
            self.accounting.add_load_sample(now, event.load)
        self.accounting.remove_request(request.server, request)
        request.load = event.load
        self.accounting.add_request(request.server, request)
        return [*self.migration.migrate_if_heavy(request.server, event.request_id, event.load)]

    def _server_latency_reported(self, now: float, event: ServerLatencyReported) -> list[Action]:
        server = self.state.servers.get(event.server)
        if server is None or not self.latency_outliers.record_report(now, server, event.latency):
            return []
        return [*self.migration.migrate_off_slow_server(server, event.latency)]

    def _health_check_completed(self, now: float, event: HealthCheckCompleted) -> list[Action]:
        server = self.state.servers.get(event.server)
        if server is None or not self.health_checks.record_report(now, server, event.report):
            return []
        return [*self.migration.migrate_off_overloaded_server(server)]
