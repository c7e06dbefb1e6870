"""RFC 9000, 10, and the operators' requirements: rejections, draining, resets, and how sessions end."""

from aspensaddle.conformance.cases.observations import close_error_code
from aspensaddle.conformance.packet_builder import client_hello_frame, initial_packet, short_header_packet
from aspensaddle.conformance.process_frontend import ProcessFrontend
from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import NotApplicableError, Testbed, TestbedSetup
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED

REFUSING_SERVER = TestbedSetup(modes=(ServerMode.REFUSE,))
TWO_SERVERS = TestbedSetup(modes=(ServerMode.OK, ServerMode.OK))
SILENT_SERVER = TestbedSetup(modes=(ServerMode.SILENT,), deadline=1.5, reply_timeout=0.5)


@case(
    "9000-10.2.3",
    "A rejection is an Initial with CONNECTION_REFUSED that tells the client when to retry",
    REFUSING_SERVER,
)
def rejection(testbed: Testbed) -> None:
    client = testbed.client()
    testbed.wait(lambda: client.terminations, "a rejection")
    reason = client.terminations[0].reason_phrase
    testbed.check(client.terminations[0].error_code == CONNECTION_REFUSED, "CONNECTION_REFUSED")
    testbed.check(reason.startswith("BUSY ") and 0 < int(reason[5:]) <= 1000, f"BUSY and milliseconds, not {reason}")


@case("rule", "The final response comes as soon as the balancer gives up, not at the deadline", REFUSING_SERVER)
def rejection_at_once(testbed: Testbed) -> None:
    start = testbed.net.now()
    client = testbed.client()
    testbed.wait(lambda: client.received_datagrams, "a rejection")
    testbed.check(testbed.net.now() - start < 1.0, "a response long before the deadline of 3 s")


@case("rule", "A connection gets one final response: a repeated Initial gets none", REFUSING_SERVER)
def one_final_response(testbed: Testbed) -> None:
    raw, data = (testbed.raw_endpoint(), initial_packet(testbed.dcid, client_hello_frame()))
    raw.send(data, testbed.address)
    testbed.wait(lambda: raw.received_datagrams, "a rejection")
    testbed.check(close_error_code(raw.received_datagrams[0], testbed.dcid) == CONNECTION_REFUSED, "a rejection")
    for number in range(3):
        raw.send(initial_packet(testbed.dcid, client_hello_frame(), number=number), testbed.address)
    testbed.expect_silence([raw], "Initials after the response")


@case(
    "rule", "A request to which no server replies gets its final response before the client gives up", SILENT_SERVER
)
def response_before_deadline(testbed: Testbed) -> None:
    start = testbed.net.now()
    client = testbed.client()
    testbed.wait(lambda: client.received_datagrams, "a response")
    testbed.check(
        0.4 < testbed.net.now() - start <= SILENT_SERVER.deadline + 0.05,
        "a response after at least 0.4 s and before the deadline",
    )


@case(
    "rule",
    "Only one attempt is in progress at a time: replies of a late server are ignored",
    TestbedSetup(modes=(ServerMode.OK, ServerMode.OK), reply_timeout=0.4),
)
def one_attempt_at_a_time(testbed: Testbed) -> None:
    for server in testbed.servers:
        server.link_out.delay = 0.0
    testbed.servers[0].link_out.delay = 0.8
    clients = testbed.connected_clients(3)
    testbed.check({testbed.request(c) for c in clients} == {"s-1"}, "all sessions at the server that replied in time")
    testbed.servers[0].link_out.delay = 0.0


@case(
    "rule",
    "A server that rejects, fails or does not reply is followed by another one",
    TestbedSetup(modes=(ServerMode.REFUSE, ServerMode.FAIL, ServerMode.SILENT, ServerMode.OK), reply_timeout=0.4),
)
def next_server(testbed: Testbed) -> None:
    for _ in range(3):
        (client,) = testbed.connected_clients()
        testbed.check(testbed.request(client) == "s-3", "the server that accepts requests")


@case(
    "rule",
    "When the network reports a server as unreachable, another one follows at once",
    TestbedSetup(modes=(ServerMode.OK, ServerMode.OK), reply_timeout=10.0, exclusive=True),
)
def unreachable_server(testbed: Testbed) -> None:
    testbed.servers[0].close()
    for _ in range(3):
        start = testbed.net.now()
        (client,) = testbed.connected_clients()
        testbed.check(
            testbed.request(client) == "s-1" and testbed.net.now() - start < 5.0,
            "the other server before the reply timeout",
        )


@case("rule", "A draining server gets no new sessions and keeps its established ones", TWO_SERVERS)
def draining_server(testbed: Testbed) -> None:
    clients = testbed.connected_clients(4)
    server_uids = [testbed.request(c) for c in clients]
    testbed.update_endpoints(testbed.servers[0].target(state="leaving"))
    connections_before = testbed.servers[0].records.connections
    try:
        testbed.check(
            {testbed.request(c) for c in testbed.connected_clients(4)} == {"s-1"}, "new sessions at the other server"
        )
        testbed.check(
            testbed.servers[0].records.connections == connections_before, "no new connection at the draining server"
        )
        for c in clients:
            c.rebind()
        testbed.check(
            [testbed.request(c, b"on") for c in clients] == server_uids,
            "the same servers for established sessions, also from another port",
        )
    finally:
        testbed.update_endpoints()


@case("9000-10.3", "When a server leaves, its clients get a stateless reset and reconnect", TWO_SERVERS)
def server_leaves(testbed: Testbed) -> None:
    clients = testbed.connected_clients(4)
    server_uids = [testbed.request(c) for c in clients]
    testbed.update_endpoints({"uid": "s-0"})
    try:
        testbed.wait(
            lambda: all(c.was_reset == (uid == "s-0") for c, uid in zip(clients, server_uids, strict=True)),
            "resets of exactly the clients of s-0",
        )
        testbed.check(
            {testbed.request(c) for c in testbed.connected_clients(2)} == {"s-1"}, "new sessions at the other server"
        )
    finally:
        testbed.update_endpoints()


@case("9000-10.3", "A datagram to a server that has left gets a reset smaller than itself", TWO_SERVERS)
def reset_is_smaller(testbed: Testbed) -> None:
    cid = testbed.servers[0].issue()
    testbed.update_endpoints({"uid": "s-0"})
    try:
        for size in (22, 43, 300):
            raw = testbed.raw_endpoint()
            raw.send(short_header_packet(cid, size), testbed.address)
            testbed.wait(lambda raw=raw: raw.received_datagrams, "a reset")  # type: ignore[misc]
            testbed.check(
                21 <= len(raw.received_datagrams[0]) < size and raw.received_datagrams[0][0] & 0xC0 == 0x40,
                f"a reset smaller than {size} bytes, not {len(raw.received_datagrams[0])}",
            )
        raw = testbed.raw_endpoint()
        raw.send(short_header_packet(cid, 21), testbed.address)
        testbed.expect_silence([raw], "a datagram too small for a reset")
    finally:
        testbed.update_endpoints()


@case("9000-10.3.3", "Resets sent back to the front end cause no loop", TWO_SERVERS)
def no_reset_loop(testbed: Testbed) -> None:
    cid, raw = testbed.servers[0].issue(), testbed.raw_endpoint()
    testbed.update_endpoints({"uid": "s-0"})
    try:
        raw.send(short_header_packet(cid, 200), testbed.address)
        testbed.wait(lambda: raw.received_datagrams, "a reset")
        reset = raw.received_datagrams[0]
        for _ in range(3):
            raw.send(reset, testbed.address)
        testbed.run(0.2)
        testbed.check(
            len(raw.received_datagrams) <= 1 + 3 and all(len(d) < len(reset) for d in raw.received_datagrams[1:]),
            "at most one smaller reset for each",
        )
    finally:
        testbed.update_endpoints()


@case("9000-10.1", "Idle sessions end, and their descriptors are released", TestbedSetup(idle_timeout=1.0))
def idle_sessions(testbed: Testbed) -> None:
    testbed.connected_clients(3)
    testbed.wait(lambda: testbed.counter_increase("quic ended ok") == 3, "the end of all three sessions", 10.0)


@case(
    "rule",
    "A server that stops replying loses its sessions: their clients get a stateless reset",
    TWO_SERVERS,
    slow=True,
)
def server_stops_replying(testbed: Testbed) -> None:
    clients = testbed.connected_clients(4)
    server_uids = [testbed.request(c) for c in clients]
    testbed.server(server_uids[0]).mode = ServerMode.SILENT
    affected = [c for c, uid in zip(clients, server_uids, strict=True) if uid == server_uids[0]]
    for c in affected:
        c.send_request(b"anyone?")
    testbed.wait(lambda: all(c.was_reset for c in affected), "resets of its clients", 20.0)


@case(
    "9000-10.3",
    "When the process of a server has ended, its clients get a stateless reset for what they send next",
    TestbedSetup(modes=(ServerMode.OK, ServerMode.OK), exclusive=True),
)
def server_process_ends(testbed: Testbed) -> None:
    clients = testbed.connected_clients(4)
    server_uids = [testbed.request(c) for c in clients]
    testbed.server(server_uids[0]).close()
    for c in clients:
        c.send_request(b"." * 6000)  # several datagrams at once
    affected = [c for c, uid in zip(clients, server_uids, strict=True) if uid == server_uids[0]]
    testbed.wait(lambda: all(c.was_reset for c in affected), "resets of its clients", 2.0)
    testbed.check(sum(c.was_reset for c in clients) == len(affected), "no reset of another client")


@case(
    "design", "After a restart without stored sessions, all clients keep their servers", TestbedSetup(exclusive=True)
)
def restart(testbed: Testbed) -> None:
    clients = testbed.connected_clients(5)
    server_uids = [testbed.request(c) for c in clients]
    testbed.frontend.restart()
    for turn in range(2):
        for c in clients:
            c.rebind()
            c.change_cid()
        testbed.check(
            [testbed.request(c, b"%d" % turn) for c in clients] == server_uids, "the same server for each client"
        )
    testbed.check(
        not any(c.was_reset or c.terminations for c in clients) and testbed.connections_started() == 5,
        "no new connection",
    )


@case(
    "design",
    "A balancer that shuts down rejects new sessions, and its established ones continue after a restart",
    TestbedSetup(exclusive=True),
)
def graceful_shutdown(testbed: Testbed) -> None:
    if not isinstance(testbed.frontend, ProcessFrontend):
        raise NotApplicableError("there is no process to shut down")
    clients = testbed.connected_clients(3)
    server_uids = [testbed.request(c) for c in clients]
    testbed.frontend.terminate()
    testbed.run(0.1)
    raw = testbed.raw_endpoint()
    raw.send(initial_packet(testbed.dcid, client_hello_frame()), testbed.address)
    testbed.wait(lambda: raw.received_datagrams, "a rejection")
    testbed.check(
        close_error_code(raw.received_datagrams[0], testbed.dcid) == CONNECTION_REFUSED, "CONNECTION_REFUSED"
    )
    testbed.check(
        [testbed.request(c, b"meanwhile") for c in clients] == server_uids,
        "the same servers for established sessions",
    )
    testbed.run(0.6)
    testbed.frontend.restart()
    testbed.check(
        [testbed.request(c, b"after") for c in clients] == server_uids, "the same servers after the restart"
    )
