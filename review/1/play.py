"""A server dies after it has run a request that must not run twice; the balancer sends the request to another one."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "review"), str(ROOT / "tests")]

from aioquic.quic.packet import QuicPacketType  # noqa: E402
from standins import StubDiscovery  # noqa: E402
from support.processes import Balancer, CannotRunError, settings  # noqa: E402
from support.quic import connect, entry, quic_settings, start_servers  # noqa: E402
from support.record import Record, has_trouble, main  # noqa: E402

from aspensaddle.conformance.net import SocketNet  # noqa: E402
from aspensaddle.conformance.quic_client import QuicClient  # noqa: E402
from aspensaddle.conformance.quic_server import QuicServer  # noqa: E402
from aspensaddle.frontends.quic.packets import parse_long_header_packets  # noqa: E402

REQUEST = b"submit-1"
SERVERS = 8  # one of them dies: an eighth
SET_UP_SECONDS = 0.15  # what a server takes to answer; the settings want an answer in 0.3 s
DEATH_SECONDS = 0.05  # from the run of the request to the death of its server
GIVE_UP_SECONDS = 1.2  # the class's deadline


def returning_client(net: SocketNet, address: tuple[str, int], first: QuicClient) -> QuicClient:
    """Start a client that sends its request in 0-RTT, with the ticket of its first visit."""
    client = connect(net, address, ticket=first.tickets[0], hold_datagrams=True)
    client.hold_datagrams = False
    held = list(client.held_datagrams)
    early = any(p.type is QuicPacketType.ZERO_RTT for data in held for p in parse_long_header_packets(data))
    if early:
        raise CannotRunError("the client's first flight had 0-RTT before the request was given")
    client.send_request(REQUEST)  # the library sends 0-RTT only after it has built the first flight
    for data in held:
        client.send(data)
    return client


def runs(servers: list[QuicServer]) -> dict[str, int]:
    """Return how often each server ran the request."""
    return {server.uid: server.records.requests.count(REQUEST) for server in servers}


def play(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule held."""
    net = SocketNet()
    servers = start_servers(net, SERVERS)
    discovery = StubDiscovery([entry(server) for server in servers])
    lanes = [{**lane, "repeat": "side_effect"} for lane in settings()["lanes"]]
    address, quic_toml = quic_settings(servers)
    balancer = Balancer(
        folder / "n0",
        "n0",
        quic_toml,
        discovery=f"127.0.0.1:{discovery.address[1]}",
        known={"rev": 1, "all": True, "targets": [entry(server) for server in servers]},
        settings=settings(lanes=lanes),
    )
    try:
        balancer.start(net.run)
        record.note("the balancer is ready; class test-run has the effect side_effect")
        first = connect(net, address)
        if not net.run_until(lambda: first.tickets, 5.0):
            raise CannotRunError("the first visit of the client was not served")
        record.note("the client's first visit was served; it has a session ticket")
        first.close()
        for server in servers:
            server.link_out.delay = SET_UP_SECONDS
            server.records.connections = 0
        return submit(record, net, servers, returning_client(net, address, first))
    finally:
        balancer.kill()
        record.note("the balancer's log:")
        for line in (balancer.folder / "log").read_text().splitlines():
            if '"quic' in line:
                record.note("  " + line[:400])
        discovery.close()
        net.close()


def submit(record: Record, net: SocketNet, servers: list[QuicServer], client: QuicClient) -> bool:
    """Follow the request of a client; its first server dies once it has run it."""
    record.note(f"the client sends the request {REQUEST!r} once, on one connection")
    dead: list[str] = []

    def observe() -> bool:
        for server in servers:
            if has_trouble() and not dead and REQUEST in server.records.requests:
                dead.append(server.uid)
                record.note(f"{server.uid} has run the request; its process dies in {DEATH_SECONDS} s")

                def die(server: QuicServer = server) -> None:
                    server.close()
                    record.note(f"{server.uid} is dead; its port is closed")

                net.call_later(DEATH_SECONDS, die)
        return bool(client.responses or client.terminations)

    net.run_until(observe, GIVE_UP_SECONDS)
    net.run(0.3)
    for server in servers:
        begun, ran = server.records.connections, runs(servers)[server.uid]
        if begun or ran:
            record.note(f"{server.uid}: sessions begun for it {begun}, runs of {REQUEST!r} {ran}")
    record.note(f"the client got the responses {client.responses} and the ends {client.terminations}")
    total = sum(runs(servers).values())
    if not total:
        raise CannotRunError("no server ran the request")
    return total == 1


main(__file__, play)
