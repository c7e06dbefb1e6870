"""Lossy networks, floods and garbage, which no section of an RFC covers and which the front end must withstand."""

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

LONG_TIMEOUTS = TestbedSetup(deadline=8.0, reply_timeout=6.0)


def _check_clients_served_over_link(testbed: Testbed, count: int, **link: float) -> None:
    """Check that clients behind a lossy link are served, each by one server; one of them may be rejected."""
    clients = [
        testbed.client(link_in=Link(testbed.seed + 2 * i, **link), link_out=Link(testbed.seed + 2 * i + 1, **link))
        for i in range(count)
    ]
    testbed.wait(
        lambda: all(c.handshake_complete or c.terminations for c in clients), "handshakes or rejections", 30.0
    )
    served = [c for c in clients if c.handshake_complete]
    testbed.check(len(served) >= count - 1, f"at least {count - 1} clients served, not {len(served)}")
    for c in served:
        server_uid = None
        for turn in range(3):
            previous = len(c.responses)
            c.send_request(b"turn %d" % turn)
            testbed.wait(lambda c=c, n=previous: len(c.responses) > n, "a response", 30.0)  # type: ignore[misc]
            testbed.check(server_uid in (None, c.responses[-1].split()[0]), "responses from one server")
            server_uid = c.responses[-1].split()[0]


@case(
    "trouble", "Clients are served when 30 % of the datagrams are lost, in both directions", LONG_TIMEOUTS, slow=True
)
def loss(testbed: Testbed) -> None:
    _check_clients_served_over_link(testbed, 4, loss=0.3)


@case("trouble", "Clients are served when datagrams are duplicated, delayed and reordered", LONG_TIMEOUTS)
def duplication_and_reordering(testbed: Testbed) -> None:
    _check_clients_served_over_link(testbed, 4, duplication=0.3, delay=0.01, jitter=0.04)


@case("trouble", "Clients are served when datagrams are truncated", LONG_TIMEOUTS, slow=True)
def truncation(testbed: Testbed) -> None:
    _check_clients_served_over_link(testbed, 3, truncation=0.1)


@case("trouble", "A client that changes its port behind a lossy link keeps its server", LONG_TIMEOUTS, slow=True)
def loss_and_rebinding(testbed: Testbed) -> None:
    client = testbed.client(link_in=Link(testbed.seed, loss=0.15), link_out=Link(testbed.seed + 1, loss=0.15))
    testbed.wait(lambda: client.handshake_complete, "a complete handshake", 30.0)
    client.send_request(b"here")  # a client may not change its address before its handshake is confirmed
    testbed.wait(lambda: client.responses, "a response", 30.0)
    server_uids = {client.responses[0].split()[0]}
    for turn in range(5):
        client.rebind()
        previous = len(client.responses)
        client.send_request(b"turn %d" % turn)
        testbed.wait(lambda n=previous: len(client.responses) > n, "a response", 30.0)  # type: ignore[misc]
        server_uids.add(client.responses[-1].split()[0])
    testbed.check(len(server_uids) == 1, "one server")


@case("trouble", "Garbage gets at most three times its bytes, and affects no session")
def garbage(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    server_uid, random, raw, sent = testbed.request(client), Random(testbed.seed), testbed.raw_endpoint(), 0
    valid = [
        client.sent_datagrams[0],
        initial_packet(testbed.dcid, client_hello_frame()),
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
    testbed.check(sum(map(len, raw.received_datagrams)) <= 3 * sent, "at most three times the bytes sent")
    testbed.check(testbed.request(client, b"still here") == server_uid, "the same server")


@case(
    "trouble",
    "A flood of made-up connection IDs that decode to servers evicts no established session",
    TestbedSetup(extra_settings="most_sessions = 60\nmost_pending = 16\nmost_sockets = 32\nadopted_per_s = 60"),
)
def made_up_cids(testbed: Testbed) -> None:
    clients = testbed.connected_clients(3)
    server_uids = [testbed.request(c) for c in clients]
    for i in range(200):
        raw = testbed.raw_endpoint()
        raw.send(short_header_packet(testbed.servers[i % 3].issue(), 60), testbed.address)
        if i % 20 == 0:
            testbed.run(0.02)
    testbed.check([testbed.request(c, b"on") for c in clients] == server_uids, "the same server for each client")
    testbed.run(0.7)
    (newcomer,) = testbed.connected_clients()
    testbed.request(newcomer)
    testbed.check(
        testbed.counter_increase("quic adopted") <= 200 and not any(c.was_reset for c in clients),
        "at most 200 adopted sessions and no reset client",
    )


@case("trouble", "A flood of datagrams that look like stateless resets ends no session")
def flood_of_resets(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    server_uid, raw = testbed.request(client), testbed.raw_endpoint()
    random = Random(testbed.seed)
    for i in range(200):
        raw.send(b"\x41" + random.randbytes(random.randrange(20, 42)), testbed.address)
        if i % 50 == 0:
            testbed.run(0.02)
    testbed.check(testbed.request(client, b"still here") == server_uid and not client.was_reset, "the same server")


@case("trouble", "Clients that share a socket have separate sessions")
def clients_of_one_socket(testbed: Testbed) -> None:
    raw, initials_before = testbed.raw_endpoint(), testbed.initials_received()
    for i in range(4):
        hello = client_hello(scid=b"id%d" % i)
        raw.send(initial_packet(b"%010d" % i, crypto_frame(0, hello), scid=b"id%d" % i), testbed.address)
    testbed.run(0.4)
    testbed.check(
        testbed.counter_increase("quic placed") == 4 and testbed.initials_received() == initials_before + 4,
        "four established sessions and four Initials",
    )
