"""QUIC stand-ins on loopback sockets: the clients and servers of the project's conformance suite."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import Any

from aspensaddle.conformance.net import SocketNet
from aspensaddle.conformance.quic_client import ClientOptions, QuicClient
from aspensaddle.conformance.quic_server import RESET_KEY, QuicServer, ServerConnection, ServerMode
from aspensaddle.conformance.testbed import DEFAULT_FORMAT, ids_toml, server_id
from support.processes import free_port


class ResultServer(QuicServer):
    """A server that adds results to each response."""

    results = b""

    def _create_connection(self, dcid: bytes, token: bytes, source: tuple[str, int]) -> ServerConnection:
        connection = super()._create_connection(dcid, token, source)
        send = connection.send_stream_data
        connection.send_stream_data = lambda stream, data, end: send(stream, data + self.results, end)  # type: ignore[method-assign]
        return connection


class LateServer(ResultServer):
    """A server whose sessions may come up late; `late` decides for each, in order. It is sound otherwise."""

    def __init__(self, *arguments: Any) -> None:
        """Start with the arguments of `QuicServer`; `late` gives the seconds that the next session takes."""
        super().__init__(*arguments)
        self.late: Callable[[], float] = lambda: 0.0
        self._up_at: dict[tuple[str, int], float] = {}

    def _create_connection(self, dcid: bytes, token: bytes, source: tuple[str, int]) -> ServerConnection:
        self._up_at[source] = self.net.now() + self.late()
        return super()._create_connection(dcid, token, source)

    def _send(self, data: bytes, destination: tuple[str, int]) -> None:
        wait = self._up_at.get(destination, 0.0) - self.net.now()
        if wait > 0.0:
            self.net.call_later(wait, lambda: self.net.send(self, data, destination))
        else:
            super()._send(data, destination)


def start_servers(
    net: SocketNet, count: int, results: bytes = b"", server_class: type[ResultServer] = ResultServer
) -> list[QuicServer]:
    """Start sound servers that share session tickets and add `results` to each response."""
    tickets: dict[bytes, Any] = {}
    servers: list[QuicServer] = []
    for index in range(count):
        server = server_class(net, f"s-{index}", DEFAULT_FORMAT, ServerMode.OK, tickets, time.time, None)
        server.results = results
        server.server_id = server_id(DEFAULT_FORMAT, server)
        servers.append(server)
    return servers


def entry(server: QuicServer, **fields: Any) -> dict[str, Any]:
    """Return the entry of a server in the list of discovery."""
    return {**server.target(az="surabaya", model="fast-runner"), **fields}


def quic_settings(servers: list[QuicServer], **extra: object) -> tuple[tuple[str, int], str]:
    """Return a free address for the QUIC front end and the operator's file for it."""
    address = ("127.0.0.1", free_port(socket.SOCK_DGRAM))
    more = "".join(f"{name} = {value}\n" for name, value in extra.items())
    return address, (
        f'enabled = true\nlisten = "{address[0]}:{address[1]}"\nclass = "test-run"\n'
        f'reset_key = "{RESET_KEY.hex()}"\n{more}{ids_toml((DEFAULT_FORMAT,), servers)}\n'
    )


def connect(net: SocketNet, address: tuple[str, int], **options: Any) -> QuicClient:
    """Start a client; it sends its first Initial at once."""
    return QuicClient(net, address, ClientOptions(**options))
