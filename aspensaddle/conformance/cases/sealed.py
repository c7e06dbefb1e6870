"""RFC 9001: what can be opened, and what must not be believed."""

import os

from aioquic.quic.packet import encode_quic_retry

from aspensaddle.conformance import craft
from aspensaddle.conformance.bed import Bed, Spec
from aspensaddle.conformance.cases.handshakes import taken
from aspensaddle.conformance.net import Address
from aspensaddle.conformance.suite import case
from aspensaddle.frontends.quic.initial import INTERNAL_ERROR
from aspensaddle.frontends.quic.packets import long_packets

LONE = Spec(modes=("silent",), reply=0.5, deadline=2.0)


@case("9001-5.2", "An Initial under the keys of another id opens nothing")
def wrong_initial_keys(bed: Bed) -> None:
    frames = craft.crypto(0, craft.client_hello())
    bed.check(not taken(bed, craft.initial(bed.id, craft.SCID, frames, keys_from=b"other-id")), "dropped")


@case("9001-5.2", "An Initial under a server's keys opens nothing")
def server_keys(bed: Bed) -> None:
    frames = craft.crypto(0, craft.client_hello())
    bed.check(not taken(bed, craft.initial(bed.id, craft.SCID, frames, server=True)), "dropped")


@case("9001-5.3", "An Initial with any bit changed opens nothing")
def tampered(bed: Bed) -> None:
    data = craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello()))
    for at in (1, 6, 25, 200, 1199):
        bed.check(not taken(bed, data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1 :]), f"octet {at}")


def _speaks(bed: Bed, say: bytes) -> None:
    """Have the lone runner, whoever asks, say something made by hand."""
    runner = bed.runners[0]

    def received(data: bytes, source: Address) -> None:
        bed.net.send(runner, say, source)

    runner.received = received  # type: ignore[method-assign]


def _unspeak(bed: Bed) -> None:
    del bed.runners[0].received


@case("9001-5.2", "A reply that does not open under the client's keys does not count as the runner's", LONE)
def forged_reply(bed: Bed) -> None:
    _speaks(
        bed,
        craft.initial(
            craft.SCID, b"server-id", craft.crypto(0, b"\x02" + bytes(90)), keys_from=b"guessed", server=True
        ),
    )
    raw = bed.raw()
    raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello())), bed.address)
    bed.run(LONE.deadline + 0.5)
    _unspeak(bed)
    bed.check(bed.counted("quic placed") == 0 and len(raw.got) == 1, "not placed, and answered by the front")


@case("9001-5.2", "A close that does not open under the client's keys ends no attempt", LONE)
def forged_close(bed: Bed) -> None:
    frames = craft.close(INTERNAL_ERROR)
    _speaks(bed, craft.initial(craft.SCID, b"server-id", frames, keys_from=b"guessed", server=True))
    raw = bed.raw()
    raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello())), bed.address)
    bed.run(0.3)
    _unspeak(bed)
    bed.check(bed.counted("quic attempts error") == 0 and not raw.got, "the attempt is still out")
    bed.run(LONE.deadline)


@case("9001-5.8", "A runner's Retry without the right tag is not passed on", LONE)
def forged_retry(bed: Bed) -> None:
    _speaks(bed, encode_quic_retry(1, os.urandom(17), craft.SCID, b"another id", b"token"))
    raw = bed.raw()
    raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello())), bed.address)
    bed.run(LONE.deadline + 0.5)
    _unspeak(bed)
    bed.check(all(p.type.name != "RETRY" for d in raw.got for p in long_packets(d)), "no Retry reaches the client")


@case("9001-5.8", "A runner's second Retry is not passed on", LONE)
def second_retry(bed: Bed) -> None:
    _speaks(bed, encode_quic_retry(1, bed.runners[0].issue(), craft.SCID, bed.id, b"token"))
    raw = bed.raw()
    for number in range(3):
        raw.send(craft.initial(bed.id, craft.SCID, craft.crypto(0, craft.client_hello()), number=number), bed.address)
    bed.run(0.5)
    _unspeak(bed)
    bed.check(sum(p.type.name == "RETRY" for d in raw.got for p in long_packets(d)) == 1, "one of them")
    bed.run(LONE.deadline)
