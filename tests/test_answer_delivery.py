"""A decided response arrives complete, also if unread bytes remain when the connection is closed."""

import os
import time

import pytest
import trio
import trio.testing
from frontend_harness import FrontendHarness, Gate
from standins import Runner

from aspensaddle.frontends.line_protocol.connection_slots import ConnectionSlots
from aspensaddle.frontends.line_protocol.link import Link


def test_lines_that_nobody_reads_any_more_reset_no_connection_over_its_last_line():
    """The server's BYE arrives while lines of the client are unread: a plain close would reset the connection."""
    runner = Runner("s-0")
    runner.held = True

    async def script(f):
        peer = await f.send_open()
        connection, _ = await trio.to_thread.run_sync(runner.offered)
        connection.sendall(b"UP s-0\r\n")
        assert await peer.read_line() == b"UP s-0\r\n"
        connection.sendall(b"BYE\r\n")
        connection.shutdown(1)
        await f.wait_until(lambda: not f.frontend.open_connections)
        for n in range(20):
            await peer.send(b"M %d\r\n" % n)
        await f.wait_until(lambda: not f.frontend.slots.open)  # it has read out, and given up waiting
        assert await peer.read_to_end() == b"UP s-0\r\nBYE\r\n" and not peer.was_reset
        peer.stream.socket.close()

    FrontendHarness([runner]).run(script)


def test_an_open_that_crosses_the_end_of_a_resting_connection_gets_a_whole_answer_and_no_runner():
    runner = Runner("s-0")

    async def script(f):
        gate = Gate()
        f.frontend.handler._finish = gate.hold(f.frontend.handler._finish)
        peer = await f.connect()
        await f.wait_until(lambda: f.frontend.slots.open)
        f.frontend.slots.evict_oldest()
        await gate.reached.wait()
        await peer.send(b"OPEN 1 k c=test-run,d=900\r\n")  # comes between the decision and its answer
        gate.opened.set()
        assert (await peer.read_to_end()).startswith(b"BUSY") and not peer.was_reset
        peer.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)
    assert not runner.first_lines


@pytest.mark.parametrize(
    "shed", ["free_descriptor", "abort_oldest_lingering", "evict_oldest", "evict_all_waiting", "abort_all_lingering"]
)
def test_no_answer_that_is_to_come_is_lost_to_those_who_need_room(shed):
    """The response is decided and not written yet, so the connection must not count as lingering."""
    runner = Runner("s-0", b"BUSY\r\n")

    async def script(f):
        gate = Gate()
        f.frontend.handler._finish = gate.hold(f.frontend.handler._finish)
        peer = await f.send_open()
        await gate.reached.wait()
        getattr(f.frontend.slots, shed)()
        await trio.testing.wait_all_tasks_blocked()
        gate.opened.set()
        assert (await peer.read_to_end()).startswith(b"BUSY") and not peer.was_reset
        peer.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner], **{"most-tries": 1}).run(script)


def test_the_end_of_the_process_between_two_lines_does_not_take_an_answer_with_it(monkeypatch):
    runner = Runner("s-0", b"BUSY\r\n")
    send = Link.send

    async def script(f):
        gate = Gate()

        async def held(link, data):
            if data.startswith(b"BUSY"):
                await gate.wait_until_opened()
            await send(link, data)

        monkeypatch.setattr(Link, "send", held)
        peer = await f.send_open()
        await gate.reached.wait()
        f.nursery.cancel_scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        gate.opened.set()
        assert (await peer.read_to_end()).startswith(b"BUSY") and not peer.was_reset
        peer.stream.socket.close()

    FrontendHarness([runner], **{"most-tries": 1}).run(script)


def test_a_move_decided_as_a_connection_is_told_to_stand_comes_behind_its_up():
    """The relay does not exist yet, so there is nothing to stop."""
    runner = Runner("s-0")

    async def script(f):
        established = f.driver.connection_established

        def and_moved(id):
            established(id)
            f.driver._requests[id].handler.migrate()

        f.driver.connection_established = and_moved
        peer = await f.send_open()
        assert await peer.read_to_end() == b"UP s-0\r\nMOVE\r\n" and not peer.was_reset
        peer.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)


def test_no_move_follows_the_end_of_a_client_s_side():
    runner = Runner("s-0")
    runner.held = True

    async def script(f):
        peer = await f.send_open()
        connection, _ = await trio.to_thread.run_sync(runner.offered)
        connection.sendall(b"UP s-0\r\n")
        await peer.read_line()
        (state,) = f.frontend.open_connections.values()
        end_sending = Link.end_sending

        async def and_moved(link):
            await end_sending(link)
            state.migrate()

        state.client.end_sending = lambda: and_moved(state.client)
        connection.sendall(b"BYE\r\n")
        connection.shutdown(1)
        assert await peer.read_to_end() == b"UP s-0\r\nBYE\r\n" and not peer.was_reset
        peer.stream.socket.close()
        await f.wait_until_all_closed()
        assert [e["outcome"] for name, e in f.events if name == "connection_ended"] == ["ok"]

    FrontendHarness([runner]).run(script)


@pytest.mark.parametrize("answer", [b"LOAD 1\r\n" * 2000, b"x" * 4097, b"UP s-0", b"UP " + b"x" * 4095 + b"\r\n"])
def test_a_runner_s_answer_that_never_ends_or_is_too_long_is_a_failed_attempt(answer):
    runner = Runner("s-0")
    runner.held = True

    async def script(f):
        peer = await f.send_open()
        connection, _ = await trio.to_thread.run_sync(runner.offered)
        runner.held = False
        connection.sendall(answer)
        if answer == b"UP s-0":
            connection.shutdown(1)
        assert await peer.read_line() == b"UP s-0\r\n"  # of the second attempt
        peer.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)
    assert len(runner.first_lines) == 2


def test_an_answer_that_comes_after_its_attempt_was_given_up_reaches_nobody():
    runner = Runner("s-0")
    runner.held = True

    async def script(f):
        peer = await f.send_open("c=test-run,d=300")
        connection, _ = await trio.to_thread.run_sync(runner.offered)
        assert (await peer.read_line()).startswith(b"BUSY")
        connection.sendall(b"UP s-0\r\n")
        got = await peer.read_to_end()
        assert got.count(b"\r\n") == 1 and got.startswith(b"BUSY") and not peer.was_reset
        peer.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)


def test_what_this_process_was_late_is_taken_off_the_time_of_a_request():
    """The time counts from a line's last byte, also where the process comes to it late."""
    runner = Runner("s-0")
    runner.held = True

    async def script(f):
        first = await f.send_open()
        await trio.to_thread.run_sync(runner.offered)
        await f.wait_until(lambda: f.frontend.pending_requests)
        peer = await f.connect()
        await f.wait_until(lambda: f.frontend.slots.open == 2)
        busy = trio.lowlevel.current_clock().current_time
        came = busy()
        os.write(peer.stream.socket.fileno(), b"OPEN a k c=test-run,d=3000\r\n")  # no pass of the loop in between
        while busy() < came + 0.4:  # a pass of the loop that takes long
            time.sleep(0.01)
        await f.wait_until(lambda: "a" in f.frontend.pending_requests)
        (left,) = (p.deadline for id, p in f.driver._requests.items() if id == "a")
        # Both what it was late in coming to the line, and what it may be late again with the answer.
        assert left - f.driver.now() <= 3.0 - 0.03 - 0.4 - 0.3
        for p in (peer, first):
            p.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)


def test_the_shares_leave_those_with_an_answer_alone():
    async def main():
        slots = ConnectionSlots({}, 64)
        with slots.hold(None) as slot:
            slots.activate(slot)
            slots.free_descriptor()
            slots.abort_all_lingering()
            assert not slot.linger_scope.cancel_called and not slot.evicted

    trio.run(main)
