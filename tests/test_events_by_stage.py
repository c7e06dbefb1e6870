"""Every event at every stage of a request: the client gets one complete response, or a MOVE between two lines.

No request, connection or descriptor is left over.
"""

import re

import pytest
import trio
from frontend_harness import FrontendHarness, Gate
from standins import TIMEOUT_SECONDS, StubServer, reset

from aspensaddle.core.actions import CancelAttempt, StartAttempt
from aspensaddle.frontends.line_protocol.connection_handler import ConnectionHandler
from aspensaddle.frontends.line_protocol.link import Link
from aspensaddle.frontends.line_protocol.relay import Relay
from aspensaddle.frontends.line_protocol.request_state import RequestState
from aspensaddle.frontends.line_protocol.server_connector import ServerConnector

FINAL_RESPONSE = re.compile(rb"(UP s-0|BUSY( \d+)?|ERR)\r\n")
RELAYED_LINES = re.compile(rb"UP s-0\r\n(M 1\r\n)*(MOVE\r\n)?")


class RequestAtStage:
    """A request that a stage function brings to its stage.

    Attributes:
        client: The client.
        server_connection: The stand-in server's side of the connection, once an attempt was sent.
        gates: Gates that hold the request at its stage.
    """

    def __init__(self, harness, monkeypatch):
        self.harness, self.gates, self.client, self.server_connection = harness, [], None, None
        self.monkeypatch, self.first_line = monkeypatch, b""

    def add_gate(self, path):
        """Hold the calls of a method, given as `connector.METHOD` or `handler.METHOD`."""
        gate = Gate()
        owner, _, attribute = path.rpartition(".")
        target = {"connector": self.harness.connector, "handler": self.harness.frontend.handler}[owner]
        self.monkeypatch.setattr(target, attribute, gate.hold(getattr(target, attribute)))
        self.gates.append(gate)
        return gate

    async def accept_attempt(self):
        self.server_connection, self.first_line = await trio.to_thread.run_sync(
            self.harness.servers[0].next_held_connection
        )
        self.harness.servers[0].hold_connections = False  # the server responds to further attempts


async def silent(request):
    request.client = await request.harness.connect()
    await request.harness.wait_until(lambda: request.harness.frontend.slots.open)


async def partial_open(request):
    await silent(request)
    await request.client.send(b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=tes")


async def connecting(request):
    gate = request.add_gate("connector._connect")
    request.client = await request.harness.send_open()
    await gate.reached.wait()
    request.harness.servers[0].hold_connections = False


async def attempt_sent(request):
    request.client = await request.harness.send_open()
    await request.accept_attempt()


async def partial_up(request):
    await attempt_sent(request)
    request.server_connection.sendall(b"UP s-")


async def established(request):
    await attempt_sent(request)
    request.server_connection.sendall(b"UP s-0\r\n")
    await request.client.read_line()


async def partial_server_line(request):
    await established(request)
    request.server_connection.sendall(b"M 1\r\nM")
    await request.harness.wait_until(lambda: request.harness.counters["lines_received_from_servers"] == 2)


async def echo_awaited(request):
    await established(request)
    await request.client.send(b"M 1\r\n")
    await request.harness.wait_until(lambda: request.harness.counters["lines_received_from_clients"] == 1)


async def response_held(request):
    gate = request.add_gate("handler._finish")
    await attempt_sent(request)
    request.server_connection.sendall(b"BUSY\r\n")
    request.harness.change_endpoints(request.harness.servers[0].endpoint_entry(state="leaving"))  # no further attempt
    await gate.reached.wait()


async def lingering(request):
    await attempt_sent(request)
    request.harness.change_endpoints(request.harness.servers[0].endpoint_entry(state="leaving"))
    request.server_connection.sendall(b"BUSY\r\n")
    await request.client.read_line()


STAGES = [
    silent,
    partial_open,
    connecting,
    attempt_sent,
    partial_up,
    established,
    partial_server_line,
    echo_awaited,
    response_held,
    lingering,
]
STAGES_BEFORE_OPEN = (silent, partial_open)
ESTABLISHED_STAGES = (established, partial_server_line, echo_awaited)


async def sigterm(request):
    request.harness.nursery.start_soon(request.harness.terminate)
    await request.harness.wait_until(lambda: not request.harness.frontend.accepting_requests)


async def sighup(request):
    request.harness.reload(connect_timeout=1.0, max_attempts=1)


async def client_ends_sending(request):
    await request.client.stream.send_eof()
    if request.server_connection and request.harness.frontend.open_connections:
        assert await trio.to_thread.run_sync(
            read_to_end, request.server_connection
        )  # the end is passed on to the server, which ends its sending too
        request.server_connection.shutdown(1)


def read_to_end(connection):
    """Read until the other side ends its sending; return True."""
    connection.settimeout(TIMEOUT_SECONDS)
    while connection.recv(4096):
        pass
    return True


async def client_resets(request):
    request.client.reset()


async def server_ends_sending(request):
    if request.server_connection:
        request.server_connection.shutdown(1)


async def server_resets(request):
    if request.server_connection:
        reset(request.server_connection)


async def server_drains(request):
    request.harness.change_endpoints(request.harness.servers[0].endpoint_entry(state="leaving"))


async def deadline_passes(request):
    """The deadline of the attempt, or the silence timeout of the open connection, passes."""
    for state in list(request.harness.frontend.pending_requests.values()):
        state.attempt_scope.deadline = trio.current_time()
    for state in list(request.harness.frontend.open_connections.values()):
        state.relay.check_silence(trio.current_time() + 5)


EVENTS = [
    sigterm,
    sighup,
    client_ends_sending,
    client_resets,
    server_ends_sending,
    server_resets,
    server_drains,
    deadline_passes,
]


def run_event_at_stage(stage, event, monkeypatch):
    """Cause an event at a stage, let everything continue, and check what the client received."""
    server = StubServer("s-0")
    server.hold_connections = True
    harness = FrontendHarness([server], connect_timeout=2.0)

    async def script(harness):
        request = RequestAtStage(harness, monkeypatch)
        await stage(request)
        attempts_before = len(server.first_lines)
        await event(request)
        for gate in request.gates:
            gate.opened.set()
        client_left = event in (client_ends_sending, client_resets)
        if not client_left:
            if stage in STAGES_BEFORE_OPEN and event is not sigterm:
                await request.client.stream.send_eof()  # a client without a request disconnects
            elif stage in (attempt_sent, partial_up) and event in (sigterm, sighup, server_drains):
                request.server_connection.sendall(b"UP s-0\r\n" if stage is attempt_sent else b"0\r\n")
            if (
                event in (sighup, server_drains)
                or event is deadline_passes
                and stage in (established, partial_server_line)
            ):
                if stage in (connecting, attempt_sent, partial_up):
                    await request.client.read_line()
                if stage in (connecting, attempt_sent, partial_up, *ESTABLISHED_STAGES):
                    for state in harness.frontend.open_connections.values():
                        state.migrate()  # an idle connection would not end by itself
            elif event is server_resets and stage in ESTABLISHED_STAGES:
                pass
            elif stage in (connecting, attempt_sent, partial_up) and event in (
                server_ends_sending,
                server_resets,
                deadline_passes,
            ):
                await request.client.read_line()
                for state in harness.frontend.open_connections.values():
                    state.migrate()
        if event is not client_resets:
            await request.client.read_to_end()
            request.client.stream.socket.close()
        await harness.wait_until_all_closed()
        check_received(request, stage, event, client_left, attempts_before)

    def check_received(request, stage, event, client_left, attempts_before):
        assert all(len(re.findall(rb"d=\d+", line)) == 1 for line in server.first_lines)
        if client_left:
            assert len(server.first_lines) == attempts_before, "no attempt is made for a client that has left"
            return
        received = request.client.received
        reset_passed_on = event is server_resets and stage in ESTABLISHED_STAGES
        assert request.client.was_reset == reset_passed_on, (received, request.client.was_reset)
        if stage in STAGES_BEFORE_OPEN:
            assert received == b"" or event is sigterm and re.fullmatch(rb"BUSY \d+\r\n", received), received
        elif received.startswith(b"UP"):
            partial_line_sent = stage is partial_server_line and event in (server_ends_sending, server_resets)
            tail = b"M" if partial_line_sent else b""  # an incomplete last line of a server is passed on
            assert received.endswith(tail) and RELAYED_LINES.fullmatch(
                received.removesuffix(tail) if tail else received
            ), received
            if event is sigterm:
                assert received.endswith(b"MOVE\r\n"), received
        else:
            assert FINAL_RESPONSE.fullmatch(received), received

    harness.run(script)
    assert harness.leaked_descriptors <= 0
    attempts = {}
    for line in server.first_lines:
        attempts[line.split()[1]] = attempts.get(line.split()[1], 0) + 1
    retry_expected = event in (server_ends_sending, server_resets, deadline_passes)  # the first attempt failed
    assert all(count <= 1 + retry_expected for count in attempts.values()), server.first_lines


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__)
@pytest.mark.parametrize("stage", STAGES, ids=lambda stage: stage.__name__)
def test_any_event_at_any_stage_gives_the_client_one_complete_response(stage, event, monkeypatch):
    run_event_at_stage(stage, event, monkeypatch)


def test_cancellation_stops_only_the_attempt_that_it_names():
    """It may arrive before its attempt has begun, or after the next one was decided."""

    async def main():
        state = RequestState(None)
        state.handle_action(StartAttempt("r", 1, 1.0))
        first_scope = state.attempt_scope
        state.handle_action(CancelAttempt("r", 0))
        assert first_scope.cancel_called
        state.handle_action(StartAttempt("r", 2, 1.0))
        state.handle_action(CancelAttempt("r", 0))
        assert not state.attempt_scope.cancel_called
        state.handle_action(CancelAttempt("r", 1))
        assert state.attempt_scope.cancel_called

    trio.run(main)


async def _do_nothing(*args):
    pass


async def _shut_down_at_once(frontend, listener, phases, nursery):
    frontend.accepting_requests = False
    await trio.sleep(0.01)
    nursery.cancel_scope.cancel()


async def _attempt_twice(attempt, connector, server, first_line, *arguments):
    await attempt(connector, server, first_line, *arguments)
    return await attempt(connector, server, first_line, *arguments)


def shutdown_ends_at_once(monkeypatch):
    monkeypatch.setattr("frontend_harness.shut_down", _shut_down_at_once)


def response_not_sent(monkeypatch):
    monkeypatch.setattr(ConnectionHandler, "_finish", _do_nothing)


def migration_sends_no_move(monkeypatch):
    monkeypatch.setattr(Relay, "stop", lambda relay: relay._scope.cancel())


def departure_not_noticed(monkeypatch):
    monkeypatch.setattr(RequestState, "client_is_connected", lambda state: True)
    monkeypatch.setattr(RequestState, "watch", lambda state: trio.sleep_forever())


def response_sent_twice(monkeypatch):
    send = Link.send
    monkeypatch.setattr(Link, "send", lambda link, data: send(link, data * 2 if data[:2] == b"BU" else data))


def descriptors_not_closed(monkeypatch):
    unclosed_links = []
    monkeypatch.setattr(Link, "close", lambda link: unclosed_links.append(link) or link.stream.socket.shutdown(2))


def attempt_made_twice(monkeypatch):
    attempt = ServerConnector.attempt
    monkeypatch.setattr(ServerConnector, "attempt", lambda *args: _attempt_twice(attempt, *args))


@pytest.mark.parametrize(
    ("fault", "stage", "event"),
    [
        (shutdown_ends_at_once, attempt_sent, sigterm),
        (shutdown_ends_at_once, established, sigterm),
        (response_not_sent, response_held, sighup),
        (migration_sends_no_move, established, sigterm),
        (departure_not_noticed, connecting, client_ends_sending),
        (response_sent_twice, response_held, server_drains),
        (descriptors_not_closed, lingering, client_ends_sending),
        (attempt_made_twice, attempt_sent, sighup),
    ],
)
def test_injected_fault_is_detected(fault, stage, event, monkeypatch):
    fault(monkeypatch)
    with pytest.raises((AssertionError, BaseExceptionGroup)):  # a group if a check failed in a nursery
        run_event_at_stage(stage, event, monkeypatch)
