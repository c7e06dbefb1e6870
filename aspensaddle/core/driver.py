"""Driver of one `Balancer`: owns it, its clock and its timers, passes it events and carries out its actions.

A front end reports events by request id. An action goes to the `RequestHandler` of its request or to the
`ProcessServices`. All calls come from one thread. A handler or service must not call the driver from within a call;
it records the call and acts on it later. Times are in seconds, loads in standard core seconds per second.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from aspensaddle.core.actions import (
    Action,
    CheckHealth,
    Fail,
    Reject,
    RejectReason,
    RequestAction,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from aspensaddle.core.active_request import ActiveRequest
from aspensaddle.core.balancer import Balancer
from aspensaddle.core.clock import unix_clock
from aspensaddle.core.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionLoadReported,
    Endpoint,
    EndpointListConfirmed,
    EndpointsChanged,
    EndpointUpdateScope,
    Event,
    HealthCheckCompleted,
    LoadReport,
    Outcome,
    Request,
    ServerLatencyReported,
    Started,
    TimerFired,
)
from aspensaddle.core.executed_requests import ExecutedRequests
from aspensaddle.core.protocols import ProcessServices, RequestHandler
from aspensaddle.core.ready_servers import ReadyServers
from aspensaddle.core.retry_after import shutdown_retry_after
from aspensaddle.core.server_snapshot import ServerSnapshot, snapshot_servers
from aspensaddle.core.settings import Settings
from aspensaddle.core.slow_responses import SlowResponseDetector
from aspensaddle.core.timers import TimerQueue

DEADLINE_TOLERANCE_SECONDS = 0.001  # an attempt that ends this shortly before its deadline counts as ended at it


class Driver:
    """Connects one `Balancer` to front ends, discovery and the process.

    Attributes:
        executed: Which requests may have been executed, of all front ends.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        services: ProcessServices,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """Create the balancer. `seed` initializes its random draws; `clock` returns Unix time in seconds."""
        self.settings = settings
        self.services = services
        self.balancer = Balancer(settings, seed)
        self._clock = clock or unix_clock()
        self._last_now = 0.0
        self._timers = TimerQueue()
        self._requests: dict[str, ActiveRequest] = {}
        self.executed = ExecutedRequests()
        self._ready_servers = ReadyServers()
        self._attempts_end_at = float("inf")
        self._slow_responses = SlowResponseDetector(settings)

    def configure(self, settings: Settings) -> None:
        """Replace the settings. Requests, connections and measurements are kept."""
        self.settings = settings
        self.balancer.configure(settings)
        self._slow_responses.configure(settings)

    # ------------------------------------------------------------ time

    def now(self) -> float:
        """Return the time, which never goes backwards."""
        self._last_now = max(self._last_now, self._clock())
        return self._last_now

    def next_timer(self) -> float | None:
        """Return the seconds until the next timer is due, or None without timers."""
        due_at = self._timers.next_due_at()
        return None if due_at is None else max(0.0, due_at - self.now())

    def run_timers(self) -> None:
        """Fire the timers that are due."""
        for timer in self._timers.pop_due(self.now()):
            self._handle(TimerFired(timer))

    # ------------------------------------------------------------ endpoint list

    def start(self, cached: Iterable[Endpoint]) -> None:
        """Start the balancer with the endpoint list from before the restart, which may be outdated."""
        self._handle(Started())
        self.update_endpoints(EndpointUpdateScope.CACHED, tuple(cached))

    def update_endpoints(self, scope: EndpointUpdateScope, endpoints: tuple[Endpoint, ...] = ()) -> None:
        """Apply an update of the endpoint list."""
        self._ready_servers.apply(scope, endpoints)
        self._handle(EndpointsChanged(scope, endpoints))

    def endpoint_list_confirmed(self) -> None:
        """Record that the list is current, or that the discovery service cannot be reached."""
        self._handle(EndpointListConfirmed())

    # ------------------------------------------------------------ requests

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request is in progress or its connection is open."""
        return request_id in self._requests

    def submit(self, handler: RequestHandler, request: Request) -> None:
        """Place a request. Its id must not be in use. One that must not be executed again fails."""
        now = self.now()
        if self.executed.forbids(request.repetition_id, self.settings.classes[request.class_index], now):
            handler.handle_action(Fail(request.request_id))
            return
        self._requests[request.request_id] = ActiveRequest(handler, request, now + request.time_left)
        self._handle(request, now)

    def may_start_attempt(self, request_id: str) -> bool:
        """Return whether the current attempt may send its first byte, which the front end then does at once.

        Every front end makes this check. While the connection to the selected server was being opened, the server may
        have started to drain, the client may have disconnected, the process may have begun to shut down, and the
        deduplication window or the deadline may have passed.
        """
        active = self._requests.get(request_id)
        now = self.now()
        if active is None or not self.is_ready(active.server) or not self.balancer.is_confirmed(now, active.server):
            return False
        if now >= min(active.deadline, self._attempts_end_at):
            return False
        if active.possibly_executed_at is not None:
            request_class = self.settings.classes[active.request.class_index]
            if not request_class.allows_retry_after(now - active.possibly_executed_at):
                return False
        active.first_byte_sent = active.handler.client_is_connected()
        if active.first_byte_sent:
            request_class = self.settings.classes[active.request.class_index]
            active.is_recorded |= self.executed.record(active.request.repetition_id, request_class, now)
        return active.first_byte_sent

    def is_ready(self, server: int) -> bool:
        """Return whether a server is listed and not draining."""
        return server in self._ready_servers

    def may_start_adoption(self, handler: RequestHandler, server: int) -> bool:
        """Return whether an attempt to adopt a connection may send its first byte, which is then done at once.

        The server's state need not be confirmed: the connection is not new to it, and no other server can take it.
        """
        if self.now() >= self._attempts_end_at or not self.is_ready(server):
            return False
        return handler.client_is_connected()

    def stop_attempts_after(self, seconds: float) -> None:
        """Start no attempt later than `seconds` from now, because the process is shutting down."""
        self._attempts_end_at = min(self._attempts_end_at, self.now() + seconds)

    def reject_on_shutdown(self, request_id: str) -> None:
        """Give the final answer to a request that this process can no longer serve.

        The request is rejected if it was not executed or if its class allows the client to retry; otherwise it fails.
        """
        active = self._requests.pop(request_id, None)
        if active is None:
            return
        possibly_executed = active.first_byte_sent or active.possibly_executed_at is not None
        may_retry = not possibly_executed or self.settings.classes[active.request.class_index].client_may_retry
        self._handle(ClientDisconnected(request_id))
        if not may_retry:
            active.handler.handle_action(Fail(request_id))
            return
        retry_after = shutdown_retry_after(self.settings.limits)
        active.handler.handle_action(Reject(request_id, retry_after, RejectReason.SHUTTING_DOWN))

    def connection_adopted(self, handler: RequestHandler, request: Request, server: int) -> None:
        """Adopt a connection that was open before this process started."""
        self._requests[request.request_id] = ActiveRequest(handler, request, float("inf"), 0, server)
        self._handle(ConnectionAdopted(request, server))

    def connection_established(self, request_id: str) -> None:
        """Report that the current attempt established its connection."""
        if active := self._requests.get(request_id):
            now = self.now()
            latency = now - active.attempt_started_at
            self._handle(ConnectionEstablished(request_id, active.attempt, active.server, latency), now)

    def attempt_ended(self, request_id: str, outcome: Outcome, finished: bool = False) -> None:
        """Report that the current attempt, or the connection that it established, ended."""
        active = self._requests.get(request_id)
        if active is None:
            return
        now = self.now()
        if now < active.deadline <= now + DEADLINE_TOLERANCE_SECONDS:
            # A timeout that fires slightly early must not lead to another attempt with almost no time left.
            now = self._last_now = active.deadline
        if not outcome.known_not_executed and active.possibly_executed_at is None:
            active.possibly_executed_at = active.attempt_started_at
        if active.possibly_executed_at is None and active.is_recorded:
            self.executed.discard(active.request.repetition_id)
        active.first_byte_sent = False
        if finished:
            del self._requests[request_id]
        latency = now - active.attempt_started_at
        self._handle(AttemptEnded(request_id, active.attempt, active.server, outcome, latency, finished), now)

    def client_disconnected(self, request_id: str) -> None:
        """Report that the client has disconnected and needs no answer."""
        if self._requests.pop(request_id, None):
            self._handle(ClientDisconnected(request_id))

    # ------------------------------------------------------------ measurements

    def connection_load_reported(self, request_id: str, load: float) -> None:
        """Report the load of an open connection."""
        if active := self._requests.get(request_id):
            self._handle(ConnectionLoadReported(request_id, active.server, load))

    def server_latency_reported(self, request_id: str, latency: float) -> None:
        """Report the message latency that the server of a connection states."""
        if active := self._requests.get(request_id):
            self._handle(ServerLatencyReported(request_id, active.server, latency))

    def health_check_completed(
        self, server: int, outcome: Outcome, latency: float, report: LoadReport | None = None
    ) -> None:
        """Report the result of a health check."""
        self._handle(HealthCheckCompleted(server, outcome, latency, report))

    def record_event_loop_lag(self, lag: float) -> None:
        """Record that the event loop ran something `lag` seconds late."""
        self._slow_responses.record_event_loop_lag(lag)

    def record_response_delay(self, request_id: str, delay: float) -> None:
        """Record that a response on a connection took `delay` seconds, or has been awaited for that time."""
        active = self._requests.get(request_id)
        if active is None:
            return
        now = self.now()
        latency = self._slow_responses.record(now, active.server, delay)
        if latency is not None:
            self._handle(ServerLatencyReported(request_id, active.server, latency), now)

    def server_snapshots(self) -> dict[int, ServerSnapshot]:
        """Return a snapshot of each server, by server number."""
        return snapshot_servers(self.balancer.servers.values(), self.now())

    # ------------------------------------------------------------ events and actions

    def _handle(self, event: Event, now: float | None = None) -> None:
        now = self.now() if now is None else now
        for action in self.balancer.handle(now, event):
            self._carry_out(now, action)

    def _carry_out(self, now: float, action: Action) -> None:
        match action:
            case SetTimer():
                self._timers.set(now + action.delay, action.timer)
                self.services.timers_changed()
            case WatchEndpoints():
                self.services.watch_endpoints()
            case CheckHealth():
                self.services.check_health(action.server)
            case _:
                self._carry_out_for_request(now, action)

    def _carry_out_for_request(self, now: float, action: RequestAction) -> None:
        active = self._requests.get(action.request_id)
        if active is None:
            return
        if isinstance(action, StartAttempt):
            if now >= self._attempts_end_at:
                self.reject_on_shutdown(action.request_id)
                return
            active.attempt += 1
            active.server = action.server
            active.attempt_started_at = now
        elif isinstance(action, Reject | Fail):
            del self._requests[action.request_id]
        active.handler.handle_action(action)
