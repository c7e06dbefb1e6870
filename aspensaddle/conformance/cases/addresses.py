"""RFC 9000, 8 and 9: unvalidated addresses, and clients that change their address."""

from aspensaddle.conformance.packet_builder import (
    CLIENT_CONNECTION_ID,
    client_hello,
    client_hello_frame,
    crypto_frame,
    initial_packet,
    long_header_packet,
)
from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed, TestbedSetup


@case("9000-8.1", "An unvalidated address gets at most three times the bytes it sent, whatever a server replies")
def amplification_limit(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    for server in testbed.servers:
        server.mode = ServerMode.AMPLIFYING
    data = initial_packet(testbed.dcid, client_hello_frame())
    raw.send(data, testbed.address)
    testbed.run(3.0)
    received = sum(map(len, raw.received_datagrams))
    testbed.check(0 < received <= 3 * len(data), f"at most three times {len(data)} bytes, not {received}")


@case("9000-8.1", "More Initials from an unvalidated address raise its limit, but do not validate it")
def amplification_limit_with_more_initials(testbed: Testbed) -> None:
    raw, sent = testbed.raw_endpoint(), 0
    for server in testbed.servers:
        server.mode = ServerMode.AMPLIFYING
    hello = client_hello()
    for n in range(4):
        data = initial_packet(testbed.dcid, crypto_frame(0, hello), number=n)
        raw.send(data, testbed.address)
        sent += len(data)
        testbed.run(0.5)
    testbed.check(0 < sum(map(len, raw.received_datagrams)) <= 3 * sent, "at most three times the bytes sent")


@case("9000-8", "No response of the front end itself is larger than the datagram that it responds to")
def own_responses_are_small(testbed: Testbed) -> None:
    for server in testbed.servers:
        server.mode = ServerMode.REFUSE
    for data in (
        initial_packet(testbed.dcid, client_hello_frame()),
        long_header_packet(0x1A2A3A4A, testbed.dcid, CLIENT_CONNECTION_ID, bytes(1180)),
    ):
        raw = testbed.raw_endpoint()
        raw.send(data, testbed.address)
        testbed.wait(lambda raw=raw: raw.received_datagrams, "a response")  # type: ignore[misc]
        testbed.check(
            len(raw.received_datagrams) == 1 and len(raw.received_datagrams[0]) <= len(data),
            "one response, no larger than the datagram",
        )


@case("9000-9", "A client that changes its port keeps its server, which sees another source address")
def rebinding(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    server_uid = testbed.request(client)
    sources = set(testbed.server(server_uid).records.source_addresses)
    client.rebind()
    testbed.check(testbed.request(client, b"here now") == server_uid, "the same server")
    testbed.check(
        testbed.server(server_uid).records.source_addresses - sources,
        "datagrams from a source address that is new to the server",
    )
    testbed.check(
        testbed.connections_started() and not client.terminations and not client.was_reset, "the same connection"
    )


@case("9000-9.5", "A client may change its port and its connection ID in the same datagram")
def rebinding_with_another_cid(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    server_uid = testbed.request(client)
    for turn in range(3):
        client.change_cid()
        client.rebind()
        testbed.check(testbed.request(client, b"turn %d" % turn) == server_uid, "the same server")


@case("9000-5.1", "A client may change its connection ID many times")
def many_cids(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    server_uid = testbed.request(client)
    for turn in range(12):
        client.change_cid()
        testbed.check(testbed.request(client, b"turn %d" % turn) == server_uid, "the same server")


@case("9000-9.3", "After a client changes its address, the server's datagrams go to the new address")
def replies_follow_client(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    testbed.request(client)
    old_address = client.address
    client.rebind()
    testbed.request(client, b"moved")
    testbed.check(client.address != old_address, "another port")
    datagrams_before = client.received_count
    testbed.request(client, b"once more")
    testbed.check(client.received_count > datagrams_before, "datagrams at the new address")


@case("9000-9.3.1", "Datagrams copied from another address get at most three times their bytes there")
def copied_datagrams(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    server_uid = testbed.request(client)
    raw, sent = testbed.raw_endpoint(), 0
    client.hold_datagrams = True
    client.send_request(b"x" * 3000)
    for data in client.held_datagrams:
        raw.send(data, testbed.address)
        sent += len(data)
    testbed.run(1.0)
    testbed.check(sum(map(len, raw.received_datagrams)) <= 3 * sent, "at most three times the bytes sent")
    client.hold_datagrams = False
    for data in client.held_datagrams:
        client.send(data)
    testbed.check(testbed.request(client, b"still here") == server_uid, "the same server")


@case("9000-9.3.3", "A client keeps its server while all its datagrams are also sent from another address")
def racing_copies(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    server_uid, raw = testbed.request(client), testbed.raw_endpoint()
    for turn in range(5):
        client.hold_datagrams = True
        client.send_request(b"turn %d" % turn)
        client.hold_datagrams, held = False, client.held_datagrams[:]
        client.held_datagrams.clear()
        for data in held:
            raw.send(data, testbed.address)
            client.send(data)
        testbed.check(testbed.request(client, b"more %d" % turn) == server_uid, "the same server")


@case(
    "9000-9", "A client whose port changes all the time keeps its server, and no request is served twice", slow=True
)
def frequent_rebinding(testbed: Testbed) -> None:
    clients = testbed.connected_clients(4)
    server_uids = [testbed.request(c) for c in clients]
    for turn in range(8):
        for c in clients:
            c.rebind()
        testbed.check(
            [testbed.request(c, b"restless %d" % turn) for c in clients] == server_uids,
            "the same server for each client",
        )
        testbed.run(0.3)
    received = [t for server in testbed.servers for t in server.records.requests if t.startswith(b"restless")]
    testbed.check(len(received) == 8 * len(clients), "each request received once")


@case(
    "9000-9",
    "A session has a limited number of paths, and the latest ones work",
    TestbedSetup(extra_settings="most_sockets = 8"),
)
def many_paths(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    server_uid = testbed.request(client)
    for turn in range(20):
        client.rebind()
        testbed.check(testbed.request(client, b"turn %d" % turn) == server_uid, "the same server")
        testbed.run(0.25 if turn % 6 == 5 else 0.0)
