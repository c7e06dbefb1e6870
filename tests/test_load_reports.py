"""Load reports of servers: parsing and the utilization limits."""

from __future__ import annotations

import math

import pytest
from load_report_harness import harness_with_reports, report_load

from aspensaddle.core.actions import Migrate, Reject, StartAttempt
from aspensaddle.core.admission import MAX_UTILIZATION
from aspensaddle.core.events import HealthCheckCompleted, Outcome
from aspensaddle.core.load_report_fields import parse_load_report
from aspensaddle.core.migration import MAX_UTILIZATION_BEFORE_MIGRATION
from aspensaddle.frontends.line_protocol.health_checker import parse_report


def test_server_loaded_by_other_balancers_gets_no_new_connections():
    """Only the load reports of a server show the load that other programs and balancers place on it."""
    harness = harness_with_reports()
    report_load(harness, 2, 0.8)
    assert all(harness.place(load_hint=0.02).server != 2 for _ in range(12))
    report_load(harness, 2, 0.1)
    assert harness.place(load_hint=0.02).server == 2


def test_overloaded_servers_get_no_new_connections_and_their_excess_is_migrated():
    harness = harness_with_reports()
    for server_id in harness.balancer.servers:
        assert not [
            action
            for action in report_load(harness, server_id, MAX_UTILIZATION + 0.05)
            if isinstance(action, Migrate)
        ]
    (rejection,) = harness.submit_request(load_hint=0.02)
    assert isinstance(rejection, Reject) and rejection.retry_after > 0
    migrations = [
        action
        for action in report_load(harness, 2, 2 * MAX_UTILIZATION_BEFORE_MIGRATION)
        if isinstance(action, Migrate)
    ]
    assert 2 <= len(migrations) <= 3  # half of the five connections
    report_load(harness, 1, 0.3)
    assert harness.place(load_hint=0.02).server == 1


@pytest.mark.parametrize(
    "fields",
    [
        None,
        {},
        {"x0": 0.9},
        {"inflight": 3.0},
        {"x0": math.nan, "inflight": 3.0},
        {"x0": -1.0, "inflight": 3.0},
        {"x0": math.inf, "inflight": 3.0},
        {"x0": 0.9, "inflight": math.nan},
        {"x0": 0.9, "inflight": -3.0},
    ],
)
def test_invalid_load_report_changes_nothing(fields):
    harness, unchanged = harness_with_reports(), harness_with_reports()
    assert not harness.balancer.handle(
        harness.now, HealthCheckCompleted(1, Outcome.OK, 0.01, None if fields is None else parse_load_report(fields))
    )
    assert not harness.balancer.handle(
        harness.now, HealthCheckCompleted(77, Outcome.OK, 0.01, parse_load_report({"x0": 0.9, "inflight": 3.0}))
    )
    assert [harness.place(load_hint=0.02).server for _ in range(20)] == [
        unchanged.place(load_hint=0.02).server for _ in range(20)
    ]


def test_reports_of_extreme_loads_are_accepted():
    harness = harness_with_reports()
    for utilization, connections in ((0.0, 0.0), (0.0, 50.0), (5.0, 0.0), (999.0, 1e8), (1e-9, 1e8)):
        report_load(harness, 1, utilization, connections)
        (action,) = harness.submit_request(load_hint=0.02)
        assert isinstance(action, StartAttempt | Reject)
        harness.tick()


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        (b"PONG inflight=7,queue=2,x0=0.61\r\n", {"inflight": 7.0, "x0": 0.61}),
        (b"PONG\r\n", None),
        (b"PONG inflight=7,x0=nan\r\n", None),
        (b"PONG inflight=7,x0=-1\r\n", None),
        (b"PONG x0=1,x0=2\r\n", None),
        (b"PONG x0\r\n", None),
        (b"PONG \xff=1\r\n", None),
        (b"PONG queue=2\r\n", None),
        (b"PONG x0=1e999\r\n", None),
        (b"PONG " + b",".join(b"f%d=1" % n for n in range(99)) + b"\r\n", None),
    ],
)
def test_load_report_on_the_wire_is_parsed_whole_or_not_at_all(line, expected):
    assert parse_report(line, ("inflight", "x0")) == expected
