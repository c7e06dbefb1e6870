"""The QUIC front end's engine in simulated time: orders of events and failures that are hard to cause with processes."""

import time
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import hypothesis
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from aspensaddle.conformance.link import Link
from aspensaddle.conformance.packet_builder import (
    client_hello,
    client_hello_frame,
    crypto_frame,
    initial_packet,
    short_header_packet,
    zero_rtt_packet,
)
from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.conformance.testbed import Testbed, TestbedSetup
from aspensaddle.core.actions import Migrate
from aspensaddle.core.events import Endpoint, EndpointUpdateScope, Outcome, ServerState
from aspensaddle.frontends.line_protocol.errors import InvalidOpenError
from aspensaddle.frontends.line_protocol.open_request import parse_open
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED


def test_request_of_the_line_protocol_cannot_have_the_id_of_a_session(create_testbed):
    """Guards against clients without an answer, because a request of the other front end had their id."""
    testbed = create_testbed()
    clients = testbed.connected_clients(4)
    for session_id in testbed.frontend.engine.sessions.by_id:
        with pytest.raises(InvalidOpenError):
            parse_open(b"OPEN %s 7f3a9c21e0b4d655 c=test-run,d=900\r\n" % session_id.encode(), {"test-run": 0}, True)
    assert [client.handshake_complete for client in clients] == [True] * 4


def test_server_that_drains_between_decision_and_attempt_receives_no_initial(create_testbed):
    testbed = create_testbed(modes=(ServerMode.OK, ServerMode.OK))
    driver, original_submit, drained = testbed.frontend.driver, testbed.frontend.driver.submit, []

    def submit_and_drain_first_choice(session, request):
        original_submit(session, request)
        if not drained:
            chosen = session.pending_actions[-1][1].server
            drained.append(testbed.frontend.endpoints.uid(chosen))
            driver.update_endpoints(EndpointUpdateScope.INCREMENTAL, (Endpoint(chosen, state=ServerState.DRAINING),))

    driver.submit = submit_and_drain_first_choice
    (client,) = testbed.connected_clients()
    assert testbed.request(client) != drained[0] and not testbed.server(drained[0]).records.initials
    assert testbed.counter_increase("quic attempts not_sent") == 1


def test_migrated_client_is_reset_and_its_old_connection_ids_lead_to_no_session(create_testbed):
    testbed = create_testbed()
    (client,) = testbed.connected_clients()
    testbed.request(client)
    engine = testbed.frontend.engine
    (session,) = engine.sessions.by_id.values()
    old_cid = session.cids[-1]
    session.handle_action(Migrate(session.id))
    testbed.wait(lambda: client.was_reset, "a reset")
    assert not engine.sessions.by_id and not engine.paths.count and session.id not in testbed.frontend.driver
    raw = testbed.raw_endpoint()
    raw.send(short_header_packet(old_cid, 100), testbed.address)
    testbed.wait(lambda: raw.received_datagrams, "a reset for an old connection ID")
    (reconnected,) = testbed.connected_clients()
    testbed.request(reconnected)


def test_migration_decided_during_setup_resets_the_client_when_it_uses_a_server_connection_id(create_testbed):
    testbed = create_testbed()
    client = testbed.client()
    testbed.wait(lambda: testbed.frontend.engine.sessions.by_id, "the session")
    (session,) = testbed.frontend.engine.sessions.by_id.values()
    session.handle_action(Migrate(session.id))
    testbed.wait(lambda: client.handshake_complete, "the handshake")
    client.send_request(b"hello")
    testbed.wait(lambda: client.was_reset, "a reset")
    assert testbed.counter_increase("quic moved") == 1


def test_internal_error_closes_its_session_with_a_response_and_no_other_session(create_testbed):
    testbed = create_testbed()
    (established,) = testbed.connected_clients()
    engine, carry_out = testbed.frontend.engine, testbed.frontend.engine.session_setup._carry_out

    def fail(session, action):
        engine.session_setup._carry_out = carry_out
        raise RuntimeError("injected fault")

    engine.session_setup._carry_out = fail
    raw = testbed.raw_endpoint()
    raw.send(
        initial_packet(testbed.dcid, client_hello_frame()),
        testbed.address,
    )
    testbed.wait(lambda: raw.received_datagrams, "a response")
    assert (
        testbed.counter_increase("internal_errors") == 1
        and engine.session_setup.pending_count == 0
        and len(engine.sessions.by_id) == 1
    )
    testbed.request(established)
    (newcomer,) = testbed.connected_clients()
    testbed.request(newcomer)


def test_without_a_free_descriptor_nothing_is_sent_and_the_client_is_rejected(create_testbed):
    testbed = create_testbed(modes=(ServerMode.OK,))
    testbed.frontend.open_socket = lambda slot: False
    client = testbed.client()
    testbed.wait(lambda: client.terminations, "a rejection")
    assert client.terminations[0].error_code == CONNECTION_REFUSED and not testbed.servers[0].records.initials


def test_slow_start_limits_the_sessions_of_a_server_that_has_just_started(create_testbed):
    testbed = create_testbed(modes=(ServerMode.OK, ServerMode.OK))
    testbed.frontend.driver.settings.rules.slow_start_duration = 24.0
    testbed.frontend.driver.configure(testbed.frontend.driver.settings)
    testbed.update_endpoints(testbed.servers[1].target(boot_ms=int(testbed.net.now() * 1000)))
    for client in testbed.connected_clients(12):
        testbed.request(client)
    assert testbed.servers[1].records.connections < 6 <= testbed.servers[0].records.connections


def test_attempt_at_a_silent_server_is_reported_as_timed_out(create_testbed):
    testbed = create_testbed(modes=(ServerMode.SILENT, ServerMode.OK), reply_timeout=0.4)
    outcomes = []
    original = testbed.frontend.driver.attempt_ended
    testbed.frontend.driver.attempt_ended = lambda id, outcome, finished=False: (
        outcomes.append(outcome),
        original(id, outcome, finished),
    )
    for client in testbed.connected_clients(3):
        assert testbed.request(client) == "s-1"
    assert set(outcomes) == {Outcome.TIMED_OUT}


def test_floods_leave_every_table_within_its_limit_and_clients_served(create_testbed):
    extra_settings = "most_sessions = 50\nmost_pending = 20\nmost_sockets = 16\nanswers_per_s = 200"
    testbed = create_testbed(
        extra_settings=extra_settings, rules='[[rules]]\nsni = "x.example"\nclass = "draft-save"\n'
    )
    engine, random, raw = testbed.frontend.engine, Random(3), testbed.raw_endpoint()
    (established,) = testbed.connected_clients()
    server = testbed.request(established)
    incomplete_hello = crypto_frame(0, client_hello(size=3000)[:900])
    for i in range(3000):
        kind = i % 4
        if kind == 0:
            raw.send(
                initial_packet(random.randbytes(10), incomplete_hello),
                testbed.address,
            )
        elif kind == 1:
            raw.send(
                zero_rtt_packet(random.randbytes(10)),
                testbed.address,
            )
        else:
            testbed.raw_endpoint().send(
                short_header_packet(testbed.servers[i % 3].issue(), 60) if kind == 2 else random.randbytes(60),
                testbed.address,
            )
        if i % 100 == 0:
            testbed.run(0.05)
    sessions, paths = engine.sessions, engine.paths
    assert len(sessions.by_id) <= 50 and engine.session_setup.pending_count <= 20 and len(sessions._unconfirmed) <= 20
    assert paths.count <= 16 * 3 and len(sessions.by_server_cid) <= 8 * 50 and len(sessions.by_client_cid) <= 100
    assert len(engine._early_zero_rtt) <= 64 and len(paths._by_client) <= paths.count
    assert sum(map(len, raw.received_datagrams)) < sum(map(len, raw.sent_datagrams))
    assert testbed.request(established, b"still here") == server
    testbed.run(5.0)
    (newcomer,) = testbed.connected_clients()
    testbed.request(newcomer)


def test_sessions_keep_their_servers_while_clients_change_addresses_and_balancers_restart(create_testbed):
    """A short run of what `benchmarks/quic_brief.py` does with processes for minutes."""
    testbed = create_testbed(frontends=2)
    clients = [testbed.client(link_in=Link(i, loss=0.02), link_out=Link(100 + i, loss=0.02)) for i in range(8)]
    testbed.wait(lambda: all(c.handshake_complete for c in clients), "the handshakes")
    expected_servers, random, started_at = [testbed.request(c) for c in clients], Random(7), time.monotonic()
    for turn in range(60):
        for c in clients:
            testbed.run(0.05)
            if random.random() < 0.5:
                c.rebind()
            if random.random() < 0.2:
                c.change_cid()
            if random.random() < 0.2:
                c.frontend_address = random.choice(testbed.frontends).address
        if turn % 20 == 10:
            testbed.frontends[turn // 20 % 2].restart()
        assert [testbed.request(c, b"turn %d" % turn) for c in clients] == expected_servers
    received = [t for r in testbed.servers for t in r.records.requests if t.startswith(b"turn")]
    assert len(received) == 60 * 8 and not any(c.was_reset or c.terminations for c in clients)
    assert testbed.connections_started() == 8 and time.monotonic() - started_at < 60


# Hypothesis sorts the rules and their arguments by name; other orders would change what the seed draws.
@hypothesis.seed(
    0x21BC8D4312541ADB52C56C87CFAD29FA78692CCDD92EDAF0EF3EE9281D020882189DD5C35EE1C8E70A827EE59470B18
)  # draws of an earlier source, which Hypothesis would otherwise derive from the source
class SessionEvents(RuleBasedStateMachine):
    """Events of clients, servers, the endpoint list and balancers in any order.

    No request is served twice, and each session keeps its server.
    """

    @initialize()
    def begin(self):
        self.folder = TemporaryDirectory()
        self.testbed = Testbed(
            TestbedSetup(modes=(ServerMode.OK, ServerMode.OK, ServerMode.OK), frontends=2),
            Path(self.folder.name),
            memory=True,
        )
        self.expected_servers, self.turn, self.draining = {}, 0, set()

    def teardown(self):
        self.testbed.close()
        self.folder.cleanup()

    @precondition(lambda self: len(self.expected_servers) < 6 and len(self.draining) < 3)
    @rule(frontend=st.integers(0, 1), large=st.booleans(), version=st.sampled_from([1, 0x6B3343CF]))
    def connect(self, frontend, large, version):
        (client,) = self.testbed.connected_clients(
            frontend=self.testbed.frontends[frontend].address, large=large, versions=(version,)
        )
        self.expected_servers[client] = self.testbed.request(client, b"first")
        assert self.expected_servers[client] not in self.draining

    @precondition(lambda self: self.expected_servers)
    @rule(n=st.integers(0, 5), rebind=st.booleans(), change_cid=st.booleans(), frontend=st.integers(0, 1))
    def exchange(self, n, rebind, change_cid, frontend):
        client = list(self.expected_servers)[n % len(self.expected_servers)]
        client.frontend_address = self.testbed.frontends[frontend].address
        if rebind:
            client.rebind()
        if change_cid:
            client.change_cid()
        self.turn += 1
        assert self.testbed.request(client, b"turn %d" % self.turn) == self.expected_servers[client]

    @rule(frontend=st.integers(0, 1))
    def restart(self, frontend):
        self.testbed.frontends[frontend].restart()

    @rule(n=st.integers(0, 2))
    def drain_or_return(self, n):
        self.draining ^= {f"s-{n}"}
        self.testbed.update_endpoints(*(self.testbed.server(uid).target(state="leaving") for uid in self.draining))

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 6.0]))
    def wait(self, seconds):
        self.testbed.run(seconds)

    @invariant()
    def no_request_is_served_twice(self):
        received = [t for r in self.testbed.servers for t in r.records.requests if t.startswith(b"turn")]
        assert len(received) == len(set(received))
        assert not any(c.was_reset or c.terminations for c in self.expected_servers)
        assert all(
            f.engine.session_setup.pending_count >= 0 and len(f.engine.sessions.by_id) <= 12
            for f in self.testbed.frontends
        )


TestSessionEvents = SessionEvents.TestCase
TestSessionEvents.settings = settings(
    max_examples=30, stateful_step_count=25, deadline=None, derandomize=True, database=None
)
