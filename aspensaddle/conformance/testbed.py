"""The testbed of the cases: front ends, servers and the network between them."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from aspensaddle.conformance.frontend import Frontend
from aspensaddle.conformance.memory_frontend import MemoryFrontend
from aspensaddle.conformance.net import Address, MemoryNet, Net, SocketNet
from aspensaddle.conformance.process_frontend import ProcessFrontend
from aspensaddle.conformance.quic_client import ClientOptions, QuicClient
from aspensaddle.conformance.quic_server import RESET_KEY, QuicServer, ServerMode
from aspensaddle.conformance.raw_endpoint import RawEndpoint
from aspensaddle.frontends.quic.connection_ids import IdFormat
from aspensaddle.frontends.quic.retry_tokens import RetryTokens, TokenKey

ID_KEY = b"sixteen octets!!"  # key that encrypts connection IDs
DEFAULT_FORMAT = IdFormat(2, 2, 14, key=ID_KEY)
TOKEN_SECRET = b"the shared key!!"
TOKEN_FILE = f'[[keys]]\nsequence = 5\nkey = "{TOKEN_SECRET.hex()}"\n'
TOKEN_LIFETIME_SECONDS = 8.0
WAIT_TIMEOUT_SECONDS = 15.0


class RequirementNotMetError(Exception):
    """The front end does not meet the requirement of the case; the text names what was expected."""


class NotApplicableError(Exception):
    """The case does not apply to this kind of front end; the text says why."""


@dataclass(frozen=True)
class TestbedSetup:
    """How a testbed is set up. Cases with equal setups share a testbed. Times are in seconds."""

    __test__ = False  # pytest must not collect it as a test class

    modes: tuple[ServerMode, ...] = (ServerMode.OK, ServerMode.OK, ServerMode.OK)
    id_formats: tuple[IdFormat, ...] = (DEFAULT_FORMAT,)  # servers issue connection IDs in the first format
    retry_above_per_second: float | None = None  # rate of unvalidated Initials; Retries are sent above it
    rules: str = ""  # the `[[rules]]` of quic.toml
    extra_settings: str = ""  # more top-level settings of quic.toml
    deadline: float = 3.0
    reply_timeout: float = 1.0  # time limit for a server's first reply
    idle_timeout: float = 30.0  # a session without a datagram for this long ends
    frontends: int = 1
    exclusive: bool = False  # the case changes the testbed permanently and gets one of its own


def ids_toml(id_formats: Iterable[IdFormat], servers: Iterable[QuicServer], extra_lines: str = "") -> str:
    """Return the `[[ids]]` sections of quic.toml for these formats and servers, each with `extra_lines`."""
    sections = []
    for id_format in id_formats:
        key = f'key = "{id_format.key.hex()}"\n' if id_format.key is not None else ""
        names = "".join(f'"{server.uid}" = "{server_id(id_format, server).hex()}"\n' for server in servers)
        sections.append(
            f"[[ids]]\nrotation = {id_format.rotation}\nserver_id_length = {id_format.server_id_length}\n"
            f"nonce_length = {id_format.nonce_length}\nself_length = {str(id_format.self_length).lower()}\n"
            f"{key}{extra_lines}"
            f"[ids.runners]\n{names}"
        )
    return "".join(sections)


def server_id(id_format: IdFormat, server: QuicServer) -> bytes:
    """Return the server ID of a server in a format.

    It depends on the config rotation, so that the same server ID means another server in each format.
    """
    number = int(server.uid.rpartition("-")[2]) + 1
    return (number + 16 * (id_format.rotation % 3)).to_bytes(id_format.server_id_length, "big")


class Testbed:
    """Front ends, servers and the network between them, and the operations and checks of the cases."""

    __test__ = False  # pytest must not collect it as a test class

    def __init__(self, setup: TestbedSetup, folder: Path, memory: bool = False, seed: int = 0) -> None:
        """Start the servers and front ends.

        Args:
            setup: what to start.
            folder: the directory of the front ends' files.
            memory: run engines without sockets, in simulated time, instead of processes.
            seed: the seed of the balancers in simulated time.
        """
        self.setup, self.seed, self.memory = setup, seed, memory
        self.net: Net = MemoryNet() if memory else SocketNet()
        self.tokens = RetryTokens([TokenKey(5, TOKEN_SECRET)], TOKEN_LIFETIME_SECONDS)
        tickets: dict[bytes, Any] = {}
        self.servers: list[QuicServer] = []
        for index, mode in enumerate(setup.modes):
            tokens = self.tokens if setup.retry_above_per_second is not None else None
            server = QuicServer(self.net, f"s-{index}", setup.id_formats[0], mode, tickets, self.unix_time, tokens)
            server.server_id = server_id(setup.id_formats[0], server)
            self.servers.append(server)
        self.frontends: list[Frontend] = [
            self._start_frontend(folder / f"n{index}", f"n{index}") for index in range(setup.frontends)
        ]
        self._endpoints: list[QuicClient | RawEndpoint] = []
        self._initial_counts: dict[str, int] = {}
        self.dcid = b""  # the destination connection ID of packets that a case builds; random in each case

    def unix_time(self) -> float:
        """Return the Unix time."""
        return self.net.now() if self.memory else time.time()

    def settings_toml(self, ids: str = "", extra_settings: str | None = None, rules: str | None = None) -> str:
        """Return the text of this testbed's quic.toml, with those parts replaced that are given."""
        setup = self.setup
        retry = (
            ""
            if setup.retry_above_per_second is None
            else f"[retry]\nabove_per_s = {setup.retry_above_per_second}\n"
            f'keys = "keys.toml"\nlifetime_s = {TOKEN_LIFETIME_SECONDS}\n'
        )
        return (
            f'enabled = true\nlisten = "LISTEN"\nclass = "test-run"\nreset_key = "{RESET_KEY.hex()}"\n'
            f"idle_s = {setup.idle_timeout}\nreply_within_s = {setup.reply_timeout}\n"
            f"{setup.extra_settings if extra_settings is None else extra_settings}\n"
            f"{ids or ids_toml(setup.id_formats, self.servers)}\n{setup.rules if rules is None else rules}\n{retry}"
        )

    def _start_frontend(self, folder: Path, name: str) -> Frontend:
        targets, files = [server.target() for server in self.servers], {"keys.toml": TOKEN_FILE}
        if isinstance(self.net, MemoryNet):
            return MemoryFrontend(
                self.net, folder, self.settings_toml(), targets, self.setup.deadline, self.seed + 1, files
            )
        return ProcessFrontend(
            folder, self.settings_toml(), targets, self.setup.deadline, name, files, self.net.run_until
        )

    @property
    def frontend(self) -> Frontend:
        """The first front end."""
        return self.frontends[0]

    @property
    def address(self) -> Address:
        """The address of the first front end."""
        return self.frontend.address

    def close(self) -> None:
        """Stop the front ends and close the network."""
        for frontend in self.frontends:
            frontend.close()
        self.net.close()

    def begin_case(self) -> None:
        """Choose a connection ID for the next case and record the counters before it."""
        self.dcid = os.urandom(10)
        self._initial_counts = self.frontend.counts()

    def finish_case(self) -> None:
        """Clean up after a case: close its clients, restore the servers' modes and forget their datagrams."""
        for endpoint in self._endpoints:
            endpoint.close()
        self._endpoints.clear()
        for server, mode in zip(self.servers, self.setup.modes, strict=True):
            server.mode = mode
            server.records.recent_datagrams.clear()

    def client(self, frontend: Address | None = None, **options: Any) -> QuicClient:
        """Create a client of the front end at this address, by default the first; `options` as in `ClientOptions`."""
        client = QuicClient(self.net, frontend or self.address, ClientOptions(**options))
        self._endpoints.append(client)
        return client

    def raw_endpoint(self) -> RawEndpoint:
        """Create an endpoint for packets that the case builds."""
        raw = RawEndpoint(self.net)
        self._endpoints.append(raw)
        return raw

    def connected_clients(self, count: int = 1, **options: Any) -> list[QuicClient]:
        """Create clients and wait until their handshakes are complete; `options` as for `client`."""
        clients = [self.client(**options) for _ in range(count)]
        self.wait(lambda: all(client.handshake_complete for client in clients), "complete handshakes")
        return clients

    def request(self, client: QuicClient, text: bytes = b"hello") -> str:
        """Send `text` on a new stream and return the uid of the server that responds."""
        previous = len(client.responses)
        client.send_request(text)
        self.wait(
            lambda: [response for response in client.responses[previous:] if response.endswith(b" " + text)],
            f"the response to {text!r}",
        )
        return (
            next(response for response in client.responses[previous:] if response.endswith(b" " + text))
            .split(b" ", 1)[0]
            .decode()
        )

    def server(self, uid: str) -> QuicServer:
        """Return the server with this uid."""
        return next(server for server in self.servers if server.uid == uid)

    def wait(self, condition: Callable[[], Any], what: str, timeout: float = WAIT_TIMEOUT_SECONDS) -> None:
        """Wait until `condition` holds, or raise `RequirementNotMetError` after `timeout` seconds.

        `what` names what is waited for.
        """
        self.check(self.net.run_until(condition, timeout), f"{what} within {timeout} s")

    def run(self, seconds: float) -> None:
        """Run the network for some seconds."""
        self.net.run(seconds)

    def check(self, value: Any, what: str) -> None:
        """Raise `RequirementNotMetError` unless `value` is true. `what` states what is expected."""
        if not value:
            raise RequirementNotMetError(f"expected {what}")

    def expect_silence(self, endpoints: Iterable[RawEndpoint | QuicClient], what: str, seconds: float = 0.25) -> None:
        """Check that these endpoints receive nothing for some seconds. `what` names what they have sent."""
        endpoints = list(endpoints)
        before = [len(endpoint.received_datagrams) for endpoint in endpoints]
        self.run(seconds)
        self.check([len(endpoint.received_datagrams) for endpoint in endpoints] == before, f"no response to {what}")

    def servers_reached(self, raw: RawEndpoint) -> list[str]:
        """Return the uids of the servers that received what `raw` sent, in the order of sending."""
        return [
            server.uid
            for data in raw.sent_datagrams
            for server in self.servers
            if data in server.records.recent_datagrams
        ]

    def counter_increase(self, name: str) -> int:
        """Return by how much a counter of the first front end has increased since the case began."""
        return self.frontend.counts().get(name, 0) - self._initial_counts.get(name, 0)

    def initials_received(self) -> int:
        """Return how many Initials of new connections all servers have received."""
        return sum(server.records.initials for server in self.servers)

    def connections_started(self) -> int:
        """Return how many connections all servers have accepted."""
        return sum(server.records.connections for server in self.servers)

    def early_requests(self) -> int:
        """Return how many requests the servers received in 0-RTT."""
        return sum(server.records.early_requests for server in self.servers)

    def update_endpoints(self, *targets: dict[str, Any]) -> None:
        """Replace entries of the endpoint list by uid; a target without an `endpoint` removes its server from it."""
        entries = {server.uid: server.target() for server in self.servers}
        entries.update({target["uid"]: target for target in targets})
        for frontend in self.frontends:
            frontend.replace_endpoints([target for target in entries.values() if "endpoint" in target])
