"""Stand-ins for what the balancer connects to, servers and discovery over TCP, and the balancer as a process.

The stand-ins are written from the protocol. Each listens at a free loopback port and serves in threads until closed.
"""

from __future__ import annotations

import json
import os
import queue
import resource
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from io import BufferedReader
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LISTEN_BACKLOG = 1024  # connections; a full queue would delay a test's connections by 1 s
TIMEOUT_SECONDS = 20.0  # limit of every wait; what is waited for takes far less

SETTINGS: dict[str, Any] = {
    "discovery": "on_request",
    "failure-domains": ["surabaya", "semarang"],
    "locality": 0,
    "fleet-size": 1,
    "family-info": {"groups": True, "message-aim": [0.15, 0.06], "mode": "proxy"},
    "guarantees": {
        "answer-slack": 0.02,
        "cold-share": 0.12,
        "drain-grace": 2.0,
        "fall": 2.0,
        "must-ask-in": 0.2,
        "tip-multiple": 4.0,
        "warm-after": 24.0,
    },
    "lanes": [
        {"aim": 0.3, "deadline": 3.0, "name": "test-run", "repeat": "pure", "worth": 5.0},
        {"aim": 0.3, "deadline": 3.0, "name": "draft-save", "repeat": "pure", "worth": 3.0},
    ],
    "limits": {"connect-timeout": 0.25, "most-tries": 6, "retry-after": True, "max-retry-after": 1.0, "cancel": True},
}


def wait_until(condition: Callable[[], Any], description: str = "") -> Any:
    """Call `condition` until its result is true, and return that; fail after the timeout with the description."""
    give_up_at = time.monotonic() + TIMEOUT_SECONDS
    while not (value := condition()):
        assert time.monotonic() < give_up_at, f"timed out waiting for {description}"
        time.sleep(0.01)
    return value


class ThreadedServer:
    """A TCP server that serves each connection in a thread of its own.

    Attributes:
        connections: All accepted connections.
        closed: Set by `close`.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.connections: list[socket.socket] = []
        self.closed = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def wait_to_accept(self) -> None:
        """Block until the next connection may be accepted; a subclass may override this."""

    def _accept(self) -> None:
        while True:
            self.wait_to_accept()
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            self.serve(connection)
        except OSError:
            pass
        finally:
            connection.close()

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection, which is closed after the return."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop accepting and shut down all connections."""
        self.closed.set()
        for sock in (self.listener, *self.connections):
            with suppress(OSError):  # closed already
                sock.shutdown(socket.SHUT_RDWR)  # a close alone would not end an accept that is waiting
        self.listener.close()


def reset(connection: socket.socket) -> None:
    """Close a connection with a reset (SO_LINGER with a timeout of 0), as if its process had died."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class StubServer(ThreadedServer):
    """A server that sends `response` to the first line of a connection and, once established, echoes further lines.

    Attributes:
        response: The response to a first line, in which `UP r` gets the server's uid; empty: none is sent. It applies
            to connections accepted after a change.
        first_lines: The first line of each connection, without health checks.
        hold_connections: Respond to no first line; the test gets the connection from `next_held_connection`.
        held_connections: Connections that are held, each with its first line.
        discard_lines: Send no echo of the lines on established connections.
        health_check_count: The number of health checks received.
        load_report: The response to a health check; empty: none is sent.
    """

    def __init__(self, uid: str, response: bytes = b"UP r\r\n") -> None:
        self.uid, self.response, self.first_lines = uid, response, list[bytes]()
        self.hold_connections = False
        self.held_connections: queue.Queue[tuple[socket.socket, bytes]] = queue.Queue()
        self.discard_lines = False
        self.health_check_count = 0
        self.load_report = b"NO\r\n"
        super().__init__()

    def serve(self, connection: socket.socket) -> None:
        with connection.makefile("rb") as lines:
            while (first := lines.readline()) == b"STATS\r\n":
                self.health_check_count += 1
                connection.sendall(self.load_report)
            if not first:
                return
            self.first_lines.append(first)
            if not self.hold_connections:
                self._serve_request(connection, lines)
                return
        self.held_connections.put((connection, first))
        self.closed.wait()

    def _serve_request(self, connection: socket.socket, lines: BufferedReader) -> None:
        if not self.response:  # silent until the balancer gives up
            lines.readline()
            return
        connection.sendall(self.response.replace(b"UP r", b"UP " + self.uid.encode()))
        if not self.response.startswith(b"UP"):
            return
        for line in lines:
            if line.startswith(b"QUIT"):
                connection.sendall(b"BYE\r\n")
                return
            if not self.discard_lines:
                connection.sendall(line)

    def next_held_connection(self) -> tuple[socket.socket, bytes]:
        """Wait for the next connection that is held; return it and its first line."""
        return self.held_connections.get(timeout=TIMEOUT_SECONDS)

    def endpoint_entry(self, **fields: Any) -> dict[str, Any]:
        """Return the entry of this server in the endpoint list, with `fields` added or replaced."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.address[1]}",
            "az": "surabaya",
            "model": "m",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
            **fields,
        }


class StubDiscovery(ThreadedServer):
    """A discovery service: responds to a call with the full endpoint list, and sends each change on the watches.

    Attributes:
        revision: The revision of the endpoint list.
        entries: The endpoint list, by uid.
        changes: The entries of each change.
        watch_count: The number of watches that were started.
        calls_to_reject: The number of next calls that get status 503.
        heartbeats_paused: Send no heartbeats on the watches.
    """

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.revision, self.entries = 1, {entry["uid"]: entry for entry in entries}
        self.watch_count = 0
        self.calls_to_reject = 0
        self.heartbeats_paused = False
        self.changes: list[list[dict[str, Any]]] = []
        super().__init__()

    def change(self, *entries: dict[str, Any]) -> None:
        """Replace or add entries of the endpoint list as one change."""
        self.entries.update({entry["uid"]: entry for entry in entries})
        self.revision += 1
        self.changes.append(list(entries))

    def serve(self, connection: socket.socket) -> None:
        with connection.makefile("rb") as lines:
            request_target = lines.readline().split()[1]
            while lines.readline().strip():
                pass
        if self.calls_to_reject:
            self.calls_to_reject -= 1
            connection.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        full_list = self._format_update(True, list(self.entries.values()))
        if b"watch=1" not in request_target:
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(full_list), full_list))
            return
        self.watch_count += 1
        changes_sent = len(self.changes)
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self._chunk(full_list))
        while True:
            for _ in range(100):
                if len(self.changes) > changes_sent:
                    break
                time.sleep(0.01)
            if len(self.changes) > changes_sent:
                connection.sendall(self._chunk(self._format_update(False, self.changes[changes_sent])))
                changes_sent += 1
            elif not self.heartbeats_paused:
                connection.sendall(self._chunk(b"\r\n"))

    def _format_update(self, full: bool, entries: list[dict[str, Any]]) -> bytes:
        return json.dumps({"rev": self.revision, "all": full, "targets": entries}).encode() + b"\r\n"

    def _chunk(self, data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data)


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a loopback port that was free a moment ago; another process may bind it first."""
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return int(s.getsockname()[1])


class PortInUseError(Exception):
    """Another process on this machine bound the port between its choice and the start of the balancer."""


class BalancerProcess:
    """The balancer as a process, with its files in `folder`.

    Attributes:
        config: The content of the configuration file.
        max_descriptors: The limit of open file descriptors of the process.
        environ: Environment variables that are added to those of the tests.
        startup_code: Python code that the process runs before the balancer, to set a hook or inject a fault.
        log: The file with the output of the process.
    """

    def __init__(
        self,
        folder: Path,
        discovery: tuple[str, int],
        known_entries: list[dict[str, Any]],
        quic_toml: str = "",
        store_toml: str = "",
        max_descriptors: int = 4096,
        environ: dict[str, str] | None = None,
        startup_code: str = "",
        **config: Any,
    ) -> None:
        self.address = ("127.0.0.1", free_port())
        self.folder, self.max_descriptors, self.startup_code = folder, max_descriptors, startup_code
        self.environ = environ or {}
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "seed": "8c1f30d27a5be964",
            "discovery": f"{discovery[0]}:{discovery[1]}",
            "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 1, "all": True, "targets": known_entries},
            **config,
        }
        self.configure()
        (folder / "quic.toml").write_text(quic_toml or "enabled = false\n")
        (folder / "store.toml").write_text(store_toml or "enabled = false\n")
        self.log = folder / "log"
        for _ in range(5):
            try:
                self.start()
                return
            except PortInUseError:
                self.address = ("127.0.0.1", free_port())
                self.log.write_bytes(b"")
                self.configure(listen=f"127.0.0.1:{self.address[1]}")
        raise PortInUseError

    def configure(self, **config: Any) -> None:
        """Change fields of the configuration, and replace the whole file as an operator does."""
        self.config.update(config)
        (self.folder / "new.json").write_text(json.dumps(self.config))
        (self.folder / "new.json").replace(self.folder / "config.json")

    def reload(self, **config: Any) -> dict[str, Any]:
        """Change the configuration and send SIGHUP; return the event that reports the result."""
        self.configure(**config)
        events_before = len(self._reload_events())
        self.process.send_signal(signal.SIGHUP)
        event: dict[str, Any] = wait_until(lambda: self._reload_events()[events_before:], "the reload")[0]
        return event

    def _reload_events(self) -> list[dict[str, Any]]:
        return self.events("config_reloaded", "reload_rejected")

    def start(self) -> None:
        """Start the process, and wait until it answers PING."""
        self.spawn()
        wait_until(self._ready, "the process to be ready")

    def spawn(self) -> None:
        """Start the process without waiting for it."""
        environ = {
            **os.environ,
            **self.environ,
            "LB_CONFIG": str(self.folder / "config.json"),
            "ASPENSADDLE_QUIC": str(self.folder / "quic.toml"),
            "ASPENSADDLE_STORE": str(self.folder / "store.toml"),
        }
        with self.log.open("ab") as log:
            arguments = "-m", "aspensaddle"
            if self.startup_code:
                arguments = (
                    "-c",
                    f"{self.startup_code}\nimport runpy\nrunpy.run_module('aspensaddle', run_name='__main__')",
                )
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors,
            )

    def _limit_descriptors(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_descriptors, self.max_descriptors))

    def _ready(self) -> bool:
        if self.process.poll() is not None:
            output = self.log.read_text()
            if "Address already in use" in output:
                raise PortInUseError(output)
            raise AssertionError(output)
        try:
            with Client(self.address) as client:
                client.send(b"PING\r\n")
                return client.read_line() == b"PONG\r\n"
        except OSError:
            return False

    def events(self, *names: str) -> list[dict[str, Any]]:
        """Return the logged events of these names, in their order."""
        lines = self.log.read_bytes().split(b"\n")[:-1]
        return [event for event in map(json.loads, lines) if event["event"] in names]

    def descriptors(self) -> int:
        """Return the number of open file descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def counts(self) -> dict[str, int]:
        """Send SIGUSR1, and return the counters that the process then logs."""
        events_before = len(self.events("counters_reported"))
        self.process.send_signal(signal.SIGUSR1)
        counts: dict[str, int] = wait_until(lambda: self.events("counters_reported")[events_before:], "counters")[0][
            "counts"
        ]
        return counts

    def terminate(self) -> int:
        """Send SIGTERM, and return the exit status."""
        self.process.terminate()
        return self.process.wait(TIMEOUT_SECONDS)

    def kill(self) -> None:
        """Send SIGKILL, and check the log for internal errors."""
        self.process.kill()
        self.process.wait(TIMEOUT_SECONDS)
        self.check_internal_errors()

    def check_internal_errors(self) -> None:
        """Fail on a logged internal error, unless `startup_code` may have caused it.

        The client of such a request gets a response, so no other check needs to notice the error.
        """
        errors = self.events("internal_error") if self.log.read_bytes().startswith(b"{") else []
        assert self.startup_code or not errors, errors


class Client:
    """A client with one connection."""

    request_count = 0  # of all clients, for the request ids

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, TIMEOUT_SECONDS)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines = self.sock.makefile("rb")

    def send_open(self, fields: str = "c=test-run,d=3000") -> None:
        """Send an OPEN with a request id of its own."""
        Client.request_count += 1
        self.send(f"OPEN {Client.request_count:016x} 7f3a9c21e0b4d655 {fields}\r\n".encode())

    def open(self, fields: str = "c=test-run,d=3000") -> bytes:
        """Send an OPEN, and return the response."""
        self.send_open(fields)
        return self.read_line()

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read_line(self) -> bytes:
        return self.lines.readline()

    def echo(self, text: bytes) -> bytes:
        """Send a line, and return the next line that arrives."""
        self.send(text + b"\r\n")
        return self.read_line()

    def close(self) -> None:
        self.lines.close()
        self.sock.close()

    def reset(self) -> None:
        self.lines.close()
        reset(self.sock)

    def read_to_end(self) -> bytes:
        """Read until the connection ends, and return that; a reset raises ConnectionResetError."""
        return self.lines.read()

    def __enter__(self) -> Client:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


class Deployment:
    """A balancer process, with stand-ins for discovery and for one server for each of the responses."""

    def __init__(self, folder: Path, *responses: bytes, **config: Any) -> None:
        self.servers = [StubServer(f"s-{i}", response) for i, response in enumerate(responses)]
        self.discovery = StubDiscovery([server.endpoint_entry() for server in self.servers])
        self.balancer = BalancerProcess(
            folder, self.discovery.address, [server.endpoint_entry() for server in self.servers], **config
        )

    def client(self) -> Client:
        return Client(self.balancer.address)

    def drain(self, server: StubServer) -> None:
        """List the server as draining, and wait until the balancer has applied that."""
        wait_until(lambda: self.discovery.watch_count, "a watch")
        self.discovery.change(server.endpoint_entry(state="leaving"))
        revision = self.discovery.revision
        wait_until(
            lambda: any(event["revision"] == revision for event in self.balancer.events("endpoints_updated")),
            "the drain",
        )

    def close(self) -> None:
        self.balancer.kill()
        for stand_in in (self.discovery, *self.servers):
            stand_in.close()
