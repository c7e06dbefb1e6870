"""RFC 9000, 10, and the operators' rules: moves, drains, refusals, and how sessions end."""

from aspensaddle.conformance.cases.observations import close_error_code
from aspensaddle.conformance.packet_builder import client_hello_frame, initial_packet, short_header_packet
from aspensaddle.conformance.process_frontend import ProcessFrontend
from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import NotApplicableError, Testbed, TestbedSetup
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED

REFUSING = TestbedSetup(modes=(ServerMode.REFUSE,))
PAIR = TestbedSetup(modes=(ServerMode.OK, ServerMode.OK))
SILENT = TestbedSetup(modes=(ServerMode.SILENT,), deadline=1.5, reply=0.5)


@case("9000-10.2.3", "A refusal is an Initial with CONNECTION_REFUSED that says when to come again", REFUSING)
def refusal(testbed: Testbed) -> None:
    client = testbed.client()
    testbed.wait(lambda: client.ended, "a refusal")
    reason = client.ended[0].reason_phrase
    testbed.check(client.ended[0].error_code == CONNECTION_REFUSED, "CONNECTION_REFUSED")
    testbed.check(reason.startswith("BUSY ") and 0 < int(reason[5:]) <= 1000, f"BUSY and milliseconds: {reason}")


@case("rule", "The final answer comes at once when the module gives up, not at the deadline", REFUSING)
def refusal_at_once(testbed: Testbed) -> None:
    start = testbed.net.now()
    client = testbed.client()
    testbed.wait(lambda: client.got, "a refusal")
    testbed.check(testbed.net.now() - start < 1.0, "far before the deadline of 3 s")


@case("rule", "A connection has one final answer: the same Initial again draws none", REFUSING)
def one_answer(testbed: Testbed) -> None:
    raw, data = (testbed.raw_endpoint(), initial_packet(testbed.id, client_hello_frame()))
    raw.send(data, testbed.address)
    testbed.wait(lambda: raw.got, "a refusal")
    testbed.check(close_error_code(raw.got[0], testbed.id) == CONNECTION_REFUSED, "refused")
    for number in range(3):
        raw.send(initial_packet(testbed.id, client_hello_frame(), number=number), testbed.address)
    testbed.expect_silence([raw], "after the answer")


@case("rule", "What no runner answers has its final answer before the client gives up", SILENT)
def answer_before_deadline(testbed: Testbed) -> None:
    start = testbed.net.now()
    client = testbed.client()
    testbed.wait(lambda: client.got, "an answer")
    testbed.check(0.4 < testbed.net.now() - start <= SILENT.deadline + 0.05, "after a wait, before the deadline")


@case(
    "rule",
    "Only one attempt is out at a time: a late runner is not heard any more",
    TestbedSetup(modes=(ServerMode.OK, ServerMode.OK), reply=0.4),
)
def one_attempt_at_a_time(testbed: Testbed) -> None:
    for server in testbed.servers:
        server.link_out.delay = 0.0
    testbed.servers[0].link_out.delay = 0.8
    clients = testbed.connected_clients(3)
    testbed.check({testbed.ask(c) for c in clients} == {"s-1"}, "all at the one in time")
    testbed.servers[0].link_out.delay = 0.0


@case(
    "rule",
    "A runner that refuses, fails, says nothing or is not there is followed by another",
    TestbedSetup(modes=(ServerMode.REFUSE, ServerMode.FAIL, ServerMode.SILENT, ServerMode.OK), reply=0.4),
)
def next_runner(testbed: Testbed) -> None:
    for _ in range(3):
        (client,) = testbed.connected_clients()
        testbed.check(testbed.ask(client) == "s-3", "the one that takes it")


@case(
    "rule",
    "A runner whose process is gone is told by the network, and followed by another at once",
    TestbedSetup(modes=(ServerMode.OK, ServerMode.OK), reply=10.0, alone=True),
)
def unreachable_runner(testbed: Testbed) -> None:
    testbed.servers[0].close()
    for _ in range(3):
        start = testbed.net.now()
        (client,) = testbed.connected_clients()
        testbed.check(testbed.ask(client) == "s-1" and testbed.net.now() - start < 5.0, "without waiting for it")


@case("rule", "A draining runner gets nothing new and keeps what it has", PAIR)
def drain(testbed: Testbed) -> None:
    clients = testbed.connected_clients(4)
    homes = [testbed.ask(c) for c in clients]
    testbed.replace(testbed.servers[0].target(state="leaving"))
    begun = testbed.servers[0].records.connections
    try:
        testbed.check({testbed.ask(c) for c in testbed.connected_clients(4)} == {"s-1"}, "new ones go elsewhere")
        testbed.check(testbed.servers[0].records.connections == begun, "nothing new there")
        for c in clients:
            c.rebind()
        testbed.check([testbed.ask(c, b"on") for c in clients] == homes, "old ones stay, also from another port")
    finally:
        testbed.replace()


@case("9000-10.3", "When a runner leaves, its clients get a stateless reset and come again", PAIR)
def runner_leaves(testbed: Testbed) -> None:
    clients = testbed.connected_clients(4)
    homes = [testbed.ask(c) for c in clients]
    testbed.replace({"uid": "s-0"})
    try:
        testbed.wait(lambda: all(c.reset == (h == "s-0") for c, h in zip(clients, homes, strict=True)), "resets")
        testbed.check({testbed.ask(c) for c in testbed.connected_clients(2)} == {"s-1"}, "placed anew")
    finally:
        testbed.replace()


@case("9000-10.3", "A datagram to a runner that has left draws a reset smaller than itself", PAIR)
def reset_is_smaller(testbed: Testbed) -> None:
    cid = testbed.servers[0].issue()
    testbed.replace({"uid": "s-0"})
    try:
        for size in (22, 43, 300):
            raw = testbed.raw_endpoint()
            raw.send(short_header_packet(cid, size), testbed.address)
            testbed.wait(lambda raw=raw: raw.got, "a reset")  # type: ignore[misc]
            testbed.check(
                21 <= len(raw.got[0]) < size and raw.got[0][0] & 0xC0 == 0x40, f"{len(raw.got[0])} of {size}"
            )
        raw = testbed.raw_endpoint()
        raw.send(short_header_packet(cid, 21), testbed.address)
        testbed.expect_silence([raw], "a datagram too small for a reset")
    finally:
        testbed.replace()


@case("9000-10.3.3", "A reset that comes back to the front draws nothing", PAIR)
def no_reset_loop(testbed: Testbed) -> None:
    cid, raw = testbed.servers[0].issue(), testbed.raw_endpoint()
    testbed.replace({"uid": "s-0"})
    try:
        raw.send(short_header_packet(cid, 200), testbed.address)
        testbed.wait(lambda: raw.got, "a reset")
        sent = raw.got[0]
        for _ in range(3):
            raw.send(sent, testbed.address)
        testbed.run(0.2)
        testbed.check(
            len(raw.got) <= 1 + 3 and all(len(d) < len(sent) for d in raw.got[1:]), "nothing as large again"
        )
    finally:
        testbed.replace()


@case("9000-10.1", "Sessions that fall silent end, and their descriptors with them", TestbedSetup(idle=1.0))
def idle(testbed: Testbed) -> None:
    testbed.connected_clients(3)
    testbed.wait(lambda: testbed.counted("quic ended ok") == 3, "all three have ended", 10.0)


@case("rule", "A runner that falls silent loses its sessions: they are reset and placed elsewhere", PAIR, slow=True)
def runner_falls_silent(testbed: Testbed) -> None:
    clients = testbed.connected_clients(4)
    homes = [testbed.ask(c) for c in clients]
    testbed.server(homes[0]).mode = ServerMode.SILENT
    mine = [c for c, h in zip(clients, homes, strict=True) if h == homes[0]]
    for c in mine:
        c.say(b"anyone?")
    testbed.wait(lambda: all(c.reset for c in mine), "resets", 20.0)


@case("design", "After a restart that knows no session, all stay at their runners", TestbedSetup(alone=True))
def restart(testbed: Testbed) -> None:
    clients = testbed.connected_clients(5)
    homes = [testbed.ask(c) for c in clients]
    testbed.frontend.restart()
    for turn in range(2):
        for c in clients:
            c.rebind()
            c.change_id()
        testbed.check([testbed.ask(c, b"%d" % turn) for c in clients] == homes, "each at its runner")
    testbed.check(
        not any(c.reset or c.ended for c in clients) and testbed.connections_started() == 5, "none began anew"
    )


@case(
    "design", "A balancer that ends refuses newcomers, and its sessions go on at the next", TestbedSetup(alone=True)
)
def planned_end(testbed: Testbed) -> None:
    if not isinstance(testbed.frontend, ProcessFrontend):
        raise NotApplicableError("there is no process to end")
    clients = testbed.connected_clients(3)
    homes = [testbed.ask(c) for c in clients]
    testbed.frontend.terminate()
    testbed.run(0.1)
    raw = testbed.raw_endpoint()
    raw.send(initial_packet(testbed.id, client_hello_frame()), testbed.address)
    testbed.wait(lambda: raw.got, "a refusal")
    testbed.check(close_error_code(raw.got[0], testbed.id) == CONNECTION_REFUSED, "CONNECTION_REFUSED")
    testbed.check([testbed.ask(c, b"meanwhile") for c in clients] == homes, "standing ones are served meanwhile")
    testbed.run(0.6)
    testbed.frontend.restart()
    testbed.check([testbed.ask(c, b"after") for c in clients] == homes, "and after")
