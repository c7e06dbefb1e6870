"""Discovery: the list of runners over HTTP, whole or watched."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from contextlib import aclosing

import h11
import trio

from aspensaddle.core.driver import Driver
from aspensaddle.core.interface import ListScope
from aspensaddle.fleet.runners import Fleet
from aspensaddle.fleet.update import Update, parse_update
from aspensaddle.support.address import Address
from aspensaddle.support.counters import Counters
from aspensaddle.support.decode import DecodeError
from aspensaddle.support.files import load_json
from aspensaddle.support.log import Log
from aspensaddle.support.sockets import connect

PATH = "/discovery/hosts"
CONNECT_WITHIN = 1.0
ANSWER_WITHIN = 4.0  # a call waits its turn
SILENT = 3.0  # an empty line comes every 2 s
MOST = 1 << 20  # bytes of one list at most
ARRIVE_WITHIN, ARRIVE_AGAIN = 3.0, 0.2  # for the first answer at a new address, which may come up late


class DiscoveryError(Exception):
    """A call failed or a watch broke."""


class Discovery:
    """Calls discovery when the driver asks for it, and tells it what comes."""

    def __init__(self, address: Address, driver: Driver, fleet: Fleet, counters: Counters, log: Log) -> None:
        self.address, self.driver, self.fleet = address, driver, fleet
        self.counters, self.log = counters, log
        self.rev = 0
        self.watching = False
        self._off = trio.CancelScope()  # ends the watch
        self._out = trio.CancelScope()  # ends the call that the watch has out
        self._moves, self._arrived = 0, 0  # to new addresses, and how many of them have answered

    def move(self, address: Address) -> None:
        """Ask at another address from now on. A call that is out at the old one, where it could wait for its
        end or in vain, is dropped; the watch goes on at the new one. Where none is on, one has to be begun:
        a back-off that the old address has earned is none of the new one's."""
        self.address = address
        self._moves += 1
        self._out.cancel()

    async def watch(self) -> None:
        """One watch until it ends, which is told as a failure: the balancer says when to ask again. One that
        is on already is kept, as it is what is asked for."""
        if self.watching:
            return
        self.watching = True
        try:
            with trio.CancelScope() as self._off:
                moves = -1
                while moves != self._moves:  # it moved while the call was out
                    moves = self._moves
                    with trio.CancelScope() as self._out:
                        await self._watch_from(moves)
                self.driver.servers(ListScope.FAILED)
        finally:
            self.watching = False

    async def _watch_from(self, moves: int) -> None:
        """A watch from the last version on. At an address that is new its failure is not yet told: guards
        against a back-off while the new place comes up, or does not know the version."""
        stop = trio.current_time() + ARRIVE_WITHIN
        while True:
            await self._call(f"{PATH}?watch=1&from={self.rev}", SILENT, moves)
            if self._arrived == moves or trio.current_time() > stop:
                return
            await self._call(PATH, ANSWER_WITHIN)
            await trio.sleep(ARRIVE_AGAIN)

    def stop_watch(self) -> None:
        self._off.cancel()

    async def fetch(self) -> None:
        """The whole list once."""
        if not await self._call(PATH, ANSWER_WITHIN):
            self.driver.servers(ListScope.FAILED)

    async def _call(self, target: str, silent: float, moves: int | None = None) -> bool:
        self.counters.add("discovery calls")
        try:
            async with aclosing(self._lines(target, silent)) as lines:
                async for line in lines:
                    if moves is not None:
                        self._arrived = moves
                    if line.strip():
                        self._take(parse_update(load_json(line)))
            self.log.event("discovery ended", target=target)
            return True
        except (DiscoveryError, DecodeError) as e:
            self.counters.add("discovery failures")
            self.log.event("discovery failed", target=target, why=str(e))
            return False

    def _take(self, update: Update) -> None:
        if not update.full and update.rev < self.rev:
            return  # older than what is known
        self.rev = update.rev
        self.counters.add("lists")
        if update.targets or update.full:
            self.log.event("list", rev=update.rev, full=update.full, targets=[
                [t.uid, t.state.value, t.started_at, t.weight, t.model] for t in update.targets])
        entries = self.fleet.take(update)
        self.driver.servers(update.scope, entries)

    async def _lines(self, target: str, silent: float) -> AsyncGenerator[bytes]:
        """The lines of an answer. Where nothing comes for too long, or the answer breaks, this raises."""
        stream: trio.SocketStream | None = None
        try:
            with trio.move_on_after(CONNECT_WITHIN):
                stream = await connect(self.address)
            if stream is None:
                raise DiscoveryError("the connection did not come up")
            http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST)
            host = f"{self.address[0]}:{self.address[1]}"
            ask = http.send(h11.Request(method="GET", target=target,
                                        headers=[("Host", host), ("Accept", "application/json")]))
            await stream.send_all((ask or b"") + (http.send(h11.EndOfMessage()) or b""))
            rest, wait = b"", ANSWER_WITHIN
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    with trio.move_on_after(wait) as limit:
                        http.receive_data(await stream.receive_some(16384))
                    # Guards against a watch that is open but silent, as after a machine has vanished.
                    if limit.cancelled_caught:
                        raise DiscoveryError(f"nothing came for {wait:g} s")
                elif isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise DiscoveryError(f"status {event.status_code}")
                    wait = silent
                elif isinstance(event, h11.Data):
                    *lines, rest = (rest + bytes(event.data)).split(b"\n")
                    if len(rest) > MOST:
                        raise DiscoveryError("a line is too long")
                    for line in lines:
                        yield line
                elif isinstance(event, h11.EndOfMessage):
                    if rest:
                        yield rest
                    return
                else:
                    raise DiscoveryError("the connection ended")
        except h11.RemoteProtocolError as e:
            raise DiscoveryError(f"not HTTP: {e}") from None
        except (OSError, trio.BrokenResourceError) as e:
            raise DiscoveryError(str(e)) from None
        finally:
            if stream is not None:
                stream.socket.close()
