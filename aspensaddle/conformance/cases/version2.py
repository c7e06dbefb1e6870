"""RFC 9369, version 2, and RFC 9368, version negotiation that is compatible or not."""

from aspensaddle.conformance import craft
from aspensaddle.conformance.bed import Bed, Spec
from aspensaddle.conformance.cases.handshakes import taken
from aspensaddle.conformance.peers import V1, V2
from aspensaddle.conformance.suite import case
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED


@case("9369-3", "A client of version 2 is placed, served, and found after it moves")
def version_2(bed: Bed) -> None:
    (client,) = bed.ready(versions=(V2,))
    home = bed.ask(client)
    client.rebind()
    client.change_id()
    bed.check(bed.ask(client, b"again") == home, "the same runner")


@case("9369-3.3", "An Initial of version 2 under version 1's keys opens nothing, nor the other way round")
def version_2_keys(bed: Bed) -> None:
    frames = craft.crypto(0, craft.client_hello())
    one, two = craft.initial(bed.id, craft.SCID, frames, V1), craft.initial(bed.id, craft.SCID, frames, V2)
    bed.check(not taken(bed, two[:1] + V1.to_bytes(4, "big") + two[5:]), "2 as 1")
    bed.check(not taken(bed, one[:1] + V2.to_bytes(4, "big") + one[5:]), "1 as 2")


@case("9369-3.2", "Packet types have other numbers in version 2: its Retry type opens nothing as an Initial")
def version_2_types(bed: Bed) -> None:
    data = craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello()), V2)
    bed.check(not taken(bed, bytes([data[0] & ~0x30]) + data[1:]), "type 0 is none")
    bed.check(data[0] >> 4 & 3 == 1 and taken(bed, data), "an Initial has type 1")


@case("9369-4", "A client that begins in version 1 and offers 2 is moved to it by the runner")
def compatible_negotiation(bed: Bed) -> None:
    (client,) = bed.ready(versions=(V2, V1), original=V1)
    home = bed.ask(client)
    bed.check(client.connection._version == V2, f"version 2, not {client.connection._version}")
    bed.check(client.sent[0][1:5] == V1.to_bytes(4, "big"), "begun in version 1")
    client.rebind()
    bed.check(bed.ask(client, b"again") == home, "the same runner")


@case(
    "9368-2.1",
    "A runner's Version Negotiation reaches the client, which comes again with another version there",
    Spec(modes=("ok",)),
)
def incompatible_negotiation(bed: Bed) -> None:
    bed.runners[0].versions = (V2,)
    try:
        client = bed.client(versions=(V1, V2))
        bed.wait(lambda: client.ready, "the handshake is done")
        bed.ask(client)
        bed.check(client.connection._version == V2, "in version 2")
    finally:
        bed.runners[0].versions = (V1, V2)


@case("9369-3", "A refusal of a version 2 client is in version 2", Spec(modes=("refuse",)))
def version_2_refusal(bed: Bed) -> None:
    client = bed.client(versions=(V2,))
    bed.wait(lambda: client.ended, "a refusal")
    bed.check(client.ended[0].error_code == CONNECTION_REFUSED, "CONNECTION_REFUSED")
