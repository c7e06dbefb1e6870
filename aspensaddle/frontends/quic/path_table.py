"""Open paths: looked up when a server's datagram arrives, and evicted when file descriptors run short."""

from __future__ import annotations

from collections import OrderedDict

from aspensaddle.frontends.quic.client_cids import ClientConnectionId, destination_prefix
from aspensaddle.frontends.quic.client_delivery import ClientDelivery
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.session import ClientAddress, Path, ServerAddress, Session, least_useful_path
from aspensaddle.frontends.quic.socket_slots import SocketSlots

SLOT_QUARANTINE_SECONDS = 3.0  # time before a slot represents another client at the same server
MIN_EVICTION_IDLE_SECONDS = 1.0  # a path that was used more recently is not evicted
MAX_CANDIDATES = 16  # slots examined when one is to be shared or evicted, starting with the oldest
MAX_PATHS_PER_SESSION = 4


class PathTable:
    """The open paths of all sessions, and the socket slots that they use."""

    def __init__(self, context: Context, delivery: ClientDelivery) -> None:
        """Start without paths. `delivery` drops what it holds back on a path that is closed."""
        self.context, self._delivery = context, delivery
        self.count = 0
        self._slots: SocketSlots[ServerAddress] = SocketSlots(context.settings.most_sockets, SLOT_QUARANTINE_SECONDS)
        # Paths by server address and slot, of which several share one where sockets are used up. The slots that were
        # opened or examined longest ago come first.
        self._by_server_address: dict[ServerAddress, OrderedDict[int, list[Path]]] = {}
        # The latest path for each client address and server
        self._by_client: dict[tuple[ClientAddress, int], Path] = {}

    def configure(self) -> None:
        """Use the number of sockets in the settings in force."""
        self._slots.resize(self.context.settings.most_sockets)

    def find_path_by_slot(self, slot: int, server_address: ServerAddress, data: bytes) -> Path | None:
        """Return the path on which a server's datagram arrived, or None if it is closed."""
        paths = self.paths_of_slot(slot, server_address)
        if len(paths) < 2:
            return paths[0] if paths else None
        prefix = destination_prefix(data)
        for path in paths:
            if prefix and path.client_cid.known_prefix == prefix:
                return path
        # The server uses a connection ID that it has not used before.
        unknown = [path for path in paths if not path.client_cid.known_prefix]
        return max(unknown or paths, key=lambda path: path.last_client_datagram_at)

    def paths_of_slot(self, slot: int, server_address: ServerAddress) -> list[Path]:
        """Return the open paths of a slot at a server."""
        table = self._by_server_address.get(server_address)
        return [] if table is None else table.get(slot, [])

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
            self.close(least_useful_path(session.other_paths or []))
        client_cid = session.expected_client_cid()
        slot = self._take_slot(server_address, session, client_cid)
        if slot is None:
            self.context.counters.add("quic out of paths")
            return None
        now = self.context.now
        path = Path(session, client_address, server, server_address, slot, now, opened_at=now, client_cid=client_cid)
        self._by_server_address.setdefault(server_address, OrderedDict()).setdefault(slot, []).append(path)
        self._by_client[client_address, server] = path
        self.count += 1
        return path

    def _take_slot(
        self, server_address: ServerAddress, session: Session, client_cid: ClientConnectionId
    ) -> int | None:
        slot = self._slots.acquire(server_address, self.context.now)
        if slot is None and (shared := self._find_shareable_slot(server_address, session, client_cid)) is not None:
            self.context.counters.add("quic sockets shared")
            return shared
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

    def _find_shareable_slot(
        self, server_address: ServerAddress, session: Session, client_cid: ClientConnectionId
    ) -> int | None:
        """Return the slot with the fewest paths, of those examined, whose server's datagrams can be told apart.

        The server has to use known connection IDs on all paths of a slot but one, and no two are of one session.
        """
        table = self._by_server_address.get(server_address, OrderedDict())
        found: int | None = None
        for _ in range(min(MAX_CANDIDATES, len(table))):
            slot, paths = table.popitem(last=False)
            table[slot] = paths
            prefixes = [path.client_cid.known_prefix for path in paths]
            is_distinct = all(prefixes) and client_cid.known_prefix not in prefixes
            is_excluded = any(path.session is session or path.session.routed_by_address for path in paths)
            if not is_distinct or is_excluded or slot >= self._slots.max_slots:
                continue
            if found is None or len(paths) < len(table[found]):
                found = slot
        return found

    def _find_evictable(self, server_address: ServerAddress, session: Session) -> Path | None:
        """Return the path whose slot a new path of the session may take.

        First one that the session's client has left for another, so that the client waits for nobody, and no other
        session loses what its server sends; then an idle one of another session; at last the session's only one.
        """
        own_paths = [path for path in session.all_paths() if path.server_address == server_address]
        if left_paths := [path for path in own_paths if path is not session.path]:
            return least_useful_path(left_paths)
        return self._find_most_idle(server_address) or next(iter(own_paths), None)

    def _find_most_idle(self, server_address: ServerAddress) -> Path | None:
        """Return the most idle of the oldest paths, if it may be evicted, and move those paths to the end."""
        table = self._by_server_address.get(server_address, OrderedDict())
        found: Path | None = None
        for _ in range(min(MAX_CANDIDATES, len(table))):
            slot, paths = table.popitem(last=False)
            table[slot] = paths
            if len(paths) > 1:
                continue
            (path,) = paths
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
        if self._unlink(path) and not self.paths_of_slot(path.slot, path.server_address):
            self._slots.release(path.server_address, path.slot, self.context.now, quarantine_seconds)

    def _unlink(self, path: Path) -> bool:
        """Remove a path from the tables and its session; return False if it was not in them."""
        table = self._by_server_address.get(path.server_address)
        paths = self.paths_of_slot(path.slot, path.server_address)
        if table is None or path not in paths:
            return False
        paths.remove(path)
        if not paths:
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
