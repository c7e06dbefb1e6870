"""The paths that are open: found by what comes back on them, given up when descriptors run short."""

from __future__ import annotations

from collections import OrderedDict

from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.session import ClientAddress, Path, ServerAddress, Session
from aspensaddle.frontends.quic.socket_slots import SocketSlots

REST = 3.0  # seconds before an address towards a runner is another client's
EVICT_IDLE = 1.0  # a path that passed something so lately is not given up for another
EVICT_LOOKS = 16  # paths looked at, of those opened longest ago
MOST_OF_SESSION = 4  # paths that one session may have


class PathTable:
    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.count = 0
        self._slots: SocketSlots[ServerAddress] = SocketSlots(ctx.settings.most_sockets, REST)
        # By the runner's address and the socket's number, those opened or looked at longest ago first.
        self._open: dict[ServerAddress, OrderedDict[int, Path]] = {}
        self._by_peer: dict[tuple[ClientAddress, int], Path] = {}  # and by the client's address and the server

    def configure(self) -> None:
        self._slots.resize(self.ctx.settings.most_sockets)

    def at(self, slot: int, runner: ServerAddress) -> Path | None:
        """The path on which a runner's datagram came."""
        table = self._open.get(runner)
        return None if table is None else table.get(slot)

    def of(self, peer: ClientAddress, server: int) -> Path | None:
        """The path last opened between a client's address and a runner."""
        return self._by_peer.get((peer, server))

    def address(self, server: int) -> ServerAddress | None:
        known = self.ctx.fleet.addresses.get(server)
        return None if known is None else (known[0], self.ctx.settings.runner_port or known[1])

    def open(self, session: Session, server: int, peer: ClientAddress) -> Path | None:
        """A path to a runner, or None where the runner has left or none is to be had."""
        runner = self.address(server)
        if runner is None:
            return None
        slot = self._take(runner)
        if slot is None:
            self.ctx.counters.add("quic out of paths")
            return None
        path = Path(session, peer, server, runner, slot, self.ctx.now)
        self._open.setdefault(runner, OrderedDict())[slot] = path
        self._by_peer[peer, server] = path
        self.count += 1
        return path

    def _take(self, runner: ServerAddress) -> int | None:
        slot = self._slots.take(runner, self.ctx.now)
        if slot is None and (old := self._idlest(runner)) is not None:
            # Guards against running out of descriptors: its session goes on, its next datagram opens a path.
            # It needs no rest: the runner has nothing to say to one that has been idle.
            self.ctx.counters.add("quic paths evicted")
            slot = old.slot
            self._unlink(old)
        if slot is not None and not self.ctx.wire.open(slot):
            self._slots.give_back(runner, slot, self.ctx.now)
            return None
        return slot

    def _idlest(self, runner: ServerAddress) -> Path | None:
        """Of some paths opened long ago the one idle for longest, if that is long; the others go to the back."""
        table = self._open.get(runner, OrderedDict())
        found: Path | None = None
        for _ in range(min(EVICT_LOOKS, len(table))):
            slot, path = table.popitem(last=False)
            table[slot] = path
            idle = path.session.placing is None and path.used + EVICT_IDLE < self.ctx.now
            if idle and slot < self._slots.most and (found is None or path.used < found.used):
                found = path
        return found

    def close(self, path: Path, rest: float | None = None) -> None:
        """Give a path up. `rest`: seconds before its socket serves another there, where the usual is too long."""
        if self._unlink(path):
            self._slots.give_back(path.runner, path.slot, self.ctx.now, rest)

    def _unlink(self, path: Path) -> bool:
        table = self._open.get(path.runner)
        if table is None or table.get(path.slot) is not path:
            return False
        del table[path.slot]
        self.count -= 1
        if not table:
            del self._open[path.runner]
        session = path.session
        key = path.peer, path.server
        if self._by_peer.get(key) is path:
            del self._by_peer[key]
        if session.path is path:
            session.path = session.others.pop() if session.others else None
        elif session.others and path in session.others:
            session.others.remove(path)
        return True

    def forget(self) -> None:
        """Forget what runners had that are gone, by address, and have no path open any more."""
        here = {self.address(server) for server in self.ctx.fleet.addresses}
        for runner in self._slots.runners():
            if runner not in here and runner not in self._open:
                self._slots.forget(runner)
