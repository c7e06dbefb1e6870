"""A balancer is killed and starts again; it resets the live sessions of a server that its old list doesn't name."""

from __future__ import annotations

import sys
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "review"), str(ROOT / "tests")]

from standins import StubDiscovery  # noqa: E402
from support.processes import Balancer, CannotRunError, settings  # noqa: E402
from support.quic import connect, entry, quic_settings, start_servers  # noqa: E402
from support.record import Record, has_trouble, main  # noqa: E402

from aspensaddle.conformance.net import SocketNet  # noqa: E402
from aspensaddle.conformance.quic_client import QuicClient  # noqa: E402
from aspensaddle.conformance.quic_server import QuicServer  # noqa: E402

OLD_SERVERS, JOINED_SERVERS = 8, 2
CLIENTS = 24
LINE_SECONDS = 2.0  # how often a client sends a line
DOWN_SECONDS = 1.0  # from the kill to the new start
AFTER_SECONDS = 10.0  # how long the clients go on after the restart


class LineClient:
    """A client that sends a line every 2 s on its session, and expects each back from its server."""

    def __init__(self, net: SocketNet, number: int, quic: QuicClient) -> None:
        """Use an established session."""
        self.net, self.number, self.quic = net, number, quic
        self.sent: list[bytes] = []
        self.server = ""

    def line(self) -> None:
        """Send the next line, unless the session has ended, and plan the one after it."""
        if self.ended:
            return
        text = b"c%d-line-%d" % (self.number, len(self.sent))
        self.sent.append(text)
        self.quic.send_request(text)
        self.net.call_later(LINE_SECONDS, self.line)

    @property
    def ended(self) -> bool:
        """Whether the session was reset or closed."""
        return self.quic.was_reset or bool(self.quic.terminations)

    @property
    def answered(self) -> set[bytes]:
        """The lines that came back."""
        return {response.split(b" ", 1)[1] for response in self.quic.responses}

    def servers(self) -> set[str]:
        """Return the servers whose lines came."""
        return {response.split(b" ", 1)[0].decode() for response in self.quic.responses}


def play(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule held."""
    net = SocketNet()
    servers = start_servers(net, OLD_SERVERS + JOINED_SERVERS)
    old, joined = servers[:OLD_SERVERS], servers[OLD_SERVERS:]
    discovery = StubDiscovery([entry(server) for server in old])
    address, quic_toml = quic_settings(servers)
    balancer = Balancer(
        folder / "n0",
        "n0",
        quic_toml,
        discovery=f"127.0.0.1:{discovery.address[1]}",
        known={"rev": 1, "all": True, "targets": [entry(server) for server in old]},
        settings=settings(),
    )
    try:
        balancer.start(net.run)
        record.note("the balancer is ready; its list names s-0 to s-7")
        if not net.run_until(lambda: discovery.watch_count, 10.0):
            raise CannotRunError("the balancer did not call discovery")
        discovery.change(*[entry(server) for server in joined])
        net.run(2.0)
        record.note("discovery has told the balancer that s-8 and s-9 have joined (a watch is open)")
        return restart(record, net, servers, balancer, connect_clients(record, net, address))
    finally:
        balancer.kill()
        discovery.close()
        net.close()


def connect_clients(record: Record, net: SocketNet, address: tuple[str, int]) -> list[LineClient]:
    """Open sessions and start their lines, evenly over 2 s."""
    clients = [LineClient(net, number, connect(net, address)) for number in range(CLIENTS)]
    if not net.run_until(lambda: all(client.quic.handshake_complete for client in clients), 5.0):
        raise CannotRunError("not all sessions were set up")
    for client in clients:
        net.call_later(LINE_SECONDS * client.number / CLIENTS, client.line)
    net.run(LINE_SECONDS + 0.5)
    for client in clients:
        if len(client.servers()) != 1 or client.ended:
            raise CannotRunError(f"the session of client {client.number} did not work")
        (client.server,) = client.servers()
    counts = Counter(client.server for client in clients)
    record.note(f"sessions by server: {counts}; each client sends a line every {LINE_SECONDS} s and gets it back")
    if not counts["s-8"] + counts["s-9"]:
        raise CannotRunError("the servers that joined have no session")
    return clients


def restart(
    record: Record, net: SocketNet, servers: list[QuicServer], balancer: Balancer, clients: list[LineClient]
) -> bool:
    """Kill the balancer and start it again, with the list that it was given before; judge the sessions."""
    if has_trouble():
        balancer.kill()
        record.note("the balancer is killed (SIGKILL)")
        net.run(DOWN_SECONDS)
        balancer.start(net.run)
        record.note("it has started again with the same name, addresses and known list (s-0 to s-7)")
    known: set[int] = set()
    stop_at = time.monotonic() + AFTER_SECONDS

    def observe() -> bool:
        for client in clients:
            if client.ended and client.number not in known:
                known.add(client.number)
                how = "a stateless reset" if client.quic.was_reset else f"{client.quic.terminations}"
                record.note(f"client {client.number} on {client.server}: its session was ended by {how}")
        return time.monotonic() > stop_at

    net.run_until(observe, AFTER_SECONDS + 1.0)
    for client in clients:
        missing = [line.decode() for line in client.sent if line not in client.answered]
        record.note(
            f"client {client.number} on {client.server}: {'ENDED' if client.ended else 'goes on'}, "
            f"{len(client.sent)} lines sent, lines without an answer {missing}, servers {sorted(client.servers())}"
        )
    for server in servers:
        alive = sum(client.server == server.uid and not client.ended for client in clients)
        lost = sum(client.server == server.uid and client.ended for client in clients)
        record.note(f"{server.uid} ran all the time: sessions that go on {alive}, cut off {lost}")
    return not known


main(__file__, play)
