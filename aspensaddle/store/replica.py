"""One replica on a UDP socket: sends local writes to its peers and compares entries with them (anti-entropy)."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterable
from random import Random

import trio

from aspensaddle.store.messages import (
    MAX_DATAGRAM_BYTES,
    Body,
    BucketDigests,
    EntryBatch,
    EntryRequest,
    VersionSummary,
    decode_datagram,
    encode_datagram,
    split_into_batches,
)
from aspensaddle.store.settings import StoreSettings
from aspensaddle.store.state import MAX_KEYS_IN_BUCKET, Entry, ReplicaState
from aspensaddle.support.address import Address
from aspensaddle.support.counters import Counters
from aspensaddle.support.json_fields import DecodeError

MAX_BUCKETS_PER_ROUND = 32  # buckets compared after one exchange of digests; later rounds compare the others
MAX_DATAGRAMS_PER_READ = 64  # limit of datagrams read before other tasks run
GOSSIP_JITTER_RANGE = 0.5, 1.5  # factors of the gossip interval; balancers started together do not gossip in step


def unix_ms() -> int:
    """Return Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Replica:
    """One replica of the store.

    Attributes:
        state: The entries.
        synchronized_peers: The names of the peers whose last digests equalled this replica's.
        on_change: Called with the entries that were written here or merged from a peer.
    """

    def __init__(
        self,
        node: str,
        settings: StoreSettings,
        counters: Counters,
        on_change: Callable[[list[Entry]], None] = lambda entries: None,
    ) -> None:
        self.node = node
        self.settings = settings
        self.counters = counters
        self.on_change = on_change
        self.state = ReplicaState(node, unix_ms)
        self.synchronized_peers: set[str] = set()
        self._random = Random()

    def bind(self, address: Address | None = None) -> None:
        """Open the socket and bind it, by default to this node's address in the settings.

        Raises:
            OSError: If the address can't be bound.
        """
        host, port = address or self.settings.nodes[self.node]
        self._socket = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))

    def put(self, key: str, value: str | None) -> None:
        """Write a value, or remove the key for None, and send the entry to all peers.

        A peer that the datagram does not reach gets the entry in a later comparison.

        Raises:
            StoreError: If the entry can't be stored.
        """
        entry = self.state.put(key, value)
        self.synchronized_peers.clear()
        self.on_change([entry])
        for peer in self._peers():
            self._send(EntryBatch([entry]), peer)

    def _peers(self) -> list[Address]:
        return [address for node, address in self.settings.nodes.items() if node != self.node]

    async def run(self) -> None:
        """Handle datagrams and compare with peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._compare_periodically)
            while True:
                await trio.lowlevel.wait_readable(self._socket)
                self._read_datagrams()
                await trio.lowlevel.checkpoint()

    async def _compare_periodically(self) -> None:
        """Send the digests to all peers at the start, then to one random peer per gossip interval."""
        for peer in self._peers():
            self._send_digests(peer)
        while True:
            await trio.sleep(self.settings.gossip_s * self._random.uniform(*GOSSIP_JITTER_RANGE))
            if peers := self._peers():
                self._send_digests(self._random.choice(peers))

    def _read_datagrams(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, peer = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # an ICMP error after an earlier send: that peer is unreachable
                continue
            self._handle_datagram(data, peer[:2])

    def _handle_datagram(self, data: bytes, peer: Address) -> None:
        try:
            message = decode_datagram(self.settings.key, unix_ms(), data)
        except DecodeError:
            self.counters.add("store_datagrams_rejected")
            return
        self.counters.add("store_datagrams_received")
        if message.node == self.node:
            return
        try:
            self._handle_message(message.node, message.body, peer)
        except Exception:  # drop the datagram and keep serving
            self.counters.add("internal_errors")

    def _handle_message(self, node: str, body: Body, peer: Address) -> None:
        match body:
            case BucketDigests():
                self._handle_digests(node, body, peer)
            case VersionSummary():
                self._handle_version_summary(body, peer)
            case EntryRequest():
                requested = [self.state.entries[key] for key in body.keys if key in self.state.entries]
                self._send_entries(requested, peer)
            case EntryBatch():
                self._handle_entries(body)

    def _handle_digests(self, node: str, body: BucketDigests, peer: Address) -> None:
        mismatched = self.state.differing_buckets(body.digests)
        if mismatched:
            self.synchronized_peers.discard(node)
        elif node not in self.synchronized_peers:
            self.synchronized_peers.add(node)
            self._send_digests(peer)  # the peer then notices that it is synchronized too
        self._random.shuffle(mismatched)
        for bucket in mismatched[:MAX_BUCKETS_PER_ROUND]:
            self._send(VersionSummary(bucket, self.state.version_summary(bucket)), peer)

    def _handle_version_summary(self, body: VersionSummary, peer: Address) -> None:
        difference = self.state.compare_bucket(body.bucket, body.versions)
        self._send_entries(difference.to_send, peer)
        if difference.to_request:
            self._send(EntryRequest(difference.to_request[:MAX_KEYS_IN_BUCKET]), peer)

    def _handle_entries(self, body: EntryBatch) -> None:
        if merged := self.state.merge(body.entries):
            self.synchronized_peers.clear()
            self.counters.add("store_entries_merged", len(merged))
            self.on_change(merged)

    def _send_digests(self, peer: Address) -> None:
        self._send(BucketDigests(self.state.bucket_digests()), peer)

    def _send_entries(self, entries: Iterable[Entry], peer: Address) -> None:
        for batch in split_into_batches(entries):
            self._send(batch, peer)

    def _send(self, body: Body, peer: Address) -> None:
        data = encode_datagram(self.settings.key, self.node, unix_ms(), body)
        if len(data) > MAX_DATAGRAM_BYTES:  # this is not expected, since the size of every body is limited
            self.counters.add("store_datagrams_too_large")
            return
        try:
            self._socket.sendto(data, peer)
            self.counters.add("store_datagrams_sent")
        except OSError:
            self.counters.add("store_datagrams_failed")
