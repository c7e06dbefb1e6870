"""RFC 9000, 8.1.2 to 8.1.4 and 17.2.5: proving an address, by the front and by runners."""

from aspensaddle.conformance import craft
from aspensaddle.conformance.bed import LIFETIME, Bed, Spec
from aspensaddle.conformance.cases.handshakes import closed
from aspensaddle.conformance.peers import V2, Raw
from aspensaddle.conformance.suite import case
from aspensaddle.frontends.quic.initial import INVALID_TOKEN
from aspensaddle.frontends.quic.packets import Packet, long_packets

ALWAYS = Spec(retry_above=0)
RATED = Spec(retry_above=20)
TWO = Spec(retry_above=0, fronts=2)
OWN = Spec(modes=("retry", "retry"))


def retried(bed: Bed, raw: Raw, version: int = 1) -> Packet:
    """The Retry that an Initial of an address draws."""
    raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello()), version), bed.address)
    bed.wait(lambda: raw.got, "a Retry")
    (packet,) = long_packets(raw.got[-1])
    bed.check(packet.type.name == "RETRY" and packet.is_retry_for(bed.id), "a Retry with the tag for this id")
    return packet


def again(packet: Packet, token: bytes | None = None, dcid: bytes | None = None, number: int = 1) -> bytes:
    """The client's Initial after a Retry."""
    return craft.initial(
        packet.scid if dcid is None else dcid,
        craft.SCID,
        craft.crypto(0, craft.client_hello()),
        packet.version,
        packet.token if token is None else token,
        number,
    )


@case("9000-8.1.2", "A client goes on after the front's Retry, and the runner tells the ids of it", ALWAYS)
def goes_on_after_retry(bed: Bed) -> None:
    (client,) = bed.ready()
    home = bed.ask(client)
    client.rebind()
    bed.check(bed.ask(client, b"again") == home, "and stays at its runner")
    bed.check(bed.counted("quic retries") == 1 and bed.counted("quic tokens valid") == 1, "one Retry, one good token")


@case("9000-17.2.5.1", "The id of a Retry is another than the client's, and no larger answer comes", ALWAYS)
def retry_id_differs(bed: Bed) -> None:
    raw = bed.raw()
    packet = retried(bed, raw)
    bed.check(packet.scid != bed.id and len(packet.scid) >= 8, "another id")
    bed.check(len(raw.got[0]) <= 1200 and packet.dcid == craft.SCID, "small, and to the client's id")


@case("9000-17.2.5.2", "An Initial with a good token draws no other Retry", ALWAYS)
def no_second_retry(bed: Bed) -> None:
    raw = bed.raw()
    packet = retried(bed, raw)
    raw.send(again(packet), bed.address)
    bed.wait(lambda: len(raw.got) > 1, "the runner's reply")
    bed.check(all(p.type.name != "RETRY" for d in raw.got[1:] for p in long_packets(d)), "no Retry")


@case("9000-8.1.4", "A token used twice begins one session", ALWAYS)
def token_used_twice(bed: Bed) -> None:
    raw = bed.raw()
    packet = retried(bed, raw)
    for number in (1, 2, 3):
        raw.send(again(packet, number=number), bed.address)
        bed.run(0.1)
    bed.check(bed.counted("quic requests") == 1, "one request")


@case(
    "9000-8.1.4", "A token whose connection was refused is worth nothing more", Spec(modes=("refuse",), retry_above=0)
)
def token_after_refusal(bed: Bed) -> None:
    raw = bed.raw()
    packet = retried(bed, raw)
    raw.send(again(packet), bed.address)
    bed.wait(lambda: len(raw.got) > 1, "the refusal")
    raw.send(again(packet, number=2), bed.address)
    bed.quiet([raw], "the token again")
    bed.check(bed.counted("quic requests") == 1, "one request")


@case("9000-8.1.4", "A token is for the address that it was given to", ALWAYS)
def token_from_elsewhere(bed: Bed) -> None:
    packet, raw = retried(bed, bed.raw()), bed.raw()
    raw.send(again(packet), bed.address)
    bed.wait(lambda: raw.got, "an answer")
    bed.check(closed(raw.got[0], packet.scid) == INVALID_TOKEN, "INVALID_TOKEN")
    raw.send(again(packet, number=2), bed.address)
    bed.quiet([raw], "and once only")


@case("9000-8.1.2", "A token with another id than the Retry gave is invalid", ALWAYS)
def token_misplaced(bed: Bed) -> None:
    raw = bed.raw()
    packet = retried(bed, raw)
    raw.send(again(packet, dcid=b"another-id"), bed.address)
    bed.wait(lambda: len(raw.got) > 1, "an answer")
    bed.check(closed(raw.got[1], b"another-id") == INVALID_TOKEN, "INVALID_TOKEN")


@case("9000-8.1.3", "An expired token is invalid", ALWAYS, slow=True)
def token_expired(bed: Bed) -> None:
    raw = bed.raw()
    packet = retried(bed, raw)
    bed.run(LIFETIME + 0.5)
    raw.send(again(packet), bed.address)
    bed.wait(lambda: len(raw.got) > 1, "an answer")
    bed.check(closed(raw.got[1], packet.scid) == INVALID_TOKEN, "INVALID_TOKEN")


@case("9000-8.1.3", "A forged token is as none: the client is asked for a proof", ALWAYS)
def token_forged(bed: Bed) -> None:
    raw = bed.raw()
    packet = retried(bed, raw)
    forged = packet.token[:-1] + bytes([packet.token[-1] ^ 1])
    raw.send(again(packet, forged), bed.address)
    bed.wait(lambda: len(raw.got) > 1, "an answer")
    bed.check(long_packets(raw.got[1])[0].type.name == "RETRY" and bed.counted("quic requests") == 0, "a Retry")


@case("9000-8.1.3", "A truncated token is as none", ALWAYS)
def token_truncated(bed: Bed) -> None:
    raw = bed.raw()
    packet = retried(bed, raw)
    for number, length in enumerate((1, 12, len(packet.token) - 1)):
        raw.send(again(packet, packet.token[:length], number=number + 1), bed.address)
    bed.wait(lambda: len(raw.got) == 4, "an answer each")
    bed.check(all(long_packets(d)[0].type.name == "RETRY" for d in raw.got), "Retries")


@case("9000-8.1.3", "A token that a runner gave for later is passed on while nobody has to prove anything", RATED)
def token_of_a_runner(bed: Bed) -> None:
    (client,) = bed.ready(token=b"a runner's own, for later connections")
    bed.ask(client)
    bed.check(bed.counted("quic retries") == 0, "no Retry")


@case("9000-8.1.2", "Unproven Initials under the rate draw no Retry, over it all do", RATED)
def retry_over_a_rate(bed: Bed) -> None:
    (client,) = bed.ready()
    bed.ask(client)
    bed.check(bed.counted("quic retries") == 0, "a calm hour")
    raw, hello = bed.raw(), craft.crypto(0, craft.client_hello())
    for i in range(60):
        raw.send(craft.initial(b"%010d" % i, craft.SCID, hello), bed.address)
    bed.wait(lambda: bed.counted("quic retries") >= 30, "Retries in a flood")
    (client,) = bed.ready()
    bed.ask(client)
    bed.check(bed.counted("quic tokens valid") >= 1, "usual clients come through it by a Retry")


@case("9000-8.1", "A Retry costs no state: a flood of Initials leaves no session", ALWAYS)
def flood_leaves_nothing(bed: Bed) -> None:
    raw, hello = bed.raw(), craft.crypto(0, craft.client_hello())
    offered = bed.total("offered")
    for i in range(300):
        raw.send(craft.initial(b"%010d" % i, craft.SCID, hello), bed.address)
        if i % 50 == 0:
            bed.run(0.02)
    bed.run(0.3)
    bed.check(bed.counted("quic requests") == 0 and bed.total("offered") == offered, "no request, no runner asked")
    (client,) = bed.ready()
    bed.ask(client)


@case("retry-offload", "A token of one balancer is good at another that has the key", TWO)
def token_at_another_balancer(bed: Bed) -> None:
    raw = bed.raw()
    packet = retried(bed, raw)
    before = bed.fronts[1].counts().get("quic requests", 0)
    raw.send(again(packet), bed.fronts[1].address)
    bed.wait(lambda: bed.fronts[1].counts().get("quic requests", 0) > before, "the other one places it")


@case("retry-offload", "Runners that share the key read the ids in a token", ALWAYS)
def runner_reads_token(bed: Bed) -> None:
    (client,) = bed.ready()
    seen = [v.value for r in bed.runners for v in r.tokens_seen]
    bed.check(seen and seen[-1] == "valid" and client.ready, "the runner has read it")


@case("9000-8.1.2", "The front's Retry in version 2 has that version's tag and type", ALWAYS)
def retry_in_version_2(bed: Bed) -> None:
    packet = retried(bed, bed.raw(), V2)
    bed.check(packet.version == V2, "version 2")
    (client,) = bed.ready(versions=(V2,))
    bed.ask(client)


@case("9000-17.2.5", "A runner's Retry reaches the client, whose connection goes on at that runner", OWN)
def retry_of_a_runner(bed: Bed) -> None:
    for _ in range(3):
        begun, offered = bed.total("begun"), bed.total("offered")
        (client,) = bed.ready()
        home = bed.ask(client)
        client.rebind()
        bed.check(bed.ask(client, b"again") == home, "it stays there")
        bed.check((bed.total("begun") - begun, bed.total("offered") - offered) == (1, 2), "offered twice, begun once")


@case(
    "9000-17.2.5.2",
    "A client that brings a runner's token to another balancer reaches that runner",
    Spec(modes=("retry", "retry"), fronts=2),
)
def retry_of_a_runner_elsewhere(bed: Bed) -> None:
    client = bed.client()
    client.front = bed.fronts[1].address  # its first Initial is on its way to the first
    bed.wait(lambda: client.ready, "the handshake is done")
    bed.ask(client)
    bed.check(bed.total("begun") == 1, "one runner has it")
