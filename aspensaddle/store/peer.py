"""What a replica knows of one peer."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from aspensaddle.store.entry_copy import EntryCopy
from aspensaddle.store.messages import ReplicaPhase
from aspensaddle.store.state import ReplicaState
from aspensaddle.support.address import Address

MAX_TEMPORARY_PEERS = 16  # replicas of commands that run at the same time
SILENCE_SECONDS = 2.0  # a peer that answers nothing for so long, though asked again and again, counts as down


@dataclass(slots=True)
class Peer:
    """One peer.

    Attributes:
        node: Its node name.
        address: Its address in the settings, or where the replica of a command sends from.
        copy: The copy of its entries into this replica.
        phase: The phase that it told last.
        instance: The instance of its process that it told last, or empty.
        heard_at: Monotonic time in seconds of its last message that this process had a part in; None before one.
        acknowledged: The combined digest of this replica's entries that the peer told it holds, or empty.
    """

    node: str
    address: Address
    copy: EntryCopy
    phase: ReplicaPhase = ReplicaPhase.SERVING
    instance: str = ""
    heard_at: float | None = None
    acknowledged: str = ""

    def is_silent(self, now: float, since: float) -> bool:
        """Whether the peer has sent nothing for `SILENCE_SECONDS`, counted from `since` at the earliest."""
        return now - max(since, self.heard_at or since) >= SILENCE_SECONDS

    def was_heard_since(self, since: float) -> bool:
        """Whether a message of the peer has arrived since a monotonic time."""
        return self.heard_at is not None and self.heard_at >= since


class PeerTable:
    """The peers of one replica: the other nodes of the settings, and the temporary replicas of commands.

    A message of a node that the settings do not name comes from such a command.
    """

    def __init__(self, state: ReplicaState, nodes: dict[str, Address]) -> None:
        self._state = state
        self._member_by_node = {
            node: Peer(node, address, EntryCopy(state)) for node, address in nodes.items() if node != state.node
        }
        self._temporary: dict[Address, Peer] = {}

    @property
    def members(self) -> list[Peer]:
        """The other nodes of the settings."""
        return list(self._member_by_node.values())

    def all(self) -> Iterator[Peer]:
        """Yield the other nodes of the settings and the replicas of commands."""
        yield from self.members
        yield from list(self._temporary.values())

    def sender(self, node: str, address: Address) -> Peer:
        """Return the sender of a message.

        A member keeps its address of the settings, whatever address the message came from: it may be a repetition by
        someone else.

        Args:
            node: The node that the message names.
            address: Where it came from.
        """
        return self._member_by_node.get(node) or self._temporary_peer(node, address)

    def _temporary_peer(self, node: str, address: Address) -> Peer:
        if address not in self._temporary:
            while len(self._temporary) >= MAX_TEMPORARY_PEERS:
                del self._temporary[next(iter(self._temporary))]
            self._temporary[address] = Peer(node, address, EntryCopy(self._state))
        return self._temporary[address]
