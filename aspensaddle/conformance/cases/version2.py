"""RFC 9369, QUIC version 2, and RFC 9368, compatible and incompatible version negotiation."""

from aspensaddle.conformance.cases.observations import opens_connection
from aspensaddle.conformance.packet_builder import client_hello_frame, initial_packet
from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.conformance.quic_versions import V1, V2
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed, TestbedSetup
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED


@case("9369-3", "A client of version 2 is connected, and keeps its server when it changes its address")
def version_2(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients(versions=(V2,))
    server_uid = testbed.request(client)
    client.rebind()
    client.change_cid()
    testbed.check(testbed.request(client, b"again") == server_uid, "the same server")


@case("9369-3.3", "An Initial under the keys of the other version opens no connection")
def version_2_keys(testbed: Testbed) -> None:
    frames = client_hello_frame()
    version_1, version_2 = (
        initial_packet(testbed.dcid, frames, version=V1),
        initial_packet(testbed.dcid, frames, version=V2),
    )
    testbed.check(
        not opens_connection(testbed, version_2[:1] + V1.to_bytes(4, "big") + version_2[5:]),
        "a version 2 Initial marked as version 1 dropped",
    )
    testbed.check(
        not opens_connection(testbed, version_1[:1] + V2.to_bytes(4, "big") + version_1[5:]),
        "a version 1 Initial marked as version 2 dropped",
    )


@case(
    "9369-3.2", "Packet types have other numbers in version 2: a packet with type 0, its Retry, opens no connection"
)
def version_2_types(testbed: Testbed) -> None:
    data = initial_packet(testbed.dcid, client_hello_frame(), version=V2)
    testbed.check(
        not opens_connection(testbed, bytes([data[0] & ~0x30]) + data[1:]), "type 0 not accepted as an Initial"
    )
    testbed.check(data[0] >> 4 & 3 == 1 and opens_connection(testbed, data), "type 1 accepted as an Initial")


@case("9369-4", "A client that starts in version 1 and offers version 2 is upgraded to it by the server")
def compatible_negotiation(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients(versions=(V2, V1), original_version=V1)
    server_uid = testbed.request(client)
    testbed.check(client.connection._version == V2, f"version 2, not {client.connection._version}")
    testbed.check(client.sent_datagrams[0][1:5] == V1.to_bytes(4, "big"), "a first Initial in version 1")
    client.rebind()
    testbed.check(testbed.request(client, b"again") == server_uid, "the same server")


@case(
    "9368-2.1",
    "A server's Version Negotiation reaches the client, which retries there with another version",
    TestbedSetup(modes=(ServerMode.OK,)),
)
def incompatible_negotiation(testbed: Testbed) -> None:
    testbed.servers[0].versions = (V2,)
    try:
        client = testbed.client(versions=(V1, V2))
        testbed.wait(lambda: client.handshake_complete, "a complete handshake")
        testbed.request(client)
        testbed.check(client.connection._version == V2, "a connection in version 2")
    finally:
        testbed.servers[0].versions = (V1, V2)


@case("9369-3", "A rejection of a version 2 client is in version 2", TestbedSetup(modes=(ServerMode.REFUSE,)))
def version_2_rejection(testbed: Testbed) -> None:
    client = testbed.client(versions=(V2,))
    testbed.wait(lambda: client.terminations, "a rejection")
    testbed.check(client.terminations[0].error_code == CONNECTION_REFUSED, "CONNECTION_REFUSED")
