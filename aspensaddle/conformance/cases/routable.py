"""draft-ietf-quic-load-balancers: routable connection IDs, also with several balancers that decode them."""

import os

from aspensaddle.conformance.packet_builder import short_header_packet
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import DEFAULT_FORMAT, ID_KEY, Testbed, TestbedSetup, ids_toml, server_id
from aspensaddle.frontends.quic.connection_ids import IdFormat

PLAINTEXT = IdFormat(0, 1, 7)
FOUR_PASS = IdFormat(3, 3, 6, ID_KEY)
SELF_LENGTH = IdFormat(5, 4, 7, ID_KEY, self_length=True)
LONGEST = IdFormat(6, 4, 15, ID_KEY)
NEW_KEY = IdFormat(4, 2, 14, b"another key, new")
TWO_FRONTENDS = TestbedSetup(frontends=2)


def _check_sessions_keep_servers(testbed: Testbed) -> None:
    """Check that clients keep their servers after new ports, new connection IDs and a restart."""
    clients = testbed.connected_clients(3)
    server_uids = [testbed.request(c) for c in clients]
    for c in clients:
        c.change_cid()
        c.rebind()
    testbed.check(
        [testbed.request(c, b"moved") for c in clients] == server_uids,
        "the same servers after new connection IDs and ports",
    )
    testbed.frontend.restart()
    testbed.check(
        [testbed.request(c, b"restart") for c in clients] == server_uids, "the same servers after a restart"
    )
    testbed.check(testbed.connections_started() == 3, "no new connection")


@case("lb-5.1", "Plaintext connection IDs", TestbedSetup(id_formats=(PLAINTEXT,), exclusive=True))
def plaintext(testbed: Testbed) -> None:
    _check_sessions_keep_servers(testbed)


@case("lb-5.4.1", "Connection IDs of one AES block", TestbedSetup(exclusive=True))
def single_pass(testbed: Testbed) -> None:
    _check_sessions_keep_servers(testbed)


@case("lb-5.4.2", "Connection IDs encrypted in four passes", TestbedSetup(id_formats=(FOUR_PASS,), exclusive=True))
def four_pass(testbed: Testbed) -> None:
    _check_sessions_keep_servers(testbed)


@case(
    "lb-5.4.2",
    "Connection IDs encrypted in four passes, of odd length and with the length in their first byte",
    TestbedSetup(id_formats=(SELF_LENGTH,), exclusive=True),
)
def four_pass_with_length(testbed: Testbed) -> None:
    _check_sessions_keep_servers(testbed)


@case("lb-5.4.2", "Connection IDs of 20 bytes", TestbedSetup(id_formats=(LONGEST,), exclusive=True))
def longest_cid(testbed: Testbed) -> None:
    _check_sessions_keep_servers(testbed)


@case(
    "lb-3.3",
    "A connection ID with a wrong length in its first byte is not routed",
    TestbedSetup(id_formats=(SELF_LENGTH,)),
)
def wrong_length(testbed: Testbed) -> None:
    raw, server = testbed.raw_endpoint(), testbed.servers[0]
    cid = server.issue()
    raw.send(short_header_packet(bytes([cid[0] ^ 1]) + cid[1:]), testbed.address)
    testbed.expect_silence([raw], "a connection ID with a wrong length")
    testbed.check(not testbed.servers_reached(raw), "no datagram at a server")


@case(
    "lb-3.1",
    "Three configurations are decoded at the same time, each with its own server IDs",
    TestbedSetup(id_formats=(DEFAULT_FORMAT, PLAINTEXT, FOUR_PASS)),
)
def three_config_rotations(testbed: Testbed) -> None:
    for id_format in testbed.setup.id_formats:
        for server in testbed.servers:
            raw = testbed.raw_endpoint()
            raw.send(short_header_packet(id_format.encode(server_id(id_format, server))), testbed.address)
            testbed.wait(
                lambda raw=raw, u=server.uid: testbed.servers_reached(raw) == [u],  # type: ignore[misc]
                f"a datagram with config rotation {id_format.rotation} at {server.uid}",
            )


@case(
    "lb-3.1",
    "A key is rotated while sessions are established: old and new connection IDs are decoded, the old until retired",
    TestbedSetup(exclusive=True),
)
def rotated_key(testbed: Testbed) -> None:
    clients = testbed.connected_clients(3)
    server_uids = [testbed.request(c) for c in clients]
    testbed.check(
        testbed.frontend.configure(testbed.settings_toml(ids_toml((DEFAULT_FORMAT, NEW_KEY), testbed.servers))),
        "the new configuration accepted",
    )
    for server in testbed.servers:
        server.id_format, server.server_id = NEW_KEY, server_id(NEW_KEY, server)
    for turn in range(9):  # the clients use up the old connection IDs and get new ones
        for c in clients:
            c.change_cid()
        testbed.check(
            [testbed.request(c, b"turn %d" % turn) for c in clients] == server_uids, "the same server for each client"
        )
    testbed.check(
        all(c.connection._peer_cid.cid[0] >> 5 == NEW_KEY.rotation for c in clients),
        "new connection IDs at all clients",
    )
    old_cid, raw = DEFAULT_FORMAT.encode(server_id(DEFAULT_FORMAT, testbed.servers[0])), testbed.raw_endpoint()
    retired = ids_toml((DEFAULT_FORMAT,), testbed.servers, "retire_at = 2020-01-01T00:00:00Z\n") + ids_toml(
        (NEW_KEY,), testbed.servers
    )
    testbed.check(
        testbed.frontend.configure(testbed.settings_toml(retired)),
        "a file with the old configuration retired accepted",
    )
    testbed.check(
        [testbed.request(c, b"later") for c in clients] == server_uids, "the same servers for new connection IDs"
    )
    raw.send(short_header_packet(old_cid, 100), testbed.address)
    testbed.wait(lambda: raw.received_datagrams, "a reset for an old connection ID")
    testbed.check(not testbed.servers_reached(raw), "no datagram at a server")


@case("lb-3.1", "An invalid file changes nothing", TestbedSetup(exclusive=True))
def rejected_reload(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients()
    server_uid = testbed.request(client)
    testbed.check(
        not testbed.frontend.configure(testbed.settings_toml(extra_settings='most_pending = "many"')),
        "the file rejected",
    )
    testbed.check(
        not testbed.frontend.configure(testbed.settings_toml(rules='[[rules]]\nclass = "none"\n')),
        "the file rejected",
    )
    testbed.check(testbed.request(client, b"on") == server_uid, "the same server")
    (other,) = testbed.connected_clients()
    testbed.request(other)


@case("lb-3.1", "A reload does not affect sessions", TestbedSetup(exclusive=True))
def sessions_unaffected_by_reload(testbed: Testbed) -> None:
    clients = testbed.connected_clients(3)
    server_uids = [testbed.request(c) for c in clients]
    for turn in range(3):
        testbed.check(
            testbed.frontend.configure(testbed.settings_toml(extra_settings=f"answers_per_s = {100 + turn}")),
            "the file accepted",
        )
        testbed.check(
            [testbed.request(c, b"%d" % turn) for c in clients] == server_uids, "the same server for each client"
        )
    testbed.check(not any(c.was_reset for c in clients) and testbed.connections_started() == 3, "no new connection")


@case(
    "lb-3.1",
    "Connection IDs of a server that the file no longer names get a reset, unlike those of an unknown server",
    TestbedSetup(exclusive=True),
)
def departed_server(testbed: Testbed) -> None:
    departed_cid, raw = testbed.servers[0].issue(), testbed.raw_endpoint()
    testbed.check(
        testbed.frontend.configure(testbed.settings_toml(ids_toml((DEFAULT_FORMAT,), testbed.servers[1:]))),
        "the file accepted",
    )
    raw.send(short_header_packet(departed_cid, 100), testbed.address)
    testbed.wait(lambda: raw.received_datagrams, "a reset")
    raw.send(short_header_packet(DEFAULT_FORMAT.encode(b"\xff\xff"), 100), testbed.address)
    testbed.expect_silence([raw], "the connection ID of an unknown server")
    testbed.check(
        testbed.counter_increase("quic ids stranger") == 1 and testbed.counter_increase("quic ids departed") == 1,
        "one ID counted as departed and one as stranger",
    )


@case(
    "lb-3.2",
    "Clients of a server without a configuration, which issues unroutable connection IDs, are routed by address",
    TestbedSetup(exclusive=True),
)
def unroutable_cids_by_address(testbed: Testbed) -> None:
    for server in testbed.servers:
        server.issue = lambda: bytes([0xE0 | os.urandom(1)[0] & 0x1F]) + os.urandom(9)
    clients = testbed.connected_clients(3)
    server_uids = [testbed.request(c) for c in clients]
    for turn in range(4):
        for c in clients:
            c.change_cid()
        testbed.check(
            [testbed.request(c, b"%d" % turn) for c in clients] == server_uids,
            "the same servers for new connection IDs",
        )


@case(
    "lb-3.2",
    "Unroutable connection IDs from a handshake are remembered, so that clients keep their servers on another port",
    TestbedSetup(extra_settings="unroutable_length = 10", exclusive=True),
)
def unroutable_cids_remembered(testbed: Testbed) -> None:
    for server in testbed.servers:
        server.issue = lambda: bytes([0xE0 | os.urandom(1)[0] & 0x1F]) + os.urandom(9)
    clients = testbed.connected_clients(3)
    server_uids = [testbed.request(c) for c in clients]
    for turn in range(3):
        for c in clients:
            c.rebind()
        testbed.check(
            [testbed.request(c, b"%d" % turn) for c in clients] == server_uids, "the same server for each client"
        )


@case(
    "lb-3.2", "An unknown unroutable connection ID is dropped", TestbedSetup(extra_settings="unroutable_length = 10")
)
def unknown_unroutable_cid(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(short_header_packet(b"\xe0" + os.urandom(9)), testbed.address)
    testbed.expect_silence([raw], "an unroutable connection ID")
    testbed.check(not testbed.servers_reached(raw), "no datagram at a server")


@case("9000-5.1", "Clients of a server with empty connection IDs are routed by address", TestbedSetup(exclusive=True))
def server_with_empty_cids(testbed: Testbed) -> None:
    for server in testbed.servers:
        server.issue = lambda: b""
    clients = testbed.connected_clients(3)
    server_uids = [testbed.request(c) for c in clients]
    testbed.check([testbed.request(c, b"more") for c in clients] == server_uids, "the same server for each client")


@case("lb-2", "A client whose datagrams reach another balancer after its handshake keeps its server", TWO_FRONTENDS)
def balancer_change_after_handshake(testbed: Testbed) -> None:
    clients = testbed.connected_clients(3)
    server_uids = [testbed.request(c) for c in clients]
    for turn in range(4):
        for c in clients:
            c.frontend_address = testbed.frontends[(turn + 1) % 2].address
            if turn % 2:
                c.rebind()
                c.change_cid()
        testbed.check(
            [testbed.request(c, b"turn %d" % turn) for c in clients] == server_uids, "the same server for each client"
        )


@case("lb-2", "A client whose datagrams reach another balancer during its handshake keeps its server", TWO_FRONTENDS)
def balancer_change_during_handshake(testbed: Testbed) -> None:
    connections_before = testbed.connections_started()
    for _ in range(3):
        client = testbed.client()
        testbed.wait(lambda c=client: c.received_count, "the server's first reply")  # type: ignore[misc]
        client.frontend_address = testbed.frontends[1].address
        testbed.wait(lambda c=client: c.handshake_complete, "a complete handshake")  # type: ignore[misc]
        testbed.request(client)
    testbed.check(testbed.connections_started() == connections_before + 3, "one connection for each client")


@case("lb-2", "A client whose first Initial reaches both balancers is served by one server", TWO_FRONTENDS)
def initial_at_both_balancers(testbed: Testbed) -> None:
    client = testbed.client()
    testbed.net.send(client, client.sent_datagrams[0], testbed.frontends[1].address)
    testbed.wait(lambda: client.handshake_complete, "a complete handshake")
    server_uid = testbed.request(client)
    for turn in range(4):
        client.frontend_address = testbed.frontends[turn % 2].address
        testbed.check(testbed.request(client, b"%d" % turn) == server_uid, "the same server")


@case(
    "lb-2",
    "While one of two balancers restarts, its clients keep their servers at the other and when they return",
    TestbedSetup(frontends=2, exclusive=True),
)
def one_balancer_restarts(testbed: Testbed) -> None:
    clients = testbed.connected_clients(3)
    server_uids = [testbed.request(c) for c in clients]
    for c in clients:
        c.frontend_address = testbed.frontends[1].address
    testbed.check(
        [testbed.request(c, b"over") for c in clients] == server_uids, "the same servers at the other balancer"
    )
    testbed.frontend.restart()
    for c in clients:
        c.frontend_address = testbed.frontend.address
        c.rebind()
    testbed.check(
        [testbed.request(c, b"back") for c in clients] == server_uids, "the same servers at the restarted balancer"
    )
