"""Responses arrive complete, also if the client sends during the close or the process shuts down."""

import os
import time

import pytest
import trio
import trio.testing
from frontend_harness import FrontendHarness, Gate
from standins import StubServer

from aspensaddle.frontends.line_protocol.connection_slots import ConnectionSlots
from aspensaddle.frontends.line_protocol.link import Link


def test_client_that_still_sends_after_the_server_ended_gets_the_bye_without_a_reset():
    """Guards against a plain close while lines of the client are unread, which would reset the connection."""
    server = StubServer("s-0")
    server.hold_connections = True

    async def script(harness):
        client = await harness.send_open()
        connection, _ = await trio.to_thread.run_sync(server.next_held_connection)
        connection.sendall(b"UP s-0\r\n")
        assert await client.read_line() == b"UP s-0\r\n"
        connection.sendall(b"BYE\r\n")
        connection.shutdown(1)
        await harness.wait_until(lambda: not harness.frontend.open_connections)
        for n in range(20):
            await client.send(b"M %d\r\n" % n)
        # The lingering close reads these lines and times out.
        await harness.wait_until(lambda: not harness.frontend.slots.open)
        assert await client.read_to_end() == b"UP s-0\r\nBYE\r\n" and not client.was_reset
        client.stream.socket.close()

    FrontendHarness([server]).run(script)


def test_open_that_arrives_during_an_eviction_gets_a_complete_busy_and_no_attempt():
    server = StubServer("s-0")

    async def script(harness):
        gate = Gate()
        harness.frontend.handler._finish = gate.hold(harness.frontend.handler._finish)
        client = await harness.connect()
        await harness.wait_until(lambda: harness.frontend.slots.open)
        harness.frontend.slots.evict_oldest()
        await gate.reached.wait()
        await client.send(b"OPEN 1 k c=test-run,d=900\r\n")  # arrives between the eviction and its response
        gate.opened.set()
        assert (await client.read_to_end()).startswith(b"BUSY") and not client.was_reset
        client.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)
    assert not server.first_lines


@pytest.mark.parametrize(
    "free_descriptors",
    ["free_descriptor", "abort_oldest_lingering", "evict_oldest", "evict_all_waiting", "abort_all_lingering"],
)
def test_response_not_sent_yet_arrives_although_descriptors_are_freed(free_descriptors):
    """Guards against counting a connection as lingering before its response is written."""
    server = StubServer("s-0", b"BUSY\r\n")

    async def script(harness):
        gate = Gate()
        harness.frontend.handler._finish = gate.hold(harness.frontend.handler._finish)
        client = await harness.send_open()
        await gate.reached.wait()
        getattr(harness.frontend.slots, free_descriptors)()
        await trio.testing.wait_all_tasks_blocked()
        gate.opened.set()
        assert (await client.read_to_end()).startswith(b"BUSY") and not client.was_reset
        client.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server], **{"most-tries": 1}).run(script)


def test_response_that_is_being_sent_arrives_although_the_process_ends(monkeypatch):
    server = StubServer("s-0", b"BUSY\r\n")
    send = Link.send

    async def script(harness):
        gate = Gate()

        async def send_once_opened(link, data):
            if data.startswith(b"BUSY"):
                await gate.wait_until_opened()
            await send(link, data)

        monkeypatch.setattr(Link, "send", send_once_opened)
        client = await harness.send_open()
        await gate.reached.wait()
        harness.nursery.cancel_scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        gate.opened.set()
        assert (await client.read_to_end()).startswith(b"BUSY") and not client.was_reset
        client.stream.socket.close()

    FrontendHarness([server], **{"most-tries": 1}).run(script)


def test_migration_decided_while_a_connection_is_established_sends_move_after_up():
    """The relay does not exist yet at that moment, so it cannot be stopped."""
    server = StubServer("s-0")

    async def script(harness):
        connection_established = harness.driver.connection_established

        def establish_and_migrate(id):
            connection_established(id)
            harness.driver._requests[id].handler.migrate()

        harness.driver.connection_established = establish_and_migrate
        client = await harness.send_open()
        assert await client.read_to_end() == b"UP s-0\r\nMOVE\r\n" and not client.was_reset
        client.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)


def test_migration_after_sending_to_the_client_ended_sends_no_move():
    server = StubServer("s-0")
    server.hold_connections = True

    async def script(harness):
        client = await harness.send_open()
        connection, _ = await trio.to_thread.run_sync(server.next_held_connection)
        connection.sendall(b"UP s-0\r\n")
        await client.read_line()
        (state,) = harness.frontend.open_connections.values()
        end_sending = Link.end_sending

        async def end_sending_and_migrate(link):
            await end_sending(link)
            state.migrate()

        state.client.end_sending = lambda: end_sending_and_migrate(state.client)
        connection.sendall(b"BYE\r\n")
        connection.shutdown(1)
        assert await client.read_to_end() == b"UP s-0\r\nBYE\r\n" and not client.was_reset
        client.stream.socket.close()
        await harness.wait_until_all_closed()
        assert [fields["outcome"] for name, fields in harness.events if name == "connection_ended"] == ["ok"]

    FrontendHarness([server]).run(script)


@pytest.mark.parametrize("response", [b"LOAD 1\r\n" * 2000, b"x" * 4097, b"UP s-0", b"UP " + b"x" * 4095 + b"\r\n"])
def test_endless_or_too_long_server_response_fails_the_attempt_and_a_second_one_succeeds(response):
    server = StubServer("s-0")
    server.hold_connections = True

    async def script(harness):
        client = await harness.send_open()
        connection, _ = await trio.to_thread.run_sync(server.next_held_connection)
        server.hold_connections = False
        connection.sendall(response)
        if response == b"UP s-0":
            connection.shutdown(1)
        assert await client.read_line() == b"UP s-0\r\n"  # from the second attempt
        client.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)
    assert len(server.first_lines) == 2


def test_server_response_after_the_attempt_timed_out_is_not_passed_on():
    server = StubServer("s-0")
    server.hold_connections = True

    async def script(harness):
        client = await harness.send_open("c=test-run,d=300")
        connection, _ = await trio.to_thread.run_sync(server.next_held_connection)
        assert (await client.read_line()).startswith(b"BUSY")
        connection.sendall(b"UP s-0\r\n")
        received = await client.read_to_end()
        assert received.count(b"\r\n") == 1 and received.startswith(b"BUSY") and not client.was_reset
        client.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)


def test_event_loop_lag_is_subtracted_from_the_time_left_of_a_request():
    """The time of a request counts from the last byte of its line, also if the process reads the line late."""
    server = StubServer("s-0")
    server.hold_connections = True

    async def script(harness):
        first = await harness.send_open()
        await trio.to_thread.run_sync(server.next_held_connection)
        await harness.wait_until(lambda: harness.frontend.pending_requests)
        client = await harness.connect()
        await harness.wait_until(lambda: harness.frontend.slots.open == 2)
        clock_time = trio.lowlevel.current_clock().current_time
        arrived_at = clock_time()
        os.write(client.stream.socket.fileno(), b"OPEN a k c=test-run,d=3000\r\n")  # no event loop pass in between
        while clock_time() < arrived_at + 0.4:  # an event loop pass that takes long
            time.sleep(0.01)
        await harness.wait_until(lambda: "a" in harness.frontend.pending_requests)
        (deadline,) = (request.deadline for id, request in harness.driver._requests.items() if id == "a")
        # Subtracted are the delay in reading the line and the same lag once more, expected for the response.
        assert deadline - harness.driver.now() <= 3.0 - 0.03 - 0.4 - 0.3
        for connected in (client, first):
            connected.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)


def test_freeing_descriptors_does_not_close_an_active_connection():
    async def main():
        slots = ConnectionSlots({}, 64)
        with slots.hold(None) as slot:
            slots.activate(slot)
            slots.free_descriptor()
            slots.abort_all_lingering()
            assert not slot.linger_scope.cancel_called and not slot.evicted

    trio.run(main)
