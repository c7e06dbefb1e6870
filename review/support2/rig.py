"""Parts that the cases 6 to 10 share: a record, the balancer as a process, and stand-ins.

Everything is on loopback addresses and on the real clock, and only the standard library is used. The stand-ins follow
the operators' page PROTOCOL.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2

DRAIN_GRACE = 2.0  # guarantees.drain-grace
SOCKET_SLACK = 0.05  # PROTOCOL: on sockets each time limit is 50 ms longer
MEASURING_SLACK = 0.1  # for threads of the stand-ins that run late; in the balancer's favour

# The example of the page WIRE, "SETTINGS", with the values of latihan-jawa.
SETTINGS: dict[str, Any] = {
    "discovery": "on_request",
    "failure-domains": ["surabaya", "semarang"],
    "locality": 0,
    "index": 0,
    "fleet-size": 2,
    "kind-of-service": "conn",
    "host-types": ["fast-runner", "plain-runner"],
    "family-info": {
        "groups": False,
        "message-aim": [0.15, 0.06],
        "mode": "proxy",
        "tells-delay": False,
        "tells-load": False,
        "park": 0.0,
    },
    "guarantees": {
        "answer-slack": 0.02,
        "cold-share": 0.12,
        "drain-grace": DRAIN_GRACE,
        "fall": 2.0,
        "must-ask-in": 10.0,
        "tip-multiple": 4.0,
        "warm-after": 24.0,
    },
    "lanes": [
        {"aim": 0.3, "deadline": 1.2, "name": "test-run", "repeat": "pure", "stream": True, "worth": 5.0},
        {"aim": 0.3, "deadline": 1.8, "name": "draft-save", "repeat": "pure", "stream": True, "worth": 3.0},
    ],
    "limits": {
        "cancel": True,
        "connect-timeout": 0.25,
        "max-retry-after": 1.0,
        "may-duplicate": False,
        "most-tries": 6,
        "peers": False,
        "probes": False,
        "retry-after": True,
    },
    "weights": "none",
}


class CannotRunError(Exception):
    """The case could not be played, so that it says nothing about the rule."""


class Record:
    """What was sent, answered and run, in the order of its events, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:8.3f}  {text}\n")
            self._file.flush()


def with_trouble() -> bool:
    """Return whether the disruption is played; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Record, Path, contextlib.ExitStack], bool]) -> int:
    """Play a case in a temporary folder; return the exit code. `play` returns whether the rule held."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder / "record.txt")
    record(f"trouble: {'yes' if with_trouble() else 'no'}")
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        try:
            held = play(record, Path(name), stack)
        except (CannotRunError, OSError, TimeoutError) as error:
            record(f"not run: {error!r}")
            return NOT_RUN
        record("the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a loopback port that was free a moment ago."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def sleep_until(moment: float) -> None:
    """Sleep until a time of the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))


def wait_for(condition: Callable[[], Any], what: str, limit: float = 15.0) -> Any:
    """Return the first true value of `condition`.

    Raises:
        CannotRunError: There was none in time.
    """
    give_up_at = time.monotonic() + limit
    while not (value := condition()):
        if time.monotonic() > give_up_at:
            raise CannotRunError(f"timed out: {what}")
        time.sleep(0.01)
    return value


class Balancer:
    """One balancer, started by `run` of the deploy file, with a folder of its own."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        name: str = "n0",
        store_toml: str = "",
        quic_toml: str = "",
        **config: Any,
    ) -> None:
        self.record, self.folder, self.name = record, folder, name
        folder.mkdir(exist_ok=True)
        (folder / "tmp").mkdir(exist_ok=True)
        self.address = (HOST, free_port())
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"{HOST}:{self.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": SETTINGS,
            **config,
        }
        (folder / "quic.toml").write_text(quic_toml or "enabled = false\n")
        (folder / "store.toml").write_text(store_toml or "enabled = false\n")
        self.process: subprocess.Popen[bytes] | None = None

    def configure(self, **config: Any) -> None:
        """Replace the configuration file as a whole."""
        self.config.update(config)
        (self.folder / "new.json").write_text(json.dumps(self.config))
        (self.folder / "new.json").replace(self.folder / "config.json")

    def start(self, **config: Any) -> None:
        """Start the process and wait until it answers PING."""
        self.configure(**config)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environ = {
            **os.environ,
            "TMPDIR": str(self.folder / "tmp"),
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_NAME": self.name,
            "LB_LISTEN": self.config["listen"],
            "ASPENSADDLE_QUIC": str(self.folder / "quic.toml"),
            "ASPENSADDLE_STORE": str(self.folder / "store.toml"),
        }
        if "discovery" in self.config:
            environ["LB_DISCOVERY"] = self.config["discovery"]
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environ, stdout=log, stderr=log)
        wait_for(self._is_ready, f"{self.name} answers PING")
        self.record(f"{self.name}: ready (process {self.process.pid})")

    def _is_ready(self) -> bool:
        assert self.process is not None
        if self.process.poll() is not None:
            raise CannotRunError((self.folder / "log").read_text()[-400:])
        try:
            with socket.create_connection(self.address, 1.0) as link:
                link.sendall(b"PING\r\n")
                return link.recv(64) == b"PONG\r\n"
        except OSError:
            return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    def events(self, *names: str) -> list[dict[str, Any]]:
        """Return the logged events with these names; for the record only, no case is judged by them."""
        lines = (self.folder / "log").read_bytes().split(b"\n")[:-1]
        events = [json.loads(line) for line in lines if line.startswith(b"{")]
        return [event for event in events if event["event"] in names]

    def close(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Server:
    """A TCP server with a thread for each connection."""

    def __init__(self, backlog: int = 256) -> None:
        self.listener = socket.create_server((HOST, 0), backlog=backlog)
        self.port = int(self.listener.getsockname()[1])
        self.links: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The address as HOST:PORT."""
        return f"{HOST}:{self.port}"

    def _accept(self) -> None:
        while True:
            try:
                link, _ = self.listener.accept()
            except OSError:
                return
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.links.append(link)
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError):
            self.serve(link)
        with contextlib.suppress(OSError):
            link.close()

    def serve(self, link: socket.socket) -> None:
        """Serve one connection, which is closed afterwards."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop accepting, and end all connections."""
        for link in (self.listener, *self.links):
            with contextlib.suppress(OSError):
                link.shutdown(socket.SHUT_RDWR)
        self.listener.close()


class Runner(Server):
    """A runner: UP for each OPEN and an echo for each line; BUSY for each OPEN while it drains.

    When it begins to drain it sends all its clients away at once (BRIEF, 4.4).

    Attributes:
        opens: The time (monotonic) and id of each OPEN that arrived.
    """

    def __init__(self, record: Record, uid: str) -> None:
        self.record, self.uid = record, uid
        self.draining = False
        self.opens: list[tuple[float, str]] = []
        self._held: list[socket.socket] = []
        super().__init__()

    def drain(self) -> None:
        """Begin to drain."""
        self.draining = True
        self.record(f"{self.uid} begins to drain and sends {len(self._held)} clients away")
        for link in self._held:
            with contextlib.suppress(OSError):
                link.sendall(b"MOVE\r\n")
                link.shutdown(socket.SHUT_WR)

    def entry(self, **fields: Any) -> dict[str, Any]:
        """Return this runner's entry in the list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "surabaya",
            "model": "fast-runner",
            "pod_group": 0,
            "state": "leaving" if self.draining else "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
            **fields,
        }

    def serve(self, link: socket.socket) -> None:
        """Serve one connection of the balancer."""
        with link.makefile("rb") as lines:
            first = lines.readline()
            if not first:
                return
            words = first.split()
            if words[0] in (b"PING", b"STATS"):
                link.sendall(b"NO\r\n")
                return
            arrived, request_id = time.monotonic(), words[1].decode()
            self.opens.append((arrived, request_id))
            answer = b"BUSY" if self.draining else b"UP " + self.uid.encode()
            self.record(f"{self.uid} got OPEN {request_id}, answers {answer.decode()}")
            link.sendall(answer + b"\r\n")
            if not self.draining:
                self._held.append(link)
                for line in lines:
                    link.sendall(line)
                self._held.remove(link)


class Clients:
    """Clients of one balancer: each sends an OPEN, stays while it is served, and sends a line every 2 s.

    A client that is moved or cut off comes again through the front, which deals it to another balancer.
    """

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        self.record, self.address, self.count = record, address, 0
        self._links: list[tuple[str, socket.socket]] = []
        threading.Thread(target=self._talk, daemon=True).start()

    def open(self, fields: str = "c=test-run,d=1200") -> str:
        """Open a connection, keep it if it is up, and return the answer."""
        self.count += 1
        request_id = f"{os.getpid():08x}{self.count:08x}"
        link = socket.create_connection(self.address, 2.0)
        link.settimeout(3.0)
        link.sendall(f"OPEN {request_id} 7f3a9c21e0b4d655 {fields}\r\n".encode())
        answer = read_line(link)
        self.record(f"client {request_id}: {answer or 'closed without an answer'}")
        if answer.startswith("UP"):
            self._links.append((request_id, link))
        else:
            link.close()
        return answer

    def open_every(self, interval: float, until: float) -> list[str]:
        """Open one connection after the other until a time of the monotonic clock; return the answers."""
        answers = []
        while (begun := time.monotonic()) < until:
            answers.append(self.open())
            sleep_until(begun + interval)
        return answers

    def _talk(self) -> None:
        while True:
            for request_id, link in list(self._links):
                try:
                    link.sendall(b"edit\r\n")
                    answer = read_line(link)
                except OSError as error:
                    answer = repr(error)
                if answer != "edit":
                    self.record(f"client {request_id}: {answer or 'ended'}, leaves")
                    self._links.remove((request_id, link))
                    link.close()
            time.sleep(2.0)


def read_line(link: socket.socket) -> str:
    """Read one line; empty if the connection ends before it."""
    data = b""
    while not data.endswith(b"\n"):
        byte = link.recv(1)
        if not byte:
            break
        data += byte
    return data.decode("latin-1").strip()


def late_opens(record: Record, runners: list[Runner], told_at: float) -> int:
    """Count the OPENs that arrived at these runners after the drain's grace, counted from `told_at`."""
    limit = told_at + DRAIN_GRACE + SOCKET_SLACK + MEASURING_SLACK
    late = [(runner, at - told_at) for runner in runners for at, _ in runner.opens if at > limit]
    for runner, after in late:
        record(f"broken: {runner.uid} got an OPEN {after:.2f} s after that it drains or is gone counts as told")
    return len(late)


def reset(link: socket.socket) -> None:
    """End a connection with a TCP reset."""
    with contextlib.suppress(OSError):
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        with socket.socket(fileno=link.detach()):
            pass


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked response."""
    return b"%x\r\n%b\r\n" % (len(data), data)


WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
CALL_TIMEOUT = 3.0  # site file latihan-jawa: timeout_ms = 3000


class RunnerList:
    """The list that discovery has, and its versions."""

    def __init__(self, runners: list[Runner]) -> None:
        self._lock = threading.Condition()
        self.revision = 41
        self._entries = {runner.uid: runner.entry() for runner in runners}

    def change(self, *entries: dict[str, Any]) -> None:
        """Make a change."""
        with self._lock:
            self.revision += 1
            self._entries.update({entry["uid"]: entry for entry in entries})
            self._lock.notify_all()

    def message(self) -> tuple[int, bytes]:
        """Return the version and the whole list as a line."""
        with self._lock:
            value = {"rev": self.revision, "all": True, "targets": list(self._entries.values())}
            return self.revision, json.dumps(value).encode() + b"\r\n"

    def known(self) -> dict[str, Any]:
        """Return the list in the form of the configuration."""
        known: dict[str, Any] = json.loads(self.message()[1])
        return known

    def wait(self, revision: int, seconds: float) -> bool:
        """Wait until there is a version after `revision`; return whether there is one."""
        with self._lock:
            return self._lock.wait_for(lambda: self.revision > revision, seconds)


def read_call(link: socket.socket) -> bytes:
    """Read the head of an HTTP request and return its first line; empty if there is none."""
    with link.makefile("rb") as lines:
        first = lines.readline()
        while lines.readline().strip():
            pass
    return first


def follow(link: socket.socket, runner_list: RunnerList, on_line: Callable[[], None] = lambda: None) -> None:
    """Serve a watch: the whole list, each change as the whole list, and an empty line every 2 s."""
    revision, message = runner_list.message()
    link.sendall(WATCH_HEAD + chunk(message))
    on_line()
    while True:
        if runner_list.wait(revision, 2.0):
            revision, message = runner_list.message()
            link.sendall(chunk(message))
        else:
            link.sendall(chunk(b"\r\n"))
        on_line()


class Discovery(Server):
    """Discovery that answers each call at once.

    Attributes:
        last_line_at: When the last line was written to a watch (monotonic).
    """

    def __init__(self, runner_list: RunnerList) -> None:
        self.list, self.last_line_at, self.watches = runner_list, 0.0, 0
        super().__init__()

    def serve(self, link: socket.socket) -> None:
        """Serve one call."""
        if read_call(link):
            self.watches += 1
            follow(link, self.list, self._note)

    def _note(self) -> None:
        self.last_line_at = time.monotonic()


class TurnDiscovery(Server):
    """Discovery that works through calls in turn, and at first through the calls of other balancers.

    A call that has waited too long ends with 503 (PROTOCOL, "Discovery") and takes no turn.
    """

    def __init__(self, record: Record, runner_list: RunnerList, per_second: float) -> None:
        self.record, self.list, self._per_second = record, runner_list, per_second
        self._lock = threading.Lock()
        self._idle_at = 0.0  # when the calls that wait now will have been served (monotonic)
        super().__init__()

    def crowd(self, calls: int) -> None:
        """Let other balancers make this number of calls now, and again until each is served."""
        with self._lock:
            self._idle_at = max(self._idle_at, time.monotonic()) + calls / self._per_second
        self.record(f"discovery: {calls} other balancers call")

    def serve(self, link: socket.socket) -> None:
        """Let one call wait for its turn, and serve it or end it with 503."""
        if not read_call(link):
            return
        now = time.monotonic()
        with self._lock:
            turn_at = max(self._idle_at, now) + 1 / self._per_second
            is_served = turn_at <= now + CALL_TIMEOUT
            if is_served:
                self._idle_at = turn_at
        self.record(f"discovery: a call of the balancer, the others are served in {turn_at - now:.2f} s")
        if not is_served:
            time.sleep(CALL_TIMEOUT)
            self.record("discovery: the balancer's call has waited too long: 503")
            link.sendall(REJECTION)
            return
        sleep_until(turn_at)
        follow(link, self.list, lambda: self.record("discovery: a line to the balancer"))
