"""RFC 9000, 7.5, and the rules in quic.toml: ClientHellos in several Initials, and sessions classified by them."""

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
WITH_RULES = TestbedSetup(rules=RULES, deadline=1.5)


@case("9000-7.5", "A ClientHello in several Initials is read in any order of arrival", WITH_RULES)
def shuffled_client_hello(testbed: Testbed) -> None:
    for turn in range(3):
        client = testbed.client(server_name="draft.example", large=True, hold_datagrams=True)
        client.hold_datagrams, held = False, client.held_datagrams
        testbed.check(len(held) > 1, "a ClientHello in several datagrams")
        for data in held[::-1] if turn else held:
            client.send(data)
        testbed.wait(lambda c=client: c.handshake_complete, "a complete handshake")  # type: ignore[misc]
        testbed.request(client)
    testbed.check(testbed.counter_increase("quic placed") == 3, "each of three sessions established once")


@case("9000-7.5", "Repeated and overlapping fragments of a ClientHello make one session", WITH_RULES)
def overlapping_client_hello(testbed: Testbed) -> None:
    raw, hello, before = (
        testbed.raw_endpoint(),
        client_hello("draft.example", size=3000),
        testbed.initials_received(),
    )
    cuts = [(0, 900), (500, 1400), (0, 900), (1300, 2300), (2000, len(hello)), (1300, 2300)]
    for n, (start, end) in enumerate(cuts):
        raw.send(initial_packet(testbed.dcid, crypto_frame(start, hello[start:end]), number=n), testbed.address)
    testbed.wait(lambda: testbed.initials_received() > before, "an attempt at a server")
    testbed.run(0.2)
    testbed.check(
        testbed.counter_increase("quic requests") == 1 and testbed.counter_increase("quic placed") == 1,
        "one request and one established session",
    )


@case(
    "9000-7.5",
    "A ClientHello of 4 KB in shuffled fragments with one missing gets one response before the deadline",
    WITH_RULES,
)
def missing_fragment(testbed: Testbed) -> None:
    raw, hello = testbed.raw_endpoint(), client_hello("draft.example", size=4000)
    fragments = [(o, hello[o : o + 700]) for o in range(0, len(hello), 700)]
    start = testbed.net.now()
    for n, (offset, fragment) in enumerate([*fragments[3:], *fragments[:2]]):
        raw.send(initial_packet(testbed.dcid, crypto_frame(offset, fragment), number=n), testbed.address)
    testbed.wait(lambda: raw.received_datagrams, "a response", WITH_RULES.deadline + 1)
    testbed.check(testbed.net.now() - start <= WITH_RULES.deadline + 0.05, "a response before the deadline")
    testbed.check(
        close_error_code(raw.received_datagrams[0], testbed.dcid) == CONNECTION_REFUSED,
        "CONNECTION_REFUSED, as nothing was executed",
    )
    offset, fragment = fragments[2]
    raw.send(initial_packet(testbed.dcid, crypto_frame(offset, fragment), number=99), testbed.address)
    testbed.expect_silence([raw], "the missing fragment after the response")
    testbed.check(testbed.counter_increase("quic attempts") == 0, "no attempt at a server")


@case("9000-7.5", "A ClientHello over the size limit is closed, once", WITH_RULES)
def client_hello_over_limit(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    for n in range(30):
        raw.send(initial_packet(testbed.dcid, crypto_frame(2 + 1000 * n, bytes(1000)), number=n), testbed.address)
    testbed.wait(lambda: raw.received_datagrams, "a response")
    testbed.expect_silence([raw], "the ClientHello after the close")
    testbed.check(
        close_error_code(raw.received_datagrams[0], testbed.dcid) == 0x0D and len(raw.received_datagrams) == 1,
        "one close with CRYPTO_BUFFER_EXCEEDED",
    )


@case("9000-7.5", "A TLS message other than a ClientHello is closed, once", WITH_RULES)
def other_tls_message(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(initial_packet(testbed.dcid, crypto_frame(0, b"\x02" + bytes(400))), testbed.address)
    testbed.wait(lambda: raw.received_datagrams, "a response")
    testbed.check(
        close_error_code(raw.received_datagrams[0], testbed.dcid) is not None
        and testbed.counter_increase("quic attempts") == 0,
        "a close and no attempt at a server",
    )


@case("design", "Sessions of one session group share servers as far as the load allows", WITH_RULES)
def groups_stay_together(testbed: Testbed) -> None:
    servers_by_group: dict[int, set[str]] = {}
    for turn in range(48):
        (client,) = testbed.connected_clients(server_name=f"{turn % 8}.class.example")
        servers_by_group.setdefault(turn % 8, set()).add(testbed.request(client))
    pairs = sum(map(len, servers_by_group.values()))
    testbed.check(
        pairs <= 20,
        f"8 groups of 6 sessions on at most 20 pairs of group and server, not {pairs}; without groups it is all 24",
    )


@case("design", "A session without SNI has the default request class, and is established", WITH_RULES)
def client_hello_without_sni(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients(server_name=None)
    testbed.request(client)


@case("design", "Incomplete ClientHellos take up a limited number of sessions", WITH_RULES)
def many_incomplete_client_hellos(testbed: Testbed) -> None:
    raw, hello = testbed.raw_endpoint(), client_hello("draft.example", size=3000)
    for i in range(400):
        raw.send(initial_packet(b"%010d" % i, crypto_frame(0, hello[:900])), testbed.address)
        if i % 50 == 0:
            testbed.run(0.01)
    client = testbed.client(server_name="draft.example")
    testbed.wait(lambda: client.handshake_complete or client.terminations, "a session or a rejection")
    testbed.run(WITH_RULES.deadline)
    (newcomer,) = testbed.connected_clients(server_name="draft.example")
    testbed.request(newcomer)
