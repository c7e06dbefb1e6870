"""Registry of the known servers: the number that identifies each in the core, and its address."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from aspensaddle.core.events import Endpoint, ServerState
from aspensaddle.discovery.endpoint_update import EndpointListUpdate, EndpointRecord
from aspensaddle.support.address import Address
from aspensaddle.support.hashing import stable_hash

SERVER_NUMBER_BITS = 32
UNKNOWN_ZONE_BITS = 16
MAX_SERVERS = 8192  # limit of the listed servers; a fleet has 3,200 at most (operators, STANDING)
MAX_DEPARTED_SERVERS = 4096  # limit of the remembered uids of servers that left the list


class EndpointRegistry:
    """Maps each uid to a 32-bit server number and to an address.

    A server's number is a hash of its uid, so that all balancers build the same hash ring. If two uids have the same
    hash, the one registered later gets the hash of its uid with a counter appended.

    Attributes:
        addresses: The address of each server in the list, by server number.
        confirmed_at: When the list's source last showed that the list is whole and current, in seconds of the event
            loop's clock; minus infinity if it never did, infinity for a list that only the configuration changes.
        on_rejected: Called with the uid of a new server that was left out because the list is full.
    """

    def __init__(self, zones: tuple[str, ...], machine_types: tuple[str, ...] = ()) -> None:
        self.zones = zones
        self.machine_types = machine_types
        self.addresses: dict[int, Address] = {}
        self.confirmed_at = float("-inf")
        self.on_rejected: Callable[[str], None] = lambda uid: None
        self._numbers: dict[str, int] = {}
        self._uids: dict[int, str] = {}
        self._departed_uids: OrderedDict[str, None] = OrderedDict()  # the one that left longest ago comes first

    def number(self, uid: str) -> int:
        """Return the number of a uid, assigned on first use."""
        if (known := self._numbers.get(uid)) is not None:
            return known
        number = stable_hash(uid, SERVER_NUMBER_BITS)
        salt = 0
        while number in self._uids:
            salt += 1
            number = stable_hash(f"{uid}#{salt}", SERVER_NUMBER_BITS)
        self._numbers[uid] = number
        self._uids[number] = uid
        return number

    def find(self, uid: str) -> int | None:
        """Return the number of a server in the list, or None."""
        number = self._numbers.get(uid)
        return number if number in self.addresses else None

    def uid(self, server: int) -> str:
        """Return the uid of a server number, or the number itself as text if it is unknown."""
        return self._uids.get(server, str(server))

    def has_departed(self, uid: str) -> bool:
        """Return whether the list had a server and has it no more, or named it as gone, as far as remembered."""
        return uid in self._departed_uids

    def forget(self, server: int) -> None:
        """Remove a server and its number."""
        self.addresses.pop(server, None)
        if (uid := self._uids.pop(server, None)) is not None:
            del self._numbers[uid]
            self._remember_departure(uid)

    def _remember_departure(self, uid: str) -> None:
        self._departed_uids[uid] = None
        self._departed_uids.move_to_end(uid)
        while len(self._departed_uids) > MAX_DEPARTED_SERVERS:
            self._departed_uids.popitem(last=False)

    def apply(self, update: EndpointListUpdate) -> tuple[Endpoint, ...]:
        """Apply an update and return its entries for the core.

        If a server is listed twice, the last entry takes effect. New servers beyond `MAX_SERVERS` are left out.
        """
        if update.complete:
            self._forget_all_except({record.uid for record in update.endpoints})
        endpoints = []
        for record in update.endpoints:
            if self._has_room_for(record):
                endpoints.append(self._apply_record(record))
            else:
                self.on_rejected(record.uid)
        return tuple(endpoints)

    def _has_room_for(self, record: EndpointRecord) -> bool:
        is_known = record.uid in self._numbers or record.state is ServerState.GONE
        return is_known or len(self._numbers) < MAX_SERVERS

    def _apply_record(self, record: EndpointRecord) -> Endpoint:
        endpoint = Endpoint(
            self.number(record.uid),
            zone=self._zone_index(record.zone),
            cell=record.cell,
            state=record.state,
            weight=record.weight,
            started_at=record.started_at,
            machine_type=self._machine_type_index(record.machine_type),
        )
        if record.address is not None:
            self.addresses[endpoint.server] = record.address
        if endpoint.state is ServerState.GONE:
            self.forget(endpoint.server)
        else:
            self._departed_uids.pop(record.uid, None)
        return endpoint

    def _forget_all_except(self, uids: set[str]) -> None:
        for server in [server for server, uid in self._uids.items() if uid not in uids]:
            self.forget(server)

    def _machine_type_index(self, name: str) -> int:
        return self.machine_types.index(name) if name in self.machine_types else -1

    def _zone_index(self, name: str) -> int:
        # A zone that is not in the settings counts as remote: it gets an index of its own, after theirs.
        if name in self.zones:
            return self.zones.index(name)
        return len(self.zones) + stable_hash(name, UNKNOWN_ZONE_BITS)
