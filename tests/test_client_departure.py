"""No attempt is made for a client that has disconnected, at any stage."""

import signal
import socket

import pytest
import trio
from frontend_harness import FrontendHarness, Gate
from standins import Client, Runner, until


@pytest.mark.parametrize("leave", ["ends", "resets"])
@pytest.mark.parametrize("behind", [0, 40])
def test_one_that_left_in_the_accept_queue_is_not_sent_on(leave, behind):
    """Its OPEN and its end have both arrived before the first read; other clients are ahead of it."""
    runner = Runner("s-0")
    runner.held = True

    async def script(f):
        others = [await f.send_open() for _ in range(behind)]
        peer = await f.connect()
        await peer.send(b"OPEN left k c=test-run,d=3000\r\n")
        if leave == "ends":
            await peer.stream.send_eof()
        else:
            peer.reset()
        f.nursery.start_soon(f.frontend.serve, f.listener, f.nursery)
        for _ in range(behind):
            await trio.to_thread.run_sync(runner.offered)
        if leave == "ends":
            await peer.read_to_end()
            peer.stream.socket.close()
        for other in others:
            other.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script, accepting=False)
    assert not any(b" left " in line for line in runner.first_lines) and len(runner.first_lines) == behind


@pytest.mark.parametrize("leave", ["ends", "resets"])
def test_a_further_attempt_does_not_begin_for_one_that_left_during_the_first(leave):
    """The end of the first attempt and that of the client are found in one pass, the attempt's first."""
    runner = Runner("s-0")
    runner.held = True

    async def script(f):
        peer = await f.send_open()
        connection, _ = await trio.to_thread.run_sync(runner.offered)
        runner.held = False
        (state,) = f.frontend.pending_requests.values()
        gate = Gate()
        f.connector._connect = gate.hold(f.connector._connect)
        connection.sendall(b"BUSY\r\n")
        await gate.reached.wait()
        state.placement_scope = trio.CancelScope()  # whoever reads comes to the end later: only a look can tell
        if leave == "ends":
            await peer.stream.send_eof()
        else:
            peer.reset()
        gate.opened.set()
        if leave == "ends":
            await peer.read_to_end()
            peer.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)
    assert len(runner.first_lines) == 1


def test_a_client_that_sends_commands_while_it_waits_gets_an_error_and_no_further_attempt():
    runner = Runner("s-0")
    runner.held = True

    async def script(f):
        peer = await f.send_open()
        connection, _ = await trio.to_thread.run_sync(runner.offered)
        runner.held = False
        gate = Gate()
        f.connector._connect = gate.hold(f.connector._connect)
        connection.sendall(b"BUSY\r\n")
        await gate.reached.wait()
        await peer.send(b"OPEN other k c=test-run,d=900\r\n")
        gate.opened.set()
        assert await peer.read_to_end() == b"ERR\r\n" and not peer.was_reset
        peer.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)
    assert len(runner.first_lines) == 1


def test_an_adoption_is_not_offered_for_one_that_left():
    runner = Runner("s-0")

    async def script(f):
        gate = Gate()
        f.connector._connect = gate.hold(f.connector._connect)
        peer = await f.send_open("c=test-run,d=900,at=s-0")
        await gate.reached.wait()
        await peer.stream.send_eof()
        gate.opened.set()
        await peer.read_to_end()
        peer.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)
    assert not runner.first_lines


@pytest.mark.parametrize("leave", [Client.close, Client.reset])
def test_the_program_finds_those_that_left_while_it_stood_still(world, leave):
    w = world()
    w.program.process.send_signal(signal.SIGSTOP)
    for n in range(20):
        c = Client(w.program.address)
        c.send(b"OPEN %016x 7f3a9c21e0b4d655 c=test-run,d=3000\r\n" % n)
        leave(c)
    w.program.process.send_signal(signal.SIGCONT)
    until(lambda: w.program.counts().get("connections", 0) >= 21, "the connections")
    with w.client() as c:
        assert c.open().startswith(b"UP ")
    assert sum(len(r.first_lines) for r in w.runners) == 1


def test_a_client_that_ends_its_sending_before_its_up_has_gone(world):
    w = world()
    for r in w.runners:
        r.held = True
    with w.client() as c:
        c.send(b"OPEN 1 k c=test-run,d=3000\r\n")
        held = until(lambda: [r for r in w.runners if r.first_lines], "the attempt")[0]
        connection, _ = held.offered()
        c.sock.shutdown(socket.SHUT_WR)
        assert connection.recv(100) == b""  # the attempt is given up
        assert c.rest() == b""
    assert sum(len(r.first_lines) for r in w.runners) == 1
