"""Replicas of the store on a simulated network, in virtual time: datagrams may be lost or late, from a seed."""

from __future__ import annotations

from random import Random

import trio

from aspensaddle.store.messages import MAX_DATAGRAM_BYTES, AuthenticatedMessage, decode_datagram, encode_datagram
from aspensaddle.store.replica import Replica
from aspensaddle.store.settings import StoreSettings
from aspensaddle.store.transport import unix_ms
from aspensaddle.support.counters import Counters

SHARED_KEY = bytes(range(16))
KILL_SECONDS = 2.45  # PROTOCOL: SIGKILL comes no sooner than 1.8 s and 0.7 s after SIGTERM; the process ends before


class Network:
    """Carries datagrams between addresses.

    Attributes:
        loss: The fraction of datagrams that are lost.
        cut: Pairs of ports between which all are lost.
        most_bytes_waiting: The most bytes that have waited at one address.
    """

    def __init__(self, nursery: trio.Nursery, seed: int = 0, loss: float = 0.0) -> None:
        self.loss = loss
        self.cut: set[frozenset[int]] = set()
        self.most_bytes_waiting = 0
        self.random = Random(seed)
        self.nursery = nursery
        self.sockets: dict[tuple[str, int], MemoryTransport] = {}

    def send(self, data: bytes, sender: tuple[str, int], receiver: tuple[str, int]) -> None:
        if self.random.random() < self.loss or frozenset((sender[1], receiver[1])) in self.cut:
            return
        self.nursery.start_soon(self._deliver, data, sender, receiver, self.random.uniform(0.001, 0.02))

    async def _deliver(self, data, sender, receiver, delay) -> None:
        await trio.sleep(delay)
        if (transport := self.sockets.get(receiver)) is not None:
            transport.waiting.append((data, sender))
            transport.bytes_waiting += len(data)
            self.most_bytes_waiting = max(self.most_bytes_waiting, transport.bytes_waiting)
            transport.arrived.set()


class MemoryTransport:
    """Stands in for `DatagramTransport`."""

    def __init__(self, network: Network, node: str) -> None:
        self.network, self.node = network, node
        self.waiting: list[tuple[bytes, tuple[str, int]]] = []
        self.bytes_waiting = 0
        self.arrived = trio.Event()

    def bind(self, address: tuple[str, int]) -> None:
        self.address = address
        self.network.sockets[address] = self

    async def wait_readable(self) -> None:
        while not self.waiting:
            self.arrived = trio.Event()
            await self.arrived.wait()

    def receive(self):
        waiting, self.waiting, self.bytes_waiting = self.waiting, [], 0
        for data, sender in waiting:
            message: AuthenticatedMessage = decode_datagram(SHARED_KEY, unix_ms(), data)
            yield message, sender

    def send(self, body, address) -> None:
        data = encode_datagram(SHARED_KEY, self.node, unix_ms(), body)
        assert len(data) <= MAX_DATAGRAM_BYTES
        self.network.send(data, self.address, address)


class Node:
    """One daemon's replica through its restarts.

    Attributes:
        replica: That of the running process, or None.
        outcome: How the last join ended, or None while it goes on.
        join_seconds: How long the last join took.
    """

    def __init__(self, network: Network, nodes: dict[str, tuple[str, int]], name: str, gossip_s: float = 1.0) -> None:
        self.network, self.name = network, name
        self.settings = StoreSettings(SHARED_KEY, nodes, gossip_s)
        self.replica: Replica | None = None

    def boot(self) -> None:
        """Start a process without waiting until it is ready."""
        self.replica = Replica(self.name, self.settings, Counters(), joins=True)
        self.replica._random.seed(self.network.random.random())
        self.replica.transport = MemoryTransport(self.network, self.name)
        self.replica.bind()
        self.outcome, self.ready = None, trio.Event()
        self.scope = trio.CancelScope()
        self.network.nursery.start_soon(self._run, self.replica, self.scope)

    async def _run(self, replica: Replica, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(replica.run)
                began_at = trio.current_time()
                self.outcome = await replica.join()
                self.join_seconds = trio.current_time() - began_at
                self.ready.set()

    async def start(self) -> None:
        """Start a process and wait until it is ready."""
        self.boot()
        await self.ready.wait()

    def kill(self) -> None:
        """End the process at once."""
        assert self.replica is not None
        self.scope.cancel()
        del self.network.sockets[self.replica.transport.address]
        assert not self.replica.counters["internal_errors"]
        self.replica = None

    async def terminate(self) -> bool:
        """End the process as SIGTERM does; return whether its entries were handed over."""
        with trio.move_on_after(KILL_SECONDS) as limit:
            await self.replica.hand_over()
        self.kill()
        return not limit.cancelled_caught

    @property
    def entries(self):
        return self.replica.state.entries


def seed_scheduler(seed: int) -> None:
    """Make trio run the tasks of a pass in the same order in each play of a seed."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)


def make_nodes(network: Network, count: int, **settings) -> list[Node]:
    """Return the nodes of one store; none is started."""
    addresses = {f"n{number}": ("127.0.0.1", 7000 + number) for number in range(count)}
    return [Node(network, addresses, name, **settings) for name in addresses]


def fill(node: Node, count: int, size: int = 60) -> None:
    """Write entries at one node, a tenth of them removals, without telling its peers."""
    for number in range(count):
        node.replica.state.put(f"runner/s-{number:04x}", None if number % 10 == 9 else f"{number:04x}" + "v" * size)


def command(network: Network, nodes: list[Node], port: int) -> Replica:
    """Return the temporary replica of a command; the caller runs it."""
    replica = Replica("operator", nodes[0].settings, Counters())
    replica.transport = MemoryTransport(network, "operator")
    replica.bind(("127.0.0.1", port))
    return replica
