"""RFC 9369, version 2, and RFC 9368, version negotiation that is compatible or not."""

from aspensaddle.conformance.cases.observations import opens_connection
from aspensaddle.conformance.packet_builder import client_hello_frame, initial_packet
from aspensaddle.conformance.quic_server import ServerMode
from aspensaddle.conformance.quic_versions import V1, V2
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed, TestbedSetup
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED


@case("9369-3", "A client of version 2 is placed, served, and found after it moves")
def version_2(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients(versions=(V2,))
    home = testbed.ask(client)
    client.rebind()
    client.change_id()
    testbed.check(testbed.ask(client, b"again") == home, "the same runner")


@case("9369-3.3", "An Initial of version 2 under version 1's keys opens nothing, nor the other way round")
def version_2_keys(testbed: Testbed) -> None:
    frames = client_hello_frame()
    one, two = (initial_packet(testbed.id, frames, version=V1), initial_packet(testbed.id, frames, version=V2))
    testbed.check(not opens_connection(testbed, two[:1] + V1.to_bytes(4, "big") + two[5:]), "2 as 1")
    testbed.check(not opens_connection(testbed, one[:1] + V2.to_bytes(4, "big") + one[5:]), "1 as 2")


@case("9369-3.2", "Packet types have other numbers in version 2: its Retry type opens nothing as an Initial")
def version_2_types(testbed: Testbed) -> None:
    data = initial_packet(testbed.id, client_hello_frame(), version=V2)
    testbed.check(not opens_connection(testbed, bytes([data[0] & ~0x30]) + data[1:]), "type 0 is none")
    testbed.check(data[0] >> 4 & 3 == 1 and opens_connection(testbed, data), "an Initial has type 1")


@case("9369-4", "A client that begins in version 1 and offers 2 is moved to it by the runner")
def compatible_negotiation(testbed: Testbed) -> None:
    (client,) = testbed.connected_clients(versions=(V2, V1), original=V1)
    home = testbed.ask(client)
    testbed.check(client.connection._version == V2, f"version 2, not {client.connection._version}")
    testbed.check(client.sent[0][1:5] == V1.to_bytes(4, "big"), "begun in version 1")
    client.rebind()
    testbed.check(testbed.ask(client, b"again") == home, "the same runner")


@case(
    "9368-2.1",
    "A runner's Version Negotiation reaches the client, which comes again with another version there",
    TestbedSetup(modes=(ServerMode.OK,)),
)
def incompatible_negotiation(testbed: Testbed) -> None:
    testbed.servers[0].versions = (V2,)
    try:
        client = testbed.client(versions=(V1, V2))
        testbed.wait(lambda: client.ready, "the handshake is done")
        testbed.ask(client)
        testbed.check(client.connection._version == V2, "in version 2")
    finally:
        testbed.servers[0].versions = (V1, V2)


@case("9369-3", "A refusal of a version 2 client is in version 2", TestbedSetup(modes=(ServerMode.REFUSE,)))
def version_2_refusal(testbed: Testbed) -> None:
    client = testbed.client(versions=(V2,))
    testbed.wait(lambda: client.ended, "a refusal")
    testbed.check(client.ended[0].error_code == CONNECTION_REFUSED, "CONNECTION_REFUSED")
