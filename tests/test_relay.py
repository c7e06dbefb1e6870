"""Relay between a client and its server, the log, and an internal error, all in the test's process."""

import os
import socket
from types import SimpleNamespace

import hypothesis
import pytest
import trio
from helpers import SETTINGS
from hypothesis import given
from hypothesis import strategies as st

from aspensaddle.core.events import Outcome
from aspensaddle.frontends.line_protocol.errors import LineTooLongError
from aspensaddle.frontends.line_protocol.frontend import LineProtocolFrontend
from aspensaddle.frontends.line_protocol.link import MAX_LINE_BYTES, Link
from aspensaddle.frontends.line_protocol.load_report_parser import LatencySchedule, LoadReportParser
from aspensaddle.frontends.line_protocol.relay import Relay
from aspensaddle.support.counters import Counters
from aspensaddle.support.log import MAX_QUEUED_LINES, Log


class RecordingDriver:
    def __init__(self):
        self.loads, self.latencies, self.response_delays = [], [], []

    def connection_load_reported(self, id, load):
        self.loads.append(load)

    def server_latency_reported(self, id, latency):
        self.latencies.append(latency)

    def record_response_delay(self, id, delay):
        self.response_delays.append(delay)


def trio_socket_pair():
    return [trio.SocketStream(trio.socket.from_stdlib_socket(s)) for s in tcp_socket_pair()]


def tcp_socket_pair():
    listener = socket.create_server(("127.0.0.1", 0))  # TCP, since the tests need resets
    peer = socket.create_connection(listener.getsockname())
    stream, _ = listener.accept()
    listener.close()
    peer.setblocking(False)
    stream.setblocking(False)
    return peer, stream


def run_relay(script):
    """Run a relay while `script(client, server, relay)` acts as both peers; return it and whether the client migrates."""

    async def main():
        (client, client_side), (server_side, server) = trio_socket_pair(), trio_socket_pair()
        relay = Relay(
            Link(client_side),
            Link(server_side),
            "id",
            RecordingDriver(),
            Counters(),
            LoadReportParser(SETTINGS, LatencySchedule(), trio.current_time()),
        )
        migrated = []

        async def run():
            migrated.append(await relay.run(b"UP r\r\n"))

        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run)
                assert await client.receive_some(100) == b"UP r\r\n"
                await script(client, server, relay)
        return relay, migrated[0]

    return trio.run(main)


# A derandomized test draws by the hash of its source; the seed keeps the draws of an earlier source.
@hypothesis.seed(0x4C0BFAC3A0DAFBEE3CE9FEA4D90E3758CB5DBB9520A966E847C71707A43A50D7C5EE7A0D47DEDB2094189D48D15F9764)
@given(
    st.lists(st.binary(min_size=1, max_size=30).map(lambda line: line.replace(b"\n", b"")), min_size=1, max_size=5),
    st.lists(st.integers(1, 40), max_size=6),
)
def test_lines_are_relayed_unchanged_however_they_are_split(lines, cuts):
    data = b"".join(b"M" + line + b"\r\n" for line in lines)

    async def script(client, server, relay):
        for source, sink in ((server, client), (client, server)):
            offset, received = 0, b""
            for cut in [*cuts, len(data)]:
                if data[offset : offset + cut]:
                    await source.send_all(data[offset : offset + cut])
                offset += cut
            while len(received) < len(data):
                received += await sink.receive_some(4096)
            assert received == data
        relay.stop()

    run_relay(script)


def test_incomplete_line_is_held_back_so_that_a_move_can_follow_a_complete_one():
    async def script(client, server, relay):
        await server.send_all(b"LOAD 250000\r\nhalf a li")
        assert await client.receive_some(100) == b"LOAD 250000\r\n"
        with trio.move_on_after(0.2) as limit:
            await client.receive_some(100)
        assert limit.cancelled_caught
        relay.stop()

    relay, migrated = run_relay(script)
    assert migrated and relay.client_at_line_end and relay.driver.loads == [0.25]


@pytest.mark.parametrize(
    ("last_line", "outcome"),
    [(b"BYE\r\n", Outcome.OK), (b"MOVE\r\n", Outcome.CANCELLED), (b"M 1\r\n", Outcome.CONNECTION_LOST)],
)
def test_end_of_the_server_is_passed_on_and_its_last_line_sets_the_outcome(last_line, outcome):
    async def script(client, server, relay):
        await server.send_all(last_line)
        await server.send_eof()
        assert await client.receive_some(100) == last_line
        assert await client.receive_some(100) == b""
        await client.send_eof()

    relay, migrated = run_relay(script)
    assert (relay.outcome, migrated, relay.reset) == (outcome, False, False)


def test_reset_of_either_side_resets_the_other():
    for side in (0, 1):

        async def script(client, server, relay, side=side):
            Link((client, server)[side]).reset()

        relay, migrated = run_relay(script)
        assert relay.reset and not migrated
        assert relay.outcome is (Outcome.CONNECTION_LOST if side else Outcome.CANCELLED)


def test_end_of_the_client_is_passed_on_and_later_server_lines_still_arrive():
    async def script(client, server, relay):
        await client.send_all(b"M 1\r\nrest without end")
        await client.send_eof()
        received = b""
        while chunk := await server.receive_some(100):
            received += chunk
        assert received == b"M 1\r\nrest without end"
        await server.send_all(b"M 1\r\nBYE\r\n")
        await server.send_eof()
        assert await client.receive_some(100) == b"M 1\r\nBYE\r\n"

    relay, _ = run_relay(script)
    assert relay.outcome is Outcome.OK and len(relay.driver.response_delays) == 1


def test_line_without_an_echo_migrates_the_client_after_the_silence_timeout():
    async def script(client, server, relay):
        await client.send_all(b"M 1\r\n")
        await server.receive_some(100)
        now = trio.current_time()
        relay.check_silence(now + 2)
        assert not relay.server_silent and 1 < relay.echo_overdue(now + 2) < 3
        relay.check_silence(now + 6)

    relay, migrated = run_relay(script)
    assert relay.server_silent and migrated


def test_line_longer_than_the_limit_raises_an_error():
    async def main():
        peer, stream = trio_socket_pair()
        await peer.send_all(b"x" * (MAX_LINE_BYTES + 10))
        with pytest.raises(LineTooLongError):
            await Link(stream).read_line()

    trio.run(main)


def test_log_that_nobody_reads_drops_lines_instead_of_blocking():
    read, write = os.pipe()
    log = Log("n0", write)
    for n in range(3 * MAX_QUEUED_LINES):
        log.event("x", n=n, text="y" * 200)
    log.close()
    assert log.dropped >= MAX_QUEUED_LINES / 2
    os.close(read)


def test_internal_error_sends_err_and_ends_only_its_connection():
    class FailingDriver:
        settings = SimpleNamespace(session_groups=False, classes=[SimpleNamespace(deadline=1.0)])

        def __contains__(self, id):
            return False

        def submit(self, *_):
            raise RuntimeError("an exception in the balancer")

        def client_disconnected(self, id):
            pass

    async def main():
        events = []
        log = SimpleNamespace(event=lambda name, **fields: events.append(name))
        config = SimpleNamespace(sockets=100, classes={"test-run": 0}, settings=FailingDriver.settings)
        frontend = LineProtocolFrontend(
            config, FailingDriver(), SimpleNamespace(descriptors=0), None, Counters(), log
        )
        with trio.fail_after(20):
            for _ in range(2):
                peer, stream = trio_socket_pair()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(frontend.handler.handle, stream, trio.current_time(), 0)
                    await peer.send_all(b"OPEN i k c=test-run,d=500\r\n")
                    assert await peer.receive_some(100) == b"ERR\r\n"
                    await peer.aclose()
        assert events == ["internal_error", "internal_error"] and frontend.counters["internal_errors"] == 2
        assert frontend.slots.open == 0

    trio.run(main)
