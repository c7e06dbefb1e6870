"""One replica on a UDP socket: says what is written here, and compares itself with a peer now and then."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from random import Random

import trio

from aspensaddle.store.messages import DATAGRAM, Body, Entries, Marks, Sums, Wants, in_datagrams, seal, unseal
from aspensaddle.store.settings import StoreSettings
from aspensaddle.store.state import MOST_IN_BUCKET, Entry, State
from aspensaddle.support.address import Address
from aspensaddle.support.counters import Counters
from aspensaddle.support.json_fields import DecodeError

BUCKETS_A_ROUND = 32  # compared in full after one exchange of sums; the next round takes more
BATCH = 64


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


class Replica:
    def __init__(
        self,
        node: str,
        settings: StoreSettings,
        counters: Counters,
        changed: Callable[[list[Entry]], None] = lambda entries: None,
    ) -> None:
        self.node, self.settings, self.counters, self.changed = node, settings, counters, changed
        self.state = State(node, unix_ms)
        self.agreed: set[str] = set()  # peers whose sums were this replica's own when last heard
        self._random = Random()

    def bind(self, address: Address | None = None) -> None:
        host, port = address or self.settings.nodes[self.node]
        self.sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind((host, port))

    def put(self, key: str, value: str | None) -> None:
        """Write a key here and tell all peers; whom that does not reach learns it by comparing."""
        entry = self.state.put(key, value)
        self.agreed.clear()
        self.changed([entry])
        for peer in self._peers():
            self._send(Entries([entry]), peer)

    def _peers(self) -> list[Address]:
        return [a for n, a in self.settings.nodes.items() if n != self.node]

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._compare)
            while True:
                await trio.lowlevel.wait_readable(self.sock)
                self._read()
                await trio.lowlevel.checkpoint()

    async def _compare(self) -> None:
        """Anti-entropy: the sums go to one peer at a time, at random, but to all at the start."""
        for peer in self._peers():
            self._send(Sums(self.state.sums()), peer)
        while True:
            # Uneven steps keep daemons that start together from comparing in step.
            await trio.sleep(self.settings.gossip_s * self._random.uniform(0.5, 1.5))
            if peers := self._peers():
                self._send(Sums(self.state.sums()), self._random.choice(peers))

    def _read(self) -> None:
        for _ in range(BATCH):
            try:
                data, peer = self.sock.recvfrom(DATAGRAM + 1)
            except BlockingIOError:
                return
            except OSError:  # an ICMP error: that peer is down
                continue
            try:
                node, body = unseal(self.settings.key, unix_ms(), data)
            except DecodeError:
                self.counters.add("store datagrams refused")
                continue
            self.counters.add("store datagrams in")
            if node == self.node:
                continue
            try:
                self._take(node, body, peer[:2])
            except Exception:  # a fault costs one datagram, not the daemon
                self.counters.add("faults")

    def _take(self, node: str, body: Body, peer: Address) -> None:
        match body:
            case Sums():
                differing = self.state.differing(body.sums)
                if differing:
                    self.agreed.discard(node)
                elif node not in self.agreed:
                    self.agreed.add(node)
                    self._send(Sums(self.state.sums()), peer)  # so that it knows too
                self._random.shuffle(differing)
                for bucket in differing[:BUCKETS_A_ROUND]:
                    self._send(Marks(bucket, self.state.marks(bucket)), peer)
            case Marks():
                lacks, wanted = self.state.missing(body.bucket, body.marks)
                for part in in_datagrams(lacks):
                    self._send(part, peer)
                if wanted:
                    self._send(Wants(wanted[:MOST_IN_BUCKET]), peer)
            case Wants():
                known = [self.state.entries[k] for k in body.keys if k in self.state.entries]
                for part in in_datagrams(known):
                    self._send(part, peer)
            case Entries():
                if taken := self.state.merge(body.entries):
                    self.agreed.clear()
                    self.counters.add("store entries taken", len(taken))
                    self.changed(taken)

    def _send(self, body: Body, peer: Address) -> None:
        data = seal(self.settings.key, self.node, unix_ms(), body)
        if len(data) > DATAGRAM:  # can't be: all bodies are bound; but nothing larger may leave
            self.counters.add("store datagrams too large")
            return
        try:
            self.sock.sendto(data, peer)
            self.counters.add("store datagrams out")
        except OSError:
            self.counters.add("store datagrams lost")
