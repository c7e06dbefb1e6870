"""One replica on a UDP socket: sends what is written here and compares itself with peers (anti-entropy)."""

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

MAX_BUCKETS_PER_ROUND = 32  # compared after one exchange of digests; the next round takes more
MAX_DATAGRAMS_PER_READ = 64
GOSSIP_JITTER = 0.5, 1.5  # parts of the gossip interval; keeps daemons that start together out of step


def unix_ms() -> int:
    """Return Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Replica:
    """One replica of the store.

    Attributes:
        state: The entries.
        agreed: The peers whose digests equalled this replica's when last heard.
        changed: Called with the entries that were written here or taken over from a peer.
    """

    def __init__(
        self,
        node: str,
        settings: StoreSettings,
        counters: Counters,
        changed: Callable[[list[Entry]], None] = lambda entries: None,
    ) -> None:
        self.node = node
        self.settings = settings
        self.counters = counters
        self.changed = changed
        self.state = ReplicaState(node, unix_ms)
        self.agreed: set[str] = set()
        self._random = Random()

    def bind(self, address: Address | None = None) -> None:
        """Open the socket, at the address that the settings name for this node if none is given.

        Raises:
            OSError: If the address can't be bound.
        """
        host, port = address or self.settings.nodes[self.node]
        self._socket = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))

    def put(self, key: str, value: str | None) -> None:
        """Write a key here and send it to all peers; those it does not reach learn it by comparison.

        Raises:
            StoreError: If the entry can't be stored.
        """
        entry = self.state.put(key, value)
        self.agreed.clear()
        self.changed([entry])
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
        """Send the digests to all peers at the start, then to one at random at a time."""
        for peer in self._peers():
            self._send_digests(peer)
        while True:
            await trio.sleep(self.settings.gossip_s * self._random.uniform(*GOSSIP_JITTER))
            if peers := self._peers():
                self._send_digests(self._random.choice(peers))

    def _read_datagrams(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, peer = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # an ICMP error: that peer is down
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
                known = [self.state.entries[key] for key in body.keys if key in self.state.entries]
                self._send_entries(known, peer)
            case EntryBatch():
                self._handle_entries(body)

    def _handle_digests(self, node: str, body: BucketDigests, peer: Address) -> None:
        differing = self.state.differing_buckets(body.digests)
        if differing:
            self.agreed.discard(node)
        elif node not in self.agreed:
            self.agreed.add(node)
            self._send_digests(peer)  # the peer learns of the agreement too
        self._random.shuffle(differing)
        for bucket in differing[:MAX_BUCKETS_PER_ROUND]:
            self._send(VersionSummary(bucket, self.state.version_summary(bucket)), peer)

    def _handle_version_summary(self, body: VersionSummary, peer: Address) -> None:
        difference = self.state.compare_bucket(body.bucket, body.versions)
        self._send_entries(difference.to_send, peer)
        if difference.to_request:
            self._send(EntryRequest(difference.to_request[:MAX_KEYS_IN_BUCKET]), peer)

    def _handle_entries(self, body: EntryBatch) -> None:
        if merged := self.state.merge(body.entries):
            self.agreed.clear()
            self.counters.add("store_entries_merged", len(merged))
            self.changed(merged)

    def _send_digests(self, peer: Address) -> None:
        self._send(BucketDigests(self.state.bucket_digests()), peer)

    def _send_entries(self, entries: Iterable[Entry], peer: Address) -> None:
        for batch in split_into_batches(entries):
            self._send(batch, peer)

    def _send(self, body: Body, peer: Address) -> None:
        data = encode_datagram(self.settings.key, self.node, unix_ms(), body)
        if len(data) > MAX_DATAGRAM_BYTES:  # every body is bounded below this
            self.counters.add("store_datagrams_too_large")
            return
        try:
            self._socket.sendto(data, peer)
            self.counters.add("store_datagrams_sent")
        except OSError:
            self.counters.add("store_datagrams_failed")
