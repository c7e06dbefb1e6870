"""RFC 9000, 5 to 7, 12 to 14 and 17: handshakes and 0-RTT."""

import os

from aioquic.quic.packet import QuicPacketType

from aspensaddle.conformance.cases.observations import opens_connection
from aspensaddle.conformance.packet_builder import (
    client_hello,
    client_hello_frame,
    crypto_frame,
    initial_packet,
    zero_rtt_packet,
)
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed
from aspensaddle.frontends.quic.packets import parse_long_header_packets


@case("9000-7", "A handshake completes and one server responds on all streams")
def handshake(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    server_uid = testbed.request(client)
    testbed.check({testbed.request(client, b"%d" % i) for i in range(5)} == {server_uid}, "responses from one server")


@case("9000-7.2", "An Initial to a connection ID of fewer than 8 bytes opens no connection")
def client_chosen_cid_too_short(testbed: Testbed) -> None:
    testbed.check(
        not opens_connection(testbed, initial_packet(b"7octets", client_hello_frame())), "the Initial dropped"
    )


@case("9000-17.2", "An Initial of version 1 with a connection ID of more than 20 bytes is dropped")
def client_chosen_cid_too_long(testbed: Testbed) -> None:
    hello = client_hello()
    testbed.check(
        not opens_connection(testbed, initial_packet(os.urandom(21), crypto_frame(0, hello))), "the Initial dropped"
    )
    testbed.check(
        not opens_connection(testbed, initial_packet(testbed.dcid, crypto_frame(0, hello), scid=os.urandom(21))),
        "an Initial with a long source connection ID dropped",
    )


@case("9000-7.2", "Connection IDs that a client chooses for the server may have 8 to 20 bytes")
def client_chosen_cid_lengths(testbed: Testbed) -> None:
    for length in (8, 13, 20):
        frames = client_hello_frame()
        testbed.check(
            opens_connection(testbed, initial_packet(os.urandom(length), frames)),
            f"a connection ID of {length} bytes accepted",
        )


@case("9000-5.1", "A client may have an empty connection ID, as browsers do")
def client_with_empty_cid(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients(cid_length=0)
    server_uid = testbed.request(client)
    client.rebind()
    testbed.check(testbed.request(client, b"again") == server_uid, "the same server for another port")


@case("9000-5.1", "A client's connection ID may have 20 bytes")
def client_with_longest_cid(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients(cid_length=20)
    testbed.request(client)


@case("9000-14.1", "An Initial in a datagram of fewer than 1,200 bytes is dropped")
def small_initial(testbed: Testbed) -> None:
    frames = client_hello_frame()
    testbed.check(
        not opens_connection(testbed, initial_packet(testbed.dcid, frames, size=1199)), "1,199 bytes dropped"
    )
    testbed.check(opens_connection(testbed, initial_packet(testbed.dcid, frames, size=1200)), "1,200 bytes accepted")


@case("9000-14.1", "The minimum of 1,200 bytes holds for later Initials to the client-chosen connection ID, too")
def small_later_initial(testbed: Testbed) -> None:
    raw, hello = testbed.raw_endpoint(), client_hello(size=1500)
    raw.send(initial_packet(testbed.dcid, crypto_frame(0, hello[:900])), testbed.address)
    raw.send(initial_packet(testbed.dcid, crypto_frame(900, hello[900:]), number=1, size=900), testbed.address)
    testbed.run(0.1)
    testbed.check(testbed.counter_increase("quic short initials") == 1, "the short Initial counted")


@case("9000-17.2", "An Initial whose fixed bit is zero opens no connection")
def fixed_bit(testbed: Testbed) -> None:
    data = initial_packet(testbed.dcid, client_hello_frame())
    testbed.check(not opens_connection(testbed, bytes([data[0] & ~0x40]) + data[1:]), "the Initial dropped")


@case("9000-17.2", "A packet whose length field reaches beyond the datagram is dropped")
def length_beyond_datagram(testbed: Testbed) -> None:
    data = initial_packet(testbed.dcid, client_hello_frame(), size=1300)
    testbed.check(not opens_connection(testbed, data[:1250]), "the Initial dropped")


@case("9000-12.4", "An Initial with a frame that is forbidden in Initials opens no connection")
def forbidden_frame(testbed: Testbed) -> None:
    hello = client_hello_frame()
    for frame in (b"\x08\x00abc", b"\x1e", b"\x18" + bytes(30), b"\x40\x08"):
        testbed.check(
            not opens_connection(testbed, initial_packet(testbed.dcid, hello + frame)),
            f"an Initial with frame {frame[:2].hex()} dropped",
        )


@case("9000-7", "An Initial without CRYPTO data opens no connection")
def initial_without_crypto(testbed: Testbed) -> None:
    testbed.check(
        not opens_connection(testbed, initial_packet(testbed.dcid, b"\x01")), "an Initial with only a PING dropped"
    )
    testbed.check(
        not opens_connection(testbed, initial_packet(testbed.dcid, crypto_frame(0, b""))),
        "an Initial with an empty CRYPTO frame dropped",
    )


@case("9000-12.2", "An Initial and 0-RTT in one datagram reach the server together and in order")
def coalesced(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    hello = client_hello_frame()
    data = initial_packet(testbed.dcid, hello) + zero_rtt_packet(testbed.dcid)
    raw.send(data, testbed.address)
    testbed.wait(lambda: testbed.servers_reached(raw), "the whole datagram, unchanged, at a server")


@case("9000-17.2.3", "0-RTT that arrives before its Initial is held and forwarded after it")
def zero_rtt_before_initial(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    zero_rtt_packets = [zero_rtt_packet(testbed.dcid, size=n) for n in (300, 310)]
    initial = initial_packet(testbed.dcid, client_hello_frame())
    for data in (*zero_rtt_packets, initial):
        raw.send(data, testbed.address)
    testbed.wait(lambda: len(testbed.servers_reached(raw)) == 3, "all three datagrams at servers")
    received = [d for server in testbed.servers for d in server.records.recent_datagrams if d in raw.sent_datagrams]
    testbed.check(received == [initial, *zero_rtt_packets], "the Initial first and the 0-RTT packets in order")


@case("9000-5.2.2", "0-RTT without an Initial is dropped after a while, and only a limited amount is held")
def zero_rtt_without_initial(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    for i in range(300):
        raw.send(zero_rtt_packet(b"%010d" % i), testbed.address)
    testbed.expect_silence([raw], "0-RTT alone")
    testbed.check(not testbed.servers_reached(raw), "no 0-RTT packet at a server")


@case("9001-4.6", "A returning client's 0-RTT is accepted by the server that receives its Initial")
def zero_rtt_of_returning_client(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    testbed.request(client)
    testbed.wait(lambda: client.tickets, "a session ticket")
    before = testbed.early_requests()
    returning_client = testbed.client(ticket=client.tickets[0], hold_datagrams=True)
    if not any(
        p.type is QuicPacketType.ZERO_RTT
        for d in returning_client.held_datagrams
        for p in parse_long_header_packets(d)
    ):
        returning_client.hold_datagrams = False
        returning_client.send_request(b"early")  # the library sends 0-RTT only after it has built the first flight
    for data in returning_client.held_datagrams:
        returning_client.send(data)
    testbed.wait(lambda: returning_client.responses, "the response to the 0-RTT request")
    testbed.check(returning_client.responses[0].endswith(b" early"), "a response to the 0-RTT request")
    testbed.check(testbed.early_requests() == before + 1, "one request received as 0-RTT")
