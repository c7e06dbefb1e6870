"""Small stand-ins for what the program meets: discovery and runners over TCP, and the program itself.

Written from the protocol. Each serves on a free port of the loopback, in threads, until it is closed.
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
    """Accepts connections and serves each in a thread."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.listener.getsockname()
        self.connections: list[socket.socket] = []
        self.over = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def wait_to_accept(self) -> None:
        """Called before each accept; returns when it may be made."""

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
        raise NotImplementedError

    def close(self) -> None:
        """Stop and cut off whoever is connected."""
        self.over.set()
        for s in (self.listener, *self.connections):
            with suppress(OSError):  # closed already
                s.shutdown(socket.SHUT_RDWR)  # a close alone leaves the accept that waits in place
        self.listener.close()


def reset(connection: socket.socket) -> None:
    """Close as a process that died would."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class StubServer(ThreadedServer):
    """Answers a first line and returns every other. `answer` may be changed between connections.

    With `held` set, what comes after a first line is the test's: the connection is handed out by `offered`.
    """

    def __init__(self, uid: str, answer: bytes = b"UP r\r\n") -> None:
        self.uid, self.answer, self.first_lines = uid, answer, list[bytes]()
        self.held = False
        self.offers: queue.Queue[tuple[socket.socket, bytes]] = queue.Queue()
        self.mute = False  # brings nothing back
        self.probes = 0
        self.report = b"NO\r\n"  # what a probe is answered; empty: nothing
        super().__init__()

    def serve(self, connection: socket.socket) -> None:
        with connection.makefile("rb") as lines:
            while (first := lines.readline()) == b"STATS\r\n":
                self.probes += 1
                connection.sendall(self.report)
            if not first:
                return
            self.first_lines.append(first)
            if not self.held:
                self._answer(connection, lines)
                return
        self.offers.put((connection, first))
        self.over.wait()

    def _answer(self, connection: socket.socket, lines: BufferedReader) -> None:
        if not self.answer:  # silent until the balancer gives up
            lines.readline()
            return
        connection.sendall(self.answer.replace(b"UP r", b"UP " + self.uid.encode()))
        if not self.answer.startswith(b"UP"):
            return
        for line in lines:
            if line.startswith(b"QUIT"):
                connection.sendall(b"BYE\r\n")
                return
            if not self.mute:
                connection.sendall(line)

    def offered(self) -> tuple[socket.socket, bytes]:
        """The next connection that is held, and its first line."""
        return self.offers.get(timeout=TIMEOUT_SECONDS)

    def target(self, **more: Any) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.address[1]}",
            "az": "surabaya",
            "model": "m",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
            **more,
        }


class StubDiscovery(ThreadedServer):
    """The whole list, and watches that get every change made by `change`."""

    def __init__(self, targets: list[dict[str, Any]]) -> None:
        self.rev, self.targets = 1, {t["uid"]: t for t in targets}
        self.watches = 0
        self.refuse = 0  # so many calls get 503
        self.mute = False  # no heartbeats
        self.changes: list[list[dict[str, Any]]] = []
        super().__init__()

    def change(self, *targets: dict[str, Any]) -> None:
        self.targets.update({t["uid"]: t for t in targets})
        self.rev += 1
        self.changes.append(list(targets))

    def serve(self, connection: socket.socket) -> None:
        with connection.makefile("rb") as lines:
            target = lines.readline().split()[1]
            while lines.readline().strip():
                pass
        if self.refuse:
            self.refuse -= 1
            connection.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        whole = self._update(True, list(self.targets.values()))
        if b"watch=1" not in target:
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(whole), whole))
            return
        self.watches += 1
        done = len(self.changes)
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self._chunk(whole))
        while True:
            for _ in range(100):
                if len(self.changes) > done:
                    break
                time.sleep(0.01)
            if len(self.changes) > done:
                connection.sendall(self._chunk(self._update(False, self.changes[done])))
                done += 1
            elif not self.mute:
                connection.sendall(self._chunk(b"\r\n"))

    def _update(self, full: bool, targets: list[dict[str, Any]]) -> bytes:
        return json.dumps({"rev": self.rev, "all": full, "targets": targets}).encode() + b"\r\n"

    def _chunk(self, data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data)


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return int(s.getsockname()[1])


class PortTaken(Exception):
    """Another process on this machine got the port between its choice and the start."""


class BalancerProcess:
    """The balancer as a process."""

    def __init__(
        self,
        folder: Path,
        discovery: tuple[str, int],
        known: list[dict[str, Any]],
        quic: str = "",
        store: str = "",
        files: int = 4096,
        environ: dict[str, str] | None = None,
        patch: str = "",
        **config: Any,
    ) -> None:
        self.address = ("127.0.0.1", free_port())
        self.folder, self.files, self.patch = folder, files, patch
        self.environ = environ or {}
        self.body: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "seed": "8c1f30d27a5be964",
            "discovery": f"{discovery[0]}:{discovery[1]}",
            "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 1, "all": True, "targets": known},
            **config,
        }
        self.configure()
        (folder / "quic.toml").write_text(quic or "enabled = false\n")
        (folder / "store.toml").write_text(store or "enabled = false\n")
        self.log = folder / "log"
        for _ in range(5):
            try:
                self.start()
                return
            except PortTaken:
                self.address = ("127.0.0.1", free_port())
                self.log.write_bytes(b"")
                self.configure(listen=f"127.0.0.1:{self.address[1]}")
        raise PortTaken

    def configure(self, **config: Any) -> None:
        """Replace the configuration file as an operator does, whole."""
        self.body.update(config)
        (self.folder / "new.json").write_text(json.dumps(self.body))
        (self.folder / "new.json").replace(self.folder / "config.json")

    def reload(self, **config: Any) -> dict[str, Any]:
        """Replace the file and have it read; what the log says of that."""
        self.configure(**config)
        seen = len(self._reloads())
        self.process.send_signal(signal.SIGHUP)
        event: dict[str, Any] = wait_until(lambda: self._reloads()[seen:], "the reload")[0]
        return event

    def _reloads(self) -> list[dict[str, Any]]:
        return self.events("config_reloaded", "reload_rejected")

    def start(self) -> None:
        self.spawn()
        wait_until(self._ready, "the program is ready")

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
            # A patch is a test's own code, run before the program: a hook between two lines, or a planted fault.
            run = "-m", "aspensaddle"
            if self.patch:
                run = "-c", f"{self.patch}\nimport runpy\nrunpy.run_module('aspensaddle', run_name='__main__')"
            self.process = subprocess.Popen(
                [sys.executable, *run], cwd=ROOT, env=environ, stdout=log, stderr=log, preexec_fn=self._limit
            )

    def _limit(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.files, self.files))

    def _ready(self) -> bool:
        if self.process.poll() is not None:
            said = self.log.read_text()
            if "Address already in use" in said:
                raise PortTaken(said)
            raise AssertionError(said)
        try:
            with Client(self.address) as c:
                c.send(b"PING\r\n")
                return c.line() == b"PONG\r\n"
        except OSError:
            return False

    def events(self, *names: str) -> list[dict[str, Any]]:
        lines = self.log.read_bytes().split(b"\n")[:-1]
        return [e for e in map(json.loads, lines) if e["event"] in names]

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def counts(self) -> dict[str, int]:
        """The counters, printed on request."""
        seen = len(self.events("counters_reported"))
        self.process.send_signal(signal.SIGUSR1)
        counts: dict[str, int] = wait_until(lambda: self.events("counters_reported")[seen:], "counters")[0]["counts"]
        return counts

    def terminate(self) -> int:
        self.process.terminate()
        return self.process.wait(TIMEOUT_SECONDS)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait(TIMEOUT_SECONDS)
        self.check_internal_errors()

    def check_internal_errors(self) -> None:
        """Fail on an internal error, unless the test has planted one: it was answered, and seen by nobody else."""
        errors = self.events("internal_error") if self.log.read_bytes().startswith(b"{") else []
        assert self.patch or not errors, errors


class Client:
    """One connection of a client."""

    count = 0

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, TIMEOUT_SECONDS)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines = self.sock.makefile("rb")

    def open(self, more: str = "c=test-run,d=3000") -> bytes:
        """The answer to an OPEN."""
        Client.count += 1
        self.send(f"OPEN {Client.count:016x} 7f3a9c21e0b4d655 {more}\r\n".encode())
        return self.line()

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def line(self) -> bytes:
        return self.lines.readline()

    def echo(self, text: bytes) -> bytes:
        self.send(text + b"\r\n")
        return self.line()

    def close(self) -> None:
        self.lines.close()
        self.sock.close()

    def reset(self) -> None:
        self.lines.close()
        reset(self.sock)

    def rest(self) -> bytes:
        """All that still comes, to the end. A reset raises."""
        return self.lines.read()

    def __enter__(self) -> Client:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


class Deployment:
    """A balancer process, with stand-ins for discovery and for one server for each of the responses."""

    def __init__(self, folder: Path, *responses: bytes, **config: Any) -> None:
        self.servers = [StubServer(f"s-{i}", response) for i, response in enumerate(responses)]
        self.discovery = StubDiscovery([server.target() for server in self.servers])
        self.balancer = BalancerProcess(
            folder, self.discovery.address, [server.target() for server in self.servers], **config
        )

    def client(self) -> Client:
        return Client(self.balancer.address)

    def drain(self, server: StubServer) -> None:
        """List the server as draining, and wait until the balancer has applied that."""
        wait_until(lambda: self.discovery.watches, "a watch")
        self.discovery.change(server.target(state="leaving"))
        rev = self.discovery.rev
        wait_until(lambda: any(e["revision"] == rev for e in self.balancer.events("endpoints_updated")), "the drain")

    def close(self) -> None:
        self.balancer.kill()
        for s in (self.discovery, *self.servers):
            s.close()
