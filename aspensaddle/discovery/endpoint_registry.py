"""Registry of the known servers: the number that identifies each in the core, and its address."""

from __future__ import annotations

from aspensaddle.core.events import Endpoint, ServerState
from aspensaddle.discovery.endpoint_update import EndpointListUpdate, EndpointRecord
from aspensaddle.support.address import Address
from aspensaddle.support.hashing import stable_hash

SERVER_NUMBER_BITS = 32
UNKNOWN_ZONE_BITS = 16


class EndpointRegistry:
    """Maps each uid to a 32-bit server number and to an address.

    A server's number is a hash of its uid, so that all balancers build the same hash ring. If two uids have the same
    hash, the one registered later gets the hash of its uid with a counter appended.

    Attributes:
        addresses: The address of each server in the list, by server number.
    """

    def __init__(self, zones: tuple[str, ...], machine_types: tuple[str, ...] = ()) -> None:
        self.zones = zones
        self.machine_types = machine_types
        self.addresses: dict[int, Address] = {}
        self._numbers: dict[str, int] = {}
        self._uids: dict[int, str] = {}

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

    def forget(self, server: int) -> None:
        """Remove a server and its number."""
        self.addresses.pop(server, None)
        if (uid := self._uids.pop(server, None)) is not None:
            del self._numbers[uid]

    def apply(self, update: EndpointListUpdate) -> tuple[Endpoint, ...]:
        """Apply an update and return its entries for the core.

        If a server is listed twice, the last entry takes effect.
        """
        endpoints = tuple(self._apply_record(record) for record in update.endpoints)
        if update.complete:
            self._forget_all_except({endpoint.server for endpoint in endpoints})
        return endpoints

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
        return endpoint

    def _forget_all_except(self, servers: set[int]) -> None:
        for server in [known for known in self._uids if known not in servers]:
            self.forget(server)

    def _machine_type_index(self, name: str) -> int:
        return self.machine_types.index(name) if name in self.machine_types else -1

    def _zone_index(self, name: str) -> int:
        # A zone that is not in the settings counts as remote: it gets an index of its own, after theirs.
        if name in self.zones:
            return self.zones.index(name)
        return len(self.zones) + stable_hash(name, UNKNOWN_ZONE_BITS)
