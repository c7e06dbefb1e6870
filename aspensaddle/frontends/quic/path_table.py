"""The paths that are open: found by what comes back on them, given up when descriptors run short."""

from __future__ import annotations

from collections import OrderedDict

from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.session import ClientAddress, Path, ServerAddress, Session
from aspensaddle.frontends.quic.socket_slots import SocketSlots

SLOT_QUARANTINE_SECONDS = 3.0  # seconds before an address towards a runner is another client's
MIN_EVICTION_IDLE_SECONDS = 1.0  # a path that passed something so lately is not given up for another
MAX_EVICTION_CANDIDATES = 16  # paths looked at, of those opened longest ago
MAX_PATHS_PER_SESSION = 4  # paths that one session may have


class PathTable:
    def __init__(self, context: Context) -> None:
        self.context = context
        self.count = 0
        self._slots: SocketSlots[ServerAddress] = SocketSlots(context.settings.most_sockets, SLOT_QUARANTINE_SECONDS)
        # By the runner's address and the socket's number, those opened or looked at longest ago first.
        self._by_server_address: dict[ServerAddress, OrderedDict[int, Path]] = {}
        self._by_client: dict[tuple[ClientAddress, int], Path] = {}  # and by the client's address and the server

    def configure(self) -> None:
        self._slots.resize(self.context.settings.most_sockets)

    def find_path_by_slot(self, slot: int, server_address: ServerAddress) -> Path | None:
        """The path on which a runner's datagram came."""
        table = self._by_server_address.get(server_address)
        return None if table is None else table.get(slot)

    def find_path(self, client_address: ClientAddress, server: int) -> Path | None:
        """The path last opened between a client's address and a runner."""
        return self._by_client.get((client_address, server))

    def address_of(self, server: int) -> ServerAddress | None:
        known = self.context.endpoints.addresses.get(server)
        return None if known is None else (known[0], self.context.settings.runner_port or known[1])

    def open(self, session: Session, server: int, client_address: ClientAddress) -> Path | None:
        """A path to a runner, or None where the runner has left or none is to be had."""
        server_address = self.address_of(server)
        if server_address is None:
            return None
        slot = self._take_slot(server_address)
        if slot is None:
            self.context.counters.add("quic out of paths")
            return None
        path = Path(session, client_address, server, server_address, slot, self.context.now)
        self._by_server_address.setdefault(server_address, OrderedDict())[slot] = path
        self._by_client[client_address, server] = path
        self.count += 1
        return path

    def _take_slot(self, server_address: ServerAddress) -> int | None:
        slot = self._slots.acquire(server_address, self.context.now)
        if slot is None and (old := self._find_most_idle(server_address)) is not None:
            # Guards against running out of descriptors: its session goes on, its next datagram opens a path.
            # It needs no rest: the runner has nothing to say to one that has been idle.
            self.context.counters.add("quic paths evicted")
            slot = old.slot
            self._unlink(old)
        if slot is not None and not self.context.transport.open_socket(slot):
            self._slots.release(server_address, slot, self.context.now)
            return None
        return slot

    def _find_most_idle(self, server_address: ServerAddress) -> Path | None:
        """Of some paths opened long ago the one idle for longest, if that is long; the others go to the back."""
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
        """Give a path up. `rest`: seconds before its socket serves another there, where the usual is too long."""
        if self._unlink(path):
            self._slots.release(path.server_address, path.slot, self.context.now, quarantine_seconds)

    def _unlink(self, path: Path) -> bool:
        table = self._by_server_address.get(path.server_address)
        if table is None or table.get(path.slot) is not path:
            return False
        del table[path.slot]
        self.count -= 1
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
        """Forget what runners had that are gone, by address, and have no path open any more."""
        here = {self.address_of(server) for server in self.context.endpoints.addresses}
        for server_address in self._slots.servers():
            if server_address not in here and server_address not in self._by_server_address:
                self._slots.forget(server_address)
