"""The driver: its clock, its timers and whom it tells what."""

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

SAFE = SETTINGS.classes[0]
KEYED, UNSAFE = (
    replace(SAFE, idempotency=Idempotency.IDEMPOTENCY_KEY),
    replace(SAFE, idempotency=Idempotency.NOT_IDEMPOTENT),
)
KEYED_BY_ZONE = replace(KEYED, deduplication_scope=DeduplicationScope.ZONE)


class Owner:
    def __init__(self):
        self.actions, self.there = [], True

    def handle_action(self, action):
        self.actions.append(action)

    def client_is_connected(self):
        return self.there


class Services:
    def __init__(self):
        self.calls = []

    def watch_endpoints(self):
        self.calls.append("watch")

    def check_health(self, server):
        self.calls.append(("health check", server))

    def timers_changed(self):
        self.calls.append("timer")


class World:
    def __init__(self, servers=2, settings=SETTINGS):
        self.time, self.services = 1e9, Services()
        self.driver = Driver(settings, 1, self.services, lambda: self.time)
        self.driver.start(make_endpoint(n) for n in range(1, servers + 1))
        self.events = []
        handle = self.driver.balancer.handle
        self.driver.balancer.handle = lambda now, e: (self.events.append((now, e)), handle(now, e))[1]

    def ask(self, id="r", left=2.0):
        owner = Owner()
        self.driver.submit(owner, Request(id, 0, left))
        return owner


def test_attempts_go_on_until_one_final_answer():
    w = World()
    owner = w.ask()
    for _ in range(6):
        assert isinstance(owner.actions[-1], StartAttempt)
        w.driver.attempt_ended("r", Outcome.REJECTED)
    assert owner.actions[-1].reason is RejectReason.ATTEMPTS_EXHAUSTED and "r" not in w.driver
    w.driver.attempt_ended("r", Outcome.REJECTED)
    w.driver.client_disconnected("r")
    assert sum(isinstance(a, Reject) for a in owner.actions) == 1


def test_a_time_out_that_wakes_a_hair_early_is_the_deadline_s():
    w = World()
    owner = w.ask(left=2.0)
    w.time += 2.0 - 1e-4
    w.driver.attempt_ended("r", Outcome.TIMED_OUT)
    assert owner.actions[-1].reason is RejectReason.DEADLINE_EXCEEDED  # and not a send of no length


def test_a_send_chosen_before_a_drain_was_told_may_not_begin():
    w = World()
    server = w.ask().actions[0].server
    assert w.driver.may_start_attempt("r")
    w.driver.update_endpoints(EndpointUpdateScope.INCREMENTAL, (make_endpoint(server, state=ServerState.DRAINING),))
    assert not w.driver.may_start_attempt("r")
    w.driver.update_endpoints(EndpointUpdateScope.COMPLETE, (make_endpoint(server),))
    assert w.driver.may_start_attempt("r")
    w.driver.update_endpoints(EndpointUpdateScope.COMPLETE, (make_endpoint(3 - server),))
    assert not w.driver.may_start_attempt("r")


def test_no_attempt_begins_for_a_client_that_left_after_its_time_or_past_the_last_send():
    w = World()
    owner = w.ask(left=2.0)
    owner.there = False
    assert not w.driver.may_start_attempt("r")
    owner.there = True
    assert w.driver.may_start_attempt("r") and not w.driver.may_start_attempt("other")
    w.time += 2.0
    assert not w.driver.may_start_attempt("r")
    w = World()
    owner = w.ask()
    w.driver.stop_attempts_after(0.5)
    assert w.driver.may_start_attempt("r")
    w.time += 0.5
    assert not w.driver.may_start_attempt("r")
    w.driver.attempt_ended("r", Outcome.NOT_SENT)  # the module would try the other server
    assert owner.actions[-1].reason is RejectReason.SHUTTING_DOWN and "r" not in w.driver
    assert w.ask("s").actions[-1].reason is RejectReason.SHUTTING_DOWN


@pytest.mark.parametrize(("cls", "harmless"), [(SAFE, True), (KEYED, True), (KEYED_BY_ZONE, False), (UNSAFE, False)])
def test_the_answer_of_one_that_is_given_up_says_whether_it_may_have_run(cls, harmless):
    def given_up(*outcomes, begun):
        w = World(servers=3, settings=replace(SETTINGS, classes=(cls,)))
        owner = w.ask()
        for outcome in outcomes:
            assert w.driver.may_start_attempt("r")
            w.driver.attempt_ended("r", outcome)
        if begun:
            assert w.driver.may_start_attempt("r")
        w.driver.reject_on_shutdown("r")
        assert "r" not in w.driver and not w.driver.balancer.requests
        return type(owner.actions[-1])

    answer = Reject if harmless else Fail
    assert given_up(begun=False) is given_up(Outcome.REJECTED, begun=False) is Reject
    assert given_up(begun=True) is given_up(Outcome.REJECTED, begun=True) is answer
    assert given_up(Outcome.CONNECTION_LOST, begun=False) is answer


def test_a_repeat_may_not_begin_once_the_window_of_the_first_send_is_over():
    w = World(servers=3, settings=replace(SETTINGS, classes=(replace(KEYED, deduplication_window=0.6),)))
    owner = w.ask()
    assert w.driver.may_start_attempt("r")
    w.time += 0.4
    w.driver.attempt_ended("r", Outcome.CONNECTION_LOST)  # it may have run
    assert isinstance(owner.actions[-1], StartAttempt) and w.driver.may_start_attempt("r")
    w.time += 0.25  # the connection came up late
    assert not w.driver.may_start_attempt("r")
    w.driver.configure(replace(SETTINGS, classes=(replace(KEYED, deduplication_window=1.0),)))  # as SIGHUP does
    assert w.driver.may_start_attempt("r")


def test_timers_fire_when_due_and_the_clock_never_goes_back():
    w = World()
    assert w.services.calls == ["timer"]
    due = w.driver.next_timer()
    w.time += due / 2
    w.driver.run_timers()
    assert not w.events
    w.time += due
    w.driver.run_timers()
    assert [e for _, e in w.events] == [TimerFired("tick")]
    now = w.driver.now()
    w.time -= 100
    assert w.driver.now() == now


def test_watches_are_asked_for_where_the_list_comes_only_when_asked():
    w = World(settings=replace(SETTINGS, polls_discovery=True))
    w.time += 60
    w.driver.run_timers()
    assert "watch" in w.services.calls


def test_slow_lines_become_a_note_a_second_and_one_more_when_it_is_over():
    w = World()
    w.ask()
    w.driver.connection_established("r")
    notes = lambda: [e for _, e in w.events if isinstance(e, ServerLatencyReported)]  # noqa: E731
    for _ in range(10):
        w.time += 0.25
        w.driver.record_response_delay("r", 0.001)
    assert not notes()
    for _ in range(20):
        w.time += 0.25
        w.driver.record_response_delay("r", 0.5)
    assert 4 <= len(notes()) <= 6 and notes()[-1].latency == 0.5
    w.time += 1.0
    w.driver.record_response_delay("r", 0.9)  # one line alone that is late proves nothing
    slow = len(notes())
    for _ in range(12):
        w.time += 0.25
        w.driver.record_response_delay("r", 0.001)
    assert len(notes()) == slow + 1 and notes()[-1].latency < 0.02


def test_a_move_reaches_the_owner_of_the_connection():
    w = World(servers=1)
    owners = [w.ask(f"r{n}") for n in range(20)]
    for n in range(20):
        w.driver.connection_established(f"r{n}")
    w.time += 2.0
    w.driver.record_response_delay("r7", 0.5)  # a tenth of what the server holds goes
    moved = [a.request_id for o in owners for a in o.actions if isinstance(a, Migrate)]
    assert len(moved) >= 2 and all(owners[int(id[1:])].actions[-1].request_id == id for id in moved)


def test_a_process_that_is_late_itself_calls_no_server_slow():
    """Guards against a busy core: lines that were read late looked like slow servers, and newcomers were refused."""
    w = World()
    w.ask()
    w.driver.connection_established("r")
    told = []
    for wait in [0.05] * 20 + [0.5] * 20:  # at first no more than it is late itself, then slow beside
        w.time += 0.25
        w.driver.record_event_loop_lag(0.05)
        w.driver.record_response_delay("r", wait)
        told.append([e.latency for _, e in w.events if isinstance(e, ServerLatencyReported)])
    assert not told[19] and told[-1][-1] == pytest.approx(0.45)
