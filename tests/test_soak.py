"""Invariant checks of the soak test on records that satisfy and violate them, its schedules and its command line."""

import subprocess
import sys
from random import Random

import pytest
from soak.__main__ import exit_status, parse_arguments
from soak.invariants import find_violations, is_judged
from soak.record import (
    AttemptHandled,
    AttemptReceived,
    ConnectionEnded,
    ConnectionMigrated,
    ConnectionStale,
    DiscoveryFault,
    EndpointChanged,
    EndpointUpdateSent,
    ProcessExited,
    ProcessMeasured,
    ProcessReady,
    ProcessStarted,
    Record,
    RequestSent,
    ResponseReceived,
    ServerEndedConnection,
    ServerFault,
    SignalSent,
)
from soak.report import Verdict, judge
from soak.schedule import Deployment, RequestClass, Schedule, draw_schedule
from standins import ROOT

CLASSES = (RequestClass("pure", 3.0, "pure", 0.5), RequestClass("token", 3.0, "token", 0.5))
CLASSES += (RequestClass("once", 3.0, "side_effect", 0.5),)
DEPLOYMENT = Deployment(2, 3, 10, CLASSES, 1, 2.0, 0.0, 1024, 0, 0, 0.25)
MEBIBYTE = 2**20

START = [ProcessStarted(0.0, 1, "n0"), ProcessReady(0.4, 1)]
TERMINATION = [SignalSent(20.0, 1, "SIGTERM"), ProcessExited(22.0, 1, 0, 0)]


def request(at=1.0, name="pure", adopted=None, after_response=False):
    return RequestSent(at, "a", 1, name, 3.0, adopted, after_response)


def established(at=1.0):
    received, handled = AttemptReceived(at, "a", "s-0"), AttemptHandled(at, "a", "s-0", "UP")
    return [request(at), received, handled, ResponseReceived(at + 0.1, "a", "UP s-0")]


def attempt(at, outcome, server="s-0"):
    return [AttemptReceived(at, "a", server), AttemptHandled(at + 0.01, "a", server, outcome)]


def failed_request(name, *attempts):
    return [
        request(1.0, name),
        *(event for events in attempts for event in events),
        ResponseReceived(3.0, "a", "ERR"),
    ]


def measured(*megabytes, descriptors=20, without_clients=False):
    return [ProcessMeasured(1.0 + n, 1, descriptors, m * MEBIBYTE, without_clients) for n, m in enumerate(megabytes)]


def violated_invariants_of(*events, idle_clients=False, terminated=True):
    record = Record([*START, *events, *(TERMINATION if terminated else [])], has_idle_clients=idle_clients)
    return [violation.invariant for violation in find_violations(record, DEPLOYMENT)]


DRAIN = [EndpointChanged(5.0, "s-0", "leaving")]
REJECTED_ADOPTION = [request(adopted="s-0"), ResponseReceived(1.5, "a", "BUSY")]
SATISFYING_RECORDS = {
    "response in time": [request(), ResponseReceived(4.4, "a", "BUSY 100")],
    "client left": [request(), ConnectionEnded(2.0, "a", True)],
    "process killed outright": [request(19.9), SignalSent(19.95, 1, "SIGKILL")],
    "repeated within the deduplication window": failed_request("token", attempt(1.0, "reset"), attempt(1.4, "ERR")),
    "repeated after a rejected attempt": failed_request("once", attempt(1.0, "BUSY"), attempt(1.4, "ERR")),
    "idempotent request repeated at any time": failed_request("pure", attempt(1.0, "reset"), attempt(2.5, "ERR")),
    "sent after a response, not forwarded": [request(after_response=True)],
    "attempt within the drain grace": [*DRAIN, EndpointUpdateSent(5.5, "n0", "s-0", "leaving"), *established(7.5)],
    "notified after 6 s": [*DRAIN, *established(13.0)],
    "not notified while discovery was down": [*DRAIN, DiscoveryFault(4.0, "down", 9.0), *established(16.9)],
    "server active again": [*DRAIN, EndpointChanged(6.0, "s-0", "active"), *established(15.0)],
    "migrated": [*established(), ConnectionMigrated(5.0, "a")],
    "closed by its server": [
        *established(),
        ServerEndedConnection(5.0, "a", "s-0"),
        ConnectionEnded(5.5, "a", False, True),
    ],
    "adopted": [request(adopted="s-0"), ResponseReceived(39.0, "a", "UP s-0")],
    "not adopted because of a drain": [EndpointChanged(0.5, "s-0", "leaving"), *REJECTED_ADOPTION],
    "not adopted because of a reset": [ServerFault(0.5, "s-0", "reset", 1.2), *REJECTED_ADOPTION],
    "steady memory": measured(30, 31, 30, 31),
}
VIOLATING_RECORDS = {
    "no response": ("answer", [request()]),
    "closed without a response": ("answer", [request(), ConnectionEnded(1.2, "a", False, True)]),
    "late response": ("answer", [request(), ResponseReceived(4.6, "a", "BUSY")]),
    "two responses": ("answer", [request(), ResponseReceived(2.0, "a", "BUSY"), ResponseReceived(2.1, "a", "ERR")]),
    "late adoption": ("answer", [request(adopted="s-0"), ResponseReceived(41.2, "a", "UP s-0")]),
    "adoption failed without a cause": ("adoption", REJECTED_ADOPTION),
    "adoption failed after a rejection": (
        "adoption",
        [ServerFault(0.5, "s-0", "reject_requests", 1.2), *REJECTED_ADOPTION],
    ),
    "executed twice": ("execution", failed_request("once", attempt(1.0, "reset"), attempt(1.2, "ERR"))),
    "repeated outside the deduplication window": (
        "execution",
        failed_request("token", attempt(1.0, "reset"), attempt(1.6, "ERR")),
    ),
    "sent after a response and forwarded": ("execution", [request(after_response=True), *attempt(1.0, "UP")]),
    "request of no client": ("execution", attempt(1.0, "UP")),
    "attempt after the drain grace": (
        "drain",
        [*DRAIN, EndpointUpdateSent(5.5, "n0", "s-0", "leaving"), *established(7.6), ConnectionMigrated(8.0, "a")],
    ),
    "attempt to a draining server without a notification": ("drain", [*DRAIN, *established(13.1)]),
    "attempt to a server that left": ("drain", [EndpointChanged(5.0, "s-0", "left"), *established(13.1)]),
    "connection reset": ("connection", [*established(), ConnectionEnded(5.0, "a", False, True)]),
    "closed without MOVE": ("connection", [*established(), ConnectionEnded(5.0, "a", False)]),
    "stale connection kept": ("connection", [*established(), ConnectionStale(9.0, "a")]),
    "open after its server closed it": (
        "connection",
        [*established(), ServerEndedConnection(5.0, "a", "s-0"), ConnectionEnded(6.2, "a", False)],
    ),
    "descriptors without clients": ("growth", measured(30, descriptors=41, without_clients=True)),
    "descriptors over the limit": ("growth", measured(30, descriptors=1025)),
    "growing memory": ("growth", measured(30, 30, 54, 54)),
}


@pytest.mark.parametrize("case", SATISFYING_RECORDS)
def test_record_that_satisfies_the_invariants_has_no_violations(case):
    assert violated_invariants_of(*SATISFYING_RECORDS[case], terminated="killed" not in case) == []


@pytest.mark.parametrize("case", VIOLATING_RECORDS)
def test_record_that_violates_an_invariant_is_reported_under_its_name(case):
    invariant, events = VIOLATING_RECORDS[case]
    assert set(violated_invariants_of(*events)) == {invariant}


def test_idle_clients_excuse_a_connection_closed_without_a_response_but_no_late_response():
    assert violated_invariants_of(request(), ConnectionEnded(1.2, "a", False, True), idle_clients=True) == []
    assert violated_invariants_of(request(), ResponseReceived(4.6, "a", "BUSY"), idle_clients=True) == ["answer"]


@pytest.mark.parametrize(
    ("events", "count"),
    [
        ([ProcessStarted(0.0, 1, "n0"), *TERMINATION], 0),  # terminated during its start
        ([ProcessStarted(0.0, 1, "n0"), ProcessReady(10.2, 1), *TERMINATION], 1),
        ([*START, TERMINATION[0], ProcessExited(22.0, 1, 1, 0)], 1),
        ([*START, TERMINATION[0], ProcessExited(22.0, 1, 0, 2)], 1),  # internal errors
        ([*START, ProcessExited(22.0, 1, 0, 0)], 1),  # exited without SIGTERM
        ([*START, TERMINATION[0], SignalSent(23.7, 1, "SIGKILL", True), ProcessExited(23.7, 1, -9, 0)], 1),
        ([*START, SignalSent(5.0, 1, "SIGKILL"), ProcessExited(5.0, 1, -9, 0)], 0),
    ],
)
def test_process_violations_are_late_starts_and_exits_without_a_signal_or_with_an_error(events, count):
    found = find_violations(Record(events), DEPLOYMENT)
    assert [violation.invariant for violation in found] == ["process"] * count


def test_connection_open_at_the_planned_kill_violates_connection_and_process():
    kill = [*START, TERMINATION[0], SignalSent(23.7, 1, "SIGKILL", True), ProcessExited(23.7, 1, -9, 0)]
    record = Record([*established(), *kill, ConnectionEnded(23.7, "a", False, True)])
    assert {violation.invariant for violation in find_violations(record, DEPLOYMENT)} == {"connection", "process"}


def test_run_on_a_busy_machine_is_not_judged():
    schedule = Schedule(7, DEPLOYMENT, 20.0, ())
    lagging, punctual = Record([request()], harness_lag=0.3), Record([request()], harness_lag=0.01)
    assert not is_judged(lagging) and "NOT JUDGED" in judge(schedule, lagging).lines[0]
    verdict = judge(schedule, punctual)
    assert verdict.violated_invariants == ("answer",) and verdict.lines[-1].endswith("python -m tests.soak --seed 7")


@pytest.mark.parametrize(
    ("verdicts", "status"),
    [
        ([Verdict(1, True, (), ())], 0),
        ([Verdict(1, True, (), ()), Verdict(2, False, (), ())], 0),
        ([Verdict(1, False, (), ()), Verdict(2, True, ("drain",), ())], 1),
        ([Verdict(1, False, (), ())], 2),
    ],
)
def test_exit_status_distinguishes_satisfied_violated_and_not_judged(verdicts, status):
    assert exit_status(verdicts) == status


@pytest.mark.parametrize(
    "arguments",
    [[], ["--seed"], ["--seed", "x"], ["--seeds", "5-1"], ["--seeds", "1-2000"], ["--fast"], ["--seed", "-1"]],
)
def test_invalid_command_line_prints_one_line_and_exits_with_2(arguments):
    completed = subprocess.run(
        [sys.executable, "-m", "tests.soak", *arguments], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == 2 and not completed.stdout and completed.stderr.count("\n") == 1, completed.stderr


def test_seeds_are_given_singly_or_as_a_range():
    assert list(parse_arguments(["--seed", "4"]).seeds) == [4]
    assert list(parse_arguments(["--seeds", "3-5"]).seeds) == [3, 4, 5]


def test_seed_determines_its_schedule_and_many_seeds_draw_all_actions():
    assert draw_schedule(3) == draw_schedule(3) != draw_schedule(4)
    actions = {step.action for seed in range(60) for step in draw_schedule(seed).steps}
    assert len(actions) == 7 + 9 + 6
    lengths = [draw_schedule(Random(n).randrange(10**6)).seconds for n in range(50)]
    assert min(lengths) >= 20 and max(lengths) <= 40
