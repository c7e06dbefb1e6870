"""The driver: its clock, its timers, and how it passes events, actions and reports."""

from dataclasses import replace

import pytest
from helpers import SETTINGS, make_endpoint

from aspensaddle.core.actions import Fail, Migrate, Reject, RejectReason, StartAttempt
from aspensaddle.core.driver import Driver
from aspensaddle.core.events import (
    EndpointUpdateScope,
    Outcome,
    Request,
    ServerLatencyReported,
    ServerState,
    TimerFired,
)
from aspensaddle.core.settings import DeduplicationScope, Idempotency

IDEMPOTENT = SETTINGS.classes[0]
DEDUPLICATED = replace(IDEMPOTENT, idempotency=Idempotency.IDEMPOTENCY_KEY)
DEDUPLICATED_IN_ZONE = replace(DEDUPLICATED, deduplication_scope=DeduplicationScope.ZONE)
NOT_IDEMPOTENT = replace(IDEMPOTENT, idempotency=Idempotency.NOT_IDEMPOTENT)


class RecordingHandler:
    def __init__(self):
        self.actions, self.is_connected = [], True

    def handle_action(self, action):
        self.actions.append(action)

    def client_is_connected(self):
        return self.is_connected


class RecordingServices:
    def __init__(self):
        self.calls = []

    def watch_endpoints(self):
        self.calls.append("watch")

    def check_health(self, server):
        self.calls.append(("health check", server))

    def timers_changed(self):
        self.calls.append("timer")


class DriverHarness:
    def __init__(self, servers=2, settings=SETTINGS):
        self.time, self.services = 1e9, RecordingServices()
        self.driver = Driver(settings, 1, self.services, lambda: self.time)
        self.driver.start(make_endpoint(n) for n in range(1, servers + 1))
        self.events = []
        handle = self.driver.balancer.handle
        self.driver.balancer.handle = lambda now, event: (self.events.append((now, event)), handle(now, event))[1]

    def submit_request(self, request_id="r", time_left=2.0):
        handler = RecordingHandler()
        self.driver.submit(handler, Request(request_id, 0, time_left))
        return handler


def test_rejected_attempts_are_followed_by_others_until_exactly_one_rejection():
    harness = DriverHarness()
    handler = harness.submit_request()
    for _ in range(6):
        assert isinstance(handler.actions[-1], StartAttempt)
        harness.driver.attempt_ended("r", Outcome.REJECTED)
    assert handler.actions[-1].reason is RejectReason.ATTEMPTS_EXHAUSTED and "r" not in harness.driver
    harness.driver.attempt_ended("r", Outcome.REJECTED)
    harness.driver.client_disconnected("r")
    assert sum(isinstance(action, Reject) for action in handler.actions) == 1


def test_timeout_that_fires_slightly_early_counts_as_deadline_exceeded():
    harness = DriverHarness()
    handler = harness.submit_request(time_left=2.0)
    harness.time += 2.0 - 1e-4
    harness.driver.attempt_ended("r", Outcome.TIMED_OUT)
    assert handler.actions[-1].reason is RejectReason.DEADLINE_EXCEEDED  # no further attempt with almost no time left


def test_attempt_may_not_start_once_its_server_is_draining_or_unlisted():
    harness = DriverHarness()
    server = harness.submit_request().actions[0].server
    assert harness.driver.may_start_attempt("r")
    harness.driver.update_endpoints(
        EndpointUpdateScope.INCREMENTAL, (make_endpoint(server, state=ServerState.DRAINING),)
    )
    assert not harness.driver.may_start_attempt("r")
    harness.driver.update_endpoints(EndpointUpdateScope.COMPLETE, (make_endpoint(server),))
    assert harness.driver.may_start_attempt("r")
    harness.driver.update_endpoints(EndpointUpdateScope.COMPLETE, (make_endpoint(3 - server),))
    assert not harness.driver.may_start_attempt("r")


def test_attempt_may_not_start_after_client_disconnect_deadline_or_end_of_attempts():
    harness = DriverHarness()
    handler = harness.submit_request(time_left=2.0)
    handler.is_connected = False
    assert not harness.driver.may_start_attempt("r")
    handler.is_connected = True
    assert harness.driver.may_start_attempt("r") and not harness.driver.may_start_attempt("other")
    harness.time += 2.0
    assert not harness.driver.may_start_attempt("r")
    harness = DriverHarness()
    handler = harness.submit_request()
    harness.driver.stop_attempts_after(0.5)
    assert harness.driver.may_start_attempt("r")
    harness.time += 0.5
    assert not harness.driver.may_start_attempt("r")
    harness.driver.attempt_ended("r", Outcome.NOT_SENT)  # the balancer would try the other server
    assert handler.actions[-1].reason is RejectReason.SHUTTING_DOWN and "r" not in harness.driver
    assert harness.submit_request("s").actions[-1].reason is RejectReason.SHUTTING_DOWN


@pytest.mark.parametrize(
    ("request_class", "client_may_retry"),
    [(IDEMPOTENT, True), (DEDUPLICATED, True), (DEDUPLICATED_IN_ZONE, False), (NOT_IDEMPOTENT, False)],
)
def test_shutdown_rejects_a_request_if_a_retry_is_harmless_and_fails_it_otherwise(request_class, client_may_retry):
    def final_action_on_shutdown(*outcomes, attempt_started):
        harness = DriverHarness(servers=3, settings=replace(SETTINGS, classes=(request_class,)))
        handler = harness.submit_request()
        for outcome in outcomes:
            assert harness.driver.may_start_attempt("r")
            harness.driver.attempt_ended("r", outcome)
        if attempt_started:
            assert harness.driver.may_start_attempt("r")
        harness.driver.reject_on_shutdown("r")
        assert "r" not in harness.driver and not harness.driver.balancer.requests
        return type(handler.actions[-1])

    final_action_if_possibly_executed = Reject if client_may_retry else Fail
    assert (
        final_action_on_shutdown(attempt_started=False)
        is final_action_on_shutdown(Outcome.REJECTED, attempt_started=False)
        is Reject
    )
    assert (
        final_action_on_shutdown(attempt_started=True)
        is final_action_on_shutdown(Outcome.REJECTED, attempt_started=True)
        is final_action_if_possibly_executed
    )
    assert (
        final_action_on_shutdown(Outcome.CONNECTION_LOST, attempt_started=False) is final_action_if_possibly_executed
    )


def test_retry_may_not_start_after_the_deduplication_window_of_the_first_attempt():
    harness = DriverHarness(
        servers=3, settings=replace(SETTINGS, classes=(replace(DEDUPLICATED, deduplication_window=0.6),))
    )
    handler = harness.submit_request()
    assert harness.driver.may_start_attempt("r")
    harness.time += 0.4
    harness.driver.attempt_ended("r", Outcome.CONNECTION_LOST)  # the request may have been executed
    assert isinstance(handler.actions[-1], StartAttempt) and harness.driver.may_start_attempt("r")
    harness.time += 0.25  # the retry takes this long to connect, 0.65 s after the first attempt
    assert not harness.driver.may_start_attempt("r")
    # A reload by SIGHUP changes the settings in the same way.
    harness.driver.configure(replace(SETTINGS, classes=(replace(DEDUPLICATED, deduplication_window=1.0),)))
    assert harness.driver.may_start_attempt("r")


def test_timers_fire_when_due_and_the_clock_never_goes_back():
    harness = DriverHarness()
    assert harness.services.calls == ["timer"]
    seconds_until_due = harness.driver.next_timer()
    harness.time += seconds_until_due / 2
    harness.driver.run_timers()
    assert not harness.events
    harness.time += seconds_until_due
    harness.driver.run_timers()
    assert [event for _, event in harness.events] == [TimerFired("tick")]
    now = harness.driver.now()
    harness.time -= 100
    assert harness.driver.now() == now


def test_endpoint_list_is_watched_if_discovery_has_to_be_polled():
    harness = DriverHarness(settings=replace(SETTINGS, polls_discovery=True))
    harness.time += 60
    harness.driver.run_timers()
    assert "watch" in harness.services.calls


def test_slow_responses_are_reported_once_a_second_and_once_more_after_recovery():
    harness = DriverHarness()
    harness.submit_request()
    harness.driver.connection_established("r")
    reports = lambda: [event for _, event in harness.events if isinstance(event, ServerLatencyReported)]  # noqa: E731
    for _ in range(10):
        harness.time += 0.25
        harness.driver.record_response_delay("r", 0.001)
    assert not reports()
    for _ in range(20):
        harness.time += 0.25
        harness.driver.record_response_delay("r", 0.5)
    assert 4 <= len(reports()) <= 6 and reports()[-1].latency == 0.5
    harness.time += 1.0
    harness.driver.record_response_delay("r", 0.9)  # a single slow response does not count
    reports_while_slow = len(reports())
    for _ in range(12):
        harness.time += 0.25
        harness.driver.record_response_delay("r", 0.001)
    assert len(reports()) == reports_while_slow + 1 and reports()[-1].latency < 0.02


def test_migration_reaches_the_handler_of_its_connection():
    harness = DriverHarness(servers=1)
    handlers = [harness.submit_request(f"r{n}") for n in range(20)]
    for n in range(20):
        harness.driver.connection_established(f"r{n}")
    harness.time += 2.0
    harness.driver.record_response_delay("r7", 0.5)  # a tenth of the connections of the server migrate
    migrated = [
        action.request_id for handler in handlers for action in handler.actions if isinstance(action, Migrate)
    ]
    assert len(migrated) >= 2 and all(handlers[int(id[1:])].actions[-1].request_id == id for id in migrated)


def test_event_loop_lag_of_the_process_does_not_count_as_server_latency():
    """On a busy core the process reads lines late.

    Without this rule the delay looked like slow servers, and new clients were rejected.
    """
    harness = DriverHarness()
    harness.submit_request()
    harness.driver.connection_established("r")
    reported = []
    for delay in [0.05] * 20 + [0.5] * 20:  # first only the lag itself, then a slow server as well
        harness.time += 0.25
        harness.driver.record_event_loop_lag(0.05)
        harness.driver.record_response_delay("r", delay)
        reported.append([event.latency for _, event in harness.events if isinstance(event, ServerLatencyReported)])
    assert not reported[19] and reported[-1][-1] == pytest.approx(0.45)
