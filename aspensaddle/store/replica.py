"""One replica on a UDP socket: sends local writes to its peers and copies what it lacks from them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import islice
from random import Random
from typing import TypeVar

import trio

from aspensaddle.store.copier import Copier
from aspensaddle.store.entry_copy import MAX_SUMMARIES_IN_FLIGHT
from aspensaddle.store.handover import holds_all, is_handed_over
from aspensaddle.store.join import JoinOutcome, has_source, join_outcome
from aspensaddle.store.messages import (
    AuthenticatedMessage,
    Body,
    BucketDigests,
    EntryBatch,
    EntryRequest,
    ReplicaPhase,
    SummaryRequest,
    VersionSummary,
    split_into_batches,
)
from aspensaddle.store.peer import Peer, PeerTable
from aspensaddle.store.settings import StoreSettings
from aspensaddle.store.state import MAX_KEYS_IN_BUCKET, Entry, ReplicaState, combined_digest
from aspensaddle.store.transport import DatagramTransport, unix_ms
from aspensaddle.support.address import Address
from aspensaddle.support.counters import Counters

GOSSIP_JITTER_RANGE = 0.5, 1.5  # factors of the gossip interval; balancers started together do not gossip in step
PROBE_INTERVAL_SECONDS = 0.1  # between two rounds of digests while the replica joins, leaves or awaits confirmation
MAX_PROBES_PER_ROUND = 32  # so that the digests of hundreds of peers do not arrive at once
INSTANCE_BITS = 64

_Name = TypeVar("_Name", int, str)  # a bucket or a key


def _unique(values: list[_Name], limit: int) -> list[_Name]:
    """Return the first values, each once: a request is answered with what a replica asks for at once, not more."""
    return list(dict.fromkeys(values[:limit]))


class Replica:
    """One replica of the store.

    Attributes:
        state: The entries.
        peers: The other nodes, and the temporary replicas of commands.
        phase: What this replica can promise about its entries.
        transport: Its socket.
        synchronized_peers: The names of the peers whose last digests equalled this replica's.
        on_change: Called with the entries that were written here or merged from a peer.
    """

    def __init__(
        self,
        node: str,
        settings: StoreSettings,
        counters: Counters,
        on_change: Callable[[list[Entry]], None] = lambda entries: None,
        joins: bool = False,
    ) -> None:
        """Create a replica without entries.

        Args:
            node: Its node name.
            settings: The settings of the store.
            counters: Counts its datagrams.
            on_change: Called with the entries that were written here or merged from a peer.
            joins: Whether `join` is called before the replica serves.
        """
        self.node = node
        self.settings = settings
        self.counters = counters
        self.on_change = on_change
        self.state = ReplicaState(node, unix_ms)
        self.peers = PeerTable(self.state, settings.nodes)
        self.phase = ReplicaPhase.SEARCHING if joins else ReplicaPhase.SERVING
        self.synchronized_peers: set[str] = set()
        self.transport = DatagramTransport(node, settings.key, counters)
        self._random = Random()
        self._instance = f"{self._random.getrandbits(INSTANCE_BITS):x}"
        self._copier = Copier(
            self.peers, lambda request, peer: self.transport.send(request, peer.address), self._acknowledge_copy
        )

    def bind(self, address: Address | None = None) -> None:
        """Open the socket and bind it, by default to this node's address in the settings.

        Raises:
            OSError: If the address can't be bound.
        """
        self.transport.bind(address or self.settings.nodes[self.node])

    def put(self, key: str, value: str | None) -> None:
        """Write a value, or remove the key for None, and send the entry to all peers.

        A peer that the datagram does not reach gets the entry in a later comparison.

        Raises:
            StoreError: If the entry can't be stored.
        """
        entry = self.state.put(key, value)
        self.synchronized_peers.clear()
        self.on_change([entry])
        for peer in self.peers.members:
            self.transport.send(EntryBatch([entry]), peer.address)

    async def run(self) -> None:
        """Handle datagrams and compare with peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._compare_periodically)
            nursery.start_soon(self._copier.run)
            while True:
                await self.transport.wait_readable()
                for message, address in self.transport.receive():
                    self._handle_message(message, address)
                await trio.lowlevel.checkpoint()

    # ------------------------------------------------------------ joining and leaving

    async def join(self) -> JoinOutcome:
        """Copy the entries of the peers, and return how that ended; the replica serves from then on.

        `run` has to run meanwhile.
        """
        began_at = trio.current_time()
        while (outcome := join_outcome(self.peers.members, trio.current_time(), began_at)) is None:
            self._update_join_phase(began_at)
            self._probe(peer for peer in self.peers.members if not peer.copy.is_complete or peer.phase.is_joining)
            await trio.sleep(PROBE_INTERVAL_SECONDS)
        self.phase = ReplicaPhase.SERVING
        self._probe(self.peers.members)
        return outcome

    def _update_join_phase(self, began_at: float) -> None:
        copies = has_source(self.peers.members, trio.current_time(), began_at)
        self.phase = ReplicaPhase.COPYING if copies else ReplicaPhase.SEARCHING

    async def hand_over(self) -> None:
        """Wait until each peer that answers holds all entries of this replica, and at least one does.

        `run` has to run meanwhile. Without an answer this waits until it is cancelled.
        """
        self.phase = ReplicaPhase.LEAVING
        began_at = trio.current_time()
        for peer in self.peers.members:
            peer.acknowledged = ""  # it may have restarted since
        while not is_handed_over(self.peers.members, self._combined_digest(), trio.current_time(), began_at):
            own_digest = self._combined_digest()
            self._probe(
                peer
                for peer in self.peers.members
                if not (peer.was_heard_since(began_at) and holds_all(peer, own_digest))
            )
            await trio.sleep(PROBE_INTERVAL_SECONDS / 2)

    def peers_holding_all(self) -> list[str]:
        """Return the names of the nodes that told that they hold all entries of this replica."""
        own_digest = self._combined_digest()
        return sorted(peer.node for peer in self.peers.members if holds_all(peer, own_digest))

    def probe_peers(self) -> None:
        """Ask the nodes that are not known to hold the same entries for their digests."""
        self._probe(peer for peer in self.peers.members if peer.node not in self.synchronized_peers)

    def _probe(self, peers: Iterable[Peer]) -> None:
        probed = list(peers)
        self._random.shuffle(probed)
        for peer in islice(probed, MAX_PROBES_PER_ROUND):
            self._send_digests(peer, reply_wanted=True)

    def _combined_digest(self) -> str:
        return combined_digest(self.state.bucket_digests())

    # ------------------------------------------------------------ comparison and copies

    async def _compare_periodically(self) -> None:
        """Send the digests to all peers at the start, then to one random peer per gossip interval."""
        self._probe(self.peers.members)
        while True:
            await trio.sleep(self.settings.gossip_s * self._random.uniform(*GOSSIP_JITTER_RANGE))
            if members := self.peers.members:
                self._send_digests(self._random.choice(members), reply_wanted=True)

    def _acknowledge_copy(self, peer: Peer) -> None:
        """Tell a peer that its entries are held here."""
        self._note_comparison(peer, peer.copy.target)
        self._send_digests(peer, reply_wanted=False)

    def _copies_from(self, peer: Peer) -> bool:
        """Whether this replica takes the entries of a peer: one that joins takes them, it does not give them."""
        return self.phase.is_joining or not peer.phase.is_joining

    # ------------------------------------------------------------ messages

    def _handle_message(self, message: AuthenticatedMessage, address: Address) -> None:
        if message.node == self.node:
            return
        peer = self.peers.sender(message.node, address)
        try:
            self._handle_body(message.body, peer)
        except Exception:  # drop the datagram and keep serving
            self.counters.add("internal_errors")

    def _handle_body(self, body: Body, peer: Peer) -> None:
        match body:
            case BucketDigests():
                self._handle_digests(body, peer)
            case SummaryRequest():
                for bucket in _unique(body.buckets, MAX_SUMMARIES_IN_FLIGHT):
                    self.transport.send(VersionSummary(bucket, self.state.version_summary(bucket)), peer.address)
            case VersionSummary():
                self._handle_version_summary(body, peer)
            case EntryRequest():
                keys = _unique(body.keys, MAX_KEYS_IN_BUCKET)
                self._send_entries((self.state.entries[key] for key in keys if key in self.state.entries), peer)
            case EntryBatch():
                self._handle_entries(body, peer)

    def _handle_digests(self, body: BucketDigests, peer: Peer) -> None:
        peer.instance = body.instance
        is_current = body.receiver_instance == self._instance or not body.instance
        if is_current:
            self._take_digests(body, peer)
        if body.reply_wanted or not is_current:
            self._send_digests(peer, reply_wanted=not is_current)

    def _take_digests(self, body: BucketDigests, peer: Peer) -> None:
        peer.heard_at = trio.current_time()
        peer.phase = body.phase
        peer.acknowledged = body.acknowledged
        self._note_comparison(peer, body.digests)
        if self._copies_from(peer):
            self._copier.set_target(peer, body.digests)

    def _note_comparison(self, peer: Peer, digests: list[str] | None) -> None:
        if self.state.bucket_digests() == digests:
            self.synchronized_peers.add(peer.node)
        else:
            self.synchronized_peers.discard(peer.node)

    def _handle_version_summary(self, body: VersionSummary, peer: Peer) -> None:
        if peer.copy.expects_summary(body.bucket):
            peer.heard_at = trio.current_time()
            peer.copy.handle_summary(body, peer.heard_at)
            self._copier.proceed_after(peer)
            return
        # A replica that knows no requests for summaries answers the digests of this one so.
        difference = self.state.compare_bucket(body.bucket, body.versions)
        self._send_entries(difference.to_send, peer)
        if difference.to_request:
            self.transport.send(EntryRequest(difference.to_request[:MAX_KEYS_IN_BUCKET]), peer.address)

    def _handle_entries(self, body: EntryBatch, peer: Peer) -> None:
        if merged := self.state.merge(body.entries):
            self.synchronized_peers.clear()
            self.counters.add("store_entries_merged", len(merged))
            self.on_change(merged)
        if peer.copy.has_work:
            peer.heard_at = trio.current_time()
            peer.copy.handle_entries(body.entries, peer.heard_at)
            self._copier.proceed_after(peer)

    def _send_digests(self, peer: Peer, *, reply_wanted: bool) -> None:
        body = BucketDigests(
            self.state.bucket_digests(),
            self.phase,
            peer.copy.acknowledged,
            reply_wanted,
            self._instance,
            peer.instance,
        )
        self.transport.send(body, peer.address)

    def _send_entries(self, entries: Iterable[Entry], peer: Peer) -> None:
        for batch in split_into_batches(entries):
            self.transport.send(batch, peer.address)
