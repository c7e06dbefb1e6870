"""RFC 9000, 5 to 7, 12 to 14 and 17: how connections begin."""

import os

from aioquic.quic.packet import QuicPacketType

from aspensaddle.conformance import craft
from aspensaddle.conformance.bed import Bed, Spec
from aspensaddle.conformance.suite import case
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED, InitialKeys
from aspensaddle.frontends.quic.packets import long_packets, parse_invariants

RULES = """[[rules]]
sni = "*.class.example"
group_label = 0
[[rules]]
sni = "draft.example"
class = "draft-save"
"""
RULED = Spec(rules=RULES, deadline=1.5)


def closed(datagram: bytes, dcid: bytes) -> int | None:
    """The code of the CONNECTION_CLOSE in a server's Initial."""
    for packet in long_packets(datagram):
        frames = InitialKeys(dcid).open(packet, from_client=False)
        if frames is not None and frames.closed is not None:
            return frames.closed
    return None


def taken(bed: Bed, datagram: bytes) -> bool:
    """Whether a datagram opens a connection: some runner is offered it."""
    dcid = parse_invariants(datagram).dcid
    bed.raw().send(datagram, bed.address)
    bed.run(0.15)
    return any(dcid in r.first_seen for r in bed.runners)


@case("9000-7", "A handshake goes through and streams are answered by one runner")
def handshake(bed: Bed) -> None:
    (client,) = bed.ready()
    home = bed.ask(client)
    bed.check({bed.ask(client, b"%d" % i) for i in range(5)} == {home}, "all answers are one runner's")


@case("9000-7.2", "An Initial to an id under 8 octets opens nothing")
def chosen_id_too_short(bed: Bed) -> None:
    bed.check(not taken(bed, craft.initial(b"7octets", craft.SCID, craft.crypto(0, craft.client_hello()))), "dropped")


@case("9000-17.2", "An Initial of version 1 to an id over 20 octets is dropped")
def chosen_id_too_long(bed: Bed) -> None:
    hello = craft.client_hello()
    bed.check(not taken(bed, craft.initial(os.urandom(21), craft.SCID, craft.crypto(0, hello))), "dropped")
    bed.check(not taken(bed, craft.initial(bed.id, os.urandom(21), craft.crypto(0, hello))), "source id too")


@case("9000-7.2", "Ids that a client makes up may have 8 to 20 octets")
def chosen_id_lengths(bed: Bed) -> None:
    for length in (8, 13, 20):
        frames = craft.crypto(0, craft.client_hello())
        bed.check(taken(bed, craft.initial(os.urandom(length), craft.SCID, frames)), f"{length} octets are taken")


@case("9000-5.1", "A client may have no id of its own, as browsers do")
def client_without_id(bed: Bed) -> None:
    (client,) = bed.ready(id_length=0)
    home = bed.ask(client)
    client.rebind()
    bed.check(bed.ask(client, b"again") == home, "also from another port")


@case("9000-5.1", "A client's id may have 20 octets")
def client_with_longest_id(bed: Bed) -> None:
    (client,) = bed.ready(id_length=20)
    bed.ask(client)


@case("9000-14.1", "An Initial in a datagram under 1,200 octets is dropped")
def small_initial(bed: Bed) -> None:
    frames = craft.crypto(0, craft.client_hello())
    bed.check(not taken(bed, craft.initial(bed.id, craft.SCID, frames, size=1199)), "one octet too few")
    bed.check(taken(bed, craft.initial(bed.id, craft.SCID, frames, size=1200)), "and just enough")


@case("9000-14.1", "A later Initial to the id that a client made up is held to 1,200 octets too")
def small_later_initial(bed: Bed) -> None:
    raw, hello = bed.raw(), craft.client_hello(size=1500)
    raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(0, hello[:900])), bed.address)
    raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(900, hello[900:]), number=1, size=900), bed.address)
    bed.run(0.1)
    bed.check(bed.counted("quic short initials") == 1, "counted and dropped")


@case("9000-17.2", "An Initial whose fixed bit is zero opens nothing")
def fixed_bit(bed: Bed) -> None:
    data = craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello()))
    bed.check(not taken(bed, bytes([data[0] & ~0x40]) + data[1:]), "dropped")


@case("9000-17.2", "A length that reaches beyond the datagram drops the packet")
def length_beyond(bed: Bed) -> None:
    data = craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello()), size=1300)
    bed.check(not taken(bed, data[:1250]), "dropped")


@case("9000-12.4", "An Initial with a frame that no Initial may hold opens nothing")
def forbidden_frame(bed: Bed) -> None:
    hello = craft.crypto(0, craft.client_hello())
    for frame in (b"\x08\x00abc", b"\x1e", b"\x18" + bytes(30), b"\x40\x08"):
        bed.check(not taken(bed, craft.initial(bed.id, craft.SCID, hello + frame)), f"frame {frame[:2].hex()}")


@case("9000-7", "An Initial without CRYPTO opens nothing")
def no_crypto(bed: Bed) -> None:
    bed.check(not taken(bed, craft.initial(bed.id, craft.SCID, b"\x01")), "a PING alone")
    bed.check(not taken(bed, craft.initial(bed.id, craft.SCID, craft.crypto(0, b""))), "an empty CRYPTO frame")


@case("9000-12.2", "Initial and 0-RTT in one datagram reach the runner together, in order")
def coalesced(bed: Bed) -> None:
    raw = bed.raw()
    hello = craft.crypto(0, craft.client_hello())
    data = craft.initial(bed.id, craft.SCID, hello) + craft.early_data(bed.id, craft.SCID)
    raw.send(data, bed.address)
    bed.wait(lambda: bed.reached(raw), "the whole datagram at a runner, unchanged")


@case("9000-17.2.3", "0-RTT that comes before its Initial is held and passed on behind it")
def early_data_first(bed: Bed) -> None:
    raw = bed.raw()
    early = [craft.early_data(bed.id, craft.SCID, size=n) for n in (300, 310)]
    first = craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello()))
    for data in (*early, first):
        raw.send(data, bed.address)
    bed.wait(lambda: len(bed.reached(raw)) == 3, "all three")
    seen = [d for r in bed.runners for d in r.seen if d in raw.sent]
    bed.check(seen == [first, *early], "the Initial first, then in order")


@case("9000-5.2.2", "0-RTT without an Initial is dropped in time, and bounded")
def early_data_alone(bed: Bed) -> None:
    raw = bed.raw()
    for i in range(300):
        raw.send(craft.early_data(b"%010d" % i, craft.SCID), bed.address)
    bed.quiet([raw], "0-RTT alone")
    bed.check(not bed.reached(raw), "none reaches a runner")


@case("9001-4.6", "A returning client's 0-RTT is taken by the runner that gets its Initial")
def real_early_data(bed: Bed) -> None:
    (client,) = bed.ready()
    bed.ask(client)
    bed.wait(lambda: client.tickets, "a session ticket")
    before = bed.total("early")
    again = bed.client(ticket=client.tickets[0], hold=True)
    if not any(p.type is QuicPacketType.ZERO_RTT for d in again.held for p in long_packets(d)):
        again.hold = False
        again.say(b"early")  # the library sends 0-RTT once the first flight is built
    for data in again.held:
        again.send(data)
    bed.wait(lambda: again.answers, "the answer to what came in 0-RTT")
    bed.check(again.answers[0].endswith(b" early"), "it is the one")
    bed.check(bed.total("early") == before + 1, "and it was read as 0-RTT")


@case("9000-7.5", "A ClientHello over several Initials is read in whatever order they come", RULED)
def shuffled_hello(bed: Bed) -> None:
    for turn in range(3):
        client = bed.client(name="draft.example", large=True, hold=True)
        client.hold, held = False, client.held
        bed.check(len(held) > 1, "several datagrams")
        for data in held[::-1] if turn else held:
            client.send(data)
        bed.wait(lambda c=client: c.ready, "the handshake is done")  # type: ignore[misc]
        bed.ask(client)
    bed.check(bed.counted("quic placed") == 3, "each is placed once")


@case("9000-7.5", "Pieces of a ClientHello that repeat and overlap make one session", RULED)
def overlapping_hello(bed: Bed) -> None:
    raw, hello, before = bed.raw(), craft.client_hello("draft.example", size=3000), bed.total("offered")
    cuts = [(0, 900), (500, 1400), (0, 900), (1300, 2300), (2000, len(hello)), (1300, 2300)]
    for n, (start, end) in enumerate(cuts):
        raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(start, hello[start:end]), number=n), bed.address)
    bed.wait(lambda: bed.total("offered") > before, "a runner is offered it")
    bed.run(0.2)
    bed.check(bed.counted("quic requests") == 1 and bed.counted("quic placed") == 1, "one session")


@case("9000-7.5", "A ClientHello of 4 KB in shuffled pieces, one missing, is answered once and in time", RULED)
def missing_piece(bed: Bed) -> None:
    raw, hello = bed.raw(), craft.client_hello("draft.example", size=4000)
    pieces = [(o, hello[o : o + 700]) for o in range(0, len(hello), 700)]
    start = bed.net.now()
    for n, (offset, piece) in enumerate([*pieces[3:], *pieces[:2]]):
        raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(offset, piece), number=n), bed.address)
    bed.wait(lambda: raw.got, "an answer", RULED.deadline + 1)
    bed.check(bed.net.now() - start <= RULED.deadline + 0.05, "within the deadline")
    bed.check(closed(raw.got[0], bed.id) == CONNECTION_REFUSED, "nothing has run: refused")
    offset, piece = pieces[2]
    raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(offset, piece), number=99), bed.address)
    bed.quiet([raw], "the missing piece, too late")
    bed.check(bed.counted("quic attempts") == 0, "no runner was asked")


@case("9000-7.5", "A ClientHello over the bound is closed, once", RULED)
def endless_hello(bed: Bed) -> None:
    raw = bed.raw()
    for n in range(30):
        raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(2 + 1000 * n, bytes(1000)), number=n), bed.address)
    bed.wait(lambda: raw.got, "an answer")
    bed.quiet([raw], "after its answer")
    bed.check(closed(raw.got[0], bed.id) == 0x0D and len(raw.got) == 1, "CRYPTO_BUFFER_EXCEEDED, once")


@case("9000-7.5", "TLS that is no ClientHello is closed, once", RULED)
def no_hello(bed: Bed) -> None:
    raw = bed.raw()
    raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(0, b"\x02" + bytes(400))), bed.address)
    bed.wait(lambda: raw.got, "an answer")
    bed.check(closed(raw.got[0], bed.id) is not None and bed.counted("quic attempts") == 0, "no runner was asked")


@case("design", "Sessions of one group stand together as far as load allows", RULED)
def groups_stay_together(bed: Bed) -> None:
    homes: dict[int, set[str]] = {}
    for turn in range(48):
        (client,) = bed.ready(name=f"{turn % 8}.class.example")
        homes.setdefault(turn % 8, set()).add(bed.ask(client))
    held = sum(map(len, homes.values()))
    bed.check(held <= 20, f"8 groups of 6 at {held} of 24 places; without groups it is all of them")


@case("design", "A session without a name has the default class, and is placed", RULED)
def hello_without_name(bed: Bed) -> None:
    (client,) = bed.ready(name=None)
    bed.ask(client)


@case("design", "The pieces of a waiting ClientHello cost a bounded number of sessions", RULED)
def many_waiting_hellos(bed: Bed) -> None:
    raw, hello = bed.raw(), craft.client_hello("draft.example", size=3000)
    for i in range(400):
        raw.send(craft.initial(b"%010d" % i, craft.SCID, craft.crypto(0, hello[:900])), bed.address)
        if i % 50 == 0:
            bed.run(0.01)
    client = bed.client(name="draft.example")
    bed.wait(lambda: client.ready or client.ended, "a session or a refusal")
    bed.run(RULED.deadline)
    (after,) = bed.ready(name="draft.example")
    bed.ask(after)


@case("9000-5.2", "The same Initial again, while it is placed and after, begins nothing new")
def repeated_initial(bed: Bed) -> None:
    client = bed.client()
    for _ in range(3):
        bed.net.send(client, client.sent[0], bed.address)
    bed.wait(lambda: client.ready, "the handshake is done")
    bed.net.send(client, client.sent[0], bed.address)
    bed.ask(client)
    bed.check(bed.counted("quic requests") == 1, "one request")


@case("9000-9", "The same Initial from another address is dropped")
def initial_from_elsewhere(bed: Bed) -> None:
    client, raw = bed.client(), bed.raw()
    raw.send(client.sent[0], bed.address)
    bed.quiet([raw], "a copy from elsewhere")
    bed.wait(lambda: client.ready, "the handshake is done")
    bed.ask(client)
    bed.check(bed.counted("quic from elsewhere") == 1 and bed.counted("quic requests") == 1, "one session")


@case("9000-17.2.4", "A Handshake packet to an id that nobody knows is dropped")
def handshake_to_nobody(bed: Bed) -> None:
    raw = bed.raw()
    raw.send(craft.handshake(b"nobody's", craft.SCID), bed.address)
    bed.quiet([raw], "a Handshake packet")
    bed.check(not bed.reached(raw), "nor sent on")


@case("9000-17.2.5", "A Retry from a client is dropped")
def retry_from_client(bed: Bed) -> None:
    raw = bed.raw()
    raw.send(craft.long_header(1, bed.id, craft.SCID, bytes(60), first=0xF0), bed.address)
    bed.quiet([raw], "a Retry")


@case("9000-12.2", "A datagram whose packets go to two ids goes by the first")
def two_ids(bed: Bed) -> None:
    raw, runner = bed.raw(), bed.runners[0]
    other = craft.handshake(bed.runners[1].issue(), craft.SCID)
    raw.send(craft.handshake(runner.issue(), craft.SCID) + other, bed.address)
    bed.run(0.2)
    bed.check(bed.reached(raw) == ["s-0"], "the first one's")


@case("9000-7.2", "A handshake through a slow runner is not begun anew when the client repeats its Initial")
def repeated_while_waiting(bed: Bed) -> None:
    for runner in bed.runners:
        runner.link_out.delay = 0.6
    try:
        (client,) = bed.ready()
        bed.ask(client)
        bed.check(bed.counted("quic requests") == 1 and bed.counted("quic attempts") == 1, "one request, one attempt")
    finally:
        for runner in bed.runners:
            runner.link_out.delay = 0.0
