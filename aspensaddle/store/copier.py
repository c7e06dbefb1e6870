"""Carries the copies of the peers' entries on, one peer at a time, and repeats requests that were not answered."""

from __future__ import annotations

from collections.abc import Callable

import trio

from aspensaddle.store.copy_source import choose_source
from aspensaddle.store.messages import EntryRequest, SummaryRequest
from aspensaddle.store.peer import Peer, PeerTable

RETRY_INTERVAL_SECONDS = 0.02  # between two looks for requests that were not answered


class Copier:
    """Copies the entries of the peers whose digests differ."""

    def __init__(
        self,
        peers: PeerTable,
        send: Callable[[SummaryRequest | EntryRequest, Peer], None],
        on_copied: Callable[[Peer], None],
    ) -> None:
        """Create a copier without work.

        Args:
            peers: The peers, each with its copy.
            send: Sends a request to a peer.
            on_copied: Called with a peer whose entries have all arrived.
        """
        self._peers = peers
        self._send = send
        self._on_copied = on_copied
        self._source: Peer | None = None
        self._has_new_work = trio.Event()

    async def run(self) -> None:
        """Repeat requests, and go on to the next peer where one has fallen silent, until cancelled."""
        while True:
            self.proceed()
            if self._source is not None:
                await trio.sleep(RETRY_INTERVAL_SECONDS)
            else:
                self._has_new_work = trio.Event()
                await self._has_new_work.wait()

    def set_target(self, peer: Peer, digests: list[str]) -> None:
        """Copy what a peer's digests stand for."""
        peer.copy.set_target(digests)
        self.proceed()
        self._has_new_work.set()

    def proceed_after(self, peer: Peer) -> None:
        """Go on after an answer of a peer."""
        if not peer.copy.has_work:
            self._on_copied(peer)
        self.proceed()

    def proceed(self) -> None:
        """Send the requests that are due to the peer that is copied."""
        now = trio.current_time()
        while (source := choose_source(self._peers.all(), self._source, now)) is not None:
            if source is not self._source:
                source.copy.refresh()
            self._source = source
            if source.copy.has_work:
                for request in source.copy.next_requests(now):
                    self._send(request, source)
                return
            self._on_copied(source)
        self._source = None
