"""Meaning of a server's LOAD line, and that a server that reports a high latency gets no new connection."""

from dataclasses import replace

import pytest
from helpers import SETTINGS
from test_driver import DriverHarness
from test_relay import relay

from aspensaddle.core.actions import StartAttempt
from aspensaddle.frontends.line_protocol.load_report_parser import (
    ConnectionLoad,
    LatencySchedule,
    LoadReportParser,
    ServerLatency,
)

TELLS = replace(SETTINGS, servers_report_latency=True)  # deadlines of 3 s, message aims of 0.06 s


def told(settings, *figures):
    """Parse the LOAD lines of a connection established at 100 s, each as (seconds after that, figure)."""
    parser = LoadReportParser(settings, LatencySchedule(), 100.0)
    return [parser.parse(b"LOAD %s\r\n" % f, 100.0 + t) for t, f in figures]


@pytest.mark.parametrize(
    "figures, last",
    [
        ([(0.0, b"66000")], [ConnectionLoad(0.066)]),
        ([(0.0, b"250")], [ConnectionLoad(0.00025)]),  # with the UP: a light connection's load
        ([(0.0, b"66000"), (9.0, b"33000")], [ConnectionLoad(0.033)]),
        (
            [(0.0, b"66000"), (9.0, b"3000")],
            [ConnectionLoad(0.003)],
        ),  # no message takes as long as the longest deadline
        ([(0.0, b"66000"), (9.0, b"2999")], [ServerLatency(2.999)]),  # a load hardly falls to less than a twentieth
        ([(0.0, b"66000"), (9.0, b"12.8")], [ServerLatency(0.0128)]),
        ([(0.0, b"6600"), (9.0, b"660")], [ConnectionLoad(0.00066)]),  # a light connection falls idle
        ([(0.0, b"6600"), (9.0, b"660"), (12.0, b"660")], [ConnectionLoad(0.00066)]),
        (
            [(0.0, b"6600"), (9.0, b"660"), (10.02, b"900")],
            [ConnectionLoad(0.0066), ServerLatency(0.9)],
        ),  # in step: it was none
        ([(0.0, b"6600"), (9.0, b"660"), (10.02, b"900"), (11.01, b"800")], [ServerLatency(0.8)]),
    ],
)
def test_a_note_is_a_load_or_a_delay_by_what_it_can_be(figures, last):
    assert told(TELLS, *figures)[-1] == tuple(last)


def test_two_connections_at_a_slow_runner_tell_in_step():
    schedule = LatencySchedule()
    a, b = LoadReportParser(TELLS, schedule, 90.0), LoadReportParser(TELLS, schedule, 90.0)
    assert a.parse(b"LOAD 500", 100.0) == (ConnectionLoad(0.0005),)
    assert b.parse(b"LOAD 600", 101.0) == (ServerLatency(0.6),)


def test_where_runners_tell_no_delays_every_note_is_a_load():
    assert told(SETTINGS, (0.0, b"66000"), (9.0, b"250"))[-1] == (ConnectionLoad(0.00025),)


@pytest.mark.parametrize("line", [b"", b"x", b"-1", b"nan", b"1e300"])
def test_a_note_without_a_figure_in_range_is_none(line):
    assert told(TELLS, (9.0, line)) == [()]


def test_a_relay_tells_the_driver_of_both_kinds():
    async def script(client, runner, r):
        r.load_report_parser = LoadReportParser(TELLS, LatencySchedule(), -10.0)
        await runner.send_all(b"LOAD 250000\r\nLOAD 400\r\n")
        assert await client.receive_some(100) == b"LOAD 250000\r\nLOAD 400\r\n"
        r.stop()

    r, _ = relay(script)
    assert r.driver.loads == [0.25] and r.driver.delays == [0.4]


def test_a_runner_that_says_it_is_slow_gets_nothing_new():
    w = DriverHarness(settings=TELLS)
    first = w.submit_request("first").actions[-1]
    assert isinstance(first, StartAttempt)
    w.driver.connection_established("first")
    w.driver.server_latency_reported("first", 0.4)
    assert all(w.submit_request(f"r{i}").actions[-1].server != first.server for i in range(20))
