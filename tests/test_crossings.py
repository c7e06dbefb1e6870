"""Every event at every stage of a request: one complete response or a MOVE between two lines, and no leftovers."""

import re

import pytest
import trio
from frontend_harness import FrontendHarness, Gate
from standins import WAIT, Runner, reset

from aspensaddle.core.actions import CancelAttempt, StartAttempt
from aspensaddle.frontends.line_protocol.connection_handler import ConnectionHandler
from aspensaddle.frontends.line_protocol.link import Link
from aspensaddle.frontends.line_protocol.relay import Relay
from aspensaddle.frontends.line_protocol.request_state import RequestState
from aspensaddle.frontends.line_protocol.server_connector import ServerConnector

ANSWER = re.compile(rb"(UP s-0|BUSY( \d+)?|ERR)\r\n")
PASSED = re.compile(rb"UP s-0\r\n(M 1\r\n)*(MOVE\r\n)?")


class Place:
    """A client at one stage, and the server's side of its connection if there is one."""

    def __init__(self, f, monkeypatch):
        self.f, self.gates, self.peer, self.runner = f, [], None, None
        self.monkeypatch, self.first = monkeypatch, b""

    def gate(self, name):
        gate = Gate()
        owner, _, attribute = name.rpartition(".")
        target = {"connector": self.f.connector, "handler": self.f.frontend.handler}[owner]
        self.monkeypatch.setattr(target, attribute, gate.hold(getattr(target, attribute)))
        self.gates.append(gate)
        return gate

    async def offered(self):
        self.runner, self.first = await trio.to_thread.run_sync(self.f.servers[0].offered)
        self.f.servers[0].held = False  # a further attempt is served


async def resting(p):
    p.peer = await p.f.connect()
    await p.f.wait_until(lambda: p.f.frontend.slots.open)


async def half_open(p):
    await resting(p)
    await p.peer.send(b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=tes")


async def connecting(p):
    gate = p.gate("connector._connect")
    p.peer = await p.f.send_open()
    await gate.reached.wait()
    p.f.servers[0].held = False


async def offered(p):
    p.peer = await p.f.send_open()
    await p.offered()


async def half_up(p):
    await offered(p)
    p.runner.sendall(b"UP s-")


async def standing(p):
    await offered(p)
    p.runner.sendall(b"UP s-0\r\n")
    await p.peer.read_line()


async def half_line(p):
    await standing(p)
    p.runner.sendall(b"M 1\r\nM")
    await p.f.wait_until(lambda: p.f.counters["lines_received_from_servers"] == 2)


async def line_out(p):
    await standing(p)
    await p.peer.send(b"M 1\r\n")
    await p.f.wait_until(lambda: p.f.counters["lines_received_from_clients"] == 1)


async def answering(p):
    gate = p.gate("handler._finish")
    await offered(p)
    p.runner.sendall(b"BUSY\r\n")
    p.f.change_endpoints(p.f.servers[0].target(state="leaving"))  # no further attempt
    await gate.reached.wait()


async def lingering(p):
    await offered(p)
    p.f.change_endpoints(p.f.servers[0].target(state="leaving"))
    p.runner.sendall(b"BUSY\r\n")
    await p.peer.read_line()


PLACES = [resting, half_open, connecting, offered, half_up, standing, half_line, line_out, answering, lingering]
BEFORE = (resting, half_open)
STANDING = (standing, half_line, line_out)


async def sigterm(p):
    p.f.nursery.start_soon(p.f.terminate)
    await p.f.wait_until(lambda: not p.f.frontend.accepting_requests)


async def sighup(p):
    p.f.reload(connect_timeout=1.0, max_attempts=1)


async def client_ends(p):
    await p.peer.stream.send_eof()
    if p.runner and p.f.frontend.open_connections:
        assert await trio.to_thread.run_sync(read_out, p.runner)  # the end is passed on, and the runner ends too
        p.runner.shutdown(1)


def read_out(connection):
    """Whether the other side ends its sending."""
    connection.settimeout(WAIT)
    while connection.recv(4096):
        pass
    return True


async def client_resets(p):
    p.peer.reset()


async def runner_ends(p):
    if p.runner:
        p.runner.shutdown(1)


async def runner_resets(p):
    if p.runner:
        reset(p.runner)


async def drain(p):
    p.f.change_endpoints(p.f.servers[0].target(state="leaving"))


async def deadline(p):
    """The time of the request, or of the silence on its connection, is over."""
    for state in list(p.f.frontend.pending_requests.values()):
        state.attempt_scope.deadline = trio.current_time()
    for state in list(p.f.frontend.open_connections.values()):
        state.relay.check_silence(trio.current_time() + 5)


EVENTS = [sigterm, sighup, client_ends, client_resets, runner_ends, runner_resets, drain, deadline]


def cross(place, event, monkeypatch):
    """Cause the event at the stage, let everything continue, and check what the client got."""
    runner = Runner("s-0")
    runner.held = True
    f = FrontendHarness([runner], connect_timeout=2.0)

    async def script(f):
        p = Place(f, monkeypatch)
        await place(p)
        offers = len(runner.first_lines)
        await event(p)
        for gate in p.gates:
            gate.opened.set()
        left = event in (client_ends, client_resets)
        if not left:
            if place in BEFORE and event is not sigterm:
                await p.peer.stream.send_eof()  # it goes by itself
            elif place in (offered, half_up) and event in (sigterm, sighup, drain):
                p.runner.sendall(b"UP s-0\r\n" if place is offered else b"0\r\n")
            if event in (sighup, drain) or event is deadline and place in (standing, half_line):
                if place in (connecting, offered, half_up):
                    await p.peer.read_line()
                if place in (connecting, offered, half_up, *STANDING):
                    for state in f.frontend.open_connections.values():
                        state.migrate()  # it stands still: have it end
            elif event is runner_resets and place in STANDING:
                pass
            elif place in (connecting, offered, half_up) and event in (runner_ends, runner_resets, deadline):
                await p.peer.read_line()
                for state in f.frontend.open_connections.values():
                    state.migrate()
        if event is not client_resets:
            await p.peer.read_to_end()
            p.peer.stream.socket.close()
        await f.wait_until_all_closed()
        check(p, place, event, left, offers)

    def check(p, place, event, left, offers):
        assert all(len(re.findall(rb"d=\d+", line)) == 1 for line in runner.first_lines)
        if left:
            assert len(runner.first_lines) == offers, "nothing is sent on for one who has left"
            return
        got = p.peer.received
        passed_on = event is runner_resets and place in STANDING
        assert p.peer.was_reset == passed_on, (got, p.peer.was_reset)
        if place in BEFORE:
            assert got == b"" or event is sigterm and re.fullmatch(rb"BUSY \d+\r\n", got), got
        elif got.startswith(b"UP"):
            left_by_runner = place is half_line and event in (runner_ends, runner_resets)
            tail = b"M" if left_by_runner else b""  # what a runner leaves is passed on
            assert got.endswith(tail) and PASSED.fullmatch(got.removesuffix(tail) if tail else got), got
            if event is sigterm:
                assert got.endswith(b"MOVE\r\n"), got
        else:
            assert ANSWER.fullmatch(got), got

    f.run(script)
    assert f.leaked_descriptors <= 0
    attempts = {}
    for line in runner.first_lines:
        attempts[line.split()[1]] = attempts.get(line.split()[1], 0) + 1
    again = event in (runner_ends, runner_resets, deadline)  # the first attempt has failed
    assert all(count <= 1 + again for count in attempts.values()), runner.first_lines


@pytest.mark.parametrize("event", EVENTS, ids=lambda e: e.__name__)
@pytest.mark.parametrize("place", PLACES, ids=lambda p: p.__name__)
def test_every_event_in_every_place(place, event, monkeypatch):
    cross(place, event, monkeypatch)


def test_a_cancel_meets_the_attempt_that_it_names_and_no_other():
    """Also one that comes before the attempt has begun, or after the next was decided."""

    async def main():
        state = RequestState(None)
        state.act(StartAttempt("r", 1, 1.0))
        first = state.attempt_scope
        state.act(CancelAttempt("r", 0))
        assert first.cancel_called
        state.act(StartAttempt("r", 2, 1.0))
        state.act(CancelAttempt("r", 0))
        assert not state.attempt_scope.cancel_called
        state.act(CancelAttempt("r", 1))
        assert state.attempt_scope.cancel_called

    trio.run(main)


async def _nothing(*args):
    pass


async def _cut_short(frontend, listener, phases, nursery):
    frontend.accepting_requests = False
    await trio.sleep(0.01)
    nursery.cancel_scope.cancel()


async def _twice(attempt, connector, server, first, *more):
    await attempt(connector, server, first, *more)
    return await attempt(connector, server, first, *more)


def ends_at_once(monkeypatch):
    monkeypatch.setattr("frontend_harness.shut_down", _cut_short)


def says_nothing(monkeypatch):
    monkeypatch.setattr(ConnectionHandler, "_finish", _nothing)


def moves_nobody(monkeypatch):
    monkeypatch.setattr(Relay, "stop", lambda relay: relay._scope.cancel())


def sees_nobody_leave(monkeypatch):
    monkeypatch.setattr(RequestState, "client_is_connected", lambda state: True)
    monkeypatch.setattr(RequestState, "watch", lambda state: trio.sleep_forever())


def says_it_twice(monkeypatch):
    say = Link.send
    monkeypatch.setattr(Link, "send", lambda link, data: say(link, data * 2 if data[:2] == b"BU" else data))


def keeps_descriptors(monkeypatch):
    kept = []
    monkeypatch.setattr(Link, "close", lambda link: kept.append(link) or link.stream.socket.shutdown(2))


def offers_again(monkeypatch):
    attempt = ServerConnector.attempt
    monkeypatch.setattr(ServerConnector, "attempt", lambda *args: _twice(attempt, *args))


@pytest.mark.parametrize(
    ("fault", "place", "event"),
    [
        (ends_at_once, offered, sigterm),
        (ends_at_once, standing, sigterm),
        (says_nothing, answering, sighup),
        (moves_nobody, standing, sigterm),
        (sees_nobody_leave, connecting, client_ends),
        (says_it_twice, answering, drain),
        (keeps_descriptors, lingering, client_ends),
        (offers_again, offered, sighup),
    ],
)
def test_a_planted_fault_is_found(fault, place, event, monkeypatch):
    fault(monkeypatch)
    with pytest.raises((AssertionError, BaseExceptionGroup)):  # also of a check in a nursery
        cross(place, event, monkeypatch)
