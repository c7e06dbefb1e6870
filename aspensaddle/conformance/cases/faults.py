"""Bad networks, floods, garbage: what no section asks for and every client needs."""

from random import Random

from aspensaddle.conformance.link import Link
from aspensaddle.conformance.packet_builder import (
    client_hello,
    client_hello_frame,
    crypto_frame,
    handshake_packet,
    initial_packet,
    short_header_packet,
)
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed, TestbedSetup

PATIENT = TestbedSetup(deadline=8.0, reply=6.0)


def _through(testbed: Testbed, count: int, **link: float) -> None:
    """Clients behind a bad link are served, each by one runner."""
    clients = [
        testbed.client(link_in=Link(testbed.seed + 2 * i, **link), link_out=Link(testbed.seed + 2 * i + 1, **link))
        for i in range(count)
    ]
    testbed.wait(lambda: all(c.ready or c.ended for c in clients), "handshakes or answers", 30.0)
    served = [c for c in clients if c.ready]
    testbed.check(len(served) >= count - 1, f"{len(served)} of {count} are served")
    for c in served:
        home = None
        for turn in range(3):
            n = len(c.answers)
            c.say(b"turn %d" % turn)
            testbed.wait(lambda c=c, n=n: len(c.answers) > n, "an answer", 30.0)  # type: ignore[misc]
            testbed.check(home in (None, c.answers[-1].split()[0]), "by one runner")
            home = c.answers[-1].split()[0]


@case("trouble", "30 % of the datagrams are lost, both ways", PATIENT, slow=True)
def loss(testbed: Testbed) -> None:
    _through(testbed, 4, loss=0.3)


@case("trouble", "Datagrams are repeated, delayed and overtake each other", PATIENT)
def disorder(testbed: Testbed) -> None:
    _through(testbed, 4, repeat=0.3, delay=0.01, jitter=0.04)


@case("trouble", "Datagrams arrive cut short", PATIENT, slow=True)
def cuts(testbed: Testbed) -> None:
    _through(testbed, 3, cut=0.1)


@case("trouble", "A port that changes behind a lossy link keeps its runner", PATIENT, slow=True)
def loss_and_rebinding(testbed: Testbed) -> None:
    client = testbed.client(link_in=Link(testbed.seed, loss=0.15), link_out=Link(testbed.seed + 1, loss=0.15))
    testbed.wait(lambda: client.ready, "the handshake is done", 30.0)
    client.say(b"here")  # a client may not move before its handshake is confirmed
    testbed.wait(lambda: client.answers, "an answer", 30.0)
    homes = {client.answers[0].split()[0]}
    for turn in range(5):
        client.rebind()
        n = len(client.answers)
        client.say(b"turn %d" % turn)
        testbed.wait(lambda n=n: len(client.answers) > n, "an answer", 30.0)  # type: ignore[misc]
        homes.add(client.answers[-1].split()[0])
    testbed.check(len(homes) == 1, "one runner")


@case("trouble", "Garbage of all kinds draws no more than it brings, and costs no session")
def garbage(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    home, random, raw, sent = testbed.ask(client), Random(testbed.seed), testbed.raw_endpoint(), 0
    valid = [
        client.sent[0],
        initial_packet(testbed.id, client_hello_frame()),
        handshake_packet(testbed.servers[0].issue()),
        short_header_packet(testbed.servers[1].issue(), 90),
    ]
    for i in range(400):
        data = bytearray(random.choice(valid) if i % 2 else random.randbytes(random.randrange(1, 1300)))
        for _ in range(random.randrange(1, 12)):
            data[random.randrange(len(data))] = random.randrange(256)
        data = data[: random.randrange(1, len(data) + 1)] if random.random() < 0.3 else data
        sent += len(data)
        raw.send(bytes(data), testbed.address)
        if i % 40 == 0:
            testbed.run(0.02)
    testbed.run(0.3)
    testbed.check(sum(map(len, raw.got)) <= 3 * sent, "no more than three times")
    testbed.check(testbed.ask(client, b"still here") == home, "the session goes on")


@case(
    "trouble",
    "A flood of ids that name runners, made up, costs no usual session its place",
    TestbedSetup(more="most_sessions = 60\nmost_pending = 16\nmost_sockets = 32\nadopted_per_s = 60"),
)
def made_up_ids(testbed: Testbed) -> None:
    clients = testbed.connected_clients(3)
    homes = [testbed.ask(c) for c in clients]
    for i in range(200):
        raw = testbed.raw_endpoint()
        raw.send(short_header_packet(testbed.servers[i % 3].issue(), 60), testbed.address)
        if i % 20 == 0:
            testbed.run(0.02)
    testbed.check([testbed.ask(c, b"on") for c in clients] == homes, "each at its runner")
    testbed.run(0.7)
    (newcomer,) = testbed.connected_clients()
    testbed.ask(newcomer)
    testbed.check(testbed.counted("quic adopted") <= 200 and not any(c.reset for c in clients), "none lost")


@case("trouble", "Resets that flood in from anywhere end nothing")
def flood_of_resets(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    home, raw = testbed.ask(client), testbed.raw_endpoint()
    random = Random(testbed.seed)
    for i in range(200):
        raw.send(b"\x41" + random.randbytes(random.randrange(20, 42)), testbed.address)
        if i % 50 == 0:
            testbed.run(0.02)
    testbed.check(testbed.ask(client, b"still here") == home and not client.reset, "the session goes on")


@case("trouble", "Clients of one socket have sessions of their own")
def one_socket(testbed: Testbed) -> None:
    raw, offered = testbed.raw_endpoint(), testbed.initials_received()
    for i in range(4):
        hello = client_hello(scid=b"id%d" % i)
        raw.send(initial_packet(b"%010d" % i, crypto_frame(0, hello), scid=b"id%d" % i), testbed.address)
    testbed.run(0.4)
    testbed.check(testbed.counted("quic placed") == 4 and testbed.initials_received() == offered + 4, "four sessions")
