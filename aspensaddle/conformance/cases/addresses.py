"""RFC 9000, 8 and 9: addresses that are not proven, and clients that change theirs."""

from aspensaddle.conformance.packet_builder import (
    CLIENT_CONNECTION_ID,
    client_hello,
    client_hello_frame,
    crypto_frame,
    initial_packet,
    long_header_packet,
)
from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed, TestbedSetup


@case("9000-8.1", "To an address that is not proven goes at most three times what came, whatever a runner says")
def three_times(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    for server in testbed.servers:
        server.mode = ServerMode.GENEROUS
    data = initial_packet(testbed.id, client_hello_frame())
    raw.send(data, testbed.address)
    testbed.run(3.0)
    came = sum(map(len, raw.got))
    testbed.check(0 < came <= 3 * len(data), f"{came} octets for {len(data)}")


@case("9000-8.1", "More Initials from an address without a proof raise its limit, but prove nothing")
def still_three_times(testbed: Testbed) -> None:
    raw, sent = testbed.raw_endpoint(), 0
    for server in testbed.servers:
        server.mode = ServerMode.GENEROUS
    hello = client_hello()
    for n in range(4):
        data = initial_packet(testbed.id, crypto_frame(0, hello), number=n)
        raw.send(data, testbed.address)
        sent += len(data)
        testbed.run(0.5)
    testbed.check(0 < sum(map(len, raw.got)) <= 3 * sent, "within the limit")


@case("9000-8", "No answer of the front's own is larger than what it answers")
def own_answers_are_small(testbed: Testbed) -> None:
    for server in testbed.servers:
        server.mode = ServerMode.REFUSE
    for data in (
        initial_packet(testbed.id, client_hello_frame()),
        long_header_packet(0x1A2A3A4A, testbed.id, CLIENT_CONNECTION_ID, bytes(1180)),
    ):
        raw = testbed.raw_endpoint()
        raw.send(data, testbed.address)
        testbed.wait(lambda raw=raw: raw.got, "an answer")  # type: ignore[misc]
        testbed.check(len(raw.got) == 1 and len(raw.got[0]) <= len(data), "one, and no larger")


@case("9000-9", "A client that changes its port stays at its runner, which sees another address")
def rebinding(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    home = testbed.ask(client)
    sources = set(testbed.server(home).records.source_addresses)
    client.rebind()
    testbed.check(testbed.ask(client, b"here now") == home, "the same runner")
    testbed.check(
        testbed.server(home).records.source_addresses - sources, "from an address that the runner has not seen"
    )
    testbed.check(testbed.connections_started() and not client.ended and not client.reset, "the same connection")


@case("9000-9.5", "The port and the id change in the same datagram")
def rebinding_with_another_id(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    home = testbed.ask(client)
    for turn in range(3):
        client.change_id()
        client.rebind()
        testbed.check(testbed.ask(client, b"turn %d" % turn) == home, "the same runner")


@case("9000-5.1", "A client changes its id again and again")
def many_ids(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    home = testbed.ask(client)
    for turn in range(12):
        client.change_id()
        testbed.check(testbed.ask(client, b"turn %d" % turn) == home, "the same runner")


@case("9000-9.3", "After a move, what the runner says goes to the new address and no more to the old one")
def replies_follow(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    testbed.ask(client)
    old = client.address
    client.rebind()
    testbed.ask(client, b"moved")
    testbed.check(client.address != old, "another port")
    before = client.datagrams_in
    testbed.ask(client, b"once more")
    testbed.check(client.datagrams_in > before, "it hears at the new one")


@case("9000-9.3.1", "A datagram copied to another address draws no more than three times its octets there")
def copied_datagram(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    home = testbed.ask(client)
    raw, sent = testbed.raw_endpoint(), 0
    client.hold = True
    client.say(b"x" * 3000)
    for data in client.held:
        raw.send(data, testbed.address)
        sent += len(data)
    testbed.run(1.0)
    testbed.check(sum(map(len, raw.got)) <= 3 * sent, "within the limit")
    client.hold = False
    for data in client.held:
        client.send(data)
    testbed.check(testbed.ask(client, b"still here") == home, "and the client goes on where it was")


@case("9000-9.3.3", "A client whose datagrams are copied from elsewhere all the time goes on")
def racing_copies(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    home, raw = testbed.ask(client), testbed.raw_endpoint()
    for turn in range(5):
        client.hold = True
        client.say(b"turn %d" % turn)
        client.hold, held = False, client.held[:]
        client.held.clear()
        for data in held:
            raw.send(data, testbed.address)
            client.send(data)
        testbed.check(testbed.ask(client, b"more %d" % turn) == home, "the same runner")


@case("9000-9", "A port that changes every few moments keeps its runner, and no stream is answered twice", slow=True)
def restless_port(testbed: Testbed) -> None:
    clients = testbed.connected_clients(4)
    homes = [testbed.ask(c) for c in clients]
    for turn in range(8):
        for c in clients:
            c.rebind()
        testbed.check([testbed.ask(c, b"restless %d" % turn) for c in clients] == homes, "each at its runner")
        testbed.run(0.3)
    said = [t for r in testbed.servers for t in r.records.requests if t.startswith(b"restless")]
    testbed.check(len(said) == 8 * len(clients), "each stream came once")


@case(
    "9000-9",
    "A session has a bounded number of paths, and the latest ones work",
    TestbedSetup(more="most_sockets = 8"),
)
def many_paths(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    home = testbed.ask(client)
    for turn in range(20):
        client.rebind()
        testbed.check(testbed.ask(client, b"turn %d" % turn) == home, "the same runner")
        testbed.run(0.25 if turn % 6 == 5 else 0.0)
