"""RFC 9000, 5.2, 7.2, 9 and 17.2: packets that come again, from elsewhere or to nobody."""

from aspensaddle.conformance.packet_builder import CLIENT_CONNECTION_ID, handshake_packet, long_header_packet
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed


@case("9000-5.2", "The same Initial again, while it is placed and after, begins nothing new")
def repeated_initial(testbed: Testbed) -> None:
    client = testbed.client()
    for _ in range(3):
        testbed.net.send(client, client.sent[0], testbed.address)
    testbed.wait(lambda: client.ready, "the handshake is done")
    testbed.net.send(client, client.sent[0], testbed.address)
    testbed.ask(client)
    testbed.check(testbed.counted("quic requests") == 1, "one request")


@case("9000-9", "The same Initial from another address is dropped")
def initial_from_elsewhere(testbed: Testbed) -> None:
    client, raw = testbed.client(), testbed.raw_endpoint()
    raw.send(client.sent[0], testbed.address)
    testbed.expect_silence([raw], "a copy from elsewhere")
    testbed.wait(lambda: client.ready, "the handshake is done")
    testbed.ask(client)
    testbed.check(
        testbed.counted("quic from elsewhere") == 1 and testbed.counted("quic requests") == 1, "one session"
    )


@case("9000-17.2.4", "A Handshake packet to an id that nobody knows is dropped")
def handshake_to_nobody(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(handshake_packet(b"nobody's"), testbed.address)
    testbed.expect_silence([raw], "a Handshake packet")
    testbed.check(not testbed.reached(raw), "nor sent on")


@case("9000-17.2.5", "A Retry from a client is dropped")
def retry_from_client(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(long_header_packet(1, testbed.id, CLIENT_CONNECTION_ID, bytes(60), first=0xF0), testbed.address)
    testbed.expect_silence([raw], "a Retry")


@case("9000-12.2", "A datagram whose packets go to two ids goes by the first")
def two_ids(testbed: Testbed) -> None:
    raw, server = testbed.raw_endpoint(), testbed.servers[0]
    other = handshake_packet(testbed.servers[1].issue())
    raw.send(handshake_packet(server.issue()) + other, testbed.address)
    testbed.run(0.2)
    testbed.check(testbed.reached(raw) == ["s-0"], "the first one's")


@case("9000-7.2", "A handshake through a slow runner is not begun anew when the client repeats its Initial")
def repeated_while_waiting(testbed: Testbed) -> None:
    for server in testbed.servers:
        server.link_out.delay = 0.6
    try:
        (client,) = testbed.connected_clients()
        testbed.ask(client)
        testbed.check(
            testbed.counted("quic requests") == 1 and testbed.counted("quic attempts") == 1,
            "one request, one attempt",
        )
    finally:
        for server in testbed.servers:
            server.link_out.delay = 0.0
