"""Shares of the file descriptors for client connections, by the stage of each connection.

A connection waits for its first line, is active (from a valid OPEN to the last byte of its response, or of the
connection it got) or lingers (its response is sent and its sending ended; it is read until the client has ended too).
Only its own task writes to it or closes it. Waiting and lingering connections have shares and time limits of their
own and are evicted through a cancel scope, so silent clients, however many, keep out none with a request; an active
connection is never evicted. See `docs/shutdown.md` for the stages and `docs/descriptors.md` for the sum.
"""

from __future__ import annotations

import resource
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum

import trio

from aspensaddle.frontends.line_protocol.link import Link
from aspensaddle.support.counters import Counters

ACCEPT_BATCH = 16  # connections accepted before those that are open have their turn
# Beside clients, servers and health checks: standard streams 3, event loop 5, listener 1, discovery calls 3, a file
# being read 2; and a batch of connections that are evicted and not closed yet.
RESERVED_DESCRIPTORS = 14 + ACCEPT_BATCH
MIN_STAGE_SHARE = 8  # of waiting and of lingering connections
# From the accept to the end of the first line. The protocol allows a client 3 s from its connect.
FIRST_LINE_TIMEOUT_SECONDS = 2.0
LINGER_TIMEOUT_SECONDS = 0.7  # the client's connection must end within a second of its server's


class ConnectionStage(Enum):
    """Stage of a client's connection."""

    WAITING = "waiting"
    ACTIVE = "active"
    LINGERING = "lingering"


class ConnectionSlot:
    """The descriptor of one client connection.

    Attributes:
        link: The connection.
        stage: Its stage.
        first_line_scope: Limits the wait for the first line.
        linger_scope: Limits the lingering close.
        evicted: It was evicted before its first line arrived.
    """

    __slots__ = ("evicted", "first_line_scope", "linger_scope", "link", "stage")

    def __init__(self, link: Link) -> None:
        """Start to wait for the first line."""
        self.link = link
        self.stage = ConnectionStage.WAITING
        self.first_line_scope = trio.CancelScope(deadline=trio.current_time() + FIRST_LINE_TIMEOUT_SECONDS)
        self.linger_scope = trio.CancelScope(shield=True)
        self.evicted = False


class ConnectionSlots:
    """All client connections by stage, and how many each stage may have."""

    def __init__(self, counters: Counters, sockets: int, reserve: int = 0) -> None:
        """Start without connections; for the arguments see `configure`."""
        self._counters = counters
        self._stages: dict[ConnectionStage, dict[ConnectionSlot, None]] = {
            stage: {} for stage in ConnectionStage
        }  # each the oldest first
        self._evicts_new = False
        self.configure(sockets, reserve)

    def configure(self, sockets: int, reserve: int = 0) -> None:
        """Set the shares.

        Args:
            sockets: Descriptors that the platform allows; the limit of the machine counts where it is lower.
            reserve: Descriptors of these kept for other parts of the process.
        """
        available = min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - reserve - RESERVED_DESCRIPTORS
        usable = max(2 + 2 * MIN_STAGE_SHARE, available)
        # Active clients hold at most a third of the descriptors, and each may need one more to its server.
        self.max_active = max(1, min((available + RESERVED_DESCRIPTORS) // 3, (usable - 2 * MIN_STAGE_SHARE) // 2))
        remaining = usable - 2 * self.max_active
        self.max_waiting, self.max_lingering = remaining - remaining // 2, remaining // 2

    def count(self, stage: ConnectionStage) -> int:
        """Return the connections in a stage."""
        return len(self._stages[stage])

    @property
    def open(self) -> int:
        """Connections in all stages."""
        return sum(map(len, self._stages.values()))

    @property
    def active(self) -> int:
        """Connections with a request whose response is not complete, or that are open to a server."""
        return self.count(ConnectionStage.ACTIVE)

    @property
    def full(self) -> bool:
        """Whether one more request could lack a descriptor to its server."""
        return self.active >= self.max_active

    def may_accept(self, starting: int = 0) -> bool:
        """Return whether one more connection may be accepted.

        Evicted connections need a moment to close. `starting` connections are accepted and have no slot yet.
        """
        inactive = self.count(ConnectionStage.WAITING) + self.count(ConnectionStage.LINGERING) + starting
        return inactive < self.max_waiting + self.max_lingering + ACCEPT_BATCH

    @contextmanager
    def hold(self, link: Link) -> Iterator[ConnectionSlot]:
        """Hold a slot for a connection from its accept until it is closed."""
        slot = ConnectionSlot(link)
        self._stages[ConnectionStage.WAITING][slot] = None
        if self._evicts_new:
            self._evict(slot)
        elif self.count(ConnectionStage.WAITING) > self.max_waiting:
            self.evict_oldest()
        try:
            yield slot
        finally:
            self._stages[slot.stage].pop(slot, None)

    def activate(self, slot: ConnectionSlot) -> None:
        """Note a valid OPEN: a response is owed."""
        self._enter(slot, ConnectionStage.ACTIVE)

    def linger(self, slot: ConnectionSlot, timeout: float = LINGER_TIMEOUT_SECONDS) -> None:
        """Note that the last byte of the response is sent; the lingering close may take `timeout` seconds."""
        slot.linger_scope.deadline = min(slot.linger_scope.deadline, trio.current_time() + timeout)
        self._enter(slot, ConnectionStage.LINGERING)
        if self.count(ConnectionStage.LINGERING) > self.max_lingering:
            self.abort_oldest_lingering()

    def _enter(self, slot: ConnectionSlot, stage: ConnectionStage) -> None:
        self._stages[slot.stage].pop(slot, None)
        slot.stage = stage
        self._stages[stage][slot] = None

    def _evict(self, slot: ConnectionSlot) -> None:
        if not slot.evicted:
            self._counters.add("connections_evicted")
            slot.evicted = True
            slot.first_line_scope.cancel()

    def evict_oldest(self) -> None:
        """Evict the connection that has waited longest for its first line."""
        if slot := next((s for s in self._stages[ConnectionStage.WAITING] if not s.evicted), None):
            self._evict(slot)

    def evict_all_waiting(self) -> None:
        """Evict all waiting connections, and those accepted from now on: the process shuts down."""
        self._evicts_new = True
        for slot in list(self._stages[ConnectionStage.WAITING]):
            self._evict(slot)

    def abort_oldest_lingering(self) -> None:
        """Close the connection that has lingered longest."""
        if slot := next(
            (s for s in self._stages[ConnectionStage.LINGERING] if not s.linger_scope.cancel_called), None
        ):
            self._counters.add("lingering_closes_aborted")
            slot.linger_scope.cancel()

    def abort_all_lingering(self) -> None:
        """Close all lingering connections."""
        for slot in list(self._stages[ConnectionStage.LINGERING]):
            slot.linger_scope.cancel()

    def free_descriptor(self) -> None:
        """Close a connection that is not active, since an accept found no descriptor."""
        self.abort_oldest_lingering()
        if not self.count(ConnectionStage.LINGERING):
            self.evict_oldest()
