"""draft-ietf-quic-load-balancers: ids that name their runner, and several balancers that read them."""

import os

from aspensaddle.conformance import craft
from aspensaddle.conformance.bed import FORM, ID_KEY, Bed, Spec, ids_toml, server_id
from aspensaddle.conformance.suite import case
from aspensaddle.frontends.quic.ids import IdFormat

PLAIN = IdFormat(0, 1, 7)
FOUR = IdFormat(3, 3, 6, ID_KEY)
ODD = IdFormat(5, 4, 7, ID_KEY, self_length=True)
LONGEST = IdFormat(6, 4, 15, ID_KEY)
NEW = IdFormat(4, 2, 14, b"another key, new")
TWO = Spec(fronts=2)


def _stays(bed: Bed) -> None:
    """Clients of these ids stay at their runners through new ports, new ids and a restart."""
    clients = bed.ready(3)
    homes = [bed.ask(c) for c in clients]
    for c in clients:
        c.change_id()
        c.rebind()
    bed.check([bed.ask(c, b"moved") for c in clients] == homes, "after new ids and ports")
    bed.front.restart()
    bed.check([bed.ask(c, b"restart") for c in clients] == homes, "after a restart")
    bed.check(bed.total("begun") == 3, "none began anew")


@case("lb-5.1", "Plaintext ids", Spec(forms=(PLAIN,), alone=True))
def plaintext(bed: Bed) -> None:
    _stays(bed)


@case("lb-5.4.1", "Ids of one AES block", Spec(alone=True))
def single_pass(bed: Bed) -> None:
    _stays(bed)


@case("lb-5.4.2", "Ids of four passes", Spec(forms=(FOUR,), alone=True))
def four_pass(bed: Bed) -> None:
    _stays(bed)


@case("lb-5.4.2", "Ids of four passes and an odd length, which they tell themselves", Spec(forms=(ODD,), alone=True))
def four_pass_odd(bed: Bed) -> None:
    _stays(bed)


@case("lb-5.4.2", "Ids of 20 octets", Spec(forms=(LONGEST,), alone=True))
def longest(bed: Bed) -> None:
    _stays(bed)


@case("lb-3.3", "An id that lies about its length is not routed", Spec(forms=(ODD,)))
def lying_length(bed: Bed) -> None:
    raw, runner = bed.raw(), bed.runners[0]
    cid = runner.issue()
    raw.send(craft.short(bytes([cid[0] ^ 1]) + cid[1:]), bed.address)
    bed.quiet([raw], "a wrong length")
    bed.check(not bed.reached(raw), "nor sent on")


@case(
    "lb-3.1",
    "Three configurations are read at once, each with server ids of its own",
    Spec(forms=(FORM, PLAIN, FOUR)),
)
def three_rotations(bed: Bed) -> None:
    for form in bed.spec.forms:
        for runner in bed.runners:
            raw = bed.raw()
            raw.send(craft.short(form.encode(server_id(form, runner))), bed.address)
            bed.wait(lambda raw=raw, u=runner.uid: bed.reached(raw) == [u], f"rotation {form.rotation}")  # type: ignore[misc]


@case(
    "lb-3.1",
    "A key is rolled while sessions stand: old and new ids are read, the old ones retired later",
    Spec(alone=True),
)
def rolled_key(bed: Bed) -> None:
    clients = bed.ready(3)
    homes = [bed.ask(c) for c in clients]
    bed.check(bed.front.configure(bed.toml(ids_toml((FORM, NEW), bed.runners))), "the new configuration is taken")
    for runner in bed.runners:
        runner.form, runner.server_id = NEW, server_id(NEW, runner)
    for turn in range(9):  # old ids are used up, new ones come
        for c in clients:
            c.change_id()
        bed.check([bed.ask(c, b"turn %d" % turn) for c in clients] == homes, "each at its runner")
    bed.check(all(c.connection._peer_cid.cid[0] >> 5 == NEW.rotation for c in clients), "on new ids by now")
    old, raw = FORM.encode(server_id(FORM, bed.runners[0])), bed.raw()
    retired = ids_toml((FORM,), bed.runners, "retire_at = 2020-01-01T00:00:00Z\n") + ids_toml((NEW,), bed.runners)
    bed.check(bed.front.configure(bed.toml(retired)), "the old one is retired")
    bed.check([bed.ask(c, b"later") for c in clients] == homes, "new ids go on")
    raw.send(craft.short(old, 100), bed.address)
    bed.wait(lambda: raw.got, "a reset for an old id")
    bed.check(not bed.reached(raw), "which reaches no runner")


@case("lb-3.1", "A file that can't be used changes nothing", Spec(alone=True))
def refused_reload(bed: Bed) -> None:
    (client,) = bed.ready()
    home = bed.ask(client)
    bed.check(not bed.front.configure(bed.toml(more='most_pending = "many"')), "refused")
    bed.check(not bed.front.configure(bed.toml(rules='[[rules]]\nclass = "none"\n')), "refused")
    bed.check(bed.ask(client, b"on") == home, "the session goes on")
    (other,) = bed.ready()
    bed.ask(other)


@case("lb-3.1", "A reload leaves sessions alone", Spec(alone=True))
def untouched_by_reload(bed: Bed) -> None:
    clients = bed.ready(3)
    homes = [bed.ask(c) for c in clients]
    for turn in range(3):
        bed.check(bed.front.configure(bed.toml(more=f"answers_per_s = {100 + turn}")), "taken")
        bed.check([bed.ask(c, b"%d" % turn) for c in clients] == homes, "each at its runner")
    bed.check(not any(c.reset for c in clients) and bed.total("begun") == 3, "none began anew")


@case("lb-3.1", "Ids of a runner that the file no longer names are told from garbage by a reset", Spec(alone=True))
def departed_runner(bed: Bed) -> None:
    gone, raw = bed.runners[0].issue(), bed.raw()
    bed.check(bed.front.configure(bed.toml(ids_toml((FORM,), bed.runners[1:]))), "taken")
    raw.send(craft.short(gone, 100), bed.address)
    bed.wait(lambda: raw.got, "a reset")
    raw.send(craft.short(FORM.encode(b"\xff\xff"), 100), bed.address)
    bed.quiet([raw], "an id of a server that never was")
    bed.check(bed.counted("quic ids stranger") == 1 and bed.counted("quic ids departed") == 1, "counted apart")


@case(
    "lb-3.2",
    "A runner without a configuration issues unroutable ids: its clients are found by address",
    Spec(alone=True),
)
def unroutable_by_address(bed: Bed) -> None:
    for runner in bed.runners:
        runner.issue = lambda: bytes([0xE0 | os.urandom(1)[0] & 0x1F]) + os.urandom(9)
    clients = bed.ready(3)
    homes = [bed.ask(c) for c in clients]
    for turn in range(4):
        for c in clients:
            c.change_id()
        bed.check([bed.ask(c, b"%d" % turn) for c in clients] == homes, "through new ids")


@case(
    "lb-3.2",
    "Ids seen in a handshake are remembered, so that such a client survives another port",
    Spec(more="unroutable_length = 10", alone=True),
)
def unroutable_by_heart(bed: Bed) -> None:
    for runner in bed.runners:
        runner.issue = lambda: bytes([0xE0 | os.urandom(1)[0] & 0x1F]) + os.urandom(9)
    clients = bed.ready(3)
    homes = [bed.ask(c) for c in clients]
    for turn in range(3):
        for c in clients:
            c.rebind()
        bed.check([bed.ask(c, b"%d" % turn) for c in clients] == homes, "at its runner")


@case("lb-3.2", "An unroutable id of nobody's is dropped", Spec(more="unroutable_length = 10"))
def unroutable_of_nobody(bed: Bed) -> None:
    raw = bed.raw()
    raw.send(craft.short(b"\xe0" + os.urandom(9)), bed.address)
    bed.quiet([raw], "an unroutable id")
    bed.check(not bed.reached(raw), "nor sent on")


@case("9000-5.1", "A runner without ids at all is found by the client's address", Spec(alone=True))
def runner_without_ids(bed: Bed) -> None:
    for runner in bed.runners:
        runner.issue = lambda: b""
    clients = bed.ready(3)
    homes = [bed.ask(c) for c in clients]
    bed.check([bed.ask(c, b"more") for c in clients] == homes, "each at its runner")


@case("lb-2", "A client that goes over to another balancer after its handshake stays at its runner", TWO)
def moved_after_handshake(bed: Bed) -> None:
    clients = bed.ready(3)
    homes = [bed.ask(c) for c in clients]
    for turn in range(4):
        for c in clients:
            c.front = bed.fronts[(turn + 1) % 2].address
            if turn % 2:
                c.rebind()
                c.change_id()
        bed.check([bed.ask(c, b"turn %d" % turn) for c in clients] == homes, "each at its runner")


@case("lb-2", "A client that goes over in the middle of its handshake stays at its runner", TWO)
def moved_within_handshake(bed: Bed) -> None:
    begun = bed.total("begun")
    for _ in range(3):
        client = bed.client()
        bed.wait(lambda c=client: c.datagrams_in, "the runner's first reply")  # type: ignore[misc]
        client.front = bed.fronts[1].address
        bed.wait(lambda c=client: c.ready, "the handshake is done")  # type: ignore[misc]
        bed.ask(client)
    bed.check(bed.total("begun") == begun + 3, "none began twice")


@case("lb-2", "A client whose first Initial reached both balancers has one session in the end", TWO)
def initial_at_both(bed: Bed) -> None:
    client = bed.client()
    bed.net.send(client, client.sent[0], bed.fronts[1].address)
    bed.wait(lambda: client.ready, "the handshake is done")
    home = bed.ask(client)
    for turn in range(4):
        client.front = bed.fronts[turn % 2].address
        bed.check(bed.ask(client, b"%d" % turn) == home, "one runner answers")


@case(
    "lb-2", "One of two balancers restarts: its clients go on at the other and come back", Spec(fronts=2, alone=True)
)
def one_restarts(bed: Bed) -> None:
    clients = bed.ready(3)
    homes = [bed.ask(c) for c in clients]
    for c in clients:
        c.front = bed.fronts[1].address
    bed.check([bed.ask(c, b"over") for c in clients] == homes, "at the other")
    bed.front.restart()
    for c in clients:
        c.front = bed.front.address
        c.rebind()
    bed.check([bed.ask(c, b"back") for c in clients] == homes, "and back")
