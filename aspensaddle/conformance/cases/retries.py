"""RFC 9000, 8.1.2 to 8.1.4 and 17.2.5: address validation by Retries of the front end and of servers."""

from aspensaddle.conformance.cases.observations import close_error_code
from aspensaddle.conformance.packet_builder import CLIENT_CONNECTION_ID, client_hello_frame, initial_packet
from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.conformance.quic_versions import V2
from aspensaddle.conformance.raw_endpoint import RawEndpoint
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import TOKEN_LIFETIME_SECONDS, Testbed, TestbedSetup
from aspensaddle.frontends.quic.initial import INVALID_TOKEN
from aspensaddle.frontends.quic.packets import Packet, parse_long_header_packets

RETRY_ALWAYS = TestbedSetup(retry_above_per_second=0)
RETRY_ABOVE_RATE = TestbedSetup(retry_above_per_second=20)
TWO_FRONTENDS = TestbedSetup(retry_above_per_second=0, frontends=2)
SERVERS_SEND_RETRY = TestbedSetup(modes=(ServerMode.RETRY, ServerMode.RETRY))


def receive_retry(testbed: Testbed, raw: RawEndpoint, version: int = 1) -> Packet:
    """Send an Initial and return the Retry packet that it gets."""
    raw.send(initial_packet(testbed.dcid, client_hello_frame(), version=version), testbed.address)
    testbed.wait(lambda: raw.received_datagrams, "a Retry")
    (packet,) = parse_long_header_packets(raw.received_datagrams[-1])
    testbed.check(
        packet.type.name == "RETRY" and packet.is_retry_for(testbed.dcid),
        "a Retry with the integrity tag for this connection ID",
    )
    return packet


def initial_after_retry(
    packet: Packet, token: bytes | None = None, dcid: bytes | None = None, number: int = 1
) -> bytes:
    """Return the client's Initial after a Retry; `token` and `dcid` replace those that the Retry gave."""
    return initial_packet(
        packet.scid if dcid is None else dcid,
        client_hello_frame(),
        version=packet.version,
        token=packet.token if token is None else token,
        number=number,
    )


@case(
    "9000-8.1.2",
    "A client connects after the front end's Retry, and the server confirms its connection IDs",
    RETRY_ALWAYS,
)
def client_connects_after_retry(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    server_uid = testbed.request(client)
    client.rebind()
    testbed.check(testbed.request(client, b"again") == server_uid, "the same server")
    testbed.check(
        testbed.counter_increase("quic retries") == 1 and testbed.counter_increase("quic tokens valid") == 1,
        "one Retry and one valid token",
    )


@case(
    "9000-17.2.5.1",
    "A Retry gives another connection ID than the client chose, and is no larger than the Initial",
    RETRY_ALWAYS,
)
def retry_gives_another_cid(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = receive_retry(testbed, raw)
    testbed.check(packet.scid != testbed.dcid and len(packet.scid) >= 8, "another connection ID")
    testbed.check(
        len(raw.received_datagrams[0]) <= 1200 and packet.dcid == CLIENT_CONNECTION_ID,
        "at most 1200 bytes, to the client's connection ID",
    )


@case("9000-17.2.5.2", "An Initial with a valid token gets no second Retry", RETRY_ALWAYS)
def no_second_retry(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = receive_retry(testbed, raw)
    raw.send(initial_after_retry(packet), testbed.address)
    testbed.wait(lambda: len(raw.received_datagrams) > 1, "the server's reply")
    testbed.check(
        all(p.type.name != "RETRY" for d in raw.received_datagrams[1:] for p in parse_long_header_packets(d)),
        "no Retry",
    )


@case("9000-8.1.4", "A token that is used repeatedly starts one session", RETRY_ALWAYS)
def token_used_repeatedly(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = receive_retry(testbed, raw)
    for number in (1, 2, 3):
        raw.send(initial_after_retry(packet, number=number), testbed.address)
        testbed.run(0.1)
    testbed.check(testbed.counter_increase("quic requests") == 1, "one request")


@case(
    "9000-8.1.4",
    "A token whose connection was rejected cannot be used again",
    TestbedSetup(modes=(ServerMode.REFUSE,), retry_above_per_second=0),
)
def token_after_rejection(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = receive_retry(testbed, raw)
    raw.send(initial_after_retry(packet), testbed.address)
    testbed.wait(lambda: len(raw.received_datagrams) > 1, "the rejection")
    raw.send(initial_after_retry(packet, number=2), testbed.address)
    testbed.expect_silence([raw], "the same token")
    testbed.check(testbed.counter_increase("quic requests") == 1, "one request")


@case("9000-8.1.4", "A token is valid only for the address to which it was issued", RETRY_ALWAYS)
def token_from_another_address(testbed: Testbed) -> None:
    packet, raw = receive_retry(testbed, testbed.raw_endpoint()), testbed.raw_endpoint()
    raw.send(initial_after_retry(packet), testbed.address)
    testbed.wait(lambda: raw.received_datagrams, "a response")
    testbed.check(close_error_code(raw.received_datagrams[0], packet.scid) == INVALID_TOKEN, "INVALID_TOKEN")
    raw.send(initial_after_retry(packet, number=2), testbed.address)
    testbed.expect_silence([raw], "the token again, after the close")


@case("9000-8.1.2", "A token in an Initial to another connection ID than the Retry gave is invalid", RETRY_ALWAYS)
def token_to_another_cid(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = receive_retry(testbed, raw)
    raw.send(initial_after_retry(packet, dcid=b"another-id"), testbed.address)
    testbed.wait(lambda: len(raw.received_datagrams) > 1, "a response")
    testbed.check(close_error_code(raw.received_datagrams[1], b"another-id") == INVALID_TOKEN, "INVALID_TOKEN")


@case("9000-8.1.3", "An expired token is invalid", RETRY_ALWAYS, slow=True)
def token_expired(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = receive_retry(testbed, raw)
    testbed.run(TOKEN_LIFETIME_SECONDS + 0.5)
    raw.send(initial_after_retry(packet), testbed.address)
    testbed.wait(lambda: len(raw.received_datagrams) > 1, "a response")
    testbed.check(close_error_code(raw.received_datagrams[1], packet.scid) == INVALID_TOKEN, "INVALID_TOKEN")


@case("9000-8.1.3", "A forged token is treated as no token: the client gets a Retry", RETRY_ALWAYS)
def token_forged(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = receive_retry(testbed, raw)
    forged_token = packet.token[:-1] + bytes([packet.token[-1] ^ 1])
    raw.send(initial_after_retry(packet, forged_token), testbed.address)
    testbed.wait(lambda: len(raw.received_datagrams) > 1, "a response")
    testbed.check(
        parse_long_header_packets(raw.received_datagrams[1])[0].type.name == "RETRY"
        and testbed.counter_increase("quic requests") == 0,
        "a Retry and no request",
    )


@case("9000-8.1.3", "A truncated token is treated as no token", RETRY_ALWAYS)
def token_truncated(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = receive_retry(testbed, raw)
    for number, length in enumerate((1, 12, len(packet.token) - 1)):
        raw.send(initial_after_retry(packet, packet.token[:length], number=number + 1), testbed.address)
    testbed.wait(lambda: len(raw.received_datagrams) == 4, "a response to each Initial")
    testbed.check(
        all(parse_long_header_packets(d)[0].type.name == "RETRY" for d in raw.received_datagrams), "only Retries"
    )


@case(
    "9000-8.1.3",
    "A token that a server issued for later connections is forwarded while no address validation is required",
    RETRY_ABOVE_RATE,
)
def token_of_server(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients(token=b"a runner's own, for later connections")
    testbed.request(client)
    testbed.check(testbed.counter_increase("quic retries") == 0, "no Retry")


@case("9000-8.1.2", "Unvalidated Initials get no Retry below the rate, and all get one above it", RETRY_ABOVE_RATE)
def retry_above_rate(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    testbed.request(client)
    testbed.check(testbed.counter_increase("quic retries") == 0, "no Retry below the rate")
    raw, hello = testbed.raw_endpoint(), client_hello_frame()
    for i in range(60):
        raw.send(initial_packet(b"%010d" % i, hello), testbed.address)
    testbed.wait(lambda: testbed.counter_increase("quic retries") >= 30, "Retries above the rate")
    (client,) = testbed.connected_clients()
    testbed.request(client)
    testbed.check(testbed.counter_increase("quic tokens valid") >= 1, "a client connected after a Retry")


@case("9000-8.1", "A Retry keeps no state: a flood of Initials leaves no session", RETRY_ALWAYS)
def flood_leaves_no_session(testbed: Testbed) -> None:
    raw, hello = testbed.raw_endpoint(), client_hello_frame()
    initials_before = testbed.initials_received()
    for i in range(300):
        raw.send(initial_packet(b"%010d" % i, hello), testbed.address)
        if i % 50 == 0:
            testbed.run(0.02)
    testbed.run(0.3)
    testbed.check(
        testbed.counter_increase("quic requests") == 0 and testbed.initials_received() == initials_before,
        "no request and no attempt at a server",
    )
    (client,) = testbed.connected_clients()
    testbed.request(client)


@case("retry-offload", "A token of one balancer is valid at another one that has the key", TWO_FRONTENDS)
def token_at_another_balancer(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    packet = receive_retry(testbed, raw)
    before = testbed.frontends[1].counts().get("quic requests", 0)
    raw.send(initial_after_retry(packet), testbed.frontends[1].address)
    testbed.wait(
        lambda: testbed.frontends[1].counts().get("quic requests", 0) > before, "a request at the other balancer"
    )


@case("retry-offload", "Servers that share the key read the connection IDs in a token", RETRY_ALWAYS)
def server_reads_token(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    verdicts = [v.value for server in testbed.servers for v in server.records.token_verdicts]
    testbed.check(verdicts and verdicts[-1] == "valid" and client.handshake_complete, "a valid token at the server")


@case(
    "9000-8.1.2",
    "The front end's Retry in version 2 has the integrity tag and packet type of that version",
    RETRY_ALWAYS,
)
def retry_in_version_2(testbed: Testbed) -> None:
    packet = receive_retry(testbed, testbed.raw_endpoint(), V2)
    testbed.check(packet.version == V2, "version 2")
    (client,) = testbed.connected_clients(versions=(V2,))
    testbed.request(client)


@case(
    "9000-17.2.5",
    "A server's Retry reaches the client, whose connection continues at that server",
    SERVERS_SEND_RETRY,
)
def retry_of_server(testbed: Testbed) -> None:
    for _ in range(3):
        connections_before, initials_before = testbed.connections_started(), testbed.initials_received()
        (client,) = testbed.connected_clients()
        server_uid = testbed.request(client)
        client.rebind()
        testbed.check(testbed.request(client, b"again") == server_uid, "the same server")
        testbed.check(
            (testbed.connections_started() - connections_before, testbed.initials_received() - initials_before)
            == (1, 2),
            "two Initials and one connection",
        )


@case(
    "9000-17.2.5.2",
    "A client that presents a server's token at another balancer reaches that server",
    TestbedSetup(modes=(ServerMode.RETRY, ServerMode.RETRY), frontends=2),
)
def retry_of_server_at_another_balancer(testbed: Testbed) -> None:
    client = testbed.client()
    client.frontend_address = testbed.frontends[1].address  # its first Initial is on the way to the first front end
    testbed.wait(lambda: client.handshake_complete, "a complete handshake")
    testbed.request(client)
    testbed.check(testbed.connections_started() == 1, "a connection at one server")
