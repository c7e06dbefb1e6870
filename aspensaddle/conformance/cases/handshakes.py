"""RFC 9000, 5 to 7, 12 to 14 and 17: how connections begin."""

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


@case("9000-7", "A handshake goes through and streams are answered by one runner")
def handshake(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    home = testbed.ask(client)
    testbed.check({testbed.ask(client, b"%d" % i) for i in range(5)} == {home}, "all answers are one runner's")


@case("9000-7.2", "An Initial to an id under 8 octets opens nothing")
def chosen_id_too_short(testbed: Testbed) -> None:
    testbed.check(not opens_connection(testbed, initial_packet(b"7octets", client_hello_frame())), "dropped")


@case("9000-17.2", "An Initial of version 1 to an id over 20 octets is dropped")
def chosen_id_too_long(testbed: Testbed) -> None:
    hello = client_hello()
    testbed.check(not opens_connection(testbed, initial_packet(os.urandom(21), crypto_frame(0, hello))), "dropped")
    testbed.check(
        not opens_connection(testbed, initial_packet(testbed.id, crypto_frame(0, hello), scid=os.urandom(21))),
        "source id too",
    )


@case("9000-7.2", "Ids that a client makes up may have 8 to 20 octets")
def chosen_id_lengths(testbed: Testbed) -> None:
    for length in (8, 13, 20):
        frames = client_hello_frame()
        testbed.check(
            opens_connection(testbed, initial_packet(os.urandom(length), frames)), f"{length} octets are taken"
        )


@case("9000-5.1", "A client may have no id of its own, as browsers do")
def client_without_id(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients(id_length=0)
    home = testbed.ask(client)
    client.rebind()
    testbed.check(testbed.ask(client, b"again") == home, "also from another port")


@case("9000-5.1", "A client's id may have 20 octets")
def client_with_longest_id(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients(id_length=20)
    testbed.ask(client)


@case("9000-14.1", "An Initial in a datagram under 1,200 octets is dropped")
def small_initial(testbed: Testbed) -> None:
    frames = client_hello_frame()
    testbed.check(not opens_connection(testbed, initial_packet(testbed.id, frames, size=1199)), "one octet too few")
    testbed.check(opens_connection(testbed, initial_packet(testbed.id, frames, size=1200)), "and just enough")


@case("9000-14.1", "A later Initial to the id that a client made up is held to 1,200 octets too")
def small_later_initial(testbed: Testbed) -> None:
    raw, hello = testbed.raw_endpoint(), client_hello(size=1500)
    raw.send(initial_packet(testbed.id, crypto_frame(0, hello[:900])), testbed.address)
    raw.send(initial_packet(testbed.id, crypto_frame(900, hello[900:]), number=1, size=900), testbed.address)
    testbed.run(0.1)
    testbed.check(testbed.counted("quic short initials") == 1, "counted and dropped")


@case("9000-17.2", "An Initial whose fixed bit is zero opens nothing")
def fixed_bit(testbed: Testbed) -> None:
    data = initial_packet(testbed.id, client_hello_frame())
    testbed.check(not opens_connection(testbed, bytes([data[0] & ~0x40]) + data[1:]), "dropped")


@case("9000-17.2", "A length that reaches beyond the datagram drops the packet")
def length_beyond(testbed: Testbed) -> None:
    data = initial_packet(testbed.id, client_hello_frame(), size=1300)
    testbed.check(not opens_connection(testbed, data[:1250]), "dropped")


@case("9000-12.4", "An Initial with a frame that no Initial may hold opens nothing")
def forbidden_frame(testbed: Testbed) -> None:
    hello = client_hello_frame()
    for frame in (b"\x08\x00abc", b"\x1e", b"\x18" + bytes(30), b"\x40\x08"):
        testbed.check(
            not opens_connection(testbed, initial_packet(testbed.id, hello + frame)), f"frame {frame[:2].hex()}"
        )


@case("9000-7", "An Initial without CRYPTO opens nothing")
def no_crypto(testbed: Testbed) -> None:
    testbed.check(not opens_connection(testbed, initial_packet(testbed.id, b"\x01")), "a PING alone")
    testbed.check(
        not opens_connection(testbed, initial_packet(testbed.id, crypto_frame(0, b""))), "an empty CRYPTO frame"
    )


@case("9000-12.2", "Initial and 0-RTT in one datagram reach the runner together, in order")
def coalesced(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    hello = client_hello_frame()
    data = initial_packet(testbed.id, hello) + zero_rtt_packet(testbed.id)
    raw.send(data, testbed.address)
    testbed.wait(lambda: testbed.reached(raw), "the whole datagram at a runner, unchanged")


@case("9000-17.2.3", "0-RTT that comes before its Initial is held and passed on behind it")
def early_data_first(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    early = [zero_rtt_packet(testbed.id, size=n) for n in (300, 310)]
    first = initial_packet(testbed.id, client_hello_frame())
    for data in (*early, first):
        raw.send(data, testbed.address)
    testbed.wait(lambda: len(testbed.reached(raw)) == 3, "all three")
    seen = [d for r in testbed.servers for d in r.records.recent_datagrams if d in raw.sent]
    testbed.check(seen == [first, *early], "the Initial first, then in order")


@case("9000-5.2.2", "0-RTT without an Initial is dropped in time, and bounded")
def early_data_alone(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    for i in range(300):
        raw.send(zero_rtt_packet(b"%010d" % i), testbed.address)
    testbed.expect_silence([raw], "0-RTT alone")
    testbed.check(not testbed.reached(raw), "none reaches a runner")


@case("9001-4.6", "A returning client's 0-RTT is taken by the runner that gets its Initial")
def real_early_data(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    testbed.ask(client)
    testbed.wait(lambda: client.tickets, "a session ticket")
    before = testbed.early_requests()
    again = testbed.client(ticket=client.tickets[0], hold=True)
    if not any(p.type is QuicPacketType.ZERO_RTT for d in again.held for p in parse_long_header_packets(d)):
        again.hold = False
        again.say(b"early")  # the library sends 0-RTT once the first flight is built
    for data in again.held:
        again.send(data)
    testbed.wait(lambda: again.answers, "the answer to what came in 0-RTT")
    testbed.check(again.answers[0].endswith(b" early"), "it is the one")
    testbed.check(testbed.early_requests() == before + 1, "and it was read as 0-RTT")
