"""Which evidence shows that the server of a QUIC session is gone, and who may end the session for that."""

import pytest

from aspensaddle.conformance.packet_builder import short_header_packet
from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.core.endpoint_confirmation import MAX_STALENESS_SECONDS
from aspensaddle.core.events import Outcome
from aspensaddle.frontends.quic.server_silence import (
    REPLY_SECONDS,
    SILENCE_SECONDS,
    ServerActivity,
    UnansweredDatagrams,
)

NEVER = float("-inf")
LOST_AFTER_SECONDS = 14.0  # what a client that repeats its datagrams waits at most for the reset


def times_of_probes(first_pause):
    """Return when a client repeats a datagram that is not acknowledged: the pauses double."""
    return [0.0] + [first_pause * (2**count - 1) for count in range(1, 8)]


def lost_at(times, heard_at=NEVER, until=60.0):
    """Return when a server counts as lost to a client that sends at these times; None if it never does."""
    datagrams, remaining = UnansweredDatagrams(), list(times)
    for step in range(int(until * 10)):
        now = 100.0 + step / 10
        while remaining and 100.0 + remaining[0] <= now:
            datagrams.record(100.0 + remaining.pop(0), heard_at)
        if datagrams.show_a_lost_server(now, heard_at):
            return step / 10
    return None


# The rule for silence


@pytest.mark.parametrize("first_pause", [0.05, 0.1, 0.3, 0.6, 1.0, 1.9])
def test_client_that_repeats_its_datagrams_shows_a_lost_server_in_time(first_pause):
    found_at = lost_at(times_of_probes(first_pause))
    assert found_at is not None and SILENCE_SECONDS + REPLY_SECONDS <= found_at <= 4 * SILENCE_SECONDS


def test_client_that_sends_all_the_time_shows_a_lost_server_after_silence_and_the_time_to_reply():
    found_at = lost_at([count / 10 for count in range(200)])
    assert SILENCE_SECONDS + REPLY_SECONDS <= found_at <= SILENCE_SECONDS + REPLY_SECONDS + 0.3


@pytest.mark.parametrize(
    "times",
    [
        [0.0, 0.001, 0.002],  # acknowledgments
        [0.0, 0.01, 0.02, 0.03, 3.0],  # the client comes back once and goes away again
        [0.0, 0.001, 0.002, 8.0, 8.001, 8.002],  # it comes back, and is answered by another balancer again
        [0.0, 2.1, 4.2, 6.3, 8.4],  # a datagram each time that it passes by
        [0.0, 5.0],
    ],
)
def test_client_that_does_not_go_on_sending_shows_nothing(times):
    assert lost_at(times) is None


def test_server_that_sends_anything_to_anyone_is_not_lost():
    assert lost_at(times_of_probes(0.1), heard_at=100.0) is not None  # heard before, and with, the first datagram
    assert lost_at(times_of_probes(0.1), heard_at=106.0) is None


def test_activity_of_servers_that_left_the_list_is_forgotten():
    activity = ServerActivity()
    for server in range(5):
        activity.record(server, 1.0 + server)
    activity.forget_all_except({2, 9})
    assert [activity.last_heard_at(server) for server in (1, 2, 9)] == [NEVER, 3.0, NEVER]
    assert len(activity._last_heard_at) == 1


# Clients that move


@pytest.mark.parametrize("seconds_away", [2, 4, 6, 8, 16, 28, 34])
def test_client_that_moves_to_another_balancer_and_comes_back_keeps_its_session(create_testbed, seconds_away):
    """Guards against a balancer that takes the absence of a client for the silence of its server (review/2)."""
    testbed = create_testbed(frontends=2, modes=(ServerMode.OK, ServerMode.OK))
    (client,) = testbed.connected_clients()
    server_uid = testbed.request(client)
    repeated = next(data for data in reversed(client.sent_datagrams) if not data[0] & 0x80)
    for frontend in (testbed.frontends[1], testbed.frontends[0]):
        # No server answers these, as it answers no acknowledgments of the last pieces of a response.
        testbed.run(0.5)
        for _ in range(4):
            client.send(repeated)
        client.rebind()
        client.frontend_address = frontend.address
        for turn in range(seconds_away // 2):
            assert testbed.request(client, b"line %d" % turn) == server_uid
            testbed.run(2.0)
    assert not client.was_reset and not client.terminations
    for frontend in testbed.frontends:
        assert not frontend.counts().get("quic ended connection_lost") and not frontend.counts().get("quic resets")


def test_client_that_a_lost_server_was_shown_by_and_that_comes_from_elsewhere_is_sent_to_its_server(create_testbed):
    """The server was cut off from one balancer only, and has answered through the other one since."""
    testbed = create_testbed(frontends=2, modes=(ServerMode.OK,))
    (client,) = testbed.connected_clients()
    testbed.request(client)
    testbed.run(1.0)  # all is acknowledged
    first, second = testbed.frontends
    cut_off, send_to_server = [True], first.send_to_server
    first.send_to_server = lambda data, path: cut_off[0] or send_to_server(data, path)
    client.send_request(b"anyone?")
    client.link_in.loss = 1.0  # the reset does not arrive
    testbed.wait(lambda: first.counts().get("quic ended connection_lost"), "the end", LOST_AFTER_SECONDS)
    client.link_in.loss, cut_off[0] = 0.0, False
    client.rebind()
    client.frontend_address = second.address
    testbed.wait(lambda: client.responses[-1].endswith(b"anyone?"), "the response through the other balancer")
    client.rebind()
    client.frontend_address = first.address
    assert testbed.request(client, b"back") == "s-0" and not client.was_reset


# Servers that are lost


def test_server_that_stops_sending_loses_its_sessions_in_time_and_no_other_server_does(create_testbed):
    testbed = create_testbed(modes=(ServerMode.OK, ServerMode.OK))
    clients = testbed.connected_clients(6)
    homes = [testbed.request(client) for client in clients]
    testbed.server(homes[0]).mode = ServerMode.SILENT
    for client in clients:
        client.send_request(b"anyone?")
    stopped = [client for client, home in zip(clients, homes, strict=True) if home == homes[0]]
    testbed.wait(lambda: all(client.was_reset for client in stopped), "the resets", LOST_AFTER_SECONDS)
    assert sum(client.was_reset for client in clients) == len(stopped) < len(clients)
    assert testbed.counter_increase("quic ended connection_lost") == len(stopped)


def test_server_whose_process_ended_loses_its_sessions_at_the_next_datagram(create_testbed):
    testbed = create_testbed(modes=(ServerMode.OK,))
    (client,) = testbed.connected_clients()
    testbed.request(client)
    testbed.servers[0].close()
    client.send_request(b"anyone?")
    testbed.wait(lambda: client.was_reset, "the reset", 0.1)
    assert testbed.counter_increase("quic ended connection_lost") == 1
    assert not testbed.frontend.engine.sessions.by_id


def test_path_that_was_closed_for_lack_of_sockets_still_shows_a_lost_server(create_testbed):
    testbed = create_testbed(modes=(ServerMode.OK,))
    (client,) = testbed.connected_clients()
    testbed.request(client)
    (session,) = testbed.frontend.engine.sessions.by_id.values()
    testbed.frontend.engine.paths.close(session.path)
    testbed.servers[0].mode = ServerMode.SILENT
    client.send_request(b"anyone?")
    testbed.wait(lambda: client.was_reset, "the reset", LOST_AFTER_SECONDS)


def test_session_of_a_client_that_moves_while_its_server_is_lost_ends_when_it_is_idle(create_testbed):
    testbed = create_testbed(modes=(ServerMode.OK,), idle_timeout=10.0)
    (client,) = testbed.connected_clients()
    testbed.request(client)
    testbed.servers[0].mode = ServerMode.SILENT
    client.rebind()
    client.send_request(b"anyone?")
    testbed.run(8.0)
    client.close()
    testbed.wait(lambda: not testbed.frontend.engine.sessions.by_id, "the end of the session", 14.0)


# Forged datagrams


def forge(testbed, raw, cid, seconds):
    """Send datagrams to a connection ID twice a second, as somebody who has seen it but has no keys."""
    for number in range(int(2 * seconds)):
        raw.send(short_header_packet(cid, 60 + number), testbed.address)
        testbed.run(0.5)


def test_forged_datagrams_to_a_live_session_end_nothing_and_get_no_reset(create_testbed):
    """Guards against a reset that discloses the token of a live session, or ends it for what its server ignores."""
    testbed = create_testbed(modes=(ServerMode.OK,))
    (client,) = testbed.connected_clients()
    testbed.request(client)
    testbed.run(1.0)
    (session,) = testbed.frontend.engine.sessions.by_id.values()
    raw = testbed.raw_endpoint()
    forge(testbed, raw, session.cids[-1], 9.0)
    assert not raw.received_datagrams and testbed.request(client, b"still here") == "s-0" and not client.was_reset


@pytest.mark.parametrize("server_ends", [False, True])
def test_forged_connection_ids_give_a_server_no_lost_connection_and_their_sender_no_reset(
    create_testbed, server_ends
):
    testbed = create_testbed(modes=(ServerMode.OK, ServerMode.SILENT))
    outcomes, attempt_ended = [], testbed.frontend.driver.attempt_ended
    testbed.frontend.driver.attempt_ended = lambda id, outcome, finished=False: (
        outcomes.append(outcome),
        attempt_ended(id, outcome, finished),
    )
    cids = [testbed.servers[1].issue() for _ in range(5)]
    if server_ends:
        testbed.servers[1].close()
    raws = [testbed.raw_endpoint() for _ in cids]
    for number in range(10):
        for raw, cid in zip(raws, cids, strict=True):
            raw.send(short_header_packet(cid, 60 + number), testbed.address)
        testbed.run(0.5)
    assert Outcome.CONNECTION_LOST not in outcomes
    assert not any(raw.received_datagrams for raw in raws)


def test_forged_datagrams_are_remembered_within_bounds(create_testbed):
    testbed = create_testbed(extra_settings="most_sessions = 40\nmost_pending = 8")
    frontend, raw = testbed.frontend, testbed.raw_endpoint()
    frontend.restart_with_cached_list([testbed.servers[0].target()])
    for number in range(400):
        raw.send(short_header_packet(testbed.servers[number % 3].issue(), 60), testbed.address)
        if not number % 50:
            testbed.run(0.05)
    testbed.run(0.1)
    sessions = frontend.engine.sessions
    assert len(sessions.departure_evidence._first_seen_at) <= 40 and len(sessions.by_id) <= 40
    assert frontend.counts()["quic servers not listed"] > 200 and not raw.received_datagrams


# Endpoint lists that come late


def test_session_on_a_server_that_the_list_from_before_a_restart_lacks_goes_on(create_testbed):
    """Guards against a server that is not listed yet counting as gone after a restart (review/REPORT.md)."""
    testbed = create_testbed(modes=(ServerMode.OK, ServerMode.OK))
    clients = testbed.connected_clients(4)
    homes = [testbed.request(client) for client in clients]
    assert set(homes) == {"s-0", "s-1"}
    testbed.frontend.restart_with_cached_list([testbed.servers[0].target()])
    for client in clients:
        client.send_request(b"after")
    testbed.run(2.0)
    assert not any(client.was_reset for client in clients)
    testbed.update_endpoints()
    for client in clients:
        testbed.wait(lambda client=client: client.responses[-1].endswith(b" after"), "the response")
    assert [client.responses[-1].split()[0].decode() for client in clients] == homes
    assert testbed.connections_started() == 4 and not testbed.counter_increase("quic resets")


def test_session_on_a_server_at_a_new_address_goes_on_when_the_list_with_it_comes(create_testbed):
    """Guards against the closed port of an address from before a restart ending a live session."""
    testbed = create_testbed(modes=(ServerMode.OK,))
    (client,) = testbed.connected_clients()
    testbed.request(client)
    old_entry = testbed.servers[0].target(endpoint="127.0.0.9:9")
    testbed.frontend.restart_with_cached_list([old_entry])
    client.send_request(b"after")
    testbed.run(1.0)
    assert not client.was_reset and not testbed.frontend.engine.sessions.by_id
    testbed.update_endpoints()
    testbed.wait(lambda: client.responses[-1].endswith(b" after"), "the response")
    assert not client.was_reset


def test_client_of_a_server_that_a_confirmed_list_lacks_is_reset_in_time(create_testbed):
    """The server left before the restart, so this process never had it in its list."""
    testbed = create_testbed(modes=(ServerMode.OK, ServerMode.OK))
    clients = testbed.connected_clients(4)
    homes = [testbed.request(client) for client in clients]
    gone = [client for client, home in zip(clients, homes, strict=True) if home == "s-1"]
    testbed.servers[1].mode = ServerMode.SILENT
    testbed.frontend.restart_with_cached_list([testbed.servers[0].target()])
    for client in clients:
        client.send_request(b"after")
    testbed.run(MAX_STALENESS_SECONDS + 4)
    assert not any(client.was_reset for client in clients)  # the list is not confirmed
    testbed.update_endpoints({"uid": "s-1"})
    testbed.wait(lambda: all(client.was_reset for client in gone), "the resets", 12.0)
    assert sum(client.was_reset for client in clients) == len(gone)


def test_client_of_a_server_that_ended_before_a_restart_is_reset_in_time(create_testbed):
    testbed = create_testbed(modes=(ServerMode.OK,))
    (client,) = testbed.connected_clients()
    testbed.request(client)
    testbed.servers[0].close()
    testbed.frontend.restart()
    client.send_request(b"anyone?")
    testbed.run(MAX_STALENESS_SECONDS - 2)
    assert not client.was_reset  # the list with the server's address may be from before its start at another one
    testbed.wait(lambda: client.was_reset, "the reset", 10.0)


def test_server_that_left_an_outdated_list_may_have_returned(create_testbed):
    testbed = create_testbed(modes=(ServerMode.OK, ServerMode.OK))
    cid, raw = testbed.servers[0].issue(), testbed.raw_endpoint()
    testbed.update_endpoints({"uid": "s-0"})
    testbed.frontend.list_is_confirmed = False
    testbed.run(MAX_STALENESS_SECONDS + 0.5)
    raw.send(short_header_packet(cid, 60), testbed.address)
    testbed.run(0.2)
    assert not raw.received_datagrams and testbed.counter_increase("quic servers not listed") == 1
    testbed.frontend.list_is_confirmed = True
    testbed.run(0.2)
    raw.send(short_header_packet(cid, 61), testbed.address)
    testbed.wait(lambda: raw.received_datagrams, "the reset")
