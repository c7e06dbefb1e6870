"""Case 9: a QUIC client changes its source port every few seconds while its runner streams results."""

from __future__ import annotations

import contextlib
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support2"))
sys.path.insert(0, str(FOLDER.parents[1]))

import rig  # noqa: E402
from aioquic.quic import events  # noqa: E402

from aspensaddle.conformance.net import SocketNet  # noqa: E402
from aspensaddle.conformance.quic_client import ClientOptions, QuicClient  # noqa: E402
from aspensaddle.conformance.quic_server import (  # noqa: E402
    RESET_KEY,
    QuicServer,
    ServerConnection,
    ServerMode,
)
from aspensaddle.frontends.quic.connection_ids import IdFormat  # noqa: E402

CLIENTS = 4
CHANGES = 5
CHANGE_INTERVAL = 3.0  # BRIEF: a client that changes its source port every few seconds
RESULT_BYTES = 20_000  # BRIEF: a runner runs submitted code and streams the results back
HELD_LIMIT = 1.0 + rig.SOCKET_SLACK + rig.MEASURING_SLACK  # PROTOCOL: no line is held back for over a second
SERVER_ID = b"\x00\x01"

# The limits are those of deploy/quic.toml, which are left out here and so have their defaults.
QUIC_TOML = f"""
enabled = true
listen = "LISTEN"
class = "test-run"
reset_key = "{RESET_KEY.hex()}"

[[ids]]
rotation = 0
server_id_length = {len(SERVER_ID)}
nonce_length = 14

[runners]
"s-0" = "{SERVER_ID.hex()}"
"""


class StreamingRunner(QuicServer):
    """A runner that answers each line at once, with a result of some size.

    Attributes:
        answered: The lines that it has answered.
    """

    def __init__(self, record: rig.Record, net: SocketNet) -> None:
        self._record, self.answered = record, list[bytes]()
        super().__init__(net, "s-0", IdFormat(0, len(SERVER_ID), 14), ServerMode.OK, {}, time.time, None)
        self.server_id = SERVER_ID

    def _process_events(self, connection: ServerConnection) -> None:
        while (event := connection.next_event()) is not None:
            if isinstance(event, events.StreamDataReceived) and event.end_stream:
                self._record(f"s-0 got {event.data.decode()}, answers with {RESULT_BYTES} bytes")
                self.answered.append(event.data)
                connection.send_stream_data(event.stream_id, bytes(RESULT_BYTES), end_stream=True)
            elif isinstance(event, events.ConnectionTerminated) and connection in self._connections:
                self._connections.remove(connection)
        super()._process_events(connection)


def received(client: QuicClient) -> int:
    """Return how many bytes of results a client has got."""
    return sum(map(len, client.responses))


def play(record: rig.Record, folder: Path, stack: contextlib.ExitStack) -> bool:
    """Play the case; return whether the rule held."""
    net = SocketNet()
    stack.callback(net.close)
    runner = StreamingRunner(record, net)
    frontend = (rig.HOST, rig.free_port(socket.SOCK_DGRAM))
    balancer = rig.Balancer(
        record,
        folder / "n0",
        quic_toml=QUIC_TOML.replace("LISTEN", f"{frontend[0]}:{frontend[1]}"),
        settings={**rig.SETTINGS, "discovery": "pushed"},
        known={"rev": 41, "all": True, "targets": [runner.target(az="surabaya")]},
    )
    stack.callback(balancer.close)
    balancer.start()
    clients = [QuicClient(net, frontend, ClientOptions()) for _ in range(CLIENTS)]
    if not net.run_until(lambda: all(client.handshake_complete for client in clients), 3.0):
        raise rig.CannotRunError("not every session came up")

    held = 0
    for change in range(CHANGES + 1):
        begun = time.monotonic()
        for number, client in enumerate(clients):
            if change and rig.with_trouble():
                client.rebind()
            line = b"line %d of client %d" % (change, number)
            expected, sent_at = RESULT_BYTES * (change + 1), time.monotonic()
            client.send_request(line)
            net.run_until(lambda c=client, e=expected: received(c) >= e, HELD_LIMIT)  # type: ignore[misc]
            missing, after = expected - received(client), time.monotonic() - sent_at
            record(f"{line.decode()} from port {client.address[1]}: {missing} bytes missing after {after:.3f} s")
            if missing > 0 and line in runner.answered:
                held += 1
        net.run(max(0.0, begun + CHANGE_INTERVAL - time.monotonic()))
    final = [RESULT_BYTES * (CHANGES + 1) - received(client) for client in clients]
    record(f"at the end the clients lack {final} bytes of the results that the runner has sent")
    if held:
        record(f"broken: {held} results were held back for over a second")
    return not held


if __name__ == "__main__":
    sys.exit(rig.run_case(FOLDER, play))
