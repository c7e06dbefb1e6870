"""Servers and discovery of a run: stand-ins that inject faults and add events to the record."""

from __future__ import annotations

import socket
import struct
import threading
import time
from io import BufferedReader
from typing import Any

from standins import StubDiscovery, StubServer, reset

from .record import (
    AttemptHandled,
    AttemptReceived,
    EndpointChanged,
    EndpointUpdateSent,
    Record,
    ServerEndedConnection,
)

HEARTBEAT_INTERVAL_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.02
ACCEPT_QUEUE_FILLERS = 4  # the server may still accept one; the others fill an accept queue of length 0
BACKLOG = 128
TCP_INFO_BYTES, LAST_DATA_RECEIVED_OFFSET = 104, 52  # linux/tcp.h, struct tcp_info
DISCOVERY_REJECTION = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def first_word(line: bytes) -> str:
    """Return the first word of a line, empty for a blank one."""
    return line.split()[0].decode() if line.split() else ""


def has_ended(connection: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection."""
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def seconds_since_data(connection: socket.socket) -> float:
    """Return the time since the kernel received the last data, which may have been before the accept."""
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (milliseconds,) = struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET)
    return float(milliseconds) / 1000


class SoakServer(StubServer):
    """A server with faults. A fault affects connections accepted during it; a hang affects established ones too."""

    def __init__(self, uid: str, zone: str, record: Record) -> None:
        self.record, self.zone = record, zone
        self.fault, self.state, self.started_ms = "", "active", 0
        self.disruption_lock = threading.Lock()  # held while one step is applied
        self.paused = False  # accepts no connections
        self.established: dict[socket.socket, str] = {}  # request ids of established connections
        self._established_lock = threading.Lock()
        super().__init__(uid)

    def wait_to_accept(self) -> None:
        """Block while accepts are paused."""
        while self.paused and not self.closed.is_set():
            time.sleep(POLL_INTERVAL_SECONDS)

    def pause_accepts(self) -> list[socket.socket]:
        """Stop accepting, and fill the accept queue so that new connections wait; return the sockets that fill it."""
        self.paused = True
        self.listener.listen(0)
        fillers = [socket.socket() for _ in range(ACCEPT_QUEUE_FILLERS)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(self.address)
        return fillers

    def resume_accepts(self, fillers: list[socket.socket]) -> None:
        """Accept connections again, and close the sockets that filled the accept queue."""
        self.listener.listen(BACKLOG)
        self.paused = False
        for filler in fillers:
            filler.close()

    def serve(self, connection: socket.socket) -> None:
        """Read a request line and respond to it as the current fault requires."""
        if not connection.recv(1, socket.MSG_PEEK):
            return
        at = self.record.now() - seconds_since_data(connection)
        with connection.makefile("rb") as lines:
            request_line = lines.readline()
            if not request_line.startswith(b"OPEN ") or not request_line.endswith(b"\n"):
                return
            request_id = request_line.split()[1].decode()
            self.record.add(AttemptReceived(at, request_id, self.uid))
            self._respond(connection, lines, request_id)

    def _respond(self, connection: socket.socket, lines: BufferedReader, request_id: str) -> None:
        response = {"reject_requests": b"BUSY\r\n", "error": b"ERR\r\n"}.get(
            self.fault, f"UP {self.uid}\r\n".encode()
        )
        if self.state != "active":
            response = b"BUSY\r\n"
        if self.fault in ("hang", "reset"):
            self.record.add(AttemptHandled(self.record.now(), request_id, self.uid, self.fault))
            if self.fault == "reset":
                reset(connection)
            else:
                lines.readline()  # silent until the balancer gives up
            return
        self.record.add(AttemptHandled(self.record.now(), request_id, self.uid, first_word(response)))
        if self.fault == "split_response":
            connection.sendall(response[:2])
            time.sleep(0.1)
            response = response[2:]
        with self._established_lock:
            self.established[connection] = request_id
        connection.sendall(response)
        if response.endswith(f"{self.uid}\r\n".encode()):
            self._echo(connection, lines)
        self._remove_connection(connection)

    def _echo(self, connection: socket.socket, lines: BufferedReader) -> None:
        for line in lines:
            while self.fault == "hang" and not self.closed.is_set():
                time.sleep(POLL_INTERVAL_SECONDS)
            connection.sendall(line)

    def _remove_connection(self, connection: socket.socket) -> str | None:
        with self._established_lock:
            return self.established.pop(connection, None)

    def end_connections(self, *, by_migration: bool) -> None:
        """End all established connections: with MOVE, as a draining server does, or without, as one that has died."""
        for connection in list(self.established):
            request_id = self._remove_connection(connection)
            if request_id is None:
                continue
            self.record.add(ServerEndedConnection(self.record.now(), request_id, self.uid))
            try:
                if by_migration:
                    connection.sendall(b"MOVE\r\n")
                    connection.shutdown(socket.SHUT_WR)
                else:
                    connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue  # the balancer has closed it already

    def endpoint_entry(self, **fields: Any) -> dict[str, Any]:
        """Return the entry of this server in the endpoint list."""
        return super().endpoint_entry(az=self.zone, state=self.state, boot_ms=self.started_ms, **fields)


class BalancerDiscovery(StubDiscovery):
    """The discovery service as one balancer reaches it."""

    def __init__(self, balancer: str, registry: DiscoveryState) -> None:
        self.balancer, self.registry = balancer, registry
        super().__init__([])

    def serve(self, connection: socket.socket) -> None:
        """Respond to a call as the current fault requires, and send every change on its watch."""
        state, fault = self.registry, self.registry.fault
        if fault == "down":
            reset(connection)
            return
        with connection.makefile("rb") as lines:
            lines.readline()
            while lines.readline().strip():
                pass
        if fault == "reject":
            connection.sendall(DISCOVERY_REJECTION)
            return
        while state.fault == "hang_calls" and not self.closed.is_set():
            time.sleep(POLL_INTERVAL_SECONDS)
        self._serve_watch(connection, state.generation)

    def _serve_watch(self, connection: socket.socket, generation: int) -> None:
        state = self.registry
        changes_sent = len(state.changes)
        full_list = state.entries()
        if state.fault == "truncated_list":
            connection.sendall(WATCH_HEAD + self._chunk(self._encode_update(True, full_list))[:60])
            return
        connection.sendall(WATCH_HEAD)
        self._send_update(connection, True, full_list)
        last_sent_at = time.monotonic()
        while state.generation == generation and not self.closed.is_set():
            time.sleep(POLL_INTERVAL_SECONDS)
            if state.fault == "silent":
                self.closed.wait()  # this watch sends nothing more
                return
            if len(state.changes) > changes_sent:
                self._send_update(connection, False, [state.changes[changes_sent]])
                changes_sent, last_sent_at = changes_sent + 1, time.monotonic()
            elif time.monotonic() - last_sent_at >= HEARTBEAT_INTERVAL_SECONDS:
                connection.sendall(self._chunk(b"\r\n"))
                last_sent_at = time.monotonic()

    def _send_update(self, connection: socket.socket, full: bool, entries: list[dict[str, Any]]) -> None:
        if has_ended(connection):  # the process has exited, so the update does not reach it
            raise BrokenPipeError
        connection.sendall(self._chunk(self._encode_update(full, entries)))
        states = {entry["uid"]: entry["state"] for entry in entries}
        if full:  # a server that a full list does not contain has left
            states.update({uid: "left" for uid in self.registry.servers if uid not in states})
        for uid, server_state in states.items():
            self.registry.record.add(EndpointUpdateSent(self.registry.record.now(), self.balancer, uid, server_state))

    def _encode_update(self, full: bool, entries: list[dict[str, Any]]) -> bytes:
        self.revision = self.registry.revision
        return self._format_update(full, entries)


class DiscoveryState:
    """The endpoint list, shared by all balancers, and the current fault of discovery."""

    def __init__(self, servers: list[SoakServer], record: Record) -> None:
        self.servers = {server.uid: server for server in servers}
        self.record = record
        self.fault, self.generation, self.revision = "", 0, 1
        self.disruption_lock = threading.Lock()  # held while one step is applied
        self.changes: list[dict[str, Any]] = []

    def entries(self) -> list[dict[str, Any]]:
        """Return the full endpoint list."""
        return [server.endpoint_entry() for server in self.servers.values() if server.state != "left"]

    def change(self, server: SoakServer, state: str) -> None:
        """Change the state of a server in the endpoint list."""
        server.state = state
        self.record.add(EndpointChanged(self.record.now(), server.uid, state))
        self.revision += 1
        self.changes.append(server.endpoint_entry())

    def end_watches(self, revision: int | None = None) -> None:
        """End all watches; with a revision, continue from it, as a discovery service that restarted does."""
        self.revision = self.revision if revision is None else revision
        self.generation += 1
