"""Open paths: looked up when a server's datagram arrives, and evicted when file descriptors run short."""

from __future__ import annotations

from collections import OrderedDict

from aspensaddle.frontends.quic.client_delivery import ClientDelivery
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.session import ClientAddress, Path, ServerAddress, Session
from aspensaddle.frontends.quic.socket_slots import SocketSlots

SLOT_QUARANTINE_SECONDS = 3.0  # time before a slot represents another client at the same server
MIN_EVICTION_IDLE_SECONDS = 1.0  # a path that was used more recently is not evicted
MAX_EVICTION_CANDIDATES = 16  # paths examined per eviction, starting with the oldest
MAX_PATHS_PER_SESSION = 4


class PathTable:
    """The open paths of all sessions, and the socket slots that they use."""

    def __init__(self, context: Context, delivery: ClientDelivery) -> None:
        """Start without paths. `delivery` drops what it holds back on a path that is closed."""
        self.context, self._delivery = context, delivery
        self.count = 0
        self._slots: SocketSlots[ServerAddress] = SocketSlots(context.settings.most_sockets, SLOT_QUARANTINE_SECONDS)
        # Paths by server address and slot; those opened or examined for eviction longest ago come first.
        self._by_server_address: dict[ServerAddress, OrderedDict[int, Path]] = {}
        # The latest path for each client address and server
        self._by_client: dict[tuple[ClientAddress, int], Path] = {}

    def configure(self) -> None:
        """Use the number of sockets in the settings in force."""
        self._slots.resize(self.context.settings.most_sockets)

    def find_path_by_slot(self, slot: int, server_address: ServerAddress) -> Path | None:
        """Return the path on which a server's datagram arrived, or None if it is closed."""
        table = self._by_server_address.get(server_address)
        return None if table is None else table.get(slot)

    def find_path(self, client_address: ClientAddress, server: int) -> Path | None:
        """Return the latest path between a client's address and a server, or None."""
        return self._by_client.get((client_address, server))

    def address_of(self, server: int) -> ServerAddress | None:
        """Return the address to send a server's datagrams to, or None if it has left the endpoint list."""
        known = self.context.endpoints.addresses.get(server)
        return None if known is None else (known[0], self.context.settings.runner_port or known[1])

    def open(self, session: Session, server: int, client_address: ClientAddress) -> Path | None:
        """Open a path to a server; None if the server has left or no slot is available."""
        server_address = self.address_of(server)
        if server_address is None:
            return None
        if len(session.all_paths()) >= MAX_PATHS_PER_SESSION:
            self.close(session.least_useful_path())
        slot = self._take_slot(server_address, session)
        if slot is None:
            self.context.counters.add("quic out of paths")
            return None
        now = self.context.now
        path = Path(session, client_address, server, server_address, slot, last_used_at=now, opened_at=now)
        self._by_server_address.setdefault(server_address, OrderedDict())[slot] = path
        self._by_client[client_address, server] = path
        self.count += 1
        return path

    def _take_slot(self, server_address: ServerAddress, session: Session) -> int | None:
        slot = self._slots.acquire(server_address, self.context.now)
        if slot is None and (evicted := self._find_evictable(server_address, session)) is not None:
            # File descriptors are short. The evicted session continues: its next datagram opens a new path. The slot
            # needs no quarantine: what the server still sends to it is for the same client, or the path was idle.
            self.context.counters.add("quic paths evicted")
            slot = evicted.slot
            self._unlink(evicted)
        if slot is not None and not self.context.transport.open_socket(slot):
            self._slots.release(server_address, slot, self.context.now)
            return None
        return slot

    def _find_evictable(self, server_address: ServerAddress, session: Session) -> Path | None:
        """Return the path whose slot a new path of the session may take.

        First one that the session's client has left for another, so that the client waits for nobody, and no other
        session loses what its server sends; then an idle one of another session; at last the session's only one.
        """
        own_paths = [path for path in session.all_paths() if path.server_address == server_address]
        if len(own_paths) > 1:
            return session.least_useful_path()
        return self._find_most_idle(server_address) or next(iter(own_paths), None)

    def _find_most_idle(self, server_address: ServerAddress) -> Path | None:
        """Return the most idle of the oldest paths, if it may be evicted, and move those paths to the end."""
        table = self._by_server_address.get(server_address, OrderedDict())
        found: Path | None = None
        for _ in range(min(MAX_EVICTION_CANDIDATES, len(table))):
            slot, path = table.popitem(last=False)
            table[slot] = path
            idle = path.session.setup is None and path.last_used_at + MIN_EVICTION_IDLE_SECONDS < self.context.now
            if idle and slot < self._slots.max_slots and (found is None or path.last_used_at < found.last_used_at):
                found = path
        return found

    def close(self, path: Path, quarantine_seconds: float | None = None) -> None:
        """Close a path, unless it is closed already.

        Args:
            path: the path.
            quarantine_seconds: time before its slot is used for the same server again; None for the usual time.
        """
        if self._unlink(path):
            self._slots.release(path.server_address, path.slot, self.context.now, quarantine_seconds)

    def _unlink(self, path: Path) -> bool:
        """Remove a path from the tables and its session; return False if it was not in them."""
        table = self._by_server_address.get(path.server_address)
        if table is None or table.get(path.slot) is not path:
            return False
        del table[path.slot]
        self.count -= 1
        self._delivery.discard(path)
        if not table:
            del self._by_server_address[path.server_address]
        session = path.session
        key = path.client_address, path.server
        if self._by_client.get(key) is path:
            del self._by_client[key]
        if session.path is path:
            session.path = session.other_paths.pop() if session.other_paths else None
        elif session.other_paths and path in session.other_paths:
            session.other_paths.remove(path)
        return True

    def forget_gone_servers(self) -> None:
        """Drop the slot data of server addresses that are not in the endpoint list and have no open path."""
        listed = {self.address_of(server) for server in self.context.endpoints.addresses}
        for server_address in self._slots.servers():
            if server_address not in listed and server_address not in self._by_server_address:
                self._slots.forget(server_address)
