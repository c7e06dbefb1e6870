"""RFC 9000, 7.5, and the operators' rules: ClientHellos over several Initials, and what is read from them."""

from aspensaddle.conformance.cases.observations import close_error_code
from aspensaddle.conformance.packet_builder import client_hello, crypto_frame, initial_packet
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed, TestbedSetup
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED

RULES = """[[rules]]
sni = "*.class.example"
group_label = 0
[[rules]]
sni = "draft.example"
class = "draft-save"
"""
RULED = TestbedSetup(rules=RULES, deadline=1.5)


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
        client_hello("draft.example", size=3000),
        testbed.initials_received(),
    )
    cuts = [(0, 900), (500, 1400), (0, 900), (1300, 2300), (2000, len(hello)), (1300, 2300)]
    for n, (start, end) in enumerate(cuts):
        raw.send(initial_packet(testbed.id, crypto_frame(start, hello[start:end]), number=n), testbed.address)
    testbed.wait(lambda: testbed.initials_received() > before, "a runner is offered it")
    testbed.run(0.2)
    testbed.check(testbed.counted("quic requests") == 1 and testbed.counted("quic placed") == 1, "one session")


@case("9000-7.5", "A ClientHello of 4 KB in shuffled pieces, one missing, is answered once and in time", RULED)
def missing_piece(testbed: Testbed) -> None:
    raw, hello = testbed.raw_endpoint(), client_hello("draft.example", size=4000)
    pieces = [(o, hello[o : o + 700]) for o in range(0, len(hello), 700)]
    start = testbed.net.now()
    for n, (offset, piece) in enumerate([*pieces[3:], *pieces[:2]]):
        raw.send(initial_packet(testbed.id, crypto_frame(offset, piece), number=n), testbed.address)
    testbed.wait(lambda: raw.got, "an answer", RULED.deadline + 1)
    testbed.check(testbed.net.now() - start <= RULED.deadline + 0.05, "within the deadline")
    testbed.check(close_error_code(raw.got[0], testbed.id) == CONNECTION_REFUSED, "nothing has run: refused")
    offset, piece = pieces[2]
    raw.send(initial_packet(testbed.id, crypto_frame(offset, piece), number=99), testbed.address)
    testbed.expect_silence([raw], "the missing piece, too late")
    testbed.check(testbed.counted("quic attempts") == 0, "no runner was asked")


@case("9000-7.5", "A ClientHello over the bound is closed, once", RULED)
def endless_hello(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    for n in range(30):
        raw.send(initial_packet(testbed.id, crypto_frame(2 + 1000 * n, bytes(1000)), number=n), testbed.address)
    testbed.wait(lambda: raw.got, "an answer")
    testbed.expect_silence([raw], "after its answer")
    testbed.check(
        close_error_code(raw.got[0], testbed.id) == 0x0D and len(raw.got) == 1, "CRYPTO_BUFFER_EXCEEDED, once"
    )


@case("9000-7.5", "TLS that is no ClientHello is closed, once", RULED)
def no_hello(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(initial_packet(testbed.id, crypto_frame(0, b"\x02" + bytes(400))), testbed.address)
    testbed.wait(lambda: raw.got, "an answer")
    testbed.check(
        close_error_code(raw.got[0], testbed.id) is not None and testbed.counted("quic attempts") == 0,
        "no runner was asked",
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
    raw, hello = testbed.raw_endpoint(), client_hello("draft.example", size=3000)
    for i in range(400):
        raw.send(initial_packet(b"%010d" % i, crypto_frame(0, hello[:900])), testbed.address)
        if i % 50 == 0:
            testbed.run(0.01)
    client = testbed.client(name="draft.example")
    testbed.wait(lambda: client.ready or client.ended, "a session or a refusal")
    testbed.run(RULED.deadline)
    (after,) = testbed.connected_clients(name="draft.example")
    testbed.ask(after)
