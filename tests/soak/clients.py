"""Clients of a run: each asks, uses its connection until it ends, and comes again."""

from __future__ import annotations

import itertools
import select
import socket
import threading
import time
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from .record import ConnectionEnded, ConnectionMoved, ConnectionStale, Record, RequestSent, ResponseReceived
from .schedule import Deployment

LINE_INTERVAL_SECONDS = 2.0  # PROTOCOL: clients send a line this often
STALE_SECONDS = 7.0  # PROTOCOL: a connection that brings nothing back must have ended or moved by then
POLL_SECONDS = 0.2
UNANSWERED_SECONDS = 5.0  # beyond its wait, after which a client leaves
CROWD_PAUSE_SECONDS = 0.05
BURST_LINES = 5
LATE_LINE_SECONDS = 1.0
MEAN_STAY_SECONDS = 8.0

_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Target:
    """A process that the front deals connections to."""

    process: int
    address: tuple[str, int]


class Front:
    """Deals out connections among the processes that are ready, and for a moment to one that ends."""

    def __init__(self) -> None:
        self._targets: dict[int, Target] = {}
        self._lock = threading.Lock()

    def add(self, target: Target) -> None:
        """Take a process in."""
        with self._lock:
            self._targets[target.process] = target

    def remove(self, process: int) -> None:
        """Deal no more to a process."""
        with self._lock:
            self._targets.pop(process, None)

    def pick(self, draw: Random) -> Target | None:
        """Return one of the processes, None without any."""
        with self._lock:
            targets = list(self._targets.values())
        return draw.choice(targets) if targets else None


class Connection:
    """One connection of a client, with what came and was not taken yet."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self.sock = socket.create_connection(target.address, 1.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.ended = self.was_reset = False

    def poll(self, seconds: float) -> None:
        """Wait for bytes or the end for at most some seconds."""
        if self.ended or not select.select([self.sock], [], [], seconds)[0]:
            return
        try:
            data = self.sock.recv(4096)
        except OSError:
            self.was_reset, data = True, b""
        self.buffer += data
        self.ended = not data

    def lines(self) -> list[bytes]:
        """Take the complete lines that have come."""
        *lines, self.buffer = self.buffer.split(b"\n")
        return [line.rstrip(b"\r") for line in lines]

    def send(self, data: bytes) -> bool:
        """Send; return whether all of it was written."""
        try:
            self.sock.sendall(data)
        except OSError:
            return False
        return True


class SoakClient:
    """Lives through a run in a thread of its own."""

    def __init__(
        self, front: Front, deployment: Deployment, record: Record, stop: threading.Event, draw: Random
    ) -> None:
        self.front, self.deployment, self.record, self.stop, self.draw = front, deployment, record, stop, draw
        self._returns = False

    def run(self) -> None:
        """Ask again and again until the run stops."""
        while not self.stop.is_set():
            target = self.front.pick(self.draw)
            if target is not None:
                self.live_once(target)
            self.stop.wait(self.draw.uniform(0.05, 0.6))

    def live_once(self, target: Target, adopted_server: str | None = None) -> None:
        """One connection, from its connect to its end."""
        try:
            connection = Connection(target)
        except OSError:
            return
        with connection.sock:
            # Those that return together write their lines over a second; in a crowd who says nothing may be shut.
            if adopted_server is not None and not self.deployment.crowd:
                time.sleep(self.draw.uniform(0.0, LATE_LINE_SECONDS))
            request_id = self._ask(connection, adopted_server)
            if request_id is not None:
                self._wait_and_use(connection, request_id, adopted_server)

    def _ask(self, connection: Connection, adopted_server: str | None, *, behind_answer: bool = False) -> str | None:
        """Send an OPEN, some in pieces; return its id if it was written whole."""
        request_class = self.draw.choice(self.deployment.classes)
        wait = self.draw.choice([0.5, 1.0, 1.0]) * request_class.deadline
        request_id = f"{next(_numbers):016x}"
        again = ",again=1" if self._returns else ""
        adoption = f",at={adopted_server}" if adopted_server else ""
        group = f",g={self.draw.randrange(8):016x}"
        fields = f"c={request_class.name},d={int(wait * 1000)}{group}{again}{adoption}"
        line = f"OPEN {request_id} {self.draw.getrandbits(60):016x} {fields}\r\n".encode()
        if self.draw.random() < 0.2:
            connection.send(line[:10])
            time.sleep(self.draw.uniform(0.0, 0.3))
            line = line[10:]
        if not connection.send(line):
            return None
        self.record.add(
            RequestSent(
                self.record.now(),
                request_id,
                connection.target.process,
                request_class.name,
                wait,
                adopted_server,
                behind_answer,
            )
        )
        return request_id

    def _wait_and_use(self, connection: Connection, request_id: str, adopted_server: str | None) -> None:
        request_class_wait = 40.0 if adopted_server else max(c.deadline for c in self.deployment.classes)
        give_up_at = time.monotonic() + request_class_wait + UNANSWERED_SECONDS
        answers: list[bytes] = []
        while not (answers or connection.ended or self.stop.is_set()) and time.monotonic() < give_up_at:
            connection.poll(POLL_SECONDS)
            answers = connection.lines()
        if not answers:
            self._end(connection, request_id)
            return
        self.record.add(ResponseReceived(self.record.now(), request_id, answers[0].decode("latin-1")))
        if answers[0].startswith(b"UP"):
            self._use(connection, request_id, answers[1:])
            return
        if self.draw.random() < 0.3:  # a client that keeps its connection and asks on it again
            self._ask(connection, None, behind_answer=True)
        deadline = time.monotonic() + 1.0
        while not connection.ended and time.monotonic() < deadline:
            connection.poll(POLL_SECONDS)
        self._end(connection, request_id)

    def _use(self, connection: Connection, request_id: str, early: list[bytes]) -> None:
        """Send lines and take their echoes until the connection ends, is moved, or the client has had enough."""
        leaves_at = time.monotonic() + self.draw.expovariate(1 / MEAN_STAY_SECONDS)
        next_line_at = time.monotonic() + self.draw.uniform(0.0, LINE_INTERVAL_SECONDS)
        awaited: deque[float] = deque()
        lines = early
        while not connection.ended:
            now = time.monotonic()
            if b"MOVE" in lines:
                self.record.add(ConnectionMoved(self.record.now(), request_id))
                self._returns = True
                return
            for _ in range(min(len(awaited), sum(line.startswith(b"M ") for line in lines))):
                awaited.popleft()
            if awaited and now - awaited[0] > STALE_SECONDS + self.record.harness_lag:
                self.record.add(ConnectionStale(self.record.now(), request_id))
                break
            if now >= leaves_at or self.stop.is_set():
                break
            if now >= next_line_at:
                count = BURST_LINES if self.draw.random() < 0.2 else 1
                connection.send(b"".join(b"M %d\r\n" % number for number in range(count)))
                awaited.extend([now] * count)
                next_line_at = now + LINE_INTERVAL_SECONDS
            connection.poll(POLL_SECONDS)
            lines = connection.lines()
        else:
            self._returns = True
        if b"MOVE" in lines:  # together with the end
            self.record.add(ConnectionMoved(self.record.now(), request_id))
        self._end(connection, request_id)

    def _end(self, connection: Connection, request_id: str) -> None:
        event = ConnectionEnded(self.record.now(), request_id, not connection.ended, connection.was_reset)
        self.record.add(event)


class Crowd:
    """Idle clients that connect, say nothing, and connect again when they are shut."""

    def __init__(self, front: Front, count: int, stop: threading.Event, draw: Random) -> None:
        self.front, self.count, self.stop, self.draw = front, count, stop, draw

    def run(self) -> None:
        """Keep so many idle connections open until the run stops."""
        idle: list[socket.socket] = []
        while not self.stop.wait(CROWD_PAUSE_SECONDS):
            ended = set(select.select(idle, [], [], 0)[0]) if idle else set()
            for sock in ended:
                sock.close()
            idle = [sock for sock in idle if sock not in ended]
            while len(idle) < self.count and (target := self.front.pick(self.draw)) is not None:
                try:
                    idle.append(socket.create_connection(target.address, 0.2))
                except OSError:
                    break
        for sock in idle:
            with suppress(OSError):
                sock.close()
