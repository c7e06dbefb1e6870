"""A planned restart: the balancer ends without an answer to requests that it has taken."""

from __future__ import annotations

import signal
import sys
import time
from itertools import count
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "review"), str(ROOT / "tests")]

from standins import StubDiscovery  # noqa: E402
from support.processes import Balancer, CannotRunError, settings  # noqa: E402
from support.quic import LateServer, connect, entry, quic_settings, start_servers  # noqa: E402
from support.record import Record, has_trouble, main  # noqa: E402

from aspensaddle.conformance.net import SocketNet  # noqa: E402
from aspensaddle.conformance.quic_client import QuicClient  # noqa: E402

SERVERS = 8
CLIENTS = 9
LATE_EVERY = 3  # a third of the sessions come up late, with the disruption and without
LATE_SECONDS = 0.8  # how late: inside the page's 1.5 s and inside the deadline
DEADLINE_SECONDS = 1.2  # of the class, from the client's first datagram
# The answer slack, the 50 ms on sockets, and the half second in which a late answer only earns nothing.
SLACK_SECONDS = 0.02 + 0.05 + 0.5
SET_UP_SECONDS = 0.1  # what servers take for the others; the settings want an answer in 0.3 s
SIGTERM_SECONDS = 0.2  # from the clients' first datagrams to SIGTERM
KILL_SECONDS = 3.0 + 0.7  # at the longest; the deadlines are 1.2 and 1.8 s, so SIGKILL comes after 2.5 s or later


def answered(client: QuicClient) -> bool:
    """Return whether the client has a final answer: its session is up, or it was refused or failed."""
    return client.handshake_complete or bool(client.terminations)


def play(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule held."""
    net = SocketNet()
    servers = start_servers(net, SERVERS, server_class=LateServer)
    discovery = StubDiscovery([entry(server) for server in servers])
    address, quic_toml = quic_settings(servers, reply_within_s=1.0)
    balancer = Balancer(
        folder / "n0",
        "n0",
        quic_toml,
        discovery=f"127.0.0.1:{discovery.address[1]}",
        known={"rev": 1, "all": True, "targets": [entry(server) for server in servers]},
        settings=settings(),
    )
    try:
        balancer.start(net.run)
        first = connect(net, address)
        if not net.run_until(lambda: first.handshake_complete, 5.0):
            raise CannotRunError("a session could not be set up")
        first.close()
        record.note("the balancer is ready and has placed a session")
        sessions = count(1)

        def late() -> float:
            return SET_UP_SECONDS if next(sessions) % LATE_EVERY else LATE_SECONDS

        for server in servers:
            assert isinstance(server, LateServer)
            server.late = late
        started_at = time.monotonic()
        clients = [connect(net, address) for _ in range(CLIENTS)]
        record.note(f"{CLIENTS} clients have sent their first Initial; they wait {DEADLINE_SECONDS} s for an answer")
        net.run(SIGTERM_SECONDS)
        begun = sum(server.records.connections for server in servers) - 1
        open_count = sum(not answered(client) for client in clients)
        record.note(
            f"the balancer has taken all requests: servers have begun {begun} sessions; {open_count} are open"
        )
        if begun != CLIENTS or open_count != CLIENTS // LATE_EVERY:
            raise CannotRunError("not just a third of the sessions come up late")
        if has_trouble():
            balancer.signal(signal.SIGTERM)
            record.note("SIGTERM is sent; SIGKILL would come no sooner than 2.5 s later")
        return judge(record, net, balancer, clients, started_at)
    finally:
        balancer.kill()
        discovery.close()
        net.close()


def judge(record: Record, net: SocketNet, balancer: Balancer, clients: list[QuicClient], started_at: float) -> bool:
    """Follow the clients to the end of their time; return whether each got an answer."""
    seen: set[int] = set()
    stop_at = started_at + DEADLINE_SECONDS + SLACK_SECONDS
    exited: list[float] = []

    def observe() -> bool:
        if time.monotonic() > started_at + DEADLINE_SECONDS:
            for client in clients:  # its time is over: it sends nothing more, and a late answer still counts
                client.hold_datagrams = not answered(client)
        for number, client in enumerate(clients):
            if answered(client) and number not in seen:
                seen.add(number)
                how = "UP, the session is set up" if client.handshake_complete else f"{client.terminations[0]}"
                record.note(f"client {number} is answered: {how}")
        if not exited and not balancer.is_running:
            exited.append(time.monotonic())
            record.note(f"the balancer has exited by itself with status {balancer.exit_status}")
            balancer.spawn()
            record.note("the platform starts it again, with the same name and addresses")
        return time.monotonic() > stop_at or len(seen) == len(clients)

    net.run_until(observe, KILL_SECONDS)
    lost = [number for number in range(len(clients)) if number not in seen]
    record.note(f"the clients' time is over: {len(seen)} answered, without any answer: {lost}")
    return not lost


main(__file__, play)
