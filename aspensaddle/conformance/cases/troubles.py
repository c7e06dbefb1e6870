"""Bad networks, floods, garbage: what no section asks for and every client needs."""

from random import Random

from aspensaddle.conformance import craft
from aspensaddle.conformance.bed import Bed, Spec
from aspensaddle.conformance.link import Link
from aspensaddle.conformance.suite import case

PATIENT = Spec(deadline=8.0, reply=6.0)


def _through(bed: Bed, count: int, **link: float) -> None:
    """Clients behind a bad link are served, each by one runner."""
    clients = [
        bed.client(link_in=Link(bed.seed + 2 * i, **link), link_out=Link(bed.seed + 2 * i + 1, **link))
        for i in range(count)
    ]
    bed.wait(lambda: all(c.ready or c.ended for c in clients), "handshakes or answers", 30.0)
    served = [c for c in clients if c.ready]
    bed.check(len(served) >= count - 1, f"{len(served)} of {count} are served")
    for c in served:
        home = None
        for turn in range(3):
            n = len(c.answers)
            c.say(b"turn %d" % turn)
            bed.wait(lambda c=c, n=n: len(c.answers) > n, "an answer", 30.0)  # type: ignore[misc]
            bed.check(home in (None, c.answers[-1].split()[0]), "by one runner")
            home = c.answers[-1].split()[0]


@case("trouble", "30 % of the datagrams are lost, both ways", PATIENT, slow=True)
def loss(bed: Bed) -> None:
    _through(bed, 4, loss=0.3)


@case("trouble", "Datagrams are repeated, delayed and overtake each other", PATIENT)
def disorder(bed: Bed) -> None:
    _through(bed, 4, repeat=0.3, delay=0.01, jitter=0.04)


@case("trouble", "Datagrams arrive cut short", PATIENT, slow=True)
def cuts(bed: Bed) -> None:
    _through(bed, 3, cut=0.1)


@case("trouble", "A port that changes behind a lossy link keeps its runner", PATIENT, slow=True)
def loss_and_rebinding(bed: Bed) -> None:
    client = bed.client(link_in=Link(bed.seed, loss=0.15), link_out=Link(bed.seed + 1, loss=0.15))
    bed.wait(lambda: client.ready, "the handshake is done", 30.0)
    client.say(b"here")  # a client may not move before its handshake is confirmed
    bed.wait(lambda: client.answers, "an answer", 30.0)
    homes = {client.answers[0].split()[0]}
    for turn in range(5):
        client.rebind()
        n = len(client.answers)
        client.say(b"turn %d" % turn)
        bed.wait(lambda n=n: len(client.answers) > n, "an answer", 30.0)  # type: ignore[misc]
        homes.add(client.answers[-1].split()[0])
    bed.check(len(homes) == 1, "one runner")


@case("trouble", "Garbage of all kinds draws no more than it brings, and costs no session")
def garbage(bed: Bed) -> None:
    (client,) = bed.ready()
    home, random, raw, sent = bed.ask(client), Random(bed.seed), bed.raw(), 0
    valid = [
        client.sent[0],
        craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello())),
        craft.handshake(bed.runners[0].issue(), craft.SCID),
        craft.short(bed.runners[1].issue(), 90),
    ]
    for i in range(400):
        data = bytearray(random.choice(valid) if i % 2 else random.randbytes(random.randrange(1, 1300)))
        for _ in range(random.randrange(1, 12)):
            data[random.randrange(len(data))] = random.randrange(256)
        data = data[: random.randrange(1, len(data) + 1)] if random.random() < 0.3 else data
        sent += len(data)
        raw.send(bytes(data), bed.address)
        if i % 40 == 0:
            bed.run(0.02)
    bed.run(0.3)
    bed.check(sum(map(len, raw.got)) <= 3 * sent, "no more than three times")
    bed.check(bed.ask(client, b"still here") == home, "the session goes on")


@case(
    "trouble",
    "A flood of ids that name runners, made up, costs no usual session its place",
    Spec(more="most_sessions = 60\nmost_pending = 16\nmost_sockets = 32\nadopted_per_s = 60"),
)
def made_up_ids(bed: Bed) -> None:
    clients = bed.ready(3)
    homes = [bed.ask(c) for c in clients]
    for i in range(200):
        raw = bed.raw()
        raw.send(craft.short(bed.runners[i % 3].issue(), 60), bed.address)
        if i % 20 == 0:
            bed.run(0.02)
    bed.check([bed.ask(c, b"on") for c in clients] == homes, "each at its runner")
    bed.run(0.7)
    (newcomer,) = bed.ready()
    bed.ask(newcomer)
    bed.check(bed.counted("quic adopted") <= 200 and not any(c.reset for c in clients), "none lost")


@case("trouble", "Resets that flood in from anywhere end nothing")
def flood_of_resets(bed: Bed) -> None:
    (client,) = bed.ready()
    home, raw = bed.ask(client), bed.raw()
    random = Random(bed.seed)
    for i in range(200):
        raw.send(b"\x41" + random.randbytes(random.randrange(20, 42)), bed.address)
        if i % 50 == 0:
            bed.run(0.02)
    bed.check(bed.ask(client, b"still here") == home and not client.reset, "the session goes on")


@case("trouble", "Clients of one socket have sessions of their own")
def one_socket(bed: Bed) -> None:
    raw, offered = bed.raw(), bed.total("offered")
    for i in range(4):
        hello = craft.client_hello(scid=b"id%d" % i)
        raw.send(craft.initial(b"%010d" % i, b"id%d" % i, craft.crypto(0, hello)), bed.address)
    bed.run(0.4)
    bed.check(bed.counted("quic placed") == 4 and bed.total("offered") == offered + 4, "four sessions")
