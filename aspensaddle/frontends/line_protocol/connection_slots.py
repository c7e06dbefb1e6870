"""The file descriptors of client connections, by the stage of each connection.

A connection is in one of four stages. It waits for its first line; it is active from a valid OPEN to the last byte of
its response or of its relayed connection; it is reconnecting while it is to be adopted and has no connection to its
server; or it lingers: its response is sent, sending has ended, and the process reads until the client ends its own.
Only a connection's own task writes to it or closes it.

While descriptors are free, every connection keeps its own. When they run out, waiting or reconnecting connections are
evicted through a cancel scope, whichever are more; of the waiting ones the oldest that has sent nothing goes first.
Any number of silent clients therefore cannot keep out a client with a request. An active connection is never evicted.
See `docs/shutdown.md` for the stages and `docs/descriptors.md` for the descriptor budget.
"""

from __future__ import annotations

import resource
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum

import trio

from aspensaddle.frontends.line_protocol.link import Link
from aspensaddle.support.counters import Counters

ACCEPT_BATCH = 16  # limit of connections accepted before the tasks of open connections run again
# Descriptors for everything but clients, servers and health checks: standard streams 3, event loop 5, listener 1,
# discovery calls 3, a file being read 2; plus one batch of connections that are evicted and not closed yet.
RESERVED_DESCRIPTORS = 14 + ACCEPT_BATCH
MIN_STAGE_SHARE = 8  # descriptors always left to waiting connections, and as many to lingering ones
# Time limit from the accept to the end of the first line. The protocol allows a client 3 s from its connect.
FIRST_LINE_TIMEOUT_SECONDS = 2.0
LINGER_TIMEOUT_SECONDS = 0.7  # a client's connection must end within 1 s of the end of its server's
CLOSING_CHECK_SECONDS = 0.001  # pause between two checks whether evicted connections have closed


class ConnectionStage(Enum):
    """Stage of a client's connection."""

    WAITING = "waiting"
    RECONNECTING = "reconnecting"
    ACTIVE = "active"
    LINGERING = "lingering"


# Where the two hold as many connections, one that waits for its first line is evicted.
EVICTED_STAGES = (ConnectionStage.WAITING, ConnectionStage.RECONNECTING)


class ConnectionSlot:
    """The descriptor of one client connection.

    Attributes:
        link: The connection.
        stage: Stage of the connection.
        first_line_scope: Limits the wait for the first line.
        linger_scope: Limits the lingering close.
        evicted: Whether the connection was evicted before its first line arrived or while it was reconnecting.
        readmitted: Whether an eviction was revoked because bytes had arrived.
        has_request: Whether its OPEN was valid and was accepted.
    """

    __slots__ = ("evicted", "first_line_scope", "has_request", "linger_scope", "link", "readmitted", "stage")

    def __init__(self, link: Link | None) -> None:
        """Start in the waiting stage, with the time limit of the first line."""
        self.link = link
        self.stage = ConnectionStage.WAITING
        self.first_line_scope = trio.CancelScope(deadline=trio.current_time() + FIRST_LINE_TIMEOUT_SECONDS)
        self.linger_scope = trio.CancelScope(shield=True)
        self.evicted = False
        self.readmitted = False
        self.has_request = False

    @property
    def is_silent(self) -> bool:
        """Whether nothing from the client is buffered."""
        return self.link is None or not self.link.buffered


class ConnectionSlots:
    """Tracks every client connection, its stage, and the descriptors in use.

    Attributes:
        max_active: Limit of active connections; a request beyond it is rejected.
        max_waiting: Descriptors that active and lingering connections always leave to the others.
        max_lingering: Limit of lingering connections.
        starting: Accepted connections that hold no slot yet.
    """

    def __init__(self, counters: Counters, sockets: int, reserve: int = 0) -> None:
        """Start without connections; for the arguments see `configure`."""
        self._counters = counters
        self._stages: dict[ConnectionStage, dict[ConnectionSlot, None]] = {
            stage: {} for stage in ConnectionStage
        }  # the oldest connection of each stage first
        # Connections that were evicted or aborted, but that their tasks have not closed yet
        self._closing: set[ConnectionSlot] = set()
        self._evicts_new = False
        self.starting = 0
        self.configure(sockets, reserve)

    def configure(self, sockets: int, reserve: int = 0) -> None:
        """Divide the descriptors among the stages.

        Args:
            sockets: Descriptors that the platform allows; a lower limit of the machine takes precedence.
            reserve: Of these, descriptors kept for other parts of the process.
        """
        available = min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - reserve - RESERVED_DESCRIPTORS
        self._usable = max(2 + 2 * MIN_STAGE_SHARE, available)
        # Active clients hold at most a third of the descriptors, and each may need another one for its server.
        self.max_active = max(
            1, min((available + RESERVED_DESCRIPTORS) // 3, (self._usable - 2 * MIN_STAGE_SHARE) // 2)
        )
        remaining = self._usable - 2 * self.max_active
        self.max_waiting, self.max_lingering = remaining - remaining // 2, remaining // 2

    def count(self, stage: ConnectionStage) -> int:
        """Return the number of connections in a stage."""
        return len(self._stages[stage])

    @property
    def open(self) -> int:
        """Number of connections in all stages."""
        return sum(map(len, self._stages.values()))

    @property
    def active(self) -> int:
        """Number of connections that await a response or are relayed to a server."""
        return self.count(ConnectionStage.ACTIVE)

    @property
    def full(self) -> bool:
        """Whether there may be no descriptor for the server connection of another request."""
        return self.active >= self.max_active

    @property
    def descriptors(self) -> int:
        """Descriptors in use; each active connection counts twice, once for its server."""
        return self.open + self.active + self.starting

    @property
    def has_closing(self) -> bool:
        """Whether evicted or aborted connections have not closed yet."""
        return bool(self._closing)

    def may_accept(self) -> bool:
        """Return whether another connection may be accepted; the limit allows for evicted ones that are closing."""
        return self.descriptors < self._usable + ACCEPT_BATCH

    @contextmanager
    def hold(self, link: Link | None) -> Iterator[ConnectionSlot]:
        """Hold a slot for a connection from its accept until it is closed."""
        slot = ConnectionSlot(link)
        self._stages[ConnectionStage.WAITING][slot] = None
        if self._evicts_new:
            self._evict(slot)
        self._make_room()
        try:
            yield slot
        finally:
            self._stages[slot.stage].pop(slot, None)
            self._closing.discard(slot)

    def activate(self, slot: ConnectionSlot) -> None:
        """Make a connection active after a valid OPEN."""
        self._enter(slot, ConnectionStage.ACTIVE)
        self._make_room()

    def reconnect(self, slot: ConnectionSlot) -> trio.CancelScope:
        """Make a connection wait for its server; return the scope that is cancelled if it is evicted meanwhile."""
        if slot.stage is not ConnectionStage.RECONNECTING:
            self._enter(slot, ConnectionStage.RECONNECTING)
        slot.first_line_scope = trio.CancelScope()
        if slot.evicted:
            slot.first_line_scope.cancel()
        elif self._evicts_new:
            self._evict(slot)
        return slot.first_line_scope

    async def wait_for_descriptor(self) -> None:
        """Wait until a descriptor for a server is free; the tasks of evicted connections close them."""
        while self.descriptors > self._usable + ACCEPT_BATCH and self._closing:
            await trio.sleep(CLOSING_CHECK_SECONDS)

    def linger(self, slot: ConnectionSlot, timeout: float = LINGER_TIMEOUT_SECONDS) -> None:
        """Make a connection linger after its last byte was sent, for at most `timeout` seconds."""
        slot.linger_scope.deadline = min(slot.linger_scope.deadline, trio.current_time() + timeout)
        self._enter(slot, ConnectionStage.LINGERING)
        if self.count(ConnectionStage.LINGERING) > self.max_lingering:
            self.abort_oldest_lingering()
        self._make_room()

    def readmit(self, slot: ConnectionSlot) -> bool:
        """Revoke the eviction of a connection whose bytes had arrived; return whether reading may continue.

        A connection is readmitted once at most. Another one is evicted in its place if descriptors are still lacking.
        """
        if self._evicts_new or slot.readmitted:
            return False
        self._counters.add("evictions_revoked")
        slot.evicted, slot.readmitted = False, True
        slot.first_line_scope = trio.CancelScope(deadline=slot.first_line_scope.deadline)
        self._closing.discard(slot)
        self._make_room()
        return True

    def _enter(self, slot: ConnectionSlot, stage: ConnectionStage) -> None:
        self._stages[slot.stage].pop(slot, None)
        self._closing.discard(slot)
        slot.stage = stage
        self._stages[stage][slot] = None

    def _make_room(self) -> None:
        """Close connections until the descriptors suffice, starting with those that lose least by it."""
        while self.descriptors - len(self._closing) > self._usable:
            if not (self._abort_evicted_lingering() or self.evict_oldest() or self.abort_oldest_lingering()):
                return

    def _evict(self, slot: ConnectionSlot) -> None:
        if not slot.evicted:
            self._counters.add("connections_evicted")
            slot.evicted = True
            slot.first_line_scope.cancel()
            self._closing.add(slot)

    def evict_oldest(self) -> bool:
        """Evict the oldest waiting or reconnecting connection, of those that are more; return False if there is none.

        Of waiting connections a silent one goes first.
        """
        for stage in sorted(EVICTED_STAGES, key=self.count, reverse=True):
            slot = self._oldest_of(stage)
            if slot is not None:
                self._evict(slot)
                return True
        return False

    def _oldest_of(self, stage: ConnectionStage) -> ConnectionSlot | None:
        """Return the oldest silent connection of a stage, else the oldest, or None if there is none to evict."""
        oldest = None
        for slot in self._stages[stage]:
            if slot.evicted:
                continue
            if slot.is_silent:
                return slot
            oldest = oldest or slot
        return oldest

    def evict_all_waiting(self) -> None:
        """Evict all waiting and reconnecting connections and all accepted from now on, for the shutdown."""
        self._evicts_new = True
        for stage in EVICTED_STAGES:
            for slot in list(self._stages[stage]):
                self._evict(slot)

    def _abort_evicted_lingering(self) -> bool:
        """Close the oldest lingering connection that was evicted; return False if there is none."""
        return self._abort_first(slot for slot in self._lingering() if slot.evicted)

    def abort_oldest_lingering(self) -> bool:
        """Close the connection that has lingered longest; return False if there is none."""
        return self._abort_first(self._lingering())

    def _lingering(self) -> Iterator[ConnectionSlot]:
        return (slot for slot in self._stages[ConnectionStage.LINGERING] if not slot.linger_scope.cancel_called)

    def _abort_first(self, slots: Iterator[ConnectionSlot]) -> bool:
        slot = next(slots, None)
        if slot is None:
            return False
        self._counters.add("lingering_closes_aborted")
        self._closing.add(slot)
        slot.linger_scope.cancel()
        return True

    def abort_all_lingering(self) -> None:
        """Close all lingering connections."""
        for slot in list(self._stages[ConnectionStage.LINGERING]):
            slot.linger_scope.cancel()

    def free_descriptor(self) -> None:
        """Close a lingering or waiting connection, after an accept failed for lack of a descriptor."""
        if not self.abort_oldest_lingering():
            self.evict_oldest()
