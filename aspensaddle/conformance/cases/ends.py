"""RFC 9000, 10, and the operators' rules: moves, drains, refusals, and how sessions end."""

from aspensaddle.conformance import craft
from aspensaddle.conformance.bed import Bed, NotApplicable, Spec
from aspensaddle.conformance.cases.handshakes import closed
from aspensaddle.conformance.front import ProcessFront
from aspensaddle.conformance.suite import case
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED

REFUSING = Spec(modes=("refuse",))
PAIR = Spec(modes=("ok", "ok"))
SILENT = Spec(modes=("silent",), deadline=1.5, reply=0.5)


@case("9000-10.2.3", "A refusal is an Initial with CONNECTION_REFUSED that says when to come again", REFUSING)
def refusal(bed: Bed) -> None:
    client = bed.client()
    bed.wait(lambda: client.ended, "a refusal")
    reason = client.ended[0].reason_phrase
    bed.check(client.ended[0].error_code == CONNECTION_REFUSED, "CONNECTION_REFUSED")
    bed.check(reason.startswith("BUSY ") and 0 < int(reason[5:]) <= 1000, f"BUSY and milliseconds: {reason}")


@case("rule", "The final answer comes at once when the module gives up, not at the deadline", REFUSING)
def refusal_at_once(bed: Bed) -> None:
    start = bed.net.now()
    client = bed.client()
    bed.wait(lambda: client.got, "a refusal")
    bed.check(bed.net.now() - start < 1.0, "far before the deadline of 3 s")


@case("rule", "A connection has one final answer: the same Initial again draws none", REFUSING)
def one_answer(bed: Bed) -> None:
    raw, data = bed.raw(), craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello()))
    raw.send(data, bed.address)
    bed.wait(lambda: raw.got, "a refusal")
    bed.check(closed(raw.got[0], bed.id) == CONNECTION_REFUSED, "refused")
    for number in range(3):
        raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello()), number=number), bed.address)
    bed.quiet([raw], "after the answer")


@case("rule", "What no runner answers has its final answer before the client gives up", SILENT)
def answer_before_deadline(bed: Bed) -> None:
    start = bed.net.now()
    client = bed.client()
    bed.wait(lambda: client.got, "an answer")
    bed.check(0.4 < bed.net.now() - start <= SILENT.deadline + 0.05, "after a wait, before the deadline")


@case(
    "rule",
    "Only one attempt is out at a time: a late runner is not heard any more",
    Spec(modes=("ok", "ok"), reply=0.4),
)
def one_attempt_at_a_time(bed: Bed) -> None:
    for runner in bed.runners:
        runner.link_out.delay = 0.0
    bed.runners[0].link_out.delay = 0.8
    clients = bed.ready(3)
    bed.check({bed.ask(c) for c in clients} == {"s-1"}, "all at the one in time")
    bed.runners[0].link_out.delay = 0.0


@case(
    "rule",
    "A runner that refuses, fails, says nothing or is not there is followed by another",
    Spec(modes=("refuse", "fail", "silent", "ok"), reply=0.4),
)
def next_runner(bed: Bed) -> None:
    for _ in range(3):
        (client,) = bed.ready()
        bed.check(bed.ask(client) == "s-3", "the one that takes it")


@case(
    "rule",
    "A runner whose process is gone is told by the network, and followed by another at once",
    Spec(modes=("ok", "ok"), reply=10.0, alone=True),
)
def unreachable_runner(bed: Bed) -> None:
    bed.runners[0].close()
    for _ in range(3):
        start = bed.net.now()
        (client,) = bed.ready()
        bed.check(bed.ask(client) == "s-1" and bed.net.now() - start < 5.0, "without waiting for it")


@case("rule", "A draining runner gets nothing new and keeps what it has", PAIR)
def drain(bed: Bed) -> None:
    clients = bed.ready(4)
    homes = [bed.ask(c) for c in clients]
    bed.replace(bed.runners[0].target(state="leaving"))
    begun = bed.runners[0].begun
    try:
        bed.check({bed.ask(c) for c in bed.ready(4)} == {"s-1"}, "new ones go elsewhere")
        bed.check(bed.runners[0].begun == begun, "nothing new there")
        for c in clients:
            c.rebind()
        bed.check([bed.ask(c, b"on") for c in clients] == homes, "old ones stay, also from another port")
    finally:
        bed.replace()


@case("9000-10.3", "When a runner leaves, its clients get a stateless reset and come again", PAIR)
def runner_leaves(bed: Bed) -> None:
    clients = bed.ready(4)
    homes = [bed.ask(c) for c in clients]
    bed.replace({"uid": "s-0"})
    try:
        bed.wait(lambda: all(c.reset == (h == "s-0") for c, h in zip(clients, homes, strict=True)), "resets")
        bed.check({bed.ask(c) for c in bed.ready(2)} == {"s-1"}, "placed anew")
    finally:
        bed.replace()


@case("9000-10.3", "A datagram to a runner that has left draws a reset smaller than itself", PAIR)
def reset_is_smaller(bed: Bed) -> None:
    cid = bed.runners[0].issue()
    bed.replace({"uid": "s-0"})
    try:
        for size in (22, 43, 300):
            raw = bed.raw()
            raw.send(craft.short(cid, size), bed.address)
            bed.wait(lambda raw=raw: raw.got, "a reset")  # type: ignore[misc]
            bed.check(21 <= len(raw.got[0]) < size and raw.got[0][0] & 0xC0 == 0x40, f"{len(raw.got[0])} of {size}")
        raw = bed.raw()
        raw.send(craft.short(cid, 21), bed.address)
        bed.quiet([raw], "a datagram too small for a reset")
    finally:
        bed.replace()


@case("9000-10.3.3", "A reset that comes back to the front draws nothing", PAIR)
def no_reset_loop(bed: Bed) -> None:
    cid, raw = bed.runners[0].issue(), bed.raw()
    bed.replace({"uid": "s-0"})
    try:
        raw.send(craft.short(cid, 200), bed.address)
        bed.wait(lambda: raw.got, "a reset")
        sent = raw.got[0]
        for _ in range(3):
            raw.send(sent, bed.address)
        bed.run(0.2)
        bed.check(len(raw.got) <= 1 + 3 and all(len(d) < len(sent) for d in raw.got[1:]), "nothing as large again")
    finally:
        bed.replace()


@case("9000-10.1", "Sessions that fall silent end, and their descriptors with them", Spec(idle=1.0))
def idle(bed: Bed) -> None:
    bed.ready(3)
    bed.wait(lambda: bed.counted("quic ended ok") == 3, "all three have ended", 10.0)


@case("rule", "A runner that falls silent loses its sessions: they are reset and placed elsewhere", PAIR, slow=True)
def runner_falls_silent(bed: Bed) -> None:
    clients = bed.ready(4)
    homes = [bed.ask(c) for c in clients]
    bed.runner(homes[0]).mode = "silent"
    mine = [c for c, h in zip(clients, homes, strict=True) if h == homes[0]]
    for c in mine:
        c.say(b"anyone?")
    bed.wait(lambda: all(c.reset for c in mine), "resets", 20.0)


@case("design", "After a restart that knows no session, all stay at their runners", Spec(alone=True))
def restart(bed: Bed) -> None:
    clients = bed.ready(5)
    homes = [bed.ask(c) for c in clients]
    bed.front.restart()
    for turn in range(2):
        for c in clients:
            c.rebind()
            c.change_id()
        bed.check([bed.ask(c, b"%d" % turn) for c in clients] == homes, "each at its runner")
    bed.check(not any(c.reset or c.ended for c in clients) and bed.total("begun") == 5, "none began anew")


@case("design", "A balancer that ends refuses newcomers, and its sessions go on at the next", Spec(alone=True))
def planned_end(bed: Bed) -> None:
    if not isinstance(bed.front, ProcessFront):
        raise NotApplicable("there is no process to end")
    clients = bed.ready(3)
    homes = [bed.ask(c) for c in clients]
    bed.front.terminate()
    bed.run(0.1)
    raw = bed.raw()
    raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello())), bed.address)
    bed.wait(lambda: raw.got, "a refusal")
    bed.check(closed(raw.got[0], bed.id) == CONNECTION_REFUSED, "CONNECTION_REFUSED")
    bed.check([bed.ask(c, b"meanwhile") for c in clients] == homes, "standing ones are served meanwhile")
    bed.run(0.6)
    bed.front.restart()
    bed.check([bed.ask(c, b"after") for c in clients] == homes, "and after")
