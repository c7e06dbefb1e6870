"""RFC 9000, 5 to 7, 12 to 14 and 17: how connections begin."""

import os

from aioquic.quic.packet import QuicPacketType

from aspensaddle.conformance import packet_builder
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed, TestbedSetup
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED, InitialKeys
from aspensaddle.frontends.quic.packets import long_packets, parse_invariants

RULES = """[[rules]]
sni = "*.class.example"
group_label = 0
[[rules]]
sni = "draft.example"
class = "draft-save"
"""
RULED = TestbedSetup(rules=RULES, deadline=1.5)


def closed(datagram: bytes, dcid: bytes) -> int | None:
    """The code of the CONNECTION_CLOSE in a server's Initial."""
    for packet in long_packets(datagram):
        frames = InitialKeys(dcid).open(packet, from_client=False)
        if frames is not None and frames.closed is not None:
            return frames.closed
    return None


def taken(testbed: Testbed, datagram: bytes) -> bool:
    """Whether a datagram opens a connection: some runner is offered it."""
    dcid = parse_invariants(datagram).dcid
    testbed.raw_endpoint().send(datagram, testbed.address)
    testbed.run(0.15)
    return any(dcid in r.records.first_seen_at for r in testbed.servers)


@case("9000-7", "A handshake goes through and streams are answered by one runner")
def handshake(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    home = testbed.ask(client)
    testbed.check({testbed.ask(client, b"%d" % i) for i in range(5)} == {home}, "all answers are one runner's")


@case("9000-7.2", "An Initial to an id under 8 octets opens nothing")
def chosen_id_too_short(testbed: Testbed) -> None:
    testbed.check(
        not taken(
            testbed,
            packet_builder.initial_packet(
                b"7octets",
                packet_builder.CLIENT_CONNECTION_ID,
                packet_builder.crypto_frame(0, packet_builder.client_hello()),
            ),
        ),
        "dropped",
    )


@case("9000-17.2", "An Initial of version 1 to an id over 20 octets is dropped")
def chosen_id_too_long(testbed: Testbed) -> None:
    hello = packet_builder.client_hello()
    testbed.check(
        not taken(
            testbed,
            packet_builder.initial_packet(
                os.urandom(21), packet_builder.CLIENT_CONNECTION_ID, packet_builder.crypto_frame(0, hello)
            ),
        ),
        "dropped",
    )
    testbed.check(
        not taken(
            testbed, packet_builder.initial_packet(testbed.id, os.urandom(21), packet_builder.crypto_frame(0, hello))
        ),
        "source id too",
    )


@case("9000-7.2", "Ids that a client makes up may have 8 to 20 octets")
def chosen_id_lengths(testbed: Testbed) -> None:
    for length in (8, 13, 20):
        frames = packet_builder.crypto_frame(0, packet_builder.client_hello())
        testbed.check(
            taken(
                testbed,
                packet_builder.initial_packet(os.urandom(length), packet_builder.CLIENT_CONNECTION_ID, frames),
            ),
            f"{length} octets are taken",
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
    frames = packet_builder.crypto_frame(0, packet_builder.client_hello())
    testbed.check(
        not taken(
            testbed, packet_builder.initial_packet(testbed.id, packet_builder.CLIENT_CONNECTION_ID, frames, size=1199)
        ),
        "one octet too few",
    )
    testbed.check(
        taken(
            testbed, packet_builder.initial_packet(testbed.id, packet_builder.CLIENT_CONNECTION_ID, frames, size=1200)
        ),
        "and just enough",
    )


@case("9000-14.1", "A later Initial to the id that a client made up is held to 1,200 octets too")
def small_later_initial(testbed: Testbed) -> None:
    raw, hello = testbed.raw_endpoint(), packet_builder.client_hello(size=1500)
    raw.send(
        packet_builder.initial_packet(
            testbed.id, packet_builder.CLIENT_CONNECTION_ID, packet_builder.crypto_frame(0, hello[:900])
        ),
        testbed.address,
    )
    raw.send(
        packet_builder.initial_packet(
            testbed.id,
            packet_builder.CLIENT_CONNECTION_ID,
            packet_builder.crypto_frame(900, hello[900:]),
            number=1,
            size=900,
        ),
        testbed.address,
    )
    testbed.run(0.1)
    testbed.check(testbed.counted("quic short initials") == 1, "counted and dropped")


@case("9000-17.2", "An Initial whose fixed bit is zero opens nothing")
def fixed_bit(testbed: Testbed) -> None:
    data = packet_builder.initial_packet(
        testbed.id, packet_builder.CLIENT_CONNECTION_ID, packet_builder.crypto_frame(0, packet_builder.client_hello())
    )
    testbed.check(not taken(testbed, bytes([data[0] & ~0x40]) + data[1:]), "dropped")


@case("9000-17.2", "A length that reaches beyond the datagram drops the packet")
def length_beyond(testbed: Testbed) -> None:
    data = packet_builder.initial_packet(
        testbed.id,
        packet_builder.CLIENT_CONNECTION_ID,
        packet_builder.crypto_frame(0, packet_builder.client_hello()),
        size=1300,
    )
    testbed.check(not taken(testbed, data[:1250]), "dropped")


@case("9000-12.4", "An Initial with a frame that no Initial may hold opens nothing")
def forbidden_frame(testbed: Testbed) -> None:
    hello = packet_builder.crypto_frame(0, packet_builder.client_hello())
    for frame in (b"\x08\x00abc", b"\x1e", b"\x18" + bytes(30), b"\x40\x08"):
        testbed.check(
            not taken(
                testbed, packet_builder.initial_packet(testbed.id, packet_builder.CLIENT_CONNECTION_ID, hello + frame)
            ),
            f"frame {frame[:2].hex()}",
        )


@case("9000-7", "An Initial without CRYPTO opens nothing")
def no_crypto(testbed: Testbed) -> None:
    testbed.check(
        not taken(testbed, packet_builder.initial_packet(testbed.id, packet_builder.CLIENT_CONNECTION_ID, b"\x01")),
        "a PING alone",
    )
    testbed.check(
        not taken(
            testbed,
            packet_builder.initial_packet(
                testbed.id, packet_builder.CLIENT_CONNECTION_ID, packet_builder.crypto_frame(0, b"")
            ),
        ),
        "an empty CRYPTO frame",
    )


@case("9000-12.2", "Initial and 0-RTT in one datagram reach the runner together, in order")
def coalesced(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    hello = packet_builder.crypto_frame(0, packet_builder.client_hello())
    data = packet_builder.initial_packet(
        testbed.id, packet_builder.CLIENT_CONNECTION_ID, hello
    ) + packet_builder.zero_rtt_packet(testbed.id, packet_builder.CLIENT_CONNECTION_ID)
    raw.send(data, testbed.address)
    testbed.wait(lambda: testbed.reached(raw), "the whole datagram at a runner, unchanged")


@case("9000-17.2.3", "0-RTT that comes before its Initial is held and passed on behind it")
def early_data_first(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    early = [
        packet_builder.zero_rtt_packet(testbed.id, packet_builder.CLIENT_CONNECTION_ID, size=n) for n in (300, 310)
    ]
    first = packet_builder.initial_packet(
        testbed.id, packet_builder.CLIENT_CONNECTION_ID, packet_builder.crypto_frame(0, packet_builder.client_hello())
    )
    for data in (*early, first):
        raw.send(data, testbed.address)
    testbed.wait(lambda: len(testbed.reached(raw)) == 3, "all three")
    seen = [d for r in testbed.servers for d in r.records.recent_datagrams if d in raw.sent]
    testbed.check(seen == [first, *early], "the Initial first, then in order")


@case("9000-5.2.2", "0-RTT without an Initial is dropped in time, and bounded")
def early_data_alone(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    for i in range(300):
        raw.send(packet_builder.zero_rtt_packet(b"%010d" % i, packet_builder.CLIENT_CONNECTION_ID), testbed.address)
    testbed.expect_silence([raw], "0-RTT alone")
    testbed.check(not testbed.reached(raw), "none reaches a runner")


@case("9001-4.6", "A returning client's 0-RTT is taken by the runner that gets its Initial")
def real_early_data(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    testbed.ask(client)
    testbed.wait(lambda: client.tickets, "a session ticket")
    before = testbed.early_requests()
    again = testbed.client(ticket=client.tickets[0], hold=True)
    if not any(p.type is QuicPacketType.ZERO_RTT for d in again.held for p in long_packets(d)):
        again.hold = False
        again.say(b"early")  # the library sends 0-RTT once the first flight is built
    for data in again.held:
        again.send(data)
    testbed.wait(lambda: again.answers, "the answer to what came in 0-RTT")
    testbed.check(again.answers[0].endswith(b" early"), "it is the one")
    testbed.check(testbed.early_requests() == before + 1, "and it was read as 0-RTT")


@case("9000-7.5", "A ClientHello over several Initials is read in whatever order they come", RULED)
def shuffled_hello(testbed: Testbed) -> None:
    for turn in range(3):
        client = testbed.client(name="draft.example", large=True, hold=True)
        client.hold, held = False, client.held
        testbed.check(len(held) > 1, "several datagrams")
        for data in held[::-1] if turn else held:
            client.send(data)
        testbed.wait(lambda c=client: c.ready, "the handshake is done")  # type: ignore[misc]
        testbed.ask(client)
    testbed.check(testbed.counted("quic placed") == 3, "each is placed once")


@case("9000-7.5", "Pieces of a ClientHello that repeat and overlap make one session", RULED)
def overlapping_hello(testbed: Testbed) -> None:
    raw, hello, before = (
        testbed.raw_endpoint(),
        packet_builder.client_hello("draft.example", size=3000),
        testbed.initials_received(),
    )
    cuts = [(0, 900), (500, 1400), (0, 900), (1300, 2300), (2000, len(hello)), (1300, 2300)]
    for n, (start, end) in enumerate(cuts):
        raw.send(
            packet_builder.initial_packet(
                testbed.id,
                packet_builder.CLIENT_CONNECTION_ID,
                packet_builder.crypto_frame(start, hello[start:end]),
                number=n,
            ),
            testbed.address,
        )
    testbed.wait(lambda: testbed.initials_received() > before, "a runner is offered it")
    testbed.run(0.2)
    testbed.check(testbed.counted("quic requests") == 1 and testbed.counted("quic placed") == 1, "one session")


@case("9000-7.5", "A ClientHello of 4 KB in shuffled pieces, one missing, is answered once and in time", RULED)
def missing_piece(testbed: Testbed) -> None:
    raw, hello = testbed.raw_endpoint(), packet_builder.client_hello("draft.example", size=4000)
    pieces = [(o, hello[o : o + 700]) for o in range(0, len(hello), 700)]
    start = testbed.net.now()
    for n, (offset, piece) in enumerate([*pieces[3:], *pieces[:2]]):
        raw.send(
            packet_builder.initial_packet(
                testbed.id, packet_builder.CLIENT_CONNECTION_ID, packet_builder.crypto_frame(offset, piece), number=n
            ),
            testbed.address,
        )
    testbed.wait(lambda: raw.got, "an answer", RULED.deadline + 1)
    testbed.check(testbed.net.now() - start <= RULED.deadline + 0.05, "within the deadline")
    testbed.check(closed(raw.got[0], testbed.id) == CONNECTION_REFUSED, "nothing has run: refused")
    offset, piece = pieces[2]
    raw.send(
        packet_builder.initial_packet(
            testbed.id, packet_builder.CLIENT_CONNECTION_ID, packet_builder.crypto_frame(offset, piece), number=99
        ),
        testbed.address,
    )
    testbed.expect_silence([raw], "the missing piece, too late")
    testbed.check(testbed.counted("quic attempts") == 0, "no runner was asked")


@case("9000-7.5", "A ClientHello over the bound is closed, once", RULED)
def endless_hello(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    for n in range(30):
        raw.send(
            packet_builder.initial_packet(
                testbed.id,
                packet_builder.CLIENT_CONNECTION_ID,
                packet_builder.crypto_frame(2 + 1000 * n, bytes(1000)),
                number=n,
            ),
            testbed.address,
        )
    testbed.wait(lambda: raw.got, "an answer")
    testbed.expect_silence([raw], "after its answer")
    testbed.check(closed(raw.got[0], testbed.id) == 0x0D and len(raw.got) == 1, "CRYPTO_BUFFER_EXCEEDED, once")


@case("9000-7.5", "TLS that is no ClientHello is closed, once", RULED)
def no_hello(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(
        packet_builder.initial_packet(
            testbed.id, packet_builder.CLIENT_CONNECTION_ID, packet_builder.crypto_frame(0, b"\x02" + bytes(400))
        ),
        testbed.address,
    )
    testbed.wait(lambda: raw.got, "an answer")
    testbed.check(
        closed(raw.got[0], testbed.id) is not None and testbed.counted("quic attempts") == 0, "no runner was asked"
    )


@case("design", "Sessions of one group stand together as far as load allows", RULED)
def groups_stay_together(testbed: Testbed) -> None:
    homes: dict[int, set[str]] = {}
    for turn in range(48):
        (client,) = testbed.connected_clients(name=f"{turn % 8}.class.example")
        homes.setdefault(turn % 8, set()).add(testbed.ask(client))
    held = sum(map(len, homes.values()))
    testbed.check(held <= 20, f"8 groups of 6 at {held} of 24 places; without groups it is all of them")


@case("design", "A session without a name has the default class, and is placed", RULED)
def hello_without_name(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients(name=None)
    testbed.ask(client)


@case("design", "The pieces of a waiting ClientHello cost a bounded number of sessions", RULED)
def many_waiting_hellos(testbed: Testbed) -> None:
    raw, hello = testbed.raw_endpoint(), packet_builder.client_hello("draft.example", size=3000)
    for i in range(400):
        raw.send(
            packet_builder.initial_packet(
                b"%010d" % i, packet_builder.CLIENT_CONNECTION_ID, packet_builder.crypto_frame(0, hello[:900])
            ),
            testbed.address,
        )
        if i % 50 == 0:
            testbed.run(0.01)
    client = testbed.client(name="draft.example")
    testbed.wait(lambda: client.ready or client.ended, "a session or a refusal")
    testbed.run(RULED.deadline)
    (after,) = testbed.connected_clients(name="draft.example")
    testbed.ask(after)


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
    raw.send(packet_builder.handshake_packet(b"nobody's", packet_builder.CLIENT_CONNECTION_ID), testbed.address)
    testbed.expect_silence([raw], "a Handshake packet")
    testbed.check(not testbed.reached(raw), "nor sent on")


@case("9000-17.2.5", "A Retry from a client is dropped")
def retry_from_client(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(
        packet_builder.long_header_packet(1, testbed.id, packet_builder.CLIENT_CONNECTION_ID, bytes(60), first=0xF0),
        testbed.address,
    )
    testbed.expect_silence([raw], "a Retry")


@case("9000-12.2", "A datagram whose packets go to two ids goes by the first")
def two_ids(testbed: Testbed) -> None:
    raw, server = testbed.raw_endpoint(), testbed.servers[0]
    other = packet_builder.handshake_packet(testbed.servers[1].issue(), packet_builder.CLIENT_CONNECTION_ID)
    raw.send(
        packet_builder.handshake_packet(server.issue(), packet_builder.CLIENT_CONNECTION_ID) + other, testbed.address
    )
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
