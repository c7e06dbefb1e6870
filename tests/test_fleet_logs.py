"""The views of `benchmarks/fleet_logs.py`, on handwritten logs of two balancers."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent


def request(request_id, server, session_group, response="UP", **fields):
    return {
        "event": "request",
        "request_id": request_id,
        "affinity_key": ord(request_id),
        "server": server,
        "session_group": session_group,
        "attempts": 1,
        "response": response,
        "duration_ms": 100.0,
        **fields,
    }


def connection_ended(request_id, outcome, load=None):
    return {"event": "connection_ended", "request_id": request_id, "outcome": outcome, "load": load}


STARTED = {"event": "daemon_started", "endpoints": [["a", 2.0, "any"], ["b", 2.0, "any"]]}
LOGS = {
    "n0": [
        (0.5, STARTED),
        (
            0.6,
            {
                "event": "connection_adopted",
                "request_id": "x",
                "affinity_key": 1,
                "server": "a",
                "session_group": 7,
                "established": True,
            },
        ),
        (
            2.0,
            {
                "event": "endpoints_updated",
                "complete": False,
                "endpoints": [["b", "draining", 0.0, 2.0, "any"], ["n", "ready", 101.0, 2.0, "any"]],
            },
        ),
        (3.0, request("y", "n", 7)),
        (11.0, request("z", "a", 8)),
        (11.5, request("-", None, 7, "BUSY 300", reject_reason="retry_storm")),
        (11.6, request("-", None, 7, "BUSY 20", reject_reason="deadline_exceeded", attempts=0)),
        (12.0, connection_ended("z", "migrated", 0.1)),
        (13.0, connection_ended("y", "ok", 0.3)),
        (15.0, request("w", "n", 8, reject_reason=None)),
        (16.2, STARTED),
        (17.0, request("v", "a", 7, affinity_key=ord("z"))),
        (20.0, {"event": "counters_reported"}),
    ],
    "n1": [(0.5, STARTED), (16.5, request("u", "a", 7)), (18.5, connection_ended("u", "connection_lost"))],
}


@pytest.fixture
def print_view(tmp_path):
    """Run a view on LOGS and return the lines that it prints."""
    for name, lines in LOGS.items():
        (tmp_path / f"{name}.log").write_text(
            "".join(f"{t:.3f} {json.dumps({'t': 100 + t, **event})}\n" for t, event in lines)
        )

    def run(*view):
        command = [sys.executable, ROOT / "benchmarks/fleet_logs.py", tmp_path, *view]
        return subprocess.run(command, capture_output=True, text=True, check=True).stdout.splitlines()

    return run


def test_account_reports_pairs_utilization_durations_and_responses(print_view):
    lines = print_view("account")
    assert (
        lines[0] == "1 s: 1 connections of 1 session groups on 1 servers; 1 pairs, 1 with one connection; "
        "load 0.6 of pairs, 0.2 of connections; largest session groups [(1, 1)]; "
        "median utilization of ready servers: old 0.20 (2 servers), new -"
    )  # the new server has started and is not listed yet
    assert (
        lines[1] == "4 s: 2 connections of 1 session groups on 2 servers; 2 pairs, 2 with one connection; "
        "load 1.2 of pairs, 0.5 of connections; largest session groups [(2, 2)]; "
        "median utilization of ready servers: old 0.40 (1 servers), new 1.96 (1 servers)"
    )
    assert (
        lines[3] == "16 s: 2 connections of 2 session groups on 2 servers; 2 pairs, 2 with one connection; "
        "load 1.2 of pairs, 0.4 of connections; largest session groups [(1, 1), (1, 1)]; "
        "median utilization of ready servers: old 0.40 (1 servers), new 0.60 (1 servers)"
    )
    assert (
        lines[4] == "20 s: 1 connections of 1 session groups on 1 servers; 1 pairs, 1 with one connection; "
        "load 0.6 of pairs, 0.1 of connections; largest session groups [(1, 1)]; "
        "median utilization of ready servers: old 0.35 (1 servers), new 0.00 (1 servers)"
    )  # the load is that of an earlier connection of the same client
    assert (
        lines[5] == "connections established from 10 to 25 s: median duration 1.6 s; 1 balancer_restarted 1.2 s, "
        "1 connection_lost 2.0 s, 1 migrated 1.0 s, 1 open 3.0 s"
    )
    assert "responses from 10 s: {'UP': 1, 'BUSY retry_storm': 1, 'BUSY deadline_exceeded': 1}" in lines


def test_seconds_counts_events_and_responses_without_an_attempt(print_view):
    lines = print_view("seconds")
    assert print_view() == lines  # the default view
    assert "11 {'BUSY': 1, 'BUSY without attempt': 1, 'UP': 1, 'attempts': 2}" in lines
    assert "12 {'ended migrated': 1}" in lines
    assert "16 {'UP': 1, 'attempts': 1, 'daemon_started': 1}" in lines


def test_load_counts_pairs_as_three_mean_loads(print_view):
    lines = print_view("load")
    assert [line.split()[0] for line in lines] == ["1", "4", "7", "10", "13", "16"]
    assert (
        lines[1] == "4 s: 2 connections, mean load 0.3000, on 2 servers; 2 pairs of 1 session groups; "
        "load 0.6 of connections, 1.8 of pairs; highest server loads 1.20, 1.20"
    )


def test_cold_reports_new_and_open_connections_by_server_age(print_view):
    assert print_view("cold") == [
        "age 2 s: 0.50 new connections per second and server, load 0.150; 1.0 open connections per server, load 0.30",
        "age 14 s: 0.50 new connections per second and server, load 0.150; 1.0 open connections per server, load 0.30",
    ]


def test_losses_reports_causes_and_load_against_capacity(print_view):
    lines = print_view("losses")
    assert (
        lines[3 - 1] == "3 {'warm': 1, 'warming up, overloaded': 1} 2 pairs, load on old servers 1 of at most 4, "
        "on 1 new 0.9 of at most 2"
    )
    assert (
        lines[12 - 1] == "12 {'migrated': 1, 'rejected or failed': 1, 'warm': 1, 'warming up': 1} 2 pairs, "
        "load on old servers 1 of at most 4, on 1 new 0.9 of at most 2"
    )
    assert (
        lines[-1] == "total connection-seconds: {'warm': 19, 'warming up, overloaded': 7, 'rejected or failed': 7, "
        "'migrated': 5, 'warming up': 4, 'balancer_restarted': 4}"
    )


def test_client_prints_all_events_of_its_requests_in_time_order(print_view):
    lines = print_view("client", str(ord("z")))
    assert [line.split()[:2] for line in lines] == [["11.0", "n0"], ["12.0", "n0"], ["17.0", "n0"]]
    assert json.loads(lines[1].partition("n0 ")[2]) == connection_ended("z", "migrated", 0.1)


def test_unknown_view_prints_the_usage_and_returns_2(tmp_path):
    command = [sys.executable, ROOT / "benchmarks/fleet_logs.py", tmp_path, "unknown"]
    result = subprocess.run(command, capture_output=True, text=True)
    assert result.returncode == 2 and result.stderr.startswith("Summarizes one day's logs")
