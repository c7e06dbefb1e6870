"""No attempt is made for a client that has disconnected, at any stage of its request."""

import signal
import socket

import pytest
import trio
from frontend_harness import FrontendHarness, Gate
from standins import Client, StubServer, wait_until


@pytest.mark.parametrize("departure", ["ends", "resets"])
@pytest.mark.parametrize("clients_ahead", [0, 40])
def test_client_that_left_before_its_accept_causes_no_attempt(departure, clients_ahead):
    """Its OPEN and its end have both arrived before the first read; other clients are ahead in the accept queue."""
    server = StubServer("s-0")
    server.hold_connections = True

    async def script(harness):
        others = [await harness.send_open() for _ in range(clients_ahead)]
        client = await harness.connect()
        await client.send(b"OPEN left k c=test-run,d=3000\r\n")
        if departure == "ends":
            await client.stream.send_eof()
        else:
            client.reset()
        harness.nursery.start_soon(harness.frontend.serve, harness.listener, harness.nursery)
        for _ in range(clients_ahead):
            await trio.to_thread.run_sync(server.next_held_connection)
        if departure == "ends":
            await client.read_to_end()
            client.stream.socket.close()
        for other in others:
            other.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script, accepting=False)
    assert not any(b" left " in line for line in server.first_lines) and len(server.first_lines) == clients_ahead


@pytest.mark.parametrize("departure", ["ends", "resets"])
def test_client_that_left_during_the_first_attempt_causes_no_second_one(departure):
    """One event loop pass detects both ends, that of the attempt before that of the client."""
    server = StubServer("s-0")
    server.hold_connections = True

    async def script(harness):
        client = await harness.send_open()
        connection, _ = await trio.to_thread.run_sync(server.next_held_connection)
        server.hold_connections = False
        (state,) = harness.frontend.pending_requests.values()
        gate = Gate()
        harness.connector._connect = gate.hold(harness.connector._connect)
        connection.sendall(b"BUSY\r\n")
        await gate.reached.wait()
        state.placement_scope = trio.CancelScope()  # as if `watch` ran later; only a poll detects the end
        if departure == "ends":
            await client.stream.send_eof()
        else:
            client.reset()
        gate.opened.set()
        if departure == "ends":
            await client.read_to_end()
            client.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)
    assert len(server.first_lines) == 1


def test_client_that_sends_a_command_before_its_response_gets_an_error_and_no_further_attempt():
    server = StubServer("s-0")
    server.hold_connections = True

    async def script(harness):
        client = await harness.send_open()
        connection, _ = await trio.to_thread.run_sync(server.next_held_connection)
        server.hold_connections = False
        gate = Gate()
        harness.connector._connect = gate.hold(harness.connector._connect)
        connection.sendall(b"BUSY\r\n")
        await gate.reached.wait()
        await client.send(b"OPEN other k c=test-run,d=900\r\n")
        gate.opened.set()
        assert await client.read_to_end() == b"ERR\r\n" and not client.was_reset
        client.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)
    assert len(server.first_lines) == 1


def test_client_that_left_during_its_adoption_causes_no_attempt():
    server = StubServer("s-0")

    async def script(harness):
        gate = Gate()
        harness.connector._connect = gate.hold(harness.connector._connect)
        client = await harness.send_open("c=test-run,d=900,at=s-0")
        await gate.reached.wait()
        await client.stream.send_eof()
        gate.opened.set()
        await client.read_to_end()
        client.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)
    assert not server.first_lines


@pytest.mark.parametrize("leave", [Client.close, Client.reset])
def test_clients_that_left_while_the_process_was_stopped_cause_no_attempts(deploy, leave):
    deployment = deploy()
    deployment.balancer.process.send_signal(signal.SIGSTOP)
    for n in range(20):
        client = Client(deployment.balancer.address)
        client.send(b"OPEN %016x 7f3a9c21e0b4d655 c=test-run,d=3000\r\n" % n)
        leave(client)
    deployment.balancer.process.send_signal(signal.SIGCONT)
    wait_until(lambda: deployment.balancer.counts().get("connections", 0) >= 21, "the connections")
    with deployment.client() as client:
        assert client.open().startswith(b"UP ")
    assert sum(len(server.first_lines) for server in deployment.servers) == 1


def test_client_that_ends_its_sending_before_the_up_has_its_attempt_cancelled(deploy):
    deployment = deploy()
    for server in deployment.servers:
        server.hold_connections = True
    with deployment.client() as client:
        client.send(b"OPEN 1 k c=test-run,d=3000\r\n")
        attempted_server = wait_until(
            lambda: [server for server in deployment.servers if server.first_lines], "the attempt"
        )[0]
        connection, _ = attempted_server.next_held_connection()
        client.sock.shutdown(socket.SHUT_WR)
        assert connection.recv(100) == b""  # the attempt is cancelled
        assert client.read_to_end() == b""
    assert sum(len(server.first_lines) for server in deployment.servers) == 1
