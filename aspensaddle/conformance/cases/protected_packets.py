"""RFC 9001: what can be opened, and what must not be believed."""

import os

from aioquic.quic.packet import encode_quic_retry

from aspensaddle.conformance.cases.observations import opens_connection
from aspensaddle.conformance.net import Address
from aspensaddle.conformance.packet_builder import (
    CLIENT_CONNECTION_ID,
    client_hello_frame,
    connection_close_frame,
    crypto_frame,
    initial_packet,
)
from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed, TestbedSetup
from aspensaddle.frontends.quic.initial import INTERNAL_ERROR
from aspensaddle.frontends.quic.packets import parse_long_header_packets

LONE = TestbedSetup(modes=(ServerMode.SILENT,), reply=0.5, deadline=2.0)


@case("9001-5.2", "An Initial under the keys of another id opens nothing")
def wrong_initial_keys(testbed: Testbed) -> None:
    frames = client_hello_frame()
    testbed.check(not opens_connection(testbed, initial_packet(testbed.id, frames, keys_from=b"other-id")), "dropped")


@case("9001-5.2", "An Initial under a server's keys opens nothing")
def server_keys(testbed: Testbed) -> None:
    frames = client_hello_frame()
    testbed.check(not opens_connection(testbed, initial_packet(testbed.id, frames, server=True)), "dropped")


@case("9001-5.3", "An Initial with any bit changed opens nothing")
def tampered(testbed: Testbed) -> None:
    data = initial_packet(testbed.id, client_hello_frame())
    for at in (1, 6, 25, 200, 1199):
        testbed.check(
            not opens_connection(testbed, data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1 :]), f"octet {at}"
        )


def _speaks(testbed: Testbed, say: bytes) -> None:
    """Have the lone runner, whoever asks, say something made by hand."""
    server = testbed.servers[0]

    def received(data: bytes, source: Address) -> None:
        testbed.net.send(server, say, source)

    server.received = received  # type: ignore[method-assign]


def _unspeak(testbed: Testbed) -> None:
    del testbed.servers[0].received


@case("9001-5.2", "A reply that does not open under the client's keys does not count as the runner's", LONE)
def forged_reply(testbed: Testbed) -> None:
    _speaks(
        testbed,
        initial_packet(
            CLIENT_CONNECTION_ID,
            crypto_frame(0, b"\x02" + bytes(90)),
            scid=b"server-id",
            keys_from=b"guessed",
            server=True,
        ),
    )
    raw = testbed.raw_endpoint()
    raw.send(initial_packet(testbed.id, client_hello_frame()), testbed.address)
    testbed.run(LONE.deadline + 0.5)
    _unspeak(testbed)
    testbed.check(testbed.counted("quic placed") == 0 and len(raw.got) == 1, "not placed, and answered by the front")


@case("9001-5.2", "A close that does not open under the client's keys ends no attempt", LONE)
def forged_close(testbed: Testbed) -> None:
    frames = connection_close_frame(INTERNAL_ERROR)
    _speaks(
        testbed, initial_packet(CLIENT_CONNECTION_ID, frames, scid=b"server-id", keys_from=b"guessed", server=True)
    )
    raw = testbed.raw_endpoint()
    raw.send(initial_packet(testbed.id, client_hello_frame()), testbed.address)
    testbed.run(0.3)
    _unspeak(testbed)
    testbed.check(testbed.counted("quic attempts error") == 0 and not raw.got, "the attempt is still out")
    testbed.run(LONE.deadline)


@case("9001-5.8", "A runner's Retry without the right tag is not passed on", LONE)
def forged_retry(testbed: Testbed) -> None:
    _speaks(testbed, encode_quic_retry(1, os.urandom(17), CLIENT_CONNECTION_ID, b"another id", b"token"))
    raw = testbed.raw_endpoint()
    raw.send(initial_packet(testbed.id, client_hello_frame()), testbed.address)
    testbed.run(LONE.deadline + 0.5)
    _unspeak(testbed)
    testbed.check(
        all(p.type.name != "RETRY" for d in raw.got for p in parse_long_header_packets(d)),
        "no Retry reaches the client",
    )


@case("9001-5.8", "A runner's second Retry is not passed on", LONE)
def second_retry(testbed: Testbed) -> None:
    _speaks(testbed, encode_quic_retry(1, testbed.servers[0].issue(), CLIENT_CONNECTION_ID, testbed.id, b"token"))
    raw = testbed.raw_endpoint()
    for number in range(3):
        raw.send(initial_packet(testbed.id, client_hello_frame(), number=number), testbed.address)
    testbed.run(0.5)
    _unspeak(testbed)
    testbed.check(
        sum(p.type.name == "RETRY" for d in raw.got for p in parse_long_header_packets(d)) == 1, "one of them"
    )
    testbed.run(LONE.deadline)
