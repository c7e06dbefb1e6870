"""Servers and discovery of a run: the stand-ins with faults, written down in the record."""

from __future__ import annotations

import socket
import struct
import threading
import time
from io import BufferedReader
from typing import Any

from standins import Discovery, Runner, reset

from .record import AttemptAnswered, AttemptReceived, EndpointChanged, Record, ServerEndedConnection, UpdateWritten

HEARTBEAT_SECONDS = 2.0
CHECK_SECONDS = 0.02
QUEUE_FILLERS = 4  # one may be accepted, the others fill a queue of length 0
BACKLOG = 128
TCP_INFO_BYTES, LAST_DATA_RECEIVED_OFFSET = 104, 52  # linux/tcp.h, struct tcp_info
REJECTION = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def first_word(line: bytes) -> str:
    """Return the first word of a line, empty for a blank one."""
    return line.split()[0].decode() if line.split() else ""


def has_ended(connection: socket.socket) -> bool:
    """Return whether the other side has ended its connection."""
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def seconds_since_data(connection: socket.socket) -> float:
    """Return how long ago the system received the last data, which may have waited for the accept."""
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (milliseconds,) = struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET)
    return float(milliseconds) / 1000


class SoakServer(Runner):
    """A server with faults. A fault holds for connections that arrive during it; a hang also for open ones."""

    def __init__(self, uid: str, zone: str, record: Record) -> None:
        self.record, self.zone = record, zone
        self.fault, self.state, self.started_ms = "", "active", 0
        self.trouble = threading.Lock()  # one at a time
        self.paused = False  # accepts nothing
        self.open: dict[socket.socket, str] = {}  # request ids of open connections
        self._open_lock = threading.Lock()
        super().__init__(uid)

    def wait_to_accept(self) -> None:
        """Wait until connections may come up."""
        while self.paused and not self.over.is_set():
            time.sleep(CHECK_SECONDS)

    def pause_accepts(self) -> list[socket.socket]:
        """Let connections come up late from now on: fill the accept queue; return what fills it."""
        self.paused = True
        self.listener.listen(0)
        fillers = [socket.socket() for _ in range(QUEUE_FILLERS)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(self.address)
        return fillers

    def resume_accepts(self, fillers: list[socket.socket]) -> None:
        """Let connections come up again."""
        self.listener.listen(BACKLOG)
        self.paused = False
        for filler in fillers:
            filler.close()

    def serve(self, connection: socket.socket) -> None:
        """Take a first line and answer it as the fault of the moment has it."""
        if not connection.recv(1, socket.MSG_PEEK):
            return
        at = self.record.now() - seconds_since_data(connection)
        with connection.makefile("rb") as lines:
            first = lines.readline()
            if not first.startswith(b"OPEN ") or not first.endswith(b"\n"):
                return
            request_id = first.split()[1].decode()
            self.record.add(AttemptReceived(at, request_id, self.uid))
            self._answer_first(connection, lines, request_id)

    def _answer_first(self, connection: socket.socket, lines: BufferedReader, request_id: str) -> None:
        answer = {"refuse": b"BUSY\r\n", "error": b"ERR\r\n"}.get(self.fault, f"UP {self.uid}\r\n".encode())
        if self.state != "active":
            answer = b"BUSY\r\n"
        if self.fault in ("hang", "reset"):
            self.record.add(AttemptAnswered(self.record.now(), request_id, self.uid, self.fault))
            if self.fault == "reset":
                reset(connection)
            else:
                lines.readline()  # silent until the balancer gives up
            return
        self.record.add(AttemptAnswered(self.record.now(), request_id, self.uid, first_word(answer)))
        if self.fault == "pieces":
            connection.sendall(answer[:2])
            time.sleep(0.1)
            answer = answer[2:]
        with self._open_lock:
            self.open[connection] = request_id
        connection.sendall(answer)
        if answer.endswith(f"{self.uid}\r\n".encode()):
            self._echo(connection, lines)
        self._forget(connection)

    def _echo(self, connection: socket.socket, lines: BufferedReader) -> None:
        for line in lines:
            while self.fault == "hang" and not self.over.is_set():
                time.sleep(CHECK_SECONDS)
            connection.sendall(line)

    def _forget(self, connection: socket.socket) -> str | None:
        with self._open_lock:
            return self.open.pop(connection, None)

    def end_connections(self, *, by_move: bool) -> None:
        """End all open connections: with MOVE, as a server that drains, or by a reset, as one that died."""
        for connection in list(self.open):
            request_id = self._forget(connection)
            if request_id is None:
                continue
            self.record.add(ServerEndedConnection(self.record.now(), request_id, self.uid))
            try:
                if by_move:
                    connection.sendall(b"MOVE\r\n")
                    connection.shutdown(socket.SHUT_WR)
                else:
                    connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue  # the balancer was first

    def target(self, **more: Any) -> dict[str, Any]:
        """Return the entry of this server in the list."""
        return super().target(az=self.zone, state=self.state, boot_ms=self.started_ms, **more)


class BalancerDiscovery(Discovery):
    """Discovery as one balancer reaches it."""

    def __init__(self, balancer: str, registry: DiscoveryState) -> None:
        self.balancer, self.registry = balancer, registry
        super().__init__([])

    def serve(self, connection: socket.socket) -> None:
        """Answer a call as the fault of the moment has it, and write every change on its watch."""
        state, fault = self.registry, self.registry.fault
        if fault == "down":
            reset(connection)
            return
        with connection.makefile("rb") as lines:
            lines.readline()
            while lines.readline().strip():
                pass
        if fault == "reject":
            connection.sendall(REJECTION)
            return
        while state.fault == "hang_calls" and not self.over.is_set():
            time.sleep(CHECK_SECONDS)
        self._follow(connection, state.generation)

    def _follow(self, connection: socket.socket, generation: int) -> None:
        state = self.registry
        done = len(state.changes)
        whole = state.entries()
        if state.fault == "cut":
            connection.sendall(WATCH_HEAD + self._chunk(self._list(True, whole))[:60])
            return
        connection.sendall(WATCH_HEAD)
        self._write(connection, True, whole)
        heard_at = time.monotonic()
        while state.generation == generation and not self.over.is_set():
            time.sleep(CHECK_SECONDS)
            if state.fault == "silent":
                self.over.wait()  # this watch says nothing any more
                return
            if len(state.changes) > done:
                self._write(connection, False, [state.changes[done]])
                done, heard_at = done + 1, time.monotonic()
            elif time.monotonic() - heard_at >= HEARTBEAT_SECONDS:
                connection.sendall(self._chunk(b"\r\n"))
                heard_at = time.monotonic()

    def _write(self, connection: socket.socket, whole: bool, entries: list[dict[str, Any]]) -> None:
        if has_ended(connection):  # the process has gone: nothing is told to it
            raise BrokenPipeError
        connection.sendall(self._chunk(self._list(whole, entries)))
        listed = {entry["uid"]: entry["state"] for entry in entries}
        if whole:  # what a whole list does not name is gone
            listed.update({uid: "left" for uid in self.registry.servers if uid not in listed})
        for uid, server_state in listed.items():
            self.registry.record.add(UpdateWritten(self.registry.record.now(), self.balancer, uid, server_state))

    def _list(self, whole: bool, entries: list[dict[str, Any]]) -> bytes:
        self.rev = self.registry.revision
        return self._update(whole, entries)


class DiscoveryState:
    """What discovery has, the same for all balancers, and how it misbehaves."""

    def __init__(self, servers: list[SoakServer], record: Record) -> None:
        self.servers = {server.uid: server for server in servers}
        self.record = record
        self.fault, self.generation, self.revision = "", 0, 1
        self.trouble = threading.Lock()  # one at a time
        self.changes: list[dict[str, Any]] = []

    def entries(self) -> list[dict[str, Any]]:
        """Return the whole list."""
        return [server.target() for server in self.servers.values() if server.state != "left"]

    def change(self, server: SoakServer, state: str) -> None:
        """Change the state of a server in the list."""
        server.state = state
        self.record.add(EndpointChanged(self.record.now(), server.uid, state))
        self.revision += 1
        self.changes.append(server.target())

    def end_watches(self, revision: int | None = None) -> None:
        """End all watches; with a revision, as a service that restarted and counts from there."""
        self.revision = self.revision if revision is None else revision
        self.generation += 1
