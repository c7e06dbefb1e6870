"""The balancer as a process, tested through its sockets."""

import json
import os
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress

import pytest
from standins import ROOT, SETTINGS, TIMEOUT_SECONDS, wait_until


def test_pushed_lists_are_watched_at_the_local_agent_and_again_after_it_fell_silent(deploy):
    """The agent's list counts as up to date, so without a watch a server that is gone would get attempts forever."""
    deployment = deploy(settings={**SETTINGS, "discovery": "pushed"})
    wait_until(lambda: deployment.discovery.watch_count, "a watch")
    deployment.discovery.change(deployment.servers[0].endpoint_entry(state="leaving"))
    wait_until(lambda: "draining" in str(deployment.balancer.events("endpoints_updated")), "the change")
    for number in range(4):
        with deployment.client() as client:
            assert client.open(f"c=test-run,d=2500,g={number}") == b"UP s-1\r\n"
    deployment.discovery.heartbeats_paused = True
    wait_until(lambda: deployment.balancer.events("discovery_call_failed"), "the silence timeout")
    deployment.discovery.heartbeats_paused = False
    deployment.discovery.change(
        deployment.servers[0].endpoint_entry(), deployment.servers[1].endpoint_entry(state="leaving")
    )
    wait_until(
        lambda: '["s-1", "draining"' in json.dumps(deployment.balancer.events("endpoints_updated")), "the change"
    )


SETTINGS_WITH_HEALTH_CHECKS = {
    **SETTINGS,
    "report": {"how": "probe", "fields": ["inflight", "x0"]},
    "tariffs": {"probe": 0.003},
    "limits": {**SETTINGS["limits"], "probes": True},
}


def test_servers_that_health_checks_report_as_loaded_by_others_get_no_attempts(deploy):
    deployment = deploy(settings=SETTINGS_WITH_HEALTH_CHECKS)
    deployment.servers[0].load_report, deployment.servers[1].load_report = (
        b"PONG inflight=90,x0=0.84\r\n",
        b"PONG inflight=9,x0=0.10\r\n",
    )
    wait_until(
        lambda: deployment.balancer.counts().get("health_checks_ok", 0) >= 4, "health checks with load reports"
    )
    # The health checks reuse their connection.
    assert deployment.servers[0].health_check_count >= 2 and len(deployment.servers[0].connections) <= 2
    for number in range(3):  # each is closed once established
        with deployment.client() as client:
            assert client.open(f"c=test-run,t=acme,d=2500,g={number}") == b"UP s-1\r\n"


@pytest.mark.parametrize(
    "report",
    [
        b"",
        b"NO\r\n",
        b"PONG\r\n",
        b"PONG x0=nan\r\n",
        b"\xff" * 9000,
        b"PONG x0=1",
        b"PONG inflight=9,x0=0.1\r\n" * 2,
    ],
)
def test_health_check_responses_that_are_invalid_partial_repeated_or_missing_do_not_affect_requests(deploy, report):
    deployment = deploy(settings=SETTINGS_WITH_HEALTH_CHECKS)
    for server in deployment.servers:
        server.load_report = report
    wait_until(lambda: deployment.balancer.counts().get("health_checks_started", 0) >= 4, "health checks")
    with deployment.client() as client:
        assert client.open("c=test-run,t=,d=2500,g=5").startswith(b"UP s-")
    assert "internal_errors" not in deployment.balancer.counts()


def test_connection_relays_lines_from_open_to_bye(deploy):
    deployment = deploy(b"UP r\r\nLOAD 1500.5\r\n")
    with deployment.client() as client:
        assert client.open("c=draft-save,d=2500,g=5c0f6e1a2b3d4c59,x=1") == b"UP s-0\r\n"
        assert client.read_line() == b"LOAD 1500.5\r\n"  # read by the balancer and still passed on
        assert client.echo(b"M 1 f79c") == b"M 1 f79c\r\n"
        client.send(b"QUIT\r\n")
        assert client.read_line() == b"BYE\r\n"
        assert client.read_line() == b""
    (first_line,) = deployment.servers[0].first_lines
    head, _, tail = first_line.partition(b"d=")
    time_left, _, fields_after = tail.partition(b",")
    assert head.endswith(b" 7f3a9c21e0b4d655 c=draft-save,") and fields_after == b"g=5c0f6e1a2b3d4c59,x=1\r\n"
    assert 0 < int(time_left) < 2500  # the balancer waits for less time than the client
    counts = wait_until(
        lambda: (current := deployment.balancer.counts()).get("connections_ended_ok") and current,
        "the end of the connection",
    )
    assert counts["connections_established"] == counts["attempts_established"] == counts["connections_ended_ok"] == 1


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (b"BUSY\r\n", "rejected"),
        (b"ERR\r\n", "error"),
        (b"MOVE\r\n", "cancelled"),
        (b"\xff\r\n", "error"),
        (b"x" * 5000, "connection_lost"),
        (b"half", "connection_lost"),
        (b"LOAD 5\r\nBUSY\r\n", "rejected"),
    ],
)
def test_failed_attempt_is_counted_by_its_outcome_and_retried_on_another_server(deploy, response, outcome):
    deployment = deploy(response, b"UP r\r\n")
    for _ in range(4):
        with deployment.client() as client:
            assert client.open() == b"UP s-1\r\n"
    counts = deployment.balancer.counts()
    assert counts[f"attempts_{outcome}"] == len(deployment.servers[0].first_lines) >= 1
    assert counts["attempts_started"] == counts["attempts_established"] + counts[f"attempts_{outcome}"]


def test_unreachable_server_is_replaced_by_another(deploy):
    deployment = deploy()
    deployment.servers[0].close()
    for _ in range(4):
        with deployment.client() as client:
            assert client.open() == b"UP s-1\r\n"
    assert deployment.balancer.counts()["attempts_unreachable"] >= 1


def test_connection_that_is_never_established_fails_at_the_connect_timeout(deploy):
    deployment = deploy()
    deployment.servers[0].close()
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full_listener:
        # A full accept queue drops connection attempts, as a machine that has vanished would.
        queued = [socket.socket() for _ in range(4)]
        for connection in queued:
            connection.setblocking(False)
            connection.connect_ex(full_listener.getsockname())
        deployment.discovery.change(
            deployment.servers[0].endpoint_entry(endpoint=f"127.0.0.1:{full_listener.getsockname()[1]}")
        )
        wait_until(
            lambda: (
                deployment.discovery.watch_count
                and any(event["revision"] == 2 for event in deployment.balancer.events("endpoints_updated"))
            ),
            "the change",
        )
        for _ in range(4):
            with deployment.client() as client:
                assert client.open() == b"UP s-1\r\n"
        assert deployment.balancer.counts()["attempts_unreachable"] >= 1
        for connection in queued:
            connection.close()


def test_request_that_every_server_rejects_is_rejected_once_and_without_delay(deploy):
    deployment = deploy(b"BUSY\r\n")
    with deployment.client() as client:
        client.sock.settimeout(TIMEOUT_SECONDS)
        response = client.open("c=test-run,d=100000")
        assert response.startswith(b"BUSY ") and 0 < int(response[5:]) <= 1000
        assert client.read_line() == b""
    assert len(deployment.servers[0].first_lines) <= 6
    assert deployment.balancer.counts()["rejected_attempts_exhausted"] == 1
    assert deployment.balancer.events("request")[0]["reject_reason"] == "attempts_exhausted"


def test_attempt_on_a_silent_server_times_out_before_the_client_does(deploy):
    deployment = deploy(b"")
    with deployment.client() as client:
        start = time.monotonic()
        assert client.open("c=test-run,d=600").startswith(b"BUSY ")
        assert time.monotonic() - start > 0.3  # the balancer waited for the server
    assert deployment.balancer.counts()["attempts_timed_out"] == 1


@pytest.mark.parametrize(
    "line",
    [
        b"\r\n",
        b"GET / HTTP/1.1\r\n",
        b"OPEN\r\n",
        b"OPEN a b c=nope\r\n",
        b"OPEN a b c=test-run,d=-1\r\n",
        b"\x00\xff\r\n",
        b"y" * 5000,
    ],
)
def test_invalid_line_gets_err_and_does_not_affect_other_connections(deploy, line):
    deployment = deploy()
    with deployment.client() as invalid, deployment.client() as valid:
        invalid.send(line)
        assert invalid.read_line() == b"ERR\r\n"
        assert valid.open().startswith(b"UP ")
    assert "internal_errors" not in deployment.balancer.counts()


def test_half_close_is_passed_on_and_lines_still_return(deploy):
    deployment = deploy(b"UP r\r\n")
    with deployment.client() as client:
        client.open()
        client.send(b"last words\r\n")
        client.sock.shutdown(socket.SHUT_WR)
        assert client.read_line() == b"last words\r\n"
        assert client.read_line() == b""


def test_connections_end_when_their_server_dies(deploy):
    deployment = deploy(b"UP r\r\n")
    with deployment.client() as client:
        client.open()
        deployment.servers[0].close()
        with suppress(ConnectionResetError):
            assert client.read_line() == b""


def test_client_of_a_server_that_returns_no_lines_is_migrated(deploy):
    deployment = deploy(b"UP r\r\n")
    with deployment.client() as client:
        client.open()
        deployment.servers[0].discard_lines = True
        client.send(b"M 1\r\n")
        start = time.monotonic()
        assert client.read_line() == b"MOVE\r\n" and client.read_line() == b""
        assert time.monotonic() - start > 2


def test_draining_server_gets_no_new_connections_until_it_is_ready_again(deploy):
    deployment = deploy()
    wait_until(lambda: deployment.discovery.watch_count, "a watch")
    deployment.discovery.change(deployment.servers[0].endpoint_entry(state="leaving"))
    wait_until(
        lambda: any(event["revision"] == 2 for event in deployment.balancer.events("endpoints_updated")), "the change"
    )
    for _ in range(6):
        with deployment.client() as client:
            assert client.open() == b"UP s-1\r\n"
    deployment.discovery.change(
        deployment.servers[0].endpoint_entry(state="active"), deployment.servers[1].endpoint_entry(state="left")
    )
    wait_until(
        lambda: any(event["revision"] == 3 for event in deployment.balancer.events("endpoints_updated")),
        "the change back",
    )
    with deployment.client() as client:
        assert client.open() == b"UP s-0\r\n"


def test_watch_that_is_rejected_or_falls_silent_is_opened_again(deploy):
    deployment = deploy()
    deployment.discovery.calls_to_reject = 2
    wait_until(lambda: deployment.discovery.watch_count, "a watch after rejected calls")
    deployment.discovery.heartbeats_paused = True  # like a machine that has vanished
    wait_until(lambda: deployment.discovery.watch_count > 1, "a second watch")


def test_adopted_connections_go_to_the_server_that_they_name(deploy):
    deployment = deploy()
    for _ in range(3):
        with deployment.client() as client:
            assert client.open("c=test-run,d=1000,at=s-1") == b"UP s-1\r\n"
    assert deployment.balancer.counts()["connections_established"] == 3


def test_shutdown_migrates_all_connections_and_rejects_new_requests(deploy):
    deployment = deploy()
    established = [deployment.client() for _ in range(5)]
    for client in established:
        assert client.open().startswith(b"UP ")
    exit_statuses = []
    thread = threading.Thread(target=lambda: exit_statuses.append(deployment.balancer.terminate()))
    thread.start()
    wait_until(lambda: deployment.balancer.events("shutdown_started"), "the start of the shutdown")
    with deployment.client() as late_client:
        assert late_client.open().startswith(b"BUSY ")
    for client in established:
        assert client.read_line() == b"MOVE\r\n" and client.read_line() == b""
        client.close()
    thread.join(TIMEOUT_SECONDS)
    assert exit_statuses == [0]
    (counters,) = deployment.balancer.events("counters_reported")  # logged at exit
    assert counters["counts"]["connections_migrated"] == 5


@pytest.mark.parametrize("limit", [{"limits": {"sockets": 80}}, {"max_descriptors": 80}])
def test_requests_beyond_the_descriptor_limit_are_rejected_until_connections_close(deploy, limit):
    deployment = deploy(**limit)
    clients = [deployment.client() for _ in range(45)]
    responses = [client.open() for client in clients]
    # Some requests are rejected, but each gets a response.
    assert {response.split()[0] for response in responses} == {b"UP", b"BUSY"}
    for client in clients:
        client.close()

    def accepts_a_request():
        with deployment.client() as client:
            return client.open().startswith(b"UP ")

    wait_until(accepts_a_request, "free descriptors")
    counts = deployment.balancer.counts()
    assert "internal_errors" not in counts and "connects_failed_no_descriptors" not in counts


def test_connections_beyond_the_descriptor_limit_wait_in_the_accept_queue(deploy):
    deployment = deploy(max_descriptors=64)
    idle_clients = [deployment.client() for _ in range(100)]  # without a request, so they get no response
    for client in idle_clients:
        client.close()
    with deployment.client() as client:
        assert client.open().startswith(b"UP ")


def test_invalid_configuration_exits_with_one_line_that_names_the_field(tmp_path):
    def error_of_start(**environ):
        completed = subprocess.run(
            [sys.executable, "-m", "aspensaddle"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            env={**os.environ, "ASPENSADDLE_QUIC": "/nowhere", **environ},
        )
        assert completed.returncode == 2 and completed.stdout == "" and completed.stderr.count("\n") == 1
        return completed.stderr

    path = tmp_path / "config.json"
    assert "LB_CONFIG" in error_of_start(LB_CONFIG="")
    assert str(path) in error_of_start(LB_CONFIG=str(path))
    for body, field in (
        ("{", "not JSON"),
        ("{}", "settings"),
        ('{"settings": {"lanes": [{}]}}', "settings.lanes[0].aim"),
        (json.dumps({"settings": {"lanes": []}, "name": "n"}), "settings.lanes"),
    ):
        path.write_text(body)
        assert field in error_of_start(LB_CONFIG=str(path))
