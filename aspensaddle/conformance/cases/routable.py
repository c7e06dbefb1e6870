"""draft-ietf-quic-load-balancers: ids that name their runner, and several balancers that read them."""

import os

from aspensaddle.conformance.packet_builder import short_header_packet
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import FORM, ID_KEY, Testbed, TestbedSetup, ids_toml, server_id
from aspensaddle.frontends.quic.connection_ids import IdFormat

PLAIN = IdFormat(0, 1, 7)
FOUR = IdFormat(3, 3, 6, ID_KEY)
ODD = IdFormat(5, 4, 7, ID_KEY, self_length=True)
LONGEST = IdFormat(6, 4, 15, ID_KEY)
NEW = IdFormat(4, 2, 14, b"another key, new")
TWO = TestbedSetup(frontends=2)


def _stays(testbed: Testbed) -> None:
    """Clients of these ids stay at their runners through new ports, new ids and a restart."""
    clients = testbed.connected_clients(3)
    homes = [testbed.ask(c) for c in clients]
    for c in clients:
        c.change_id()
        c.rebind()
    testbed.check([testbed.ask(c, b"moved") for c in clients] == homes, "after new ids and ports")
    testbed.frontend.restart()
    testbed.check([testbed.ask(c, b"restart") for c in clients] == homes, "after a restart")
    testbed.check(testbed.connections_started() == 3, "none began anew")


@case("lb-5.1", "Plaintext ids", TestbedSetup(forms=(PLAIN,), alone=True))
def plaintext(testbed: Testbed) -> None:
    _stays(testbed)


@case("lb-5.4.1", "Ids of one AES block", TestbedSetup(alone=True))
def single_pass(testbed: Testbed) -> None:
    _stays(testbed)


@case("lb-5.4.2", "Ids of four passes", TestbedSetup(forms=(FOUR,), alone=True))
def four_pass(testbed: Testbed) -> None:
    _stays(testbed)


@case(
    "lb-5.4.2",
    "Ids of four passes and an odd length, which they tell themselves",
    TestbedSetup(forms=(ODD,), alone=True),
)
def four_pass_odd(testbed: Testbed) -> None:
    _stays(testbed)


@case("lb-5.4.2", "Ids of 20 octets", TestbedSetup(forms=(LONGEST,), alone=True))
def longest(testbed: Testbed) -> None:
    _stays(testbed)


@case("lb-3.3", "An id that lies about its length is not routed", TestbedSetup(forms=(ODD,)))
def lying_length(testbed: Testbed) -> None:
    raw, server = testbed.raw_endpoint(), testbed.servers[0]
    cid = server.issue()
    raw.send(short_header_packet(bytes([cid[0] ^ 1]) + cid[1:]), testbed.address)
    testbed.expect_silence([raw], "a wrong length")
    testbed.check(not testbed.reached(raw), "nor sent on")


@case(
    "lb-3.1",
    "Three configurations are read at once, each with server ids of its own",
    TestbedSetup(forms=(FORM, PLAIN, FOUR)),
)
def three_rotations(testbed: Testbed) -> None:
    for form in testbed.setup.forms:
        for server in testbed.servers:
            raw = testbed.raw_endpoint()
            raw.send(short_header_packet(form.encode(server_id(form, server))), testbed.address)
            testbed.wait(lambda raw=raw, u=server.uid: testbed.reached(raw) == [u], f"rotation {form.rotation}")  # type: ignore[misc]


@case(
    "lb-3.1",
    "A key is rolled while sessions stand: old and new ids are read, the old ones retired later",
    TestbedSetup(alone=True),
)
def rolled_key(testbed: Testbed) -> None:
    clients = testbed.connected_clients(3)
    homes = [testbed.ask(c) for c in clients]
    testbed.check(
        testbed.frontend.configure(testbed.toml(ids_toml((FORM, NEW), testbed.servers))),
        "the new configuration is taken",
    )
    for server in testbed.servers:
        server.form, server.server_id = NEW, server_id(NEW, server)
    for turn in range(9):  # old ids are used up, new ones come
        for c in clients:
            c.change_id()
        testbed.check([testbed.ask(c, b"turn %d" % turn) for c in clients] == homes, "each at its runner")
    testbed.check(all(c.connection._peer_cid.cid[0] >> 5 == NEW.rotation for c in clients), "on new ids by now")
    old, raw = FORM.encode(server_id(FORM, testbed.servers[0])), testbed.raw_endpoint()
    retired = ids_toml((FORM,), testbed.servers, "retire_at = 2020-01-01T00:00:00Z\n") + ids_toml(
        (NEW,), testbed.servers
    )
    testbed.check(testbed.frontend.configure(testbed.toml(retired)), "the old one is retired")
    testbed.check([testbed.ask(c, b"later") for c in clients] == homes, "new ids go on")
    raw.send(short_header_packet(old, 100), testbed.address)
    testbed.wait(lambda: raw.got, "a reset for an old id")
    testbed.check(not testbed.reached(raw), "which reaches no runner")


@case("lb-3.1", "A file that can't be used changes nothing", TestbedSetup(alone=True))
def refused_reload(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    home = testbed.ask(client)
    testbed.check(not testbed.frontend.configure(testbed.toml(more='most_pending = "many"')), "refused")
    testbed.check(not testbed.frontend.configure(testbed.toml(rules='[[rules]]\nclass = "none"\n')), "refused")
    testbed.check(testbed.ask(client, b"on") == home, "the session goes on")
    (other,) = testbed.connected_clients()
    testbed.ask(other)


@case("lb-3.1", "A reload leaves sessions alone", TestbedSetup(alone=True))
def untouched_by_reload(testbed: Testbed) -> None:
    clients = testbed.connected_clients(3)
    homes = [testbed.ask(c) for c in clients]
    for turn in range(3):
        testbed.check(testbed.frontend.configure(testbed.toml(more=f"answers_per_s = {100 + turn}")), "taken")
        testbed.check([testbed.ask(c, b"%d" % turn) for c in clients] == homes, "each at its runner")
    testbed.check(not any(c.reset for c in clients) and testbed.connections_started() == 3, "none began anew")


@case(
    "lb-3.1",
    "Ids of a runner that the file no longer names are told from garbage by a reset",
    TestbedSetup(alone=True),
)
def departed_runner(testbed: Testbed) -> None:
    gone, raw = testbed.servers[0].issue(), testbed.raw_endpoint()
    testbed.check(testbed.frontend.configure(testbed.toml(ids_toml((FORM,), testbed.servers[1:]))), "taken")
    raw.send(short_header_packet(gone, 100), testbed.address)
    testbed.wait(lambda: raw.got, "a reset")
    raw.send(short_header_packet(FORM.encode(b"\xff\xff"), 100), testbed.address)
    testbed.expect_silence([raw], "an id of a server that never was")
    testbed.check(
        testbed.counted("quic ids stranger") == 1 and testbed.counted("quic ids departed") == 1, "counted apart"
    )


@case(
    "lb-3.2",
    "A runner without a configuration issues unroutable ids: its clients are found by address",
    TestbedSetup(alone=True),
)
def unroutable_by_address(testbed: Testbed) -> None:
    for server in testbed.servers:
        server.issue = lambda: bytes([0xE0 | os.urandom(1)[0] & 0x1F]) + os.urandom(9)
    clients = testbed.connected_clients(3)
    homes = [testbed.ask(c) for c in clients]
    for turn in range(4):
        for c in clients:
            c.change_id()
        testbed.check([testbed.ask(c, b"%d" % turn) for c in clients] == homes, "through new ids")


@case(
    "lb-3.2",
    "Ids seen in a handshake are remembered, so that such a client survives another port",
    TestbedSetup(more="unroutable_length = 10", alone=True),
)
def unroutable_by_heart(testbed: Testbed) -> None:
    for server in testbed.servers:
        server.issue = lambda: bytes([0xE0 | os.urandom(1)[0] & 0x1F]) + os.urandom(9)
    clients = testbed.connected_clients(3)
    homes = [testbed.ask(c) for c in clients]
    for turn in range(3):
        for c in clients:
            c.rebind()
        testbed.check([testbed.ask(c, b"%d" % turn) for c in clients] == homes, "at its runner")


@case("lb-3.2", "An unroutable id of nobody's is dropped", TestbedSetup(more="unroutable_length = 10"))
def unroutable_of_nobody(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(short_header_packet(b"\xe0" + os.urandom(9)), testbed.address)
    testbed.expect_silence([raw], "an unroutable id")
    testbed.check(not testbed.reached(raw), "nor sent on")


@case("9000-5.1", "A runner without ids at all is found by the client's address", TestbedSetup(alone=True))
def runner_without_ids(testbed: Testbed) -> None:
    for server in testbed.servers:
        server.issue = lambda: b""
    clients = testbed.connected_clients(3)
    homes = [testbed.ask(c) for c in clients]
    testbed.check([testbed.ask(c, b"more") for c in clients] == homes, "each at its runner")


@case("lb-2", "A client that goes over to another balancer after its handshake stays at its runner", TWO)
def moved_after_handshake(testbed: Testbed) -> None:
    clients = testbed.connected_clients(3)
    homes = [testbed.ask(c) for c in clients]
    for turn in range(4):
        for c in clients:
            c.frontend_address = testbed.frontends[(turn + 1) % 2].address
            if turn % 2:
                c.rebind()
                c.change_id()
        testbed.check([testbed.ask(c, b"turn %d" % turn) for c in clients] == homes, "each at its runner")


@case("lb-2", "A client that goes over in the middle of its handshake stays at its runner", TWO)
def moved_within_handshake(testbed: Testbed) -> None:
    begun = testbed.connections_started()
    for _ in range(3):
        client = testbed.client()
        testbed.wait(lambda c=client: c.datagrams_in, "the runner's first reply")  # type: ignore[misc]
        client.frontend_address = testbed.frontends[1].address
        testbed.wait(lambda c=client: c.ready, "the handshake is done")  # type: ignore[misc]
        testbed.ask(client)
    testbed.check(testbed.connections_started() == begun + 3, "none began twice")


@case("lb-2", "A client whose first Initial reached both balancers has one session in the end", TWO)
def initial_at_both(testbed: Testbed) -> None:
    client = testbed.client()
    testbed.net.send(client, client.sent[0], testbed.frontends[1].address)
    testbed.wait(lambda: client.ready, "the handshake is done")
    home = testbed.ask(client)
    for turn in range(4):
        client.frontend_address = testbed.frontends[turn % 2].address
        testbed.check(testbed.ask(client, b"%d" % turn) == home, "one runner answers")


@case(
    "lb-2",
    "One of two balancers restarts: its clients go on at the other and come back",
    TestbedSetup(frontends=2, alone=True),
)
def one_restarts(testbed: Testbed) -> None:
    clients = testbed.connected_clients(3)
    homes = [testbed.ask(c) for c in clients]
    for c in clients:
        c.frontend_address = testbed.frontends[1].address
    testbed.check([testbed.ask(c, b"over") for c in clients] == homes, "at the other")
    testbed.frontend.restart()
    for c in clients:
        c.frontend_address = testbed.frontend.address
        c.rebind()
    testbed.check([testbed.ask(c, b"back") for c in clients] == homes, "and back")
