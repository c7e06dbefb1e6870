"""Datagrams of a server reach a client in time, whatever the client, its path or the balancer does."""

import math

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.conformance.testbed import Testbed, TestbedSetup
from aspensaddle.frontends.quic.address_limits import ReplyLimit
from aspensaddle.frontends.quic.client_delivery import MAX_HELD_BYTES, MAX_HELD_BYTES_PER_PATH

IN_TIME_SECONDS = 1.0  # PROTOCOL, "The rules on sockets": no line is held back for longer
RESULT_BYTES = 20_000
CLIENTS = 4
CHANGES = 8  # more than the paths of a session
CHANGE_INTERVAL_SECONDS = 3.0
MEASURING_SECONDS = 0.1  # two round trips of the client's link, which the result takes without a change as well
# Size of the results, number of clients, delay of their links in one direction, and time between changes; the last
# pause is longer than a session's idle timeout
PLAYS = [(20_000, 4, 0.0, CHANGE_INTERVAL_SECONDS), (300_000, 1, 0.05, 0.2), (20_000, 2, 0.05, 35.0)]


def received_bytes(client):
    """Return how many bytes of results a client has received."""
    return sum(map(len, client.responses))


class Results:
    """Clients that request results of one server, and how long each result took to arrive whole."""

    def __init__(self, testbed, clients=CLIENTS, result_bytes=RESULT_BYTES, delay=0.0, **options):
        self.testbed, self.result_bytes = testbed, result_bytes
        for server in testbed.servers:
            server.result_bytes = result_bytes
        self.clients = testbed.connected_clients(clients, **options)
        for client in self.clients:
            client.link_in.delay = client.link_out.delay = delay
        self.ports = [[client.address] for client in self.clients]
        self.seconds = []

    def use_port(self, client, address):
        """Have a client send from an address, which may be one that it had before."""
        net = self.testbed.net
        net.remove(client)
        client.address = address
        net.add_addresses(client, [address])
        net.endpoints.append(client)

    def await_result(self, client, text):
        """Send a request and record the seconds until its result has arrived whole."""
        text = b"%s from port %d" % (text, client.address[1])
        expected = received_bytes(client) + self.result_bytes + len(b"s-0 " + text)
        sent_at = self.testbed.net.now()
        client.send_request(text)
        self.testbed.net.run_until(lambda: received_bytes(client) >= expected, 5 * IN_TIME_SECONDS)
        self.seconds.append(self.testbed.net.now() - sent_at if received_bytes(client) >= expected else float("inf"))

    def late(self):
        """Return the times of the results that were late or never came."""
        return [seconds for seconds in self.seconds if seconds > IN_TIME_SECONDS]


def keep_all(results, client, change):
    """Change nothing."""


def change_port(results, client, change):
    client.rebind()


def change_id_and_port(results, client, change):
    client.change_cid()
    client.rebind()


def change_id(results, client, change):
    client.change_cid()


def change_to_earlier_port(results, client, change):
    ports = results.ports[results.clients.index(client)]
    if change % 3:
        client.rebind()
        ports.append(client.address)
    else:
        results.use_port(client, ports[0])


def change_balancer(results, client, change):
    frontends = results.testbed.frontends
    client.frontend_address = frontends[change % len(frontends)].address


def change_balancer_and_port(results, client, change):
    change_balancer(results, client, change)
    client.rebind()


def change_ports_in_quick_succession(results, client, change):
    for _ in range(6):
        client.rebind()
        client.connection.send_ping(change)
        client.flush()
        results.testbed.run(0.001)


def restart_on_other_ports(results, client, change):
    frontend = results.testbed.frontend
    if client is results.clients[0]:
        frontend.first_socket_port += 100
        frontend.restart()


def restart_on_same_ports(results, client, change):
    if client is results.clients[0]:
        results.testbed.frontend.restart()


CHANGES_OF_CLIENTS = (
    keep_all,
    change_port,
    change_id_and_port,
    change_to_earlier_port,
    change_balancer,
    change_balancer_and_port,
    change_ports_in_quick_succession,
    restart_on_other_ports,
    restart_on_same_ports,
)


def play(testbed, results, change, pause):
    for turn in range(CHANGES):
        for client in results.clients:
            if turn:
                change(results, client, turn)
            results.await_result(client, b"line %d" % turn)
        testbed.run(pause)


@pytest.mark.parametrize(("result_bytes", "clients", "delay", "pause"), PLAYS)
@pytest.mark.parametrize("change", CHANGES_OF_CLIENTS)
def test_results_arrive_in_time_after_changes(create_testbed, change, result_bytes, clients, delay, pause):
    """Guards against a limit of the client's new address that keeps back what its server sends (review/9)."""
    testbed = create_testbed(frontends=2, modes=(ServerMode.OK,))
    results = Results(testbed, clients, result_bytes, delay)
    play(testbed, results, change, pause)
    assert results.late() == []


@pytest.mark.parametrize("result_bytes", [0, 1, 3_000, 100_000, 2_000_000])
def test_results_of_any_size_arrive_in_time(create_testbed, result_bytes):
    """Guards against a limit that lets small results pass and holds large ones back."""
    testbed = create_testbed(modes=(ServerMode.OK,))
    results = Results(testbed, 1, result_bytes)
    play(testbed, results, change_port, 0.5)
    assert results.late() == []


@pytest.mark.parametrize("change", [change_port, restart_on_other_ports, change_balancer])
def test_result_goes_on_after_a_change_in_the_middle_of_it(create_testbed, change):
    """Guards against a result that stops where its client changes the port, the balancer or nothing at all."""
    testbed = create_testbed(frontends=2, modes=(ServerMode.OK,))
    results = Results(testbed, 1, 300_000, 0.05)
    (client,) = results.clients
    for turn in range(1, CHANGES):
        expected = received_bytes(client) + results.result_bytes
        client.send_request(b"line")
        testbed.run(0.15)
        change(results, client, turn)
        client.connection.send_ping(turn)  # the client has noticed the change; its datagrams show the new path
        client.flush()
        changed_at = testbed.net.now()
        testbed.wait(lambda expected=expected: received_bytes(client) >= expected, "the rest")
        assert testbed.net.now() - changed_at <= IN_TIME_SECONDS + MEASURING_SECONDS


def test_result_arrives_although_the_first_datagrams_to_a_new_address_are_lost(create_testbed):
    """Guards against a limit that is used up by datagrams that the client never received."""
    testbed = create_testbed(modes=(ServerMode.OK,))
    testbed.servers[0].limits_addresses = False
    results = Results(testbed, 1)
    (client,) = results.clients
    results.await_result(client, b"before")
    for turn in range(4):
        client.rebind()
        client.link_in.loss = 1.0
        client.send_request(b"line")
        testbed.run(0.05)
        client.link_in.loss = 0.0
        expected, from_then_on = received_bytes(client) + RESULT_BYTES, testbed.net.now()
        testbed.wait(lambda expected=expected: received_bytes(client) >= expected, f"result {turn}")
        assert testbed.net.now() - from_then_on <= IN_TIME_SECONDS


def test_clients_behind_one_address_get_their_results_in_time(create_testbed):
    """Guards against limits by IP address, behind which there are many clients."""
    testbed = create_testbed(modes=(ServerMode.OK,))
    results = Results(testbed, 20)
    for turn in range(3):
        for client in results.clients:
            client.rebind()
            client.send_request(b"turn %d" % turn)
        sent_at = testbed.net.now()
        expected = RESULT_BYTES * (turn + 1)
        testbed.wait(lambda e=expected: all(received_bytes(c) >= e for c in results.clients), "all results")
        assert testbed.net.now() - sent_at <= IN_TIME_SECONDS
        testbed.run(CHANGE_INTERVAL_SECONDS)


def test_results_of_a_draining_server_arrive_in_time(create_testbed):
    """Guards against sessions that a drain cuts off although their server still answers."""
    testbed = create_testbed(modes=(ServerMode.OK,))
    results = Results(testbed)
    testbed.update_endpoints(testbed.servers[0].target(state="leaving"))
    play(testbed, results, change_port, CHANGE_INTERVAL_SECONDS)
    assert results.late() == []


@pytest.mark.parametrize("change", [change_port, change_ports_in_quick_succession])
@pytest.mark.parametrize("sockets", [4, 8])
@pytest.mark.parametrize("cid_length", [0, 8])
def test_clients_that_change_their_port_share_few_sockets(create_testbed, change, sockets, cid_length):
    """Guards against a client that waits until a socket is idle although it has left one itself."""
    testbed = create_testbed(modes=(ServerMode.OK,), extra_settings=f"most_sockets = {sockets}\n")
    results = Results(testbed, cid_length=cid_length)
    play(testbed, results, change, 0.2)
    assert results.late() == [] and not testbed.frontend.counts().get("quic out of paths")


def test_result_arrives_although_datagrams_came_from_more_addresses_than_a_session_has_paths(create_testbed):
    """Guards against datagrams from elsewhere that close the path on which the server is about to answer."""
    testbed = create_testbed(modes=(ServerMode.OK,))
    results = Results(testbed, 1)
    (client,) = results.clients
    results.await_result(client, b"before")
    testbed.servers[0].link_out.delay = 0.5
    client.send_request(b"line")
    expected, sent_at = received_bytes(client) + RESULT_BYTES, testbed.net.now()
    testbed.run(0.1)
    for _ in range(10):
        raw = testbed.raw_endpoint()
        raw.send(client.sent_datagrams[-1], testbed.address)  # a datagram that the server has had
    testbed.wait(lambda: received_bytes(client) >= expected, "the result")
    assert testbed.net.now() - sent_at <= 0.5 + IN_TIME_SECONDS


def restart_process(results, client, change):
    if client is results.clients[0]:
        results.testbed.frontend.restart()


@pytest.mark.parametrize(
    ("change", "pause"), [(change_port, CHANGE_INTERVAL_SECONDS), (restart_process, 0.2), (change_id_and_port, 0.2)]
)
def test_results_arrive_in_time_through_the_program(tmp_path, change, pause):
    """Guards against the same with real sockets, whose ports differ after a restart."""
    testbed = Testbed(TestbedSetup(modes=(ServerMode.OK,)), tmp_path)
    try:
        testbed.begin_case()
        results = Results(testbed)
        play(testbed, results, change, pause)
        assert results.late() == []
    finally:
        testbed.close()


# What an address that never replies can draw


def max_bytes_without_reply(sent_bytes, seconds):
    """Return the bound of docs/quic.md for an address that has sent some bytes and was sent to for some seconds."""
    pauses = int(math.log2(1 + seconds / 0.1))
    return 3 * max(1200, sent_bytes) + pauses * 3600


@pytest.mark.parametrize("limits_addresses", [True, False])
@pytest.mark.parametrize("copies", [1, 10])
def test_address_that_never_replies_draws_a_bounded_part_of_a_result(create_testbed, limits_addresses, copies):
    """Guards against a balancer that sends results to whatever address a copied datagram seems to come from."""
    testbed = create_testbed(modes=(ServerMode.OK,))
    (server,) = testbed.servers
    server.limits_addresses = limits_addresses
    results = Results(testbed, 1, 500_000)
    (client,), raw = results.clients, testbed.raw_endpoint()
    results.await_result(client, b"before")  # the server's congestion window has grown
    client.hold_datagrams = True
    for number in range(copies):
        client.send_request(b"%d" % number)
    for data in client.held_datagrams:
        raw.send(data, testbed.address)
    testbed.run(20.0)
    drawn = sum(map(len, raw.received_datagrams))
    assert 0 < drawn <= max_bytes_without_reply(sum(map(len, client.held_datagrams)), 20.0)


@pytest.mark.parametrize("limits_addresses", [True, False])
def test_client_whose_datagrams_are_copied_ahead_of_it_gets_its_results_in_time(create_testbed, limits_addresses):
    """Guards against a limit that counts what copies draw elsewhere against the client's own address."""
    testbed = create_testbed(modes=(ServerMode.OK,))
    testbed.servers[0].limits_addresses = limits_addresses
    results = Results(testbed, 1)
    (client,), raw = results.clients, testbed.raw_endpoint()
    for turn in range(CHANGES):
        client.rebind()
        client.hold_datagrams = True
        client.send_request(b"line %d" % turn)
        held, client.held_datagrams = client.held_datagrams, []
        client.hold_datagrams = False
        for data in held:
            raw.send(data, testbed.address)
            testbed.net.call_later(0.05, lambda data=data: client.send(data))
        results.await_result(client, b"more %d" % turn)
        testbed.run(CHANGE_INTERVAL_SECONDS)
    assert results.late() == []
    assert sum(map(len, raw.received_datagrams)) <= max_bytes_without_reply(0, CHANGES * CHANGE_INTERVAL_SECONDS)


@hypothesis.seed(62)
@given(
    st.lists(
        st.tuples(st.integers(1, 1500), st.integers(0, 1500), st.integers(100, 1500), st.floats(0.0, 2.0)), max_size=8
    )
)
def test_bytes_without_a_reply_are_bounded_whatever_server_and_address_send(steps):
    """Guards against a way past the limit of an address that sends blindly, whatever its server sends."""
    limit, now, received, replies, has_sent = ReplyLimit(), 0.0, 0, 0, False
    for received_size, datagrams, sent_size, pause in steps:
        received += received_size
        replies += has_sent
        assert not limit.record_received(received_size, b"any") and limit.replies == replies
        sent, heard_at = 0, now
        for _ in range(datagrams):
            now += pause / datagrams
            sent += sent_size * limit.try_consume(sent_size, now)
        has_sent = sent > 0
        window = min(58_880 * 4 ** (replies - 1), 1 << 20) if replies else 3 * max(1200, received)
        assert sent <= window + int(math.log2(1 + (now - heard_at) / 0.1)) * 3600
        assert sent == sent_size * datagrams or sent > window - sent_size  # and it is not held back without need


def test_held_datagrams_are_bounded_and_sent_in_their_order(create_testbed):
    """Guards against memory without bound behind addresses that never reply."""
    testbed = create_testbed(modes=(ServerMode.OK,))
    results = Results(testbed, 12, 1)
    delivery = testbed.frontend.engine.delivery
    paths = [session.path for session in testbed.frontend.engine.sessions.by_id.values()]
    sent = {path.client_address: [] for path in paths}
    testbed.frontend.send_to_client = lambda data, address: sent[address].append(data)
    for path in paths:
        path.address_limit = ReplyLimit()
        for number in range(1000):
            delivery.deliver(path, number.to_bytes(2, "big") + bytes(1198))
        assert delivery.held_bytes <= MAX_HELD_BYTES
    assert [len(datagrams) for datagrams in sent.values()] == [3] * 12
    kept = paths[-1]
    for _ in range(100):
        kept.address_limit.record_received(30, b"")
        delivery.release(kept)
    numbers = [int.from_bytes(data[:2], "big") for data in sent[kept.client_address]]
    assert numbers == list(range(3 + MAX_HELD_BYTES_PER_PATH // 1200))
    for path in paths:
        testbed.frontend.engine.paths.close(path)
    assert delivery.held_bytes == 0 and results.clients


@pytest.mark.parametrize(
    "limits", ["most_sessions = 6\n", "most_pending = 6\n", "most_sessions = 6\nmost_pending = 4\n"]
)
def test_clients_that_change_their_id_get_their_results_in_a_full_table(create_testbed, limits):
    """Guards against entries of addresses that clients have left, for which their next address is turned away."""
    testbed = create_testbed(modes=(ServerMode.OK,), extra_settings=limits)
    results = Results(testbed)
    play(testbed, results, change_id_and_port, 1.5)
    assert results.late() == []


# More paths than sockets


def count_foreign_datagrams(clients):
    """Have clients count the short-header datagrams that were sent to no connection ID of theirs."""
    foreign = dict.fromkeys(clients, 0)

    def count(client, handle_datagram):
        def handle(data, source):
            own = [cid.cid for cid in client.connection._host_cids]
            foreign[client] += not data[0] & 0x80 and not any(data[1:].startswith(cid) for cid in own)
            handle_datagram(data, source)

        client.handle_datagram = handle

    for client in clients:
        count(client, client.handle_datagram)
    return foreign


@pytest.mark.parametrize("change", [keep_all, change_id, change_port, change_balancer, restart_on_other_ports])
def test_more_sessions_than_sockets_get_their_results_after_any_pause(create_testbed, change):
    """Guards against a socket that is taken from a session whose server is about to answer (review/8)."""
    testbed = create_testbed(frontends=2, modes=(ServerMode.OK,), extra_settings="most_sockets = 6\n")
    results = Results(testbed, 16, 3_000)
    foreign = count_foreign_datagrams(results.clients)
    pause = 1.5  # longer than the second for which an idle path was kept
    testbed.servers[0].result_seconds = pause
    for turn in range(5):
        for client in results.clients:
            if turn:
                change(results, client, turn)
            client.send_request(b"line")
            testbed.run(0.01)
        expected, sent_at = (turn + 1) * results.result_bytes, testbed.net.now()
        testbed.wait(lambda e=expected: all(received_bytes(c) >= e for c in results.clients), f"results {turn}")
        assert testbed.net.now() - sent_at <= pause + IN_TIME_SECONDS
    assert sum(foreign.values()) == 0


def test_clients_without_connection_ids_do_not_share_a_socket(create_testbed):
    """Guards against datagrams that nobody can tell apart."""
    testbed = create_testbed(modes=(ServerMode.OK,), extra_settings="most_sockets = 2\n")
    clients = [testbed.client(cid_length=0) for _ in range(3)]
    testbed.run(3.0)
    assert sum(client.handshake_complete for client in clients) == 2
    assert not testbed.frontend.counts().get("quic sockets shared")
    assert all(client.handshake_complete or client.terminations for client in clients)
