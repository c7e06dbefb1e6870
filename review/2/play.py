"""A client changes its address and comes back; a balancer that it had left has ended its live session."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "review"), str(ROOT / "tests")]

from standins import StubDiscovery  # noqa: E402
from support.processes import Balancer, CannotRunError, settings  # noqa: E402
from support.quic import connect, entry, quic_settings, start_servers  # noqa: E402
from support.record import Record, has_trouble, main  # noqa: E402

from aspensaddle.conformance.link import Link  # noqa: E402
from aspensaddle.conformance.net import SocketNet  # noqa: E402
from aspensaddle.conformance.quic_client import QuicClient  # noqa: E402

SERVERS = 8
CLIENTS = 6
LINE_SECONDS = 2.0  # how often a client sends a line
LINES_BEFORE = 2  # through n0, from the first address
LINES_AWAY = 4  # through n1, from the second address
LINES_AFTER = 4  # through n0, from the third address
RESULT_BYTES = 20_000  # what a line brings back: results of a test run
CLIENT_DELAY_SECONDS = 0.001  # one way between a client and the balancers
FIRST, SECOND = 0, 1  # the balancers


class LineClient:
    """A client whose session carries a line every 2 s; each brings results back from its server."""

    def __init__(self, record: Record, net: SocketNet, number: int, addresses: list[tuple[str, int]]) -> None:
        """Start the session through n0."""
        self.record, self.net, self.number, self.addresses = record, net, number, addresses
        self.balancer = FIRST
        self.quic: QuicClient = connect(
            net, addresses[FIRST], link_in=Link(delay=CLIENT_DELAY_SECONDS), link_out=Link(delay=CLIENT_DELAY_SECONDS)
        )
        self.sent: list[bytes] = []

    def use_address_of(self, balancer: int) -> None:
        """Change the source port; the front deals the new address to a balancer."""
        self.quic.rebind()
        self.quic.frontend_address = self.addresses[balancer]
        self.balancer = balancer
        port = self.quic.address[1]
        self.record.note(f"client {self.number} has a new address, port {port}; the front deals it to n{balancer}")

    def send_line(self) -> None:
        """Send the next line."""
        self.sent.append(b"c%d-line-%d " % (self.number, len(self.sent)))
        self.quic.send_request(self.sent[-1])

    @property
    def ended(self) -> bool:
        """Whether the session was reset or closed."""
        return self.quic.was_reset or bool(self.quic.terminations)

    @property
    def received(self) -> bytes:
        """All that has come back."""
        return b"".join(self.quic.responses)

    @property
    def unanswered(self) -> list[str]:
        """The lines that did not come back."""
        return [line.decode() for line in self.sent if line not in self.received]

    @property
    def servers(self) -> list[str]:
        """The servers that sent lines back."""
        return [f"s-{n}" for n in range(SERVERS) if b"s-%d c%d" % (n, self.number) in self.received]


def play_lines(net: SocketNet, clients: list[LineClient], count: int) -> None:
    """Let each client send so many lines, one every 2 s."""
    for _ in range(count):
        for client in clients:
            if not client.ended:
                client.send_line()
        net.run(LINE_SECONDS)


def play(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule held."""
    net = SocketNet()
    servers = start_servers(net, SERVERS, b"." * RESULT_BYTES)
    entries = [entry(server) for server in servers]
    discovery = StubDiscovery(entries)
    balancers, addresses = [], []
    for index in range(2):
        address, quic_toml = quic_settings(servers)
        addresses.append(address)
        balancers.append(
            Balancer(
                folder / f"n{index}",
                f"n{index}",
                quic_toml,
                discovery=f"127.0.0.1:{discovery.address[1]}",
                known={"rev": 1, "all": True, "targets": entries},
                settings=settings(index=index),
            )
        )
    try:
        for balancer in balancers:
            balancer.start(net.run)
        record.note("n0 and n1 are ready; both know all servers")
        clients = [LineClient(record, net, number, addresses) for number in range(CLIENTS)]
        if not net.run_until(lambda: all(client.quic.handshake_complete for client in clients), 5.0):
            raise CannotRunError("not all sessions were set up")
        net.run(0.5)
        return play_sessions(record, net, clients)
    finally:
        for balancer in balancers:
            balancer.kill()
            record.note(f"ends of sessions in the log of {balancer.config['name']}:")
            for line in (balancer.folder / "log").read_text().splitlines():
                if '"quic ended"' in line:
                    record.note("  " + line)
        discovery.close()
        net.close()


def play_sessions(record: Record, net: SocketNet, clients: list[LineClient]) -> bool:
    """Play the sessions before, during and after the change of address; return whether all go on."""
    play_lines(net, clients, LINES_BEFORE)
    for client in clients:
        if client.ended or client.unanswered or len(client.servers) != 1:
            raise CannotRunError(f"the session of client {client.number} does not work")
        record.note(f"client {client.number}: its session is on {client.servers[0]}, all lines answered")
    if has_trouble():
        for client in clients:
            client.use_address_of(SECOND)
    play_lines(net, clients, LINES_AWAY)
    record.note(f"{sum(not client.ended and not client.unanswered for client in clients)} sessions go on")
    if has_trouble():
        for client in clients:
            client.use_address_of(FIRST)
    play_lines(net, clients, LINES_AFTER)
    net.run(1.0)
    for client in clients:
        state = (
            "goes on"
            if not client.ended
            else "CUT OFF by " + ("a stateless reset" if client.quic.was_reset else f"{client.quic.terminations}")
        )
        record.note(
            f"client {client.number} on {client.servers}: {state}; {len(client.sent)} lines sent, "
            f"without an answer {client.unanswered}"
        )
    record.note("all servers ran and answered all the time, and no other process was disturbed")
    return not any(client.ended for client in clients)


main(__file__, play)
