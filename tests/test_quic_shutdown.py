"""Graceful shutdown with the QUIC front end: each request that was accepted before SIGTERM gets a final answer."""

import time

import pytest
from test_quic_delivery import use_effect

from aspensaddle.conformance.packet_builder import client_hello, crypto_frame, initial_packet
from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.conformance.testbed import Testbed, TestbedSetup
from aspensaddle.daemon.graceful_shutdown import KILL_MARGIN_SECONDS, MAX_DEADLINE_SECONDS
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED, INTERNAL_ERROR

KILL_SECONDS = MAX_DEADLINE_SECONDS + KILL_MARGIN_SECONDS  # after SIGTERM, with deadlines of 3 s or more


@pytest.fixture
def start_process(tmp_path):
    """Return a function that starts a testbed with one balancer process; the arguments are those of `TestbedSetup`."""
    testbeds = []

    def start(**setup):
        testbeds.append(Testbed(TestbedSetup(reply_timeout=10.0, **setup), tmp_path))
        testbeds[-1].begin_case()
        return testbeds[-1]

    yield start
    for testbed in testbeds:
        testbed.close()


def delay_replies(testbed, seconds):
    for server in testbed.servers:
        server.link_out.delay = seconds


def terminate_with_open_requests(testbed, count):
    """Send SIGTERM while servers have begun `count` requests; return the clients and the time of the signal."""
    clients = [testbed.client() for _ in range(count)]
    testbed.wait(lambda: testbed.connections_started() == count, "the attempts")
    assert not any(client.handshake_complete or client.terminations for client in clients)
    testbed.frontend.terminate()
    return clients, time.monotonic()


# The process


def test_sessions_whose_servers_reply_after_sigterm_are_established(start_process):
    """Guards against a process that exits while requests over QUIC are open: their clients got no answer."""
    testbed = start_process(deadline=3.0)
    delay_replies(testbed, 0.9)
    clients, _ = terminate_with_open_requests(testbed, 6)
    testbed.run(1.2)
    delay_replies(testbed, 0.0)
    testbed.wait(lambda: testbed.frontend.exit_status is not None, "the exit")
    assert [client.handshake_complete for client in clients] == [True] * 6 and testbed.frontend.exit_status == 0
    testbed.frontend.restart()
    assert {testbed.request(client) for client in clients} <= {server.uid for server in testbed.servers}
    assert testbed.connections_started() == 6


def test_request_whose_server_never_replies_is_answered_before_the_process_is_killed(start_process):
    testbed = start_process(deadline=20.0)
    delay_replies(testbed, 60.0)
    clients, terminated_at = terminate_with_open_requests(testbed, 3)
    testbed.wait(lambda: testbed.frontend.exit_status is not None, "the exit")
    assert time.monotonic() - terminated_at < KILL_SECONDS and testbed.frontend.exit_status == 0
    testbed.wait(lambda: all(client.terminations for client in clients), "the end of the drain period of the clients")
    assert [[end.error_code for end in client.terminations] for client in clients] == [[CONNECTION_REFUSED]] * 3


def test_established_sessions_do_not_delay_the_exit(start_process):
    testbed = start_process(deadline=20.0)
    clients = testbed.connected_clients(3)
    server_uids = [testbed.request(client) for client in clients]
    testbed.frontend.terminate()
    terminated_at = time.monotonic()
    testbed.wait(lambda: testbed.frontend.exit_status is not None, "the exit")
    assert time.monotonic() - terminated_at < KILL_SECONDS / 2
    testbed.frontend.restart()
    assert [testbed.request(client) for client in clients] == server_uids


# The engine


@pytest.mark.parametrize(
    ("effect", "code"), [("pure", CONNECTION_REFUSED), ("token", CONNECTION_REFUSED), ("side_effect", INTERNAL_ERROR)]
)
def test_pending_request_is_rejected_only_if_a_retry_by_the_client_is_harmless(create_testbed, effect, code):
    testbed = create_testbed(modes=(ServerMode.OK,))
    use_effect(testbed, effect)
    delay_replies(testbed, 0.2)
    client = testbed.client()
    testbed.wait(testbed.connections_started, "the attempt")
    unfinished = testbed.frontend.engine.unfinished_requests
    assert unfinished.count() == 1
    unfinished.reject_pending()
    unfinished.reject_pending()
    assert unfinished.count() == 0
    testbed.run(1.0)  # the server's reply comes too late: the client gets one final answer
    assert [end.error_code for end in client.terminations] == [code] and not client.handshake_complete


def test_request_with_an_incomplete_client_hello_is_rejected(create_testbed):
    testbed = create_testbed(rules='[[rules]]\nsni = "x.example"\nclass = "draft-save"\n')
    raw = testbed.raw_endpoint()
    raw.send(initial_packet(testbed.dcid, crypto_frame(0, client_hello(size=1500)[:600])), testbed.address)
    unfinished = testbed.frontend.engine.unfinished_requests
    testbed.wait(unfinished.count, "the session")
    unfinished.reject_pending()
    testbed.wait(lambda: raw.received_datagrams, "the rejection")
    assert unfinished.count() == 0 and testbed.connections_started() == 0


def test_request_is_unfinished_until_its_client_has_completed_the_handshake(create_testbed):
    testbed = create_testbed(modes=(ServerMode.OK,))
    client = testbed.client()
    client.hold_datagrams = True  # of the handshake, only the first flight of the client has left
    unfinished = testbed.frontend.engine.unfinished_requests
    testbed.wait(lambda: client.handshake_complete, "the server's flight")
    testbed.run(0.1)
    assert unfinished.count() == 1 and not testbed.frontend.engine.session_setup.pending_count
    client.hold_datagrams = False
    testbed.wait(lambda: unfinished.count() == 0, "the client's flight")


def test_client_that_vanished_during_its_handshake_counts_only_until_its_deadline(create_testbed):
    testbed = create_testbed(modes=(ServerMode.OK,), deadline=2.0)
    client = testbed.client()
    client.hold_datagrams = True
    started_at = testbed.net.now()
    unfinished = testbed.frontend.engine.unfinished_requests
    testbed.wait(
        lambda: unfinished.count() == 1 and not testbed.frontend.engine.session_setup.pending_count, "the session"
    )
    testbed.wait(lambda: unfinished.count() == 0, "the deadline")
    assert 2.0 <= testbed.net.now() - started_at <= 2.5
