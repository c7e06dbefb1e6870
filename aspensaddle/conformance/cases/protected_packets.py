"""RFC 9001: packets under wrong keys, and replies that the client's keys do not authenticate."""

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

SILENT_SERVER = TestbedSetup(modes=(ServerMode.SILENT,), reply_timeout=0.5, deadline=2.0)


@case("9001-5.2", "An Initial under the keys of another connection ID opens no connection")
def keys_of_another_cid(testbed: Testbed) -> None:
    frames = client_hello_frame()
    testbed.check(
        not opens_connection(testbed, initial_packet(testbed.dcid, frames, keys_dcid=b"other-id")),
        "the Initial dropped",
    )


@case("9001-5.2", "An Initial under a server's keys opens no connection")
def server_keys(testbed: Testbed) -> None:
    frames = client_hello_frame()
    testbed.check(
        not opens_connection(testbed, initial_packet(testbed.dcid, frames, from_server=True)), "the Initial dropped"
    )


@case("9001-5.3", "An Initial with any bit changed opens no connection")
def changed_initial(testbed: Testbed) -> None:
    data = initial_packet(testbed.dcid, client_hello_frame())
    for at in (1, 6, 25, 200, 1199):
        testbed.check(
            not opens_connection(testbed, data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1 :]),
            f"an Initial with a change in byte {at} dropped",
        )


def _replace_replies(testbed: Testbed, datagram: bytes) -> None:
    """Make the only server reply to every datagram with this one."""
    server = testbed.servers[0]

    def reply(data: bytes, source: Address) -> None:
        testbed.net.send(server, datagram, source)

    server.handle_datagram = reply  # type: ignore[method-assign]


def _restore_replies(testbed: Testbed) -> None:
    """Make the only server handle datagrams itself again."""
    del testbed.servers[0].handle_datagram


@case("9001-5.2", "A reply that the client's keys do not decrypt does not count as the server's", SILENT_SERVER)
def forged_reply(testbed: Testbed) -> None:
    _replace_replies(
        testbed,
        initial_packet(
            CLIENT_CONNECTION_ID,
            crypto_frame(0, b"\x02" + bytes(90)),
            scid=b"server-id",
            keys_dcid=b"guessed",
            from_server=True,
        ),
    )
    raw = testbed.raw_endpoint()
    raw.send(initial_packet(testbed.dcid, client_hello_frame()), testbed.address)
    testbed.run(SILENT_SERVER.deadline + 0.5)
    _restore_replies(testbed)
    testbed.check(
        testbed.counter_increase("quic placed") == 0 and len(raw.received_datagrams) == 1,
        "no established session, and a response of the front end",
    )


@case("9001-5.2", "A close that the client's keys do not decrypt ends no attempt", SILENT_SERVER)
def forged_close(testbed: Testbed) -> None:
    frames = connection_close_frame(INTERNAL_ERROR)
    _replace_replies(
        testbed,
        initial_packet(CLIENT_CONNECTION_ID, frames, scid=b"server-id", keys_dcid=b"guessed", from_server=True),
    )
    raw = testbed.raw_endpoint()
    raw.send(initial_packet(testbed.dcid, client_hello_frame()), testbed.address)
    testbed.run(0.3)
    _restore_replies(testbed)
    testbed.check(
        testbed.counter_increase("quic attempts error") == 0 and not raw.received_datagrams,
        "the attempt still in progress",
    )
    testbed.run(SILENT_SERVER.deadline)


@case("9001-5.8", "A server's Retry with a wrong integrity tag is not forwarded", SILENT_SERVER)
def forged_retry(testbed: Testbed) -> None:
    _replace_replies(testbed, encode_quic_retry(1, os.urandom(17), CLIENT_CONNECTION_ID, b"another id", b"token"))
    raw = testbed.raw_endpoint()
    raw.send(initial_packet(testbed.dcid, client_hello_frame()), testbed.address)
    testbed.run(SILENT_SERVER.deadline + 0.5)
    _restore_replies(testbed)
    testbed.check(
        all(p.type.name != "RETRY" for d in raw.received_datagrams for p in parse_long_header_packets(d)),
        "no Retry at the client",
    )


@case("9001-5.8", "A server's second Retry is not forwarded", SILENT_SERVER)
def second_retry(testbed: Testbed) -> None:
    _replace_replies(
        testbed, encode_quic_retry(1, testbed.servers[0].issue(), CLIENT_CONNECTION_ID, testbed.dcid, b"token")
    )
    raw = testbed.raw_endpoint()
    for number in range(3):
        raw.send(initial_packet(testbed.dcid, client_hello_frame(), number=number), testbed.address)
    testbed.run(0.5)
    _restore_replies(testbed)
    testbed.check(
        sum(p.type.name == "RETRY" for d in raw.received_datagrams for p in parse_long_header_packets(d)) == 1,
        "one Retry at the client",
    )
    testbed.run(SILENT_SERVER.deadline)
