"""How LOAD lines are read as loads or latencies; a server that reports a high latency gets no new connection."""

from dataclasses import replace

import pytest
from helpers import SETTINGS
from test_driver import DriverHarness
from test_relay import run_relay

from aspensaddle.core.actions import StartAttempt
from aspensaddle.frontends.line_protocol.load_report_parser import (
    ConnectionLoad,
    LatencySchedule,
    LoadReportParser,
    ServerLatency,
)

LATENCY_SETTINGS = replace(
    SETTINGS, servers_report_latency=True
)  # deadlines of 3 s, message latency objectives of 0.06 s


def parse_reports(settings, *values):
    """Parse the LOAD lines of a connection established at 100 s; each is given as (seconds after that, value)."""
    parser = LoadReportParser(settings, LatencySchedule(), 100.0)
    return [parser.parse(b"LOAD %s\r\n" % value, 100.0 + seconds) for seconds, value in values]


@pytest.mark.parametrize(
    "values, expected",
    [
        ([(0.0, b"66000")], [ConnectionLoad(0.066)]),
        ([(0.0, b"250")], [ConnectionLoad(0.00025)]),  # with the UP: the load of a light connection
        ([(0.0, b"66000"), (9.0, b"33000")], [ConnectionLoad(0.033)]),
        # No message takes as long as the longest deadline.
        ([(0.0, b"66000"), (9.0, b"3000")], [ConnectionLoad(0.003)]),
        ([(0.0, b"66000"), (9.0, b"2999")], [ServerLatency(2.999)]),  # a load rarely drops below a twentieth at once
        ([(0.0, b"66000"), (9.0, b"12.8")], [ServerLatency(0.0128)]),
        ([(0.0, b"6600"), (9.0, b"660")], [ConnectionLoad(0.00066)]),  # a light connection becomes idle
        ([(0.0, b"6600"), (9.0, b"660"), (12.0, b"660")], [ConnectionLoad(0.00066)]),
        # The value one second later shows that the previous one was a latency.
        ([(0.0, b"6600"), (9.0, b"660"), (10.02, b"900")], [ConnectionLoad(0.0066), ServerLatency(0.9)]),
        ([(0.0, b"6600"), (9.0, b"660"), (10.02, b"900"), (11.01, b"800")], [ServerLatency(0.8)]),
    ],
)
def test_value_is_read_as_a_load_or_a_latency_by_its_size_and_time(values, expected):
    assert parse_reports(LATENCY_SETTINGS, *values)[-1] == tuple(expected)


def test_values_one_second_apart_on_two_connections_of_a_server_are_latencies():
    schedule = LatencySchedule()
    first_parser, second_parser = (
        LoadReportParser(LATENCY_SETTINGS, schedule, 90.0),
        LoadReportParser(LATENCY_SETTINGS, schedule, 90.0),
    )
    assert first_parser.parse(b"LOAD 500", 100.0) == (ConnectionLoad(0.0005),)
    assert second_parser.parse(b"LOAD 600", 101.0) == (ServerLatency(0.6),)


def test_every_value_is_a_load_if_servers_report_no_latency():
    assert parse_reports(SETTINGS, (0.0, b"66000"), (9.0, b"250"))[-1] == (ConnectionLoad(0.00025),)


@pytest.mark.parametrize("line", [b"", b"x", b"-1", b"nan", b"1e300"])
def test_line_without_a_value_in_range_gives_no_report(line):
    assert parse_reports(LATENCY_SETTINGS, (9.0, line)) == [()]


def test_relay_reports_loads_and_latencies_to_the_driver():
    async def script(client, server, relay):
        relay.load_report_parser = LoadReportParser(LATENCY_SETTINGS, LatencySchedule(), -10.0)
        await server.send_all(b"LOAD 250000\r\nLOAD 400\r\n")
        assert await client.receive_some(100) == b"LOAD 250000\r\nLOAD 400\r\n"
        relay.stop()

    relay, _ = run_relay(script)
    assert relay.driver.loads == [0.25] and relay.driver.latencies == [0.4]


def test_server_that_reports_a_high_latency_gets_no_new_request():
    harness = DriverHarness(settings=LATENCY_SETTINGS)
    first_attempt = harness.submit_request("first").actions[-1]
    assert isinstance(first_attempt, StartAttempt)
    harness.driver.connection_established("first")
    harness.driver.server_latency_reported("first", 0.4)
    assert all(harness.submit_request(f"r{i}").actions[-1].server != first_attempt.server for i in range(20))
