"""Clients of a run: each sends a request, uses its connection until it ends, and reconnects."""

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

from .record import ConnectionEnded, ConnectionMigrated, ConnectionStale, Record, RequestSent, ResponseReceived
from .schedule import Deployment

LINE_INTERVAL_SECONDS = 2.0  # PROTOCOL: interval at which clients send a line
STALE_SECONDS = 7.0  # PROTOCOL: a connection without an echo must have ended or migrated by then
POLL_TIMEOUT_SECONDS = 0.2
LATE_RESPONSE_WAIT_SECONDS = 5.0  # a client without a response closes its connection this long after its deadline
IDLE_RECONNECT_INTERVAL_SECONDS = 0.05
BURST_LINES = 5
MAX_REQUEST_DELAY_SECONDS = 1.0
MEAN_CONNECTION_SECONDS = 8.0

_request_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Target:
    """A balancer process that accepts connections."""

    process: int
    address: tuple[str, int]


class BalancerPool:
    """The balancer processes that clients connect to: ready ones, and for a short time one that shuts down."""

    def __init__(self) -> None:
        self._targets: dict[int, Target] = {}
        self._lock = threading.Lock()

    def add(self, target: Target) -> None:
        """Add a process."""
        with self._lock:
            self._targets[target.process] = target

    def remove(self, process: int) -> None:
        """Remove a process, if it is in the pool."""
        with self._lock:
            self._targets.pop(process, None)

    def pick(self, rng: Random) -> Target | None:
        """Return a random process, or None if there is none."""
        with self._lock:
            targets = list(self._targets.values())
        return rng.choice(targets) if targets else None


class Connection:
    """One connection of a client, with the received bytes that are not processed yet."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self.sock = socket.create_connection(target.address, 1.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.ended = self.was_reset = False

    def poll(self, seconds: float) -> None:
        """Wait at most `seconds` for data or the end of the connection."""
        if self.ended or not select.select([self.sock], [], [], seconds)[0]:
            return
        try:
            data = self.sock.recv(4096)
        except OSError:
            self.was_reset, data = True, b""
        self.buffer += data
        self.ended = not data

    def take_lines(self) -> list[bytes]:
        """Return the complete lines that were received, and remove them from the buffer."""
        *lines, self.buffer = self.buffer.split(b"\n")
        return [line.rstrip(b"\r") for line in lines]

    def send(self, data: bytes) -> bool:
        """Send the data; return whether all of it was written."""
        try:
            self.sock.sendall(data)
        except OSError:
            return False
        return True


class SoakClient:
    """A client that connects again and again, in a thread of its own."""

    def __init__(
        self, pool: BalancerPool, deployment: Deployment, record: Record, stop: threading.Event, rng: Random
    ) -> None:
        self.pool, self.deployment, self.record, self.stop, self.rng = pool, deployment, record, stop, rng
        self._is_reconnecting = False

    def run(self) -> None:
        """Open one connection after another until the run stops."""
        while not self.stop.is_set():
            target = self.pool.pick(self.rng)
            if target is not None:
                self.run_connection(target)
            self.stop.wait(self.rng.uniform(0.05, 0.6))

    def run_connection(self, target: Target, adopted_server: str | None = None) -> None:
        """Open one connection, and use it until it ends."""
        try:
            connection = Connection(target)
        except OSError:
            return
        with connection.sock:
            # Clients that reconnect together spread their requests over a second, except among many idle clients,
            # where the balancer may close a connection that has not sent a request yet.
            if adopted_server is not None and not self.deployment.idle_clients:
                time.sleep(self.rng.uniform(0.0, MAX_REQUEST_DELAY_SECONDS))
            request_id = self._send_request(connection, adopted_server)
            if request_id is not None:
                self._await_response(connection, request_id, adopted_server)

    def _send_request(
        self, connection: Connection, adopted_server: str | None, *, after_response: bool = False
    ) -> str | None:
        """Send an OPEN, sometimes in two parts; return its request id, or None if it was not written completely."""
        request_class = self.rng.choice(self.deployment.classes)
        request_deadline = self.rng.choice([0.5, 1.0, 1.0]) * request_class.deadline
        request_id = f"{next(_request_numbers):016x}"
        reconnecting_field = ",again=1" if self._is_reconnecting else ""
        adoption_field = f",at={adopted_server}" if adopted_server else ""
        group_field = f",g={self.rng.randrange(8):016x}"
        fields = f"c={request_class.name},d={int(request_deadline * 1000)}{group_field}{reconnecting_field}{adoption_field}"
        line = f"OPEN {request_id} {self.rng.getrandbits(60):016x} {fields}\r\n".encode()
        if self.rng.random() < 0.2:
            connection.send(line[:10])
            time.sleep(self.rng.uniform(0.0, 0.3))
            line = line[10:]
        if not connection.send(line):
            return None
        self.record.add(
            RequestSent(
                self.record.now(),
                request_id,
                connection.target.process,
                request_class.name,
                request_deadline,
                adopted_server,
                after_response,
            )
        )
        return request_id

    def _await_response(self, connection: Connection, request_id: str, adopted_server: str | None) -> None:
        max_response_seconds = 40.0 if adopted_server else max(c.deadline for c in self.deployment.classes)
        give_up_at = time.monotonic() + max_response_seconds + LATE_RESPONSE_WAIT_SECONDS
        responses: list[bytes] = []
        while not (responses or connection.ended or self.stop.is_set()) and time.monotonic() < give_up_at:
            connection.poll(POLL_TIMEOUT_SECONDS)
            responses = connection.take_lines()
        if not responses:
            self._record_end(connection, request_id)
            return
        self.record.add(ResponseReceived(self.record.now(), request_id, responses[0].decode("latin-1")))
        if responses[0].startswith(b"UP"):
            self._exchange_lines(connection, request_id, responses[1:])
            return
        if self.rng.random() < 0.3:  # the client keeps its connection and sends another request on it
            self._send_request(connection, None, after_response=True)
        close_at = time.monotonic() + 1.0
        while not connection.ended and time.monotonic() < close_at:
            connection.poll(POLL_TIMEOUT_SECONDS)
        self._record_end(connection, request_id)

    def _exchange_lines(self, connection: Connection, request_id: str, received_lines: list[bytes]) -> None:
        """Send lines and read their echoes until the connection ends, is migrated, or the client closes it."""
        close_at = time.monotonic() + self.rng.expovariate(1 / MEAN_CONNECTION_SECONDS)
        next_line_at = time.monotonic() + self.rng.uniform(0.0, LINE_INTERVAL_SECONDS)
        unechoed_since: deque[float] = deque()
        lines = received_lines
        while not connection.ended:
            now = time.monotonic()
            if b"MOVE" in lines:
                self.record.add(ConnectionMigrated(self.record.now(), request_id))
                self._is_reconnecting = True
                return
            for _ in range(min(len(unechoed_since), sum(line.startswith(b"M ") for line in lines))):
                unechoed_since.popleft()
            if unechoed_since and now - unechoed_since[0] > STALE_SECONDS + self.record.harness_lag:
                self.record.add(ConnectionStale(self.record.now(), request_id))
                break
            if now >= close_at or self.stop.is_set():
                break
            if now >= next_line_at:
                count = BURST_LINES if self.rng.random() < 0.2 else 1
                connection.send(b"".join(b"M %d\r\n" % number for number in range(count)))
                unechoed_since.extend([now] * count)
                next_line_at = now + LINE_INTERVAL_SECONDS
            connection.poll(POLL_TIMEOUT_SECONDS)
            lines = connection.take_lines()
        else:
            self._is_reconnecting = True
        if b"MOVE" in lines:  # received together with the end of the connection
            self.record.add(ConnectionMigrated(self.record.now(), request_id))
        self._record_end(connection, request_id)

    def _record_end(self, connection: Connection, request_id: str) -> None:
        event = ConnectionEnded(self.record.now(), request_id, not connection.ended, connection.was_reset)
        self.record.add(event)


class IdleClients:
    """Clients that connect, send nothing, and reconnect when their connections are closed."""

    def __init__(self, pool: BalancerPool, count: int, stop: threading.Event, rng: Random) -> None:
        self.pool, self.count, self.stop, self.rng = pool, count, stop, rng

    def run(self) -> None:
        """Keep `count` idle connections open until the run stops."""
        idle: list[socket.socket] = []
        while not self.stop.wait(IDLE_RECONNECT_INTERVAL_SECONDS):
            ended = set(select.select(idle, [], [], 0)[0]) if idle else set()
            for sock in ended:
                sock.close()
            idle = [sock for sock in idle if sock not in ended]
            while len(idle) < self.count and (target := self.pool.pick(self.rng)) is not None:
                try:
                    idle.append(socket.create_connection(target.address, 0.2))
                except OSError:
                    break
        for sock in idle:
            with suppress(OSError):
                sock.close()
