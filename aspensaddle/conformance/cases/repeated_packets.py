"""RFC 9000, 5.2, 7.2, 9 and 17.2: packets that are repeated, come from another address or match no connection."""

from aspensaddle.conformance.packet_builder import CLIENT_CONNECTION_ID, handshake_packet, long_header_packet
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed


@case("9000-5.2", "A repeated Initial, during setup or after it, starts no new request")
def repeated_initial(testbed: Testbed) -> None:
    client = testbed.client()
    for _ in range(3):
        testbed.net.send(client, client.sent_datagrams[0], testbed.address)
    testbed.wait(lambda: client.handshake_complete, "a complete handshake")
    testbed.net.send(client, client.sent_datagrams[0], testbed.address)
    testbed.request(client)
    testbed.check(testbed.counter_increase("quic requests") == 1, "one request")


@case("9000-9", "The same Initial from another address is dropped")
def initial_from_another_address(testbed: Testbed) -> None:
    client, raw = testbed.client(), testbed.raw_endpoint()
    raw.send(client.sent_datagrams[0], testbed.address)
    testbed.expect_silence([raw], "a copy of an Initial from another address")
    testbed.wait(lambda: client.handshake_complete, "a complete handshake")
    testbed.request(client)
    testbed.check(
        testbed.counter_increase("quic from elsewhere") == 1 and testbed.counter_increase("quic requests") == 1,
        "one dropped copy and one request",
    )


@case("9000-17.2.4", "A Handshake packet to an unknown connection ID is dropped")
def handshake_to_unknown_cid(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(handshake_packet(b"nobody's"), testbed.address)
    testbed.expect_silence([raw], "a Handshake packet")
    testbed.check(not testbed.servers_reached(raw), "no datagram at a server")


@case("9000-17.2.5", "A Retry from a client is dropped")
def retry_from_client(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(long_header_packet(1, testbed.dcid, CLIENT_CONNECTION_ID, bytes(60), first=0xF0), testbed.address)
    testbed.expect_silence([raw], "a Retry")


@case("9000-12.2", "A datagram with packets to two connection IDs is routed by the first")
def packets_to_two_cids(testbed: Testbed) -> None:
    raw, server = testbed.raw_endpoint(), testbed.servers[0]
    other = handshake_packet(testbed.servers[1].issue())
    raw.send(handshake_packet(server.issue()) + other, testbed.address)
    testbed.run(0.2)
    testbed.check(testbed.servers_reached(raw) == ["s-0"], "only the server of the first connection ID")


@case("9000-7.2", "A handshake with a slow server is not started again when the client repeats its Initial")
def initial_repeated_to_slow_server(testbed: Testbed) -> None:
    for server in testbed.servers:
        server.link_out.delay = 0.6
    try:
        (client,) = testbed.connected_clients()
        testbed.request(client)
        testbed.check(
            testbed.counter_increase("quic requests") == 1 and testbed.counter_increase("quic attempts") == 1,
            "one request, one attempt",
        )
    finally:
        for server in testbed.servers:
            server.link_out.delay = 0.0
