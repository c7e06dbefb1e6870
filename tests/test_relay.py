"""Relay between a client and its server, the log, and an internal error, without a process."""

import os
import socket
from types import SimpleNamespace

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


class Driver:
    def __init__(self):
        self.loads, self.delays, self.waits, self.ended_as = [], [], [], []

    def connection_load_reported(self, id, load):
        self.loads.append(load)

    def server_latency_reported(self, id, delay):
        self.delays.append(delay)

    def record_response_delay(self, id, wait):
        self.waits.append(wait)


def pair():
    return [trio.SocketStream(trio.socket.from_stdlib_socket(s)) for s in _pair()]


def _pair():
    listener = socket.create_server(("127.0.0.1", 0))  # TCP, for its resets
    a = socket.create_connection(listener.getsockname())
    b, _ = listener.accept()
    listener.close()
    a.setblocking(False)
    b.setblocking(False)
    return a, b


def relay(script):
    """Run a relay while `script(client, runner, relay)` plays both ends; return it and whether the client migrates."""

    async def main():
        (client, ours), (theirs, runner) = pair(), pair()
        r = Relay(
            Link(ours),
            Link(theirs),
            "id",
            Driver(),
            Counters(),
            LoadReportParser(SETTINGS, LatencySchedule(), trio.current_time()),
        )
        moved = []

        async def run():
            moved.append(await r.run(b"UP r\r\n"))

        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run)
                assert await client.receive_some(100) == b"UP r\r\n"
                await script(client, runner, r)
        return r, moved[0]

    return trio.run(main)


@given(
    st.lists(st.binary(min_size=1, max_size=30).map(lambda b: b.replace(b"\n", b"")), min_size=1, max_size=5),
    st.lists(st.integers(1, 40), max_size=6),
)
def test_lines_pass_unchanged_however_they_are_cut(lines, cuts):
    data = b"".join(b"M" + line + b"\r\n" for line in lines)

    async def script(client, runner, r):
        for source, sink in ((runner, client), (client, runner)):
            at, got = 0, b""
            for cut in [*cuts, len(data)]:
                if data[at : at + cut]:
                    await source.send_all(data[at : at + cut])
                at += cut
            while len(got) < len(data):
                got += await sink.receive_some(4096)
            assert got == data
        r.stop()

    relay(script)


def test_only_whole_lines_reach_a_client_so_that_a_move_fits_in_between():
    async def script(client, runner, r):
        await runner.send_all(b"LOAD 250000\r\nhalf a li")
        assert await client.receive_some(100) == b"LOAD 250000\r\n"
        with trio.move_on_after(0.2) as limit:
            await client.receive_some(100)
        assert limit.cancelled_caught
        r.stop()

    r, moved = relay(script)
    assert moved and r.client_at_line_end and r.driver.loads == [0.25]


@pytest.mark.parametrize(
    ("last", "outcome"),
    [(b"BYE\r\n", Outcome.OK), (b"MOVE\r\n", Outcome.CANCELLED), (b"M 1\r\n", Outcome.CONNECTION_LOST)],
)
def test_a_runner_s_end_is_told_by_its_last_line_and_passed_on(last, outcome):
    async def script(client, runner, r):
        await runner.send_all(last)
        await runner.send_eof()
        assert await client.receive_some(100) == last
        assert await client.receive_some(100) == b""
        await client.send_eof()

    r, moved = relay(script)
    assert (r.outcome, moved, r.reset) == (outcome, False, False)


def test_a_reset_of_either_side_is_a_reset_for_the_other():
    for side in (0, 1):

        async def script(client, runner, r, side=side):
            Link((client, runner)[side]).reset()

        r, moved = relay(script)
        assert r.reset and not moved
        assert r.outcome is (Outcome.CONNECTION_LOST if side else Outcome.CANCELLED)


def test_a_client_s_end_is_passed_on_and_what_the_runner_still_says_arrives():
    async def script(client, runner, r):
        await client.send_all(b"M 1\r\nrest without end")
        await client.send_eof()
        got = b""
        while chunk := await runner.receive_some(100):
            got += chunk
        assert got == b"M 1\r\nrest without end"
        await runner.send_all(b"M 1\r\nBYE\r\n")
        await runner.send_eof()
        assert await client.receive_some(100) == b"M 1\r\nBYE\r\n"

    r, _ = relay(script)
    assert r.outcome is Outcome.OK and len(r.driver.waits) == 1


def test_a_line_that_does_not_come_back_moves_the_client():
    async def script(client, runner, r):
        await client.send_all(b"M 1\r\n")
        await runner.receive_some(100)
        now = trio.current_time()
        r.check_silence(now + 2)
        assert not r.server_silent and 1 < r.echo_overdue(now + 2) < 3
        r.check_silence(now + 6)

    r, moved = relay(script)
    assert r.server_silent and moved


def test_lines_and_buffers_are_bound():
    async def main():
        a, b = pair()
        await a.send_all(b"x" * (MAX_LINE_BYTES + 10))
        with pytest.raises(LineTooLongError):
            await Link(b).read_line()

    trio.run(main)


def test_a_log_that_nobody_reads_holds_up_nothing():
    read, write = os.pipe()
    log = Log("n0", write)
    for n in range(3 * MAX_QUEUED_LINES):
        log.event("x", n=n, text="y" * 200)
    log.close()
    assert log.dropped >= MAX_QUEUED_LINES / 2
    os.close(read)


def test_a_fault_is_answered_and_ends_one_connection_only():
    class Faulty:
        settings = SimpleNamespace(session_groups=False, classes=[SimpleNamespace(deadline=1.0)])

        def __contains__(self, id):
            return False

        def submit(self, *_):
            raise RuntimeError("a fault of the module")

        def client_disconnected(self, id):
            pass

    async def main():
        events = []
        log = SimpleNamespace(event=lambda name, **more: events.append(name))
        config = SimpleNamespace(sockets=100, classes={"test-run": 0}, settings=Faulty.settings)
        frontend = LineProtocolFrontend(config, Faulty(), SimpleNamespace(descriptors=0), None, Counters(), log)
        with trio.fail_after(20):
            for _ in range(2):
                a, b = pair()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(frontend.handler.handle, b, trio.current_time(), 0)
                    await a.send_all(b"OPEN i k c=test-run,d=500\r\n")
                    assert await a.receive_some(100) == b"ERR\r\n"
                    await a.aclose()
        assert events == ["internal_error", "internal_error"] and frontend.counters["internal_errors"] == 2
        assert frontend.slots.open == 0

    trio.run(main)
