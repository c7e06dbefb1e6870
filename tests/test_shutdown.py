"""Graceful shutdown: each accepted client gets a complete response or a MOVE, and the process ends in time."""

import re
import signal
import socket
import threading
from dataclasses import replace

import pytest
import trio
from frontend_harness import FrontendHarness
from helpers import SETTINGS as CORE_SETTINGS
from standins import SETTINGS, TIMEOUT_SECONDS, StubServer, wait_until

from aspensaddle.daemon.graceful_shutdown import (
    KILL_MARGIN_SECONDS,
    MAX_DEADLINE_SECONDS,
    NEW_CONNECTIONS_SECONDS,
    ShutdownPhases,
)

DEADLINES = [0.1, 0.3, 0.6, 1.2, 1.8, 3.0, 12.0]


@pytest.mark.parametrize("event_loop_lag", [0.0, 0.05, 0.3, 2.0])
@pytest.mark.parametrize("deadline", DEADLINES)
def test_phases_are_in_order_and_end_before_the_process_is_killed(deadline, event_loop_lag):
    classes = tuple(
        replace(CORE_SETTINGS.classes[0], deadline=class_deadline) for class_deadline in (deadline, deadline / 2)
    )
    phases = ShutdownPhases.from_settings(replace(CORE_SETTINGS, classes=classes), event_loop_lag)
    kill_time = min(MAX_DEADLINE_SECONDS, deadline) + KILL_MARGIN_SECONDS
    assert (
        0
        < phases.migration_start
        < phases.answer_deadline
        < phases.drain_deadline
        < phases.close_deadline
        < kill_time
    )
    assert kill_time - phases.close_deadline >= min(event_loop_lag, kill_time / 4)
    if event_loop_lag <= 0.05 and deadline <= MAX_DEADLINE_SECONDS:
        # A request accepted right before SIGTERM has its whole time until the deadline.
        assert phases.answer_deadline >= deadline
        # No new connections arrive after the accept queue is drained.
        assert phases.drain_deadline > NEW_CONNECTIONS_SECONDS
    if deadline >= 0.6 and event_loop_lag <= 0.05:
        assert phases.migration_start > NEW_CONNECTIONS_SECONDS


def classes_with_deadline(deadline):
    return [{**request_class, "deadline": deadline} for request_class in SETTINGS["lanes"]]


def open_attempt(deployment, fields="c=test-run,d=900"):
    """Return a client whose attempt a server holds, and the server's socket of the attempt."""
    client = deployment.client()
    client.send_open(fields)
    attempted_server = wait_until(
        lambda: [server for server in deployment.servers if not server.held_connections.empty()], "the attempt"
    )[0]
    return client, attempted_server.next_held_connection()[0]


@pytest.mark.parametrize("deadline", [0.9, 3.0])
def test_sigterm_in_any_stage_of_a_request_leads_to_a_complete_response(deploy, deadline):
    deployment = deploy(settings={**SETTINGS, "lanes": classes_with_deadline(deadline)})
    for server in deployment.servers:
        server.hold_connections = True
    idle, partial = deployment.client(), deployment.client()
    partial.send(b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=te")
    without_response, _ = open_attempt(deployment)  # no server responds to its attempt
    responded_later, responded_later_server = open_attempt(deployment)
    partly_responded, partly_responded_server = open_attempt(deployment)
    partly_responded_server.sendall(b"UP s")
    established, established_server = open_attempt(deployment)
    established_server.sendall(b"UP s-x\r\n")
    within_line, within_line_server = open_attempt(deployment)
    within_line_server.sendall(b"UP s-x\r\nM 1\r\nM 2")
    awaiting_line, awaiting_line_server = open_attempt(deployment)
    awaiting_line_server.sendall(b"UP s-x\r\n")
    assert (
        established.read_line() == within_line.read_line() == awaiting_line.read_line() == b"UP s-x\r\n"
        and within_line.read_line() == b"M 1\r\n"
    )
    awaiting_line.send(b"M 7\r\n")
    assert awaiting_line_server.recv(100) == b"M 7\r\n"
    exit_statuses = []
    thread = threading.Thread(target=lambda: exit_statuses.append(deployment.balancer.terminate()))
    thread.start()
    wait_until(lambda: deployment.balancer.events("shutdown_started"), "the start of the shutdown")
    partial.send(b"st-run,d=900\r\n")
    responded_later_server.sendall(b"UP s-x\r\n")
    partly_responded_server.sendall(b"-x\r\n")
    new, new_idle = deployment.client(), deployment.client()
    assert new.open().startswith(b"BUSY")
    for client in (idle, partial, new_idle, without_response):
        assert re.fullmatch(rb"BUSY( \d+)?\r\n", client.read_to_end())
    for client in (established, within_line, awaiting_line):
        assert client.read_to_end() == b"MOVE\r\n"
    for client in (responded_later, partly_responded):
        assert client.read_to_end() == b"UP s-x\r\nMOVE\r\n"
    thread.join(TIMEOUT_SECONDS)
    assert (
        exit_statuses == [0] and "internal_errors" not in deployment.balancer.events("counters_reported")[0]["counts"]
    )


def test_hundreds_of_established_connections_are_all_migrated(deploy):
    deployment = deploy(limits={"sockets": 1024})
    established = []
    for _ in range(200):
        established.append(deployment.client())
        assert established[-1].open("c=test-run,d=3000").startswith(b"UP ")
    thread = threading.Thread(target=deployment.balancer.terminate)
    thread.start()
    for client in established:
        assert client.read_to_end() == b"MOVE\r\n"
        client.close()
    thread.join(TIMEOUT_SECONDS)
    assert deployment.balancer.process.returncode == 0


@pytest.mark.parametrize("data", [b"OPEN 1 k c=test-run,d=900\r\n", b"OPEN 1 k c=te", b""])
def test_connections_in_the_accept_queue_get_a_response(data):
    """Only the shutdown accepts connections here. Closing the listener first would reset all that are queued."""
    server = StubServer("s-0")

    async def scenario(harness):
        peers = [await harness.connect() for _ in range(60)]
        for peer in peers:
            if data:
                await peer.send(data)
        harness.nursery.start_soon(harness.terminate)
        for peer in peers:
            assert re.fullmatch(rb"BUSY( \d+)?\r\n", await peer.read_to_end()) and not peer.was_reset
            peer.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(scenario, accepting=False)
    assert not server.first_lines


# The request classes: their settings, and the response to a request whose attempt may have been executed.
RESPONSES_BY_CLASS = {
    "safe": ({"repeat": "pure"}, b"BUSY"),
    "any": ({"repeat": "token", "group": "all"}, b"BUSY"),
    "zone": ({"repeat": "token", "group": "zone"}, b"ERR"),
    "once": ({"repeat": "side_effect"}, b"ERR"),
}


def test_response_at_the_answer_deadline_depends_on_whether_a_retry_is_safe(deploy):
    """The deadlines of the requests are later than the time at which the process is killed."""
    deployment = deploy(
        settings={
            **SETTINGS,
            "lanes": [
                {**SETTINGS["lanes"][0], "name": name, "deadline": 30.0, **idempotency}
                for name, (idempotency, _) in RESPONSES_BY_CLASS.items()
            ],
        }
    )
    for server in deployment.servers:
        server.hold_connections = True
    clients = {name: open_attempt(deployment, f"c={name},d=30000")[0] for name in RESPONSES_BY_CLASS}
    assert deployment.balancer.terminate() == 0
    for name, (_, response) in RESPONSES_BY_CLASS.items():
        assert re.fullmatch(response + rb"( \d+)?\r\n", clients[name].read_to_end()), name
    reject_reasons = [event["reject_reason"] for event in deployment.balancer.events("request")]
    assert (
        reject_reasons.count("shutting_down")
        == sum(response == b"BUSY" for _, response in RESPONSES_BY_CLASS.values())
        > 0
    )


def test_drain_and_reload_during_the_shutdown_do_not_delay_it(deploy):
    deployment = deploy()
    wait_until(lambda: deployment.discovery.watch_count, "a watch")
    client = deployment.client()
    assert client.open().startswith(b"UP ")
    deployment.balancer.process.send_signal(signal.SIGTERM)
    wait_until(lambda: deployment.balancer.events("shutdown_started"), "the start of the shutdown")
    deployment.drain(deployment.servers[0])
    deployment.balancer.process.send_signal(signal.SIGHUP)
    deployment.balancer.process.send_signal(signal.SIGTERM)
    assert client.read_to_end() == b"MOVE\r\n"
    assert (
        deployment.balancer.process.wait(TIMEOUT_SECONDS) == 0
        and len(deployment.balancer.events("shutdown_started")) == 1
    )


def test_request_read_after_its_connection_was_evicted_starts_no_attempt(deploy):
    """Some clients are idle until the balancer evicts them, and send a request at that moment."""
    deployment = deploy()
    idle_clients = [deployment.client() for _ in range(10)]
    deployment.balancer.process.send_signal(signal.SIGTERM)
    for number, client in enumerate(idle_clients):
        assert client.read_line().startswith(b"BUSY")
        client.send(b"OPEN %016x 7f3a9c21e0b4d655 c=test-run,d=900\r\n" % number)
        client.sock.shutdown(socket.SHUT_WR)
        assert client.read_to_end() == b""
    assert deployment.balancer.process.wait(TIMEOUT_SECONDS) == 0
    assert not any(server.first_lines for server in deployment.servers)


def test_client_that_never_closes_delays_the_shutdown_only_until_the_close_deadline():
    server = StubServer("s-0")

    async def scenario(harness):
        peers = [await harness.send_open() for _ in range(5)]
        for peer in peers:
            await peer.read_line()
        await harness.terminate()
        assert not harness.frontend.slots.open
        for peer in peers:
            assert (await peer.read_to_end()).endswith(b"MOVE\r\n") and not peer.was_reset
            peer.stream.socket.close()
        await trio.sleep(0)

    FrontendHarness([server]).run(scenario)


def test_request_in_flight_is_waited_for_until_its_response_is_sent():
    """A server's response after the start of migration still establishes a connection, which is then migrated."""
    server = StubServer("s-0")
    server.hold_connections = True

    async def scenario(harness):
        peer = await harness.send_open()
        connection, _ = await trio.to_thread.run_sync(server.next_held_connection)
        assert harness.frontend.unfinished_connections == harness.frontend.slots.active == 1
        harness.nursery.start_soon(harness.terminate)
        await harness.wait_until(lambda: harness.frontend.migrating_all)
        connection.sendall(b"UP s-0\r\n")
        assert await peer.read_to_end() == b"UP s-0\r\nMOVE\r\n" and not peer.was_reset
        # The connection is migrated at once, not only at the answer deadline.
        assert harness.frontend.unfinished_connections == 0 and harness.driver.now() < harness.driver._attempts_end_at
        peer.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(scenario)


def test_request_rejected_as_its_attempt_is_established_is_reported_as_shutting_down():
    server = StubServer("s-0")
    harness = FrontendHarness([server])
    attempt = harness.connector.attempt

    async def attempt_and_reject(*args):
        result = await attempt(*args)
        harness.frontend.reject_pending_requests()
        return result

    async def scenario(harness):
        harness.connector.attempt = attempt_and_reject
        peer = await harness.send_open()
        assert (await peer.read_to_end()).startswith(b"BUSY")
        peer.stream.socket.close()
        await harness.wait_until_all_closed()

    harness.run(scenario)
    assert [fields["reject_reason"] for name, fields in harness.events if name == "request"] == ["shutting_down"]
    assert harness.counters["rejected_shutting_down"] == 1
