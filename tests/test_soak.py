"""The soak's checker: each promise has a record that keeps it and one that breaks it; and the soak's command."""

import subprocess
import sys
from random import Random

import pytest
from soak.__main__ import exit_status, parse_arguments
from soak.promises import is_judged, violations
from soak.record import (
    AttemptAnswered,
    AttemptReceived,
    ConnectionEnded,
    ConnectionMoved,
    ConnectionStale,
    DiscoveryFault,
    EndpointChanged,
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
    UpdateWritten,
)
from soak.report import Verdict, judge
from soak.schedule import Deployment, RequestClass, Schedule, draw_schedule
from standins import ROOT

CLASSES = (RequestClass("pure", 3.0, "pure", 0.5), RequestClass("token", 3.0, "token", 0.5))
CLASSES += (RequestClass("once", 3.0, "side_effect", 0.5),)
DEPLOYMENT = Deployment(2, 3, 10, CLASSES, 1, 2.0, 0.0, 1024, 0, 0, 0.25)
MEBIBYTE = 2**20

RUN = [ProcessStarted(0.0, 1, "n0"), ProcessReady(0.4, 1)]
ENDED = [SignalSent(20.0, 1, "SIGTERM"), ProcessExited(22.0, 1, 0, 0)]


def request(at=1.0, name="pure", adopted=None, behind=False):
    return RequestSent(at, "a", 1, name, 3.0, adopted, behind)


def established(at=1.0):
    received, answered = AttemptReceived(at, "a", "s-0"), AttemptAnswered(at, "a", "s-0", "UP")
    return [request(at), received, answered, ResponseReceived(at + 0.1, "a", "UP s-0")]


def attempt(at, answer, server="s-0"):
    return [AttemptReceived(at, "a", server), AttemptAnswered(at + 0.01, "a", server, answer)]


def answered(name, *attempts):
    return [
        request(1.0, name),
        *(event for events in attempts for event in events),
        ResponseReceived(3.0, "a", "ERR"),
    ]


def measured(*megabytes, descriptors=20, quiet=False):
    return [ProcessMeasured(1.0 + n, 1, descriptors, m * MEBIBYTE, quiet) for n, m in enumerate(megabytes)]


def broken(*events, crowd=False, ended=True):
    record = Record([*RUN, *events, *(ENDED if ended else [])], has_crowd=crowd)
    return [violation.promise for violation in violations(record, DEPLOYMENT)]


DRAINED = [EndpointChanged(5.0, "s-0", "leaving")]
ADOPTION = [request(adopted="s-0"), ResponseReceived(1.5, "a", "BUSY")]
KEPT = {
    "answered in time": [request(), ResponseReceived(4.4, "a", "BUSY 100")],
    "the client left": [request(), ConnectionEnded(2.0, "a", True)],
    "the process was killed outright": [request(19.9), SignalSent(19.95, 1, "SIGKILL")],
    "again within the window": answered("token", attempt(1.0, "reset"), attempt(1.4, "ERR")),
    "again after one that never ran": answered("once", attempt(1.0, "BUSY"), attempt(1.4, "ERR")),
    "pure again at any time": answered("pure", attempt(1.0, "reset"), attempt(2.5, "ERR")),
    "behind an answer, not forwarded": [request(behind=True)],
    "sent within the grace": [*DRAINED, UpdateWritten(5.5, "n0", "s-0", "leaving"), *established(7.5)],
    "told after 6 s": [*DRAINED, *established(13.0)],
    "not told while discovery was down": [*DRAINED, DiscoveryFault(4.0, "down", 9.0), *established(16.9)],
    "active again": [*DRAINED, EndpointChanged(6.0, "s-0", "active"), *established(15.0)],
    "moved": [*established(), ConnectionMoved(5.0, "a")],
    "ended by its server": [
        *established(),
        ServerEndedConnection(5.0, "a", "s-0"),
        ConnectionEnded(5.5, "a", False, True),
    ],
    "adopted": [request(adopted="s-0"), ResponseReceived(39.0, "a", "UP s-0")],
    "not adopted, for a drain": [EndpointChanged(0.5, "s-0", "leaving"), *ADOPTION],
    "not adopted, for a reset": [ServerFault(0.5, "s-0", "reset", 1.2), *ADOPTION],
    "steady": measured(30, 31, 30, 31),
}
BROKEN = {
    "never answered": ("answer", [request()]),
    "closed without an answer": ("answer", [request(), ConnectionEnded(1.2, "a", False, True)]),
    "answered late": ("answer", [request(), ResponseReceived(4.6, "a", "BUSY")]),
    "answered twice": ("answer", [request(), ResponseReceived(2.0, "a", "BUSY"), ResponseReceived(2.1, "a", "ERR")]),
    "adopted late": ("answer", [request(adopted="s-0"), ResponseReceived(41.2, "a", "UP s-0")]),
    "adoption given up": ("adoption", ADOPTION),
    "adoption given up for a refusal": ("adoption", [ServerFault(0.5, "s-0", "refuse", 1.2), *ADOPTION]),
    "ran twice": ("execution", answered("once", attempt(1.0, "reset"), attempt(1.2, "ERR"))),
    "again outside its window": ("execution", answered("token", attempt(1.0, "reset"), attempt(1.6, "ERR"))),
    "sent behind an answer and forwarded": ("execution", [request(behind=True), *attempt(1.0, "UP")]),
    "sent by no client": ("execution", attempt(1.0, "UP")),
    "sent after the grace": (
        "drain",
        [*DRAINED, UpdateWritten(5.5, "n0", "s-0", "leaving"), *established(7.6), ConnectionMoved(8.0, "a")],
    ),
    "sent though never told": ("drain", [*DRAINED, *established(13.1)]),
    "sent to one that left": ("drain", [EndpointChanged(5.0, "s-0", "left"), *established(13.1)]),
    "cut off": ("connection", [*established(), ConnectionEnded(5.0, "a", False, True)]),
    "closed without MOVE": ("connection", [*established(), ConnectionEnded(5.0, "a", False)]),
    "kept though silent": ("connection", [*established(), ConnectionStale(9.0, "a")]),
    "outlived its server": (
        "connection",
        [*established(), ServerEndedConnection(5.0, "a", "s-0"), ConnectionEnded(6.2, "a", False)],
    ),
    "holds descriptors": ("growth", measured(30, descriptors=41, quiet=True)),
    "over its sockets": ("growth", measured(30, descriptors=1025)),
    "grows": ("growth", measured(30, 30, 54, 54)),
}


@pytest.mark.parametrize("case", KEPT)
def test_a_record_that_keeps_the_promises_breaks_none(case):
    assert broken(*KEPT[case], ended="killed" not in case) == []


@pytest.mark.parametrize("case", BROKEN)
def test_a_record_that_breaks_a_promise_is_found(case):
    promise, events = BROKEN[case]
    assert set(broken(*events)) == {promise}


def test_a_crowd_may_have_connections_shut_unread_but_none_answered_late():
    assert broken(request(), ConnectionEnded(1.2, "a", False, True), crowd=True) == []
    assert broken(request(), ResponseReceived(4.6, "a", "BUSY"), crowd=True) == ["answer"]


@pytest.mark.parametrize(
    ("events", "count"),
    [
        ([ProcessStarted(0.0, 1, "n0"), *ENDED], 0),  # ended while it started
        ([ProcessStarted(0.0, 1, "n0"), ProcessReady(10.2, 1), *ENDED], 1),
        ([*RUN, ENDED[0], ProcessExited(22.0, 1, 1, 0)], 1),
        ([*RUN, ENDED[0], ProcessExited(22.0, 1, 0, 2)], 1),  # internal errors
        ([*RUN, ProcessExited(22.0, 1, 0, 0)], 1),  # nobody told it to
        ([*RUN, ENDED[0], SignalSent(23.7, 1, "SIGKILL", True), ProcessExited(23.7, 1, -9, 0)], 1),
        ([*RUN, SignalSent(5.0, 1, "SIGKILL"), ProcessExited(5.0, 1, -9, 0)], 0),
    ],
)
def test_processes_start_in_time_and_end_as_told(events, count):
    found = violations(Record(events), DEPLOYMENT)
    assert [violation.promise for violation in found] == ["process"] * count


def test_a_connection_that_is_held_at_the_planned_kill_is_lost():
    kill = [*RUN, ENDED[0], SignalSent(23.7, 1, "SIGKILL", True), ProcessExited(23.7, 1, -9, 0)]
    record = Record([*established(), *kill, ConnectionEnded(23.7, "a", False, True)])
    assert {violation.promise for violation in violations(record, DEPLOYMENT)} == {"connection", "process"}


def test_a_machine_that_is_too_busy_is_told_apart():
    schedule = Schedule(7, DEPLOYMENT, 20.0, ())
    busy, quick = Record([request()], harness_lag=0.3), Record([request()], harness_lag=0.01)
    assert not is_judged(busy) and "NOT JUDGED" in judge(schedule, busy).lines[0]
    verdict = judge(schedule, quick)
    assert verdict.broken_promises == ("answer",) and verdict.lines[-1].endswith("python -m tests.soak --seed 7")


@pytest.mark.parametrize(
    ("verdicts", "status"),
    [
        ([Verdict(1, True, (), ())], 0),
        ([Verdict(1, True, (), ()), Verdict(2, False, (), ())], 0),
        ([Verdict(1, False, (), ()), Verdict(2, True, ("drain",), ())], 1),
        ([Verdict(1, False, (), ())], 2),
    ],
)
def test_the_exit_status_tells_kept_broken_and_not_judged(verdicts, status):
    assert exit_status(verdicts) == status


@pytest.mark.parametrize(
    "arguments",
    [[], ["--seed"], ["--seed", "x"], ["--seeds", "5-1"], ["--seeds", "1-2000"], ["--fast"], ["--seed", "-1"]],
)
def test_a_wrong_command_gets_one_line_and_2(arguments):
    done = subprocess.run(
        [sys.executable, "-m", "tests.soak", *arguments], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 2 and not done.stdout and done.stderr.count("\n") == 1, done.stderr


def test_seeds_are_named_one_by_one_or_as_a_range():
    assert list(parse_arguments(["--seed", "4"]).seeds) == [4]
    assert list(parse_arguments(["--seeds", "3-5"]).seeds) == [3, 4, 5]


def test_a_seed_always_draws_the_same_run_and_many_draw_all_troubles():
    assert draw_schedule(3) == draw_schedule(3) != draw_schedule(4)
    seen = {step.action for seed in range(60) for step in draw_schedule(seed).steps}
    assert len(seen) == 7 + 9 + 6
    lengths = [draw_schedule(Random(n).randrange(10**6)).seconds for n in range(50)]
    assert min(lengths) >= 20 and max(lengths) <= 40
