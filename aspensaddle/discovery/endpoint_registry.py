"""The runners by number, and the address that each has."""

from __future__ import annotations

from aspensaddle.core.events import Endpoint, ServerState
from aspensaddle.discovery.endpoint_update import Update
from aspensaddle.support.address import Address
from aspensaddle.support.hashing import stable_hash


class Fleet:
    """The runners by number: a number of 32 bits for every uid, and the address each has for this balancer.

    A uid's number is a hash of it, the same at all balancers, which lay the same ring over these numbers. Of
    two uids with one hash, the later known takes the hash of itself with a count behind it.
    """

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...] = ()) -> None:
        self.zones, self.kinds = zones, kinds
        self.addresses: dict[int, Address] = {}
        self._numbers: dict[str, int] = {}
        self._uids: dict[int, str] = {}

    def number(self, uid: str) -> int:
        if (known := self._numbers.get(uid)) is not None:
            return known
        n, salt = stable_hash(uid, 32), 0
        while n in self._uids:
            salt += 1
            n = stable_hash(f"{uid}#{salt}", 32)
        self._numbers[uid], self._uids[n] = n, uid
        return n

    def find(self, uid: str) -> int | None:
        """The number of a runner that is in the list."""
        n = self._numbers.get(uid)
        return n if n in self.addresses else None

    def uid(self, server: int) -> str:
        return self._uids.get(server, str(server))

    def forget(self, server: int) -> None:
        self.addresses.pop(server, None)
        if (uid := self._uids.pop(server, None)) is not None:
            del self._numbers[uid]

    def take(self, update: Update) -> tuple[Endpoint, ...]:
        """Note the addresses of an update and number its entries for the balancer. Of a runner that is named more
        than once the last entry holds."""
        entries = []
        for t in update.targets:
            e = Endpoint(
                self.number(t.uid),
                self._zone(t.zone),
                t.cell,
                t.state,
                t.weight,
                t.started_at,
                self.kinds.index(t.model) if t.model in self.kinds else -1,
            )
            entries.append(e)
            if t.address is not None:
                self.addresses[e.server] = t.address
            if e.state is ServerState.GONE:
                self.forget(e.server)
        if update.full:
            named = {e.server for e in entries}
            for server in [s for s in self._uids if s not in named]:
                self.forget(server)
        return tuple(entries)

    def _zone(self, name: str) -> int:
        # A zone that the settings do not name is held to be far away: it gets a number of its own.
        return self.zones.index(name) if name in self.zones else len(self.zones) + stable_hash(name, 16)
