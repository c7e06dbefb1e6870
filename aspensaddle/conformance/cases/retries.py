"""RFC 9000, 8.1.2 to 8.1.4 and 17.2.5: proving an address, by the front and by runners."""

from aspensaddle.conformance.cases.observations import close_error_code
from aspensaddle.conformance.packet_builder import CLIENT_CONNECTION_ID, client_hello_frame, initial_packet
from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.conformance.quic_versions import V2
from aspensaddle.conformance.raw_endpoint import RawEndpoint
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import TOKEN_LIFETIME, Testbed, TestbedSetup
from aspensaddle.frontends.quic.initial import INVALID_TOKEN
from aspensaddle.frontends.quic.packets import Packet, parse_long_header_packets

ALWAYS = TestbedSetup(retry_above=0)
RATED = TestbedSetup(retry_above=20)
TWO = TestbedSetup(retry_above=0, frontends=2)
OWN = TestbedSetup(modes=(ServerMode.RETRY, ServerMode.RETRY))


def retried(testbed: Testbed, raw: RawEndpoint, version: int = 1) -> Packet:
    """The Retry that an Initial of an address draws."""
    raw.send(initial_packet(testbed.id, client_hello_frame(), version=version), testbed.address)
    testbed.wait(lambda: raw.got, "a Retry")
    (packet,) = parse_long_header_packets(raw.got[-1])
    testbed.check(packet.type.name == "RETRY" and packet.is_retry_for(testbed.id), "a Retry with the tag for this id")
    return packet


def again(packet: Packet, token: bytes | None = None, dcid: bytes | None = None, number: int = 1) -> bytes:
    """The client's Initial after a Retry."""
    return initial_packet(
        packet.scid if dcid is None else dcid,
        client_hello_frame(),
        version=packet.version,
        token=packet.token if token is None else token,
        number=number,
    )


@case("9000-8.1.2", "A client goes on after the front's Retry, and the runner tells the ids of it", ALWAYS)
def goes_on_after_retry(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    home = testbed.ask(client)
    client.rebind()
    testbed.check(testbed.ask(client, b"again") == home, "and stays at its runner")
    testbed.check(
        testbed.counted("quic retries") == 1 and testbed.counted("quic tokens valid") == 1,
        "one Retry, one good token",
    )


@case("9000-17.2.5.1", "The id of a Retry is another than the client's, and no larger answer comes", ALWAYS)
def retry_id_differs(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = retried(testbed, raw)
    testbed.check(packet.scid != testbed.id and len(packet.scid) >= 8, "another id")
    testbed.check(len(raw.got[0]) <= 1200 and packet.dcid == CLIENT_CONNECTION_ID, "small, and to the client's id")


@case("9000-17.2.5.2", "An Initial with a good token draws no other Retry", ALWAYS)
def no_second_retry(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = retried(testbed, raw)
    raw.send(again(packet), testbed.address)
    testbed.wait(lambda: len(raw.got) > 1, "the runner's reply")
    testbed.check(all(p.type.name != "RETRY" for d in raw.got[1:] for p in parse_long_header_packets(d)), "no Retry")


@case("9000-8.1.4", "A token used twice begins one session", ALWAYS)
def token_used_twice(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = retried(testbed, raw)
    for number in (1, 2, 3):
        raw.send(again(packet, number=number), testbed.address)
        testbed.run(0.1)
    testbed.check(testbed.counted("quic requests") == 1, "one request")


@case(
    "9000-8.1.4",
    "A token whose connection was refused is worth nothing more",
    TestbedSetup(modes=(ServerMode.REFUSE,), retry_above=0),
)
def token_after_refusal(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = retried(testbed, raw)
    raw.send(again(packet), testbed.address)
    testbed.wait(lambda: len(raw.got) > 1, "the refusal")
    raw.send(again(packet, number=2), testbed.address)
    testbed.expect_silence([raw], "the token again")
    testbed.check(testbed.counted("quic requests") == 1, "one request")


@case("9000-8.1.4", "A token is for the address that it was given to", ALWAYS)
def token_from_elsewhere(testbed: Testbed) -> None:
    packet, raw = retried(testbed, testbed.raw_endpoint()), testbed.raw_endpoint()
    raw.send(again(packet), testbed.address)
    testbed.wait(lambda: raw.got, "an answer")
    testbed.check(close_error_code(raw.got[0], packet.scid) == INVALID_TOKEN, "INVALID_TOKEN")
    raw.send(again(packet, number=2), testbed.address)
    testbed.expect_silence([raw], "and once only")


@case("9000-8.1.2", "A token with another id than the Retry gave is invalid", ALWAYS)
def token_misplaced(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = retried(testbed, raw)
    raw.send(again(packet, dcid=b"another-id"), testbed.address)
    testbed.wait(lambda: len(raw.got) > 1, "an answer")
    testbed.check(close_error_code(raw.got[1], b"another-id") == INVALID_TOKEN, "INVALID_TOKEN")


@case("9000-8.1.3", "An expired token is invalid", ALWAYS, slow=True)
def token_expired(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = retried(testbed, raw)
    testbed.run(TOKEN_LIFETIME + 0.5)
    raw.send(again(packet), testbed.address)
    testbed.wait(lambda: len(raw.got) > 1, "an answer")
    testbed.check(close_error_code(raw.got[1], packet.scid) == INVALID_TOKEN, "INVALID_TOKEN")


@case("9000-8.1.3", "A forged token is as none: the client is asked for a proof", ALWAYS)
def token_forged(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = retried(testbed, raw)
    forged = packet.token[:-1] + bytes([packet.token[-1] ^ 1])
    raw.send(again(packet, forged), testbed.address)
    testbed.wait(lambda: len(raw.got) > 1, "an answer")
    testbed.check(
        parse_long_header_packets(raw.got[1])[0].type.name == "RETRY" and testbed.counted("quic requests") == 0,
        "a Retry",
    )


@case("9000-8.1.3", "A truncated token is as none", ALWAYS)
def token_truncated(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = retried(testbed, raw)
    for number, length in enumerate((1, 12, len(packet.token) - 1)):
        raw.send(again(packet, packet.token[:length], number=number + 1), testbed.address)
    testbed.wait(lambda: len(raw.got) == 4, "an answer each")
    testbed.check(all(parse_long_header_packets(d)[0].type.name == "RETRY" for d in raw.got), "Retries")


@case("9000-8.1.3", "A token that a runner gave for later is passed on while nobody has to prove anything", RATED)
def token_of_a_runner(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients(token=b"a runner's own, for later connections")
    testbed.ask(client)
    testbed.check(testbed.counted("quic retries") == 0, "no Retry")


@case("9000-8.1.2", "Unproven Initials under the rate draw no Retry, over it all do", RATED)
def retry_over_a_rate(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    testbed.ask(client)
    testbed.check(testbed.counted("quic retries") == 0, "a calm hour")
    raw, hello = testbed.raw_endpoint(), client_hello_frame()
    for i in range(60):
        raw.send(initial_packet(b"%010d" % i, hello), testbed.address)
    testbed.wait(lambda: testbed.counted("quic retries") >= 30, "Retries in a flood")
    (client,) = testbed.connected_clients()
    testbed.ask(client)
    testbed.check(testbed.counted("quic tokens valid") >= 1, "usual clients come through it by a Retry")


@case("9000-8.1", "A Retry costs no state: a flood of Initials leaves no session", ALWAYS)
def flood_leaves_nothing(testbed: Testbed) -> None:
    raw, hello = testbed.raw_endpoint(), client_hello_frame()
    offered = testbed.initials_received()
    for i in range(300):
        raw.send(initial_packet(b"%010d" % i, hello), testbed.address)
        if i % 50 == 0:
            testbed.run(0.02)
    testbed.run(0.3)
    testbed.check(
        testbed.counted("quic requests") == 0 and testbed.initials_received() == offered,
        "no request, no runner asked",
    )
    (client,) = testbed.connected_clients()
    testbed.ask(client)


@case("retry-offload", "A token of one balancer is good at another that has the key", TWO)
def token_at_another_balancer(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = retried(testbed, raw)
    before = testbed.frontends[1].counts().get("quic requests", 0)
    raw.send(again(packet), testbed.frontends[1].address)
    testbed.wait(lambda: testbed.frontends[1].counts().get("quic requests", 0) > before, "the other one places it")


@case("retry-offload", "Runners that share the key read the ids in a token", ALWAYS)
def runner_reads_token(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    seen = [v.value for r in testbed.servers for v in r.records.token_verdicts]
    testbed.check(seen and seen[-1] == "valid" and client.ready, "the runner has read it")


@case("9000-8.1.2", "The front's Retry in version 2 has that version's tag and type", ALWAYS)
def retry_in_version_2(testbed: Testbed) -> None:
    packet = retried(testbed, testbed.raw_endpoint(), V2)
    testbed.check(packet.version == V2, "version 2")
    (client,) = testbed.connected_clients(versions=(V2,))
    testbed.ask(client)


@case("9000-17.2.5", "A runner's Retry reaches the client, whose connection goes on at that runner", OWN)
def retry_of_a_runner(testbed: Testbed) -> None:
    for _ in range(3):
        begun, offered = testbed.connections_started(), testbed.initials_received()
        (client,) = testbed.connected_clients()
        home = testbed.ask(client)
        client.rebind()
        testbed.check(testbed.ask(client, b"again") == home, "it stays there")
        testbed.check(
            (testbed.connections_started() - begun, testbed.initials_received() - offered) == (1, 2),
            "offered twice, begun once",
        )


@case(
    "9000-17.2.5.2",
    "A client that brings a runner's token to another balancer reaches that runner",
    TestbedSetup(modes=(ServerMode.RETRY, ServerMode.RETRY), frontends=2),
)
def retry_of_a_runner_elsewhere(testbed: Testbed) -> None:
    client = testbed.client()
    client.frontend_address = testbed.frontends[1].address  # its first Initial is on its way to the first
    testbed.wait(lambda: client.ready, "the handshake is done")
    testbed.ask(client)
    testbed.check(testbed.connections_started() == 1, "one runner has it")
